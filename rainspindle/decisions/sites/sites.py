"""Selects the site of each request, as the failover table selects endpoints, but one level up.

Keys are hashed into partitions. The failover table counts the failures of each partition at its own site.
Past the threshold the partition moves to the next site; after a delay one retriable request goes back as a
trial, and a successful trial returns the partition. A site that fails as a whole is ejected at once and
readmitted over a ramp.

Callers use `route` for each request, `record_result` for each end of a request at a site, `linked` when a
link goes up or down, and `tick` several times a second. Times are seconds on the caller's clock.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ...balancer.failover import CircuitBreaker, FailoverTable


@dataclass(frozen=True, slots=True)
class Route:
    """The site that a request goes to first.

    `partition_trial` and `site_trial` hold the circuit breaker for which the request is the trial.
    """

    site: str
    partition: str
    partition_trial: CircuitBreaker | None = None
    site_trial: CircuitBreaker | None = None


@dataclass(slots=True)
class OutcomeWindow:
    """Outcomes of the last seconds, in two buckets of about SWEEPS_PER_ROTATION sweeps each."""

    failures: list[float] = field(default_factory=lambda: [0.0, 0.0])
    outcomes: list[int] = field(default_factory=lambda: [0, 0])

    def add(self, failed: bool) -> None:
        """Records one outcome."""
        self.failures[0] += failed
        self.outcomes[0] += 1

    def rotate(self) -> None:
        """Starts a new bucket and drops the older one."""
        self.failures = [0.0, self.failures[0]]
        self.outcomes = [0, self.outcomes[0]]

    def failure_share(self) -> float:
        """Returns the share of outcomes that were failures, 0 without any."""
        return sum(self.failures) / max(1, sum(self.outcomes))


class Site:
    """The state of one site, own or peer, as this gateway sees it."""

    # Seconds. A link that comes up again is not used for the hold time; each flap within FLAP_WINDOW doubles
    # that time.
    INITIAL_HOLD, MAX_HOLD, FLAP_WINDOW = 1.0, 30.0, 60.0
    # How many requests that the own site rejected may go to a peer; successful requests earn further credit.
    INITIAL_CREDIT, MAX_CREDIT, CREDIT_PER_SUCCESS = 10.0, 50.0, 0.1

    def __init__(self, name: str, own: bool, now: float) -> None:
        self.name, self.own = name, own
        self.up, self.usable_at, self.hold_time, self.down_at = (
            own,
            -math.inf if own else math.inf,
            0.0,
            -math.inf,
        )
        self.breaker: CircuitBreaker | None = None
        self.trial_delay = 0.0  # seconds until the next trial; doubles with each failed one
        self.readmitted_at = -math.inf
        self.recent_outcomes = OutcomeWindow()
        self.consecutive_failures = 0  # failures since the last success
        self.failing_since = now
        self.spill_credit = self.INITIAL_CREDIT  # pays for rejected requests that go to a peer

    def linked(self, now: float, up: bool) -> None:
        """Records that the link to the site went up or down."""
        if up == self.up:
            return
        self.up = up
        if not up:
            # Limits the effect of a flapping link: each loss within FLAP_WINDOW seconds of the last doubles
            # the time for which the link is not used after it comes up.
            stable = now - self.down_at > self.FLAP_WINDOW
            self.hold_time = (
                self.INITIAL_HOLD
                if stable
                else min(max(self.INITIAL_HOLD, 2 * self.hold_time), self.MAX_HOLD)
            )
            self.down_at = now
        else:
            self.usable_at = now + (self.hold_time if self.down_at > -math.inf else 0.0)

    def usable(self, now: float, ignore_hold: bool = False) -> bool:
        """Returns whether the link may be used; `ignore_hold` allows one that is held back after flapping."""
        return self.up and (ignore_hold or now >= self.usable_at)


class Sites:
    """The site selection of one gateway."""

    PARTITIONS = 256
    # A failure counts against a partition only while a larger share of its requests fails.
    MIN_FAILURE_SHARE = 0.25
    # A site is ejected after EJECTION_FAILURES consecutive failures over at least EJECTION_TIME seconds.
    EJECTION_FAILURES, EJECTION_TIME = 12, 0.5
    # It is also ejected if a larger share of at least EJECTION_MIN_OUTCOMES recent requests failed.
    EJECTION_SHARE, EJECTION_MIN_OUTCOMES = 0.7, 40
    TRIAL_DELAY, MAX_TRIAL_DELAY = 5.0, 60.0  # seconds
    READMISSION_RAMP = 10.0  # seconds
    SWEEP_INTERVAL, SWEEPS_PER_ROTATION = 1.0, 5  # seconds; sweeps

    def __init__(
        self, own: str, peers: Sequence[str], seed: int, now: float, log: Callable[[str], None]
    ) -> None:
        """Takes the `peers` in order of preference."""
        self.seed, self.log = seed, log
        self.own = Site(own, True, now)
        self.sites: dict[str, Site] = {own: self.own}
        self.started_at, self.draws, self.sweeps, self.swept_at = now, 0, 0, now
        self.table: FailoverTable[Site] = FailoverTable()
        self.partition_outcomes: dict[str, OutcomeWindow] = {}
        self.moves = self.spills = 0
        self.set_peers(peers, now)

    def set_peers(self, peers: Sequence[str], now: float) -> None:
        """Replaces the peers; the state of peers that remain is kept."""
        previous = self.sites
        self.sites = {self.own.name: self.own}
        for name in peers:
            self.sites[name] = previous.get(name) or Site(name, False, now)
        removed = [site for name, site in previous.items() if name not in self.sites]
        for partition, entry in list(self.table.entries.items()):
            if any(site in removed for site in entry.tried):
                del self.table.entries[partition]

    def linked(self, now: float, peer: str, up: bool) -> None:
        """Records that the link to `peer` went up or down; unknown peers are ignored."""
        if peer in self.sites:
            self.sites[peer].linked(now, up)

    def random_fraction(self) -> float:
        """Returns a reproducible pseudo-random number from 0 to below 1."""
        self.draws += 1
        return zlib.crc32(b"%d:%d" % (self.seed, self.draws)) / 2**32

    def partition(self, key: str | None) -> str:
        """Returns the partition of a key; a request without a key gets a random one."""
        key_hash = zlib.crc32(key.encode()) if key else int(self.random_fraction() * 2**32)
        return str(key_hash % self.PARTITIONS)

    # Selection.

    def route(self, now: float, key: str | None, retriable: bool) -> Route:
        """Selects the site of a request; falls back to the own site if no site is usable."""
        partition = self.partition(key)
        entry = self.table.entries.get(partition)
        if (
            entry
            and entry.trial_due
            and retriable
            and self.usable(entry.first, now)
            and not entry.first.breaker
        ):
            entry.begin_trial()
            return Route(entry.first.name, partition, partition_trial=entry)
        preferred = entry.current if entry and self.table.has_moved(entry) else self.own
        for site in (preferred, *self.sites.values()):
            if site.breaker:
                if site.breaker.trial_due and retriable and self.usable(site, now):
                    site.breaker.begin_trial()
                    return Route(site.name, partition, site_trial=site.breaker)
            elif self.usable(site, now) and self.takes_back(site, partition, now):
                return Route(site.name, partition)
        return Route(self.own.name, partition)

    def usable(self, site: Site, now: float) -> bool:
        """Returns whether the link to the site may be used."""
        # While the own site is ejected, a flapping link is better than rejecting every request.
        return site.usable(now, ignore_hold=self.own.breaker is not None)

    def takes_back(self, site: Site, partition: str, now: float) -> bool:
        """Returns whether a readmitted site already takes the partition back."""
        ramp_share = (now - site.readmitted_at) / self.READMISSION_RAMP
        return ramp_share >= 1.0 or zlib.crc32(f"{site.name}|{partition}".encode()) / 2**32 < ramp_share

    def spill(self, now: float, tried: Sequence[str]) -> str | None:
        """Returns another site for a request that its site rejected without running it, or None.

        A request is sent to at most one peer: what that peer rejected is not offered to the next. Each such
        request costs a credit that successful requests earn, so that a site that sheds load does not flood
        the others.
        """
        has_crossed = any(name != self.own.name for name in tried)
        for site in self.sites.values():
            if site.name not in tried and not site.breaker and self.usable(site, now):
                if site.own:
                    return site.name
                if has_crossed or self.own.spill_credit < 1:
                    return None
                self.own.spill_credit -= 1
                self.spills += 1
                return site.name
        return None

    # Outcomes.

    def record_result(
        self, now: float, route: Route, site_name: str, succeeded: bool | None, retriable: bool
    ) -> None:
        """Records the end of a request at a site; `succeeded` is None if it tells nothing about the site."""
        site = self.sites.get(site_name)
        if site is None:
            return
        on_trial = site_name == route.site
        if succeeded is None:
            if on_trial and route.partition_trial:
                route.partition_trial.abandon_trial()
            if on_trial and route.site_trial and site.breaker is route.site_trial:
                route.site_trial.abandon_trial()
            return
        site.recent_outcomes.add(not succeeded)
        entry = self.table.entries.get(route.partition)
        if succeeded:
            site.consecutive_failures = 0
            self.own.spill_credit = min(self.own.spill_credit + Site.CREDIT_PER_SUCCESS, Site.MAX_CREDIT)
            if on_trial and route.site_trial and site.breaker is route.site_trial:
                self.readmit(site, now)
            if on_trial and route.partition_trial and entry is route.partition_trial:
                del self.table.entries[route.partition]
                self.log(f"partition {route.partition} returned to {site_name}")
            if site.own or entry:
                self.partition_outcomes.setdefault(route.partition, OutcomeWindow()).add(False)
            return
        if site.consecutive_failures == 0:
            site.failing_since = now
        site.consecutive_failures += 1
        if on_trial and route.partition_trial:
            route.partition_trial.reopen(now)
        if on_trial and route.site_trial and site.breaker is route.site_trial:
            site.trial_delay = min(2 * site.trial_delay, self.MAX_TRIAL_DELAY)
            route.site_trial.reopen(now)
            return
        window = self.partition_outcomes.setdefault(route.partition, OutcomeWindow())
        window.add(True)
        if site.breaker:
            return
        # Successes never lower the table's counts, so they grow without a fault too. Requiring a share of
        # failures keeps partitions from moving needlessly.
        if window.failure_share() > self.MIN_FAILURE_SHARE and len(self.sites) > 1:
            self.count_failure(site, route, retriable, now)
        self.eject_if_failing(site, now)

    def count_failure(self, site: Site, route: Route, retriable: bool, now: float) -> None:
        """Counts a failure against the partition and moves it past the threshold."""

        def next_untried(tried: list[Site]) -> Site | None:
            return next(
                (
                    candidate
                    for candidate in self.sites.values()
                    if candidate not in tried and not candidate.breaker and self.usable(candidate, now)
                ),
                None,
            )

        entry_before = self.table.entries.get(route.partition)
        has_moved = entry_before is not None and self.table.has_moved(entry_before)
        current = entry_before.current if entry_before and has_moved else site
        if current is not site:
            return  # a late outcome from the partition's previous site
        self.table.record_failure(route.partition, site, retriable, now, next_untried)
        entry_after = self.table.entries.get(route.partition)
        if entry_after is not None and entry_after.current is not site:
            self.moves += 1
            self.log(
                f"partition {route.partition} moved from {site.name} to {entry_after.current.name}: "
                f"{entry_after.idempotent_failures} retriable, {entry_after.other_failures} other failures"
            )

    def eject_if_failing(self, site: Site, now: float) -> None:
        """Ejects the site if it fails as a whole."""
        by_run = (
            site.consecutive_failures >= self.EJECTION_FAILURES
            and now - site.failing_since >= self.EJECTION_TIME
        )
        by_share = (
            sum(site.recent_outcomes.outcomes) >= self.EJECTION_MIN_OUTCOMES
            and site.recent_outcomes.failure_share() > self.EJECTION_SHARE
        )
        if (by_run or by_share) and len(self.sites) > 1:
            site.breaker, site.trial_delay = CircuitBreaker(now), self.TRIAL_DELAY
            self.log(
                f"site {site.name} ejected: {site.consecutive_failures} consecutive failures, "
                f"{site.recent_outcomes.failure_share():.0%} of {sum(site.recent_outcomes.outcomes)} recent "
                "requests failed"
            )

    def readmit(self, site: Site, now: float) -> None:
        """Readmits a site after its successful trial; its partitions return over READMISSION_RAMP seconds."""
        self.log(f"site {site.name} readmitted: its trial succeeded")
        site.breaker, site.readmitted_at, site.recent_outcomes, site.consecutive_failures = (
            None,
            now,
            OutcomeWindow(),
            0,
        )
        for partition, entry in list(self.table.entries.items()):
            if entry.first is site:
                del self.table.entries[partition]

    def tick(self, now: float) -> None:
        """Makes trials due and ages the outcomes; works at most once in SWEEP_INTERVAL seconds."""
        if now - self.swept_at < self.SWEEP_INTERVAL:
            return
        self.swept_at, self.sweeps = now, self.sweeps + 1
        self.table.sweep(now)
        for site in self.sites.values():
            if site.breaker:
                site.breaker.sweep(now, site.trial_delay)
        if self.sweeps % self.SWEEPS_PER_ROTATION == 0:
            for window in (
                *self.partition_outcomes.values(),
                *(site.recent_outcomes for site in self.sites.values()),
            ):
                window.rotate()
            self.partition_outcomes = {
                partition: recent
                for partition, recent in self.partition_outcomes.items()
                if any(recent.outcomes)
            }
