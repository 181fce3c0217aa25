"""The canary decisions of one sidecar.

Decides which keys go to the new side, when the run advances to its next stage, and when it pauses or aborts.
It does no I/O and reads neither a clock nor random numbers: the time is passed in, and it acts through its
host.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, replace
from hashlib import blake2b
from typing import Protocol

import msgspec

from ...balancer.host import Idempotency
from ...errors import Trouble
from ..members.member import Member, MemberStatus
from . import burn, counts, state
from .burn import BurnRates, Level
from .counts import (
    IDEMPOTENCIES,
    LONG_BUCKETS,
    REJECTED,
    SHORT_BUCKETS,
    PeerReport,
    ReportedWindow,
    SlidingWindow,
    Sums,
    Told,
    counter_index,
)
from .state import MARK_BYTES, MAX_PARDONED, State
from .terms import Terms, point


class CanaryError(Trouble):
    """A call that the current state of the canary does not allow."""

    remedy = "see GET /-/canaries for what the canary is waiting for"


class NoRunError(CanaryError):
    """The call needs a run, and none was ever started."""

    remedy = "start one with POST /-/canaries/NAME/start"


class RunInProgressError(CanaryError):
    """A run cannot be started because another one has not been aborted."""

    remedy = "abort it first with POST /-/canaries/NAME/abort"


class RunAbortedError(CanaryError):
    """The call needs a run that is not aborted."""

    remedy = "an aborted run cannot be continued: start a new one with POST /-/canaries/NAME/start"


class TooManyPausesError(CanaryError):
    """The state has no room for the pause marks that one more resume would remove."""

    remedy = "abort the run with POST /-/canaries/NAME/abort and start a new one"


class CanaryHost(Protocol):
    """The effects that a canary may have, and the members that it sees."""

    def tell_counts(self, now: float, value: bytes) -> None:
        """Writes this member's register of counts. `value` has 900 bytes at most."""

    def tell_state(self, now: float, value: bytes) -> None:
        """Writes this member's register of state, which is to reach all members at once."""

    def keep(self, value: bytes) -> None:
        """Persists `value` in the data folder, if there is one."""

    def members(self) -> Sequence[Member]:
        """All known members, this one included."""

    def log(self, event: str, **fields: object) -> None:
        """Writes a log line with these fields."""


class Kept(msgspec.Struct, array_like=True):
    """What survives a restart of the process."""

    state: bytes
    others: bool  # whether this sidecar ever knew another member


@dataclass(frozen=True, slots=True)
class Coverage:
    """How many of the members, this one included, reported in time at the last update."""

    members: int = 1
    heard: int = 1  # members with a fresh report
    level: int = 1  # of these, the members at the same stage by the same terms
    missing: tuple[str, ...] = ()  # names of the members that are not among `level`


