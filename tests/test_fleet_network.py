"""The simulated network between processes, with plain sockets as members, and fault schedules."""

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

RECEIVE_TIMEOUT = 10.0  # seconds
NAMES = ("a", "b", "c", "d")


class Member:
    def __init__(self, network: Network, name: str) -> None:
        self.name, self.socket = name, socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.settimeout(RECEIVE_TIMEOUT)
        self.address = network.add(name, self.socket.getsockname())

    def send(self, to: Member, *texts: str) -> None:
        for text in texts:
            self.socket.sendto(text.encode(), to.address)

    def receive(self) -> tuple[str, tuple[str, int]]:
        data, sender = self.socket.recvfrom(2000)
        return data.decode(), sender

    def receive_until(self, last: str) -> list[str]:
        """Returns all texts received up to and including `last`."""
        texts: list[str] = []
        while last not in texts:
            texts.append(self.receive()[0])
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


def test_datagrams_arrive_from_the_advertised_address_and_answers_return_to_it(
    network: Network, members: dict[str, Member]
) -> None:
    a, b = members["a"], members["b"]
    a.send(b, "ask")
    text, sender = b.receive()
    assert (text, sender) == ("ask", a.address)
    b.socket.sendto(b"answer", sender)
    assert a.receive() == ("answer", b.address)
    stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    stranger.sendto(b"who", b.address)
    a.send(b, "last")
    assert b.receive()[0] == "last" and network.strangers == 1
    stranger.close()


def test_one_way_cuts_and_partitions_hold_until_they_end(
    network: Network, members: dict[str, Member]
) -> None:
    a, b, c, d = (members[n] for n in NAMES)
    cut = network.begin(Cut(0.0, ("a",), ("b",)))
    a.send(b, "lost")
    b.send(a, "heard")
    assert a.receive()[0] == "heard"
    network.end(cut)
    split = network.begin(Split(0.0, (("a", "b"),)))
    a.send(c, "lost")
    a.send(b, "kept")
    c.send(d, "kept too")
    assert b.receive()[0] == "kept" and d.receive()[0] == "kept too"
    network.end(split)
    a.send(c, "whole")
    assert c.receive()[0] == "whole"
    assert network.counts()["a", "b"].lost == network.counts()["a", "c"].lost == 1


def test_datagrams_are_delayed_reordered_duplicated_or_lost(
    network: Network, members: dict[str, Member]
) -> None:
    a, b = members["a"], members["b"]
    delay = network.begin(Weather(delay=0.1))
    started_at = time.monotonic()
    a.send(b, "late")
    assert b.receive()[0] == "late" and time.monotonic() - started_at >= 0.1
    network.end(delay)
    jitter = network.begin(Weather(jitter=0.1))
    sent_texts = [str(n) for n in range(50)]
    a.send(b, *sent_texts)
    received = [b.receive()[0] for _ in sent_texts]
    assert sorted(received, key=int) == sent_texts and received != sent_texts
    network.end(jitter)
    all_received: list[str] = []
    for batch in range(0, 1000, 100):  # batches that fit in a socket's receive buffer
        rough = network.begin(Weather(loss=0.3, doubled=0.2))
        a.send(b, *(str(n) for n in range(batch, batch + 100)))
        network.end(rough)
        a.send(b, f"end {batch}")
        all_received += b.receive_until(f"end {batch}")
    count = network.counts()["a", "b"]
    assert 200 < count.lost < 400 and len(set(all_received)) == 1010 - count.lost
    assert len(all_received) - len(set(all_received)) == count.doubled > 50


def test_the_faults_of_a_link_depend_on_the_seed_alone() -> None:
    def outcomes(seed: int, others: int) -> list[tuple[float, ...]]:
        links = Links(seed, (Weather(loss=0.3, jitter=1.0, doubled=0.2),))
        delays_by_datagram = []
        for _ in range(200):
            delays_by_datagram.append(links.pass_on("a", "b", 10))
            for _ in range(others):
                links.pass_on("c", "d", 10)
        return delays_by_datagram

    assert outcomes(3, 0) == outcomes(3, 2) != outcomes(4, 0)


@pytest.mark.parametrize("seed", range(20))
def test_schedules_are_reproducible_serialisable_and_end_in_time(seed: int) -> None:
    schedule = draw(seed, NAMES, 30.0, 12)
    assert schedule == draw(seed, NAMES, 30.0, 12) != draw(seed + 1, NAMES, 30.0, 12)
    assert from_values(json.loads(json.dumps(to_values(schedule)))) == schedule
    assert all(0.0 <= fault.at <= end(fault) <= 30.0 for fault in schedule)
    assert {name for fault in schedule for name in getattr(fault, "names", ())} <= set(NAMES)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.integers(0, 10_000))
def test_a_failing_schedule_shrinks_to_the_faults_that_matter(seed: int) -> None:
    planted: Schedule = (Kill(1.0, ("a", "b"), 3.0, -3600.0), Stall(2.0, ("c", "d"), 1.5))

    def fails(candidate: Schedule) -> bool:
        def touches(kind: type[Fault], name: str) -> bool:
            return any(isinstance(fault, kind) and name in getattr(fault, "names", ()) for fault in candidate)

        return touches(Kill, "b") and touches(Stall, "c")

    schedule = tuple(f for f in draw(seed, NAMES, 30.0, 15) if not isinstance(f, Kill | Stall))
    assert shrink(planted[:1] + schedule + planted[1:], fails) == (
        Kill(1.0, ("b",), 3.0),
        Stall(2.0, ("c",), 1.5),
    )


def test_a_schedule_of_which_no_part_fails_is_not_shrunk() -> None:
    whole: Schedule = (Restart(1.0, ("a",)), Restart(2.0, ("b",)), Restart(3.0, ("c",)))
    assert shrink(whole, lambda candidate: candidate == whole) == whole
