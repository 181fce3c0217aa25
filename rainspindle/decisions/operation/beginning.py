"""What the others tell one that starts, and how much of it counts. No I/O, no clock, no chance.

Word never makes the module send what it would not send alone. It can put an endpoint where a trial is due at
once: one exchange of its own tells whether it is so, in place of the three or more that the module needs
alone.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence

from ...balancer.balancer import Balancer
from ...balancer.endpoint import EndpointState
from ...balancer.failover import CircuitBreaker
from ...balancer.host import EndpointStatus
from ...balancer.selection import EndpointSelector
from ...lazy_dataclasses import dataclass
from ...protocol.keep import Told

MOST_PART = 1 / 3  # of the ready endpoints that word can touch, and that one teller may speak ill of
SLOW_FROM, SLOW_PART = 2.0, 0.25  # times the usual; part of the shortest promised time
ENOUGH_TIMES, PRIOR = 4.0, 2.0  # answers by which a time is told, and as how many it counts for a starter
# Seconds after which a binding exchange may be the trial of one that is out by word alone.
BINDING_AFTER = 3.0
TELLERS = 8  # members that tell


def tells(own: str, others: Iterable[str]) -> bool:
    """Whether this member is one of the few that tell: the same few at all that have one view."""

    def rank(name: str) -> bytes:
        return hashlib.blake2b(name.encode(), digest_size=8).digest()

    return sum(rank(other) < rank(own) for other in others if other != own) < TELLERS


def told(
    balancers: Iterable[Balancer], mark_of: Callable[[EndpointState], bytes]
) -> tuple[int, list[bytes], list[tuple[bytes, float]]]:
    """How many endpoints are ready here, which of them are out, and which are slow, with their times."""
    ready, out, slow = 0, list[bytes](), list[tuple[bytes, float]]()
    for balancer in balancers:
        ready += len(balancer.registry.ready)
        least = SLOW_PART * min(t.latency_objective for t in balancer.traffic_classes)
        for e in balancer.registry.ready:
            if e.breaker:
                out.append(mark_of(e))
            elif e.latency.total >= ENOUGH_TIMES and balancer.slow_start.age(e, balancer.swept_at) is None:
                time = e.latency.quantile(0.5)
                if time > max(SLOW_FROM * balancer.latency.median, least):
                    slow.append((mark_of(e), time))
    return ready, out, slow


@dataclass(frozen=True, slots=True)
class Judged:
    out: tuple[str, ...]
    slow: Mapping[str, float]


def judge(words: Sequence[Told], ready: Mapping[bytes, str], done: Sequence[str] = ()) -> Judged:
    """What of it counts, by endpoint. `ready` has the mark of each one that is ready here; `done`: those that
    earlier words have touched.

    Guards against a member whose own way is bad, which finds most endpoints dead: it says nothing of any; and
    against one that errs or lies: of several that are heard half must say so, and a third of all is the most
    that all together can touch. May hurt where more than a third of the endpoints are bad: these are found
    out alone."""
    heard = [w for w in words if len(w.out) + len(w.slow) <= w.ready * MOST_PART]
    left = {mark for mark, id in ready.items() if id not in done}
    outs = Counter(mark for w in heard for mark in set(w.out) if mark in left)
    slows = Counter(mark for w in heard for mark in w.slow if mark in left)
    enough, room = max(1, (len(heard) + 1) // 2), max(0, int(len(ready) * MOST_PART) - len(done))

    def most(counts: Counter[bytes], room: int) -> list[bytes]:
        return sorted((m for m, n in counts.items() if n >= enough), key=lambda m: (-counts[m], m))[:room]

    out = most(outs, room)
    slow = most(Counter({m: n for m, n in slows.items() if m not in out}), room - len(out))
    times = {m: sorted(w.slow[m] for w in heard if m in w.slow) for m in slow}
    return Judged(tuple(ready[m] for m in out), {ready[m]: t[len(t) // 2] for m, t in times.items()})


def apply(balancer: Balancer, now: float, judged: Judged) -> list[str]:
    """To endpoints of which this process knows nothing itself; those that were touched."""
    done = []
    for id in (*judged.out, *judged.slow):
        e = balancer.registry.by_id.get(id)
        if (
            e is None
            or e in balancer.registry.active
            or e.breaker
            or e.listed.status is not EndpointStatus.READY
        ):
            continue
        if id in judged.slow:
            if balancer.slow_start.age(e, now) is not None:
                continue  # times would prove that it can do more than the least of a cold one
            e.latency.add(judged.slow[id], PRIOR)
        else:
            e.breaker = CircuitBreaker(now - EndpointSelector.TRIAL_PATIENCE + BINDING_AFTER)
            e.breaker.trial_due = True
        balancer.registry.active[e] = None
        done.append(id)
    return done
