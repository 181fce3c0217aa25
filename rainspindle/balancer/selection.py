"""Endpoint selection: chooses the endpoint of a request's next attempt."""

from __future__ import annotations

import math
from collections.abc import Sequence

from ..lazy_dataclasses import dataclass
from .capacity import EndpointCapacity
from .endpoint import EndpointState
from .endpoint_registry import EndpointRegistry
from .failover import CircuitBreaker, FailoverEntry, FailoverTable
from .host import EndpointStatus
from .key_popularity import KeyPopularity
from .latency import LatencyTracker
from .load_shedding import FleetTimes, LoadShedder
from .random_sequence import RandomSequence
from .ranking import RendezvousRanking
from .request import RequestState


@dataclass(frozen=True, slots=True)
class Selection:
    """The endpoint of an attempt, and the circuit breaker for which it is the trial, if any."""

    endpoint: EndpointState
    trial: CircuitBreaker | None = None


@dataclass(frozen=True, slots=True)
class SelectionContext:
    """The input of one selection: the request, the time, and the mean attempts in flight per endpoint."""

    request: RequestState
    now: float
    mean_in_flight: float

    @property
    def is_retry(self) -> bool:
        """Whether the request has already had an attempt."""
        return self.request.attempt_count > 0


@dataclass(eq=False, slots=True)
class EndpointSelector:
    """Selects an endpoint in the key's order, with the exceptions that docs/design.md lists.

    Attributes:
        sidecar_count: The number of sidecars in the deployment.
        registry: The known endpoints.
        failover: The failover table.
        ranking: The order of endpoints by key.
        popularity: Each key's share of the traffic.
        capacity: Decides whether an endpoint may get one more attempt.
        shedder: Decides whether an endpoint is too loaded.
        latency: The usual response times.
        random: The source of random fractions.
    """

    MAX_DEPTH = 6  # the most endpoints in service that are examined,
    MAX_DEPTH_SHARE = 3  # or all of them divided by this, if that is more
    TRIAL_PATIENCE = 15.0  # seconds until a non-idempotent request may be an endpoint's trial
    ENABLED_PATIENCE = 1.0  # seconds until one may be the first request of a re-enabled endpoint
    IDLE_INTERVAL = 1.0  # seconds after which an idle endpoint may be tried whatever its predicted time
    IDLE_INTERVAL_PER_SIDECAR = 0.25  # the same per sidecar of the deployment, if that is more
    MAX_PREDICTED = 0.5  # part of the time left; an endpoint predicted within it is chosen at once

    sidecar_count: int
    registry: EndpointRegistry
    failover: FailoverTable[EndpointState]
    ranking: RendezvousRanking
    popularity: KeyPopularity
    capacity: EndpointCapacity
    shedder: LoadShedder
    latency: LatencyTracker
    random: RandomSequence

    def select(self, request: RequestState, now: float, attempts_in_flight: int) -> Selection | None:
        """Returns where the request's next attempt goes, or None if no endpoint can take it in time."""
        ranked = self.ranking.order(request.key)
        total = attempts_in_flight + self.capacity.peer_load.total
        context = SelectionContext(request, now, total / len(ranked) if ranked else 0.0)
        entry = self._entry(request.key)
        if entry is not None and self._is_key_trial(context, entry):
            return Selection(entry.first, entry)  # step 5 of the design: one request of the key is the trial
        order = self._order(request.key, entry, ranked)
        return self._reenabled(context, order) or self._first_acceptable(context, order)

    def _entry(self, key: str) -> FailoverEntry[EndpointState] | None:
        """Returns the key's failover entry; drops it if its current endpoint is not ready (step 4)."""
        entry = self.failover.entries.get(key)
        if entry is not None and entry.current.listed.status is not EndpointStatus.READY:
            del self.failover.entries[key]
            return None
        return entry

    def _is_key_trial(self, context: SelectionContext, entry: FailoverEntry[EndpointState]) -> bool:
        first = entry.first
        return (
            entry.trial_due
            and not context.is_retry
            and first.listed.status is EndpointStatus.READY
            and not first.breaker
            and self._is_permitted(context, first)
        )

    def _order(
        self, key: str, entry: FailoverEntry[EndpointState] | None, ranked: list[EndpointState]
    ) -> list[EndpointState]:
        if entry is not None and self.failover.has_moved(entry):
            untried = [endpoint for endpoint in ranked if endpoint not in entry.tried]
            return [entry.current, *untried]
        return self._rotated(key, ranked)

    def _rotated(self, key: str, ranked: list[EndpointState]) -> list[EndpointState]:
        """Returns the order, randomly rotated for a key whose share exceeds that of one endpoint.

        Without this a hot key would overload its first endpoint when no sidecar alone has enough of the key's
        requests in flight to skip that endpoint.
        """
        share = self.popularity.share(key)
        first = int(self.random.fraction() * share * len(ranked) / self.capacity.SKIP_FACTOR)
        return ranked[first:] + ranked[:first]

    def _is_permitted(self, context: SelectionContext, endpoint: EndpointState) -> bool:
        """Returns whether the endpoint may get the request's next attempt, whatever its predicted time."""
        request = context.request
        return (
            endpoint not in request.tried
            and request.may_run_at(endpoint.listed)
            and not (context.is_retry and endpoint.retry_credit < 1)
            and self.capacity.has_room(endpoint, context.mean_in_flight, context.now)
        )

    def _reenabled(self, context: SelectionContext, order: Sequence[EndpointState]) -> Selection | None:
        """Returns an endpoint that was enabled again and has had no attempt since, if there is one.

        Such an endpoint does not have to wait for its own keys: the next permitted request goes there.
        """
        for endpoint_id, enabled_at in self.capacity.slow_start.enabled_at.items():
            endpoint = self.registry.by_id.get(endpoint_id)
            if (
                endpoint is not None
                and endpoint in order
                and endpoint.last_sent_at < enabled_at
                and not context.is_retry
                and self._is_permitted(context, endpoint)
                and self._may_take_risk(context, enabled_at, self.ENABLED_PATIENCE)
            ):
                return Selection(endpoint)
        return None

    def _first_acceptable(
        self, context: SelectionContext, order: Sequence[EndpointState]
    ) -> Selection | None:
        """Returns the first endpoint that is likely to respond in time, else the fastest predicted one."""
        remaining = context.request.objective_at - context.now
        fleet = self.shedder.fleet_times()
        fastest: Selection | None = None
        fastest_time = math.inf
        examined = 0
        for endpoint in order:
            if examined >= max(self.MAX_DEPTH, len(order) / self.MAX_DEPTH_SHARE):
                break
            if not endpoint.breaker:
                examined += 1
            if endpoint.listed.status is not EndpointStatus.READY or not self._is_permitted(
                context, endpoint
            ):
                continue
            if endpoint.breaker:
                if self._may_be_trial(context, endpoint.breaker):
                    return Selection(endpoint, endpoint.breaker)
                continue
            if self._is_passed_over(context, endpoint, fleet):
                continue
            predicted = endpoint.predicted_time(context.now, self.latency.median)
            if predicted <= remaining * self.MAX_PREDICTED or self._is_idle(context, endpoint):
                return Selection(endpoint)
            if predicted < fastest_time and predicted <= remaining:
                fastest = Selection(endpoint)
                fastest_time = predicted
        return fastest

    def _is_passed_over(self, context: SelectionContext, endpoint: EndpointState, fleet: FleetTimes) -> bool:
        """Returns whether the endpoint does not get this key yet, or is too loaded for the request."""
        request = context.request
        if not self.capacity.slow_start.takes_key(endpoint, request.key, context.now):
            return True
        return self.shedder.sheds(request, endpoint, fleet, context.now)

    def _may_be_trial(self, context: SelectionContext, breaker: CircuitBreaker) -> bool:
        """Returns whether the request may be the trial of an ejected endpoint.

        A non-idempotent request may be the trial after a delay, else an endpoint that gets no other requests
        would stay ejected forever.
        """
        return (
            breaker.trial_due
            and not context.is_retry
            and self._may_take_risk(context, breaker.failing_since, self.TRIAL_PATIENCE)
        )

    def _may_take_risk(self, context: SelectionContext, since: float, patience: float) -> bool:
        """Returns whether the request may go to an endpoint that is likely to fail.

        A non-idempotent request may do so only when over `patience` seconds have passed after `since`.
        """
        return not context.request.is_non_idempotent or context.now - since > patience

    def _is_idle(self, context: SelectionContext, endpoint: EndpointState) -> bool:
        """Returns whether the endpoint is idle and may be tried whatever its predicted time.

        Without this old response times could exclude an endpoint forever: one attempt may probe it again when
        none is in flight.
        """
        interval = max(self.IDLE_INTERVAL, self.sidecar_count * self.IDLE_INTERVAL_PER_SIDECAR)
        return (
            not endpoint.in_flight and context.now - endpoint.last_sent_at > interval and not context.is_retry
        )
