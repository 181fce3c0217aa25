"""Response times over all endpoints, as seen by this sidecar."""

from __future__ import annotations

import math

from ..histogram import Histogram


class LatencyTracker:
    """Response times of attempts at all endpoints together.

    Attributes:
        overall: Recent response times.
        warm: Those of warm endpoints alone, halved at each sweep.
        median: The median of `overall` at the last sweep; 0 while unknown.
        slow: The 90% quantile of `overall` at the last sweep.
        unloaded: The lowest median so far, slowly rising; 0 while unknown.
    """

    UNLOADED_DRIFT = 1.01  # factor by which the lowest median rises at each sweep
    MIN_TIMES = 8  # response times needed for a median; with more, they are halved sooner

    def __init__(self) -> None:
        self.overall = Histogram()
        self.warm = Histogram()
        self.median = 0.0
        self.slow = 0.0
        self.unloaded = 0.0

    def sweep(self) -> None:
        """Recomputes the quantiles."""
        self.median = self.overall.quantile(0.5)
        self.slow = self.overall.quantile(0.9)
        if self.overall.total >= self.MIN_TIMES:
            self.unloaded = min(self.unloaded * self.UNLOADED_DRIFT or math.inf, self.median)
        self.warm.halve()

    def forget(self, even_few: bool) -> None:
        """Halves the weight of past times if there are many, or in any case if `even_few`."""
        if self.overall.total > self.MIN_TIMES or even_few:
            self.overall.halve()
