"""What must hold of a full day, by the ledgers and the calls alone: none of it is asked of the processes."""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from urllib.parse import parse_qsl

from ..audit import Break
from ..ledger import Asked, Ledger
from ..world import World
from .links import crosses
from .player import Away
from .schedule import Schedule, Split, end
from .watch import Sighting

OPENS = 0.3  # seconds by which a process's going or coming may be noticed late
PRICES = {"lesson": 1, "paid-exam": 3}  # units, by traffic type of the tenant
TOP_UPS = {"first": 500, "second": 250}  # units, by the call's id; clients ask for about 1,300
NEW = (0, 1)  # endpoints of the canary
IN_FORCE = 1.0  # seconds from an abort until it is so at all who can be reached
HEARD = 5.0  # seconds after the end of a split, or from waking, within which those cut off have heard


@dataclass(frozen=True, slots=True)
class Call:
    """A console call that staff make during the day, at the first of `members` that answers."""

    at: float
    method: str
    path: str
    members: tuple[str, ...]


@dataclass(slots=True)
class Called:
    call: Call
    member: str
    at: float  # when the answer was there
    status: int
    text: str


# What is owed by a process that stands still or is not there.


def excuse(ledger: Ledger, away: Sequence[Away]) -> None:
    """A try that met its sidecar while that was away is owed no answer; every other one is."""
    for asked in ledger.asked:
        met = [a for a in away if met_away(asked, a)]
        asked.broken = bool(met) and (asked.broken or not asked.answers or any(a.stalled for a in met))


def met_away(asked: Asked, away: Away) -> bool:
    return (
        away.name == f"s{asked.sidecar}"
        and asked.sent <= away.until + OPENS
        and asked.sent + min(asked.wait, asked.expiry) >= away.since - OPENS
    )


def sent_late(ledger: Ledger, away: Sequence[Away], world: World) -> Iterator[Break]:
    """What a process that stood still sent, once it went on, for tries whose clients had given up.

    Counted and told, but no break of a rule: it read them only then, and cannot know how long they waited."""
    ends = {a.id: a.sent + min(a.wait, a.expiry) for a in ledger.asked if a.broken}
    stalled = {a.name for a in away if a.stalled}
    for run in ledger.runs:
        end = ends.get(run.id)
        if end is not None and f"s{run.sidecar}" in stalled and run.first > end + world.x.rules.tolerance:
            yield Break(1, f"sent {run.first - end:.3f} s after its end", run.first, run.id)


def times_to_know(seen: Sequence[Sighting], killed: Sequence[str], away: Sequence[Away]) -> Iterator[float]:
    """Seconds from a process's end until each console said so that had held it for alive, but for those of
    processes that were away meanwhile; `seen` on the clock of `away`."""
    for span in (a for a in away if a.name in killed):
        for viewer in {s.viewer for s in seen} - {span.name}:
            said = [s for s in seen if (s.viewer, s.name) == (viewer, span.name)]
            before = [s.state for s in said if s.at < span.since]
            after = [s.at for s in said if span.since <= s.at < span.until and s.state == "dead"]
            asleep = after and any(
                a.name == viewer and a.since < after[0] and a.until > span.since for a in away
            )
            if before and before[-1] in ("alive", "suspect") and after and not asleep:
                yield after[0] - span.since


# The wallet and the canary.


def judge_wallet(ledger: Ledger, world: World, called: Sequence[Called]) -> Iterator[str]:
    """At no time had more been executed than was topped up by then. Each exchange counts once, however often
    it was sent, and an id of a top-up once, however often it was called."""
    types = [kind.name for kind in world.x.traffic]
    begun: dict[str, tuple[float, int]] = {}
    for run in sorted(ledger.runs, key=lambda r: r.began):
        if run.began < math.inf and types[run.type] in PRICES:
            begun.setdefault(run.id, (run.began, PRICES[types[run.type]]))
    yield from (
        f"{one.call.path} at {one.member}: {one.status} {one.text}"
        for one in called
        if "/top-up?" in one.call.path and one.status not in (200, 202)
    )
    topped, spent = top_ups(called), 0
    for at, price in begun.values():
        spent += price
        balance = sum(amount for since, amount in topped.values() if since <= at)
        if spent > balance:
            yield f"overspent at {at:.3f} s: {spent} units of {balance}"
            return


