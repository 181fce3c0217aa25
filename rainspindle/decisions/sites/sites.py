"""Which site an exchange goes to: the design's mechanism one level up, with sites in place of endpoints.

Keys fall into partitions. Per partition, failures at its own site are counted in the module's table; past the
threshold it moves to the next site, after a pause one real retriable exchange goes back as a trial, and
after a good trial the partition is back. A site that fails as a whole is given up at once, and comes back
over a ramp. Call `route` for each exchange, `ended` for each end of one at a site, `linked` when a link
comes up or goes, `tick` some times a second. Times are seconds on the caller's clock.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ...balancer.failover import CircuitBreaker, FailoverTable


@dataclass(frozen=True, slots=True)
class Route:
    """Where an exchange goes first. `partition_trial` and `site_trial` tell whose trial it is."""

    site: str
    partition: str
    partition_trial: CircuitBreaker | None = None
    site_trial: CircuitBreaker | None = None


@dataclass(slots=True)
class Shares:
    """Outcomes of the last ten seconds or more, in two halves."""

    failures: list[float] = field(default_factory=lambda: [0.0, 0.0])
    outcomes: list[int] = field(default_factory=lambda: [0, 0])

    def add(self, failed: bool) -> None:
        self.failures[0] += failed
        self.outcomes[0] += 1

    def halve(self) -> None:
        self.failures = [0.0, self.failures[0]]
        self.outcomes = [0, self.outcomes[0]]

    def failed(self) -> float:
        """The part that failed."""
        return sum(self.failures) / max(1, sum(self.outcomes))


class Site:
    """What this gateway knows of one site, its own or another."""

    HOLD, MOST_HOLD, CALM = 1.0, 30.0, 60.0  # a link that has come up is used after so long, doubled by flaps
    START_CREDIT, MOST_CREDIT, EARNED = 10.0, 50.0, 0.1

    def __init__(self, name: str, own: bool, now: float) -> None:
        self.name, self.own = name, own
        self.up, self.usable_at, self.hold, self.down_at = own, -math.inf if own else math.inf, 0.0, -math.inf
        self.breaker: CircuitBreaker | None = None
        self.delay = 0.0  # until the next trial; grows with each bad one
        self.back_at = -math.inf
        self.shares = Shares()
        self.row = 0  # failures with no success between
        self.row_since = now
        self.credit = self.START_CREDIT  # for what another site did not take

    def linked(self, now: float, up: bool) -> None:
        if up == self.up:
            return
        self.up = up
        if not up:
            # Guards against a link that flaps: each fall within a minute doubles the time that it is not
            # used.
            calm = now - self.down_at > self.CALM
            self.hold = self.HOLD if calm else min(max(self.HOLD, 2 * self.hold), self.MOST_HOLD)
            self.down_at = now
        else:
            self.usable_at = now + (self.hold if self.down_at > -math.inf else 0.0)

    def usable(self, now: float, at_any_rate: bool = False) -> bool:
        """`at_any_rate`: whether the link is used though it flaps."""
        return self.up and (at_any_rate or now >= self.usable_at)


class Sites:
    PARTITIONS = 256
    SHARE = 0.25  # a failure counts against a partition only while more than this part of its exchanges fails
    # a site is given up after so many failures in a row, over so many seconds
    WHOLE_ROW, WHOLE_TIME = 12, 0.5
    WHOLE_SHARE, WHOLE_LEAST = 0.7, 40  # or when this part of so many at least has failed lately
    TRIAL_DELAY, MOST_DELAY = 5.0, 60.0
    BACK_RAMP = 10.0
    SWEEP, HALF = 1.0, 5

    def __init__(
        self, own: str, peers: Sequence[str], seed: int, now: float, log: Callable[[str], None]
    ) -> None:
        """`peers` in the order in which they are leant on."""
        self.seed, self.log = seed, log
        self.own = Site(own, True, now)
        self.sites: dict[str, Site] = {own: self.own}
        self.now0, self.draws, self.sweeps, self.swept = now, 0, 0, now
        self.table: FailoverTable[Site] = FailoverTable()
        self.shares: dict[str, Shares] = {}
        self.moves = self.spills = 0
        self.set_peers(peers, now)

    def set_peers(self, peers: Sequence[str], now: float) -> None:
        """Other peers from now on; what is known of those that stay is kept."""
        before = self.sites
        self.sites = {self.own.name: self.own}
        for name in peers:
            self.sites[name] = before.get(name) or Site(name, False, now)
        gone = [site for name, site in before.items() if name not in self.sites]
        for partition, entry in list(self.table.entries.items()):
            if any(site in gone for site in entry.tried):
                del self.table.entries[partition]

    def linked(self, now: float, peer: str, up: bool) -> None:
        if peer in self.sites:
            self.sites[peer].linked(now, up)

    def chance(self) -> float:
        self.draws += 1
        return zlib.crc32(b"%d:%d" % (self.seed, self.draws)) / 2**32

    def partition(self, key: str | None) -> str:
        place = zlib.crc32(key.encode()) if key else int(self.chance() * 2**32)
        return str(place % self.PARTITIONS)

    # The pick.

    def route(self, now: float, key: str | None, retriable: bool) -> Route:
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
        wanted = entry.current if entry and self.table.has_moved(entry) else self.own
        for site in (wanted, *self.sites.values()):
            if site.breaker:
                if site.breaker.trial_due and retriable and self.usable(site, now):
                    site.breaker.begin_trial()
                    return Route(site.name, partition, site_trial=site.breaker)
            elif self.usable(site, now) and self.ramped(site, partition, now):
                return Route(site.name, partition)
        return Route(self.own.name, partition)

    def usable(self, site: Site, now: float) -> bool:
        # Guards against turning all away while the own site is given up: a link that flaps is then better.
        return site.usable(now, at_any_rate=self.own.breaker is not None)

    def ramped(self, site: Site, partition: str, now: float) -> bool:
        """Whether the partition is among those that a site takes back by now."""
        share = (now - site.back_at) / self.BACK_RAMP
        return share >= 1.0 or zlib.crc32(f"{site.name}|{partition}".encode()) / 2**32 < share

    def spill(self, now: float, tried: Sequence[str]) -> str | None:
        """Where else an exchange may go that its site turned away without running it, None for nowhere.

        It crosses once at most: what one other site did not take is not offered to the next. A crossing is
        paid for by what finishes, so that a site that sheds load does not flood the others."""
        crossed = any(name != self.own.name for name in tried)
        for site in self.sites.values():
            if site.name not in tried and not site.breaker and self.usable(site, now):
                if site.own:
                    return site.name
                if crossed or self.own.credit < 1:
                    return None
                self.own.credit -= 1
                self.spills += 1
                return site.name
        return None

    # What came of it.

    def ended(self, now: float, route: Route, at: str, good: bool | None, retriable: bool) -> None:
        """An exchange has ended at a site: well, badly, or (None) in a way that says nothing of the site."""
        site = self.sites.get(at)
        if site is None:
            return
        on_trial = at == route.site
        if good is None:
            if on_trial and route.partition_trial:
                route.partition_trial.abandon_trial()
            if on_trial and route.site_trial and site.breaker is route.site_trial:
                route.site_trial.abandon_trial()
            return
        site.shares.add(not good)
        entry = self.table.entries.get(route.partition)
        if good:
            site.row = 0
            self.own.credit = min(self.own.credit + Site.EARNED, Site.MOST_CREDIT)
            if on_trial and route.site_trial and site.breaker is route.site_trial:
                self.restore(site, now)
            if on_trial and route.partition_trial and entry is route.partition_trial:
                del self.table.entries[route.partition]
                self.log(f"partition {route.partition} back at {at}")
            if site.own or entry:
                self.shares.setdefault(route.partition, Shares()).add(False)
            return
        if site.row == 0:
            site.row_since = now
        site.row += 1
        if on_trial and route.partition_trial:
            route.partition_trial.reopen(now)
        if on_trial and route.site_trial and site.breaker is route.site_trial:
            site.delay = min(2 * site.delay, self.MOST_DELAY)
            route.site_trial.reopen(now)
            return
        shares = self.shares.setdefault(route.partition, Shares())
        shares.add(True)
        if site.breaker:
            return
        # Guards against partitions moved in vain: counts that successes never lower grow on calm days too.
        if shares.failed() > self.SHARE and len(self.sites) > 1:
            self.count(site, route, retriable, now)
        self.judge(site, now)

    def count(self, site: Site, route: Route, retriable: bool, now: float) -> None:
        def next_untried(tried: list[Site]) -> Site | None:
            return next(
                (s for s in self.sites.values() if s not in tried and not s.breaker and self.usable(s, now)),
                None,
            )

        before = self.table.entries.get(route.partition)
        moved = before is not None and self.table.has_moved(before)
        at = before.current if before and moved else site
        if at is not site:
            return  # a straggler from where the partition was before
        self.table.record_failure(route.partition, site, retriable, now, next_untried)
        after = self.table.entries.get(route.partition)
        if after is not None and after.current is not site:
            self.moves += 1
            self.log(
                f"partition {route.partition} moved from {site.name} to {after.current.name}: "
                f"{after.idempotent_failures} retriable and {after.other_failures} other failures"
            )

    def judge(self, site: Site, now: float) -> None:
        """Whether the site is given up as a whole."""
        row = site.row >= self.WHOLE_ROW and now - site.row_since >= self.WHOLE_TIME
        many = sum(site.shares.outcomes) >= self.WHOLE_LEAST and site.shares.failed() > self.WHOLE_SHARE
        if (row or many) and len(self.sites) > 1:
            site.breaker, site.delay = CircuitBreaker(now), self.TRIAL_DELAY
            self.log(
                f"site {site.name} given up: {site.row} failures in a row, "
                f"{site.shares.failed():.0%} of {sum(site.shares.outcomes)} lately"
            )

    def restore(self, site: Site, now: float) -> None:
        self.log(f"site {site.name} back: its trial was answered")
        site.breaker, site.back_at, site.shares, site.row = None, now, Shares(), 0
        for partition, entry in list(self.table.entries.items()):
            if entry.first is site:
                del self.table.entries[partition]

    def tick(self, now: float) -> None:
        if now - self.swept < self.SWEEP:
            return
        self.swept, self.sweeps = now, self.sweeps + 1
        self.table.sweep(now)
        for site in self.sites.values():
            if site.breaker:
                site.breaker.sweep(now, site.delay)
        if self.sweeps % self.HALF == 0:
            for shares in (*self.shares.values(), *(site.shares for site in self.sites.values())):
                shares.halve()
            self.shares = {p: s for p, s in self.shares.items() if any(s.outcomes)}
