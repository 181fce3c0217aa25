"""Reports of endpoints and keys between sidecars: `[evidence]` of the fleet file."""

from __future__ import annotations

import logging
import random
import secrets
import time
import zlib
from collections.abc import Callable, Iterator, Mapping

import msgspec

from ...decisions.evidence.evidence import Evidence
from ...decisions.evidence.watch import BalancerWatches
from ...decisions.members.member import Member, MemberStatus
from ...decisions.shared.registers import Register
from ...protocol.evidence import CELL, Told, UnreadableEvidence, decode_told, encode_told
from ...routing.core import Core, Taker
from ...routing.evidence import watch
from ...routing.follow import Follower
from ..config import Config
from .ground import Answer, Ground

log = logging.getLogger("rainspindle.evidence")

# Seconds between two checks of the balancers: normally, and while any endpoint is ejected
CHECK_GAP, CHECK_GAP_EJECTED = 0.25, 0.1
COUNT_GAP = 5.0  # seconds between two counts of the members
MAX_SHOWN = 50  # maximum endpoints in an answer to an operator


class EvidencePart(msgspec.Struct, forbid_unknown_fields=True):
    """`[evidence]` of the fleet file."""

    tellers: int = 3  # how many members' reports together warn of an endpoint, or make a key hot
    lasts: float = 15.0  # seconds for which a report counts


def unfit(table: EvidencePart, config: Config) -> Iterator[str]:
    """Yields each value that is well formed but out of range, with its path."""
    if not 2 <= table.tellers <= 50:
        yield (
            f"evidence.tellers: {table.tellers} is not from 2 to 50: a single member's report must not warn"
        )
    if not 5.0 <= table.lasts <= 120.0:
        yield f"evidence.lasts: {table.lasts:g} s is not from 5 to 120: trials are 5 s apart"


