"""The decision for sites and the intake, by themselves: plain cases and random histories."""

from __future__ import annotations

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
from rainspindle.routing.sites import Free, SiteRouter
from rainspindle.transport.loop import Coroutine


class Both:
    """Two sites as one gateway sees them; `broken` are those at which everything fails."""

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
        self.sites.ended(self.now, route, route.site, good, retriable)
        return route

    def goes(self, key: str, retriable: bool = False) -> str:
        """Where an exchange would go; called off at once, so that it says nothing."""
        return self.send(key, None, retriable).site


def test_a_partition_moves_on_its_own_failures_and_comes_back_by_one_trial() -> None:
    both = Both()
    assert [both.send("k", good=False).site for _ in range(3)] == ["casa"] * 3
    assert both.goes("k") == "rabat" and both.sites.moves == 1
    others = [f"o{n}" for n in range(40) if both.sites.partition(f"o{n}") != both.sites.partition("k")]
    assert {both.goes(key) for key in others} == {"casa"}
    both.wait(6.5)
    assert both.goes("k", retriable=False) == "rabat"  # a binding exchange is never the trial
    trial = both.sites.route(both.now, "k", True)
    assert trial.site == "casa" and trial.partition_trial
    assert both.goes("k", retriable=True) == "rabat"  # one alone
    both.sites.ended(both.now, trial, "casa", False, True)
    both.wait(2.0)
    assert both.goes("k", retriable=True) == "rabat"
    both.wait(5.0)
    assert both.send("k").site == "casa" and both.goes("k") == "casa"


def test_five_other_failures_are_let_pass_and_the_sixth_moves() -> None:
    both = Both()
    for _ in range(5):
        both.send("k", good=False, retriable=False)
    assert both.goes("k") == "casa"
    both.send("k", good=False, retriable=False)
    assert both.goes("k") == "rabat"


def test_no_partition_moves_in_vain_on_a_calm_day() -> None:
    for rate in (2, 20):  # exchanges a second and partition, 0.5% of which fail
        both, rng = Both(), random.Random(3)
        for _ in range(300):
            for _ in range(rate):
                for key in ("a", "b", "c"):
                    both.send(key, good=rng.random() > 0.005)
            both.wait(1.0)
        assert both.sites.moves == 0 and not both.sites.own.breaker


def test_a_site_that_fails_whole_is_given_up_at_once_and_taken_back_over_a_ramp() -> None:
    both = Both()
    for n in range(30):
        both.send(f"k{n}", good=n < 10)
        both.now += 0.05
    assert both.sites.own.breaker and {both.goes(f"k{n}") for n in range(99)} == {"rabat"}
    both.wait(6.5)
    trial = both.sites.route(both.now, "x", True)
    assert trial.site == "casa" and trial.site_trial
    both.sites.ended(both.now, trial, "casa", True, True)
    shares = []
    for _ in range(4):
        shares.append(sum(both.goes(f"k{n}") == "casa" for n in range(200)) / 200)
        both.wait(3.0)
    assert shares[0] < 0.1 and 0.15 < shares[1] < 0.5 and shares[1] < shares[2] < shares[3]
    assert both.goes("k") == "casa"


def test_a_bad_trial_of_a_site_doubles_the_wait_for_the_next() -> None:
    both = Both()
    while not both.sites.own.breaker:
        both.send("k", good=False)
        both.now += 0.05
    waits, since = list[float](), both.now
    while len(waits) < 6:
        both.wait(0.5)
        route = both.sites.route(both.now, "x", True)
        if route.site_trial:
            waits.append(both.now - since)
            since = both.now
        both.sites.ended(both.now, route, route.site, route.site != "casa", True)
    assert waits == sorted(waits) and waits[0] < 8 and 55 < waits[-1] < 65


