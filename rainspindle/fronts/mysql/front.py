"""Serves clients that speak the MySQL wire protocol; each statement is a request to the balancer.

A session with state on a server is pinned to its connection until that state is known to be gone; other
sessions share connections. The client gets the server's response, or one ERR packet that says whether the
statement may have run.
"""

from __future__ import annotations

import logging
import math
import secrets
import struct
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

from ...balancer.host import AttemptOutcome
from ...decisions.statements.effects import change_after
from ...decisions.statements.statements import Classification, Statements
from ...protocol.mysql import auth
from ...protocol.mysql.messages import (
    REQUIRED_CAPABILITIES,
    SUPPORTED_CAPABILITIES,
    Capability,
    Command,
    Err,
    Greeting,
    Login,
    Ok,
    Prepared,
    Status,
    encode_auth_switch,
)
from ...protocol.mysql.wire import Cursor, Malformed, PacketReader, packets
from ...routing.core import Broke, Core, Final, Finished, Given, Left, Rejected, Taker
from ...transport.connection import Broken, Connection, Late, Unwanted
from ...transport.loop import Coroutine, Loop
from .back import CommandRequest, MysqlBack
from .servers import Account, ServerConnection, StatementBinding

log = logging.getLogger("rainspindle.mysql")

VERSION = "8.0.36-rainspindle"
MAX_PAYLOAD = 64 * 1024 * 1024  # limit in bytes for a command, and for the long data of a session
MAX_STATEMENTS = 1000  # prepared statements per session
LOGIN_TIMEOUT, COMMAND_TIMEOUT = 5.0, 30.0  # seconds; the latter from a command's first byte
FORWARDED_CAPABILITIES = (
    Capability.FOUND_ROWS
    | Capability.MULTI_STATEMENTS
    | Capability.MULTI_RESULTS
    | Capability.PS_MULTI_RESULTS
    | Capability.DEPRECATE_EOF
)
ACCESS_DENIED, UNKNOWN_COMMAND, MALFORMED, NOT_SUPPORTED, NO_STATEMENT, TOO_LARGE, NO_DATABASE = (
    (1045, "28000"),
    (1047, "08S01"),
    (1835, "HY000"),
    (1235, "42000"),
    (1243, "HY000"),
    (1153, "08S01"),
    (1046, "3D000"),
)
# Side effects that may have changed the database or session variables without a trace here.
HIDING_EFFECTS = frozenset(("unknown", "prepare"))
REJECTED, TERMINATED, STATE_LOST = (1213, "40001"), (1317, "70100"), (1927, "70100")


@dataclass(slots=True)
class Statement:
    """A prepared statement of a client."""

    id: int
    binding: StatementBinding
    parameters: int
    types: bytes = b""  # parameter types as the client last sent them
    long_data: dict[int, bytearray] = field(default_factory=dict)


@dataclass(slots=True)
class Session:
    """A client's authenticated connection and its session state."""

    client: Connection
    number: int
    account: Account
    capabilities: Capability
    database: str = ""
    variables: dict[str, str] = field(default_factory=dict)
    insert_id: int = 0
    pinned: ServerConnection | None = None
    # Side effects that pin the session; an open transaction pins it as well.
    pinning_effects: set[str] = field(default_factory=set)
    in_transaction: bool = False
    statements: OrderedDict[int, Statement] = field(default_factory=OrderedDict)
    last_statement: int = 0

    @property
    def name(self) -> str:
        """Name used as the routing key where a rule gives no other."""
        return f"session {self.number}"

    @property
    def is_known(self) -> bool:
        """Whether the database and the session variables are those that are kept here."""
        return not self.pinning_effects & HIDING_EFFECTS


class Fault(Exception):
    """Error sent to the client in response to a command; the session continues."""

    def __init__(self, code: tuple[int, str], message: str) -> None:
        super().__init__(message)
        self.err = Err(*code, message)


