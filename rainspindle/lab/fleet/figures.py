"""`python -m rainspindle.lab.fleet.figures members`: plays what docs/results/members.md shows, writes it."""

from __future__ import annotations

import sys

from . import members_figures

if __name__ == "__main__":
    if sys.argv[1:2] != ["members"]:
        raise SystemExit("python -m rainspindle.lab.fleet.figures members")
    members_figures.main()
