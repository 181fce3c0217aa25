"""The configuration of one sidecar: a JSON file, with environment variables as a fallback for some keys."""

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

PEERS_MISSING = (
    "policy-limits.peers is true, but no peers are configured: this sidecar goes by its own exchanges alone"
)

# Descriptors reserved from clients and endpoints: 3 standard streams, 2 of epoll, 2 for signals, 3 listening
# sockets, 1 for datagrams, 1 to discovery, 17 for console connections, 3 files, and 16 spare.
RESERVED_SOCKETS = 48
MIN_CONNECTIONS = 16  # minimum of connections, to clients and endpoints together
LEAST_SOCKETS = RESERVED_SOCKETS + MIN_CONNECTIONS


class ConfigFault(Trouble):
    """A configuration that cannot be served; the message has one line for each fault."""

    remedy = "fix the file, and verify with `check` that it can be served"


class InaccessibleFileError(ConfigFault):
    """A configured file that cannot be read or written."""

    remedy = "name an existing file that this user may open"


class SystemRefusedError(ConfigFault):
    """A valid configuration that the operating system does not allow to be served."""

    remedy = (
        "check that the addresses belong to this machine and are free, and that this user may listen there"
    )


class MissingLibrariesError(ConfigFault):
    """Libraries that the command needs are not installed."""

    remedy = "install that file with pip into the environment that runs the program"


@dataclass(frozen=True, slots=True)
class Peers:
    """UDP addresses for messages in the pool: of this sidecar, and of the other sidecars."""

    listen: Address
    others: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class Config:
    """The decoded configuration of one sidecar."""

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
    console: Address | None = None  # the second address, for operators' calls
    peers: Peers | None = None  # the other sidecars of a pool
    peers_missing: bool = False  # the settings enable peer messages, but no peers are configured

    @property
    def asks_list(self) -> bool:
        """Whether the balancer decides when the endpoint list is watched."""
        return asks_list(self.raw_settings)

    def facade(self, now: float) -> Facade:
        """Returns a new facade with a balancer for these settings."""
        return Facade(now, lambda host: make_balancer(host, self.seed, now, self.raw_settings))


