"""Binding statements through the front while servers are killed, silenced and slowed at random: who ran how
often.

    python -m rainspindle.lab.mysql.trial --statements 20000 --seed 1 --json

Real processes: the front as operators start it, stand-in databases, and clients by PyMySQL. Beside it, in
the same way, the same clients with a driver that picks a server at random. Every statement has an id of its
own, and the databases write down each that they run. A statement is repeated only after word that it never
ran.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import re
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Sequence
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any

import numpy as np
import pymysql

from ...transport.loop import Coroutine, Loop
from ..sockets.child import Orders
from ..sockets.run import ROOT, reserve_port
from .database import Database, Store

SERVERS, USER, PASSWORD = 5, "anna", "secret"
PROMISED, EXPIRY = 0.6, 1.5
WORK = 0.004
PATIENCE = 60.0  # seconds, far beyond anything needed: no verdict hangs on speed
ID = re.compile(r"id(\d+)")


def databases(seed: int, seconds: float) -> None:
    """Stand-ins with a mind of their own: from the first line of standard input on, each fails now and
    then."""
    loop = Loop(lambda fault: print(fault, file=sys.stderr))
    users = {USER: PASSWORD.encode()}
    stands = [Database(loop, Store({"exams": (["id", "k"], [])}), users) for _ in range(SERVERS)]
    print(json.dumps([d.port for d in stands]), flush=True)
    rng = random.Random(seed)
    for stand in stands:
        stand.latency = WORK

    def trouble(stand: Database, rng: random.Random) -> Coroutine[None]:
        end = loop.now() + seconds
        while loop.now() < end:
            until = loop.now() + rng.expovariate(1 / 6.0)
            while loop.now() < until:
                yield until
            what, until = rng.choice(("kill", "silent", "slow", "phase")), loop.now() + rng.uniform(1.0, 4.0)
            if what == "kill":
                stand.die()
            elif what == "silent":
                stand.fault = lambda sql, phase: "silent"
            elif what == "slow":
                stand.latency = 0.3
            else:
                phase, how = rng.choice(("before", "after")), rng.choice(("silent", "reset"))
                stand.fault = lambda sql, at, phase=phase, how=how: (  # type: ignore[misc]
                    how if at == phase and rng.random() < 0.5 else ""
                )
            while loop.now() < until:
                yield until
            stand.fault, stand.latency = lambda sql, phase: "", WORK
            if stand.listener is None:
                stand.start(stand.port)

    def begin(order: dict[str, Any]) -> None:
        for stand in stands:
            loop.spawn(trouble(stand, random.Random(rng.random())))

    Orders(loop, begin)
    loop.run()
    print(json.dumps(dict(Counter(m[1] for d in stands for sql in d.executed if (m := ID.search(sql))))))


class Client(threading.Thread):
    """Statements one after another; each has one end."""

    def __init__(self, ports: list[int], ids: list[int], pace: float, seed: int, reads: float) -> None:
        """`reads` retriable statements come with each binding one."""
        super().__init__(daemon=True)
        self.ports, self.ids, self.pace, self.rng = ports, ids, pace, random.Random(seed)
        self.reads, self.read_ends = reads, Counter[str]()
        self.ends: dict[int, str] = {}
        self.times: list[float] = []
        self.connection: Any = None

    def run(self) -> None:
        due = time.monotonic()
        for id in self.ids:
            time.sleep(max(0.0, due - time.monotonic()))
            due += self.rng.expovariate(1 / self.pace)
            if self.rng.random() < self.reads:
                self.read_ends[self.one(f"SELECT {id}")] += 1
            begun = time.monotonic()
            for _ in range(2):
                self.ends[id] = self.one(f"INSERT INTO exams (k) VALUES ('id{id}')")
                if self.ends[id] != "rejected" or time.monotonic() - begun > PROMISED:
                    break
                time.sleep(0.05)
            self.times.append(time.monotonic() - begun)

    def one(self, sql: str) -> str:
        try:
            if self.connection is None:
                self.connection = pymysql.connect(
                    host="127.0.0.1",
                    port=self.rng.choice(self.ports),
                    user=USER,
                    password=PASSWORD,
                    autocommit=None,
                    read_timeout=2 * EXPIRY,
                    connect_timeout=2,
                )
            with self.connection.cursor() as cursor:
                cursor.execute(sql)
            return "finished"
        except pymysql.err.OperationalError as fault:
            code = fault.args[0]
            if code in (1213, 1317):
                return "rejected" if code == 1213 else "terminated"
            self.connection = None
            return "rejected" if code == 2003 else "lost"  # 2003: no connection, so it never ran
        except (pymysql.err.Error, OSError):
            self.connection = None
            return "lost"


def trial(
    statements: int, clients: int, seconds: float, seed: int, reads: float, fronts: Sequence[Path] = (ROOT,)
) -> dict[str, Any]:
    """`fronts`: roots of the builds whose fronts serve one after the other, each a successor beside the one
    before; with none, clients draw a server themselves."""
    stands = subprocess.Popen(
        [sys.executable, "-m", __spec__.name, "--databases", "--seed", str(seed), "--seconds", str(seconds)],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert stands.stdin is not None and stands.stdout is not None
    ports = json.loads(stands.stdout.readline())
    with tempfile.TemporaryDirectory(prefix="rainspindle-mysql-") as folder:
        serving = Fronts(Path(folder), ports, seed)
        try:
            if fronts:
                serving.start(fronts[0])
            stands.stdin.write("{}\n")
            stands.stdin.flush()
            parts = [list(range(n, statements, clients)) for n in range(clients)]
            threads = [
                Client(
                    [serving.port] if fronts else ports,
                    part,
                    seconds / max(len(part), 1),
                    seed * 1000 + n,
                    reads,
                )
                for n, part in enumerate(parts)
            ]
            for thread in threads:
                thread.start()
            for root in fronts[1:]:
                time.sleep(seconds / len(fronts))
                serving.replace(root)
            for thread in threads:
                thread.join(4 * seconds + 60)
        finally:
            serving.end()
            out, _ = stands.communicate(timeout=30)
    ran = {int(id): count for id, count in json.loads(out.splitlines()[-1]).items()}
    ends = {id: end for thread in threads for id, end in thread.ends.items()}
    times = np.array([t for thread in threads for t in thread.times])
    finished = np.array([end == "finished" for thread in threads for end in thread.ends.values()])
    return {
        "statements": len(ends),
        "ends": dict(Counter(ends.values())),
        "reads": dict(sum((thread.read_ends for thread in threads), Counter[str]())),
        "in_time": float((finished & (times <= PROMISED)).mean()),
        "ran_twice": sum(count > 1 for count in ran.values()),
        "rejected_and_ran": sum(ends[id] == "rejected" for id in ran),
        "lost_and_ran": sum(ends[id] == "lost" for id in ran),
        "finished_and_never_ran": sum(end == "finished" and id not in ran for id, end in ends.items()),
        "p50_ms": round(1000 * float(np.quantile(times, 0.5)), 2),
        "p99_ms": round(1000 * float(np.quantile(times, 0.99)), 2),
        "longest_s": round(float(times.max()), 2),
        "fronts": serving.statuses,
    }


class Fronts:
    """The front as operators start it: its files, and its processes one after the other at one address."""

    def __init__(self, folder: Path, ports: list[int], seed: int) -> None:
        self.folder, self.ports, self.seed, self.port = folder, ports, seed, reserve_port()
        self.process: subprocess.Popen[bytes] | None = None
        self.statuses: list[int] = []  # with which those before have ended
        secret = folder / "anna.password"
        secret.touch(0o600)
        secret.write_text(PASSWORD)
        (folder / "mysql.toml").write_text(
            f'[mysql]\nlisten = "127.0.0.1:{self.port}"\nplatform = "platform.json"\ndefault = "submit"\n'
            '[[users]]\nname = "anna"\npassword = "anna.password"\n'
            '[[rules]]\nkinds = ["insert"]\ntraffic_type = "submit"\nkey = "column:k"\n'
            '[[rules]]\nkinds = ["select"]\ntraffic_type = "read"\nkey = "none"\n'
        )

    def platform(self, console: int) -> dict[str, Any]:
        types = [
            {"name": name, "effect": effect, "promised-time": PROMISED * 1000, "expiry": EXPIRY * 1000}
            for name, effect in (("submit", "non_idempotent"), ("read", "read_like"))
        ]
        known = [
            {
                "instanceId": f"e{n}",
                "hostPort": f"127.0.0.1:{p}",
                "zone": "a",
                "cell": 0,
                "weight": 1.0,
                "lifecycle": "SERVING",
                "startedAtMs": 0,
            }
            for n, p in enumerate(self.ports)
        ]
        return {
            "name": "trial",
            "listen": "127.0.0.1:0",
            "console": f"127.0.0.1:{console}",
            "discovery": "127.0.0.1:9",
            "seed": self.seed,
            "limits": {"cores": 1.0, "sockets": 1024},
            "known": {"generation": 1, "reset": True, "instances": known},
            "settings": {
                "contract": {
                    "ask-within": 10000,
                    "cold": 1000,
                    "cold-from": 0.5,
                    "fall-multiple": 4.0,
                    "stop-sending-within": 500,
                    "tip-after": 3000,
                },
                "discovery": "on_request",
                "failure-domains": ["a"],
                "peers-total": 1,
                "zone": 0,
                "policy-limits": {
                    "cancel": True,
                    "conn-idle": 30000,
                    "connect-timeout": 250,
                    "max-forwards": 4,
                    "max-retry-after": 2000,
                    "parallel-tries": False,
                    "retry-after": True,
                },
                "traffic-types": types,
            },
        }

    def start(self, root: Path) -> None:
        """The front of the build at `root`, beside the one before if there is one, until it can serve."""
        console = reserve_port()
        (self.folder / "platform.json").write_text(json.dumps(self.platform(console)))
        self.process = process = subprocess.Popen(
            [
                sys.executable,
                "-O",
                "-m",
                "rainspindle",
                "mysql",
                "--config",
                str(self.folder / "mysql.toml"),
                "--log-level",
                "error",
            ],
            cwd=root,
            env={**os.environ, "TMPDIR": str(self.folder)},
        )
        until = time.monotonic() + PATIENCE
        while time.monotonic() < until and process.poll() is None:
            connection = HTTPConnection("127.0.0.1", console, timeout=1.0)
            try:
                connection.request("GET", "/-/ready")
                if connection.getresponse().status == 200:
                    return
            except (OSError, HTTPException):
                pass
            finally:
                connection.close()
            time.sleep(0.05)
        raise RuntimeError(f"the front {process.pid} did not get ready; its status is {process.poll()}")

    def replace(self, root: Path) -> None:
        before = self.process
        try:
            self.start(root)
        finally:
            self.process, next_one = before, self.process
            self.end()
            self.process = next_one

    def end(self) -> None:
        if self.process is not None:
            self.process.terminate()
            self.statuses.append(self.process.wait(PATIENCE))


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--statements", type=int, default=20000)
    parser.add_argument("--clients", type=int, default=16)
    parser.add_argument("--seconds", type=float, default=80.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--reads", type=float, default=0.5, help="retriable statements for each binding one")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--databases", action="store_true", help=argparse.SUPPRESS)
    o = parser.parse_args()
    if o.databases:
        databases(o.seed, o.seconds)
        return 0
    found = {
        name: trial(o.statements, o.clients, o.seconds, o.seed, o.reads, fronts)
        for name, fronts in (("front", (ROOT,)), ("random server", ()))
    }
    if o.json:
        print(json.dumps(found))
    for name, figures in found.items() if not o.json else ():
        print(name, figures)
    front = found["front"]
    print(
        f"ran_twice={front['ran_twice']} rejected_and_ran={front['rejected_and_ran']} "
        f"finished_and_never_ran={front['finished_and_never_ran']} in_time={front['in_time']:.4f}"
    )
    return 3 if front["ran_twice"] or front["rejected_and_ran"] or front["finished_and_never_ran"] else 0


if __name__ == "__main__":
    sys.exit(main())
