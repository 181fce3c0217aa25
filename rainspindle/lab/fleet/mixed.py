"""Half a fleet one release behind for a day, in virtual time: the classes of both builds in one process.

    python -m rainspindle.lab.fleet.mixed --hours 24 --members 8 --seed 1

Each member's `Members`, `Cells`, `Canary` and `Wallet` are of the older build or of this one, whole; what
goes between them is bytes, and what a member keeps (rows, canary state) is read by the other build when it is
rolled. The network, the disk and the traffic are modelled (`virtual.py`); the processes' loops and files are
not played here, but by `rolling.py`. A round is five minutes: a top-up, a canary begun and aborted at a
member of either build, one fault, and one member of each build rolled to the other, so that halves stay
halves. Exit status 0 if all held, 2 where the older build cannot be had, 3 if not.
"""

from __future__ import annotations

import argparse
import json
import math
import random
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from functools import partial
from pathlib import Path
from types import ModuleType
from typing import Any

from .builds import THIS, Build, add_older, given
from .virtual import App, Engine, Process, World

ROUND, EVERY = 300.0, 5.0  # seconds; of those between two exchanges of a member
IN_FORCE, HEARD = 1.0, 8.0  # seconds from an abort, or from the end of what kept it from a member
TOP_UP, PACE, DISK = 200, 0.01, 0.004  # units a round; seconds between looks at a wallet, and of a write
BOOT = 7


def idempotencies(load: Callable[[str], ModuleType]) -> Sequence[Any]:
    """What requests may be to a canary, by the build's own name for it."""
    try:
        return list(load("balancer.host").Idempotency)
    except ModuleNotFoundError:  # before the package `balancer`
        return list(load("host").Effect)


class Parts:
    """The modules of one build."""

    def __init__(self, name: str, load: Callable[[str], ModuleType]) -> None:
        self.name = name
        self.load = load
        self.canary, self.terms = load("decisions.canary.canary"), load("decisions.canary.terms")
        self.wallet, self.account = load("decisions.wallet.wallet"), load("decisions.wallet.account")
        self.rows, self.words = load("program.fleet.wallet"), load("protocol.wallet")
        self.idempotencies = idempotencies(load)

    @classmethod
    def of(cls, old: Build) -> tuple[Parts, Parts]:
        """Those of the older build, and of this one."""
        return cls("old", old.module), cls("new", THIS.module)


class OlderHost:
    """The host of an older build's members, by its names."""

    def __init__(self, process: Process) -> None:
        self.send, self.changed, self.log = process.send, process.on_member_changed, process.log


class OlderMember:
    """A member as an older build tells it, by its names and by this build's."""

    def __init__(self, inner: Any) -> None:
        self.inner, self.status = inner, inner.standing

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)


class OlderMembership:
    """An older build's members, by this build's names."""

    def __init__(self, members: Any) -> None:
        self.inner = members

    @property
    def gossip_due_at(self) -> float:
        return float(self.inner.gossip_at)

    def on_datagram(self, now: float, data: bytes) -> None:
        self.inner.received(now, data)

    def on_timer(self, now: float) -> float:
        return float(self.inner.tick(now))

    def leave(self, now: float) -> None:
        self.inner.leave(now)

    def members(self) -> list[Any]:
        return [OlderMember(one) for one in self.inner.members()]

    def drops(self) -> dict[str, int]:
        return dict(self.inner.counts.drops())


def is_alive(member: Any) -> bool:
    """Of either build."""
    return bool(member.status.value == "alive")


def incarnation_of(register: Any) -> int:
    """Of either build."""
    return int(register.incarnation if hasattr(register, "incarnation") else register.life)


def register_of(seen: Any) -> Any:
    """Of either build."""
    return seen.register if hasattr(seen, "register") else seen.cell


def heard_at(seen: Any) -> float:
    """Of either build."""
    return float(seen.heard_at if hasattr(seen, "heard_at") else seen.heard)


