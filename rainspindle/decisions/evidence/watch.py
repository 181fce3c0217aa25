"""Reports a balancer's observations to `Evidence` and applies its decisions to the balancer's state.

It acts from outside, as an operator's command does, and the balancer decides as before. A trial is postponed
or brought forward by moving the time from which the balancer counts its delay. A warning lowers the threshold
for the ejection of that endpoint. A hot key is spread over endpoints by its reported share if the locally
counted share is smaller.
"""

from __future__ import annotations

from dataclasses import dataclass

from ...balancer.balancer import Balancer
from ...balancer.endpoint import EndpointState
from ...balancer.failover import CircuitBreaker, FailoverTable
from ...protocol.evidence import MAX_HELD, MAX_KEYS, mark_of
from .evidence import Evidence

# Factor on a reported share if the balancer has less than one attempt in flight and so sees no load itself
UNLOADED_FACTOR = 2.0
# Seconds; an ejection that is older when it is first seen was not made by this process, as checks are closer
NEW_EJECTION_AGE = 2.0
DEAD_FAILURES = 2  # consecutive failures from which on an ejection is reported as that of a dead endpoint


@dataclass(slots=True)
class EjectedEndpoint:
    """An endpoint that was ejected at the last check."""

    breaker: CircuitBreaker
    mark: int
    start: int
    ejected_at: float
    since: float
    on_trial: bool


class BalancerWatch:
    """Connects one balancer with the evidence."""

    def __init__(self, balancer: Balancer, evidence: Evidence, offset: float) -> None:
        """`offset` is what was added to the list's Unix times to give the balancer's."""
        self.balancer, self.evidence, self.offset = balancer, evidence, offset
        self.endpoints_by_mark: dict[int, EndpointState] = {}
        self.endpoints_by_id: dict[str, EndpointState] = {}
        self.mark_by_id: dict[str, int] = {}
        self.ejected: dict[EndpointState, EjectedEndpoint] = {}
        balancer.popularity.adjust_share = self.shared_key_share

    def endpoints(self) -> dict[int, EndpointState]:
        """Returns the listed endpoints by their mark."""
        if self.endpoints_by_id is not self.balancer.registry.by_id:
            self.endpoints_by_id = self.balancer.registry.by_id
            self.mark_by_id = {
                endpoint_id: self.mark_by_id.get(endpoint_id) or mark_of(endpoint_id)
                for endpoint_id in self.endpoints_by_id
            }
            self.endpoints_by_mark = {
                self.mark_by_id[endpoint_id]: endpoint
                for endpoint_id, endpoint in self.endpoints_by_id.items()
            }
        return self.endpoints_by_mark

    def start(self, endpoint: EndpointState) -> int:
        """Returns the endpoint's start in milliseconds of Unix time, 0 if the list has none."""
        return (
            round((endpoint.listed.started_at - self.offset) * 1000)
            if endpoint.listed.started_at is not None
            else 0
        )

    # Observations of the balancer.

    def check(self, now: float) -> bool:
        """Reports changes since the last check; returns whether any endpoint is ejected."""
        self.endpoints()
        for endpoint in self.balancer.registry.active:
            breaker = endpoint.breaker
            if breaker is not None:
                self.check_endpoint(now, endpoint, breaker)
        for endpoint, seen in list(self.ejected.items()):
            if endpoint.breaker is None or self.endpoints_by_id.get(endpoint.id) is not endpoint:
                del self.ejected[endpoint]
                if (
                    endpoint.breaker is None
                    and self.start(endpoint) == seen.start
                    and endpoint.readmitted_at >= seen.ejected_at
                ):
                    self.evidence.on_trial_answered(now, seen.mark)
                else:
                    self.evidence.on_endpoint_gone(now, seen.mark)
        return bool(self.ejected)

    def check_endpoint(self, now: float, endpoint: EndpointState, breaker: CircuitBreaker) -> None:
        """Reports what changed at one ejected endpoint."""
        seen = self.ejected.get(endpoint)
        if seen is None or seen.breaker is not breaker:
            mark = self.mark_by_id.get(endpoint.id)
            if mark is None:
                return
            seen = self.ejected[endpoint] = EjectedEndpoint(
                breaker, mark, self.start(endpoint), breaker.failing_since, breaker.failing_since, False
            )
            if breaker.trial_due or now - breaker.failing_since > NEW_EJECTION_AGE:
                due = now if breaker.trial_due else breaker.failing_since + FailoverTable.TRIAL_DELAY
                self.evidence.on_inherited_ejection(now, mark, seen.start, breaker.failing_since, due)
            else:
                self.evidence.on_ejected(
                    now, mark, seen.start, endpoint.consecutive_failures >= DEAD_FAILURES
                )
        if breaker.in_trial and not seen.on_trial:
            self.evidence.on_trial_sent(now, seen.mark)
        elif not breaker.in_trial and breaker.failing_since != seen.since:
            self.evidence.on_trial_failed(now, seen.mark)
        seen.since, seen.on_trial = breaker.failing_since, breaker.in_trial

    # Decisions of the evidence.

    def plan(self, now: float, endpoint: EndpointState, due: float) -> None:
        """Sets when the next trial of an ejected endpoint is due, unless one is under way."""
        breaker = endpoint.breaker
        if breaker is not None and not breaker.in_trial:
            breaker.failing_since, breaker.trial_due = due - FailoverTable.TRIAL_DELAY, now > due
            if endpoint in self.ejected:
                self.ejected[endpoint].since = breaker.failing_since

    def warn(self, endpoint: EndpointState, on: bool) -> None:
        """Sets whether one failure is enough to eject the endpoint."""
        endpoint.is_suspected = on

    def shared_key_share(self, key: str, own_share: float) -> float:
        """Returns the share of the traffic that a key counts with.

        Guards against a key that is hot in the fleet while no sidecar sees it twice. Unsuitable if the
        reporters' traffic is unlike that of this sidecar.
        """
        shares = self.evidence.hot_key_shares
        reported_share = shares.get(mark_of(key), 0.0) if shares else 0.0
        if reported_share <= own_share:
            return own_share
        if self.balancer.request_rate * self.balancer.latency.median < 1.0:
            reported_share *= UNLOADED_FACTOR
        return min(reported_share, 1.0)


