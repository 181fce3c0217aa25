"""A discovery service in virtual time: what it tells, how it goes away, and the loop its callers run on.

Connections are the program's own; only the socket beneath them is a stand-in. Time stands still while
anything is to be done, and then jumps to the next timer or event: each run is exact and the same each time.
"""

from __future__ import annotations

import enum
import errno
import heapq
import itertools
import math
import re
import select
import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import cast

import orjson
import pytest

from rainspindle.balancer.host import EndpointStatus, ListedEndpoint
from rainspindle.balancer.list_backoff import ListBackoff
from rainspindle.protocol.discovery import ListDecoder
from rainspindle.routing import follow
from rainspindle.routing.core import Core
from rainspindle.routing.follow import Follower
from rainspindle.transport.address import Address
from rainspindle.transport.connection import Broken, Connection, OutOfSockets
from rainspindle.transport.loop import Loop, Watched

START = 1000.0  # the time at which each run begins
LATENCY = 0.01  # seconds one way, for a message or the refusal of a connection
TARGET = re.compile(rb"GET /v1/endpoints(?:\?index=(\d+)&wait=(\d+))? ")


class VirtualLoop(Loop):
    """Never waits: where there is nothing to do, its clock jumps to the next timer or event."""

    def __init__(self) -> None:
        self.time = START
        self.faults: list[BaseException] = []
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        super().__init__(self.faults.append, lambda: self.time)

    def at(self, time: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.events, (time, next(self.numbers), act))

    def after(self, seconds: float, act: Callable[[], None]) -> None:
        self.at(self.time + seconds, act)

    def watch(self, fd: int, owner: Watched, urgent: bool = False) -> None:
        self.watched[fd] = owner

    def unwatch(self, fd: int, urgent: bool = False) -> None:
        self.watched.pop(fd, None)

    def look(self, wait: float | None) -> list[tuple[int, int]]:
        if wait is None or wait > 0:
            due = [queue[0][0] for queue in (self.timers, self.events) if queue]
            self.time = max(self.time, min(due))
        while self.events and self.events[0][0] <= self.time:
            heapq.heappop(self.events)[2]()
        return []

    def run_until(self, time: float) -> None:
        self.at(time, lambda: None)
        while self.time < time:
            self.step()
        assert not self.faults, self.faults

    def end(self) -> None:
        for task in list(self.tasks):
            task.coroutine.close()
        self.epoll.close()


class Socket:
    """The caller's end of a connection to a service."""

    def __init__(self, service: Discovery, number: int) -> None:
        self.service, self.number = service, number
        self.connection: Connection | None = None
        self.incoming = bytearray()
        self.error = 0  # of the connecting
        self.ended = self.broken = self.closed = False
        self.dead = False  # nothing comes through any more, either way

    def fileno(self) -> int:
        return self.number

    def getsockopt(self, level: int, option: int) -> int:
        return self.error

    def recv(self, most: int, flags: int = 0) -> bytes:
        if self.broken:
            raise ConnectionResetError
        if not self.incoming and not self.ended:
            raise BlockingIOError
        data = bytes(self.incoming[:most])
        if not flags & socket.MSG_PEEK:
            del self.incoming[:most]
        return data

    def send(self, data: memoryview) -> int:
        if self.broken:
            raise BrokenPipeError
        self.service.written(self, bytes(data))
        return len(data)

    def close(self) -> None:
        self.closed = True
        self.service.sockets.pop(self.number, None)

    def tell(self, events: int) -> None:
        if self.connection is not None and not self.closed:
            self.connection.on_events(events)

    def up(self, error: int = 0) -> None:
        self.error = error
        self.tell(select.EPOLLOUT | (select.EPOLLERR | select.EPOLLHUP if error else 0))

    def deliver(self, data: bytes) -> None:
        if not self.dead and not self.closed:
            self.incoming += data
            self.tell(select.EPOLLIN)

    def finish(self) -> None:
        if not self.dead:
            self.ended = True
            self.tell(select.EPOLLIN | select.EPOLLRDHUP)

    def reset(self) -> None:
        self.broken, self.dead = True, True
        self.tell(select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR)


class Away(enum.Enum):
    """How a service is away: what it does to connections and calls of that time."""

    UNCONNECTED = "new connections never come up, open ones are silent"
    SILENT = "calls are taken and never answered"
    HELD = "calls are taken and answered at the return"
    RESET_AT_RETURN = "calls are taken, and their connections reset at the return"
    RESET = "calls are reset"
    REFUSED = "watches end and new connections are refused"
    HALF = "half an answer comes, then nothing"
    HALF_CLOSED = "half an answer comes, then the end"
    OLDER = "an old copy answers, and its connections are reset at the return"
    ENDED = "connections end instead of an answer"
    UNAVAILABLE = "503 is answered"
    SLOW_UNAVAILABLE = "503 is answered after 3 s"


