"""The retry budget: a limit on attempts beyond the first of each request."""

from __future__ import annotations

from collections import deque


class RetryBudget:
    """Allows, in any window, a fixed number of retries plus a share of the requests accepted.

    Part of the allowance is held back from bursts and from requests of low weight, so that it is not used up
    at once or on them. Too strict for a short fault that is over within a window.
    """

    BURST_WINDOW = 0.25  # length of a burst, as a part of the window
    BURST_SHARE = 0.5  # part of the allowance that one burst may use
    LEAST_SHARE = 0.5  # part of the share that requests of weight 0 may use
    CLOCK_TOLERANCE = 1e-6  # seconds

    def __init__(self, free: float, share: float, window: float) -> None:
        """Allows `free` retries plus `share` times the requests accepted, in any `window` seconds."""
        self.free = free
        self.share = share
        self.window = window
        self._requests = deque[float]()
        self._retries = deque[float]()
        self._skip_next_request = False

    def skip_next_request(self) -> None:
        """Does not count the next request, which was counted when it was first accepted."""
        self._skip_next_request = True

    def record_request(self, now: float) -> None:
        """Counts a request that was accepted."""
        if self._skip_next_request:
            self._skip_next_request = False
        else:
            self._requests.append(now)

    @property
    def counted_requests(self) -> int:
        """The number of requests that count in the current window."""
        return len(self._requests)

    def record_retry(self, now: float) -> None:
        """Counts an attempt beyond a request's first."""
        self._retries.append(now)

    def allows(self, now: float, weight: float) -> bool:
        """Returns whether a retry is within the budget.

        Args:
            now: The current time.
            weight: The request's priority weight, as a fraction of the highest.
        """
        self._forget(now)
        share = self.share * len(self._requests)
        usable = self.LEAST_SHARE + (1 - self.LEAST_SHARE) * weight
        recent = sum(retried_at > now - self.BURST_WINDOW * self.window for retried_at in self._retries)
        within_window = len(self._retries) + 1 <= self.free + share * usable
        within_burst = recent + 1 <= max(1.0, self.BURST_SHARE * (self.free + share))
        return within_window and within_burst

    def _forget(self, now: float) -> None:
        requests_from = now - self.window + self.CLOCK_TOLERANCE
        while self._requests and self._requests[0] <= requests_from:
            self._requests.popleft()
        retries_from = now - self.window - self.CLOCK_TOLERANCE
        while self._retries and self._retries[0] < retries_from:
            self._retries.popleft()
