"""The network between processes, with plain sockets as members, and schedules of faults."""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Iterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainspindle.lab.fleet.links import Links
from rainspindle.lab.fleet.network import Network
from rainspindle.lab.fleet.schedule import (
    Cut,
    Fault,
    Kill,
    Restart,
    Schedule,
    Split,
    Stall,
    Weather,
    draw,
    end,
    from_values,
    shrink,
    to_values,
)

PATIENCE = 10.0
NAMES = ("a", "b", "c", "d")


class Member:
    def __init__(self, network: Network, name: str) -> None:
        self.name, self.socket = name, socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.settimeout(PATIENCE)
        self.address = network.add(name, self.socket.getsockname())

    def send(self, to: Member, *texts: str) -> None:
        for text in texts:
            self.socket.sendto(text.encode(), to.address)

    def got(self) -> tuple[str, tuple[str, int]]:
        data, sender = self.socket.recvfrom(2000)
        return data.decode(), sender

    def until(self, last: str) -> list[str]:
        """All that came up to this text."""
        texts: list[str] = []
        while last not in texts:
            texts.append(self.got()[0])
        return texts


@pytest.fixture
def network() -> Iterator[Network]:
    with Network(seed=7) as made:
        yield made
        assert not made.faults


@pytest.fixture
def members(network: Network) -> Iterator[dict[str, Member]]:
    made = {name: Member(network, name) for name in NAMES}
    yield made
    for member in made.values():
        member.socket.close()


def test_the_sender_is_seen_under_its_advertised_address_and_answers_take_the_way_back(
    network: Network, members: dict[str, Member]
) -> None:
    a, b = members["a"], members["b"]
    a.send(b, "ask")
    text, sender = b.got()
    assert (text, sender) == ("ask", a.address)
    b.socket.sendto(b"answer", sender)
    assert a.got() == ("answer", b.address)
    stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    stranger.sendto(b"who", b.address)
    a.send(b, "last")
    assert b.got()[0] == "last" and network.strangers == 1
    stranger.close()


def test_one_sided_cuts_and_splits_hold_until_they_are_ended(
    network: Network, members: dict[str, Member]
) -> None:
    a, b, c, d = (members[n] for n in NAMES)
    cut = network.begin(Cut(0.0, ("a",), ("b",)))
    a.send(b, "lost")
    b.send(a, "heard")
    assert a.got()[0] == "heard"
    network.end(cut)
    split = network.begin(Split(0.0, (("a", "b"),)))
    a.send(c, "lost")
    a.send(b, "kept")
    c.send(d, "kept too")
    assert b.got()[0] == "kept" and d.got()[0] == "kept too"
    network.end(split)
    a.send(c, "whole")
    assert c.got()[0] == "whole"
    assert network.counts()["a", "b"].lost == network.counts()["a", "c"].lost == 1


def test_datagrams_come_late_out_of_order_twice_or_not_at_all(
    network: Network, members: dict[str, Member]
) -> None:
    a, b = members["a"], members["b"]
    delay = network.begin(Weather(delay=0.1))
    begun = time.monotonic()
    a.send(b, "late")
    assert b.got()[0] == "late" and time.monotonic() - begun >= 0.1
    network.end(delay)
    jitter = network.begin(Weather(jitter=0.1))
    sent = [str(n) for n in range(50)]
    a.send(b, *sent)
    got = [b.got()[0] for _ in sent]
    assert sorted(got, key=int) == sent and got != sent
    network.end(jitter)
    came: list[str] = []
    for batch in range(0, 1000, 100):  # no more at once than a socket holds
        rough = network.begin(Weather(loss=0.3, doubled=0.2))
        a.send(b, *(str(n) for n in range(batch, batch + 100)))
        network.end(rough)
        a.send(b, f"end {batch}")
        came += b.until(f"end {batch}")
    count = network.counts()["a", "b"]
    assert 200 < count.lost < 400 and len(set(came)) == 1010 - count.lost
    assert len(came) - len(set(came)) == count.doubled > 50


def test_what_befalls_a_link_hangs_on_the_seed_alone() -> None:
    def fate(seed: int, others: int) -> list[tuple[float, ...]]:
        links = Links(seed, (Weather(loss=0.3, jitter=1.0, doubled=0.2),))
        fates = []
        for _ in range(200):
            fates.append(links.pass_on("a", "b", 10))
            for _ in range(others):
                links.pass_on("c", "d", 10)
        return fates

    assert fate(3, 0) == fate(3, 2) != fate(4, 0)


@pytest.mark.parametrize("seed", range(20))
def test_schedules_are_drawn_from_a_seed_kept_as_json_and_over_in_time(seed: int) -> None:
    drawn = draw(seed, NAMES, 30.0, 12)
    assert drawn == draw(seed, NAMES, 30.0, 12) != draw(seed + 1, NAMES, 30.0, 12)
    assert from_values(json.loads(json.dumps(to_values(drawn)))) == drawn
    assert all(0.0 <= fault.at <= end(fault) <= 30.0 for fault in drawn)
    assert {name for fault in drawn for name in getattr(fault, "names", ())} <= set(NAMES)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.integers(0, 10_000))
def test_a_failing_schedule_shrinks_to_what_it_takes(seed: int) -> None:
    planted: Schedule = (Kill(1.0, ("a", "b"), 3.0, -3600.0), Stall(2.0, ("c", "d"), 1.5))

    def fails(tried: Schedule) -> bool:
        def touches(kind: type[Fault], name: str) -> bool:
            return any(isinstance(fault, kind) and name in getattr(fault, "names", ()) for fault in tried)

        return touches(Kill, "b") and touches(Stall, "c")

    drawn = tuple(f for f in draw(seed, NAMES, 30.0, 15) if not isinstance(f, Kill | Stall))
    assert shrink(planted[:1] + drawn + planted[1:], fails) == (
        Kill(1.0, ("b",), 3.0),
        Stall(2.0, ("c",), 1.5),
    )


def test_a_schedule_that_no_part_of_fails_stays_whole() -> None:
    whole: Schedule = (Restart(1.0, ("a",)), Restart(2.0, ("b",)), Restart(3.0, ("c",)))
    assert shrink(whole, lambda tried: tried == whole) == whole
