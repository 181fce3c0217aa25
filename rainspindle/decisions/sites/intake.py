"""Admission control for requests from other sites: a site's own clients have priority."""

from __future__ import annotations

from collections.abc import Callable


class RecentOutcomes:
    """Outcomes of recent requests, kept in two half-second buckets.

    Two failures alone never count as overload; MIN_FAILURES are needed.
    """

    MIN_FAILURES = 3

    def __init__(self) -> None:
        self.failures, self.total = [0, 0], [0, 0]

    def add(self, succeeded: bool) -> None:
        """Records the outcome of one request."""
        self.failures[0] += not succeeded
        self.total[0] += 1

    def rotate(self) -> None:
        """Starts a new bucket and drops the older one."""
        self.failures, self.total = [0, self.failures[0]], [0, self.total[0]]

    def exceeds(self, share: float) -> bool:
        """Returns whether enough requests, and more than `share` of all of them, failed."""
        return sum(self.failures) >= self.MIN_FAILURES and sum(self.failures) > share * sum(self.total)


class Intake:
    """A window on the number of foreign requests in progress.

    The window grows when foreign requests succeed while it is full, and shrinks when requests fail. Beyond a
    floor, foreign requests never exceed a configured share of all requests in progress.
    """

    INITIAL_WINDOW, MIN_WINDOW, MAX_WINDOW = 4.0, 1.0, 4096.0  # foreign requests
    # Seconds. Failures within MIN_REDUCTION_INTERVAL of a reduction count as the same overload.
    ROTATION_INTERVAL, MIN_REDUCTION_INTERVAL = 0.5, 1.5
    GROWTH_STEP = 0.3  # window growth per success, up to `slow_growth_from`
    SMOOTHING_FACTOR = 0.4  # weight of the latest number of own requests in the typical one
    # Shares of requests that may fail before it counts as overload.
    MAX_OWN_FAILURE_SHARE, MAX_FOREIGN_FAILURE_SHARE = 0.02, 0.1
    # The first foreign request raises the window to this share of the typical number of own requests, if the
    # window was not reduced for FRESH_DELAY seconds.
    INITIAL_SHARE, FRESH_DELAY = 0.25, 5.0
    REDUCTION_FACTOR = 0.7  # factor applied to the window by a reduction
    RECOVERY_DELAY = 2.0  # seconds without overload after which the fast-growth limit doubles

    def __init__(self, now: float, part: float, floor: int, log: Callable[[str], None]) -> None:
        """Sets the limits: a share `part` (below 1) of all requests may be foreign, `floor` always may."""
        self.part, self.floor, self.log = part, floor, log
        # Above `slow_growth_from` the window grows slowly.
        self.window, self.slow_growth_from = self.INITIAL_WINDOW, self.MAX_WINDOW
        self.reduced_at = self.rotated_at = self.stable_since = now
        self.own_active, self.foreign_active = 0, 0
        self.typical_own = 0.0
        self.own_outcomes, self.foreign_outcomes = RecentOutcomes(), RecentOutcomes()
        self.turned_away = 0
        self.rejecting = False

    def limit(self) -> float:
        """Returns how many foreign requests may be in progress now."""
        allowed = self.part / (1 - self.part) * max(self.typical_own, self.own_active)
        return max(min(self.window, max(allowed, self.floor)), 0.0)

    def admit(self, now: float) -> bool:
        """Returns whether a foreign request may start now, and counts it as in progress if so."""
        self.tick(now)
        if not self.foreign_active and now - self.reduced_at > self.FRESH_DELAY:
            # Another site starts to send requests: the own load shows how many of them fit at once.
            self.window = max(self.window, self.INITIAL_SHARE * self.typical_own)
        if self.foreign_active >= self.limit():
            self.turned_away += 1
            if not self.rejecting:
                self.rejecting = True
                self.log(
                    f"foreign requests rejected: {self.foreign_active} in progress, "
                    f"window {self.window:.1f}, {self.own_active} own requests in progress"
                )
            return False
        self.rejecting = False
        self.foreign_active += 1
        return True

    def foreign_ended(self, now: float, succeeded: bool) -> None:
        """Records the end of an admitted foreign request and adapts the window."""
        was_full = self.foreign_active + 1 >= self.window
        self.foreign_active -= 1
        self.foreign_outcomes.add(succeeded)
        if not succeeded and self.foreign_outcomes.exceeds(self.MAX_FOREIGN_FAILURE_SHARE):
            self.reduce_window(now)
        elif succeeded and was_full and not self.own_outcomes.exceeds(self.MAX_OWN_FAILURE_SHARE / 2):
            # The window does not grow while own requests fail. A fixed step avoids
            # minutes of delay until the load of a large site is admitted. Above `slow_growth_from` the window
            # grows by about 1 for each full window of successes.
            step = self.GROWTH_STEP if self.window < self.slow_growth_from else 1 / self.window
            self.window = min(self.window + step, self.MAX_WINDOW)

    def own_began(self, now: float) -> None:
        """Records the start of a request of an own client."""
        self.own_active += 1

    def own_ended(self, now: float, succeeded: bool) -> None:
        """Records the end of a request of an own client; failures shrink the window."""
        self.own_active -= 1
        self.own_outcomes.add(succeeded)
        if not succeeded and self.foreign_active and self.own_outcomes.exceeds(self.MAX_OWN_FAILURE_SHARE):
            self.reduce_window(now)

    def reduce_window(self, now: float) -> None:
        """Shrinks the window, at most once in MIN_REDUCTION_INTERVAL seconds."""
        self.stable_since = now
        if now - self.reduced_at >= self.MIN_REDUCTION_INTERVAL:
            self.window, self.reduced_at = max(self.MIN_WINDOW, self.window * self.REDUCTION_FACTOR), now
            self.slow_growth_from = self.window

    def tick(self, now: float) -> None:
        """Rotates the outcome buckets and raises the fast-growth limit; called several times a second."""
        if now - self.rotated_at >= self.ROTATION_INTERVAL:
            self.rotated_at = now
            self.typical_own += self.SMOOTHING_FACTOR * (self.own_active - self.typical_own)
            self.own_outcomes.rotate()
            self.foreign_outcomes.rotate()
        if now - self.stable_since >= self.RECOVERY_DELAY:
            self.stable_since, self.slow_growth_from = now, max(self.slow_growth_from, 2 * self.window)
