"""The command line interface."""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Sequence
from typing import Any

from .. import __version__
from ..errors import Trouble
from ..garbage_collection import permanent_objects

with permanent_objects():  # modules, classes and functions
    from . import logs
    from .config import PEERS_MISSING, Config, ConfigFault, MissingLibrariesError, SystemRefusedError, load
    from .serve import Sidecar


def parser(lab: Any = None) -> argparse.ArgumentParser:
    """Returns the argument parser, with the commands of `lab` if the module is given."""
    root = argparse.ArgumentParser(
        prog="rainspindle", description="A load balancer beside each client process."
    )
    commands = root.add_subparsers(dest="command", required=True)
    serve = commands.add_parser("serve", help="serve as one sidecar until SIGTERM")
    check = commands.add_parser("check", help="read a configuration and say whether it can be served")
    for command in (serve, check):
        command.add_argument("--config", metavar="FILE", help="default: $RELAY_CONFIG")
        command.add_argument(
            "--fleet",
            metavar="FILE",
            help="members, wallets and canaries, TOML; default: $RELAY_FLEET, and without either none",
        )
    gateway = commands.add_parser(
        "gateway",
        help="serve as the gateway of a site until SIGTERM",
        epilog="Example: rainspindle gateway --config deploy/gateway.toml",
    )
    gateway.add_argument("--config", metavar="FILE", required=True, help="the gateway's own file, TOML")
    gateway.add_argument("--check", action="store_true", help="read it and say whether it can be served")
    mysql = commands.add_parser(
        "mysql",
        help="serve clients of the MySQL wire protocol until SIGTERM",
        epilog="Example: rainspindle mysql --config deploy/mysql.toml",
    )
    mysql.add_argument("--config", metavar="FILE", required=True, help="the front's own file, TOML")
    mysql.add_argument("--check", action="store_true", help="read it and say whether it can be served")
    for command in (serve, gateway, mysql):
        command.add_argument("--log-level", default="info", choices=("debug", "info", "warning", "error"))
    migrate = commands.add_parser(
        "migrate",
        help="write a configuration's counterpart for a pool of sidecars",
        epilog="Example: rainspindle migrate old.json --output new.json --peer-listen 10.0.0.4:7400 "
        "--peer 10.0.0.5:7400 --kinds fast,small --dry-run",
    )
    migrate.add_argument("old", metavar="OLD", help="a file of the old shape; it is left as it is")
    migrate.add_argument("--output", metavar="NEW", required=True, help="where its counterpart goes")
    migrate.add_argument("--peer-listen", metavar="ADDRESS", help="where this sidecar hears the others, UDP")
    migrate.add_argument(
        "--peer",
        metavar="ADDRESS",
        action="append",
        default=[],
        help="where another sidecar hears; once for each",
    )
    migrate.add_argument("--kinds", default="", help="names of the kinds of machine as the list has them")
    migrate.add_argument(
        "--weights", default="off", choices=("off", "live"), help="what the new list's weights are"
    )
    migrate.add_argument("--dry-run", action="store_true", help="write nothing, print the same list")
    migrate.add_argument("--force", action="store_true", help="write over a file that is there")
    migrate.add_argument("--json", action="store_true", help="the list as one JSON object")
    commands.add_parser("version", help="print the version")
    if lab is None:
        commands.add_parser("lab", help="experiments on a model of the fleet, or on loopback sockets")
    else:
        lab.add_to(commands)
    return root


