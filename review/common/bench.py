"""Small stand-ins for clients, endpoints and discovery, and the start of sidecars by the deploy file."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case cannot be judged here: the exit status is 2."""


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, text: str) -> None:
        """Records a line."""
        self.file.write(f"{time.monotonic() - self.began:9.4f} {text}\n")

    def say(self, text: str) -> None:
        """Records a line and prints it."""
        self(text)
        self.file.flush()
        print(text, flush=True)


def free_address(host: str = "127.0.0.1", kind: int = socket.SOCK_STREAM) -> str:
    """Returns a loopback address whose port is free now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((host, 0))
        return f"{host}:{sock.getsockname()[1]}"


def bound(server: asyncio.Server) -> str:
    """Returns the address that a server listens on."""
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


def traffic_type(name: str, effect: str, promised: float, expiry: float, **more: Any) -> dict[str, Any]:
    """Returns one class of the settings; times in milliseconds."""
    return {
        "name": name,
        "effect": effect,
        "dedup-scope": "all",
        "expiry": expiry,
        "memory-span": 5000.0,
        "overdue-value": 0.0,
        "promised-time": promised,
        "stream": False,
        "value": 3.0,
        **more,
    }


def settings(types: list[dict[str, Any]], **limits: Any) -> dict[str, Any]:
    """Returns the settings of a small deployment."""
    return {
        "blend": {"whole": 0.6, "worst-class": 0.2, "worst-tenant": 0.0, "worst-window": 0.2},
        "clients": {"marks-retry": True},
        "contract": {
            "answer-slack": 20.0,
            "ask-within": 10000.0,
            "cold": 24000.0,
            "cold-from": 0.15,
            "fall-multiple": 2.5,
            "stop-sending-within": 500.0,
            "tip-after": 3000.0,
        },
        "discovery": "on_request",
        "excess-value": 0.1,
        "extra": {},
        "failure-domains": ["a"],
        "family": "mesh",
        "kinds": ["m"],
        "me": 0,
        "peers-total": 1,
        "policy-limits": {
            "cancel": True,
            "conn-idle": 30000.0,
            "connect-timeout": 250.0,
            "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 100000,
            "max-forwards": 4,
            "max-open": 20000,
            "max-retry-after": 2000.0,
            "may-probe": True,
            "parallel-tries": True,
            "peers": False,
            "retry-after": True,
            "streams-per-conn": 1,
            **limits,
        },
        "prices": {},
        "resolution": 5.0,
        "stage": 0,
        "telemetry": {"fields": [], "via": "off"},
        "tenants": [],
        "tiers": ["servers"],
        "traffic-types": types,
        "value-basis": "request",
        "weight-kind": "off",
        "zone": 0,
    }


# Messages.


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Reads one message with Content-Length; returns its first line, headers and body, None at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = head.split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    return first, headers, await reader.readexactly(length) if length else b""


def answer_bytes(status: int, body: bytes, **headers: str) -> bytes:
    """Encodes an answer."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join((*lines, "", "")).encode() + body


def request_bytes(method: str, request_id: str, lane: str, key: str, timeout_ms: int, body: bytes) -> bytes:
    """Encodes a request of the application."""
    lines = [
        f"{method} /api HTTP/1.1",
        "Host: app.svc",
        f"X-Request-ID: {request_id}",
        f"X-Priority-Class: {lane}",
        f"Cookie: user={key}",
        f"X-Timeout-Ms: {timeout_ms}",
    ]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join((*lines, "", "")).encode() + body


