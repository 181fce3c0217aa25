"""Unit tests of the balancer's decisions, regression tests, and invalid input of the simulator adapter."""

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


def serve_some(fleet: Fleet, first_id: int, count: int, gap: float = 0.05, took: float = 0.02) -> None:
    for request_id in range(first_id, first_id + count):
        request = fleet.arrive(request_id, key=f"key{request_id}")
        fleet.wait(took)
        if request.sent and request.sent[-1].outcome is None:
            fleet.end(request_id, len(request.sent) - 1, AttemptOutcome.SERVED)
        fleet.wait(gap)


def serve_together(fleet: Fleet, first_id: int, count: int, together: int = 4, took: float = 0.02) -> None:
    for request_id in range(first_id, first_id + count):
        fleet.arrive(request_id, key=f"key{request_id}")
        if request_id % together == 0:
            fleet.wait(took)
            for open_id, number in fleet.open():
                fleet.end(open_id, number, AttemptOutcome.SERVED)


def fail_first_attempt(fleet: Fleet, request_id: int, key: str = "k") -> str:
    """Sends a request whose first attempt fails and whose second is served; returns the first endpoint."""
    request = fleet.arrive(request_id, key=key)
    fleet.end(request_id, 0, AttemptOutcome.ERROR)
    if request.answer is None:
        fleet.end(request_id, 1, AttemptOutcome.SERVED)
    return request.sent[0].endpoint


def move_key(fleet: Fleet) -> str:
    serve_some(fleet, 0, 60)  # enough responses that no endpoint is ejected
    first_endpoints = {fail_first_attempt(fleet, 1000 + n) for n in range(3)}
    assert len(first_endpoints) == 1
    return first_endpoints.pop()


def test_key_moves_beyond_the_threshold_and_returns_after_one_trial() -> None:
    fleet = Fleet([kind()], [line(n) for n in range(4)])
    first_endpoint = move_key(fleet)
    moved = fleet.arrive(2000)
    assert moved.sent[0].endpoint != first_endpoint
    fleet.end(2000, 0, AttemptOutcome.SERVED)
    fleet.wait(7.0)
    trial, concurrent = fleet.arrive(2001), fleet.arrive(2002)
    assert trial.sent[0].endpoint == first_endpoint and concurrent.sent[0].endpoint != first_endpoint
    fleet.end(2001, 0, AttemptOutcome.SERVED)
    assert fleet.arrive(2003).sent[0].endpoint == first_endpoint
    assert not fleet.balancer.failover.entries


def test_failed_trial_restarts_the_delay_and_a_trial_without_result_does_not() -> None:
    fleet = Fleet([kind()], [line(n) for n in range(4)])
    first_endpoint = move_key(fleet)
    fleet.wait(7.0)
    assert fleet.arrive(2001).sent[0].endpoint == first_endpoint
    fleet.leave(2001)
    fleet.end(2001, 0, AttemptOutcome.CANCELLED)
    # The trial had no result: the next request is the trial.
    assert fleet.arrive(2002).sent[0].endpoint == first_endpoint
    fleet.end(2002, 0, AttemptOutcome.ERROR)
    assert fleet.arrive(2003).sent[0].endpoint != first_endpoint


def test_counts_are_reset_after_the_window_and_entries_are_bounded() -> None:
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


def test_entry_is_dropped_when_no_endpoint_is_left() -> None:
    fleet = Fleet([kind()], [line(0)])
    table, (a,) = FailoverTable[EndpointState](), fleet.balancer.registry.ready
    for n in range(3):
        table.record_failure("k", a, True, float(n), lambda tried: None)
    assert not table.entries
    assert issubclass(FailoverEntry, CircuitBreaker)


