"""A run in virtual time: the models and many sidecars, each with its own real facade and module."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import simpy

from ..balancer.balancer import Balancer
from ..balancer.host import NEVER_EXECUTED, AttemptOutcome, EndpointStatus, ListedEndpoint
from ..routing.facade import Effects, Facade, Fail, Reject, SendAttempt
from ..routing.follow import Follower
from .decide import knobs, maker
from .ledger import Asked, Ledger, Met, Run, Told
from .models.clients import Operation, next_try
from .models.endpoint import EndpointModel, Job
from .models.link import LinkModel
from .models.registry import Gate
from .relayed import Cells, Relayed
from .word import Words
from .world import Act, World, play

START = -1.0  # sidecars start within this last second before the first exchange
ANSWER_TIME, ANSWER_PART = 0.015, 0.05  # as the relay keeps back of an expiry
IDLE_PART = 0.6  # as the pool keeps connections
OUTCOMES = {
    "served": AttemptOutcome.SERVED,
    "error": AttemptOutcome.ERROR,
    "full": AttemptOutcome.OVERLOADED,
    "lost": AttemptOutcome.RESET,
}


Tell = Callable[[str, float, str], None]


class Clock:
    """Virtual time: what is due is called in order of time, then of its setting."""

    def __init__(self) -> None:
        self.env = simpy.Environment(initial_time=START)

    @property
    def now(self) -> float:
        return self.env.now

    def at(self, when: float, do: Callable[[], None]) -> None:
        event = simpy.Timeout(self.env, max(0.0, when - self.env.now))
        assert event.callbacks is not None
        event.callbacks.append(lambda _: do())


class EndpointNode:
    """An endpoint's model, called when it is due."""

    def __init__(self, clock: Clock, model: EndpointModel) -> None:
        self.clock, self.model = clock, model
        self.looks_at = math.inf
        self.connections = 0

    def look(self) -> None:
        at = self.model.next_at()
        if at < self.looks_at:
            self.looks_at = at
            self.clock.at(at, self.due)

    def due(self) -> None:
        if self.clock.now >= self.looks_at:  # else a later timer was set in place of this one
            self.looks_at = math.inf
            self.model.advance(self.clock.now)
            self.look()

    def befall(self, act: Act) -> None:
        model = self.model
        if act.what in ("down", "silence"):
            if model.up:
                lost = model.go_down(act.at, silent=act.what == "silence")
                for job in lost if act.what == "down" else ():
                    job.ended(job)
        elif act.what == "up":
            start = model.start
            model.come_back(act.at)
            if model.start != start:  # connections to the start before hold no place
                self.connections = 0
        else:
            model.advance(act.at)
            play(model, act)
        self.look()


@dataclass(slots=True, eq=False)
class Line:
    """A connection from a sidecar to an endpoint."""

    start: int  # the endpoint's start that it leads to
    idle_since: float = 0.0


class Flight:
    """One forward under way."""

    __slots__ = ("exchange", "job", "line", "node", "number", "over", "sent", "until", "written")

    def __init__(self, exchange: int, number: int, node: EndpointNode, sent: float, until: float) -> None:
        self.exchange, self.number, self.node, self.sent, self.until = exchange, number, node, sent, until
        self.over = self.written = False
        self.line: Line | None = None
        self.job: Job | None = None


class Holding:
    """An exchange that a sidecar has taken."""

    __slots__ = ("asked", "expires", "flight", "left", "op", "ran", "tell", "tries")

    def __init__(self, op: Operation, asked: Asked, tries: int, expires: float, tell: Tell) -> None:
        """`tell` is called with the final answer's kind, its hold-off and the run it stems from."""
        self.op, self.asked, self.tries, self.expires, self.tell = op, asked, tries, expires, tell
        self.flight: Flight | None = None
        self.left = self.ran = False


