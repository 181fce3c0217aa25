"""Endpoints in threads of the lab's own process, for real processes to send to."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Mapping
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from .processes import reserve_port

Answers = Callable[["Endpoint", Mapping[str, str]], tuple[int, float] | None]  # by headers: status, seconds


class Endpoint(ThreadingHTTPServer):
    """Serves from its making until `end`."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def __init__(self, name: str, kind: str, answers: Answers, port: int = 0) -> None:
        """`answers` is asked in a thread of the request's own; None: its connection is closed. `kind` is for
        the answers to go by, and may be changed."""
        self.name, self.kind, self.answers = name, kind, answers
        self.over = threading.Event()
        super().__init__(("127.0.0.1", port or reserve_port()), Handler)
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def end(self) -> None:
        """It is gone, and its port is closed."""
        self.over.set()
        self.shutdown()
        self.server_close()

    def handle_error(self, request: Any, client_address: Any) -> None:
        """A sidecar that is killed leaves broken connections."""

    def listed(self, machine: str = "", started_ms: int = 0) -> dict[str, Any]:
        """Its entry in a list."""
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.server_address[1]}",
            "zone": None,
            "machineType": machine,
            "cell": 0,
            "lifecycle": "SERVING",
            "weight": 1.0,
            "startedAtMs": started_ms,
        }


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: Endpoint

    def do_GET(self) -> None:
        server = self.server
        told = server.answers(server, self.headers)  # type: ignore[arg-type]
        if told is None:
            self.close_connection = True
            return
        status, takes = told
        time.sleep(takes)
        body = server.name.encode()
        self.wfile.write(b"HTTP/1.1 %d Told\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))

    def log_message(self, format: str, *args: Any) -> None:
        """What clients met is what counts."""
