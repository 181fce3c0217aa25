"""Stand-in endpoints: the models behind listening sockets, the links' delays before and after them."""

from __future__ import annotations

import contextlib
import math
import socket
import struct
from typing import Any

from ...protocol.application import Ask
from ...transport.connection import Broken, Connection, Late, Listener, Unwanted
from ...transport.loop import Coroutine, Task
from ..ledger import Run
from ..models.endpoint import EndpointModel, Job
from ..world import Act, play
from .child import Child, Requests, read_request

NOT_PROCESSED = ((b"X-Not-Processed", b"1"),)
RESET_NOW = struct.pack("ii", 1, 0)
FILLERS = 3  # connections that fill the queue of a machine that is silent, so that no new one comes up


class Endpoint:
    """One endpoint on its socket."""

    def __init__(self, child: Endpoints, model: EndpointModel) -> None:
        self.child, self.loop, self.model = child, child.loop, model
        self.listener: Listener | None = Listener(self.loop, ("127.0.0.1", 0), self.accepted, lambda: False)
        self.address = self.listener.address
        self.connections: set[Connection] = set()
        self.fillers: list[socket.socket] = []
        self.ticker = self.loop.spawn(self.loop.lasting(self.tick))

    def tick(self) -> Coroutine[None]:
        """Calls the model when it is due."""
        while True:
            self.model.advance(self.child.now())
            if self.model.fell and self.listener is not None:
                self.go(silent=False)
            yield self.child.start + self.model.next_at()

    def accepted(self, connection: Connection) -> None:
        self.connections.add(connection)
        self.loop.spawn(self.serve(connection), lambda: self.gone(connection))

    def gone(self, connection: Connection) -> None:
        self.connections.discard(connection)
        connection.close()

    def serve(self, connection: Connection) -> Coroutine[None]:
        side, new = Requests(), True
        try:
            while not connection.ended:
                read = yield from read_request(side, connection)
                if read is None:
                    return
                if not (yield from self.one(connection, side, *read, new)):
                    return
                new = False
                side.next_cycle()
        except (Broken, Late, Unwanted):
            return

    def one(
        self, connection: Connection, side: Requests, ask: Ask, first: float, new: bool
    ) -> Coroutine[bool]:
        """One exchange; whether the connection goes on."""
        child, model = self.child, self.model
        what = dict(ask.headers)
        try:
            op, type_index, sidecar, work = what[b"x-lab"].decode().split(";")
            kind, number, zone = int(type_index), int(sidecar), child.world.sidecar_zones[int(sidecar)]
        except (KeyError, ValueError):
            yield from connection.send(side.answer(404, b"", close=True), math.inf)
            return False
        there, back = child.links[zone, model.zone], child.links[model.zone, zone]
        yield from child.until(there.arrival(child.now(), 400 + len(ask.body)))
        while model.silent and not connection.closed:
            yield math.inf
        if connection.closed or not model.up:
            return False
        child.runs += 1
        run = Run(
            ask.request_id.decode(),
            op,
            kind,
            number,
            model.number,
            model.start,
            f"{model.number}.{child.runs}",
            first - child.start,
            child.now(),
            float(work),
        )
        child.ledger.runs.append(run)
        if len(self.connections) > model.kind.connections:
            run.how, run.ended = "full", child.now()
        else:
            task = self.loop.current
            assert task is not None
            job = Job(
                run,
                what.get(b"cookie", b"").decode(),
                child.now() + float(what.get(b"x-timeout-ms", b"60000")) / 1000,
                lambda _: task.wake(),
            )
            connection.mine()
            model.arrive(child.now(), job, new)
            self.ticker.wake()
            while not run.how and not connection.ended and not connection.closed:
                yield math.inf
            if not run.how:
                model.cancel(child.now(), job)
                self.ticker.wake()
                return False
        if run.how in ("lost", "cancelled") or connection.ended:
            return False
        yield from child.until(back.arrival(child.now(), 200 + len(run.token)))
        while model.silent and not connection.closed:
            yield math.inf
        if connection.closed:
            return False
        out = {
            "served": side.finished(run.token.encode(), (), close=False),
            "error": side.answer(500, b"", close=False),
            "full": side.answer(503, b"", False, NOT_PROCESSED),
        }[run.how]
        yield from connection.send(out, child.loop.now() + 10.0)
        return side.goes_on()

    # Faults.

    def befall(self, act: Act) -> None:
        if act.what in ("down", "silence"):
            if self.model.up:
                self.model.go_down(act.at, silent=act.what == "silence")
                self.go(silent=act.what == "silence")
        elif act.what == "up":
            if not self.model.up and not self.model.fell:
                self.model.come_back(act.at)
                self.come_back()
        else:
            self.model.advance(act.at)
            play(self.model, act)
        self.ticker.wake()

    def go(self, silent: bool) -> None:
        """Off the network: at once with resets, or in silence."""
        assert self.listener is not None
        if silent:
            # No new connection comes up: nobody accepts, and the queue of those that may wait is full.
            self.loop.unwatch(self.listener.sock.fileno())
            self.listener.closed = True
            self.listener.sock.listen(0)
            for _ in range(FILLERS):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(self.address)
                self.fillers.append(filler)
        else:
            self.listener.closed = True
            self.loop.unwatch(self.listener.sock.fileno())
            self.listener.sock.close()
            self.listener = None
            self.reset_all()

    def reset_all(self) -> None:
        for connection in list(self.connections):
            with contextlib.suppress(OSError):
                connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_NOW)
            wake = connection.wake
            connection.close()
            wake()

    def come_back(self) -> None:
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        if self.listener is not None:
            self.listener.sock.close()
        self.reset_all()
        self.listener = Listener(self.loop, self.address, self.accepted, lambda: False)


class Endpoints(Child):
    """The endpoints of one process: those whose numbers the plan gives."""

    def __init__(self) -> None:
        super().__init__()
        self.links = self.world.links()
        self.runs = 0
        self.mine = {n: Endpoint(self, self.world.endpoint(n)) for n in self.plan["mine"]}
        self.players: list[Task] = []
        self.say(addresses={str(n): f"127.0.0.1:{e.address[1]}" for n, e in self.mine.items()})

    def begin(self, order: dict[str, Any]) -> None:
        for endpoint in self.mine.values():
            endpoint.ticker.wake()
        self.loop.spawn(self.timeline())

    def timeline(self) -> Coroutine[None]:
        for act in self.world.acts:
            if act.target in self.mine and not act.what.startswith("sidecar"):
                yield from self.until(act.at)
                self.mine[act.target].befall(act)

    def finish(self) -> None:
        for endpoint in self.mine.values():
            self.ledger.starts += endpoint.model.starts
