"""An event loop on epoll, with generators as coroutines.

A coroutine yields the time until which it waits (math.inf: no limit) and resumes when it is woken or that
time has come. It may be woken without cause, so every wait must be in a loop that checks its condition again.
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
BATCH = 64  # events taken per poll
URGENT_POLL_INTERVAL = 0.005  # seconds after which urgent descriptors are polled again between two tasks
# Seconds for which a task that never has to wait runs before others do, and seconds per round for all tasks
# that have given up their turn in this way.
TIME_SLICE, YIELDED_TIME = 0.002, 0.005


class Watched(Protocol):
    """The owner of a file descriptor, which receives its events."""

    closed: bool

    def on_events(self, events: int) -> None:
        """Handles a mask of epoll events."""
        ...


class Task:
    """A coroutine that the loop runs."""

    __slots__ = ("coroutine", "done", "loop", "parked", "queued", "then", "urgent")

    def __init__(
        self, loop: Loop, coroutine: Coroutine[None], then: Callable[[], None] | None, urgent: bool
    ) -> None:
        self.loop, self.coroutine, self.then, self.urgent = loop, coroutine, then, urgent
        self.done = self.queued = False
        self.parked = 0  # counts the waits, so that a timer of an earlier wait is recognized as such

    def wake(self) -> None:
        """Schedules the task to resume, unless it is scheduled or done."""
        if not self.queued and not self.done:
            self.queued = True
            (self.loop.urgent_ready if self.urgent else self.loop.ready).append(self)


class Loop:
    """Runs tasks, timers and descriptor events; urgent ones run before all others."""

    def __init__(
        self, on_fault: Callable[[BaseException], None], clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.on_fault, self.now = on_fault, clock
        self.epoll = select.epoll()
        self.watched: dict[int, Watched] = {}
        self.ready: deque[Task] = deque()
        self.yielded: deque[Task] = deque()  # could run on, and have given up their turn
        self.resumed_at = -math.inf  # when the running task was resumed
        self.urgent: select.epoll | None = None  # for the descriptors that are served before all others
        self.urgent_ready: deque[Task] = deque()
        self.next_urgent_poll = math.inf
        self.timers: list[tuple[float, int, int, Task]] = []
        self.timer_count = 0
        self.tasks: set[Task] = set()
        self.current: Task | None = None
        self.looked = self.came = self.now()  # the last poll; the earliest time of the events that it found
        self.stopped = False
        # Called when no descriptor is left: closes a dispensable connection, returns whether there was one.
        self.make_room: Callable[[], bool] = lambda: False

    def spawn(
        self, coroutine: Coroutine[None], then: Callable[[], None] | None = None, urgent: bool = False
    ) -> Task:
        """Starts a coroutine as a task; `then` is called when it has ended."""
        task = Task(self, coroutine, then, urgent)
        self.tasks.add(task)
        task.wake()
        return task

    def lasting(self, make: Callable[[], Coroutine[None]]) -> Coroutine[None]:
        """Runs an essential coroutine, and restarts it a second after it has returned or failed."""
        while True:
            try:
                yield from make()
            except Exception as fault:
                self.on_fault(fault)
            restart_at = self.now() + 1.0
            while self.now() < restart_at:
                yield restart_at

    def slice_used(self) -> bool:
        """Whether the running task has run for its time slice, so that others should run."""
        return self.now() - self.resumed_at >= TIME_SLICE

    def yield_turn(self) -> Coroutine[None]:
        """Lets every other ready task run, and the loop poll descriptors and timers, before going on.

        However many tasks yield, together they get YIELDED_TIME per round, and one of them runs at least.
        """
        task = self.current
        assert task is not None
        if task.urgent:
            task.wake()
        elif not task.queued:
            task.queued = True
            self.yielded.append(task)
        yield math.inf

    def watch(self, fd: int, owner: Watched, urgent: bool = False) -> None:
        """Reports the events of a descriptor to its owner."""
        if urgent and self.urgent is None:
            self.urgent, self.next_urgent_poll = select.epoll(), -math.inf
            self.epoll.register(self.urgent.fileno(), select.EPOLLIN)  # so that urgent events end a wait
        poller = self.urgent if urgent and self.urgent is not None else self.epoll
        poller.register(fd, EVENTS)
        self.watched[fd] = owner

    def unwatch(self, fd: int, urgent: bool = False) -> None:
        """Stops reporting events; `urgent` must be as in `watch`."""
        if self.watched.pop(fd, None) is not None:
            (self.urgent if urgent and self.urgent is not None else self.epoll).unregister(fd)

    def run(self) -> None:
        """Runs until `stopped` is set."""
        while not self.stopped:
            self.step()
        self.epoll.close()
        if self.urgent is not None:
            self.urgent.close()

    def step(self) -> None:
        """Runs the ready tasks and some that gave up their turn, then polls descriptors and timers once."""
        yielded_before = len(self.yielded)
        for _ in range(len(self.ready)):
            if self.urgent is not None:
                self.run_urgent(self.urgent)
            if not self.ready:
                break
            self.resume(self.ready.popleft())
        self.run_yielded(yielded_before)
        if self.urgent is not None:
            self.run_urgent(self.urgent)
        if self.stopped:
            return
        polled_from = self.now()
        timeout = (
            0.0
            if self.ready or self.urgent_ready or self.yielded
            else self.timers[0][0] - polled_from
            if self.timers
            else None
        )
        # epoll waits for whole milliseconds, rounded up, so a timer is at most 1 ms late.
        events = self.look(timeout)
        now = self.now()
        self.next_urgent_poll = -math.inf
        # An event that ended a wait is new; one found at once may have occurred just after the last poll.
        self.came, self.looked = now if now - polled_from > 0.001 else self.looked, now
        self.tell(events)
        while self.timers and self.timers[0][0] <= now:
            _, _, parked, task = heapq.heappop(self.timers)
            if parked == task.parked:
                task.wake()

    def tell(self, events: list[tuple[int, int]]) -> None:
        """Reports events to the owners of their descriptors.

        All owners are looked up first: one of them may close a descriptor of the same batch, whose number
        may then be in use again.
        """
        owners = [(self.watched.get(fd), mask) for fd, mask in events]
        for owner, mask in owners:
            if owner is not None and not owner.closed:
                try:
                    owner.on_events(mask)
                except Exception as fault:  # an error of one owner must not affect the others
                    self.on_fault(fault)

    def run_yielded(self, most: int) -> None:
        """Resumes up to `most` tasks that have given up their turn, in order, for up to YIELDED_TIME."""
        if not most:
            return
        until = self.now() + YIELDED_TIME
        for _ in range(most):
            if self.urgent is not None:
                self.run_urgent(self.urgent)
            self.resume(self.yielded.popleft())
            if self.now() >= until:
                break

    def run_urgent(self, urgent: select.epoll) -> None:
        """Serves urgent descriptors and tasks, which must not wait behind client requests."""
        if self.now() >= self.next_urgent_poll:
            self.tell(urgent.poll(0.0, BATCH))
            self.next_urgent_poll = self.now() + URGENT_POLL_INTERVAL
        for _ in range(
            len(self.urgent_ready)
        ):  # one round only, or a flood of urgent tasks would starve all others
            self.resume(self.urgent_ready.popleft())

    def look(self, wait: float | None) -> list[tuple[int, int]]:
        """Polls the descriptors for up to `wait` seconds, without limit for None."""
        return self.epoll.poll(wait if wait is None else max(wait, 0.0), BATCH)

    def resume(self, task: Task) -> None:
        """Runs a task until its next wait."""
        task.queued = False
        if task.done:
            return
        task.parked += 1
        self.current, self.resumed_at = task, self.now()
        try:
            until = next(task.coroutine)
        except StopIteration:
            self.finish(task)
        except Exception as fault:  # an error of one coroutine must not affect the others
            self.finish(task)
            self.on_fault(fault)
        else:
            if until != math.inf and not task.queued:
                self.timer_count += 1
                heapq.heappush(self.timers, (until, self.timer_count, task.parked, task))
        finally:
            self.current = None

    def finish(self, task: Task) -> None:
        """Removes an ended task and calls its `then`."""
        task.done = True
        self.tasks.discard(task)
        if task.then is not None:
            try:
                task.then()
            except Exception as fault:  # must not end the loop and with it the process
                self.on_fault(fault)