def top_ups(called: Sequence[Called]) -> dict[str, tuple[float, int]]:
    """By the id: when it was first called, and how many units."""
    found: dict[str, tuple[float, int]] = {}
    for one in called:
        if "/top-up?" in one.call.path:
            query = dict(parse_qsl(one.call.path.partition("?")[2]))
            told = one.call.at, int(query["amount"])
            found[query["id"]] = min(found.get(query["id"], told), told)
    return found


def spent_part(ledger: Ledger, world: World, called: Sequence[Called]) -> float:
    """Of all that was topped up, what executed exchanges cost."""
    types = [kind.name for kind in world.x.traffic]
    executed = {run.id: types[run.type] for run in ledger.runs if run.began < math.inf}
    topped = sum(amount for _, amount in top_ups(called).values())
    return sum(PRICES.get(name, 0) for name in executed.values()) / max(topped, 1)


def judge_canary(
    ledger: Ledger,
    called: Sequence[Called],
    away: Sequence[Away],
    schedule: Schedule,
    new: Sequence[int] = NEW,
    late: float = 0.0,
) -> Iterator[str]:
    """Nothing goes to the canary's endpoints before it is started, nor once its abort is in force. `late`:
    seconds by which a loaded machine may be."""
    at: dict[str, Called] = {}
    for one in called:
        if "/-/canaries/" in one.call.path:
            at[one.call.path.rpartition("/")[2]] = one
            if one.status != 200:
                yield f"{one.call.path} at {one.member}: {one.status} {one.text}"
    if set(at) != {"start", "abort"}:
        yield f"the canary was called to {' and '.join(sorted(at)) or 'nothing'} alone"
        return
    came = [run for run in ledger.runs if run.endpoint in new]
    if not any(at["start"].at < run.first < at["abort"].at for run in came):
        yield "no exchange came to the canary: the day says nothing of it"
    for run in came:
        until = in_force(f"s{run.sidecar}", at["abort"], away, schedule) + late
        if run.first < at["start"].call.at or run.first > until:
            yield (
                f"{run.id} of s{run.sidecar} came to the canary's e{run.endpoint} at {run.first:.3f} s; "
                f"started at {at['start'].at:.3f} s, aborted at {at['abort'].at:.3f} s, which was to be "
                f"in force at {until:.3f} s"
            )


def in_force(name: str, abort: Called, away: Sequence[Away], schedule: Schedule) -> float:
    """When this sidecar has to keep to the abort at the latest."""
    over = unreached(name, abort, away, schedule)
    return abort.at + IN_FORCE if over is None else max(abort.at + IN_FORCE, over + HEARD)


def unreached(name: str, abort: Called, away: Sequence[Away], schedule: Schedule) -> float | None:
    """The end of what kept the abort from this sidecar; None where it could be reached."""
    by = abort.at + IN_FORCE
    missed = [
        span.until
        for span in away
        if span.name == name and span.since - OPENS < by and span.until > abort.at - IN_FORCE
    ]
    missed += [
        end(fault)
        for fault in schedule
        if isinstance(fault, Split)
        and fault.at < by
        and abort.at < end(fault) + HEARD
        and not crosses(fault, abort.member, name)
    ]
    return max(missed, default=None)


def canary_lags(
    ledger: Ledger,
    called: Sequence[Called],
    away: Sequence[Away],
    schedule: Schedule,
    new: Sequence[int] = NEW,
) -> Iterator[tuple[str, float]]:
    """Seconds from the abort's answer to the last run at the canary, of those that could be reached; of the
    others from the end of what kept it from them, which is below 0 where they fell back before."""
    abort = next((c for c in called if c.call.path.endswith("/abort")), None)
    if abort is None:
        return
    last: dict[str, float] = {}
    for run in ledger.runs:
        if run.endpoint in new and run.first > abort.at:
            over = unreached(f"s{run.sidecar}", abort, away, schedule)
            what, since = (
                ("canary_last_s", abort.at) if over is None else ("canary_cut_last_s", max(over, abort.at))
            )
            last[what] = max(last.get(what, -math.inf), run.first - since)
    yield from last.items()
