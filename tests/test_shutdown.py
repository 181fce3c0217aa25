"""Shutdown while bytes, closes and signals cross: responses arrive whole, and nothing is read too late."""

from __future__ import annotations

import os
import signal
import socket
from collections.abc import Callable

import pytest

from rainspindle.fronts.http1.front import HttpFront
from rainspindle.program.config import Config, ConfigFault, check
from rainspindle.program.serve import Sidecar
from rainspindle.protocol.application import ApplicationSide
from rainspindle.transport.connection import Connection

from .fleet import SETTINGS, Client, Open, Rig, SteppedLoop, ask, only

BODY = bytes(range(256)) * 240  # 60 KiB: far more than a small receive buffer holds


class SlowClient(Client):
    """A client that reads nothing until `rest`, with a receive buffer smaller than a response."""

    def __init__(self, rig: Rig) -> None:
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sock.connect(("127.0.0.1", rig.listener.address[1]))
        self.sock.setblocking(False)
        self.rig = rig
        rig.clients.append(self)

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def rest(self) -> tuple[bytes, bool]:
        """Returns all further bytes, and whether the connection ended in a reset."""
        data = b""
        for _ in range(10_000):
            try:
                piece = self.sock.recv(1 << 20)
            except BlockingIOError:
                self.rig.settle()
                continue
            except ConnectionError:
                return data, True
            if not piece:
                return data, False
            data += piece
        raise AssertionError("the connection was not closed")


def run_after_close_decision(monkeypatch: pytest.MonkeyPatch, act: Callable[[], None]) -> None:
    """Runs `act` once, right after the front has decided to close a connection after its response."""
    original, calls = HttpFront.closes, list[bool]()

    def patched(self: HttpFront, client: Connection, side: ApplicationSide) -> bool:
        close = original(self, client, side)
        if close and not calls:
            calls.append(True)
            act()
        return close

    monkeypatch.setattr(HttpFront, "closes", patched)


READY = b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"


