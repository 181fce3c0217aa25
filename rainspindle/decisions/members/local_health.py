"""Lifeguard's local health: a score of how unreliable this member's own observations are.

Source: Dadgar, Phillips, Currey, "Lifeguard: local health awareness for more accurate failure detection"
(2018).
"""

from __future__ import annotations

import math


class LocalHealth:
    """Lengthens this member's time-outs, and suspends its suspicions after the process was suspended.

    Prevents a slow or disconnected member from declaring healthy members dead. Drawback: if most members
    really die at once, this member takes longer to declare them dead.

    Attributes:
        suspended_until: Time until which this member suspects nobody.
    """

    def __init__(self, max_score: int) -> None:
        self.suspended_until = -math.inf
        self._max_score = max_score
        self._score = 0

    @property
    def factor(self) -> float:
        """Factor by which this member's time-outs are multiplied; 1.0 if it is healthy."""
        return 1.0 + self._score

    def worsen(self, by: int = 1) -> None:
        """Records evidence that this member itself is at fault."""
        self._score = min(self._score + by, self._max_score)

    def improve(self) -> None:
        """Records evidence that this member is healthy."""
        self._score = max(self._score - 1, 0)

    def suspend_until(self, until: float) -> None:
        """Suspends suspicions until the given time."""
        self.suspended_until = until

    def is_suspended(self, now: float) -> bool:
        """Returns whether suspicions are suspended, so that no member may be suspected."""
        return now < self.suspended_until
