"""What a member tells those that start, in the cell `keep`, and the record that outlasts a process. No I/O.

MessagePack by msgspec: the cell an array with a version first, fields only ever added at its end; the record
a map, of which unknown names are ignored.
"""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Iterable
from typing import Any

import msgspec

from ..errors import Trouble

CELL, VERSION = "keep", 1
MARK = 6  # bytes that name an endpoint's start
SLOW = struct.Struct(f">{MARK}sH")  # and milliseconds
MOST_OUT, MOST_SLOW = 70, 50  # 820 of the 900 bytes that a cell holds


class UnreadableKept(Trouble):
    """What was kept, or told for a start, is none that this release reads."""

    remedy = "nothing need be done, it starts with less known; if it comes again, see which releases run"


class Word(msgspec.Struct, array_like=True, frozen=True):
    version: int
    ready: int  # endpoints that the teller may send to
    out: bytes = b""  # marks of those that are out there, by its own failures
    slow: bytes = b""  # marks and times of those that take much longer than most


class Told(msgspec.Struct, frozen=True):
    """A word, taken apart."""

    ready: int
    out: tuple[bytes, ...]
    slow: dict[bytes, float]  # seconds


def mark(endpoint: str, started_ms: int) -> bytes:
    """Of an endpoint between two starts of it; the same at all members. `started_ms`: Unix time, 0 if
    unknown."""
    return hashlib.blake2b(f"{endpoint}\0{started_ms}".encode(), digest_size=MARK).digest()


def encode(ready: int, out: Iterable[bytes], slow: Iterable[tuple[bytes, float]]) -> bytes:
    marks = list(out)[:MOST_OUT]
    times = [SLOW.pack(m, min(int(seconds * 1000), 65535)) for m, seconds in slow][:MOST_SLOW]
    return msgspec.msgpack.encode(Word(VERSION, ready, b"".join(marks), b"".join(times)))


def decode(raw: bytes) -> Told:
    """Raises UnreadableKept."""
    try:
        word = msgspec.msgpack.decode(raw, type=Word)
    except (msgspec.MsgspecError, RecursionError) as fault:
        raise UnreadableKept(f"no word for a start: {fault}") from None
    if word.version < 1 or word.ready < 0 or len(word.out) % MARK or len(word.slow) % SLOW.size:
        raise UnreadableKept("no word for a start: cut")
    return Told(
        word.ready,
        tuple(word.out[n : n + MARK] for n in range(0, len(word.out), MARK)),
        {m: ms / 1000 for m, ms in SLOW.iter_unpack(word.slow)},
    )


class OwnCell(msgspec.Struct, array_like=True, frozen=True):
    name: str
    life: int
    sequence: int
    value: bytes


class Record(msgspec.Struct, frozen=True):
    """What one member keeps. Times of what was learnt are ages at `wall`."""

    member: str
    fleet: str
    life: int
    wall: float  # Unix time of its writing
    boot: str = ""  # which start of the machine, and how long after that: no clock that is set moves these
    boot_at: float = 0.0
    cells: list[OwnCell] = []
    sides: dict[str, Any] = {}  # by side of the core: what its module learnt
    started: dict[str, int] = {}  # by endpoint: Unix milliseconds of its start as listed


def encode_record(record: Record) -> bytes:
    return msgspec.msgpack.encode(record, order="deterministic")


def decode_record(raw: bytes) -> Record:
    """Raises UnreadableKept."""
    try:
        return msgspec.msgpack.decode(raw, type=Record)
    except (msgspec.MsgspecError, RecursionError) as fault:
        raise UnreadableKept(f"no record: {fault}") from None
