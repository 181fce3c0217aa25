"""Runs from fixed seeds are the same, action by action, as before the code was renamed and split.

Each test runs a model in virtual time and compares a digest of all actions with a recorded one. Log lines
are excluded, since their wording may change. A digest changes only with a decision: then the commit that
changes it records the new one, with the reason.
"""

from __future__ import annotations

import hashlib
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

import orjson
import pytest

from rainspindle.balancer.host import Idempotency
from rainspindle.decisions.canary.terms import Step, Terms
from rainspindle.decisions.shared.registers import RegisterStore
from rainspindle.lab.canary_net import Net, Traffic
from rainspindle.lab.fleet.long.run import plan, play
from rainspindle.lab.fleet.virtual import World
from rainspindle.lab.listing_net import play as play_listing
from rainspindle.lab.walletday import WalletDay
from rainspindle.simhost.adapter import Adapter
from tests.fleet import SETTINGS

Message = dict[str, Any]


class Digest:
    """A digest of values in the order in which they are added."""

    def __init__(self) -> None:
        self.hash = hashlib.sha256()
        self.count = 0

    def add(self, *values: object) -> None:
        self.hash.update(repr(values).encode())
        self.count += 1

    def __str__(self) -> str:
        return f"{self.count} {self.hash.hexdigest()[:16]}"


@pytest.fixture
def written(monkeypatch: pytest.MonkeyPatch) -> Iterator[Digest]:
    """Returns a digest of every register value that any member writes."""
    digest, write = Digest(), RegisterStore.write

    def recorded(self: RegisterStore, now: float, name: str, value: bytes, *args: Any, **named: Any) -> Any:
        digest.add(now, self.own_name, name, value)
        return write(self, now, name, value, *args, **named)

    monkeypatch.setattr(RegisterStore, "write", recorded)
    yield digest


# The balancer, through the simulator's protocol.

READY, DRAINING, GONE = 2, 1, 0
FULL_LIST, FAILED_LIST, CHANGED_LIST = 2, 1, 3
POOL: Message = {
    **SETTINGS,
    "peers-total": 3,
    "zone": 1,
    "weight-kind": "live",
    "excess-value": 0.3,
    "tenants": [{"allowance-per-s": 4.0}, {}],
    "prices": {"peer": 0.02, "cross-zone": 0.02},
    "policy-limits": {**SETTINGS["policy-limits"], "peers": True},
}
BUDGET: Message = {
    **SETTINGS,
    "peers-total": 3,
    "weight-kind": "nominal",
    "contract": {**SETTINGS["contract"], "budget-free": 3.0, "repeat-ratio": 0.2, "counted-over": 10000.0},
    "policy-limits": {**SETTINGS["policy-limits"], "parallel-tries": True, "cancel": False},
}
WEIGHTED: Message = {
    **BUDGET,
    "contract": {**BUDGET["contract"], "budget-free": 1.0, "repeat-ratio": 0.05},
    "traffic-types": [
        {**kind, "value": value}
        for kind, value in zip(SETTINGS["traffic-types"], (1.0, 8.0, 3.0), strict=True)
    ],
}
PLAIN: Message = {**SETTINGS, "peers-total": 40}


