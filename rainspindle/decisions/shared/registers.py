"""Single-writer registers, merged by the higher (incarnation, sequence). The module does no I/O.

A register name consists of a subject and an item, as in `wallet/north`. Each member owns at most one register
of a given name, and only that member writes it; all others hold copies. Therefore merging never loses a
write.
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

MAX_VALUE = 900  # bytes; a register must fit in one datagram together with the headers
MAX_NAME = 100  # characters
MAX_SUBJECTS = 8  # subjects of which registers of other members are kept
MAX_SEQUENCE_DIGITS = 19
# The register `swept/SUBJECT` holds the sequence up to which its owner has discarded its registers.
SWEEP_PREFIX = "swept/"
PARTITIONS = 64  # partitions in which the registers of one owner are compared between members

Subscriber = Callable[[float, "Register"], None]
Order = tuple[int, int]  # incarnation and sequence


@dataclass(frozen=True, slots=True)
class Register:
    """The value that a member last wrote under a name; an empty value marks a deleted register.

    Attributes:
        owner: Name of the member that writes the register.
        name: Name in the form `SUBJECT/ITEM`.
        incarnation: Incarnation of the owner at the time of the write.
        sequence: Number of the write; starts at 1 and increases within an incarnation.
        value: The value written.
    """

    owner: str
    name: str
    incarnation: int
    sequence: int
    value: bytes

    @property
    def order(self) -> Order:
        """Order of writes: a value with the higher order replaces the other."""
        return self.incarnation, self.sequence

    @property
    def digest(self) -> int:
        """64-bit hash of the name and the order, which identifies this state of the register."""
        state = f"{self.name}\0{self.incarnation}\0{self.sequence}".encode()
        return int.from_bytes(hashlib.blake2b(state, digest_size=8).digest(), "big")


@dataclass(frozen=True, slots=True)
class SeenRegister:
    """A register, and the time on this process's clock at which its owner last verifiably held it.

    The time comes from the owner itself, or from members that pass on the register with its age. It therefore
    stays put while the owner cannot be reached.
    """

    register: Register
    heard_at: float


def subject_of(name: str) -> str:
    """Returns the subject of a register: the part of its name before the first `/`."""
    return name.partition("/")[0]


def partition_of(name: str) -> int:
    """Returns the partition of a register; every release must compute the same one."""
    return zlib.crc32(name.encode()) % PARTITIONS


def _ignore_write() -> None:
    pass


class RegisterStore:
    """All registers that one member knows.

    Attributes:
        own_name: Name of the member.
        incarnation: Incarnation of the member.
        by_name: Registers by name, then by owner.
        by_owner: Registers by owner, then by name, in the order in which they were written or received.
        unsent: Changed registers that gossip has not taken over yet, as pairs of owner and name, with the
            members to send them to first.
        swept_up_to: Order up to which registers were swept, by owner and subject.
        counts: Number of registers of other members by subject.
        rejected: Number of updates rejected because of a limit.
        on_write: Called after each write of an own register, so that it is sent without delay.
    """

    def __init__(self, own_name: str, incarnation: int, max_per_subject: int = 20_000) -> None:
        """Creates an empty store that keeps at most `max_per_subject` registers of others per subject."""
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
        self._digests: dict[str, list[int]] = {}  # XOR of register digests by owner and partition
        self._confirmed_at: dict[str, float] = {}  # time at which the set of registers was exact, by owner
        self._subscribers: list[tuple[str, Subscriber]] = []

    # Reading.

    def read(self, owner: str, name: str) -> SeenRegister | None:
        """Returns one register, or None if it is not known."""
        seen = self.by_name.get(name, {}).get(owner)
        return None if seen is None else self.with_confirmation(seen)

    def named(self, name: str) -> dict[str, SeenRegister]:
        """Returns the registers of a name by owner, including this member's and deleted (empty) ones."""
        return {owner: self.with_confirmation(seen) for owner, seen in self.by_name.get(name, {}).items()}

    def all(self) -> Iterator[SeenRegister]:
        """Yields all registers, including this member's and deleted (empty) ones."""
        for owners in self.by_name.values():
            for seen in owners.values():
                yield self.with_confirmation(seen)

    def with_confirmation(self, seen: SeenRegister) -> SeenRegister:
        """Returns the register with its time updated if its owner's registers were confirmed later."""
        confirmed_at = self.confirmed_at(seen.register.owner)
        return SeenRegister(seen.register, confirmed_at) if confirmed_at > seen.heard_at else seen

    def confirmed_at(self, owner: str) -> float:
        """Returns when the owner was last known to have exactly these registers; -inf if never."""
        return self._confirmed_at.get(owner, -math.inf)

    @property
    def count(self) -> int:
        """Number of registers of other members."""
        return sum(self.counts.values())

    def digest_of(self, owner: str) -> int:
        """Returns a 64-bit digest of all registers of the owner as known here; 0 if there are none."""
        return functools.reduce(operator.xor, self._digests.get(owner, ()), 0)

    def partition_digests(self, owner: str) -> list[int]:
        """Returns the 64-bit digest of each partition of an owner; empty if the owner is not known."""
        return self._digests.get(owner, [])

    def sweep_note(self, owner: str, subject: str) -> bytes:
        """Returns the note of the owner's last sweep of a subject; empty if there is none."""
        seen = self.by_name.get(SWEEP_PREFIX + subject, {}).get(owner)
        return b"" if seen is None else seen.register.value.partition(b" ")[2]

    # Writing.

    def on_change(self, prefix: str, subscriber: Subscriber) -> None:
        """Calls `subscriber` with the time and each changed register of others whose name has the prefix."""
        self._subscribers.append((prefix, subscriber))

    def write(self, now: float, name: str, value: bytes, toward: Iterable[str] = ()) -> Register:
        """Writes an own register and returns it; the members in `toward` are sent it first.

        Raises:
            ValueError: The name or the value is too long.
        """
        if len(value) > MAX_VALUE or len(name) > MAX_NAME:
            raise ValueError(
                f"register {name!r:.40} too large: value has {len(value)} bytes, name {len(name)} characters;"
                f" expected at most {MAX_VALUE} and {MAX_NAME}"
            )
        before = self.read(self.own_name, name)
        last = before.register.sequence if before else self._swept_sequence(subject_of(name))
        register = Register(self.own_name, name, self.incarnation, last + 1, value)
        self._put(now, register, tuple(toward))
        self.on_write()
        return register

    def delete(self, now: float, name: str) -> None:
        """Deletes an own register by writing an empty value; does nothing if there is none."""
        if self.read(self.own_name, name) is not None:
            self.write(now, name, b"")

    def sweep(self, now: float, subject: str, gone: Iterable[str], note: bytes = b"") -> None:
        """Makes all members discard the own registers `gone` of a subject, and those of earlier incarnations.

        The sweep is announced by one register that holds the highest discarded sequence and the `note`, so
        every member that has applied the sweep also knows the note. Registers that stay are rewritten if
        their sequence is not above that number. One number thus identifies all discarded registers, and a
        late update of one of them is recognised.
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
        self.apply_sweep(now, self.write(now, SWEEP_PREFIX + subject, b"%d " % up_to + note))

    def apply_sweep(self, now: float, sweep: Register) -> None:
        """Discards the registers that the owner swept; subscribers are notified with empty values."""
        subject = sweep.name.removeprefix(SWEEP_PREFIX)
        up_to = self.swept_up_to[sweep.owner, subject]
        for name, seen in list(self.by_owner[sweep.owner].items()):
            if subject_of(name) == subject and seen.register.order <= up_to:
                self.forget(sweep.owner, name)
                self._notify(now, replace(seen.register, value=b""))

    def restart(self, now: float, incarnation: int) -> None:
        """Moves the own registers of this incarnation to a higher one that the member has taken."""
        before = self.incarnation
        self.incarnation = incarnation
        for seen in list(self.by_owner.get(self.own_name, {}).values()):
            if seen.register.incarnation == before:
                self._put(now, replace(seen.register, incarnation=incarnation))
        self.on_write()

    # Merging.

    def merge(self, now: float, register: Register, age: float = 0.0) -> bool:
        """Merges a register received from another member, which the owner held `age` seconds ago.

        Own registers of this incarnation are never accepted from others.

        Returns:
            Whether the register changed.
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
        if register.name.startswith(SWEEP_PREFIX):
            self.apply_sweep(now, register)
        self._notify(now, register)
        return True

    def confirm(self, now: float, owner: str, age: float = 0.0) -> None:
        """Records that the owner had exactly the registers known here `age` seconds ago."""
        self._confirmed_at[owner] = max(now - age, self.confirmed_at(owner))

    def forget(self, owner: str, name: str) -> None:
        """Discards one register; does nothing if it is not known."""
        owners = self.by_name.get(name, {})
        seen = owners.pop(owner, None)
        if seen is not None:
            if owner != self.own_name:
                self.counts[subject_of(name)] -= 1
            self._flip_digest(seen.register)
            self.by_owner[owner].pop(name, None)
            self.unsent.pop((owner, name), None)
            if name.startswith(SWEEP_PREFIX):
                self.swept_up_to.pop((owner, name.removeprefix(SWEEP_PREFIX)), None)
        if not owners:
            self.by_name.pop(name, None)

    def forget_owner(self, owner: str) -> None:
        """Discards all registers of a member."""
        for name in list(self.by_owner.get(owner, {})):
            self.forget(owner, name)
        self.by_owner.pop(owner, None)
        self._digests.pop(owner, None)
        self._confirmed_at.pop(owner, None)

    def _swept_sequence(self, subject: str) -> int:
        """Returns the highest swept sequence of the own registers in this incarnation; 0 if none."""
        incarnation, sequence = self.swept_up_to.get((self.own_name, subject), (0, 0))
        return sequence if incarnation == self.incarnation else 0

    def _refresh(self, known: SeenRegister, register: Register, heard_at: float) -> None:
        if register.order == known.register.order and heard_at > known.heard_at:
            seen = SeenRegister(known.register, heard_at)
            self.by_name[register.name][register.owner] = seen
            self.by_owner[register.owner][register.name] = seen

    def _has_room(self, register: Register) -> bool:
        """Returns whether an unknown register is accepted; it is not if it was swept or exceeds a limit.

        The limits are per subject, so that the registers of one subject, such as those of wallets, cannot
        take the space of another's, such as the abort of a canary.
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
        is_new_from_other = known is None and register.owner != self.own_name
        self.counts[subject_of(register.name)] += is_new_from_other
        if known is not None:
            self._flip_digest(known.register)
        self._flip_digest(register)
        self._place(SeenRegister(register, heard_at))
        self.unsent[register.owner, register.name] = toward

    def _place(self, seen: SeenRegister) -> None:
        register = seen.register
        self.by_name.setdefault(register.name, {})[register.owner] = seen
        owned = self.by_owner.setdefault(register.owner, {})
        owned.pop(register.name, None)
        owned[register.name] = seen
        if register.name.startswith(SWEEP_PREFIX):
            text = register.value.partition(b" ")[0]
            sequence = int(text) if text.isdigit() and len(text) <= MAX_SEQUENCE_DIGITS else 0
            subject = register.name.removeprefix(SWEEP_PREFIX)
            self.swept_up_to[register.owner, subject] = register.incarnation, sequence

    def _flip_digest(self, register: Register) -> None:
        """Adds the register to its owner's digests, or removes it if it was added before."""
        digests = self._digests.setdefault(register.owner, [0] * PARTITIONS)
        digests[partition_of(register.name)] ^= register.digest
