"""Plays many sidecars, each a real Balancer, against shared endpoints of which some start cold.

All in virtual time and from one seed. Counts what each cold endpoint gets within the window of the contract,
and compares it with the bound N + 2 x root of N + 2, N being what the contract allows the endpoint then."""

from __future__ import annotations

import bisect
import heapq
import itertools
import math
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from rainspindle.balancer.balancer import Balancer
from rainspindle.balancer.config import BalancerConfig
from rainspindle.balancer.host import (
    AttemptEnd,
    AttemptOutcome,
    DeduplicationScope,
    EndpointListUpdate,
    EndpointStatus,
    Idempotency,
    IncomingRequest,
    LearnedState,
    ListedEndpoint,
    Timer,
    TrafficClass,
)
from rainspindle.balancer.slow_start import SlowStartBudget

LEARNING = 12.0  # seconds of traffic before the endpoints start
COLD_FROM, COLD = 0.15, 12.0  # the part of its capacity with which an endpoint starts; seconds until all
KEYS, REMEMBERED = 400, 50  # of clients; of these a server knows so many, for which work is less
TOLD_SHARE = 2 / 3  # the rule breaks where more than this share came from sidecars told of the start
RESTART_PAUSE = 0.3  # seconds without the process


@dataclass(frozen=True)
class Contract:
    """The part of the settings that bounds what a cold endpoint may get."""

    multiple: float = 2.5
    window: float = 3.0

    def allowed(self, capacity: float, rate: float) -> float:
        """N, where a warm endpoint can answer `rate` exchanges of mean work a second."""
        return self.multiple * self.window * capacity * rate


@dataclass(frozen=True)
class Case:
    """One situation. `allowed` is N when an endpoint has just started."""

    sidecars: int
    allowed: float = 20.0
    contract: Contract = Contract()
    starting: int = 4
    warm: int = 6
    leaving: int = 0  # of the warm ones, which go when the starting ones are told
    busy: float = 0.7  # the part of what the warm endpoints can do that clients ask for
    uneven: bool = True
    burst: float = 1.0  # the traffic is multiplied by this from the start of the endpoints on
    restarts: float = 0.0  # the part of the sidecars that are restarted during the ramp
    told_within: float = 0.2  # seconds over which the sidecars are told of the start
    returning: bool = False  # the starting endpoints were warm before, under the same ids
    hot: float = 0.0  # the part of the traffic that has one key
    peers: int | None = None  # what the settings tell of the number of sidecars, where it is wrong
    heavy: float = 1.0  # the work of every third exchange (of a type of its own), in parts of the others'
    silent_for: float = 0.0  # seconds without traffic from the start of the endpoints on, then the burst
    speed: float = 1.0  # of the starting endpoints, in parts of the warm ones'
    known_gain: float = 0.0  # the part of the work that a key known to its server spares
    lengths: float = 0.5  # the standard deviation of the logarithm of the work


@dataclass(frozen=True)
class Peak:
    """The fullest window of a play, measured against what its endpoint was allowed then."""

    over_allowed: float  # the count in parts of N
    over_bound: float  # the count in parts of the bound
    passed: int  # endpoints that got more than their bound
    broken: int  # those of them of whose exchanges over two thirds came from sidecars that had been told
    used: float  # the mean of what the endpoints got in parts of N


@dataclass(frozen=True)
class Offer:
    """An exchange that reached a starting endpoint."""

    at: float
    told: bool
    work: float  # in parts of the mean


class Server:
    """One core that works in order of arrival; while it is cold, only with a part of its capacity."""

    def __init__(self, rate: float, known_gain: float) -> None:
        self.rate, self.known_gain, self.started, self.free_at = rate, known_gain, -math.inf, 0.0
        self.known: dict[str, None] = {}  # the key met last at the end

    def capacity(self, now: float) -> float:
        age = now - self.started
        return 1.0 if age >= COLD else COLD_FROM + (1 - COLD_FROM) * max(age, 0.0) / COLD

    def start(self, now: float) -> None:
        self.started = self.free_at = now
        self.known.clear()

    def finish_time(self, now: float, key: str, work: float) -> float:
        if key in self.known:
            del self.known[key]
            work *= 1 - self.known_gain
        elif len(self.known) >= REMEMBERED:
            del self.known[next(iter(self.known))]
        self.known[key] = None
        self.free_at = max(self.free_at, now) + work / self.rate / self.capacity(now)
        return self.free_at


