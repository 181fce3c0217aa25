"""The members of the fleet file on sockets: where this process listens, its life, log and console call."""

from __future__ import annotations

import logging
import math
import random
import secrets
import time
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from typing import Any

import msgspec

from ...decisions.members.health import Tuning
from ...decisions.members.members import Member, View
from ...decisions.members.swim import Members
from ...decisions.shared.cells import Cells
from ...errors import Trouble
from ...protocol.members import MOST, MOST_NAME
from ...store.file import Missing, StoredFile, Unfit
from ...transport.address import Address, address_text, parse_address
from ...transport.loop import Coroutine, Loop, Task
from ...transport.wire import Wire
from ..config import Config

log = logging.getLogger("rainspindle.members")

LIFE_KIND, LIFE_VERSION, MOST_LIFE = 3, 1, 64
MOST_SEEDS = 64
SPARE = 12  # bits of a life below its milliseconds, by chance, so that no two processes have one
FAULTS = {"members: another process has this name", "members: the life cannot be kept"}
QUIET = {"members: unreadable message", "members: more changes"}


class MembersPart(msgspec.Struct, forbid_unknown_fields=True):
    """`[members]` of the fleet file."""

    fleet: str  # members of another fleet are strangers
    listen: str  # numeric address and port for datagrams
    name: str = ""  # "": the sidecar's
    advertise: str = ""  # where the others reach it; "": listen
    seeds: list[str] = []  # addresses of some others
    folder: str = ""  # of this member alone, which outlasts it; "": there is none


class Unbound(Trouble):
    """The members' address cannot be listened on."""

    remedy = "give `members.listen` a free address of this machine, or end what listens there"


def unfit(table: MembersPart, config: Config) -> Iterator[str]:
    """Each fault between values that are well formed, with its path."""
    if not 1 <= len(table.fleet) <= MOST_NAME:
        yield f"members.fleet: is {table.fleet!r:.40}; expected a name of 1 to {MOST_NAME} characters"
    name = table.name or config.name
    if not 1 <= len(name) <= MOST_NAME or "\0" in name:
        yield f"members.name: is {name!r:.40}; expected a name of 1 to {MOST_NAME} characters"
    if len(table.seeds) > MOST_SEEDS:
        yield f"members.seeds: {len(table.seeds)} addresses; expected {MOST_SEEDS} at most"
    places = [
        ("members.listen", table.listen),
        *([("members.advertise", table.advertise)] if table.advertise else []),
        *((f"members.seeds[{n}]", seed) for n, seed in enumerate(table.seeds)),
    ]
    families = set()
    for at, text in places:
        try:
            host, port = parse_address(text)
        except ValueError as fault:
            yield f"{at}: {fault}"
            continue
        families.add(":" in host)
        if not port:
            yield f"{at}: is {text!r}; expected a port from 1 on"
        if at != "members.listen" and host in ("0.0.0.0", "::"):
            yield f"{at}: is {text!r}; expected an address that others can reach"
    if not table.advertise and table.listen.rpartition(":")[0] in ("0.0.0.0", "[::]"):
        yield "members.advertise: missing; needed where `members.listen` is for all addresses of the machine"
    if len(families) > 1:
        yield "members.seeds: IPv4 and IPv6 together; all addresses of a fleet are of one kind"
    if table.folder and not Path(table.folder).is_dir():
        yield f"members.folder: {table.folder!r:.60} is no folder; make it, or leave the key out"


