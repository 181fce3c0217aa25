"""The plain values that the balancer receives, and the host interface through which it acts.

All times are in seconds on the host's clock.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import Protocol

from ..lazy_dataclasses import dataclass


class Idempotency(Enum):
    """The effect of executing a request twice. The values are the names that the console shows."""

    IDEMPOTENT = "retriable"
    DEDUPLICATED = "fingerprinted"  # carries an idempotency key
    NON_IDEMPOTENT = "binding"


class DeduplicationScope(Enum):
    """Which endpoints recognize each other's idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class EndpointStatus(Enum):
    """The lifecycle state of an endpoint."""

    GONE = "gone"
    DRAINING = "draining"
    READY = "ready"
    DISABLED = "left out"  # by an operator, whatever the endpoint list says; never in the list itself


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
    """One class of requests, from the settings.

    Attributes:
        idempotency: The effect of a second execution.
        deduplication_scope: The endpoints that recognize an idempotency key.
        latency_objective: The seconds after arrival within which a response is useful.
        timeout: The seconds after arrival at which the client gives up.
        deduplication_window: The seconds for which an idempotency key is remembered.
        priority_weight: The value of a response in time, relative to other classes.
    """

    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    latency_objective: float
    timeout: float
    deduplication_window: float
    priority_weight: float = 1.0


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One entry of the endpoint list; `started_at` is None if the list does not give it."""

    id: str
    cell: int
    zone: int
    weight: float
    status: EndpointStatus
    started_at: float | None
    machine_kind: int = 0


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """An update of the endpoint list.

    Attributes:
        lines: The listed endpoints, or those that changed.
        complete: Whether endpoints without an entry are gone.
        cached: Whether this is an old copy, which does not show that the list service is available.
    """

    lines: Sequence[ListedEndpoint]
    complete: bool
    cached: bool = False


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A request as the host received it.

    Attributes:
        id: Unique among the requests in flight.
        class_index: The index of its traffic class in the configuration.
        key: The key that failures are counted by; None for a request without one.
        deadline: The time at which the client gives up.
        is_client_retry: Whether the client has sent it before.
        body_incomplete: Whether its body is still being received.
        tenant: The index of its tenant in the configuration, or None if unknown.
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
        request_id: The id of the request.
        number: The attempt's number within the request, from 0.
        outcome: How the attempt ended.
        request_closed: Whether the client has its response or has disconnected.
        reported_late_by: The seconds for which the response was unread because the sidecar was short of CPU.
    """

    request_id: int
    number: int
    outcome: AttemptOutcome
    request_closed: bool = False
    reported_late_by: float = 0.0


@dataclass(frozen=True, slots=True)
class KindEstimate:
    """The performance of one machine kind.

    Attributes:
        unloaded_time: The seconds that a request takes without load.
        concurrency: The requests in flight at one endpoint above which response times rise.
    """

    unloaded_time: float
    concurrency: float


@dataclass(frozen=True, slots=True)
class LearnedState:
    """The learned state that one sidecar publishes to its peers.

    Attributes:
        request_rates: The requests per second that it receives, by tenant.
        kinds: Its estimate for each machine kind.
    """

    request_rates: tuple[float, ...]
    kinds: dict[int, KindEstimate]


class BalancerHost(Protocol):
    """The actions that the balancer can take."""

    def send_attempt(self, request_id: int, endpoint_id: str, timeout: float) -> None:
        """Sends the request to an endpoint. The attempts of a request are numbered from 0 in this order."""

    def reject(self, request_id: int, retry_after: float) -> None:
        """Answers that the request had no effect and may be retried after `retry_after` seconds."""

    def fail(self, request_id: int) -> None:
        """Answers that the request failed and may have been executed."""

    def cancel_attempt(self, request_id: int, number: int) -> None:
        """Cancels an attempt; its end must still be reported."""

    def schedule_timer(self, delay: float, timer: Timer) -> None:
        """Calls `Balancer.on_timer` after `delay` seconds."""

    def watch_endpoint_list(self) -> None:
        """Starts to watch the endpoint list."""

    def publish_load(self, started: Sequence[int], ended: Sequence[int], complete: bool) -> None:
        """Sends the other sidecars the 24-bit endpoint mark of each attempt; the message may be lost.

        `started` holds all attempts in flight if `complete`, else those that started since the last report;
        `ended` holds those that ended since.
        """

    def publish_learned_state(self, state: LearnedState) -> None:
        """Sends the learned state to the other sidecars; the message may be lost."""

    def log(self, line: str) -> None:
        """Writes one line to the sidecar's log."""
