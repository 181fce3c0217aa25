"""What every part of the fleet stands on, and what the program asks of each part."""

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
    """Given to each part once, when the process starts."""

    loop: Loop
    config: Config  # the sidecar's own
    members: MembershipView
    cells: RegisterStore
    folder: Path | None  # of this member alone, which outlasts it; None where there is none


@dataclass(frozen=True, slots=True)
class Answer:
    """Of a console call: the body goes out as JSON."""

    status: int
    body: Mapping[str, Any]


class Part(Protocol):
    """Wallets, canaries: each a file `program/fleet/NAME.py` with its table's struct, and such a class."""

    def taker(self, inner: Taker) -> Taker:
        """What takes exchanges before `inner` does. Called once; `inner` itself if there is nothing to do."""

    def tick(self, now: float) -> float:
        """Does what is due, and tells when to be called next at the latest."""

    def member_changed(self, now: float, before: Member | None, after: Member) -> None: ...

    def call(self, now: float, method: str, path: tuple[str, ...], query: Mapping[str, str]) -> Answer | None:
        """A console call by the parts of its path after `/-/`; None where it is not this part's.

        Raises Trouble, which becomes status 409 with the remedy."""

    def reload(self, now: float, tables: Any) -> list[str]:
        """Takes over new tables of the file; names what needs a restart."""

    def leave(self, now: float) -> None:
        """SIGTERM has come: exchanges under way go on, rights are handed back."""

    def close(self) -> None:
        """The last thing before the process ends."""

    def figures(self) -> Mapping[str, object]:
        """For the log's last line."""


class Joined(Part, Protocol):
    """A part that acts on the decisions or on the list: evidence, the relayed list, what is kept."""

    def attach(self, core: Core, follower: Follower) -> None:
        """Both are there, and no exchange has come yet. Called once."""

    def ready_from(self, now: float) -> float:
        """When the door may open as far as this part knows, on the loop's clock; `now` or earlier: at once.

        Asked until it lies in the past, so it must be bounded."""
