"""A facade of the balancer in blocking style: each call returns the actions that the balancer took in it.

The network code carries out these actions and uses nothing else of the balancer.
"""

from __future__ import annotations

import heapq
import logging
import math
from collections.abc import Callable, Collection, Sequence, Sized
from typing import Any, Protocol

from ..balancer.balancer import Balancer
from ..balancer.host import (
    AttemptEnd,
    AttemptOutcome,
    BalancerHost,
    EndpointListUpdate,
    IncomingRequest,
    LearnedState,
    ListedEndpoint,
    Timer,
)
from ..decisions.operation import learnt
from ..invariants import check_invariant
from ..lazy_dataclasses import dataclass, field
from ..protocol import peers

log = logging.getLogger("rainspindle.decisions")


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Sends an attempt to an endpoint."""

    endpoint: str
    number: int  # of the attempt within the request, from 0
    timeout: float  # seconds


@dataclass(frozen=True, slots=True)
class Reject:
    """Answers that the request had no effect and may be retried after some time."""

    retry_after: float  # seconds


@dataclass(frozen=True, slots=True)
class Fail:
    """Answers that the request failed and may have been executed."""


Step = SendAttempt | Reject | Fail


@dataclass(slots=True)
class Effects:
    """The actions that the balancer took in one call."""

    steps: list[tuple[int, Step]] = field(default_factory=list)  # with request ids
    called_off: list[tuple[int, int]] = field(default_factory=list)  # request ids and attempt numbers
    peer_messages: list[str] = field(default_factory=list)  # to be sent to the other sidecars
    watch: bool = False  # whether to start watching the endpoint list
    next_timer_at: float = math.inf  # when `tick` must be called next


class BalancerInterface(Protocol):
    """The methods of what decides: the balancer, or a baseline that the lab uses in its place."""

    @property
    def attempts(self) -> Sized:
        """The attempts in flight."""

    def on_list_changed(self, now: float, update: EndpointListUpdate) -> None:
        """Applies an update of the endpoint list."""

    def on_list_failed(self) -> None:
        """Handles a failed request for the endpoint list."""

    def on_request_arrived(self, now: float, incoming: IncomingRequest) -> None:
        """Accepts a request."""

    def on_body_consumed(self, request_id: int) -> None:
        """Records that a part of the body is no longer kept, so that no further attempt is possible."""

    def on_body_sent(self, now: float, request_id: int, number: int, deadline: float) -> float:
        """Records that the endpoint has the whole body; returns the attempt's timeout in seconds."""

    def on_response_started(self, now: float, request_id: int, number: int) -> None:
        """Records that a response has begun to be forwarded to the client."""

    def on_attempt_ended(self, now: float, end: AttemptEnd) -> None:
        """Records how an attempt ended."""

    def on_client_disconnected(self, request_id: int) -> None:
        """Drops a request whose client has disconnected."""

    def on_timer(self, now: float, timer: Timer) -> None:
        """Handles a timer that has fired."""


