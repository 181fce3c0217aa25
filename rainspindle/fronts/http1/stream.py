"""Streams bodies and answers between a client and an endpoint: the client's side."""

from __future__ import annotations

import contextlib
import math
import socket
import struct
from collections.abc import Callable, Sequence

from ...protocol.application import ApplicationSide, Ask, Cut
from ...protocol.endpoint import chunk
from ...transport.connection import Broken, Connection, Late, Unless, Unwanted
from ...transport.loop import Coroutine
from ...transport.memory import MemoryLease
from .room import Room

IDLE_TIMEOUT = 10.0  # seconds without a byte towards a client or from an endpoint, after which a stream fails
# Seconds without a byte of a body after which its client is refused, and those where others wait for a place.
BODY_TIMEOUT, STALLED_TIMEOUT = 2.4, 0.5
MIN_BODY_RATE = 56_000.0  # bytes a second; clients may send a body at a rate near 64 kB a second
# Bytes that a client may have written and that have not arrived: its kernel sends them when there is room.
# There is room while fewer bytes than the smallest window lie unread.
CLIENT_SEND_BUFFER, RECEIVE_WINDOW = 4 * 1024 * 1024, 16 * 1024
STALL_CHECK_INTERVAL = 0.1  # seconds between checks whether others wait

# Bytes that the kernel buffers for a peer that reads slowly. Bounds the memory outside the process, and keeps
# a slow peer from seeming silent: the kernel reports a socket as writable only once a third of it is free.
SEND_BUFFER = 256 * 1024


def limit_send_buffer(connection: Connection) -> None:
    """Limits the send buffer of a connection."""
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)


class ClientLost(Exception):
    """The client has disconnected, went silent or sent an invalid body; the endpoint is not at fault."""


