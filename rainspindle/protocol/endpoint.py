"""HTTP messages between the sidecar and endpoints: attempts and their outcomes."""

from __future__ import annotations

from ..balancer.host import AttemptOutcome
from ..lazy_dataclasses import dataclass
from .application import MOST_BODY, MOST_STREAM, Ask, going_on
from .client import Call, Reply


@dataclass(frozen=True, slots=True)
class Answered:
    """An endpoint's answer to an attempt."""

    outcome: AttemptOutcome
    headers: tuple[tuple[bytes, bytes], ...]  # those that are forwarded unchanged
    body: bytes
    reusable: bool
    length: int | None = None  # as stated in answer to HEAD, else None


class EndpointSide:
    """One attempt on a connection to an endpoint."""

    def __init__(self, streams: bool = False) -> None:
        """Streams a long answer if `streams`; otherwise it is refused."""
        self.call = Call(MOST_BODY, MOST_STREAM if streams else 0)
        self.chunked = False

    def forward(self, ask: Ask, host: bytes, patience: float) -> bytes:
        """Encodes the request, or its head and the first part of the body; `patience` is in seconds."""
        remaining_ms = str(max(1, int(patience * 1000))).encode()
        headers = [(b"Host", host), (b"X-Timeout-Ms", remaining_ms), *ask.headers]
        self.chunked = ask.more and ask.length is None
        if self.chunked:
            headers.append((b"Transfer-Encoding", b"chunked"))
        elif ask.body or ask.method not in (b"GET", b"HEAD"):
            length = ask.length if ask.more else len(ask.body)
            headers.append((b"Content-Length", b"%d" % (length or 0)))
        return self.call.request(
            ask.method, ask.target, headers, self.piece(ask.body, last=False) if self.chunked else ask.body
        )

    def piece(self, data: bytes, last: bool) -> bytes:
        """Encodes another part of the body, which may be empty; `last` says that no other follows."""
        if not self.chunked:
            return data
        return (chunk(data) if data else b"") + (chunk(b"") if last else b"")

    def receive(self, data: bytes) -> Answered | None:
        """Takes received bytes; returns the answer once it is complete. Raises `client.Unreadable`."""
        return self.answered(self.call.receive(data))

    def resume(self) -> Answered | None:
        """Decodes what `receive` left, as `receive` does."""
        return self.answered(self.call.resume())

    @property
    def undecoded(self) -> bool:
        """Whether `resume` must be called before more bytes are passed on."""
        return self.call.undecoded

    def answered(self, reply: Reply | None) -> Answered | None:
        """Interprets a complete answer."""
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
    """Encodes a part of a body as a chunk, b"" as the last one."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def outcome(reply: Reply) -> AttemptOutcome:
    """Returns the outcome of an attempt that was answered."""
    if reply.status == 200:
        return AttemptOutcome.SERVED
    if reply.status in (503, 504) and (b"x-not-processed", b"1") in reply.headers:
        return AttemptOutcome.OVERLOADED
    return AttemptOutcome.ERROR  # whatever the status, it may have been executed
