"""Benchmarks of one sidecar on one core, each figure beside a direct call and beside older revisions.

Subjects take turns within every repeat, so that what drifts on a shared machine hits all of them.
"""

from __future__ import annotations

import contextlib
import json
import os
import shlex
import signal
import statistics
import subprocess
import sys
import tarfile
import tempfile
import time
import tomllib
from collections.abc import Iterator
from io import BytesIO
from pathlib import Path
from typing import Annotated

import orjson
import psutil
from pydantic import Field, ValidationError

from ..errors import Trouble
from .experiment import Count, Experiment, ExperimentFault, Positive, Table, worded
from .sockets.child import entry
from .sockets.run import ROOT, reserve_port, run_line
from .world import World

FIGURES = ("per_s", "cpu_us", "p50_us", "p99_us", "rss_mb", "idle_kb")
START_TIME = 30.0
SOCKETS = 4096


class BenchFault(Trouble):
    """A benchmark that could not be run, named in one line."""

    remedy = "run it again on a machine that does nothing else"


class Bench(Table):
    name: Annotated[str, Field(pattern=r"^[A-Za-z0-9_.-]+$")]
    says: str = ""
    seconds: Positive = 4.0  # of each measurement
    connections: Count = 16  # of the closed loop
    rate: Positive = 300.0  # of the open loop, exchanges a second
    idle: Count = 400  # connections held to find the cost of one
    repeats: Count = 3
    gateway: bool = False  # whether a gateway with no peer is measured too
    revisions: list[str] = Field(default_factory=list)  # of this repository, beside the tree as it is


def is_bench(path: str) -> bool:
    try:
        return "bench" in tomllib.loads(Path(path).read_text())
    except (OSError, ValueError):
        return False  # whoever reads it next says why


def load(path: str) -> Bench:
    raw = tomllib.loads(Path(path).read_text())
    try:
        return Bench.model_validate(raw["bench"])
    except ValidationError as fault:
        raise ExperimentFault(path, [f"bench.{worded(e, raw)}" for e in fault.errors()]) from None


def settings() -> World:
    x = Experiment.model_validate(
        {
            "name": "bench",
            "length": 1.0,
            "fleet": {"kinds": [{"count": 2}]},
            "sidecars": {"count": 1},
            "clients": {"rate": 1.0},
            "traffic": [{"name": "look", "work": 0.001, "promised": 1.0, "expiry": 2.0}],
        }
    )
    return World(x, x.variants[0], 1)


