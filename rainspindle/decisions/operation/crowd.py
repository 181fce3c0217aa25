"""Selects the client connections to evict when a new one needs a slot, by age and progress. No I/O.

Protects against many clients that connect and never finish a request; a slow client whose request makes
progress keeps its connection. Connections kept open after a request are evicted as well, which costs their
client at most one reconnect. Too strict for clients that connect long before they send a request: they are
evicted first and have to reconnect.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from typing import Generic, TypeVar

C = TypeVar("C")


class Crowd(Generic[C]):
    """Connections without a complete request, in three states; the one longest in its state comes first."""

    SILENT = 0.5  # seconds after which a connection that has sent nothing is evicted before all others
    STALLED = 0.5  # seconds without progress after which a connection with a partial request is evicted next
    LOOKS = 4  # candidates examined per state; under overload most turn out to have sent more data

    def __init__(self) -> None:
        self.silent: dict[C, float] = {}  # when a connection without any received byte was accepted
        self.begun: dict[C, float] = {}  # when the last byte of a partial request was received
        self.waiting: dict[C, float] = {}  # when a connection became idle between requests

    def came(self, connection: C, now: float) -> None:
        """Records a connection that has just been accepted."""
        self.gone(connection)
        self.silent[connection] = now

    def went_on(self, connection: C, now: float) -> None:
        """Records that a part of a request has been received."""
        self.gone(connection)
        self.begun[connection] = now

    def rests(self, connection: C, now: float) -> None:
        """Records that the connection is idle between two requests."""
        self.gone(connection)
        self.waiting[connection] = now

    def gone(self, connection: C) -> None:
        """Removes a connection that is closed or whose request is complete."""
        self.silent.pop(connection, None)
        self.begun.pop(connection, None)
        self.waiting.pop(connection, None)

    def asked(self, total: int) -> int:
        """Returns how many of `total` connections have sent a complete request."""
        return total - len(self.silent) - len(self.begun)

    def give_way(self, now: float) -> Iterator[C]:
        """Yields the candidates for eviction in order; the caller closes the first that can be closed."""
        for group, min_age in (
            (self.silent, self.SILENT),
            (self.begun, self.STALLED),
            (self.waiting, 0.0),
            (self.silent, 0.0),
            (self.begun, 0.0),
        ):
            for connection, since in list(islice(group.items(), self.LOOKS)):
                if now - since >= min_age:
                    yield connection

    def resting(self, now: float, idle: float) -> list[C]:
        """Returns the connections without any part of a request for `idle` seconds.

        A connection that has just been accepted gets at least `SILENT` seconds.
        """
        return [
            connection
            for group, min_age in ((self.waiting, idle), (self.silent, max(idle, self.SILENT)))
            for connection, since in group.items()
            if now - since >= min_age
        ]