def test_dead_endpoint_is_ejected_and_its_keys_return_gradually() -> None:
    fleet = Fleet([kind()], [line(n) for n in range(4)])
    serve_some(fleet, 0, 60)
    dead, request_id = "e0", 100
    for _ in range(60):
        request = fleet.arrive(request_id, key=f"key{request_id}")
        for n in range(4):
            if len(request.sent) > n:
                fleet.end(
                    request_id,
                    n,
                    AttemptOutcome.NOT_CONNECTED
                    if request.sent[n].endpoint == dead
                    else AttemptOutcome.SERVED,
                )
        request_id += 1
    assert any(log_line.startswith("e0 ejected") for log_line in fleet.logs)
    assert not any(
        attempt.endpoint == dead for arrived in list(fleet.held.values())[-20:] for attempt in arrived.sent
    )
    fleet.wait(6.5)
    serve_some(fleet, 500, 120, gap=0.01)
    assert any(log_line.startswith("e0 readmitted") for log_line in fleet.logs)
    share = [
        sum(attempt.endpoint == dead for i in span for attempt in fleet.held[i].sent)
        for span in (range(500, 560), range(560, 620))
    ]
    assert share[0] < 15  # not all keys at once


def test_time_out_of_a_long_request_does_not_count_against_an_endpoint_that_answers() -> None:
    fleet = Fleet([kind()], [line(0)])
    serve_some(fleet, 0, 20)
    for request_id in range(100, 104):
        fleet.arrive(request_id, key="long")
        fleet.arrive(request_id + 100, key="short")
        fleet.wait(0.05)
        fleet.end(request_id + 100, 0, AttemptOutcome.SERVED)
        fleet.end(request_id, 0, AttemptOutcome.TIMED_OUT)
        fleet.wait(1.1)
    assert not fleet.logs and not fleet.balancer.failover.entries


def test_missing_responses_count_before_any_time_out() -> None:
    fleet = Fleet([kind(Idempotency.NON_IDEMPOTENT)], [line(n) for n in range(3)])
    serve_together(fleet, 0, 600, 12)
    fleet.wait(11.0)
    for request_id in range(1000, 1060):
        request = fleet.arrive(request_id, key=f"key{request_id}")
        fleet.wait(0.01)
        if request.sent and request.sent[0].endpoint != "e1" and request.sent[0].outcome is None:
            fleet.end(request_id, 0, AttemptOutcome.SERVED)
    assert any(log_line.startswith("e1 ejected") and "silent" in log_line for log_line in fleet.logs)


def test_no_attempt_is_overdue_before_response_times_are_known() -> None:
    fleet = Fleet([kind()], [line(0)])  # healthy endpoints were once ejected in the first second
    for request_id in range(4):
        fleet.arrive(request_id, key=f"key{request_id}")
    fleet.wait(0.4)
    assert not fleet.logs


def test_rising_latency_shrinks_the_window_long_before_the_latency_objective() -> None:
    fleet = Fleet([kind()], [line(0)])  # under overload, attempts once queued until they timed out
    serve_some(fleet, 0, 40)
    assert fleet.balancer.registry.ready[0].window == 2  # one request at a time does not grow the window
    serve_together(fleet, 100, 60)
    grown = fleet.balancer.registry.ready[0].window
    serve_together(fleet, 200, 60, took=0.1)
    assert fleet.balancer.registry.ready[0].window < 0.7 * grown


def test_requests_are_rejected_at_once_when_no_endpoint_is_usable() -> None:
    fleet = Fleet([kind(Idempotency.NON_IDEMPOTENT)], [])
    assert fleet.arrive(1).answer == "rejected"
    fleet.tell([line(0, EndpointStatus.DRAINING)], whole=True)
    assert fleet.arrive(2).answer == "rejected"
    fleet.tell([line(0)])
    assert fleet.arrive(3, wait=-1.0).answer == "rejected"


def test_retry_after_is_short_for_a_first_attempt_and_long_for_a_client_retry() -> None:
    fleet = Fleet([kind()], [line(0)])  # client retries once came back just too late, and were served
    serve_some(fleet, 0, 60)
    fleet.tell([line(0, EndpointStatus.DRAINING)])
    fleet.arrive(100)
    assert 0 < fleet.held_off < 0.1
    fleet.arrive(101, repeat=True)
    assert fleet.held_off == 1.0


