"""Canaries: decisions over lossy, partitioned networks and restarts; the cores of both sides; tables."""

from __future__ import annotations

import contextlib
import math
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainspindle.balancer.balancer import Balancer
from rainspindle.balancer.host import AttemptOutcome, Idempotency
from rainspindle.balancer.host import EndpointStatus as Lifecycle
from rainspindle.decisions.canary import counts
from rainspindle.decisions.canary.canary import Canary, NoRunError, RunAbortedError, RunInProgressError
from rainspindle.decisions.canary.state import State, decode
from rainspindle.decisions.canary.terms import Step, Terms, point
from rainspindle.decisions.shared.registers import MAX_VALUE, RegisterStore
from rainspindle.errors import Trouble
from rainspindle.lab.canary_net import Net, Traffic
from rainspindle.lab.canary_pair import Pair, line
from rainspindle.program.fleet.canary import CanaryPart, unfit
from rainspindle.routing.canary import SplitCore
from rainspindle.routing.core import Finished, Rejected

STEPS = (Step(0.05, 10.0, 50), Step(0.25, 10.0, 50), Step(0.5, 10.0, 50))
TERMS = Terms("c", "kind new", STEPS, long=60.0, short=10.0)
# Seconds for which two members may be at different stages: a report is fresh for 4 s, and a member without
# fresh ones goes back to the old side 5 s later.
MAX_STAGE_LAG = 10.0


def started_net(seed: int = 1, size: int = 5, terms: Terms = TERMS, **options: Any) -> Net:
    net = Net(seed, size, terms, **options)
    net.run(1.0)
    net.nodes["s0"].canary.start(net.now, net.now)
    net.run(2.0)
    return net


def standings(net: Net) -> list[str]:
    return [node.canary.standing for node in net.nodes.values() if node.alive]


def seconds_until(net: Net, standing: str, timeout: float, each: Callable[[], None] = lambda: None) -> float:
    """Steps until all nodes alive have this standing; `each` is called after every step."""
    started_at = net.now
    while set(standings(net)) != {standing}:
        assert net.now - started_at < timeout, (standings(net), net.nodes["s0"].canary.report(net.now))
        net.step()
        each()
    return net.now - started_at


def test_keys_on_the_new_side_stay_there_and_are_the_same_at_every_sidecar() -> None:
    keys = [f"key{n}" for n in range(4000)]
    on_new_side = [{key for key in keys if point("c", key) < part} for part in (0.05, 0.25, 0.5)]
    assert on_new_side[0] < on_new_side[1] < on_new_side[2] and 900 < len(on_new_side[1]) < 1100
    assert on_new_side[1] != {key for key in keys if point("d", key) < 0.25}
    net = started_net()
    for key in keys[:200]:
        assert len({node.canary.takes(net.now, key) for node in net.nodes.values()}) == 1
    canary = net.nodes["s0"].canary
    assert any(canary.takes(net.now, None, key) for key in keys) and not canary.takes(net.now, None)


