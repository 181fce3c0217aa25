"""A sidecar under all the load that it can take: an endpoint that does no work, a driver that never waits."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

from ..sockets import fast
from .processes import PATIENCE


class Pressure:
    """The endpoint while it is open; `drive` for the load."""

    def __init__(self) -> None:
        self.echo = self.started("echo")
        assert self.echo.stdout is not None
        self.endpoint = f"127.0.0.1:{int(self.echo.stdout.readline())}"
        self.drivers: list[subprocess.Popen[str]] = []

    def started(self, *arguments: object) -> subprocess.Popen[str]:
        return subprocess.Popen(
            [sys.executable, str(Path(fast.__file__)), *map(str, arguments)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def drive(self, port: int, seconds: float, connections: int = 60) -> None:
        """Begins it: each connection asks again as soon as it has its answer."""
        self.drivers.append(self.started("drive", port, connections, seconds, 0))

    def done(self) -> list[dict[str, float]]:
        """What each driver measured, once it is over."""
        return [json.loads(driver.communicate(timeout=PATIENCE)[0]) for driver in self.drivers]

    def __enter__(self) -> Pressure:
        return self

    def __exit__(self, *_: object) -> None:
        for process in (*self.drivers, self.echo):
            if process.poll() is None:
                process.kill()
            process.wait(PATIENCE)
            for pipe in (process.stdin, process.stdout):
                if pipe is not None:
                    pipe.close()
