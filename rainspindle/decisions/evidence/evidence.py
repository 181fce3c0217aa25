"""Decides how much other members' reports of endpoints and keys count beside own observations.

Does no I/O and reads no clock. A report can warn (one own failure is then enough for an ejection), postpone
a due trial, as another member has just made one, bring a trial forward, as another's trial was answered, and
say that a key is hot. It never ejects or readmits an endpoint by itself: only the balancer's own
observations do that.

Timers of many members that know the same are randomized so that few of them report before the others have
received it, whatever their number: Nonnenmacher and Biersack, "Scalable feedback for large groups" (IEEE/ACM
ToN, 1999).
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from ...protocol.evidence import MOST_HELD, MOST_KEYS, MOST_OUT, VERSION, Out, Told

TRIAL_DELAY = 5.0  # seconds; the same as the balancer's delay
# seconds of spread of the random delays, times ln(members)
TELL_DRAW, TRIAL_DRAW, BACK_DRAW = 0.25, 0.75, 0.5
QUIET = 5  # number of reporters after which one more report adds nothing
WRITE_GAP, URGENT_GAP = 1.0, 0.2  # seconds between two writes: of deferrable and of urgent reports
SPARED_BY_ONE = 2  # times that one reporter's trials can postpone an own one, between two own trials
BELIEVED = 1  # times per ejection that one reporter's answered trial can bring an own one forward
# A reporter with so many more ejected endpoints than the own member, at least the first number and this
# fraction of the ready endpoints, probably has a bad network path itself.
ODD_LEAST, ODD_PART = 2, 0.3
WARNED_PART = 0.25  # maximum fraction of the endpoints that are warned of at once
# the first so many members by rank report keys; seconds for which such a report counts
KEY_TELLERS, KEY_LASTS = 128, 30.0
# keys are reported after 1 s, then after half the time since the start, at least each 10 s
KEY_FIRST, KEY_MORE, KEY_GAP = 1.0, 0.5, 10.0
KEY_APART = 0.4  # fraction by which that time is randomly shorter or longer
# KEY_MOST: a reporter's counts are limited to so many times the median's.
# KEY_LEAST: minimum share of the traffic of a hot key.
KEY_MOST, KEY_LEAST = 3.0, 0.002
BACK_TOLD = 10.0  # seconds for which an answered trial is reported
MOST_OWNERS = 4096


class EvidenceHost(Protocol):
    """Side effects and lookups that `Evidence` needs from its environment."""

    def wall(self, now: float) -> float:
        """Returns Unix time."""

    def size(self) -> int:
        """Returns the number of live members, the own one included."""

    def rank(self) -> int:
        """Returns the own position, from 0, in a pseudo-random order that is the same at all members."""

    def ready(self) -> int:
        """Returns how many endpoints are ready here."""

    def start_of(self, mark: int) -> int | None:
        """Returns the endpoint's start in milliseconds by the list, None if it is not listed here."""

    def plan(self, now: float, mark: int, due: float) -> None:
        """Sets the time at which the next trial of an ejected endpoint is due."""

    def warn(self, now: float, mark: int, on: bool) -> None:
        """Sets whether one own failure is enough to eject the endpoint."""

    def counted(self) -> tuple[int, list[tuple[int, int]]]:
        """Returns the number of recent own requests, and the busiest keys among them with their counts."""

    def held(self) -> list[tuple[int, int]]:
        """Returns own attempts in flight by endpoint, the largest numbers first."""

    def tell(self, now: float, told: Told) -> None:
        """Writes the own register."""


@dataclass(slots=True)
class Own:
    """An endpoint that the own member has ejected."""

    start: int
    began: float  # its ejection
    tried: float  # its ejection, or the begin or failure of the last own trial
    hard: bool  # nothing but failures came from it before the ejection
    tell_at: float  # math.inf once reported, or if enough others have reported it
    told: bool = False
    trying: bool = False
    # when another member's trial was answered, unless one is known to have failed since
    answered: float = -math.inf
    due: float = 0.0  # time of the next trial
    base: float = 0.0  # what `due` counts from; `draw` is the random delay on top of it
    draw: float = 0.0
    round: float = 0.0  # time of the trial by another member for which `draw` was first drawn
    # trials postponed by reporter, since the last own trial
    spared: dict[str, int] = field(default_factory=dict)
    # trials brought forward by reporter, since the ejection
    believed: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Heard:
    """The latest report of one member about one endpoint; times are on this process's clock."""

    start: int
    tried: float
    hard: bool
    served: float  # -inf if never
    trying: bool


