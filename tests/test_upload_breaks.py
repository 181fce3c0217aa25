"""Endpoints that end the connection, or answer, right after the last byte of a long body."""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import pytest

from .fleet import Rig, ask
from .test_streams import EndpointSockets, Reader, dechunked

WAYS_TO_END = ["reset", "close", "half an answer"]
CHUNK = 50_000  # bytes
MAX_ROUNDS = 2000


def long_request(length: int, chunked: bool) -> bytes:
    """Encodes a non-idempotent request with a body of `length` bytes."""
    body = b"y" * length
    request = ask("x", "book", body)
    if not chunked:
        return request
    head = request.partition(b"\r\n\r\n")[0].replace(
        b"Content-Length: %d" % length, b"Transfer-Encoding: chunked"
    )
    parts = [body[at : at + CHUNK] for at in range(0, length, CHUNK)]
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    return head + b"\r\n\r\n" + chunks + b"0\r\n\r\n"


class ActingEndpoint:
    """Reads a body, and acts once it has the last byte, before the sidecar polls its sockets again."""

    def __init__(
        self,
        rig: Rig,
        monkeypatch: pytest.MonkeyPatch,
        length: int,
        chunked: bool,
        act: Callable[[Reader], None],
    ) -> None:
        self.rig, self.length, self.chunked, self.act = rig, length, chunked, act
        self.sockets, self.acted = EndpointSockets(rig), False
        self.reader: Reader | None = None
        self.poll = rig.loop.look
        monkeypatch.setattr(rig.loop, "look", self.look)
        monkeypatch.setattr(rig.loop, "slice_used", lambda: True)  # other tasks run between any two parts

    def look(self, wait: float | None) -> list[tuple[int, int]]:
        """Reads what has arrived, then polls as the loop does."""
        if self.reader is None:
            self.reader = self.sockets.find()
        if self.reader is not None and not self.acted:
            self.reader.look()
            if self.is_whole(self.reader):
                self.acted = True
                self.act(self.reader)
        return self.poll(wait)

    def is_whole(self, reader: Reader) -> bool:
        """Whether the whole body has been read."""
        if not self.chunked:
            return len(reader.body()) == self.length
        return reader.data.endswith(b"\r\n0\r\n\r\n") and len(dechunked(reader.body())) == self.length


def upload(rig: Rig, endpoint: ActingEndpoint, request: bytes) -> Reader:
    """Sends the request until the endpoint has acted; returns what the client has been answered."""
    client = rig.client()
    sent = 0
    for _ in range(MAX_ROUNDS):
        with contextlib.suppress(BlockingIOError):
            sent += client.sock.send(request[sent : sent + 100_000])
        rig.loop.step()
        if endpoint.acted:
            break
    assert endpoint.acted, "the endpoint was not sent the whole body"
    rig.loop.settle()
    answer = Reader(client.sock)
    answer.look()
    return answer


def end(endpoint: Reader, how: str) -> None:
    """Ends the endpoint's connection, as it would after it has executed the request."""
    if how == "half an answer":
        endpoint.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Le")
    if how == "reset":
        endpoint.reset_connection()
    endpoint.sock.close()


# Guards against a request that an endpoint has executed, and whose client is told that it may send it again.
@pytest.mark.parametrize("how", WAYS_TO_END)
@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("length", [70_000, 400_000])
def test_a_connection_that_ends_after_the_last_byte_may_have_executed_the_request(
    rig: Rig, monkeypatch: pytest.MonkeyPatch, length: int, chunked: bool, how: str
) -> None:
    endpoint = ActingEndpoint(rig, monkeypatch, length, chunked, lambda reader: end(reader, how))
    answer = upload(rig, endpoint, long_request(length, chunked))
    assert answer.data.startswith(b"HTTP/1.1 502 "), bytes(answer.data[:60])


# Guards against a mend that takes every break of an upload for one after the last byte.
@pytest.mark.parametrize("how", ["reset", "close"])
@pytest.mark.parametrize("chunked", [False, True])
def test_a_connection_that_ends_before_the_last_byte_never_executed_the_request(
    rig: Rig, chunked: bool, how: str
) -> None:
    raw, client = EndpointSockets(rig), rig.client()
    request = long_request(400_000, chunked)
    client.sock.sendall(request[:200_000])
    endpoint = raw.accept()
    for _ in range(50):
        rig.loop.settle()
        endpoint.look()
    end(endpoint, how)
    rig.loop.settle()
    answer = Reader(client.sock)
    answer.look()
    assert answer.data.startswith(b"HTTP/1.1 503 "), bytes(answer.data[:60])


# Guards against an answer that comes with the last byte and costs its client the connection.
@pytest.mark.parametrize("chunked", [False, True])
def test_an_answer_right_after_the_last_byte_leaves_the_client_connected(
    rig: Rig, monkeypatch: pytest.MonkeyPatch, chunked: bool
) -> None:
    whole_answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    endpoint = ActingEndpoint(
        rig, monkeypatch, 400_000, chunked, lambda reader: reader.sock.sendall(whole_answer)
    )
    answer = upload(rig, endpoint, long_request(400_000, chunked))
    assert answer.data.startswith(b"HTTP/1.1 200 ") and answer.data.endswith(b"ok")
    answer.look()
    assert b"Connection: close" not in answer.data and not answer.ended
