"""How many datagrams may go out: token buckets, one for each purpose."""

from __future__ import annotations

from .tuning import MembershipTuning

LOG_RATE = 1.0  # lines a second of single members' changes
LOG_BURST = 20.0


class TokenBucket:
    """So many a second, and so many at once.

    Guards against traffic that grows with the fleet or with what strangers send. May hurt where much changes
    at once: news then takes longer.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.level = burst
        self._rate = rate
        self._burst = burst
        self._filled_at = now

    def available(self, now: float) -> float:
        """Returns how many tokens are there."""
        if now > self._filled_at:
            self.level = min(self.level + (now - self._filled_at) * self._rate, self._burst)
            self._filled_at = now
        return self.level

    def take(self, now: float, reserve: float = 0.0) -> bool:
        """Takes a token, if more than `reserve` are left after it; returns whether it did."""
        if self.available(now) < 1.0 + reserve:
            return False
        self.level -= 1.0
        return True


class RateLimits:
    """The buckets of one member.

    Attributes:
        own: Datagrams of its own accord.
        urgent: Datagrams for updates of members alone.
        ring_probes: Probes further along the ring.
        mass_failure: Updates while many fail at once.
        second_opinions: Probes of members that others suspect.
        answers: Answers to members.
        greetings: Answers to those not known yet.
        load_reports: The balancer's load reports.
        log_lines: Lines of single changes.
    """

    def __init__(self, tuning: MembershipTuning, now: float) -> None:
        self.own = TokenBucket(tuning.own_rate, tuning.own_burst, now)
        self.urgent = TokenBucket(tuning.urgent_rate, tuning.urgent_burst, now)
        self.ring_probes = TokenBucket(tuning.extra_rate, tuning.extra_burst, now)
        self.mass_failure = TokenBucket(tuning.extra_rate, tuning.extra_burst, now)
        self.second_opinions = TokenBucket(tuning.extra_rate, tuning.extra_burst, now)
        self.answers = TokenBucket(tuning.answer_rate, tuning.answer_rate, now)
        self.greetings = TokenBucket(tuning.greeting_rate, tuning.greeting_rate, now)
        self.load_reports = TokenBucket(tuning.load_report_rate, tuning.load_report_rate, now)
        self.log_lines = TokenBucket(LOG_RATE, LOG_BURST, now)
