"""Times in coarse bins: how the decisions remember what exchanges took."""

from __future__ import annotations

import math


class Histogram:
    """Seconds in coarse bins, each half as wide again as the one before; halving forgets."""

    FIRST, STEP, BINS = 0.001, 1.5, 24

    def __init__(self) -> None:
        self.bins = [0.0] * self.BINS
        self.total = 0.0

    def add(self, seconds: float, weight: float = 1.0) -> None:
        n = int(math.log(seconds / self.FIRST, self.STEP)) + 1 if seconds > self.FIRST else 0
        self.bins[min(n, self.BINS - 1)] += weight
        self.total += weight

    def halve(self) -> None:
        if self.total:
            self.bins = [b / 2 if b > 0.02 else 0.0 for b in self.bins]
            self.total = sum(self.bins)

    def low_mean(self, prior: float, weight: float) -> float:
        """The mean of the lower three quarters, `prior` counting as `weight` further values."""
        left, middle, found = 0.75 * self.total, self.FIRST / 1.25, prior * weight
        for count in self.bins if left else ():
            part = min(count, left)
            found, left, middle = found + part * middle, left - part, middle * self.STEP
        return found / (0.75 * self.total + weight)

    def quantile(self, share: float, prior: float = 0.0, weight: float = 0.0) -> float:
        """The value under which this share lies, `prior` counting as `weight` further values."""
        if self.total + weight <= 0:
            return prior
        left, top = share * self.total, self.FIRST
        for count in self.bins:
            if count and left <= count:
                low = 0.0 if top <= self.FIRST else top / self.STEP
                found = low + (top - low) * left / count
                return (found * self.total + prior * weight) / (self.total + weight)
            left -= count
            top *= self.STEP
        return prior
