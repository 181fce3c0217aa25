"""Single-writer registers, merged by the higher (incarnation, sequence). No I/O, no clock.

A register is named by a subject and a thing, as `wallet/north`. Each member has one register of that name at
most and writes it alone; all others have a copy. So merging never loses what a member wrote.
"""

from __future__ import annotations

import functools
import hashlib
import math
import operator
import zlib
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace

MAX_VALUE = 900  # bytes, so that a register fits in one datagram with what goes around it
MAX_NAME = 100  # characters
MAX_SUBJECTS = 8  # of which registers are kept
MAX_SEQUENCE_DIGITS = 19
SWEPT = "swept/"  # `swept/SUBJECT`: the sequence up to which its owner needs none of its registers any more
PARTITIONS = 64  # in which the registers of one owner are compared with another member's

Subscriber = Callable[[float, "Register"], None]
Order = tuple[int, int]  # incarnation and sequence


@dataclass(frozen=True, slots=True)
class Register:
    """What one member last wrote under one name. An empty value says that it deleted the register.

    Attributes:
        owner: The member that writes it.
        name: `SUBJECT/THING`.
        incarnation: The owner's, when it wrote.
        sequence: Grows within an incarnation; the first is 1.
        value: What was written.
    """

    owner: str
    name: str
    incarnation: int
    sequence: int
    value: bytes

    @property
    def order(self) -> Order:
        """By which a later value replaces an earlier one."""
        return self.incarnation, self.sequence

    @property
    def digest(self) -> int:
        """64 bits that tell this state of the register from any other of it."""
        state = f"{self.name}\0{self.incarnation}\0{self.sequence}".encode()
        return int.from_bytes(hashlib.blake2b(state, digest_size=8).digest(), "big")


@dataclass(frozen=True, slots=True)
class SeenRegister:
    """A register, and when its owner is last known to have held it, on this process's clock.

    That is told by the owner, or by others who say how old their word is; so it ages while the owner cannot
    be heard.
    """

    register: Register
    heard_at: float


def subject_of(name: str) -> str:
    """Returns what a register is about: the part of its name before the first `/`."""
    return name.partition("/")[0]


def partition_of(name: str) -> int:
    """Returns which of an owner's partitions a register is in; the same in each release."""
    return zlib.crc32(name.encode()) % PARTITIONS


def _ignore_write() -> None:
    pass


