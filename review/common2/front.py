"""Starts the MySQL front before a group of database servers."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

from .mysql import Client, Server, Tables
from .platform import CannotRunError, Discovery, Program, Record, config, entry, free_port, run_line

USER, PASSWORD = "centre", b"a password of the case"
RULES = """
[[rules]]
kinds = ["insert"]
tables = ["answers"]
traffic_type = "submit-exam"
key = "column:candidate"

[[rules]]
kinds = ["select", "show"]
traffic_type = "save-answer"
key = "column:candidate"
"""


class Group:
    """Database servers with the same tables, their list, and one front."""

    def __init__(self, record: Record, folder: Path, count: int) -> None:
        self.record, self.folder, self.tables = record, folder, Tables()
        self.servers = [Server(f"s{number}", self.tables, record) for number in range(count)]
        self.port, self.console = free_port(), free_port()
        self.program: Program | None = None
        self.clients = 0

    async def start(self, **changes: Any) -> None:
        """Starts servers, list and front, as deploy/mysql.toml does with rules of an operator."""
        for server in self.servers:
            await server.start()
        self.discovery = Discovery(self.record, [entry(server.name, server.port) for server in self.servers])
        await self.discovery.start()
        console = {"console": f"127.0.0.1:{self.console}"}
        (self.folder / "config.json").write_text(
            json.dumps(config("n1", self.port, self.discovery, **console, **changes))
        )
        secret = self.folder / "centre.password"
        secret.write_bytes(PASSWORD)
        secret.chmod(0o600)
        head = (
            f'[mysql]\nlisten = "127.0.0.1:{self.port}"\nplatform = "config.json"\ndefault = "submit-exam"\n'
        )
        users = f'[[users]]\nname = "{USER}"\npassword = "centre.password"\n'
        (self.folder / "mysql.toml").write_text(head + users + RULES)
        command = run_line(f"mysql --config {self.folder / 'mysql.toml'}")
        self.program = Program(command, {"TMPDIR": str(self.folder)}, self.folder / "log")
        await self.program.until_logged("event=serving")

    async def client(self, database: str) -> Client:
        """Returns a client that has logged in."""
        self.clients += 1
        client = Client(self.record, f"client {self.clients}")
        await client.connect(self.port, USER, PASSWORD, database)
        return client

    def running(self) -> Program:
        """Returns the front's process. Raises CannotRunError where it has ended."""
        if self.program is None or self.program.process.poll() is not None:
            raise CannotRunError("the front has ended")
        return self.program

    async def end(self) -> None:
        """Ends all that was started."""
        if self.program is not None:
            self.program.end()
        for server in self.servers:
            if server.server is not None:
                server.server.close()
            for writer in list(server.writers):
                writer.transport.abort()
        if self.program is not None:
            self.discovery.end()
        await asyncio.sleep(0.2)
