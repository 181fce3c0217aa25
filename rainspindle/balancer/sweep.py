"""Sweeps: ages the learned state of endpoints."""

from __future__ import annotations

from ..lazy_dataclasses import dataclass
from .endpoint import EndpointState
from .endpoint_registry import EndpointRegistry
from .failover import FailoverTable


@dataclass(frozen=True, slots=True)
class SweepPhase:
    """The steps that only some sweeps do.

    Attributes:
        halve_times: Whether response times are halved, for endpoints with many of them.
        rotate_counts: Whether failure counts are rotated, for endpoints with many outcomes.
        thorough: Whether these steps include endpoints with few.
    """

    HALVE_TIMES_EVERY = 2  # sweeps
    ROTATE_COUNTS_EVERY = 5  # sweeps
    THOROUGH_EVERY = 10  # sweeps

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

    An endpoint without any history left is no longer active, as most are where there is little traffic.
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
