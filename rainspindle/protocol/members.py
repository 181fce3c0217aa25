"""Wire format of the membership protocol: one MessagePack map per datagram of at most 1,200 bytes. No I/O.

Each message names its fleet, its sender and the sender's incarnation, and carries the VERSION of the sender's
release and the lowest version able to read it. Readers ignore unknown keys, additional items at the end of a
list and unknown kinds, so that two releases can run side by side. Keys on the wire are one or two letters;
KEYS maps the fields to them.
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

VERSION = 1  # version of this release's messages
LOWEST_READER = 1  # lowest version of a reader that can read this release's messages
MAX_DATAGRAM = 1200  # bytes; passes usual networks without fragmentation
MAX_NAME = 100  # characters of a member's name
MAX_REGISTER_NAME = 100  # characters
MAX_REGISTER_VALUE = 900  # bytes
MAX_LOAD_REPORT = 256  # characters
MAX_ITEMS = 100  # items of a list
MAX_REQUESTS = 16
LIST_OVERHEAD = 48  # bytes reserved for the encoding of the lists around their items
TABLE_PARTITIONS = 64  # digests of all members that the sender knows
REGISTER_PARTITIONS = 64  # digests of one owner's registers; equal to registers.PARTITIONS
DIGEST_BYTES = 4  # size of the digest of a partition
IPV4_BYTES = 6  # size of a packed address with its port
IPV6_BYTES = 18


class MessageKind(IntEnum):
    """Purpose of a message."""

    PING = 1
    ACK = 2
    NACK = 3  # a ping sent on behalf of another member was not answered
    PING_REQUEST = 4
    STATE = 5  # carries the sender's table digests and requests the records that differ
    STATE_ANSWER = 6
    UPDATE = 7  # carries updates only
    LOAD_REPORT = 8
    NAME_CONFLICT = 9  # the sender has the same name as the receiver and is silenced


class Status(IntEnum):
    """Status of a member on the wire; at equal incarnation and refutation the higher one takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME)]
Incarnation = Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
UInt31 = Annotated[int, msgspec.Meta(ge=0, lt=2**31)]
PackedAddress = Annotated[bytes, msgspec.Meta(min_length=IPV4_BYTES, max_length=IPV6_BYTES)]


class UnreadableMessageError(Trouble, ValueError):
    """A datagram that is not a member's message, or that is truncated or damaged."""

    remedy = "find out what else sends to this address; members need a port of their own"


class IncompatibleReleaseError(UnreadableMessageError):
    """A message of a newer release that this one cannot read."""

    remedy = "upgrade this sidecar to the release of the others"


class ForeignFleetError(UnreadableMessageError):
    """A message of a fleet with another name."""

    remedy = "give each fleet its own seeds and addresses, or give both the same name in `members.fleet`"


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """State of one member as the sender believes it to be.

    Attributes:
        name: Name of the member.
        address: Packed address at which the member receives datagrams.
        incarnation: Number of the member's start; increases with each start.
        refutation: Number that the member alone increases within an incarnation.
        status: A `Status`.
        suspected_by: Name of a member that suspects it; empty if it is not suspected.
        age: For a member that is dead or left, the whole seconds since then.
    """

    name: Name
    address: PackedAddress
    incarnation: Incarnation
    refutation: UInt31
    status: Annotated[int, msgspec.Meta(ge=int(Status.ALIVE), le=int(Status.LEFT))]
    suspected_by: Annotated[str, msgspec.Meta(max_length=MAX_NAME)] = ""
    age: UInt31 = 0


class RegisterUpdate(msgspec.Struct, array_like=True, frozen=True):
    """One register; `age` is the time in milliseconds since its owner last verifiably held it."""

    owner: Name
    name: Annotated[str, msgspec.Meta(max_length=MAX_REGISTER_NAME)]
    incarnation: Incarnation
    sequence: Incarnation
    value: Annotated[bytes, msgspec.Meta(max_length=MAX_REGISTER_VALUE)]
    age: UInt31 = 0


class RegisterDigest(msgspec.Struct, array_like=True, frozen=True):
    """Digest of all registers of one owner; `age` is the time in milliseconds since it had exactly these."""

    owner: Name
    incarnation: Incarnation
    digest: Annotated[bytes, msgspec.Meta(min_length=8, max_length=8)]
    age: UInt31


