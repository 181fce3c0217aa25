"""Invariants: asserted in debug builds, counted and logged once in release builds (`python -O`)."""

from __future__ import annotations

import logging
from collections import Counter

violations: Counter[str] = Counter()  # by name of the invariant


def check_invariant(holds: bool, name: str) -> None:
    """Counts a violation of the invariant `name` if it does not hold.

    Raises:
        AssertionError: It does not hold, in a debug build.
    """
    if not holds:
        violations[name] += 1
        if violations[name] == 1:
            logging.getLogger(__name__).error("invariant violated", extra={"fields": {"what": name}})
        assert holds, name
