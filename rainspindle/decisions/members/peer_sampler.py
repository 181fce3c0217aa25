"""Members drawn by chance."""

from __future__ import annotations

import random

from .member_table import MemberRecord, MemberTable


class PeerSampler:
    """Draws members to talk to."""

    def __init__(self, table: MemberTable, random_source: random.Random) -> None:
        self._table = table
        self._random = random_source

    def alive(self, count: int) -> list[MemberRecord]:
        """Draws of those that nobody is known to suspect, where there are any."""
        candidates = self._table.alive() or self._table.living()
        return self._random.sample(candidates, min(count, len(candidates)))

    def living(self, count: int) -> list[MemberRecord]:
        """Draws of those alive or suspected."""
        candidates = self._table.living()
        return self._random.sample(candidates, min(count, len(candidates)))
