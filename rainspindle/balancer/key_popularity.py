"""How much of this sidecar's traffic each key makes."""

from __future__ import annotations

from collections.abc import Callable


def own_share(_key: str, share: float) -> float:
    """Returns the share that this sidecar counted itself."""
    return share


class KeyPopularity:
    """Requests by key, halved now and then.

    Attributes:
        counts: Requests by key.
        total: Requests of all keys.
        adjust_share: Returns the share to go by, given a key and the share counted here; replaced where peers
            tell theirs.
    """

    MAX_TOTAL = 128.0  # requests by which hot keys are known, at most
    MIN_TOTAL = 8.0  # and at least

    def __init__(self) -> None:
        self.counts: dict[str, float] = {}
        self.total = 0.0
        self.adjust_share: Callable[[str, float], float] = own_share

    def record(self, key: str) -> None:
        """Counts a request."""
        self.counts[key] = self.counts.get(key, 0.0) + 1
        self.total += 1
        if self.total >= self.MAX_TOTAL:
            self.counts = {other: count / 2 for other, count in self.counts.items() if count > 1}
            self.total /= 2

    def share(self, key: str) -> float:
        """Returns the part of the traffic that the key makes, beyond one request."""
        share = (self.counts.get(key, 1.0) - 1) / max(self.total, self.MIN_TOTAL)
        return self.adjust_share(key, share)