class RegisterRequest(msgspec.Struct, array_like=True, frozen=True):
    """The sender's partition digests of one owner's registers, to request the registers that differ."""

    owner: Name
    digests: Annotated[bytes, msgspec.Meta(max_length=REGISTER_PARTITIONS * DIGEST_BYTES)]


class Header(msgspec.Struct, rename={"version": "v", "lowest_reader": "r", "fleet": "f"}):
    """Fields that are read from a message that cannot be decoded completely, to explain why."""

    version: UInt31
    lowest_reader: UInt31
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
    """One received datagram.

    Attributes:
        version: Message version of the sender's release.
        lowest_reader: Lowest version of a reader that can read the message.
        fleet: Name of the fleet.
        sender: Name of the sending member.
        incarnation: Incarnation of the sender.
        refutation: Refutation number of the sender.
        address: Packed address at which the sender receives datagrams.
        number: Number of the datagram; increases within an incarnation.
        kind: A `MessageKind`, or a number that a later release introduced.
        echo: In an answer, the number of the datagram that it answers.
        target: Name of the member that a ping is meant for, or that is to be pinged.
        target_address: In a ping request, the packed address to ping.
        member_updates: Updates of members.
        register_updates: Updates of registers.
        register_digests: Digests of the registers of some owners.
        register_requests: Requests for registers that the sender has in another state.
        table_digests: Digests of all members that the sender knows.
        load_report: Load report of the balancer.
    """

    version: UInt31
    lowest_reader: UInt31
    fleet: Annotated[str, msgspec.Meta(max_length=MAX_NAME)]
    sender: Name
    incarnation: Incarnation
    refutation: UInt31
    address: PackedAddress
    number: Incarnation
    kind: UInt31
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
    """One datagram to be sent; the items of its lists are encoded already, so that their size is known.

    The fields are those of `Message`.
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
    """Encodes an item of one of the lists of a message."""
    return msgspec.Raw(_encode(item))


def encode(message: OutgoingMessage | Message) -> bytes:
    """Encodes a message without checking its size."""
    return _encode(message)


def decode(data: bytes, fleet: str) -> Message:
    """Decodes a datagram of `fleet`.

    Raises:
        IncompatibleReleaseError: The message requires a newer reader.
        ForeignFleetError: The message belongs to another fleet.
        UnreadableMessageError: The datagram is not a valid message for any other reason.
    """
    if len(data) > MAX_DATAGRAM:
        raise UnreadableMessageError(f"datagram too long: expected at most {MAX_DATAGRAM} bytes")
    try:
        message = _decode_message(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise _explain(data, fleet, str(error)) from None
    if message.lowest_reader > VERSION or message.fleet != fleet:
        raise _explain(data, fleet, "")
    if not _has_valid_addresses(message):
        raise UnreadableMessageError(
            f"invalid address: expected {IPV4_BYTES} or {IPV6_BYTES} bytes with a port other than 0"
        )
    return message


@functools.lru_cache(8192)
def pack_address(address: Address) -> bytes:
    """Encodes an address as 6 (IPv4) or 18 (IPv6) bytes.

    Raises:
        OSError: The host is not a numeric IP address.
    """
    host, port = address
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.inet_pton(family, host) + struct.pack(">H", port)


@functools.lru_cache(8192)
def unpack_address(packed: bytes) -> Address:
    """Decodes an address encoded by `pack_address`."""
    family = socket.AF_INET if len(packed) == IPV4_BYTES else socket.AF_INET6
    return socket.inet_ntop(family, packed[:-2]), int.from_bytes(packed[-2:], "big")


def _explain(data: bytes, fleet: str, error: str) -> UnreadableMessageError:
    """Returns the error for an unreadable message, as specific as its header allows."""
    try:
        header = _decode_header(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return UnreadableMessageError(f"not a membership message: {error}")
    if header.lowest_reader > VERSION:
        return IncompatibleReleaseError(
            f"message of version {header.version} requires a reader of version {header.lowest_reader};"
            f" this release has version {VERSION}"
        )
    if header.fleet != fleet:
        return ForeignFleetError(f"message of fleet {header.fleet!r}; expected fleet {fleet!r}")
    return UnreadableMessageError(f"not a membership message: {error}")


def _has_valid_addresses(message: Message) -> bool:
    if message.target_address and not _is_address(message.target_address):
        return False
    return _is_address(message.address) and all(
        _is_address(update.address) for update in message.member_updates
    )


def _is_address(packed: bytes) -> bool:
    return len(packed) in (IPV4_BYTES, IPV6_BYTES) and packed[-2:] != b"\0\0"