def test_a_link_that_flaps_is_used_less_and_less() -> None:
    both = Both()
    for _ in range(10):  # every 3 s for a minute
        both.sites.linked(both.now, "rabat", False)
        both.wait(3.0)
        both.sites.linked(both.now, "rabat", True)
        both.wait(3.0)
    peer = both.sites.sites["rabat"]
    assert not peer.usable(both.now) and peer.hold == Site.MOST_HOLD
    both.sites.own.breaker = CircuitBreaker(both.now)  # with nothing at home it is used all the same
    assert both.goes("k") == "rabat"
    both.sites.own.breaker = None
    both.wait(Site.MOST_HOLD)
    assert peer.usable(both.now)
    both.wait(Site.CALM)
    both.sites.linked(both.now, "rabat", False)
    both.sites.linked(both.now, "rabat", True)
    both.wait(Site.HOLD)
    assert peer.usable(both.now)  # a calm minute: the first fall again


def test_with_no_link_all_stays_at_home() -> None:
    both = Both()
    both.sites.linked(both.now, "rabat", False)
    for n in range(50):
        assert both.send(f"k{n}", good=False).site == "casa"
        both.now += 0.05
    assert both.sites.spill(both.now, ["casa"]) is None


def test_what_is_turned_away_crosses_once_and_within_credit() -> None:
    both = Both(("rabat", "fes"))
    assert both.sites.spill(both.now, ["rabat"]) == "casa"
    assert both.sites.spill(both.now, ["casa", "rabat"]) is None
    given = [both.sites.spill(both.now, ["casa"]) for _ in range(30)]
    assert given.count("rabat") == int(Site.START_CREDIT) and given[-1] is None
    for _ in range(11):
        both.send("k")
    assert both.sites.spill(both.now, ["casa"]) == "rabat"


def test_peers_that_change_leave_nothing_behind() -> None:
    both = Both(("rabat", "fes"))
    for _ in range(3):
        both.send("k", good=False)
    assert both.goes("k") == "rabat"
    both.sites.set_peers(["fes"], both.now)
    assert both.goes("k") == "casa" and set(both.sites.sites) == {"casa", "fes"}
    assert both.sites.sites["fes"].up


@pytest.mark.parametrize("seed", range(6))
def test_random_histories_keep_the_rules_of_sites(seed: int) -> None:
    """Whatever fails: binding exchanges are no trials, at most one trial is out for a partition and a site,
    nothing
    goes to a site whose link is down, and state stays bounded."""
    rng, both = random.Random(seed), Both(("rabat", "fes"))
    out: list[tuple[Route, bool]] = []
    health = {"casa": 1.0, "rabat": 1.0, "fes": 1.0}
    for step in range(4000):
        if rng.random() < 0.01:
            health[rng.choice(list(health))] = rng.choice([0.0, 0.5, 1.0, 1.0])
        if rng.random() < 0.01:
            both.sites.linked(both.now, rng.choice(["rabat", "fes"]), rng.random() < 0.7)
        retriable = rng.random() < 0.5
        route = both.sites.route(both.now, None if rng.random() < 0.1 else f"k{rng.randrange(60)}", retriable)
        site = both.sites.sites[route.site]
        assert site.own or both.sites.usable(site, both.now)
        assert retriable or not (route.partition_trial or route.site_trial)
        trials = [r.partition_trial or r.site_trial for r, _ in out if r.partition_trial or r.site_trial]
        assert (route.partition_trial or route.site_trial) not in trials or not trials
        out.append((route, retriable))
        if rng.random() < 0.9 and out:
            ended, was_retriable = out.pop(rng.randrange(len(out)))
            good = None if rng.random() < 0.05 else rng.random() < health[ended.site]
            both.sites.ended(both.now, ended, ended.site, good, was_retriable)
        if step % 20 == 0:
            both.wait(rng.random() * 3)
        assert max(len(both.sites.table.entries), len(both.sites.shares)) <= Sites.PARTITIONS


# The intake.


