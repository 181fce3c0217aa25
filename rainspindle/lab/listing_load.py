"""A list service whose lines a test may change while sidecars ask, which counts its calls and can be slow of
them, down, silent, or count its versions anew."""

from __future__ import annotations

import contextlib
import threading
import time
from collections.abc import Sequence
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from types import TracebackType
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson

from .models.registry import Gate
from .sockets.run import reserve_port


class Lists(ThreadingHTTPServer):
    """Entries by id, as discovery tells them; each change is a version."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def __init__(self, entries: Sequence[dict[str, Any]], port: int = 0, rate: float = 0.0) -> None:
        """`rate`: calls that it takes a second, 0 for any number."""
        self.changed = threading.Condition()
        self.version = 1
        self.entries = {entry["instanceId"]: (1, dict(entry)) for entry in entries}
        self.gate = Gate(rate)
        self.down = self.silent = False
        self.calls: list[tuple[float, bool]] = []  # when each came, monotonic; whether it was taken
        self.watches = 0  # calls that wait for news now
        super().__init__(("127.0.0.1", port or reserve_port()), Handler)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.server_address[1]}"

    def __enter__(self) -> Lists:
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, fault: BaseException | None, trace: TracebackType | None
    ) -> None:
        with self.changed:
            self.down = True
            self.changed.notify_all()
        self.shutdown()
        self.server_close()

    def handle_error(self, request: Any, client_address: Any) -> None:
        """A sidecar that is killed leaves broken connections."""

    def tell(self, id: str, state: str, **fields: Any) -> int:
        """A line changes; the version that it is told with. `DELETED` takes it away."""
        with self.changed:
            self.version += 1
            before = self.entries[id][1] if id in self.entries else {"instanceId": id}
            self.entries[id] = self.version, {**before, **fields, "lifecycle": state}
            self.changed.notify_all()
            return self.version

    def anew(self) -> None:
        """It is restarted and counts from 1."""
        with self.changed:
            self.version = 1
            self.entries = {
                id: (1, entry) for id, (_, entry) in self.entries.items() if entry["lifecycle"] != "DELETED"
            }
            self.changed.notify_all()

    def switch(self, **to: bool) -> None:
        with self.changed:
            for name, value in to.items():
                setattr(self, name, value)
            self.changed.notify_all()

    def since(self, at: float) -> int:
        return sum(came >= at for came, _ in list(self.calls))

    def answer(self, index: int | None, wait: float) -> bytes | None:
        """None where the call fails."""
        with self.changed:
            taken = not self.down and self.gate.takes(time.monotonic())
            self.calls.append((time.monotonic(), taken))
            if self.silent:
                self.changed.wait_for(lambda: self.down or not self.silent, 60.0)
                return None
            if index is not None and taken:
                self.watches += 1
                self.changed.wait_for(lambda: self.down or self.silent or self.version != index, wait)
                self.watches -= 1
            if not taken or self.down or self.silent:
                return None
            lines = [
                entry
                for version, entry in self.entries.values()
                if (entry["lifecycle"] != "DELETED" if index is None else version > index)
            ]
            return orjson.dumps({"generation": self.version, "reset": index is None, "instances": lines})


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: Lists

    def do_GET(self) -> None:
        query = parse_qs(urlsplit(self.path).query)
        body = self.server.answer(
            int(query["index"][0]) if "index" in query else None, int(query.get("wait", ["0"])[0]) / 1000
        )
        status = 503 if body is None else 200
        with contextlib.suppress(OSError):
            self.wfile.write(
                b"HTTP/1.1 %d Told\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body or b""), body or b"")
            )

    def log_message(self, format: str, *args: Any) -> None:
        """Its ledger is `calls`."""
