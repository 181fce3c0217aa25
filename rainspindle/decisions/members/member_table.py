"""The records of all known members, with digests to compare them with another member's records."""

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

REPLAY_WINDOW = 512  # numbers below the highest one received that are still accepted from a sender
STATUSES = {
    Status.ALIVE: MemberStatus.ALIVE,
    Status.SUSPECT: MemberStatus.SUSPECT,
    Status.DEAD: MemberStatus.DEAD,
    Status.LEFT: MemberStatus.LEFT,
}


@dataclass(slots=True)
class MemberRecord:
    """Everything that this process stores about one member.

    Attributes:
        name: Name, unique in the fleet.
        packed_address: Address in its encoded form.
        incarnation: Number of the member's start.
        refutation: Number that the member increases within an incarnation to refute a suspicion.
        status: Believed status.
        status_since: Time since when the member has had this status, as far as is known.
        heard_at: Time of the latest evidence of this incarnation from any source.
        heard_directly_at: Time of the last message from the member itself; -inf if never.
        highest_number: Highest number of a datagram received from this incarnation.
        received_numbers: Bit mask of the received datagrams; bit n stands for `highest_number` - n.
        informed_at: Time at which the member was last sent its own believed state.
        suspicion: The suspicion while the member is suspected, else None.
        digest: Hash of the fields that anti-entropy compares.
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
        """Address at which the member receives datagrams."""
        return wire.unpack_address(self.packed_address)

    @property
    def is_living(self) -> bool:
        """Whether the member is alive or suspected."""
        return self.status <= Status.SUSPECT

    def to_member(self) -> Member:
        """Returns the public view of the record."""
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
        """Returns whether a datagram's number is new, and records it.

        Detects datagrams that were duplicated by the network or replayed by a third party.
        """
        distance = self.highest_number - number
        if distance < 0:
            window = (1 << REPLAY_WINDOW) - 1
            shifted = self.received_numbers << -distance if -distance < REPLAY_WINDOW else 0
            self.received_numbers = (shifted | 1) & window
            self.highest_number = number
            return True
        if distance >= REPLAY_WINDOW or self.received_numbers >> distance & 1:
            return False
        self.received_numbers |= 1 << distance
        return True


class MemberTable:
    """The records of all members, with digests by partition and a ring of the members alive.

    Attributes:
        records: Records by name, including this process's own.
    """

    def __init__(self, own_name: str, max_members: int) -> None:
        self.records: dict[str, MemberRecord] = {}
        self._own_name = own_name
        self._max_members = max_members
        self._partitions: list[dict[str, None]] = [{} for _ in range(wire.TABLE_PARTITIONS)]
        self._digests = [0] * wire.TABLE_PARTITIONS
        self._gone: dict[str, None] = {}  # members that are dead or left, in the order of their departure
        # Caches; None after a change.
        self._living: list[MemberRecord] | None = None
        self._alive: list[MemberRecord] | None = None
        self._next: MemberRecord | None = None  # successor of this member in the ring

    def living(self) -> list[MemberRecord]:
        """Returns the other members that are alive or suspected."""
        if self._living is None:
            self._living = [
                record
                for record in self.records.values()
                if record.is_living and record.name != self._own_name
            ]
        return self._living

    def alive(self) -> list[MemberRecord]:
        """Returns the other members that are alive and not suspected."""
        if self._alive is None:
            self._alive = [record for record in self.living() if record.status == Status.ALIVE]
        return self._alive

    def dead(self) -> list[MemberRecord]:
        """Returns the members believed dead, without those that left."""
        gone = (self.records[name] for name in self._gone)
        return [record for record in gone if record.status == Status.DEAD]

    def gone(self) -> list[str]:
        """Returns the names of members that are dead or left, in the order of their departure."""
        return list(self._gone)

    def ring_distance(self, record: MemberRecord) -> int:
        """Returns the distance from this member's position in the ring to that of the record.

        Positions are hashes of names, so all members agree on the order.
        """
        return zlib.crc32(record.name.encode()) - zlib.crc32(self._own_name.encode()) & 0xFFFFFFFF

    def next_in_ring(self) -> MemberRecord | None:
        """Returns the successor of this member in the ring of members alive, or None if it is alone."""
        if self._next is None:
            self._next = min(self.alive(), key=self.ring_distance, default=None)
        return self._next

    def nearest_in_ring(self, excluded: set[str], not_heard_since: float, count: int) -> list[MemberRecord]:
        """Returns the `count` nearest successors in the ring.

        Members named in `excluded`, and those heard directly since `not_heard_since`, are left out.
        """
        candidates = (
            record
            for record in self.alive()
            if record.heard_directly_at < not_heard_since and record.name not in excluded
        )
        return heapq.nsmallest(max(count, 0), candidates, key=self.ring_distance)

    def add(self, record: MemberRecord) -> bool:
        """Adds a member and returns True, or returns False if the table is full.

        A living member replaces the one that has been dead or gone longest; living members are never evicted.
        """
        if len(self.records) >= self._max_members:
            if not self._gone or not record.is_living:
                return False
            self.remove(next(iter(self._gone)))
        self.records[record.name] = record
        self._partitions[partition_of(record.name)][record.name] = None
        self.update(record)
        return True

    def remove(self, name: str) -> None:
        """Removes a member.

        Raises:
            KeyError: No member has this name.
        """
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
        """Brings digests, caches and the ring up to date after a change of a record.

        The digests leave out the refutations of living members, which spread only by updates.
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
        """Returns the concatenated digests of all partitions."""
        return b"".join(digest.to_bytes(wire.DIGEST_BYTES, "big") for digest in self._digests)

    def differing_partitions(self, digests: bytes) -> list[int]:
        """Returns the numbers of the partitions whose digests differ from another member's `digests`."""
        own = self.digests()
        theirs = digests.ljust(len(own), b"\0")
        return sorted({i // wire.DIGEST_BYTES for i in range(len(own)) if own[i] != theirs[i]})

    def in_partitions(self, partitions: Sequence[int]) -> Iterator[MemberRecord]:
        """Yields the records in the given partitions."""
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
    """Returns the partition of a member; every release must compute the same one."""
    return zlib.crc32(name.encode()) % wire.TABLE_PARTITIONS


def _digest(record: MemberRecord) -> int:
    status = record.status if record.status > Status.SUSPECT else Status.ALIVE
    state = f"{record.name}\0{record.incarnation}\0{int(status)}".encode()
    return int.from_bytes(hashlib.blake2b(state, digest_size=wire.DIGEST_BYTES).digest(), "big")
