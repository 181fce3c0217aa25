"""Canaries on several real processes with real traffic, under faults."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from rainspindle.decisions.canary.terms import point
from rainspindle.lab.canary_load import Answers, Clients
from rainspindle.lab.fleet.processes import Fleet, NotInTime, quiet_config, wait_until
from rainspindle.lab.fleet.schedule import Split

pytestmark = pytest.mark.timeout(120)
NAMES = ["a", "b", "c", "d", "e"]
TABLE: dict[str, Any] = {
    "name": "next", "kind": "new", "budget": 0.05, "long": 20.0, "short": 4.0, "each_effect": 5,
    "stages": [{"part": 0.2, "time": 2.0, "exchanges": 20}, {"part": 0.5, "time": 600.0, "exchanges": 20}]}


@contextmanager
def started(folder: Path, **changes: Any) -> Iterator[tuple[Fleet, Answers, Clients]]:
    with Answers() as answers, Fleet(folder, NAMES, 1, answers.config(quiet_config()),
                                     lambda name: {"canary": [{**TABLE, **changes}]}) as fleet:
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


def call(fleet: Fleet, name: str, act: str) -> float:
    """When it was answered."""
    reply = fleet[name].call("POST", f"/-/canaries/next/{act}")
    assert reply.status == 200, reply.text
    return time.monotonic()


def stand(fleet: Fleet, what: Callable[[dict[str, Any]], bool], deadline: float, *names: str) -> None:
    """Waits until it is so at all of them."""
    chosen = names or NAMES
    try:
        wait_until(lambda: all(what(canary(fleet, name)) for name in chosen), deadline, "canaries")
    except NotInTime:
        raise AssertionError({name: canary(fleet, name) for name in chosen}) from None


def test_one_that_fails_only_for_binding_is_stopped_everywhere(tmp_path: Path) -> None:
    with started(tmp_path) as (fleet, answers, _):
        assert not answers.on_new()
        call(fleet, "b", "start")
        stand(fleet, lambda c: c["stage"] == 2 and c["part"] == 0.5, 20.0)
        # The keys of a stage, at every sidecar, and no others.
        assert all(point("next", ran.key) < 0.5 for ran in answers.on_new())
        answers.how["new"] = lambda kind: (500 if kind == "submit" else 200, 0.002)
        stand(fleet, lambda c: c["state"] == "aborted" and c["part"] == 0.0, 20.0)
        over = time.monotonic()
        wait_until(lambda: time.monotonic() > over + 1.0, 3.0, "a second")
        assert not answers.on_new(over + 0.1), "all keys are back"
        notes = {note for name in NAMES for note in canary(fleet, name)["notes"].values()}
        assert any(note.startswith("binding:") for note in notes), notes
        assert canary(fleet, "a")["harmed"] < 200


def test_a_call_is_in_force_within_a_second_and_old_stages_are_not_gone_by(tmp_path: Path) -> None:
    """One is stalled over an abort, one is killed, all are restarted: nobody goes by what is over."""
    with started(tmp_path) as (fleet, answers, clients):
        call(fleet, "a", "start")
        stand(fleet, lambda c: c["part"] > 0, 10.0)
        paused = call(fleet, "d", "pause")
        stand(fleet, lambda c: c["state"] == "paused", 5.0)
        assert time.monotonic() - paused < 1.0
        call(fleet, "d", "pause")
        call(fleet, "c", "resume")
        stand(fleet, lambda c: c["state"] == "running" and c["part"] > 0, 5.0)
        # All with their folders: the run is there still, and goes by nothing until others are heard.
        fleet.restart(*NAMES)
        stand(fleet, lambda c: c["state"] == "running" and c["part"] > 0, 15.0)
        fleet["e"].stall()
        aborted = call(fleet, "b", "abort")
        stand(fleet, lambda c: c["state"] == "aborted", 5.0, "a", "b", "c", "d")
        told = time.monotonic()
        assert told - aborted < 1.0
        wait_until(lambda: time.monotonic() > aborted + 4.0, 6.0, "a stall")
        before = len([a for a in clients.asked if a.sidecar == "e"])
        fleet["e"].go_on()
        stand(fleet, lambda c: c["state"] == "aborted", 5.0)
        wait_until(lambda: len([a for a in clients.asked if a.sidecar == "e"]) > before + 20, 5.0, "traffic")
        assert not [ran for ran in answers.on_new(told + 0.1)]
        assert fleet["c"].call("POST", "/-/canaries/next/resume").status == 409


def test_a_cut_and_the_death_of_the_one_that_advanced_it(tmp_path: Path) -> None:
    """Two are cut off in a stage: nobody goes forward, they take the old side. A pause on one side
    and a resume on the other are a pause once they hear each other. The one that began it is not missed."""
    with started(tmp_path) as (fleet, answers, clients):
        call(fleet, "a", "start")
        stand(fleet, lambda c: c["stage"] == 2, 20.0)
        call(fleet, "c", "pause")
        stand(fleet, lambda c: c["state"] == "paused", 5.0)
        cut = fleet.network.begin(Split(0.0, (("a", "b"), ("c", "d", "e")), 1e6))
        stand(fleet, lambda c: c["part"] == 0.0, 20.0, "a", "b")
        call(fleet, "a", "pause")
        call(fleet, "d", "resume")
        stand(fleet, lambda c: c["state"] == "running", 5.0, "c", "d", "e")
        since = time.monotonic()
        wait_until(lambda: len([r for r in answers.on_new(since)]) > 10, 10.0, "the greater side goes on")
        # Each begins to count anew with the resume: it is heard of a moment later.
        stand(fleet, lambda c: c["stage"] == 2 and set(c["members"]["missing"]) == {"a", "b"}, 10.0, "d")
        here = {a.id for a in clients.asked if a.sidecar in "ab"}
        assert not [ran for ran in answers.on_new(since) if ran.id in here]
        fleet.network.end(cut)
        stand(fleet, lambda c: c["state"] == "paused" and c["part"] > 0, 20.0)
        fleet["a"].kill()
        call(fleet, "e", "resume")
        stand(fleet, lambda c: c["state"] == "running" and c["stage"] == 2, 5.0, "b", "c", "d", "e")
        fleet.start("a")
        stand(fleet, lambda c: c["state"] == "running" and c["part"] == 0.5, 15.0)


def test_all_endpoints_of_the_new_side_die(tmp_path: Path) -> None:
    with started(tmp_path, budget=0.9) as (fleet, answers, clients):
        call(fleet, "a", "start")
        stand(fleet, lambda c: c["part"] > 0, 10.0)
        wait_until(lambda: len(answers.on_new()) > 20, 10.0, "the new side serves")
        for name in ("new0", "new1", "new2"):
            answers.end(name)
        since = time.monotonic()
        wait_until(lambda: time.monotonic() > since + 4.0, 6.0, "traffic")
        later = [a for a in clients.asked if a.sent > since + 0.5 and point("next", a.key) < 0.2]
        assert len(later) > 30 and sum(a.status == 200 for a in later) >= 0.95 * len(later)
