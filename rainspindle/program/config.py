"""The configuration of one sidecar: a JSON file, and the environment for what it leaves out."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from ..protocol.client import Unreadable
from ..protocol.discovery import ListChange, ListDecoder
from ..protocol.settings import SocketSettings, asks_list, flag, make_balancer, socket_settings
from ..routing.facade import Facade
from ..transport.address import Address, parse_address


class ConfigFault(Exception):
    """A configuration that cannot be served, named in one line."""


@dataclass(frozen=True, slots=True)
class Peers:
    """Where this sidecar hears the others of its pool, and where they hear it."""

    listen: Address
    others: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    cores: float
    sockets: int
    memory_mb: float
    known: ListChange
    decoder: ListDecoder
    settings: SocketSettings
    raw_settings: dict[str, Any]
    console: Address | None = None  # the second address, for staff
    peers: Peers | None = None  # the other sidecars of a pool

    @property
    def asks_list(self) -> bool:
        """Whether the module says when the list is to be watched."""
        return asks_list(self.raw_settings)

    def facade(self, now: float) -> Facade:
        return Facade(now, lambda host: make_balancer(host, self.seed, now, self.raw_settings))


def read(path: str) -> dict[str, Any]:
    """The JSON object of a file. Raises ConfigFault."""
    try:
        with open(path, "rb") as file:
            raw = orjson.loads(file.read())
    except OSError as fault:
        raise ConfigFault(f"{path}: {fault.strerror}") from None
    except orjson.JSONDecodeError as fault:
        raise ConfigFault(f"{path}: not JSON: {fault}") from None
    if not isinstance(raw, dict):
        raise ConfigFault(f"{path}: not an object")
    return raw


def load(path: str | None, environment: Mapping[str, str]) -> Config:
    path = path or environment.get("RELAY_CONFIG")
    if not path:
        raise ConfigFault("no configuration: give --config or RELAY_CONFIG")
    raw = read(path)
    try:
        return decode(raw, environment)
    except KeyError as fault:
        raise ConfigFault(f"{path}: lacks {fault}") from None
    except (Unreadable, ValueError, TypeError, AttributeError) as fault:
        raise ConfigFault(f"{path}: {fault}") from None


def decode(raw: dict[str, Any], environment: Mapping[str, str]) -> Config:
    def told(name: str) -> str:
        return str(raw.get(name) or environment.get(f"RELAY_{name.upper()}") or missing(name))

    settings = socket_settings(raw["settings"])
    decoder = ListDecoder(settings.zones, time.monotonic() - time.time(), raw["settings"].get("kinds") or ())
    known = decoder.decode(raw["known"]) if raw.get("known") else ListChange(0, True, (), {})
    seed = raw.get("seed", 0)
    limits = raw.get("limits", {})
    console = raw.get("console") or environment.get("RELAY_CONSOLE")
    config = Config(
        told("name"), parse_address(told("listen")), parse_address(told("discovery")),
        seed if isinstance(seed, int) else int(seed, 16), float(limits.get("cores") or 1.0),
        int(limits.get("sockets", 1024)), float(limits.get("memory_mb", 192.0)),
        known, decoder, settings, raw["settings"], console=parse_address(str(console)) if console else None,
        peers=decode_peers(raw))
    config.facade(0.0)  # the settings that only the module needs
    return config


def decode_peers(raw: dict[str, Any]) -> Peers | None:
    told, allowed = raw.get("peers"), flag(raw["settings"]["policy-limits"], "peers")
    if told is None and not allowed:
        return None
    if not allowed:
        raise ValueError("peers are named, but settings.policy-limits.peers is not true")
    if not isinstance(told, dict) or not isinstance(told.get("others"), list) or not told.get("listen"):
        raise ValueError("settings.policy-limits.peers is true, but peers names no 'listen' and 'others'")
    if unknown := told.keys() - {"listen", "others"}:
        raise ValueError(f"peers has an unknown key {min(unknown)!r}; it has 'listen' and 'others'")
    return Peers(parse_address(str(told["listen"])), tuple(parse_address(str(o)) for o in told["others"]))


def missing(name: str) -> str:
    raise KeyError(name)
