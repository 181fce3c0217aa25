"""Conversion of a sidecar's configuration from the old form of a deployment to the new one.

Old: a sidecar beside each client, a polled endpoint list with weights, no messages between sidecars. New: a
pool of sidecars, a pushed endpoint list, machine kinds in place of weights, messages between sidecars.
"""

from __future__ import annotations

import argparse
import contextlib
import os
import stat
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from .config import ConfigFault, InaccessibleFileError, check, read

UNUSED_KEYS = ("overdue-value", "aim-stretch")  # keys of a traffic type that the balancer no longer reads
KNOWN_KEYS = ("name", "listen", "discovery", "seed", "limits", "console", "known", "settings", "peers")


@dataclass(slots=True)
class Migration:
    """The new configuration, and a report of what became of each key of the old one."""

    new: dict[str, Any]
    carried: list[str] = field(default_factory=list)
    changed: list[str] = field(default_factory=list)
    left: list[str] = field(default_factory=list)  # lines on what is not carried over
    wanted: list[str] = field(default_factory=list)  # lines on what the operator has to fill in

    def change(self, holder: dict[str, Any], key: str, value: Any, prefix: str = "settings.") -> None:
        """Sets a key, and reports a changed value; `prefix` precedes the key there."""
        if holder.get(key) != value:
            self.changed.append(f"{prefix}{key}: {shown(holder.get(key))} -> {shown(value)}")
        holder[key] = value

    def lines(self) -> list[str]:
        """Returns the report, one line for each key."""
        return [
            f"{heading}: {line}"
            for heading, lines in (
                ("carried", self.carried),
                ("changed", self.changed),
                ("not carried over", self.left),
                ("to fill in", self.wanted),
            )
            for line in lines
        ]


def shown(value: Any) -> str:
    """Returns a value as the report shows it."""
    return "absent" if value is None else orjson.dumps(value).decode()


def is_new(raw: Mapping[str, Any]) -> bool:
    """Returns whether a configuration already has the new form."""
    settings = raw["settings"]
    return settings.get("discovery") == "pushed" and bool(settings["policy-limits"].get("peers"))


def migrate(
    old: dict[str, Any], listen: str | None, others: Sequence[str], kinds: Sequence[str], weights: str
) -> Migration:
    """Converts a valid configuration of the old form; `listen` and `others` are the addresses of the pool."""
    settings = dict(old["settings"])
    migration = Migration({key: old[key] for key in KNOWN_KEYS if key in old} | {"settings": settings})
    migration.left += [f"{key}: an unknown key" for key in old if key not in KNOWN_KEYS]
    if settings.get("weight-kind") in ("nominal", "rough"):
        migration.left.append(
            f"settings.weight-kind {settings['weight-kind']}: the new list tells no sizes, they "
            "are learnt by kind; the first seconds go without"
        )
    migration.change(settings, "discovery", "pushed")
    migration.change(settings, "weight-kind", weights)
    limits = settings["policy-limits"] = dict(settings["policy-limits"])
    migration.change(limits, "peers", True, "settings.policy-limits.")
    if listen:
        migration.change(settings, "peers-total", len(others) + 1)
        migration.change(migration.new, "peers", {"listen": listen, "others": list(others)}, "")
    else:
        migration.wanted.append(
            "peers: without 'listen' and 'others' the sidecar goes by its own exchanges alone"
        )
    if kinds:
        migration.change(settings, "kinds", list(kinds))
    elif not settings.get("kinds"):
        migration.wanted.append(
            "settings.kinds: names of machines as the list has them; else all are one kind"
        )
    if not settings.get("tenants"):
        migration.wanted.append("settings.tenants: with allowance-per-s, where shares are to be kept")
    migration.wanted.append("settings.contract, settings.traffic-types, settings.prices: the new figures")
    types = settings["traffic-types"] = [dict(traffic_type) for traffic_type in settings["traffic-types"]]
    migration.left += [
        f"settings.traffic-types[{index}].{key} {traffic_type.pop(key)}: read no longer"
        for index, traffic_type in enumerate(types)
        for key in UNUSED_KEYS
        if key in traffic_type
    ]
    entries = (old.get("known") or {}).get("instances", [])
    if any("weight" in entry for entry in entries):
        migration.new["known"] = {
            **old["known"],
            "instances": [
                {key: value for key, value in entry.items() if key != "weight"} for entry in entries
            ],
        }
        migration.left.append(f"known.instances[].weight: of {len(entries)} endpoints")
    touched = {line.partition(":")[0] for line in migration.changed} | {"settings.policy-limits"}
    migration.carried += [key for key in migration.new if key not in ("settings", "peers")]
    migration.carried += [f"settings.{key}" for key in old["settings"] if f"settings.{key}" not in touched]
    return migration


def write(path: Path, text: bytes, mode: int, force: bool) -> None:
    """Writes a file atomically. Raises OSError, FileExistsError if the file exists and `force` is false."""
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, mode)
        with os.fdopen(fd, "wb") as file:
            file.write(text)
            os.fchmod(file.fileno(), mode)
        if force:
            os.replace(temporary, path)
        else:
            os.link(temporary, path)  # raises FileExistsError if the target exists
    finally:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(temporary)


def main(options: argparse.Namespace) -> int:
    """Converts a configuration as the command line asks. Raises ConfigFault if that is impossible."""
    source, target = Path(options.old), Path(options.output)
    old = read(options.old)
    check(options.old, old)
    if is_new(old):
        report(options, "already of the new shape, nothing to do", Migration(old))
        return 0
    if target.exists() and target.samefile(source):
        raise ConfigFault(f"{target}: the output is the same file as the input; name another one")
    kinds = [kind.strip() for kind in options.kinds.split(",") if kind.strip()]
    migration = migrate(old, options.peer_listen, options.peer, kinds, options.weights)
    check(options.output, migration.new)
    if not options.dry_run:
        try:
            write(
                target,
                orjson.dumps(migration.new, option=orjson.OPT_INDENT_2) + b"\n",
                stat.S_IMODE(source.stat().st_mode),
                options.force,
            )
        except OSError as error:
            raise InaccessibleFileError(
                f"{target}: {error.strerror}",
                "name a file in a writable folder, or pass --force to overwrite an existing file",
            ) from None
    report(options, "would be written" if options.dry_run else "written", migration)
    return 0


def report(options: argparse.Namespace, result: str, migration: Migration) -> None:
    """Prints the result and the report, as text or as JSON."""
    if options.json:
        print(
            orjson.dumps(
                {
                    "output": options.output,
                    "result": result,
                    "carried": migration.carried,
                    "changed": migration.changed,
                    "not_carried": migration.left,
                    "to_fill_in": migration.wanted,
                }
            ).decode()
        )
    else:
        print("\n".join([f"{options.output}: {result}", *migration.lines()]))
