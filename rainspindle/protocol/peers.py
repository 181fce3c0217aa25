"""The messages about load that sidecars send one another: ASCII text of at most 256 bytes. No I/O.

The first character identifies the format and its release: a release that changes a format must use other
characters.

    .MARKS          all attempts in flight, one endpoint mark each
    -MARKS-MARKS    attempts that started and ended since the last message
    =RATES;KIND:SECONDS:CONCURRENCY;...    the sidecar's learned state
"""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import Sequence

from ..balancer.host import KindEstimate, LearnedState
from ..balancer.peer_load import PeerLoad
from ..lazy_dataclasses import dataclass

MAX_MESSAGE = 256  # characters
MARK_BYTES = 3
MARK_CHARACTERS = 4  # of a mark in base64
MAX_MARKS = MAX_MESSAGE // MARK_CHARACTERS - 1
MAX_NUMBER_LENGTH = 9  # characters

COMPLETE_LOAD = "."
LOAD_CHANGES = "-"
LEARNED_STATE = "="


@dataclass(frozen=True, slots=True)
class LoadMessage:
    """Endpoint marks, one for each attempt.

    Attributes:
        started: All attempts in flight if `complete`, else those that started since the last message.
        ended: The attempts that ended since the last message.
        complete: Whether the message replaces all earlier ones.
    """

    started: list[int]
    ended: list[int]
    complete: bool


def encode_load(started: Sequence[int], ended: Sequence[int], complete: bool) -> str:
    """Encodes a load message; omits marks beyond the maximum length."""
    if complete:
        return COMPLETE_LOAD + _encode_marks(started[:MAX_MARKS])
    first = _encode_marks(started[:MAX_MARKS])
    second = _encode_marks(ended[: max(0, MAX_MARKS - len(started))])
    return LOAD_CHANGES + first + LOAD_CHANGES + second


def encode_learned_state(state: LearnedState) -> str:
    """Encodes learned state; omits machine kinds beyond the maximum length."""
    parts = [LEARNED_STATE + ",".join(f"{rate:.0f}" for rate in state.request_rates)]
    for kind, estimate in state.kinds.items():
        part = f"{kind}:{estimate.unloaded_time:.4f}:{estimate.concurrency:.1f}"
        if sum(map(len, parts)) + len(parts) + len(part) <= MAX_MESSAGE:
            parts.append(part)
    return ";".join(parts)[:MAX_MESSAGE]


def decode(payload: str) -> LearnedState | LoadMessage:
    """Decodes a message.

    Raises:
        ValueError: It is not a valid message of this release.
    """
    if len(payload) > MAX_MESSAGE or not payload.isascii():
        raise ValueError(f"peer message is not ASCII text of at most {MAX_MESSAGE} characters")
    if payload.startswith(LOAD_CHANGES):
        started, _, ended = payload[1:].partition(LOAD_CHANGES)
        return LoadMessage(_decode_marks(started), _decode_marks(ended), complete=False)
    if payload.startswith(COMPLETE_LOAD):
        return LoadMessage(_decode_marks(payload[1:]), [], complete=True)
    if not payload.startswith(LEARNED_STATE):
        raise ValueError(f"unknown peer message format {payload[:1]!r}: may be of another release")
    return _decode_learned_state(payload[1:])


def receive(peer_load: PeerLoad, now: float, peer: str, payload: str) -> None:
    """Decodes a peer's message and applies it to `peer_load`.

    Raises:
        ValueError: It is not a valid message of this release.
    """
    message = decode(payload)
    if isinstance(message, LearnedState):
        peer_load.on_learned_state(now, peer, message)
    else:
        peer_load.on_load_report(now, peer, message.started, message.ended, message.complete)


def _encode_marks(marks: Sequence[int]) -> str:
    return b64encode(b"".join(mark.to_bytes(MARK_BYTES, "big") for mark in marks)).decode()


def _decode_marks(text: str) -> list[int]:
    raw = b64decode(text, validate=True)
    if len(raw) % MARK_BYTES:
        raise ValueError(f"endpoint marks truncated: {len(raw)} bytes are not a multiple of {MARK_BYTES}")
    starts = range(0, len(raw), MARK_BYTES)
    return [int.from_bytes(raw[start : start + MARK_BYTES], "big") for start in starts]


def _decode_learned_state(text: str) -> LearnedState:
    rates, *parts = text.split(";")
    kinds = {}
    for kind, seconds, concurrency in (part.split(":") for part in parts):
        kinds[int(kind)] = KindEstimate(_decode_positive(seconds), max(_decode_positive(concurrency), 1.0))
    return LearnedState(tuple(_decode_number(rate) for rate in rates.split(",") if rate), kinds)


def _decode_number(text: str) -> float:
    """Decodes a plain decimal number: float() alone would accept `nan`, `-1`, `1_0` and `1e99`."""
    if not text.replace(".", "", 1).isdecimal() or len(text) > MAX_NUMBER_LENGTH:
        raise ValueError(f"not a decimal number of at most {MAX_NUMBER_LENGTH} characters: {text!r}")
    return float(text)


def _decode_positive(text: str) -> float:
    value = _decode_number(text)
    if not value:
        raise ValueError(f"expected a number over 0, got {text!r}")
    return value
