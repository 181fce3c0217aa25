"""Starts the program with something odd about it: a wall clock that is wrong, or messages of a later release.

    python -m rainspindle.lab.fleet.odd -3600 0 serve ...    Unix time is an hour behind, the steady clock not
    python -m rainspindle.lab.fleet.odd 0 1 serve ...        what it tells members has more in it than ours
"""

from __future__ import annotations

import sys
import time
from typing import Any


def shift(seconds: float) -> None:
    right, right_ns = time.time, time.time_ns
    time.time = lambda: right() + seconds
    time.time_ns = lambda: right_ns() + int(seconds * 1e9)


def next_release() -> None:
    """One version higher; a key, and a further item in each piece of news, that this release cannot know."""
    import msgspec

    from ...protocol import members as wire
    ours = wire.encode

    def encode(draft: Any) -> bytes:
        whole = msgspec.msgpack.decode(ours(draft))
        whole["v"], whole["zz"] = whole["v"] + 1, [1]
        for news in whole.get("m", []):
            news.append({"since": 1})
        data = msgspec.msgpack.encode(whole)
        return data if len(data) <= wire.MOST else ours(draft)
    wire.encode = encode


if __name__ == "__main__":
    if float(sys.argv[1]):
        shift(float(sys.argv[1]))
    if int(sys.argv[2]):
        next_release()
    from ...program.main import main  # after both: names bound at import would keep what was right
    sys.exit(main(sys.argv[3:]))
