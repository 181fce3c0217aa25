"""What is to be told on, a bounded number of times each, the least told first."""

from __future__ import annotations

import functools
import math
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

SURE = 8  # times that each is told at least: fewer are lost on a bad line of a small fleet
PER_DECADE = 5.0  # times that each news is told for each tenfold of members


@functools.lru_cache(8192)
def times(members: int) -> int:
    """How often one member tells a news on, in a fleet of so many."""
    return max(math.ceil(PER_DECADE * math.log10(members + 2)), SURE)


class Repeats(Generic[Key]):
    """Guards against news that crowds out later news; may hurt where over `most` come at once: those told
    most often give way, and whole states mend the rest."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.levels: list[dict[Key, None]] = [{}]  # by how often it was told
        self.at: dict[Key, int] = {}

    def __len__(self) -> int:
        return len(self.at)

    @property
    def untold(self) -> bool:
        return bool(self.levels[0])

    def add(self, key: Key, level: int = 0) -> None:
        """`level`: as if it had been told so often."""
        self.drop(key)
        if len(self.at) >= self.most:
            last = next(level for level in reversed(self.levels) if level)
            self.drop(next(iter(last)))
        self.place(key, level)

    def drop(self, key: Key) -> None:
        level = self.at.pop(key, None)
        if level is not None:
            del self.levels[level][key]

    def heard(self, key: Key, limit: int) -> None:
        """Others tell it too. Guards against traffic for what all know; may hurt where it is the same few
        that tell it to one another, so a few times it is told in any case."""
        if self.at.get(key, 0) >= SURE:
            self.told(key, limit)

    def told(self, key: Key, limit: int) -> None:
        """It was told once more."""
        level = self.at.get(key)
        if level is None:
            return
        self.drop(key)
        if level + 1 < limit:
            self.place(key, level + 1)

    def place(self, key: Key, level: int) -> None:
        while len(self.levels) <= level:
            self.levels.append({})
        self.levels[level][key] = None
        self.at[key] = level

    def pick(self, room: int, most: int, size: Callable[[Key], int]) -> list[Key]:
        """Keys that together fit in `room` bytes. `size` 0: there is nothing to tell of it any more."""
        picked: list[Key] = []
        gone: list[Key] = []
        misses = 0
        for level in self.levels:
            for key in level:
                needs = size(key)
                if not needs:
                    gone.append(key)
                elif needs <= room:
                    picked.append(key)
                    room -= needs
                else:
                    misses += 1
                if len(picked) >= most or misses >= 4:
                    break
            if len(picked) >= most or misses >= 4:
                break
        for key in gone:
            self.drop(key)
        return picked
