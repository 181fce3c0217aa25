"""Endpoint selection: where the next attempt of a request goes."""

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
    """Where an attempt goes, and the circuit breaker for which it is the trial."""

    endpoint: EndpointState
    trial: CircuitBreaker | None = None


@dataclass(frozen=True, slots=True)
class SelectionContext:
    """One selection: the request, the time, and what an endpoint has in flight in the mean."""

    request: RequestState
    now: float
    mean_in_flight: float

    @property
    def is_retry(self) -> bool:
        """Whether the request has had an attempt."""
        return self.request.attempt_count > 0


@dataclass(eq=False, slots=True)
class EndpointSelector:
    """Selects an endpoint by the key's order, with the departures that docs/design.md lists.

    Attributes:
        sidecar_count: All sidecars of the deployment.
        registry: The known endpoints.
        failover: The failover table.
        ranking: The order of endpoints by key.
        popularity: How much of the traffic a key makes.
        capacity: Whether an endpoint may get one more attempt.
        shedder: Whether an endpoint is too loaded.
        latency: What attempts usually take.
        random: The source of chance.
    """

    MAX_DEPTH = 6  # endpoints in service that are looked at, or
    MAX_DEPTH_SHARE = 3  # one in so many, where that is more
    TRIAL_PATIENCE = 15.0  # seconds until a non-idempotent request may be an endpoint's trial
    ENABLED_PATIENCE = 1.0  # seconds until one may be the first at an endpoint that was enabled again
    IDLE_INTERVAL = 1.0  # seconds after which an idle endpoint may be tried whatever is predicted
    IDLE_INTERVAL_PER_SIDECAR = 0.25  # the same for each sidecar, where that is more
    MAX_PREDICTED = 0.5  # of the time left, up to which an endpoint is taken at once

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
        """Returns where the request's next attempt goes, or None where no endpoint may take it in time."""
        ranked = self.ranking.order(request.key)
        total = attempts_in_flight + self.capacity.peer_load.total
        context = SelectionContext(request, now, total / len(ranked) if ranked else 0.0)
        entry = self._entry(request.key)
        if entry is not None and self._is_key_trial(context, entry):
            return Selection(entry.first, entry)  # step 5: the key's next request alone is the trial
        order = self._order(request.key, entry, ranked)
        return self._enabled_again(context, order) or self._first_acceptable(context, order)

    def _entry(self, key: str) -> FailoverEntry[EndpointState] | None:
        """Returns the key's entry; step 4: it drops when its current endpoint is not ready."""
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
            and self._is_open(context, first)
        )

    def _order(
        self, key: str, entry: FailoverEntry[EndpointState] | None, ranked: list[EndpointState]
    ) -> list[EndpointState]:
        if entry is not None and self.failover.has_moved(entry):
            untried = [endpoint for endpoint in ranked if endpoint not in entry.tried]
            return [entry.current, *untried]
        return self._rotated(key, ranked)

    def _rotated(self, key: str, ranked: list[EndpointState]) -> list[EndpointState]:
        """Returns the order, rotated by chance for a key that makes more than one endpoint's part.

        Guards against a hot key of which no sidecar has enough for the skip line to act.
        """
        share = self.popularity.share(key)
        first = int(self.random.fraction() * share * len(ranked) / self.capacity.SKIP_FACTOR)
        return ranked[first:] + ranked[:first]

    def _is_open(self, context: SelectionContext, endpoint: EndpointState) -> bool:
        """Returns whether the endpoint may get this request's next attempt at all."""
        request = context.request
        return (
            endpoint not in request.tried
            and request.may_run_at(endpoint.listed)
            and not (context.is_retry and endpoint.retry_credit < 1)
            and self.capacity.has_room(endpoint, context.mean_in_flight, context.now)
        )

    def _enabled_again(self, context: SelectionContext, order: Sequence[EndpointState]) -> Selection | None:
        """Returns an endpoint that was enabled and has got nothing since.

        Guards against one that waits for its own keys: the next request that may go there does.
        """
        for endpoint_id, enabled_at in self.capacity.slow_start.enabled_at.items():
            endpoint = self.registry.by_id.get(endpoint_id)
            if (
                endpoint is not None
                and endpoint in order
                and endpoint.last_sent_at < enabled_at
                and not context.is_retry
                and self._is_open(context, endpoint)
                and self._may_risk(context, enabled_at, self.ENABLED_PATIENCE)
            ):
                return Selection(endpoint)
        return None

    def _first_acceptable(
        self, context: SelectionContext, order: Sequence[EndpointState]
    ) -> Selection | None:
        """Returns the first endpoint that is likely to respond in time, or else the quickest one."""
        remaining = context.request.objective_at - context.now
        fleet = self.shedder.fleet_times()
        quickest: Selection | None = None
        quickest_time = math.inf
        examined = 0
        for endpoint in order:
            if examined >= max(self.MAX_DEPTH, len(order) / self.MAX_DEPTH_SHARE):
                break
            if not endpoint.breaker:
                examined += 1
            if endpoint.listed.status is not EndpointStatus.READY or not self._is_open(context, endpoint):
                continue
            if endpoint.breaker:
                if self._may_try(context, endpoint.breaker):
                    return Selection(endpoint, endpoint.breaker)
                continue
            if self._is_passed_over(context, endpoint, fleet):
                continue
            predicted = endpoint.predicted_time(context.now, self.latency.median)
            if predicted <= remaining * self.MAX_PREDICTED or self._is_idle(context, endpoint):
                return Selection(endpoint)
            if predicted < quickest_time and predicted <= remaining:
                quickest = Selection(endpoint)
                quickest_time = predicted
        return quickest

    def _is_passed_over(self, context: SelectionContext, endpoint: EndpointState, fleet: FleetTimes) -> bool:
        """Returns whether the endpoint does not take this key yet, or is too loaded for the request."""
        request = context.request
        if not self.capacity.slow_start.takes_key(endpoint, request.key, context.now):
            return True
        return self.shedder.sheds(request, endpoint, fleet, context.now)

    def _may_try(self, context: SelectionContext, breaker: CircuitBreaker) -> bool:
        """Returns whether the request may be the trial of an ejected endpoint.

        Guards against one that stays ejected for good where only non-idempotent requests come.
        """
        return (
            breaker.trial_due
            and not context.is_retry
            and self._may_risk(context, breaker.failing_since, self.TRIAL_PATIENCE)
        )

    def _may_risk(self, context: SelectionContext, since: float, patience: float) -> bool:
        """Returns whether the request may meet an endpoint that may fail: a non-idempotent one only late."""
        return not context.request.is_non_idempotent or context.now - since > patience

    def _is_idle(self, context: SelectionContext, endpoint: EndpointState) -> bool:
        """Returns whether the endpoint may be tried whatever is predicted.

        Guards against a lock-out by old response times: one attempt may ask again where none is in flight.
        """
        interval = max(self.IDLE_INTERVAL, self.sidecar_count * self.IDLE_INTERVAL_PER_SIDECAR)
        return (
            not endpoint.in_flight and context.now - endpoint.last_sent_at > interval and not context.is_retry
        )
