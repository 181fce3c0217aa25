"""What members tell one another: one MessagePack map a datagram, 1,200 bytes at most. No I/O.

Each message names its fleet, its sender and its sender's life, and carries the release's VERSION with the
lowest version that can read it. Keys that a reader does not know, further items at the end of a list, and
kinds that it does not know are ignored, so that two releases can stand side by side.
"""

from __future__ import annotations

import functools
import socket
import struct
from typing import Annotated

import msgspec

from ..errors import Trouble
from ..transport.address import Address

VERSION, LOWEST = 1, 1  # of this release; the lowest version of a reader that its messages can be read by
MOST = 1200  # bytes of a datagram, so that it crosses any usual line in one piece
MOST_NAME, MOST_CELL_NAME, MOST_VALUE, MOST_WORD = 100, 100, 900, 256
ROOM = 48  # bytes kept for what stands around the lists
MARKS, CELL_MARKS, MARK = 64, 64, 4  # sums over members; over one owner's cells (cells.PARTS); bytes of each

# Kinds of message.
PING, ACK, NACK, ASK, STATE, STATES, NEWS, WORD, TWIN = range(1, 10)
# Standings as they travel; of two with one life and incarnation the higher holds.
ALIVE, SUSPECT, DEAD, LEFT = range(4)

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MOST_NAME)]
Life = Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
Small = Annotated[int, msgspec.Meta(ge=0, lt=2**31)]
Packed = Annotated[bytes, msgspec.Meta(min_length=6, max_length=18)]  # an address


class Unreadable(Trouble, ValueError):
    """A datagram that is none of ours, or is cut or damaged."""

    remedy = "look for what else sends to this address; members listen on a port of their own"


class OtherRelease(Unreadable):
    """From a release whose messages this one cannot read."""

    remedy = "bring this sidecar to the release of the others"


class OtherFleet(Unreadable):
    """From a fleet of another name."""

    remedy = "see that the fleets have seeds and addresses of their own, or one name in `members.fleet`"


class News(msgspec.Struct, array_like=True, frozen=True):
    """What is told of one member."""

    name: Name
    address: Packed
    life: Life
    incarnation: Small
    standing: Annotated[int, msgspec.Meta(ge=ALIVE, le=LEFT)]
    by: Annotated[str, msgspec.Meta(max_length=MOST_NAME)] = ""  # of a suspicion: who has it
    age: Small = 0  # of the dead and those who left: whole seconds for which they are


class CellNews(msgspec.Struct, array_like=True, frozen=True):
    """One cell, and the milliseconds since its owner is known to have held it."""

    owner: Name
    name: Annotated[str, msgspec.Meta(max_length=MOST_CELL_NAME)]
    life: Life
    sequence: Life
    value: Annotated[bytes, msgspec.Meta(max_length=MOST_VALUE)]
    age: Small = 0


class Sum(msgspec.Struct, array_like=True, frozen=True):
    """All cells of one owner in eight bytes, and the milliseconds since it is known to have had them."""

    owner: Name
    life: Life
    sum: Annotated[bytes, msgspec.Meta(min_length=8, max_length=8)]
    age: Small


class Want(msgspec.Struct, array_like=True, frozen=True):
    """The sender's cells of one owner in CELL_MARKS parts: it wants those where the reader has others."""

    owner: Name
    marks: Annotated[bytes, msgspec.Meta(max_length=CELL_MARKS * MARK)]


class Head(msgspec.Struct, rename={"version": "v", "lowest": "r", "fleet": "f"}):
    version: Small
    lowest: Small
    fleet: Annotated[str, msgspec.Meta(max_length=MOST_NAME)]


KEYS = {
    "version": "v",
    "lowest": "r",
    "fleet": "f",
    "sender": "n",
    "life": "l",
    "incarnation": "i",
    "address": "a",
    "number": "q",
    "kind": "k",
    "echo": "e",
    "target": "t",
    "at": "ta",
    "members": "m",
    "cells": "c",
    "sums": "s",
    "wants": "x",
    "marks": "b",
    "word": "w",
}


