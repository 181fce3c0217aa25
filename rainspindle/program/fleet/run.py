"""Assembly of the parts that the operators' fleet file enables: members, wallets, canaries and others."""

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

HAND_BACK = 0.15  # seconds after SIGTERM for returned rights to reach other members before this one leaves


class Fleet:
    """The fleet side of one sidecar, for the lifetime of the process."""

    def __init__(
        self,
        loop: Loop,
        config: Config,
        fleet: FleetConfig,
        load: Callable[[Config], FleetConfig],
        successor: Callable[[], bool],
    ) -> None:
        """Starts the parts.

        `load` reads the file again, `successor` tells whether a successor runs. Raises Trouble if an address
        or a folder is not available.
        """
        self.loop, self.config, self.fleet, self.load = loop, config, fleet, load
        self.parts: list[Part] = []
        self.core: Core | None = None
        self.leaving_at = math.inf
        table = fleet.file.members
        persistence = (
            Lasting(fleet.folder, table.name or config.name, table.fleet) if fleet.file.keep else None
        )
        options = MembershipOptions(
            self.member_changed,
            successor,
            shares_address=config.console is not None,
            incarnation_above=persistence.life if persistence else 0,
        )
        self.members = MembershipComponent(loop, table, config, options)
        if persistence is not None:
            persistence.give_cells(self.members.registers, loop.now())
        context = Ground(loop, config, self.members.view(), self.members.registers, fleet.folder)
        shuffler = random.Random(secrets.randbits(64))
        self.canaries = CanaryRun(
            context, fleet.file.canary, lambda names: shuffler.sample(names, len(names))
        )
        self.wallets = WalletRun(context, fleet.file.wallet) if fleet.file.wallet else None
        file = fleet.file
        self.evidence = EvidenceRun(context, file.evidence) if file.evidence else None
        self.listing = ListRun(context, file.listing, bool(table.seeds)) if file.listing else None
        self.keep = KeepRun(context, file.keep, persistence, bool(table.seeds)) if file.keep else None
        self.joined: list[Joined] = [part for part in (self.evidence, self.listing, self.keep) if part]
        self.parts = [*self.joined, self.canaries, *([self.wallets] if self.wallets else [])]
        self.ticker = loop.spawn(loop.lasting(self.ticking), urgent=True)

    # Requests.

    def make_core(
        self,
        make_back: Callable[[Directory], Back],
        on_watch: Callable[[], None],
        on_tick: Callable[[], None],
    ) -> Core:
        """Returns one core, or one that is split in two sides if canaries are configured."""
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
        """Returns what the front passes requests to: the parts, with `core` behind them."""
        taker: Taker = core
        for part in self.parts:  # the last part receives a request first
            taker = part.taker(taker)
        return taker

    def attach(self, core: Core, follower: Follower) -> None:
        """Connects the parts to core and discovery, before the first request."""
        for part in self.joined:
            part.attach(core, follower)

    def ready_from(self, now: float) -> float:
        """Returns the time from which all parts allow the listener to be opened."""
        return max((part.ready_from(now) for part in self.joined), default=now)

    def connect_load_reports(self, core: Core, on_report: Callable[[str, str], None]) -> None:
        """Exchanges load reports over the members; `on_report` gets sender and text of each received one."""
        core.tell = self.members.publish_load_report
        self.members.members.on_load_report = lambda now, who, text: on_report(who, text)

    # Events.

    def member_changed(self, now: float, before: Member | None, after: Member) -> None:
        """Passes a changed member on to the parts, and drops the load reports of one that is gone."""
        if self.core is not None and after.status in (MemberStatus.DEAD, MemberStatus.LEFT):
            self.core.peer_gone(after.name)
        for part in self.parts:
            part.member_changed(now, before, after)

    def ticking(self) -> Coroutine[None]:
        """Calls the parts when they are due, and leaves the fleet when its time has come."""
        while True:
            now = self.loop.now()
            until = min(part.tick(now) for part in self.parts)
            if now >= self.leaving_at:
                self.leaving_at = math.inf
                self.members.leave()
            yield min(until, self.leaving_at)

    def call(self, call: FleetCall) -> Answer:
        """Executes an operator's call."""
        if call.path[0] == "members":
            if len(call.path) > 1:
                return error_answer(404, "no such call", "ask GET /-/members")
            return (
                Answer(200, self.members.to_json())
                if call.method in ("GET", "HEAD")
                else error_answer(405, f"/-/members wants GET, not {call.method}", "ask with GET")
            )
        try:
            for part in self.parts:
                answer = part.call(self.loop.now(), call.method, call.path, call.query)
                if answer is not None:
                    self.ticker.wake()
                    return answer
        except Trouble as error:
            return error_answer(409, str(error), error.remedy)
        return error_answer(
            404,
            f"the fleet file of this sidecar configures no {call.path[0]}",
            f"configure them in {self.fleet.path} and restart",
        )

    def reload(self, config: Config) -> None:
        """Reads the fleet file again, on SIGHUP."""
        try:
            new = self.load(config)
        except ConfigFault as error:
            for line in str(error).splitlines():
                log.error(
                    "fleet file refused, the old one stays",
                    extra={"fields": {"why": line, "remedy": error.remedy}},
                )
            return
        now, needs_restart = self.loop.now(), self.members.reload(new.file.members)
        needs_restart += self.canaries.reload(now, new.file.canary)
        if self.wallets is not None:
            needs_restart += self.wallets.reload(now, new.file.wallet)
        elif new.file.wallet:
            needs_restart.append("wallet")
        for name, part in (("evidence", self.evidence), ("listing", self.listing), ("keep", self.keep)):
            table, key = getattr(new.file, name), "list" if name == "listing" else name
            if (part is None) != (table is None):
                needs_restart.append(key)
            elif part is not None:
                needs_restart += part.reload(now, table)
        self.fleet = new
        log.info(
            "fleet file read again", extra={"fields": {"needs_restart": ",".join(needs_restart) or "nothing"}}
        )

    def leave(self) -> None:
        """Reacts to SIGTERM.

        The member leaves only after its rights had time to be handed back: other members ignore one that has
        left.
        """
        now = self.loop.now()
        for part in self.parts:
            part.leave(now)
        self.leaving_at = now + (HAND_BACK if self.wallets else 0.0)
        self.ticker.wake()

    def close(self) -> None:
        """Closes the parts and leaves the fleet, just before the process ends."""
        for part in reversed(self.parts):
            part.close()
        self.members.leave()  # in case the process ends before `leaving_at`
        self.members.close()

    def figures(self) -> Mapping[str, object]:
        """Returns the counters for the last log line."""
        figures = dict(self.members.metrics())
        for part in self.parts:
            figures.update(part.figures())
        return figures


def error_answer(status: int, error: str, remedy: str) -> Answer:
    """Returns the response to a call that is refused."""
    return Answer(status, {"error": error, "remedy": remedy})
