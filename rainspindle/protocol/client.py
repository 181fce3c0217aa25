"""The client side of HTTP: encodes a request and assembles the answer from received bytes."""

from __future__ import annotations

from collections.abc import Iterable

import h11

from ..lazy_dataclasses import dataclass
from . import plain
from .h11_errors import drop_traceback

Headers = Iterable[tuple[bytes, bytes]]

MOST_HEAD = 16 * 1024  # bytes
MAX_EVENTS = 64  # events of the parser per call: one read may hold thousands of tiny chunks or 1xx heads
HTTP_PREFIX = b"HTTP/1."


class Unreadable(Exception):
    """The received bytes are not a valid and complete answer."""


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete answer."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    reusable: bool  # whether the connection can carry another request


class Call:
    """One request and its answer; each request on a connection has a Call of its own."""

    def __init__(self, most: int, most_stream: int = 0) -> None:
        """Refuses an answer over `most` bytes; one of up to `most_stream` bytes is streamed instead."""
        self.most, self.most_stream = most, most_stream
        self.got = 0
        self.method = b"GET"
        self.connection: h11.Connection | None = None  # for an answer that is not plain
        self.response: h11.Response | None = None
        self.body = bytearray()
        self.undecoded = False  # whether `resume` must be called before more bytes are passed on

    def request(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> bytes:
        """Encodes the request."""
        self.method = method
        return plain.encode(b"%b %b HTTP/1.1" % (method, target), headers, body)

    def length(self) -> int | None:
        """Returns the stated length of the answer's body, None if unstated or if the body is chunked."""
        if self.response is None or self.is_chunked(self.response):
            return None
        stated = dict(self.response.headers).get(b"content-length")
        return None if stated is None else int(stated)

    def is_chunked(self, response: h11.Response) -> bool:
        """Whether the body is chunked."""
        return b"transfer-encoding" in dict(response.headers)

    def is_streamed(self) -> bool:
        """Whether an answer has begun that is to be streamed: its body is long or of unknown length."""
        return self.can_be_streamed() and (self.length() is None or (self.length() or 0) > self.most)

    def can_be_streamed(self) -> bool:
        """Whether an answer has begun that may be passed on as it arrives."""
        return (
            self.response is not None
            and self.response.status_code == 200
            and self.most_stream > 0
            and self.method != b"HEAD"
        )

    def take(self) -> bytes:
        """Returns what has been received of the body since the last call."""
        received, self.body = bytes(self.body), bytearray()
        return received

    def receive(self, data: bytes) -> Reply | None:
        """Takes received bytes, b"" for the end of the connection; returns the answer once it is complete.

        Decodes up to MAX_EVENTS events of the parser; `undecoded` says whether that left some.

        Raises:
            Unreadable: The answer is invalid, incomplete or too long.
        """
        if self.connection is None:
            parsed = plain.answer(data, MOST_HEAD, self.most) if self.method != b"HEAD" else None
            if parsed is not None:
                return Reply(*parsed, reusable=True)
            if data and not data.startswith(HTTP_PREFIX[: len(data)]):
                raise Unreadable("the answer does not begin with HTTP/1")
            self.connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=MOST_HEAD)
            self.connection.send(h11.Request(method=self.method, target=b"/", headers=[(b"Host", b"h")]))
            self.connection.send(h11.EndOfMessage())
        try:
            self.connection.receive_data(data)
        except h11.RemoteProtocolError as fault:
            raise Unreadable(str(drop_traceback(fault))) from None
        return self.resume()

    def resume(self) -> Reply | None:
        """Decodes what `receive` left, as `receive` does."""
        assert self.connection is not None
        try:
            for _ in range(MAX_EVENTS):
                event = self.connection.next_event()
                if event is h11.NEED_DATA:
                    self.undecoded = False
                    return None
                if isinstance(event, h11.Response):
                    self.response = event
                    if (self.length() or 0) > max(self.most, self.most_stream) and self.method != b"HEAD":
                        raise Unreadable(f"the answer has {self.length()} bytes, over the limit")
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    self.got += len(event.data)
                    if self.got > (self.most_stream if self.is_streamed() else self.most):
                        raise Unreadable(f"the answer has over {self.most} bytes")
                elif isinstance(event, h11.EndOfMessage):
                    return self.reply(self.connection)
                elif not isinstance(event, h11.InformationalResponse):
                    raise Unreadable("the endpoint ended the connection before the answer")
        except h11.RemoteProtocolError as fault:
            raise Unreadable(str(drop_traceback(fault))) from None
        self.undecoded = True
        return None

    def reply(self, connection: h11.Connection) -> Reply:
        """Returns the complete answer."""
        assert self.response is not None
        # A connection that has ended, or that holds unsolicited bytes, must not be reused.
        reusable = (
            connection.our_state is h11.DONE
            and connection.their_state is h11.DONE
            and connection.trailing_data == (b"", False)
        )
        # With both headers, endpoint and sidecar may disagree on where the body ends (RFC 9112, 6.3).
        if self.is_chunked(self.response) and b"content-length" in dict(self.response.headers):
            reusable = False
        return Reply(self.response.status_code, tuple(self.response.headers), bytes(self.body), reusable)
