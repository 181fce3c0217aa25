"""The believed status of each member, and how updates from others change it.

Source: Das, Gupta, Motivala, "SWIM" (DSN 2002), section 4.2; Dadgar, Phillips, Currey, "Lifeguard" (2018).
docs/design/members.md lists the deviations from these papers and the reasons.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from ...protocol import members as wire
from ...protocol.members import MessageKind, Status
from ...transport.address import address_text
from ..shared.broadcast_queue import transmission_limit
from .context import MembershipContext
from .dissemination import BATCH_DELAY, Dissemination
from .member import Member, MemberStatus
from .member_table import MemberRecord
from .messenger import Content, Messenger
from .suspicion import Suspicion

# Seconds to wait for a confirmation of a reported death before this member probes the suspect itself.
DEATH_REPORT_DELAY = 0.3
# Seconds for which a message received from a member itself contradicts reports of its death.
DIRECT_CONTACT_TIME = 1.0
VERIFYING_MEMBERS = 2.0  # average number of members that probe a suspect after a second-hand report
UNKNOWN = "?"  # accuser of a suspect if the update names none
ANSWER_RESERVE = 20.0  # tokens of the answer limit left for others when accusers are notified
LIVING_STATUSES = (MemberStatus.ALIVE, MemberStatus.SUSPECT)
EVENTS = {
    MemberStatus.ALIVE: "member recovered",
    MemberStatus.DEAD: "member dead",
    MemberStatus.LEFT: "member left",
}


@dataclass(frozen=True, slots=True)
class Accusation:
    """Report that a member is suspected.

    Attributes:
        accuser: Name of the member that suspects it.
        is_own: Whether the report is a failed probe of this process itself.
        is_first_hand: Whether the report was received from the accuser itself.
    """

    accuser: str
    is_own: bool = False
    is_first_hand: bool = False


class Prober(Protocol):
    """Interface of the failure detector that `MemberStates` uses."""

    def add_to_round(self, name: str) -> None:
        """Adds a new member to the current round of probes."""

    def probe(self, now: float, record: MemberRecord, direct_only: bool = False) -> None:
        """Probes the member now; if `direct_only` is set, no other members are asked for help."""


class MemberStates:
    """Applies updates to the records of members.

    Attributes:
        changes: Number of changes of a status, an incarnation or an address so far.
        prober: The failure detector.
        on_own_update: Called with the time, an update about this member and the name of who sent it.
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
        self._unlogged = 0  # changes omitted from the log because of the rate limit

    # Updates from others.

    def on_update(
        self, now: float, update: wire.MemberUpdate, reporter: str, is_full_state: bool = False
    ) -> None:
        """Applies an update about one member that the member `reporter` sent.

        `is_full_state` marks an update from a full-state exchange, which may be out of date.
        """
        if update.name == self._own.record.name:
            self.on_own_update(now, update, reporter)
            return
        record = self._table.records.get(update.name)
        if record is None:
            if update.status <= Status.SUSPECT or update.age <= self._tuning.dead_retention:
                self._add(now, update)
        elif update.incarnation < record.incarnation:
            self._stats.older_life += 1
        elif update.incarnation > record.incarnation:
            self._restart(now, record, update)
        elif record.status != Status.LEFT:
            self._apply(now, record, update, reporter, is_full_state)

    def on_alive(self, now: float, message: wire.Message) -> None:
        """Applies the member's own state as given by a message that it sent itself."""
        update = wire.MemberUpdate(
            message.sender, message.address, message.incarnation, message.refutation, Status.ALIVE
        )
        self.on_update(now, update, message.sender)

    # Status changes.

    def declare(
        self, now: float, record: MemberRecord, status: Status, refutation: int, age: float = 0.0
    ) -> None:
        """Sets a status other than suspect, held for `age` seconds already, and ends any suspicion."""
        before = record.to_member()
        record.status = status
        record.refutation = refutation
        record.status_since = now - age
        record.suspicion = None
        self._suspects.discard(record.name)
        self._on_changed(now, record, before)

    def suspect(self, now: float, record: MemberRecord, refutation: int, accusation: Accusation) -> None:
        """Records that a member is suspected at this refutation number."""
        is_own = accusation.is_own
        suspicion = record.suspicion
        if suspicion is not None and refutation == record.refutation:
            self._confirm(now, record, suspicion, accusation)
            return
        if suspicion is None and refutation == record.refutation and record.status == Status.DEAD:
            return
        before = record.to_member()
        self._stats.suspected += 1
        record.refutation = refutation
        record.status = Status.SUSPECT
        record.status_since = now
        is_verified = is_own or not self._tuning.lifeguard
        record.suspicion = Suspicion(now, {accusation.accuser}, is_verified, is_secondary=not is_own)
        self._suspects.add(now, record)
        self._on_changed(now, record, before)
        if not is_own:
            self._verify_suspicion(now, record, accusation.is_first_hand)

    def _apply(
        self, now: float, record: MemberRecord, update: wire.MemberUpdate, reporter: str, is_full_state: bool
    ) -> None:
        """Applies an update of the incarnation that is known already."""
        is_same_refutation = update.refutation == record.refutation
        if update.status == record.status and is_same_refutation and record.is_living:
            self._messenger.updates.record_received(update.name, transmission_limit(len(self._table.records)))
        if update.status == Status.LEFT:
            refutation = max(update.refutation, record.refutation)
            self.declare(now, record, Status.LEFT, refutation, float(update.age))
        elif update.refutation < record.refutation:
            return
        elif update.status == Status.ALIVE:
            if not is_same_refutation:
                record.packed_address = update.address
                record.heard_at = now
                self.declare(now, record, Status.ALIVE, update.refutation)
        elif update.status == Status.SUSPECT:
            if record.status != Status.DEAD or not is_same_refutation:
                accuser = update.suspected_by
                accusation = Accusation(accuser or reporter, is_first_hand=accuser in ("", reporter))
                self.suspect(now, record, update.refutation, accusation)
        elif record.status != Status.DEAD or not is_same_refutation:
            self._on_declared_dead(now, record, update, reporter, is_full_state)

    def _on_declared_dead(
        self, now: float, record: MemberRecord, update: wire.MemberUpdate, reporter: str, is_full_state: bool
    ) -> None:
        """Applies another member's declaration that a member is dead.

        A declaration that may be out of date, or that contradicts a message just received from the member
        itself, only makes the member a suspect. Drawback: a member that really is dead is recognised later.
        Therefore it is probed soon unless a reliable report arrives first, and the declaration shortens the
        suspicion as much as several independent accusers do.
        """
        in_contact = record.heard_directly_at > now - DIRECT_CONTACT_TIME
        is_doubtful = is_full_state or in_contact or self._health.is_suspended(now)
        if not (self._tuning.lifeguard and record.is_living and is_doubtful):
            self.declare(now, record, Status.DEAD, update.refutation, float(update.age))
            return
        self.suspect(now, record, update.refutation, Accusation(reporter))
        suspicion = record.suspicion
        if suspicion is not None and not suspicion.is_declared:
            suspicion.is_declared = True
            delayed_until = max(now, self._health.suspended_until) + DEATH_REPORT_DELAY
            suspicion.probe_at = now if in_contact else delayed_until

    def _add(self, now: float, update: wire.MemberUpdate) -> None:
        """Adds a member that was not known, or counts it as rejected where the table is full."""
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
            self._dissemination.schedule(now + BATCH_DELAY)
            self._log(now, "member joined", record)
        self.changes += 1
        self._host.on_member_changed(None, record.to_member())
        if update.status == Status.SUSPECT:
            self.suspect(now, record, update.refutation, Accusation(update.suspected_by or UNKNOWN))

    def _restart(self, now: float, record: MemberRecord, update: wire.MemberUpdate) -> None:
        """Replaces the state of a member by that of a later start under the same name."""
        before = record.to_member()
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
        """Adds one more accuser to an existing suspicion."""
        accusers = sorted(suspicion.accusers)
        if len(accusers) <= self._tuning.confirmations:
            suspicion.accusers.add(accusation.accuser)
        if accusation.is_own and not suspicion.is_verified:
            suspicion.is_verified = True
            self._notify_accusers(now, record, accusers)
            self._messenger.updates.add(record.name, 1)

    def _notify_accusers(self, now: float, record: MemberRecord, names: Iterable[str]) -> None:
        """Sends the suspicion to the other accusers after a probe by this process has failed too.

        Only accusers need it: each independent accuser shortens their time-out.
        """
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

    def _verify_suspicion(self, now: float, record: MemberRecord, is_first_hand: bool) -> None:
        """Probes a member that others suspect, so that the suspicion is soon confirmed or refuted.

        Every member that receives the report from the accuser itself does so, and a few random ones of those
        that receive it from others.
        """
        if not self._tuning.lifeguard or self._own.is_leaving or self._health.is_suspended(now):
            return
        if not is_first_hand and self._random.random() * len(self._table.living()) >= VERIFYING_MEMBERS:
            return
        if self._limits.verifications.take(now):
            self.prober.probe(now, record, direct_only=True)

    def _on_changed(self, now: float, record: MemberRecord, before: Member) -> None:
        self._table.update(record)
        after = record.to_member()
        piggyback_only = self._is_piggyback_only(record, before, after)
        self._messenger.updates.add(record.name, 1 if piggyback_only else 0)
        self._dissemination.schedule(now + BATCH_DELAY)
        if (before.status, before.incarnation, before.address) == (
            after.status,
            after.incarnation,
            after.address,
        ):
            return
        self._log_change(now, record, before, after)
        self.changes += 1
        self._host.on_member_changed(before, after)

    def _is_piggyback_only(self, record: MemberRecord, before: Member, after: Member) -> bool:
        """Returns whether the update is only sent along with other datagrams.

        This holds for suspicions of others and for refutations, and avoids a burst of datagrams for each
        suspicion that is refuted. Drawback: where few messages are sent, the update spreads a little later.
        """
        if not self._tuning.lifeguard or before.incarnation != after.incarnation:
            return False
        if not record.is_living or before.status not in LIVING_STATUSES:
            return False
        return record.suspicion is None or not record.suspicion.is_verified

    def _log_change(self, now: float, record: MemberRecord, before: Member, after: Member) -> None:
        if before.incarnation != after.incarnation and after.status is MemberStatus.ALIVE:
            self._log(now, "member restarted", record)
        elif (after.status in EVENTS and before.status is not MemberStatus.SUSPECT) or not record.is_living:
            self._log(now, EVENTS[after.status], record)

    def _log(self, now: float, event: str, record: MemberRecord) -> None:
        """Logs a change, within a rate limit, so that a change of many members does not flood the log."""
        if not self._limits.log_lines.take(now):
            self._unlogged += 1
            return
        if self._unlogged:
            self._host.log("members: log lines suppressed", count=self._unlogged)
            self._unlogged = 0
        address = address_text(record.address)
        self._host.log(event, name=record.name, at=address, life=record.incarnation)
