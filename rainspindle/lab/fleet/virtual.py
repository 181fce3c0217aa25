"""Members in virtual time: the very classes that run, on a network that loses, delays, doubles and cuts.

One heap of events drives thousands of members. What other parts decide can be hosted beside each member as
its `apps`, with its cells, its view of the members and a folder that outlasts it. All chance is from one
seed.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Protocol

from ...decisions.members.context import MembershipConfig
from ...decisions.members.member import Member
from ...decisions.members.membership import Membership
from ...decisions.members.own_member import make_own_record
from ...decisions.members.tuning import MembershipTuning
from ...decisions.shared.registers import RegisterStore
from ...transport.address import Address

EPOCH = 1_750_000_000.0  # what clocks show when a world begins
INBOX = 600  # datagrams that wait in the kernel for a process that is stopped
PORT = 7946


class App(Protocol):
    """A part hosted beside one member."""

    def tick(self, now: float) -> float:
        """Does what is due; when it wants to be called next."""

    def member_changed(self, now: float, before: Member | None, after: Member) -> None: ...


class Engine(Protocol):
    """What tells who is there: `Members`, or a baseline."""

    @property
    def gossip_due_at(self) -> float: ...

    def on_datagram(self, now: float, data: bytes) -> None: ...

    def on_timer(self, now: float) -> float: ...

    def leave(self, now: float) -> None: ...

    def members(self) -> list[Member]: ...


@dataclass(eq=False)
class Process:
    """One start of one member. It is the host of its members."""

    world: World
    name: str
    address: Address
    life: int
    seeds: list[Address]
    folder: dict[str, Any]  # outlasts the process
    cells: RegisterStore = field(init=False)
    engine: Engine = field(init=False)
    apps: list[App] = field(default_factory=list)
    running: bool = True
    paused_until: float = -math.inf
    inbox: deque[bytes] = field(default_factory=lambda: deque(maxlen=INBOX))
    due: float = math.inf
    events: Counter[str] = field(default_factory=Counter)
    sent: int = 0
    sent_bytes: int = 0
    got: int = 0

    @property
    def members(self) -> Membership:
        assert isinstance(self.engine, Membership)
        return self.engine

    # Host.

    def send(self, to: Address, datagram: bytes) -> None:
        self.sent += 1
        self.sent_bytes += len(datagram)
        self.world.carry(self, to, datagram)

    def on_member_changed(self, before: Member | None, after: Member) -> None:
        for hook in self.world.on_change:
            hook(self, before, after)
        for app in self.apps:
            app.member_changed(self.world.now, before, after)

    def log(self, event: str, **fields: object) -> None:
        self.events[event] += 1
        if self.world.on_log is not None:
            self.world.on_log(self, event, fields)

    # Events.

    def wake(self) -> None:
        self.schedule(self.world.now)

    def schedule(self, at: float) -> None:
        if at < self.due:
            self.due = at
            self.world.at(at, self.ticked, at)

    def ticked(self, at: float) -> None:
        if not self.running or at != self.due:
            return
        now = self.world.now
        if now < self.paused_until:  # it looks again when it wakes
            self.due = math.inf
            return
        self.due = math.inf
        due = min([self.engine.on_timer(now), *(app.tick(now) for app in self.apps)])
        self.schedule(max(due, now + 0.001))

    def arrive(self, data: bytes) -> None:
        if not self.running:
            return
        if self.world.now < self.paused_until:
            self.inbox.append(data)
            return
        self.got += 1
        self.engine.on_datagram(self.world.now, data)
        early = self.engine.gossip_due_at
        if early < self.due:
            self.schedule(max(early, self.world.now))

    def resumed(self) -> None:
        """What has come meanwhile comes first, as on a socket, or the clock does."""
        if not self.running or self.world.now < self.paused_until:
            return
        if self.world.chance.random() < 0.5:
            self.due = math.inf
            self.schedule(self.world.now)
            self.ticked(self.world.now)
        while self.inbox:
            self.arrive(self.inbox.popleft())
        self.schedule(self.world.now)


MakeEngine = Callable[[Process], Engine]


class World:
    def __init__(
        self, seed: int, tuning: MembershipTuning | None = None, make: MakeEngine | None = None
    ) -> None:
        self.chance = random.Random(seed)
        self.now = 0.0
        self.heap: list[tuple[float, int, Callable[..., object], tuple[Any, ...]]] = []
        self.count = 0
        self.tuning = tuning or MembershipTuning()
        self.make: MakeEngine = make or self.make_members
        self.processes: dict[str, Process] = {}  # the latest start of each name
        self.at_address: dict[Address, Process] = {}
        self.folders: dict[str, dict[str, Any]] = {}
        self.clocks: dict[str, float] = {}  # seconds by which a member's clock is off
        self.on_change: list[Callable[[Process, Member | None, Member], None]] = []
        self.on_log: Callable[[Process, str, dict[str, object]], None] | None = None
        # The network. What is on its way when a cut begins arrives.
        self.loss = 0.0
        self.delay = (0.0002, 0.002)  # seconds, evenly
        self.late = 0.0  # part of datagrams that come up to `latest` seconds later, so out of order
        self.latest = 0.5
        self.doubled = 0.0  # part that comes twice
        self.groups: dict[str, int] = {}  # members of different groups do not hear one another
        self.deaf: set[tuple[str, str]] = set()  # (from, to): one-sided
        self.lossy: dict[str, float] = {}  # by member, both ways

    # Time.

    def at(self, when: float, act: Callable[..., object], *args: Any) -> None:
        self.count += 1
        heapq.heappush(self.heap, (max(when, self.now), self.count, act, args))

    def run(self, until: float) -> None:
        heap = self.heap
        while heap and heap[0][0] <= until:
            self.now, _, act, args = heapq.heappop(heap)
            act(*args)
        self.now = until

    def run_until(self, true: Callable[[], bool], limit: float, step: float = 0.05) -> bool:
        """Whether it became true within `limit` seconds from now."""
        end = self.now + limit
        while not true():
            if self.now >= end:
                return False
            self.run(min(self.now + step, end))
        return True

    # Members.

    def address(self, n: int) -> Address:
        return f"10.{n >> 16 & 255}.{n >> 8 & 255}.{n & 255}", PORT

    def start(
        self,
        name: str,
        seeds: Iterable[Address] = (),
        address: Address | None = None,
        apps: Iterable[Callable[[Process], App]] = (),
    ) -> Process:
        """A process of this name; one that was killed before comes back with a later life, by its clock."""
        before = self.processes.get(name)
        if address is None:
            address = before.address if before else self.address(len(self.processes) + 1)
        clock = EPOCH + self.now + self.clocks.get(name, 0.0)
        life = int(clock * 1000) << 12 | self.chance.randrange(4096)
        process = Process(
            self,
            name,
            address,
            life,
            list(seeds) or (before.seeds if before else []),
            self.folders.setdefault(name, {}),
        )
        process.cells = RegisterStore(name, life)
        process.engine = self.make(process)
        self.processes[name] = self.at_address[address] = process
        process.apps.extend(make(process) for make in apps)
        process.schedule(self.now)
        return process

    def make_members(self, process: Process) -> Engine:
        config = MembershipConfig("virtual", process.seeds, self.chance.random(), self.tuning)
        own = make_own_record(process.name, process.address, process.life, self.now)
        members = Membership(own, config, process, self.now, process.cells)
        members.dissemination.wake = process.wake
        return members

    def fleet(
        self, size: int, seeds: int = 3, over: float = 0.0, apps: Iterable[Callable[[Process], App]] = ()
    ) -> list[Process]:
        """Starts `size` members within `over` seconds, the first few of them seeds of all."""
        addresses = [self.address(n + 1) for n in range(min(seeds, size))]
        made = tuple(apps)
        for n in range(size):
            self.at(self.now + over * n / size, self.start, f"m{n}", addresses, self.address(n + 1), made)
        self.run(self.now + over)
        return list(self.processes.values())

    def kill(self, name: str) -> None:
        self.processes[name].running = False

    def leave(self, name: str, after: float = 0.5) -> None:
        process = self.processes[name]
        process.engine.leave(self.now)
        process.wake()
        self.at(self.now + after, self.ended, process)

    def ended(self, process: Process) -> None:
        process.running = False

    def pause(self, name: str, seconds: float) -> None:
        process = self.processes[name]
        process.paused_until = max(process.paused_until, self.now + seconds)
        self.at(process.paused_until, process.resumed)

    def running(self) -> list[Process]:
        return [process for process in self.processes.values() if process.running]

    # The network.

    def split(self, *groups: Iterable[str]) -> None:
        """Members named are cut off from all that are not in their group; the rest is a group too."""
        self.groups = {name: n + 1 for n, names in enumerate(groups) for name in names}

    def cut(self, sender: str, hearer: str) -> None:
        """One-sided."""
        self.deaf.add((sender, hearer))

    def heal(self) -> None:
        self.groups, self.deaf, self.lossy = {}, set(), {}

    def carry(self, sender: Process, to: Address, data: bytes) -> None:
        process = self.at_address.get(to)
        if process is None:
            return
        if self.groups and self.groups.get(sender.name, 0) != self.groups.get(process.name, 0):
            return
        if self.deaf and (sender.name, process.name) in self.deaf:
            return
        chance = self.chance
        if self.loss and chance.random() < self.loss:
            return
        if self.lossy and chance.random() < 1 - (1 - self.lossy.get(sender.name, 0.0)) * (
            1 - self.lossy.get(process.name, 0.0)
        ):
            return
        copies = 2 if self.doubled and chance.random() < self.doubled else 1
        for _ in range(copies):
            wait = chance.uniform(*self.delay)
            if self.late and chance.random() < self.late:
                wait += chance.random() * self.latest
            self.at(self.now + wait, self.deliver, to, data)

    def deliver(self, to: Address, data: bytes) -> None:
        process = self.at_address.get(to)
        if process is not None:
            process.arrive(data)

    # What is asked of it.

    def agreed(self) -> bool:
        """Whether each running member holds just the running ones for living."""
        running = {process.name for process in self.running()}
        for process in self.running():
            living = {m.name for m in process.engine.members() if m.status.value in ("alive", "suspect")}
            if living != running:
                return False
        return True

    def unknown(self, name: str) -> int:
        """Running members that do not hold it for dead or gone."""
        count = 0
        for process in self.running():
            if isinstance(process.engine, Membership):
                member = process.engine.member(name)
            else:
                member = next((m for m in process.engine.members() if m.name == name), None)
            count += member is not None and member.status.value in ("alive", "suspect")
        return count
