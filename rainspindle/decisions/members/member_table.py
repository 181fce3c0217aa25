"""All members that one member knows of, and how they compare with what another knows."""

from __future__ import annotations

import hashlib
import heapq
import math
import zlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from ...protocol import members as wire
from ...protocol.members import Status
from ...transport.address import Address
from .member import Member, MemberStatus
from .suspicion import Suspicion

REPLAY_WINDOW = 512  # datagrams of one sender that may come after a later one
STATUSES = {
    Status.ALIVE: MemberStatus.ALIVE,
    Status.SUSPECT: MemberStatus.SUSPECT,
    Status.DEAD: MemberStatus.DEAD,
    Status.LEFT: MemberStatus.LEFT,
}


@dataclass(slots=True)
class MemberRecord:
    """One member as it is believed to be.

    Attributes:
        name: Unique in the fleet.
        packed_address: As on the wire.
        incarnation: Of its process.
        refutation: Its own, within the incarnation.
        status: What it is believed to be.
        status_since: When that became so, as far as is known.
        heard_at: When anything of this incarnation was last heard.
        heard_directly_at: When a message of it came here itself.
        highest_number: Of a datagram of this incarnation.
        received_numbers: Bits of those that came below it.
        informed_at: When it was last told what is believed of it.
        suspicion: While it is suspected.
        digest: Of what others compare.
    """

    name: str
    packed_address: bytes
    incarnation: int
    refutation: int
    status: Status
    status_since: float
    heard_at: float
    heard_directly_at: float = -math.inf
    highest_number: int = 0
    received_numbers: int = 0
    informed_at: float = -math.inf
    suspicion: Suspicion | None = None
    digest: int = 0

    @property
    def address(self) -> Address:
        """Where it hears the others."""
        return wire.unpack_address(self.packed_address)

    @property
    def is_living(self) -> bool:
        """Whether it is alive or suspected."""
        return self.status <= Status.SUSPECT

    def member(self) -> Member:
        """Returns it as others see it."""
        return Member(
            self.name,
            self.address,
            self.incarnation,
            self.refutation,
            STATUSES[self.status],
            self.heard_at,
            self.heard_directly_at,
        )

    def accept_number(self, number: int) -> bool:
        """Returns whether a datagram's number is new, and remembers it.

        Guards against a datagram that comes twice, or is sent again by somebody later.
        """
        behind = self.highest_number - number
        if behind < 0:
            window = (1 << REPLAY_WINDOW) - 1
            shifted = self.received_numbers << -behind if -behind < REPLAY_WINDOW else 0
            self.received_numbers = (shifted | 1) & window
            self.highest_number = number
            return True
        if behind >= REPLAY_WINDOW or self.received_numbers >> behind & 1:
            return False
        self.received_numbers |= 1 << behind
        return True


