"""Decides whether an endpoint has capacity for one more attempt."""

from __future__ import annotations

from ..lazy_dataclasses import dataclass
from .endpoint import EndpointState
from .peer_load import PeerLoad
from .service_time import ServiceTimes
from .slow_start import SlowStart


@dataclass(eq=False, slots=True)
class EndpointCapacity:
    """Limits the attempts in flight at an endpoint: by the design's skip limit, a window, and slow start.

    Attributes:
        shares_load: Whether peers publish their load; then the learned concurrency replaces the window.
        peer_load: The attempts that peers have in flight.
        service_times: The learned concurrency of each machine kind.
        slow_start: Limits the attempts that warming endpoints get.
    """

    SKIP_FACTOR = 1.25  # an endpoint is skipped above this multiple of the mean in flight
    SKIP_EXTRA = 2  # attempts added to that limit where no concurrency is known
    MAX_OVER_CONCURRENCY = 3  # the most in flight, as a multiple of the concurrency

    shares_load: bool
    peer_load: PeerLoad
    service_times: ServiceTimes
    slow_start: SlowStart

    def in_flight(self, endpoint: EndpointState) -> int:
        """Returns the attempts in flight at the endpoint: this sidecar's, plus the peers' last published."""
        return len(endpoint.in_flight) + max(0, self.peer_load.in_flight[endpoint.mark])

    def has_room(self, endpoint: EndpointState, mean_in_flight: float, now: float) -> bool:
        """Returns whether the endpoint may get one more attempt.

        Args:
            endpoint: The endpoint.
            mean_in_flight: The mean number of attempts in flight at an endpoint.
            now: The current time.
        """
        in_flight = self.in_flight(endpoint)
        extra = float(self.SKIP_EXTRA)
        limit = endpoint.window
        if self.shares_load:
            concurrency = self.service_times.model_of(endpoint.listed).concurrency
            extra = concurrency - 1
            limit = self.MAX_OVER_CONCURRENCY * concurrency
        if in_flight > self.SKIP_FACTOR * mean_in_flight + extra or in_flight >= limit:
            return False
        return self.slow_start.has_budget(endpoint, now)
