"""How much of other sites' work a site takes in: its own clients come first."""

from __future__ import annotations

from collections.abc import Callable


class Ends:
    """How exchanges ended lately: two halves of a second, so that two unlucky ones are no sign."""

    LEAST = 3

    def __init__(self) -> None:
        self.bad, self.all = [0, 0], [0, 0]

    def add(self, good: bool) -> None:
        self.bad[0] += not good
        self.all[0] += 1

    def turn(self) -> None:
        self.bad, self.all = [0, self.bad[0]], [0, self.all[0]]

    def over(self, share: float) -> bool:
        return sum(self.bad) >= self.LEAST and sum(self.bad) > share * sum(self.all)


class Intake:
    """A window on foreign exchanges under way: grown by those that end well while it is full, narrowed when
    own
    exchanges end badly, and never over a stated part of all that is under way."""

    START, LEAST, MOST = 4.0, 1.0, 4096.0
    TURN, EASE = 0.5, 1.5  # seconds; between two narrowings: what failed together is one sign
    STEP = 0.3  # for each good end, until it was too much once
    SMOOTH = 0.4
    SHARE, SHARE_FOREIGN = 0.02, 0.1  # of exchanges may end badly before it counts as a sign
    FIRST, FRESH = 0.25, 5.0  # of its own work, that it takes at first; seconds after the last sign
    EASED = 0.7
    CALM = 2.0  # seconds without a sign after which the window may double again

    def __init__(self, now: float, part: float, floor: int, log: Callable[[str], None]) -> None:
        """`part` (below 1) of all under way may be foreign; `floor` exchanges may in any case."""
        self.part, self.floor, self.log = part, floor, log
        self.window, self.enough = self.START, self.MOST  # over `enough` it grows slowly
        self.eased_at = self.turned = self.calm_since = now
        self.own, self.foreign = 0, 0
        self.usual_own = 0.0
        self.own_ends, self.foreign_ends = Ends(), Ends()
        self.turned_away = 0
        self.closed = False

    def most(self) -> float:
        """Foreign exchanges that may be under way now."""
        allowed = self.part / (1 - self.part) * max(self.usual_own, self.own)
        return max(min(self.window, max(allowed, self.floor)), 0.0)

    def admit(self, now: float) -> bool:
        self.tick(now)
        if not self.foreign and now - self.eased_at > self.FRESH:
            # Another site begins to lean on this one: by its own size it can take a part of it at once.
            self.window = max(self.window, self.FIRST * self.usual_own)
        if self.foreign >= self.most():
            self.turned_away += 1
            if not self.closed:
                self.closed = True
                self.log(
                    f"foreign exchanges turned away: {self.foreign} under way, "
                    f"window {self.window:.1f}, {self.own} own"
                )
            return False
        self.closed = False
        self.foreign += 1
        return True

    def foreign_ended(self, now: float, good: bool) -> None:
        filled = self.foreign + 1 >= self.window
        self.foreign -= 1
        self.foreign_ends.add(good)
        if not good and self.foreign_ends.over(self.SHARE_FOREIGN):
            self.ease(now)
        elif good and filled and not self.own_ends.over(self.SHARE / 2):  # no more while own clients feel it
            # Guards against minutes until a large site's work is let in: in good time until it was too much.
            step = self.STEP if self.window < self.enough else 1 / self.window
            self.window = min(self.window + step, self.MOST)

    def own_began(self, now: float) -> None:
        self.own += 1

    def own_ended(self, now: float, good: bool) -> None:
        self.own -= 1
        self.own_ends.add(good)
        if not good and self.foreign and self.own_ends.over(self.SHARE):
            self.ease(now)

    def ease(self, now: float) -> None:
        self.calm_since = now
        if now - self.eased_at >= self.EASE:
            self.window, self.eased_at = max(self.LEAST, self.window * self.EASED), now
            self.enough = self.window

    def tick(self, now: float) -> None:
        if now - self.turned >= self.TURN:
            self.turned = now
            self.usual_own += self.SMOOTH * (self.own - self.usual_own)
            self.own_ends.turn()
            self.foreign_ends.turn()
        if now - self.calm_since >= self.CALM:
            self.calm_since, self.enough = now, max(self.enough, 2 * self.window)
