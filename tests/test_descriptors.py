"""Descriptors at their limit: who gets one, which connections are closed, and what `check` reports."""

from __future__ import annotations

import errno
import json
import os
import resource
import select
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from rainspindle.lab.sockets.run import reserve_port
from rainspindle.program import config as program_config
from rainspindle.program import serve
from rainspindle.program.config import LEAST_SOCKETS, RESERVED_SOCKETS
from rainspindle.transport.connection import Listener, OutOfSockets, open_connection

from .fleet import Client, Rig, Stand, ask, entry
from .test_program import PATIENCE, ROOT, Service, config, run

READY = b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"
NOTIFIED_WITHIN = 6.0  # seconds from the return of discovery until a change counts as notified
IDLE_CLIENTS = 150  # clients that connect and send nothing


# The listening socket, with a simulated clock.


def test_accept_retries_do_not_multiply_with_new_connections(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each new connection used to start a series of retries of its own, a busy loop at the limit."""
    accept, attempts, short = socket.socket.accept, 0, True

    def counted(self: socket.socket) -> tuple[socket.socket, object]:
        nonlocal attempts
        if self is rig.listener.sock:
            attempts += 1
            if short:
                raise OSError(errno.EMFILE, "too many open files")
        return accept(self)

    monkeypatch.setattr(socket.socket, "accept", counted)
    clients = [rig.asked(READY) for _ in range(40)]
    attempts = 0
    rig.wait(1.0)
    assert attempts <= 1.0 / Listener.RETRY_DELAY + 1
    short = False
    rig.wait(0.1)
    assert [client.status() for client in clients] == [200] * 40


def test_a_lasting_accept_error_causes_no_busy_loop(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    attempts = 0

    def refused(self: socket.socket) -> tuple[socket.socket, object]:
        nonlocal attempts
        attempts += 1
        raise OSError(errno.EPERM, "not permitted")

    monkeypatch.setattr(socket.socket, "accept", refused)
    rig.client()
    for _ in range(100):  # settle() would not return from a loop that is busy in every round
        rig.loop.step()
    assert attempts == Listener.MAX_BATCH
    monkeypatch.undo()
    rig.clients[-1].send(ask("x"))
    rig.wait(0.1)
    rig.serve()
    assert rig.clients[-1].status() == 200


def test_an_aborted_connection_does_not_delay_the_next(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    accept, aborted = socket.socket.accept, [errno.ECONNABORTED]

    def once(self: socket.socket) -> tuple[socket.socket, object]:
        if aborted:
            raise OSError(aborted.pop(), "aborted")
        return accept(self)

    monkeypatch.setattr(socket.socket, "accept", once)
    client = rig.asked(ask("x"))
    rig.serve()
    assert client.status() == 200 and not aborted


def test_an_error_with_one_connection_does_not_leave_the_others_unaccepted(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An error used to leave the others waiting for the next client, as epoll does not report them again."""
    accepted, faulty = rig.listener.accepted, [ValueError("planted")]

    def once(connection: object) -> bool | None:
        if faulty:
            raise faulty.pop()
        return accepted(connection)  # type: ignore[arg-type]

    monkeypatch.setattr(rig.listener, "accepted", once)
    clients = [rig.client() for _ in range(3)]
    for client in clients:
        client.send(READY)
    rig.loop.step()
    rig.loop.step()
    assert [str(fault) for fault in rig.loop.faults] == ["planted"]
    rig.loop.faults.clear()
    rig.wait(0.1)
    assert [client.status() for client in clients[1:]] == [200] * 2


# The limits of connections.


def test_active_clients_use_no_more_than_their_limit_and_half_of_the_pool() -> None:
    """Requests in progress must not use the descriptors that are reserved for discovery and the console."""
    rig = Rig(1, clients=8, connections=16)
    rig.tell(*(entry(f"n{n}", rig.stands[0].port) for n in range(40)), whole=True)
    clients = [rig.asked(ask(f"x{n}")) for n in range(20)]
    rig.wait(0.1)
    assert len(rig.front.clients) == 12 and rig.pool.lent == 4 and rig.pool.open <= 16 - 4
    for _ in range(10):  # connections not accepted so far are accepted as others become idle
        rig.serve_all()
        rig.wait(0.05)
        assert len(rig.front.clients) + rig.pool.open <= 8 + 16
    assert {client.status() for client in clients} <= {200, 503}, "a request without its one answer"
    assert rig.pool.lent == max(0, len(rig.front.clients) - 8)


def test_a_client_over_the_limit_is_accepted_when_the_listener_closes() -> None:
    """Connections in the kernel's queue must not be lost during shutdown."""
    rig = Rig(1, clients=2, connections=2)
    clients = [rig.asked(ask(f"x{n}")) for n in range(8)]
    assert len(rig.front.clients) < 8
    rig.front.leaving = True
    rig.listener.close()
    rig.settle()
    assert len(rig.front.clients) == 8
    rig.serve_all()
    assert {client.status() for client in clients} <= {200, 503}


def test_opening_a_connection_at_the_limit_closes_another(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    make, short = socket.socket, 1

    class Short(make):  # type: ignore[misc, valid-type]
        def __init__(self, *arguments: object, **named: object) -> None:
            nonlocal short
            if short and named.get("fileno") is None:
                short -= 1
                raise OSError(errno.EMFILE, "too many open files")
            super().__init__(*arguments, **named)

    asked: list[bool] = []

    def make_room() -> bool:
        asked.append(True)
        return len(asked) < 2

    rig.loop.make_room = make_room
    monkeypatch.setattr(socket, "socket", Short)
    open_connection(rig.loop, ("127.0.0.1", rig.stands[0].port)).close()
    assert len(asked) == 1
    short = 1
    with pytest.raises(OutOfSockets):
        open_connection(rig.loop, ("127.0.0.1", rig.stands[0].port))


# What `check` reports.


@pytest.mark.parametrize("sockets", [0, -5, 40, LEAST_SOCKETS - 1])
def test_a_limit_below_the_reserves_is_reported_in_one_line_with_key_and_remedy(
    tmp_path: Path, sockets: int
) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps(config(limits={"sockets": sockets})))
    for command in ("check", "serve"):
        done = run(command, "--config", str(file))
        assert done.returncode == 2 and done.stdout == "" and done.stderr.count("\n") == 1, done.stderr
        assert f"limits.sockets is {sockets}" in done.stderr and f"set it to {LEAST_SOCKETS}" in done.stderr


def test_the_least_limit_is_accepted_and_its_shares_are_within_it(tmp_path: Path) -> None:
    for sockets in (LEAST_SOCKETS, 80, 100, 1024):
        made = program_config.check("f", config(limits={"sockets": sockets}))
        clients, connections = serve.caps(made)
        assert clients >= 8 and connections >= 8 and clients + connections + RESERVED_SOCKETS <= sockets
    file = tmp_path / "config.json"
    file.write_text(json.dumps(config(limits={"sockets": LEAST_SOCKETS})))
    assert run("check", "--config", str(file)).returncode == 0


def limited(descriptors: int, *arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "rainspindle", *arguments],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=PATIENCE,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors,) * 2),
    )


