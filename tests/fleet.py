"""A recording host that checks the four rules at every act; it answers nothing by itself."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from rainspindle.host import Effect, Group, Listed, Outcome, State, TrafficType
from rainspindle.logic import NEVER_RAN, Balancer, ColdBudget

MULTIPLE, WINDOW, COLD_FROM, COLD, GRACE = 2.5, 3.0, 0.15, 24.0, 0.5


def kind(effect: Effect = Effect.RETRIABLE, group: Group = Group.ALL, late: float = 0.0) -> TrafficType:
    return TrafficType(effect, group, 0.6, 2.0, 0.15, late, 0.0)


def line(n: int, state: State = State.READY, started: float | None = None, zone: int | None = None) -> Listed:
    return Listed(f"e{n}", n // 2, n % 2 if zone is None else zone, 1.0, state, started)


@dataclass
class Sent:
    endpoint: str
    at: float
    patience: float
    outcome: Outcome | None = None

    def may_have_run(self) -> bool:
        return self.outcome not in NEVER_RAN


@dataclass
class Held:
    type: TrafficType
    expires: float
    sent: list[Sent] = field(default_factory=list)
    answer: str | None = None


class Fleet:
    """One Balancer with time, the list as it was told, and every exchange it was given."""

    def __init__(self, types: list[TrafficType], lines: Iterable[Listed], *, parallel: bool = False,
                 max_forwards: int = 4, call_off: bool = True, cross_price: float = 0.02,
                 shares: bool = True, seed: int = 7, peers: int = 4) -> None:
        self.now, self.parallel, self.may_call_off = 1000.0, parallel, call_off
        self.max_forwards = max_forwards
        self.types, self.held = types, dict[int, Held]()
        self.told: dict[str, Listed] = {}
        self.told_unready: dict[str, float] = {}
        self.cold_sent: dict[str, list[float]] = {}
        self.timers: list[tuple[float, str]] = []
        self.logs: list[str] = []
        self.watches, self.held_off = 0, -1.0
        self.balancer = Balancer(
            self, seed, self.now, peers=peers, zone=0, types=types, max_forwards=max_forwards,
            parallel=parallel, may_call_off=call_off, max_hold_off=1.0, asks_list=True, ask_within=10.0,
            use_shares=shares, cross_price=cross_price, budget=ColdBudget(MULTIPLE, WINDOW, COLD_FROM, COLD))
        self.tell(lines, whole=True)

    # What can happen.

    def tell(self, lines: Iterable[Listed], whole: bool = False) -> None:
        lines = list(lines)
        named = {x.id: x for x in lines}
        if whole:
            for id, known in self.told.items():
                named.setdefault(id, Listed(id, known.cell, known.zone, 1.0, State.GONE, known.started))
        for id, x in named.items():
            if x.state is State.READY:
                self.told_unready.pop(id, None)
            else:
                self.told_unready.setdefault(id, self.now)
            if x.started and (id not in self.told or self.told[id].started != x.started):
                self.cold_sent[id] = []
            self.told[id] = x
        self.balancer.list_changed(self.now, lines, whole, stale=False)
        self.check()

    def arrive(self, id: int, type_index: int = 0, key: str | None = "k", wait: float = 2.0,
               hint: float | None = None, repeat: bool = False) -> Held:
        held = self.held[id] = Held(self.types[type_index], self.now + wait)
        self.balancer.exchange_arrived(self.now, id, type_index, key, hint, held.expires, repeat)
        self.check()
        return held

    def end(self, id: int, number: int, outcome: Outcome) -> None:
        held = self.held[id]
        assert held.sent[number].outcome is None
        held.sent[number].outcome = outcome
        if outcome is Outcome.SERVED and held.answer is None:
            held.answer = "finished"
        self.balancer.forward_ended(self.now, id, number, held.answer is not None, outcome)
        self.check()

    def leave(self, id: int) -> None:
        self.held[id].answer = self.held[id].answer or "left"
        self.balancer.client_left(self.now, id)
        self.check()

    def wait(self, seconds: float) -> None:
        """Let time pass; forwards whose patience or expiry is over time out, timers fall due."""
        until = self.now + seconds
        while True:
            due = [(t, 0, token, -1) for t, token in self.timers]
            due += [(min(s.at + s.patience, h.expires), 1, str(id), n) for id, h in self.held.items()
                    for n, s in enumerate(h.sent) if s.outcome is None]
            due = [d for d in due if d[0] <= until]
            if not due:
                break
            at, timed_out, name, number = min(due)
            self.now = max(self.now, at)
            if timed_out:
                self.end(int(name), number, Outcome.TIMED_OUT)
            else:
                self.timers.remove((at, name))
                self.balancer.woken(self.now, name)
                self.check()
        self.now = until

    def open(self) -> list[tuple[int, int]]:
        return [(id, n) for id, h in self.held.items() for n, s in enumerate(h.sent) if s.outcome is None]

    # The rules.

    def check(self) -> None:
        for id, held in self.held.items():
            assert held.answer or any(s.outcome is None for s in held.sent), f"{id} is held with nothing sent"

    def final(self, id: int, answer: str) -> None:
        held = self.held[id]
        assert held.answer is None, "rule 1: a second final answer"
        ran = [s for s in held.sent if s.may_have_run()]
        if answer == "rejected" and ran:
            assert held.type.effect is Effect.RETRIABLE or (
                held.type.effect is Effect.FINGERPRINTED and held.type.group is Group.ALL), "rule 2: rejected"
        held.answer = answer

    def forward(self, exchange: int, endpoint: str, patience: float) -> None:
        held = self.held[exchange]
        assert held.answer is None and self.now < held.expires, "rule 1: sent after the end"
        assert len(held.sent) < self.max_forwards
        ran = [s for s in held.sent if s.may_have_run()]
        assert self.parallel or all(s.outcome for s in held.sent), "rule 2: two at once"
        if ran:
            first, to = self.told[ran[0].endpoint], self.told[endpoint]
            assert held.type.effect is not Effect.BINDING, "rule 2: a binding exchange went again"
            if held.type.effect is Effect.FINGERPRINTED:
                assert self.now - ran[0].at < held.type.memory_span, "rule 2: past the memory span"
                assert held.type.group is Group.ALL or (
                    first.zone == to.zone if held.type.group is Group.ZONE else first.cell == to.cell), \
                    "rule 2: outside the group"
        assert endpoint not in self.told_unready, "rule 3: sent to an endpoint that is not ready"
        started = self.told[endpoint].started
        if started is not None and self.now - started < COLD:
            sent = self.cold_sent[endpoint]
            sent.append(self.now)
            recent = sum(self.now - t <= WINDOW for t in sent)
            assert recent <= max(1.0, self.fair_share(self.now - started)), "rule 4: over the cold budget"
        held.sent.append(Sent(endpoint, self.now, patience))

    def fair_share(self, age: float) -> float:
        """What one sidecar may send a cold endpoint: that multiple of what it has seen warm ones answer."""
        served = sum(s.outcome is Outcome.SERVED for h in self.held.values() for s in h.sent)
        ready = max(1, len(self.told) - len(self.told_unready))
        most = served / ready / max(1.0, min(5.0, self.now - 1000.0))
        return MULTIPLE * (COLD_FROM + (1 - COLD_FROM) * age / COLD) * WINDOW * most

    # The other acts.

    def reject(self, exchange: int, hold_off: float) -> None:
        assert 0 <= hold_off <= 1.0
        self.held_off = hold_off
        self.final(exchange, "rejected")

    def terminate(self, exchange: int) -> None:
        self.final(exchange, "terminated")

    def call_off(self, exchange: int, number: int) -> None:
        assert self.may_call_off and self.held[exchange].sent[number].outcome is None

    def wake(self, delay: float, token: str) -> None:
        self.timers.append((self.now + delay, token))

    def probe(self, endpoint: str) -> None:
        raise AssertionError("the trials are real exchanges")

    def watch_list(self) -> None:
        self.watches += 1

    def ask_list(self) -> None:
        self.watches += 1

    def close_idle(self, endpoint: str) -> None:
        raise AssertionError("connections are left to the host")

    def log(self, line: str) -> None:
        assert "\n" not in line and len(line) < 120
        self.logs.append(line)
