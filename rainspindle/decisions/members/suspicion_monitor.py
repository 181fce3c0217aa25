"""Declaring suspects dead once their suspicion has lasted."""

from __future__ import annotations

import math

from ...protocol.members import Status
from .context import MembershipContext
from .failure_detector import FailureDetector
from .member_states import MemberStates
from .member_table import MemberRecord
from .suspicion import LAST_PING_BEFORE, Suspicion

CHECK_PERIOD = 0.05  # seconds
OWN_PROBE_TIME = 1.0  # seconds for an own probe of one that others suspect, before it is declared dead
MAX_LAST_PINGS = 2


class SuspicionMonitor:
    """Watches the time-outs of suspicions.

    Attributes:
        next_check_at: When the next look is due.
    """

    def __init__(
        self,
        context: MembershipContext,
        states: MemberStates,
        detector: FailureDetector,
        now: float,
    ) -> None:
        self.next_check_at = now
        self._states = states
        self._detector = detector
        self._table = context.table
        self._suspects = context.suspects
        self._health = context.health
        self._tuning = context.tuning
        self._stats = context.stats

    def check(self, now: float) -> None:
        """Looks at all suspects, if it is time."""
        if now < self.next_check_at:
            return
        self.next_check_at = now + CHECK_PERIOD
        if self._health.is_suspended(now):
            return
        others = len(self._table.living()) - len(self._suspects.records)  # who can have an opinion
        for record in list(self._suspects.records.values()):
            if record.suspicion is None or record.status != Status.SUSPECT:
                self._suspects.discard(record.name)
            else:
                self._check_suspect(now, record, record.suspicion, others)

    def restart(self, now: float) -> None:
        """Has all suspicions begin anew: the process was stopped."""
        for record in self._suspects.records.values():
            if record.suspicion is not None:
                record.suspicion.since = now

    def _check_suspect(self, now: float, record: MemberRecord, suspicion: Suspicion, others: int) -> None:
        if now >= suspicion.probe_at:
            suspicion.probe_at = math.inf
            if not suspicion.own:
                self._detector.probe(now, record, alone=True)
        timeout = suspicion.timeout(self._tuning, self._health.factor, others)
        left = suspicion.since + timeout - now
        if left <= 0 and not suspicion.own and suspicion.last_pings < MAX_LAST_PINGS:
            # Guards against a declaration on hearsay alone: a probe of one's own comes before.
            suspicion.last_pings += 1
            suspicion.since += OWN_PROBE_TIME
            self._detector.probe(now, record)
        elif left <= 0:
            self._stats.buried += 1
            self._states.declare(now, record, Status.DEAD, record.refutation)
        elif self._is_last_ping_due(suspicion, left):
            suspicion.last_pings += 1  # so that one lost refutation has nobody declared dead
            self._detector.probe(now, record, alone=self._suspects.is_mass_failure())

    def _is_last_ping_due(self, suspicion: Suspicion, left: float) -> bool:
        if not self._tuning.lifeguard or not suspicion.own:
            return False
        return left < LAST_PING_BEFORE and not suspicion.last_pings