class Canary:
    """One canary at one sidecar. The caller passes in results, registers of other members and the time."""

    TICK_INTERVAL, IDLE_INTERVAL = 0.25, 0.5  # seconds between ticks, in a run and without one
    # Seconds between evaluations of the window totals: the first at least, the second for each member.
    EVALUATION_INTERVAL, EVALUATION_INTERVAL_PER_MEMBER = 0.25, 0.001
    # The interval between reports of counts, in seconds: the first at least, the second for each member.
    # Reports stay fresh for the third, in such intervals and at least in seconds.
    REPORT_INTERVAL, REPORT_INTERVAL_PER_MEMBER, FRESHNESS_FACTOR = 1.0, 0.01, 4.0
    URGENT_FACTOR = 0.25  # shortens the interval after a request failed or was late on the new side
    STALL_THRESHOLD = 1.5  # a longer gap between ticks, in seconds, means that this process was stopped
    SETTLE_TIME = 0.3  # seconds after a stall in which messages may date from before or during it
    SOLO_AFTER = 3.0  # seconds after which a sidecar that never knew another member decides alone
    MIN_CARRIERS = 5  # members that have the state in their register, at least
    # A decision that all members see due is made by rank, to avoid duplicates: the first in rank makes it at
    # once, each next one so many seconds later, and all after the maximum.
    PAUSE_DELAY_PER_RANK, MAX_PAUSE_DELAY = 0.02, 1.0
    ADVANCE_DELAY_PER_RANK, MAX_ADVANCE_DELAY = 0.2, 2.0
    REPLICATE_AFTER = 1.0  # seconds from a change of state until other members write it to their registers
    MAX_REJECTED_SHARE = 0.2  # of the new side's requests; above this share the run does not advance
    # Seconds for which another member's report of a pause blocks an advance while its mark has not arrived.
    REPORTED_PAUSE_HOLD = 3.0

    def __init__(
        self,
        now: float,
        terms: Terms,
        own_name: str,
        incarnation: int,
        host: CanaryHost,
        kept: bytes | None = None,
        alone: bool = False,
    ) -> None:
        """Restores the state from `kept`, the value last passed to the host's `keep`.

        With `alone` the canary judges by its own counts and ignores those of others; the lab's baseline does.
        """
        self.terms, self.own_name, self.incarnation, self.host, self.alone = (
            terms,
            own_name,
            incarnation,
            host,
            alone,
        )
        self.digest = terms.digest
        self.state = State()
        self.peer_reports: dict[str, PeerReport] = {}
        self.peer_states: dict[str, tuple[State, str]] = {}  # other members' registers of state, with notes
        self.note, self.published_state = "", State()
        self.marks_made, self.undecodable, self.had_peers = 0, 0, False
        self.own_marks: set[bytes] = set()
        self.last_tick_at = self.running_since = now  # the latter: the start, or the end of the last stall
        self.confirmed_at = self.advance_blocked_until = self.published_at = -math.inf
        self.next_evaluation_at, self.stage_since, self.changed_at = now, now, now
        self.due_since: dict[Level | None, float] = {}  # since when a decision is due; None: the advance
        self.burns: list[BurnRates] = []
        self.coverage = Coverage()
        self.unmet: list[str] = []
        self.was_in_touch = self.terms_differ = False
        self.harmed, self.failed_since_report = 0, False
        self.reset_counts(now)
        if kept is not None:
            self.restore(now, kept)

    def reset_counts(self, now: float) -> None:
        """Empties this sidecar's windows and its request counts of the stage."""
        self.coarse, self.fine = (
            SlidingWindow(now, self.terms.long, LONG_BUCKETS),
            SlidingWindow(now, self.terms.short, SHORT_BUCKETS),
        )
        self.stage_requests = [0] * len(IDEMPOTENCIES)

    def restore(self, now: float, kept: bytes) -> None:
        """Restores the persisted state; logs a warning and starts without one if it cannot be decoded."""
        try:
            persisted = msgspec.msgpack.decode(kept, type=Kept)
            known, _ = state.decode(persisted.state)
        except (msgspec.MsgspecError, ValueError) as error:
            self.host.log("canary state unreadable", canary=self.terms.name, why=error)
            return
        self.had_peers = persisted.others
        self.merge_state(now, known)

    # Assignment of requests to a side.

    def part(self, now: float) -> float:
        """The share of keys that this sidecar sends to the new side now, 0 to 1."""
        s = self.state
        if not s.run or s.aborted or s.digest != self.digest or not self.in_touch(now):
            return 0.0
        stage = s.effective_stage
        return self.terms.steps[stage].part if stage < len(self.terms.steps) else 1.0

    def in_touch(self, now: float) -> bool:
        """Whether this sidecar's state is recent enough to act on.

        Guards against a stage that has ended in the meantime, in a process that was stopped or is partitioned
        from the others. Too strict for a network that drops all datagrams: the old side receives all keys
        until datagrams arrive again.
        """
        return (
            now - self.last_tick_at <= self.STALL_THRESHOLD
            and now - self.confirmed_at <= self.terms.alone_after
        )

    def takes(self, now: float, key: str | None, request_id: str = "") -> bool:
        """Whether a request goes to the new side.

        A request without a key is assigned by its id, so that its retry takes the same side. One with neither
        takes the old side until all keys are on the new one.
        """
        part = self.part(now)
        if part <= 0.0 or part >= 1.0:
            return part >= 1.0
        assigned_by = key or request_id
        return bool(assigned_by) and point(self.terms.name, assigned_by) < part

    def ended(self, now: float, new: bool, idempotency: Idempotency, bad: bool) -> None:
        """Counts a finished request. `bad`: it failed or exceeded its latency objective."""
        if not self.active:
            return
        class_index = IDEMPOTENCIES.index(idempotency)
        counters = (
            (counter_index(new, class_index), counter_index(new, class_index, True))
            if bad
            else (counter_index(new, class_index),)
        )
        self.coarse.add(now, *counters)
        self.fine.add(now, *counters)
        if new:
            self.stage_requests[class_index] += 1
            self.harmed += bad
            self.failed_since_report = self.failed_since_report or bad

    def record_rejection(self, now: float, new: bool) -> None:
        """Counts a request that its side rejected without an attempt."""
        if self.active:
            self.coarse.add(now, counter_index(new, REJECTED))
            self.fine.add(now, counter_index(new, REJECTED))

    @property
    def active(self) -> bool:
        """Whether a run by this sidecar's terms is in progress."""
        return bool(self.state.run) and not self.state.aborted and self.state.digest == self.digest

    # Registers of other members.

    def heard_state(self, now: float, owner: str, value: bytes) -> None:
        """Takes over another member's register of state; an empty value removes it."""
        if not value:
            self.peer_states.pop(owner, None)
            return
        try:
            self.peer_states[owner] = state.decode(value)
        except ValueError:
            self.undecodable += 1
            return
        self.merge_state(now, self.peer_states[owner][0])

    def heard_counts(
        self, now: float, owner: str, incarnation: int, sequence: int, value: bytes, held: float = math.inf
    ) -> None:
        """Takes over another member's register of counts; an empty value removes it.

        `held`: when the owner is known to have published them, if that is before now.
        """
        reported_at = min(now, held)
        before = self.peer_reports.get(owner)
        # Guards against counts that arrive twice, late, or from an earlier incarnation.
        if before is not None and (incarnation, sequence) <= (before.incarnation, before.sequence):
            return
        if not value:
            self.peer_reports.pop(owner, None)
            return
        try:
            report = counts.decode(value)
        except ValueError:
            self.undecodable += 1
            return
        self.peer_reports[owner] = PeerReport(
            report,
            reported_at,
            incarnation,
            sequence,
            ReportedWindow(
                reported_at, report.coarse, report.unit, report.coarse_age, self.terms.long, LONG_BUCKETS
            ),
            ReportedWindow(
                reported_at, report.fine, report.unit, report.fine_age, self.terms.short, SHORT_BUCKETS
            ),
        )
        self.apply_reported_state(now, reported_at, report)

    def apply_reported_state(self, now: float, reported_at: float, report: Told) -> None:
        """Takes over what a report of counts says of the state, as it may arrive before the state itself."""
        s = self.state
        if (report.run, report.digest) < (s.run, s.digest) or not report.run:
            return
        known = State(report.run, report.digest, report.epoch, report.stage, report.aborted)
        if report.paused and not report.aborted:
            if (report.run, report.digest, report.epoch) >= (s.run, s.digest, s.epoch) and not s.paused:
                self.advance_blocked_until = max(
                    self.advance_blocked_until, reported_at + self.REPORTED_PAUSE_HOLD
                )
            # The stage in force there may be lower than the reported one, as the pause marks that lower it
            # have not arrived yet.
            known = replace(known, epoch=0, stage=0)
        self.merge_state(now, known)

    def merge_state(self, now: float, other: State, note: str = "") -> None:
        """Joins `other` into the state. If that changes it, logs, persists and reports the new state."""
        before, self.state = self.state, self.state.join(other)
        s = self.state
        if s == before:
            return
        self.changed_at, self.due_since = now, {}
        if (s.run, s.digest, s.epoch) != (before.run, before.digest, before.epoch):
            if (s.run, s.digest) != (before.run, before.digest):
                self.harmed, self.was_in_touch = 0, False
            self.burns = []
            self.reset_counts(now)  # failures before a resume do not count against the run after it
        if s.stage_id != before.stage_id:
            self.stage_since, self.stage_requests = now, [0] * len(IDEMPOTENCIES)
        self.log_change(before, note)
        self.host.keep(msgspec.msgpack.encode(Kept(s.encode(), self.had_peers)))
        self.publish_counts(now)

    def log_change(self, before: State, note: str) -> None:
        """Logs how the state differs from `before`. `note`: the reason of a decision made here, or empty."""
        s, steps = self.state, self.terms.steps
        new_run = (s.run, s.digest) != (before.run, before.digest)
        stage = f"{s.effective_stage + 1}/{len(steps)}" if s.effective_stage < len(steps) else "done"
        event = (
            "aborted"
            if s.aborted and (new_run or not before.aborted)
            else "paused"
            if s.paused and (new_run or not before.paused)
            else "begun"
            if new_run
            else "resumed"
            if before.paused and not s.paused and not s.aborted
            else "done"
            if stage == "done" and s.effective_stage != before.effective_stage
            else "stage"
            if s.effective_stage != before.effective_stage
            else ""
        )
        if event:
            self.host.log(
                f"canary {event}", canary=self.terms.name, run=s.run, stage=stage, why=note or "told"
            )
        terms_differ = bool(s.run) and not s.aborted and s.digest != self.digest
        if terms_differ and not self.terms_differ:
            self.host.log(
                "canary terms differ",
                canary=self.terms.name,
                run=s.run,
                why="the run in progress has other terms than this sidecar's file; "
                "all keys take the old side here",
            )
        self.terms_differ = terms_differ

    def decide(self, now: float, new: State, note: str) -> None:
        """Puts a decision made here into force and publishes it."""
        self.note = note
        self.merge_state(now, new, note)
        self.publish_state(now, note)

    def publish_state(self, now: float, note: str = "") -> None:
        """Writes the state to this member's register."""
        self.published_state = self.state
        self.host.tell_state(now, self.state.encode(note))

    # Periodic work.

    def tick(self, now: float) -> float:
        """Does what is due; returns the latest time of the next call."""
        if now - self.last_tick_at > self.STALL_THRESHOLD and self.state.run:
            self.running_since, self.confirmed_at = now, -math.inf
        self.last_tick_at = now
        if not self.state.run or self.state.aborted:
            if self.published_at == -math.inf:
                self.publish_counts(now)
            self.replicate_state(now)
            return now + self.IDLE_INTERVAL
        members = [m for m in self.host.members() if m.name != self.own_name]
        self.update_coverage(now, members)
        if self.active and now >= self.next_evaluation_at:
            self.next_evaluation_at = now + max(
                self.EVALUATION_INTERVAL, self.EVALUATION_INTERVAL_PER_MEMBER * self.coverage.members
            )
            self.evaluate(now)
            self.advance_if_ready(now)
        if now - self.published_at >= self.report_interval * (
            self.URGENT_FACTOR if self.failed_since_report else 1.0
        ):
            self.publish_counts(now)
        self.replicate_state(now)
        return now + self.TICK_INTERVAL

    @property
    def report_interval(self) -> float:
        """Seconds between reports of counts.

        It grows with the fleet, as the traffic of reports would otherwise grow with the square of its size.
        """
        return max(self.REPORT_INTERVAL, self.REPORT_INTERVAL_PER_MEMBER * self.coverage.members)

    def update_coverage(self, now: float, members: list[Member]) -> None:
        """Determines which of the other members reported lately, and whether they suffice to be in touch."""
        counted = [m.name for m in members if m.status is not MemberStatus.LEFT]
        if counted and not self.had_peers:
            self.had_peers = True
            self.host.keep(msgspec.msgpack.encode(Kept(self.state.encode(), True)))
        if len(self.peer_reports) > 2 * len(counted) + 64:  # bounds memory: members may have ever new names
            self.peer_reports = {
                name: self.peer_reports[name] for name in counted if name in self.peer_reports
            }
            self.peer_states = {name: self.peer_states[name] for name in counted if name in self.peer_states}
        # Guards against messages that lay in the socket of a stopped process and are as old as its own state.
        fresh_from = max(
            now - max(self.FRESHNESS_FACTOR, self.FRESHNESS_FACTOR * self.report_interval),
            self.running_since + self.SETTLE_TIME,
        )
        heard = [
            name
            for name in counted
            if name in self.peer_reports and self.peer_reports[name].reported_at >= fresh_from
        ]
        level = [
            name
            for name in heard
            if self.peer_reports[name].report.stage_id == self.state.stage_id
            and not self.peer_reports[name].report.unheard
            and self.peer_reports[name].report.own == self.digest
        ]
        at_this_stage = set(level)
        self.coverage = Coverage(
            1 + len(counted),
            1 + len(heard),
            1 + len(level),
            tuple(sorted(name for name in counted if name not in at_this_stage)),
        )
        if self.alone or not counted:
            has_left = any(m.status is MemberStatus.LEFT for m in members)
            sufficient = self.alone or (
                (has_left or not self.had_peers) and now - self.running_since >= self.SOLO_AFTER
            )
        else:
            sufficient = bool(heard) and self.coverage.heard > self.terms.hold * self.coverage.members
        if sufficient:
            self.confirmed_at = now
        in_touch = self.in_touch(now)
        if in_touch != self.was_in_touch and self.active:
            self.host.log(
                "canary in touch" if in_touch else "canary out of touch",
                canary=self.terms.name,
                heard=self.coverage.heard,
                members=self.coverage.members,
                why="the stage is in force here" if in_touch else "all keys take the old side here",
            )
            self.publish_counts(now)
        self.was_in_touch = in_touch

    def window_totals(self, now: float) -> tuple[Sums, Sums]:
        """The counters of all sidecars in the long and in the short window."""
        self.coarse.roll(now)
        self.fine.roll(now)
        long, short = (
            [counts.add_counters(list(self.coarse.buckets))],
            [counts.add_counters(list(self.fine.buckets))],
        )
        s = self.state
        for peer in self.peer_reports.values():
            if not self.alone and (peer.report.run, peer.report.digest, peer.report.epoch) == (
                s.run,
                s.digest,
                s.epoch,
            ):
                long.append(peer.long.within(now))
                short.append(peer.short.within(now))
        return counts.add_counters(long), counts.add_counters(short)

    def evaluate(self, now: float) -> None:
        """Computes the burn rates; pauses or aborts the run if one is too high, without asking any member."""
        s = self.state
        long, short = self.window_totals(now)
        self.burns, self.rejected_share = burn.look(self.terms, long, short), burn.rejected_share(long)
        worst = max(self.burns, key=lambda b: (b.level, b.long_rate))
        # Guards against a decision by a sidecar that was stopped and does not know yet that an operator
        # resumed the run.
        if (
            worst.level < Level.PAUSE
            or (worst.level is Level.PAUSE and s.paused)
            or not self.in_touch(now)
            or s.effective_stage >= len(self.terms.steps)
        ):
            self.due_since = {None: self.due_since[None]} if None in self.due_since else {}
            return
        if not self.is_due_by_rank(now, worst.level, self.PAUSE_DELAY_PER_RANK, self.MAX_PAUSE_DELAY):
            return
        note = (
            f"{worst.group}: {worst.new[1]} of {worst.new[0]} bad, old {worst.old[1]} of {worst.old[0]}, "
            f"burns {worst.long_rate:.1f}, {worst.short_rate:.1f}"
        )
        if worst.level is Level.ABORT:
            self.decide(now, replace(s, aborted=True), note)
        else:
            self.decide(now, s.marked(self.new_mark()), note)

    def is_due_by_rank(
        self, now: float, decision: Level | None, delay_per_rank: float, max_delay: float
    ) -> bool:
        """Whether it is this member's turn to make a decision; None is the decision to advance.

        Guards against all members making the same decision at once: the first in rank makes it, and where
        that does not arrive, the members behind it do.
        """
        due_since = self.due_since.setdefault(decision, now)
        return now - due_since >= min(self.rank() * delay_per_rank, max_delay) - 1e-9

    def rank(self) -> int:
        """The number of members alive that come before this one, in an order that differs for each run."""

        def position(name: str) -> bytes:
            return blake2b(f"{self.state.run}|{name}".encode(), digest_size=8).digest()

        own_position = position(self.own_name)
        return sum(
            position(m.name) < own_position
            for m in self.host.members()
            if m.status is MemberStatus.ALIVE and m.name != self.own_name
        )

    def new_mark(self) -> bytes:
        """Creates the name of a pause mark, unique among all members and incarnations."""
        self.marks_made += 1
        name = blake2b(
            f"{self.own_name}|{self.incarnation}|{self.state.run}|{self.marks_made}".encode(),
            digest_size=MARK_BYTES,
        ).digest()
        self.own_marks.add(name)
        return name

    def advance_if_ready(self, now: float) -> None:
        """Advances the run to its next stage once all conditions are met and it is this member's turn."""
        self.unmet = self.unmet_conditions(now)
        if self.unmet:
            self.due_since.pop(None, None)
        elif self.is_due_by_rank(now, None, self.ADVANCE_DELAY_PER_RANK, self.MAX_ADVANCE_DELAY):
            s = self.state
            self.decide(now, replace(s, stage=s.stage + 1), "all that the stage takes is there")

    def stage_request_counts(self) -> list[int]:
        """Requests on the new side in this stage at all sidecars, by idempotency."""
        reported = [
            peer.report.stage_new
            for peer in self.peer_reports.values()
            if not self.alone
            and peer.report.stage_id == self.state.stage_id
            and len(peer.report.stage_new) == len(IDEMPOTENCIES)
        ]
        return [sum(column) for column in zip(self.stage_requests, *reported, strict=True)]

    def unmet_conditions(self, now: float) -> list[str]:
        """What the next stage waits for, as the console reports it; empty if the run may advance."""
        s, terms, unmet = self.state, self.terms, list[str]()
        if not s.run:
            return ["not begun"]
        if s.aborted:
            return ["aborted"]
        if s.digest != self.digest:
            return ["the run under way is by another file"]
        if s.paused:
            return ["paused: until it is resumed or aborted"]
        if s.stage >= len(terms.steps):
            return ["done"]
        step, coverage, requests = terms.steps[s.stage], self.coverage, self.stage_request_counts()
        if not self.in_touch(now):
            unmet.append(f"out of touch: {coverage.heard} of {coverage.members} members heard")
        if now < self.advance_blocked_until:
            unmet.append("another member says that it is paused")
        if now - self.stage_since < step.time:
            unmet.append(f"{step.time - (now - self.stage_since):.0f} s of {step.time:.0f} s are left")
        if sum(requests) < step.exchanges:
            unmet.append(f"{sum(requests)} of {step.exchanges} exchanges seen")
        for idempotency, rates in zip(IDEMPOTENCIES, self.burns[1:], strict=False):
            seen = requests[IDEMPOTENCIES.index(idempotency)]
            if rates.old[0] + rates.new[0] and seen < terms.each_effect:
                unmet.append(f"{seen} of {terms.each_effect} {idempotency.value} exchanges seen")
        if not self.alone and coverage.level < terms.fresh * coverage.members - 1e-9:
            unmet.append(f"{coverage.level} of {coverage.members} members heard at this stage")
        burning = [b for b in self.burns if b.level is not Level.HEALTHY]
        unmet += [f"{b.group}: burns {b.long_rate:.1f} times the budget" for b in burning]
        if not self.burns:
            unmet.append("not looked yet")
        elif self.rejected_share > self.MAX_REJECTED_SHARE:
            unmet.append(f"the new side turns away {self.rejected_share:.0%}")
        return unmet

    rejected_share = 0.0

    def publish_counts(self, now: float) -> None:
        """Writes this sidecar's counts, and the state that it knows, to its register of counts."""
        s = self.state
        self.published_at, self.failed_since_report = now, False
        report = Told(
            counts.VERSION,
            self.digest,
            s.run,
            s.digest,
            s.epoch,
            s.stage,
            s.paused,
            s.aborted,
            not self.in_touch(now),
            stage_new=self.stage_requests,
            harmed=self.harmed,
        )
        self.host.tell_counts(now, counts.encode(report, self.fine, self.coarse, now))

    def replicate_state(self, now: float) -> None:
        """Writes the state to this member's register if too few members alive have it in theirs.

        The state thus survives the loss of the member that decided it.
        """
        s = self.state
        if not s.run or self.published_state == s or now - self.changed_at < self.REPLICATE_AFTER:
            return
        alive = {m.name for m in self.host.members() if m.status is MemberStatus.ALIVE}
        carriers = sum(
            known.join(s) == known for name, (known, _) in self.peer_states.items() if name in alive
        )
        if carriers < self.MIN_CARRIERS and self.rank() < self.MIN_CARRIERS:
            self.publish_state(now, self.note)

    # Calls of operators. Each is idempotent: repeated, it finds the effect of the first call.

    def start(self, now: float, wall: float) -> None:
        """Starts a run; does nothing if one is running by these terms.

        Raises RunInProgressError if one is paused, done, or running by other terms. `wall` is the Unix time:
        it makes the new run's number higher than earlier ones even if all knowledge of those is lost.
        """
        s = self.state
        if s.run and not s.aborted:
            if s.digest != self.digest:
                raise RunInProgressError(
                    f"run {s.run} of canary {self.terms.name!r} has other terms than this sidecar's file"
                )
            if s.paused or s.stage >= len(self.terms.steps):
                raise RunInProgressError(
                    f"run {s.run} of canary {self.terms.name!r} is {'paused' if s.paused else 'done'}, "
                    "not aborted"
                )
            return
        self.decide(now, State(max(s.run + 1, int(wall)), self.digest), "called")

    def require_run(self) -> State:
        """Returns the state of a run that is not aborted. Raises NoRunError or RunAbortedError."""
        if not self.state.run:
            raise NoRunError(f"canary {self.terms.name!r} has no run")
        if self.state.aborted:
            raise RunAbortedError(f"run {self.state.run} of canary {self.terms.name!r} is aborted")
        return self.state

    def pause(self, now: float) -> None:
        """Pauses the run. Raises NoRunError or RunAbortedError."""
        s = self.require_run()
        # Another member's pause does not make this one redundant: a concurrent resume may remove that mark,
        # but cannot remove the one made here.
        if not any(name in self.own_marks for _, name in s.open):
            self.decide(now, s.marked(self.new_mark()), "called")

    def resume(self, now: float) -> None:
        """Resumes a paused run. Raises NoRunError, RunAbortedError or TooManyPausesError."""
        s = self.require_run()
        if not s.paused:
            return
        if len(s.pardoned) + len(s.open) > MAX_PARDONED:
            raise TooManyPausesError(
                f"run {s.run} of canary {self.terms.name!r} has more than {MAX_PARDONED} pause marks, "
                "the limit for a resume"
            )
        self.decide(now, s.resumed(), "called")

    def abort(self, now: float) -> None:
        """Aborts the run for good: all keys return to the old side. Raises NoRunError."""
        if not self.state.run:
            raise NoRunError(f"canary {self.terms.name!r} has no run")
        if not self.state.aborted:
            self.decide(now, replace(self.state, aborted=True), "called")

    def update_terms(self, now: float, terms: Terms) -> bool:
        """Adopts other terms; keeps the present ones and returns False while a run by them is in progress."""
        if terms == self.terms:
            return True
        if self.active:
            self.host.log(
                "canary terms refused",
                canary=self.terms.name,
                run=self.state.run,
                why="a run by the previous terms is in progress; abort it, then reload the file",
            )
            return False
        self.terms, self.digest = terms, terms.digest
        self.reset_counts(now)
        self.burns = []
        self.log_change(self.state, "")
        self.publish_counts(now)
        return True

    # Console.

    @property
    def standing(self) -> str:
        """The state as the console shows it."""
        s = self.state
        return (
            "idle"
            if not s.run
            else "aborted"
            if s.aborted
            else "another file's"
            if s.digest != self.digest
            else "paused"
            if s.paused
            else "done"
            if s.stage >= len(self.terms.steps)
            else "running"
        )

    def report(self, now: float) -> dict[str, object]:
        """What the console shows of this canary."""
        s = self.state
        if self.active:
            self.unmet = self.unmet_conditions(now)
        notes = {
            name: note
            for name, (known, note) in self.peer_states.items()
            if note and (known.run, known.digest) == (s.run, s.digest)
        }
        if self.note:
            notes[self.own_name] = self.note
        return {
            "name": self.terms.name,
            "matter": self.terms.matter,
            "state": self.standing,
            "run": s.run,
            "stage": min(s.effective_stage + 1, len(self.terms.steps)) if s.run else 0,
            "stages": len(self.terms.steps),
            "part": self.part(now),
            "paused_by": len(s.open),
            "in_touch": self.in_touch(now) if s.run else True,
            "members": {
                "known": self.coverage.members,
                "heard": self.coverage.heard,
                "at_this_stage": self.coverage.level,
                "missing": list(self.coverage.missing[:50]),
            },
            "sides": {
                b.group: {
                    "new": {"exchanges": b.new[0], "bad": b.new[1]},
                    "old": {"exchanges": b.old[0], "bad": b.old[1]},
                    "burn_long": round(b.long_rate, 2),
                    "burn_short": round(b.short_rate, 2),
                }
                for b in self.burns
            },
            "turned_away": round(self.rejected_share, 3),
            "harmed": self.harmed
            + sum(
                peer.report.harmed
                for peer in self.peer_reports.values()
                if (peer.report.run, peer.report.digest) == (s.run, s.digest)
            ),
            "waits": self.unmet if self.active else self.unmet_conditions(now),
            "notes": notes,
        }
