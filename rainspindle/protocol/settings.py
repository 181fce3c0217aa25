"""The settings of a deployment, handed to the parts that need them; both hosts decode them here."""

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
CONNECT_PART = 0.25  # of the promised time
WEIGHTS = ("off", "nominal", "rough", "live")
GROUPS = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}


def seconds(ms: float | None) -> float:
    return (ms or 0.0) / 1000


def traffic_type(t: dict[str, Any]) -> TrafficClass:
    if t["effect"] not in tuple(EFFECTS):  # a tuple also looks for what has no hash
        raise ValueError(f"unknown effect {t['effect']!r}")
    group = t.get("dedup-scope") or "all"
    if group not in tuple(GROUPS):
        raise ValueError(f"unknown group {group!r}")
    return TrafficClass(
        EFFECTS[t["effect"]],
        GROUPS[group],
        period(t, "promised-time"),
        period(t, "expiry"),
        seconds(number(t, "memory-span", 0.0)),
        number(t, "value", 1.0),
    )


def period(s: dict[str, Any], key: str) -> float:
    """Seconds, of which the settings tell milliseconds. Raises KeyError, or ValueError naming the key."""
    if s[key] is None or not number(s, key, 0.0):
        raise ValueError(f"{key} is no number over 0: {s[key]!r}")
    return seconds(s[key])


def traffic_types(s: dict[str, Any]) -> list[TrafficClass]:
    """At least one. Raises ValueError, which says which one is at fault."""
    listed = s["traffic-types"]
    if not isinstance(listed, list) or not listed or not all(isinstance(t, dict) for t in listed):
        raise ValueError("traffic-types is no list of traffic types, one at least")
    types = list[TrafficClass]()
    for n, t in enumerate(listed):
        try:
            types.append(traffic_type(t))
        except KeyError as fault:
            raise ValueError(f"traffic-types[{n}]: the settings lack {fault}") from None
        except ValueError as fault:
            raise ValueError(f"traffic-types[{n}]: {fault}") from None
    return types


def type_names(s: dict[str, Any]) -> tuple[str, ...]:
    """The names by which clients ask for the traffic types."""
    names = [t["name"] for t in s["traffic-types"]]
    for n, name in enumerate(names):
        if not isinstance(name, str) or not name:
            raise ValueError(f"traffic-types[{n}]: name is no text: {name!r}")
        if name in names[:n]:
            raise ValueError(f"traffic-types[{n}]: {name!r} is there twice")
    return tuple(names)


def number(s: dict[str, Any], key: str, absent: float) -> float:
    """A number that may be absent. Raises ValueError naming the key where it is none, or below 0."""
    value = s.get(key)
    if value is None:
        return absent
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < math.inf:
        raise ValueError(f"{key} is no number from 0 on: {value!r}")
    return float(value)


def needed(s: dict[str, Any], key: str) -> float:
    """A number that has to be there. Raises KeyError, or ValueError naming the key."""
    if s[key] is None:
        raise ValueError(f"{key} is no number from 0 on: None")
    return number(s, key, 0.0)


def part(s: dict[str, Any], key: str) -> dict[str, Any]:
    if not isinstance(s[key], dict):
        raise ValueError(f"{key} is no object: {s[key]!r}")
    return dict(s[key])


def most_forwards(limits: dict[str, Any]) -> int:
    most = limits["max-forwards"]
    if isinstance(most, bool) or not isinstance(most, int | float) or most < 1 or most != int(most):
        raise ValueError(f"max-forwards is no whole number from 1 on: {most!r}")
    return int(most)


def retry_limits(contract: dict[str, Any]) -> RetryLimits | None:
    """Returns the retry budget, where the settings state one."""
    keys = ("budget-free", "repeat-ratio", "counted-over")
    if all(contract.get(key) is None for key in keys):
        return None
    free, share, over = (number(contract, key, 0.0) for key in keys)
    if over <= 0:
        raise ValueError("counted-over is missing or 0, though a budget of forwards is stated")
    return RetryLimits(free, share, seconds(over))


def flag(s: dict[str, Any], key: str) -> bool:
    value = s.get(key)
    if value is not None and not isinstance(value, bool):
        raise ValueError(f"{key} is neither true nor false: {value!r}")
    return bool(value)


def choice(s: dict[str, Any], key: str, of: Sequence[str], absent: str) -> str:
    value = s.get(key)
    if value is not None and value not in of:
        raise ValueError(f"{key} is none of {', '.join(of)}: {value!r}")
    return absent if value is None else str(value)


def allowances(s: dict[str, Any]) -> tuple[float, ...]:
    """Exchanges a second that each tenant may ask of all sidecars."""
    tenants = s.get("tenants") or []
    if not isinstance(tenants, list) or not all(isinstance(tenant, dict) for tenant in tenants):
        raise ValueError("tenants is no list of tenants")
    return tuple(number(tenant, "allowance-per-s", 0.0) or math.inf for tenant in tenants)


