"""Simulated database server: in-memory tables, simple transactions and injected faults.

It recognises a few statement forms, records each statement that it runs, and uses the same protocol codec
as the front. Real drivers check that codec from the client side.
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
MAX_PAYLOAD = 64 * 1024 * 1024

LITERAL = re.compile(r"'((?:[^'\\]|\\.|'')*)'|(-?\d+(?:\.\d+)?)|(NULL)", re.I)
SELECT = re.compile(r"SELECT (.+?) FROM (\w+)(?: WHERE (\w+) ?= ?(.+?))?(?: FOR UPDATE)?$", re.I | re.S)
INSERT = re.compile(r"INSERT INTO (\w+) ?\(([\w, ]+)\) ?VALUES ?\((.*)\)$", re.I | re.S)
UPDATE = re.compile(r"UPDATE (\w+) SET (\w+) ?= ?(.+?) WHERE (\w+) ?= ?(.+)$", re.I | re.S)
DELETE = re.compile(r"DELETE FROM (\w+) WHERE (\w+) ?= ?(.+)$", re.I | re.S)
CREATE = re.compile(r"CREATE (TEMPORARY )?TABLE (\w+) ?\((.+)\)$", re.I | re.S)
SET = re.compile(r"SET (?:SESSION |@@SESSION\.|@@)?(@?\w+) ?:?= ?(.+)$", re.I | re.S)
STATEMENT_SEPARATOR = re.compile(r";(?=(?:[^']*'[^']*')*[^']*$)")  # a semicolon outside strings
COMMENT = re.compile(r"/\*.*?\*/", re.S)


@dataclass(slots=True)
class Store:
    """Tables shared by all servers of a group, as in a replicated database."""

    tables: dict[str, tuple[list[str], Rows]] = field(default_factory=dict)
    ids: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True)
class Session:
    """State of one client connection."""

    user: str
    capabilities: Capability
    database: str = ""
    variables: dict[str, str] = field(default_factory=dict)
    temporary: dict[str, tuple[list[str], Rows]] = field(default_factory=dict)
    insert_id: int = 0
    autocommit: bool = True
    transaction_snapshot: Any = None  # the tables at the start of the open transaction
    prepared: dict[int, str] = field(default_factory=dict)
    types: dict[int, bytes] = field(default_factory=dict)
    long_data: dict[tuple[int, int], bytearray] = field(default_factory=dict)
    last_statement: int = 0

    def status(self) -> Status:
        """Return the status flags for responses."""
        return (Status.IN_TRANSACTION if self.transaction_snapshot is not None else Status(0)) | (
            Status.AUTOCOMMIT if self.autocommit else Status(0)
        )


@dataclass(slots=True)
class Result:
    """Result set of a statement."""

    columns: list[str]
    rows: Any  # an iterable of rows


class Failed(Exception):
    """Statement error, sent to the client as an ERR packet."""

    def __init__(self, code: int, state: str, text: str) -> None:
        super().__init__(text)
        self.err = Err(code, state, text)


class Silent(Exception):
    """Injected fault: the connection stays open but sends nothing more."""


class Database:
    """One server.

    `fault_hook` gets the statement and its phase (before, after, columns, rows or final) and returns an empty
    string, "silent" or "reset".
    """

    def __init__(
        self,
        loop: Loop,
        store: Store,
        users: dict[str, bytes],
        plugin: str = auth.CACHING,
        max_prepared: int = 1000,
    ) -> None:
        self.loop, self.store, self.users, self.plugin = loop, store, users, plugin
        self.max_prepared = max_prepared
        self.latency = 0.0
        self.fault_hook: Callable[[str, str], str] = lambda sql, phase: ""
        self.login_error: Err | None = None  # if set, sent in response to every log-in
        self.require_full_auth = False
        self.executed: list[str] = []
        self.login_count = 0
        self.connections: set[Connection] = set()
        self.capabilities = SUPPORTED_CAPABILITIES
        self.listener: Listener | None = None
        self.start()

    def start(self, port: int = 0) -> None:
        """Listen on a port of 127.0.0.1; 0 picks a free one."""
        self.listener = Listener(self.loop, ("127.0.0.1", port), self.accepted, lambda: False)
        self.port = self.listener.address[1]

    def kill(self) -> None:
        """Stop listening and reset all connections, which loses their prepared statements."""
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
        """Serve a new connection."""
        self.connections.add(connection)

        def connection_ended() -> None:
            self.connections.discard(connection)
            connection.close()

        self.loop.spawn(self.serve(connection), connection_ended)

    def serve(self, connection: Connection) -> Coroutine[None]:
        """Run the commands of a connection until it ends."""
        reader = PacketReader(MAX_PAYLOAD)
        session: Session | None = None
        try:
            session = yield from self.log_in(connection, reader)
            while session is not None:
                reader.restart()
                payload = yield from self.read_payload(connection, reader)
                if payload[:1] == bytes((Command.QUIT,)):
                    return
                yield from self.run_command(connection, session, payload)
        except Silent:
            while not connection.ended and not connection.closed:
                yield math.inf
        except (Broken, Late, Unwanted, Malformed):
            pass
        finally:
            if session is not None and session.transaction_snapshot is not None:
                self.store.tables = session.transaction_snapshot  # rolls back the open transaction

    def read_payload(self, connection: Connection, reader: PacketReader) -> Coroutine[bytes]:
        """Read the next payload; raises Broken if the client disconnects."""
        while (payload := reader.payload()) is None:
            data = yield from connection.await_bytes(math.inf, lambda: connection.closed)
            if not data:
                raise Broken("the client closed the connection")
            reader.receive(data)
        return payload

    def log_in(self, connection: Connection, reader: PacketReader) -> Coroutine[Session | None]:
        """Authenticate a client; returns None after an ERR packet."""
        nonce = bytes(1 + byte % 255 for byte in secrets.token_bytes(20))
        greeting = Greeting("8.0.0-stand-in", 7, nonce, self.capabilities, self.plugin)
        yield from connection.send(packets(greeting.encode(), 0), math.inf)
        reader.restart(1)
        login = Login.decode((yield from self.read_payload(connection, reader)))
        sequence = 2
        auth_response = login.auth_response
        if login.plugin != self.plugin:
            switch_request = b"\xfe" + self.plugin.encode() + b"\0" + nonce + b"\0"
            yield from connection.send(packets(switch_request, 2), math.inf)
            reader.restart(3)
            auth_response, sequence = (yield from self.read_payload(connection, reader)), 4
        error = self.login_error
        password = self.users.get(login.user, b"")
        if error is None and not auth.verify_response(self.plugin, auth_response, password, nonce):
            error = Err(1045, "28000", f"Access denied for user '{login.user}'")
        if error is not None:
            yield from connection.send(packets(error.encode(), sequence), math.inf)
            return None
        if self.plugin == auth.CACHING:
            auth_status = auth.FULL_AUTH_REQUIRED if self.require_full_auth else auth.FAST_OK
            yield from connection.send(packets(bytes((1, auth_status)), sequence), math.inf)
            sequence += 1
        yield from connection.send(packets(Ok().encode(login.capabilities), sequence), math.inf)
        self.login_count += 1
        return Session(login.user, login.capabilities, login.database)

    # Commands.

    def run_command(self, connection: Connection, session: Session, payload: bytes) -> Coroutine[None]:
        """Run one command and send its response."""
        command, body = Command(payload[0]), payload[1:]
        try:
            if command in (Command.PING, Command.INIT_DB):
                session.database = body.decode() if command is Command.INIT_DB else session.database
            elif command is Command.RESET_CONNECTION:
                if session.transaction_snapshot is not None:
                    self.store.tables = session.transaction_snapshot
                fresh = Session(session.user, session.capabilities, session.database)
                for name in Session.__slots__:
                    setattr(session, name, getattr(fresh, name))
            elif command is Command.CLOSE:
                session.prepared.pop(Cursor(body).number(4), None)
                return
            elif command is Command.LONG_DATA:
                cursor = Cursor(body)
                session.long_data.setdefault((cursor.number(4), cursor.number(2)), bytearray()).extend(
                    cursor.rest()
                )
                return
            elif command is Command.RESET:
                statement_id = Cursor(body).number(4)
                session.long_data = {
                    key: value for key, value in session.long_data.items() if key[0] != statement_id
                }
            elif command is Command.PREPARE:
                yield from self.prepare(connection, session, body.decode())
                return
            elif command is Command.QUERY:
                statements = [text for text in STATEMENT_SEPARATOR.split(body.decode()) if text.strip()]
                sequence = 1
                for index, statement in enumerate(statements):
                    sequence = yield from self.run_statement(
                        connection,
                        session,
                        statement,
                        sequence,
                        more=index + 1 < len(statements),
                        binary=False,
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
        """Respond to COM_STMT_PREPARE."""
        if len(session.prepared) >= self.max_prepared:
            raise Failed(1461, "42000", "Can't create more than max_prepared_stmt_count statements")
        session.last_statement += 1
        session.prepared[session.last_statement] = sql
        parameter_count = sql.count("?")
        columns = 1 if sql.lstrip().upper().startswith("SELECT") else 0
        response_bytes, sequence = (
            packets(Prepared(session.last_statement, columns, parameter_count).encode(), 1),
            2,
        )
        for count in (parameter_count, columns):
            for _ in range(count):
                response_bytes += packets(Column("?").encode(), sequence)
                sequence += 1
            if count and not session.capabilities & Capability.DEPRECATE_EOF:
                response_bytes += packets(eof(session.status()), sequence)
                sequence += 1
        yield from connection.send(response_bytes, math.inf)

    def execute(self, connection: Connection, session: Session, body: bytes) -> Coroutine[None]:
        """Run a prepared statement with its parameters inserted as literals."""
        cursor = Cursor(body)
        statement_id = cursor.number(4)
        if statement_id not in session.prepared:
            raise Failed(1243, "HY000", f"Unknown prepared statement handler ({statement_id})")
        sql = session.prepared[statement_id]
        parameter_count = sql.count("?")
        cursor.take(5)
        values: list[str] = []
        if parameter_count:
            null_bitmap = cursor.take((parameter_count + 7) // 8)
            if cursor.number(1):
                session.types[statement_id] = cursor.take(2 * parameter_count)
            for index in range(parameter_count):
                long_data = session.long_data.get((statement_id, index))
                if long_data is not None:
                    values.append(quote(long_data.decode("utf-8", "replace")))
                elif null_bitmap[index // 8] >> index % 8 & 1:
                    values.append("NULL")
                else:
                    values.append(read_binary_value(cursor, session.types[statement_id][2 * index]))
        parts = sql.split("?")
        text = "".join(part + value for part, value in zip(parts, [*values, ""], strict=True))
        session.long_data = {key: value for key, value in session.long_data.items() if key[0] != statement_id}
        yield from self.run_statement(connection, session, text, 1, more=False, binary=True)

    def inject_fault(self, connection: Connection, sql: str, phase: str) -> None:
        """Inject the fault that is set for this phase, if any."""
        fault = self.fault_hook(sql, phase)
        if fault == "silent":
            raise Silent
        if fault == "reset":
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            raise Broken("injected reset")

    def run_statement(
        self, connection: Connection, session: Session, sql: str, sequence: int, more: bool, binary: bool
    ) -> Coroutine[int]:
        """Run one statement and send its response; returns the next sequence number."""
        sql = sql.strip()
        self.inject_fault(connection, sql, "before")
        started = self.loop.now()
        while self.loop.now() < started + self.latency:
            yield started + self.latency
            if connection.closed:
                raise Broken("the server was killed")
        self.executed.append(sql)
        try:
            result = self.evaluate(session, COMMENT.sub("", sql).strip())
        except Failed as failed:
            yield from connection.send(packets(failed.err.encode(), sequence), math.inf)
            if more:
                raise Broken("a statement failed; the remaining ones are not run") from None
            return sequence + 1
        self.inject_fault(connection, sql, "after")
        status = session.status() | (Status.MORE_RESULTS if more else Status(0))
        if isinstance(result, Ok):
            ok = Ok(result.affected, result.insert_id, status)
            yield from connection.send(packets(ok.encode(session.capabilities), sequence), math.inf)
            return sequence + 1
        return (yield from self.send_rows(connection, session, sql, result, sequence, status, binary))

    def send_rows(
        self,
        connection: Connection,
        session: Session,
        sql: str,
        result: Result,
        sequence: int,
        status: Status,
        binary: bool,
    ) -> Coroutine[int]:
        """Send a result set; returns the next sequence number."""
        uses_eof = not session.capabilities & Capability.DEPRECATE_EOF
        response_bytes = bytearray(packets(lenenc(len(result.columns)), sequence))
        sequence += 1
        for index, name in enumerate(result.columns):
            if index == len(result.columns) - 1:
                yield from connection.send(bytes(response_bytes), math.inf)
                response_bytes.clear()
                self.inject_fault(connection, sql, "columns")
            response_bytes += packets(Column(name).encode(), sequence)
            sequence += 1
        if uses_eof:
            response_bytes += packets(eof(status), sequence)
            sequence += 1
        for index, row in enumerate(result.rows):
            if index == 1:
                yield from connection.send(bytes(response_bytes), math.inf)
                response_bytes.clear()
                self.inject_fault(connection, sql, "rows")
            response_bytes += packets(encode_row(row, binary), sequence)
            sequence += 1
            if len(response_bytes) > 65536:
                yield from connection.send(bytes(response_bytes), math.inf)
                response_bytes.clear()
        yield from connection.send(bytes(response_bytes), math.inf)
        self.inject_fault(connection, sql, "final")
        end = eof(status) if uses_eof else Ok(status=status).encode(session.capabilities, 0xFE)
        yield from connection.send(packets(end, sequence), math.inf)
        return sequence + 1

    # Statements.

    def find_table(self, session: Session, name: str) -> tuple[list[str], Rows]:
        """Return a table's columns and rows; raises Failed if it doesn't exist."""
        table = session.temporary.get(name) or self.store.tables.get(name)
        if table is None:
            raise Failed(1146, "42S02", f"Table '{name}' doesn't exist")
        return table

    def begin(self, session: Session) -> None:
        """Start a transaction, unless one is open."""
        if session.transaction_snapshot is None:
            session.transaction_snapshot = copy.deepcopy(self.store.tables)

    def evaluate(self, session: Session, sql: str) -> Ok | Result:
        """Run a statement."""
        keyword = sql.split(None, 1)[0].upper() if sql else ""
        if keyword in ("BEGIN", "START"):
            self.begin(session)
        elif keyword == "COMMIT":
            session.transaction_snapshot = None
        elif keyword == "ROLLBACK":
            if session.transaction_snapshot is not None:
                self.store.tables, session.transaction_snapshot = session.transaction_snapshot, None
        elif match := SELECT.match(sql):
            return self.select(session, *match.groups())
        elif keyword == "SELECT":
            items = [item.strip() for item in sql[6:].split(",")]
            return Result(items, [tuple(self.select_item(session, item) for item in items)])
        else:
            return self.run_change(session, sql)
        return Ok()

    def select(
        self, session: Session, items: str, name: str, column: str | None, value: str | None
    ) -> Result:
        """Run a SELECT from a table; `seq_NxM` is a generated table of N rows with M bytes of padding."""
        if name.startswith("seq_"):
            count, size = (int(number) for number in name[4:].split("x"))
            return Result(["n", "pad"], ((str(number), "x" * size) for number in range(count)))
        columns, rows = self.find_table(session, name)
        if column is not None and value is not None:
            column_index, expected = columns.index(column), parse_literal(value)
            rows = [row for row in rows if row[column_index] == expected]
        if items.strip().upper() == "COUNT(*)":
            return Result(["COUNT(*)"], [(str(len(rows)),)])
        names = columns if items.strip() == "*" else [item.strip() for item in items.split(",")]
        return Result(names, [tuple(row[columns.index(item)] for item in names) for row in rows])

    def run_change(self, session: Session, sql: str) -> Ok:
        """Run a statement that changes data, tables or variables."""
        if not session.autocommit and not SET.match(sql):
            self.begin(session)
        if match := INSERT.match(sql):
            columns, rows = self.find_table(session, match[1])
            names = [column.strip() for column in match[2].split(",")]
            values = dict(zip(names, parse_literals(match[3]), strict=True))
            self.store.ids[match[1]] += 1
            session.insert_id = self.store.ids[match[1]]
            rows.append(
                tuple(
                    str(session.insert_id) if column == "id" and column not in values else values.get(column)
                    for column in columns
                )
            )
            return Ok(1, session.insert_id)
        if match := UPDATE.match(sql):
            columns, rows = self.find_table(session, match[1])
            column_index, where_index = columns.index(match[2]), columns.index(match[4])
            new_value, expected, changed = parse_literal(match[3]), parse_literal(match[5]), 0
            for row_index, row in enumerate(rows):
                if row[where_index] == expected:
                    rows[row_index] = (*row[:column_index], new_value, *row[column_index + 1 :])
                    changed += 1
            return Ok(changed)
        if match := DELETE.match(sql):
            columns, rows = self.find_table(session, match[1])
            where_index, old_count = columns.index(match[2]), len(rows)
            rows[:] = [row for row in rows if row[where_index] != parse_literal(match[3])]
            return Ok(old_count - len(rows))
        if match := CREATE.match(sql):
            columns = [definition.split()[0] for definition in match[3].split(",")]
            (session.temporary if match[1] else self.store.tables)[match[2]] = (columns, [])
            return Ok()
        if match := SET.match(sql):
            name, value = match[1].lower(), parse_literal(match[2]) or ""
            if name == "autocommit":
                session.autocommit = value in ("1", "ON", "on")
                session.transaction_snapshot = None if session.autocommit else session.transaction_snapshot
            elif name == "last_insert_id":
                session.insert_id = int(value)
            else:
                session.variables[name] = value
            return Ok()
        if sql.upper().startswith("SET NAMES"):
            session.variables["names"] = parse_literal(sql[9:].strip()) or ""
            return Ok()
        raise Failed(1064, "42000", f"You have an error in your SQL syntax near '{sql[:40]}'")

    def select_item(self, session: Session, item: str) -> Value:
        """Evaluate an item of a SELECT without a table."""
        name = item.upper()
        builtins_by_name = {
            "LAST_INSERT_ID()": str(session.insert_id),
            "DATABASE()": session.database or None,
            "USER()": session.user,
            "CONNECTION_ID()": str(self.port),
            "@@AUTOCOMMIT": str(int(session.autocommit)),
            "@@VERSION_COMMENT": "stand-in",
        }
        if name in builtins_by_name:
            return builtins_by_name[name]
        if item.startswith("@"):
            return session.variables.get(item.lower().removeprefix("@@"))
        return parse_literal(item)


def read_binary_value(cursor: Cursor, kind: int) -> str:
    """Read a binary parameter and return it as a literal."""
    if kind in (1, 2, 3, 8):
        return str(int.from_bytes(cursor.take({1: 1, 2: 2, 3: 4, 8: 8}[kind]), "little", signed=True))
    if kind == 5:
        return repr(struct.unpack("<d", cursor.take(8))[0])
    return quote(cursor.lenenc_bytes().decode("utf-8", "replace"))


def quote(text: str) -> str:
    """Return text as a string literal."""
    return "'" + text.replace("\\", "\\\\").replace("'", "''") + "'"


def parse_literals(text: str) -> list[Value]:
    """Return the values of all literals in a text."""
    return [
        None
        if match[3]
        else match[2]
        if match[2] is not None
        else match[1].replace("''", "'").replace("\\\\", "\\")
        for match in LITERAL.finditer(text)
    ]


def parse_literal(text: str) -> Value:
    """Return the value of the first literal, or the stripped text if there is none."""
    values = parse_literals(text)
    return values[0] if values else text.strip()


def encode_row(row: tuple[Value, ...], binary: bool) -> bytes:
    """Encode a row in the text or binary format."""
    if not binary:
        return b"".join(b"\xfb" if field is None else lenenc_bytes(field.encode()) for field in row)
    null_bitmap = bytearray((len(row) + 9) // 8)
    for index, value in enumerate(row):
        if value is None:
            null_bitmap[(index + 2) // 8] |= 1 << (index + 2) % 8
    return (
        b"\0"
        + bytes(null_bitmap)
        + b"".join(lenenc_bytes(field.encode()) for field in row if field is not None)
    )
