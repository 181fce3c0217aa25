"""What outlasts this process in the members' folder, and what the others tell it at a start: `[keep]` of the
fleet file."""

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
from ...store.generations import DiskFiles, Generations, Kept, Writer
from ...transport.address import Address
from ..config import Config
from .ground import Answer, Ground

log = logging.getLogger("rainspindle.keep")

NAME, KIND, VERSION, LEAST, MOST = "keep", 7, 1, 1, 2_000_000
MOST_ENDPOINTS, MOST_KEYS, MOST_KEY, MOST_CELLS = 1000, 1000, 200, 50  # what one record holds
READ_TIME, LAST_WRITE = 1.0, 0.5  # seconds that a reading, and a writing at the end, may take
ANOTHER_BOOT = 60.0  # seconds that it counts for at least where the machine was started anew since
FRESH_RECORD = 60.0  # seconds up to which a record needs no word of others beside it
FRESH_WORD = 20.0  # seconds since a teller is known to have held its word
ENOUGH, LOOK = 3, 0.02  # words that are enough; seconds between looks whether they are there
KNOWS_AFTER = 10.0  # seconds in service after which a member has something to tell
MOST_TOWARD = 50  # newcomers that are told at once by one writing of the word
LASTS = 30.0  # seconds after the start in which endpoints get what was kept or told of them, if not met yet
OUT_LOOK = 1.0  # seconds between looks at what is out, which is written where it has changed
STALLED = 2.0  # seconds after which a writing is told to be stalled
# The age that a kept cell is given at most: what it says is true at any age, or overtaken.
OLDEST_CELL = 3600.0
# Cells that their parts write anew from what they hold themselves; all others are kept.
WRITTEN_ANEW = ("wallet/", "evidence", "list/", forms.CELL)


class KeepPart(msgspec.Struct, forbid_unknown_fields=True):
    """`[keep]` of the fleet file. Times are seconds."""

    every: float = 5.0  # between writes, where there is anything new
    wait: float = 1.0  # for which the door is kept shut at most until others have told


class Unkept(Trouble):
    """The record could not be written."""

    remedy = "see that the folder of [members] may be written and has room; it is tried again"


def unfit(table: KeepPart, config: Config, folder: Path | None) -> Iterator[str]:
    """Each fault between values that are well formed, with its path."""
    if not 0.1 <= table.every <= 600:
        yield f"keep.every: {table.every} is not from 0.1 to 600 s"
    if not 0 <= table.wait <= 5:
        yield f"keep.wait: {table.wait} is not from 0 to 5 s"


class Clocks:
    """What time it is, in two ways."""

    def wall(self) -> float:
        return time.time()

    def boot(self) -> tuple[str, float]:
        """Which start of the machine, "" where it is not told, and seconds since."""
        try:
            return Path("/proc/sys/kernel/random/boot_id").read_text().strip(), time.clock_gettime(
                time.CLOCK_BOOTTIME
            )
        except OSError:
            return "", 0.0

    def since(self, record: forms.Record) -> float:
        """Seconds since it was written, rather too many than too few; infinite where no clock can tell.

        Guards against a clock that was set back, and against a machine or folder put back to an earlier
        state: nothing old passes for fresh. May hurt where a clock was set forward: what is known is lost
        once."""
        wall = self.wall() - record.wall
        boot, at = self.boot()
        if boot and boot == record.boot:
            return max(at - record.boot_at, wall) if at >= record.boot_at else math.inf
        return max(wall, ANOTHER_BOOT) if wall >= 0 else math.inf