def kinds(s: dict[str, Any]) -> tuple[str, ...]:
    named = s.get("kinds") or []
    if not isinstance(named, list) or not all(isinstance(name, str) for name in named):
        raise ValueError(f"kinds is no list of names: {named!r}")
    return tuple(named)


def zones(s: dict[str, Any]) -> tuple[str, ...]:
    """Their names; a deployment may have none."""
    named = s.get("failure-domains") or []
    if not isinstance(named, list) or not all(isinstance(name, str) for name in named):
        raise ValueError(f"failure-domains is no list of names: {named!r}")
    return tuple(named)


def soft_removal(contract: dict[str, Any]) -> bool:
    return flag(contract, "soft-removal")


def asks_list(s: dict[str, Any]) -> bool:
    """Whether the list comes only where it is asked for."""
    return choice(s, "discovery", ("on_request", "pushed"), "on_request") == "on_request"


def make_balancer(host: BalancerHost, seed: int, now: float, s: dict[str, Any]) -> Balancer:
    """Makes the balancer that the settings describe.

    Raises:
        ValueError: The settings are wrong; the message names the key.
    """
    try:
        config = balancer_config(s)
    except KeyError as fault:
        raise ValueError(f"the settings lack {fault}") from None
    return Balancer(host, config, seed, now)


def balancer_config(s: dict[str, Any]) -> BalancerConfig:
    """Decodes the balancer's configuration.

    Raises:
        KeyError: A key is missing.
        ValueError: A value is wrong; the message names its key.
    """
    limits, contract = part(s, "policy-limits"), part(s, "contract")
    # Where gone alone does not bind, the balancer still sends nothing there: that is within the rule.
    soft_removal(contract)
    slow_start = SlowStartBudget(
        needed(contract, "fall-multiple"),
        seconds(needed(contract, "tip-after")),
        needed(contract, "cold-from"),
        seconds(needed(contract, "cold")),
    )
    prices, weights = s.get("prices") or {}, choice(s, "weight-kind", WEIGHTS, "off")
    return BalancerConfig(
        tuple(traffic_types(s)),
        slow_start,
        zone=s["zone"],
        sidecar_count=max(s.get("peers-total") or 1, 1),
        max_attempts=most_forwards(limits),
        parallel_attempts=flag(limits, "parallel-tries"),
        can_cancel=flag(limits, "cancel"),
        max_retry_after=seconds(number(limits, "max-retry-after", 0.0))
        if flag(limits, "retry-after")
        else 0.0,
        watch_list=asks_list(s),
        list_poll_interval=seconds(needed(contract, "ask-within")),
        use_listed_weights=weights in ("nominal", "rough"),
        live_weights=weights == "live",
        cross_zone_price=number(prices, "cross-zone", 0.0),
        retry_limits=retry_limits(contract),
        share_load=flag(limits, "peers"),
        message_price=number(prices, "peer", 0.0),
        tenant_allowances=allowances(s),
        excess_weight=number(s, "excess-value", 1.0),
    )


@dataclass(frozen=True, slots=True)
class SocketSettings:
    """What the network code needs of them."""

    type_names: tuple[str, ...]
    expiries: tuple[float, ...]  # by traffic type
    binding: tuple[bool, ...]
    connect_times: tuple[float, ...]
    memory_spans: tuple[float, ...]  # within which an attempt may follow one that may have run
    zones: tuple[str, ...]
    idle_time: float  # an endpoint closes a connection that stood idle for this long
    ask_within: float
    drain_grace: float
    kinds: tuple[str, ...]  # of machine, as the list names them
    may_call_off: bool  # whether an attempt may be given up


def socket_settings(s: dict[str, Any]) -> SocketSettings:
    try:
        limits, contract, types = part(s, "policy-limits"), part(s, "contract"), traffic_types(s)
        connect_timeout = seconds(number(limits, "connect-timeout", 0.0)) or 1.0
        return SocketSettings(
            type_names(s),
            tuple(t.timeout for t in types),
            tuple(t.idempotency is Idempotency.NON_IDEMPOTENT for t in types),
            # Guards against a machine that has vanished: waiting for it must not use up the promised time.
            tuple(min(connect_timeout, CONNECT_PART * t.latency_objective) for t in types),
            tuple(
                t.deduplication_window if t.idempotency is Idempotency.DEDUPLICATED else math.inf
                for t in types
            ),
            zones(s),
            seconds(number(limits, "conn-idle", 0.0)),
            seconds(needed(contract, "ask-within")),
            seconds(needed(contract, "stop-sending-within")),
            kinds(s),
            flag(limits, "cancel"),
        )
    except KeyError as e:
        raise ValueError(f"the settings lack {e}") from None
