"""How long real processes take to know of each other, in figures: `python -m rainspindle.lab.fleet.times`

Prints one JSON object: for each matter its count, median and most in seconds, over all consoles.
"""

from __future__ import annotations

import argparse
import json
import random
import tempfile
import time
from collections.abc import Iterator, Sequence
from pathlib import Path

from .pressure import Pressure
from .processes import PATIENCE, Fleet, quiet_config
from .schedule import NetworkFault, Split, Weather
from .watch import Watch

Figure = tuple[str, float]  # what is measured, seconds


def told(watch: Watch, since: float, state: str, names: Sequence[str]) -> list[float]:
    """Seconds until each console first said so of each of these, from `since` on the steady clock."""
    first: dict[tuple[str, str], float] = {}
    for s in watch.said(state, *names):
        if s.at >= since and s.viewer not in names:
            first.setdefault((s.viewer, s.name), s.at - since)
    return list(first.values())


def crashes(fleet: Fleet, watch: Watch, what: str, chance: random.Random, rounds: int) -> Iterator[Figure]:
    names = list(fleet.sidecars)
    for _ in range(rounds):
        name = chance.choice(names)
        rest = [n for n in names if n != name]
        begun = time.monotonic()
        fleet[name].kill()
        fleet.await_agreed({name: "dead"}, PATIENCE, *rest)
        time.sleep(0.2)  # all consoles are looked at once more
        yield from ((f"{what}: a crash known", seconds) for seconds in told(watch, begun, "dead", [name]))
        begun = time.monotonic()
        fleet[name].start()
        fleet.all_alive()
        yield f"{what}: all know one that is back, with its start", time.monotonic() - begun


def stalls(fleet: Fleet, watch: Watch, chance: random.Random, lengths: Sequence[float]) -> Iterator[Figure]:
    for length in lengths:
        name = chance.choice(list(fleet.sidecars))
        wrong = len(watch.said("dead"))
        fleet[name].stall()
        time.sleep(length)
        fleet[name].go_on()
        yield f"stalled {length:g} s: all alive to all after waking", fleet.all_alive()
        time.sleep(2.0)
        others = [s for s in watch.said("dead")[wrong:] if s.name != name]
        yield f"stalled {length:g} s: burials of others", float(len(others))


def cut_off(fleet: Fleet, chance: random.Random, rounds: int) -> Iterator[Figure]:
    names = list(fleet.sidecars)
    for _ in range(rounds):
        off = chance.sample(names, len(names) // 3)
        rest = [n for n in names if n not in off]
        split: NetworkFault = fleet.network.begin(Split(0.0, (tuple(off), tuple(rest))))
        begun = time.monotonic()
        fleet.await_agreed(dict.fromkeys(off, "dead"), 2 * PATIENCE, *rest)
        fleet.await_agreed(dict.fromkeys(rest, "dead"), 2 * PATIENCE, *off)
        yield "a third cut off: known on both sides", time.monotonic() - begun
        fleet.network.end(split)
        yield "a third cut off: one fleet again", fleet.all_alive()


def measured(count: int, seed: int, rounds: int, folder: Path) -> Iterator[Figure]:
    chance, names = random.Random(seed), [f"m{n}" for n in range(count)]
    with Pressure() as pressure, Fleet(folder, names, seed, quiet_config(pressure.endpoint)) as fleet:
        begun = time.monotonic()
        fleet.start()
        fleet.all_alive()
        yield f"{count} started together: all know all, with their start", time.monotonic() - begun
        with Watch(fleet) as watch:
            yield from crashes(fleet, watch, "quiet", chance, rounds)
            yield from stalls(fleet, watch, chance, (1.0, 2.0, 5.0, 10.0, 20.0))
            yield from cut_off(fleet, chance, max(1, rounds // 3))
            wrong = len(watch.said("dead"))
            loss = fleet.network.begin(Weather(loss=0.3))
            time.sleep(6.0 * rounds)
            yield f"{6 * rounds} s at 30% loss: wrong burials", float(len(watch.said("dead")) - wrong)
            yield from crashes(fleet, watch, "30% loss", chance, rounds)
            fleet.network.end(loss)
            fleet.all_alive()
            for name in names[:2]:
                pressure.drive(fleet[name].listen, 8.0)
            time.sleep(1.0)
            begun = time.monotonic()
            fleet[names[-1]].kill()
            fleet.await_agreed({names[-1]: "dead"}, PATIENCE, *names[:-1])
            time.sleep(0.2)
            yield from (
                ("two of them under full load: a crash known", seconds)
                for seconds in told(watch, begun, "dead", names[-1:])
            )
            pressure.done()


def main() -> None:
    parser = argparse.ArgumentParser("python -m rainspindle.lab.fleet.times")
    parser.add_argument("--members", type=int, default=12)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=10)
    options = parser.parse_args()
    found: dict[str, list[float]] = {}
    with tempfile.TemporaryDirectory(prefix="rainspindle-times-") as folder:
        for what, seconds in measured(options.members, options.seed, options.rounds, Path(folder)):
            found.setdefault(what, []).append(seconds)
    print(
        json.dumps(
            {
                what: {
                    "count": len(all),
                    "median": round(sorted(all)[len(all) // 2], 3),
                    "most": round(max(all), 3),
                }
                for what, all in found.items()
            },
            indent=1,
        )
    )


if __name__ == "__main__":
    main()
