"""Service times by machine kind: how long requests take there, by how many are in flight."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from ..lazy_dataclasses import dataclass
from .host import KindEstimate, ListedEndpoint


@dataclass(frozen=True, slots=True)
class LoadLevel:
    """The mean number in flight of a group of responses, and their geometric mean time."""

    in_flight: float
    seconds: float


class ServiceTimeModel:
    """What one machine kind can do, learned from response times by what was in flight at the sending.

    Guards against slow and small kinds where no list tells their sizes. May hurt where the machines of a kind
    differ.

    Attributes:
        estimate_here: As this sidecar learned it; an unloaded time of 0 is unknown.
        unloaded_time: Seconds of an unloaded request: the middle of what all sidecars learned.
        concurrency: Requests held before times rise, likewise.
    """

    MAX_IN_FLIGHT = 40  # more count as so many
    MIN_RESPONSES = 30.0  # of a load level
    TOLERANCE = 0.15  # by which times at a bearable load exceed unloaded ones
    MIN_CHANGE = 0.15  # of the unloaded time, below which rankings are kept
    KEPT = 0.95  # of what was counted, at each sweep
    UNLOADED_DRIFT = 1.01  # by which the unloaded time rises at each sweep
    INITIAL_CONCURRENCY = 2.0
    SHORTEST = 1e-4  # seconds, so that a logarithm exists

    def __init__(self) -> None:
        self.unloaded_time = 0.0
        self.concurrency = self.INITIAL_CONCURRENCY
        self.estimate_here = KindEstimate(0.0, self.INITIAL_CONCURRENCY)
        self._log_seconds = [0.0] * self.MAX_IN_FLIGHT  # summed, by what was in flight
        self._responses = [0.0] * self.MAX_IN_FLIGHT
        self._largest_weight = 0.0  # the size, where listed weights fall with the load
        self._listed_load = 0.0  # summed over listings
        self._listed_in_flight = 0.0

    def record(self, in_flight: int, seconds: float) -> None:
        """Counts a response to an attempt that met `in_flight` others at the endpoint."""
        level = min(in_flight, self.MAX_IN_FLIGHT - 1)
        self._log_seconds[level] += math.log(max(seconds, self.SHORTEST))
        self._responses[level] += 1

    def record_weight(self, weight: float, in_flight: int) -> None:
        """Counts a listed weight that is the size over one more than what a core has in flight."""
        self._largest_weight = max(self._largest_weight, weight)
        self._listed_load += self._largest_weight / weight - 1
        self._listed_in_flight += in_flight

    def expected_time(self, in_flight: int) -> float:
        """Returns the usual seconds of a request that meets `in_flight` others."""
        return self.unloaded_time * max(1.0, (in_flight + 1) / self.concurrency)

    def learn(self, peers: Iterable[KindEstimate]) -> bool:
        """Learns from what was counted and from the peers' estimates.

        Returns:
            Whether the unloaded time changed, so that rankings are to be made anew.
        """
        self._learn_here()
        self._forget()
        known = [*peers]
        if self.estimate_here.unloaded_time:
            known.append(self.estimate_here)
        if not known:
            return False
        middle = len(known) // 2
        self.concurrency = sorted(estimate.concurrency for estimate in known)[middle]
        unloaded_time = sorted(estimate.unloaded_time for estimate in known)[middle]
        if abs(unloaded_time - self.unloaded_time) <= self.MIN_CHANGE * self.unloaded_time:
            return False
        self.unloaded_time = unloaded_time
        return True

    def _learn_here(self) -> None:
        unloaded_time = self.estimate_here.unloaded_time
        concurrency = self.estimate_here.concurrency
        levels = self._load_levels()
        if levels:
            unloaded_time = min(unloaded_time * self.UNLOADED_DRIFT or math.inf, levels[0].seconds)
            concurrency = self._bearable(levels, unloaded_time, concurrency)
        if self._largest_weight:  # the list tells, a little later: until then no limit is known
            concurrency = self._listed_concurrency()
        self.estimate_here = KindEstimate(unloaded_time, concurrency)

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

    def _bearable(self, levels: Sequence[LoadLevel], unloaded_time: float, known: float) -> float:
        """Returns how many may be held before times rise; what was never held so far is no limit."""
        limit = unloaded_time * (1 + self.TOLERANCE)
        slow = next((n for n, level in enumerate(levels) if level.seconds > limit), None)
        bearable = levels if slow is None else levels[:slow]
        found = 1 + bearable[-1].in_flight if bearable else 1.0
        return max(known if slow is None else 1.0, found)

    def _listed_concurrency(self) -> float:
        if self._listed_load > 1:
            return max(1.0, self._listed_in_flight / self._listed_load)
        return float(self.MAX_IN_FLIGHT)

    def _forget(self) -> None:
        self._listed_load *= self.KEPT
        self._listed_in_flight *= self.KEPT
        self._log_seconds = [total * self.KEPT for total in self._log_seconds]
        self._responses = [count * self.KEPT for count in self._responses]


class ServiceTimes:
    """The model of each machine kind."""

    def __init__(self) -> None:
        self.models = dict[int, ServiceTimeModel]()

    def of(self, listed: ListedEndpoint) -> ServiceTimeModel:
        """Returns the model of the endpoint's kind."""
        model = self.models.get(listed.machine_kind)
        if model is None:
            model = self.models[listed.machine_kind] = ServiceTimeModel()
        return model

    def fastest_time(self) -> float:
        """Returns the shortest unloaded time of a known kind, 1 if none is known."""
        return min((m.unloaded_time for m in self.models.values() if m.unloaded_time), default=1.0)

    def estimates_here(self) -> dict[int, KindEstimate]:
        """Returns what this sidecar has learned, by kind."""
        return {
            kind: model.estimate_here
            for kind, model in self.models.items()
            if model.estimate_here.unloaded_time
        }

    def learn(self, peers: Sequence[dict[int, KindEstimate]]) -> bool:
        """Learns in each model; returns whether rankings are to be made anew."""
        changed = False
        for kind, model in self.models.items():
            if model.learn([estimates[kind] for estimates in peers if kind in estimates]):
                changed = True
        return changed
