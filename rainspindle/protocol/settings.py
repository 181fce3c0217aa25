"""The settings of a deployment, handed to the parts that need them; both hosts decode them here."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Any

from ..host import Effect, Group, Host, TrafficType
from ..logic import Balancer, ColdBudget, ForwardBudget
from ..values import dataclass

EFFECTS = {
    "read_like": Effect.RETRIABLE,
    "idempotency_key": Effect.FINGERPRINTED,
    "non_idempotent": Effect.BINDING,
}
CONNECT_PART = 0.25  # of the promised time
WEIGHTS = ("off", "nominal", "rough", "live")
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}


def seconds(ms: float | None) -> float:
    return (ms or 0.0) / 1000


def traffic_type(t: dict[str, Any]) -> TrafficType:
    if t["effect"] not in EFFECTS:
        raise ValueError(f"unknown effect {t['effect']!r}")
    group = t.get("dedup-scope") or "all"
    if group not in GROUPS:
        raise ValueError(f"unknown group {group!r}")
    return TrafficType(
        EFFECTS[t["effect"]], GROUPS[group], seconds(t["promised-time"]), seconds(t["expiry"]),
        seconds(t.get("memory-span")), number(t, "value", 1.0))


def number(s: dict[str, Any], key: str, absent: float) -> float:
    """A number that may be absent. Raises ValueError naming the key where it is none, or below 0."""
    value = s.get(key)
    if value is None:
        return absent
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < math.inf:
        raise ValueError(f"{key} is no number from 0 on: {value!r}")
    return float(value)


def forward_budget(contract: dict[str, Any]) -> ForwardBudget | None:
    """The budget of further forwards, where the settings state one."""
    keys = ("budget-free", "repeat-ratio", "counted-over")
    if all(contract.get(key) is None for key in keys):
        return None
    free, share, over = (number(contract, key, 0.0) for key in keys)
    if over <= 0:
        raise ValueError("counted-over is missing or 0, though a budget of forwards is stated")
    return ForwardBudget(free, share, seconds(over))


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


def soft_removal(contract: dict[str, Any]) -> bool:
    return flag(contract, "soft-removal")


def asks_list(s: dict[str, Any]) -> bool:
    """Whether the list comes only where it is asked for."""
    return choice(s, "discovery", ("on_request", "pushed"), "on_request") == "on_request"


def make_balancer(host: Host, seed: int, now: float, s: dict[str, Any]) -> Balancer:
    try:
        return balancer(host, seed, now, s)
    except KeyError as e:
        raise ValueError(f"the settings lack {e}") from None


def balancer(host: Host, seed: int, now: float, s: dict[str, Any]) -> Balancer:
    limits, contract = s["policy-limits"], s["contract"]
    # Where gone alone does not bind, the module still sends nothing there: that is within the rule.
    soft_removal(contract)
    budget = ColdBudget(contract["fall-multiple"], seconds(contract["tip-after"]), contract["cold-from"],
                        seconds(contract["cold"]))
    prices, weights = s.get("prices") or {}, choice(s, "weight-kind", WEIGHTS, "off")
    return Balancer(
        host, seed, now, peers=s.get("peers-total") or 1, zone=s["zone"],
        types=[traffic_type(t) for t in s["traffic-types"]],
        max_forwards=limits["max-forwards"], parallel=bool(limits.get("parallel-tries")),
        may_call_off=bool(limits.get("cancel")),
        max_hold_off=seconds(limits.get("max-retry-after")) if limits.get("retry-after") else 0.0,
        asks_list=asks_list(s), ask_within=seconds(contract["ask-within"]),
        use_shares=weights in ("nominal", "rough"), cross_price=number(prices, "cross-zone", 0.0),
        budget=budget, further=forward_budget(contract), tells=flag(limits, "peers"),
        peer_price=number(prices, "peer", 0.0), allowances=allowances(s),
        excess_value=number(s, "excess-value", 1.0), live=weights == "live")


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
        limits, contract = s["policy-limits"], s["contract"]
        return SocketSettings(
            tuple(t["name"] for t in s["traffic-types"]),
            tuple(seconds(t["expiry"]) for t in s["traffic-types"]),
            tuple(EFFECTS[t["effect"]] is Effect.BINDING for t in s["traffic-types"]),
            # Guards against a machine that has vanished: waiting for it must not use up the promised time.
            tuple(min(seconds(limits.get("connect-timeout")) or 1.0,
                      CONNECT_PART * seconds(t["promised-time"])) for t in s["traffic-types"]),
            tuple(seconds(t.get("memory-span")) if EFFECTS[t["effect"]] is Effect.FINGERPRINTED else math.inf
                  for t in s["traffic-types"]),
            tuple(s["failure-domains"]), seconds(limits.get("conn-idle")), seconds(contract["ask-within"]),
            seconds(contract["stop-sending-within"]), kinds(s), bool(limits.get("cancel")))
    except KeyError as e:
        raise ValueError(f"the settings lack {e}") from None
