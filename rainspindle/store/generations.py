"""A persistent record: each write creates a new generation, and the generation before it is retained.

A generation is a file of its own, such as `NAME.7`. It is written under a temporary name, synced and renamed,
and the folder is synced; only then is the write acknowledged, and only after that are older generations other
than the previous one removed. Whenever the machine stops, the latest acknowledged generation, or a newer one,
is therefore intact on disk: `lab/crashstates.py` checks this for a stop at each moment.
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
# Magic, format version, lowest version of a reader, kind, generation, payload length.
HEADER = struct.Struct(">8sHHIQQ")
CHECK = 4  # bytes of the CRC-32 of the header and the payload
GENERATION_NUMBER = re.compile(r"[1-9][0-9]{0,14}")
MAX_READ_ATTEMPTS = 8  # newest generations that a read tries
# Writes after which a temporary file of another process is regarded as abandoned.
ABANDONED_AFTER_WRITES = 10


class Files(Protocol):
    """The operations on a folder, as an interface so that tests can record them.

    Names are relative to the folder. Each method raises OSError.
    """

    def names(self) -> list[str]:
        """Lists the folder."""

    def read(self, name: str, most: int) -> bytes:
        """Reads a file, up to one byte more than `most` so that the caller can detect an excess."""

    def write(self, name: str, data: bytes) -> None:
        """Writes a new file, replacing one of the same name."""

    def sync(self, name: str) -> None:
        """Returns once the file that was written last is on disk."""

    def rename(self, name: str, to: str) -> None:
        """Renames a file, replacing one that has the new name."""

    def remove(self, name: str) -> None:
        """Removes a file; does nothing if there is none."""

    def sync_folder(self) -> None:
        """Returns once the names of the files are on disk."""


class DiskFiles:
    """Files in a folder on disk."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.fd = folder, -1  # the file being written, -1 if none

    def names(self) -> list[str]:
        """Lists the folder."""
        return os.listdir(self.folder)

    def read(self, name: str, most: int) -> bytes:
        """Reads up to `most` + 1 bytes. Raises PermissionError if others could have written the file."""
        fd = os.open(self.folder / name, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
        with os.fdopen(fd, "rb") as file:
            status = os.fstat(fd)
            # In a folder that is not private, another user can place a file under this name.
            if not stat.S_ISREG(status.st_mode) or status.st_uid != os.geteuid() or status.st_mode & 0o022:
                raise PermissionError("not a regular file owned and writable by this user alone")
            return file.read(most + 1)

    def write(self, name: str, data: bytes) -> None:
        """Writes a new file and leaves it open for `sync`."""
        self.close()
        self.remove(name)
        self.fd = os.open(
            self.folder / name, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW | os.O_CLOEXEC, 0o600
        )
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(self.fd, remaining) :]

    def sync(self, name: str) -> None:
        """Syncs through the descriptor that wrote: only that one is certain to report write errors."""
        os.fsync(self.fd)
        self.close()

    def rename(self, name: str, to: str) -> None:
        """Renames a file, replacing one that has the new name."""
        os.replace(self.folder / name, self.folder / to)

    def remove(self, name: str) -> None:
        """Removes a file; does nothing if there is none."""
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self.folder / name)

    def sync_folder(self) -> None:
        """Syncs the folder, and so the names of its files."""
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def close(self) -> None:
        """Closes the file being written, if any."""
        if self.fd >= 0:
            fd, self.fd = self.fd, -1
            os.close(fd)


@dataclass(frozen=True, slots=True)
class StoredGeneration:
    """A generation as read from disk."""

    generation: int
    version: int  # format version of the writer
    payload: bytes
    refused: tuple[str, ...] = ()  # file name and reason for each newer generation that failed a check


