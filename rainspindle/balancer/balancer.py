"""The balancer: one method for each event, which passes it to the component that decides."""

from __future__ import annotations

from collections.abc import Sequence

from .attempt_recorder import AttemptRecorder
from .capacity import EndpointCapacity
from .config import BalancerConfig
from .endpoint import EndpointState
from .endpoint_registry import EndpointRegistry
from .failover import FailoverTable
from .host import (
    NEVER_EXECUTED,
    AttemptEnd,
    AttemptOutcome,
    BalancerHost,
    EndpointListUpdate,
    IncomingRequest,
    LearnedState,
    Timer,
    TrafficClass,
)
from .key_popularity import KeyPopularity
from .latency import LatencyTracker
from .list_backoff import ListBackoff
from .load_publisher import LoadPublisher
from .load_shedding import LoadShedder, WeightRanking
from .outlier_detection import OutlierDetector
from .overdue import OverdueMonitor
from .peer_load import PeerLoad
from .quotas import TenantQuotas
from .random_sequence import RandomSequence
from .ranking import RendezvousRanking
from .request import Attempt, RequestState
from .retry_budget import RetryBudget
from .selection import EndpointSelector, Selection
from .service_time import ServiceTimes
from .slow_start import SlowStart
from .sweep import sweep_endpoints, sweep_phase


