"""No peer that sends as fast as it is read may hold up the event loop, whatever its bytes are.

Time is simulated: each event of a parser, and each decoded MySQL packet, takes PART_TIME.
"""

from __future__ import annotations

import math
import socket
from collections.abc import Iterator, Sequence

import h11
import pytest

from rainspindle.fronts.console.front import CALL_TIMEOUT, LINGER_TIME, ConsoleFront
from rainspindle.fronts.mysql.servers import Account, ServerConnection, ServerPool
from rainspindle.protocol.application import MOST_BODY
from rainspindle.protocol.client import MAX_EVENTS
from rainspindle.protocol.discovery import DiscoverySide, ListDecoder
from rainspindle.protocol.mysql.messages import SUPPORTED_CAPABILITIES
from rainspindle.protocol.mysql.wire import PacketReader, packets
from rainspindle.transport.connection import READ_SIZE, Connection, Late
from rainspindle.transport.loop import TIME_SLICE, YIELDED_TIME, Coroutine, Task

from .fleet import Rig, SteppedLoop, ask
from .test_streams import EndpointSockets, Reader

PART_TIME = 20e-6  # seconds; h11 takes about as long for an event
# A turn ends at the first check after its time slice, and a few batches of events may come before it.
LONGEST_TURN = TIME_SLICE + 3 * MAX_EVENTS * PART_TIME


class TurnClock:
    """Makes decoding take simulated time, and keeps the longest turn of a task and of a round."""

    def __init__(self, loop: SteppedLoop, monkeypatch: pytest.MonkeyPatch) -> None:
        self.loop, self.longest, self.parts = loop, 0.0, 0
        resume, next_event = loop.resume, h11.Connection.next_event

        def timed_resume(task: Task) -> None:
            began = loop.time
            resume(task)
            self.longest = max(self.longest, loop.time - began)

        def timed_event(connection: h11.Connection) -> object:
            self.spend()
            return next_event(connection)

        monkeypatch.setattr(loop, "resume", timed_resume)
        monkeypatch.setattr(h11.Connection, "next_event", timed_event)

    def spend(self) -> None:
        """Takes the time of one part."""
        self.parts += 1
        self.loop.time += PART_TIME


