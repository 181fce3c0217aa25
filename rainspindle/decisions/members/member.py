"""Who is there: a member as others see it, and what membership acts through."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ...transport.address import Address


class MemberStatus(Enum):
    """What a member is believed to be."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class Member:
    """One member as this one believes it to be.

    Attributes:
        name: Unique in its fleet.
        address: Where it hears the others.
        incarnation: Grows from start to start of one name.
        refutation: Grows within an incarnation, by the member alone, to refute a suspicion.
        status: What it is believed to be.
        heard_at: Seconds on this process's clock: when anything of this incarnation was last heard, from
            anybody.
        heard_directly_at: When a message of it came here itself; -inf if never.
    """

    name: str
    address: Address
    incarnation: int
    refutation: int
    status: MemberStatus
    heard_at: float
    heard_directly_at: float


class MembershipHost(Protocol):
    """Everything that membership can do."""

    def send(self, to: Address, datagram: bytes) -> None:
        """Sends 1,200 bytes at most, which may be lost, late or duplicated."""

    def on_member_changed(self, before: Member | None, after: Member) -> None:
        """Takes in that a member's status, incarnation or address is another now."""

    def log(self, event: str, **fields: object) -> None:
        """Writes one event to the log."""


class MembershipView(Protocol):
    """What the users of membership may ask: wallets, canaries and the console alike."""

    @property
    def own_name(self) -> str:
        """This member's name."""

    @property
    def own_incarnation(self) -> int:
        """Of this process."""

    def members(self) -> list[Member]:
        """Returns all members by name, this one among them."""

    def member(self, name: str) -> Member | None:
        """Returns one member, if it is known."""
