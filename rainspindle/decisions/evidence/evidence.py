"""How much another member's word of endpoints and keys counts beside one's own. No I/O, no clock.

Word can warn (one own failure is then enough for a trip), spare (a due trial is put off, as another has just
made one), hasten (another's trial was answered: one's own is due) and tell that a key is hot. It never takes
an endpoint out by itself, nor puts one back: what this sidecar has met itself does that, in the module.

Timers among many who know the same are drawn so that few speak before the others hear it, whatever their
number: Nonnenmacher and Biersack, "Scalable feedback for large groups" (IEEE/ACM ToN, 1999).
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from ...protocol.evidence import MOST_HELD, MOST_KEYS, MOST_OUT, VERSION, Out, Told

TRIAL_DELAY = 5.0  # seconds, as the module has it
TELL_DRAW, TRIAL_DRAW, BACK_DRAW = 0.25, 0.75, 0.5  # seconds by which draws spread, times ln(members)
QUIET = 5  # tellers, after whom one more tells nothing new
WRITE_GAP, URGENT_GAP = 1.0, 0.2  # seconds between two writes: of what may wait, of what may not
SPARED_BY_ONE = 2  # times that one teller's trials put off one's own, between two of one's own
BELIEVED = 1  # times that one teller's answered trial makes one's own due, in one trip
ODD_LEAST, ODD_PART = 2, 0.3  # a teller that holds out so many more than oneself has a bad way of its own
WARNED_PART = 0.25  # of the endpoints, the most that are warned of at once
KEY_TELLERS, KEY_LASTS = 128, 30.0  # the first so many by rank tell keys; seconds for which that counts
KEY_FIRST, KEY_MORE, KEY_GAP = 1.0, 0.5, 10.0  # after 1 s, then after half as long again, at most 10 s
KEY_APART = 0.4  # part of that time by which it is drawn shorter or longer
KEY_MOST, KEY_LEAST = 3.0, 0.002  # what one teller counts, times the median's; parts under which none is hot
BACK_TOLD = 10.0  # seconds for which an answered trial is told
MOST_OWNERS = 4096


class EvidenceHost(Protocol):
    """All that evidence can do, and ask."""

    def wall(self, now: float) -> float:
        """Unix time."""

    def size(self) -> int:
        """Members that are there, itself among them."""

    def rank(self) -> int:
        """Its place among them, by chance that is alike at all: 0 is the first."""

    def ready(self) -> int:
        """How many endpoints are ready here."""

    def start_of(self, mark: int) -> int | None:
        """Milliseconds, as the list tells it; None where there is no such endpoint here."""

    def plan(self, now: float, mark: int, due: float) -> None:
        """The next trial of an endpoint that is out here is due then."""

    def warn(self, now: float, mark: int, on: bool) -> None:
        """Whether one own failure is enough for its trip."""

    def counted(self) -> tuple[int, list[tuple[int, int]]]:
        """Own exchanges lately, and the busiest keys of them."""

    def held(self) -> list[tuple[int, int]]:
        """Own forwards out, by endpoint, the most first."""

    def tell(self, now: float, told: Told) -> None:
        """Writes the cell."""


@dataclass(slots=True)
class Own:
    """An endpoint that is out here."""

    start: int
    began: float  # its trip
    tried: float  # its trip, or the last own trial's begin or failure
    hard: bool
    tell_at: float  # math.inf once told, or where enough others have
    told: bool = False
    trying: bool = False
    answered: float = -math.inf  # another's trial that was, unless one is known to have failed since
    due: float = 0.0  # the next trial
    base: float = 0.0  # what `due` counts from, and the draw on top of it
    draw: float = 0.0
    round: float = 0.0  # the first trial that `draw` was drawn for
    spared: dict[str, int] = field(default_factory=dict)  # by teller, since the last own trial
    believed: dict[str, int] = field(default_factory=dict)  # by teller, in this trip


@dataclass(frozen=True, slots=True)
class Heard:
    """What one member last told of one endpoint; times on this process's clock."""

    start: int
    tried: float
    hard: bool
    served: float  # -inf for never
    trying: bool


@dataclass(slots=True)
class Teller:
    zone: int
    outs: int
    written: float
    marks: frozenset[int]
    total: int
    keys: list[tuple[int, int]]
    held: list[tuple[int, int]]


