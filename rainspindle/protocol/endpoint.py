"""The endpoints' messages: an exchange forwarded, and what came of it."""

from __future__ import annotations

from ..balancer.host import AttemptOutcome
from ..lazy_dataclasses import dataclass
from .application import MOST_BODY, MOST_STREAM, Ask, going_on
from .client import Call, Reply


@dataclass(frozen=True, slots=True)
class Answered:
    """How a forward ended, as the endpoint said."""

    outcome: AttemptOutcome
    headers: tuple[tuple[bytes, bytes], ...]  # those that go on unchanged
    body: bytes
    reusable: bool
    length: int | None = None  # that the head tells, where it alone was asked for


class EndpointSide:
    """One forward on a connection to an endpoint."""

    def __init__(self, streams: bool = False) -> None:
        """`streams`: whether a long answer may be given out piece by piece."""
        self.call = Call(MOST_BODY, MOST_STREAM if streams else 0)
        self.chunked = False

    def forward(self, ask: Ask, host: bytes, patience: float) -> bytes:
        """The request, or its head and the first part of its body."""
        left = str(max(1, int(patience * 1000))).encode()
        headers = [(b"Host", host), (b"X-Timeout-Ms", left), *ask.headers]
        self.chunked = ask.more and ask.length is None
        if self.chunked:
            headers.append((b"Transfer-Encoding", b"chunked"))
        elif ask.body or ask.method not in (b"GET", b"HEAD"):
            length = ask.length if ask.more else len(ask.body)
            headers.append((b"Content-Length", b"%d" % (length or 0)))
        return self.call.request(
            ask.method, ask.target, headers, self.piece(ask.body) if self.chunked else ask.body
        )

    def piece(self, data: bytes) -> bytes:
        """A further part of the body, b"" for its end."""
        return chunk(data) if self.chunked else data

    def receive(self, data: bytes) -> Answered | None:
        """Takes what has come; gives the end once the answer is whole. Raises Unreadable."""
        reply = self.call.receive(data)
        return (
            None
            if reply is None
            else Answered(
                outcome(reply),
                going_on(reply.headers),
                reply.body,
                reply.reusable,
                self.call.length() if self.call.method == b"HEAD" else None,
            )
        )


def chunk(data: bytes) -> bytes:
    """One chunk of a body without a length; the last one for b""."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def outcome(reply: Reply) -> AttemptOutcome:
    if reply.status == 200:
        return AttemptOutcome.SERVED
    if reply.status in (503, 504) and (b"x-not-processed", b"1") in reply.headers:
        return AttemptOutcome.OVERLOADED
    return AttemptOutcome.ERROR  # whatever it says, it may have run
