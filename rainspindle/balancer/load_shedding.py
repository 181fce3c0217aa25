"""Load shedding: requests are passed on, and in the end rejected, before queues grow."""

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
        usual: The mean of the lower three quarters.
        warm: The same for warm endpoints lately, 0 where too few were met.
    """

    usual: float
    warm: float


class WeightRanking:
    """Where a request stands among the latest by its priority weight: the least is shed first.

    Attributes:
        counts: Requests by weight, fading at each sweep.
    """

    KEPT = 0.8  # of the counts, at each sweep
    MIN_COUNT = 0.5  # below it a weight is forgotten

    def __init__(self, random: RandomSequence) -> None:
        self.counts: dict[float, float] = {}
        self._random = random

    def position(self, weight: float) -> float:
        """Counts a request; returns its position, from 0 (shed first) to 1."""
        self.counts[weight] = self.counts.get(weight, 0.0) + 1
        below = sum(count for other, count in self.counts.items() if other < weight)
        return (below + self._random.fraction() * self.counts[weight]) / sum(self.counts.values())

    def sweep(self) -> None:
        """Lets the counts fade."""
        self.counts = {
            weight: count * self.KEPT for weight, count in self.counts.items() if count > self.MIN_COUNT
        }


class LoadShedder:
    """Passes an endpoint over, by chance, as its response times rise.

    Guards against queues that many sidecars cause with one attempt each, which none of them sees in its own
    window. Where peers publish their load it goes by what is in flight, from the unloaded time on: heavy work
    is late where cores are shared.

    Attributes:
        is_active: Whether times are known: set by the first sweep, or by state that was restored.
    """

    FROM = 0.2  # of the latency objective: the time from which requests are shed
    TO = 0.5  # and from which nearly all are
    MAX_PROBABILITY = 0.95  # some must pass, or the end of a jam would not be seen
    SHARED_FACTOR = 0.25  # of both bounds, where peers publish their load
    PRIOR_WEIGHT = 2.0  # the usual time counts as so many response times
    FEW_TIMES = 8.0  # response times that say little of an endpoint

    def __init__(self, capacity: EndpointCapacity, latency: LatencyTracker) -> None:
        self.is_active = False
        self._capacity = capacity
        self._latency = latency

    def fleet_times(self) -> FleetTimes:
        """Returns the mean response times that single endpoints are compared with."""
        usual = self._latency.overall.low_mean(0.0, self.PRIOR_WEIGHT)
        warm = 0.0
        if self._latency.warm.total >= self.FEW_TIMES:
            warm = self._latency.warm.low_mean(usual, self.PRIOR_WEIGHT)
        return FleetTimes(usual, warm)

    def sheds(self, request: RequestState, endpoint: EndpointState, fleet: FleetTimes, now: float) -> bool:
        """Returns whether the endpoint is too loaded for the request."""
        objective = request.traffic_class.latency_objective
        if self._capacity.shares_load:
            model = self._capacity.service_times.of(endpoint.listed)
            expected = model.expected_time(self._capacity.in_flight(endpoint))
            probability = self._shared_probability(expected, objective, model.unloaded_time)
        else:
            expected = self._mean_time(endpoint, fleet, now)
            probability = self._probability(expected, self.FROM * objective, self.TO * objective)
        return request.shed_draw < probability

    def _shared_probability(self, expected: float, objective: float, unloaded_time: float) -> float:
        least = max(self.FROM * objective * self.SHARED_FACTOR, unloaded_time)
        most = max(self.TO * objective * self.SHARED_FACTOR, 2 * unloaded_time)
        return self._probability(expected, least, most)

    def _probability(self, expected: float, least: float, most: float) -> float:
        if not self.is_active:
            return 0.0
        return min((expected - least) / (most - least), self.MAX_PROBABILITY)

    def _mean_time(self, endpoint: EndpointState, fleet: FleetTimes, now: float) -> float:
        """Returns the endpoint's mean time.

        Guards against a jam that thin traffic meets too seldom at each endpoint: where that met little, what
        all warm ones take lately counts. May hurt where most of them are slow and a few are not.
        """
        is_warm = self._capacity.slow_start.age(endpoint, now) is None
        prior = fleet.usual if is_warm else 0.0  # a warming one is unloaded, by its budget
        mean = endpoint.latency.low_mean(prior, self.PRIOR_WEIGHT)
        if prior and endpoint.latency.total <= self.FEW_TIMES:
            mean = max(mean, fleet.warm)
        return mean
