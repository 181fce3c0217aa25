"""MySQL packet framing and the integer and string encodings, as MySQL documents them.

A payload is split into packets of at most 16 MiB less one byte, numbered consecutively within a command. A
packet of exactly that size is followed by another one, which may be empty.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

MAX_PACKET_PAYLOAD = 0xFFFFFF
HEADER_SIZE = 4


class Malformed(Exception):
    """Data that violates the protocol; the message gives the offset or the values."""


def packets(payload: bytes, sequence: int) -> bytes:
    """Frame a payload as packets, numbered from `sequence` on."""
    framed, offset = bytearray(), 0
    while True:
        chunk = payload[offset : offset + MAX_PACKET_PAYLOAD]
        framed += struct.pack("<I", len(chunk) | (sequence & 0xFF) << 24)
        framed += chunk
        offset, sequence = offset + len(chunk), sequence + 1
        if len(chunk) < MAX_PACKET_PAYLOAD:
            return bytes(framed)


def count_packets(size: int) -> int:
    """Return the number of packets that a payload of `size` bytes takes."""
    return size // MAX_PACKET_PAYLOAD + 1


@dataclass(frozen=True, slots=True)
class Packet:
    """One packet without its header."""

    sequence: int
    payload: bytes
    more: bool  # the payload continues in the next packet


class PacketReader:
    """Reassembles packets from bytes that arrive in arbitrary chunks."""

    def __init__(self, max_payload: int) -> None:
        """Reject payloads of more than `max_payload` bytes as malformed."""
        self.max_payload = max_payload
        self.buffer = bytearray()
        self.position = 0
        self.sequence = 0  # expected in the next packet
        self.parts: list[bytes] = []
        self.collected = 0

    def receive(self, data: bytes) -> None:
        """Append bytes from the connection and discard those already consumed."""
        if self.position:
            del self.buffer[: self.position]
            self.position = 0
        self.buffer += data

    def packet(self) -> Packet | None:
        """Return the next packet, or None if it is incomplete; raise Malformed if out of sequence."""
        if len(self.buffer) - self.position < HEADER_SIZE:
            return None
        (header,) = struct.unpack_from("<I", self.buffer, self.position)
        size, sequence = header & MAX_PACKET_PAYLOAD, header >> 24
        if sequence != self.sequence & 0xFF:
            raise Malformed(f"expected packet {self.sequence & 0xFF}, got {sequence}")
        if size > self.max_payload:
            raise Malformed(f"packet of {size} bytes; the limit is {self.max_payload}")
        if len(self.buffer) - self.position - HEADER_SIZE < size:
            return None
        payload = bytes(
            memoryview(self.buffer)[self.position + HEADER_SIZE : self.position + HEADER_SIZE + size]
        )
        self.position += HEADER_SIZE + size
        self.sequence += 1
        return Packet(sequence, payload, size == MAX_PACKET_PAYLOAD)

    def payload(self) -> bytes | None:
        """Return the next payload, joined from its packets, or None if it is incomplete."""
        while (packet := self.packet()) is not None:
            self.collected += len(packet.payload)
            if self.collected > self.max_payload:
                raise Malformed(f"payload exceeds the limit of {self.max_payload} bytes")
            if not packet.more and not self.parts:
                self.collected = 0
                return packet.payload
            self.parts.append(packet.payload)
            if not packet.more:
                joined = b"".join(self.parts)
                self.parts, self.collected = [], 0
                return joined
        return None

    def restart(self, sequence: int = 0) -> None:
        """Expect `sequence` next; every command starts its numbering anew."""
        self.sequence = sequence

    @property
    def has_partial_payload(self) -> bool:
        """Whether part of a payload has arrived."""
        return bool(self.parts) or self.position < len(self.buffer)


class Cursor:
    """Reads consecutive values from a payload. Its methods raise Malformed beyond the end."""

    def __init__(self, payload: bytes, position: int = 0) -> None:
        self.payload, self.position = payload, position

    def remaining(self) -> int:
        """Return the number of unread bytes."""
        return len(self.payload) - self.position

    def take(self, size: int) -> bytes:
        """Return the next `size` bytes."""
        if size < 0 or size > self.remaining():
            raise Malformed(f"expected {size} bytes at offset {self.position}, got {self.remaining()}")
        self.position += size
        return self.payload[self.position - size : self.position]

    def number(self, size: int) -> int:
        """Return a little-endian unsigned integer of `size` bytes."""
        return int.from_bytes(self.take(size), "little")

    def lenenc(self) -> int:
        """Return a length-encoded integer."""
        first = self.number(1)
        if first < 0xFB:
            return first
        if first in (0xFC, 0xFD, 0xFE):
            return self.number({0xFC: 2, 0xFD: 3, 0xFE: 8}[first])
        raise Malformed(f"expected a length-encoded integer at offset {self.position - 1}, got {first:#x}")

    def lenenc_bytes(self) -> bytes:
        """Return a length-encoded string."""
        return self.take(self.lenenc())

    def until_nul(self) -> bytes:
        """Return a NUL-terminated string without its NUL."""
        end = self.payload.find(b"\0", self.position)
        if end < 0:
            raise Malformed(f"expected a NUL-terminated string at offset {self.position}, found no NUL")
        value = self.payload[self.position : end]
        self.position = end + 1
        return value

    def rest(self) -> bytes:
        """Return all unread bytes."""
        return self.take(self.remaining())


def lenenc(value: int) -> bytes:
    """Encode a length-encoded integer."""
    if value < 0xFB:
        return bytes((value,))
    if value < 1 << 16:
        return b"\xfc" + value.to_bytes(2, "little")
    if value < 1 << 24:
        return b"\xfd" + value.to_bytes(3, "little")
    return b"\xfe" + value.to_bytes(8, "little")


def lenenc_bytes(value: bytes) -> bytes:
    """Encode a length-encoded string."""
    return lenenc(len(value)) + value
