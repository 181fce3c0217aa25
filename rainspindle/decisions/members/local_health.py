"""Lifeguard's local health: how far a member doubts itself.

Source: Dadgar, Phillips, Currey, "Lifeguard: local health awareness for more accurate failure detection"
(2018).
"""

from __future__ import annotations

import math


class LocalHealth:
    """Lengthens a member's time limits, and suspends its judgement after a stop.

    Guards against a slow or cut off member that takes the others for dead. May hurt where most are dead at
    once: it is then slower to say so.

    Attributes:
        suspended_until: Until when nobody is suspected.
    """

    def __init__(self, max_doubt: int) -> None:
        self.suspended_until = -math.inf
        self._max_doubt = max_doubt
        self._doubt = 0

    @property
    def factor(self) -> float:
        """By which its time limits grow."""
        return 1.0 + self._doubt

    def worsen(self, by: int = 1) -> None:
        """Records a sign that this member is at fault."""
        self._doubt = min(self._doubt + by, self._max_doubt)

    def improve(self) -> None:
        """Records a sign that it is not."""
        self._doubt = max(self._doubt - 1, 0)

    def suspend_until(self, until: float) -> None:
        """Has nobody suspected until then."""
        self.suspended_until = until

    def is_suspended(self, now: float) -> bool:
        """Returns whether nobody is to be suspected."""
        return now < self.suspended_until
