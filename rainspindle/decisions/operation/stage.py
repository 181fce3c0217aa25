"""Lifecycle of a sidecar: serving, drained, shutting down alone or handing over to a successor. No I/O."""

from __future__ import annotations

import math
from enum import Enum


class Stage(Enum):
    """A lifecycle stage; the value is the event text of the log line that reports it."""

    SERVING = "serving"
    DRAINED = "drained"  # on an operator's order: client connections are closed, the process keeps running
    LEAVING = "leaving"  # after SIGTERM, no other process listens on the address
    HANDING = "handing over"  # after SIGTERM, a successor listens on the address


class Stages:
    """Tracks the stage: one method for each event, and queries about what the current stage requires."""

    # Seconds. After /-/ready has answered 503, new connections still arrive for up to 0.3 s. The process must
    # be free of requests 2 s before the end of the 4 s that a drain may take.
    FRONT_STOPS, LAST_IDLE, RESTED = 0.4, 1.4, 0.1
    # Seconds after the grace period; GONE counts from ALL_ANSWERED on.
    SERVE_ON, ALL_ANSWERED, GONE = 0.2, 0.4, 0.1

    def __init__(self, grace_period: float) -> None:
        """`grace_period` is the time in seconds for which the process surely runs on after SIGTERM."""
        self.grace_period = grace_period
        self.stage, self.since = Stage.SERVING, -math.inf

    def enter(self, stage: Stage, now: float) -> bool:
        """Moves to `stage`; returns whether it differs from the current one."""
        changed = stage is not self.stage
        if changed:
            self.stage, self.since = stage, now
        return changed

    # Events. Each method returns whether the stage has changed.

    def drain(self, now: float) -> bool:
        """Handles the operator's order to drain; has no effect unless the sidecar is serving."""
        return self.stage is Stage.SERVING and self.enter(Stage.DRAINED, now)

    def resume(self, now: float) -> bool:
        """Handles the operator's order to resume; has no effect unless the sidecar is drained."""
        return self.stage is Stage.DRAINED and self.enter(Stage.SERVING, now)

    def leave(self, now: float, successor: bool) -> bool:
        """Handles SIGTERM, which cannot be undone; a second one has no effect."""
        if self.ending:
            return False
        return self.enter(Stage.HANDING if successor else Stage.LEAVING, now)

    # Queries.

    @property
    def ending(self) -> bool:
        """Whether SIGTERM has been received."""
        return self.stage in (Stage.LEAVING, Stage.HANDING)

    @property
    def ready(self) -> bool:
        """Whether the sidecar accepts requests without limits."""
        return self.stage is Stage.SERVING

    def listens(self, now: float) -> bool:
        """Whether the listener stays open.

        A process without a successor listens almost to its end, so that clients are refused only briefly.
        """
        if self.stage is Stage.LEAVING:
            return now < self.since + self.grace_period + self.SERVE_ON
        return self.stage is not Stage.HANDING

    def closes(self, now: float) -> bool:
        """Whether each client connection is closed after its next response."""
        return self.stage in (Stage.DRAINED, Stage.HANDING) or not self.listens(now)

    def idle_limit(self, now: float) -> float:
        """Returns the idle time in seconds after which a connection without a request is closed.

        Connections that have been idle longest are closed first and the others later, because a close may
        cross with a request that the client has just sent.
        """
        if not self.closes(now):
            return math.inf
        age = now - self.since
        if self.stage is Stage.DRAINED and age < self.FRONT_STOPS:
            return math.inf
        return self.RESTED if self.stage is not Stage.LEAVING and age < self.LAST_IDLE else 0.0

    @property
    def last_answer(self) -> float:
        """The time by which every request must be answered; infinite before SIGTERM."""
        return self.since + self.grace_period + self.ALL_ANSWERED if self.ending else math.inf

    def over(self, now: float, empty: bool) -> bool:
        """Whether the process exits: all requests are answered (`empty`), or its time has run out."""
        return self.ending and not self.listens(now) and (empty or now >= self.last_answer + self.GONE)
