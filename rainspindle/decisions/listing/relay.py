"""Decides which members poll the list service, which reports the others apply, and when they skip own calls.

Does no I/O and reads no clock. A few members, the *askers*, are chosen by a rank that is the same wherever
membership views agree. They call the service as a sidecar on its own does, but more often, and publish in
their head register the version they received, its digest and the latest changes. The other members apply a
list that two askers report identically, and skip their own call while two have confirmed it recently enough.

The age of a confirmation depends on no other member's clock: an asker writes a head only after it was known
to hold the previous one, so what the new head reports is no older than the arrival of the previous head less
the age that the new head states.
"""

from __future__ import annotations

import functools
import heapq
import math
import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b
from typing import Protocol

from ...protocol import listing as codec
from ...protocol.listing import Head, Lines, Set, TooLarge, UnreadableList

REQUIRED_VOTES = 2  # members that must report the same list before it is applied or replaces an own call
PUBLISHERS = 2  # askers that publish the whole list as well
# Multiple of the asker count: only this many members by rank may become askers
# when those ranked before them fail.
CANDIDATE_FACTOR = 4
# An asker's watch waits for this fraction of the asking period, at least for the second value in seconds.
WATCH_FRACTION, MIN_WATCH = 0.15, 1.0
HEAD_GRACE = 0.7  # seconds that an asker's head may be overdue before the member is passed over
# After a confirmation, the own call is due between these fractions of the asking period.
FIRST_CALL_FRACTION, LAST_CALL_FRACTION = 0.62, 0.78
# Replaces FIRST_CALL_FRACTION while two members report failing calls: a longer interval spreads own calls.
FAILING_CALL_FRACTION = 0.3
# Seconds; in a shorter asking period two watches and their delivery take up too much of it
MIN_ASK_WITHIN = 5.0
# A newer list that two members report must be available here within NEWER_LIST_LIMIT seconds plus a random
# part of NEWER_LIST_FRACTION of the asking period.
NEWER_LIST_LIMIT, NEWER_LIST_FRACTION = 1.0, 0.3
# The same limit, in fractions of the asking period, while only one member reports a newer list:
# the next asker may poll meanwhile.
SINGLE_REPORT_FRACTIONS = (0.5, 0.75)
MIN_HEAD_GAP = 0.5  # minimum seconds between heads
WHOLE_LIST_GAP = 3.0  # seconds between whole lists published, unless the head cannot hold the change
# Range, in fractions of the asking period, from which a member that has just started and received no report
# draws the time of its first call, with a list and without one. The three ranges apply if it has no addresses
# of other members, if it has some but knows no member yet, and if it knows one.
STARTUP_FRACTIONS = ((0.03, 0.33), (0.4, 0.7), (0.4, 0.78))
STARTUP_FRACTIONS_NO_LIST = ((0.03, 0.13), (0.35, 0.6), (0.35, 0.7))
# Seconds; upper limit of the asking period without a list, as the listener does not open before it has one
MAX_NO_LIST_PERIOD = 10.0
ROLE_DELAY = 1.0  # seconds from when a new member first knows of others until it may become an asker
# Fraction of the usable endpoints: if a list removes more of them since three members agreed, two votes
# are not enough.
LARGE_LOSS = 0.5
# Audit calls a second over the whole fleet; minimum seconds between two audits at one sidecar
AUDIT_RATE, MIN_AUDIT_GAP = 1.0, 60.0
# Calls a second over the whole fleet by members whose own call fails while askers' calls fail too
RETRY_RATE = 25.0
# Seconds for which a member with an implausible report is distrusted; doubled each time up to the maximum
DISTRUST_TIME, MAX_DISTRUST_TIME = 60.0, 3600.0
# MIN_STOP: seconds between two checks that mean that this process was stopped.
# STOP_GRACE: seconds after a stop in which received reports may be old.
MIN_STOP, STOP_GRACE = 1.0, 2.0
RANK_GAP = 0.5  # minimum seconds between two rankings of the members
REPORTED_FAILURES = 2  # consecutive failed calls before an asker reports it: a busy service refuses some
MAX_CHANGES = 64  # list changes that are remembered for heads


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """Settings of the relay."""

    askers: int
    ask_within: float  # seconds; 0 for no limit: then no call is skipped
    seeded: bool = True  # whether this member has addresses of others to join through


