"""Cells that each member writes alone, merged by the higher (life, sequence). No I/O, no clock.

A cell is named by a matter and a thing, as `wallet/north`; each member has one cell of that name at most, and
all others have a copy of it. There is no cell that two members write, so merging never loses what one wrote.
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

MOST_VALUE = 900  # bytes, so that a cell fits in one datagram with what goes around it
MOST_NAME = 100  # characters
MOST_MATTERS = 8  # of which cells are kept
SWEPT = "swept/"  # `swept/MATTER`: up to which of its cells of a matter the owner needs none any more
PARTS = 64  # in which the cells of one owner are held against another member's


@dataclass(frozen=True, slots=True)
class Cell:
    """What one member last wrote under one name. An empty value says that it has taken the cell away."""

    owner: str
    name: str
    life: int
    sequence: int  # grows within a life; the first is 1
    value: bytes

    @property
    def order(self) -> tuple[int, int]:
        return self.life, self.sequence

    @property
    def mark(self) -> int:
        """64 bits that tell this state of the cell from any other of it."""
        what = f"{self.name}\0{self.life}\0{self.sequence}".encode()
        return int.from_bytes(hashlib.blake2b(what, digest_size=8).digest(), "big")


@dataclass(frozen=True, slots=True)
class Seen:
    """A cell, and the last moment at which its owner is known to have held it, on this process's clock: told
    by the owner, or by others who say how old their word is. So it ages while its owner cannot be heard."""

    cell: Cell
    heard: float


class Cells:
    """All cells that one member knows."""

    def __init__(self, own: str, life: int, most: int = 20_000) -> None:
        """`most` bounds the cells of others that are kept, of each matter: the word before the first `/` of
        their names."""
        self.own, self.life, self.most = own, life, most
        self.by_name: dict[str, dict[str, Seen]] = {}  # name, owner
        self.by_owner: dict[str, dict[str, Seen]] = {}  # owner, name: those written last come last
        self.marks: dict[str, list[int]] = {}  # by owner: its cells' marks, by exclusive or, in PARTS
        self.confirmed_at: dict[str, float] = {}  # by owner: when it is known to have had just these cells
        self.users: list[tuple[str, Callable[[float, Cell], None]]] = []
        self.fresh: dict[tuple[str, str], tuple[str, ...]] = {}  # changed since spread: (owner, name), toward
        self.wake: Callable[[], None] = lambda: None  # told of each own write, so that it goes out at once
        self.counts: Counter[str] = Counter()  # of others, by matter
        self.floors: dict[tuple[str, str], tuple[int, int]] = {}  # owner, matter: cells up to it are gone
        self.refused = 0  # news of a cell beyond `most`, or over a limit

    def on_change(self, prefix: str, user: Callable[[float, Cell], None]) -> None:
        """`user` is called with each cell of others that is news, where its name begins so."""
        self.users.append((prefix, user))

    def write(self, now: float, name: str, value: bytes, toward: Iterable[str] = ()) -> Cell:
        """Writes the own cell. The members `toward` are told first, where they can be reached."""
        if len(value) > MOST_VALUE or len(name) > MOST_NAME:
            raise ValueError(f"cell {name!r:.40}: {len(value)} bytes, {len(name)} characters of name")
        before = self.read(self.own, name)
        last = before.cell.sequence if before else self.floor(matter(name))
        cell = Cell(self.own, name, self.life, last + 1, value)
        self.put(now, cell, tuple(toward))
        self.wake()
        return cell

    def take_away(self, now: float, name: str) -> None:
        if self.read(self.own, name) is not None:
            self.write(now, name, b"")

    def sweep(self, now: float, about: str, gone: Iterable[str], note: bytes = b"") -> None:
        """The own cells `gone` of the matter `about`, and all that are left of earlier lives, are forgotten
        by all, and the room that they took is free. `note` is told in the same cell: who has forgotten them
        knows it.

        Those that stay are told once more where their sequence is not over a forgotten one's. So one number
        tells all that are gone, and a word of one of them that comes late is known as such."""
        names, own = (
            set(gone),
            [
                seen.cell
                for name, seen in self.by_owner.get(self.own, {}).items()
                if matter(name) == about and seen.cell.life == self.life
            ],
        )
        floor = max([self.floor(about), *(cell.sequence for cell in own if cell.name in names)])
        for cell in own:
            if cell.name not in names and cell.sequence <= floor:
                self.put(now, replace(cell, sequence=floor + 1))
        self.clear(now, self.write(now, SWEPT + about, b"%d " % floor + note))

    def floor(self, about: str) -> int:
        """The highest sequence of the own cells that were swept in this life."""
        life, floor = self.floors.get((self.own, about), (0, 0))
        return floor if life == self.life else 0

    def note(self, owner: str, about: str) -> bytes:
        """Of the owner's last sweep."""
        seen = self.by_name.get(SWEPT + about, {}).get(owner)
        return b"" if seen is None else seen.cell.value.partition(b" ")[2]

    def clear(self, now: float, swept: Cell) -> None:
        """Forgets what is swept; who uses it is told that it is empty."""
        about = swept.name.removeprefix(SWEPT)
        floor = self.floors[swept.owner, about]
        for name, seen in list(self.by_owner[swept.owner].items()):
            if matter(name) == about and seen.cell.order <= floor:
                self.forget(swept.owner, name)
                self.tell_users(now, replace(seen.cell, value=b""))

    def read(self, owner: str, name: str) -> Seen | None:
        seen = self.by_name.get(name, {}).get(owner)
        return None if seen is None else self.aged(seen)

    def named(self, name: str) -> dict[str, Seen]:
        """By owner, the own one among them; those taken away have an empty value."""
        return {owner: self.aged(seen) for owner, seen in self.by_name.get(name, {}).items()}

    def all(self) -> Iterator[Seen]:
        for owners in self.by_name.values():
            for seen in owners.values():
                yield self.aged(seen)

    def aged(self, seen: Seen) -> Seen:
        confirmed = self.confirmed_at.get(seen.cell.owner, -math.inf)
        return Seen(seen.cell, confirmed) if confirmed > seen.heard else seen

    def heard(self, now: float, cell: Cell, age: float = 0.0) -> bool:
        """What another tells; whether it was news. The own cells of this life are believed from nobody.

        `age`: seconds since the owner is known to have held it."""
        if len(cell.value) > MOST_VALUE or len(cell.name) > MOST_NAME:
            self.refused += 1
            return False
        known = self.by_name.get(cell.name, {}).get(cell.owner)
        if cell.owner == self.own and cell.life >= self.life:
            return False
        if known is not None and cell.order <= known.cell.order:
            if cell.order == known.cell.order and now - age > known.heard:
                owners, of_owner = self.by_name[cell.name], self.by_owner[cell.owner]
                owners[cell.owner] = of_owner[cell.name] = Seen(known.cell, now - age)
            return False
        if known is None and cell.order <= self.floors.get((cell.owner, matter(cell.name)), (0, 0)):
            return False
        if known is None and not self.room(matter(cell.name)):
            self.refused += 1
            return False
        self.put(now - age, cell)
        if cell.name.startswith(SWEPT):
            self.clear(now, cell)
        self.tell_users(now, cell)
        return True

    def tell_users(self, now: float, cell: Cell) -> None:
        for prefix, user in self.users:
            if cell.name.startswith(prefix):
                user(now, cell)

    @property
    def count(self) -> int:
        """Of others."""
        return sum(self.counts.values())

    def room(self, matter: str) -> bool:
        """Guards against the cells of one matter that take the room of another's: of wallets, an abort's."""
        return self.counts[matter] < self.most if matter in self.counts else len(self.counts) < MOST_MATTERS

    def confirmed(self, now: float, owner: str, age: float = 0.0) -> None:
        """The owner is known to have had just these cells `age` seconds ago."""
        self.confirmed_at[owner] = max(now - age, self.confirmed_at.get(owner, -math.inf))

    def sum_of(self, owner: str) -> int:
        return functools.reduce(operator.xor, self.marks.get(owner, ()), 0)

    def flip(self, cell: Cell) -> None:
        self.marks.setdefault(cell.owner, [0] * PARTS)[part(cell.name)] ^= cell.mark

    def put(self, heard: float, cell: Cell, toward: tuple[str, ...] = ()) -> None:
        known = self.by_name.get(cell.name, {}).get(cell.owner)
        self.counts[matter(cell.name)] += known is None and cell.owner != self.own
        if known is not None:
            self.flip(known.cell)
        self.flip(cell)
        self.place(Seen(cell, heard))
        self.fresh[cell.owner, cell.name] = toward

    def place(self, seen: Seen) -> None:
        cell = seen.cell
        self.by_name.setdefault(cell.name, {})[cell.owner] = seen
        of_owner = self.by_owner.setdefault(cell.owner, {})
        of_owner.pop(cell.name, None)
        of_owner[cell.name] = seen
        if cell.name.startswith(SWEPT):
            floor = cell.value.partition(b" ")[0]
            self.floors[cell.owner, cell.name.removeprefix(SWEPT)] = (
                cell.life,
                int(floor) if floor.isdigit() and len(floor) < 20 else 0,
            )

    def reborn(self, now: float, life: int) -> None:
        """The own member has taken a higher life: all that it wrote in its last one stands in the new."""
        before, self.life = self.life, life
        for seen in list(self.by_owner.get(self.own, {}).values()):
            if seen.cell.life == before:
                self.put(now, replace(seen.cell, life=life))
        self.wake()

    def forget(self, owner: str, name: str) -> None:
        owners = self.by_name.get(name, {})
        seen = owners.pop(owner, None)
        if seen is not None:
            self.counts[matter(name)] -= owner != self.own
            self.flip(seen.cell)
            self.by_owner[owner].pop(name, None)
            self.fresh.pop((owner, name), None)
            if name.startswith(SWEPT):
                self.floors.pop((owner, name.removeprefix(SWEPT)), None)
        if not owners:
            self.by_name.pop(name, None)

    def forget_owner(self, owner: str) -> None:
        for name in list(self.by_owner.get(owner, {})):
            self.forget(owner, name)
        for kept in (self.by_owner, self.marks, self.confirmed_at):
            kept.pop(owner, None)


def matter(name: str) -> str:
    return name.partition("/")[0]


def part(name: str) -> int:
    """Which of the parts of an owner's cells one is in; the same in each release."""
    return zlib.crc32(name.encode()) % PARTS
