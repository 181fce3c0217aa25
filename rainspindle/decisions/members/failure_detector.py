"""Failure detection: probes members by a ping, then through others, and suspects them without an answer.

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

DIRECT_PINGS = 3  # pings sent to the probed member itself before others are asked
MAX_INDIRECT_PINGS = 256  # pings under way on behalf of other members
INDIRECT_PING_LIFETIME = 2.0  # seconds for which an answer to an indirect ping is still passed on
NACK_SHARE = 0.7  # share of the indirect time-out after which a helper reports that it got no answer
UNANSWERED_WINDOW = 1.0  # MASS_FAILURE unanswered probes within this many seconds suggest a mass failure
RING_PROBES = 2  # members in the ring that each unanswered probe causes to be probed during a mass failure
MAX_CONCURRENT_PROBES = 16  # probes under way beyond which none of these is added
RECENT_CONTACT_TIME = 2.0  # a member heard directly within this many seconds needs no such probe


@dataclass(slots=True)
class Probe:
    """A probe under way.

    Attributes:
        target: Name of the probed member.
        incarnation: Incarnation of the probed member.
        factor: Factor on the probe's time-outs, from the local health at its start.
        due_at: Time of its next step.
        direct_only: Whether no helpers are asked.
        step: Number of steps taken without an answer.
        helpers: Number of members that were asked to ping the target.
        nacks: Number of helpers that reported that they got no answer.
    """

    target: str
    incarnation: int
    factor: float
    due_at: float
    direct_only: bool = False
    step: int = 0
    helpers: int = 0
    nacks: int = 0


@dataclass(slots=True)
class IndirectPing:
    """A ping sent on behalf of another member.

    Attributes:
        requester: Packed address of the member that requested it.
        echo: Number of the request, which the answer repeats.
        nack_at: Time at which a NACK is sent to the requester; infinite after that.
        expires_at: Time at which the ping is discarded.
    """

    requester: bytes
    echo: int
    nack_at: float
    expires_at: float


class FailureDetector:
    """Probes members in turn, and pings members on behalf of others.

    Attributes:
        next_probe_at: Time of the next regular probe.
        last_heard_at: Time of the last message from any member.
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
        self._probes: dict[int, Probe] = {}  # by datagram number; one probe may have several
        self._indirect_pings: dict[int, IndirectPing] = {}  # by datagram number of the ping
        self._round: list[str] = []  # members still to be probed in this round
        self._is_ring_turn = False  # whether the last regular probe went to the successor in the ring
        self._unanswered: deque[float] = deque([-math.inf] * MASS_FAILURE, MASS_FAILURE)  # times

    # Messages.

    def is_probing(self, number: int, name: str) -> bool:
        """Returns whether the datagram of this number belongs to a probe of the member."""
        probe = self._probes.get(number)
        return probe is not None and probe.target == name

    def on_ack(self, now: float, message: wire.Message) -> None:
        """Handles the answer to a ping by this process, whether for itself or on behalf of another member."""
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
        """Handles a helper's report that it got no answer from the target."""
        probe = self._probes.get(message.echo)
        if probe is not None:
            probe.nacks += 1

    def on_ping_request(self, now: float, message: wire.Message, requester: MemberRecord) -> None:
        """Pings a member on behalf of the requester."""
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
            now + INDIRECT_PING_LIFETIME,
        )
        self._messenger.post(message.target_address, data)

    # Time.

    def check(self, now: float) -> None:
        """Advances the probes and indirect pings that are due."""
        for probe in {id(probe): probe for probe in self._probes.values()}.values():
            if now >= probe.due_at:
                self._advance(now, probe)
        for number, ping in list(self._indirect_pings.items()):
            if now >= ping.nack_at:
                ping.nack_at = math.inf
                if self._limits.answers.take(now):
                    content = Content(MessageKind.NACK, ping.echo, piggyback=False)
                    self._messenger.send_content(now, ping.requester, content)
            if now >= ping.expires_at:
                del self._indirect_pings[number]

    def check_turn(self, now: float) -> None:
        """Probes the next member if the probe period has passed."""
        if now >= self.next_probe_at:
            period = self._tuning.probe_period * self._health.factor
            self.next_probe_at = max(self.next_probe_at + period, now)
            self._probe_next(now)

    def next_due_at(self) -> float:
        """Returns the time at which `check` is due; infinite if nothing is under way."""
        probes = (probe.due_at for probe in self._probes.values())
        pings = (ping.nack_at for ping in self._indirect_pings.values())
        return min(min(probes, default=math.inf), min(pings, default=math.inf))

    def reset(self) -> None:
        """Discards all probes and pings under way, as the process was suspended during their time-outs."""
        self._probes.clear()
        self._indirect_pings.clear()

    # Probes.

    def add_to_round(self, name: str) -> None:
        """Inserts a new member at a random position of the current round."""
        self._round.insert(self._random.randrange(len(self._round) + 1), name)

    def probe(self, now: float, record: MemberRecord, direct_only: bool = False) -> None:
        """Starts a probe of a member.

        If `direct_only` is set, no helpers are asked, because other members probe it as well.
        """
        self._limits.own.take(now)
        ping = Content(
            MessageKind.PING,
            target=record.name,
            member_updates=self._messenger.update_for(now, record),
            piggyback=record.status == Status.ALIVE and not direct_only,
        )
        data = self._messenger.compose(now, ping)
        factor = self._health.factor
        due_at = now + self._tuning.direct_timeout * factor / DIRECT_PINGS
        self._probes[self._messenger.number] = Probe(
            record.name, record.incarnation, factor, due_at, direct_only
        )
        self._messenger.post(record.packed_address, data)

    def _probe_next(self, now: float) -> None:
        """Probes the successor in the ring and the next member of the random round alternately.

        The ring guarantees that each member is probed at least once in two periods, whatever the random order
        of the rounds is.
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

    def _advance(self, now: float, probe: Probe) -> None:
        """Takes the next step of a probe without an answer.

        To allow for lost datagrams, the member itself is pinged again first, which costs less than helpers.
        """
        probe.step += 1
        if probe.step > DIRECT_PINGS + 1:
            self._on_failed(now, probe)
            return
        is_direct = probe.step < DIRECT_PINGS
        duration = (
            self._tuning.direct_timeout / DIRECT_PINGS if is_direct else self._tuning.indirect_timeout / 2
        )
        if probe.step == DIRECT_PINGS:
            self._unanswered.append(now)
            self._probe_ring(now)
        requests_help = probe.step == DIRECT_PINGS or (
            probe.step == DIRECT_PINGS + 1 and self._tuning.lifeguard
        )
        if requests_help and not probe.direct_only:
            self._request_pings(now, probe)
        if (
            not probe.direct_only or probe.step != DIRECT_PINGS
        ):  # four pings suffice where many probes are sent
            self._ping_again(now, probe)
        probe.due_at = now + duration * probe.factor

    def _probe_ring(self, now: float) -> None:
        """Probes the next few members in the ring if probes stay unanswered or many members are suspected.

        When many members die at once, regular probes would find them one after the other. Drawback: when most
        datagrams are lost, this sends more pings, up to a rate limit.
        """
        if not self._tuning.lifeguard or now - self.last_heard_at > 2 * self._tuning.probe_period:
            return  # this member receives nothing from anybody, so the fault is probably its own
        if not self._suspects.is_mass_failure() and now - self._unanswered[0] > UNANSWERED_WINDOW:
            return  # too few probes are unanswered to suggest a mass failure
        probed = {probe.target for probe in self._probes.values()}
        count = min(RING_PROBES, MAX_CONCURRENT_PROBES - len(probed))
        for record in self._table.nearest_in_ring(probed, now - RECENT_CONTACT_TIME, count):
            if self._limits.ring_probes.take(now):
                self.probe(now, record, direct_only=True)

    def _request_pings(self, now: float, probe: Probe) -> None:
        """Asks other members to ping the target."""
        record = self._target(probe)
        if record is None:
            return
        count = self._tuning.ping_helpers
        helpers = [candidate for candidate in self._sampler.alive(count + 1) if candidate is not record]
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
            # An answer echoes the number of the request, so each request is registered with the probe.
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
        self._discard(probe)
        self._health.improve()
        record = self._target(probe)
        if record is None:
            return
        record.heard_at = now
        if record.suspicion is not None and self._tuning.lifeguard:
            # An answer by any path proves that the member is alive; its refutation may still be under way.
            record.suspicion.is_verified = False
            record.suspicion.since = now
            record.suspicion.final_pings = 0

    def _on_failed(self, now: float, probe: Probe) -> None:
        """Suspects the target after a probe without an answer, unless it was heard meanwhile."""
        self._discard(probe)
        if probe.helpers and not probe.nacks and now - self.last_heard_at > self._tuning.probe_period:
            self._health.worsen()  # neither the helpers nor any other member could be heard
        record = self._target(probe)
        if record is None or not record.is_living or self._health.is_suspended(now):
            return
        if record.heard_directly_at > now - self._tuning.indirect_timeout:
            return
        accusation = Accusation(self._own.record.name, is_own=True)
        self._states.suspect(now, record, record.refutation, accusation)
        self._probe_ring(now)

    def _target(self, probe: Probe) -> MemberRecord | None:
        """Returns the target's record, or None unless it is still the incarnation that was probed."""
        record = self._table.records.get(probe.target)
        return record if record is not None and record.incarnation == probe.incarnation else None

    def _discard(self, probe: Probe) -> None:
        for number in [number for number, other in self._probes.items() if other is probe]:
            del self._probes[number]
