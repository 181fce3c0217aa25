"""Updates to be broadcast a bounded number of times each, those sent least often first."""

from __future__ import annotations

import functools
import math
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

MIN_TRANSMISSIONS = 8  # fewer are lost on a bad line of a small fleet
TRANSMISSIONS_PER_DECADE = 5.0  # for each tenfold of members
MAX_MISSES = 4  # updates that do not fit, after which no more are looked at


@functools.lru_cache(8192)
def transmissions(members: int) -> int:
    """Returns how often one member sends an update, in a fleet of so many."""
    return max(math.ceil(TRANSMISSIONS_PER_DECADE * math.log10(members + 2)), MIN_TRANSMISSIONS)


class BroadcastQueue(Generic[Key]):
    """The keys of updates, by how often each was sent.

    Guards against updates that crowd out later ones. May hurt where over `max_keys` come at once: those sent
    most often give way, and the exchange of whole states mends the rest.

    Attributes:
        counts: How often each update was sent.
    """

    def __init__(self, max_keys: int) -> None:
        self.counts: dict[Key, int] = {}
        self._max_keys = max_keys
        self._by_count: list[dict[Key, None]] = [{}]

    def __len__(self) -> int:
        return len(self.counts)

    @property
    def has_unsent(self) -> bool:
        """Whether an update was never sent."""
        return bool(self._by_count[0])

    def add(self, key: Key, sent: int = 0) -> None:
        """Queues an update, as if it had been `sent` so often."""
        self.drop(key)
        if len(self.counts) >= self._max_keys:
            most_sent = next(keys for keys in reversed(self._by_count) if keys)
            self.drop(next(iter(most_sent)))
        self._place(key, sent)

    def drop(self, key: Key) -> None:
        """Takes an update off the queue."""
        count = self.counts.pop(key, None)
        if count is not None:
            del self._by_count[count][key]

    def record_heard(self, key: Key, limit: int) -> None:
        """Records that others send the update too.

        Guards against traffic for what all know. May hurt where the same few tell it to one another, so it is
        sent a few times in any case.
        """
        if self.counts.get(key, 0) >= MIN_TRANSMISSIONS:
            self.record_sent(key, limit)

    def record_sent(self, key: Key, limit: int) -> None:
        """Records that the update was sent once more; after `limit` times it is done."""
        count = self.counts.get(key)
        if count is None:
            return
        self.drop(key)
        if count + 1 < limit:
            self._place(key, count + 1)

    def pick(self, room: int, max_picked: int, size: Callable[[Key], int]) -> list[Key]:
        """Returns updates that together fit in `room` bytes.

        Args:
            room: The bytes.
            max_picked: How many at most.
            size: Returns an update's bytes; 0 if there is nothing to send of it any more.
        """
        picked: list[Key] = []
        void: list[Key] = []
        misses = 0
        for keys in self._by_count:
            for key in keys:
                needs = size(key)
                if not needs:
                    void.append(key)
                elif needs <= room:
                    picked.append(key)
                    room -= needs
                else:
                    misses += 1
                if len(picked) >= max_picked or misses >= MAX_MISSES:
                    break
            if len(picked) >= max_picked or misses >= MAX_MISSES:
                break
        for key in void:
            self.drop(key)
        return picked

    def _place(self, key: Key, count: int) -> None:
        while len(self._by_count) <= count:
            self._by_count.append({})
        self._by_count[count][key] = None
        self.counts[key] = count
