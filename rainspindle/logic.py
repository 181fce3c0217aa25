"""All decisions of one sidecar: a host makes one Balancer for each start and calls one method for each thing
that happens, with the time in seconds; the Balancer acts at once through the Host (host.py)."""

from __future__ import annotations

import math
import zlib
from _blake2 import blake2b  # hashlib's; with hashlib a start would read all of OpenSSL
from collections import Counter, deque
from collections.abc import Callable, Collection
from typing import Generic, TypeVar

from .histogram import Histogram
from .host import Effect, Facts, Group, Host, Listed, Outcome, State, TrafficType
from .pool import Pool
from .values import dataclass, field, replace

NEVER_RAN = (Outcome.FULL, Outcome.UNCONNECTED, Outcome.UNSENT)
Place = TypeVar("Place")  # what a key may be sent to: an endpoint here, a site where sites are chosen


class Breaker:
    """The states of a table entry: failing, then due for one trial, then on trial."""

    def __init__(self, now: float) -> None:
        self.since, self.due, self.on_trial = now, False, False  # since the last of its failures that counts

    def sweep(self, now: float, trial_delay: float) -> None:
        if not self.on_trial and now - self.since > trial_delay:
            self.due = True

    def begin(self) -> None:
        self.due, self.on_trial = False, True

    def told_nothing(self) -> None:
        self.due, self.on_trial = True, False  # or it would be stuck on trial

    def failed(self, now: float) -> None:
        self.since, self.due, self.on_trial = now, False, False


class Entry(Breaker, Generic[Place]):
    """What is kept of one key that has failed."""

    def __init__(self, endpoint: Place, now: float) -> None:
        super().__init__(now)
        self.first, self.current, self.tried = endpoint, endpoint, [endpoint]
        self.retriable, self.other, self.last = 0, 0, now


class FailoverTable(Generic[Place]):
    """Steps 2 to 5 of the design: failures by key, moves to the next endpoint, and the way back."""

    RETRIABLE_LIMIT, OTHER_LIMIT, SIZE = 2, 5, 4096
    TRIAL_DELAY, RESET_WINDOW = 5.0, 30.0  # the window outlasts the delay, or counts restart before any trial

    def __init__(self) -> None:
        self.entries: dict[str, Entry[Place]] = {}

    def failure(
        self,
        key: str,
        at: Place,
        retriable: bool,
        now: float,
        next_untried: Callable[[list[Place]], Place | None],
    ) -> None:
        entry = self.entries.get(key)
        if entry is None:
            if len(self.entries) >= self.SIZE:
                del self.entries[next(iter(self.entries))]
            entry = self.entries[key] = Entry(at, now)
        if now - entry.last > self.RESET_WINDOW:
            entry.retriable = entry.other = 0
        entry.last, entry.retriable = now, entry.retriable + retriable
        entry.other += not retriable
        if self.moved(entry) and at is entry.current:
            following = next_untried(entry.tried)
            if following is None:
                del self.entries[key]
                return
            entry.current, entry.tried = following, [*entry.tried, following]

    def moved(self, entry: Entry[Place]) -> bool:
        return entry.retriable > self.RETRIABLE_LIMIT or entry.other > self.OTHER_LIMIT

    def sweep(self, now: float) -> None:
        for key, entry in list(self.entries.items()):
            if now - entry.last > self.RESET_WINDOW and not entry.on_trial:
                del self.entries[key]
            else:
                entry.sweep(now, self.TRIAL_DELAY)


class ColdBudget:
    """What this sidecar may send to a cold endpoint: a multiple of what a warm one answers to *it*.

    As warm endpoints answer no more than they can do, the sum over all sidecars keeps the bound."""

    MARGIN = 0.5  # a cold endpoint has no warm keys, and may be a slower one than most
    MEAN, KNOWN = 1.5, 4  # a mean time in parts of the median, which so many answers tell
    PART, PARTS = 2, 6  # it is spread over its window in so many parts, of so many forwards at least

    def __init__(self, multiple: float, window: float, cold_from: float, cold: float) -> None:
        self.multiple, self.window, self.cold_from, self.cold = multiple, window, cold_from, cold

    def capacity(self, age: float) -> float:  # the least share of its full one at this age
        return 1.0 if age >= self.cold else self.cold_from + (1 - self.cold_from) * max(age, 0.0) / self.cold

    def draw(
        self, age: float, warm_rate: float, times: Histogram, peers: int, chance: float
    ) -> tuple[int, float]:
        """How many forwards this sidecar may send, and within what time. Of many sidecars each has less than
        one: it is drawn, and what is not used lapses, or all would save up one and send them together.
        Guards against an idle cold endpoint: the budget is spread, and where its own `times` prove more than
        the worst, it gets that. May hurt where they are short by luck."""
        proven = 1 / (peers * self.MEAN * times.quantile(0.5)) if times.total >= self.KNOWN else 0.0
        able = max(self.capacity(age - self.window) * warm_rate, proven)
        room = self.MARGIN * self.multiple * self.window * able
        parts = max(1, min(int(room / self.PART), self.PARTS))
        return int(room / parts + chance), self.window / parts


