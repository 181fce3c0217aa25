"""What each part of a fleet gets from the program, and the interface that each part implements."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

from ...decisions.members.member import Member, MembershipView
from ...decisions.shared.registers import RegisterStore
from ...routing.core import Core, Taker
from ...routing.follow import Follower
from ...transport.loop import Loop
from ..config import Config


@dataclass(frozen=True, slots=True)
class Ground:
    """What each part gets once, when the process starts."""

    loop: Loop
    config: Config  # the sidecar's own
    members: MembershipView
    cells: RegisterStore
    folder: Path | None  # private to this member; its contents outlive the process; None without one


@dataclass(frozen=True, slots=True)
class Answer:
    """The response to a console call; the body is sent as JSON."""

    status: int
    body: Mapping[str, Any]


class Part(Protocol):
    """One feature of the fleet, such as wallets: `program/fleet/NAME.py` has it and its table's struct."""

    def taker(self, inner: Taker) -> Taker:
        """Returns what receives requests before `inner`, or `inner` itself. Called once."""

    def tick(self, now: float) -> float:
        """Does what is due, and returns the latest time for the next call."""

    def member_changed(self, now: float, before: Member | None, after: Member) -> None:
        """Reacts to a changed member; `before` is None for a new one."""

    def call(self, now: float, method: str, path: tuple[str, ...], query: Mapping[str, str]) -> Answer | None:
        """Executes a console call, with the segments of its path after `/-/`.

        Returns None if the call is for another part. Raises Trouble, which is answered with status 409 and
        the remedy.
        """

    def reload(self, now: float, tables: Any) -> list[str]:
        """Applies the new tables of the file; returns the keys that need a restart."""

    def leave(self, now: float) -> None:
        """Reacts to SIGTERM: requests in flight continue, rights are handed back."""

    def close(self) -> None:
        """Releases everything just before the process ends."""

    def figures(self) -> Mapping[str, object]:
        """Returns the counters for the last log line."""


class Joined(Part, Protocol):
    """A part that acts on the balancer or the endpoint list: evidence, the relayed list, persistence."""

    def attach(self, core: Core, follower: Follower) -> None:
        """Connects the part to core and discovery. Called once, before the first request."""

    def ready_from(self, now: float) -> float:
        """Returns the time on the loop's clock from which this part allows the listener to be opened.

        `now` or earlier means at once. Called until the time has passed, so it must be bounded.
        """
