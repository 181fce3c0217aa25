"""Weeks drawn from a seed, played, judged, and shrunk to the least that still fails."""

from __future__ import annotations

import random
import resource
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any, Literal

import msgspec

from ..schedule import Cut, Fault, Folder, Kill, Rolling, Schedule, Split, Stall, Weather, shrink
from .canaries import BEFORE, Canaries, Run
from .ledger import Ledger
from .planted import PLANTS
from .purses import MOST, SLOW, Purses
from .traffic import DAY, RUSH, Load, Traffic
from .world import World

SETTLE = 900.0  # seconds after the last day in which nothing happens any more
RUNS = 2  # of each canary
LOOKS = 600.0  # seconds between looks at what is held, where everything is small
HOWS: tuple[Literal["lost", "copied", "booted", "set-back"], ...] = ("lost", "copied", "booted", "set-back")


class Plan(msgspec.Struct, frozen=True):
    """All that is needed to play it again."""

    members: int
    wallets: int
    canaries: int
    days: int
    seed: int
    bursts: float = 0.4  # of one wallet, a day
    schedule: Schedule = ()
    runs: tuple[Run, ...] = ()
    slow: float = SLOW  # of the batches take the disk long
    rate: float = Load().rate  # exchanges a second of a wallet's clients at a member, while they come
    most: int = MOST  # cells of wallets that a member keeps

    @property
    def names(self) -> list[str]:
        return [f"m{n:04}" for n in range(self.members)]


def plan(members: int, wallets: int, canaries: int, days: int, seed: int, bursts: float = 0.4) -> Plan:
    chance = random.Random(f"{seed} runs")
    count = RUNS * canaries
    runs = tuple(
        Run(
            int((n + 0.5) * days / count) * DAY + RUSH[0] + chance.uniform(60.0, 600.0),
            n % canaries,
            chance.choice((0.004, 0.004, 0.2, 1.0)),
            chance.uniform(40.0, 160.0),
        )
        for n in range(count)
    )
    made = Plan(members, wallets, canaries, days, seed, bursts, (), runs)
    return msgspec.structs.replace(made, schedule=draw(made))


def draw(plan: Plan) -> Schedule:
    """For each day: all restarted in turn each second day, cuts of both kinds, loss, stalls, crashes, and
    folders lost, put back, set back; most of it while most clients are there, some over a canary's abort."""
    chance, names = random.Random(f"{plan.seed} weeks"), plan.names
    found: list[Fault] = []

    def some(part: float) -> tuple[str, ...]:
        count = max(1, round(len(names) * part * chance.uniform(0.3, 1.0)))
        return tuple(sorted(chance.sample(names, count)))

    def when() -> float:
        return day * DAY + RUSH[0] + chance.uniform(0.0, 0.9) * RUSH[1]

    for day in range(plan.days):
        if day % 2:
            order = chance.sample(names, len(names))
            found.append(
                Rolling(day * DAY + RUSH[0] + 30.0, tuple(order), 0.9 * RUSH[1] / len(names), day % 4 == 3)
            )
        else:
            found.append(Weather(when(), chance.uniform(60.0, 1800.0), loss=chance.uniform(0.05, 0.4)))
            part = some(0.25)
            rest = tuple(n for n in names if n not in part)
            ways = chance.choice(((part, rest), (rest, part)))
            found.append(Cut(when(), *ways, chance.uniform(20.0, 600.0)))
        for most in (0.125, 0.5):
            found.append(Split(when(), (some(most),), chance.uniform(20.0, 1200.0)))
        for _ in range(3):
            found.append(Stall(when(), some(0.01), chance.uniform(1.0, 60.0)))
            found.append(Kill(when(), some(0.01), chance.choice((1.0, 10.0, 300.0))))
        for how in HOWS:
            at = when()
            found.append(
                Folder(
                    at,
                    some(0.005),
                    how,
                    chance.uniform(1.0, 60.0),
                    min(chance.choice((60.0, 600.0, 40_000.0)), at),
                )
            )
    for run in plan.runs:
        abort = run.at + BEFORE + run.abort
        found.append(Split(abort - chance.uniform(1.0, 60.0), (some(0.125),), chance.uniform(5.0, 120.0)))
        found.append(
            Stall(
                abort - chance.uniform(0.3, 2.0),
                some(0.1),
                chance.uniform(*chance.choice(((2.0, 4.9), (5.0, 20.0)))),
            )
        )
        found.append(Kill(abort - chance.uniform(0.3, 5.0), some(0.1), chance.uniform(1.0, 20.0)))
    return tuple(sorted(found, key=lambda fault: fault.at))


@dataclass(slots=True)
class Outcome:
    ledger: Ledger
    days: list[dict[str, Any]] = field(default_factory=list)
    figures: dict[str, Any] = field(default_factory=dict)

    @property
    def broken(self) -> list[str]:
        return [str(one) for one in self.ledger.broken]


Report = Callable[[dict[str, Any]], None]


