"""Rendezvous hashing: the order in which a key's endpoints are considered."""

from __future__ import annotations

import math
from _blake2 import blake2b  # hashlib's own; importing hashlib would load OpenSSL at each start
from typing import TYPE_CHECKING

from .endpoint import EndpointState

if TYPE_CHECKING:
    from .config import BalancerConfig
    from .endpoint_registry import EndpointRegistry
    from .service_time import ServiceTimes


class RendezvousRanking:
    """Orders the ready endpoints by weighted rendezvous hash, the same at all sidecars of a zone."""

    MAX_KEYS = 4096  # keys whose order is cached
    SPEED_EXPONENT = 3  # the weight is the learned speed to this power
    ZONE_EXPONENT = 25  # the weight of the own zone is e to the cross-zone price times this

    def __init__(
        self, config: BalancerConfig, registry: EndpointRegistry, service_times: ServiceTimes
    ) -> None:
        self._config = config
        self._registry = registry
        self._service_times = service_times
        self._zone_factor = math.exp(config.cross_zone_price * self.ZONE_EXPONENT)
        self._orders = dict[str, list[EndpointState]]()

    def clear(self) -> None:
        """Drops the cached orders, because endpoints or weights have changed."""
        self._orders.clear()

    def order(self, key: str) -> list[EndpointState]:
        """Returns the ready endpoints in the key's order, which is cached until `clear`."""
        order = self._orders.get(key)
        if order is None:
            if len(self._orders) > self.MAX_KEYS:
                self._orders.clear()
            fastest = self._service_times.fastest_time()
            order = sorted(self._registry.ready, key=lambda endpoint: self._distance(key, endpoint, fastest))
            self._orders[key] = order
        return order

    def _distance(self, key: str, endpoint: EndpointState, fastest: float) -> float:
        digest = blake2b(f"{key}|{endpoint.id}".encode(), digest_size=8).digest()
        fraction = (int.from_bytes(digest, "big") + 1) / 2**64
        return -math.log(fraction) / self._weight(endpoint, fastest)

    def _weight(self, endpoint: EndpointState, fastest: float) -> float:
        listed = endpoint.listed
        weight = 1.0
        if self._config.use_listed_weights and listed.weight > 0:
            weight = listed.weight
        if self._config.share_load:  # an unknown kind counts as the fastest, else it would never be learned
            weight = (self._service_times.model_of(listed).unloaded_time or fastest) ** -self.SPEED_EXPONENT
        if listed.zone == self._config.zone:
            weight *= self._zone_factor
        return weight
