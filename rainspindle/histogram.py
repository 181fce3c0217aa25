"""A histogram of durations with coarse bins and decaying weights."""

from __future__ import annotations

import math


class Histogram:
    """Durations in seconds, in bins whose upper bounds grow by a constant factor.

    Attributes:
        bins: The weight of the values in each bin; the last one also holds all longer values.
        total: The sum of the weights.
    """

    FIRST_BOUND = 0.001  # seconds, the upper bound of the first bin
    BOUND_FACTOR = 1.5  # ratio of each upper bound to the previous one
    BINS = 24
    MIN_WEIGHT = 0.02  # halving empties a bin that has no more
    MIDPOINT_DIVISOR = 1.25  # the middle of a bin is its upper bound divided by this
    LOW_PART = 0.75  # part of the values, the lowest, that `low_mean` includes

    def __init__(self) -> None:
        self.bins = [0.0] * self.BINS
        self.total = 0.0

    def add(self, seconds: float, weight: float = 1.0) -> None:
        """Adds a value with the given weight."""
        bin_number = 0
        if seconds > self.FIRST_BOUND:
            bin_number = int(math.log(seconds / self.FIRST_BOUND, self.BOUND_FACTOR)) + 1
        self.bins[min(bin_number, self.BINS - 1)] += weight
        self.total += weight

    def halve(self) -> None:
        """Halves the weight of all values."""
        if self.total:
            self.bins = [weight / 2 if weight > self.MIN_WEIGHT else 0.0 for weight in self.bins]
            self.total = sum(self.bins)

    def low_mean(self, prior: float, weight: float) -> float:
        """Returns the mean of the lowest three quarters; `prior` counts as `weight` more values."""
        remaining = self.LOW_PART * self.total
        midpoint = self.FIRST_BOUND / self.MIDPOINT_DIVISOR
        weighted_sum = prior * weight
        for count in self.bins if remaining else ():
            included = min(count, remaining)
            weighted_sum += included * midpoint
            remaining -= included
            midpoint *= self.BOUND_FACTOR
        return weighted_sum / (self.LOW_PART * self.total + weight)

    def quantile(self, share: float, prior: float = 0.0, weight: float = 0.0) -> float:
        """Returns the `share` quantile; `prior` counts as `weight` more values."""
        if self.total + weight <= 0:
            return prior
        remaining = share * self.total
        upper = self.FIRST_BOUND
        for count in self.bins:
            if count and remaining <= count:
                lower = 0.0 if upper <= self.FIRST_BOUND else upper / self.BOUND_FACTOR
                quantile = lower + (upper - lower) * remaining / count
                return (quantile * self.total + prior * weight) / (self.total + weight)
            remaining -= count
            upper *= self.BOUND_FACTOR
        return prior
