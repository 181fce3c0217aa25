"""The members under suspicion, and the detection of mass failures."""

from __future__ import annotations

import math

from .member_table import MemberRecord, MemberTable

# A mass failure is assumed when the number of suspects reaches the larger of these two thresholds.
MASS_FAILURE = 3  # suspects
MASS_FAILURE_SHARE = 0.05  # suspects as a share of all members that are alive or suspected
MASS_FAILURE_DURATION = 5.0  # seconds for which `was_mass_failure` holds after the threshold was reached


class Suspects:
    """The members under suspicion.

    Attributes:
        records: Records of the suspected members by name.
    """

    def __init__(self, table: MemberTable) -> None:
        self.records: dict[str, MemberRecord] = {}
        self._table = table
        self._mass_failure_until = -math.inf

    def add(self, now: float, record: MemberRecord) -> None:
        """Adds a suspect and checks whether this amounts to a mass failure."""
        self.records[record.name] = record
        if self.is_mass_failure():
            self._mass_failure_until = now + MASS_FAILURE_DURATION

    def discard(self, name: str) -> None:
        """Removes a member; does nothing if it is not suspected."""
        self.records.pop(name, None)

    def is_mass_failure(self) -> bool:
        """Returns whether so many members are suspected that a mass failure is likely."""
        return len(self.records) >= max(MASS_FAILURE, MASS_FAILURE_SHARE * len(self._table.living()))

    def was_mass_failure(self, now: float) -> bool:
        """Returns whether a mass failure was detected within the last few seconds."""
        return now < self._mass_failure_until
