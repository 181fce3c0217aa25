"""What members tell each other of the endpoint list, in shared cells. No I/O.

MessagePack arrays by msgspec: a version first, fields are only ever added at the end, unknown ones ignored.
A list is held as its lines by id, each in the bytes that all members make of it alike; so its digest is the
same wherever the same list is.
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
MOST_CHUNKS, CHUNK = 256, 850  # cells that one member writes of a whole list, and bytes in each
MOST_LINE = 400  # bytes of one line
MOST_DELTA = 560  # bytes of changes in a head
MOST_PAST = 6  # earlier versions that a head names
MARK = 12  # bytes of a digest
NEVER = 2**31 - 1  # milliseconds that are more than can be told
STATES = {EndpointStatus.READY: "r", EndpointStatus.DRAINING: "d"}
READ = {text: state for state, text in STATES.items()}

Lines = Mapping[str, bytes]  # by id; b"" for one that is gone
Mark = Annotated[bytes, msgspec.Meta(max_length=MARK)]
Id = Annotated[str, msgspec.Meta(max_length=MOST_LINE)]
Text = Annotated[bytes, msgspec.Meta(max_length=MOST_LINE)]
T = TypeVar("T")


class UnreadableList(Trouble):
    """What another member tells of the list is nothing that this release reads."""

    remedy = "see that all members run a release that is beside this one"


class TooLarge(Trouble):
    """A list that cannot be told on in cells."""

    remedy = "leave `[list]` out of the fleet file, each sidecar asks for itself as without it"


class Head(msgspec.Struct, array_like=True, frozen=True):
    """`list/HEAD`: what one that asks the service was last told."""

    form: int
    at: Mark  # which service, and in which terms
    run: int  # of its process
    beat: int  # grows with each head of a run
    version: int
    digest: Mark
    age: int  # milliseconds before this beat when the service last said so; NEVER where it has not
    failing: bool = False  # its last call failed
    past: Annotated[list[tuple[int, Mark]], msgspec.Meta(max_length=64)] = []
    since: int = 0  # `delta` has all that changed after this version
    delta: Annotated[list[tuple[Id, Text]], msgspec.Meta(max_length=256)] = []


class Set(msgspec.Struct, array_like=True, frozen=True):
    """`list/SET`: which whole list the chunks `list/0`, `list/1` ... of this member are."""

    form: int
    at: Mark
    version: int
    digest: Mark
    chunks: int


class Chunk(msgspec.Struct, array_like=True, frozen=True):
    form: int
    chunks: int
    lines: Annotated[list[tuple[Id, Text]], msgspec.Meta(max_length=256)]


class Line(msgspec.Struct, array_like=True, frozen=True):
    address: str  # "" where the list has none
    cell: int
    zone: int
    share: float
    state: str
    started: float | None  # Unix seconds
    kind: int = 0


def encode(word: Head | Set | Chunk) -> bytes:
    return msgspec.msgpack.encode(word)


def decode(value: bytes, kind: type[T]) -> T:
    """Raises UnreadableList."""
    try:
        word = msgspec.msgpack.decode(value, type=kind)
    except (msgspec.DecodeError, OverflowError, RecursionError) as fault:
        raise UnreadableList(f"a {kind.__name__.lower()} of the list: {fault}") from None
    if getattr(word, "form", VERSION) < VERSION:
        raise UnreadableList(f"a {kind.__name__.lower()} of the list in form {getattr(word, 'form', 0)}")
    return word


# Lines.


def encode_line(line: ListedEndpoint, address: Address | None, clock_offset: float) -> bytes:
    """Raises TooLarge. `clock_offset`: what is added to Unix time for the clock of `line.started`."""
    started = None if line.started_at is None else line.started_at - clock_offset
    if started is not None and abs(started - round(started, 3)) < 1e-5:
        started = round(started, 3)  # as the service told it, whatever the offset took from its last bits
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
        raise TooLarge(f"the line of {line.id!r:.40} has over {MOST_LINE} bytes")
    return data


def decode_line(id: str, data: bytes, clock_offset: float) -> tuple[ListedEndpoint, Address | None]:
    """Raises UnreadableList."""
    line = decode(data, Line)
    try:
        if not math.isfinite(line.share) or not math.isfinite(line.started or 0.0):
            raise ValueError(f"{line.share} or {line.started} is no number")
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
        raise UnreadableList(f"a line of the list: {fault}") from None


def usable(lines: Lines) -> int:
    """How many of them may get exchanges; none that cannot be read."""
    count = 0
    for data in lines.values():
        with contextlib.suppress(UnreadableList):
            count += decode(data, Line).state == STATES[EndpointStatus.READY]
    return count


# Whole lists.


def mark(*parts: object) -> bytes:
    return hashlib.blake2b(repr(parts).encode(), digest_size=MARK).digest()


def digest(lines: Lines) -> bytes:
    """Of a list, the same wherever it is held."""
    found = hashlib.blake2b(digest_size=MARK)
    for id in sorted(lines):
        found.update(id.encode() + b"\0%d:" % len(lines[id]) + lines[id])
    return found.digest()


def split(lines: Lines) -> list[bytes]:
    """The chunks of a list: as few as fit, a power of two, each line by the hash of its id, so that a change
    is in one of them. Raises TooLarge."""
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
            raise TooLarge(f"a list of {len(lines)} lines needs over {MOST_CHUNKS} cells")
    parts: list[list[tuple[str, bytes]]] = [[] for _ in range(count)]
    for id in sorted(lines):
        parts[places[id] % count].append((id, lines[id]))
    return [encode(Chunk(VERSION, count, part)) for part in parts]


def joined(told: Set, chunks: Sequence[bytes]) -> dict[str, bytes] | None:
    """The list that the chunks are, None where its digest is not the told one. Raises UnreadableList."""
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
    """The list after these changes."""
    new = {**lines, **dict(delta)}
    return {id: data for id, data in new.items() if data}


def chunk_name(number: int) -> str:
    return f"list/{number}"
