"""Whether an endpoint has capacity for one more attempt."""

from __future__ import annotations

from ..lazy_dataclasses import dataclass
from .endpoint import EndpointState
from .peer_load import PeerLoad
from .service_time import ServiceTimes
from .slow_start import SlowStart


@dataclass(eq=False, slots=True)
class EndpointCapacity:
    """Bounds what is in flight at an endpoint: the design's skip line, a window, and the slow-start budget.

    Attributes:
        shares_load: Whether peers publish their load; then the concurrency that was learned takes the place
            of the window.
        peer_load: What the peers have in flight.
        service_times: The concurrency of machine kinds.
        slow_start: The budget of warming endpoints.
    """

    SKIP_FACTOR = 1.25  # times the mean in flight, above which an endpoint is passed over
    SKIP_EXTRA = 2  # in addition, where no concurrency is known
    MAX_OVER_CONCURRENCY = 3  # in flight at most, in parts of the concurrency

    shares_load: bool
    peer_load: PeerLoad
    service_times: ServiceTimes
    slow_start: SlowStart

    def in_flight(self, endpoint: EndpointState) -> int:
        """Returns this sidecar's attempts at the endpoint, and those of the peers as last published."""
        return len(endpoint.in_flight) + max(0, self.peer_load.in_flight[endpoint.mark])

    def has_room(self, endpoint: EndpointState, mean_in_flight: float, now: float) -> bool:
        """Returns whether the endpoint may get one more attempt.

        Args:
            endpoint: The endpoint.
            mean_in_flight: What an endpoint has in flight in the mean.
            now: The time.
        """
        in_flight = self.in_flight(endpoint)
        extra = float(self.SKIP_EXTRA)
        limit = endpoint.window
        if self.shares_load:
            concurrency = self.service_times.of(endpoint.listed).concurrency
            extra = concurrency - 1
            limit = self.MAX_OVER_CONCURRENCY * concurrency
        if in_flight > self.SKIP_FACTOR * mean_in_flight + extra or in_flight >= limit:
            return False
        return self.slow_start.has_budget(endpoint, now)
