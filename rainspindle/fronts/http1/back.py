"""Makes attempts at endpoints over HTTP/1.1, on pooled connections."""

from __future__ import annotations

import math
from collections.abc import Callable

from ...balancer.host import AttemptOutcome
from ...lazy_dataclasses import dataclass
from ...protocol.application import MOST_BODY, Ask, going_on
from ...protocol.client import Unreadable
from ...protocol.endpoint import Answered, EndpointSide
from ...protocol.settings import SocketSettings
from ...routing.core import Directory, Forwarded, Given
from ...transport.address import Address, address_text
from ...transport.connection import READ_SIZE, Broken, Connection, Late, OutOfSockets, Unwanted
from ...transport.decoding import decode_some
from ...transport.loop import Coroutine, Loop
from ...transport.pool import Peer, Pool
from .answer_reader import AnswerReader
from .stream import IDLE_TIMEOUT, ClientLost, StreamableRequest, Streams, limit_send_buffer
from .upload_time import UploadTime

# Seconds for which an answer of unknown length is buffered, so that a retry remains possible.
BUFFER_TIME = 0.03


@dataclass(frozen=True, slots=True)
class Streamed:
    """The payload of an answer that has already been streamed to its client."""


class HttpBack:
    """Makes attempts over HTTP/1.1; implements `routing.core.Back`."""

    def __init__(self, loop: Loop, pool: Pool, settings: SocketSettings, directory: Directory) -> None:
        self.loop, self.pool, self.settings, self.directory = loop, pool, settings, directory
        self.last_answered: dict[str, float] = {}  # when each endpoint last answered

    def drop(self, endpoint: str, address: Address) -> None:
        """Closes the idle connections to an endpoint."""
        self.pool.drop_all((endpoint, address))

    def keep_only(self, endpoints: dict[str, Address]) -> None:
        """Discards what is stored about other endpoints, which have been removed."""
        self.last_answered = {
            endpoint_id: answered_at
            for endpoint_id, answered_at in self.last_answered.items()
            if endpoint_id in endpoints
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
        """Makes one attempt; if served, the payload is `Answered`, or `Streamed`."""
        body: Ask | StreamableRequest = given.body
        ask, streams = (body.ask, body.streams) if isinstance(body, StreamableRequest) else (body, None)
        peer: Peer = (endpoint, address)
        binding = self.settings.binding[given.type_index]

        def unwanted() -> bool:
            # Also where operators disable the endpoint, or another process has its address, before the first
            # byte.
            return (
                before()
                or endpoint in self.directory.left_out
                or self.directory.addresses.get(endpoint) != address
            )

        try:
            # A drain may be reported while this waits; the first byte must be within its grace.
            connect_time = min(self.settings.connect_times[given.type_index], self.settings.drain_grace)
            connect_until = min(until, self.loop.now() + connect_time)
            connection = yield from self.pool.acquire(peer, connect_until, binding, unwanted)
        except OutOfSockets:
            return Forwarded(AttemptOutcome.NOT_SENT)
        except (Broken, Late):
            return Forwarded(AttemptOutcome.NOT_CONNECTED)
        except Unwanted:
            return Forwarded(AttemptOutcome.CANCELLED if before() else AttemptOutcome.NOT_SENT)
        reusable, request_size = False, 0 if streams is None else streams.lease.held
        try:
            if unwanted():  # the client may have disconnected, or operators disabled the endpoint
                return Forwarded(AttemptOutcome.CANCELLED if before() else AttemptOutcome.NOT_SENT)
            attempt, sent_at = EndpointSide(streams is not None), self.loop.now()
            # While a body is arriving, the endpoint is told the time that its client will have after the last
            # byte. With the time of the whole upload it would work on for a client that has long left.
            time_limit = until if given.expiry is None else min(until, given.expiry())
            first_part = attempt.forward(ask, address_text(address).encode(), time_limit - self.loop.now())
            answer = None
            try:
                if ask.more and streams is not None:
                    given.spent()
                    answer, until = yield from self.upload(
                        given, streams, connection, attempt, first_part, before
                    )
                    sent_at = self.loop.now()
                else:
                    yield from connection.send(first_part, until, before)
                first_part = b""  # or a copy of the body would stay in memory up to the answer
            except (Broken, Late):
                # An endpoint starts to execute at the last byte, which the kernel has not accepted.
                return Forwarded(AttemptOutcome.NOT_CONNECTED)
            except ClientLost:
                return Forwarded(AttemptOutcome.NOT_SENT, broke=True)
            try:
                reader = AnswerReader(connection, attempt, None if streams is None else streams.lease)
                stream_from = math.inf  # when a streamed answer is no longer buffered
                while answer is None:
                    if streams is not None and attempt.call.is_streamed():
                        stream_from = min(stream_from, self.loop.now() + BUFFER_TIME)
                    passes_on = attempt.call.got > MOST_BODY or self.loop.now() >= stream_from
                    if streams is not None and (passes_on or reader.must_pass_on()):
                        self.last_answered[endpoint] = self.loop.now()
                        yield from reader.prepare_passing_on(streams, given.expires_at, after)
                        started()
                        result, reusable = yield from self.stream_answer(connection, attempt, streams)
                        return result
                    try:
                        answer = yield from reader.read(min(until, stream_from), after)
                    except Late:
                        if self.loop.now() < until:
                            continue
                        raise
            except Late:
                # The machine may have vanished. Its idle connections stay open and silent, whereas a new one
                # fails to connect, after which even a non-idempotent request may be retried elsewhere.
                if self.last_answered.get(endpoint, -math.inf) < sent_at:
                    self.pool.drop_all(peer)
                return Forwarded(AttemptOutcome.TIMED_OUT)
            except (Broken, Unreadable):
                return Forwarded(AttemptOutcome.RESET)
            self.last_answered[endpoint] = self.loop.now()
            reusable = answer.reusable and not (ask.more and streams is not None and not streams.whole)
            lag = self.loop.now() - (connection.came + connection.seen) / 2
            return Forwarded(answer.outcome, answer, lag)
        except Unwanted:
            return Forwarded(AttemptOutcome.CANCELLED)
        finally:
            connection.read_size = READ_SIZE
            if streams is not None and not reusable:
                streams.lease.resize(request_size)
            if reusable and self.directory.addresses.get(endpoint) == address:
                self.pool.keep_idle(peer, connection)
            else:
                self.pool.close(connection)

    def upload(
        self,
        given: Given,
        streams: Streams,
        connection: Connection,
        attempt: EndpointSide,
        first_part: bytes,
        before: Callable[[], bool],
    ) -> Coroutine[tuple[Answered | None, float]]:
        """Sends a body while it arrives.

        No more is read from the client than the endpoint takes. Returns the answer, if it came before the
        end of the body, and the time limit of the wait for the answer.

        Raises:
            Broken, Late: The connection failed, or the endpoint took too long, before the last byte was
                written.
            ClientLost: The body cannot be read to its end.
            Unwanted: `before` holds, and the last byte was not written.
        """

        def readable_or_cancelled() -> bool:
            return connection.readable or before()

        limit_send_buffer(connection)
        upload_time = UploadTime(streams)
        part = first_part
        streams.check_end()
        while True:
            if before():  # a body already received to its end is sent without a wait, which would check this
                raise Unwanted
            yield from upload_time.send(connection, part, before)
            if streams.whole:  # all of it is written: from now on the endpoint may have executed it
                return None, given.written()
            try:
                data = yield from streams.read(readable_or_cancelled)
                part = attempt.piece(data, streams.whole)
            except Unwanted:
                if before():
                    raise
                early = connection.receive()
                part = b""
                if early is not None:  # an early answer: the endpoint may read no more of the body
                    return self.decode_early(attempt, early), given.written()

    def decode_early(self, attempt: EndpointSide, data: bytes) -> Answered | None:
        """Decodes what an endpoint sent before the end of the body; raises Broken if it ended instead."""
        try:
            return attempt.receive(data)
        except Unreadable as fault:
            raise Broken(str(fault)) from None

    def stream_answer(
        self, connection: Connection, attempt: EndpointSide, streams: Streams
    ) -> Coroutine[tuple[Forwarded, bool]]:
        """Streams a long answer to its client; returns the result and whether the connection is reusable.

        No more is read than the client takes, so that long answers do not fill the memory.
        """

        def unwanted() -> bool:  # the client's disconnection wakes this wait: no need to ask the kernel
            client = streams.client
            return client.closed or (client.ended and self.settings.may_call_off)

        assert attempt.call.response is not None
        try:
            yield from streams.begin(going_on(attempt.call.response.headers), attempt.call.length())
            answer = None
            while True:
                yield from streams.send(attempt.call.take())
                answer = yield from decode_some(connection, attempt, self.loop.now() + IDLE_TIMEOUT, unwanted)
                if answer is not None:
                    yield from streams.send(answer.body)
                    yield from streams.end()
                    return Forwarded(AttemptOutcome.SERVED, Streamed()), answer.reusable
        except (Broken, Unreadable, Late):
            return Forwarded(AttemptOutcome.RESET, broke=True), False
        except (ClientLost, Unwanted):
            return Forwarded(AttemptOutcome.CANCELLED, broke=True), False
