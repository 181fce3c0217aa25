"""Serves the simulator's protocol until standard input ends: python -m rainspindle.simhost."""

import sys

from .adapter import serve

sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