# What becomes of connections that are open when a service goes.
SILENCING = {Away.UNCONNECTED, Away.SILENT, Away.HELD, Away.RESET_AT_RETURN, Away.HALF}
OLD = 7  # the version of an old copy
SLOW = 3.0  # seconds that a service may take to find that it has no time for a call


class Form(enum.Enum):
    """How a list comes."""

    CHANGES = "what changed, in one piece"
    PIECES = "what changed, in pieces"
    INDENTED = "what changed, indented"
    WHOLE = "the whole list, in which what drains is left out"


@dataclass
class Asked:
    """A call as the service has it."""

    at: float
    wait: float | None  # seconds; None: the whole list was asked for
    answered: bool = False
    target: bytes = b""


@dataclass
class Waiting:
    """A watch that the service holds until there is news."""

    socket: Socket
    call: Asked
    index: int


class Discovery:
    """One service: endpoint e0 serves, and drains once the list has changed."""

    def __init__(self, loop: VirtualLoop, form: Form = Form.CHANGES, connecting: float = LATENCY) -> None:
        self.loop, self.form, self.connecting = loop, form, connecting
        self.away: Away | None = None
        self.generation, self.draining = 41, False
        self.sockets: dict[int, Socket] = {}
        self.calls: list[Asked] = []
        self.waiting: list[Waiting] = []
        self.held: list[tuple[Socket, Asked, int | None]] = []

    # What happens to the service.

    def go(self, away: Away) -> None:
        self.away = away
        for s in list(self.sockets.values()):
            if away is Away.HELD:
                continue
            if away in SILENCING:
                s.dead = True
            elif away is Away.RESET:
                s.reset()
            else:
                s.finish()
        if away is not Away.HELD:
            self.waiting.clear()

    def come_back(self, anew: bool = False) -> None:
        """`anew`: it counts its versions from the start."""
        before, self.away = self.away, None
        if anew:
            self.generation = 3
        for s in list(self.sockets.values()) if before in (Away.RESET_AT_RETURN, Away.OLDER) else ():
            s.reset()
        for s, call, index in self.held:
            self.serve(s, call, index)
        self.held.clear()
        self.look_at_waiting()

    def change(self) -> None:
        self.generation += 1
        self.draining = True
        if self.away is None:
            self.look_at_waiting()

    # What callers do.

    def open(self, number: int) -> Connection:
        s = self.sockets[number] = Socket(self, number)
        s.connection = Connection(self.loop, cast(socket.socket, s), connected=False)
        if self.away is Away.UNCONNECTED:
            s.dead = True
        elif self.away is Away.REFUSED:
            self.loop.after(LATENCY, lambda: s.up(errno.ECONNREFUSED))
        else:
            self.loop.after(self.connecting, s.up)
        return s.connection

    def written(self, s: Socket, data: bytes) -> None:
        found = TARGET.match(data)
        assert found is not None, data
        index = int(found[1]) if found[1] else None
        call = Asked(self.loop.time, int(found[2]) / 1000 if found[2] else None, target=found[0])
        self.calls.append(call)
        self.loop.after(LATENCY, lambda: self.take(s, call, index))

    # What the service does.

    def take(self, s: Socket, call: Asked, index: int | None) -> None:
        if s.dead or s.ended or s.closed:
            return
        if self.away is None:
            self.serve(s, call, index)
        elif self.away in (Away.UNCONNECTED, Away.SILENT, Away.RESET_AT_RETURN):
            s.dead = self.away is not Away.RESET_AT_RETURN
        elif self.away is Away.HELD:
            self.held.append((s, call, index))
        elif self.away is Away.RESET:
            s.reset()
        elif self.away in (Away.REFUSED, Away.ENDED):
            s.finish()
        elif self.away in (Away.HALF, Away.HALF_CLOSED):
            s.deliver(self.message(whole=True)[:150])
            if self.away is Away.HALF_CLOSED:
                s.finish()
            s.dead = True
        elif self.away is Away.OLDER:
            old = self.message(whole=True, generation=OLD, draining=False)
            call.answered = index != OLD
            self.loop.after(call.wait or 0.0 if index == OLD else 0.0, lambda: s.deliver(old))
        elif self.away in (Away.UNAVAILABLE, Away.SLOW_UNAVAILABLE):
            seconds = SLOW if self.away is Away.SLOW_UNAVAILABLE else 0.0
            self.loop.after(seconds, lambda: s.deliver(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"))

    def serve(self, s: Socket, call: Asked, index: int | None) -> None:
        if index is None or index < self.generation:
            self.answer(s, call, whole=index is None)
        else:
            waiting = Waiting(s, call, index)
            self.waiting.append(waiting)
            over = call.at + (call.wait or 0.0)
            self.loop.at(max(over, self.loop.time), lambda: self.wait_over(waiting))

    def wait_over(self, waiting: Waiting) -> None:
        if waiting in self.waiting and self.away is None:
            self.waiting.remove(waiting)
            self.answer(waiting.socket, waiting.call, whole=False, empty=True)

    def look_at_waiting(self) -> None:
        for waiting in [w for w in self.waiting if w.index < self.generation]:
            self.waiting.remove(waiting)
            self.answer(waiting.socket, waiting.call, whole=False)

    def answer(self, s: Socket, call: Asked, whole: bool, empty: bool = False) -> None:
        call.answered = not s.closed
        data = self.message(whole, empty=empty)
        if self.form is not Form.PIECES:
            s.deliver(data)
            return
        for n, at in enumerate(range(0, len(data), 50)):
            self.loop.after(n * LATENCY, lambda piece=data[at : at + 50]: s.deliver(piece))  # type: ignore[misc]

    def message(
        self, whole: bool, empty: bool = False, generation: int | None = None, draining: bool | None = None
    ) -> bytes:
        draining = self.draining if draining is None else draining
        whole = whole or (self.form is Form.WHOLE and not empty)
        entries = (
            []
            if empty
            else [
                line("e1"),
                *(
                    []
                    if draining and whole and self.form is Form.WHOLE
                    else [line("e0", "DRAINING" if draining else "SERVING")]
                ),
            ]
        )
        told = {"generation": generation or self.generation, "reset": whole, "instances": entries}
        body = orjson.dumps(told, option=orjson.OPT_INDENT_2 if self.form is Form.INDENTED else None)
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def line(name: str, lifecycle: str = "SERVING") -> dict[str, object]:
    return {
        "instanceId": name,
        "hostPort": "10.1.0.1:80",
        "zone": "a",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 0,
    }


class ListKeeper:
    """In place of the core: notes when it is told that e0 drains or is gone, and draws the module's pause."""

    def __init__(self, loop: VirtualLoop, ask_within: float, chance: Callable[[], float]) -> None:
        self.loop, self.backoff = loop, ListBackoff(ask_within, chance)
        self.told_at = math.inf
        self.want: Callable[[], None] = lambda: None

    def list_changed(
        self, lines: Sequence[ListedEndpoint], addresses: dict[str, Address], whole: bool, stale: bool
    ) -> None:
        self.backoff.record_success()
        state = next((x.status for x in lines if x.id == "e0"), EndpointStatus.GONE if whole else None)
        if state is not None and state is not EndpointStatus.READY:
            self.told_at = min(self.told_at, self.loop.time)
        elif state is EndpointStatus.READY:
            self.told_at = math.inf

    def list_failed(self) -> None:
        self.loop.after(self.backoff.record_failure(), self.want)


class Callers:
    """The network between callers and services."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.loop = VirtualLoop()
        self.services: dict[Address, Discovery] = {}
        self.numbers = itertools.count(1000)
        self.descriptors = True  # whether one more connection can be had
        patch.setattr(follow, "open_connection", self.open)

    def open(self, loop: Loop, address: Address) -> Connection:
        if not self.descriptors:
            raise OutOfSockets("none left")
        if address not in self.services:
            raise Broken("ENETUNREACH")
        return self.services[address].open(next(self.numbers))

    def follower(
        self,
        address: Address,
        ask_within: float,
        pushed: bool = False,
        chance: Callable[[], float] = lambda: 1.0,
    ) -> tuple[Follower, ListKeeper]:
        """By default the pauses are the longest that can be drawn."""
        decoder = ListDecoder(["a"], 0.0)
        known = decoder.decode({"generation": 41, "reset": True, "instances": [line("e0"), line("e1")]})
        follower = Follower(self.loop, address, decoder, ask_within, known, pushed)
        keeper = ListKeeper(self.loop, ask_within, chance)
        keeper.want = follower.want
        follower.core = cast(Core, keeper)
        follower.jitter = chance
        return follower, keeper
