"""Cells that each member writes alone, merged by the higher (life, sequence). No I/O, no clock.

A cell is named by a matter and a thing, as `wallet/north`; each member has one cell of that name at most, and
all others have a copy of it. There is no cell that two members write, so merging never loses what one wrote.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

MOST_VALUE = 900  # bytes, so that a cell fits in one datagram with what goes around it
MOST_NAME = 100  # characters


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


@dataclass(frozen=True, slots=True)
class Seen:
    """A cell, and when it was last heard of here: told anew or confirmed as still the newest."""

    cell: Cell
    heard: float


class Cells:
    """All cells that one member knows."""

    def __init__(self, own: str, life: int, most: int = 20_000) -> None:
        """`most` bounds the cells of others that are kept."""
        self.own, self.life, self.most = own, life, most
        self.by_name: dict[str, dict[str, Seen]] = {}  # name, owner
        self.users: list[tuple[str, Callable[[float, Cell], None]]] = []
        self.fresh: dict[tuple[str, str], tuple[str, ...]] = {}  # changed since spread: (owner, name), toward
        self.count = 0
        self.refused = 0  # news of a cell beyond `most`, or over a limit

    def on_change(self, prefix: str, user: Callable[[float, Cell], None]) -> None:
        """`user` is called with each cell of others that is news, where its name begins so."""
        self.users.append((prefix, user))

    def write(self, now: float, name: str, value: bytes, toward: Iterable[str] = ()) -> Cell:
        """Writes the own cell. The members `toward` are told first, where they can be reached."""
        if len(value) > MOST_VALUE or len(name) > MOST_NAME:
            raise ValueError(f"cell {name!r:.40}: {len(value)} bytes, {len(name)} characters of name")
        before = self.read(self.own, name)
        cell = Cell(self.own, name, self.life, before.cell.sequence + 1 if before else 1, value)
        self.put(now, cell, tuple(toward))
        return cell

    def take_away(self, now: float, name: str) -> None:
        if self.read(self.own, name) is not None:
            self.write(now, name, b"")

    def read(self, owner: str, name: str) -> Seen | None:
        return self.by_name.get(name, {}).get(owner)

    def named(self, name: str) -> dict[str, Seen]:
        """By owner, the own one among them; those taken away have an empty value."""
        return self.by_name.get(name, {})

    def all(self) -> Iterator[Seen]:
        for owners in self.by_name.values():
            yield from owners.values()

    def heard(self, now: float, cell: Cell) -> bool:
        """What another tells; whether it was news. The own cells of this life are believed from nobody."""
        if len(cell.value) > MOST_VALUE or len(cell.name) > MOST_NAME:
            self.refused += 1
            return False
        known = self.read(cell.owner, cell.name)
        if cell.owner == self.own and cell.life >= self.life:
            return False
        if known is not None and cell.order <= known.cell.order:
            if cell.order == known.cell.order:
                self.confirmed(now, cell.owner, cell.name)
            return False
        if known is None and self.count >= self.most:
            self.refused += 1
            return False
        self.put(now, cell)
        for prefix, user in self.users:
            if cell.name.startswith(prefix):
                user(now, cell)
        return True

    def confirmed(self, now: float, owner: str, name: str) -> None:
        """Another knows no newer one: what is known here is as good as just told."""
        owners = self.by_name.get(name, {})
        if owner in owners:
            owners[owner] = Seen(owners[owner].cell, now)

    def put(self, now: float, cell: Cell, toward: tuple[str, ...] = ()) -> None:
        owners = self.by_name.setdefault(cell.name, {})
        self.count += cell.owner not in owners
        owners[cell.owner] = Seen(cell, now)
        self.fresh[cell.owner, cell.name] = toward

    def forget(self, owner: str, name: str) -> None:
        owners = self.by_name.get(name, {})
        if owners.pop(owner, None) is not None:
            self.count -= 1
            self.fresh.pop((owner, name), None)
        if not owners:
            self.by_name.pop(name, None)
