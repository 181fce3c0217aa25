"""Failures and late answers that clients meet in the first 10 s after a sidecar's restart:
docs/results/keep.md.

Real processes: some members with clients of their own and twelve endpoints, of which one is silent, one fails
and one is slow. All learn; then one member is ended and started anew, in each way: with its folder, with the
other members' word alone, with neither; `aged` is its folder, with a record that was written minutes ago.
Counted are exchanges sent in the first 10 s after it can serve.

    python -m rainspindle.lab.fleet.restarts --repeats 5
"""

from __future__ import annotations

import argparse
import contextlib
import json
import shutil
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from statistics import median
from typing import Any

import msgspec

from ...program.fleet.keep import KIND, LEAST, MOST, NAME, VERSION
from ...protocol import keep as forms
from ...store.generations import DiskFiles, Generations
from .endpoints import Endpoint
from .processes import Fleet, quiet_config, wait_until

WAYS = ("folder", "members", "neither")  # and "aged": its folder, with a record that is older than it is
ENDS = ("SIGTERM", "SIGKILL")
NAMES = ("a", "b", "c")  # `a` is restarted
BAD = {"e0": "silent", "e1": "failing", "e2": "slow"}
ENDPOINTS = 12
PROMISED, EXPIRY = 0.3, 1.5
TYPES = (
    {"name": "read", "effect": "read_like", "promised-time": PROMISED * 1000, "expiry": EXPIRY * 1000},
    {"name": "submit", "effect": "non_idempotent", "promised-time": PROMISED * 1000, "expiry": EXPIRY * 1000},
)
WARM, LOOKED_AT = 12.0, 10.0  # seconds
CYCLE = 7.0  # seconds from one trial to the next: repeats end it at moments that are spread over one
KEYS = 4000


def answer(server: Endpoint, headers: Mapping[str, str]) -> tuple[int, float] | None:
    if server.kind == "silent":
        server.over.wait(EXPIRY * 2)
        return None
    return 500 if server.kind == "failing" else 200, 0.5 if server.kind == "slow" else 0.004


@contextlib.contextmanager
def endpoints() -> Iterator[dict[str, Endpoint]]:
    names = [f"e{n}" for n in range(ENDPOINTS)]
    servers = {name: Endpoint(name, BAD.get(name, "sound"), answer) for name in names}
    try:
        yield servers
    finally:
        for server in servers.values():
            server.end()


def config(servers: dict[str, Endpoint]) -> dict[str, Any]:
    base = quiet_config()
    lines = [server.listed(started_ms=1000) for server in servers.values()]
    return {
        **base,
        "settings": {**base["settings"], "traffic-types": list(TYPES)},
        "known": {"generation": 1, "reset": True, "instances": lines},
    }


def move_back(kept: Path, seconds: float) -> None:
    """The newest record in a member's folder was written so long before it was."""
    disk = Generations(DiskFiles(kept), NAME, KIND, VERSION, LEAST, MOST, "lab")
    record = forms.decode_record(disk.read().payload)
    disk.write(
        forms.encode_record(
            msgspec.structs.replace(record, wall=record.wall - seconds, boot_at=record.boot_at - seconds)
        )
    )


@dataclass
class Clients:
    """Clients of one sidecar on an open schedule: late answers hold up none but their own thread."""

    port: int
    rate: float
    threads_of: int = 24
    asked: list[tuple[float, float, int, str]] = field(default_factory=list)  # sent, ended, status, type
    over: threading.Event = field(default_factory=threading.Event)
    threads: list[threading.Thread] = field(default_factory=list)

    def start(self) -> None:
        begun = time.monotonic()
        for n in range(self.threads_of):
            self.threads.append(threading.Thread(target=self.run, args=(n, begun), daemon=True))
            self.threads[-1].start()

    def stop(self) -> None:
        self.over.set()
        for thread in self.threads:
            thread.join()

    def run(self, thread: int, begun: float) -> None:
        connection, n = HTTPConnection("127.0.0.1", self.port, timeout=EXPIRY * 2), thread
        while not self.over.wait(max(0.0, begun + n / self.rate - time.monotonic())):
            sent, status, kind = time.monotonic(), 0, "submit" if n % 3 == 0 else "read"
            try:
                connection.request(
                    "GET",
                    "/",
                    headers={
                        "X-Request-ID": f"{self.port}-{n}",
                        "X-Priority-Class": kind,
                        "Cookie": f"user=k{n * 7919 % KEYS}",
                    },
                )
                answer = connection.getresponse()
                answer.read()
                status = answer.status
            except (OSError, HTTPException):
                connection.close()
            self.asked.append((sent, time.monotonic(), status, kind))
            n += self.threads_of
            behind = time.monotonic() - begun - n / self.rate
            if behind > 0:
                n += self.threads_of * int(behind * self.rate / self.threads_of)
        connection.close()