class RelayHost(Protocol):
    """Side effects and lookups that the relay needs from its environment."""

    def alive(self) -> Sequence[str]:
        """Returns the names of the live members, the own one included."""

    def write(self, now: float, name: str, value: bytes) -> None:
        """Writes a register of the own member; an empty value deletes it."""

    def read_register(self, owner: str, name: str) -> bytes:
        """Returns the value of a register, b"" if there is none."""

    def apply_list(self, now: float, version: int, lines: Lines, delta: Lines) -> bool:
        """Applies a list, in which `delta` holds the changed lines; returns False if it cannot be decoded."""

    def reschedule_call(self) -> None:
        """Requests a new look at when the next call is due, as it may be earlier now or the role changed."""

    def log(self, event: str, **fields: object) -> None:
        """Writes a log line."""


@dataclass(slots=True)
class KnownHead:
    """The latest head of one asker."""

    head: Head
    # When it arrived or was last known to be held by a member that passed it on; it was written before
    held_at: float
    confirmed: float  # when the service had no later version than this; -inf if unknown
    ahead: int = 0  # the first version it reported that is still later than the one here
    ahead_at: float = math.inf  # when that version arrived


@dataclass(slots=True)
class Distrust:
    """A member whose reports are ignored until `until` if they are of `version` or later."""

    until: float
    version: int
    times: int = 1


