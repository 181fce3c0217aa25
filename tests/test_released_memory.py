"""What a request holds is freed when it ends, without waiting for the cyclic garbage collector."""

from __future__ import annotations

import gc
from collections.abc import Callable, Iterator

import pytest

from rainspindle.fronts.http1.stream import Streams
from rainspindle.protocol.application import ApplicationSide, Ask
from rainspindle.protocol.client import Call
from rainspindle.routing.core import Given

from .fleet import Client, Rig, ask, only
from .test_streams import EndpointSockets, Reader, write_while_read

HELD_BY_REQUESTS = (Given, Ask, Streams, Call, ApplicationSide)


@pytest.fixture
def no_collection() -> Iterator[None]:
    """The collector does not run, as in service, where it runs only after 20,000 allocations."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def served(rig: Rig, client: Client) -> None:
    client.send(ask("x", "book", b"y" * 60_000))
    only(rig.got()).answer(200, b"z" * 60_000)
    rig.settle()
    assert client.status() == 200


def rejected(rig: Rig, client: Client) -> None:
    for stand in rig.stands:
        stand.close()
    client.send(ask("x", "book", b"y" * 60_000))
    rig.wait(1.0)
    assert client.status() == 503


def failed(rig: Rig, client: Client) -> None:
    client.send(ask("x", "book", b"y" * 60_000))
    only(rig.got()).close()
    rig.settle()
    assert client.status() == 502


def timed_out(rig: Rig, client: Client) -> None:
    client.send(ask("x", "book", b"y" * 60_000))
    only(rig.got())
    rig.wait(2.5)
    assert client.status() == 502


def attempted_twice(rig: Rig, client: Client) -> None:
    client.send(ask("x", "look", b"y" * 60_000))
    only(rig.got()).close()
    only(rig.got()).answer(200)
    rig.settle()
    assert client.status() == 200


def client_left(rig: Rig, client: Client) -> None:
    client.send(ask("x", "book", b"y" * 60_000))
    only(rig.got())
    client.close()
    rig.settle()
    assert not rig.core.held


def refused(rig: Rig, client: Client) -> None:
    client.sock.sendall(b"POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n")
    rig.wait(2.0)


def cut_off(rig: Rig, client: Client) -> None:
    head = ask("x", "book").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    client.sock.sendall(head + b"ea60\r\n" + b"y" * 60_000 + b"\r\nspoilt\r\n")
    rig.wait(2.0)


def streamed(rig: Rig, client: Client) -> None:
    raw, reader = EndpointSockets(rig), Reader(client.sock)
    client.sock.sendall(ask("x", "book").replace(b"Content-Length: 0", b"Content-Length: 200000"))
    write_while_read(rig, client.sock, b"y" * 100_000)
    endpoint = raw.accept()
    write_while_read(rig, client.sock, b"y" * 100_000, endpoint)
    endpoint.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n")
    write_while_read(rig, endpoint.sock, b"z" * 200_000, reader)
    assert len(reader.body()) == 200_000


# Guards against a sidecar that is killed for memory: the bodies of requests that had ended stayed in
# reference cycles, 24 MB of them, until the collector ran.
@pytest.mark.parametrize(
    "end",
    [served, rejected, failed, timed_out, attempted_twice, client_left, refused, cut_off, streamed],
    ids=lambda end: end.__name__,
)
def test_an_ended_request_leaves_no_cyclic_garbage(
    rig: Rig, no_collection: None, end: Callable[[Rig, Client], None]
) -> None:
    client = rig.client()
    end(rig, client)
    client.close()
    rig.loop.settle()
    rig.wait(1.1)
    assert not rig.core.held and not rig.front.clients
    left = [type(item).__name__ for item in gc.get_objects() if type(item) in HELD_BY_REQUESTS]
    assert not left, left
