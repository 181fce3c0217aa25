"""Plays a schedule of faults on real processes and the network between them."""

from __future__ import annotations

import math
import shutil
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from .processes import LOOK, Fleet, Sidecar
from .schedule import (
    Cut,
    Fault,
    Folder,
    Kill,
    NetworkFault,
    Restart,
    Rolling,
    Schedule,
    Split,
    Stall,
    Weather,
)


@dataclass(slots=True)
class Away:
    """A span in which a member's process stood still or could not serve."""

    name: str
    since: float
    until: float = math.inf  # when it went on, or the next process was ready
    stalled: bool = False


class Player:
    """Lets what is due befall a fleet. Times are its caller's."""

    def __init__(self, fleet: Fleet, schedule: Schedule) -> None:
        self.fleet = fleet
        self.acts: list[tuple[float, int, Callable[[float], None]]] = []
        self.away: list[Away] = []
        self.leaving: dict[str, bool] = {}  # and whether they are to be started anew once they are gone
        self.starting: set[str] = set()
        for fault in schedule:
            self.plan(fault)
        self.acts.sort(key=lambda act: act[:2])

    def at(self, when: float, do: Callable[[float], None]) -> None:
        self.acts.append((when, len(self.acts), do))

    def plan(self, fault: Fault) -> None:
        if isinstance(fault, Weather | Cut | Split):
            self.at(fault.at, partial(self.weather, fault, begins=True))
            if fault.length is not None:
                self.at(fault.at + fault.length, partial(self.weather, fault, begins=False))
            return
        if isinstance(fault, Rolling):
            for n, name in enumerate(fault.names):
                at = fault.at + n * fault.every
                self.plan(Kill(at, (name,), 0.0) if fault.killed else Restart(at, (name,)))
            return
        for sidecar in map(self.fleet.__getitem__, fault.names):
            if isinstance(fault, Stall):
                self.at(fault.at, partial(self.stall, sidecar))
                self.at(fault.at + fault.length, partial(self.go_on, sidecar))
            elif isinstance(fault, Kill):
                self.at(fault.at, partial(self.kill, sidecar))
                if fault.back is not None:
                    self.at(
                        fault.at + fault.back,
                        partial(self.start, sidecar, odd=f"clock={fault.clock}" if fault.clock else ""),
                    )
            elif isinstance(fault, Folder):
                if fault.how not in ("lost", "copied"):
                    raise ValueError(f"folder {fault.how}: no machine is restarted here, see lab/fleet/long")
                if fault.how == "copied":
                    self.at(fault.at - fault.age, partial(self.copy, sidecar))
                self.at(fault.at, partial(self.kill, sidecar))
                self.at(fault.at + fault.back, partial(self.put_back, sidecar))
            else:
                self.at(fault.at, partial(self.leave, sidecar, back=isinstance(fault, Restart)))

    def weather(self, fault: NetworkFault, now: float, begins: bool) -> None:
        if begins:
            self.fleet.network.begin(fault)
        else:
            self.fleet.network.end(fault)

    def stall(self, sidecar: Sidecar, now: float) -> None:
        if sidecar.runs:
            sidecar.stall()
            self.away.append(Away(sidecar.name, now, stalled=True))

    def go_on(self, sidecar: Sidecar, now: float) -> None:
        sidecar.go_on()
        self.back(sidecar.name, now, stalled=True)

    def kill(self, sidecar: Sidecar, now: float) -> None:
        if sidecar.runs:
            sidecar.kill()
            self.away.append(Away(sidecar.name, now))

    def leave(self, sidecar: Sidecar, now: float, back: bool) -> None:
        if sidecar.runs:
            sidecar.leave()
            self.leaving[sidecar.name] = back

    def start(self, sidecar: Sidecar, now: float, odd: str = "") -> None:
        if not sidecar.runs:
            sidecar.start(odd)
            self.starting.add(sidecar.name)

    def copy(self, sidecar: Sidecar, now: float) -> None:
        sidecar.copy_kept(sidecar.folder / "copy")

    def put_back(self, sidecar: Sidecar, now: float) -> None:
        """Its folder from the copy, or empty where there is none."""
        kept, copy = sidecar.folder / "kept", sidecar.folder / "copy"
        shutil.rmtree(kept)
        if copy.exists():
            copy.rename(kept)
        else:
            kept.mkdir()
        self.start(sidecar, now)

    def back(self, name: str, now: float, stalled: bool = False) -> None:
        for away in self.away:
            if away.name == name and away.stalled == stalled and away.until == math.inf:
                away.until = now

    def due(self, now: float) -> None:
        """Does what is due at this time. Raises NotInTime if one that was started anew has ended."""
        while self.acts and self.acts[0][0] <= now:
            self.acts.pop(0)[2](now)
        for name, back in list(self.leaving.items()):
            sidecar = self.fleet[name]
            if not sidecar.runs:
                del self.leaving[name]
                sidecar.gone()
                self.away.append(Away(name, now))
                if back:
                    self.start(sidecar, now)
        for name in sorted(self.starting):
            if self.fleet[name].ready():
                self.starting.discard(name)
                self.back(name, now)

    def is_away(self, name: str) -> bool:
        return name in self.leaving or any(a.name == name and a.until == math.inf for a in self.away)

    @property
    def over(self) -> bool:
        return not (self.acts or self.leaving or self.starting)


def play(
    fleet: Fleet, schedule: Schedule, beside: Callable[[float], None] = lambda now: None, until: float = 0.0
) -> Player:
    """Plays it from now on, to its end and `until` at least; `beside` is called all the while."""
    player, start = Player(fleet, schedule), time.monotonic()
    while (now := time.monotonic() - start) < until or not player.over:
        player.due(now)
        beside(now)
        time.sleep(LOOK)
    return player
