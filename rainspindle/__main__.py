"""python -m rainspindle: the command line of the real sidecar."""

import sys

from .program.main import main

sys.exit(main())
