"""Probing members: by a ping, then through others, with a suspicion where nothing is answered.

Source: Das, Gupta, Motivala, "SWIM" (DSN 2002), section 3; Dadgar, Phillips, Currey, "Lifeguard" (2018).
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

import msgspec

from ...protocol import members as wire
from ...protocol.members import MessageKind, Status
from .context import MembershipContext
from .member_states import Accusation, MemberStates
from .member_table import MemberRecord
from .messenger import Content, Messenger
from .suspects import MASS_FAILURE

PINGS = 3  # to the probed member itself before others are asked
MAX_INDIRECT_PINGS = 256  # under way for others
INDIRECT_PING_LASTS = 2.0  # seconds
NACK_SHARE = 0.7  # of the indirect timeout, after which a helper says that it heard nothing
SILENT_WITHIN = 1.0  # seconds in which so many probes without answer tell of many dead at once
FURTHER_PROBES = 2  # members that each probe without answer has probed then,
MAX_PROBES = 16  # with so many under way at most
NOT_HEARD_FOR = 2.0  # seconds in which one was heard that needs no such probe


@dataclass(slots=True)
class Probe:
    """A probe under way.

    Attributes:
        target: The probed member's name,
        incarnation: and its incarnation.
        factor: By which the probe's time limits grow.
        due_at: When its next step is due.
        alone: Whether no helpers are asked.
        step: How many steps it has taken without an answer.
        helpers: Members that were asked to ping.
        nacks: Of them, those that said that they heard nothing.
    """

    target: str
    incarnation: int
    factor: float
    due_at: float
    alone: bool = False
    step: int = 0
    helpers: int = 0
    nacks: int = 0


@dataclass(slots=True)
class IndirectPing:
    """A ping sent for another member.

    Attributes:
        requester: Its packed address.
        echo: The number of its request.
        nack_at: When it is told that nothing was heard.
        until: When the ping is forgotten.
    """

    requester: bytes
    echo: int
    nack_at: float
    until: float


class FailureDetector:
    """Probes members in turn, and answers for others.

    Attributes:
        next_probe_at: When the next member's turn is.
        last_heard_at: When any member was heard last.
    """

    def __init__(
        self, context: MembershipContext, messenger: Messenger, states: MemberStates, now: float
    ) -> None:
        self.next_probe_at = now + context.random.random() * context.tuning.probe_period
        self.last_heard_at = now
        self._messenger = messenger
        self._states = states
        self._own = context.own
        self._table = context.table
        self._suspects = context.suspects
        self._health = context.health
        self._limits = context.limits
        self._tuning = context.tuning
        self._random = context.random
        self._sampler = context.sampler
        self._probes: dict[int, Probe] = {}  # by the numbers of their datagrams
        self._indirect_pings: dict[int, IndirectPing] = {}  # by the number of the ping
        self._round: list[str] = []  # whose turn is still to come
        self._is_ring_turn = False  # whether the last probe was for the next in the ring
        self._unanswered: deque[float] = deque([-math.inf] * MASS_FAILURE, MASS_FAILURE)

    # Messages.

    def is_probing(self, number: int, name: str) -> bool:
        """Returns whether the datagram of this number was part of a probe of the member."""
        probe = self._probes.get(number)
        return probe is not None and probe.target == name

    def on_ack(self, now: float, message: wire.Message) -> None:
        """Takes in an answer to a ping."""
        probe = self._probes.get(message.echo)
        if probe is not None:
            self._on_answered(now, probe)
            return
        ping = self._indirect_pings.pop(message.echo, None)
        if ping is not None and self._limits.answers.take(now):
            record = self._table.records.get(message.sender)
            updates = [] if record is None else [self._messenger.encode_update(now, record)]
            content = Content(MessageKind.ACK, ping.echo, member_updates=updates)
            self._messenger.send_content(now, ping.requester, content)

    def on_nack(self, message: wire.Message) -> None:
        """Takes in that a helper has heard nothing."""
        probe = self._probes.get(message.echo)
        if probe is not None:
            probe.nacks += 1

    def on_ping_request(self, now: float, message: wire.Message, requester: MemberRecord) -> None:
        """Pings a member for another."""
        if not message.target_address or not message.target:
            return
        if len(self._indirect_pings) >= MAX_INDIRECT_PINGS or not self._limits.answers.take(now):
            return
        known = self._table.records.get(message.target)
        updates: list[msgspec.Raw] = []
        if known is not None and known.status != Status.ALIVE:
            updates = [self._messenger.encode_update(now, known)]
        ping = Content(MessageKind.PING, target=message.target, member_updates=updates, piggyback=False)
        data = self._messenger.compose(now, ping)
        self._indirect_pings[self._messenger.number] = IndirectPing(
            requester.packed_address,
            message.number,
            now + self._tuning.indirect_timeout * NACK_SHARE,
            now + INDIRECT_PING_LASTS,
        )
        self._messenger.post(message.target_address, data)

    # Time.

    def check(self, now: float) -> None:
        """Takes the steps that are due of probes and indirect pings."""
        for probe in {id(probe): probe for probe in self._probes.values()}.values():
            if now >= probe.due_at:
                self._take_step(now, probe)
        for number, ping in list(self._indirect_pings.items()):
            if now >= ping.nack_at:
                ping.nack_at = math.inf
                if self._limits.answers.take(now):
                    content = Content(MessageKind.NACK, ping.echo, piggyback=False)
                    self._messenger.send_content(now, ping.requester, content)
            if now >= ping.until:
                del self._indirect_pings[number]

    def check_turn(self, now: float) -> None:
        """Probes the next member, if it is time."""
        if now >= self.next_probe_at:
            period = self._tuning.probe_period * self._health.factor
            self.next_probe_at = max(self.next_probe_at + period, now)
            self._probe_next(now)

    def next_due_at(self) -> float:
        """Returns when `check` is due."""
        probes = (probe.due_at for probe in self._probes.values())
        pings = (ping.nack_at for ping in self._indirect_pings.values())
        return min(min(probes, default=math.inf), min(pings, default=math.inf))

    def reset(self) -> None:
        """Forgets all that is under way: the process was stopped."""
        self._probes.clear()
        self._indirect_pings.clear()

    # Probes.

    def add_to_round(self, name: str) -> None:
        """Gives a new member its turn in the current round."""
        self._round.insert(self._random.randrange(len(self._round) + 1), name)

    def probe(self, now: float, record: MemberRecord, alone: bool = False) -> None:
        """Pings a member; `alone`: no helpers are asked, since others have tried already."""
        self._limits.own.take(now)
        ping = Content(
            MessageKind.PING,
            target=record.name,
            member_updates=self._messenger.update_for(now, record),
            piggyback=record.status == Status.ALIVE and not alone,
        )
        data = self._messenger.compose(now, ping)
        factor = self._health.factor
        due_at = now + self._tuning.direct_timeout * factor / PINGS
        self._probes[self._messenger.number] = Probe(record.name, record.incarnation, factor, due_at, alone)
        self._messenger.post(record.packed_address, data)

    def _probe_next(self, now: float) -> None:
        """Probes the next in the ring, or of the round, by turns.

        So each member is probed once in two periods by one whose turn it is, however the chance of the others
        falls.
        """
        self._is_ring_turn = not self._is_ring_turn and self._tuning.lifeguard
        record = self._table.next_in_ring() if self._is_ring_turn else None
        if record is not None:
            self.probe(now, record)
            return
        while self._round or self._table.living():
            if not self._round:
                self._round = [record.name for record in self._table.living()]
                self._random.shuffle(self._round)
            record = self._table.records.get(self._round.pop())
            if record is not None and record.is_living and record.name != self._own.record.name:
                self.probe(now, record)
                return

    def _take_step(self, now: float, probe: Probe) -> None:
        """Goes on with a probe that was not answered yet.

        Guards against loss: first the member itself is pinged again, which costs less than helpers do.
        """
        probe.step += 1
        if probe.step > PINGS + 1:
            self._on_failed(now, probe)
            return
        direct = probe.step < PINGS
        length = self._tuning.direct_timeout / PINGS if direct else self._tuning.indirect_timeout / 2
        if probe.step == PINGS:
            self._unanswered.append(now)
            self._probe_further(now)
        asks = probe.step == PINGS or (probe.step == PINGS + 1 and self._tuning.lifeguard)
        if asks and not probe.alone:
            self._request_pings(now, probe)
        if not probe.alone or probe.step != PINGS:  # many of these go out: four pings do
            self._ping_again(now, probe)
        probe.due_at = now + length * probe.factor

    def _probe_further(self, now: float) -> None:
        """Probes the next few in the ring, where probes go unanswered or many are suspected.

        Guards against many that die at once, of whom a probe each second meets one after the other. May hurt
        where most datagrams are lost: some more pings go out, as many as a budget allows.
        """
        if not self._tuning.lifeguard or now - self.last_heard_at > 2 * self._tuning.probe_period:
            return  # it is this member that hears nobody
        if not self._suspects.is_mass_failure() and now - self._unanswered[0] > SILENT_WITHIN:
            return  # by chance
        probed = {probe.target for probe in self._probes.values()}
        count = min(FURTHER_PROBES, MAX_PROBES - len(probed))
        for record in self._table.nearest_in_ring(probed, now - NOT_HEARD_FOR, count):
            if self._limits.ring_probes.take(now):
                self.probe(now, record, alone=True)

    def _request_pings(self, now: float, probe: Probe) -> None:
        """Asks other members to ping the target."""
        record = self._target(probe)
        if record is None:
            return
        count = self._tuning.helpers
        helpers = [one for one in self._sampler.alive(count + 1) if one is not record]
        for helper in helpers[:count]:
            self._limits.own.take(now)
            request = Content(
                MessageKind.PING_REQUEST,
                target=record.name,
                target_address=record.packed_address,
                member_updates=self._messenger.update_for(now, record),
            )
            data = self._messenger.compose(now, request)
            self._messenger.post(helper.packed_address, data)
            # The answer names the number of the message that asked; each is known as this probe's.
            self._probes[self._messenger.number] = probe
            probe.helpers += 1

    def _ping_again(self, now: float, probe: Probe) -> None:
        record = self._target(probe)
        if record is None or not self._tuning.lifeguard:
            return
        self._limits.own.take(now)
        ping = Content(
            MessageKind.PING,
            target=record.name,
            member_updates=self._messenger.update_for(now, record),
            piggyback=False,
        )
        data = self._messenger.compose(now, ping)
        self._probes[self._messenger.number] = probe
        self._messenger.post(record.packed_address, data)

    def _on_answered(self, now: float, probe: Probe) -> None:
        self._forget(probe)
        self._health.improve()
        record = self._target(probe)
        if record is None:
            return
        record.heard_at = now
        if record.suspicion is not None and self._tuning.lifeguard:
            # It lives, by whatever path; that it has refuted the suspicion may still be on its way.
            record.suspicion.own = False
            record.suspicion.since = now
            record.suspicion.last_pings = 0

    def _on_failed(self, now: float, probe: Probe) -> None:
        """Suspects the target: there was no answer, neither directly nor through others."""
        self._forget(probe)
        if probe.helpers and not probe.nacks and now - self.last_heard_at > self._tuning.probe_period:
            self._health.worsen()  # neither those who were asked could be heard, nor anybody else
        record = self._target(probe)
        if record is None or not record.is_living or self._health.is_suspended(now):
            return
        if record.heard_directly_at > now - self._tuning.indirect_timeout:
            return
        accusation = Accusation(self._own.record.name, own=True)
        self._states.suspect(now, record, record.refutation, accusation)
        self._probe_further(now)

    def _target(self, probe: Probe) -> MemberRecord | None:
        """Returns the target's record, if it is still the incarnation that was probed."""
        record = self._table.records.get(probe.target)
        return record if record is not None and record.incarnation == probe.incarnation else None

    def _forget(self, probe: Probe) -> None:
        for number in [number for number, one in self._probes.items() if one is probe]:
            del self._probes[number]