class Message(msgspec.Struct, rename=KEYS, omit_defaults=True):
    """One datagram as it is read."""

    version: Small
    lowest: Small
    fleet: Annotated[str, msgspec.Meta(max_length=MOST_NAME)]
    sender: Name
    life: Life
    incarnation: Small
    address: Packed  # where the sender hears the others
    number: Life  # grows with each datagram of a life
    kind: Small
    echo: Life = 0  # of an answer: the number of what it answers
    target: Annotated[str, msgspec.Meta(max_length=MOST_NAME)] = ""  # whom a ping is for, or is to be sent to
    at: Annotated[bytes, msgspec.Meta(max_length=18)] = b""  # the target's address, where it is to be sent on
    members: Annotated[list[News], msgspec.Meta(max_length=100)] = []
    cells: Annotated[list[CellNews], msgspec.Meta(max_length=100)] = []
    sums: Annotated[list[Sum], msgspec.Meta(max_length=100)] = []
    wants: Annotated[list[Want], msgspec.Meta(max_length=16)] = []
    marks: Annotated[bytes, msgspec.Meta(max_length=MARKS * MARK)] = b""
    word: Annotated[str, msgspec.Meta(max_length=MOST_WORD)] = ""


class Draft(msgspec.Struct, rename=KEYS, omit_defaults=True):
    """One datagram as it is written: what its lists hold is encoded already, so that its size is known."""

    version: int
    lowest: int
    fleet: str
    sender: str
    life: int
    incarnation: int
    address: bytes
    number: int
    kind: int
    echo: int = 0
    target: str = ""
    at: bytes = b""
    members: list[msgspec.Raw] = []
    cells: list[msgspec.Raw] = []
    sums: list[msgspec.Raw] = []
    wants: list[msgspec.Raw] = []
    marks: bytes = b""
    word: str = ""


encode_one = msgspec.msgpack.Encoder().encode
decode_message = msgspec.msgpack.Decoder(Message).decode
decode_head = msgspec.msgpack.Decoder(Head).decode


def raw(piece: News | CellNews | Sum | Want) -> msgspec.Raw:
    return msgspec.Raw(encode_one(piece))


def encode(draft: Draft) -> bytes:
    return encode_one(draft)


def decode(data: bytes, fleet: str) -> Message:
    """Raises Unreadable, or one of its kinds."""
    if len(data) > MOST:
        raise Unreadable(f"a datagram of over {MOST} bytes")
    try:
        message = decode_message(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as fault:
        raise why(data, fleet, str(fault)) from None
    if message.lowest > VERSION or message.fleet != fleet:
        raise why(data, fleet, "")
    if not (
        is_address(message.address)
        and all(is_address(news.address) for news in message.members)
        and (not message.at or is_address(message.at))
    ):
        raise Unreadable("an address that is none")
    return message


def why(data: bytes, fleet: str, fault: str) -> Unreadable:
    """The reason, as far as the message's head can be read."""
    try:
        head = decode_head(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return Unreadable(f"not a member's message: {fault}")
    if head.lowest > VERSION:
        return OtherRelease(f"a message of version {head.version}, for readers of {head.lowest} on")
    if head.fleet != fleet:
        return OtherFleet(f"a message of fleet {head.fleet!r}")
    return Unreadable(f"not a member's message: {fault}")


def is_address(packed: bytes) -> bool:
    return len(packed) in (6, 18) and packed[-2:] != b"\0\0"


@functools.lru_cache(8192)
def pack_address(address: Address) -> bytes:
    """Raises OSError where the host is not numeric."""
    host, port = address
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.inet_pton(family, host) + struct.pack(">H", port)


@functools.lru_cache(8192)
def unpack_address(packed: bytes) -> Address:
    family = socket.AF_INET if len(packed) == 6 else socket.AF_INET6
    return socket.inet_ntop(family, packed[:-2]), int.from_bytes(packed[-2:], "big")
