"""Whether the new side burns its budget: two windows, each with its burn rate, the old side as yardstick.

Source: Beyer, Murphy, Rensin, Kawahara, Thorne (eds.), "The Site Reliability Workbook" (2018), chapter 5:
an alert wants the burn rate over its limit in a long window, so that it matters, and in a short one, so that
it has not ended. Departed from in two points: the rate is what goes beyond the old side's, and what chance
may make of a release that keeps its budget is no sign.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import IntEnum

from .counts import EFFECTS, TURNED, Sums, at
from .terms import Terms

# Guards against false stops where few exchanges are seen: failures that a release within its budget makes
# once in so many looks are no sign. May hurt where traffic is thin: a bad release is let go on for some more.
CHANCE = math.log(1e5)
UNEVEN = 1.25  # a trouble of the whole fleet does not fall on both sides alike: times the old side's rate
GROUPS: tuple[tuple[str, tuple[int, ...]], ...] = (
    ("all", tuple(range(len(EFFECTS)))),
    *((effect.value, (n,)) for n, effect in enumerate(EFFECTS)),
)


class Level(IntEnum):
    SOUND = 0
    OVER = 1  # burns faster than its budget allows: it goes on, and not forward
    PAUSE = 2
    ABORT = 3


@dataclass(frozen=True, slots=True)
class Burn:
    """Of one group of exchanges."""

    group: str
    new: tuple[int, int]  # in the long window: all, and those failed or late
    old: tuple[int, int]
    long: float  # burn rates: times the budget
    short: float
    level: Level


def counted(sums: Sums, new: bool, kinds: tuple[int, ...]) -> tuple[int, int]:
    return sum(sums[at(new, kind)] for kind in kinds), sum(sums[at(new, kind, True)] for kind in kinds)


def yardstick(old: tuple[int, int]) -> float:
    """What the old side fails at; with few exchanges more than was seen, with none all of them."""
    return min(1.0, UNEVEN * (old[1] + 1) / (old[0] + 1))


def rate(new: tuple[int, int], old: tuple[int, int], budget: float) -> float:
    return max(0.0, new[1] / new[0] - yardstick(old)) / budget if new[0] else 0.0


def more_than_chance(new: tuple[int, int], share: float) -> bool:
    """By Chernoff's bound on the tail of a binomial distribution."""
    n, part = new[0], new[1] / new[0] if new[0] else 0.0
    if not n or part <= share or share >= 1:
        return False
    far = part * math.log(part / share) + ((1 - part) * math.log((1 - part) / (1 - share)) if part < 1 else 0)
    return n * far > CHANCE


def look(terms: Terms, long: Sums, short: Sums) -> list[Burn]:
    """All groups: the exchanges together, and those of each effect, as a release may fail for one alone."""
    found = []
    for group, kinds in GROUPS:
        new, old = counted(long, True, kinds), counted(long, False, kinds)
        burns = (
            rate(new, old, terms.budget),
            rate(counted(short, True, kinds), counted(short, False, kinds), terms.budget),
        )
        level = Level.OVER if burns[0] > 1 else Level.SOUND
        if more_than_chance(new, min(yardstick(old) + terms.budget, 1.0)):
            level = (
                Level.ABORT
                if min(burns) >= terms.abort_at
                else Level.PAUSE
                if min(burns) >= terms.pause_at
                else level
            )
        found.append(Burn(group, new, old, *burns, level))
    return found


def turned_away(sums: Sums) -> float:
    """The part of the new side's exchanges that its endpoints had no room for."""
    turned, all_new = sums[at(True, TURNED)], counted(sums, True, GROUPS[0][1])[0]
    return turned / (turned + all_new) if turned else 0.0