class DecisionWorld:
    """Three sidecars with their endpoints, clients and endpoint list, in milliseconds of virtual time."""

    ENDPOINTS, END = 12, 90_000.0

    def __init__(self, settings: Message, seed: int, gap: float) -> None:
        self.settings, self.random, self.gap = settings, random.Random(seed), gap
        self.adapter, self.digest, self.actions = Adapter(), Digest(), Counter[str]()
        self.now, self.serial = 0.0, itertools.count()
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.names = ["s0", "s1", "s2"]
        self.attempts: dict[tuple[str, int, int], str] = {}
        self.counts: dict[tuple[str, int], int] = {}
        self.open: set[tuple[str, int]] = set()
        self.load, self.requests = Counter[str](), itertools.count(1)
        self.lines: list[Message] = [
            {
                "endpoint": f"e{n}",
                "block": n // 2,
                "locality": n % 2,
                "share": 1.0 + n % 3,
                "mode": READY,
                "start-time": None,
                "model": n % 3,
            }
            for n in range(self.ENDPOINTS)
        ]

    def schedule(self, delay: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self.due, (self.now + delay, next(self.serial), callback))

    def run(self) -> str:
        for name in self.names:
            self.send("Hello", name, salt=7 + int(name[1]), settings=self.settings)
            self.send_list(name)
            self.schedule(self.random.random() * 50, lambda name=name: self.arrive(name))  # type: ignore[misc]
        for at, change in (
            (12_000, self.restart),
            (25_000, self.drain),
            (40_000, self.replace),
            (60_000, self.fail_list),
            (70_000, self.restart),
        ):
            self.schedule(at, change)
        while self.due and self.due[0][0] <= self.END:
            self.now, _, callback = heapq.heappop(self.due)
            callback()
        return str(self.digest)

    def send(self, event: str, name: str = "", **fields: Any) -> None:
        message = {"event_type": event, **({"sidecar-id": name} if name else {}), **fields}
        for action in orjson.loads(self.adapter.batch(orjson.dumps({"now": self.now, "msgs": [message]})))[
            "outbox"
        ]:
            self.actions[action["event_type"]] += 1
            if action["event_type"] != "Log":
                self.digest.add(self.now, sorted(action.items()))
                self.handle_action(action["sidecar-id"], action)

    def handle_action(self, name: str, action: Message) -> None:
        match action["event_type"]:
            case "Try":
                self.attempt(name, action)
            case "Bounce" | "FinishError":
                self.open.discard((name, action["corr"]))
            case "Retract":
                self.schedule(0.5, lambda: self.end(name, action["corr"], action["try"], "X"))
            case "NotifyMe":
                self.schedule(action["wait"], lambda: self.send("DeadlineHit", name, ctx=action["ctx"]))
            case "Tail" if self.now > 0:
                self.schedule(200.0, lambda: self.send_list(name))
            case "Share":
                for other in self.names:
                    if other != name and self.random.random() > 0.05:
                        self.schedule(
                            1.0,
                            lambda other=other: self.send(  # type: ignore[misc]
                                "Memo", other, who=name, payload=action["payload"]
                            ),
                        )

    # Clients.

    def arrive(self, name: str) -> None:
        burst = 0.4 if 30_000 < self.now < 36_000 else 1.0
        self.schedule(self.random.expovariate(1 / (self.gap * burst)), lambda: self.arrive(name))
        request, draw = next(self.requests), self.random.random
        key = f"k{min(int(self.random.paretovariate(0.9)), 60)}" if draw() < 0.9 else None
        lane = self.random.choice([0, 0, 0, 1, 2, 2])
        self.open.add((name, request))
        self.send(
            "Incoming",
            name,
            corr=request,
            lane=lane,
            **{"route-key": key, "not-after": self.now + 2000},
            repeat=draw() < 0.1,
            billing=self.random.choice([0, 0, 1, None]),
        )
        if draw() < 0.03:
            self.schedule(draw() * 200, lambda: self.leave(name, request))

    def leave(self, name: str, request: int) -> None:
        if (name, request) in self.open:
            self.open.discard((name, request))
            self.send("ClientLeft", name, corr=request)

    # Endpoints.

    def attempt(self, name: str, action: Message) -> None:
        request, endpoint = action["corr"], action["endpoint"]
        number = self.counts.get((name, request), 0)
        self.counts[name, request] = number + 1
        self.attempts[name, request, number] = endpoint
        self.load[endpoint] += 1
        is_failing = endpoint in ("e3", "e7") and 5_000 < self.now % 30_000 < 14_000
        is_silent = endpoint == "e5" and 18_000 < self.now < 24_000
        duration = (
            self.random.lognormvariate(3.4, 0.5)
            * (1 + int(endpoint[1:]) % 3)
            * (1 + 0.25 * self.load[endpoint])
        )
        outcome = self.random.choice("EFCRN") if self.random.random() < (0.7 if is_failing else 0.01) else "S"
        if is_silent or duration > action["patience"]:
            duration, outcome = action["patience"], "T"
        if outcome == "S" and self.random.random() < 0.05:
            self.schedule(duration, lambda: self.start_response(name, request, number, duration))
            duration += 80.0
        self.schedule(duration, lambda: self.end(name, request, number, outcome))

    def start_response(self, name: str, request: int, number: int, duration: float) -> None:
        if (name, request, number) in self.attempts:
            self.send("Flowing", name, corr=request, duration=duration, **{"try": number})

    def end(self, name: str, request: int, number: int, outcome: str) -> None:
        endpoint = self.attempts.pop((name, request, number), None)
        if endpoint is None:
            return
        self.load[endpoint] -= 1
        if outcome == "S":
            self.open.discard((name, request))
        is_closed = (name, request) not in self.open
        self.send("Verdict", name, corr=request, over=is_closed, how=outcome, **{"try": number})

    # The list.

    def send_list(self, name: str, mode: int = FULL_LIST) -> None:
        self.send("Roster", page=1, lines=self.lines)
        self.send("RosterChange", name, mode=mode, page=1)

    def send_list_to_all(self) -> None:
        for name in self.names:
            self.send_list(name)

    def restart(self) -> None:
        for line in self.lines[1:4]:
            line.update({"start-time": self.now, "mode": READY})
        self.send_list_to_all()

    def drain(self) -> None:
        self.lines[8]["mode"] = DRAINING
        self.lines[9]["mode"] = GONE
        self.send_list_to_all()

    def replace(self) -> None:
        self.lines[6:] = [
            {
                "endpoint": f"n{n}",
                "block": n // 2,
                "locality": n % 2,
                "share": 1.5,
                "mode": READY,
                "start-time": self.now,
                "model": n % 4,
            }
            for n in range(6, 14)
        ]
        for line in self.lines[6:]:
            line["endpoint"] = f"e{int(line['endpoint'][1:]) + 20}"
        self.send_list_to_all()

    def fail_list(self) -> None:
        for name in self.names:
            self.send("RosterChange", name, mode=FAILED_LIST, page=1)


