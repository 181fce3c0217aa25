"""What goes between a client and an endpoint piece by piece, seen from the client's side."""

from __future__ import annotations

import math
import socket
import struct
from collections.abc import Callable, Sequence

from ...protocol.application import ApplicationSide, Ask, Cut
from ...protocol.endpoint import chunk
from ...transport.connection import Broken, Connection, Late, Unless, Unwanted
from ...transport.loop import Coroutine, Loop
from .room import Room

SILENCE = 10.0  # seconds without a byte, either way, after which a stream is given up


# What the machine takes over for a peer that reads slowly. Guards against memory outside the process, and
# against a peer that seems silent: the machine tells of room only when a third of the buffer is free.
SEND_BUFFER = 256 * 1024


def bound(connection: Connection) -> None:
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)


class ClientLost(Exception):
    """The client is gone, or sends nothing that can be used: no fault of the endpoint."""


class Streams:
    """One exchange's body, while it comes, and its answer, while it goes."""

    def __init__(
        self, loop: Loop, client: Connection, side: ApplicationSide, closing: Callable[[], bool], room: Room
    ) -> None:
        self.loop, self.client, self.side, self.closing, self.room = loop, client, side, closing, room
        self.entered = False  # whether this exchange has a place for its streams, both ways
        self.cut: Cut | None = None  # why the body came to no end
        self.begun = False  # whether a part of an answer has gone
        self.framed = True  # whether the client can tell an answer that is cut short
        self.whole = self.chunked = self.closed = False
        self.whole_at = -math.inf  # when the last byte of the body came

    def enter(self, until: float, unless: Unless) -> Coroutine[None]:
        """Waits for room; once for an exchange. Raises Late, and Unwanted where `unless` holds."""
        if not self.entered:
            yield from self.room.enter(until, unless)
            self.entered = True

    def leave(self) -> None:
        if self.entered:
            self.entered = False
            self.room.leave()

    # The body.

    def read(self, unless: Unless) -> Coroutine[bytes]:
        """The next part of the body, b"" at its end. Raises ClientLost, and Unwanted where `unless` holds."""
        try:
            while (piece := self.side.piece()) is None:
                data = yield from self.client.await_bytes(self.loop.now() + SILENCE, unless)
                self.side.receive(data)
        except Cut as cut:
            self.cut = cut
            raise ClientLost(str(cut)) from None
        except Late:
            self.cut = Cut(408, "the body did not go on")
            raise ClientLost("silent") from None
        except Broken as fault:
            raise ClientLost(str(fault)) from None
        if not piece:
            self.whole, self.whole_at = True, self.client.came
        return piece

    # The answer.

    def begin(self, headers: Sequence[tuple[bytes, bytes]], length: int | None) -> Coroutine[None]:
        self.begun, self.chunked = True, length is None and self.side.chunked()
        self.framed = length is not None or self.chunked
        self.closed = self.closing()
        if not self.client.closed:
            bound(self.client)
        yield from self.write(self.side.head(200, headers, length, self.closed))

    def send(self, data: bytes) -> Coroutine[None]:
        if data:
            yield from self.write(chunk(data) if self.chunked else data)

    def end(self) -> Coroutine[None]:
        if self.chunked:
            yield from self.write(chunk(b""))

    def write(self, data: bytes) -> Coroutine[None]:
        """Raises ClientLost. A client may take its time, as long as it takes something."""
        view = memoryview(data)
        try:
            self.client.mine()
            until = self.loop.now() + SILENCE
            while view:
                if not self.client.writable:
                    yield from self.client.await_it(until, None)
                elif taken := self.client.send_some(view):
                    view, until = view[taken:], self.loop.now() + SILENCE
        except (Broken, Late, Unwanted) as fault:
            raise ClientLost(str(fault)) from None

    def break_off(self) -> None:
        """Ends the connection so that the client can tell that its answer is not whole."""
        if self.begun and not self.framed and not self.client.closed:
            self.client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.client.close()


class Carried:
    """What the front of this protocol hands to its back."""

    __slots__ = ("ask", "streams")

    def __init__(self, ask: Ask, streams: Streams) -> None:
        self.ask, self.streams = ask, streams
