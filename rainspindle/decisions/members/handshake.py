"""The handshake: whoever is new has to answer at the address that it tells."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ...protocol import members as wire
from ...protocol.members import MessageKind
from .context import MembershipContext
from .failure_detector import FailureDetector
from .messenger import Content, Messenger

MAX_PENDING = 256
TIMEOUT = 2.0  # seconds
MIN_INTERVAL = 0.3  # seconds between two pings to one name
FORGET_AFTER = 1.0  # seconds


@dataclass(frozen=True, slots=True)
class PendingHandshake:
    """A ping to a member that is not known yet."""

    name: str
    incarnation: int
    until: float


class Handshakes:
    """Pings members that are not known yet.

    Guards against members that are not there, and against floods of messages in others' names.

    Attributes:
        pending: By the number of the ping.
    """

    def __init__(self, context: MembershipContext, messenger: Messenger, detector: FailureDetector) -> None:
        self.pending: dict[int, PendingHandshake] = {}
        self._messenger = messenger
        self._detector = detector
        self._limits = context.limits
        self._stats = context.stats
        self._pinged_at: dict[str, float] = {}  # by name

    def begin(self, now: float, message: wire.Message) -> None:
        """Pings the sender of a message."""
        if now - self._pinged_at.get(message.sender, -math.inf) < MIN_INTERVAL:
            return
        if len(self.pending) >= MAX_PENDING or not self._limits.greetings.take(now):
            self._stats.strangers += 1
            return
        self._pinged_at[message.sender] = now
        ping = Content(MessageKind.PING, target=message.sender, piggyback=False)
        data = self._messenger.compose(now, ping)
        until = now + TIMEOUT
        pending = PendingHandshake(message.sender, message.incarnation, until)
        self.pending[self._messenger.number] = pending
        self._messenger.post(message.address, data)

    def is_proven(self, message: wire.Message) -> bool:
        """Returns whether the message answers a ping to the address that it tells."""
        pending = self.pending.pop(message.echo, None)
        if pending is not None:
            return (pending.name, pending.incarnation) == (message.sender, message.incarnation)
        return self._detector.is_probing(message.echo, message.sender)

    def reset(self) -> None:
        """Forgets what is under way: the process was stopped."""
        self.pending.clear()

    def forget_old(self, now: float) -> None:
        """Forgets what was not answered."""
        self.pending = {number: one for number, one in self.pending.items() if one.until > now}
        self._pinged_at = {name: at for name, at in self._pinged_at.items() if now - at < FORGET_AFTER}
