"""Slow start: what may be sent to an endpoint that has just started, is enabled again, or was readmitted."""

from __future__ import annotations

import math
import zlib
from collections.abc import Sequence

from ..histogram import Histogram
from ..lazy_dataclasses import dataclass
from .endpoint import EndpointState
from .random_sequence import RandomSequence


@dataclass(frozen=True, slots=True)
class SlowStartGrant:
    """Attempts that may be sent to one endpoint within `duration` seconds; unused ones lapse."""

    attempts: int
    duration: float


class SlowStartBudget:
    """How much a warming endpoint may get: a multiple of what a warm one answers to this sidecar.

    As warm endpoints answer no more than they can do, the sum over all sidecars keeps the bound.
    """

    SAFETY_MARGIN = 0.5  # a warming endpoint has no cached keys, and may be slower than most
    MEAN_OVER_MEDIAN = 1.5  # the mean response time in parts of the median
    MIN_TIMES = 4  # response times that prove a capacity
    MIN_ATTEMPTS_PER_PART = 2
    MAX_PARTS = 6  # into which the window is divided, so that the budget is not spent at once

    def __init__(
        self, overload_multiple: float, window: float, initial_capacity: float, warm_up_time: float
    ) -> None:
        """Takes the bound from the settings.

        Args:
            overload_multiple: The endpoint fails beyond so many times its capacity,
            window: kept up for so many seconds.
            initial_capacity: The part of its full capacity that it has when it starts.
            warm_up_time: Seconds until it has its full capacity.
        """
        self.overload_multiple = overload_multiple
        self.window = window
        self.initial_capacity = initial_capacity
        self.warm_up_time = warm_up_time

    def capacity(self, age: float) -> float:
        """Returns the least part of its full capacity that an endpoint has `age` seconds after its start."""
        if age >= self.warm_up_time:
            return 1.0
        return self.initial_capacity + (1 - self.initial_capacity) * max(age, 0.0) / self.warm_up_time

    def attempts_per_window(self, rate: float) -> float:
        """Returns what this sidecar may send within a window, where `rate` is what it may count on."""
        return self.SAFETY_MARGIN * self.overload_multiple * self.window * rate

    def grant(
        self, age: float, warm_rate: float, times: Histogram, sidecar_count: int, fraction: float
    ) -> SlowStartGrant:
        """Returns what this sidecar may send next.

        Of many sidecars each has a budget below one attempt: then `fraction` decides whether it gets one, and
        what is not used lapses, or all would save up one and send them together.

        Guards against an idle endpoint: the budget is spread over the window, and where the endpoint's own
        `times` prove more than the least capacity, it gets that. May hurt where they are short by luck.

        Args:
            age: Seconds since the endpoint's start.
            warm_rate: Responses per second that this sidecar gets from a warm endpoint.
            times: The endpoint's own response times.
            sidecar_count: All sidecars, among which a proven capacity is divided.
            fraction: A random fraction.
        """
        proven = 0.0
        if times.total >= self.MIN_TIMES:
            proven = 1 / (sidecar_count * self.MEAN_OVER_MEDIAN * times.quantile(0.5))
        rate = max(self.capacity(age - self.window) * warm_rate, proven)
        attempts = self.attempts_per_window(rate)
        parts = max(1, min(int(attempts / self.MIN_ATTEMPTS_PER_PART), self.MAX_PARTS))
        return SlowStartGrant(int(attempts / parts + fraction), self.window / parts)


class SlowStart:
    """Applies the budget to endpoints, and ramps up the keys that they take.

    Attributes:
        budget: The bound.
        warm_rate: Responses per second that this sidecar gets from a warm endpoint.
        enabled_at: When an operator enabled an endpoint again; it counts as started then.
    """

    RECOVERY_RAMP = 5.0  # seconds over which an endpoint's keys return after its readmission
    RATE_RISE = 0.2  # the part by which the warm rate rises at a sweep
    RATE_FALL = 0.02  # and falls
    LEAST_FLEET_RATE = 0.25  # requests per second that all sidecars count on before any rate is known

    def __init__(self, budget: SlowStartBudget, sidecar_count: int, random: RandomSequence) -> None:
        self.budget = budget
        self.warm_rate = 0.0
        self.enabled_at: dict[str, float] = {}
        self._sidecar_count = sidecar_count
        self._random = random

    def age(self, endpoint: EndpointState, now: float) -> float | None:
        """Returns the seconds since the endpoint's start, or None once it is warm."""
        started_at = endpoint.listed.started_at or -math.inf
        age = now - max(started_at, self.enabled_at.get(endpoint.id, -math.inf))
        return age if age < self.budget.warm_up_time else None

    def capacity(self, endpoint: EndpointState, now: float) -> float:
        """Returns the least part of its full capacity that the endpoint has by now."""
        age = self.age(endpoint, now)
        return 1.0 if age is None else self.budget.capacity(age)

    def takes_key(self, endpoint: EndpointState, key: str, now: float) -> bool:
        """Returns whether a warming or readmitted endpoint takes the key yet; all sidecars agree.

        More keys are taken where this sidecar is granted less than one attempt, or few grants would meet one
        of their keys.
        """
        granted = self.budget.attempts_per_window(self.warm_rate)
        share = min(
            max(self.capacity(endpoint, now), 1 / max(granted, 0.01)),
            (now - endpoint.readmitted_at) / self.RECOVERY_RAMP,
        )
        return share >= 1.0 or zlib.crc32(f"{endpoint.id}|{key}".encode()) / 2**32 < share

    def has_budget(self, endpoint: EndpointState, now: float) -> bool:
        """Returns whether the endpoint is warm or has attempts left; begins its next part if that is due."""
        age = self.age(endpoint, now)
        if age is None:
            return True
        if now >= endpoint.slow_start_until:
            grant = self.budget.grant(
                age,
                max(self.warm_rate, self.LEAST_FLEET_RATE / self._sidecar_count),
                endpoint.latency,
                self._sidecar_count,
                self._random.fraction(),
            )
            endpoint.slow_start_remaining = grant.attempts
            endpoint.slow_start_until = now + grant.duration
        return endpoint.slow_start_remaining > 0

    def record_attempt(self, endpoint: EndpointState, now: float) -> None:
        """Takes one attempt from the budget of a warming endpoint."""
        if self.age(endpoint, now) is not None:
            endpoint.slow_start_remaining -= 1

    def record_enabled(self, endpoint_id: str, now: float) -> None:
        """Counts the endpoint as started now, and forgets those that have warmed up since."""
        self.enabled_at = {
            other: at for other, at in self.enabled_at.items() if now - at < self.budget.warm_up_time
        }
        self.enabled_at[endpoint_id] = now

    def learn_warm_rate(self, ready: Sequence[EndpointState], now: float, elapsed: float) -> None:
        """Adapts the warm rate to the responses of the last `elapsed` seconds.

        Guards against a fleet that starts cold or is replaced: what warm endpoints did is forgotten slowly.
        """
        warm = [e for e in ready if self.age(e, now) is None and not e.breaker]
        if not warm:
            return
        answered = sum(endpoint.responses_since_sweep for endpoint in warm) / elapsed / len(warm)
        change = answered - self.warm_rate
        self.warm_rate += (self.RATE_RISE if change > 0 else self.RATE_FALL) * change
