"""The stand-in database: small tables in memory, transactions enough for the tests, and faults on order.

It knows a handful of statements by their form, counts every one that it runs, and speaks the protocol by
the same codec as the front, which real drivers check from the other side.
"""

from __future__ import annotations

import copy
import math
import re
import secrets
import socket
import struct
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ...protocol.mysql import auth
from ...protocol.mysql.messages import (
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
from ...protocol.mysql.wire import Cursor, Malformed, PacketReader, lenenc, lenenc_bytes, packets
from ...transport.connection import Broken, Connection, Late, Listener, Unwanted
from ...transport.loop import Coroutine, Loop

Value = str | None
Rows = list[tuple[Value, ...]]
MOST = 64 * 1024 * 1024

TOKEN = re.compile(r"'((?:[^'\\]|\\.|'')*)'|(-?\d+(?:\.\d+)?)|(NULL)", re.I)
SELECT = re.compile(r"SELECT (.+?) FROM (\w+)(?: WHERE (\w+) ?= ?(.+?))?(?: FOR UPDATE)?$", re.I | re.S)
INSERT = re.compile(r"INSERT INTO (\w+) ?\(([\w, ]+)\) ?VALUES ?\((.*)\)$", re.I | re.S)
UPDATE = re.compile(r"UPDATE (\w+) SET (\w+) ?= ?(.+?) WHERE (\w+) ?= ?(.+)$", re.I | re.S)
DELETE = re.compile(r"DELETE FROM (\w+) WHERE (\w+) ?= ?(.+)$", re.I | re.S)
CREATE = re.compile(r"CREATE (TEMPORARY )?TABLE (\w+) ?\((.+)\)$", re.I | re.S)
SET = re.compile(r"SET (?:SESSION |@@SESSION\.|@@)?(@?\w+) ?:?= ?(.+)$", re.I | re.S)
BETWEEN = re.compile(r";(?=(?:[^']*'[^']*')*[^']*$)")  # a semicolon outside of strings
COMMENT = re.compile(r"/\*.*?\*/", re.S)


@dataclass(slots=True)
class Store:
    """Tables, shared by all stand-ins of a group as a replicated database would be."""

    tables: dict[str, tuple[list[str], Rows]] = field(default_factory=dict)
    ids: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True)
class Session:
    user: str
    capabilities: Capability
    database: str = ""
    variables: dict[str, str] = field(default_factory=dict)
    temporary: dict[str, tuple[list[str], Rows]] = field(default_factory=dict)
    insert_id: int = 0
    autocommit: bool = True
    saved: Any = None  # the tables as they were when the transaction began
    prepared: dict[int, str] = field(default_factory=dict)
    types: dict[int, bytes] = field(default_factory=dict)
    long_data: dict[tuple[int, int], bytearray] = field(default_factory=dict)
    last: int = 0

    def status(self) -> Status:
        return (Status.IN_TRANSACTION if self.saved is not None else Status(0)) | (
            Status.AUTOCOMMIT if self.autocommit else Status(0)
        )


@dataclass(slots=True)
class Result:
    columns: list[str]
    rows: Any  # an iterable


class Failed(Exception):
    def __init__(self, code: int, state: str, text: str) -> None:
        super().__init__(text)
        self.err = Err(code, state, text)


class Silent(Exception):
    """The connection says nothing more."""


