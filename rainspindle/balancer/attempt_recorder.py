"""Updates what is known of an endpoint and a key when an attempt ends."""

from __future__ import annotations

from ..histogram import Histogram
from ..lazy_dataclasses import dataclass
from .capacity import EndpointCapacity
from .endpoint import EndpointState
from .failover import FailoverTable
from .host import AttemptOutcome
from .latency import LatencyTracker
from .outlier_detection import OutlierDetector
from .ranking import RendezvousRanking
from .request import Attempt


@dataclass(eq=False, slots=True)
class AttemptRecorder:
    """Passes each outcome to the components that learn from it.

    Attributes:
        capacity: Holds the service times to update and the slow start that says how slow a warming endpoint
            may be.
        failover: Counts failures by key.
        latency: Counts response times of all endpoints.
        outliers: Ejects and readmits endpoints.
        ranking: Gives the next endpoint of a key.
    """

    capacity: EndpointCapacity
    failover: FailoverTable[EndpointState]
    latency: LatencyTracker
    outliers: OutlierDetector
    ranking: RendezvousRanking

    def record_response(self, attempt: Attempt, now: float) -> None:
        """Records that the attempt was answered at `now`."""
        endpoint = attempt.endpoint
        latency = now - attempt.sent_at
        objective = attempt.request.traffic_class.latency_objective
        # The latency is scaled to that of a warm endpoint, so that a warming one is not taken for faulty.
        is_late = latency * self.capacity.slow_start.capacity(endpoint, now) > objective
        self._record_time(endpoint, latency, now)
        if self.capacity.shares_load:
            self.capacity.service_times.model_of(endpoint.listed).record(attempt.in_flight_before, latency)
        unloaded_time = endpoint.unloaded_time or self.latency.unloaded or objective
        endpoint.record_response(now, attempt.sent_at, unloaded_time, objective)
        self._close_key(attempt)
        if endpoint.breaker is None:
            failure_weight = 1.0 if is_late and not attempt.overdue else 0.0
            self.outliers.record_outcome(endpoint, failure_weight, now, "late")
        elif attempt.trial is endpoint.breaker:
            if is_late:
                endpoint.breaker.reopen(now)
            else:
                self.outliers.readmit(endpoint, now, latency)

    def record_failure(self, attempt: Attempt, outcome: AttemptOutcome, now: float) -> None:
        """Records that the attempt failed with `outcome`."""
        endpoint = attempt.endpoint
        if outcome is AttemptOutcome.OVERLOADED:
            endpoint.shrink_window(now, attempt.sent_at)
            self.latency.overall.add(attempt.request.traffic_class.latency_objective)
        elif outcome is AttemptOutcome.TIMED_OUT and not self._was_overtaken(attempt):
            endpoint.shrink_window(now, attempt.sent_at)
            # Else only fast responses would be counted.
            self._record_time(endpoint, now - attempt.sent_at, now)
        # A time-out of a long request does not count against an endpoint that has answered others since.
        is_healthy = outcome is AttemptOutcome.TIMED_OUT and endpoint.last_response_at > attempt.sent_at
        if attempt.trial:
            attempt.trial.reopen(now)
        # Requests without a key count for outlier detection alone.
        if attempt.request.has_key and not is_healthy:
            self._record_key_failure(attempt, now)
        if not endpoint.breaker and not attempt.overdue:
            failure_weight = 0.0 if is_healthy else 1.0
            if outcome is AttemptOutcome.OVERLOADED:
                failure_weight = self.outliers.OVERLOADED_WEIGHT
            self.outliers.record_outcome(endpoint, failure_weight, now, outcome.value)

    def _was_overtaken(self, attempt: Attempt) -> bool:
        return attempt.overtaken or attempt.endpoint.latest_answered_send > attempt.sent_at

    def _record_time(self, endpoint: EndpointState, seconds: float, now: float) -> None:
        for histogram in self._histograms(endpoint, now):
            histogram.add(seconds)

    def _histograms(self, endpoint: EndpointState, now: float) -> list[Histogram]:
        histograms = [endpoint.latency, self.latency.overall]
        if self.capacity.slow_start.age(endpoint, now) is None:
            histograms.append(self.latency.warm)
        return histograms

    def _close_key(self, attempt: Attempt) -> None:
        key = attempt.request.key
        if attempt.trial and self.failover.entries.get(key) is attempt.trial:
            del self.failover.entries[key]

    def _record_key_failure(self, attempt: Attempt, now: float) -> None:
        request = attempt.request

        def next_untried(tried: list[EndpointState]) -> EndpointState | None:
            order = self.ranking.order(request.key)
            return next(
                (endpoint for endpoint in order if endpoint not in tried and not endpoint.breaker), None
            )

        self.failover.record_failure(request.key, attempt.endpoint, request.is_idempotent, now, next_untried)
