"""select.epoll with generators as coroutines.

A coroutine yields the time until which it will wait (math.inf: no limit) and goes on when somebody wakes it
or that time has come. It may be woken for nothing, so every wait stands in a loop that looks again.
"""

from __future__ import annotations

import heapq
import math
import select
import time
from collections import deque
from collections.abc import Callable, Generator
from typing import Protocol, TypeVar

T = TypeVar("T")
Coroutine = Generator[float, None, T]

EVENTS = select.EPOLLIN | select.EPOLLOUT | select.EPOLLRDHUP | select.EPOLLET
BATCH = 64
HURRY = 0.005  # seconds after which urgent descriptors are looked at again, between any two tasks


class Watched(Protocol):
    """What the loop tells of events: a file descriptor's owner."""

    closed: bool

    def on_events(self, events: int) -> None: ...


class Task:
    """One coroutine under way."""

    __slots__ = ("coroutine", "done", "loop", "parked", "queued", "then", "urgent")

    def __init__(
        self, loop: Loop, coroutine: Coroutine[None], then: Callable[[], None] | None, urgent: bool
    ) -> None:
        self.loop, self.coroutine, self.then, self.urgent = loop, coroutine, then, urgent
        self.done = self.queued = False
        self.parked = 0  # counts the waits, so that a timer of an earlier wait is known as such

    def wake(self) -> None:
        if not self.queued and not self.done:
            self.queued = True
            (self.loop.urgent_ready if self.urgent else self.loop.ready).append(self)


class Loop:
    def __init__(
        self, on_fault: Callable[[BaseException], None], clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.on_fault, self.now = on_fault, clock
        self.epoll = select.epoll()
        self.watched: dict[int, Watched] = {}
        self.ready: deque[Task] = deque()
        self.urgent: select.epoll | None = None  # of descriptors that go before all others
        self.urgent_ready: deque[Task] = deque()
        self.hurry_at = math.inf
        self.timers: list[tuple[float, int, int, Task]] = []
        self.timers_set = 0
        self.tasks: set[Task] = set()
        self.current: Task | None = None
        self.looked = self.came = self.now()  # the last look; the earliest that what it found can have come
        self.stopped = False
        # Called when no descriptor is left: closes a connection that can be spared; whether there was one.
        self.make_room: Callable[[], bool] = lambda: False

    def spawn(
        self, coroutine: Coroutine[None], then: Callable[[], None] | None = None, urgent: bool = False
    ) -> Task:
        task = Task(self, coroutine, then, urgent)
        self.tasks.add(task)
        task.wake()
        return task

    def lasting(self, make: Callable[[], Coroutine[None]]) -> Coroutine[None]:
        """A coroutine that the whole depends on: after a fault it is begun anew."""
        while True:
            try:
                yield from make()
            except Exception as fault:
                self.on_fault(fault)
            again = self.now() + 1.0
            while self.now() < again:
                yield again

    def yield_turn(self) -> Coroutine[None]:
        """Lets every other ready task run, and the loop look at descriptors and timers, before going on."""
        assert self.current is not None
        self.current.wake()
        yield math.inf

    def watch(self, fd: int, owner: Watched, urgent: bool = False) -> None:
        if urgent and self.urgent is None:
            self.urgent, self.hurry_at = select.epoll(), -math.inf
            self.epoll.register(self.urgent.fileno(), select.EPOLLIN)  # ends a wait
        at = self.urgent if urgent and self.urgent is not None else self.epoll
        at.register(fd, EVENTS)
        self.watched[fd] = owner

    def unwatch(self, fd: int, urgent: bool = False) -> None:
        if self.watched.pop(fd, None) is not None:
            (self.urgent if urgent and self.urgent is not None else self.epoll).unregister(fd)

    def run(self) -> None:
        while not self.stopped:
            self.step()
        self.epoll.close()
        if self.urgent is not None:
            self.urgent.close()

    def step(self) -> None:
        """One round: what is ready, then one look at the descriptors and the clock."""
        for _ in range(len(self.ready)):
            if self.urgent is not None:
                self.hurry(self.urgent)
            if not self.ready:
                break
            self.resume(self.ready.popleft())
        if self.urgent is not None:
            self.hurry(self.urgent)
        if self.stopped:
            return
        before = self.now()
        wait = 0.0 if self.ready or self.urgent_ready else self.timers[0][0] - before if self.timers else None
        # epoll takes whole milliseconds, rounded up: a timer is late by one at the most.
        events = self.look(wait)
        now = self.now()
        self.hurry_at = -math.inf
        # What ended a wait is new; what was there at once may have come just after the last look.
        self.came, self.looked = now if now - before > 0.001 else self.looked, now
        # Guards against events for a descriptor closed in this batch, or opened anew under its number:
        # the owners are looked up before any of them acts.
        self.tell(events)
        while self.timers and self.timers[0][0] <= now:
            _, _, parked, task = heapq.heappop(self.timers)
            if parked == task.parked:
                task.wake()

    def tell(self, events: list[tuple[int, int]]) -> None:
        owners = [(self.watched.get(fd), mask) for fd, mask in events]
        for owner, mask in owners:
            if owner is not None and not owner.closed:
                try:
                    owner.on_events(mask)
                except Exception as fault:  # one owner's fault must not end the others
                    self.on_fault(fault)

    def hurry(self, urgent: select.epoll) -> None:
        """Guards against a call that waits behind clients' work: what is urgent runs before the next task."""
        if self.now() >= self.hurry_at:
            self.tell(urgent.poll(0.0, BATCH))
            self.hurry_at = self.now() + HURRY
        for _ in range(len(self.urgent_ready)):  # guards against a flood of callers that lets nobody else run
            self.resume(self.urgent_ready.popleft())

    def look(self, wait: float | None) -> list[tuple[int, int]]:
        return self.epoll.poll(wait if wait is None else max(wait, 0.0), BATCH)

    def resume(self, task: Task) -> None:
        task.queued = False
        if task.done:
            return
        task.parked += 1
        self.current = task
        try:
            until = next(task.coroutine)
        except StopIteration:
            self.finish(task)
        except Exception as fault:  # one coroutine's fault must not end the others
            self.finish(task)
            self.on_fault(fault)
        else:
            if until != math.inf and not task.queued:
                self.timers_set += 1
                heapq.heappush(self.timers, (until, self.timers_set, task.parked, task))
        finally:
            self.current = None

    def finish(self, task: Task) -> None:
        task.done = True
        self.tasks.discard(task)
        if task.then is not None:
            try:
                task.then()
            except Exception as fault:  # must not end the loop, and with it the process
                self.on_fault(fault)