class CanaryApp:
    """One member's canary, with what it keeps in the folder."""

    def __init__(self, process: Process, parts: Parts) -> None:
        self.process, self.parts = process, parts
        steps = tuple(parts.terms.Step(part, 5.0, 3) for part in (0.2, 0.5))
        terms = parts.terms.Terms("c", "x", steps, long=60.0, short=10.0, budget=0.3, each_effect=0)
        self.canary = parts.canary.Canary(
            process.world.now, terms, process.name, process.life, self, process.folder.get("canary")
        )
        process.cells.on_change("canary/", self.heard)
        self.due, self.stirred = -math.inf, True  # as the program's ticker: when it asks, or after news

    def heard(self, now: float, cell: Any) -> None:
        self.stirred = True
        if cell.name.endswith("/state"):
            self.canary.heard_state(now, cell.owner, cell.value)
        elif cell.owner != self.process.name:
            seen = self.process.cells.read(cell.owner, cell.name)
            self.canary.heard_counts(
                now,
                cell.owner,
                incarnation_of(cell),
                cell.sequence,
                cell.value,
                heard_at(seen) if seen else now,
            )

    def tick(self, now: float) -> float:
        if self.stirred or now >= self.due:
            self.stirred, self.due = False, float(self.canary.tick(now))
        return self.due

    def member_changed(self, now: float, before: Any, after: Any) -> None: ...

    def tell_counts(self, now: float, value: bytes) -> None:
        self.process.cells.write(now, "canary/c", value)

    def tell_state(self, now: float, value: bytes) -> None:
        names = [m.name for m in self.process.engine.members() if is_alive(m)]
        self.process.cells.write(now, "canary/c/state", value, names)

    def keep(self, value: bytes) -> None:
        self.process.folder["canary"] = value

    def members(self) -> Sequence[Any]:
        return self.process.engine.members()

    def log(self, event: str, **fields: object) -> None:
        self.process.log(event, **fields)


class WalletApp:
    """One member's part of the wallet, with its rows as bytes in the folder."""

    def __init__(self, process: Process, parts: Parts, home: str) -> None:
        self.process, self.parts, self.writing, self.urged = process, parts, False, True
        self.due, now = -math.inf, process.world.now
        self.rules = parts.wallet.Rules(home)
        self.wallet = parts.wallet.Wallet("w", process.name, process.life, self.rules, self, now)
        rows = {
            account: parts.rows.decode_row(value)[0]
            for account, value in process.folder.setdefault("rows", {}).items()
        }
        ids = dict(process.folder.setdefault("ids", {}))
        last = max(rows, default=None)
        self.wallet.load(
            now, rows.pop(last, None), ids, [rows[a] for a in sorted(rows)], parts.account.Trust.SURE
        )
        process.cells.on_change("wallet/", self.heard)

    def heard(self, now: float, cell: Any) -> None:
        to, words = cell.name.partition("/t/")[2], self.parts.words
        if not cell.value or (to and to != self.process.name):
            return
        if to:
            self.wallet.on_pair(now, cell.owner, words.decode_pair(cell.value))
        elif cell.owner != self.process.name:
            self.wallet.on_word(now, cell.owner, words.decode_word(cell.value))
        elif incarnation_of(cell) < self.process.life:
            self.wallet.on_own(now, words.decode_word(cell.value))

    def tick(self, now: float) -> float:
        if not self.urged and now < self.due:
            return self.due
        if now < self.wallet.looked_at + PACE:
            return float(self.wallet.looked_at + PACE)
        self.urged, self.wallet.looked_at = False, now
        self.due = float(self.wallet.tick(now))
        return now + PACE if self.urged else self.due

    def member_changed(self, now: float, before: Any, after: Any) -> None: ...

    def save(self, wallet: Any) -> None:
        row = None if self.writing else self.wallet.account.stage()
        if row is None:
            return
        self.writing, account = True, self.wallet.account
        ids = {id: account.ids[id] for id in account.ids_writing}
        value = self.parts.rows.encode_row(row, BOOT, self.rules)
        self.process.world.at(self.process.world.now + DISK, self.written, row.account, value, ids)

    def written(self, account: int, value: bytes, ids: dict[str, int]) -> None:
        if self.process.running:
            self.process.folder["rows"][account] = value
            self.process.folder["ids"].update(ids)
            self.writing = False
            self.wallet.written(self.process.world.now)

    def tell(self, now: float, cell: str, value: bytes, toward: tuple[str, ...]) -> None:
        self.process.cells.write(now, cell, value, toward)

    def urge(self, wallet: Any) -> None:
        self.urged = True
        self.process.wake()

    def alive(self) -> Iterable[str]:
        return [m.name for m in self.process.engine.members() if m.name != self.process.name and is_alive(m)]

    def log(self, event: str, **fields: object) -> None:
        self.process.log(event, **fields)


