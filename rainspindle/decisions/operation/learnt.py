"""What one process of a sidecar learnt, handed on to the next: plain values out, and in again. No I/O.

Only a fresh gift is of use: `take` believes all that it is given, but of endpoints that have restarted since.
"""

from __future__ import annotations

import math
from typing import Any

from ...histogram import Histogram
from ...host import State
from ...logic import Balancer, Breaker, Endpoint, Entry

KEPT = ("credit", "window", "calm", "busy", "row", "failures", "outcomes", "cold_left")
OWN = ("warm_rate", "usual", "slow", "calm", "counts", "counted")


def give(balancer: Balancer, now: float) -> dict[str, Any]:
    """What was learnt, for `take`; times as ages in seconds."""
    return {
        **{name: getattr(balancer, name) for name in OWN},
        "times": balancer.latency.bins,
        "put_back": {id: now - at for id, at in balancer.put_back.items()},
        "endpoints": {e.id: {
            **{name: getattr(e, name) for name in KEPT}, "age": now - (e.line.started or -math.inf),
            "times": e.latency.bins, "cold_since": now - e.cold_until,
            "out": now - e.breaker.since if e.breaker else None, "back": now - e.back_at,
            } for e in balancer.touched},
        "keys": {key: [entry.first.id, entry.current.id, [e.id for e in entry.tried], entry.retriable,
                       entry.other, now - entry.last, now - entry.since]
                 for key, entry in balancer.table.entries.items()}}


def histogram(bins: list[float]) -> Histogram:
    made = Histogram()
    made.bins = [float(b) for _, b in zip(made.bins, bins, strict=True)]
    made.total = sum(made.bins)
    return made


def take(balancer: Balancer, now: float, given: dict[str, Any]) -> None:
    """Goes on from what another process learnt just now; of an endpoint that has restarted, nothing.

    Raises KeyError, TypeError, AttributeError or ValueError with nothing taken over."""
    def ago(age: float | None) -> float:
        return -math.inf if age is None else now - age
    known: list[tuple[Endpoint, dict[str, Any]]] = []
    for id, kept in given["endpoints"].items():
        e = balancer.endpoints.get(id)
        if e and e.line.state is not State.LEFT_OUT and (
                e.line.started is None or abs(ago(kept["age"]) - e.line.started) < 1.0):
            names = {name: kept[name] for name in KEPT}
            names["latency"] = histogram(kept["times"])
            names["cold_until"], names["back_at"] = ago(kept["cold_since"]), ago(kept["back"])
            names["breaker"] = None if kept["out"] is None else Breaker(now - kept["out"])
            known.append((e, names))
    taken = {e.id: e for e, _ in known}
    entries: dict[str, Entry[Endpoint]] = {}
    for key, (first, current, tried, retriable, other, last, since) in given["keys"].items():
        if {first, current, *tried} <= taken.keys():
            entry = entries[key] = Entry(taken[first], now - last)
            entry.current, entry.since = taken[current], now - since
            entry.tried = [taken[id] for id in tried]
            entry.retriable, entry.other = int(retriable), int(other)
    own = {name: given[name] for name in OWN}
    own["latency"] = histogram(given["times"])
    own["put_back"] = {id: now - age for id, age in given["put_back"].items()}
    for at, names in ((balancer, own), *known):
        for name, value in names.items():
            setattr(at, name, value)
    balancer.touched.update(dict.fromkeys(e for e, _ in known))
    balancer.table.entries.update(entries)
    balancer.sweeps += 1
