"""Canaries on several processes with network traffic, under faults."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from rainspindle.decisions.canary.terms import point
from rainspindle.lab.canary_load import Answers, Clients
from rainspindle.lab.fleet.processes import PATIENCE, Fleet, quiet_config, wait_until
from rainspindle.lab.fleet.schedule import Split

NAMES = ["a", "b", "c", "d", "e"]
TABLE: dict[str, Any] = {
    "name": "next",
    "kind": "new",
    "budget": 0.05,
    "long": 20.0,
    "short": 4.0,
    "each_effect": 5,
    "stages": [{"part": 0.2, "time": 2.0, "exchanges": 20}, {"part": 0.5, "time": 600.0, "exchanges": 20}],
}


@contextmanager
def started(folder: Path, **changes: Any) -> Iterator[tuple[Fleet, Answers, Clients]]:
    with (
        Answers() as answers,
        Fleet(
            folder, NAMES, 1, answers.config(quiet_config()), lambda name: {"canary": [{**TABLE, **changes}]}
        ) as fleet,
    ):
        fleet.start()
        fleet.all_alive()
        with Clients({name: sidecar.listen for name, sidecar in fleet.sidecars.items()}, 40.0) as clients:
            yield fleet, answers, clients
        executions = Counter(ran.id for ran in answers.ran)
        non_idempotent = {asked.id for asked in clients.asked if asked.type == "submit"}
        assert not [request for request in non_idempotent if executions[request] > 1], (
            "a non-idempotent request was executed twice"
        )
        assert sum(answered.status == 200 for answered in clients.asked) > 20
        assert not [line for sidecar in fleet.sidecars.values() for line in sidecar.faults()]


def canary(fleet: Fleet, name: str) -> dict[str, Any]:
    report: dict[str, Any] = fleet[name].call("GET", "/-/canaries").body["canaries"][0]
    return report


def call(fleet: Fleet, name: str, action: str) -> None:
    reply = fleet[name].call("POST", f"/-/canaries/next/{action}")
    assert reply.status == 200, reply.text


def wait_for_all(fleet: Fleet, holds: Callable[[dict[str, Any]], bool], *names: str) -> float:
    """Waits until `holds` is true of the canary's report at all these members; returns the time.

    How soon that is, the tests in virtual time check.
    """
    chosen = names or NAMES
    wait_until(
        lambda: all(holds(canary(fleet, name)) for name in chosen),
        PATIENCE,
        lambda: str({name: canary(fleet, name) for name in chosen}),
    )
    return time.monotonic()


def test_one_that_fails_only_for_binding_is_stopped_everywhere(tmp_path: Path) -> None:
    with started(tmp_path) as (fleet, answers, clients):
        assert not answers.on_new()
        call(fleet, "b", "start")
        wait_for_all(fleet, lambda c: c["stage"] == 2 and c["part"] == 0.5)
        # Every sidecar sends the stage's keys to the new side, and no others.
        assert all(point("next", ran.key) < 0.5 for ran in answers.on_new())
        answers.how["new"] = lambda kind: (500 if kind == "submit" else 200, 0.002)
        aborted_at = wait_for_all(fleet, lambda c: c["state"] == "aborted" and c["part"] == 0.0)
        wait_until(lambda: len(clients.since(aborted_at)) > 200, PATIENCE, "traffic")
        assert not answers.on_new_of(clients.since(aborted_at)), "a key goes to the new side after the abort"
        notes = {note for name in NAMES for note in canary(fleet, name)["notes"].values()}
        assert any(note.startswith("binding:") for note in notes), notes
        assert canary(fleet, "a")["harmed"] < 200


def test_a_call_takes_effect_everywhere_and_outdated_stages_do_not(tmp_path: Path) -> None:
    """All members are restarted, and one is stalled during an abort: none acts on an outdated stage."""
    with started(tmp_path) as (fleet, answers, clients):
        call(fleet, "a", "start")
        wait_for_all(fleet, lambda c: c["part"] > 0)
        call(fleet, "d", "pause")
        wait_for_all(fleet, lambda c: c["state"] == "paused")
        call(fleet, "d", "pause")
        call(fleet, "c", "resume")
        wait_for_all(fleet, lambda c: c["state"] == "running" and c["part"] > 0)
        # With their folders the run is still there, but no stage is in force before reports arrive.
        fleet.restart(*NAMES)
        wait_for_all(fleet, lambda c: c["state"] == "running" and c["part"] > 0)
        fleet["e"].stall()
        stalled_at = time.monotonic()
        call(fleet, "b", "abort")
        aborted_at = wait_for_all(fleet, lambda c: c["state"] == "aborted", "a", "b", "c", "d")
        wait_until(lambda: time.monotonic() > aborted_at + 4.0, PATIENCE, "a stall")
        fleet["e"].go_on()
        all_aborted_at = wait_for_all(fleet, lambda c: c["state"] == "aborted")
        wait_until(lambda: len(clients.since(all_aborted_at, "e")) > 20, PATIENCE, "traffic")
        assert not answers.on_new_of(clients.since(aborted_at)) + answers.on_new_of(
            clients.since(stalled_at, "e")
        )
        assert fleet["c"].call("POST", "/-/canaries/next/resume").status == 409


def test_a_cut_and_the_death_of_the_one_that_advanced_it(tmp_path: Path) -> None:
    """Two members are partitioned from the others during a stage, and take the old side.

    A pause in one part and a resume in the other are a pause once the partition ends. The run goes on without
    the member that started it.
    """
    with started(tmp_path) as (fleet, answers, clients):
        call(fleet, "a", "start")
        wait_for_all(fleet, lambda c: c["stage"] == 2)
        call(fleet, "c", "pause")
        wait_for_all(fleet, lambda c: c["state"] == "paused")
        partition = fleet.network.begin(Split(0.0, (("a", "b"), ("c", "d", "e")), 1e6))
        wait_for_all(fleet, lambda c: c["part"] == 0.0, "a", "b")
        call(fleet, "a", "pause")
        call(fleet, "d", "resume")
        resumed_at = wait_for_all(fleet, lambda c: c["state"] == "running", "c", "d", "e")
        wait_until(lambda: len(answers.on_new(resumed_at)) > 10, PATIENCE, "traffic in the larger part")
        # A resume resets the counts: each member's report of the resumed run arrives a moment later.
        wait_for_all(fleet, lambda c: c["stage"] == 2 and set(c["members"]["missing"]) == {"a", "b"}, "d")
        assert not answers.on_new_of(clients.since(resumed_at, "a", "b"))
        fleet.network.end(partition)
        wait_for_all(fleet, lambda c: c["state"] == "paused" and c["part"] > 0)
        fleet["a"].kill()
        call(fleet, "e", "resume")
        wait_for_all(fleet, lambda c: c["state"] == "running" and c["stage"] == 2, "b", "c", "d", "e")
        fleet.start("a")
        wait_for_all(fleet, lambda c: c["state"] == "running" and c["part"] == 0.5)


def test_all_endpoints_of_the_new_side_die(tmp_path: Path) -> None:
    with started(tmp_path, budget=0.9) as (fleet, answers, clients):
        call(fleet, "a", "start")
        wait_for_all(fleet, lambda c: c["part"] > 0)
        wait_until(lambda: len(answers.on_new()) > 20, PATIENCE, "traffic on the new side")
        for name in ("new0", "new1", "new2"):
            answers.end(name)
        # Each member discovers by its own requests that the three endpoints are gone.
        since = time.monotonic()
        wait_until(lambda: all(len(clients.since(since, name)) > 20 for name in NAMES), PATIENCE, "traffic")
        since = time.monotonic()

        def later_statuses() -> list[int]:
            return [asked.status for asked in clients.since(since) if point("next", asked.key) < 0.2]

        wait_until(lambda: len(later_statuses()) > 60, PATIENCE, "traffic")
        assert later_statuses().count(200) >= 0.95 * len(later_statuses())
