"""Persistence of learned state across restarts, and reports of other members at a start.

Learned state is stored in the folder of `[members]`; the table `[keep]` of the fleet file configures both.
"""

from __future__ import annotations

import logging
import math
import secrets
import threading
import time
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import msgspec

from ...balancer.balancer import Balancer
from ...balancer.endpoint import EndpointState
from ...balancer.host import ListedEndpoint
from ...decisions.members.member import Member, MemberStatus
from ...decisions.operation import beginning, learnt
from ...decisions.shared.registers import Register, RegisterStore
from ...errors import Trouble
from ...protocol import keep as forms
from ...routing.canary import SplitCore, side_balancer
from ...routing.core import Core, Taker
from ...routing.follow import Follower
from ...store.file import Missing, Unfit
from ...store.generations import DiskFiles, Generations, StoredGeneration, Writer
from ...transport.address import Address
from ..config import Config
from .ground import Answer, Ground

log = logging.getLogger("rainspindle.keep")

NAME, KIND, VERSION, LEAST, MOST = "keep", 7, 1, 1, 2_000_000
# Limits of one record: endpoints, affinity keys, characters of a key, registers.
MAX_ENDPOINTS, MAX_KEYS, MAX_KEY_LENGTH, MAX_REGISTERS = 1000, 1000, 200, 50
READ_TIMEOUT, FINAL_WRITE_TIMEOUT = 1.0, 0.5  # seconds for the read at the start and the write at the end
MIN_AGE_AFTER_BOOT = 60.0  # minimum age in seconds of a record written before the last boot of the machine
MAX_AGE_WITHOUT_REPORTS = 60.0  # age in seconds up to which a record suffices without reports of others
MAX_REPORT_AGE = 20.0  # seconds since the reporting member was last known to hold its report
ENOUGH_REPORTS, READY_POLL_INTERVAL = (
    3,
    0.02,
)  # number of reports that suffice; seconds between checks for them
KNOWS_AFTER = 10.0  # seconds in service after which a member has something to report
MAX_DIRECT_RECIPIENTS = 50  # new members to which one write of the report sends it directly
LASTS = 30.0  # seconds after the start in which stored or reported state is applied to unused endpoints
EJECTION_CHECK_INTERVAL = 1.0  # seconds between checks for changed ejections, which cause a write
STALL_THRESHOLD = 2.0  # seconds after which a write is reported as stalled
# Maximum age in seconds given to a stored register: its value holds at any age, unless it was superseded.
MAX_REGISTER_AGE = 3600.0
# Prefixes of registers that their components publish again from their own state; all others are stored.
REPUBLISHED_PREFIXES = ("wallet/", "evidence", "list/", forms.CELL)


class KeepPart(msgspec.Struct, forbid_unknown_fields=True):
    """`[keep]` of the fleet file. Times are seconds."""

    every: float = 5.0  # interval between writes if the state has changed
    wait: float = 1.0  # maximum wait for reports of other members before the listeners open


class RecordWriteError(Trouble):
    """The record could not be written."""

    remedy = "check that the folder of [members] is writable and has free space; the write is retried"


def unfit(table: KeepPart, config: Config, folder: Path | None) -> Iterator[str]:
    """Yields an error message, beginning with the path of the setting, for each value out of range."""
    if not 0.1 <= table.every <= 600:
        yield f"keep.every: expected 0.1 to 600 s, got {table.every}"
    if not 0 <= table.wait <= 5:
        yield f"keep.wait: expected 0 to 5 s, got {table.wait}"


class Clocks:
    """The wall clock and the time since boot, replaceable in tests."""

    def wall(self) -> float:
        """Returns the Unix time in seconds."""
        return time.time()

    def boot(self) -> tuple[str, float]:
        """Returns the identifier of the machine boot and the seconds since, "" and 0.0 if unavailable."""
        try:
            return Path("/proc/sys/kernel/random/boot_id").read_text().strip(), time.clock_gettime(
                time.CLOCK_BOOTTIME
            )
        except OSError:
            return "", 0.0

    def record_age(self, record: forms.Record) -> float:
        """Returns the seconds since the record was written, infinite if the clocks cannot determine it.

        The age may be overestimated, never underestimated: a wall clock that was set back, or a machine or
        folder that was restored to an earlier state, must not make an old record appear fresh. If the wall
        clock was set forward, the stored state is lost once.
        """
        wall_age = self.wall() - record.wall
        boot, boot_at = self.boot()
        if boot and boot == record.boot:
            return max(boot_at - record.boot_at, wall_age) if boot_at >= record.boot_at else math.inf
        return max(wall_age, MIN_AGE_AFTER_BOOT) if wall_age >= 0 else math.inf


