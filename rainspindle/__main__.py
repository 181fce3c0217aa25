"""Runs the sidecar's command line: python -m rainspindle."""

import sys

from .program.main import main

if __name__ == "__main__":  # the lab's child processes import this module again, and must not start a sidecar
    sys.exit(main())
