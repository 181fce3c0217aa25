"""Runs membership on a UDP socket, and provides its configuration, incarnation file, log and console data."""

from __future__ import annotations

import logging
import math
import secrets
import time
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from ...decisions.members.context import MembershipConfig, no_successor
from ...decisions.members.member import Member, MembershipView
from ...decisions.members.membership import Membership
from ...decisions.members.own_member import make_own_record
from ...decisions.members.tuning import MembershipTuning
from ...decisions.shared.registers import RegisterStore
from ...errors import Trouble
from ...protocol.members import MAX_DATAGRAM, MAX_NAME
from ...store.file import Missing, StoredFile, Unfit
from ...transport.address import Address, address_text, parse_address
from ...transport.loop import Coroutine, Loop, Task
from ...transport.wire import Wire
from ..config import Config

log = logging.getLogger("rainspindle.members")

LIFE_KIND = 3  # kind number of the stored file with the incarnation
LIFE_VERSION = 1  # version of its format
MOST_LIFE = 64  # maximum size of its content in bytes
MAX_SEEDS = 64
RANDOM_BITS = 12  # random low bits of an incarnation, so that starts in the same millisecond differ
NANOSECONDS_PER_MILLISECOND = 1_000_000
WILDCARD_HOSTS = ("0.0.0.0", "::")  # hosts that stand for all addresses of the machine
WILDCARD_LISTEN_HOSTS = ("0.0.0.0", "[::]")  # the same as written in `listen`, before the port
ERROR_EVENTS = {"members: another process has this name", "members: incarnation not persisted"}
DEBUG_EVENTS = {"members: unreadable message", "members: log lines suppressed"}


class MembersConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The `[members]` section of the fleet file.

    Attributes:
        fleet: Name of the fleet; messages of other fleets are dropped.
        listen: Numeric address and port on which datagrams are received.
        name: Name of the member; empty for the sidecar's name.
        advertise: Address at which the others reach this member; empty for `listen`.
        seeds: Addresses of some other members, contacted in order to join.
        folder: Folder of this member alone that survives restarts; empty if there is none.
    """

    fleet: str
    listen: str
    name: str = ""
    advertise: str = ""
    seeds: list[str] = []
    folder: str = ""


class AddressInUseError(Trouble):
    """The address in `members.listen` cannot be bound."""

    remedy = "set `members.listen` to a free address of this machine, or stop the process that listens there"


def unfit(table: MembersConfig, config: Config) -> Iterator[str]:
    """Yields a message for each invalid value of the section, beginning with its path."""
    if not 1 <= len(table.fleet) <= MAX_NAME:
        yield f"members.fleet: is {table.fleet!r:.40}; expected a name of 1 to {MAX_NAME} characters"
    name = table.name or config.name
    if not 1 <= len(name) <= MAX_NAME or "\0" in name:
        yield f"members.name: is {name!r:.40}; expected a name of 1 to {MAX_NAME} characters"
    if len(table.seeds) > MAX_SEEDS:
        yield f"members.seeds: {len(table.seeds)} addresses; expected {MAX_SEEDS} at most"
    yield from _unfit_addresses(table)
    if table.folder and not Path(table.folder).is_dir():
        yield f"members.folder: {table.folder!r:.60} is not a folder; create it, or remove the setting"


def _unfit_addresses(table: MembersConfig) -> Iterator[str]:
    families = set()
    for path, text in _addresses(table):
        try:
            host, port = parse_address(text)
        except ValueError as error:
            yield f"{path}: {error}"
            continue
        families.add(":" in host)
        if not port:
            yield f"{path}: is {text!r}; expected a port from 1 on"
        if path != "members.listen" and host in WILDCARD_HOSTS:
            yield f"{path}: is {text!r}; expected an address that others can reach"
    if not table.advertise and table.listen.rpartition(":")[0] in WILDCARD_LISTEN_HOSTS:
        yield "members.advertise: missing; required if `members.listen` covers all addresses of the machine"
    if len(families) > 1:
        yield "members.seeds: mixes IPv4 and IPv6; all addresses of a fleet must be of the same family"


def _addresses(table: MembersConfig) -> Iterator[tuple[str, str]]:
    yield "members.listen", table.listen
    if table.advertise:
        yield "members.advertise", table.advertise
    for number, seed in enumerate(table.seeds):
        yield f"members.seeds[{number}]", seed


def _ignore_change(now: float, before: Member | None, after: Member) -> None:
    pass


@dataclass(frozen=True, slots=True)
class MembershipOptions:
    """Settings of the program that do not come from the fleet file.

    Attributes:
        on_member_changed: Called for each change of a member with the time, the member before (None if it is
            new) and the member after.
        has_successor: Returns whether a later process of this sidecar runs alongside this one.
        shares_address: Whether a successor may run alongside, so that both listen on one address.
        incarnation_above: Incarnation stored elsewhere, which this process's must exceed.
        tuning: Protocol parameters.
        seed: Seed of the pseudo-random generator; random if None.
    """

    on_member_changed: Callable[[float, Member | None, Member], None] = _ignore_change
    has_successor: Callable[[], bool] = no_successor
    shares_address: bool = False
    incarnation_above: int = 0
    tuning: MembershipTuning = field(default_factory=MembershipTuning)
    seed: int | None = None


class IncarnationFile:
    """Stores the incarnation in the member's folder, so that each start gets a higher one."""

    def __init__(self, folder: str, on_fault: Callable[[str], None]) -> None:
        """Stores nothing if `folder` is empty; `on_fault` is called with the reason of a failure."""
        self._on_fault = on_fault
        self._file: StoredFile | None = None
        if folder:
            self._file = StoredFile(str(Path(folder) / "members.life"), LIFE_KIND, LIFE_VERSION, MOST_LIFE)

    def next(self, above: int) -> int:
        """Returns an incarnation from the clock that exceeds `above` and the stored one, and stores it."""
        milliseconds = time.time_ns() // NANOSECONDS_PER_MILLISECOND
        incarnation = max(milliseconds << RANDOM_BITS | secrets.randbits(RANDOM_BITS), above + 1)
        if self._file is None:
            return incarnation
        try:
            incarnation = max(incarnation, int(self._file.read()) + 1)
        except Missing:
            pass
        except (Unfit, ValueError) as error:
            self._on_fault(str(error))
        self.store(incarnation)
        return incarnation

    def store(self, incarnation: int) -> None:
        """Writes the incarnation to the file, if there is a folder."""
        if self._file is None:
            return
        try:
            self._file.write(b"%d" % incarnation, "new")
        except OSError as error:
            self._on_fault(error.strerror or str(error))


