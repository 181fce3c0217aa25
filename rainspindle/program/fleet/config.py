"""The operator's fleet file: TOML, decoded into typed values in one go, with every fault named at once."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from ..config import Config, ConfigFault
from ..tables import read_toml, shape
from . import canary, evidence, keep, listing, members, wallet
from .canary import CanaryPart
from .evidence import EvidencePart
from .keep import KeepPart
from .listing import ListPart
from .members import MembersConfig
from .wallet import WalletPart


class FleetFile(msgspec.Struct, forbid_unknown_fields=True):
    members: MembersConfig
    wallet: list[WalletPart] = []
    canary: list[CanaryPart] = []
    evidence: EvidencePart | None = None  # these three are off where their table is missing
    listing: ListPart | None = msgspec.field(default=None, name="list")
    keep: KeepPart | None = None


SINGLE: dict[str, Any] = {
    "members": MembersConfig,
    "evidence": EvidencePart,
    "list": ListPart,
    "keep": KeepPart,
}
MANY: dict[str, Any] = {"wallet": WalletPart, "canary": CanaryPart}


@dataclass(frozen=True, slots=True)
class FleetConfig:
    path: str
    file: FleetFile

    @property
    def folder(self) -> Path | None:
        return Path(self.file.members.folder) if self.file.members.folder else None


def load_fleet(path: str, config: Config | None) -> FleetConfig:
    """Raises ConfigFault, one line a fault, each with its path in the file. Without the sidecar's own
    configuration, which may have faults of its own, those of form alone."""
    raw = read_toml(path)
    faults = list(unfit(raw, config))
    if faults:
        raise ConfigFault("\n".join(f"{path}: {fault}" for fault in faults))
    return FleetConfig(path, msgspec.convert(raw, FleetFile))


def unfit(raw: dict[str, Any], config: Config | None) -> Iterator[str]:
    """Every fault of form; of the tables without one, with `config`, every fault between their values too."""
    formed = dict[str, bool]()
    yield from shape({name: value for name, value in raw.items() if name not in SINGLE | MANY}, FleetTop, "")
    if raw.get("members") is None:
        yield "members: missing; all else in a fleet file stands on the members"
    for name, table in (SINGLE | MANY).items():
        value = raw.get(name)
        if value is None:
            continue
        if name in MANY and not isinstance(value, list):
            yield f"{name}: expected tables, [[{name}]]"
            continue
        places = [(f"{name}[{n}]", one) for n, one in enumerate(value)] if name in MANY else [(name, value)]
        faults = [fault for at, one in places for fault in shape(one, table, at)]
        formed[name] = not faults
        yield from faults
    if config is None:
        return
    if formed.get("members"):
        yield from members.unfit(msgspec.convert(raw["members"], MembersConfig), config)
    text = raw["members"].get("folder") if isinstance(raw.get("members"), dict) else None
    folder = Path(str(text)) if text else None
    if formed.get("wallet") and isinstance(raw.get("members"), dict):
        yield from wallet.unfit(raw["wallet"], config, folder)
    if formed.get("canary"):
        yield from canary.unfit(msgspec.convert(raw["canary"], list[CanaryPart]), config)
    if formed.get("evidence"):
        yield from evidence.unfit(msgspec.convert(raw["evidence"], EvidencePart), config)
    if formed.get("list"):
        yield from listing.unfit(msgspec.convert(raw["list"], ListPart), config)
    if formed.get("keep"):
        yield from keep.unfit(msgspec.convert(raw["keep"], KeepPart), config, folder)


class FleetTop(msgspec.Struct, forbid_unknown_fields=True):
    """The names at the top, for the nearest to one that is not known."""

    members: Any = None
    wallet: Any = None
    canary: Any = None
    evidence: Any = None
    list: Any = None
    keep: Any = None
