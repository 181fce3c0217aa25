"""The command line."""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Sequence
from typing import Any

from .. import __version__
from . import logs
from .config import ConfigFault, load
from .serve import Sidecar


def parser(lab: Any = None) -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(prog="rainspindle",
                                  description="A load balancer beside each client process.")
    commands = top.add_subparsers(dest="command", required=True)
    serve = commands.add_parser("serve", help="serve as one sidecar until SIGTERM")
    check = commands.add_parser("check", help="read a configuration and say whether it can be served")
    for command in (serve, check):
        command.add_argument("--config", metavar="FILE", help="default: $RELAY_CONFIG")
    serve.add_argument("--log-level", default="info", choices=("debug", "info", "warning", "error"))
    commands.add_parser("version", help="print the version")
    if lab is None:
        commands.add_parser("lab", help="experiments on a model of the fleet, or on loopback sockets")
    else:
        lab.add_to(commands)
    return top


def the_lab(arguments: Sequence[str]) -> Any:
    """The lab's commands, where they are asked for: `serve` must not pay for its libraries."""
    if arguments[:1] != ["lab"]:
        return None
    try:
        from ..lab import command
    except ImportError as fault:
        raise ConfigFault(f"the lab needs the libraries of requirements-lab.txt: {fault}") from None
    return command


def main(arguments: Sequence[str] | None = None) -> int:
    arguments = list(sys.argv[1:] if arguments is None else arguments)
    try:
        lab = the_lab(arguments)
    except ConfigFault as fault:
        print(f"rainspindle: {fault}", file=sys.stderr)
        return 2
    options = parser(lab).parse_args(arguments)
    if options.command == "lab":
        return int(lab.main(options))
    if options.command == "version":
        print(f"rainspindle {__version__}")
        return 0
    try:
        config = load(options.config, os.environ)
        if options.command == "check":
            print(f"{config.name}: {len(config.known.lines)} endpoints known, "
                  f"traffic types {', '.join(config.settings.type_names)}")
            return 0
        logs.set_up(options.log_level)
        sidecar = Sidecar(config, lambda: load(options.config, os.environ))
    except (ConfigFault, OSError) as fault:
        print(f"rainspindle: {fault}", file=sys.stderr)
        return 2
    sidecar.run()
    return 0
