"""How cells travel on the members' datagrams: changes at once, sums of all of an owner's cells now and then.

Free of I/O, clock and own chance. What goes out when, and how much, is for the members to say.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import msgspec

from ...protocol import members as wire
from .cells import Cell, Cells, part
from .repeats import Repeats, times

MOST_QUEUED = 4000  # cells that wait to be told on
MOST_PART = 8  # datagrams of cells that answer one want
MOST_PIECES = 60  # cells, or sums, in one datagram
MOST_AGE = 2**31 - 1  # milliseconds that a message can tell

Key = tuple[str, str]  # owner, name


class Spread:
    def __init__(self, cells: Cells, chance: random.Random, outlive: float = 86_400.0) -> None:
        """`outlive`: seconds for which cells are kept after their owner was last known to be there."""
        self.cells, self.chance, self.outlive = cells, chance, outlive
        self.queue: Repeats[Key] = Repeats(MOST_QUEUED)
        self.owners: list[str] = []  # whose sums are still to be told in this round
        self.stale = 0  # word too old to be taken

    # Changes.

    def gather(self) -> set[str]:
        """Queues what has changed; the names of those to be told first."""
        first: set[str] = set()
        for key, toward in self.cells.fresh.items():
            self.queue.add(key)
            first.update(toward)
        self.cells.fresh.clear()
        return first

    def size(self, key: Key) -> int:
        seen = self.cells.by_name.get(key[1], {}).get(key[0])
        return 0 if seen is None else len(seen.cell.value) + len(key[0]) + len(key[1]) + 32

    def take(self, now: float, room: int, members: int) -> list[msgspec.Raw]:
        """Cells to go out with a datagram; each counts as told once."""
        if not self.queue:
            return []
        keys = self.queue.pick(room, MOST_PIECES, self.size)
        limit = times(members)
        for key in keys:
            self.queue.told(key, limit)
        return [self.encoded(now, key) for key in keys]

    def encoded(self, now: float, key: Key) -> msgspec.Raw:
        seen = self.cells.by_name[key[1]][key[0]]
        cell, heard = seen.cell, self.cells.aged(seen).heard
        if cell.owner == self.cells.own:
            heard = now
        age = min(max(int((now - heard) * 1000), 0), MOST_AGE)
        return wire.raw(wire.CellNews(cell.owner, cell.name, cell.life, cell.sequence, cell.value, age))

    def told(self, now: float, news: wire.CellNews, members: int) -> None:
        age = news.age / 1000
        if age > self.outlive:
            self.stale += 1
            return
        known = self.cells.by_name.get(news.name, {}).get(news.owner)
        if known is not None and (news.life, news.sequence) == known.cell.order:
            self.queue.heard((news.owner, news.name), times(members))
        self.cells.heard(now, Cell(news.owner, news.name, news.life, news.sequence, news.value), age)

    # Sums of all that one owner has.

    def summed(
        self, now: float, room: int, lives: Callable[[str], tuple[int, float] | None]
    ) -> list[msgspec.Raw]:
        """Sums of as many owners as fit, each in its turn. `lives` tells a member's life and when it was last
        heard, or None where it is not there."""
        out: list[msgspec.Raw] = []
        own = self.own_sum()
        room -= len(own)
        out.append(own)
        if not self.owners:
            self.owners = [owner for owner in self.cells.by_owner if owner != self.cells.own]
            self.chance.shuffle(self.owners)
        while self.owners and len(out) < MOST_PIECES:
            owner = self.owners[-1]
            one = self.sum_of(now, owner, lives(owner))
            if one is not None:
                if len(one) > room:
                    break
                out.append(one)
                room -= len(one)
            self.owners.pop()
        return out

    def own_sum(self) -> msgspec.Raw:
        own = self.cells.own
        return wire.raw(wire.Sum(own, self.cells.life, self.cells.sum_of(own).to_bytes(8, "big"), 0))

    def sum_of(self, now: float, owner: str, known: tuple[int, float] | None) -> msgspec.Raw | None:
        confirmed = self.cells.confirmed_at.get(owner, -math.inf)
        if confirmed == -math.inf:  # never whole here: as old as the newest that was heard
            confirmed = max(
                (seen.heard for seen in self.cells.by_owner.get(owner, {}).values()), default=-math.inf
            )
        age = now - confirmed
        if age > self.outlive:
            return None
        return wire.raw(
            wire.Sum(
                owner,
                known[0] if known else 0,
                self.cells.sum_of(owner).to_bytes(8, "big"),
                min(max(int(age * 1000), 0), MOST_AGE),
            )
        )

    def compare(self, now: float, sums: list[wire.Sum]) -> list[wire.Want]:
        """What another has: confirmed where it is the same, else wanted."""
        wants: list[wire.Want] = []
        for one in sums:
            age = one.age / 1000
            if age > self.outlive:
                continue
            if int.from_bytes(one.sum, "big") == self.cells.sum_of(one.owner):
                if one.owner != self.cells.own and one.owner in self.cells.by_owner:
                    self.cells.confirmed(now, one.owner, age)
            elif len(wants) < 3:
                wants.append(wire.Want(one.owner, self.marks(one.owner)))
        return wants

    def marks(self, owner: str) -> bytes:
        sums = [mark & 0xFFFFFFFF for mark in self.cells.marks.get(owner, ())]
        return b"" if not any(sums) else b"".join(one.to_bytes(wire.MARK, "big") for one in sums)

    def wanted(self, now: float, want: wire.Want) -> list[list[msgspec.Raw]]:
        """What another lacks or has otherwise, by datagrams: those written last first, then others by chance,
        and no more than a few datagrams at once."""
        own = self.marks(want.owner) or bytes(wire.CELL_MARKS * wire.MARK)
        theirs = want.marks or bytes(wire.CELL_MARKS * wire.MARK)
        differ = {n // wire.MARK for n in range(len(own)) if own[n : n + 1] != theirs[n : n + 1]}
        pages: list[list[msgspec.Raw]] = [[]]
        room = full = wire.MOST - 300
        names = [name for name in reversed(self.cells.by_owner.get(want.owner, {})) if part(name) in differ]
        older = names[MOST_PIECES:]
        self.chance.shuffle(older)
        for name in names[:MOST_PIECES] + older:
            piece = self.encoded(now, (want.owner, name))
            if len(piece) > room or len(pages[-1]) >= MOST_PIECES:
                if len(pages) >= MOST_PART:
                    break
                pages.append([])
                room = full
            pages[-1].append(piece)
            room -= len(piece)
        return [page for page in pages if page]

    # What is forgotten.

    def forget(self, now: float, there: Callable[[str], bool]) -> None:
        """Cells whose owner is gone for longer than they outlive it."""
        for owner in list(self.cells.by_owner):
            if owner == self.cells.own or there(owner):
                continue
            last = max(
                self.cells.confirmed_at.get(owner, -math.inf),
                max((seen.heard for seen in self.cells.by_owner[owner].values()), default=-math.inf),
            )
            if now - last > self.outlive:
                self.cells.forget_owner(owner)
