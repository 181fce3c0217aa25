"""Decides how much other members' reports of endpoints and keys count beside own observations.

Does no I/O and reads no clock. A report can warn (one own failure is then enough for an ejection), postpone
a due trial, as another member has just made one, bring a trial forward, as another's trial was answered, and
say that a key is hot. It never ejects or readmits an endpoint by itself: only the balancer's own
observations do that.

Timers of many members that know the same are randomized so that few of them report before the others have
received it, whatever their number: Nonnenmacher and Biersack, "Scalable feedback for large groups" (IEEE/ACM
ToN, 1999).
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from ...protocol.evidence import MAX_ENDPOINTS, MAX_HELD, MAX_KEYS, VERSION, Out, Told

TRIAL_DELAY = 5.0  # seconds; the same as the balancer's delay
# Seconds of spread of the random delays, times ln(members)
REPORT_SPREAD, TRIAL_SPREAD, RECOVERY_SPREAD = 0.25, 0.75, 0.5
ENOUGH_REPORTERS = 5  # number of reporters after which one more report adds nothing
WRITE_GAP, URGENT_GAP = 1.0, 0.2  # seconds between two writes: of deferrable and of urgent reports
MAX_POSTPONED_BY_ONE = 2  # times that one reporter's trials can postpone an own one, between two own trials
MAX_ADVANCED_BY_ONE = 1  # times per ejection that one reporter's answered trial can bring an own one forward
# A reporter with so many more ejected endpoints than the own member, at least the first number and this
# fraction of the ready endpoints, probably has a bad network path itself.
IMPLAUSIBLE_EXCESS, IMPLAUSIBLE_FRACTION = 2, 0.3
MAX_WARNED_FRACTION = 0.25  # maximum fraction of the endpoints that are warned of at once
# The first so many members by rank report keys; seconds for which such a report counts
KEY_REPORTERS, KEY_REPORT_LIFETIME = 128, 30.0
# Keys are reported after 1 s, then after half the time since the start, at least each 10 s
FIRST_KEY_GAP, KEY_GAP_GROWTH, MAX_KEY_GAP = 1.0, 0.5, 10.0
KEY_GAP_JITTER = 0.4  # fraction by which that time is randomly shorter or longer
# MAX_KEY_WEIGHT: a reporter's counts are limited to so many times the median's.
# MIN_HOT_SHARE: minimum share of the traffic of a hot key.
MAX_KEY_WEIGHT, MIN_HOT_SHARE = 3.0, 0.002
READMISSION_REPORT_TIME = 10.0  # seconds for which an answered trial is reported
MAX_REPORTERS = 4096


class EvidenceHost(Protocol):
    """Side effects and lookups that `Evidence` needs from its environment."""

    def wall(self, now: float) -> float:
        """Returns Unix time."""

    def size(self) -> int:
        """Returns the number of live members, the own one included."""

    def rank(self) -> int:
        """Returns the own position, from 0, in a pseudo-random order that is the same at all members."""

    def ready(self) -> int:
        """Returns how many endpoints are ready here."""

    def start_of(self, mark: int) -> int | None:
        """Returns the endpoint's start in milliseconds by the list, None if it is not listed here."""

    def plan(self, now: float, mark: int, due: float) -> None:
        """Sets the time at which the next trial of an ejected endpoint is due."""

    def warn(self, now: float, mark: int, on: bool) -> None:
        """Sets whether one own failure is enough to eject the endpoint."""

    def key_counts(self) -> tuple[int, list[tuple[int, int]]]:
        """Returns the number of recent own requests, and the busiest keys among them with their counts."""

    def attempts_in_flight(self) -> list[tuple[int, int]]:
        """Returns own attempts in flight by endpoint, the largest numbers first."""

    def publish(self, now: float, told: Told) -> None:
        """Writes the own register."""


@dataclass(slots=True)
class Ejection:
    """An endpoint that the own member has ejected."""

    start: int
    ejected_at: float
    tried: float  # its ejection, or the begin or failure of the last own trial
    hard: bool  # nothing but failures came from it before the ejection
    report_at: float  # math.inf once reported, or if enough others have reported it
    reported: bool = False
    trying: bool = False
    # When another member's trial was answered, unless one is known to have failed since
    answered_at: float = -math.inf
    due: float = 0.0  # time of the next trial
    delay_from: float = 0.0  # what `due` counts from; `extra_delay` is the random delay on top of it
    extra_delay: float = 0.0
    round_at: float = 0.0  # time of the trial by another member for which `extra_delay` was first drawn
    # Trials postponed by reporter, since the last own trial
    postponed: dict[str, int] = field(default_factory=dict)
    # Trials brought forward by reporter, since the ejection
    advanced: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PeerReport:
    """The latest report of one member about one endpoint; times are on this process's clock."""

    start: int
    tried: float
    hard: bool
    served: float  # -inf if never
    trying: bool


