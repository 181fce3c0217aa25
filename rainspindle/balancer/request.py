"""The requests and attempts that the balancer holds."""

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
        key: What failures are counted by; random for a request without a key.
        objective_at: Until when a response is worth something.
        deadline: When the client gives up.
        is_client_retry: Whether the client sent it before.
        has_key: Whether `key` came with the request.
        body_incomplete: Whether its body is still being received.
        shed_draw: The fraction that decides whether it is shed: one for all of its attempts, or repeated
            attempts would wear the probability down.
        attempt_count: Attempts made so far.
        in_flight: Attempts without an end.
        tried: Endpoints that its attempts went to.
        executed_since: When the first attempt was sent that may have been executed.
        executed_at: That attempt's endpoint, as it was listed then.
        body_consumed: Whether a part of the body is gone, so that no further attempt is possible.
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
        """Returns whether another attempt may follow those that may have been executed."""
        if self.executed_at is None or self.is_idempotent:
            return True
        if self.is_non_idempotent:
            return False
        return now - self.executed_since < self.traffic_class.deduplication_window

    def may_run_at(self, endpoint: ListedEndpoint) -> bool:
        """Returns whether a second execution at `endpoint` would be recognized, or is harmless."""
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
        """Returns whether the client may send it again without risk of a second effect."""
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
        number: Which of its attempts, from 0.
        endpoint: Where it was sent.
        listed: The endpoint as it was listed then; a later list may lack its zone and cell.
        sent_at: When it was sent, or when its body was complete.
        trial: The circuit breaker, of the key or of the endpoint, for which it is the trial.
        body_incomplete: Whether the endpoint has not received the whole body, and so has not begun.
        in_flight_before: What the endpoint had in flight when it was sent.
        overdue: Whether it was counted as a failure for its silence.
        overtaken: Whether it is overdue while a later attempt there was answered, so that its connection and
            not the endpoint is taken to be at fault.
        response_started: Whether the client is being sent the response.
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
