"""Logging as key=value lines on standard error."""

from __future__ import annotations

import logging
import sys


def quoted(value: object) -> str:
    r"""Returns the text of a value in a log line, quoted and escaped where it is not a single plain word.

    >>> print(quoted("e7"), quoted('it said "no"\n'))
    e7 "it said \"no\"\n"
    """
    text = str(value)
    if text and not any(character in ' "=\n\r' for character in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'


class KeyValueFormatter(logging.Formatter):
    """Formats a record as time=... level=... part=... event="...", followed by `extra={"fields": {...}}`."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the log line of a record, without a newline."""
        pairs: dict[str, object] = {
            "time": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "part": record.name.rpartition(".")[2],
            "event": record.getMessage(),
        }
        pairs.update(getattr(record, "fields", {}))
        return " ".join(f"{key}={quoted(value)}" for key, value in pairs.items())


def set_up(level: str) -> None:
    """Sends all log records from `level` on to standard error, in place of any earlier handlers."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    logging.raiseExceptions = False  # a failed log write must not disturb the service
