"""Conflicts about this member's name: with a successor process, an earlier start or an unrelated process."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from ...protocol import members as wire
from ...protocol.members import MessageKind, Status
from ...transport.address import address_text
from .context import MembershipContext
from .dissemination import Dissemination
from .messenger import Content, Messenger

CHECK_PERIOD = 0.5  # seconds
PING_PERIOD = 2.0  # seconds between pings to another process of the same name while this one is silenced
EXPIRE_AFTER = 6.0  # seconds without an answer after which the other process counts as gone
RETRY_PERIOD = 0.4  # seconds between the first pings to the other process
MAX_PINGS = 4  # unanswered pings after which this process takes the name
CONFLICT_REPORT_LIFETIME = 3 * PING_PERIOD  # seconds for which a silenced process's report remains valid
INCARNATION_STEP = 1024  # a higher incarnation is chosen at random within this many above the known one


@dataclass(slots=True)
class NameConflict:
    """Another process that is known under this member's name.

    Attributes:
        incarnation: Incarnation of the other process.
        packed_address: Address of the other process.
        ping_number: Datagram number of the last ping to it.
        pinged_at: Time of the last ping to it.
        heard_at: Time of its last answer; -inf if it never answered.
        pings_sent: Number of pings sent while it is undecided which process keeps the name.
    """

    incarnation: int
    packed_address: bytes
    ping_number: int
    pinged_at: float
    heard_at: float = -math.inf
    pings_sent: int = 1


class NameConflictResolver:
    """Decides which of several processes with the same name takes part in the fleet.

    Attributes:
        is_silenced: Whether another process has the name, so that this one sends nothing under it.
        is_handed_over: Whether the process that has the name is this one's successor.
        other_address: Address of another process with this name; empty if there is none.
        has_successor: Returns whether a process that takes over from this one runs alongside it.
    """

    def __init__(
        self,
        context: MembershipContext,
        messenger: Messenger,
        dissemination: Dissemination,
        has_successor: Callable[[], bool],
        now: float,
    ) -> None:
        self.is_silenced = False
        self.is_handed_over = False
        self.other_address = ""
        self._messenger = messenger
        self._dissemination = dissemination
        self._own = context.own
        self._table = context.table
        self._health = context.health
        self._limits = context.limits
        self._host = context.host
        self._random = context.random
        self._stats = context.stats
        self.has_successor = has_successor
        self._conflict: NameConflict | None = None
        self._next_check_at = now
        self._conflict_reported_until = -math.inf

    # Messages.

    def on_message(self, now: float, message: wire.Message) -> None:
        """Handles a message that names this member as its sender."""
        own = self._own.record
        if message.incarnation == own.incarnation or self.is_handed_over:
            return  # a message of this process itself, or its successor's
        conflict = self._conflict
        if message.kind == MessageKind.PING and message.target == own.name:
            if self._limits.answers.take(now):
                content = Content(MessageKind.ACK, message.number, piggyback=False)
                self._messenger.send_content(now, message.address, content)
        elif message.kind == MessageKind.ACK and conflict and message.echo == conflict.ping_number:
            self._on_answer(now, message, conflict)
        elif (
            message.kind == MessageKind.NAME_CONFLICT
            and message.echo == own.incarnation
            and message.incarnation < own.incarnation
        ):
            self._on_conflict_report(now, message)
        elif message.incarnation > own.incarnation:
            self._on_higher_incarnation(now, message.incarnation, message.address)

    def on_own_update(self, now: float, update: wire.MemberUpdate, reporter: str) -> None:
        """Handles an update about this member that `reporter` sent, and refutes it where it is wrong."""
        own = self._own.record
        if update.incarnation > own.incarnation:
            self._on_higher_incarnation(now, update.incarnation, update.address)
        elif update.incarnation == own.incarnation and not self._own.is_leaving:
            if update.status == Status.LEFT:
                self._take_incarnation(now, own.incarnation)
            elif update.status != Status.ALIVE and update.refutation >= own.refutation:
                self._refute(now, update, reporter)

    # Time.

    def check(self, now: float) -> None:
        """Re-evaluates who has the name if the check period has passed."""
        if now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_PERIOD
        if now >= self._conflict_reported_until and self.other_address and not self.is_silenced:
            self.other_address = ""
            self._host.log("members: no other process has this name any longer")
        if self._own.is_leaving:
            return
        if self.has_successor() != self.is_handed_over:
            self._check_successor(now)
        elif self._conflict is not None and not self.is_handed_over:
            self._check_conflict(now, self._conflict)

    def hand_over_to_any_successor(self) -> None:
        """Leaves the name to the successor process if there is one."""
        if not self.is_silenced and self.has_successor():
            self._hand_over()

    def announce(self, now: float) -> None:
        """Broadcasts this member's own record as soon as possible."""
        self._table.update(self._own.record)
        self._messenger.updates.add(self._own.record.name)
        self._dissemination.schedule(now)

    def _check_successor(self, now: float) -> None:
        if not self.is_handed_over:
            self._hand_over()
        else:
            self.is_handed_over = False
            self.is_silenced = False
            self._take_incarnation(now, self._own.record.incarnation)

    def _check_conflict(self, now: float, conflict: NameConflict) -> None:
        if self.is_silenced:
            if now - conflict.heard_at > EXPIRE_AFTER:
                self._conflict = None
                self.is_silenced = False
                self.other_address = ""
                self._host.log("members: the other process with this name is gone, taking part again")
                self._take_incarnation(now, conflict.incarnation)
            elif now - conflict.pinged_at > PING_PERIOD:
                self._ping(now, conflict)
                content = Content(MessageKind.NAME_CONFLICT, conflict.incarnation, piggyback=False)
                self._messenger.send_content(now, conflict.packed_address, content)
        elif now - conflict.pinged_at > RETRY_PERIOD:
            conflict.pings_sent += 1
            if conflict.pings_sent > MAX_PINGS:
                self._conflict = None
                self._take_incarnation(now, conflict.incarnation)
            else:
                self._ping(now, conflict)

    def _on_answer(self, now: float, message: wire.Message, conflict: NameConflict) -> None:
        conflict.heard_at = now
        conflict.incarnation = max(conflict.incarnation, message.incarnation)
        if self.is_silenced or self._own.is_leaving:
            return
        if message.incarnation > self._own.record.incarnation:
            self.is_silenced = True
            self.other_address = address_text(wire.unpack_address(message.address))
            self._log_conflict("silenced")
            self._next_check_at = now
            conflict.pinged_at = -math.inf

    def _on_conflict_report(self, now: float, message: wire.Message) -> None:
        """Handles the report of another process that it has the same name and is silenced."""
        address = address_text(wire.unpack_address(message.address))
        if address != self.other_address:
            self.other_address = address
            self._log_conflict("keeps the name")
        self._conflict_reported_until = now + CONFLICT_REPORT_LIFETIME

    def _on_higher_incarnation(self, now: float, incarnation: int, packed_address: bytes) -> None:
        """Handles the news that this member's name is known with a higher incarnation.

        That incarnation may belong to a successor, to an earlier start whose clock was ahead, or to another
        process with the same name.
        """
        if self._own.is_leaving or self.is_silenced:
            return
        if self.has_successor():
            self._hand_over()
        elif not self._own.is_settled(now) or packed_address == self._own.record.packed_address:
            self._take_incarnation(now, incarnation)
        elif self._conflict is None:
            self._conflict = NameConflict(incarnation, packed_address, 0, now)
            self._ping(now, self._conflict)

    def _ping(self, now: float, conflict: NameConflict) -> None:
        content = Content(MessageKind.PING, target=self._own.record.name, piggyback=False)
        data = self._messenger.compose(now, content)
        conflict.ping_number = self._messenger.number
        conflict.pinged_at = now
        if self._limits.answers.take(now):
            self._messenger.post(conflict.packed_address, data)

    def _hand_over(self) -> None:
        self.is_handed_over = True
        self.is_silenced = True
        self._host.log("members: name handed over to the successor process")

    def _take_incarnation(self, now: float, above: int) -> None:
        """Moves this process and its registers to an incarnation higher than `above`."""
        own = self._own.record
        before = own.to_member()
        own.incarnation = above + 1 + self._random.randrange(INCARNATION_STEP)
        own.refutation = 0
        self._host.log("members: higher incarnation taken", life=own.incarnation, above=above)
        if self._messenger.registers is not None:
            self._messenger.registers.store.restart(now, own.incarnation)
        self.announce(now)
        self._host.on_member_changed(before, own.to_member())

    def _refute(self, now: float, update: wire.MemberUpdate, reporter: str) -> None:
        self._own.record.refutation = update.refutation + 1
        self._stats.refuted += 1
        self._health.worsen()
        self.announce(now)
        record = self._table.records.get(reporter)
        if record is not None and self._limits.answers.take(now):
            self._messenger.send(now, record, MessageKind.UPDATE)

    def _log_conflict(self, outcome: str) -> None:
        self._host.log(
            "members: another process has this name",
            name=self._own.record.name,
            at=self.other_address,
            this_one=outcome,
        )
