"""What the operator's fleet file switches on in one sidecar: members, wallets and canaries put together."""

from __future__ import annotations

import logging
import math
import random
import secrets
from collections.abc import Callable, Mapping

from ...decisions.members.member import Member, MemberStatus
from ...errors import Trouble
from ...protocol.console import FleetCall
from ...routing.core import Back, Core, Directory, Taker
from ...routing.follow import Follower
from ...transport.loop import Coroutine, Loop
from ..config import Config, ConfigFault
from .canary import CanaryRun, make_split_core
from .config import FleetConfig
from .evidence import EvidenceRun
from .ground import Answer, Ground, Joined, Part
from .keep import KeepRun, Lasting
from .listing import ListRun
from .members import MembershipComponent, MembershipOptions
from .wallet import WalletRun

log = logging.getLogger("rainspindle.fleet")

HAND_BACK = 0.15  # seconds after SIGTERM for rights to reach the others, before this member says it leaves


class Fleet:
    """One sidecar's part of its fleet, from its start to its end."""

    def __init__(
        self,
        loop: Loop,
        config: Config,
        fleet: FleetConfig,
        load: Callable[[Config], FleetConfig],
        successor: Callable[[], bool],
    ) -> None:
        """`load` reads the file again. Raises Trouble where an address or a folder cannot be had."""
        self.loop, self.config, self.fleet, self.load = loop, config, fleet, load
        self.parts: list[Part] = []
        self.core: Core | None = None
        self.leaving_at = math.inf
        table = fleet.file.members
        kept = Lasting(fleet.folder, table.name or config.name, table.fleet) if fleet.file.keep else None
        options = MembershipOptions(
            self.member_changed,
            successor,
            shares_address=config.console is not None,
            incarnation_above=kept.life if kept else 0,
        )
        self.members = MembershipComponent(loop, table, config, options)
        if kept is not None:
            kept.give_cells(self.members.registers, loop.now())
        ground = Ground(loop, config, self.members.view(), self.members.registers, fleet.folder)
        chance = random.Random(secrets.randbits(64))
        self.canaries = CanaryRun(ground, fleet.file.canary, lambda names: chance.sample(names, len(names)))
        self.wallets = WalletRun(ground, fleet.file.wallet) if fleet.file.wallet else None
        file = fleet.file
        self.evidence = EvidenceRun(ground, file.evidence) if file.evidence else None
        self.listing = ListRun(ground, file.listing, bool(table.seeds)) if file.listing else None
        self.keep = KeepRun(ground, file.keep, kept, bool(table.seeds)) if file.keep else None
        self.joined: list[Joined] = [part for part in (self.evidence, self.listing, self.keep) if part]
        self.parts = [*self.joined, self.canaries, *([self.wallets] if self.wallets else [])]
        self.ticker = loop.spawn(loop.lasting(self.ticking), urgent=True)

    # The exchanges' way.

    def make_core(
        self,
        make_back: Callable[[Directory], Back],
        on_watch: Callable[[], None],
        on_tick: Callable[[], None],
    ) -> Core:
        """One core, or one for each side where a canary has endpoints."""
        config = self.config
        if self.fleet.file.canary:
            self.core = make_split_core(
                self.loop, config, self.fleet.file.canary, make_back, on_watch, on_tick
            )
        else:
            directory = Directory()
            self.core = Core(
                self.loop,
                config.facade(self.loop.now()),
                config.settings,
                directory,
                make_back(directory),
                on_watch,
                on_tick,
            )
        return self.core

    def taker(self, core: Core) -> Taker:
        taker: Taker = core
        for part in self.parts:  # the last one is the first that an exchange comes to
            taker = part.taker(taker)
        return taker

    def attach(self, core: Core, follower: Follower) -> None:
        """All that exchanges go through is there, and none has come yet."""
        for part in self.joined:
            part.attach(core, follower)

    def ready_from(self, now: float) -> float:
        """When the door may open, as far as the fleet knows."""
        return max((part.ready_from(now) for part in self.joined), default=now)

    def carry_words(self, core: Core, heard: Callable[[str, str], None]) -> None:
        """The pool's word goes over the members."""
        core.tell = self.members.publish_load_report
        self.members.members.on_load_report = lambda now, who, text: heard(who, text)

    # What happens.

    def member_changed(self, now: float, before: Member | None, after: Member) -> None:
        if self.core is not None and after.status in (MemberStatus.DEAD, MemberStatus.LEFT):
            self.core.peer_gone(after.name)
        for part in self.parts:
            part.member_changed(now, before, after)

    def ticking(self) -> Coroutine[None]:
        while True:
            now = self.loop.now()
            until = min(part.tick(now) for part in self.parts)
            if now >= self.leaving_at:
                self.leaving_at = math.inf
                self.members.leave()
            yield min(until, self.leaving_at)

    def call(self, call: FleetCall) -> Answer:
        """A call of the staff."""
        if call.path[0] == "members":
            if len(call.path) > 1:
                return no(404, "no such call", "ask GET /-/members")
            return (
                Answer(200, self.members.to_json())
                if call.method in ("GET", "HEAD")
                else no(405, f"/-/members wants GET, not {call.method}", "ask with GET")
            )
        try:
            for part in self.parts:
                answer = part.call(self.loop.now(), call.method, call.path, call.query)
                if answer is not None:
                    self.ticker.wake()
                    return answer
        except Trouble as fault:
            return no(409, str(fault), fault.remedy)
        return no(
            404,
            f"the fleet file of this sidecar has no {call.path[0]}",
            f"name them in {self.fleet.path} and restart",
        )

    def reload(self, config: Config) -> None:
        """SIGHUP: the file is read again."""
        try:
            new = self.load(config)
        except ConfigFault as fault:
            for line in str(fault).splitlines():
                log.error(
                    "fleet file refused, the old one stays",
                    extra={"fields": {"why": line, "remedy": fault.remedy}},
                )
            return
        now, later = self.loop.now(), self.members.reload(new.file.members)
        later += self.canaries.reload(now, new.file.canary)
        if self.wallets is not None:
            later += self.wallets.reload(now, new.file.wallet)
        elif new.file.wallet:
            later.append("wallet")
        for name, part in (("evidence", self.evidence), ("listing", self.listing), ("keep", self.keep)):
            table, key = getattr(new.file, name), "list" if name == "listing" else name
            if (part is None) != (table is None):
                later.append(key)
            elif part is not None:
                later += part.reload(now, table)
        self.fleet = new
        log.info("fleet file read again", extra={"fields": {"needs_restart": ",".join(later) or "nothing"}})

    def leave(self) -> None:
        """SIGTERM. Guards against rights that are handed back by one of whom nobody listens any more."""
        now = self.loop.now()
        for part in self.parts:
            part.leave(now)
        self.leaving_at = now + (HAND_BACK if self.wallets else 0.0)
        self.ticker.wake()

    def close(self) -> None:
        """The process ends."""
        for part in reversed(self.parts):
            part.close()
        self.members.leave()  # where it ends sooner
        self.members.close()

    def figures(self) -> Mapping[str, object]:
        figures = dict(self.members.metrics())
        for part in self.parts:
            figures.update(part.figures())
        return figures


def no(status: int, error: str, remedy: str) -> Answer:
    return Answer(status, {"error": error, "remedy": remedy})