@dataclass(slots=True)
class Reporter:
    """The latest report of one member, without the details of its endpoints."""

    zone: int
    outs: int
    written: float
    marks: frozenset[int]
    total: int
    keys: list[tuple[int, int]]
    held: list[tuple[int, int]]


class Evidence:
    """Weighs other members' reports and decides what the own member reports."""

    def __init__(
        self,
        now: float,
        zone: int,
        host: EvidenceHost,
        rng: random.Random,
        tellers: int = 3,
        lasts: float = 15.0,
    ) -> None:
        """`tellers`: how many members' reports count together, at least 2; `lasts`: for how many seconds."""
        self.zone, self.host, self.rng, self.tellers, self.lasts = zone, host, rng, tellers, lasts
        self.ejections: dict[int, Ejection] = {}
        # Recently readmitted endpoints: their start, time of the readmission
        self.readmitted: dict[int, tuple[int, float]] = {}
        self.reporters: dict[str, Reporter] = {}
        self.reports: dict[int, dict[str, PeerReport]] = {}
        self.warned: set[int] = set()
        self.hot_key_shares: dict[int, float] = {}  # shares of the traffic of hot keys, by all reports
        self.written_at, self.urgent, self.has_changes = -math.inf, False, False
        self.started_at, self.next_keys_at, self.summed_at, self.keys_changed = (
            now,
            now + FIRST_KEY_GAP,
            now,
            False,
        )
        self.counts = dict.fromkeys(
            ("words", "discounted", "spared", "hastened", "warnings", "kept_quiet", "told", "refused"), 0
        )

    # Own observations.

    def on_ejected(self, now: float, mark: int, start: int, hard: bool) -> None:
        """Handles an ejection by the own balancer; `hard`: nothing but failures came before it."""
        ejection = self.ejections[mark] = Ejection(
            start, now, now, hard, now + self.random_delay(REPORT_SPREAD)
        )
        ejection.due = ejection.delay_from = now
        ejection.due += TRIAL_DELAY
        self.readmitted.pop(mark, None)
        self.clear_warning(now, mark)
        for owner in list(self.reports.get(mark, ())):
            self.weigh_report(now, mark, owner, -math.inf, -math.inf)

    def on_inherited_ejection(self, now: float, mark: int, start: int, since: float, due: float) -> None:
        """Handles an endpoint that was ejected by restored or received state at the start.

        `since` is the time of its last trial. Guards against second-hand reports that are passed on as own
        observations: the endpoint is reported only once an own trial has failed.
        """
        ejection = self.ejections[mark] = Ejection(start, since, since, False, math.inf)
        ejection.delay_from, ejection.due = since, due
        self.clear_warning(now, mark)

    def on_trial_sent(self, now: float, mark: int) -> None:
        """Handles an own trial that was sent."""
        ejection = self.ejections.get(mark)
        if ejection is not None:
            ejection.tried, ejection.postponed, ejection.trying = now, {}, True
            if ejection.answered_at == -math.inf:
                self.report_ejection(ejection)

    def on_trial_failed(self, now: float, mark: int) -> None:
        """Handles an own trial that failed; the balancer makes the next one after its delay."""
        ejection = self.ejections.get(mark)
        if ejection is None:
            return
        ejection.tried, ejection.postponed, ejection.delay_from, ejection.due, ejection.extra_delay = (
            now,
            {},
            now,
            now + TRIAL_DELAY,
            0.0,
        )
        ejection.trying, ejection.answered_at = False, -math.inf
        self.report_ejection(ejection)
        # Guards against a member that is always the first to try again, as all others wait for random delays.
        if any(
            self.is_credible(now, owner, report, ejection.start)
            for owner, report in self.reports.get(mark, {}).items()
        ):
            ejection.extra_delay = self.random_delay(TRIAL_SPREAD)
            ejection.due += ejection.extra_delay
            self.host.plan(now, mark, ejection.due)

    def on_trial_answered(self, now: float, mark: int) -> None:
        """Handles an own trial that was answered in time: the endpoint is readmitted here."""
        ejection = self.ejections.pop(mark, None)
        if ejection is None:
            return
        others = sum(
            report.start == ejection.start and report.served > ejection.ejected_at
            for report in self.reports.get(mark, {}).values()
        )
        if ejection.reported or others < ENOUGH_REPORTERS:
            self.readmitted[mark] = ejection.start, now
            self.urgent = True
        else:
            self.counts["kept_quiet"] += 1

    def on_endpoint_gone(self, now: float, mark: int) -> None:
        """Forgets an endpoint that has restarted or is no longer listed."""
        self.ejections.pop(mark, None)
        self.readmitted.pop(mark, None)
        self.has_changes = True

    def report_ejection(self, ejection: Ejection) -> None:
        """Reports the endpoint with the next write."""
        ejection.reported, ejection.report_at, self.urgent = True, math.inf, True

    def random_delay(self, spread: float) -> float:
        """Returns a random delay in seconds.

        Of n members, about e^(delay / spread) have waited for theirs before the first one's report arrives.
        """
        return spread * max(0.0, math.log(max(self.host.size(), 1) * (1.0 - self.rng.random())))

    # Reports of other members.

    def report_received(self, now: float, owner: str, told: Told) -> None:
        """Handles a changed register of another member.

        A report counts as older if the reporter's clock says so, but never as younger than its arrival.
        """
        if told.version < 1 or (owner not in self.reporters and len(self.reporters) >= MAX_REPORTERS):
            self.counts["refused"] += 1
            return
        before = self.reporters.get(owner)
        written = now - max(0.0, self.host.wall(now) - told.wall)
        items = {out.mark: out for out in told.out[:MAX_ENDPOINTS]}
        reporter = self.reporters[owner] = Reporter(
            told.zone,
            max(told.outs, sum(out.served < 0 for out in items.values())),
            written,
            frozenset(items),
            max(0, told.total),
            bounded_keys(told),
            told.held[:MAX_HELD],
        )
        self.counts["words"] += 1
        self.counts["discounted"] += self.is_implausible(owner)
        self.keys_changed = self.keys_changed or bool(reporter.keys) or bool(before and before.keys)
        for mark in before.marks - reporter.marks if before else ():
            self.drop_report(mark, owner)
            if mark in self.warned:
                self.update_warning(now, mark)
        for mark, out in items.items():
            known = self.reports.setdefault(mark, {})
            old = known.get(owner)
            known[owner] = PeerReport(
                out.start,
                written - max(0.0, out.tried),
                out.hard,
                written - out.served if out.served >= 0 else -math.inf,
                out.trying,
            )
            self.weigh_report(
                now, mark, owner, old.tried if old else -math.inf, old.served if old else -math.inf
            )

    def drop_report(self, mark: int, owner: str) -> None:
        """Removes a member's report of one endpoint."""
        known = self.reports.get(mark, {})
        known.pop(owner, None)
        if not known:
            self.reports.pop(mark, None)

    def forget(self, now: float, owner: str) -> None:
        """Forgets all reports of a member that is gone for good."""
        reporter = self.reporters.pop(owner, None)
        for mark in reporter.marks if reporter else ():
            self.drop_report(mark, owner)
            if mark in self.warned:
                self.update_warning(now, mark)

    def is_implausible(self, owner: str) -> bool:
        """Returns whether the member's reports are implausible.

        Guards against a member whose own network is bad and that ejects most endpoints. Too strict for a
        member that is the first to see a failure of very many endpoints.
        """
        excess = self.reporters[owner].outs - len(self.ejections)
        return excess > max(IMPLAUSIBLE_EXCESS, IMPLAUSIBLE_FRACTION * self.host.ready())

    def is_credible(self, now: float, owner: str, report: PeerReport, start: int) -> bool:
        """Returns whether this is a fresh and plausible report that this start of the endpoint is ejected."""
        if report.start != start or now - report.tried > self.lasts or report.served >= report.tried:
            return False
        return not self.is_implausible(owner)

    def weigh_report(self, now: float, mark: int, owner: str, tried: float, served: float) -> None:
        """Acts on one member's report of one endpoint, of which it reported `tried` and `served` before."""
        ejection, report = self.ejections.get(mark), self.reports[mark][owner]
        if ejection is None:
            self.update_warning(now, mark)
        elif (
            report.start == ejection.start
            and report.served >= report.tried
            and report.served > max(served, ejection.tried)
        ):
            self.advance_trial(now, mark, ejection, owner)
        elif report.tried > max(tried + 1e-3, ejection.delay_from - TRIAL_DELAY) and self.is_credible(
            now, owner, report, ejection.start
        ):
            self.postpone_trial(now, mark, ejection, owner, report)

    def postpone_trial(
        self, now: float, mark: int, ejection: Ejection, owner: str, report: PeerReport
    ) -> None:
        """Postpones the own trial, as another member's trial has just shown what the own one would.

        Guards against a number of trials that grows with the fleet. One reporter can postpone only so many
        times. An endpoint that recovers between the other's trial and the own one is readmitted later.
        """
        tried = report.tried
        if (tried <= ejection.delay_from and ejection.extra_delay) or ejection.postponed.get(
            owner, 0
        ) >= MAX_POSTPONED_BY_ONE:
            return
        if ejection.answered_at > -math.inf and (report.trying or tried <= ejection.answered_at):
            return
        ejection.answered_at = -math.inf
        if tried - ejection.round_at > WRITE_GAP or not ejection.extra_delay:  # a new round of trials
            ejection.postponed[owner] = ejection.postponed.get(owner, 0) + 1
            ejection.extra_delay, ejection.round_at = self.random_delay(TRIAL_SPREAD) or 1e-6, tried
        ejection.delay_from = max(ejection.delay_from, tried)
        due = ejection.delay_from + TRIAL_DELAY + ejection.extra_delay
        if due > ejection.due:
            ejection.due = due
            self.counts["spared"] += 1
            self.host.plan(now, mark, due)

    def advance_trial(self, now: float, mark: int, ejection: Ejection, owner: str) -> None:
        """Brings the own trial forward to a random time, as another member's trial was answered.

        The random time lets few members go first. Guards against an endpoint that has recovered long ago and
        is still waited for. If it is reachable for the other member only, this costs one trial per reporter
        and ejection.
        """
        if ejection.advanced.get(owner, 0) >= MAX_ADVANCED_BY_ONE or self.is_implausible(owner):
            return
        ejection.advanced[owner] = ejection.advanced.get(owner, 0) + 1
        due = now + self.random_delay(RECOVERY_SPREAD)
        if due < ejection.due:
            ejection.due, ejection.extra_delay, ejection.answered_at = (
                due,
                0.0,
                self.reports[mark][owner].served,
            )
            self.counts["hastened"] += 1
            self.host.plan(now, mark, due)

    def independent_paths(self, now: float, mark: int, start: int) -> int:
        """Returns how many independent network paths the reports come from.

        Each member of the own zone counts as one, another zone as one in total. Guards against a network
        partition between two zones, which all members of one of them report alike.
        """
        near, far = 0, set[int]()
        for owner, report in self.reports.get(mark, {}).items():
            if report.hard and self.is_credible(now, owner, report, start):
                zone = self.reporters[owner].zone
                near += zone == self.zone
                if zone != self.zone:
                    far.add(zone)
        return near + len(far)

    def update_warning(self, now: float, mark: int) -> None:
        """Sets or clears the warning of an endpoint by the reports of it."""
        start = None if mark in self.ejections else self.host.start_of(mark)
        if start is None or self.independent_paths(now, mark, start) < self.tellers:
            self.clear_warning(now, mark)
        # Guards against reports that declare all endpoints dead: they warn of a limited part of them.
        elif mark not in self.warned and len(self.warned) < max(1, MAX_WARNED_FRACTION * self.host.ready()):
            self.warned.add(mark)
            self.counts["warnings"] += 1
            self.host.warn(now, mark, True)

    def clear_warning(self, now: float, mark: int) -> None:
        """Clears the warning of an endpoint."""
        if mark in self.warned:
            self.warned.remove(mark)
            self.host.warn(now, mark, False)

    # Keys.

    def update_hot_keys(self, now: float) -> None:
        """Computes the hot keys' shares of the traffic from all fresh reports.

        Guards against one reporter with a very large total: its counts are limited by the median, and a key
        is hot only by the reports of several members.
        """
        fresh = [
            reporter
            for reporter in self.reporters.values()
            if reporter.total > 0 and now - reporter.written <= KEY_REPORT_LIFETIME
        ]
        totals = sorted(reporter.total for reporter in fresh)
        weight_limit = MAX_KEY_WEIGHT * totals[len(totals) // 2] if totals else 0.0
        sums, reporter_counts, weighted_total = dict[int, float](), dict[int, int](), 0.0
        for reporter in fresh:
            weight = min(1.0, weight_limit / reporter.total)
            weighted_total += reporter.total * weight
            for key, count in reporter.keys:
                sums[key] = sums.get(key, 0.0) + count * weight
                reporter_counts[key] = reporter_counts.get(key, 0) + 1
        self.hot_key_shares = {
            key: share
            for key, n in sums.items()
            if reporter_counts[key] >= self.tellers and (share := (n - 1) / weighted_total) >= MIN_HOT_SHARE
        }

    def reported_attempts(self, now: float) -> dict[int, int]:
        """Returns attempts in flight by endpoint, as far as members report them."""
        found: dict[int, int] = {}
        for reporter in self.reporters.values():
            for mark, count in reporter.held if now - reporter.written <= self.lasts else ():
                found[mark] = found.get(mark, 0) + max(0, count)
        return found

    # Timers.

    def tick(self, now: float) -> float:
        """Does what is due and returns when to be called next at the latest."""
        for mark in [mark for mark, (_, at) in self.readmitted.items() if now - at > READMISSION_REPORT_TIME]:
            del self.readmitted[mark]
            self.has_changes = True
        for mark in list(self.warned):
            self.update_warning(now, mark)
        for mark, ejection in self.ejections.items():
            if now >= ejection.report_at:
                ejection.report_at = math.inf
                others = sum(
                    self.is_credible(now, owner, report, ejection.start)
                    for owner, report in self.reports.get(mark, {}).items()
                )
                # Guards against a register write by each of thousands of members for one failure.
                if others >= ENOUGH_REPORTERS:
                    self.counts["kept_quiet"] += 1
                else:
                    self.report_ejection(ejection)
        sum_gap = min(MAX_KEY_GAP / 2, max(FIRST_KEY_GAP, KEY_GAP_GROWTH / 2 * (now - self.started_at)))
        if self.keys_changed and now - self.summed_at >= sum_gap:
            self.update_hot_keys(now)
            self.summed_at, self.keys_changed = now, bool(self.hot_key_shares)
        keys_due = now >= self.next_keys_at
        if keys_due:
            # Guards against hot keys that a newly started fleet learns late: keys are reported often at
            # first, then rarely. Also guards against reporters that started together and would go on writing
            # at the same time.
            keys_gap = min(MAX_KEY_GAP, max(FIRST_KEY_GAP, KEY_GAP_GROWTH * (now - self.started_at)))
            keys_due = self.host.rank() < KEY_REPORTERS
            jitter = self.rng.uniform(-KEY_GAP_JITTER, KEY_GAP_JITTER) if keys_due else 0.0
            self.next_keys_at = now + keys_gap * (1 + jitter)
        gap = now - self.written_at
        if (self.urgent and gap >= URGENT_GAP) or ((keys_due or self.has_changes) and gap >= WRITE_GAP):
            self.write(now)
        due_times = [ejection.report_at for ejection in self.ejections.values()]
        if self.urgent:
            due_times.append(self.written_at + URGENT_GAP)
        return min([now + WRITE_GAP, *due_times])

    def write(self, now: float) -> None:
        """Writes the own register: ejected and recently readmitted endpoints, keys, attempts in flight."""
        entries = [
            Out(mark, ejection.start, round(now - ejection.tried, 3), ejection.hard, trying=ejection.trying)
            for mark, ejection in sorted(self.ejections.items(), key=lambda pair: -pair[1].tried)
            if ejection.reported
        ]
        entries += [
            Out(mark, start, round(now - at, 3), False, round(now - at, 3))
            for mark, (start, at) in self.readmitted.items()
        ]
        # The register's size is limited, so the latest news come first, whatever they are.
        entries.sort(key=lambda out: out.tried)
        keys: Iterable[tuple[int, int]] = ()
        total = 0
        if self.host.rank() < KEY_REPORTERS:
            total, keys = self.host.key_counts()
        self.written_at, self.urgent, self.has_changes = now, False, False
        self.counts["told"] += 1
        self.host.publish(
            now,
            Told(
                VERSION,
                self.host.wall(now),
                self.zone,
                len(self.ejections),
                entries[:MAX_ENDPOINTS],
                total,
                list(keys)[:MAX_KEYS],
                self.host.attempts_in_flight()[:MAX_HELD],
            ),
        )

    def report(self, now: float) -> dict[str, object]:
        """Returns the figures for operators."""
        fresh = [
            reporter
            for reporter in self.reporters.values()
            if now - reporter.written <= max(self.lasts, KEY_REPORT_LIFETIME)
        ]
        return {
            "out": len(self.ejections),
            "warned": len(self.warned),
            "tellers": len(fresh),
            "odd": sum(self.is_implausible(owner) for owner in self.reporters),
            "hot_keys": len(self.hot_key_shares),
            **self.counts,
        }


def bounded_keys(told: Told) -> list[tuple[int, int]]:
    """Returns the reported keys with their counts, which together are limited to the reported total."""
    left, keys = max(0, told.total), list[tuple[int, int]]()
    for key, count in told.keys[:MAX_KEYS]:
        keys.append((key, min(max(count, 0), left)))
        left -= keys[-1][1]
    return keys
