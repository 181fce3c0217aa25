"""Members with wallets in one process, with the real store, on the real clock; cells are carried by hand."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

from ..decisions.members.member import Member, MemberStatus
from ..decisions.shared.registers import RegisterStore
from ..program.config import Config
from ..program.fleet.ground import Answer, Ground
from ..program.fleet.wallet import NotReady, WalletRun
from ..routing.core import Final, Finished, Given, Taker
from ..transport.loop import Coroutine, Loop

T = TypeVar("T")
PATIENCE = 20.0


class Inner:
    """Ends each exchange as it is told."""

    def __init__(self) -> None:
        self.ran = 0
        self.final: Final = Finished(None)
        self.wait: Callable[[], bool] = lambda: False

    def run(self, given: Given, gone: Callable[[], bool]) -> Coroutine[Final]:
        while self.wait():
            yield time.monotonic() + 0.002
        self.ran += isinstance(self.final, Finished)
        return self.final


class Seat:
    """One life of one member: it is a `View` of the others too."""

    def __init__(self, table: Table, name: str, life: int, tables: list[dict[str, Any]]) -> None:
        self.table, self.own_name, self.own_incarnation = table, name, life
        self.cells, self.down, self.inner = RegisterStore(name, life), False, Inner()
        ground = Ground(table.loop, table.config, self, self.cells, table.folders[name])
        self.run = WalletRun(ground, tables)
        self.taker: Taker = self.run.taker(self.inner)

    def members(self) -> list[Member]:
        return [m for name in self.table.folders if (m := self.member(name)) is not None]

    def member(self, name: str) -> Member | None:
        seat = self.table.seats.get(name)
        if seat is None:
            return None
        alive = not seat.down and self.table.side.get(name) == self.table.side.get(self.own_name)
        return Member(
            name,
            ("127.0.0.1", 1),
            seat.own_incarnation,
            0,
            MemberStatus.ALIVE if alive else MemberStatus.DEAD,
            0.0,
            0.0,
        )

    def call(self, method: str, *path: str, **query: str) -> Answer:
        answer = self.run.call(time.monotonic(), method, path, query)
        assert answer is not None
        return answer

    def shown(self, name: str = "north") -> dict[str, Any]:
        shown: dict[str, dict[str, Any]] = {w["name"]: w for w in self.call("GET", "wallets").body["wallets"]}
        return shown[name]

    def exchange(self, **changes: Any) -> Final | None:
        """None while it is under way."""
        given = Given(changes.pop("type", 0), "k", None, False, time.monotonic() + 2.0, None, tenant=0)
        for name, value in changes.items():
            setattr(given, name, value)
        ends: list[Final] = []

        def one() -> Coroutine[None]:
            ends.append((yield from self.taker.run(given, lambda: False)))

        self.table.loop.spawn(one())
        while self.table.loop.ready and not ends:
            self.table.loop.resume(self.table.loop.ready.popleft())
        return ends[0] if ends else None


class Table:
    def __init__(self, folder: Path, names: str, config: Config, tables: list[dict[str, Any]]) -> None:
        self.faults: list[BaseException] = []
        self.loop = Loop(self.faults.append)
        self.folders = {name: folder / name for name in names}
        self.config, self.tables = config, tables
        self.side: dict[str, int] = {}
        self.seats: dict[str, Seat] = {}
        self.loop.spawn(self.pump())
        for n, name in enumerate(names, 1):
            self.seat(name, n)

    def seat(self, name: str, life: int) -> Seat:
        seat = self.seats[name] = Seat(self, name, life, self.tables)
        for other in self.seats.values():
            other.run.update_members()
        self.digests()
        return seat

    def reaches(self, a: Seat, b: Seat) -> bool:
        return not (a.down or b.down) and self.side.get(a.own_name) == self.side.get(b.own_name)

    def digests(self) -> None:
        for a in self.seats.values():
            for b in self.seats.values():
                if a is not b and self.reaches(a, b):
                    for seen in list(a.cells.all()):
                        b.cells.merge(time.monotonic(), seen.register)

    def pump(self) -> Coroutine[None]:
        while True:
            for seat in list(self.seats.values()):
                fresh, seat.cells.unsent = seat.cells.unsent, {}
                for owner, name in fresh:
                    seen = seat.cells.read(owner, name)
                    for other in self.seats.values():
                        if seen is not None and other is not seat and self.reaches(seat, other):
                            other.cells.merge(time.monotonic(), seen.register)
            yield time.monotonic() + 0.002

    def part(self, side: dict[str, int]) -> None:
        self.side = side
        for seat in self.seats.values():
            seat.run.update_members()
        self.digests()

    def until(self, found: Callable[[], T | None]) -> T:
        end = time.monotonic() + PATIENCE
        while not (value := found()):
            assert time.monotonic() < end, "nothing came"
            self.loop.step()
            assert not self.faults, self.faults
        return value

    def step_for(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        self.until(lambda: time.monotonic() > end)

    def top_up(self, name: str, id: str, amount: int, wallet: str = "north") -> None:
        def entered() -> bool:
            try:
                return (
                    self.seats[name]
                    .call("POST", "wallets", wallet, "top-up", id=id, amount=str(amount))
                    .status
                    == 200
                )
            except NotReady:
                return False

        self.until(entered)

    def kill(self, name: str) -> None:
        """As by SIGKILL: nothing more is written or told."""
        seat = self.seats[name]
        seat.down = seat.run.closed = True
        seat.run.store.jobs.put(None)
        seat.run.store.ended = True
        seat.run.store.thread.join(PATIENCE)
        self.loop.unwatch(seat.run.wake_reader.fileno())
        for other in self.seats.values():
            other.run.update_members()

    def close(self) -> None:
        for seat in self.seats.values():
            if not seat.down:
                seat.run.close()
