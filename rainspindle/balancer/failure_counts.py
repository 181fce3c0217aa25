"""Failures and outcomes of the recent past, in two halves."""

from __future__ import annotations


class FailureCounts:
    """Counts of the current interval and the one before; `rotate` begins the next interval.

    Attributes:
        failures: Weighted failures, the current interval first.
        outcomes: All outcomes, likewise.
    """

    def __init__(self) -> None:
        self.failures = [0.0, 0.0]
        self.outcomes = [0, 0]

    def record(self, failure_weight: float) -> None:
        """Counts one outcome, which is a failure by `failure_weight` (0 for a success)."""
        self.outcomes[0] += 1
        self.failures[0] += failure_weight

    def rotate(self) -> None:
        """Begins a new interval; what is older than the last one is forgotten."""
        self.failures = [0.0, self.failures[0]]
        self.outcomes = [0, self.outcomes[0]]

    @property
    def total_failures(self) -> float:
        """The weighted failures of both intervals."""
        return sum(self.failures)

    @property
    def total_outcomes(self) -> int:
        """The outcomes of both intervals."""
        return sum(self.outcomes)
