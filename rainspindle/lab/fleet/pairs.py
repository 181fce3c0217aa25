"""What is no member of a fleet, on processes of two builds: the gateways' link between sites, the SQL front.

    python -m rainspindle.lab.fleet.pairs --seed 1 --older 0.2

Two sites' gateways, the first of the older build and the second of this one and then the other way round:
under load the second leans on the first as its own endpoints are silent, the link is cut within that, and the
first one is told to leave and comes back as the other build. Then the SQL front, with databases that fail,
brought to this build and back, each time by a successor beside it. What is held against each other are the
ledgers of clients, endpoints and databases, and each byte on the link. Exit status 0 if all held, 2 where
the older build cannot be had, 3 if not.
"""

from __future__ import annotations

import argparse
import json
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from subprocess import Popen
from typing import Any

from ...protocol.link import frames as f
from ..audit import audit
from ..experiment import Experiment
from ..figures import figures
from ..ledger import Ledger
from ..mysql.trial import trial
from ..sockets.run import SocketsRun
from ..world import World
from .builds import THIS, Build, add_older, given

LEAVES, END = 4.0, 6.0  # seconds at which the first gateway is brought to the other build; of the traffic
SITES: dict[str, Any] = {
    "name": "pairs",
    "length": END,
    "settle": 2.6,
    "sites": {},
    "lateness": 5.0,
    "rules": {"tolerance": 2.0},
    "fleet": {"zones": ["a", "b"], "kinds": [{"count": 6}]},
    "sidecars": {"count": 2, "skew": 0.0},
    "clients": {"rate": 60.0, "keys": 200},
    "links": {"cross": {"delay": 0.004, "loss": 0.002}},
    "traffic": [
        {"name": "save", "work": 0.02, "promised": 0.6, "expiry": 2.5},
        {"name": "submit", "work": 0.02, "promised": 0.6, "expiry": 1.5, "effect": "binding"},
        {
            "name": "note",
            "work": 0.02,
            "promised": 0.6,
            "expiry": 1.5,
            "effect": "fingerprinted",
            "memory_span": 2.0,
            "group": "cell",
            "share": 0.5,
        },
    ],
    "faults": [
        {"kind": "silent", "at": 0.5, "length": END, "zone": "b"},
        {"kind": "link_silent", "at": 2.0, "length": 0.6, "zone": "b"},
    ],
}


@dataclass(slots=True)
class Pair:
    """What came of two sites, or of the fronts."""

    broken: list[str] = field(default_factory=list)
    figures: dict[str, Any] = field(default_factory=dict)


class SitesRun(SocketsRun):
    """Two gateways of two builds, the first of which is brought to the second's. What their link carries is
    kept."""

    def __init__(self, world: World, folder: Path, builds: Sequence[Build]) -> None:
        super().__init__(world, folder)
        self.builds = list(builds)
        self.left: Popen[bytes] | None = None

    def root(self, n: int) -> Path:
        return self.builds[n].root

    def child(self, role: str, name: str, **plan: Any) -> Popen[bytes]:
        return super().child(role, name, **plan, copies=str(self.folder))

    def bring(self, now: float) -> None:
        """Called all the while: the first gateway leaves in order, and the next process has its place."""
        if now >= LEAVES and self.left is None:
            self.left = self.sidecars[0]
            self.killed.add(0)  # its clients meet refused connections until the next one listens
            self.left.send_signal(signal.SIGTERM)
        elif self.left is not None and self.sidecars[0] is self.left and self.left.poll() is not None:
            self.keep(-self.left.pid)
            self.builds[0] = self.builds[1]
            self.start_sidecar(0)


