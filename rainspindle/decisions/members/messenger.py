"""Composes and sends datagrams, and fills the remaining space in them with updates."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from ...protocol import members as wire
from ...protocol.members import MessageKind, Status
from ..shared.broadcast_queue import BroadcastQueue, transmission_limit
from ..shared.register_gossip import RegisterGossip
from .context import MembershipContext
from .member_table import MemberRecord

MAX_UPDATES = 40  # member updates piggybacked on one datagram
UPDATE_OVERHEAD = 25  # bytes of an update in addition to its names and its address
# Upper limit of the first datagram number, which is random so that answers to an earlier incarnation of this
# member do not match a number of this one.
FIRST_NUMBERS = 2**32


@dataclass(frozen=True, slots=True)
class Content:
    """Content of a datagram without its header; list items are encoded already.

    Attributes:
        kind: Purpose of the message.
        echo: In an answer, the number of the datagram that it answers.
        target: Name of the member that a ping is meant for.
        target_address: In a ping request, the address to ping.
        member_updates: Updates of members.
        register_updates: Updates of registers.
        register_digests: Digests of the registers of some owners.
        register_requests: Requests for registers.
        table_digests: Digests of all members known to the sender.
        load_report: Load report of the balancer.
        piggyback: Whether the remaining space of the datagram is filled with pending updates.
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
    """Sends datagrams, and owns the pending updates that are piggybacked on them.

    Attributes:
        number: Number of the last datagram; increases with each.
        updates: Names of members whose updates are still to be broadcast.
        registers: Gossip of registers, or None if this member has none.
        piggybacked_at: Time at which pending updates were last piggybacked on a datagram.
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
        """Whether updates of members or registers are pending."""
        return bool(self.updates) or (self.registers is not None and bool(self.registers.queue))

    def send(self, now: float, to: MemberRecord, kind: MessageKind, echo: int = 0) -> None:
        """Sends a message to a known member, with its own believed state unless it is alive."""
        content = Content(kind, echo, member_updates=self.update_for(now, to))
        self.post(to.packed_address, self.compose(now, content))

    def send_content(self, now: float, packed_address: bytes, content: Content) -> None:
        """Sends a message to an address."""
        self.post(packed_address, self.compose(now, content))

    def compose(self, now: float, content: Content) -> bytes:
        """Encodes one datagram under the next number, and piggybacks pending updates if requested."""
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
        if len(data) > wire.MAX_DATAGRAM:  # should not happen; the receiver drops such a datagram
            self._stats.too_long += 1
        return data

    def post(self, packed_address: bytes, data: bytes) -> None:
        """Sends an encoded datagram and counts it."""
        self._stats.sent += 1
        self._stats.sent_bytes += len(data)
        self._host.send(wire.unpack_address(packed_address), data)

    def update_for(self, now: float, record: MemberRecord) -> list[msgspec.Raw]:
        """Returns the update that tells a member its own believed state, or nothing if it is alive.

        This is Lifeguard's buddy system: a suspected member learns of it at once and can refute it.
        """
        if record.status == Status.ALIVE or not self._tuning.lifeguard:
            return []
        record.informed_at = now
        return [self.encode_update(now, record)]

    def encode_update(self, now: float, record: MemberRecord) -> msgspec.Raw:
        """Encodes the believed state of a member."""
        suspected_by = ""
        age = 0
        if record.suspicion is not None:
            suspected_by = self._choose_accuser(record.suspicion.is_verified, record.suspicion.accusers)
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

    def _choose_accuser(self, is_verified: bool, accusers: set[str]) -> str:
        own_name = self._own.record.name
        if is_verified and own_name in accusers:
            return own_name
        return self._random.choice(sorted(accusers))

    def _fill(self, now: float, message: wire.OutgoingMessage) -> None:
        self.piggybacked_at = now
        members = len(self._table.records)
        room = wire.MAX_DATAGRAM - wire.LIST_OVERHEAD - len(wire.encode(message))
        has_registers = self.registers is not None and bool(self.registers.queue)
        members_room = room * 3 // 4 if has_registers else room
        for name in self.updates.pick(members_room, MAX_UPDATES, self._update_size):
            update = self.encode_update(now, self._table.records[name])
            if len(update) <= room:
                message.member_updates.append(update)
                room -= len(update)
                self.updates.record_sent(name, transmission_limit(members))
        if self.registers is not None:
            message.register_updates.extend(self.registers.take_updates(now, room, members))

    def _update_size(self, name: str) -> int:
        record = self._table.records.get(name)
        if record is None:
            return 0
        name_count = 1 if record.suspicion is None else 2
        return len(name) * name_count + len(record.packed_address) + UPDATE_OVERHEAD
