"""The gateway's own configuration file: TOML, decoded into typed values, with all faults reported at once."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from ..transport.address import Address, parse_address
from .config import Config, ConfigFault, load
from .tables import read_secret, read_toml, shape

MAX_KEYS, MIN_KEY_BYTES = 2, 16  # keys that may be valid at once; least bytes per key


class GatewayPart(msgspec.Struct, forbid_unknown_fields=True):
    """The table [gateway]."""

    site: str
    link: str  # where peers connect: numeric address and port
    platform: str  # the sidecar's configuration, in the platform's form
    keys: list[str]  # key files, the current one first
    stall: float = 1.0  # seconds without an answer to a ping after which a connection is closed
    connections: int = 2  # connections held to each peer that has an address
    one_group: bool = False  # whether all sites together deduplicate fingerprinted requests


class PeerPart(msgspec.Struct, forbid_unknown_fields=True):
    """One table [[peers]]."""

    site: str
    address: str = ""  # "" for a peer that connects to this gateway


class IntakePart(msgspec.Struct, forbid_unknown_fields=True):
    """The table [intake]."""

    part: float = 0.6  # share of all requests in progress that may come from other sites
    floor: int = 16  # requests of other sites that may always be in progress


class File(msgspec.Struct, forbid_unknown_fields=True):
    """The whole file."""

    gateway: GatewayPart
    peers: list[PeerPart] = []
    intake: IntakePart = msgspec.field(default_factory=IntakePart)


@dataclass(frozen=True, slots=True)
class GatewayConfig:
    """The checked configuration of a gateway, with its keys and its sidecar's configuration."""

    site: str
    link: Address
    peers: dict[str, Address | None]  # in order of preference
    keys: tuple[bytes, ...]
    stall: float
    connections: int
    one_group: bool
    part: float
    floor: int
    sidecar: Config


def load_gateway(path: str, environment: Mapping[str, str]) -> GatewayConfig:
    """Returns the configuration. Raises ConfigFault with one line per fault."""
    raw = read_toml(path)
    faults = list(find_faults(raw))
    keys: list[bytes] = []
    sidecar = None
    if not faults:
        file = msgspec.convert(raw, File)
        folder = Path(path).parent
        for name in file.gateway.keys:
            try:
                keys.append(read_secret(folder / name, MIN_KEY_BYTES))
            except ConfigFault as fault:
                faults.append(f"gateway.keys: {fault}")
        try:
            sidecar = load(str(folder / file.gateway.platform), environment)
        except ConfigFault as fault:
            faults.append(f"gateway.platform: {fault}")
    if faults or sidecar is None:
        raise ConfigFault("\n".join(f"{path}: {fault}" for fault in faults))
    return GatewayConfig(
        file.gateway.site,
        parse_address(file.gateway.link),
        {peer.site: parse_address(peer.address) if peer.address else None for peer in file.peers},
        tuple(keys),
        file.gateway.stall,
        file.gateway.connections,
        file.gateway.one_group,
        file.intake.part,
        file.intake.floor,
        sidecar,
    )


def find_faults(raw: dict[str, Any]) -> Iterator[str]:
    """Yields the faults of types and keys; only without any, those of and between values."""
    faults = list(shape(raw, File, ""))
    yield from faults
    if faults:
        return
    gateway, peers = raw["gateway"], raw.get("peers", [])
    dialed = [
        (f"peers[{index}].address", peer["address"])
        for index, peer in enumerate(peers)
        if peer.get("address")
    ]
    for setting, text in (("gateway.link", gateway["link"]), *dialed):
        try:
            parse_address(text)
        except ValueError as fault:
            yield f"{setting}: {fault}"
    sites = [gateway["site"], *(peer["site"] for peer in peers)]
    site_settings = ["gateway.site", *(f"peers[{index}].site" for index in range(len(peers)))]
    for setting, site in zip(site_settings, sites, strict=True):
        if not site or len(site) > 100:
            yield f"{setting}: is {site!r:.40}; expected a name of 1 to 100 characters"
        elif sites.count(site) > 1:
            yield f"{setting}: {site!r} is used more than once; expected a different name for each site"
    if not 1 <= len(gateway["keys"]) <= MAX_KEYS:
        yield f"gateway.keys: {len(gateway['keys'])} files; expected 1, or 2 during a key change"
    for setting, value, low, high in (
        ("gateway.stall", gateway.get("stall", 1.0), 0.3, 60.0),
        ("gateway.connections", gateway.get("connections", 2), 1, 16),
        ("intake.part", raw.get("intake", {}).get("part", 0.6), 0.0, 0.95),
        ("intake.floor", raw.get("intake", {}).get("floor", 16), 0, 4096),
    ):
        if not low <= value <= high:
            yield f"{setting}: is {value}; expected {low} to {high}"
