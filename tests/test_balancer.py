"""Plain cases: the design's steps, each failure found, and the adapter's bad input."""

from __future__ import annotations

import bisect
import io
import itertools
import json
import math
import random
from typing import Any

import pytest

from rainspindle.balancer.endpoint import EndpointState
from rainspindle.balancer.failover import CircuitBreaker, FailoverEntry, FailoverTable
from rainspindle.balancer.host import AttemptOutcome, EndpointStatus, Idempotency
from rainspindle.balancer.slow_start import SlowStartBudget
from rainspindle.histogram import Histogram
from rainspindle.simhost.adapter import serve

from .fleet import COLD, COLD_FROM, MULTIPLE, WINDOW, Fleet, kind, line


def serve_some(fleet: Fleet, start: int, count: int, gap: float = 0.05, took: float = 0.02) -> None:
    for id in range(start, start + count):
        held = fleet.arrive(id, key=f"key{id}")
        fleet.wait(took)
        if held.sent and held.sent[-1].outcome is None:
            fleet.end(id, len(held.sent) - 1, AttemptOutcome.SERVED)
        fleet.wait(gap)


def serve_together(fleet: Fleet, start: int, count: int, together: int = 4, took: float = 0.02) -> None:
    for id in range(start, start + count):
        fleet.arrive(id, key=f"key{id}")
        if id % together == 0:
            fleet.wait(took)
            for open_id, number in fleet.open():
                fleet.end(open_id, number, AttemptOutcome.SERVED)


def fail_home(fleet: Fleet, id: int, key: str = "k") -> str:
    """An exchange whose first forward errs and whose next is served; gives the first endpoint."""
    held = fleet.arrive(id, key=key)
    fleet.end(id, 0, AttemptOutcome.ERROR)
    if held.answer is None:
        fleet.end(id, 1, AttemptOutcome.SERVED)
    return held.sent[0].endpoint


def tripped_key(fleet: Fleet) -> str:
    serve_some(fleet, 0, 60)  # answers enough that no endpoint trips as a whole
    homes = {fail_home(fleet, 1000 + n) for n in range(3)}
    assert len(homes) == 1
    return homes.pop()


def test_key_moves_past_the_threshold_and_returns_by_one_trial() -> None:
    fleet = Fleet([kind()], [line(n) for n in range(4)])
    home = tripped_key(fleet)
    moved = fleet.arrive(2000)
    assert moved.sent[0].endpoint != home
    fleet.end(2000, 0, AttemptOutcome.SERVED)
    fleet.wait(7.0)
    trial, beside = fleet.arrive(2001), fleet.arrive(2002)
    assert trial.sent[0].endpoint == home and beside.sent[0].endpoint != home
    fleet.end(2001, 0, AttemptOutcome.SERVED)
    assert fleet.arrive(2003).sent[0].endpoint == home
    assert not fleet.balancer.failover.entries


def test_failed_trial_resets_the_clock_and_an_empty_one_does_not() -> None:
    fleet = Fleet([kind()], [line(n) for n in range(4)])
    home = tripped_key(fleet)
    fleet.wait(7.0)
    assert fleet.arrive(2001).sent[0].endpoint == home
    fleet.leave(2001)
    fleet.end(2001, 0, AttemptOutcome.CANCELLED)
    assert fleet.arrive(2002).sent[0].endpoint == home  # nothing was told: the next is the trial
    fleet.end(2002, 0, AttemptOutcome.ERROR)
    assert fleet.arrive(2003).sent[0].endpoint != home


def test_counts_restart_after_the_window_and_entries_are_bounded() -> None:
    fleet = Fleet([kind()], [line(0), line(1)])
    table, (a, b) = FailoverTable[EndpointState](), fleet.balancer.registry.ready
    table.record_failure("k", a, True, 0.0, lambda tried: b)
    table.record_failure("k", a, True, 1.0, lambda tried: b)
    table.record_failure("k", a, True, 32.0, lambda tried: b)
    assert table.entries["k"].idempotent_failures == 1 and table.entries["k"].current is a
    for n in range(table.MAX_ENTRIES + 10):
        table.record_failure(f"k{n}", a, False, 32.0, lambda tried: b)
    assert len(table.entries) <= table.MAX_ENTRIES
    table.sweep(100.0)
    assert not table.entries


def test_entry_drops_when_no_endpoint_is_left() -> None:
    fleet = Fleet([kind()], [line(0)])
    table, (a,) = FailoverTable[EndpointState](), fleet.balancer.registry.ready
    for n in range(3):
        table.record_failure("k", a, True, float(n), lambda tried: None)
    assert not table.entries
    assert issubclass(FailoverEntry, CircuitBreaker)


