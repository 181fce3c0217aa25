"""Canaries of a fleet in a long run: `Canary` and `Cells` as they run, on members and a network modelled.

In the program each member hears the counts of each; here each hears HEARD others, drawn for each run, and its
view has only those, at the pace of the whole fleet. Decisions go to all. Between runs nothing is in memory: a
member's canary is made anew from its folder when a run begins.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

from ....balancer.host import Idempotency
from ....decisions.canary.canary import Canary
from ....decisions.canary.terms import Step, Terms
from ....decisions.members.member import Member as Known
from ....decisions.members.member import MemberStatus
from ....decisions.shared.registers import Register, RegisterStore
from .ledger import Broken, Ledger
from .world import CATCH_UP, Member, World

HEARD, TOWARD = 16, 50
TICK, SLOW_TICK, LOOK, SLOW_LOOK = 0.25, 1.25, 1.0, 20.0  # seconds: of the JUDGES, and of the others
JUDGES = 6
STEP = 0.5  # seconds whose exchanges are played at once
BEFORE, AFTER = 5.0, 30.0  # seconds of a run before its start and after its abort
GRACE = 1.0  # seconds until whoever can be reached goes by an abort
AT_ONCE = -1.0  # nothing may go by a stage from before a stop or a start
MOST_LOST = 0.0  # loss over which that is CATCH_UP's latest
NOWHERE = ("0.0.0.0", 1)
EFFECTS, MIX = (Idempotency.IDEMPOTENT, Idempotency.DEDUPLICATED, Idempotency.NON_IDEMPOTENT), (0.6, 0.3, 0.1)
Make = Callable[..., Canary]


def terms(n: int) -> Terms:
    return Terms(
        f"c{n}",
        "kind new",
        tuple(Step(part, 40.0, 5) for part in (0.05, 0.25, 0.5)),
        budget=0.02,
        long=120.0,
        short=20.0,
        each_effect=0,
    )


@dataclass(frozen=True, slots=True)
class Run:
    at: float
    canary: int
    bad: float  # part of the new side's exchanges that fails
    abort: float  # seconds after the start, by staff


class Node:
    """One canary at one member, in one life of it: its host."""

    def __init__(self, trial: Trial, member: Member, hears: list[Member], judges: bool) -> None:
        self.trial, self.member, self.hears, self.judges = trial, member, hears, judges
        self.cells = RegisterStore(member.name, member.life)
        self.cells.on_change("canary/", self.changed)
        self.seen_at, self.seen = -math.inf, list[Known]()
        self.told_from, self.grace = -math.inf, GRACE  # since when it can know of the abort
        world, of = trial.world, trial.terms
        self.canary = trial.fleet.make(
            world.now, of, member.name, member.life, self, trial.fleet.kept.get((member.name, of.name))
        )
        self.canary.REPORT_INTERVAL = max(
            self.canary.REPORT_INTERVAL, self.canary.REPORT_INTERVAL_PER_MEMBER * len(world.list)
        )
        self.tick_time = TICK if judges else SLOW_TICK
        self.canary.EVALUATION_INTERVAL = LOOK if judges else SLOW_LOOK
        if not judges:
            self.canary.MIN_CARRIERS = 0  # by its view of a few every third would be one
        world.later(member, trial.chance.uniform(0.0, self.tick_time), self.tick)

    def tick(self) -> None:
        if self.trial.nodes.get(self.member.name) is self:
            self.canary.tick(self.trial.world.now)
            self.trial.world.later(self.member, self.tick_time, self.tick)

    def changed(self, now: float, cell: Register) -> None:
        if cell.name.endswith("/state"):
            self.canary.heard_state(now, cell.owner, cell.value)
        elif cell.owner != self.member.name:
            seen = self.cells.read(cell.owner, cell.name)
            assert seen is not None
            self.canary.heard_counts(
                now, cell.owner, cell.incarnation, cell.sequence, cell.value, seen.heard_at
            )

    def take(self, cell: Register, told_at: float) -> None:
        if self.trial.nodes.get(self.member.name) is self:
            now = self.trial.world.now
            self.cells.merge(now, cell, now - told_at)
            self.cells.unsent.clear()

    # What its canary acts through.

    def tell_counts(self, now: float, value: bytes) -> None:
        self.trial.told(self, self.cells.write(now, f"canary/{self.trial.terms.name}", value))

    def tell_state(self, now: float, value: bytes) -> None:
        self.trial.told(self, self.cells.write(now, f"canary/{self.trial.terms.name}/state", value))

    def keep(self, value: bytes) -> None:
        self.trial.fleet.kept[self.member.name, self.trial.terms.name] = value

    def members(self) -> Sequence[Known]:
        world = self.trial.world
        if world.now - self.seen_at > TICK:
            self.seen_at = world.now
            self.seen = [
                Known(
                    m.name,
                    NOWHERE,
                    m.life,
                    0,
                    MemberStatus.ALIVE if world.believes(self.member, m) else MemberStatus.DEAD,
                    world.now,
                    world.now,
                )
                for m in self.hears
            ]
        return self.seen

    def log(self, event: str, **fields: object) -> None:
        fleet = self.trial.fleet
        fleet.events[event] = fleet.events.get(event, 0) + 1
        if event == "canary aborted" and fields["why"] != "told":
            self.trial.aborted(self.member)


class Trial:
    """One run of one canary."""

    def __init__(self, fleet: Canaries, run: Run) -> None:
        self.fleet, self.run, self.world = fleet, run, fleet.world
        self.terms = terms(run.canary)
        self.chance = random.Random(f"{fleet.seed} run {run.at}")
        self.started_at = self.aborted_at = math.inf
        self.by: Member | None = None
        members = self.world.list
        count = min(HEARD, len(members) - 1)
        judges = {m.name for m in self.chance.sample(members, min(JUDGES, len(members)))}
        self.hears = {
            m.name: [o for o in self.chance.sample(members, count + 1) if o is not m][:count] for m in members
        }
        self.judges = judges
        self.listeners: dict[str, list[str]] = {m.name: [] for m in members}
        for name, hears in self.hears.items():
            for other in hears:
                self.listeners[other.name].append(name)
        self.nodes: dict[str, Node] = {}
        self.counts: dict[str, tuple[Register, float]] = {}
        self.states = fleet.states.setdefault(self.terms.name, {})
        self.over = False
        for member in members:
            if member.alive:
                node = self.begin(member)
                for cell in list(self.states.values()):
                    node.take(cell, self.world.now)
        self.fallback = 0.0
        for node in self.nodes.values():
            canary = node.canary
            self.fallback = (
                canary.FRESHNESS_FACTOR * canary.REPORT_INTERVAL + self.terms.alone_after + SLOW_TICK + GRACE
            )
        at = self.world.at
        at(BEFORE, self.start)
        at(BEFORE + run.abort, self.abort)
        at(BEFORE + run.abort + AFTER, self.end)
        at(STEP, self.step)

    def begin(self, member: Member) -> Node:
        node = self.nodes[member.name] = Node(
            self, member, self.hears[member.name], member.name in self.judges
        )
        return node

    # Cells.

    def told(self, node: Node, cell: Register) -> None:
        node.cells.unsent.clear()
        world, now = self.world, self.world.now
        self.fleet.told += 1
        self.fleet.told_bytes += len(cell.value) + len(cell.name) + len(cell.owner) + 32
        if cell.name.endswith("/state"):
            self.states[cell.owner] = cell
            first = {m.name for m in self.chance.sample(world.list, min(TOWARD, len(world.list)))}
            hearers, soon = list(self.nodes), first
        else:
            self.counts[cell.owner] = cell, now
            hearers, soon = self.listeners[cell.owner], set()
        for name in hearers:
            other = self.nodes.get(name)
            if other is not None and other is not node:
                world.send(node.member, other.member, partial(other.take, cell, now), name in soon)

    def caught_up(self, node: Node) -> None:
        """What was missed."""
        world, own = self.world, node.member
        if self.nodes.get(own.name) is not node:
            return
        for cell in list(self.states.values()):
            if world.members[cell.owner].side == own.side:
                node.take(cell, world.now)
        for other in node.hears:
            if other.name in self.counts and other.side == own.side:
                node.take(*self.counts[other.name])

    # Staff, who call a member of the largest part.

    def reached(self) -> Member | None:
        sides: dict[tuple[int, ...], list[Member]] = {}
        for m in self.world.list:
            if m.runs and not m.leaving and m.name in self.nodes:
                sides.setdefault(m.side, []).append(m)
        return self.chance.choice(max(sides.values(), key=len)) if sides else None

    def start(self) -> None:
        member = self.reached()
        if member is None:
            self.world.at(1.0, self.start)
            return
        self.started_at = self.world.now
        self.nodes[member.name].canary.start(self.world.now, self.world.now)

    def abort(self) -> None:
        member = self.reached()
        if member is None or not self.nodes[member.name].canary.state.run:
            self.world.at(1.0, self.abort)
        elif self.aborted_at == math.inf:
            self.aborted(member)
            self.nodes[member.name].canary.abort(self.world.now)

    def aborted(self, member: Member) -> None:
        if self.aborted_at < math.inf:
            return
        self.by, self.aborted_at = member, self.world.now
        for node in self.nodes.values():
            m = node.member
            reachable = m is member or (m.runs and self.world.reaches(member, m))
            # Who has just begun may have been told before it was there to hear it.
            fresh = self.world.now - m.started < m.catch_up
            node.told_from = self.world.now if reachable else math.inf
            node.grace = CATCH_UP[1] + GRACE if fresh or self.world.loss > MOST_LOST else GRACE

    def end(self) -> None:
        self.over = True
        self.nodes = {}
        self.fleet.trials.remove(self)

    # Exchanges.

    def step(self) -> None:
        if self.over:
            return
        self.world.at(STEP, self.step)
        mean = self.fleet.rate * len(self.world.list) * STEP
        for _ in range(int(mean + self.chance.random())):
            node = self.nodes.get(self.chance.choice(self.world.list).name)
            if node is not None and node.member.runs:
                self.exchange(node)

    def exchange(self, node: Node) -> None:
        now, chance, ledger = self.world.now, self.chance, self.fleet.ledger
        new = node.canary.takes(now, f"k{chance.randrange(20_000)}")
        effect = chance.choices(EFFECTS, MIX)[0]
        node.canary.ended(now, new, effect, chance.random() < (self.run.bad if new else 0.004))
        if not new:
            ledger.to_old += 1
            return
        ledger.to_new += 1
        where = f"{self.terms.name} at {node.member.name}"
        if now < self.started_at:
            ledger.broken.append(Broken(now, "before its start", where, "to the new side"))
        elif now > self.aborted_at:
            self.judge(node, where)

    def judge(self, node: Node, where: str) -> None:
        """An exchange went to the new side after the abort."""
        now, ledger, world = self.world.now, self.fleet.ledger, self.world
        if node.told_from < math.inf:
            late, most = now - max(node.told_from, self.aborted_at), node.grace
            ledger.late = max(ledger.late, late)
        else:
            near = [m for m in node.hears if m.alive and m.side == node.member.side]
            if 1 + len(near) > self.terms.hold * (1 + len(node.hears)):
                return  # it is on the larger side: who aborted can't be heard there
            late = now - max(world.cut_at, node.member.changed_at)
            most = self.fallback
            ledger.late_cut = max(ledger.late_cut, late)
        if late > most:
            ledger.broken.append(Broken(now, "past its abort", where, f"{late:.2f} s, {most:.2f} allowed"))


class Canaries:
    """All runs, one after the other or side by side; and the folders."""

    def __init__(
        self,
        world: World,
        ledger: Ledger,
        runs: Sequence[Run],
        seed: int,
        rate: float = 0.1,
        make: Make = Canary,
    ) -> None:
        """`rate`: exchanges a second at each member."""
        self.world, self.ledger, self.seed, self.rate, self.make = world, ledger, seed, rate, make
        self.kept: dict[tuple[str, str], bytes] = {}
        self.copies: dict[str, list[dict[tuple[str, str], bytes]]] = {}
        self.states: dict[str, dict[str, Register]] = {}
        self.trials: list[Trial] = []
        self.events: dict[str, int] = {}
        self.told = self.told_bytes = self.count = 0
        for run in runs:
            world.at(run.at - world.now, partial(self.begin, run))
        world.parts.append(self)

    def begin(self, run: Run) -> None:
        if any(t.run.canary == run.canary for t in self.trials):
            return
        self.count += 1
        self.trials.append(Trial(self, run))

    def started(self, member: Member, how: str) -> None:
        own = [key for key in self.kept if key[0] == member.name] if how else []
        if how in ("lost", "copied", "set-back"):
            copy = self.copies.pop(member.name, [{}])[-1] if how != "lost" else {}
            for key in own:
                del self.kept[key]
            self.kept.update(copy)
        for trial in self.trials:
            node = trial.begin(member)
            # Nothing by an older stage: it goes by none until it has heard enough of the others.
            node.grace = AT_ONCE if trial.aborted_at < math.inf else GRACE
            node.told_from = self.world.now
            self.world.later(member, member.catch_up, partial(trial.caught_up, node))

    def leaves(self, member: Member) -> None:
        """Its counts stay with the others."""

    def ended(self, member: Member, told: bool) -> None:
        for trial in self.trials:
            trial.nodes.pop(member.name, None)

    def copied(self, member: Member) -> None:
        self.copies.setdefault(member.name, []).insert(
            0, {key: value for key, value in self.kept.items() if key[0] == member.name}
        )

    def woke(self, member: Member) -> None:
        for trial in self.trials:
            node = trial.nodes.get(member.name)
            if node is not None and trial.aborted_at < math.inf and node.told_from == math.inf:
                node.told_from, node.grace = self.world.now, AT_ONCE
            for _ in range(20 if node is not None else 0):
                assert node is not None
                trial.exchange(node)  # its clients' exchanges have waited, and come before what others told

    def healed(self) -> None:
        for trial in self.trials:
            for node in list(trial.nodes.values()):
                if (
                    node.told_from == math.inf
                    and trial.by is not None
                    and node.member.side == trial.by.side
                    and node.member.runs
                ):
                    node.told_from, node.grace = self.world.now, CATCH_UP[1] + GRACE
                self.world.later(node.member, trial.chance.uniform(*CATCH_UP), partial(trial.caught_up, node))