def test_a_successful_trial_does_not_end_the_slow_start_of_a_restarted_endpoint() -> None:
    fleet = Fleet([kind()], [line(n) for n in range(3)])
    serve_some(fleet, 0, 60)
    fleet.tell([line(0, started=fleet.now - 1.0)])
    for request_id in range(100, 220):
        for n, attempt in enumerate(fleet.arrive(request_id, key=f"key{request_id}").sent):
            fleet.end(
                request_id, n, AttemptOutcome.ERROR if attempt.endpoint == "e0" else AttemptOutcome.SERVED
            )
        fleet.wait(0.05)
    serve_some(fleet, 500, 150, gap=0.03)
    endpoint = fleet.balancer.registry.by_id["e0"]
    assert (
        any("readmitted" in log_line for log_line in fleet.logs)
        and fleet.balancer.slow_start.age(endpoint, fleet.now) is not None
    )


def test_endpoints_that_all_start_cold_get_requests_from_the_first_windows_on() -> None:
    # They once got none until slow start was over.
    fleet = Fleet([kind()], [line(n) for n in range(3)], peers=1)
    serve_some(fleet, 0, 60)
    fleet.tell([line(n, EndpointStatus.GONE) for n in range(3)])
    fleet.wait(10.0)
    fleet.tell([line(n, started=fleet.now) for n in range(3)], whole=True)
    fleet.told_unready.clear()
    serve_some(fleet, 100, 60, gap=0.1)
    assert sum(bool(fleet.held[request_id].sent) for request_id in range(100, 160)) > 3
    # A sidecar that has seen no warm endpoint.
    new_sidecar = Fleet([kind()], [line(n, started=999.0) for n in range(3)], peers=1)
    serve_some(new_sidecar, 0, 60, gap=0.1)
    assert any(new_sidecar.held[request_id].sent for request_id in range(60))


def test_ejected_endpoints_count_in_the_failure_ratio_of_all() -> None:
    # Without them, the few in service were ejected one by one.
    fleet = Fleet([kind()], [line(n) for n in range(10)])
    ready, record_outcome = fleet.balancer.registry.ready, fleet.balancer.outliers.record_outcome
    fleet.balancer.registry.active.update(dict.fromkeys(ready))
    for endpoint, failing in [(endpoint, 1) for endpoint in ready[:4]] * 12 + [
        (endpoint, 0) for endpoint in ready[5:]
    ] * 30:
        record_outcome(endpoint, failing, fleet.now, "unconnected")
    for n in range(20):
        record_outcome(ready[4], n % 3 == 0, fleet.now, "unconnected")
    assert [endpoint for endpoint in ready if endpoint.breaker] == ready[:4]


def test_sidecars_with_little_traffic_spread_a_key_that_they_see_twice() -> None:
    second = set()  # a thousand such sidecars once sent a hot key to one endpoint for minutes
    for seed in range(12):
        fleet = Fleet([kind()], [line(n) for n in range(60)], seed=seed, peers=1000)
        for request_id, key in enumerate(["hot", "a", "b", "c", "d", "e", "f", "g", "h", "hot"]):
            request = fleet.arrive(request_id, key=key)
            fleet.wait(0.02)
            fleet.end(request_id, 0, AttemptOutcome.SERVED)
            fleet.wait(0.5)
        second.add(request.sent[0].endpoint)
    assert len(second) > 2


def test_an_ejected_endpoint_gets_its_trial_in_the_end_where_all_requests_are_non_idempotent() -> None:
    fleet = Fleet([kind(Idempotency.NON_IDEMPOTENT)], [line(0), line(1)])  # both once stayed ejected forever
    for request_id in range(40):
        request = fleet.arrive(request_id, key=f"k{request_id}")
        if request.sent:
            fleet.end(request_id, 0, AttemptOutcome.ERROR)
        fleet.wait(0.1)
    assert all(endpoint.breaker for endpoint in fleet.balancer.registry.ready)
    fleet.wait(10.0)
    assert not fleet.arrive(100).sent
    fleet.wait(6.0)
    sent = [fleet.arrive(request_id, key=f"k{request_id}").sent for request_id in range(200, 206)]
    assert sum(map(len, sent)) == 2  # one trial each
    for request_id in range(200, 206):
        if fleet.held[request_id].sent:
            fleet.end(request_id, 0, AttemptOutcome.SERVED)
    assert not any(endpoint.breaker for endpoint in fleet.balancer.registry.ready)


