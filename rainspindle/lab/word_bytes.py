"""What the cells of evidence cost the members: `python -m rainspindle.lab.word_bytes EXPERIMENT [SIDECARS]`.

The experiment is played with word. The cells that its sidecars wrote are then written at the same moments by
as many members in virtual time, the classes that serve, and by none of them for comparison.
"""

from __future__ import annotations

import math
import sys
from dataclasses import dataclass, field
from statistics import fmean, quantiles

from ..decisions.shared.registers import Register
from ..protocol.evidence import CELL, encode_told
from .experiment import Experiment, Sidecars, Variant, load
from .fleet.members_figures import warm
from .fleet.virtual import Process
from .fleet.virtual import World as Members
from .virtual import VirtualRun
from .world import World

LEAD = 5.0  # seconds that the members run before the first cell
Written = list[tuple[float, int, bytes]]  # when, by which sidecar, what


@dataclass
class Cost:
    """By second, of one member in the mean, and how long it took until another had a cell."""

    sent_bytes: list[float] = field(default_factory=list)
    datagrams: list[float] = field(default_factory=list)
    delays: list[float] = field(default_factory=list)
    cells: list[int] = field(default_factory=list)  # of all members


def written(x: Experiment, seed: int) -> Written:
    run = VirtualRun(World(x, Variant(name="word", word=True), seed))
    run.play()
    assert run.words is not None
    return [(news.at, news.owner, encode_told(news.told)) for news in run.words.news]


def cost(size: int, cells: Written, span: float, seed: int = 1) -> Cost:
    """Of `size` members over `span` seconds from the run's start, which know each other when they begin."""
    world, found, at = Members(seed), Cost(), dict[tuple[str, int], float]()

    def arrived(now: float, cell: Register) -> None:
        found.delays.append(now - at[cell.owner, cell.sequence])

    for process in world.fleet(size):
        process.cells.on_change(CELL, arrived)
    warm(world)
    world.run(world.now + LEAD)
    begun = world.now

    def write(process: Process, value: bytes) -> None:
        cell: Register = process.cells.write(world.now, CELL, value)
        at[cell.owner, cell.sequence] = world.now

    for when, owner, value in cells:
        if when < span:
            world.at(begun + max(when, 0.0), write, world.processes[f"m{owner}"], value)
    for second in range(math.ceil(span)):
        sent, size_sent = (sum(getattr(p, what) for p in world.running()) for what in ("sent", "sent_bytes"))
        world.run(begun + second + 1)
        found.datagrams.append((sum(p.sent for p in world.running()) - sent) / size)
        found.sent_bytes.append((sum(p.sent_bytes for p in world.running()) - size_sent) / size)
        found.cells.append(sum(second <= max(when, 0.0) < second + 1 for when, _, _ in cells))
    return found


def main(path: str, sidecars: str = "") -> None:
    x = load(path)
    if sidecars:
        x = x.model_copy(update={"sidecars": Sidecars(count=int(sidecars), skew=x.sidecars.skew)})
    size, cells = x.sidecars.count, written(x, x.seeds[0])
    sizes = [len(value) for _, _, value in cells]
    print(f"{size} members, {len(cells)} cells of {fmean(sizes):.0f} bytes, {max(sizes)} at most", flush=True)
    with_, without = (cost(size, some, x.length) for some in (cells, []))
    print("second  cells  bytes a member, without, more  datagrams a member, without")
    for n, count in enumerate(with_.cells):
        more, less = with_.sent_bytes[n], without.sent_bytes[n]
        print(
            f"{n:6d} {count:6d} {more:8.0f} {less:8.0f} {more - less:8.0f}"
            f" {with_.datagrams[n]:8.2f} {without.datagrams[n]:8.2f}"
        )
    print(
        "delays, by eighths:",
        *(f"{cut:.2f}" for cut in quantiles(with_.delays, n=8)),
        f"most {max(with_.delays):.2f}, of {len(with_.delays)}",
    )


if __name__ == "__main__":
    main(*sys.argv[1:])
