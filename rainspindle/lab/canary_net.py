"""Canaries in virtual time: the program's own decision and cells, over a modelled net of members.

What is modelled is how cells travel (each member tells all that it knows to a few others at each step;
messages are lost, delayed, cut) and who is taken for dead (nothing heard of for DEAD_AFTER), and the traffic.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable, Sequence

from ..balancer.host import Idempotency
from ..decisions.canary.canary import Canary
from ..decisions.canary.terms import Terms
from ..decisions.members.member import Member, MemberStatus
from ..decisions.shared.registers import Register, RegisterStore

DEAD_AFTER = 5.0  # seconds
MIX = ((Idempotency.IDEMPOTENT, 0.6), (Idempotency.DEDUPLICATED, 0.3), (Idempotency.NON_IDEMPOTENT, 0.1))
NOWHERE = ("0.0.0.0", 1)
# When it arrives, from whom, cells with the age of each, who was there when.
Message = tuple[float, str, list[tuple[Register, float]], dict[str, float]]


class Node:
    """One sidecar: its cells, its canary, what it keeps in its folder."""

    def __init__(self, net: Net, name: str, folder: bool) -> None:
        self.net, self.name, self.folder = net, name, folder
        self.life, self.stopped_until, self.alive = 0, -math.inf, False
        self.kept: bytes | None = None
        self.last: tuple[float, bool] = (0.0, False)
        self.start()

    def start(self) -> None:
        """A new life, of which nothing is known but what the folder holds."""
        self.life, self.alive = self.life + 1, True
        self.inbox: deque[Message] = deque()
        self.there: dict[str, float] = {}
        self.cells = RegisterStore(self.name, self.life)
        self.canary = Canary(
            self.net.now,
            self.net.terms_of(self.name),
            self.name,
            self.life,
            self,
            self.kept if self.folder else None,
            self.net.alone,
        )
        self.cells.on_change("canary/", self.changed)

    def changed(self, now: float, cell: Register) -> None:
        if cell.name.endswith("/state"):
            self.canary.heard_state(now, cell.owner, cell.value)
        elif cell.owner != self.name:
            seen = self.cells.read(cell.owner, cell.name)
            assert seen is not None
            self.canary.heard_counts(
                now, cell.owner, cell.incarnation, cell.sequence, cell.value, seen.heard_at
            )

    # What its canary acts through.

    def tell_counts(self, now: float, value: bytes) -> None:
        self.cells.write(now, "canary/c", value)
        self.net.wrote(self, "canary/c")

    def tell_state(self, now: float, value: bytes) -> None:
        self.cells.write(now, "canary/c/state", value)
        self.net.wrote(self, "canary/c/state")

    def keep(self, value: bytes) -> None:
        self.kept = value

    def members(self) -> Sequence[Member]:
        return self.net.seen_by(self)

    def log(self, event: str, **fields: object) -> None:
        self.net.logged(self, event, fields)

    # Time.

    def runs(self) -> bool:
        return self.alive and self.net.now >= self.stopped_until

    def receive(self) -> None:
        """What was told while it was stopped lies in its socket, as far as there is room."""
        while self.inbox and self.inbox[0][0] <= self.net.now:
            _, _, cells, there = self.inbox.popleft()
            for name, at in there.items():
                self.there[name] = max(self.there.get(name, -math.inf), at)
            for cell, age in cells:
                self.cells.merge(self.net.now, cell, age)


class Net:
    STEP, FANOUT, ROOM = 0.1, 2, 64  # seconds; members told at each step; messages that a stopped one holds
    TOWARD = 50

    def __init__(
        self,
        seed: int,
        size: int,
        terms: Terms,
        folder: bool = True,
        alone: bool = False,
        other_terms: dict[str, Terms] | None = None,
    ) -> None:
        self.random, self.now, self.terms, self.alone = random.Random(seed), 1000.0, terms, alone
        self.other_terms = other_terms or {}
        self.events: list[tuple[float, str, str, dict[str, object]]] = []
        self.group: dict[str, int] = {}
        self.deaf: set[tuple[str, str]] = set()  # from, to: nothing passes
        self.loss, self.delay = 0.0, 0.05
        self.nodes: dict[str, Node] = {}
        for n in range(size):
            self.nodes[f"s{n}"] = Node(self, f"s{n}", folder)
        for node in self.nodes.values():
            node.there = dict.fromkeys(self.nodes, self.now)

    def terms_of(self, name: str) -> Terms:
        return self.other_terms.get(name, self.terms)

    def logged(self, node: Node, event: str, fields: dict[str, object]) -> None:
        self.events.append((self.now, node.name, event, fields))

    def wrote(self, node: Node, name: str) -> None:
        """Counts go out with the next step; a decision goes to so many members at once."""
        if not name.endswith("/state") or self.alone:
            return
        seen = node.cells.read(node.name, name)
        assert seen is not None
        for other in self.random.sample(list(self.nodes.values()), min(self.TOWARD, len(self.nodes))):
            if (
                other is not node
                and other.alive
                and self.passes(node.name, other.name)
                and self.random.random() >= self.loss
                and len(other.inbox) < self.ROOM
            ):
                at = self.now + self.random.random() * self.delay
                other.inbox.append((at, node.name, [(seen.register, 0.0)], {}))

    def passes(self, sender: str, to: str) -> bool:
        return self.group.get(sender, 0) == self.group.get(to, 0) and (sender, to) not in self.deaf

    def seen_by(self, node: Node) -> Sequence[Member]:
        return [
            Member(
                name,
                NOWHERE,
                1,
                0,
                MemberStatus.ALIVE if self.now - at <= DEAD_AFTER else MemberStatus.DEAD,
                at,
                at,
            )
            for name, at in {**node.there, node.name: self.now}.items()
        ]

    def gossip(self) -> None:
        if self.alone:
            return
        names = list(self.nodes)
        for node in self.nodes.values():
            if not node.runs():
                continue
            node.there[node.name] = self.now
            cells = [
                (seen.register, 0.0 if seen.register.owner == node.name else self.now - seen.heard_at)
                for seen in node.cells.all()
            ]
            for name in self.random.sample(names, min(self.FANOUT + 1, len(names))):
                other = self.nodes[name]
                if (
                    other is node
                    or not other.alive
                    or not self.passes(node.name, name)
                    or self.random.random() < self.loss
                    or len(other.inbox) >= self.ROOM
                ):
                    continue
                other.inbox.append(
                    (self.now + self.random.random() * self.delay, node.name, cells, dict(node.there))
                )

    def step(self) -> None:
        self.now += self.STEP
        self.gossip()
        for node in self.nodes.values():
            if node.runs():
                node.receive()
                node.canary.tick(self.now)

    def run(self, seconds: float, each: Callable[[], None] = lambda: None) -> None:
        until = self.now + seconds
        while self.now < until - 1e-9:
            self.step()
            each()


class Wide(Net):
    """For a thousand members: all count, and `judges` of them hear all the others and decide; the rest hear
    decisions alone. What one writes is there within `spread` seconds, and nothing is cut."""

    def __init__(self, seed: int, size: int, terms: Terms, judges: int = 12, spread: float = 1.0) -> None:
        self.spread, self.listening = spread, set[Node]()
        self.all_there: list[Member] = []
        super().__init__(seed, size, terms)
        self.listening = set(list(self.nodes.values())[:judges])
        for node in self.nodes.values():
            if node not in self.listening:
                node.canary.alone = True  # it hears decisions alone, so it makes none
                node.canary.next_evaluation_at, node.canary.MIN_CARRIERS = math.inf, 0

    def wrote(self, node: Node, name: str) -> None:
        seen = node.cells.read(node.name, name)
        assert seen is not None
        told = self.nodes.values() if name.endswith("/state") else self.listening
        for other in told:
            if other is not node:
                at = self.now + self.random.random() * self.spread
                other.inbox.append((at, node.name, [(seen.register, 0.0)], {}))

    def gossip(self) -> None:
        self.all_there = [
            Member(name, NOWHERE, 1, 0, MemberStatus.ALIVE, self.now, self.now) for name in self.nodes
        ]
        for node in self.nodes.values():
            if node.inbox:
                node.inbox = deque(sorted(node.inbox, key=lambda message: message[0]))

    def seen_by(self, node: Node) -> Sequence[Member]:
        return self.all_there if node in self.listening else self.all_there[:1]


class Traffic:
    """Exchanges of a key space at every sidecar, and how a release treats them."""

    def __init__(
        self,
        net: Net,
        rate: float,
        bad: Callable[[bool, Idempotency, float], float],
        effects: Sequence[tuple[Idempotency, float]] = MIX,
        keys: int = 20_000,
    ) -> None:
        """`rate`: exchanges a second at each sidecar. `bad` gives the part that fails or is late, of the new
        side or the old one, of an effect, at this part of the keys on the new side."""
        self.net, self.rate, self.bad, self.keys = net, rate, bad, keys
        self.effects, self.weights = [e for e, _ in effects], [w for _, w in effects]
        self.random = random.Random(f"traffic {net.random.random()}")
        self.harmed = self.all = self.on_new = 0
        self.owed = 0.0

    def step(self) -> None:
        net, now = self.net, self.net.now
        for node in net.nodes.values():
            if not node.runs():
                continue
            part = node.canary.part(now)
            mean = self.rate * net.STEP
            count = int(mean) + (self.random.random() < mean - int(mean))
            for _ in range(count):
                new = node.canary.takes(now, f"k{self.random.randrange(self.keys)}")
                effect = self.random.choices(self.effects, self.weights)[0]
                bad = self.random.random() < self.bad(new, effect, part)
                node.canary.ended(now, new, effect, bad)
                self.all += 1
                self.on_new += new
                self.harmed += new and bad
