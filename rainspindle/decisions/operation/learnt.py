"""What one process of a sidecar learnt, handed on to the next: plain values out, and in again. No I/O.

`take` believes all that it is given, but of endpoints that have restarted since: what a process beside this
one gives is fresh, what was kept over a restart is `aged` first.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import Any

from ...histogram import Histogram
from ...host import State
from ...logic import Balancer, Breaker, Endpoint, Entry, FailoverTable

KEPT = ("credit", "window", "calm", "busy", "row", "failures", "outcomes", "cold_left")
OWN = ("warm_rate", "usual", "slow", "calm", "counts", "counted")


def give(balancer: Balancer, now: float) -> dict[str, Any]:
    """What was learnt, for `take`; times as ages in seconds."""
    return {
        **{name: getattr(balancer, name) for name in OWN},
        "times": balancer.latency.bins,
        "put_back": {id: now - at for id, at in balancer.put_back.items()},
        "endpoints": {
            e.id: {
                **{name: getattr(e, name) for name in KEPT},
                "age": now - (e.line.started or -math.inf),
                "times": e.latency.bins,
                "cold_since": now - e.cold_until,
                "out": now - e.breaker.since if e.breaker else None,
                "back": now - e.back_at,
            }
            for e in balancer.touched
        },
        "keys": {
            key: [
                entry.first.id,
                entry.current.id,
                [e.id for e in entry.tried],
                entry.retriable,
                entry.other,
                now - entry.last,
                now - entry.since,
            ]
            for key, entry in balancer.table.entries.items()
        },
    }


def histogram(bins: list[float]) -> Histogram:
    made = Histogram()
    made.bins = [float(b) for _, b in zip(made.bins, bins, strict=True)]
    made.total = sum(made.bins)
    return made


def take(
    balancer: Balancer, now: float, given: dict[str, Any], only: Collection[str] | None = None
) -> list[str]:
    """Goes on from what another process learnt just now; of an endpoint that has restarted, nothing. With
    `only`, of these endpoints alone, and nothing of what is the sidecar's own; the endpoints taken.

    Raises KeyError, TypeError, AttributeError or ValueError with nothing taken over."""

    def ago(age: float | None) -> float:
        return -math.inf if age is None else now - age

    known: list[tuple[Endpoint, dict[str, Any]]] = []
    for id, kept in given["endpoints"].items():
        e = balancer.endpoints.get(id)
        if (
            e
            and e.line.state is not State.LEFT_OUT
            and (e.line.started is None or abs(ago(kept["age"]) - e.line.started) < 1.0)
        ):
            names = {name: kept[name] for name in KEPT}
            names["latency"] = histogram(kept["times"])
            names["cold_until"], names["back_at"] = ago(kept["cold_since"]), ago(kept["back"])
            names["breaker"] = None if kept["out"] is None else Breaker(now - kept["out"])
            known.append((e, names))
    taken = {e.id: e for e, _ in known}
    entries: dict[str, Entry[Endpoint]] = {}
    for key, (first, current, tried, retriable, other, last, since) in given["keys"].items():
        named = {first, current, *tried}
        if named <= taken.keys() and (only is None or not named.isdisjoint(only)):
            entry = entries[key] = Entry(taken[first], now - last)
            entry.current, entry.since = taken[current], now - since
            entry.tried = [taken[id] for id in tried]
            entry.retriable, entry.other = int(retriable), int(other)
    own = {name: given[name] for name in OWN}
    own["latency"] = histogram(given["times"])
    own["put_back"] = {id: now - age for id, age in given["put_back"].items()}
    if only is not None:
        known = [(e, names) for e, names in known if e.id in only]
    for at, names in (*([(balancer, own)] if only is None else []), *known):
        for name, value in names.items():
            setattr(at, name, value)
    balancer.touched.update(dict.fromkeys(e for e, _ in known))
    balancer.table.entries.update(entries)
    balancer.sweeps += 1
    return [e.id for e, _ in known]


# Kept over a restart, and so old when it is read.

# Seconds after which times and failures, and how hot keys are, are nothing.
LOAD_LASTS, KEYS_LAST = 600.0, 3600.0
# Seconds in which a window, credit come half the way back; in which keys are halved.
HALVES, KEY_HALVES = 10.0, 60.0


def nothing() -> dict[str, Any]:
    """What a module has learnt that has just begun."""
    return {
        **dict.fromkeys(OWN, 0.0),
        "counts": {},
        "times": [0.0] * Histogram.BINS,
        "put_back": {},
        "endpoints": {},
        "keys": {},
    }


def aged(given: dict[str, Any], seconds: float, cold: float, window: float) -> dict[str, Any]:
    """What is left of it after so many seconds without a word, by what the module's own sweeps would have
    left.

    Of an endpoint that is `cold` (by its age or by order) no times are left, nor any forwards of its budget,
    and of no endpoint the rate of warm ones: what it gets is then what a module that knows nothing gives it.
    `window` is the one that an endpoint begins with. A time that is not known is infinite: nothing is left.
    Raises KeyError, TypeError, AttributeError or ValueError where it is nothing that `give` gave."""
    seconds, found = max(seconds, 0.0), nothing()
    if not seconds < KEYS_LAST:
        return found
    halved = 0.5 ** (seconds // KEY_HALVES)
    found["counts"] = {key: n * halved for key, n in given["counts"].items() if n * halved > 1}
    found["counted"] = given["counted"] * halved
    back = found["put_back"] = {
        id: age + seconds for id, age in given["put_back"].items() if age + seconds < cold
    }
    if seconds >= LOAD_LASTS:
        return found
    found["times"] = faded(given["times"], seconds)
    if sum(found["times"]):
        found.update(usual=given["usual"], slow=given["slow"], calm=risen(given["calm"], seconds))
    for id, kept in given["endpoints"].items():
        age = math.inf if kept["age"] is None else kept["age"] + seconds
        part, fresh = 0.5 ** (seconds / HALVES), age < cold or id in back
        outcomes = sum(kept["outcomes"])
        moves = seconds // (Balancer.HALF if outcomes > 8 else Balancer.AGE)
        found["endpoints"][id] = {
            "age": age,
            "credit": Endpoint.START_CREDIT + (kept["credit"] - Endpoint.START_CREDIT) * part,
            "window": window if fresh else window + (kept["window"] - window) * part,
            "calm": 0.0 if fresh else risen(kept["calm"], seconds),
            "busy": 0.0 if fresh else kept["busy"] * 0.7**seconds,
            "row": 0.0 if moves >= 2 else kept["row"],
            **{
                name: list(kept[name]) if not moves else [0, kept[name][0]] if moves == 1 else [0, 0]
                for name in ("failures", "outcomes")
            },
            "times": [0.0] * Histogram.BINS if fresh else faded(kept["times"], seconds),
            "cold_left": 0,
            "cold_since": None,
            "out": None if kept["out"] is None else kept["out"] + seconds,
            "back": None if kept["back"] is None else kept["back"] + seconds,
        }
    found["keys"] = {
        key: [first, current, tried, retriable, other, last + seconds, since + seconds]
        for key, (first, current, tried, retriable, other, last, since) in given["keys"].items()
        if last + seconds <= FailoverTable.RESET_WINDOW
    }
    return found


def faded(bins: list[float], seconds: float) -> list[float]:
    """Halved as sweeps do: each few seconds while there is much, then less often."""
    times = histogram(bins)
    while times.total and seconds >= Balancer.FORGET:
        step = Balancer.FORGET if times.total > 8 else Balancer.AGE
        seconds -= step
        if seconds >= 0:
            times.halve()
    return times.bins


def risen(calm: float, seconds: float) -> float:
    return calm * min(math.exp(0.01 * seconds), 2.0)


def trimmed(given: dict[str, Any], endpoints: int, keys: int, key_size: int) -> dict[str, Any]:
    """So many at most: those that are out and those with most outcomes, and the latest keys to fail."""
    ranked = sorted(
        given["endpoints"].items(), key=lambda item: (item[1]["out"] is None, -sum(item[1]["outcomes"]))
    )
    latest = sorted(
        (item for item in given["keys"].items() if len(item[0]) <= key_size), key=lambda item: item[1][5]
    )
    return {
        **given,
        "endpoints": dict(ranked[:endpoints]),
        "keys": dict(latest[:keys]),
        "counts": {key: n for key, n in given["counts"].items() if len(key) <= key_size},
    }
