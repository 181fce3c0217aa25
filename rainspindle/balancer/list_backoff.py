"""The backoff between failed requests for the endpoint list."""

from __future__ import annotations

from collections.abc import Callable


class ListBackoff:
    """A delay that doubles with each failure, with jitter.

    Attributes:
        failures: The requests that have failed since the last success.
    """

    BASE = 0.25  # seconds, doubled by each failure
    MAX_SHARE = 4  # the longest delay is the poll interval divided by this
    MIN_JITTER = 0.5  # a delay is multiplied by this plus a random fraction

    def __init__(self, poll_interval: float, fraction: Callable[[], float]) -> None:
        """Takes the interval, in seconds, between list requests, and the source of random fractions."""
        self.failures = 0
        self._max_delay = poll_interval / self.MAX_SHARE
        self._fraction = fraction

    def record_failure(self) -> float:
        """Counts a failure; returns the seconds until the next request."""
        self.failures += 1
        delay: float = min(self.BASE * 2**self.failures, self._max_delay)
        return delay * (self.MIN_JITTER + self._fraction())

    def record_success(self) -> int:
        """Resets the count of failures; returns how many there were."""
        failures = self.failures
        self.failures = 0
        return failures
