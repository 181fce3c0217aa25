"""All sidecars together send a warming endpoint at most N + 2 * sqrt(N) + 2 attempts, at fixed seeds."""

from __future__ import annotations

from dataclasses import replace

import pytest

from rainspindle.balancer.slow_start import SlowStartBudget

from .cold_fleet import Case, Contract, Sidecar, play

SMALL = Case(20, allowed=2.0, contract=Contract(1.5, 1.0), leaving=4, burst=1.5)
MIDDLE = replace(SMALL, allowed=5.0, contract=Contract(3.0, 1.5))
LARGE = replace(SMALL, allowed=20.0, contract=Contract(2.5, 3.0))
CASES = {
    "uneven, a burst of half": SMALL,
    "even": replace(SMALL, uneven=False),
    "middle N": MIDDLE,
    "threefold burst at slow endpoints": replace(SMALL, burst=3.0, speed=0.6),
    "threefold burst, known keys, slow endpoints": replace(SMALL, burst=3.0, speed=0.6, known_gain=0.75),
    "silence, then a threefold burst": replace(SMALL, burst=3.0, silent_for=3.0),
    "all sidecars restarted in the ramp": replace(SMALL, restarts=1.0, burst=3.0),
    "told over 6 s": replace(SMALL, told_within=6.0, burst=3.0),
    "a hot key": replace(SMALL, hot=0.3, burst=3.0),
    "the number of sidecars is not told": replace(MIDDLE, peers=1, burst=3.0),
    "a type with eight times the work": replace(SMALL, heavy=8.0, burst=3.0),
    "slow servers, little traffic": replace(SMALL, contract=Contract(2.5, 3.0), burst=3.0),
}


@pytest.mark.parametrize("sidecars", [2, 5, 20, 30])
@pytest.mark.parametrize("name", CASES)
def test_all_sidecars_together_keep_the_limit_of_a_warming_endpoint(name: str, sidecars: int) -> None:
    peak = play(replace(CASES[name], sidecars=sidecars), 1)
    assert peak.used > 0.02, "the endpoints were not used: the test shows nothing"
    assert peak.over_bound <= 1.0 and not peak.passed, peak


@pytest.mark.parametrize("sidecars", [5, 30])
def test_a_large_limit_is_kept_too(sidecars: int) -> None:
    peak = play(replace(LARGE, sidecars=sidecars, burst=3.0, speed=0.6, known_gain=0.75), 1)
    assert peak.used > 0.1 and peak.over_bound <= 1.0, peak


@pytest.mark.parametrize("sidecars", [2, 5, 20, 30])
def test_sidecars_that_know_of_a_restart_under_the_same_id_do_not_overload_the_endpoint(
    sidecars: int,
) -> None:
    """Sidecars that do not know of the restart take the endpoint for warm: they may exceed the limit."""
    peak = play(replace(MIDDLE, sidecars=sidecars, returning=True, told_within=6.0, burst=3.0), 1)
    assert peak.used > 0.02 and not peak.broken, peak


# All that raises the count at once: warm endpoints answer known keys faster, and starting ones are slow.
TIGHT = replace(SMALL, burst=5.0, speed=0.6, known_gain=0.9, lengths=0.2)


@pytest.mark.parametrize("sidecars, seed", [(2, 2), (20, 3), (30, 1)])
@pytest.mark.parametrize("planted", [None, 1.0])
def test_the_safety_margin_keeps_a_tight_limit_and_a_larger_one_does_not(
    planted: float | None, sidecars: int, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    if planted:
        monkeypatch.setattr(SlowStartBudget, "SAFETY_MARGIN", planted)
    peak = play(replace(TIGHT, sidecars=sidecars), seed)
    assert (peak.broken > 0) == bool(planted), peak


@pytest.mark.parametrize("planted", [False, True])
@pytest.mark.parametrize(
    "name, seed", [("threefold burst, known keys, slow endpoints", 4), ("silence, then a threefold burst", 4)]
)
def test_a_restarted_sidecar_starts_without_a_warm_rate(
    name: str, seed: int, planted: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The planted fault: a new process takes the whole rate of an endpoint for its own share of it."""
    start = Sidecar.start

    def start_with_the_whole_rate(self: Sidecar, now: float) -> None:
        start(self, now)
        if now > 0:
            self.balancer.slow_start.warm_rate = self.play.rate

    if planted:
        monkeypatch.setattr(Sidecar, "start", start_with_the_whole_rate)
    peak = play(replace(CASES[name], sidecars=30, restarts=1.0), seed)
    assert (peak.broken > 0) == planted, peak


def test_the_same_seed_gives_the_same_result() -> None:
    assert play(SMALL, 1) == play(SMALL, 1) != play(SMALL, 2)
