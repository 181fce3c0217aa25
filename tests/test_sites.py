"""Site selection, admission of foreign requests and the site router: single cases and random histories."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Any

import pytest

from rainspindle.balancer.failover import CircuitBreaker
from rainspindle.balancer.host import DeduplicationScope, Idempotency, TrafficClass
from rainspindle.decisions.sites.intake import Intake
from rainspindle.decisions.sites.sites import Route, Site, Sites
from rainspindle.lab.virtual import Clock
from rainspindle.lab.virtual_sites import VirtualLoop
from rainspindle.routing.core import Finished, Given, Rejected, Terminated
from rainspindle.routing.sites import NotAnswered, SiteRouter
from rainspindle.transport.loop import Coroutine


class SelectionFixture:
    """The site selection of the gateway of site casa, with a clock that is moved by hand."""

    def __init__(self, peers: tuple[str, ...] = ("rabat",)) -> None:
        self.now, self.logs = 100.0, list[str]()
        self.sites = Sites("casa", peers, 7, self.now, self.logs.append)
        for peer in peers:
            self.sites.linked(self.now, peer, True)

    def wait(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now = min(self.now + 0.5, until)
            self.sites.tick(self.now)

    def send(self, key: str | None, good: bool | None = True, retriable: bool = True) -> Route:
        route = self.sites.route(self.now, key, retriable)
        self.sites.record_result(self.now, route, route.site, good, retriable)
        return route

    def site_of(self, key: str, retriable: bool = False) -> str:
        """Returns where a request would go; its end tells nothing about the site."""
        return self.send(key, None, retriable).site


def test_partition_moves_on_its_own_failures_and_returns_after_one_trial() -> None:
    fixture = SelectionFixture()
    assert [fixture.send("k", good=False).site for _ in range(3)] == ["casa"] * 3
    assert fixture.site_of("k") == "rabat" and fixture.sites.moves == 1
    others = [f"o{n}" for n in range(40) if fixture.sites.partition(f"o{n}") != fixture.sites.partition("k")]
    assert {fixture.site_of(key) for key in others} == {"casa"}
    fixture.wait(6.5)
    # A request that is not retriable is never the trial.
    assert fixture.site_of("k", retriable=False) == "rabat"
    trial = fixture.sites.route(fixture.now, "k", True)
    assert trial.site == "casa" and trial.partition_trial
    assert fixture.site_of("k", retriable=True) == "rabat"  # only one trial at a time
    fixture.sites.record_result(fixture.now, trial, "casa", False, True)
    fixture.wait(2.0)
    assert fixture.site_of("k", retriable=True) == "rabat"
    fixture.wait(5.0)
    assert fixture.send("k").site == "casa" and fixture.site_of("k") == "casa"


def test_non_retriable_failures_move_a_partition_at_the_sixth() -> None:
    fixture = SelectionFixture()
    for _ in range(5):
        fixture.send("k", good=False, retriable=False)
    assert fixture.site_of("k") == "casa"
    fixture.send("k", good=False, retriable=False)
    assert fixture.site_of("k") == "rabat"


def test_rare_failures_move_no_partition() -> None:
    for rate in (2, 20):  # requests per second and partition, of which 0.5% fail
        fixture, rng = SelectionFixture(), random.Random(3)
        for _ in range(300):
            for _ in range(rate):
                for key in ("a", "b", "c"):
                    fixture.send(key, good=rng.random() > 0.005)
            fixture.wait(1.0)
        assert fixture.sites.moves == 0 and not fixture.sites.own.breaker


def test_failing_site_is_ejected_at_once_and_readmitted_over_a_ramp() -> None:
    fixture = SelectionFixture()
    for n in range(30):
        fixture.send(f"k{n}", good=n < 10)
        fixture.now += 0.05
    assert fixture.sites.own.breaker and {fixture.site_of(f"k{n}") for n in range(99)} == {"rabat"}
    fixture.wait(6.5)
    trial = fixture.sites.route(fixture.now, "x", True)
    assert trial.site == "casa" and trial.site_trial
    fixture.sites.record_result(fixture.now, trial, "casa", True, True)
    shares = []
    for _ in range(4):
        shares.append(sum(fixture.site_of(f"k{n}") == "casa" for n in range(200)) / 200)
        fixture.wait(3.0)
    assert shares[0] < 0.1 and 0.15 < shares[1] < 0.5 and shares[1] < shares[2] < shares[3]
    assert fixture.site_of("k") == "casa"


def test_failed_site_trial_doubles_the_delay_of_the_next() -> None:
    fixture = SelectionFixture()
    while not fixture.sites.own.breaker:
        fixture.send("k", good=False)
        fixture.now += 0.05
    waits, since = list[float](), fixture.now
    while len(waits) < 6:
        fixture.wait(0.5)
        route = fixture.sites.route(fixture.now, "x", True)
        if route.site_trial:
            waits.append(fixture.now - since)
            since = fixture.now
        fixture.sites.record_result(fixture.now, route, route.site, route.site != "casa", True)
    assert waits == sorted(waits) and waits[0] < 8 and 55 < waits[-1] < 65


def test_flapping_link_is_held_back_longer() -> None:
    fixture = SelectionFixture()
    for _ in range(10):  # one loss every 6 s for a minute
        fixture.sites.linked(fixture.now, "rabat", False)
        fixture.wait(3.0)
        fixture.sites.linked(fixture.now, "rabat", True)
        fixture.wait(3.0)
    peer = fixture.sites.sites["rabat"]
    assert not peer.usable(fixture.now) and peer.hold_time == Site.MAX_HOLD
    # While the own site is ejected the hold is ignored.
    fixture.sites.own.breaker = CircuitBreaker(fixture.now)
    assert fixture.site_of("k") == "rabat"
    fixture.sites.own.breaker = None
    fixture.wait(Site.MAX_HOLD)
    assert peer.usable(fixture.now)
    fixture.wait(Site.FLAP_WINDOW)
    fixture.sites.linked(fixture.now, "rabat", False)
    fixture.sites.linked(fixture.now, "rabat", True)
    fixture.wait(Site.INITIAL_HOLD)
    assert peer.usable(fixture.now)  # after a stable minute the hold is the initial one again


def test_without_links_all_requests_stay_at_the_own_site() -> None:
    fixture = SelectionFixture()
    fixture.sites.linked(fixture.now, "rabat", False)
    for n in range(50):
        assert fixture.send(f"k{n}", good=False).site == "casa"
        fixture.now += 0.05
    assert fixture.sites.spill(fixture.now, ["casa"]) is None


def test_rejected_requests_go_to_one_peer_within_credit() -> None:
    fixture = SelectionFixture(("rabat", "fes"))
    assert fixture.sites.spill(fixture.now, ["rabat"]) == "casa"
    assert fixture.sites.spill(fixture.now, ["casa", "rabat"]) is None
    spill_sites = [fixture.sites.spill(fixture.now, ["casa"]) for _ in range(30)]
    assert spill_sites.count("rabat") == int(Site.INITIAL_CREDIT) and spill_sites[-1] is None
    for _ in range(11):
        fixture.send("k")
    assert fixture.sites.spill(fixture.now, ["casa"]) == "rabat"


def test_removed_peers_leave_no_state() -> None:
    fixture = SelectionFixture(("rabat", "fes"))
    for _ in range(3):
        fixture.send("k", good=False)
    assert fixture.site_of("k") == "rabat"
    fixture.sites.set_peers(["fes"], fixture.now)
    assert fixture.site_of("k") == "casa" and set(fixture.sites.sites) == {"casa", "fes"}
    assert fixture.sites.sites["fes"].up


@pytest.mark.parametrize("seed", range(6))
def test_random_histories_keep_the_invariants_of_site_selection(seed: int) -> None:
    """Checks the invariants of site selection under random failures.

    Only retriable requests are trials, each partition and site has at most one trial in progress, no request
    goes to a site whose link is down, and the state stays bounded.
    """
    rng, fixture = random.Random(seed), SelectionFixture(("rabat", "fes"))
    in_progress: list[tuple[Route, bool]] = []
    health = {"casa": 1.0, "rabat": 1.0, "fes": 1.0}
    for step in range(4000):
        if rng.random() < 0.01:
            health[rng.choice(list(health))] = rng.choice([0.0, 0.5, 1.0, 1.0])
        if rng.random() < 0.01:
            fixture.sites.linked(fixture.now, rng.choice(["rabat", "fes"]), rng.random() < 0.7)
        retriable = rng.random() < 0.5
        route = fixture.sites.route(
            fixture.now, None if rng.random() < 0.1 else f"k{rng.randrange(60)}", retriable
        )
        site = fixture.sites.sites[route.site]
        assert site.own or fixture.sites.usable(site, fixture.now)
        assert retriable or not (route.partition_trial or route.site_trial)
        trials = [
            open_route.partition_trial or open_route.site_trial
            for open_route, _ in in_progress
            if open_route.partition_trial or open_route.site_trial
        ]
        assert (route.partition_trial or route.site_trial) not in trials or not trials
        in_progress.append((route, retriable))
        if rng.random() < 0.9 and in_progress:
            ended, was_retriable = in_progress.pop(rng.randrange(len(in_progress)))
            good = None if rng.random() < 0.05 else rng.random() < health[ended.site]
            fixture.sites.record_result(fixture.now, ended, ended.site, good, was_retriable)
        if step % 20 == 0:
            fixture.wait(rng.random() * 3)
        assert (
            max(len(fixture.sites.table.entries), len(fixture.sites.partition_outcomes)) <= Sites.PARTITIONS
        )


# Admission of foreign requests.


def test_own_clients_have_priority() -> None:
    intake = Intake(0.0, 0.5, 8, lambda line: None)
    for n in range(200):  # the window grows while all requests succeed
        for _ in range(20):
            intake.own_began(n * 0.1)
        admitted = 0
        while intake.admit(n * 0.1):
            admitted += 1
        for _ in range(admitted):
            intake.foreign_ended(n * 0.1, True)
        for _ in range(20):
            intake.own_ended(n * 0.1, True)
    for _ in range(20):
        intake.own_began(20.0)
    assert 15 <= intake.limit() <= 20  # at most half of all requests in progress
    for n in range(300):
        intake.admit(20.0 + n * 0.1)
        intake.own_ended(20.0 + n * 0.1, False)
        intake.own_began(20.0 + n * 0.1)
    assert intake.limit() == Intake.MIN_WINDOW and intake.turned_away > 0


def test_floor_admits_foreign_requests_without_own_requests() -> None:
    logs: list[str] = []
    intake = Intake(0.0, 0.5, 3, logs.append)
    assert [intake.admit(0.0) for _ in range(5)] == [True, True, True, False, False] and len(logs) == 1
    without_limits = Intake(0.0, 0.0, 0, lambda line: None)
    assert not without_limits.admit(0.0)


# The site router.


class SiteStub:
    """A stand-in for a site: returns `result` after `duration` seconds and counts its requests."""

    def __init__(self, loop: VirtualLoop, duration: float, result: Any) -> None:
        self.loop, self.duration, self.result, self.received = loop, duration, result, 0
        self.rerun_until = math.inf  # of the last request

    def run(self, given: Given, gone: Callable[[], bool]) -> Coroutine[Any]:
        self.received += 1
        self.rerun_until = given.rerun_until
        until = self.loop.now() + self.duration
        while self.loop.now() < until:
            yield until
        return self.result

    def cross(self, given: Given, gone: Callable[[], bool], may_rerun: Callable[[], bool]) -> Coroutine[Any]:
        result = yield from self.run(given, gone)
        # As the link does: a request that may not run again waits for its peer's word or its expiry.
        unknown = result == NotAnswered(never_ran=False)
        return Terminated() if unknown and not may_rerun() else result


WINDOW = 1.0  # seconds for which all sites drop repeats in `run_routed`


def run_routed(
    effect: Idempotency,
    own_reply: tuple[float, Any],
    peer_reply: tuple[float, Any],
    one_group: bool = False,
    first: str = "casa",
) -> tuple[Any, Sites, SiteStub, SiteStub]:
    clock = Clock()
    loop = VirtualLoop(clock, lambda fault: None)
    sites = Sites("casa", ["rabat"], 7, loop.now(), lambda line: None)
    sites.linked(loop.now(), "rabat", True)
    while sites.route(loop.now(), "k", False).site != first:
        route = sites.route(loop.now(), "k", False)
        sites.record_result(loop.now(), route, route.site, False, False)
    traffic_class = TrafficClass(effect, DeduplicationScope.ALL, 0.6, 2.0, WINDOW)
    core, peer = SiteStub(loop, *own_reply), SiteStub(loop, *peer_reply)
    core_as_any: Any = core
    router = SiteRouter(
        loop, core_as_any, sites, Intake(loop.now(), 0.5, 4, lambda line: None), [traffic_class], one_group
    )
    router.peers["rabat"] = peer
    finals: list[Any] = []

    def run_request() -> Coroutine[None]:
        given = Given(0, "k", None, False, loop.now() + 2.0, None)
        finals.append((yield from router.run(given, lambda: False)))

    loop.spawn(run_request())
    clock.env.run(until=3.0)
    return finals[0], sites, core, peer


def test_each_site_is_judged_by_its_own_time() -> None:
    done = Finished(None)
    final, sites, _, peer = run_routed(Idempotency.NON_IDEMPOTENT, (0.5, Rejected(0.0, False)), (0.4, done))
    assert final is done and peer.received == 1
    assert (
        sites.sites["rabat"].recent_outcomes.failure_share() == 0
        and sites.own.recent_outcomes.failure_share() == 1
    )
    final, sites, _, _ = run_routed(Idempotency.NON_IDEMPOTENT, (0.0, Rejected(0.0, False)), (0.7, done))
    assert final is done and sites.sites["rabat"].recent_outcomes.failure_share() == 1


def test_only_requests_that_did_not_run_go_to_a_peer_and_only_once() -> None:
    for effect, own_reply, peer_reply, expected_received in (
        (Idempotency.NON_IDEMPOTENT, Terminated(), Finished(None), 0),
        (Idempotency.DEDUPLICATED, Rejected(0.0, True), Finished(None), 0),
        (Idempotency.IDEMPOTENT, Rejected(0.0, True), Finished(None), 1),
        (Idempotency.NON_IDEMPOTENT, Rejected(0.0, False), NotAnswered(True, 0.5), 1),
        (Idempotency.NON_IDEMPOTENT, Rejected(0.0, False), Terminated(), 1),
    ):
        final, _, core, peer = run_routed(effect, (0.0, own_reply), (0.0, peer_reply))
        assert (core.received, peer.received) == (1, expected_received)
        assert final == (
            own_reply
            if not expected_received
            else Rejected(0.5, False)
            if isinstance(peer_reply, NotAnswered)
            else peer_reply
        )


LOST = NotAnswered(never_ran=False)


# Guards against a request that runs again once endpoints have forgotten it: its link was lost too late.
@pytest.mark.parametrize(
    ("one_group", "lost_after", "runs_again"), [(True, 0.4, True), (True, 1.1, False), (False, 0.4, False)]
)
def test_a_request_of_a_lost_link_runs_again_only_within_its_window(
    one_group: bool, lost_after: float, runs_again: bool
) -> None:
    done = Finished(None)
    final, _, core, peer = run_routed(
        Idempotency.DEDUPLICATED, (0.1, done), (lost_after, LOST), one_group, first="rabat"
    )
    assert (peer.received, core.received) == (1, int(runs_again))
    assert final == (done if runs_again else Terminated())
    if runs_again:
        assert core.rerun_until < math.inf, "the own site doesn't know of the first attempt"


# Guards against a rejection that says "never ran" of a request that may have run at another site.
def test_a_rejection_tells_that_another_site_may_have_run_the_request() -> None:
    final, _, core, _ = run_routed(
        Idempotency.DEDUPLICATED, (0.1, Rejected(0.2, False)), (0.4, LOST), one_group=True, first="rabat"
    )
    assert core.received == 1 and final == Rejected(0.2, ran=True)
