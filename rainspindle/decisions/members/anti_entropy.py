"""Anti-entropy: periodic comparison of state with another member, which repairs lost updates.

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

MAX_PAGES = 6  # datagrams with member updates sent in answer to one state request
MAX_PER_PAGE = 90  # member updates in one datagram
PAGE_HEADER = 200  # bytes of a datagram reserved for everything but its member updates
DIGEST_HEADER = 300  # bytes of a datagram reserved for everything but its register digests
NEWLY_JOINED_STATE_PERIOD = 0.5  # seconds between exchanges while this member has only just joined
ISOLATED_PERIOD = 0.5  # seconds between attempts to reach a seed while no other member is known alive
REJOIN_PERIOD = 4.0  # seconds between attempts to reach a dead member or an unknown seed
ISOLATED_SEEDS = 3  # seeds contacted at a time while no other member is known alive
MIN_JITTER = 0.8  # periods are multiplied by a random factor from MIN_JITTER to MIN_JITTER + JITTER
JITTER = 0.4
MANY_CHANGES = 2  # an answer with more changes than this brings the next exchange forward
ANSWER_RESERVE = 10.0  # tokens of the answer limit left for other answers
LAST_PAGE_RESERVE = 5.0  # tokens left for other answers when the last page of an answer is sent
DIGEST_RESERVE = 2.0  # tokens of the limit on own datagrams left when digests are sent
MILLISECONDS_PER_SECOND = 1000


class AntiEntropy:
    """Periodically exchanges member states and register digests with random members.

    Attributes:
        seeds: Configured addresses of some members.
        next_state_at: Time of the next full-state exchange with a living member.
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
        self._next_rejoin_at = now
        self._next_digest_at = now + context.random.random() * context.tuning.digest_period

    # Time.

    def check(self, now: float) -> None:
        """Starts the exchanges that are due."""
        if now >= self._next_rejoin_at:
            self._contact_unreachable(now)
        if now >= self.next_state_at:
            self._compare_states(now)
        if self._messenger.registers is not None and now >= self._next_digest_at:
            self._next_digest_at = now + self._tuning.digest_period * self._jitter()
            self._send_digests(now)

    def request_state(self, now: float, packed_address: bytes) -> None:
        """Asks the member at an address for the records in which it differs from this one."""
        if self._limits.own.take(now):
            content = Content(MessageKind.STATE, table_digests=self._table.digests())
            self._messenger.send_content(now, packed_address, content)

    # Messages.

    def on_state(self, now: float, sender: MemberRecord, digests: bytes) -> None:
        """Answers a state request with the records that differ from the sender's."""
        self._send_differing(now, sender, digests, MessageKind.STATE_ANSWER)

    def on_state_answer(self, now: float, sender: MemberRecord, digests: bytes, changes: int) -> None:
        """Handles an answer to a state request whose updates made `changes` changes here.

        The sender's digests, if there are any, are answered with the records that differ from them.
        """
        if digests:
            self._send_differing(now, sender, digests, MessageKind.UPDATE)
        if changes > MANY_CHANGES:
            pause = 0.3 if self._own.is_newly_joined(now) else 1.0
            self.next_state_at = min(self.next_state_at, now + pause)

    def on_digests(self, now: float, sender: MemberRecord, digests: list[wire.RegisterDigest]) -> None:
        """Compares another member's register digests, and requests the registers that differ."""
        registers = self._messenger.registers
        if registers is None:
            return
        for digest in digests:
            record = self._table.records.get(digest.owner)
            if record is None or digest.incarnation != record.incarnation:
                continue
            if digest.owner != self._own.record.name:
                record.heard_at = max(record.heard_at, now - digest.age / MILLISECONDS_PER_SECOND)
        requests = registers.compare(now, digests)
        if requests and self._limits.answers.take(now, reserve=ANSWER_RESERVE):
            encoded = [wire.raw(request) for request in requests]
            content = Content(MessageKind.UPDATE, register_requests=encoded, piggyback=False)
            self._messenger.send_content(now, sender.packed_address, content)

    def on_requests(self, now: float, sender: MemberRecord, requests: Iterable[wire.RegisterRequest]) -> None:
        """Sends the registers in which this member differs from another that requests them."""
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
        period = NEWLY_JOINED_STATE_PERIOD if self._own.is_newly_joined(now) else self._tuning.state_period
        self.next_state_at = now + period * self._jitter()
        for record in self._sampler.alive(1):
            self.request_state(now, record.packed_address)

    def _contact_unreachable(self, now: float) -> None:
        """Contacts a member believed dead, or a seed that is not among the living members.

        This reunites the two sides of a network partition.
        """
        living = self._table.living()
        known = {record.packed_address for record in living} | {self._own.record.packed_address}
        packed_seeds = [wire.pack_address(seed) for seed in self.seeds]
        unknown_seeds = [packed for packed in packed_seeds if packed not in known]
        if not living:
            self._next_rejoin_at = now + ISOLATED_PERIOD
            for packed in self._random.sample(unknown_seeds, min(ISOLATED_SEEDS, len(unknown_seeds))):
                self.request_state(now, packed)
            return
        self._next_rejoin_at = now + REJOIN_PERIOD * self._jitter()
        unreachable = unknown_seeds + [record.packed_address for record in self._table.dead()]
        if unreachable:
            self.request_state(now, self._random.choice(unreachable))

    def _send_differing(self, now: float, to: MemberRecord, digests: bytes, kind: MessageKind) -> None:
        """Sends the records of all partitions that differ from another member's `digests`, in pages."""
        partitions = self._table.differing_partitions(digests)
        if not partitions:
            return
        self._random.shuffle(partitions)
        own_digests = self._table.digests() if kind is MessageKind.STATE_ANSWER else b""
        page: list[msgspec.Raw] = []
        page_size = wire.MAX_DATAGRAM - PAGE_HEADER - len(own_digests)
        room = page_size
        pages_sent = 0
        for record in self._table.in_partitions(partitions):
            update = self._messenger.encode_update(now, record)
            if len(update) > room or len(page) >= MAX_PER_PAGE:
                if pages_sent + 1 >= MAX_PAGES or not self._limits.answers.take(now, reserve=ANSWER_RESERVE):
                    break
                self._send_page(now, to, kind, own_digests, page)
                own_digests = b""
                pages_sent += 1
                page = []
                room = page_size
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
