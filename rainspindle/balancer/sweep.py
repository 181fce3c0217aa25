"""Sweeps: what is forgotten of endpoints as time passes."""

from __future__ import annotations

from ..lazy_dataclasses import dataclass
from .endpoint import EndpointState
from .endpoint_registry import EndpointRegistry
from .failover import FailoverTable


@dataclass(frozen=True, slots=True)
class SweepPhase:
    """What a sweep forgets, beside what each sweep does.

    Attributes:
        halve_times: Whether response times are halved, where there are many.
        rotate_counts: Whether failure counts are rotated, where there are many.
        thorough: Whether this is done where there are few, too.
    """

    HALVE_TIMES_EVERY = 2  # sweeps
    ROTATE_COUNTS_EVERY = 5
    THOROUGH_EVERY = 10

    halve_times: bool
    rotate_counts: bool
    thorough: bool


def sweep_phase(sweep_number: int) -> SweepPhase:
    """Returns the phase of the sweep with this number."""
    return SweepPhase(
        sweep_number % SweepPhase.HALVE_TIMES_EVERY == 0,
        sweep_number % SweepPhase.ROTATE_COUNTS_EVERY == 0,
        sweep_number % SweepPhase.THOROUGH_EVERY == 0,
    )


def sweep_endpoints(registry: EndpointRegistry, now: float, elapsed: float, phase: SweepPhase) -> None:
    """Ages the active endpoints, `elapsed` seconds after the last sweep.

    One with no history left is no longer active: most endpoints, where traffic is thin.
    """
    for endpoint in list(registry.active):
        _sweep_endpoint(endpoint, now, elapsed, phase)
        if phase.rotate_counts and not endpoint.has_history():
            del registry.active[endpoint]


def _sweep_endpoint(endpoint: EndpointState, now: float, elapsed: float, phase: SweepPhase) -> None:
    if endpoint.breaker:
        endpoint.breaker.sweep(now, FailoverTable.TRIAL_DELAY)
    endpoint.update_estimates(elapsed)
    has_many_outcomes = endpoint.failure_counts.total_outcomes > EndpointState.MIN_OUTCOMES
    if phase.rotate_counts and (phase.thorough or has_many_outcomes):
        endpoint.failure_counts.rotate()
    has_many_times = endpoint.latency.total > EndpointState.MIN_KEPT_TIMES
    if phase.halve_times and (phase.thorough or has_many_times):
        endpoint.latency.halve()
