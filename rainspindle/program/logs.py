"""Logging as key=value lines on standard error."""

from __future__ import annotations

import logging
import sys


def quoted(value: object) -> str:
    r"""As a value of a log line: between quotes where a reader could take it for more than one.

    >>> print(quoted("e7"), quoted('it said "no"\n'))
    e7 "it said \"no\"\n"
    """
    text = str(value)
    if text and not any(c in ' "=\n\r' for c in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'


class KeyValueFormatter(logging.Formatter):
    """time=... level=... part=... event="..." and whatever `extra={"fields": {...}}` adds."""

    def format(self, record: logging.LogRecord) -> str:
        pairs: dict[str, object] = {
            "time": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "part": record.name.rpartition(".")[2],
            "event": record.getMessage(),
        }
        pairs.update(getattr(record, "fields", {}))
        return " ".join(f"{key}={quoted(value)}" for key, value in pairs.items())


def set_up(level: str) -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    logging.raiseExceptions = False  # a log that cannot be written must not stop the service
