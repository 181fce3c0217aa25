"""One sidecar's two cores and its canary in virtual time, with endpoints that answer as they are told."""

from __future__ import annotations

import math
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import msgspec

from ..balancer.host import AttemptOutcome, EndpointStatus, ListedEndpoint
from ..decisions.canary.terms import point
from ..decisions.shared.registers import RegisterStore
from ..program.fleet.canary import CanaryPart, CanaryRun, make_split_core
from ..routing.core import Final, Forwarded, Given
from ..transport.loop import Coroutine
from .virtual import Clock
from .virtual_sites import VirtualLoop


def line(n: int, state: EndpointStatus = EndpointStatus.READY, kind: int = 0) -> ListedEndpoint:
    return ListedEndpoint(f"e{n}", 0, 0, 1.0, state, None, kind)


class FakeBack:
    """Endpoints that answer as they are told, after so many seconds."""

    def __init__(self, pair: Pair) -> None:
        self.pair = pair

    def forward(
        self, given: Given, endpoint: str, address: Any, until: float, before: Any, after: Any, started: Any
    ) -> Coroutine[Forwarded]:
        loop, (outcome, takes) = self.pair.loop, self.pair.how(endpoint)
        self.pair.sent.append((given.key or "", endpoint))
        ends = loop.now() + takes
        while loop.now() < ends:
            yield ends
        return Forwarded(outcome, endpoint)

    def drop(self, endpoint: str, address: Any) -> None: ...

    def keep_only(self, endpoints: Any) -> None: ...


TYPES = [
    {"name": name, "effect": effect, "promised-time": 600.0, "expiry": 2000.0, "memory-span": 150.0}
    for name, effect in (("read", "read_like"), ("submit", "non_idempotent"), ("print", "idempotency_key"))
]


class Pair:
    """A sidecar's cores for one table, in virtual time; `start`ed, it is the only member."""

    def __init__(
        self,
        how: Callable[[str], tuple[AttemptOutcome, float]],
        limits: dict[str, Any] | None = None,
        forwards: int = 3,
        peers: bool = False,
        **table: Any,
    ) -> None:
        self.clock, self.how = Clock(), how
        self.loop = VirtualLoop(self.clock, self.fault)
        self.sent: list[tuple[str, str]] = []
        raw = {
            "zone": 0,
            "peers-total": 1,
            "traffic-types": TYPES,
            "policy-limits": {"max-forwards": forwards, "peers": peers},
            "contract": {
                "fall-multiple": 2.5,
                "tip-after": 3000.0,
                "cold-from": 0.15,
                "cold": 24000.0,
                "ask-within": 10000.0,
                **(limits or {}),
            },
        }
        settings = SimpleNamespace(
            type_names=("read", "submit", "print"),
            kinds=("fast", "new"),
            memory_spans=(math.inf, math.inf, 0.15),
        )
        config: Any = SimpleNamespace(seed=1, raw_settings=raw, settings=settings)
        self.config = config
        self.part = msgspec.convert(
            {"name": "c", "stages": [{"part": 0.5, "time": 1000, "exchanges": 10}], **table}, type=CanaryPart
        )
        self.core = make_split_core(
            self.loop, self.config, [self.part], lambda directory: FakeBack(self), lambda: None, lambda: None
        )
        members = SimpleNamespace(own_name="me", own_incarnation=1, members=lambda: [])
        self.cells = RegisterStore("me", 1)
        ground: Any = SimpleNamespace(
            loop=self.loop, config=self.config, members=members, cells=self.cells, folder=None
        )
        self.run = CanaryRun(ground, [self.part], wall=lambda: 5.0)
        self.taker = self.run.taker(self.core)
        self.tick()
        self.list_now(tuple(line(n, kind=n % 2) for n in range(6)))
        self.go(1.0)

    def fault(self, fault: BaseException) -> None:
        raise fault

    def tick(self) -> None:
        self.run.tick(self.loop.now())
        self.clock.at(self.loop.now() + 0.25, self.tick)

    def list_now(self, lines: tuple[ListedEndpoint, ...], whole: bool = True) -> None:
        self.core.list_changed(
            lines,
            {ln.id: ("127.0.0.1", 1) for ln in lines if ln.status is not EndpointStatus.GONE},
            whole,
            False,
        )

    def go(self, seconds: float) -> None:
        self.clock.env.run(until=self.loop.now() + seconds)

    def start(self) -> None:
        answer = self.run.call(self.loop.now(), "POST", ("canaries", "c", "start"), {})
        assert answer is not None and answer.status == 200
        self.go(4.0)

    def exchange(self, key: str, type_index: int = 0) -> Final:
        finals: list[Final] = []

        def one() -> Coroutine[None]:
            given = Given(type_index, key, None, False, self.loop.now() + 2.0, None)
            finals.append((yield from self.taker.run(given, lambda: False)))

        self.loop.spawn(one())
        self.go(2.5)
        return finals[0]

    def in_canary(self, inside: bool = True) -> list[str]:
        return [key for key in (f"k{n}" for n in range(200)) if (point("c", key) < 0.5) is inside][:20]
