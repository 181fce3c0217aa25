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
# Maximum registers that one member writes for a whole list, and maximum bytes in each.
MAX_CHUNKS, MAX_CHUNK_BYTES = 256, 850
MAX_LINE_BYTES = 400
MAX_DELTA_BYTES = 560  # of all changes in a head
MAX_PAST_VERSIONS = 6  # earlier versions that a head names
DIGEST_BYTES = 12
NEVER = 2**31 - 1  # milliseconds; stands for an age that is unknown or too large
STATE_CODES = {EndpointStatus.READY: "r", EndpointStatus.DRAINING: "d"}
STATUS_BY_CODE = {code: status for status, code in STATE_CODES.items()}

Lines = Mapping[str, bytes]  # encoded lines by endpoint id; b"" for an endpoint that is gone
Digest = Annotated[bytes, msgspec.Meta(max_length=DIGEST_BYTES)]
EndpointId = Annotated[str, msgspec.Meta(max_length=MAX_LINE_BYTES)]
LineBytes = Annotated[bytes, msgspec.Meta(max_length=MAX_LINE_BYTES)]
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
    at: Digest  # identifies the service and the settings by which its lines are read
    run: int  # identifies the process
    beat: int  # increases with each head of a run
    version: int
    digest: Digest
    # Milliseconds from the service's last answer with this version to this head; NEVER if there was none
    age: int
    failing: bool = False  # whether its last calls failed
    past: Annotated[list[tuple[int, Digest]], msgspec.Meta(max_length=64)] = []
    since: int = 0  # `delta` holds all changes after this version
    delta: Annotated[list[tuple[EndpointId, LineBytes]], msgspec.Meta(max_length=256)] = []


class Set(msgspec.Struct, array_like=True, frozen=True):
    """Value of `list/SET`: the whole list that this member's chunks `list/0`, `list/1` ... make up."""

    form: int
    at: Digest
    version: int
    digest: Digest
    chunks: int


class Chunk(msgspec.Struct, array_like=True, frozen=True):
    """Value of `list/0`, `list/1` ...: a part of a whole list."""

    form: int
    chunks: int
    lines: Annotated[list[tuple[EndpointId, LineBytes]], msgspec.Meta(max_length=256)]


class Line(msgspec.Struct, array_like=True, frozen=True):
    """One endpoint of the list."""

    address: str  # "" if the list has none
    cell: int
    zone: int
    share: float
    state: str
    started: float | None  # Unix seconds
    kind: int = 0


def encode(value: Head | Set | Chunk) -> bytes:
    """Encodes a register's value."""
    return msgspec.msgpack.encode(value)


def decode(value: bytes, kind: type[T]) -> T:
    """Decodes a register's value. Raises UnreadableList."""
    try:
        decoded = msgspec.msgpack.decode(value, type=kind)
    except (msgspec.DecodeError, OverflowError, RecursionError) as fault:
        raise UnreadableList(f"list {kind.__name__.lower()} cannot be decoded: {fault}") from None
    if getattr(decoded, "form", VERSION) < VERSION:
        raise UnreadableList(
            f"list {kind.__name__.lower()}: format {getattr(decoded, 'form', 0)}; expected {VERSION} or later"
        )
    return decoded


# Lines.


def encode_line(line: ListedEndpoint, address: Address | None, clock_offset: float) -> bytes:
    """Encodes an endpoint. Raises TooLarge.

    `clock_offset` is what was added to Unix time to give the clock of `line.started_at`.
    """
    started = None if line.started_at is None else line.started_at - clock_offset
    if started is not None and abs(started - round(started, 3)) < 1e-5:
        # As the service reported it: subtracting the offset changes its last digits
        started = round(started, 3)
    data = msgspec.msgpack.encode(
        Line(
            address_text(address) if address else "",
            line.cell,
            line.zone,
            line.weight,
            STATE_CODES[line.status],
            started,
            line.machine_kind,
        )
    )
    if len(data) + len(line.id.encode()) > MAX_LINE_BYTES:
        raise TooLarge(f"list line of endpoint {line.id!r:.40} exceeds {MAX_LINE_BYTES} bytes")
    return data


def decode_line(endpoint_id: str, data: bytes, clock_offset: float) -> tuple[ListedEndpoint, Address | None]:
    """Decodes an endpoint; see `encode_line` for the offset. Raises UnreadableList."""
    line = decode(data, Line)
    try:
        if not math.isfinite(line.share) or not math.isfinite(line.started or 0.0):
            raise ValueError(f"share {line.share} and start {line.started} must be finite")
        return ListedEndpoint(
            endpoint_id,
            line.cell,
            line.zone,
            line.share,
            STATUS_BY_CODE[line.state],
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
            count += decode(data, Line).state == STATE_CODES[EndpointStatus.READY]
    return count


# Whole lists.


def mark(*parts: object) -> bytes:
    """Returns a digest that identifies these values."""
    return hashlib.blake2b(repr(parts).encode(), digest_size=DIGEST_BYTES).digest()


def digest(lines: Lines) -> bytes:
    """Returns the digest of a list, the same at all members."""
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for endpoint_id in sorted(lines):
        hasher.update(endpoint_id.encode() + b"\0%d:" % len(lines[endpoint_id]) + lines[endpoint_id])
    return hasher.digest()


def split_chunks(lines: Lines) -> list[bytes]:
    """Encodes a list in chunks. Raises TooLarge.

    Their number is the smallest power of two that fits. Each line's chunk is chosen by the hash of its id, so
    that a change affects one chunk only.
    """
    line_hashes = {endpoint_id: zlib.crc32(endpoint_id.encode()) for endpoint_id in lines}
    line_sizes = {
        endpoint_id: len(data) + len(endpoint_id.encode()) + 9 for endpoint_id, data in lines.items()
    }
    count = 1
    while True:
        sizes = [16] * count
        for endpoint_id, line_hash in line_hashes.items():
            sizes[line_hash % count] += line_sizes[endpoint_id]
        if max(sizes) <= MAX_CHUNK_BYTES:
            break
        count *= 2
        if count > MAX_CHUNKS:
            raise TooLarge(f"list of {len(lines)} lines needs over {MAX_CHUNKS} registers")
    parts: list[list[tuple[str, bytes]]] = [[] for _ in range(count)]
    for endpoint_id in sorted(lines):
        parts[line_hashes[endpoint_id] % count].append((endpoint_id, lines[endpoint_id]))
    return [encode(Chunk(VERSION, count, part)) for part in parts]


def join_chunks(told: Set, chunks: Sequence[bytes]) -> dict[str, bytes] | None:
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


def apply_delta(lines: Lines, delta: Sequence[tuple[str, bytes]]) -> dict[str, bytes]:
    """Returns the list after these changes."""
    updated = {**lines, **dict(delta)}
    return {endpoint_id: data for endpoint_id, data in updated.items() if data}


def chunk_name(number: int) -> str:
    """Returns the register's name of a chunk."""
    return f"list/{number}"
