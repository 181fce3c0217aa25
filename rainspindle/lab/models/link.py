"""A link between two zones: delay, jitter, bandwidth, loss felt as stalls, silence without resets."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from ..experiment import Link


@dataclass(frozen=True, slots=True)
class Cut:
    """From `at` to `until` nothing crosses in this direction; with `slower`, all takes that much longer."""

    at: float
    until: float
    slower: float = 0.0


class LinkModel:
    """One direction. Messages are told of in order of time; none is lost for good, as TCP sends again."""

    def __init__(self, spec: Link, cuts: list[Cut], chance: Callable[[], float]) -> None:
        self.spec, self.cuts, self.chance = spec, cuts, chance
        self.busy_until = -math.inf

    def arrival(self, now: float, size: int = 500) -> float:
        """When the last byte of a message of `size` bytes is there."""
        at = self.opened(now)
        self.busy_until = max(at, self.busy_until) + size / self.spec.bandwidth
        return self.busy_until + self.delay(at)

    def answer(self, later: float) -> float:
        """When an answer of a few bytes to what comes at a time still ahead is back. It holds no place on the
        link: all that is sent before then would else wait behind it."""
        at = self.opened(later)
        return at + self.delay(at)

    def opened(self, now: float) -> float:
        """When what is sent now begins to cross."""
        at = now
        for cut in self.cuts:
            if not cut.slower and cut.at <= at < cut.until:
                # The sender's own back-off has grown by then: up to a fifth of the silence passes once more.
                at = cut.until + self.chance() * min(0.2 * (cut.until - at), 2.0)
        return at

    def delay(self, at: float) -> float:
        """Of what begins to cross then, with what is sent again."""
        spec = self.spec
        delay = spec.delay * (1 + spec.jitter * (2 * self.chance() - 1))
        delay += sum(cut.slower for cut in self.cuts if cut.at <= at < cut.until)
        stall = spec.stall
        while spec.loss and self.chance() < spec.loss and stall < 20 * spec.stall:
            delay += stall
            stall *= 2
        return delay

    def whole(self, now: float) -> bool:
        """Whether anything crosses now, as a new connection must at once."""
        return not any(not cut.slower and cut.at <= now < cut.until for cut in self.cuts)
