"""How many datagrams may go out: so many a second, and so many at once."""

from __future__ import annotations


class Budget:
    """Guards against traffic that grows with the fleet or with what strangers send; may hurt where much
    changes at once: news then takes longer."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate, self.burst, self.level, self.at = rate, burst, burst, now
        self.refused = 0

    def look(self, now: float) -> float:
        if now > self.at:
            self.level = min(self.level + (now - self.at) * self.rate, self.burst)
            self.at = now
        return self.level

    def take(self, now: float, keep: float = 0.0) -> bool:
        """One datagram, if more than `keep` are left after it."""
        if self.look(now) < 1.0 + keep:
            self.refused += 1
            return False
        self.level -= 1.0
        return True
