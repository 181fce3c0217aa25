"""Limits the time for which an endpoint may hold up the upload of a body."""

from __future__ import annotations

from collections.abc import Callable

from ...transport.connection import Connection, Late, Unwanted
from ...transport.loop import Coroutine
from .stream import IDLE_TIMEOUT, Streams

RECHECK_INTERVAL = 0.1  # seconds
MIN_ENDPOINT_RATE = 1_000_000.0  # bytes a second that an endpoint takes at least of a body that still arrives


class UploadTime:
    """The time left for an endpoint that takes a body slowly.

    The client's time counts from its last byte, which waits in the kernel, unseen, while the endpoint takes
    nothing. So the endpoint may hold up the upload for as long as the client would wait for its answer; for
    longer only while the client can't have written its last byte.
    """

    def __init__(self, streams: Streams) -> None:
        self.streams, self.wait = streams, streams.wait
        self.blocked = 0.0  # seconds for which the endpoint has held up the upload
        self.sent = 0  # bytes

    def left(self) -> float:
        """Returns the seconds for which the endpoint may still hold up the upload."""
        if not self.streams.may_be_whole():
            return min(self.wait + self.sent / MIN_ENDPOINT_RATE - self.blocked, IDLE_TIMEOUT)
        client = self.streams.client
        return min(self.wait - self.blocked, client.came + self.wait - client.loop.now(), IDLE_TIMEOUT)

    def send(self, connection: Connection, part: bytes, unless: Callable[[], bool]) -> Coroutine[None]:
        """Sends a part of the body to the endpoint, as `Connection.send`; raises Late if it is too slow."""
        connection.mine()
        view = memoryview(part)
        while view:
            if connection.writable:
                view = view[connection.send_some(view) :]
                continue
            yield from self.await_writable(connection, unless)
        self.sent += len(part)

    def await_writable(self, connection: Connection, unless: Callable[[], bool]) -> Coroutine[None]:
        """Waits once, shortly, as the client may write its last byte meanwhile. Raises Late and Unwanted."""
        began = connection.loop.now()
        left = self.left()
        if left <= 0:
            raise Late
        yield from connection.await_it(began + min(left, RECHECK_INTERVAL), unless)
        self.blocked += connection.loop.now() - began
        if unless():
            raise Unwanted
