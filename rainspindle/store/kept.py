"""Rows under keys that are on disk for certain before anybody is told so; written by a thread of its own.

sqlite3 of the standard library, synchronous FULL, with a rollback journal: each batch is one transaction.
Beside the database stand two small files by which a folder that was copied, or put back from a copy, is
noticed:

- `.mark` is made once and never touched again. The database knows its inode and its time of change, which no
  copying tool can set.
- `.last` holds the number of the last batch, written after it. So a database put back alone is older than it;
  and a write sets both its times to the same moment, which a tool that keeps the time of a file does not.
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

HELD_LOOK = 0.1  # seconds between looks at a folder that another process holds, and at who wants it
MOST_WAIT = 0.5  # seconds that the end of the process waits for the disk, twice at most


class StoreTrouble(Trouble):
    """What is kept on disk can't be read or written now."""

    remedy = "see that the folder is writable and has room; it is tried again each second"


class StoreForeign(Trouble):
    """The folder is another member's."""

    remedy = "give this member its own folder in [members] folder, or an empty one"


class StoreHeld(Trouble):
    """Another process has it open."""

    remedy = "wait until the process before this one has ended, or give each its own folder and name"


@dataclass(frozen=True, slots=True)
class Found:
    """What was there at the start."""

    rows: dict[str, bytes]
    fresh: bool  # there was nothing
    newest: bool  # these are the very files that were written last, as far as files can tell
    why: str = ""  # they are not
    boot: int = 0  # this start of the machine, and this volume
    number: int = 0  # of the last batch: what others know of it shows a volume that was set back


@dataclass(slots=True)
class Done:
    """Of one batch, or of the start."""

    found: Found | None = None
    trouble: Trouble | None = None
    batch: int = 0
    number: int = 0  # that it has in the store
    wanted: bool = False  # a process that came later waits for the folder


@dataclass(slots=True)
class Job:
    rows: dict[str, bytes] = field(default_factory=dict)
    batch: int = 0
    over: int = 0