def test_a_request_without_a_key_leaves_no_failover_entry() -> None:
    fleet = Fleet([kind()], [line(0)])
    for request_id in range(2):
        fleet.arrive(request_id, key=None)
        fleet.end(request_id, 0, AttemptOutcome.ERROR)
    assert not fleet.balancer.failover.entries


@pytest.mark.parametrize("allowed", [3, 8, 20])
def test_what_all_sidecars_are_granted_for_a_warming_endpoint_is_within_its_limit(allowed: int) -> None:
    """200 independent sidecars that send all they are granted stay within N + 2 * sqrt(N) + 2 per window."""
    rng, sent = random.Random(allowed), list[float]()
    budget = SlowStartBudget(MULTIPLE, WINDOW, COLD_FROM, COLD)
    for _ in range(200):
        at = -WINDOW * rng.random()
        while at < 60.0:  # the endpoint stays at its initial capacity; warm ones answer at full capacity
            rate = allowed / (MULTIPLE * WINDOW * COLD_FROM * 200)
            grant = budget.grant(0.0, rate, Histogram(), 200, rng.random())
            sent += [at + grant.duration * rng.random() for _ in range(grant.attempts)]
            at += grant.duration
    sent.sort()
    most = max(bisect.bisect(sent, at + WINDOW) - n for n, at in enumerate(sent))
    assert allowed / 2 < most <= allowed + 2 * math.sqrt(allowed) + 2


def test_a_key_is_not_spread_over_all_endpoints() -> None:
    # Under overload, keys once spread to endpoints with cold caches.
    fleet = Fleet([kind()], [line(n) for n in range(20)])
    for request_id in range(1200):
        fleet.arrive(request_id, key=f"k{request_id % 40}")
        if request_id % 40 == 39:
            fleet.wait(0.02)
            for open_id, number in fleet.open():
                fleet.end(open_id, number, AttemptOutcome.SERVED)
    used = {attempt.endpoint for request_id in range(39, 1200, 40) for attempt in fleet.held[request_id].sent}
    assert 1 < len(used) <= 6 and any(arrived.answer == "rejected" for arrived in fleet.held.values())


def test_a_hot_key_is_spread_though_one_attempt_is_in_flight_at_a_time() -> None:
    fleet = Fleet([kind()], [line(n) for n in range(20)])  # its first endpoint once got 25 times its share
    for request_id in range(400):
        fleet.arrive(request_id, key="hot" if request_id % 4 == 0 else f"key{request_id}")
        fleet.end(request_id, 0, AttemptOutcome.SERVED)
        fleet.wait(0.05)
    used = {fleet.held[request_id].sent[0].endpoint for request_id in range(200, 400, 4)}
    assert 2 < len(used) <= 6


def test_requests_are_rejected_while_response_times_are_long_everywhere() -> None:
    # 124 sidecars once made such queues together.
    fleet = Fleet([kind()], [line(n) for n in range(8)], peers=200)
    serve_some(fleet, 0, 40)
    assert not any(arrived.answer == "rejected" for arrived in fleet.held.values())
    rejected = 0
    for request_id in range(100, 200):
        request = fleet.arrive(request_id, key=f"key{request_id}")
        rejected += not request.sent
        fleet.wait(0.45)
        if request.sent:
            fleet.end(request_id, 0, AttemptOutcome.SERVED)
    assert rejected > 40
    fleet.wait(10.0)
    serve_some(fleet, 300, 60)
    assert sum(arrived.answer == "finished" for arrived in list(fleet.held.values())[-20:]) > 15


def test_overload_is_seen_though_each_endpoint_gets_few_requests() -> None:
    """Sidecars once sent attempts into queues for seconds; a few must go on, to see the overload end."""
    fleet = Fleet([kind()], [line(n) for n in range(40)], peers=200)
    serve_some(fleet, 0, 150)
    jammed, sent = fleet.now, list[float]()
    for request_id in range(1000, 1150):
        if fleet.arrive(request_id, key=f"key{request_id}").sent:
            sent.append(fleet.now)
        fleet.wait(0.06)
        for other, number in fleet.open():
            if fleet.held[other].sent[number].at < fleet.now - 0.45:
                fleet.end(other, number, AttemptOutcome.SERVED)
    early = sum(sent_at - jammed < 3.0 for sent_at in sent)
    assert early < 35, "overload was seen only from the response times of each endpoint alone"
    assert max(after - sent_at for sent_at, after in itertools.pairwise(sent)) < 4.0


