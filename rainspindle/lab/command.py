"""The lab's commands, behind `rainspindle lab`."""

from __future__ import annotations

import argparse
import json
import logging
import signal
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from ..errors import Trouble
from . import bench, compare, runs
from .experiment import Experiment, ExperimentFault, load

BAD_INPUT, MISSED, STOPPED = 2, 3, 130
SHOWN = (
    "goodput",
    "rejected",
    "terminated",
    "p50_ms",
    "p99_ms",
    "tries",
    "busiest",
    "recovery_s",
    "rules_broken",
    "executions_twice",
)


def add_to(commands: Any) -> None:
    """The arguments; this is all that the program reads before the lab itself is wanted."""
    lab = commands.add_parser("lab", help="experiments on a model of the fleet, or on loopback sockets")
    verbs = lab.add_subparsers(dest="verb", required=True)

    def verb(name: str, help: str, example: str) -> argparse.ArgumentParser:
        made: argparse.ArgumentParser = verbs.add_parser(
            name, help=help, description=help, epilog=f"Example: rainspindle lab {example}"
        )
        return made

    run = verb("run", "play an experiment", "run experiments/first-day.toml --mode sockets")
    run.add_argument("file")
    run.add_argument("--mode", choices=("virtual", "sockets"), help="default: as the file says")
    run.add_argument("--seed", type=int, help="instead of the file's seeds")
    run.add_argument("--repeat", type=int, metavar="K", help="K seeds, from the first one on")
    run.add_argument("--jobs", type=int, metavar="N", help="runs at once")
    run.add_argument("--out", metavar="DIR", help="default: lab-out/NAME-MODE")
    run.add_argument("--json", action="store_true", help="the results on standard output")
    both = verb(
        "compare", "hold two results against each other, paired by seed", "compare lab-out/a lab-out/b:random"
    )
    both.add_argument("before", metavar="DIR[:VARIANT]")
    both.add_argument("after", metavar="DIR[:VARIANT]")
    both.add_argument("--json", action="store_true")
    report = verb("report", "write report.html beside results", "report lab-out/first-day-sockets")
    report.add_argument("dir")
    listing = verb("list", "the experiments of a folder", "list experiments")
    listing.add_argument("dir", nargs="?", default="experiments")
    listing.add_argument("--json", action="store_true")


def main(options: argparse.Namespace) -> int:
    logging.getLogger("rainspindle").addHandler(logging.NullHandler())  # what is simulated does not log
    try:
        return {"run": run, "compare": compared, "report": reported, "list": listed}[options.verb](options)
    except Trouble as fault:
        print("\n".join(f"rainspindle: {line}" for line in fault.line().splitlines()), file=sys.stderr)
    return BAD_INPUT


class Stopped(KeyboardInterrupt):
    """SIGTERM: ended like Ctrl-C, with all that was started."""


@contextmanager
def stoppable() -> Iterator[None]:
    def stop(number: int, frame: object) -> None:
        raise Stopped

    before = signal.signal(signal.SIGTERM, stop)
    try:
        yield
    finally:
        signal.signal(signal.SIGTERM, before)


