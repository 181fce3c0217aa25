"""How registers travel on the members' datagrams: changes at once, digests of all of an owner's now and then.

Free of I/O, clock and own chance. What goes out when, and how much, is for the membership to say.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterator, Sequence

import msgspec

from ...lazy_dataclasses import dataclass
from ...protocol import members as wire
from .broadcast_queue import BroadcastQueue, transmissions
from .registers import Register, RegisterStore, SeenRegister, partition_of

MAX_QUEUED = 4000  # registers that wait to be sent
MAX_PAGES = 8  # datagrams of registers that answer one request
MAX_PER_DATAGRAM = 60  # registers, or digests
MAX_REQUESTS = 3  # in one datagram
MAX_AGE = 2**31 - 1  # milliseconds that a message can tell
MILLISECONDS = 1000
DIGEST_BYTES = 8
OVERHEAD = 32  # bytes of a register beside its names and its value
PAGE_HEADER = 300  # bytes of a datagram that are kept for what goes around its registers

Key = tuple[str, str]  # owner, name


@dataclass(frozen=True, slots=True)
class OwnerStatus:
    """What the membership knows of the owner of registers."""

    incarnation: int
    heard_at: float


class RegisterGossip:
    """Sends and receives the registers of a store.

    Attributes:
        store: The registers.
        queue: Those that are to be sent on.
        outdated: Updates that were too old to be taken.
        keep: Seconds for which registers are kept after their owner was last known to be there.
    """

    def __init__(self, store: RegisterStore, random_source: random.Random, keep: float = 86_400.0) -> None:
        self.store = store
        self.queue: BroadcastQueue[Key] = BroadcastQueue(MAX_QUEUED)
        self.outdated = 0
        self._random = random_source
        self.keep = keep
        self._digest_round: list[str] = []  # owners whose digests are still to be sent in this round

    # Changes.

    def queue_changes(self) -> set[str]:
        """Queues what has changed in the store; returns the members that are to be told first."""
        first: set[str] = set()
        for key, toward in self.store.unsent.items():
            self.queue.add(key)
            first.update(toward)
        self.store.unsent.clear()
        return first

    def take_updates(self, now: float, room: int, members: int) -> list[msgspec.Raw]:
        """Returns registers that go out with a datagram; each counts as sent once."""
        if not self.queue:
            return []
        keys = self.queue.pick(room, MAX_PER_DATAGRAM, self._size)
        limit = transmissions(members)
        for key in keys:
            self.queue.record_sent(key, limit)
        return [self._encode(now, key) for key in keys]

    def on_update(self, now: float, update: wire.RegisterUpdate, members: int) -> None:
        """Takes in a register that another member sent."""
        age = update.age / MILLISECONDS
        if age > self.keep:
            self.outdated += 1
            return
        known = self.store.by_name.get(update.name, {}).get(update.owner)
        if known is not None and (update.incarnation, update.sequence) == known.register.order:
            self.queue.record_heard((update.owner, update.name), transmissions(members))
        register = Register(update.owner, update.name, update.incarnation, update.sequence, update.value)
        self.store.merge(now, register, age)

    # Digests of all registers of one owner.

    def digests(
        self, now: float, room: int, status_of: Callable[[str], OwnerStatus | None]
    ) -> list[msgspec.Raw]:
        """Returns digests of as many owners as fit, each in its turn, the own one first.

        Args:
            now: The time.
            room: Bytes.
            status_of: Returns what is known of an owner, or None where it is not there.
        """
        own = self._own_digest()
        digests = [own]
        room -= len(own)
        if not self._digest_round:
            self._digest_round = [one for one in self.store.by_owner if one != self.store.own_name]
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
        """Confirms what another has alike; returns requests for what it has otherwise."""
        requests: list[wire.RegisterRequest] = []
        for one in digests:
            age = one.age / MILLISECONDS
            if age > self.keep:
                continue
            if int.from_bytes(one.digest, "big") == self.store.digest_of(one.owner):
                if one.owner != self.store.own_name and one.owner in self.store.by_owner:
                    self.store.confirm(now, one.owner, age)
            elif len(requests) < MAX_REQUESTS:
                requests.append(wire.RegisterRequest(one.owner, self._partition_digests(one.owner)))
        return requests

    def answer(self, now: float, request: wire.RegisterRequest) -> list[list[msgspec.Raw]]:
        """Returns what another lacks or has otherwise, by datagrams.

        Those written last come first, then others by chance, and no more than a few datagrams at once.
        """
        pages: list[list[msgspec.Raw]] = [[]]
        full = wire.MAX_DATAGRAM - PAGE_HEADER
        room = full
        for name in self._differing(request):
            piece = self._encode(now, (request.owner, name))
            if len(piece) > room or len(pages[-1]) >= MAX_PER_DATAGRAM:
                if len(pages) >= MAX_PAGES:
                    break
                pages.append([])
                room = full
            pages[-1].append(piece)
            room -= len(piece)
        return [page for page in pages if page]

    # What is forgotten.

    def forget_owners(self, now: float, is_there: Callable[[str], bool]) -> None:
        """Forgets registers whose owner is gone for longer than they are kept."""
        for owner in list(self.store.by_owner):
            if owner == self.store.own_name or is_there(owner):
                continue
            last = max(self.store.confirmed_at(owner), self._newest(owner))
            if now - last > self.keep:
                self.store.forget_owner(owner)

    def _size(self, key: Key) -> int:
        seen = self.store.by_name.get(key[1], {}).get(key[0])
        if seen is None:
            return 0
        return len(seen.register.value) + len(key[0]) + len(key[1]) + OVERHEAD

    def _encode(self, now: float, key: Key) -> msgspec.Raw:
        seen: SeenRegister = self.store.by_name[key[1]][key[0]]
        register = seen.register
        heard_at = self.store.with_age(seen).heard_at
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
        if confirmed_at == -math.inf:  # never complete here: as old as the newest that was heard
            confirmed_at = self._newest(owner)
        age = now - confirmed_at
        if age > self.keep:
            return None
        digest = self.store.digest_of(owner).to_bytes(DIGEST_BYTES, "big")
        incarnation = status.incarnation if status else 0
        return wire.raw(wire.RegisterDigest(owner, incarnation, digest, _milliseconds(age)))

    def _newest(self, owner: str) -> float:
        heard = (seen.heard_at for seen in self.store.by_owner.get(owner, {}).values())
        return max(heard, default=-math.inf)

    def _partition_digests(self, owner: str) -> bytes:
        digests = [one & 0xFFFFFFFF for one in self.store.partition_digests(owner)]
        if not any(digests):
            return b""
        return b"".join(one.to_bytes(wire.DIGEST_BYTES, "big") for one in digests)

    def _differing(self, request: wire.RegisterRequest) -> Iterator[str]:
        none = bytes(wire.REGISTER_PARTITIONS * wire.DIGEST_BYTES)
        own = self._partition_digests(request.owner) or none
        theirs = request.digests or none
        differing = {n // wire.DIGEST_BYTES for n in range(len(own)) if own[n : n + 1] != theirs[n : n + 1]}
        registers = self.store.by_owner.get(request.owner, {})
        names = [name for name in reversed(registers) if partition_of(name) in differing]
        older = names[MAX_PER_DATAGRAM:]
        self._random.shuffle(older)
        yield from names[:MAX_PER_DATAGRAM]
        yield from older


def _milliseconds(seconds: float) -> int:
    return min(max(int(seconds * MILLISECONDS), 0), MAX_AGE)
