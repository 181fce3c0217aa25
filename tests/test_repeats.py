"""No request has its effect twice: when a retry is permitted, and which responses prove no execution."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
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
from rainspindle.routing.core import Final, Given
from rainspindle.transport.connection import Connection, Unless
from rainspindle.transport.loop import Coroutine

from .fleet import SETTINGS, Client, Fleet, Got, Rig, ask, entry, line, only

WINDOW = 0.25  # seconds of the deduplication window; all times here are sums of powers of two
INSTANT = 1 / 1024  # seconds


def deduplicated_class(scope: str = "all", window: float = WINDOW, **other: Any) -> dict[str, Any]:
    """Returns a traffic class with an idempotency key and time enough to connect late."""
    return {
        "name": "note",
        "effect": "idempotency_key",
        "dedup-scope": scope,
        "memory-span": window * 1000,
        "promised-time": 4000.0,
        "expiry": 8000.0,
        **other,
    }


def settings(*classes: dict[str, Any], **limits: Any) -> dict[str, Any]:
    return {
        **SETTINGS,
        "traffic-types": list(classes),
        "policy-limits": {**SETTINGS["policy-limits"], "connect-timeout": 2000.0, **limits},
    }


class Gate:
    """Delays connections: those that are established while it is shut wait until it opens."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.is_shut, self.waiting = False, list[Connection]()
        establish = Connection.establish

        def delayed_establish(connection: Connection, until: float, unless: Unless = None) -> Coroutine[None]:
            if self.is_shut:
                self.waiting.append(connection)
            connection.mine()
            while connection in self.waiting:
                yield from connection.await_it(until, unless)
            yield from establish(connection, until, unless)

        monkeypatch.setattr(Connection, "establish", delayed_establish)

    def open(self) -> None:
        self.is_shut = False
        while self.waiting:
            self.waiting.pop().wake()


@pytest.fixture
def gate(monkeypatch: pytest.MonkeyPatch) -> Gate:
    return Gate(monkeypatch)


def first_attempt(rig: Rig, request_id: str = "x", body: bytes = b"") -> tuple[Client, Got]:
    client = rig.client()
    client.send(ask(request_id, "note", body, wait=8000))
    for _ in range(200):  # a long body is received in many pieces
        if got := rig.got():
            return client, only(got)
    raise AssertionError("the first attempt was not received")


# The deduplication window starts before the first byte of the first attempt that may have been executed.


@pytest.mark.parametrize("scope, answer", [("all", 503), ("zone", 502)])
@pytest.mark.parametrize("late", [-INSTANT, 0.0, INSTANT])
def test_a_retry_whose_connection_is_established_late_is_sent_only_within_the_window(
    gate: Gate, late: float, scope: str, answer: int
) -> None:
    """A retry that was decided in time must not be written when its key is no longer remembered."""
    rig = Rig(settings=settings(deduplicated_class(scope)))
    client, first = first_attempt(rig)
    rig.wait(WINDOW / 2)
    gate.is_shut = True
    first.answer(500)
    assert rig.got() == [] and len(gate.waiting) == 1, "the retry is decided, and connects"
    rig.wait(WINDOW / 2 + late)
    gate.open()
    retries = rig.got()
    if late < 0:
        assert retries[0].id == "x" and retries[0].stand is not first.stand
        retries[0].answer(200, b"done")
        rig.settle()
        assert client.status() == 200
    else:
        assert not retries, "written after the window"
        assert client.status() == answer
    assert rig.facade.in_flight() == 0 and not rig.core.held


