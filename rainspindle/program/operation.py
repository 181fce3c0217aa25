"""Operators' calls to a sidecar, and orders and state shared with a second process of it."""

from __future__ import annotations

import contextlib
import fcntl
import logging
import math
import os
import re
import time
from collections.abc import Callable
from typing import Any

import orjson

from ..decisions.operation.orders import DRAIN, Orders
from ..errors import Trouble
from ..protocol.console import Act, Order
from ..store.file import Missing, StoredFile, Unfit, Unwritten

log = logging.getLogger("rainspindle.operation")

ORDERS_KIND, ORDERS_VERSION, MOST_ORDERS = 1, 1, 8 * 1024 * 1024
LEARNT_KIND, LEARNT_VERSION, MOST_LEARNT = 2, 1, 4 * 1024 * 1024
REQUEST_LIFETIME = 30.0  # seconds after which a process that requested the learnt state is presumed dead
# Seconds between writes of the learnt state, and after which it is too old to use.
EXPORT_INTERVAL, MAX_STATE_AGE = 0.5, 3.0


def log_fields(error: Exception, kind: type[Trouble] = Unfit) -> dict[str, object]:
    """Returns the log fields of an error; one without a remedy gets the remedy of `kind`."""
    return (error if isinstance(error, Trouble) else kind(str(error))).fields()


def shared_path(folder: str, name: str, ending: str) -> str:
    """Returns the path of a file that the processes of one sidecar share."""
    return os.path.join(folder, f"rainspindle-{re.sub(r'[^A-Za-z0-9_.-]', '_', name)[:64]}.{ending}")


