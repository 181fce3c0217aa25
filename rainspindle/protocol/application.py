"""HTTP messages between the application and its sidecar."""

from __future__ import annotations

import contextlib
from collections.abc import Iterable, Sequence

import h11

from ..lazy_dataclasses import dataclass
from . import plain
from .h11_errors import drop_traceback
from .head_fields import FieldCounter

MOST_BODY = 64 * 1024  # bytes; a longer body is streamed, where that is possible
MOST_STREAM = 32 * 1024 * 1024  # bytes of a streamed body
MOST_HEAD = 16 * 1024  # bytes
MAX_FIELDS = 256  # header fields of a request
MAX_DIGITS = 300  # of a number; a longer one may be over the largest float
FIELD_SIZE = 256  # bytes that a parsed header field takes, beside its text
MAX_EVENTS = 64  # events of the parser per call: one read may hold thousands of tiny chunks

REJECTED, TERMINATED = 503, 502
METHODS = (b"GET /", b"POST /", b"PUT /", b"HEAD /", b"DELETE /", b"PATCH /", b"OPTIONS ")
HOP_BY_HOP = frozenset(
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
    """A request of the application."""

    request_id: bytes
    method: bytes
    target: bytes
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...]  # those that are forwarded unchanged
    type_index: int
    key: str | None
    wait: float | None  # seconds that the client waits, counted from when it sent the request
    hint: float | None  # estimated cost in seconds
    repeat: bool
    tenant: int | None = None  # index in the settings
    more: bool = False  # whether `body` is only the first part of the body
    length: int | None = None  # of the whole body, None if unstated

    def size(self) -> int:
        """Returns about how many bytes of memory the request takes."""
        return len(self.body) + FIELD_SIZE * len(self.headers)


@dataclass(frozen=True, slots=True)
class AskReady:
    """GET /ready."""


@dataclass(frozen=True, slots=True)
class Bad:
    """An invalid request, with the status and the reason that its client is told."""

    status: int
    reason: str


TOO_MANY_FIELDS = Bad(431, f"over {MAX_FIELDS} header fields")


@dataclass(frozen=True, slots=True)
class Ended:
    """The client has ended the connection, leaving no request to answer."""


