"""Canaries on several real processes with real traffic, under faults."""

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
        with Clients({name: s.listen for name, s in fleet.sidecars.items()}, 40.0) as clients:
            yield fleet, answers, clients
        runs = Counter(ran.id for ran in answers.ran)
        binding = {asked.id for asked in clients.asked if asked.type == "submit"}
        assert not [id for id in binding if runs[id] > 1], "a binding exchange ran twice"
        assert sum(a.status == 200 for a in clients.asked) > 20
        assert not [line for s in fleet.sidecars.values() for line in s.faults()]


def canary(fleet: Fleet, name: str) -> dict[str, Any]:
    found: dict[str, Any] = fleet[name].call("GET", "/-/canaries").body["canaries"][0]
    return found


def call(fleet: Fleet, name: str, act: str) -> None:
    reply = fleet[name].call("POST", f"/-/canaries/next/{act}")
    assert reply.status == 200, reply.text


def stand(fleet: Fleet, what: Callable[[dict[str, Any]], bool], *names: str) -> float:
    """Waits until it is so at all of them; when it was. How soon it is, virtual time tells."""
    chosen = names or NAMES
    wait_until(
        lambda: all(what(canary(fleet, name)) for name in chosen),
        PATIENCE,
        lambda: str({name: canary(fleet, name) for name in chosen}),
    )
    return time.monotonic()


def test_one_that_fails_only_for_binding_is_stopped_everywhere(tmp_path: Path) -> None:
    with started(tmp_path) as (fleet, answers, clients):
        assert not answers.on_new()
        call(fleet, "b", "start")
        stand(fleet, lambda c: c["stage"] == 2 and c["part"] == 0.5)
        # The keys of a stage, at every sidecar, and no others.
        assert all(point("next", ran.key) < 0.5 for ran in answers.on_new())
        answers.how["new"] = lambda kind: (500 if kind == "submit" else 200, 0.002)
        over = stand(fleet, lambda c: c["state"] == "aborted" and c["part"] == 0.0)
        wait_until(lambda: len(clients.since(over)) > 200, PATIENCE, "traffic")
        assert not answers.on_new_of(clients.since(over)), "all keys are back"
        notes = {note for name in NAMES for note in canary(fleet, name)["notes"].values()}
        assert any(note.startswith("binding:") for note in notes), notes
        assert canary(fleet, "a")["harmed"] < 200


def test_a_call_is_in_force_everywhere_and_old_stages_are_not_gone_by(tmp_path: Path) -> None:
    """One is stalled over an abort, one is killed, all are restarted: nobody goes by what is over."""
    with started(tmp_path) as (fleet, answers, clients):
        call(fleet, "a", "start")
        stand(fleet, lambda c: c["part"] > 0)
        call(fleet, "d", "pause")
        stand(fleet, lambda c: c["state"] == "paused")
        call(fleet, "d", "pause")
        call(fleet, "c", "resume")
        stand(fleet, lambda c: c["state"] == "running" and c["part"] > 0)
        # All with their folders: the run is there still, and goes by nothing until others are heard.
        fleet.restart(*NAMES)
        stand(fleet, lambda c: c["state"] == "running" and c["part"] > 0)
        fleet["e"].stall()
        stalled = time.monotonic()
        call(fleet, "b", "abort")
        told = stand(fleet, lambda c: c["state"] == "aborted", "a", "b", "c", "d")
        wait_until(lambda: time.monotonic() > told + 4.0, PATIENCE, "a stall")
        fleet["e"].go_on()
        on = stand(fleet, lambda c: c["state"] == "aborted")
        wait_until(lambda: len(clients.since(on, "e")) > 20, PATIENCE, "traffic")
        assert not answers.on_new_of(clients.since(told)) + answers.on_new_of(clients.since(stalled, "e"))
        assert fleet["c"].call("POST", "/-/canaries/next/resume").status == 409


def test_a_cut_and_the_death_of_the_one_that_advanced_it(tmp_path: Path) -> None:
    """Two are cut off in a stage: nobody goes forward, they take the old side. A pause on one side
    and a resume on the other are a pause once they hear each other. The one that began it is not missed."""
    with started(tmp_path) as (fleet, answers, clients):
        call(fleet, "a", "start")
        stand(fleet, lambda c: c["stage"] == 2)
        call(fleet, "c", "pause")
        stand(fleet, lambda c: c["state"] == "paused")
        cut = fleet.network.begin(Split(0.0, (("a", "b"), ("c", "d", "e")), 1e6))
        stand(fleet, lambda c: c["part"] == 0.0, "a", "b")
        call(fleet, "a", "pause")
        call(fleet, "d", "resume")
        since = stand(fleet, lambda c: c["state"] == "running", "c", "d", "e")
        wait_until(lambda: len(answers.on_new(since)) > 10, PATIENCE, "the greater side goes on")
        # Each begins to count anew with the resume: it is heard of a moment later.
        stand(fleet, lambda c: c["stage"] == 2 and set(c["members"]["missing"]) == {"a", "b"}, "d")
        assert not answers.on_new_of(clients.since(since, "a", "b"))
        fleet.network.end(cut)
        stand(fleet, lambda c: c["state"] == "paused" and c["part"] > 0)
        fleet["a"].kill()
        call(fleet, "e", "resume")
        stand(fleet, lambda c: c["state"] == "running" and c["stage"] == 2, "b", "c", "d", "e")
        fleet.start("a")
        stand(fleet, lambda c: c["state"] == "running" and c["part"] == 0.5)


def test_all_endpoints_of_the_new_side_die(tmp_path: Path) -> None:
    with started(tmp_path, budget=0.9) as (fleet, answers, clients):
        call(fleet, "a", "start")
        stand(fleet, lambda c: c["part"] > 0)
        wait_until(lambda: len(answers.on_new()) > 20, PATIENCE, "the new side serves")
        for name in ("new0", "new1", "new2"):
            answers.end(name)
        # Each finds out for itself that the three are gone, by exchanges that are told so.
        since = time.monotonic()
        wait_until(lambda: all(len(clients.since(since, name)) > 20 for name in NAMES), PATIENCE, "traffic")
        since = time.monotonic()

        def later() -> list[int]:
            return [a.status for a in clients.since(since) if point("next", a.key) < 0.2]

        wait_until(lambda: len(later()) > 60, PATIENCE, "traffic")
        assert later().count(200) >= 0.95 * len(later())