class SidecarNode:
    """What the relay, the pool and the follower are on sockets, in virtual time."""

    relayed: Relayed | None = None

    def __init__(self, run: VirtualRun, number: int) -> None:
        self.run, self.clock, self.number = run, run.clock, number
        self.zone = run.world.sidecar_zones[number]
        self.registry = run.world.registries[number]
        self.watch_chance = run.world.chance(f"watch {number}")
        self.lives = 0
        self.up = False

    def start(self) -> None:
        world, now = self.run.world, self.clock.now
        self.lives, self.up = self.lives + 1, True
        self.held: dict[int, Holding] = {}
        self.idle: dict[int, list[Line]] = {}
        self.heard: dict[int, float] = {}
        self.started: dict[str, float | None] = {}
        self.taken = 0
        self.looks_at = math.inf
        self.facade = Facade(
            now,
            maker(
                world.variant,
                world.settings(self.number),
                world.seed * 100_003 + self.number * 101 + self.lives,
                now,
            ),
        )
        self.version = self.registry.version(now)
        known = self.registry.whole(self.version)
        self.note_starts([(line.id, line.started_at) for line in known])
        did = self.facade.taken()
        self.apply(self.facade.list_changed(now, known, whole=True, stale=True))
        self.apply(did)
        self.informed = self.run.words.join(self) if self.run.words is not None else None
        self.relayed = self.run.cells.join(self, known) if self.run.cells is not None else None

    def die(self) -> None:
        self.up = False
        self.lives += 1
        if self.relayed is not None:
            self.relayed.cells.left(self.relayed.name)
        for holding in list(self.held.values()):
            if holding.flight is not None:
                self.close(holding.flight)
            holding.asked.broken = True
            holding.tell("broken", 0.0, "")
        self.held.clear()
        for number in list(self.idle):
            self.drop_idle(number)

    def living(self, do: Callable[[], None]) -> Callable[[], None]:
        """Done only if this life of the sidecar still lasts by then."""
        life = self.lives

        def done() -> None:
            if self.lives == life:
                do()

        return done

    # What the module did.

    def apply(self, did: Effects) -> None:
        for exchange, step in did.steps:
            holding = self.held[exchange]
            if isinstance(step, SendAttempt):
                self.send(holding, exchange, step)
            else:
                del self.held[exchange]
                kind = "rejected" if isinstance(step, Reject) else "terminated"
                assert isinstance(step, Reject | Fail)
                holding.tell(kind, step.retry_after if isinstance(step, Reject) else 0.0, "")
        for exchange, number in did.called_off:
            waiting = self.held.get(exchange)
            if waiting is not None and waiting.flight is not None and waiting.flight.number == number:
                self.clock.at(
                    self.clock.now, self.living(partial(self.end, waiting.flight, AttemptOutcome.CANCELLED))
                )
        if did.watch:
            self.clock.at(self.clock.now, self.living(self.ask))
        if did.next_timer_at < self.looks_at:
            self.looks_at = did.next_timer_at
            self.clock.at(did.next_timer_at, self.living(self.tick))

    def tick(self) -> None:
        if self.clock.now >= self.looks_at:
            self.looks_at = math.inf
            self.apply(self.facade.tick(self.clock.now))

    # The list.

    def ask(self) -> None:
        """A watch: held by the service until there is news, or as long as the relay asks for."""
        now, x, part = self.clock.now, self.run.world.x, self.relayed
        if part is not None and part.spares(now):
            return
        taken = self.run.gate.takes(now)
        self.run.ledger.met.append(Met("call", self.number, -1, now, not taken))
        if taken:
            longest = min(Follower.WATCH_FRACTION * x.limits.ask_within, Follower.MAX_WATCH)
            wait = Follower.drawn_wait(longest, self.watch_chance())
            if part is not None:
                wait = 0.0 if part.hearsay else part.relay.period if part.relay.is_asker else wait
            self.watch(now + wait)
        else:
            self.clock.at(now + x.registry.answer, self.living(self.failed))

    def watch(self, until: float) -> None:
        registry, now = self.registry, self.clock.now
        answer = self.run.world.x.registry.answer
        if registry.down(now):
            self.clock.at(now + answer, self.living(self.failed))
        elif now >= until or registry.version(now) > self.version:
            self.clock.at(now + answer, self.living(self.tell))
        else:
            news = (registry.next_at(self.version), registry.next_outage(now))
            self.clock.at(
                min([until, *(t for t in news if t is not None)]), self.living(partial(self.watch, until))
            )

    def failed(self) -> None:
        if self.relayed is not None:
            self.relayed.relay.failed(self.clock.now)
        self.apply(self.facade.list_failed(self.clock.now))

    def tell(self) -> None:
        registry, now, part = self.registry, self.clock.now, self.relayed
        whole, version = part is not None and part.hearsay, registry.version(now)
        lines = registry.whole(version) if whole else registry.since(self.version, now)
        if part is not None:
            lines = part.answered(now, version, lines, whole)
        self.told(version, lines)
        rest = now + Follower.EMPTY_ANSWER_PAUSE if part is not None and not lines else now
        self.clock.at(rest, self.living(self.ask)) if rest > now else self.ask()

    def told(self, version: int, lines: list[ListedEndpoint]) -> None:
        """By the service, or by others."""
        now, self.version = self.clock.now, version
        for line in lines:
            self.run.ledger.told.append(Told(self.number, int(line.id[1:]), line.status.value, now))
            if line.status is EndpointStatus.GONE or line.started_at != self.started.get(line.id):
                self.drop_idle(int(line.id[1:]))
        self.note_starts([(line.id, line.started_at) for line in lines])
        self.apply(self.facade.list_changed(now, lines, whole=False, stale=False))

    def note_starts(self, starts: list[tuple[str, float | None]]) -> None:
        self.started.update(starts)

    # Exchanges.

    def take(self, holding: Holding) -> None:
        now, op = self.clock.now, holding.op
        self.taken += 1
        self.held[self.taken] = holding
        self.apply(
            self.facade.start_request(
                now, self.taken, op.type, op.key or None, holding.expires, holding.tries > 1
            )
        )

    def leave(self, exchange: int) -> None:
        holding = self.held[exchange]
        holding.left = True
        self.apply(self.facade.left(self.clock.now, exchange))

    def send(self, holding: Holding, exchange: int, step: SendAttempt) -> None:
        now, node = self.clock.now, self.run.endpoints[int(step.endpoint[1:])]
        flight = Flight(exchange, step.number, node, now, min(now + step.timeout, holding.expires))
        holding.flight = flight
        module = self.facade.balancer
        forward = module.attempts[exchange, step.number] if isinstance(module, Balancer) else None
        if forward is not None and forward.trial is not None and forward.trial is forward.endpoint.breaker:
            model = node.model
            vain = model.silent or model.hanging or not model.up or model.err >= 1.0
            self.run.ledger.met.append(Met("trial", self.number, model.number, now, vain))
        line = self.idle_line(node)
        if line is not None:
            self.write(flight, line, new=False)
            return
        limits, model = self.run.world.x.limits, node.model
        there, back = self.run.ways(self.zone, model.zone)
        promised = self.run.types[holding.op.type].promised
        until = min(flight.until, now + min(limits.connect_time, 0.25 * promised))
        if (
            model.silent
            or not (there.whole(now) and back.whole(now))
            or (self.number == 0 and model.number in self.run.beyond)
        ):
            self.clock.at(until, self.living(partial(self.end, flight, AttemptOutcome.NOT_CONNECTED)))
            return
        up_at = back.answer(there.arrival(now, 60))
        if not model.up or up_at >= until:
            self.clock.at(
                min(up_at, until), self.living(partial(self.end, flight, AttemptOutcome.NOT_CONNECTED))
            )
            return
        self.clock.at(up_at, self.living(partial(self.connected, flight, model.start)))

    def connected(self, flight: Flight, start: int) -> None:
        node = flight.node
        if flight.over:
            return
        full = node.connections >= node.model.kind.connections
        self.run.ledger.met.append(Met("handshake", self.number, node.model.number, self.clock.now, full))
        if node.model.start != start or not node.model.up:
            self.end(flight, AttemptOutcome.NOT_CONNECTED)
        elif full:
            self.end(flight, AttemptOutcome.OVERLOADED)
        else:
            node.connections += 1
            self.write(flight, Line(start), new=True)

    def drop_idle(self, number: int) -> None:
        """Closes the idle connections; guards against places at an endpoint that nobody gives back."""
        node = self.run.endpoints[number]
        node.connections -= sum(line.start == node.model.start for line in self.idle.pop(number, ()))

    def idle_line(self, node: EndpointNode) -> Line | None:
        lines, model = self.idle.get(node.model.number, []), node.model
        while lines:
            # Those that ended show it, but a silent machine's stay.
            if lines[-1].start != model.start or not (model.up or model.silent):
                lines.pop()
            elif lines[0].idle_since <= self.clock.now - IDLE_PART * self.run.world.x.limits.idle_time:
                lines.pop(0)
                node.connections -= 1
            else:
                return lines.pop()
        return None

    def write(self, flight: Flight, line: Line, new: bool) -> None:
        now, run = self.clock.now, self.run
        flight.line, flight.written = line, True
        there, _ = run.ways(self.zone, flight.node.model.zone)
        holding = self.held[flight.exchange]
        run.clock.at(there.arrival(now), partial(self.reach, flight, holding, now, new))
        run.clock.at(flight.until, self.living(partial(self.end, flight, AttemptOutcome.TIMED_OUT)))

    def reach(self, flight: Flight, holding: Holding, sent: float, new: bool) -> None:
        """The exchange's last byte is at the endpoint."""
        now, model, line, op = self.clock.now, flight.node.model, flight.line, holding.op
        assert line is not None
        if model.silent:
            return
        if not model.up or line.start != model.start:
            self.back(flight, AttemptOutcome.RESET, "")
            return
        run = Run(
            holding.asked.id,
            op.id,
            op.type,
            self.number,
            model.number,
            model.start,
            f"{model.number}.{len(self.run.ledger.runs)}",
            now,
            now,
            op.work,
            sent=sent,
        )
        self.run.ledger.runs.append(run)
        flight.job = job = Job(run, op.key, flight.until, partial(self.ran, flight))
        model.arrive(now, job, new)
        flight.node.look()
        if flight.over and not job.done:
            model.cancel(now, job)
            flight.node.look()

    def ran(self, flight: Flight, job: Job) -> None:
        if job.run.how in OUTCOMES:
            self.back(flight, OUTCOMES[job.run.how], job.run.token)

    def back(self, flight: Flight, outcome: AttemptOutcome, token: str) -> None:
        """Word goes back to the sidecar."""
        _, back = self.run.ways(self.zone, flight.node.model.zone)
        self.clock.at(back.arrival(self.clock.now), self.living(partial(self.end, flight, outcome, token)))

    def close(self, flight: Flight) -> None:
        """The connection is closed; the endpoint hears of it a moment later."""
        node, job = flight.node, flight.job
        if flight.line is not None and flight.line.start == node.model.start:
            node.connections -= 1
        if job is not None and not job.done:
            there, _ = self.run.ways(self.zone, node.model.zone)

            def cancelled() -> None:
                node.model.cancel(self.clock.now, job)
                node.look()

            self.clock.at(there.arrival(self.clock.now, 60), cancelled)

    def end(self, flight: Flight, outcome: AttemptOutcome, token: str = "") -> None:
        """What came of a forward; all but the first are old news."""
        holding = self.held.get(flight.exchange)
        if flight.over or holding is None:
            return
        now, number = self.clock.now, flight.node.model.number
        flight.over, holding.flight = True, None
        holding.ran = holding.ran or outcome not in NEVER_EXECUTED
        if (
            outcome in (AttemptOutcome.SERVED, AttemptOutcome.ERROR, AttemptOutcome.OVERLOADED)
            and flight.line is not None
        ):
            self.heard[number] = now
            flight.line.idle_since = now
            self.idle.setdefault(number, []).append(flight.line)
        elif flight.written:
            self.close(flight)
            if outcome is AttemptOutcome.TIMED_OUT and self.heard.get(number, -math.inf) < flight.sent:
                self.drop_idle(number)
        if outcome is AttemptOutcome.SERVED:
            del self.held[flight.exchange]
        self.apply(self.facade.attempt_ended(now, flight.exchange, flight.number, outcome, holding.left))
        if outcome is AttemptOutcome.SERVED:
            if not holding.left:
                holding.tell("finished", 0.0, token)
        elif holding.left:
            del self.held[flight.exchange]


