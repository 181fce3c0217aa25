"""Membership on sockets: where this process listens, its incarnation, its log and its console call."""

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

LIFE_KIND = 3  # of the stored file with the incarnation
LIFE_VERSION = 1
MOST_LIFE = 64  # bytes
MAX_SEEDS = 64
RANDOM_BITS = 12  # of an incarnation below its milliseconds, so that no two processes have one
NANOSECONDS_PER_MILLISECOND = 1_000_000
ANY_ADDRESS = ("0.0.0.0", "::")  # hosts that stand for all addresses of the machine
ANY_LISTEN = ("0.0.0.0", "[::]")  # the same with a port behind
ERRORS = {"members: another process has this name", "members: incarnation not persisted"}
QUIET = {"members: unreadable message", "members: log lines suppressed"}


class MembersConfig(msgspec.Struct, forbid_unknown_fields=True):
    """`[members]` of the fleet file.

    Attributes:
        fleet: Members of another fleet are strangers.
        listen: Numeric address and port for datagrams.
        name: The member's name; the sidecar's if empty.
        advertise: Where the others reach it; `listen` if empty.
        seeds: Addresses of some others.
        folder: Of this member alone, which outlasts it; empty where there is none.
    """

    fleet: str
    listen: str
    name: str = ""
    advertise: str = ""
    seeds: list[str] = []
    folder: str = ""


class AddressInUseError(Trouble):
    """The members' address cannot be listened on."""

    remedy = "give `members.listen` a free address of this machine, or end what listens there"


def unfit(table: MembersConfig, config: Config) -> Iterator[str]:
    """Yields each fault between values that are well formed, with its path."""
    if not 1 <= len(table.fleet) <= MAX_NAME:
        yield f"members.fleet: is {table.fleet!r:.40}; expected a name of 1 to {MAX_NAME} characters"
    name = table.name or config.name
    if not 1 <= len(name) <= MAX_NAME or "\0" in name:
        yield f"members.name: is {name!r:.40}; expected a name of 1 to {MAX_NAME} characters"
    if len(table.seeds) > MAX_SEEDS:
        yield f"members.seeds: {len(table.seeds)} addresses; expected {MAX_SEEDS} at most"
    yield from _unfit_addresses(table)
    if table.folder and not Path(table.folder).is_dir():
        yield f"members.folder: {table.folder!r:.60} is no folder; make it, or leave the key out"


def _unfit_addresses(table: MembersConfig) -> Iterator[str]:
    families = set()
    for path, text in _addresses(table):
        try:
            host, port = parse_address(text)
        except ValueError as fault:
            yield f"{path}: {fault}"
            continue
        families.add(":" in host)
        if not port:
            yield f"{path}: is {text!r}; expected a port from 1 on"
        if path != "members.listen" and host in ANY_ADDRESS:
            yield f"{path}: is {text!r}; expected an address that others can reach"
    if not table.advertise and table.listen.rpartition(":")[0] in ANY_LISTEN:
        yield "members.advertise: missing; needed where `members.listen` is for all addresses of the machine"
    if len(families) > 1:
        yield "members.seeds: IPv4 and IPv6 together; all addresses of a fleet are of one kind"


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
    """What the program knows beside the fleet file.

    Attributes:
        on_changed: Called with each change of a member: the time, it before, and after.
        has_successor: Tells whether a later process of this sidecar runs beside this one.
        shares_address: Whether it may, so that both listen at one address.
        incarnation_above: One that was kept elsewhere, which the own must exceed.
        tuning: The figures.
        seed: Of all chance; drawn if None.
    """

    on_changed: Callable[[float, Member | None, Member], None] = _ignore_change
    has_successor: Callable[[], bool] = no_successor
    shares_address: bool = False
    incarnation_above: int = 0
    tuning: MembershipTuning = field(default_factory=MembershipTuning)
    seed: int | None = None


class IncarnationFile:
    """Keeps the incarnation in the member's folder, so that each start has a higher one."""

    def __init__(self, folder: str, on_fault: Callable[[str], None]) -> None:
        """Keeps nothing where `folder` is empty; `on_fault` is called with the reason of a fault."""
        self._on_fault = on_fault
        self._file: StoredFile | None = None
        if folder:
            self._file = StoredFile(str(Path(folder) / "members.life"), LIFE_KIND, LIFE_VERSION, MOST_LIFE)

    def next(self, above: int) -> int:
        """Returns an incarnation after every earlier one, by the clock and the file."""
        milliseconds = time.time_ns() // NANOSECONDS_PER_MILLISECOND
        incarnation = max(milliseconds << RANDOM_BITS | secrets.randbits(RANDOM_BITS), above + 1)
        if self._file is None:
            return incarnation
        try:
            incarnation = max(incarnation, int(self._file.read()) + 1)
        except Missing:
            pass
        except (Unfit, ValueError) as fault:
            self._on_fault(str(fault))
        self.keep(incarnation)
        return incarnation

    def keep(self, incarnation: int) -> None:
        """Writes the incarnation."""
        if self._file is None:
            return
        try:
            self._file.write(b"%d" % incarnation, "new")
        except OSError as fault:
            self._on_fault(fault.strerror or str(fault))


