"""Pool of connections to database servers: authentication, reuse and session state."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from ...errors import Trouble
from ...protocol.mysql import auth
from ...protocol.mysql.messages import (
    REQUIRED_CAPABILITIES,
    Capability,
    Command,
    Err,
    Greeting,
    Login,
    Ok,
    Prepared,
    ResponseReader,
    Status,
    decode_auth_switch,
)
from ...protocol.mysql.wire import Malformed, Packet, PacketReader, count_packets, packets
from ...transport.address import Address
from ...transport.connection import Broken, Connection, Unless, Unwanted, open_connection
from ...transport.loop import Coroutine, Loop, Task

MAX_PACKET_PAYLOAD = 0xFFFFFF
MAX_PREPARED = 100  # statements prepared on one connection
FULL_CODES = (1040, 1203, 1226)  # too many connections: refused without running anything
MAX_PREPARED_REACHED = 1461  # the server's limit, over all connections
# Errors that are the fault of a session's state or a statement's text: classes of SQL states, and a code.
CLIENT_FAULT_STATES, UNKNOWN_VARIABLE = ("22", "3D", "42"), 1193
IDLE_TIMEOUT = 60.0  # seconds

Target = tuple[str, Address]


class Refused(Trouble):
    """The server refused a connection or an internal command; `full` if it has no connection left."""

    remedy = (
        "make sure that the server has the users of the MySQL configuration file and accepts their passwords "
        "without TLS"
    )

    def __init__(self, reason: str, full: bool = False) -> None:
        super().__init__(reason)
        self.full = full


class StateRefused(Trouble):
    """The server refused a session's state, or a text to be prepared again; the client gets its error."""

    remedy = "the client must name a database, variables and tables that the servers have"

    def __init__(self, err: Err) -> None:
        super().__init__(f"{err.code} {err.message}"[:200])
        self.err = err


def is_client_fault(err: Err) -> bool:
    """Return whether any server would answer so, as the fault is in what the client has sent."""
    if err.code in (*FULL_CODES, MAX_PREPARED_REACHED):
        return False
    return err.code == UNKNOWN_VARIABLE or err.state.startswith(CLIENT_FAULT_STATES)


@dataclass(frozen=True, slots=True)
class Account:
    """User, password and negotiated capabilities; connections of one account serve any of its sessions."""

    user: str
    password: bytes
    capabilities: Capability


@dataclass(frozen=True, slots=True)
class StatementBinding:
    """What a server binds a prepared statement to: its text, and the session's state at its preparation.

    Names are resolved in the default database of that time, and the text is read by its sql_mode and
    character sets, whatever the session changes later.

    Attributes:
        sql: The text.
        database: The default database.
        variables: The session variables that had been set.
        owner: Session and number of the statement where its session may have changed more than that, so that
            no other statement is bound alike.
    """

    sql: str
    database: str
    variables: tuple[tuple[str, str], ...]
    owner: tuple[int, int] | None = None


@dataclass(slots=True, eq=False)
class ServerConnection:
    """One authenticated connection and the state of its session on the server."""

    connection: Connection
    target: Target
    account: Account
    database: str
    reader: PacketReader
    variables: dict[str, str] = field(default_factory=dict)
    prepared: OrderedDict[StatementBinding, Prepared] = field(default_factory=OrderedDict)
    insert_id: int = 0
    needs_reset: bool = False  # may hold session state that only a reset removes
    autocommit: bool = True  # whether its session commits each statement if nothing is set
    idle_since: float = 0.0

    def can_serve(self, account: Account, database: str) -> bool:
        """Return whether a session of this account and default database can use the connection at all.

        A default database can be changed, but not taken away: a session that has none would find its names in
        the database of another session.
        """
        return self.account == account and bool(database or not self.database)

    def reusable_for(self, variables: dict[str, str]) -> bool:
        """Return whether a session with these variables can use the connection without a reset."""
        return not self.needs_reset and all(name in variables for name in self.variables)