class MemberTable:
    """The records of all members, with digests by partition and a ring of those alive.

    Attributes:
        records: By name, the own one among them.
    """

    def __init__(self, own_name: str, max_members: int) -> None:
        self.records: dict[str, MemberRecord] = {}
        self._own_name = own_name
        self._max_members = max_members
        self._partitions: list[dict[str, None]] = [{} for _ in range(wire.TABLE_PARTITIONS)]
        self._digests = [0] * wire.TABLE_PARTITIONS
        self._gone: dict[str, None] = {}  # the dead and those who left, the first to go first
        self._living: list[MemberRecord] | None = None  # made anew after changes
        self._alive: list[MemberRecord] | None = None
        self._next: MemberRecord | None = None  # the next alive in the ring, where that is known

    def living(self) -> list[MemberRecord]:
        """Returns the others that are alive or suspected."""
        if self._living is None:
            self._living = [
                record
                for record in self.records.values()
                if record.is_living and record.name != self._own_name
            ]
        return self._living

    def alive(self) -> list[MemberRecord]:
        """Returns the others that nobody is known to suspect."""
        if self._alive is None:
            self._alive = [record for record in self.living() if record.status == Status.ALIVE]
        return self._alive

    def dead(self) -> list[MemberRecord]:
        """Returns those believed dead."""
        gone = (self.records[name] for name in self._gone)
        return [record for record in gone if record.status == Status.DEAD]

    def gone(self) -> list[str]:
        """Returns the names of the dead and of those who left, the first to go first."""
        return list(self._gone)

    def ring_distance(self, record: MemberRecord) -> int:
        """Returns how far it stands behind the own name in the ring, which is the same at each member."""
        return zlib.crc32(record.name.encode()) - zlib.crc32(self._own_name.encode()) & 0xFFFFFFFF

    def next_in_ring(self) -> MemberRecord | None:
        """Returns who comes after the own name in the ring of those alive."""
        if self._next is None:
            self._next = min(self.alive(), key=self.ring_distance, default=None)
        return self._next

    def nearest_in_ring(self, excluded: set[str], not_heard_since: float, count: int) -> list[MemberRecord]:
        """Returns the first so many after the own name, without some and those heard lately."""
        candidates = (
            record
            for record in self.alive()
            if record.heard_directly_at < not_heard_since and record.name not in excluded
        )
        return heapq.nsmallest(max(count, 0), candidates, key=self.ring_distance)

    def add(self, record: MemberRecord) -> bool:
        """Adds a member; returns False where there is no room, as those who live do not give way."""
        if len(self.records) >= self._max_members:
            if not self._gone or not record.is_living:
                return False
            self.remove(next(iter(self._gone)))
        self.records[record.name] = record
        self._partitions[partition_of(record.name)][record.name] = None
        self.update(record)
        return True

    def remove(self, name: str) -> None:
        """Forgets a member."""
        record = self.records.pop(name)
        partition = partition_of(name)
        del self._partitions[partition][name]
        self._digests[partition] ^= record.digest
        self._gone.pop(name, None)
        self._living = None
        self._alive = None
        if record is self._next:
            self._next = None

    def update(self, record: MemberRecord) -> None:
        """Takes in any change of a record.

        Refutations of the living are left out of the digests: they pass by updates alone.
        """
        digest = _digest(record)
        self._digests[partition_of(record.name)] ^= digest ^ record.digest
        record.digest = digest
        if record.is_living:
            self._gone.pop(record.name, None)
        else:
            self._gone.setdefault(record.name)
        self._living = None
        self._alive = None
        self._update_ring(record)

    def digests(self) -> bytes:
        """Returns the digests of all partitions."""
        return b"".join(one.to_bytes(wire.DIGEST_BYTES, "big") for one in self._digests)

    def differing_partitions(self, digests: bytes) -> list[int]:
        """Returns the partitions that another has otherwise."""
        own = self.digests()
        theirs = digests.ljust(len(own), b"\0")
        return sorted({n // wire.DIGEST_BYTES for n in range(len(own)) if own[n] != theirs[n]})

    def in_partitions(self, partitions: Sequence[int]) -> Iterator[MemberRecord]:
        """Yields the records of some partitions."""
        for partition in partitions:
            for name in self._partitions[partition]:
                yield self.records[name]

    def _update_ring(self, record: MemberRecord) -> None:
        if record is self._next:
            self._next = record if record.status == Status.ALIVE else None
            return
        if self._next is None or record.status != Status.ALIVE or record.name == self._own_name:
            return
        if self.ring_distance(record) < self.ring_distance(self._next):
            self._next = record


def partition_of(name: str) -> int:
    """Returns which partition a member is in; the same in each release."""
    return zlib.crc32(name.encode()) % wire.TABLE_PARTITIONS


def _digest(record: MemberRecord) -> int:
    status = record.status if record.status > Status.SUSPECT else Status.ALIVE
    state = f"{record.name}\0{record.incarnation}\0{int(status)}".encode()
    return int.from_bytes(hashlib.blake2b(state, digest_size=wire.DIGEST_BYTES).digest(), "big")
