"""The members that one process knows of: SWIM's probing and news, with Lifeguard's amendments.

Free of I/O, clock and own chance: `received` and `tick` are called with the time, all else goes through the
host. What is departed from, and why, stands in docs/design/members.md.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass

import msgspec

from ...protocol import members as wire
from ...transport.address import Address, address_text
from ..shared.cells import Cells
from ..shared.repeats import Repeats, times
from ..shared.spread import Spread
from .budget import Budget
from .health import LAST_WORD, Health, Suspicion, Tuning
from .members import Member, MembersHost, Standing
from .table import Record, Table

PINGS = 3  # to the probed member itself before others are asked
LOOK = 0.25  # seconds between two ticks at most, so that a stop of the process is seen
SOON, ENCORE, AGAIN = 0.02, 0.08, 0.4  # seconds until news go out; to a few more; until they are told again
FANOUT = 3  # members that a news is told at once
FIRST = 8  # members that a cell may be told first
PAGES = 6  # datagrams of members that answer one exchange
SETTLE = 3.0  # seconds from the first other on, in which a higher life of the own name is one's own last
HERD, HERD_WITHIN = 3, 1.0  # probes without answer, within so many seconds, that tell of many dead at once
HERD_PART, HERD_LASTS = 0.05, 5.0  # of all that are suspected, which tells the same; seconds it is held for
HERD_NEXT, HERD_MOST = 2, 16  # members that each probe without answer has probed then; probes under way
HERD_HEARD = 2.0  # seconds in which one was heard that needs no such probe
CROWD = 30  # news, more than a datagram takes: more datagrams go out for them where many are dead
SECOND = 2.0  # members in the mean that probe one of whose suspicion they hear from others
DOUBT = 2.0  # seconds after a stop in which nobody is suspected
HEARSAY = 0.3  # seconds in which others' word of a death may be confirmed, before it is probed
OWN_WORD = 1.0  # seconds for an own probe of one that others suspect, before it is buried
FRESH = 1.0  # seconds for which a member's own message speaks against word of its death
LEAVE_TOLD = 10  # members that are told at once of one that leaves
ASK_NAMESAKE, NAMESAKE_GONE = 2.0, 6.0  # seconds between pings to a namesake; without an answer of it
KEPT = 256  # greetings under way
MOST_TOLD = 64  # members that hear one word
LIVING = (Standing.ALIVE, Standing.SUSPECT)
SAID = {Standing.ALIVE: "member back", Standing.DEAD: "member dead", Standing.LEFT: "member left"}


@dataclass(slots=True)
class Counts:
    """What happened since the start."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    unreadable: int = 0
    other_release: int = 0
    other_fleet: int = 0
    older_life: int = 0
    replayed: int = 0
    strangers: int = 0  # messages of members not known yet that were not greeted
    full: int = 0  # members there was no room for
    suspected: int = 0
    refuted: int = 0
    buried: int = 0  # by this member's own judgement
    stops: int = 0
    too_long: int = 0

    def drops(self) -> dict[str, int]:
        names = ("unreadable", "other_release", "other_fleet", "older_life", "replayed", "strangers", "full")
        return {name: getattr(self, name) for name in names}


@dataclass(slots=True)
class Probe:
    target: str
    life: int
    number: int
    factor: float  # by which its time limits grow
    due: float  # its next step
    alone: bool = False  # without helpers
    step: int = 0
    helpers: int = 0
    nacks: int = 0


@dataclass(slots=True)
class Relay:
    """A ping sent for another member."""

    asker: bytes
    echo: int
    nack_at: float
    until: float


@dataclass(slots=True)
class Namesake:
    """Another process that is known under the own name."""

    life: int
    packed: bytes
    number: int  # of the ping that asks whether it is there
    asked: float
    heard: float = -math.inf
    tries: int = 1


