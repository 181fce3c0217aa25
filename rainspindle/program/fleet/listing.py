"""Relays the endpoint list from a few sidecars to the others: `[list]` of the fleet file."""

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
from ...decisions.listing.relay import MIN_ASK_WITHIN, EndpointListRelay, RelaySettings
from ...decisions.members.member import Member, MemberStatus
from ...decisions.shared.registers import Register
from ...lazy_dataclasses import replace
from ...protocol import listing as codec
from ...protocol.discovery import ListChange
from ...protocol.listing import Head, TooLarge, UnreadableList
from ...routing.core import Core, Taker
from ...routing.follow import Follower
from ...transport.address import Address, address_text
from ..config import Config
from .ground import Answer, Ground

T = TypeVar("T")
log = logging.getLogger("rainspindle.list")

MIN_ASKERS, MAX_ASKERS = 2, 16
START_TOLERANCE = 0.002  # seconds; reported starts of one process differ by less than this
WARNING_EVENTS = {
    "list: implausible report, member not believed",
    "list: too large to relay, each sidecar polls for itself",
    "list: unreadable report",
}


class ListPart(msgspec.Struct, forbid_unknown_fields=True):
    """`[list]` of the fleet file."""

    askers: int = 3  # members that poll the list service for the whole fleet while their calls succeed


def unfit(table: ListPart, config: Config) -> Iterator[str]:
    """Yields each value that is well formed but out of range, with its path."""
    if not MIN_ASKERS <= table.askers <= MAX_ASKERS:
        yield f"list.askers: is {table.askers}; expected {MIN_ASKERS} to {MAX_ASKERS}"


