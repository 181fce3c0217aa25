"""Durable rows by key, written by a thread of its own; a batch is acknowledged only once it is on disk.

The store is SQLite with synchronous FULL and a rollback journal, and each batch is one transaction. Two small
files beside the database detect that the folder was copied or restored from a copy:

- `.mark` is created once and never modified. The database holds its inode and its ctime, which no copying
  tool can set.
- `.last` holds the number of the last batch and is written after the batch. A database that is restored alone
  is therefore older than this number. A write sets both mtime and ctime of the file to the same moment,
  whereas a tool that preserves the mtime of a file leaves them different.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import queue
import secrets
import sqlite3
import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from ..errors import Trouble

LOCK_POLL_INTERVAL = 0.1  # seconds between checks for a released lock or a process that requests the lock
MOST_WAIT = 0.5  # seconds for which process shutdown waits for the disk, at most twice


class StoreTrouble(Trouble):
    """The store cannot be read or written at present."""

    remedy = "check that the folder is writable and has free space; it is retried each second"


class StoreForeign(Trouble):
    """The store belongs to another member."""

    remedy = "set [members] folder to a folder of this member alone, or to an empty one"


class StoreHeld(Trouble):
    """Another process has the store open."""

    remedy = "wait until the previous process has exited, or give each process its own folder and name"


@dataclass(frozen=True, slots=True)
class Found:
    """The contents of the store when it was opened."""

    rows: dict[str, bytes]
    fresh: bool  # the store did not exist before
    newest: bool  # whether these are the files that were written last, as far as the checks can detect
    why: str = ""  # reason that they are not the latest
    boot: int = 0  # identifies this machine boot and this volume
    # Number of the last batch: a higher number known to other members reveals that the volume was restored.
    number: int = 0


@dataclass(slots=True)
class Done:
    """The result of a batch or of opening the store, or a request by another process for the store."""

    found: Found | None = None
    trouble: Trouble | None = None
    batch: int = 0  # as given to `write`
    number: int = 0  # of the batch in the store
    wanted: bool = False  # a process that started later waits for the store


@dataclass(slots=True)
class Job:
    """A batch to write."""

    rows: dict[str, bytes] = field(default_factory=dict)
    batch: int = 0
    over: int = 0  # the number of the batch in the store is to be greater than this


class Kept:
    """Durable rows by key, owned by one member and open in one process at a time."""

    def __init__(self, folder: Path, name: str, owner: str, on_result: Callable[[], None]) -> None:
        """`on_result` is called in the thread after each addition to `results`; `start` opens the store."""
        self.base, self.owner, self.on_result = str(folder / name), owner, on_result
        self.jobs: queue.SimpleQueue[Job | None] = queue.SimpleQueue()
        self.results: deque[Done] = deque()
        self.database: sqlite3.Connection | None = None
        self.last: int | None = None  # descriptor of the `.last` file
        self.lock: int | None = None  # descriptor of the lock file
        self.number = 0  # number of the last batch
        self.ended = False
        self.thread = threading.Thread(target=self.run, name="kept", daemon=True)

    def start(self) -> None:
        """Starts the thread, which opens the store."""
        self.thread.start()

    def write(self, rows: dict[str, bytes], batch: int, over: int = 0) -> None:
        """Queues a batch, whose number in the store becomes greater than `over` and the number before it."""
        self.jobs.put(Job(rows, batch, over))

    def end(self) -> None:
        """Stops the thread after the batches that were queued before."""
        self.ended = True
        self.jobs.put(None)

    def close(self) -> None:
        """Stops the thread and waits up to half a second for it."""
        self.end()
        self.thread.join(MOST_WAIT)

    # Executed in the thread.

    def run(self) -> None:
        """Opens the store, retrying until that succeeds, and then writes batches."""
        reported = ""
        while not self.ended:
            try:
                self.add_result(Done(found=self.open()))
                break
            except Exception as error:  # corrupted files can cause errors of any type
                self.shut()
                if str(error) != reported:
                    reported = str(error)
                    self.add_result(Done(trouble=self.to_trouble(error)))
                time.sleep(LOCK_POLL_INTERVAL if isinstance(error, StoreHeld) else 10 * LOCK_POLL_INTERVAL)
        requested = False
        while self.database is not None:
            try:
                job = self.jobs.get(timeout=LOCK_POLL_INTERVAL)
            except queue.Empty:
                if not requested and os.path.exists(f"{self.base}.wanted"):
                    requested = True
                    self.add_result(Done(wanted=True))
                continue
            if job is None:
                break
            try:
                self.put(job.rows, job.over)
                self.add_result(Done(batch=job.batch, number=self.number))
            except Exception as error:
                with contextlib.suppress(sqlite3.Error):
                    self.database.rollback()
                self.add_result(Done(trouble=self.to_trouble(error), batch=job.batch))
        self.shut()

    def add_result(self, result: Done) -> None:
        """Appends to `results` and notifies the owner."""
        self.results.append(result)
        self.on_result()

    def to_trouble(self, error: Exception) -> Trouble:
        """Returns a Trouble as it is and wraps any other error in StoreTrouble."""
        if isinstance(error, Trouble):
            return error
        reason = error.strerror if isinstance(error, OSError) and error.strerror else str(error)
        return StoreTrouble(f"{self.base}.db: {reason}")

    def shut(self) -> None:
        """Closes the database and releases the lock."""
        if self.database is not None:
            with contextlib.suppress(sqlite3.Error):
                self.database.close()
            self.database = None
        for fd in (self.last, self.lock):
            if fd is not None:
                os.close(fd)
        self.last = self.lock = None

    def open(self) -> Found:
        """Locks and opens the store and reads all rows. Raises Trouble, OSError or sqlite3.Error."""
        os.makedirs(os.path.dirname(self.base), mode=0o700, exist_ok=True)
        self.lock = os.open(f"{self.base}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            with contextlib.suppress(OSError):
                os.close(os.open(f"{self.base}.wanted", os.O_CREAT | os.O_WRONLY | os.O_CLOEXEC, 0o600))
            raise StoreHeld(f"{self.base}.db: another process has the store open") from None
        with contextlib.suppress(FileNotFoundError):
            os.unlink(f"{self.base}.wanted")
        database = self.database = sqlite3.connect(
            f"{self.base}.db", timeout=0.0, isolation_level=None, check_same_thread=False
        )
        database.execute("PRAGMA locking_mode=EXCLUSIVE")
        database.execute("PRAGMA journal_mode=PERSIST")
        database.execute("PRAGMA synchronous=FULL")
        database.execute("CREATE TABLE IF NOT EXISTS about (name TEXT PRIMARY KEY, value TEXT) WITHOUT ROWID")
        database.execute("CREATE TABLE IF NOT EXISTS rows (key TEXT PRIMARY KEY, value BLOB) WITHOUT ROWID")
        facts = dict(database.execute("SELECT name, value FROM about"))
        if facts.get("owner", self.owner) != self.owner:
            raise StoreForeign(
                f"{self.base}.db: expected a store of member {self.owner!r}, found one of {facts['owner']!r}"
            )
        fresh = not facts
        self.number = int(facts.get("number", 0))
        reason = self.reason_not_newest(facts)
        if reason:
            self.create_markers()
        self.last = os.open(f"{self.base}.last", os.O_RDWR | os.O_CLOEXEC)
        rows = {str(key): bytes(value) for key, value in database.execute("SELECT key, value FROM rows")}
        try:
            boot = Path("/proc/sys/kernel/random/boot_id").read_text().strip().replace("-", "")
        except OSError:  # without a boot identifier, each process start counts as a machine boot
            boot = secrets.token_hex(16)
        volume = os.fstat(self.last).st_dev
        return Found(
            rows,
            fresh,
            not reason,
            "" if fresh else reason,
            (int(boot[:14], 16) ^ volume * 0x9E3779B1) & ((1 << 62) - 1),
            self.number,
        )

    def reason_not_newest(self, facts: dict[str, str]) -> str:
        """Returns why these are not the files that were written last, "" if no check fails."""
        try:
            mark_status, last_status = os.stat(f"{self.base}.mark"), os.stat(f"{self.base}.last")
            last_number = Path(f"{self.base}.last").read_bytes()
        except OSError:
            return "the .mark or .last file is missing"
        if facts.get("mark") != f"{mark_status.st_ino} {mark_status.st_ctime_ns}":
            return "the .mark file was copied or modified"
        if facts.get("last") != str(last_status.st_ino):
            return "the .last file was copied"
        if facts.get("times") == "same" and last_status.st_ctime_ns != last_status.st_mtime_ns:
            return "the .last file was restored from a copy"
        if not last_number.strip().isdigit() or int(last_number) > self.number:
            return "the database is older than its last batch"
        return ""

    def create_markers(self) -> None:
        """Creates the `.mark` and `.last` files and marks existing rows as outdated.

        The key of an outdated row begins with `-`; rows whose key begins with `#` are not changed. The
        database forgets the old files first: after a crash in between, the next start finds that the new
        files are not the recorded ones and creates them again.
        """
        assert self.database is not None
        self.database.execute("BEGIN IMMEDIATE")
        self.save_facts(owner=self.owner, mark="", last="")
        self.database.execute(
            "UPDATE OR REPLACE rows SET key = '-' || key WHERE key NOT LIKE '-%' AND key NOT LIKE '#%'"
        )
        self.database.execute("COMMIT")
        for path, content in (
            (f"{self.base}.mark", b"do not touch\n"),
            (f"{self.base}.last", self.encode_number(self.number)),
        ):
            with contextlib.suppress(FileNotFoundError):
                os.unlink(path)
            fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
            try:
                os.write(fd, content)
                os.fsync(fd)
            finally:
                os.close(fd)
        folder = os.open(os.path.dirname(self.base), os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
        mark_status, last_status = os.stat(f"{self.base}.mark"), os.stat(f"{self.base}.last")
        times = "same" if last_status.st_ctime_ns == last_status.st_mtime_ns else "apart"
        self.save_facts(
            mark=f"{mark_status.st_ino} {mark_status.st_ctime_ns}", last=str(last_status.st_ino), times=times
        )

    def save_facts(self, **facts: str) -> None:
        """Inserts or replaces entries of the table `about`."""
        assert self.database is not None
        self.database.executemany("INSERT OR REPLACE INTO about VALUES (?, ?)", list(facts.items()))

    def encode_number(self, number: int) -> bytes:
        """Returns the contents of the `.last` file, whose length is constant."""
        return b"%020d\n" % number

    def put(self, rows: dict[str, bytes], over: int = 0) -> None:
        """Writes one batch, which is on disk when this returns. Raises OSError or sqlite3.Error."""
        assert self.database is not None and self.last is not None
        self.number = max(self.number, over) + 1
        self.database.execute("BEGIN IMMEDIATE")
        self.database.executemany("INSERT OR REPLACE INTO rows VALUES (?, ?)", list(rows.items()))
        self.save_facts(number=str(self.number))
        self.database.execute("COMMIT")
        os.pwrite(self.last, self.encode_number(self.number), 0)
        os.fsync(self.last)
