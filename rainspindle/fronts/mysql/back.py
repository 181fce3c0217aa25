"""Runs statements on database servers and buffers or streams the responses, with back-pressure."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from ...balancer.host import AttemptOutcome
from ...protocol.mysql.messages import Command, ResponseReader
from ...protocol.mysql.wire import Malformed, packets
from ...protocol.settings import SocketSettings
from ...routing.core import Directory, Forwarded, Given
from ...transport.address import Address
from ...transport.connection import Broken, Connection, Late, OutOfSockets, Unless, Unwanted
from ...transport.loop import Coroutine, Loop
from .servers import (
    FULL_CODES,
    Account,
    Refused,
    ServerConnection,
    ServerPool,
    StatementBinding,
    StateRefused,
)

log = logging.getLogger("rainspindle.mysql")

STREAM_THRESHOLD = 64 * 1024  # bytes of a response that are buffered before streaming to the client starts
SHUTDOWN_CODES = (1053, 3032)  # server shutdown in progress: the statement may have run
LONG_DATA_CHUNK = 1 << 20  # bytes of parameter data per packet


@dataclass(slots=True)
class CommandRequest:
    """One command of a session, to be run on any server, and its result."""

    command: Command
    body: bytes  # without the command byte; for EXECUTE, also without the statement id
    account: Account
    database: str
    variables: dict[str, str]
    insert_id: int  # the value that LAST_INSERT_ID() must return, 0 if the statement doesn't use it
    client: Connection | None  # receives the streamed response; None buffers it whole
    binding: StatementBinding | None = None  # of the statement that is prepared or executed
    long_data: dict[int, bytes] = field(default_factory=dict)
    pinned: bool = False  # the session is pinned to the connection, whose state is already its own
    # Result:
    server: ServerConnection | None = None  # connection that responded; the session keeps or releases it
    response: ResponseReader | None = None
    sent: bool = False  # whether the command itself has been sent whole to the server that responded
    # The part of the response that has not been sent to the client.
    buffered: bytearray = field(default_factory=bytearray)
    streamed: bool = False  # part of the response has been sent to the client
    failure: str = ""  # cause of a failure, for the error message to the client


class MysqlBack:
    """Forwards commands to database servers for the balancer."""

    def __init__(
        self, loop: Loop, servers: ServerPool, settings: SocketSettings, directory: Directory
    ) -> None:
        self.loop, self.servers, self.settings, self.directory = loop, servers, settings, directory
        self.last_success: dict[str, float] = {}

    def drop(self, endpoint: str, address: Address) -> None:
        """Close the idle connections to an endpoint."""
        self.servers.drop((endpoint, address))

    def keep_only(self, endpoints: dict[str, Address]) -> None:
        """Forget endpoints that have left the endpoint list."""
        self.last_success = {
            endpoint: time for endpoint, time in self.last_success.items() if endpoint in endpoints
        }

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
        """Make one attempt at one server, whose response is stored in the `CommandRequest`.

        The attempt is cancelled when `before` (until the command is sent) or `after` (until the response is
        complete) returns True. `started` is called when streaming starts. On success the session owns the
        server connection.
        """
        request: CommandRequest = given.body
        connect_time = min(self.settings.connect_times[given.type_index], self.settings.drain_grace)
        try:
            connect_until = min(until, self.loop.now() + connect_time)
            server = yield from self.servers.acquire(
                (endpoint, address),
                request.account,
                request.database,
                request.variables,
                connect_until,
                before,
            )
        except OutOfSockets:
            return Forwarded(AttemptOutcome.NOT_SENT)
        except Refused as error:
            request.failure = str(error)
            if not error.full:
                log.warning(
                    "server refused the connection",
                    extra={"fields": {"endpoint": endpoint, **error.fields()}},
                )
            return Forwarded(AttemptOutcome.OVERLOADED if error.full else AttemptOutcome.NOT_CONNECTED)
        except (Broken, Late):
            return Forwarded(AttemptOutcome.NOT_CONNECTED)
        except Unwanted:
            return Forwarded(AttemptOutcome.CANCELLED)
        result = yield from self.run(request, server, until, given.expires_at, before, after, started)
        if result.outcome is AttemptOutcome.SERVED:
            self.last_success[endpoint] = self.loop.now()
        elif (
            result.outcome is AttemptOutcome.TIMED_OUT
            and self.last_success.get(endpoint, -math.inf) < self.loop.now() - 1
        ):
            self.servers.drop((endpoint, address))
        return result

    def run(
        self,
        request: CommandRequest,
        server: ServerConnection,
        until: float,
        expires_at: float,
        before: Unless,
        after: Unless,
        started: Callable[[], None],
    ) -> Coroutine[Forwarded]:
        """Run the command on a connection, which is closed unless the response is complete."""
        request.sent = False
        try:
            server.connection.mine()
            yield from self.servers.apply_session_state(
                server, request.database, request.variables, request.insert_id, request.pinned, until, before
            )
            body = request.body
            if request.binding is not None and request.command is Command.PREPARE:
                yield from self.servers.evict_prepared(server, request.binding, until, before)
            if request.binding is not None and request.command is Command.EXECUTE:
                prepared = yield from self.servers.prepare(server, request.binding, until, before)
                body = prepared.id.to_bytes(4, "little") + body
                yield from self.send_long_data(request, server, prepared.id, until, before)
            if before is not None and before():
                raise Unwanted
            yield from self.servers.send_command(server, bytes((request.command,)) + body, until, before)
            request.sent = True
            response = yield from self.read_response(request, server, until, expires_at, after, started)
        except StateRefused as error:  # the same answer as if the client had a connection of its own
            response = ResponseReader(server.account.capabilities, request.command)
            response.packet(error.err.encode())
            request.buffered[:] = packets(error.err.encode(), 1)
        except Refused as error:  # by a preparatory command; the statement itself was not sent
            request.failure = str(error)
            self.servers.close(server)
            return Forwarded(AttemptOutcome.NOT_CONNECTED)
        except Unwanted:
            self.servers.close(server)
            return Forwarded(AttemptOutcome.CANCELLED, broke=request.streamed)
        except Late:
            self.servers.close(server)
            return Forwarded(
                AttemptOutcome.TIMED_OUT if request.sent else AttemptOutcome.NOT_CONNECTED,
                broke=request.streamed,
            )
        except (Broken, Malformed) as error:
            request.failure = str(error)
            self.servers.close(server)
            return Forwarded(
                AttemptOutcome.RESET if request.sent else AttemptOutcome.NOT_CONNECTED, broke=request.streamed
            )
        request.server, request.response = server, response
        if (
            response.error is not None
            and response.error.code in SHUTDOWN_CODES + FULL_CODES
            and not request.streamed
        ):
            request.failure = f"{response.error.code} {response.error.message}"[:200]
            self.servers.close(server)
            request.server = None
            request.buffered.clear()
            return Forwarded(AttemptOutcome.ERROR)
        return Forwarded(AttemptOutcome.SERVED, request)

    def send_long_data(
        self,
        request: CommandRequest,
        server: ServerConnection,
        statement_id: int,
        until: float,
        before: Unless,
    ) -> Coroutine[None]:
        """Send the parameter data of COM_STMT_SEND_LONG_DATA, replacing what the server has."""
        header = bytes((Command.LONG_DATA,)) + statement_id.to_bytes(4, "little")
        if request.long_data:
            yield from self.servers.run_internal(
                server, Command.RESET, statement_id.to_bytes(4, "little"), until, before
            )
        for parameter, data in request.long_data.items():
            for offset in range(0, max(len(data), 1), LONG_DATA_CHUNK):
                packet = header + parameter.to_bytes(2, "little") + data[offset : offset + LONG_DATA_CHUNK]
                yield from server.connection.send(packets(packet, 0), until, before)

    def read_response(
        self,
        request: CommandRequest,
        server: ServerConnection,
        until: float,
        expires_at: float,
        after: Unless,
        started: Callable[[], None],
    ) -> Coroutine[ResponseReader]:
        """Read the response to its end, streaming to the client once it reaches STREAM_THRESHOLD bytes.

        From then on `until` limits only each silence of the server, as no other attempt can respond.
        """
        reader, response = server.reader, ResponseReader(server.account.capabilities, request.command)
        silence_limit = until - self.loop.now()

        def cancelled() -> bool:
            # Without this check, a client that disconnects would keep the server busy or count as its fault.
            client_left = request.streamed and request.client is not None and request.client.ended
            return client_left or (after is not None and after())

        continued = complete = False
        request.buffered.clear()
        while not complete:
            # One read may hold thousands of small rows.
            yield from server.connection.share_turn(until, cancelled)
            packet = reader.packet()
            if packet is None:
                server.connection.mine()
                data = yield from server.connection.await_bytes(until, cancelled)
                if not data:
                    raise Broken("the server closed the connection")
                reader.receive(data)
                continue
            complete = response.packet(packet.payload, continued)
            continued = packet.more
            size = len(packet.payload)
            request.buffered += (size | (packet.sequence & 0xFF) << 24).to_bytes(4, "little")
            request.buffered += packet.payload
            if request.client is not None and len(request.buffered) >= STREAM_THRESHOLD and not complete:
                if not request.streamed:
                    request.streamed = True
                    started()
                yield from self.flush(request, expires_at)
                until = min(self.loop.now() + silence_limit, expires_at)
        return response

    def flush(self, request: CommandRequest, until: float) -> Coroutine[None]:
        """Send the buffered part of the response to the client; raises Unwanted if it has disconnected."""
        assert request.client is not None
        data = bytes(request.buffered)
        request.buffered.clear()
        # The client may read slowly until the request expires; the server waits meanwhile.
        try:
            client = request.client
            yield from client.send(data, until, lambda: client.closed)
        except Broken:
            raise Unwanted from None
