"""The figures of docs/results/canary.md, in virtual time: `python -m rainspindle.lab.canary_figures`."""

from __future__ import annotations

import statistics
import sys
from collections.abc import Callable
from dataclasses import dataclass, replace

from ..balancer.host import Idempotency
from ..decisions.canary import burn, counts
from ..decisions.canary.burn import Level
from ..decisions.canary.terms import Step, Terms
from .canary_net import Net, Traffic, Wide

Bad = Callable[[bool, Idempotency, float], float]
BASE = 0.004  # of exchanges fail or are late on a quiet day, on either side
RATE = 2.0  # exchanges a second at each sidecar
STEPS = (Step(0.05, 60.0, 100), Step(0.25, 60.0, 100), Step(0.5, 60.0, 100))
TERMS = Terms("c", "kind new", STEPS, budget=0.01, long=300.0, short=30.0, each_effect=5)
ONE_BY_ONE = 50  # sidecars that each judge alone: of more, each does the same
HORIZON = 900.0  # seconds after which staff would have noticed without any of this
SEEDS = (1, 2, 3)


def all_fail(new: bool, effect: Idempotency, part: float) -> float:
    return 1.0 if new else BASE


def a_tenth(new: bool, effect: Idempotency, part: float) -> float:
    return 0.1 if new else BASE


def from_a_quarter(new: bool, effect: Idempotency, part: float) -> float:
    return 0.3 if new and part >= 0.25 else BASE


def binding_alone(new: bool, effect: Idempotency, part: float) -> float:
    return 0.5 if new and effect is Idempotency.NON_IDEMPOTENT else BASE


RELEASES: tuple[tuple[str, Bad], ...] = (
    ("all fail", all_fail),
    ("a tenth is late", a_tenth),
    ("0.3 fail from 25% of the keys on", from_a_quarter),
    ("half of the binding ones fail", binding_alone),
)


class All:
    """Everything that was counted anywhere, at once: what nobody can know, to measure from."""

    def __init__(self, net: Net) -> None:
        self.net, self.long = net, counts.SlidingWindow(net.now, net.terms.long, counts.LONG_BUCKETS)
        self.short, self.over_at = counts.SlidingWindow(net.now, net.terms.short, counts.SHORT_BUCKETS), -1.0
        for node in net.nodes.values():
            self.listen(node.canary)

    def listen(self, canary: object) -> None:
        ended = canary.ended  # type: ignore[attr-defined]

        def both(now: float, new: bool, effect: Idempotency, bad: bool) -> None:
            ended(now, new, effect, bad)
            if canary.active:  # type: ignore[attr-defined]
                kind = counts.IDEMPOTENCIES.index(effect)
                for ring in (self.long, self.short):
                    ring.add(
                        now,
                        *([counts.counter_index(new, kind)] + [counts.counter_index(new, kind, True)] * bad),
                    )

        canary.ended = both  # type: ignore[attr-defined]

    def look(self) -> None:
        if self.over_at < 0:
            for ring in (self.long, self.short):
                ring.roll(self.net.now)
            sums = [counts.add_counters(list(ring.buckets)) for ring in (self.long, self.short)]
            if max(b.level for b in burn.look(self.net.terms, *sums)) >= Level.PAUSE:
                self.over_at = self.net.now


@dataclass
class Day:
    harmed: int
    ended: float  # seconds until all have paused or aborted; the horizon where not
    told: float  # of that, seconds from when the limit was passed
    stages: int


def net_of(seed: int, size: int, terms: Terms, alone: bool, loss: float = 0.0) -> Net:
    net: Net = Wide(seed, size, terms) if size > 100 and not alone else Net(seed, size, terms, alone=alone)
    net.STEP = 0.25
    net.loss = loss
    return net


