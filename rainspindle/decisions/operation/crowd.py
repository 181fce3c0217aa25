"""Which client connection gives way to another, by age and progress. No I/O.

Guards against a crowd that connects and never finishes a request: a slow client whose request goes on keeps
its place. It also holds against connections kept after one request, which cost their client a new one at the
most. It may hurt where true clients connect long before they ask: they are the first to go, and come again.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from typing import Generic, TypeVar

C = TypeVar("C")


class Crowd(Generic[C]):
    """All connections that have no whole request, each in one of three states, the longest in it first."""

    SILENT = 0.5  # seconds after which one that has sent nothing gives way to all others
    STALLED = 0.5  # and one that has begun and not gone on
    LOOKS = 4  # at those that might go, of each sort: under overload nearly all have sent more

    def __init__(self) -> None:
        self.silent: dict[C, float] = {}  # since when they owe their first byte
        self.begun: dict[C, float] = {}  # when their last byte came
        self.waiting: dict[C, float] = {}  # since when they rest between requests

    def came(self, one: C, now: float) -> None:
        self.gone(one)
        self.silent[one] = now

    def went_on(self, one: C, now: float) -> None:
        """A part of a request has come."""
        self.gone(one)
        self.begun[one] = now

    def rests(self, one: C, now: float) -> None:
        self.gone(one)
        self.waiting[one] = now

    def gone(self, one: C) -> None:
        """It is closed, or its request is whole."""
        self.silent.pop(one, None)
        self.begun.pop(one, None)
        self.waiting.pop(one, None)

    def asked(self, all: int) -> int:
        """How many of all have sent a whole request."""
        return all - len(self.silent) - len(self.begun)

    def give_way(self, now: float) -> Iterator[C]:
        """Those that may go, in order; who asks for them ends the first that can be ended."""
        for group, least in (
            (self.silent, self.SILENT),
            (self.begun, self.STALLED),
            (self.waiting, 0.0),
            (self.silent, 0.0),
            (self.begun, 0.0),
        ):
            for one, since in list(islice(group.items(), self.LOOKS)):
                if now - since >= least:
                    yield one

    def resting(self, now: float, idle: float) -> list[C]:
        """Those with no part of a request for so long; one that has just connected is given a moment."""
        return [
            one
            for group, least in ((self.waiting, idle), (self.silent, max(idle, self.SILENT)))
            for one, since in group.items()
            if now - since >= least
        ]