class Members:
    def __init__(
        self,
        own: str,
        life: int,
        address: Address,
        fleet: str,
        seeds: Iterable[Address],
        host: MembersHost,
        chance: random.Random,
        now: float,
        cells: Cells | None = None,
        tuning: Tuning | None = None,
        successor: Callable[[], bool] = lambda: False,
    ) -> None:
        """`successor` tells whether a process that takes over from this one runs beside it."""
        self.fleet, self.host, self.chance, self.successor = fleet, host, chance, successor
        self.tuning = tuning = tuning or Tuning()
        self.own = Record(own, wire.pack_address(address), life, 0, wire.ALIVE, now, now, now)
        self.own_name, self.own_life = own, life
        self.table = Table(own, tuning.most)
        self.table.add(self.own)
        self.spread = Spread(cells, chance) if cells is not None else None
        if cells is not None:
            cells.wake = self.stir
        self.wake: Callable[[], None] = lambda: None  # tells the driver that a tick is due at once
        self.on_word: Callable[[float, str, str], None] = lambda now, who, text: None
        self.seeds: list[Address] = list(seeds)
        self.counts, self.health = Counts(), Health(tuning.doubts if tuning.lifeguard else 0)
        self.news: Repeats[str] = Repeats(tuning.most)
        self.will = Budget(tuning.rate, tuning.burst, now)
        self.urgent = Budget(tuning.urgent, tuning.at_once, now)
        self.further = Budget(tuning.more, tuning.more_at_once, now)
        self.crowd = Budget(tuning.more, tuning.more_at_once, now)
        self.opinions = Budget(tuning.more, tuning.more_at_once, now)
        self.answers = Budget(tuning.answers, tuning.answers, now)
        self.greetings = Budget(tuning.greetings, tuning.greetings, now)
        self.words = Budget(tuning.words, tuning.words, now)
        self.lines = Budget(1.0, 20.0, now)
        self.changes = 0
        self.unsaid = 0  # changes that were not logged one by one
        self.number = chance.randrange(1, 2**32)  # so that no answer to an earlier life fits
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, Relay] = {}
        self.greeted: dict[int, tuple[str, int, float]] = {}
        self.greeted_last: dict[str, float] = {}
        self.suspects: dict[str, Record] = {}
        self.round: list[str] = []
        self.last = self.last_heard = now
        self.ring = False  # whether the last probe was for the next in the ring
        self.silent: deque[float] = deque([-math.inf] * HERD, HERD)  # when the last probes went unanswered
        self.next_probe = now + chance.random() * tuning.period
        self.next_whole = self.next_far = now
        self.next_sums = now + chance.random() * tuning.sums
        self.next_clean = now + 10.0
        self.next_name = self.next_suspects = now
        self.gossip_at, self.gossiped = math.inf, -math.inf
        self.encore = False  # whether urgent news have gone to a few, and are to go to a few more
        self.filled = -math.inf  # when news last went along with a message
        self.doubt_until = self.herd_until = -math.inf
        self.settled = math.inf
        self.leaving = False
        self.namesake: Namesake | None = None  # asked whether it is there
        self.outnamed = False  # another process has the name, and this one keeps quiet
        self.handed_over = False  # to a successor
        self.twin = ""  # the address of a second process of this name, where there is one
        self.twin_until = -math.inf

    # What may be asked.

    def members(self) -> list[Member]:
        self.own.heard = self.own.direct = max(self.own.heard, self.last)
        return [record.member() for _, record in sorted(self.table.records.items())]

    def member(self, name: str) -> Member | None:
        record = self.table.records.get(name)
        return None if record is None else record.member()

    # What happens.

    def stir(self) -> None:
        """An own cell was written."""
        at = max(self.last, self.gossiped + SOON)  # many writes go out together
        if at < self.gossip_at:
            self.gossip_at = at
            self.wake()

    def reseed(self, seeds: Iterable[Address]) -> None:
        self.seeds = list(seeds)

    def tell(self, now: float, text: str) -> None:
        """A word of 256 bytes at most, to those alive; it may be lost."""
        if self.outnamed:
            return
        living = self.table.living()
        if len(living) > MOST_TOLD:
            living = self.chance.sample(living, MOST_TOLD)
        if living:
            data = self.compose(now, wire.WORD, word=text[: wire.MOST_WORD], fill=False)
            for record in living:
                if self.words.take(now):
                    self.post(record.packed, data)

    def leave(self, now: float) -> None:
        if self.leaving:
            return
        if not self.outnamed and self.successor():
            self.hand_over()  # the name goes on
        self.leaving, self.own.standing = True, wire.LEFT
        self.table.stand(self.own)
        if self.outnamed:
            return
        self.news.add(self.own.name)
        living = self.table.living()
        for record in self.chance.sample(living, min(LEAVE_TOLD, len(living))):
            self.send(now, record, wire.NEWS)
        self.gossip_at = now + SOON

    def received(self, now: float, data: bytes) -> None:
        """A datagram has come."""
        self.awake(now)
        counts = self.counts
        counts.received += 1
        counts.received_bytes += len(data)
        try:
            message = wire.decode(data, self.fleet)
        except wire.OtherFleet as fault:
            counts.other_fleet += 1
            self.first("members: another fleet's message", counts.other_fleet, fault)
            return
        except wire.OtherRelease as fault:
            counts.other_release += 1
            self.first("members: another release's message", counts.other_release, fault)
            return
        except wire.Unreadable as fault:
            counts.unreadable += 1
            self.first("members: unreadable message", counts.unreadable, fault)
            return
        if message.sender == self.own.name:
            self.heard_namesake(now, message)
            return
        if self.outnamed:
            return
        record = self.sender(now, message)
        if record is not None:
            self.heard(now, message, record)
            if self.spread is not None and self.spread.cells.fresh:
                self.gossip_at = min(self.gossip_at, now + SOON)

    def first(self, event: str, count: int, fault: wire.Unreadable) -> None:
        """Guards against a log that a flood fills: the first of its kind is told, then each thousandth."""
        if count % 1000 == 1:
            self.host.log(event, why=str(fault), count=count)

    def sender(self, now: float, message: wire.Message) -> Record | None:
        """The record of who sent it, where it may be believed."""
        record = self.table.records.get(message.sender)
        if record is None or message.life > record.life:
            if message.kind == wire.ACK and self.proven(message):
                self.hear(
                    now,
                    wire.News(message.sender, message.address, message.life, message.incarnation, wire.ALIVE),
                    message.sender,
                )
                record = self.table.records.get(message.sender)
                if record is None or record.life != message.life:
                    return None
                record.top, record.got, record.direct = message.number, 1, now
                if len(self.table.living()) <= 4 or self.chance.random() < 0.1:
                    self.exchange(now, record.packed)
                return record
            if message.kind == wire.PING and message.target == self.own.name and self.greetings.take(now):
                self.post(message.address, self.compose(now, wire.ACK, echo=message.number, fill=False))
            self.greet(now, message)
            return None
        if message.life < record.life:
            self.counts.older_life += 1
            if now - record.told > 0.2 and self.greetings.take(now):
                record.told = now  # it may be a process whose clock was set back: it takes a higher life then
                asks = message.kind == wire.PING and message.target == self.own.name
                self.post(
                    message.address,
                    self.compose(
                        now,
                        wire.ACK if asks else wire.NEWS,
                        echo=message.number if asks else 0,
                        news=[self.raw(now, record)],
                        fill=False,
                    ),
                )
            return None
        if not record.is_new(message.number):
            self.counts.replayed += 1
            return None
        record.direct = record.heard = self.last_heard = now
        if message.incarnation > record.incarnation:
            self.hear(
                now,
                wire.News(message.sender, message.address, message.life, message.incarnation, wire.ALIVE),
                message.sender,
            )
        return record

    def proven(self, message: wire.Message) -> bool:
        greeted = self.greeted.pop(message.echo, None)
        if greeted is not None:
            return greeted[:2] == (message.sender, message.life)
        probe = self.probes.get(message.echo)
        return probe is not None and probe.target == message.sender

    def greet(self, now: float, message: wire.Message) -> None:
        """Guards against members that are not there: whoever is new has to answer at the address it tells."""
        if now - self.greeted_last.get(message.sender, -math.inf) < 0.3:
            return
        if len(self.greeted) >= KEPT or not self.greetings.take(now):
            self.counts.strangers += 1
            return
        self.greeted_last[message.sender] = now
        data = self.compose(now, wire.PING, target=message.sender, fill=False)
        self.greeted[self.number] = message.sender, message.life, now + 2.0
        self.post(message.address, data)

    def heard(self, now: float, message: wire.Message, record: Record) -> None:
        whole, before = message.kind in (wire.STATE, wire.STATES), self.changes
        for news in message.members:
            self.hear(now, news, record.name, whole)
        spread = self.spread
        if spread is not None:
            for cell in message.cells:
                spread.told(now, cell, len(self.table.records))
            if message.sums:
                self.compare(now, message, record)
            for want in message.wants:
                for page in spread.wanted(now, want):
                    if not self.answers.take(now, keep=10.0):
                        break
                    self.post(record.packed, self.compose(now, wire.NEWS, cells=page, fill=False))
        answered = False
        kind = message.kind
        if kind == wire.PING:
            if message.target == self.own.name and self.answers.take(now):
                self.send(now, record, wire.ACK, echo=message.number, free=True)
                answered = True
        elif kind == wire.ACK:
            self.acked(now, message)
        elif kind == wire.NACK:
            probe = self.probes.get(message.echo)
            if probe is not None:
                probe.nacks += 1
        elif kind == wire.ASK:
            self.asked(now, message, record)
        elif kind == wire.STATE:
            self.send_whole(now, record, message.marks, wire.STATES)
        elif kind == wire.STATES:
            if message.marks:
                self.send_whole(now, record, message.marks, wire.NEWS)
            if self.changes - before > 2:
                self.next_whole = min(self.next_whole, now + (0.3 if self.young(now) else 1.0))
        elif kind == wire.WORD and record.living and message.word:
            self.on_word(now, record.name, message.word)
        if (
            not answered
            and record.standing != wire.ALIVE
            and now - record.told > 0.2
            and self.answers.take(now)
        ):
            self.send(now, record, wire.NEWS, free=True)  # what is believed of it goes along

    def young(self, now: float) -> bool:
        return now < self.settled + 5.0

    def compare(self, now: float, message: wire.Message, teller: Record) -> None:
        assert self.spread is not None
        for one in message.sums:
            record = self.table.records.get(one.owner)
            if record is not None and one.life == record.life and one.owner != self.own.name:
                record.heard = max(record.heard, now - one.age / 1000)
        wants = self.spread.compare(now, message.sums)
        if wants and self.answers.take(now, keep=10.0):
            self.post(
                teller.packed,
                self.compose(now, wire.NEWS, wants=[wire.raw(want) for want in wants], fill=False),
            )

    def acked(self, now: float, message: wire.Message) -> None:
        probe = self.probes.get(message.echo)
        if probe is not None:
            self.forget_probe(probe)
            self.health.better()
            record = self.table.records.get(probe.target)
            if record is not None and record.life == probe.life:
                record.heard = now
                if record.suspicion is not None and self.tuning.lifeguard:
                    # It lives, by whatever path; that it has refuted the suspicion may still be on its way.
                    record.suspicion.own, record.suspicion.since, record.suspicion.words = False, now, 0
            return
        relay = self.relays.pop(message.echo, None)
        if relay is not None and self.answers.take(now):
            record = self.table.records.get(message.sender)
            news = [self.raw(now, record)] if record is not None else []
            self.post(relay.asker, self.compose(now, wire.ACK, echo=relay.echo, news=news))

    def asked(self, now: float, message: wire.Message, asker: Record) -> None:
        if not message.at or not message.target or len(self.relays) >= KEPT or not self.answers.take(now):
            return
        known = self.table.records.get(message.target)
        news = [self.raw(now, known)] if known is not None and known.standing != wire.ALIVE else []
        data = self.compose(now, wire.PING, target=message.target, news=news, fill=False)
        self.relays[self.number] = Relay(
            asker.packed, message.number, now + self.tuning.indirect * 0.7, now + 2.0
        )
        self.post(message.at, data)

    # Time.

    def awake(self, now: float) -> None:
        """Guards against a process that was stopped and takes the others' silence for death: it doubts
        itself. May hurt where a member dies meanwhile: its death is told later."""
        gap, self.last = now - self.last, now
        if gap <= self.tuning.asleep or not self.tuning.lifeguard:
            return
        self.counts.stops += 1
        self.host.log("members: was stopped", seconds=round(gap, 2))
        self.probes.clear()
        self.relays.clear()
        self.greeted.clear()
        self.health.worse(2)
        self.doubt_until = now + DOUBT
        for record in self.suspects.values():
            if record.suspicion is not None:
                record.suspicion.since = now
        if self.outnamed:
            return
        if gap > self.tuning.least:
            self.own.incarnation += 1
            self.own_news(now)
        living = self.table.living()
        for record in self.chance.sample(living, min(FANOUT, len(living))):
            self.exchange(now, record.packed)

    def tick(self, now: float) -> float:
        """Does what is due, and tells when it wants to be called again."""
        self.awake(now)
        if now >= self.next_name:
            self.next_name = now + 0.5
            self.look_at_name(now)
        if self.outnamed:
            return now + LOOK
        if self.settled == math.inf and self.table.living():
            self.settled = now + SETTLE
        self.look_at_probes(now)
        if now >= self.next_suspects:
            self.next_suspects = now + 0.05
            self.look_at_suspects(now)
        if not self.leaving:
            if now >= self.next_probe:
                self.next_probe = max(self.next_probe + self.tuning.period * self.health.factor, now)
                self.probe_next(now)
            if now >= self.next_far:
                self.reach_far(now)
            if now >= self.next_whole:
                self.reach_whole(now)
            if self.spread is not None and now >= self.next_sums:
                self.next_sums = now + self.tuning.sums * (0.8 + 0.4 * self.chance.random())
                self.send_sums(now)
        if now >= self.gossip_at:
            self.gossip(now)
        if now >= self.next_clean:
            self.clean(now)
        due = min(now + LOOK, self.next_probe, self.gossip_at)
        if self.suspects:
            due = min(due, self.next_suspects)
        for probe in self.probes.values():
            due = min(due, probe.due)
        for relay in self.relays.values():
            due = min(due, relay.nack_at)
        return max(due, now + 0.005)

    def look_at_probes(self, now: float) -> None:
        for probe in {id(probe): probe for probe in self.probes.values()}.values():
            if now >= probe.due:
                self.go_on(now, probe)
        for number, relay in list(self.relays.items()):
            if now >= relay.nack_at:
                relay.nack_at = math.inf
                if self.answers.take(now):
                    self.post(relay.asker, self.compose(now, wire.NACK, echo=relay.echo, fill=False))
            if now >= relay.until:
                del self.relays[number]

    def probe_next(self, now: float) -> None:
        """Each second probe is for the next in the ring: so each is probed once in two periods by one whose
        turn it is, however the chance of the others falls."""
        self.ring = not self.ring and self.tuning.lifeguard
        record = self.table.next() if self.ring else None
        if record is not None:
            self.probe(now, record)
            return
        while self.round or self.table.living():
            if not self.round:
                self.round = [record.name for record in self.table.living()]
                self.chance.shuffle(self.round)
            record = self.table.records.get(self.round.pop())
            if record is not None and record.living and record.name != self.own.name:
                self.probe(now, record)
                return

    def probe(self, now: float, record: Record, alone: bool = False) -> None:
        """`alone`: no helpers are asked, since others have tried already."""
        self.will.take(now)
        data = self.compose(
            now,
            wire.PING,
            target=record.name,
            news=self.of(now, record),
            fill=record.standing == wire.ALIVE and not alone,
        )
        factor = self.health.factor
        self.probes[self.number] = Probe(
            record.name, record.life, self.number, factor, now + self.tuning.direct * factor / PINGS, alone
        )
        self.post(record.packed, data)

    def go_on(self, now: float, probe: Probe) -> None:
        """No answer yet. Guards against loss: first the other itself is asked again, which costs less than
        helpers do; may hurt nobody, since the time is the same."""
        probe.step += 1
        length = self.tuning.direct / PINGS if probe.step < PINGS else self.tuning.indirect / 2
        if probe.step > PINGS + 1:
            self.failed(now, probe)
            return
        if probe.step == PINGS:
            self.silent.append(now)
            self.look_further(now)
        if not probe.alone and (probe.step == PINGS or (probe.step == PINGS + 1 and self.tuning.lifeguard)):
            self.ask_others(now, probe)
        if not probe.alone or probe.step != PINGS:  # many of these go out: four pings do
            self.ping_again(now, probe)
        probe.due = now + length * probe.factor

    def look_further(self, now: float) -> None:
        """Guards against many that die at once, of whom a probe each second meets one after the other: where
        probes go without answer, or many are suspected, the next few in the ring are probed at once. May hurt
        where most datagrams are lost: some more pings go out, as many as a budget allows."""
        if now - self.last_heard > 2 * self.tuning.period or not self.tuning.lifeguard:
            return  # it is this member that hears nobody
        if not self.herd and now - self.silent[0] > HERD_WITHIN:
            return  # by chance
        under = {probe.target for probe in self.probes.values()}
        for record in self.table.nearest(under, now - HERD_HEARD, min(HERD_NEXT, HERD_MOST - len(under))):
            if self.further.take(now):
                self.probe(now, record, alone=True)

    @property
    def herd(self) -> bool:
        """Whether many are suspected at once."""
        return len(self.suspects) >= max(HERD, HERD_PART * len(self.table.living()))

    def ask_others(self, now: float, probe: Probe) -> None:
        record = self.table.records.get(probe.target)
        if record is None or record.life != probe.life:
            return
        count = self.tuning.helpers
        for helper in [one for one in self.sample(count + 1) if one is not record][:count]:
            self.will.take(now)
            news = self.of(now, record)
            data = self.compose(now, wire.ASK, target=record.name, at=record.packed, news=news)
            self.post(helper.packed, data)
            # The answer comes with the number of the message that asked; each is known as this probe's.
            self.probes[self.number] = probe
            probe.helpers += 1

    def ping_again(self, now: float, probe: Probe) -> None:
        record = self.table.records.get(probe.target)
        if record is not None and record.life == probe.life and self.tuning.lifeguard:
            self.will.take(now)
            data = self.compose(now, wire.PING, target=record.name, news=self.of(now, record), fill=False)
            self.probes[self.number] = probe
            self.post(record.packed, data)

    def failed(self, now: float, probe: Probe) -> None:
        """No answer, neither directly nor through others."""
        self.forget_probe(probe)
        if probe.helpers and not probe.nacks and now - self.last_heard > self.tuning.period:
            self.health.worse()  # neither those who were asked could be heard, nor anybody else
        record = self.table.records.get(probe.target)
        if (
            record is None
            or record.life != probe.life
            or not record.living
            or now < self.doubt_until
            or record.direct > now - self.tuning.indirect
        ):
            return
        self.suspect(now, record, record.incarnation, self.own.name, own=True)
        self.look_further(now)

    def forget_probe(self, probe: Probe) -> None:
        for number in [number for number, one in self.probes.items() if one is probe]:
            del self.probes[number]

    def look_at_suspects(self, now: float) -> None:
        if now < self.doubt_until:
            return
        others = len(self.table.living()) - len(self.suspects)  # who can have an opinion
        for record in list(self.suspects.values()):
            suspicion = record.suspicion
            if suspicion is None or record.standing != wire.SUSPECT:
                self.suspects.pop(record.name, None)
                continue
            if now >= suspicion.ask:
                suspicion.ask = math.inf
                if not suspicion.own:
                    self.probe(now, record, alone=True)
            left = suspicion.since + suspicion.lasts(self.tuning, self.health.factor, others) - now
            if left <= 0 and not suspicion.own and suspicion.words < 2:
                # Guards against a burial on hearsay alone: a probe of one's own comes before.
                suspicion.words += 1
                suspicion.since += OWN_WORD
                self.probe(now, record)
            elif left <= 0:
                self.counts.buried += 1
                self.stand(now, record, wire.DEAD, record.incarnation)
            elif self.tuning.lifeguard and suspicion.own and left < LAST_WORD and not suspicion.words:
                suspicion.words += 1  # so that one lost refutation buries nobody
                self.probe(now, record, alone=self.herd)

    def look_at_name(self, now: float) -> None:
        if now >= self.twin_until and self.twin and not self.outnamed:
            self.twin = ""
            self.host.log("members: the name is this process's alone again")
        if self.leaving:
            return
        if self.successor() != self.handed_over:
            if not self.handed_over:
                self.hand_over()
            else:
                self.handed_over = self.outnamed = False
                self.take_life(now, self.own.life)
            return
        asked = self.namesake
        if asked is None or self.handed_over:
            return
        if self.outnamed:
            if now - asked.heard > NAMESAKE_GONE:
                self.namesake, self.outnamed, self.twin = None, False, ""
                self.host.log("members: the name is free again")
                self.take_life(now, asked.life)
            elif now - asked.asked > ASK_NAMESAKE:
                self.ask_namesake(now, asked)
                self.post(asked.packed, self.compose(now, wire.TWIN, echo=asked.life, fill=False))
        elif now - asked.asked > 0.4:
            asked.tries += 1
            if asked.tries > 4:
                self.namesake = None
                self.take_life(now, asked.life)
            else:
                self.ask_namesake(now, asked)

    # The own name.

    def heard_namesake(self, now: float, message: wire.Message) -> None:
        if message.life == self.own.life or self.handed_over:
            return  # an echo of one's own
        asked = self.namesake
        if message.kind == wire.PING and message.target == self.own.name:
            if self.answers.take(now):
                self.post(message.address, self.compose(now, wire.ACK, echo=message.number, fill=False))
        elif message.kind == wire.ACK and asked is not None and message.echo == asked.number:
            asked.heard = now
            asked.life = max(asked.life, message.life)
            if not self.outnamed and message.life > self.own.life and not self.leaving:
                self.outnamed, self.twin = True, address_text(wire.unpack_address(message.address))
                self.host.log(
                    "members: another process has this name",
                    name=self.own.name,
                    at=self.twin,
                    this_one="keeps quiet",
                )
                self.next_name = now
                asked.asked = -math.inf
        elif message.kind == wire.TWIN and message.echo == self.own.life and message.life < self.own.life:
            at = address_text(wire.unpack_address(message.address))
            if at != self.twin:
                self.twin = at
                self.host.log(
                    "members: another process has this name", name=self.own.name, at=at, this_one="goes on"
                )
            self.twin_until = now + 3 * ASK_NAMESAKE
        elif message.life > self.own.life:
            self.overtaken(now, message.life, message.address)

    def overtaken(self, now: float, life: int, packed: bytes) -> None:
        """The own name is known with a higher life: a successor's, one's own last by a clock that was ahead,
        or that of another process."""
        if self.leaving or self.outnamed:
            return
        if self.successor():
            self.hand_over()
        elif now < self.settled or packed == self.own.packed:
            self.take_life(now, life)
        elif self.namesake is None:
            self.namesake = Namesake(life, packed, 0, now)
            self.ask_namesake(now, self.namesake)

    def ask_namesake(self, now: float, asked: Namesake) -> None:
        data = self.compose(now, wire.PING, target=self.own.name, fill=False)
        asked.number, asked.asked = self.number, now
        if self.answers.take(now):
            self.post(asked.packed, data)

    def hand_over(self) -> None:
        self.handed_over = self.outnamed = True
        self.host.log("members: the process beside this one has the name")

    def take_life(self, now: float, above: int) -> None:
        before = self.own.member()
        self.own_life = self.own.life = above + 1 + self.chance.randrange(1024)
        self.own.incarnation = 0
        self.host.log("members: a higher life", life=self.own.life, above=above)
        if self.spread is not None:
            self.spread.cells.reborn(now, self.own.life)
        self.own_news(now)
        self.host.changed(before, self.own.member())

    def own_news(self, now: float) -> None:
        self.table.stand(self.own)
        self.news.add(self.own.name)
        self.gossip_at = min(self.gossip_at, now)

    def about_me(self, now: float, news: wire.News, teller: str) -> None:
        own = self.own
        if news.life > own.life:
            self.overtaken(now, news.life, news.address)
        elif news.life == own.life and not self.leaving:
            if news.standing == wire.LEFT:
                self.take_life(now, own.life)
            elif news.standing != wire.ALIVE and news.incarnation >= own.incarnation:
                own.incarnation = news.incarnation + 1
                self.counts.refuted += 1
                self.health.worse()
                self.own_news(now)
                record = self.table.records.get(teller)
                if record is not None and self.answers.take(now):
                    self.send(now, record, wire.NEWS, free=True)

    # News.

    def hear(self, now: float, news: wire.News, teller: str, whole: bool = False) -> None:
        """What `teller` says of one member; in an exchange of the `whole` state it may be old."""
        if news.name == self.own.name:
            self.about_me(now, news, teller)
            return
        record = self.table.records.get(news.name)
        age = float(news.age)
        if record is None:
            if news.standing > wire.SUSPECT and age > self.tuning.forget:
                return
            self.meet(now, news, age)
            return
        if news.life < record.life:
            self.counts.older_life += 1
            return
        if news.life > record.life:
            self.reborn(now, record, news, age)
            return
        if record.standing == wire.LEFT:
            return
        same = news.incarnation == record.incarnation
        if news.standing == record.standing and same and record.living:
            self.news.heard(news.name, times(len(self.table.records)))
        if news.standing == wire.LEFT:
            self.stand(now, record, wire.LEFT, max(news.incarnation, record.incarnation), age)
        elif news.incarnation < record.incarnation:
            return
        elif news.standing == wire.ALIVE:
            if not same:
                record.packed, record.heard = news.address, now
                self.stand(now, record, wire.ALIVE, news.incarnation)
        elif news.standing == wire.SUSPECT:
            if record.standing != wire.DEAD or not same:
                self.suspect(now, record, news.incarnation, news.by or teller, first=news.by in ("", teller))
        elif record.standing != wire.DEAD or not same:
            if (
                self.tuning.lifeguard
                and record.living
                and (whole or record.direct > now - FRESH or now < self.doubt_until)
            ):
                # Guards against word of a death that is old, or that own ears speak against. May hurt where
                # it is dead: so it is probed, unless the news comes otherwise too, and the verdict counts as
                # the opinion of several.
                self.suspect(now, record, news.incarnation, teller)
                if record.suspicion is not None and not record.suspicion.verdict:
                    record.suspicion.verdict = True
                    fresh = record.direct > now - FRESH
                    record.suspicion.ask = now if fresh else max(now, self.doubt_until) + HEARSAY
            else:
                self.stand(now, record, wire.DEAD, news.incarnation, age)

    def meet(self, now: float, news: wire.News, age: float) -> None:
        record = Record(
            news.name, news.address, news.life, news.incarnation, news.standing, now - age, now - age
        )
        if news.standing == wire.SUSPECT:
            record.standing = wire.ALIVE
        if not self.table.add(record):
            self.counts.full += 1
            return
        if record.living:
            self.round.insert(self.chance.randrange(len(self.round) + 1), record.name)
            self.news.add(record.name)
            self.gossip_at = min(self.gossip_at, now + SOON)
            self.note(now, "member came", record)
        self.changes += 1
        self.host.changed(None, record.member())
        if news.standing == wire.SUSPECT:
            self.suspect(now, record, news.incarnation, news.by or "?")

    def reborn(self, now: float, record: Record, news: wire.News, age: float) -> None:
        """A later start of the same name."""
        before = record.member()
        record.life, record.packed, record.incarnation = news.life, news.address, news.incarnation
        record.top = record.got = 0
        record.direct, record.heard, record.since, record.suspicion = -math.inf, now, now - age, None
        record.standing = wire.ALIVE if news.standing == wire.SUSPECT else news.standing
        self.suspects.pop(record.name, None)
        self.changed(now, record, before)
        if news.standing == wire.SUSPECT:
            self.suspect(now, record, news.incarnation, news.by or "?")

    def stand(self, now: float, record: Record, standing: int, incarnation: int, age: float = 0.0) -> None:
        before = record.member()
        record.standing, record.incarnation, record.since = standing, incarnation, now - age
        record.suspicion = None
        self.suspects.pop(record.name, None)
        self.changed(now, record, before)

    def changed(self, now: float, record: Record, before: Member) -> None:
        self.table.stand(record)
        after = record.member()
        # Guards against a flood for each suspicion that comes to nothing: what others suspect, and that it is
        # refuted, only rides along. May hurt where few messages go out: it is told a little later.
        rides = (
            self.tuning.lifeguard
            and before.life == after.life
            and record.living
            and (before.standing in LIVING)
            and not (record.suspicion is not None and record.suspicion.own)
        )
        self.news.add(record.name, 1 if rides else 0)
        self.gossip_at = min(self.gossip_at, now + SOON)
        if (before.standing, before.life, before.address) == (after.standing, after.life, after.address):
            return
        if before.life != after.life and after.standing is Standing.ALIVE:
            self.note(now, "member began anew", record)
        elif (after.standing in SAID and before.standing is not Standing.SUSPECT) or not record.living:
            self.note(now, SAID[after.standing], record)
        self.changes += 1
        self.host.changed(before, after)

    def suspect(
        self, now: float, record: Record, incarnation: int, by: str, own: bool = False, first: bool = False
    ) -> None:
        """`own`: a probe of this member has failed. `first`: it is heard from who has that opinion itself."""
        suspicion = record.suspicion
        if suspicion is not None and incarnation == record.incarnation:
            others = sorted(suspicion.by)
            if len(others) <= self.tuning.opinions:
                suspicion.by.add(by)
            if own and not suspicion.own:
                suspicion.own = True
                self.agree(now, record, others)
                self.news.add(record.name, 1)
            return
        if suspicion is None and incarnation == record.incarnation and record.standing == wire.DEAD:
            return
        before = record.member()
        self.counts.suspected += 1
        record.incarnation, record.standing, record.since = incarnation, wire.SUSPECT, now
        record.suspicion = Suspicion(now, {by}, own or not self.tuning.lifeguard, follows=not own)
        self.suspects[record.name] = record
        if self.herd:
            self.herd_until = now + HERD_LASTS
        self.changed(now, record, before)
        # A second opinion by those whom the first to suspect it tells, and by a few more, so that the truth
        # is known soon either way.
        if (
            not own
            and self.tuning.lifeguard
            and not self.leaving
            and now >= self.doubt_until
            and (first or self.chance.random() * len(self.table.living()) < SECOND)
            and (self.opinions.take(now))
        ):
            self.probe(now, record, alone=True)

    def agree(self, now: float, record: Record, others: Iterable[str]) -> None:
        """Tells those who suspect it that a probe of this member has failed too: the others need not know."""
        if not self.tuning.lifeguard:
            return
        for name in others:
            other = self.table.records.get(name)
            if (
                other is not None
                and other.living
                and other is not self.own
                and (self.answers.take(now, keep=20.0))
            ):
                self.post(other.packed, self.compose(now, wire.NEWS, news=[self.raw(now, record)]))

    def note(self, now: float, event: str, record: Record) -> None:
        """Guards against a log that a great change fills."""
        if event and self.lines.take(now):
            if self.unsaid:
                self.host.log("members: more changes", count=self.unsaid)
                self.unsaid = 0
            self.host.log(event, name=record.name, at=address_text(record.address), life=record.life)
        elif event:
            self.unsaid += 1

    # What goes out.

    def sample(self, count: int) -> list[Record]:
        """Of those that nobody is known to suspect, where there are any."""
        there = self.table.alive() or self.table.living()
        return self.chance.sample(there, min(count, len(there)))

    def gossip(self, now: float) -> None:
        """Tells news to a few."""
        spread, self.gossiped = self.spread, now
        if spread is not None:
            for name in list(spread.gather())[:FIRST]:
                record = self.table.records.get(name)
                if record is not None and record.living and record is not self.own and self.will.take(now):
                    self.send(now, record, wire.NEWS, free=True)
        cells = spread is not None and spread.queue.untold
        once_more, self.encore = self.encore, bool(self.news.untold)
        crowded = now < self.herd_until and len(self.news) > CROWD
        fresh = cells or self.news.untold or once_more or crowded
        if (
            not fresh
            and self.news
            and not (spread is not None and spread.queue)
            and (now < self.filled + AGAIN)
        ):
            self.gossip_at = self.filled + AGAIN  # what has gone out meanwhile had it along
            return
        level = self.will.look(now)
        fan = FANOUT if fresh and level > 12.0 else 2 if fresh and level > 8.0 else 1
        free = cells or self.young(now) or not self.tuning.lifeguard
        for record in self.sample(fan):
            if not self.waiting:
                break
            if not free and not (self.crowd if crowded else self.urgent).take(now):
                break  # it rides along, as all news do
            if not self.will.take(now, keep=2.0 if fresh else 8.0) and free:
                break
            self.send(now, record, wire.NEWS, free=True)
        if not self.waiting:
            self.gossip_at = math.inf
        else:
            fresh = self.news.untold or (spread is not None and spread.queue.untold)
            pause = SOON if fresh else ENCORE if self.encore or crowded else AGAIN
            pause = max(pause, 0.1 if self.will.level < 4.0 or self.urgent.level < 1.0 else 0.0)
            self.gossip_at = now + pause * (0.8 + 0.4 * self.chance.random())

    @property
    def waiting(self) -> bool:
        return bool(self.news) or (self.spread is not None and bool(self.spread.queue))

    def reach_whole(self, now: float) -> None:
        """Compares all that is known with one member."""
        pause = 0.5 if self.young(now) else self.tuning.whole
        self.next_whole = now + pause * (0.8 + 0.4 * self.chance.random())
        for record in self.sample(1):
            self.exchange(now, record.packed)

    def reach_far(self, now: float) -> None:
        """Tries one that is believed dead, or a seed that is none of the living: halves of a cut meet."""
        living = self.table.living()
        there = {record.packed for record in living} | {self.own.packed}
        unmet = [packed for seed in self.seeds if (packed := wire.pack_address(seed)) not in there]
        if not living:
            self.next_far = now + 0.5
            for packed in self.chance.sample(unmet, min(3, len(unmet))):
                self.exchange(now, packed)
        else:
            self.next_far = now + 4.0 * (0.8 + 0.4 * self.chance.random())
            far = unmet + [record.packed for record in self.table.dead()]
            if far:
                self.exchange(now, self.chance.choice(far))

    def exchange(self, now: float, packed: bytes) -> None:
        if self.will.take(now):
            self.post(packed, self.compose(now, wire.STATE, marks=self.table.marks()))

    def send_whole(self, now: float, to: Record, marks: bytes, kind: int) -> None:
        """What this one knows otherwise than another whose sums are `marks`."""
        differing = self.table.differing(marks)
        if not differing:
            return
        self.chance.shuffle(differing)
        own = self.table.marks() if kind == wire.STATES else b""
        page: list[msgspec.Raw] = []
        room = full = wire.MOST - 200 - len(own)
        pages = 0
        for record in self.table.in_buckets(differing):
            piece = self.raw(now, record)
            if len(piece) > room or len(page) >= 90:
                if pages + 1 >= PAGES or not self.answers.take(now, keep=10.0):
                    break
                self.post(to.packed, self.compose(now, kind, marks=own, news=page, fill=False))
                own, pages, page, room = b"", pages + 1, [], full
            page.append(piece)
            room -= len(piece)
        if page and self.answers.take(now, keep=5.0):
            self.post(to.packed, self.compose(now, kind, marks=own, news=page, fill=False))

    def send_sums(self, now: float) -> None:
        assert self.spread is not None
        for record in self.sample(1):
            if self.will.take(now, keep=2.0):
                sums = self.spread.summed(now, wire.MOST - 300, self.life_of)
                self.post(record.packed, self.compose(now, wire.NEWS, sums=sums))

    def life_of(self, name: str) -> tuple[int, float] | None:
        record = self.table.records.get(name)
        return None if record is None else (record.life, record.heard)

    def of(self, now: float, record: Record) -> list[msgspec.Raw]:
        """The buddy system: what is believed of a member goes with what is sent to it."""
        if record.standing == wire.ALIVE or not self.tuning.lifeguard:
            return []
        record.told = now
        return [self.raw(now, record)]

    def raw(self, now: float, record: Record) -> msgspec.Raw:
        by, age = "", 0
        if record.suspicion is not None:
            by = (
                self.own.name
                if record.suspicion.own and self.own.name in record.suspicion.by
                else (self.chance.choice(sorted(record.suspicion.by)))
            )
        elif record.standing > wire.SUSPECT:
            age = max(int(now - record.since), 0)
        return wire.raw(
            wire.News(record.name, record.packed, record.life, record.incarnation, record.standing, by, age)
        )

    def size(self, name: str) -> int:
        record = self.table.records.get(name)
        if record is None:
            return 0
        return len(name) * (1 if record.suspicion is None else 2) + len(record.packed) + 25

    def send(self, now: float, to: Record, kind: int, echo: int = 0, free: bool = False) -> None:
        """A message to one that is known; `free` of the budget where it was taken before."""
        if free or self.will.take(now):
            self.post(to.packed, self.compose(now, kind, echo=echo, news=self.of(now, to)))

    def compose(
        self,
        now: float,
        kind: int,
        *,
        echo: int = 0,
        target: str = "",
        at: bytes = b"",
        news: list[msgspec.Raw] | None = None,
        cells: list[msgspec.Raw] | None = None,
        sums: list[msgspec.Raw] | None = None,
        wants: list[msgspec.Raw] | None = None,
        marks: bytes = b"",
        word: str = "",
        fill: bool = True,
    ) -> bytes:
        """One datagram. What room is left is filled with news, where `fill` says so."""
        own = self.own
        self.number += 1
        draft = wire.Draft(
            wire.VERSION,
            wire.LOWEST,
            self.fleet,
            own.name,
            own.life,
            own.incarnation,
            own.packed,
            self.number,
            kind,
            echo,
            target,
            at,
            news or [],
            cells or [],
            sums or [],
            wants or [],
            marks,
            word,
        )
        if fill and self.waiting:
            self.filled = now
            room = wire.MOST - wire.ROOM - len(wire.encode(draft))
            shared = self.spread is not None and bool(self.spread.queue)
            for name in self.news.pick(room * 3 // 4 if shared else room, 40, self.size):
                piece = self.raw(now, self.table.records[name])
                if len(piece) <= room:
                    draft.members.append(piece)
                    room -= len(piece)
                    self.news.told(name, times(len(self.table.records)))
            if self.spread is not None:
                draft.cells.extend(self.spread.take(now, room, len(self.table.records)))
        data = wire.encode(draft)
        if len(data) > wire.MOST:  # cannot be; the others would drop it
            self.counts.too_long += 1
        return data

    def post(self, packed: bytes, data: bytes) -> None:
        self.counts.sent += 1
        self.counts.sent_bytes += len(data)
        self.host.send(wire.unpack_address(packed), data)

    # What is forgotten.

    def clean(self, now: float) -> None:
        self.next_clean = now + 10.0
        for name in list(self.table.gone):
            record = self.table.records[name]
            if now - record.since > self.tuning.forget and name != self.own.name:
                self.table.remove(name)
                self.news.drop(name)
        self.greeted = {number: one for number, one in self.greeted.items() if one[2] > now}
        self.greeted_last = {name: at for name, at in self.greeted_last.items() if now - at < 1.0}
        if self.spread is not None:
            self.spread.forget(now, lambda name: (r := self.table.records.get(name)) is not None and r.living)

    def figures(self) -> dict[str, object]:
        living = len(self.table.living()) + 1
        return {"members": living, **{name: value for name, value in asdict(self.counts).items() if value}}
