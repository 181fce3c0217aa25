"""Stand-ins of clients and servers of the MySQL wire protocol, by MySQL's published description.

A server keeps the rules that a client relies on: what a transaction wrote is there for others once it is
committed, and is undone where the connection ends before that; a prepared statement belongs to the database
that was the default one when it was prepared. All servers of a group have the same tables.
"""

from __future__ import annotations

import asyncio
import hashlib
import os
import re
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

from .platform import Record

LONGEST = 0xFFFFFF  # bytes of a packet's payload; one of this size is followed by another
IN_TRANSACTION, AUTOCOMMIT, MORE_RESULTS = 1, 2, 8
# Long password, found rows, with database, protocol 4.1, transactions, secure connection, several statements
# and results, plugins.
CAPABILITIES = 1 | 1 << 1 | 1 << 3 | 1 << 9 | 1 << 13 | 1 << 15 | 1 << 16 | 1 << 17 | 1 << 18 | 1 << 19
QUIT, INIT_DB, QUERY, PING, PREPARE, EXECUTE, CLOSE, RESET_CONNECTION = 1, 2, 3, 14, 22, 23, 25, 31
INSERT = re.compile(r"INSERT INTO (\w+) \(([\w, ]+)\) VALUES \((.*)\)$", re.I)
SELECT = re.compile(r"SELECT (\w+) FROM (\w+) WHERE (\w+) = (.+)$", re.I)


def lenenc(data: bytes) -> bytes:
    """Encodes a string with its length, below 251 bytes."""
    return bytes((len(data),)) + data


def packet(payload: bytes, sequence: int) -> bytes:
    """Frames a payload."""
    return struct.pack("<I", len(payload) | (sequence & 0xFF) << 24) + payload


def packets(payload: bytes) -> bytes:
    """Frames a payload that may need several packets, numbered from 0."""
    out, sequence = b"", 0
    while len(payload) >= LONGEST:
        out += packet(payload[:LONGEST], sequence)
        payload, sequence = payload[LONGEST:], sequence + 1
    return out + packet(payload, sequence)


def renumbered(out: bytes, first: int) -> bytes:
    """Numbers packets that begin with 1 from `first` on."""
    shifted, at = bytearray(out), 0
    while at < len(shifted):
        (head,) = struct.unpack_from("<I", shifted, at)
        shifted[at + 3] = (shifted[at + 3] + first - 1) & 0xFF
        at += 4 + (head & LONGEST)
    return bytes(shifted)


