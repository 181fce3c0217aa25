"""Anti-entropy: comparing all that is known with another member, so that no loss lasts.

Source: Das, Gupta, Motivala, "SWIM" (DSN 2002), section 5; the full-state exchange is memberlist's push-pull.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ...protocol import members as wire
from ...protocol.members import MessageKind
from ...transport.address import Address
from ..shared.register_gossip import OwnerStatus
from .context import MembershipContext
from .member_table import MemberRecord
from .messenger import Content, Messenger

MAX_PAGES = 6  # datagrams of members that answer one exchange
MAX_PER_PAGE = 90
PAGE_HEADER = 200  # bytes of a datagram that are kept for what goes around its members
DIGEST_HEADER = 300  # the same around digests of registers
YOUNG_STATE_PERIOD = 0.5  # seconds between exchanges of one that has come lately
LONELY_PERIOD = 0.5  # seconds between tries to reach anybody
FAR_PERIOD = 4.0  # seconds between tries to reach those believed dead
LONELY_TRIES = 3  # seeds tried at once
MIN_JITTER = 0.8
JITTER = 0.4
MANY_CHANGES = 2  # in an answer; more have the next exchange begin soon
ANSWER_RESERVE = 10.0  # answers that are left for others within an exchange,
LAST_PAGE_RESERVE = 5.0  # and for its last page
DIGEST_RESERVE = 2.0
MILLISECONDS = 1000


class AntiEntropy:
    """Exchanges the states of members and digests of registers, now and then.

    Attributes:
        seeds: Addresses of some members that the configuration names.
        next_state_at: When the next exchange with a living member is due.
    """

    def __init__(
        self,
        context: MembershipContext,
        messenger: Messenger,
        seeds: Iterable[Address],
        now: float,
    ) -> None:
        self.seeds = list(seeds)
        self.next_state_at = now
        self._messenger = messenger
        self._own = context.own
        self._table = context.table
        self._limits = context.limits
        self._tuning = context.tuning
        self._random = context.random
        self._sampler = context.sampler
        self._next_far_at = now
        self._next_digest_at = now + context.random.random() * context.tuning.digest_period

    # Time.

    def check(self, now: float) -> None:
        """Begins the exchanges that are due."""
        if now >= self._next_far_at:
            self._reach_far(now)
        if now >= self.next_state_at:
            self._compare_states(now)
        if self._messenger.registers is not None and now >= self._next_digest_at:
            self._next_digest_at = now + self._tuning.digest_period * self._jitter()
            self._send_digests(now)

    def exchange(self, now: float, packed_address: bytes) -> None:
        """Asks the member at an address for what it knows otherwise."""
        if self._limits.own.take(now):
            content = Content(MessageKind.STATE, table_digests=self._table.digests())
            self._messenger.send_content(now, packed_address, content)

    # Messages.

    def on_state(self, now: float, sender: MemberRecord, digests: bytes) -> None:
        """Answers an exchange."""
        self._send_differing(now, sender, digests, MessageKind.STATE_ANSWER)

    def on_state_answer(self, now: float, sender: MemberRecord, digests: bytes, changes: int) -> None:
        """Takes in an answer to an exchange, which brought so many changes."""
        if digests:
            self._send_differing(now, sender, digests, MessageKind.UPDATE)
        if changes > MANY_CHANGES:
            pause = 0.3 if self._own.is_young(now) else 1.0
            self.next_state_at = min(self.next_state_at, now + pause)

    def on_digests(self, now: float, sender: MemberRecord, digests: list[wire.RegisterDigest]) -> None:
        """Compares digests of registers, and requests what is otherwise here."""
        registers = self._messenger.registers
        if registers is None:
            return
        for one in digests:
            record = self._table.records.get(one.owner)
            if record is None or one.incarnation != record.incarnation:
                continue
            if one.owner != self._own.record.name:
                record.heard_at = max(record.heard_at, now - one.age / MILLISECONDS)
        requests = registers.compare(now, digests)
        if requests and self._limits.answers.take(now, reserve=ANSWER_RESERVE):
            encoded = [wire.raw(request) for request in requests]
            content = Content(MessageKind.UPDATE, register_requests=encoded, piggyback=False)
            self._messenger.send_content(now, sender.packed_address, content)

    def on_requests(self, now: float, sender: MemberRecord, requests: Iterable[wire.RegisterRequest]) -> None:
        """Sends registers that another has otherwise."""
        registers = self._messenger.registers
        if registers is None:
            return
        for request in requests:
            for page in registers.answer(now, request):
                if not self._limits.answers.take(now, reserve=ANSWER_RESERVE):
                    break
                content = Content(MessageKind.UPDATE, register_updates=page, piggyback=False)
                self._messenger.send_content(now, sender.packed_address, content)

    def _compare_states(self, now: float) -> None:
        period = YOUNG_STATE_PERIOD if self._own.is_young(now) else self._tuning.state_period
        self.next_state_at = now + period * self._jitter()
        for record in self._sampler.alive(1):
            self.exchange(now, record.packed_address)

    def _reach_far(self, now: float) -> None:
        """Tries one that is believed dead, or a seed that is none of the living: halves of a cut meet."""
        living = self._table.living()
        known = {record.packed_address for record in living} | {self._own.record.packed_address}
        packed_seeds = [wire.pack_address(seed) for seed in self.seeds]
        unmet = [packed for packed in packed_seeds if packed not in known]
        if not living:
            self._next_far_at = now + LONELY_PERIOD
            for packed in self._random.sample(unmet, min(LONELY_TRIES, len(unmet))):
                self.exchange(now, packed)
            return
        self._next_far_at = now + FAR_PERIOD * self._jitter()
        far = unmet + [record.packed_address for record in self._table.dead()]
        if far:
            self.exchange(now, self._random.choice(far))

    def _send_differing(self, now: float, to: MemberRecord, digests: bytes, kind: MessageKind) -> None:
        """Sends what is known here otherwise than by another, whose digests these are."""
        partitions = self._table.differing_partitions(digests)
        if not partitions:
            return
        self._random.shuffle(partitions)
        own_digests = self._table.digests() if kind is MessageKind.STATE_ANSWER else b""
        page: list[msgspec.Raw] = []
        full = wire.MAX_DATAGRAM - PAGE_HEADER - len(own_digests)
        room = full
        pages = 0
        for record in self._table.in_partitions(partitions):
            update = self._messenger.encode_update(now, record)
            if len(update) > room or len(page) >= MAX_PER_PAGE:
                if pages + 1 >= MAX_PAGES or not self._limits.answers.take(now, reserve=ANSWER_RESERVE):
                    break
                self._send_page(now, to, kind, own_digests, page)
                own_digests = b""
                pages += 1
                page = []
                room = full
            page.append(update)
            room -= len(update)
        if page and self._limits.answers.take(now, reserve=LAST_PAGE_RESERVE):
            self._send_page(now, to, kind, own_digests, page)

    def _send_page(
        self, now: float, to: MemberRecord, kind: MessageKind, digests: bytes, page: list[msgspec.Raw]
    ) -> None:
        content = Content(kind, table_digests=digests, member_updates=page, piggyback=False)
        self._messenger.send_content(now, to.packed_address, content)

    def _send_digests(self, now: float) -> None:
        registers = self._messenger.registers
        if registers is None:
            return
        for record in self._sampler.alive(1):
            if self._limits.own.take(now, reserve=DIGEST_RESERVE):
                room = wire.MAX_DATAGRAM - DIGEST_HEADER
                digests = registers.digests(now, room, self._status_of)
                content = Content(MessageKind.UPDATE, register_digests=digests)
                self._messenger.send_content(now, record.packed_address, content)

    def _status_of(self, name: str) -> OwnerStatus | None:
        record = self._table.records.get(name)
        return None if record is None else OwnerStatus(record.incarnation, record.heard_at)

    def _jitter(self) -> float:
        return MIN_JITTER + JITTER * self._random.random()
