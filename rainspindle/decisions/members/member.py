"""Public view of a member, and the interfaces between membership, its host and its users."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ...transport.address import Address


class MemberStatus(Enum):
    """Status of a member as this process believes it to be; the values appear in the console's JSON."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class Member:
    """One member as this process believes it to be.

    Attributes:
        name: Name, unique in the fleet.
        address: Address at which the member receives datagrams.
        incarnation: Number of the member's start; increases with each start under the same name.
        refutation: Number that the member alone increases within an incarnation to refute a suspicion.
        status: Believed status.
        heard_at: Time, on this process's clock, of the latest evidence of this incarnation from any source.
        heard_directly_at: Time at which this process last received a message from the member itself; -inf if
            never.
    """

    name: str
    address: Address
    incarnation: int
    refutation: int
    status: MemberStatus
    heard_at: float
    heard_directly_at: float


class MembershipHost(Protocol):
    """Side effects of membership, provided by the program."""

    def send(self, to: Address, datagram: bytes) -> None:
        """Sends a datagram of at most 1,200 bytes; it may be lost, delayed or duplicated."""

    def on_member_changed(self, before: Member | None, after: Member) -> None:
        """Handles a changed status, incarnation or address; `before` is None for a new member."""

    def log(self, event: str, **fields: object) -> None:
        """Logs one event with its fields."""


class MembershipView(Protocol):
    """Read-only queries for the users of membership, such as wallets, canaries and the console."""

    @property
    def own_name(self) -> str:
        """Name of the member that this process runs."""

    @property
    def own_incarnation(self) -> int:
        """Incarnation of this process."""

    def members(self) -> list[Member]:
        """Returns all known members sorted by name, including this one."""

    def member(self, name: str) -> Member | None:
        """Returns the member of that name, or None if it is not known."""
