"""Composing and sending datagrams; what room is left in them is filled with updates."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from ...protocol import members as wire
from ...protocol.members import MessageKind, Status
from ..shared.broadcast_queue import BroadcastQueue, transmissions
from ..shared.register_gossip import RegisterGossip
from .context import MembershipContext
from .member_table import MemberRecord

MAX_UPDATES = 40  # of members in the rest of a datagram
UPDATE_OVERHEAD = 25  # bytes of an update beside its names and its address
FIRST_NUMBERS = 2**32  # the first number is drawn below, so that no answer to an earlier incarnation fits


@dataclass(frozen=True, slots=True)
class Content:
    """What a datagram says, beside its header.

    Attributes:
        kind: What it is for.
        echo: Of an answer: the number of what it answers.
        target: Whom a ping is for.
        target_address: Where a ping is to be sent on.
        member_updates: News of members, encoded.
        register_updates: News of registers.
        register_digests: Of the registers of some owners.
        register_requests: For registers.
        table_digests: Of all members known here.
        load_report: A message of the balancer.
        piggyback: Whether the rest of the datagram is filled with updates.
    """

    kind: MessageKind
    echo: int = 0
    target: str = ""
    target_address: bytes = b""
    member_updates: Sequence[msgspec.Raw] = ()
    register_updates: Sequence[msgspec.Raw] = ()
    register_digests: Sequence[msgspec.Raw] = ()
    register_requests: Sequence[msgspec.Raw] = ()
    table_digests: bytes = b""
    load_report: str = ""
    piggyback: bool = field(default=True, kw_only=True)


class Messenger:
    """Sends datagrams, and owns the updates that travel with them.

    Attributes:
        number: Of the last datagram; grows with each.
        updates: Names of members whose updates are to be broadcast.
        registers: The gossip of registers, where there are any.
        piggybacked_at: When updates went along with a datagram last.
    """

    def __init__(self, context: MembershipContext, fleet: str, registers: RegisterGossip | None) -> None:
        self.number = context.random.randrange(1, FIRST_NUMBERS)
        self.updates: BroadcastQueue[str] = BroadcastQueue(context.tuning.max_members)
        self.registers = registers
        self.piggybacked_at = -math.inf
        self._fleet = fleet
        self._own = context.own
        self._host = context.host
        self._table = context.table
        self._tuning = context.tuning
        self._random = context.random
        self._stats = context.stats

    @property
    def has_updates(self) -> bool:
        """Whether updates of members or registers wait to be sent."""
        return bool(self.updates) or (self.registers is not None and bool(self.registers.queue))

    def send(self, now: float, to: MemberRecord, kind: MessageKind, echo: int = 0) -> None:
        """Sends a message to a known member, with what is believed of it."""
        content = Content(kind, echo, member_updates=self.update_for(now, to))
        self.post(to.packed_address, self.compose(now, content))

    def send_content(self, now: float, packed_address: bytes, content: Content) -> None:
        """Sends a message to an address."""
        self.post(packed_address, self.compose(now, content))

    def compose(self, now: float, content: Content) -> bytes:
        """Encodes one datagram, with the next number."""
        own = self._own.record
        self.number += 1
        message = wire.OutgoingMessage(
            wire.VERSION,
            wire.LOWEST_READER,
            self._fleet,
            own.name,
            own.incarnation,
            own.refutation,
            own.packed_address,
            self.number,
            content.kind,
            content.echo,
            content.target,
            content.target_address,
            list(content.member_updates),
            list(content.register_updates),
            list(content.register_digests),
            list(content.register_requests),
            content.table_digests,
            content.load_report,
        )
        if content.piggyback and self.has_updates:
            self._fill(now, message)
        data = wire.encode(message)
        if len(data) > wire.MAX_DATAGRAM:  # cannot be; the others would drop it
            self._stats.too_long += 1
        return data

    def post(self, packed_address: bytes, data: bytes) -> None:
        """Sends a datagram."""
        self._stats.sent += 1
        self._stats.sent_bytes += len(data)
        self._host.send(wire.unpack_address(packed_address), data)

    def update_for(self, now: float, record: MemberRecord) -> list[msgspec.Raw]:
        """Returns what a member is told of itself (Lifeguard's buddy system), if it is not held for alive."""
        if record.status == Status.ALIVE or not self._tuning.lifeguard:
            return []
        record.informed_at = now
        return [self.encode_update(now, record)]

    def encode_update(self, now: float, record: MemberRecord) -> msgspec.Raw:
        """Encodes what is believed of a member."""
        suspected_by = ""
        age = 0
        if record.suspicion is not None:
            suspected_by = self._suspected_by(record.suspicion.own, record.suspicion.by)
        elif not record.is_living:
            age = max(int(now - record.status_since), 0)
        return wire.raw(
            wire.MemberUpdate(
                record.name,
                record.packed_address,
                record.incarnation,
                record.refutation,
                record.status,
                suspected_by,
                age,
            )
        )

    def _suspected_by(self, own: bool, by: set[str]) -> str:
        own_name = self._own.record.name
        if own and own_name in by:
            return own_name
        return self._random.choice(sorted(by))

    def _fill(self, now: float, message: wire.OutgoingMessage) -> None:
        self.piggybacked_at = now
        members = len(self._table.records)
        room = wire.MAX_DATAGRAM - wire.LIST_OVERHEAD - len(wire.encode(message))
        shares = self.registers is not None and bool(self.registers.queue)
        for_members = room * 3 // 4 if shares else room
        for name in self.updates.pick(for_members, MAX_UPDATES, self._update_size):
            update = self.encode_update(now, self._table.records[name])
            if len(update) <= room:
                message.member_updates.append(update)
                room -= len(update)
                self.updates.record_sent(name, transmissions(members))
        if self.registers is not None:
            message.register_updates.extend(self.registers.take_updates(now, room, members))

    def _update_size(self, name: str) -> int:
        record = self._table.records.get(name)
        if record is None:
            return 0
        names = 1 if record.suspicion is None else 2
        return len(name) * names + len(record.packed_address) + UPDATE_OVERHEAD
