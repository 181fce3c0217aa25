"""Slow start: limits attempts to an endpoint that has started, was enabled again, or was readmitted."""

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
    """The attempts that may be sent to one endpoint within `duration` seconds; unused ones expire."""

    attempts: int
    duration: float


class SlowStartBudget:
    """Limits a warming endpoint to a multiple of the rate at which a warm one answers this sidecar.

    Warm endpoints answer no more than their capacity, so the sum over all sidecars stays within the limit.
    """

    SAFETY_MARGIN = 0.5  # factor: a warming endpoint has empty caches, and may be slower than most
    MEAN_OVER_MEDIAN = 1.5  # ratio of the mean response time to the median
    MIN_TIMES = 4  # response times needed to prove a capacity
    MIN_ATTEMPTS_PER_PART = 2
    MAX_PARTS = 6  # parts into which the window is divided, so that the budget is not spent at once

    def __init__(
        self, overload_multiple: float, window: float, initial_capacity: float, warm_up_time: float
    ) -> None:
        """Takes the limit from the settings.

        Args:
            overload_multiple: The multiple of its capacity beyond which an endpoint fails.
            window: The seconds for which that load must last before the endpoint fails.
            initial_capacity: The fraction of its full capacity that an endpoint has when it starts.
            warm_up_time: The seconds until it has its full capacity.
        """
        self.overload_multiple = overload_multiple
        self.window = window
        self.initial_capacity = initial_capacity
        self.warm_up_time = warm_up_time

    def capacity(self, age: float) -> float:
        """Returns the minimum fraction of full capacity at `age` seconds after the endpoint's start."""
        if age >= self.warm_up_time:
            return 1.0
        return self.initial_capacity + (1 - self.initial_capacity) * max(age, 0.0) / self.warm_up_time

    def attempts_per_window(self, rate: float) -> float:
        """Returns the attempts that this sidecar may send within a window.

        Args:
            rate: The responses per second that it may expect from the endpoint.
        """
        return self.SAFETY_MARGIN * self.overload_multiple * self.window * rate

    def grant(
        self, age: float, warm_rate: float, times: Histogram, sidecar_count: int, fraction: float
    ) -> SlowStartGrant:
        """Returns the attempts that this sidecar may send next.

        With many sidecars the budget of each is below one attempt: then `fraction` decides whether it gets
        one. Unused attempts expire, else all sidecars would accumulate one and send them together.

        So that the endpoint does not idle, the budget is spread over the window, and an endpoint whose own
        `times` prove more than the minimum capacity gets attempts for that. Too generous if those times are
        short by chance.

        Args:
            age: The seconds since the endpoint's start.
            warm_rate: The responses per second that this sidecar gets from a warm endpoint.
            times: The endpoint's own response times.
            sidecar_count: The number of sidecars, among which a proven capacity is divided.
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
    """Applies the budget to endpoints, and ramps up the keys that they get.

    Attributes:
        budget: The limit from the settings.
        warm_rate: The responses per second that this sidecar gets from a warm endpoint.
        enabled_at: The times at which operators enabled endpoints again, by name; they count as starts.
    """

    RECOVERY_RAMP = 5.0  # seconds over which an endpoint's keys return after its readmission
    RATE_RISE = 0.2  # part of a rise that the warm rate follows at a sweep
    RATE_FALL = 0.02  # part of a fall that it follows
    LEAST_FLEET_RATE = 0.25  # requests per second assumed for all sidecars together while no rate is known

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
        """Returns the minimum fraction of full capacity that the endpoint has at `now`."""
        age = self.age(endpoint, now)
        return 1.0 if age is None else self.budget.capacity(age)

    def takes_key(self, endpoint: EndpointState, key: str, now: float) -> bool:
        """Returns whether a warming or readmitted endpoint gets the key yet, consistently at all sidecars.

        It gets more keys where this sidecar is granted less than one attempt per window, else few grants
        would coincide with a request for one of its keys.
        """
        granted = self.budget.attempts_per_window(self.warm_rate)
        share = min(
            max(self.capacity(endpoint, now), 1 / max(granted, 0.01)),
            (now - endpoint.readmitted_at) / self.RECOVERY_RAMP,
        )
        return share >= 1.0 or zlib.crc32(f"{endpoint.id}|{key}".encode()) / 2**32 < share

    def has_budget(self, endpoint: EndpointState, now: float) -> bool:
        """Returns whether the endpoint is warm or has attempts left; grants its next part if that is due."""
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
        """Counts the endpoint as started at `now`, and removes endpoints that have warmed up since."""
        self.enabled_at = {
            other: enabled_at
            for other, enabled_at in self.enabled_at.items()
            if now - enabled_at < self.budget.warm_up_time
        }
        self.enabled_at[endpoint_id] = now

    def learn_warm_rate(self, ready: Sequence[EndpointState], now: float, elapsed: float) -> None:
        """Adapts the warm rate to the responses of the last `elapsed` seconds.

        The rate falls only slowly, so that it is still known when all endpoints start cold or are replaced.
        """
        warm = [
            candidate for candidate in ready if self.age(candidate, now) is None and not candidate.breaker
        ]
        if not warm:
            return
        answered = sum(endpoint.responses_since_sweep for endpoint in warm) / elapsed / len(warm)
        change = answered - self.warm_rate
        self.warm_rate += (self.RATE_RISE if change > 0 else self.RATE_FALL) * change
