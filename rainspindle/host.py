"""What the decision module is given: plain types, and the host interface through which it acts."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import Protocol

from .values import dataclass


class Effect(Enum):
    RETRIABLE = "retriable"
    FINGERPRINTED = "fingerprinted"
    BINDING = "binding"


class Group(Enum):
    """The endpoints that drop each other's repeats of a fingerprinted exchange."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    GONE = "gone"
    DRAINING = "draining"
    READY = "ready"
    LEFT_OUT = "left out"  # by an order of the staff, whatever a list tells; no list has it


class Outcome(Enum):
    """How a forward ended."""

    SERVED = "served"
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed out"
    UNCONNECTED = "unconnected"
    RESET = "reset"
    CALLED_OFF = "called off"
    UNSENT = "unsent"


@dataclass(frozen=True, slots=True)
class TrafficType:
    effect: Effect
    group: Group
    promised_time: float
    expiry: float
    memory_span: float
    value: float = 1.0


@dataclass(frozen=True, slots=True)
class Listed:
    """One line of the endpoint list."""

    id: str
    cell: int
    zone: int
    share: float
    state: State
    started: float | None
    kind: int = 0  # of machine, by number


@dataclass(frozen=True, slots=True)
class Facts:
    """What one sidecar of a pool has learnt."""

    rates: tuple[float, ...]  # exchanges a second that came to it, by tenant
    kinds: dict[int, tuple[float, float]]  # calm time and free places, by kind of machine


class Host(Protocol):
    """All that the decision module can do. Times are seconds."""

    def forward(self, exchange: int, endpoint: str, patience: float) -> None:
        """Send the exchange to an endpoint; forwards of one exchange count 0, 1, 2 ... in this order."""

    def reject(self, exchange: int, hold_off: float) -> None: ...

    def terminate(self, exchange: int) -> None: ...

    def call_off(self, exchange: int, number: int) -> None: ...

    def wake(self, delay: float, token: str) -> None: ...

    def probe(self, endpoint: str) -> None: ...

    def watch_list(self) -> None: ...

    def ask_list(self) -> None: ...

    def close_idle(self, endpoint: str) -> None: ...

    def tell_held(self, began: Sequence[int], ended: Sequence[int], whole: bool) -> None:
        """Tells the other sidecars the endpoint of each exchange out by its mark of 24 bits: the `whole`, or
        what has changed. It may be lost."""

    def tell_facts(self, facts: Facts) -> None:
        """Tells the other sidecars what was learnt; it may be lost."""

    def log(self, line: str) -> None: ...
