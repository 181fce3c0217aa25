"""Membership: who is there, by SWIM's probes and gossip with Lifeguard's amendments.

Free of I/O, clock and own chance: `on_datagram` and `on_timer` are called with the time, all else goes
through the host. What is departed from, and why, stands in docs/design/members.md.
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
from .dissemination import FANOUT, SOON, Dissemination
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

MAX_TIMER = 0.25  # seconds between two calls of the timer at most, so that a stop of the process is seen
MIN_TIMER = 0.005
CLEAN_PERIOD = 10.0  # seconds
DOUBT_AFTER_STOP = 2.0  # seconds after a stop in which nobody is suspected
DOUBT_OF_STOP = 2  # by which this member's self-doubt grows
INFORM_INTERVAL = 0.2  # seconds between two words to a member of what is believed of it
MAX_LEAVE_FANOUT = 10  # members that are told at once of one that leaves
MAX_LOAD_REPORT_FANOUT = 64  # members that hear one load report
SMALL_FLEET = 4  # members, in which a new one is always asked for what it knows,
NEW_EXCHANGE_SHARE = 0.1  # and the part of new ones that are asked in larger fleets
LOG_EVERY = 1000  # of messages that cannot be read, the first of its kind and each so-manieth are logged

LoadReportReceiver = Callable[[float, str, str], None]


def _drop_load_report(now: float, sender: str, report: str) -> None:
    pass


class Membership:
    """The members that one process knows of.

    Attributes:
        context: What the parts share.
        messenger: Composes and sends datagrams.
        dissemination: Decides when updates go out.
        detector: Probes members.
        names: Decides who has the own name.
        states: What is believed of each member.
        handshakes: With members that are not known yet.
        anti_entropy: Exchanges whole states.
        on_load_report: Called with the load reports of other sidecars: the time, the sender, the report.
    """

    def __init__(
        self,
        own_record: MemberRecord,
        config: MembershipConfig,
        host: MembershipHost,
        now: float,
        registers: RegisterStore | None = None,
    ) -> None:
        """Begins with no other member known; `registers` are gossiped beside members."""
        chance = random.Random(config.seed)
        tuning = config.tuning
        table = MemberTable(own_record.name, tuning.max_members)
        table.add(own_record)
        self.context = MembershipContext(
            OwnMember(own_record),
            table,
            Suspects(table),
            LocalHealth(tuning.max_self_doubt if tuning.lifeguard else 0),
            RateLimits(tuning, now),
            MembershipStats(),
            PeerSampler(table, chance),
            chance,
            tuning,
            host,
        )
        self.on_load_report: LoadReportReceiver = _drop_load_report
        self._fleet = config.fleet
        self._called_at = now
        self._clean_at = now + CLEAN_PERIOD
        gossip = None if registers is None else RegisterGossip(registers, chance)
        self._make_parts(config, gossip, now)
        if registers is not None:
            registers.on_write = lambda: self.dissemination.on_register_written(self._called_at)

    def _make_parts(self, config: MembershipConfig, registers: RegisterGossip | None, now: float) -> None:
        context = self.context
        self.messenger = Messenger(context, config.fleet, registers)
        self.dissemination = Dissemination(context, self.messenger)
        self.states = MemberStates(context, self.messenger, self.dissemination)
        self.detector = FailureDetector(context, self.messenger, self.states, now)
        self.anti_entropy = AntiEntropy(context, self.messenger, config.seeds, now)
        self.names = NameConflictResolver(
            context, self.messenger, self.dissemination, config.has_successor, now
        )
        self.handshakes = Handshakes(context, self.messenger, self.detector)
        self._monitor = SuspicionMonitor(context, self.states, self.detector, now)
        self.states.prober = self.detector
        self.states.on_own_update = self.names.on_own_update

    @property
    def own(self) -> OwnMember:
        """This process's own place."""
        return self.context.own

    @property
    def table(self) -> MemberTable:
        """The records of all members."""
        return self.context.table

    @property
    def stats(self) -> MembershipStats:
        """Counters since the start."""
        return self.context.stats

    # What may be asked.

    @property
    def own_name(self) -> str:
        """This member's name."""
        return self.own.record.name

    @property
    def own_incarnation(self) -> int:
        """Of this process."""
        return self.own.record.incarnation

    @property
    def gossip_due_at(self) -> float:
        """When the next gossip is due, which may be earlier than the timer."""
        return self.dissemination.due_at

    def members(self) -> list[Member]:
        """Returns all members by name, this one among them."""
        own = self.own.record
        own.heard_at = max(own.heard_at, self._called_at)
        own.heard_directly_at = own.heard_at
        return [record.member() for _, record in sorted(self.table.records.items())]

    def member(self, name: str) -> Member | None:
        """Returns one member, if it is known."""
        record = self.table.records.get(name)
        return None if record is None else record.member()

    def metrics(self) -> dict[str, object]:
        """Returns figures for the log."""
        return {"members": len(self.table.living()) + 1, **self.stats.nonzero()}

    # What happens.

    def set_seeds(self, seeds: Iterable[Address]) -> None:
        """Goes by other seeds from now on."""
        self.anti_entropy.seeds = list(seeds)

    def publish_load_report(self, now: float, report: str) -> None:
        """Sends a load report of 256 bytes at most to those alive; it may be lost."""
        if self.names.is_silenced:
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
        """Tells others that this member shuts down, which is no failure."""
        if self.own.is_leaving:
            return
        self.names.hand_over_if_succeeded()  # the name goes on
        self.own.is_leaving = True
        self.own.record.status = Status.LEFT
        self.table.update(self.own.record)
        if self.names.is_silenced:
            return
        self.messenger.updates.add(self.own_name)
        for record in self.context.sampler.living(MAX_LEAVE_FANOUT):
            if self.context.limits.own.take(now):
                self.messenger.send(now, record, MessageKind.UPDATE)
        self.dissemination.due_at = now + SOON

    def on_datagram(self, now: float, data: bytes) -> None:
        """Takes in a datagram."""
        self._check_stopped(now)
        self.stats.received += 1
        self.stats.received_bytes += len(data)
        message = self._decode(data)
        if message is None:
            return
        if message.sender == self.own_name:
            self.names.on_message(now, message)
            return
        if self.names.is_silenced:
            return
        sender = self._sender(now, message)
        if sender is not None:
            self._on_message(now, message, sender)
            registers = self.messenger.registers
            if registers is not None and registers.store.unsent:
                self.dissemination.schedule(now + SOON)

    def on_timer(self, now: float) -> float:
        """Does what is due; returns when it wants to be called again."""
        self._check_stopped(now)
        self.names.check(now)
        if self.names.is_silenced:
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
        if now >= self._clean_at:
            self._clean(now)
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
        except wire.ForeignFleetError as fault:
            stats.other_fleet += 1
            self._log_unreadable("members: another fleet's message", stats.other_fleet, fault)
        except wire.IncompatibleReleaseError as fault:
            stats.other_release += 1
            self._log_unreadable("members: another release's message", stats.other_release, fault)
        except wire.UnreadableMessageError as fault:
            stats.unreadable += 1
            self._log_unreadable("members: unreadable message", stats.unreadable, fault)
        return None

    def _log_unreadable(self, event: str, count: int, fault: wire.UnreadableMessageError) -> None:
        """Guards against a log that a flood fills."""
        if count % LOG_EVERY == 1:
            self.context.host.log(event, why=str(fault), count=count)

    def _sender(self, now: float, message: wire.Message) -> MemberRecord | None:
        """Returns the record of who sent the message, where it may be believed."""
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
        """Returns the record of a new member, or of a new incarnation, if the message proves its address."""
        if message.kind == MessageKind.ACK and self.handshakes.is_proven(message):
            self.states.on_alive(now, message)
            record = self.table.records.get(message.sender)
            if record is None or record.incarnation != message.incarnation:
                return None
            record.highest_number = message.number
            record.received_numbers = 1
            record.heard_directly_at = now
            if len(self.table.living()) <= SMALL_FLEET or self.context.random.random() < NEW_EXCHANGE_SHARE:
                self.anti_entropy.exchange(now, record.packed_address)
            return record
        if self._asks_for_answer(message) and self.context.limits.greetings.take(now):
            content = Content(MessageKind.ACK, message.number, piggyback=False)
            self.messenger.send_content(now, message.address, content)
        self.handshakes.begin(now, message)
        return None

    def _on_older_incarnation(self, now: float, message: wire.Message, record: MemberRecord) -> None:
        """Tells a process of a higher incarnation, so that it takes one above: its clock was set back."""
        self.stats.older_life += 1
        if now - record.informed_at <= INFORM_INTERVAL or not self.context.limits.greetings.take(now):
            return
        record.informed_at = now
        asks = self._asks_for_answer(message)
        content = Content(
            MessageKind.ACK if asks else MessageKind.UPDATE,
            message.number if asks else 0,
            member_updates=[self.messenger.encode_update(now, record)],
            piggyback=False,
        )
        self.messenger.send_content(now, message.address, content)

    def _asks_for_answer(self, message: wire.Message) -> bool:
        return message.kind == MessageKind.PING and message.target == self.own_name

    def _on_message(self, now: float, message: wire.Message, sender: MemberRecord) -> None:
        whole = message.kind in (MessageKind.STATE, MessageKind.STATE_ANSWER)
        changes_before = self.states.changes
        for update in message.member_updates:
            self.states.on_update(now, update, sender.name, whole)
        registers = self.messenger.registers
        if registers is not None:
            for register_update in message.register_updates:
                registers.on_update(now, register_update, len(self.table.records))
            if message.register_digests:
                self.anti_entropy.on_digests(now, sender, message.register_digests)
            self.anti_entropy.on_requests(now, sender, message.register_requests)
        answered = self._on_kind(now, message, sender, self.states.changes - changes_before)
        if answered or sender.status == Status.ALIVE or now - sender.informed_at <= INFORM_INTERVAL:
            return
        if self.context.limits.answers.take(now):
            self.messenger.send(now, sender, MessageKind.UPDATE)  # what is believed of it goes along

    def _on_kind(self, now: float, message: wire.Message, sender: MemberRecord, changes: int) -> bool:
        """Does what the kind of the message asks for; returns whether a ping was answered."""
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
        """Looks whether the process was stopped.

        Guards against one that takes the others' silence for death: it doubts itself. May hurt where a member
        dies meanwhile: its death is told later.
        """
        gap = now - self._called_at
        self._called_at = now
        if gap <= self.context.tuning.stopped_after or not self.context.tuning.lifeguard:
            return
        self.stats.stops += 1
        self.context.host.log("members: was stopped", seconds=round(gap, 2))
        self.detector.reset()
        self.handshakes.reset()
        self.context.health.worsen(DOUBT_OF_STOP)
        self.context.health.suspend_until(now + DOUBT_AFTER_STOP)
        self._monitor.restart(now)
        if self.names.is_silenced:
            return
        if gap > self.context.tuning.min_suspicion:
            self.own.record.refutation += 1
            self.names.announce(now)
        for record in self.context.sampler.living(FANOUT):
            self.anti_entropy.exchange(now, record.packed_address)

    def _clean(self, now: float) -> None:
        """Forgets the dead and what was not answered."""
        self._clean_at = now + CLEAN_PERIOD
        for name in self.table.gone():
            record = self.table.records[name]
            if now - record.status_since > self.context.tuning.keep_dead and name != self.own_name:
                self.table.remove(name)
                self.messenger.updates.drop(name)
        self.handshakes.forget_old(now)
        if self.messenger.registers is not None:
            self.messenger.registers.forget_owners(now, self._is_living)

    def _is_living(self, name: str) -> bool:
        record = self.table.records.get(name)
        return record is not None and record.is_living
