"""Between a front and the core: an exchange goes to its own site's core, or crosses to another site, once."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..balancer.host import Idempotency, TrafficClass
from ..decisions.sites.intake import Intake
from ..decisions.sites.sites import Sites
from ..transport.loop import Coroutine, Loop
from .core import Core, Final, Finished, Given, Left, Rejected, Terminated


@dataclass(frozen=True, slots=True)
class Free:
    """It has no answer there: it never ran and never will, or (not `never`) that cannot be known."""

    never: bool
    hold_off: float = 0.0  # advised by the other site, where it turned the exchange away


AWAY = 0.5  # seconds to come back after, where an exchange found no site at all
Crossed = Final | Free
NOT_THERE = Free(never=True)


class Crossing(Protocol):
    def cross(self, given: Given, gone: Callable[[], bool], may_rerun: bool) -> Coroutine[Crossed]: ...


class SiteRouter:
    """Takes what fronts bring."""

    def __init__(
        self, loop: Loop, core: Core, sites: Sites, intake: Intake, types: list[TrafficClass], one_group: bool
    ) -> None:
        """`one_group`: whether all sites together drop repeats of fingerprinted exchanges."""
        self.loop, self.core, self.sites, self.intake, self.types = loop, core, sites, intake, types
        self.one_group = one_group
        self.peers: dict[str, Crossing] = {}
        self.crossed = self.crossed_free = 0

    def run(self, given: Given, gone: Callable[[], bool]) -> Coroutine[Final]:
        kind, now = self.types[given.type_index], self.loop.now()
        retriable = kind.idempotency is Idempotency.IDEMPOTENT
        route = self.sites.route(now, given.key, retriable)
        at, tried = route.site, list[str]()
        may_rerun = retriable
        final: Final = Rejected(0.0, False)
        while True:
            tried.append(at)
            # Each site is judged by the time that it took itself: what was slow elsewhere is not its fault.
            promised_at = self.loop.now() + kind.latency_objective
            if at == self.sites.own.name:
                final = yield from self.here(given, gone)
                good: bool | None = isinstance(final, Finished) and self.loop.now() <= promised_at
                free = isinstance(final, Rejected) and (retriable or not final.ran)
            else:
                self.crossed += 1
                if self.one_group and kind.idempotency is Idempotency.DEDUPLICATED:
                    may_rerun = self.loop.now() - now < kind.deduplication_window
                crossed = yield from self.peers[at].cross(given, gone, may_rerun)
                good = isinstance(crossed, Finished) and self.loop.now() <= promised_at
                free = False
                if isinstance(crossed, Free):
                    self.crossed_free += 1
                    free = crossed.never or may_rerun
                    good = None  # the link was lost, of which it is told otherwise, or the site is full
                    final = Rejected(crossed.hold_off or AWAY, False) if free else Terminated()
                else:
                    final = crossed
            if isinstance(final, Left):
                good = None
            self.sites.ended(self.loop.now(), route, at, good, retriable)
            if not free or isinstance(final, Left) or self.loop.now() >= given.expires_at or gone():
                return final
            further = self.sites.spill(self.loop.now(), tried)
            if further is None:
                return final
            at = further

    def here(self, given: Given, gone: Callable[[], bool]) -> Coroutine[Final]:
        begun, promised = self.loop.now(), self.types[given.type_index].latency_objective
        self.intake.own_began(begun)
        good = False
        try:
            final = yield from self.core.run(given, gone)
            good = isinstance(final, Left) or (
                isinstance(final, Finished) and self.loop.now() - begun <= promised
            )
            return final
        finally:
            self.intake.own_ended(self.loop.now(), good)
