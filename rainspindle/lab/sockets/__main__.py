"""One stand-in process, by its role."""

from __future__ import annotations

import gc
import signal
import sys

from .child import Child
from .endpoints import Endpoints
from .links import Links
from .lists import Lists
from .load import Load

ROLES: dict[str, type[Child]] = {"endpoints": Endpoints, "links": Links, "lists": Lists, "load": Load}

if __name__ == "__main__":
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the run that started it ends it
    child = ROLES[sys.argv[1]]()
    gc.freeze()
    child.run()