def import_lab(arguments: Sequence[str]) -> Any:
    """Imports the lab's commands if the command line uses them; `serve` must not load their libraries.

    Raises MissingLibrariesError if those libraries are missing.
    """
    if arguments[:1] != ["lab"]:
        return None
    try:
        from ..lab import command
    except ImportError as error:
        raise MissingLibrariesError(f"the lab needs the libraries in requirements-lab.txt: {error}") from None
    return command


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs a command and returns its exit status: 0, or 2 if it was refused."""
    arguments = list(sys.argv[1:] if arguments is None else arguments)
    try:
        lab = import_lab(arguments)
    except ConfigFault as error:
        return report_error(error)
    options = parser(lab).parse_args(arguments)
    if options.command == "lab":
        return int(lab.main(options))
    if options.command == "version":
        print(f"rainspindle {__version__}")
        return 0
    try:
        if options.command == "migrate":
            from . import migrate

            return migrate.main(options)
        if options.command == "gateway":
            return gateway(options)
        if options.command == "mysql":
            return mysql(options)
        fleet_path = options.fleet or os.environ.get("RELAY_FLEET")

        def read() -> Config:
            return load(options.config, os.environ, over_members=bool(fleet_path))

        try:
            config = read()
        except ConfigFault as error:
            if options.command == "check" and fleet_path:  # reports the faults of both files
                report_error(error)
                fleet(fleet_path, None)
                return 2
            raise
        make_fleet = fleet(fleet_path, config) if fleet_path else None
        if options.command == "check":
            print(
                f"{config.name}: {len(config.known.lines)} endpoints known, "
                f"traffic types {', '.join(config.settings.type_names)}"
                + (f"\n{config.name}: {PEERS_MISSING}" if config.peers_missing else "")
            )
            return 0
        logs.set_up(options.log_level)
        sidecar = Sidecar(config, read, make_fleet)
    except Trouble as error:
        return report_error(error)
    except OSError as error:
        return report_error(SystemRefusedError(str(error)))
    sidecar.run()
    return 0


def report_error(error: Trouble) -> int:
    """Prints an error, one line for each fault, and returns the exit status."""
    for line in error.line().splitlines():
        print(f"rainspindle: {line}", file=sys.stderr)
    return 2


def fleet(path: str, config: Config | None) -> Any:
    """Returns a factory for the fleet of a sidecar.

    Raises ConfigFault if the file cannot be served, and MissingLibrariesError if libraries are missing.
    """
    try:
        from .fleet.config import load_fleet
        from .fleet.run import Fleet
    except ImportError as error:
        raise MissingLibrariesError(
            f"a fleet file needs the libraries in requirements-fleet.txt: {error}"
        ) from None
    read = load_fleet(path, config)
    return lambda loop, config, successor: Fleet(
        loop, config, read, lambda new: load_fleet(path, new), successor
    )


def gateway(options: argparse.Namespace) -> int:
    """Runs the gateway of a site, or validates its file. Raises ConfigFault, also for missing libraries."""
    try:
        from .gateway import Gateway
        from .gateway_config import load_gateway
    except ImportError as error:
        raise MissingLibrariesError(
            f"a gateway needs the libraries in requirements-gateway.txt: {error}"
        ) from None
    config = load_gateway(options.config, os.environ)
    if options.check:
        print(
            f"{config.site}: peers {', '.join(config.peers) or 'none'}, {len(config.keys)} keys, "
            f"{len(config.sidecar.known.lines)} endpoints known"
        )
        return 0
    logs.set_up(options.log_level)
    Gateway(config, lambda: load_gateway(options.config, os.environ)).run()
    return 0


def mysql(options: argparse.Namespace) -> int:
    """Runs the MySQL front, or validates its file. Raises ConfigFault, also for missing libraries."""
    try:
        from .mysql import MysqlSidecar
        from .mysql_config import load_mysql
    except ImportError as error:
        raise MissingLibrariesError(
            f"the MySQL front needs the libraries in requirements-mysql.txt: {error}"
        ) from None
    config = load_mysql(options.config, os.environ)
    if options.check:
        print(
            f"{config.listen[0]}:{config.listen[1]}: {len(config.users)} users, {len(config.rules)} rules, "
            f"{len(config.sidecar.known.lines)} servers known"
        )
        return 0
    logs.set_up(options.log_level)
    MysqlSidecar(config, lambda: load_mysql(options.config, os.environ)).run()
    return 0
