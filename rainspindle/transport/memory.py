"""A budget of memory for buffered bytes, of which each holder leases what it keeps."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from .connection import Late, Unless, Unwanted
from .loop import Coroutine, Loop, Task

RECLAIM_INTERVAL = 0.05  # seconds between two attempts to take memory back while a lease waits


class MemoryBudget:
    """The bytes that all leases may hold together, granted in order of arrival."""

    def __init__(self, loop: Loop, total: int) -> None:
        """Allows `total` bytes."""
        self.loop, self.total = loop, total
        self.used = self.peak = 0
        self.waiting: deque[Task] = deque()
        # Ends holders that make no progress, to free about so many bytes soon.
        self.reclaim: Callable[[int], None] = lambda size: None

    def resize(self, total: int) -> None:
        """Changes the total; leases that are held stay, even if they exceed it now."""
        self.total = total
        self.wake()

    def charge(self, size: int) -> None:
        """Changes the bytes in use by `size`, which is negative where bytes are freed."""
        self.used += size
        self.peak = max(self.peak, self.used)
        if size < 0:
            self.wake()

    def has_room(self, size: int) -> bool:
        """Whether so many bytes could be leased at once."""
        return not self.waiting and self.used + size <= self.total

    def wake(self) -> None:
        """Wakes the lease that has waited longest."""
        if self.waiting:
            self.waiting[0].wake()


class MemoryLease:
    """What one holder keeps in memory."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.held = 0
        self.waits = False  # whether it waits for memory, so that its holder is not the one that stalls
        self.revoked = False  # whether its holder must give it back

    def resize(self, size: int) -> None:
        """Records that `size` bytes are held, whether the budget allows them or not."""
        change, self.held = size - self.held, size
        if change:
            self.budget.charge(change)

    def release(self) -> None:
        """Records that nothing is held."""
        self.resize(0)

    def try_grow(self, size: int) -> bool:
        """Holds at least `size` bytes if that is possible at once; returns whether it does.

        Holders that wait for memory come first.
        """
        if size > self.held:
            if not self.budget.has_room(size - self.held):
                return False
            self.resize(size)
        return True

    def grow(self, size: int, until: float, unless: Unless = None) -> Coroutine[None]:
        """Waits until at least `size` bytes can be held. A size over the total is granted once none are used.

        Raises:
            Late: The time `until` has come.
            Unwanted: `unless` holds.
        """
        if self.try_grow(size):
            return
        loop, budget = self.budget.loop, self.budget
        task = loop.current
        assert task is not None
        budget.waiting.append(task)
        self.waits = True
        try:
            while budget.waiting[0] is not task or not self.fits(size):
                if unless is not None and unless():
                    raise Unwanted
                if loop.now() >= until:
                    raise Late
                if budget.waiting[0] is task:
                    budget.reclaim(size - self.held)
                yield min(until, loop.now() + RECLAIM_INTERVAL)
            self.resize(max(size, self.held))
        finally:
            self.waits = False
            budget.waiting.remove(task)
            budget.wake()

    def fits(self, size: int) -> bool:
        """Whether the budget has room for `size` bytes here."""
        others = self.budget.used - self.held
        return others + size <= self.budget.total or others == 0
