"""Ids of requests that must not be executed again, shared by the two processes of an upgrade.

The table has a fixed size. An id is stored as a fingerprint with the time until which it is claimed, on the
monotonic clock, which all processes of a machine share. Where a bucket is full, the claim that ends first is
overwritten.
"""

from __future__ import annotations

import contextlib
import fcntl
import logging
import os
import stat
import struct
import time
from collections.abc import Callable, Iterator
from typing import Protocol

log = logging.getLogger("rainspindle.routing")

SLOT = struct.Struct("=Qd")  # fingerprint, time until which it is claimed
FINGERPRINT = struct.Struct("=Q")
SLOTS = 16  # of a bucket
BUCKET = struct.Struct("=" + "Qd" * SLOTS)
BUCKET_SIZE = SLOTS * SLOT.size  # bytes
BUCKETS = 512
FINGERPRINT_MODULUS = 2**64 - 59  # a prime
MAX_CLAIM = 3600.0  # seconds; a claim that is longer was stored before the machine was started anew
LOCK_TIMEOUT, LOCK_RETRY_INTERVAL = 0.01, 0.0002  # seconds; the lock is held for microseconds


class Unshared(Exception):  # noqa: N818 - named for what the caller then knows
    """The shared table cannot be used, so that an id may be claimed by another process."""


class Bytes(Protocol):
    """Where a table is stored."""

    def read(self, begin: int) -> bytes:
        """Returns the bucket that begins there. Raises Unshared."""

    def write(self, begin: int, data: bytes) -> None:
        """Writes a slot. Raises Unshared."""


class MemoryBytes:
    """A table in the memory of this process."""

    def __init__(self) -> None:
        self.data = bytearray(BUCKETS * BUCKET_SIZE)

    def read(self, begin: int) -> bytes:
        """Returns the bucket that begins there."""
        return bytes(self.data[begin : begin + BUCKET_SIZE])

    def write(self, begin: int, data: bytes) -> None:
        """Writes a slot."""
        self.data[begin : begin + len(data)] = data


