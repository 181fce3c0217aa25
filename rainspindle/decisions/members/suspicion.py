"""Lifeguard's suspicion: how long a member is suspected before it is declared dead.

Source: Dadgar, Phillips, Currey, "Lifeguard: local health awareness for more accurate failure detection"
(2018).
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from .tuning import MembershipTuning

FINAL_PING_LEAD = 0.6  # seconds before a member is declared dead at which it is pinged a final time
# A suspicion lasts longer, by this factor and this many seconds, until a probe by this process has failed.
UNVERIFIED_FACTOR = 2.5
UNVERIFIED_DELAY = 1.0


@dataclass(slots=True)
class Suspicion:
    """A suspicion of one member at one refutation number.

    Attributes:
        since: Time at which the suspicion began, or at which the member last answered.
        accusers: Names of the members known to suspect it.
        is_verified: Whether a probe by this process has failed too. If so, this process may declare the
            suspect dead; otherwise it waits longer for the declaration of another member.
        is_secondary: Whether another member suspected it first, so that its declaration is due earlier.
        final_pings: Number of final pings sent before the declaration.
        is_declared: Whether another member has declared the suspect dead.
        probe_at: Time at which this process probes the suspect because another member declared it dead.
    """

    since: float
    accusers: set[str] = field(default_factory=set)
    is_verified: bool = False
    is_secondary: bool = False
    final_pings: int = 0
    is_declared: bool = False
    probe_at: float = math.inf

    def timeout(self, tuning: MembershipTuning, health_factor: float, others: int) -> float:
        """Returns how many seconds the suspicion lasts; each independent accuser shortens it.

        Args:
            tuning: Protocol parameters.
            health_factor: Factor from this member's local health.
            others: Number of members that could suspect it as well.
        """
        if not tuning.lifeguard:
            return tuning.plain_suspicion
        duration = self._duration(tuning, others)
        if self.is_verified and self.is_secondary:
            duration += FINAL_PING_LEAD  # keeps the accusers from sending their final pings all at once
        if self.is_verified:
            return duration * health_factor
        return UNVERIFIED_FACTOR * duration * health_factor + UNVERIFIED_DELAY

    def _duration(self, tuning: MembershipTuning, others: int) -> float:
        confirmations = min(tuning.confirmations, others)
        if confirmations <= 0:
            return (tuning.min_suspicion + tuning.max_suspicion) / 2  # no other member could confirm it
        confirmed = min(math.log(max(len(self.accusers), 1)) / math.log(confirmations + 1), 1.0)
        if self.is_declared:
            confirmed = 1.0
        return tuning.max_suspicion - (tuning.max_suspicion - tuning.min_suspicion) * confirmed