class EndpointListRelay:
    """The relay's state in one member; see the module's description."""

    def __init__(
        self,
        now: float,
        own: str,
        run: int,
        terms: RelaySettings,
        at: bytes,
        host: RelayHost,
        rng: random.Random,
    ) -> None:
        """`run` differs between processes of one name; `at` is the digest that identifies the service."""
        self.own, self.run, self.terms, self.service, self.host, self.rng = own, run, terms, at, host, rng
        self.began = self.checked_at = now
        self.last_stop = (-math.inf, -math.inf)  # start and end of the last stop of this process
        self.version: int | None = None
        self.lines: dict[str, bytes] = {}
        self.digest = b""
        self.recent_changes: deque[tuple[float, int, bytes, tuple[str, ...]]] = deque(maxlen=MAX_CHANGES)
        self.heads: dict[str, KnownHead] = {}
        self.distrusted: dict[str, Distrust] = {}
        self.ranked: list[str] = [own]
        self.member_count, self.membership_changed, self.ranked_at = 1, True, -math.inf
        self.awaited: dict[str, float] = {}  # by member that is to write a head: since when it is awaited
        self.live_names: set[str] = {own}
        self.is_asker = self.is_publisher = self.too_large = self.head_published = self.leaving = False
        self.withdraw_at = math.inf
        self.head_number, self.head_written_at, self.list_written_at, self.head_due = (
            0,
            -math.inf,
            -math.inf,
            False,
        )
        self.published_digest, self.published_chunks = b"", list[bytes]()
        self.confirmed = -math.inf  # when two members reported that the service had the list that is here
        # Of the last answered and failed own call, and of the last change of the list here
        self.answered_at = self.failed_at = self.changed_at = -math.inf
        self.newer_at = math.inf  # since when any member reports a newer list
        self.agreed_newer_at = math.inf  # since when two members report the same newer list
        self.disputed_at = math.inf  # since when a member contradicts the list that two reported
        self.trusted_lines: Lines = {}  # the last list that the service, or three members, reported
        self.trusted_usable = -1  # number of usable endpoints in it; -1: not counted yet
        self.others_known_at = math.inf  # when other members were first known to be alive
        self.failing_at = math.inf  # since when two members report failing calls
        self.service_up_at = -math.inf  # when a member whose calls succeed was last answered
        self.vouched = False  # whether two members reported the list that is here
        self.versions_restarted_at = -math.inf  # when the service was seen to restart its version count
        self.lower_reported: set[str] = (
            set()
        )  # members that reported a version not above the own one since the restart
        self.calls = self.failures = self.lists_applied = 0
        self.failures_in_row = 0  # consecutive failed own calls
        self.mode = ""
        self.draw_fractions(now)

    @property
    def enabled(self) -> bool:
        """Whether lists are relayed at all."""
        return self.terms.ask_within >= MIN_ASK_WITHIN and not self.too_large

    @property
    def period(self) -> float:
        """Seconds that an asker's watch waits."""
        return max(WATCH_FRACTION * self.terms.ask_within, MIN_WATCH)

    def draw_fractions(self, now: float) -> None:
        """Draws new random fractions; done for each own call, so that sidecars do not synchronize."""
        self.call_fraction, self.audit_fraction = self.rng.random(), 0.5 + self.rng.random()
        self.drawn_at = now

    # Events.

    def start(self, version: int, lines: Lines) -> None:
        """Sets the list that was known before any call."""
        self.version, self.lines = version, dict(lines)
        self.digest = codec.digest(self.lines)

    def answered(self, now: float, version: int, whole: bool, lines: Lines) -> None:
        """Handles the answer to an own call; `whole` if `lines` are the whole list."""
        self.calls, self.failures_in_row = self.calls + 1, 0
        before, known = self.version, self.lines
        new = codec.apply_delta({} if whole else known, list(lines.items()))
        if before is not None and (version < before or (version == before and new != known)):
            self.distrust_reporters(now, before, self.digest)
        if before is not None and version < before:
            self.versions_restarted_at = now
            self.lower_reported = {name for name, peer in self.heads.items() if peer.head.version <= version}
        if version != before or new != known:
            self.set_list(now, version, new)
        if whole:
            self.check_heads(now, version)
        self.answered_at = now
        self.trusted_lines, self.trusted_usable = self.lines, -1
        self.newer_at = self.agreed_newer_at = math.inf
        self.draw_fractions(now)
        self.head_due = True
        self.reevaluate(now)

    def failed(self, now: float) -> None:
        """Handles the failure of an own call."""
        self.failures += 1
        self.failures_in_row += 1
        self.head_due = self.head_due or self.failures_in_row == REPORTED_FAILURES
        self.failed_at = now
        self.draw_fractions(now)
        self.reevaluate(now)

    def disable(self, why: str) -> None:
        """Disables the relay for a list that does not fit into registers; each member polls for itself."""
        if not self.too_large:
            self.host.log(
                "list: too large to relay, each sidecar polls for itself", why=why, remedy=TooLarge.remedy
            )
        self.too_large = True

    def service_changed(self, now: float, at: bytes) -> None:
        """Switches to another service: reports about the previous one no longer count, nor does its list."""
        self.service, self.version, self.lines, self.digest = at, None, {}, b""
        self.confirmed = self.answered_at = self.failed_at = -math.inf
        self.vouched, self.began, self.too_large = False, -math.inf, False
        self.newer_at = self.agreed_newer_at = self.failing_at = self.disputed_at = math.inf
        self.trusted_lines, self.trusted_usable = {}, -1
        self.recent_changes.clear()
        self.distrusted.clear()
        self.head_due = False
        self.withdraw(now)

    def head_received(self, now: float, owner: str, head: Head, held: float) -> None:
        """Handles the head of another member, which is known to have held it at `held`."""
        self.detect_stop(now)
        before = self.heads.get(owner)
        if before is not None and (head.run, head.beat) == (before.head.run, before.head.beat):
            return  # the same head, written again by a later incarnation
        known_at = min(held, now)
        if self.last_stop[0] < known_at <= self.last_stop[1] + STOP_GRACE:
            known_at = self.last_stop[0]  # it may have waited in the socket while this process was stopped
        known = before is not None and head.age < codec.NEVER
        confirmed = before.held_at - head.age / 1000 if known and before is not None else -math.inf
        peer = self.heads[owner] = KnownHead(head, known_at, confirmed)
        if before is not None:
            peer.ahead, peer.ahead_at = before.ahead, before.ahead_at
        self.note_version(now, peer)
        if self.version is not None and head.version <= self.version:
            self.lower_reported.add(owner)
        self.reevaluate(now)

    def head_removed(self, now: float, owner: str) -> None:
        """Handles the deletion of a member's head."""
        self.heads.pop(owner, None)

    def members_changed(self) -> None:
        """Notes that the membership changed; the ranking is renewed at the next check."""
        self.membership_changed = True

    def tick(self, now: float) -> float:
        """Does what is due and returns when to be called next at the latest."""
        self.detect_stop(now)
        self.reevaluate(now)
        return now + (0.1 if self.head_due else 0.5)

    def detect_stop(self, now: float) -> None:
        """Detects that this process was stopped."""
        if now - self.checked_at > MIN_STOP:
            self.last_stop = (self.checked_at, now)
        self.checked_at = now

    def note_version(self, now: float, peer: KnownHead) -> None:
        """Records since when a member reports a version later than the one here."""
        known = -1 if self.version is None else self.version
        if peer.head.version <= known:
            peer.ahead_at = math.inf
        elif peer.ahead_at == math.inf or peer.ahead <= known:
            peer.ahead, peer.ahead_at = peer.head.version, now

    # Choice of the askers.

    def rank_members(self) -> None:
        """Ranks the live members and forgets those that are gone."""
        names = set(self.host.alive()) | {self.own}
        self.member_count, self.membership_changed, self.live_names = len(names), False, names
        if self.member_count > 1:
            self.others_known_at = min(self.others_known_at, self.checked_at)
        self.ranked = heapq.nsmallest(CANDIDATE_FACTOR * self.terms.askers, names, key=rank_hash)
        # A head may arrive before the membership is known.
        keep_from = self.checked_at - self.terms.ask_within
        self.heads = {
            name: peer for name, peer in self.heads.items() if name in names or peer.held_at > keep_from
        }
        self.distrusted = {name: distrust for name, distrust in self.distrusted.items() if name in names}

    def is_passed_over(self, now: float, name: str, since: float, max_silence: float) -> bool:
        """Returns whether another member is to ask instead of this one."""
        peer = self.heads.get(name)
        if peer is None or now - peer.held_at > max_silence:
            return now - since > max_silence
        behind = self.version is not None and peer.head.version < self.version
        return (
            peer.head.at != self.service
            or peer.head.failing
            or self.is_distrusted(now, name)
            or (behind and now - max(self.changed_at, since) > max_silence)
        )

    def choose_role(self, now: float) -> None:
        """Decides whether this member is an asker.

        Guards against askers that fail, report wrong lists or hang. Costs a few additional askers meanwhile.
        """
        awaited, working, max_silence = {}, 0.0, self.period + HEAD_GRACE
        asker = publisher = False
        for name in self.ranked:
            if working >= self.terms.askers:
                break
            if name == self.own:
                # Guards against members that all start at once and each take themselves for the first in
                # rank, as they know no other member yet.
                asker = now >= min(self.startup_wait_until(), self.others_known_at + ROLE_DELAY)
                publisher = working < PUBLISHERS
                break
            awaited[name] = self.awaited.get(name, now)
            if not self.is_passed_over(now, name, awaited[name], max_silence):
                # Guards against a next member that is dead too: until one of them reports, two are to ask.
                working += 1.0 if name in self.heads else 0.5
        self.awaited = awaited
        # In a fleet so small that all members would be askers, nobody needs them: each polls for itself.
        asker = asker and self.enabled and not self.leaving and self.member_count > self.terms.askers
        if asker and not self.is_asker:
            self.head_due, self.withdraw_at = True, math.inf
        elif self.is_asker and not asker:
            self.withdraw_at = now + 2 * self.period
        changed, self.is_asker, self.is_publisher = asker != self.is_asker, asker, asker and publisher
        if changed:
            self.host.reschedule_call()

    # Reports from other members.

    def is_distrusted(self, now: float, name: str) -> bool:
        """Returns whether the member's reports are currently ignored."""
        distrust = self.distrusted.get(name)
        if distrust is None or now >= distrust.until:
            return False
        peer = self.heads.get(name)
        return peer is not None and peer.head.version >= distrust.version

    def check_heads(self, now: float, version: int) -> None:
        """Checks other members' reports against a whole list that the service itself returned.

        Guards against a member that reports a far too high version and so makes all others call the service.
        Too strict if the service answered this member from an old copy: correct askers are then distrusted
        for a minute.
        """
        for name, peer in self.heads.items():
            if peer.head.at != self.service or self.is_distrusted(now, name):
                continue
            if peer.ahead_at <= now - NEWER_LIST_LIMIT and peer.ahead > version:
                self.distrust(now, name, peer.ahead)
            elif version == self.version and self.contradicts(peer):
                self.distrust(now, name, 0)  # it polls an old copy: all of its reports are ignored

    def distrust_reporters(self, now: float, version: int, digest: bytes) -> None:
        """Distrusts the members that reported a list which the service does not have.

        Guards against several members that report the same wrong list. Too strict for a service that restarts
        its version count: askers that go on reporting its earlier list are distrusted.
        """
        for name, peer in self.heads.items():
            if (peer.head.version, peer.head.digest) == (version, digest) and not self.is_distrusted(
                now, name
            ):
                self.distrust(now, name, version)

    def distrust(self, now: float, name: str, from_version: int) -> None:
        """Ignores the member's reports of `from_version` or later; the time doubles with each occurrence."""
        before = self.distrusted.get(name)
        times = before.times + 1 if before else 1
        until = now + min(DISTRUST_TIME * 2.0 ** min(times - 1, 9), MAX_DISTRUST_TIME)
        self.distrusted[name] = Distrust(until, from_version, times)
        self.host.log(
            "list: implausible report, member not believed", member=name, told=from_version, here=self.version
        )

    def contradicts(self, peer: KnownHead) -> bool:
        """Returns whether, by this head, the service had another list when the one here was already known."""
        return (
            self.version is not None
            and peer.head.version <= self.version
            and (peer.head.version, peer.head.digest) != (self.version, self.digest)
            and peer.confirmed > self.changed_at
        )

    def trusted_heads(self, now: float) -> list[tuple[str, KnownHead]]:
        """Returns the heads that count, with their members.

        Guards against versions from before the service restarted its version count, which seem later: a
        member that reports a later version must first have reported a lower one. This takes up to an asking
        period, in which each member polls for itself.
        """
        trusted_from = self.versions_restarted_at + self.terms.ask_within
        return [
            (name, peer)
            for name, peer in self.heads.items()
            if peer.head.at == self.service
            and name in self.live_names
            and (peer.held_at > trusted_from or name in self.lower_reported)
            and not self.is_distrusted(now, name)
        ]

    def count_votes(self, trusted: list[tuple[str, KnownHead]], version: int, digest: bytes) -> int:
        """Returns how many members report that the service had this list."""
        wanted = (version, digest)
        return sum(
            (peer.head.version, peer.head.digest) == wanted or wanted in peer.head.past for _, peer in trusted
        )

    def votes_needed(self, lines: Lines) -> int:
        """Returns how many members must report this list before it is applied.

        Guards against two members that report the same wrong list and would remove all endpoints at once. If
        the third is late or fails, the list is not applied in time and members call the service instead.
        """
        if self.trusted_usable < 0:
            self.trusted_usable = codec.usable(self.trusted_lines)
        lost = codec.usable(lines) < (1 - LARGE_LOSS) * self.trusted_usable
        return min(REQUIRED_VOTES + 1, self.terms.askers) if lost else REQUIRED_VOTES

    def reevaluate(self, now: float) -> None:
        """Reevaluates roles, lists and own reports; called after each event."""
        if self.membership_changed and now - self.ranked_at >= RANK_GAP:
            self.ranked_at = now
            self.rank_members()
        self.choose_role(now)
        if self.enabled:
            self.apply_reports(now)
        if self.is_asker:
            self.publish(now)
        elif now >= self.withdraw_at:
            self.withdraw_at = math.inf
            self.withdraw(now)
        if self.published_chunks and not self.is_publisher and self.published_digest != self.digest:
            self.withdraw_whole(now)
        self.update_mode(now)

    def apply_reports(self, now: float) -> None:
        """Applies a newer list if enough members report it, and updates what is known of the reports."""
        trusted, recent_from = self.trusted_heads(now), now - 2 * self.period - NEWER_LIST_LIMIT
        # After a change of service the own call comes first. An asker is informed by the service, unless its
        # calls fail.
        if max(self.answered_at, self.began) > -math.inf and (
            not self.is_asker or self.failed_at > self.answered_at
        ):
            recent = [entry for entry in trusted if entry[1].held_at > recent_from]
            newer = sorted(
                {
                    (peer.head.version, peer.head.digest)
                    for _, peer in trusted
                    if self.version is None or peer.head.version > self.version
                },
                reverse=True,
            )
            for version, digest in newer:
                votes = self.count_votes(recent, version, digest)
                if votes < REQUIRED_VOTES:
                    continue
                if self.assemble(now, trusted, version, digest, votes):
                    break
                self.agreed_newer_at = min(self.agreed_newer_at, now)
        if self.version is not None and (not self.vouched or self.trusted_lines is not self.lines):
            votes = self.count_votes(trusted, self.version, self.digest)
            self.vouched = self.vouched or votes >= REQUIRED_VOTES
            if votes > REQUIRED_VOTES:
                self.trusted_lines, self.trusted_usable = self.lines, -1
        disputed = self.answered_at < self.changed_at and any(self.contradicts(peer) for _, peer in trusted)
        if not disputed:
            self.disputed_at = math.inf
        elif self.disputed_at == math.inf:
            self.disputed_at = now
            self.host.reschedule_call()
        same = sorted(
            peer.confirmed
            for _, peer in trusted
            if peer.head.version == self.version and peer.head.digest == self.digest
        )
        if len(same) >= REQUIRED_VOTES and same[-REQUIRED_VOTES] > self.confirmed:
            self.confirmed = same[-REQUIRED_VOTES]
        if any(self.version is None or peer.head.version > self.version for _, peer in trusted):
            if self.newer_at == math.inf:
                self.newer_at = now
                self.host.reschedule_call()
        else:
            self.newer_at = self.agreed_newer_at = math.inf
        self.service_up_at = max(
            (peer.confirmed for _, peer in trusted if not peer.head.failing), default=-math.inf
        )
        if (
            sum(latest.head.failing and latest.held_at > recent_from for _, latest in trusted)
            < REQUIRED_VOTES
        ):
            self.failing_at = math.inf
        elif self.failing_at == math.inf:
            self.failing_at = now
            self.host.reschedule_call()

    def assemble(
        self, now: float, trusted: list[tuple[str, KnownHead]], version: int, digest: bytes, votes: int
    ) -> bool:
        """Applies this list if it can be assembled from what is here; returns whether it was.

        The base is the own list or a whole list that a member published, completed by the changes in the
        heads. Its origin does not matter, as the digest shows whether the result is the reported list.
        """
        deltas = [
            peer.head for _, peer in trusted if (peer.head.version, peer.head.digest) == (version, digest)
        ]
        bases: list[tuple[int, dict[str, bytes]]] = []
        if self.version is not None:
            bases.append((self.version, self.lines))
        for base in bases:
            if self.apply_from(now, base, deltas, votes):
                return True
        for name, _ in trusted:
            found = self.published_list(name, version)
            if found is not None and self.apply_from(now, found, deltas, votes):
                return True
        return False

    def apply_from(
        self, now: float, base: tuple[int, dict[str, bytes]], deltas: list[Head], votes: int
    ) -> bool:
        """Applies the list that results from `base` and one of the heads, if digest and votes allow it."""
        for head in deltas:
            if not head.since <= base[0] <= head.version:
                continue
            lines = codec.apply_delta(base[1], head.delta) if base[0] < head.version else base[1]
            if codec.digest(lines) != head.digest or votes < self.votes_needed(lines):
                continue
            delta = {
                endpoint_id: lines.get(endpoint_id, b"")
                for endpoint_id in lines.keys() | self.lines.keys()
                if lines.get(endpoint_id) != self.lines.get(endpoint_id)
            }
            if not self.host.apply_list(now, head.version, lines, delta):
                continue
            self.set_list(now, head.version, dict(lines))
            self.lists_applied += 1
            self.vouched, self.newer_at, self.agreed_newer_at = True, math.inf, math.inf
            return True
        return False

    def published_list(self, owner: str, version: int) -> tuple[int, dict[str, bytes]] | None:
        """Returns a member's published list and its version, None unless all chunks are here and fit."""
        value = self.host.read_register(owner, codec.SET)
        try:
            published = codec.decode(value, Set) if value else None
            if (
                published is None
                or published.at != self.service
                or not 1 <= published.chunks <= codec.MAX_CHUNKS
                or published.version > version
            ):
                return None
            chunks = [self.host.read_register(owner, codec.chunk_name(n)) for n in range(published.chunks)]
            lines = codec.join_chunks(published, chunks)
        except UnreadableList:
            return None
        return None if lines is None else (published.version, lines)

    # Own reports.

    def set_list(self, now: float, version: int, lines: dict[str, bytes]) -> None:
        """Replaces the list and remembers which lines changed."""
        if self.version is not None and version > self.version:
            ids = tuple(
                endpoint_id
                for endpoint_id in self.lines.keys() | lines.keys()
                if lines.get(endpoint_id) != self.lines.get(endpoint_id)
            )
            self.recent_changes.append((now, self.version, self.digest, ids))
        else:
            self.recent_changes.clear()
        if version != self.version:
            self.changed_at, self.vouched = now, False
        self.version, self.lines, self.digest = version, lines, codec.digest(lines)
        for peer in self.heads.values():
            self.note_version(now, peer)

    def publish(self, now: float) -> None:
        """Writes the head if it is due, and as a publisher the whole list."""
        failing = self.failures_in_row >= REPORTED_FAILURES
        if self.version is None or self.version >= 2**63:
            return
        if not self.head_due and failing and now - self.head_written_at >= self.period:
            self.head_due = True  # the others must learn that calls still fail
        # Guards against registers that stay large long after a change: members that missed it have had time
        # to poll for themselves.
        while self.recent_changes and now - self.recent_changes[0][0] > self.terms.ask_within:
            self.recent_changes.popleft()
        since, delta = self.recent_delta()
        if self.is_publisher and self.published_digest != self.digest:
            # Whether the head holds the whole change.
            in_head = not self.recent_changes or since <= self.recent_changes[-1][1]
            if now - self.list_written_at >= (WHOLE_LIST_GAP if in_head else MIN_HEAD_GAP):
                self.publish_whole(now)
        if not self.head_due or now - self.head_written_at < MIN_HEAD_GAP or self.too_large:
            return
        self.head_due, self.head_written_at, self.head_number, self.head_published = (
            False,
            now,
            self.head_number + 1,
            True,
        )
        since_answer = now - self.answered_at
        age = min(int(since_answer * 1000) + 1, codec.NEVER) if since_answer < math.inf else codec.NEVER
        past = [
            (before, digest) for _, before, digest, _ in list(self.recent_changes)[-codec.MAX_PAST_VERSIONS :]
        ]
        self.host.write(
            now,
            codec.HEAD,
            codec.encode(
                Head(
                    codec.VERSION,
                    self.service,
                    self.run,
                    self.head_number,
                    self.version,
                    self.digest,
                    age,
                    failing,
                    past,
                    since,
                    delta,
                )
            ),
        )

    def recent_delta(self) -> tuple[int, list[tuple[str, bytes]]]:
        """Returns the latest changes that fit into a head, and the version after which they begin."""
        assert self.version is not None
        since, found, room = self.version, dict[str, bytes](), codec.MAX_DELTA_BYTES
        for _, before, _, ids in reversed(self.recent_changes):
            new = {
                endpoint_id: self.lines.get(endpoint_id, b"")
                for endpoint_id in ids
                if endpoint_id not in found
            }
            room -= sum(len(endpoint_id.encode()) + len(data) + 6 for endpoint_id, data in new.items())
            if room < 0:
                break
            found.update(new)
            since = before
        return since, list(found.items())

    def publish_whole(self, now: float) -> None:
        """Publishes the whole list in chunks; chunks that are the same as before are not written."""
        try:
            chunks = codec.split_chunks(self.lines)
        except TooLarge as fault:
            self.disable(str(fault))
            self.withdraw(now)
            return
        for n, value in enumerate(chunks):
            if n >= len(self.published_chunks) or self.published_chunks[n] != value:
                self.host.write(now, codec.chunk_name(n), value)
        for n in range(len(chunks), len(self.published_chunks)):
            self.host.write(now, codec.chunk_name(n), b"")
        assert self.version is not None
        self.published_chunks, self.published_digest, self.list_written_at = chunks, self.digest, now
        self.host.write(
            now,
            codec.SET,
            codec.encode(Set(codec.VERSION, self.service, self.version, self.digest, len(chunks))),
        )

    def leave(self, now: float) -> None:
        """Gives up the asker role as this process shuts down; it goes on with the reports of others."""
        self.leaving = True
        self.withdraw(now)
        self.reevaluate(now)

    def withdraw(self, now: float) -> None:
        """Deletes all own registers of the list."""
        if self.head_published:
            self.host.write(now, codec.HEAD, b"")
        self.head_published = False
        self.withdraw_whole(now)

    def withdraw_whole(self, now: float) -> None:
        """Deletes the registers of the whole list."""
        if self.published_chunks:
            self.host.write(now, codec.SET, b"")
            for n in range(len(self.published_chunks)):
                self.host.write(now, codec.chunk_name(n), b"")
        self.published_chunks, self.published_digest, self.list_written_at = [], b"", -math.inf

    # Time of the next own call.

    def startup_wait_until(self) -> float:
        """Returns until when a member that has just started waits for reports before it calls the service.

        Guards against many members that start at once: all would call before any has heard of the others. If
        no member reports anything, the first call is late by this time.
        """
        fractions = STARTUP_FRACTIONS if self.lines else STARTUP_FRACTIONS_NO_LIST
        first, last = fractions[2 if self.member_count > 1 else self.terms.seeded]
        within = self.terms.ask_within if self.lines else min(self.terms.ask_within, MAX_NO_LIST_PERIOD)
        wait = (first + (last - first) * self.startup_fraction()) * within
        if 1 < self.member_count <= self.terms.askers:
            # Guards against waiting for reports in a fleet in which each polls for itself.
            wait = min(wait, self.others_known_at - self.began + STOP_GRACE)
        return self.began + wait

    def startup_fraction(self) -> float:
        """Returns a fraction from 0 to 1 that is fixed for one start of the process."""
        return rank_hash(f"{self.own}|{self.run}") / 2**64

    def deferred_until(self, now: float) -> float:
        """Returns until when the next own call may wait; if that time is past, the call is made at once."""
        if not self.enabled or self.is_asker:
            return -math.inf
        last = LAST_CALL_FRACTION * self.terms.ask_within
        bound = (
            FIRST_CALL_FRACTION + (LAST_CALL_FRACTION - FIRST_CALL_FRACTION) * self.call_fraction
        ) * self.terms.ask_within
        until = self.confirmed + bound
        if self.newer_at < math.inf:
            single_fraction = (
                SINGLE_REPORT_FRACTIONS[0]
                + (SINGLE_REPORT_FRACTIONS[1] - SINGLE_REPORT_FRACTIONS[0]) * self.call_fraction
            )
            until = min(
                until,
                self.newer_at + single_fraction * self.terms.ask_within,
                self.agreed_newer_at
                + NEWER_LIST_LIMIT
                + self.call_fraction * NEWER_LIST_FRACTION * self.terms.ask_within,
            )
        until = min(
            until, self.drawn_at + self.audit_fraction * max(self.member_count / AUDIT_RATE, MIN_AUDIT_GAP)
        )
        known = self.confirmed
        if max(self.answered_at, self.failed_at) == -math.inf and self.began > -math.inf:
            known = max(known, self.began) if self.vouched else known
            until = max(until, self.began + bound if self.vouched else self.startup_wait_until())
        if self.failing_at < math.inf and known > -math.inf:
            # Guards against all others calling a failing service at once: their calls are spread over all the
            # time that is left. Not while the service answers some calls, as these calls would then make it
            # fail.
            since = max(
                self.failing_at,
                known + FAILING_CALL_FRACTION * self.terms.ask_within,
                self.service_up_at + self.period + HEAD_GRACE,
            )
            until = min(until, since + self.call_fraction * max(known + last - since, 0.0))
        if self.disputed_at < math.inf:
            until = min(
                until,
                max(self.disputed_at, self.failed_at)
                + NEWER_LIST_LIMIT
                + self.call_fraction * max(self.member_count / RETRY_RATE, NEWER_LIST_LIMIT),
            )
        if self.failed_at > self.answered_at and self.failing_at < math.inf:
            # Two other members and this one see the service fail. A sidecar on its own would retry within a
            # quarter of the asking period; here retries are so rare that the fleet's calls stay bounded.
            until = max(
                until,
                self.failed_at
                + (0.5 + self.call_fraction)
                * max(0.25 * self.terms.ask_within, self.member_count / RETRY_RATE),
            )
        return until

    def update_mode(self, now: float) -> None:
        """Logs a change of the mode."""
        mode = (
            "asker"
            if self.is_asker
            else "alone"
            if self.deferred_until(now) <= now
            else "waits"
            if self.confirmed == -math.inf and not self.vouched
            else "spared"
        )
        if mode != self.mode:
            self.host.log(MODE_MESSAGES[mode], version=self.version, members=self.member_count)
            self.mode = mode


MODE_MESSAGES = {
    "asker": "list: polls the list service for the fleet",
    "spared": "list: skips own calls, other members poll",
    "waits": "list: waits for a report from other members",
    "alone": "list: polls the list service for itself",
}


@functools.lru_cache(8192)
def rank_hash(name: str) -> int:
    """Returns the hash by which members are ranked, the same at all members."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")
