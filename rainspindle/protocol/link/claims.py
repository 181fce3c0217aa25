"""Claims: how an exchange that crosses the link runs at most once, whatever becomes of the link.

The sender names each exchange by its own epoch (drawn at its start) and a counter. The receiver writes the
name down before it starts the exchange; a name that stands there never starts again. A sender that has lost
sight of an exchange sends a *revoke* over any connection: if the name is not there, it is written down as
revoked, so that it never starts, and the answer "never" proves that. Forgetting is safe: below a floor,
which only rises, nothing starts, and what is asked about it is "unknown", which proves nothing. So is a
restart: the receiver's epoch is part of the question.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from .frames import State


class Step(Enum):
    """What a sender is to do about an exchange that crossed, after something has happened."""

    WAIT = "wait"
    REVOKE = "revoke"  # over any connection that is up, again after each new one
    FREE = "free"  # it provably never ran: it may run here, or be rejected
    UNKNOWN = "unknown"  # it may have run, and nobody will ever tell: only a termination is left


class Claim:
    """The sender's side of one exchange that crosses. Each method gives what is to be done next."""

    __slots__ = ("over", "revoking", "started", "written")

    def __init__(self) -> None:
        self.written = False  # its last byte is out of our hands: from now on it may run
        self.revoking = False
        self.started = False  # the far side has said so
        self.over = False  # settled: what comes later is old news

    def was_written(self) -> Step:
        self.written = True
        return Step.WAIT

    def connection_lost(self) -> Step:
        """The connection it went over is gone, or is given up."""
        if self.over:
            return Step.WAIT
        if not self.written:
            self.over = True
            return Step.FREE  # an exchange starts only when it is whole
        self.revoking = not self.started
        return Step.REVOKE if self.revoking else Step.WAIT

    def told(self, state: State) -> Step:
        """The answer to a revoke."""
        if self.over or not self.written:
            return Step.WAIT
        if state == "never":
            self.over = True
            return Step.FREE
        if state == "unknown":
            self.over = True
            return Step.UNKNOWN
        self.started, self.revoking = True, False
        return Step.WAIT  # its answer comes over a connection that is up

    def answered(self) -> bool:
        """Its answer has come; whether it is still wanted."""
        wanted, self.over = not self.over, True
        return wanted


class Standing(Enum):
    STARTED = "started"
    DONE = "done"
    REVOKED = "never"


@dataclass(slots=True)
class Epoch:
    """What is known of the exchanges of one start of a peer."""

    names: OrderedDict[int, Standing]
    floor: int = 0  # nothing at or below it starts any more, unless it stands in `names`


class Ledger:
    """The receiver's side: which exchanges have started, ended, or will never start."""

    def __init__(self, most: int, most_epochs: int) -> None:
        """`most` names are kept for each of the `most_epochs` latest epochs of a peer."""
        self.most, self.most_epochs = most, most_epochs
        self.epochs: dict[int, Epoch] = {}
        self.epoch_floor = 0  # epochs grow from start to start; one at or below this was forgotten
        self.forgotten = 0

    def welcome(self, epoch: int) -> bool:
        """A connection with this start of a peer is up; False if it may be one that was forgotten."""
        if epoch in self.epochs:
            return True
        if epoch <= self.epoch_floor:
            return False
        self.epochs[epoch] = Epoch(OrderedDict())
        while len(self.epochs) > self.most_epochs:
            oldest = min(self.epochs)
            del self.epochs[oldest]
            self.epoch_floor = max(self.epoch_floor, oldest)
        return epoch in self.epochs

    def start(self, epoch: int, id: int) -> bool:
        """Whether the exchange may start now; if so it is written down, and never may again."""
        known = self.epochs.get(epoch)
        if known is None or id <= known.floor or id in known.names:
            return False
        self.write(known, id, Standing.STARTED)
        return True

    def done(self, epoch: int, id: int) -> None:
        known = self.epochs.get(epoch)
        if known is not None and id in known.names:
            known.names[id] = Standing.DONE

    def revoke(self, epoch: int, id: int) -> State:
        known = self.epochs.get(epoch)
        if known is None:
            return "unknown"
        standing = known.names.get(id)
        if standing is None:
            if id <= known.floor:
                return "unknown"
            self.write(known, id, Standing.REVOKED)
            return "never"
        return standing.value

    def write(self, known: Epoch, id: int, standing: Standing) -> None:
        known.names[id] = standing
        while len(known.names) > self.most:
            # The oldest goes first; the floor rises over it, so that it cannot start after it is forgotten.
            oldest, _ = known.names.popitem(last=False)
            known.floor = max(known.floor, oldest)
            self.forgotten += 1
