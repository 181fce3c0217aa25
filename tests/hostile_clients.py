"""Clients that take a sidecar's memory: many connections play at once, in a process of their own.

`python -m tests.hostile_clients PORT PLAY CLIENTS SECONDS SEED` plays and prints how many rounds were begun.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import sys
import time
from collections.abc import Awaitable, Callable

STALL_TIME = 6.0  # seconds for which a client that has stopped in the middle stays
PIECE_INTERVAL = 0.1  # seconds between two pieces of a slow client
WRITE_RATE = 64_000  # bytes a second; the pages allow bodies as slow as this
READ_RATE = 20_000  # bytes a second
RECEIVE_BUFFER = 8 * 1024  # bytes that the kernel keeps for a client that reads slowly
ROUND_TIMEOUT = 20.0  # seconds
REQUESTS_AT_ONCE = 300

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Play = Callable[[int, str], Awaitable[None]]


def head(request_id: str, body_length: int, answer: int = 0, fields: str = "") -> bytes:
    """Encodes the head of a request whose answer is to have `answer` bytes."""
    return (
        f"POST /api?answer={answer} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {request_id}\r\n"
        f"X-Priority-Class: look\r\nX-Timeout-Ms: 2500\r\nContent-Length: {body_length}\r\n{fields}\r\n"
    ).encode()


async def connect(port: int, receive_buffer: int = 0) -> Streams:
    """Opens a connection; `receive_buffer` limits what the kernel takes for its reader."""
    sock = socket.socket()
    if receive_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    return await asyncio.open_connection(sock=sock, limit=4096)


async def stop_half_way(port: int, request_id: str) -> None:
    """States a long body, sends half of it and stays."""
    reader, writer = await connect(port)
    try:
        length = random.choice((65_000, 64 * 1024, 150_000, 400_000, 1_000_000))
        writer.write(head(request_id, length) + b"y" * (length // 2))
        await asyncio.wait_for(reader.read(1), STALL_TIME)
    finally:
        writer.close()


async def write_slowly(port: int, request_id: str) -> None:
    """Sends a body at the slowest pace that is allowed and reads the answer."""
    reader, writer = await connect(port)
    try:
        left = random.choice((64_000, 150_000, 300_000))
        writer.write(head(request_id, left))
        while left > 0:
            part = min(left, int(WRITE_RATE * PIECE_INTERVAL))
            writer.write(b"y" * part)
            await writer.drain()
            left -= part
            await asyncio.sleep(PIECE_INTERVAL)
        await reader.read(1)
    finally:
        writer.close()


async def send_on_after_refusal(port: int, request_id: str) -> None:
    """Sends a request that is refused by its head, with much behind it, and stays."""
    reader, writer = await connect(port)
    try:
        writer.write(head(request_id, 100_000_000) + b"y" * 200_000)
        await asyncio.wait_for(reader.read(1), STALL_TIME)
        await asyncio.sleep(PIECE_INTERVAL * random.randrange(20))
    finally:
        writer.close()


async def send_many_fields(port: int, request_id: str) -> None:
    """Sends a head of very many short fields, in pieces."""
    reader, writer = await connect(port)
    try:
        fields = "".join(f"{n:x}:{n % 10}\r\n" for n in range(random.choice((200, 1_000, 2_000, 9_000))))
        data = head(request_id, 0, fields=fields)
        step = random.choice((len(data), len(data) // 2 + 1, 5_000))
        for begin in range(0, len(data), step):
            writer.write(data[begin : begin + step])
            await writer.drain()
            await asyncio.sleep(PIECE_INTERVAL)
        await reader.read(1)
    finally:
        writer.close()


async def read_slowly(port: int, request_id: str) -> None:
    """Asks for a long answer and reads it slowly."""
    reader, writer = await connect(port, RECEIVE_BUFFER)
    try:
        writer.write(head(request_id, 0, answer=random.choice((60_000, 60_000, 2_000_000))))
        until = time.monotonic() + STALL_TIME
        while time.monotonic() < until and await reader.read(int(READ_RATE * PIECE_INTERVAL)):
            await asyncio.sleep(PIECE_INTERVAL)
    finally:
        writer.transport.abort()


async def send_body_and_read_slowly(port: int, request_id: str) -> None:
    """Sends a whole body of the longest buffered length at once and reads an answer of that length slowly."""
    reader, writer = await connect(port, RECEIVE_BUFFER)
    try:
        writer.write(head(request_id, 64_000, answer=60_000) + b"y" * 64_000)
        until = time.monotonic() + STALL_TIME
        while time.monotonic() < until and await reader.read(int(READ_RATE * PIECE_INTERVAL)):
            await asyncio.sleep(PIECE_INTERVAL)
    finally:
        writer.transport.abort()


async def pipeline_and_abort(port: int, request_id: str) -> None:
    """Sends many requests at once and closes the connection with all answers unread."""
    _, writer = await connect(port)
    writer.write(b"".join(head(f"{request_id}-{n}", 0) for n in range(60)))
    await asyncio.sleep(random.uniform(0.0, 0.3))
    writer.transport.abort()


async def send_hundreds_at_once(port: int, request_id: str) -> None:
    """Sends hundreds of small requests at once, stays for a moment and goes."""
    _, writer = await connect(port)
    try:
        writer.write(b"".join(head(f"{request_id}-{n}", 2) + b"hi" for n in range(REQUESTS_AT_ONCE)))
        await asyncio.sleep(1.0)
    finally:
        writer.transport.abort()


def small_requests(kind: str, number: int) -> bytes:
    """Encodes a batch of requests of that kind, with ever new names."""
    count = 50
    numbers = range(number * count, number * count + count)
    if kind == "flood_unsound":
        return b"".join(b"GET / HTTP/9.%d\r\nx:%d\r\n\r\n" % (n, n) for n in numbers)
    if kind == "flood_without_id":
        return b"".join(
            b"GET /api?%d HTTP/1.1\r\nHost: a\r\nX-Priority-Class: look\r\n\r\n" % n for n in numbers
        )
    if kind == "flood_ready":
        return b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n" * count
    if kind == "flood_new_classes":
        return b"".join(
            b"GET /api HTTP/1.1\r\nHost: a\r\nX-Request-ID: c%d\r\nX-Priority-Class: c%d\r\n\r\n" % (n, n)
            for n in numbers
        )
    if kind == "flood_one_byte_chunks":
        lines = f"X-Request-ID: o{number}\r\nX-Priority-Class: look\r\nTransfer-Encoding: chunked\r\n"
        return (
            f"POST /api HTTP/1.1\r\nHost: a\r\n{lines}\r\n".encode() + b"1\r\ny\r\n" * 20_000 + b"0\r\n\r\n"
        )
    names = "X-Request-ID: n{0}\r\nCookie: user=u{0}\r\nX-Attrs: billing={0}\r\nX-New-{0}: {0}\r\n"
    return b"".join(
        f"GET /api?n={n} HTTP/1.1\r\nHost: a\r\n{names.format(n)}X-Priority-Class: look\r\n\r\n".encode()
        for n in numbers
    )


def flood(kind: str) -> Play:
    """A play that sends requests of one kind at full speed on one connection, and reads what it is sent."""

    async def play(port: int, _: str) -> None:
        reader, writer = await connect(port)

        async def read() -> None:
            while await reader.read(65_536):
                pass

        reading = asyncio.create_task(read())
        try:
            number = random.randrange(1_000_000)
            while not reading.done():
                number += 1
                writer.write(small_requests(kind, number))
                await writer.drain()
        finally:
            reading.cancel()
            writer.transport.abort()

    return play


FLOODS: dict[str, Play] = {
    kind: flood(kind)
    for kind in (
        "flood_unsound",
        "flood_without_id",
        "flood_ready",
        "flood_new_classes",
        "flood_one_byte_chunks",
        "flood_new_names",
    )
}
PLAYS: dict[str, Play] = {
    play.__name__: play
    for play in (
        stop_half_way,
        write_slowly,
        send_on_after_refusal,
        send_many_fields,
        read_slowly,
        send_body_and_read_slowly,
        send_hundreds_at_once,
    )
}
EVERY: dict[str, Play] = {**PLAYS, **FLOODS, "pipeline_and_abort": pipeline_and_abort}
ALL_AT_ONCE = "all_at_once"  # each client draws a play anew each round


async def run(port: int, name: str, clients: int, seconds: float) -> int:
    """Plays with so many clients; returns the number of rounds begun."""
    until = time.monotonic() + seconds
    rounds = 0

    async def client(index: int) -> None:
        nonlocal rounds
        await asyncio.sleep(random.random())
        while time.monotonic() < until:
            rounds += 1
            play = random.choice(list(PLAYS.values())) if name == ALL_AT_ONCE else EVERY[name]
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                await asyncio.wait_for(play(port, f"hostile-{index}-{rounds}"), ROUND_TIMEOUT)
            await asyncio.sleep(0.02)

    tasks = [asyncio.create_task(client(index)) for index in range(clients)]
    await asyncio.wait(tasks, timeout=seconds)
    for task in tasks:
        task.cancel()
    return rounds


if __name__ == "__main__":
    random.seed(sys.argv[5])
    print(asyncio.run(run(int(sys.argv[1]), sys.argv[2], int(sys.argv[3]), float(sys.argv[4]))))
