"""Rule 2, no effect twice: when an attempt may follow one that may have run, and what answers tell."""

from __future__ import annotations

import contextlib
from typing import Any

import pytest

from rainspindle.balancer.host import (
    AttemptOutcome,
    DeduplicationScope,
    EndpointListUpdate,
    EndpointStatus,
    Idempotency,
    TrafficClass,
)
from rainspindle.lazy_dataclasses import replace
from rainspindle.transport.connection import Connection, Unless
from rainspindle.transport.loop import Coroutine

from .fleet import SETTINGS, Client, Fleet, Got, Rig, ask, entry, line, only

SPAN = 0.25  # seconds for which a group drops repeats; all times here are sums of powers of two
JUST = 1 / 1024  # seconds


def keyed(scope: str = "all", span: float = SPAN, **other: Any) -> dict[str, Any]:
    """A class with an idempotency key, and time enough to connect late."""
    return {
        "name": "note",
        "effect": "idempotency_key",
        "dedup-scope": scope,
        "memory-span": span * 1000,
        "promised-time": 4000.0,
        "expiry": 8000.0,
        **other,
    }


def settings(*types: dict[str, Any], **limits: Any) -> dict[str, Any]:
    return {
        **SETTINGS,
        "traffic-types": list(types),
        "policy-limits": {**SETTINGS["policy-limits"], "connect-timeout": 2000.0, **limits},
    }


class Gate:
    """Holds back what comes up: connections that are made while it is shut wait until it opens."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.shut, self.waiting = False, list[Connection]()
        establish = Connection.establish

        def held(connection: Connection, until: float, unless: Unless = None) -> Coroutine[None]:
            if self.shut:
                self.waiting.append(connection)
            connection.mine()
            while connection in self.waiting:
                yield from connection.await_it(until, unless)
            yield from establish(connection, until, unless)

        monkeypatch.setattr(Connection, "establish", held)

    def open(self) -> None:
        self.shut = False
        while self.waiting:
            self.waiting.pop().wake()


@pytest.fixture
def gate(monkeypatch: pytest.MonkeyPatch) -> Gate:
    return Gate(monkeypatch)


def first_attempt(rig: Rig, id: str = "x", body: bytes = b"") -> tuple[Client, Got]:
    client = rig.client()
    client.send(ask(id, "note", body, wait=8000))
    for _ in range(200):  # a long body comes in many pieces
        if got := rig.got():
            return client, only(got)
    raise AssertionError("the first attempt did not come")


# The window, counted from before the first byte of the first attempt that may have run.


@pytest.mark.parametrize("scope, answer", [("all", 503), ("zone", 502)])
@pytest.mark.parametrize("late", [-JUST, 0.0, JUST])
def test_a_repeat_whose_connection_comes_up_late_is_sent_inside_the_window_only(
    gate: Gate, late: float, scope: str, answer: int
) -> None:
    """Guards against a repeat that was decided in time and is written when the group has forgotten."""
    rig = Rig(settings=settings(keyed(scope)))
    client, first = first_attempt(rig)
    rig.wait(SPAN / 2)
    gate.shut = True
    first.answer(500)
    assert rig.got() == [] and len(gate.waiting) == 1, "the repeat is decided, and connects"
    rig.wait(SPAN / 2 + late)
    gate.open()
    again = rig.got()
    if late < 0:
        assert again[0].id == "x" and again[0].stand is not first.stand
        again[0].answer(200, b"done")
        rig.settle()
        assert client.status() == 200
    else:
        assert not again, "written past the window"
        assert client.status() == answer
    assert rig.facade.in_flight() == 0 and not rig.core.held


class Throttle:
    """The kernel takes no more than `room` bytes of what goes to an endpoint, until that is set anew."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, rig: Rig) -> None:
        self.room, self.stalled = 1 << 30, list[Connection]()
        ports = {stand.port for stand in rig.stands}
        send_some = Connection.send_some

        def limited(connection: Connection, view: memoryview) -> int:
            if connection.sock.getpeername()[1] not in ports:
                return send_some(connection, view)
            taken = send_some(connection, view[: self.room]) if self.room else 0
            self.room -= taken
            if taken < len(view):
                connection.writable = False
                self.stalled.append(connection)
            return taken

        monkeypatch.setattr(Connection, "send_some", limited)

    def give(self, room: int) -> None:
        self.room = room
        while self.stalled:
            connection = self.stalled.pop()
            connection.writable = True
            connection.wake()


@pytest.mark.parametrize("late", [-JUST, 0.0, JUST])
def test_a_repeat_that_is_written_slowly_becomes_whole_inside_the_window_only(
    monkeypatch: pytest.MonkeyPatch, late: float
) -> None:
    rig = Rig(settings=settings(keyed()))
    throttle = Throttle(monkeypatch, rig)
    client, first = first_attempt(rig, body=b"y" * 30_000)
    rig.wait(SPAN / 2)
    throttle.room = 20_000
    first.answer(500)
    assert rig.got() == [] and len(throttle.stalled) == 1, "a part of the repeat is written"
    rig.wait(SPAN / 2 + late)
    throttle.give(1 << 30)  # room for all that is left, in the turn that first sees the end of the window
    again = rig.got()
    assert bool(again) is (late < 0), "whole at the endpoint past the window"
    if again:
        again[0].answer(200)
        rig.settle()
    assert client.status() == (200 if late < 0 else 503)
    assert rig.facade.in_flight() == 0 and not rig.core.held


