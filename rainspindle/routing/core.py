"""Carries each request from its arrival to its one final answer, independently of the protocol.

A client-side handler (front) submits a request and receives the final answer. An upstream handler (back)
performs each attempt in its own protocol. In between, the core does what the decision module decides.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

from ..balancer.host import NEVER_EXECUTED, AttemptOutcome, EndpointStatus, ListedEndpoint
from ..invariants import check_invariant
from ..lazy_dataclasses import dataclass, field
from ..protocol.settings import SocketSettings
from ..transport.address import Address
from ..transport.loop import Coroutine, Loop, Task
from .facade import Effects, Facade, Fail, Reject, SendAttempt, Step

# Reserved before the expiry to write the answer: seconds, or a share of the time if that is less.
ANSWER_MARGIN, ANSWER_MARGIN_SHARE = 0.015, 0.05


def nothing() -> None:
    """Does nothing; the default of callbacks that a request or a caller does not need."""


def never() -> float:
    """Returns a time that is never reached."""
    return math.inf


@dataclass(slots=True)
class Given:
    """A request as a front received it. Only the front and the back of one protocol interpret `body`."""

    type_index: int
    key: str | None
    hint: float | None
    repeat: bool
    expires_at: float  # on the loop's clock; the final answer is due by then
    body: Any
    # Set where the body is still arriving when the request is accepted: computes the expiry that applies from
    # the last byte on. Such a body is sent in one attempt only; until its end `expires_at` bounds the upload.
    expiry: Callable[[], float] | None = None
    spent: Callable[[], None] = nothing  # called by the back when it sends a part that is not buffered
    written: Callable[[], float] = (
        never  # called by the back after the last byte; returns the time limit of the wait
    )
    tenant: int | None = None  # index in the settings
    request_id: str = ""  # chosen by the client; empty where the protocol has none
    attempted: bool = False  # whether an attempt has begun, so that it may have been executed
    # When endpoints forget an attempt at another site that may have been executed: no other begins later.
    rerun_until: float = math.inf


@dataclass(slots=True)
class Finished:
    """An endpoint served the request."""

    payload: Any  # as the back returned it


@dataclass(frozen=True, slots=True)
class Rejected:
    """The client may safely send the request again; `ran`: an attempt may nevertheless have been executed."""

    hold_off: float
    ran: bool


@dataclass(frozen=True, slots=True)
class Terminated:
    """The request failed, and it is unknown whether it was executed."""


@dataclass(frozen=True, slots=True)
class Left:
    """The client disconnected and expects no answer."""


@dataclass(frozen=True, slots=True)
class Broke:
    """The answer was cut off after a part had gone to the client, whose connection must be closed."""


Final = Finished | Rejected | Terminated | Left | Broke


class Taker(Protocol):
    """Accepts requests from a front: the core, or a router that chooses between the core and another way."""

    def run(self, given: Given, gone: Callable[[], bool]) -> Coroutine[Final]:
        """Returns the final answer.

        `gone` tells whether the client has disconnected; the running task is woken when that changes.
        """


@dataclass(slots=True)
class Forwarded:
    """The result of one attempt."""

    outcome: AttemptOutcome
    payload: Any = None  # where the attempt was served
    lag: float = 0.0  # seconds for which the answer lay unread
    broke: bool = False  # it failed after a part of the answer had gone to the client; no retry is possible


@dataclass(slots=True)
class Directory:
    """Endpoints as the endpoint list last reported them; filled by the core and read by its back too."""

    addresses: dict[str, Address] = field(default_factory=dict)
    started: dict[str, float | None] = field(default_factory=dict)
    # The time since which each draining endpoint drains.
    draining: dict[str, float] = field(default_factory=dict)
    left_out: set[str] = field(default_factory=set)  # disabled by the operators


def superseded(
    lines: Sequence[ListedEndpoint], addresses: Mapping[str, Address], directory: Directory
) -> list[ListedEndpoint]:
    """Returns as gone the endpoints whose address another one has that started later.

    An address belongs to one process. A list may tell of the new one before it tells that the old one is
    gone; whatever is sent to the old one meanwhile would reach the new one.
    """
    moved = {
        address
        for endpoint_id, address in addresses.items()
        if directory.addresses.get(endpoint_id) != address
    }
    if not moved:
        return []
    started = {line.id: line.started_at for line in lines}
    holders: dict[Address, list[tuple[float, str]]] = {}
    for endpoint_id, address in {**directory.addresses, **addresses}.items():
        if address in moved:
            known = started if endpoint_id in started else directory.started
            since = known.get(endpoint_id)
            holders.setdefault(address, []).append((-math.inf if since is None else since, endpoint_id))
    return [
        ListedEndpoint(endpoint_id, 0, 0, 1.0, EndpointStatus.GONE, None)
        for held in holders.values()
        for since, endpoint_id in held
        if since < max(held)[0]
    ]


class Back(Protocol):
    """Performs attempts in one protocol."""

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
        """Makes one attempt.

        Gives it up when `before` holds while the request is being written, or `after` once it is written.
        Calls `started` before it passes on a first part of an answer that is still incomplete. From then
        on `until` limits only the time without data, and the expiry limits the whole attempt.
        """

    def drop(self, endpoint: str, address: Address) -> None:
        """Closes the idle connections to an endpoint."""

    def keep_only(self, endpoints: dict[str, Address]) -> None:
        """Discards everything stored about other endpoints, which have been removed."""


class PendingRequest:
    """A request in progress, with the decided steps that its coroutine has not yet performed."""

    __slots__ = ("called_off", "given", "left", "out", "ran", "retry_until", "steps", "task")

    def __init__(self, task: Task, given: Given) -> None:
        self.task, self.given = task, given
        self.steps: deque[Step] = deque()
        self.out: int | None = None  # number of the attempt in flight
        self.called_off = self.left = self.ran = False
        # When endpoints forget the first attempt that may have been executed, here or at another site.
        self.retry_until = given.rerun_until


class Core:
    """Runs requests by the decisions of the decision module, and keeps the directory of endpoints."""

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
        """Calls `on_watch` when the endpoint list must be watched, and `on_tick` at least once a second."""
        self.loop, self.facade, self.settings = loop, facade, settings
        self.directory, self.back = directory, back
        self.on_watch, self.on_tick = on_watch, on_tick
        # Sends to the other sidecars, where there are any.
        self.tell: Callable[[str], None] = lambda message: None
        self.held: dict[int, PendingRequest] = {}
        self.taken = 0
        self.last_answer = math.inf  # by when every request must be answered during shutdown
        self.listed = False  # whether an endpoint list is available
        self.looks_at = -math.inf
        self.ticker = loop.spawn(loop.lasting(self.tick))
        self.apply(facade.taken())

    # Decisions.

    def apply(self, decided: Effects) -> None:
        """Carries out what the decision module returned."""
        for request_number, step in decided.steps:
            held = self.held[request_number]
            held.steps.append(step)
            if held.task is not self.loop.current:
                held.task.wake()
        for request_number, attempt_number in decided.called_off:
            request = self.held.get(request_number)
            if request is not None and request.out == attempt_number:
                request.called_off = True
                request.task.wake()
        for message in decided.peer_messages:
            self.tell(message)
        if decided.watch:
            self.on_watch()
        if decided.next_timer_at < self.looks_at:
            self.ticker.wake()

    def tick(self) -> Coroutine[None]:
        """Calls the decision module whenever it asked to be called, and at least once a second."""
        while True:
            self.looks_at = -math.inf  # running now, so `apply` need not wake it
            decided = self.facade.tick(self.loop.now())
            self.apply(decided)
            in_flight = sum(
                (pending.out is not None) + sum(isinstance(step, SendAttempt) for step in pending.steps)
                for pending in self.held.values()
            )
            check_invariant(
                in_flight == self.facade.in_flight(),
                "the module counts as many attempts in flight as there are",
            )
            self.on_tick()
            self.looks_at = min(decided.next_timer_at, self.loop.now() + 1.0)
            yield self.looks_at

    # The endpoint list.

    def list_changed(
        self, lines: tuple[ListedEndpoint, ...], addresses: dict[str, Address], whole: bool, stale: bool
    ) -> None:
        """Applies a change of the endpoint list.

        `whole`: the lines are the complete list, so that other endpoints are removed. `stale`: it was stored
        earlier and has not been confirmed by discovery.
        """
        directory = self.directory
        before = directory.addresses
        lines = (*lines, *superseded(lines, addresses, directory))
        gone = {line.id for line in lines if line.status is EndpointStatus.GONE}
        named = addresses if whole else {**before, **addresses}
        # Removed endpoints must be dropped: ids are not reused, so the mapping would grow without bound.
        directory.addresses = {
            endpoint_id: address for endpoint_id, address in named.items() if endpoint_id not in gone
        }
        for line in lines:
            # A restarted endpoint may be on another machine; connections to one that has vanished stay open
            # and silent.
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
        for endpoint_id, address in before.items():
            if directory.addresses.get(endpoint_id) != address:
                self.back.drop(endpoint_id, address)
        directory.started = {
            endpoint_id: since
            for endpoint_id, since in directory.started.items()
            if endpoint_id in directory.addresses
        }
        directory.draining = {
            endpoint_id: since
            for endpoint_id, since in directory.draining.items()
            if endpoint_id in directory.addresses
        }
        self.back.keep_only(directory.addresses)
        self.apply(self.facade.list_changed(self.loop.now(), lines, whole, stale))
        self.listed = self.listed or bool(lines) or not stale

    def leave_out(self, endpoint: str, out: bool) -> None:
        """Disables an endpoint, or enables it again, by an operator's order; in force on return."""
        if out:
            self.directory.left_out.add(endpoint)
            # Wakes attempts that are still connecting, so that they check again before their first byte.
            for held in self.held.values():
                if held.out is not None:
                    held.task.wake()
        else:
            self.directory.left_out.discard(endpoint)
        if endpoint in self.directory.addresses:  # it may be restarted while disabled
            self.back.drop(endpoint, self.directory.addresses[endpoint])
        self.apply(self.facade.leave_out(self.loop.now(), endpoint, out))

    def peer_gone(self, who: str) -> None:
        """Discards what another sidecar reported."""
        self.facade.peer_gone(self.loop.now(), who)

    def list_failed(self) -> None:
        """Reports to the decision module that discovery failed."""
        self.apply(self.facade.list_failed(self.loop.now()))

    def answer_by(self, deadline: float) -> None:
        """Limits the expiry of every request, also of those in progress, to `deadline`.

        A request accepted with more time than the process has left would otherwise get no answer at all:
        the process would exit while it still waits for an endpoint.
        """
        self.last_answer = deadline
        for request_number, held in self.held.items():
            held.given.expires_at = min(held.given.expires_at, deadline)
            self.facade.answer_by(request_number, deadline)
        if deadline < math.inf:
            self.loop.spawn(self.wake_requests(deadline))

    def wake_requests(self, deadline: float) -> Coroutine[None]:
        """Wakes all requests in progress once that time has come."""
        while self.loop.now() < deadline:
            yield deadline
        for held in self.held.values():
            held.task.wake()

    # One request.

    def expiry(self, type_index: int, arrived_at: float, wait: float | None) -> float:
        """Returns when a request must be answered.

        `came` is when its last byte arrived, `wait` how many seconds its client waits, None if unstated.
        """
        longest = self.settings.expiries[type_index]
        wait = longest if wait is None else min(wait, longest)
        return min(arrived_at + wait - min(ANSWER_MARGIN, ANSWER_MARGIN_SHARE * wait), self.last_answer)

    def run(self, given: Given, gone: Callable[[], bool]) -> Coroutine[Final]:
        """Performs the steps that the decision module chooses, until there is a final answer."""
        task = self.loop.current
        assert task is not None
        self.taken += 1
        request_number = self.taken
        held = self.held[request_number] = PendingRequest(task, given)

        def client_left() -> bool:
            if not held.left and gone():
                held.left = True
                self.apply(self.facade.left(self.loop.now(), request_number))
            return held.left

        def cancel_before_sent() -> bool:
            # A retry decided in time may be written late, because its connection came up late or its
            # endpoint reads slowly. It is executed from its last byte on, when the deduplication window may
            # have passed, so it is given up.
            return (
                client_left() or held.called_off or self.loop.now() >= min(held.retry_until, self.last_answer)
            )

        def cancel_after_sent() -> bool:
            client_left()
            return held.called_off or self.loop.now() >= self.last_answer

        def started() -> None:
            if held.out is not None:
                self.apply(self.facade.response_started(self.loop.now(), request_number, held.out))

        def spent() -> None:
            self.facade.body_consumed(self.loop.now(), request_number)

        def written() -> float:
            if given.expiry is not None and held.out is not None:
                given.expires_at = given.expiry()
                timeout, decided = self.facade.body_sent(
                    self.loop.now(), request_number, held.out, given.expires_at
                )
                self.apply(decided)
                return min(self.loop.now() + timeout, given.expires_at)
            return given.expires_at

        given.spent, given.written = spent, written
        try:
            # The client may have left while the request waited behind another on its connection; it then uses
            # no budget and no place in the decision module.
            if gone():
                return Left()
            self.apply(
                self.facade.start_request(
                    self.loop.now(),
                    request_number,
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
                check_invariant(not held.steps, "a request has one pending step at a time")
                if isinstance(step, Reject):
                    return Rejected(step.retry_after, held.ran)
                if isinstance(step, Fail):
                    return Terminated()
                held.out, sent_at = step.number, self.loop.now()
                address = self.directory.addresses.get(step.endpoint)
                if address is None or step.endpoint in self.directory.left_out:
                    result = Forwarded(AttemptOutcome.NOT_SENT)
                else:
                    until = min(self.loop.now() + step.timeout, given.expires_at)
                    given.attempted = True
                    result = yield from self.back.forward(
                        given, step.endpoint, address, until, cancel_before_sent, cancel_after_sent, started
                    )
                if result.outcome is not AttemptOutcome.SERVED and not result.broke:
                    client_left()  # or the module would choose another endpoint for a client that has left
                held.out, held.called_off = None, False
                if not held.ran and result.outcome not in NEVER_EXECUTED:
                    held.ran = True
                    span = self.settings.memory_spans[given.type_index]
                    held.retry_until = min(held.retry_until, sent_at + span)
                self.apply(
                    self.facade.attempt_ended(
                        self.loop.now(),
                        request_number,
                        step.number,
                        result.outcome,
                        held.left or result.broke,
                        result.lag,
                    )
                )
                if held.left or result.broke:
                    return Left() if held.left else Broke()
                if result.outcome is AttemptOutcome.SERVED:
                    return Finished(result.payload)
            check_invariant(False, "a request is in progress with no attempt sent")
            return Terminated()
        except Exception as fault:  # a defect: the client still gets an answer, the module drops it
            self.loop.on_fault(fault)
            self.apply(self.facade.left(self.loop.now(), request_number))
            if held.out is not None:
                self.facade.attempt_ended(
                    self.loop.now(), request_number, held.out, AttemptOutcome.CANCELLED, over=True
                )
            return Terminated()
        finally:
            del self.held[request_number]
            # These refer to the request itself. Its body would stay in memory until the cyclic garbage
            # collector runs, which is after thousands of requests.
            given.spent, given.written = nothing, never
