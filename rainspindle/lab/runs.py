"""Experiments played: every variant under every seed, results written down, expectations held to them."""

from __future__ import annotations

import json
import math
import multiprocessing
import os
import signal
import statistics
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import numpy as np

from .audit import audit
from .experiment import FIGURES, Experiment
from .figures import figures
from .world import World

OnSecond = Callable[[float], None]


@dataclass(slots=True)
class Played:
    """One variant under one seed."""

    variant: str
    seed: int
    figures: dict[str, float] = field(default_factory=dict)
    series: dict[str, Any] = field(default_factory=dict)
    rules: dict[int, int] = field(default_factory=dict)
    breaks: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)  # of the lab: the run says nothing
    shaded: list[tuple[float, float, str]] = field(default_factory=list)
    measured: dict[str, Any] = field(default_factory=dict)  # of this machine; differs from run to run


def play(
    x: Experiment, mode: str, variant: str, seed: int, on_second: OnSecond = lambda second: None
) -> Played:
    world, begun = World(x, x.variant(variant), seed), time.monotonic()
    played = Played(variant, seed, shaded=world.shaded())
    if mode == "virtual":
        if x.sites is None:
            from .virtual import VirtualRun as Run
        else:
            from .virtual_sites import SitesRun as Run
        ledger, tolerance = Run(world).play(on_second), 0.0
    else:
        from .sockets.run import SocketsFault
        from .sockets.run import play as play_sockets

        tolerance = x.rules.tolerance
        try:
            ledger, played.measured = play_sockets(world, on_second)
        except SocketsFault as fault:
            played.faults = [str(fault)]
            return played
    wall = time.monotonic() - begun
    played.measured.update(wall_s=round(wall, 3), times_real=round((world.end + 1) / wall, 2))
    found = audit(ledger, world, tolerance)
    played.figures, played.series = figures(ledger, world, found)
    played.rules, played.breaks, played.faults = found.by_rule(), found.told(), list(found.faults)
    if ledger.lateness:
        late = float(np.quantile(ledger.lateness, 0.99))
        played.measured["lateness_p99_ms"] = round(1000 * late, 3)
        if late > x.lateness:
            played.faults.append(
                f"the load generator ran late: {1000 * late:.1f} ms at its 99% quantile, "
                f"{1000 * x.lateness:.1f} ms are allowed"
            )
    return played


def play_job(job: tuple[Experiment, str, str, int]) -> Played:
    return play(*job)


def ignore_interrupt() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def play_all(x: Experiment, mode: str, seeds: list[int], jobs: int, on_second: OnSecond) -> Iterator[Played]:
    """Each run as it ends. With several jobs they end in any order."""
    todo = [(x, mode, v.name, seed) for seed in seeds for v in x.variants]
    if jobs <= 1 or len(todo) == 1:
        for job in todo:
            yield play(*job, on_second)
        return
    with multiprocessing.get_context("spawn").Pool(min(jobs, len(todo)), ignore_interrupt) as pool:
        yield from pool.imap_unordered(play_job, todo)


def default_jobs(mode: str) -> int:
    """Runs on sockets want the machine's cores to themselves."""
    return 1 if mode == "sockets" else max(1, (os.cpu_count() or 1) - 1)


def results(
    x: Experiment, mode: str, seeds: list[int], played: list[Played], complete: bool
) -> dict[str, Any]:
    """All that was found, in an order that does not hang on who was done first."""
    variants: dict[str, Any] = {}
    for v in x.variants:
        mine = sorted((p for p in played if p.variant == v.name), key=lambda p: p.seed)
        sound = [p.figures for p in mine if p.figures and not p.faults]
        counted = [f for f in FIGURES if sound and all(f in s for s in sound)]
        variants[v.name] = {
            "policy": v.policy,
            "mean": {f: round(statistics.fmean(s[f] for s in sound), 6) for f in counted},
            "spread": {f: [min(s[f] for s in sound), max(s[f] for s in sound)] for f in counted},
            "runs": {
                str(p.seed): {
                    "figures": p.figures,
                    "rules": {str(r): n for r, n in p.rules.items()},
                    "breaks": p.breaks,
                    "faults": p.faults,
                    "series": p.series,
                }
                for p in mine
            },
        }
    shaded = [list(s) for s in World(x, x.variants[0], seeds[0]).shaded()]
    found = {
        "experiment": x.name,
        "says": x.says,
        "mode": mode,
        "seeds": seeds,
        "complete": complete,
        "length_s": x.length,
        "shaded": shaded,
        "variants": variants,
    }
    found["missed"] = missed(x, found)
    return found


def missed(x: Experiment, found: dict[str, Any]) -> list[str]:
    """What is not as it must be: a rule broken by the module, a run that says nothing, a bound not kept."""
    told = []
    for name, v in found["variants"].items():
        for seed, run in v["runs"].items():
            told += [f"{name} seed {seed}: the lab's own fault: {fault}" for fault in run["faults"][:5]]
            broken = sum(run["rules"].values())
            if v["policy"] == "module" and broken:
                told.append(f"{name} seed {seed}: {broken} rules broken, first {run['breaks'][0]}")
        for figure, bound in x.expect.get(name, {}).items():
            if v["mean"] and figure not in v["mean"]:
                told.append(f"{name}.{figure} is not counted on sockets")
            elif v["mean"] and not bound.least <= v["mean"][figure] <= bound.most:
                told.append(
                    f"{name}.{figure} is {v['mean'][figure]}; expected "
                    + " and ".join(
                        f"{word} {limit:g}"
                        for word, limit in (("at least", bound.least), ("at most", bound.most))
                        if math.isfinite(limit)
                    )
                )
    return told


def write(out: Path, found: dict[str, Any], played: list[Played]) -> None:
    out.mkdir(parents=True, exist_ok=True)
    (out / "results.json").write_text(json.dumps(found, indent=1, sort_keys=True) + "\n")
    measured = {f"{p.variant} seed {p.seed}": p.measured for p in played}
    (out / "measured.json").write_text(json.dumps(measured, indent=1, sort_keys=True) + "\n")


def last_line(found: dict[str, Any]) -> str:
    """Of the first variant, and the rules that any variant of the module broke."""
    broken = sum(
        sum(run["rules"].values())
        for v in found["variants"].values()
        if v["policy"] == "module"
        for run in v["runs"].values()
    )
    mean = next(iter(found["variants"].values()))["mean"]
    if not mean:
        return f"rules_broken={broken} goodput=none p50_ms=none p99_ms=none executions_twice=none"
    return (
        f"rules_broken={broken} goodput={mean['goodput']:.4f} p50_ms={mean['p50_ms']:.1f} "
        f"p99_ms={mean['p99_ms']:.1f} executions_twice={mean['executions_twice']:g}"
    )