class Balancer:
    """All decisions of one sidecar, from one start of its process to the next.

    Attributes:
        config: The configuration.
        traffic_classes: The configured classes, and those added for canaries.
        registry: The known endpoints.
        failover: The failover table (steps 2 to 5 of the design).
        latency: Response times over all endpoints.
        slow_start: Limits the attempts that warming endpoints get.
        service_times: The service time model of each machine kind.
        peer_load: The load and learned state that the other sidecars published.
        capacity: Decides whether an endpoint may get one more attempt.
        popularity: Each key's share of the traffic.
        quotas: Tenants' request rates against their allowances.
        weights: Ranks requests by priority weight.
        shedder: Load shedding.
        ranking: The order of endpoints by key.
        outliers: Outlier detection.
        retry_budget: The retry budget, or None if none is configured.
        requests: Requests that have no final response yet, by id.
        attempts: Attempts in flight, by request id and attempt number, the oldest first.
        request_rate: Requests per second.
        swept_at: The time of the last sweep.
        sweep_count: The number of sweeps so far.
    """

    TICK = 0.1  # seconds between checks for overdue attempts
    SWEEP = 1.0  # seconds between sweeps
    FLEET_QUEUE = 1.0  # requests that all sidecars together may queue at one endpoint
    RETRY_AFTER_SHARE = 12  # the shortest Retry-After is the latency objective divided by this
    RETRY_AFTER_FACTOR = 3  # a retry may be in time if this many times Retry-After is left

    def __init__(self, host: BalancerHost, config: BalancerConfig, seed: int, now: float) -> None:
        self.config = config
        self.traffic_classes = list(config.traffic_classes)
        self._host = host
        self._random = RandomSequence(seed)
        self._max_weight = max(traffic_class.priority_weight for traffic_class in config.traffic_classes)
        self._make_endpoint_state()
        self._make_request_state()
        self._make_decisions()
        self.requests = dict[int, RequestState]()
        self.attempts = dict[tuple[int, int], Attempt]()
        self.request_rate = 0.0
        self._requests_since_sweep = 0
        self.swept_at = now
        self.sweep_count = 0
        self._list_backoff = ListBackoff(config.list_poll_interval, self._random.fraction)
        if config.watch_list:
            host.watch_endpoint_list()
        host.schedule_timer(self.TICK, Timer.TICK)
        if config.share_load:
            self._publisher.start()

    def _make_endpoint_state(self) -> None:
        config = self.config
        self.registry = EndpointRegistry(self._host, self.FLEET_QUEUE / config.sidecar_count)
        self.failover = FailoverTable[EndpointState]()
        self.latency = LatencyTracker()
        self.slow_start = SlowStart(config.slow_start, config.sidecar_count, self._random)
        self.service_times = ServiceTimes()
        self.peer_load = PeerLoad()
        self.capacity = EndpointCapacity(
            config.share_load, self.peer_load, self.service_times, self.slow_start
        )

    def _make_request_state(self) -> None:
        config = self.config
        self.popularity = KeyPopularity()
        self.quotas = TenantQuotas(config.tenant_allowances, config.excess_weight, self._random)
        self.weights = WeightRanking(self._random)
        self.retry_budget: RetryBudget | None = None
        if limits := config.retry_limits:
            self.retry_budget = RetryBudget(limits.free, limits.share, limits.window)

    def _make_decisions(self) -> None:
        config = self.config
        self.shedder = LoadShedder(self.capacity, self.latency)
        self.ranking = RendezvousRanking(config, self.registry, self.service_times)
        self.outliers = OutlierDetector(self._host, self.registry)
        self._selector = EndpointSelector(
            config.sidecar_count,
            self.registry,
            self.failover,
            self.ranking,
            self.popularity,
            self.capacity,
            self.shedder,
            self.latency,
            self._random,
        )
        self._recorder = AttemptRecorder(
            self.capacity, self.failover, self.latency, self.outliers, self.ranking
        )
        self._overdue = OverdueMonitor(
            config, self._host, self.latency, self.slow_start, self.outliers, self._is_within_retry_budget
        )
        self._publisher = LoadPublisher(self._host, self.registry, config.sidecar_count, config.message_price)

    # Events: the endpoint list and operators' commands.

    def on_list_changed(self, now: float, update: EndpointListUpdate) -> None:
        """Applies an update of the endpoint list."""
        if not update.cached and (failures := self._list_backoff.record_success()):
            self._host.log(f"endpoint list restored after {failures} failures")
        if self.config.live_weights:
            self._learn_weights(update)
        self._on_registry_changed(self.registry.apply(now, update))

    def on_list_failed(self) -> None:
        """Schedules the next request for the endpoint list, after a delay that grows with each failure."""
        delay = self._list_backoff.record_failure()
        if self._list_backoff.failures == 1:
            self._host.log("endpoint list unavailable: retrying")
        self._host.schedule_timer(delay, Timer.LIST_RETRY)

    def disable_endpoint(self, endpoint_id: str) -> None:
        """Sends the endpoint nothing until `enable_endpoint`, whatever its listed status."""
        self._on_registry_changed(self.registry.disable(endpoint_id))

    def enable_endpoint(self, now: float, endpoint_id: str) -> None:
        """Reverses `disable_endpoint`. What was learned is dropped, as the endpoint was restarted."""
        if endpoint_id not in self.registry.disabled:
            return
        self.slow_start.record_enabled(endpoint_id, now)
        endpoint = self.registry.enable(endpoint_id)
        if endpoint is not None:
            for key, entry in list(self.failover.entries.items()):
                if endpoint in (entry.first, entry.current):
                    del self.failover.entries[key]
        self.ranking.clear()
        self._host.log(f"{endpoint_id} enabled by order: warming up")

    # Events: requests.

    def on_request_arrived(self, now: float, incoming: IncomingRequest) -> None:
        """Accepts a request, and sends its first attempt or its final response."""
        traffic_class = self.traffic_classes[incoming.class_index]
        weight = traffic_class.priority_weight * self.quotas.record_request(incoming.tenant)
        key = incoming.key or f"{self._random.fraction()}"
        request = RequestState(
            incoming.id,
            traffic_class,
            key,
            now + min(traffic_class.latency_objective, traffic_class.timeout),
            incoming.deadline,
            incoming.is_client_retry,
            bool(incoming.key),
            incoming.body_incomplete,
            shed_draw=self.weights.position(weight),
        )
        self.requests[request.id] = request
        if self.retry_budget:
            self.retry_budget.record_request(now)
        self.popularity.record(key)
        self._requests_since_sweep += 1
        self._continue(request, now)

    def on_body_consumed(self, request_id: int) -> None:
        """Records that a part of the body is no longer kept, so that no further attempt is possible."""
        if request := self.requests.get(request_id):
            request.body_consumed = True

    def on_body_sent(self, now: float, request_id: int, number: int, deadline: float) -> float:
        """Records that the endpoint has the whole body: the objective and the attempt time count from now.

        Returns:
            The attempt's timeout in seconds.
        """
        attempt = self.attempts.get((request_id, number))
        if attempt is None:
            return deadline - now
        request = attempt.request
        traffic_class = request.traffic_class
        request.objective_at = now + min(traffic_class.latency_objective, traffic_class.timeout)
        request.deadline = deadline
        if attempt.body_incomplete:
            attempt.body_incomplete = False
            attempt.sent_at = now
            attempt.endpoint.last_sent_at = now
            del self.attempts[request_id, number]  # reinserted as the latest attempt
            self.attempts[request_id, number] = attempt
            attempt.endpoint.in_flight[request_id, number] = now
        return self._timeout(request, now)

    def on_response_started(self, now: float, request_id: int, number: int) -> None:
        """Records that a response has begun to be forwarded to the client."""
        attempt = self.attempts.get((request_id, number))
        if attempt is not None and not attempt.response_started:
            attempt.response_started = True
            self._recorder.record_response(attempt, now)
            # The endpoint has finished its work, however slowly the client reads.
            attempt.endpoint.in_flight.pop((request_id, number), None)

    def on_attempt_ended(self, now: float, end: AttemptEnd) -> None:
        """Records how an attempt ended, and sends the next attempt or the final response if one is due."""
        attempt = self.attempts.pop((end.request_id, end.number), None)
        if attempt is None:
            return
        request = attempt.request
        attempt.endpoint.in_flight.pop((end.request_id, end.number), None)
        request.in_flight -= 1
        self._record_end(attempt, end, now)
        if end.outcome not in NEVER_EXECUTED and attempt.sent_at < request.executed_since:
            request.executed_since = attempt.sent_at
            request.executed_at = attempt.listed
        if end.request_closed or end.outcome is AttemptOutcome.SERVED:
            self._close(request)
        elif end.request_id in self.requests and not request.in_flight:
            self._continue(request, now)

    def on_client_disconnected(self, request_id: int) -> None:
        """Drops a request whose client has disconnected."""
        if request := self.requests.get(request_id):
            self._close(request)

    def shorten_deadline(self, request_id: int, deadline: float) -> None:
        """Makes the request's deadline `deadline` if that is earlier."""
        if request := self.requests.get(request_id):
            request.deadline = min(request.deadline, deadline)

    # Events: timers, and calls from other components.

    def on_timer(self, now: float, timer: Timer) -> None:
        """Handles a timer that has fired."""
        if timer is Timer.LIST_RETRY:
            self._host.watch_endpoint_list()
        elif timer is Timer.PUBLISH_LOAD:
            self._publisher.publish(now, self.request_rate)
        else:
            self._on_tick(now)

    def on_state_restored(self) -> None:
        """Records that learned state was restored from an earlier process; this counts as one sweep."""
        self.sweep_count += 1
        self.shedder.is_active = True

    def allows_retry(self, traffic_class: TrafficClass, attempts: int, now: float) -> bool:
        """Returns whether a request that has had `attempts` attempts may have one more, here or elsewhere."""
        return attempts < self.config.max_attempts and self._is_within_retry_budget(traffic_class, now)

    def add_traffic_classes(self, classes: Sequence[TrafficClass]) -> int:
        """Adds traffic classes; returns the index of the first."""
        first_index = len(self.traffic_classes)
        self.traffic_classes.extend(classes)
        return first_index

    # A request's attempts and its final response.

    def _continue(self, request: RequestState, now: float) -> None:
        """Sends the next attempt if one is permitted and expected to be in time, else the final response."""
        selection = self._select(request, now)
        if selection is None:
            self._give_up(request, now)
        else:
            self._start_attempt(request, selection, now)

    def _select(self, request: RequestState, now: float) -> Selection | None:
        if request.attempt_count >= self.config.max_attempts or request.body_consumed:
            return None
        if now >= request.deadline or (request.in_flight and not self.config.parallel_attempts):
            return None
        if request.attempt_count and not self._is_within_retry_budget(request.traffic_class, now):
            return None
        if not request.may_retry(now):
            return None
        return self._selector.select(request, now, len(self.attempts))

    def _is_within_retry_budget(self, traffic_class: TrafficClass, now: float) -> bool:
        if self.retry_budget is None:
            return True
        return self.retry_budget.allows(now, traffic_class.priority_weight / (self._max_weight or 1.0))

    def _start_attempt(self, request: RequestState, selection: Selection, now: float) -> None:
        endpoint = selection.endpoint
        if selection.trial:
            selection.trial.begin_trial()
        if request.attempt_count:
            endpoint.retry_credit -= 1
            if self.retry_budget:
                self.retry_budget.record_retry(now)
        self.slow_start.record_attempt(endpoint, now)
        attempt = Attempt(
            request,
            request.attempt_count,
            endpoint,
            endpoint.listed,
            now,
            selection.trial,
            request.body_incomplete,
            self.capacity.in_flight(endpoint),
        )
        self.attempts[request.id, attempt.number] = attempt
        endpoint.last_sent_at = now
        self.registry.mark_active(endpoint)
        if not request.body_incomplete:
            endpoint.in_flight[request.id, attempt.number] = now
        request.attempt_count += 1
        request.in_flight += 1
        request.tried.append(endpoint)
        self._host.send_attempt(request.id, endpoint.id, self._timeout(request, now))

    def _timeout(self, request: RequestState, now: float) -> float:
        remaining = request.deadline - now
        if request.is_non_idempotent:
            return remaining  # an early time-out gains nothing, since the request can't be retried
        in_time = request.objective_at - now
        # A retry after this time-out would hardly be in time, yet endpoints would work on both attempts.
        # Where load is shared, the abandoned attempt would go on at its endpoint, counted by no sidecar.
        if self.config.share_load or in_time <= 0:
            return remaining
        return min(in_time, remaining)

    def _give_up(self, request: RequestState, now: float) -> None:
        """Sends the final response: a rejection if the client may safely retry, else a failure."""
        if request.may_be_rejected():
            self._host.reject(request.id, self._retry_after(request, now))
        else:
            self._host.fail(request.id)
        self._close(request)

    def _retry_after(self, request: RequestState, now: float) -> float:
        """Returns Retry-After in seconds: short if a retry may still be in time, else the longest allowed."""
        objective = request.traffic_class.latency_objective
        soon = max(self.latency.median, objective / self.RETRY_AFTER_SHARE)
        may_be_in_time = request.objective_at - now > self.RETRY_AFTER_FACTOR * soon
        if may_be_in_time and not request.is_client_retry:
            return min(self.config.max_retry_after, soon)
        return self.config.max_retry_after

    def _close(self, request: RequestState) -> None:
        """Removes a request that has its final response, and cancels its attempts in flight."""
        self.requests.pop(request.id, None)
        if not request.in_flight or not self.config.can_cancel:
            return
        attempts = [self.attempts.get((request.id, number)) for number in range(request.attempt_count)]
        for attempt in attempts:
            if attempt is not None and not attempt.response_started:
                self._host.cancel_attempt(request.id, attempt.number)

    def _record_end(self, attempt: Attempt, end: AttemptEnd, now: float) -> None:
        if end.outcome in (AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT):  # carry no information
            if attempt.trial:
                attempt.trial.abandon_trial()
        elif end.outcome is not AttemptOutcome.SERVED:
            self._recorder.record_failure(attempt, end.outcome, now)
        elif not attempt.response_started:
            # The sidecar's own delay, when it is short of CPU, must not count as the endpoint's latency.
            answered_at = max(now - end.reported_late_by, attempt.sent_at)
            self._recorder.record_response(attempt, answered_at)

    # The endpoint list.

    def _learn_weights(self, update: EndpointListUpdate) -> None:
        for line in update.lines:
            if line.weight > 0:
                known = self.registry.by_id.get(line.id)
                in_flight = self.capacity.in_flight(known) if known else 0
                self.service_times.model_of(line).record_weight(line.weight, in_flight)

    def _on_registry_changed(self, ready_changed: bool) -> None:
        if ready_changed or self.config.use_listed_weights:
            self.ranking.clear()

    # Time.

    def _on_tick(self, now: float) -> None:
        self._host.schedule_timer(self.TICK, Timer.TICK)
        self._overdue.check(now, self.attempts.values(), self.traffic_classes)
        if now - self.swept_at >= self.SWEEP:
            self._sweep(now)

    def _sweep(self, now: float) -> None:
        """Ages what was learned, and computes the values that are used until the next sweep."""
        elapsed = now - self.swept_at
        self.slow_start.learn_warm_rate(self.registry.ready, now, elapsed)
        self.request_rate = (self.request_rate + self._requests_since_sweep / elapsed) / 2
        self._requests_since_sweep = 0
        self.weights.sweep()
        if self.config.share_load:
            self._learn_from_peers(now, elapsed)
        self.failover.sweep(now)
        self.latency.sweep()
        self.sweep_count += 1
        self.shedder.is_active = True
        phase = sweep_phase(self.sweep_count)
        sweep_endpoints(self.registry, now, elapsed, phase)
        self.swept_at = now
        if phase.halve_times:
            self.latency.forget(even_few=phase.rotate_counts)

    def _learn_from_peers(self, now: float, elapsed: float) -> None:
        self.peer_load.sweep(now)
        self.quotas.sweep(elapsed, self.peer_load.request_rates())
        if self.service_times.learn(self.peer_load.kind_estimates()):
            self.ranking.clear()
        self._host.publish_learned_state(
            LearnedState(tuple(self.quotas.rates), self.service_times.own_estimates())
        )