def test_dead_endpoint_trips_and_its_keys_come_back_ramped() -> None:
    fleet = Fleet([kind()], [line(n) for n in range(4)])
    serve_some(fleet, 0, 60)
    dead, id = "e0", 100
    for _ in range(60):
        held = fleet.arrive(id, key=f"key{id}")
        for n in range(4):
            if len(held.sent) > n:
                fleet.end(
                    id,
                    n,
                    AttemptOutcome.NOT_CONNECTED if held.sent[n].endpoint == dead else AttemptOutcome.SERVED,
                )
        id += 1
    assert any(x.startswith("e0 ejected") for x in fleet.logs)
    assert not any(s.endpoint == dead for h in list(fleet.held.values())[-20:] for s in h.sent)
    fleet.wait(6.5)
    serve_some(fleet, 500, 120, gap=0.01)
    assert any(x.startswith("e0 readmitted") for x in fleet.logs)
    share = [
        sum(s.endpoint == dead for i in span for s in fleet.held[i].sent)
        for span in (range(500, 560), range(560, 620))
    ]
    assert share[0] < 15  # not all keys at once


def test_timeout_of_long_work_is_not_held_against_an_endpoint_that_answers() -> None:
    fleet = Fleet([kind()], [line(0)])
    serve_some(fleet, 0, 20)
    for id in range(100, 104):
        fleet.arrive(id, key="long")
        fleet.arrive(id + 100, key="short")
        fleet.wait(0.05)
        fleet.end(id + 100, 0, AttemptOutcome.SERVED)
        fleet.end(id, 0, AttemptOutcome.TIMED_OUT)
        fleet.wait(1.1)
    assert not fleet.logs and not fleet.balancer.failover.entries


def test_silence_counts_before_any_timeout() -> None:
    fleet = Fleet([kind(Idempotency.NON_IDEMPOTENT)], [line(n) for n in range(3)])
    serve_together(fleet, 0, 600, 12)
    fleet.wait(11.0)
    for id in range(1000, 1060):
        held = fleet.arrive(id, key=f"key{id}")
        fleet.wait(0.01)
        if held.sent and held.sent[0].endpoint != "e1" and held.sent[0].outcome is None:
            fleet.end(id, 0, AttemptOutcome.SERVED)
    assert any(x.startswith("e1 ejected") and "silent" in x for x in fleet.logs)


def test_no_silence_is_seen_before_answers_tell_what_is_usual() -> None:
    fleet = Fleet([kind()], [line(0)])  # the first incidents: sound endpoints tripped in the first second
    for id in range(4):
        fleet.arrive(id, key=f"key{id}")
    fleet.wait(0.4)
    assert not fleet.logs


def test_a_queue_seen_in_latency_shrinks_the_window_before_the_latency_objective_is_near() -> None:
    fleet = Fleet([kind()], [line(0)])  # the overloads: forwards waited until they timed out
    serve_some(fleet, 0, 40)
    assert fleet.balancer.registry.ready[0].window == 2  # one at a time earns no more
    serve_together(fleet, 100, 60)
    grown = fleet.balancer.registry.ready[0].window
    serve_together(fleet, 200, 60, took=0.1)
    assert fleet.balancer.registry.ready[0].window < 0.7 * grown


def test_nothing_usable_gets_a_prompt_rejection() -> None:
    fleet = Fleet([kind(Idempotency.NON_IDEMPOTENT)], [])
    assert fleet.arrive(1).answer == "rejected"
    fleet.tell([line(0, EndpointStatus.DRAINING)], whole=True)
    assert fleet.arrive(2).answer == "rejected"
    fleet.tell([line(0)])
    assert fleet.arrive(3, wait=-1.0).answer == "rejected"


def test_hold_off_lets_a_first_try_be_in_time_and_keeps_a_hopeless_one_away() -> None:
    fleet = Fleet([kind()], [line(0)])  # rough days: repeats came back just too late, and were served
    serve_some(fleet, 0, 60)
    fleet.tell([line(0, EndpointStatus.DRAINING)])
    fleet.arrive(100)
    assert 0 < fleet.held_off < 0.1
    fleet.arrive(101, repeat=True)
    assert fleet.held_off == 1.0