class Lasting:
    """The persisted record of this member, read once before other components are created."""

    def __init__(
        self,
        folder: Path | None,
        member: str,
        fleet: str,
        clocks: Clocks | None = None,
        tag: str | None = None,
    ) -> None:
        """Reads the record. With `folder` None there is no record and nothing is written."""
        self.member, self.fleet, self.clocks = member, fleet, clocks or Clocks()
        self.record: forms.Record | None = None
        self.generation, self.age, self.refusal = 0, math.inf, "no folder is configured"
        self.writer: Writer | None = None
        if folder is None:
            return
        tag = secrets.token_hex(4) if tag is None else tag

        def generations() -> Generations:
            return Generations(DiskFiles(folder), NAME, KIND, VERSION, LEAST, MOST, tag)

        self.writer = Writer(generations(), time.monotonic)
        # A stalled disk must not delay the start: after the timeout the start ignores the record.
        results: list[StoredGeneration | Trouble] = []
        reader = threading.Thread(target=read, args=(generations(), results), daemon=True)
        reader.start()
        reader.join(READ_TIMEOUT)
        if results and not isinstance(results[0], Trouble):
            self.writer.generations.last = results[0].generation
        self.accept(results[0] if results else Unfit(f"folder was not read within {READ_TIMEOUT:g} s"))
        if self.record is not None:
            log.info(
                "restored the persisted record",
                extra={
                    "fields": {
                        "generation": self.generation,
                        "age": f"{self.age:.1f}",
                        "refused": self.refusal or "none",
                    }
                },
            )
        elif self.refusal:
            log.warning(
                "persisted record not used", extra={"fields": {"why": self.refusal, "remedy": Unfit.remedy}}
            )

    def accept(self, stored: StoredGeneration | Trouble) -> None:
        """Takes over the record if it is readable and belongs to this member, else sets `refusal`."""
        try:
            if isinstance(stored, Trouble):
                raise stored
            record = forms.decode_record(stored.payload)
        except Missing:
            self.refusal = ""
            return
        except Trouble as error:
            self.refusal = str(error)
            return
        if (record.member, record.fleet) != (self.member, self.fleet):
            self.refusal = (
                f"the record belongs to member {record.member!r:.40} of fleet {record.fleet!r:.40}, "
                f"expected {self.member!r} of {self.fleet!r}"
            )
            return
        self.generation, self.refusal = stored.generation, "; ".join(stored.refused)
        self.age = self.clocks.record_age(record)
        self.record = record

    @property
    def life(self) -> int:
        """Incarnation of the process that wrote the record, 0 if there is no record."""
        return self.record.life if self.record is not None else 0

    def give_cells(self, cells: RegisterStore, now: float) -> None:
        """Merges the stored registers as if another member had sent them.

        Later values that other members hold take precedence, and components are notified of the registers.
        """
        for stored in self.record.cells if self.record is not None else ():
            if stored.life < cells.incarnation:
                cells.merge(
                    now,
                    Register(cells.own_name, stored.name, stored.life, stored.sequence, stored.value),
                    min(self.age, MAX_REGISTER_AGE),
                )


def read(generations: Generations, results: list[StoredGeneration | Trouble]) -> None:
    """Appends the newest intact generation, or the error; the body of a thread."""
    try:
        results.append(generations.read())
    except Trouble as error:
        results.append(error)


