"""What staff ask of a sidecar: the second address, and orders shared with a process beside this one."""

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
ABANDONED = 30.0  # seconds after which a process that asked for what was learnt is taken for dead
EACH, FRESH = 0.5, 3.0  # seconds between writes of what was learnt, and after which it is of no use


def told(fault: Exception, kind: type[Trouble] = Unfit) -> dict[str, object]:
    """For a log line; what is inside a file that could be read is told as the file itself would be."""
    return (fault if isinstance(fault, Trouble) else kind(str(fault))).fields()


class Presence:
    """Tells which process came last to an address, and whether it is alive: a lock ends with its holder."""

    def __init__(self, path: str, tag: str) -> None:
        self.path, self.tag = path, tag
        self.held: int | None = None

    def come(self) -> None:
        """From now on this process is the last. Raises OSError."""
        made = f"{self.path}.{self.tag}"
        fd = os.open(made, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW | os.O_CLOEXEC, 0o600)
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        os.replace(made, self.path)
        self.held = fd

    def other(self) -> bool:
        """Whether another process came last, and is alive."""
        try:
            fd = os.open(self.path, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            if self.held is not None and os.path.samestat(os.fstat(fd), os.fstat(self.held)):
                return False
            fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            return True
        except OSError:
            return False
        finally:
            os.close(fd)
        return False

    def last(self) -> bool:
        """Whether this process is the last that came."""
        try:
            return self.held is not None and os.path.samestat(os.stat(self.path), os.fstat(self.held))
        except OSError:
            return False

    def go(self) -> None:
        """The file goes with the last that came."""
        if self.held is not None:
            if self.last():
                with contextlib.suppress(OSError):
                    os.unlink(self.path)
            os.close(self.held)
            self.held = None


class Operation:
    """Takes the staff's calls; `leave_out` and `drain` put into force what has changed."""

    def __init__(
        self,
        name: str,
        folder: str | None,
        leave_out: Callable[[str, bool], None],
        drain: Callable[[bool], None],
        serves: Callable[[], bool],
        learnt: Callable[[], dict[str, Any]],
    ) -> None:
        """`folder` is shared with a successor; without one, orders end with the process. `learnt` gives what
        a successor may go on from."""
        self.learnt = learnt
        self.leave_out, self.drain, self.serves = leave_out, drain, serves
        self.orders = Orders()
        self.tag = os.urandom(8).hex()
        self.file: StoredFile | None = None
        self.presence: Presence | None = None
        self.seen: object = None  # the stamp of the file as last read or written
        self.unsaved = self.write_failed = False
        self.predecessor = False
        if folder:
            base = os.path.join(folder, "rainspindle-" + re.sub(r"[^A-Za-z0-9_.-]", "_", name)[:64])
            self.file = StoredFile(f"{base}.orders", ORDERS_KIND, ORDERS_VERSION, MOST_ORDERS)
            self.presence = Presence(f"{base}.serving", self.tag)
            self.predecessor = self.presence.other()
            self.learnt_file = StoredFile(f"{base}.learnt", LEARNT_KIND, LEARNT_VERSION, MOST_LEARNT)
            self.wanted = f"{base}.wanted"
            self.written = -math.inf
            if self.predecessor:
                with contextlib.suppress(OSError):
                    os.close(os.open(self.wanted, os.O_CREAT | os.O_WRONLY | os.O_NOFOLLOW, 0o600))

    def come(self) -> None:
        """This process serves from now on, and is the last that came."""
        if self.presence is not None:
            try:
                self.presence.come()
            except OSError as fault:
                log.warning("no sign for a successor", extra={"fields": told(fault, Unwritten)})

    # What was learnt: written only while a new process asks for it.

    def hand_on(self) -> None:
        if self.presence is None or self.presence.held is None:
            return
        try:
            asked_at = os.stat(self.wanted).st_mtime
        except OSError:
            return
        now = time.time()
        if abs(now - asked_at) > ABANDONED:  # guards against writing for good for one that died
            with contextlib.suppress(OSError):
                os.unlink(self.wanted)
            return
        if abs(now - self.written) < EACH or not self.presence.last():
            return
        self.written = now
        try:
            self.learnt_file.write(orjson.dumps({"at": now, "learnt": self.learnt()}), self.tag)
        except (OSError, TypeError) as fault:
            log.warning("what was learnt is not handed on", extra={"fields": told(fault, Unwritten)})

    def inherit(self, take: Callable[[dict[str, Any]], None]) -> None:
        """Goes on from what the process before this one has learnt, where it is fresh and whole."""
        if not self.predecessor:
            return
        try:
            kept = orjson.loads(self.learnt_file.read())
            age = time.time() - kept["at"]
            if not -FRESH < age < FRESH:  # also where the clock was set
                raise ValueError(f"{age:.1f} s old")
            take(kept["learnt"])
            log.info("goes on from the process before", extra={"fields": {"age": f"{age:.2f}"}})
        except (Unfit, ValueError, KeyError, TypeError) as fault:
            log.warning("begins with nothing learnt", extra={"fields": told(fault)})
        for path in (self.wanted, self.learnt_file.path):
            with contextlib.suppress(OSError):
                os.unlink(path)

    def successor(self) -> bool:
        return self.presence is not None and self.presence.other()

    def go(self) -> None:
        if self.presence is not None:
            self.presence.go()

    def listed(self, ids: list[str]) -> None:
        self.unsaved = self.orders.names(ids) or self.unsaved

    # The file.

    def look(self) -> None:
        """Takes over orders that the process beside this one was given, and has its own written down."""
        if self.file is None:
            return
        self.hand_on()
        stamp = self.file.stamp()
        if stamp is not None and stamp != self.seen:
            self.seen = stamp
            self.read(self.file)
        if self.unsaved:
            self.save()

    def read(self, file: StoredFile) -> None:
        try:
            other = Orders.of(orjson.loads(file.read()))
        except Missing:
            return
        except (Unfit, ValueError) as fault:
            log.error("orders cannot be read", extra={"fields": {"file": file.path, **told(fault)}})
            self.unsaved = bool(self.orders.given)
            return
        changed = self.orders.merge(other)
        # Guards against two that write at once: what the file lacks is written again.
        if self.orders.given != other.given or self.orders.listed.keys() - other.listed.keys():
            self.unsaved = True
        for matter in changed:
            self.put_into_force(matter)

    def save(self) -> None:
        if self.file is None:
            return
        try:
            self.file.write(orjson.dumps(self.orders.plain()), self.tag)
        except OSError as fault:
            if not self.write_failed:  # it is tried again ten times a second
                log.error(
                    "orders cannot be written",
                    extra={"fields": {"file": self.file.path, **told(fault, Unwritten)}},
                )
            self.unsaved = self.write_failed = True
            return
        self.unsaved = self.write_failed = False
        self.seen = self.file.stamp()

    def put_into_force(self, matter: str) -> None:
        out = self.orders.is_out(matter)
        if matter == DRAIN:
            self.drain(out)
        else:
            self.leave_out(matter, out)

    # The calls.

    def call(self, order: Order) -> tuple[int, str]:
        """Status and text of the answer; what it says yes to is in force, and written down if it can be."""
        if order.act is Act.READY:
            return (200, "serving") if self.serves() else (503, "not serving yet, or no longer")
        out = order.act in (Act.DISABLE, Act.DRAIN)
        matter = order.endpoint or DRAIN
        if matter != DRAIN and matter not in self.orders.listed and matter not in self.orders.given:
            return 404, "no list has named this endpoint; look for a typing error in its id"
        self.look()  # guards against a number below that of an order given to the process beside this one
        if self.orders.give(matter, out):
            self.put_into_force(matter)
            self.save()
        return 200, {
            Act.DISABLE: "left out",
            Act.ENABLE: "put back",
            Act.DRAIN: "drained",
            Act.RESUME: "taking clients",
        }[order.act]
