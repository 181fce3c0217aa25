"""Who is there, by SWIM with Lifeguard's amendments. No I/O, no clock, no chance of its own.

Source: Das, Gupta, Motivala, "SWIM" (DSN 2002); Dadgar, Phillips, Currey, "Lifeguard" (2018).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ...transport.address import Address


class Standing(Enum):
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class Member:
    """One member as this one believes it to be."""

    name: str
    address: Address  # where it hears the others
    life: int  # grows from start to start of one name
    incarnation: int  # grows within a life, by the member alone
    standing: Standing
    heard: float  # seconds on this process's clock: when anything of this life was last heard, from anybody
    direct: float  # when a message of it came here itself; -inf if never


class MembersHost(Protocol):
    """All that the members can do."""

    def send(self, to: Address, datagram: bytes) -> None:
        """1,200 bytes at most; it may be lost, late, doubled."""

    def changed(self, before: Member | None, after: Member) -> None:
        """A member's standing, life or address is another now."""

    def log(self, event: str, **fields: object) -> None: ...


class View(Protocol):
    """What the users of the members may ask, wallet, canary and console alike."""

    own_name: str
    own_life: int

    def members(self) -> list[Member]:
        """Itself among them, by name."""

    def member(self, name: str) -> Member | None: ...
