"""Late second answers of endpoints while the sidecar's pool of connections is full."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common import bench

ENDPOINTS = 8
WAY = 0.0025  # seconds one way between sidecar and endpoints, as between the two sites
WORK = 0.063  # mean seconds of an endpoint's work
SECOND_SHARE = 0.03  # share of the good answers that a second one follows
SECOND_LATE = (0.001, 0.004)  # seconds after the first
CLIENTS = 84  # a third of the descriptors holds 85
SECONDS = 40.0  # or until 20 foreign bodies were seen


class Endpoint:
    """Answers with the id of the request; reached over a way that takes WAY seconds in each direction."""

    def __init__(self, name: str, record: bench.Record) -> None:
        self.name, self.record = name, record
        self.seconds = 0
        self.address = ""

    async def start(self) -> None:
        """Listens."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=1024)
        self.address = bench.bound(server)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection; what is written reaches the sidecar WAY seconds later, in order."""
        loop = asyncio.get_running_loop()
        waiting = 0  # requests that have reached the endpoint on this connection and are not answered
        peer = writer.get_extra_info("peername")[1]

        def arrive(data: bytes) -> None:
            if not writer.is_closing():
                writer.write(data)

        def second(data: bytes, request_id: str) -> None:
            # Only when nothing else waits on the connection.
            if not waiting and not reader.at_eof():
                self.seconds += 1
                self.record(f"{self.name} {peer} second answer of {request_id}")
                loop.call_later(WAY, arrive, data)

        def answer(request_id: str) -> None:
            nonlocal waiting
            waiting -= 1
            data = bench.answer_bytes(200, f"{request_id} {self.name}".encode())
            self.record(f"{self.name} {peer} answers {request_id}")
            loop.call_later(WAY, arrive, data)
            if bench.TROUBLE and random.random() < SECOND_SHARE:
                loop.call_later(random.uniform(*SECOND_LATE), second, data, request_id)

        def begin(request_id: str) -> None:
            nonlocal waiting
            waiting += 1
            loop.call_later(WORK * random.uniform(0.6, 1.4), answer, request_id)

        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while message := await bench.read_message(reader):
                loop.call_later(WAY, begin, message[1]["x-request-id"])
        writer.close()


async def case(record: bench.Record, folder: Path, to_end: list[Any]) -> bool:
    """Runs the case; returns whether each 200 carried the answer made for its request."""
    endpoints = [Endpoint(f"s-{number}", record) for number in range(ENDPOINTS)]
    for endpoint in endpoints:
        await endpoint.start()
    discovery = bench.Discovery([bench.line(endpoint.name, endpoint.address) for endpoint in endpoints])
    await discovery.start()
    listen = bench.free_address()
    config = {
        "name": "n1",
        "listen": listen,
        "discovery": discovery.address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 256},
        "settings": bench.settings([bench.traffic_type("save-answer", "read_like", 600.0, 2500.0)]),
    }
    to_end.append(bench.Sidecar(folder, "n1", config, folder / "tmp"))
    await bench.ready(listen)
    statuses: dict[int, int] = {}
    foreign = []
    until = time.monotonic() + SECONDS
    number = 0

    async def client() -> None:
        nonlocal number
        connection = bench.Client(listen)
        while time.monotonic() < until and len(foreign) < 20:
            number += 1
            request_id = f"{number:08x}{random.getrandbits(32):08x}"
            key = f"{random.randrange(2000):016x}"
            status, body, _ = await connection.ask(
                bench.request_bytes("GET", request_id, "save-answer", key, 2500, b""), 3.0
            )
            statuses[status] = statuses.get(status, 0) + 1
            if status == 200 and not body.startswith(request_id.encode() + b" "):
                foreign.append(request_id)
                record.say(f"{request_id} was answered 200 with the body {body!r}")
            else:
                record(f"{request_id} was answered {status}")
            if status != 200:
                await asyncio.sleep(0.05)
        connection.close()

    await asyncio.gather(*(client() for _ in range(CLIENTS)))
    record.say(
        f"statuses {dict(sorted(statuses.items()))}, second answers "
        f"{sum(endpoint.seconds for endpoint in endpoints)}, answered with foreign bodies {len(foreign)}"
    )
    if statuses.get(200, 0) < 1000:
        raise bench.CannotRunError("too few requests were served")
    return not foreign


bench.main(case, Path(__file__).resolve().parent)