class BalancerWatches:
    """The balancers of one sidecar, as the evidence sees them: one, or one for each side of a canary."""

    def __init__(self) -> None:
        self.watches: list[BalancerWatch] = []

    def check(self, now: float) -> bool:
        """Checks all balancers; returns whether any endpoint is ejected."""
        return any([watch.check(now) for watch in self.watches])

    def find(self, mark: int) -> tuple[BalancerWatch, EndpointState] | None:
        """Returns the endpoint and its balancer's watch, None if it is not listed."""
        return next(
            (
                (watch, endpoint)
                for watch in self.watches
                if (endpoint := watch.endpoints().get(mark)) is not None
            ),
            None,
        )

    def ready(self) -> int:
        """Returns the number of ready endpoints."""
        return sum(len(watch.balancer.registry.ready) for watch in self.watches)

    def start_of(self, mark: int) -> int | None:
        """Returns the endpoint's start in milliseconds, None if it is not listed."""
        found = self.find(mark)
        return None if found is None else found[0].start(found[1])

    def plan(self, now: float, mark: int, due: float) -> None:
        """Sets when the next trial of an ejected endpoint is due."""
        if found := self.find(mark):
            found[0].plan(now, found[1], due)

    def warn(self, now: float, mark: int, on: bool) -> None:
        """Sets whether one own failure is enough to eject the endpoint."""
        if found := self.find(mark):
            found[0].warn(found[1], on)

    def key_counts(self) -> tuple[int, list[tuple[int, int]]]:
        """Returns the number of recent requests, and the busiest keys among them with their counts."""
        counts: dict[str, float] = {}
        for watch in self.watches:
            for key, n in watch.balancer.popularity.counts.items():
                counts[key] = counts.get(key, 0.0) + n
        busiest = sorted(counts, key=lambda key: (-counts[key], key))[:MAX_KEYS]
        total = round(sum(watch.balancer.popularity.total for watch in self.watches))
        return total, [(mark_of(key), round(counts[key])) for key in busiest]

    def attempts_in_flight(self) -> list[tuple[int, int]]:
        """Returns attempts in flight by endpoint, the largest numbers first."""
        out = [
            (len(endpoint.in_flight), endpoint.id)
            for watch in self.watches
            for endpoint in watch.balancer.registry.active
            if endpoint.in_flight
        ]
        return [(mark_of(endpoint_id), n) for n, endpoint_id in sorted(out, reverse=True)[:MAX_HELD]]