@dataclass
class Met:
    """What clients met after one restart."""

    way: str
    end: str
    asked: int
    failed: int
    late: int
    shut: float  # seconds from the start of the process until it could serve
    taken: dict[str, int]
    beside: float  # failed or late of 1,000 at the members that were not restarted

    @property
    def bad(self) -> int:
        return self.failed + self.late


def tables(way: str, evidence: bool = False) -> Callable[[str], dict[str, Any]]:
    keep: dict[str, Any] = {} if way == "neither" else {"keep": {}}
    return lambda name: {**keep, **({"evidence": {}} if evidence else {})}


def once(
    way: str,
    end: str,
    rate: float,
    evidence: bool = False,
    phase: float = 0.0,
    aged: float = 300.0,
    say: Callable[[str], None] = lambda text: None,
) -> Met:
    with (
        tempfile.TemporaryDirectory() as folder,
        endpoints() as servers,
        Fleet(Path(folder), NAMES, 1, config(servers), tables(way, evidence)) as fleet,
    ):
        fleet.start()
        fleet.all_alive()
        clients = {
            name: Clients(s.listen, rate if name == "a" else rate / 2) for name, s in fleet.sidecars.items()
        }
        for each in clients.values():
            each.start()
        try:
            time.sleep(WARM + phase * CYCLE)
            a = fleet["a"]
            if end == "SIGTERM":
                a.leave()
                a.gone()
            else:
                a.kill()
            if way == "aged":
                move_back(a.folder / "kept", aged)
            elif way != "folder":
                shutil.rmtree(a.folder / "kept")
                (a.folder / "kept").mkdir()
            begun = time.monotonic()
            a.start()
            wait_until(a.ready, 20.0, "ready")
            time.sleep(LOOKED_AT + 2 * EXPIRY)
            taken = a.call("GET", "/-/keep").body["start"] if way != "neither" else {}
        finally:
            for each in clients.values():
                each.stop()
        opened = min(sent for sent, _, status, _ in clients["a"].asked if sent >= begun and status)

        def met_at(name: str) -> tuple[int, int, int]:
            """Asked, failed, late, from the first exchange on that found the door open."""
            mine = [x for x in clients[name].asked if opened <= x[0] < opened + LOOKED_AT]
            return (
                len(mine),
                sum(s != 200 for _, _, s, _ in mine),
                sum(s == 200 and e - b > PROMISED for b, e, s, _ in mine),
            )

        others = [met_at(name) for name in NAMES[1:]]
        met = Met(
            way,
            end,
            *met_at("a"),
            opened - begun,
            {k: len(taken[k]) for k in ("folder", "members") if k in taken},
            1000 * sum(failed + late for _, failed, late in others) / sum(n for n, _, _ in others),
        )
        faults = [line for s in fleet.sidecars.values() for line in s.faults()]
        if faults:
            raise AssertionError(faults[:3])
        say(json.dumps(met.__dict__))
        return met


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="python -m rainspindle.lab.fleet.restarts",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--repeats", type=int, default=5, help="of each way (default 5)")
    parser.add_argument(
        "--rate",
        type=float,
        default=100.0,
        help="exchanges a second at the one that is restarted; half of it at the others",
    )
    parser.add_argument("--evidence", action="store_true", help="with [evidence] at all, in each way")
    parser.add_argument("--aged", type=float, default=300.0, help="seconds, of the way `aged` (default 300)")
    parser.add_argument("--ways", default=",".join(WAYS))
    parser.add_argument("--ends", default=",".join(ENDS))
    given = parser.parse_args()
    met = [
        once(
            way,
            end,
            given.rate,
            given.evidence,
            n / given.repeats,
            given.aged,
            lambda text: print(text, file=sys.stderr, flush=True),
        )
        for n in range(given.repeats)
        for end in given.ends.split(",")
        for way in given.ways.split(",")
    ]
    print(
        "| ended by | way | failed or late of 1,000 | spread | failed | late | at the others | "
        "s until it could serve |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for end in given.ends.split(","):
        for way in given.ways.split(","):
            rows = [m for m in met if (m.way, m.end) == (way, end)]
            parts = sorted(1000 * m.bad / max(1, m.asked) for m in rows)
            print(
                f"| {end} | {way} | {median(parts):.1f} | {parts[0]:.1f} to {parts[-1]:.1f} | "
                f"{median(m.failed for m in rows)} | {median(m.late for m in rows)} | "
                f"{median(m.beside for m in rows):.1f} | {median(m.shut for m in rows):.2f} |"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