class MysqlFront:
    """Accepts clients, authenticates them and runs their commands."""

    def __init__(
        self,
        loop: Loop,
        core: Core,
        taker: Taker,
        back: MysqlBack,
        statements: Statements,
        users: dict[str, bytes],
        most_clients: int,
    ) -> None:
        self.loop, self.core, self.taker, self.back = loop, core, taker, back
        self.statements, self.users, self.most_clients = statements, users, most_clients
        self.clients: dict[Connection, Session | None] = {}
        self.sessions = 0
        self.leaving = self.closing = False  # shutting down: connections are closed once idle
        self.ready_from = -math.inf
        self.pins = self.refused = 0

    def accepted(self, client: Connection) -> None:
        """Start serving a new client, or refuse it if there are too many."""
        if len(self.clients) >= self.most_clients or self.closing:
            self.refused += 1
            client.send_some(memoryview(packets(Err(1040, "08004", "Too many connections").encode(), 0)))
            client.close()
            return
        self.clients[client] = None
        self.loop.spawn(self.serve(client), lambda: self.client_closed(client))

    def client_closed(self, client: Connection) -> None:
        """Release what a finished client held."""
        session = self.clients.pop(client, None)
        if session is not None and session.pinned is not None:
            self.back.servers.close(session.pinned)  # discards the session's state on the server
            session.pinned = None
        client.close()

    def make_room(self) -> bool:
        """Return False: no client is closed to admit another."""
        return False

    def set_memory(self, streams: int, buffers: int) -> None:
        """Do nothing: the MySQL front allots no memory."""

    def figures(self) -> Mapping[str, object]:
        """Return the counters for status lines."""
        return {"clients": len(self.clients), "refused": self.refused}

    def trim_clients(self) -> None:
        """Do nothing: idle sessions may stay, as they hold no server connection unless pinned."""

    def finish_clients(self, idle: float = 0.0) -> bool:
        """Wake all clients, so that idle sessions end; `idle` is ignored. Returns whether none is left."""
        for client in list(self.clients):
            client.wake()
        return not self.clients

    def serve(self, client: Connection) -> Coroutine[None]:
        """Run a client's commands until it disconnects or the sidecar shuts down."""
        reader = PacketReader(MAX_PAYLOAD)
        try:
            session = yield from self.log_in(client, reader)
            if session is None:
                return
            self.clients[client] = session
            while not client.closed and not (self.closing and session.pinned is None):
                reader.restart()
                # One client that sends many commands at once must not hold up all others.
                yield from client.share_turn(math.inf)
                payload = yield from self.read_command(client, reader)
                if not payload or payload[0] == Command.QUIT:
                    return
                try:
                    response_bytes = yield from self.handle_command(session, payload)
                except Fault as error:
                    response_bytes = packets(error.err.encode(), 1)
                if response_bytes is None:
                    return
                yield from client.send(response_bytes, self.loop.now() + COMMAND_TIMEOUT)
        except Malformed as error:
            client.mine()
            yield from self.send_error(client, Err(*MALFORMED, f"malformed packet: {error}"), 0)
        except (Broken, Late, Unwanted):
            return

    def send_error(self, client: Connection, err: Err, sequence: int) -> Coroutine[None]:
        """Send an ERR packet, unless the client can't take it now."""
        if client.writable and not client.closed:
            try:
                client.send_some(memoryview(packets(err.encode(), sequence)))
            except Broken:
                return
        yield from ()

    def read_command(self, client: Connection, reader: PacketReader) -> Coroutine[bytes | None]:
        """Read the next command; None if the client disconnected or an idle session ends by shutdown."""
        until = math.inf
        while (payload := reader.payload()) is None:
            if reader.has_partial_payload and until == math.inf:
                until = self.loop.now() + COMMAND_TIMEOUT
            client.mine()
            data = yield from client.await_bytes(
                until, lambda: client.closed or (self.closing and not reader.has_partial_payload)
            )
            if not data:
                return None
            reader.receive(data)
        return payload

    # Authentication.

    def log_in(self, client: Connection, reader: PacketReader) -> Coroutine[Session | None]:
        """Run the handshake; returns None if the client was refused."""
        until = self.loop.now() + LOGIN_TIMEOUT
        # Without zero bytes, as the nonce is sent as a NUL-terminated string.
        nonce = bytes(1 + byte % 255 for byte in secrets.token_bytes(20))
        self.sessions += 1
        greeting = Greeting(VERSION, self.sessions & 0xFFFFFFFF, nonce, SUPPORTED_CAPABILITIES, auth.CACHING)
        yield from client.send(packets(greeting.encode(), 0), until)
        reader.restart(1)
        reader.max_payload = 64 * 1024
        login = Login.decode((yield from self.read_payload(client, reader, until)))
        account = yield from self.authenticate(client, reader, login, nonce, until)
        reader.max_payload = MAX_PAYLOAD
        if account is None:
            return None
        session = Session(
            client, self.sessions, account, login.capabilities & SUPPORTED_CAPABILITIES, login.database
        )
        yield from client.send(packets(Ok().encode(session.capabilities), reader.sequence), until)
        return session

    def read_payload(self, client: Connection, reader: PacketReader, until: float) -> Coroutine[bytes]:
        """Read a payload during the handshake; raises Broken if the client disconnects."""
        while (payload := reader.payload()) is None:
            data = yield from client.await_bytes(until, lambda: client.closed)
            if not data:
                raise Broken("the client closed the connection")
            reader.receive(data)
        return payload

    def authenticate(
        self, client: Connection, reader: PacketReader, login: Login, nonce: bytes, until: float
    ) -> Coroutine[Account | None]:
        """Authenticate the client; returns None after an ERR packet."""
        if login.capabilities & REQUIRED_CAPABILITIES != REQUIRED_CAPABILITIES:
            yield from self.send_error(
                client,
                Err(*NOT_SUPPORTED, "the client must support protocol 4.1 and secure connections"),
                reader.sequence,
            )
            return None
        plugin, auth_response = login.plugin, login.auth_response
        if plugin not in auth.RESPONSE_FUNCTIONS:
            plugin = auth.CACHING
            yield from client.send(packets(encode_auth_switch(plugin, nonce), reader.sequence), until)
            reader.restart(reader.sequence + 1)
            auth_response = yield from self.read_payload(client, reader, until)
        password = self.users.get(login.user)
        # An unknown user takes as long as a wrong password, so timing doesn't reveal which users exist.
        verified = auth.verify_response(
            plugin, auth_response, password if password is not None else nonce, nonce
        )
        if password is None or not verified:
            message = f"Access denied for user '{login.user[:32]}'"
            yield from self.send_error(client, Err(*ACCESS_DENIED, message), reader.sequence)
            return None
        if plugin == auth.CACHING and auth_response:
            yield from client.send(packets(bytes((1, auth.FAST_OK)), reader.sequence), until)
            reader.restart(reader.sequence + 1)
        return Account(
            login.user,
            password,
            login.capabilities & SUPPORTED_CAPABILITIES & (FORWARDED_CAPABILITIES | REQUIRED_CAPABILITIES)
            | Capability.PLUGIN_AUTH
            | REQUIRED_CAPABILITIES
            | Capability.PLUGIN_AUTH_LENENC
            | Capability.TRANSACTIONS
            | Capability.LONG_PASSWORD
            | Capability.LONG_FLAG,
        )

    # Commands. Handlers return the bytes for the client, or None if its connection must be closed.

    def handle_command(self, session: Session, payload: bytes) -> Coroutine[bytes | None]:
        """Run one command."""
        code, body = payload[0], payload[1:]
        try:
            command = Command(code)
        except ValueError:
            raise Fault(UNKNOWN_COMMAND, f"unknown command {code}") from None
        if command is Command.PING:
            return self.ok_packet(session)
        if command is Command.INIT_DB:
            return (yield from self.change_database(session, body.decode("utf-8", "replace")))
        if command is Command.RESET_CONNECTION:
            self.reset_session(session)
            return self.ok_packet(session)
        if command is Command.QUERY:
            return (yield from self.query(session, body))
        if command is Command.PREPARE:
            return (yield from self.prepare(session, body))
        if command is Command.EXECUTE:
            return (yield from self.execute(session, body))
        if command in (Command.LONG_DATA, Command.CLOSE, Command.RESET):
            return self.handle_statement_command(session, command, body)
        raise Fault(NOT_SUPPORTED, f"{command.name} is not supported")

    def ok_packet(self, session: Session) -> bytes:
        """Return an OK packet with the session's status."""
        status = Status.AUTOCOMMIT | (Status.IN_TRANSACTION if session.in_transaction else Status(0))
        return packets(Ok(status=status).encode(session.capabilities), 1)

    def reset_session(self, session: Session) -> None:
        """Reset the session to its state after log-in, except for the database."""
        if session.pinned is not None:
            self.back.servers.close(session.pinned)
        session.pinned, session.in_transaction, session.insert_id = None, False, 0
        session.pinning_effects.clear()
        session.variables.clear()
        session.statements.clear()

    def change_database(self, session: Session, database: str) -> Coroutine[bytes | None]:
        """Change the database, at once on a pinned server connection."""
        if not database or len(database) > 64:
            raise Fault(NO_DATABASE, "expected a database name of 1 to 64 characters")
        if session.pinned is not None:
            request = self.make_request(session, Command.INIT_DB, database.encode())
            response_bytes = yield from self.run_pinned(session, request, self.statements.default)
            if request.response is not None and request.response.error is None:
                session.database = session.pinned.database = database
            return response_bytes
        session.database = database  # set on the server that runs the next statement
        return self.ok_packet(session)

    def make_request(
        self, session: Session, command: Command, body: bytes, **options: object
    ) -> CommandRequest:
        """Build a request with the session's current state."""
        return CommandRequest(
            command,
            body,
            session.account,
            session.database,
            dict(session.variables),
            0,
            session.client,
            **options,  # type: ignore[arg-type]
        )

    def query(self, session: Session, body: bytes) -> Coroutine[bytes | None]:
        """Run a text query; SET and USE alone need no server unless the session is pinned."""
        sql = body.decode("utf-8", "replace")
        classification = self.statements.meaning(sql, session.account.user, session.name)
        only_sets = classification.side_effects <= {"set", "use"} and classification.side_effects
        if only_sets and session.pinned is None and ";" not in sql.rstrip().rstrip(";"):
            # Stored in the session and applied to the server that runs the next statement.
            change = change_after(classification.effects, len(classification.effects), failed=False)
            session.variables.update(change.variables)
            session.database = change.database or session.database
            return self.ok_packet(session)
        return (
            yield from self.run_request(
                session, self.make_request(session, Command.QUERY, body), classification
            )
        )

    def run_request(
        self, session: Session, request: CommandRequest, classification: Classification
    ) -> Coroutine[bytes | None]:
        """Run a request on the pinned connection or through the balancer."""
        if "insert_id" in classification.side_effects:
            request.insert_id = session.insert_id
        if session.pinned is not None:
            response_bytes = yield from self.run_pinned(session, request, classification.traffic_type)
        else:
            now = self.loop.now()
            given = Given(
                classification.traffic_type,
                classification.key,
                None,
                False,
                self.core.expiry(classification.traffic_type, now, None),
                request,
            )
            final = yield from self.taker.run(given, lambda: session.client.ended)
            response_bytes = self.client_bytes(session, request, final)
        self.update_session(session, request, classification)
        return response_bytes

    def client_bytes(self, session: Session, request: CommandRequest, final: Final) -> bytes | None:
        """Return the bytes for the client; raises Fault if the request was rejected or terminated."""
        if isinstance(final, Finished):
            return bytes(request.buffered)
        if isinstance(final, Left | Broke):
            return None
        cause = f" ({request.failure})" if request.failure else ""
        if isinstance(final, Rejected):
            delay = f", best after {final.hold_off:.1f} s" if final.hold_off > 0 else ""
            effect = "it may have run, but may safely run again" if final.ran else "it never ran"
            raise Fault(REJECTED, f"rejected: {effect}; retrying is safe{delay}{cause}")
        raise Fault(TERMINATED, f"terminated: it may have run{cause}")

    def run_pinned(
        self, session: Session, request: CommandRequest, type_index: int
    ) -> Coroutine[bytes | None]:
        """Run a request once, on the server connection that the session is pinned to."""
        server = session.pinned
        assert server is not None
        if not self.may_take(server, session.in_transaction):
            lost = self.discard_pinned(session)
            raise Fault(
                STATE_LOST,
                f"never ran: the server is draining, disabled or was removed; lost session state: {lost}",
            )
        request.variables, request.database, request.pinned = dict(server.variables), server.database, True
        until = self.core.expiry(type_index, self.loop.now(), None)

        def client_left() -> bool:
            return session.client.ended

        result = yield from self.back.run(
            request, server, until, until, client_left, client_left, lambda: None
        )
        if result.outcome is AttemptOutcome.SERVED:
            return bytes(request.buffered)
        lost = self.discard_pinned(session)
        if result.broke or client_left():
            return None
        never_ran = result.outcome is AttemptOutcome.NOT_CONNECTED
        raise Fault(
            STATE_LOST if never_ran else TERMINATED,
            f"{'never ran' if never_ran else 'terminated: it may have run'}; "
            f"the server connection was lost, and with it: {lost}",
        )

    def may_take(self, server: ServerConnection, in_transaction: bool) -> bool:
        """Return whether a pinned session may send its server another statement.

        A server that drains may be sent those of an open transaction until its grace is over.
        """
        directory, (endpoint, address) = self.core.directory, server.target
        if directory.addresses.get(endpoint) != address or endpoint in directory.left_out:
            return False
        draining_since = directory.draining.get(endpoint)
        if draining_since is None:
            return True
        return in_transaction and self.loop.now() - draining_since <= self.core.settings.drain_grace

    def discard_pinned(self, session: Session) -> str:
        """Reset a session whose pinned connection is lost; returns a description of the lost state."""
        lost = sorted(session.pinning_effects) + (["the open transaction"] if session.in_transaction else [])
        statements = session.statements
        session.statements = OrderedDict()
        self.reset_session(session)
        session.statements = statements  # the sidecar keeps prepared statements itself
        return ", ".join(lost) or "nothing"

    def update_session(
        self, session: Session, request: CommandRequest, classification: Classification
    ) -> None:
        """Record what the command has changed, and pin or release the connection accordingly.

        Only a connection whose state is known is released: by the statements that have completed and by the
        status flags of the server, which an error does not have.
        """
        server, response = request.server, request.response
        if server is None or response is None:
            return
        effects = classification.effects if request.sent else ()
        change = change_after(effects, response.results, response.error is not None)
        session.variables.update(change.variables)
        server.variables.update(change.variables)
        if change.database:
            session.database = server.database = change.database
        session.pinning_effects |= change.pinning_effects
        if response.insert_id:
            session.insert_id = server.insert_id = response.insert_id
            server.needs_reset = True
        if response.status is not None:
            session.in_transaction = bool(response.status & Status.IN_TRANSACTION)
            if bool(response.status & Status.AUTOCOMMIT) is server.autocommit:
                session.pinning_effects.discard("autocommit")
            else:
                session.pinning_effects.add("autocommit")
        if response.error is not None:
            # An error packet has no status flags, so nothing is assumed of the state that it leaves behind.
            server.needs_reset = True
            session.in_transaction |= change.may_be_in_transaction
        if session.pinning_effects or session.in_transaction:
            if session.pinned is None:
                self.pins += 1
            session.pinned = server
            return
        session.pinned = None
        self.back.servers.release(server)

    # Prepared statements.

    def prepare(self, session: Session, body: bytes) -> Coroutine[bytes | None]:
        """Prepare a statement on a server and replace the server's id by the session's own."""
        if len(session.statements) >= MAX_STATEMENTS:
            session.statements.popitem(last=False)
        sql = body.decode("utf-8", "replace")
        classification = self.statements.meaning(sql, session.account.user, session.name)
        session.last_statement += 1
        statement_id, binding = session.last_statement, self.binding(session, sql)
        request = self.make_request(session, Command.PREPARE, body, binding=binding)
        request.client = None
        # Preparing runs nothing; the key sends it to the server that would run the statement.
        no_effects = Classification(classification.traffic_type, classification.key)
        response_bytes = yield from self.run_request(session, request, no_effects)
        if response_bytes is None or request.response is None or request.response.prepared is None:
            return response_bytes
        prepared = request.response.prepared
        if request.server is not None:
            request.server.prepared[binding] = prepared
        session.statements[statement_id] = Statement(statement_id, binding, prepared.parameters)
        header = Prepared(statement_id, prepared.columns, prepared.parameters, prepared.warnings).encode()
        return response_bytes[:4] + header + response_bytes[4 + len(header) :]

    def binding(self, session: Session, sql: str) -> StatementBinding:
        """Return what a statement is bound to that the session prepares now."""
        state = session if session.pinned is None else session.pinned
        owner = None if session.is_known else (session.number, session.last_statement)
        return StatementBinding(sql, state.database, tuple(state.variables.items()), owner)

    def find_statement(self, session: Session, body: bytes) -> Statement:
        """Return the prepared statement that the command names; raises Fault if there is none."""
        statement_id = Cursor(body).number(4)
        statement = session.statements.get(statement_id)
        if statement is None:
            raise Fault(NO_STATEMENT, f"Unknown prepared statement handler ({statement_id})")
        session.statements.move_to_end(statement_id)
        return statement

    def handle_statement_command(self, session: Session, command: Command, body: bytes) -> bytes:
        """Handle COM_STMT_SEND_LONG_DATA, COM_STMT_CLOSE and COM_STMT_RESET, which need no server."""
        if command is Command.CLOSE:
            session.statements.pop(Cursor(body).number(4), None)
            return b""
        if command is Command.RESET:
            self.find_statement(session, body).long_data.clear()
            return self.ok_packet(session)
        cursor = Cursor(body, 4)
        try:
            statement, parameter = self.find_statement(session, body), cursor.number(2)
        except Fault:
            return b""  # long data has no response; EXECUTE reports the error
        data = statement.long_data.setdefault(parameter, bytearray())
        data += cursor.rest()
        total_size = sum(
            len(chunk)
            for session_statement in session.statements.values()
            for chunk in session_statement.long_data.values()
        )
        if total_size > MAX_PAYLOAD or parameter >= statement.parameters:
            session.statements.pop(statement.id)  # EXECUTE reports the error
        return b""

    def execute(self, session: Session, body: bytes) -> Coroutine[bytes | None]:
        """Run a prepared statement."""
        statement = self.find_statement(session, body)
        cursor = Cursor(body, 4)
        cursor.take(1)  # cursor flags: cursors are not supported, the whole result is sent at once
        cursor.take(4)  # iteration count
        values: list[str | None] = [None] * statement.parameters
        body_rest = b"\0" + struct.pack("<I", 1)
        if statement.parameters:
            null_bitmap = cursor.take((statement.parameters + 7) // 8)
            if cursor.number(1):
                statement.types = cursor.take(2 * statement.parameters)
            if len(statement.types) != 2 * statement.parameters:
                raise Malformed("expected the parameter types with the first EXECUTE")
            data = cursor.rest()
            values = parameter_values(statement, null_bitmap, data)
            body_rest += null_bitmap + b"\1" + statement.types + data
        classification = self.statements.meaning(
            statement.binding.sql, session.account.user, session.name, values
        )
        request = self.make_request(
            session,
            Command.EXECUTE,
            body_rest,
            binding=statement.binding,
            long_data={index: bytes(chunk) for index, chunk in statement.long_data.items()},
        )
        response_bytes = yield from self.run_request(session, request, classification)
        statement.long_data.clear()
        return response_bytes


INTEGER_SIZES = {1: 1, 2: 2, 13: 2, 3: 4, 9: 4, 8: 8}  # integers: bytes by type code
FIXED_SIZES = {4: 4, 5: 8, 6: 0}  # float, double, null: bytes by type code
DATE_TYPES = (7, 10, 11, 12)  # timestamp, date, time, datetime


def parameter_values(statement: Statement, null_bitmap: bytes, data: bytes) -> list[str | None]:
    """Return the parameter values that can serve as keys, as text; None for the others."""
    cursor, values = Cursor(data), list[str | None]()
    for index in range(statement.parameters):
        kind, unsigned = statement.types[2 * index], statement.types[2 * index + 1] & 0x80
        if null_bitmap[index // 8] >> index % 8 & 1 or index in statement.long_data:
            values.append(None)
        elif kind in INTEGER_SIZES:
            values.append(
                str(int.from_bytes(cursor.take(INTEGER_SIZES[kind]), "little", signed=not unsigned))
            )
        elif kind in FIXED_SIZES:
            cursor.take(FIXED_SIZES[kind])
            values.append(None)
        elif kind in DATE_TYPES:
            cursor.take(cursor.number(1))
            values.append(None)
        else:
            values.append(cursor.lenenc_bytes().decode("utf-8", "replace"))
    return values
