"""The relayed list in virtual time: the decision that runs in `serve` with `[list]`, beside exchanges, on the
model of `listing_net` of how cells travel and when members know of one another."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from functools import partial

from ..balancer.host import EndpointStatus, ListedEndpoint
from ..decisions.listing.relay import EndpointListRelay, RelaySettings
from ..program.fleet.listing import with_known_start
from ..protocol import listing as words
from ..protocol.listing import Head, Lines
from .ledger import Met
from .listing_net import AT, DEATH_TIME, JOIN_TIME, Delays
from .virtual_views import RunView, SidecarView

ASKERS = 3


class Cells:
    """All that is written, and who is there."""

    def __init__(self, run: RunView) -> None:
        self.run, self.random = run, random.Random(run.world.seed)
        self.delays = Delays(self.random)
        self.names = [f"s{n}" for n in range(run.world.x.sidecars.count)]
        self.gone: dict[str, float] = {}  # from when each that died is known to have
        self.written: dict[tuple[str, str], tuple[int, bytes]] = {}  # by owner and name: the order, the value
        self.parts: dict[str, Relayed] = {}
        self.count = 0
        self.heads: dict[bytes, Head] = {}
        self.there: tuple[float, list[str]] = -math.inf, []

    def join(self, node: SidecarView, known: Sequence[ListedEndpoint]) -> Relayed:
        part = self.parts[f"s{node.number}"] = Relayed(self, node, known)
        self.gone.pop(part.name, None)
        clock = node.clock
        clock.at(clock.now + self.random.uniform(0.1, 1.0), self.stir)
        clock.at(part.knows_at, node.living(part.joined))
        return part

    def left(self, name: str) -> None:
        del self.parts[name]
        clock, known = self.run.clock, self.random.uniform(*DEATH_TIME)
        self.gone[name] = clock.now + known
        clock.at(clock.now + known, self.stir)

    def stir(self) -> None:
        self.there = -math.inf, []
        for part in self.parts.values():
            part.relay.members_changed()

    def alive(self, now: float) -> list[str]:
        if self.there[0] != now:
            self.there = now, [name for name in self.names if now < self.gone.get(name, math.inf)]
        return self.there[1]

    def write(self, now: float, owner: Relayed, name: str, value: bytes) -> None:
        self.count += 1
        self.delays.wrote(now, len(value))
        self.written[owner.name, name] = self.count, value
        self.run.ledger.met.append(Met("cell", owner.node.number, -1, now))
        for other in self.parts.values():
            if other is not owner and now >= other.knows_at:
                self.run.clock.at(
                    now + self.delays.next(now),
                    other.node.living(partial(other.came, owner.name, name, self.count, value)),
                )

    def decoded(self, value: bytes) -> Head:
        if value not in self.heads:
            self.heads = {value: words.decode(value, Head)} | (self.heads if len(self.heads) < 100 else {})
        return self.heads[value]


class Relayed:
    """One sidecar's part in it, for one of its lives."""

    def __init__(self, cells: Cells, node: SidecarView, known: Sequence[ListedEndpoint]) -> None:
        self.cells, self.node, self.name = cells, node, f"s{node.number}"
        world, now = node.run.world, node.clock.now
        self.seen: dict[tuple[str, str], tuple[int, bytes]] = {}
        self.listed = {line.id: line for line in known}
        self.knows_at = now + cells.random.uniform(*JOIN_TIME)
        self.waits, self.waiting, self.hearsay = 0, False, False
        chance = random.Random(world.seed * 100_003 + node.number * 101 + node.lives)
        terms = RelaySettings(ASKERS, world.x.limits.ask_within)
        self.relay = EndpointListRelay(now, self.name, node.lives, terms, AT, self, chance)
        self.relay.start(node.version, encoded(known))
        node.clock.at(now + cells.random.random() * 0.5, node.living(self.tick))

    def tick(self) -> None:
        now = self.node.clock.now
        self.node.clock.at(max(self.relay.tick(now), now + 0.01), self.node.living(self.tick))

    def joined(self) -> None:
        """It knows who is there, and is told all cells."""
        self.relay.members_changed()
        for (owner, name), (order, value) in list(self.cells.written.items()):
            if owner != self.name:
                self.came(owner, name, order, value)

    def came(self, owner: str, name: str, order: int, value: bytes) -> None:
        if order <= self.seen.get((owner, name), (0, b""))[0]:
            return
        self.seen[owner, name] = order, value
        now = self.node.clock.now
        if name == words.HEAD:
            if value:
                self.relay.head_received(now, owner, self.cells.decoded(value), now)
            else:
                self.relay.head_removed(now, owner)

    # The follower's side.

    def spares(self, now: float) -> bool:
        """Whether the next call waits; it is then asked for again when its time has come."""
        until = self.relay.deferred_until(now)
        self.waits += 1
        self.waiting = now < until
        if self.waiting:
            self.hearsay = True
            self.node.clock.at(until + 1e-6, self.node.living(partial(self.over, self.waits)))
        return self.waiting

    def over(self, wait: int) -> None:
        if self.waiting and wait == self.waits:
            self.waiting = False
            self.node.ask()

    def answered(
        self, now: float, version: int, lines: list[ListedEndpoint], whole: bool
    ) -> list[ListedEndpoint]:
        """The lines that the service told; those that are other than before, gone ones too."""
        if whole:
            named = {line.id for line in lines}
            changed = [line for line in lines if self.listed.get(line.id) != line]
            changed += [line_gone(line) for id, line in self.listed.items() if id not in named]
        else:
            changed = lines
        self.note(changed)
        self.hearsay = False
        self.relay.answered(now, version, whole, encoded(lines))
        return changed

    def note(self, changed: Sequence[ListedEndpoint]) -> None:
        for line in changed:
            if line.status is EndpointStatus.GONE:
                self.listed.pop(line.id, None)
            else:
                self.listed[line.id] = line

    # Host to the relay.

    def alive(self) -> Sequence[str]:
        now = self.node.clock.now
        return self.cells.alive(now) if now >= self.knows_at else [self.name]

    def write(self, now: float, name: str, value: bytes) -> None:
        self.cells.write(now, self, name, value)

    def read_register(self, owner: str, name: str) -> bytes:
        return self.seen.get((owner, name), (0, b""))[1]

    def apply_list(self, now: float, version: int, lines: Lines, delta: Lines) -> bool:
        changed = []
        for id, data in delta.items():
            before = self.listed.get(id)
            if data:
                line = words.decode_line(id, data, 0.0)[0]
                changed.append(line if before is None else with_known_start(line, before))
            elif before is not None:
                changed.append(line_gone(before))
        self.note(changed)
        self.hearsay = True
        self.node.told(version, changed)
        return True

    def reschedule_call(self) -> None:
        self.node.clock.at(self.node.clock.now, self.node.living(partial(self.over, self.waits)))

    def log(self, event: str, **fields: object) -> None: ...


def encoded(lines: Sequence[ListedEndpoint]) -> dict[str, bytes]:
    return {
        line.id: b"" if line.status is EndpointStatus.GONE else words.encode_line(line, None, 0.0)
        for line in lines
    }


def line_gone(line: ListedEndpoint) -> ListedEndpoint:
    return ListedEndpoint(
        line.id, line.cell, line.zone, line.weight, EndpointStatus.GONE, line.started_at, line.machine_kind
    )