class Lasting:
    """The member's record: read once, before anything else stands."""

    def __init__(
        self,
        folder: Path | None,
        member: str,
        fleet: str,
        clocks: Clocks | None = None,
        tag: str | None = None,
    ) -> None:
        self.member, self.fleet, self.clocks = member, fleet, clocks or Clocks()
        self.record: forms.Record | None = None
        self.generation, self.age, self.why = 0, math.inf, "no folder"
        self.writer: Writer | None = None
        if folder is None:
            return
        tag = secrets.token_hex(4) if tag is None else tag

        def generations() -> Generations:
            return Generations(DiskFiles(folder), NAME, KIND, VERSION, LEAST, MOST, tag)

        self.writer = Writer(generations(), time.monotonic)
        # Guards against a disk that stalls at the start: it begins with nothing then, whatever comes later.
        found: list[Kept | Trouble] = []
        reader = threading.Thread(target=read, args=(generations(), found), daemon=True)
        reader.start()
        reader.join(READ_TIME)
        if found and not isinstance(found[0], Trouble):
            self.writer.generations.last = found[0].generation
        self.judge(found[0] if found else Unfit("the folder is not read in time"))
        if self.record is not None:
            log.info(
                "goes on from what was kept",
                extra={
                    "fields": {
                        "generation": self.generation,
                        "age": f"{self.age:.1f}",
                        "refused": self.why or "none",
                    }
                },
            )
        elif self.why:
            log.warning(
                "begins with nothing kept", extra={"fields": {"why": self.why, "remedy": Unfit.remedy}}
            )

    def judge(self, kept: Kept | Trouble) -> None:
        try:
            if isinstance(kept, Trouble):
                raise kept
            record = forms.decode_record(kept.payload)
        except Missing:
            self.why = ""
            return
        except Trouble as fault:
            self.why = str(fault)
            return
        if (record.member, record.fleet) != (self.member, self.fleet):
            self.why = f"the record is of member {record.member!r:.40} in fleet {record.fleet!r:.40}"
            return
        self.generation, self.why = kept.generation, "; ".join(kept.refused)
        self.age = self.clocks.since(record)
        self.record = record

    @property
    def life(self) -> int:
        """The last that is known of, 0 for none."""
        return self.record.life if self.record is not None else 0

    def give_cells(self, cells: RegisterStore, now: float) -> None:
        """As if another member had told them: what others know of later wins, and the parts hear of them."""
        for cell in self.record.cells if self.record is not None else ():
            if cell.life < cells.incarnation:
                cells.merge(
                    now,
                    Register(cells.own_name, cell.name, cell.life, cell.sequence, cell.value),
                    min(self.age, OLDEST_CELL),
                )


def read(generations: Generations, found: list[Kept | Trouble]) -> None:
    """In a thread of its own."""
    try:
        found.append(generations.read())
    except Trouble as fault:
        found.append(fault)