class Presence:
    """Detects through a locked file which process took over an address last, and whether it is alive.

    The operating system releases the lock when its holder ends.
    """

    def __init__(self, path: str, tag: str) -> None:
        self.path, self.tag = path, tag
        self.lock_file: int | None = None

    def register(self) -> None:
        """Registers this process as the last one. Raises OSError."""
        temporary_path = f"{self.path}.{self.tag}"
        fd = os.open(temporary_path, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW | os.O_CLOEXEC, 0o600)
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        os.replace(temporary_path, self.path)
        self.lock_file = fd

    def other_is_alive(self) -> bool:
        """Returns whether another process registered last and is alive."""
        try:
            fd = os.open(self.path, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            if self.lock_file is not None and os.path.samestat(os.fstat(fd), os.fstat(self.lock_file)):
                return False
            fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            return True
        except OSError:
            return False
        finally:
            os.close(fd)
        return False

    def is_last(self) -> bool:
        """Returns whether this process registered last."""
        try:
            return self.lock_file is not None and os.path.samestat(
                os.stat(self.path), os.fstat(self.lock_file)
            )
        except OSError:
            return False

    def withdraw(self) -> None:
        """Releases the lock, and removes the file if this process registered last."""
        if self.lock_file is not None:
            if self.is_last():
                with contextlib.suppress(OSError):
                    os.unlink(self.path)
            os.close(self.lock_file)
            self.lock_file = None


class Operation:
    """Executes operators' calls, and merges the orders with those of another process of the sidecar."""

    def __init__(
        self,
        name: str,
        folder: str | None,
        leave_out: Callable[[str, bool], None],
        drain: Callable[[bool], None],
        serves: Callable[[], bool],
        learnt: Callable[[], dict[str, Any]],
    ) -> None:
        """Makes the handler of operators' calls.

        `folder` is shared with a successor; without one, orders end with the process. `leave_out` and `drain`
        apply changed orders, `serves` tells whether requests are accepted, and `learnt` returns the state
        that a successor may start from.
        """
        self.learnt = learnt
        self.leave_out, self.drain, self.serves = leave_out, drain, serves
        self.orders = Orders()
        self.tag = os.urandom(8).hex()
        self.file: StoredFile | None = None
        self.presence: Presence | None = None
        self.seen_stamp: object = None  # the stamp of the orders file as last read or written
        self.unsaved = self.write_failed = False
        self.predecessor = False
        if folder:
            orders_path = shared_path(folder, name, "orders")
            self.file = StoredFile(orders_path, ORDERS_KIND, ORDERS_VERSION, MOST_ORDERS)
            self.presence = Presence(shared_path(folder, name, "serving"), self.tag)
            self.predecessor = self.presence.other_is_alive()
            learnt_path = shared_path(folder, name, "learnt")
            self.state_file = StoredFile(learnt_path, LEARNT_KIND, LEARNT_VERSION, MOST_LEARNT)
            self.request_path = shared_path(folder, name, "wanted")
            self.exported_at = -math.inf
            if self.predecessor:
                with contextlib.suppress(OSError):
                    os.close(os.open(self.request_path, os.O_CREAT | os.O_WRONLY | os.O_NOFOLLOW, 0o600))

    def register(self) -> None:
        """Registers this process as the one that serves."""
        if self.presence is not None:
            try:
                self.presence.register()
            except OSError as error:
                log.warning("cannot register for a successor", extra={"fields": log_fields(error, Unwritten)})

    # The learnt state, written only while a new process requests it.

    def export_state(self) -> None:
        """Writes the learnt state if a new process requests it and the last write is old enough."""
        if self.presence is None or self.presence.lock_file is None:
            return
        try:
            asked_at = os.stat(self.request_path).st_mtime
        except OSError:
            return
        now = time.time()
        # A process that died would otherwise cause writes for ever.
        if abs(now - asked_at) > REQUEST_LIFETIME:
            with contextlib.suppress(OSError):
                os.unlink(self.request_path)
            return
        if abs(now - self.exported_at) < EXPORT_INTERVAL or not self.presence.is_last():
            return
        self.exported_at = now
        try:
            self.state_file.write(orjson.dumps({"at": now, "learnt": self.learnt()}), self.tag)
        except (OSError, TypeError) as error:
            log.warning(
                "cannot write learnt state for the successor", extra={"fields": log_fields(error, Unwritten)}
            )

    def import_state(self, take: Callable[[dict[str, Any]], None]) -> None:
        """Passes the learnt state of the previous process to `take` if it is fresh and intact."""
        if not self.predecessor:
            return
        try:
            exported = orjson.loads(self.state_file.read())
            age = time.time() - exported["at"]
            # The age is negative if the clock was set back.
            if not -MAX_STATE_AGE < age < MAX_STATE_AGE:
                raise ValueError(
                    f"learnt state is {age:.1f} s old, at most {MAX_STATE_AGE:.0f} s are allowed"
                )
            take(exported["learnt"])
            log.info(
                "continuing with the state of the previous process", extra={"fields": {"age": f"{age:.2f}"}}
            )
        except (Unfit, ValueError, KeyError, TypeError) as error:
            log.warning("starting without learnt state", extra={"fields": log_fields(error)})
        for path in (self.request_path, self.state_file.path):
            with contextlib.suppress(OSError):
                os.unlink(path)

    def successor(self) -> bool:
        """Returns whether a successor of this process is alive."""
        return self.presence is not None and self.presence.other_is_alive()

    def withdraw(self) -> None:
        """Withdraws the registration when the process ends."""
        if self.presence is not None:
            self.presence.withdraw()

    def record_listed(self, ids: list[str]) -> None:
        """Records the ids of a new endpoint list."""
        self.unsaved = self.orders.record_listed(ids) or self.unsaved

    # The orders file.

    def synchronize(self) -> None:
        """Merges orders that another process has written, and saves unsaved ones of this process."""
        if self.file is None:
            return
        self.export_state()
        stamp = self.file.stamp()
        if stamp is not None and stamp != self.seen_stamp:
            self.seen_stamp = stamp
            self.read(self.file)
        if self.unsaved:
            self.save()

    def read(self, file: StoredFile) -> None:
        """Merges the orders in the file and applies those that change; logs a file that is unreadable."""
        try:
            other = Orders.of(orjson.loads(file.read()))
        except Missing:
            return
        except (Unfit, ValueError) as error:
            log.error("orders cannot be read", extra={"fields": {"file": file.path, **log_fields(error)}})
            self.unsaved = bool(self.orders.given)
            return
        changed = self.orders.merge(other)
        # Two processes may write at the same time: what the file lacks is written again.
        if self.orders.given != other.given or self.orders.listed.keys() - other.listed.keys():
            self.unsaved = True
        for subject in changed:
            self.apply_order(subject)

    def save(self) -> None:
        """Writes the orders to the file; logs the first of several failures."""
        if self.file is None:
            return
        try:
            self.file.write(orjson.dumps(self.orders.plain()), self.tag)
        except OSError as error:
            if not self.write_failed:  # the write is retried ten times a second
                log.error(
                    "orders cannot be written",
                    extra={"fields": {"file": self.file.path, **log_fields(error, Unwritten)}},
                )
            self.unsaved = self.write_failed = True
            return
        self.unsaved = self.write_failed = False
        self.seen_stamp = self.file.stamp()

    def apply_order(self, subject: str) -> None:
        """Applies the current order for one subject."""
        out = self.orders.is_out(subject)
        if subject == DRAIN:
            self.drain(out)
        else:
            self.leave_out(subject, out)

    # Calls.

    def call(self, order: Order) -> tuple[int, str]:
        """Executes a call and returns status and text of the response.

        An order that is answered with 200 is in force, and stored unless the write fails.
        """
        if order.act is Act.READY:
            return (200, "serving") if self.serves() else (503, "not serving yet, or no longer")
        out = order.act in (Act.DISABLE, Act.DRAIN)
        subject = order.endpoint or DRAIN
        if subject != DRAIN and subject not in self.orders.listed and subject not in self.orders.given:
            return 404, "no endpoint list has contained this endpoint; check its id for a typing error"
        self.synchronize()  # the new number must exceed those of orders given to another process
        if self.orders.give(subject, out):
            self.apply_order(subject)
            self.save()
        return 200, {
            Act.DISABLE: "left out",
            Act.ENABLE: "put back",
            Act.DRAIN: "drained",
            Act.RESUME: "taking clients",
        }[order.act]
