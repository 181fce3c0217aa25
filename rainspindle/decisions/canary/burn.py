"""Multi-window burn rates of a canary's error budget, with the old side as the baseline.

The new side is the variant under test; the old side is what it is compared with.

Source: Beyer, Murphy, Rensin, Kawahara, Thorne (eds.), "The Site Reliability Workbook" (2018), chapter 5:
an alert requires the burn rate to exceed its limit in a long window, which shows that the fault matters, and
in a short one, which shows that it is still going on. This module departs from it in two points: only
failures beyond the old side's count, and a result that a release within its budget may show by chance does
not count.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import IntEnum

from .counts import IDEMPOTENCIES, REJECTED, Sums, counter_index
from .terms import Terms

# Guards against false stops at low traffic: a failure count that a release within its budget reaches once in
# 1e5 evaluations is not taken as evidence. Too strict at low traffic: a bad release continues for longer.
MIN_EVIDENCE = math.log(1e5)
# Times the old side's failure share: a fault of the whole fleet does not hit both sides equally.
BASELINE_MARGIN = 1.25
GROUPS: tuple[tuple[str, tuple[int, ...]], ...] = (
    ("all", tuple(range(len(IDEMPOTENCIES)))),
    *((idempotency.value, (n,)) for n, idempotency in enumerate(IDEMPOTENCIES)),
)


class Level(IntEnum):
    """What the burn rates of a group of requests call for, the most severe last."""

    HEALTHY = 0
    OVER_BUDGET = 1  # burns faster than its budget allows: the run continues but does not advance
    PAUSE = 2
    ABORT = 3


@dataclass(frozen=True, slots=True)
class BurnRates:
    """The burn rates of one group of requests."""

    group: str
    new: tuple[int, int]  # requests in the long window: all, and those that failed or were late
    old: tuple[int, int]
    long_rate: float  # multiples of the rate that the budget allows
    short_rate: float
    level: Level


def totals(sums: Sums, new: bool, classes: tuple[int, ...]) -> tuple[int, int]:
    """Requests of one side in these classes: all, and those that failed or were late."""
    return sum(sums[counter_index(new, index)] for index in classes), sum(
        sums[counter_index(new, index, True)] for index in classes
    )


def baseline_share(old: tuple[int, int]) -> float:
    """The share of requests that may fail on the new side without counting against it.

    One failed request is added to those of the old side, so with few requests the share is higher than what
    was seen, and with none it is 1.
    """
    return min(1.0, BASELINE_MARGIN * (old[1] + 1) / (old[0] + 1))


def burn_rate(new: tuple[int, int], old: tuple[int, int], budget: float) -> float:
    """The share of failed requests beyond the baseline, as a multiple of the budget."""
    return max(0.0, new[1] / new[0] - baseline_share(old)) / budget if new[0] else 0.0


def is_significant(new: tuple[int, int], expected_share: float) -> bool:
    """Whether chance is ruled out by the Chernoff bound on the tail of a binomial distribution."""
    count, share = new[0], new[1] / new[0] if new[0] else 0.0
    if not count or share <= expected_share or expected_share >= 1:
        return False
    divergence = share * math.log(share / expected_share) + (
        (1 - share) * math.log((1 - share) / (1 - expected_share)) if share < 1 else 0
    )
    return count * divergence > MIN_EVIDENCE


def look(terms: Terms, long: Sums, short: Sums) -> list[BurnRates]:
    """Evaluates all requests together, then those of each idempotency: a release may fail for one alone."""
    found = []
    for group, classes in GROUPS:
        new, old = totals(long, True, classes), totals(long, False, classes)
        rates = (
            burn_rate(new, old, terms.budget),
            burn_rate(totals(short, True, classes), totals(short, False, classes), terms.budget),
        )
        level = Level.OVER_BUDGET if rates[0] > 1 else Level.HEALTHY
        if is_significant(new, min(baseline_share(old) + terms.budget, 1.0)):
            level = (
                Level.ABORT
                if min(rates) >= terms.abort_at
                else Level.PAUSE
                if min(rates) >= terms.pause_at
                else level
            )
        found.append(BurnRates(group, new, old, *rates, level))
    return found


def rejected_share(sums: Sums) -> float:
    """The share of the new side's requests that were rejected because its endpoints had no capacity."""
    rejected, answered = sums[counter_index(True, REJECTED)], totals(sums, True, GROUPS[0][1])[0]
    return rejected / (rejected + answered) if rejected else 0.0
