"""What becomes of each datagram under the faults in force. No I/O, no clock: virtual time uses it as well."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from .schedule import Cut, NetworkFault, Split, Weather


@dataclass(slots=True)
class Count:
    """Of one direction between two members."""

    sent: int = 0
    bytes: int = 0
    lost: int = 0
    doubled: int = 0


@dataclass(slots=True)
class Links:
    """All directions between members, each with a stream of chance of its own, so that what befalls one does
    not hang on how the processes' datagrams happened to be ordered between the others."""

    seed: int
    faults: tuple[NetworkFault, ...] = ()  # in force; replaced whole, so that another thread may read it
    chances: dict[tuple[str, str], random.Random] = field(default_factory=dict)
    counts: dict[tuple[str, str], Count] = field(default_factory=dict)

    def begin(self, fault: NetworkFault) -> None:
        self.faults = (*self.faults, fault)

    def end(self, fault: NetworkFault) -> None:
        """Ends it, wherever it is in force."""
        self.faults = tuple(f for f in self.faults if f is not fault and f != fault)

    def clear(self) -> None:
        self.faults = ()

    def pass_on(self, source: str, target: str, size: int) -> tuple[float, ...]:
        """After how many seconds it comes, once for each time that it does; nothing if it is lost."""
        link = source, target
        chance = self.chances.get(link)
        if chance is None:
            chance = self.chances[link] = random.Random(f"{self.seed} {source} {target}")
            self.counts[link] = Count()
        count = self.counts[link]
        count.sent += 1
        count.bytes += size
        # Always as many draws: whether one datagram is lost must not change what befalls the next.
        lost, doubled, first, second = (chance.random() for _ in range(4))
        stays, once, delay, jitter = 1.0, 1.0, 0.0, 0.0
        for fault in self.faults:
            if isinstance(fault, Weather):
                if holds(fault.sources, source) and holds(fault.targets, target):
                    stays *= 1 - fault.loss
                    once *= 1 - fault.doubled
                    delay, jitter = delay + fault.delay, jitter + fault.jitter
            elif not crosses(fault, source, target):
                stays = 0.0
        if lost >= stays:
            count.lost += 1
            return ()
        if doubled < once:
            return (delay + first * jitter,)
        count.doubled += 1
        return delay + first * jitter, delay + second * jitter


def holds(names: tuple[str, ...], name: str) -> bool:
    return not names or name in names


def crosses(fault: Cut | Split, source: str, target: str) -> bool:
    if isinstance(fault, Cut):
        return not (source in fault.sources and target in fault.targets)
    return side(fault, source) == side(fault, target)


def side(split: Split, name: str) -> int:
    return next((n for n, group in enumerate(split.groups) if name in group), -1)
