"""Members' word in virtual time: the evidence that runs in `serve --fleet`, on a model of how cells travel.

A cell that has changed is at the others after 0.02 to 1 s, 0.15 s in the median, as measured on the members
themselves at 1,000 (docs/results/members.md); what is lost comes with the sums, 2 to 5 s late.
"""

from __future__ import annotations

import random
import zlib
from dataclasses import dataclass

from ..balancer.balancer import Balancer
from ..decisions.evidence.evidence import Evidence
from ..decisions.evidence.watch import BalancerWatch, BalancerWatches
from ..protocol.evidence import Out, Told, decode_told, encode_told, mark_of
from .ledger import Met
from .virtual_views import RunView, SidecarView

LOOK, LOOK_OUT = 0.25, 0.1  # as the program looks
DELAYS = (0.02, 0.05, 0.09, 0.13, 0.17, 0.25, 0.45, 1.0)  # of the eighths of the members


@dataclass(frozen=True, slots=True)
class News:
    at: float
    owner: int
    told: Told


class Words:
    """All cells that were written, in order of time."""

    def __init__(self, run: RunView) -> None:
        self.run, self.news = run, list[News]()
        self.chance = random.Random(run.world.seed)
        count = run.world.x.sidecars.count
        order = sorted(range(count), key=lambda n: zlib.crc32(f"s{n}".encode()))
        self.rank = {n: place for place, n in enumerate(order)}
        self.liar = run.world.variant.liar

    def join(self, node: SidecarView) -> Informed | None:
        balancer = node.facade.balancer
        return Informed(self, node, balancer) if isinstance(balancer, Balancer) else None

    def write(self, now: float, owner: int, told: Told) -> None:
        # What the wire does not hold is not told.
        self.news.append(News(now, owner, decode_told(encode_told(told))))
        self.run.ledger.met.append(Met("cell", owner, -1, now))

    def delay(self) -> float:
        if self.chance.random() < self.run.world.variant.word_loss:
            return self.chance.uniform(2.0, 5.0)
        return self.chance.choice(DELAYS)


class Informed(BalancerWatches):
    """One sidecar's part in it, for one of its lives."""

    def __init__(self, words: Words, node: SidecarView, balancer: Balancer) -> None:
        super().__init__()
        self.words, self.node = words, node
        world, now = node.run.world, node.clock.now
        self.read, self.coming = 0, list[tuple[float, News]]()
        self.latest: dict[int, float] = {}
        # A new life has the latest cell of each with the first exchange of whole states.
        if words.news:
            latest = {news.owner: news for news in words.news if news.owner != node.number}
            self.coming = [(now + 0.3, news) for news in latest.values()]
        self.read = len(words.news)
        self.evidence = Evidence(
            now, node.zone, self, random.Random(world.seed * 100_003 + node.number * 101 + node.lives)
        )
        self.watches.append(BalancerWatch(balancer, self.evidence, 0.0))
        self.next(now + words.chance.uniform(0.0, LOOK))

    def next(self, at: float) -> None:
        self.node.clock.at(at, self.node.living(self.tick))

    def tick(self) -> None:
        now, words = self.node.clock.now, self.words
        for news in words.news[self.read :]:
            if news.owner != self.node.number:
                self.coming.append((news.at + words.delay(), news))
        self.read = len(words.news)
        if self.coming:
            for _, news in (pair for pair in self.coming if pair[0] <= now):
                if news.at > self.latest.get(news.owner, -2.0):  # as cells are merged by their sequence
                    self.latest[news.owner] = news.at
                    self.evidence.report_received(now, f"s{news.owner}", news.told)
            self.coming = [pair for pair in self.coming if pair[0] > now]
        out = self.check(now)
        if words.liar and self.node.number == 0:
            self.lie(now)
            self.next(now + 1.0)
        else:
            self.next(max(now + 0.02, min(self.evidence.tick(now), now + (LOOK_OUT if out else LOOK))))

    def lie(self, now: float) -> None:
        """The worst that one cell can hold, once a second."""
        marks = sorted(self.watches[0].endpoints())
        turn = int(now) * 16 % len(marks)
        some = (marks[turn:] + marks)[:16]
        known = [(mark, self.start_of(mark) or 0) for mark in some]
        told = Told(1, now, self.node.zone, 0)
        if self.words.liar == "out":
            told = Told(1, now, self.node.zone, 0, [Out(m, start, 0.0, True) for m, start in known])
        elif self.words.liar == "back":
            told = Told(1, now, self.node.zone, 0, [Out(m, start, 0.0, True, 0.0) for m, start in known])
        else:
            told = Told(
                1,
                now,
                self.node.zone,
                0,
                [],
                1_000_000,
                [(mark_of(f"k{n}"), 80_000) for n in range(1000, 1012)],
            )
        self.words.write(now, self.node.number, told)

    # The evidence's side.

    def wall(self, now: float) -> float:
        return now

    def size(self) -> int:
        return len(self.node.run.sidecars)

    def rank(self) -> int:
        return self.words.rank[self.node.number]

    def publish(self, now: float, told: Told) -> None:
        self.words.write(now, self.node.number, told)