class VirtualRun:
    """One variant of an experiment under one seed. `play` gives the ledgers."""

    def __init__(self, world: World) -> None:
        self.world, self.clock, self.ledger = world, Clock(), Ledger()
        self.types = world.x.traffic
        self.gate = Gate(world.x.registry.calls)
        self.words: Words | None = Words(self) if world.variant.word else None
        self.cells: Cells | None = Cells(self) if world.variant.relay else None
        self.beyond: frozenset[int] = frozenset()  # endpoints that the first sidecar cannot reach
        self.links = world.links()
        self.endpoints = [EndpointNode(self.clock, world.endpoint(n)) for n in range(len(world.kinds))]
        self.sidecars = [self.sidecar(n) for n in range(world.x.sidecars.count)]
        self.chance = world.chance("back-off")

    def sidecar(self, n: int) -> SidecarNode:
        return SidecarNode(self, n)

    def ways(self, a: int, b: int) -> tuple[LinkModel, LinkModel]:
        return self.links[a, b], self.links[b, a]

    def play(self, on_second: Callable[[float], None] = lambda second: None) -> Ledger:
        with knobs(self.world.variant):
            count = len(self.sidecars)
            for n, sidecar in enumerate(self.sidecars):
                self.clock.at(START * (1 - n / count), sidecar.start)
            if self.world.variant.cut_part:
                self.clock.at(min((f.at for f in self.world.x.faults), default=0.0), self.cut)
            for act in self.world.acts:
                self.clock.at(act.at, partial(self.befall, act))
            self.operations = iter(self.world.schedule)
            self.next_operation()
            second = START
            while second < self.world.end:
                second = min(second + 1.0, self.world.end)
                self.clock.env.run(until=second)
                on_second(second)
        for node in self.endpoints:
            self.ledger.starts += node.model.starts
        return self.ledger

    def cut(self) -> None:
        """The first sidecar's own way is bad from now on."""
        some = round(self.world.variant.cut_part * len(self.endpoints))
        self.beyond = frozenset(range(some))
        for number in self.beyond:
            self.sidecars[0].drop_idle(number)

    def befall(self, act: Act) -> None:
        if act.what in ("sidecar_down", "sidecar_freeze"):
            if self.sidecars[act.target].up:
                self.sidecars[act.target].die()
        elif act.what == "sidecar_up":
            if not self.sidecars[act.target].up:
                self.sidecars[act.target].start()
        else:
            self.endpoints[act.target].befall(act)

    # Clients.

    def next_operation(self) -> None:
        op = next(self.operations, None)
        if op is not None:
            self.clock.at(op.due, partial(self.begin, op))

    def begin(self, op: Operation) -> None:
        self.next_operation()
        self.ask(op, 1)

    def ask(self, op: Operation, tries: int) -> None:
        now, expiry = self.clock.now, self.types[op.type].expiry
        sidecar = self.sidecars[op.sidecar]
        asked = Asked(f"{op.id}.{tries}", op.id, op.type, op.sidecar, op.due, now, op.wait, expiry)
        self.ledger.asked.append(asked)
        wait = min(op.wait, expiry)
        holding = Holding(
            op,
            asked,
            tries,
            now + wait - min(ANSWER_TIME, ANSWER_PART * wait),
            lambda kind, hold_off, token: self.client_told(holding, kind, hold_off, token),
        )
        if not sidecar.up:
            asked.broken = True
            self.again(holding, "rejected", 0.0)  # refused: it never ran
            return
        self.hand_over(sidecar, holding)

    def hand_over(self, sidecar: SidecarNode, holding: Holding) -> None:
        gives_up = partial(self.give_up, sidecar, sidecar.lives, sidecar.taken + 1, holding)
        self.clock.at(self.clock.now + holding.op.wait, gives_up)
        sidecar.take(holding)

    def give_up(self, sidecar: SidecarNode, life: int, exchange: int, holding: Holding) -> None:
        if not holding.asked.answers and not holding.asked.broken:
            holding.asked.left_at = self.clock.now
            if sidecar.lives == life and exchange in sidecar.held:
                sidecar.leave(exchange)
            self.again(holding, "left", 0.0)

    def client_told(self, holding: Holding, kind: str, hold_off: float, token: str) -> None:
        if kind != "broken":
            holding.asked.answers.append((kind, self.clock.now, token))
        if kind != "finished" and len(holding.asked.answers) <= 1 and holding.asked.left_at == math.inf:
            self.again(holding, kind, hold_off)

    def again(self, holding: Holding, answer: str, hold_off: float) -> None:
        op = holding.op
        delay = next_try(
            self.world.x.clients, self.types[op.type], op, holding.tries, answer, hold_off, self.chance()
        )
        if delay is not None:
            self.clock.at(self.clock.now + max(delay, 1e-4), partial(self.ask, op, holding.tries + 1))
