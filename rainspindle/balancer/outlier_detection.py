"""Outlier detection: an endpoint that fails more than the others is ejected, and readmitted by a trial."""

from __future__ import annotations

from .endpoint import EndpointState
from .endpoint_registry import EndpointRegistry
from .failover import CircuitBreaker
from .host import BalancerHost


class OutlierDetector:
    """Runs the design's keyless rule for each endpoint, on all of its outcomes."""

    MIN_FAILURES = 2  # more eject an endpoint, if they also exceed the failure ratio
    FAILURE_RATIO = 0.25  # or twice that of all endpoints,
    MAX_FAILURE_RATIO = 0.75  # but no more than this
    CONSECUTIVE_FAILURES = 8  # eject whatever the ratio
    SUSPECTED_MIN_FAILURES = 0  # the same for an endpoint that peers report as failing
    SUSPECTED_CONSECUTIVE_FAILURES = 1
    OVERLOADED_WEIGHT = 0.3  # of a failure, for an attempt that was rejected as overload

    def __init__(self, host: BalancerHost, registry: EndpointRegistry) -> None:
        self._host = host
        self._registry = registry

    def record_outcome(self, endpoint: EndpointState, failure_weight: float, now: float, cause: str) -> None:
        """Counts an outcome, and ejects the endpoint if it is an outlier.

        Args:
            endpoint: Where the attempt was.
            failure_weight: 0 for a success, 1 for a failure, between for what tells less.
            now: The time.
            cause: What the log line names as the last failure.
        """
        endpoint.failure_counts.record(failure_weight)
        endpoint.consecutive_failures += failure_weight
        if failure_weight and not endpoint.breaker and self.should_eject(endpoint):
            self._eject(endpoint, now, cause)

    def should_eject(self, endpoint: EndpointState) -> bool:
        """Returns whether the endpoint fails more often than all do."""
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
        """Closes the endpoint's circuit after a trial that was answered within `latency` seconds."""
        self._host.log(f"{endpoint.id} readmitted: trial answered in {latency:.3f} s")
        endpoint.readmit(now)

    def _allowed_ratio(self) -> float:
        """Returns the ratio above which an endpoint is an outlier.

        Guards against ejecting half a fleet whose endpoints all fail a part of what they get. Ejected ones
        count too, or each in service would seem alone with its failures.
        """
        counts = [endpoint.failure_counts for endpoint in self._registry.active]
        failures = sum(one.total_failures for one in counts)
        usual = failures / max(1, sum(one.total_outcomes for one in counts))
        return max(self.FAILURE_RATIO, min(2 * usual, self.MAX_FAILURE_RATIO))

    def _eject(self, endpoint: EndpointState, now: float, cause: str) -> None:
        endpoint.breaker = CircuitBreaker(now)
        counts = endpoint.failure_counts
        self._host.log(
            f"{endpoint.id} ejected: {counts.total_failures:.0f} of {counts.total_outcomes} failed, "
            f"last {cause}, {len(endpoint.in_flight)} in flight"
        )
