"""The decision module in blocking style: pick, report, tick.

Each call gives back what the module did within it. The network code acts on these answers and sees nothing
else of the module.
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
class SendThere:
    endpoint: str
    number: int  # forwards of one exchange count 0, 1, 2 ...
    patience: float


@dataclass(frozen=True, slots=True)
class Reject:
    hold_off: float


@dataclass(frozen=True, slots=True)
class Terminate:
    pass


Step = SendThere | Reject | Terminate


@dataclass(slots=True)
class Did:
    """All that the module did within one call."""

    steps: list[tuple[int, Step]] = field(default_factory=list)  # by exchange
    called_off: list[tuple[int, int]] = field(default_factory=list)  # exchange and number of the forward
    told: list[str] = field(default_factory=list)  # messages to the other sidecars
    watch: bool = False  # the list is to be watched from now on
    wake_at: float = math.inf  # when `tick` wants to be called next


class Decisions(Protocol):
    """What decides: the balancer, or in the lab a baseline in its place."""

    @property
    def attempts(self) -> Sized: ...

    def on_list_changed(self, now: float, update: EndpointListUpdate) -> None: ...

    def on_list_failed(self) -> None: ...

    def on_request_arrived(self, now: float, incoming: IncomingRequest) -> None: ...

    def on_body_consumed(self, request_id: int) -> None: ...

    def on_body_sent(self, now: float, request_id: int, number: int, deadline: float) -> float: ...

    def on_response_started(self, now: float, request_id: int, number: int) -> None: ...

    def on_attempt_ended(self, now: float, end: AttemptEnd) -> None: ...

    def on_client_disconnected(self, request_id: int) -> None: ...

    def on_timer(self, now: float, timer: Timer) -> None: ...


class Facade:
    """The module's host."""

    def __init__(self, now: float, make: Callable[[BalancerHost], Decisions]) -> None:
        self.now = now
        self.wakes: list[tuple[float, int, Timer]] = []
        self.wakes_set = 0
        self.sent: dict[int, int] = {}  # forwards by exchange, for those without a final answer
        self.did = Did()
        self.balancer = make(self)

    def pick(
        self,
        now: float,
        exchange: int,
        type_index: int,
        key: str | None,
        expires_at: float,
        repeat: bool,
        coming: bool = False,
        tenant: int | None = None,
    ) -> Did:
        """`coming`: its body is not whole yet, and each forward is told by `written` when it is."""
        self.now, self.sent[exchange] = now, 0
        incoming = IncomingRequest(exchange, type_index, key, expires_at, repeat, coming, tenant)
        self.balancer.on_request_arrived(now, incoming)
        return self.taken()

    def spent(self, now: float, exchange: int) -> None:
        """A part of its body has gone to an endpoint and is kept nowhere: it cannot go again."""
        self.balancer.on_body_consumed(exchange)

    def written(self, now: float, exchange: int, number: int, expires_at: float) -> tuple[float, Did]:
        """A body that came meanwhile is whole at the endpoint: its times begin; how long to wait."""
        self.now = now
        return self.balancer.on_body_sent(now, exchange, number, expires_at), self.taken()

    def answer_by(self, exchange: int, deadline: float) -> None:
        """Its client is answered by then, however long it would wait."""
        if isinstance(self.balancer, Balancer):
            self.balancer.shorten_deadline(exchange, deadline)

    def started(self, now: float, exchange: int, number: int) -> Did:
        """The client has a part of a forward's answer: what follows is no wait at the endpoint."""
        self.now = now
        self.balancer.on_response_started(now, exchange, number)
        return self.taken()

    def report(
        self,
        now: float,
        exchange: int,
        number: int,
        outcome: AttemptOutcome,
        over: bool = False,
        lag: float = 0.0,
    ) -> Did:
        """How a forward ended, `lag` ago; `over` where the client has its answer or has left."""
        self.now = now
        if outcome is AttemptOutcome.SERVED or over:
            self.sent.pop(exchange, None)
        self.balancer.on_attempt_ended(now, AttemptEnd(exchange, number, outcome, over, lag))
        return self.taken()

    def left(self, now: float, exchange: int) -> Did:
        self.now = now
        self.sent.pop(exchange, None)
        self.balancer.on_client_disconnected(exchange)
        return self.taken()

    def list_changed(self, now: float, lines: Collection[ListedEndpoint], whole: bool, stale: bool) -> Did:
        self.now = now
        self.balancer.on_list_changed(now, EndpointListUpdate(tuple(lines), whole, cached=stale))
        return self.taken()

    def list_failed(self, now: float) -> Did:
        self.now = now
        self.balancer.on_list_failed()
        return self.taken()

    def leave_out(self, now: float, endpoint: str, out: bool) -> Did:
        """An order of the staff: the endpoint gets nothing from now on, or may again."""
        self.now = now
        if isinstance(self.balancer, Balancer):
            if out:
                self.balancer.disable_endpoint(endpoint)
            else:
                self.balancer.enable_endpoint(now, endpoint)
        return self.taken()

    def give(self, now: float) -> dict[str, Any]:
        """What the module has learnt, in plain values."""
        return learnt.give(self.balancer, now) if isinstance(self.balancer, Balancer) else {}

    def take(self, now: float, given: dict[str, Any]) -> Did:
        """Goes on from what another process gave. Raises ValueError, and then nothing has changed."""
        self.now = now
        try:
            if isinstance(self.balancer, Balancer):
                learnt.take(self.balancer, now, given)
        except (KeyError, TypeError, AttributeError) as fault:
            raise ValueError(f"{type(fault).__name__} {fault}") from None
        return self.taken()

    def heard(self, now: float, who: str, message: str) -> Did:
        """Another sidecar's message. Raises ValueError where it is none."""
        self.now = now
        if isinstance(self.balancer, Balancer):
            peers.receive(self.balancer.peer_load, now, who, message)
        return self.taken()

    def peer_gone(self, now: float, who: str) -> None:
        """Guards against word of a sidecar that is known to be dead, for as long as it would last."""
        if isinstance(self.balancer, Balancer):
            self.balancer.peer_load.on_peer_gone(now, who)

    def tick(self, now: float) -> Did:
        """Lets the module do what it set itself to do by now."""
        self.now = now
        while self.wakes and self.wakes[0][0] <= now:
            self.balancer.on_timer(now, heapq.heappop(self.wakes)[2])
        return self.taken()

    def in_flight(self) -> int:
        """Forwards that the module believes to be out."""
        return len(self.balancer.attempts)

    def taken(self) -> Did:
        did, self.did = self.did, Did()
        did.wake_at = self.wakes[0][0] if self.wakes else math.inf
        return did

    # The balancer's host.

    def send_attempt(self, request_id: int, endpoint_id: str, timeout: float) -> None:
        check_invariant(request_id in self.sent, "a forward only for an exchange without a final answer")
        number = self.sent.get(request_id, 0)
        self.sent[request_id] = number + 1
        self.did.steps.append((request_id, SendThere(endpoint_id, number, timeout)))

    def reject(self, request_id: int, retry_after: float) -> None:
        self.final(request_id, Reject(retry_after))

    def fail(self, request_id: int) -> None:
        self.final(request_id, Terminate())

    def final(self, exchange: int, step: Step) -> None:
        check_invariant(self.sent.pop(exchange, None) is not None, "one final answer for each exchange")
        self.did.steps.append((exchange, step))

    def cancel_attempt(self, request_id: int, number: int) -> None:
        self.did.called_off.append((request_id, number))

    def schedule_timer(self, delay: float, timer: Timer) -> None:
        self.wakes_set += 1
        heapq.heappush(self.wakes, (self.now + delay, self.wakes_set, timer))

    def watch_endpoint_list(self) -> None:
        self.did.watch = True

    def publish_load(self, started: Sequence[int], ended: Sequence[int], complete: bool) -> None:
        self.did.told.append(peers.encode_load(started, ended, complete))

    def publish_learned_state(self, state: LearnedState) -> None:
        self.did.told.append(peers.encode_learned_state(state))

    def log(self, line: str) -> None:
        log.info(line)
