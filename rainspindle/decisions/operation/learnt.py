"""Exports what a balancer has learnt as plain values, and imports it in the next process. No I/O.

`take` trusts its input, except about endpoints that have restarted since: the state from a process
that runs beside this one is fresh, and state stored over a restart is passed through `aged` first.
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
    """Returns the learnt state for `take`, with times as ages in seconds and the keys of the stored form."""
    return {
        "warm_rate": balancer.slow_start.warm_rate,
        "usual": balancer.latency.median,
        "slow": balancer.latency.slow,
        "calm": balancer.latency.unloaded,
        "counts": balancer.popularity.counts,
        "counted": balancer.popularity.total,
        "times": balancer.latency.overall.bins,
        "put_back": {
            endpoint_id: now - enabled_at
            for endpoint_id, enabled_at in balancer.slow_start.enabled_at.items()
        },
        "endpoints": {endpoint.id: give_endpoint(endpoint, now) for endpoint in balancer.registry.active},
        "keys": {key: give_entry(entry, now) for key, entry in balancer.failover.entries.items()},
    }


def give_endpoint(endpoint: EndpointState, now: float) -> dict[str, Any]:
    """Returns the learnt state of one endpoint, with times as ages in seconds."""
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
    """Returns the failover state of one key, with endpoints by id and times as ages in seconds."""
    return [
        entry.first.id,
        entry.current.id,
        [endpoint.id for endpoint in entry.tried],
        entry.idempotent_failures,
        entry.other_failures,
        now - entry.last_failure_at,
        now - entry.failing_since,
    ]


def histogram(bins: list[float]) -> Histogram:
    """Returns a histogram with these bins. Raises ValueError if their number or a value is wrong."""
    decoded = Histogram()
    decoded.bins = [float(count) for _, count in zip(decoded.bins, bins, strict=True)]
    decoded.total = sum(decoded.bins)
    return decoded


def moment(now: float, age: float | None) -> float:
    """Returns the time that lies `age` seconds back; the infinite past for None."""
    return -math.inf if age is None else now - age


@dataclass(frozen=True)
class TakenEndpoint:
    """The imported state of one endpoint, decoded and not applied yet."""

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
    def of(endpoint: EndpointState, now: float, stored: dict[str, Any]) -> TakenEndpoint:
        """Decodes what `give_endpoint` returned."""
        counts = FailureCounts()
        counts.failures, counts.outcomes = stored["failures"], stored["outcomes"]
        return TakenEndpoint(
            endpoint,
            stored["credit"],
            stored["window"],
            stored["calm"],
            stored["busy"],
            stored["row"],
            counts,
            stored["cold_left"],
            histogram(stored["times"]),
            moment(now, stored["cold_since"]),
            moment(now, stored["back"]),
            None if stored["out"] is None else CircuitBreaker(now - stored["out"]),
        )

    def apply(self) -> None:
        """Overwrites the state of the endpoint."""
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
    """The imported state that concerns no single endpoint, decoded and not applied yet."""

    warm_rate: float
    usual: float
    slow: float
    calm: float
    counts: dict[str, float]
    counted: float
    latency: Histogram
    put_back: dict[str, float]

    @staticmethod
    def of(now: float, exported: dict[str, Any]) -> TakenOwn:
        """Decodes what `give` returned, without its endpoints and keys."""
        return TakenOwn(
            exported["warm_rate"],
            exported["usual"],
            exported["slow"],
            exported["calm"],
            exported["counts"],
            exported["counted"],
            histogram(exported["times"]),
            {endpoint_id: now - age for endpoint_id, age in exported["put_back"].items()},
        )

    def apply(self, balancer: Balancer) -> None:
        """Overwrites the state of the balancer that concerns no single endpoint."""
        balancer.slow_start.warm_rate = self.warm_rate
        balancer.slow_start.enabled_at = self.put_back
        balancer.latency.median = self.usual
        balancer.latency.slow = self.slow
        balancer.latency.unloaded = self.calm
        balancer.latency.overall = self.latency
        balancer.popularity.counts = self.counts
        balancer.popularity.total = self.counted


def take(
    balancer: Balancer, now: float, exported: dict[str, Any], only: Collection[str] | None = None
) -> list[str]:
    """Imports the state that another process has just exported, except of endpoints that have restarted.

    With `only`, imports these endpoints alone and leaves the sidecar's own state as it is. Returns the ids of
    the imported endpoints.

    Raises:
        KeyError, TypeError, AttributeError, ValueError: The state is malformed; nothing has been imported.
    """
    known: list[TakenEndpoint] = []
    for endpoint_id, stored in exported["endpoints"].items():
        endpoint = balancer.registry.by_id.get(endpoint_id)
        if (
            endpoint
            and endpoint.listed.status is not EndpointStatus.DISABLED
            and (
                endpoint.listed.started_at is None
                or abs(moment(now, stored["age"]) - endpoint.listed.started_at) < 1.0
            )
        ):
            known.append(TakenEndpoint.of(endpoint, now, stored))
    taken = {state.endpoint.id: state.endpoint for state in known}
    entries: dict[str, FailoverEntry[EndpointState]] = {}
    for key, (first, current, tried, retriable, other, last, since) in exported["keys"].items():
        involved = {first, current, *tried}
        if involved <= taken.keys() and (only is None or not involved.isdisjoint(only)):
            entry = entries[key] = FailoverEntry(taken[first], now - last)
            entry.current, entry.failing_since = taken[current], now - since
            entry.tried = [taken[endpoint_id] for endpoint_id in tried]
            entry.idempotent_failures, entry.other_failures = int(retriable), int(other)
    own = TakenOwn.of(now, exported)
    if only is None:
        own.apply(balancer)
    else:
        known = [state for state in known if state.endpoint.id in only]
    for state in known:
        state.apply()
        balancer.registry.mark_active(state.endpoint)
    balancer.failover.entries.update(entries)
    balancer.on_state_restored()
    return [state.endpoint.id for state in known]


# State that was stored over a restart, and has aged when it is read.

# Seconds after which latencies and failures, and the popularity of keys, count as unknown.
LOAD_LASTS, KEYS_LAST = 600.0, 3600.0
# Half-lives in seconds: of the distance of window and retry credit from their initial value; of key counts.
HALVES, KEY_HALVES = 10.0, 60.0


def nothing() -> dict[str, Any]:
    """Returns the state of a balancer that has just started."""
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


def aged(exported: dict[str, Any], seconds: float, cold: float, window: float) -> dict[str, Any]:
    """Returns what remains of exported state after so many seconds without traffic.

    The decay follows the balancer's own sweeps. An endpoint younger than `cold` seconds, by its start or
    since an operator enabled it, keeps no latencies and no slow-start budget, and the rate of warm endpoints
    is never kept: such an endpoint gets what a balancer that has just started gives it. `window` is the
    initial window of an endpoint. Pass infinite `seconds` where the age is unknown: nothing remains.

    Raises:
        KeyError, TypeError, AttributeError, ValueError: The value is nothing that `give` has returned.
    """
    seconds, remaining = max(seconds, 0.0), nothing()
    if not seconds < KEYS_LAST:
        return remaining
    decay = 0.5 ** (seconds // KEY_HALVES)
    remaining["counts"] = {
        key: count * decay for key, count in exported["counts"].items() if count * decay > 1
    }
    remaining["counted"] = exported["counted"] * decay
    enabled = remaining["put_back"] = {
        endpoint_id: age + seconds
        for endpoint_id, age in exported["put_back"].items()
        if age + seconds < cold
    }
    if seconds >= LOAD_LASTS:
        return remaining
    remaining["times"] = faded(exported["times"], seconds)
    if sum(remaining["times"]):
        remaining.update(
            usual=exported["usual"], slow=exported["slow"], calm=risen(exported["calm"], seconds)
        )
    for endpoint_id, stored in exported["endpoints"].items():
        age = math.inf if stored["age"] is None else stored["age"] + seconds
        share, fresh = 0.5 ** (seconds / HALVES), age < cold or endpoint_id in enabled
        outcomes = sum(stored["outcomes"])
        rotations = seconds // (SweepPhase.ROTATE_COUNTS_EVERY if outcomes > 8 else SweepPhase.THOROUGH_EVERY)
        remaining["endpoints"][endpoint_id] = {
            "age": age,
            "credit": EndpointState.INITIAL_RETRY_CREDIT
            + (stored["credit"] - EndpointState.INITIAL_RETRY_CREDIT) * share,
            "window": window if fresh else window + (stored["window"] - window) * share,
            "calm": 0.0 if fresh else risen(stored["calm"], seconds),
            "busy": 0.0 if fresh else stored["busy"] * 0.7**seconds,
            "row": 0.0 if rotations >= 2 else stored["row"],
            **{
                name: list(stored[name])
                if not rotations
                else [0, stored[name][0]]
                if rotations == 1
                else [0, 0]
                for name in ("failures", "outcomes")
            },
            "times": [0.0] * Histogram.BINS if fresh else faded(stored["times"], seconds),
            "cold_left": 0,
            "cold_since": None,
            "out": None if stored["out"] is None else stored["out"] + seconds,
            "back": None if stored["back"] is None else stored["back"] + seconds,
        }
    remaining["keys"] = {
        key: [first, current, tried, retriable, other, last + seconds, since + seconds]
        for key, (first, current, tried, retriable, other, last, since) in exported["keys"].items()
        if last + seconds <= FailoverTable.RESET_WINDOW
    }
    return remaining


def faded(bins: list[float], seconds: float) -> list[float]:
    """Returns histogram bins halved as the sweeps do it: every few seconds, less often for few samples."""
    times = histogram(bins)
    while times.total and seconds >= SweepPhase.HALVE_TIMES_EVERY:
        step = SweepPhase.HALVE_TIMES_EVERY if times.total > 8 else SweepPhase.THOROUGH_EVERY
        seconds -= step
        if seconds >= 0:
            times.halve()
    return times.bins


def risen(calm: float, seconds: float) -> float:
    """Returns the unloaded latency, raised by 1 % per second to at most twice its value."""
    return calm * min(math.exp(0.01 * seconds), 2.0)


def trimmed(exported: dict[str, Any], endpoints: int, keys: int, key_size: int) -> dict[str, Any]:
    """Limits exported state to so many endpoints and keys, and drops longer keys.

    Ejected endpoints are preferred, then those with most outcomes, and the keys that failed last.
    """
    ranked = sorted(
        exported["endpoints"].items(), key=lambda item: (item[1]["out"] is None, -sum(item[1]["outcomes"]))
    )
    latest = sorted(
        (item for item in exported["keys"].items() if len(item[0]) <= key_size), key=lambda item: item[1][5]
    )
    return {
        **exported,
        "endpoints": dict(ranked[:endpoints]),
        "keys": dict(latest[:keys]),
        "counts": {key: count for key, count in exported["counts"].items() if len(key) <= key_size},
    }