class EvidenceRun(BalancerWatches):
    """Runs the `Evidence` with the balancers, the members and the register."""

    def __init__(self, ground: Ground, table: EvidencePart, wall: Callable[[], float] = time.time) -> None:
        super().__init__()
        self.ground, self.table, self.clock = ground, table, wall
        self.member_count, self.own_rank, self.counted_at = 1, 0, -COUNT_GAP
        self.undecodable = 0
        self.evidence = Evidence(
            ground.loop.now(),
            ground.config.raw_settings["zone"],
            self,
            random.Random(secrets.randbits(64)),
            table.tellers,
            table.lasts,
        )

    def attach(self, core: Core, follower: Follower) -> None:
        """Connects the evidence with the core's balancers and the members' registers."""
        watch(core, self, self.evidence, self.ground.config.decoder.clock_offset)
        self.ground.cells.on_change(CELL, self.report_received)
        for seen in list(self.ground.cells.named(CELL).values()):
            self.report_received(self.ground.loop.now(), seen.register)

    def ready_from(self, now: float) -> float:
        """Returns `now`: the listener does not wait for this part."""
        return now

    def taker(self, inner: Taker) -> Taker:
        """Returns `inner`: requests are not changed."""
        return inner

    def report_received(self, now: float, register: Register) -> None:
        """Handles a changed register of evidence."""
        if register.name != CELL or register.owner == self.ground.members.own_name:
            return
        if not register.value:
            self.evidence.forget(now, register.owner)
            return
        try:
            told = decode_told(register.value)
        except UnreadableEvidence as fault:
            self.undecodable += 1
            log.debug(
                "evidence register cannot be decoded",
                extra={"fields": {"from": register.owner, "why": fault}},
            )
        else:
            self.evidence.report_received(now, register.owner, told)

    def tick(self, now: float) -> float:
        """Does what is due and returns when to be called next at the latest."""
        if now - self.counted_at >= COUNT_GAP:
            self.counted_at = now
            own = self.ground.members.own_name
            names = [
                member.name
                for member in self.ground.members.members()
                if member.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT) or member.name == own
            ]
            first = order_hash(own)
            self.member_count, self.own_rank = len(names), sum(order_hash(name) < first for name in names)
        any_ejected = self.check(now)
        return min(self.evidence.tick(now), now + (CHECK_GAP_EJECTED if any_ejected else CHECK_GAP))

    def member_changed(self, now: float, before: Member | None, after: Member) -> None:
        """Forgets the reports of a member that is dead or has left."""
        if after.status in (MemberStatus.DEAD, MemberStatus.LEFT):
            self.evidence.forget(now, after.name)

    def call(self, now: float, method: str, path: tuple[str, ...], query: Mapping[str, str]) -> Answer | None:
        """Answers an operator's call of /-/evidence, None for other paths."""
        if path[:1] != ("evidence",):
            return None
        if len(path) > 1:
            return Answer(404, {"error": "no such call", "remedy": "ask GET /-/evidence"})
        if method not in ("GET", "HEAD"):
            return Answer(405, {"error": f"/-/evidence wants GET, not {method}", "remedy": "ask with GET"})
        return Answer(
            200,
            {**self.evidence.report(now), "unread": self.undecodable, "endpoints": self.shown_endpoints(now)},
        )

    def shown_endpoints(self, now: float) -> list[dict[str, object]]:
        """Returns the endpoints that are ejected here or reported by any member, for operators."""
        evidence, found = self.evidence, list[dict[str, object]]()
        held = evidence.reported_attempts(now)
        for mark in [
            *evidence.ejections,
            *(reported_mark for reported_mark in evidence.reports if reported_mark not in evidence.ejections),
        ]:
            match, own = self.find(mark), evidence.ejections.get(mark)
            if match is None or len(found) >= MAX_SHOWN:
                continue
            watched, endpoint = match
            start, reports = watched.start(endpoint), evidence.reports.get(mark, {})
            found.append(
                {
                    "id": endpoint.id,
                    "out": own is not None,
                    "warned": mark in evidence.warned,
                    "trial_in_s": round(max(0.0, own.due - now), 1) if own else None,
                    "told_by": sum(
                        evidence.is_credible(now, owner, report, start) for owner, report in reports.items()
                    ),
                    "held_elsewhere": held.get(mark, 0),
                }
            )
        return found

    def reload(self, now: float, tables: EvidencePart) -> list[str]:
        """Applies the table of a fleet file that was read again; returns what needs a restart."""
        self.table = tables
        self.evidence.tellers, self.evidence.lasts = tables.tellers, tables.lasts
        return []

    def leave(self, now: float) -> None:
        """Does nothing: the own reports expire at the other members."""

    def close(self) -> None:
        """Does nothing, as nothing is open."""

    def figures(self) -> Mapping[str, object]:
        """Returns the metrics."""
        counts = self.evidence.counts
        return {
            f"evidence_{name}": counts[name]
            for name in ("told", "words", "discounted", "warnings", "spared", "hastened")
        }

    # Interface for the evidence.

    def wall(self, now: float) -> float:
        """Returns Unix time."""
        return self.clock()

    def warn(self, now: float, mark: int, on: bool) -> None:
        """Sets whether one own failure is enough to eject the endpoint, and logs it."""
        super().warn(now, mark, on)
        match = self.find(mark)
        log.info(
            "endpoint reported dead by other members" if on else "endpoint no longer reported dead",
            extra={
                "fields": {"endpoint": match[1].id if match else mark, "warned": len(self.evidence.warned)}
            },
        )

    def size(self) -> int:
        """Returns the number of members at the last count."""
        return self.member_count

    def rank(self) -> int:
        """Returns the own position in a pseudo-random order of the members, 0 for the first."""
        return self.own_rank

    def publish(self, now: float, told: Told) -> None:
        """Writes the own register."""
        self.ground.cells.write(now, CELL, encode_told(told))


def order_hash(name: str) -> int:
    """Returns the hash by which members are ordered, the same at all members."""
    return zlib.crc32(name.encode())