def sites(builds: Sequence[Build], seed: int, folder: Path) -> Pair:
    """Two sites whose gateways are of these builds. Raises SocketsFault where the lab itself failed."""
    x = Experiment.model_validate(SITES)
    world = World(x, x.variants[0], seed)
    run, by_name = SitesRun(world, folder, builds), [build.name for build in builds]
    ledger = run.play(run.bring)
    found = audit(ledger, world, x.rules.tolerance)
    pair = Pair([*found.told(), *(f"the lab's own fault: {fault}" for fault in found.faults)])
    told = figures(ledger, world, found)[0]
    crossed = sum(run.sidecar == 1 and world.zones[run.endpoint] == 0 for run in ledger.runs)
    pair.figures = {
        "builds": by_name,
        "goodput": round(told["goodput"], 3),
        "tries": len(ledger.asked),
        "twice": told["executions_twice"],
        "crossed": crossed,
    }
    if run.left is None or run.left.returncode or run.sidecars[0] is run.left:
        pair.broken.append(f"s0 was not brought to the other build: {run.left and run.left.returncode}")
    pair.broken += taken_and_lost(ledger)
    for n, name in enumerate(by_name):
        log = (folder / f"s{n}.log").read_text()
        pair.broken += [
            f"s{n}, first of the {name} build, logged: {line}"
            for line in log.splitlines()
            if "event=fault" in line or "Traceback" in line or ("link closed" in line and "stall" not in line)
        ]
        pair.figures[f"links_up_s{n}"] = log.count('event="link up"')
    kinds = {0: Counter[str](), 1: Counter[str]()}
    for path in sorted(folder.glob("link-*")):
        teller = int(path.name.split("-")[1])
        pair.broken += frames_of(path.read_bytes(), f"s{teller}", kinds[teller])
    pair.figures["frames"] = [dict(sorted(kinds[n].items())) for n in kinds]
    return pair


def taken_and_lost(ledger: Ledger) -> Iterator[str]:
    """A gateway that is told to leave finishes what it has taken: what got no answer never came to it."""
    ran = {one.id for one in ledger.runs}
    yield from (
        f"{asked.id} of s{asked.sidecar}, sent at {asked.sent:.3f} s, ran and was not answered"
        for asked in ledger.asked
        if asked.broken and asked.id in ran
    )


def frames_of(sent: bytes, teller: str, kinds: Counter[str]) -> Iterator[str]:
    """What a build wrote on one connection is what this build reads, and would have written, byte by byte."""
    reader = f.Reader()
    try:
        found = reader.receive(sent)
    except f.LinkFault as fault:
        yield f"{teller} wrote what this build cannot read: {fault}"
        return
    kinds.update(
        " ".join(
            [
                type(frame).__name__,
                *(getattr(frame, name) for name in ("kind", "state") if hasattr(frame, name)),
            ]
        )
        for frame in found
    )
    if b"".join(map(f.encode, found)) + bytes(reader.buffer) != sent:
        yield f"{teller} wrote frames otherwise than this build does"


def fronts(builds: Sequence[Build], seed: int, statements: int = 900, seconds: float = 9.0) -> Pair:
    """The SQL front, of one of these builds after the other."""
    told = trial(statements, 8, seconds, seed, 0.5, [build.root for build in builds])
    pair = Pair(
        [
            f"{told[name]} statements: {name}"
            for name in ("ran_twice", "rejected_and_ran", "lost_and_ran", "finished_and_never_ran")
            if told[name]
        ],
        told,
    )
    if told["fronts"] != [0] * len(builds):
        pair.broken.append(f"fronts ended with {told['fronts']}")
    if told["statements"] != statements:
        pair.broken.append(f"{told['statements']} of {statements} statements have an end")
    return pair


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        "python -m rainspindle.lab.fleet.pairs",
        description="The link between sites, and the SQL front, of two builds.",
    )
    parser.add_argument("--seed", type=int, default=1)
    add_older(parser)
    options = parser.parse_args(arguments)
    broken = 0
    with tempfile.TemporaryDirectory(prefix="rainspindle-pairs-") as folder:
        old = given(options, Path(folder) / "build")
        for number, builds in enumerate(((old, THIS), (THIS, old), (old, THIS, old))):
            place = Path(folder) / str(number)
            place.mkdir()
            begun = time.monotonic()
            pair = sites(builds, options.seed, place) if len(builds) == 2 else fronts(builds, options.seed)
            broken += len(pair.broken)
            print(
                json.dumps(
                    {
                        "seed": options.seed,
                        "older": options.older,
                        "broken": pair.broken[:20],
                        **pair.figures,
                        "wall_s": round(time.monotonic() - begun, 1),
                    }
                ),
                flush=True,
            )
    return 3 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
