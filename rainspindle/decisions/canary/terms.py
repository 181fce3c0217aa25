"""What a canary is to do, as its operator wrote it; and which keys are in."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b


@dataclass(frozen=True, slots=True)
class Step:
    """One stage."""

    part: float  # of the keys, 0 to 1
    time: float  # seconds at least
    exchanges: int  # on the new side, at all sidecars together, at least


@dataclass(frozen=True, slots=True)
class Terms:
    """Times are seconds. Whatever is in here is told apart by `digest`: sidecars whose terms differ do not
    run one canary together."""

    name: str
    matter: str  # what is new, in words that are the same at every sidecar
    steps: tuple[Step, ...]
    budget: float = 0.01  # the part of exchanges that may fail or be late beyond what the old side's do
    long: float = 300.0  # windows
    short: float = 30.0
    pause_at: float = 2.0  # burn rates: times the budget
    abort_at: float = 10.0
    fresh: float = 0.9  # the part of the members that must be heard before a stage goes forward
    hold: float = 0.5  # heard of no more than this part, a sidecar takes the old side
    alone_after: float = 5.0  # seconds of that
    each_effect: int = 20  # exchanges of each effect that clients bring, in a stage, at least

    @property
    def digest(self) -> bytes:
        return blake2b(repr(self).encode(), digest_size=8).digest()


def point(name: str, word: str) -> float:
    """Where a key stands, 0 to 1, alike at every sidecar and in every run of one canary: who is in at 5%
    stays in at 25%."""
    return int.from_bytes(blake2b(f"{name}|{word}".encode(), digest_size=8).digest(), "big") / 2**64