def run(options: argparse.Namespace) -> int:
    if bench.is_bench(options.file):
        with stoppable():
            return bench.run(options.file, Path(options.out or "lab-out"), options.json)
    x = load(options.file)
    seeds = [options.seed] if options.seed is not None else x.seeds
    if options.repeat is not None:
        if options.repeat < 1:
            raise ExperimentFault("--repeat", [f"is {options.repeat}; expected 1 or more"])
        seeds = list(range(seeds[0], seeds[0] + options.repeat))
    mode = options.mode or x.mode
    if mode == "sockets" and any(v.knobs for v in x.variants):
        raise ExperimentFault(options.file, ["variants: knobs are for virtual time only"])
    out = Path(options.out or f"lab-out/{x.name}-{mode}")
    jobs = options.jobs or runs.default_jobs(mode)
    played: list[runs.Played] = []
    complete = False
    try:
        with stoppable(), Progress(x, mode, len(seeds) * len(x.variants), jobs) as progress:
            for one in runs.play_all(x, mode, seeds, jobs, progress.second):
                played.append(one)
                progress.done(one)
        complete = True
    except KeyboardInterrupt:
        print(f"rainspindle: stopped; {len(played)} runs are kept in {out}", file=sys.stderr)
    found = runs.results(x, mode, seeds, played, complete)
    try:
        runs.write(out, found, played)
        from . import report

        path = report.write(out, found)
    except OSError as fault:
        print(f"rainspindle: {fault.filename}: {fault.strerror}", file=sys.stderr)
        return BAD_INPUT
    if options.json:
        print(json.dumps(found, sort_keys=True))
    else:
        show(found)
        for line in found["missed"]:
            print(f"not as expected: {line}")
        print(f"report: {path}")
        print(runs.last_line(found))
    return STOPPED if not complete else MISSED if found["missed"] else 0


class Progress:
    """A bar on a terminal, nothing in a pipe."""

    def __init__(self, x: Experiment, mode: str, total: int, jobs: int) -> None:
        from rich.console import Console
        from rich.progress import Progress as Bar

        self.bar = Bar(console=Console(stderr=True), disable=not sys.stderr.isatty(), transient=True)
        self.task = self.bar.add_task(f"{x.name}, {mode}", total=total * (x.length + x.settle))
        self.length, self.finished, self.shown = x.length + x.settle, 0, 0.0

    def second(self, second: float) -> None:
        if time.monotonic() - self.shown > 0.2:
            self.shown = time.monotonic()
            self.bar.update(self.task, completed=self.finished * self.length + max(second, 0.0))

    def done(self, one: runs.Played) -> None:
        self.finished += 1
        self.bar.update(self.task, completed=self.finished * self.length)

    def __enter__(self) -> Progress:
        self.bar.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.bar.stop()


def show(found: dict[str, Any]) -> None:
    from rich.console import Console
    from rich.table import Table

    seeds = ", ".join(map(str, found["seeds"]))
    table = Table(title=f"{found['experiment']}, {found['mode']}, seeds {seeds}")
    table.add_column("variant")
    for name in SHOWN:
        table.add_column(name, justify="right")
    for name, v in found["variants"].items():
        if v["mean"]:
            table.add_row(name, *(f"{v['mean'][f]:.4g}" for f in SHOWN))
    Console(width=None if sys.stdout.isatty() else 160).print(table)


def compared(options: argparse.Namespace) -> int:
    differences = compare.compare(options.before, options.after)
    if options.json:
        print(
            json.dumps(
                [
                    {
                        "figure": d.figure,
                        "before": d.before,
                        "after": d.after,
                        "low": d.low,
                        "high": d.high,
                        "pairs": d.pairs,
                        "shown": d.shown,
                    }
                    for d in differences
                ]
            )
        )
        return 0
    print(
        f"{options.before} -> {options.after}, {differences[0].pairs} pairs; "
        f"the {compare.PART:.0%} interval of the difference"
    )
    for difference in differences:
        print(difference)
    return 0


def reported(options: argparse.Namespace) -> int:
    from . import report

    found, _ = compare.read(options.dir)
    print(report.write(Path(options.dir), found))
    return 0


def listed(options: argparse.Namespace) -> int:
    folder = Path(options.dir)
    if not folder.is_dir():
        raise ExperimentFault(options.dir, ["not a folder"])
    entries = []
    for path in sorted(folder.glob("*.toml")):
        if bench.is_bench(str(path)):
            entries.append((str(path), bench.load(str(path)).says))
            continue
        try:
            entries.append((str(path), load(path).says))
        except ExperimentFault as fault:
            entries.append((str(path), f"cannot be played: {fault.faults[0]}"))
    if options.json:
        print(json.dumps([{"file": file, "says": says} for file, says in entries]))
    else:
        print("\n".join(f"{file:36} {says}" for file, says in entries))
    return 0
