"""The application's messages: what it asks its sidecar, and what the sidecar answers."""

from __future__ import annotations

import contextlib
from collections.abc import Iterable, Sequence

import h11

from ..lazy_dataclasses import dataclass
from . import plain

MOST_BODY = 64 * 1024  # over this a body goes on piece by piece, where it may
MOST_STREAM = 32 * 1024 * 1024
MOST_HEAD = 16 * 1024

REJECTED, TERMINATED = 503, 502
METHODS = (b"GET /", b"POST /", b"PUT /", b"HEAD /", b"DELETE /", b"PATCH /", b"OPTIONS ")
OWN = frozenset(
    (
        b"host",
        b"x-timeout-ms",
        b"content-length",
        b"transfer-encoding",
        b"connection",
        b"expect",
        b"keep-alive",
        b"te",
        b"trailer",
        b"upgrade",
        b"proxy-authorization",
        b"proxy-connection",
    )
)


@dataclass(frozen=True, slots=True)
class Ask:
    """One exchange as the application asked for it."""

    request_id: bytes
    method: bytes
    target: bytes
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...]  # those that go on unchanged
    type_index: int
    key: str | None
    wait: float | None  # how long the client waits, counted from its sending
    hint: float | None
    repeat: bool
    tenant: int | None = None  # its number in the settings
    more: bool = False  # whether `body` is only its first part
    length: int | None = None  # of the whole body, where that is told


@dataclass(frozen=True, slots=True)
class AskReady:
    """GET /ready."""


@dataclass(frozen=True, slots=True)
class Bad:
    """A request that cannot be taken."""

    status: int
    reason: str


@dataclass(frozen=True, slots=True)
class Ended:
    """The client has ended the connection between requests."""


