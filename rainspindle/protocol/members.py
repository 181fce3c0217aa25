"""What members tell one another: one MessagePack map a datagram, 1,200 bytes at most. No I/O.

Each message names its fleet, its sender and the sender's incarnation, and carries the release's VERSION with
the lowest version that can read it. Keys that a reader does not know, further items at the end of a list, and
kinds that it does not know are ignored, so that two releases can stand side by side. The keys on the wire are
single letters; KEYS maps the fields to them.
"""

from __future__ import annotations

import functools
import socket
import struct
from enum import IntEnum
from typing import Annotated

import msgspec

from ..errors import Trouble
from ..transport.address import Address

VERSION = 1  # of this release
LOWEST_READER = 1  # the lowest version of a reader that its messages can be read by
MAX_DATAGRAM = 1200  # bytes, so that it crosses any usual line in one piece
MAX_NAME = 100  # characters of a member's name
MAX_REGISTER_NAME = 100
MAX_REGISTER_VALUE = 900
MAX_LOAD_REPORT = 256
MAX_ITEMS = 100  # of a list
MAX_REQUESTS = 16
LIST_OVERHEAD = 48  # bytes kept for what stands around the lists
TABLE_PARTITIONS = 64  # digests over the members that one knows
REGISTER_PARTITIONS = 64  # digests over one owner's registers (registers.PARTITIONS)
DIGEST_BYTES = 4  # of each of them
IPV4_BYTES = 6  # of an address with its port
IPV6_BYTES = 18


class MessageKind(IntEnum):
    """What a message is for."""

    PING = 1
    ACK = 2
    NACK = 3  # a ping sent for another member was not answered
    PING_REQUEST = 4
    STATE = 5  # the sender's table digests; asks for what differs
    STATE_ANSWER = 6
    UPDATE = 7  # updates alone
    LOAD_REPORT = 8
    NAME_CONFLICT = 9


class Status(IntEnum):
    """A member's status on the wire; of two with one incarnation and refutation the higher holds."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME)]
Incarnation = Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
Small = Annotated[int, msgspec.Meta(ge=0, lt=2**31)]
PackedAddress = Annotated[bytes, msgspec.Meta(min_length=IPV4_BYTES, max_length=IPV6_BYTES)]


class UnreadableMessageError(Trouble, ValueError):
    """A datagram that is no member's, or is cut or damaged."""

    remedy = "look for what else sends to this address; members listen on a port of their own"


class IncompatibleReleaseError(UnreadableMessageError):
    """A message of a release that this one cannot read."""

    remedy = "bring this sidecar to the release of the others"


class ForeignFleetError(UnreadableMessageError):
    """A message of a fleet of another name."""

    remedy = "see that the fleets have seeds and addresses of their own, or one name in `members.fleet`"


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """What is told of one member.

    Attributes:
        name: The member.
        address: Where it hears the others.
        incarnation: Of its process; grows from start to start.
        refutation: Grows within an incarnation, by the member alone.
        status: As believed by the sender.
        suspected_by: Of a suspicion: who has it.
        age: Of the dead and those who left: whole seconds for which they are.
    """

    name: Name
    address: PackedAddress
    incarnation: Incarnation
    refutation: Small
    status: Annotated[int, msgspec.Meta(ge=int(Status.ALIVE), le=int(Status.LEFT))]
    suspected_by: Annotated[str, msgspec.Meta(max_length=MAX_NAME)] = ""
    age: Small = 0


class RegisterUpdate(msgspec.Struct, array_like=True, frozen=True):
    """One register, and the milliseconds since its owner is known to have held it."""

    owner: Name
    name: Annotated[str, msgspec.Meta(max_length=MAX_REGISTER_NAME)]
    incarnation: Incarnation
    sequence: Incarnation
    value: Annotated[bytes, msgspec.Meta(max_length=MAX_REGISTER_VALUE)]
    age: Small = 0


class RegisterDigest(msgspec.Struct, array_like=True, frozen=True):
    """All registers of one owner in eight bytes, and the milliseconds since it is known to have had them."""

    owner: Name
    incarnation: Incarnation
    digest: Annotated[bytes, msgspec.Meta(min_length=8, max_length=8)]
    age: Small


class RegisterRequest(msgspec.Struct, array_like=True, frozen=True):
    """The sender's digests of one owner's registers: it wants those where the reader has others."""

    owner: Name
    digests: Annotated[bytes, msgspec.Meta(max_length=REGISTER_PARTITIONS * DIGEST_BYTES)]


class Header(msgspec.Struct, rename={"version": "v", "lowest_reader": "r", "fleet": "f"}):
    """What is read of a message that cannot be read whole."""

    version: Small
    lowest_reader: Small
    fleet: Annotated[str, msgspec.Meta(max_length=MAX_NAME)]


KEYS = {
    "version": "v",
    "lowest_reader": "r",
    "fleet": "f",
    "sender": "n",
    "incarnation": "l",
    "refutation": "i",
    "address": "a",
    "number": "q",
    "kind": "k",
    "echo": "e",
    "target": "t",
    "target_address": "ta",
    "member_updates": "m",
    "register_updates": "c",
    "register_digests": "s",
    "register_requests": "x",
    "table_digests": "b",
    "load_report": "w",
}


