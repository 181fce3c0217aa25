"""Tenant quotas: requests over a tenant's allowance count with less weight."""

from __future__ import annotations

from collections.abc import Sequence

from .random_sequence import RandomSequence


class TenantQuotas:
    """The request rates of tenants at this sidecar, against allowances that all sidecars share.

    Attributes:
        rates: Requests per second at this sidecar, by tenant.
        excess: The fraction of each tenant's requests, at all sidecars, that is over its allowance.
    """

    def __init__(self, allowances: Sequence[float], excess_weight: float, random: RandomSequence) -> None:
        """Starts with no requests counted.

        Args:
            allowances: Requests per second that each tenant may make at all sidecars together.
            excess_weight: The weight factor of a request over the allowance.
            random: Selects which requests count as over the allowance.
        """
        self.rates = [0.0] * len(allowances)
        self.excess = [0.0] * len(allowances)
        self._allowances = tuple(allowances)
        self._excess_weight = excess_weight
        self._random = random
        self._requests = [0.0] * len(allowances)  # since the last sweep

    def record_request(self, tenant: int | None) -> float:
        """Counts a request; returns the factor on its priority weight."""
        if tenant is None or tenant >= len(self._requests):
            return 1.0
        self._requests[tenant] += 1
        return self._excess_weight if self._random.fraction() < self.excess[tenant] else 1.0

    def sweep(self, elapsed: float, peer_rates: Sequence[Sequence[float]]) -> None:
        """Updates the rates and the excess, `elapsed` seconds after the last sweep."""
        self.rates = [
            (rate + requests / elapsed) / 2 for rate, requests in zip(self.rates, self._requests, strict=True)
        ]
        self._requests = [0.0] * len(self.rates)
        for tenant, allowance in enumerate(self._allowances):
            rate = self.rates[tenant] + sum(rates[tenant] for rates in peer_rates if tenant < len(rates))
            self.excess[tenant] = max(0.0, 1 - allowance / rate) if rate else 0.0
