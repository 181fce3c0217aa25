"""Stand-ins of endpoints, clients and a line between two sites, as the protocol page describes them."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from .platform import Record


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Returns the first line and the fields of a message."""
    first, *rest = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in rest if line)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


@dataclass
class Run:
    """One execution of a request at an endpoint."""

    at: float
    endpoint: str


@dataclass
class Effects:
    """What endpoints of one group executed; a group that drops repeats knows an id for so many seconds."""

    record: Record
    memory: dict[str, float] = field(default_factory=dict)  # seconds by traffic type; none: repeats run
    runs: dict[str, list[Run]] = field(default_factory=dict)
    dropped: Counter[str] = field(default_factory=Counter)

    def execute(self, endpoint: str, request_id: str, kind: str) -> None:
        """Executes a request, unless it is a repeat that is still known."""
        now, span = asyncio.get_running_loop().time(), self.memory.get(kind)
        earlier = self.runs.setdefault(request_id, [])
        if span is not None and earlier and now - earlier[-1].at < span:
            self.dropped[request_id] += 1
            self.record.add(endpoint, f"drops the repeat {request_id}")
            return
        earlier.append(Run(now, endpoint))
        self.record.add(endpoint, f"runs {request_id} ({kind})")


class Endpoint:
    """An endpoint: begins a request when its last byte has come, and answers after its work."""

    def __init__(self, name: str, effects: Effects, work: float) -> None:
        self.name, self.effects, self.work = name, effects, work
        self.silent: Callable[[], bool] = lambda: False  # it takes requests and answers none
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listens."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def end(self) -> None:
        """Ends it."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                _, fields = await read_head(reader)
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                request_id = fields["x-request-id"]
                while self.silent():  # neither runs nor answers
                    await asyncio.sleep(3600)
                await asyncio.sleep(self.work)
                self.effects.execute(self.name, request_id, fields["x-priority-class"])
                answer = request_id.encode() + b" " + body
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer) + answer)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()


async def ask(
    record: Record, port: int, request_id: str, kind: str, key: str, wait: float, method: str = "POST"
) -> tuple[int, bytes]:
    """Sends a request on a connection of its own; returns status and body, 0 where none came in time."""
    record.add("client", f"sends {request_id} ({kind}, key {key})")
    status, body = 0, b""
    writer = None
    try:
        async with asyncio.timeout(wait):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            head = f"{method} /api HTTP/1.1\r\nHost: app\r\nX-Request-ID: {request_id}\r\n"
            head += f"X-Priority-Class: {kind}\r\nCookie: user={key}\r\nX-Timeout-Ms: {int(wait * 1000)}\r\n"
            writer.write(head.encode() + b"Connection: close\r\nContent-Length: 2\r\n\r\nhi")
            first, fields = await read_head(reader)
            body = await reader.readexactly(int(fields.get("content-length", "0")))
            status = int(first.split(" ")[1])
    except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    record.add("client", f"got {status or 'no answer'} to {request_id}")
    return status, body


class Line:
    """A line between two sites: passes bytes on, and holds them while it is stalled."""

    def __init__(self, target: int) -> None:
        self.target, self.port = target, 0
        self.flows = asyncio.Event()
        self.flows.set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def end(self) -> None:
        """Ends it."""
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Carries one connection."""
        self.writers.add(writer)
        await self.flows.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except ConnectionError:
            writer.transport.abort()
            return
        self.writers.add(far_writer)
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.create_task(self.carry(source, sink))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def carry(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
        """Carries one direction to its end."""
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while data := await source.read(65536):
                await self.flows.wait()
                sink.write(data)
                await sink.drain()
            await self.flows.wait()
        with contextlib.suppress(Exception):
            sink.close()
