"""Gossip: decides when updates are sent in datagrams of their own.

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

BATCH_DELAY = 0.02  # seconds until new updates are sent, so that several share a datagram
SECOND_ROUND_DELAY = 0.08  # seconds until new updates are sent to a second group of members
REPEAT_DELAY = 0.4  # seconds until updates are sent again
THROTTLED_DELAY = 0.1  # minimum delay in seconds when a rate limit is nearly used up
FANOUT = 3  # members that an update is sent to at once
MAX_PRIORITY_MEMBERS = 8  # members that are sent a changed register ahead of all others
MASS_FAILURE_UPDATES = 30  # pending updates, more than fit in a datagram, above which more datagrams are sent
# Tokens that the limit on own datagrams must hold:
FULL_FANOUT_LEVEL = 12.0  # for the full fanout
HALF_FANOUT_LEVEL = 8.0  # for a fanout of two
LOW_LEVEL = 4.0  # to avoid throttling
MIN_JITTER = 0.8  # delays are multiplied by a random factor from MIN_JITTER to MIN_JITTER + JITTER
JITTER = 0.4


def _no_wake() -> None:
    pass


class Dissemination:
    """Decides when and to how many members updates are sent.

    Attributes:
        due_at: Time of the next gossip round; infinite if nothing is pending.
        wake: Callback that asks the program to call the timer at once.
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
        self._second_round_due = False  # new updates were sent to one group of members and need a second one

    def schedule(self, at: float) -> None:
        """Makes sure that the next gossip round takes place no later than `at`."""
        self.due_at = min(self.due_at, at)

    def on_register_written(self, now: float) -> None:
        """Schedules gossip soon, so that further writes until then share the datagrams."""
        gossip_at = max(now, self._gossiped_at + BATCH_DELAY)
        if gossip_at < self.due_at:
            self.due_at = gossip_at
            self.wake()

    def gossip(self, now: float) -> None:
        """Sends pending updates to a few members, and schedules the next round."""
        registers = self._messenger.registers
        self._gossiped_at = now
        self._send_to_priority_members(now)
        new_registers = registers is not None and registers.queue.has_unsent
        is_second_round = self._second_round_due
        self._second_round_due = self._messenger.updates.has_unsent
        is_mass_failure = self._has_mass_failure_updates(now)
        is_urgent = new_registers or self._messenger.updates.has_unsent or is_second_round or is_mass_failure
        has_registers = registers is not None and bool(registers.queue)
        repeat_at = self._messenger.piggybacked_at + REPEAT_DELAY
        if not is_urgent and self._messenger.updates and not has_registers and now < repeat_at:
            self.due_at = repeat_at  # other datagrams have carried the updates in the meantime
            return
        is_unlimited = new_registers or self._own.is_newly_joined(now) or not self._tuning.lifeguard
        limit = (
            None if is_unlimited else self._limits.mass_failure if is_mass_failure else self._limits.urgent
        )
        self._send_to_some(now, is_urgent, limit)
        self._schedule_next(now, is_mass_failure)

    def _send_to_priority_members(self, now: float) -> None:
        """Sends changed registers to the members that their writers named for immediate delivery."""
        registers = self._messenger.registers
        if registers is None:
            return
        for name in list(registers.queue_changes())[:MAX_PRIORITY_MEMBERS]:
            record = self._table.records.get(name)
            if record is None or not record.is_living or record is self._own.record:
                continue
            if self._limits.own.take(now):
                self._messenger.send(now, record, MessageKind.UPDATE)

    def _has_mass_failure_updates(self, now: float) -> bool:
        return self._suspects.was_mass_failure(now) and len(self._messenger.updates) > MASS_FAILURE_UPDATES

    def _send_to_some(self, now: float, is_urgent: bool, limit: TokenBucket | None) -> None:
        """Sends updates to a few random members.

        `limit` bounds datagrams that carry member updates only, which are also piggybacked on other
        datagrams; None leaves just the limit on own datagrams.
        """
        for record in self._sampler.alive(self._fanout(now, is_urgent)):
            if not self._messenger.has_updates:
                break
            if limit is not None and not limit.take(now):
                break
            if (
                not self._limits.own.take(now, reserve=2.0 if is_urgent else HALF_FANOUT_LEVEL)
                and limit is None
            ):
                break
            self._messenger.send(now, record, MessageKind.UPDATE)

    def _fanout(self, now: float, is_urgent: bool) -> int:
        level = self._limits.own.available(now)
        if is_urgent and level > FULL_FANOUT_LEVEL:
            return FANOUT
        return 2 if is_urgent and level > HALF_FANOUT_LEVEL else 1

    def _schedule_next(self, now: float, is_mass_failure: bool) -> None:
        if not self._messenger.has_updates:
            self.due_at = math.inf
            return
        registers = self._messenger.registers
        if self._messenger.updates.has_unsent or (registers is not None and registers.queue.has_unsent):
            pause = BATCH_DELAY
        else:
            pause = SECOND_ROUND_DELAY if self._second_round_due or is_mass_failure else REPEAT_DELAY
        if self._limits.own.level < LOW_LEVEL or self._limits.urgent.level < 1.0:
            pause = max(pause, THROTTLED_DELAY)
        self.due_at = now + pause * (MIN_JITTER + JITTER * self._random.random())
