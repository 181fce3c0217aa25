"""Room for what is passed on piece by piece: as many streams at once as memory allows, in order of coming."""

from __future__ import annotations

from collections import deque

from ...transport.connection import Late, Unless, Unwanted
from ...transport.loop import Coroutine, Loop, Task

STREAM = 320 * 1024  # bytes that one stream may hold: a piece read, parsed, written, and the parser's copy
FEWEST = 4


class Room:
    def __init__(self, loop: Loop, total: int) -> None:
        """`total` bytes for all streams together."""
        self.loop = loop
        self.taken = 0
        self.waiting: deque[Task] = deque()
        self.resize(total)

    def resize(self, total: int) -> None:
        """Streams under way keep their places, also where there are fewer from now on."""
        self.places = max(total // STREAM, FEWEST)
        self.wake()

    def enter(self, until: float, unless: Unless = None) -> Coroutine[None]:
        """Waits for a place, in the order of coming. Raises Late, and Unwanted where `unless` holds."""
        task = self.loop.current
        assert task is not None
        self.waiting.append(task)
        try:
            while self.taken >= self.places or self.waiting[0] is not task:
                if unless is not None and unless():
                    raise Unwanted
                if self.loop.now() >= until:
                    raise Late
                yield until
            self.taken += 1
        finally:
            self.waiting.remove(task)
            self.wake()

    def leave(self) -> None:
        self.taken -= 1
        self.wake()

    def wake(self) -> None:
        if self.waiting and self.taken < self.places:
            self.waiting[0].wake()
