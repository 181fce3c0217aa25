"""Clients that speak the MySQL wire protocol: each statement is an exchange.

A session that has left something behind is pinned to its server connection until that is provably gone; the
others share connections. The answer to a statement is one: what the server said, or one ERR that tells what
is known.
"""

from __future__ import annotations

import logging
import math
import secrets
import struct
from collections import OrderedDict
from dataclasses import dataclass, field

from ...balancer.host import AttemptOutcome
from ...decisions.statements.statements import Meant, Statements
from ...protocol.mysql import auth
from ...protocol.mysql.messages import (
    NEEDED,
    OURS,
    Can,
    Command,
    Err,
    Greeting,
    Login,
    Ok,
    Prepared,
    Status,
    switch,
)
from ...protocol.mysql.wire import Cursor, Malformed, PacketReader, packets
from ...routing.core import Broke, Core, Final, Finished, Given, Left, Rejected, Taker
from ...transport.connection import Broken, Connection, Late, Unwanted
from ...transport.loop import Coroutine, Loop
from .back import MysqlBack, Order
from .servers import Account, Server

log = logging.getLogger("rainspindle.mysql")

VERSION = "8.0.36-rainspindle"
MOST_PAYLOAD = 64 * 1024 * 1024  # of a command; long data too
MOST_STATEMENTS = 1000  # prepared, of one session
LOGIN_TIME, COMMAND_TIME = 5.0, 30.0  # for a log-in; for a command, from its first byte on
FLAGS = Can.FOUND_ROWS | Can.MULTI_STATEMENTS | Can.MULTI_RESULTS | Can.PS_MULTI_RESULTS | Can.DEPRECATE_EOF
DENIED, UNKNOWN_COMMAND, MALFORMED, NOT_DONE, NO_STATEMENT, TOO_LARGE, NO_DATABASE = (
    (1045, "28000"),
    (1047, "08S01"),
    (1835, "HY000"),
    (1235, "42000"),
    (1243, "HY000"),
    (1153, "08S01"),
    (1046, "3D000"),
)
REJECTED, TERMINATED, STATE_LOST = (1213, "40001"), (1317, "70100"), (1927, "70100")


@dataclass(slots=True)
class Statement:
    """A prepared statement of a client."""

    id: int
    sql: str
    parameters: int
    types: bytes = b""  # as the client last told them
    long_data: dict[int, bytearray] = field(default_factory=dict)


@dataclass(slots=True)
class Session:
    client: Connection
    number: int
    account: Account
    can: Can
    database: str = ""
    sets: dict[str, str] = field(default_factory=dict)
    insert_id: int = 0
    pinned: Server | None = None
    left_behind: set[str] = field(default_factory=set)  # what pins it, but for an open transaction
    in_transaction: bool = False
    statements: OrderedDict[int, Statement] = field(default_factory=OrderedDict)
    last_statement: int = 0

    @property
    def name(self) -> str:
        return f"session {self.number}"


class Fault(Exception):
    """A command that gets an ERR; the session goes on."""

    def __init__(self, code: tuple[int, str], message: str) -> None:
        super().__init__(message)
        self.err = Err(*code, message)