def play(
    plan: Plan, planted: str = "", report: Report = lambda figures: None, first: bool = False, steps: int = 1
) -> Outcome:
    """`first`: ends at the first thing that is broken. `report` is given figures `steps` times a day."""
    world, ledger, plant = World(plan.names, plan.seed), Ledger(), PLANTS[planted]
    purses = Purses(world, ledger, plan.wallets, plan.seed, plant.wallet, plan.slow, plan.most)
    small = plan.members <= 100
    canaries = Canaries(world, ledger, plan.runs, plan.seed, max(0.1, 24.0 / plan.members), plant.canary)
    length = plan.days * DAY
    Traffic(purses, ledger, Load(plan.bursts, rate=plan.rate), length, plan.seed)
    world.plan(plan.schedule)
    out = Outcome(ledger)
    at = [(n + 1) * DAY / steps for n in range(plan.days * steps)]
    looks = sorted({*at, *look_times(plan)}) if small else at
    due = set(at)
    for until in [*looks, length + SETTLE]:
        world.run(until)
        gone = ledger.conserved(world.now, purses.held())
        for name, board in purses.board.items():
            ledger.cells(world.now, name, len(board), len(purses.others[name]))
        if until in due or until > length:
            out.days.append(figures(plan, world, ledger, purses, canaries, gone))
            report(out.days[-1])
            purses.cells_most = purses.cells
        if first and ledger.broken:
            break
    out.figures = out.days[-1] if out.days else {}
    return out


def look_times(plan: Plan) -> Iterator[float]:
    for day in range(plan.days):
        for n in range(int(RUSH[1] / LOOKS) + 2):
            yield day * DAY + RUSH[0] + n * LOOKS


def figures(
    plan: Plan, world: World, ledger: Ledger, purses: Purses, canaries: Canaries, gone: int
) -> dict[str, Any]:
    """Ever, but where it says now. Bytes a member and second: of cells that changed, each heard once."""
    uses = [len(purse.uses) for purse in purses.purses.values()]
    paid, done = sum(ledger.paid.values()), sum(ledger.done.values())
    return {
        "day": round(world.now / DAY, 2),
        "asked": ledger.asked,
        "debits": ledger.debits,
        "executed": done,
        "paid": paid,
        "gone_now": gone,
        "held_now": paid - done - gone,
        "overspent": sum(b.what in ("overspent", "created") for b in ledger.broken),
        "past_abort": sum(b.what in ("past its abort", "before its start") for b in ledger.broken),
        "broken": len(ledger.broken),
        "first_broken": str(ledger.broken[0]) if ledger.broken else "",
        "to_new": ledger.to_new,
        "to_old": ledger.to_old,
        "late": round(ledger.late, 2),
        "late_cut": round(ledger.late_cut, 2),
        "runs": canaries.count,
        "cells_now": purses.cells,
        "cells_most": purses.cells_most,
        "cell_bytes_now": purses.bytes,
        "refused": purses.refused,
        "swept_now": len(purses.swept),
        "told": purses.told + canaries.told,
        "told_bytes": purses.told_bytes + canaries.told_bytes,
        "in_use_a_member_now": round(sum(uses) / len(uses), 2),
        "rows_a_member_now": round(
            sum(len(rows) for p in purses.purses.values() for rows in p.disk.rows.values()) / plan.members, 2
        ),
        "row_bytes_a_member_now": round(
            sum(
                len(value)
                for p in purses.purses.values()
                for rows in p.disk.rows.values()
                for value in rows.values()
            )
            / plan.members
        ),
        "rss_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
        "befell": dict(world.befell),
        "events": {**purses.events, **canaries.events},
    }


# Shrinking.


def fails(plan: Plan, planted: str, what: str) -> bool:
    return any(b.what == what for b in play(plan, planted, first=True).ledger.broken)


def shrunk(plan: Plan, planted: str = "", log: Callable[[str], None] = lambda line: None) -> tuple[Plan, str]:
    """The least that still breaks the same thing: runs, days, wallets, the faults and their names."""
    broken = play(plan, planted, first=True).ledger.broken
    if not broken:
        return plan, ""
    what = broken[0].what
    replaced = msgspec.structs.replace

    def ok(tried: Plan) -> bool:
        return fails(tried, planted, what)

    last = int(broken[0].at / DAY) + 1
    plan = smaller(
        plan,
        ok,
        [
            replaced(
                plan,
                days=min(last, plan.days),
                schedule=tuple(f for f in plan.schedule if f.at < broken[0].at),
                runs=tuple(r for r in plan.runs if r.at < broken[0].at),
            )
        ],
    )
    plan = smaller(plan, ok, [replaced(plan, runs=())])
    for n in reversed(range(len(plan.runs))):
        plan = smaller(plan, ok, [replaced(plan, runs=plan.runs[:n] + plan.runs[n + 1 :])])
    plan = smaller(plan, ok, [replaced(plan, schedule=())])
    if plan.schedule:
        plan = replaced(plan, schedule=shrink(plan.schedule, lambda s: ok(replaced(plan, schedule=s))))
    log(f"{what}: {len(plan.schedule)} faults")
    while plan.wallets > 1 and ok(tried := replaced(plan, wallets=plan.wallets // 2)):
        plan = tried
    return plan, what


def smaller(plan: Plan, ok: Callable[[Plan], bool], tries: Sequence[Plan]) -> Plan:
    return next((tried for tried in tries if ok(tried)), plan)


def to_values(plan: Plan) -> dict[str, Any]:
    values: dict[str, Any] = msgspec.to_builtins(plan)
    return values


def from_values(values: Any) -> Plan:
    """Raises msgspec.ValidationError, which names the place."""
    return msgspec.convert(values, Plan)