@pytest.fixture
def clock(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> Iterator[TurnClock]:
    yield TurnClock(rig.loop, monkeypatch)


def fill(sock: socket.socket, data: bytes) -> int:
    """Writes as much as the kernel takes."""
    try:
        return sock.send(data)
    except (BlockingIOError, ConnectionError):
        return 0


def fill_before_reads(
    rig: Rig, endpoints: Sequence[Reader], data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Makes these endpoints write before each read of the sidecar, so that no read finds nothing."""
    receive, limit = Connection.receive, rig.loop.time + 4.0
    unsent = [data] * len(endpoints)

    def receive_more(connection: Connection) -> bytes | None:
        assert rig.loop.time < limit, "one task reads for ever"
        for number, endpoint in enumerate(endpoints):
            unsent[number] = unsent[number][fill(endpoint.sock, unsent[number]) :] or data
        return receive(connection)

    monkeypatch.setattr(Connection, "receive", receive_more)


def accept_now(rig: Rig) -> Reader | None:
    """Accepts a connection to an endpoint, if one has come."""
    for stand in rig.stands:
        try:
            sock, _ = stand.listener.accept()
        except BlockingIOError:
            continue
        sock.setblocking(False)
        return Reader(sock)
    return None


def tiny_chunks(count: int, size: int = 1) -> bytes:
    return (b"%x\r\n%b\r\n" % (size, b"x" * size)) * count


CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
FLOODS = {
    "endless answer in small chunks": CHUNKED_HEAD + tiny_chunks(20_000, 128),
    "endless answer in single bytes": CHUNKED_HEAD + tiny_chunks(60_000),
    "endless 1xx heads": b"HTTP/1.1 102 Processing\r\n\r\n" * 20_000,
    "endless answer of an error": b"HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n"
    + tiny_chunks(60_000),
}


# Guards against requests that get no answer for seconds while an endpoint's answer that never ends is passed
# on: neither its decoding nor its passing on gave up a turn.
@pytest.mark.parametrize("flood", list(FLOODS))
def test_an_endless_answer_does_not_hold_up_the_loop(rig: Rig, clock: TurnClock, flood: str) -> None:
    raw, client = EndpointSockets(rig), rig.client()
    client.sock.sendall(ask("x"))
    endpoint, reader = raw.accept(), Reader(client.sock)
    endpoint.look()
    data, idle_rounds = memoryview(FLOODS[flood]), 0
    while idle_rounds < 20:
        data = data[fill(endpoint.sock, bytes(data)) if data else 0 :]
        before = clock.parts
        rig.loop.step()
        idle_rounds = 0 if clock.parts > before else idle_rounds + 1
        assert clock.parts - before < YIELDED_TIME / PART_TIME + 4 * MAX_EVENTS, "too much in one round"
        reader.look()
        endpoint.look()
    assert clock.parts > 1000 and clock.longest <= LONGEST_TURN


# Guards against an attempt that outlives its time limit, which was only checked while nothing had come.
def test_endless_1xx_heads_end_with_the_time_limit(
    rig: Rig, clock: TurnClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    raw, client = EndpointSockets(rig), rig.client()
    began = rig.loop.time
    client.sock.sendall(ask("x", "book", b"y", wait=500))
    endpoint, reader = raw.accept(), Reader(client.sock)
    endpoint.look()
    fill_before_reads(rig, [endpoint], b"HTTP/1.1 102 Processing\r\n\r\n" * 500, monkeypatch)
    while not reader.data and rig.loop.time < began + 2.0:
        rig.loop.time += PART_TIME
        rig.loop.step()
        reader.look()
    assert reader.data.startswith(b"HTTP/1.1 502 ") and rig.loop.time - began < 0.6


@pytest.mark.parametrize("size", [60_000, 1_000_000])
def test_a_body_in_single_bytes_does_not_hold_up_the_loop(rig: Rig, clock: TurnClock, size: int) -> None:
    raw, client = EndpointSockets(rig), rig.client()
    head = ask("x", "book").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    data, endpoint = memoryview(head + tiny_chunks(min(size, 2 * MOST_BODY)) + b"0\r\n\r\n"), None
    for _ in range(3000):
        data = data[fill(client.sock, bytes(data)) if data else 0 :]
        rig.loop.step()
        if endpoint is None and rig.facade.in_flight():
            endpoint = raw.accept()
        if endpoint is not None:
            endpoint.look()
    assert endpoint is not None and endpoint.data.count(b"x") > min(size, 2 * MOST_BODY) - 1000
    assert clock.parts > 10_000 and clock.longest <= LONGEST_TURN


# Guards against a sidecar that serves nobody while it decodes a list that came in tiny pieces.
def test_a_list_in_single_bytes_is_decoded_in_turns(monkeypatch: pytest.MonkeyPatch) -> None:
    body = b'{"generation": 7, "reset": true, "instances": []}' + b" " * 20_000
    side = DiscoverySide(ListDecoder((), 0.0))
    side.whole(b"h")
    events = 0
    next_event = h11.Connection.next_event

    def counted(connection: h11.Connection) -> object:
        nonlocal events
        events += 1
        return next_event(connection)

    monkeypatch.setattr(h11.Connection, "next_event", counted)
    chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
    found = side.receive(CHUNKED_HEAD + chunks + b"0\r\n\r\n")
    calls = 1
    while found is None and side.undecoded:
        assert events <= MAX_EVENTS * calls
        found, calls = side.resume(), calls + 1
    assert found is not None and found[0].version == 7 and calls > 100


def test_many_tasks_that_never_wait_leave_most_of_each_round_to_others() -> None:
    loop = SteppedLoop()
    runs = dict.fromkeys(range(50), 0)
    gaps = list[float]()

    def busy(number: int) -> Coroutine[None]:
        while runs[number] < 5:
            loop.time += TIME_SLICE
            runs[number] += 1
            yield from loop.yield_turn()

    def regular() -> Coroutine[None]:
        while any(count < 5 for count in runs.values()):
            before = loop.time
            yield loop.now()
            gaps.append(loop.time - before)

    for number in runs:
        loop.spawn(busy(number))
    loop.spawn(regular())
    loop.step()  # each begins
    gaps.clear()
    loop.settle()
    assert gaps and max(gaps) <= YIELDED_TIME + 2 * TIME_SLICE
    assert set(runs.values()) == {5}, "each task gets its turns"
    loop.epoll.close()


def pair(loop: SteppedLoop) -> tuple[Connection, socket.socket]:
    near, far = socket.socketpair()
    near.setblocking(False)
    far.setblocking(False)
    return Connection(loop, near, connected=True), far


def test_bytes_are_read_once_after_the_time_limit_and_no_more() -> None:
    loop = SteppedLoop()
    connection, far = pair(loop)
    limit, outcome = loop.time + 1.0, list[object]()

    def read() -> Coroutine[None]:
        for _ in range(2):
            try:
                outcome.append((yield from connection.await_bytes(limit)))
            except Late:
                outcome.append("late")

    loop.spawn(read())
    far.send(b"x" * (READ_SIZE + 1000))
    loop.time = limit + 0.1
    loop.settle()
    assert outcome == [b"x" * READ_SIZE, "late"]
    connection.close()
    far.close()
    loop.epoll.close()


# Guards against a console that is held by one caller who keeps sending after the answer.
def test_a_console_caller_that_keeps_sending_is_ended_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    loop = SteppedLoop()
    console = ConsoleFront(loop, ("127.0.0.1", 0), lambda order: (200, "yes"), lambda call: (200, "{}"))
    caller = socket.create_connection(console.listener.address)
    caller.setblocking(False)
    caller.send(b"GET /-/ready HTTP/1.1\r\nHost: c\r\n\r\n")
    receive = Connection.receive

    def slow(connection: Connection) -> bytes | None:
        loop.time += TIME_SLICE  # as if each read took a whole slice
        fill(caller, b"x" * 65536)
        return receive(connection)

    monkeypatch.setattr(Connection, "receive", slow)
    began, rounds = loop.time, 0
    while console.callers or not rounds:
        loop.step()
        rounds += 1
        assert loop.time < began + CALL_TIMEOUT + LINGER_TIME + 0.1, "still served"
    assert rounds > 20, "the loop did not come round"
    caller.close()
    console.close()
    loop.epoll.close()


# Guards against other clients that wait while one sends thousands of commands, or a server thousands of rows.
def test_rows_of_a_mysql_result_are_read_in_turns() -> None:
    loop = SteppedLoop()
    connection, far = pair(loop)
    account = Account("anna", b"secret", SUPPORTED_CAPABILITIES)
    server = ServerConnection(connection, ("e0", ("127.0.0.1", 1)), account, "", PacketReader(1 << 24))
    pool, turns = ServerPool(loop, 8), list[int]()
    rows = b"".join(packets(b"row", sequence) for sequence in range(200))
    far.send(rows)

    def read() -> Coroutine[None]:
        for number in range(200):
            loop.time += TIME_SLICE / 10
            yield from pool.read_packet(server, math.inf, None)
            turns.append(number)

    loop.spawn(read())
    loop.step()
    assert len(turns) <= 11, "a whole result was read in one turn"
    loop.settle()
    assert len(turns) == 200
    connection.close()
    far.close()
    loop.epoll.close()


def test_another_client_is_served_while_answers_without_end_are_passed_on(
    rig: Rig, clock: TurnClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    raw = EndpointSockets(rig)
    streams = []
    for number in range(8):
        client = rig.client()
        client.sock.sendall(ask(f"endless{number}"))
        endpoint = raw.accept()
        endpoint.look()
        endpoint.sock.send(CHUNKED_HEAD)
        streams.append((endpoint, Reader(client.sock)))

    fill_before_reads(rig, [endpoint for endpoint, _ in streams], tiny_chunks(500, 16), monkeypatch)

    def go_on() -> None:
        rig.loop.time += PART_TIME
        rig.loop.step()
        for _, reader in streams:
            reader.look()

    for _ in range(20):
        go_on()
    other, began = rig.client(), rig.loop.time
    other.sock.sendall(ask("other"))
    answered = Reader(other.sock)
    accepted = None
    while not answered.data and rig.loop.time < began + 2.0:
        go_on()
        answered.look()
        if accepted is None:
            accepted = accept_now(rig)
        if accepted is not None and accepted.look():
            accepted.sock.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    assert answered.body() == b"ok" and rig.loop.time - began < 0.3