def test_a_good_trial_does_not_lift_the_budget_of_a_listed_start() -> None:
    fleet = Fleet([kind()], [line(n) for n in range(3)])
    serve_some(fleet, 0, 60)
    fleet.tell([line(0, started=fleet.now - 1.0)])
    for id in range(100, 220):
        for n, sent in enumerate(fleet.arrive(id, key=f"key{id}").sent):
            fleet.end(id, n, AttemptOutcome.ERROR if sent.endpoint == "e0" else AttemptOutcome.SERVED)
        fleet.wait(0.05)
    serve_some(fleet, 500, 150, gap=0.03)
    endpoint = fleet.balancer.registry.by_id["e0"]
    assert (
        any("readmitted" in x for x in fleet.logs)
        and fleet.balancer.slow_start.age(endpoint, fleet.now) is not None
    )


def test_a_fleet_that_starts_cold_as_a_whole_gets_work_from_the_first_windows_on() -> None:
    fleet = Fleet([kind()], [line(n) for n in range(3)], peers=1)  # it got none until it was warm by age
    serve_some(fleet, 0, 60)
    fleet.tell([line(n, EndpointStatus.GONE) for n in range(3)])
    fleet.wait(10.0)
    fleet.tell([line(n, started=fleet.now) for n in range(3)], whole=True)
    fleet.told_unready.clear()
    serve_some(fleet, 100, 60, gap=0.1)
    assert sum(bool(fleet.held[id].sent) for id in range(100, 160)) > 3
    new = Fleet([kind()], [line(n, started=999.0) for n in range(3)], peers=1)  # one that has seen none warm
    serve_some(new, 0, 60, gap=0.1)
    assert any(new.held[id].sent for id in range(60))


def test_endpoints_that_are_out_count_in_what_fails_at_all() -> None:
    fleet = Fleet([kind()], [line(n) for n in range(10)])  # left out, the few in service tripped one by one
    ready, judge = fleet.balancer.registry.ready, fleet.balancer.outliers.record_outcome
    fleet.balancer.registry.active.update(dict.fromkeys(ready))
    for e, failing in [(e, 1) for e in ready[:4]] * 12 + [(e, 0) for e in ready[5:]] * 30:
        judge(e, failing, fleet.now, "unconnected")
    for n in range(20):
        judge(ready[4], n % 3 == 0, fleet.now, "unconnected")
    assert [e for e in ready if e.breaker] == ready[:4]


def test_small_sidecars_spread_a_key_that_they_meet_twice_among_few() -> None:
    second = set()  # a thousand of them sent a hot key to one endpoint, for minutes
    for seed in range(12):
        fleet = Fleet([kind()], [line(n) for n in range(60)], seed=seed, peers=1000)
        for id, key in enumerate(["hot", "a", "b", "c", "d", "e", "f", "g", "h", "hot"]):
            held = fleet.arrive(id, key=key)
            fleet.wait(0.02)
            fleet.end(id, 0, AttemptOutcome.SERVED)
            fleet.wait(0.5)
        second.add(held.sent[0].endpoint)
    assert len(second) > 2


def test_where_all_requests_are_non_idempotent_an_ejected_endpoint_gets_its_trial_at_last() -> None:
    fleet = Fleet([kind(Idempotency.NON_IDEMPOTENT)], [line(0), line(1)])  # both were out for good
    for id in range(40):
        held = fleet.arrive(id, key=f"k{id}")
        if held.sent:
            fleet.end(id, 0, AttemptOutcome.ERROR)
        fleet.wait(0.1)
    assert all(e.breaker for e in fleet.balancer.registry.ready)
    fleet.wait(10.0)
    assert not fleet.arrive(100).sent
    fleet.wait(6.0)
    sent = [fleet.arrive(id, key=f"k{id}").sent for id in range(200, 206)]
    assert sum(map(len, sent)) == 2  # one each
    for id in range(200, 206):
        if fleet.held[id].sent:
            fleet.end(id, 0, AttemptOutcome.SERVED)
    assert not any(e.breaker for e in fleet.balancer.registry.ready)


def test_a_request_without_a_key_leaves_no_failover_entry() -> None:
    fleet = Fleet([kind()], [line(0)])
    for id in range(2):
        fleet.arrive(id, key=None)
        fleet.end(id, 0, AttemptOutcome.ERROR)
    assert not fleet.balancer.failover.entries


