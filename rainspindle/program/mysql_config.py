"""The MySQL front's own file: TOML, decoded into typed values in one go, with every fault named at once."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from ..decisions.statements.statements import Rule
from ..lazy_dataclasses import replace
from ..transport.address import Address, parse_address
from .config import Config, ConfigFault, load
from .tables import read_secret, read_toml, shape

KINDS = (
    "select",
    "insert",
    "replace",
    "update",
    "delete",
    "call",
    "show",
    "definition",
    "begin",
    "commit",
    "rollback",
)
KEYS = ("session", "user", "hint", "none")
KEYS_OF = ("column", "parameter", "literal")


class MysqlPart(msgspec.Struct, forbid_unknown_fields=True):
    listen: str
    platform: str  # the list and the settings of the database servers, in the platform's form
    default: str  # the traffic type of what fits no rule: a binding one
    most_clients: int = 400
    most_each: int = 32  # connections to one server


class UserPart(msgspec.Struct, forbid_unknown_fields=True):
    name: str
    password: str  # a file


class RulePart(msgspec.Struct, forbid_unknown_fields=True):
    traffic_type: str
    kinds: list[str] = []
    tables: list[str] = []
    key: str = "session"


class File(msgspec.Struct, forbid_unknown_fields=True):
    mysql: MysqlPart
    users: list[UserPart] = []
    rules: list[RulePart] = []


@dataclass(frozen=True, slots=True)
class MysqlConfig:
    listen: Address
    default: int
    most_clients: int
    most_each: int
    users: dict[str, bytes]
    rules: tuple[Rule, ...]
    sidecar: Config


def load_mysql(path: str, environment: Mapping[str, str]) -> MysqlConfig:
    """Raises ConfigFault, one line a fault."""
    raw = read_toml(path)
    faults = list(shape(raw, File, ""))
    users: dict[str, bytes] = {}
    sidecar = None
    if not faults:
        file, folder = msgspec.convert(raw, File), Path(path).parent
        try:
            sidecar = load(str(folder / file.mysql.platform), environment)
        except ConfigFault as fault:
            faults.append(f"mysql.platform: {fault}")
        for n, user in enumerate(file.users):
            if user.name in users:
                faults.append(f"users[{n}].name: {user.name!r} is there twice")
            try:
                users[user.name] = read_secret(folder / user.password, 1)
            except ConfigFault as fault:
                faults.append(f"users[{n}].password: {fault}")
        faults += unfit(file, sidecar)
    if faults or sidecar is None:
        raise ConfigFault("\n".join(f"{path}: {fault}" for fault in faults))
    names = sidecar.settings.type_names
    rules = tuple(
        Rule(names.index(r.traffic_type), frozenset(r.kinds), frozenset(t.lower() for t in r.tables), r.key)
        for r in file.rules
    )
    listen = parse_address(file.mysql.listen)
    return MysqlConfig(
        listen,
        names.index(file.mysql.default),
        file.mysql.most_clients,
        file.mysql.most_each,
        users,
        rules,
        replace(sidecar, listen=listen),
    )


def unfit(file: File, sidecar: Config | None) -> Iterator[str]:
    try:
        parse_address(file.mysql.listen)
    except ValueError as fault:
        yield f"mysql.listen: {fault}"
    for at, value, most in (
        ("most_clients", file.mysql.most_clients, 20000),
        ("most_each", file.mysql.most_each, 1000),
    ):
        if not 1 <= value <= most:
            yield f"mysql.{at}: is {value}; expected 1 to {most}"
    if not file.users:
        yield "users: nobody could log in"
    for n, rule in enumerate(file.rules):
        for kind in rule.kinds:
            if kind not in KINDS:
                yield f"rules[{n}].kinds: {kind!r} is none of {', '.join(KINDS)}"
        how, _, what = rule.key.partition(":")
        numbered = bool(what) and (how == "column" or what.isdecimal())
        if not (how in KEYS and not what) and not (how in KEYS_OF and numbered):
            yield (
                f"rules[{n}].key: is {rule.key!r}; expected {', '.join(KEYS)}, column:NAME, "
                "parameter:N or literal:N"
            )
    if sidecar is not None:
        names = sidecar.settings.type_names
        types: list[tuple[str, Any]] = [("mysql.default", file.mysql.default)]
        types += [(f"rules[{n}].traffic_type", rule.traffic_type) for n, rule in enumerate(file.rules)]
        for at, name in types:
            if name not in names:
                yield f"{at}: {name!r} is none of {', '.join(names)}"
        if file.mysql.default in names and not sidecar.settings.binding[names.index(file.mysql.default)]:
            yield (
                f"mysql.default: {file.mysql.default!r} is not binding; what fits no rule must not run twice"
            )
