"""The operator's fleet file: TOML, decoded into typed values in one go, with every fault named at once."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from ..config import Config, ConfigFault
from ..tables import read_toml, shape
from . import canary, members, wallet
from .canary import CanaryPart
from .members import MembersPart
from .wallet import WalletPart


class FleetFile(msgspec.Struct, forbid_unknown_fields=True):
    members: MembersPart
    wallet: list[WalletPart] = []
    canary: list[CanaryPart] = []


@dataclass(frozen=True, slots=True)
class FleetConfig:
    path: str
    file: FleetFile

    @property
    def folder(self) -> Path | None:
        return Path(self.file.members.folder) if self.file.members.folder else None


def load_fleet(path: str, config: Config) -> FleetConfig:
    """Raises ConfigFault, one line a fault, each with its path in the file."""
    raw = read_toml(path)
    faults = list(unfit(raw, config))
    if faults:
        raise ConfigFault("\n".join(f"{path}: {fault}" for fault in faults))
    return FleetConfig(path, msgspec.convert(raw, FleetFile))


def unfit(raw: dict[str, Any], config: Config) -> Iterator[str]:
    """Every fault of form; of the tables without one, every fault between their values too."""
    tables = {"members": MembersPart, "wallet": WalletPart, "canary": CanaryPart}
    named = {"members": raw.get("members"), "wallet": raw.get("wallet", []), "canary": raw.get("canary", [])}
    formed = dict[str, bool]()
    yield from shape({name: value for name, value in raw.items() if name not in named}, FleetTop, "")
    for name, value in named.items():
        many = name != "members"
        if value is None:
            yield "members: missing; wallets and canaries stand on the members"
            continue
        if many and not isinstance(value, list):
            yield f"{name}: expected tables, [[{name}]]"
            continue
        places = [(f"{name}[{n}]", one) for n, one in enumerate(value)] if many else [(name, value)]
        faults = [fault for at, one in places for fault in shape(one, tables[name], at)]
        formed[name] = not faults
        yield from faults
    if formed.get("members"):
        yield from members.unfit(msgspec.convert(named["members"], MembersPart), config)
    if formed.get("wallet") and isinstance(named["members"], dict):
        folder = named["members"].get("folder")
        yield from wallet.unfit(named["wallet"], config, Path(str(folder)) if folder else None)
    if formed.get("canary"):
        yield from canary.unfit(msgspec.convert(named["canary"], list[CanaryPart]), config)


class FleetTop(msgspec.Struct, forbid_unknown_fields=True):
    """The names at the top, for the nearest to one that is not known."""

    members: dict[str, Any] = {}
    wallet: list[Any] = []
    canary: list[Any] = []