class MembersRun:
    """One member while its process lasts: host to `Members`, and what the program asks of it."""

    wire: Wire | None
    cells: Cells
    members: Members
    ticker: Task

    def __init__(
        self,
        loop: Loop,
        table: MembersPart,
        config: Config,
        changed: Callable[[float, Member | None, Member], None] = lambda now, before, after: None,
        successor: Callable[[], bool] = lambda: False,
        shared: bool = False,
        tuning: Tuning | None = None,
        seed: int | None = None,
        above: int = 0,
    ) -> None:
        """`changed` is told of each change of a member; `successor` whether a later process of this sidecar
        runs beside this one, which needs `shared`: both listen at one address then. The life is `above` that
        one, kept elsewhere. Raises Unbound."""
        self.next, self.closed = -math.inf, False
        self.loop, self.table, self.on_changed = loop, table, changed
        self.own = table.name or config.name
        self.folder = Path(table.folder) if table.folder else None
        self.file = (
            StoredFile(str(self.folder / "members.life"), LIFE_KIND, LIFE_VERSION, MOST_LIFE)
            if self.folder
            else None
        )
        self.listen, self.shared = parse_address(table.listen), shared
        now = loop.now()
        self.wire = self.bound()
        advertise = parse_address(table.advertise) if table.advertise else self.wire.address
        chance = random.Random(seed if seed is not None else secrets.randbits(64))
        life = self.new_life(above)
        self.cells = Cells(self.own, life)
        self.members = Members(
            self.own,
            life,
            advertise,
            table.fleet,
            self.seeds(table),
            self,
            chance,
            now,
            self.cells,
            tuning,
            successor,
        )
        self.ticker = loop.spawn(loop.lasting(self.ticking), urgent=True)
        self.members.wake = self.ticker.wake
        log.info(
            "members",
            extra={
                "fields": {
                    "name": self.own,
                    "fleet": table.fleet,
                    "listen": address_text(self.wire.address),
                    "advertise": address_text(advertise),
                    "life": life,
                    "seeds": len(self.members.seeds),
                }
            },
        )

    def bound(self) -> Wire:
        try:
            return Wire(self.loop, self.listen, MOST, self.came, self.after, self.shared)
        except OSError as fault:
            raise Unbound(f"members.listen: {address_text(self.listen)}: {fault.strerror or fault}") from None

    def seeds(self, table: MembersPart) -> list[Address]:
        return [parse_address(seed) for seed in table.seeds]

    # The own life.

    def new_life(self, above: int = 0) -> int:
        """After every earlier one: by the folder, where there is one, and by the clock."""
        life = max(time.time_ns() // 1_000_000 << SPARE | secrets.randbits(SPARE), above + 1)
        if self.file is None:
            return life
        try:
            life = max(life, int(self.file.read()) + 1)
        except Missing:
            pass
        except (Unfit, ValueError) as fault:
            self.log("members: the life cannot be kept", why=str(fault), goes_by="the clock")
        self.keep_life(life)
        return life

    def keep_life(self, life: int) -> None:
        if self.file is not None:
            try:
                self.file.write(b"%d" % life, "new")
            except OSError as fault:
                self.log(
                    "members: the life cannot be kept", why=fault.strerror or str(fault), goes_by="the clock"
                )

    # Host to the members.

    def send(self, to: Address, datagram: bytes) -> None:
        if self.wire is not None:
            self.wire.send(to, datagram)

    def changed(self, before: Member | None, after: Member) -> None:
        if after.name == self.own and before is not None and before.life != after.life:
            self.keep_life(after.life)
        self.on_changed(self.loop.now(), before, after)

    def log(self, event: str, **fields: object) -> None:
        level = logging.ERROR if event in FAULTS else logging.DEBUG if event in QUIET else logging.INFO
        log.log(level, event, extra={"fields": fields})

    # On the loop.

    def came(self, sender: Address, data: bytes) -> None:
        self.members.received(self.loop.now(), data)

    def after(self) -> None:
        if self.members.gossip_at < self.next or self.loop.now() >= self.next:
            self.ticker.wake()

    def ticking(self) -> Coroutine[None]:
        while not self.closed:
            self.next = self.members.tick(self.loop.now())
            self.give_way()
            yield self.next
        while True:
            yield math.inf

    def give_way(self) -> None:
        """Where a successor has the name, what comes to the shared address is for it alone."""
        if not self.shared or self.closed:
            return
        quiet = self.members.handed_over
        if quiet and self.wire is not None:
            self.wire.close()
            self.wire = None
        elif not quiet and self.wire is None:
            try:
                self.wire = self.bound()
            except Unbound as fault:
                self.log("members: not listening", why=str(fault))

    # What the program asks.

    def view(self) -> View:
        return self.members

    def tell(self, text: str) -> None:
        """The pool's word, 256 bytes at most; what comes goes to `members.on_word(now, member, text)`."""
        self.members.tell(self.loop.now(), text)

    def reload(self, table: MembersPart) -> list[str]:
        """Takes over new seeds; the keys that need a restart."""
        later = [
            f"members.{key}"
            for key in ("name", "fleet", "listen", "advertise", "folder")
            if getattr(table, key) != getattr(self.table, key)
        ]
        self.table = table
        self.members.reseed(self.seeds(table))
        return later

    def leave(self) -> None:
        """SIGTERM has come: the others are told, which is no failure."""
        self.members.leave(self.loop.now())
        self.ticker.wake()

    def close(self) -> None:
        self.closed = True
        if self.wire is not None:
            self.wire.close()
            self.wire = None

    def body(self) -> Mapping[str, Any]:
        """Of `GET /-/members`."""
        now, members = self.loop.now(), self.members
        return {
            "self": self.own,
            "members": [
                {
                    "name": m.name,
                    "state": m.standing.value,
                    "life": m.life,
                    "heard": round(max(now - m.heard, 0.0), 3) if m.name != self.own else 0.0,
                    "address": address_text(m.address),
                }
                for m in members.members()
            ],
            "fleet": self.table.fleet,
            "drops": members.counts.drops(),
            "faults": self.faults(),
        }

    def faults(self) -> list[str]:
        members = self.members
        faults = []
        if members.twin:
            faults.append(
                f"another process at {members.twin} has this name too; give each its own name"
                + (", this one keeps quiet until then" if members.outnamed else "")
            )
        if members.handed_over:
            faults.append("the process of this sidecar beside this one has the name")
        return faults

    def figures(self) -> Mapping[str, object]:
        return {
            f"members_{name}" if name != "members" else name: value
            for name, value in self.members.figures().items()
        }
