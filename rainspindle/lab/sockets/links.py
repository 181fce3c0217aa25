"""The links between sites as processes see them: bytes passed on late, stalled or not at all, as the models
say.

What was on the way when a link falls silent comes when it is back, as TCP would have it; only then does
either side hear of the other's end.
"""

from __future__ import annotations

import contextlib
import math
from collections import deque
from functools import partial
from pathlib import Path
from typing import IO, Any

from ...transport.address import Address, parse_address
from ...transport.connection import Broken, Connection, Late, Listener, OutOfSockets, open_connection
from ...transport.loop import Coroutine, Task
from ..models.link import LinkModel
from .child import Child

MOST_HELD = 8 * 1024 * 1024  # bytes that one direction holds


class Direction:
    """Bytes under way from one connection to the other; `copy` is given all that was sent."""

    def __init__(self, child: Links, model: LinkModel, copy: IO[bytes] | None = None) -> None:
        self.child, self.model, self.copy = child, model, copy
        self.under: deque[tuple[float, bytes]] = deque()
        self.held, self.last = 0, -math.inf
        self.reader: Task | None = None
        self.writer: Task | None = None

    def put(self, data: bytes) -> None:
        self.last = max(self.last, self.model.arrival(self.child.now(), len(data)))
        self.under.append((self.last, data))
        if self.copy is not None:
            self.copy.write(data)
        self.held += len(data)
        if self.writer is not None:
            self.writer.wake()

    def read(self, source: Connection) -> Coroutine[None]:
        self.reader = self.child.loop.current
        data = b"-"
        while data:
            while self.held > MOST_HELD and not source.closed:
                yield math.inf
            try:
                data = yield from source.await_bytes(math.inf, lambda: source.closed)
            except Exception:
                data = b""
            self.put(data)

    def write(self, sink: Connection) -> Coroutine[None]:
        self.writer = self.child.loop.current
        while not sink.closed:
            if not self.under:
                yield math.inf
                continue
            at, data = self.under[0]
            yield from self.child.until(at)
            self.under.popleft()
            self.held -= len(data)
            if self.reader is not None:
                self.reader.wake()
            if not data:
                sink.end_sending()
                return
            try:
                yield from self.send(sink, data)
            except (Broken, Late):
                return

    def send(self, sink: Connection, data: bytes) -> Coroutine[None]:
        """As `Connection.send`, but the connection's reader is another coroutine."""
        view = memoryview(data)
        while view and not sink.closed:
            view = view[sink.send_some(view) :] if sink.writable else view
            if view:
                yield self.child.loop.now() + 0.002


class Links(Child):
    """One address for each pair of sites of which the first dials the second."""

    def __init__(self) -> None:
        super().__init__()
        self.models = self.world.links()
        zones = range(len(self.world.x.fleet.zones))
        self.pairs = [(a, b) for a in zones for b in zones if a < b]
        self.listeners = [
            Listener(self.loop, ("127.0.0.1", 0), partial(self.accepted, pair), lambda: False)
            for pair in self.pairs
        ]
        self.targets: list[Address] = []
        self.joined = 0
        self.say(
            addresses={
                f"{a} {b}": f"127.0.0.1:{n.address[1]}"
                for (a, b), n in zip(self.pairs, self.listeners, strict=True)
            }
        )

    def begin(self, order: dict[str, Any]) -> None:
        self.targets = [parse_address(a) for a in order["gateways"]]

    def copy(self, way: tuple[int, int]) -> IO[bytes] | None:
        """Where what a connection carries one way is kept, if the plan names a folder."""
        if not self.plan.get("copies"):
            return None
        return Path(self.plan["copies"], f"link-{way[0]}-{way[1]}-{self.joined}").open("wb", buffering=0)

    def accepted(self, pair: tuple[int, int], connection: Connection) -> None:
        self.loop.spawn(self.join(pair, connection))

    def join(self, pair: tuple[int, int], near: Connection) -> Coroutine[None]:
        while not self.targets and not near.ended:
            yield self.loop.now() + 0.05
        a, b = pair
        self.joined += 1
        there, back = (Direction(self, self.models[way], self.copy(way)) for way in ((a, b), (b, a)))
        yield from self.until(self.models[a, b].arrival(self.now(), 60))
        far = None
        try:
            far = open_connection(self.loop, self.targets[b])
            yield from far.establish(self.loop.now() + 1.0)
        except (Broken, Late, OutOfSockets):
            if far is not None:
                far.close()
            near.close()
            return
        ends = [0]

        def done() -> None:
            ends[0] += 1
            if ends[0] == 4:
                with contextlib.suppress(OSError):
                    near.close()
                    far.close()

        for work in (there.read(near), there.write(far), back.read(far), back.write(near)):
            self.loop.spawn(work, done)
