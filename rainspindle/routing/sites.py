"""Routes each request to the core of its own site or over the link to another site, at most once."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..balancer.host import Idempotency, TrafficClass
from ..decisions.sites.intake import Intake
from ..decisions.sites.sites import Sites
from ..transport.loop import Coroutine, Loop
from .core import Core, Final, Finished, Given, Left, Rejected, Terminated


@dataclass(frozen=True, slots=True)
class NotAnswered:
    """The other site gave no answer: the request provably never ran (`never_ran`), or that is not known."""

    never_ran: bool
    hold_off: float = 0.0  # seconds, advised by the other site when it rejected the request


NO_SITE_HOLD_OFF = 0.5  # seconds; hold-off advised to a client whose request no site took
PeerResult = Final | NotAnswered
UNREACHABLE = NotAnswered(never_ran=True)


class PeerLink(Protocol):
    """The link to one peer, as the router uses it."""

    def cross(
        self, given: Given, gone: Callable[[], bool], may_rerun: Callable[[], bool]
    ) -> Coroutine[PeerResult]:
        """Runs a request at the peer; `may_rerun` tells whether running it again elsewhere is safe now."""
        ...


class SiteRouter:
    """Runs the requests that a front accepts at the selected site."""

    def __init__(
        self,
        loop: Loop,
        core: Core,
        sites: Sites,
        intake: Intake,
        traffic_classes: list[TrafficClass],
        one_group: bool,
    ) -> None:
        """Takes `one_group`: whether all sites together deduplicate fingerprinted requests."""
        self.loop, self.core, self.sites, self.intake, self.traffic_classes = (
            loop,
            core,
            sites,
            intake,
            traffic_classes,
        )
        self.one_group = one_group
        self.peers: dict[str, PeerLink] = {}
        self.crossed = self.crossed_free = 0

    def run(self, given: Given, gone: Callable[[], bool]) -> Coroutine[Final]:
        """Runs a request to its final answer, at a further site if the first did not run it."""
        traffic_class = self.traffic_classes[given.type_index]
        retriable = traffic_class.idempotency is Idempotency.IDEMPOTENT
        route = self.sites.route(self.loop.now(), given.key, retriable)
        site, tried = route.site, list[str]()
        while True:
            tried.append(site)
            # Each site is judged by its own time alone, not by the time that an earlier site took.
            objective_at = self.loop.now() + traffic_class.latency_objective
            if site == self.sites.own.name:
                final = yield from self.run_at_own_site(given, gone)
                succeeded: bool | None = isinstance(final, Finished) and self.loop.now() <= objective_at
                not_run = isinstance(final, Rejected) and (retriable or not final.ran)
            else:
                peer_result = yield from self.run_at_peer(site, given, gone)
                succeeded = isinstance(peer_result, Finished) and self.loop.now() <= objective_at
                not_run = isinstance(peer_result, NotAnswered) and self.may_rerun(given)
                if isinstance(peer_result, NotAnswered):
                    succeeded = None  # a lost link is reported by `linked`; a full site is healthy
                    hold_off = peer_result.hold_off or NO_SITE_HOLD_OFF
                    final = Rejected(hold_off, False) if not_run else Terminated()
                else:
                    final = peer_result
            if isinstance(final, Left):
                succeeded = None
            self.sites.record_result(self.loop.now(), route, site, succeeded, retriable)
            if isinstance(final, Rejected) and given.rerun_until < math.inf:
                final = Rejected(final.hold_off, ran=True)
            if not not_run or isinstance(final, Left) or self.loop.now() >= given.expires_at or gone():
                return final
            if not self.may_rerun(given):
                return final
            next_site = self.sites.spill(self.loop.now(), tried)
            if next_site is None:
                return final
            site = next_site

    def may_rerun(self, given: Given) -> bool:
        """Whether the request may run at a further site now, after those that it may have run at."""
        return self.loop.now() < given.rerun_until

    def rerun_limit(self, traffic_class: TrafficClass, sent_at: float) -> float:
        """Returns until when a request may run elsewhere that was sent to a peer at `sent_at`."""
        if traffic_class.idempotency is Idempotency.IDEMPOTENT:
            return math.inf
        if traffic_class.idempotency is Idempotency.DEDUPLICATED and self.one_group:
            return sent_at + traffic_class.deduplication_window
        return -math.inf

    def run_at_peer(self, site: str, given: Given, gone: Callable[[], bool]) -> Coroutine[PeerResult]:
        """Runs a request at another site; records until when it may run again if it may have run there."""
        self.crossed += 1
        traffic_class = self.traffic_classes[given.type_index]
        limit = min(given.rerun_until, self.rerun_limit(traffic_class, self.loop.now()))
        result = yield from self.peers[site].cross(given, gone, lambda: self.loop.now() < limit)
        never_ran = result.never_ran if isinstance(result, NotAnswered) else is_not_run(result)
        if isinstance(result, NotAnswered):
            self.crossed_free += 1
        if not never_ran:
            given.attempted, given.rerun_until = True, limit
        return result

    def run_at_own_site(self, given: Given, gone: Callable[[], bool]) -> Coroutine[Final]:
        """Runs a request at the own site and reports its outcome to the admission control."""
        started_at, objective = self.loop.now(), self.traffic_classes[given.type_index].latency_objective
        self.intake.own_began(started_at)
        succeeded = False
        try:
            final = yield from self.core.run(given, gone)
            succeeded = isinstance(final, Left) or (
                isinstance(final, Finished) and self.loop.now() - started_at <= objective
            )
            return final
        finally:
            self.intake.own_ended(self.loop.now(), succeeded)


def is_not_run(final: Final) -> bool:
    """Whether an answer says that the request has not been executed."""
    return isinstance(final, Rejected) and not final.ran
