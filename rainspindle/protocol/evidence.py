"""What a member tells of endpoints and keys in its cell `evidence`. No I/O.

A MessagePack array by msgspec: a version first, fields are only ever added at the end, unknown ones ignored.
"""

from __future__ import annotations

from hashlib import blake2b

import msgspec

from ..errors import Trouble

VERSION, CELL = 1, "evidence"
MOST_BYTES, MOST_OUT, MOST_KEYS, MOST_HELD = 900, 16, 12, 4  # of one cell


class UnreadableEvidence(Trouble):
    """What another member tells is none that this release reads."""

    remedy = "see that all members run a release that is beside this one"


class Out(msgspec.Struct, array_like=True, frozen=True):
    """An endpoint that the teller holds out, or has put back lately."""

    mark: int  # 64 bits of its id
    start: int  # milliseconds, as the list tells it; 0 where it does not
    tried: float  # seconds before the cell was written: its trip, or its last trial's begin or failure
    hard: bool = False  # nothing but failures came from it when it tripped
    served: float = -1.0  # seconds before: a trial was answered; -1 for none
    trying: bool = False  # the last trial's end is not known yet


class Told(msgspec.Struct, array_like=True, frozen=True):
    """The cell of one member."""

    version: int
    wall: float  # Unix time of the writing, by the teller's clock
    zone: int
    outs: int  # how many endpoints it holds out, told here or not
    out: list[Out] = []
    total: int = 0  # exchanges that `keys` are counted among; 0 where it tells no keys
    keys: list[tuple[int, int]] = []  # 64 bits of the busiest, and how many of `total`
    held: list[tuple[int, int]] = []  # marks, and how many forwards it has out there: the most


told_of = msgspec.msgpack.Decoder(Told)
encoder = msgspec.msgpack.Encoder()


def mark_of(text: str) -> int:
    """64 bits for an endpoint's id or a key, the same in each release."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def encode_told(told: Told) -> bytes:
    """Within MOST_BYTES: what is told least goes first."""
    value = encoder.encode(told)
    while len(value) > MOST_BYTES and (told.held or told.keys or told.out):
        told = msgspec.structs.replace(
            told, held=[], **({"keys": told.keys[:-2]} if told.keys else {"out": told.out[:-1]})
        )
        value = encoder.encode(told)
    return value


def decode_told(value: bytes) -> Told:
    """Raises UnreadableEvidence."""
    try:
        return told_of.decode(value)
    except msgspec.MsgspecError as fault:
        raise UnreadableEvidence(f"a member's word of endpoints: {fault}") from None
