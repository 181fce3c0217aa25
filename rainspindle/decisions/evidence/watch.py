"""Reports a balancer's observations to `Evidence` and applies its decisions to the balancer's state.

It acts from outside, as an operator's command does, and the balancer decides as before. A trial is postponed
or brought forward by moving the time from which the balancer counts its delay. A warning lowers the threshold
for the ejection of that endpoint. A hot key is spread over endpoints by its reported share if the locally
counted share is smaller.
"""

from __future__ import annotations

from dataclasses import dataclass

from ...balancer.balancer import Balancer
from ...balancer.endpoint import EndpointState
from ...balancer.failover import CircuitBreaker, FailoverTable
from ...protocol.evidence import MOST_HELD, MOST_KEYS, mark_of
from .evidence import Evidence

# factor on a reported share if the balancer has less than one attempt in flight and so sees no load itself
WIDER = 2.0
# seconds; an ejection that is older when it is first seen was not made by this process, as checks are closer
MET = 2.0
HARD_ROW = 2  # consecutive failures from which on an ejection is reported as that of a dead endpoint


@dataclass(slots=True)
class Seen:
    """An endpoint that was ejected at the last check."""

    breaker: CircuitBreaker
    mark: int
    start: int
    at: float  # time of its ejection
    since: float
    on_trial: bool


class Watch:
    """Connects one balancer with the evidence."""

    def __init__(self, balancer: Balancer, evidence: Evidence, offset: float) -> None:
        """`offset` is what was added to the list's Unix times to give the balancer's."""
        self.balancer, self.evidence, self.offset = balancer, evidence, offset
        self.marks: dict[int, EndpointState] = {}
        self.known: dict[str, EndpointState] = {}
        self.mark_by_id: dict[str, int] = {}
        self.out: dict[EndpointState, Seen] = {}
        balancer.popularity.adjust_share = self.shared_key_share

    def endpoints(self) -> dict[int, EndpointState]:
        """Returns the listed endpoints by their mark."""
        if self.known is not self.balancer.registry.by_id:
            self.known = self.balancer.registry.by_id
            self.mark_by_id = {id: self.mark_by_id.get(id) or mark_of(id) for id in self.known}
            self.marks = {self.mark_by_id[id]: e for id, e in self.known.items()}
        return self.marks

    def start(self, e: EndpointState) -> int:
        """Returns the endpoint's start in milliseconds of Unix time, 0 if the list has none."""
        return round((e.listed.started_at - self.offset) * 1000) if e.listed.started_at is not None else 0

    # Observations of the balancer.

    def look(self, now: float) -> bool:
        """Reports changes since the last check; returns whether any endpoint is ejected."""
        self.endpoints()
        for e in self.balancer.registry.active:
            b = e.breaker
            if b is not None:
                self.look_at(now, e, b)
        for e, seen in list(self.out.items()):
            if e.breaker is None or self.known.get(e.id) is not e:
                del self.out[e]
                if e.breaker is None and self.start(e) == seen.start and e.readmitted_at >= seen.at:
                    self.evidence.served(now, seen.mark)
                else:
                    self.evidence.gone(now, seen.mark)
        return bool(self.out)

    def look_at(self, now: float, e: EndpointState, b: CircuitBreaker) -> None:
        """Reports what changed at one ejected endpoint."""
        seen = self.out.get(e)
        if seen is None or seen.breaker is not b:
            mark = self.mark_by_id.get(e.id)
            if mark is None:
                return
            seen = self.out[e] = Seen(b, mark, self.start(e), b.failing_since, b.failing_since, False)
            if b.trial_due or now - b.failing_since > MET:
                due = now if b.trial_due else b.failing_since + FailoverTable.TRIAL_DELAY
                self.evidence.inherited(now, mark, seen.start, b.failing_since, due)
            else:
                self.evidence.tripped(now, mark, seen.start, e.consecutive_failures >= HARD_ROW)
        if b.in_trial and not seen.on_trial:
            self.evidence.trying(now, seen.mark)
        elif not b.in_trial and b.failing_since != seen.since:
            self.evidence.failed(now, seen.mark)
        seen.since, seen.on_trial = b.failing_since, b.in_trial

    # Decisions of the evidence.

    def plan(self, now: float, e: EndpointState, due: float) -> None:
        """Sets when the next trial of an ejected endpoint is due, unless one is under way."""
        b = e.breaker
        if b is not None and not b.in_trial:
            b.failing_since, b.trial_due = due - FailoverTable.TRIAL_DELAY, now > due
            if e in self.out:
                self.out[e].since = b.failing_since

    def warn(self, e: EndpointState, on: bool) -> None:
        """Sets whether one failure is enough to eject the endpoint."""
        e.is_suspected = on

    def shared_key_share(self, key: str, own_share: float) -> float:
        """Returns the share of the traffic that a key counts with.

        Guards against a key that is hot in the fleet while no sidecar sees it twice. Unsuitable if the
        reporters' traffic is unlike that of this sidecar.
        """
        shares = self.evidence.shares
        told = shares.get(mark_of(key), 0.0) if shares else 0.0
        if told <= own_share:
            return own_share
        if self.balancer.request_rate * self.balancer.latency.median < 1.0:
            told *= WIDER
        return min(told, 1.0)


class Watches:
    """The balancers of one sidecar, as the evidence sees them: one, or one for each side of a canary."""

    def __init__(self) -> None:
        self.all: list[Watch] = []

    def look(self, now: float) -> bool:
        """Checks all balancers; returns whether any endpoint is ejected."""
        return any([watch.look(now) for watch in self.all])

    def find(self, mark: int) -> tuple[Watch, EndpointState] | None:
        """Returns the endpoint and its balancer's watch, None if it is not listed."""
        return next(((w, e) for w in self.all if (e := w.endpoints().get(mark)) is not None), None)

    def ready(self) -> int:
        """Returns the number of ready endpoints."""
        return sum(len(w.balancer.registry.ready) for w in self.all)

    def start_of(self, mark: int) -> int | None:
        """Returns the endpoint's start in milliseconds, None if it is not listed."""
        found = self.find(mark)
        return None if found is None else found[0].start(found[1])

    def plan(self, now: float, mark: int, due: float) -> None:
        """Sets when the next trial of an ejected endpoint is due."""
        if found := self.find(mark):
            found[0].plan(now, found[1], due)

    def warn(self, now: float, mark: int, on: bool) -> None:
        """Sets whether one own failure is enough to eject the endpoint."""
        if found := self.find(mark):
            found[0].warn(found[1], on)

    def counted(self) -> tuple[int, list[tuple[int, int]]]:
        """Returns the number of recent requests, and the busiest keys among them with their counts."""
        counts: dict[str, float] = {}
        for w in self.all:
            for key, n in w.balancer.popularity.counts.items():
                counts[key] = counts.get(key, 0.0) + n
        busiest = sorted(counts, key=lambda key: (-counts[key], key))[:MOST_KEYS]
        total = round(sum(w.balancer.popularity.total for w in self.all))
        return total, [(mark_of(key), round(counts[key])) for key in busiest]

    def held(self) -> list[tuple[int, int]]:
        """Returns attempts in flight by endpoint, the largest numbers first."""
        out = [(len(e.in_flight), e.id) for w in self.all for e in w.balancer.registry.active if e.in_flight]
        return [(mark_of(id), n) for n, id in sorted(out, reverse=True)[:MOST_HELD]]
