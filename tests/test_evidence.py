"""Word of endpoints and keys: the pure class alone, on real modules, and in the lab's virtual time."""

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
from rainspindle.decisions.evidence.watch import Watch, Watches
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


class Stage:
    """A host that writes down what is asked of it, and members that tell."""

    def __init__(self, members: int = 1, zone: int = 0, ready: int = 20, seed: int = 1, **terms: Any) -> None:
        self.members, self.many, self.place = members, ready, 5000
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
        return self.place

    def ready(self) -> int:
        return self.many

    def start_of(self, mark: int) -> int | None:
        return START

    def plan(self, now: float, mark: int, due: float) -> None:
        self.plans.append((mark, due))

    def warn(self, now: float, mark: int, on: bool) -> None:
        self.warned[mark] = on

    def counted(self) -> tuple[int, list[tuple[int, int]]]:
        return self.keys

    def held(self) -> list[tuple[int, int]]:
        return [(MARK, 2)]

    def tell(self, now: float, told: Told) -> None:
        assert len(encode_told(told)) <= MAX_BYTES
        self.written.append(told)

    def hear(
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
        self.evidence.heard(
            now, owner, Told(1, now if wall is None else wall, zone, outs, list(out), total, keys or [])
        )


def dead(tried: float = 0.0, start: int = START, **more: Any) -> Out:
    return Out(MARK, start, tried, True, **more)


# Warnings.


def test_several_tellers_warn_and_one_alone_never_does() -> None:
    stage = Stage()
    for turn in range(50):
        stage.hear(1.0 + turn / 10, "liar", dead())
    assert not stage.warned
    stage.hear(6.0, "b", dead())
    stage.hear(6.0, "c", dead())
    assert stage.warned == {MARK: True}
    stage.evidence.tick(6.0 + 15.1)  # word that is old counts for nothing
    assert stage.warned == {MARK: False}


def test_word_of_an_earlier_start_or_from_before_counts_for_nothing() -> None:
    stage = Stage()
    for who in "abcd":
        stage.hear(1.0, who, dead(start=START - 5))  # it has restarted since
        stage.hear(1.0, who + "old", dead(tried=20.0))
        stage.hear(1.0, who + "late", dead(), wall=-20.0)  # written long ago, and only now here
    assert not stage.warned
    stage.evidence.on_ejected(1.0, MARK, START, True)
    assert not stage.plans


def test_a_cut_between_zones_that_all_of_one_side_tell_warns_nobody_on_the_other() -> None:
    here, there = Stage(zone=0), Stage(zone=1)
    for n in range(30):
        for stage in (here, there):
            stage.hear(1.0, f"m{n}", dead(), zone=1)
    assert not here.warned, "one-sided: all of it is one way"
    assert there.warned == {MARK: True}, "their way is that of their own zone"


def test_one_whose_own_network_is_bad_tells_that_all_are_dead() -> None:
    stage = Stage(ready=20)
    for who in "abcdef":
        stage.hear(1.0, who, *(Out(mark, START, 0.0, True) for mark in range(16)), outs=20)
    assert not stage.warned
    # But where this one holds them out as well, they are heard: it is no worse a way than its own.
    for mark in range(100, 116):
        stage.evidence.on_ejected(1.0, mark, START, True)
    for who in "abc":
        stage.hear(1.1, who, *(Out(mark, START, 0.0, True) for mark in range(16)), outs=20)
    assert sum(stage.warned.values()) == 5, "a quarter of the endpoints at most"


# Trials.


def test_anothers_failed_trial_puts_the_own_one_off_and_an_answered_one_hastens_it() -> None:
    stage = Stage()
    stage.evidence.on_ejected(0.0, MARK, START, True)
    stage.hear(4.0, "b", dead(trying=True))
    assert stage.plans[-1][1] >= 4.0 + TRIAL_DELAY
    stage.hear(4.3, "b", dead())
    due = stage.plans[-1][1]
    assert due >= 4.3 + TRIAL_DELAY
    stage.hear(6.0, "b", dead(tried=0.0, served=0.0))
    assert 6.0 <= stage.plans[-1][1] < due
    plans = len(stage.plans)
    stage.hear(6.1, "c", dead(trying=True))  # hastened as well: no news
    stage.hear(6.1, "d", dead(tried=3.0))  # a failure from before
    assert len(stage.plans) == plans
    stage.hear(6.5, "c", dead())
    assert stage.plans[-1][1] >= 6.5 + TRIAL_DELAY


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
    """Whatever one member tells, and however often: no warning, a bounded delay, one trial more in a trip."""
    stage = Stage(members)
    stage.evidence.on_ejected(0.0, MARK, START, True)
    now = 0.0
    for gap, tried, served, trying, outs in lies:
        now += gap
        if now >= stage.evidence.ejections[MARK].due:
            break  # the module sends it with the next exchange
        stage.hear(now, "liar", dead(tried, served=tried if served else -1.0, trying=trying), outs=outs)
        stage.evidence.tick(now)
    draw = TRIAL_SPREAD * 8.3  # ln(4000)
    assert not any(stage.warned.values())
    assert stage.evidence.ejections[MARK].due <= TRIAL_DELAY + MAX_POSTPONED_BY_ONE * (
        TRIAL_DELAY + 1.0 + draw
    )
    assert stage.evidence.counts["hastened"] <= 1


@pytest.mark.parametrize("gap", [0.3, 0.99, 1.01, 4.0])
def test_a_liar_that_never_rests_keeps_no_endpoint_out(gap: float) -> None:
    stage, now = Stage(members=2000), 0.0
    stage.evidence.on_ejected(0.0, MARK, START, True)
    while now < min(stage.evidence.ejections[MARK].due, 200.0):
        now += gap
        stage.hear(now, "liar", dead())
    assert now < TRIAL_DELAY + MAX_POSTPONED_BY_ONE * (TRIAL_DELAY + 1.0 + TRIAL_SPREAD * 7.7)
    for turn in range(8):  # nor has it tried for ever: the second time it is not believed
        now += 2.0
        stage.hear(now, "liar", dead(served=0.0))
        stage.evidence.on_trial_sent(now, MARK)
        stage.evidence.on_trial_failed(now + 0.1, MARK)
        assert stage.evidence.counts["hastened"] <= 1, turn


def test_who_has_just_tried_is_not_first_again() -> None:
    later = 0
    for seed in range(20):
        stage = Stage(members=100, seed=seed)
        stage.evidence.on_ejected(0.0, MARK, START, True)
        stage.evidence.on_trial_failed(6.0, MARK)
        assert not stage.plans, "alone: as the module has it"
        stage.hear(6.5, "b", dead())
        stage.plans.clear()
        stage.evidence.on_trial_failed(12.0, MARK)
        later += any(due > 12.0 + TRIAL_DELAY + 0.5 for _, due in stage.plans)
    assert later >= 15


def rounds_of(members: int, seconds: float, news: float, word: bool = True) -> tuple[int, int]:
    """Trials at an endpoint that stays dead for all of them, and cells written, in steps of 50 ms."""
    stages = [Stage(members, seed=n) for n in range(members)]
    due: list[float] = []
    for n, stage in enumerate(stages):
        stage.evidence.on_ejected(n / members, MARK, START, True)
        due.append(n / members + TRIAL_DELAY)
    coming: list[tuple[float, int, Told]] = []
    trials = cells = 0
    for step in range(int(seconds * 20)):
        now = 1.0 + step / 20
        arrived = [c for c in coming if c[0] <= now]
        coming = [c for c in coming if c[0] > now]
        for n, stage in enumerate(stages):
            for _, who, told in arrived:
                if who != n and word:
                    stage.evidence.heard(now, f"m{who}", told)
            if stage.plans:
                due[n] = stage.plans.pop()[1]
                stage.plans.clear()
            if now >= due[n]:
                trials += 1
                stage.evidence.on_trial_sent(now, MARK)
                stage.evidence.on_trial_failed(now, MARK)
                due[n] = stage.plans.pop()[1] if stage.plans else now + TRIAL_DELAY
                stage.plans.clear()
            stage.evidence.tick(now)
            for told in stage.written:
                cells += 1
                coming.append((now + news, n, told))
            stage.written.clear()
    return trials, cells


def test_summed_trials_and_cells_stay_bounded_as_the_fleet_grows() -> None:
    """A thousand that start with no word meet a dead endpoint within the same second."""
    few, _ = rounds_of(10, 30.0, 0.3)
    many, cells = rounds_of(400, 30.0, 0.3)
    alone, _ = rounds_of(400, 15.0, 0.3, word=False)
    assert alone >= 2 * 400, "without word all is as it was"
    assert few <= 30 and many <= 40, (few, many)
    assert cells < 400, "and not each of them tells of it"


def test_what_enough_have_told_is_told_no_more() -> None:
    stage = Stage(members=1)
    for n in range(ENOUGH_REPORTERS):
        stage.hear(1.0, f"m{n}", dead())
    stage.evidence.on_ejected(1.1, MARK, START, True)
    stage.evidence.tick(1.1)
    assert not stage.written and stage.evidence.counts["kept_quiet"] == 1
    stage.evidence.on_trial_failed(7.0, MARK)  # an own trial is news
    stage.evidence.tick(7.0)
    assert [out.mark for out in stage.written[-1].out] == [MARK]


# Keys.


def test_a_hot_key_is_known_by_the_sum_and_no_one_teller_makes_one() -> None:
    stage = Stage()
    for n in range(40):
        stage.hear(0.5, f"m{n}", total=5, keys=[(1, 1), (100 + n, 1)])
    stage.hear(0.5, "liar", total=10**9, keys=[(2, 10**9), (1, -5)])
    stage.evidence.tick(1.2)
    assert set(stage.evidence.hot_key_shares) == {1}
    assert 0.14 < stage.evidence.hot_key_shares[1] <= 0.2, "the liar weighs as three do"
    stage.evidence.tick(40.0)
    assert not stage.evidence.hot_key_shares, "old counts tell nothing"


def test_only_the_first_tell_keys_and_the_more_seldom_the_longer() -> None:
    last = list[int]()  # seconds, of tellers that started together
    for seed in range(20):
        stage = Stage(seed=seed)
        stage.keys, stage.place = (9, [(1, 4)]), 3
        now, wrote = 0.0, list[float]()
        while now < 120.0:
            stage.evidence.tick(now)
            wrote += [now] * len(stage.written)
            stage.written.clear()
            now += 0.25
        assert wrote[0] <= 1.5 and len(wrote) < 25
        assert wrote[-1] - wrote[-2] >= (1 - KEY_GAP_JITTER) * MAX_KEY_GAP - 0.5
        last.append(int(wrote[-1]))
    assert max(last.count(second) for second in last) <= 8
    stage.place = 5000
    stage.evidence.tick(200.0)
    assert not stage.written


# On the module.


class Side(Watches):
    """A module with its evidence, as routing and the lab have it."""

    def __init__(self, endpoints: int = 8, seed: int = 7) -> None:
        super().__init__()
        self.fleet = Fleet(
            [kind()], [line(n, started=0.5, zone=0) for n in range(endpoints)], shares=False, seed=seed
        )
        self.fleet.now = self.fleet.now + 100.0
        self.written: list[Told] = []
        self.evidence = Evidence(self.fleet.now, 0, self, random.Random(1))
        self.all.append(Watch(self.fleet.balancer, self.evidence, 0.0))
        self.asked = 0
        self.fails: set[str] = set()

    def wall(self, now: float) -> float:
        return now

    def size(self) -> int:
        return 50

    def rank(self) -> int:
        return 0

    def tell(self, now: float, told: Told) -> None:
        self.written.append(decode_told(encode_told(told)))

    def ask(self, count: int, gap: float = 0.05, key: str = "", keys: int = 10**9) -> list[str]:
        """Exchanges one after the other, each answered unless its endpoint is one that fails; where they
        went first."""
        went = []
        for _ in range(count):
            self.asked += 1
            held = self.fleet.arrive(self.asked, key=key or f"k{self.asked % keys}")
            n = 0
            while n < len(held.sent):
                at = held.sent[n].endpoint
                self.fleet.end(
                    self.asked, n, AttemptOutcome.ERROR if at in self.fails else AttemptOutcome.SERVED
                )
                n += 1
            went.append(held.sent[0].endpoint)
            self.fleet.wait(gap)
            self.look(self.fleet.now)
            self.evidence.tick(self.fleet.now)
        return went

    def hear(self, *words: tuple[str, Out], outs: int = 0) -> None:
        for owner, out in words:
            self.evidence.heard(self.fleet.now, owner, Told(1, self.fleet.now, 0, outs, [out]))

    def out(self) -> set[str]:
        return {e.id for e in self.fleet.balancer.registry.by_id.values() if e.breaker}


def item(id: str, **more: Any) -> Out:
    return Out(mark_of(id), 500, 0.0, True, **more)


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
    """All members wrong at once, in any words."""
    side = Side()
    for who, n, served, trying, outs in words:
        side.hear((who, item(f"e{n}", served=0.0 if served else -1.0, trying=trying)), outs=outs)
        side.ask(2, 0.3)
    assert not side.out() and not side.evidence.ejections


def test_a_warned_endpoint_is_out_by_one_own_failure_and_all_wrong_at_once_heal() -> None:
    side = Side()
    side.ask(60)
    side.fails = {"e1"}
    side.hear(*((who, item("e1")) for who in "abcd"))
    went = side.ask(40)
    assert side.out() == {"e1"} and went.count("e1") == 1
    assert any(out.mark == mark_of("e1") for told in side.written for out in told.out)
    side.fails = set()  # it was a moment's trouble, and all tell on that it is dead
    for _ in range(4):
        side.hear(*((who, item("e1")) for who in "abcd"))
        side.ask(200, 0.1)
    side.ask(200, 0.1)
    assert not side.out(), "the trials go on, and one that is answered brings it back"
    assert not side.evidence.ejections and side.written[-1].outs == 0


def test_without_word_the_same_failures_leave_the_module_as_it_was() -> None:
    """The same draws, the same endpoints, the same trips: word missing or old changes nothing."""
    with_word, without = Side(), Side()
    without.all[0].balancer.popularity.adjust_share = own_share
    for side in (with_word, without):
        side.fails = {"e2", "e5"}
    side = with_word
    for who in "abcd":
        old = Told(1, side.fleet.now - 60.0, 0, 1, [item("e2")], 10, [(mark_of("k1"), 10)])
        side.evidence.heard(side.fleet.now, who, old)
    assert with_word.ask(400, keys=3) == without.ask(400, keys=3)
    assert with_word.fleet.logs == without.fleet.logs and with_word.out() == {"e2", "e5"}


def test_trials_of_others_spare_the_modules_own_and_an_answered_one_brings_it_back_sooner() -> None:
    tried, back = dict[bool, int](), dict[bool, float]()
    for word in (False, True):
        side = Side()
        side.fails = {"e1"}
        side.ask(120)
        assert side.out() == {"e1"}
        before, tried[word] = side.fleet.now, 0
        while side.fleet.now < before + 40.0:
            if word:
                side.hear((f"m{side.asked}", item("e1")))
            tried[word] += side.ask(10, 0.2).count("e1")
        side.fails, before = set(), side.fleet.now
        if word:
            side.hear(("z", item("e1", served=0.0)))
        while side.out():
            side.ask(1, 0.1)
        back[word] = side.fleet.now - before
    assert tried[False] >= 4 and tried[True] == 0 and back[True] < 4.5


def test_a_restart_voids_what_was_told_and_known() -> None:
    side = Side()
    side.fails = {"e1"}
    side.hear(*((who, item("e1")) for who in "abcd"))
    side.ask(40)
    assert side.out() == {"e1"}
    side.fails = set()
    side.fleet.tell([line(1, started=side.fleet.now, zone=0)])
    side.hear(*((who, item("e1")) for who in "abcd"))
    side.ask(1)
    assert not side.out() and not side.evidence.ejections and not side.evidence.warned
    assert side.fleet.balancer.registry.by_id["e1"].is_suspected is False


def test_what_was_kept_or_told_at_a_start_is_told_on_once_an_own_trial_has_failed() -> None:
    side = Side()
    kept, told = (side.fleet.balancer.registry.by_id[id] for id in ("e1", "e2"))
    kept.breaker, told.breaker = CircuitBreaker(side.fleet.now - 3.0), CircuitBreaker(side.fleet.now - 12.0)
    told.breaker.trial_due = True
    side.fleet.balancer.registry.active.update({kept: None, told: None})
    side.look(side.fleet.now)
    assert len(side.evidence.ejections) == 2
    side.evidence.tick(side.fleet.now + 1.0)
    assert not any(word.out for word in side.written)
    side.fails = {"e1"}
    side.ask(80)
    assert side.out() == {"e1"}
    assert {out.mark for out in side.written[-1].out if out.served < 0} == {mark_of("e1")}
    assert kept.breaker is not None and kept.breaker.failing_since > side.fleet.now - 5.0


def test_a_key_that_is_hot_by_word_is_spread_by_those_who_meet_it_first() -> None:
    went: dict[bool, set[str]] = {False: set(), True: set()}
    for word in went:
        for n in range(15):
            side = Side(endpoints=40, seed=n)
            for who in range(30 if word else 0):
                side.evidence.heard(
                    side.fleet.now, f"m{who}", Told(1, side.fleet.now, 0, 0, [], 10, [(mark_of("hot"), 1)])
                )
            side.fleet.wait(2.0)
            side.evidence.tick(side.fleet.now)
            went[word].update(side.ask(1, key="hot"))
    assert len(went[False]) == 1 and 3 <= len(went[True]) <= 8


# The wire, the file, the lab.


def test_cells_keep_their_form_and_what_is_unreadable_is_named() -> None:
    told = Told(1, 5.0, 2, 3, [dead(1.5)], 10, [(2**64 - 1, 4)], [(MARK, 2)])
    assert decode_told(encode_told(told)) == told
    newer = msgspec.msgpack.encode(
        [2, 5.0, 2, 3, [[MARK, START, 1.0, True, -1.0, False, "new"]], 0, [], [], "new"]
    )
    assert decode_told(newer).out == [dead(1.0)]
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
