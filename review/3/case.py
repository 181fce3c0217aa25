"""A new version takes over while requests are open, and a bad client sends the id of one of them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common import bench

ENDPOINTS = 4
WORK = 0.35  # seconds of an endpoint's work, within the promised time
CLIENTS = 4


class Endpoint:
    """Runs each request whose last byte has come, and counts the runs by id."""

    def __init__(self, name: str, record: bench.Record, runs: dict[str, list[str]]) -> None:
        self.name, self.record, self.runs = name, record, runs
        self.address = ""

    async def start(self) -> None:
        """Listens."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = bench.bound(server)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while message := await bench.read_message(reader):
                request_id = message[1]["x-request-id"]
                self.runs.setdefault(request_id, []).append(self.name)
                self.record(f"{self.name} runs {request_id}")
                await asyncio.sleep(WORK)
                writer.write(bench.answer_bytes(200, f"{request_id} {self.name}".encode()))
        writer.close()


async def case(record: bench.Record, folder: Path, to_end: list[Any]) -> bool:
    """Runs the case; returns whether each request of the binding class ran once at most."""
    runs: dict[str, list[str]] = {}
    endpoints = [Endpoint(f"s-{number}", record, runs) for number in range(ENDPOINTS)]
    for endpoint in endpoints:
        await endpoint.start()
    discovery = bench.Discovery([bench.line(endpoint.name, endpoint.address) for endpoint in endpoints])
    await discovery.start()
    listen = bench.free_address()
    lanes = [
        bench.traffic_type("save-answer", "read_like", 1200.0, 2500.0),
        bench.traffic_type("submit-exam", "non_idempotent", 1200.0, 2500.0),
    ]
    config = {
        "name": "n1",
        "listen": listen,
        "discovery": discovery.address,
        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512},
        "settings": bench.settings(lanes),
    }
    consoles = [bench.free_address(), bench.free_address()]

    def start(number: int) -> bench.Sidecar:
        own = {**config, "console": consoles[number], "seed": f"8c1f30d27a5be96{number}"}
        sidecar = bench.Sidecar(folder, f"process-{number}", own, folder / "tmp")
        to_end.append(sidecar)
        return sidecar

    old = start(0)
    await bench.ready(listen)
    serving, number = True, 0
    open_ids: dict[str, bytes] = {}
    refused = served_copies = 0

    async def client(index: int) -> None:
        nonlocal number
        connection = bench.Client(listen)
        await asyncio.sleep(0.15 * index)
        while serving:
            number += 1
            request_id, key = f"{number:08x}{random.getrandbits(32):08x}", f"{random.randrange(500):016x}"
            data = bench.request_bytes("POST", request_id, "submit-exam", key, 2500, b"final")
            open_ids[request_id] = data
            status, _, _ = await connection.ask(data, 4.0)
            del open_ids[request_id]
            record(f"client {index}: {request_id} was answered {status}")
            if status != 200:
                await asyncio.sleep(0.2)
        connection.close()

    tasks = [asyncio.create_task(client(index)) for index in range(CLIENTS)]
    await asyncio.sleep(3.0)
    if bench.TROUBLE:
        start(1)
        await bench.ready(consoles[1], "/-/ready", 6.0)
        record.say("the new process says yes; the old one gets SIGTERM")
        old.signal(signal.SIGTERM)

    async def copy(request_id: str, data: bytes) -> None:
        nonlocal refused, served_copies
        bad = bench.Client(listen)
        status, _, _ = await bad.ask(data, 3.5)
        bad.close()
        record.say(f"bad client: the open id {request_id} again, answered {status}")
        refused, served_copies = refused + (status != 200), served_copies + (status == 200)

    await asyncio.gather(*(copy(*item) for item in list(open_ids.items())))
    await asyncio.sleep(1.0)
    serving = False
    await asyncio.gather(*tasks)
    twice = {request_id: names for request_id, names in runs.items() if len(names) > 1}
    for request_id, names in twice.items():
        record.say(f"{request_id} of the binding class ran {len(names)} times: {names}")
    record.say(f"requests {number}, copies served {served_copies}, copies refused {refused}")
    if served_copies + refused == 0 or not runs:
        raise bench.CannotRunError("no copy of an open request was sent")
    return not twice and not served_copies


bench.main(case, Path(__file__).resolve().parent)
