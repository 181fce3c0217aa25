"""Each key's share of this sidecar's traffic."""

from __future__ import annotations

from collections.abc import Callable


def own_share(_key: str, share: float) -> float:
    """Returns the share that this sidecar counted, unchanged."""
    return share


class KeyPopularity:
    """Counts requests by key; the counts are halved whenever their total reaches a limit.

    Attributes:
        counts: The requests of each key.
        total: The requests of all keys.
        adjust_share: Returns the share to use, given a key and the share counted here; replaced where peers
            report theirs.
    """

    MAX_TOTAL = 128.0  # total at which the counts are halved
    MIN_TOTAL = 8.0  # smallest divisor of a share, while few requests have been counted

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
        """Returns the key's share of the traffic, without its first request."""
        share = (self.counts.get(key, 1.0) - 1) / max(self.total, self.MIN_TOTAL)
        return self.adjust_share(key, share)
