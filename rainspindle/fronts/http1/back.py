"""Forwards over HTTP/1.1, on connections that are kept."""

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
from ...transport.connection import Broken, Connection, Late, OutOfSockets, Unwanted
from ...transport.loop import Coroutine, Loop
from ...transport.pool import Peer, Pool
from .stream import SILENCE, Carried, ClientLost, Streams, bound

HOLD = 0.03  # seconds for which an answer of unknown length may become whole, so that another may replace it


@dataclass(frozen=True, slots=True)
class Passed:
    """The payload of an answer that has gone to its client already."""


class HttpBack:
    def __init__(self, loop: Loop, pool: Pool, settings: SocketSettings, directory: Directory) -> None:
        self.loop, self.pool, self.settings, self.directory = loop, pool, settings, directory
        self.heard: dict[str, float] = {}  # when an answer last came whole, by endpoint

    def drop(self, endpoint: str, address: Address) -> None:
        self.pool.drop_all((endpoint, address))

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
        """One forward; a served one's payload is the endpoint's `Answered`, or `Passed`."""
        body: Ask | Carried = given.body
        ask, streams = (body.ask, body.streams) if isinstance(body, Carried) else (body, None)
        peer: Peer = (endpoint, address)
        binding = self.settings.binding[given.type_index]

        def unwanted() -> bool:  # also where the staff take the endpoint out before the first byte
            return before() or endpoint in self.directory.left_out

        if ask.more and streams is not None:
            try:
                yield from streams.enter(self.loop.now() + SILENCE, unwanted)
            except Late:
                return Forwarded(AttemptOutcome.NOT_SENT)
            except Unwanted:
                return Forwarded(AttemptOutcome.CANCELLED if before() else AttemptOutcome.NOT_SENT)
            # Guards against word on the endpoint that came during that wait: nothing is sent past the grace.
            if endpoint in self.directory.draining or self.directory.addresses.get(endpoint) != address:
                return Forwarded(AttemptOutcome.NOT_SENT)
        connection = self.pool.take(peer, binding or ask.more)
        if connection is None:
            try:
                # Guards against a drain told while it connects: the first byte is sent within the grace.
                connect_time = min(self.settings.connect_times[given.type_index], self.settings.drain_grace)
                connect_until = min(until, self.loop.now() + connect_time)
                connection = yield from self.pool.connect(peer, connect_until, binding, unwanted)
            except OutOfSockets:
                return Forwarded(AttemptOutcome.NOT_SENT)
            except (Broken, Late):
                return Forwarded(AttemptOutcome.NOT_CONNECTED)
            except Unwanted:
                return Forwarded(AttemptOutcome.CANCELLED if before() else AttemptOutcome.NOT_SENT)
        kept = False
        try:
            if unwanted():  # nothing is sent for a client that has left
                return Forwarded(AttemptOutcome.CANCELLED if before() else AttemptOutcome.NOT_SENT)
            call, sent_at = EndpointSide(streams is not None), self.loop.now()
            # Guards against an endpoint that works on for a client that has long left: while a body comes, it
            # is told the time that its client will have from the last byte on.
            told = until if given.expiry is None else min(until, given.expiry())
            out = call.forward(ask, address_text(address).encode(), told - self.loop.now())
            answer = None
            try:
                if ask.more and streams is not None:
                    given.spent()
                    answer, until = yield from self.upload(given, streams, connection, call, out, before)
                    sent_at = self.loop.now()
                else:
                    yield from connection.send(out, until, before)
            except (Broken, Late):
                # An endpoint begins when the last byte has come, and it was not written.
                return Forwarded(AttemptOutcome.NOT_CONNECTED)
            except ClientLost:
                return Forwarded(AttemptOutcome.NOT_SENT, broke=True)
            try:
                long_at = math.inf  # when an answer that flows is no longer waited for to be whole
                while answer is None:
                    if streams is not None and call.call.flows():
                        long_at = min(long_at, self.loop.now() + HOLD)
                        if call.call.got > MOST_BODY or self.loop.now() >= long_at:
                            self.heard[endpoint] = self.loop.now()
                            try:
                                yield from streams.enter(given.expires_at, after)
                            except Late:  # no fault of the endpoint
                                return Forwarded(AttemptOutcome.CANCELLED)
                            started()
                            came, kept = yield from self.pass_on(connection, call, streams)
                            return came
                    try:
                        data = yield from connection.await_bytes(min(until, long_at), after)
                    except Late:
                        if self.loop.now() < until:
                            continue
                        raise
                    answer = call.receive(data)
            except Late:
                # Guards against further writes to a machine that has vanished: its idle connections stay open
                # and silent, where a new one fails as unconnected, so that even a binding exchange goes on.
                if self.heard.get(endpoint, -math.inf) < sent_at:
                    self.pool.drop_all(peer)
                return Forwarded(AttemptOutcome.TIMED_OUT)
            except (Broken, Unreadable):
                return Forwarded(AttemptOutcome.RESET)
            self.heard[endpoint] = self.loop.now()
            kept = answer.reusable and not (ask.more and streams is not None and not streams.whole)
            lag = self.loop.now() - (connection.came + connection.seen) / 2
            return Forwarded(answer.outcome, answer, lag)
        except Unwanted:
            return Forwarded(AttemptOutcome.CANCELLED)
        finally:
            if kept and self.directory.addresses.get(endpoint) == address:
                self.pool.keep_idle(peer, connection)
            else:
                self.pool.close(connection)

    def upload(
        self,
        given: Given,
        streams: Streams,
        connection: Connection,
        call: EndpointSide,
        first: bytes,
        before: Callable[[], bool],
    ) -> Coroutine[tuple[Answered | None, float]]:
        """Sends a body while it comes; the answer, where one comes before the body's end, and until when to
        wait for it. What is behind in being read is not read from the client either."""

        def early() -> bool:
            return connection.readable or before()

        bound(connection)
        piece, answer = first, None
        while True:
            if before():  # a body that has come with its end would go on without any wait
                raise Unwanted
            yield from connection.send(piece, self.loop.now() + SILENCE, before)
            if streams.whole:
                return None, given.written()
            piece = b""
            while not piece and not streams.whole:
                try:
                    piece = call.piece((yield from streams.read(early)))
                except Unwanted:
                    if before():
                        raise
                    data = connection.receive()
                    if data is not None:  # guards against sending on what the endpoint no longer reads
                        try:
                            answer = call.receive(data)
                        except Unreadable as fault:
                            raise Broken(str(fault)) from None
                        return answer, given.written()
            if not piece:
                return None, given.written()

    def pass_on(
        self, connection: Connection, call: EndpointSide, streams: Streams
    ) -> Coroutine[tuple[Forwarded, bool]]:
        """A long answer goes to its client while it comes; whether the connection can be used again.

        Guards against memory that long answers fill: no more is read than the client takes."""

        def unwanted() -> bool:  # the client's end wakes this wait: no need to ask the kernel
            client = streams.client
            return client.closed or (client.ended and self.settings.may_call_off)

        assert call.call.response is not None
        try:
            yield from streams.begin(going_on(call.call.response.headers), call.call.length())
            answer = None
            while True:
                yield from streams.send(call.call.take())
                data = yield from connection.await_bytes(self.loop.now() + SILENCE, unwanted)
                answer = call.receive(data)
                if answer is not None:
                    yield from streams.send(answer.body)
                    yield from streams.end()
                    return Forwarded(AttemptOutcome.SERVED, Passed()), answer.reusable
        except (Broken, Unreadable, Late):
            return Forwarded(AttemptOutcome.RESET, broke=True), False
        except (ClientLost, Unwanted):
            return Forwarded(AttemptOutcome.CANCELLED, broke=True), False