class Grade:
    """What one kind of endpoint can do: the times it takes by how many exchanges it held when one came.

    Guards against slow and small kinds where no list tells their sizes. May hurt where kinds are uneven."""

    MOST, ENOUGH, SLOWER, STEP, KEEP, START = 40, 30.0, 0.15, 0.15, 0.95, 2.0

    def __init__(self) -> None:
        self.sums, self.counts = [0.0] * self.MOST, [0.0] * self.MOST  # of logarithms; of answers
        self.size = self.load = self.held = 0.0  # where weights move with load: the highest; sums
        self.calm, self.found = 0.0, self.START  # as learnt here: the time with few held, the free places
        self.time, self.free = 0.0, self.START  # as all sidecars have it: their middle values

    def add(self, held: int, seconds: float) -> None:
        self.sums[min(held, self.MOST - 1)] += math.log(max(seconds, 1e-4))
        self.counts[min(held, self.MOST - 1)] += 1

    def at(self, held: int) -> float:
        """The usual time where so many are held before."""
        return self.time * max(1.0, (held + 1) / self.free)

    def listed(self, share: float, held: int) -> None:
        """A weight that is the size over one more than what a core holds: so many cores hold what is held."""
        self.size = max(self.size, share)
        self.load, self.held = self.load + self.size / share - 1, self.held + held

    def learn(self, told: list[tuple[float, float]]) -> bool:
        """How many may be held before times rise: what was never held so far is no limit. Takes the middle of
        what all sidecars learnt; whether ranks are to be made anew."""
        groups, total, count, places = list[tuple[float, float]](), 0.0, 0.0, 0.0
        for held, (part, n) in enumerate(zip(self.sums, self.counts, strict=True)):
            total, count, places = total + part, count + n, places + held * n
            if count >= self.ENOUGH:
                groups.append((places / count, math.exp(total / count)))
                total = count = places = 0.0
        if groups:
            self.calm = min(self.calm * 1.01 or math.inf, groups[0][1])
            slow = [n for n, (_, time) in enumerate(groups) if time > self.calm * (1 + self.SLOWER)]
            sound = groups[: slow[0]] if slow else groups
            self.found = max(1.0 if slow else self.found, 1 + sound[-1][0] if sound else 1.0)
        if self.size:  # the list tells, a little later: until then no limit is known
            self.found = max(1.0, self.held / self.load) if self.load > 1 else float(self.MOST)
        self.load, self.held = self.load * self.KEEP, self.held * self.KEEP
        self.sums, self.counts = [s * self.KEEP for s in self.sums], [c * self.KEEP for c in self.counts]
        known = [*told, (self.calm, self.found)] if self.calm else told
        if not known:
            return False
        time, self.free = (sorted(values)[len(known) // 2] for values in zip(*known, strict=True))
        old, self.time = self.time, time if abs(time - self.time) > self.STEP * self.time else self.time
        return self.time != old


class ForwardBudget:
    """Forwards beyond each exchange's first: in any window so many, and a share of the exchanges taken."""

    # Within a part of the window no more than a part of the allowance; what those of no value may use of it.
    SPREAD, AT_ONCE, LEAST = 0.25, 0.5, 0.5

    def __init__(self, free: float, share: float, window: float) -> None:
        self.free, self.share, self.window = free, share, window
        self.taken, self.sent = deque[float](), deque[float]()

    def allows(self, now: float, worth: float) -> bool:
        """`worth`: the exchange's value in parts of the highest. Guards against an allowance that is gone at
        once, or on what is worth little. May hurt where a short trouble is over within a window."""
        while self.taken and self.taken[0] <= now - self.window + 1e-6:
            self.taken.popleft()
        while self.sent and self.sent[0] < now - self.window - 1e-6:
            self.sent.popleft()
        share, part = self.share * len(self.taken), self.LEAST + (1 - self.LEAST) * worth
        lately = sum(at > now - self.SPREAD * self.window for at in self.sent)
        return len(self.sent) + 1 <= self.free + share * part and lately + 1 <= max(
            1.0, self.AT_ONCE * (self.free + share)
        )


@dataclass(eq=False, slots=True)
class Exchange:
    id: int
    type: TrafficType
    key: str
    promised_at: float
    expires_at: float
    repeat: bool
    keyed: bool
    coming: bool  # its body is not whole yet
    drawn: float  # by which it is turned away; one draw for all its forwards, or failures would wear it down
    forwards: int = 0
    out: int = 0
    tried: list[Endpoint] = field(default_factory=list)
    ran_at: float = math.inf  # when the first forward that may have run was sent
    ran_where: Listed | None = None  # its endpoint as listed when it was sent
    spent: bool = False  # a part of its body has gone and is kept nowhere


@dataclass(eq=False, slots=True)
class Forward:
    exchange: Exchange
    number: int
    endpoint: Endpoint
    line: Listed  # of the endpoint when it was sent: a word that it is gone may lack its zone and cell
    sent: float
    trial: Breaker | None  # the key's entry, or the endpoint's own
    writing: bool = False  # its body is still coming: the endpoint has not begun
    held: int = 0  # what the endpoint held when it was sent
    overdue: bool = False
    lost: bool = False
    flowing: bool = False


class Endpoint:
    """What this sidecar knows of one endpoint: as listed, and as its own forwards found it."""

    START_CREDIT, MOST_CREDIT, EARNED = 3.0, 10.0, 0.2
    LEAST_WINDOW, MOST_WINDOW, START_WAITS, WAIT_PART = 1.0, 64.0, 4, 0.05
    # The keyless trip: more failures than this in 10 s, over this share or, up to the next, twice that of
    # all; or so many with no answer between. Full counts in part only.
    FAILURES, SHARE, MOST_SHARE, ROW, FULL_PART = 2, 0.25, 0.75, 8, 0.3

    def __init__(self, line: Listed, may_wait: float) -> None:
        self.id, self.may_wait = line.id, may_wait
        self.mark = zlib.crc32(line.id.encode()) & 0xFFFFFF  # its name in messages
        self.out: dict[tuple[int, int], Forward] = {}  # these still end after a restart
        self.reset(line)

    def reset(self, line: Listed) -> None:
        self.line, self.cold_left, self.cold_until = line, 0, -math.inf  # forwards left in this cold window
        self.latency = Histogram()
        self.credit, self.window, self.calm = self.START_CREDIT, 1 + self.START_WAITS * self.may_wait, 0.0
        self.answers, self.busy, self.row = 0, 0.0, 0.0  # answers this second, cores busy, failures in a row
        self.answered_at = self.answered_sent = self.sent_at = self.eased_at = self.back_at = -math.inf
        self.failures, self.outcomes = [0.0, 0.0], [0, 0]  # this half of the 10 s or more, the one before
        self.breaker: Breaker | None = None

    def answered(self, now: float, sent: float, calm: float, promised: float) -> None:
        self.answered_at, self.answered_sent = now, max(self.answered_sent, sent)
        self.credit = min(self.credit + self.EARNED, self.MOST_CREDIT)
        # Guards against overdriving: what waits is the window less what is in work; more where work is short.
        waiting = self.window * (1 - calm / max(self.latency.quantile(0.5, calm, 1.0), calm))
        self.answers, self.row = self.answers + 1, 0.0
        more = max(1.0, self.WAIT_PART * promised / calm)
        if waiting > max(self.may_wait * more, self.busy / 2, self.busy - 0.5):
            self.ease(now, sent)
        elif len(self.out) + 1 >= self.window:  # earned by use: idle times must not allow a burst
            self.window = min(self.window + 1 / self.window, self.MOST_WINDOW)

    def ease(self, now: float, sent: float) -> None:
        if sent > self.eased_at:  # at most once for what was out together
            self.window, self.eased_at = max(self.LEAST_WINDOW, self.window * 0.5), now

    def predicted(self, now: float, usual: float) -> float:
        oldest = next(iter(self.out.values())).sent if self.out else now
        return max(self.latency.quantile(0.75, usual, 1.0), now - oldest)

    def trips(self, usual: float) -> bool:  # the share that fails at all in service
        failures, share = sum(self.failures), max(self.SHARE, min(2 * usual, self.MOST_SHARE))
        return failures > self.FAILURES and (failures > share * sum(self.outcomes) or self.row >= self.ROW)


class Balancer:
    TICK, SWEEP, FORGET, HALF, AGE = 0.1, 1.0, 2, 5, 10  # seconds; sweeps
    COUNTED, FEW = 128.0, 8.0  # exchanges by which a sidecar knows its hot keys, at most and at least
    SKIP_FACTOR, SKIP_PLUS, QUEUE, DEPTH = 1.25, 2, 1.0, 6  # QUEUE: what all sidecars let wait at an endpoint
    CROWDED, CROWDED_OUT, THIN = 0.2, 0.5, 8.0  # parts of the promised time; outcomes that are kept longer
    MOST_TURNED = 0.95  # the highest chance of being turned away: some must pass, or no end of a jam is seen
    LEARN, UNLEARN = 0.2, 0.02  # parts by which the rate of warm endpoints rises and falls at a sweep
    LAST_TRIAL, BACK_WAIT = 15.0, 1.0  # seconds until a binding one may be a trial, or first at one put back
    TELL, TELL_COST = 0.015, 0.008  # seconds between words at least; points that they may cost
    # In a pool: the part of both ends of a crowd; what is held at most, times free places; how speeds weigh.
    POOLED, MOST_HELD, FASTER = 0.25, 3, 3
    BACK_RAMP = 5.0  # seconds over which an endpoint's keys come back after a good trial

    def __init__(
        self,
        host: Host,
        seed: int,
        now: float,
        *,
        peers: int,
        zone: int,
        types: list[TrafficType],
        max_forwards: int,
        parallel: bool,
        may_call_off: bool,
        max_hold_off: float,
        asks_list: bool,
        ask_within: float,
        use_shares: bool,
        cross_price: float,
        budget: ColdBudget,
        further: ForwardBudget | None = None,
        tells: bool = False,
        peer_price: float = 0.0,
        allowances: tuple[float, ...] = (),
        excess_value: float = 1.0,
        live: bool = False,
    ) -> None:
        self.host, self.seed, self.zone, self.types = host, seed, zone, types
        self.max_forwards, self.parallel, self.may_call_off = max_forwards, parallel, may_call_off
        self.peers, self.max_hold_off, self.ask_within = max(peers, 1), max_hold_off, ask_within
        self.use_shares, self.local_boost, self.budget = use_shares, math.exp(cross_price * 25), budget
        self.further, self.most_value = further, max(t.value for t in types)
        self.draws, self.warm_rate, self.counted, self.list_failures = 0, 0.0, 0.0, 0
        self.endpoints, self.ready = dict[str, Endpoint](), list[Endpoint]()
        self.left_out: dict[str, Listed | None] = {}  # by order, each with its line as a list last told it
        self.put_back: dict[str, float] = {}  # when an order ended that; cold from then on, if not from later
        self.touched, self.ranks = dict[Endpoint, None](), dict[str, list[Endpoint]]()  # touched: to be swept
        self.exchanges, self.forwards = dict[int, Exchange](), dict[tuple[int, int], Forward]()
        self.table = FailoverTable[Endpoint]()
        self.latency, self.recent = Histogram(), Histogram()  # recent: at warm ones alone, halved each second
        self.usual = self.slow = self.calm = 0.0
        self.counts: dict[str, float] = {}  # exchanges by key, halved now and then
        self.worths: dict[float, float] = {}  # exchanges by worth, halved likewise
        self.allowances, self.excess_value, self.live = allowances, excess_value, live
        self.rates, self.asked, self.over = ([0.0] * len(allowances) for _ in range(3))  # by tenant
        self.tells, self.pool, self.grades = tells, Pool(), dict[int, Grade]()
        if asks_list:
            host.watch_list()
        host.wake(self.TICK, "tick")
        self.told, self.told_at, self.peer_price = Counter[int](), -math.inf, peer_price
        self.swept, self.sweeps, self.rate, self.came = now, 0, 0.0, 0  # exchanges a second, since the sweep
        if tells:
            host.wake(self.TELL, "tell")

    def chance(self) -> float:
        self.draws += 1
        return zlib.crc32(b"%d:%d" % (self.seed, self.draws)) / 2**32

    def place(self, worth: float) -> float:
        """Where an exchange stands among the latest by its worth, 0 to 1: the least are turned away first."""
        self.worths[worth] = self.worths.get(worth, 0.0) + 1
        below = sum(count for other, count in self.worths.items() if other < worth)
        return (below + self.chance() * self.worths[worth]) / sum(self.worths.values())

    def list_changed(self, now: float, lines: Collection[Listed], whole: bool, stale: bool) -> None:
        if not stale:
            if self.list_failures:
                self.host.log(f"list back after {self.list_failures} failures")
            self.list_failures = 0
        named = {line.id for line in lines}
        for line in lines:
            if line.id in self.left_out:
                self.left_out[line.id], line = line, replace(line, state=State.LEFT_OUT)
            known = self.endpoints.get(line.id)
            if self.live and line.share > 0:
                self.grade(line).listed(line.share, self.held(known) if known else 0)
            if known is None:
                self.endpoints[line.id] = Endpoint(line, self.QUEUE / self.peers)
            elif line.started and line.started != known.line.started:
                known.reset(line)
                self.host.log(f"{line.id} restarted {now - line.started:.1f} s ago: cold")
            else:
                known.line = line
        for known in [e for e in self.endpoints.values() if whole and e.id not in named]:
            known.line = replace(known.line, state=State.GONE)
            if known.id in self.left_out:
                self.left_out[known.id] = None
        self.renew()

    def renew(self) -> None:
        # Guards against growth: the ids of endpoints are ever new. One with something out still ends it.
        self.endpoints = {e.id: e for e in self.endpoints.values() if e.out or e.line.state is not State.GONE}
        self.touched = {e: None for e in self.touched if e.id in self.endpoints}
        ready = [e for _, e in sorted(self.endpoints.items()) if e.line.state is State.READY]
        if ready != self.ready or self.use_shares:
            self.ready = ready
            self.ranks.clear()

    def list_failed(self, now: float) -> None:
        self.list_failures += 1
        if self.list_failures == 1:
            self.host.log("list lost: asking again")
        self.host.wake(min(0.25 * 2**self.list_failures, self.ask_within / 4) * (0.5 + self.chance()), "list")

    def held(self, e: Endpoint) -> int:
        """What an endpoint holds: its own forwards here, and those of the other sidecars as last told."""
        return len(e.out) + max(0, self.pool.held[e.mark])

    def grade(self, line: Listed) -> Grade:
        return self.grades.get(line.kind) or self.grades.setdefault(line.kind, Grade())

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
        kind, worth = self.types[type_index], self.types[type_index].value
        if tenant is not None and tenant < len(self.asked):
            self.asked[tenant] += 1
            worth *= self.excess_value if self.chance() < self.over[tenant] else 1.0
        x = self.exchanges[id] = Exchange(
            id,
            kind,
            key or f"{self.chance()}",
            now + min(kind.promised_time, kind.expiry),
            expires_at,
            repeat,
            bool(key),
            coming,
            drawn=self.place(worth),
        )
        if self.further:
            self.further.taken.append(now)
        self.counts[x.key] = self.counts.get(x.key, 0.0) + 1
        self.counted, self.came = self.counted + 1, self.came + 1
        if self.counted >= self.COUNTED:
            self.counts, self.counted = {k: n / 2 for k, n in self.counts.items() if n > 1}, self.counted / 2
        if not self.advance(x, now):
            self.give_up(x, now)

    def spread(self, key: str, ranked: list[Endpoint]) -> list[Endpoint]:
        """The ranks, turned by chance for a key that makes more than one endpoint's part of the traffic.
        Guards against a hot key of which no sidecar has enough for the skip line to act."""
        share = (self.counts.get(key, 1.0) - 1) / max(self.counted, self.FEW)
        first = int(self.chance() * share * len(ranked) / self.SKIP_FACTOR)
        return ranked[first:] + ranked[:first]

    def crowding(self, times: float, promised: float, calm: float = 0.0) -> float:
        """The chance with which an exchange is turned away: none while times are short, or not yet swept.
        Guards against queues that many sidecars make with one forward each. In a pool it goes by what is held
        and from the calm time on: heavy work is late where cores are shared."""
        least, most = self.CROWDED * promised, self.CROWDED_OUT * promised
        if self.tells:
            least, most = max(least * self.POOLED, calm), max(most * self.POOLED, 2 * calm)
        return min((times - least) / (most - least), self.MOST_TURNED) if self.sweeps else 0.0

    def body_spent(self, now: float, id: int) -> None:
        if x := self.exchanges.get(id):
            x.spent = True

    def forward_written(self, now: float, id: int, number: int, expires_at: float) -> float:
        """Its body, which came meanwhile, is whole there: all times count from here. Gives the patience."""
        forward = self.forwards.get((id, number))
        if forward is None:
            return expires_at - now
        x = forward.exchange
        x.promised_at, x.expires_at = now + min(x.type.promised_time, x.type.expiry), expires_at
        if forward.writing:
            forward.writing, forward.sent, forward.endpoint.sent_at = False, now, now
            forward.endpoint.out[id, number] = self.forwards[id, number] = self.forwards.pop((id, number))
        return self.patience(x, now, forward.endpoint)

    def answer_started(self, now: float, id: int, number: int, elapsed: float) -> None:
        forward = self.forwards.get((id, number))
        if forward is not None and not forward.flowing:
            forward.flowing = True
            self.note_answer(forward, now)
            forward.endpoint.out.pop((id, number), None)  # it has done its work, however slow its client

    def forward_ended(
        self, now: float, id: int, number: int, over: bool, outcome: Outcome, lag: float = 0.0
    ) -> None:
        forward = self.forwards.pop((id, number), None)
        if forward is None:
            return
        x, endpoint = forward.exchange, forward.endpoint
        endpoint.out.pop((id, number), None)
        x.out -= 1
        if outcome in (Outcome.CALLED_OFF, Outcome.UNSENT):  # which tell nothing
            if forward.trial:
                forward.trial.told_nothing()
        elif outcome is Outcome.SERVED:
            if not forward.flowing:  # a sidecar short of CPU must not take its own delay for the endpoint's
                self.note_answer(forward, max(now - lag, forward.sent))
        else:
            self.note_failure(forward, outcome, now)
        if outcome not in NEVER_RAN and forward.sent < x.ran_at:
            x.ran_at, x.ran_where = forward.sent, forward.line
        if over or outcome is Outcome.SERVED:
            self.forget(x)
        elif id in self.exchanges and not x.out and not self.advance(x, now):
            self.give_up(x, now)

    def client_left(self, now: float, id: int) -> None:
        if id in self.exchanges:
            self.forget(self.exchanges[id])

    def forget(self, x: Exchange) -> None:
        self.exchanges.pop(x.id, None)
        if x.out and self.may_call_off:
            for forward in [self.forwards.get((x.id, number)) for number in range(x.forwards)]:
                if forward is not None and not forward.flowing:
                    self.host.call_off(x.id, forward.number)

    def give_up(self, x: Exchange, now: float) -> None:
        """The final answer, at once: a rejection where that is harmless, else a termination."""
        harmless = (
            (x.ran_where is None and not x.out)
            or x.type.effect is Effect.RETRIABLE
            or (x.type.effect is Effect.FINGERPRINTED and x.type.group is Group.ALL)
        )
        if harmless:
            soon = max(self.usual, x.type.promised_time / 12)  # back after this it may still be in time
            hopeful = x.promised_at - now > 3 * soon and not x.repeat
            self.host.reject(x.id, min(self.max_hold_off, soon) if hopeful else self.max_hold_off)
        else:
            self.host.terminate(x.id)
        self.forget(x)

    def advance(self, x: Exchange, now: float) -> bool:
        """Send the exchange on its next forward, if one is permitted, worth it and predicted in time."""
        if (
            x.forwards >= self.max_forwards
            or x.spent
            or now >= x.expires_at
            or (x.out and not self.parallel)
            or (x.forwards and not self.may_repeat(x, now))
        ):
            return False
        within: Callable[[Endpoint], bool] | None = None
        if x.ran_where is not None and x.type.effect is not Effect.RETRIABLE:
            if x.type.effect is Effect.BINDING or now - x.ran_at >= x.type.memory_span:
                return False
            ran, group = x.ran_where, x.type.group
            within = lambda e: (  # noqa: E731
                group is Group.ALL
                or (e.line.zone == ran.zone if group is Group.ZONE else e.line.cell == ran.cell)
            )
        if not (picked := self.pick(x, now, within)):
            return False
        endpoint, trial = picked
        if trial:
            trial.begin()
        if x.forwards:
            endpoint.credit -= 1
            if self.further:
                self.further.sent.append(now)
        if self.cold_age(endpoint, now) is not None:
            endpoint.cold_left -= 1
        forward = Forward(x, x.forwards, endpoint, endpoint.line, now, trial, x.coming, self.held(endpoint))
        self.forwards[x.id, x.forwards], endpoint.sent_at, self.touched[endpoint] = forward, now, None
        if not x.coming:
            endpoint.out[x.id, x.forwards] = forward
        x.forwards, x.out = x.forwards + 1, x.out + 1
        x.tried.append(endpoint)
        self.host.forward(x.id, endpoint.id, self.patience(x, now, endpoint))
        return True

    def may_repeat(self, x: Exchange, now: float) -> bool:
        return not self.further or self.further.allows(now, x.type.value / (self.most_value or 1.0))

    def patience(self, x: Exchange, now: float, endpoint: Endpoint) -> float:
        left = x.expires_at - now
        if x.type.effect is Effect.BINDING:
            return left  # nothing is gained by an early time-out: it could not go again
        promised = x.promised_at - now
        # Guards against waste: a forward sent after a time-out had hardly a chance, yet both are worked. In a
        # pool that knows what endpoints hold, what was given up would go on there, seen by nobody.
        return left if self.tells or promised <= 0 else min(promised, left)

    def rank(self, key: str) -> list[Endpoint]:
        """Ready endpoints by weighted rendezvous hash: alike at all sidecars of a zone."""
        ranked = self.ranks.get(key)
        if ranked is None:
            if len(self.ranks) > 4096:
                self.ranks.clear()

            fastest = min((g.time for g in self.grades.values() if g.time), default=1.0)

            def distance(e: Endpoint) -> float:
                word = blake2b(f"{key}|{e.id}".encode(), digest_size=8).digest()
                weight = e.line.share if self.use_shares and e.line.share > 0 else 1.0
                if self.tells:  # a kind that is not known yet counts as the fastest, or would never be
                    weight = (self.grade(e.line).time or fastest) ** -self.FASTER
                weight *= self.local_boost if e.line.zone == self.zone else 1.0
                return -math.log((int.from_bytes(word, "big") + 1) / 2**64) / weight

            ranked = self.ranks[key] = sorted(self.ready, key=distance)
        return ranked

    def cold_age(self, e: Endpoint, now: float) -> float | None:
        age = now - max(e.line.started or -math.inf, self.put_back.get(e.id, -math.inf))
        return age if age < self.budget.cold else None

    def able(self, e: Endpoint, now: float) -> float:
        """The least share of its full capacity that an endpoint has by now."""
        return 1.0 if (age := self.cold_age(e, now)) is None else self.budget.capacity(age)

    def ramped(self, e: Endpoint, key: str, now: float) -> bool:
        """Whether the key is one of those, alike at all sidecars, that a starting or restored one takes: more
        of them where this sidecar draws less than one forward, or few of its draws would meet their key."""
        drawn = self.budget.MARGIN * self.budget.multiple * self.budget.window * self.warm_rate  # when warm
        share = min(max(self.able(e, now), 1 / max(drawn, 0.01)), (now - e.back_at) / self.BACK_RAMP)
        return share >= 1.0 or zlib.crc32(f"{e.id}|{key}".encode()) / 2**32 < share

    def room(self, e: Endpoint, mean: float, now: float) -> bool:
        """Below the design's skip line, below its window, and within the budget if cold."""
        free, held = self.grade(e.line).free if self.tells else 0.0, self.held(e)
        if held > self.SKIP_FACTOR * mean + (free - 1 if free else self.SKIP_PLUS) or held >= (
            self.MOST_HELD * free or e.window
        ):
            return False
        age = self.cold_age(e, now)
        if age is not None and now >= e.cold_until:
            # Before a rate is known, all sidecars together count on one exchange in four seconds.
            e.cold_left, lasts = self.budget.draw(
                age, max(self.warm_rate, 0.25 / self.peers), e.latency, self.peers, self.chance()
            )
            e.cold_until = now + lasts
        return age is None or e.cold_left > 0

    def pick(
        self, x: Exchange, now: float, within: Callable[[Endpoint], bool] | None
    ) -> tuple[Endpoint, Breaker | None] | None:
        ranked, further = self.rank(x.key), bool(x.forwards)
        mean = (len(self.forwards) + self.pool.total) / len(ranked) if ranked else 0.0
        entry = self.table.entries.get(x.key)
        if entry and entry.current.line.state is not State.READY:
            del self.table.entries[x.key]  # step 4: the entry drops when its endpoint is unready
            entry = None

        def open_to(e: Endpoint) -> bool:
            return (
                e not in x.tried
                and (within is None or within(e))
                and not (further and e.credit < 1)
                and self.room(e, mean, now)
            )

        if (
            entry
            and entry.due
            and not further
            and entry.first.line.state is State.READY
            and not entry.first.breaker
            and open_to(entry.first)
        ):
            return entry.first, entry  # step 5: the key's next exchange alone is the trial
        ranked = (
            [entry.current] + [e for e in ranked if e not in entry.tried]
            if entry and self.table.moved(entry)
            else self.spread(x.key, ranked)
        )
        # Guards against an endpoint put back that waits for its keys: the next exchange that may goes there.
        for id, at in self.put_back.items():
            e = self.endpoints.get(id)
            if (
                e in ranked
                and e.sent_at < at
                and not further
                and open_to(e)
                and (x.type.effect is not Effect.BINDING or now - at > self.BACK_WAIT)
            ):
                return e, None
        left, best, best_time, promised = x.promised_at - now, None, math.inf, x.type.promised_time
        usual, drawn, looked = self.latency.low_mean(0.0, 2.0), x.drawn, 0
        lately = self.recent.low_mean(usual, 2.0) if self.recent.total >= self.THIN else 0.0
        for e in ranked:
            if looked >= max(self.DEPTH, len(ranked) / 3):
                break
            looked += not e.breaker
            if e.line.state is not State.READY or not open_to(e):
                continue
            if e.breaker:
                # Guards against an endpoint out for good where none but binding exchanges come.
                if (
                    e.breaker.due
                    and not further
                    and (x.type.effect is not Effect.BINDING or now - e.breaker.since > self.LAST_TRIAL)
                ):
                    return e, e.breaker
                continue
            grade = self.grade(e.line)
            prior = usual if self.cold_age(e, now) is None else 0.0  # it is calm by its budget
            times = grade.at(self.held(e)) if self.tells else e.latency.low_mean(prior, 2.0)
            # Guards against a jam that thin traffic meets too seldom at each one: what all warm ones take
            # lately counts, if that is enough. May hurt where most of them are slow and a few are not.
            if prior and e.latency.total <= self.THIN and not self.tells:
                times = max(times, lately)
            if not self.ramped(e, x.key, now) or drawn < self.crowding(times, promised, grade.time):
                continue
            time = e.predicted(now, self.usual)
            if time <= left / 2:
                return e, None
            # Guards against a lock-out: where nothing is out, one forward may always ask again.
            if not e.out and now - e.sent_at > max(1.0, self.peers * 0.25) and not further:
                return e, None
            if time < best_time and time <= left:
                best, best_time = e, time
        return (best, None) if best else None

    def kept(self, e: Endpoint, now: float) -> list[Histogram]:
        return [e.latency, self.latency, *([self.recent] if self.cold_age(e, now) is None else [])]

    def note_answer(self, forward: Forward, now: float) -> None:
        x, endpoint, latency = forward.exchange, forward.endpoint, now - forward.sent
        promised = x.type.promised_time
        # Guards against taking a cold endpoint for a sick one: by what it would take when warm.
        late = latency * self.able(endpoint, now) > promised
        for times in self.kept(endpoint, now):
            times.add(latency)
        if self.tells:
            self.grade(endpoint.line).add(forward.held, latency)
        endpoint.answered(now, forward.sent, endpoint.calm or self.calm or promised, promised)
        if forward.trial and self.table.entries.get(x.key) is forward.trial:
            del self.table.entries[x.key]
        if endpoint.breaker:
            if forward.trial is endpoint.breaker and late:
                endpoint.breaker.failed(now)
            elif forward.trial is endpoint.breaker:
                self.restore(endpoint, now, latency)
        else:
            self.judge(endpoint, late and not forward.overdue, now, "late")

    def note_failure(self, forward: Forward, outcome: Outcome, now: float) -> None:
        x, endpoint = forward.exchange, forward.endpoint
        lost = forward.lost or endpoint.answered_sent > forward.sent
        if outcome is Outcome.FULL or (outcome is Outcome.TIMED_OUT and not lost):
            endpoint.ease(now, forward.sent)
        if outcome is Outcome.TIMED_OUT and not lost:
            for times in self.kept(endpoint, now):
                times.add(now - forward.sent)  # or the quick alone would be seen
        elif outcome is Outcome.FULL:
            self.latency.add(x.type.promised_time)
        # Guards against long work: a time-out says nothing of an endpoint that answered since.
        sound = outcome is Outcome.TIMED_OUT and endpoint.answered_at > forward.sent
        if forward.trial:
            forward.trial.failed(now)
        if not sound and x.keyed:  # without a key only the endpoint's own trip counts

            def next_untried(tried: list[Endpoint]) -> Endpoint | None:
                return next((e for e in self.rank(x.key) if e not in tried and not e.breaker), None)

            self.table.failure(x.key, endpoint, x.type.effect is Effect.RETRIABLE, now, next_untried)
        if not endpoint.breaker and not forward.overdue:
            weight = Endpoint.FULL_PART if outcome is Outcome.FULL else not sound
            self.judge(endpoint, weight, now, outcome.value)

    def judge(self, endpoint: Endpoint, failed: float, now: float, why: str) -> None:
        """The keyless trip of the design, run for each endpoint on all of its outcomes."""
        endpoint.outcomes[0] += 1
        endpoint.failures[0], endpoint.row = endpoint.failures[0] + failed, endpoint.row + failed
        if not failed or endpoint.breaker:
            return
        # Guards against taking out half a fleet whose endpoints all fail a part of what they get.
        seen = self.touched  # those that are out too, or each in service would seem alone with its failures
        usual = sum(sum(e.failures) for e in seen) / max(1, sum(sum(e.outcomes) for e in seen))
        if endpoint.trips(usual):
            endpoint.breaker = Breaker(now)
            self.host.log(
                f"{endpoint.id} out: {sum(endpoint.failures):.0f} of {sum(endpoint.outcomes)} "
                f"failed, last {why}, {len(endpoint.out)} outstanding"
            )

    def restore(self, endpoint: Endpoint, now: float, latency: float) -> None:
        self.host.log(f"{endpoint.id} back: trial answered in {latency:.3f} s")
        endpoint.breaker, endpoint.failures, endpoint.outcomes = None, [0.0, 0.0], [0, 0]
        endpoint.latency, endpoint.back_at = Histogram(), now  # or a good trial sent all keys back at once

    def woken(self, now: float, token: str) -> None:
        if token == "list":
            return self.host.watch_list()
        if token == "tell":
            return self.tell(now)
        self.host.wake(self.TICK, "tick")
        overdue = 3 * self.slow or max(t.promised_time for t in self.types)  # or: no answer to go by yet
        for forward in list(self.forwards.values()):  # the oldest first
            if forward.writing or forward.flowing:
                continue
            e, x = forward.endpoint, forward.exchange
            if now - forward.sent < overdue:
                break
            # Guards against a silent connection: one overdue and overtaken holds no room, and may go again.
            if not forward.lost and e.answered_sent > forward.sent:
                forward.lost = True
                e.out.pop((x.id, forward.number), None)
                if (
                    self.may_call_off
                    and x.type.effect is Effect.RETRIABLE
                    and x.forwards == 1
                    and x.promised_at - now > self.slow
                    and self.may_repeat(x, now)
                ):
                    self.host.call_off(x.id, forward.number)
            if (
                not forward.overdue
                and not e.breaker
                and e.answered_at < forward.sent
                and (now - forward.sent) * self.able(e, now) >= overdue
            ):
                forward.overdue = True
                self.judge(e, True, now, "silent")
        if now - self.swept >= self.SWEEP:
            self.sweep(now)

    def tell(self, now: float) -> None:
        """What has changed, as often as its price lets; now and then all, as a message may be lost."""
        held = Counter(e.mark for e in self.touched for _ in e.out)
        whole = now - self.told_at > Pool.LASTS / 2
        began, ended = (held, Counter[int]()) if whole else (held - self.told, self.told - held)
        cost = (self.peers - 1) * (began.total() + ended.total()) / 64 * self.peer_price / max(self.rate, 1.0)
        self.host.wake(min(max(self.TELL, cost / self.TELL_COST), Pool.LASTS / 4), "tell")
        if whole or began or ended:
            self.told, self.told_at = held, now if whole else self.told_at
            self.host.tell_held(tuple(began.elements()), tuple(ended.elements()), whole)

    def learn_pool(self, now: float) -> None:
        self.pool.sweep(now)
        self.rates = [(r + n / (now - self.swept)) / 2 for r, n in zip(self.rates, self.asked, strict=True)]
        self.asked = [0.0] * len(self.rates)
        for n, allowed in enumerate(self.allowances):
            rate = self.rates[n] + sum(f.rates[n] for _, f in self.pool.facts.values() if n < len(f.rates))
            self.over[n] = max(0.0, 1 - allowed / rate) if rate else 0.0
        told = [facts.kinds for _, facts in self.pool.facts.values()]
        if any([grade.learn([t[kind] for t in told if kind in t]) for kind, grade in self.grades.items()]):
            self.ranks.clear()
        self.host.tell_facts(
            Facts(
                tuple(self.rates),
                {kind: (grade.calm, grade.found) for kind, grade in self.grades.items() if grade.calm},
            )
        )

    def sweep(self, now: float) -> None:
        # Guards against a fleet that starts cold or is replaced: what warm ones did is forgotten slowly.
        warm = [e for e in self.ready if self.cold_age(e, now) is None and not e.breaker]
        if warm:
            more = sum(e.answers for e in warm) / (now - self.swept) / len(warm) - self.warm_rate
            self.warm_rate += (self.LEARN if more > 0 else self.UNLEARN) * more
        self.rate, self.came = (self.rate + self.came / (now - self.swept)) / 2, 0
        self.worths = {worth: count * 0.8 for worth, count in self.worths.items() if count > 0.5}
        if self.tells:
            self.learn_pool(now)
        self.table.sweep(now)
        self.usual, self.slow = self.latency.quantile(0.5), self.latency.quantile(0.9)
        self.calm = min(self.calm * 1.01 or math.inf, self.usual) if self.latency.total >= 8 else self.calm
        self.recent.halve()
        self.sweeps += 1
        forget, halve, age = (self.sweeps % n == 0 for n in (self.FORGET, self.HALF, self.AGE))
        for e in list(self.touched):
            if e.breaker:
                e.breaker.sweep(now, FailoverTable.TRIAL_DELAY)
            e.busy, e.answers = 0.7 * e.busy + 0.3 * e.answers * e.calm / (now - self.swept), 0
            if e.latency.total >= 4:
                e.calm = min(e.calm * 1.01 or math.inf, e.latency.quantile(0.5))
            if halve and (age or sum(e.outcomes) > 8):  # where little comes, it is kept longer
                e.failures, e.outcomes = [0.0, e.failures[0]], [0, e.outcomes[0]]
            if forget and (e.latency.total > self.THIN or age):
                e.latency.halve()
            if halve and not (e.out or e.breaker or e.latency.total or any(e.outcomes)):
                del self.touched[e]  # nothing left to sweep: most endpoints, where traffic is thin
        self.swept = now
        if forget and (self.latency.total > 8 or halve):
            self.latency.halve()
