"""What the consoles of a fleet say over a run, looked at all the time."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field

from .processes import CALL_TIME, PATIENCE, Fleet, Sidecar


@dataclass(frozen=True, slots=True)
class Sighting:
    """From `at` on, `viewer`'s console says so of `name`."""

    at: float
    viewer: str
    name: str
    state: str
    life: int


@dataclass(slots=True)
class Watch:
    """Looks at each console by a thread of its own, as one that stands still must not hide the rest."""

    fleet: Fleet
    every: float = 0.05
    seen: list[Sighting] = field(default_factory=list)
    stopped: threading.Event = field(default_factory=threading.Event)
    threads: list[threading.Thread] = field(default_factory=list)

    def __enter__(self) -> Watch:
        self.threads = [
            threading.Thread(target=self.look, args=(s,), daemon=True) for s in self.fleet.sidecars.values()
        ]
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stopped.set()
        for thread in self.threads:
            thread.join(PATIENCE)

    def look(self, sidecar: Sidecar) -> None:
        last: dict[str, tuple[str, int]] = {}
        while not self.stopped.wait(self.every):
            try:
                members = sidecar.members(CALL_TIME)
            except (OSError, ValueError):
                continue
            now = time.monotonic()
            for name, member in members.items():
                if last.get(name) != (told := (member["state"], member["life"])):
                    last[name] = told
                    self.seen.append(Sighting(now, sidecar.name, name, *told))

    def said(self, state: str, *names: str) -> list[Sighting]:
        """When a console first said this of any of `names`, or of anybody."""
        return [s for s in self.seen if s.state == state and (not names or s.name in names)]
