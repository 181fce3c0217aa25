"""The list of endpoints relayed from a few sidecars to the others: `[list]` of the fleet file."""

from __future__ import annotations

import logging
import math
import random
import secrets
from collections.abc import Callable, Iterator, Mapping, Sequence
from functools import partial
from typing import TypeVar

import msgspec

from ...balancer.host import EndpointStatus, ListedEndpoint
from ...decisions.listing.relay import LEAST_ASK_WITHIN, Relay, Terms
from ...decisions.members.member import Member, MemberStatus
from ...decisions.shared.registers import Register
from ...lazy_dataclasses import replace
from ...protocol import listing as words
from ...protocol.discovery import ListChange
from ...protocol.listing import Head, TooLarge, UnreadableList
from ...routing.core import Core, Taker
from ...routing.follow import Follower
from ...transport.address import Address, address_text
from ..config import Config
from .ground import Answer, Ground

T = TypeVar("T")
log = logging.getLogger("rainspindle.list")

LEAST_ASKERS, MOST_ASKERS = 2, 16
SAME_START = 0.002  # seconds between two tellings of one start
WARNED = {"list: a member is not believed", "list: too large to be told on", "list: unreadable word"}


class ListPart(msgspec.Struct, forbid_unknown_fields=True):
    """`[list]` of the fleet file."""

    askers: int = 3  # members that ask the list service for all, while their calls succeed


def unfit(table: ListPart, config: Config) -> Iterator[str]:
    """Each fault between values that are well formed, with its path."""
    if not LEAST_ASKERS <= table.askers <= MOST_ASKERS:
        yield f"list.askers: is {table.askers}; expected {LEAST_ASKERS} to {MOST_ASKERS}"


