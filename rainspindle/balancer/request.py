"""The state of requests and attempts in the balancer."""

from __future__ import annotations

import math

from ..lazy_dataclasses import dataclass, field
from .endpoint import EndpointState
from .failover import CircuitBreaker
from .host import DeduplicationScope, Idempotency, ListedEndpoint, TrafficClass


@dataclass(eq=False, slots=True)
class RequestState:
    """A request that has no final response yet, or still has attempts in flight.

    Attributes:
        id: The host's number for it.
        traffic_class: Its traffic class.
        key: The key that failures are counted by; random for a request without a key.
        objective_at: The time until which a response is useful.
        deadline: The time at which the client gives up.
        is_client_retry: Whether the client has sent it before.
        has_key: Whether `key` came with the request.
        body_incomplete: Whether its body is still being received.
        shed_draw: The random fraction that decides whether it is shed: the same for all of its attempts, else
            several attempts would be less likely to be shed than one.
        attempt_count: The number of attempts so far.
        in_flight: The number of attempts that have not ended.
        tried: The endpoints of its attempts.
        executed_since: The sending time of the first attempt that may have been executed.
        executed_at: The endpoint of that attempt, as it was listed then.
        body_consumed: Whether a part of the body is no longer kept, so that no further attempt is possible.
    """

    id: int
    traffic_class: TrafficClass
    key: str
    objective_at: float
    deadline: float
    is_client_retry: bool
    has_key: bool
    body_incomplete: bool
    shed_draw: float
    attempt_count: int = 0
    in_flight: int = 0
    tried: list[EndpointState] = field(default_factory=list)
    executed_since: float = math.inf
    executed_at: ListedEndpoint | None = None
    body_consumed: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether it may be executed any number of times."""
        return self.traffic_class.idempotency is Idempotency.IDEMPOTENT

    @property
    def is_non_idempotent(self) -> bool:
        """Whether it must not be executed twice anywhere."""
        return self.traffic_class.idempotency is Idempotency.NON_IDEMPOTENT

    def may_retry(self, now: float) -> bool:
        """Returns whether another attempt is permitted after those that may have been executed."""
        if self.executed_at is None or self.is_idempotent:
            return True
        if self.is_non_idempotent:
            return False
        return now - self.executed_since < self.traffic_class.deduplication_window

    def may_run_at(self, endpoint: ListedEndpoint) -> bool:
        """Returns whether a second execution at `endpoint` would be recognized or harmless."""
        executed_at = self.executed_at
        if executed_at is None or self.is_idempotent:
            return True
        scope = self.traffic_class.deduplication_scope
        if scope is DeduplicationScope.ALL:
            return True
        if scope is DeduplicationScope.ZONE:
            return endpoint.zone == executed_at.zone
        return endpoint.cell == executed_at.cell

    def may_be_rejected(self) -> bool:
        """Returns whether the client may send it again without the risk of a second effect."""
        if self.executed_at is None and not self.in_flight:
            return True
        if self.is_idempotent:
            return True
        return (
            self.traffic_class.idempotency is Idempotency.DEDUPLICATED
            and self.traffic_class.deduplication_scope is DeduplicationScope.ALL
        )


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt of a request at an endpoint.

    Attributes:
        request: The request.
        number: Its number within the request, from 0.
        endpoint: The endpoint that it was sent to.
        listed: That endpoint as it was listed then; a later list may lack its zone and cell.
        sent_at: The time at which it was sent, or at which its body was complete.
        trial: The circuit breaker, of the key or of the endpoint, for which it is the trial, or None.
        body_incomplete: Whether the endpoint lacks a part of the body and so has not begun to work.
        in_flight_before: The attempts in flight at the endpoint when it was sent.
        overdue: Whether it was counted as a failure because the endpoint answered nothing.
        overtaken: Whether it is overdue although a later attempt there was answered, so that its connection
            and not the endpoint is taken to be at fault.
        response_started: Whether the response is being forwarded to the client.
    """

    request: RequestState
    number: int
    endpoint: EndpointState
    listed: ListedEndpoint
    sent_at: float
    trial: CircuitBreaker | None
    body_incomplete: bool = False
    in_flight_before: int = 0
    overdue: bool = False
    overtaken: bool = False
    response_started: bool = False
