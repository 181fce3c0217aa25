"""The configuration of one sidecar: a JSON file, and the environment for what it leaves out."""

from __future__ import annotations

import os
import time
from collections.abc import Mapping
from typing import Any

import orjson

from ..errors import Trouble
from ..lazy_dataclasses import dataclass
from ..protocol.client import Unreadable
from ..protocol.discovery import ListChange, ListDecoder
from ..protocol.settings import SocketSettings, asks_list, flag, make_balancer, socket_settings
from ..routing.facade import Facade
from ..transport.address import Address, parse_address

DEAF = "messages are allowed, but no peers are named: this sidecar goes by its own exchanges alone"

# Descriptors that neither clients nor endpoints may take: 3 standard streams, 2 of epoll, 2 for signals,
# 3 listening sockets, 1 for datagrams, 1 to discovery, 17 for calls to the console, 3 files, and 16 beside.
RESERVED_SOCKETS = 48
LEAST_PLACES = 16  # for clients and endpoints together
LEAST_SOCKETS = RESERVED_SOCKETS + LEAST_PLACES


class ConfigFault(Trouble):
    """A configuration that cannot be served, named in one line, or a line a fault."""

    remedy = "mend it there, and see with `check` that it can be served"


class Unopened(ConfigFault):
    """A file that is named and cannot be read, or written."""

    remedy = "name a file that is there, and that this user may open"


class Unserved(ConfigFault):
    """The system does not let it be served."""

    remedy = "see that the addresses are of this machine and free, and that this user may listen there"


class Uninstalled(ConfigFault):
    """Libraries that this command needs are not there."""

    remedy = "install them with pip from that file, into the environment that runs the program"


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
    deaf: bool = False  # the settings allow messages, but no peers are named

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
        raise Unopened(f"{path}: {fault.strerror}") from None
    except orjson.JSONDecodeError as fault:
        raise ConfigFault(f"{path}: not JSON: {fault}") from None
    if not isinstance(raw, dict):
        raise ConfigFault(f"{path}: not an object")
    return raw


def load(path: str | None, environment: Mapping[str, str], over_members: bool = False) -> Config:
    """`over_members`: messages between sidecars go over the members of a fleet, where no peers are named."""
    path = path or environment.get("RELAY_CONFIG")
    if not path:
        raise ConfigFault(
            "no configuration: give --config or RELAY_CONFIG",
            "name its file in either; README.md tells what it holds",
        )
    raw = read(path)
    return check(path, raw, environment, over_members)


def check(
    path: str, raw: dict[str, Any], environment: Mapping[str, str] = os.environ, over_members: bool = False
) -> Config:
    """Raises ConfigFault, one line that names the file."""
    try:
        config = decode(raw, environment, over_members)
    except KeyError as fault:
        raise ConfigFault(f"{path}: lacks {fault}") from None
    except (Unreadable, ValueError, TypeError, AttributeError) as fault:
        raise ConfigFault(f"{path}: {fault}") from None
    check_sockets(path, config.sockets)
    return config


def check_sockets(path: str, sockets: int) -> None:
    """Raises ConfigFault where the descriptors would not do for the reserve and a few connections."""
    needs = (
        f"under {LEAST_SOCKETS}: {RESERVED_SOCKETS} are kept for discovery, the console, files and "
        f"listening, {LEAST_PLACES} are the least for clients and endpoints"
    )
    if sockets < LEAST_SOCKETS:
        raise ConfigFault(
            f"{path}: limits.sockets is {sockets}, {needs}", f"set it to {LEAST_SOCKETS} or more"
        )
    if usable_sockets(sockets) < LEAST_SOCKETS:
        raise Unserved(
            f"the system lets this process open {usable_sockets(sockets)} descriptors, {needs}",
            "raise its limit of open files (RLIMIT_NOFILE, ulimit -n) to limits.sockets",
        )


def usable_sockets(sockets: int) -> int:
    """Of so many descriptors allowed by the configuration, those that the system allows as well."""
    system = os.sysconf("SC_OPEN_MAX")  # RLIMIT_NOFILE of this process; -1 for no limit
    return min(sockets, system) if system >= 0 else sockets


def decode(raw: dict[str, Any], environment: Mapping[str, str], over_members: bool = False) -> Config:
    def told(name: str) -> str:
        return str(raw.get(name) or environment.get(f"RELAY_{name.upper()}") or missing(name))

    whole = raw["settings"]
    if not isinstance(whole, dict):
        raise ValueError(f"settings is no object: {whole!r}")
    settings, peers = socket_settings(whole), decode_peers(raw)
    deaf = peers is None and not over_members and flag(whole["policy-limits"], "peers")
    if deaf:
        whole = {**whole, "policy-limits": {**whole["policy-limits"], "peers": False}}
    decoder = ListDecoder(settings.zones, time.monotonic() - time.time(), settings.kinds)
    known = decoder.decode(raw["known"]) if raw.get("known") else ListChange(0, True, (), {})
    seed = raw.get("seed", 0)
    limits = raw.get("limits", {})
    console = raw.get("console") or environment.get("RELAY_CONSOLE")
    config = Config(
        told("name"),
        parse_address(told("listen")),
        parse_address(told("discovery")),
        seed if isinstance(seed, int) else int(seed, 16),
        float(limits.get("cores") or 1.0),
        int(limits.get("sockets", 1024)),
        float(limits.get("memory_mb", 192.0)),
        known,
        decoder,
        settings,
        whole,
        console=parse_address(str(console)) if console else None,
        peers=peers,
        deaf=deaf,
    )
    config.facade(0.0)  # the settings that only the module needs
    return config


def decode_peers(raw: dict[str, Any]) -> Peers | None:
    told = raw.get("peers")
    if told is None:
        return None
    if not flag(raw["settings"]["policy-limits"], "peers"):
        raise ValueError("peers are named, but settings.policy-limits.peers is not true")
    if not isinstance(told, dict) or not isinstance(told.get("others"), list) or not told.get("listen"):
        raise ValueError("peers has no 'listen' and 'others'")
    if unknown := told.keys() - {"listen", "others"}:
        raise ValueError(f"peers has an unknown key {min(unknown)!r}; it has 'listen' and 'others'")
    listen, *others = (parse_address(str(at)) for at in (told["listen"], *told["others"]))
    if listen in others:
        raise ValueError("peers.others names its own address")
    if any((":" in listen[0]) != (":" in host) for host, _ in others):
        raise ValueError("peers mixes IPv4 and IPv6")
    return Peers(listen, tuple(others))


def missing(name: str) -> str:
    raise KeyError(name)