# Where a repeat may go, and which attempt begins the window: the module alone.


def fleet_of(group: DeduplicationScope, span: float = SPAN, endpoints: int = 8, **other: Any) -> Fleet:
    """Endpoints two to a cell, zones by turns."""
    kind = TrafficClass(Idempotency.DEDUPLICATED, group, 4.0, 8.0, span)
    return Fleet([kind], [line(n) for n in range(endpoints)], **other)


@pytest.mark.parametrize("group", [DeduplicationScope.ZONE, DeduplicationScope.CELL])
def test_the_group_is_that_of_the_endpoint_when_the_attempt_was_sent(group: DeduplicationScope) -> None:
    """Guards against word that the endpoint is gone, or has another place, which comes while it works: the
    group that may drop the repeat is the old one."""
    repeats = 0
    for n in range(16):
        fleet = fleet_of(group)
        held = fleet.arrive(1, key=f"key{n}", wait=8.0)
        first = fleet.told[held.sent[0].endpoint]
        gone = replace(
            first, status=EndpointStatus.GONE, zone=-1, cell=0
        )  # as decoded where an entry lacks them
        fleet.balancer.on_list_changed(fleet.now, EndpointListUpdate([gone], complete=False))
        fleet.end(1, 0, AttemptOutcome.ERROR)
        for sent in held.sent[1:]:
            to = fleet.told[sent.endpoint]
            assert to.zone == first.zone if group is DeduplicationScope.ZONE else to.cell == first.cell
            repeats += 1
    assert repeats >= 8, "the group has one more that is ready"


@pytest.mark.parametrize("late", [-JUST, 0.0, JUST])
def test_the_window_begins_with_the_first_attempt_that_may_have_run(late: float) -> None:
    """Not with one that never ran, and not with a later one; a time-out counts from its sending too."""
    fleet = fleet_of(DeduplicationScope.ALL)
    held = fleet.arrive(1, wait=8.0)
    fleet.wait(SPAN * 2)
    fleet.end(1, 0, AttemptOutcome.OVERLOADED)  # never ran: nothing to be dropped, the window is not yet open
    fleet.wait(SPAN / 2)
    fleet.end(1, 1, AttemptOutcome.RESET)  # may have run
    fleet.wait(SPAN / 2 + late)
    fleet.end(1, 2, AttemptOutcome.RESET)
    assert len(held.sent) == (4 if late < 0 else 3)
    assert held.answer == (None if late < 0 else "rejected")


@pytest.mark.parametrize("span, again", [(0.0, False), (JUST, True), (4.0, True), (8.0, True), (60.0, True)])
def test_windows_shorter_and_longer_than_the_deadline_and_none(span: float, again: bool) -> None:
    fleet = fleet_of(DeduplicationScope.CELL, span)
    held = fleet.arrive(1, wait=8.0)
    fleet.end(1, 0, AttemptOutcome.ERROR)  # at once
    assert (len(held.sent) == 2) is again and held.answer == (None if again else "terminated")
    late = fleet.arrive(2, key="other", wait=8.0)
    fleet.wait(7.0)  # the first attempt times out at the promised time of 4 s
    assert (len(late.sent) == 2) is (span > 4.0)


def test_a_window_that_is_not_stated_allows_no_repeat() -> None:
    kind = keyed()
    del kind["memory-span"]
    rig = Rig(settings=settings(kind))
    client, first = first_attempt(rig)
    first.answer(500)
    assert rig.got() == [] and client.status() == 503


# The same id again, from a client.


@pytest.mark.parametrize("cancel", [True, False])
def test_an_id_goes_out_once_at_a_time_also_when_its_client_has_left(cancel: bool) -> None:
    """409 is `failed`, which promises nothing: the first may run. Where attempts may be given up the first
    ends with its client, and the endpoint sees that before anything else is sent."""
    rig = Rig(settings=settings(keyed("cell"), cancel=cancel))
    client, first = first_attempt(rig)
    assert rig.asked(ask("x", "note")).status() == 409 and rig.got() == []
    client.close()
    rig.settle()
    assert first.gone() is cancel
    second = rig.asked(ask("x", "note"))
    if cancel:
        only(rig.got()).answer(200, b"again")
    else:
        assert second.status() == 409 and rig.got() == [], "the abandoned attempt may still run"
        first.answer(200, b"once")
        rig.settle()
        second = rig.asked(ask("x", "note"))
        only(rig.got()).answer(200, b"again")
    rig.settle()
    answer = second.answer()
    assert answer and answer[:2] == (200, b"again") and not rig.core.held