def test_failures_everywhere_alike_eject_no_endpoint() -> None:
    # Half of the endpoints were once ejected for 5 s after a short fault.
    fleet = Fleet([kind()], [line(n) for n in range(6)])
    serve_some(fleet, 0, 60)
    for outcome in (AttemptOutcome.ERROR, AttemptOutcome.OVERLOADED):
        for n in range(150):
            request_id = (1000 if outcome is AttemptOutcome.ERROR else 2000) + n
            request = fleet.arrive(request_id, key=f"k{request_id}")
            fleet.wait(0.02)
            while request.answer is None:
                number = len(request.sent) - 1
                fleet.end(request_id, number, outcome if n % 3 == 0 and not number else AttemptOutcome.SERVED)
            fleet.wait(0.02)
        assert not any(" ejected: " in log_line for log_line in fleet.logs), fleet.logs
        fleet.wait(30.0)
    for request_id in range(3000, 3100):  # an endpoint that fails alone is still ejected
        request = fleet.arrive(request_id, key=f"k{request_id}")
        while request.answer is None:
            bad = request.sent[-1].endpoint == "e0"
            fleet.end(
                request_id, len(request.sent) - 1, AttemptOutcome.OVERLOADED if bad else AttemptOutcome.SERVED
            )
        fleet.wait(0.05)
    assert [log_line[:3] for log_line in fleet.logs if " ejected: " in log_line] == ["e0 "]


def test_an_endpoint_that_dies_under_traffic_is_ejected_after_a_few_failures() -> None:
    fleet = Fleet([kind()], [line(n) for n in range(3)])  # it once took 117 failures after 350 responses
    failures = 0
    for request_id in range(1500):
        request = fleet.arrive(request_id, key=f"k{request_id}")
        while request.answer is None:
            dead = request_id > 1000 and request.sent[-1].endpoint == "e0"
            failures += dead
            fleet.end(
                request_id,
                len(request.sent) - 1,
                AttemptOutcome.NOT_CONNECTED if dead else AttemptOutcome.SERVED,
            )
        fleet.wait(0.005)
    assert any(log_line.startswith("e0 ejected: 8 of ") for log_line in fleet.logs) and failures < 12


def test_an_attempt_overtaken_on_a_silent_connection_is_cancelled_and_retried() -> None:
    fleet = Fleet([kind(), kind(Idempotency.NON_IDEMPOTENT)], [line(n) for n in range(2)])
    serve_together(fleet, 0, 80)
    fleet.wait(2.0)
    windows = {endpoint.id: endpoint.window for endpoint in fleet.balancer.registry.by_id.values()}
    for first_id, class_index in ((1000, 1), (2000, 0)):
        silent = fleet.arrive(first_id, class_index, key="a")
        first_endpoint = silent.sent[0].endpoint
        for request_id in range(first_id + 1, first_id + 9):
            request = fleet.arrive(request_id, key="a")
            fleet.wait(0.02)
            assert request.sent[0].endpoint == first_endpoint
            fleet.end(request_id, 0, AttemptOutcome.SERVED)
        fleet.wait(0.1)
        assert not fleet.balancer.registry.by_id[first_endpoint].in_flight, (
            "a lost attempt still counts as in flight"
        )
    assert fleet.called_off == [(2000, 0)]  # the non-idempotent one may have been executed
    fleet.end(2000, 0, AttemptOutcome.CANCELLED)
    assert len(silent.sent) == 2 and silent.sent[1].endpoint != first_endpoint
    fleet.end(2000, 1, AttemptOutcome.SERVED)
    fleet.wait(2.0)
    assert fleet.held[1000].answer == "terminated"
    assert fleet.balancer.registry.by_id[first_endpoint].window >= windows[first_endpoint], (
        "the lost attempt was taken for queueing"
    )