class Sidecar:
    """The host of one Balancer; hands what it sends to the play."""

    def __init__(self, play: Play, number: int) -> None:
        self.play, self.number, self.generation = play, number, 0
        self.told_of_start = self.alive = False
        self.sent = Counter[int]()  # forwards by exchange
        self.balancer: Balancer

    def start(self, now: float) -> None:
        self.generation += 1
        self.alive = True
        self.sent.clear()
        case = self.play.case
        contract = case.contract
        promised = self.play.promised
        types = [
            TrafficClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL, promised, 4 * promised, 0.15)
        ] * 2
        config = BalancerConfig(
            tuple(types),
            SlowStartBudget(contract.multiple, contract.window, COLD_FROM, COLD),
            sidecar_count=case.peers if case.peers is not None else case.sidecars,
            max_attempts=3,
            max_retry_after=1.0,
            watch_list=False,
        )
        seed = self.play.seed * 1009 + self.number * 31 + self.generation
        self.balancer = Balancer(self, config, seed, now)

    def tell(self, now: float, lines: Sequence[ListedEndpoint], whole: bool) -> None:
        self.balancer.on_list_changed(now, EndpointListUpdate(lines, complete=whole))

    def send_attempt(self, request_id: int, endpoint_id: str, timeout: float) -> None:
        self.play.forwarded(self, request_id, endpoint_id, timeout)

    def schedule_timer(self, delay: float, timer: Timer) -> None:
        generation = self.generation

        def fired(now: float) -> None:
            if generation == self.generation:
                self.balancer.on_timer(now, timer)

        self.play.after(delay, fired)

    def reject(self, request_id: int, retry_after: float) -> None: ...
    def fail(self, request_id: int) -> None: ...
    def cancel_attempt(self, request_id: int, number: int) -> None: ...
    def watch_endpoint_list(self) -> None: ...
    def publish_load(self, started: Sequence[int], ended: Sequence[int], complete: bool) -> None: ...
    def publish_learned_state(self, state: LearnedState) -> None: ...
    def log(self, line: str) -> None: ...


