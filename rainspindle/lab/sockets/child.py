"""What every stand-in process shares: its orders on standard input, its ledger at the end.

The first line of standard input is the plan, the second the start of time and the others' addresses. The end
of standard input ends the process, so that none outlives the run that started it.
"""

from __future__ import annotations

import os
import select
import sys
import time
import traceback
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any

import orjson

from ...balancer.host import ListedEndpoint
from ...protocol.application import ApplicationSide, Ask, Message, going_on
from ...protocol.plain import Headers
from ...transport.connection import Connection
from ...transport.loop import Coroutine, Loop
from ..experiment import Experiment
from ..ledger import Asked, Ledger, Run, Start, Told
from ..world import World


class Requests(ApplicationSide):
    """Reads any request: what an exchange must carry is for whoever asked to know."""

    def __init__(self) -> None:
        super().__init__(())

    def decode(
        self, method: bytes, target: bytes, all_headers: Headers, body: bytes, more: bool = False
    ) -> Message:
        headers = dict(all_headers)
        return Ask(
            headers.get(b"x-request-id", b""),
            method,
            target,
            body,
            going_on(all_headers),
            0,
            None,
            None,
            None,
            False,
        )


class Orders:
    """Standard input as the loop sees it."""

    closed = False

    def __init__(self, loop: Loop, on_line: Callable[[dict[str, Any]], None]) -> None:
        self.loop, self.on_line, self.text = loop, on_line, b""
        os.set_blocking(0, False)
        loop.epoll.register(0, select.EPOLLIN | select.EPOLLHUP)
        loop.watched[0] = self

    def on_events(self, events: int) -> None:
        try:
            data = os.read(0, 1 << 20)
        except BlockingIOError:
            return
        if not data:
            self.loop.unwatch(0)
            self.loop.stopped = True
        self.text += data
        while b"\n" in self.text:
            line, _, self.text = self.text.partition(b"\n")
            self.on_line(orjson.loads(line))


class Child:
    """One stand-in process. `begin` is called with the second line, at which time runs from `start` on."""

    def __init__(self) -> None:
        plan = orjson.loads(sys.stdin.buffer.readline())
        experiment = Experiment.model_validate(plan["experiment"])
        self.world = World(experiment, experiment.variant(plan["variant"]), plan["seed"])
        self.plan, self.ledger = plan, Ledger()
        self.start = float("inf")  # of the run, on the machine's steady clock
        self.loop = Loop(self.fault)
        self.orders = Orders(self.loop, self.ordered)

    def fault(self, fault: BaseException) -> None:
        where = traceback.extract_tb(fault.__traceback__)[-1]
        self.ledger.notes.append(
            f"{self.plan['role']}: {type(fault).__name__} {fault} at {where.name}:{where.lineno}"
        )

    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self.start

    def say(self, **said: Any) -> None:
        sys.stdout.buffer.write(orjson.dumps(said) + b"\n")
        sys.stdout.buffer.flush()

    def ordered(self, order: dict[str, Any]) -> None:
        self.start = order["start"]
        self.begin(order)
        self.loop.spawn(self.last())

    def begin(self, order: dict[str, Any]) -> None:
        raise NotImplementedError

    def last(self) -> Coroutine[None]:
        yield from self.until(self.world.end)
        self.loop.stopped = True

    def until(self, at: float) -> Coroutine[None]:
        """Waits for a time of the run."""
        while self.now() < at:
            yield self.start + at

    def run(self) -> None:
        self.loop.run()
        self.finish()
        Path(self.plan["ledger"]).write_bytes(orjson.dumps(asdict(self.ledger)))

    def finish(self) -> None:
        """What is still to be written down."""


def read_ledger(path: str | Path) -> Ledger:
    raw = orjson.loads(Path(path).read_bytes())
    none = float("inf")  # JSON has no infinity: what has not happened comes as null
    return Ledger(
        [
            Asked(
                **{
                    **a,
                    "answers": [tuple(t) for t in a["answers"]],
                    "left_at": none if a["left_at"] is None else a["left_at"],
                }
            )
            for a in raw["asked"]
        ],
        [
            Run(
                **{
                    **r,
                    "sent": -none if r["sent"] is None else r["sent"],
                    **{k: none if r[k] is None else r[k] for k in ("began", "ended")},
                }
            )
            for r in raw["runs"]
        ],
        [Start(**s) for s in raw["starts"]],
        [Told(**t) for t in raw["told"]],
        raw["lateness"],
        raw["notes"],
    )


def read_request(side: Requests, connection: Connection) -> Coroutine[tuple[Ask, float] | None]:
    """The next request and when its first byte came, on the loop's clock; None at the connection's end."""
    first = 0.0
    while (message := side.next()) is None:
        data = yield from connection.await_bytes(float("inf"), lambda: connection.closed)
        first = first or connection.seen
        side.receive(data)
    return (message, first) if isinstance(message, Ask) else None


def entry(line: ListedEndpoint, address: str, zones: list[str], unix_start: float) -> dict[str, Any]:
    """A line of the list in discovery's form; `unix_start` is the start of the run in Unix time."""
    lifecycle = {"ready": "SERVING", "draining": "DRAINING", "gone": "DELETED"}[line.status.value]
    return {
        "instanceId": line.id,
        "hostPort": address,
        "zone": zones[line.zone],
        "machineType": "m",
        "cell": line.cell,
        "lifecycle": lifecycle,
        "weight": line.weight,
        "startedAtMs": 0 if line.started_at is None else (unix_start + line.started_at) * 1000,
    }
