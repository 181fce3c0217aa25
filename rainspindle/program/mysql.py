"""Sidecar whose clients and servers speak the MySQL wire protocol."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator
from dataclasses import replace

from ..decisions.statements.parse import parse
from ..decisions.statements.statements import Statements
from ..fronts.mysql.back import MysqlBack
from ..fronts.mysql.front import MysqlFront
from ..fronts.mysql.servers import ServerPool
from ..protocol.settings import EFFECTS
from ..routing.core import Back, Directory
from .config import ConfigFault
from .mysql_config import MysqlConfig
from .serve import Front, Sidecar

log = logging.getLogger("rainspindle.mysql")
# Of several statements in one text, the effect with the highest rank applies.
RANKS = {"read_like": 0, "idempotency_key": 1, "non_idempotent": 2}
assert set(RANKS) == set(EFFECTS)


class MysqlSidecar(Sidecar):
    """Sidecar that runs the MySQL front and its server connections."""

    def __init__(self, config: MysqlConfig, load: Callable[[], MysqlConfig]) -> None:
        """Take `load` as the function that reads the configuration file again."""
        self.mysql, self.load_mysql = config, load
        super().__init__(config.sidecar, lambda: load().sidecar)

    def make_back(self, directory: Directory) -> Back:
        """Create the server connection pool and the back end that uses it."""
        self.servers = ServerPool(self.loop, self.mysql.most_each)
        self.back = MysqlBack(self.loop, self.servers, self.config.settings, directory)
        return self.back

    def make_front(self, most_clients: int) -> Front:
        """Create the MySQL front."""
        self.mysql_front = MysqlFront(
            self.loop,
            self.core,
            self.taker(),
            self.back,
            self.statements(),
            self.mysql.users,
            self.mysql.most_clients,
        )
        return self.mysql_front

    def statements(self) -> Statements:
        """Build the statement classifier; a reload replaces it, with an empty cache."""
        traffic_types = self.config.raw_settings["traffic-types"]
        return Statements(
            self.mysql.rules,
            self.mysql.default,
            [RANKS[traffic_type["effect"]] for traffic_type in traffic_types],
            parse,
        )

    def each_tick(self) -> None:
        """Close expired server connections."""
        self.servers.close_expired()

    def reload(self) -> None:
        """Apply new users, rules and limits at once; authenticated sessions stay.

        If the traffic classes differ from those of the running process, the rules need a restart.
        """
        try:
            new_config = self.load_mysql()
        except ConfigFault as error:
            log.error("configuration refused; keeping the current one", extra={"fields": error.fields()})
            return
        super().reload()
        # Rules hold indexes of traffic classes, so they are only valid with the settings they were read with.
        rules_need_restart = self.settings_differ(new_config)
        if rules_need_restart:
            new_config = replace(new_config, rules=self.mysql.rules, default=self.mysql.default)
        self.mysql = new_config
        self.mysql_front.users, self.mysql_front.most_clients = new_config.users, new_config.most_clients
        self.mysql_front.statements = self.statements()
        self.servers.most_each = new_config.most_each
        log.info(
            "MySQL configuration reloaded",
            extra={
                "fields": {
                    "users": len(new_config.users),
                    "rules": len(new_config.rules),
                    "needs_restart": "rules" if rules_need_restart else "nothing",
                }
            },
        )

    def settings_differ(self, new_config: MysqlConfig) -> bool:
        """Return whether the traffic classes of a new configuration differ from those in use."""
        running, loaded = self.config.settings, new_config.sidecar.settings
        return (running.type_names, running.binding) != (loaded.type_names, loaded.binding)

    def figures(self) -> Iterator[tuple[str, object]]:
        """Yield the sidecar's metrics, then those of the MySQL front."""
        yield from super().figures()
        yield "sessions", self.mysql_front.sessions
        yield "pins", self.mysql_front.pins
        yield "server_connections", self.servers.created
        yield "server_reused", self.servers.reused
        yield "server_resets", self.servers.resets
        yield "parse_hits", self.mysql_front.statements.hits
        yield "parse_misses", self.mysql_front.statements.misses
