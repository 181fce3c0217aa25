"""The balancer's configuration, as decoded from the settings of a deployment."""

from __future__ import annotations

from ..lazy_dataclasses import dataclass
from .host import TrafficClass
from .slow_start import SlowStartBudget


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """A retry budget: in any `window` seconds, `free` retries and `share` times the requests accepted."""

    free: float
    share: float
    window: float


@dataclass(frozen=True, slots=True)
class BalancerConfig:
    """The configuration of one balancer. Times are in seconds.

    Attributes:
        traffic_classes: The deployment's traffic classes; requests refer to them by index.
        slow_start: The limit on attempts to warming endpoints.
        zone: The sidecar's own zone, by number.
        sidecar_count: The number of sidecars in the deployment, at least 1.
        max_attempts: The most attempts of one request.
        parallel_attempts: Whether an attempt may begin while another of its request is in flight.
        can_cancel: Whether attempts in flight may be cancelled.
        max_retry_after: The longest Retry-After sent to a rejected client.
        watch_list: Whether the host must be asked to watch the endpoint list.
        list_poll_interval: The time within which the endpoint list must be requested again.
        use_listed_weights: Whether listed weights are fixed sizes by which keys are distributed.
        live_weights: Whether listed weights fall as load rises.
        cross_zone_price: The cost of sending a request to another zone.
        retry_limits: The retry budget, or None if none is configured.
        share_load: Whether sidecars publish their load to one another.
        message_price: The cost of a message between sidecars.
        tenant_allowances: Requests per second that each tenant may make at all sidecars together.
        excess_weight: The factor on the priority weight of a request over the allowance.
    """

    traffic_classes: tuple[TrafficClass, ...]
    slow_start: SlowStartBudget
    zone: int = 0
    sidecar_count: int = 1
    max_attempts: int = 1
    parallel_attempts: bool = False
    can_cancel: bool = False
    max_retry_after: float = 0.0
    watch_list: bool = True
    list_poll_interval: float = 10.0
    use_listed_weights: bool = False
    live_weights: bool = False
    cross_zone_price: float = 0.0
    retry_limits: RetryLimits | None = None
    share_load: bool = False
    message_price: float = 0.0
    tenant_allowances: tuple[float, ...] = ()
    excess_weight: float = 1.0
