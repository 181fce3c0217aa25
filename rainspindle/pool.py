"""What the other sidecars of a pool last told, added up. No decisions here."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection

from .host import Facts


class Pool:
    """What the other sidecars last told: what endpoints hold of theirs, what tenants ask, what kinds can do.

    Guards against a load that no sidecar of a pool sees by its own exchanges. May hurt where word is old."""

    LASTS = 0.5  # seconds

    def __init__(self) -> None:
        self.held, self.total = Counter[int](), 0  # by endpoint's mark
        self.words: dict[str, tuple[float, Counter[int]]] = {}  # by sidecar: when it told all, its marks
        self.facts: dict[str, tuple[float, Facts]] = {}

    def told(self, now: float, who: str, began: Collection[int], ended: Collection[int], whole: bool) -> None:
        """What has changed at another sidecar, or the whole of what it has out.

        Guards against memory and counts that grow: changes count only on top of a whole that is not old."""
        at, marks = self.words.get(who, (-math.inf, Counter[int]()))
        if whole:
            at = now
            self.held.subtract(marks)
            self.total -= marks.total()
            marks.clear()
        elif now - at > self.LASTS:
            return
        for counts in (self.held, marks):
            counts.update(began)
            counts.subtract(ended)
        self.total += len(began) - len(ended)
        self.words[who] = at, marks

    def learnt(self, now: float, who: str, facts: Facts) -> None:
        self.facts[who] = now, facts

    def gone(self, now: float, who: str) -> None:
        """A sidecar is known to be dead: what it told counts for nothing."""
        if who in self.words:
            self.drop_word(now, who)
        self.facts.pop(who, None)

    def drop_word(self, now: float, who: str) -> None:
        self.told(now, who, (), (), whole=True)
        del self.words[who]

    def sweep(self, now: float) -> None:
        for who in [who for who, (at, _) in self.words.items() if now - at > self.LASTS]:
            self.drop_word(now, who)
        self.facts = {who: told for who, told in self.facts.items() if now - told[0] < 6 * self.LASTS}
        for counts in (self.held, *(marks for _, marks in self.words.values())):
            for mark in [mark for mark, count in counts.items() if not count]:
                del counts[mark]
