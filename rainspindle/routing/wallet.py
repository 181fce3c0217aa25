"""Debits each request from a wallet before it is passed on, and refunds it if it never ran."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ..decisions.wallet.wallet import Wallet
from ..transport.loop import Coroutine, Loop
from .core import Final, Given, Rejected, Taker

MAX_IDS = 50_000  # request ids remembered at once
MAX_REPEATS = 8  # requests with an id already paid for that are free


@dataclass(frozen=True, slots=True)
class PaymentSource:
    """The wallet that pays for the requests of one tenant and traffic type, and the price."""

    wallet: Wallet
    price: int  # units for a request
    binding: bool  # whether the requests may use the wallet's reserve
    repeat: float  # seconds for which a request's id is remembered


class Charge:
    """One debit and the requests that it pays for: one request and its repeats."""

    __slots__ = ("in_progress", "ran", "repeats", "source", "until")

    def __init__(self, source: PaymentSource, until: float) -> None:
        self.source, self.until = source, until
        self.in_progress, self.repeats, self.ran = 1, 0, False


ChargeKey = tuple[str, int, str | None, str]  # wallet, traffic type, key, the client's request id


class WalletGate:
    """A Taker that debits each request before it passes it to another Taker."""

    def __init__(self, loop: Loop, inner: Taker) -> None:
        """Starts without sources of payment, so that all requests are free.

        The host sets `payment_sources`, by tenant and traffic type, and may change it at any time.
        """
        self.loop, self.inner = loop, inner
        self.payment_sources: Mapping[tuple[int | None, int], PaymentSource] = {}
        self.charges: OrderedDict[ChargeKey, Charge] = OrderedDict()
        self.debited = self.refused = self.refunded = self.free_repeats = 0

    def run(self, given: Given, gone: Callable[[], bool]) -> Coroutine[Final]:
        """Runs a request and returns its final answer; rejects it if the wallet can't pay."""
        source = self.payment_sources.get((given.tenant, given.type_index))
        if source is None:
            return (yield from self.inner.run(given, gone))
        charge = self.charge(self.loop.now(), source, given)
        if charge is None:
            return Rejected(source.wallet.retry_after(), False)
        ran = True
        try:
            final = yield from self.inner.run(given, gone)
            # A request that ran, or may have run, is not refunded.
            ran = not isinstance(final, Rejected) or final.ran
            return final
        finally:
            self.settle(charge, ran, given)

    def charge(self, now: float, source: PaymentSource, given: Given) -> Charge | None:
        """Debits a request, unless it repeats one already paid for; returns None if the wallet can't pay."""
        request_id = given.request_id
        known = (
            self.charges.get((source.wallet.name, given.type_index, given.key, request_id))
            if request_id
            else None
        )
        # Guards against a client that sends one id with all of its requests. Too strict for a client that
        # goes on repeating a request: it pays again after MAX_REPEATS repeats.
        if (
            known is not None
            and now < known.until
            and known.repeats < MAX_REPEATS
            and known.source.wallet is source.wallet
        ):
            known.in_progress += 1
            known.repeats += 1
            self.free_repeats += 1
            return known
        if not source.wallet.debit(now, source.price, source.binding):
            self.refused += 1
            return None
        self.debited += 1
        charge = Charge(source, now + source.repeat)
        if request_id:
            self.remember(now, (source.wallet.name, given.type_index, given.key, request_id), charge)
        return charge

    def remember(self, now: float, key: ChargeKey, charge: Charge) -> None:
        """Remembers a charge for repeats; forgets expired charges and the oldest above MAX_IDS."""
        charges = self.charges
        charges.pop(key, None)
        charges[key] = charge
        while charges and (len(charges) > MAX_IDS or next(iter(charges.values())).until <= now):
            charges.popitem(last=False)

    def settle(self, charge: Charge, ran: bool, given: Given) -> None:
        """Notes that one request of a charge has ended; refunds the charge if none of them ran."""
        charge.in_progress -= 1
        charge.ran = charge.ran or ran
        if charge.in_progress or charge.ran:
            return
        charge.source.wallet.credit(charge.source.price)
        self.refunded += 1
        request_id = given.request_id
        key = charge.source.wallet.name, given.type_index, given.key, request_id
        if request_id and self.charges.get(key) is charge:
            del self.charges[key]