def read(path: str) -> dict[str, Any]:
    """Returns the JSON object in a file. Raises ConfigFault if there is none."""
    try:
        with open(path, "rb") as file:
            raw = orjson.loads(file.read())
    except OSError as error:
        raise InaccessibleFileError(f"{path}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise ConfigFault(f"{path}: not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigFault(f"{path}: expected a JSON object, got {type(raw).__name__}")
    return raw


def load(path: str | None, environment: Mapping[str, str], over_members: bool = False) -> Config:
    """Reads the configuration from `path`, or else from the file that RELAY_CONFIG names.

    With `over_members`, messages between sidecars go through the fleet's members if no peers are configured.
    Raises ConfigFault if the file cannot be served.
    """
    path = path or environment.get("RELAY_CONFIG")
    if not path:
        raise ConfigFault(
            "no configuration: give --config or RELAY_CONFIG",
            "name the configuration file with either; README.md describes its contents",
        )
    raw = read(path)
    return check(path, raw, environment, over_members)


def check(
    path: str, raw: dict[str, Any], environment: Mapping[str, str] = os.environ, over_members: bool = False
) -> Config:
    """Decodes a configuration; `path` is for messages. Raises ConfigFault, whose one line names the file."""
    try:
        config = decode(raw, environment, over_members)
    except KeyError as error:
        raise ConfigFault(f"{path}: missing key {error}") from None
    except (Unreadable, ValueError, TypeError, AttributeError) as error:
        raise ConfigFault(f"{path}: {error}") from None
    check_sockets(path, config.sockets)
    return config


def check_sockets(path: str, sockets: int) -> None:
    """Raises ConfigFault if the descriptors do not suffice for the reserve and a few connections."""
    needs = (
        f"at least {LEAST_SOCKETS} are needed: {RESERVED_SOCKETS} for discovery, the console, files and "
        f"listening sockets, {MIN_CONNECTIONS} for clients and endpoints"
    )
    if sockets < LEAST_SOCKETS:
        raise ConfigFault(
            f"{path}: limits.sockets is {sockets}, {needs}", f"set it to {LEAST_SOCKETS} or more"
        )
    if usable_sockets(sockets) < LEAST_SOCKETS:
        raise SystemRefusedError(
            f"the system lets this process open {usable_sockets(sockets)} descriptors, {needs}",
            "raise the limit on open files (RLIMIT_NOFILE, ulimit -n) to limits.sockets",
        )


def usable_sockets(sockets: int) -> int:
    """Returns the number of descriptors that both the configuration and the system allow."""
    system = os.sysconf("SC_OPEN_MAX")  # RLIMIT_NOFILE of this process; -1 for no limit
    return min(sockets, system) if system >= 0 else sockets


def decode(raw: dict[str, Any], environment: Mapping[str, str], over_members: bool = False) -> Config:
    """Decodes a configuration without checking its limits against the system.

    Raises:
        KeyError: A key is missing.
        Unreadable, ValueError, TypeError, AttributeError: A value is wrong.
    """

    def text(name: str) -> str:
        return str(raw.get(name) or environment.get(f"RELAY_{name.upper()}") or missing(name))

    settings_object = raw["settings"]
    if not isinstance(settings_object, dict):
        raise ValueError(f"settings is no object: {settings_object!r}")
    settings, peers = socket_settings(settings_object), decode_peers(raw)
    peers_missing = peers is None and not over_members and flag(settings_object["policy-limits"], "peers")
    if peers_missing:
        settings_object = {
            **settings_object,
            "policy-limits": {**settings_object["policy-limits"], "peers": False},
        }
    decoder = ListDecoder(settings.zones, clock_offset(), settings.kinds, clock_offset)
    known = decoder.decode(raw["known"]) if raw.get("known") else ListChange(0, True, (), {})
    seed = raw.get("seed", 0)
    limits = raw.get("limits", {})
    console = raw.get("console") or environment.get("RELAY_CONSOLE")
    config = Config(
        text("name"),
        parse_address(text("listen")),
        parse_address(text("discovery")),
        seed if isinstance(seed, int) else int(seed, 16),
        float(limits.get("cores") or 1.0),
        int(limits.get("sockets", 1024)),
        float(limits.get("memory_mb", 192.0)),
        known,
        decoder,
        settings,
        settings_object,
        console=parse_address(str(console)) if console else None,
        peers=peers,
        peers_missing=peers_missing,
    )
    config.facade(0.0)  # raises ValueError for settings that only the balancer decodes
    return config


def clock_offset() -> float:
    """Returns what is added to Unix time to give the monotonic clock."""
    return time.monotonic() - time.time()


def decode_peers(raw: dict[str, Any]) -> Peers | None:
    """Returns the peers, None without any. Raises ValueError if they are malformed."""
    peers = raw.get("peers")
    if peers is None:
        return None
    if not flag(raw["settings"]["policy-limits"], "peers"):
        raise ValueError("peers are configured, but settings.policy-limits.peers is not true")
    if not isinstance(peers, dict) or not isinstance(peers.get("others"), list) or not peers.get("listen"):
        raise ValueError("peers has no 'listen' and 'others'; it needs an address and a list of addresses")
    if unknown := peers.keys() - {"listen", "others"}:
        raise ValueError(f"peers: unknown key {min(unknown)!r}; the known ones are 'listen' and 'others'")
    listen, *others = (parse_address(str(address)) for address in (peers["listen"], *peers["others"]))
    if listen in others:
        raise ValueError("peers.others contains its own address, peers.listen")
    if any((":" in listen[0]) != (":" in host) for host, _ in others):
        raise ValueError("peers mixes IPv4 and IPv6 addresses; use one family")
    return Peers(listen, tuple(others))


def missing(name: str) -> str:
    """Raises KeyError; usable within an expression."""
    raise KeyError(name)
