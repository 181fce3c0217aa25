"""The move of one sidecar's configuration from the old shape of a deployment to the new one.

Old: a sidecar beside each client, a list that is asked for and tells sizes, sidecars apart. New: a pool of
sidecars, a list that is pushed, kinds in place of sizes, messages between sidecars.
"""

from __future__ import annotations

import argparse
import os
from collections.abc import Sequence
from typing import Any

import orjson

from ..transport.address import address_text, parse_address
from .config import ConfigFault, decode, read

UNREAD = ("overdue-value", "aim-stretch")  # of a traffic type; the module reads them no longer
CARRIED = ("name", "listen", "discovery", "seed", "limits", "console", "known", "settings")


def add_to(commands: Any) -> None:
    move = commands.add_parser(
        "move", help="write a configuration's counterpart for a pool of sidecars",
        epilog="Example: rainspindle move --config old.json --out new.json --peer-listen 10.0.0.4:7400 "
               "--peer 10.0.0.5:7400 --kinds fast,small --dry-run")
    move.add_argument("--config", metavar="FILE", required=True, help="the old file; it is left as it is")
    move.add_argument("--out", metavar="FILE", required=True, help="the new file; it must not exist")
    move.add_argument("--peer-listen", metavar="ADDRESS", required=True,
                      help="where this sidecar hears the others, UDP")
    move.add_argument("--peer", metavar="ADDRESS", action="append", default=[],
                      help="where another sidecar hears; once for each")
    move.add_argument("--kinds", default="", help="names of the kinds of machine as the list has them")
    move.add_argument("--weights", default="off", choices=("off", "live"),
                      help="what the new list's weights are")
    move.add_argument("--dry-run", action="store_true", help="write nothing; say what would be written")


def counterpart(old: dict[str, Any], peer_listen: str, peers: Sequence[str], kinds: Sequence[str],
                weights: str) -> tuple[dict[str, Any], list[str]]:
    """The new configuration, and what of the old one has no place in it. Raises ConfigFault."""
    left: list[str] = []
    new = {key: old[key] for key in CARRIED if key in old}
    left += [f"{key}: not a key of the new shape" for key in old if key not in CARRIED]
    settings = new["settings"] = dict(old["settings"])
    if settings.get("weight-kind") in ("nominal", "rough"):
        left.append(f"settings.weight-kind {settings['weight-kind']}: the new list tells no sizes; "
                    "they are learnt by kind, so the first seconds go without")
    settings["discovery"], settings["weight-kind"] = "pushed", weights
    settings["policy-limits"] = {**settings["policy-limits"], "peers": True}
    settings["peers-total"] = len(peers) + 1
    if kinds:
        settings["kinds"] = list(kinds)
    elif not settings.get("kinds"):
        left.append("settings.kinds: none named, so all machines count as one kind")
    settings["traffic-types"] = [{key: value for key, value in kind.items() if key not in UNREAD}
                                 for kind in settings["traffic-types"]]
    left += [f"settings.traffic-types[{n}].{key} {kind[key]}: read no longer"
             for n, kind in enumerate(old["settings"]["traffic-types"]) for key in UNREAD if kind.get(key)]
    if not settings.get("tenants"):
        left.append("settings.tenants: none, so no share is kept to; name them with allowance-per-s")
    if old.get("known"):
        known = new["known"] = {**old["known"], "instances": [
            {key: value for key, value in entry.items() if key != "weight"}
            for entry in old["known"].get("instances", [])]}
        if lost := sum(entry.get("weight", 1.0) != 1.0 for entry in old["known"].get("instances", [])):
            left.append(f"known: the weights of {lost} of {len(known['instances'])} endpoints")
    new["peers"] = {"listen": peer_listen, "others": list(peers)}
    return new, left


def main(options: argparse.Namespace) -> int:
    """Raises ConfigFault where the old file cannot be read, or its counterpart not be served."""
    old = read(options.config)
    try:
        decode(old, os.environ)
        listen = address_text(parse_address(options.peer_listen))
        others = [address_text(parse_address(peer)) for peer in options.peer]
    except KeyError as fault:
        raise ConfigFault(f"{options.config}: lacks {fault}") from None
    except (ValueError, TypeError, AttributeError) as fault:
        raise ConfigFault(f"{options.config}: {fault}") from None
    kinds = [kind.strip() for kind in options.kinds.split(",") if kind.strip()]
    new, left = counterpart(old, listen, others, kinds, options.weights)
    try:
        decode(new, os.environ)
    except (KeyError, ValueError, TypeError) as fault:
        raise ConfigFault(f"{options.out}: its counterpart could not be served: {fault}") from None
    text = orjson.dumps(new, option=orjson.OPT_INDENT_2) + b"\n"
    if not options.dry_run:
        try:
            with open(options.out, "xb") as file:
                file.write(text)
        except OSError as fault:
            raise ConfigFault(f"{options.out}: {fault.strerror}") from None
    print(f"{options.out}: {'would be written' if options.dry_run else 'written'}, {len(text)} bytes")
    for line in left:
        print(f"not carried over: {line}")
    return 0
