"""A database server that speaks the MySQL wire protocol, as a process of its own.

    python database.py NAME PORT LOG

It keeps one table `answers (candidate, answer)` in each database, in memory. As MySQL documents it: a
prepared statement runs in the database that was the default when it was prepared; an error ends a text with
several statements and leaves an open transaction open; a connection that ends rolls its transaction back.
LOG gets a line for each statement that ran, with the database that it ran in, and for each commit.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import secrets
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from rainspindle.protocol.mysql import auth
from rainspindle.protocol.mysql.messages import (
    SUPPORTED_CAPABILITIES,
    Capability,
    Column,
    Command,
    Err,
    Greeting,
    Login,
    Ok,
    Prepared,
    Status,
    eof,
)
from rainspindle.protocol.mysql.wire import Cursor, PacketReader, lenenc, lenenc_bytes, packets

PASSWORD = b"secret-of-the-centre"
INSERT = re.compile(r"INSERT INTO (\w+) \(candidate, answer\) VALUES \('(.*?)', '(.*?)'\)$")
SELECT = re.compile(r"SELECT answer FROM (\w+) WHERE candidate = '(.*?)'$")


class FailedError(Exception):
    """A statement fails with an ERR packet."""


class Server:
    """One server."""

    def __init__(self, name: str, log: Any) -> None:
        self.name, self.log = name, log
        self.committed: dict[str, list[tuple[str, str]]] = {}
        self.connections = 0

    def note(self, text: str) -> None:
        """Writes a line to the log."""
        self.log.write(f"{time.time():.4f} {self.name} {text}\n")
        self.log.flush()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        self.connections += 1
        session = Session(self, self.connections, reader, writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await session.run()
        if session.pending is not None:
            self.note(f"connection {session.number} ended, rolled back {session.pending}")
        writer.close()


class Session:
    """One connection."""

    def __init__(
        self, server: Server, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.server, self.number, self.reader, self.writer = server, number, reader, writer
        self.packets = PacketReader(1 << 24)
        self.database = ""
        self.capabilities = Capability(0)
        self.pending: list[tuple[str, str, str]] | None = None  # rows of the open transaction
        self.prepared: dict[int, tuple[str, str]] = {}
        self.last = 0

    async def payload(self) -> bytes:
        """Reads a payload."""
        while (payload := self.packets.payload()) is None:
            data = await self.reader.read(65536)
            if not data:
                raise OSError("ended")
            self.packets.receive(data)
        return payload

    def status(self, more: bool = False) -> Status:
        """Returns the status flags."""
        status = Status.AUTOCOMMIT
        if self.pending is not None:
            status |= Status.IN_TRANSACTION
        return status | Status.MORE_RESULTS if more else status

    async def run(self) -> None:
        """Logs a client in and runs its commands."""
        nonce = bytes(1 + byte % 255 for byte in secrets.token_bytes(20))
        greeting = Greeting("8.0.0", self.number, nonce, SUPPORTED_CAPABILITIES, auth.NATIVE)
        self.writer.write(packets(greeting.encode(), 0))
        self.packets.restart(1)
        login = Login.decode(await self.payload())
        self.capabilities, self.database = login.capabilities, login.database
        response, sequence = login.auth_response, 2
        if login.plugin != auth.NATIVE:
            self.writer.write(packets(b"\xfe" + auth.NATIVE.encode() + b"\0" + nonce + b"\0", 2))
            self.packets.restart(3)
            response, sequence = await self.payload(), 4
        if not auth.verify_response(auth.NATIVE, response, PASSWORD, nonce):
            self.writer.write(packets(Err(1045, "28000", "Access denied").encode(), sequence))
            return
        self.writer.write(packets(Ok().encode(self.capabilities), sequence))
        while True:
            self.packets.restart()
            payload = await self.payload()
            command, body = Command(payload[0]), payload[1:]
            if command is Command.QUIT:
                return
            await self.command(command, body)

    def ok(self, sequence: int = 1, more: bool = False) -> bytes:
        """Encodes an OK packet."""
        return packets(Ok(status=self.status(more)).encode(self.capabilities), sequence)

    async def command(self, command: Command, body: bytes) -> None:
        """Runs one command."""
        if command is Command.INIT_DB:
            self.database = body.decode()
        elif command is Command.RESET_CONNECTION:
            self.pending = None
            self.prepared.clear()
        elif command is Command.CLOSE:
            self.prepared.pop(Cursor(body).number(4), None)
            return
        elif command is Command.PREPARE:
            self.last += 1
            self.prepared[self.last] = body.decode(), self.database
            self.prepare(body.decode())
            return
        elif command is Command.EXECUTE:
            self.execute(Cursor(body))
            return
        elif command is Command.QUERY:
            sequence, texts = 1, [text.strip() for text in body.decode().split(";") if text.strip()]
            for index, text in enumerate(texts):
                more = index + 1 < len(texts)
                try:
                    sequence = self.statement(text, self.database, sequence, more, binary=False)
                except FailedError as error:
                    self.server.note(f"connection {self.number} fails: {text}")
                    err = Err(1205, "HY000", str(error))
                    self.writer.write(packets(err.encode(), sequence))
                    return
            return
        self.writer.write(self.ok())

    def prepare(self, sql: str) -> None:
        """Answers COM_STMT_PREPARE."""
        parameters, columns = sql.count("?"), int(sql.startswith("SELECT"))
        out, sequence = packets(Prepared(self.last, columns, parameters).encode(), 1), 2
        for count in (parameters, columns):
            for _ in range(count):
                out += packets(Column("x").encode(), sequence)
                sequence += 1
            if count and not self.capabilities & Capability.DEPRECATE_EOF:
                out += packets(eof(self.status()), sequence)
                sequence += 1
        self.writer.write(out)

    def execute(self, cursor: Cursor) -> None:
        """Runs a prepared statement, all of whose parameters are strings."""
        sql, database = self.prepared[cursor.number(4)]
        cursor.take(5)
        parameters = sql.count("?")
        values = []
        if parameters:
            cursor.take((parameters + 7) // 8)
            if cursor.number(1):
                cursor.take(2 * parameters)
            values = [cursor.lenenc_bytes().decode() for _ in range(parameters)]
        for value in values:
            sql = sql.replace("?", f"'{value}'", 1)
        try:
            self.statement(sql, database, 1, more=False, binary=True)
        except FailedError as error:
            self.writer.write(packets(Err(1205, "HY000", str(error)).encode(), 1))

    def statement(self, sql: str, database: str, sequence: int, more: bool, binary: bool) -> int:
        """Runs one statement in a database and writes its answer; returns the next sequence number."""
        word = sql.split()[0].upper()
        if word in ("BEGIN", "START"):
            self.pending = []
        elif word == "COMMIT":
            for place, candidate, answer in self.pending or ():
                self.commit(place, candidate, answer)
            self.pending = None
        elif word == "ROLLBACK":
            self.pending = None
        elif match := INSERT.match(sql):
            if match[1] == "locked":
                raise FailedError("Lock wait timeout exceeded; try restarting transaction")
            self.server.note(f"connection {self.number} database {database} runs {sql}")
            if self.pending is None:
                self.commit(database, match[2], match[3])
            else:
                self.pending.append((database, match[2], match[3]))
        elif match := SELECT.match(sql):
            self.server.note(f"connection {self.number} database {database} runs {sql}")
            rows = [answer for name, answer in self.server.committed.get(database, []) if name == match[2]]
            return self.rows(rows, sequence, more, binary)
        elif sql == "SELECT @@hostname":
            return self.rows([self.server.name], sequence, more, binary)
        elif word != "SET":
            raise FailedError(f"this stand-in does not know {sql}")
        self.writer.write(self.ok(sequence, more))
        return sequence + 1

    def commit(self, database: str, candidate: str, answer: str) -> None:
        """Makes a row permanent."""
        self.server.committed.setdefault(database, []).append((candidate, answer))
        self.server.note(f"connection {self.number} database {database} committed {candidate}={answer}")

    def rows(self, values: list[str], sequence: int, more: bool, binary: bool) -> int:
        """Writes a result set of one column."""
        deprecate = bool(self.capabilities & Capability.DEPRECATE_EOF)
        out = packets(lenenc(1), sequence) + packets(Column("answer").encode(), sequence + 1)
        sequence += 2
        if not deprecate:
            out += packets(eof(self.status(more)), sequence)
            sequence += 1
        for value in values:
            row = lenenc_bytes(value.encode())
            out += packets(b"\0\0" + row if binary else row, sequence)
            sequence += 1
        end = (
            Ok(status=self.status(more)).encode(self.capabilities, 0xFE)
            if deprecate
            else eof(self.status(more))
        )
        self.writer.write(out + packets(end, sequence))
        return sequence + 1


async def main() -> None:
    """Serves until it is killed."""
    name, port, path = sys.argv[1:]
    with Path(path).open("a", encoding="utf-8") as log:
        server = await asyncio.start_server(Server(name, log).serve, "127.0.0.1", int(port))
        async with server:
            await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
