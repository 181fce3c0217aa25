"""What one process of a sidecar learnt, handed on to the next: plain values out, and in again. No I/O.

`take` believes all that it is given, but of endpoints that have restarted since: what a process beside this
one gives is fresh, what was kept over a restart is `aged` first.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import Any

from ...balancer.balancer import Balancer
from ...balancer.endpoint import EndpointState
from ...balancer.failover import CircuitBreaker, FailoverEntry, FailoverTable
from ...balancer.failure_counts import FailureCounts
from ...balancer.host import EndpointStatus
from ...balancer.sweep import SweepPhase
from ...histogram import Histogram
from ...lazy_dataclasses import dataclass


def give(balancer: Balancer, now: float) -> dict[str, Any]:
    """What was learnt, for `take`; times as ages in seconds. The keys are those of the stored form."""
    return {
        "warm_rate": balancer.slow_start.warm_rate,
        "usual": balancer.latency.median,
        "slow": balancer.latency.slow,
        "calm": balancer.latency.unloaded,
        "counts": balancer.popularity.counts,
        "counted": balancer.popularity.total,
        "times": balancer.latency.overall.bins,
        "put_back": {id: now - at for id, at in balancer.slow_start.enabled_at.items()},
        "endpoints": {e.id: give_endpoint(e, now) for e in balancer.registry.active},
        "keys": {key: give_entry(entry, now) for key, entry in balancer.failover.entries.items()},
    }


def give_endpoint(endpoint: EndpointState, now: float) -> dict[str, Any]:
    return {
        "credit": endpoint.retry_credit,
        "window": endpoint.window,
        "calm": endpoint.unloaded_time,
        "busy": endpoint.busy_cores,
        "row": endpoint.consecutive_failures,
        "failures": endpoint.failure_counts.failures,
        "outcomes": endpoint.failure_counts.outcomes,
        "cold_left": endpoint.slow_start_remaining,
        "age": now - (endpoint.listed.started_at or -math.inf),
        "times": endpoint.latency.bins,
        "cold_since": now - endpoint.slow_start_until,
        "out": now - endpoint.breaker.failing_since if endpoint.breaker else None,
        "back": now - endpoint.readmitted_at,
    }


def give_entry(entry: FailoverEntry[EndpointState], now: float) -> list[Any]:
    return [
        entry.first.id,
        entry.current.id,
        [e.id for e in entry.tried],
        entry.idempotent_failures,
        entry.other_failures,
        now - entry.last_failure_at,
        now - entry.failing_since,
    ]


def histogram(bins: list[float]) -> Histogram:
    made = Histogram()
    made.bins = [float(b) for _, b in zip(made.bins, bins, strict=True)]
    made.total = sum(made.bins)
    return made


def moment(now: float, age: float | None) -> float:
    return -math.inf if age is None else now - age


@dataclass(frozen=True)
class TakenEndpoint:
    """What was given of one endpoint, checked and not yet taken over."""

    endpoint: EndpointState
    credit: float
    window: float
    calm: float
    busy: float
    row: float
    counts: FailureCounts
    cold_left: int
    latency: Histogram
    cold_until: float
    back_at: float
    breaker: CircuitBreaker | None

    @staticmethod
    def of(endpoint: EndpointState, now: float, kept: dict[str, Any]) -> TakenEndpoint:
        counts = FailureCounts()
        counts.failures, counts.outcomes = kept["failures"], kept["outcomes"]
        return TakenEndpoint(
            endpoint,
            kept["credit"],
            kept["window"],
            kept["calm"],
            kept["busy"],
            kept["row"],
            counts,
            kept["cold_left"],
            histogram(kept["times"]),
            moment(now, kept["cold_since"]),
            moment(now, kept["back"]),
            None if kept["out"] is None else CircuitBreaker(now - kept["out"]),
        )

    def apply(self) -> None:
        endpoint = self.endpoint
        endpoint.retry_credit = self.credit
        endpoint.window = self.window
        endpoint.unloaded_time = self.calm
        endpoint.busy_cores = self.busy
        endpoint.consecutive_failures = self.row
        endpoint.failure_counts = self.counts
        endpoint.slow_start_remaining = self.cold_left
        endpoint.latency = self.latency
        endpoint.slow_start_until = self.cold_until
        endpoint.readmitted_at = self.back_at
        endpoint.breaker = self.breaker


@dataclass(frozen=True)
class TakenOwn:
    """What was given of the sidecar as a whole, checked and not yet taken over."""

    warm_rate: float
    usual: float
    slow: float
    calm: float
    counts: dict[str, float]
    counted: float
    latency: Histogram
    put_back: dict[str, float]

    @staticmethod
    def of(now: float, given: dict[str, Any]) -> TakenOwn:
        return TakenOwn(
            given["warm_rate"],
            given["usual"],
            given["slow"],
            given["calm"],
            given["counts"],
            given["counted"],
            histogram(given["times"]),
            {id: now - age for id, age in given["put_back"].items()},
        )

    def apply(self, balancer: Balancer) -> None:
        balancer.slow_start.warm_rate = self.warm_rate
        balancer.slow_start.enabled_at = self.put_back
        balancer.latency.median = self.usual
        balancer.latency.slow = self.slow
        balancer.latency.unloaded = self.calm
        balancer.latency.overall = self.latency
        balancer.popularity.counts = self.counts
        balancer.popularity.total = self.counted


def take(
    balancer: Balancer, now: float, given: dict[str, Any], only: Collection[str] | None = None
) -> list[str]:
    """Goes on from what another process learnt just now; of an endpoint that has restarted, nothing. With
    `only`, of these endpoints alone, and nothing of what is the sidecar's own; the endpoints taken.

    Raises KeyError, TypeError, AttributeError or ValueError with nothing taken over."""
    known: list[TakenEndpoint] = []
    for id, kept in given["endpoints"].items():
        e = balancer.registry.by_id.get(id)
        if (
            e
            and e.listed.status is not EndpointStatus.DISABLED
            and (e.listed.started_at is None or abs(moment(now, kept["age"]) - e.listed.started_at) < 1.0)
        ):
            known.append(TakenEndpoint.of(e, now, kept))
    taken = {one.endpoint.id: one.endpoint for one in known}
    entries: dict[str, FailoverEntry[EndpointState]] = {}
    for key, (first, current, tried, retriable, other, last, since) in given["keys"].items():
        named = {first, current, *tried}
        if named <= taken.keys() and (only is None or not named.isdisjoint(only)):
            entry = entries[key] = FailoverEntry(taken[first], now - last)
            entry.current, entry.failing_since = taken[current], now - since
            entry.tried = [taken[id] for id in tried]
            entry.idempotent_failures, entry.other_failures = int(retriable), int(other)
    own = TakenOwn.of(now, given)
    if only is None:
        own.apply(balancer)
    else:
        known = [one for one in known if one.endpoint.id in only]
    for one in known:
        one.apply()
        balancer.registry.mark_active(one.endpoint)
    balancer.failover.entries.update(entries)
    balancer.on_state_restored()
    return [one.endpoint.id for one in known]


# Kept over a restart, and so old when it is read.

# Seconds after which times and failures, and how hot keys are, are nothing.
LOAD_LASTS, KEYS_LAST = 600.0, 3600.0
# Seconds in which a window, credit come half the way back; in which keys are halved.
HALVES, KEY_HALVES = 10.0, 60.0


def nothing() -> dict[str, Any]:
    """What a module has learnt that has just begun."""
    return {
        "warm_rate": 0.0,
        "usual": 0.0,
        "slow": 0.0,
        "calm": 0.0,
        "counts": {},
        "counted": 0.0,
        "times": [0.0] * Histogram.BINS,
        "put_back": {},
        "endpoints": {},
        "keys": {},
    }


def aged(given: dict[str, Any], seconds: float, cold: float, window: float) -> dict[str, Any]:
    """What is left of it after so many seconds without a word, by what the module's own sweeps would have
    left.

    Of an endpoint that is `cold` (by its age or by order) no times are left, nor any forwards of its budget,
    and of no endpoint the rate of warm ones: what it gets is then what a module that knows nothing gives it.
    `window` is the one that an endpoint begins with. A time that is not known is infinite: nothing is left.
    Raises KeyError, TypeError, AttributeError or ValueError where it is nothing that `give` gave."""
    seconds, found = max(seconds, 0.0), nothing()
    if not seconds < KEYS_LAST:
        return found
    halved = 0.5 ** (seconds // KEY_HALVES)
    found["counts"] = {key: n * halved for key, n in given["counts"].items() if n * halved > 1}
    found["counted"] = given["counted"] * halved
    back = found["put_back"] = {
        id: age + seconds for id, age in given["put_back"].items() if age + seconds < cold
    }
    if seconds >= LOAD_LASTS:
        return found
    found["times"] = faded(given["times"], seconds)
    if sum(found["times"]):
        found.update(usual=given["usual"], slow=given["slow"], calm=risen(given["calm"], seconds))
    for id, kept in given["endpoints"].items():
        age = math.inf if kept["age"] is None else kept["age"] + seconds
        part, fresh = 0.5 ** (seconds / HALVES), age < cold or id in back
        outcomes = sum(kept["outcomes"])
        moves = seconds // (SweepPhase.ROTATE_COUNTS_EVERY if outcomes > 8 else SweepPhase.THOROUGH_EVERY)
        found["endpoints"][id] = {
            "age": age,
            "credit": EndpointState.INITIAL_RETRY_CREDIT
            + (kept["credit"] - EndpointState.INITIAL_RETRY_CREDIT) * part,
            "window": window if fresh else window + (kept["window"] - window) * part,
            "calm": 0.0 if fresh else risen(kept["calm"], seconds),
            "busy": 0.0 if fresh else kept["busy"] * 0.7**seconds,
            "row": 0.0 if moves >= 2 else kept["row"],
            **{
                name: list(kept[name]) if not moves else [0, kept[name][0]] if moves == 1 else [0, 0]
                for name in ("failures", "outcomes")
            },
            "times": [0.0] * Histogram.BINS if fresh else faded(kept["times"], seconds),
            "cold_left": 0,
            "cold_since": None,
            "out": None if kept["out"] is None else kept["out"] + seconds,
            "back": None if kept["back"] is None else kept["back"] + seconds,
        }
    found["keys"] = {
        key: [first, current, tried, retriable, other, last + seconds, since + seconds]
        for key, (first, current, tried, retriable, other, last, since) in given["keys"].items()
        if last + seconds <= FailoverTable.RESET_WINDOW
    }
    return found


def faded(bins: list[float], seconds: float) -> list[float]:
    """Halved as sweeps do: each few seconds while there is much, then less often."""
    times = histogram(bins)
    while times.total and seconds >= SweepPhase.HALVE_TIMES_EVERY:
        step = SweepPhase.HALVE_TIMES_EVERY if times.total > 8 else SweepPhase.THOROUGH_EVERY
        seconds -= step
        if seconds >= 0:
            times.halve()
    return times.bins


def risen(calm: float, seconds: float) -> float:
    return calm * min(math.exp(0.01 * seconds), 2.0)


def trimmed(given: dict[str, Any], endpoints: int, keys: int, key_size: int) -> dict[str, Any]:
    """So many at most: those that are out and those with most outcomes, and the latest keys to fail."""
    ranked = sorted(
        given["endpoints"].items(), key=lambda item: (item[1]["out"] is None, -sum(item[1]["outcomes"]))
    )
    latest = sorted(
        (item for item in given["keys"].items() if len(item[0]) <= key_size), key=lambda item: item[1][5]
    )
    return {
        **given,
        "endpoints": dict(ranked[:endpoints]),
        "keys": dict(latest[:keys]),
        "counts": {key: n for key, n in given["counts"].items() if len(key) <= key_size},
    }
