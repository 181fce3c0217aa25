"""Recent failures and outcomes, counted over two intervals."""

from __future__ import annotations


class FailureCounts:
    """Counts of the current and the previous interval; `rotate` starts the next interval.

    Attributes:
        failures: Weighted failures, the current interval first.
        outcomes: All outcomes, in the same order.
    """

    def __init__(self) -> None:
        self.failures = [0.0, 0.0]
        self.outcomes = [0, 0]

    def record(self, failure_weight: float) -> None:
        """Counts one outcome; `failure_weight` is 0 for a success and up to 1 for a failure."""
        self.outcomes[0] += 1
        self.failures[0] += failure_weight

    def rotate(self) -> None:
        """Starts a new interval and drops the counts before the last one."""
        self.failures = [0.0, self.failures[0]]
        self.outcomes = [0, self.outcomes[0]]

    @property
    def total_failures(self) -> float:
        """The sum of weighted failures over both intervals."""
        return sum(self.failures)

    @property
    def total_outcomes(self) -> int:
        """The number of outcomes in both intervals."""
        return sum(self.outcomes)
