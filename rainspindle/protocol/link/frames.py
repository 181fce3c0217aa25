"""Frames of the link: a length of four bytes, then one typed value in MessagePack.

Each frame has at most MAX_FRAME bytes; bodies are sent in Data frames. Ids are the opener's own counter: both
sides may open requests on one connection, and the kind of a frame tells whose id it carries.
"""

from __future__ import annotations

import struct
from typing import Literal

import msgspec

from ...errors import Trouble

VERSIONS = (1,)
MAX_FRAME = 64 * 1024  # bytes after the length
MAX_BODY = 64 * 1024  # bytes of the body of a request or an answer
BODY_CHUNK = 16 * 1024  # bytes of a body in one Data frame
LENGTH_PREFIX = struct.Struct(">I")
Headers = tuple[tuple[bytes, bytes], ...]
State = Literal["never", "started", "done", "unknown"]


class LinkFault(Trouble):
    """A violation by the peer that closes the connection; `name` is sent to the peer and logged."""

    remedy = "look the name up in docs/operators/gateway.md; the link reconnects automatically"

    def __init__(self, name: str, detail: str = "") -> None:
        super().__init__(f"{name}: {detail}" if detail else name)
        self.name = name


class Frame(msgspec.Struct, frozen=True, tag=True, array_like=True, forbid_unknown_fields=True):
    """The base of all frames."""


class Hello(Frame, frozen=True):
    """The first frame of each side: its identity, and a nonce for the other side's proof."""

    versions: tuple[int, ...]
    site: str
    epoch: int  # drawn when the process starts, so that it differs after a restart
    nonce: bytes
    stall: float = 1.0  # seconds without an answer to a ping after which this side closes the connection


class Proof(Frame, frozen=True):
    """The second frame of each side: keyed digests over both Hellos, one for each key that is valid there."""

    digests: tuple[bytes, ...]


class Open(Frame, frozen=True):
    """Opens a request. It starts when its body is complete, or at once if it has none."""

    id: int
    sent: float  # on the sender's monotonic clock; only differences are used
    left: float  # seconds from `sent` to its expiry
    type_name: str
    key: str | None
    hint: float | None
    repeat: bool
    request_id: bytes
    method: bytes
    target: bytes
    headers: Headers
    size: int  # bytes of the body


class Data(Frame, frozen=True):
    """A further part of a body: of a request (`answer` false, the sender's id) or of an answer to one."""

    id: int
    answer: bool
    part: bytes


class Answer(Frame, frozen=True):
    """The final answer to a request that the other side opened."""

    id: int
    kind: Literal["finished", "rejected", "terminated"]
    hold_off: float
    headers: Headers
    size: int
    ran: bool  # whether it may have run; a rejection with False proves that it never started


class Revoke(Frame, frozen=True):
    """Asks that a request never starts. `epoch` is the receiver's when the request was opened."""

    id: int
    epoch: int


class Revoked(Frame, frozen=True):
    """The state of a revoked request. `done` is followed by the Answer."""

    id: int
    state: State


class Cancel(Frame, frozen=True):
    """The client has left, so that the answer is not wanted. It proves nothing about the request."""

    id: int


class Credit(Frame, frozen=True):
    """Allows the peer to send so many further body bytes: of one request, or of the link (id 0)."""

    id: int
    answer: bool
    size: int


class Ping(Frame, frozen=True):
    """Asks for a Pong, to detect stalls and to measure the peer's clock."""

    sent: float


class Pong(Frame, frozen=True):
    """Answers a Ping."""

    sent: float  # copied from the Ping
    here: float  # on the answering side's clock


class Goodbye(Frame, frozen=True):
    """No new request is accepted on this connection; open ones are finished."""


class Fault(Frame, frozen=True):
    """Names the fault for which the connection is closed."""

    name: str


Any = (
    Hello | Proof | Open | Data | Answer | Revoke | Revoked | Cancel | Credit | Ping | Pong | Goodbye | Fault
)

ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Any)


def encode(frame: Frame) -> bytes:
    """Returns the frame with its length in front."""
    body = ENCODER.encode(frame)
    assert len(body) <= MAX_FRAME, f"frame of {len(body)} bytes to be sent; at most {MAX_FRAME} are allowed"
    return LENGTH_PREFIX.pack(len(body)) + body


class Reader:
    """Decodes frames from a byte stream that may be split anywhere."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def receive(self, data: bytes) -> list[Any]:
        """Returns the frames that `data` completes. Raises LinkFault."""
        self.buffer += data
        frames: list[Any] = []
        position = 0
        while len(self.buffer) - position >= LENGTH_PREFIX.size:
            (size,) = LENGTH_PREFIX.unpack_from(self.buffer, position)
            if not 0 < size <= MAX_FRAME:
                raise LinkFault("frame_length", f"got {size} bytes, expected 1 to {MAX_FRAME}")
            if len(self.buffer) - position - LENGTH_PREFIX.size < size:
                break
            position += LENGTH_PREFIX.size
            try:
                frames.append(DECODER.decode(memoryview(self.buffer)[position : position + size]))
            except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
                raise LinkFault("frame_unreadable", str(error)[:200]) from None
            position += size
        del self.buffer[:position]
        return frames