class Cut(Exception):
    """A body that does not go on as it must: the status and the reason that its client is told."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


Message = Ask | AskReady | Bad | Ended


def attributes(text: bytes) -> dict[str, str]:
    pairs = (part.partition("=") for part in text.decode("latin-1").split(","))
    return {name.strip(): value.strip() for name, _, value in pairs}


def cookie(text: bytes, name: str) -> str | None:
    for part in text.decode("latin-1").split(";"):
        found, _, value = part.strip().partition("=")
        if found == name:
            return value or None
    return None


def going_on(headers: Iterable[tuple[bytes, bytes]]) -> tuple[tuple[bytes, bytes], ...]:
    """All but those that belong to one connection or are written anew for each forward.

    Guards against dropping the mark of a fingerprinted exchange, or one that we have no use for."""
    named = {
        word.strip().lower() for name, value in headers if name == b"connection" for word in value.split(b",")
    }
    return tuple((name, value) for name, value in headers if name not in OWN and name not in named)


def number(text: str) -> float:
    """A plain decimal number; float() alone would take `nan`, `1_0` and `1e9`."""
    if not text.isascii() or not text.replace(".", "", 1).isdecimal():
        raise ValueError(text)
    return float(text)


def unfit(request: h11.Request, most: int) -> Bad | None:
    """What makes a request unfit to be read on, as far as its head can tell."""
    # h11 bounds only a head that comes in pieces.
    if len(request.target) + sum(len(k) + len(v) for k, v in request.headers) > MOST_HEAD:
        return Bad(431, f"a head over {MOST_HEAD} bytes")
    headers = dict(request.headers)
    length = headers.get(b"content-length")
    if length is not None and b"transfer-encoding" in headers:
        return Bad(400, "Content-Length with Transfer-Encoding")
    if length is not None and int(length) > most:  # its digits have been checked
        return Bad(413, f"a body over {most} bytes")
    return None


class ApplicationSide:
    """One connection from the application, request after request."""

    def __init__(self, type_names: Sequence[str], most: int = MOST_BODY) -> None:
        """`most` is what a body may hold; over MOST_BODY it is given out piece by piece."""
        self.types = {name.encode(): n for n, name in enumerate(type_names)}
        self.most = most
        self.came: Message | None = None  # a plain request, until it is taken
        self.connection: h11.Connection | None = None  # for a request that is not plain
        self.request: h11.Request | None = None
        self.body = bytearray()
        self.got = 0  # bytes of the body

    def receive(self, data: bytes) -> None:
        """Takes what has come, b"" for the end."""
        if self.connection is None:
            found = plain.request(data, MOST_HEAD, MOST_BODY)
            if found is not None:
                self.came = self.decode(*found)
                return
            self.connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        with contextlib.suppress(RuntimeError):  # bytes after the end: the next event says what is wrong
            self.connection.receive_data(data)

    @property
    def begun(self) -> bool:
        """Whether a part of the next request is there."""
        return self.connection is not None

    @property
    def pending(self) -> bool:
        """Whether bytes have been received that belong to no message given out yet."""
        return self.came is not None or self.connection is not None

    @property
    def wants_continue(self) -> bool:
        return self.connection is not None and self.connection.they_are_waiting_for_100_continue

    def go_on(self) -> bytes:
        assert self.connection is not None
        return self.connection.send(h11.InformationalResponse(status_code=100, headers=[])) or b""

    def next(self) -> Message | None:
        """The next message, whole or (an `Ask` with `more`) its first part; None while more must come."""
        came, self.came, connection = self.came, None, self.connection
        if connection is None:
            return came
        try:
            while True:
                event = connection.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return None
                if isinstance(event, h11.Request):
                    self.request, self.body, self.got = event, bytearray(), 0
                    if bad := unfit(event, self.most):
                        return bad
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    self.got = len(self.body)
                    if self.got > MOST_BODY:
                        if self.most == MOST_BODY:
                            return Bad(413, f"a body over {MOST_BODY} bytes")
                        return self.whole(connection, more=True)
                elif isinstance(event, h11.EndOfMessage):
                    return self.whole(connection, more=False)
                else:
                    return Ended()
        except h11.RemoteProtocolError as fault:
            if connection.their_state is h11.ERROR and connection.trailing_data == (b"", True):
                return Ended()  # it left in the middle of a request
            return Bad(fault.error_status_hint, str(fault))

    def whole(self, connection: h11.Connection, more: bool) -> Message:
        assert self.request is not None
        follows = b"" if more else connection.trailing_data[0]
        # Guards against a body longer than its length: the rest would be read as a request.
        if follows and not any(word.startswith(follows[: len(word)]) for word in METHODS):
            return Bad(400, "more bytes than belong to the request")
        body, self.body = bytes(self.body), bytearray()
        return self.decode(self.request.method, self.request.target, tuple(self.request.headers), body, more)

    def piece(self) -> bytes | None:
        """The next part of a body given out piece by piece, b"" at its end, None while more must come.

        Raises Cut."""
        assert self.connection is not None
        try:
            event = self.connection.next_event()
        except h11.RemoteProtocolError as fault:
            raise Cut(fault.error_status_hint, str(fault)) from None
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return None
        if isinstance(event, h11.EndOfMessage):
            return b""
        if not isinstance(event, h11.Data):
            raise Cut(400, "the body ended early")
        self.got += len(event.data)
        if self.got > self.most:
            raise Cut(413, f"a body over {self.most} bytes")
        return bytes(event.data)

    def decode(
        self, method: bytes, target: bytes, all_headers: plain.Headers, body: bytes, more: bool = False
    ) -> Message:
        headers = dict(all_headers)
        path = target.partition(b"?")[0]
        if path == b"/ready":
            return AskReady() if method == b"GET" else Bad(405, "only GET here")
        id = headers.get(b"x-request-id")
        if not id:
            return Bad(400, "no X-Request-ID")
        name = headers.get(b"x-priority-class", b"")
        if name not in self.types:
            return Bad(400, "an unknown X-Priority-Class")
        try:
            wait = headers.get(b"x-timeout-ms")
            cost = headers.get(b"x-cost", b"").decode("latin-1")  # in microseconds, X-Attrs in milliseconds
            further = attributes(headers.get(b"x-attrs", b""))
            predicted, tenant = further.get("predicted"), further.get("billing")
            hint = number(cost) / 1e6 if cost else number(predicted) / 1000 if predicted else None
            return Ask(
                id,
                method,
                target,
                body,
                going_on(all_headers),
                self.types[name],
                cookie(headers.get(b"cookie", b""), "user"),
                None if wait is None else number(wait.decode("latin-1")) / 1000,
                hint,
                headers.get(b"x-retried") == b"1",
                int(number(tenant)) if tenant else None,
                more,
                int(headers[b"content-length"]) if more and b"content-length" in headers else None,
            )
        except ValueError:
            return Bad(400, "X-Timeout-Ms, X-Cost or X-Attrs is not a number")

    # Answers.

    def finished(
        self, body: bytes, headers: Sequence[tuple[bytes, bytes]], close: bool, length: int | None = None
    ) -> bytes:
        """`length` is told to who asked for the head alone, where the endpoint told it."""
        return self.answer(200, body, close, headers, length)

    def rejected(self, hold_off: float, close: bool) -> bytes:
        headers = [(b"Retry-After", f"{hold_off:.3f}".encode())] if hold_off > 0 else []
        return self.answer(REJECTED, b"", close, headers)

    def answer(
        self,
        status: int,
        body: bytes,
        close: bool,
        headers: Sequence[tuple[bytes, bytes]] = (),
        length: int | None = None,
    ) -> bytes:
        length = length if length is not None and self.asked_head() else len(body)
        return self.head(status, headers, length, close) + (b"" if self.asked_head() else body)

    def head(
        self, status: int, headers: Sequence[tuple[bytes, bytes]], length: int | None, close: bool
    ) -> bytes:
        """The head of an answer; without a length its body goes in chunks, or ends with the connection."""
        all_headers = list(headers)
        if length is not None:
            all_headers.append((b"Content-Length", b"%d" % length))
        elif self.chunked():
            all_headers.append((b"Transfer-Encoding", b"chunked"))
        if close or not self.goes_on() or (length is None and not self.chunked()):
            all_headers.append((b"Connection", b"close"))
        return plain.encode(plain.status_line(status), all_headers, b"")

    def chunked(self) -> bool:
        """Whether the client understands chunks."""
        return self.request is None or self.request.http_version >= b"1.1"

    def follows(self) -> bool:
        """Whether a part of the next request has come with the one that is open."""
        return self.connection is not None and self.connection.trailing_data[0] != b""

    def goes_on(self) -> bool:
        """Whether the connection can carry a further request."""
        return self.connection is None or self.connection.their_state is h11.DONE

    def asked_head(self) -> bool:
        return self.request is not None and self.request.method == b"HEAD"

    def next_cycle(self) -> bool:
        """Whether the connection can carry a further request; made ready for it if so."""
        goes_on = self.goes_on()
        follows = self.connection.trailing_data[0] if self.connection is not None and goes_on else b""
        self.connection, self.request = None, None
        if follows:  # the next request came with the last one
            self.receive(follows)
        return goes_on