class Cut(Exception):
    """A streamed body is invalid or too long; has the status and the reason that its client is told."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


Message = Ask | AskReady | Bad | Ended


def parse_attributes(text: bytes) -> dict[str, str]:
    """Parses a comma-separated list of name=value."""
    pairs = (item.partition("=") for item in text.decode("latin-1").split(","))
    return {name.strip(): value.strip() for name, _, value in pairs}


def cookie(text: bytes, name: str) -> str | None:
    """Returns the value of a cookie, None if it is absent or empty."""
    for item in text.decode("latin-1").split(";"):
        found, _, value = item.strip().partition("=")
        if found == name:
            return value or None
    return None


def going_on(headers: Iterable[tuple[bytes, bytes]]) -> tuple[tuple[bytes, bytes], ...]:
    """Returns the headers that are forwarded: all but those of the connection or of a single attempt.

    Unknown headers are kept, and so is the mark of a fingerprinted request.
    """
    connection_options = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    return tuple(
        (name, value) for name, value in headers if name not in HOP_BY_HOP and name not in connection_options
    )


def number(text: str) -> float:
    """Parses a plain decimal number; float() alone would accept `nan`, `1_0` and `1e9`.

    Raises:
        ValueError: It is none, or has too many digits.
    """
    if len(text) > MAX_DIGITS or not text.isascii() or not text.replace(".", "", 1).isdecimal():
        raise ValueError(text)
    return float(text)


def reject_by_head(request: h11.Request, max_body: int) -> Bad | None:
    """Returns why a request must not be read further, judged by its head, or None."""
    # h11 limits only a head that arrives in several parts.
    if (
        len(request.target) + sum(len(header_name) + len(value) for header_name, value in request.headers)
        > MOST_HEAD
    ):
        return Bad(431, f"a head over {MOST_HEAD} bytes")
    headers = dict(request.headers)
    length = headers.get(b"content-length")
    if length is not None and b"transfer-encoding" in headers:
        return Bad(400, "Content-Length with Transfer-Encoding")
    if length is not None and int(length) > max_body:  # h11 has validated it
        return Bad(413, f"a body over {max_body} bytes")
    return None


class ApplicationSide:
    """The state of one connection from the application, which carries one request after another."""

    def __init__(self, type_names: Sequence[str], most: int = MOST_BODY) -> None:
        """Limits a body to `most` bytes; if that is over MOST_BODY, longer bodies are streamed."""
        self.types = {name.encode(): n for n, name in enumerate(type_names)}
        self.most = most
        self.came: Message | None = None  # a plain request, until `next` returns it
        self.connection: h11.Connection | None = None  # for a request that is not plain
        self.request: h11.Request | None = None
        self.body = bytearray()
        self.got = 0  # bytes received of the body
        self.fields = FieldCounter()
        self.undecoded = False  # whether `next` must be called before more bytes are passed on
        self.body_ended = False  # whether the end of a streamed body has been decoded
        self.following = 0  # bytes that had arrived behind the message that `next` returned last

    def receive(self, data: bytes) -> None:
        """Takes received bytes, b"" for the end of the connection."""
        if self.connection is None:
            found = plain.request(data, MOST_HEAD, MOST_BODY)
            if found is not None:
                self.came = self.decode(*found) if len(found[2]) <= MAX_FIELDS else TOO_MANY_FIELDS
                return
        if self.request is None:
            self.fields.add(data)
        if self.fields.count > MAX_FIELDS:
            self.connection, self.came = None, TOO_MANY_FIELDS
            return
        if self.connection is None:
            self.connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        with contextlib.suppress(RuntimeError):  # bytes after the end: the next event reports the error
            self.connection.receive_data(data)

    @property
    def begun(self) -> bool:
        """Whether a part of the next request has been received."""
        return self.connection is not None

    @property
    def pending(self) -> bool:
        """Whether bytes have been received of a message that `next` has not returned yet."""
        return self.came is not None or self.connection is not None

    @property
    def buffered(self) -> int:
        """About how many bytes of memory a partial request takes."""
        if self.connection is None:
            return 0
        fields = 0 if self.request is None else FIELD_SIZE * len(self.request.headers)
        return len(self.body) + len(self.connection.trailing_data[0]) + fields

    @property
    def missing(self) -> int | None:
        """How many bytes of the body must arrive until `next` returns a request, None for a partial head.

        For a body without a stated length, and for a long one, those until it is long enough to be streamed.
        """
        if self.request is None:
            return None
        stated = dict(self.request.headers).get(b"content-length")
        until_streamed = MOST_BODY + 1 - self.got
        return until_streamed if stated is None else min(int(stated) - self.got, until_streamed)

    def stated_time(self) -> tuple[int, float | None]:
        """Returns the class of a partial request, and the seconds that its client waits, None if unstated.

        Raises:
            ValueError: Either is invalid, as `next` will say, or the head is incomplete.
        """
        headers = {} if self.request is None else dict(self.request.headers)
        name = headers.get(b"x-priority-class", b"")
        if name not in self.types:
            raise ValueError("no class")
        wait = headers.get(b"x-timeout-ms")
        return self.types[name], None if wait is None else number(wait.decode("latin-1")) / 1000

    @property
    def is_long(self) -> bool:
        """Whether the request states a body that is too long to be buffered."""
        return self.request is not None and (
            int(dict(self.request.headers).get(b"content-length", b"0")) > MOST_BODY
        )

    def discard(self) -> None:
        """Frees what has been received of a request that is refused; nothing more can be decoded."""
        self.connection, self.came, self.body = None, None, bytearray()

    def begin_long(self) -> Message:
        """Returns a request with a long body before so much of it has arrived that `next` would."""
        assert self.connection is not None
        return self.whole(self.connection, more=True)

    @property
    def wants_continue(self) -> bool:
        """Whether the client waits for "100 Continue" before it sends the body."""
        return self.connection is not None and self.connection.they_are_waiting_for_100_continue

    def go_on(self) -> bytes:
        """Returns an encoded "100 Continue"."""
        assert self.connection is not None
        return self.connection.send(h11.InformationalResponse(status_code=100, headers=[])) or b""

    def next(self) -> Message | None:
        """Returns the next message, or None; of a long one only the first part (an `Ask` with `more`).

        Decodes up to MAX_EVENTS events of the parser; `undecoded` says whether that left some.
        """
        came, self.came, connection = self.came, None, self.connection
        self.undecoded, self.following = False, 0
        if connection is None:
            return came
        try:
            for _ in range(MAX_EVENTS):
                event = connection.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return None
                if isinstance(event, h11.Request):
                    self.request, self.body, self.got = event, bytearray(), 0
                    if bad := reject_by_head(event, self.most):
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
                drop_traceback(fault)
                return Ended()  # it disconnected in the middle of a request
            return Bad(fault.error_status_hint, str(drop_traceback(fault)))
        self.undecoded = True
        return None

    def whole(self, connection: h11.Connection, more: bool) -> Message:
        """Returns the received request; `more` says whether its body is incomplete."""
        assert self.request is not None
        next_bytes = b"" if more else connection.trailing_data[0]
        self.following = len(next_bytes)
        # The excess of a body longer than its stated length would be read as the next request.
        if next_bytes and not any(method.startswith(next_bytes[: len(method)]) for method in METHODS):
            return Bad(400, "more bytes than belong to the request")
        body, self.body = bytes(self.body), bytearray()
        return self.decode(self.request.method, self.request.target, tuple(self.request.headers), body, more)

    def piece(self) -> bytes | None:
        """Returns the next part of a streamed body, b"" at its end, None if more bytes are needed.

        Raises:
            Cut: The body is invalid or too long.
        """
        part = bytearray()
        for _ in range(MAX_EVENTS):
            data = b"" if self.body_ended else self.next_data()
            if not data:
                break
            part += data
        return bytes(part) if part or self.body_ended else None

    def at_end(self, stated_length: int | None) -> bool:
        """Whether the parts of a streamed body returned so far are all of it, as far as is known.

        The end of a body with a stated length is always known with its last byte.
        """
        if not self.body_ended and self.got == stated_length:
            self.next_data()
        return self.body_ended

    def next_data(self) -> bytes:
        """Returns the data of the parser's next event; b"" at the body's end, or if more bytes are needed.

        Raises:
            Cut: The body is invalid or too long.
        """
        assert self.connection is not None
        try:
            event = self.connection.next_event()
        except h11.RemoteProtocolError as fault:
            raise Cut(fault.error_status_hint, str(drop_traceback(fault))) from None
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return b""
        if isinstance(event, h11.EndOfMessage):
            self.body_ended = True
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
        """Interprets the headers of a request."""
        headers = dict(all_headers)
        path = target.partition(b"?")[0]
        if path == b"/ready":
            return AskReady() if method == b"GET" else Bad(405, "only GET here")
        request_id = headers.get(b"x-request-id")
        if not request_id:
            return Bad(400, "no X-Request-ID")
        name = headers.get(b"x-priority-class", b"")
        if name not in self.types:
            return Bad(400, "an unknown X-Priority-Class")
        try:
            wait = headers.get(b"x-timeout-ms")
            cost = headers.get(b"x-cost", b"").decode("latin-1")  # in microseconds, X-Attrs in milliseconds
            attributes_given = parse_attributes(headers.get(b"x-attrs", b""))
            predicted, tenant = attributes_given.get("predicted"), attributes_given.get("billing")
            hint = number(cost) / 1e6 if cost else number(predicted) / 1000 if predicted else None
            return Ask(
                request_id,
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
        """Encodes an endpoint's answer; `length`: the Content-Length in answer to HEAD, if stated."""
        return self.answer(200, body, close, headers, length)

    def rejected(self, hold_off: float, close: bool) -> bytes:
        """Encodes a rejection; `hold_off` is for how many seconds the client should wait, 0 if unstated."""
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
        """Encodes an answer; `length` replaces the length of the body in answer to HEAD."""
        length = length if length is not None and self.asked_head() else len(body)
        return self.head(status, headers, length, close) + (b"" if self.asked_head() else body)

    def head(
        self, status: int, headers: Sequence[tuple[bytes, bytes]], length: int | None, close: bool
    ) -> bytes:
        """Encodes the head of an answer; without a length the body is chunked or ends with the connection."""
        all_headers = list(headers)
        if length is not None:
            all_headers.append((b"Content-Length", b"%d" % length))
        elif self.chunked():
            all_headers.append((b"Transfer-Encoding", b"chunked"))
        if close or not self.goes_on() or (length is None and not self.chunked()):
            all_headers.append((b"Connection", b"close"))
        return plain.encode(plain.status_line(status), all_headers, b"")

    def chunked(self) -> bool:
        """Whether the client supports the chunked encoding."""
        return self.request is None or self.request.http_version >= b"1.1"

    def follows(self) -> bool:
        """Whether a part of the next request has arrived with the current one."""
        return self.connection is not None and self.connection.trailing_data[0] != b""

    def goes_on(self) -> bool:
        """Whether the connection can carry another request."""
        return self.connection is None or self.connection.their_state is h11.DONE

    def asked_head(self) -> bool:
        """Whether the request is a HEAD, whose answer has no body."""
        return self.request is not None and self.request.method == b"HEAD"

    def next_cycle(self) -> bool:
        """Ends the current request; returns whether the connection can carry another one."""
        goes_on = self.goes_on()
        follows = self.connection.trailing_data[0] if self.connection is not None and goes_on else b""
        self.connection, self.request, self.body_ended = None, None, False
        self.fields = FieldCounter()
        if follows:  # the next request arrived with the last one
            self.receive(follows)
        return goes_on