class ServerPool:
    """Connections to database servers, limited to `most_each` per server."""

    def __init__(self, loop: Loop, most_each: int) -> None:
        self.loop, self.most_each = loop, most_each
        self.idle: dict[Target, list[ServerConnection]] = {}
        self.open_counts: dict[Target, int] = {}
        self.waiting: dict[Target, deque[Task]] = {}  # tasks waiting for a connection, in order of arrival
        self.created = self.reused = self.resets = 0

    # Acquiring and releasing.

    def acquire(
        self,
        target: Target,
        account: Account,
        database: str,
        variables: dict[str, str],
        until: float,
        unless: Unless,
    ) -> Coroutine[ServerConnection]:
        """Return a connection for a session with this state, waiting in turn if all are in use.

        Raises Broken, Late, Unwanted or Refused.
        """
        task, queued = self.loop.current, False
        assert task is not None
        waiting = self.waiting.setdefault(target, deque())
        try:
            while True:
                is_first = not waiting or waiting[0] is task
                server = self.take_idle(target, account, database, variables) if is_first else None
                if server is not None:
                    self.reused += 1
                    return server
                if is_first and (self.open_counts.get(target, 0) < self.most_each or self.make_room(target)):
                    break
                if not queued:
                    queued = True
                    waiting.append(task)
                if unless is not None and unless():
                    raise Unwanted
                if self.loop.now() >= until:
                    raise Refused("all connections to the server are in use", full=True)
                yield until
        finally:
            if queued:
                waiting.remove(task)
                if waiting:
                    waiting[0].wake()
        self.open_counts[target] = self.open_counts.get(target, 0) + 1
        try:
            server = yield from self.log_in(target, account, until, unless)
        except BaseException:
            self.discard(target)
            raise
        self.created += 1
        return server

    def take_idle(
        self, target: Target, account: Account, database: str, variables: dict[str, str]
    ) -> ServerConnection | None:
        """Return an idle connection for this state, preferring no reset, then the latest used."""
        idle = self.idle.get(target, [])
        candidates = [candidate for candidate in idle if candidate.can_serve(account, database)]
        for server in sorted(
            candidates,
            key=lambda candidate: (candidate.reusable_for(variables), candidate.idle_since),
            reverse=True,
        ):
            idle.remove(server)
            if server.connection.sound():
                return server
            self.close(server)
        return None

    def make_room(self, target: Target) -> bool:
        """Close the connection that has been idle longest, so that another one can be opened."""
        idle = self.idle.get(target)
        if not idle:
            return False
        self.close(idle.pop(0))
        return True

    def release(self, server: ServerConnection) -> None:
        """Return a connection to the pool."""
        server.idle_since = self.loop.now()
        server.connection.wake = lambda: None
        self.idle.setdefault(server.target, []).append(server)
        self.wake_next(server.target)

    def close(self, server: ServerConnection) -> None:
        """Close a connection, unless it is closed already."""
        if not server.connection.closed:
            server.connection.close()
            self.discard(server.target)

    def discard(self, target: Target) -> None:
        """Count a connection as closed and let the next task proceed."""
        self.open_counts[target] -= 1
        if not self.open_counts[target]:
            del self.open_counts[target]
        self.wake_next(target)

    def wake_next(self, target: Target) -> None:
        """Wake the task that has waited longest."""
        if self.waiting.get(target):
            self.waiting[target][0].wake()

    def drop(self, target: Target) -> None:
        """Close all idle connections to a server."""
        for server in self.idle.pop(target, []):
            self.close(server)

    def close_expired(self) -> None:
        """Close connections that have been idle too long or are no longer healthy."""
        now = self.loop.now()
        for target, idle in list(self.idle.items()):
            for server in list(idle):
                if now - server.idle_since > IDLE_TIMEOUT or not server.connection.sound():
                    idle.remove(server)
                    self.close(server)
            if not idle:
                del self.idle[target]
        self.waiting = {target: waiting for target, waiting in self.waiting.items() if waiting}

    # Authentication.

    def log_in(
        self, target: Target, account: Account, until: float, unless: Unless
    ) -> Coroutine[ServerConnection]:
        """Open a connection and authenticate; raises Refused if the server doesn't accept it."""
        connection = open_connection(self.loop, target[1])
        try:
            yield from connection.establish(until, unless)
            server = ServerConnection(connection, target, account, "", PacketReader(MAX_PACKET_PAYLOAD + 1))
            greeting = Greeting.decode(
                self.check_error((yield from self.read_payload(server, until, unless)))
            )
            if (
                not greeting.capabilities & REQUIRED_CAPABILITIES == REQUIRED_CAPABILITIES
                or account.capabilities & ~greeting.capabilities & Capability.DEPRECATE_EOF
            ):
                raise Refused("the server lacks required protocol capabilities")
            plugin = greeting.plugin if greeting.plugin in auth.RESPONSE_FUNCTIONS else auth.NATIVE
            nonce = greeting.nonce
            login = Login(
                account.capabilities,
                account.user,
                auth.RESPONSE_FUNCTIONS[plugin](account.password, nonce),
                "",
                plugin,
                greeting.charset,
            )
            yield from connection.send(packets(login.encode(), server.reader.sequence), until, unless)
            server.reader.restart(server.reader.sequence + 1)
            while True:
                payload = self.check_error((yield from self.read_payload(server, until, unless)))
                if payload[:1] == b"\0":
                    server.autocommit = bool(Ok.decode(payload).status & Status.AUTOCOMMIT)
                    return server
                if payload[:1] == b"\xfe":
                    plugin, nonce = decode_auth_switch(payload)
                    if plugin not in auth.RESPONSE_FUNCTIONS:
                        raise Refused(
                            f"the server requires the unsupported authentication plugin {plugin[:40]!r}"
                        )
                    auth_response = auth.RESPONSE_FUNCTIONS[plugin](account.password, nonce)
                    yield from connection.send(packets(auth_response, server.reader.sequence), until, unless)
                    server.reader.restart(server.reader.sequence + 1)
                elif payload[:2] == bytes((1, auth.FULL_AUTH_REQUIRED)):
                    # Full authentication would send the password unencrypted.
                    raise Refused(
                        "the server requires full authentication, which sends the password and needs TLS"
                    )
                elif payload[:2] != bytes((1, auth.FAST_OK)):
                    raise Refused("unexpected packet from the server during authentication")
        except Malformed as error:
            connection.close()
            raise Refused(str(error)) from None
        except BaseException:
            connection.close()
            raise

    def check_error(self, payload: bytes) -> bytes:
        """Return the payload; raises Refused for an ERR packet."""
        if payload[:1] == b"\xff":
            err = Err.decode(payload)
            raise Refused(f"{err.code} {err.message}"[:200], full=err.code in FULL_CODES)
        return payload

    # Internal commands.

    def read_packet(self, server: ServerConnection, until: float, unless: Unless) -> Coroutine[Packet]:
        """Read the next packet."""
        yield from server.connection.share_turn(until, unless)
        while (packet := server.reader.packet()) is None:
            data = yield from server.connection.await_bytes(until, unless)
            if not data:
                raise Broken("the server closed the connection")
            server.reader.receive(data)
        return packet

    def read_payload(self, server: ServerConnection, until: float, unless: Unless) -> Coroutine[bytes]:
        """Read a payload that fits one packet."""
        return (yield from self.read_packet(server, until, unless)).payload

    def send_command(
        self, server: ServerConnection, command: bytes, until: float, unless: Unless
    ) -> Coroutine[None]:
        """Send a command and expect the sequence numbers of its response."""
        server.reader.restart(count_packets(len(command)))
        yield from server.connection.send(packets(command, 0), until, unless)

    def run_internal(
        self, server: ServerConnection, kind: Command, body: bytes, until: float, unless: Unless
    ) -> Coroutine[ResponseReader]:
        """Run a command whose response is short and not for the client.

        Raises:
            StateRefused: An ERR packet whose cause is what the client has sent.
            Refused: Any other ERR packet.
        """
        yield from self.send_command(server, bytes((kind,)) + body, until, unless)
        response = ResponseReader(server.account.capabilities, kind)
        complete = False
        while not complete:
            packet = yield from self.read_packet(server, until, unless)
            complete = response.packet(packet.payload)
        if response.error is not None and is_client_fault(response.error):
            raise StateRefused(response.error)
        if response.error is not None:
            raise Refused(f"{response.error.code} {response.error.message}"[:200])
        return response

    def apply_session_state(
        self,
        server: ServerConnection,
        database: str,
        variables: dict[str, str],
        insert_id: int,
        pinned: bool,
        until: float,
        unless: Unless,
    ) -> Coroutine[None]:
        """Set the state that the session needs and remove that of others.

        A connection that the session is pinned to already has its state.
        """
        if not pinned and not server.reusable_for(variables):
            yield from self.run_internal(server, Command.RESET_CONNECTION, b"", until, unless)
            self.resets += 1
            server.variables, server.needs_reset, server.insert_id = {}, False, 0
            server.prepared.clear()
        yield from self.select_state(server, database, variables, until, unless)
        if insert_id and server.insert_id != insert_id:
            yield from self.run_internal(
                server, Command.QUERY, b"SET last_insert_id = %d" % insert_id, until, unless
            )
            server.insert_id, server.needs_reset = insert_id, True

    def select_state(
        self,
        server: ServerConnection,
        database: str,
        variables: Mapping[str, str],
        until: float,
        unless: Unless,
    ) -> Coroutine[None]:
        """Change the default database and the session variables to these, as far as they differ."""
        if database and server.database != database:
            yield from self.run_internal(server, Command.INIT_DB, database.encode(), until, unless)
            server.database = database
        changes = {name: "DEFAULT" for name in server.variables if name not in variables}
        changes |= {name: value for name, value in variables.items() if server.variables.get(name) != value}
        for name, value in changes.items():
            statement = f"SET NAMES {value}" if name == "names" else f"SET SESSION {name} = {value}"
            yield from self.run_internal(server, Command.QUERY, statement.encode(), until, unless)
            server.variables[name] = value
            if name not in variables:
                del server.variables[name]

    def evict_prepared(
        self, server: ServerConnection, binding: StatementBinding, until: float, unless: Unless
    ) -> Coroutine[None]:
        """Close an earlier preparation of this statement, and the least recently used beyond the limit."""
        while binding in server.prepared or len(server.prepared) >= MAX_PREPARED:
            evicted = server.prepared.pop(
                binding if binding in server.prepared else next(iter(server.prepared))
            )
            body = bytes((Command.CLOSE,)) + evicted.id.to_bytes(4, "little")  # has no response
            yield from server.connection.send(packets(body, 0), until, unless)

    def prepare(
        self, server: ServerConnection, binding: StatementBinding, until: float, unless: Unless
    ) -> Coroutine[Prepared]:
        """Return the server's prepared statement for a binding.

        If there is none, it is prepared in the state that its client had prepared it in; the connection then
        has its present state again.
        """
        prepared = server.prepared.get(binding)
        if prepared is not None:
            server.prepared.move_to_end(binding)
            return prepared
        yield from self.evict_prepared(server, binding, until, unless)
        database, variables = server.database, dict(server.variables)
        try:
            yield from self.select_state(server, binding.database, dict(binding.variables), until, unless)
            response = yield from self.run_internal(
                server, Command.PREPARE, binding.sql.encode(), until, unless
            )
        except StateRefused:
            yield from self.select_state(server, database, variables, until, unless)
            raise
        assert response.prepared is not None
        server.prepared[binding] = response.prepared
        yield from self.select_state(server, database, variables, until, unless)
        return response.prepared
