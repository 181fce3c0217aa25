"""Deletes a member's own wallet registers that no member needs any more. No I/O, no clock.

A wallet register serves two purposes: it directs the transfer of rights, and it reveals that a member's
volume was restored from an older copy. Once the use of a wallet has ended, the first no longer matters. For
the second, one number covers all wallets of a member, as a volume is always restored as a whole: the number
of the last batch written to its folder. That number is published in the same sweep register that makes the
others delete the wallet registers, so no member can have deleted them without knowing the number.

Batches written while all wallets are sure (their rows are known to be the newest) are numbered above a base
that grows with the incarnation, and at least one such batch is written before the first sweep of an
incarnation. So every number that an earlier incarnation had on disk is below those that this one publishes,
even if the folder was restored twice.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from ...errors import Trouble
from ...protocol.wallet import VERSION, Mark, decode_mark, encode, home_claim
from ..shared.registers import Register, RegisterStore, subject_of

ABOUT = "wallet"
SWEEP = 60.0  # seconds at most between two sweeps of one member, and from its start to the first sweep
MAX_CLAIMS = 150  # fit in one register; a home of more wallets keeps a register for each further one


class TombstoneRegistry:
    """The wallet registers that one member, in one incarnation, keeps or deletes."""

    def __init__(self, cells: RegisterStore, now: float, found: int = 0, batch_room: int = 1) -> None:
        """Starts with nothing to delete.

        Args:
            cells: The registers of this member and of all others.
            now: The current time in seconds.
            found: The number of the last batch that was in the folder when it was opened.
            batch_room: Room for batch numbers between two successive incarnations. 1 is enough
                where incarnations are numbered by the milliseconds of their start.
        """
        self.cells, self.found, self.number, self.batch_room = cells, found, found, batch_room
        self.pace = SWEEP
        self.to_delete: set[str] = set()
        self.claims: dict[str, int] = {}  # hashes by wallet, of wallets at home here that have no register
        self.due = math.inf
        self.swept_at = now
        self.old = 0  # the highest number of an earlier incarnation that other members report

    def on_store_opened(self, found: int) -> None:
        """Takes the number of the last batch that the folder holds."""
        self.found = self.number = max(found, self.number)

    def written(self, number: int) -> None:
        """Notes that this batch is on disk for certain."""
        self.number = max(self.number, number)

    # Registers that are no longer needed.

    def delete_registers(self, names: Iterable[str]) -> None:
        """Deletes these of the member's own registers with the next sweep."""
        own = self.cells.by_owner.get(self.cells.own_name, {})
        self.to_delete.update(name for name in names if name in own)
        self.plan()

    def keep_register(self, name: str) -> None:
        """Keeps this register after all, as it is about to be written again."""
        self.to_delete.discard(name)

    def claim_silently(self, wallet: str, books: str) -> bool:
        """Publishes only a claim for a wallet whose home is here, in place of its register.

        Returns False if there is no room for another claim.
        """
        if len(self.claims) >= MAX_CLAIMS:
            return False
        self.claims[wallet] = home_claim(wallet, books)
        self.plan()
        return True

    def withdraw_claim(self, wallet: str) -> None:
        """Stops publishing the claim, as the wallet has a register again.

        No sweep is needed for that: a claim that is still published remains true.
        """
        self.claims.pop(wallet, None)

    def plan(self) -> None:
        """Schedules a sweep unless one is due earlier."""
        self.due = min(self.due, self.swept_at + self.pace)

    @property
    def over(self) -> int:
        """The number above which batches are numbered while all wallets are sure."""
        return self.cells.incarnation * self.batch_room

    @property
    def ready(self) -> bool:
        """Whether a batch with such a number is on disk."""
        return self.number > self.over

    def sweep(self, now: float) -> None:
        """Deletes the registers that are no longer needed, and publishes the batch number and the claims.

        To be called only when a batch of this incarnation is on disk and no wallet is unsure, as the other
        members recognize a restored volume by the number published here.
        """
        self.due, self.swept_at = math.inf, now
        note = encode(Mark(VERSION, self.number, sorted(self.claims.values())))
        self.cells.sweep(now, ABOUT, self.to_delete, note)
        self.to_delete.clear()

    # Reports of other members.

    def on_own_register(self, register: Register) -> bool:
        """Takes a register that an earlier incarnation of this member wrote.

        Returns True if it or one before it shows that the folder is older than that incarnation's.
        """
        self.plan()
        if subject_of(register.name) != ABOUT:
            self.old = max(self.old, self.number_of(register.value.partition(b" ")[2]))
        return self.old > self.found

    def mark_of(self, member: str) -> int:
        """Returns the number of the last batch that a member has published, 0 if none."""
        return self.number_of(self.cells.sweep_note(member, ABOUT))

    def number_of(self, note: bytes) -> int:
        """Returns the batch number in a sweep's note, 0 if the note is empty or unreadable."""
        mark = self.decode(note)
        return mark.number if mark is not None else 0

    def decode(self, note: bytes) -> Mark | None:
        """Decodes a sweep's note; None if it is empty or unreadable."""
        try:
            return decode_mark(note) if note else None
        except Trouble:
            return None

    def claimant(self, members: Iterable[str], wallet: str, books: str) -> str:
        """Returns one of these members that claims to be the home of this wallet and these books.

        Returns "" if there is none.
        """
        wanted = home_claim(wallet, books)
        for member in members:
            mark = self.decode(self.cells.sweep_note(member, ABOUT))
            if mark is not None and wanted in mark.homes:
                return member
        return ""
