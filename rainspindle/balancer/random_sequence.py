"""Reproducible random fractions, the balancer's only source of chance."""

from __future__ import annotations

import zlib


class RandomSequence:
    """Uniform fractions from a seed; sidecars that share a seed draw the same ones."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._drawn = 0

    def fraction(self) -> float:
        """Returns the next fraction, 0 or more and below 1."""
        self._drawn += 1
        return zlib.crc32(b"%d:%d" % (self._seed, self._drawn)) / 2**32
