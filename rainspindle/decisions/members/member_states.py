"""What is believed of each member, and how updates from others change it.

Source: Das, Gupta, Motivala, "SWIM" (DSN 2002), section 4.2; Dadgar, Phillips, Currey, "Lifeguard" (2018).
What is departed from, and why, stands in docs/design/members.md.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from ...protocol import members as wire
from ...protocol.members import MessageKind, Status
from ...transport.address import address_text
from ..shared.broadcast_queue import transmissions
from .context import MembershipContext
from .dissemination import SOON, Dissemination
from .member import Member, MemberStatus
from .member_table import MemberRecord
from .messenger import Content, Messenger
from .suspicion import Suspicion

HEARSAY_TIME = 0.3  # seconds in which others' word of a death may be confirmed, before the suspect is probed
FRESH_TIME = 1.0  # seconds for which a member's own message speaks against word of its death
SECOND_OPINIONS = 2.0  # members in the mean that probe one of whose suspicion they hear from others
UNKNOWN = "?"  # who suspects a member, where nobody is named
ANSWER_RESERVE = 20.0  # answers that are left for others when a suspicion is confirmed
LIVING = (MemberStatus.ALIVE, MemberStatus.SUSPECT)
EVENTS = {
    MemberStatus.ALIVE: "member recovered",
    MemberStatus.DEAD: "member dead",
    MemberStatus.LEFT: "member left",
}


@dataclass(frozen=True, slots=True)
class Accusation:
    """Who suspects a member.

    Attributes:
        by: The accuser's name.
        own: Whether a probe of this member has failed.
        first_hand: Whether it is heard from who has that opinion itself.
    """

    by: str
    own: bool = False
    first_hand: bool = False


class Prober(Protocol):
    """What the states need of the failure detector."""

    def add_to_round(self, name: str) -> None:
        """Has the member probed in its turn."""

    def probe(self, now: float, record: MemberRecord, alone: bool = False) -> None:
        """Probes the member now."""


class MemberStates:
    """Applies updates to the records of members.

    Attributes:
        changes: Changes of a status, an incarnation or an address so far.
        prober: The failure detector.
        on_own_update: Called with what others say of this member, and who says it.
    """

    prober: Prober
    on_own_update: Callable[[float, wire.MemberUpdate, str], None]

    def __init__(
        self, context: MembershipContext, messenger: Messenger, dissemination: Dissemination
    ) -> None:
        self.changes = 0
        self._messenger = messenger
        self._dissemination = dissemination
        self._own = context.own
        self._table = context.table
        self._suspects = context.suspects
        self._health = context.health
        self._limits = context.limits
        self._tuning = context.tuning
        self._host = context.host
        self._random = context.random
        self._stats = context.stats
        self._unlogged = 0  # changes that were not logged one by one

    # Updates from others.

    def on_update(self, now: float, update: wire.MemberUpdate, teller: str, whole: bool = False) -> None:
        """Takes in what `teller` says of one member; in an exchange of the `whole` state it may be old."""
        if update.name == self._own.record.name:
            self.on_own_update(now, update, teller)
            return
        record = self._table.records.get(update.name)
        if record is None:
            if update.status <= Status.SUSPECT or update.age <= self._tuning.keep_dead:
                self._add(now, update)
        elif update.incarnation < record.incarnation:
            self._stats.older_life += 1
        elif update.incarnation > record.incarnation:
            self._restart(now, record, update)
        elif record.status != Status.LEFT:
            self._apply(now, record, update, teller, whole)

    def on_alive(self, now: float, message: wire.Message) -> None:
        """Takes in that a member has sent a message itself."""
        update = wire.MemberUpdate(
            message.sender, message.address, message.incarnation, message.refutation, Status.ALIVE
        )
        self.on_update(now, update, message.sender)

    # Changes.

    def declare(
        self, now: float, record: MemberRecord, status: Status, refutation: int, age: float = 0.0
    ) -> None:
        """Sets a member's status, which it has had for `age` seconds."""
        before = record.member()
        record.status = status
        record.refutation = refutation
        record.status_since = now - age
        record.suspicion = None
        self._suspects.discard(record.name)
        self._on_changed(now, record, before)

    def suspect(self, now: float, record: MemberRecord, refutation: int, accusation: Accusation) -> None:
        """Records that a member is suspected, at this refutation of it."""
        own = accusation.own
        suspicion = record.suspicion
        if suspicion is not None and refutation == record.refutation:
            self._confirm(now, record, suspicion, accusation)
            return
        if suspicion is None and refutation == record.refutation and record.status == Status.DEAD:
            return
        before = record.member()
        self._stats.suspected += 1
        record.refutation = refutation
        record.status = Status.SUSPECT
        record.status_since = now
        is_own = own or not self._tuning.lifeguard
        record.suspicion = Suspicion(now, {accusation.by}, is_own, follows=not own)
        self._suspects.add(now, record)
        self._on_changed(now, record, before)
        if not own:
            self._give_second_opinion(now, record, accusation.first_hand)

    def _apply(
        self, now: float, record: MemberRecord, update: wire.MemberUpdate, teller: str, whole: bool
    ) -> None:
        """Applies an update of the same incarnation."""
        same = update.refutation == record.refutation
        if update.status == record.status and same and record.is_living:
            self._messenger.updates.record_heard(update.name, transmissions(len(self._table.records)))
        if update.status == Status.LEFT:
            refutation = max(update.refutation, record.refutation)
            self.declare(now, record, Status.LEFT, refutation, float(update.age))
        elif update.refutation < record.refutation:
            return
        elif update.status == Status.ALIVE:
            if not same:
                record.packed_address = update.address
                record.heard_at = now
                self.declare(now, record, Status.ALIVE, update.refutation)
        elif update.status == Status.SUSPECT:
            if record.status != Status.DEAD or not same:
                by = update.suspected_by
                accusation = Accusation(by or teller, first_hand=by in ("", teller))
                self.suspect(now, record, update.refutation, accusation)
        elif record.status != Status.DEAD or not same:
            self._on_declared_dead(now, record, update, teller, whole)

    def _on_declared_dead(
        self, now: float, record: MemberRecord, update: wire.MemberUpdate, teller: str, whole: bool
    ) -> None:
        """Takes in that another has declared a member dead.

        Guards against word of a death that is old, or that own ears speak against. May hurt where the member
        is dead: so it is probed, unless the news comes otherwise too, and the declaration counts as the
        opinion of several.
        """
        is_fresh = record.heard_directly_at > now - FRESH_TIME
        doubtful = whole or is_fresh or self._health.is_suspended(now)
        if not (self._tuning.lifeguard and record.is_living and doubtful):
            self.declare(now, record, Status.DEAD, update.refutation, float(update.age))
            return
        self.suspect(now, record, update.refutation, Accusation(teller))
        suspicion = record.suspicion
        if suspicion is not None and not suspicion.declared:
            suspicion.declared = True
            later = max(now, self._health.suspended_until) + HEARSAY_TIME
            suspicion.probe_at = now if is_fresh else later

    def _add(self, now: float, update: wire.MemberUpdate) -> None:
        """Adds a member that was not known."""
        since = now - float(update.age)
        record = MemberRecord(
            update.name,
            update.address,
            update.incarnation,
            update.refutation,
            Status.ALIVE if update.status == Status.SUSPECT else Status(update.status),
            since,
            since,
        )
        if not self._table.add(record):
            self._stats.full += 1
            return
        if record.is_living:
            self.prober.add_to_round(record.name)
            self._messenger.updates.add(record.name)
            self._dissemination.schedule(now + SOON)
            self._log(now, "member joined", record)
        self.changes += 1
        self._host.on_member_changed(None, record.member())
        if update.status == Status.SUSPECT:
            self.suspect(now, record, update.refutation, Accusation(update.suspected_by or UNKNOWN))

    def _restart(self, now: float, record: MemberRecord, update: wire.MemberUpdate) -> None:
        """Takes in a later start of the same name."""
        before = record.member()
        record.incarnation = update.incarnation
        record.packed_address = update.address
        record.refutation = update.refutation
        record.highest_number = 0
        record.received_numbers = 0
        record.heard_directly_at = -math.inf
        record.heard_at = now
        record.status_since = now - float(update.age)
        record.suspicion = None
        record.status = Status.ALIVE if update.status == Status.SUSPECT else Status(update.status)
        self._suspects.discard(record.name)
        self._on_changed(now, record, before)
        if update.status == Status.SUSPECT:
            self.suspect(now, record, update.refutation, Accusation(update.suspected_by or UNKNOWN))

    def _confirm(
        self, now: float, record: MemberRecord, suspicion: Suspicion, accusation: Accusation
    ) -> None:
        """Takes in one more opinion on a suspect."""
        others = sorted(suspicion.by)
        if len(others) <= self._tuning.opinions:
            suspicion.by.add(accusation.by)
        if accusation.own and not suspicion.own:
            suspicion.own = True
            self._tell_suspecting(now, record, others)
            self._messenger.updates.add(record.name, 1)

    def _tell_suspecting(self, now: float, record: MemberRecord, names: Iterable[str]) -> None:
        """Tells those who suspect a member that a probe has failed here too: the others need not know."""
        if not self._tuning.lifeguard:
            return
        for name in names:
            other = self._table.records.get(name)
            if other is None or not other.is_living or other is self._own.record:
                continue
            if self._limits.answers.take(now, reserve=ANSWER_RESERVE):
                update = self._messenger.encode_update(now, record)
                content = Content(MessageKind.UPDATE, member_updates=[update])
                self._messenger.send_content(now, other.packed_address, content)

    def _give_second_opinion(self, now: float, record: MemberRecord, first_hand: bool) -> None:
        """Probes a suspect of others, so that the truth is known soon either way.

        Those do whom the first to suspect it tells, and a few more.
        """
        if not self._tuning.lifeguard or self._own.is_leaving or self._health.is_suspended(now):
            return
        if not first_hand and self._random.random() * len(self._table.living()) >= SECOND_OPINIONS:
            return
        if self._limits.second_opinions.take(now):
            self.prober.probe(now, record, alone=True)

    def _on_changed(self, now: float, record: MemberRecord, before: Member) -> None:
        self._table.update(record)
        after = record.member()
        rides_along = self._rides_along(record, before, after)
        self._messenger.updates.add(record.name, 1 if rides_along else 0)
        self._dissemination.schedule(now + SOON)
        if (before.status, before.incarnation, before.address) == (
            after.status,
            after.incarnation,
            after.address,
        ):
            return
        self._log_change(now, record, before, after)
        self.changes += 1
        self._host.on_member_changed(before, after)

    def _rides_along(self, record: MemberRecord, before: Member, after: Member) -> bool:
        """Returns whether the update only goes along with other datagrams.

        Guards against a flood for each suspicion that comes to nothing: what others suspect, and that it is
        refuted. May hurt where few messages go out: it is told a little later.
        """
        if not self._tuning.lifeguard or before.incarnation != after.incarnation:
            return False
        if not record.is_living or before.status not in LIVING:
            return False
        return record.suspicion is None or not record.suspicion.own

    def _log_change(self, now: float, record: MemberRecord, before: Member, after: Member) -> None:
        if before.incarnation != after.incarnation and after.status is MemberStatus.ALIVE:
            self._log(now, "member restarted", record)
        elif (after.status in EVENTS and before.status is not MemberStatus.SUSPECT) or not record.is_living:
            self._log(now, EVENTS[after.status], record)

    def _log(self, now: float, event: str, record: MemberRecord) -> None:
        """Guards against a log that a great change fills."""
        if not self._limits.log_lines.take(now):
            self._unlogged += 1
            return
        if self._unlogged:
            self._host.log("members: more changes", count=self._unlogged)
            self._unlogged = 0
        address = address_text(record.address)
        self._host.log(event, name=record.name, at=address, life=record.incarnation)
