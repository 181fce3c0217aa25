"""Response times over all endpoints, as this sidecar met them."""

from __future__ import annotations

import math

from ..histogram import Histogram


class LatencyTracker:
    """What attempts took at all endpoints together.

    Attributes:
        overall: Times of the recent past.
        warm: Times at warm endpoints alone, halved at each sweep.
        median: The median of `overall` at the last sweep; 0 while unknown.
        slow: Its 90% quantile.
        unloaded: The lowest median so far, drifting up.
    """

    UNLOADED_DRIFT = 1.01  # by which the lowest median rises at each sweep
    MIN_TIMES = 8  # from which a median is trusted, and more are halved sooner

    def __init__(self) -> None:
        self.overall = Histogram()
        self.warm = Histogram()
        self.median = 0.0
        self.slow = 0.0
        self.unloaded = 0.0

    def sweep(self) -> None:
        """Takes the quantiles anew."""
        self.median = self.overall.quantile(0.5)
        self.slow = self.overall.quantile(0.9)
        if self.overall.total >= self.MIN_TIMES:
            self.unloaded = min(self.unloaded * self.UNLOADED_DRIFT or math.inf, self.median)
        self.warm.halve()

    def forget(self, even_few: bool) -> None:
        """Halves the weight of past times, where there are many or `even_few`."""
        if self.overall.total > self.MIN_TIMES or even_few:
            self.overall.halve()
