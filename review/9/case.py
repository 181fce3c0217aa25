"""A prepared statement whose key has moved runs in the database of another client."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from pathlib import Path

from review.common2.front import Group
from review.common2.mysql import Client, Server, Session
from review.common2.platform import TROUBLE, CannotRunError, Record, main

SERVERS, KEYS = 4, 3  # one of four servers dies: a quarter
READ = "SELECT answer FROM answers WHERE candidate = ?"
WRITE = "INSERT INTO answers (candidate, answer) VALUES (?, ?)"


class Where:
    """Which server ran the last statement."""

    def __init__(self, servers: list[Server]) -> None:
        self.last = ""
        for server in servers:
            server.ran = self.hook(server.name)

    def hook(self, name: str) -> Callable[[Session, str], None]:
        """Returns what a server calls."""

        def ran(session: Session, statement: str) -> None:
            self.last = name

        return ran


async def sessions_at(group: Group, where: Where, database: str, wanted: set[str]) -> list[Client]:
    """Returns a client for each wanted server, whose statements without a key go there."""
    found: dict[str, Client] = {}
    for _ in range(200):
        client = await group.client(database)
        await client.query("SELECT 1")
        if where.last in wanted and where.last not in found:
            found[where.last] = client
        else:
            client.close()
        if found.keys() == wanted:
            return list(found.values())
    raise CannotRunError("no session for each server")


async def case(record: Record, folder: Path) -> list[str]:
    """Two centres, each with a database of its own, prepare the same texts; then a server dies."""
    group, breaks = Group(record, folder, SERVERS), list[str]()
    try:
        await group.start()
        where = Where(group.servers)
        first, others = "s0", {server.name for server in group.servers[1:]}
        probe = await group.client("casablanca")
        keys: dict[str, list[str]] = {server.name: [] for server in group.servers}
        for number in range(400):
            if all(len(found) >= KEYS for found in keys.values()):
                break
            await probe.query(f"SELECT answer FROM answers WHERE candidate = '{number}'")
            keys[where.last].append(str(number))
        for found in keys.values():
            for key in found:
                for city in ("casablanca", "rabat"):
                    row = {"candidate": key, "answer": f"{city}-{key}"}
                    group.tables.committed(city, "answers").append(row)
        # The centre of Casablanca prepares and asks at all servers but one, that of Rabat at that one.
        for client in await sessions_at(group, where, "casablanca", others):
            await client.prepare(READ)
            await client.prepare(WRITE)
            for name in others:
                for key in keys[name][:KEYS]:
                    reply = await client.execute(READ, key)
                    if reply.rows != [f"casablanca-{key}"]:
                        raise CannotRunError(f"Casablanca read {reply.rows} before anything happened")
                    await client.execute(WRITE, f"{key}-own", "casablanca")
        (rabat,) = await sessions_at(group, where, "rabat", {first})
        await rabat.prepare(READ)
        await rabat.prepare(WRITE)
        submitted = 0
        for turn in range(2):
            if turn and TROUBLE:
                group.servers[0].die()
                await asyncio.sleep(0.5)
            for key in keys[first][:KEYS]:
                reply = await rabat.execute(READ, key)
                if not reply.code and not (reply.rows and all(row.startswith("rabat") for row in reply.rows)):
                    breaks.append(f"Rabat's client asked for {key} and got {reply.rows}")
                submitted += 1
                exam = {"candidate": key, "answer": f"rabat-exam-{submitted}"}
                reply = await rabat.execute(WRITE, *exam.values())
                if not reply.code and exam not in group.tables.committed("rabat", "answers"):
                    breaks.append(
                        f"Rabat's submission {exam} was answered with OK and is not in its database"
                    )
                if exam in group.tables.committed("casablanca", "answers"):
                    breaks.append(f"Rabat's submission {exam} is in Casablanca's database")
        group.running()
    finally:
        await group.end()
    return breaks


if __name__ == "__main__":
    sys.exit(main(__file__, case))
