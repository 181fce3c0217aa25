"""Handshake: an unknown sender must answer a ping at the address that it claims."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ...protocol import members as wire
from ...protocol.members import MessageKind
from .context import MembershipContext
from .failure_detector import FailureDetector
from .messenger import Content, Messenger

MAX_PENDING = 256  # handshakes under way
TIMEOUT = 2.0  # seconds for an answer
MIN_INTERVAL = 0.3  # seconds between two handshakes with the same name
FORGET_AFTER = 1.0  # seconds for which the time of the last handshake with a name is remembered


@dataclass(frozen=True, slots=True)
class PendingHandshake:
    """A ping to a sender that is not known yet, which expires at `expires_at`."""

    name: str
    incarnation: int
    expires_at: float


class Handshakes:
    """Pings senders that are not known yet before they are accepted as members.

    This keeps out members that do not exist, and floods of messages sent under other members' names.

    Attributes:
        pending: Handshakes under way by the datagram number of the ping.
    """

    def __init__(self, context: MembershipContext, messenger: Messenger, detector: FailureDetector) -> None:
        self.pending: dict[int, PendingHandshake] = {}
        self._messenger = messenger
        self._detector = detector
        self._limits = context.limits
        self._stats = context.stats
        self._pinged_at: dict[str, float] = {}  # time of the last ping by name

    def begin(self, now: float, message: wire.Message) -> None:
        """Pings the sender of a message, unless a limit is reached or it was pinged a moment ago."""
        if now - self._pinged_at.get(message.sender, -math.inf) < MIN_INTERVAL:
            return
        if len(self.pending) >= MAX_PENDING or not self._limits.greetings.take(now):
            self._stats.strangers += 1
            return
        self._pinged_at[message.sender] = now
        ping = Content(MessageKind.PING, target=message.sender, piggyback=False)
        data = self._messenger.compose(now, ping)
        expires_at = now + TIMEOUT
        pending = PendingHandshake(message.sender, message.incarnation, expires_at)
        self.pending[self._messenger.number] = pending
        self._messenger.post(message.address, data)

    def is_proven(self, message: wire.Message) -> bool:
        """Returns whether the message answers a ping sent to the address that the sender claims.

        A handshake that the message answers ends, whatever the result.
        """
        pending = self.pending.pop(message.echo, None)
        if pending is not None:
            return (pending.name, pending.incarnation) == (message.sender, message.incarnation)
        return self._detector.is_probing(message.echo, message.sender)

    def reset(self) -> None:
        """Discards all handshakes under way, after the process was suspended."""
        self.pending.clear()

    def discard_expired(self, now: float) -> None:
        """Discards handshakes that were not answered in time."""
        self.pending = {number: ping for number, ping in self.pending.items() if ping.expires_at > now}
        self._pinged_at = {
            name: pinged_at for name, pinged_at in self._pinged_at.items() if now - pinged_at < FORGET_AFTER
        }