def test_own_clients_come_first() -> None:
    intake = Intake(0.0, 0.5, 8, lambda line: None)
    for n in range(200):  # while all is well the window grows
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
    assert 15 <= intake.most() <= 20  # half of all under way, and no more
    for n in range(300):
        intake.admit(20.0 + n * 0.1)
        intake.own_ended(20.0 + n * 0.1, False)
        intake.own_began(20.0 + n * 0.1)
    assert intake.most() == Intake.LEAST and intake.turned_away > 0


def test_a_floor_is_open_to_foreign_work_where_there_is_none_of_ones_own() -> None:
    logs: list[str] = []
    intake = Intake(0.0, 0.5, 3, logs.append)
    assert [intake.admit(0.0) for _ in range(5)] == [True, True, True, False, False] and len(logs) == 1
    one_part = Intake(0.0, 0.0, 0, lambda line: None)
    assert not one_part.admit(0.0)


# The router between home and elsewhere.


class Leg:
    """A site as the router meets it: takes so long, then ends so."""

    def __init__(self, loop: VirtualLoop, takes: float, end: Any) -> None:
        self.loop, self.takes, self.end, self.came = loop, takes, end, 0

    def run(self, given: Given, gone: Callable[[], bool]) -> Coroutine[Any]:
        self.came += 1
        until = self.loop.now() + self.takes
        while self.loop.now() < until:
            yield until
        return self.end

    def cross(self, given: Given, gone: Callable[[], bool], may_rerun: bool) -> Coroutine[Any]:
        return (yield from self.run(given, gone))


def routed(
    effect: Idempotency, home: tuple[float, Any], away: tuple[float, Any]
) -> tuple[Any, Sites, Leg, Leg]:
    clock = Clock()
    loop = VirtualLoop(clock, lambda fault: None)
    sites = Sites("casa", ["rabat"], 7, loop.now(), lambda line: None)
    sites.linked(loop.now(), "rabat", True)
    kind = TrafficClass(effect, DeduplicationScope.ALL, 0.6, 2.0, 0.0)
    core, peer = Leg(loop, *home), Leg(loop, *away)
    fake: Any = core
    router = SiteRouter(loop, fake, sites, Intake(loop.now(), 0.5, 4, lambda line: None), [kind], False)
    router.peers["rabat"] = peer
    finals: list[Any] = []

    def one() -> Coroutine[None]:
        given = Given(0, "k", None, False, loop.now() + 2.0, None)
        finals.append((yield from router.run(given, lambda: False)))

    loop.spawn(one())
    clock.env.run(until=3.0)
    return finals[0], sites, core, peer


def test_each_site_is_judged_by_the_time_that_it_took_itself() -> None:
    done = Finished(None)
    final, sites, _, peer = routed(Idempotency.NON_IDEMPOTENT, (0.5, Rejected(0.0, False)), (0.4, done))
    assert final is done and peer.came == 1
    assert sites.sites["rabat"].shares.failed() == 0 and sites.own.shares.failed() == 1
    final, sites, _, _ = routed(Idempotency.NON_IDEMPOTENT, (0.0, Rejected(0.0, False)), (0.7, done))
    assert final is done and sites.sites["rabat"].shares.failed() == 1


def test_what_may_have_run_goes_nowhere_else_and_what_did_not_crosses_once() -> None:
    for effect, home, away, came in (
        (Idempotency.NON_IDEMPOTENT, Terminated(), Finished(None), 0),
        (Idempotency.DEDUPLICATED, Rejected(0.0, True), Finished(None), 0),
        (Idempotency.IDEMPOTENT, Rejected(0.0, True), Finished(None), 1),
        (Idempotency.NON_IDEMPOTENT, Rejected(0.0, False), Free(True, 0.5), 1),
        (Idempotency.NON_IDEMPOTENT, Rejected(0.0, False), Terminated(), 1),
    ):
        final, _, core, peer = routed(effect, (0.0, home), (0.0, away))
        assert (core.came, peer.came) == (1, came)
        assert final == (home if not came else Rejected(0.5, False) if isinstance(away, Free) else away)
