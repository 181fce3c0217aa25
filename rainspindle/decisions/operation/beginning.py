"""Start-up reports: what running members report to one that starts, and how much of it is applied.

No I/O, no clock, no randomness. A report never makes the balancer send a request that it would not send on
its own. It can eject an endpoint with its trial due at once: one request of the member's own then confirms or
refutes the report, in place of the three or more that the balancer needs otherwise.
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

MOST_PART = 1 / 3  # of the ready endpoints: limit on what reports may change, and on what one report may list
SLOW_FROM, SLOW_PART = 2.0, 0.25  # times the median latency; share of the shortest latency objective
ENOUGH_TIMES, PRIOR = 4.0, 2.0  # responses needed to report a latency; responses that a report counts as
# Seconds after which a non-idempotent request may be the trial of an endpoint ejected by a report alone.
BINDING_AFTER = 3.0
TELLERS = 8  # members that send reports


def tells(own: str, others: Iterable[str]) -> bool:
    """Returns whether this member sends reports; members with the same view select the same few."""

    def rank(name: str) -> bytes:
        return hashlib.blake2b(name.encode(), digest_size=8).digest()

    return sum(rank(other) < rank(own) for other in others if other != own) < TELLERS


def told(
    balancers: Iterable[Balancer], mark_of: Callable[[EndpointState], bytes]
) -> tuple[int, list[bytes], list[tuple[bytes, float]]]:
    """Returns the number of ready endpoints, the ejected ones, and the slow ones with median latency in s."""
    ready, out, slow = 0, list[bytes](), list[tuple[bytes, float]]()
    for balancer in balancers:
        ready += len(balancer.registry.ready)
        threshold = SLOW_PART * min(
            traffic_class.latency_objective for traffic_class in balancer.traffic_classes
        )
        for endpoint in balancer.registry.ready:
            if endpoint.breaker:
                out.append(mark_of(endpoint))
            elif (
                endpoint.latency.total >= ENOUGH_TIMES
                and balancer.slow_start.age(endpoint, balancer.swept_at) is None
            ):
                latency = endpoint.latency.quantile(0.5)
                if latency > max(SLOW_FROM * balancer.latency.median, threshold):
                    slow.append((mark_of(endpoint), latency))
    return ready, out, slow


@dataclass(frozen=True, slots=True)
class Judged:
    """The endpoint ids that the reports mark as ejected, and as slow with their latency in seconds."""

    out: tuple[str, ...]
    slow: Mapping[str, float]


def judge(reports: Sequence[Told], ready: Mapping[bytes, str], already_changed: Sequence[str] = ()) -> Judged:
    """Returns what the reports establish about each endpoint.

    `ready` has the ids of the endpoints that are ready here by their mark, `already_changed` the ids that
    earlier reports have changed.

    A member whose own network path is bad finds most endpoints dead, so a report that lists more than a third
    of its endpoints is ignored. A member may also be wrong or lie, so half of the accepted reports must
    agree, and all of them together change at most a third of the endpoints. Too strict where more than a
    third of the endpoints are bad: the balancer has to find the rest itself.
    """
    accepted = [
        report for report in reports if len(report.out) + len(report.slow) <= report.ready * MOST_PART
    ]
    available = {mark for mark, endpoint_id in ready.items() if endpoint_id not in already_changed}
    outs = Counter(mark for report in accepted for mark in set(report.out) if mark in available)
    slows = Counter(mark for report in accepted for mark in report.slow if mark in available)
    enough, room = (
        max(1, (len(accepted) + 1) // 2),
        max(0, int(len(ready) * MOST_PART) - len(already_changed)),
    )

    def most(counts: Counter[bytes], limit: int) -> list[bytes]:
        return sorted(
            (mark for mark, count in counts.items() if count >= enough),
            key=lambda mark: (-counts[mark], mark),
        )[:limit]

    out = most(outs, room)
    slow = most(
        Counter({candidate: count for candidate, count in slows.items() if candidate not in out}),
        room - len(out),
    )
    times = {
        candidate: sorted(report.slow[candidate] for report in accepted if candidate in report.slow)
        for candidate in slow
    }
    return Judged(
        tuple(ready[candidate] for candidate in out),
        {ready[candidate]: reported[len(reported) // 2] for candidate, reported in times.items()},
    )


def apply(balancer: Balancer, now: float, judged: Judged) -> list[str]:
    """Applies the result to endpoints of which this process has no data; returns the ids that it changed."""
    changed = []
    for endpoint_id in (*judged.out, *judged.slow):
        endpoint = balancer.registry.by_id.get(endpoint_id)
        if (
            endpoint is None
            or endpoint in balancer.registry.active
            or endpoint.breaker
            or endpoint.listed.status is not EndpointStatus.READY
        ):
            continue
        if endpoint_id in judged.slow:
            if balancer.slow_start.age(endpoint, now) is not None:
                continue  # a latency would prove that it can take more than the minimum of slow start
            endpoint.latency.add(judged.slow[endpoint_id], PRIOR)
        else:
            endpoint.breaker = CircuitBreaker(now - EndpointSelector.TRIAL_PATIENCE + BINDING_AFTER)
            endpoint.breaker.trial_due = True
        balancer.registry.active[endpoint] = None
        changed.append(endpoint_id)
    return changed
