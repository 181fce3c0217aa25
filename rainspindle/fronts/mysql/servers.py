"""Connections to database servers: logged in, kept, brought to the state that a session needs, or thrown
away."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from ...errors import Trouble
from ...protocol.mysql import auth
from ...protocol.mysql.messages import (
    NEEDED,
    AnswerReader,
    Can,
    Command,
    Err,
    Greeting,
    Login,
    Prepared,
    decode_switch,
)
from ...protocol.mysql.wire import Malformed, Packet, PacketReader, count_packets, packets
from ...transport.address import Address
from ...transport.connection import Broken, Connection, Unless, Unwanted, open_connection
from ...transport.loop import Coroutine, Loop, Task

MOST_PACKET = 0xFFFFFF
MOST_PREPARED = 100  # statements prepared on one connection
FULL_CODES = (1040, 1203, 1226)  # too many connections: turned away unseen
IDLE_TIME = 60.0

Place = tuple[str, Address]


class Refused(Trouble):
    """A server that does not let us in, or not now; `full` where it has no room."""

    remedy = "see that the server knows the users of the front's file, and takes their passwords without TLS"

    def __init__(self, why: str, full: bool = False) -> None:
        super().__init__(why)
        self.full = full


@dataclass(frozen=True, slots=True)
class Account:
    """Who is logged in, and what was agreed: connections of one account serve any of its sessions."""

    user: str
    password: bytes
    can: Can


@dataclass(slots=True, eq=False)
class Server:
    """One connection that is logged in, and the state that it is in."""

    connection: Connection
    place: Place
    account: Account
    database: str
    reader: PacketReader
    sets: dict[str, str] = field(default_factory=dict)
    prepared: OrderedDict[str, Prepared] = field(default_factory=OrderedDict)
    insert_id: int = 0
    unclean: bool = False  # something is left that only a reset takes away
    idle_since: float = 0.0

    def clean_for(self, sets: dict[str, str]) -> bool:
        """Whether it can take up a session with these variables without a reset."""
        return not self.unclean and all(name in sets for name in self.sets)


class Servers:
    """All connections to database servers, so many to each at most."""

    def __init__(self, loop: Loop, most_each: int) -> None:
        self.loop, self.most_each = loop, most_each
        self.idle: dict[Place, list[Server]] = {}
        self.open: dict[Place, int] = {}
        self.queue: dict[Place, deque[Task]] = {}  # who waits for one, the longest first
        self.made = self.reused = self.resets = 0

    # Taking and giving back.

    def take(
        self, place: Place, account: Account, sets: dict[str, str], until: float, unless: Unless
    ) -> Coroutine[Server]:
        """One for this account; waits in turn where all are in use. Raises Broken, Late, Unwanted,
        Refused."""
        task, waits = self.loop.current, False
        assert task is not None
        queue = self.queue.setdefault(place, deque())
        try:
            while True:
                first = not queue or queue[0] is task
                if first and (server := self.pick(place, account, sets)) is not None:
                    self.reused += 1
                    return server
                if first and (self.open.get(place, 0) < self.most_each or self.make_room(place)):
                    break
                if not waits:
                    waits = True
                    queue.append(task)
                if unless is not None and unless():
                    raise Unwanted
                if self.loop.now() >= until:
                    raise Refused("all connections are in use", full=True)
                yield until
        finally:
            if waits:
                queue.remove(task)
                if queue:
                    queue[0].wake()
        self.open[place] = self.open.get(place, 0) + 1
        try:
            server = yield from self.log_in(place, account, until, unless)
        except BaseException:
            self.closed(place)
            raise
        self.made += 1
        return server

    def pick(self, place: Place, account: Account, sets: dict[str, str]) -> Server | None:
        idle = self.idle.get(place, [])
        mine = [s for s in idle if s.account == account]
        for server in sorted(mine, key=lambda s: (s.clean_for(sets), s.idle_since), reverse=True):
            idle.remove(server)
            if server.connection.sound():
                return server
            self.close(server)
        return None

    def make_room(self, place: Place) -> bool:
        """Closes one that lies idle for another account."""
        idle = self.idle.get(place)
        if not idle:
            return False
        self.close(idle.pop(0))
        return True

    def give(self, server: Server) -> None:
        server.idle_since = self.loop.now()
        server.connection.wake = lambda: None
        self.idle.setdefault(server.place, []).append(server)
        self.next_waits(server.place)

    def close(self, server: Server) -> None:
        if not server.connection.closed:
            server.connection.close()
            self.closed(server.place)

    def closed(self, place: Place) -> None:
        self.open[place] -= 1
        if not self.open[place]:
            del self.open[place]
        self.next_waits(place)

    def next_waits(self, place: Place) -> None:
        if self.queue.get(place):
            self.queue[place][0].wake()

    def drop(self, place: Place) -> None:
        for server in self.idle.pop(place, []):
            self.close(server)

    def sweep(self) -> None:
        now = self.loop.now()
        for place, idle in list(self.idle.items()):
            for server in list(idle):
                if now - server.idle_since > IDLE_TIME or not server.connection.sound():
                    idle.remove(server)
                    self.close(server)
            if not idle:
                del self.idle[place]
        self.queue = {place: queue for place, queue in self.queue.items() if queue}

    # Logging in.

    def log_in(self, place: Place, account: Account, until: float, unless: Unless) -> Coroutine[Server]:
        connection = open_connection(self.loop, place[1])
        try:
            yield from connection.establish(until, unless)
            server = Server(connection, place, account, "", PacketReader(MOST_PACKET + 1))
            greeting = Greeting.decode(self.no_error((yield from self.payload(server, until, unless))))
            if not greeting.can & NEEDED == NEEDED or account.can & ~greeting.can & Can.DEPRECATE_EOF:
                raise Refused("it cannot do what is needed")
            plugin = greeting.plugin if greeting.plugin in auth.PROOFS else auth.NATIVE
            nonce = greeting.nonce
            login = Login(
                account.can,
                account.user,
                auth.PROOFS[plugin](account.password, nonce),
                "",
                plugin,
                greeting.charset,
            )
            yield from connection.send(packets(login.encode(), server.reader.sequence), until, unless)
            server.reader.restart(server.reader.sequence + 1)
            while True:
                told = self.no_error((yield from self.payload(server, until, unless)))
                if told[:1] == b"\0":
                    return server
                if told[:1] == b"\xfe":
                    plugin, nonce = decode_switch(told)
                    if plugin not in auth.PROOFS:
                        raise Refused(f"it wants {plugin[:40]!r}")
                    proof = auth.PROOFS[plugin](account.password, nonce)
                    yield from connection.send(packets(proof, server.reader.sequence), until, unless)
                    server.reader.restart(server.reader.sequence + 1)
                elif told[:2] == bytes((1, auth.FULL_NEEDED)):
                    # The password itself would have to go over a line that all can read.
                    raise Refused("it wants the whole password, which goes over TLS alone")
                elif told[:2] != bytes((1, auth.FAST_OK)):
                    raise Refused("its log-in is not understood")
        except Malformed as fault:
            connection.close()
            raise Refused(str(fault)) from None
        except BaseException:
            connection.close()
            raise

    def no_error(self, payload: bytes) -> bytes:
        if payload[:1] == b"\xff":
            error = Err.decode(payload)
            raise Refused(f"{error.code} {error.message}"[:200], full=error.code in FULL_CODES)
        return payload

    # Commands of our own.

    def packet(self, server: Server, until: float, unless: Unless) -> Coroutine[Packet]:
        while (packet := server.reader.packet()) is None:
            data = yield from server.connection.await_bytes(until, unless)
            if not data:
                raise Broken("the server ended the connection")
            server.reader.receive(data)
        return packet

    def payload(self, server: Server, until: float, unless: Unless) -> Coroutine[bytes]:
        """A short one, whole in one packet."""
        return (yield from self.packet(server, until, unless)).payload

    def write(self, server: Server, command: bytes, until: float, unless: Unless) -> Coroutine[None]:
        server.reader.restart(count_packets(len(command)))
        yield from server.connection.send(packets(command, 0), until, unless)

    def ask(
        self, server: Server, kind: Command, body: bytes, until: float, unless: Unless
    ) -> Coroutine[AnswerReader]:
        """A command whose answer is short and only matters to us. Raises Refused for an ERR."""
        yield from self.write(server, bytes((kind,)) + body, until, unless)
        answer = AnswerReader(server.account.can, kind)
        whole = False
        while not whole:
            packet = yield from self.packet(server, until, unless)
            whole = answer.packet(packet.payload)
        if answer.error is not None:
            raise Refused(f"{answer.error.code} {answer.error.message}"[:200])
        return answer

    def bring(
        self,
        server: Server,
        database: str,
        sets: dict[str, str],
        insert_id: int,
        held: bool,
        until: float,
        unless: Unless,
    ) -> Coroutine[None]:
        """Into the state that a session needs, and no other's. One that the session holds is its own
        already."""
        if not held and not server.clean_for(sets):
            yield from self.ask(server, Command.RESET_CONNECTION, b"", until, unless)
            self.resets += 1
            server.sets, server.unclean, server.insert_id = {}, False, 0
            server.prepared.clear()
        if database and server.database != database:
            yield from self.ask(server, Command.INIT_DB, database.encode(), until, unless)
            server.database = database
        wanted = [(name, value) for name, value in sets.items() if server.sets.get(name) != value]
        for name, value in wanted:
            text = f"SET NAMES {value}" if name == "names" else f"SET SESSION {name} = {value}"
            yield from self.ask(server, Command.QUERY, text.encode(), until, unless)
            server.sets[name] = value
        if insert_id and server.insert_id != insert_id:
            yield from self.ask(server, Command.QUERY, b"SET last_insert_id = %d" % insert_id, until, unless)
            server.insert_id, server.unclean = insert_id, True

    def room_to_prepare(self, server: Server, sql: str, until: float, unless: Unless) -> Coroutine[None]:
        """Closes the same text prepared before, and those used the longest ago."""
        while sql in server.prepared or len(server.prepared) >= MOST_PREPARED:
            oldest = server.prepared.pop(sql if sql in server.prepared else next(iter(server.prepared)))
            body = bytes((Command.CLOSE,)) + oldest.id.to_bytes(4, "little")  # which has no answer
            yield from server.connection.send(packets(body, 0), until, unless)

    def prepare(self, server: Server, sql: str, until: float, unless: Unless) -> Coroutine[Prepared]:
        known = server.prepared.get(sql)
        if known is not None:
            server.prepared.move_to_end(sql)
            return known
        yield from self.room_to_prepare(server, sql, until, unless)
        answer = yield from self.ask(server, Command.PREPARE, sql.encode(), until, unless)
        assert answer.prepared is not None
        server.prepared[sql] = answer.prepared
        return answer.prepared
