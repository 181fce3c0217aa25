"""Gateways between sites in virtual time: the program's own router, decisions and link, on a loop of virtual
time.

What is modelled is the network between them; every byte of the link is the real protocol's.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

from ..balancer.host import AttemptOutcome, Idempotency
from ..decisions.sites.intake import Intake
from ..decisions.sites.sites import Sites
from ..fronts.link.link import Link
from ..protocol.application import Ask
from ..protocol.endpoint import Answered
from ..protocol.settings import traffic_type
from ..routing.core import Final, Finished, Given, Left, Rejected, Terminated
from ..routing.sites import SiteRouter
from ..transport.connection import Broken
from ..transport.loop import Coroutine, Loop, Task
from .models.link import LinkModel
from .virtual import Clock, Holding, SidecarNode, VirtualRun
from .world import World

KEY = b"a key of the lab's own"
ADDRESS = ("0.0.0.0", 1)


class Ready(deque[Task]):
    """Tasks to be resumed; whoever adds one has the loop look at once."""

    def __init__(self, look: Callable[[], None]) -> None:
        super().__init__()
        self.look = look

    def append(self, task: Task) -> None:
        super().append(task)
        if len(self) == 1:
            self.look()


class VirtualLoop(Loop):
    """The program's loop, without descriptors."""

    def __init__(self, clock: Clock, on_fault: Callable[[BaseException], None]) -> None:
        self.clock, self.on_fault = clock, on_fault
        self.now = lambda: clock.now
        self.ready = Ready(lambda: clock.at(clock.now, self.turn))
        self.timers: list[Any] = []
        self.timer_count = 0
        self.tasks: set[Task] = set()
        self.current: Task | None = None
        self.looked = self.came = clock.now
        self.stopped = False

    def turn(self) -> None:
        for _ in range(len(self.ready)):
            self.resume(self.ready.popleft())
        if self.ready:
            self.clock.at(self.clock.now, self.turn)

    def resume(self, task: Task) -> None:
        set_before = self.timer_count
        super().resume(task)
        if self.timer_count > set_before:
            until, _, parked, waiting = self.timers.pop()
            self.clock.at(until, lambda: waiting.wake() if waiting.parked == parked else None)

    def step(self) -> None:
        raise AssertionError("virtual time steps by itself")


class Pipe:
    """One end of a connection between gateways, with what the link needs of a socket's."""

    def __init__(self, loop: VirtualLoop, out: LinkModel) -> None:
        self.loop, self.out = loop, out
        self.closed = self.ended = False
        self.writable = True
        self.other: Pipe | None = None
        self.came: deque[bytes] = deque()
        self.last = -math.inf  # when the last byte sent arrives: bytes keep their order
        self.wake: Callable[[], None] = lambda: None

    def mine(self) -> None:
        task = self.loop.current
        assert task is not None
        self.wake = task.wake

    def receive(self) -> bytes | None:
        if self.came:
            return self.came.popleft()
        return b"" if self.ended else None

    def send_some(self, view: memoryview) -> int:
        if self.closed or self.ended:
            raise Broken("ended")
        self.deliver(bytes(view))
        return len(view)

    def deliver(self, data: bytes) -> None:
        """An empty one is the end."""
        self.last = max(self.last, self.out.arrival(self.loop.now(), len(data) + 40))
        other = self.other

        def arrive() -> None:
            assert other is not None
            if data:
                other.came.append(data)
            else:
                other.ended = True
            other.wake()

        self.loop.clock.at(self.last, arrive)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.deliver(b"")


class NodeCore:
    """The core's part in a gateway: the site's own module and endpoints, as a sidecar of the lab has them."""

    def __init__(self, loop: VirtualLoop, node: GatewayNode) -> None:
        self.loop, self.node = loop, node
        self.last_answer = math.inf

    def run(self, given: Given, gone: Callable[[], bool]) -> Coroutine[Final]:
        task, node, run = self.loop.current, self.node, self.node.sites_run
        assert task is not None
        if not node.up:
            return Terminated()
        came: list[tuple[str, float, str]] = []

        def tell(kind: str, hold_off: float, token: str) -> None:
            came.append((kind, hold_off, token))
            task.wake()

        id = given.body.request_id.decode()
        op, asked = run.ops[id.split(".")[0]], run.asked[id]
        holding = Holding(op, asked, 2 if given.repeat else 1, given.expires_at, tell)
        exchange = node.taken + 1
        node.take(holding)
        while not came:
            if gone():
                if node.up and exchange in node.held:
                    node.leave(exchange)
                return Left()
            yield math.inf
        kind, hold_off, token = came[0]
        if kind == "finished":
            return Finished(Answered(AttemptOutcome.SERVED, (), token.encode(), True))
        return Rejected(hold_off, holding.ran) if kind == "rejected" else Terminated()


