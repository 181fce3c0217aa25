"""Codec for the endpoint list that members share in registers. Does no I/O.

Values are MessagePack arrays (msgspec) that begin with a version. Fields are only ever added at the end, and
unknown fields are ignored. A list is held as lines by endpoint id, each encoded to the same bytes by all
members, so that equal lists have equal digests everywhere.
"""

from __future__ import annotations

import contextlib
import hashlib
import math
import zlib
from collections.abc import Mapping, Sequence
from typing import Annotated, TypeVar

import msgspec

from ..balancer.host import EndpointStatus, ListedEndpoint
from ..errors import Trouble
from ..transport.address import Address, address_text, parse_address

VERSION = 1
HEAD, SET = "list/HEAD", "list/SET"
MOST_CHUNKS, CHUNK = 256, 850  # maximum registers that one member writes for a whole list, and bytes in each
MOST_LINE = 400  # maximum bytes of one line
MOST_DELTA = 560  # maximum bytes of changes in a head
MOST_PAST = 6  # maximum earlier versions that a head names
MARK = 12  # bytes of a digest
NEVER = 2**31 - 1  # milliseconds; stands for an age that is unknown or too large
STATES = {EndpointStatus.READY: "r", EndpointStatus.DRAINING: "d"}
READ = {text: state for state, text in STATES.items()}

Lines = Mapping[str, bytes]  # encoded lines by endpoint id; b"" for an endpoint that is gone
Mark = Annotated[bytes, msgspec.Meta(max_length=MARK)]
Id = Annotated[str, msgspec.Meta(max_length=MOST_LINE)]
Text = Annotated[bytes, msgspec.Meta(max_length=MOST_LINE)]
T = TypeVar("T")


class UnreadableList(Trouble):
    """A register of another member cannot be decoded by this release."""

    remedy = "make sure that all members run this release or an adjacent one"


class TooLarge(Trouble):
    """A list does not fit into registers."""

    remedy = "remove `[list]` from the fleet file; each sidecar then polls the list service for itself"


class Head(msgspec.Struct, array_like=True, frozen=True):
    """Value of `list/HEAD`: what a member that polls the service last received."""

    form: int
    at: Mark  # identifies the service and the settings by which its lines are read
    run: int  # identifies the process
    beat: int  # increases with each head of a run
    version: int
    digest: Mark
    # milliseconds from the service's last answer with this version to this head; NEVER if there was none
    age: int
    failing: bool = False  # whether its last calls failed
    past: Annotated[list[tuple[int, Mark]], msgspec.Meta(max_length=64)] = []
    since: int = 0  # `delta` holds all changes after this version
    delta: Annotated[list[tuple[Id, Text]], msgspec.Meta(max_length=256)] = []


class Set(msgspec.Struct, array_like=True, frozen=True):
    """Value of `list/SET`: the whole list that this member's chunks `list/0`, `list/1` ... make up."""

    form: int
    at: Mark
    version: int
    digest: Mark
    chunks: int


class Chunk(msgspec.Struct, array_like=True, frozen=True):
    """Value of `list/0`, `list/1` ...: a part of a whole list."""

    form: int
    chunks: int
    lines: Annotated[list[tuple[Id, Text]], msgspec.Meta(max_length=256)]


class Line(msgspec.Struct, array_like=True, frozen=True):
    """One endpoint of the list."""

    address: str  # "" if the list has none
    cell: int
    zone: int
    share: float
    state: str
    started: float | None  # Unix seconds
    kind: int = 0


def encode(word: Head | Set | Chunk) -> bytes:
    """Encodes a register's value."""
    return msgspec.msgpack.encode(word)


def decode(value: bytes, kind: type[T]) -> T:
    """Decodes a register's value. Raises UnreadableList."""
    try:
        word = msgspec.msgpack.decode(value, type=kind)
    except (msgspec.DecodeError, OverflowError, RecursionError) as fault:
        raise UnreadableList(f"list {kind.__name__.lower()} cannot be decoded: {fault}") from None
    if getattr(word, "form", VERSION) < VERSION:
        raise UnreadableList(
            f"list {kind.__name__.lower()} has format {getattr(word, 'form', 0)}; expected {VERSION} or later"
        )
    return word


