"""The retry budget: how many attempts beyond each request's first may be made."""

from __future__ import annotations

from collections import deque


class RetryBudget:
    """In any window so many retries, and a share of the requests taken.

    Guards against an allowance that is gone at once, or on requests of little weight. May hurt where a short
    fault is over within a window.
    """

    BURST_WINDOW = 0.25  # the part of the window in which
    BURST_SHARE = 0.5  # no more than this part of the allowance is used
    LEAST_SHARE = 0.5  # what requests without weight may use of the share
    CLOCK_TOLERANCE = 1e-6  # seconds

    def __init__(self, free: float, share: float, window: float) -> None:
        """Allows `free` retries, and `share` of the requests taken, in any `window` seconds."""
        self.free = free
        self.share = share
        self.window = window
        self._requests = deque[float]()
        self._retries = deque[float]()
        self._skip_next_request = False

    def skip_next_request(self) -> None:
        """Leaves the next request uncounted: it was counted when it was taken first."""
        self._skip_next_request = True

    def record_request(self, now: float) -> None:
        """Counts a request that was taken."""
        if self._skip_next_request:
            self._skip_next_request = False
        else:
            self._requests.append(now)

    @property
    def counted_requests(self) -> int:
        """Requests that count in the current window."""
        return len(self._requests)

    def record_retry(self, now: float) -> None:
        """Counts an attempt beyond a request's first."""
        self._retries.append(now)

    def allows(self, now: float, weight: float) -> bool:
        """Returns whether a retry is within the budget.

        Args:
            now: The time.
            weight: The request's priority weight, in parts of the highest.
        """
        self._forget(now)
        share = self.share * len(self._requests)
        usable = self.LEAST_SHARE + (1 - self.LEAST_SHARE) * weight
        recent = sum(at > now - self.BURST_WINDOW * self.window for at in self._retries)
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
