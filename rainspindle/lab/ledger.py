"""What clients, endpoints and the list wrote down: all that the auditor and the figures are made from.

Times are seconds from the start of the run, on one clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field


@dataclass(slots=True)
class Asked:
    """One try of a client, as the client saw it."""

    id: str  # of this try; ever new
    op: str  # what the client wants done; the same for all its tries
    type: int
    sidecar: int
    due: float  # when the first try of the operation was to be sent
    sent: float
    wait: float  # the client gives up this long after sending
    expiry: float  # the traffic type's, after sending
    answers: list[tuple[str, float, str]] = field(default_factory=list)  # kind, when, the run it stems from
    left_at: float = math.inf  # when the client gave up
    broken: bool = False  # its sidecar was killed or unreachable: nothing is owed


@dataclass(slots=True)
class Run:
    """One exchange that reached an endpoint whole."""

    id: str  # of the client's try
    op: str
    type: int
    sidecar: int
    endpoint: int
    start: int  # which start of the endpoint: 0, 1, 2 ...
    token: str  # what the endpoint answers with, its own for every run
    first: float  # the first byte came
    arrived: float  # the last byte came
    work: float  # on a standard core
    sent: float = -math.inf  # its sidecar began to send, where that is known better than by `first`
    began: float = math.inf
    ended: float = math.inf
    how: str = ""  # served, error, full, hung, cancelled, lost


@dataclass(slots=True)
class Start:
    """An endpoint has started, cold if `cold`, or gone down."""

    endpoint: int
    start: int
    at: float
    cold: bool
    what: str = "start"  # start, down, fell


@dataclass(slots=True)
class Told:
    """The list told a sidecar of an endpoint's state."""

    sidecar: int
    endpoint: int
    state: str
    at: float


@dataclass(slots=True)
class Met:
    """What a sidecar met: a call to the list service, a handshake with an endpoint, a trial sent to one; or a
    cell that it wrote."""

    what: str  # call, handshake, trial, cell
    sidecar: int
    endpoint: int  # -1: the list service
    at: float
    refused: bool = False  # turned away, as there was no place; of a trial: the endpoint could not serve it


@dataclass(slots=True)
class Ledger:
    asked: list[Asked] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    starts: list[Start] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    lateness: list[float] = field(default_factory=list)  # of the load generator, by try
    notes: list[str] = field(default_factory=list)  # faults of the lab itself
    met: list[Met] = field(default_factory=list)  # in virtual time alone

    def add(self, other: Ledger) -> None:
        for name in ("asked", "runs", "starts", "told", "lateness", "notes", "met"):
            getattr(self, name).extend(getattr(other, name))
