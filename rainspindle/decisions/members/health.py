"""Lifeguard's parts: how far a member doubts itself, and how long it suspects another before it buries it.

Source: Dadgar, Phillips, Currey, "Lifeguard: local health awareness for more accurate failure detection"
(2018).
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

LAST_WORD = 0.6  # seconds before a burial in which the other is asked once more


@dataclass(frozen=True, slots=True)
class Tuning:
    """The figures of one member. Seconds, and counts."""

    period: float = 0.5  # between own probes
    direct: float = 0.2  # that a probed member has to answer before others are asked
    indirect: float = 0.35  # that those others have
    helpers: int = 3  # asked at once
    least: float = 1.8  # of suspicion, where `opinions` members have it independently
    longest: float = 5.0  # of suspicion, where nobody else has it
    opinions: int = 3
    doubts: int = 8  # the most that a member doubts itself
    lifeguard: bool = True  # False: SWIM as first published, to compare with
    plain: float = 2.4  # of suspicion then
    asleep: float = 0.75  # between two looks at the clock, over which the process was stopped
    rate: float = 10.0  # datagrams a second of its own will
    burst: float = 30.0
    answers: float = 60.0  # datagrams a second in answer to members
    greetings: float = 100.0  # the same to those not known yet
    urgent: float = 2.0  # datagrams a second that go out for news of members alone, `at_once` at once
    at_once: float = 12.0
    more: float = 8.0  # a second, for each: second opinions, probes further along the ring, crowded news
    more_at_once: float = 24.0
    words: float = 500.0  # datagrams a second of the pool's word
    most: int = 4096  # members that are kept
    forget: float = 3600.0  # that the dead and those who left are kept
    whole: float = 5.0  # between exchanges of the whole state while they bring nothing new
    sums: float = 1.0  # between sums of cells


class Health:
    """Guards against a slow or cut off member that takes the others for dead; may hurt where most are dead at
    once: it is then slower to say so."""

    def __init__(self, most: int) -> None:
        self.most, self.doubt = most, 0

    def worse(self, by: int = 1) -> None:
        self.doubt = min(self.doubt + by, self.most)

    def better(self) -> None:
        self.doubt = max(self.doubt - 1, 0)

    @property
    def factor(self) -> float:
        """By which its time limits grow."""
        return 1.0 + self.doubt


@dataclass(slots=True)
class Suspicion:
    """Of one member at one incarnation."""

    since: float
    by: set[str] = field(default_factory=set)  # who has it, of those heard of
    own: bool = False  # a probe of this member has failed too: it decides, others wait for its word
    follows: bool = False  # another had it before, whose verdict comes first
    words: int = 0  # last pings sent before it is buried
    verdict: bool = False  # others have buried it
    ask: float = math.inf  # when it is probed for that, where the verdict has not been confirmed by then

    def lasts(self, tuning: Tuning, factor: float, others: int) -> float:
        """Seconds. Shorter with each member that suspects it independently."""
        if not tuning.lifeguard:
            return tuning.plain
        opinions = min(tuning.opinions, others)
        if opinions <= 0:
            length = (tuning.least + tuning.longest) / 2  # nobody else is there to ask
        else:
            told = min(math.log(max(len(self.by), 1)) / math.log(opinions + 1), 1.0)
            told = 1.0 if self.verdict else told
            length = tuning.longest - (tuning.longest - tuning.least) * told
        if self.own and self.follows:
            length += LAST_WORD  # so that not all who have it ask once more at the same time
        return length * factor if self.own else 2.5 * length * factor + 1.0
