"""Between a front and what takes exchanges: each is debited first, and given back where it never ran."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ..decisions.wallet.wallet import Wallet
from ..transport.loop import Coroutine, Loop
from .core import Final, Given, Rejected, Taker

MOST_IDS = 50_000
MOST_REPEATS = 8  # of one id that cost nothing


@dataclass(frozen=True, slots=True)
class Purse:
    """What exchanges of one tenant and traffic type are paid from."""

    wallet: Wallet
    price: int
    binding: bool
    repeat: float  # seconds for which an id is remembered


class Charge:
    """One debit, and the exchanges that it pays for: one, and its repeats."""

    __slots__ = ("purse", "ran", "repeats", "under_way", "until")

    def __init__(self, purse: Purse, until: float) -> None:
        self.purse, self.until = purse, until
        self.under_way, self.repeats, self.ran = 1, 0, False


Repeat = tuple[str, int, str | None, str]  # wallet, traffic type, key, the client's id


class WalletGate:
    def __init__(self, loop: Loop, inner: Taker) -> None:
        """`purses`, what each tenant and type is paid from, is the host's, and may change while this runs."""
        self.loop, self.inner = loop, inner
        self.purses: Mapping[tuple[int | None, int], Purse] = {}
        self.ids: OrderedDict[Repeat, Charge] = OrderedDict()
        self.debited = self.refused = self.given_back = self.repeated = 0

    def run(self, given: Given, gone: Callable[[], bool]) -> Coroutine[Final]:
        purse = self.purses.get((given.tenant, given.type_index))
        if purse is None:
            return (yield from self.inner.run(given, gone))
        charge = self.charge(self.loop.now(), purse, given)
        if charge is None:
            return Rejected(purse.wallet.hold_off(), False)
        ran = True
        try:
            final = yield from self.inner.run(given, gone)
            # Kept where it may have run, and where that is not known.
            ran = not isinstance(final, Rejected) or final.ran
            return final
        finally:
            self.settle(charge, ran, given)

    def charge(self, now: float, purse: Purse, given: Given) -> Charge | None:
        """None where the wallet can't pay."""
        id = given.request_id
        known = self.ids.get((purse.wallet.name, given.type_index, given.key, id)) if id else None
        # Guards against one id for all of a client's exchanges; may hurt one that repeats for very long.
        if (
            known is not None
            and now < known.until
            and known.repeats < MOST_REPEATS
            and known.purse.wallet is purse.wallet
        ):
            known.under_way += 1
            known.repeats += 1
            self.repeated += 1
            return known
        if not purse.wallet.debit(now, purse.price, purse.binding):
            self.refused += 1
            return None
        self.debited += 1
        charge = Charge(purse, now + purse.repeat)
        if id:
            self.remember(now, (purse.wallet.name, given.type_index, given.key, id), charge)
        return charge

    def remember(self, now: float, repeat: Repeat, charge: Charge) -> None:
        ids = self.ids
        ids.pop(repeat, None)
        ids[repeat] = charge
        while ids and (len(ids) > MOST_IDS or next(iter(ids.values())).until <= now):
            ids.popitem(last=False)

    def settle(self, charge: Charge, ran: bool, given: Given) -> None:
        """One of the exchanges that it paid for has its final answer."""
        charge.under_way -= 1
        charge.ran = charge.ran or ran
        if charge.under_way or charge.ran:
            return
        charge.purse.wallet.credit(charge.purse.price)
        self.given_back += 1
        id = given.request_id
        repeat = charge.purse.wallet.name, given.type_index, given.key, id
        if id and self.ids.get(repeat) is charge:
            del self.ids[repeat]