class KeepRun:
    core: Core
    follower: Follower

    def __init__(
        self, ground: Ground, table: KeepPart, lasting: Lasting | None = None, seeds: bool = True
    ) -> None:
        """`seeds`: whether there is anybody to ask at a start."""
        self.ground, self.table, self.seeds = ground, table, seeds
        self.lasting = lasting or Lasting(ground.folder, ground.members.own_name, "")
        self.begun = ground.loop.now()
        self.asked_at: float | None = None  # whether the door may open
        self.met_at = math.inf  # when another member was first known
        self.opened_at: float | None = None
        self.kept: dict[str, dict[str, Any]] = {}  # by side, of endpoints that are not listed yet
        self.own_taken: set[str] = set()  # sides that have what is the sidecar's own
        self.judged: list[forms.Told] = []
        self.taken: dict[str, list[str]] = {"folder": [], "members": []}
        self.words = self.unread = 0
        self.written_mark: object = None
        self.written_cells: list[forms.OwnCell] = []
        self.written_out: list[tuple[str, float]] = []
        self.out_at = self.begun  # when it is looked at next
        self.write_at, self.tell_at, self.told_at = self.begun, self.begun + KNOWS_AFTER, -math.inf
        self.last_word = b""
        self.newcomers: list[str] = []
        self.trouble = ""
        self.left = False

    # The start.

    def attach(self, core: Core, follower: Follower) -> None:
        self.core, self.follower = core, follower
        record = self.lasting.record
        if record is not None:
            self.kept = {side: given for side, given in record.sides.items() if isinstance(given, dict)}
        listed = core.list_changed

        def list_changed(
            lines: tuple[ListedEndpoint, ...], addresses: dict[str, Address], whole: bool, stale: bool
        ) -> None:
            listed(lines, addresses, whole, stale)
            self.take(self.ground.loop.now())

        core.list_changed = list_changed  # type: ignore[method-assign]
        self.ground.cells.on_change(forms.CELL, self.word_came)
        self.take(self.begun)

    def cores(self) -> dict[str, Core]:
        return self.core.cores if isinstance(self.core, SplitCore) else {"": self.core}

    def sides(self) -> dict[str, Balancer]:
        return {
            side: balancer
            for side, core in self.cores().items()
            if (balancer := side_balancer(core)) is not None
        }

    def take(self, now: float) -> None:
        """What is there, for endpoints that are listed and of which nothing is known yet."""
        if now > self.begun + LASTS:
            self.kept.clear()
            self.judged.clear()
        for side, balancer in self.sides().items():
            if side in self.kept:
                self.take_kept(now, side, balancer)
        if self.judged and self.opened_at is not None:
            self.take_words(now)

    def take_kept(self, now: float, side: str, balancer: Balancer) -> None:
        record, kept = self.lasting.record, self.kept[side]
        if record is None or not balancer.registry.by_id:
            return
        try:
            here = {
                id: {**of, "age": self.age_of(now, record.started.get(id, 0), of)}
                for id, of in kept["endpoints"].items()
            }
            age = self.lasting.age + now - self.begun
            window = (
                1 + EndpointState.INITIAL_QUEUE_SHARES * balancer.FLEET_QUEUE / balancer.config.sidecar_count
            )
            given = learnt.aged(
                {**kept, "endpoints": here}, age, balancer.slow_start.budget.warm_up_time, window
            )
            if side not in self.own_taken:
                self.own_taken.add(side)
                given["put_back"] |= {id: now - at for id, at in balancer.slow_start.enabled_at.items()}
                learnt.take(balancer, now, {**given, "endpoints": {}, "keys": {}})
            ids = [
                id
                for id in given["endpoints"]
                if (e := balancer.registry.by_id.get(id)) and e not in balancer.registry.active
            ]
            if ids:
                self.taken["folder"] += learnt.take(balancer, now, given, ids)
                kept["endpoints"] = {id: of for id, of in kept["endpoints"].items() if id not in ids}
        except (KeyError, TypeError, AttributeError, ValueError, IndexError) as fault:
            self.kept.pop(side, None)
            log.warning(
                "begins with nothing kept",
                extra={
                    "fields": {"side": side, "why": f"{type(fault).__name__} {fault}", "remedy": Unfit.remedy}
                },
            )

    def age_of(self, now: float, started_ms: int, of: dict[str, Any]) -> float | None:
        """How old the endpoint was at the writing, such that its start is the one that the list told then,
        whatever clocks did since."""
        if not started_ms:
            return None
        return (
            now
            - (started_ms / 1000 + self.follower.decoder.clock_offset)
            - (self.lasting.age + now - self.begun)
        )

    def started_ms(self, e: EndpointState) -> int:
        started = e.listed.started_at
        return 0 if started is None else round((started - self.follower.decoder.clock_offset) * 1000)

    def mark_of(self, e: EndpointState) -> bytes:
        return forms.mark(e.id, self.started_ms(e))

    def ready_from(self, now: float) -> float:
        """Guards against clients that meet what others of the fleet have met already. Bounded by `wait`, by
        half of it where nobody answers, and by a quarter from the first that does: what tellers there are
        have told by then. May hurt on a machine so loaded that they have not; see `word_came`."""
        if self.opened_at is not None:
            return self.opened_at
        if self.asked_at is None:
            self.asked_at = now
        others = [
            m
            for m in self.ground.members.members()
            if m.name != self.ground.members.own_name and m.status is MemberStatus.ALIVE
        ]
        if others:
            self.met_at = min(self.met_at, now)
        words = self.heard(now)
        quiet = self.met_at + self.table.wait / 4 if others else self.asked_at + self.table.wait / 2
        over = (
            not self.asks
            or now >= min(quiet, self.asked_at + self.table.wait)
            or len(words) >= min(ENOUGH, len(others)) > 0
        )
        if not over:
            return now + LOOK
        self.opened_at = now
        self.judged, self.words = words, len(words)
        self.take(now)
        fields = {
            "folder": len(self.taken["folder"]),
            "members": len(self.taken["members"]),
            "words": self.words,
            "waited": f"{now - self.asked_at:.2f}",
        }
        log.info(
            "begins with what was learnt" if self.taken["folder"] or self.taken["members"] else "begins anew",
            extra={"fields": fields},
        )
        return now

    @property
    def asks(self) -> bool:
        """Whether others' word is wanted at all."""
        return self.seeds and self.table.wait > 0 and self.lasting.age > FRESH_RECORD

    def word_came(self, now: float, cell: Register) -> None:
        """Guards against a word that comes after the door was opened: it counts for what was not met yet."""
        if not self.asks or self.opened_at is None or self.words >= ENOUGH or now > self.begun + LASTS:
            return
        words = self.heard(now)
        if len(words) > self.words:
            self.judged, self.words = words, len(words)
            self.take(now)

    def heard(self, now: float) -> list[forms.Told]:
        """The words of others that are fresh, by teller."""
        found, self.unread = [], 0
        for owner, seen in self.ground.cells.named(forms.CELL).items():
            if (
                owner != self.ground.members.own_name
                and seen.register.value
                and now - seen.heard_at <= FRESH_WORD
            ):
                try:
                    found.append(forms.decode(seen.register.value))
                except forms.UnreadableKept:
                    self.unread += 1
        return found

    def take_words(self, now: float) -> None:
        sides = self.sides()
        ready = {self.mark_of(e): e.id for balancer in sides.values() for e in balancer.registry.ready}
        judged = beginning.judge(self.judged, ready, self.taken["members"])
        for balancer in sides.values():
            self.taken["members"] += beginning.apply(balancer, now, judged)
        if ready:
            self.judged = []

    # In service.

    def taker(self, inner: Taker) -> Taker:
        return inner

    def tick(self, now: float) -> float:
        if not hasattr(self, "core"):
            return now + 1.0
        self.tell_due(now)
        # Guards against an abort that is heard and forgotten, where the canary's own file is lost with the
        # process: what was decided here is written at once. And against a trial, or a trip, that is paid for
        # twice: these are written within a second.
        news = self.own_cells() != self.written_cells
        if now >= self.out_at:
            self.out_at = now + OUT_LOOK
            news = news or self.out() != self.written_out
        if not self.left and (now >= self.write_at or news):
            self.write_at = now + self.table.every
            self.write(now)
        self.look()
        return min(self.tell_at, self.write_at, now + 1.0)

    def tell_due(self, now: float) -> None:
        if now >= self.tell_at:
            self.tell_at, self.told_at = now + max(self.table.every, 1.0), now
            self.tell(now)

    def tell(self, now: float) -> None:
        """Few members tell, and only what has changed."""
        alive = [m.name for m in self.ground.members.members() if m.status is MemberStatus.ALIVE]
        own = self.ground.members.own_name
        if len(alive) < 2 or not beginning.tells(own, alive):
            word = b""
        else:
            word = forms.encode(*beginning.told(self.sides().values(), self.mark_of))
        if word != self.last_word or (word and self.newcomers):
            self.last_word = word
            self.ground.cells.write(now, forms.CELL, word, self.newcomers[:MOST_TOWARD])
        self.newcomers.clear()

    def record(self, now: float) -> forms.Record:
        boot, at = self.lasting.clocks.boot()
        sides, started = {}, dict[str, int]()
        for side, balancer in self.sides().items():
            given = learnt.trimmed(learnt.give(balancer, now), MOST_ENDPOINTS, MOST_KEYS, MOST_KEY)
            sides[side] = given
            started |= {id: self.started_ms(balancer.registry.by_id[id]) for id in given["endpoints"]}
        view = self.ground.members
        lasting = self.lasting
        return forms.Record(
            lasting.member,
            lasting.fleet,
            view.own_incarnation,
            lasting.clocks.wall(),
            boot,
            at,
            self.own_cells(),
            sides,
            started,
        )

    def own_cells(self) -> list[forms.OwnCell]:
        cells = self.ground.cells
        return [
            forms.OwnCell(name, seen.register.incarnation, seen.register.sequence, seen.register.value)
            for name, seen in cells.by_owner.get(cells.own_name, {}).items()
            if not name.startswith(WRITTEN_ANEW)
            and (not name.startswith("canary/") or name.endswith("/state"))
        ][-MOST_CELLS:]

    def out(self) -> list[tuple[str, float]]:
        """The endpoints that are out, and since when."""
        return [
            (e.id, e.breaker.failing_since)
            for balancer in self.sides().values()
            for e in balancer.registry.active
            if e.breaker
        ]

    def write(self, now: float, anyway: bool = False) -> None:
        """Where anything is new. A successor beside this process writes in its place."""
        writer, self.written_cells, self.written_out = self.lasting.writer, self.own_cells(), self.out()
        if writer is None or getattr(self.ground.members, "handed_over", False):
            return
        taken = [core.taken for core in self.cores().values()]
        mark = (taken, self.written_cells, self.written_out, self.ground.members.own_incarnation)
        if mark == self.written_mark and not anyway and not writer.outcome.fault:
            return
        self.written_mark = mark
        writer.give(forms.encode_record(self.record(now)))

    def look(self) -> None:
        """One line for each change of how writing goes."""
        writer = self.lasting.writer
        if writer is None:
            return
        begun, fault = writer.begun, writer.outcome.fault
        if begun is not None and time.monotonic() - begun > STALLED:
            fault = "the disk stalls"
        if fault and not self.trouble:
            log.error("what was learnt cannot be kept", extra={"fields": Unkept(fault).fields()})
        elif self.trouble and not fault:
            log.info(
                "what was learnt is kept again", extra={"fields": {"generation": writer.outcome.generation}}
            )
        self.trouble = fault

    def member_changed(self, now: float, before: Member | None, after: Member) -> None:
        """One that starts is told at once, and not when states are next compared; once a second at most."""
        if (
            after.status is MemberStatus.ALIVE
            and after.name != self.ground.members.own_name
            and now >= self.begun + KNOWS_AFTER
            and (before is None or before.incarnation != after.incarnation)
        ):
            self.newcomers.append(after.name)
            self.tell_at = min(self.tell_at, self.told_at + 1.0)
            self.tell_due(now)

    def call(self, now: float, method: str, path: tuple[str, ...], query: Mapping[str, str]) -> Answer | None:
        if path != ("keep",):
            return None
        if method not in ("GET", "HEAD"):
            return Answer(405, {"error": f"/-/keep wants GET, not {method}", "remedy": "ask with GET"})
        self.look()
        lasting, writer = self.lasting, self.lasting.writer
        done = writer.outcome if writer is not None else None
        return Answer(
            200,
            {
                "generation": max(done.generation if done else 0, lasting.generation),
                "written": None if done is None or done.at is None else round(time.monotonic() - done.at, 1),
                "writes": done.writes if done else 0,
                "trouble": self.trouble or None,
                "start": {
                    "generation": lasting.generation,
                    "age": finite(lasting.age),
                    "refused": lasting.why or None,
                    "waited": round((self.opened_at or now) - (self.asked_at or now), 2),
                    "words": self.words,
                    "folder": self.taken["folder"],
                    "members": self.taken["members"],
                },
                "tells": bool(self.last_word),
            },
        )

    def reload(self, now: float, tables: KeepPart) -> list[str]:
        self.table = tables
        self.write_at = min(self.write_at, now + tables.every)
        return []

    def leave(self, now: float) -> None:
        if hasattr(self, "core"):
            self.write(now, anyway=True)

    def close(self) -> None:
        """Guards against what the last seconds taught and no writing has taken; it waits no longer than
        that."""
        if self.left or not hasattr(self, "core"):
            return
        self.left = True
        self.write(self.ground.loop.now(), anyway=True)
        if self.lasting.writer is not None and not self.lasting.writer.flush(LAST_WRITE):
            log.warning("the last state is not kept", extra={"fields": Unkept("the disk stalls").fields()})

    def figures(self) -> Mapping[str, object]:
        writer = self.lasting.writer
        return {
            "kept": writer.outcome.writes if writer else 0,
            "kept_taken": len(self.taken["folder"]),
            "told_at_start": len(self.taken["members"]),
        }


def finite(seconds: float) -> float | None:
    return round(seconds, 1) if math.isfinite(seconds) else None
