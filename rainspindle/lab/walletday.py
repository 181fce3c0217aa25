"""Members with one wallet in virtual time: the very classes that run, with a model of network and disks.

The model of how cells spread is a coarse one: members named in a write hear of it after a hop, the others
after some rounds of gossip; what is lost comes with a whole digest later. The classes are real.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ..decisions.shared.registers import SWEEP_PREFIX, Register, RegisterStore
from ..decisions.wallet.account import Row, Trust
from ..decisions.wallet.tombstones import SWEEP, TombstoneRegistry
from ..decisions.wallet.wallet import Rules, Wallet
from ..protocol import wallet as words

HOP, GOSSIP, DIGEST = 0.002, (0.05, 0.6), 2.0  # seconds
SEEN_DEAD, SEEN_ALIVE = 3.0, 0.5  # seconds until the others believe it
WRITE = 0.004  # seconds for a batch on disk
ROOM = 10**6  # batches of one life at most


@dataclass(slots=True)
class Disk:
    """What outlasts a member."""

    rows: dict[int, Row] = field(default_factory=dict)  # by account
    ids: dict[str, int] = field(default_factory=dict)
    old: set[int] = field(default_factory=set)  # accounts that were noticed as older copies
    takes: float = WRITE
    fails: bool = False
    number: int = 0  # of the last batch

    def copy(self) -> Disk:
        return Disk(
            {a: r.copy() for a, r in self.rows.items()}, dict(self.ids), set(self.old), number=self.number
        )


class Nothing(dict[tuple[str, str], tuple[int, int]]):
    def __setitem__(self, key: tuple[str, str], value: tuple[int, int]) -> None: ...


class OlderCells(RegisterStore):
    """Of a release that keeps what others have swept."""

    def __init__(self, own: str, life: int) -> None:
        super().__init__(own, life)
        self.swept_up_to = Nothing()

    def apply_sweep(self, now: float, sweep: Register) -> None: ...


class VirtualMember:
    """One life of one member."""

    def __init__(self, day: WalletDay, name: str, life: int, trust: Trust) -> None:
        self.day, self.name, self.life = day, name, life
        self.cells = OlderCells(name, life) if name in day.older else RegisterStore(name, life)
        self.register = TombstoneRegistry(self.cells, day.now, day.disks[name].number, ROOM)
        self.register.pace = min(SWEEP, day.rules.rest / 5)
        self.wallet = Wallet(
            "w", name, life, day.rules, self, day.now, register=None if name in day.older else self.register
        )
        self.sweep_at = math.inf
        self.dead = self.stalled = False
        self.writing = False
        self.urged = False
        self.planned = 0
        self.logs: list[tuple[float, str, dict[str, object]]] = []
        self.late: list[Callable[[], None]] = []  # what came while it was stalled
        self.cells.on_change("wallet/", self.heard)
        self.cells.on_change(SWEEP_PREFIX, self.heard)
        disk = day.disks[name]
        if trust is Trust.OLD:
            disk.old.update(disk.rows)
        if disk.rows:
            last = max(disk.rows)
            old = [disk.rows[a].copy() for a in sorted(disk.rows) if a != last]
            self.wallet.load(
                day.now, disk.rows[last].copy(), dict(disk.ids), old, Trust.OLD if last in disk.old else trust
            )
        else:
            self.wallet.load(day.now, None, dict(disk.ids), [], Trust.SURE)

    # What the wallet may do.

    def save(self, wallet: Wallet) -> None:
        disk = self.day.disks[self.name]
        if self.writing or self.dead:
            return
        row = self.wallet.account.stage()
        if row is None:
            return
        self.writing = True
        account, ids = self.wallet.account, list(self.wallet.account.ids_writing)
        amounts = {id: account.ids[id] for id in ids}

        def done() -> None:
            if self.dead:
                return
            self.writing = False
            if disk.fails:
                account.failed()
                self.day.at(1.0, lambda: self.save(wallet))
                return
            disk.rows[row.account] = row.copy()
            disk.ids.update(amounts)
            self.batch_done()
            self.when_awake(lambda: self.wallet.written(self.day.now))
            self.plan_sweep()

        self.day.at(disk.takes, done)

    def batch_done(self) -> None:
        disk = self.day.disks[self.name]
        disk.number = max(disk.number, 0 if self.wallet.unsure else self.register.over) + 1
        self.register.written(disk.number)

    def plan_sweep(self) -> None:
        if self.wallet.register is not None and self.register.due < self.sweep_at:
            self.sweep_at = self.register.due
            self.day.at(self.sweep_at - self.day.now, lambda: self.when_awake(self.sweep))

    def sweep(self) -> None:
        self.sweep_at = math.inf
        if self.wallet.unsure:
            self.register.due = self.day.now + 2.0
        else:
            if not self.register.ready:
                self.batch_done()
            self.cells.unsent.clear()
            self.register.sweep(self.day.now)
            for owner, name in list(self.cells.unsent):
                seen = self.cells.read(owner, name)
                if seen is not None:
                    self.day.spread(self, seen.register, ())
        self.plan_sweep()

    def tell(self, now: float, cell: str, value: bytes, toward: tuple[str, ...]) -> None:
        self.day.spread(self, self.cells.write(now, cell, value, toward), toward)

    def urge(self, wallet: Wallet) -> None:
        if not self.urged and not self.dead:
            self.urged = True
            self.day.at(max(0.0, wallet.looked_at + 0.01 - self.day.now), self.tick)

    def alive(self) -> Iterable[str]:
        return [name for name in self.day.names if name != self.name and self.day.believes(self.name, name)]

    def log(self, event: str, **fields: object) -> None:
        self.logs.append((self.day.now, event, fields))

    # What happens to it.

    def when_awake(self, do: Callable[[], None]) -> None:
        if self.stalled:
            self.late.append(do)
        elif not self.dead:
            do()

    def tick(self) -> None:
        self.when_awake(self.look)

    def look(self) -> None:
        self.urged = False
        now = self.day.now
        self.wallet.looked_at = now
        at = self.wallet.tick(now)
        self.planned = number = next(self.day.numbers)
        if at != math.inf:
            self.day.at(at - now, lambda: self.tick() if self.planned == number else None)
        self.plan_sweep()

    def heard(self, now: float, cell: Register) -> None:
        _, _, to = cell.name.partition("/t/")
        if cell.owner == self.name and cell.incarnation < self.life and cell.value:
            if self.register.on_own_register(cell):
                self.wallet.on_outdated_folder(now)
            self.plan_sweep()
        if (to and to != self.name) or cell.name.startswith(SWEEP_PREFIX):
            return
        if not cell.value:
            if cell.owner != self.name:
                (self.wallet.on_pair_deleted if to else self.wallet.on_report_deleted)(now, cell.owner)
        elif to:
            self.wallet.on_pair(now, cell.owner, words.decode_pair(cell.value))
        elif cell.owner != self.name:
            self.wallet.on_word(now, cell.owner, words.decode_word(cell.value))
        elif cell.incarnation < self.life:
            self.wallet.on_own(now, words.decode_word(cell.value))

    def take(self, cell: Register) -> None:
        self.when_awake(lambda: self.take_now(cell))

    def take_now(self, cell: Register) -> None:
        self.cells.merge(self.day.now, cell)

    def exchange(self, price: int = 1, binding: bool = False) -> bool:
        if self.dead or self.stalled or not self.wallet.debit(self.day.now, price, binding):
            return False
        self.day.executed += price
        self.day.executed_at[self.name] = self.day.executed_at.get(self.name, 0) + price
        if self.day.executed > self.day.topped:
            self.day.over = max(self.day.over, self.day.executed - self.day.topped)
        return True


class WalletDay:
    def __init__(
        self,
        count: int,
        seed: int,
        rules: Rules | None = None,
        loss: float = 0.0,
        older: frozenset[str] = frozenset(),
    ) -> None:
        """`count` members, of which the first is the home. `older`: never let their use end."""
        self.older = older
        self.rng, self.now, self.loss = random.Random(seed), 0.0, loss
        self.names = [f"m{n:02}" for n in range(count)]
        self.rules = rules or Rules(self.names[0])
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count(1)
        self.disks = {name: Disk() for name in self.names}
        self.executed = self.topped = self.over = 0
        self.executed_at: dict[str, int] = {}
        self.side = dict.fromkeys(self.names, 0)
        self.seen_change: dict[str, float] = {}  # when it died, or came back
        self.cut_at = -1e9
        self.lives = dict.fromkeys(self.names, 1)
        self.members = {name: VirtualMember(self, name, 1, Trust.SURE) for name in self.names}
        for name in self.names:
            self.at(self.rng.random() * DIGEST, lambda name=name: self.digest(name))  # type: ignore[misc]

    def at(self, after: float, do: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (self.now + max(after, 0.0), next(self.numbers), do))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.queue and self.queue[0][0] <= until:
            self.now, _, do = heapq.heappop(self.queue)
            do()
        self.now = until

    # The network.

    def reaches(self, a: str, b: str) -> bool:
        return self.side[a] == self.side[b] and not self.members[a].dead and not self.members[b].dead

    def believes(self, a: str, b: str) -> bool:
        """Whether `a` takes `b` for alive: late by what it takes to find out."""
        if self.side[a] != self.side[b]:
            return self.now - self.cut_at < SEEN_DEAD
        since = self.now - self.seen_change.get(b, -1e9)
        return since < SEEN_DEAD if self.members[b].dead or self.members[b].stalled else since > SEEN_ALIVE

    def spread(self, member: VirtualMember, cell: Register, toward: tuple[str, ...]) -> None:
        for name in self.names:
            if name != member.name and self.reaches(member.name, name) and self.rng.random() >= self.loss:
                after = HOP if name in toward else self.rng.uniform(*GOSSIP)
                self.at(after, lambda name=name: self.members[name].take(cell))  # type: ignore[misc]

    def digest(self, name: str) -> None:
        self.at(DIGEST, lambda: self.digest(name))
        other = self.rng.choice(self.names)
        if other == name or not self.reaches(name, other):
            return
        for a, b in ((name, other), (other, name)):
            for seen in list(self.members[a].cells.all()):
                self.members[b].take(seen.register)

    def cut(self, *groups: Iterable[str]) -> None:
        self.cut_at = self.now
        for number, group in enumerate(groups, 1):
            for name in group:
                self.side[name] = number

    def heal(self) -> None:
        self.side = dict.fromkeys(self.names, 0)

    # The members.

    def top_up(self, id: str, amount: int, at: str | None = None) -> bool:
        """By staff, who repeat until it is entered."""
        home = self.members[at or self.rules.home]
        if (
            home.dead
            or home.stalled
            or home.name != self.rules.home
            or home.wallet.unsure
            or home.wallet.account.row.barred
        ):
            return False
        if home.wallet.top_up(self.now, id, amount):
            self.topped += amount
        return home.wallet.entered(id)

    def kill(self, name: str) -> None:
        if not self.members[name].dead:
            self.members[name].dead = True
            self.seen_change[name] = self.now

    def restart(self, name: str, trust: Trust = Trust.SURE) -> None:
        self.kill(name)
        self.lives[name] += 1
        self.seen_change[name] = self.now
        self.members[name] = VirtualMember(self, name, self.lives[name], trust)

    def stall(self, name: str, on: bool) -> None:
        member = self.members[name]
        member.stalled = on
        self.seen_change[name] = self.now
        if not on:
            late, member.late = member.late, []
            for do in late:
                do()

    def traffic(self, name: str, rate: float, until: float, price: int = 1, binding: float = 0.0) -> None:
        """Exchanges by a Poisson process from now on."""

        def one() -> None:
            if self.now < until:
                self.members[name].exchange(price, self.rng.random() < binding)
                self.at(self.rng.expovariate(rate), one)

        self.at(self.rng.expovariate(rate), one)

    def held(self) -> int:
        return sum(m.wallet.account.held for m in self.members.values() if not m.dead)
