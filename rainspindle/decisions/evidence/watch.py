"""What one module meets, told to the evidence, and what the evidence says, put into the module's own state.

It acts from outside as an order of the staff does: the module decides as before. A trial put off or made due
is the moment from which the module counts its delay; a warning is a lower bar for this endpoint's own trip; a
hot key is turned among endpoints by its told share where the own one is smaller.
"""

from __future__ import annotations

from dataclasses import dataclass

from ...balancer.balancer import Balancer
from ...balancer.endpoint import EndpointState
from ...balancer.failover import CircuitBreaker, FailoverTable
from ...protocol.evidence import MOST_HELD, MOST_KEYS, mark_of
from .evidence import Evidence

WIDER = 2.0  # times the module's own turn, where it has less than one forward out and sees no crowd itself
MET = 2.0  # seconds for which a trip is one of this process, where it is first seen: looks are closer
HARD_ROW = 2  # failures in a row, with no answer between, by which a trip tells of an endpoint that is dead


@dataclass(slots=True)
class Seen:
    """An endpoint that was out at the last look."""

    breaker: CircuitBreaker
    mark: int
    start: int
    at: float  # its trip
    since: float
    on_trial: bool


class Watch:
    """One module."""

    def __init__(self, balancer: Balancer, evidence: Evidence, offset: float) -> None:
        """`offset`: what the list's Unix times were moved by to give the module's."""
        self.balancer, self.evidence, self.offset = balancer, evidence, offset
        self.marks: dict[int, EndpointState] = {}
        self.known: dict[str, EndpointState] = {}
        self.mark_by_id: dict[str, int] = {}
        self.out: dict[EndpointState, Seen] = {}
        balancer.popularity.adjust_share = self.shared_key_share

    def endpoints(self) -> dict[int, EndpointState]:
        if self.known is not self.balancer.registry.by_id:
            self.known = self.balancer.registry.by_id
            self.mark_by_id = {id: self.mark_by_id.get(id) or mark_of(id) for id in self.known}
            self.marks = {self.mark_by_id[id]: e for id, e in self.known.items()}
        return self.marks

    def start(self, e: EndpointState) -> int:
        return round((e.listed.started_at - self.offset) * 1000) if e.listed.started_at is not None else 0

    # What the module met.

    def look(self, now: float) -> bool:
        """Whether anything is out."""
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

    # What the evidence says.

    def plan(self, now: float, e: EndpointState, due: float) -> None:
        b = e.breaker
        if b is not None and not b.in_trial:
            b.failing_since, b.trial_due = due - FailoverTable.TRIAL_DELAY, now > due
            if e in self.out:
                self.out[e].since = b.failing_since

    def warn(self, e: EndpointState, on: bool) -> None:
        e.is_suspected = on

    def shared_key_share(self, key: str, own_share: float) -> float:
        """Guards against a key that is hot in the fleet while no sidecar meets it twice. May hurt where the
        tellers' traffic is unlike that of this one."""
        shares = self.evidence.shares
        told = shares.get(mark_of(key), 0.0) if shares else 0.0
        if told <= own_share:
            return own_share
        if self.balancer.request_rate * self.balancer.latency.median < 1.0:
            told *= WIDER
        return min(told, 1.0)


class Watches:
    """The modules of one sidecar, as the evidence sees them: one, or one for each side of a canary."""

    def __init__(self) -> None:
        self.all: list[Watch] = []

    def look(self, now: float) -> bool:
        return any([watch.look(now) for watch in self.all])

    def find(self, mark: int) -> tuple[Watch, EndpointState] | None:
        return next(((w, e) for w in self.all if (e := w.endpoints().get(mark)) is not None), None)

    def ready(self) -> int:
        return sum(len(w.balancer.registry.ready) for w in self.all)

    def start_of(self, mark: int) -> int | None:
        found = self.find(mark)
        return None if found is None else found[0].start(found[1])

    def plan(self, now: float, mark: int, due: float) -> None:
        if found := self.find(mark):
            found[0].plan(now, found[1], due)

    def warn(self, now: float, mark: int, on: bool) -> None:
        if found := self.find(mark):
            found[0].warn(found[1], on)

    def counted(self) -> tuple[int, list[tuple[int, int]]]:
        counts: dict[str, float] = {}
        for w in self.all:
            for key, n in w.balancer.popularity.counts.items():
                counts[key] = counts.get(key, 0.0) + n
        busiest = sorted(counts, key=lambda key: (-counts[key], key))[:MOST_KEYS]
        total = round(sum(w.balancer.popularity.total for w in self.all))
        return total, [(mark_of(key), round(counts[key])) for key in busiest]

    def held(self) -> list[tuple[int, int]]:
        out = [(len(e.in_flight), e.id) for w in self.all for e in w.balancer.registry.active if e.in_flight]
        return [(mark_of(id), n) for n, id in sorted(out, reverse=True)[:MOST_HELD]]
