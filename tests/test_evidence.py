"""Reports of endpoints and keys: the class alone, with real balancers, and in the lab's virtual time."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any, cast

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainspindle.balancer.failover import CircuitBreaker
from rainspindle.balancer.host import AttemptOutcome
from rainspindle.balancer.key_popularity import own_share
from rainspindle.decisions.evidence.evidence import (
    ENOUGH_REPORTERS,
    KEY_GAP_JITTER,
    MAX_KEY_GAP,
    MAX_POSTPONED_BY_ONE,
    TRIAL_DELAY,
    TRIAL_SPREAD,
    Evidence,
)
from rainspindle.decisions.evidence.watch import BalancerWatch, BalancerWatches
from rainspindle.lab.experiment import load
from rainspindle.lab.runs import play
from rainspindle.lab.word_bytes import cost
from rainspindle.program.fleet.config import unfit
from rainspindle.protocol.evidence import (
    MAX_BYTES,
    Out,
    Told,
    UnreadableEvidence,
    decode_told,
    encode_told,
    mark_of,
)
from tests.fleet import Fleet, kind, line

MARK, START = 77, 1000


class FakeHost:
    """A host that records what is requested of it, and members that report."""

    def __init__(self, members: int = 1, zone: int = 0, ready: int = 20, seed: int = 1, **terms: Any) -> None:
        self.members, self.ready_count, self.own_rank = members, ready, 5000
        self.plans: list[tuple[int, float]] = []
        self.warned: dict[int, bool] = {}
        self.written: list[Told] = []
        self.keys: tuple[int, list[tuple[int, int]]] = (0, [])
        self.evidence = Evidence(0.0, zone, self, random.Random(seed), **terms)

    def wall(self, now: float) -> float:
        return now

    def size(self) -> int:
        return self.members

    def rank(self) -> int:
        return self.own_rank

    def ready(self) -> int:
        return self.ready_count

    def start_of(self, mark: int) -> int | None:
        return START

    def plan(self, now: float, mark: int, due: float) -> None:
        self.plans.append((mark, due))

    def warn(self, now: float, mark: int, on: bool) -> None:
        self.warned[mark] = on

    def key_counts(self) -> tuple[int, list[tuple[int, int]]]:
        return self.keys

    def attempts_in_flight(self) -> list[tuple[int, int]]:
        return [(MARK, 2)]

    def publish(self, now: float, told: Told) -> None:
        assert len(encode_told(told)) <= MAX_BYTES
        self.written.append(told)

    def receive(
        self,
        now: float,
        owner: str,
        *out: Out,
        zone: int = 0,
        outs: int = 0,
        wall: float | None = None,
        total: int = 0,
        keys: list[tuple[int, int]] | None = None,
    ) -> None:
        self.evidence.report_received(
            now, owner, Told(1, now if wall is None else wall, zone, outs, list(out), total, keys or [])
        )


def dead_report(tried: float = 0.0, start: int = START, **more: Any) -> Out:
    return Out(MARK, start, tried, True, **more)


# Warnings.


def test_several_tellers_warn_and_one_alone_never_does() -> None:
    host = FakeHost()
    for turn in range(50):
        host.receive(1.0 + turn / 10, "liar", dead_report())
    assert not host.warned
    host.receive(6.0, "b", dead_report())
    host.receive(6.0, "c", dead_report())
    assert host.warned == {MARK: True}
    host.evidence.tick(6.0 + 15.1)  # old reports do not count
    assert host.warned == {MARK: False}


def test_word_of_an_earlier_start_or_from_before_counts_for_nothing() -> None:
    host = FakeHost()
    for who in "abcd":
        host.receive(1.0, who, dead_report(start=START - 5))  # the endpoint has restarted since
        host.receive(1.0, who + "old", dead_report(tried=20.0))
        host.receive(1.0, who + "late", dead_report(), wall=-20.0)  # written long ago and received only now
    assert not host.warned
    host.evidence.on_ejected(1.0, MARK, START, True)
    assert not host.plans


def test_a_cut_between_zones_that_all_of_one_side_tell_warns_nobody_on_the_other() -> None:
    here, there = FakeHost(zone=0), FakeHost(zone=1)
    for n in range(30):
        for host in (here, there):
            host.receive(1.0, f"m{n}", dead_report(), zone=1)
    assert not here.warned, "all reports of another zone must count as one path"
    assert there.warned == {MARK: True}, "reports of the own zone must count one by one"


def test_one_whose_own_network_is_bad_tells_that_all_are_dead() -> None:
    host = FakeHost(ready=20)
    for who in "abcdef":
        host.receive(1.0, who, *(Out(mark, START, 0.0, True) for mark in range(16)), outs=20)
    assert not host.warned
    # If this member has ejected them as well, the reports count: the reporter's network is no worse than its
    # own.
    for mark in range(100, 116):
        host.evidence.on_ejected(1.0, mark, START, True)
    for who in "abc":
        host.receive(1.1, who, *(Out(mark, START, 0.0, True) for mark in range(16)), outs=20)
    assert sum(host.warned.values()) == 5, "at most a quarter of the endpoints may be warned of"


# Trials.


def test_anothers_failed_trial_puts_the_own_one_off_and_an_answered_one_hastens_it() -> None:
    host = FakeHost()
    host.evidence.on_ejected(0.0, MARK, START, True)
    host.receive(4.0, "b", dead_report(trying=True))
    assert host.plans[-1][1] >= 4.0 + TRIAL_DELAY
    host.receive(4.3, "b", dead_report())
    due = host.plans[-1][1]
    assert due >= 4.3 + TRIAL_DELAY
    host.receive(6.0, "b", dead_report(tried=0.0, served=0.0))
    assert 6.0 <= host.plans[-1][1] < due
    plans = len(host.plans)
    host.receive(6.1, "c", dead_report(trying=True))  # brought forward as well: adds nothing
    host.receive(6.1, "d", dead_report(tried=3.0))  # an earlier failure
    assert len(host.plans) == plans
    host.receive(6.5, "c", dead_report())
    assert host.plans[-1][1] >= 6.5 + TRIAL_DELAY


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.floats(0.01, 3.0), st.floats(0.0, 4.0), st.booleans(), st.booleans(), st.integers(0, 40)
        ),
        max_size=120,
    ),
    st.integers(1, 4000),
)
def test_one_teller_can_put_a_trial_off_and_hasten_it_by_so_much_at_most(
    lies: list[tuple[float, float, bool, bool, int]], members: int
) -> None:
    """Whatever one member reports: no warning, a bounded delay, one more trial per ejection."""
    host = FakeHost(members)
    host.evidence.on_ejected(0.0, MARK, START, True)
    now = 0.0
    for gap, tried, served, trying, outs in lies:
        now += gap
        if now >= host.evidence.ejections[MARK].due:
            break  # the balancer sends the trial with the next request
        host.receive(
            now, "liar", dead_report(tried, served=tried if served else -1.0, trying=trying), outs=outs
        )
        host.evidence.tick(now)
    draw = TRIAL_SPREAD * 8.3  # ln(4000)
    assert not any(host.warned.values())
    assert host.evidence.ejections[MARK].due <= TRIAL_DELAY + MAX_POSTPONED_BY_ONE * (
        TRIAL_DELAY + 1.0 + draw
    )
    assert host.evidence.counts["hastened"] <= 1


@pytest.mark.parametrize("gap", [0.3, 0.99, 1.01, 4.0])
def test_a_liar_that_never_rests_keeps_no_endpoint_out(gap: float) -> None:
    host, now = FakeHost(members=2000), 0.0
    host.evidence.on_ejected(0.0, MARK, START, True)
    while now < min(host.evidence.ejections[MARK].due, 200.0):
        now += gap
        host.receive(now, "liar", dead_report())
    assert now < TRIAL_DELAY + MAX_POSTPONED_BY_ONE * (TRIAL_DELAY + 1.0 + TRIAL_SPREAD * 7.7)
    # Nor is the trial brought forward again and again: the second report is not believed.
    for turn in range(8):
        now += 2.0
        host.receive(now, "liar", dead_report(served=0.0))
        host.evidence.on_trial_sent(now, MARK)
        host.evidence.on_trial_failed(now + 0.1, MARK)
        assert host.evidence.counts["hastened"] <= 1, turn


def test_who_has_just_tried_is_not_first_again() -> None:
    later = 0
    for seed in range(20):
        host = FakeHost(members=100, seed=seed)
        host.evidence.on_ejected(0.0, MARK, START, True)
        host.evidence.on_trial_failed(6.0, MARK)
        assert not host.plans, "without reports the balancer's delay must stay"
        host.receive(6.5, "b", dead_report())
        host.plans.clear()
        host.evidence.on_trial_failed(12.0, MARK)
        later += any(due > 12.0 + TRIAL_DELAY + 0.5 for _, due in host.plans)
    assert later >= 15


def count_trials(members: int, seconds: float, news: float, word: bool = True) -> tuple[int, int]:
    """Returns the trials at an endpoint that stays dead, and the registers written, in 50 ms steps."""
    hosts = [FakeHost(members, seed=n) for n in range(members)]
    due: list[float] = []
    for n, host in enumerate(hosts):
        host.evidence.on_ejected(n / members, MARK, START, True)
        due.append(n / members + TRIAL_DELAY)
    coming: list[tuple[float, int, Told]] = []
    trials = cells = 0
    for step in range(int(seconds * 20)):
        now = 1.0 + step / 20
        arrived = [c for c in coming if c[0] <= now]
        coming = [c for c in coming if c[0] > now]
        for n, host in enumerate(hosts):
            for _, who, told in arrived:
                if who != n and word:
                    host.evidence.report_received(now, f"m{who}", told)
            if host.plans:
                due[n] = host.plans.pop()[1]
                host.plans.clear()
            if now >= due[n]:
                trials += 1
                host.evidence.on_trial_sent(now, MARK)
                host.evidence.on_trial_failed(now, MARK)
                due[n] = host.plans.pop()[1] if host.plans else now + TRIAL_DELAY
                host.plans.clear()
            host.evidence.tick(now)
            for told in host.written:
                cells += 1
                coming.append((now + news, n, told))
            host.written.clear()
    return trials, cells


def test_summed_trials_and_cells_stay_bounded_as_the_fleet_grows() -> None:
    """Many members that start without reports see a dead endpoint within the same second."""
    few, _ = count_trials(10, 30.0, 0.3)
    many, cells = count_trials(400, 30.0, 0.3)
    alone, _ = count_trials(400, 15.0, 0.3, word=False)
    assert alone >= 2 * 400, "without reports each member must try by itself"
    assert few <= 30 and many <= 40, (few, many)
    assert cells < 400, "not each member may report it"


def test_what_enough_have_told_is_told_no_more() -> None:
    host = FakeHost(members=1)
    for n in range(ENOUGH_REPORTERS):
        host.receive(1.0, f"m{n}", dead_report())
    host.evidence.on_ejected(1.1, MARK, START, True)
    host.evidence.tick(1.1)
    assert not host.written and host.evidence.counts["kept_quiet"] == 1
    host.evidence.on_trial_failed(7.0, MARK)  # an own trial adds something
    host.evidence.tick(7.0)
    assert [out.mark for out in host.written[-1].out] == [MARK]


# Keys.


def test_a_hot_key_is_known_by_the_sum_and_no_one_teller_makes_one() -> None:
    host = FakeHost()
    for n in range(40):
        host.receive(0.5, f"m{n}", total=5, keys=[(1, 1), (100 + n, 1)])
    host.receive(0.5, "liar", total=10**9, keys=[(2, 10**9), (1, -5)])
    host.evidence.tick(1.2)
    assert set(host.evidence.hot_key_shares) == {1}
    assert 0.14 < host.evidence.hot_key_shares[1] <= 0.2, (
        "the false reporter may weigh as much as three members"
    )
    host.evidence.tick(40.0)
    assert not host.evidence.hot_key_shares, "old counts must not count"


def test_only_the_first_tell_keys_and_the_more_seldom_the_longer() -> None:
    last = list[int]()  # seconds of the last write, of reporters that started together
    for seed in range(20):
        host = FakeHost(seed=seed)
        host.keys, host.own_rank = (9, [(1, 4)]), 3
        now, wrote = 0.0, list[float]()
        while now < 120.0:
            host.evidence.tick(now)
            wrote += [now] * len(host.written)
            host.written.clear()
            now += 0.25
        assert wrote[0] <= 1.5 and len(wrote) < 25
        assert wrote[-1] - wrote[-2] >= (1 - KEY_GAP_JITTER) * MAX_KEY_GAP - 0.5
        last.append(int(wrote[-1]))
    assert max(last.count(second) for second in last) <= 8
    host.own_rank = 5000
    host.evidence.tick(200.0)
    assert not host.written


# With a balancer.


class BalancerSide(BalancerWatches):
    """A balancer with its evidence, as in the program and in the lab."""

    def __init__(self, endpoints: int = 8, seed: int = 7) -> None:
        super().__init__()
        self.fleet = Fleet(
            [kind()], [line(n, started=0.5, zone=0) for n in range(endpoints)], shares=False, seed=seed
        )
        self.fleet.now = self.fleet.now + 100.0
        self.written: list[Told] = []
        self.evidence = Evidence(self.fleet.now, 0, self, random.Random(1))
        self.watches.append(BalancerWatch(self.fleet.balancer, self.evidence, 0.0))
        self.request_count = 0
        self.failing: set[str] = set()

    def wall(self, now: float) -> float:
        return now

    def size(self) -> int:
        return 50

    def rank(self) -> int:
        return 0

    def publish(self, now: float, told: Told) -> None:
        self.written.append(decode_told(encode_told(told)))

    def send_requests(self, count: int, gap: float = 0.05, key: str = "", keys: int = 10**9) -> list[str]:
        """Makes requests one after another and returns the endpoint of each one's first attempt.

        Each is answered unless its endpoint is in `failing`.
        """
        went = []
        for _ in range(count):
            self.request_count += 1
            request = self.fleet.arrive(self.request_count, key=key or f"k{self.request_count % keys}")
            n = 0
            while n < len(request.sent):
                endpoint = request.sent[n].endpoint
                self.fleet.end(
                    self.request_count,
                    n,
                    AttemptOutcome.ERROR if endpoint in self.failing else AttemptOutcome.SERVED,
                )
                n += 1
            went.append(request.sent[0].endpoint)
            self.fleet.wait(gap)
            self.check(self.fleet.now)
            self.evidence.tick(self.fleet.now)
        return went

    def receive(self, *words: tuple[str, Out], outs: int = 0) -> None:
        for owner, out in words:
            self.evidence.report_received(self.fleet.now, owner, Told(1, self.fleet.now, 0, outs, [out]))

    def out(self) -> set[str]:
        return {e.id for e in self.fleet.balancer.registry.by_id.values() if e.breaker}


def endpoint_report(endpoint_id: str, **more: Any) -> Out:
    return Out(mark_of(endpoint_id), 500, 0.0, True, **more)


@settings(max_examples=25, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from("abcdefgh"), st.integers(0, 7), st.booleans(), st.booleans(), st.integers(0, 9)
        ),
        max_size=60,
    )
)
def test_nothing_is_ever_out_without_an_own_failure(words: list[tuple[str, int, bool, bool, int]]) -> None:
    """All members report wrongly at once, in any way."""
    side = BalancerSide()
    for who, n, served, trying, outs in words:
        side.receive(
            (who, endpoint_report(f"e{n}", served=0.0 if served else -1.0, trying=trying)), outs=outs
        )
        side.send_requests(2, 0.3)
    assert not side.out() and not side.evidence.ejections


def test_a_warned_endpoint_is_out_by_one_own_failure_and_all_wrong_at_once_heal() -> None:
    side = BalancerSide()
    side.send_requests(60)
    side.failing = {"e1"}
    side.receive(*((who, endpoint_report("e1")) for who in "abcd"))
    went = side.send_requests(40)
    assert side.out() == {"e1"} and went.count("e1") == 1
    assert any(out.mark == mark_of("e1") for told in side.written for out in told.out)
    side.failing = set()  # the fault is over, but all members go on reporting the endpoint as dead
    for _ in range(4):
        side.receive(*((who, endpoint_report("e1")) for who in "abcd"))
        side.send_requests(200, 0.1)
    side.send_requests(200, 0.1)
    assert not side.out(), "trials must go on, and an answered one must readmit the endpoint"
    assert not side.evidence.ejections and side.written[-1].outs == 0


def test_without_word_the_same_failures_leave_the_module_as_it_was() -> None:
    """Missing or old reports change nothing: the same random draws, endpoints and ejections."""
    with_word, without = BalancerSide(), BalancerSide()
    without.watches[0].balancer.popularity.adjust_share = own_share
    for side in (with_word, without):
        side.failing = {"e2", "e5"}
    side = with_word
    for who in "abcd":
        old = Told(1, side.fleet.now - 60.0, 0, 1, [endpoint_report("e2")], 10, [(mark_of("k1"), 10)])
        side.evidence.report_received(side.fleet.now, who, old)
    assert with_word.send_requests(400, keys=3) == without.send_requests(400, keys=3)
    assert with_word.fleet.logs == without.fleet.logs and with_word.out() == {"e2", "e5"}


def test_trials_of_others_spare_the_modules_own_and_an_answered_one_brings_it_back_sooner() -> None:
    tried, back = dict[bool, int](), dict[bool, float]()
    for word in (False, True):
        side = BalancerSide()
        side.failing = {"e1"}
        side.send_requests(120)
        assert side.out() == {"e1"}
        before, tried[word] = side.fleet.now, 0
        while side.fleet.now < before + 40.0:
            if word:
                side.receive((f"m{side.request_count}", endpoint_report("e1")))
            tried[word] += side.send_requests(10, 0.2).count("e1")
        side.failing, before = set(), side.fleet.now
        if word:
            side.receive(("z", endpoint_report("e1", served=0.0)))
        while side.out():
            side.send_requests(1, 0.1)
        back[word] = side.fleet.now - before
    assert tried[False] >= 4 and tried[True] == 0 and back[True] < 4.5


def test_a_restart_voids_what_was_told_and_known() -> None:
    side = BalancerSide()
    side.failing = {"e1"}
    side.receive(*((who, endpoint_report("e1")) for who in "abcd"))
    side.send_requests(40)
    assert side.out() == {"e1"}
    side.failing = set()
    side.fleet.tell([line(1, started=side.fleet.now, zone=0)])
    side.receive(*((who, endpoint_report("e1")) for who in "abcd"))
    side.send_requests(1)
    assert not side.out() and not side.evidence.ejections and not side.evidence.warned
    assert side.fleet.balancer.registry.by_id["e1"].is_suspected is False


def test_what_was_kept_or_told_at_a_start_is_told_on_once_an_own_trial_has_failed() -> None:
    side = BalancerSide()
    kept, told = (side.fleet.balancer.registry.by_id[endpoint_id] for endpoint_id in ("e1", "e2"))
    kept.breaker, told.breaker = CircuitBreaker(side.fleet.now - 3.0), CircuitBreaker(side.fleet.now - 12.0)
    told.breaker.trial_due = True
    side.fleet.balancer.registry.active.update({kept: None, told: None})
    side.check(side.fleet.now)
    assert len(side.evidence.ejections) == 2
    side.evidence.tick(side.fleet.now + 1.0)
    assert not any(word.out for word in side.written)
    side.failing = {"e1"}
    side.send_requests(80)
    assert side.out() == {"e1"}
    assert {out.mark for out in side.written[-1].out if out.served < 0} == {mark_of("e1")}
    assert kept.breaker is not None and kept.breaker.failing_since > side.fleet.now - 5.0


def test_a_key_that_is_hot_by_word_is_spread_by_those_who_meet_it_first() -> None:
    went: dict[bool, set[str]] = {False: set(), True: set()}
    for word in went:
        for n in range(15):
            side = BalancerSide(endpoints=40, seed=n)
            for who in range(30 if word else 0):
                side.evidence.report_received(
                    side.fleet.now, f"m{who}", Told(1, side.fleet.now, 0, 0, [], 10, [(mark_of("hot"), 1)])
                )
            side.fleet.wait(2.0)
            side.evidence.tick(side.fleet.now)
            went[word].update(side.send_requests(1, key="hot"))
    assert len(went[False]) == 1 and 3 <= len(went[True]) <= 8


# Codec, fleet file and lab.


def test_cells_keep_their_form_and_what_is_unreadable_is_named() -> None:
    told = Told(1, 5.0, 2, 3, [dead_report(1.5)], 10, [(2**64 - 1, 4)], [(MARK, 2)])
    assert decode_told(encode_told(told)) == told
    newer = msgspec.msgpack.encode(
        [2, 5.0, 2, 3, [[MARK, START, 1.0, True, -1.0, False, "new"]], 0, [], [], "new"]
    )
    assert decode_told(newer).out == [dead_report(1.0)]
    assert decode_told(msgspec.msgpack.encode([1, 5.0, 2, 3])).out == []
    full = Told(
        1,
        1e9,
        9,
        99,
        [Out(2**64 - n, 2**45, 1.123, True, 1.1) for n in range(1, 40)],
        9,
        [(2**64 - n, 9) for n in range(1, 90)],
        [(MARK, 1)],
    )
    assert len(encode_told(full)) <= MAX_BYTES
    with pytest.raises(UnreadableEvidence):
        decode_told(b"\x91\x01")


def test_faults_of_the_table_are_named_with_their_path() -> None:
    def faults(table: Any) -> str:
        return "\n".join(unfit({"evidence": table}, cast(Any, "any")))

    assert "evidence.tellers: 1 is not from 2" in faults({"tellers": 1})
    assert "evidence.lasts: 2 s" in faults({"lasts": 2.0})
    assert "evidence.teller" in faults({"teller": 3}) and "tellers" in faults({"teller": 3})


def test_the_lab_plays_word_off_and_on() -> None:
    path = Path(__file__).parent.parent / "experiments" / "word-trials.toml"
    x = load(
        path,
        length=20.0,
        seeds=[1],
        warmup=1.0,
        faults=[{"kind": "errors", "at": 2.0, "length": 16.0, "part": 0.08, "size": 1.0}],
    )
    alone, word = (play(x, "virtual", name, 1) for name in ("alone", "word"))
    assert not sum(word.rules.values()) and not word.faults
    assert alone.figures["trials_vain"] > 20 > 10 > word.figures["trials_vain"] > 0
    assert word.figures["goodput"] >= alone.figures["goodput"] - 0.005 and word.figures["cells"] > 1


def test_what_cells_cost_is_what_members_send_until_all_others_have_them() -> None:
    value = encode_told(Told(1, 0.0, 0, 0, [], 9, [(2**64 - 1 - n, 1) for n in range(12)]))
    word, none = (cost(12, cells, 4.0) for cells in ([(0.5, 3, value), (2.5, 4, value)], []))
    assert word.cells == [1, 0, 1, 0] and len(word.delays) == 22 and not none.delays
    assert [more > less + len(value) for more, less in zip(word.sent_bytes, none.sent_bytes, strict=True)][
        ::2
    ] == [True, True]
