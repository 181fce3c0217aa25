"""Random selection of members to talk to."""

from __future__ import annotations

import random

from .member_table import MemberRecord, MemberTable


class PeerSampler:
    """Draws distinct random members, never this one."""

    def __init__(self, table: MemberTable, random_source: random.Random) -> None:
        self._table = table
        self._random = random_source

    def alive(self, count: int) -> list[MemberRecord]:
        """Returns at most `count` members without a suspicion, or suspects where all are suspected."""
        candidates = self._table.alive() or self._table.living()
        return self._random.sample(candidates, min(count, len(candidates)))

    def living(self, count: int) -> list[MemberRecord]:
        """Returns at most `count` members that are alive or suspected."""
        candidates = self._table.living()
        return self._random.sample(candidates, min(count, len(candidates)))