class FileBytes:
    """A table in a file that other processes use too."""

    def __init__(self, path: str) -> None:
        """Opens the file, or makes it. Raises OSError, also where another user could write to it."""
        self.file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW | os.O_CLOEXEC, 0o600)
        try:
            self.check(path)
            os.ftruncate(self.file, BUCKETS * BUCKET_SIZE)
        except OSError:
            os.close(self.file)
            raise

    def check(self, path: str) -> None:
        """Raises OSError if the file is another user's, or another one could write to it."""
        status = os.fstat(self.file)
        if not stat.S_ISREG(status.st_mode) or status.st_uid != os.geteuid() or status.st_mode & 0o022:
            raise OSError(f"{path}: not a regular file owned and writable by this user alone")

    def read(self, begin: int) -> bytes:
        """Returns the bucket that begins there. Raises Unshared."""
        try:
            bucket = os.pread(self.file, BUCKET_SIZE, begin)
        except OSError as fault:
            raise Unshared(str(fault)) from None
        if len(bucket) != BUCKET_SIZE:
            raise Unshared("the file was cut off")
        return bucket

    def write(self, begin: int, data: bytes) -> None:
        """Writes a slot. Raises Unshared."""
        try:
            written = os.pwrite(self.file, data, begin)
        except OSError as fault:
            raise Unshared(str(fault)) from None
        if written != len(data):
            raise Unshared("a write was cut short")

    @contextlib.contextmanager
    def locked(self) -> Iterator[None]:
        """Keeps other processes from the file. Raises Unshared where one was stopped with the lock."""
        give_up_at = time.monotonic() + LOCK_TIMEOUT
        while not self.try_lock():
            if time.monotonic() >= give_up_at:
                raise Unshared("locked by another process")
            time.sleep(LOCK_RETRY_INTERVAL)
        try:
            yield
        finally:
            fcntl.flock(self.file, fcntl.LOCK_UN)

    def try_lock(self) -> bool:
        """Locks the file, unless another process has. Raises Unshared."""
        try:
            fcntl.flock(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        except OSError as fault:
            raise Unshared(str(fault)) from None
        return True

    def close(self) -> None:
        """Closes the file, which stays for other processes."""
        os.close(self.file)


class IdTable:
    """A table of claimed ids."""

    def __init__(self, stored: Bytes, clock: Callable[[], float]) -> None:
        self.stored, self.now = stored, clock

    def claim(self, request_id: bytes, until: float) -> bool:
        """Claims an id; returns False if it is claimed already. Raises Unshared."""
        number = fingerprint(request_id)
        bucket = self.stored.read(bucket_begin(number))
        if self.find(bucket, number) is not None:
            return False
        self.write(number, self.oldest(bucket), until)
        return True

    def keep(self, request_id: bytes, until: float) -> None:
        """Changes the time until which an id is claimed. Raises Unshared."""
        number = fingerprint(request_id)
        slot = self.find(self.stored.read(bucket_begin(number)), number)
        if slot is not None:
            self.write(number, slot, until)

    def find(self, bucket: bytes, number: int) -> int | None:
        """Returns the slot in which a fingerprint is claimed."""
        stored = FINGERPRINT.pack(number)
        at = bucket.find(stored)
        while at >= 0:
            if at % SLOT.size == 0:
                now, (_, until) = self.now(), SLOT.unpack_from(bucket, at)
                if now < until <= now + MAX_CLAIM:
                    return at // SLOT.size
            at = bucket.find(stored, at + 1)
        return None

    def oldest(self, bucket: bytes) -> int:
        """Returns the slot whose claim has ended, or ends first."""
        ends = BUCKET.unpack(bucket)[1::2]
        latest = self.now() + MAX_CLAIM
        if max(ends) > latest:
            ends = tuple(until if until <= latest else 0.0 for until in ends)
        return ends.index(min(ends))

    def write(self, number: int, slot: int, until: float) -> None:
        """Writes a slot."""
        self.stored.write(bucket_begin(number) + slot * SLOT.size, SLOT.pack(number, until))


class RequestIds:
    """The ids that are in use or were used, here and at the other process of an upgrade."""

    def __init__(
        self,
        path: str | None = None,
        other_lives: Callable[[], bool] = lambda: False,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Shares them by the file at `path`; `other_lives` tells whether another process may use it now.

        Raises:
            OSError: The file cannot be used.
        """
        self.other_lives = other_lives
        self.own = IdTable(MemoryBytes(), clock)
        self.file = None if path is None else FileBytes(path)
        self.shared = None if self.file is None else IdTable(self.file, clock)
        self.failed = False  # the last use of the file

    def claim(self, request_id: bytes, until: float) -> bool:
        """Claims an id until a time; returns False if it is claimed already, or may be at another process."""
        if not self.own.claim(request_id, until):
            return False
        if self.file is None or self.shared is None:
            return True
        try:
            with self.file.locked():
                claimed = self.shared.claim(request_id, until)
        except Unshared as fault:
            self.log_failure(fault)
            return not self.other_lives()
        self.failed = False
        return claimed

    def keep(self, request_id: bytes, until: float) -> None:
        """Changes the time until which an id is claimed."""
        self.own.keep(request_id, until)
        if self.file is not None and self.shared is not None:
            try:
                with self.file.locked():
                    self.shared.keep(request_id, until)
            except Unshared as fault:  # it stays claimed there for as long as it was
                self.log_failure(fault)

    def release(self, request_id: bytes) -> None:
        """Allows an id again, as its request was never executed."""
        self.keep(request_id, 0.0)

    def log_failure(self, fault: Unshared) -> None:
        """Logs the first of several failures."""
        if not self.failed:
            log.warning("ids of requests cannot be shared", extra={"fields": {"why": fault}})
        self.failed = True

    def close(self) -> None:
        """Closes the file."""
        if self.file is not None:
            self.file.close()


def fingerprint(request_id: bytes) -> int:
    """Returns the number by which an id is stored."""
    return int.from_bytes(b"\1" + request_id) % FINGERPRINT_MODULUS


def bucket_begin(number: int) -> int:
    """Returns where the bucket of a fingerprint begins."""
    return number % BUCKETS * BUCKET_SIZE
