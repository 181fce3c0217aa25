"""Plays weeks of a fleet in virtual time: one JSON line a day, and one at the end.

    python -m rainspindle.lab.fleet.long --members 2000 --wallets 10000 --canaries 5 --days 14 --seed 1

Exit status: 0 if all held, 3 if not. A run that is ended before has said how far it came.
"""

from __future__ import annotations

import argparse
import gc
import json
import sys
import time
from pathlib import Path

import msgspec

from .planted import PLANTS
from .run import Plan, from_values, plan, play, shrunk, to_values


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(
        prog="rainspindle.lab.fleet.long",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    for name, value in (("members", 30), ("wallets", 250), ("canaries", 2), ("days", 2), ("seed", 1)):
        parser.add_argument(f"--{name}", type=int, default=value)
    parser.add_argument("--bursts", type=float, default=0.4, help="of exchanges of one wallet, a day")
    parser.add_argument("--plan", type=Path, help="plays this one, as it was printed")
    parser.add_argument("--planted", choices=list(PLANTS), default="", help="with this fault planted")
    parser.add_argument("--shrink", action="store_true", help="looks for the least that still fails")
    parser.add_argument("--looks", type=int, default=4, help="lines a day")
    asked = parser.parse_args(arguments)
    if min(asked.days, asked.looks) < 1 or min(asked.wallets, asked.canaries) < 0 or asked.members < 3:
        parser.error("wants 3 members or more, and a day and a look at least")
    gc.set_threshold(200_000, 20, 100)
    try:
        made: Plan = (
            from_values(json.loads(asked.plan.read_text()))
            if asked.plan is not None
            else plan(asked.members, asked.wallets, asked.canaries, asked.days, asked.seed, asked.bursts)
        )
    except (OSError, ValueError, msgspec.ValidationError) as fault:
        parser.error(f"{asked.plan}: {fault}")
    if asked.shrink:
        least, what = shrunk(made, asked.planted, lambda line: print(line, file=sys.stderr))
        print(json.dumps({"broken": what, "plan": to_values(least)}))
        return 3 if what else 0
    begun = time.process_time()

    def line(figures: dict[str, object]) -> None:
        print(json.dumps({"cpu_s": round(time.process_time() - begun), **figures}), flush=True)

    outcome = play(made, asked.planted, line, steps=asked.looks)
    print(json.dumps({"broken": outcome.broken[:50], "seed": made.seed}), flush=True)
    return 3 if outcome.broken else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
