"""A prepared statement is issued after its server has died; the next server has it for another database."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common import bench
from common.database import PASSWORD
from common.mysqlclient import USER, MysqlClient

SERVERS = 4  # one of them dies: a quarter
SESSIONS = 16
INSERT = "INSERT INTO answers (candidate, answer) VALUES (?, ?)"
SELECT = "SELECT answer FROM answers WHERE candidate = ?"
RUN = "exec {}/bin/python -O -m rainspindle mysql --config {}"  # the deploy file's, with the other command


class Database:
    """A database server, a process of its own."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name, self.address, self.path = name, bench.free_address(), folder / f"{name}.log"
        program = Path(bench.__file__).with_name("database.py")
        port = self.address.rpartition(":")[2]
        self.process = subprocess.Popen([sys.executable, str(program), name, port, str(self.path)])

    def end(self) -> None:
        """Kills it."""
        self.process.kill()
        self.process.wait()


def environment() -> str:
    """Returns the environment that has what requirements-mysql.txt names."""
    for name in (".venv", ".venv-dev"):
        python = bench.ROOT / name / "bin" / "python"
        if python.exists() and not subprocess.call([python, "-c", "import msgspec, sqlglot"]):
            return name
    raise bench.CannotRunError("requirements-mysql.txt is not installed; review/build.sh does that")


async def logged_in(address: str) -> MysqlClient:
    """Returns a new session whose statements are answered."""
    until = time.monotonic() + 20.0
    while time.monotonic() < until:
        client = MysqlClient()
        try:
            await client.connect(address)
            error, _ = await client.query("SELECT @@hostname")
            if error is None:
                return client
        except OSError:
            pass
        await asyncio.sleep(0.1)
    raise bench.CannotRunError("no session came up")


async def case(record: bench.Record, folder: Path, to_end: list[Any]) -> bool:
    """Runs the case; returns whether each statement ran in the database of its session."""
    databases = [Database(f"db-{number}", folder) for number in range(SERVERS)]
    to_end.extend(databases)
    discovery = bench.Discovery([bench.line(database.name, database.address) for database in databases])
    await discovery.start()
    lanes = [
        bench.traffic_type("read-answer", "read_like", 600.0, 2500.0),
        bench.traffic_type("submit-exam", "non_idempotent", 600.0, 2500.0),
    ]
    listen = bench.free_address()
    config = {
        "name": "register",
        "listen": bench.free_address(),
        "discovery": discovery.address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "settings": bench.settings(lanes),
    }
    password = folder / "centre.password"
    password.write_bytes(PASSWORD)
    password.chmod(0o600)
    (folder / "mysql.toml").write_text(
        f"""[mysql]
listen = "{listen}"
platform = "register.json"
default = "submit-exam"

[[users]]
name = "{USER}"
password = "centre.password"

[[rules]]
kinds = ["select", "show"]
traffic_type = "read-answer"
key = "session"
""",
        encoding="utf-8",
    )
    run = RUN.format(environment(), folder / "mysql.toml")
    to_end.append(bench.Sidecar(folder, "register", config, folder / "tmp", run))
    sessions = []
    for _ in range(SESSIONS):
        client = await logged_in(listen)
        _, (server,) = await client.query("SELECT @@hostname")
        sessions.append((client, server))
    home = sessions[0][1]
    record.say(f"servers of the sessions: {[server for _, server in sessions]}")
    # The sessions at one server belong to one centre, all others to the other centre: calm, they never meet.
    centres = [("centre_a" if server == home else "centre_b", client) for client, server in sessions]
    if len({centre for centre, _ in centres}) < 2:
        raise bench.CannotRunError("all sessions are at one server")
    statements = {}
    expected: dict[str, str] = {}  # the database of each candidate
    foreign = refused = 0
    for centre, client in centres:
        await client.use(centre)
        statements[client] = await client.prepare(INSERT), await client.prepare(SELECT)

    async def submit(number: int, centre: str, client: MysqlClient) -> None:
        nonlocal foreign, refused
        insert, select = statements[client]
        # Each centre numbers its candidates by itself.
        candidate, answer = f"candidate-{number}", f"{centre}-{number}-{time.monotonic():.4f}"
        expected[answer] = centre
        error, _ = await client.execute(insert, candidate, answer)
        record(f"{centre}: INSERT {candidate} {answer}: {error or 'OK'}")
        refused += error is not None
        error, values = await client.execute(select, candidate)
        record(f"{centre}: SELECT {candidate}: {error or values}")
        wrong = [value for value in values if not value.startswith(centre)]
        foreign += bool(wrong)
        if wrong:
            record.say(f"{centre} asked for its {candidate} and got {wrong}")

    for number in range(1, 4):
        for centre, client in centres:
            await submit(number, centre, client)
    if bench.TROUBLE:
        record.say(f"{home} is killed")
        next(database for database in databases if database.name == home).end()
    for number in range(1, 4):
        for centre, client in centres:
            if centre == "centre_a":
                await submit(number, centre, client)
    for client, _ in sessions:
        client.close()
    await asyncio.sleep(0.2)
    misplaced = 0
    for database in databases:
        for text in database.path.read_text(encoding="utf-8").splitlines():
            if " committed " in text:
                place = text.split(" database ")[1].split()[0]
                answer = text.rpartition("=")[2]
                if expected[answer] != place:
                    misplaced += 1
                    record.say(f"in the wrong database: {text}")
    record.say(f"foreign reads {foreign}, rows in the wrong database {misplaced}, refused {refused}")
    return not foreign and not misplaced


bench.main(case, Path(__file__).resolve().parent)