class RegisterStore:
    """All registers that one member knows.

    Attributes:
        own_name: The member.
        incarnation: Its own.
        by_name: Registers by name, then owner.
        by_owner: Registers by owner, then name, the one written last at the end.
        unsent: What changed and was not handed to gossip yet, with the members to be told first.
        swept_up_to: By owner and subject: the order up to which registers are gone.
        counts: Registers of others, by subject.
        rejected: Updates beyond a limit.
        on_write: Called after each own write, so that it goes out at once.
    """

    def __init__(self, own_name: str, incarnation: int, max_per_subject: int = 20_000) -> None:
        """Begins empty; `max_per_subject` bounds the registers of others that are kept of each subject."""
        self.own_name = own_name
        self.incarnation = incarnation
        self.by_name: dict[str, dict[str, SeenRegister]] = {}
        self.by_owner: dict[str, dict[str, SeenRegister]] = {}
        self.unsent: dict[tuple[str, str], tuple[str, ...]] = {}
        self.swept_up_to: dict[tuple[str, str], Order] = {}
        self.counts: Counter[str] = Counter()
        self.rejected = 0
        self.on_write: Callable[[], None] = _ignore_write
        self._max_per_subject = max_per_subject
        self._digests: dict[str, list[int]] = {}  # by owner and partition, by exclusive or
        self._confirmed_at: dict[str, float] = {}  # by owner: when it had just these registers
        self._subscribers: list[tuple[str, Subscriber]] = []

    # Reading.

    def read(self, owner: str, name: str) -> SeenRegister | None:
        """Returns one register."""
        seen = self.by_name.get(name, {}).get(owner)
        return None if seen is None else self.with_age(seen)

    def named(self, name: str) -> dict[str, SeenRegister]:
        """Returns the registers of a name by owner, the own and the deleted ones (empty) among them."""
        return {owner: self.with_age(seen) for owner, seen in self.by_name.get(name, {}).items()}

    def all(self) -> Iterator[SeenRegister]:
        """Yields all registers."""
        for owners in self.by_name.values():
            for seen in owners.values():
                yield self.with_age(seen)

    def with_age(self, seen: SeenRegister) -> SeenRegister:
        """Returns the register as last confirmed."""
        confirmed_at = self.confirmed_at(seen.register.owner)
        return SeenRegister(seen.register, confirmed_at) if confirmed_at > seen.heard_at else seen

    def confirmed_at(self, owner: str) -> float:
        """Returns when the owner is known to have had just these registers; -inf if never."""
        return self._confirmed_at.get(owner, -math.inf)

    @property
    def count(self) -> int:
        """Registers of others."""
        return sum(self.counts.values())

    def digest_of(self, owner: str) -> int:
        """Returns 64 bits that tell the owner's registers as known here from any others."""
        return functools.reduce(operator.xor, self._digests.get(owner, ()), 0)

    def partition_digests(self, owner: str) -> list[int]:
        """Returns the same for each partition; empty if nothing is known of the owner."""
        return self._digests.get(owner, [])

    def sweep_note(self, owner: str, subject: str) -> bytes:
        """Returns the note of the owner's last sweep."""
        seen = self.by_name.get(SWEPT + subject, {}).get(owner)
        return b"" if seen is None else seen.register.value.partition(b" ")[2]

    # Writing.

    def on_change(self, prefix: str, subscriber: Subscriber) -> None:
        """Calls `subscriber` with each changed register of others whose name begins with `prefix`."""
        self._subscribers.append((prefix, subscriber))

    def write(self, now: float, name: str, value: bytes, toward: Iterable[str] = ()) -> Register:
        """Writes an own register. The members `toward` are told first, where they can be reached.

        Raises:
            ValueError: The name or the value is too long.
        """
        if len(value) > MAX_VALUE or len(name) > MAX_NAME:
            raise ValueError(f"cell {name!r:.40}: {len(value)} bytes, {len(name)} characters of name")
        before = self.read(self.own_name, name)
        last = before.register.sequence if before else self._swept_sequence(subject_of(name))
        register = Register(self.own_name, name, self.incarnation, last + 1, value)
        self._put(now, register, tuple(toward))
        self.on_write()
        return register

    def delete(self, now: float, name: str) -> None:
        """Deletes an own register."""
        if self.read(self.own_name, name) is not None:
            self.write(now, name, b"")

    def sweep(self, now: float, subject: str, gone: Iterable[str], note: bytes = b"") -> None:
        """Has all members forget the own registers `gone` of a subject, and all of earlier incarnations.

        `note` is told in the same register: who has forgotten them knows it. Registers that stay are written
        once more where their sequence is not above a forgotten one's. So one number tells all that are gone,
        and a late update of one of them is known as such.
        """
        names = set(gone)
        own = [
            seen.register
            for name, seen in self.by_owner.get(self.own_name, {}).items()
            if subject_of(name) == subject and seen.register.incarnation == self.incarnation
        ]
        swept = [register.sequence for register in own if register.name in names]
        up_to = max([self._swept_sequence(subject), *swept])
        for register in own:
            if register.name not in names and register.sequence <= up_to:
                self._put(now, replace(register, sequence=up_to + 1))
        self.apply_sweep(now, self.write(now, SWEPT + subject, b"%d " % up_to + note))

    def apply_sweep(self, now: float, sweep: Register) -> None:
        """Forgets what was swept; subscribers are told that it is empty."""
        subject = sweep.name.removeprefix(SWEPT)
        up_to = self.swept_up_to[sweep.owner, subject]
        for name, seen in list(self.by_owner[sweep.owner].items()):
            if subject_of(name) == subject and seen.register.order <= up_to:
                self.forget(sweep.owner, name)
                self._notify(now, replace(seen.register, value=b""))

    def restart(self, now: float, incarnation: int) -> None:
        """Moves all that was written in this incarnation to a higher one, which the member has taken."""
        before = self.incarnation
        self.incarnation = incarnation
        for seen in list(self.by_owner.get(self.own_name, {}).values()):
            if seen.register.incarnation == before:
                self._put(now, replace(seen.register, incarnation=incarnation))
        self.on_write()

    # Merging.

    def merge(self, now: float, register: Register, age: float = 0.0) -> bool:
        """Takes in what another member says, `age` seconds after the owner is known to have held it.

        Returns:
            Whether it was news. Own registers of this incarnation are believed from nobody.
        """
        if len(register.value) > MAX_VALUE or len(register.name) > MAX_NAME:
            self.rejected += 1
            return False
        if register.owner == self.own_name and register.incarnation >= self.incarnation:
            return False
        known = self.by_name.get(register.name, {}).get(register.owner)
        if known is not None and register.order <= known.register.order:
            self._refresh(known, register, now - age)
            return False
        if known is None and not self._has_room(register):
            return False
        self._put(now - age, register)
        if register.name.startswith(SWEPT):
            self.apply_sweep(now, register)
        self._notify(now, register)
        return True

    def confirm(self, now: float, owner: str, age: float = 0.0) -> None:
        """Records that the owner had just these registers `age` seconds ago."""
        self._confirmed_at[owner] = max(now - age, self.confirmed_at(owner))

    def forget(self, owner: str, name: str) -> None:
        """Forgets one register."""
        owners = self.by_name.get(name, {})
        seen = owners.pop(owner, None)
        if seen is not None:
            if owner != self.own_name:
                self.counts[subject_of(name)] -= 1
            self._flip_digest(seen.register)
            self.by_owner[owner].pop(name, None)
            self.unsent.pop((owner, name), None)
            if name.startswith(SWEPT):
                self.swept_up_to.pop((owner, name.removeprefix(SWEPT)), None)
        if not owners:
            self.by_name.pop(name, None)

    def forget_owner(self, owner: str) -> None:
        """Forgets all registers of a member."""
        for name in list(self.by_owner.get(owner, {})):
            self.forget(owner, name)
        self.by_owner.pop(owner, None)
        self._digests.pop(owner, None)
        self._confirmed_at.pop(owner, None)

    def _swept_sequence(self, subject: str) -> int:
        """Returns the highest sequence of the own registers that were swept in this incarnation."""
        incarnation, sequence = self.swept_up_to.get((self.own_name, subject), (0, 0))
        return sequence if incarnation == self.incarnation else 0

    def _refresh(self, known: SeenRegister, register: Register, heard_at: float) -> None:
        if register.order == known.register.order and heard_at > known.heard_at:
            seen = SeenRegister(known.register, heard_at)
            self.by_name[register.name][register.owner] = seen
            self.by_owner[register.owner][register.name] = seen

    def _has_room(self, register: Register) -> bool:
        """Returns whether a register that is not known is taken: not one that was swept, or over a limit.

        Guards against registers of one subject that take the room of another's: of wallets, an abort's.
        """
        subject = subject_of(register.name)
        if register.order <= self.swept_up_to.get((register.owner, subject), (0, 0)):
            return False
        if subject in self.counts:
            has_room = self.counts[subject] < self._max_per_subject
        else:
            has_room = len(self.counts) < MAX_SUBJECTS
        if not has_room:
            self.rejected += 1
        return has_room

    def _notify(self, now: float, register: Register) -> None:
        for prefix, subscriber in self._subscribers:
            if register.name.startswith(prefix):
                subscriber(now, register)

    def _put(self, heard_at: float, register: Register, toward: tuple[str, ...] = ()) -> None:
        known = self.by_name.get(register.name, {}).get(register.owner)
        is_new_of_others = known is None and register.owner != self.own_name
        self.counts[subject_of(register.name)] += is_new_of_others
        if known is not None:
            self._flip_digest(known.register)
        self._flip_digest(register)
        self._place(SeenRegister(register, heard_at))
        self.unsent[register.owner, register.name] = toward

    def _place(self, seen: SeenRegister) -> None:
        register = seen.register
        self.by_name.setdefault(register.name, {})[register.owner] = seen
        of_owner = self.by_owner.setdefault(register.owner, {})
        of_owner.pop(register.name, None)
        of_owner[register.name] = seen
        if register.name.startswith(SWEPT):
            text = register.value.partition(b" ")[0]
            sequence = int(text) if text.isdigit() and len(text) <= MAX_SEQUENCE_DIGITS else 0
            subject = register.name.removeprefix(SWEPT)
            self.swept_up_to[register.owner, subject] = register.incarnation, sequence

    def _flip_digest(self, register: Register) -> None:
        """Adds the register to its owner's digests, or takes it away."""
        digests = self._digests.setdefault(register.owner, [0] * PARTITIONS)
        digests[partition_of(register.name)] ^= register.digest
