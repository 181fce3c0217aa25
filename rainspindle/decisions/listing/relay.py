"""Who of a fleet asks the list service, what of its word the others go by, and until when they are spared.

No I/O, no clock. A few members, alike wherever views agree, ask as alone but more often, and tell in their
head which version they were told, its digest and what changed last. The others take a list that two of them
tell alike, and are spared their own call while two have confirmed it lately enough.

How old a confirmation is rests on nobody's clock: a head was written after its writer was known to hold the
one before, so what it tells is no older than that one's arrival, less the age that the head gives itself.
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

AGREE = 2  # who must tell the same before it is taken, or spares a call
CARRIERS = 2  # askers that write the whole list too
SPREAD = 4  # times the askers: so many members by rank may ask in all, where those before them fail
BEAT_PART, LEAST_BEAT = 0.15, 1.0  # of the asking period, and seconds, for which an asker's watch waits
SILENT = 0.7  # seconds by which an asker's word may be late until it is passed over
FIRST_PART, LAST_PART = 0.62, 0.78  # of the asking period, after a confirmation: when the own call is to come
FAILING_PART = 0.3  # FIRST_PART where two tell that their calls fail: more time to draw from
LEAST_ASK_WITHIN = 5.0  # seconds; where it is less, two beats and their way take too much of it
LAG, LAG_PART = 1.0, 0.3  # seconds and part by which a newer list, of which two tell, must be here
LONE = (0.5, 0.75)  # of the asking period: the same where one alone tells, as the next may ask meanwhile
WRITE = 0.5  # seconds between heads at least
SET_EVERY = 3.0  # seconds between whole lists told, unless the head can't carry the change
# Of the asking period: when a newcomer asks to whom no word has come, with a list and without one: if it has
# no way to hear of others, if it has not heard of any yet, if it has.
JOINING = ((0.03, 0.33), (0.4, 0.7), (0.4, 0.78))
JOINING_BARE = ((0.03, 0.13), (0.35, 0.6), (0.35, 0.7))
BARE = 10.0  # seconds that count for a longer asking period where there is no list: the door waits for it
SIGHTED = 1.0  # seconds after a newcomer knows of others until it may ask for all
LARGE = 0.5  # of the endpoints in use: where more are lost since three told alike, two are not enough
AUDITS, LEAST_AUDIT = 1.0, 60.0  # calls a second over the fleet; seconds at one sidecar at least
RETRIES = 25.0  # calls a second over the fleet, of those whose own call fails where askers' calls fail too
DOUBT, MOST_DOUBT = 60.0, 3600.0  # seconds in which one that told too much is not believed; doubled
STOP, SETTLE = 1.0, 2.0  # seconds between looks that are a stop of this process; after it word may be old
RANK = 0.5  # seconds between two looks at who is there
FAILS = 2  # calls in a row that fail before an asker says so: a busy service turns some away
MOST_STEPS = 64  # changes of the list that are remembered for heads


@dataclass(frozen=True, slots=True)
class Terms:
    askers: int
    ask_within: float  # seconds; 0: there is no such time, and nobody is spared
    seeded: bool = True  # it has addresses of others to start from


class RelayHost(Protocol):
    """All that the relay can do."""

    def alive(self) -> Sequence[str]:
        """The members that are there, the own one among them."""

    def write(self, now: float, name: str, value: bytes) -> None:
        """The own cell; b"" takes it away."""

    def cell(self, owner: str, name: str) -> bytes:
        """b"" where there is none."""

    def take(self, now: float, version: int, lines: Lines, delta: Lines) -> bool:
        """Goes by this list, in which `delta` is new; False where it cannot be read."""

    def urge(self) -> None:
        """`spared` may tell an earlier time now, or this member has become an asker."""

    def log(self, event: str, **fields: object) -> None: ...


@dataclass(slots=True)
class Word:
    """The head of one asker."""

    head: Head
    at: float  # when it came, or was told on by one who had it: it was written before
    confirmed: float  # when the service had no later version than this; -inf: not known
    ahead: int = 0  # the first version that it told which is still later than the one here
    ahead_at: float = math.inf  # and when that came


@dataclass(slots=True)
class Doubt:
    until: float
    version: int
    times: int = 1


class Relay:
    def __init__(
        self, now: float, own: str, run: int, terms: Terms, at: bytes, host: RelayHost, chance: random.Random
    ) -> None:
        """`run` is another in each process of this name, `at` the mark of the service that it asks."""
        self.own, self.run, self.terms, self.at, self.host, self.chance = own, run, terms, at, host, chance
        self.began = self.looked = now
        self.stop = (-math.inf, -math.inf)  # the last stop of this process
        self.version: int | None = None
        self.lines: dict[str, bytes] = {}
        self.digest = b""
        self.steps: deque[tuple[float, int, bytes, tuple[str, ...]]] = deque(maxlen=MOST_STEPS)
        self.words: dict[str, Word] = {}
        self.doubts: dict[str, Doubt] = {}
        self.ranked: list[str] = [own]
        self.size, self.stirred, self.ranked_at = 1, True, -math.inf
        self.expected: dict[str, float] = {}  # since when a head is waited for, of those to write one
        self.there: set[str] = {own}
        self.asker = self.carrier = self.large = self.telling = self.leaving = False
        self.retired_at = math.inf
        self.beat, self.wrote_at, self.set_at, self.due = 0, -math.inf, -math.inf, False
        self.set_digest, self.chunks = b"", list[bytes]()
        self.confirmed = -math.inf  # when two told that the service had the list that is here
        self.own_at = self.failed_at = self.changed_at = -math.inf  # of own calls, and of the list here
        self.lag_at = math.inf  # since when a newer list is told of
        self.short_at = math.inf  # since when two tell alike of a newer one
        self.dispute_at = math.inf  # since when one tells that the service has not the list that two told
        self.sure: Lines = {}  # the list as the service, or three, told it last
        self.sure_usable = -1  # -1: not counted yet
        self.sighted = math.inf  # when others were first known to be there
        self.failing_at = math.inf  # since when two tell that their calls fail
        self.up_at = -math.inf  # when one whose calls do not fail was answered last
        self.vouched = False  # whether two tell of the list that is here
        self.anew_at = -math.inf  # when the service was found to count its versions anew
        self.down: set[str] = set()  # who has told a version since that is not above the one here
        self.calls = self.failures = self.takes = 0
        self.row = 0  # own calls that failed since the last answer
        self.mode = ""
        self.draw(now)

    @property
    def on(self) -> bool:
        return self.terms.ask_within >= LEAST_ASK_WITHIN and not self.large

    @property
    def period(self) -> float:
        """Seconds that an asker's watch waits."""
        return max(BEAT_PART * self.terms.ask_within, LEAST_BEAT)

    def draw(self, now: float) -> None:
        """Anew for each own call, so that sidecars do not fall into step."""
        self.part, self.audit = self.chance.random(), 0.5 + self.chance.random()
        self.drawn_at = now

    # What happens.

    def start(self, version: int, lines: Lines) -> None:
        """The list that was here before any call."""
        self.version, self.lines = version, dict(lines)
        self.digest = words.digest(self.lines)

    def told(self, now: float, version: int, whole: bool, lines: Lines) -> None:
        """The own call was answered."""
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
        """The own call failed."""
        self.failures += 1
        self.row += 1
        self.due = self.due or self.row == FAILS
        self.failed_at = now
        self.draw(now)
        self.look(now)

    def unfit(self, why: str) -> None:
        """The list is one that cells cannot carry: each asks for itself."""
        if not self.large:
            self.host.log("list: too large to be told on", why=why, remedy=TooLarge.remedy)
        self.large = True

    def moved(self, now: float, at: bytes) -> None:
        """Another service is asked: word of the last one counts for nothing, nor does what it told."""
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
        """A head of another member, which is known to have held it at `held`."""
        self.watch(now)
        before = self.words.get(owner)
        if before is not None and (head.run, head.beat) == (before.head.run, before.head.beat):
            return  # the same under a higher life
        at = min(held, now)
        if self.stop[0] < at <= self.stop[1] + SETTLE:
            at = self.stop[0]  # it may have lain in the socket while this process stood still
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
        """It has taken its head away."""
        self.words.pop(owner, None)

    def members_changed(self) -> None:
        self.stirred = True

    def tick(self, now: float) -> float:
        """Does what is due; when to be called next at the latest."""
        self.watch(now)
        self.look(now)
        return now + (0.1 if self.due else 0.5)

    def watch(self, now: float) -> None:
        """Whether this process has stood still."""
        if now - self.looked > STOP:
            self.stop = (self.looked, now)
        self.looked = now

    def compare(self, now: float, word: Word) -> None:
        """Whether what it tells is later than the list here, and since when."""
        known = -1 if self.version is None else self.version
        if word.head.version <= known:
            word.ahead_at = math.inf
        elif word.ahead_at == math.inf or word.ahead <= known:
            word.ahead, word.ahead_at = word.head.version, now

    # Who asks.

    def rank(self) -> None:
        names = set(self.host.alive()) | {self.own}
        self.size, self.stirred, self.there = len(names), False, names
        if self.size > 1:
            self.sighted = min(self.sighted, self.looked)
        self.ranked = heapq.nsmallest(SPREAD * self.terms.askers, names, key=place)
        young = self.looked - self.terms.ask_within  # word may come before it is known who is there
        self.words = {name: word for name, word in self.words.items() if name in names or word.at > young}
        self.doubts = {name: doubt for name, doubt in self.doubts.items() if name in names}

    def passed_over(self, now: float, name: str, since: float, silent: float) -> bool:
        """Whether another is to ask in the place of this one."""
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
        """Whether this one asks. Guards against askers that fail, lie or hang; may hurt by a few more."""
        expected, good, silent = {}, 0.0, self.period + SILENT
        asker = carrier = False
        for name in self.ranked:
            if good >= self.terms.askers:
                break
            if name == self.own:
                # Guards against all of a herd that take themselves for the first, as they know nobody yet.
                asker = now >= min(self.joining(), self.sighted + SIGHTED)
                carrier = good < CARRIERS
                break
            expected[name] = self.expected.get(name, now)
            if not self.passed_over(now, name, expected[name], silent):
                # Guards against the next who is dead too: until one of them tells, two are to ask.
                good += 1.0 if name in self.words else 0.5
        self.expected = expected
        # Guards against askers whom nobody needs: where all would ask, each does as alone.
        asker = asker and self.on and not self.leaving and self.size > self.terms.askers
        if asker and not self.asker:
            self.due, self.retired_at = True, math.inf
        elif self.asker and not asker:
            self.retired_at = now + 2 * self.period
        changed, self.asker, self.carrier = asker != self.asker, asker, asker and carrier
        if changed:
            self.host.urge()

    # What the others tell.

    def doubted(self, now: float, name: str) -> bool:
        doubt = self.doubts.get(name)
        if doubt is None or now >= doubt.until:
            return False
        word = self.words.get(name)
        return word is not None and word.head.version >= doubt.version

    def examine(self, now: float, version: int) -> None:
        """The service itself told a version. Guards against one that tells of a version far too high, and so
        has all others ask; may hurt where the service answers from an old copy, for a minute."""
        for name, word in self.words.items():
            if word.head.at != self.at or self.doubted(now, name):
                continue
            if word.ahead_at <= now - LAG and word.ahead > version:
                self.disbelieve(now, name, word.ahead)
            elif version == self.version and self.against(word):
                self.disbelieve(now, name, 0)  # it asks an old copy: all that it tells counts for nothing

    def doubt(self, now: float, version: int, digest: bytes) -> None:
        """The service has not the list that was here. Guards against some who told one lie alike; may hurt
        where the service counts anew only those who go on telling what it had before."""
        for name, word in self.words.items():
            if (word.head.version, word.head.digest) == (version, digest) and not self.doubted(now, name):
                self.disbelieve(now, name, version)

    def disbelieve(self, now: float, name: str, told: int) -> None:
        before = self.doubts.get(name)
        times = before.times + 1 if before else 1
        until = now + min(DOUBT * 2.0 ** min(times - 1, 9), MOST_DOUBT)
        self.doubts[name] = Doubt(until, told, times)
        self.host.log("list: a member is not believed", member=name, told=told, here=self.version)

    def against(self, word: Word) -> bool:
        """Whether the service had another list when the one that is here was known already."""
        return (
            self.version is not None
            and word.head.version <= self.version
            and (word.head.version, word.head.digest) != (self.version, self.digest)
            and word.confirmed > self.changed_at
        )

    def counted(self, now: float) -> list[tuple[str, Word]]:
        """Guards against versions from before a service counted anew, which seem later: who tells of a later
        one must have come down first; may hurt for an asking period, in which each asks for itself."""
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
        """How many tell that the service had this list."""
        one = (version, digest)
        return sum((w.head.version, w.head.digest) == one or one in w.head.past for _, w in counted)

    def needed(self, lines: Lines) -> int:
        """Guards against two that tell one lie, by which all endpoints would be gone at once; may hurt where
        the third is late or fails: then by the calls that are made for what is not here in time."""
        if self.sure_usable < 0:
            self.sure_usable = words.usable(self.sure)
        lost = words.usable(lines) < (1 - LARGE) * self.sure_usable
        return min(AGREE + 1, self.terms.askers) if lost else AGREE

    def look(self, now: float) -> None:
        """What may follow from anything that was heard."""
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
        counted, lately = self.counted(now), now - 2 * self.period - LAG
        # After a move the own call comes first; one that asks is told by the service, unless calls fail.
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
        """Takes this list, if it can be put together from what is here: the own one or a whole one that was
        told, and what changed after it. Whose it is does not matter, as the digest says whether it is it."""
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
        """The whole list that a member tells, where its chunks are all here and fit."""
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

    # What this one tells.

    def step(self, now: float, version: int, lines: dict[str, bytes]) -> None:
        """Another list is here."""
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
        """Writes the head where it is due, and as a carrier the whole list."""
        fails = self.row >= FAILS
        if self.version is None or self.version >= 2**63:
            return
        if not self.due and fails and now - self.wrote_at >= self.period:
            self.due = True  # that it still fails is news
        # Guards against cells that stay large long after a change: who missed it has had time to ask.
        while self.steps and now - self.steps[0][0] > self.terms.ask_within:
            self.steps.popleft()
        since, delta = self.delta()
        if self.carrier and self.set_digest != self.digest:
            carried = not self.steps or since <= self.steps[-1][1]  # in the head
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
        """As many of the last changes as fit, and after which version they begin."""
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
        """This process ends: others are to ask in its place at once, and it goes on by their word."""
        self.leaving = True
        self.withdraw(now)
        self.look(now)

    def withdraw(self, now: float) -> None:
        """Takes back all that was told."""
        if self.telling:
            self.host.write(now, words.HEAD, b"")
        self.telling = False
        self.withdraw_whole(now)

    def withdraw_whole(self, now: float) -> None:
        if self.chunks:
            self.host.write(now, words.SET, b"")
            for n in range(len(self.chunks)):
                self.host.write(now, words.chunk_name(n), b"")
        self.chunks, self.set_digest, self.set_at = [], b"", -math.inf

    # Until when the own call is spared.

    def joining(self) -> float:
        """Until when one that has just started waits for word, before it asks for itself.

        Guards against a herd that starts at once: all of it would ask before any of it can have heard of the
        others. May hurt by so many seconds where none of them tells anything."""
        ways = JOINING if self.lines else JOINING_BARE
        first, last = ways[2 if self.size > 1 else self.terms.seeded]
        within = self.terms.ask_within if self.lines else min(self.terms.ask_within, BARE)
        at = (first + (last - first) * self.part_of_start()) * within
        if 1 < self.size <= self.terms.askers:
            # Guards against a wait for word in a fleet in which each asks for itself.
            at = min(at, self.sighted - self.began + SETTLE)
        return self.began + at

    def part_of_start(self) -> float:
        return place(f"{self.own}|{self.run}") / 2**64

    def spared(self, now: float) -> float:
        """Until when the next own call may wait; it is asked at once where that is past."""
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
            # Guards against all others falling at once on a service that fails: they draw from all the time
            # that is left to them; not while it answers some, as then it is they who would make it fail.
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
            # Three say that nothing is to be had: what alone is tried again within a quarter of the asking
            # period is tried so seldom that the fleet's calls stay bounded.
            until = max(
                until,
                self.failed_at + (0.5 + self.part) * max(0.25 * self.terms.ask_within, self.size / RETRIES),
            )
        return until

    def change_mode(self, now: float) -> None:
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
    "asker": "list: asks for others",
    "spared": "list: others ask",
    "waits": "list: waits for word",
    "alone": "list: asks for itself",
}


@functools.lru_cache(8192)
def place(name: str) -> int:
    """By which members are ranked, alike at all."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")
