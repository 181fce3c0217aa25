"""Answers that never end hold up the whole sidecar: all other requests stay without an answer."""

from __future__ import annotations

import asyncio
import contextlib
import random
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common import bench

ENDPOINTS, SPOILT, AFTER = 6, 4, 4
CLIENTS = 10
EXPIRY = 1.8  # seconds that a client waits, 72% of what the class gives
# Half a second later a request is lost; for the test's own time, half a second more.
LOST_AFTER = EXPIRY + 0.5 + 0.5
PATIENCE = 12.0  # seconds after which a client stops to wait
SECONDS = 25.0


class Streams(bench.Client):
    """A client that also reads chunked answers."""

    async def ask_any(self, data: bytes) -> tuple[int, bool]:
        """Sends a request; returns the status, 0 for none, and whether the answer was a chunked one."""
        try:
            if self.writer is None:
                await self.connect()
            assert self.reader is not None and self.writer is not None
            self.writer.write(data)
            head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), PATIENCE)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.close()
            return 0, False
        text = head.decode("latin-1").lower()
        if "chunked" in text:
            with contextlib.suppress(OSError):
                while await self.reader.read(1 << 18):
                    pass
            self.close()
            return int(text.split()[1]), True
        await self.reader.readexactly(int(text.split("content-length:")[1].split()[0]))
        if "connection: close" in text:
            self.close()
        return int(text.split()[1]), False


async def started_endpoints(folder: Path, to_end: list[Any]) -> list[str]:
    """Starts the endpoints and returns their addresses."""
    program, path = Path(__file__).with_name("endpoints.py"), folder / "endpoints.log"
    spoilt = SPOILT if bench.TROUBLE else 0
    arguments = [sys.executable, str(program), str(ENDPOINTS), str(spoilt), str(AFTER)]
    with path.open("wb") as log:
        to_end.append(bench.Process(subprocess.Popen(arguments, stdout=log)))
    for _ in range(100):
        await asyncio.sleep(0.1)
        addresses = path.read_text(encoding="utf-8").split("\n")[:-1]
        if len(addresses) >= ENDPOINTS:
            return addresses[:ENDPOINTS]
    raise bench.CannotRunError("the endpoints did not start")


async def case(record: bench.Record, folder: Path, to_end: list[Any]) -> bool:
    """Runs the case; returns whether each request got its final answer."""
    addresses = await started_endpoints(folder, to_end)
    discovery = bench.Discovery([bench.line(f"s-{n}", address) for n, address in enumerate(addresses)])
    await discovery.start()
    listen = bench.free_address()
    config = {
        "name": "n1",
        "listen": listen,
        "discovery": discovery.address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "settings": bench.settings([bench.traffic_type("save-answer", "read_like", 600.0, 2500.0)]),
    }
    to_end.append(bench.Sidecar(folder, "n1", config, folder / "tmp"))
    await bench.ready(listen)
    until = time.monotonic() + SECONDS
    statuses: dict[int, int] = {}
    lost, unended, lag = [], [], 0.0

    async def measure_own_lag() -> None:
        nonlocal lag
        while True:
            began = time.monotonic()
            await asyncio.sleep(0.01)
            lag = max(lag, time.monotonic() - began - 0.01)

    async def client(index: int) -> None:
        connection, number = Streams(listen), 0
        while time.monotonic() < until:
            number += 1
            request_id = f"{index:04x}{number:04x}{random.getrandbits(32):08x}"
            key = f"{random.randrange(1000):016x}"
            data = bench.request_bytes("GET", request_id, "save-answer", key, int(EXPIRY * 1000), b"")
            sent = time.monotonic()
            status, endless = await connection.ask_any(data)
            took = time.monotonic() - sent
            statuses[status] = statuses.get(status, 0) + 1
            record(f"{request_id} sent {sent - record.began:.3f}, answered {status} after {took:.3f} s")
            if endless:
                unended.append(request_id)
                record.say(f"{request_id} got an answer that was cut off after {took:.1f} s")
            elif took > LOST_AFTER:
                lost.append(request_id)
                record.say(f"{request_id} is lost: {status or 'no answer'} after {took:.1f} s")
            await asyncio.sleep(0.1)
        connection.close()

    watch = asyncio.create_task(measure_own_lag())
    clients = [asyncio.create_task(client(index)) for index in range(CLIENTS)]
    await asyncio.wait(clients, timeout=SECONDS + PATIENCE + 5.0)
    for task in (watch, *clients):
        task.cancel()
    record.say(f"statuses {dict(sorted(statuses.items()))}, lost {len(lost)}, own lag {lag:.3f} s")
    if lag > LOST_AFTER - EXPIRY - 0.5:
        raise bench.CannotRunError("the machine held up the test itself")
    return not lost


bench.main(case, Path(__file__).resolve().parent)
