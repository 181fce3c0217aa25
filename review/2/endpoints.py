"""Endpoints, a process of their own.

    python endpoints.py COUNT SPOILT AFTER

Prints an address a line, then what it does. SPOILT of them answer one request, the first that comes AFTER
seconds from the start, with a body in small chunks that never ends.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common import bench

WORK = 0.03  # seconds
CHUNK = 128  # bytes


class Endpoint:
    """One endpoint."""

    def __init__(self, name: str, spoils_at: float) -> None:
        self.name, self.spoils_at = name, spoils_at

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while message := await bench.read_message(reader):
                request_id = message[1]["x-request-id"]
                await asyncio.sleep(WORK)
                if time.monotonic() >= self.spoils_at:
                    self.spoils_at = float("inf")
                    await self.never_end(request_id, writer)
                    break
                writer.write(bench.answer_bytes(200, request_id.encode()))
        writer.close()

    async def never_end(self, request_id: str, writer: asyncio.StreamWriter) -> None:
        """Answers without end, as fast as it is read."""
        print(f"{self.name} begins an answer to {request_id} that never ends", flush=True)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        part = (b"%x\r\n%b\r\n" % (CHUNK, b"x" * CHUNK)) * 480
        count = 0
        try:
            while True:
                writer.write(part)
                count += len(part)
                await writer.drain()
        finally:
            print(f"{self.name}: {request_id} was broken off after {count} bytes", flush=True)


async def main() -> None:
    """Serves until it is killed."""
    count, spoilt, after = (int(text) for text in sys.argv[1:])
    for number in range(count):
        spoils_at = time.monotonic() + after if number < spoilt else float("inf")
        endpoint = Endpoint(f"s-{number}", spoils_at)
        server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
        print(bench.bound(server), flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
