"""A periodic log line that says what the process holds, also where it is killed before its last line."""

from __future__ import annotations

import logging
import os
from collections.abc import Callable, Iterator, Mapping

from ..transport.loop import Coroutine, Loop

log = logging.getLogger("rainspindle.program")

INTERVAL = 10.0  # seconds between two status lines
RISE_CHECK_INTERVAL = 0.5  # seconds between two checks of the memory
RISE_MB = 4.0  # a rise of the peak by this much is logged at once
PAGE_SIZE = os.sysconf("SC_PAGESIZE")  # bytes


def resident_mb() -> float:
    """Returns the resident memory of this process in MB, 0 where the system does not tell."""
    try:
        with open("/proc/self/statm", "rb") as file:  # noqa: PTH123 - pathlib would cost time at the start
            pages = int(file.read().split()[1])
    except (OSError, ValueError, IndexError):
        return 0.0
    return pages * PAGE_SIZE / 1e6


class StatusLog:
    """Logs counters and memory every INTERVAL, and as soon as the memory has risen by RISE_MB."""

    def __init__(self, loop: Loop, figures: Callable[[], Mapping[str, object]]) -> None:
        """`figures` returns the fields of a line beside the memory."""
        self.loop, self.figures = loop, figures
        self.peak_mb = self.logged_peak_mb = 0.0
        self.last: dict[str, object] = {}  # the fields last logged by the interval

    def run(self) -> Coroutine[None]:
        """Logs until the loop ends."""
        next_line = self.loop.now() + INTERVAL
        while True:
            check_at = self.loop.now() + RISE_CHECK_INTERVAL
            while self.loop.now() < check_at:
                yield check_at
            self.peak_mb = max(self.peak_mb, resident_mb())
            if self.peak_mb >= self.logged_peak_mb + RISE_MB:
                self.write()
            elif self.loop.now() >= next_line:
                self.write_if_changed()
                next_line = self.loop.now() + INTERVAL

    def write(self) -> None:
        """Logs a line."""
        self.logged_peak_mb = max(self.peak_mb, self.logged_peak_mb)
        log.info("status", extra={"fields": dict(self.fields())})

    def write_if_changed(self) -> None:
        """Logs a line unless nothing has happened since the last one."""
        figures = dict(self.figures())
        if figures != self.last:
            self.last = figures
            self.write()

    def fields(self) -> Iterator[tuple[str, object]]:
        """Yields names and values of a line."""
        yield "resident_mb", f"{resident_mb():.1f}"
        yield "peak_mb", f"{self.peak_mb:.1f}"
        yield from self.figures().items()
