"""Spreads registers on the datagrams of the membership protocol: changes by gossip, the rest by digests.

The module does no I/O, reads no clock and is given its source of randomness. The membership decides when and
how much is sent.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterator, Sequence

import msgspec

from ...lazy_dataclasses import dataclass
from ...protocol import members as wire
from .broadcast_queue import BroadcastQueue, transmission_limit
from .registers import Register, RegisterStore, SeenRegister, partition_of

MAX_QUEUED = 4000  # pending register updates
MAX_PAGES = 8  # datagrams with registers sent in answer to one request
MAX_PER_DATAGRAM = 60  # registers or digests
MAX_REQUESTS = 3  # requests in one datagram
MAX_AGE = 2**31 - 1  # maximum age in a message, in milliseconds
MILLISECONDS_PER_SECOND = 1000
DIGEST_BYTES = 8  # size of the digest of all registers of one owner
UPDATE_OVERHEAD = 32  # bytes of an encoded register in addition to its names and its value
PAGE_HEADER = 300  # bytes of a datagram reserved for everything but its registers

Key = tuple[str, str]  # owner, name


@dataclass(frozen=True, slots=True)
class OwnerStatus:
    """What the membership knows about an owner of registers.

    Attributes:
        incarnation: Incarnation of the owner.
        heard_at: Time of the latest evidence of the owner from any source.
    """

    incarnation: int
    heard_at: float


class RegisterGossip:
    """Sends and receives the registers of a store.

    Attributes:
        store: The registers of this member and its copies of others'.
        queue: Registers whose changes are pending, as pairs of owner and name.
        outdated: Number of updates rejected because they were older than `retention`.
        retention: Seconds for which registers are kept after the last evidence of their owner.
    """

    def __init__(
        self, store: RegisterStore, random_source: random.Random, retention: float = 86_400.0
    ) -> None:
        self.store = store
        self.queue: BroadcastQueue[Key] = BroadcastQueue(MAX_QUEUED)
        self.outdated = 0
        self._random = random_source
        self.retention = retention
        self._digest_round: list[str] = []  # owners whose digests are still to be sent in this round

    # Changes.

    def queue_changes(self) -> set[str]:
        """Queues the registers changed in the store; returns the members to send them to first."""
        priority_members: set[str] = set()
        for key, toward in self.store.unsent.items():
            self.queue.add(key)
            priority_members.update(toward)
        self.store.unsent.clear()
        return priority_members

    def take_updates(self, now: float, room: int, members: int) -> list[msgspec.Raw]:
        """Returns encoded pending registers that fit in `room` bytes, and counts each as sent once."""
        if not self.queue:
            return []
        keys = self.queue.pick(room, MAX_PER_DATAGRAM, self._size)
        limit = transmission_limit(members)
        for key in keys:
            self.queue.record_sent(key, limit)
        return [self._encode(now, key) for key in keys]

    def on_update(self, now: float, update: wire.RegisterUpdate, members: int) -> None:
        """Merges a register that another member sent, unless it is too old."""
        age = update.age / MILLISECONDS_PER_SECOND
        if age > self.retention:
            self.outdated += 1
            return
        known = self.store.by_name.get(update.name, {}).get(update.owner)
        if known is not None and (update.incarnation, update.sequence) == known.register.order:
            self.queue.record_received((update.owner, update.name), transmission_limit(members))
        register = Register(update.owner, update.name, update.incarnation, update.sequence, update.value)
        self.store.merge(now, register, age)

    # Digests; each covers all registers of one owner.

    def digests(
        self, now: float, room: int, status_of: Callable[[str], OwnerStatus | None]
    ) -> list[msgspec.Raw]:
        """Returns the digest of this member's registers and those of as many other owners as fit.

        Successive calls go through all owners in a random order.

        Args:
            now: The current time.
            room: Available space in bytes.
            status_of: Returns what is known about an owner, or None if it is not a known member.
        """
        own = self._own_digest()
        digests = [own]
        room -= len(own)
        if not self._digest_round:
            self._digest_round = [name for name in self.store.by_owner if name != self.store.own_name]
            self._random.shuffle(self._digest_round)
        while self._digest_round and len(digests) < MAX_PER_DATAGRAM:
            owner = self._digest_round[-1]
            digest = self._digest(now, owner, status_of(owner))
            if digest is not None:
                if len(digest) > room:
                    break
                digests.append(digest)
                room -= len(digest)
            self._digest_round.pop()
        return digests

    def compare(self, now: float, digests: Sequence[wire.RegisterDigest]) -> list[wire.RegisterRequest]:
        """Compares another member's digests with the registers here.

        Registers with equal digests are confirmed; for differing ones, requests are returned.
        """
        requests: list[wire.RegisterRequest] = []
        for digest in digests:
            age = digest.age / MILLISECONDS_PER_SECOND
            if age > self.retention:
                continue
            if int.from_bytes(digest.digest, "big") == self.store.digest_of(digest.owner):
                if digest.owner != self.store.own_name and digest.owner in self.store.by_owner:
                    self.store.confirm(now, digest.owner, age)
            elif len(requests) < MAX_REQUESTS:
                requests.append(wire.RegisterRequest(digest.owner, self._partition_digests(digest.owner)))
        return requests

    def answer(self, now: float, request: wire.RegisterRequest) -> list[list[msgspec.Raw]]:
        """Returns the registers that the requester lacks or has in another state, split by datagram.

        The registers written last come first, then others in random order, in at most MAX_PAGES datagrams.
        """
        pages: list[list[msgspec.Raw]] = [[]]
        page_size = wire.MAX_DATAGRAM - PAGE_HEADER
        room = page_size
        for name in self._differing(request):
            update = self._encode(now, (request.owner, name))
            if len(update) > room or len(pages[-1]) >= MAX_PER_DATAGRAM:
                if len(pages) >= MAX_PAGES:
                    break
                pages.append([])
                room = page_size
            pages[-1].append(update)
            room -= len(update)
        return [page for page in pages if page]

    # Expiry.

    def forget_owners(self, now: float, is_living: Callable[[str], bool]) -> None:
        """Discards the registers of owners that are gone and without evidence for the retention time."""
        for owner in list(self.store.by_owner):
            if owner == self.store.own_name or is_living(owner):
                continue
            last_evidence_at = max(self.store.confirmed_at(owner), self._newest(owner))
            if now - last_evidence_at > self.retention:
                self.store.forget_owner(owner)

    def _size(self, key: Key) -> int:
        seen = self.store.by_name.get(key[1], {}).get(key[0])
        if seen is None:
            return 0
        return len(seen.register.value) + len(key[0]) + len(key[1]) + UPDATE_OVERHEAD

    def _encode(self, now: float, key: Key) -> msgspec.Raw:
        seen: SeenRegister = self.store.by_name[key[1]][key[0]]
        register = seen.register
        heard_at = self.store.with_confirmation(seen).heard_at
        if register.owner == self.store.own_name:
            heard_at = now
        return wire.raw(
            wire.RegisterUpdate(
                register.owner,
                register.name,
                register.incarnation,
                register.sequence,
                register.value,
                _milliseconds(now - heard_at),
            )
        )

    def _own_digest(self) -> msgspec.Raw:
        own = self.store.own_name
        digest = self.store.digest_of(own).to_bytes(DIGEST_BYTES, "big")
        return wire.raw(wire.RegisterDigest(own, self.store.incarnation, digest, 0))

    def _digest(self, now: float, owner: str, status: OwnerStatus | None) -> msgspec.Raw | None:
        confirmed_at = self.store.confirmed_at(owner)
        if confirmed_at == -math.inf:  # the set was never confirmed: use the age of its newest register
            confirmed_at = self._newest(owner)
        age = now - confirmed_at
        if age > self.retention:
            return None
        digest = self.store.digest_of(owner).to_bytes(DIGEST_BYTES, "big")
        incarnation = status.incarnation if status else 0
        return wire.raw(wire.RegisterDigest(owner, incarnation, digest, _milliseconds(age)))

    def _newest(self, owner: str) -> float:
        heard = (seen.heard_at for seen in self.store.by_owner.get(owner, {}).values())
        return max(heard, default=-math.inf)

    def _partition_digests(self, owner: str) -> bytes:
        digests = [digest & 0xFFFFFFFF for digest in self.store.partition_digests(owner)]
        if not any(digests):
            return b""
        return b"".join(digest.to_bytes(wire.DIGEST_BYTES, "big") for digest in digests)

    def _differing(self, request: wire.RegisterRequest) -> Iterator[str]:
        """Yields the names of the registers in differing partitions, the latest written ones first."""
        empty = bytes(wire.REGISTER_PARTITIONS * wire.DIGEST_BYTES)
        own = self._partition_digests(request.owner) or empty
        theirs = request.digests or empty
        differing = {i // wire.DIGEST_BYTES for i in range(len(own)) if own[i : i + 1] != theirs[i : i + 1]}
        registers = self.store.by_owner.get(request.owner, {})
        names = [name for name in reversed(registers) if partition_of(name) in differing]
        older = names[MAX_PER_DATAGRAM:]
        self._random.shuffle(older)
        yield from names[:MAX_PER_DATAGRAM]
        yield from older


def _milliseconds(seconds: float) -> int:
    return min(max(int(seconds * MILLISECONDS_PER_SECOND), 0), MAX_AGE)
