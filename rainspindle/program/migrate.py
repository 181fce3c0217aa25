"""The move of one sidecar's configuration from the old shape of a deployment to the new one.

Old: a sidecar beside each client, a list that is asked for and tells sizes, sidecars apart. New: a pool of
sidecars, a list that is pushed, kinds in place of sizes, messages between sidecars.
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

from .config import ConfigFault, Unopened, check, read

UNREAD = ("overdue-value", "aim-stretch")  # of a traffic type; the module reads them no longer
KNOWN = ("name", "listen", "discovery", "seed", "limits", "console", "known", "settings", "peers")


@dataclass(slots=True)
class Migration:
    """The new configuration, and by key what became of the old one."""

    new: dict[str, Any]
    carried: list[str] = field(default_factory=list)
    changed: list[str] = field(default_factory=list)
    left: list[str] = field(default_factory=list)  # not carried over
    wanted: list[str] = field(default_factory=list)  # for the operator to fill in

    def change(self, holder: dict[str, Any], key: str, value: Any, where: str = "settings.") -> None:
        if holder.get(key) != value:
            self.changed.append(f"{where}{key}: {shown(holder.get(key))} -> {shown(value)}")
        holder[key] = value

    def lines(self) -> list[str]:
        return [
            f"{what}: {line}"
            for what, lines in (
                ("carried", self.carried),
                ("changed", self.changed),
                ("not carried over", self.left),
                ("to fill in", self.wanted),
            )
            for line in lines
        ]


def shown(value: Any) -> str:
    return "absent" if value is None else orjson.dumps(value).decode()


def is_new(raw: Mapping[str, Any]) -> bool:
    settings = raw["settings"]
    return settings.get("discovery") == "pushed" and bool(settings["policy-limits"].get("peers"))


def migrate(
    old: dict[str, Any], listen: str | None, others: Sequence[str], kinds: Sequence[str], weights: str
) -> Migration:
    settings = dict(old["settings"])
    made = Migration({key: old[key] for key in KNOWN if key in old} | {"settings": settings})
    made.left += [f"{key}: an unknown key" for key in old if key not in KNOWN]
    if settings.get("weight-kind") in ("nominal", "rough"):
        made.left.append(
            f"settings.weight-kind {settings['weight-kind']}: the new list tells no sizes, they "
            "are learnt by kind; the first seconds go without"
        )
    made.change(settings, "discovery", "pushed")
    made.change(settings, "weight-kind", weights)
    limits = settings["policy-limits"] = dict(settings["policy-limits"])
    made.change(limits, "peers", True, "settings.policy-limits.")
    if listen:
        made.change(settings, "peers-total", len(others) + 1)
        made.change(made.new, "peers", {"listen": listen, "others": list(others)}, "")
    else:
        made.wanted.append("peers: without 'listen' and 'others' the sidecar goes by its own exchanges alone")
    if kinds:
        made.change(settings, "kinds", list(kinds))
    elif not settings.get("kinds"):
        made.wanted.append("settings.kinds: names of machines as the list has them; else all are one kind")
    if not settings.get("tenants"):
        made.wanted.append("settings.tenants: with allowance-per-s, where shares are to be kept")
    made.wanted.append("settings.contract, settings.traffic-types, settings.prices: the new figures")
    types = settings["traffic-types"] = [dict(kind) for kind in settings["traffic-types"]]
    made.left += [
        f"settings.traffic-types[{n}].{key} {kind.pop(key)}: read no longer"
        for n, kind in enumerate(types)
        for key in UNREAD
        if key in kind
    ]
    entries = (old.get("known") or {}).get("instances", [])
    if any("weight" in entry for entry in entries):
        made.new["known"] = {
            **old["known"],
            "instances": [
                {key: value for key, value in entry.items() if key != "weight"} for entry in entries
            ],
        }
        made.left.append(f"known.instances[].weight: of {len(entries)} endpoints")
    touched = {line.partition(":")[0] for line in made.changed} | {"settings.policy-limits"}
    made.carried += [key for key in made.new if key not in ("settings", "peers")]
    made.carried += [f"settings.{key}" for key in old["settings"] if f"settings.{key}" not in touched]
    return made


def write(path: Path, text: bytes, mode: int, force: bool) -> None:
    """Whole or not at all. Raises OSError, FileExistsError too."""
    made = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        fd = os.open(made, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, mode)
        with os.fdopen(fd, "wb") as file:
            file.write(text)
            os.fchmod(file.fileno(), mode)
        if force:
            os.replace(made, path)
        else:
            os.link(made, path)  # fails where there is one
    finally:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(made)


def main(options: argparse.Namespace) -> int:
    """Raises ConfigFault."""
    source, target = Path(options.old), Path(options.output)
    old = read(options.old)
    check(options.old, old)
    if is_new(old):
        report(options, "already of the new shape, nothing to do", Migration(old))
        return 0
    if target.exists() and target.samefile(source):
        raise ConfigFault(f"{target}: is the old file itself")
    kinds = [kind.strip() for kind in options.kinds.split(",") if kind.strip()]
    made = migrate(old, options.peer_listen, options.peer, kinds, options.weights)
    check(options.output, made.new)
    if not options.dry_run:
        try:
            write(
                target,
                orjson.dumps(made.new, option=orjson.OPT_INDENT_2) + b"\n",
                stat.S_IMODE(source.stat().st_mode),
                options.force,
            )
        except OSError as fault:
            raise Unopened(
                f"{target}: {fault.strerror}",
                "name one in a folder that may be written, or --force one that is there",
            ) from None
    report(options, "would be written" if options.dry_run else "written", made)
    return 0


def report(options: argparse.Namespace, what: str, made: Migration) -> None:
    if options.json:
        print(
            orjson.dumps(
                {
                    "output": options.output,
                    "result": what,
                    "carried": made.carried,
                    "changed": made.changed,
                    "not_carried": made.left,
                    "to_fill_in": made.wanted,
                }
            ).decode()
        )
    else:
        print("\n".join([f"{options.output}: {what}", *made.lines()]))
