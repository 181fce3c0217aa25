"""State of the member that this process runs itself."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ...protocol import members as wire
from ...protocol.members import Status
from ...transport.address import Address
from .member_table import MemberRecord

# Seconds after the first other member is found in which a higher incarnation of the own name is attributed to
# an earlier start of this sidecar whose clock was ahead.
SETTLING_TIME = 3.0
NEWLY_JOINED_TIME = 5.0  # seconds after settling in which state is exchanged more often


def make_own_record(name: str, address: Address, incarnation: int, now: float) -> MemberRecord:
    """Returns the record of a member that has just started; others reach it at `address`.

    Raises:
        OSError: The host of the address is not a numeric IP address.
    """
    return MemberRecord(name, wire.pack_address(address), incarnation, 0, Status.ALIVE, now, now, now)


@dataclass(slots=True)
class OwnMember:
    """Record of the own member, and the phases from joining to leaving.

    Attributes:
        record: Record that is sent to others.
        is_leaving: Whether the process is shutting down.
        settled_at: Time at which the settling period ends; infinite until another member is known.
    """

    record: MemberRecord
    is_leaving: bool = False
    settled_at: float = math.inf

    def on_others_met(self, now: float) -> None:
        """Starts the settling period when the first other member is known."""
        if self.settled_at == math.inf:
            self.settled_at = now + SETTLING_TIME

    def is_settled(self, now: float) -> bool:
        """Returns whether the settling period is over.

        A higher incarnation of the own name is from then on a conflict with another process.
        """
        return now >= self.settled_at

    def is_newly_joined(self, now: float) -> bool:
        """Returns whether this member joined so recently that it exchanges state more often."""
        return now < self.settled_at + NEWLY_JOINED_TIME