marks = st.frozensets(st.tuples(st.integers(0, 3), st.binary(min_size=4, max_size=4)), max_size=4)
states = st.builds(
    State,
    st.integers(0, 2),
    st.sampled_from([b"a", b"b"]),
    st.integers(0, 2),
    st.integers(0, 3),
    st.booleans(),
    marks,
    st.frozensets(st.binary(min_size=4, max_size=4), max_size=3),
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(states, states, states)
def test_states_join_in_any_order_late_and_twice(a: State, b: State, c: State) -> None:
    a, b, c = (s.join(s) for s in (a, b, c))
    assert a.join(b) == b.join(a) and a.join(b).join(a) == a.join(b)
    assert a.join(b).join(c) == a.join(b.join(c))
    assert decode(a.join(b).encode("why"))[0] == a.join(b)
    if (a.run, a.digest) == (b.run, b.digest):
        assert a.join(b).aborted >= a.aborted
        unseen = {m for m in a.open if m[1] not in b.pardoned}
        assert a.join(b).resumed().join(a).paused is False
        assert not unseen or a.join(b).paused, "a pause that the resume has not seen stays in force"


def test_a_pause_and_a_resume_win_over_an_advance_that_had_not_heard_of_them() -> None:
    at_stage_two = State(7, b"d", 0, 2)
    paused = at_stage_two.marked(b"mark")
    assert paused.join(State(7, b"d", 0, 3)).effective_stage == 2, "a pause does not return all to its stage"
    assert paused.resumed().join(State(7, b"d", 0, 3)).effective_stage == 2
    assert paused.resumed().join(State(7, b"d", 0, 3).marked(b"late")).paused


OPERATIONS = st.one_of(
    st.tuples(st.just("cut"), st.integers(0, 31)),
    st.tuples(st.just("deaf"), st.integers(0, 24)),
    st.tuples(st.just("loss"), st.sampled_from([0.0, 0.3])),
    st.tuples(st.just("stall"), st.integers(0, 4)),
    st.tuples(st.just("crash"), st.integers(0, 4)),
    st.tuples(st.just("back"), st.integers(0, 4)),
    st.tuples(st.just("heal"), st.just(0)),
    st.tuples(st.sampled_from(["start", "pause", "resume", "abort", "resume", "pause"]), st.integers(0, 4)),
    st.tuples(st.just("wait"), st.integers(2, 25)),
)


class InvariantChecker:
    """Checks after each step what must hold at any time."""

    def __init__(self, net: Net) -> None:
        self.net, self.apart_since = net, math.inf
        self.previous_states: dict[tuple[str, int], State] = {}

    def check(self) -> None:
        net = self.net
        stages = {}
        for node in net.nodes.values():
            if not node.alive:
                continue
            s, now = node.canary.state, net.now
            before = self.previous_states.get((node.name, node.life), State())
            if (s.run, s.digest) == (before.run, before.digest):
                assert s.aborted >= before.aborted, "a known abort was undone"
                if before.open and before.open <= s.open:
                    assert s.effective_stage <= before.effective_stage, "the run advanced after a known pause"
            self.previous_states[node.name, node.life] = s
            if not node.runs():
                continue
            part = node.canary.part(now)
            assert not part or not s.aborted, "a key goes to the new side after an abort"
            assert part in (0.0, *(step.part for step in STEPS), 1.0)
            if part:
                stages[node.name] = (s.run, s.effective_stage)
        self.apart_since = min(self.apart_since, net.now) if len(set(stages.values())) > 1 else math.inf
        assert net.now - self.apart_since <= MAX_STAGE_LAG, (
            "members at different stages for too long",
            stages,
        )


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.integers(0, 10**6), st.lists(OPERATIONS, min_size=3, max_size=14))
def test_random_histories(seed: int, operations: list[tuple[str, int | float]]) -> None:
    """Checks the invariants over random faults and operators' calls.

    Members are at different stages for no longer than `MAX_STAGE_LAG`, no run advances after a known pause,
    and no key goes to the new side unless its stage allows it. Once faults end, all reach the same state,
    paused if a pause was not resumed.
    """
    net = Net(seed, 5, Terms("c", "x", tuple(Step(s.part, 4.0, 1) for s in STEPS), each_effect=0))
    checker, names = InvariantChecker(net), list(net.nodes)
    traffic = Traffic(net, 2.0, lambda new, effect, part: 0.0)

    def each() -> None:
        traffic.step()
        checker.check()

    net.run(1.0, each)
    for op, arg in [("start", 0), ("wait", 5), *operations]:
        node = net.nodes[names[int(arg) % 5]]
        if op == "cut":
            net.group = {name: int(arg) >> n & 1 for n, name in enumerate(names)}
        elif op == "deaf":
            net.deaf.add((names[int(arg) % 5], names[int(arg) // 5]))
        elif op == "loss":
            net.loss = float(arg)
        elif op == "heal":
            net.group, net.loss = {}, 0.0
            net.deaf.clear()
        elif op == "stall":
            node.stopped_until = net.now + 1 + net.random.random() * 20
        elif op == "crash":
            node.alive = False
        elif op == "back" and not node.alive:
            node.start()
        elif op in ("start", "pause", "resume", "abort") and node.runs():
            with contextlib.suppress(NoRunError, RunAbortedError, RunInProgressError):
                getattr(node.canary, op)(net.now, *([net.now] if op == "start" else []))
            if op == "abort":
                assert node.canary.part(net.now) == 0.0
        net.run(float(arg) if op == "wait" else 1.0, each)
    net.group, net.loss = {}, 0.0
    net.deaf.clear()
    for node in net.nodes.values():
        node.stopped_until = -math.inf
        if not node.alive:
            node.start()
    net.run(8.0, each)
    seen = {node.canary.state for node in net.nodes.values()}
    assert len({(s.run, s.aborted, s.paused) for s in seen}) == 1, "members differ after the faults ended"
    assert all(s.aborted or node.canary.in_touch(net.now) for s in seen for node in net.nodes.values())


def test_a_cut_in_the_middle_of_an_advance() -> None:
    """A partition separates members that know of a new stage from members that do not.

    The run must not advance, the smaller part must take the old side, and all must be at the same stage after
    the partition ends.
    """
    net = started_net()
    traffic = Traffic(net, 20.0, lambda new, effect, part: 0.0)
    checker = InvariantChecker(net)

    def each() -> None:
        traffic.step()
        checker.check()

    while not any(node.canary.state.stage for node in net.nodes.values()):
        net.step()
        each()
    at_second_stage = [name for name, node in net.nodes.items() if node.canary.state.stage]
    net.group = {
        name: 1 for name in [*at_second_stage, *[n for n in net.nodes if n not in at_second_stage]][:2]
    }
    net.run(30.0, each)
    assert {node.canary.part(net.now) for name, node in net.nodes.items() if name in net.group} == {0.0}
    assert max(node.canary.state.stage for node in net.nodes.values()) == 1, (
        "the run advanced without the other members"
    )
    assert any("members heard" in why for why in net.nodes["s4"].canary.report(net.now)["waits"])  # type: ignore[attr-defined]
    net.group = {}
    net.run(5.0, each)
    assert {node.canary.part(net.now) for node in net.nodes.values()} in ({0.25}, {0.5})


def test_pause_and_resume_on_two_sides_of_a_cut() -> None:
    """A resume removes only the pauses that it has seen: one made in the other partition stays in force."""
    net = started_net()
    net.nodes["s0"].canary.pause(net.now)
    net.run(2.0)
    assert set(standings(net)) == {"paused"}
    net.group = {"s0": 1, "s1": 1}
    net.nodes["s1"].canary.pause(net.now)
    net.nodes["s4"].canary.resume(net.now)
    net.run(2.0)
    assert net.nodes["s3"].canary.standing == "running" and net.nodes["s0"].canary.standing == "paused"
    net.group = {}
    net.run(2.0)
    assert set(standings(net)) == {"paused"}
    net.nodes["s2"].canary.resume(net.now)
    assert seconds_until(net, "running", 2.0) <= 1.0


def test_the_one_that_advanced_it_dies_and_all_of_them_do() -> None:
    """Others' registers keep a decision when its member is lost, and the folders do when all members are."""
    net = started_net()
    traffic = Traffic(net, 20.0, lambda new, effect, part: 0.0)
    while not any(node.canary.state.stage for node in net.nodes.values()):
        net.step()
        traffic.step()
    proposer = next(node for node in net.nodes.values() if node.canary.state.stage)
    net.run(0.5)
    proposer.alive = False
    for node in net.nodes.values():
        node.cells.forget(proposer.name, "canary/c/state")
    net.run(3.0)
    other = next(node for node in net.nodes.values() if node is not proposer)
    other.folder, other.alive = False, False
    other.start()
    net.run(4.0)
    assert other.canary.state.stage == 1
    other.canary.pause(net.now)
    net.run(3.0)
    other.alive = False
    for node in net.nodes.values():
        node.inbox.clear()
        node.cells.forget(other.name, "canary/c/state")
    proposer.folder = False
    proposer.start()
    net.run(4.0)
    assert proposer.canary.standing == "paused", "no other member has the lost member's decision"
    proposer.canary.resume(net.now)
    other.start()
    net.run(3.0)
    for node in net.nodes.values():
        node.folder, node.alive = True, False
    for node in net.nodes.values():
        node.start()
        assert node.canary.part(net.now) == 0.0, "a stored stage is in force before any report arrived"
    net.run(3.0)
    assert {node.canary.part(net.now) for node in net.nodes.values()} == {0.25}


def test_a_stalled_one_takes_the_newest_before_one_exchange() -> None:
    net = started_net()
    stalled = net.nodes["s3"]
    stalled.stopped_until = net.now + 4.5
    net.run(3.5)
    assert len(stalled.inbox) == net.ROOM, "the stalled member's socket still has room for the abort"
    net.nodes["s0"].canary.abort(net.now)
    net.run(0.9)
    assert stalled.canary.part(net.now + 0.1) == 0.0, "a key goes to the new side before the first tick"

    def check_no_key_on_new_side() -> None:
        assert stalled.canary.part(net.now) == 0.0

    net.run(2.0, check_no_key_on_new_side)
    assert stalled.canary.state.aborted
    net = started_net()
    net.group = {"s3": 1}
    net.run(10.0)
    assert net.nodes["s3"].canary.part(net.now) == 0.0 and net.nodes["s0"].canary.part(net.now) == 0.05


FailureShare = Callable[[bool, Idempotency, float], float]


def run_until_decided(
    bad: FailureShare, size: int = 5, rate: float = 20.0, seconds: float = 300.0, seed: int = 3
) -> tuple[Net, Traffic]:
    """Runs until a node pauses or aborts the run, or for `seconds`."""
    net = started_net(seed, size)
    traffic, started_at = Traffic(net, rate, bad), net.now
    while net.now < started_at + seconds and not {"paused", "aborted"} & set(standings(net)):
        net.step()
        traffic.step()
    return net, traffic


def constant_share(share: float) -> FailureShare:
    return lambda new, effect, part: share


@pytest.mark.parametrize(
    ("bad", "size", "rate"),
    [
        pytest.param(
            lambda new, effect, part: 0.4 if new and part >= 0.25 else 0.003,
            5,
            20.0,
            id="fails only at 25% of load",
        ),
        pytest.param(
            lambda new, effect, part: 0.2 if new and effect is Idempotency.NON_IDEMPOTENT else 0.001,
            5,
            20.0,
            id="fails only for binding exchanges",
        ),
        pytest.param(
            lambda new, effect, part: 0.12 if new else 0.004,
            50,
            2.0,
            id="the budget burnt evenly over fifty sidecars",
        ),
        pytest.param(lambda new, effect, part: 0.99 if new else 0.004, 5, 20.0, id="slow, not wrong"),
    ],
)
def test_a_bad_release_is_stopped(bad: FailureShare, size: int, rate: float) -> None:
    net, traffic = run_until_decided(bad, size, rate)
    assert set(standings(net)) & {"paused", "aborted"}, net.nodes["s0"].canary.report(net.now)
    assert max(node.canary.state.stage for node in net.nodes.values()) <= 1
    if bad(True, Idempotency.NON_IDEMPOTENT, 0.0) > bad(True, Idempotency.IDEMPOTENT, 0.0):
        assert any(node.canary.note.startswith("binding") for node in net.nodes.values())
    # In the large fleet a single sidecar sees too few failures to decide by its own counts.
    fewest_harmed = min(node.canary.harmed for node in net.nodes.values())
    assert size < 50 or fewest_harmed <= 3 < traffic.harmed
    net.run(1.0)
    assert "running" not in standings(net), "the run is not stopped everywhere a second later"


@pytest.mark.parametrize("seed", range(3))
def test_quiet_days_and_general_trouble_stop_nothing(seed: int) -> None:
    """Failures that hit both sides alike do not count against the new side."""
    for share in (0.004, 0.3):
        net, _ = run_until_decided(constant_share(share), seconds=120.0, seed=seed)
        assert not {"paused", "aborted"} & set(standings(net))
        assert net.nodes["s0"].canary.state.stage > 0


def test_few_requests_are_no_evidence_of_health() -> None:
    net, _ = run_until_decided(constant_share(0.0), rate=0.3, seconds=100.0)
    waits: Any = net.nodes["s0"].canary.report(net.now)["waits"]
    assert net.nodes["s0"].canary.state.stage == 0 and any("exchanges seen" in why for why in waits)


def test_counts_that_come_late_twice_or_from_a_dead_life() -> None:
    """Counts are added once, in the buckets of their time; reports of an earlier incarnation are ignored."""
    net = started_net(size=2)
    a, b = net.nodes["s0"], net.nodes["s1"]
    for _ in range(40):
        b.canary.ended(net.now, True, Idempotency.NON_IDEMPOTENT, True)
    b.canary.publish_counts(net.now)
    older = b.cells.named("canary/c")["s1"].register
    counter = counts.counter_index(True, 2, True)
    for _ in range(40):
        b.canary.ended(net.now, True, Idempotency.NON_IDEMPOTENT, True)
    b.canary.publish_counts(net.now)
    newer = b.cells.named("canary/c")["s1"].register
    a.canary.heard_counts(net.now, "s1", newer.incarnation, newer.sequence, newer.value)
    for incarnation, sequence in (
        (newer.incarnation, newer.sequence),
        (older.incarnation, older.sequence),
        (older.incarnation - 1, 999),
    ):
        a.canary.heard_counts(net.now, "s1", incarnation, sequence, older.value)
        assert a.canary.window_totals(net.now)[0][counter] == 80
    assert (
        a.canary.window_totals(net.now + 15)[1][counter] == 0
        and a.canary.window_totals(net.now + 15)[0][counter] == 80
    )
    assert a.canary.window_totals(net.now + 80)[0][counter] == 0, (
        "counts outside the window still count as no newer ones came"
    )
    c = started_net(size=1).nodes["s0"].canary
    c.heard_state(net.now, "s1", b.canary.state.encode())
    c.heard_counts(net.now, "s1", newer.incarnation, newer.sequence, newer.value, net.now - 15)
    totals = c.window_totals(net.now)
    assert totals[0][counter] == 80 and totals[1][counter] == 0, (
        "relayed 15 s after their owner published them"
    )
    a.canary.heard_counts(net.now, "s1", 9, 1, b"\xff\x00")
    a.canary.heard_state(net.now, "s1", b"junk")
    assert a.canary.undecodable == 2


def test_a_register_holds_the_counts_of_the_busiest_sidecar() -> None:
    net = started_net(size=1)
    canary, cells = net.nodes["s0"].canary, RegisterStore("x", 1)
    for window in (canary.fine, canary.coarse):
        for bucket in [[10**7 + n] * counts.COUNTERS_PER_BUCKET for n in range(window.max_buckets)]:
            window.buckets.append(bucket)
    canary.publish_counts(net.now)
    value = net.nodes["s0"].cells.named("canary/c")["s0"].register.value
    assert len(value) <= MAX_VALUE and cells.write(0.0, "canary/c", value)
    report = counts.decode(value)
    assert report.unit * report.fine[0] == pytest.approx(10**7, rel=0.01)


def test_another_file_is_a_named_fault_and_never_a_mixture() -> None:
    other = Terms("c", "kind new", STEPS, budget=0.05)
    net = started_net(other_terms={"s4": other})
    assert net.nodes["s4"].canary.standing == "another file's" and net.nodes["s4"].canary.part(net.now) == 0.0
    assert [e for e in net.events if e[1:3] == ("s4", "canary terms differ")]
    with pytest.raises(RunInProgressError) as refused:
        net.nodes["s4"].canary.start(net.now, net.now)
    assert "abort" in refused.value.line()
    assert not net.nodes["s0"].canary.update_terms(net.now, other)
    net.nodes["s4"].canary.abort(net.now)
    assert seconds_until(net, "aborted", 2.0) <= 1.0
    for name in ("s0", "s1", "s2", "s3"):
        assert net.nodes[name].canary.update_terms(net.now, other)
    net.nodes["s2"].canary.start(net.now, net.now)
    net.run(3.0)
    assert {node.canary.part(net.now) for node in net.nodes.values()} == {0.05}


# The cores of the two sides.


def served_at_once(endpoint: str) -> tuple[AttemptOutcome, float]:
    return AttemptOutcome.SERVED, 0.02


OLD, NEW = {"e0", "e2", "e4"}, {"e1", "e3", "e5"}


@pytest.mark.parametrize("table", [{"kind": "new"}, {"endpoints": sorted(NEW)}])
def test_each_side_gets_its_own_keys_endpoints_and_orders(table: dict[str, Any]) -> None:
    pair = Pair(served_at_once, **table)
    pair.exchange("k0")
    assert {target for _, target in pair.sent} <= OLD, "a key goes to the new side before the run is started"
    pair.start()
    pair.sent.clear()
    finals = [pair.exchange(key) for inside in (True, False) for key in pair.in_canary(inside)]
    assert all(isinstance(final, Finished) for final in finals)
    assert all((target in NEW) is (point("c", key) < 0.5) for key, target in pair.sent)
    pair.core.leave_out("e1", True)
    pair.list_now((line(3, Lifecycle.DRAINING),), whole=False)
    pair.sent.clear()
    for key in pair.in_canary():
        pair.exchange(key)
    assert {target for _, target in pair.sent} == {"e5"}, "a drain or an order does not reach the new side"
    assert "e3" not in pair.core.directory.addresses, "a drain without a kind does not reach the new side"
    pair.list_now((line(5, Lifecycle.GONE),), whole=False)
    pair.sent.clear()
    final = pair.exchange(pair.in_canary()[0], 1)
    assert isinstance(final, Finished) and {target for _, target in pair.sent} <= OLD, (
        "a request goes to the new side after its endpoints are gone"
    )
    pair.core.leave_out("e1", False)
    pair.run.call(pair.loop.now(), "POST", ("canaries", "c", "abort"), {})
    pair.sent.clear()
    for key in pair.in_canary():
        pair.exchange(key)
    assert {target for _, target in pair.sent} <= OLD, "a key goes to the new side after the abort"


def failing_new_side(outcome: AttemptOutcome) -> Callable[[str], tuple[AttemptOutcome, float]]:
    return lambda endpoint: (outcome if endpoint in NEW else AttemptOutcome.SERVED, 0.01)


def test_all_endpoints_of_the_new_side_die_and_keys_go_back() -> None:
    """Requests fall back to the old side; non-idempotent ones get no more retries than at one balancer."""
    pair = Pair(failing_new_side(AttemptOutcome.NOT_CONNECTED), kind="new")
    pair.start()
    for key in pair.in_canary()[:3]:
        pair.sent.clear()
        assert isinstance(pair.exchange(key, 1), Finished), (
            "a request that the new side never executed gets no response"
        )
        assert len(pair.sent) <= 3, "more attempts over both sides than the settings allow"
    pair = Pair(lambda endpoint: (AttemptOutcome.NOT_CONNECTED, 0.01), kind="new")
    pair.start()
    for key in pair.in_canary()[:3]:
        pair.sent.clear()
        assert isinstance(pair.exchange(key, 1), Rejected)
        assert len(pair.sent) <= 3, "more attempts than the settings allow if both sides fail"
    pair = Pair(failing_new_side(AttemptOutcome.RESET), kind="new")
    pair.start()
    pair.exchange(pair.in_canary()[5], 2)
    assert {target for _, target in pair.sent} <= NEW, "a deduplicated request leaves its side"
    for key in pair.in_canary()[:3]:
        pair.sent.clear()
        assert not isinstance(pair.exchange(key, 1), Finished)
        assert len([target for _, target in pair.sent]) == 1, (
            "a non-idempotent request that may have been executed is retried"
        )
    assert isinstance(pair.exchange(pair.in_canary()[0], 0), Finished), (
        "an idempotent request does not fall back"
    )


def test_the_retry_budget_covers_both_sides() -> None:
    pair = Pair(
        failing_new_side(AttemptOutcome.NOT_CONNECTED),
        {"budget-free": 4.0, "repeat-ratio": 0.0, "counted-over": 6e4},
        forwards=2,
        kind="new",
    )
    pair.start()
    retries = 0
    for key in pair.in_canary()[:5]:
        pair.sent.clear()
        pair.exchange(key, 1)
        retries += max(0, len(pair.sent) - 1)
    assert retries == 2 and pair.run.router is not None and pair.run.router.fallbacks >= 2
    old = pair.core.facade.balancer
    assert isinstance(old, Balancer) and old.retry_budget is not None
    assert (
        old.retry_budget.counted_requests
        == pair.core.taken + pair.core.other_cores["c"].taken - pair.run.router.fallbacks
    )


def test_each_side_gets_reports_of_its_like_and_both_get_tenant_rates() -> None:
    pair, other = (Pair(served_at_once, peers=True, kind="new") for _ in range(2))
    messages: list[str] = []
    pair.core.tell = messages.append
    pair.start()
    for key in (*pair.in_canary()[:3], *pair.in_canary(False)[:2]):
        pair.exchange(key)
    assert {message.startswith("~") for message in messages} == {True, False}
    for message in messages:
        other.core.apply(other.core.facade.receive_message(other.loop.now(), "pair", message))
    for core, peer in ((other.core, "pair"), (other.core.other_cores["c"], "pair")):
        balancer = core.facade.balancer
        assert isinstance(balancer, Balancer) and peer in balancer.peer_load.reports
        assert {"pair~", "pair~c"} & balancer.peer_load.learned.keys()
    other.core.peer_gone("pair")
    for core in other.core.cores.values():
        balancer = core.facade.balancer
        assert isinstance(balancer, Balancer)
        assert not any(
            who.startswith("pair") for who in (*balancer.peer_load.reports, *balancer.peer_load.learned)
        )


def test_a_canary_of_a_setting_is_one_balancer_with_another_traffic_class() -> None:
    def slow(endpoint: str) -> tuple[AttemptOutcome, float]:
        return AttemptOutcome.SERVED, 0.5

    pair = Pair(slow, setting={"traffic_type": "read", "promised_time": 200})
    balancer = pair.core.facade.balancer
    assert isinstance(balancer, Balancer) and not pair.core.other_cores
    assert [t.latency_objective for t in balancer.traffic_classes] == [0.6, 0.6, 0.6, 0.2, 0.6, 0.6]
    pair.start()
    for key in (*pair.in_canary()[:4], *pair.in_canary(False)[:4]):
        pair.exchange(key)
    totals = pair.run.canaries["c"].window_totals(pair.loop.now())[0]
    # Both sides are counted by the configured latency objective, so that they can be compared.
    new, old = (
        (totals[counts.counter_index(side, 0)], totals[counts.counter_index(side, 0, True)])
        for side in (True, False)
    )
    assert new[0] == old[0] == 4 and new[1] >= 3 > 1 >= old[1]
    with pytest.raises(Trouble):
        pair.run.taker(pair.taker)
    assert isinstance(pair.core, SplitCore)


def test_every_error_of_a_table_is_reported_with_its_path() -> None:
    pair = Pair(served_at_once, kind="new")
    valid = {"name": "c", "stages": [{"part": 0.5, "time": 1, "exchanges": 1}]}
    faulty = [
        msgspec.convert({**valid, **changes}, type=CanaryPart)
        for changes in (
            {"kind": "nwe"},
            {"kind": "new", "endpoints": ["e1"]},
            {"name": "a/b", "endpoints": []},
            {"name": "d", "setting": {"traffic_type": "red", "value": 1.0}},
            {"name": "e", "setting": {"traffic_type": "read", "value": 7.0}},
            {"name": "f", "endpoints": ["e9"], "stages": [{"part": 1.0, "time": -1, "exchanges": 0}]},
            {
                "name": "g",
                "endpoints": ["e9"],
                "short": 400,
                "budget": 0,
                "pause_at": 20,
                "fresh": 0.4,
                "alone_after": 0,
                "each_effect": -1,
            },
        )
    ]
    errors = list(unfit(faulty, pair.config))
    for path in (
        "canary[0].kind",
        "canary[0].name",
        "canary[1]: names",
        "canary[2].name",
        "canary[2].endpoints",
        "canary[3].setting.traffic_type",
        "canary[4].setting.value",
        "canary[5].stages[0].part",
        "canary[5].stages[0]:",
        "canary[6].endpoints",
        "canary[6].budget",
        "canary[6].fresh",
        "canary[6].alone_after",
        "canary[6].each_effect",
        "canary[6]: requires 1 s",
    ):
        assert any(error.startswith(path) for error in errors), (path, errors)
    assert not list(unfit([msgspec.convert({**valid, "kind": "new"}, type=CanaryPart)], pair.config))


def test_calls_are_idempotent_and_refusals_say_what_to_do() -> None:
    pair = Pair(served_at_once, kind="new")

    def call(method: str, *path: str) -> Any:
        return pair.run.call(pair.loop.now(), method, path, {})

    assert call("GET", "wallets") is None
    for path, status in ((("canaries", "x", "start"), 404), (("canaries", "c", "stop"), 404)):
        assert call("POST", *path).status == status and call("POST", *path).body["remedy"]
    assert call("GET", "canaries", "c", "start").status == 405 and call("POST", "canaries").status == 405
    for action, kind in (("pause", NoRunError), ("resume", NoRunError), ("abort", NoRunError)):
        with pytest.raises(kind) as refused:
            call("POST", "canaries", "c", action)
        assert "start" in refused.value.remedy
    for action, standing in (
        ("start", "running"),
        ("pause", "paused"),
        ("resume", "running"),
        ("abort", "aborted"),
    ):
        bodies = [call("POST", "canaries", "c", action).body for _ in range(2)]
        assert bodies[0]["state"] == bodies[1]["state"] == standing and bodies[0]["run"] == bodies[1]["run"]
    with pytest.raises(RunAbortedError):
        call("POST", "canaries", "c", "resume")
    report = call("GET", "canaries").body["canaries"][0]
    assert report["state"] == "aborted" and msgspec.json.encode(report)
    assert isinstance(pair.run.canaries["c"], Canary) and isinstance(pair.exchange("k"), Finished | Rejected)
