"""What the relayed list and shared health need of a run in virtual time, and of a sidecar in it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from ..balancer.host import ListedEndpoint
from ..routing.facade import Facade
from .ledger import Ledger
from .world import World


class ClockView(Protocol):
    """Virtual time."""

    @property
    def now(self) -> float:
        """Seconds."""

    def at(self, when: float, do: Callable[[], None]) -> None:
        """Calls `do` at that time."""


class SidecarView(Protocol):
    """One sidecar of a run."""

    facade: Facade

    @property
    def number(self) -> int:
        """Which of the run's sidecars."""

    @property
    def lives(self) -> int:
        """Grows with each start and each end."""

    @property
    def zone(self) -> int:
        """Where it is."""

    @property
    def clock(self) -> ClockView:
        """The run's."""

    @property
    def run(self) -> RunView:
        """The run that it is part of."""

    @property
    def version(self) -> int:
        """Of the list that it goes by."""

    def living(self, do: Callable[[], None]) -> Callable[[], None]:
        """Returns `do` for this start alone."""

    def ask(self) -> None:
        """Asks for the list."""

    def told(self, version: int, lines: list[ListedEndpoint]) -> None:
        """Takes in a list."""


class RunView(Protocol):
    """One run."""

    @property
    def world(self) -> World:
        """What is played."""

    @property
    def clock(self) -> ClockView:
        """Its time."""

    @property
    def ledger(self) -> Ledger:
        """What happened."""

    @property
    def sidecars(self) -> Sequence[SidecarView]:
        """All sidecars."""
