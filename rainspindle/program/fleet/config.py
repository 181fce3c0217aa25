"""The operators' fleet file: TOML, decoded into typed values, with all faults reported at once."""

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
    """The tables of a fleet file."""

    members: MembersConfig
    wallet: list[WalletPart] = []
    canary: list[CanaryPart] = []
    evidence: EvidencePart | None = None  # each of these three is off unless its table is there
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
    """A validated fleet file and its path."""

    path: str
    file: FleetFile

    @property
    def folder(self) -> Path | None:
        """The folder for data that outlives the process, None without one."""
        return Path(self.file.members.folder) if self.file.members.folder else None


def load_fleet(path: str, config: Config | None) -> FleetConfig:
    """Reads and validates a fleet file.

    Without `config`, because the sidecar's own configuration is at fault, only the form is checked. Raises
    ConfigFault with one line for each fault, which names its path in the file.
    """
    raw = read_toml(path)
    faults = list(unfit(raw, config))
    if faults:
        raise ConfigFault("\n".join(f"{path}: {fault}" for fault in faults))
    return FleetConfig(path, msgspec.convert(raw, FleetFile))


def unfit(raw: dict[str, Any], config: Config | None) -> Iterator[str]:
    """Yields all faults of form and, with `config`, the faults between the values of well-formed tables."""
    well_formed = dict[str, bool]()
    yield from shape({name: value for name, value in raw.items() if name not in SINGLE | MANY}, FleetTop, "")
    if raw.get("members") is None:
        yield "members: missing; all other tables of a fleet file depend on it"
    for name, table in (SINGLE | MANY).items():
        value = raw.get(name)
        if value is None:
            continue
        if name in MANY and not isinstance(value, list):
            yield f"{name}: expected a list of tables, [[{name}]]"
            continue
        places = (
            [(f"{name}[{index}]", element) for index, element in enumerate(value)]
            if name in MANY
            else [(name, value)]
        )
        faults = [fault for path, element in places for fault in shape(element, table, path)]
        well_formed[name] = not faults
        yield from faults
    if config is None:
        return
    if well_formed.get("members"):
        yield from members.unfit(msgspec.convert(raw["members"], MembersConfig), config)
    folder_name = raw["members"].get("folder") if isinstance(raw.get("members"), dict) else None
    folder = Path(str(folder_name)) if folder_name else None
    if well_formed.get("wallet") and isinstance(raw.get("members"), dict):
        yield from wallet.unfit(raw["wallet"], config, folder)
    if well_formed.get("canary"):
        yield from canary.unfit(msgspec.convert(raw["canary"], list[CanaryPart]), config)
    if well_formed.get("evidence"):
        yield from evidence.unfit(msgspec.convert(raw["evidence"], EvidencePart), config)
    if well_formed.get("list"):
        yield from listing.unfit(msgspec.convert(raw["list"], ListPart), config)
    if well_formed.get("keep"):
        yield from keep.unfit(msgspec.convert(raw["keep"], KeepPart), config, folder)


class FleetTop(msgspec.Struct, forbid_unknown_fields=True):
    """The top-level keys of a fleet file, for the suggestion after an unknown one."""

    members: Any = None
    wallet: Any = None
    canary: Any = None
    evidence: Any = None
    list: Any = None
    keep: Any = None
