"""Counts how often non-idempotent statements run while servers are killed, silenced and slowed at random.

    python -m rainspindle.lab.mysql.trial --statements 20000 --seed 1 --json

It uses real processes: the sidecar as operators start it, simulated databases, and PyMySQL clients. For
comparison, the same clients also run without a sidecar and pick a server at random. Every statement has an
id of its own, and the databases record each one that they run. A client repeats a statement only if it was
told that the statement never ran.
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
from .database import Database
from .engine import Store

SERVERS, USER, PASSWORD, DATABASE = 5, "anna", "secret", "register"
LATENCY_OBJECTIVE, EXPIRY = 0.6, 1.5  # seconds: latency objective and deadline
STATEMENT_TIME = 0.004  # seconds that a healthy server takes for a statement
TIMEOUT = 60.0  # seconds; far longer than needed, so that no result depends on the machine's speed
STATEMENT_ID = re.compile(r"id(\d+)")


def run_databases(seed: int, seconds: float) -> None:
    """Run the simulated servers, which fail at random from the first line of standard input on."""
    loop = Loop(lambda error: print(error, file=sys.stderr))
    users = {USER: PASSWORD.encode()}
    servers = [Database(loop, Store({(DATABASE, "exams"): (["id", "k"], [])}), users) for _ in range(SERVERS)]
    print(json.dumps([database.port for database in servers]), flush=True)
    rng = random.Random(seed)
    for server in servers:
        server.latency = STATEMENT_TIME

    def inject_faults(server: Database, rng: random.Random) -> Coroutine[None]:
        end = loop.now() + seconds
        while loop.now() < end:
            wake_at = loop.now() + rng.expovariate(1 / 6.0)
            while loop.now() < wake_at:
                yield wake_at
            fault_kind, wake_at = (
                rng.choice(("kill", "silent", "slow", "phase")),
                loop.now() + rng.uniform(1.0, 4.0),
            )
            if fault_kind == "kill":
                server.kill()
            elif fault_kind == "silent":
                server.fault_hook = lambda statement, phase: "silent"
            elif fault_kind == "slow":
                server.latency = 0.3
            else:
                phase, failure = rng.choice(("before", "after")), rng.choice(("silent", "reset"))
                server.fault_hook = lambda statement, current_phase, phase=phase, failure=failure: (  # type: ignore[misc]
                    failure if current_phase == phase and rng.random() < 0.5 else ""
                )
            while loop.now() < wake_at:
                yield wake_at
            server.fault_hook, server.latency = lambda statement, phase: "", STATEMENT_TIME
            if server.listener is None:
                server.start(server.port)

    def start_faults(first_order: dict[str, Any]) -> None:
        for server in servers:
            loop.spawn(inject_faults(server, random.Random(rng.random())))

    Orders(loop, start_faults)
    loop.run()
    print(
        json.dumps(
            dict(
                Counter(
                    match[1]
                    for database in servers
                    for statement in database.executed
                    if (match := STATEMENT_ID.search(statement))
                )
            )
        )
    )


class Client(threading.Thread):
    """Sends statements one after another and records the outcome of each."""

    def __init__(self, ports: list[int], ids: list[int], interval: float, seed: int, reads: float) -> None:
        """Send `reads` idempotent statements, on average, per non-idempotent one."""
        super().__init__(daemon=True)
        self.ports, self.ids, self.interval, self.rng = ports, ids, interval, random.Random(seed)
        self.reads, self.read_outcomes = reads, Counter[str]()
        self.outcomes: dict[int, str] = {}
        self.durations: list[float] = []
        self.connection: Any = None

    def run(self) -> None:
        """Send all statements, each when it is due."""
        due = time.monotonic()
        for statement_id in self.ids:
            time.sleep(max(0.0, due - time.monotonic()))
            due += self.rng.expovariate(1 / self.interval)
            if self.rng.random() < self.reads:
                self.read_outcomes[self.run_statement(f"SELECT {statement_id}")] += 1
            started = time.monotonic()
            for _ in range(2):
                self.outcomes[statement_id] = self.run_statement(
                    f"INSERT INTO exams (k) VALUES ('id{statement_id}')"
                )
                if (
                    self.outcomes[statement_id] != "rejected"
                    or time.monotonic() - started > LATENCY_OBJECTIVE
                ):
                    break
                time.sleep(0.05)
            self.durations.append(time.monotonic() - started)

    def run_statement(self, sql: str) -> str:
        """Run a statement and return its outcome."""
        try:
            if self.connection is None:
                self.connection = pymysql.connect(
                    host="127.0.0.1",
                    port=self.rng.choice(self.ports),
                    user=USER,
                    password=PASSWORD,
                    database=DATABASE,
                    autocommit=None,
                    read_timeout=2 * EXPIRY,
                    connect_timeout=2,
                )
            with self.connection.cursor() as cursor:
                cursor.execute(sql)
            return "finished"
        except pymysql.err.OperationalError as error:
            code = error.args[0]
            if code in (1213, 1317):
                return "rejected" if code == 1213 else "terminated"
            self.connection = None
            # 2003: the connection failed, so the statement never ran.
            return "rejected" if code == 2003 else "lost"
        except (pymysql.err.Error, OSError):
            self.connection = None
            return "lost"


def trial(
    statements: int, clients: int, seconds: float, seed: int, reads: float, fronts: Sequence[Path] = (ROOT,)
) -> dict[str, Any]:
    """Run the clients against one configuration and return the outcomes and run counts.

    `fronts` are the roots of the builds that serve one after another, each starting before its predecessor
    ends. With none, clients pick a server themselves.
    """
    servers = subprocess.Popen(
        [sys.executable, "-m", __spec__.name, "--databases", "--seed", str(seed), "--seconds", str(seconds)],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert servers.stdin is not None and servers.stdout is not None
    ports = json.loads(servers.stdout.readline())
    with tempfile.TemporaryDirectory(prefix="rainspindle-mysql-") as folder:
        processes = SidecarProcesses(Path(folder), ports, seed)
        try:
            if fronts:
                processes.start(fronts[0])
            servers.stdin.write("{}\n")
            servers.stdin.flush()
            id_groups = [list(range(index, statements, clients)) for index in range(clients)]
            threads = [
                Client(
                    [processes.port] if fronts else ports,
                    id_group,
                    seconds / max(len(id_group), 1),
                    seed * 1000 + index,
                    reads,
                )
                for index, id_group in enumerate(id_groups)
            ]
            for thread in threads:
                thread.start()
            for root in fronts[1:]:
                time.sleep(seconds / len(fronts))
                processes.replace(root)
            for thread in threads:
                thread.join(4 * seconds + 60)
        finally:
            processes.end()
            output, _ = servers.communicate(timeout=30)
    run_counts = {
        int(statement_id): count for statement_id, count in json.loads(output.splitlines()[-1]).items()
    }
    outcomes = {
        statement_id: outcome for thread in threads for statement_id, outcome in thread.outcomes.items()
    }
    durations = np.array([duration for thread in threads for duration in thread.durations])
    finished = np.array([outcome == "finished" for thread in threads for outcome in thread.outcomes.values()])
    return {
        "statements": len(outcomes),
        "ends": dict(Counter(outcomes.values())),
        "reads": dict(sum((thread.read_outcomes for thread in threads), Counter[str]())),
        "in_time": float((finished & (durations <= LATENCY_OBJECTIVE)).mean()),
        "ran_twice": sum(count > 1 for count in run_counts.values()),
        "rejected_and_ran": sum(outcomes[statement_id] == "rejected" for statement_id in run_counts),
        "lost_and_ran": sum(outcomes[statement_id] == "lost" for statement_id in run_counts),
        "finished_and_never_ran": sum(
            outcome == "finished" and statement_id not in run_counts
            for statement_id, outcome in outcomes.items()
        ),
        "p50_ms": round(1000 * float(np.quantile(durations, 0.5)), 2),
        "p99_ms": round(1000 * float(np.quantile(durations, 0.99)), 2),
        "longest_s": round(float(durations.max()), 2),
        "fronts": processes.statuses,
    }


class SidecarProcesses:
    """Sidecar processes that serve at one address one after another, and their files."""

    def __init__(self, folder: Path, ports: list[int], seed: int) -> None:
        self.folder, self.ports, self.seed, self.port = folder, ports, seed, reserve_port()
        self.process: subprocess.Popen[bytes] | None = None
        self.statuses: list[int] = []  # exit statuses of the processes that have ended
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
        """Return the platform configuration."""
        traffic_types = [
            {
                "name": name,
                "effect": effect,
                "promised-time": LATENCY_OBJECTIVE * 1000,
                "expiry": EXPIRY * 1000,
            }
            for name, effect in (("submit", "non_idempotent"), ("read", "read_like"))
        ]
        instances = [
            {
                "instanceId": f"e{index}",
                "hostPort": f"127.0.0.1:{port}",
                "zone": "a",
                "cell": 0,
                "weight": 1.0,
                "lifecycle": "SERVING",
                "startedAtMs": 0,
            }
            for index, port in enumerate(self.ports)
        ]
        return {
            "name": "trial",
            "listen": "127.0.0.1:0",
            "console": f"127.0.0.1:{console}",
            "discovery": "127.0.0.1:9",
            "seed": self.seed,
            "limits": {"cores": 1.0, "sockets": 1024},
            "known": {"generation": 1, "reset": True, "instances": instances},
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
                "traffic-types": traffic_types,
            },
        }

    def start(self, root: Path) -> None:
        """Start the build at `root` and wait until it is ready; a predecessor keeps running."""
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
        deadline = time.monotonic() + TIMEOUT
        while time.monotonic() < deadline and process.poll() is None:
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
        raise RuntimeError(
            f"the sidecar {process.pid} was not ready within {TIMEOUT} s; exit status: {process.poll()}"
        )

    def replace(self, root: Path) -> None:
        """Start the build at `root`, then end its predecessor."""
        predecessor = self.process
        try:
            self.start(root)
        finally:
            self.process, successor = predecessor, self.process
            self.end()
            self.process = successor

    def end(self) -> None:
        """Terminate the current process and record its exit status."""
        if self.process is not None:
            self.process.terminate()
            self.statuses.append(self.process.wait(TIMEOUT))


def main() -> int:
    """Run the trial from the command line; the exit status is 3 if a guarantee was violated."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--statements", type=int, default=20000)
    parser.add_argument("--clients", type=int, default=16)
    parser.add_argument("--seconds", type=float, default=80.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--reads", type=float, default=0.5, help="idempotent statements per non-idempotent one"
    )
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--databases", action="store_true", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.databases:
        run_databases(options.seed, options.seconds)
        return 0
    results = {
        name: trial(options.statements, options.clients, options.seconds, options.seed, options.reads, fronts)
        for name, fronts in (("front", (ROOT,)), ("random server", ()))
    }
    if options.json:
        print(json.dumps(results))
    for name, figures in results.items() if not options.json else ():
        print(name, figures)
    sidecar = results["front"]
    print(
        f"ran_twice={sidecar['ran_twice']} rejected_and_ran={sidecar['rejected_and_ran']} "
        f"finished_and_never_ran={sidecar['finished_and_never_ran']} in_time={sidecar['in_time']:.4f}"
    )
    return (
        3 if sidecar["ran_twice"] or sidecar["rejected_and_ran"] or sidecar["finished_and_never_ran"] else 0
    )


if __name__ == "__main__":
    sys.exit(main())
