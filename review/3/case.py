"""Long bodies and answers, more at once than memory holds: the sidecar takes more than its limit."""

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

ENDPOINTS = 6
MEMORY_MB, SOCKETS = 64, 512
CLIENTS = 170  # a third of the descriptors
BODIES = (60_000, 64_000, 150_000, 300_000)  # bytes
WRITE_RATE = 80_000  # bytes a second of a client's body; 64 kB a second are allowed
READ_RATE = 200_000  # bytes a second at which a client reads its answer
EXPIRY = 1.5  # seconds, of submit-exam
SECONDS = 40.0
KILLED_AT = 1.1 * MEMORY_MB  # a tenth more than the limit, for the ways in which memory can be counted


def resident_mb(pid: int) -> float:
    """Returns the memory that a process holds, as the platform sees it."""
    for text in Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines():
        if text.startswith("VmRSS"):
            return int(text.split()[1]) * 1024 / 1e6
    raise bench.CannotRunError("the system does not tell the memory of a process")


async def started_endpoints(folder: Path, to_end: list[Any]) -> list[str]:
    """Starts the endpoints and returns their addresses."""
    program, path = Path(__file__).with_name("endpoints.py"), folder / "endpoints.log"
    arguments = [sys.executable, str(program), str(ENDPOINTS), str(int(bench.TROUBLE))]
    with path.open("wb") as log:
        to_end.append(bench.Process(subprocess.Popen(arguments, stdout=log)))
    for _ in range(100):
        await asyncio.sleep(0.1)
        addresses = path.read_text(encoding="utf-8").split("\n")[:-1]
        if len(addresses) >= ENDPOINTS:
            return addresses
    raise bench.CannotRunError("the endpoints did not start")


async def exchange(listen: str, request_id: str, size: int) -> int:
    """Sends a request with a body of `size` bytes, slowly, and reads the answer; returns the status."""
    host, _, port = listen.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=65536)
    try:
        key = f"{random.randrange(1000):016x}"
        request = bench.request_bytes("POST", request_id, "submit-exam", key, int(EXPIRY * 1000), b"y" * size)
        head, _, body = request.partition(b"\r\n\r\n")
        writer.write(head + b"\r\n\r\n")
        part = WRITE_RATE // 10
        for begin in range(0, size, part):
            writer.write(body[begin : begin + part])
            await writer.drain()
            if begin + part < size:
                await asyncio.sleep(0.1)
        answer = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        left = int(answer.split("content-length:")[1].split()[0])
        while left > 0 and (data := await reader.read(READ_RATE // 20)):
            left -= len(data)
            await asyncio.sleep(0.05)
        return int(answer.split()[1]) if left == 0 else 0
    finally:
        writer.close()


async def case(record: bench.Record, folder: Path, to_end: list[Any]) -> bool:
    """Runs the case; returns whether the sidecar kept its limit on memory and lived."""
    addresses = await started_endpoints(folder, to_end)
    discovery = bench.Discovery([bench.line(f"s-{n}", address) for n, address in enumerate(addresses)])
    await discovery.start()
    listen = bench.free_address()
    lanes = [
        bench.traffic_type("save-answer", "read_like", 600.0, 2500.0),
        bench.traffic_type("submit-exam", "non_idempotent", 600.0, EXPIRY * 1000),
    ]
    config = {
        "name": "n1",
        "listen": listen,
        "discovery": discovery.address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "settings": bench.settings(lanes),
    }
    sidecar = bench.Sidecar(folder, "n1", config, folder / "tmp")
    to_end.append(sidecar)
    await bench.ready(listen)
    record.say(f"after the start {resident_mb(sidecar.process.pid):.1f} MB of {MEMORY_MB}")
    until = time.monotonic() + SECONDS
    statuses: dict[int, int] = {}
    killed, peak = False, 0.0

    async def client(index: int) -> None:
        number = 0
        while time.monotonic() < until and not killed:
            number += 1
            request_id = f"{index:04x}{number:04x}{random.getrandbits(32):08x}"
            size = random.choice(BODIES) if bench.TROUBLE else 200
            status = 0
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, IndexError, TimeoutError):
                status = await asyncio.wait_for(exchange(listen, request_id, size), 30.0)
            statuses[status] = statuses.get(status, 0) + 1
            record(f"{request_id} with {size} bytes was answered {status}")
            await asyncio.sleep(0.1)

    tasks = [asyncio.create_task(client(index)) for index in range(CLIENTS)]
    while time.monotonic() < until and not killed:
        await asyncio.sleep(0.1)
        now = resident_mb(sidecar.process.pid)
        peak = max(peak, now)
        record(f"the sidecar holds {now:.1f} MB")
        if now > KILLED_AT:
            record.say(f"the sidecar holds {now:.1f} MB of {MEMORY_MB}: the platform kills it")
            killed = True
            sidecar.end()
    for task in tasks:
        task.cancel()
    record.say(f"statuses {dict(sorted(statuses.items()))}, most memory {peak:.1f} MB of {MEMORY_MB}")
    return peak <= KILLED_AT


bench.main(case, Path(__file__).resolve().parent)
