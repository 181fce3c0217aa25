"""What this sidecar knows of one endpoint."""

from __future__ import annotations

import math
import zlib

from ..histogram import Histogram
from .failover import CircuitBreaker
from .failure_counts import FailureCounts
from .host import ListedEndpoint

MARK_BITS = 24


def endpoint_mark(endpoint_id: str) -> int:
    """Returns the number by which sidecars name an endpoint to one another."""
    return zlib.crc32(endpoint_id.encode()) & ((1 << MARK_BITS) - 1)


class EndpointState:
    """One endpoint: as listed, and as this sidecar's own attempts found it.

    Attributes:
        id: The endpoint's name in the list.
        mark: Its number in messages between sidecars.
        queue_share: Waiting requests that this sidecar alone may cause there.
        in_flight: When this sidecar's attempts there were sent, by request and number, the oldest first;
            they outlast a restart of the endpoint.
        is_suspected: Whether peers report it as failing, so that fewer failures of its own eject it.
        listed: Its line of the endpoint list.
        slow_start_remaining: Attempts left in the current part of the slow-start window.
        slow_start_until: When that part ends.
        latency: Response times of the recent past.
        retry_credit: Retries that it may get; earned by responses.
        window: Attempts that this sidecar may have in flight there.
        unloaded_time: The lowest median response time so far, drifting up; 0 while unknown.
        responses_since_sweep: Responses since the last sweep.
        busy_cores: Cores that this sidecar keeps busy there.
        consecutive_failures: Weighted failures since the last response.
        last_response_at: When a response came last.
        latest_answered_send: The sending time of the latest attempt that was answered.
        last_sent_at: When an attempt was sent last.
        window_shrunk_at: When the window was halved last.
        readmitted_at: When a trial ended its last ejection.
        failure_counts: Failures and outcomes of the recent past.
        breaker: Its circuit breaker while it is ejected.
    """

    INITIAL_RETRY_CREDIT = 3.0
    MAX_RETRY_CREDIT = 10.0
    CREDIT_PER_RESPONSE = 0.2
    MIN_WINDOW = 1.0
    MAX_WINDOW = 64.0
    INITIAL_QUEUE_SHARES = 4  # the first window is one and so many shares of a waiting request
    SHORT_WORK = 0.05  # of the latency objective; below it, more requests may wait in proportion
    BUSY_KEPT = 0.7  # of the busy cores known before, at each sweep
    BUSY_ADDED = 0.3  # of those seen since the last sweep
    UNLOADED_DRIFT = 1.01  # by which the lowest median rises at each sweep
    MIN_TIMES = 4  # response times from which a median is trusted
    MIN_OUTCOMES = 8  # fewer outcomes are kept for longer
    MIN_KEPT_TIMES = 8.0  # fewer response times are kept for longer

    def __init__(self, listed: ListedEndpoint, queue_share: float) -> None:
        self.id = listed.id
        self.mark = endpoint_mark(listed.id)
        self.queue_share = queue_share
        self.in_flight: dict[tuple[int, int], float] = {}
        self.is_suspected = False
        self.reset(listed)

    def reset(self, listed: ListedEndpoint) -> None:
        """Forgets what was learned: the endpoint was restarted."""
        self.listed = listed
        self.slow_start_remaining = 0
        self.slow_start_until = -math.inf
        self.latency = Histogram()
        self.retry_credit = self.INITIAL_RETRY_CREDIT
        self.window = 1 + self.INITIAL_QUEUE_SHARES * self.queue_share
        self.unloaded_time = 0.0
        self.responses_since_sweep = 0
        self.busy_cores = 0.0
        self.consecutive_failures = 0.0
        self.last_response_at = -math.inf
        self.latest_answered_send = -math.inf
        self.last_sent_at = -math.inf
        self.window_shrunk_at = -math.inf
        self.readmitted_at = -math.inf
        self.failure_counts = FailureCounts()
        self.breaker: CircuitBreaker | None = None

    def record_response(
        self, now: float, sent_at: float, unloaded_time: float, latency_objective: float
    ) -> None:
        """Takes in that an attempt sent at `sent_at` was answered, and adapts the window.

        Guards against overload: what waits there is the window less what is being worked on. More may wait
        where work is short.
        """
        self.last_response_at = now
        self.latest_answered_send = max(self.latest_answered_send, sent_at)
        self.retry_credit = min(self.retry_credit + self.CREDIT_PER_RESPONSE, self.MAX_RETRY_CREDIT)
        self.responses_since_sweep += 1
        self.consecutive_failures = 0.0
        if self._waiting(unloaded_time) > self._max_waiting(unloaded_time, latency_objective):
            self.shrink_window(now, sent_at)
        elif len(self.in_flight) + 1 >= self.window:  # earned by use: idle times must not allow a burst
            self.window = min(self.window + 1 / self.window, self.MAX_WINDOW)

    def shrink_window(self, now: float, sent_at: float) -> None:
        """Halves the window, once for all attempts that were in flight together."""
        if sent_at > self.window_shrunk_at:
            self.window = max(self.MIN_WINDOW, self.window * 0.5)
            self.window_shrunk_at = now

    def predicted_time(self, now: float, usual_time: float) -> float:
        """Returns the seconds that an attempt is expected to take; `usual_time` counts as one more value."""
        oldest = next(iter(self.in_flight.values())) if self.in_flight else now
        return max(self.latency.quantile(0.75, usual_time, 1.0), now - oldest)

    def readmit(self, now: float) -> None:
        """Closes the circuit after a good trial."""
        self.breaker = None
        self.failure_counts = FailureCounts()
        self.latency = Histogram()
        self.readmitted_at = now  # or a good trial would send all keys back at once

    def update_estimates(self, elapsed: float) -> None:
        """Updates the busy cores and the unloaded time, `elapsed` seconds after the last sweep."""
        added = self.BUSY_ADDED * self.responses_since_sweep * self.unloaded_time / elapsed
        self.busy_cores = self.BUSY_KEPT * self.busy_cores + added
        self.responses_since_sweep = 0
        if self.latency.total >= self.MIN_TIMES:
            drifted = self.unloaded_time * self.UNLOADED_DRIFT or math.inf
            self.unloaded_time = min(drifted, self.latency.quantile(0.5))

    def has_history(self) -> bool:
        """Returns whether anything is left that a sweep could change."""
        return bool(self.in_flight or self.breaker or self.latency.total or any(self.failure_counts.outcomes))

    def _waiting(self, unloaded_time: float) -> float:
        median = max(self.latency.quantile(0.5, unloaded_time, 1.0), unloaded_time)
        return self.window * (1 - unloaded_time / median)

    def _max_waiting(self, unloaded_time: float, latency_objective: float) -> float:
        factor = max(1.0, self.SHORT_WORK * latency_objective / unloaded_time)
        return max(self.queue_share * factor, self.busy_cores / 2, self.busy_cores - 0.5)
