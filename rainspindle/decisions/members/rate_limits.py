"""Rate limits for datagrams and log lines: one token bucket for each purpose."""

from __future__ import annotations

from .tuning import MembershipTuning

LOG_RATE = 1.0  # log lines per second about changes of single members
LOG_BURST = 20.0


class TokenBucket:
    """Token bucket with a rate in tokens per second and a burst size.

    Keeps traffic from growing with the size of the fleet or with what unknown senders send. Drawback: when
    much changes at once, updates take longer to spread.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.level = burst
        self._rate = rate
        self._burst = burst
        self._filled_at = now

    def available(self, now: float) -> float:
        """Refills the bucket and returns the number of available tokens."""
        if now > self._filled_at:
            self.level = min(self.level + (now - self._filled_at) * self._rate, self._burst)
            self._filled_at = now
        return self.level

    def take(self, now: float, reserve: float = 0.0) -> bool:
        """Takes a token if at least `reserve` tokens remain after it; returns whether it did."""
        if self.available(now) < 1.0 + reserve:
            return False
        self.level -= 1.0
        return True


class RateLimits:
    """The token buckets of one member.

    Attributes:
        own: Datagrams sent on the member's own initiative.
        urgent: Datagrams sent only to carry member updates.
        ring_probes: Probes further along the ring.
        mass_failure: Datagrams with updates during a mass failure.
        verifications: Probes of members that others suspect.
        answers: Answers to known members.
        greetings: Answers to senders that are not known yet.
        load_reports: Datagrams with the balancer's load reports.
        log_lines: Log lines about changes of single members.
    """

    def __init__(self, tuning: MembershipTuning, now: float) -> None:
        self.own = TokenBucket(tuning.own_rate, tuning.own_burst, now)
        self.urgent = TokenBucket(tuning.urgent_rate, tuning.urgent_burst, now)
        self.ring_probes = TokenBucket(tuning.extra_rate, tuning.extra_burst, now)
        self.mass_failure = TokenBucket(tuning.extra_rate, tuning.extra_burst, now)
        self.verifications = TokenBucket(tuning.extra_rate, tuning.extra_burst, now)
        self.answers = TokenBucket(tuning.answer_rate, tuning.answer_rate, now)
        self.greetings = TokenBucket(tuning.greeting_rate, tuning.greeting_rate, now)
        self.load_reports = TokenBucket(tuning.load_report_rate, tuning.load_report_rate, now)
        self.log_lines = TokenBucket(LOG_RATE, LOG_BURST, now)
