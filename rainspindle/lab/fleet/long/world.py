"""The fleet that a long run is played on: time, who is there, what passes between whom, what befalls them.

Nothing here happens by the second: quiet times cost nothing. Modelled after docs/results/members.md: a crash
is known after SEEN_DEAD seconds, a word is elsewhere after HOP where it is told first, and within GOSSIP
anywhere else; what was lost or missed in a cut is caught up with within CATCH_UP.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from functools import partial
from typing import Protocol

from ..schedule import Cut, Fault, Folder, Kill, Leave, Restart, Rolling, Schedule, Split, Stall, Weather

HOP, GOSSIP, CATCH_UP = 0.002, (0.05, 0.6), (0.3, 5.0)  # seconds
SEEN_DEAD, SEEN_ALIVE = 3.0, 0.5  # seconds until others believe it
LEAVES, STARTS = 1.5, 2.0  # seconds from SIGTERM to its end, and from there to the next process
ROOM = 600  # messages that wait in the kernel for a process that stands still

Do = Callable[[], None]


class Part(Protocol):
    """What is played on the fleet: all wallets, or all canaries."""

    def started(self, member: Member, how: str) -> None:
        """A new life, on a folder that is so: "", or as in `Folder.how`."""

    def leaves(self, member: Member) -> None: ...

    def ended(self, member: Member, told: bool) -> None:
        """`told`: it could write its last rows."""

    def copied(self, member: Member) -> None:
        """Somebody copies its folder."""

    def woke(self, member: Member) -> None:
        """It goes on, and what came meanwhile is not read yet."""

    def healed(self) -> None:
        """Those that did not reach each other do now, or others do not."""


class Member:
    __slots__ = (
        "alive",
        "boot",
        "catch_up",
        "changed_at",
        "index",
        "late",
        "leaving",
        "life",
        "name",
        "side",
        "stalled",
        "started",
    )

    def __init__(self, name: str, index: int) -> None:
        self.name, self.index = name, index
        self.life = self.boot = 1
        self.alive, self.stalled, self.leaving = True, False, False
        self.started, self.catch_up, self.changed_at = -1e9, 0.0, -1e9
        self.side: tuple[int, ...] = ()
        self.late: list[Do] = []

    @property
    def runs(self) -> bool:
        return self.alive and not self.stalled


class World:
    def __init__(self, names: Sequence[str], seed: int) -> None:
        self.now = 0.0
        self.queue: list[tuple[float, int, Do]] = []
        self.numbers = itertools.count(1)
        self.chance = random.Random(f"{seed} network")
        self.list = [Member(name, n) for n, name in enumerate(names)]
        self.members = {m.name: m for m in self.list}
        self.splits: list[tuple[object, dict[str, int]]] = []
        self.deaf: list[tuple[object, frozenset[str], frozenset[str]]] = []
        self.weathers: list[Weather] = []
        self.loss = 0.0
        self.cut_at = -1e9
        self.parts: list[Part] = []
        self.befell: dict[str, int] = {}
        self.stopped = False

    # Time.

    def at(self, after: float, do: Do) -> None:
        heapq.heappush(self.queue, (self.now + (after if after > 0.0 else 0.0), next(self.numbers), do))

    def run(self, until: float) -> None:
        queue, pop = self.queue, heapq.heappop
        while queue and queue[0][0] <= until and not self.stopped:
            self.now, _, do = pop(queue)
            do()
        if not self.stopped:
            self.now = until

    # Who hears whom.

    def reaches(self, a: Member, b: Member) -> bool:
        if a.side != b.side or not (a.alive and b.alive):
            return False
        return not self.deaf or not any(
            a.name in sources and b.name in targets for _, sources, targets in self.deaf
        )

    def believes(self, a: Member, b: Member) -> bool:
        """Whether `a` takes `b` for alive: late by what it takes to find out."""
        if a.side != b.side:
            return self.now - self.cut_at < SEEN_DEAD
        since = self.now - b.changed_at
        return since > SEEN_ALIVE if b.alive and not b.stalled else since < SEEN_DEAD

    def send(self, a: Member, b: Member, do: Do, soon: bool = False) -> bool:
        """Whether it will come: at once, or where it is lost with what is caught up with."""
        if not self.reaches(a, b):
            return False
        chance = self.chance
        after = HOP if soon else chance.uniform(*GOSSIP)
        if self.loss and chance.random() < self.loss:
            after = chance.uniform(*CATCH_UP)
        self.at(after, partial(self.arrive, b, b.life, do))
        return True

    def arrive(self, b: Member, life: int, do: Do) -> None:
        if b.alive and b.life == life:
            self.when_awake(b, do)

    def when_awake(self, member: Member, do: Do) -> None:
        if member.stalled:
            if len(member.late) < ROOM:
                member.late.append(do)
        else:
            do()

    def later(self, member: Member, after: float, do: Do) -> None:
        """By this life of it, if it lives then."""
        self.at(after, partial(self.arrive, member, member.life, do))

    # What befalls them.

    def plan(self, schedule: Schedule) -> None:
        for fault in schedule:
            self.at(fault.at - self.now, partial(self.begin, fault))
            if isinstance(fault, Folder) and fault.age:
                self.at(fault.at - fault.age - self.now, partial(self.copy, fault))

    def copy(self, fault: Folder) -> None:
        for part in self.parts:
            for name in fault.names:
                part.copied(self.members[name])

    def begin(self, fault: Fault) -> None:
        kind = fault.how if isinstance(fault, Folder) else type(fault).__name__.lower()
        self.befell[kind] = self.befell.get(kind, 0) + 1
        if isinstance(fault, Weather | Cut | Split):
            self.change(fault, True)
            if fault.length is not None:
                self.at(fault.length, partial(self.change, fault, False))
            return
        for n, name in enumerate(fault.names):
            member = self.members[name]
            if isinstance(fault, Stall):
                self.stall(member, fault.length)
            elif isinstance(fault, Kill):
                self.kill(member)
                if fault.back is not None:
                    self.at(fault.back, partial(self.start, member))
            elif isinstance(fault, Folder):
                self.kill(member)
                self.at(fault.back, partial(self.start, member, fault.how))
            elif isinstance(fault, Rolling):
                self.at(
                    n * fault.every,
                    partial(
                        self.begin, Kill(0.0, (name,), STARTS) if fault.killed else Restart(0.0, (name,))
                    ),
                )
            else:
                assert isinstance(fault, Restart | Leave)
                self.leave(member, isinstance(fault, Restart))

    def change(self, fault: Weather | Cut | Split, begins: bool) -> None:
        if isinstance(fault, Weather):
            (self.weathers.append if begins else self.weathers.remove)(fault)
            self.loss = max((w.loss for w in self.weathers), default=0.0)
            return
        if isinstance(fault, Cut):
            if begins:
                self.deaf.append((fault, frozenset(fault.sources), frozenset(fault.targets)))
            else:
                self.deaf = [one for one in self.deaf if one[0] is not fault]
        elif begins:
            groups = {name: n for n, group in enumerate(fault.groups, 1) for name in group}
            self.splits.append((fault, groups))
        else:
            self.splits = [one for one in self.splits if one[0] is not fault]
        for member in self.list:
            member.side = tuple(split.get(member.name, 0) for _, split in self.splits)
        self.cut_at = self.now
        for part in self.parts:
            part.healed()

    def stall(self, member: Member, length: float) -> None:
        if member.runs:
            member.stalled, member.changed_at = True, self.now
            self.at(length, partial(self.go_on, member, member.life))

    def go_on(self, member: Member, life: int) -> None:
        if member.stalled and member.life == life:
            member.stalled, member.changed_at = False, self.now
            late, member.late = member.late, []
            for part in self.parts:
                part.woke(member)
            for do in late:
                do()

    def kill(self, member: Member, told: bool = False) -> None:
        if member.alive:
            for part in self.parts:
                part.ended(member, told)
            member.alive = member.stalled = False
            member.late, member.changed_at = [], self.now

    def leave(self, member: Member, back: bool) -> None:
        if not member.runs or member.leaving:
            return
        member.leaving = True
        for part in self.parts:
            part.leaves(member)
        self.later(member, LEAVES, partial(self.kill, member, True))
        if back:
            self.at(LEAVES + STARTS, partial(self.start, member))

    def start(self, member: Member, how: str = "") -> None:
        if member.alive:
            return
        member.alive, member.leaving = True, False
        member.life += 1
        member.boot += how in ("booted", "set-back")
        member.started = member.changed_at = self.now
        member.catch_up = self.chance.uniform(*CATCH_UP)
        for part in self.parts:
            part.started(member, how)