class Streams:
    """The streamed body and answer of one request."""

    def __init__(
        self,
        client: Connection,
        side: ApplicationSide,
        closing: Callable[[], bool],
        room: Room,
        lease: MemoryLease,
    ) -> None:
        self.loop, self.client, self.side, self.closing, self.room = client.loop, client, side, closing, room
        self.stated_length: int | None = None  # of the body, if the client stated one
        self.wait = math.inf  # seconds for which the client waits after its last byte
        self.lease = lease  # what the request and its answer take where they are buffered
        self.admitted = False  # whether the request was admitted to stream, in both directions
        self.body_error: Cut | None = None  # why the body could not be read to its end
        self.begun = False  # whether a part of the answer has been written
        self.truncation_detectable = True  # whether the client can detect a truncated answer
        self.whole = self.chunked = self.closed = False
        self.waited = 0.0  # seconds spent waiting for the body's bytes
        self.complete_at = -math.inf  # when the last byte of the body arrived

    def enter(self, until: float, unless: Unless) -> Coroutine[None]:
        """Waits for admission, once per request.

        Raises:
            Late: The time `until` has come.
            Unwanted: `unless` holds.
        """
        if not self.admitted:
            yield from self.room.enter(until, unless)
            self.admitted = True
            self.lease.release()  # the admission covers it

    def leave(self) -> None:
        """Gives the admission back, if there was one."""
        if self.admitted:
            self.admitted = False
            self.room.leave()

    # The body.

    def read(self, unless: Unless) -> Coroutine[bytes]:
        """Returns the next part of the body; b"" only at its end. `whole` tells whether it is the last part.

        Raises:
            ClientLost: The body cannot be read to its end; `body_error` is the error to answer, if any.
            Unwanted: `unless` holds.
        """
        try:
            yield from self.client.share_turn(math.inf, unless)
            while (part := self.side.piece()) is None:
                self.side.receive((yield from self.await_body(unless)))
            self.check_end()
        except Cut as error:
            self.body_error = error
            raise ClientLost(str(error)) from None
        except Late:
            self.body_error = Cut(408, "the body did not go on")
            raise ClientLost("the client sent no byte of the body in time") from None
        except Broken as fault:
            raise ClientLost(str(fault)) from None
        return part

    def check_end(self) -> None:
        """Records whether the parts returned so far are the whole body.

        The end must be known before the last part is passed on: an endpoint executes a request once it has
        its last byte, and nothing may depend on whether this process has found the end by then.
        """
        if not self.whole and self.side.at_end(self.stated_length):
            self.whole, self.complete_at = True, self.client.came

    def may_be_whole(self) -> bool:
        """Whether the client may have written its last byte, so that its time may be counting.

        What is missing may wait in the kernel's buffers: in that of this side, and in the client's as long as
        this one may be full.
        """
        unread = self.client.unread()
        if self.whole or (self.stated_length is not None and self.side.got + unread >= self.stated_length):
            return True
        if unread < RECEIVE_WINDOW:
            return False
        return self.stated_length is None or self.side.got + unread + CLIENT_SEND_BUFFER >= self.stated_length

    def latest_end(self) -> float:
        """Returns when the body ended, or the latest time at which one that is not read whole may have."""
        if self.whole:
            return self.complete_at
        return self.client.came if self.may_be_whole() else self.loop.now()

    def await_body(self, unless: Unless) -> Coroutine[bytes]:
        """Waits for more of the body, as `Connection.await_bytes`.

        Raises:
            Late: The client stopped, or has been slower than MIN_BODY_RATE in all. Time in which the endpoint
                took nothing, so that nothing was read, does not count.
        """
        began = self.loop.now()
        pace_limit = began + BODY_TIMEOUT + self.side.got / MIN_BODY_RATE - self.waited
        try:
            while True:
                limit = min(began + (STALLED_TIMEOUT if self.room.waiting else BODY_TIMEOUT), pace_limit)
                if self.loop.now() >= limit and not self.client.readable:
                    raise Late
                with contextlib.suppress(Late):
                    until = min(limit, self.loop.now() + STALL_CHECK_INTERVAL)
                    return (yield from self.client.await_bytes(until, unless))
        finally:
            self.waited += self.loop.now() - began

    # The answer.

    def begin(self, headers: Sequence[tuple[bytes, bytes]], length: int | None) -> Coroutine[None]:
        """Writes the head of the answer; `length` is None where the endpoint stated none."""
        self.begun, self.chunked = True, length is None and self.side.chunked()
        self.truncation_detectable = length is not None or self.chunked
        self.closed = self.closing()
        if not self.client.closed:
            limit_send_buffer(self.client)
        yield from self.write(self.side.head(200, headers, length, self.closed))

    def send(self, data: bytes) -> Coroutine[None]:
        """Writes a part of the answer's body."""
        if data:
            yield from self.write(chunk(data) if self.chunked else data)

    def end(self) -> Coroutine[None]:
        """Writes the end of the answer."""
        if self.chunked:
            yield from self.write(chunk(b""))

    def write(self, data: bytes) -> Coroutine[None]:
        """Writes all of it; a slow client is given time as long as it takes some bytes.

        Raises:
            ClientLost: The client disconnected, or took no byte for IDLE_TIMEOUT seconds.
        """
        view = memoryview(data)
        try:
            self.client.mine()
            until = self.loop.now() + IDLE_TIMEOUT
            while view:
                if not self.client.writable:
                    yield from self.client.await_it(until, None)
                elif accepted := self.client.send_some(view):
                    view, until = view[accepted:], self.loop.now() + IDLE_TIMEOUT
        except (Broken, Late, Unwanted) as fault:
            raise ClientLost(str(fault)) from None

    def break_off(self) -> None:
        """Closes the connection, with a reset where the client could not detect the truncation otherwise."""
        if self.begun and not self.truncation_detectable and not self.client.closed:
            self.client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.client.close()


class StreamableRequest:
    """A request and its streams, as the front of this protocol passes them to its back."""

    __slots__ = ("ask", "streams")

    def __init__(self, ask: Ask, streams: Streams) -> None:
        self.ask, self.streams = ask, streams
