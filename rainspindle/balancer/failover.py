"""The failover table: which endpoint a failing key uses, and how it returns to its first one.

Implements steps 2 to 5 of the design ("Per-Partition Automatic Failover & Per-Partition Circuit Breaker",
sections 7.1 to 7.4 and 9.2 to 9.4), with keys for partitions and endpoints, or sites, for regions.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

Target = TypeVar("Target")  # where requests of a key go: an endpoint, or a site when choosing among sites


class CircuitBreaker:
    """An open circuit: first failing, then due for one trial (half-open), then in that trial.

    A closed circuit is represented by no object.
    """

    def __init__(self, now: float) -> None:
        self.failing_since = now  # set again by a failed trial
        self.trial_due = False
        self.in_trial = False

    def sweep(self, now: float, trial_delay: float) -> None:
        """Makes a trial due once the circuit has been open for over `trial_delay` seconds."""
        if not self.in_trial and now - self.failing_since > trial_delay:
            self.trial_due = True

    def begin_trial(self) -> None:
        """Records that a request was sent as the trial."""
        self.trial_due = False
        self.in_trial = True

    def abandon_trial(self) -> None:
        """Records that the trial ended without a result, so that another is due."""
        self.trial_due = True
        self.in_trial = False

    def reopen(self, now: float) -> None:
        """Records a failed trial, which restarts the delay."""
        self.failing_since = now
        self.trial_due = False
        self.in_trial = False


class FailoverEntry(CircuitBreaker, Generic[Target]):
    """The failover state of one key that has failed.

    Attributes:
        first: The target that failed first, to which the key returns.
        current: The target that the key uses now.
        tried: All targets that the key has used, `first` first.
        idempotent_failures: Failures of idempotent requests within the reset window.
        other_failures: Failures of all other requests within the reset window.
        last_failure_at: The time of the key's last failure.
    """

    def __init__(self, target: Target, now: float) -> None:
        super().__init__(now)
        self.first = target
        self.current = target
        self.tried = [target]
        self.idempotent_failures = 0
        self.other_failures = 0
        self.last_failure_at = now


class FailoverTable(Generic[Target]):
    """Counts failures by key and moves a key to its next target beyond a threshold."""

    IDEMPOTENT_FAILURE_LIMIT = 2
    OTHER_FAILURE_LIMIT = 5
    MAX_ENTRIES = 4096
    TRIAL_DELAY = 5.0  # seconds
    RESET_WINDOW = 30.0  # seconds; longer than TRIAL_DELAY, else counts would be reset before any trial

    def __init__(self) -> None:
        self.entries: dict[str, FailoverEntry[Target]] = {}

    def record_failure(
        self,
        key: str,
        target: Target,
        idempotent: bool,
        now: float,
        next_untried: Callable[[list[Target]], Target | None],
    ) -> None:
        """Counts a failure of `key` at `target`.

        Args:
            key: The failing key.
            target: Where the request failed.
            idempotent: Whether the request was idempotent; such failures have a separate limit.
            now: The current time.
            next_untried: Returns the key's next target that is not in the given list, or None.
        """
        entry = self._entry(key, target, now)
        self._count(entry, idempotent, now)
        if self.has_moved(entry) and target is entry.current:
            self._move(key, entry, next_untried)

    def has_moved(self, entry: FailoverEntry[Target]) -> bool:
        """Returns whether the key is beyond a threshold and therefore uses `entry.current`."""
        return (
            entry.idempotent_failures > self.IDEMPOTENT_FAILURE_LIMIT
            or entry.other_failures > self.OTHER_FAILURE_LIMIT
        )

    def sweep(self, now: float) -> None:
        """Removes entries older than the reset window and makes trials due."""
        for key, entry in list(self.entries.items()):
            if now - entry.last_failure_at > self.RESET_WINDOW and not entry.in_trial:
                del self.entries[key]
            else:
                entry.sweep(now, self.TRIAL_DELAY)

    def _entry(self, key: str, target: Target, now: float) -> FailoverEntry[Target]:
        entry = self.entries.get(key)
        if entry is None:
            if len(self.entries) >= self.MAX_ENTRIES:
                oldest = next(iter(self.entries))
                del self.entries[oldest]
            entry = self.entries[key] = FailoverEntry(target, now)
        return entry

    def _count(self, entry: FailoverEntry[Target], idempotent: bool, now: float) -> None:
        if now - entry.last_failure_at > self.RESET_WINDOW:
            entry.idempotent_failures = 0
            entry.other_failures = 0
        entry.last_failure_at = now
        if idempotent:
            entry.idempotent_failures += 1
        else:
            entry.other_failures += 1

    def _move(
        self,
        key: str,
        entry: FailoverEntry[Target],
        next_untried: Callable[[list[Target]], Target | None],
    ) -> None:
        next_target = next_untried(entry.tried)
        if next_target is None:
            del self.entries[key]
            return
        entry.current = next_target
        entry.tried = [*entry.tried, next_target]