class ListRun:
    """Runs the relay between the list's follower and the members' registers."""

    def __init__(self, ground: Ground, table: ListPart, seeded: bool) -> None:
        """`seeded`: whether the members' file has addresses of others."""
        self.ground, self.table = ground, table
        self.config = ground.config
        within = self.config.settings.ask_within if self.config.asks_list else 0.0
        self.run = ground.members.own_incarnation
        self.follower: Follower | None = None
        self.core: Core | None = None
        self.known_lines: dict[str, tuple[ListedEndpoint, Address | None]] = {}
        self.address = self.config.discovery
        self.usual_wait = 0.0  # seconds that the follower's watch waits in a sidecar on its own
        self.undecodable = 0
        self.notify_others: Callable[[ListChange], None] = lambda change: None
        terms = RelaySettings(table.askers, within, seeded)
        self.relay = EndpointListRelay(
            ground.loop.now(),
            ground.members.own_name,
            self.run,
            terms,
            self.service_digest(),
            self,
            random.Random(secrets.randbits(64)),
        )
        if not self.relay.enabled:
            log.info(
                "list: relay is off",
                extra={
                    "fields": {
                        "why": "lists are pushed"
                        if not self.config.asks_list
                        else f"the asking period of {within:g} s is below {MIN_ASK_WITHIN:g} s"
                    }
                },
            )

    def service_digest(self) -> bytes:
        """Returns the digest that identifies the service and the settings by which its lines are read.

        Reports with another digest are ignored.
        """
        settings = self.config.settings
        return codec.mark(address_text(self.address), settings.zones, settings.kinds)

    # Interface to the program.

    def attach(self, core: Core, follower: Follower) -> None:
        """Connects the relay with the core and the follower; does nothing if the relay is off."""
        if not self.relay.enabled:
            return
        self.core, self.follower, self.usual_wait = core, follower, follower.wait
        known = self.config.known
        self.address = follower.address
        if known.lines:
            lines = self.encode_changes(known)
            if lines is not None:
                self.relay.start(
                    known.version, {endpoint_id: data for endpoint_id, data in lines.items() if data}
                )
        before = self.notify_others = follower.heard

        def on_change(change: ListChange) -> None:
            before(change)
            self.guarded(partial(self.on_answer, change), None)

        follower.heard, follower.deferred_until = (
            on_change,
            lambda: self.guarded(self.deferred_until, -math.inf),
        )
        follower.failed = lambda: self.guarded(self.on_failure, None)
        self.ground.cells.on_change("list/", self.on_register_changed)

    def ready_from(self, now: float) -> float:
        """Returns `now`: the listener does not wait for this part."""
        return now

    def taker(self, inner: Taker) -> Taker:
        """Returns `inner`: requests are not changed."""
        return inner

    def tick(self, now: float) -> float:
        """Does what is due and returns when to be called next at the latest."""
        if self.follower is None:
            return now + 1.0
        self.check_address(now)
        return self.relay.tick(now)

    def member_changed(self, now: float, before: Member | None, after: Member) -> None:
        """Handles a change of the membership."""
        self.relay.members_changed()

    def call(self, now: float, method: str, path: tuple[str, ...], query: Mapping[str, str]) -> Answer | None:
        """Answers an operator's call of /-/list, None for other paths."""
        if path[0] != "list":
            return None
        if len(path) > 1:
            return Answer(404, {"error": "no such call", "remedy": "ask GET /-/list"})
        if method not in ("GET", "HEAD"):
            return Answer(405, {"error": f"/-/list wants GET, not {method}", "remedy": "ask with GET"})
        return Answer(200, self.body(now))

    def body(self, now: float) -> Mapping[str, object]:
        """Returns the relay's state for operators."""
        relay = self.relay

        def ago(moment: float) -> float | None:
            return round(max(now - moment, 0.0), 3) if moment > float("-inf") else None

        return {
            "mode": relay.mode or "alone",
            "version": relay.version,
            "lines": len(relay.lines),
            "vouched": relay.vouched,
            "confirmed": ago(relay.confirmed),
            "own": {"calls": relay.calls, "failed": relay.failures, "last": ago(relay.answered_at)},
            "askers": {
                name: {
                    "version": head.head.version,
                    "heard": ago(head.held_at),
                    "failing": head.head.failing,
                    "believed": not relay.is_distrusted(now, name),
                    "same_service": head.head.at == relay.service,
                }
                for name, head in sorted(relay.heads.items())[:64]
            },
        }

    def reload(self, now: float, tables: ListPart) -> list[str]:
        """Applies the table of a fleet file that was read again; returns what needs a restart."""
        self.table = tables
        self.relay.terms = replace(self.relay.terms, askers=tables.askers)
        self.relay.members_changed()
        return []

    def leave(self, now: float) -> None:
        """Gives up the asker role, so that others take it over at once."""
        if self.follower is not None:
            self.relay.leave(now)

    def close(self) -> None:
        """Does nothing, as nothing is open."""

    def figures(self) -> Mapping[str, object]:
        """Returns the metrics."""
        relay = self.relay
        return {
            "list_mode": relay.mode or "alone",
            "list_own_calls": relay.calls,
            "list_failed_calls": relay.failures,
            "list_by_word": relay.lists_applied,
        }

    # The follower.

    def guarded(self, action: Callable[[], T], fallback: T) -> T:
        """Calls `do` and returns `otherwise` if it raises.

        Guards against a fault here that would stop the list itself, or the members' gossip.
        """
        try:
            return action()
        except Exception as fault:
            self.ground.loop.on_fault(fault)
            return fallback

    def check_address(self, now: float) -> None:
        """Resets the relay if the follower polls another service."""
        assert self.follower is not None
        if self.follower.address != self.address:
            self.address = self.follower.address
            self.known_lines.clear()
            self.relay.service_changed(now, self.service_digest())

    def deferred_until(self) -> float:
        """Returns until when the next call may wait, and sets the follower's watch time."""
        now = self.ground.loop.now()
        self.check_address(now)
        assert self.follower is not None
        self.follower.wait = self.relay.period if self.relay.is_asker else self.usual_wait
        self.follower.draws_wait = not self.relay.is_asker  # the relay spreads its members' calls itself
        return self.relay.deferred_until(now)

    def on_answer(self, change: ListChange) -> None:
        """Handles an answer of the service itself to this member."""
        now = self.ground.loop.now()
        self.check_address(now)
        if change.whole:
            self.known_lines.clear()
        lines = self.encode_changes(change)
        if lines is not None:
            self.relay.answered(now, change.version, change.whole, lines)

    def encode_changes(self, change: ListChange) -> dict[str, bytes] | None:
        """Returns the changed lines as they are relayed, None if they do not fit into registers."""
        lines: dict[str, bytes] = {}
        try:
            for line in change.lines:
                before = self.known_lines.get(line.id)
                address = change.addresses.get(line.id) or (before[1] if before else None)
                if line.status is EndpointStatus.GONE:
                    self.known_lines.pop(line.id, None)
                    lines[line.id] = b""
                else:
                    self.known_lines[line.id] = line, address
                    lines[line.id] = codec.encode_line(line, address, self.config.decoder.clock_offset)
        except TooLarge as fault:
            self.relay.disable(str(fault))
            return None
        return lines

    def on_failure(self) -> None:
        """Handles a failed call of this member."""
        self.relay.failed(self.ground.loop.now())

    # Interface for the relay.

    def alive(self) -> Sequence[str]:
        """Returns the names of the live members."""
        return [
            member.name for member in self.ground.members.members() if member.status is MemberStatus.ALIVE
        ]

    def write(self, now: float, name: str, value: bytes) -> None:
        """Writes a register of this member; an empty value deletes it."""
        if value:
            self.ground.cells.write(now, name, value)
        else:
            self.ground.cells.delete(now, name)

    def read_register(self, owner: str, name: str) -> bytes:
        """Returns the value of a register, b"" if there is none."""
        seen = self.ground.cells.read(owner, name)
        return seen.register.value if seen is not None else b""

    def on_register_changed(self, now: float, register: Register) -> None:
        """Handles a changed register of the list."""
        if register.name == codec.HEAD and register.owner != self.ground.members.own_name:
            self.guarded(partial(self.on_head_changed, now, register), None)

    def on_head_changed(self, now: float, register: Register) -> None:
        """Handles a changed head of another member."""
        if not register.value:
            self.relay.head_removed(now, register.owner)
            return
        seen = self.ground.cells.read(register.owner, register.name)
        try:
            head = codec.decode(register.value, Head)
        except UnreadableList as fault:
            self.undecodable += 1
            if self.undecodable == 1:
                self.log(
                    "list: unreadable report", member=register.owner, why=str(fault), remedy=fault.remedy
                )
            return
        self.check_address(now)
        self.relay.head_received(now, register.owner, head, seen.heard_at if seen is not None else now)

    def apply_list(self, now: float, version: int, lines: codec.Lines, delta: codec.Lines) -> bool:
        """Applies a relayed list to the core; returns False if a line cannot be decoded."""
        assert self.core is not None and self.follower is not None
        changed: list[ListedEndpoint] = []
        addresses: dict[str, Address] = {}
        try:
            for endpoint_id, data in delta.items():
                before = self.known_lines.get(endpoint_id)
                if not data:
                    if before is not None:
                        changed.append(replace(before[0], status=EndpointStatus.GONE))
                    continue
                line, address = codec.decode_line(endpoint_id, data, self.config.decoder.clock_offset)
                changed.append(line if before is None else with_known_start(line, before[0]))
                if address is not None:
                    addresses[endpoint_id] = address
        except UnreadableList as fault:
            self.log("list: unreadable report", why=str(fault), remedy=fault.remedy)
            return False
        for line in changed:
            if line.status is EndpointStatus.GONE:
                self.known_lines.pop(line.id, None)
            else:
                self.known_lines[line.id] = line, addresses.get(line.id)
        change = ListChange(version, False, tuple(changed), addresses)
        self.notify_others(change)
        self.follower.apply_report(change)
        return True

    def reschedule_call(self) -> None:
        """Makes the follower look again at when its next call is due."""
        if self.follower is None:
            return
        relay = self.relay
        # Guards against a new asker that reports nothing until its earlier, longer watch ends.
        if relay.is_asker and relay.mode == "alone" and relay.answered_at > relay.failed_at:
            self.follower.restart_call()
        else:
            self.follower.task.wake()

    def log(self, event: str, **fields: object) -> None:
        """Writes a log line, as a warning if operators should act on it."""
        log.log(logging.WARNING if event in WARNING_EVENTS else logging.INFO, event, extra={"fields": fields})


def with_known_start(line: ListedEndpoint, before: ListedEndpoint) -> ListedEndpoint:
    """Returns the relayed line with the start that is already known, unless the relayed one is later.

    Guards against an older or missing start, which would make the endpoint count as warmed up, and against a
    start with other last digits, which would make it count as cold.
    """
    if before.started_at is not None and (
        line.started_at is None or line.started_at < before.started_at + START_TOLERANCE
    ):
        return replace(line, started_at=before.started_at)
    return line
