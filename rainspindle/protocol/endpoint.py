"""The endpoints' messages: an exchange forwarded, and what came of it."""

from __future__ import annotations

from dataclasses import dataclass

from ..host import Outcome
from .application import MOST_BODY, Ask, going_on
from .client import Call, Reply


@dataclass(frozen=True, slots=True)
class Answered:
    """How a forward ended, as the endpoint said."""

    outcome: Outcome
    headers: tuple[tuple[bytes, bytes], ...]  # those that go on unchanged
    body: bytes
    reusable: bool


class EndpointSide:
    """One forward on a connection to an endpoint."""

    def __init__(self) -> None:
        self.call = Call(MOST_BODY)

    def forward(self, ask: Ask, host: bytes, patience: float) -> bytes:
        left = str(max(1, int(patience * 1000))).encode()
        headers = [(b"Host", host), (b"X-Timeout-Ms", left), *ask.headers]
        if ask.body or ask.method not in (b"GET", b"HEAD"):
            headers.append((b"Content-Length", str(len(ask.body)).encode()))
        return self.call.request(ask.method, ask.target, headers, ask.body)

    def receive(self, data: bytes) -> Answered | None:
        """Takes what has come; gives the end once the answer is whole. Raises Unreadable."""
        reply = self.call.receive(data)
        return None if reply is None else Answered(
            outcome(reply), going_on(reply.headers), reply.body, reply.reusable)


def outcome(reply: Reply) -> Outcome:
    if reply.status == 200:
        return Outcome.SERVED
    if reply.status in (503, 504) and (b"x-not-processed", b"1") in reply.headers:
        return Outcome.FULL
    return Outcome.ERROR  # whatever it says, it may have run
