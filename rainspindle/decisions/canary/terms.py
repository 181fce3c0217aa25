"""The terms of a canary as its operator configured them, and the assignment of keys to its new side."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b


@dataclass(frozen=True, slots=True)
class Step:
    """One stage: its share of keys, and what it must have seen before the run advances."""

    part: float  # share of keys that go to the new side, 0 to 1
    time: float  # minimum duration in seconds
    exchanges: int  # minimum number of requests on the new side, over all sidecars


@dataclass(frozen=True, slots=True)
class Terms:
    """All that sidecars must agree on to run one canary together. Times are in seconds.

    The digest covers every field, and the names of this class, of `Step` and of their fields with it.
    """

    name: str
    matter: str  # identifies what is new; the same text at every sidecar
    steps: tuple[Step, ...]
    budget: float = 0.01  # share of requests that may fail or be late beyond the old side's share
    long: float = 300.0  # length of the long window
    short: float = 30.0  # length of the short window
    pause_at: float = 2.0  # burn rate at which the run pauses, in multiples of the budget
    abort_at: float = 10.0  # burn rate at which the run is aborted, in multiples of the budget
    fresh: float = 0.9  # share of the members whose reports must be fresh before the run advances
    # A sidecar sends all keys to the old side once its reports have come from no more than this share of the
    # members for `alone_after`.
    hold: float = 0.5
    alone_after: float = 5.0
    each_effect: int = 20  # minimum requests in a stage of each idempotency that clients send

    @property
    def digest(self) -> bytes:
        """Identifies these terms on the wire, as 8 bytes."""
        return blake2b(repr(self).encode(), digest_size=8).digest()


def point(name: str, key: str) -> float:
    """The position of a key from 0 to 1; it is on the new side if this is below the stage's share.

    It is the same at every sidecar and in every run of this canary: a key on the new side at 5% stays there
    at 25%.
    """
    return int.from_bytes(blake2b(f"{name}|{key}".encode(), digest_size=8).digest(), "big") / 2**64
