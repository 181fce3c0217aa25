"""Load shedding: requests go to other endpoints, and are finally rejected, before queues grow."""

from __future__ import annotations

from ..lazy_dataclasses import dataclass
from .capacity import EndpointCapacity
from .endpoint import EndpointState
from .latency import LatencyTracker
from .random_sequence import RandomSequence
from .request import RequestState


@dataclass(frozen=True, slots=True)
class FleetTimes:
    """Mean response times over all endpoints.

    Attributes:
        usual: The mean of the lowest three quarters.
        warm: The same for recent times of warm endpoints alone; 0 if there are too few of them.
    """

    usual: float
    warm: float


class WeightRanking:
    """Ranks a request among recent ones by priority weight: the lowest weight is shed first.

    Attributes:
        counts: Requests by weight, decaying at each sweep.
    """

    KEPT = 0.8  # factor on the counts at each sweep
    MIN_COUNT = 0.5  # a weight with a lower count is dropped

    def __init__(self, random: RandomSequence) -> None:
        self.counts: dict[float, float] = {}
        self._random = random

    def position(self, weight: float) -> float:
        """Counts a request; returns its position, from 0 (shed first) to 1."""
        self.counts[weight] = self.counts.get(weight, 0.0) + 1
        below = sum(count for other, count in self.counts.items() if other < weight)
        return (below + self._random.fraction() * self.counts[weight]) / sum(self.counts.values())

    def sweep(self) -> None:
        """Decays the counts."""
        self.counts = {
            weight: count * self.KEPT for weight, count in self.counts.items() if count > self.MIN_COUNT
        }


class LoadShedder:
    """Skips an endpoint with a probability that rises with its response times.

    Many sidecars with one attempt each can cause a queue that none of them sees in its own window. Where
    peers publish their load, the response time is predicted from the attempts in flight, and shedding begins
    at the unloaded time, because heavy requests are late where cores are shared.

    Attributes:
        is_active: Whether times are known: set by the first sweep, or by restored state.
    """

    FROM = 0.2  # part of the latency objective: response time from which requests are shed
    TO = 0.5  # part of the latency objective: response time from which nearly all are shed
    MAX_PROBABILITY = 0.95  # some requests must pass, to show when the overload is over
    SHARED_FACTOR = 0.25  # factor on both bounds where peers publish their load
    PRIOR_WEIGHT = 2.0  # the usual time counts as this many response times
    FEW_TIMES = 8.0  # this many response times say little about an endpoint

    def __init__(self, capacity: EndpointCapacity, latency: LatencyTracker) -> None:
        self.is_active = False
        self._capacity = capacity
        self._latency = latency

    def fleet_times(self) -> FleetTimes:
        """Returns the mean response times with which single endpoints are compared."""
        usual = self._latency.overall.low_mean(0.0, self.PRIOR_WEIGHT)
        warm = 0.0
        if self._latency.warm.total >= self.FEW_TIMES:
            warm = self._latency.warm.low_mean(usual, self.PRIOR_WEIGHT)
        return FleetTimes(usual, warm)

    def sheds(self, request: RequestState, endpoint: EndpointState, fleet: FleetTimes, now: float) -> bool:
        """Returns whether the endpoint is too loaded for the request."""
        objective = request.traffic_class.latency_objective
        if self._capacity.shares_load:
            model = self._capacity.service_times.model_of(endpoint.listed)
            expected = model.expected_time(self._capacity.in_flight(endpoint))
            probability = self._shared_probability(expected, objective, model.unloaded_time)
        else:
            expected = self._mean_time(endpoint, fleet, now)
            probability = self._probability(expected, self.FROM * objective, self.TO * objective)
        return request.shed_draw < probability

    def _shared_probability(self, expected: float, objective: float, unloaded_time: float) -> float:
        lower = max(self.FROM * objective * self.SHARED_FACTOR, unloaded_time)
        upper = max(self.TO * objective * self.SHARED_FACTOR, 2 * unloaded_time)
        return self._probability(expected, lower, upper)

    def _probability(self, expected: float, lower: float, upper: float) -> float:
        if not self.is_active:
            return 0.0
        return min((expected - lower) / (upper - lower), self.MAX_PROBABILITY)

    def _mean_time(self, endpoint: EndpointState, fleet: FleetTimes, now: float) -> float:
        """Returns the endpoint's mean response time.

        With little traffic, overload is met too rarely at each endpoint to be seen there. Where an endpoint
        has few response times, the recent times of all warm endpoints count as well. Too strict for the few
        fast endpoints where most are slow.
        """
        is_warm = self._capacity.slow_start.age(endpoint, now) is None
        prior = fleet.usual if is_warm else 0.0  # a warming endpoint is unloaded, as its budget limits it
        mean = endpoint.latency.low_mean(prior, self.PRIOR_WEIGHT)
        if prior and endpoint.latency.total <= self.FEW_TIMES:
            mean = max(mean, fleet.warm)
        return mean
