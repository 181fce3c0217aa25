"""What sidecars of a pool tell one another, as text of 256 bytes at most. No I/O."""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import Sequence

from ..host import Facts
from ..pool import Pool
from ..values import dataclass

MOST, MARK = 256, 4  # bytes; characters for a mark
# The first character tells the form, and with it the release: one that changes a form takes other characters.
FACTS, WHOLE, CHANGES = "=", ".", "-"


def encode_held(began: Sequence[int], ended: Sequence[int], whole: bool) -> str:
    most = MOST // MARK - 1
    if whole:
        return WHOLE + marks_text(began[:most])
    return CHANGES + marks_text(began[:most]) + CHANGES + marks_text(ended[: max(0, most - len(began))])


def marks_text(marks: Sequence[int]) -> str:
    return b64encode(b"".join(mark.to_bytes(3, "big") for mark in marks)).decode()


def marks_of(text: str) -> list[int]:
    raw = b64decode(text, validate=True)
    if len(raw) % 3:
        raise ValueError("a mark is cut")
    return [int.from_bytes(raw[n : n + 3], "big") for n in range(0, len(raw), 3)]


def encode_facts(facts: Facts) -> str:
    parts = [FACTS + ",".join(f"{rate:.0f}" for rate in facts.rates)]
    for kind, (time, free) in facts.kinds.items():
        part = f"{kind}:{time:.4f}:{free:.1f}"
        if sum(map(len, parts)) + len(parts) + len(part) <= MOST:
            parts.append(part)
    return ";".join(parts)[:MOST]


@dataclass(frozen=True, slots=True)
class Word:
    """Endpoints' marks, one for each exchange: what has begun and ended, or the whole of what is out."""

    began: list[int]
    ended: list[int]
    whole: bool


def decode(payload: str) -> Facts | Word:
    """Raises ValueError where it is neither."""
    if len(payload) > MOST or not payload.isascii():
        raise ValueError("not a sidecar's message")
    if payload.startswith(CHANGES):
        began, _, ended = payload[1:].partition(CHANGES)
        return Word(marks_of(began), marks_of(ended), whole=False)
    if payload.startswith(WHOLE):
        return Word(marks_of(payload[1:]), [], whole=True)
    if not payload.startswith(FACTS):
        raise ValueError("of another release")
    rates, *kinds = payload[1:].split(";")
    known = {}
    for kind, time, free in (part.split(":") for part in kinds):
        known[int(kind)] = positive(time), max(positive(free), 1.0)
    return Facts(tuple(figure(rate) for rate in rates.split(",") if rate), known)


def hear(pool: Pool, now: float, who: str, payload: str) -> None:
    """Hands on what a message tells. Raises ValueError where it is none of a sidecar's."""
    told = decode(payload)
    if isinstance(told, Facts):
        pool.learnt(now, who, told)
    else:
        pool.told(now, who, told.began, told.ended, told.whole)


def figure(text: str) -> float:
    """A plain figure: float() alone would take `nan`, `-1`, `1_0` and `1e99`."""
    if not text.replace(".", "", 1).isdecimal() or len(text) > 9:
        raise ValueError(f"not a figure: {text!r}")
    return float(text)


def positive(text: str) -> float:
    if not (value := figure(text)):
        raise ValueError("a figure of 0")
    return value
