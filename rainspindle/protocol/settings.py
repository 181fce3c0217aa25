"""Decodes the settings of a deployment for the balancer and the network code, in both hosts."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Any

from ..balancer.balancer import Balancer
from ..balancer.config import BalancerConfig, RetryLimits
from ..balancer.host import BalancerHost, DeduplicationScope, Idempotency, TrafficClass
from ..balancer.slow_start import SlowStartBudget
from ..lazy_dataclasses import dataclass

EFFECTS = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.DEDUPLICATED,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}
CONNECT_SHARE = 0.25  # connect timeout as a share of the latency objective, at most
WEIGHTS = ("off", "nominal", "rough", "live")
DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}


def seconds(ms: float | None) -> float:
    """Converts milliseconds; None becomes 0."""
    return (ms or 0.0) / 1000


def traffic_type(entry: dict[str, Any]) -> TrafficClass:
    """Decodes one traffic class. Raises KeyError, or ValueError naming the key."""
    if entry["effect"] not in tuple(EFFECTS):  # a tuple, as the value may be unhashable
        raise ValueError(f"unknown effect {entry['effect']!r}")
    group = entry.get("dedup-scope") or "all"
    if group not in tuple(DEDUPLICATION_SCOPES):
        raise ValueError(f"unknown group {group!r}")
    return TrafficClass(
        EFFECTS[entry["effect"]],
        DEDUPLICATION_SCOPES[group],
        positive_seconds(entry, "promised-time"),
        positive_seconds(entry, "expiry"),
        seconds(number(entry, "memory-span", 0.0)),
        number(entry, "value", 1.0),
    )


def positive_seconds(settings: dict[str, Any], key: str) -> float:
    """Returns a positive period, which the settings have in ms, in s. Raises KeyError, or ValueError."""
    if settings[key] is None or not number(settings, key, 0.0):
        raise ValueError(f"{key} is no number over 0: {settings[key]!r}")
    return seconds(settings[key])


def traffic_types(settings: dict[str, Any]) -> list[TrafficClass]:
    """Decodes the traffic classes, at least one. Raises ValueError, which names the one at fault."""
    listed = settings["traffic-types"]
    if not isinstance(listed, list) or not listed or not all(isinstance(entry, dict) for entry in listed):
        raise ValueError("traffic-types is no list of traffic types, one at least")
    types = list[TrafficClass]()
    for index, entry in enumerate(listed):
        try:
            types.append(traffic_type(entry))
        except KeyError as error:
            raise ValueError(f"traffic-types[{index}]: the settings lack {error}") from None
        except ValueError as error:
            raise ValueError(f"traffic-types[{index}]: {error}") from None
    return types


def type_names(settings: dict[str, Any]) -> tuple[str, ...]:
    """Returns the names by which clients select a traffic class. Raises ValueError, or KeyError."""
    names = [entry["name"] for entry in settings["traffic-types"]]
    for index, name in enumerate(names):
        if not isinstance(name, str) or not name:
            raise ValueError(f"traffic-types[{index}]: name is no text: {name!r}")
        if name in names[:index]:
            raise ValueError(f"traffic-types[{index}]: {name!r} is there twice")
    return tuple(names)


def number(settings: dict[str, Any], key: str, absent: float) -> float:
    """Returns an optional number, `absent` without one. Raises ValueError if it is no number or below 0."""
    value = settings.get(key)
    if value is None:
        return absent
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < math.inf:
        raise ValueError(f"{key} is no number from 0 on: {value!r}")
    return float(value)


def required_number(settings: dict[str, Any], key: str) -> float:
    """Returns a required number. Raises KeyError, or ValueError naming the key."""
    if settings[key] is None:
        raise ValueError(f"{key} is no number from 0 on: None")
    return number(settings, key, 0.0)


def required_object(settings: dict[str, Any], key: str) -> dict[str, Any]:
    """Returns a copy of a required object. Raises KeyError, or ValueError naming the key."""
    if not isinstance(settings[key], dict):
        raise ValueError(f"{key} is no object: {settings[key]!r}")
    return dict(settings[key])


def max_attempts(limits: dict[str, Any]) -> int:
    """Returns the maximum of attempts for a request. Raises KeyError, or ValueError."""
    maximum = limits["max-forwards"]
    if (
        isinstance(maximum, bool)
        or not isinstance(maximum, int | float)
        or maximum < 1
        or maximum != int(maximum)
    ):
        raise ValueError(f"max-forwards is no whole number from 1 on: {maximum!r}")
    return int(maximum)


def retry_limits(contract: dict[str, Any]) -> RetryLimits | None:
    """Returns the retry budget, where the settings state one."""
    keys = ("budget-free", "repeat-ratio", "counted-over")
    if all(contract.get(key) is None for key in keys):
        return None
    free, share, over = (number(contract, key, 0.0) for key in keys)
    if over <= 0:
        raise ValueError("counted-over is missing or 0, though a retry budget is configured")
    return RetryLimits(free, share, seconds(over))


def flag(settings: dict[str, Any], key: str) -> bool:
    """Returns an optional flag, False without one. Raises ValueError naming the key."""
    value = settings.get(key)
    if value is not None and not isinstance(value, bool):
        raise ValueError(f"{key} is neither true nor false: {value!r}")
    return bool(value)


def choice(settings: dict[str, Any], key: str, options: Sequence[str], absent: str) -> str:
    """Returns one of the options, `absent` without a value. Raises ValueError naming the key."""
    value = settings.get(key)
    if value is not None and value not in options:
        raise ValueError(f"{key} is none of {', '.join(options)}: {value!r}")
    return absent if value is None else str(value)


def allowances(settings: dict[str, Any]) -> tuple[float, ...]:
    """Returns the requests per second that each tenant may send to all sidecars together."""
    tenants = settings.get("tenants") or []
    if not isinstance(tenants, list) or not all(isinstance(tenant, dict) for tenant in tenants):
        raise ValueError("tenants is no list of tenants")
    return tuple(number(tenant, "allowance-per-s", 0.0) or math.inf for tenant in tenants)


def kinds(settings: dict[str, Any]) -> tuple[str, ...]:
    """Returns the names of the machine kinds; there may be none."""
    named = settings.get("kinds") or []
    if not isinstance(named, list) or not all(isinstance(name, str) for name in named):
        raise ValueError(f"kinds is no list of names: {named!r}")
    return tuple(named)


def zones(settings: dict[str, Any]) -> tuple[str, ...]:
    """Returns the names of the failure domains; a deployment may have none."""
    named = settings.get("failure-domains") or []
    if not isinstance(named, list) or not all(isinstance(name, str) for name in named):
        raise ValueError(f"failure-domains is no list of names: {named!r}")
    return tuple(named)


def soft_removal(contract: dict[str, Any]) -> bool:
    """Returns whether endpoints gone from the list may still get requests."""
    return flag(contract, "soft-removal")


def asks_list(settings: dict[str, Any]) -> bool:
    """Returns whether the endpoint list is polled instead of pushed."""
    return choice(settings, "discovery", ("on_request", "pushed"), "on_request") == "on_request"


def make_balancer(host: BalancerHost, seed: int, now: float, settings: dict[str, Any]) -> Balancer:
    """Makes the balancer that the settings describe.

    Raises:
        ValueError: The settings are wrong; the message names the key.
    """
    try:
        config = balancer_config(settings)
    except KeyError as error:
        raise ValueError(f"the settings lack {error}") from None
    return Balancer(host, config, seed, now)


def balancer_config(settings: dict[str, Any]) -> BalancerConfig:
    """Decodes the balancer's configuration.

    Raises:
        KeyError: A key is missing.
        ValueError: A value is wrong; the message names its key.
    """
    limits, contract = required_object(settings, "policy-limits"), required_object(settings, "contract")
    # Even with soft removal the balancer sends nothing to endpoints gone from the list; the rule allows that.
    soft_removal(contract)
    slow_start = SlowStartBudget(
        required_number(contract, "fall-multiple"),
        seconds(required_number(contract, "tip-after")),
        required_number(contract, "cold-from"),
        seconds(required_number(contract, "cold")),
    )
    prices, weights = settings.get("prices") or {}, choice(settings, "weight-kind", WEIGHTS, "off")
    return BalancerConfig(
        tuple(traffic_types(settings)),
        slow_start,
        zone=settings["zone"],
        sidecar_count=max(settings.get("peers-total") or 1, 1),
        max_attempts=max_attempts(limits),
        parallel_attempts=flag(limits, "parallel-tries"),
        can_cancel=flag(limits, "cancel"),
        max_retry_after=seconds(number(limits, "max-retry-after", 0.0))
        if flag(limits, "retry-after")
        else 0.0,
        watch_list=asks_list(settings),
        list_poll_interval=seconds(required_number(contract, "ask-within")),
        use_listed_weights=weights in ("nominal", "rough"),
        live_weights=weights == "live",
        cross_zone_price=number(prices, "cross-zone", 0.0),
        retry_limits=retry_limits(contract),
        share_load=flag(limits, "peers"),
        message_price=number(prices, "peer", 0.0),
        tenant_allowances=allowances(settings),
        excess_weight=number(settings, "excess-value", 1.0),
    )


@dataclass(frozen=True, slots=True)
class SocketSettings:
    """The settings that the network code needs."""

    type_names: tuple[str, ...]
    # By traffic class:
    expiries: tuple[float, ...]  # seconds until a request expires
    binding: tuple[bool, ...]  # whether its requests are non-idempotent
    idempotent: tuple[bool, ...]  # whether its requests may be executed any number of times
    connect_times: tuple[float, ...]  # connect timeout in seconds
    memory_spans: tuple[float, ...]  # seconds within which a retry may follow an attempt that may have run

    zones: tuple[str, ...]
    idle_time: float  # seconds after which an endpoint closes an idle connection
    ask_within: float  # seconds within which the endpoint list must be polled again
    drain_grace: float  # seconds after which a draining endpoint must get no more requests
    kinds: tuple[str, ...]  # machine kinds, as the endpoint list names them
    may_call_off: bool  # whether an attempt may be cancelled
    max_retry_after: float = 0.0  # the longest Retry-After in seconds, 0 where none may be sent


def socket_settings(settings: dict[str, Any]) -> SocketSettings:
    """Decodes the settings for the network code. Raises ValueError naming the key."""
    try:
        limits, contract, types = (
            required_object(settings, "policy-limits"),
            required_object(settings, "contract"),
            traffic_types(settings),
        )
        connect_timeout = seconds(number(limits, "connect-timeout", 0.0)) or 1.0
        return SocketSettings(
            type_names(settings),
            tuple(traffic_class.timeout for traffic_class in types),
            tuple(traffic_class.idempotency is Idempotency.NON_IDEMPOTENT for traffic_class in types),
            tuple(traffic_class.idempotency is Idempotency.IDEMPOTENT for traffic_class in types),
            # Waiting for a machine that has vanished must not use up the time of the latency objective.
            tuple(
                min(connect_timeout, CONNECT_SHARE * traffic_class.latency_objective)
                for traffic_class in types
            ),
            tuple(
                traffic_class.deduplication_window
                if traffic_class.idempotency is Idempotency.DEDUPLICATED
                else math.inf
                for traffic_class in types
            ),
            zones(settings),
            seconds(number(limits, "conn-idle", 0.0)),
            seconds(required_number(contract, "ask-within")),
            seconds(required_number(contract, "stop-sending-within")),
            kinds(settings),
            flag(limits, "cancel"),
            seconds(number(limits, "max-retry-after", 0.0)) if flag(limits, "retry-after") else 0.0,
        )
    except KeyError as error:
        raise ValueError(f"the settings lack {error}") from None
