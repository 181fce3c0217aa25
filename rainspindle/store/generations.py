"""A record that outlasts its process: each writing is a new generation, and the one before it is kept.

A generation is a file of its own, `NAME.7`: made under another name, synced, renamed, and the folder synced;
only then is it acknowledged, and only after that is the last but one removed. So whenever the machine stops,
the newest acknowledged one is whole on the disk, or one newer: `lab/crashstates.py` goes through each moment.
"""

from __future__ import annotations

import contextlib
import os
import re
import stat
import struct
import threading
import zlib
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

from ..lazy_dataclasses import dataclass
from .file import Missing, Unfit

MAGIC = b"rainkeep"
# Magic, version, the lowest version of a reader, kind, generation, length.
HEADER = struct.Struct(">8sHHIQQ")
CHECK = 4  # bytes of the checksum over all before it and the payload
NAMED = re.compile(r"[1-9][0-9]{0,14}")
LOOKED_AT = 8  # generations that are tried at a reading
STRAY = 10  # writings after which a half-made file of another process is taken for left behind


class Files(Protocol):
    """All that is done to a folder, so that it can be recorded. Names are within it. Each raises OSError."""

    def names(self) -> list[str]: ...

    def read(self, name: str, most: int) -> bytes:
        """One byte over `most` at most."""

    def write(self, name: str, data: bytes) -> None:
        """A file made anew."""

    def sync(self, name: str) -> None:
        """What was last written is on the disk."""

    def rename(self, name: str, to: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def sync_folder(self) -> None:
        """Its names are on the disk."""


class DiskFiles:
    def __init__(self, folder: Path) -> None:
        self.folder, self.fd = folder, -1

    def names(self) -> list[str]:
        return os.listdir(self.folder)

    def read(self, name: str, most: int) -> bytes:
        fd = os.open(self.folder / name, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
        with os.fdopen(fd, "rb") as file:
            about = os.fstat(fd)
            # Guards against a file that somebody else laid there, where the folder is not private.
            if not stat.S_ISREG(about.st_mode) or about.st_uid != os.geteuid() or about.st_mode & 0o022:
                raise PermissionError("not a file of this user alone")
            return file.read(most + 1)

    def write(self, name: str, data: bytes) -> None:
        self.close()
        self.remove(name)
        self.fd = os.open(
            self.folder / name, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW | os.O_CLOEXEC, 0o600
        )
        left = memoryview(data)
        while left:
            left = left[os.write(self.fd, left) :]

    def sync(self, name: str) -> None:
        """By the descriptor that wrote: only that one is told for certain what went wrong since."""
        os.fsync(self.fd)
        self.close()

    def rename(self, name: str, to: str) -> None:
        os.replace(self.folder / name, self.folder / to)

    def remove(self, name: str) -> None:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self.folder / name)

    def sync_folder(self) -> None:
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def close(self) -> None:
        if self.fd >= 0:
            fd, self.fd = self.fd, -1
            os.close(fd)


@dataclass(frozen=True, slots=True)
class Kept:
    """What was read."""

    generation: int
    version: int  # of its writer
    payload: bytes
    refused: tuple[str, ...] = ()  # newer ones that are not sound, each with why


class Generations:
    """One name in a folder. Used by one thread at a time."""

    def __init__(
        self, files: Files, name: str, kind: int, version: int, least: int, most: int, tag: str = ""
    ) -> None:
        """`least`: the lowest version whose readers understand what is written here; `most` bytes of payload;
        `tag` tells apart processes that write beside each other."""
        self.files, self.name, self.kind, self.most = files, name, kind, most
        self.version, self.least = version, least
        self.made = f"{name}.new-{tag}"
        self.last = 0  # the last that is known to be sound
        self.strays = Counter[str]()

    def write(self, payload: bytes) -> int:
        """The generation, which is on the disk by then. Raises OSError; those before are as they were."""
        if len(payload) > self.most:
            raise OSError(f"{len(payload)} bytes for {self.name}, which may hold {self.most}")
        there = self.there()
        generation = max([self.last, *there]) + 1
        try:
            self.put(generation, self.sealed(generation, payload))
        except BaseException:
            with contextlib.suppress(OSError):
                self.files.remove(self.made)
            raise
        before = self.last if self.last in there else max(there, default=0)
        self.last = generation
        with contextlib.suppress(OSError):
            self.prune(generation, before)
        return generation

    def put(self, generation: int, data: bytes) -> None:
        self.files.write(self.made, data)
        self.files.sync(self.made)
        self.files.rename(self.made, self.named(generation))
        self.files.sync_folder()

    def prune(self, generation: int, before: int) -> None:
        for other in self.there():
            if other not in (generation, before):
                self.files.remove(self.named(other))
        # Guards against files that a killed writer left half made; one of a process beside this one stays.
        half = [n for n in self.files.names() if n.startswith(f"{self.name}.new-") and n != self.made]
        self.strays = Counter({name: self.strays[name] + 1 for name in half})
        for name, seen in self.strays.items():
            if seen > STRAY:
                self.files.remove(name)

    def read(self) -> Kept:
        """The newest that is sound. Raises Unfit: Missing where there never was one."""
        refused: list[str] = []
        try:
            there = sorted(self.there(), reverse=True)[:LOOKED_AT]
        except OSError as fault:
            raise Unfit(fault.strerror or str(fault)) from None
        for generation in there:
            try:
                version, payload = self.opened(generation)
            except OSError as fault:
                refused.append(f"{self.named(generation)}: {fault.strerror or fault}")
            except Unfit as fault:
                refused.append(f"{self.named(generation)}: {fault}")
            else:
                self.last = generation
                return Kept(generation, version, payload, tuple(refused))
        if not refused:
            raise Missing("there is none")
        raise Unfit("; ".join(refused))

    def there(self) -> list[int]:
        start = self.name + "."
        return [
            int(n[len(start) :])
            for n in self.files.names()
            if n.startswith(start) and NAMED.fullmatch(n[len(start) :])
        ]

    def named(self, generation: int) -> str:
        return f"{self.name}.{generation}"

    def sealed(self, generation: int, payload: bytes) -> bytes:
        head = HEADER.pack(MAGIC, self.version, self.least, self.kind, generation, len(payload))
        return head + self.check(head, payload) + payload

    def check(self, head: bytes, payload: bytes) -> bytes:
        return zlib.crc32(payload, zlib.crc32(head)).to_bytes(CHECK, "big")

    def opened(self, generation: int) -> tuple[int, bytes]:
        """Version and payload. Raises OSError, Unfit."""
        first = HEADER.size + CHECK
        data = self.files.read(self.named(generation), first + self.most)
        if len(data) < first:
            raise Unfit("shorter than its header")
        head, payload = data[: HEADER.size], data[first:]
        magic, version, least, kind, number, length = HEADER.unpack(head)
        if magic != MAGIC or kind != self.kind:
            raise Unfit("another kind of file")
        if length != len(payload) or data[HEADER.size : first] != self.check(head, payload):
            raise Unfit("its checksum or its length does not fit")
        if number != generation:
            raise Unfit(f"is generation {number}")
        if least > self.version:
            raise Unfit(f"version {version} wants a reader of version {least}, this one is {self.version}")
        return version, payload


@dataclass(frozen=True, slots=True)
class Outcome:
    """Of the last writing that came to an end."""

    generation: int = 0  # the last acknowledged
    at: float | None = None  # when, by the clock given
    fault: str = ""  # of the last writing; "" where it went well
    writes: int = 0


class Writer:
    """Writes in a thread of its own: a disk that stalls holds up nobody, and the latest waits its turn."""

    def __init__(self, generations: Generations, clock: Callable[[], float]) -> None:
        self.generations, self.clock = generations, clock
        self.outcome = Outcome()
        self.wanted: bytes | None = None
        self.begun: float | None = None  # of the writing under way
        self.there = threading.Condition()
        self.thread: threading.Thread | None = None

    def give(self, payload: bytes) -> None:
        """Instead of one that still waits."""
        with self.there:
            self.wanted = payload
            if self.thread is None:
                self.thread = threading.Thread(target=self.run, name="keep", daemon=True)
                self.thread.start()
            self.there.notify_all()

    def run(self) -> None:
        while True:
            with self.there:
                while self.wanted is None:
                    self.there.wait()
                payload, self.wanted, self.begun = self.wanted, None, self.clock()
            before = self.outcome
            try:
                done = Outcome(self.generations.write(payload), self.clock(), "", before.writes + 1)
            except OSError as fault:
                done = Outcome(before.generation, before.at, fault.strerror or str(fault), before.writes)
            with self.there:
                self.outcome, self.begun = done, None
                self.there.notify_all()

    @property
    def busy(self) -> bool:
        return self.begun is not None or self.wanted is not None

    def flush(self, seconds: float) -> bool:
        """Whether all that was given is written, or has failed, within the time."""
        with self.there:
            return self.there.wait_for(lambda: not self.busy, seconds)
