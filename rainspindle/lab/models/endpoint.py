"""An endpoint: cores, a queue, warm keys, a cold start, falling over, sickness after long queues."""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass

from ..experiment import Kind, Rules
from ..ledger import Run, Start

ROOTS, MORE = 2.0, 2.0  # of the allowed number of exchanges, and exchanges: the scatter that a fall is beyond


def most_offered(allowed: float, mean: float) -> float:
    """The work within the window over which a cold endpoint falls, where the settings allow so much and an
    exchange is `mean` of it: N + 2 roots of N + 2, in exchanges of mean work."""
    return allowed + ROOTS * math.sqrt(allowed * mean) + MORE * mean


@dataclass(slots=True, eq=False)
class Job:
    """An exchange at an endpoint."""

    run: Run
    key: str
    expires: float  # when its sidecar stops waiting
    ended: Callable[[Job], None]
    left: float = 0.0  # work still to do
    running: bool = False

    @property
    def done(self) -> bool:
        return self.run.how != ""


class EndpointModel:
    """Call `arrive`, `cancel`, `advance` in order of time; `next_at` tells when `advance` is due.

    Each job in work has a core, which works at `rate`. Waiting ones are first in, first out."""

    def __init__(
        self,
        number: int,
        zone: int,
        kind: Kind,
        speed: float,
        rules: Rules,
        chance: Callable[[], float],
        mean_work: float,
    ) -> None:
        self.number, self.zone, self.kind, self.speed, self.rules = number, zone, kind, speed, rules
        self.chance, self.mean_work = chance, mean_work
        self.starts: list[Start] = [Start(number, 0, 0.0, cold=False)]
        self.started = -math.inf  # of a cold start
        self.start = 0
        self.up, self.silent, self.hanging = True, False, False
        self.slower, self.err = 1.0, 0.0  # by faults
        self.paused = False
        self.fell = False
        self.clear(0.0)

    def clear(self, now: float) -> None:
        self.working: list[Job] = []
        self.queue: deque[Job] = deque()
        self.stuck: list[Job] = []
        self.warm: OrderedDict[str, float] = OrderedDict()
        self.offered: deque[tuple[float, float]] = deque()  # while cold: when, and how much work
        self.offered_sum = 0.0
        self.settled = now
        self.crowded_since, self.idle_since, self.sick_since = math.inf, now, math.inf

    # Its state.

    def capacity(self, now: float) -> float:
        """The part of its full capacity that it has."""
        age = now - self.started
        if age >= self.kind.cold:
            return 1.0
        return self.kind.cold_from + (1 - self.kind.cold_from) * max(age, 0.0) / self.kind.cold

    def rate(self, now: float) -> float:
        """Work that one core does in a second."""
        if self.paused:
            return 0.0
        sick = self.kind.sick_times if self.sick_since < math.inf else 1.0
        return self.speed * self.capacity(now) / (self.slower * sick)

    def held(self) -> int:
        return len(self.working) + len(self.queue) + len(self.stuck)

    # What happens to it.

    def set_slower(self, now: float, times: float) -> None:
        self.settle(now)
        self.slower = times

    def set_paused(self, now: float, paused: bool) -> None:
        self.settle(now)
        self.paused = paused

    def go_down(self, now: float, silent: bool, what: str = "down") -> list[Job]:
        """The process dies, or its machine falls silent; what it held is lost and given back."""
        self.settle(now)
        lost = [*self.working, *self.queue, *self.stuck]
        for job in lost:
            self.end(job, now, "lost", tell=False)
        self.clear(now)
        self.up, self.silent = False, silent
        self.starts.append(Start(self.number, self.start, now, cold=False, what=what))
        return lost

    def come_back(self, now: float) -> None:
        if not self.up and not self.fell:
            self.clear(now)
            self.start, self.started = self.start + 1, now
            self.up, self.silent = True, False
            self.starts.append(Start(self.number, self.start, now, cold=True))

    def arrive(self, now: float, job: Job, new_connection: bool) -> None:
        """An exchange's last byte has come. It may end at once, turned away."""
        self.advance(now)
        self.watch_crowd(now)  # it may have rested until now
        run = job.run
        if self.overdriven(now, run.work):
            self.fell = True
            lost = self.go_down(now, silent=False, what="fell")
            for other in (*lost, job):
                other.run.how, other.run.ended = "lost", now
                other.ended(other)
            return
        if self.hanging:
            run.began = now
            self.stuck.append(job)
            return
        if len(self.queue) >= self.kind.queue and len(self.working) >= self.kind.cores:
            self.end(job, now, "full")
            return
        job.left = run.work + (self.kind.connection_work if new_connection else 0.0)
        self.queue.append(job)
        self.begin(now)
        self.watch_crowd(now)

    def overdriven(self, now: float, work: float) -> bool:
        """Whether a cold endpoint was sent more than the stated multiple of what it can do, scatter aside."""
        if now - self.started >= self.kind.cold:
            self.offered.clear()
            self.offered_sum = 0.0
            return False
        self.offered.append((now, work))
        self.offered_sum += work
        while self.offered[0][0] <= now - self.rules.cold_window:
            self.offered_sum -= self.offered.popleft()[1]
        can = self.capacity(now) * self.speed * self.kind.cores
        allowed = self.rules.cold_multiple * can * self.rules.cold_window
        return self.offered_sum > most_offered(allowed, self.mean_work)

    def cancel(self, now: float, job: Job) -> None:
        """Its sidecar has closed the connection."""
        self.advance(now)
        if job.done or self.kind.cancels == "none":
            return
        if job in self.queue:
            self.queue.remove(job)
        elif self.kind.cancels == "all" and job in self.working:
            self.working.remove(job)
        elif job in self.stuck:
            self.stuck.remove(job)
        else:
            return
        self.end(job, now, "cancelled", tell=False)
        self.begin(now)

    # Work.

    def settle(self, now: float) -> None:
        """What was worked since the last look, at the rate that held."""
        spent = now - self.settled
        if spent > 0 and self.working:
            rate = self.rate((now + self.settled) / 2)
            for job in self.working:
                job.left -= spent * rate
        self.settled = max(now, self.settled)

    def advance(self, now: float) -> None:
        """Ends and begins what is due by now, each at its own time."""
        while (at := self.next_at()) <= now:
            self.settle(at)
            done = [job for job in self.working if job.left <= 1e-9]
            for job in done:
                self.working.remove(job)
                failed = self.err > 0 or self.kind.error_rate > 0
                how = "error" if failed and self.chance() < max(self.err, self.kind.error_rate) else "served"
                self.end(job, at, how)
            self.begin(at)
            self.watch_crowd(at)
        self.settle(now)

    def next_at(self) -> float:
        """When a job in work is done, math.inf if none will be as things stand."""
        if not self.working:
            return math.inf
        rate = self.rate(self.settled)
        if rate <= 0:
            return math.inf
        # A cold endpoint grows quicker meanwhile: it is looked at again often enough.
        return self.settled + min(
            max(min(job.left for job in self.working), 0.0) / rate,
            0.25 if self.started > -math.inf and self.capacity(self.settled) < 1 else math.inf,
        )

    def begin(self, now: float) -> None:
        while self.queue and len(self.working) < self.kind.cores:
            job = self.queue.popleft()
            if job.expires <= now and self.kind.cancels != "none":
                self.end(job, now, "cancelled", tell=False)  # nobody waits for it any more
                continue
            if self.known(job.key, now):
                job.left -= job.run.work * self.kind.warm_gain
            job.run.began = now
            job.running = True
            self.working.append(job)

    def known(self, key: str, now: float) -> bool:
        """Whether the key was met lately; from now on it was."""
        if not key or not self.kind.warm_gain:
            return False
        known = now - self.warm.pop(key, -math.inf) <= self.kind.warm_span
        self.warm[key] = now
        if len(self.warm) > self.kind.warm_keys * self.kind.cores:
            self.warm.popitem(last=False)
        return known

    def watch_crowd(self, now: float) -> None:
        """Sickness: held too many for too long, until it has rested."""
        if not self.kind.sick_at:
            return
        if self.held() > self.kind.sick_at * self.kind.cores:
            self.crowded_since = min(self.crowded_since, now)
        else:
            self.crowded_since = math.inf
        if self.held() >= self.kind.cores:
            self.idle_since = math.inf
        else:
            self.idle_since = min(self.idle_since, now)
        if self.sick_since == math.inf:
            if now - self.crowded_since >= self.kind.sick_after:
                self.settle(now)
                self.sick_since = now
        elif now - self.idle_since >= self.kind.rest or now - self.sick_since >= self.kind.sick_most:
            self.settle(now)
            self.sick_since = self.crowded_since = math.inf

    def end(self, job: Job, now: float, how: str, tell: bool = True) -> None:
        job.run.how, job.run.ended = how, now
        if tell:
            job.ended(job)
