"""Endpoints, a process of their own.

    python endpoints.py COUNT LONG

Prints an address a line. Each request is answered when its last byte has come, with a body of some length:
where LONG is 1, one of ANSWERS.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common import bench

ANSWERS = (60_000, 64_000, 500_000, 1_000_000)  # bytes
WORK = 0.02  # seconds
PART = 16_384


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> None:
    """Reads a body to its end."""
    if headers.get("transfer-encoding") == "chunked":
        while size := int((await reader.readline()).strip(), 16):
            await reader.readexactly(size + 2)
        await reader.readline()
        return
    left = int(headers.get("content-length", 0))
    while left > 0 and (data := await reader.read(min(left, PART))):
        left -= len(data)


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serves one connection."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            lines = [text.partition(":") for text in head.split("\r\n")[1:]]
            await read_body(reader, {name: value.strip() for name, _, value in lines})
            await asyncio.sleep(WORK)
            size = random.choice(ANSWERS) if sys.argv[2] == "1" else 200
            writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n".encode())
            for begin in range(0, size, PART):
                writer.write(b"x" * min(PART, size - begin))
                await writer.drain()
    writer.close()


async def main() -> None:
    """Serves until it is killed."""
    for _ in range(int(sys.argv[1])):
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        print(bench.bound(server), flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