@pytest.mark.parametrize("allowed", [3, 8, 20])
def test_what_all_sidecars_draw_for_a_cold_endpoint_is_within_its_bound(allowed: int) -> None:
    """Of 200, each by itself, all that is drawn being sent: in any window N + 2 x root of N + 2 at most."""
    chance, sent = random.Random(allowed), list[float]()
    budget = SlowStartBudget(MULTIPLE, WINDOW, COLD_FROM, COLD)
    for _ in range(200):
        at = -WINDOW * chance.random()
        while at < 60.0:  # the endpoint stays as cold as it began; warm ones answer all that they can
            rate = allowed / (MULTIPLE * WINDOW * COLD_FROM * 200)
            grant = budget.grant(0.0, rate, Histogram(), 200, chance.random())
            sent += [at + grant.duration * chance.random() for _ in range(grant.attempts)]
            at += grant.duration
    sent.sort()
    most = max(bisect.bisect(sent, at + WINDOW) - n for n, at in enumerate(sent))
    assert allowed / 2 < most <= allowed + 2 * math.sqrt(allowed) + 2


def test_a_key_is_not_spread_over_a_large_fleet() -> None:
    fleet = Fleet([kind()], [line(n) for n in range(20)])  # overload: spilled keys met only cold endpoints
    for id in range(1200):
        fleet.arrive(id, key=f"k{id % 40}")
        if id % 40 == 39:
            fleet.wait(0.02)
            for open_id, number in fleet.open():
                fleet.end(open_id, number, AttemptOutcome.SERVED)
    used = {s.endpoint for id in range(39, 1200, 40) for s in fleet.held[id].sent}
    assert 1 < len(used) <= 6 and any(h.answer == "rejected" for h in fleet.held.values())


def test_a_hot_key_is_spread_though_one_attempt_is_in_flight_at_a_time() -> None:
    fleet = Fleet([kind()], [line(n) for n in range(20)])  # its first endpoint took 25 times its part
    for id in range(400):
        fleet.arrive(id, key="hot" if id % 4 == 0 else f"key{id}")
        fleet.end(id, 0, AttemptOutcome.SERVED)
        fleet.wait(0.05)
    used = {fleet.held[id].sent[0].endpoint for id in range(200, 400, 4)}
    assert 2 < len(used) <= 6


def test_requests_are_rejected_while_times_are_long_everywhere() -> None:
    fleet = Fleet([kind()], [line(n) for n in range(8)], peers=200)  # queues made by 124 sidecars together
    serve_some(fleet, 0, 40)
    assert not any(h.answer == "rejected" for h in fleet.held.values())
    turned_away = 0
    for id in range(100, 200):
        held = fleet.arrive(id, key=f"key{id}")
        turned_away += not held.sent
        fleet.wait(0.45)
        if held.sent:
            fleet.end(id, 0, AttemptOutcome.SERVED)
    assert turned_away > 40
    fleet.wait(10.0)
    serve_some(fleet, 300, 60)
    assert sum(h.answer == "finished" for h in list(fleet.held.values())[-20:]) > 15


def test_a_jam_is_seen_though_each_endpoint_is_met_seldom() -> None:
    """Guards against seconds of forwards into queues; some are sent all the while, to see its end."""
    fleet = Fleet([kind()], [line(n) for n in range(40)], peers=200)
    serve_some(fleet, 0, 150)
    jammed, sent = fleet.now, list[float]()
    for id in range(1000, 1150):
        if fleet.arrive(id, key=f"key{id}").sent:
            sent.append(fleet.now)
        fleet.wait(0.06)
        for other, number in fleet.open():
            if fleet.held[other].sent[number].at < fleet.now - 0.45:
                fleet.end(other, number, AttemptOutcome.SERVED)
    early = sum(at - jammed < 3.0 for at in sent)
    assert early < 35, "seen by what each endpoint alone took"
    assert max(after - at for at, after in itertools.pairwise(sent)) < 4.0


def test_failures_everywhere_alike_eject_no_endpoint() -> None:
    fleet = Fleet([kind()], [line(n) for n in range(6)])  # half a fleet was out for 5 s after a short trouble
    serve_some(fleet, 0, 60)
    for outcome in (AttemptOutcome.ERROR, AttemptOutcome.OVERLOADED):
        for n in range(150):
            id = (1000 if outcome is AttemptOutcome.ERROR else 2000) + n
            held = fleet.arrive(id, key=f"k{id}")
            fleet.wait(0.02)
            while held.answer is None:
                number = len(held.sent) - 1
                fleet.end(id, number, outcome if n % 3 == 0 and not number else AttemptOutcome.SERVED)
            fleet.wait(0.02)
        assert not any(" ejected: " in x for x in fleet.logs), fleet.logs
        fleet.wait(30.0)
    for id in range(3000, 3100):  # where one alone fails, it is still taken out
        held = fleet.arrive(id, key=f"k{id}")
        while held.answer is None:
            bad = held.sent[-1].endpoint == "e0"
            fleet.end(id, len(held.sent) - 1, AttemptOutcome.OVERLOADED if bad else AttemptOutcome.SERVED)
        fleet.wait(0.05)
    assert [x[:3] for x in fleet.logs if " ejected: " in x] == ["e0 "]


