"""Outlier detection: ejects an endpoint that fails more than the others; a trial readmits it."""

from __future__ import annotations

from .endpoint import EndpointState
from .endpoint_registry import EndpointRegistry
from .failover import CircuitBreaker
from .host import BalancerHost


class OutlierDetector:
    """Applies the design's rule for requests without a key to each endpoint, on all of its outcomes."""

    MIN_FAILURES = 2  # an endpoint with more is ejected if they also exceed the allowed ratio
    FAILURE_RATIO = 0.25  # allowed ratio, or twice the ratio of all endpoints if that is more,
    MAX_FAILURE_RATIO = 0.75  # but at most this
    CONSECUTIVE_FAILURES = 8  # this many eject an endpoint whatever the ratio
    SUSPECTED_MIN_FAILURES = 0  # MIN_FAILURES for an endpoint that peers report as failing
    SUSPECTED_CONSECUTIVE_FAILURES = 1  # CONSECUTIVE_FAILURES for such an endpoint
    OVERLOADED_WEIGHT = 0.3  # failure weight of an attempt that the endpoint rejected as overload

    def __init__(self, host: BalancerHost, registry: EndpointRegistry) -> None:
        self._host = host
        self._registry = registry

    def record_outcome(self, endpoint: EndpointState, failure_weight: float, now: float, cause: str) -> None:
        """Counts an outcome, and ejects the endpoint if it is an outlier.

        Args:
            endpoint: The endpoint of the attempt.
            failure_weight: 0 for a success, 1 for a failure, in between for weaker evidence of a failure.
            now: The current time.
            cause: The last failure, as the log line names it.
        """
        endpoint.failure_counts.record(failure_weight)
        endpoint.consecutive_failures += failure_weight
        if failure_weight and not endpoint.breaker and self.should_eject(endpoint):
            self._eject(endpoint, now, cause)

    def should_eject(self, endpoint: EndpointState) -> bool:
        """Returns whether the endpoint fails more often than the endpoints do in general."""
        min_failures = self.MIN_FAILURES
        consecutive = self.CONSECUTIVE_FAILURES
        if endpoint.is_suspected:
            min_failures = self.SUSPECTED_MIN_FAILURES
            consecutive = self.SUSPECTED_CONSECUTIVE_FAILURES
        failures = endpoint.failure_counts.total_failures
        if failures <= min_failures:
            return False
        allowed = self._allowed_ratio() * endpoint.failure_counts.total_outcomes
        return failures > allowed or endpoint.consecutive_failures >= consecutive

    def readmit(self, endpoint: EndpointState, now: float, latency: float) -> None:
        """Closes the endpoint's circuit after a trial that was answered in `latency` seconds."""
        self._host.log(f"{endpoint.id} readmitted: trial answered in {latency:.3f} s")
        endpoint.readmit(now)

    def _allowed_ratio(self) -> float:
        """Returns the ratio above which an endpoint is an outlier.

        It rises with the failure ratio of all endpoints, so that half of them are not ejected when all fail a
        part of their requests. Ejected endpoints count too, else each remaining one would seem to be the only
        one that fails.
        """
        counts = [endpoint.failure_counts for endpoint in self._registry.active]
        failures = sum(count.total_failures for count in counts)
        usual = failures / max(1, sum(count.total_outcomes for count in counts))
        return max(self.FAILURE_RATIO, min(2 * usual, self.MAX_FAILURE_RATIO))

    def _eject(self, endpoint: EndpointState, now: float, cause: str) -> None:
        endpoint.breaker = CircuitBreaker(now)
        counts = endpoint.failure_counts
        self._host.log(
            f"{endpoint.id} ejected: {counts.total_failures:.0f} of {counts.total_outcomes} failed, "
            f"last {cause}, {len(endpoint.in_flight)} in flight"
        )