class ListRun:
    """Host to the `Relay`, between the follower of the list and the members' cells."""

    def __init__(self, ground: Ground, table: ListPart, seeded: bool) -> None:
        """`seeded`: the members' file has addresses of others."""
        self.ground, self.table = ground, table
        self.config = ground.config
        within = self.config.settings.ask_within if self.config.asks_list else 0.0
        self.run = ground.members.own_incarnation
        self.follower: Follower | None = None
        self.core: Core | None = None
        self.known: dict[str, tuple[ListedEndpoint, Address | None]] = {}
        self.address = self.config.discovery
        self.usual = 0.0  # seconds that the follower's watch waits as alone
        self.unread = 0
        self.tell_others: Callable[[ListChange], None] = lambda change: None
        terms = Terms(table.askers, within, seeded)
        self.relay = Relay(
            ground.loop.now(),
            ground.members.own_name,
            self.run,
            terms,
            self.mark(),
            self,
            random.Random(secrets.randbits(64)),
        )
        if not self.relay.on:
            log.info(
                "list: nothing is relayed",
                extra={
                    "fields": {
                        "why": "lists are pushed"
                        if not self.config.asks_list
                        else f"the asking period of {within:g} s is under {LEAST_ASK_WITHIN:g} s"
                    }
                },
            )

    def mark(self) -> bytes:
        """Of the service and of the terms in which its lines are read: word in others counts for nothing."""
        settings = self.config.settings
        return words.mark(address_text(self.address), settings.zones, settings.kinds)

    # What the program asks.

    def attach(self, core: Core, follower: Follower) -> None:
        if not self.relay.on:
            return
        self.core, self.follower, self.usual = core, follower, follower.wait
        known = self.config.known
        self.address = follower.address
        if known.lines:
            lines = self.noted(known)
            if lines is not None:
                self.relay.start(known.version, {id: data for id, data in lines.items() if data})
        before = self.tell_others = follower.heard

        def heard(change: ListChange) -> None:
            before(change)
            self.sound(partial(self.told, change), None)

        follower.heard, follower.spared = heard, lambda: self.sound(self.spared, -math.inf)
        follower.failed = lambda: self.sound(self.failed, None)
        self.ground.cells.on_change("list/", self.heard)

    def ready_from(self, now: float) -> float:
        return now

    def taker(self, inner: Taker) -> Taker:
        return inner

    def tick(self, now: float) -> float:
        if self.follower is None:
            return now + 1.0
        self.look_at_address(now)
        return self.relay.tick(now)

    def member_changed(self, now: float, before: Member | None, after: Member) -> None:
        self.relay.members_changed()

    def call(self, now: float, method: str, path: tuple[str, ...], query: Mapping[str, str]) -> Answer | None:
        if path[0] != "list":
            return None
        if len(path) > 1:
            return Answer(404, {"error": "no such call", "remedy": "ask GET /-/list"})
        if method not in ("GET", "HEAD"):
            return Answer(405, {"error": f"/-/list wants GET, not {method}", "remedy": "ask with GET"})
        return Answer(200, self.body(now))

    def body(self, now: float) -> Mapping[str, object]:
        relay = self.relay

        def ago(at: float) -> float | None:
            return round(max(now - at, 0.0), 3) if at > float("-inf") else None

        return {
            "mode": relay.mode or "alone",
            "version": relay.version,
            "lines": len(relay.lines),
            "vouched": relay.vouched,
            "confirmed": ago(relay.confirmed),
            "own": {"calls": relay.calls, "failed": relay.failures, "last": ago(relay.own_at)},
            "askers": {
                name: {
                    "version": word.head.version,
                    "heard": ago(word.at),
                    "failing": word.head.failing,
                    "believed": not relay.doubted(now, name),
                    "same_service": word.head.at == relay.at,
                }
                for name, word in sorted(relay.words.items())[:64]
            },
        }

    def reload(self, now: float, tables: ListPart) -> list[str]:
        self.table = tables
        self.relay.terms = replace(self.relay.terms, askers=tables.askers)
        self.relay.members_changed()
        return []

    def leave(self, now: float) -> None:
        """Others are to ask in its place at once."""
        if self.follower is not None:
            self.relay.leave(now)

    def close(self) -> None: ...

    def figures(self) -> Mapping[str, object]:
        relay = self.relay
        return {
            "list_mode": relay.mode or "alone",
            "list_own_calls": relay.calls,
            "list_failed_calls": relay.failures,
            "list_by_word": relay.takes,
        }

    # The follower.

    def sound(self, do: Callable[[], T], otherwise: T) -> T:
        """Guards against a fault here that would cost the list itself, or the members their word."""
        try:
            return do()
        except Exception as fault:
            self.ground.loop.on_fault(fault)
            return otherwise

    def look_at_address(self, now: float) -> None:
        assert self.follower is not None
        if self.follower.address != self.address:
            self.address = self.follower.address
            self.known.clear()
            self.relay.moved(now, self.mark())

    def spared(self) -> float:
        now = self.ground.loop.now()
        self.look_at_address(now)
        assert self.follower is not None
        self.follower.wait = self.relay.period if self.relay.asker else self.usual
        self.follower.draws_wait = not self.relay.asker  # the relay spreads its members' calls itself
        return self.relay.spared(now)

    def told(self, change: ListChange) -> None:
        """By the service itself, to this one."""
        now = self.ground.loop.now()
        self.look_at_address(now)
        if change.whole:
            self.known.clear()
        lines = self.noted(change)
        if lines is not None:
            self.relay.told(now, change.version, change.whole, lines)

    def noted(self, change: ListChange) -> dict[str, bytes] | None:
        """The lines as they are told on, None where they cannot be."""
        lines: dict[str, bytes] = {}
        try:
            for line in change.lines:
                before = self.known.get(line.id)
                at = change.addresses.get(line.id) or (before[1] if before else None)
                if line.status is EndpointStatus.GONE:
                    self.known.pop(line.id, None)
                    lines[line.id] = b""
                else:
                    self.known[line.id] = line, at
                    lines[line.id] = words.encode_line(line, at, self.config.decoder.clock_offset)
        except TooLarge as fault:
            self.relay.unfit(str(fault))
            return None
        return lines

    def failed(self) -> None:
        self.relay.failed(self.ground.loop.now())

    # Host to the relay.

    def alive(self) -> Sequence[str]:
        return [m.name for m in self.ground.members.members() if m.status is MemberStatus.ALIVE]

    def write(self, now: float, name: str, value: bytes) -> None:
        if value:
            self.ground.cells.write(now, name, value)
        else:
            self.ground.cells.delete(now, name)

    def cell(self, owner: str, name: str) -> bytes:
        seen = self.ground.cells.read(owner, name)
        return seen.register.value if seen is not None else b""

    def heard(self, now: float, cell: Register) -> None:
        if cell.name == words.HEAD and cell.owner != self.ground.members.own_name:
            self.sound(partial(self.heard_head, now, cell), None)

    def heard_head(self, now: float, cell: Register) -> None:
        if not cell.value:
            self.relay.gone(now, cell.owner)
            return
        seen = self.ground.cells.read(cell.owner, cell.name)
        try:
            head = words.decode(cell.value, Head)
        except UnreadableList as fault:
            self.unread += 1
            if self.unread == 1:
                self.log("list: unreadable word", member=cell.owner, why=str(fault), remedy=fault.remedy)
            return
        self.look_at_address(now)
        self.relay.heard(now, cell.owner, head, seen.heard_at if seen is not None else now)

    def take(self, now: float, version: int, lines: words.Lines, delta: words.Lines) -> bool:
        assert self.core is not None and self.follower is not None
        changed: list[ListedEndpoint] = []
        addresses: dict[str, Address] = {}
        try:
            for id, data in delta.items():
                before = self.known.get(id)
                if not data:
                    if before is not None:
                        changed.append(replace(before[0], status=EndpointStatus.GONE))
                    continue
                line, at = words.decode_line(id, data, self.config.decoder.clock_offset)
                changed.append(line if before is None else kept(line, before[0]))
                if at is not None:
                    addresses[id] = at
        except UnreadableList as fault:
            self.log("list: unreadable word", why=str(fault), remedy=fault.remedy)
            return False
        for line in changed:
            if line.status is EndpointStatus.GONE:
                self.known.pop(line.id, None)
            else:
                self.known[line.id] = line, addresses.get(line.id)
        change = ListChange(version, False, tuple(changed), addresses)
        self.tell_others(change)
        self.follower.take(change)
        return True

    def urge(self) -> None:
        if self.follower is None:
            return
        relay = self.relay
        # Guards against an asker that is silent for as long as the watch waits that it had before.
        if relay.asker and relay.mode == "alone" and relay.own_at > relay.failed_at:
            self.follower.anew()
        else:
            self.follower.task.wake()

    def log(self, event: str, **fields: object) -> None:
        log.log(logging.WARNING if event in WARNED else logging.INFO, event, extra={"fields": fields})


def kept(line: ListedEndpoint, before: ListedEndpoint) -> ListedEndpoint:
    """What word says of an endpoint that is known. Guards against one that an older start, or none, would
    make warm, and against a start told with other last digits, which would make it cold."""
    if before.started_at is not None and (
        line.started_at is None or line.started_at < before.started_at + SAME_START
    ):
        return replace(line, started_at=before.started_at)
    return line
