"""A sidecar whose clients and servers speak the MySQL wire protocol."""

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
RANKS = {"read_like": 0, "idempotency_key": 1, "non_idempotent": 2}
assert set(RANKS) == set(EFFECTS)


class MysqlSidecar(Sidecar):
    def __init__(self, config: MysqlConfig, load: Callable[[], MysqlConfig]) -> None:
        """`load` reads the front's file again."""
        self.mysql, self.load_mysql = config, load
        super().__init__(config.sidecar, lambda: load().sidecar)

    def make_back(self, directory: Directory) -> Back:
        self.servers = ServerPool(self.loop, self.mysql.most_each)
        self.back = MysqlBack(self.loop, self.servers, self.config.settings, directory)
        return self.back

    def make_front(self, most_clients: int) -> Front:
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
        types = self.config.raw_settings["traffic-types"]
        return Statements(self.mysql.rules, self.mysql.default, [RANKS[t["effect"]] for t in types], parse)

    def each_tick(self) -> None:
        self.servers.close_expired()

    def reload(self) -> None:
        """Users, rules and limits take effect at once; sessions that are logged in stay."""
        try:
            new = self.load_mysql()
        except ConfigFault as fault:
            log.error("configuration refused, the old one stays", extra={"fields": fault.fields()})
            return
        super().reload()
        # Guards against rules that name traffic types by the numbers of other settings than those in force.
        rules_wait = self.settings_differ(new)
        if rules_wait:
            new = replace(new, rules=self.mysql.rules, default=self.mysql.default)
        self.mysql = new
        self.mysql_front.users, self.mysql_front.most_clients = new.users, new.most_clients
        self.mysql_front.statements = self.statements()
        self.servers.most_each = new.most_each
        log.info(
            "front's file read again",
            extra={
                "fields": {
                    "users": len(new.users),
                    "rules": len(new.rules),
                    "needs_restart": "rules" if rules_wait else "nothing",
                }
            },
        )

    def settings_differ(self, new: MysqlConfig) -> bool:
        """Whether the traffic types of a new file are others than those that this process runs by."""
        running, read = self.config.settings, new.sidecar.settings
        return (running.type_names, running.binding) != (read.type_names, read.binding)

    def figures(self) -> Iterator[tuple[str, object]]:
        yield from super().figures()
        yield "sessions", self.mysql_front.sessions
        yield "pins", self.mysql_front.pins
        yield "server_connections", self.servers.created
        yield "server_reused", self.servers.reused
        yield "server_resets", self.servers.resets
        yield "parse_hits", self.mysql_front.statements.hits
        yield "parse_misses", self.mysql_front.statements.misses
