"""Frames of the link: a length of four bytes, then one typed value in MessagePack.

Each frame has at most MOST_FRAME bytes; bodies go in Data frames. Ids are the opener's own counter: both
sides may open exchanges on one connection, and an answer names whose id it means by its kind.
"""

from __future__ import annotations

import struct
from typing import Literal

import msgspec

from ...errors import Trouble

VERSIONS = (1,)
MOST_FRAME = 64 * 1024
MOST_BODY = 64 * 1024
CHUNK = 16 * 1024  # bytes of a body in one Data frame
HEAD = struct.Struct(">I")
Headers = tuple[tuple[bytes, bytes], ...]
State = Literal["never", "started", "done", "unknown"]


class LinkFault(Trouble):
    """What a peer did that ends the connection; `name` is told to the peer and to the log."""

    remedy = "look the name up in docs/operators/gateway.md; the link is joined again by itself"

    def __init__(self, name: str, detail: str = "") -> None:
        super().__init__(f"{name}: {detail}" if detail else name)
        self.name = name


class Frame(msgspec.Struct, frozen=True, tag=True, array_like=True, forbid_unknown_fields=True):
    """Any frame."""


class Hello(Frame, frozen=True):
    """The first frame of each side: who it is, and a nonce for the other's proof."""

    versions: tuple[int, ...]
    site: str
    epoch: int  # drawn at the process's start: a restarted gateway is another
    nonce: bytes
    stall: float = 1.0  # seconds without an answer to a ping after which this side gives a connection up


class Proof(Frame, frozen=True):
    """The second: keyed digests over both Hellos, one for each key that is valid here."""

    digests: tuple[bytes, ...]


class Open(Frame, frozen=True):
    """An exchange crosses. It starts when its body is whole, or at once if it has none."""

    id: int
    sent: float  # on the sender's steady clock; only differences are ever used
    left: float  # seconds until its expiry, at that moment
    type_name: str
    key: str | None
    hint: float | None
    repeat: bool
    request_id: bytes
    method: bytes
    target: bytes
    headers: Headers
    size: int  # of the body


class Data(Frame, frozen=True):
    """A further part of a body: of an exchange (`answer` false, sender's id) or of an answer to one."""

    id: int
    answer: bool
    part: bytes


class Answer(Frame, frozen=True):
    """The final answer to an exchange that the other side opened."""

    id: int
    kind: Literal["finished", "rejected", "terminated"]
    hold_off: float
    headers: Headers
    size: int
    ran: bool  # whether it may have run: a rejection without is proof that it never started


class Revoke(Frame, frozen=True):
    """Asks that a claim never starts. `epoch` is the receiver's, at the time the exchange was opened."""

    id: int
    epoch: int


class Revoked(Frame, frozen=True):
    """What became of a revoke. `done` is followed by the Answer."""

    id: int
    state: State


class Cancel(Frame, frozen=True):
    """The client has left: the answer is not wanted. Proves nothing."""

    id: int


class Credit(Frame, frozen=True):
    """The receiver of bodies takes so many further bytes: of one exchange, or of the link (id 0)."""

    id: int
    answer: bool
    size: int


class Ping(Frame, frozen=True):
    sent: float


class Pong(Frame, frozen=True):
    sent: float  # as the Ping had it
    here: float  # on the answering side's clock


class Goodbye(Frame, frozen=True):
    """Nothing new is taken on this connection; what is open is finished."""


class Fault(Frame, frozen=True):
    """Why the connection ends."""

    name: str


Any = (
    Hello | Proof | Open | Data | Answer | Revoke | Revoked | Cancel | Credit | Ping | Pong | Goodbye | Fault
)

ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Any)


def encode(frame: Frame) -> bytes:
    body = ENCODER.encode(frame)
    assert len(body) <= MOST_FRAME, "a frame over the limit of our own"
    return HEAD.pack(len(body)) + body


class Reader:
    """Bytes in, in whatever cuts, frames out. Raises LinkFault."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def receive(self, data: bytes) -> list[Any]:
        self.buffer += data
        found: list[Any] = []
        at = 0
        while len(self.buffer) - at >= HEAD.size:
            (size,) = HEAD.unpack_from(self.buffer, at)
            if not 0 < size <= MOST_FRAME:
                raise LinkFault("frame_length", str(size))
            if len(self.buffer) - at - HEAD.size < size:
                break
            at += HEAD.size
            try:
                found.append(DECODER.decode(memoryview(self.buffer)[at : at + size]))
            except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as fault:
                raise LinkFault("frame_unreadable", str(fault)[:200]) from None
            at += size
        del self.buffer[:at]
        return found
