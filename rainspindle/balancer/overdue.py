"""Overdue attempts: finds connections and endpoints that no longer answer."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..lazy_dataclasses import dataclass
from .config import BalancerConfig
from .host import BalancerHost, TrafficClass
from .latency import LatencyTracker
from .outlier_detection import OutlierDetector
from .request import Attempt
from .slow_start import SlowStart


@dataclass(eq=False, slots=True)
class OverdueMonitor:
    """Checks attempts that have taken several times as long as slow attempts do.

    Attributes:
        config: The configuration.
        host: Cancels attempts.
        latency: Gives the response time of slow attempts.
        slow_start: Says how much longer a warming endpoint may take.
        outliers: Counts a missing response as a failure.
        is_within_retry_budget: Returns whether a request of the class may have one more attempt now.
    """

    SLOW_FACTOR = 3  # an attempt is overdue after this multiple of the slow response time

    config: BalancerConfig
    host: BalancerHost
    latency: LatencyTracker
    slow_start: SlowStart
    outliers: OutlierDetector
    is_within_retry_budget: Callable[[TrafficClass, float], bool]

    def check(self, now: float, attempts: Iterable[Attempt], classes: Iterable[TrafficClass]) -> None:
        """Checks the attempts in flight, which must come oldest first."""
        overdue_after = self.SLOW_FACTOR * self.latency.slow
        if not overdue_after:  # no response yet
            overdue_after = max(traffic_class.latency_objective for traffic_class in classes)
        for attempt in list(attempts):
            if attempt.body_incomplete or attempt.response_started:
                continue
            if now - attempt.sent_at < overdue_after:
                break
            self._check_overtaken(attempt, now)
            self._check_silent(attempt, now, overdue_after)

    def _check_overtaken(self, attempt: Attempt, now: float) -> None:
        """Handles an attempt whose connection seems dead, since a later one at its endpoint was answered.

        The attempt no longer counts as in flight at the endpoint, and may be cancelled and retried.
        """
        endpoint = attempt.endpoint
        if attempt.overtaken or endpoint.latest_answered_send <= attempt.sent_at:
            return
        attempt.overtaken = True
        request = attempt.request
        endpoint.in_flight.pop((request.id, attempt.number), None)
        if (
            self.config.can_cancel
            and request.is_idempotent
            and request.attempt_count == 1
            and request.objective_at - now > self.latency.slow
            and self.is_within_retry_budget(request.traffic_class, now)
        ):
            self.host.cancel_attempt(request.id, attempt.number)

    def _check_silent(self, attempt: Attempt, now: float, overdue_after: float) -> None:
        """Counts the attempt as a failure if its endpoint has answered no attempt since it was sent."""
        endpoint = attempt.endpoint
        if attempt.overdue or endpoint.breaker or endpoint.last_response_at >= attempt.sent_at:
            return
        if (now - attempt.sent_at) * self.slow_start.capacity(endpoint, now) >= overdue_after:
            attempt.overdue = True
            self.outliers.record_outcome(endpoint, 1.0, now, "silent")