def test_an_endpoint_that_dies_under_traffic_is_out_after_a_few_failures() -> None:
    fleet = Fleet([kind()], [line(n) for n in range(3)])  # one that had answered 350 times took 117 failures
    failures = 0
    for id in range(1500):
        held = fleet.arrive(id, key=f"k{id}")
        while held.answer is None:
            dead = id > 1000 and held.sent[-1].endpoint == "e0"
            failures += dead
            fleet.end(id, len(held.sent) - 1, AttemptOutcome.NOT_CONNECTED if dead else AttemptOutcome.SERVED)
        fleet.wait(0.005)
    assert any(x.startswith("e0 ejected: 8 of ") for x in fleet.logs) and failures < 12


def test_an_attempt_overtaken_on_a_silent_connection_is_cancelled_and_retried() -> None:
    fleet = Fleet([kind(), kind(Idempotency.NON_IDEMPOTENT)], [line(n) for n in range(2)])
    serve_together(fleet, 0, 80)
    fleet.wait(2.0)
    windows = {e.id: e.window for e in fleet.balancer.registry.by_id.values()}
    for start, type_index in ((1000, 1), (2000, 0)):
        silent = fleet.arrive(start, type_index, key="a")
        home = silent.sent[0].endpoint
        for id in range(start + 1, start + 9):
            held = fleet.arrive(id, key="a")
            fleet.wait(0.02)
            assert held.sent[0].endpoint == home
            fleet.end(id, 0, AttemptOutcome.SERVED)
        fleet.wait(0.1)
        assert not fleet.balancer.registry.by_id[home].in_flight, "a lost forward holds room in the window"
    assert fleet.called_off == [(2000, 0)]  # the binding one may have run
    fleet.end(2000, 0, AttemptOutcome.CANCELLED)
    assert len(silent.sent) == 2 and silent.sent[1].endpoint != home
    fleet.end(2000, 1, AttemptOutcome.SERVED)
    fleet.wait(2.0)
    assert fleet.held[1000].answer == "terminated"
    assert fleet.balancer.registry.by_id[home].window >= windows[home], "taken for a queue"


def test_a_time_out_counts_among_the_measured_times() -> None:
    fleet = Fleet([kind()], [line(0)])  # a fleet that let all wait in vain looked quick
    serve_some(fleet, 0, 4)
    fleet.arrive(100)
    fleet.wait(1.0)
    assert fleet.held[100].sent[0].outcome is AttemptOutcome.TIMED_OUT
    assert fleet.balancer.latency.overall.quantile(0.95) > 0.4


def test_a_slow_endpoint_is_remembered_where_few_requests_come() -> None:
    fleet = Fleet([kind()], [line(n) for n in range(6)], peers=200)  # its times were forgotten after 2 s
    home = fleet.arrive(0).sent[0].endpoint
    fleet.wait(0.02)
    fleet.end(0, 0, AttemptOutcome.SERVED)
    for id in range(1, 4):
        fleet.arrive(id)
        fleet.wait(0.55 if fleet.held[id].sent[0].endpoint == home else 0.02)
        fleet.end(id, 0, AttemptOutcome.SERVED)
        fleet.wait(2.5)
    assert [fleet.held[id].sent[0].endpoint == home for id in range(4)] == [True, True, False, False]


def test_a_window_leaves_the_busiest_sidecar_what_it_keeps_in_work() -> None:
    fleet = Fleet([kind()], [line(0)])  # servers of many cores stood idle behind windows of 1
    for id in range(0, 600, 3):
        for n in range(3):
            fleet.arrive(id + n, key=f"key{id + n}")
        fleet.wait(0.02 if id % 2 else 0.045)
        for open_id, number in fleet.open():
            fleet.end(open_id, number, AttemptOutcome.SERVED)
    assert fleet.balancer.registry.ready[0].window >= 2


