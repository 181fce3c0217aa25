"""All members that one member knows of, and how they compare with what another knows."""

from __future__ import annotations

import hashlib
import heapq
import math
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field

from ...protocol import members as wire
from ...transport.address import Address
from .health import Suspicion
from .members import Member, Standing

WINDOW = 512  # datagrams of one sender that may come after a later one
STANDINGS = (Standing.ALIVE, Standing.SUSPECT, Standing.DEAD, Standing.LEFT)


@dataclass(slots=True)
class Record:
    """One member as it is believed to be."""

    name: str
    packed: bytes  # address
    life: int
    incarnation: int
    standing: int
    since: float  # when its standing became so, as far as is known
    heard: float
    direct: float = -math.inf
    top: int = 0  # the highest number of a datagram of this life
    got: int = 0  # bits of those that came below it
    told: float = -math.inf  # when it was last told what is believed of it
    suspicion: Suspicion | None = None
    mark: int = 0

    @property
    def address(self) -> Address:
        return wire.unpack_address(self.packed)

    @property
    def living(self) -> bool:
        return self.standing <= wire.SUSPECT

    def member(self) -> Member:
        return Member(
            self.name,
            self.address,
            self.life,
            self.incarnation,
            STANDINGS[self.standing],
            self.heard,
            self.direct,
        )

    def is_new(self, number: int) -> bool:
        """Guards against a datagram that comes twice, or is sent again by somebody later."""
        behind = self.top - number
        if behind < 0:
            self.got = (self.got << -behind | 1) & (1 << WINDOW) - 1 if -behind < WINDOW else 1
            self.top = number
            return True
        if behind >= WINDOW or self.got >> behind & 1:
            return False
        self.got |= 1 << behind
        return True


def bucket_of(name: str) -> int:
    return zlib.crc32(name.encode()) % wire.MARKS


@dataclass(slots=True)
class Table:
    own: str  # whose record stands among the others, but is none of `living`
    most: int
    records: dict[str, Record] = field(default_factory=dict)
    buckets: list[dict[str, None]] = field(default_factory=lambda: [{} for _ in range(wire.MARKS)])
    sums: list[int] = field(default_factory=lambda: [0] * wire.MARKS)
    gone: dict[str, None] = field(default_factory=dict)  # the dead and those who left, the first to go first
    there: list[Record] | None = None  # those who live, made anew after changes
    sound: list[Record] | None = None  # of them those whom nobody suspects
    after: Record | None = None  # the next alive in the ring of all names, where that is known

    def living(self) -> list[Record]:
        if self.there is None:
            self.there = [
                record for record in self.records.values() if record.living and record.name != self.own
            ]
        return self.there

    def alive(self) -> list[Record]:
        if self.sound is None:
            self.sound = [record for record in self.living() if record.standing == wire.ALIVE]
        return self.sound

    def way(self, record: Record) -> int:
        """How far it stands behind the own name in the ring, which is the same at each member."""
        return zlib.crc32(record.name.encode()) - zlib.crc32(self.own.encode()) & 0xFFFFFFFF

    def next(self) -> Record | None:
        """Who comes after the own name in the ring of those alive, where anybody does."""
        if self.after is None:
            self.after = min(self.alive(), key=self.way, default=None)
        return self.after

    def nearest(self, but: set[str], since: float, count: int) -> list[Record]:
        """The first so many after the own name in that ring, without some and those heard `since`."""
        there = (one for one in self.alive() if one.direct < since and one.name not in but)
        return heapq.nsmallest(max(count, 0), there, key=self.way)

    def dead(self) -> list[Record]:
        return [r for name in self.gone if (r := self.records[name]).standing == wire.DEAD]

    def add(self, record: Record) -> bool:
        """False where there is no room: those who live are not put out for others."""
        if len(self.records) >= self.most:
            if not self.gone or not record.living:
                return False
            self.remove(next(iter(self.gone)))
        self.records[record.name] = record
        self.buckets[bucket_of(record.name)][record.name] = None
        self.stand(record)
        return True

    def remove(self, name: str) -> None:
        record = self.records.pop(name)
        bucket = bucket_of(name)
        del self.buckets[bucket][name]
        self.sums[bucket] ^= record.mark
        self.gone.pop(name, None)
        self.there = self.sound = None
        if record is self.after:
            self.after = None

    def stand(self, record: Record) -> None:
        """After any change of a record. Incarnations of the living are left out: they pass by news alone."""
        rank = record.standing if record.standing > wire.SUSPECT else wire.ALIVE
        what = f"{record.name}\0{record.life}\0{rank}".encode()
        mark = int.from_bytes(hashlib.blake2b(what, digest_size=wire.MARK).digest(), "big")
        self.sums[bucket_of(record.name)] ^= mark ^ record.mark
        record.mark = mark
        if record.living:
            self.gone.pop(record.name, None)
        else:
            self.gone.setdefault(record.name)
        self.there = self.sound = None
        if record is self.after:
            self.after = record if record.standing == wire.ALIVE else None
        elif (
            self.after is not None
            and record.standing == wire.ALIVE
            and record.name != self.own
            and self.way(record) < self.way(self.after)
        ):
            self.after = record

    def marks(self) -> bytes:
        return b"".join(one.to_bytes(wire.MARK, "big") for one in self.sums)

    def differing(self, marks: bytes) -> list[int]:
        """Buckets that another has otherwise."""
        own = self.marks()
        theirs = marks.ljust(len(own), b"\0")
        return sorted({n // wire.MARK for n in range(len(own)) if own[n] != theirs[n]})

    def in_buckets(self, buckets: list[int]) -> Iterator[Record]:
        for bucket in buckets:
            for name in self.buckets[bucket]:
                yield self.records[name]