@pytest.mark.parametrize(
    ("settings", "seed", "gap", "recorded"),
    [
        pytest.param(POOL, 1, 25.0, "45830 ea0f782cc043bb7f", id="pool"),
        pytest.param(BUDGET, 2, 25.0, "14955 45ec1e0c6c10dbf0", id="budget"),
        pytest.param(WEIGHTED, 4, 12.0, "28041 2b501d13680d2e18", id="weighted"),
        pytest.param(PLAIN, 3, 60.0, "7764 9fdc0b1d649681e0", id="plain"),
    ],
)
def test_balancer_decisions_are_the_same(settings: Message, seed: int, gap: float, recorded: str) -> None:
    world = DecisionWorld(settings, seed, gap)
    assert world.run() == recorded
    assert min(world.actions[action] for action in ("Try", "Bounce", "FinishError", "NotifyMe", "Log")) > 3, (
        world.actions
    )


# Members, registers, wallets, canaries and the list, in the lab's virtual time.


def test_members_are_the_same(written: Digest) -> None:
    world, digest = World(5), Digest()
    carry = world.carry

    def recorded(sender: Any, to: Any, data: bytes) -> None:
        digest.add(world.now, sender.name, to, data)
        carry(sender, to, data)

    world.carry = recorded  # type: ignore[method-assign]
    world.loss, world.late, world.doubled = 0.05, 0.05, 0.02
    processes = world.fleet(24, over=2.0)
    for n, process in enumerate(processes):
        world.at(3.0 + 0.1 * n, process.cells.write, 3.0 + 0.1 * n, f"made/{n}", bytes([n]) * 50)
    world.run(8.0)
    for name in ("m3", "m9", "m20"):
        world.kill(name)
    world.pause("m5", 4.0)
    world.run(14.0)
    world.split(["m1", "m2", "m4", "m6"])
    world.leave("m11")
    world.run(22.0)
    world.heal()
    world.start("m9")
    world.run(40.0)
    assert str(digest) == "10622 2388c73ad83fa107"
    assert str(written) == "24 da0dd19d1fa4d7fc"


def test_a_mass_failure_among_members_is_the_same() -> None:
    """Suspicions from gossip expire though the members that had them first are killed too."""
    world, digest = World(8), Digest()
    carry = world.carry

    def recorded(sender: Any, to: Any, data: bytes) -> None:
        digest.add(world.now, sender.name, to, data)
        carry(sender, to, data)

    world.carry = recorded  # type: ignore[method-assign]
    processes = world.fleet(30, over=1.0)
    world.run(8.0)
    world.loss = 0.25
    for n, process in enumerate(processes[4:27]):
        world.at(8.0 + 0.12 * n, world.kill, process.name)
    world.run(30.0)
    assert str(digest) == "6655 8d3839e11394d0ee"


def test_wallets_are_the_same(written: Digest) -> None:
    day = WalletDay(8, 11, loss=0.05)
    day.top_up("first", 6000)
    for name in day.names:
        day.traffic(name, 25.0, 60.0, price=3, binding=0.2)
    day.run(8.0)
    day.cut(day.names[:3], day.names[3:])
    day.run(6.0)
    day.kill("m04")
    day.heal()
    day.top_up("second", 4000)
    day.run(8.0)
    day.restart("m04")
    day.stall("m02", True)
    day.run(5.0)
    day.stall("m02", False)
    day.restart("m06")
    day.run(40.0)
    written.add(day.executed, day.topped, day.held(), sorted(day.executed_at.items()))
    assert str(written) == "5353 9d68d04a0833e8b5"


def test_weeks_of_wallets_and_canaries_are_the_same(written: Digest) -> None:
    out = play(plan(12, 10, 1, 1, 4, bursts=2.0))
    figures = {name: value for name, value in out.figures.items() if name not in ("rss_mb", "events")}
    written.add(sorted(figures.items()))
    assert str(written) == "2593 896ed8e1ff2edbda"


@pytest.mark.parametrize(("bad", "recorded"), [(0.0, "1153 97497a2042acb7dc"), (0.2, "63 024b1a80193f3e05")])
def test_canaries_are_the_same(written: Digest, bad: float, recorded: str) -> None:
    terms = Terms("c", "kind new", (Step(0.1, 20.0, 40), Step(0.5, 30.0, 60)), budget=0.02)
    net = Net(9, 8, terms)

    def part(new: bool, effect: Idempotency, share: float) -> float:
        return bad if new else 0.01

    traffic = Traffic(net, 12.0, part)
    net.run(1.0)
    next(iter(net.nodes.values())).canary.start(net.now, net.now)
    net.run(150.0, traffic.step)
    written.add(*[(name, node.kept) for name, node in sorted(net.nodes.items())])
    assert str(written) == recorded


@pytest.mark.parametrize(
    ("scene", "recorded"), [("join", "1 e226a47473581baf"), ("herd", "1 a4b141e89e71c114")]
)
def test_the_relayed_list_is_the_same(scene: str, recorded: str) -> None:
    digest = Digest()
    digest.add(play_listing(scene, 20, True, 3).row())
    assert str(digest) == recorded