class Facade:
    """The balancer's host: collects the actions of the balancer until the current call returns them."""

    def __init__(self, now: float, make: Callable[[BalancerHost], BalancerInterface]) -> None:
        """Creates the balancer by calling `make` with this facade as its host."""
        self.now = now
        self.timers: list[tuple[float, int, Timer]] = []  # a heap; the serial number orders equal times
        self.timer_serial = 0
        self.attempt_counts: dict[int, int] = {}  # by request id, for requests without a final response
        self.effects = Effects()  # since the last call returned
        self.balancer = make(self)

    def start_request(
        self,
        now: float,
        request_id: int,
        class_index: int,
        key: str | None,
        deadline: float,
        is_client_retry: bool,
        body_incomplete: bool = False,
        tenant: int | None = None,
    ) -> Effects:
        """Accepts a request.

        Args:
            now: The current time.
            request_id: The request's id, unique among the requests in flight.
            class_index: The index of its traffic class in the settings.
            key: The key that failures are counted by; None for a request without one.
            deadline: The time at which the client gives up.
            is_client_retry: Whether the client has sent it before.
            body_incomplete: Whether its body is still being received; each attempt must then be reported
                once its endpoint has the whole body.
            tenant: The index of its tenant in the settings, or None if unknown.
        """
        self.now, self.attempt_counts[request_id] = now, 0
        incoming = IncomingRequest(
            request_id, class_index, key, deadline, is_client_retry, body_incomplete, tenant
        )
        self.balancer.on_request_arrived(now, incoming)
        return self.taken()

    def body_consumed(self, now: float, request_id: int) -> None:
        """Records that a part of the body is no longer kept, so that no further attempt is possible."""
        self.balancer.on_body_consumed(request_id)

    def body_sent(self, now: float, request_id: int, number: int, deadline: float) -> tuple[float, Effects]:
        """Records that the endpoint has the whole body; returns the attempt's timeout counted from now."""
        self.now = now
        return self.balancer.on_body_sent(now, request_id, number, deadline), self.taken()

    def answer_by(self, request_id: int, deadline: float) -> None:
        """Makes the request's deadline `deadline` if that is earlier."""
        if isinstance(self.balancer, Balancer):
            self.balancer.shorten_deadline(request_id, deadline)

    def response_started(self, now: float, request_id: int, number: int) -> Effects:
        """Records that a response has begun to be forwarded; later delays are not the endpoint's."""
        self.now = now
        self.balancer.on_response_started(now, request_id, number)
        return self.taken()

    def attempt_ended(
        self,
        now: float,
        request_id: int,
        number: int,
        outcome: AttemptOutcome,
        over: bool = False,
        lag: float = 0.0,
    ) -> Effects:
        """Records how an attempt ended.

        Args:
            now: The current time.
            request_id: The id of the request.
            number: The attempt's number within the request, from 0.
            outcome: How the attempt ended.
            over: Whether the client has its response or has disconnected.
            lag: The seconds for which the response was unread because the sidecar was short of CPU.
        """
        self.now = now
        if outcome is AttemptOutcome.SERVED or over:
            self.attempt_counts.pop(request_id, None)
        self.balancer.on_attempt_ended(now, AttemptEnd(request_id, number, outcome, over, lag))
        return self.taken()

    def left(self, now: float, request_id: int) -> Effects:
        """Drops a request whose client has disconnected."""
        self.now = now
        self.attempt_counts.pop(request_id, None)
        self.balancer.on_client_disconnected(request_id)
        return self.taken()

    def list_changed(
        self, now: float, lines: Collection[ListedEndpoint], whole: bool, stale: bool
    ) -> Effects:
        """Applies an update of the endpoint list.

        Args:
            now: The current time.
            lines: The listed endpoints, or those that changed.
            whole: Whether endpoints without an entry are gone.
            stale: Whether this is an old copy, which does not show that the list service is available.
        """
        self.now = now
        self.balancer.on_list_changed(now, EndpointListUpdate(tuple(lines), whole, cached=stale))
        return self.taken()

    def list_failed(self, now: float) -> Effects:
        """Handles a failed request for the endpoint list."""
        self.now = now
        self.balancer.on_list_failed()
        return self.taken()

    def leave_out(self, now: float, endpoint: str, out: bool) -> Effects:
        """Applies an operator's command: disables the endpoint if `out`, else enables it again."""
        self.now = now
        if isinstance(self.balancer, Balancer):
            if out:
                self.balancer.disable_endpoint(endpoint)
            else:
                self.balancer.enable_endpoint(now, endpoint)
        return self.taken()

    def give(self, now: float) -> dict[str, Any]:
        """Returns what the balancer has learned, as plain values; empty for a baseline."""
        return learnt.give(self.balancer, now) if isinstance(self.balancer, Balancer) else {}

    def take(self, now: float, given: dict[str, Any]) -> Effects:
        """Restores learned state that another process returned from `give`.

        Raises:
            ValueError: The state is invalid; nothing has changed.
        """
        self.now = now
        try:
            if isinstance(self.balancer, Balancer):
                learnt.take(self.balancer, now, given)
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"{type(error).__name__} {error}") from None
        return self.taken()

    def receive_message(self, now: float, who: str, message: str) -> Effects:
        """Applies a message of the sidecar `who`.

        Raises:
            ValueError: It is not a valid message of this release.
        """
        self.now = now
        if isinstance(self.balancer, Balancer):
            peers.receive(self.balancer.peer_load, now, who, message)
        return self.taken()

    def peer_gone(self, now: float, who: str) -> None:
        """Drops the reports of a dead sidecar, which would otherwise count until they expire."""
        if isinstance(self.balancer, Balancer):
            self.balancer.peer_load.on_peer_gone(now, who)

    def tick(self, now: float) -> Effects:
        """Fires the timers that are due."""
        self.now = now
        while self.timers and self.timers[0][0] <= now:
            self.balancer.on_timer(now, heapq.heappop(self.timers)[2])
        return self.taken()

    def in_flight(self) -> int:
        """Returns the number of attempts that the balancer counts as in flight."""
        return len(self.balancer.attempts)

    def taken(self) -> Effects:
        """Returns the actions taken since the last call, and starts a new collection."""
        effects, self.effects = self.effects, Effects()
        effects.next_timer_at = self.timers[0][0] if self.timers else math.inf
        return effects

    # The interface BalancerHost.

    def send_attempt(self, request_id: int, endpoint_id: str, timeout: float) -> None:
        """Adds an attempt to the actions."""
        check_invariant(
            request_id in self.attempt_counts, "a forward only for an exchange without a final answer"
        )
        number = self.attempt_counts.get(request_id, 0)
        self.attempt_counts[request_id] = number + 1
        self.effects.steps.append((request_id, SendAttempt(endpoint_id, number, timeout)))

    def reject(self, request_id: int, retry_after: float) -> None:
        """Adds a rejection to the actions."""
        self.finish(request_id, Reject(retry_after))

    def fail(self, request_id: int) -> None:
        """Adds a failure response to the actions."""
        self.finish(request_id, Fail())

    def finish(self, request_id: int, step: Step) -> None:
        """Adds a final response to the actions; the request gets no further attempts."""
        check_invariant(
            self.attempt_counts.pop(request_id, None) is not None, "one final answer for each exchange"
        )
        self.effects.steps.append((request_id, step))

    def cancel_attempt(self, request_id: int, number: int) -> None:
        """Adds a cancellation to the actions."""
        self.effects.called_off.append((request_id, number))

    def schedule_timer(self, delay: float, timer: Timer) -> None:
        """Schedules a timer, which `tick` fires."""
        self.timer_serial += 1
        heapq.heappush(self.timers, (self.now + delay, self.timer_serial, timer))

    def watch_endpoint_list(self) -> None:
        """Adds the start of the list watch to the actions."""
        self.effects.watch = True

    def publish_load(self, started: Sequence[int], ended: Sequence[int], complete: bool) -> None:
        """Adds a load message to the actions."""
        self.effects.peer_messages.append(peers.encode_load(started, ended, complete))

    def publish_learned_state(self, state: LearnedState) -> None:
        """Adds a message with the learned state to the actions."""
        self.effects.peer_messages.append(peers.encode_learned_state(state))

    def log(self, line: str) -> None:
        """Logs a line of the balancer."""
        log.info(line)
