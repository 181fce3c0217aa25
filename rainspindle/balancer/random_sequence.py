"""Reproducible random fractions, the balancer's only source of randomness."""

from __future__ import annotations

import zlib


class RandomSequence:
    """Generates uniform fractions from a seed; sidecars with the same seed get the same sequence."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._drawn = 0

    def fraction(self) -> float:
        """Returns the next fraction, at least 0 and below 1."""
        self._drawn += 1
        return zlib.crc32(b"%d:%d" % (self._seed, self._drawn)) / 2**32