class MysqlFront:
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
        self.leaving = self.closing = False  # SIGTERM has come; connections end when they are idle
        self.ready_from = -math.inf
        self.pins = self.refused = 0

    def accepted(self, client: Connection) -> None:
        if len(self.clients) >= self.most_clients or self.closing:
            self.refused += 1
            client.send_some(memoryview(packets(Err(1040, "08004", "Too many connections").encode(), 0)))
            client.close()
            return
        self.clients[client] = None
        self.loop.spawn(self.serve(client), lambda: self.gone(client))

    def gone(self, client: Connection) -> None:
        session = self.clients.pop(client, None)
        if session is not None and session.pinned is not None:
            self.back.servers.close(session.pinned)  # with it goes whatever the session left behind
            session.pinned = None
        client.close()

    def make_room(self) -> bool:
        return False

    def set_stream_memory(self, size: int) -> None:
        """Nothing is passed on piece by piece here."""

    def trim_clients(self) -> None:
        """Sessions may lie idle for as long as they like: they hold no server unless they are pinned."""

    def finish_clients(self, idle: float = 0.0) -> bool:
        """Sessions end as soon as they are idle, whatever `idle` says."""
        for client in list(self.clients):
            client.wake()
        return not self.clients

    def serve(self, client: Connection) -> Coroutine[None]:
        reader = PacketReader(MOST_PAYLOAD)
        try:
            session = yield from self.log_in(client, reader)
            if session is None:
                return
            self.clients[client] = session
            while not client.closed and not (self.closing and session.pinned is None):
                reader.restart()
                payload = yield from self.command(client, reader)
                if not payload or payload[0] == Command.QUIT:
                    return
                try:
                    out = yield from self.one(session, payload)
                except Fault as fault:
                    out = packets(fault.err.encode(), 1)
                if out is None:
                    return
                yield from client.send(out, self.loop.now() + COMMAND_TIME)
        except Malformed as fault:
            client.mine()
            yield from self.say(client, Err(*MALFORMED, f"malformed packet: {fault}"), 0)
        except (Broken, Late, Unwanted):
            return

    def say(self, client: Connection, err: Err, sequence: int) -> Coroutine[None]:
        if client.writable and not client.closed:
            try:
                client.send_some(memoryview(packets(err.encode(), sequence)))
            except Broken:
                return
        yield from ()

    def command(self, client: Connection, reader: PacketReader) -> Coroutine[bytes | None]:
        until = math.inf
        while (payload := reader.payload()) is None:
            if reader.begun and until == math.inf:
                until = self.loop.now() + COMMAND_TIME
            client.mine()
            data = yield from client.await_bytes(
                until, lambda: client.closed or (self.closing and not reader.begun)
            )
            if not data:
                return None
            reader.receive(data)
        return payload

    # The log-in.

    def log_in(self, client: Connection, reader: PacketReader) -> Coroutine[Session | None]:
        until = self.loop.now() + LOGIN_TIME
        nonce = bytes(1 + b % 255 for b in secrets.token_bytes(20))  # no byte is zero: it goes as a string
        self.sessions += 1
        greeting = Greeting(VERSION, self.sessions & 0xFFFFFFFF, nonce, OURS, auth.CACHING)
        yield from client.send(packets(greeting.encode(), 0), until)
        reader.restart(1)
        reader.most = 64 * 1024
        login = Login.decode((yield from self.packet(client, reader, until)))
        account = yield from self.prove(client, reader, login, nonce, until)
        reader.most = MOST_PAYLOAD
        if account is None:
            return None
        session = Session(client, self.sessions, account, login.can & OURS, login.database)
        yield from client.send(packets(Ok().encode(session.can), reader.sequence), until)
        return session

    def packet(self, client: Connection, reader: PacketReader, until: float) -> Coroutine[bytes]:
        while (payload := reader.payload()) is None:
            data = yield from client.await_bytes(until, lambda: client.closed)
            if not data:
                raise Broken("the client left")
            reader.receive(data)
        return payload

    def prove(
        self, client: Connection, reader: PacketReader, login: Login, nonce: bytes, until: float
    ) -> Coroutine[Account | None]:
        """The account, once the password is proved."""
        if login.can & NEEDED != NEEDED:
            yield from self.say(client, Err(*NOT_DONE, "a client of protocol 4.1 is needed"), reader.sequence)
            return None
        plugin, proof = login.plugin, login.proof
        if plugin not in auth.PROOFS:
            plugin = auth.CACHING
            yield from client.send(packets(switch(plugin, nonce), reader.sequence), until)
            reader.restart(reader.sequence + 1)
            proof = yield from self.packet(client, reader, until)
        password = self.users.get(login.user)
        # One who is not known takes as long as one with a wrong password.
        good = auth.proves(plugin, proof, password if password is not None else nonce, nonce)
        if password is None or not good:
            who = f"Access denied for user '{login.user[:32]}'"
            yield from self.say(client, Err(*DENIED, who), reader.sequence)
            return None
        if plugin == auth.CACHING and proof:
            yield from client.send(packets(bytes((1, auth.FAST_OK)), reader.sequence), until)
            reader.restart(reader.sequence + 1)
        return Account(
            login.user,
            password,
            login.can & OURS & (FLAGS | NEEDED)
            | Can.PLUGIN_AUTH
            | NEEDED
            | Can.PLUGIN_AUTH_LENENC
            | Can.TRANSACTIONS
            | Can.LONG_PASSWORD
            | Can.LONG_FLAG,
        )

    # One command: its bytes to the client, None where the connection is to end.

    def one(self, session: Session, payload: bytes) -> Coroutine[bytes | None]:
        code, body = payload[0], payload[1:]
        try:
            command = Command(code)
        except ValueError:
            raise Fault(UNKNOWN_COMMAND, f"unknown command {code}") from None
        if command is Command.PING:
            return self.ok(session)
        if command is Command.INIT_DB:
            return (yield from self.use(session, body.decode("utf-8", "replace")))
        if command is Command.RESET_CONNECTION:
            self.clean(session)
            return self.ok(session)
        if command is Command.QUERY:
            return (yield from self.query(session, body))
        if command is Command.PREPARE:
            return (yield from self.prepare(session, body))
        if command is Command.EXECUTE:
            return (yield from self.execute(session, body))
        if command in (Command.LONG_DATA, Command.CLOSE, Command.RESET):
            return self.of_statement(session, command, body)
        raise Fault(NOT_DONE, f"{command.name} is not passed on")

    def ok(self, session: Session) -> bytes:
        status = Status.AUTOCOMMIT | (Status.IN_TRANSACTION if session.in_transaction else Status(0))
        return packets(Ok(status=status).encode(session.can), 1)

    def clean(self, session: Session) -> None:
        """As after a log-in, but for the database."""
        if session.pinned is not None:
            self.back.servers.close(session.pinned)
        session.pinned, session.in_transaction, session.insert_id = None, False, 0
        session.left_behind.clear()
        session.sets.clear()
        session.statements.clear()

    def use(self, session: Session, database: str) -> Coroutine[bytes | None]:
        if not database or len(database) > 64:
            raise Fault(NO_DATABASE, "no database of this name")
        if session.pinned is not None:
            order = self.order(session, Command.INIT_DB, database.encode())
            out = yield from self.on_pinned(session, order, self.statements.default)
            if order.answer is not None and order.answer.error is None:
                session.database = session.pinned.database = database
            return out
        session.database = database  # taken by the server that the next statement goes to
        return self.ok(session)

    def order(self, session: Session, command: Command, body: bytes, **more: object) -> Order:
        return Order(
            command,
            body,
            session.account,
            session.database,
            dict(session.sets),
            0,
            session.client,
            **more,  # type: ignore[arg-type]
        )

    def query(self, session: Session, body: bytes) -> Coroutine[bytes | None]:
        sql = body.decode("utf-8", "replace")
        meant = self.statements.meaning(sql, session.account.user, session.name)
        only_sets = meant.leaves <= {"set", "use"} and meant.leaves
        if only_sets and session.pinned is None and ";" not in sql.rstrip().rstrip(";"):
            # Kept by the session, and told to whichever server it goes to next.
            session.sets.update(meant.sets)
            session.database = meant.use or session.database
            return self.ok(session)
        return (yield from self.run(session, self.order(session, Command.QUERY, body), meant))

    def run(self, session: Session, order: Order, meant: Meant) -> Coroutine[bytes | None]:
        if "insert_id" in meant.leaves:
            order.insert_id = session.insert_id
        if session.pinned is not None:
            out = yield from self.on_pinned(session, order, meant.traffic_type)
        else:
            now = self.loop.now()
            given = Given(
                meant.traffic_type,
                meant.key,
                None,
                False,
                self.core.expiry(meant.traffic_type, now, None),
                order,
            )
            final = yield from self.taker.run(given, lambda: session.client.ended)
            out = self.told(session, order, final)
        self.after(session, order, meant)
        return out

    def told(self, session: Session, order: Order, final: Final) -> bytes | None:
        if isinstance(final, Finished):
            return bytes(order.held)
        if isinstance(final, Left | Broke):
            return None
        why = f" ({order.why})" if order.why else ""
        if isinstance(final, Rejected):
            wait = f", best after {final.hold_off:.1f} s" if final.hold_off > 0 else ""
            harmless = "it may have run, and may run again" if final.ran else "it never ran"
            raise Fault(REJECTED, f"rejected: {harmless}; trying again is harmless{wait}{why}")
        raise Fault(TERMINATED, f"terminated: it may have run{why}")

    def on_pinned(self, session: Session, order: Order, type_index: int) -> Coroutine[bytes | None]:
        """On the server connection that the session holds: nowhere else, and once."""
        server = session.pinned
        assert server is not None
        directory, (endpoint, address) = self.core.directory, server.place
        since = directory.draining.get(endpoint)
        late = since is not None and self.loop.now() - since > self.core.settings.drain_grace
        if (
            directory.addresses.get(endpoint) != address
            or late
            or (since is not None and not session.in_transaction)
        ):
            lost = self.lose(session)
            raise Fault(STATE_LOST, f"never ran: the server leaves, and with it {lost}")
        order.sets, order.database, order.held_by = dict(server.sets), server.database, True
        until = self.core.expiry(type_index, self.loop.now(), None)

        def left() -> bool:
            return session.client.ended

        came = yield from self.back.run(order, server, until, until, left, left, lambda: None)
        if came.outcome is AttemptOutcome.SERVED:
            return bytes(order.held)
        lost = self.lose(session)
        if came.broke or left():
            return None
        never = came.outcome is AttemptOutcome.NOT_CONNECTED
        raise Fault(
            STATE_LOST if never else TERMINATED,
            f"{'never ran' if never else 'terminated: it may have run'}; with the server went {lost}",
        )

    def lose(self, session: Session) -> str:
        """The pinned connection is gone: what went with it, in words. The session is clean again."""
        lost = sorted(session.left_behind) + (["the open transaction"] if session.in_transaction else [])
        statements = session.statements
        session.statements = OrderedDict()
        self.clean(session)
        session.statements = statements  # they are the front's own
        return ", ".join(lost) or "nothing"

    def after(self, session: Session, order: Order, meant: Meant) -> None:
        """What the statement left behind, and so whether the connection is kept or given back."""
        server, answer = order.server, order.answer
        if server is None or answer is None:
            return
        if answer.error is None:
            session.sets.update(meant.sets)
            session.database = meant.use or session.database
            server.sets.update(meant.sets)
            server.database = meant.use or server.database
            session.left_behind |= {name for name in meant.leaves if meant.pins and name != "set"}
        elif meant.pins:
            session.left_behind |= {"unknown"}  # of several statements some may have run
        if answer.ok is not None and answer.ok.insert_id:
            session.insert_id = server.insert_id = answer.ok.insert_id
            server.unclean = True
        if answer.error is None:
            session.in_transaction = bool(answer.status & Status.IN_TRANSACTION)
            if answer.status & Status.AUTOCOMMIT:
                session.left_behind.discard("autocommit")
        if session.left_behind or session.in_transaction:
            if session.pinned is None:
                self.pins += 1
            session.pinned = server
            return
        session.pinned = None
        self.back.servers.give(server)

    # Prepared statements.

    def prepare(self, session: Session, body: bytes) -> Coroutine[bytes | None]:
        if len(session.statements) >= MOST_STATEMENTS:
            session.statements.popitem(last=False)
        sql = body.decode("utf-8", "replace")
        meant = self.statements.meaning(sql, session.account.user, session.name)
        order = self.order(session, Command.PREPARE, body, sql=sql)
        order.client = None
        # To prepare runs nothing; it goes where the statement would.
        harmless = Meant(meant.traffic_type, meant.key, frozenset())
        out = yield from self.run(session, order, harmless)
        if out is None or order.answer is None or order.answer.prepared is None:
            return out
        told = order.answer.prepared
        if order.server is not None:
            order.server.prepared[sql] = told
        session.last_statement += 1
        statement = Statement(session.last_statement, sql, told.parameters)
        session.statements[statement.id] = statement
        head = Prepared(statement.id, told.columns, told.parameters, told.warnings).encode()
        return out[:4] + head + out[4 + len(head) :]

    def statement(self, session: Session, body: bytes) -> Statement:
        id = Cursor(body).number(4)
        found = session.statements.get(id)
        if found is None:
            raise Fault(NO_STATEMENT, f"Unknown prepared statement handler ({id})")
        session.statements.move_to_end(id)
        return found

    def of_statement(self, session: Session, command: Command, body: bytes) -> bytes:
        if command is Command.CLOSE:
            session.statements.pop(Cursor(body).number(4), None)
            return b""
        if command is Command.RESET:
            self.statement(session, body).long_data.clear()
            return self.ok(session)
        c = Cursor(body, 4)
        try:
            statement, parameter = self.statement(session, body), c.number(2)
        except Fault:
            return b""  # long data has no answer; the EXECUTE will have one
        data = statement.long_data.setdefault(parameter, bytearray())
        data += c.rest()
        held = sum(len(d) for s in session.statements.values() for d in s.long_data.values())
        if held > MOST_PAYLOAD or parameter >= statement.parameters:
            session.statements.pop(statement.id)  # its EXECUTE gets an error
        return b""

    def execute(self, session: Session, body: bytes) -> Coroutine[bytes | None]:
        statement = self.statement(session, body)
        c = Cursor(body, 4)
        c.take(1)  # a cursor is not kept: the whole result comes at once
        c.take(4)
        values: list[str | None] = [None] * statement.parameters
        rest = b"\0" + struct.pack("<I", 1)
        if statement.parameters:
            nulls = c.take((statement.parameters + 7) // 8)
            if c.number(1):
                statement.types = c.take(2 * statement.parameters)
            if len(statement.types) != 2 * statement.parameters:
                raise Malformed("parameters without their types")
            data = c.rest()
            values = parameters(statement, nulls, data)
            rest += nulls + b"\1" + statement.types + data
        meant = self.statements.meaning(statement.sql, session.account.user, session.name, values)
        order = self.order(
            session,
            Command.EXECUTE,
            rest,
            sql=statement.sql,
            long_data={n: bytes(d) for n, d in statement.long_data.items()},
        )
        out = yield from self.run(session, order, meant)
        statement.long_data.clear()
        return out


WIDTHS = {1: 1, 2: 2, 13: 2, 3: 4, 9: 4, 8: 8}  # integers
OTHERS = {4: 4, 5: 8, 6: 0}  # float, double, null
DATES = (7, 10, 11, 12)


def parameters(statement: Statement, nulls: bytes, data: bytes) -> list[str | None]:
    """The values that can be keys, as text; the others are None."""
    c, found = Cursor(data), list[str | None]()
    for n in range(statement.parameters):
        kind, unsigned = statement.types[2 * n], statement.types[2 * n + 1] & 0x80
        if nulls[n // 8] >> n % 8 & 1 or n in statement.long_data:
            found.append(None)
        elif kind in WIDTHS:
            found.append(str(int.from_bytes(c.take(WIDTHS[kind]), "little", signed=not unsigned)))
        elif kind in OTHERS:
            c.take(OTHERS[kind])
            found.append(None)
        elif kind in DATES:
            c.take(c.number(1))
            found.append(None)
        else:
            found.append(c.lenenc_bytes().decode("utf-8", "replace"))
    return found