class Client:
    """One connection of the application, with one request at a time."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Opens the connection."""
        host, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))

    async def ask(self, data: bytes, wait: float) -> tuple[int, bytes, bool]:
        """Sends a request; returns status and body, and whether the connection stays.

        Status 0: the connection ended, or nothing came in time.
        """
        try:
            if self.writer is None:
                await self.connect()
            assert self.reader is not None and self.writer is not None
            self.writer.write(data)
            message = await asyncio.wait_for(read_message(self.reader), wait)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            message = None
        if message is None:
            self.close()
            return 0, b"", False
        first, headers, body = message
        if headers.get("connection") == "close":
            self.close()
        return int(first.split()[1]), body, self.writer is not None

    def close(self) -> None:
        """Closes the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


# Discovery.


class Discovery:
    """The list service: one list, watched or asked for."""

    def __init__(self, lines: list[dict[str, Any]]) -> None:
        self.lines, self.version = lines, 1
        self.changed = asyncio.Event()
        self.address = ""

    async def start(self) -> None:
        """Listens."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = bound(server)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while message := await read_message(reader):
                target = message[0].split()[1]
                query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if pair)
                if int(query.get("index", -1)) == self.version:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), int(query["wait"]) / 1000)
                fresh = int(query.get("index", -1)) == self.version
                body = {
                    "generation": self.version,
                    "reset": not fresh,
                    "instances": [] if fresh else self.lines,
                }
                writer.write(answer_bytes(200, json.dumps(body).encode()))
        writer.close()


def line(name: str, address: str) -> dict[str, Any]:
    """Returns an entry of the list."""
    return {
        "instanceId": name,
        "hostPort": address,
        "zone": "a",
        "machineType": "m",
        "cell": 0,
        "lifecycle": "SERVING",
        "weight": 1.0,
        "startedAtMs": 0,
    }


# Processes.


class Process:
    """A stand-in that is a process of its own, and is killed at the end."""

    def __init__(self, process: subprocess.Popen[bytes]) -> None:
        self.process = process

    def end(self) -> None:
        """Kills it."""
        self.process.kill()
        self.process.wait()


class Sidecar:
    """One sidecar process, started by the `run` line of the deploy file, in a group of its own."""

    def __init__(self, folder: Path, name: str, config: dict[str, Any], tmpdir: Path, run: str = "") -> None:
        path = folder / f"{name}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        command = run or tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        tmpdir.mkdir(exist_ok=True)
        self.log = (folder / f"{name}.log").open("w", encoding="utf-8")
        kept = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            env={**kept, "RELAY_CONFIG": str(path), "TMPDIR": str(tmpdir)},
            stdout=self.log,
            stderr=subprocess.STDOUT,
            start_new_session=True,
        )

    def signal(self, number: int) -> None:
        """Sends a signal to the program."""
        self.process.send_signal(number)

    def end(self) -> None:
        """Ends the process."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.log.close()


async def ready(address: str, path: str = "/ready", within: float = 20.0) -> None:
    """Waits until a GET of the path is answered with 200."""
    until = time.monotonic() + within
    while time.monotonic() < until:
        client = Client(address)
        status, _, _ = await client.ask(f"GET {path} HTTP/1.1\r\nHost: app.svc\r\n\r\n".encode(), 1.0)
        client.close()
        if status == 200:
            return
        await asyncio.sleep(0.05)
    raise CannotRunError(f"{address}{path} did not become ready")


def main(case: Callable[[Record, Path, list[Any]], Awaitable[bool]], folder: Path) -> None:
    """Runs a case, which returns whether the rule held; what it puts into the list is ended in any case."""
    record = Record(folder)
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    to_end: list[Any] = []
    random.seed(1)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))  # so that all is ended then too
    status = COULD_NOT_RUN
    try:
        record.say(f"trouble: {int(TROUBLE)}")

        async def whole() -> bool:
            # What is still open at the end is closed with the loop, without a word.
            asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
            return await asyncio.wait_for(case(record, temporary, to_end), 110.0)

        held = asyncio.run(whole())
        status = HELD if held else BROKEN
    except (CannotRunError, OSError, TimeoutError) as error:
        record.say(f"could not run: {type(error).__name__} {error}")
    finally:
        for item in to_end:
            item.end()
        for log in sorted(temporary.glob("*.log")):
            record(f"log {log.name}:\n{log.read_text(encoding='utf-8')}")
        record.say({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", COULD_NOT_RUN: "not run"}[status])
        record.file.close()
        shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(status)