def test_a_time_out_counts_as_a_response_time() -> None:
    fleet = Fleet([kind()], [line(0)])  # endpoints whose requests all timed out once seemed fast
    serve_some(fleet, 0, 4)
    fleet.arrive(100)
    fleet.wait(1.0)
    assert fleet.held[100].sent[0].outcome is AttemptOutcome.TIMED_OUT
    assert fleet.balancer.latency.overall.quantile(0.95) > 0.4


def test_a_slow_endpoint_is_remembered_where_requests_are_few() -> None:
    # Its response times were once forgotten after 2 s.
    fleet = Fleet([kind()], [line(n) for n in range(6)], peers=200)
    first_endpoint = fleet.arrive(0).sent[0].endpoint
    fleet.wait(0.02)
    fleet.end(0, 0, AttemptOutcome.SERVED)
    for request_id in range(1, 4):
        fleet.arrive(request_id)
        fleet.wait(0.55 if fleet.held[request_id].sent[0].endpoint == first_endpoint else 0.02)
        fleet.end(request_id, 0, AttemptOutcome.SERVED)
        fleet.wait(2.5)
    assert [fleet.held[request_id].sent[0].endpoint == first_endpoint for request_id in range(4)] == [
        True,
        True,
        False,
        False,
    ]


def test_a_window_permits_the_attempts_that_a_sidecar_keeps_busy() -> None:
    fleet = Fleet([kind()], [line(0)])  # servers with many cores were once idle behind windows of 1
    for request_id in range(0, 600, 3):
        for n in range(3):
            fleet.arrive(request_id + n, key=f"key{request_id + n}")
        fleet.wait(0.02 if request_id % 2 else 0.045)
        for open_id, number in fleet.open():
            fleet.end(open_id, number, AttemptOutcome.SERVED)
    assert fleet.balancer.registry.ready[0].window >= 2


def test_the_list_is_watched_again_after_a_failure() -> None:
    fleet = Fleet([kind()], [line(0)])
    for _ in range(8):
        before = fleet.watches
        fleet.balancer.on_list_failed()
        fleet.wait(4.0)
        assert fleet.watches == before + 1
    assert fleet.logs == ["endpoint list unavailable: retrying"]
    fleet.tell([line(0)])
    assert len(fleet.logs) == 2


def test_histogram_gives_quantiles_and_halves_to_zero() -> None:
    histogram = Histogram()
    assert histogram.quantile(0.5, prior=0.3) == 0.3
    for _ in range(90):
        histogram.add(0.010)
    for _ in range(10):
        histogram.add(1.0)
    assert 0.005 < histogram.quantile(0.5) < 0.015 and 0.6 < histogram.quantile(0.95) < 1.5
    for _ in range(20):
        histogram.halve()
    assert histogram.total == 0


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
    source = b"".join(
        (input_line if isinstance(input_line, bytes) else json.dumps(input_line).encode()) + b"\n"
        for input_line in lines
    )
    sink = io.BytesIO()
    status = serve(io.BytesIO(source), sink)
    return status, [json.loads(input_line) for input_line in sink.getvalue().splitlines()]


def batch(*messages: dict[str, Any], now: float = 8000.0) -> dict[str, Any]:
    return {"now": now, "msgs": list(messages)}


def test_adapter_handles_a_reused_page_and_a_restart_in_one_batch() -> None:
    def roster(endpoint_id: str) -> dict[str, Any]:
        return {
            "event_type": "Roster",
            "page": 0,
            "lines": [{"endpoint": endpoint_id, "mode": 2, "start-time": None}],
        }

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
    tries = [
        [(action["corr"], action["endpoint"]) for action in reply["outbox"] if action["event_type"] == "Try"]
        for reply in replies
    ]
    assert status == 0 and tries == [[], [(5, "a")], [(6, "b")]]


@pytest.mark.parametrize(
    "invalid_input, expected_error",
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
def test_invalid_input_is_reported_in_one_line(
    invalid_input: object, expected_error: str, capfd: pytest.CaptureFixture[str]
) -> None:
    status, _ = run(invalid_input)
    err = capfd.readouterr().err
    assert status and expected_error in err and err.count("\n") == 1 and "Traceback" not in err