class Generations:
    """The generations of one record in a folder. Only one thread may use it at a time."""

    def __init__(
        self, files: Files, name: str, kind: int, version: int, least: int, most: int, tag: str = ""
    ) -> None:
        """Initializes without accessing the folder.

        Args:
            files: operations on the folder.
            name: prefix of the file names.
            kind: number that distinguishes this kind of record in the header.
            version: format version that this program writes.
            least: lowest reader version that understands what is written.
            most: maximum payload size in bytes.
            tag: makes the temporary file name distinct among concurrent processes.
        """
        self.files, self.name, self.kind, self.most = files, name, kind, most
        self.version, self.least = version, least
        self.made = f"{name}.new-{tag}"
        self.last = 0  # latest generation known to be intact, 0 if none
        self.foreign_writes_seen = Counter[str]()  # writes since each foreign temporary file appeared

    def write(self, payload: bytes) -> int:
        """Writes a generation and returns its number once it is on disk.

        Raises OSError, and then leaves earlier generations unchanged.
        """
        if len(payload) > self.most:
            raise OSError(
                f"{self.name}: payload of {len(payload)} bytes exceeds the limit of {self.most} bytes"
            )
        existing = self.there()
        generation = max([self.last, *existing]) + 1
        try:
            self.put(generation, self.encode(generation, payload))
        except BaseException:
            with contextlib.suppress(OSError):
                self.files.remove(self.made)
            raise
        before = self.last if self.last in existing else max(existing, default=0)
        self.last = generation
        with contextlib.suppress(OSError):
            self.prune(generation, before)
        return generation

    def put(self, generation: int, data: bytes) -> None:
        """Makes the encoded generation durable under its final name."""
        self.files.write(self.made, data)
        self.files.sync(self.made)
        self.files.rename(self.made, self.named(generation))
        self.files.sync_folder()

    def prune(self, generation: int, before: int) -> None:
        """Removes all generations but these two, and temporary files that killed writers have left."""
        for other in self.there():
            if other not in (generation, before):
                self.files.remove(self.named(other))
        # A temporary file that persists was left by a killed writer; a concurrent process replaces its own.
        foreign = [
            file_name
            for file_name in self.files.names()
            if file_name.startswith(f"{self.name}.new-") and file_name != self.made
        ]
        self.foreign_writes_seen = Counter({name: self.foreign_writes_seen[name] + 1 for name in foreign})
        for name, writes in self.foreign_writes_seen.items():
            if writes > ABANDONED_AFTER_WRITES:
                self.files.remove(name)

    def read(self) -> StoredGeneration:
        """Returns the newest intact generation. Raises Missing if there is none at all, otherwise Unfit."""
        refused: list[str] = []
        try:
            newest_first = sorted(self.there(), reverse=True)[:MAX_READ_ATTEMPTS]
        except OSError as error:
            raise Unfit(error.strerror or str(error)) from None
        for generation in newest_first:
            try:
                version, payload = self.read_generation(generation)
            except OSError as error:
                refused.append(f"{self.named(generation)}: {error.strerror or error}")
            except Unfit as error:
                refused.append(f"{self.named(generation)}: {error}")
            else:
                self.last = generation
                return StoredGeneration(generation, version, payload, tuple(refused))
        if not refused:
            raise Missing(f"no generation of {self.name} exists")
        raise Unfit("; ".join(refused))

    def there(self) -> list[int]:
        """Returns the numbers of the generations in the folder, in no order. Raises OSError."""
        prefix = self.name + "."
        return [
            int(name[len(prefix) :])
            for name in self.files.names()
            if name.startswith(prefix) and GENERATION_NUMBER.fullmatch(name[len(prefix) :])
        ]

    def named(self, generation: int) -> str:
        """Returns the file name of a generation."""
        return f"{self.name}.{generation}"

    def encode(self, generation: int, payload: bytes) -> bytes:
        """Returns the contents of a generation's file: header, checksum and payload."""
        head = HEADER.pack(MAGIC, self.version, self.least, self.kind, generation, len(payload))
        return head + self.check(head, payload) + payload

    def check(self, head: bytes, payload: bytes) -> bytes:
        """Returns the CRC-32 of the header and the payload."""
        return zlib.crc32(payload, zlib.crc32(head)).to_bytes(CHECK, "big")

    def read_generation(self, generation: int) -> tuple[int, bytes]:
        """Returns format version and payload. Raises OSError, or Unfit if the file fails a check."""
        payload_start = HEADER.size + CHECK
        data = self.files.read(self.named(generation), payload_start + self.most)
        if len(data) < payload_start:
            raise Unfit(
                f"file of {len(data)} bytes is shorter than its header and checksum of {payload_start} bytes"
            )
        head, payload = data[: HEADER.size], data[payload_start:]
        magic, version, least, kind, number, length = HEADER.unpack(head)
        if magic != MAGIC or kind != self.kind:
            raise Unfit("another kind of file: magic or kind does not match")
        if length != len(payload) or data[HEADER.size : payload_start] != self.check(head, payload):
            raise Unfit("checksum or payload length does not match the header")
        if number != generation:
            raise Unfit(f"header is of generation {number}, expected {generation}")
        if least > self.version:
            raise Unfit(
                f"format version {version} requires a reader of version {least}, this one has {self.version}"
            )
        return version, payload


@dataclass(frozen=True, slots=True)
class WriteOutcome:
    """The state of a writer after its last completed write."""

    generation: int = 0  # latest acknowledged generation, 0 if none
    at: float | None = None  # time of the acknowledgement by the writer's clock
    fault: str = ""  # error of the last write, "" if it succeeded
    writes: int = 0  # successful writes


class Writer:
    """Writes in a thread of its own, so that a stalled disk blocks no caller.

    At most one payload is pending; a newer payload replaces it.
    """

    def __init__(self, generations: Generations, clock: Callable[[], float]) -> None:
        self.generations, self.clock = generations, clock
        self.outcome = WriteOutcome()
        self.pending: bytes | None = None
        self.begun: float | None = None  # start of the write in progress, None if there is none
        self.state_changed = threading.Condition()
        self.thread: threading.Thread | None = None

    def submit(self, payload: bytes) -> None:
        """Schedules a write; replaces a payload that is still pending."""
        with self.state_changed:
            self.pending = payload
            if self.thread is None:
                self.thread = threading.Thread(target=self.run, name="keep", daemon=True)
                self.thread.start()
            self.state_changed.notify_all()

    def run(self) -> None:
        """Writes pending payloads; the body of the thread."""
        while True:
            with self.state_changed:
                while self.pending is None:
                    self.state_changed.wait()
                payload, self.pending, self.begun = self.pending, None, self.clock()
            previous = self.outcome
            try:
                outcome = WriteOutcome(self.generations.write(payload), self.clock(), "", previous.writes + 1)
            except OSError as error:
                outcome = WriteOutcome(
                    previous.generation, previous.at, error.strerror or str(error), previous.writes
                )
            with self.state_changed:
                self.outcome, self.begun = outcome, None
                self.state_changed.notify_all()

    @property
    def busy(self) -> bool:
        """Whether a write is in progress or pending."""
        return self.begun is not None or self.pending is not None

    def flush(self, seconds: float) -> bool:
        """Waits up to `seconds` for all submitted payloads; returns whether each was written or failed."""
        with self.state_changed:
            return self.state_changed.wait_for(lambda: not self.busy, seconds)
