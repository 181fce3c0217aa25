"""python -m rainspindle: the command line of the real sidecar."""

import sys

from .program.main import main

if __name__ == "__main__":  # guards against a second start where the lab's own processes read this again
    sys.exit(main())
