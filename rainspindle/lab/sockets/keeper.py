"""Ends the sidecars of a run whose own process is gone: standard input names them, its end ends them.

Guards against sidecars that outlive a run which was killed outright.
"""

from __future__ import annotations

import contextlib
import os
import signal
import sys

if __name__ == "__main__":
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    pids: set[int] = set()
    for line in sys.stdin:
        pid = int(line)
        if pid > 0:
            pids.add(pid)
        else:
            pids.discard(-pid)  # it has been waited for: the number may be another's by now
    for pid in pids:
        with contextlib.suppress(OSError):
            os.kill(pid, signal.SIGKILL)
