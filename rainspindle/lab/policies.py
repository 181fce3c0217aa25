"""Plain policies as baselines: random, round robin, least outstanding, plain hash.

Each takes the module's place behind the facade and keeps the same rules on repeats, but for the cold one.
What fails goes to another endpoint as long as its traffic type permits; nothing is learnt from failures.
"""

from __future__ import annotations

import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

from ..balancer.host import (
    NEVER_EXECUTED,
    AttemptEnd,
    AttemptOutcome,
    BalancerHost,
    EndpointListUpdate,
    EndpointStatus,
    Idempotency,
    IncomingRequest,
    ListedEndpoint,
    Timer,
    TrafficClass,
)


@dataclass(slots=True)
class Asking:
    type: TrafficClass
    key: str
    promised_at: float
    expires_at: float
    tried: list[str] = field(default_factory=list)
    may_have_run: bool = False


class Baseline:
    LIST_PAUSE = 0.5

    def __init__(
        self,
        host: BalancerHost,
        seed: int,
        policy: str,
        types: list[TrafficClass],
        max_forwards: int,
        hold_off: float,
    ) -> None:
        self.host, self.types, self.max_forwards, self.hold_off = host, types, max_forwards, hold_off
        self.random = random.Random(seed)
        self.choose: Callable[[Asking, list[str]], str] = getattr(self, policy)
        self.lines: dict[str, ListedEndpoint] = {}
        self.ready: list[str] = []
        self.out: dict[str, int] = {}
        self.attempts: dict[tuple[int, int], str] = {}
        self.asking: dict[int, Asking] = {}
        self.turn = self.random.randrange(1 << 16)
        host.watch_endpoint_list()

    # Whom to send to, of those not yet tried.

    def random_(self, x: Asking, among: list[str]) -> str:
        return self.random.choice(among)

    def round_robin(self, x: Asking, among: list[str]) -> str:
        self.turn += 1
        return among[self.turn % len(among)]

    def least_outstanding(self, x: Asking, among: list[str]) -> str:
        return min(among, key=lambda e: (self.out.get(e, 0), self.random.random()))

    def plain_hash(self, x: Asking, among: list[str]) -> str:
        return max(among, key=lambda e: zlib.crc32(f"{e}|{x.key}".encode()))

    # What happens.

    def on_list_changed(self, now: float, update: EndpointListUpdate) -> None:
        if update.complete:
            self.lines.clear()
        self.lines.update({line.id: line for line in update.lines})
        self.renew()

    def renew(self) -> None:
        self.ready = sorted(id for id, line in self.lines.items() if line.status is EndpointStatus.READY)

    def on_body_consumed(self, request_id: int) -> None:
        """The lab's bodies are short."""

    def on_body_sent(self, now: float, request_id: int, number: int, deadline: float) -> float:
        return deadline - now

    def on_list_failed(self) -> None:
        self.host.schedule_timer(self.LIST_PAUSE, Timer.LIST_RETRY)

    def on_timer(self, now: float, timer: Timer) -> None:
        self.host.watch_endpoint_list()

    def on_request_arrived(self, now: float, incoming: IncomingRequest) -> None:
        kind = self.types[incoming.class_index]
        key = incoming.key or str(self.random.random())
        x = Asking(kind, key, now + kind.latency_objective, incoming.deadline)
        self.asking[incoming.id] = x
        self.advance(incoming.id, x, now)

    def advance(self, id: int, x: Asking, now: float) -> None:
        among = [e for e in self.ready if e not in x.tried]
        if among and len(x.tried) < self.max_forwards and now < x.expires_at:
            endpoint = self.choose(x, among)
            patience = x.expires_at - now
            if x.type.idempotency is Idempotency.IDEMPOTENT and x.promised_at > now:
                patience = min(patience, x.promised_at - now)
            self.attempts[id, len(x.tried)] = endpoint
            x.tried.append(endpoint)
            self.out[endpoint] = self.out.get(endpoint, 0) + 1
            self.host.send_attempt(id, endpoint, patience)
            return
        del self.asking[id]
        if x.may_have_run and x.type.idempotency is not Idempotency.IDEMPOTENT:
            self.host.fail(id)
        else:
            self.host.reject(id, self.hold_off)

    def on_response_started(self, now: float, request_id: int, number: int) -> None:
        """The lab's answers come whole."""

    def on_attempt_ended(self, now: float, end: AttemptEnd) -> None:
        id = end.request_id
        endpoint = self.attempts.pop((id, end.number))
        self.out[endpoint] -= 1
        x = self.asking.get(id)
        if x is None:
            return
        x.may_have_run |= end.outcome not in NEVER_EXECUTED
        if end.request_closed or end.outcome is AttemptOutcome.SERVED:
            del self.asking[id]
        elif x.may_have_run and x.type.idempotency is not Idempotency.IDEMPOTENT:
            del self.asking[id]
            self.host.fail(id)
        else:
            self.advance(id, x, now)

    def on_client_disconnected(self, request_id: int) -> None:
        if self.asking.pop(request_id, None) is not None:
            for exchange, number in list(self.attempts):
                if exchange == request_id:
                    self.host.cancel_attempt(request_id, number)


def make_baseline(
    host: BalancerHost, policy: str, seed: int, types: list[TrafficClass], max_forwards: int, hold_off: float
) -> Baseline:
    return Baseline(host, seed, "random_" if policy == "random" else policy, types, max_forwards, hold_off)
