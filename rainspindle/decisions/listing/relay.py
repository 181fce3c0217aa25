"""Decides which members poll the list service, which reports the others apply, and when they skip own calls.

Does no I/O and reads no clock. A few members, the *askers*, are chosen by a rank that is the same wherever
membership views agree. They call the service as a sidecar on its own does, but more often, and publish in
their head register the version they received, its digest and the latest changes. The other members apply a
list that two askers report identically, and skip their own call while two have confirmed it recently enough.

The age of a confirmation depends on no other member's clock: an asker writes a head only after it was known
to hold the previous one, so what the new head reports is no older than the arrival of the previous head less
the age that the new head states.
"""

from __future__ import annotations

import functools
import heapq
import math
import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b
from typing import Protocol

from ...protocol import listing as words
from ...protocol.listing import Head, Lines, Set, TooLarge, UnreadableList

AGREE = 2  # members that must report the same list before it is applied or replaces an own call
CARRIERS = 2  # askers that publish the whole list as well
# Multiple of the asker count: only this many members by rank may become askers
# when those ranked before them fail.
SPREAD = 4
# An asker's watch waits for this fraction of the asking period, at least for the second value in seconds.
BEAT_PART, LEAST_BEAT = 0.15, 1.0
SILENT = 0.7  # seconds that an asker's head may be overdue before the member is passed over
# After a confirmation, the own call is due between these fractions of the asking period.
FIRST_PART, LAST_PART = 0.62, 0.78
# Replaces FIRST_PART while two members report failing calls: a longer interval spreads the own calls.
FAILING_PART = 0.3
# seconds; in a shorter asking period two watches and their delivery take up too much of it
LEAST_ASK_WITHIN = 5.0
# A newer list that two members report must be available here within LAG seconds
# plus a random part of LAG_PART of the asking period.
LAG, LAG_PART = 1.0, 0.3
# The same limit, in fractions of the asking period, while only one member reports a newer list:
# the next asker may poll meanwhile.
LONE = (0.5, 0.75)
WRITE = 0.5  # minimum seconds between heads
SET_EVERY = 3.0  # seconds between whole lists published, unless the head cannot hold the change
# Range, in fractions of the asking period, from which a member that has just started and received no report
# draws the time of its first call: with a list (JOINING) and without one (JOINING_BARE). The three ranges
# apply if it has no addresses of other members, if it has some but knows no member yet, and if it knows one.
JOINING = ((0.03, 0.33), (0.4, 0.7), (0.4, 0.78))
JOINING_BARE = ((0.03, 0.13), (0.35, 0.6), (0.35, 0.7))
# seconds; upper limit of the asking period without a list, as the listener does not open before it has one
BARE = 10.0
SIGHTED = 1.0  # seconds from when a new member first knows of others until it may become an asker
# Fraction of the usable endpoints: if a list removes more of them since three members agreed, two votes
# are not enough.
LARGE = 0.5
# audit calls a second over the whole fleet; minimum seconds between two audits at one sidecar
AUDITS, LEAST_AUDIT = 1.0, 60.0
# calls a second over the whole fleet by members whose own call fails while askers' calls fail too
RETRIES = 25.0
# seconds for which a member with an implausible report is distrusted; doubled each time up to the maximum
DOUBT, MOST_DOUBT = 60.0, 3600.0
# STOP: seconds between two checks that mean that this process was stopped.
# SETTLE: seconds after a stop in which received reports may be old.
STOP, SETTLE = 1.0, 2.0
RANK = 0.5  # minimum seconds between two rankings of the members
FAILS = 2  # consecutive failed calls before an asker reports it, as a busy service refuses some calls
MOST_STEPS = 64  # list changes that are remembered for heads


@dataclass(frozen=True, slots=True)
class Terms:
    """Settings of the relay."""

    askers: int
    ask_within: float  # seconds; 0 for no limit: then no call is skipped
    seeded: bool = True  # whether this member has addresses of others to join through


class RelayHost(Protocol):
    """Side effects and lookups that the relay needs from its environment."""

    def alive(self) -> Sequence[str]:
        """Returns the names of the live members, the own one included."""

    def write(self, now: float, name: str, value: bytes) -> None:
        """Writes a register of the own member; an empty value deletes it."""

    def cell(self, owner: str, name: str) -> bytes:
        """Returns the value of a register, b"" if there is none."""

    def take(self, now: float, version: int, lines: Lines, delta: Lines) -> bool:
        """Applies a list, in which `delta` holds the changed lines; returns False if it cannot be decoded."""

    def urge(self) -> None:
        """Requests a new look at `spared`, which may return an earlier time, or at a changed asker role."""

    def log(self, event: str, **fields: object) -> None:
        """Writes a log line."""


