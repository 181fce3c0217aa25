"""Starts the program with something odd about it.

    python -m rainspindle.lab.fleet.odd clock=-3600,next-release serve --config FILE --fleet FILE

| oddity | is |
| --- | --- |
| clock=SECONDS | Unix time is so far ahead, the steady clock is right |
| next-release | what it tells members has more in it than this release knows |
| free-wallet | planted: exchanges are not debited |
| deaf-canary | planted: others' word of an abort is not heard |
| bad-disk | the disk of records is as the file `disk` beside them says: full, read-only, stalled |
"""

from __future__ import annotations

import errno
import os
import sys
import time
from collections.abc import Callable


def shift(seconds: float) -> None:
    right, right_ns = time.time, time.time_ns
    time.time = lambda: right() + seconds
    time.time_ns = lambda: right_ns() + int(seconds * 1e9)


def next_release() -> None:
    """One version higher; a key, and a further item in each piece of news, that this release cannot know."""
    import msgspec

    from ...protocol import members as wire

    ours = wire.encode

    def encode(message: wire.OutgoingMessage | wire.Message) -> bytes:
        whole = msgspec.msgpack.decode(ours(message))
        whole["v"], whole["zz"] = whole["v"] + 1, [1]
        for news in whole.get("m", []):
            news.append({"since": 1})
        data = msgspec.msgpack.encode(whole)
        return data if len(data) <= wire.MAX_DATAGRAM else ours(message)

    wire.encode = encode


def free_wallet() -> None:
    from ...decisions.wallet.wallet import Wallet

    def debit(self: Wallet, now: float, price: int, binding: bool) -> bool:
        return True

    Wallet.debit = debit  # type: ignore[method-assign]


def deaf_canary() -> None:
    from ...decisions.canary.canary import Canary
    from ...decisions.canary.state import State

    learns = Canary.merge_state

    def learn(self: Canary, now: float, other: State, note: str = "") -> None:
        if not other.aborted or note == "called":
            learns(self, now, other, note)

    Canary.merge_state = learn  # type: ignore[method-assign]


def bad_disk() -> None:
    from ...store.generations import DiskFiles

    write, sync = DiskFiles.write, DiskFiles.sync

    def now(files: DiskFiles) -> str:
        try:
            return (files.folder / "disk").read_text()
        except FileNotFoundError:
            return ""

    def bad_write(files: DiskFiles, name: str, data: bytes) -> None:
        if now(files) == "read-only":
            raise OSError(errno.EROFS, os.strerror(errno.EROFS))
        if now(files) == "full":
            write(files, name, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        write(files, name, data)

    def bad_sync(files: DiskFiles, name: str) -> None:
        while now(files) == "stalled":
            time.sleep(0.02)
        sync(files, name)

    DiskFiles.write = bad_write  # type: ignore[method-assign,assignment]
    DiskFiles.sync = bad_sync  # type: ignore[method-assign,assignment]


PLANTS: dict[str, Callable[[], None]] = {
    "next-release": next_release,
    "free-wallet": free_wallet,
    "deaf-canary": deaf_canary,
    "bad-disk": bad_disk,
}

if __name__ == "__main__":
    for name in sys.argv[1].split(","):
        if name.startswith("clock="):
            shift(float(name.removeprefix("clock=")))
        else:
            PLANTS[name]()
    from ...program.main import main  # after all: names bound at import would keep what was right

    sys.exit(main(sys.argv[2:]))