class Evidence:
    def __init__(
        self,
        now: float,
        zone: int,
        host: EvidenceHost,
        chance: random.Random,
        tellers: int = 3,
        lasts: float = 15.0,
    ) -> None:
        """`tellers`: whose words together warn, 2 at least; `lasts`: seconds for which word counts."""
        self.zone, self.host, self.chance, self.tellers, self.lasts = zone, host, chance, tellers, lasts
        self.own: dict[int, Own] = {}
        self.back: dict[int, tuple[int, float]] = {}  # put back lately: start, when
        self.by_owner: dict[str, Teller] = {}
        self.by_mark: dict[int, dict[str, Heard]] = {}
        self.warned: set[int] = set()
        self.shares: dict[int, float] = {}  # of hot keys, by all that is told
        self.wrote_at, self.urgent, self.changed = -math.inf, False, False
        self.began, self.keys_at, self.summed_at, self.keys_news = now, now + KEY_FIRST, now, False
        self.counts = dict.fromkeys(
            ("words", "discounted", "spared", "hastened", "warnings", "kept_quiet", "told", "refused"), 0
        )

    # What this sidecar meets itself.

    def tripped(self, now: float, mark: int, start: int, hard: bool) -> None:
        own = self.own[mark] = Own(start, now, now, hard, now + self.draw(TELL_DRAW))
        own.due = own.base = now
        own.due += TRIAL_DELAY
        self.back.pop(mark, None)
        self.unwarn(now, mark)
        for owner in list(self.by_mark.get(mark, ())):
            self.weigh(now, mark, owner, -math.inf, -math.inf)

    def inherited(self, now: float, mark: int, start: int, since: float, due: float) -> None:
        """It is out here by what was kept or told at a start, last tried at `since`.

        Guards against hearsay that is told on as met: it is told once an own trial has failed."""
        own = self.own[mark] = Own(start, since, since, False, math.inf)
        own.base, own.due = since, due
        self.unwarn(now, mark)

    def trying(self, now: float, mark: int) -> None:
        """A trial is sent."""
        own = self.own.get(mark)
        if own is not None:
            own.tried, own.spared, own.trying = now, {}, True
            if own.answered == -math.inf:
                self.say(own)

    def failed(self, now: float, mark: int) -> None:
        """A trial has failed; the module has the next one due after its delay."""
        own = self.own.get(mark)
        if own is None:
            return
        own.tried, own.spared, own.base, own.due, own.draw = now, {}, now, now + TRIAL_DELAY, 0.0
        own.trying, own.answered = False, -math.inf
        self.say(own)
        # Guards against one that is always first again, as all others wait by their draws.
        if any(
            self.counts_for(now, owner, heard, own.start)
            for owner, heard in self.by_mark.get(mark, {}).items()
        ):
            own.draw = self.draw(TRIAL_DRAW)
            own.due += own.draw
            self.host.plan(now, mark, own.due)

    def served(self, now: float, mark: int) -> None:
        """A trial was answered in time: the endpoint is back here."""
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
        """It has restarted, or is listed no more: what was known of it is void."""
        self.own.pop(mark, None)
        self.back.pop(mark, None)
        self.changed = True

    def say(self, own: Own) -> None:
        own.told, own.tell_at, self.urgent = True, math.inf, True

    def draw(self, spread: float) -> float:
        """Seconds: of n that draw, about e^(delay / spread) do so before the first one's word is there."""
        return spread * max(0.0, math.log(max(self.host.size(), 1) * (1.0 - self.chance.random())))

    # What others tell.

    def heard(self, now: float, owner: str, told: Told) -> None:
        """The cell of another is another now. Word is taken as older where the teller's clock says so, and
        never as younger than its coming."""
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
        known = self.by_mark.get(mark, {})
        known.pop(owner, None)
        if not known:
            self.by_mark.pop(mark, None)

    def forget(self, now: float, owner: str) -> None:
        """The member is gone for good."""
        teller = self.by_owner.pop(owner, None)
        for mark in teller.marks if teller else ():
            self.drop(mark, owner)
            if mark in self.warned:
                self.weigh_warning(now, mark)

    def odd(self, owner: str) -> bool:
        """Guards against a member whose own network is bad, and holds most endpoints out. May hurt where it
        is the first to meet a trouble of very many."""
        more = self.by_owner[owner].outs - len(self.own)
        return more > max(ODD_LEAST, ODD_PART * self.host.ready())

    def counts_for(self, now: float, owner: str, heard: Heard, start: int) -> bool:
        """Whether it is fresh word that the endpoint is out, of this start of it, by one who can judge."""
        if heard.start != start or now - heard.tried > self.lasts or heard.served >= heard.tried:
            return False
        return not self.odd(owner)

    def weigh(self, now: float, mark: int, owner: str, tried: float, served: float) -> None:
        """What comes of one member's word of one endpoint, of which it told `tried` and `served` before."""
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
        """Another has just met what this one's trial would: the own one is put off.

        Guards against trials that grow with the fleet; what one teller can put off is bounded. May hurt
        where an endpoint is back between the other's trial and the own one that was due."""
        tried = heard.tried
        if (tried <= own.base and own.draw) or own.spared.get(owner, 0) >= SPARED_BY_ONE:
            return
        if own.answered > -math.inf and (heard.trying or tried <= own.answered):
            return
        own.answered = -math.inf
        if tried - own.round > WRITE_GAP or not own.draw:  # a round of its own
            own.spared[owner] = own.spared.get(owner, 0) + 1
            own.draw, own.round = self.draw(TRIAL_DRAW) or 1e-6, tried
        own.base = max(own.base, tried)
        due = own.base + TRIAL_DELAY + own.draw
        if due > own.due:
            own.due = due
            self.counts["spared"] += 1
            self.host.plan(now, mark, due)

    def hasten(self, now: float, mark: int, own: Own, owner: str) -> None:
        """Another's trial was answered: the own one is due, at a moment drawn so that few go first.

        Guards against an endpoint that is long back and still waited for. May hurt where the other's way is
        another: one trial for each teller in a trip."""
        if own.believed.get(owner, 0) >= BELIEVED or self.odd(owner):
            return
        own.believed[owner] = own.believed.get(owner, 0) + 1
        due = now + self.draw(BACK_DRAW)
        if due < own.due:
            own.due, own.draw, own.answered = due, 0.0, self.by_mark[mark][owner].served
            self.counts["hastened"] += 1
            self.host.plan(now, mark, due)

    def votes(self, now: float, mark: int, start: int) -> int:
        """How many ways its word comes from: each member of the own zone is one, another zone is one in all.

        Guards against a cut between two zones, which all of one of them tell alike."""
        near, far = 0, set[int]()
        for owner, heard in self.by_mark.get(mark, {}).items():
            if heard.hard and self.counts_for(now, owner, heard, start):
                zone = self.by_owner[owner].zone
                near += zone == self.zone
                if zone != self.zone:
                    far.add(zone)
        return near + len(far)

    def weigh_warning(self, now: float, mark: int) -> None:
        start = None if mark in self.own else self.host.start_of(mark)
        if start is None or self.votes(now, mark, start) < self.tellers:
            self.unwarn(now, mark)
        # Guards against word that condemns a fleet: it warns of a part of the endpoints at most.
        elif mark not in self.warned and len(self.warned) < max(1, WARNED_PART * self.host.ready()):
            self.warned.add(mark)
            self.counts["warnings"] += 1
            self.host.warn(now, mark, True)

    def unwarn(self, now: float, mark: int) -> None:
        if mark in self.warned:
            self.warned.remove(mark)
            self.host.warn(now, mark, False)

    # Keys.

    def sum_keys(self, now: float) -> None:
        """Shares of the traffic, by all fresh words. Guards against one teller with a great total: what it
        counts is bounded by the median; a key is hot by the words of several alone."""
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
        """Forwards out by endpoint, as far as they are told."""
        found: dict[int, int] = {}
        for teller in self.by_owner.values():
            for mark, count in teller.held if now - teller.written <= self.lasts else ():
                found[mark] = found.get(mark, 0) + max(0, count)
        return found

    # Time.

    def tick(self, now: float) -> float:
        """Does what is due; when to be called next at the latest."""
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
                if others >= QUIET:  # Guards against a cell of each member of thousands for one death.
                    self.counts["kept_quiet"] += 1
                else:
                    self.say(own)
        sum_gap = min(KEY_GAP / 2, max(KEY_FIRST, KEY_MORE / 2 * (now - self.began)))
        if self.keys_news and now - self.summed_at >= sum_gap:
            self.sum_keys(now)
            self.summed_at, self.keys_news = now, bool(self.shares)
        keyed = now >= self.keys_at
        if keyed:
            # Guards against hot keys that a fleet just started knows late: often at first, then seldom; and
            # against tellers that started together, whose cells would ever after be on the way all at once.
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
        told = [
            Out(mark, own.start, round(now - own.tried, 3), own.hard, trying=own.trying)
            for mark, own in sorted(self.own.items(), key=lambda pair: -pair[1].tried)
            if own.told
        ]
        told += [
            Out(mark, start, round(now - at, 3), False, round(now - at, 3))
            for mark, (start, at) in self.back.items()
        ]
        # Guards against being crowded out: the latest news first, whatever it is.
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
    """Keys with their counts, which together are no more than the total."""
    left, keys = max(0, told.total), list[tuple[int, int]]()
    for key, count in told.keys[:MOST_KEYS]:
        keys.append((key, min(max(count, 0), left)))
        left -= keys[-1][1]
    return keys
