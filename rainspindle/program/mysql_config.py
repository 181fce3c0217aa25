"""Reads the MySQL front's TOML file into typed values and reports all its errors together."""

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

STATEMENT_KINDS = (
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
PLAIN_KEYS = ("session", "user", "hint", "none")
KEYS_WITH_ARGUMENT = ("column", "parameter", "literal")


class MysqlSection(msgspec.Struct, forbid_unknown_fields=True):
    """The `[mysql]` table."""

    listen: str
    platform: str  # file with the servers' endpoint list and settings, in the platform's format
    default: str  # traffic class of statements that match no rule; must be non-idempotent
    most_clients: int = 400
    most_each: int = 32  # connections per server


class UserSection(msgspec.Struct, forbid_unknown_fields=True):
    """One entry of `[[users]]`."""

    name: str
    password: str  # path of a file that holds it


class RuleSection(msgspec.Struct, forbid_unknown_fields=True):
    """One entry of `[[rules]]`."""

    traffic_type: str
    kinds: list[str] = []
    tables: list[str] = []
    key: str = "session"


class MysqlFile(msgspec.Struct, forbid_unknown_fields=True):
    """The whole file."""

    mysql: MysqlSection
    users: list[UserSection] = []
    rules: list[RuleSection] = []


@dataclass(frozen=True, slots=True)
class MysqlConfig:
    """The file's values, with the sidecar configuration that it names."""

    listen: Address
    default: int
    most_clients: int
    most_each: int
    users: dict[str, bytes]
    rules: tuple[Rule, ...]
    sidecar: Config


def load_mysql(path: str, environment: Mapping[str, str]) -> MysqlConfig:
    """Read the file; raises ConfigFault with one line per error."""
    data = read_toml(path)
    errors = list(shape(data, MysqlFile, ""))
    users: dict[str, bytes] = {}
    sidecar = None
    if not errors:
        file, folder = msgspec.convert(data, MysqlFile), Path(path).parent
        try:
            sidecar = load(str(folder / file.mysql.platform), environment)
        except ConfigFault as error:
            errors.append(f"mysql.platform: {error}")
        for index, user in enumerate(file.users):
            if user.name in users:
                errors.append(f"users[{index}].name: {user.name!r} is defined more than once")
            try:
                users[user.name] = read_secret(folder / user.password, 1)
            except ConfigFault as error:
                errors.append(f"users[{index}].password: {error}")
        errors += validation_errors(file, sidecar)
    if errors or sidecar is None:
        raise ConfigFault("\n".join(f"{path}: {error}" for error in errors))
    names = sidecar.settings.type_names
    rules = tuple(
        Rule(
            names.index(rule.traffic_type),
            frozenset(rule.kinds),
            frozenset(table.lower() for table in rule.tables),
            rule.key,
        )
        for rule in file.rules
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


def validation_errors(file: MysqlFile, sidecar: Config | None) -> Iterator[str]:
    """Yield an error for each value that is out of range or doesn't match the settings."""
    try:
        parse_address(file.mysql.listen)
    except ValueError as error:
        yield f"mysql.listen: {error}"
    for setting, value, limit in (
        ("most_clients", file.mysql.most_clients, 20000),
        ("most_each", file.mysql.most_each, 1000),
    ):
        if not 1 <= value <= limit:
            yield f"mysql.{setting}: is {value}; expected 1 to {limit}"
    if not file.users:
        yield "users: expected at least one user, got none; clients could not log in"
    for index, rule in enumerate(file.rules):
        for kind in rule.kinds:
            if kind not in STATEMENT_KINDS:
                yield f"rules[{index}].kinds: is {kind!r}; expected one of {', '.join(STATEMENT_KINDS)}"
        source, _, argument = rule.key.partition(":")
        numbered = bool(argument) and (source == "column" or argument.isdecimal())
        if not (source in PLAIN_KEYS and not argument) and not (source in KEYS_WITH_ARGUMENT and numbered):
            yield (
                f"rules[{index}].key: is {rule.key!r}; expected {', '.join(PLAIN_KEYS)}, column:NAME, "
                "parameter:N or literal:N"
            )
    if sidecar is not None:
        names = sidecar.settings.type_names
        traffic_types: list[tuple[str, Any]] = [("mysql.default", file.mysql.default)]
        traffic_types += [
            (f"rules[{index}].traffic_type", rule.traffic_type) for index, rule in enumerate(file.rules)
        ]
        for setting, name in traffic_types:
            if name not in names:
                yield f"{setting}: is {name!r}; expected one of {', '.join(names)}"
        if file.mysql.default in names and not sidecar.settings.binding[names.index(file.mysql.default)]:
            yield (
                f"mysql.default: is {file.mysql.default!r}; expected a non-idempotent traffic class, "
                "as a statement that matches no rule must not run twice"
            )
