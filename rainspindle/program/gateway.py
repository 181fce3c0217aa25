"""The gateway of one site: a sidecar whose exchanges may cross to another site, and that takes in others'."""

from __future__ import annotations

import logging
import secrets
import time
from collections.abc import Callable, Iterator

from ..balancer.host import Idempotency
from ..decisions.sites.intake import Intake
from ..decisions.sites.sites import Sites
from ..fronts.link.link import Link
from ..protocol.settings import traffic_type
from ..routing.core import Taker
from ..routing.sites import SiteRouter
from ..transport.connection import Listener
from .config import ConfigFault
from .gateway_config import GatewayConfig
from .serve import Sidecar

log = logging.getLogger("rainspindle.gateway")


def new_epoch() -> int:
    """Of this start: grows from start to start while the clock does, and is never the same twice."""
    return (time.time_ns() // 1_000_000 << 20) | secrets.randbits(20)


class Gateway(Sidecar):
    streams = False  # what crosses to another site is whole

    def __init__(self, config: GatewayConfig, load: Callable[[], GatewayConfig]) -> None:
        """`load` reads the gateway's file again."""
        self.gateway, self.load_gateway = config, load
        super().__init__(config.sidecar, lambda: load().sidecar)
        self.link_listener = Listener(self.loop, config.link, self.link.accepted, self.make_room)
        log.info(
            "gateway",
            extra={
                "fields": {
                    "site": config.site,
                    "link": f"{self.link_listener.address[0]}:{self.link_listener.address[1]}",
                    "peers": self.link.describe(),
                }
            },
        )

    def taker(self) -> Taker:
        config, now = self.gateway, self.loop.now()
        self.sites = Sites(config.site, list(config.peers), config.sidecar.seed, now, log.info)
        self.intake = Intake(now, config.part, config.floor, log.info)
        types = [traffic_type(t) for t in config.sidecar.raw_settings["traffic-types"]]
        self.router = SiteRouter(self.loop, self.core, self.sites, self.intake, types, config.one_group)
        self.link = Link(
            self.loop,
            config.site,
            new_epoch(),
            lambda: self.gateway.keys,
            self.core,
            self.intake,
            config.sidecar.settings.type_names,
            [t.idempotency is Idempotency.IDEMPOTENT for t in types],
            config.stall,
            config.connections,
            lambda site, up: self.sites.linked(self.loop.now(), site, up),
        )
        self.link.set_peers(config.peers)
        self.router.peers.update(self.link.peers)
        return self.router

    def each_tick(self) -> None:
        super().each_tick()
        self.sites.tick(self.loop.now())
        self.intake.tick(self.loop.now())

    def reload(self) -> None:
        """Peers, keys and the intake take effect at once, and whatever a sidecar takes over."""
        try:
            new = self.load_gateway()
        except ConfigFault as fault:
            log.error("configuration refused, the old one stays", extra={"fields": fault.fields()})
            return
        super().reload()
        old, self.gateway = self.gateway, new
        self.intake.part, self.intake.floor = new.part, new.floor
        self.sites.set_peers(list(new.peers), self.loop.now())
        self.link.set_peers(new.peers)
        self.router.peers = dict(self.link.peers)
        later = [
            name
            for name in ("site", "link", "stall", "connections", "one_group")
            if getattr(old, name) != getattr(new, name)
        ]
        log.info(
            "gateway's file read again",
            extra={
                "fields": {
                    "peers": self.link.describe(),
                    "foreign": new.part,
                    "keys": len(new.keys),
                    "needs_restart": ",".join(later) or "nothing",
                }
            },
        )

    def begin_leaving(self) -> None:
        self.link.leave()

    def close_listeners(self) -> None:
        super().close_listeners()
        self.link_listener.close()

    def figures(self) -> Iterator[tuple[str, object]]:
        yield from super().figures()
        yield "crossed", self.router.crossed
        yield "crossed_free", self.router.crossed_free
        yield "taken_in", self.link.taken_in
        yield "refused", self.link.refused
        yield "turned_away", self.intake.turned_away
        yield "moves", self.sites.moves
        yield "spills", self.sites.spills
        yield "link_faults", self.link.faults