@dataclass(slots=True)
class Word:
    """The latest head of one asker."""

    head: Head
    # when it arrived or was last known to be held by a member that passed it on; it was written before
    at: float
    confirmed: float  # when the service had no later version than this; -inf if unknown
    ahead: int = 0  # the first version it reported that is still later than the one here
    ahead_at: float = math.inf  # when that version arrived


@dataclass(slots=True)
class Doubt:
    """A member whose reports are ignored until `until` if they are of `version` or later."""

    until: float
    version: int
    times: int = 1


class Relay:
    """The relay's state in one member; see the module's description."""

    def __init__(
        self, now: float, own: str, run: int, terms: Terms, at: bytes, host: RelayHost, chance: random.Random
    ) -> None:
        """`run` differs between processes of one name; `at` is the digest that identifies the service."""
        self.own, self.run, self.terms, self.at, self.host, self.chance = own, run, terms, at, host, chance
        self.began = self.looked = now
        self.stop = (-math.inf, -math.inf)  # start and end of the last stop of this process
        self.version: int | None = None
        self.lines: dict[str, bytes] = {}
        self.digest = b""
        self.steps: deque[tuple[float, int, bytes, tuple[str, ...]]] = deque(maxlen=MOST_STEPS)
        self.words: dict[str, Word] = {}
        self.doubts: dict[str, Doubt] = {}
        self.ranked: list[str] = [own]
        self.size, self.stirred, self.ranked_at = 1, True, -math.inf
        self.expected: dict[str, float] = {}  # by member that is to write a head: since when it is awaited
        self.there: set[str] = {own}
        self.asker = self.carrier = self.large = self.telling = self.leaving = False
        self.retired_at = math.inf
        self.beat, self.wrote_at, self.set_at, self.due = 0, -math.inf, -math.inf, False
        self.set_digest, self.chunks = b"", list[bytes]()
        self.confirmed = -math.inf  # when two members reported that the service had the list that is here
        # of the last answered and failed own call, and of the last change of the list here
        self.own_at = self.failed_at = self.changed_at = -math.inf
        self.lag_at = math.inf  # since when any member reports a newer list
        self.short_at = math.inf  # since when two members report the same newer list
        self.dispute_at = math.inf  # since when a member contradicts the list that two reported
        self.sure: Lines = {}  # the last list that the service, or three members, reported
        self.sure_usable = -1  # number of usable endpoints in it; -1: not counted yet
        self.sighted = math.inf  # when other members were first known to be alive
        self.failing_at = math.inf  # since when two members report failing calls
        self.up_at = -math.inf  # when a member whose calls succeed was last answered
        self.vouched = False  # whether two members reported the list that is here
        self.anew_at = -math.inf  # when the service was found to have restarted its version count
        self.down: set[str] = set()  # members that reported a version not above the own one since then
        self.calls = self.failures = self.takes = 0
        self.row = 0  # consecutive failed own calls
        self.mode = ""
        self.draw(now)

    @property
    def on(self) -> bool:
        """Whether lists are relayed at all."""
        return self.terms.ask_within >= LEAST_ASK_WITHIN and not self.large

    @property
    def period(self) -> float:
        """Seconds that an asker's watch waits."""
        return max(BEAT_PART * self.terms.ask_within, LEAST_BEAT)

    def draw(self, now: float) -> None:
        """Draws new random fractions; done for each own call, so that sidecars do not synchronize."""
        self.part, self.audit = self.chance.random(), 0.5 + self.chance.random()
        self.drawn_at = now

    # Events.

    def start(self, version: int, lines: Lines) -> None:
        """Sets the list that was known before any call."""
        self.version, self.lines = version, dict(lines)
        self.digest = words.digest(self.lines)

    def told(self, now: float, version: int, whole: bool, lines: Lines) -> None:
        """Handles the answer to an own call; `whole` if `lines` are the whole list."""
        self.calls, self.row = self.calls + 1, 0
        before, known = self.version, self.lines
        new = words.changed({} if whole else known, list(lines.items()))
        if before is not None and (version < before or (version == before and new != known)):
            self.doubt(now, before, self.digest)
        if before is not None and version < before:
            self.anew_at = now
            self.down = {name for name, word in self.words.items() if word.head.version <= version}
        if version != before or new != known:
            self.step(now, version, new)
        if whole:
            self.examine(now, version)
        self.own_at = now
        self.sure, self.sure_usable = self.lines, -1
        self.lag_at = self.short_at = math.inf
        self.draw(now)
        self.due = True
        self.look(now)

    def failed(self, now: float) -> None:
        """Handles the failure of an own call."""
        self.failures += 1
        self.row += 1
        self.due = self.due or self.row == FAILS
        self.failed_at = now
        self.draw(now)
        self.look(now)

    def unfit(self, why: str) -> None:
        """Disables the relay for a list that does not fit into registers; each member polls for itself."""
        if not self.large:
            self.host.log(
                "list: too large to relay, each sidecar polls for itself", why=why, remedy=TooLarge.remedy
            )
        self.large = True

    def moved(self, now: float, at: bytes) -> None:
        """Switches to another service: reports about the previous one no longer count, nor does its list."""
        self.at, self.version, self.lines, self.digest = at, None, {}, b""
        self.confirmed = self.own_at = self.failed_at = -math.inf
        self.vouched, self.began, self.large = False, -math.inf, False
        self.lag_at = self.short_at = self.failing_at = self.dispute_at = math.inf
        self.sure, self.sure_usable = {}, -1
        self.steps.clear()
        self.doubts.clear()
        self.due = False
        self.withdraw(now)

    def heard(self, now: float, owner: str, head: Head, held: float) -> None:
        """Handles the head of another member, which is known to have held it at `held`."""
        self.watch(now)
        before = self.words.get(owner)
        if before is not None and (head.run, head.beat) == (before.head.run, before.head.beat):
            return  # the same head, written again by a later incarnation
        at = min(held, now)
        if self.stop[0] < at <= self.stop[1] + SETTLE:
            at = self.stop[0]  # it may have waited in the socket while this process was stopped
        known = before is not None and head.age < words.NEVER
        confirmed = before.at - head.age / 1000 if known and before is not None else -math.inf
        word = self.words[owner] = Word(head, at, confirmed)
        if before is not None:
            word.ahead, word.ahead_at = before.ahead, before.ahead_at
        self.compare(now, word)
        if self.version is not None and head.version <= self.version:
            self.down.add(owner)
        self.look(now)

    def gone(self, now: float, owner: str) -> None:
        """Handles the deletion of a member's head."""
        self.words.pop(owner, None)

    def members_changed(self) -> None:
        """Notes that the membership changed; the ranking is renewed at the next check."""
        self.stirred = True

    def tick(self, now: float) -> float:
        """Does what is due and returns when to be called next at the latest."""
        self.watch(now)
        self.look(now)
        return now + (0.1 if self.due else 0.5)

    def watch(self, now: float) -> None:
        """Detects that this process was stopped."""
        if now - self.looked > STOP:
            self.stop = (self.looked, now)
        self.looked = now

    def compare(self, now: float, word: Word) -> None:
        """Records since when a member reports a version later than the one here."""
        known = -1 if self.version is None else self.version
        if word.head.version <= known:
            word.ahead_at = math.inf
        elif word.ahead_at == math.inf or word.ahead <= known:
            word.ahead, word.ahead_at = word.head.version, now

    # Choice of the askers.

    def rank(self) -> None:
        """Ranks the live members and forgets those that are gone."""
        names = set(self.host.alive()) | {self.own}
        self.size, self.stirred, self.there = len(names), False, names
        if self.size > 1:
            self.sighted = min(self.sighted, self.looked)
        self.ranked = heapq.nsmallest(SPREAD * self.terms.askers, names, key=place)
        young = self.looked - self.terms.ask_within  # a head may arrive before the membership is known
        self.words = {name: word for name, word in self.words.items() if name in names or word.at > young}
        self.doubts = {name: doubt for name, doubt in self.doubts.items() if name in names}

    def passed_over(self, now: float, name: str, since: float, silent: float) -> bool:
        """Returns whether another member is to ask instead of this one."""
        word = self.words.get(name)
        if word is None or now - word.at > silent:
            return now - since > silent
        behind = self.version is not None and word.head.version < self.version
        return (
            word.head.at != self.at
            or word.head.failing
            or self.doubted(now, name)
            or (behind and now - max(self.changed_at, since) > silent)
        )

    def elect(self, now: float) -> None:
        """Decides whether this member is an asker.

        Guards against askers that fail, report wrong lists or hang. Costs a few additional askers meanwhile.
        """
        expected, good, silent = {}, 0.0, self.period + SILENT
        asker = carrier = False
        for name in self.ranked:
            if good >= self.terms.askers:
                break
            if name == self.own:
                # Guards against members that all start at once and each take themselves for the first in
                # rank, as they know no other member yet.
                asker = now >= min(self.joining(), self.sighted + SIGHTED)
                carrier = good < CARRIERS
                break
            expected[name] = self.expected.get(name, now)
            if not self.passed_over(now, name, expected[name], silent):
                # Guards against a next member that is dead too: until one of them reports, two are to ask.
                good += 1.0 if name in self.words else 0.5
        self.expected = expected
        # In a fleet so small that all members would be askers, nobody needs them: each polls for itself.
        asker = asker and self.on and not self.leaving and self.size > self.terms.askers
        if asker and not self.asker:
            self.due, self.retired_at = True, math.inf
        elif self.asker and not asker:
            self.retired_at = now + 2 * self.period
        changed, self.asker, self.carrier = asker != self.asker, asker, asker and carrier
        if changed:
            self.host.urge()

    # Reports from other members.

    def doubted(self, now: float, name: str) -> bool:
        """Returns whether the member's reports are currently ignored."""
        doubt = self.doubts.get(name)
        if doubt is None or now >= doubt.until:
            return False
        word = self.words.get(name)
        return word is not None and word.head.version >= doubt.version

    def examine(self, now: float, version: int) -> None:
        """Checks other members' reports against a whole list that the service itself returned.

        Guards against a member that reports a far too high version and so makes all others call the service.
        Too strict if the service answered this member from an old copy: correct askers are then distrusted
        for a minute.
        """
        for name, word in self.words.items():
            if word.head.at != self.at or self.doubted(now, name):
                continue
            if word.ahead_at <= now - LAG and word.ahead > version:
                self.disbelieve(now, name, word.ahead)
            elif version == self.version and self.against(word):
                self.disbelieve(now, name, 0)  # it polls an old copy: all of its reports are ignored

    def doubt(self, now: float, version: int, digest: bytes) -> None:
        """Distrusts the members that reported a list which the service does not have.

        Guards against several members that report the same wrong list. Too strict for a service that restarts
        its version count: askers that go on reporting its earlier list are distrusted.
        """
        for name, word in self.words.items():
            if (word.head.version, word.head.digest) == (version, digest) and not self.doubted(now, name):
                self.disbelieve(now, name, version)

    def disbelieve(self, now: float, name: str, told: int) -> None:
        """Ignores the member's reports of version `told` or later; the time doubles with each occurrence."""
        before = self.doubts.get(name)
        times = before.times + 1 if before else 1
        until = now + min(DOUBT * 2.0 ** min(times - 1, 9), MOST_DOUBT)
        self.doubts[name] = Doubt(until, told, times)
        self.host.log(
            "list: implausible report, member not believed", member=name, told=told, here=self.version
        )

    def against(self, word: Word) -> bool:
        """Returns whether, by this head, the service had another list when the one here was already known."""
        return (
            self.version is not None
            and word.head.version <= self.version
            and (word.head.version, word.head.digest) != (self.version, self.digest)
            and word.confirmed > self.changed_at
        )

    def counted(self, now: float) -> list[tuple[str, Word]]:
        """Returns the heads that count, with their members.

        Guards against versions from before the service restarted its version count, which seem later: a
        member that reports a later version must first have reported a lower one. This takes up to an asking
        period, in which each member polls for itself.
        """
        young = self.anew_at + self.terms.ask_within
        return [
            (name, word)
            for name, word in self.words.items()
            if word.head.at == self.at
            and name in self.there
            and (word.at > young or name in self.down)
            and not self.doubted(now, name)
        ]

    def votes(self, counted: list[tuple[str, Word]], version: int, digest: bytes) -> int:
        """Returns how many members report that the service had this list."""
        one = (version, digest)
        return sum((w.head.version, w.head.digest) == one or one in w.head.past for _, w in counted)

    def needed(self, lines: Lines) -> int:
        """Returns how many members must report this list before it is applied.

        Guards against two members that report the same wrong list and would remove all endpoints at once. If
        the third is late or fails, the list is not applied in time and members call the service instead.
        """
        if self.sure_usable < 0:
            self.sure_usable = words.usable(self.sure)
        lost = words.usable(lines) < (1 - LARGE) * self.sure_usable
        return min(AGREE + 1, self.terms.askers) if lost else AGREE

    def look(self, now: float) -> None:
        """Reevaluates roles, lists and own reports; called after each event."""
        if self.stirred and now - self.ranked_at >= RANK:
            self.ranked_at = now
            self.rank()
        self.elect(now)
        if self.on:
            self.follow(now)
        if self.asker:
            self.tell(now)
        elif now >= self.retired_at:
            self.retired_at = math.inf
            self.withdraw(now)
        if self.chunks and not self.carrier and self.set_digest != self.digest:
            self.withdraw_whole(now)
        self.change_mode(now)

    def follow(self, now: float) -> None:
        """Applies a newer list if enough members report it, and updates what is known of the reports."""
        counted, lately = self.counted(now), now - 2 * self.period - LAG
        # After a change of service the own call comes first. An asker is informed by the service, unless its
        # calls fail.
        if max(self.own_at, self.began) > -math.inf and (not self.asker or self.failed_at > self.own_at):
            recent = [one for one in counted if one[1].at > lately]
            newer = sorted(
                {
                    (w.head.version, w.head.digest)
                    for _, w in counted
                    if self.version is None or w.head.version > self.version
                },
                reverse=True,
            )
            for version, digest in newer:
                votes = self.votes(recent, version, digest)
                if votes < AGREE:
                    continue
                if self.fetch(now, counted, version, digest, votes):
                    break
                self.short_at = min(self.short_at, now)
        if self.version is not None and (not self.vouched or self.sure is not self.lines):
            votes = self.votes(counted, self.version, self.digest)
            self.vouched = self.vouched or votes >= AGREE
            if votes > AGREE:
                self.sure, self.sure_usable = self.lines, -1
        disputed = self.own_at < self.changed_at and any(self.against(w) for _, w in counted)
        if not disputed:
            self.dispute_at = math.inf
        elif self.dispute_at == math.inf:
            self.dispute_at = now
            self.host.urge()
        same = sorted(
            w.confirmed for _, w in counted if w.head.version == self.version and w.head.digest == self.digest
        )
        if len(same) >= AGREE and same[-AGREE] > self.confirmed:
            self.confirmed = same[-AGREE]
        if any(self.version is None or w.head.version > self.version for _, w in counted):
            if self.lag_at == math.inf:
                self.lag_at = now
                self.host.urge()
        else:
            self.lag_at = self.short_at = math.inf
        self.up_at = max((w.confirmed for _, w in counted if not w.head.failing), default=-math.inf)
        if sum(word.head.failing and word.at > lately for _, word in counted) < AGREE:
            self.failing_at = math.inf
        elif self.failing_at == math.inf:
            self.failing_at = now
            self.host.urge()

    def fetch(
        self, now: float, counted: list[tuple[str, Word]], version: int, digest: bytes, votes: int
    ) -> bool:
        """Applies this list if it can be assembled from what is here; returns whether it was.

        The base is the own list or a whole list that a member published, completed by the changes in the
        heads. Its origin does not matter, as the digest shows whether the result is the reported list.
        """
        deltas = [w.head for _, w in counted if (w.head.version, w.head.digest) == (version, digest)]
        bases: list[tuple[int, dict[str, bytes]]] = []
        if self.version is not None:
            bases.append((self.version, self.lines))
        for base in bases:
            if self.build(now, base, deltas, votes):
                return True
        for name, _ in counted:
            found = self.whole(name, version)
            if found is not None and self.build(now, found, deltas, votes):
                return True
        return False

    def build(self, now: float, base: tuple[int, dict[str, bytes]], deltas: list[Head], votes: int) -> bool:
        """Applies the list that results from `base` and one of the heads, if digest and votes allow it."""
        for head in deltas:
            if not head.since <= base[0] <= head.version:
                continue
            lines = words.changed(base[1], head.delta) if base[0] < head.version else base[1]
            if words.digest(lines) != head.digest or votes < self.needed(lines):
                continue
            delta = {
                id: lines.get(id, b"")
                for id in lines.keys() | self.lines.keys()
                if lines.get(id) != self.lines.get(id)
            }
            if not self.host.take(now, head.version, lines, delta):
                continue
            self.step(now, head.version, dict(lines))
            self.takes += 1
            self.vouched, self.lag_at, self.short_at = True, math.inf, math.inf
            return True
        return False

    def whole(self, owner: str, version: int) -> tuple[int, dict[str, bytes]] | None:
        """Returns a member's published list and its version, None unless all chunks are here and fit."""
        value = self.host.cell(owner, words.SET)
        try:
            told = words.decode(value, Set) if value else None
            if (
                told is None
                or told.at != self.at
                or not 1 <= told.chunks <= words.MOST_CHUNKS
                or told.version > version
            ):
                return None
            chunks = [self.host.cell(owner, words.chunk_name(n)) for n in range(told.chunks)]
            lines = words.joined(told, chunks)
        except UnreadableList:
            return None
        return None if lines is None else (told.version, lines)

    # Own reports.

    def step(self, now: float, version: int, lines: dict[str, bytes]) -> None:
        """Replaces the list and remembers which lines changed."""
        if self.version is not None and version > self.version:
            ids = tuple(id for id in self.lines.keys() | lines.keys() if lines.get(id) != self.lines.get(id))
            self.steps.append((now, self.version, self.digest, ids))
        else:
            self.steps.clear()
        if version != self.version:
            self.changed_at, self.vouched = now, False
        self.version, self.lines, self.digest = version, lines, words.digest(lines)
        for word in self.words.values():
            self.compare(now, word)

    def tell(self, now: float) -> None:
        """Writes the head if it is due, and as a carrier the whole list."""
        fails = self.row >= FAILS
        if self.version is None or self.version >= 2**63:
            return
        if not self.due and fails and now - self.wrote_at >= self.period:
            self.due = True  # the others must learn that calls still fail
        # Guards against registers that stay large long after a change: members that missed it have had time
        # to poll for themselves.
        while self.steps and now - self.steps[0][0] > self.terms.ask_within:
            self.steps.popleft()
        since, delta = self.delta()
        if self.carrier and self.set_digest != self.digest:
            carried = not self.steps or since <= self.steps[-1][1]  # the change is in the head
            if now - self.set_at >= (SET_EVERY if carried else WRITE):
                self.tell_whole(now)
        if not self.due or now - self.wrote_at < WRITE or self.large:
            return
        self.due, self.wrote_at, self.beat, self.telling = False, now, self.beat + 1, True
        since_told = now - self.own_at
        age = min(int(since_told * 1000) + 1, words.NEVER) if since_told < math.inf else words.NEVER
        past = [(before, digest) for _, before, digest, _ in list(self.steps)[-words.MOST_PAST :]]
        self.host.write(
            now,
            words.HEAD,
            words.encode(
                Head(
                    words.VERSION,
                    self.at,
                    self.run,
                    self.beat,
                    self.version,
                    self.digest,
                    age,
                    fails,
                    past,
                    since,
                    delta,
                )
            ),
        )

    def delta(self) -> tuple[int, list[tuple[str, bytes]]]:
        """Returns the latest changes that fit into a head, and the version after which they begin."""
        assert self.version is not None
        since, found, room = self.version, dict[str, bytes](), words.MOST_DELTA
        for _, before, _, ids in reversed(self.steps):
            new = {id: self.lines.get(id, b"") for id in ids if id not in found}
            room -= sum(len(id.encode()) + len(data) + 6 for id, data in new.items())
            if room < 0:
                break
            found.update(new)
            since = before
        return since, list(found.items())

    def tell_whole(self, now: float) -> None:
        """Publishes the whole list in chunks; chunks that are the same as before are not written."""
        try:
            chunks = words.split(self.lines)
        except TooLarge as fault:
            self.unfit(str(fault))
            self.withdraw(now)
            return
        for n, value in enumerate(chunks):
            if n >= len(self.chunks) or self.chunks[n] != value:
                self.host.write(now, words.chunk_name(n), value)
        for n in range(len(chunks), len(self.chunks)):
            self.host.write(now, words.chunk_name(n), b"")
        assert self.version is not None
        self.chunks, self.set_digest, self.set_at = chunks, self.digest, now
        self.host.write(
            now, words.SET, words.encode(Set(words.VERSION, self.at, self.version, self.digest, len(chunks)))
        )

    def leave(self, now: float) -> None:
        """Gives up the asker role as this process shuts down; it goes on with the reports of others."""
        self.leaving = True
        self.withdraw(now)
        self.look(now)

    def withdraw(self, now: float) -> None:
        """Deletes all own registers of the list."""
        if self.telling:
            self.host.write(now, words.HEAD, b"")
        self.telling = False
        self.withdraw_whole(now)

    def withdraw_whole(self, now: float) -> None:
        """Deletes the registers of the whole list."""
        if self.chunks:
            self.host.write(now, words.SET, b"")
            for n in range(len(self.chunks)):
                self.host.write(now, words.chunk_name(n), b"")
        self.chunks, self.set_digest, self.set_at = [], b"", -math.inf

    # Time of the next own call.

    def joining(self) -> float:
        """Returns until when a member that has just started waits for reports before it calls the service.

        Guards against many members that start at once: all would call before any has heard of the others. If
        no member reports anything, the first call is late by this time.
        """
        ways = JOINING if self.lines else JOINING_BARE
        first, last = ways[2 if self.size > 1 else self.terms.seeded]
        within = self.terms.ask_within if self.lines else min(self.terms.ask_within, BARE)
        at = (first + (last - first) * self.part_of_start()) * within
        if 1 < self.size <= self.terms.askers:
            # Guards against waiting for reports in a fleet in which each polls for itself.
            at = min(at, self.sighted - self.began + SETTLE)
        return self.began + at

    def part_of_start(self) -> float:
        """Returns a fraction from 0 to 1 that is fixed for one start of the process."""
        return place(f"{self.own}|{self.run}") / 2**64

    def spared(self, now: float) -> float:
        """Returns until when the next own call may wait; if that time is past, the call is made at once."""
        if not self.on or self.asker:
            return -math.inf
        last = LAST_PART * self.terms.ask_within
        bound = (FIRST_PART + (LAST_PART - FIRST_PART) * self.part) * self.terms.ask_within
        until = self.confirmed + bound
        if self.lag_at < math.inf:
            lone = LONE[0] + (LONE[1] - LONE[0]) * self.part
            until = min(
                until,
                self.lag_at + lone * self.terms.ask_within,
                self.short_at + LAG + self.part * LAG_PART * self.terms.ask_within,
            )
        until = min(until, self.drawn_at + self.audit * max(self.size / AUDITS, LEAST_AUDIT))
        known = self.confirmed
        if max(self.own_at, self.failed_at) == -math.inf and self.began > -math.inf:
            known = max(known, self.began) if self.vouched else known
            until = max(until, self.began + bound if self.vouched else self.joining())
        if self.failing_at < math.inf and known > -math.inf:
            # Guards against all others calling a failing service at once: their calls are spread over all the
            # time that is left. Not while the service answers some calls, as these calls would then make it
            # fail.
            since = max(
                self.failing_at,
                known + FAILING_PART * self.terms.ask_within,
                self.up_at + self.period + SILENT,
            )
            until = min(until, since + self.part * max(known + last - since, 0.0))
        if self.dispute_at < math.inf:
            until = min(
                until, max(self.dispute_at, self.failed_at) + LAG + self.part * max(self.size / RETRIES, LAG)
            )
        if self.failed_at > self.own_at and self.failing_at < math.inf:
            # Two other members and this one see the service fail. A sidecar on its own would retry within a
            # quarter of the asking period; here retries are so rare that the fleet's calls stay bounded.
            until = max(
                until,
                self.failed_at + (0.5 + self.part) * max(0.25 * self.terms.ask_within, self.size / RETRIES),
            )
        return until

    def change_mode(self, now: float) -> None:
        """Logs a change of the mode."""
        mode = (
            "asker"
            if self.asker
            else "alone"
            if self.spared(now) <= now
            else "waits"
            if self.confirmed == -math.inf and not self.vouched
            else "spared"
        )
        if mode != self.mode:
            self.host.log(SAYS[mode], version=self.version, members=self.size)
            self.mode = mode


SAYS = {
    "asker": "list: polls the list service for the fleet",
    "spared": "list: skips own calls, other members poll",
    "waits": "list: waits for a report from other members",
    "alone": "list: polls the list service for itself",
}


@functools.lru_cache(8192)
def place(name: str) -> int:
    """Returns the hash by which members are ranked, the same at all members."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")
