"""`python -m rainspindle.lab.fleet.figures members FILE`: plays what docs/results/members.md shows.

FILE keeps what was played, so that the next call goes on where one was ended."""

from __future__ import annotations

import sys
from pathlib import Path

from . import members_figures

if __name__ == "__main__":
    if sys.argv[1:2] != ["members"] or len(sys.argv) != 3:
        raise SystemExit("python -m rainspindle.lab.fleet.figures members FILE")
    members_figures.main(Path(sys.argv[2]))
