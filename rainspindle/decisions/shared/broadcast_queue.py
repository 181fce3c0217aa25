"""Queue of updates that are each broadcast a bounded number of times, the least sent first."""

from __future__ import annotations

import functools
import math
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

MIN_TRANSMISSIONS = 8  # with fewer, updates get lost in a small fleet with an unreliable network
TRANSMISSIONS_PER_DECADE = 5.0  # transmissions added when the number of members grows tenfold
MAX_MISSES = 4  # updates that do not fit into a datagram after which the search ends


@functools.lru_cache(8192)
def transmission_limit(members: int) -> int:
    """Returns how many times each member sends an update in a fleet of `members` members."""
    return max(math.ceil(TRANSMISSIONS_PER_DECADE * math.log10(members + 2)), MIN_TRANSMISSIONS)


class BroadcastQueue(Generic[Key]):
    """Keys of pending updates, ordered by how often each was sent.

    New updates go first, so older ones cannot delay them. Drawback: if more than `max_keys` updates are
    pending, those sent most often are dropped, and members that miss one only learn of it by anti-entropy.

    Attributes:
        counts: Number of times each pending update was sent, by key.
    """

    def __init__(self, max_keys: int) -> None:
        self.counts: dict[Key, int] = {}
        self._max_keys = max_keys
        self._by_count: list[dict[Key, None]] = [{}]

    def __len__(self) -> int:
        return len(self.counts)

    @property
    def has_unsent(self) -> bool:
        """Whether the queue holds an update that was never sent."""
        return bool(self._by_count[0])

    def add(self, key: Key, sent: int = 0) -> None:
        """Queues an update as one that was sent `sent` times already; replaces one with the same key."""
        self.drop(key)
        if len(self.counts) >= self._max_keys:
            most_sent = next(keys for keys in reversed(self._by_count) if keys)
            self.drop(next(iter(most_sent)))
        self._place(key, sent)

    def drop(self, key: Key) -> None:
        """Removes an update from the queue; does nothing if it is not queued."""
        count = self.counts.pop(key, None)
        if count is not None:
            del self._by_count[count][key]

    def record_received(self, key: Key, limit: int) -> None:
        """Records that another member sent the same update, which counts as one transmission.

        This avoids traffic for updates that every member knows. As the same few members may be sending it to
        one another, an update is sent MIN_TRANSMISSIONS times in any case.
        """
        if self.counts.get(key, 0) >= MIN_TRANSMISSIONS:
            self.record_sent(key, limit)

    def record_sent(self, key: Key, limit: int) -> None:
        """Records a transmission of the update, and removes it after `limit` transmissions."""
        count = self.counts.get(key)
        if count is None:
            return
        self.drop(key)
        if count + 1 < limit:
            self._place(key, count + 1)

    def pick(self, room: int, max_picked: int, size: Callable[[Key], int]) -> list[Key]:
        """Returns the keys of the least sent updates that together fit in `room` bytes.

        Args:
            room: Available space in bytes.
            max_picked: Maximum number of updates.
            size: Returns the size of an update in bytes, or 0 if it is obsolete and can be dropped.
        """
        picked: list[Key] = []
        obsolete: list[Key] = []
        misses = 0
        for keys in self._by_count:
            for key in keys:
                key_size = size(key)
                if not key_size:
                    obsolete.append(key)
                elif key_size <= room:
                    picked.append(key)
                    room -= key_size
                else:
                    misses += 1
                if len(picked) >= max_picked or misses >= MAX_MISSES:
                    break
            if len(picked) >= max_picked or misses >= MAX_MISSES:
                break
        for key in obsolete:
            self.drop(key)
        return picked

    def _place(self, key: Key, count: int) -> None:
        while len(self._by_count) <= count:
            self._by_count.append({})
        self._by_count[count][key] = None
        self.counts[key] = count
