"""This process's own place among the members."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ...protocol import members as wire
from ...protocol.members import Status
from ...transport.address import Address
from .member_table import MemberRecord

# Seconds from the first other member on, in which a higher incarnation of the own name is taken for an
# earlier start of this sidecar, whose clock was ahead.
SETTLING_TIME = 3.0
YOUNG_TIME = 5.0  # seconds after settling in which news is exchanged more often


def make_own_record(name: str, address: Address, incarnation: int, now: float) -> MemberRecord:
    """Returns the record of a member that has just begun; others reach it at `address`.

    Raises:
        OSError: The host of the address is not numeric.
    """
    return MemberRecord(name, wire.pack_address(address), incarnation, 0, Status.ALIVE, now, now, now)


@dataclass(slots=True)
class OwnMember:
    """The own record, and the phases of its life.

    Attributes:
        record: As told to others.
        is_leaving: Whether the process shuts down.
        settled_at: When it has been among others for long enough; infinite before it has met one.
    """

    record: MemberRecord
    is_leaving: bool = False
    settled_at: float = math.inf

    def on_others_met(self, now: float) -> None:
        """Records that another member is there."""
        if self.settled_at == math.inf:
            self.settled_at = now + SETTLING_TIME

    def is_settled(self, now: float) -> bool:
        """Returns whether the own name is known to be its own."""
        return now >= self.settled_at

    def is_young(self, now: float) -> bool:
        """Returns whether it has come lately."""
        return now < self.settled_at + YOUNG_TIME
