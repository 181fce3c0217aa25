"""Publishes this sidecar's load to its peers, as often as the cost of messages allows."""

from __future__ import annotations

import math
from collections import Counter

from .endpoint_registry import EndpointRegistry
from .host import BalancerHost, Timer
from .peer_load import PeerLoad


class LoadPublisher:
    """Reports changes of the attempts in flight, and regularly all of them, since messages may be lost."""

    MIN_INTERVAL = 0.015  # seconds
    MAX_INTERVAL = PeerLoad.REPORT_LIFETIME / 4
    COMPLETE_INTERVAL = PeerLoad.REPORT_LIFETIME / 2
    MAX_COST = 0.008  # service points per second that messages may cost at most
    MARKS_PER_MESSAGE = 64  # endpoint marks that the price of one message covers

    def __init__(
        self, host: BalancerHost, registry: EndpointRegistry, sidecar_count: int, message_price: float
    ) -> None:
        """Starts with nothing published; `message_price` is the cost of a message per request."""
        self._host = host
        self._registry = registry
        self._sidecar_count = sidecar_count
        self._message_price = message_price
        self._published = Counter[int]()
        self._completed_at = -math.inf

    def start(self) -> None:
        """Schedules the first report."""
        self._host.schedule_timer(self.MIN_INTERVAL, Timer.PUBLISH_LOAD)

    def publish(self, now: float, request_rate: float) -> None:
        """Publishes a report if one is due, and schedules the next."""
        in_flight = Counter(endpoint.mark for endpoint in self._registry.active for _ in endpoint.in_flight)
        complete = now - self._completed_at > self.COMPLETE_INTERVAL
        if complete:
            started = in_flight
            ended = Counter[int]()
        else:
            started = in_flight - self._published
            ended = self._published - in_flight
        changes = started.total() + ended.total()
        self._host.schedule_timer(self._interval(changes, request_rate), Timer.PUBLISH_LOAD)
        if complete or changes:
            self._published = in_flight
            if complete:
                self._completed_at = now
            self._host.publish_load(tuple(started.elements()), tuple(ended.elements()), complete)

    def _interval(self, changes: int, request_rate: float) -> float:
        messages = (self._sidecar_count - 1) * changes / self.MARKS_PER_MESSAGE
        cost = messages * self._message_price / max(request_rate, 1.0)
        return min(max(self.MIN_INTERVAL, cost / self.MAX_COST), self.MAX_INTERVAL)