class GatewayNode(SidecarNode):
    """One site's gateway."""

    def __init__(self, run: SitesRun, number: int) -> None:
        super().__init__(run, number)
        self.sites_run = run
        self.loop = VirtualLoop(run.clock, run.fault)
        self.pipes: list[Pipe] = []

    def start(self) -> None:
        super().start()
        world, now = self.run.world, self.clock.now
        sites = world.x.sites
        assert sites is not None
        zones = world.x.fleet.zones
        own, peers = zones[self.zone], [z for z in zones if z != zones[self.zone]] if sites.lean else []
        core: Any = NodeCore(self.loop, self)
        self.sites = Sites(own, peers, world.seed + self.number, now, lambda line: None)
        self.intake = Intake(now, sites.part, sites.floor, lambda line: None)
        settings = world.settings(self.number)
        types = [traffic_type(t) for t in settings["traffic-types"]]
        self.router = SiteRouter(self.loop, core, self.sites, self.intake, types, False)
        self.link = VirtualLink(
            self.loop,
            own,
            int((now + 10) * 1000) + 1,
            lambda: (KEY,),
            core,
            self.intake,
            tuple(t["name"] for t in settings["traffic-types"]),
            [t.idempotency is Idempotency.IDEMPOTENT for t in types],
            sites.stall,
            1,
            self.linked,
        )
        self.link.node = self
        # The first of two dials, so that there is one set of connections between them.
        self.link.set_peers({p: ADDRESS if own < p else None for p in peers})
        self.router.peers.update(self.link.peers)
        self.loop.spawn(self.living_ticks(self.lives))

    def living_ticks(self, life: int) -> Coroutine[None]:
        while self.up and self.lives == life:
            self.sites.tick(self.clock.now)
            self.intake.tick(self.clock.now)
            yield self.clock.now + 0.2

    def linked(self, site: str, up: bool) -> None:
        self.sites.linked(self.clock.now, site, up)

    def die(self) -> None:
        super().die()
        self.link.leaving = True
        for pipe in self.pipes:
            pipe.close()
            pipe.wake()
        self.pipes.clear()


class VirtualLink(Link):
    node: GatewayNode

    def connect(self, site: str, until: float) -> Coroutine[Any]:
        run = self.node.sites_run
        other = run.gateway(site)
        there, back = run.ways(self.node.zone, other.zone)
        begun = self.loop.now()
        up_at = back.answer(there.arrival(begun, 60))
        while self.loop.now() < min(up_at, until):
            yield min(up_at, until)
        if up_at > until or not other.up or not there.whole(begun):
            raise Broken("no way")
        near, far = Pipe(self.node.loop, there), Pipe(other.loop, back)
        near.other, far.other = far, near
        self.node.pipes.append(near)
        other.pipes.append(far)
        accept: Any = other.link.accepted
        accept(far)
        return near


class SitesRun(VirtualRun):
    def __init__(self, world: World) -> None:
        super().__init__(world)
        self.ops = {op.id: op for op in world.schedule}
        self.asked: dict[str, Any] = {}

    def fault(self, fault: BaseException) -> None:
        self.ledger.notes.append(f"{type(fault).__name__}: {fault}")

    def sidecar(self, n: int) -> SidecarNode:
        return GatewayNode(self, n)

    def gateway(self, site: str) -> GatewayNode:
        node = next(s for s in self.sidecars if self.world.x.fleet.zones[s.zone] == site)
        assert isinstance(node, GatewayNode)
        return node

    def hand_over(self, sidecar: SidecarNode, holding: Holding) -> None:
        assert isinstance(sidecar, GatewayNode)
        asked, op = holding.asked, holding.op
        self.asked[asked.id] = asked
        sidecar.loop.spawn(self.one(sidecar, sidecar.lives, holding))
        self.clock.at(self.clock.now + op.wait, partial(self.give_up, sidecar, -1, 0, holding))

    def one(self, sidecar: GatewayNode, life: int, holding: Holding) -> Coroutine[None]:
        op, asked = holding.op, holding.asked
        ask = Ask(
            asked.id.encode(),
            b"POST",
            b"/lab",
            b"answer",
            (),
            op.type,
            op.key or None,
            None,
            None,
            holding.tries > 1,
        )
        given = Given(op.type, op.key or None, None, holding.tries > 1, holding.expires, ask)
        final = yield from sidecar.router.run(given, lambda: asked.left_at < math.inf)
        if sidecar.lives != life:
            if not asked.broken and not asked.answers:
                asked.broken = True
                self.again(holding, "broken", 0.0)
            return
        if isinstance(final, Finished):
            holding.tell("finished", 0.0, final.payload.body.decode())
        elif isinstance(final, Rejected):
            holding.tell("rejected", final.hold_off, "")
        elif isinstance(final, Terminated):
            holding.tell("terminated", 0.0, "")
