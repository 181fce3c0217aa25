"""A submission with a long body is refused as if it had never run, after an endpoint has run it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
import struct
import sys
from collections import Counter
from pathlib import Path

from review.common2.http import read_head
from review.common2.platform import (
    TROUBLE,
    Discovery,
    Program,
    Record,
    config,
    entry,
    free_port,
    main,
    run_line,
)

ENDPOINTS, CLIENTS, SIZE = 8, 24, 3_000_000  # a body may have 32 MB
RESETS = 0.1  # share of the requests that are reset once they have begun
END = 40.0  # seconds
RETRY_AFTER = 0.2  # seconds a client waits at most before it sends a refused submission again


async def case(record: Record, folder: Path) -> list[str]:
    """Clients submit long exams; a client sends one again where it was told that this is harmless."""
    loop, draw = asyncio.get_running_loop(), random.Random(1)
    ran: Counter[str] = Counter()  # by exam
    ran_as: set[str] = set()  # by the id of the request
    answered: Counter[int] = Counter()
    breaks, servers = list[str](), list[asyncio.Server]()
    program = None

    async def endpoint(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                first, fields = await read_head(reader)
                left = int(fields["content-length"])
                while left:
                    part = await reader.read(min(left, 1 << 18))
                    if not part:
                        raise ConnectionError
                    left -= len(part)
                exam, request_id = first.split(" ")[1], fields["x-request-id"]
                ran[exam] += 1
                ran_as.add(request_id)
                if TROUBLE and draw.random() < RESETS:
                    record.add("endpoint", f"runs {exam} ({request_id}) and resets its connection")
                    linger = struct.pack("ii", 1, 0)
                    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    writer.transport.abort()
                    return
                record.add("endpoint", f"runs {exam} ({request_id})")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                await writer.drain()
        writer.close()

    async def submit(exam: str, request_id: str, again: bool) -> int:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = f"POST {exam} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {request_id}\r\n"
        head += "X-Priority-Class: submit-exam\r\nX-Timeout-Ms: 1500\r\n" + "X-Retried: 1\r\n" * again
        head += f"Cookie: user={exam}\r\nContent-Length: {SIZE}\r\nConnection: close\r\n\r\n"
        status = 0
        with contextlib.suppress(ConnectionError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(20.0):
                writer.write(head.encode() + body)
                first, _ = await read_head(reader)
                status = int(first.split(" ")[1])
        writer.transport.abort()
        record.add("client", f"got {status or 'no answer'} to {exam} ({request_id})")
        answered[status] += 1
        return status

    async def client(name: int) -> None:
        number = 0
        while loop.time() - began < END:
            number += 1
            exam = f"/exam/{name}-{number}"
            request_id = f"{name:04x}{number:08x}0000"
            if await submit(exam, request_id, again=False) != 503:
                continue
            if request_id in ran_as:
                breaks.append(f"{exam} ({request_id}) was refused after an endpoint had run it")
            await asyncio.sleep(RETRY_AFTER)
            await submit(exam, f"{name:04x}{number:08x}0001", again=True)

    try:
        servers += [
            await asyncio.start_server(endpoint, "127.0.0.1", 0, limit=1 << 20) for _ in range(ENDPOINTS)
        ]
        ports = [server.sockets[0].getsockname()[1] for server in servers]
        discovery = Discovery(record, [entry(f"e{n}", ports[n]) for n in range(ENDPOINTS)])
        await discovery.start()
        port, body = free_port(), bytes(SIZE)
        file = folder / "config.json"
        file.write_text(json.dumps(config("n1", port, discovery)))
        environment = {"RELAY_CONFIG": str(file), "TMPDIR": str(folder)}
        program = Program(run_line(), environment, folder / "log")
        await program.until_logged("event=serving")
        began = loop.time()
        await asyncio.gather(*(client(name) for name in range(CLIENTS)))
        record.add("case", f"answers by status: {dict(answered)}")
    finally:
        if program is not None:
            program.end()
            discovery.end()
        for server in servers:
            server.close()
        await asyncio.sleep(0.2)
    return breaks + [f"{exam} ran {count} times" for exam, count in ran.items() if count > 1]


if __name__ == "__main__":
    sys.exit(main(__file__, case))