class Kept:
    def __init__(self, folder: Path, name: str, owner: str, done: Callable[[], None]) -> None:
        """`done` is called in the thread when `results` has grown. Nothing is opened before `start`."""
        self.base, self.owner, self.done = str(folder / name), owner, done
        self.jobs: queue.SimpleQueue[Job | None] = queue.SimpleQueue()
        self.results: deque[Done] = deque()
        self.database: sqlite3.Connection | None = None
        self.last: int | None = None
        self.lock: int | None = None
        self.number = 0  # of the last batch
        self.ended = False
        self.thread = threading.Thread(target=self.work, name="kept", daemon=True)

    def start(self) -> None:
        self.thread.start()

    def write(self, rows: dict[str, bytes], batch: int, over: int = 0) -> None:
        """`over`: which its number in the store is to be over, beside that of the one before."""
        self.jobs.put(Job(rows, batch, over))

    def end(self) -> None:
        """After what was given to `write`."""
        self.ended = True
        self.jobs.put(None)

    def close(self) -> None:
        """Waits for the end, for half a second at most."""
        self.end()
        self.thread.join(MOST_WAIT)

    # In the thread.

    def work(self) -> None:
        told = ""
        while not self.ended:
            try:
                self.tell(Done(found=self.open()))
                break
            except Exception as fault:  # also what a file that was tampered with brings about
                self.shut()
                if str(fault) != told:
                    told = str(fault)
                    self.tell(Done(trouble=self.trouble(fault)))
                time.sleep(HELD_LOOK if isinstance(fault, StoreHeld) else 10 * HELD_LOOK)
        wanted = False
        while self.database is not None:
            try:
                job = self.jobs.get(timeout=HELD_LOOK)
            except queue.Empty:
                if not wanted and os.path.exists(f"{self.base}.wanted"):
                    wanted = True
                    self.tell(Done(wanted=True))
                continue
            if job is None:
                break
            try:
                self.put(job.rows, job.over)
                self.tell(Done(batch=job.batch, number=self.number))
            except Exception as fault:
                with contextlib.suppress(sqlite3.Error):
                    self.database.rollback()
                self.tell(Done(trouble=self.trouble(fault), batch=job.batch))
        self.shut()

    def tell(self, done: Done) -> None:
        self.results.append(done)
        self.done()

    def trouble(self, fault: Exception) -> Trouble:
        if isinstance(fault, Trouble):
            return fault
        why = fault.strerror if isinstance(fault, OSError) and fault.strerror else str(fault)
        return StoreTrouble(f"{self.base}.db: {why}")

    def shut(self) -> None:
        if self.database is not None:
            with contextlib.suppress(sqlite3.Error):
                self.database.close()
            self.database = None
        for fd in (self.last, self.lock):
            if fd is not None:
                os.close(fd)
        self.last = self.lock = None

    def open(self) -> Found:
        """Raises Trouble, OSError, sqlite3.Error."""
        os.makedirs(os.path.dirname(self.base), mode=0o700, exist_ok=True)
        self.lock = os.open(f"{self.base}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            with contextlib.suppress(OSError):
                os.close(os.open(f"{self.base}.wanted", os.O_CREAT | os.O_WRONLY | os.O_CLOEXEC, 0o600))
            raise StoreHeld(f"{self.base}.db: another process has it open") from None
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
        about = dict(database.execute("SELECT name, value FROM about"))
        if about.get("owner", self.owner) != self.owner:
            raise StoreForeign(f"{self.base}.db: it is the member {about['owner']!r}'s")
        fresh = not about
        self.number = int(about.get("number", 0))
        why = self.why_not_newest(about)
        if why:
            self.mark()
        self.last = os.open(f"{self.base}.last", os.O_RDWR | os.O_CLOEXEC)
        rows = {str(key): bytes(value) for key, value in database.execute("SELECT key, value FROM rows")}
        try:
            boot = Path("/proc/sys/kernel/random/boot_id").read_text().strip().replace("-", "")
        except OSError:  # each start counts as one of the machine then
            boot = secrets.token_hex(16)
        volume = os.fstat(self.last).st_dev
        return Found(
            rows,
            fresh,
            not why,
            "" if fresh else why,
            (int(boot[:14], 16) ^ volume * 0x9E3779B1) & ((1 << 62) - 1),
            self.number,
        )

    def why_not_newest(self, about: dict[str, str]) -> str:
        try:
            marked, last = os.stat(f"{self.base}.mark"), os.stat(f"{self.base}.last")
            told = Path(f"{self.base}.last").read_bytes()
        except OSError:
            return "one of its files is missing"
        if about.get("mark") != f"{marked.st_ino} {marked.st_ctime_ns}":
            return "its mark was copied or touched"
        if about.get("last") != str(last.st_ino):
            return "the number of its last batch was copied"
        if about.get("times") == "same" and last.st_ctime_ns != last.st_mtime_ns:
            return "the number of its last batch was put back"
        if not told.strip().isdigit() or int(told) > self.number:
            return "it is older than its last batch"
        return ""

    def mark(self) -> None:
        """Makes the files by which this folder is known again. Rows that were in it are old from now on:
        their keys begin with `-`; those that begin with `#` stay as they are.

        Guards against a crash in between: until the new mark is known, the next start finds none."""
        assert self.database is not None
        self.database.execute("BEGIN IMMEDIATE")
        self.about(owner=self.owner, mark="", last="")
        self.database.execute(
            "UPDATE OR REPLACE rows SET key = '-' || key WHERE key NOT LIKE '-%' AND key NOT LIKE '#%'"
        )
        self.database.execute("COMMIT")
        for path, content in (
            (f"{self.base}.mark", b"do not touch\n"),
            (f"{self.base}.last", self.as_bytes(self.number)),
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
        marked, last = os.stat(f"{self.base}.mark"), os.stat(f"{self.base}.last")
        same = "same" if last.st_ctime_ns == last.st_mtime_ns else "apart"
        self.about(mark=f"{marked.st_ino} {marked.st_ctime_ns}", last=str(last.st_ino), times=same)

    def about(self, **facts: str) -> None:
        assert self.database is not None
        self.database.executemany("INSERT OR REPLACE INTO about VALUES (?, ?)", list(facts.items()))

    def as_bytes(self, number: int) -> bytes:
        return b"%020d\n" % number

    def put(self, rows: dict[str, bytes], over: int = 0) -> None:
        """One batch; it is on disk for certain when this returns. Raises OSError, sqlite3.Error."""
        assert self.database is not None and self.last is not None
        self.number = max(self.number, over) + 1
        self.database.execute("BEGIN IMMEDIATE")
        self.database.executemany("INSERT OR REPLACE INTO rows VALUES (?, ?)", list(rows.items()))
        self.about(number=str(self.number))
        self.database.execute("COMMIT")
        os.pwrite(self.last, self.as_bytes(self.number), 0)
        os.fsync(self.last)
