"""Faults that the judges must find."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

import msgspec

from ....decisions.canary.canary import Canary
from ....decisions.wallet.account import Account, Row, Trust
from ....decisions.wallet.wallet import Wallet
from ....protocol import wallet as words
from ...walletcheck import Early


class Soon(Early):
    @property
    def pending(self) -> int:
        return 0  # it is in `free` already


class Hurried(Wallet):
    """Spends what is meant to be spent before it is on disk."""

    def restore(self, row: Row | None, ids: dict[str, int], old: list[Row], trust: Trust) -> None:
        super().restore(row, ids, old, trust)
        self.account = self.early(self.account)

    def open_new_account(self) -> None:
        super().open_new_account()
        self.account = self.early(self.account)

    def early(self, account: Account) -> Soon:
        made = Soon(account.row, account.ids)
        made.dirty = account.dirty
        return made


class Forgetful(Wallet):
    """Goes on with its account, whatever its folder and its own words of before: no life."""

    def on_own(self, now: float, word: words.Word) -> None:
        pass

    def restore(self, row: Row | None, ids: dict[str, int], old: list[Row], trust: Trust) -> None:
        super().restore(row, ids, old, Trust.SURE)


class Quick(Wallet):
    """Goes on after a restart of the machine, with nobody heard."""

    def on_own(self, now: float, word: words.Word) -> None:
        pass

    def restore(self, row: Row | None, ids: dict[str, int], old: list[Row], trust: Trust) -> None:
        super().restore(row, ids, old, Trust.SURE if trust is Trust.UNSURE else trust)


class Vouching(Wallet):
    """Says that it knows of no later row as soon as it has begun."""

    def send_pair(self, now: float, member: str) -> None:
        begun, self.begun_at = self.begun_at, -math.inf
        super().send_pair(now, member)
        self.begun_at = begun


class Growing(Wallet):
    """Tells each word to another in a cell of its own."""

    def send_pair(self, now: float, member: str) -> None:
        super().send_pair(now, member)
        host: Any = self.host
        host.tell(now, words.pair_cell(self.name, member) + f"/{now:.0f}", b"", (member,))


class Endless(Wallet):
    """Its use never ends."""

    def end_of_use(self, now: float) -> float | None:
        return None


class Unmarked(Wallet):
    """Does not know by what number of its folder a volume that was set back is noticed."""

    def send_pair(self, now: float, member: str) -> None:
        word = self.reports.get(member)
        if word is not None and word.unsure:
            self.reports[member] = msgspec.structs.replace(word, mark=1 << 60)
        super().send_pair(now, member)

    def on_outdated_folder(self, now: float) -> None:
        pass


class Believing(Canary):
    """Goes by the stage that its folder holds, with nobody heard."""

    def restore(self, now: float, kept: bytes) -> None:
        super().restore(now, kept)
        self.confirmed_at = now


class Unaware(Canary):
    """Does not see that it stood still."""

    def in_touch(self, now: float) -> bool:
        return now - self.confirmed_at <= self.terms.alone_after


class Deaf(Canary):
    """Hears of no abort."""

    def merge_state(self, now: float, other: Any, note: str = "") -> None:
        if not other.aborted or note == "called":
            super().merge_state(now, other, note)


@dataclass(frozen=True, slots=True)
class Plant:
    wallet: type[Wallet] = Wallet
    canary: type[Canary] = Canary


PLANTS = {
    "": Plant(),
    "early": Plant(wallet=Hurried),
    "lifeless": Plant(wallet=Forgetful),
    "unasked": Plant(wallet=Quick),
    "vouching": Plant(wallet=Vouching),
    "leak": Plant(wallet=Growing),
    "endless": Plant(wallet=Endless),
    "unmarked": Plant(wallet=Unmarked),
    "old-stage": Plant(canary=Believing),
    "stall-unseen": Plant(canary=Unaware),
    "deaf": Plant(canary=Deaf),
}
