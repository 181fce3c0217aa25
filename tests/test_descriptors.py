"""Descriptors at their limit: who gets one, who is asked to close, and what `check` says of a limit."""

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
HEARD_WITHIN = 6.0  # seconds from discovery's return until a change counts as told
CROWD = 150  # clients that connect and say nothing


# The listening socket, with the clock moved by hand.


def test_tries_to_accept_do_not_multiply_with_the_connections_that_come(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a busy loop at the limit: each arrival began a series of tries of its own."""
    accept, tries, short = socket.socket.accept, 0, True

    def counted(self: socket.socket) -> tuple[socket.socket, object]:
        nonlocal tries
        if self is rig.listener.sock:
            tries += 1
            if short:
                raise OSError(errno.EMFILE, "too many open files")
        return accept(self)

    monkeypatch.setattr(socket.socket, "accept", counted)
    clients = [rig.asked(READY) for _ in range(40)]
    tries = 0
    rig.wait(1.0)
    assert tries <= 1.0 / Listener.RETRY + 1
    short = False
    rig.wait(0.1)
    assert [client.status() for client in clients] == [200] * 40


def test_an_error_that_lasts_does_not_make_accepting_spin(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    tries = 0

    def refused(self: socket.socket) -> tuple[socket.socket, object]:
        nonlocal tries
        tries += 1
        raise OSError(errno.EPERM, "not permitted")

    monkeypatch.setattr(socket.socket, "accept", refused)
    rig.client()
    for _ in range(100):  # a loop that has something to do in each round never ends by itself
        rig.loop.step()
    assert tries == Listener.AT_ONCE
    monkeypatch.undo()
    rig.clients[-1].send(ask("x"))
    rig.wait(0.1)
    rig.serve()
    assert rig.clients[-1].status() == 200


def test_one_aborted_connection_does_not_keep_the_next_waiting(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    accept, aborted = socket.socket.accept, [errno.ECONNABORTED]

    def once(self: socket.socket) -> tuple[socket.socket, object]:
        if aborted:
            raise OSError(aborted.pop(), "aborted")
        return accept(self)

    monkeypatch.setattr(socket.socket, "accept", once)
    client = rig.asked(ask("x"))
    rig.serve()
    assert client.status() == 200 and not aborted


def test_a_fault_in_taking_one_connection_does_not_leave_the_others_unaccepted(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a lost edge: those behind it waited for the next client to connect."""
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


# Places.


def test_clients_that_are_all_served_take_no_more_than_theirs_and_half_of_the_endpoints_places() -> None:
    """Guards against requests under way that hold the descriptors kept for discovery and the console."""
    rig = Rig(1, clients=8, connections=16)
    rig.tell(*(entry(f"n{n}", rig.stands[0].port) for n in range(40)), whole=True)
    clients = [rig.asked(ask(f"x{n}")) for n in range(20)]
    rig.wait(0.1)
    assert len(rig.front.clients) == 12 and rig.pool.lent == 4 and rig.pool.open <= 16 - 4
    for _ in range(10):  # those that could not be taken are, as others rest
        rig.serve_all()
        rig.wait(0.05)
        assert len(rig.front.clients) + rig.pool.open <= 8 + 16
    assert {client.status() for client in clients} <= {200, 503}, "each has its one answer"
    assert rig.pool.lent == max(0, len(rig.front.clients) - 8)


def test_a_client_that_finds_no_place_is_taken_when_the_door_closes() -> None:
    """Guards against losing on the way out what the machine has accepted."""
    rig = Rig(1, clients=2, connections=2)
    clients = [rig.asked(ask(f"x{n}")) for n in range(8)]
    assert len(rig.front.clients) < 8
    rig.front.leaving = True
    rig.listener.close()
    rig.settle()
    assert len(rig.front.clients) == 8
    rig.serve_all()
    assert {client.status() for client in clients} <= {200, 503}


def test_what_is_opened_at_the_limit_has_another_connection_closed(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
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


# What `check` says.


@pytest.mark.parametrize("sockets", [0, -5, 40, LEAST_SOCKETS - 1])
def test_a_limit_under_the_reserves_is_one_line_that_names_the_key_and_the_way_out(
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


def test_a_system_that_allows_fewer_than_the_reserves_is_named_by_check(tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps(config()))
    for command in ("check", "serve"):
        done = limited(LEAST_SOCKETS - 4, command, "--config", str(file))
        assert done.returncode == 2 and done.stderr.count("\n") == 1, done.stderr
        assert f"open {LEAST_SOCKETS - 4} descriptors" in done.stderr and "RLIMIT_NOFILE" in done.stderr


# The program, with descriptors for few.


class Limited(Service):
    """The program in a process that the system allows so many descriptors."""

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
        """Seconds of processor time used by now."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def console_answers(self) -> None:
        caller = Client(self.console_port)
        caller.send(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        assert self.answer(caller)[0] == 200

    def crowd(self) -> list[socket.socket]:
        return [socket.create_connection(("127.0.0.1", self.port)) for _ in range(CROWD)]

    def serves(self, client: Client, id: str) -> None:
        client.send(ask(id, wait=20_000))
        self.got().answer(200)
        assert self.answer(client)[0] == 200


@pytest.mark.parametrize("descriptors, configured", [(100, 100), (100, 1024)])
@pytest.mark.parametrize("how", ["refuses", "hangs"])
def test_idle_clients_at_the_limit_keep_nothing_from_discovery_console_and_endpoints(
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
    crowd = service.crowd()
    service.until(lambda: "list unavailable" in service.logged())
    began = time.monotonic()
    while time.monotonic() - began < 1.0:  # the crowd comes again as soon as it is ended
        for n, one in enumerate(crowd):
            one.setblocking(False)
            try:
                gone = one.recv(1) == b""
            except BlockingIOError:
                gone = False
            except OSError:
                gone = True
            if gone:
                one.close()
                crowd[n] = socket.create_connection(("127.0.0.1", service.port))
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
    assert time.monotonic() - back < HEARD_WITHIN
    service.serves(Client(service.port), "new")
    service.console_answers()
    assert service.held() <= descriptors
    assert "event=fault" not in service.logged()
    for one in crowd:
        one.close()
    other.close()


def test_requests_under_way_at_the_limit_keep_nothing_from_discovery_and_console(tmp_path: Path) -> None:
    """No client is idle here: each waits for its answer, and none can be asked to close."""
    endpoints = [f"e{n}" for n in range(40)]  # at one address: one alone is sent only some at once
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
    assert service.cpu() - before < 0.5, "it spins while it has no place"
    service.console_answers()

    def all_answered() -> bool:  # the answers make place for those that wait
        service.endpoint.look()
        for got in service.endpoint.unread:
            got.answer(200)
        service.endpoint.unread.clear()
        return all(has_answer(client) for client in clients)

    service.until(all_answered)
    assert "event=fault" not in service.logged()


def has_answer(client: Client) -> bool:
    """Whether a part of an answer has come."""
    try:
        return client.sock.recv(1, socket.MSG_PEEK) != b""
    except BlockingIOError:
        return False
