"""Times in coarse bins: how the decisions remember what requests took."""

from __future__ import annotations

import math


class Histogram:
    """Seconds in coarse bins, each half as wide again as the one before; halving forgets.

    Attributes:
        bins: The weight of the values in each bin; the last one takes all that are longer.
        total: Their sum.
    """

    FIRST = 0.001  # seconds, the upper bound of the first bin
    STEP = 1.5  # by which each bound exceeds the one before
    BINS = 24
    LEAST = 0.02  # weight below which halving empties a bin
    MIDDLE = 1.25  # a bin's middle is its upper bound divided by this
    LOW_PART = 0.75  # of the values, that `low_mean` takes

    def __init__(self) -> None:
        self.bins = [0.0] * self.BINS
        self.total = 0.0

    def add(self, seconds: float, weight: float = 1.0) -> None:
        """Counts a value."""
        bin_number = 0
        if seconds > self.FIRST:
            bin_number = int(math.log(seconds / self.FIRST, self.STEP)) + 1
        self.bins[min(bin_number, self.BINS - 1)] += weight
        self.total += weight

    def halve(self) -> None:
        """Halves the weight of all values."""
        if self.total:
            self.bins = [weight / 2 if weight > self.LEAST else 0.0 for weight in self.bins]
            self.total = sum(self.bins)

    def low_mean(self, prior: float, weight: float) -> float:
        """Returns the mean of the lower three quarters, `prior` counting as `weight` further values."""
        left = self.LOW_PART * self.total
        middle = self.FIRST / self.MIDDLE
        total = prior * weight
        for count in self.bins if left else ():
            part = min(count, left)
            total += part * middle
            left -= part
            middle *= self.STEP
        return total / (self.LOW_PART * self.total + weight)

    def quantile(self, share: float, prior: float = 0.0, weight: float = 0.0) -> float:
        """Returns the value under which `share` lies, `prior` counting as `weight` further values."""
        if self.total + weight <= 0:
            return prior
        left = share * self.total
        top = self.FIRST
        for count in self.bins:
            if count and left <= count:
                low = 0.0 if top <= self.FIRST else top / self.STEP
                found = low + (top - low) * left / count
                return (found * self.total + prior * weight) / (self.total + weight)
            left -= count
            top *= self.STEP
        return prior
