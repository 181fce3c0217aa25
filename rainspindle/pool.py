"""What the other sidecars of a pool last told, added up. No decisions here."""

from __future__ import annotations

from collections.abc import Collection

from .host import Facts


class Pool:
    """What the other sidecars last told: what endpoints hold of theirs, what tenants ask, what kinds can do.

    Guards against a load that no sidecar of a pool sees by its own exchanges. May hurt where word is old."""

    LASTS = 0.5  # seconds

    def __init__(self) -> None:
        self.held: dict[int, int] = {}  # by endpoint's mark
        self.total = 0
        self.words: dict[str, tuple[float, Collection[int]]] = {}  # a mark for each exchange out, by sidecar
        self.facts: dict[str, tuple[float, Facts]] = {}

    def told(self, now: float, who: str, marks: Collection[int]) -> None:
        self.add(self.words.get(who, (now, ()))[1], -1)
        self.words[who] = now, marks
        self.add(marks, 1)

    def add(self, marks: Collection[int], sign: int) -> None:
        for mark in marks:
            self.held[mark] = self.held.get(mark, 0) + sign
        self.total += sign * len(marks)

    def sweep(self, now: float) -> None:
        for who in [who for who, (at, _) in self.words.items() if now - at > self.LASTS]:
            self.add(self.words.pop(who)[1], -1)
        self.facts = {who: told for who, told in self.facts.items() if now - told[0] < 6 * self.LASTS}
        self.held = {mark: count for mark, count in self.held.items() if count}