class Play:
    """One play of a case from a seed."""

    def __init__(self, case: Case, seed: int) -> None:
        self.case, self.seed, self.random = case, seed, random.Random(f"{case} {seed}")
        self.rate = case.allowed / case.contract.allowed(COLD_FROM, 1.0)  # of a warm endpoint, each second
        self.promised = 12 / self.rate
        self.now, self.order, self.due = (
            0.0,
            itertools.count(),
            list[tuple[float, int, Callable[[float], None]]](),
        )
        self.began = LEARNING
        self.end = self.began + COLD  # warm ones do not fall
        self.warm = [f"w{n}" for n in range(case.warm)]
        self.starting = [f"c{n}" for n in range(case.starting)]
        self.servers = {id: Server(self.rate, case.known_gain) for id in self.warm}
        self.servers |= {id: Server(self.rate * case.speed, case.known_gain) for id in self.starting}
        self.offers: dict[str, list[Offer]] = defaultdict(list)
        self.works: dict[int, tuple[str, float]] = {}  # key and work by exchange
        self.weights = [1 / (n + 1) for n in range(KEYS)]
        self.cumulative = list(itertools.accumulate(self.weights))
        self.sidecars = [Sidecar(self, n) for n in range(case.sidecars)]
        self.shares = self.draw_shares()
        self.exchanges = itertools.count()

    def draw_shares(self) -> list[float]:
        """Of the traffic, by sidecar: some have several times the mean, and some hardly any."""
        count = self.case.sidecars
        if not self.case.uneven:
            return [1 / count] * count
        drawn = [self.random.choice([0.05, 0.5, 0.5, 1.0, 1.0, 4.0]) for _ in range(count)]
        drawn[0] = 4.0
        return [share / sum(drawn) for share in drawn]

    def after(self, delay: float, what: Callable[[float], None]) -> None:
        heapq.heappush(self.due, (self.now + delay, next(self.order), what))

    def lines(self, ids: Sequence[str], started: float | None) -> list[ListedEndpoint]:
        return [ListedEndpoint(id, 0, 0, 1.0, EndpointStatus.READY, started) for id in ids]

    def whole_list(self) -> list[ListedEndpoint]:
        if self.now >= self.began:
            return self.changed_list()
        return self.lines([*self.warm, *self.starting] if self.case.returning else self.warm, None)

    def changed_list(self) -> list[ListedEndpoint]:
        return self.lines(self.warm[self.case.leaving :], None) + self.lines(self.starting, self.began)

    def run(self) -> Peak:
        for sidecar in self.sidecars:
            sidecar.start(0.0)
            sidecar.tell(0.0, self.whole_list(), True)
            self.next_arrival(sidecar)
        self.after(self.began, self.endpoints_start)
        while self.due and self.due[0][0] < self.end:
            self.now, _, what = heapq.heappop(self.due)
            what(self.now)
        return self.peak()

    # What happens.

    def endpoints_start(self, now: float) -> None:
        for id in self.starting:
            self.servers[id].start(now)
        restarted = self.random.sample(self.sidecars, round(self.case.restarts * len(self.sidecars)))
        for sidecar in self.sidecars:
            self.after(self.random.uniform(0.0, self.case.told_within), self.teller(sidecar))
        for sidecar in restarted:
            self.after(self.random.uniform(self.case.told_within, COLD - 2), self.restarter(sidecar))

    def teller(self, sidecar: Sidecar) -> Callable[[float], None]:
        def told(now: float) -> None:
            if sidecar.alive:
                sidecar.tell(now, self.changed_list(), True)
            sidecar.told_of_start = True

        return told

    def restarter(self, sidecar: Sidecar) -> Callable[[float], None]:
        def up(now: float) -> None:
            sidecar.start(now)
            sidecar.tell(now, self.whole_list(), True)
            sidecar.told_of_start = True

        def down(now: float) -> None:
            sidecar.generation += 1  # what it had out ends at nobody
            sidecar.alive = False
            self.after(RESTART_PAUSE, up)

        return down

    def intensity(self, now: float) -> float:
        if now < self.began:
            return 1.0
        return 0.0 if now < self.began + self.case.silent_for else self.case.burst

    def next_arrival(self, sidecar: Sidecar) -> None:
        """Arrivals are a Poisson stream at the highest rate, thinned to the rate of the moment."""
        most = max(1.0, self.case.burst)
        mean = self.case.busy * self.rate * self.case.warm * self.shares[sidecar.number] * most

        def arrived(now: float) -> None:
            if sidecar.alive and self.random.random() < self.intensity(now) / most:
                self.arrive(sidecar, now)
            self.after(self.random.expovariate(mean), arrived)

        self.after(self.random.expovariate(mean), arrived)

    def arrive(self, sidecar: Sidecar, now: float) -> None:
        key = (
            "hot"
            if self.random.random() < self.case.hot
            else f"k{bisect.bisect(self.cumulative, self.random.random() * self.cumulative[-1])}"
        )
        exchange = next(self.exchanges)
        kind = int(exchange % 3 == 0)
        mean = (2 + self.case.heavy) / 3
        length = self.random.lognormvariate(-(self.case.lengths**2) / 2, self.case.lengths)
        self.works[exchange] = key, (self.case.heavy if kind else 1.0) / mean * length
        incoming = IncomingRequest(exchange, kind, key, now + 4 * self.promised)
        sidecar.balancer.on_request_arrived(now, incoming)

    def forwarded(self, sidecar: Sidecar, exchange: int, endpoint: str, patience: float) -> None:
        (key, work), now, generation = self.works[exchange], self.now, sidecar.generation
        server = self.servers[endpoint]
        if endpoint in self.starting and now >= self.began:
            self.offers[endpoint].append(Offer(now, sidecar.told_of_start, work))
        ends = server.finish_time(now, key, work)
        in_time = ends <= now + patience
        number = sidecar.sent[exchange]
        sidecar.sent[exchange] += 1

        def ended(at: float) -> None:
            if generation == sidecar.generation:
                outcome = AttemptOutcome.SERVED if in_time else AttemptOutcome.TIMED_OUT
                sidecar.balancer.on_attempt_ended(at, AttemptEnd(exchange, number, outcome, in_time))

        self.after(min(ends - now, patience), ended)

    # What is measured.

    def peak(self) -> Peak:
        over_allowed = over_bound = used = 0.0
        passed = broken = 0
        for id in self.starting:
            offers, server = self.offers[id], self.servers[id]
            first, over = 0, False
            for last, offer in enumerate(offers):
                while offers[first].at <= offer.at - self.case.contract.window:
                    first += 1
                allowed = self.case.contract.allowed(server.capacity(offer.at), server.rate)
                bound, count = allowed + 2 * math.sqrt(allowed) + 2, last - first + 1
                over_allowed, over_bound = max(over_allowed, count / allowed), max(over_bound, count / bound)
                if count > bound and not over:
                    over = True  # it falls: what follows does not count
                    passed += 1
                    told = sum(o.told for o in offers[first : last + 1])
                    broken += told > TOLD_SHARE * count
            whole = self.case.contract.multiple * server.rate * COLD * (1 + COLD_FROM) / 2
            used += len(offers) / whole / len(self.starting)
        return Peak(over_allowed, over_bound, passed, broken, used)


def play(case: Case, seed: int) -> Peak:
    return Play(case, seed).run()