class Mixed:
    """The fleet, half of either build, and what must hold."""

    def __init__(self, old: Build, members: int, seed: int) -> None:
        self.old, self.new = Parts.of(old)
        self.names = [f"m{n}" for n in range(members)]
        self.parts = {name: (self.old, self.new)[n % 2] for n, name in enumerate(self.names)}
        self.world, self.chance = World(seed, make=self.make), random.Random(f"{seed} mixed")
        self.home = self.names[0]
        self.apps: dict[str, tuple[CanaryApp, WalletApp]] = {}
        self.topped = self.executed = self.to_new = self.rolled = self.aborts = self.sent = 0
        self.aborted_at, self.begun_at = -math.inf, math.inf
        self.troubled = dict.fromkeys(self.names, -math.inf)  # until when something kept word from it
        self.broken: list[str] = []
        self.events, self.drops, self.befell = Counter[str](), Counter[str](), Counter[str]()
        self.lag = 0.0  # the longest from an abort to a key on the new side, where nothing was in the way
        self.world.fleet(members, apps=(self.canary_app, self.wallet_app))
        for name in self.names:
            self.world.at(self.chance.random() * EVERY, self.exchange, name)

    def make(self, process: Process) -> Engine:
        parts = self.parts[process.name]
        if parts is self.new:
            return self.world.make_members(process)
        process.cells = parts.load("decisions.shared.cells").Cells(process.name, process.life)
        members = parts.load("decisions.members.swim").Members(
            process.name,
            process.life,
            process.address,
            "virtual",
            process.seeds,
            OlderHost(process),
            random.Random(self.world.chance.random()),
            self.world.now,
            process.cells,
        )
        members.wake = process.wake
        return OlderMembership(members)

    def canary_app(self, process: Process) -> App:
        return CanaryApp(process, self.parts[process.name])

    def wallet_app(self, process: Process) -> App:
        return WalletApp(process, self.parts[process.name], self.home)

    def app(self, name: str) -> tuple[CanaryApp, WalletApp]:
        canary, wallet = self.world.processes[name].apps
        assert isinstance(canary, CanaryApp) and isinstance(wallet, WalletApp)
        return canary, wallet

    def awake(self, name: str) -> bool:
        process = self.world.processes[name]
        return process.running and self.world.now >= process.paused_until

    # What clients and staff do.

    def exchange(self, name: str) -> None:
        world = self.world
        world.at(world.now + self.chance.expovariate(1 / EVERY), self.exchange, name)
        if not self.awake(name):
            return
        canary, wallet = self.app(name)
        if wallet.wallet.debit(world.now, 1, self.chance.random() < 0.2):
            self.executed += 1
            if self.executed > self.topped:
                self.broken.append(f"{world.now:.1f} s: {self.executed} units spent of {self.topped}")
        new = canary.canary.takes(world.now, f"k{self.chance.randrange(1000)}")
        effects = canary.parts.idempotencies
        canary.canary.ended(world.now, new, self.chance.choice(effects), self.chance.random() < 0.01)
        self.to_new += new
        late = world.now - self.aborted_at
        if new and late > 0 and self.aborted_at > self.begun_at:
            if world.now > self.troubled[name] + HEARD:
                self.lag = max(self.lag, late)
            if late > IN_FORCE and world.now > self.troubled[name] + HEARD:
                self.broken.append(f"{world.now:.1f} s: a key in at {name}, {late:.2f} s after the abort")

    def top_up(self, id: str) -> None:
        """Repeated until it is entered, as staff do."""
        if self.awake(self.home):
            wallet = self.app(self.home)[1].wallet
            if not wallet.unsure and not wallet.leaving and not wallet.account.row.barred:
                if wallet.top_up(self.world.now, id, TOP_UP):
                    self.topped += TOP_UP
                if wallet.entered(id):
                    return
        self.world.at(self.world.now + 0.5, self.top_up, id)

    def begin(self, name: str) -> None:
        if self.awake(name):
            self.begun_at = self.world.now
            self.app(name)[0].canary.start(self.world.now, 1.75e9 + self.world.now)
            self.stir(name)

    def abort(self, parts: Parts) -> None:
        """At a member of this build that nothing keeps from the others."""
        names = [
            n
            for n in self.names
            if self.parts[n] is parts and self.awake(n) and self.world.now > self.troubled[n] + HEARD
        ]
        name = self.chance.choice(names)
        if not self.app(name)[0].canary.state.run:
            self.broken.append(f"{self.world.now:.1f} s: {name} of the {parts.name} build knows of no run")
            return
        self.aborts += 1
        self.aborted_at = self.world.now
        self.app(name)[0].canary.abort(self.world.now)
        self.stir(name)

    def stir(self, name: str) -> None:
        """A call has come to it."""
        self.app(name)[0].stirred = True
        self.world.processes[name].wake()

    # What befalls them.

    def trouble(self, names: Iterable[str], seconds: float) -> None:
        for name in names:
            self.troubled[name] = max(self.troubled[name], self.world.now + seconds)

    def befall(self) -> None:
        world, chance = self.world, self.chance
        kind, seconds = chance.choice(("split", "cut", "loss", "kill", "stall")), chance.uniform(2.0, 40.0)
        self.befell[kind] += 1
        name = chance.choice(self.names)
        if kind in ("split", "cut", "loss"):
            self.trouble(self.names, seconds)
            if kind == "split":
                world.split(chance.sample(self.names, chance.randint(1, len(self.names) - 1)))
            elif kind == "cut":
                for other in self.names:
                    world.cut(name, other)
            else:
                world.loss, world.doubled, world.late = 0.3, 0.2, 0.2
            world.at(world.now + seconds, self.heal)
        elif kind == "stall":
            self.trouble([name], seconds)
            world.pause(name, seconds)
        else:
            self.replace(name, seconds, killed=True)

    def heal(self) -> None:
        self.world.heal()
        self.world.loss = self.world.doubled = self.world.late = 0.0

    def replace(self, name: str, seconds: float, killed: bool, parts: Parts | None = None) -> None:
        """Ends a member's process, and starts the next, maybe of the other build."""
        self.trouble([name], seconds + 2.0)
        if killed:
            self.world.kill(name)
        else:
            self.app(name)[1].wallet.leave(self.world.now)
            self.world.at(self.world.now + 0.15, self.world.leave, name)
        self.world.at(self.world.now + seconds, self.start, name, parts)

    def start(self, name: str, parts: Parts | None) -> None:
        self.count(self.world.processes[name])
        self.parts[name] = parts or self.parts[name]
        self.world.start(name, apps=(self.canary_app, self.wallet_app))

    def count(self, process: Process) -> None:
        self.sent += process.sent
        self.events.update(process.events)
        engine = process.engine
        drops = engine.drops() if isinstance(engine, OlderMembership) else process.members.stats.drops()
        self.drops.update({what: drops[what] for what in ("unreadable", "other_release")})

    def roll(self) -> None:
        """One member of each build is brought to the other."""
        for parts, other in ((self.old, self.new), (self.new, self.old)):
            name = self.chance.choice([n for n in self.names if self.parts[n] is parts])
            self.replace(name, 2.0, killed=False, parts=other)
            self.rolled += 1

    # Rounds.

    def round(self, number: int) -> None:
        world, begun = self.world, self.world.now
        world.at(begun + 1.0, self.top_up, f"round{number}")
        world.at(begun + 20.0, self.begin, self.chance.choice(self.names))
        world.at(begun + self.chance.uniform(30.0, 100.0), self.befall)
        world.at(begun + 180.0, self.abort, (self.old, self.new)[number % 2])
        world.at(begun + 200.0, self.roll)
        world.run(begun + 250.0)
        value = b"%d" % number
        for name in self.names:
            world.processes[name].cells.write(world.now, "mixed/mark", value)
            world.processes[name].wake()
        if not world.run_until(partial(self.settled, value), 30.0, 0.5):
            self.broken.append(f"{world.now:.1f} s: {self.unsettled(value)}")
        world.run(begun + ROUND)

    def settled(self, value: bytes) -> bool:
        return self.world.agreed() and not self.unsettled(value)

    def unsettled(self, value: bytes) -> str:
        for name, process in self.world.processes.items():
            marks = process.cells.named("mixed/mark")
            behind = [n for n in self.names if n not in marks or register_of(marks[n]).value != value]
            if behind or self.app(name)[0].canary.standing != "aborted":
                return f"{name} lacks cells of {behind}; its canary is {self.app(name)[0].canary.standing}"
        return "" if self.world.agreed() else "not all hold all for alive"

    def play(self, rounds: int, most: float = math.inf) -> dict[str, Any]:
        """`most`: seconds of the processor's time, after which no round is begun. Guards against a day that
        ends early since its machine had other work, as it did by the clock on the wall."""
        begun = time.process_time()
        for number in range(rounds):
            if time.process_time() - begun > most:
                break
            self.round(number)
        for process in self.world.processes.values():
            self.count(process)
        bad = [event for event in self.events if "unreadable" in event or "another release" in event]
        self.broken += [f"{self.events[event]} times {event}" for event in bad]
        self.broken += [f"{what}: {count}" for what, count in self.drops.items() if count]
        return {
            "hours": round(self.world.now / 3600, 2),
            "broken": self.broken[:20],
            "rolled": self.rolled,
            "befell": dict(self.befell),
            "aborts": self.aborts,
            "abort_lag_s": round(self.lag, 3),
            "to_new": self.to_new,
            "executed": self.executed,
            "topped": self.topped,
            "datagrams": self.sent,
            "cpu_s": round(time.process_time() - begun, 1),
        }


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        "python -m rainspindle.lab.fleet.mixed",
        description="Half a fleet one release behind, in virtual time.",
    )
    parser.add_argument("--hours", type=float, default=24.0)
    parser.add_argument("--members", type=int, default=8)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--minutes", type=float, default=math.inf, help="of the processor's time, after which it ends"
    )
    add_older(parser)
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory(prefix="rainspindle-mixed-") as folder:
        day = Mixed(given(options, Path(folder)), options.members, options.seed)
        found = day.play(max(1, round(options.hours * 3600 / ROUND)), 60 * options.minutes)
    print(json.dumps({"seed": options.seed, "older": options.older, "members": options.members, **found}))
    return 3 if found["broken"] else 0


if __name__ == "__main__":
    sys.exit(main())