class MembershipComponent:
    """One member while its process lasts: the host of `Membership`, and what the program asks of it.

    Attributes:
        wire: The socket; None while a successor has the address.
        cells: The registers that members share.
        members: The membership.
    """

    def __init__(
        self, loop: Loop, table: MembersConfig, config: Config, options: MembershipOptions | None = None
    ) -> None:
        """Begins to listen.

        Raises:
            AddressInUseError: The address cannot be had.
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
        self.cells = RegisterStore(self.own_name, incarnation)
        seed = options.seed if options.seed is not None else secrets.randbits(64)
        membership = MembershipConfig(table.fleet, _seeds(table), seed, options.tuning, options.has_successor)
        own = make_own_record(self.own_name, advertise, incarnation, now)
        self.members = Membership(own, membership, self, now, self.cells)
        self._ticker: Task = loop.spawn(loop.lasting(self._run_timer), urgent=True)
        self.members.dissemination.wake = self._ticker.wake
        self._log_start(bound.address, advertise)

    # The host of the membership.

    def send(self, to: Address, datagram: bytes) -> None:
        """Sends a datagram, unless a successor has the address."""
        if self.wire is not None:
            self.wire.send(to, datagram)

    def on_member_changed(self, before: Member | None, after: Member) -> None:
        """Keeps an own incarnation that was raised, and passes the change on."""
        if after.name == self.own_name and before is not None and before.incarnation != after.incarnation:
            self._incarnations.keep(after.incarnation)
        self._options.on_changed(self._loop.now(), before, after)

    def log(self, event: str, **fields: object) -> None:
        """Logs an event, at the level that it deserves."""
        level = logging.ERROR if event in ERRORS else logging.DEBUG if event in QUIET else logging.INFO
        log.log(level, event, extra={"fields": fields})

    # What the program asks.

    def view(self) -> MembershipView:
        """Returns what the users of the membership may ask."""
        return self.members

    def publish_load_report(self, text: str) -> None:
        """Sends a load report of 256 bytes at most; what comes goes to `members.on_load_report`."""
        self.members.publish_load_report(self._loop.now(), text)

    def reload(self, table: MembersConfig) -> list[str]:
        """Takes over new seeds; returns the keys that need a restart."""
        later = [
            f"members.{key}"
            for key in ("name", "fleet", "listen", "advertise", "folder")
            if getattr(table, key) != getattr(self.table, key)
        ]
        self.table = table
        self.members.set_seeds(_seeds(table))
        return later

    def leave(self) -> None:
        """Tells the others that this process shuts down, which is no failure."""
        self.members.leave(self._loop.now())
        self._ticker.wake()

    def close(self) -> None:
        """Stops listening."""
        self._closed = True
        if self.wire is not None:
            self.wire.close()
            self.wire = None

    def to_json(self) -> Mapping[str, Any]:
        """Returns the body of `GET /-/members`."""
        return {
            "self": self.own_name,
            "members": [self._member_to_json(member) for member in self.members.members()],
            "fleet": self.table.fleet,
            "drops": self.members.stats.drops(),
            "faults": self._faults(),
        }

    def metrics(self) -> Mapping[str, object]:
        """Returns figures for the log's last line."""
        return {
            f"members_{name}" if name != "members" else name: value
            for name, value in self.members.metrics().items()
        }

    # On the loop.

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
        except OSError as fault:
            reason = fault.strerror or fault
            raise AddressInUseError(f"members.listen: {address_text(self._listen)}: {reason}") from None

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
        """Leaves the shared address to a successor that has the name, or takes it back."""
        if not self._options.shares_address or self._closed:
            return
        is_handed_over = self.members.names.is_handed_over
        if is_handed_over and self.wire is not None:
            self.wire.close()
            self.wire = None
        elif not is_handed_over and self.wire is None:
            try:
                self.wire = self._bind()
            except AddressInUseError as fault:
                self.log("members: not listening", why=str(fault))

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
        silent = max(self._loop.now() - member.heard_at, 0.0) if member.name != self.own_name else 0.0
        return {
            "name": member.name,
            "state": member.status.value,
            "life": member.incarnation,
            "heard": round(silent, 3),
            "address": address_text(member.address),
        }

    def _faults(self) -> list[str]:
        names = self.members.names
        faults = []
        if names.other_address:
            text = f"another process at {names.other_address} has this name too; give each its own name"
            faults.append(text + (", this one keeps quiet until then" if names.is_silenced else ""))
        if names.is_handed_over:
            faults.append("the process of this sidecar beside this one has the name")
        return faults


def _seeds(table: MembersConfig) -> list[Address]:
    return [parse_address(seed) for seed in table.seeds]
