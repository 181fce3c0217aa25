"""The asking side of one HTTP exchange: a request encoded, an answer gathered from what comes back."""

from __future__ import annotations

from collections.abc import Iterable

import h11

from ..lazy_dataclasses import dataclass
from . import plain

Headers = Iterable[tuple[bytes, bytes]]

MOST_HEAD = 16 * 1024
BEGINS = b"HTTP/1."


class Unreadable(Exception):
    """What came is not an answer, or not a whole one."""


@dataclass(frozen=True, slots=True)
class Reply:
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    reusable: bool  # whether the connection can carry a further request


class Call:
    """One request and its answer; the next one on the same connection is a new Call."""

    def __init__(self, most: int, most_stream: int = 0) -> None:
        """An answer over `most` bytes is refused, or up to `most_stream` given out piece by piece."""
        self.most, self.most_stream = most, most_stream
        self.got = 0
        self.method = b"GET"
        self.connection: h11.Connection | None = None  # for an answer that is not plain
        self.response: h11.Response | None = None
        self.body = bytearray()

    def request(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> bytes:
        self.method = method
        return plain.encode(b"%b %b HTTP/1.1" % (method, target), headers, body)

    def length(self) -> int | None:
        """Of the answer's body, as its head tells it; a body in chunks has none, whatever the head says."""
        if self.response is None or self.in_chunks(self.response):
            return None
        told = dict(self.response.headers).get(b"content-length")
        return None if told is None else int(told)

    def in_chunks(self, response: h11.Response) -> bool:
        return b"transfer-encoding" in dict(response.headers)

    def flows(self) -> bool:
        """Whether an answer has begun that is to be given out piece by piece: it is long, or nobody knows."""
        return (
            self.response is not None
            and self.response.status_code == 200
            and self.most_stream > 0
            and self.method != b"HEAD"
            and (self.length() is None or (self.length() or 0) > self.most)
        )

    def take(self) -> bytes:
        """What has come of the body since the last call."""
        taken, self.body = bytes(self.body), bytearray()
        return taken

    def receive(self, data: bytes) -> Reply | None:
        """Takes what has come, b"" for the end; gives the answer once it is whole."""
        if self.connection is None:
            found = plain.answer(data, MOST_HEAD, self.most) if self.method != b"HEAD" else None
            if found is not None:
                return Reply(*found, reusable=True)
            if data and not data.startswith(BEGINS[: len(data)]):
                raise Unreadable("not an answer from its first byte on")
            self.connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=MOST_HEAD)
            self.connection.send(h11.Request(method=self.method, target=b"/", headers=[(b"Host", b"h")]))
            self.connection.send(h11.EndOfMessage())
        try:
            self.connection.receive_data(data)
            while True:
                event = self.connection.next_event()
                if event is h11.NEED_DATA:
                    return None
                if isinstance(event, h11.Response):
                    self.response = event
                    if (self.length() or 0) > max(self.most, self.most_stream) and self.method != b"HEAD":
                        raise Unreadable(f"an answer of {self.length()} bytes")
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    self.got += len(event.data)
                    if self.got > (self.most_stream if self.flows() else self.most):
                        raise Unreadable(f"an answer over {self.most} bytes")
                elif isinstance(event, h11.EndOfMessage):
                    return self.reply(self.connection)
                elif not isinstance(event, h11.InformationalResponse):
                    raise Unreadable("the connection ended before the answer")
        except h11.RemoteProtocolError as fault:
            raise Unreadable(str(fault)) from None

    def reply(self, c: h11.Connection) -> Reply:
        assert self.response is not None
        # Guards against keeping a connection that has ended, or that holds bytes nobody asked for.
        reusable = c.our_state is h11.DONE and c.their_state is h11.DONE and c.trailing_data == (b"", False)
        # Guards against an endpoint that ended its body elsewhere than where its chunks end (RFC 9112, 6.3).
        if self.in_chunks(self.response) and b"content-length" in dict(self.response.headers):
            reusable = False
        return Reply(self.response.status_code, tuple(self.response.headers), bytes(self.body), reusable)
