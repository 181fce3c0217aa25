"""What sidecars of a pool tell one another, as text of 256 bytes at most. No I/O."""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import Collection, Sequence
from typing import Protocol

from ..host import Facts

MOST, MARK, FACTS = 256, 4, "="  # bytes; characters for a mark; what facts begin with


def encode_held(marks: Sequence[int]) -> str:
    return "".join(b64encode(mark.to_bytes(3, "big")).decode() for mark in marks[:MOST // MARK])


def encode_facts(facts: Facts) -> str:
    parts = [FACTS + ",".join(f"{rate:.0f}" for rate in facts.rates)]
    for kind, (time, free) in facts.kinds.items():
        part = f"{kind}:{time:.4f}:{free:.1f}"
        if sum(map(len, parts)) + len(parts) + len(part) <= MOST:
            parts.append(part)
    return ";".join(parts)[:MOST]


def decode(payload: str) -> Facts | list[int]:
    """Facts, or a mark for each exchange out. Raises ValueError where it is neither."""
    if len(payload) > MOST or (payload and not payload.isascii()):
        raise ValueError("not a sidecar's message")
    if not payload.startswith(FACTS):
        raw = b64decode(payload, validate=True)
        if len(raw) % 3:
            raise ValueError("a mark is cut")
        return [int.from_bytes(raw[n:n + 3], "big") for n in range(0, len(raw), 3)]
    rates, *kinds = payload[1:].split(";")
    known = {}
    for kind, time, free in (part.split(":") for part in kinds):
        known[int(kind)] = positive(time), max(positive(free), 1.0)
    return Facts(tuple(float(int(rate)) for rate in rates.split(",") if rate), known)


class Hearer(Protocol):
    def peer_holds(self, now: float, who: str, marks: Collection[int]) -> None: ...

    def peer_learnt(self, now: float, who: str, facts: Facts) -> None: ...


def hear(hearer: Hearer, now: float, who: str, payload: str) -> None:
    """Hands on what a message tells. Raises ValueError where it is none of a sidecar's."""
    told = decode(payload)
    if isinstance(told, Facts):
        hearer.peer_learnt(now, who, told)
    else:
        hearer.peer_holds(now, who, told)


def positive(text: str) -> float:
    value = float(text)
    if not 0 < value < 1e6:
        raise ValueError(f"not a figure over 0: {text!r}")
    return value