def test_watch_is_asked_again_after_a_failure() -> None:
    fleet = Fleet([kind()], [line(0)])
    for _ in range(8):
        before = fleet.watches
        fleet.balancer.on_list_failed()
        fleet.wait(4.0)
        assert fleet.watches == before + 1
    assert fleet.logs == ["endpoint list unavailable: retrying"]
    fleet.tell([line(0)])
    assert len(fleet.logs) == 2


def test_histogram_finds_quantiles_and_forgets() -> None:
    h = Histogram()
    assert h.quantile(0.5, prior=0.3) == 0.3
    for _ in range(90):
        h.add(0.010)
    for _ in range(10):
        h.add(1.0)
    assert 0.005 < h.quantile(0.5) < 0.015 and 0.6 < h.quantile(0.95) < 1.5
    for _ in range(20):
        h.halve()
    assert h.total == 0


SETTINGS: dict[str, Any] = {
    "contract": {"ask-within": 1e4, "cold": 24e3, "cold-from": 0.15, "fall-multiple": 2.5, "tip-after": 3e3},
    "discovery": "on_request",
    "policy-limits": {"max-forwards": 4, "new-key": 1},
    "zone": 0,
    "unheard-of": [],
    "traffic-types": [{"effect": "read_like", "expiry": 2500.0, "promised-time": 600.0}],
}
HELLO = {"event_type": "Hello", "sidecar-id": "sidecar/0", "salt": 1, "settings": SETTINGS}


def run(*lines: object) -> tuple[int, list[dict[str, Any]]]:
    source = b"".join((x if isinstance(x, bytes) else json.dumps(x).encode()) + b"\n" for x in lines)
    sink = io.BytesIO()
    status = serve(io.BytesIO(source), sink)
    return status, [json.loads(x) for x in sink.getvalue().splitlines()]


def batch(*messages: dict[str, Any], now: float = 8000.0) -> dict[str, Any]:
    return {"now": now, "msgs": list(messages)}


def test_adapter_resolves_reused_pages_and_a_restart_in_one_batch() -> None:
    def roster(id: str) -> dict[str, Any]:
        return {"event_type": "Roster", "page": 0, "lines": [{"endpoint": id, "mode": 2, "start-time": None}]}

    change = {"event_type": "RosterChange", "sidecar-id": "sidecar/0", "mode": 0, "stamp": 1, "page": 0}
    incoming = {
        "event_type": "Incoming",
        "sidecar-id": "sidecar/0",
        "corr": 5,
        "lane": 0,
        "not-after": 9000.0,
    }
    late = {
        "event_type": "Verdict",
        "sidecar-id": "sidecar/0",
        "corr": 5,
        "endpoint": "a",
        "try": 0,
        "over": True,
        "duration": 5.0,
        "how": "S",
        "feedback": None,
    }
    status, replies = run(
        batch(),
        batch(HELLO, roster("a"), change, incoming),
        batch(
            {"event_type": "CrashNow", "sidecar-id": "sidecar/0"},
            HELLO,
            roster("b"),
            change,
            {**incoming, "corr": 6},
            late,
        ),
    )
    tries = [[(x["corr"], x["endpoint"]) for x in r["outbox"] if x["event_type"] == "Try"] for r in replies]
    assert status == 0 and tries == [[], [(5, "a")], [(6, "b")]]


@pytest.mark.parametrize(
    "bad, named",
    [
        (b"{", "not JSON"),
        (b"[]", "without 'now'"),
        (batch({"event_type": "Odd", "sidecar-id": "sidecar/9"}), "never started"),
        (batch(HELLO, {"event_type": "Odd", "sidecar-id": "sidecar/0"}), "Odd"),
        (batch({"x": 1}), "event_type"),
        (batch({**HELLO, "settings": {**SETTINGS, "contract": {}}}), "settings lack 'fall-multiple'"),
        (
            batch(
                {
                    **HELLO,
                    "settings": {
                        **SETTINGS,
                        "traffic-types": [{"effect": "odd", "expiry": 1, "promised-time": 1}],
                    },
                }
            ),
            "unknown effect 'odd'",
        ),
        (
            batch(
                {
                    **HELLO,
                    "settings": {
                        **SETTINGS,
                        "traffic-types": [
                            {"effect": "read_like", "dedup-scope": "odd", "expiry": 1, "promised-time": 1}
                        ],
                    },
                }
            ),
            "unknown group",
        ),
    ],
)
def test_bad_input_is_named_in_one_line(bad: object, named: str, capfd: pytest.CaptureFixture[str]) -> None:
    status, _ = run(bad)
    err = capfd.readouterr().err
    assert status and named in err and err.count("\n") == 1 and "Traceback" not in err
