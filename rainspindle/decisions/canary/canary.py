"""One canary as one sidecar sees it: which keys are in, when a stage goes forward, when it ends.

No I/O, no clock, no chance: the time is passed in, and it acts through its host.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, replace
from hashlib import blake2b
from typing import Protocol

import msgspec

from ...balancer.host import Idempotency
from ...errors import Trouble
from ..members.member import Member, MemberStatus
from . import burn, counts, state
from .burn import Burn, Level
from .counts import COARSE, EFFECTS, FINE, TURNED, Heard, Ring, Sums, Told, Window, at
from .state import MARK, MOST_PARDONED, State
from .terms import Terms, point


class CanaryTrouble(Trouble):
    """What a canary cannot do as it stands."""

    remedy = "look at GET /-/canaries for what the canary is waiting for"


class NoRun(CanaryTrouble):
    remedy = "begin one with POST /-/canaries/NAME/start"


class RunUnderWay(CanaryTrouble):
    remedy = "end it first with POST /-/canaries/NAME/abort"


class RunAborted(CanaryTrouble):
    remedy = "an aborted run is not gone on with: begin a new one with POST /-/canaries/NAME/start"


class TooManyPauses(CanaryTrouble):
    remedy = "end the run with POST /-/canaries/NAME/abort and begin a new one"


class CanaryHost(Protocol):
    """All that a canary can do."""

    def tell_counts(self, now: float, value: bytes) -> None:
        """Writes its own cell of counts, 900 bytes at most."""

    def tell_state(self, now: float, value: bytes) -> None:
        """Writes its own cell of state: a decision, to be told to all at once."""

    def keep(self, value: bytes) -> None:
        """Writes this to the folder, where there is one."""

    def members(self) -> Sequence[Member]:
        """Itself among them."""

    def log(self, event: str, **fields: object) -> None: ...


class Kept(msgspec.Struct, array_like=True):
    """What outlasts the process."""

    state: bytes
    others: bool  # whether it ever knew a member beside itself


@dataclass(frozen=True, slots=True)
class Seen:
    """How many of the members were heard, by a look."""

    members: int = 1
    heard: int = 1  # with counts that are fresh
    level: int = 1  # and at the same stage, by the same terms
    missing: tuple[str, ...] = ()


class Canary:
    TICK, IDLE = 0.25, 0.5  # seconds
    LOOK, LOOK_EACH = 0.25, 0.001  # seconds between looks at the sums, and more of them a member
    # Counts are told as often as EVERY, and of many members by turns: EACH seconds a member.
    EVERY, EACH, FRESH = 1.0, 0.01, 4.0  # FRESH: times that, or seconds at least
    HASTE = 0.25  # times that, where an exchange of the new side went bad since
    STALL = 1.5  # seconds between ticks after which this process has been stopped
    SETTLE = 0.3  # seconds after that in which what comes may have lain there meanwhile
    ALONE = 3.0  # seconds after which a sidecar that never knew another goes by its own word
    CARRIERS = 5  # members that carry the state in their cells, at least
    PAUSE_TURN, PAUSE_LATEST = 0.02, 1.0  # seconds: who says what all see, the first in rank at once
    STEP_TURN, STEP_LATEST = 0.2, 2.0
    CARRY_AFTER = 1.0
    MOST_TURNED = 0.2  # of the new side's exchanges turned away, over which no stage goes forward
    HELD = 3.0  # seconds for which another's word of a pause, with no mark heard yet, holds a stage back

    def __init__(
        self,
        now: float,
        terms: Terms,
        own: str,
        life: int,
        host: CanaryHost,
        kept: bytes | None = None,
        alone: bool = False,
    ) -> None:
        """`alone`: judges by its own counts and hears nobody, as the baseline of the lab does."""
        self.terms, self.own, self.life, self.host, self.alone = terms, own, life, host, alone
        self.digest = terms.digest
        self.state = State()
        self.others: dict[str, Heard] = {}
        self.carried: dict[str, tuple[State, str]] = {}  # others' cells of state, each with its note
        self.note, self.told_state = "", State()
        self.marks, self.unread, self.known_others = 0, 0, False
        self.own_marks: set[bytes] = set()
        self.ticked = self.woke = now
        self.confirmed_at = self.held_until = self.told_at = -math.inf
        self.look_at, self.stage_at, self.changed_at = now, now, now
        self.first_seen: dict[Level | None, float] = {}  # when this was first seen; None: that it may go on
        self.burns: list[Burn] = []
        self.seen = Seen()
        self.waits: list[str] = []
        self.in_touch_before = self.differs = False
        self.harmed, self.bad_since = 0, False
        self.begin_counts(now)
        if kept is not None:
            self.take_kept(now, kept)

    def begin_counts(self, now: float) -> None:
        self.coarse, self.fine = Ring(now, self.terms.long, COARSE), Ring(now, self.terms.short, FINE)
        self.stage_new = [0] * len(EFFECTS)

    def take_kept(self, now: float, kept: bytes) -> None:
        try:
            told = msgspec.msgpack.decode(kept, type=Kept)
            known, _ = state.decode(told.state)
        except (msgspec.MsgspecError, ValueError) as fault:
            self.host.log("canary state unreadable", canary=self.terms.name, why=fault)
            return
        self.known_others = told.others
        self.learn(now, known)

    # Which side.

    def part(self, now: float) -> float:
        """Of the keys that go to the new side here and now."""
        s = self.state
        if not s.run or s.aborted or s.digest != self.digest or not self.in_touch(now):
            return 0.0
        stage = s.in_force
        return self.terms.steps[stage].part if stage < len(self.terms.steps) else 1.0

    def in_touch(self, now: float) -> bool:
        """Guards against a stage that has ended meanwhile: of a process that was stopped, or is cut off. May
        hurt where the network drops all datagrams: the old side has all keys until they come again."""
        return now - self.ticked <= self.STALL and now - self.confirmed_at <= self.terms.alone_after

    def takes(self, now: float, key: str | None, request_id: str = "") -> bool:
        """Whether an exchange goes to the new side. One with no key goes by its request's id, so that its
        repeat goes the same way; with neither it takes the old side until all is new."""
        part = self.part(now)
        if part <= 0.0 or part >= 1.0:
            return part >= 1.0
        word = key or request_id
        return bool(word) and point(self.terms.name, word) < part

    def ended(self, now: float, new: bool, effect: Idempotency, bad: bool) -> None:
        """An exchange has its answer; `bad`: it failed, or came after the promised time."""
        if not self.active:
            return
        kind = EFFECTS.index(effect)
        places = (at(new, kind), at(new, kind, True)) if bad else (at(new, kind),)
        self.coarse.add(now, *places)
        self.fine.add(now, *places)
        if new:
            self.stage_new[kind] += 1
            self.harmed += bad
            self.bad_since = self.bad_since or bad

    def turned(self, now: float, new: bool) -> None:
        """One was turned away by a side with no forward."""
        if self.active:
            self.coarse.add(now, at(new, TURNED))
            self.fine.add(now, at(new, TURNED))

    @property
    def active(self) -> bool:
        """Whether a run by these terms is under way."""
        return bool(self.state.run) and not self.state.aborted and self.state.digest == self.digest

    # News.

    def heard_state(self, now: float, owner: str, value: bytes) -> None:
        if not value:
            self.carried.pop(owner, None)
            return
        try:
            self.carried[owner] = state.decode(value)
        except ValueError:
            self.unread += 1
            return
        self.learn(now, self.carried[owner][0])

    def heard_counts(
        self, now: float, owner: str, life: int, sequence: int, value: bytes, held: float = math.inf
    ) -> None:
        """`held`: when their owner is known to have told them, where that is before now."""
        at = min(now, held)
        before = self.others.get(owner)
        # Guards against counts that come twice, late, or from a dead life.
        if before is not None and (life, sequence) <= (before.life, before.sequence):
            return
        if not value:
            self.others.pop(owner, None)
            return
        try:
            told = counts.decode(value)
        except ValueError:
            self.unread += 1
            return
        self.others[owner] = Heard(
            told,
            at,
            life,
            sequence,
            Window(at, told.coarse, told.unit, told.coarse_age, self.terms.long, COARSE),
            Window(at, told.fine, told.unit, told.fine_age, self.terms.short, FINE),
        )
        self.hear_stamp(now, at, told)

    def hear_stamp(self, now: float, held: float, told: Told) -> None:
        """What its counts say of the state may come before the state itself."""
        s = self.state
        if (told.run, told.digest) < (s.run, s.digest) or not told.run:
            return
        known = State(told.run, told.digest, told.epoch, told.stage, told.aborted)
        if told.paused and not told.aborted:
            if (told.run, told.digest, told.epoch) >= (s.run, s.digest, s.epoch) and not s.paused:
                self.held_until = max(self.held_until, held + self.HELD)
            # The stage that holds there may be lower than the one told, and its marks are not here yet.
            known = replace(known, epoch=0, stage=0)
        self.learn(now, known)

    def learn(self, now: float, other: State, note: str = "") -> None:
        before, self.state = self.state, self.state.join(other)
        s = self.state
        if s == before:
            return
        self.changed_at, self.first_seen = now, {}
        if (s.run, s.digest, s.epoch) != (before.run, before.digest, before.epoch):
            if (s.run, s.digest) != (before.run, before.digest):
                self.harmed, self.in_touch_before = 0, False
            self.burns = []
            self.begin_counts(now)  # what came before a resume is not held against what comes after it
        if s.stamp != before.stamp:
            self.stage_at, self.stage_new = now, [0] * len(EFFECTS)
        self.tell_of(before, note)
        self.host.keep(msgspec.msgpack.encode(Kept(s.encode(), self.known_others)))
        self.tell(now)

    def tell_of(self, before: State, note: str) -> None:
        s, steps = self.state, self.terms.steps
        new_run = (s.run, s.digest) != (before.run, before.digest)
        stage = f"{s.in_force + 1}/{len(steps)}" if s.in_force < len(steps) else "done"
        event = (
            "aborted"
            if s.aborted and (new_run or not before.aborted)
            else "paused"
            if s.paused and (new_run or not before.paused)
            else "begun"
            if new_run
            else "resumed"
            if before.paused and not s.paused and not s.aborted
            else "done"
            if stage == "done" and s.in_force != before.in_force
            else "stage"
            if s.in_force != before.in_force
            else ""
        )
        if event:
            self.host.log(
                f"canary {event}", canary=self.terms.name, run=s.run, stage=stage, why=note or "told"
            )
        differs = bool(s.run) and not s.aborted and s.digest != self.digest
        if differs and not self.differs:
            self.host.log(
                "canary terms differ",
                canary=self.terms.name,
                run=s.run,
                why="the run under way is by another file; all keys take the old side here",
            )
        self.differs = differs

    def act(self, now: float, new: State, note: str) -> None:
        """A decision made here."""
        self.note = note
        self.learn(now, new, note)
        self.carry(now, note)

    def carry(self, now: float, note: str = "") -> None:
        self.told_state = self.state
        self.host.tell_state(now, self.state.encode(note))

    # What is due.

    def tick(self, now: float) -> float:
        """Gives when to be called next at the latest."""
        if now - self.ticked > self.STALL and self.state.run:
            self.woke, self.confirmed_at = now, -math.inf
        self.ticked = now
        if not self.state.run or self.state.aborted:
            if self.told_at == -math.inf:
                self.tell(now)
            self.keep_carried(now)
            return now + self.IDLE
        members = [m for m in self.host.members() if m.name != self.own]
        self.confirm(now, members)
        if self.active and now >= self.look_at:
            self.look_at = now + max(self.LOOK, self.LOOK_EACH * self.seen.members)
            self.judge(now)
            self.go_on(now)
        if now - self.told_at >= self.interval * (self.HASTE if self.bad_since else 1.0):
            self.tell(now)
        self.keep_carried(now)
        return now + self.TICK

    @property
    def interval(self) -> float:
        """Between words of counts. Guards against a load of news that grows with the square of the fleet."""
        return max(self.EVERY, self.EACH * self.seen.members)

    def confirm(self, now: float, members: list[Member]) -> None:
        """Looks who was heard lately, and whether that is enough to go by the stage that is known here."""
        counted = [m.name for m in members if m.status is not MemberStatus.LEFT]
        if counted and not self.known_others:
            self.known_others = True
            self.host.keep(msgspec.msgpack.encode(Kept(self.state.encode(), True)))
        if len(self.others) > 2 * len(counted) + 64:  # guards against growth: names may be ever new
            self.others = {name: self.others[name] for name in counted if name in self.others}
            self.carried = {name: self.carried[name] for name in counted if name in self.carried}
        # Guards against what lay in a stopped process's socket and is as old as its own word.
        since = max(now - max(self.FRESH, self.FRESH * self.interval), self.woke + self.SETTLE)
        heard = [name for name in counted if name in self.others and self.others[name].at >= since]
        level = [
            name
            for name in heard
            if self.others[name].told.stamp == self.state.stamp
            and not self.others[name].told.unheard
            and self.others[name].told.own == self.digest
        ]
        known = set(level)
        self.seen = Seen(
            1 + len(counted),
            1 + len(heard),
            1 + len(level),
            tuple(sorted(name for name in counted if name not in known)),
        )
        if self.alone or not counted:
            left = any(m.status is MemberStatus.LEFT for m in members)
            enough = self.alone or ((left or not self.known_others) and now - self.woke >= self.ALONE)
        else:
            enough = bool(heard) and self.seen.heard > self.terms.hold * self.seen.members
        if enough:
            self.confirmed_at = now
        in_touch = self.in_touch(now)
        if in_touch != self.in_touch_before and self.active:
            self.host.log(
                "canary in touch" if in_touch else "canary out of touch",
                canary=self.terms.name,
                heard=self.seen.heard,
                members=self.seen.members,
                why="the stage holds" if in_touch else "all keys take the old side here",
            )
            self.tell(now)
        self.in_touch_before = in_touch

    def sums(self, now: float) -> tuple[Sums, Sums]:
        """Of the long and of the short window, of all sidecars."""
        self.coarse.roll(now)
        self.fine.roll(now)
        long, short = [counts.add_up(list(self.coarse.spans))], [counts.add_up(list(self.fine.spans))]
        s = self.state
        for heard in self.others.values():
            if not self.alone and (heard.told.run, heard.told.digest, heard.told.epoch) == (
                s.run,
                s.digest,
                s.epoch,
            ):
                long.append(heard.long.within(now))
                short.append(heard.short.within(now))
        return counts.add_up(long), counts.add_up(short)

    def judge(self, now: float) -> None:
        """Whoever sees the budget burn says so, with nobody asked."""
        s = self.state
        long, short = self.sums(now)
        self.burns, self.turned_part = burn.look(self.terms, long, short), burn.turned_away(long)
        worst = max(self.burns, key=lambda b: (b.level, b.long))
        # Guards against a sidecar that was stopped and has not heard yet that staff have resumed.
        if (
            worst.level < Level.PAUSE
            or (worst.level is Level.PAUSE and s.paused)
            or not self.in_touch(now)
            or s.in_force >= len(self.terms.steps)
        ):
            self.first_seen = {None: self.first_seen[None]} if None in self.first_seen else {}
            return
        if not self.my_turn(now, worst.level, self.PAUSE_TURN, self.PAUSE_LATEST):
            return
        note = (
            f"{worst.group}: {worst.new[1]} of {worst.new[0]} bad, old {worst.old[1]} of {worst.old[0]}, "
            f"burns {worst.long:.1f}, {worst.short:.1f}"
        )
        if worst.level is Level.ABORT:
            self.act(now, replace(s, aborted=True), note)
        else:
            self.act(now, s.marked(self.new_mark()), note)

    def my_turn(self, now: float, what: Level | None, each: float, latest: float) -> bool:
        """Guards against a fleet that says the same thing at once: the first in rank says it, and where
        that is not heard, those behind."""
        first = self.first_seen.setdefault(what, now)
        return now - first >= min(self.rank() * each, latest) - 1e-9

    def rank(self) -> int:
        def place(name: str) -> bytes:
            return blake2b(f"{self.state.run}|{name}".encode(), digest_size=8).digest()

        own = place(self.own)
        return sum(
            place(m.name) < own
            for m in self.host.members()
            if m.status is MemberStatus.ALIVE and m.name != self.own
        )

    def new_mark(self) -> bytes:
        self.marks += 1
        name = blake2b(
            f"{self.own}|{self.life}|{self.state.run}|{self.marks}".encode(), digest_size=MARK
        ).digest()
        self.own_marks.add(name)
        return name

    def go_on(self, now: float) -> None:
        """The next stage, where all that it takes is there."""
        self.waits = self.why_it_waits(now)
        if self.waits:
            self.first_seen.pop(None, None)
        elif self.my_turn(now, None, self.STEP_TURN, self.STEP_LATEST):
            s = self.state
            self.act(now, replace(s, stage=s.stage + 1), "all that the stage takes is there")

    def stage_counts(self) -> list[int]:
        """Exchanges on the new side in this stage, by effect, at all sidecars."""
        told = [
            h.told.stage_new
            for h in self.others.values()
            if not self.alone and h.told.stamp == self.state.stamp and len(h.told.stage_new) == len(EFFECTS)
        ]
        return [sum(column) for column in zip(self.stage_new, *told, strict=True)]

    def why_it_waits(self, now: float) -> list[str]:
        s, terms, waits = self.state, self.terms, list[str]()
        if not s.run:
            return ["not begun"]
        if s.aborted:
            return ["aborted"]
        if s.digest != self.digest:
            return ["the run under way is by another file"]
        if s.paused:
            return ["paused: until it is resumed or aborted"]
        if s.stage >= len(terms.steps):
            return ["done"]
        step, seen, found = terms.steps[s.stage], self.seen, self.stage_counts()
        if not self.in_touch(now):
            waits.append(f"out of touch: {seen.heard} of {seen.members} members heard")
        if now < self.held_until:
            waits.append("another member says that it is paused")
        if now - self.stage_at < step.time:
            waits.append(f"{step.time - (now - self.stage_at):.0f} s of {step.time:.0f} s are left")
        if sum(found) < step.exchanges:
            waits.append(f"{sum(found)} of {step.exchanges} exchanges seen")
        for effect, burnt in zip(EFFECTS, self.burns[1:], strict=False):
            few = found[EFFECTS.index(effect)]
            if burnt.old[0] + burnt.new[0] and few < terms.each_effect:
                waits.append(f"{few} of {terms.each_effect} {effect.value} exchanges seen")
        if not self.alone and seen.level < terms.fresh * seen.members - 1e-9:
            waits.append(f"{seen.level} of {seen.members} members heard at this stage")
        burning = [b for b in self.burns if b.level is not Level.SOUND]
        waits += [f"{b.group}: burns {b.long:.1f} times the budget" for b in burning]
        if not self.burns:
            waits.append("not looked yet")
        elif self.turned_part > self.MOST_TURNED:
            waits.append(f"the new side turns away {self.turned_part:.0%}")
        return waits

    turned_part = 0.0

    def tell(self, now: float) -> None:
        s = self.state
        self.told_at, self.bad_since = now, False
        told = Told(
            counts.VERSION,
            self.digest,
            s.run,
            s.digest,
            s.epoch,
            s.stage,
            s.paused,
            s.aborted,
            not self.in_touch(now),
            stage_new=self.stage_new,
            harmed=self.harmed,
        )
        self.host.tell_counts(now, counts.encode(told, self.fine, self.coarse, now))

    def keep_carried(self, now: float) -> None:
        """A few members carry the state, so that it outlives whoever made it."""
        s = self.state
        if not s.run or self.told_state == s or now - self.changed_at < self.CARRY_AFTER:
            return
        alive = {m.name for m in self.host.members() if m.status is MemberStatus.ALIVE}
        carriers = sum(known.join(s) == known for name, (known, _) in self.carried.items() if name in alive)
        if carriers < self.CARRIERS and self.rank() < self.CARRIERS:
            self.carry(now, self.note)

    # Calls. Each may be repeated: the second finds what the first made.

    def start(self, now: float, wall: float) -> None:
        """`wall`: Unix time, which orders runs where all that was known of earlier ones is lost."""
        s = self.state
        if s.run and not s.aborted:
            if s.digest != self.digest:
                raise RunUnderWay(f"run {s.run} of canary {self.terms.name!r} is by another file")
            if s.paused or s.stage >= len(self.terms.steps):
                raise RunUnderWay(
                    f"run {s.run} of canary {self.terms.name!r} is {'paused' if s.paused else 'done'}"
                )
            return
        self.act(now, State(max(s.run + 1, int(wall)), self.digest), "called")

    def running(self) -> State:
        if not self.state.run:
            raise NoRun(f"canary {self.terms.name!r} has no run")
        if self.state.aborted:
            raise RunAborted(f"run {self.state.run} of canary {self.terms.name!r} is aborted")
        return self.state

    def pause(self, now: float) -> None:
        s = self.running()
        # A pause of another is no reason to make none: a resume that has not heard of this call must not win.
        if not any(name in self.own_marks for _, name in s.open):
            self.act(now, s.marked(self.new_mark()), "called")

    def resume(self, now: float) -> None:
        s = self.running()
        if not s.paused:
            return
        if len(s.pardoned) + len(s.open) > MOST_PARDONED:
            raise TooManyPauses(f"run {s.run} of canary {self.terms.name!r} was paused too often")
        self.act(now, s.resumed(), "called")

    def abort(self, now: float) -> None:
        if not self.state.run:
            raise NoRun(f"canary {self.terms.name!r} has no run")
        if not self.state.aborted:
            self.act(now, replace(self.state, aborted=True), "called")

    def change(self, now: float, terms: Terms) -> bool:
        """Takes other terms, unless a run is under way: then the old ones stay, and False."""
        if terms == self.terms:
            return True
        if self.active:
            self.host.log(
                "canary terms refused",
                canary=self.terms.name,
                run=self.state.run,
                why="a run is under way by the file as it was; abort it, then read the file again",
            )
            return False
        self.terms, self.digest = terms, terms.digest
        self.begin_counts(now)
        self.burns = []
        self.tell_of(self.state, "")
        self.tell(now)
        return True

    # For the console.

    @property
    def standing(self) -> str:
        s = self.state
        return (
            "idle"
            if not s.run
            else "aborted"
            if s.aborted
            else "another file's"
            if s.digest != self.digest
            else "paused"
            if s.paused
            else "done"
            if s.stage >= len(self.terms.steps)
            else "running"
        )

    def report(self, now: float) -> dict[str, object]:
        s = self.state
        if self.active:
            self.waits = self.why_it_waits(now)
        notes = {
            name: note
            for name, (known, note) in self.carried.items()
            if note and (known.run, known.digest) == (s.run, s.digest)
        }
        if self.note:
            notes[self.own] = self.note
        return {
            "name": self.terms.name,
            "matter": self.terms.matter,
            "state": self.standing,
            "run": s.run,
            "stage": min(s.in_force + 1, len(self.terms.steps)) if s.run else 0,
            "stages": len(self.terms.steps),
            "part": self.part(now),
            "paused_by": len(s.open),
            "in_touch": self.in_touch(now) if s.run else True,
            "members": {
                "known": self.seen.members,
                "heard": self.seen.heard,
                "at_this_stage": self.seen.level,
                "missing": list(self.seen.missing[:50]),
            },
            "sides": {
                b.group: {
                    "new": {"exchanges": b.new[0], "bad": b.new[1]},
                    "old": {"exchanges": b.old[0], "bad": b.old[1]},
                    "burn_long": round(b.long, 2),
                    "burn_short": round(b.short, 2),
                }
                for b in self.burns
            },
            "turned_away": round(self.turned_part, 3),
            "harmed": self.harmed
            + sum(
                h.told.harmed
                for h in self.others.values()
                if (h.told.run, h.told.digest) == (s.run, s.digest)
            ),
            "waits": self.waits if self.active else self.why_it_waits(now),
            "notes": notes,
        }
