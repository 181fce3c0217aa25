"""Request counts of both sides of a canary in time buckets: one sidecar's own and those of the fleet.

A sidecar publishes its counts in a register; the others add them up over their windows.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

import msgspec

from ...balancer.host import Idempotency

VERSION = 1
IDEMPOTENCIES = (Idempotency.IDEMPOTENT, Idempotency.DEDUPLICATED, Idempotency.NON_IDEMPOTENT)
# The class of requests that were rejected without an attempt: they say nothing about a release.
REJECTED = len(IDEMPOTENCIES)
CLASSES = len(IDEMPOTENCIES) + 1
# Counters in a bucket: for each side and class, one of all requests and one of failed and late ones.
COUNTERS_PER_BUCKET = 2 * CLASSES * 2
SHORT_BUCKETS, LONG_BUCKETS = 4, 8  # complete buckets in the short window and in the long one
MAX_COUNT = 0xFFFF  # the limit for a number in an encoded report

Sums = list[int]


def counter_index(new: bool, class_index: int, bad: bool = False) -> int:
    """The index of a counter in a bucket. `bad`: the counter of requests that failed or were late."""
    return (new * CLASSES + class_index) * 2 + bad


class SlidingWindow:
    """A sliding window of time buckets of equal length, the newest and incomplete one last.

    The buckets cover the window and the length of one bucket more.
    """

    def __init__(self, now: float, window: float, bucket_count: int) -> None:
        """`window` is in seconds; `bucket_count` complete buckets cover it."""
        self.bucket_seconds, self.newest_start, self.max_buckets = (
            window / bucket_count,
            now,
            bucket_count + 1,
        )
        self.buckets: deque[Sums] = deque([[0] * COUNTERS_PER_BUCKET], maxlen=self.max_buckets)

    def roll(self, now: float) -> None:
        """Appends the buckets that have begun by now and drops those that are older than the window."""
        elapsed = int((now - self.newest_start) / self.bucket_seconds)
        if elapsed > 0:
            self.newest_start += elapsed * self.bucket_seconds
            for _ in range(min(elapsed, self.max_buckets)):
                self.buckets.append([0] * COUNTERS_PER_BUCKET)

    def add(self, now: float, *indices: int) -> None:
        """Adds 1 to the counters at these indices in the newest bucket."""
        self.roll(now)
        for index in indices:
            self.buckets[-1][index] += 1


class Told(msgspec.Struct, array_like=True):
    """A sidecar's report in its register of counts: which state of the run it knows, and its counts."""

    version: int
    own: bytes  # the digest of the terms in its own configuration
    run: int
    digest: bytes  # of the terms of the run that it knows
    epoch: int
    stage: int
    paused: bool
    aborted: bool
    unheard: bool  # it sends all keys to the old side because it receives reports from too few members
    unit: int = 1  # requests that 1 stands for in `fine` and `coarse`
    fine_age: float = 0.0  # seconds since the incomplete bucket began
    coarse_age: float = 0.0
    fine: list[int] = msgspec.field(default_factory=list)
    coarse: list[int] = msgspec.field(default_factory=list)
    stage_new: list[int] = msgspec.field(default_factory=list)  # new side, this stage, by idempotency
    harmed: int = 0  # requests of this run that failed or were late on the new side

    @property
    def stage_id(self) -> tuple[int, bytes, int, int]:
        """The stage of the run that the sidecar knows; equal stamps mean the same stage."""
        return self.run, self.digest, self.epoch, self.stage


def pack(buckets: deque[Sums], unit: int) -> list[int]:
    """Lists the counters of the buckets in this unit, rounded up, from the newest bucket to the oldest.

    Zeros at the end are left out.
    """
    packed: list[int] = []
    for bucket in reversed(buckets):
        packed += [-(-count // unit) for count in bucket]
    while packed and not packed[-1]:
        packed.pop()
    return packed


def encode(report: Told, fine: SlidingWindow, coarse: SlidingWindow, now: float) -> bytes:
    """Completes the report with both windows and encodes it.

    Takes 900 bytes at most: counts above `MAX_COUNT` are given in a larger unit.
    """
    fine.roll(now)
    coarse.roll(now)
    highest = max(max(bucket) for window in (fine, coarse) for bucket in window.buckets)
    report.unit = 1
    while highest // report.unit >= MAX_COUNT:
        report.unit *= 2
    report.fine, report.coarse = pack(fine.buckets, report.unit), pack(coarse.buckets, report.unit)
    report.fine_age, report.coarse_age = (
        round(now - fine.newest_start, 3),
        round(now - coarse.newest_start, 3),
    )
    return msgspec.msgpack.encode(report)


def decode(raw: bytes) -> Told:
    """Raises ValueError if `raw` is no report of this version or has a value out of range."""
    try:
        report = msgspec.msgpack.decode(raw, type=Told)
    except msgspec.MsgspecError as error:
        raise ValueError(f"cannot decode canary counts: {error}") from None
    if (
        report.version != VERSION
        or report.unit < 1
        or len(report.fine) > (SHORT_BUCKETS + 1) * COUNTERS_PER_BUCKET
        or len(report.coarse) > (LONG_BUCKETS + 1) * COUNTERS_PER_BUCKET
        or min((0, *report.fine, *report.coarse)) < 0
        or not (0 <= report.fine_age < 1e6 and 0 <= report.coarse_age < 1e6)
        or report.run < 0
        or report.epoch < 0
        or not 0 <= report.stage < 256
    ):
        raise ValueError(f"canary counts are not of version {VERSION}, or have a value out of range")
    return report


class ReportedWindow:
    """The buckets of another sidecar's report, with their running totals from the newest bucket back.

    The totals are computed once, when the report is received, so that each evaluation is cheap.
    """

    def __init__(
        self, reported_at: float, numbers: list[int], unit: int, age: float, window: float, bucket_count: int
    ) -> None:
        self.newest_start, self.bucket_seconds, self.max_buckets = (
            reported_at - age,
            window / bucket_count,
            bucket_count,
        )
        self.running_totals: list[Sums] = [[0] * COUNTERS_PER_BUCKET]  # at index n: of the n newest buckets
        for start in range(0, len(numbers), COUNTERS_PER_BUCKET):
            bucket, last = numbers[start : start + COUNTERS_PER_BUCKET], self.running_totals[-1]
            self.running_totals.append(
                [
                    total + count * unit
                    for total, count in zip(
                        last, bucket + [0] * (COUNTERS_PER_BUCKET - len(bucket)), strict=True
                    )
                ]
            )

    def within(self, now: float) -> Sums:
        """The totals of the buckets that still lie in the window, also if no newer report has come."""
        aged = int(max(now - self.newest_start, 0.0) / self.bucket_seconds)
        kept = min(self.max_buckets + 1 - aged, len(self.running_totals) - 1)
        return self.running_totals[kept] if kept > 0 else self.running_totals[0]


@dataclass(slots=True)
class PeerReport:
    """The last report received from another sidecar."""

    report: Told
    reported_at: float  # on this process's clock
    incarnation: int
    sequence: int
    long: ReportedWindow
    short: ReportedWindow


def add_counters(counts: list[Sums]) -> Sums:
    """Adds these lists of counters, index by index."""
    return [sum(column) for column in zip(*counts, strict=True)] if counts else [0] * COUNTERS_PER_BUCKET
