"""Packets and the values in them, from the protocol as published.

A payload goes in packets of at most 16 MiB less one byte, numbered one by one within a command; a packet of
just that size is followed by another, if need be an empty one.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

MOST_PACKET = 0xFFFFFF
HEAD = 4


class Malformed(Exception):
    """What came is not the protocol's; the text says where."""


def packets(payload: bytes, sequence: int) -> bytes:
    """A payload as packets, the first numbered `sequence`."""
    out, at = bytearray(), 0
    while True:
        part = payload[at : at + MOST_PACKET]
        out += struct.pack("<I", len(part) | (sequence & 0xFF) << 24)
        out += part
        at, sequence = at + len(part), sequence + 1
        if len(part) < MOST_PACKET:
            return bytes(out)


def count_packets(size: int) -> int:
    """How many packets a payload of this size takes."""
    return size // MOST_PACKET + 1


@dataclass(frozen=True, slots=True)
class Packet:
    sequence: int
    payload: bytes
    more: bool  # the payload goes on in the next packet


class PacketReader:
    """Bytes in, in whatever cuts, whole packets out."""

    def __init__(self, most: int) -> None:
        """Payloads of over `most` bytes are malformed."""
        self.most = most
        self.buffer = bytearray()
        self.at = 0
        self.sequence = 0  # of the next packet
        self.parts: list[bytes] = []
        self.held = 0

    def receive(self, data: bytes) -> None:
        if self.at:
            del self.buffer[: self.at]
            self.at = 0
        self.buffer += data

    def packet(self) -> Packet | None:
        """The next packet, each checked for its number."""
        if len(self.buffer) - self.at < HEAD:
            return None
        (head,) = struct.unpack_from("<I", self.buffer, self.at)
        size, sequence = head & MOST_PACKET, head >> 24
        if sequence != self.sequence & 0xFF:
            raise Malformed(f"packet {sequence} where {self.sequence & 0xFF} was due")
        if size > self.most:
            raise Malformed(f"a packet of {size} bytes; {self.most} are taken at most")
        if len(self.buffer) - self.at - HEAD < size:
            return None
        payload = bytes(memoryview(self.buffer)[self.at + HEAD : self.at + HEAD + size])
        self.at += HEAD + size
        self.sequence += 1
        return Packet(sequence, payload, size == MOST_PACKET)

    def payload(self) -> bytes | None:
        """The next whole payload."""
        while (packet := self.packet()) is not None:
            self.held += len(packet.payload)
            if self.held > self.most:
                raise Malformed(f"a payload of over {self.most} bytes")
            if not packet.more and not self.parts:
                self.held = 0
                return packet.payload
            self.parts.append(packet.payload)
            if not packet.more:
                whole = b"".join(self.parts)
                self.parts, self.held = [], 0
                return whole
        return None

    def restart(self, sequence: int = 0) -> None:
        """A new command begins: numbers start again."""
        self.sequence = sequence

    @property
    def begun(self) -> bool:
        return bool(self.parts) or self.at < len(self.buffer)


class Cursor:
    """Values read one after another from a payload. Raises Malformed past its end."""

    def __init__(self, payload: bytes, at: int = 0) -> None:
        self.payload, self.at = payload, at

    def left(self) -> int:
        return len(self.payload) - self.at

    def take(self, size: int) -> bytes:
        if size < 0 or size > self.left():
            raise Malformed(f"{size} bytes wanted at {self.at}, {self.left()} are left")
        self.at += size
        return self.payload[self.at - size : self.at]

    def number(self, size: int) -> int:
        return int.from_bytes(self.take(size), "little")

    def lenenc(self) -> int:
        first = self.number(1)
        if first < 0xFB:
            return first
        if first in (0xFC, 0xFD, 0xFE):
            return self.number({0xFC: 2, 0xFD: 3, 0xFE: 8}[first])
        raise Malformed(f"no length at {self.at - 1}: {first:#x}")

    def lenenc_bytes(self) -> bytes:
        return self.take(self.lenenc())

    def until_nul(self) -> bytes:
        end = self.payload.find(b"\0", self.at)
        if end < 0:
            raise Malformed(f"no end of a string from {self.at} on")
        found = self.payload[self.at : end]
        self.at = end + 1
        return found

    def rest(self) -> bytes:
        return self.take(self.left())


def lenenc(value: int) -> bytes:
    if value < 0xFB:
        return bytes((value,))
    if value < 1 << 16:
        return b"\xfc" + value.to_bytes(2, "little")
    if value < 1 << 24:
        return b"\xfd" + value.to_bytes(3, "little")
    return b"\xfe" + value.to_bytes(8, "little")


def lenenc_bytes(value: bytes) -> bytes:
    return lenenc(len(value)) + value
