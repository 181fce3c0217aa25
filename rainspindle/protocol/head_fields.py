"""Counts the header fields of a message before they are parsed, as that takes far more memory."""

from __future__ import annotations

import re

HEAD_END = re.compile(rb"\n\r?\n")
LONGEST_END = 3  # bytes of the end of a head


class FieldCounter:
    """Counts the lines of one head, in whatever parts it arrives."""

    __slots__ = ("ended", "lines", "tail")

    def __init__(self) -> None:
        self.lines = 0
        self.tail = b""  # the last bytes, which may be the begin of the head's end
        self.ended = False

    @property
    def count(self) -> int:
        """How many header fields there have been."""
        return max(0, self.lines - 2) if self.ended else self.lines

    def add(self, data: bytes) -> None:
        """Counts the lines of a further part, up to the end of the head."""
        if self.ended:
            return
        part = self.tail + data
        end = HEAD_END.search(part)
        self.lines += part.count(b"\n", 0, len(part) if end is None else end.end()) - self.tail.count(b"\n")
        self.ended = end is not None
        self.tail = part[-LONGEST_END:]
