"""Restarted processes are ready soon: twenty at once, on a part of a core, with discovery down or silent."""

from __future__ import annotations

import http.client
import time
from pathlib import Path

import pytest

from rainspindle.program.serve import MOST_OWED

from .fleet import entry
from .test_program import Service, config

PROCESSES = 20
READY_WITHIN = 10.0  # seconds for nine processes in ten: the operators' figure


def is_ready(service: Service) -> bool:
    connection = http.client.HTTPConnection("127.0.0.1", service.port, timeout=5.0)
    try:
        connection.request("GET", "/ready")
        return connection.getresponse().status == 200
    except OSError:
        return False
    finally:
        connection.close()


def start_all(folder: Path, cores: float, refused: bool) -> list[Service]:
    services = []
    for number in range(PROCESSES):
        own = folder / str(number)
        own.mkdir()
        limits = {**config()["limits"], "cores": cores}
        service = Service(own, wait=False, limits=limits)
        if refused:
            service.discovery.close()  # long before the process has started
        services.append(service)
    return services


def wait_until_ready(services: list[Service]) -> list[float]:
    """Seconds from now until each is ready, in the order in which they become so."""
    began, waiting, took = time.monotonic(), list(services), list[float]()
    while waiting and time.monotonic() - began < 6 * READY_WITHIN:
        for service in list(waiting):
            if not service.port and "event=serving" in service.logged():
                service.port = int(service.logged().split("listen=127.0.0.1:")[1].split()[0])
            if service.port and is_ready(service):
                waiting.remove(service)
                took.append(time.monotonic() - began)
        time.sleep(0.05)
    return took


@pytest.mark.parametrize("refused", [True, False], ids=["discovery refuses", "discovery is silent"])
def test_twenty_that_start_at_once_on_a_part_of_a_core_are_ready(tmp_path: Path, refused: bool) -> None:
    """They go by the list that they were given. Guards against a start that waits for discovery."""
    services = start_all(tmp_path, cores=0.1, refused=refused)
    took = wait_until_ready(services)
    assert len(took) == PROCESSES, "some are never ready"
    assert took[PROCESSES * 9 // 10 - 1] <= READY_WITHIN
    assert MOST_OWED < READY_WITHIN / 2, "the wait for the CPU of the start leaves too little"


def test_one_with_no_list_is_ready_only_when_discovery_has_told_it(tmp_path: Path) -> None:
    """Guards against clients that come to a process which knows no endpoint."""
    nothing = {"generation": 0, "reset": True, "instances": []}
    service = Service(tmp_path, known=nothing)
    call = service.next(service.discovery)
    assert not is_ready(service)
    call.tell(1, True, entry("e0", service.endpoint.port))
    service.until(lambda: is_ready(service) or None)
