"""Gossip: when updates go out on datagrams of their own.

Source: Das, Gupta, Motivala, "SWIM: Scalable weakly-consistent infection-style process group membership
protocol" (DSN 2002), section 4.1.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from ...protocol.members import MessageKind
from .context import MembershipContext
from .messenger import Messenger
from .rate_limits import TokenBucket

SOON = 0.02  # seconds until updates go out,
ONCE_MORE = 0.08  # until they go to a few more,
AGAIN = 0.4  # and until they are sent again
THROTTLED = 0.1  # seconds at least where little of a budget is left
FANOUT = 3  # members that an update is sent to at once
MAX_FIRST = 8  # members that a register may be sent to first
MASS_FAILURE_UPDATES = 30  # more than a datagram takes: more go out for them where many are dead
FULL_FANOUT_LEVEL = 12.0  # datagrams left in the budget for the full fanout,
HALF_FANOUT_LEVEL = 8.0  # and for two members
LOW_LEVEL = 4.0
MIN_JITTER = 0.8
JITTER = 0.4


def _no_wake() -> None:
    pass


class Dissemination:
    """Decides when and to how many members updates go out.

    Attributes:
        due_at: When the next gossip is due.
        wake: Tells the driver that a tick is due at once.
    """

    def __init__(self, context: MembershipContext, messenger: Messenger) -> None:
        self.due_at = math.inf
        self.wake: Callable[[], None] = _no_wake
        self._messenger = messenger
        self._own = context.own
        self._table = context.table
        self._limits = context.limits
        self._tuning = context.tuning
        self._suspects = context.suspects
        self._random = context.random
        self._sampler = context.sampler
        self._gossiped_at = -math.inf
        self._once_more = False  # urgent updates have gone to a few, and are to go to a few more

    def schedule(self, at: float) -> None:
        """Gossips no later than `at`."""
        self.due_at = min(self.due_at, at)

    def on_register_written(self, now: float) -> None:
        """Gossips soon, with what else is written meanwhile."""
        at = max(now, self._gossiped_at + SOON)
        if at < self.due_at:
            self.due_at = at
            self.wake()

    def gossip(self, now: float) -> None:
        """Sends updates to a few members, and schedules the next gossip."""
        registers = self._messenger.registers
        self._gossiped_at = now
        self._send_first(now)
        new_registers = registers is not None and registers.queue.has_unsent
        once_more = self._once_more
        self._once_more = self._messenger.updates.has_unsent
        crowded = self._is_crowded(now)
        fresh = new_registers or self._messenger.updates.has_unsent or once_more or crowded
        has_registers = registers is not None and bool(registers.queue)
        again_at = self._messenger.piggybacked_at + AGAIN
        if not fresh and self._messenger.updates and not has_registers and now < again_at:
            self.due_at = again_at  # a datagram had them along meanwhile
            return
        free = new_registers or self._own.is_young(now) or not self._tuning.lifeguard
        limit = None if free else self._limits.mass_failure if crowded else self._limits.urgent
        self._send_to_some(now, fresh, limit)
        self._schedule_next(now, crowded)

    def _send_first(self, now: float) -> None:
        """Sends changed registers to those that are to be told first."""
        registers = self._messenger.registers
        if registers is None:
            return
        for name in list(registers.queue_changes())[:MAX_FIRST]:
            record = self._table.records.get(name)
            if record is None or not record.is_living or record is self._own.record:
                continue
            if self._limits.own.take(now):
                self._messenger.send(now, record, MessageKind.UPDATE)

    def _is_crowded(self, now: float) -> bool:
        return self._suspects.was_mass_failure(now) and len(self._messenger.updates) > MASS_FAILURE_UPDATES

    def _send_to_some(self, now: float, fresh: bool, limit: TokenBucket | None) -> None:
        """Sends to a few members; `limit` bounds updates of members alone, which also ride along."""
        for record in self._sampler.alive(self._fanout(now, fresh)):
            if not self._messenger.has_updates:
                break
            if limit is not None and not limit.take(now):
                break
            if not self._limits.own.take(now, reserve=2.0 if fresh else HALF_FANOUT_LEVEL) and limit is None:
                break
            self._messenger.send(now, record, MessageKind.UPDATE)

    def _fanout(self, now: float, fresh: bool) -> int:
        level = self._limits.own.available(now)
        if fresh and level > FULL_FANOUT_LEVEL:
            return FANOUT
        return 2 if fresh and level > HALF_FANOUT_LEVEL else 1

    def _schedule_next(self, now: float, crowded: bool) -> None:
        if not self._messenger.has_updates:
            self.due_at = math.inf
            return
        registers = self._messenger.registers
        if self._messenger.updates.has_unsent or (registers is not None and registers.queue.has_unsent):
            pause = SOON
        else:
            pause = ONCE_MORE if self._once_more or crowded else AGAIN
        if self._limits.own.level < LOW_LEVEL or self._limits.urgent.level < 1.0:
            pause = max(pause, THROTTLED)
        self.due_at = now + pause * (MIN_JITTER + JITTER * self._random.random())
