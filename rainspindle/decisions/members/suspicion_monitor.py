"""Declares suspects dead when their suspicion times out."""

from __future__ import annotations

import math

from ...protocol.members import Status
from .context import MembershipContext
from .failure_detector import FailureDetector
from .member_states import MemberStates
from .member_table import MemberRecord
from .suspicion import FINAL_PING_LEAD, Suspicion

CHECK_PERIOD = 0.05  # seconds
OWN_PROBE_TIME = 1.0  # seconds by which an unverified suspicion is extended while the suspect is probed
MAX_FINAL_PINGS = 2


class SuspicionMonitor:
    """Watches the time-outs of suspicions.

    Attributes:
        next_check_at: Time of the next check while any member is suspected.
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
        """Checks all suspects if the check period has passed and suspicions are not suspended."""
        if now < self.next_check_at:
            return
        self.next_check_at = now + CHECK_PERIOD
        if self._health.is_suspended(now):
            return
        others = len(self._table.living()) - len(self._suspects.records)  # members able to confirm suspicions
        for record in list(self._suspects.records.values()):
            if record.suspicion is None or record.status != Status.SUSPECT:
                self._suspects.discard(record.name)
            else:
                self._check_suspect(now, record, record.suspicion, others)

    def restart(self, now: float) -> None:
        """Restarts the time-outs of all suspicions after the process was suspended."""
        for record in self._suspects.records.values():
            if record.suspicion is not None:
                record.suspicion.since = now

    def _check_suspect(self, now: float, record: MemberRecord, suspicion: Suspicion, others: int) -> None:
        if now >= suspicion.probe_at:
            suspicion.probe_at = math.inf
            if not suspicion.is_verified:
                self._detector.probe(now, record, direct_only=True)
        timeout = suspicion.timeout(self._tuning, self._health.factor, others)
        remaining = suspicion.since + timeout - now
        if remaining <= 0 and not suspicion.is_verified and suspicion.final_pings < MAX_FINAL_PINGS:
            # Probes the suspect first, so that it is not declared dead only because others report it.
            suspicion.final_pings += 1
            suspicion.since += OWN_PROBE_TIME
            self._detector.probe(now, record)
        elif remaining <= 0:
            self._stats.buried += 1
            self._states.declare(now, record, Status.DEAD, record.refutation)
        elif self._is_final_ping_due(suspicion, remaining):
            suspicion.final_pings += 1  # the loss of a single refutation must not lead to a declaration
            self._detector.probe(now, record, direct_only=self._suspects.is_mass_failure())

    def _is_final_ping_due(self, suspicion: Suspicion, remaining: float) -> bool:
        if not self._tuning.lifeguard or not suspicion.is_verified:
            return False
        return remaining < FINAL_PING_LEAD and not suspicion.final_pings
