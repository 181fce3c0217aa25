"""Statements on their way to a server, and their answers on the way back: whole, or streamed with back-
pressure."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from ...balancer.host import AttemptOutcome
from ...protocol.mysql.messages import AnswerReader, Command, Status
from ...protocol.mysql.wire import Malformed, packets
from ...protocol.settings import SocketSettings
from ...routing.core import Directory, Forwarded, Given
from ...transport.address import Address
from ...transport.connection import Broken, Connection, Late, OutOfSockets, Unless, Unwanted
from ...transport.loop import Coroutine, Loop
from .servers import FULL_CODES, Account, Refused, Server, Servers

log = logging.getLogger("rainspindle.mysql")

HELD = 64 * 1024  # bytes of an answer that are held before the first goes to the client
SHUT_DOWN = (1053, 3032)  # a server that is going down: the statement may have run
LONG_CHUNK = 1 << 20


@dataclass(slots=True)
class Order:
    """One command of a session, as it is to be run on whichever server."""

    command: Command
    body: bytes  # after the command's byte; of an EXECUTE, after the statement's id
    account: Account
    database: str
    sets: dict[str, str]
    insert_id: int  # that LAST_INSERT_ID() must tell, 0 if it is not asked for
    client: Connection | None  # to which the answer is streamed; None: it is held whole
    sql: str = ""  # of the prepared statement
    long_data: dict[int, bytes] = field(default_factory=dict)
    held_by: bool = False  # its session holds the connection, with all that was left behind there
    # What became of it:
    server: Server | None = None  # that answered, for the session to keep or give back
    answer: AnswerReader | None = None
    held: bytearray = field(default_factory=bytearray)  # of the answer, what has not gone to the client
    streamed: bool = False  # a part of the answer has gone to the client
    why: str = ""


class MysqlBack:
    def __init__(self, loop: Loop, servers: Servers, settings: SocketSettings, directory: Directory) -> None:
        self.loop, self.servers, self.settings, self.directory = loop, servers, settings, directory
        self.heard: dict[str, float] = {}

    def drop(self, endpoint: str, address: Address) -> None:
        self.servers.drop((endpoint, address))

    def keep_only(self, endpoints: dict[str, Address]) -> None:
        self.heard = {id: at for id, at in self.heard.items() if id in endpoints}

    def forward(
        self,
        given: Given,
        endpoint: str,
        address: Address,
        until: float,
        before: Callable[[], bool],
        after: Callable[[], bool],
        started: Callable[[], None],
    ) -> Coroutine[Forwarded]:
        """One statement at one server. The answer is in the `Order`; its server is for the session to
        keep."""
        order: Order = given.body
        connect_time = min(self.settings.connect_times[given.type_index], self.settings.drain_grace)
        try:
            connect_until = min(until, self.loop.now() + connect_time)
            server = yield from self.servers.take(
                (endpoint, address), order.account, order.sets, connect_until, before
            )
        except OutOfSockets:
            return Forwarded(AttemptOutcome.NOT_SENT)
        except Refused as fault:
            order.why = str(fault)
            if not fault.full:
                log.warning("server refuses", extra={"fields": {"endpoint": endpoint, **fault.fields()}})
            return Forwarded(AttemptOutcome.OVERLOADED if fault.full else AttemptOutcome.NOT_CONNECTED)
        except (Broken, Late):
            return Forwarded(AttemptOutcome.NOT_CONNECTED)
        except Unwanted:
            return Forwarded(AttemptOutcome.CANCELLED)
        came = yield from self.run(order, server, until, given.expires_at, before, after, started)
        if came.outcome is AttemptOutcome.SERVED:
            self.heard[endpoint] = self.loop.now()
        elif (
            came.outcome is AttemptOutcome.TIMED_OUT
            and self.heard.get(endpoint, -math.inf) < self.loop.now() - 1
        ):
            self.servers.drop((endpoint, address))
        return came

    def run(
        self,
        order: Order,
        server: Server,
        until: float,
        expires_at: float,
        before: Unless,
        after: Unless,
        started: Callable[[], None],
    ) -> Coroutine[Forwarded]:
        """The statement on a connection, which is closed unless the answer is whole."""
        sent = False
        try:
            server.connection.mine()
            yield from self.servers.bring(
                server, order.database, order.sets, order.insert_id, order.held_by, until, before
            )
            body = order.body
            if order.command is Command.PREPARE:
                yield from self.servers.room_to_prepare(server, order.sql, until, before)
            if order.command is Command.EXECUTE:
                prepared = yield from self.servers.prepare(server, order.sql, until, before)
                body = prepared.id.to_bytes(4, "little") + body
                yield from self.send_long(order, server, prepared.id, until, before)
            if before is not None and before():
                raise Unwanted
            yield from self.servers.write(server, bytes((order.command,)) + body, until, before)
            sent = True
            answer = yield from self.answer(order, server, until, expires_at, after, started)
        except Refused as fault:  # of a command before it: the statement itself was not sent
            order.why = str(fault)
            self.servers.close(server)
            return Forwarded(AttemptOutcome.NOT_CONNECTED)
        except Unwanted:
            self.servers.close(server)
            return Forwarded(AttemptOutcome.CANCELLED, broke=order.streamed)
        except Late:
            self.servers.close(server)
            return Forwarded(
                AttemptOutcome.TIMED_OUT if sent else AttemptOutcome.NOT_CONNECTED, broke=order.streamed
            )
        except (Broken, Malformed) as fault:
            order.why = str(fault)
            self.servers.close(server)
            return Forwarded(
                AttemptOutcome.RESET if sent else AttemptOutcome.NOT_CONNECTED, broke=order.streamed
            )
        order.server, order.answer = server, answer
        if answer.error is not None and answer.error.code in SHUT_DOWN + FULL_CODES and not order.streamed:
            order.why = f"{answer.error.code} {answer.error.message}"[:200]
            self.servers.close(server)
            order.server = None
            order.held.clear()
            return Forwarded(AttemptOutcome.ERROR)
        return Forwarded(AttemptOutcome.SERVED, order)

    def send_long(
        self, order: Order, server: Server, id: int, until: float, before: Unless
    ) -> Coroutine[None]:
        head = bytes((Command.LONG_DATA,)) + id.to_bytes(4, "little")
        if order.long_data:
            yield from self.servers.ask(server, Command.RESET, id.to_bytes(4, "little"), until, before)
        for parameter, data in order.long_data.items():
            for at in range(0, max(len(data), 1), LONG_CHUNK):
                part = head + parameter.to_bytes(2, "little") + data[at : at + LONG_CHUNK]
                yield from server.connection.send(packets(part, 0), until, before)

    def answer(
        self,
        order: Order,
        server: Server,
        until: float,
        expires_at: float,
        after: Unless,
        started: Callable[[], None],
    ) -> Coroutine[AnswerReader]:
        """Follows the answer to its end; what is over HELD goes to the client while it comes.

        From then on `until` bounds each silence of the server alone: no other forward can answer."""
        reader, answer = server.reader, AnswerReader(server.account.can, order.command)
        patience = until - self.loop.now()

        def over() -> bool:  # guards against a server that is held, or blamed, for a client that has left
            left = order.streamed and order.client is not None and order.client.ended
            return left or (after is not None and after())

        continued = whole = False
        order.held.clear()
        while not whole:
            packet = reader.packet()
            if packet is None:
                server.connection.mine()
                data = yield from server.connection.await_bytes(until, over)
                if not data:
                    raise Broken("the server ended the connection")
                reader.receive(data)
                continue
            whole = answer.packet(packet.payload, continued)
            continued = packet.more
            size = len(packet.payload)
            order.held += (size | (packet.sequence & 0xFF) << 24).to_bytes(4, "little")
            order.held += packet.payload
            if order.client is not None and len(order.held) >= HELD and not whole:
                if not order.streamed:
                    order.streamed = True
                    started()
                yield from self.flush(order, expires_at)
                until = min(self.loop.now() + patience, expires_at)
        return answer

    def flush(self, order: Order, until: float) -> Coroutine[None]:
        assert order.client is not None
        data = bytes(order.held)
        order.held.clear()
        # The client may be slow for as long as the exchange lasts: the server waits meanwhile.
        try:
            client = order.client
            yield from client.send(data, until, lambda: client.closed)
        except Broken:
            raise Unwanted from None

    def in_transaction(self, order: Order) -> bool:
        return order.answer is not None and bool(order.answer.status & Status.IN_TRANSACTION)
