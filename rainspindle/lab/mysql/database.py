"""Simulated database server: connections, commands and injected faults.

It records each statement that it runs, and uses the same protocol codec as the front. Real drivers check that
codec from the client side.
"""

from __future__ import annotations

import math
import re
import secrets
import socket
import struct
from collections.abc import Callable

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
from .engine import Engine, PreparedText, Result, Row, Session, StatementError, Store

MAX_PAYLOAD = 64 * 1024 * 1024

STATEMENT_SEPARATOR = re.compile(r";(?=(?:[^']*'[^']*')*[^']*$)")  # a semicolon outside strings


class Silent(Exception):
    """Injected fault: the connection stays open but sends nothing more."""


class Database:
    """One server.

    `fault_hook` gets the statement and its phase (before, after, columns, rows or final) and returns an empty
    string, "silent" or "reset"; before and final also "error" or "deadlock", an error that ends the
    transaction. Any other error leaves an open transaction open.
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
        self.engine = Engine(store, str(self.port))

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
            if session is not None:
                session.rollback()

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
            if command is Command.PREPARE:
                yield from self.prepare(connection, session, body.decode())
            elif command is Command.QUERY:
                yield from self.query(connection, session, body.decode())
            elif command is Command.EXECUTE:
                yield from self.execute(connection, session, body)
            elif self.run_short_command(session, command, body):
                ok = Ok(status=session.status()).encode(session.capabilities)
                yield from connection.send(packets(ok, 1), math.inf)
        except StatementError as failed:
            yield from connection.send(packets(failed.err.encode(), 1), math.inf)

    def run_short_command(self, session: Session, command: Command, body: bytes) -> bool:
        """Run a command that has no result; returns whether it has a response. Raises StatementError."""
        if command is Command.INIT_DB:
            self.engine.use(session, body.decode())
        elif command is Command.RESET_CONNECTION:
            session.reset()
        elif command is Command.CLOSE:
            session.prepared.pop(Cursor(body).number(4), None)
            return False
        elif command is Command.LONG_DATA:
            cursor = Cursor(body)
            parameter = cursor.number(4), cursor.number(2)
            session.long_data.setdefault(parameter, bytearray()).extend(cursor.rest())
            return False
        elif command is Command.RESET:
            session.drop_long_data(Cursor(body).number(4))
        elif command is not Command.PING:
            raise StatementError(1047, "08S01", "Unknown command")
        return True

    def query(self, connection: Connection, session: Session, text: str) -> Coroutine[None]:
        """Run the statements of a text one by one; the first that fails ends it."""
        statements = [statement for statement in STATEMENT_SEPARATOR.split(text) if statement.strip()]
        sequence = 1
        for index, statement in enumerate(statements):
            next_sequence = yield from self.run_statement(
                connection,
                session,
                PreparedText(statement, session.binding()),
                sequence,
                more=index + 1 < len(statements),
                binary=False,
            )
            if next_sequence is None:
                return
            sequence = next_sequence

    def prepare(self, connection: Connection, session: Session, sql: str) -> Coroutine[None]:
        """Respond to COM_STMT_PREPARE."""
        if len(session.prepared) >= self.max_prepared:
            raise StatementError(1461, "42000", "Can't create more than max_prepared_stmt_count statements")
        self.engine.check(session, session.binding(), sql)
        session.last_statement += 1
        session.prepared[session.last_statement] = PreparedText(sql, session.binding())
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
            raise StatementError(1243, "HY000", f"Unknown prepared statement handler ({statement_id})")
        prepared = session.prepared[statement_id]
        sql = prepared.sql
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
        session.drop_long_data(statement_id)
        bound_text = PreparedText(text, prepared.binding)
        yield from self.run_statement(connection, session, bound_text, 1, more=False, binary=True)

    def inject_fault(self, connection: Connection, session: Session, sql: str, phase: str) -> None:
        """Inject the fault that is set for this phase, if any."""
        fault = self.fault_hook(sql, phase)
        if fault == "error":
            raise StatementError(1030, "HY000", "Got error 28 from storage engine")
        if fault == "deadlock":
            session.rollback()
            raise StatementError(1213, "40001", "Deadlock found when trying to get lock")
        if fault == "silent":
            raise Silent
        if fault == "reset":
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            raise Broken("injected reset")

    def run_statement(
        self,
        connection: Connection,
        session: Session,
        statement: PreparedText,
        sequence: int,
        more: bool,
        binary: bool,
    ) -> Coroutine[int | None]:
        """Run one statement and send its response.

        Returns the next sequence number, None after an error.
        """
        sql = statement.sql.strip()
        try:
            self.inject_fault(connection, session, sql, "before")
            started = self.loop.now()
            while self.loop.now() < started + self.latency:
                yield started + self.latency
                if connection.closed:
                    raise Broken("the server was killed")
            self.executed.append(sql)
            result = self.engine.run(session, statement.binding, sql)
        except StatementError as failed:
            yield from connection.send(packets(failed.err.encode(), sequence), math.inf)
            return None
        self.inject_fault(connection, session, sql, "after")
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
    ) -> Coroutine[int | None]:
        """Send a result set; returns the next sequence number, None after an error."""
        uses_eof = not session.capabilities & Capability.DEPRECATE_EOF
        response_bytes = bytearray(packets(lenenc(len(result.columns)), sequence))
        sequence += 1
        for index, name in enumerate(result.columns):
            if index == len(result.columns) - 1:
                yield from connection.send(bytes(response_bytes), math.inf)
                response_bytes.clear()
                self.inject_fault(connection, session, sql, "columns")
            response_bytes += packets(Column(name).encode(), sequence)
            sequence += 1
        if uses_eof:
            response_bytes += packets(eof(status), sequence)
            sequence += 1
        for index, row in enumerate(result.rows):
            if index == 1:
                yield from connection.send(bytes(response_bytes), math.inf)
                response_bytes.clear()
                self.inject_fault(connection, session, sql, "rows")
            response_bytes += packets(encode_row(row, binary), sequence)
            sequence += 1
            if len(response_bytes) > 65536:
                yield from connection.send(bytes(response_bytes), math.inf)
                response_bytes.clear()
        yield from connection.send(bytes(response_bytes), math.inf)
        try:
            self.inject_fault(connection, session, sql, "final")
        except StatementError as failed:
            yield from connection.send(packets(failed.err.encode(), sequence), math.inf)
            return None
        end = eof(status) if uses_eof else Ok(status=status).encode(session.capabilities, 0xFE)
        yield from connection.send(packets(end, sequence), math.inf)
        return sequence + 1


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


def encode_row(row: Row, binary: bool) -> bytes:
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