class Database:
    """One server. `fault` is asked at each phase of a statement: before, after, columns, rows, final; it may
    answer
    silent, reset or half."""

    def __init__(
        self,
        loop: Loop,
        store: Store,
        users: dict[str, bytes],
        plugin: str = auth.CACHING,
        most_prepared: int = 1000,
    ) -> None:
        self.loop, self.store, self.users, self.plugin = loop, store, users, plugin
        self.most_prepared = most_prepared
        self.latency = 0.0
        self.fault: Callable[[str, str], str] = lambda sql, phase: ""
        self.refuses: Err | None = None  # what log-ins get
        self.full_needed = False
        self.executed: list[str] = []
        self.log_ins = 0
        self.connections: set[Connection] = set()
        self.capabilities = SUPPORTED_CAPABILITIES
        self.listener: Listener | None = None
        self.start()

    def start(self, port: int = 0) -> None:
        self.listener = Listener(self.loop, ("127.0.0.1", port), self.accepted, lambda: False)
        self.port = self.listener.address[1]

    def die(self) -> None:
        """Resets whatever is open; nothing is prepared when it comes back."""
        if self.listener is not None:
            self.listener.closed = True
            self.loop.unwatch(self.listener.sock.fileno())
            self.listener.sock.close()
            self.listener = None
        for connection in list(self.connections):
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            wake = connection.wake
            connection.close()
            wake()

    def accepted(self, connection: Connection) -> None:
        self.connections.add(connection)

        def gone() -> None:
            self.connections.discard(connection)
            connection.close()

        self.loop.spawn(self.serve(connection), gone)

    def serve(self, connection: Connection) -> Coroutine[None]:
        reader = PacketReader(MOST)
        session: Session | None = None
        try:
            session = yield from self.log_in(connection, reader)
            while session is not None:
                reader.restart()
                payload = yield from self.payload(connection, reader)
                if payload[:1] == bytes((Command.QUIT,)):
                    return
                yield from self.command(connection, session, payload)
        except Silent:
            while not connection.ended and not connection.closed:
                yield math.inf
        except (Broken, Late, Unwanted, Malformed):
            pass
        finally:
            if session is not None and session.saved is not None:
                self.store.tables = session.saved  # what was not committed is undone

    def payload(self, connection: Connection, reader: PacketReader) -> Coroutine[bytes]:
        while (found := reader.payload()) is None:
            data = yield from connection.await_bytes(math.inf, lambda: connection.closed)
            if not data:
                raise Broken("the client left")
            reader.receive(data)
        return found

    def log_in(self, connection: Connection, reader: PacketReader) -> Coroutine[Session | None]:
        nonce = bytes(1 + b % 255 for b in secrets.token_bytes(20))
        greeting = Greeting("8.0.0-stand-in", 7, nonce, self.capabilities, self.plugin)
        yield from connection.send(packets(greeting.encode(), 0), math.inf)
        reader.restart(1)
        login = Login.decode((yield from self.payload(connection, reader)))
        sequence = 2
        proof = login.auth_response
        if login.plugin != self.plugin:
            ask = b"\xfe" + self.plugin.encode() + b"\0" + nonce + b"\0"
            yield from connection.send(packets(ask, 2), math.inf)
            reader.restart(3)
            proof, sequence = (yield from self.payload(connection, reader)), 4
        refused = self.refuses
        password = self.users.get(login.user, b"")
        if refused is None and not auth.verify_response(self.plugin, proof, password, nonce):
            refused = Err(1045, "28000", f"Access denied for user '{login.user}'")
        if refused is not None:
            yield from connection.send(packets(refused.encode(), sequence), math.inf)
            return None
        if self.plugin == auth.CACHING:
            told = auth.FULL_AUTH_REQUIRED if self.full_needed else auth.FAST_OK
            yield from connection.send(packets(bytes((1, told)), sequence), math.inf)
            sequence += 1
        yield from connection.send(packets(Ok().encode(login.capabilities), sequence), math.inf)
        self.log_ins += 1
        return Session(login.user, login.capabilities, login.database)

    # Commands.

    def command(self, connection: Connection, session: Session, payload: bytes) -> Coroutine[None]:
        command, body = Command(payload[0]), payload[1:]
        try:
            if command in (Command.PING, Command.INIT_DB):
                session.database = body.decode() if command is Command.INIT_DB else session.database
            elif command is Command.RESET_CONNECTION:
                if session.saved is not None:
                    self.store.tables = session.saved
                fresh = Session(session.user, session.capabilities, session.database)
                for name in Session.__slots__:
                    setattr(session, name, getattr(fresh, name))
            elif command is Command.CLOSE:
                session.prepared.pop(Cursor(body).number(4), None)
                return
            elif command is Command.LONG_DATA:
                c = Cursor(body)
                session.long_data.setdefault((c.number(4), c.number(2)), bytearray()).extend(c.rest())
                return
            elif command is Command.RESET:
                id = Cursor(body).number(4)
                session.long_data = {k: v for k, v in session.long_data.items() if k[0] != id}
            elif command is Command.PREPARE:
                yield from self.prepare(connection, session, body.decode())
                return
            elif command is Command.QUERY:
                statements = [s for s in BETWEEN.split(body.decode()) if s.strip()]
                sequence = 1
                for n, one in enumerate(statements):
                    sequence = yield from self.run(
                        connection, session, one, sequence, more=n + 1 < len(statements), binary=False
                    )
                return
            elif command is Command.EXECUTE:
                yield from self.execute(connection, session, body)
                return
            yield from connection.send(
                packets(Ok(status=session.status()).encode(session.capabilities), 1), math.inf
            )
        except Failed as failed:
            yield from connection.send(packets(failed.err.encode(), 1), math.inf)

    def prepare(self, connection: Connection, session: Session, sql: str) -> Coroutine[None]:
        if len(session.prepared) >= self.most_prepared:
            raise Failed(1461, "42000", "Can't create more than max_prepared_stmt_count statements")
        session.last += 1
        session.prepared[session.last] = sql
        marks = sql.count("?")
        columns = 1 if sql.lstrip().upper().startswith("SELECT") else 0
        out, sequence = packets(Prepared(session.last, columns, marks).encode(), 1), 2
        for count in (marks, columns):
            for _ in range(count):
                out += packets(Column("?").encode(), sequence)
                sequence += 1
            if count and not session.capabilities & Capability.DEPRECATE_EOF:
                out += packets(eof(session.status()), sequence)
                sequence += 1
        yield from connection.send(out, math.inf)

    def execute(self, connection: Connection, session: Session, body: bytes) -> Coroutine[None]:
        c = Cursor(body)
        id = c.number(4)
        if id not in session.prepared:
            raise Failed(1243, "HY000", f"Unknown prepared statement handler ({id})")
        sql = session.prepared[id]
        marks = sql.count("?")
        c.take(5)
        values: list[str] = []
        if marks:
            nulls = c.take((marks + 7) // 8)
            if c.number(1):
                session.types[id] = c.take(2 * marks)
            for n in range(marks):
                long = session.long_data.get((id, n))
                if long is not None:
                    values.append(quoted(long.decode("utf-8", "replace")))
                elif nulls[n // 8] >> n % 8 & 1:
                    values.append("NULL")
                else:
                    values.append(binary_value(c, session.types[id][2 * n]))
        parts = sql.split("?")
        text = "".join(p + v for p, v in zip(parts, [*values, ""], strict=True))
        session.long_data = {k: v for k, v in session.long_data.items() if k[0] != id}
        yield from self.run(connection, session, text, 1, more=False, binary=True)

    def phase(self, connection: Connection, sql: str, phase: str) -> None:
        what = self.fault(sql, phase)
        if what == "silent":
            raise Silent
        if what == "reset":
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            raise Broken("as ordered")

    def run(
        self, connection: Connection, session: Session, sql: str, sequence: int, more: bool, binary: bool
    ) -> Coroutine[int]:
        """Runs one statement and writes its answer; gives the number of the next packet."""
        sql = sql.strip()
        self.phase(connection, sql, "before")
        begun = self.loop.now()
        while self.loop.now() < begun + self.latency:
            yield begun + self.latency
            if connection.closed:
                raise Broken("dead")
        self.executed.append(sql)
        try:
            result = self.statement(session, COMMENT.sub("", sql).strip())
        except Failed as failed:
            yield from connection.send(packets(failed.err.encode(), sequence), math.inf)
            if more:
                raise Broken("the rest is not run") from None
            return sequence + 1
        self.phase(connection, sql, "after")
        status = session.status() | (Status.MORE_RESULTS if more else Status(0))
        if isinstance(result, Ok):
            ok = Ok(result.affected, result.insert_id, status)
            yield from connection.send(packets(ok.encode(session.capabilities), sequence), math.inf)
            return sequence + 1
        return (yield from self.rows(connection, session, sql, result, sequence, status, binary))

    def rows(
        self,
        connection: Connection,
        session: Session,
        sql: str,
        result: Result,
        sequence: int,
        status: Status,
        binary: bool,
    ) -> Coroutine[int]:
        old = not session.capabilities & Capability.DEPRECATE_EOF
        out = bytearray(packets(lenenc(len(result.columns)), sequence))
        sequence += 1
        for n, name in enumerate(result.columns):
            if n == len(result.columns) - 1:
                yield from connection.send(bytes(out), math.inf)
                out.clear()
                self.phase(connection, sql, "columns")
            out += packets(Column(name).encode(), sequence)
            sequence += 1
        if old:
            out += packets(eof(status), sequence)
            sequence += 1
        for n, row in enumerate(result.rows):
            if n == 1:
                yield from connection.send(bytes(out), math.inf)
                out.clear()
                self.phase(connection, sql, "rows")
            out += packets(encoded(row, binary), sequence)
            sequence += 1
            if len(out) > 65536:
                yield from connection.send(bytes(out), math.inf)
                out.clear()
        yield from connection.send(bytes(out), math.inf)
        self.phase(connection, sql, "final")
        end = eof(status) if old else Ok(status=status).encode(session.capabilities, 0xFE)
        yield from connection.send(packets(end, sequence), math.inf)
        return sequence + 1

    # Statements.

    def table(self, session: Session, name: str) -> tuple[list[str], Rows]:
        found = session.temporary.get(name) or self.store.tables.get(name)
        if found is None:
            raise Failed(1146, "42S02", f"Table '{name}' doesn't exist")
        return found

    def begin(self, session: Session) -> None:
        if session.saved is None:
            session.saved = copy.deepcopy(self.store.tables)

    def statement(self, session: Session, sql: str) -> Ok | Result:
        word = sql.split(None, 1)[0].upper() if sql else ""
        if word in ("BEGIN", "START"):
            self.begin(session)
        elif word == "COMMIT":
            session.saved = None
        elif word == "ROLLBACK":
            if session.saved is not None:
                self.store.tables, session.saved = session.saved, None
        elif found := SELECT.match(sql):
            return self.select(session, *found.groups())
        elif word == "SELECT":
            items = [item.strip() for item in sql[6:].split(",")]
            return Result(items, [tuple(self.value(session, item) for item in items)])
        else:
            return self.change(session, sql)
        return Ok()

    def select(self, session: Session, what: str, name: str, column: str | None, value: str | None) -> Result:
        if name.startswith("seq_"):
            count, size = (int(n) for n in name[4:].split("x"))
            return Result(["n", "pad"], ((str(n), "x" * size) for n in range(count)))
        columns, rows = self.table(session, name)
        if column is not None and value is not None:
            at, wanted = columns.index(column), literal(value)
            rows = [row for row in rows if row[at] == wanted]
        if what.strip().upper() == "COUNT(*)":
            return Result(["COUNT(*)"], [(str(len(rows)),)])
        names = columns if what.strip() == "*" else [c.strip() for c in what.split(",")]
        return Result(names, [tuple(row[columns.index(c)] for c in names) for row in rows])

    def change(self, session: Session, sql: str) -> Ok:
        if not session.autocommit and not SET.match(sql):
            self.begin(session)
        if found := INSERT.match(sql):
            columns, rows = self.table(session, found[1])
            names = [c.strip() for c in found[2].split(",")]
            values = dict(zip(names, literals(found[3]), strict=True))
            self.store.ids[found[1]] += 1
            session.insert_id = self.store.ids[found[1]]
            rows.append(
                tuple(
                    str(session.insert_id) if c == "id" and c not in values else values.get(c)
                    for c in columns
                )
            )
            return Ok(1, session.insert_id)
        if found := UPDATE.match(sql):
            columns, rows = self.table(session, found[1])
            at, where = columns.index(found[2]), columns.index(found[4])
            new, wanted, changed = literal(found[3]), literal(found[5]), 0
            for n, row in enumerate(rows):
                if row[where] == wanted:
                    rows[n] = (*row[:at], new, *row[at + 1 :])
                    changed += 1
            return Ok(changed)
        if found := DELETE.match(sql):
            columns, rows = self.table(session, found[1])
            where, before = columns.index(found[2]), len(rows)
            rows[:] = [row for row in rows if row[where] != literal(found[3])]
            return Ok(before - len(rows))
        if found := CREATE.match(sql):
            columns = [part.split()[0] for part in found[3].split(",")]
            (session.temporary if found[1] else self.store.tables)[found[2]] = (columns, [])
            return Ok()
        if found := SET.match(sql):
            name, value = found[1].lower(), literal(found[2]) or ""
            if name == "autocommit":
                session.autocommit = value in ("1", "ON", "on")
                session.saved = None if session.autocommit else session.saved
            elif name == "last_insert_id":
                session.insert_id = int(value)
            else:
                session.variables[name] = value
            return Ok()
        if sql.upper().startswith("SET NAMES"):
            session.variables["names"] = literal(sql[9:].strip()) or ""
            return Ok()
        raise Failed(1064, "42000", f"You have an error in your SQL syntax near '{sql[:40]}'")

    def value(self, session: Session, item: str) -> Value:
        name = item.upper()
        known = {
            "LAST_INSERT_ID()": str(session.insert_id),
            "DATABASE()": session.database or None,
            "USER()": session.user,
            "CONNECTION_ID()": str(self.port),
            "@@AUTOCOMMIT": str(int(session.autocommit)),
            "@@VERSION_COMMENT": "stand-in",
        }
        if name in known:
            return known[name]
        if item.startswith("@"):
            return session.variables.get(item.lower().removeprefix("@@"))
        return literal(item)


def binary_value(c: Cursor, kind: int) -> str:
    """A parameter as a literal."""
    if kind in (1, 2, 3, 8):
        return str(int.from_bytes(c.take({1: 1, 2: 2, 3: 4, 8: 8}[kind]), "little", signed=True))
    if kind == 5:
        return repr(struct.unpack("<d", c.take(8))[0])
    return quoted(c.lenenc_bytes().decode("utf-8", "replace"))


def quoted(text: str) -> str:
    return "'" + text.replace("\\", "\\\\").replace("'", "''") + "'"


def literals(text: str) -> list[Value]:
    return [
        None if m[3] else m[2] if m[2] is not None else m[1].replace("''", "'").replace("\\\\", "\\")
        for m in TOKEN.finditer(text)
    ]


def literal(text: str) -> Value:
    found = literals(text)
    return found[0] if found else text.strip()


def encoded(row: tuple[Value, ...], binary: bool) -> bytes:
    if not binary:
        return b"".join(b"\xfb" if v is None else lenenc_bytes(v.encode()) for v in row)
    nulls = bytearray((len(row) + 9) // 8)
    for n, value in enumerate(row):
        if value is None:
            nulls[(n + 2) // 8] |= 1 << (n + 2) % 8
    return b"\0" + bytes(nulls) + b"".join(lenenc_bytes(v.encode()) for v in row if v is not None)
