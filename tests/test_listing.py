"""Relayed endpoint list in virtual time: who polls, which reports count, when own calls are skipped."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainspindle.balancer.host import EndpointStatus, ListedEndpoint
from rainspindle.decisions.listing.relay import (
    LAST_CALL_FRACTION,
    RETRY_RATE,
    EndpointListRelay,
    RelaySettings,
    rank_hash,
)
from rainspindle.lab.listing_net import AT, Net, Service, encoded, listed, play
from rainspindle.lab.models.registry import Change, Registry
from rainspindle.program.config import Config
from rainspindle.program.fleet.listing import ListPart, unfit, with_known_start
from rainspindle.protocol import listing as codec
from rainspindle.protocol.listing import Head
from rainspindle.routing.follow import Follower

from .fleet import Rig, Stand, entry, only
from .lab import experiment, played

WITHIN = 10.0
NAMES = [f"s{n}" for n in range(20)]
ASKERS = sorted(NAMES, key=rank_hash)[:3]
OTHERS = [name for name in NAMES if name not in ASKERS]


def service(
    changes: Sequence[float] = (),
    outages: Sequence[tuple[float, float]] = (),
    rate: float = 0.0,
    size: int = 12,
) -> Service:
    """A list of which an endpoint drains, or is ready again, at each of these times."""
    turns = [
        Change(at, listed(n // 2 % size, EndpointStatus.READY if n % 2 else EndpointStatus.DRAINING))
        for n, at in enumerate(changes)
    ]
    return Service(Registry([listed(n) for n in range(size)], turns, list(outages)), rate)


def started_fleet(changes: Sequence[float] = (), seed: int = 1, seconds: float = 20.0, **more: object) -> Net:
    """Returns a fleet in which all members but the askers skip their own calls."""
    net = Net(service(changes), NAMES, seed, **more)  # type: ignore[arg-type]
    net.start()
    net.run(seconds)
    assert modes(net) == {name: "asker" if name in ASKERS else "spared" for name in NAMES}
    return net


def modes(net: Net) -> dict[str, str]:
    return {n.name: n.relay.mode for n in net.nodes.values() if n.up and n.relay is not None}


def check_known(net: Net, since: float, *but: str) -> None:
    """Checks that all running members knew each change within the asking period, as without the relay."""
    truth = encoded(net.service.registry.whole(net.service.registry.version(net.now)))
    for node in net.nodes.values():
        if node.up and node.name not in but:
            assert node.lines == truth, node.name
            for n, at in enumerate(net.service.registry.times):
                if since <= at <= net.now:
                    known = net.known_at.get((node.name, node.run, n + 2), math.inf)
                    assert known - max(at, node.started) <= WITHIN, (node.name, n, at, known)


def calls(net: Net, since: float) -> float:
    """Calls a second since then."""
    return sum(at >= since for at in net.service.calls) / (net.now - since)


def test_a_few_ask_and_a_change_is_known_soon() -> None:
    changes = [40.0, 47.0, 54.5]
    net, alone = started_fleet(changes), Net(service(changes), NAMES, 1, relayed=False)
    alone.start()
    net.run(40.0)
    alone.run(60.0)
    assert calls(net, 20.0) < 2.5 and calls(alone, 20.0) > 3.0
    late = sorted(net.lateness(20.0))
    assert len(late) == 60 and late[-1] < 1.5 and late[30] < 0.6
    check_known(net, 20.0)


def for_each(names: Sequence[str], do: Callable[[str], None]) -> None:
    for name in names:
        do(name)


FAULTS: dict[str, Callable[[Net], object]] = {
    "an asker dies": lambda net: net.kill(ASKERS[0]),
    "all askers die": lambda net: net.kill(*ASKERS),
    "all askers stand still": lambda net: for_each(ASKERS, lambda name: net.stall(name, 25.0)),
    "all askers are cut off": lambda net: net.cut(dict.fromkeys(ASKERS, 1)),
    "a third is cut off": lambda net: net.cut(dict.fromkeys(NAMES[:7], 1)),
    "calls of the askers fail": lambda net: for_each(ASKERS, net.blind),
    "all of the first ranks fail": lambda net: for_each(sorted(NAMES, key=rank_hash)[:12], net.blind),
    "no cell comes any more": lambda net: net.cut({name: n for n, name in enumerate(NAMES)}),
    "a third of the cells is late": lambda net: setattr(net, "loss", 0.33),
}


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("seed", [1, 2])
def test_whatever_becomes_of_the_askers_no_change_is_known_later_than_alone(fault: str, seed: int) -> None:
    chance = random.Random(f"{fault}{seed}")
    net = started_fleet([20.1 + 35 * chance.random() for _ in range(6)], seed)
    FAULTS[fault](net)
    net.run(50.0)
    stopped = {n.name for n in net.nodes.values() if n.stopped_until > 20.0 or n.blind}
    check_known(net, 20.0, *stopped)
    if fault in ("all askers die", "calls of the askers fail", "all askers stand still"):
        assert calls(net, 60.0) < 4.0, (
            "the members next in rank must take over, and the others skip their calls again"
        )


def test_an_asker_with_an_old_copy_keeps_nobody_from_the_truth() -> None:
    net = started_fleet([30.0, 40.0, 52.0])
    for name in ASKERS[:2]:
        net.nodes[name].service = Service(Registry([listed(n) for n in range(12)], [], []))
    net.run(50.0)
    check_known(net, 20.0, *ASKERS[:2])
    assert calls(net, 55.0) < 4.0


def falsified(how: str) -> Callable[[str, bytes], bytes]:
    """Returns a function that falsifies what a member publishes."""
    count = [0]

    def told(name: str, value: bytes) -> bytes:
        if not value:
            return value
        if name == codec.HEAD:
            head = codec.decode(value, Head)
            count[0] += 1
            far = 2**62 + count[0] if how == "too high" else head.version + 1
            gone = [(f"e{n}", b"") for n in range(12)]
            ways: dict[str, dict[str, Any]] = {
                "too high": {"version": far, "delta": gone},
                "one ahead": {"version": far, "delta": gone},
                "wrong changes": {"delta": gone},
                "wrong digest": {"digest": b"x" * codec.DIGEST_BYTES},
                "never old": {"age": 0, "failing": False},
                "unreadable": {},
                "wrong chunk": {},
            }
            lied = codec.encode(msgspec.structs.replace(head, **ways[how]))
            return b"\xc1" if how == "unreadable" else lied
        return value[:-1] + b"\0" if how == "wrong chunk" else value

    return told


@pytest.mark.parametrize(
    "how",
    ["too high", "one ahead", "wrong changes", "wrong digest", "never old", "unreadable", "wrong chunk"],
)
def test_one_that_lies_changes_no_list_and_costs_few_calls(how: str) -> None:
    net = started_fleet([30.0, 41.0, 52.0])
    net.lies[ASKERS[1]] = falsified(how)
    net.run(12.0)
    net.kill(OTHERS[0])
    net.run(3.0)
    net.start(OTHERS[0])  # a new member receives it too
    net.run(35.0)
    check_known(net, 20.0)
    assert all(node.version == 4 for node in net.nodes.values())
    assert calls(net, 45.0) < 5.0, "without the relay they make 2.9, and one more each for each change"
    if how == "too high":
        assert {e[3]["member"] for e in net.events if "not believed" in e[2]} == {ASKERS[1]}


@pytest.mark.parametrize("gone", [2, 12])
def test_two_that_tell_one_lie_are_found_out_by_the_third(gone: int) -> None:
    """Two members report endpoints as gone: no member applies it for long, and none if most are gone."""
    net = started_fleet([12.0], seconds=25.0)
    truth = net.nodes[OTHERS[0]].lines
    left = {
        endpoint_id: data for endpoint_id, data in truth.items() if endpoint_id not in sorted(truth)[:gone]
    }

    def told(name: str, value: bytes) -> bytes:
        if name != codec.HEAD or not value:
            return value
        return codec.encode(
            msgspec.structs.replace(
                codec.decode(value, Head),
                version=900,
                digest=codec.digest(left),
                age=0,
                since=0,
                delta=[(endpoint_id, b"") for endpoint_id in sorted(truth)[:gone]],
            )
        )

    net.lies = dict.fromkeys(ASKERS[:2], told)
    believed: dict[str, float] = dict.fromkeys(NAMES, 0.0)
    while net.now < 145.0:
        net.run(0.25)
        for node in net.nodes.values():
            believed[node.name] += 0.25 * (node.lines != truth)
    assert max(believed.values()) <= (15.0 if gone == 2 else 0.0), (
        "an audit by a sidecar on its own takes 60 s and more"
    )
    assert gone == 12 or sum(believed.values()) > 0.0
    assert calls(net, 25.0) < 10.0


def test_while_the_service_is_down_calls_are_bounded_and_all_know_soon_after() -> None:
    net = Net(service([25.0, 31.0], [(22.0, 30.0)]), [f"s{n}" for n in range(400)], 1)
    net.start()
    net.run(20.0)
    net.service.gate = type(net.service.gate)(8.0)
    net.run(28.0)
    # Each member makes one call when its own is due, and then few. Without the relay they make some 200 a
    # second.
    assert calls(net, 22.0) < 800 / 26 and calls(net, 40.0) < RETRY_RATE
    late = sorted(net.lateness(30.5, 32.0))
    assert len(late) == 400 and late[200] < 5.0 and late[-1] < 12.0


def test_versions_counted_anew_by_the_service() -> None:
    net = started_fleet([12.0 + n / 10 for n in range(8)] + [44.0])
    assert {node.version for node in net.nodes.values()} == {9}
    net.service.base = -8
    back = set[str]()
    while net.now < 60.0:
        net.run(0.05)
        back |= {node.name for node in net.nodes.values() if node.version != 9}
        assert all(net.nodes[name].version != 9 for name in back), (
            "an older report has replaced the service's own list"
        )
    assert {node.version for node in net.nodes.values()} == {2}
    check_known(net, 44.0)
    net.run(30.0)
    assert calls(net, 75.0) < 2.5, "they must skip their own calls again"


def test_word_of_the_address_before_counts_for_nothing() -> None:
    net = started_fleet([12.0, 30.0], seconds=25.0)
    drains = Change(45.0, listed(31, EndpointStatus.DRAINING))
    other = Service(Registry([listed(n) for n in range(30, 40)], [drains], []))
    other.at = codec.mark("another")
    for name in OTHERS[:10]:
        node = net.nodes[name]
        node.service, node.version, node.calling = other, None, 0
        assert node.relay is not None
        node.relay.service_changed(net.now, other.at)
        assert node.relay.deferred_until(net.now) < net.now
        node.next_call()
    net.run(35.0)
    for node in net.nodes.values():
        assert node.lines == encoded(node.service.registry.whole(node.service.registry.version(net.now)))
    assert sum(mode == "asker" for mode in modes(net).values()) == 6, "each service must have its own askers"
    assert sum(at > 50.0 for at in other.calls) < 25


def test_a_newcomer_asks_for_itself_unless_word_comes() -> None:
    net = started_fleet([12.0, 26.0])
    net.kill(OTHERS[3])
    net.run(8.0)
    before = len(net.service.calls)
    net.start(OTHERS[3])
    net.run(WITHIN)
    newcomer = net.nodes[OTHERS[3]]
    assert newcomer.version == 3 and before > 0
    # A single member calls within 3.3 s if it has a list, and within 1.3 s if it has none.
    for known, most in ((1, 3.3), (0, 1.3)):
        lonely = Net(service(), ["one"], 3, known=known)
        if not known:
            lonely.service.registry.first.clear()
        lonely.start()
        lonely.run(most + 0.01)
        assert len(lonely.service.calls) >= 1


@pytest.mark.parametrize(("known", "least", "most"), [({"e1": b"x"}, 24.0, 42.1), ({}, 3.5, 7.1)])
def test_without_a_list_a_newcomer_asks_in_time_however_long_the_asking_period(
    known: dict[str, bytes], least: float, most: float
) -> None:
    for n in range(20):
        relay = EndpointListRelay(
            0.0, f"s{n}", n, RelaySettings(3, 60.0), AT, ReportHost([]), random.Random(1)
        )
        relay.lines = known
        assert least <= relay.startup_wait_until() <= most


@pytest.mark.parametrize("scene", ["restart", "bare"])
def test_a_herd_that_starts_at_once_costs_calls_that_do_not_grow_with_it(scene: str) -> None:
    """Seven in ten of 200 and of 40 members start, with a list and without one.

    Without the relay there are over 100 calls in a second.
    """
    for size in (200, 40):
        figures = play(scene, size, True, 1, 50.0)
        assert figures.most <= 30 and figures.late < 6.0
        assert not figures.bare > 8.0


def test_members_of_a_release_that_knows_nothing_of_it_are_passed_over() -> None:
    net = Net(service([30.0, 45.0]), NAMES, 1)
    net.mute = set(ASKERS)
    net.start()
    net.run(60.0)
    check_known(net, 20.0)
    assert modes(net)[OTHERS[0]] in ("spared", "asker")
    assert sum(modes(net)[name] == "asker" for name in OTHERS) == 3


def test_a_large_change_and_a_fast_list_reach_all() -> None:
    """The changes exceed what a head can hold, so the whole list is published in chunks."""
    lines = [listed(n) for n in range(400)]
    changes = [Change(30.0, listed(n, EndpointStatus.DRAINING)) for n in range(100)]
    changes += [Change(40.0 + n / 8, listed(n, EndpointStatus.GONE)) for n in range(80)]
    net = Net(Service(Registry(lines, changes, [])), NAMES, 1)
    net.start()
    net.run(65.0)
    check_known(net, 20.0)
    assert sum(at >= 30.0 for at in net.service.calls) < 3 * 82 + 200
    assert sorted(net.lateness(20.0))[-1] < 6.0


def test_a_list_too_large_is_told_by_nobody() -> None:
    net = Net(service([20.0], size=12_000), NAMES[:6], 1)
    net.start()
    net.run(40.0)
    check_known(net, 10.0)
    assert set(modes(net).values()) == {"alone"}
    assert sum("too large" in event for _, _, event, _ in net.events) <= 6
    assert not any(value for node in net.nodes.values() for value in node.cells.values())


def test_the_lab_plays_the_list_relayed_beside_exchanges() -> None:
    drains = {"kind": "drain", "at": 6.0, "length": 2.0, "part": 0.5, "spread": 2.0, "size": 0.3}
    x = experiment(
        length=16.0,
        sidecars={"count": 30},
        faults=[drains],
        registry={"calls": 8.0},
        variants=[{"name": "alone"}, {"name": "relayed", "relay": True}],
    )
    (_, _, _, alone), (_, ledger, found, relayed) = (played(x, variant=v.name) for v in x.variants)
    assert sum(found.by_rule().values()) == 0 and not found.faults
    assert relayed["calls"] < 0.5 * alone["calls"] and relayed["calls_refused"] < alone["calls_refused"]
    told = {(t.sidecar, t.endpoint) for t in ledger.told if t.state == "draining"}
    assert len(told) == 30 * 3, "each sidecar must receive each drain"


# The rule that bounds how old an applied list may be.


class ReportHost:
    """Host of a relay that receives its reports from a test."""

    def __init__(self, names: Sequence[str]) -> None:
        self.names, self.taken = list(names), list[int]()

    def alive(self) -> Sequence[str]:
        return self.names

    def write(self, now: float, name: str, value: bytes) -> None: ...

    def read_register(self, owner: str, name: str) -> bytes:
        return b""

    def apply_list(self, now: float, version: int, lines: codec.Lines, delta: codec.Lines) -> bool:
        self.taken.append(version)
        return True

    def reschedule_call(self) -> None: ...

    def log(self, event: str, **fields: object) -> None: ...


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 2**32), st.booleans())
def test_none_is_spared_beyond_what_two_knew_whatever_the_order_of_word(seed: int, stalls: bool) -> None:
    """Reports that arrive late and in any order never let a member skip its call for too long.

    Askers a, b and c are answered at times of their own. Their heads, and those of a member that reports
    wrong lists, arrive late and in any order. If the own call is skipped, the service had no later list
    `LAST_CALL_FRACTION` of the asking period before that, unless the own call failed and two members report
    that theirs fail.
    """
    chance = random.Random(seed)
    lists = [{"e": b"%d" % n} for n in range(40)]
    moved_at = sorted(chance.uniform(0, 60) for _ in range(len(lists) - 1))

    def at_service(now: float) -> int:
        return sum(at <= now for at in moved_at)

    arrivals: list[tuple[float, str, Head, float]] = []
    for owner in "abc":
        told_at, beat, now, writes = -math.inf, 0, chance.random(), list[tuple[float, Head]]()
        while now < 60:
            if chance.random() < 0.7:
                told_at, version = now, at_service(now)
            beat += 1
            if told_at > -math.inf:
                age = int((now - told_at) * 1000) + 1
                writes.append(
                    (
                        now,
                        Head(
                            1,
                            AT,
                            1,
                            beat,
                            version,
                            codec.digest(lists[version]),
                            age,
                            now > told_at,
                            [],
                            0,
                            [("e", lists[version]["e"])],
                        ),
                    )
                )
            now += chance.choice([0.02, 1.0, 2.0, 9.0]) * chance.random()
        for n, (at, head) in enumerate(writes):
            came = at + chance.choice([0.01, 0.5, 8.0]) * chance.random()
            # When it is last known to be held.
            held = min(came, writes[n + 1][0] if n + 1 < len(writes) else came)
            arrivals.append((came, owner, head, held if chance.random() < 0.8 else at))
    for n in range(30):
        told = chance.choice([0, 7, 39, 2**50])
        arrivals.append(
            (
                chance.uniform(0, 60),
                "liar",
                Head(1, AT, 1, n, told, codec.digest(lists[chance.randrange(40)]), 0),
                60.0,
            )
        )
    host = ReportHost(["a", "b", "c", "liar", "own", "y", "z"])
    relay = EndpointListRelay(0.0, "own", 1, RelaySettings(2, WITHIN), AT, host, random.Random(seed))
    relay.start(0, lists[0])
    seen: dict[str, int] = {}
    stop_until = -math.inf
    for came, owner, head, held in sorted(arrivals, key=lambda one: one[0]):
        if stalls and chance.random() < 0.01:
            stop_until = came + 10.0 * chance.random()  # what arrives meanwhile waits in the socket
        now = max(came, stop_until)
        if head.beat <= seen.get(owner, -1):
            continue  # registers keep the latest value only
        seen[owner] = head.beat
        if came >= stop_until:
            relay.tick(now)
        before = relay.version
        relay.head_received(now, owner, head, now if came < stop_until else min(held, now))
        assert before is not None and relay.version is not None and relay.version >= before
        after_three = relay.failed_at > relay.answered_at and relay.failing_at < math.inf
        if (
            relay.deferred_until(now) > max(now, relay.startup_wait_until(), LAST_CALL_FRACTION * WITHIN)
            and not after_three
        ):
            assert relay.version >= at_service(relay.deferred_until(now) - LAST_CALL_FRACTION * WITHIN - 0.01)
            assert relay.deferred_until(now) <= relay.confirmed + LAST_CALL_FRACTION * WITHIN
        if chance.random() < 0.02:
            relay.answered(now, at_service(now), True, lists[at_service(now)])
        elif chance.random() < 0.02:
            relay.failed(now)
    assert all(version < 40 for version in host.taken)


def test_what_a_head_tells_is_as_old_as_the_one_before_and_its_changes_are_held_against_the_digest() -> None:
    relay = EndpointListRelay(
        0.0, "own", 1, RelaySettings(2, WITHIN), AT, ReportHost(["a", "b", "own", "y"]), random.Random(1)
    )
    relay.start(1, {"e": b"1"})
    for beat, now in ((1, 0.5), (2, 1.0), (3, 6.0)):  # the third head may have been written soon after 1.0
        while relay.checked_at < now:
            relay.tick(min(relay.checked_at + 0.5, now))
        for owner in "ab":
            relay.head_received(now, owner, Head(1, AT, 1, beat, 1, relay.digest, 1), now)
    assert relay.confirmed == pytest.approx(0.999)
    for owner, told in (("a", b"wrong"), ("b", b"2")):
        relay.head_received(
            6.5, owner, Head(1, AT, 1, 4, 2, codec.digest({"e": b"2"}), 1, False, [], 1, [("e", told)]), 6.5
        )
    assert relay.version == 2 and relay.lines == {"e": b"2"}


# The codec.


@settings(max_examples=100, deadline=None)
@given(
    st.dictionaries(st.text(min_size=1, max_size=40), st.binary(min_size=1, max_size=120), max_size=300),
    st.randoms(),
)
def test_a_list_is_the_same_from_its_chunks_and_nothing_else_is(
    lines: dict[str, bytes], chance: random.Random
) -> None:
    chunks = codec.split_chunks(lines)
    told = codec.Set(1, AT, 3, codec.digest(lines), len(chunks))
    assert codec.join_chunks(told, chunks) == lines
    assert all(len(chunk) <= 900 for chunk in chunks)
    if lines:
        endpoint_id = chance.choice(sorted(lines))
        assert (
            codec.join_chunks(told, codec.split_chunks({**lines, endpoint_id: lines[endpoint_id] + b"x"}))
            is None
        )
        moved = codec.split_chunks(dict(lines) | {endpoint_id: lines[endpoint_id][:-1] or b"y"})
        assert len(moved) != len(chunks) or sum(a != b for a, b in zip(moved, chunks, strict=True)) <= 1


def test_lines_are_told_as_the_service_told_them() -> None:
    for started in (None, 1_700_000_000.123, 1.5):
        offset = 12_345.678901 - 1_700_000_500.25
        line = ListedEndpoint(
            "e", 2, 1, 0.75, EndpointStatus.DRAINING, None if started is None else started + offset, 3
        )
        data = codec.encode_line(line, ("::1", 80), offset)
        other = 99.5 - 1_700_000_400.125
        assert codec.decode_line("e", data, other) == (
            ListedEndpoint("e", 2, 1, 0.75, EndpointStatus.DRAINING, started and started + other, 3),
            ("::1", 80),
        )
    whole = codec.encode(Head(1, AT, 1, 1, 5, b"d", 0))
    assert whole[0] == 0x9B, "a head must have eleven fields"
    assert codec.decode(b"\x9d" + whole[1:] + b"\xc0\xc0", Head).version == 5, (
        "fields that a newer release added must be ignored"
    )
    assert codec.decode(b"\x97" + whole[1:-4], Head).version == 5, (
        "fields that an older release lacks must have defaults"
    )
    for bad in (b"", b"\xc1", b"\x93\x01\x02\x03", b"\x9b\x00" + whole[2:]):
        with pytest.raises(codec.UnreadableList):
            codec.decode(bad, Head)
    with pytest.raises(codec.UnreadableList):
        codec.decode_line("e", b"\x97\xa1x\x00\x00\xcb\x3f\xf0\x00\x00\x00\x00\x00\x00\xa1?\xc0\x00", 0.0)
    with pytest.raises(codec.TooLarge):
        codec.encode_line(ListedEndpoint("e" * 500, 0, 0, 1.0, EndpointStatus.READY, None), None, 0.0)


def test_word_of_an_older_start_makes_nothing_warm() -> None:
    known = ListedEndpoint("e", 0, 0, 1.0, EndpointStatus.READY, 100.0)
    for told, then in ((None, 100.0), (50.0, 100.0), (100.0005, 100.0), (130.0, 130.0)):
        assert (
            with_known_start(ListedEndpoint("e", 0, 0, 1.0, EndpointStatus.READY, told), known).started_at
            == then
        )


def test_the_table_says_what_is_wrong() -> None:
    config: Config = None  # type: ignore[assignment]  # not used
    assert not list(unfit(ListPart(), config))
    assert list(unfit(ListPart(askers=1), config)) == ["list.askers: is 1; expected 2 to 16"]


# The follower on sockets.


def test_a_spared_call_waits_and_then_asks_for_the_whole_list(rig: Rig) -> None:
    discovery = Stand()
    rig.stands.append(discovery)
    follower = Follower(
        rig.loop,
        ("127.0.0.1", discovery.port),
        rig.decoder,
        10.0,
        rig.decoder.decode({"generation": 41, "reset": True, "instances": [entry("e0", rig.stands[0].port)]}),
    )
    until, failed = [rig.loop.now() + 5.0], list[float]()
    follower.deferred_until, follower.failed = lambda: until[0], lambda: failed.append(rig.loop.now())
    follower.core = rig.core
    follower.want()
    rig.wait(4.0)
    assert rig.got() == []
    drains = rig.decoder.decode(
        {"generation": 43, "reset": False, "instances": [entry("e0", rig.stands[0].port, "DRAINING")]}
    )
    follower.apply_report(drains)
    assert rig.balancer.registry.by_id["e0"].listed.status is EndpointStatus.DRAINING
    rig.wait(1.1)
    call = only(rig.got())
    assert call.target == "/v1/endpoints", "a call after other members' reports must request the whole list"
    call.tell(42, True, entry("e0", rig.stands[0].port))  # an old copy, which would undo the drain
    again = only(rig.got())
    assert rig.balancer.registry.by_id["e0"].listed.status is EndpointStatus.DRAINING and not failed, (
        "a lower version must be followed by another call at once"
    )
    again.tell(44, True, entry("e0", rig.stands[0].port, "DRAINING"), entry("e9", 9))
    assert "index=44" in only(rig.got()).target and "e9" in rig.balancer.registry.by_id
    follower.restart_call()
    call = only(rig.got())
    assert "index=44" in call.target, "the abandoned watch must be requested again"
    call.reset()
    assert rig.got() == [] and failed