@dataclass(slots=True)
class Teller:
    """The latest report of one member, without the details of its endpoints."""

    zone: int
    outs: int
    written: float
    marks: frozenset[int]
    total: int
    keys: list[tuple[int, int]]
    held: list[tuple[int, int]]


class Evidence:
    """Weighs other members' reports and decides what the own member reports."""

    def __init__(
        self,
        now: float,
        zone: int,
        host: EvidenceHost,
        chance: random.Random,
        tellers: int = 3,
        lasts: float = 15.0,
    ) -> None:
        """`tellers`: how many members' reports count together, at least 2; `lasts`: for how many seconds."""
        self.zone, self.host, self.chance, self.tellers, self.lasts = zone, host, chance, tellers, lasts
        self.own: dict[int, Own] = {}
        # recently readmitted endpoints: their start, time of the readmission
        self.back: dict[int, tuple[int, float]] = {}
        self.by_owner: dict[str, Teller] = {}
        self.by_mark: dict[int, dict[str, Heard]] = {}
        self.warned: set[int] = set()
        self.shares: dict[int, float] = {}  # shares of the traffic of hot keys, by all reports
        self.wrote_at, self.urgent, self.changed = -math.inf, False, False
        self.began, self.keys_at, self.summed_at, self.keys_news = now, now + KEY_FIRST, now, False
        self.counts = dict.fromkeys(
            ("words", "discounted", "spared", "hastened", "warnings", "kept_quiet", "told", "refused"), 0
        )

    # Own observations.

    def tripped(self, now: float, mark: int, start: int, hard: bool) -> None:
        """Handles an ejection by the own balancer; `hard`: nothing but failures came before it."""
        own = self.own[mark] = Own(start, now, now, hard, now + self.draw(TELL_DRAW))
        own.due = own.base = now
        own.due += TRIAL_DELAY
        self.back.pop(mark, None)
        self.unwarn(now, mark)
        for owner in list(self.by_mark.get(mark, ())):
            self.weigh(now, mark, owner, -math.inf, -math.inf)

    def inherited(self, now: float, mark: int, start: int, since: float, due: float) -> None:
        """Handles an endpoint that was ejected by restored or received state at the start.

        `since` is the time of its last trial. Guards against second-hand reports that are passed on as own
        observations: the endpoint is reported only once an own trial has failed.
        """
        own = self.own[mark] = Own(start, since, since, False, math.inf)
        own.base, own.due = since, due
        self.unwarn(now, mark)

    def trying(self, now: float, mark: int) -> None:
        """Handles an own trial that was sent."""
        own = self.own.get(mark)
        if own is not None:
            own.tried, own.spared, own.trying = now, {}, True
            if own.answered == -math.inf:
                self.say(own)

    def failed(self, now: float, mark: int) -> None:
        """Handles an own trial that failed; the balancer makes the next one after its delay."""
        own = self.own.get(mark)
        if own is None:
            return
        own.tried, own.spared, own.base, own.due, own.draw = now, {}, now, now + TRIAL_DELAY, 0.0
        own.trying, own.answered = False, -math.inf
        self.say(own)
        # Guards against a member that is always the first to try again, as all others wait for random delays.
        if any(
            self.counts_for(now, owner, heard, own.start)
            for owner, heard in self.by_mark.get(mark, {}).items()
        ):
            own.draw = self.draw(TRIAL_DRAW)
            own.due += own.draw
            self.host.plan(now, mark, own.due)

    def served(self, now: float, mark: int) -> None:
        """Handles an own trial that was answered in time: the endpoint is readmitted here."""
        own = self.own.pop(mark, None)
        if own is None:
            return
        others = sum(
            heard.start == own.start and heard.served > own.began
            for heard in self.by_mark.get(mark, {}).values()
        )
        if own.told or others < QUIET:
            self.back[mark] = own.start, now
            self.urgent = True
        else:
            self.counts["kept_quiet"] += 1

    def gone(self, now: float, mark: int) -> None:
        """Forgets an endpoint that has restarted or is no longer listed."""
        self.own.pop(mark, None)
        self.back.pop(mark, None)
        self.changed = True

    def say(self, own: Own) -> None:
        """Reports the endpoint with the next write."""
        own.told, own.tell_at, self.urgent = True, math.inf, True

    def draw(self, spread: float) -> float:
        """Returns a random delay in seconds.

        Of n members, about e^(delay / spread) have waited for theirs before the first one's report arrives.
        """
        return spread * max(0.0, math.log(max(self.host.size(), 1) * (1.0 - self.chance.random())))

    # Reports of other members.

    def heard(self, now: float, owner: str, told: Told) -> None:
        """Handles a changed register of another member.

        A report counts as older if the reporter's clock says so, but never as younger than its arrival.
        """
        if told.version < 1 or (owner not in self.by_owner and len(self.by_owner) >= MOST_OWNERS):
            self.counts["refused"] += 1
            return
        before = self.by_owner.get(owner)
        written = now - max(0.0, self.host.wall(now) - told.wall)
        items = {out.mark: out for out in told.out[:MOST_OUT]}
        teller = self.by_owner[owner] = Teller(
            told.zone,
            max(told.outs, sum(out.served < 0 for out in items.values())),
            written,
            frozenset(items),
            max(0, told.total),
            sound(told),
            told.held[:MOST_HELD],
        )
        self.counts["words"] += 1
        self.counts["discounted"] += self.odd(owner)
        self.keys_news = self.keys_news or bool(teller.keys) or bool(before and before.keys)
        for mark in before.marks - teller.marks if before else ():
            self.drop(mark, owner)
            if mark in self.warned:
                self.weigh_warning(now, mark)
        for mark, out in items.items():
            known = self.by_mark.setdefault(mark, {})
            old = known.get(owner)
            known[owner] = Heard(
                out.start,
                written - max(0.0, out.tried),
                out.hard,
                written - out.served if out.served >= 0 else -math.inf,
                out.trying,
            )
            self.weigh(now, mark, owner, old.tried if old else -math.inf, old.served if old else -math.inf)

    def drop(self, mark: int, owner: str) -> None:
        """Removes a member's report of one endpoint."""
        known = self.by_mark.get(mark, {})
        known.pop(owner, None)
        if not known:
            self.by_mark.pop(mark, None)

    def forget(self, now: float, owner: str) -> None:
        """Forgets all reports of a member that is gone for good."""
        teller = self.by_owner.pop(owner, None)
        for mark in teller.marks if teller else ():
            self.drop(mark, owner)
            if mark in self.warned:
                self.weigh_warning(now, mark)

    def odd(self, owner: str) -> bool:
        """Returns whether the member's reports are implausible.

        Guards against a member whose own network is bad and that ejects most endpoints. Too strict for a
        member that is the first to see a failure of very many endpoints.
        """
        more = self.by_owner[owner].outs - len(self.own)
        return more > max(ODD_LEAST, ODD_PART * self.host.ready())

    def counts_for(self, now: float, owner: str, heard: Heard, start: int) -> bool:
        """Returns whether this is a fresh and plausible report that this start of the endpoint is ejected."""
        if heard.start != start or now - heard.tried > self.lasts or heard.served >= heard.tried:
            return False
        return not self.odd(owner)

    def weigh(self, now: float, mark: int, owner: str, tried: float, served: float) -> None:
        """Acts on one member's report of one endpoint, of which it reported `tried` and `served` before."""
        own, heard = self.own.get(mark), self.by_mark[mark][owner]
        if own is None:
            self.weigh_warning(now, mark)
        elif (
            heard.start == own.start and heard.served >= heard.tried and heard.served > max(served, own.tried)
        ):
            self.hasten(now, mark, own, owner)
        elif heard.tried > max(tried + 1e-3, own.base - TRIAL_DELAY) and self.counts_for(
            now, owner, heard, own.start
        ):
            self.spare(now, mark, own, owner, heard)

    def spare(self, now: float, mark: int, own: Own, owner: str, heard: Heard) -> None:
        """Postpones the own trial, as another member's trial has just shown what the own one would.

        Guards against a number of trials that grows with the fleet. One reporter can postpone only so many
        times. An endpoint that recovers between the other's trial and the own one is readmitted later.
        """
        tried = heard.tried
        if (tried <= own.base and own.draw) or own.spared.get(owner, 0) >= SPARED_BY_ONE:
            return
        if own.answered > -math.inf and (heard.trying or tried <= own.answered):
            return
        own.answered = -math.inf
        if tried - own.round > WRITE_GAP or not own.draw:  # a new round of trials
            own.spared[owner] = own.spared.get(owner, 0) + 1
            own.draw, own.round = self.draw(TRIAL_DRAW) or 1e-6, tried
        own.base = max(own.base, tried)
        due = own.base + TRIAL_DELAY + own.draw
        if due > own.due:
            own.due = due
            self.counts["spared"] += 1
            self.host.plan(now, mark, due)

    def hasten(self, now: float, mark: int, own: Own, owner: str) -> None:
        """Brings the own trial forward to a random time, as another member's trial was answered.

        The random time lets few members go first. Guards against an endpoint that has recovered long ago and
        is still waited for. If it is reachable for the other member only, this costs one trial per reporter
        and ejection.
        """
        if own.believed.get(owner, 0) >= BELIEVED or self.odd(owner):
            return
        own.believed[owner] = own.believed.get(owner, 0) + 1
        due = now + self.draw(BACK_DRAW)
        if due < own.due:
            own.due, own.draw, own.answered = due, 0.0, self.by_mark[mark][owner].served
            self.counts["hastened"] += 1
            self.host.plan(now, mark, due)

    def votes(self, now: float, mark: int, start: int) -> int:
        """Returns how many independent network paths the reports come from.

        Each member of the own zone counts as one, another zone as one in total. Guards against a network
        partition between two zones, which all members of one of them report alike.
        """
        near, far = 0, set[int]()
        for owner, heard in self.by_mark.get(mark, {}).items():
            if heard.hard and self.counts_for(now, owner, heard, start):
                zone = self.by_owner[owner].zone
                near += zone == self.zone
                if zone != self.zone:
                    far.add(zone)
        return near + len(far)

    def weigh_warning(self, now: float, mark: int) -> None:
        """Sets or clears the warning of an endpoint by the reports of it."""
        start = None if mark in self.own else self.host.start_of(mark)
        if start is None or self.votes(now, mark, start) < self.tellers:
            self.unwarn(now, mark)
        # Guards against reports that declare all endpoints dead: they warn of a limited part of them.
        elif mark not in self.warned and len(self.warned) < max(1, WARNED_PART * self.host.ready()):
            self.warned.add(mark)
            self.counts["warnings"] += 1
            self.host.warn(now, mark, True)

    def unwarn(self, now: float, mark: int) -> None:
        """Clears the warning of an endpoint."""
        if mark in self.warned:
            self.warned.remove(mark)
            self.host.warn(now, mark, False)

    # Keys.

    def sum_keys(self, now: float) -> None:
        """Computes the hot keys' shares of the traffic from all fresh reports.

        Guards against one reporter with a very large total: its counts are limited by the median, and a key
        is hot only by the reports of several members.
        """
        fresh = [t for t in self.by_owner.values() if t.total > 0 and now - t.written <= KEY_LASTS]
        totals = sorted(t.total for t in fresh)
        most = KEY_MOST * totals[len(totals) // 2] if totals else 0.0
        sums, tellers, all_of_them = dict[int, float](), dict[int, int](), 0.0
        for t in fresh:
            part = min(1.0, most / t.total)
            all_of_them += t.total * part
            for key, count in t.keys:
                sums[key] = sums.get(key, 0.0) + count * part
                tellers[key] = tellers.get(key, 0) + 1
        self.shares = {
            key: share
            for key, n in sums.items()
            if tellers[key] >= self.tellers and (share := (n - 1) / all_of_them) >= KEY_LEAST
        }

    def summed_held(self, now: float) -> dict[int, int]:
        """Returns attempts in flight by endpoint, as far as members report them."""
        found: dict[int, int] = {}
        for teller in self.by_owner.values():
            for mark, count in teller.held if now - teller.written <= self.lasts else ():
                found[mark] = found.get(mark, 0) + max(0, count)
        return found

    # Timers.

    def tick(self, now: float) -> float:
        """Does what is due and returns when to be called next at the latest."""
        for mark in [mark for mark, (_, at) in self.back.items() if now - at > BACK_TOLD]:
            del self.back[mark]
            self.changed = True
        for mark in list(self.warned):
            self.weigh_warning(now, mark)
        for mark, own in self.own.items():
            if now >= own.tell_at:
                own.tell_at = math.inf
                others = sum(
                    self.counts_for(now, owner, heard, own.start)
                    for owner, heard in self.by_mark.get(mark, {}).items()
                )
                # Guards against a register write by each of thousands of members for one failure.
                if others >= QUIET:
                    self.counts["kept_quiet"] += 1
                else:
                    self.say(own)
        sum_gap = min(KEY_GAP / 2, max(KEY_FIRST, KEY_MORE / 2 * (now - self.began)))
        if self.keys_news and now - self.summed_at >= sum_gap:
            self.sum_keys(now)
            self.summed_at, self.keys_news = now, bool(self.shares)
        keyed = now >= self.keys_at
        if keyed:
            # Guards against hot keys that a newly started fleet learns late: keys are reported often at
            # first, then rarely. Also guards against reporters that started together and would go on writing
            # at the same time.
            keys_gap = min(KEY_GAP, max(KEY_FIRST, KEY_MORE * (now - self.began)))
            keyed = self.host.rank() < KEY_TELLERS
            apart = self.chance.uniform(-KEY_APART, KEY_APART) if keyed else 0.0
            self.keys_at = now + keys_gap * (1 + apart)
        gap = now - self.wrote_at
        if (self.urgent and gap >= URGENT_GAP) or ((keyed or self.changed) and gap >= WRITE_GAP):
            self.write(now)
        later = [own.tell_at for own in self.own.values()]
        if self.urgent:
            later.append(self.wrote_at + URGENT_GAP)
        return min([now + WRITE_GAP, *later])

    def write(self, now: float) -> None:
        """Writes the own register: ejected and recently readmitted endpoints, keys, attempts in flight."""
        told = [
            Out(mark, own.start, round(now - own.tried, 3), own.hard, trying=own.trying)
            for mark, own in sorted(self.own.items(), key=lambda pair: -pair[1].tried)
            if own.told
        ]
        told += [
            Out(mark, start, round(now - at, 3), False, round(now - at, 3))
            for mark, (start, at) in self.back.items()
        ]
        # The register's size is limited, so the latest news come first, whatever they are.
        told.sort(key=lambda out: out.tried)
        keys: Iterable[tuple[int, int]] = ()
        total = 0
        if self.host.rank() < KEY_TELLERS:
            total, keys = self.host.counted()
        self.wrote_at, self.urgent, self.changed = now, False, False
        self.counts["told"] += 1
        self.host.tell(
            now,
            Told(
                VERSION,
                self.host.wall(now),
                self.zone,
                len(self.own),
                told[:MOST_OUT],
                total,
                list(keys)[:MOST_KEYS],
                self.host.held()[:MOST_HELD],
            ),
        )

    def report(self, now: float) -> dict[str, object]:
        """Returns the figures for operators."""
        fresh = [t for t in self.by_owner.values() if now - t.written <= max(self.lasts, KEY_LASTS)]
        return {
            "out": len(self.own),
            "warned": len(self.warned),
            "tellers": len(fresh),
            "odd": sum(self.odd(owner) for owner in self.by_owner),
            "hot_keys": len(self.shares),
            **self.counts,
        }


def sound(told: Told) -> list[tuple[int, int]]:
    """Returns the reported keys with their counts, which together are limited to the reported total."""
    left, keys = max(0, told.total), list[tuple[int, int]]()
    for key, count in told.keys[:MOST_KEYS]:
        keys.append((key, min(max(count, 0), left)))
        left -= keys[-1][1]
    return keys
