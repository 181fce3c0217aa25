"""What must hold: asserted in debug builds, counted in release builds (python -O)."""

from __future__ import annotations

from collections import Counter

broken: Counter[str] = Counter()


def must(holds: bool, name: str) -> None:
    if not holds:
        broken[name] += 1
        assert holds, name
