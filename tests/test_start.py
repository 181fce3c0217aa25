"""Restarted processes become ready in time: twenty on a share of a core each, discovery down or silent."""

from __future__ import annotations

import http.client
import time
from pathlib import Path

import pytest

from rainspindle.program.serve import MOST_OWED

from .fleet import entry
from .test_program import Service, config

PROCESSES = 20
READY_WITHIN = 10.0  # seconds for nine processes in ten: the operators' requirement


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
        process_folder = folder / str(number)
        process_folder.mkdir()
        limits = {**config()["limits"], "cores": cores}
        service = Service(process_folder, wait=False, limits=limits)
        if refused:
            service.discovery.close()  # long before the process connects to it
        services.append(service)
    return services


def wait_until_ready(services: list[Service]) -> list[float]:
    """Returns the seconds from now until each service is ready, in ascending order."""
    started_at, waiting, durations = time.monotonic(), list(services), list[float]()
    while waiting and time.monotonic() - started_at < 6 * READY_WITHIN:
        for service in list(waiting):
            if not service.port and "event=serving" in service.logged():
                service.port = int(service.logged().split("listen=127.0.0.1:")[1].split()[0])
            if service.port and is_ready(service):
                waiting.remove(service)
                durations.append(time.monotonic() - started_at)
        time.sleep(0.05)
    return durations


@pytest.mark.parametrize("refused", [True, False], ids=["discovery refuses", "discovery is silent"])
def test_twenty_processes_started_together_on_a_share_of_a_core_become_ready(
    tmp_path: Path, refused: bool
) -> None:
    """The processes use the known endpoint list. Guards against a start that waits for discovery."""
    services = start_all(tmp_path, cores=0.1, refused=refused)
    durations = wait_until_ready(services)
    assert len(durations) == PROCESSES, "some processes never became ready"
    assert durations[PROCESSES * 9 // 10 - 1] <= READY_WITHIN
    assert MOST_OWED < READY_WITHIN / 2, (
        "the delay for the CPU time of the start takes half of the limit or more"
    )


def test_a_process_without_a_list_becomes_ready_when_discovery_delivers_one(tmp_path: Path) -> None:
    """Guards against readiness, and so client traffic, while no endpoint is known."""
    empty_list = {"generation": 0, "reset": True, "instances": []}
    service = Service(tmp_path, known=empty_list)
    watch = service.next(service.discovery)
    assert not is_ready(service)
    watch.tell(1, True, entry("e0", service.endpoint.port))
    service.until(lambda: is_ready(service) or None)