class Rig:
    """The processes of one subject: two endpoints that do no work, and a sidecar unless calls are direct."""

    def __init__(self, tree: Path | None, gateway: bool = False) -> None:
        self.gateway = gateway
        self.processes: list[subprocess.Popen[str]] = []
        self.folder = tempfile.TemporaryDirectory(prefix="rainspindle-bench-")
        cores = sorted(os.sched_getaffinity(0))
        self.cores = (cores * 3)[:3]
        ports = [int(self.fast(1, "echo").stdout.readline()) for _ in range(2)]  # type: ignore[union-attr]
        self.port, self.sidecar = ports[0], None
        if tree is not None:
            self.port = reserve_port()
            self.sidecar = self.start(tree, ports)

    def fast(self, core: int, *arguments: object) -> subprocess.Popen[str]:
        process = subprocess.Popen(
            [sys.executable, str(Path(__file__).parent / "sockets" / "fast.py"), *map(str, arguments)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        os.sched_setaffinity(process.pid, {self.cores[core]})
        self.processes.append(process)
        return process

    def start(self, tree: Path, ports: list[int]) -> psutil.Process:
        world = settings()
        config = Path(self.folder.name) / "config.json"
        known = [
            entry(line, f"127.0.0.1:{port}", ["a"], 0.0)
            for line, port in zip(world.lines, ports, strict=True)
        ]
        config.write_bytes(
            orjson.dumps(
                {
                    "name": "bench",
                    "listen": f"127.0.0.1:{self.port}",
                    "discovery": f"127.0.0.1:{ports[0]}",
                    "seed": 7,
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS},
                    "known": {"generation": 1, "reset": True, "instances": known},
                    "settings": world.settings(0),
                }
            )
        )
        # Another tree has no environment of its own: the libraries are this one's, so only the code differs.
        line = run_line()[0].replace(".venv/bin/python", shlex.quote(sys.executable))
        if self.gateway:
            line = (
                f"exec {shlex.quote(sys.executable)} -O -m rainspindle gateway --config {self.gateway_file()}"
            )
        log = (Path(self.folder.name) / "log").open("w")
        process = subprocess.Popen(
            ["/bin/sh", "-c", line],
            cwd=tree,
            stdout=subprocess.DEVNULL,
            stderr=log,
            env={**os.environ, "RELAY_CONFIG": str(config), "PYTHONPATH": str(tree)},
            text=True,
            start_new_session=True,
        )
        os.sched_setaffinity(process.pid, {self.cores[0]})
        self.processes.append(process)
        until = time.monotonic() + START_TIME
        while time.monotonic() < until and process.poll() is None:
            with contextlib.suppress(OSError):
                from .sockets.fast import connected

                sock = connected(self.port, 1)[0]
                sock.send(b"GET /ready HTTP/1.1\r\nHost: bench\r\n\r\n")
                if sock.recv(64).startswith(b"HTTP/1.1 200"):
                    sock.close()
                    return psutil.Process(process.pid)
                sock.close()
            time.sleep(0.02)
        raise BenchFault(f"the sidecar did not start: {(Path(self.folder.name) / 'log').read_text()[-300:]}")

    def gateway_file(self) -> Path:
        path = Path(self.folder.name) / "gateway.toml"
        key = path.with_name("link.key")
        key.touch(0o600)
        key.write_text("a key of the benchmark's own")
        path.write_text(
            '[gateway]\nsite = "a"\nlink = "127.0.0.1:0"\nplatform = "config.json"\nkeys = ["link.key"]\n'
        )
        return path

    def drive(self, bench: Bench, rate: float) -> dict[str, float]:
        process = self.fast(2, "drive", self.port, bench.connections, bench.seconds, rate)
        out = process.communicate(timeout=bench.seconds + 30)[0]
        if not out:
            raise BenchFault("the driver did not end well")
        return dict(json.loads(out))

    def measure(self, bench: Bench) -> dict[str, float]:
        found: dict[str, float] = {}
        self.drive(bench.model_copy(update={"seconds": 1.0}), 0.0)  # connections and caches warm
        before = self.cpu()
        closed = self.drive(bench, 0.0)
        found["per_s"] = closed["per_s"]
        if self.sidecar is not None:
            found["cpu_us"] = 1e6 * (self.cpu() - before) / closed["count"]
        opened = self.drive(bench, bench.rate)
        if opened["failed"] or closed["failed"] > 0.01 * closed["count"]:
            raise BenchFault(f"{opened['failed']:g} and {closed['failed']:g} exchanges failed")
        found.update(p50_us=opened["p50_us"], p99_us=opened["p99_us"])
        if self.sidecar is not None:
            found["rss_mb"] = self.sidecar.memory_info().rss / 2**20
            holder = self.fast(2, "hold", self.port, bench.idle)
            assert holder.stdout is not None
            if not holder.stdout.readline():
                raise BenchFault("the idle connections could not be opened")
            found["idle_kb"] = (self.sidecar.memory_info().rss / 1024 - found["rss_mb"] * 1024) / bench.idle
        return found

    def cpu(self) -> float:
        if self.sidecar is None:
            return 0.0
        times = self.sidecar.cpu_times()
        return float(times.user + times.system)

    def end(self) -> None:
        for process in self.processes:
            with contextlib.suppress(OSError):
                if process.stdin is not None:
                    process.stdin.close()
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
            if process.stdout is not None:
                process.stdout.close()
        self.folder.cleanup()


@contextlib.contextmanager
def trees(revisions: list[str]) -> Iterator[dict[str, Path]]:
    """A folder with the sources of each revision."""
    with tempfile.TemporaryDirectory(prefix="rainspindle-trees-") as folder:
        found = {}
        for revision in revisions:
            done = subprocess.run(["git", "archive", revision, "rainspindle"], cwd=ROOT, capture_output=True)
            if done.returncode:
                raise BenchFault(
                    f"revisions: {revision!r}: {done.stderr.decode().strip()[-200:]}",
                    "name revisions that this repository has",
                )
            found[revision] = Path(folder) / revision.replace("/", "_")
            with tarfile.open(fileobj=BytesIO(done.stdout)) as archive:
                archive.extractall(found[revision], filter="data")
        yield found


def run(path: str, out: Path, as_json: bool) -> int:
    """Runs a benchmark, writes its results, prints a table. Raises BenchFault."""
    bench = load(path)
    measured: dict[str, list[dict[str, float]]] = {}
    with trees(bench.revisions) as found:
        subjects: dict[str, Path | None] = {"direct": None, "this tree": ROOT, **found}
        if bench.gateway:
            subjects["gateway"] = ROOT
        for repeat in range(bench.repeats):
            for name, tree in list(subjects.items())[:: 1 if repeat % 2 == 0 else -1]:
                rig = None
                try:
                    rig = Rig(tree, name == "gateway")
                    measured.setdefault(name, []).append(rig.measure(bench))
                finally:
                    if rig is not None:
                        rig.end()
    figures = {
        name: {f: [round(r[f], 3) for r in rows if f in r] for f in FIGURES}
        for name, rows in measured.items()
    }
    folder = out if out.name == bench.name else out / bench.name
    folder.mkdir(parents=True, exist_ok=True)
    whole = {"bench": bench.name, "subjects": figures}
    (folder / "results.json").write_text(json.dumps(whole, indent=1) + "\n")
    if as_json:
        print(json.dumps(whole))
        return 0
    print(f"{'median (least to most)':24}" + "".join(f"{f:>26}" for f in FIGURES))
    for name in subjects:
        cells = [
            f"{statistics.median(v):.4g} ({min(v):.4g} to {max(v):.4g})" if v else "-"
            for v in figures[name].values()
        ]
        print(f"{name:24}" + "".join(f"{cell:>26}" for cell in cells))
    added = statistics.median(figures["this tree"]["p50_us"]) - statistics.median(figures["direct"]["p50_us"])
    print(
        f"per_s={statistics.median(figures['this tree']['per_s']):.0f} "
        f"cpu_us={statistics.median(figures['this tree']['cpu_us']):.0f} added_p50_us={added:.0f} "
        f"rss_mb={statistics.median(figures['this tree']['rss_mb']):.1f} "
        f"idle_kb={statistics.median(figures['this tree']['idle_kb']):.2f}"
    )
    return 0
