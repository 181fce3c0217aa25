"""Membership: determines which members are alive, by SWIM's probes and gossip with Lifeguard's extensions.

The module does no I/O, reads no clock and takes its random seed from the configuration. The program calls
`on_datagram` and `on_timer` with the current time; all effects go through the host. docs/design/members.md
lists the deviations from the papers and the reasons.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from ...protocol import members as wire
from ...protocol.members import MessageKind, Status
from ...transport.address import Address
from ..shared.register_gossip import RegisterGossip
from ..shared.registers import RegisterStore
from .anti_entropy import AntiEntropy
from .context import MembershipConfig, MembershipContext
from .dissemination import BATCH_DELAY, FANOUT, Dissemination
from .failure_detector import FailureDetector
from .handshake import Handshakes
from .local_health import LocalHealth
from .member import Member, MembershipHost
from .member_states import MemberStates
from .member_table import MemberRecord, MemberTable
from .messenger import Content, Messenger
from .name_conflict import NameConflictResolver
from .own_member import OwnMember
from .peer_sampler import PeerSampler
from .rate_limits import RateLimits
from .stats import MembershipStats
from .suspects import Suspects
from .suspicion_monitor import SuspicionMonitor

MAX_TIMER = 0.25  # maximum seconds between two timer calls, so that a suspended process is detected
MIN_TIMER = 0.005  # minimum seconds between two timer calls
CLEANUP_PERIOD = 10.0  # seconds
SUSPENDED_AFTER_STOP = 2.0  # seconds after the process was suspended in which it suspects nobody
STOP_PENALTY = 2  # increase of the local health score after the process was suspended
INFORM_INTERVAL = 0.2  # minimum seconds between two messages that tell a member its own believed state
MAX_LEAVE_FANOUT = 10  # members that are notified directly when this one leaves
MAX_LOAD_REPORT_FANOUT = 64  # members that are sent one load report
SMALL_FLEET = 4  # other members up to which state is exchanged with every new member
NEW_MEMBER_EXCHANGE_SHARE = 0.1  # share of new members with which state is exchanged in larger fleets
LOG_EVERY = 1000  # of unreadable messages, the first of each kind and every LOG_EVERY-th after it are logged

LoadReportReceiver = Callable[[float, str, str], None]


def _drop_load_report(now: float, sender: str, report: str) -> None:
    pass


class Membership:
    """The membership protocol of one process.

    Attributes:
        context: Objects shared by the components.
        messenger: Composes and sends datagrams.
        dissemination: Decides when updates are sent.
        detector: Probes members.
        name_conflicts: Resolves conflicts about this member's name.
        states: Applies updates to member records.
        handshakes: Verifies the addresses of unknown senders.
        anti_entropy: Exchanges full states with other members.
        on_load_report: Called for each load report of another sidecar with the time, the sender and the
            report.
    """

    def __init__(
        self,
        own_record: MemberRecord,
        config: MembershipConfig,
        host: MembershipHost,
        now: float,
        registers: RegisterStore | None = None,
    ) -> None:
        """Starts with no other member known; `registers`, if given, are gossiped along with members."""
        random_source = random.Random(config.seed)
        tuning = config.tuning
        table = MemberTable(own_record.name, tuning.max_members)
        table.add(own_record)
        self.context = MembershipContext(
            OwnMember(own_record),
            table,
            Suspects(table),
            LocalHealth(tuning.max_health_score if tuning.lifeguard else 0),
            RateLimits(tuning, now),
            MembershipStats(),
            PeerSampler(table, random_source),
            random_source,
            tuning,
            host,
        )
        self.on_load_report: LoadReportReceiver = _drop_load_report
        self._fleet = config.fleet
        self._called_at = now
        self._cleanup_at = now + CLEANUP_PERIOD
        gossip = None if registers is None else RegisterGossip(registers, random_source)
        self._make_components(config, gossip, now)
        if registers is not None:
            registers.on_write = lambda: self.dissemination.on_register_written(self._called_at)

    def _make_components(
        self, config: MembershipConfig, registers: RegisterGossip | None, now: float
    ) -> None:
        context = self.context
        self.messenger = Messenger(context, config.fleet, registers)
        self.dissemination = Dissemination(context, self.messenger)
        self.states = MemberStates(context, self.messenger, self.dissemination)
        self.detector = FailureDetector(context, self.messenger, self.states, now)
        self.anti_entropy = AntiEntropy(context, self.messenger, config.seeds, now)
        self.name_conflicts = NameConflictResolver(
            context, self.messenger, self.dissemination, config.has_successor, now
        )
        self.handshakes = Handshakes(context, self.messenger, self.detector)
        self._monitor = SuspicionMonitor(context, self.states, self.detector, now)
        self.states.prober = self.detector
        self.states.on_own_update = self.name_conflicts.on_own_update

    @property
    def own(self) -> OwnMember:
        """State of the member that this process runs."""
        return self.context.own

    @property
    def table(self) -> MemberTable:
        """Records of all members."""
        return self.context.table

    @property
    def stats(self) -> MembershipStats:
        """Counters since the start."""
        return self.context.stats

    # Queries.

    @property
    def own_name(self) -> str:
        """Name of the member that this process runs."""
        return self.own.record.name

    @property
    def own_incarnation(self) -> int:
        """Incarnation of this process."""
        return self.own.record.incarnation

    @property
    def gossip_due_at(self) -> float:
        """Time of the next gossip round, which may be earlier than the timer call."""
        return self.dissemination.due_at

    def members(self) -> list[Member]:
        """Returns all known members sorted by name, including this one."""
        own = self.own.record
        own.heard_at = max(own.heard_at, self._called_at)
        own.heard_directly_at = own.heard_at
        return [record.to_member() for _, record in sorted(self.table.records.items())]

    def member(self, name: str) -> Member | None:
        """Returns the member of that name, or None if it is not known."""
        record = self.table.records.get(name)
        return None if record is None else record.to_member()

    def metrics(self) -> dict[str, object]:
        """Returns the number of living members and the counters that are not 0, for the log."""
        return {"members": len(self.table.living()) + 1, **self.stats.nonzero()}

    # Inputs.

    def set_seeds(self, seeds: Iterable[Address]) -> None:
        """Replaces the seeds."""
        self.anti_entropy.seeds = list(seeds)

    def publish_load_report(self, now: float, report: str) -> None:
        """Sends a load report to the living members, or a random sample of them; it may be lost.

        A report is truncated to 256 characters.
        """
        if self.name_conflicts.is_silenced:
            return
        living = self.table.living()
        if len(living) > MAX_LOAD_REPORT_FANOUT:
            living = self.context.random.sample(living, MAX_LOAD_REPORT_FANOUT)
        if not living:
            return
        text = report[: wire.MAX_LOAD_REPORT]
        content = Content(MessageKind.LOAD_REPORT, load_report=text, piggyback=False)
        data = self.messenger.compose(now, content)
        for record in living:
            if self.context.limits.load_reports.take(now):
                self.messenger.post(record.packed_address, data)

    def leave(self, now: float) -> None:
        """Announces that this member shuts down, so that others do not treat it as failed."""
        if self.own.is_leaving:
            return
        # A successor continues under the name, so the member does not leave.
        self.name_conflicts.hand_over_to_any_successor()
        self.own.is_leaving = True
        self.own.record.status = Status.LEFT
        self.table.update(self.own.record)
        if self.name_conflicts.is_silenced:
            return
        self.messenger.updates.add(self.own_name)
        for record in self.context.sampler.living(MAX_LEAVE_FANOUT):
            if self.context.limits.own.take(now):
                self.messenger.send(now, record, MessageKind.UPDATE)
        self.dissemination.due_at = now + BATCH_DELAY

    def on_datagram(self, now: float, data: bytes) -> None:
        """Handles one received datagram."""
        self._check_stopped(now)
        self.stats.received += 1
        self.stats.received_bytes += len(data)
        message = self._decode(data)
        if message is None:
            return
        if message.sender == self.own_name:
            self.name_conflicts.on_message(now, message)
            return
        if self.name_conflicts.is_silenced:
            return
        sender = self._sender(now, message)
        if sender is not None:
            self._on_message(now, message, sender)
            registers = self.messenger.registers
            if registers is not None and registers.store.unsent:
                self.dissemination.schedule(now + BATCH_DELAY)

    def on_timer(self, now: float) -> float:
        """Does all work that is due; returns the time of the next call."""
        self._check_stopped(now)
        self.name_conflicts.check(now)
        if self.name_conflicts.is_silenced:
            return now + MAX_TIMER
        if self.table.living():
            self.own.on_others_met(now)
        self.detector.check(now)
        self._monitor.check(now)
        if not self.own.is_leaving:
            self.detector.check_turn(now)
            self.anti_entropy.check(now)
        if now >= self.dissemination.due_at:
            self.dissemination.gossip(now)
        if now >= self._cleanup_at:
            self._clean_up(now)
        return max(self._next_due_at(now), now + MIN_TIMER)

    def _next_due_at(self, now: float) -> float:
        due_at = min(now + MAX_TIMER, self.detector.next_probe_at, self.dissemination.due_at)
        if self.context.suspects.records:
            due_at = min(due_at, self._monitor.next_check_at)
        return min(due_at, self.detector.next_due_at())

    def _decode(self, data: bytes) -> wire.Message | None:
        stats = self.stats
        try:
            return wire.decode(data, self._fleet)
        except wire.ForeignFleetError as error:
            stats.other_fleet += 1
            self._log_unreadable("members: another fleet's message", stats.other_fleet, error)
        except wire.IncompatibleReleaseError as error:
            stats.other_release += 1
            self._log_unreadable("members: another release's message", stats.other_release, error)
        except wire.UnreadableMessageError as error:
            stats.unreadable += 1
            self._log_unreadable("members: unreadable message", stats.unreadable, error)
        return None

    def _log_unreadable(self, event: str, count: int, error: wire.UnreadableMessageError) -> None:
        """Logs an unreadable message, but only every LOG_EVERY-th, so that a flood does not fill the log."""
        if count % LOG_EVERY == 1:
            self.context.host.log(event, why=str(error), count=count)

    def _sender(self, now: float, message: wire.Message) -> MemberRecord | None:
        """Returns the sender's record, or None if the message must not be processed further."""
        record = self.table.records.get(message.sender)
        if record is None or message.incarnation > record.incarnation:
            return self._new_sender(now, message)
        if message.incarnation < record.incarnation:
            self._on_older_incarnation(now, message, record)
            return None
        if not record.accept_number(message.number):
            self.stats.replayed += 1
            return None
        record.heard_directly_at = now
        record.heard_at = now
        self.detector.last_heard_at = now
        if message.refutation > record.refutation:
            self.states.on_alive(now, message)
        return record

    def _new_sender(self, now: float, message: wire.Message) -> MemberRecord | None:
        """Returns the record of a new member or incarnation if the message proves its address.

        Otherwise returns None and starts a handshake.
        """
        if message.kind == MessageKind.ACK and self.handshakes.is_proven(message):
            self.states.on_alive(now, message)
            record = self.table.records.get(message.sender)
            if record is None or record.incarnation != message.incarnation:
                return None
            record.highest_number = message.number
            record.received_numbers = 1
            record.heard_directly_at = now
            if (
                len(self.table.living()) <= SMALL_FLEET
                or self.context.random.random() < NEW_MEMBER_EXCHANGE_SHARE
            ):
                self.anti_entropy.request_state(now, record.packed_address)
            return record
        if self._is_ping_for_this_member(message) and self.context.limits.greetings.take(now):
            content = Content(MessageKind.ACK, message.number, piggyback=False)
            self.messenger.send_content(now, message.address, content)
        self.handshakes.begin(now, message)
        return None

    def _on_older_incarnation(self, now: float, message: wire.Message, record: MemberRecord) -> None:
        """Notifies a process of the higher incarnation known under its name, so that it takes one above it.

        This happens when the clock of the process's machine was set back.
        """
        self.stats.older_life += 1
        if now - record.informed_at <= INFORM_INTERVAL or not self.context.limits.greetings.take(now):
            return
        record.informed_at = now
        is_ping = self._is_ping_for_this_member(message)
        content = Content(
            MessageKind.ACK if is_ping else MessageKind.UPDATE,
            message.number if is_ping else 0,
            member_updates=[self.messenger.encode_update(now, record)],
            piggyback=False,
        )
        self.messenger.send_content(now, message.address, content)

    def _is_ping_for_this_member(self, message: wire.Message) -> bool:
        return message.kind == MessageKind.PING and message.target == self.own_name

    def _on_message(self, now: float, message: wire.Message, sender: MemberRecord) -> None:
        is_full_state = message.kind in (MessageKind.STATE, MessageKind.STATE_ANSWER)
        changes_before = self.states.changes
        for update in message.member_updates:
            self.states.on_update(now, update, sender.name, is_full_state)
        registers = self.messenger.registers
        if registers is not None:
            for register_update in message.register_updates:
                registers.on_update(now, register_update, len(self.table.records))
            if message.register_digests:
                self.anti_entropy.on_digests(now, sender, message.register_digests)
            self.anti_entropy.on_requests(now, sender, message.register_requests)
        is_answered = self._on_kind(now, message, sender, self.states.changes - changes_before)
        if is_answered or sender.status == Status.ALIVE or now - sender.informed_at <= INFORM_INTERVAL:
            return
        if self.context.limits.answers.take(now):
            self.messenger.send(now, sender, MessageKind.UPDATE)  # includes the sender's own believed state

    def _on_kind(self, now: float, message: wire.Message, sender: MemberRecord, changes: int) -> bool:
        """Handles the message according to its kind; returns whether a ping was answered."""
        kind = message.kind
        if kind == MessageKind.PING:
            if message.target == self.own_name and self.context.limits.answers.take(now):
                self.messenger.send(now, sender, MessageKind.ACK, message.number)
                return True
        elif kind == MessageKind.ACK:
            self.detector.on_ack(now, message)
        elif kind == MessageKind.NACK:
            self.detector.on_nack(message)
        elif kind == MessageKind.PING_REQUEST:
            self.detector.on_ping_request(now, message, sender)
        elif kind == MessageKind.STATE:
            self.anti_entropy.on_state(now, sender, message.table_digests)
        elif kind == MessageKind.STATE_ANSWER:
            self.anti_entropy.on_state_answer(now, sender, message.table_digests, changes)
        elif kind == MessageKind.LOAD_REPORT and sender.is_living and message.load_report:
            self.on_load_report(now, sender.name, message.load_report)
        return False

    def _check_stopped(self, now: float) -> None:
        """Detects that the process was suspended, by the time since the last call.

        A process that was suspended must not take the silence of the others for their death, so it lowers its
        local health and suspects nobody for a while. Drawback: the death of a member in that time is reported
        later.
        """
        gap = now - self._called_at
        self._called_at = now
        if gap <= self.context.tuning.suspension_threshold or not self.context.tuning.lifeguard:
            return
        self.stats.stops += 1
        self.context.host.log("members: process was suspended", seconds=round(gap, 2))
        self.detector.reset()
        self.handshakes.reset()
        self.context.health.worsen(STOP_PENALTY)
        self.context.health.suspend_until(now + SUSPENDED_AFTER_STOP)
        self._monitor.restart(now)
        if self.name_conflicts.is_silenced:
            return
        if gap > self.context.tuning.min_suspicion:
            self.own.record.refutation += 1
            self.name_conflicts.announce(now)
        for record in self.context.sampler.living(FANOUT):
            self.anti_entropy.request_state(now, record.packed_address)

    def _clean_up(self, now: float) -> None:
        """Removes expired records of dead members and members that left, expired handshakes and registers."""
        self._cleanup_at = now + CLEANUP_PERIOD
        for name in self.table.gone():
            record = self.table.records[name]
            if now - record.status_since > self.context.tuning.dead_retention and name != self.own_name:
                self.table.remove(name)
                self.messenger.updates.drop(name)
        self.handshakes.discard_expired(now)
        if self.messenger.registers is not None:
            self.messenger.registers.forget_owners(now, self._is_living)

    def _is_living(self, name: str) -> bool:
        record = self.table.records.get(name)
        return record is not None and record.is_living
