"""python -m rainspindle.simhost: serve the simulator's wire until standard input ends."""

import sys

from .adapter import serve

sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