async def read_payload(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Returns the number of the last packet and the next payload, joined from its packets."""
    parts = []
    while True:
        sequence, part = await read_packet(reader)
        parts.append(part)
        if len(part) < LONGEST:
            return sequence, b"".join(parts)


async def read_packet(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Returns the sequence number and the payload of the next packet."""
    (head,) = struct.unpack("<I", await reader.readexactly(4))
    return head >> 24, await reader.readexactly(head & LONGEST)


Row = dict[str, str]


class Tables:
    """The tables that all servers of a group have, by database and name."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], list[Row]] = {}

    def committed(self, database: str, table: str) -> list[Row]:
        """Returns the rows of a table that are there for everyone."""
        return self.rows.setdefault((database, table), [])


class StatementError(Exception):
    """A statement that a server refuses."""

    def __init__(self, code: int, state: str, text: str) -> None:
        super().__init__(text)
        self.payload = b"\xff" + struct.pack("<H", code) + b"#" + state.encode() + text.encode()


@dataclass
class Session:
    """The state of one connection at a server."""

    number: int
    database: str = ""
    in_transaction: bool = False
    uncommitted: list[tuple[str, str, Row]] = field(default_factory=list)
    prepared: dict[int, tuple[str, str]] = field(default_factory=dict)  # with the database of that time
    last_prepared: int = 0

    def status(self, more: bool = False) -> int:
        """Returns the status flags."""
        return AUTOCOMMIT | (IN_TRANSACTION if self.in_transaction else 0) | (MORE_RESULTS if more else 0)


class Server:
    """One database server."""

    def __init__(self, name: str, tables: Tables, record: Record) -> None:
        self.name, self.tables, self.record = name, tables, record
        self.fails: Callable[[str], bool] = lambda statement: False  # which statements it fails at once
        self.ran: Callable[[Session, str], None] = lambda session, statement: None
        self.writers: set[asyncio.StreamWriter] = set()
        self.sessions = 0
        self.work = 0.0  # seconds of each command
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens, at the same port after a restart."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def die(self) -> None:
        """Refuses new connections and ends the open ones, as a process that dies."""
        self.record.add(self.name, "dies")
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection, and rolls back what it leaves uncommitted."""
        self.writers.add(writer)
        self.sessions += 1
        session = Session(self.sessions)
        try:
            await self.log_in(reader, writer)
            while True:
                last, payload = await read_payload(reader)
                if payload[0] == QUIT:
                    break
                await asyncio.sleep(self.work)
                out = self.command(session, payload)
                if out:
                    writer.write(renumbered(out, last + 1))
                    await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        if session.uncommitted:
            self.record.add(self.name, f"connection {session.number} ends: rolls back {session.uncommitted}")
        self.writers.discard(writer)
        writer.close()

    async def log_in(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Lets everyone in."""
        nonce = bytes(1 + byte % 255 for byte in os.urandom(20))
        greeting = b"\x0a8.0.36-stand-in\0" + struct.pack("<I", self.sessions) + nonce[:8] + b"\0"
        greeting += struct.pack("<HBHH", CAPABILITIES & 0xFFFF, 45, AUTOCOMMIT, CAPABILITIES >> 16)
        greeting += bytes((21,)) + bytes(10) + nonce[8:] + b"\0mysql_native_password\0"
        writer.write(packet(greeting, 0))
        sequence, _ = await read_packet(reader)
        writer.write(packet(b"\0\0\0" + struct.pack("<HH", AUTOCOMMIT, 0), sequence + 1))

    def command(self, session: Session, payload: bytes) -> bytes:
        """Runs a command and returns its answer."""
        kind, body = payload[0], payload[1:]
        if kind == PREPARE:
            session.last_prepared += 1
            number = session.last_prepared + 1000 * session.number
            session.prepared[number] = body.decode(), session.database
            return self.prepared(number, body.decode(), session)
        if kind == CLOSE:
            session.prepared.pop(struct.unpack("<I", body[:4])[0], None)
            return b""
        if kind == INIT_DB:
            session.database = body.decode()
        elif kind == RESET_CONNECTION:
            session.uncommitted, session.in_transaction = [], False
            session.prepared.clear()
        elif kind == QUERY:
            return self.query(session, body.decode())
        elif kind == EXECUTE:
            return self.execute(session, body)
        return packet(self.ok(session), 1)

    def ok(self, session: Session, affected: int = 0, more: bool = False) -> bytes:
        """Returns an OK packet."""
        return bytes((0, affected, 0)) + struct.pack("<HH", session.status(more), 0)

    def prepared(self, number: int, sql: str, session: Session) -> bytes:
        """Returns the answer to a PREPARE."""
        parameters, columns = sql.count("?"), int(sql.upper().startswith("SELECT"))
        out = packet(b"\0" + struct.pack("<IHHBH", number, columns, parameters, 0, 0), 1)
        sequence = 2
        for count in (parameters, columns):
            for _ in range(count):
                out += packet(self.column("?"), sequence)
                sequence += 1
            if count:
                out += packet(b"\xfe" + struct.pack("<HH", 0, session.status()), sequence)
                sequence += 1
        return out

    def column(self, name: str) -> bytes:
        """Returns a column definition."""
        texts = b"".join(lenenc(text) for text in (b"def", b"", b"", b"", name.encode(), name.encode()))
        return texts + b"\x0c" + struct.pack("<HIBHB", 45, 1024, 0xFD, 0, 0) + b"\0\0"

    def query(self, session: Session, text: str) -> bytes:
        """Runs the statements of a text one by one; the first that fails ends it."""
        out, sequence = b"", 1
        statements = [part.strip() for part in text.split(";") if part.strip()]
        for index, statement in enumerate(statements):
            more = index + 1 < len(statements)
            try:
                result = self.run(session, statement, session.database)
            except StatementError as error:
                return out + packet(error.payload, sequence)
            part, sequence = self.encode(session, result, sequence, more, binary=False)
            out += part
        return out

    def execute(self, session: Session, body: bytes) -> bytes:
        """Runs a prepared statement, in the database in which it was prepared."""
        number = struct.unpack("<I", body[:4])[0]
        if number not in session.prepared:
            return packet(StatementError(1243, "HY000", "Unknown prepared statement handler").payload, 1)
        sql, database = session.prepared[number]
        parameters = sql.count("?")
        rest = body[9:]
        if parameters:
            rest = rest[(parameters + 7) // 8 + 1 + 2 * parameters :]
            values = []
            for _ in range(parameters):  # all are strings
                values.append(rest[1 : 1 + rest[0]].decode())
                rest = rest[1 + rest[0] :]
            parts = sql.split("?")
            quoted = [f"'{value}'" for value in values]
            sql = "".join(part + value for part, value in zip(parts, [*quoted, ""], strict=True))
        try:
            result = self.run(session, sql, database)
        except StatementError as error:
            return packet(error.payload, 1)
        return self.encode(session, result, 1, more=False, binary=True)[0]

    def run(self, session: Session, statement: str, database: str) -> list[str] | int:
        """Runs one statement: returns the rows of one column, or how many rows it changed."""
        statement = re.sub(r"/\*.*?\*/", "", statement).strip()
        if self.fails(statement):
            self.record.add(self.name, f"connection {session.number} fails {statement!r}")
            raise StatementError(1030, "HY000", "Got error 28 from storage engine")
        word = statement.split(None, 1)[0].upper()
        self.ran(session, statement)
        if word in ("BEGIN", "START"):
            self.commit(session)  # it commits a transaction that is open
            session.in_transaction = True
        elif word in ("COMMIT", "ROLLBACK"):
            if word == "COMMIT":
                self.commit(session)
            session.uncommitted, session.in_transaction = [], False
        elif word == "USE":
            session.database = statement.split()[1]
        elif word == "INSERT" and (insert := INSERT.match(statement)):
            values = [value.strip().strip("'") for value in insert[3].split(",")]
            row = dict(zip([name.strip() for name in insert[2].split(",")], values, strict=True))
            self.record.add(
                self.name,
                f"connection {session.number} runs {statement[:100]!r} in {database!r}"
                + (" in an open transaction" if session.in_transaction else ""),
            )
            if session.in_transaction:
                session.uncommitted.append((database, insert[1], row))
            else:
                self.tables.committed(database, insert[1]).append(row)
            return 1
        elif word == "SELECT" and (select := SELECT.match(statement)):
            own = [row for at, name, row in session.uncommitted if (at, name) == (database, select[2])]
            wanted = select[4].strip().strip("'")
            self.record.add(self.name, f"connection {session.number} runs {statement!r} in {database!r}")
            return [
                row[select[1]]
                for row in [*self.tables.committed(database, select[2]), *own]
                if row.get(select[3]) == wanted
            ]
        elif word not in ("SET", "SELECT"):
            raise StatementError(1064, "42000", "You have an error in your SQL syntax")
        return 0

    def commit(self, session: Session) -> None:
        """Makes what a transaction wrote be there for others."""
        for database, table, row in session.uncommitted:
            self.tables.committed(database, table).append(row)
        session.uncommitted = []

    def encode(
        self, session: Session, result: list[str] | int, sequence: int, more: bool, binary: bool
    ) -> tuple[bytes, int]:
        """Encodes a result; returns it with the next sequence number."""
        if isinstance(result, int):
            return packet(self.ok(session, result, more), sequence), sequence + 1
        eof = b"\xfe" + struct.pack("<HH", 0, session.status(more))
        rows = [(b"\0\0" if binary else b"") + lenenc(value.encode()) for value in result]
        out = b""
        for payload in (b"\x01", self.column("value"), eof, *rows, eof):
            out += packet(payload, sequence)
            sequence += 1
        return out, sequence


@dataclass
class Reply:
    """What a client got: the rows of the last result, or an error; neither where the connection ended."""

    error: str = ""
    code: int = 0
    rows: list[str] = field(default_factory=list)
    status: int = 0


class Client:
    """A client: one connection, one command at a time."""

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self.statements: dict[str, tuple[int, int]] = {}

    async def connect(self, port: int, user: str, password: bytes, database: str) -> None:
        """Logs in."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        _, greeting = await self.read()
        at = greeting.index(b"\0", 1) + 5
        nonce = greeting[at : at + 8] + greeting[at + 27 : at + 39]
        once = hashlib.sha1(password).digest()
        mask = hashlib.sha1(nonce + hashlib.sha1(once).digest()).digest()
        proof = bytes(left ^ right for left, right in zip(once, mask, strict=True))
        login = struct.pack("<IIB", CAPABILITIES, 1 << 24, 45) + bytes(23) + user.encode() + b"\0"
        login += lenenc(proof) + database.encode() + b"\0mysql_native_password\0"
        self.writer.write(packet(login, 1))
        _, answer = await self.read()
        if answer[0] != 0:
            raise ConnectionError(f"log-in refused: {answer!r}")

    async def read(self) -> tuple[int, bytes]:
        """Returns the next packet; ConnectionError where none comes."""
        try:
            return await asyncio.wait_for(read_packet(self.reader), 10.0)
        except asyncio.IncompleteReadError:
            raise ConnectionError("the connection ended") from None

    async def query(self, sql: str) -> Reply:
        """Runs a text."""
        return await self.ask(sql, bytes((QUERY,)) + sql.encode())

    async def prepare(self, sql: str) -> None:
        """Prepares a statement."""
        self.writer.write(packet(bytes((PREPARE,)) + sql.encode(), 0))
        _, answer = await self.read()
        if answer[0] != 0:
            raise ConnectionError(f"not prepared: {answer[9:]!r}")
        number, columns, parameters = struct.unpack("<IHH", answer[1:9])
        for count in (parameters, columns):
            for _ in range(count + bool(count)):
                await self.read()
        self.statements[sql] = number, parameters

    async def execute(self, sql: str, *values: str) -> Reply:
        """Runs a prepared statement with these strings."""
        number, parameters = self.statements[sql]
        body = bytes((EXECUTE,)) + struct.pack("<IBI", number, 0, 1)
        body += bytes((parameters + 7) // 8) + b"\1" + b"\xfd\0" * parameters
        body += b"".join(lenenc(value.encode()) for value in values)
        return await self.ask(f"{sql} {values}", body, binary=True)

    async def ask(self, what: str, command: bytes, binary: bool = False) -> Reply:
        """Sends a command, and reads its answer to the end."""
        self.record.add(self.name, f"sends {what[:100]}")
        self.writer.write(packets(command))
        reply = Reply()
        while True:
            _, payload = await self.read()
            if payload[0] == 0xFF:
                reply.code = struct.unpack("<H", payload[1:3])[0]
                reply.error = payload[9:].decode()
                break
            if payload[0] == 0:
                reply.status = struct.unpack("<H", payload[3:5])[0]
            else:
                await self.read()
                await self.read()
                reply.rows = []
                while (row := (await self.read())[1])[0] != 0xFE or len(row) != 5:
                    text = row[2:] if binary else row
                    reply.rows.append(text[1 : 1 + text[0]].decode())
                reply.status = struct.unpack("<H", row[3:5])[0]
            if not reply.status & MORE_RESULTS:
                break
        self.record.add(
            self.name, f"got error {reply.code} {reply.error}" if reply.code else f"got OK {reply.rows}"
        )
        return reply

    def close(self) -> None:
        """Ends the connection, as a client does that has finished."""
        if self.writer.is_closing():
            return
        self.writer.write(packet(bytes((QUIT,)), 0))
        self.writer.close()
