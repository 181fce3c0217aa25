"""Many that start at once with no folder, beside one that can tell: docs/results/keep.md.

In virtual time (`Members`, `Cells` and `KeepRun` as they run, beside modules that nobody asks anything), or
on real processes: until when each door opens, whether each has the word, and what it costs the teller.

    python -m rainspindle.lab.fleet.starters --members 1000
    python -m rainspindle.lab.fleet.starters --processes 20
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from statistics import median
from types import SimpleNamespace
from typing import Any

from ...balancer.balancer import Balancer
from ...balancer.config import BalancerConfig
from ...balancer.host import (
    DeduplicationScope,
    EndpointListUpdate,
    EndpointStatus,
    Idempotency,
    ListedEndpoint,
    TrafficClass,
)
from ...balancer.slow_start import SlowStartBudget
from ...decisions.members.member import Member
from ...program.fleet.keep import KNOWS_AFTER, LASTS, KeepPart, KeepRun
from . import restarts
from .processes import Fleet
from .virtual import Process, World

LINES = [ListedEndpoint(f"e{n}", n, 0, 1.0, EndpointStatus.READY, None) for n in range(12)]
DEAD = "e0"


class Nobody:
    """The host of a module that is asked nothing."""

    def __getattr__(self, name: str) -> Any:
        return lambda *of: None


class Keeping:
    """One member's keep, with its door."""

    def __init__(self, process: Process, wait: float, size: int) -> None:
        world, host, now = process.world, Nobody(), process.world.now
        config = BalancerConfig(
            (TrafficClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0.6, 2.0, 0.15, 1.0),),
            SlowStartBudget(2.5, 3.0, 0.15, 24.0),
            sidecar_count=size,
            max_attempts=4,
            can_cancel=True,
            max_retry_after=1.0,
            use_listed_weights=True,
        )
        self.balancer = Balancer(host, config, 1, now)
        self.balancer.on_list_changed(now, EndpointListUpdate(LINES, complete=True))
        ground: Any = SimpleNamespace(
            loop=SimpleNamespace(now=lambda: world.now),
            members=process.members,
            cells=process.cells,
            folder=None,
        )
        self.run = KeepRun(ground, KeepPart(wait=wait), None, bool(process.seeds))
        core: Any = SimpleNamespace(
            taken=0, list_changed=lambda *of: None, facade=SimpleNamespace(balancer=self.balancer)
        )
        follower: Any = SimpleNamespace(decoder=SimpleNamespace(clock_offset=0.0))
        self.run.attach(core, follower)
        self.began, self.opened, self.words = now, 0.0, 0  # the words that it had at the door

    def learn(self, now: float) -> None:
        """That one is dead."""
        e = self.balancer.registry.by_id[DEAD]
        self.balancer.registry.active[e] = None
        while not e.breaker:
            self.balancer.outliers.record_outcome(e, True, now, "error")

    def tick(self, now: float) -> float:
        due = self.run.tick(now)
        if not self.opened:
            until = self.run.ready_from(now)
            if until > now:
                return min(due, until)
            self.opened, self.words = now, self.run.words
        return due

    def member_changed(self, now: float, before: Member | None, after: Member) -> None:
        self.run.member_changed(now, before, after)


class Herd:
    """In virtual time: one teller, then all others within `over` seconds."""

    def __init__(self, members: int, seed: int, wait: float = 1.0, over: float = 0.5) -> None:
        self.world, self.all = World(seed), dict[str, Keeping]()
        world = self.world

        def keeping(process: Process) -> Keeping:
            made = self.all[process.name] = Keeping(process, wait, members)
            return made

        seeds = [world.address(1)]
        self.teller = world.start("m0", seeds, seeds[0], [keeping])
        world.run(KNOWS_AFTER + 5.0)
        self.all["m0"].learn(world.now)
        world.run(world.now + 2.0)
        self.sent: list[int] = []
        before, begun = self.teller.sent, world.now
        for n in range(1, members):
            world.at(begun + over * n / members, world.start, f"m{n}", seeds, world.address(n + 1), [keeping])
        for second in range(1, 11):
            world.run(begun + second)
            self.sent.append(self.teller.sent - before)
            before = self.teller.sent
        world.run(begun + over + LASTS)
        self.starters = [kept for name, kept in self.all.items() if name != "m0"]
        self.doors = sorted(kept.opened - kept.began for kept in self.starters)
        self.told = sum(kept.run.taken["members"] == [DEAD] for kept in self.starters)
        self.shut = sum(not kept.opened for kept in self.starters)
        self.at_the_door = sum(kept.words > 0 for kept in self.starters)


def spread(values: Sequence[float]) -> dict[str, float]:
    return {"median": round(median(values), 3), "least": round(min(values), 3), "most": round(max(values), 3)}


def processes(count: int, wait: float) -> dict[str, object]:
    names = [f"m{n}" for n in range(count + 1)]
    with (
        tempfile.TemporaryDirectory() as folder,
        restarts.endpoints() as servers,
        Fleet(
            Path(folder), names, 1, restarts.config(servers), lambda name: {"keep": {"wait": wait}}, seeds=1
        ) as fleet,
    ):
        for name in names:
            fleet[name].write(fleet[name].config, fleet.file(name, folder=""))
        fleet.start("m0")
        clients = restarts.Clients(fleet["m0"].listen, 60.0)
        clients.start()

        time.sleep(KNOWS_AFTER + 5.0)  # it tells nobody while it is alone
        before = fleet.network.counts()
        at = time.monotonic()
        for name in names[1:]:
            fleet[name].start()
        fleet.await_ready(*names[1:])
        ready = time.monotonic() - at
        time.sleep(max(wait, 2.0))
        starts = [fleet[name].call("GET", "/-/keep").body["start"] for name in names[1:]]
        after, seconds = fleet.network.counts(), time.monotonic() - at
        clients.stop()
        sent = {
            way: sum(
                count.sent - (before[link].sent if link in before else 0)
                for link, count in after.items()
                if link[way == "to it"] == "m0"
            )
            for way in ("by it", "to it")
        }
        return {
            "processes": count,
            "waited": spread([start["waited"] for start in starts]),
            "with word": sum(start["words"] > 0 for start in starts),
            "taken": sorted({tuple(start["members"]) for start in starts}),
            "all ready after": round(ready, 2),
            "datagrams": sent,
            "within": round(seconds, 1),
        }


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="python -m rainspindle.lab.fleet.starters",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--members", type=int, default=0, help="in virtual time")
    parser.add_argument("--processes", type=int, default=0, help="that start, beside a teller")
    parser.add_argument("--wait", type=float, default=1.0)
    parser.add_argument("--over", type=float, default=0.5, help="seconds within which all start")
    parser.add_argument("--seed", type=int, default=1)
    given = parser.parse_args()
    if given.members:
        herd = Herd(given.members, given.seed, given.wait, given.over)
        print(
            json.dumps(
                {
                    "members": given.members,
                    "door": spread(herd.doors),
                    "shut": herd.shut,
                    "told": herd.told,
                    "told at the door": herd.at_the_door,
                    "datagrams by the teller in each second": herd.sent,
                }
            )
        )
    if given.processes:
        print(json.dumps(processes(given.processes, given.wait)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
