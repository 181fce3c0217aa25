"""What must hold: asserted in debug builds, counted in release builds (python -O)."""

from __future__ import annotations

import logging
from collections import Counter

broken: Counter[str] = Counter()


def must(holds: bool, name: str) -> None:
    if not holds:
        broken[name] += 1
        if broken[name] == 1:
            logging.getLogger(__name__).error("broken", extra={"fields": {"what": name}})
        assert holds, name