class Throttle:
    """Lets the kernel accept at most `room` bytes sent to endpoints, until `give` sets a new limit."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, rig: Rig) -> None:
        self.room, self.stalled = 1 << 30, list[Connection]()
        ports = {stand.port for stand in rig.stands}
        send_some = Connection.send_some

        def limited(connection: Connection, view: memoryview) -> int:
            if connection.sock.getpeername()[1] not in ports:
                return send_some(connection, view)
            accepted = send_some(connection, view[: self.room]) if self.room else 0
            self.room -= accepted
            if accepted < len(view):
                connection.writable = False
                self.stalled.append(connection)
            return accepted

        monkeypatch.setattr(Connection, "send_some", limited)

    def give(self, room: int) -> None:
        self.room = room
        while self.stalled:
            connection = self.stalled.pop()
            connection.writable = True
            connection.wake()


@pytest.mark.parametrize("late", [-INSTANT, 0.0, INSTANT])
def test_a_retry_that_is_written_slowly_is_completed_only_within_the_window(
    monkeypatch: pytest.MonkeyPatch, late: float
) -> None:
    rig = Rig(settings=settings(deduplicated_class()))
    throttle = Throttle(monkeypatch, rig)
    client, first = first_attempt(rig, body=b"y" * 30_000)
    rig.wait(WINDOW / 2)
    throttle.room = 20_000
    first.answer(500)
    assert rig.got() == [] and len(throttle.stalled) == 1, "a part of the retry is written"
    rig.wait(WINDOW / 2 + late)
    throttle.give(1 << 30)  # room for the rest, in the event loop turn that first sees the end of the window
    retries = rig.got()
    assert bool(retries) is (late < 0), "complete at the endpoint after the window"
    if retries:
        retries[0].answer(200)
        rig.settle()
    assert client.status() == (200 if late < 0 else 503)
    assert rig.facade.in_flight() == 0 and not rig.core.held


# Where a retry may go, and which attempt starts the window: the balancer alone.


def fleet_of(scope: DeduplicationScope, window: float = WINDOW, endpoints: int = 8, **other: Any) -> Fleet:
    """Makes a fleet with two endpoints per cell, in alternating zones."""
    traffic_class = TrafficClass(Idempotency.DEDUPLICATED, scope, 4.0, 8.0, window)
    return Fleet([traffic_class], [line(n) for n in range(endpoints)], **other)


@pytest.mark.parametrize("group", [DeduplicationScope.ZONE, DeduplicationScope.CELL])
def test_the_deduplication_scope_is_that_of_the_endpoint_when_the_attempt_was_sent(
    group: DeduplicationScope,
) -> None:
    """The retry must stay within the zone or cell that the endpoint had when the attempt was sent.

    The list may drop or move the endpoint while it works.
    """
    retry_count = 0
    for n in range(16):
        fleet = fleet_of(group)
        request = fleet.arrive(1, key=f"key{n}", wait=8.0)
        first = fleet.told[request.sent[0].endpoint]
        # Zone and cell are as decoded if the entry lacks them.
        gone = replace(first, status=EndpointStatus.GONE, zone=-1, cell=0)
        fleet.balancer.on_list_changed(fleet.now, EndpointListUpdate([gone], complete=False))
        fleet.end(1, 0, AttemptOutcome.ERROR)
        for sent in request.sent[1:]:
            endpoint = fleet.told[sent.endpoint]
            assert (
                endpoint.zone == first.zone
                if group is DeduplicationScope.ZONE
                else endpoint.cell == first.cell
            )
            retry_count += 1
    assert retry_count >= 8, "the scope has one more ready endpoint"


@pytest.mark.parametrize("late", [-INSTANT, 0.0, INSTANT])
def test_the_window_starts_with_the_first_attempt_that_may_have_been_executed(late: float) -> None:
    """An attempt that was never executed does not start it; a time-out counts from its sending."""
    fleet = fleet_of(DeduplicationScope.ALL)
    request = fleet.arrive(1, wait=8.0)
    fleet.wait(WINDOW * 2)
    fleet.end(1, 0, AttemptOutcome.OVERLOADED)  # never executed: the window has not started
    fleet.wait(WINDOW / 2)
    fleet.end(1, 1, AttemptOutcome.RESET)  # may have been executed
    fleet.wait(WINDOW / 2 + late)
    fleet.end(1, 2, AttemptOutcome.RESET)
    assert len(request.sent) == (4 if late < 0 else 3)
    assert request.answer == (None if late < 0 else "rejected")


@pytest.mark.parametrize(
    "window, is_retried", [(0.0, False), (INSTANT, True), (4.0, True), (8.0, True), (60.0, True)]
)
def test_windows_of_zero_and_shorter_and_longer_than_the_deadline(window: float, is_retried: bool) -> None:
    fleet = fleet_of(DeduplicationScope.CELL, window)
    request = fleet.arrive(1, wait=8.0)
    fleet.end(1, 0, AttemptOutcome.ERROR)  # at once
    assert (len(request.sent) == 2) is is_retried and request.answer == (None if is_retried else "terminated")
    late_request = fleet.arrive(2, key="other", wait=8.0)
    fleet.wait(7.0)  # the first attempt times out at the latency objective of 4 s
    assert (len(late_request.sent) == 2) is (window > 4.0)


def test_a_window_that_is_not_configured_permits_no_retry() -> None:
    traffic_class = deduplicated_class()
    del traffic_class["memory-span"]
    rig = Rig(settings=settings(traffic_class))
    client, first = first_attempt(rig)
    first.answer(500)
    assert rig.got() == [] and client.status() == 503


# A client sends the same id again.


@pytest.mark.parametrize("cancel", [True, False])
def test_an_id_is_in_flight_only_once_even_when_its_client_has_disconnected(cancel: bool) -> None:
    """The status 409 means failed: the first request may still be executed.

    Where attempts may be cancelled, the first ends with its client; it may have been executed all the same.
    """
    rig = Rig(settings=settings(deduplicated_class("cell"), cancel=cancel))
    client, first = first_attempt(rig)
    assert rig.asked(ask("x", "note")).status() == 409 and rig.got() == []
    client.close()
    rig.settle()
    assert first.gone() is cancel
    second = rig.asked(ask("x", "note"))
    assert second.status() == 409 and rig.got() == [], "the abandoned attempt may still be executed"
    if not cancel:
        first.answer(200, b"once")
        rig.settle()
        assert rig.asked(ask("x", "note")).status() == 409 and rig.got() == [], "it was executed"
    # It would go to whatever group is chosen then, and endpoints know an id only within their group.
    assert not rig.core.held


# Malformed responses.


@pytest.mark.parametrize("content_length", [70_000, 200_000])
def test_a_long_response_with_content_length_and_chunks_is_forwarded_by_its_chunks(
    content_length: int,
) -> None:
    """The body must end where its head says.

    Else the client would take a part for the whole, and the rest for the next response on its connection.
    """
    rig = Rig(1)
    client = rig.asked(ask("x"))
    got = only(rig.got())
    chunk = b"%x\r\n%b\r\n" % (50_000, b"y" * 50_000)
    got.raw(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n" % content_length
        + chunk
    )
    rig.settle()
    answer = client.answer()
    for _ in range(2):
        got.raw(chunk)
        for _ in range(20):
            rig.settle()
            answer = answer or client.answer()
    got.raw(b"0\r\n\r\n")
    for _ in range(20):
        rig.settle()
        answer = answer or client.answer()
    assert answer and answer[0] == 200 and answer[1] == b"y" * 150_000
    assert rig.pool.open == 0, "the start of the next response is uncertain"


MARK = b"X-Not-Processed: 1\r\n"
MALFORMED_RESPONSES = {
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


@pytest.mark.parametrize("how", list(MALFORMED_RESPONSES))
def test_a_request_is_not_retried_without_proof_that_it_was_not_executed(rig: Rig, how: str) -> None:
    client = rig.asked(ask("x", "book"))
    got = only(rig.got())
    got.raw(MALFORMED_RESPONSES[how])
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
def test_a_request_rejected_as_overload_is_retried_whatever_the_form_of_the_response(
    rig: Rig, answer: bytes
) -> None:
    client = rig.asked(ask("x", "book"))
    first = only(rig.got())
    for n in range(len(answer)):
        first.raw(answer[n : n + 1])
        rig.settle()
    second = only(rig.got())
    assert second.stand is not first.stand
    second.raw(b"HTTP/1.0 200 X\r\n\r\nof x")  # the end of the connection completes the body
    rig.settle()
    second.close()
    rig.settle()
    done = client.answer()
    assert done and done[:2] == (200, b"of x")


@pytest.mark.parametrize("stray", [b"HTTP/1.1 2", b"HTTP/1.1 200 OK\r\n", b"H", b"\r\n", b"5\r\n"])
@pytest.mark.parametrize("name", ["book", "look"])
def test_a_partial_line_on_an_idle_connection_is_no_part_of_the_response(
    rig: Rig, monkeypatch: pytest.MonkeyPatch, stray: bytes, name: str
) -> None:
    """It arrives after the last check of the connection and before the first byte of the request."""
    warm = rig.asked(ask("warm", "look", headers="Cookie: user=k\r\n"))
    first = rig.serve()
    assert warm.status() == 200
    rig.wait(1.0)
    take = rig.pool.take

    def take_with_stray(*arguments: Any) -> Connection | None:
        connection = take(*arguments)
        if connection is not None:
            first.raw(stray)
        return connection

    monkeypatch.setattr(rig.pool, "take", take_with_stray)
    for stand in rig.stands:
        if stand is not first.stand:
            rig.tell(entry(f"e{rig.stands.index(stand)}", stand.port, "DRAINING"))
    client = rig.asked(ask("x", name))
    got = only(rig.got())
    assert got.stand is first.stand and rig.pool.reused == 1
    with contextlib.suppress(OSError):  # a line that can't start a response has already closed the connection
        got.answer(200, b"of x")
    assert rig.got() == [] and rig.pool.open == 0, "the connection is not reused"
    assert client.status() == (502 if name == "book" else 503)  # no other endpoint is ready


class AfterAnotherSite:
    """Passes requests on to the core as if another site may have executed them just now."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig

    def run(self, given: Given, gone: Callable[[], bool]) -> Coroutine[Final]:
        given.rerun_until = self.rig.loop.now() + WINDOW
        return (yield from self.rig.core.run(given, gone))


# Guards against a request that another site has executed and that begins here once it is forgotten.
@pytest.mark.parametrize("late", [-INSTANT, 0.0])
def test_what_another_site_may_have_executed_begins_here_only_within_the_window(
    gate: Gate, late: float
) -> None:
    rig = Rig(settings=settings(deduplicated_class()))
    rig.front.taker = AfterAnotherSite(rig)
    gate.is_shut = True
    client = rig.client()
    client.send(ask("x", "note"))
    rig.wait(WINDOW + late)
    gate.open()
    assert len(rig.got()) == (1 if late < 0 else 0)
