"""Formats of the start report, which members publish in the register `keep`, and of the persisted record.

Both are MessagePack, encoded by msgspec. The report is an array that begins with a version, and new fields
are only appended to it; the record is a map whose unknown names are ignored. This module performs no I/O.
"""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Iterable
from typing import Any

import msgspec

from ..errors import Trouble

CELL, VERSION = "keep", 1
MARK = 6  # bytes of the digest that identifies one start of an endpoint
SLOW = struct.Struct(f">{MARK}sH")  # a digest and a time in milliseconds
MOST_OUT, MOST_SLOW = 70, 50  # together 820 of the 900 bytes that a register can hold


class UnreadableKept(Trouble):
    """A persisted record or a start report is not in a format that this release reads."""

    remedy = (
        "no action needed, the start uses less information; if this recurs, check which releases are running"
    )


class Word(msgspec.Struct, array_like=True, frozen=True):
    """A start report as encoded in the register."""

    version: int
    ready: int  # number of endpoints to which the reporting member may send
    out: bytes = b""  # digests of the endpoints that it has ejected because of failures of its own requests
    slow: bytes = b""  # digests and service times of endpoints that are much slower than most


class Told(msgspec.Struct, frozen=True):
    """A decoded start report."""

    ready: int
    out: tuple[bytes, ...]
    slow: dict[bytes, float]  # service time in seconds by digest


def mark(endpoint: str, started_ms: int) -> bytes:
    """Returns a digest that identifies one start of an endpoint and is the same at all members.

    `started_ms` is the start as Unix time in milliseconds, 0 if unknown.
    """
    return hashlib.blake2b(f"{endpoint}\0{started_ms}".encode(), digest_size=MARK).digest()


def encode(ready: int, out: Iterable[bytes], slow: Iterable[tuple[bytes, float]]) -> bytes:
    """Returns a start report; ejected and slow endpoints over the limits are left out."""
    ejected = list(out)[:MOST_OUT]
    slow_entries = [SLOW.pack(digest, min(int(seconds * 1000), 65535)) for digest, seconds in slow][
        :MOST_SLOW
    ]
    return msgspec.msgpack.encode(Word(VERSION, ready, b"".join(ejected), b"".join(slow_entries)))


def decode(raw: bytes) -> Told:
    """Decodes a start report. Raises UnreadableKept."""
    try:
        report = msgspec.msgpack.decode(raw, type=Word)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise UnreadableKept(f"start report cannot be decoded: {error}") from None
    if report.version < 1 or report.ready < 0 or len(report.out) % MARK or len(report.slow) % SLOW.size:
        raise UnreadableKept(
            f"start report is invalid: version {report.version}, {report.ready} ready endpoints, "
            f"{len(report.out)} and {len(report.slow)} bytes of entries"
        )
    return Told(
        report.ready,
        tuple(report.out[start : start + MARK] for start in range(0, len(report.out), MARK)),
        {digest: milliseconds / 1000 for digest, milliseconds in SLOW.iter_unpack(report.slow)},
    )


class OwnCell(msgspec.Struct, array_like=True, frozen=True):
    """A register of the member itself, as persisted."""

    name: str
    life: int  # the incarnation that wrote it
    sequence: int
    value: bytes


class Record(msgspec.Struct, frozen=True):
    """What one member persists. Times in learned state are ages at `wall`."""

    member: str
    fleet: str
    life: int  # incarnation of the writing process
    wall: float  # Unix time at which the record was written
    # Identifier of the machine boot, and seconds since then: setting the clock does not change these.
    boot: str = ""
    boot_at: float = 0.0
    cells: list[OwnCell] = []
    sides: dict[str, Any] = {}  # learned balancer state by traffic side
    started: dict[str, int] = {}  # listed start by endpoint, Unix time in milliseconds


def encode_record(record: Record) -> bytes:
    """Encodes a record; equal records give equal bytes."""
    return msgspec.msgpack.encode(record, order="deterministic")


def decode_record(raw: bytes) -> Record:
    """Decodes a record. Raises UnreadableKept."""
    try:
        return msgspec.msgpack.decode(raw, type=Record)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise UnreadableKept(f"persisted record cannot be decoded: {error}") from None
