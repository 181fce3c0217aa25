"""Lifeguard's suspicion: for how long a member is suspected before it is declared dead.

Source: Dadgar, Phillips, Currey, "Lifeguard: local health awareness for more accurate failure detection"
(2018).
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from .tuning import MembershipTuning

LAST_PING_BEFORE = 0.6  # seconds before a declaration of death in which the other is pinged once more
HEARSAY_FACTOR = 2.5  # by which a suspicion without a failed probe of one's own lasts longer,
HEARSAY_DELAY = 1.0  # and by so many seconds


@dataclass(slots=True)
class Suspicion:
    """Of one member at one refutation.

    Attributes:
        since: When it began, or was last contradicted.
        by: Who has it, of those heard of.
        own: Whether a probe of this member has failed too: it decides, others wait for its word.
        follows: Whether another had it before, whose declaration comes first.
        last_pings: Last pings sent before the declaration.
        declared: Whether others have declared the death.
        probe_at: When the suspect is probed for that, where it has not been confirmed by then.
    """

    since: float
    by: set[str] = field(default_factory=set)
    own: bool = False
    follows: bool = False
    last_pings: int = 0
    declared: bool = False
    probe_at: float = math.inf

    def timeout(self, tuning: MembershipTuning, health_factor: float, others: int) -> float:
        """Returns for how many seconds it lasts: shorter with each member that has it independently.

        Args:
            tuning: The figures.
            health_factor: By which this member's own limits grow.
            others: Members that could have an opinion.
        """
        if not tuning.lifeguard:
            return tuning.plain_suspicion
        length = self._length(tuning, others)
        if self.own and self.follows:
            length += LAST_PING_BEFORE  # so that not all who have it ping once more at the same time
        if self.own:
            return length * health_factor
        return HEARSAY_FACTOR * length * health_factor + HEARSAY_DELAY

    def _length(self, tuning: MembershipTuning, others: int) -> float:
        opinions = min(tuning.opinions, others)
        if opinions <= 0:
            return (tuning.min_suspicion + tuning.max_suspicion) / 2  # nobody else is there to ask
        confirmed = min(math.log(max(len(self.by), 1)) / math.log(opinions + 1), 1.0)
        if self.declared:
            confirmed = 1.0
        return tuning.max_suspicion - (tuning.max_suspicion - tuning.min_suspicion) * confirmed
