"""The backoff between calls for the endpoint list that fail."""

from __future__ import annotations

from collections.abc import Callable


class ListBackoff:
    """A pause that doubles with each failure, with jitter.

    Attributes:
        failures: Calls that have failed since the last success.
    """

    BASE = 0.25  # seconds, doubled by each failure
    MAX_SHARE = 4  # the longest pause is one part in so many of the poll interval
    MIN_JITTER = 0.5  # a pause is multiplied by this and a random fraction

    def __init__(self, poll_interval: float, fraction: Callable[[], float]) -> None:
        """Takes the seconds within which the list is to be asked for, and the source of chance."""
        self.failures = 0
        self._longest = poll_interval / self.MAX_SHARE
        self._fraction = fraction

    def record_failure(self) -> float:
        """Counts a failure; returns the seconds until the next call."""
        self.failures += 1
        pause: float = min(self.BASE * 2**self.failures, self._longest)
        return pause * (self.MIN_JITTER + self._fraction())

    def record_success(self) -> int:
        """Returns how many calls had failed before, and begins anew."""
        failures = self.failures
        self.failures = 0
        return failures
