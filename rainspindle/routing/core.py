"""The life of an exchange, whoever brought it: from its last byte to its one final answer.

A front hands over what it took and is given back the final answer; a back does each forward in its protocol.
The core asks the decisions what to do in between, and knows neither protocol.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from ..balancer.host import NEVER_EXECUTED, AttemptOutcome, EndpointStatus, ListedEndpoint
from ..invariants import check_invariant
from ..lazy_dataclasses import dataclass, field
from ..protocol.settings import SocketSettings
from ..transport.address import Address
from ..transport.loop import Coroutine, Loop, Task
from .facade import Effects, Facade, Fail, Reject, SendAttempt, Step

ANSWER_TIME, ANSWER_PART = 0.015, 0.05  # kept back before the expiry to write the answer, the smaller one


def nothing() -> None:
    """A body that is whole is never spent."""


def never() -> float:
    return math.inf


@dataclass(slots=True)
class Given:
    """An exchange as a front took it. `body` is between the front and the back of one protocol."""

    type_index: int
    key: str | None
    hint: float | None
    repeat: bool
    expires_at: float  # on the loop's clock; the final answer is given by then
    body: Any
    # Where the body is still coming when the exchange is taken: the expiry, once its last byte has come. It
    # goes with one forward; until then `expires_at` tells when it is given up.
    expiry: Callable[[], float] | None = None
    spent: Callable[[], None] = nothing  # the back calls it when a part that is not kept goes to an endpoint
    written: Callable[[], float] = never  # and this after the last byte; until when to wait for the answer
    tenant: int | None = None  # its number in the settings
    request_id: str = ""  # the client's own, where the protocol has one


@dataclass(slots=True)
class Finished:
    payload: Any  # of the back


@dataclass(frozen=True, slots=True)
class Rejected:
    """Trying again is harmless; `ran` where a forward of it may have run all the same."""

    hold_off: float
    ran: bool


@dataclass(frozen=True, slots=True)
class Terminated:
    """Nothing is promised."""


@dataclass(frozen=True, slots=True)
class Left:
    """The client has left: nothing is owed."""


@dataclass(frozen=True, slots=True)
class Broke:
    """A part of the answer has gone to the client and the rest will not: its connection is to be ended."""


Final = Finished | Rejected | Terminated | Left | Broke


class Taker(Protocol):
    """What a front hands its exchanges to: the core, or what chooses between it and elsewhere."""

    def run(self, given: Given, gone: Callable[[], bool]) -> Coroutine[Final]:
        """The final answer. `gone` tells whether the client has left; its task is woken when that changes."""


@dataclass(slots=True)
class Forwarded:
    """What came of one forward."""

    outcome: AttemptOutcome
    payload: Any = None  # of a served one
    lag: float = 0.0  # how long the answer lay unread
    broke: bool = False  # after a part of its answer had gone to the client: nothing more can be done


@dataclass(slots=True)
class Directory:
    """Where endpoints are, as the list last told: shared by the core, which fills it, and its back."""

    addresses: dict[str, Address] = field(default_factory=dict)
    started: dict[str, float | None] = field(default_factory=dict)
    draining: dict[str, float] = field(default_factory=dict)  # since when, of those that are told to drain
    left_out: set[str] = field(default_factory=set)  # by order of the staff


class Back(Protocol):
    def forward(
        self,
        given: Given,
        endpoint: str,
        address: Address,
        until: float,
        before: Callable[[], bool],
        after: Callable[[], bool],
        started: Callable[[], None],
    ) -> Coroutine[Forwarded]:
        """One forward, given up when `before` holds until the last byte is written, and after it `after`.

        Calls `started` when a part of the answer goes to the client before its end is here; from then on
        `until` bounds its silence alone, and the expiry the whole."""

    def drop(self, endpoint: str, address: Address) -> None:
        """What is kept idle to an endpoint is of no more use."""

    def keep_only(self, endpoints: dict[str, Address]) -> None:
        """The others are gone: nothing is to be remembered of them."""


class Held:
    """An exchange under way: what the module has decided for it and its coroutine has not yet done."""

    __slots__ = ("called_off", "given", "left", "out", "ran", "repeat_until", "steps", "task")

    def __init__(self, task: Task, given: Given) -> None:
        self.task, self.given = task, given
        self.steps: deque[Step] = deque()
        self.out: int | None = None  # the number of the forward that is out
        self.called_off = self.left = self.ran = False
        self.repeat_until = math.inf  # when endpoints forget the first attempt that may have run


class Core:
    def __init__(
        self,
        loop: Loop,
        facade: Facade,
        settings: SocketSettings,
        directory: Directory,
        back: Back,
        on_watch: Callable[[], None],
        on_tick: Callable[[], None] = nothing,
    ) -> None:
        """`on_watch` is called when the list is to be watched, `on_tick` some times a second."""
        self.loop, self.facade, self.settings = loop, facade, settings
        self.directory, self.back = directory, back
        self.on_watch, self.on_tick = on_watch, on_tick
        self.tell: Callable[[str], None] = lambda message: None  # the other sidecars, where there are any
        self.held: dict[int, Held] = {}
        self.taken = 0
        self.last_answer = math.inf  # when the last exchange must be answered, on the way out
        self.listed = False  # whether there is a list to go by
        self.looks_at = -math.inf
        self.ticker = loop.spawn(loop.lasting(self.tick))
        self.apply(facade.taken())

    # What the module did.

    def apply(self, did: Effects) -> None:
        for exchange, step in did.steps:
            held = self.held[exchange]
            held.steps.append(step)
            if held.task is not self.loop.current:
                held.task.wake()
        for exchange, number in did.called_off:
            waiting = self.held.get(exchange)
            if waiting is not None and waiting.out == number:
                waiting.called_off = True
                waiting.task.wake()
        for message in did.peer_messages:
            self.tell(message)
        if did.watch:
            self.on_watch()
        if did.next_timer_at < self.looks_at:
            self.ticker.wake()

    def tick(self) -> Coroutine[None]:
        while True:
            self.looks_at = -math.inf  # awake
            did = self.facade.tick(self.loop.now())
            self.apply(did)
            out = sum(
                (h.out is not None) + sum(isinstance(s, SendAttempt) for s in h.steps)
                for h in self.held.values()
            )
            check_invariant(out == self.facade.in_flight(), "the module believes in flight what is in flight")
            self.on_tick()
            self.looks_at = min(did.next_timer_at, self.loop.now() + 1.0)
            yield self.looks_at

    # The list.

    def list_changed(
        self, lines: tuple[ListedEndpoint, ...], addresses: dict[str, Address], whole: bool, stale: bool
    ) -> None:
        directory = self.directory
        before = directory.addresses
        gone = {line.id for line in lines if line.status is EndpointStatus.GONE}
        named = addresses if whole else {**before, **addresses}
        # Guards against growth: the ids of endpoints are ever new.
        directory.addresses = {id: address for id, address in named.items() if id not in gone}
        for line in lines:
            # Guards against connections to a machine that has vanished: they stay open and silent.
            if (
                line.id in before
                and line.started_at is not None
                and line.started_at != directory.started.get(line.id)
            ):
                self.back.drop(line.id, before[line.id])
            directory.started[line.id] = line.started_at
            if line.status is EndpointStatus.DRAINING:
                directory.draining.setdefault(line.id, self.loop.now())
            else:
                directory.draining.pop(line.id, None)
        for id, address in before.items():
            if directory.addresses.get(id) != address:
                self.back.drop(id, address)
        directory.started = {id: at for id, at in directory.started.items() if id in directory.addresses}
        directory.draining = {id: at for id, at in directory.draining.items() if id in directory.addresses}
        self.back.keep_only(directory.addresses)
        self.apply(self.facade.list_changed(self.loop.now(), lines, whole, stale))
        self.listed = self.listed or bool(lines) or not stale

    def leave_out(self, endpoint: str, out: bool) -> None:
        """An order of the staff, in force when this returns."""
        if out:
            self.directory.left_out.add(endpoint)
            # Guards against what is just being connected: it is looked at again before its first byte.
            for held in self.held.values():
                if held.out is not None:
                    held.task.wake()
        else:
            self.directory.left_out.discard(endpoint)
        if endpoint in self.directory.addresses:  # it is restarted meanwhile
            self.back.drop(endpoint, self.directory.addresses[endpoint])
        self.apply(self.facade.leave_out(self.loop.now(), endpoint, out))

    def peer_gone(self, who: str) -> None:
        """Another sidecar's word counts for nothing from now on."""
        self.facade.peer_gone(self.loop.now(), who)

    def list_failed(self) -> None:
        self.apply(self.facade.list_failed(self.loop.now()))

    def answer_by(self, deadline: float) -> None:
        """From now on each request has its answer by then, also one that is under way.

        Guards against a process that ends while it still waits for an endpoint: such a request would have no
        answer at all, as it was taken with more time than the process has."""
        self.last_answer = deadline
        for exchange, held in self.held.items():
            held.given.expires_at = min(held.given.expires_at, deadline)
            self.facade.answer_by(exchange, deadline)
        if deadline < math.inf:
            self.loop.spawn(self.wake_held(deadline))

    def wake_held(self, at: float) -> Coroutine[None]:
        while self.loop.now() < at:
            yield at
        for held in self.held.values():
            held.task.wake()

    # One exchange.

    def expiry(self, type_index: int, came: float, wait: float | None) -> float:
        """When an exchange must be answered whose last byte came then, and whose client waits so long."""
        longest = self.settings.expiries[type_index]
        wait = longest if wait is None else min(wait, longest)
        return min(came + wait - min(ANSWER_TIME, ANSWER_PART * wait), self.last_answer)

    def run(self, given: Given, gone: Callable[[], bool]) -> Coroutine[Final]:
        """Does the steps that the module decides, until there is a final answer."""
        task = self.loop.current
        assert task is not None
        self.taken += 1
        exchange = self.taken
        held = self.held[exchange] = Held(task, given)

        def left() -> bool:
            if not held.left and gone():
                held.left = True
                self.apply(self.facade.left(self.loop.now(), exchange))
            return held.left

        def before() -> bool:
            # Guards against a repeat that was decided in time and is written late: its connection came up
            # late, or its endpoint reads slowly. It begins with its last byte, past the memory span.
            return left() or held.called_off or self.loop.now() >= min(held.repeat_until, self.last_answer)

        def after() -> bool:
            left()
            return held.called_off or self.loop.now() >= self.last_answer

        def started() -> None:
            if held.out is not None:
                self.apply(self.facade.response_started(self.loop.now(), exchange, held.out))

        def spent() -> None:
            self.facade.body_consumed(self.loop.now(), exchange)

        def written() -> float:
            if given.expiry is not None and held.out is not None:
                given.expires_at = given.expiry()
                patience, did = self.facade.body_sent(self.loop.now(), exchange, held.out, given.expires_at)
                self.apply(did)
                return min(self.loop.now() + patience, given.expires_at)
            return given.expires_at

        given.spent, given.written = spent, written
        try:
            # A request that waited behind another on its connection takes no budget or place in the module.
            if gone():
                return Left()
            self.apply(
                self.facade.start_request(
                    self.loop.now(),
                    exchange,
                    given.type_index,
                    given.key,
                    given.expires_at,
                    given.repeat,
                    given.expiry is not None,
                    given.tenant,
                )
            )
            while held.steps:
                step = held.steps.popleft()
                check_invariant(not held.steps, "one step at a time for an exchange")
                if isinstance(step, Reject):
                    return Rejected(step.retry_after, held.ran)
                if isinstance(step, Fail):
                    return Terminated()
                held.out, sent_at = step.number, self.loop.now()
                address = self.directory.addresses.get(step.endpoint)
                if address is None or step.endpoint in self.directory.left_out:
                    came = Forwarded(AttemptOutcome.NOT_SENT)
                else:
                    until = min(self.loop.now() + step.timeout, given.expires_at)
                    came = yield from self.back.forward(
                        given, step.endpoint, address, until, before, after, started
                    )
                if came.outcome is not AttemptOutcome.SERVED and not came.broke:
                    left()  # or the module would pick a further endpoint for nobody
                held.out, held.called_off = None, False
                if not held.ran and came.outcome not in NEVER_EXECUTED:
                    held.ran = True
                    held.repeat_until = sent_at + self.settings.memory_spans[given.type_index]
                self.apply(
                    self.facade.attempt_ended(
                        self.loop.now(),
                        exchange,
                        step.number,
                        came.outcome,
                        held.left or came.broke,
                        came.lag,
                    )
                )
                if held.left or came.broke:
                    return Left() if held.left else Broke()
                if came.outcome is AttemptOutcome.SERVED:
                    return Finished(came.payload)
            check_invariant(False, "an exchange is held with nothing sent")
            return Terminated()
        except Exception as fault:  # a defect: the client still gets its one answer, the module forgets it
            self.loop.on_fault(fault)
            self.apply(self.facade.left(self.loop.now(), exchange))
            if held.out is not None:
                self.facade.attempt_ended(
                    self.loop.now(), exchange, held.out, AttemptOutcome.CANCELLED, over=True
                )
            return Terminated()
        finally:
            del self.held[exchange]
