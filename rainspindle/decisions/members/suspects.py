"""The members that are suspected, and whether they are many."""

from __future__ import annotations

import math

from .member_table import MemberRecord, MemberTable

MASS_FAILURE = 3  # suspects, or
MASS_FAILURE_SHARE = 0.05  # of all living, where that is more, that tell of many dead at once
MASS_FAILURE_LASTS = 5.0  # seconds for which it is held for that


class Suspects:
    """The suspected members.

    Attributes:
        records: By name.
    """

    def __init__(self, table: MemberTable) -> None:
        self.records: dict[str, MemberRecord] = {}
        self._table = table
        self._mass_failure_until = -math.inf

    def add(self, now: float, record: MemberRecord) -> None:
        """Adds a suspect."""
        self.records[record.name] = record
        if self.is_mass_failure():
            self._mass_failure_until = now + MASS_FAILURE_LASTS

    def discard(self, name: str) -> None:
        """Takes a member off the suspects."""
        self.records.pop(name, None)

    def is_mass_failure(self) -> bool:
        """Returns whether many are suspected at once."""
        return len(self.records) >= max(MASS_FAILURE, MASS_FAILURE_SHARE * len(self._table.living()))

    def was_mass_failure(self, now: float) -> bool:
        """Returns whether many were suspected lately."""
        return now < self._mass_failure_until