class Message(msgspec.Struct, rename=KEYS, omit_defaults=True):
    """One datagram as it is read.

    Attributes:
        version: The sender's release.
        lowest_reader: The lowest version that can read it.
        fleet: The fleet's name.
        sender: The member's name.
        incarnation: Of its process.
        refutation: Its own, within the incarnation.
        address: Where the sender hears the others.
        number: Grows with each datagram of an incarnation.
        kind: A MessageKind, or one of a later release.
        echo: Of an answer: the number of what it answers.
        target: Whom a ping is for, or is to be sent to.
        target_address: The target's, where a ping is to be sent on.
        member_updates: News of members.
        register_updates: News of registers.
        register_digests: Of the registers of some owners.
        register_requests: For registers that the sender has otherwise.
        table_digests: Of all members that the sender knows.
        load_report: A message of the balancer.
    """

    version: Small
    lowest_reader: Small
    fleet: Annotated[str, msgspec.Meta(max_length=MAX_NAME)]
    sender: Name
    incarnation: Incarnation
    refutation: Small
    address: PackedAddress
    number: Incarnation
    kind: Small
    echo: Incarnation = 0
    target: Annotated[str, msgspec.Meta(max_length=MAX_NAME)] = ""
    target_address: Annotated[bytes, msgspec.Meta(max_length=IPV6_BYTES)] = b""
    member_updates: Annotated[list[MemberUpdate], msgspec.Meta(max_length=MAX_ITEMS)] = []
    register_updates: Annotated[list[RegisterUpdate], msgspec.Meta(max_length=MAX_ITEMS)] = []
    register_digests: Annotated[list[RegisterDigest], msgspec.Meta(max_length=MAX_ITEMS)] = []
    register_requests: Annotated[list[RegisterRequest], msgspec.Meta(max_length=MAX_REQUESTS)] = []
    table_digests: Annotated[bytes, msgspec.Meta(max_length=TABLE_PARTITIONS * DIGEST_BYTES)] = b""
    load_report: Annotated[str, msgspec.Meta(max_length=MAX_LOAD_REPORT)] = ""


class OutgoingMessage(msgspec.Struct, rename=KEYS, omit_defaults=True):
    """One datagram as it is written: what its lists hold is encoded already, so that its size is known.

    The fields are those of Message.
    """

    version: int
    lowest_reader: int
    fleet: str
    sender: str
    incarnation: int
    refutation: int
    address: bytes
    number: int
    kind: int
    echo: int = 0
    target: str = ""
    target_address: bytes = b""
    member_updates: list[msgspec.Raw] = []
    register_updates: list[msgspec.Raw] = []
    register_digests: list[msgspec.Raw] = []
    register_requests: list[msgspec.Raw] = []
    table_digests: bytes = b""
    load_report: str = ""


_encode = msgspec.msgpack.Encoder().encode
_decode_message = msgspec.msgpack.Decoder(Message).decode
_decode_header = msgspec.msgpack.Decoder(Header).decode


def raw(item: MemberUpdate | RegisterUpdate | RegisterDigest | RegisterRequest) -> msgspec.Raw:
    """Encodes an item of a list."""
    return msgspec.Raw(_encode(item))


def encode(message: OutgoingMessage | Message) -> bytes:
    """Encodes a message."""
    return _encode(message)


def decode(data: bytes, fleet: str) -> Message:
    """Decodes a datagram of `fleet`.

    Raises:
        UnreadableMessageError: It is no such message; a subclass tells why where that can be read.
    """
    if len(data) > MAX_DATAGRAM:
        raise UnreadableMessageError(f"a datagram of over {MAX_DATAGRAM} bytes")
    try:
        message = _decode_message(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as fault:
        raise _explain(data, fleet, str(fault)) from None
    if message.lowest_reader > VERSION or message.fleet != fleet:
        raise _explain(data, fleet, "")
    if not _has_valid_addresses(message):
        raise UnreadableMessageError("an address that is none")
    return message


@functools.lru_cache(8192)
def pack_address(address: Address) -> bytes:
    """Encodes an address.

    Raises:
        OSError: The host is not numeric.
    """
    host, port = address
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.inet_pton(family, host) + struct.pack(">H", port)


@functools.lru_cache(8192)
def unpack_address(packed: bytes) -> Address:
    """Decodes what `pack_address` has encoded."""
    family = socket.AF_INET if len(packed) == IPV4_BYTES else socket.AF_INET6
    return socket.inet_ntop(family, packed[:-2]), int.from_bytes(packed[-2:], "big")


def _explain(data: bytes, fleet: str, fault: str) -> UnreadableMessageError:
    """Returns the reason, as far as the message's header can be read."""
    try:
        header = _decode_header(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return UnreadableMessageError(f"not a member's message: {fault}")
    if header.lowest_reader > VERSION:
        return IncompatibleReleaseError(
            f"a message of version {header.version}, for readers of {header.lowest_reader} on"
        )
    if header.fleet != fleet:
        return ForeignFleetError(f"a message of fleet {header.fleet!r}")
    return UnreadableMessageError(f"not a member's message: {fault}")


def _has_valid_addresses(message: Message) -> bool:
    if message.target_address and not _is_address(message.target_address):
        return False
    return _is_address(message.address) and all(_is_address(one.address) for one in message.member_updates)


def _is_address(packed: bytes) -> bool:
    return len(packed) in (IPV4_BYTES, IPV6_BYTES) and packed[-2:] != b"\0\0"
