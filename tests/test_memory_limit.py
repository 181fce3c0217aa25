"""A sidecar stays within its memory limit, and serves others, whatever hundreds of clients do at once."""

from __future__ import annotations

import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from .fleet import SETTINGS, Open, entry
from .honest_clients import HonestClients, Outcomes
from .hostile_clients import ALL_AT_ONCE, FLOODS, PLAYS
from .test_program import ROOT, Service

ENDPOINTS = 6
HOSTILE = 420  # connections at once
SECONDS, FLOOD_SECONDS = 12.0, 5.0
LEAST_MEMORY = 32  # MB, the least that the pages name
SAMPLE_INTERVAL = 0.05  # seconds
READY = b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"


class Helper(Open):
    """A module of the tests that runs as a process of its own."""

    def __init__(self, module: str, *arguments: object) -> None:
        super().__init__()
        self.process = subprocess.Popen(
            [sys.executable, "-m", f"tests.{module}", *map(str, arguments)], cwd=ROOT, stdout=subprocess.PIPE
        )

    def line(self) -> str:
        """Returns the next line that it prints."""
        assert self.process.stdout is not None
        return self.process.stdout.readline().decode().strip()

    def end(self) -> None:
        self.process.kill()
        self.process.wait()
        if self.process.stdout is not None:
            self.process.stdout.close()


def peak_memory(pid: int) -> float:
    """Returns the most resident memory that a process has had, in MB."""
    for row in Path(f"/proc/{pid}/status").read_text().splitlines():
        if row.startswith("VmHWM"):
            return int(row.split()[1]) * 1024 / 1e6
    return 0.0


@contextmanager
def sidecar(folder: Path, memory_mb: int, sockets: int = 1024) -> Iterator[Service]:
    """A sidecar with that memory and endpoints that answer whatever they are asked."""
    endpoints = Helper("asyncio_endpoints", ENDPOINTS)
    ports = [int(endpoints.line()) for _ in range(ENDPOINTS)]
    known = {
        "generation": 41,
        "reset": True,
        "instances": [entry(f"e{n}", port) for n, port in enumerate(ports)],
    }
    service = Service(
        folder,
        settings=SETTINGS,
        known=known,
        limits={"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
    )
    try:
        yield service
    finally:
        service.close()
        endpoints.close()


def play(
    service: Service, name: str, seconds: float, clients: int = HOSTILE, seed: int = 1
) -> tuple[float, Outcomes]:
    """Plays beside honest clients; returns the peak of the memory in MB and what the honest ones got."""
    hostile = Helper("hostile_clients", service.port, name, clients, seconds, seed)
    with HonestClients(service.port) as honest:
        while hostile.process.poll() is None:
            assert service.process.poll() is None, f"the sidecar ended: {service.logged()}"
            time.sleep(SAMPLE_INTERVAL)
    hostile.close()
    peak = peak_memory(service.process.pid)
    print(f"{name}: peak {peak:.1f} MB; {honest.outcomes}")
    return peak, honest.outcomes


@pytest.mark.parametrize("name", [*PLAYS, ALL_AT_ONCE])
@pytest.mark.parametrize("memory_mb", [LEAST_MEMORY, 64])
def test_hundreds_of_hostile_clients_do_not_take_a_sidecar_over_its_memory_limit(
    tmp_path: Path, memory_mb: int, name: str
) -> None:
    """The sidecar was killed for memory, with all requests that it held."""
    with sidecar(tmp_path, memory_mb) as service:
        peak, _ = play(service, name, SECONDS)
    assert peak <= memory_mb


@pytest.mark.parametrize("name", [ALL_AT_ONCE, "stop_half_way", "read_slowly"])
def test_other_clients_are_served_beside_hundreds_of_slow_ones(tmp_path: Path, name: str) -> None:
    """Guards against connections shut unread, and endpoints that are ejected, for what slow clients hold."""
    with sidecar(tmp_path, LEAST_MEMORY) as service:
        _, others = play(service, name, SECONDS)
    assert others.closed == others.unanswered == 0, others
    assert others.statuses.get(200, 0) >= others.total / 2, others  # the standing test's share at least


@pytest.mark.parametrize("clients", [1, 20])
@pytest.mark.parametrize("name", [*FLOODS, "pipeline_and_abort"])
def test_clients_at_full_speed_delay_no_other_and_take_no_memory(
    tmp_path: Path, name: str, clients: int
) -> None:
    """Guards against answers that come late or never beside small, unsound or ever new requests."""
    with sidecar(tmp_path, LEAST_MEMORY) as service:
        peak, others = play(service, name, FLOOD_SECONDS, clients)
    assert peak <= LEAST_MEMORY
    assert others.closed == others.unanswered == 0, others
    assert others.statuses.get(200, 0) >= others.total / 2, others
