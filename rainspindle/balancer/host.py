"""What the balancer is given, as plain values, and the host interface through which it acts.

All times are seconds on the host's clock.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import Protocol

from ..lazy_dataclasses import dataclass


class Idempotency(Enum):
    """What a second execution of a request would do. The values are the console's names."""

    IDEMPOTENT = "retriable"
    DEDUPLICATED = "fingerprinted"  # carries an idempotency key
    NON_IDEMPOTENT = "binding"


class DeduplicationScope(Enum):
    """The endpoints that recognize each other's idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class EndpointStatus(Enum):
    """The lifecycle state of an endpoint."""

    GONE = "gone"
    DRAINING = "draining"
    READY = "ready"
    DISABLED = "left out"  # by an operator's order, whatever the endpoint list says; never listed


class AttemptOutcome(Enum):
    """How an attempt ended. The values appear in log lines."""

    SERVED = "served"
    ERROR = "error"
    OVERLOADED = "overloaded"  # rejected by the endpoint before execution
    TIMED_OUT = "timed out"
    NOT_CONNECTED = "not connected"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


NEVER_EXECUTED = (AttemptOutcome.OVERLOADED, AttemptOutcome.NOT_CONNECTED, AttemptOutcome.NOT_SENT)


class Timer(Enum):
    """The timers that the balancer sets. The values are opaque tokens on the simulator's wire."""

    TICK = "tick"
    LIST_RETRY = "list"
    PUBLISH_LOAD = "tell"


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """One class of requests, as the settings describe it.

    Attributes:
        idempotency: What a second execution would do.
        deduplication_scope: Where an idempotency key is recognized.
        latency_objective: Seconds after arrival within which a response is worth something.
        timeout: Seconds after arrival at which the client gives up.
        deduplication_window: Seconds for which an idempotency key is remembered.
        priority_weight: What a response in time is worth, relative to other classes.
    """

    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    latency_objective: float
    timeout: float
    deduplication_window: float
    priority_weight: float = 1.0


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One line of the endpoint list."""

    id: str
    cell: int
    zone: int
    weight: float
    status: EndpointStatus
    started_at: float | None
    machine_kind: int = 0


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """What the host learned of the endpoint list.

    Attributes:
        lines: The listed endpoints, or those that changed.
        complete: Whether endpoints without a line are gone.
        cached: Whether this is an old copy, which proves nothing about the list service.
    """

    lines: Sequence[ListedEndpoint]
    complete: bool
    cached: bool = False


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A request as the host takes it.

    Attributes:
        id: Unique among the requests in flight.
        class_index: The position of its traffic class in the configuration.
        key: What failures are counted by; None for a request without one.
        deadline: When the client gives up.
        is_client_retry: Whether the client sent it before.
        body_incomplete: Whether its body is still being received.
        tenant: The position of its tenant in the configuration, if known.
    """

    id: int
    class_index: int
    key: str | None
    deadline: float
    is_client_retry: bool = False
    body_incomplete: bool = False
    tenant: int | None = None


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How one attempt of a request ended.

    Attributes:
        request_id: The request.
        number: Which of its attempts, from 0.
        outcome: What happened.
        request_closed: Whether the client has its response or has disconnected.
        reported_late_by: Seconds that the response lay unread because the sidecar had no CPU.
    """

    request_id: int
    number: int
    outcome: AttemptOutcome
    request_closed: bool = False
    reported_late_by: float = 0.0


@dataclass(frozen=True, slots=True)
class KindEstimate:
    """What one machine kind can do: seconds of an unloaded request, and requests held before times rise."""

    unloaded_time: float
    concurrency: float


@dataclass(frozen=True, slots=True)
class LearnedState:
    """What one sidecar has learned and publishes to its peers.

    Attributes:
        request_rates: Requests per second that it received, by tenant.
        kinds: Its estimate for each machine kind.
    """

    request_rates: tuple[float, ...]
    kinds: dict[int, KindEstimate]


class BalancerHost(Protocol):
    """Everything that the balancer can do."""

    def send_attempt(self, request_id: int, endpoint_id: str, timeout: float) -> None:
        """Sends the request to an endpoint. A request's attempts are numbered 0, 1, 2 ... in this order."""

    def reject(self, request_id: int, retry_after: float) -> None:
        """Answers that the request had no effect and may be sent again after so many seconds."""

    def fail(self, request_id: int) -> None:
        """Answers that the request failed and may have been executed."""

    def cancel_attempt(self, request_id: int, number: int) -> None:
        """Gives up an attempt; its end is reported all the same."""

    def schedule_timer(self, delay: float, timer: Timer) -> None:
        """Calls `Balancer.on_timer` after `delay` seconds."""

    def watch_endpoint_list(self) -> None:
        """Follows the endpoint list from now on."""

    def publish_load(self, started: Sequence[int], ended: Sequence[int], complete: bool) -> None:
        """Sends the other sidecars the endpoint mark (24 bits) of each attempt; may be lost.

        `started` holds all attempts in flight if `complete`, else those since the last report, and `ended`
        those that ended since.
        """

    def publish_learned_state(self, state: LearnedState) -> None:
        """Sends the other sidecars what was learned; may be lost."""

    def log(self, line: str) -> None:
        """Writes one line to the sidecar's log."""
