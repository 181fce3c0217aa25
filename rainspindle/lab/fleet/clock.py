"""Starts the program with a wall clock that is wrong: `python -m rainspindle.lab.fleet.clock -3600 serve ...`

Only what tells Unix time is changed, as by a machine whose clock was set back; the steady clock stays.
"""

from __future__ import annotations

import sys
import time


def shift(seconds: float) -> None:
    right, right_ns = time.time, time.time_ns
    time.time = lambda: right() + seconds
    time.time_ns = lambda: right_ns() + int(seconds * 1e9)


if __name__ == "__main__":
    shift(float(sys.argv[1]))
    from ...program.main import main  # after the shift: names bound at import would keep the right clock
    sys.exit(main(sys.argv[2:]))