# Answers that do not fit.


@pytest.mark.parametrize("said", [70_000, 200_000])
def test_a_long_answer_with_a_length_and_chunks_is_passed_on_by_its_chunks(said: int) -> None:
    """Guards against a body that ends elsewhere than its head tells the client: it would take a part for the
    whole, and the rest for the next answer on its connection."""
    rig = Rig(1)
    client = rig.asked(ask("x"))
    got = only(rig.got())
    part = b"%x\r\n%b\r\n" % (50_000, b"y" * 50_000)
    got.raw(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n" % said + part)
    rig.settle()
    answer = client.answer()
    for _ in range(2):
        got.raw(part)
        for _ in range(20):
            rig.settle()
            answer = answer or client.answer()
    got.raw(b"0\r\n\r\n")
    for _ in range(20):
        rig.settle()
        answer = answer or client.answer()
    assert answer and answer[0] == 200 and answer[1] == b"y" * 150_000
    assert rig.pool.open == 0, "where its next answer begins is not sure"


MARK = b"X-Not-Processed: 1\r\n"
SPOILT = {
    "turned away, but its body breaks off": b"HTTP/1.1 503 X\r\n" + MARK + b"Content-Length: 9\r\n\r\nhalf",
    "turned away, but its chunks break off": b"HTTP/1.1 503 X\r\n"
    + MARK
    + b"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    "turned away, but its head breaks off": b"HTTP/1.1 503 X\r\n" + MARK,
    "turned away by another status": b"HTTP/1.1 500 X\r\n" + MARK + b"Content-Length: 0\r\n\r\n",
    "turned away with another mark": b"HTTP/1.1 503 X\r\nX-Not-Processed: 10\r\nContent-Length: 0\r\n\r\n",
    "a mark ahead of the answer": b"HTTP/1.1 103 X\r\n"
    + MARK
    + b"\r\nHTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
    "a mark behind the answer": b"HTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + MARK + b"\r\n",
    "HTTP/1.0 in chunks that break off": b"HTTP/1.0 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    "switched": b"HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nhi",
    "1xx alone": b"HTTP/1.1 100 X\r\n\r\n" * 50,
    "nothing": b"",
}


@pytest.mark.parametrize("how", list(SPOILT))
def test_what_does_not_prove_that_it_never_ran_is_not_sent_again(rig: Rig, how: str) -> None:
    client = rig.asked(ask("x", "book"))
    got = only(rig.got())
    got.raw(SPOILT[how])
    rig.settle()
    got.close()
    assert rig.got() == [] and client.status() == 502 and rig.pool.open == 0


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.0 503 X\r\n" + MARK + b"Content-Length: 0\r\n\r\n",
        b"HTTP/1.1 504 X\r\nx-NOT-processed:1 \r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 102 X\r\n\r\nHTTP/1.1 503 X\r\n"
        + MARK
        + b"Content-Length: 4\r\n\r\nbusy",
    ],
)
def test_what_is_turned_away_goes_again_in_whatever_form_it_is_told(rig: Rig, answer: bytes) -> None:
    client = rig.asked(ask("x", "book"))
    first = only(rig.got())
    for n in range(len(answer)):
        first.raw(answer[n : n + 1])
        rig.settle()
    second = only(rig.got())
    assert second.stand is not first.stand
    second.raw(b"HTTP/1.0 200 X\r\n\r\nof x")  # an end tells that it is whole
    rig.settle()
    second.close()
    rig.settle()
    done = client.answer()
    assert done and done[:2] == (200, b"of x")


@pytest.mark.parametrize("stray", [b"HTTP/1.1 2", b"HTTP/1.1 200 OK\r\n", b"H", b"\r\n", b"5\r\n"])
@pytest.mark.parametrize("name", ["book", "look"])
def test_half_a_line_that_comes_when_a_connection_is_taken_is_no_part_of_the_answer(
    rig: Rig, monkeypatch: pytest.MonkeyPatch, stray: bytes, name: str
) -> None:
    """It comes behind the last look at the connection and before the request's first byte."""
    warm = rig.asked(ask("warm", "look", headers="Cookie: user=k\r\n"))
    first = rig.serve()
    assert warm.status() == 200
    rig.wait(1.0)
    take = rig.pool.take

    def taken(*of: Any) -> Connection | None:
        connection = take(*of)
        if connection is not None:
            first.raw(stray)
        return connection

    monkeypatch.setattr(rig.pool, "take", taken)
    for stand in rig.stands:
        if stand is not first.stand:
            rig.tell(entry(f"e{rig.stands.index(stand)}", stand.port, "DRAINING"))
    client = rig.asked(ask("x", name))
    got = only(rig.got())
    assert got.stand is first.stand and rig.pool.reused == 1
    with contextlib.suppress(OSError):  # what can't begin an answer has ended the connection already
        got.answer(200, b"of x")
    assert rig.got() == [] and rig.pool.open == 0, "the connection is of no further use"
    assert client.status() == (502 if name == "book" else 503)  # no other endpoint is ready