class KeepRun:
    """Restores learned state at a start, writes it in service, and exchanges start reports with members."""

    core: Core
    follower: Follower

    def __init__(
        self, ground: Ground, table: KeepPart, lasting: Lasting | None = None, seeds: bool = True
    ) -> None:
        """Initializes; `seeds` is whether there are other members whose reports could arrive."""
        self.ground, self.table, self.seeds = ground, table, seeds
        self.lasting = lasting or Lasting(ground.folder, ground.members.own_name, "")
        self.created_at = ground.loop.now()
        self.wait_started_at: float | None = None  # when `ready_from` was first called
        self.peer_seen_at = math.inf  # when another live member was first known
        self.ready_at: float | None = None  # when the listeners were allowed to open
        # Stored state by side, of which the state of endpoints not listed yet remains.
        self.pending_state: dict[str, dict[str, Any]] = {}
        self.restored_sides: set[str] = set()  # sides whose state of the sidecar itself is restored
        self.pending_reports: list[forms.Told] = []  # reports that are not applied yet
        # Endpoints to which stored state and reports were applied, by source.
        self.taken: dict[str, list[str]] = {"folder": [], "members": []}
        self.words = self.unreadable_reports = 0  # reports used, and reports that could not be decoded
        self.written_state: object = None  # what the last write was for, to detect changes
        self.written_registers: list[forms.OwnCell] = []
        self.written_ejections: list[tuple[str, float]] = []
        self.ejections_due_at = self.created_at  # time of the next check for changed ejections
        self.write_due_at, self.report_due_at, self.reported_at = (
            self.created_at,
            self.created_at + KNOWS_AFTER,
            -math.inf,
        )
        self.last_report = b""
        self.new_members: list[str] = []
        self.write_fault = ""  # why the record cannot be written at present, "" if it can
        self.closed = False

    # At the start.

    def attach(self, core: Core, follower: Follower) -> None:
        """Connects to the core and applies stored state now and whenever the endpoint list changes."""
        self.core, self.follower = core, follower
        record = self.lasting.record
        if record is not None:
            self.pending_state = {
                side: state for side, state in record.sides.items() if isinstance(state, dict)
            }
        inner_list_changed = core.list_changed

        def list_changed(
            lines: tuple[ListedEndpoint, ...], addresses: dict[str, Address], whole: bool, stale: bool
        ) -> None:
            inner_list_changed(lines, addresses, whole, stale)
            self.apply_pending(self.ground.loop.now())

        core.list_changed = list_changed  # type: ignore[method-assign]
        self.ground.cells.on_change(forms.CELL, self.on_report)
        self.apply_pending(self.created_at)

    def cores(self) -> dict[str, Core]:
        """Returns the cores by side; a core that no canary splits is the side ""."""
        return self.core.cores if isinstance(self.core, SplitCore) else {"": self.core}

    def sides(self) -> dict[str, Balancer]:
        """Returns the balancers by side."""
        return {
            side: balancer
            for side, core in self.cores().items()
            if (balancer := side_balancer(core)) is not None
        }

    def apply_pending(self, now: float) -> None:
        """Applies stored state and reports to listed endpoints that this process has not used yet."""
        if now > self.created_at + LASTS:
            self.pending_state.clear()
            self.pending_reports.clear()
        for side, balancer in self.sides().items():
            if side in self.pending_state:
                self.restore_side(now, side, balancer)
        if self.pending_reports and self.ready_at is not None:
            self.apply_reports(now)

    def restore_side(self, now: float, side: str, balancer: Balancer) -> None:
        """Applies the stored state of one side, aged; drops it with a warning if it is malformed."""
        record, stored = self.lasting.record, self.pending_state[side]
        if record is None or not balancer.registry.by_id:
            return
        try:
            endpoints = {
                endpoint_id: {
                    **state,
                    "age": self.age_when_written(now, record.started.get(endpoint_id, 0), state),
                }
                for endpoint_id, state in stored["endpoints"].items()
            }
            age = self.lasting.age + now - self.created_at
            window = (
                1 + EndpointState.INITIAL_QUEUE_SHARES * balancer.FLEET_QUEUE / balancer.config.sidecar_count
            )
            aged_state = learnt.aged(
                {**stored, "endpoints": endpoints}, age, balancer.slow_start.budget.warm_up_time, window
            )
            if side not in self.restored_sides:
                self.restored_sides.add(side)
                aged_state["put_back"] |= {
                    endpoint_id: now - enabled_at
                    for endpoint_id, enabled_at in balancer.slow_start.enabled_at.items()
                }
                learnt.take(balancer, now, {**aged_state, "endpoints": {}, "keys": {}})
            restorable = [
                endpoint_id
                for endpoint_id in aged_state["endpoints"]
                if (endpoint := balancer.registry.by_id.get(endpoint_id))
                and endpoint not in balancer.registry.active
            ]
            if restorable:
                self.taken["folder"] += learnt.take(balancer, now, aged_state, restorable)
                stored["endpoints"] = {
                    endpoint_id: state
                    for endpoint_id, state in stored["endpoints"].items()
                    if endpoint_id not in restorable
                }
        except (KeyError, TypeError, AttributeError, ValueError, IndexError) as error:
            self.pending_state.pop(side, None)
            log.warning(
                "persisted record not used",
                extra={
                    "fields": {"side": side, "why": f"{type(error).__name__} {error}", "remedy": Unfit.remedy}
                },
            )

    def age_when_written(self, now: float, started_ms: int, state: dict[str, Any]) -> float | None:
        """Returns the age of the endpoint at the time of the write, None if its start is unknown.

        It is computed from the start that the list gave then, so that changes of the clocks since do not
        make the endpoint appear restarted.
        """
        if not started_ms:
            return None
        return (
            now
            - (started_ms / 1000 + self.follower.decoder.clock_offset)
            - (self.lasting.age + now - self.created_at)
        )

    def started_ms(self, endpoint: EndpointState) -> int:
        """Returns the listed start of the endpoint as Unix time in milliseconds, 0 if unknown."""
        started = endpoint.listed.started_at
        return 0 if started is None else round((started - self.follower.decoder.clock_offset) * 1000)

    def start_digest(self, endpoint: EndpointState) -> bytes:
        """Returns the digest that identifies this start of the endpoint in reports."""
        return forms.mark(endpoint.id, self.started_ms(endpoint))

    def ready_from(self, now: float) -> float:
        """Returns when the listeners may open, or a time in the future at which to ask again.

        Waiting for reports spares clients the failures that other members have already observed. The wait
        is at most `wait`, half of it while no other member is known, and a quarter of it from the first
        known member on: members that report have done so by then. Too short on a machine under such load
        that they have not; `on_report` accepts later reports.
        """
        if self.ready_at is not None:
            return self.ready_at
        if self.wait_started_at is None:
            self.wait_started_at = now
        others = [
            member
            for member in self.ground.members.members()
            if member.name != self.ground.members.own_name and member.status is MemberStatus.ALIVE
        ]
        if others:
            self.peer_seen_at = min(self.peer_seen_at, now)
        reports = self.fresh_reports(now)
        reports_due_at = (
            self.peer_seen_at + self.table.wait / 4 if others else self.wait_started_at + self.table.wait / 2
        )
        wait_over = (
            not self.wants_reports
            or now >= min(reports_due_at, self.wait_started_at + self.table.wait)
            or len(reports) >= min(ENOUGH_REPORTS, len(others)) > 0
        )
        if not wait_over:
            return now + READY_POLL_INTERVAL
        self.ready_at = now
        self.pending_reports, self.words = reports, len(reports)
        self.apply_pending(now)
        fields = {
            "folder": len(self.taken["folder"]),
            "members": len(self.taken["members"]),
            "words": self.words,
            "waited": f"{now - self.wait_started_at:.2f}",
        }
        log.info(
            "ready with restored state"
            if self.taken["folder"] or self.taken["members"]
            else "ready without restored state",
            extra={"fields": fields},
        )
        return now

    @property
    def wants_reports(self) -> bool:
        """Whether this start uses reports of other members."""
        return self.seeds and self.table.wait > 0 and self.lasting.age > MAX_AGE_WITHOUT_REPORTS

    def on_report(self, now: float, register: Register) -> None:
        """Handles a report that arrives after the listeners opened: it applies to endpoints not used yet."""
        if (
            not self.wants_reports
            or self.ready_at is None
            or self.words >= ENOUGH_REPORTS
            or now > self.created_at + LASTS
        ):
            return
        reports = self.fresh_reports(now)
        if len(reports) > self.words:
            self.pending_reports, self.words = reports, len(reports)
            self.apply_pending(now)

    def fresh_reports(self, now: float) -> list[forms.Told]:
        """Returns the recent reports of other members and counts those that cannot be decoded."""
        reports, self.unreadable_reports = [], 0
        for owner, seen in self.ground.cells.named(forms.CELL).items():
            if (
                owner != self.ground.members.own_name
                and seen.register.value
                and now - seen.heard_at <= MAX_REPORT_AGE
            ):
                try:
                    reports.append(forms.decode(seen.register.value))
                except forms.UnreadableKept:
                    self.unreadable_reports += 1
        return reports

    def apply_reports(self, now: float) -> None:
        """Applies the pending reports to endpoints that this process has not used yet."""
        sides = self.sides()
        ready = {
            self.start_digest(endpoint): endpoint.id
            for balancer in sides.values()
            for endpoint in balancer.registry.ready
        }
        judged = beginning.judge(self.pending_reports, ready, self.taken["members"])
        for balancer in sides.values():
            self.taken["members"] += beginning.apply(balancer, now, judged)
        if ready:
            self.pending_reports = []

    # In service.

    def taker(self, inner: Taker) -> Taker:
        """Returns `inner`: this component does not intercept requests."""
        return inner

    def tick(self, now: float) -> float:
        """Publishes the report and writes the record when due; returns when to call it next."""
        if not hasattr(self, "core"):
            return now + 1.0
        self.report_if_due(now)
        # Own registers are written at once: otherwise an acknowledged canary abort would be forgotten if the
        # canary's own file is lost with the process. Ejections and failed trials are written within a second:
        # otherwise a restart would repeat the failed requests that led to them.
        changed = self.own_registers() != self.written_registers
        if now >= self.ejections_due_at:
            self.ejections_due_at = now + EJECTION_CHECK_INTERVAL
            changed = changed or self.ejections() != self.written_ejections
        if not self.closed and (now >= self.write_due_at or changed):
            self.write_due_at = now + self.table.every
            self.write(now)
        self.check_writer()
        return min(self.report_due_at, self.write_due_at, now + 1.0)

    def report_if_due(self, now: float) -> None:
        """Publishes the report if its time has come."""
        if now >= self.report_due_at:
            self.report_due_at, self.reported_at = now + max(self.table.every, 1.0), now
            self.publish_report(now)

    def publish_report(self, now: float) -> None:
        """Publishes the report if it has changed or new members need it; only a few members report."""
        alive = [
            member.name for member in self.ground.members.members() if member.status is MemberStatus.ALIVE
        ]
        own = self.ground.members.own_name
        if len(alive) < 2 or not beginning.tells(own, alive):
            report = b""
        else:
            report = forms.encode(*beginning.told(self.sides().values(), self.start_digest))
        if report != self.last_report or (report and self.new_members):
            self.last_report = report
            self.ground.cells.write(now, forms.CELL, report, self.new_members[:MAX_DIRECT_RECIPIENTS])
        self.new_members.clear()

    def make_record(self, now: float) -> forms.Record:
        """Returns the current state as a record, within the limits of one record."""
        boot, boot_at = self.lasting.clocks.boot()
        sides, started = {}, dict[str, int]()
        for side, balancer in self.sides().items():
            state = learnt.trimmed(learnt.give(balancer, now), MAX_ENDPOINTS, MAX_KEYS, MAX_KEY_LENGTH)
            sides[side] = state
            started |= {
                endpoint_id: self.started_ms(balancer.registry.by_id[endpoint_id])
                for endpoint_id in state["endpoints"]
            }
        view = self.ground.members
        lasting = self.lasting
        return forms.Record(
            lasting.member,
            lasting.fleet,
            view.own_incarnation,
            lasting.clocks.wall(),
            boot,
            boot_at,
            self.own_registers(),
            sides,
            started,
        )

    def own_registers(self) -> list[forms.OwnCell]:
        """Returns the registers of this member that are stored in the record."""
        registers = self.ground.cells
        return [
            forms.OwnCell(name, seen.register.incarnation, seen.register.sequence, seen.register.value)
            for name, seen in registers.by_owner.get(registers.own_name, {}).items()
            if not name.startswith(REPUBLISHED_PREFIXES)
            and (not name.startswith("canary/") or name.endswith("/state"))
        ][-MAX_REGISTERS:]

    def ejections(self) -> list[tuple[str, float]]:
        """Returns each ejected endpoint and the time since which it has been failing."""
        return [
            (endpoint.id, endpoint.breaker.failing_since)
            for balancer in self.sides().values()
            for endpoint in balancer.registry.active
            if endpoint.breaker
        ]

    def write(self, now: float, anyway: bool = False) -> None:
        """Submits the record to the writer if the state has changed or `anyway` is set.

        Writes nothing once a successor process has taken over: it writes the record itself.
        """
        writer, self.written_registers, self.written_ejections = (
            self.lasting.writer,
            self.own_registers(),
            self.ejections(),
        )
        if writer is None or getattr(self.ground.members, "handed_over", False):
            return
        request_counts = [core.taken for core in self.cores().values()]
        state = (
            request_counts,
            self.written_registers,
            self.written_ejections,
            self.ground.members.own_incarnation,
        )
        if state == self.written_state and not anyway and not writer.outcome.fault:
            return
        self.written_state = state
        writer.submit(forms.encode_record(self.make_record(now)))

    def check_writer(self) -> None:
        """Logs one line when writes begin to fail or stall, and one when they succeed again."""
        writer = self.lasting.writer
        if writer is None:
            return
        write_started_at, fault = writer.begun, writer.outcome.fault
        if write_started_at is not None and time.monotonic() - write_started_at > STALL_THRESHOLD:
            fault = "disk write stalled"
        if fault and not self.write_fault:
            log.error("learned state cannot be written", extra={"fields": RecordWriteError(fault).fields()})
        elif self.write_fault and not fault:
            log.info(
                "learned state is written again", extra={"fields": {"generation": writer.outcome.generation}}
            )
        self.write_fault = fault

    def member_changed(self, now: float, before: Member | None, after: Member) -> None:
        """Sends the report to a starting member directly, not by anti-entropy, at most once a second."""
        if (
            after.status is MemberStatus.ALIVE
            and after.name != self.ground.members.own_name
            and now >= self.created_at + KNOWS_AFTER
            and (before is None or before.incarnation != after.incarnation)
        ):
            self.new_members.append(after.name)
            self.report_due_at = min(self.report_due_at, self.reported_at + 1.0)
            self.report_if_due(now)

    def call(self, now: float, method: str, path: tuple[str, ...], query: Mapping[str, str]) -> Answer | None:
        """Answers GET /-/keep with the state of the writer and of the start, None for other paths."""
        if path != ("keep",):
            return None
        if method not in ("GET", "HEAD"):
            return Answer(405, {"error": f"/-/keep accepts GET, not {method}", "remedy": "use GET"})
        self.check_writer()
        lasting, writer = self.lasting, self.lasting.writer
        outcome = writer.outcome if writer is not None else None
        return Answer(
            200,
            {
                "generation": max(outcome.generation if outcome else 0, lasting.generation),
                "written": None
                if outcome is None or outcome.at is None
                else round(time.monotonic() - outcome.at, 1),
                "writes": outcome.writes if outcome else 0,
                "trouble": self.write_fault or None,
                "start": {
                    "generation": lasting.generation,
                    "age": finite(lasting.age),
                    "refused": lasting.refusal or None,
                    "waited": round((self.ready_at or now) - (self.wait_started_at or now), 2),
                    "words": self.words,
                    "folder": self.taken["folder"],
                    "members": self.taken["members"],
                },
                "tells": bool(self.last_report),
            },
        )

    def reload(self, now: float, tables: KeepPart) -> list[str]:
        """Applies changed settings; returns the settings that need a restart, of which there are none."""
        self.table = tables
        self.write_due_at = min(self.write_due_at, now + tables.every)
        return []

    def leave(self, now: float) -> None:
        """Writes the record when the member begins to leave the fleet."""
        if hasattr(self, "core"):
            self.write(now, anyway=True)

    def close(self) -> None:
        """Writes what was learned since the last write and waits up to `FINAL_WRITE_TIMEOUT` for the disk."""
        if self.closed or not hasattr(self, "core"):
            return
        self.closed = True
        self.write(self.ground.loop.now(), anyway=True)
        if self.lasting.writer is not None and not self.lasting.writer.flush(FINAL_WRITE_TIMEOUT):
            log.warning(
                "final state was not written",
                extra={"fields": RecordWriteError("disk write stalled").fields()},
            )

    def figures(self) -> Mapping[str, object]:
        """Returns counts of writes and of endpoints to which state was applied."""
        writer = self.lasting.writer
        return {
            "kept": writer.outcome.writes if writer else 0,
            "kept_taken": len(self.taken["folder"]),
            "told_at_start": len(self.taken["members"]),
        }


def finite(seconds: float) -> float | None:
    """Returns the seconds rounded to one decimal place, None if infinite or not a number."""
    return round(seconds, 1) if math.isfinite(seconds) else None