class MembershipComponent:
    """Runs `Membership` as its host, and gives the program access to it and to the shared registers.

    Attributes:
        table: The `[members]` section of the fleet file.
        own_name: Name of this member.
        wire: The socket; None while a successor has the address.
        members: The membership protocol.
    """

    def __init__(
        self, loop: Loop, table: MembersConfig, config: Config, options: MembershipOptions | None = None
    ) -> None:
        """Starts to listen and joins the fleet.

        Raises:
            AddressInUseError: The address cannot be bound.
        """
        options = options or MembershipOptions()
        self.table = table
        self.own_name = table.name or config.name
        self._loop = loop
        self._options = options
        self._due_at = -math.inf
        self._closed = False
        self._listen = parse_address(table.listen)
        now = loop.now()
        bound = self._bind()
        self.wire: Wire | None = bound
        advertise = parse_address(table.advertise) if table.advertise else bound.address
        self._incarnations = IncarnationFile(table.folder, self._on_incarnation_fault)
        incarnation = self._incarnations.next(options.incarnation_above)
        self.registers = RegisterStore(self.own_name, incarnation)
        seed = options.seed if options.seed is not None else secrets.randbits(64)
        membership = MembershipConfig(table.fleet, _seeds(table), seed, options.tuning, options.has_successor)
        own = make_own_record(self.own_name, advertise, incarnation, now)
        self.members = Membership(own, membership, self, now, self.registers)
        self._ticker: Task = loop.spawn(loop.lasting(self._run_timer), urgent=True)
        self.members.dissemination.wake = self._ticker.wake
        self._log_start(bound.address, advertise)

    # Host of the membership.

    def send(self, to: Address, datagram: bytes) -> None:
        """Sends a datagram; drops it while a successor has the address."""
        if self.wire is not None:
            self.wire.send(to, datagram)

    def on_member_changed(self, before: Member | None, after: Member) -> None:
        """Stores this process's incarnation if it was raised, and passes the change on."""
        if after.name == self.own_name and before is not None and before.incarnation != after.incarnation:
            self._incarnations.store(after.incarnation)
        self._options.on_member_changed(self._loop.now(), before, after)

    def log(self, event: str, **fields: object) -> None:
        """Logs an event: as an error, at debug level or at info level, depending on the event."""
        level = (
            logging.ERROR
            if event in ERROR_EVENTS
            else logging.DEBUG
            if event in DEBUG_EVENTS
            else logging.INFO
        )
        log.log(level, event, extra={"fields": fields})

    # Interface of the program.

    def view(self) -> MembershipView:
        """Returns the read-only view for the users of the membership."""
        return self.members

    def publish_load_report(self, text: str) -> None:
        """Sends a load report of at most 256 characters; received ones go to `members.on_load_report`."""
        self.members.publish_load_report(self._loop.now(), text)

    def reload(self, table: MembersConfig) -> list[str]:
        """Applies new seeds; returns the paths of the changed settings that need a restart."""
        needs_restart = [
            f"members.{key}"
            for key in ("name", "fleet", "listen", "advertise", "folder")
            if getattr(table, key) != getattr(self.table, key)
        ]
        self.table = table
        self.members.set_seeds(_seeds(table))
        return needs_restart

    def leave(self) -> None:
        """Announces that this process shuts down, so that others do not treat it as failed."""
        self.members.leave(self._loop.now())
        self._ticker.wake()

    def close(self) -> None:
        """Stops listening and the timer."""
        self._closed = True
        if self.wire is not None:
            self.wire.close()
            self.wire = None

    def to_json(self) -> Mapping[str, Any]:
        """Returns the response body of `GET /-/members`."""
        return {
            "self": self.own_name,
            "members": [self._member_to_json(member) for member in self.members.members()],
            "fleet": self.table.fleet,
            "drops": self.members.stats.drops(),
            "faults": self._faults(),
        }

    def metrics(self) -> Mapping[str, object]:
        """Returns the metrics for the final log line."""
        return {
            f"members_{name}" if name != "members" else name: value
            for name, value in self.members.metrics().items()
        }

    # Event loop.

    def _bind(self) -> Wire:
        try:
            return Wire(
                self._loop,
                self._listen,
                MAX_DATAGRAM,
                self._on_datagram,
                self._after_datagrams,
                self._options.shares_address,
            )
        except OSError as error:
            reason = error.strerror or error
            raise AddressInUseError(
                f"members.listen: cannot bind {address_text(self._listen)}: {reason}"
            ) from None

    def _on_datagram(self, sender: Address, data: bytes) -> None:
        self.members.on_datagram(self._loop.now(), data)

    def _after_datagrams(self) -> None:
        if self.members.gossip_due_at < self._due_at or self._loop.now() >= self._due_at:
            self._ticker.wake()

    def _run_timer(self) -> Coroutine[None]:
        while not self._closed:
            self._due_at = self.members.on_timer(self._loop.now())
            self._release_address()
            yield self._due_at
        while True:
            yield math.inf

    def _release_address(self) -> None:
        """Releases the shared address while a successor has the name, or binds it again afterwards."""
        if not self._options.shares_address or self._closed:
            return
        is_handed_over = self.members.name_conflicts.is_handed_over
        if is_handed_over and self.wire is not None:
            self.wire.close()
            self.wire = None
        elif not is_handed_over and self.wire is None:
            try:
                self.wire = self._bind()
            except AddressInUseError as error:
                self.log("members: cannot listen", why=str(error))

    def _on_incarnation_fault(self, reason: str) -> None:
        self.log("members: incarnation not persisted", why=reason, goes_by="the clock")

    def _log_start(self, listen: Address, advertise: Address) -> None:
        log.info(
            "members",
            extra={
                "fields": {
                    "name": self.own_name,
                    "fleet": self.table.fleet,
                    "listen": address_text(listen),
                    "advertise": address_text(advertise),
                    "life": self.members.own_incarnation,
                    "seeds": len(self.table.seeds),
                }
            },
        )

    def _member_to_json(self, member: Member) -> dict[str, object]:
        silence = max(self._loop.now() - member.heard_at, 0.0) if member.name != self.own_name else 0.0
        return {
            "name": member.name,
            "state": member.status.value,
            "life": member.incarnation,
            "heard": round(silence, 3),
            "address": address_text(member.address),
        }

    def _faults(self) -> list[str]:
        conflicts = self.members.name_conflicts
        faults = []
        if conflicts.other_address:
            text = f"another process at {conflicts.other_address} has this name too; give each its own name"
            faults.append(text + ("; this process is silenced until then" if conflicts.is_silenced else ""))
        if conflicts.is_handed_over:
            faults.append("the successor process of this sidecar has taken over the name")
        return faults


def _seeds(table: MembersConfig) -> list[Address]:
    return [parse_address(seed) for seed in table.seeds]