def test_a_response_written_before_a_close_survives_bytes_that_cross_it(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    client = SlowClient(rig)
    client.send(ask("x", "book"))
    attempt = only(rig.got())
    rig.front.closing = True
    run_after_close_decision(monkeypatch, lambda: client.send(ask("crossed")))
    attempt.answer(200, BODY)
    rig.settle()
    data, reset = client.rest()
    assert data.endswith(BODY) and b"\r\nConnection: close\r\n" in data and not reset
    assert rig.got() == [], "a request behind the last response was forwarded"
    client.close()
    rig.settle()
    assert not rig.front.clients


def test_a_connection_left_open_by_its_client_after_the_last_response_is_closed_in_bounded_time(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    client = SlowClient(rig)
    rig.front.closing = True
    run_after_close_decision(monkeypatch, lambda: client.send(READY))
    client.send(READY)
    rig.settle()
    data, reset = client.rest()
    assert data.startswith(b"HTTP/1.1 ") and data.count(b"HTTP/1.1 ") == 1 and not reset
    rig.wait(1.0)
    assert not rig.front.clients


def test_a_long_response_streamed_before_the_request_body_is_complete_is_not_lost(rig: Rig) -> None:
    client = SlowClient(rig)
    head, body = ask("x", "book").replace(b"Content-Length: 0", b"Content-Length: 300000"), b"b" * 200_000
    client.send(head + body[:100_000])
    rig.settle()
    sock = next(sock for stand in rig.stands for sock in stand.readers)
    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (2 * len(BODY)) + BODY)
    rig.wait(0.05)  # a part of the response is streamed before the rest has arrived
    sock.sendall(BODY)
    client.send(body[100_000:])  # the client goes on with its body, as it has not read the response yet
    rig.settle()
    assert not rig.core.held
    data, reset = client.rest()
    assert data.endswith(BODY + BODY) and not reset


def test_a_request_that_crosses_the_close_of_an_idle_connection_sees_eof_and_no_reset(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client can retry such a request, because the sidecar neither reads nor forwards it."""
    client = rig.asked(ask("warm"))
    rig.serve()
    assert client.status() == 200
    original = Connection.sound

    def patched(self: Connection) -> bool:
        healthy = original(self)
        client.sock.sendall(ask("crossed"))
        return healthy

    monkeypatch.setattr(Connection, "sound", patched)
    rig.front.closing = True
    rig.front.finish_clients()
    monkeypatch.undo()
    assert rig.got() == [], "a request that arrived after the close was forwarded"
    assert client.sock.recv(1) == b"", "expected end of stream without a response"
    client.close()
    rig.settle()
    assert not rig.front.clients and rig.core.taken == 1


def test_a_connection_with_an_unread_request_is_not_closed(rig: Rig) -> None:
    client = rig.asked(ask("warm"))
    rig.serve()
    assert client.status() == 200
    client.send(ask("came first"))
    rig.front.closing = True
    assert not rig.front.finish_clients()
    rig.serve()
    assert client.status() == 200


def test_a_partially_written_response_is_not_cut_when_idle_connections_are_closed(rig: Rig) -> None:
    """The response answers a request whose body is incomplete, and its client reads slowly."""
    client = SlowClient(rig)
    client.send(ask("x", "book").replace(b"Content-Length: 0", b"Content-Length: 300000") + b"b" * 150_000)
    rig.settle()
    sock = next(sock for stand in rig.stands for sock in stand.readers)
    connection = next(iter(rig.front.clients))
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY) + BODY)
    rig.settle()
    rig.front.closing = True
    rig.wait(0.6)
    rig.front.finish_clients()
    data, reset = client.rest()
    assert data.endswith(BODY) and not reset


# Signals to a sidecar in this process, whose event loop the test steps.


class SteppedSidecar(Open):
    """A complete sidecar in this process, to which signals can be sent."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, load: Callable[[Config], Config]) -> None:
        super().__init__()
        monkeypatch.setattr("rainspindle.program.serve.Loop", lambda fault: SteppedLoop())
        self.former_handlers = {
            number: signal.getsignal(number)
            for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGPIPE)
        }
        config = check(
            "here",
            {
                "name": "n1",
                "listen": "127.0.0.1:0",
                "discovery": "127.0.0.1:9",
                "settings": SETTINGS,
                "known": {"generation": 1, "reset": True, "instances": []},
            },
            {},
        )
        self.sidecar = Sidecar(config, lambda: load(config))
        assert isinstance(self.sidecar.loop, SteppedLoop)
        self.loop = self.sidecar.loop

    def signal(self, *numbers: int) -> None:
        """Sends all signals before the next step of the event loop."""
        for number in numbers:
            os.kill(os.getpid(), number)
        self.loop.step()
        self.loop.step()

    def end(self) -> None:
        signal.set_wakeup_fd(-1)
        for number, handler in self.former_handlers.items():
            signal.signal(number, handler)
        sidecar = self.sidecar
        sidecar.close_listeners()
        for connection in list(sidecar.front.clients):  # type: ignore[call-overload]
            connection.close()
        for task in list(self.loop.tasks):
            task.coroutine.close()
        sidecar.signals.receiver.close()
        sidecar.signals.sender.close()
        self.loop.epoll.close()


def unchanged(config: Config) -> Config:
    return config


def invalid(config: Config) -> Config:
    raise ConfigFault("a fault in the file", "fix it")


def defect(config: Config) -> Config:
    raise RuntimeError("a defect")


@pytest.mark.parametrize("load", [unchanged, invalid, defect])
@pytest.mark.parametrize(
    "numbers",
    [
        (signal.SIGHUP, signal.SIGTERM),
        (signal.SIGTERM, signal.SIGHUP),
        (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP),
    ],
)
def test_sigterm_is_handled_whatever_a_simultaneous_sighup_causes(
    monkeypatch: pytest.MonkeyPatch, load: Callable[[Config], Config], numbers: tuple[int, ...]
) -> None:
    stepped = SteppedSidecar(monkeypatch, load)
    sidecar, started_at = stepped.sidecar, stepped.loop.time
    stepped.signal(*numbers)
    assert sidecar.stages.ending and sidecar.front.leaving
    stepped.loop.time += 0.5
    stepped.signal(signal.SIGTERM, signal.SIGHUP)
    assert sidecar.stages.since == started_at, "a second SIGTERM must not restart the shutdown"
    stepped.loop.faults.clear()


def test_sigterm_before_readiness_keeps_the_listener_open_for_its_time_and_never_gets_ready(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The signal arrives before the first step of the event loop."""
    stepped = SteppedSidecar(monkeypatch, unchanged)
    sidecar = stepped.sidecar
    sidecar.front.ready_from = stepped.loop.time + 1.0
    stepped.signal(signal.SIGTERM)
    client = Client(sidecar.listener.address[1])
    client.send(READY)
    stepped.loop.settle()
    assert client.status() == 503
    stepped.loop.wait(1.1)
    client.send(READY)
    stepped.loop.settle()
    assert client.status() == 503, "a process that shuts down must not become ready"
    client.close()
    stepped.loop.time = sidecar.stages.since + sidecar.stages.grace_period + 0.3
    for _ in range(10):
        stepped.loop.step()
    assert sidecar.listener.closed and stepped.loop.stopped


# A process whose remaining time is shorter than the deadlines of its requests.


@pytest.mark.parametrize(("traffic_class", "status"), [("look", 503), ("book", 502)])
def test_a_request_in_flight_is_answered_before_the_process_ends(traffic_class: str, status: int) -> None:
    """Its deadline lies after the end of the process, and its endpoint hangs."""
    classes = [{**kind, "promised-time": 8000.0, "expiry": 8000.0} for kind in SETTINGS["traffic-types"]]
    rig = Rig(settings={**SETTINGS, "traffic-types": classes})
    client = rig.asked(ask("x", traffic_class, wait=8000))
    attempt = only(rig.got())
    rig.wait(1.0)
    rig.core.answer_by(rig.loop.now() + 2.0)
    rig.wait(1.95)
    assert client.answer() is None and rig.facade.in_flight() == 1 and not attempt.gone()
    rig.wait(0.1)
    assert client.status() == status
    assert rig.facade.in_flight() == 0 and not rig.core.held and attempt.gone()
    assert rig.got() == [], "a further attempt was made although no time was left"


def test_a_request_accepted_during_shutdown_is_answered_before_the_process_ends() -> None:
    classes = [{**kind, "promised-time": 8000.0, "expiry": 8000.0} for kind in SETTINGS["traffic-types"]]
    rig = Rig(settings={**SETTINGS, "traffic-types": classes})
    rig.core.answer_by(rig.loop.now() + 0.5)
    client = rig.asked(ask("x", wait=8000))
    only(rig.got())
    rig.wait(0.45)
    assert client.answer() is None
    rig.wait(0.1)
    assert client.status() == 503 and rig.facade.in_flight() == 0
