"""The stand-in list service: one address for each sidecar, so that it is known who was told what."""

from __future__ import annotations

import contextlib
import time
from functools import partial
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson

from ...transport.connection import Broken, Connection, Late, Listener, Unwanted
from ...transport.loop import Coroutine
from ..ledger import Told
from .child import Child, Requests, entry, read_request

LOOK = 0.05  # seconds between looks of a waiting watch at an outage


class Lists(Child):
    def __init__(self) -> None:
        super().__init__()
        self.addresses: dict[str, str] = {}
        self.unix_start = 0.0
        self.listeners = [
            Listener(self.loop, ("127.0.0.1", 0), partial(self.accepted, n), lambda: False)
            for n in range(self.world.x.sidecars.count)
        ]
        self.say(addresses=[f"127.0.0.1:{listener.address[1]}" for listener in self.listeners])

    def begin(self, order: dict[str, Any]) -> None:
        self.addresses = order["endpoints"]
        self.unix_start = time.time() - time.monotonic() + self.start

    def accepted(self, sidecar: int, connection: Connection) -> None:
        self.loop.spawn(self.serve(sidecar, connection), connection.close)

    def serve(self, sidecar: int, connection: Connection) -> Coroutine[None]:
        side = Requests()
        with contextlib.suppress(Broken, Late, Unwanted):
            while read := (yield from read_request(side, connection)):
                target = urlsplit(read[0].target.decode("latin-1"))
                query = parse_qs(target.query)
                if target.path != "/v1/endpoints":
                    yield from connection.send(side.answer(404, b"", close=True), self.loop.now() + 1.0)
                    return
                if "index" in query:
                    yield from self.wait(sidecar, int(query["index"][0]), int(query["wait"][0]) / 1000)
                yield from self.rest(self.world.x.registry.answer)
                while not self.addresses:  # who asks for the whole before the run begins waits for that
                    yield self.loop.now() + LOOK
                registry, now = self.world.registries[sidecar], self.now()
                if registry.down(now):
                    yield from connection.send(side.answer(503, b"", close=True), self.loop.now() + 1.0)
                    return
                version, whole = registry.version(now), "index" not in query
                lines = registry.whole(version) if whole else registry.since(int(query["index"][0]), now)
                body = orjson.dumps(
                    {
                        "generation": version,
                        "reset": whole,
                        "instances": [
                            entry(
                                line, self.addresses[line.id[1:]], self.world.x.fleet.zones, self.unix_start
                            )
                            for line in lines
                        ],
                    }
                )
                # Told once it is written, so never later than the sidecar can know.
                yield from connection.send(side.finished(body, (), close=False), self.loop.now() + 1.0)
                known = {line.id: line.status.value for line in lines}
                if whole:
                    known = {**{id: "gone" for id in registry.first}, **known}
                self.ledger.told += [
                    Told(sidecar, int(id[1:]), state, self.now()) for id, state in known.items()
                ]
                if not side.next_cycle():
                    return

    def wait(self, sidecar: int, version: int, seconds: float) -> Coroutine[None]:
        """Until there is something newer, the service goes down, or the time is up."""
        until, registry = self.loop.now() + seconds, self.world.registries[sidecar]
        while self.loop.now() < until:
            now = self.now()
            if registry.version(now) > version or registry.down(now):
                return
            yield min(until, self.loop.now() + LOOK)

    def rest(self, seconds: float) -> Coroutine[None]:
        until = self.loop.now() + seconds
        while self.loop.now() < until:
            yield until