def play(seed: int, size: int, bad: Bad, alone: bool, horizon: float = HORIZON, loss: float = 0.0) -> Day:
    terms = TERMS
    if alone:  # each has a part of what all see together, and takes a part of the evidence for enough
        terms = replace(
            TERMS,
            steps=tuple(replace(s, exchanges=max(1, s.exchanges // size)) for s in TERMS.steps),
            each_effect=0,
        )
    net = net_of(seed, size, terms, alone, loss)
    net.run(2.0)
    nodes = list(net.nodes.values())
    for node in nodes if alone else nodes[:1]:
        node.canary.start(net.now, net.now)
    traffic, everything, begun = Traffic(net, RATE, bad), All(net), net.now

    def stopped() -> bool:
        return all(node.canary.state.aborted or node.canary.state.paused for node in nodes)

    while net.now - begun < horizon and not (alone and stopped()):
        net.step()
        traffic.step()
        if not alone:
            everything.look()
        if not alone and stopped() and everything.over_at >= 0:
            break
        if all(node.canary.state.stage >= len(terms.steps) for node in nodes):
            break
    harmed = traffic.harmed
    told = net.now - everything.over_at if everything.over_at >= 0 else float("nan")
    stage = max(node.canary.state.stage for node in nodes)
    return Day(harmed, net.now - begun, told, stage)


def figure(values: list[float]) -> str:
    middle = statistics.median(values)
    return f"{middle:,.0f}" if middle >= 10 else f"{middle:.1f}"


def harm(sizes: tuple[int, ...]) -> None:
    print(
        "| release | sidecars | shared: harmed | until stopped | alone: harmed | until stopped "
        "| no canary: harmed |\n| --- | --- | --- | --- | --- | --- | --- |"
    )
    for name, bad in RELEASES:
        for size in sizes:
            shared = [play(seed, size, bad, alone=False) for seed in SEEDS]
            few = min(size, ONE_BY_ONE)
            alone = [play(seed, few, bad, alone=True) for seed in SEEDS]
            for day in alone:
                day.harmed = day.harmed * size // few
            mix = {
                Idempotency.IDEMPOTENT: 0.6,
                Idempotency.DEDUPLICATED: 0.3,
                Idempotency.NON_IDEMPOTENT: 0.1,
            }
            none = HORIZON * RATE * size * sum(w * bad(True, e, 1.0) for e, w in mix.items())
            cells = [name, f"{size:,}"]
            for days in (shared, alone):
                cells.append(figure([d.harmed for d in days]))
                late = sum(d.ended >= HORIZON for d in days)
                cells.append(figure([d.ended for d in days]) + " s" if not late else f"not in {late} of 3")
            print("| " + " | ".join([*cells, f"{none:,.0f}"]) + " |", flush=True)


def told(sizes: tuple[int, ...]) -> None:
    print("| sidecars | loss | from the limit to a stop everywhere, median | worst |")
    print("| --- | --- | --- | --- |")
    for size in sizes:
        for loss in (0.0, 0.3) if size <= 100 else (0.0,):
            days = [
                play(seed, size, bad, False, loss=loss)
                for seed in range(4, 9 if size < 100 else 7)
                for bad in (all_fail, a_tenth)
            ]
            times = [d.told for d in days]
            print(
                f"| {size:,} | {loss:.0%} | {statistics.median(times):.1f} s | {max(times):.1f} s |",
                flush=True,
            )


def good(sizes: tuple[int, ...]) -> None:
    print("| sidecars | a good release is through, shared | alone |\n| --- | --- | --- |")
    for size in sizes:
        ends = []
        for alone in (False, True):
            days = [play(seed, size, lambda new, effect, part: BASE, alone, horizon=7200.0) for seed in SEEDS]
            ends.append(
                figure([d.ended for d in days]) + " s"
                if all(d.stages >= 3 and d.ended < 7200 for d in days)
                else "not within 7,200 s"
            )
        print(f"| {size:,} | {ends[0]} | {ends[1]} |", flush=True)


def false_stops(hours: int) -> None:
    """A canary that stays at a quarter of the keys, five sidecars, 40 exchanges a second at each."""
    print("| day | hours | paused | aborted |\n| --- | --- | --- | --- |")
    terms = replace(TERMS, steps=(Step(0.25, 1e7, 1),))

    def quiet(share: float) -> Callable[[float], float]:
        return lambda now: share

    def same(net: Net, share: Callable[[float], float]) -> Bad:
        return lambda new, effect, part: share(net.now)

    def trouble(now: float) -> float:  # of 90 s in each ten minutes, of changing strength
        return 0.05 + 0.4 * ((now // 600) % 5) / 4 if now % 600 < 90 else BASE

    for name, share in (
        ("quiet, 0.4% fail", quiet(BASE)),
        ("quiet, 2% fail", quiet(0.02)),
        ("general trouble, 5% to 45% fail, 90 s of each 600 s", trouble),
    ):
        paused = aborted = 0
        for seed in range(hours):
            net = net_of(100 + seed, 5, terms, False)
            net.run(2.0)
            net.nodes["s0"].canary.start(net.now, net.now)
            traffic = Traffic(net, 40.0, same(net, share))
            net.run(3600.0, traffic.step)
            states = [node.canary.state for node in net.nodes.values()]
            aborted += any(s.aborted for s in states)
            paused += any(s.paused for s in states) and not any(s.aborted for s in states)
        print(f"| {name} | {hours} | {paused} | {aborted} |", flush=True)


def main(what: list[str]) -> None:
    parts: dict[str, Callable[[], None]] = {
        "harm": lambda: harm((5, 50, 1000)),
        "told": lambda: told((5, 50, 1000)),
        "good": lambda: good((5, 50)),
        "false": lambda: false_stops(20),
    }
    for name in what or list(parts):
        parts[name]()
        print(flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
