"""Codec for the register `evidence`, in which a member reports endpoints and keys. Does no I/O.

The value is a MessagePack array (msgspec) that begins with a version. Fields are only ever added at the end,
and unknown fields are ignored.
"""

from __future__ import annotations

from hashlib import blake2b

import msgspec

from ..errors import Trouble

VERSION, CELL = 1, "evidence"
MAX_BYTES, MAX_ENDPOINTS, MAX_KEYS, MAX_HELD = 900, 16, 12, 4  # limits of one register


class UnreadableEvidence(Trouble):
    """A register of another member cannot be decoded by this release."""

    remedy = "make sure that all members run this release or an adjacent one"


class Out(msgspec.Struct, array_like=True, frozen=True):
    """An endpoint that the reporter has ejected or recently readmitted."""

    mark: int  # 64-bit hash of its id
    start: int  # milliseconds of Unix time by the list; 0 if the list has none
    tried: float  # seconds before the write: its ejection, or the begin or failure of the last trial
    hard: bool = False  # nothing but failures came from it before its ejection
    served: float = -1.0  # seconds before the write: when a trial was answered; -1 if none was
    trying: bool = False  # the result of the last trial is not known yet


class Told(msgspec.Struct, array_like=True, frozen=True):
    """The register of one member."""

    version: int
    wall: float  # Unix time of the write, by the reporter's clock
    zone: int
    outs: int  # number of endpoints it has ejected, whether `out` has them or not
    out: list[Out] = []
    total: int = 0  # requests that `keys` are counted among; 0 if it reports no keys
    keys: list[tuple[int, int]] = []  # 64-bit hashes of the busiest keys, and their counts within `total`
    # Endpoints' marks and the reporter's attempts in flight there, the largest numbers
    held: list[tuple[int, int]] = []


decoder = msgspec.msgpack.Decoder(Told)
encoder = msgspec.msgpack.Encoder()


def mark_of(text: str) -> int:
    """Returns a 64-bit hash of an endpoint's id or of a key, the same in all releases."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def encode_told(told: Told) -> bytes:
    """Encodes a report in at most MOST_BYTES; the least important entries are dropped first."""
    value = encoder.encode(told)
    while len(value) > MAX_BYTES and (told.held or told.keys or told.out):
        told = msgspec.structs.replace(
            told, held=[], **({"keys": told.keys[:-2]} if told.keys else {"out": told.out[:-1]})
        )
        value = encoder.encode(told)
    return value


def decode_told(value: bytes) -> Told:
    """Decodes a report. Raises UnreadableEvidence."""
    try:
        return decoder.decode(value)
    except msgspec.MsgspecError as fault:
        raise UnreadableEvidence(f"evidence register cannot be decoded: {fault}") from None