def test_check_reports_a_system_limit_below_the_reserves(tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps(config()))
    for command in ("check", "serve"):
        done = limited(LEAST_SOCKETS - 4, command, "--config", str(file))
        assert done.returncode == 2 and done.stderr.count("\n") == 1, done.stderr
        assert f"open {LEAST_SOCKETS - 4} descriptors" in done.stderr and "RLIMIT_NOFILE" in done.stderr


# The program, with few descriptors.


class Limited(Service):
    """The program in a process with a limit on its descriptors."""

    def __init__(self, folder: Path, descriptors: int, **changes: Any) -> None:
        self.descriptors = descriptors
        self.console_port = reserve_port()
        super().__init__(
            folder, environment={"TMPDIR": str(folder)}, console=f"127.0.0.1:{self.console_port}", **changes
        )

    def start(self, *arguments: str, environment: dict[str, str] | None = None) -> subprocess.Popen[bytes]:
        most = self.descriptors
        with self.log.open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "rainspindle", *arguments],
                cwd=ROOT,
                stdout=subprocess.DEVNULL,
                stderr=log,
                env={**os.environ, **(environment or {})},
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (most, most)),
            )

    def held(self) -> int:
        return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))

    def cpu(self) -> float:
        """Returns the processor time used so far in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def console_answers(self) -> None:
        caller = Client(self.console_port)
        caller.send(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        assert self.answer(caller)[0] == 200

    def connect_idle_clients(self) -> list[socket.socket]:
        return [socket.create_connection(("127.0.0.1", self.port)) for _ in range(IDLE_CLIENTS)]

    def serves(self, client: Client, request_id: str) -> None:
        client.send(ask(request_id, wait=20_000))
        self.got().answer(200)
        assert self.answer(client)[0] == 200


@pytest.mark.parametrize("descriptors, configured", [(100, 100), (100, 1024)])
@pytest.mark.parametrize("how", ["refuses", "hangs"])
def test_idle_clients_at_the_limit_do_not_affect_discovery_console_and_endpoints(
    tmp_path: Path, how: str, descriptors: int, configured: int
) -> None:
    service = Limited(tmp_path, descriptors, limits={"sockets": configured})
    first = service.watch()
    existing = service.asked(ask("warm", wait=20_000))
    service.got().answer(200)
    assert service.answer(existing)[0] == 200
    port = service.discovery.port
    if how == "refuses":
        service.discovery.close()
    first.close()
    idle_clients = service.connect_idle_clients()
    service.until(lambda: "list unavailable" in service.logged())
    began = time.monotonic()
    while time.monotonic() - began < 1.0:  # closed clients reconnect at once
        for n, connection in enumerate(idle_clients):
            connection.setblocking(False)
            try:
                gone = connection.recv(1) == b""
            except BlockingIOError:
                gone = False
            except OSError:
                gone = True
            if gone:
                connection.close()
                idle_clients[n] = socket.create_connection(("127.0.0.1", service.port))
        select.select([], [], [], 0.05)
    assert service.held() <= descriptors
    service.console_answers()
    if how == "refuses":
        service.discovery = Stand(port)
    service.discovery.unread.clear()
    other, back = Stand(), time.monotonic()
    got = service.watch()
    got.tell(44, True, entry("e0", service.endpoint.port), entry("e1", other.port, "DRAINING"))
    assert "index=44" in service.watch().target
    assert time.monotonic() - back < NOTIFIED_WITHIN
    service.serves(Client(service.port), "new")
    service.console_answers()
    assert service.held() <= descriptors
    assert "event=fault" not in service.logged()
    for connection in idle_clients:
        connection.close()
    other.close()


def test_requests_in_progress_at_the_limit_do_not_affect_discovery_and_console(tmp_path: Path) -> None:
    """All clients wait for an answer here, so that none of their connections can be closed."""
    # Several at one address, as a single one is sent only some requests at once.
    endpoints = [f"e{n}" for n in range(40)]
    port = reserve_port()
    service = Limited(
        tmp_path,
        100,
        limits={"sockets": 1024},
        known={"generation": 41, "reset": True, "instances": [entry(name, port) for name in endpoints]},
    )
    service.endpoint.close()
    service.endpoint = Stand(port, backlog=256)
    first = service.watch()
    clients = [service.asked(ask(f"x{n}", "book", wait=20_000)) for n in range(120)]

    def many() -> bool:
        service.endpoint.look()
        return len(service.endpoint.unread) >= 10

    service.until(many)
    first.close()
    assert "index=41" in service.watch().target
    service.console_answers()
    assert service.held() <= 100
    before = service.cpu()
    select.select([], [], [], 1.0)
    assert service.cpu() - before < 0.5, "it is busy while no descriptor is left"
    service.console_answers()

    def all_answered() -> bool:  # answered requests make room for the waiting ones
        service.endpoint.look()
        for got in service.endpoint.unread:
            got.answer(200)
        service.endpoint.unread.clear()
        return all(has_answer(client) for client in clients)

    service.until(all_answered)
    assert "event=fault" not in service.logged()


def has_answer(client: Client) -> bool:
    """Whether a part of an answer has arrived."""
    try:
        return client.sock.recv(1, socket.MSG_PEEK) != b""
    except BlockingIOError:
        return False
