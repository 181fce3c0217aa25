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

from ..decisions.operation import learnt, left_out
from ..host import Facts, Host, Listed, Outcome
from ..logic import Balancer
from ..must import must
from ..protocol import peers
from ..values import dataclass, field

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
    close_idle: list[str] = field(default_factory=list)  # endpoints
    told: list[str] = field(default_factory=list)  # messages to the other sidecars
    watch: bool = False  # the list is to be watched from now on
    wake_at: float = math.inf  # when `tick` wants to be called next


class Decisions(Protocol):
    """What decides: the module, or in the lab a baseline in its place."""

    @property
    def forwards(self) -> Sized: ...

    def list_changed(self, now: float, lines: Collection[Listed], whole: bool, stale: bool) -> None: ...

    def list_failed(self, now: float) -> None: ...

    def exchange_arrived(
        self,
        now: float,
        id: int,
        type_index: int,
        key: str | None,
        expires_at: float,
        repeat: bool = False,
        coming: bool = False,
        tenant: int | None = None,
    ) -> None: ...

    def body_spent(self, now: float, id: int) -> None: ...

    def forward_written(self, now: float, id: int, number: int, expires_at: float) -> float: ...

    def answer_started(self, now: float, id: int, number: int, elapsed: float) -> None: ...

    def forward_ended(
        self, now: float, id: int, number: int, over: bool, outcome: Outcome, lag: float = 0.0
    ) -> None: ...

    def client_left(self, now: float, id: int) -> None: ...

    def woken(self, now: float, token: str) -> None: ...


class Facade:
    """The module's host."""

    def __init__(self, now: float, make: Callable[[Host], Decisions]) -> None:
        self.now = now
        self.wakes: list[tuple[float, int, str]] = []
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
        self.balancer.exchange_arrived(now, exchange, type_index, key, expires_at, repeat, coming, tenant)
        return self.taken()

    def spent(self, now: float, exchange: int) -> None:
        """A part of its body has gone to an endpoint and is kept nowhere: it cannot go again."""
        self.balancer.body_spent(now, exchange)

    def written(self, now: float, exchange: int, number: int, expires_at: float) -> tuple[float, Did]:
        """A body that came meanwhile is whole at the endpoint: its times begin; how long to wait."""
        self.now = now
        return self.balancer.forward_written(now, exchange, number, expires_at), self.taken()

    def answer_by(self, exchange: int, deadline: float) -> None:
        """Its client is answered by then, however long it would wait."""
        if isinstance(self.balancer, Balancer) and exchange in self.balancer.exchanges:
            held = self.balancer.exchanges[exchange]
            held.expires_at = min(held.expires_at, deadline)

    def started(self, now: float, exchange: int, number: int) -> Did:
        """The client has a part of a forward's answer: what follows is no wait at the endpoint."""
        self.now = now
        self.balancer.answer_started(now, exchange, number, 0.0)
        return self.taken()

    def report(
        self, now: float, exchange: int, number: int, outcome: Outcome, over: bool = False, lag: float = 0.0
    ) -> Did:
        """How a forward ended, `lag` ago; `over` where the client has its answer or has left."""
        self.now = now
        if outcome is Outcome.SERVED or over:
            self.sent.pop(exchange, None)
        self.balancer.forward_ended(now, exchange, number, over, outcome, lag)
        return self.taken()

    def left(self, now: float, exchange: int) -> Did:
        self.now = now
        self.sent.pop(exchange, None)
        self.balancer.client_left(now, exchange)
        return self.taken()

    def list_changed(self, now: float, lines: Collection[Listed], whole: bool, stale: bool) -> Did:
        self.now = now
        self.balancer.list_changed(now, lines, whole, stale)
        return self.taken()

    def list_failed(self, now: float) -> Did:
        self.now = now
        self.balancer.list_failed(now)
        return self.taken()

    def leave_out(self, now: float, endpoint: str, out: bool) -> Did:
        """An order of the staff: the endpoint gets nothing from now on, or may again."""
        self.now = now
        if isinstance(self.balancer, Balancer):
            (left_out.disable if out else left_out.enable)(self.balancer, now, endpoint)
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
            peers.hear(self.balancer.pool, now, who, message)
        return self.taken()

    def peer_gone(self, now: float, who: str) -> None:
        """Guards against word of a sidecar that is known to be dead, for as long as it would last."""
        if isinstance(self.balancer, Balancer):
            self.balancer.pool.gone(now, who)

    def tick(self, now: float) -> Did:
        """Lets the module do what it set itself to do by now."""
        self.now = now
        while self.wakes and self.wakes[0][0] <= now:
            self.balancer.woken(now, heapq.heappop(self.wakes)[2])
        return self.taken()

    def in_flight(self) -> int:
        """Forwards that the module believes to be out."""
        return len(self.balancer.forwards)

    def taken(self) -> Did:
        did, self.did = self.did, Did()
        did.wake_at = self.wakes[0][0] if self.wakes else math.inf
        return did

    # The module's side.

    def forward(self, exchange: int, endpoint: str, patience: float) -> None:
        must(exchange in self.sent, "a forward only for an exchange without a final answer")
        number = self.sent.get(exchange, 0)
        self.sent[exchange] = number + 1
        self.did.steps.append((exchange, SendThere(endpoint, number, patience)))

    def reject(self, exchange: int, hold_off: float) -> None:
        self.final(exchange, Reject(hold_off))

    def terminate(self, exchange: int) -> None:
        self.final(exchange, Terminate())

    def final(self, exchange: int, step: Step) -> None:
        must(self.sent.pop(exchange, None) is not None, "one final answer for each exchange")
        self.did.steps.append((exchange, step))

    def call_off(self, exchange: int, number: int) -> None:
        self.did.called_off.append((exchange, number))

    def wake(self, delay: float, token: str) -> None:
        self.wakes_set += 1
        heapq.heappush(self.wakes, (self.now + delay, self.wakes_set, token))

    def watch_list(self) -> None:
        self.did.watch = True

    ask_list = watch_list

    def probe(self, endpoint: str) -> None:
        must(False, "no probes: the trials are real exchanges")

    def close_idle(self, endpoint: str) -> None:
        self.did.close_idle.append(endpoint)

    def tell_held(self, began: Sequence[int], ended: Sequence[int], whole: bool) -> None:
        self.did.told.append(peers.encode_held(began, ended, whole))

    def tell_facts(self, facts: Facts) -> None:
        self.did.told.append(peers.encode_facts(facts))

    def log(self, line: str) -> None:
        log.info(line)
