"""The gateway of one site: a sidecar that also sends requests to other sites and accepts theirs."""

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
    """Returns the epoch of this start: wall clock in milliseconds, then 20 random bits against repeats."""
    return (time.time_ns() // 1_000_000 << 20) | secrets.randbits(20)


class Gateway(Sidecar):
    """A sidecar with a link to the gateways of other sites."""

    streams = False  # a request is sent to another site only when its body is complete

    def __init__(self, config: GatewayConfig, load: Callable[[], GatewayConfig]) -> None:
        """Takes `load`, which reads the gateway's configuration file again."""
        self.gateway_config, self.reload_gateway_config = config, load
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
        """Creates the site selection and the link, and returns the router between core and link."""
        config, now = self.gateway_config, self.loop.now()
        self.sites = Sites(config.site, list(config.peers), config.sidecar.seed, now, log.info)
        self.intake = Intake(now, config.part, config.floor, log.info)
        traffic_classes = [traffic_type(table) for table in config.sidecar.raw_settings["traffic-types"]]
        self.router = SiteRouter(
            self.loop, self.core, self.sites, self.intake, traffic_classes, config.one_group
        )
        self.link = Link(
            self.loop,
            config.site,
            new_epoch(),
            lambda: self.gateway_config.keys,
            self.core,
            self.intake,
            config.sidecar.settings.type_names,
            [traffic_class.idempotency is Idempotency.IDEMPOTENT for traffic_class in traffic_classes],
            config.stall,
            config.connections,
            lambda site, up: self.sites.linked(self.loop.now(), site, up),
        )
        self.link.set_peers(config.peers)
        self.router.peers.update(self.link.peers)
        return self.router

    def each_tick(self) -> None:
        """Also ticks the site selection and the admission control."""
        super().each_tick()
        self.sites.tick(self.loop.now())
        self.intake.tick(self.loop.now())

    def reload(self) -> None:
        """Applies the file's peers, keys and admission limits at once, and what a sidecar reloads."""
        try:
            new = self.reload_gateway_config()
        except ConfigFault as fault:
            log.error("configuration refused, the old one stays", extra={"fields": fault.fields()})
            return
        super().reload()
        old, self.gateway_config = self.gateway_config, new
        self.intake.part, self.intake.floor = new.part, new.floor
        self.sites.set_peers(list(new.peers), self.loop.now())
        self.link.set_peers(new.peers)
        self.router.peers = dict(self.link.peers)
        needs_restart = [
            name
            for name in ("site", "link", "stall", "connections", "one_group")
            if getattr(old, name) != getattr(new, name)
        ]
        log.info(
            "gateway configuration reloaded",
            extra={
                "fields": {
                    "peers": self.link.describe(),
                    "foreign": new.part,
                    "keys": len(new.keys),
                    "needs_restart": ",".join(needs_restart) or "nothing",
                }
            },
        )

    def begin_leaving(self) -> None:
        """Stops opening and accepting requests over the link."""
        self.link.leave()

    def close_listeners(self) -> None:
        """Also closes the listener of the link."""
        super().close_listeners()
        self.link_listener.close()

    def figures(self) -> Iterator[tuple[str, object]]:
        """Also yields the counters of the link, the admission control and the site selection."""
        yield from super().figures()
        yield "crossed", self.router.crossed
        yield "crossed_free", self.router.crossed_free
        yield "taken_in", self.link.taken_in
        yield "refused", self.link.refused
        yield "turned_away", self.intake.turned_away
        yield "moves", self.sites.moves
        yield "spills", self.sites.spills
        yield "link_faults", self.link.faults
