"""Figures of the members in virtual time, and of two baselines: docs/results/members.md.

Each figure is a run of the classes that serve. Fleets begin as if all had been there for long, except where
it is the start that is measured."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass, field
from functools import partial
from itertools import chain
from multiprocessing import Pool
from pathlib import Path
from statistics import median, quantiles

import msgspec

from ...decisions.members.member import Member
from ...decisions.members.member_table import MemberRecord
from ...decisions.members.tuning import MembershipTuning
from ...protocol.members import Status
from .heartbeats import Heartbeats
from .virtual import Process, World

PAGE = Path("docs/results/members.md")
WAYS = ("members", "plain SWIM", "all-to-all heartbeats")
SIZES = (10, 100, 1000, 2000)
SPANS = {10: 1800.0, 100: 300.0, 1000: 40.0, 2000: 20.0}  # virtual seconds that are watched
CRASHES = {10: 60, 100: 25, 1000: 5, 2000: 3}
KNOWN = 15.0  # seconds given for one crash


@dataclass
class Job:
    way: str
    size: int
    loss: float = 0.0
    pauses: bool = False
    seed: int = 1

    @property
    def name(self) -> str:
        return f"{self.way}, {self.size}, {'pauses' if self.pauses else f'{self.loss:.0%}'}"


@dataclass
class Result:
    job: Job
    span: float = 0.0
    wrong: int = 0  # members taken for dead that were there
    datagrams: float = 0.0  # sent a second by each, in the mean and at most
    most: float = 0.0
    sent_bytes: float = 0.0
    cpu: float = 0.0  # of a core, a member, the virtual network's part within
    each: list[float] = field(default_factory=list)  # seconds until one survivor knows a crash
    everywhere: list[float] = field(default_factory=list)  # until all do
    missed: int = 0
    took: float = 0.0


def make(job: Job) -> World:
    tuning = MembershipTuning(lifeguard=job.way != "plain SWIM")
    names = [f"m{n}" for n in range(job.size)]
    beats = job.way == "all-to-all heartbeats"
    world = World(job.seed, tuning, (lambda process: Heartbeats(process, names)) if beats else None)
    world.fleet(job.size)
    if not beats:
        warm(world)
    world.loss = job.loss
    world.run(world.now + 5)
    return world


def warm(world: World) -> None:
    """All know all, as after a long time."""
    for process in world.running():
        members = process.members
        for other in world.running():
            if other is not process:
                own = other.members.own.record
                members.table.add(
                    MemberRecord(own.name, own.packed_address, own.incarnation, 0, Status.ALIVE, 0.0, 0.0)
                )
        members.own.settled_at = -100.0


def run(job: Job) -> Result:
    began = time.monotonic()
    result, world = Result(job), make(job)
    beats, size = job.way == "all-to-all heartbeats", job.size
    span = result.span = SPANS[size] if not beats else min(SPANS[size], 5e6 / size**2)
    if size >= 1000 and (job.loss > 0.2 or job.pauses):
        span = result.span = span / 2
    taken: dict[str, float] = {}

    def wrong(process: object, before: Member | None, after: Member) -> None:
        victim = world.processes[after.name]
        if (
            after.status.value == "dead"
            and victim.running
            and victim.paused_until < world.now - 1.0
            and world.now - taken.get(after.name, -99.0) > 10.0
        ):
            taken[after.name] = world.now
            result.wrong += 1

    world.on_change.append(wrong)
    before = {p.name: (p.sent, p.sent_bytes) for p in world.running()}
    cpu, since, end = time.process_time(), world.now, world.now + span
    while world.now < end:
        if job.pauses:  # one in a hundred each second, for 1 to 8 s
            count = max(size // 100, int(world.chance.random() < size / 100))
            for name in world.chance.sample(list(world.processes), count):
                world.pause(name, world.chance.uniform(1, 8))
        world.run(min(world.now + 1, end))
    if span:
        rates = [(p.sent - before[p.name][0]) / span for p in world.running()]
        result.cpu = (time.process_time() - cpu) / span / size
        result.datagrams, result.most = sum(rates) / size, max(rates)
        result.sent_bytes = sum(p.sent_bytes - before[p.name][1] for p in world.running()) / size / span
    result.span = world.now - since
    world.on_change.remove(wrong)
    if job.pauses:
        world.run(world.now + 12)
    crashes = 1 if beats and size > 100 else CRASHES[size]
    if size >= 1000 and (job.loss > 0.2 or job.pauses):
        crashes = (crashes + 1) // 2
    for n in range(crashes):
        crash(world, f"m{(size // 2 + n * 7) % size}", result)
        if size <= 10:
            world = make(Job(job.way, size, job.loss, job.pauses, job.seed + n + 1))
    result.took = time.monotonic() - began
    print(job.name, f"{result.took:.0f} s", file=sys.stderr)
    return result


def crash(world: World, name: str, result: Result) -> None:
    at, known = world.now, dict[str, float]()

    def changed(process: Process, before: Member | None, after: Member) -> None:
        if after.name == name and after.status.value == "dead":
            known.setdefault(process.name, world.now - at)

    world.on_change.append(changed)
    world.kill(name)
    there = len(world.running())
    world.run_until(lambda: len(known) >= there, KNOWN, 0.1)
    world.on_change.remove(changed)
    result.each += known.values()
    result.missed += there - len(known)
    if len(known) == there:
        result.everywhere.append(max(known.values()))


# Single cases.


def start_together(size: int) -> str:
    world = World(3)
    world.fleet(size, over=0.2)
    took = until(world, lambda: all(len(p.members.table.living()) == size - 1 for p in world.running()), 60)
    most = max(p.sent for p in world.running()) / world.now
    return f"all know all after {took}; a seed sent {most:.0f} datagrams a second meanwhile"


def seven_in_ten(size: int) -> str:
    world = make(Job("members", size))
    for n in range(size * 7 // 10):
        world.kill(f"m{n + 2}")
    left = size - size * 7 // 10
    took = until(world, lambda: all(len(p.members.table.living()) == left - 1 for p in world.running()), 90)
    return f"known to all {left} left after {took}"


def third_cut(size: int) -> str:
    world = make(Job("members", size))
    world.split([f"m{n}" for n in range(size // 3)])
    parts = {size // 3 - 1, size - size // 3 - 1}
    apart = until(world, lambda: all(len(p.members.table.living()) in parts for p in world.running()), 60)
    world.run(world.now + 10)
    world.heal()
    took = until(world, lambda: all(len(p.members.table.living()) == size - 1 for p in world.running()), 60)
    return f"both parts know it after {apart}; healed, one fleet again after {took}"


def back_after(seconds: float) -> str:
    worst = 0.0
    for seed in range(5):
        world = make(Job("members", 100, seed=seed))
        for n in range(3):
            world.pause(f"m{n + 5}", seconds)
        world.run(world.now + seconds)
        began = world.now
        if not world.run_until(world.agreed, 30, 0.05):
            return "not back within 30 s"
        worst = max(worst, world.now - began)
    return f"back in all views after {worst:.2f} s at the worst of five times three"


def change_everywhere(size: int, loss: float) -> str:
    world = make(Job("members", size, loss))
    at: list[float] = []
    since = [0.0]
    for process in world.running():
        process.cells.on_change("x/", lambda now, cell: at.append(now - since[0]))
    slow: list[float] = []
    for n in range(10):
        had, since[0] = len(at), world.now
        world.processes[f"m{n}"].cells.write(world.now, "x/a", bytes(100))
        world.run_until(partial(lambda had: len(at) - had >= size - 1, had), 20, 0.05)
        slow.append(max(at[had:]))
    return f"{median(at):.2f} s in the median, {median(slow):.2f} s until the last has it"


def until(world: World, true: Callable[[], bool], limit: float) -> str:
    began = world.now
    return f"{world.now - began:.1f} s" if world.run_until(true, limit, 0.1) else f"more than {limit:.0f} s"


CASES: dict[str, Callable[[], str]] = {
    "1,000 start within 0.2 s": lambda: start_together(1000),
    "seven in ten of 12 killed at once": lambda: seven_in_ten(12),
    "seven in ten of 100 killed at once": lambda: seven_in_ten(100),
    "seven in ten of 300 killed at once": lambda: seven_in_ten(300),
    "a third of 12 cut off for 10 s more": lambda: third_cut(12),
    "a third of 300 cut off for 10 s more": lambda: third_cut(300),
    "three of 100 stalled 3 s": lambda: back_after(3),
    "three of 100 stalled 20 s": lambda: back_after(20),
    "a changed cell at 12": lambda: change_everywhere(12, 0.0),
    "a changed cell at 12, 10% loss": lambda: change_everywhere(12, 0.1),
    "a changed cell at 1,000": lambda: change_everywhere(1000, 0.0),
    "a changed cell at 1,000, 10% loss": lambda: change_everywhere(1000, 0.1),
}


def case(name: str) -> tuple[str, str]:
    began = time.monotonic()
    told = CASES[name]()
    print(name, f"{time.monotonic() - began:.0f} s", file=sys.stderr)
    return name, told


# The page.


def jobs() -> Iterator[Job]:
    """What is dear in CPU is left out of the baselines: four million heartbeats a second, and the like."""
    for size in SIZES:
        for way in WAYS:
            beats = way == WAYS[2]
            for loss in (0.0, 0.1, 0.3):
                most = 2000 if way == WAYS[0] else 100 if loss > 0.2 else 1000 if loss or beats else 2000
                if size <= most:
                    yield Job(way, size, loss)
            if size <= 100 or way == WAYS[0]:
                yield Job(way, size, pauses=True)


def percentile(values: list[float], part: int) -> float:
    return quantiles(values, n=100, method="inclusive")[part - 1] if len(values) > 1 else values[0]


def row(result: Result) -> str:
    job = result.job
    faults = "stalls" if job.pauses else f"{job.loss:.0%} lost"
    hours = result.span / 3600
    known = (
        f"{median(result.each):.1f} / {percentile(result.each, 99):.1f}",
        (f"{median(result.everywhere):.1f} / {max(result.everywhere):.1f}" if result.everywhere else "-"),
    )
    return (
        f"| {job.size:,} | {faults} | {known[0]} | {known[1]} | {result.wrong / hours:,.0f} "
        f"({result.wrong} in {result.span:,.0f} s) | {result.datagrams:.1f} / {result.most:.1f} | "
        f"{result.sent_bytes:,.0f} | {result.cpu:.2%} |"
    )


def page(results: list[Result], cases: dict[str, str]) -> str:
    lines = [
        "# Members: figures",
        "",
        "In virtual time, by `python -m rainspindle.lab.fleet.figures members FILE`: the classes that run,",
        "on a network of 0.2 to 2 ms of delay. Crashes: seconds until a survivor takes the member for dead,",
        "over all crashes and survivors (median / 99th), and until all do (median / worst). Wrong burials:",
        "members that were there and that at least one other took for dead, an hour over the whole fleet; a",
        "member counts again after 10 s. Stalls: each second one in a hundred members stands still for 1 to",
        "8 s. Datagrams and bytes are what a member sends a second (mean / the one that sends most). CPU is",
        "a part of one core for one member, with the virtual network's part in it.",
        "",
    ]
    for way in WAYS:
        lines += [
            f"## {way[0].upper()}{way[1:]}",
            "",
            "| members | faults | a crash is known to one (s) | to all (s) | wrong burials an hour | "
            "datagrams/s | bytes/s | CPU |",
            "| ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: |",
        ]
        lines += [
            row(r)
            for r in sorted(
                (r for r in results if r.job.way == way), key=lambda r: (r.job.size, r.job.pauses, r.job.loss)
            )
        ]
        lines.append("")
    lines += ["## Single cases", "", "| case | |", "| --- | --- |"]
    lines += [f"| {name} | {told} |" for name, told in cases.items()]
    return "\n".join(lines) + "\n"


def main(kept: Path, workers: int = 2) -> None:
    """Plays what is not in the file `kept` yet, adds it there, and writes the page of all that is."""
    had = [json.loads(line) for line in kept.read_text().splitlines()] if kept.exists() else []
    cases: dict[str, str] = {one["case"]: one["told"] for one in had if "case" in one}
    results = [msgspec.convert(one, Result) for one in had if "job" in one]
    done = [result.job for result in results]
    with Pool(workers, maxtasksperchild=1) as pool, kept.open("a") as file:
        played = pool.imap_unordered(run, [job for job in jobs() if job not in done], chunksize=1)
        told_of = pool.imap_unordered(case, [name for name in CASES if name not in cases], chunksize=1)
        one: Result | tuple[str, str]
        for one in chain[Result | tuple[str, str]](played, told_of):
            if isinstance(one, Result):
                results.append(one)
                line = asdict(one)
            else:
                cases[one[0]] = one[1]
                line = {"case": one[0], "told": one[1]}
            file.write(json.dumps(line) + "\n")
            file.flush()
            write(results, cases)


def write(results: list[Result], cases: dict[str, str]) -> None:
    notes = PAGE.read_text().partition("\n## What they say")[2] if PAGE.exists() else ""
    text = page(results, {name: cases[name] for name in CASES if name in cases})
    PAGE.write_text(text + ("\n## What they say" + notes if notes else ""))
