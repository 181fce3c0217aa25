"""What one sidecar has seen of both sides, in spans of time, and what all have seen together."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

import msgspec

from ...balancer.host import Idempotency

VERSION = 1
EFFECTS = (Idempotency.IDEMPOTENT, Idempotency.DEDUPLICATED, Idempotency.NON_IDEMPOTENT)
TURNED = len(EFFECTS)  # the class of those turned away with no forward: no word on a release
CLASSES = len(EFFECTS) + 1
WIDTH = 2 * CLASSES * 2  # numbers in a span: side, class, and of each all and the bad
FINE, COARSE = 4, 8  # whole spans in the short window and in the long one
MOST_NUMBER = 0xFFFF

Sums = list[int]


def at(new: bool, kind: int, bad: bool = False) -> int:
    return (new * CLASSES + kind) * 2 + bad


class Ring:
    """Spans of one length, the newest last; it is not whole yet. Covers its window, and a span more."""

    def __init__(self, now: float, window: float, spans: int) -> None:
        self.span, self.begun, self.most = window / spans, now, spans + 1
        self.spans: deque[Sums] = deque([[0] * WIDTH], maxlen=self.most)

    def roll(self, now: float) -> None:
        missed = int((now - self.begun) / self.span)
        if missed > 0:
            self.begun += missed * self.span
            for _ in range(min(missed, self.most)):
                self.spans.append([0] * WIDTH)

    def add(self, now: float, *places: int) -> None:
        self.roll(now)
        for place in places:
            self.spans[-1][place] += 1


class Told(msgspec.Struct, array_like=True):
    """What a sidecar tells of itself in its cell."""

    version: int
    own: bytes  # the digest of its terms
    run: int
    digest: bytes  # of the run that it knows
    epoch: int
    stage: int
    paused: bool
    aborted: bool
    unheard: bool  # it takes the old side, as it hears too few
    unit: int = 1  # of the numbers in spans
    fine_age: float = 0.0  # of the span that is not whole
    coarse_age: float = 0.0
    fine: list[int] = msgspec.field(default_factory=list)
    coarse: list[int] = msgspec.field(default_factory=list)
    stage_new: list[int] = msgspec.field(default_factory=list)  # in this stage on the new side, by effect
    harmed: int = 0  # in this run on the new side: failed or late

    @property
    def stamp(self) -> tuple[int, bytes, int, int]:
        return self.run, self.digest, self.epoch, self.stage


def pack(spans: deque[Sums], unit: int) -> list[int]:
    """From the newest back, less what is empty at the end. What is bad is rounded up."""
    out: list[int] = []
    for sums in reversed(spans):
        out += [-(-n // unit) for n in sums]
    while out and not out[-1]:
        out.pop()
    return out


def encode(told: Told, fine: Ring, coarse: Ring, now: float) -> bytes:
    """900 bytes at most: where there is more, it is told in larger units."""
    fine.roll(now)
    coarse.roll(now)
    most = max(max(sums) for ring in (fine, coarse) for sums in ring.spans)
    told.unit = 1
    while most // told.unit >= MOST_NUMBER:
        told.unit *= 2
    told.fine, told.coarse = pack(fine.spans, told.unit), pack(coarse.spans, told.unit)
    told.fine_age, told.coarse_age = round(now - fine.begun, 3), round(now - coarse.begun, 3)
    return msgspec.msgpack.encode(told)


def decode(raw: bytes) -> Told:
    """Raises ValueError."""
    try:
        told = msgspec.msgpack.decode(raw, type=Told)
    except msgspec.MsgspecError as fault:
        raise ValueError(f"not counts: {fault}") from None
    if (
        told.version != VERSION
        or told.unit < 1
        or len(told.fine) > (FINE + 1) * WIDTH
        or len(told.coarse) > (COARSE + 1) * WIDTH
        or min((0, *told.fine, *told.coarse)) < 0
        or not (0 <= told.fine_age < 1e6 and 0 <= told.coarse_age < 1e6)
        or told.run < 0
        or told.epoch < 0
        or not 0 <= told.stage < 256
    ):
        raise ValueError(f"not counts of version {VERSION}")
    return told


class Window:
    """One sidecar's spans as they came, summed up once from the newest on, so that a look is cheap."""

    def __init__(
        self, came: float, numbers: list[int], unit: int, age: float, window: float, spans: int
    ) -> None:
        self.begun, self.span, self.most = came - age, window / spans, spans
        self.sums: list[Sums] = [[0] * WIDTH]  # of so many of the newest spans
        for n in range(0, len(numbers), WIDTH):
            part, last = numbers[n : n + WIDTH], self.sums[-1]
            self.sums.append(
                [a + b * unit for a, b in zip(last, part + [0] * (WIDTH - len(part)), strict=True)]
            )

    def within(self, now: float) -> Sums:
        """Of the spans that are not too old by now, though nothing newer has come."""
        aged = int(max(now - self.begun, 0.0) / self.span)
        keep = min(self.most + 1 - aged, len(self.sums) - 1)
        return self.sums[keep] if keep > 0 else self.sums[0]


@dataclass(slots=True)
class Heard:
    """What another sidecar last told."""

    told: Told
    at: float
    life: int
    sequence: int
    long: Window
    short: Window


def add_up(parts: list[Sums]) -> Sums:
    return [sum(column) for column in zip(*parts, strict=True)] if parts else [0] * WIDTH
