"""Limits the streams at one time to what the memory set aside for them allows, in order of arrival."""

from __future__ import annotations

from collections import deque

from ...transport.connection import Late, Unless, Unwanted
from ...transport.loop import Coroutine, Loop, Task

STREAM = 320 * 1024  # bytes that one stream may use: a part read, parsed and written, and the parser's copy
FEWEST = 4  # streams that are allowed whatever the memory
RECHECK_INTERVAL = 0.1  # seconds after which a waiting stream checks `unless` again


class Room:
    """Admits streams, first come first served."""

    def __init__(self, loop: Loop, total: int) -> None:
        """Allows `total` bytes for all streams together."""
        self.loop = loop
        self.taken = 0
        self.waiting: deque[Task] = deque()
        self.resize(total)

    def resize(self, total: int) -> None:
        """Changes the total; streams in progress go on even if fewer are allowed from now on."""
        self.places = max(total // STREAM, FEWEST)
        self.wake()

    def enter(self, until: float, unless: Unless = None) -> Coroutine[None]:
        """Waits to be admitted.

        Raises:
            Late: The time `until` has come.
            Unwanted: `unless` holds.
        """
        task = self.loop.current
        assert task is not None
        self.waiting.append(task)
        try:
            while self.taken >= self.places or self.waiting[0] is not task:
                if unless is not None and unless():
                    raise Unwanted
                if self.loop.now() >= until:
                    raise Late
                yield min(until, self.loop.now() + RECHECK_INTERVAL)
            self.taken += 1
        finally:
            self.waiting.remove(task)
            self.wake()

    def leave(self) -> None:
        """Ends a stream that was admitted."""
        self.taken -= 1
        self.wake()

    def wake(self) -> None:
        """Wakes the first waiting stream if it can be admitted."""
        if self.waiting and self.taken < self.places:
            self.waiting[0].wake()
