"""The gateway's own file: TOML, decoded into typed values in one go, with every fault named at once."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from ..transport.address import Address, parse_address
from .config import Config, ConfigFault, load
from .tables import read_secret, read_toml, shape

MOST_KEYS, LEAST_KEY = 2, 16  # keys that are valid at once; bytes of one


class GatewayPart(msgspec.Struct, forbid_unknown_fields=True):
    site: str
    link: str  # where peers connect, numeric address and port
    platform: str  # the sidecar's configuration, in the platform's form
    keys: list[str]  # files, the current key first
    stall: float = 1.0  # seconds without an answer to a ping after which a link is given up
    connections: int = 2  # held to each peer that has an address
    one_group: bool = False  # whether all sites together drop repeats of fingerprinted exchanges


class PeerPart(msgspec.Struct, forbid_unknown_fields=True):
    site: str
    address: str = ""  # "" for a peer that dials us


class IntakePart(msgspec.Struct, forbid_unknown_fields=True):
    part: float = 0.6  # of all exchanges under way that may be foreign
    floor: int = 16  # foreign exchanges that may be under way in any case


class File(msgspec.Struct, forbid_unknown_fields=True):
    gateway: GatewayPart
    peers: list[PeerPart] = []
    intake: IntakePart = msgspec.field(default_factory=IntakePart)


@dataclass(frozen=True, slots=True)
class GatewayConfig:
    site: str
    link: Address
    peers: dict[str, Address | None]  # in the order in which they are leant on
    keys: tuple[bytes, ...]
    stall: float
    connections: int
    one_group: bool
    part: float
    floor: int
    sidecar: Config


def load_gateway(path: str, environment: Mapping[str, str]) -> GatewayConfig:
    """Raises ConfigFault, one line a fault."""
    raw = read_toml(path)
    faults = list(unfit(raw))
    keys: list[bytes] = []
    sidecar = None
    if not faults:
        file = msgspec.convert(raw, File)
        folder = Path(path).parent
        for name in file.gateway.keys:
            try:
                keys.append(read_secret(folder / name, LEAST_KEY))
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
        {p.site: parse_address(p.address) if p.address else None for p in file.peers},
        tuple(keys),
        file.gateway.stall,
        file.gateway.connections,
        file.gateway.one_group,
        file.intake.part,
        file.intake.floor,
        sidecar,
    )


def unfit(raw: dict[str, Any]) -> Iterator[str]:
    """Every fault of form, then every fault between values that are well formed."""
    faults = list(shape(raw, File, ""))
    yield from faults
    if faults:
        return
    gateway, peers = raw["gateway"], raw.get("peers", [])
    dialed = [(f"peers[{n}].address", p["address"]) for n, p in enumerate(peers) if p.get("address")]
    for at, text in (("gateway.link", gateway["link"]), *dialed):
        try:
            parse_address(text)
        except ValueError as fault:
            yield f"{at}: {fault}"
    sites = [gateway["site"], *(p["site"] for p in peers)]
    places = ["gateway.site", *(f"peers[{n}].site" for n in range(len(peers)))]
    for at, site in zip(places, sites, strict=True):
        if not site or len(site) > 100:
            yield f"{at}: is {site!r:.40}; expected a name of 1 to 100 characters"
        elif sites.count(site) > 1:
            yield f"{at}: {site!r} is there twice"
    if not 1 <= len(gateway["keys"]) <= MOST_KEYS:
        yield f"gateway.keys: {len(gateway['keys'])} files; expected 1, or 2 while keys change"
    for at, value, low, high in (
        ("gateway.stall", gateway.get("stall", 1.0), 0.3, 60.0),
        ("gateway.connections", gateway.get("connections", 2), 1, 16),
        ("intake.part", raw.get("intake", {}).get("part", 0.6), 0.0, 0.95),
        ("intake.floor", raw.get("intake", {}).get("floor", 16), 0, 4096),
    ):
        if not low <= value <= high:
            yield f"{at}: is {value}; expected {low} to {high}"
