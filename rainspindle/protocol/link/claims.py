"""Claims ensure that a request sent over the link runs at most once, whatever happens to the link.

The sender names each request by its own epoch (drawn when its process starts) and a counter. The receiver
records the name before it starts the request; a recorded name never starts again. A sender that has lost
track of a request sends a *revoke* over any connection. If the name is not recorded, the receiver records it
as revoked, so that it never starts, and answers "never", which proves that it did not run.

The receiver may forget names: nothing at or below a floor, which only rises, is started, and a revoke of it
is answered "unknown", which proves nothing. Restarts are as safe: a revoke names the receiver's epoch, and
one for an earlier epoch is answered "unknown".
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from .frames import State


class Step(Enum):
    """What a sender does about a request that it sent, after an event."""

    WAIT = "wait"
    REVOKE = "revoke"  # revoke it over any connection that is up, and again over each new one
    FREE = "free"  # it provably never ran: it may run elsewhere or be rejected
    UNKNOWN = "unknown"  # it may have run, and this can never be found out: it is terminated


class Claim:
    """The sender's state of one request. Each event method returns the next step."""

    __slots__ = ("over", "revoking", "started", "written")

    def __init__(self) -> None:
        self.written = False  # its last byte was written: from now on it may run
        self.revoking = False
        self.started = False  # the peer confirmed that it started
        self.over = False  # settled: later events are ignored

    def was_written(self) -> Step:
        """Records that the request was written completely."""
        self.written = True
        return Step.WAIT

    def connection_lost(self) -> Step:
        """Handles the loss or the closing of the connection that carried the request."""
        if self.over:
            return Step.WAIT
        if not self.written:
            self.over = True
            return Step.FREE  # a request starts only when it arrived completely
        self.revoking = not self.started
        return Step.REVOKE if self.revoking else Step.WAIT

    def told(self, state: State) -> Step:
        """Handles the peer's reply to a revoke."""
        if self.over or not self.written:
            return Step.WAIT
        if state == "never":
            self.over = True
            return Step.FREE
        if state == "unknown":
            self.over = True
            return Step.UNKNOWN
        self.started, self.revoking = True, False
        return Step.WAIT  # its answer follows over a connection that is up

    def answered(self) -> bool:
        """Settles the claim; returns whether the answer is still wanted."""
        wanted, self.over = not self.over, True
        return wanted


class Standing(Enum):
    """What the receiver recorded about a request; the values are those of the reply to a revoke."""

    STARTED = "started"
    DONE = "done"
    REVOKED = "never"


@dataclass(slots=True)
class Epoch:
    """The requests of one start of a peer."""

    names: OrderedDict[int, Standing]
    floor: int = 0  # ids at or below it never start; those not in `names` are forgotten


class Ledger:
    """The receiver's record of the requests that started, ended, or will never start."""

    def __init__(self, max_names: int, max_epochs: int) -> None:
        """Sets the limits: `max_names` names are kept for each of the `max_epochs` latest epochs."""
        self.max_names, self.max_epochs = max_names, max_epochs
        self.epochs: dict[int, Epoch] = {}
        self.epoch_floor = 0  # epochs grow with each start; unknown ones at or below it were forgotten
        self.forgotten = 0

    def welcome(self, epoch: int) -> bool:
        """Records that a connection with this epoch is up; returns False if it may be a forgotten one."""
        if epoch in self.epochs:
            return True
        if epoch <= self.epoch_floor:
            return False
        self.epochs[epoch] = Epoch(OrderedDict())
        while len(self.epochs) > self.max_epochs:
            oldest = min(self.epochs)
            del self.epochs[oldest]
            self.epoch_floor = max(self.epoch_floor, oldest)
        return epoch in self.epochs

    def start(self, epoch: int, request_id: int) -> bool:
        """Returns whether the request may start, and records it as started if so."""
        known = self.epochs.get(epoch)
        if known is None or request_id <= known.floor or request_id in known.names:
            return False
        self.record(known, request_id, Standing.STARTED)
        return True

    def done(self, epoch: int, request_id: int) -> None:
        """Records that a started request has ended."""
        known = self.epochs.get(epoch)
        if known is not None and request_id in known.names:
            known.names[request_id] = Standing.DONE

    def revoke(self, epoch: int, request_id: int) -> State:
        """Revokes a request and returns its state; "never" proves that it did not and will not start."""
        known = self.epochs.get(epoch)
        if known is None:
            return "unknown"
        standing = known.names.get(request_id)
        if standing is None:
            if request_id <= known.floor:
                return "unknown"
            self.record(known, request_id, Standing.REVOKED)
            return "never"
        return standing.value

    def record(self, known: Epoch, request_id: int, standing: Standing) -> None:
        """Records a request and forgets the oldest ones over the limit."""
        known.names[request_id] = standing
        while len(known.names) > self.max_names:
            # The floor rises to each forgotten id, so that it cannot start again.
            oldest, _ = known.names.popitem(last=False)
            known.floor = max(known.floor, oldest)
            self.forgotten += 1
