"""The state that this sidecar keeps for one endpoint."""

from __future__ import annotations

import math
import zlib

from ..histogram import Histogram
from .failover import CircuitBreaker
from .failure_counts import FailureCounts
from .host import ListedEndpoint

MARK_BITS = 24


def endpoint_mark(endpoint_id: str) -> int:
    """Returns the 24-bit hash that identifies an endpoint in messages between sidecars."""
    return zlib.crc32(endpoint_id.encode()) & ((1 << MARK_BITS) - 1)


class EndpointState:
    """One endpoint: its list entry, and what this sidecar's own attempts have shown.

    Attributes:
        id: The endpoint's name in the list.
        mark: Its 24-bit hash in messages between sidecars.
        queue_share: The number of queued requests that this sidecar alone may cause there.
        in_flight: The sending times of this sidecar's attempts there, by request id and attempt number, the
            oldest first; kept when the endpoint restarts.
        is_suspected: Whether peers report it as failing, so that fewer failures seen here eject it.
        listed: Its entry in the endpoint list.
        slow_start_remaining: The attempts left in the current part of the slow-start window.
        slow_start_until: The time at which that part ends.
        latency: Recent response times.
        retry_credit: The retries that it may get; responses add to it.
        window: The most attempts that this sidecar may have in flight there.
        unloaded_time: The lowest median response time so far, slowly rising; 0 while unknown.
        responses_since_sweep: Responses since the last sweep.
        busy_cores: The number of cores that this sidecar keeps busy there.
        consecutive_failures: Weighted failures since the last response.
        last_response_at: The time of the last response.
        latest_answered_send: The latest sending time of an attempt that was answered.
        last_sent_at: The time at which the last attempt was sent.
        window_shrunk_at: The time at which the window was last halved.
        readmitted_at: The time at which a trial ended its last ejection.
        failure_counts: Recent failures and outcomes.
        breaker: Its circuit breaker while it is ejected, else None.
    """

    INITIAL_RETRY_CREDIT = 3.0
    MAX_RETRY_CREDIT = 10.0
    CREDIT_PER_RESPONSE = 0.2
    MIN_WINDOW = 1.0
    MAX_WINDOW = 64.0
    INITIAL_QUEUE_SHARES = 4  # the first window is 1 plus this many queue shares
    SHORT_WORK = 0.05  # part of the latency objective; shorter work allows proportionally longer queues
    BUSY_KEPT = 0.7  # weight of the previous estimate of busy cores, at each sweep
    BUSY_ADDED = 0.3  # weight of the busy cores seen since the last sweep
    UNLOADED_DRIFT = 1.01  # factor by which the lowest median rises at each sweep
    MIN_TIMES = 4  # response times needed for a median
    MIN_OUTCOMES = 8  # where there are no more, outcomes are kept for longer
    MIN_KEPT_TIMES = 8.0  # where there are no more, response times are kept for longer

    def __init__(self, listed: ListedEndpoint, queue_share: float) -> None:
        self.id = listed.id
        self.mark = endpoint_mark(listed.id)
        self.queue_share = queue_share
        self.in_flight: dict[tuple[int, int], float] = {}
        self.is_suspected = False
        self.reset(listed)

    def reset(self, listed: ListedEndpoint) -> None:
        """Discards what was learned, because the endpoint was restarted."""
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
        """Records that an attempt sent at `sent_at` was answered, and adapts the window.

        The window shrinks, against overload, when the requests queued at the endpoint exceed a limit: the
        queue is estimated as the window less the requests being worked on. Short work allows a longer queue.
        """
        self.last_response_at = now
        self.latest_answered_send = max(self.latest_answered_send, sent_at)
        self.retry_credit = min(self.retry_credit + self.CREDIT_PER_RESPONSE, self.MAX_RETRY_CREDIT)
        self.responses_since_sweep += 1
        self.consecutive_failures = 0.0
        if self._waiting(unloaded_time) > self._max_waiting(unloaded_time, latency_objective):
            self.shrink_window(now, sent_at)
        elif len(self.in_flight) + 1 >= self.window:  # grows only when used: idle time must not allow a burst
            self.window = min(self.window + 1 / self.window, self.MAX_WINDOW)

    def shrink_window(self, now: float, sent_at: float) -> None:
        """Halves the window, only once for all attempts that were in flight together."""
        if sent_at > self.window_shrunk_at:
            self.window = max(self.MIN_WINDOW, self.window * 0.5)
            self.window_shrunk_at = now

    def predicted_time(self, now: float, usual_time: float) -> float:
        """Returns the expected seconds of an attempt; `usual_time` counts as one more response time."""
        oldest = next(iter(self.in_flight.values())) if self.in_flight else now
        return max(self.latency.quantile(0.75, usual_time, 1.0), now - oldest)

    def readmit(self, now: float) -> None:
        """Closes the circuit after a successful trial."""
        self.breaker = None
        self.failure_counts = FailureCounts()
        self.latency = Histogram()
        self.readmitted_at = now  # ramps keys up; else one trial would send all keys back at once

    def update_estimates(self, elapsed: float) -> None:
        """Updates the busy cores and the unloaded time, `elapsed` seconds after the last sweep."""
        added = self.BUSY_ADDED * self.responses_since_sweep * self.unloaded_time / elapsed
        self.busy_cores = self.BUSY_KEPT * self.busy_cores + added
        self.responses_since_sweep = 0
        if self.latency.total >= self.MIN_TIMES:
            drifted = self.unloaded_time * self.UNLOADED_DRIFT or math.inf
            self.unloaded_time = min(drifted, self.latency.quantile(0.5))

    def has_history(self) -> bool:
        """Returns whether anything is left for a sweep to age."""
        return bool(self.in_flight or self.breaker or self.latency.total or any(self.failure_counts.outcomes))

    def _waiting(self, unloaded_time: float) -> float:
        median = max(self.latency.quantile(0.5, unloaded_time, 1.0), unloaded_time)
        return self.window * (1 - unloaded_time / median)

    def _max_waiting(self, unloaded_time: float, latency_objective: float) -> float:
        factor = max(1.0, self.SHORT_WORK * latency_objective / unloaded_time)
        return max(self.queue_share * factor, self.busy_cores / 2, self.busy_cores - 0.5)
