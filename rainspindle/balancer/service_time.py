"""Service times by machine kind: how long requests take, by the number in flight."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from ..lazy_dataclasses import dataclass
from .host import KindEstimate, ListedEndpoint


@dataclass(frozen=True, slots=True)
class LoadLevel:
    """A group of responses: the mean number in flight, and the geometric mean of the response times."""

    in_flight: float
    seconds: float


class ServiceTimeModel:
    """The performance of one machine kind, learned from response times by the number in flight when sent.

    Slow and small kinds are found even if the endpoint list does not give their sizes. Inaccurate where
    machines of one kind differ.

    Attributes:
        own_estimate: The estimate learned by this sidecar; an unloaded time of 0 means unknown.
        unloaded_time: The seconds of an unloaded request: the median of all sidecars' estimates.
        concurrency: The requests in flight above which times rise: the median of all sidecars' estimates.
    """

    MAX_IN_FLIGHT = 40  # larger numbers count as this
    MIN_RESPONSES = 30.0  # per load level
    TOLERANCE = 0.15  # relative rise over the unloaded time that still counts as unloaded
    MIN_CHANGE = 0.15  # relative change of the unloaded time below which rankings are kept
    KEPT = 0.95  # factor on the counts at each sweep
    UNLOADED_DRIFT = 1.01  # factor by which the unloaded time rises at each sweep
    INITIAL_CONCURRENCY = 2.0
    SHORTEST = 1e-4  # lower bound of response times, so that their logarithm exists

    def __init__(self) -> None:
        self.unloaded_time = 0.0
        self.concurrency = self.INITIAL_CONCURRENCY
        self.own_estimate = KindEstimate(0.0, self.INITIAL_CONCURRENCY)
        self._log_seconds = [0.0] * self.MAX_IN_FLIGHT  # summed, by the number in flight
        self._responses = [0.0] * self.MAX_IN_FLIGHT
        self._largest_weight = 0.0  # the size of a machine, if listed weights fall with load
        self._listed_load = 0.0  # summed over list updates
        self._listed_in_flight = 0.0

    def record(self, in_flight: int, seconds: float) -> None:
        """Counts a response to an attempt that was sent with `in_flight` others at the endpoint."""
        level = min(in_flight, self.MAX_IN_FLIGHT - 1)
        self._log_seconds[level] += math.log(max(seconds, self.SHORTEST))
        self._responses[level] += 1

    def record_weight(self, weight: float, in_flight: int) -> None:
        """Counts a listed weight: the machine's size divided by one plus the requests in flight per core."""
        self._largest_weight = max(self._largest_weight, weight)
        self._listed_load += self._largest_weight / weight - 1
        self._listed_in_flight += in_flight

    def expected_time(self, in_flight: int) -> float:
        """Returns the expected seconds of a request with `in_flight` others at the endpoint."""
        return self.unloaded_time * max(1.0, (in_flight + 1) / self.concurrency)

    def learn(self, peers: Iterable[KindEstimate]) -> bool:
        """Updates the estimates from the counts and from the peers' estimates.

        Returns:
            Whether the unloaded time changed, so that rankings must be recomputed.
        """
        self._learn_own_estimate()
        self._decay()
        known = [*peers]
        if self.own_estimate.unloaded_time:
            known.append(self.own_estimate)
        if not known:
            return False
        middle = len(known) // 2
        self.concurrency = sorted(estimate.concurrency for estimate in known)[middle]
        unloaded_time = sorted(estimate.unloaded_time for estimate in known)[middle]
        if abs(unloaded_time - self.unloaded_time) <= self.MIN_CHANGE * self.unloaded_time:
            return False
        self.unloaded_time = unloaded_time
        return True

    def _learn_own_estimate(self) -> None:
        unloaded_time = self.own_estimate.unloaded_time
        concurrency = self.own_estimate.concurrency
        levels = self._load_levels()
        if levels:
            unloaded_time = min(unloaded_time * self.UNLOADED_DRIFT or math.inf, levels[0].seconds)
            concurrency = self._max_unloaded(levels, unloaded_time, concurrency)
        if self._largest_weight:  # the list gives it, with a delay: until then no limit is known
            concurrency = self._listed_concurrency()
        self.own_estimate = KindEstimate(unloaded_time, concurrency)

    def _load_levels(self) -> list[LoadLevel]:
        levels = list[LoadLevel]()
        log_seconds = 0.0
        responses = 0.0
        in_flight_total = 0.0
        for in_flight, counted in enumerate(self._responses):
            log_seconds += self._log_seconds[in_flight]
            responses += counted
            in_flight_total += in_flight * counted
            if responses >= self.MIN_RESPONSES:
                levels.append(LoadLevel(in_flight_total / responses, math.exp(log_seconds / responses)))
                log_seconds = 0.0
                responses = 0.0
                in_flight_total = 0.0
        return levels

    def _max_unloaded(self, levels: Sequence[LoadLevel], unloaded_time: float, known: float) -> float:
        """Returns the number in flight above which times rise; a number never reached so far is no limit."""
        limit = unloaded_time * (1 + self.TOLERANCE)
        first_slow = next((index for index, level in enumerate(levels) if level.seconds > limit), None)
        unloaded_levels = levels if first_slow is None else levels[:first_slow]
        observed = 1 + unloaded_levels[-1].in_flight if unloaded_levels else 1.0
        return max(known if first_slow is None else 1.0, observed)

    def _listed_concurrency(self) -> float:
        if self._listed_load > 1:
            return max(1.0, self._listed_in_flight / self._listed_load)
        return float(self.MAX_IN_FLIGHT)

    def _decay(self) -> None:
        self._listed_load *= self.KEPT
        self._listed_in_flight *= self.KEPT
        self._log_seconds = [total * self.KEPT for total in self._log_seconds]
        self._responses = [count * self.KEPT for count in self._responses]


class ServiceTimes:
    """The service time model of each machine kind."""

    def __init__(self) -> None:
        self.models = dict[int, ServiceTimeModel]()

    def model_of(self, listed: ListedEndpoint) -> ServiceTimeModel:
        """Returns the model of the endpoint's machine kind."""
        model = self.models.get(listed.machine_kind)
        if model is None:
            model = self.models[listed.machine_kind] = ServiceTimeModel()
        return model

    def fastest_time(self) -> float:
        """Returns the shortest known unloaded time of any kind, in seconds; 1 if none is known."""
        return min(
            (model.unloaded_time for model in self.models.values() if model.unloaded_time), default=1.0
        )

    def own_estimates(self) -> dict[int, KindEstimate]:
        """Returns the estimates that this sidecar has learned, by kind."""
        return {
            kind: model.own_estimate
            for kind, model in self.models.items()
            if model.own_estimate.unloaded_time
        }

    def learn(self, peers: Sequence[dict[int, KindEstimate]]) -> bool:
        """Updates each model; returns whether rankings must be recomputed."""
        changed = False
        for kind, model in self.models.items():
            if model.learn([estimates[kind] for estimates in peers if kind in estimates]):
                changed = True
        return changed
