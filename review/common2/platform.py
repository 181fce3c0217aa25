"""Starts the program as the deploy file does, and stands in for the list service and the operators."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine, Iterable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MOST_SECONDS = 115.0  # a run may take 120 s

# The settings of casa-exams as the wire page prints them, for four sidecars of which one is played here.
SETTINGS: dict[str, Any] = {
    "blend": {"whole": 0.55, "worst-class": 0.3, "worst-tenant": 0.0, "worst-window": 0.15},
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
    "extra": {"warm-keys": True},
    "failure-domains": ["casablanca", "rabat"],
    "family": "mesh",
    "kinds": ["fast-1c", "std-1c", "slow-1c"],
    "me": 0,
    "peers-total": 4,
    "policy-limits": {
        "cancel": True,
        "conn-idle": 30000.0,
        "connect-timeout": 250.0,
        "cpu-us-per-request": 0.0,
        "cpu-us-per-s": 124548,
        "max-forwards": 4,
        "max-open": 24909,
        "max-retry-after": 2000.0,
        "may-probe": True,
        "parallel-tries": True,
        "peers": False,
        "retry-after": True,
        "streams-per-conn": 1,
    },
    "prices": {"cross-zone": 0.082, "late-fail": 0.035, "probe": 0.01, "waste": 0.12},
    "resolution": 5.0,
    "stage": 0,
    "telemetry": {"fields": [], "via": "off"},
    "tenants": [],
    "tiers": ["answer-servers"],
    "traffic-types": [
        {
            "dedup-scope": "all",
            "effect": "read_like",
            "expiry": 2500.0,
            "memory-span": 5000.0,
            "name": "save-answer",
            "overdue-value": 0.0,
            "promised-time": 600.0,
            "stream": False,
            "value": 3.0,
        },
        {
            "dedup-scope": "all",
            "effect": "non_idempotent",
            "expiry": 1500.0,
            "memory-span": 5000.0,
            "name": "submit-exam",
            "overdue-value": 0.0,
            "promised-time": 600.0,
            "stream": False,
            "value": 5.0,
        },
    ],
    "value-basis": "request",
    "weight-kind": "nominal",
    "zone": 0,
}


class CannotRunError(Exception):
    """The case could not be played; it says nothing about the rule."""


def free_port() -> int:
    """Returns a port of the loopback address that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def entry(name: str, port: int, lifecycle: str = "SERVING", zone: str = "casablanca") -> dict[str, Any]:
    """Returns a line of the list."""
    return {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{port}",
        "zone": zone,
        "machineType": "std-1c",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 0,
    }


class Record:
    """What was sent, answered and run, in order; written to record.txt."""

    def __init__(self, folder: Path) -> None:
        self.path, self.began, self.lines = folder / "record.txt", time.monotonic(), list[str]()

    def add(self, who: str, what: str) -> float:
        """Adds a line and returns the seconds since the beginning."""
        at = time.monotonic() - self.began
        self.lines.append(f"{at:9.3f} {who}: {what}")
        return at

    def write(self) -> None:
        """Writes the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


class Discovery:
    """The list service: answers with the whole list, or with what changed once it has."""

    def __init__(self, record: Record, lines: Iterable[dict[str, Any]]) -> None:
        self.record, self.generation = record, 41
        self.lines = {line["instanceId"]: line for line in lines}
        self.changed = dict.fromkeys(self.lines, 41)
        self.news = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def end(self) -> None:
        """Ends the service."""
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    def change(self, line: dict[str, Any]) -> None:
        """Tells a changed line."""
        self.generation += 1
        self.lines[line["instanceId"]] = line
        self.changed[line["instanceId"]] = self.generation
        self.record.add("discovery", f"{line['instanceId']} is {line['lifecycle']}")
        self.news.set()
        self.news = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        """Returns the whole list."""
        return {
            "generation": self.generation,
            "reset": True,
            "instances": [line for line in self.lines.values() if line["lifecycle"] != "DELETED"],
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the calls of one connection."""
        self.writers.add(writer)
        with contextlib.suppress(asyncio.CancelledError, ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                query = head.split(" ", 2)[1].partition("?")[2]
                fields = dict(pair.split("=") for pair in query.split("&")) if query else {}
                answer = self.whole()
                if "index" in fields:
                    index, until = int(fields["index"]), time.monotonic() + int(fields["wait"]) / 1000
                    while self.generation <= index and (left := until - time.monotonic()) > 0:
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(self.news.wait(), left)
                    changed = [line for name, line in self.lines.items() if self.changed[name] > index]
                    answer = {"generation": self.generation, "reset": False, "instances": changed}
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        writer.close()


class Program:
    """One process of the program, ended by its id."""

    def __init__(self, command: str, environment: dict[str, str], log: Path) -> None:
        with log.open("ab") as out:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env={**os.environ, **environment},
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
            )
        self.log = log

    async def until_logged(self, text: str, seconds: float = 30.0) -> None:
        """Waits until the log has a text."""
        until = time.monotonic() + seconds
        while text not in self.log.read_text():
            if time.monotonic() > until or self.process.poll() is not None:
                raise CannotRunError(f"the program did not start: {self.log.read_text()[-2000:]}")
            await asyncio.sleep(0.05)

    def send(self, number: int) -> None:
        """Sends a signal."""
        self.process.send_signal(number)

    def end(self) -> None:
        """Ends the process."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


def run_line(front: str = "") -> str:
    """Returns the `run` command of the deploy file, with another front's command in place of `serve`."""
    run: str = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    if not front:
        return run
    if not run.endswith(" serve") or not (ROOT / ".venv/made-from-review-2").exists():
        raise CannotRunError("the deploy file's run line is another, or review/build-2.sh was not run")
    return run.removesuffix("serve") + front


def config(name: str, listen: int, discovery: Discovery, **changes: Any) -> dict[str, Any]:
    """Returns the configuration of a sidecar."""
    return {
        "name": name,
        "listen": f"127.0.0.1:{listen}",
        "discovery": f"127.0.0.1:{discovery.port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": SETTINGS,
        "known": discovery.whole(),
        **changes,
    }


async def call_console(port: int, method: str, path: str) -> int:
    """Makes an operator's call and returns the status of its answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: console\r\nContent-Length: 0\r\n\r\n".encode())
    answer = await asyncio.wait_for(reader.read(), 2.0)
    writer.close()
    return int(answer.split(b" ", 2)[1])


def main(file: str, play: Callable[[Record, Path], Coroutine[Any, Any, list[str]]]) -> int:
    """Plays a case, which returns the breaks of its rule; returns the status of the script."""
    record = Record(Path(file).parent)
    record.add("case", "with its disruption" if TROUBLE else "without its disruption")
    status = 2
    try:
        with tempfile.TemporaryDirectory() as folder:
            breaks = asyncio.run(asyncio.wait_for(play(record, Path(folder)), MOST_SECONDS))
        for line in breaks:
            record.add("BROKEN", line)
        status = 1 if breaks else 0
        record.add("case", "the rule was broken" if breaks else "the rule held")
    except (CannotRunError, TimeoutError, OSError) as error:
        record.add("case", f"could not run: {type(error).__name__} {error}")
    record.write()
    print("\n".join([*record.lines[:1], *record.lines[-12:]]))
    return status
