"""The balancer's configuration, as decoded from the settings of a deployment."""

from __future__ import annotations

from ..lazy_dataclasses import dataclass
from .host import TrafficClass
from .slow_start import SlowStartBudget


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """A budget of retries: in any `window` seconds, `free` and a `share` of the requests taken."""

    free: float
    share: float
    window: float


@dataclass(frozen=True, slots=True)
class BalancerConfig:
    """Everything that one balancer is configured with. Times are seconds.

    Attributes:
        traffic_classes: The deployment's traffic classes; requests name them by position.
        slow_start: The bound on what warming endpoints get.
        zone: The sidecar's own zone.
        sidecar_count: All sidecars of the deployment, at least 1.
        max_attempts: Attempts that a request may have.
        parallel_attempts: Whether an attempt may begin while another of its request is in flight.
        can_cancel: Whether attempts in flight may be cancelled.
        max_retry_after: The longest time after which a rejected client is asked to come back.
        watch_list: Whether the endpoint list comes only where it is asked for.
        list_poll_interval: Within which the endpoint list is to be asked for.
        use_listed_weights: Whether listed weights are sizes by which keys are distributed.
        live_weights: Whether listed weights move with the load.
        cross_zone_price: The cost of sending a request to another zone.
        retry_limits: The retry budget, where one is stated.
        share_load: Whether sidecars publish their load to one another.
        message_price: The cost of a message between sidecars.
        tenant_allowances: Requests per second that each tenant may make at all sidecars.
        excess_weight: The weight factor of a request over the allowance.
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
