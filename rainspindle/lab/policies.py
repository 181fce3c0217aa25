"""Plain policies as baselines: random, round robin, least outstanding, plain hash.

Each takes the module's place behind the facade and keeps the same rules on repeats, but for the cold one.
What fails goes to another endpoint as long as its traffic type permits; nothing is learnt from failures.
"""

from __future__ import annotations

import random
import zlib
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from ..host import Effect, Host, Listed, Outcome, State, TrafficType
from ..logic import NEVER_RAN


@dataclass(slots=True)
class Asking:
    type: TrafficType
    key: str
    promised_at: float
    expires_at: float
    tried: list[str] = field(default_factory=list)
    may_have_run: bool = False


class Baseline:
    LIST_PAUSE = 0.5

    def __init__(
        self, host: Host, seed: int, policy: str, types: list[TrafficType], max_forwards: int, hold_off: float
    ) -> None:
        self.host, self.types, self.max_forwards, self.hold_off = host, types, max_forwards, hold_off
        self.random = random.Random(seed)
        self.choose: Callable[[Asking, list[str]], str] = getattr(self, policy)
        self.lines: dict[str, Listed] = {}
        self.ready: list[str] = []
        self.out: dict[str, int] = {}
        self.forwards: dict[tuple[int, int], str] = {}
        self.asking: dict[int, Asking] = {}
        self.turn = self.random.randrange(1 << 16)
        host.watch_list()

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

    def list_changed(self, now: float, lines: Collection[Listed], whole: bool, stale: bool) -> None:
        if whole:
            self.lines.clear()
        self.lines.update({line.id: line for line in lines})
        self.renew()

    def renew(self) -> None:
        self.ready = sorted(id for id, line in self.lines.items() if line.state is State.READY)

    def body_spent(self, now: float, id: int) -> None:
        """The lab's bodies are short."""

    def forward_written(self, now: float, id: int, number: int, expires_at: float) -> float:
        return expires_at - now

    def list_failed(self, now: float) -> None:
        self.host.wake(self.LIST_PAUSE, "list")

    def woken(self, now: float, token: str) -> None:
        self.host.watch_list()

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
    ) -> None:
        kind = self.types[type_index]
        x = Asking(kind, key or str(self.random.random()), now + kind.promised_time, expires_at)
        self.asking[id] = x
        self.advance(id, x, now)

    def advance(self, id: int, x: Asking, now: float) -> None:
        among = [e for e in self.ready if e not in x.tried]
        if among and len(x.tried) < self.max_forwards and now < x.expires_at:
            endpoint = self.choose(x, among)
            patience = x.expires_at - now
            if x.type.effect is Effect.RETRIABLE and x.promised_at > now:
                patience = min(patience, x.promised_at - now)
            self.forwards[id, len(x.tried)] = endpoint
            x.tried.append(endpoint)
            self.out[endpoint] = self.out.get(endpoint, 0) + 1
            self.host.forward(id, endpoint, patience)
            return
        del self.asking[id]
        if x.may_have_run and x.type.effect is not Effect.RETRIABLE:
            self.host.terminate(id)
        else:
            self.host.reject(id, self.hold_off)

    def answer_started(self, now: float, id: int, number: int, elapsed: float) -> None:
        """The lab's answers come whole."""

    def forward_ended(
        self, now: float, id: int, number: int, over: bool, outcome: Outcome, lag: float = 0.0
    ) -> None:
        endpoint = self.forwards.pop((id, number))
        self.out[endpoint] -= 1
        x = self.asking.get(id)
        if x is None:
            return
        x.may_have_run |= outcome not in NEVER_RAN
        if over or outcome is Outcome.SERVED:
            del self.asking[id]
        elif x.may_have_run and x.type.effect is not Effect.RETRIABLE:
            del self.asking[id]
            self.host.terminate(id)
        else:
            self.advance(id, x, now)

    def client_left(self, now: float, id: int) -> None:
        if self.asking.pop(id, None) is not None:
            for exchange, number in list(self.forwards):
                if exchange == id:
                    self.host.call_off(id, number)


def make_baseline(
    host: Host, policy: str, seed: int, types: list[TrafficType], max_forwards: int, hold_off: float
) -> Baseline:
    return Baseline(host, seed, "random_" if policy == "random" else policy, types, max_forwards, hold_off)
