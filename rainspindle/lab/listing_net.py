"""The relayed list in virtual time: the program's own decision over a modelled net and a list service.

What is modelled is how cells travel (each write is at each other after a delay of its own, as measured for
the members; it may be lost to some and come with the next exchange), who is known to be there and when, and
how calls are made (as `routing/follow.py` does). Figures: `python -m rainspindle.lab.listing_net`.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from functools import partial

from ..balancer.host import EndpointStatus, ListedEndpoint
from ..decisions.listing.relay import EndpointListRelay, RelaySettings
from ..protocol import listing as words
from ..protocol.listing import Head, Lines
from ..routing.follow import Follower
from .models.registry import Change, Gate, Registry

ANSWER = 0.005  # seconds that a call takes
AT = words.mark("the service")
BUSY = 2000  # bytes of cells written a second from which on they are slower
JOIN_TIME, DEATH_TIME = (0.5, 3.0), (2.8, 4.1)  # seconds until a newcomer knows the others, a death is known
MOST_HELD = 200  # messages that lie in the socket of one that stands still


def encoded(lines: Sequence[ListedEndpoint]) -> dict[str, bytes]:
    return {
        line.id: b"" if line.status is EndpointStatus.GONE else words.encode_line(line, ("10.0.0.1", 80), 0.0)
        for line in lines
    }


class Delays:
    """How late a cell is at another, as measured at 1,000: with little written, and with 6 kB a second."""

    def __init__(self, chance: random.Random) -> None:
        self.random, self.sum = chance, 0
        self.written: deque[tuple[float, int]] = deque()

    def wrote(self, now: float, size: int) -> None:
        self.written.append((now, size))
        self.sum += size

    def next(self, now: float) -> float:
        while self.written and self.written[0][0] < now - 3.0:
            self.sum -= self.written.popleft()[1]
        if self.sum <= 3.0 * BUSY:
            return min(0.12 * math.exp(self.random.gauss(0.0, 0.5)), 1.0)
        return min(0.45 * math.exp(self.random.gauss(0.0, 0.7)), 4.0)


class Service:
    def __init__(self, registry: Registry, rate: float = 0.0) -> None:
        self.registry, self.gate, self.at = registry, Gate(rate), AT
        self.calls: list[float] = []
        self.base = 0  # added to each version told: below 0 where the service has counted anew


class Node:
    """One sidecar: its follower as modelled, its relay, the cells that it has heard."""

    def __init__(self, net: Net, name: str) -> None:
        self.net, self.name, self.service = net, name, net.service
        self.run, self.up, self.stopped_until = 0, False, -math.inf
        self.cells: dict[tuple[str, str], bytes] = {}
        self.blind = False  # whether its calls fail whatever the service does
        self.deaf_to_service = 0.0

    def start(self) -> None:
        net = self.net
        self.run, self.up, self.started = self.run + 1, True, net.now
        self.cells.clear()
        self.orders: dict[tuple[str, str], tuple[int, int]] = {}
        self.inbox: list[tuple[str, str, bytes]] = []
        self.view_from = net.now + net.random.uniform(*net.join_time)
        self.version: int | None = None if net.bare else net.known
        self.listed_at = math.inf
        self.hearsay, self.fails, self.calling, self.silent_until = False, 0, 0, -math.inf
        self.lines = {} if net.bare else encoded(net.service.registry.whole(net.known))
        self.own_told = net.now  # the last answer of the service itself
        self.heard_whole: list[tuple[float, int]] = []
        self.relay: EndpointListRelay | None = None
        if net.relayed:
            chance = random.Random(f"{net.seed}|{self.name}|{self.run}")
            terms = RelaySettings(net.askers, net.ask_within, seeded=len(net.names) > 1)
            self.relay = EndpointListRelay(net.now, self.name, self.run, terms, self.service.at, self, chance)
            if self.lines:
                self.relay.start(net.known, self.lines)
            net.later(net.random.random() * 0.5, self.living(self.tick))
        net.later(0.0, self.living(self.next_call))

    def stop(self) -> None:
        self.up = False
        self.run += 1

    def living(self, do: Callable[[], None]) -> Callable[[], None]:
        run = self.run

        def then() -> None:
            if self.run != run or not self.up:
                return
            if self.net.now < self.stopped_until:
                self.net.later(self.stopped_until - self.net.now, then)
            else:
                do()

        return then

    def tick(self) -> None:
        assert self.relay is not None
        self.drain()
        self.net.later(max(self.relay.tick(self.net.now) - self.net.now, 0.01), self.living(self.tick))

    # Host to the relay.

    def alive(self) -> Sequence[str]:
        return self.net.view(self)

    def write(self, now: float, name: str, value: bytes) -> None:
        self.net.spread(self, name, value)

    def read_register(self, owner: str, name: str) -> bytes:
        return self.cells.get((owner, name), b"")

    def apply_list(self, now: float, version: int, lines: Lines, delta: Lines) -> bool:
        self.version, self.hearsay = version, True
        self.now_has(dict(lines))
        return True

    def reschedule_call(self) -> None:
        self.net.later(0.0, self.living(self.next_call))

    def log(self, event: str, **fields: object) -> None:
        self.net.events.append((self.net.now, self.name, event, fields))

    # Cells.

    def hear(self, owner: str, name: str, value: bytes, order: tuple[int, int]) -> None:
        if order <= self.orders.get((owner, name), (0, 0)):
            return
        self.orders[owner, name] = order
        if self.net.now < self.stopped_until:
            if len(self.inbox) < MOST_HELD:
                self.inbox.append((owner, name, value))
            return
        self.drain()
        self.came(owner, name, value)

    def drain(self) -> None:
        inbox, self.inbox = self.inbox, []
        for one in inbox:
            self.came(*one)

    def came(self, owner: str, name: str, value: bytes) -> None:
        self.cells[owner, name] = value
        if name != words.HEAD or self.relay is None:
            return
        if not value:
            self.relay.head_removed(self.net.now, owner)
            return
        try:
            head = self.net.decoded(value)
        except words.UnreadableList:
            return
        self.relay.head_received(self.net.now, owner, head, self.net.now)

    # The follower.

    def next_call(self) -> None:
        if self.calling:
            return
        now = self.net.now
        if now < self.silent_until:
            self.net.later(self.silent_until - now, self.living(self.next_call))
            return
        until = self.relay.deferred_until(now) if self.relay is not None else -math.inf
        if now < until:
            self.hearsay = True
            self.net.later(until - now + 1e-6, self.living(self.next_call))
            return
        self.call()

    def call(self) -> None:
        net, now, registry = self.net, self.net.now, self.service.registry
        self.service.calls.append(now)
        self.calling += 1
        if registry.down(now) or self.blind or not self.service.gate.takes(now):
            net.later(ANSWER, self.living(self.failed))
            return
        whole = self.version is None or self.hearsay
        known = 0 if self.version is None else self.version - self.service.base
        if whole or known < registry.version(now):
            net.later(ANSWER, self.living(partial(self.answered, whole, known)))
            return
        asks = self.relay is not None and self.relay.is_asker
        wait = (
            self.relay.period
            if asks and self.relay is not None
            else Follower.drawn_wait(
                min(Follower.WATCH_FRACTION * net.ask_within, Follower.MAX_WATCH), net.random.random()
            )
        )
        news = registry.next_at(known)
        ends = min(now + wait, news if news is not None else math.inf, registry.next_outage(now) or math.inf)
        net.later(ends - now + ANSWER, self.living(partial(self.answered, False, known)))

    def answered(self, whole: bool, known: int) -> None:
        now, registry = self.net.now, self.service.registry
        if registry.down(now) or self.blind:
            self.failed()
            return
        told = registry.version(now) + self.service.base
        lines = encoded(registry.whole(registry.version(now)) if whole else registry.since(known, now))
        if self.version is not None and told < self.version:
            self.version = None
            if self.hearsay:  # asked again at once, as the follower does
                self.calling = 0
                self.call()
            else:
                self.failed()
            return
        self.calling, self.fails, self.hearsay, self.own_told = 0, 0, False, now
        before, self.version = self.version, told
        self.now_has(
            {id: data for id, data in lines.items() if data}
            if whole
            else words.apply_delta(self.lines, list(lines.items()))
        )
        if self.relay is not None:
            self.relay.answered(now, told, whole, lines)
        rest = 0.0 if before != told else Follower.EMPTY_ANSWER_PAUSE
        self.net.later(rest, self.living(self.next_call))

    def failed(self) -> None:
        self.calling, self.fails = 0, self.fails + 1
        if self.relay is not None:
            self.relay.failed(self.net.now)
        most = min(0.25 * 2.0 ** min(self.fails, 9), self.net.ask_within / 4)
        pause = most * (0.5 + self.net.random.random())
        self.silent_until = self.net.now + max(pause, Follower.MIN_PAUSE)
        self.net.later(0.0, self.living(self.next_call))

    def now_has(self, lines: dict[str, bytes]) -> None:
        self.lines, self.listed_at = lines, min(self.listed_at, self.net.now)
        if self.version is not None:
            self.net.has(self, self.version - self.service.base)


@dataclass
class Net:
    """All of them, in virtual time."""

    service: Service
    names: Sequence[str]
    seed: int
    relayed: bool = True
    askers: int = 3
    ask_within: float = 10.0
    known: int = 1  # the version of which all know at their start
    bare: bool = False  # those that start have no list
    loss: float = 0.0  # part of deliveries that come with a later exchange
    join_time: tuple[float, float] = JOIN_TIME
    death_time: tuple[float, float] = DEATH_TIME
    now: float = 0.0
    events: list[tuple[float, str, str, dict[str, object]]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.count = itertools.count()
        self.nodes = {name: Node(self, name) for name in self.names}
        self.dead_at: dict[str, float] = {}  # from when a death is known
        self.group: dict[str, int] = {}
        self.cut_at = -math.inf
        self.lies: dict[str, Callable[[str, bytes], bytes]] = {}
        self.mute: set[str] = set()  # releases that know nothing of the list's cells
        self.heads: dict[bytes, Head] = {}
        self.views: dict[int, list[str]] = {}
        self.views_at = -math.inf
        self.known_at: dict[tuple[str, int, int], float] = {}  # node, run, version
        self.messages = 0
        self.delays = Delays(self.random)

    def later(self, delay: float, do: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (self.now + max(delay, 0.0), next(self.count), do))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.heap and self.heap[0][0] <= until:
            self.now, _, do = heapq.heappop(self.heap)
            do()
        self.now = until

    def start(self, *names: str) -> None:
        for name in names or self.names:
            self.nodes[name].start()
            self.dead_at.pop(name, None)
            node = self.nodes[name]
            self.later(self.random.uniform(0.1, 1.0), self.stir)
            self.later(node.view_from - self.now, node.living(partial(self.join, node)))

    def kill(self, *names: str) -> None:
        for name in names:
            self.nodes[name].stop()
            known = self.random.uniform(*self.death_time)
            self.dead_at[name] = self.now + known
            self.later(known, self.stir)

    def stall(self, name: str, seconds: float) -> None:
        """It stands still, and is taken for dead after a while."""
        self.nodes[name].stopped_until = self.now + seconds
        known = self.random.uniform(*self.death_time)
        if known < seconds:
            self.dead_at[name] = self.now + known
            self.later(known, self.stir)
            self.later(seconds + 0.4, partial(self.back, name))

    def back(self, name: str) -> None:
        self.dead_at.pop(name, None)
        self.stir()

    def blind(self, name: str) -> None:
        """Its calls fail from now on."""
        self.nodes[name].blind = True

    def cut(self, groups: dict[str, int]) -> None:
        self.group, self.cut_at = groups, self.now
        self.later(self.random.uniform(*self.death_time), self.stir)

    def stir(self) -> None:
        self.views_at = -math.inf
        for node in self.nodes.values():
            if node.up and node.relay is not None:
                node.relay.members_changed()

    def view(self, node: Node) -> list[str]:
        if self.now < node.view_from:
            return [node.name]
        if self.views_at != self.now:
            self.views, self.views_at = {}, self.now
        group = self.group.get(node.name, 0)
        if group not in self.views:
            split = self.now > self.cut_at + self.death_time[0]
            self.views[group] = [
                name
                for name in self.names
                if self.now < self.dead_at.get(name, math.inf)
                and self.nodes[name].run
                and (not split or self.group.get(name, 0) == group)
            ]
        return self.views[group]

    def spread(self, node: Node, name: str, value: bytes) -> None:
        if node.name in self.lies:
            value = self.lies[node.name](name, value)
        if node.name in self.mute:
            return
        self.messages += 1
        self.delays.wrote(self.now, len(value))
        order = node.run, self.messages
        node.cells[node.name, name], node.orders[node.name, name] = value, order
        group = self.group.get(node.name, 0)
        for other in self.nodes.values():
            if (
                other is node
                or not other.up
                or other.name in self.mute
                or self.group.get(other.name, 0) != group
            ):
                continue
            delay = self.delays.next(self.now)
            if self.random.random() < self.loss:
                delay += self.random.uniform(0.5, 3.0)
            self.later(delay, partial(self.deliver, node.name, other, other.run, name, value, order))

    def deliver(
        self, owner: str, other: Node, run: int, name: str, value: bytes, order: tuple[int, int]
    ) -> None:
        if other.up and other.run == run and self.group.get(owner, 0) == self.group.get(other.name, 0):
            other.hear(owner, name, value, order)

    def join(self, node: Node) -> None:
        """One that has started knows who is there, and is told all cells."""
        if node.relay is not None:
            node.relay.members_changed()
        for owner in self.names:
            sender = self.nodes[owner]
            if sender.up and sender is not node and sender.relay is not None and owner not in self.mute:
                for (of, name), value in sender.cells.items():
                    if of == owner:
                        self.deliver(owner, node, node.run, name, value, sender.orders[of, name])

    def decoded(self, value: bytes) -> Head:
        head = self.heads.get(value)
        if head is None:
            if len(self.heads) > 1000:
                self.heads.clear()
            head = self.heads[value] = words.decode(value, Head)
        return head

    def has(self, node: Node, version: int) -> None:
        for told in range(version, 0, -1):
            key = node.name, node.run, told
            if key in self.known_at:
                break
            self.known_at[key] = self.now

    def lateness(self, since: float = 0.0, until: float = math.inf) -> list[float]:
        """Seconds from each change until each that was up knew it, those that started later from their start;
        one that has not known it yet counts until now."""
        late = []
        for n, at in enumerate(self.service.registry.times):
            if not since <= at <= until:
                continue
            for node in self.nodes.values():
                if node.up:
                    known = self.known_at.get((node.name, node.run, n + 2), self.now)
                    late.append(known - max(at, node.started))
        return late


# Figures.


ZONES = 2


def listed(
    n: int, state: EndpointStatus = EndpointStatus.READY, started: float | None = None
) -> ListedEndpoint:
    return ListedEndpoint(f"e{n}", 0, n % ZONES, 1.0, state, started)


def changes_of(scene: str, chance: random.Random, length: float) -> list[Change]:
    if scene == "join":  # six in ten are replaced within 7 s: each drains, goes, and a cold one comes
        changes = []
        for n in chance.sample(range(60), 36):
            at = 20.0 + chance.random() * 7.0
            changes += [
                Change(at, listed(n, EndpointStatus.DRAINING)),
                Change(at + 1.5, listed(n, EndpointStatus.GONE)),
                Change(at + 1.5, listed(n + 60, started=at + 1.5)),
            ]
        return changes
    # One endpoint drains each 5 s, and is back 2.5 s later.
    return [
        Change(5.0 * k + late + 0.01 * chance.random(), listed(k % 60, state))
        for k in range(1, int(length / 5))
        for late, state in ((0.0, EndpointStatus.DRAINING), (2.5, EndpointStatus.READY))
    ]


@dataclass(frozen=True, slots=True)
class Figures:
    scene: str
    size: int
    relayed: bool
    seed: int
    calls: float  # a second, in the time of the scene
    most: int  # in its fullest second
    median: float  # seconds until a change is known
    late: float  # the 99th part
    worst: float
    messages: float  # cells written a second by all together
    bare: float  # seconds after their start until nine in ten that had no list had one; NaN: none of them

    def row(self) -> str:
        how = "relayed" if self.relayed else "alone"
        return (
            f"| {self.scene} | {self.size:,} | {how} | {self.seed} | {self.calls:.1f} | {self.most:,} | "
            f"{self.median:.2f} / {self.late:.2f} / {self.worst:.2f} | {self.messages:.1f} | "
            f"{'' if math.isnan(self.bare) else f'{self.bare:.1f}'} |"
        )


HEADING = (
    "| scene | sidecars | | seed | calls/s | in the fullest second | a change is known after (s) | "
    "cells written/s | nine in ten newcomers have a list after (s) |\n"
    "| --- | ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: |"
)


def play(scene: str, size: int, relayed: bool, seed: int, length: float = 0.0) -> Figures:
    """`calm`: changes alone. `herd`: seven in ten are killed within half a second, the service is down for
    8 s and takes 8 calls a second. `restart`: the same, and it is not down. `bare`: nor have they any list.
    `join`: 36 of 60 endpoints are replaced within 7 s; 40 calls a second."""
    chance = random.Random(f"{scene}|{size}|{seed}")
    herd = scene not in ("calm", "join")
    length = length or (75.0 if herd else 60.0)
    outages = [(20.0, 28.0)] if scene == "herd" else []
    registry = Registry([listed(n) for n in range(60)], changes_of(scene, chance, length), outages)
    service = Service(registry, {"calm": 0.0, "join": 40.0}.get(scene, 8.0))
    net = Net(service, [f"s{n}" for n in range(size)], seed, relayed)
    rate, service.gate = service.gate, Gate(0.0)  # all were there for long before
    net.start()
    net.run(15.0)
    service.gate = rate
    net.run(5.0)
    began, cells = net.now, net.messages
    net.bare = scene == "bare"
    if herd:
        for name in chance.sample(net.names, int(0.7 * size)):
            at = chance.random() * 0.5
            net.later(at, partial(net.kill, name))
            net.later(at + 1.5, partial(net.start, name))
    net.run(length - began)
    calls = [at for at in service.calls if at >= began]
    seconds = [0] * int(length - began + 1)
    for at in calls:
        seconds[int(at - began)] += 1
    # Known by the end, or counted as known then: the last changes are given time.
    late = sorted(net.lateness(0.0 if herd else began, length - 10.0))
    bare = sorted(min(node.listed_at, net.now) - node.started for node in net.nodes.values() if node.run > 1)
    return Figures(
        scene,
        size,
        relayed,
        seed,
        len(calls) / (length - began),
        max(seconds),
        late[len(late) // 2],
        late[int(len(late) * 0.99)],
        late[-1],
        (net.messages - cells) / (length - began),
        bare[int(len(bare) * 0.9)] if net.bare else math.nan,
    )


def all_plays(
    sizes: Sequence[int], scenes: Sequence[str], seeds: Sequence[int], ways: Sequence[str]
) -> Iterator[Figures]:
    for scene in scenes:
        for size in sizes:
            for way in ways:
                for seed in seeds:
                    yield play(scene, size, way == "relayed", seed)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="40,1000,2000")
    parser.add_argument("--scenes", default="calm,herd,restart,bare,join")
    parser.add_argument("--seeds", default="1,2")
    parser.add_argument("--ways", default="alone,relayed")
    asked = parser.parse_args()
    print(HEADING, flush=True)
    for figures in all_plays(
        [int(n) for n in asked.sizes.split(",")],
        asked.scenes.split(","),
        [int(n) for n in asked.seeds.split(",")],
        asked.ways.split(","),
    ):
        print(figures.row(), flush=True)


if __name__ == "__main__":
    main()
