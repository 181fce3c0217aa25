"""Two sets of results held against each other, paired by seed."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np

from ..errors import Trouble

DRAWS, PART, FEWEST = 4000, 0.95, 3
FIGURES = (
    "goodput",
    "finished",
    "rejected",
    "terminated",
    "p50_ms",
    "p99_ms",
    "tries",
    "busiest",
    "wasted",
    "worst_second",
    "recovery_s",
    "rules_broken",
    "executions_twice",
)


class Unreadable(Trouble):
    """A folder that holds no results."""

    remedy = "name folders that `rainspindle lab run` has written, of one experiment"


@dataclass(frozen=True, slots=True)
class Difference:
    figure: str
    before: float
    after: float
    low: float
    high: float  # the interval of the mean difference
    pairs: int

    @property
    def shown(self) -> bool:
        return self.pairs >= FEWEST and not self.low <= 0 <= self.high

    def __str__(self) -> str:
        verdict = (
            ""
            if self.shown
            else "  no difference shown"
            + (f" ({self.pairs} pairs are too few)" if self.pairs < FEWEST else "")
        )
        return (
            f"{self.figure:18} {self.before:12.4f} -> {self.after:12.4f}  "
            f"[{self.low:+.4f}, {self.high:+.4f}]{verdict}"
        )


def read(place: str) -> tuple[dict[str, Any], str]:
    """The results of `DIR` or `DIR:VARIANT`, and the variant: the first where none is named."""
    folder, _, variant = place.partition(":")
    path = Path(folder) / "results.json"
    try:
        found = json.loads(path.read_text())
        names = list(found["variants"])
    except OSError as fault:
        raise Unreadable(f"{path}: {fault.strerror}") from None
    except (ValueError, KeyError, TypeError):
        raise Unreadable(f"{path}: not the lab's results") from None
    variant = variant or ("module" if "module" in names else names[0])
    if variant not in names:
        raise Unreadable(f"{path}: no variant {variant!r}; there are {', '.join(names)}")
    return found, variant


def interval(differences: np.ndarray) -> tuple[float, float]:
    """Where the mean lies, by a bootstrap over the pairs; the same draws each time."""
    rng = np.random.default_rng(20)
    means = rng.choice(differences, (DRAWS, len(differences))).mean(axis=1)
    low, high = np.quantile(means, [(1 - PART) / 2, (1 + PART) / 2])
    return float(low), float(high)


def compare(one: str, other: str) -> list[Difference]:
    """Raises Unreadable, also where there is no pair."""
    (a, a_name), (b, b_name) = read(one), read(other)
    runs_a, runs_b = a["variants"][a_name]["runs"], b["variants"][b_name]["runs"]
    seeds = [s for s in runs_a if s in runs_b and not runs_a[s]["faults"] and not runs_b[s]["faults"]]
    if not seeds:
        raise Unreadable(f"{one} and {other}: no seed that both have played soundly")
    if a["experiment"] != b["experiment"]:
        raise Unreadable(f"{one} is of {a['experiment']}, {other} of {b['experiment']}")
    found = []
    for figure in FIGURES:
        before = np.array([runs_a[s]["figures"][figure] for s in seeds])
        after = np.array([runs_b[s]["figures"][figure] for s in seeds])
        low, high = interval(after - before)
        found.append(Difference(figure, float(before.mean()), float(after.mean()), low, high, len(seeds)))
    return found