# Lines.


def encode_line(line: ListedEndpoint, address: Address | None, clock_offset: float) -> bytes:
    """Encodes an endpoint. Raises TooLarge.

    `clock_offset` is what was added to Unix time to give the clock of `line.started_at`.
    """
    started = None if line.started_at is None else line.started_at - clock_offset
    if started is not None and abs(started - round(started, 3)) < 1e-5:
        # as the service reported it: subtracting the offset changes its last digits
        started = round(started, 3)
    data = msgspec.msgpack.encode(
        Line(
            address_text(address) if address else "",
            line.cell,
            line.zone,
            line.weight,
            STATES[line.status],
            started,
            line.machine_kind,
        )
    )
    if len(data) + len(line.id.encode()) > MOST_LINE:
        raise TooLarge(f"list line of endpoint {line.id!r:.40} exceeds {MOST_LINE} bytes")
    return data


def decode_line(id: str, data: bytes, clock_offset: float) -> tuple[ListedEndpoint, Address | None]:
    """Decodes an endpoint; see `encode_line` for the offset. Raises UnreadableList."""
    line = decode(data, Line)
    try:
        if not math.isfinite(line.share) or not math.isfinite(line.started or 0.0):
            raise ValueError(f"share {line.share} and start {line.started} must be finite")
        return ListedEndpoint(
            id,
            line.cell,
            line.zone,
            line.share,
            READ[line.state],
            None if line.started is None else line.started + clock_offset,
            line.kind,
        ), parse_address(line.address) if line.address else None
    except (KeyError, ValueError) as fault:
        raise UnreadableList(f"list line cannot be decoded: {fault}") from None


def usable(lines: Lines) -> int:
    """Returns how many endpoints may receive requests; lines that cannot be decoded do not count."""
    count = 0
    for data in lines.values():
        with contextlib.suppress(UnreadableList):
            count += decode(data, Line).state == STATES[EndpointStatus.READY]
    return count


# Whole lists.


def mark(*parts: object) -> bytes:
    """Returns a digest that identifies these values."""
    return hashlib.blake2b(repr(parts).encode(), digest_size=MARK).digest()


def digest(lines: Lines) -> bytes:
    """Returns the digest of a list, the same at all members."""
    found = hashlib.blake2b(digest_size=MARK)
    for id in sorted(lines):
        found.update(id.encode() + b"\0%d:" % len(lines[id]) + lines[id])
    return found.digest()


def split(lines: Lines) -> list[bytes]:
    """Encodes a list in chunks. Raises TooLarge.

    Their number is the smallest power of two that fits. Each line's chunk is chosen by the hash of its id, so
    that a change affects one chunk only.
    """
    places = {id: zlib.crc32(id.encode()) for id in lines}
    needs = {id: len(data) + len(id.encode()) + 9 for id, data in lines.items()}
    count = 1
    while True:
        sizes = [16] * count
        for id, place in places.items():
            sizes[place % count] += needs[id]
        if max(sizes) <= CHUNK:
            break
        count *= 2
        if count > MOST_CHUNKS:
            raise TooLarge(f"list of {len(lines)} lines needs over {MOST_CHUNKS} registers")
    parts: list[list[tuple[str, bytes]]] = [[] for _ in range(count)]
    for id in sorted(lines):
        parts[places[id] % count].append((id, lines[id]))
    return [encode(Chunk(VERSION, count, part)) for part in parts]


def joined(told: Set, chunks: Sequence[bytes]) -> dict[str, bytes] | None:
    """Returns the list in these chunks, None if its digest is not the reported one. Raises UnreadableList."""
    lines: dict[str, bytes] = {}
    for value in chunks:
        if not value:
            return None
        chunk = decode(value, Chunk)
        if chunk.chunks != told.chunks:
            return None
        lines.update(chunk.lines)
    return lines if digest(lines) == told.digest else None


def changed(lines: Lines, delta: Sequence[tuple[str, bytes]]) -> dict[str, bytes]:
    """Returns the list after these changes."""
    new = {**lines, **dict(delta)}
    return {id: data for id, data in new.items() if data}


def chunk_name(number: int) -> str:
    """Returns the register's name of a chunk."""
    return f"list/{number}"
