"""How much of other sites' work a site takes in: its own clients come first."""

from __future__ import annotations

from collections.abc import Callable


class Intake:
    """A window on foreign exchanges under way: grown by those that end well while it is full, halved when own
    exchanges end badly, and never over a stated part of all that is under way."""

    START, LEAST, MOST = 4.0, 1.0, 4096.0
    EASE = 0.5  # seconds between two halvings: what failed together is one sign
    SMOOTH = 0.2
    SHARE = 0.02  # of own exchanges may end badly before it counts as a sign
    SWEEP = 0.2

    def __init__(self, now: float, part: float, floor: int, log: Callable[[str], None]) -> None:
        """`part` (below 1) of all under way may be foreign; `floor` exchanges may in any case."""
        self.part, self.floor, self.log = part, floor, log
        self.window, self.eased_at, self.swept = self.START, now, now
        self.own, self.foreign = 0, 0
        self.usual_own = 0.0
        self.bad = 0.0  # the part of own exchanges that lately ended badly
        self.turned_away = 0
        self.closed = False

    def most(self) -> float:
        """Foreign exchanges that may be under way now."""
        allowed = self.part / (1 - self.part) * max(self.usual_own, self.own)
        return max(min(self.window, max(allowed, self.floor)), 0.0)

    def admit(self, now: float) -> bool:
        self.tick(now)
        if self.foreign >= self.most():
            self.turned_away += 1
            if not self.closed:
                self.closed = True
                self.log(f"foreign exchanges turned away: {self.foreign} under way, "
                         f"window {self.window:.1f}, {self.own} own")
            return False
        self.closed = False
        self.foreign += 1
        return True

    def foreign_ended(self, now: float, good: bool) -> None:
        filled = self.foreign + 1 >= self.window
        self.foreign -= 1
        if not good:
            self.ease(now)
        elif filled and self.bad <= self.SHARE / 2:  # no more while own clients feel it
            self.window = min(self.window + 1 / self.window, self.MOST)

    def own_began(self, now: float) -> None:
        self.own += 1

    def own_ended(self, now: float, good: bool) -> None:
        self.own -= 1
        self.bad += 0.01 * ((not good) - self.bad)
        if not good and self.bad > self.SHARE and self.foreign:
            self.ease(now)

    def ease(self, now: float) -> None:
        if now - self.eased_at >= self.EASE:
            self.window, self.eased_at = max(self.LEAST, self.window / 2), now

    def tick(self, now: float) -> None:
        if now - self.swept >= self.SWEEP:
            self.swept = now
            self.usual_own += self.SMOOTH * (self.own - self.usual_own)
