"""Persisted state: generations on disk, aging of learned state, and reports of members at a start."""

from __future__ import annotations

import errno
import functools
import threading
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainspindle.balancer.failover import FailoverTable
from rainspindle.balancer.host import AttemptOutcome
from rainspindle.decisions.members.member import Member, MemberStatus
from rainspindle.decisions.operation import beginning, learnt
from rainspindle.decisions.shared.registers import Register, RegisterStore
from rainspindle.lab.crashstates import FAULTS, HARMLESS, Check
from rainspindle.lab.fleet.processes import wait_until
from rainspindle.lab.fleet.starters import Herd
from rainspindle.program.fleet import keep
from rainspindle.program.fleet.keep import Clocks, KeepPart, KeepRun, Lasting, unfit
from rainspindle.protocol import keep as forms
from rainspindle.store.file import Missing, Unfit
from rainspindle.store.generations import DiskFiles, Generations, Writer

from .fleet import COLD, Fleet, Rig, entry, kind, line

HOUR, WEEK = 3600.0, 7 * 86400.0

# States after a crash.


def test_each_state_after_a_crash_gives_an_intact_generation_no_older_than_the_last_acknowledged() -> None:
    check = Check(writes=5).run()
    assert not check.found and check.states > 300 and check.spoilt > 300


@pytest.mark.parametrize("fault", FAULTS)
def test_each_planted_fault_of_the_writer_is_found(fault: str) -> None:
    assert Check(FAULTS[fault], writes=2).run().found


def test_an_order_that_is_unsafe_with_a_single_file_is_safe_with_generations() -> None:
    assert not any(Check(make).run().found for make in HARMLESS.values())


# Generations on disk.


def on_disk(folder: Path, version: int = 1, least: int = 1, files: Any = None) -> Generations:
    return Generations(files or DiskFiles(folder), "keep", 7, version, least, 10_000, "t")


def test_the_newest_intact_generation_is_read_and_the_previous_one_is_retained(tmp_path: Path) -> None:
    disk = on_disk(tmp_path)
    with pytest.raises(Missing):
        disk.read()
    assert [disk.write(b"%d" % number) for number in range(1, 5)] == [1, 2, 3, 4]
    assert sorted(file.name for file in tmp_path.iterdir()) == ["keep.3", "keep.4"]
    whole = (tmp_path / "keep.4").read_bytes()
    (tmp_path / "keep.4").write_bytes(whole[:-1])  # truncated
    stored = on_disk(tmp_path).read()
    assert (stored.generation, stored.payload) == (3, b"3") and "keep.4" in stored.refused[0]
    again = on_disk(tmp_path)
    again.read()
    assert again.write(b"5") == 5  # replaces the corrupted generation, and the intact one is retained
    assert sorted(file.name for file in tmp_path.iterdir()) == ["keep.3", "keep.5"]
    for path in tmp_path.iterdir():  # both corrupted
        path.write_bytes(b"x" * 50)
    with pytest.raises(Unfit, match="another kind"):
        on_disk(tmp_path).read()
    assert on_disk(tmp_path).write(b"6") == 6 and on_disk(tmp_path).read().payload == b"6"


def test_files_of_a_newer_and_an_older_release(tmp_path: Path) -> None:
    on_disk(tmp_path, version=3, least=1).write(b"readable")
    assert on_disk(tmp_path, version=1).read().version == 3
    on_disk(tmp_path, version=3, least=2).write(b"not by the first")
    assert on_disk(tmp_path, version=1).read().payload == b"readable"
    assert on_disk(tmp_path, version=4).read().payload == b"not by the first"
    raw = msgspec.msgpack.encode({"member": "a", "fleet": "f", "life": 3, "wall": 9.0, "later": [1]})
    assert forms.decode_record(raw).life == 3 and forms.decode_record(raw).cells == []
    report = msgspec.msgpack.encode([2, 5, b"x" * 6, b"", "later"])
    assert forms.decode(report).out == (b"x" * 6,) and forms.decode(msgspec.msgpack.encode([1, 5])).ready == 5
    for bad in (b"", b"\xc1", msgspec.msgpack.encode([1, 5, b"cut"]), msgspec.msgpack.encode([1, -5])):
        with pytest.raises(forms.UnreadableKept):
            forms.decode(bad)


def test_temporary_files_of_killed_writers_are_removed_only_after_several_writes(tmp_path: Path) -> None:
    (tmp_path / "keep.new-other").write_bytes(b"half")
    disk = on_disk(tmp_path)
    for _ in range(5):
        disk.write(b"x")
    assert (tmp_path / "keep.new-other").exists()
    for _ in range(10):
        disk.write(b"x")
    assert not (tmp_path / "keep.new-other").exists()


class Faulty(DiskFiles):
    """A disk on which syncs fail or stall as set."""

    fault = 0
    stalled: threading.Event | None = None

    def sync(self, name: str) -> None:
        if self.stalled is not None:
            self.stalled.wait(60)
        if self.fault:
            raise OSError(self.fault, "injected fault")
        super().sync(name)


@pytest.mark.parametrize("fault", [errno.ENOSPC, errno.EROFS, errno.EIO])
def test_a_disk_that_is_full_or_read_only_loses_no_generation(tmp_path: Path, fault: int) -> None:
    files = Faulty(tmp_path)
    disk = on_disk(tmp_path, files=files)
    disk.write(b"1")
    files.fault = fault
    for _ in range(3):
        with pytest.raises(OSError):
            disk.write(b"2")
    assert disk.read().payload == b"1" and len(list(tmp_path.iterdir())) == 1
    files.fault = 0
    assert disk.write(b"3") == 2


# Aging of learned state.


def learnt_fleet(started: float | None = None) -> Fleet:
    """Returns a fleet after 300 requests of which those to e0 failed."""
    fleet = Fleet([kind()], [line(n, started=started) for n in range(6)], peers=1)
    for number in range(300):
        request = fleet.arrive(number, key=f"k{number % 20}")
        for attempt, sent in enumerate(request.sent):
            fleet.end(
                number, attempt, AttemptOutcome.ERROR if sent.endpoint == "e0" else AttemptOutcome.SERVED
            )
        fleet.wait(0.05)
    return fleet


shared_fleet = functools.cache(learnt_fleet)  # for tests that do not modify it


def decoded_state(fleet: Fleet) -> dict[str, Any]:
    """Returns the learned state as read back from a file."""
    raw = msgspec.msgpack.encode(learnt.give(fleet.balancer, fleet.now))
    state: dict[str, Any] = msgspec.msgpack.decode(raw)
    return state


def test_learned_state_ages_until_nothing_is_left() -> None:
    old = learnt_fleet()
    given = decoded_state(old)
    fresh = learnt.aged(given, 1.0, COLD, 5.0)
    assert fresh["keys"] and fresh["endpoints"]["e0"]["out"] is not None
    assert sum(fresh["times"]) == pytest.approx(sum(given["times"]))
    minute = learnt.aged(given, 60.0, COLD, 5.0)
    assert not minute["keys"], "the reset window of the keys is over"
    assert 0 < sum(minute["times"]) < sum(given["times"]) / 2
    assert minute["endpoints"]["e1"]["failures"] == [0, 0]
    assert abs(minute["endpoints"]["e1"]["window"] - 5.0) <= abs(given["endpoints"]["e1"]["window"] - 5.0)
    assert sum(minute["counts"].values()) < sum(given["counts"].values())
    later = learnt.aged(given, learnt.LOAD_LASTS, COLD, 5.0)
    assert not later["endpoints"] and not sum(later["times"]) and not later["usual"]
    for age in (HOUR, WEEK, float("inf"), float("nan")):
        assert learnt.aged(given, age, COLD, 5.0) == learnt.nothing()
    new = Fleet([kind()], [line(n) for n in range(6)], peers=1)
    learnt.take(new.balancer, new.now, minute)
    breaker = new.balancer.registry.by_id["e0"].breaker
    assert breaker is not None and not breaker.trial_due
    new.wait(1.1)
    assert breaker.trial_due, "due for a trial, not ejected for good"


@settings(max_examples=25, deadline=None)
@given(seconds=st.floats(0.0, 700.0), age=st.floats(0.5, 60.0), reported=st.integers(0, 6))
def test_neither_stored_state_nor_reports_give_a_warming_endpoint_more_traffic_than_none(
    seconds: float, age: float, reported: int
) -> None:
    """Rule 4: as at any start, the rate of warm endpoints is 0 and times of warming ones are not used."""
    old = shared_fleet()
    started = old.now - age
    given = decoded_state(old)
    for endpoint_state in given["endpoints"].values():
        endpoint_state["age"] = age
    new = Fleet([kind()], [line(n, started=started - seconds) for n in range(6)], peers=1)
    new.now = old.now
    learnt.take(new.balancer, new.now, learnt.aged(given, seconds, COLD, 5.0))
    beginning.apply(new.balancer, new.now, beginning.Judged((), {f"e{n}": 0.001 for n in range(reported)}))
    alone = Fleet([kind()], [line(n, started=started - seconds) for n in range(6)], peers=1)
    alone.now = old.now
    assert new.balancer.slow_start.warm_rate == alone.balancer.slow_start.warm_rate == 0.0
    for endpoint in new.balancer.registry.by_id.values():
        if new.balancer.slow_start.age(endpoint, new.now) is not None:
            counterpart = alone.balancer.registry.by_id[endpoint.id]
            assert (
                not endpoint.latency.total
                and endpoint.slow_start_remaining == counterpart.slow_start_remaining
                and endpoint.slow_start_until == counterpart.slow_start_until
            )
    for n in range(40):  # the test fleet itself checks rule 4
        request = new.arrive(n, key=f"x{n}")
        for attempt, sent in enumerate(request.sent):
            if sent.outcome is None:
                new.end(n, attempt, AttemptOutcome.SERVED)
        new.wait(0.02)


# The record and its age by the clocks.


class FixedClocks(Clocks):
    """Clocks that show given times."""

    def __init__(self, wall: float, boot: str = "b1", boot_at: float = 500.0) -> None:
        self.now, self.which = wall, (boot, boot_at)

    def wall(self) -> float:
        return self.now

    def boot(self) -> tuple[str, float]:
        return self.which


def record(**changes: Any) -> forms.Record:
    return msgspec.structs.replace(forms.Record("a", "f", 77, 10_000.0, "b1", 100.0), **changes)


@pytest.mark.parametrize(
    ("clock", "age"),
    [
        (FixedClocks(10_003.0, "b1", 103.0), 3.0),
        (FixedClocks(10_003.0 - HOUR, "b1", 103.0), 3.0),  # wall clock set back by an hour, same boot
        (
            FixedClocks(10_003.0 - HOUR, "b2", 50.0),
            float("inf"),
        ),  # wall clock set back and machine rebooted: age unknown
        (FixedClocks(10_003.0, "b2", 50.0), 60.0),  # a reboot counts as at least 60 s
        (FixedClocks(10_000.0 + WEEK, "b1", 100.0 + WEEK), WEEK),
        (FixedClocks(10_000.0 + WEEK, "", 0.0), WEEK),
        (FixedClocks(10_000.0 + WEEK, "b1", 103.0), WEEK),  # a machine restored to an earlier state
        (FixedClocks(10_003.0, "b1", 50.0), float("inf")),
    ],
)
def test_how_old_a_record_is_when_clocks_differ(clock: FixedClocks, age: float) -> None:
    assert clock.record_age(record()) == age


class Start:
    """One start of a sidecar in a loop with virtual time, with its folder."""

    def __init__(
        self,
        folder: Path | None,
        clocks: Clocks | None = None,
        member: str = "a",
        rig: Rig | None = None,
        others: int = 0,
        seeds: bool = True,
        table: KeepPart | None = None,
    ) -> None:
        self.rig = rig or Rig(3)
        loop = self.rig.loop
        self.clocks = clocks or FixedClocks(10_000.0)
        self.members = [
            Member(f"m{n}", ("127.0.0.1", n + 1), 5, 0, MemberStatus.ALIVE, 0.0, 0.0) for n in range(others)
        ]
        self.members.append(Member(member, ("127.0.0.1", 99), 9, 0, MemberStatus.ALIVE, 0.0, 0.0))
        view = SimpleNamespace(own_name=member, own_incarnation=9, members=lambda: self.members)
        self.cells = RegisterStore(member, 9)
        ground: Any = SimpleNamespace(loop=loop, members=view, cells=self.cells, folder=folder)
        lasting = Lasting(folder, member, "f", self.clocks, "t")
        lasting.give_cells(self.cells, loop.now())
        self.run = KeepRun(ground, table or KeepPart(), lasting, seeds)
        follower: Any = SimpleNamespace(decoder=self.rig.decoder)
        self.run.attach(self.rig.core, follower)

    @property
    def balancer(self) -> Any:
        return self.rig.balancer

    def body(self) -> Any:
        answer = self.run.call(self.rig.loop.now(), "GET", ("keep",), {})
        assert answer is not None and answer.status == 200
        return msgspec.json.decode(msgspec.json.encode(answer.body))

    def receive_report(self, owner: str, report: bytes) -> None:
        self.cells.merge(self.rig.loop.now(), report_register(owner, report))

    def digest(self, endpoint_id: str) -> bytes:
        return self.run.start_digest(self.balancer.registry.by_id[endpoint_id])

    def close(self) -> None:
        self.run.close()
        self.rig.close()


def report_register(owner: str, report: bytes) -> Register:
    return Register(owner, forms.CELL, 5, 1, report)


def eject(start: Start, endpoint_id: str) -> None:
    """Ejects the endpoint by failed requests."""
    endpoint, now = start.balancer.registry.by_id[endpoint_id], start.rig.loop.now()
    start.balancer.registry.active[endpoint] = None
    for _ in range(4):
        start.balancer.outliers.record_outcome(endpoint, True, now, "error")
    assert endpoint.breaker


def write(start: Start) -> None:
    start.rig.core.taken += 1
    start.run.write_due_at = start.rig.loop.now()
    start.run.tick(start.rig.loop.now())
    writer = start.run.lasting.writer
    assert writer is not None and writer.flush(20.0)


def test_a_restart_restores_the_folder_except_for_endpoints_that_have_restarted(tmp_path: Path) -> None:
    first = Start(tmp_path)
    eject(first, "e1")
    eject(first, "e2")
    write(first)
    first.rig.close()
    rig = Rig(3)  # lists a later start of e2; e0 and e1 are unchanged
    rig.tell(entry("e0", 1), entry("e1", 2), entry("e2", 3, started=77_000.0), whole=True)
    second = Start(tmp_path, FixedClocks(10_002.0, "b1", 502.0), rig=rig)
    assert second.balancer.registry.by_id["e1"].breaker and not second.balancer.registry.by_id["e2"].breaker
    assert second.body()["start"] == {
        "generation": 1,
        "age": 2.0,
        "refused": None,
        "waited": 0.0,
        "words": 0,
        "folder": ["e1"],
        "members": [],
    }
    assert second.run.ready_from(rig.loop.now()) <= rig.loop.now(), "a fresh record needs no reports"
    second.close()


def test_an_ejection_and_a_failed_trial_are_stored_within_a_second_whatever_every_is(tmp_path: Path) -> None:
    start = Start(tmp_path, table=KeepPart(every=600.0))
    writer = start.run.lasting.writer
    assert writer is not None

    def writes_in(seconds: float) -> int:
        before = writer.outcome.writes
        for _ in range(round(seconds * 10)):
            start.rig.loop.time += 0.1
            start.run.tick(start.rig.loop.now())
            assert writer.flush(20.0)
        return writer.outcome.writes - before

    start.run.tick(start.rig.loop.now())
    assert writer.flush(20.0) and writes_in(3.0) == 0, "nothing has changed"
    eject(start, "e1")
    assert writes_in(3.0) == 1
    start.balancer.registry.by_id["e1"].breaker.reopen(start.rig.loop.now())
    assert writes_in(3.0) == 1
    start.close()


def test_a_start_is_recognised_after_clock_changes_and_newer_state_is_not_overridden(
    tmp_path: Path,
) -> None:
    first = Start(tmp_path)
    first.rig.tell(*(entry(f"e{n}", n + 1, started=50_000.0) for n in range(3)), whole=True)
    for n in range(3):
        eject(first, f"e{n}")
    write(first)
    first.rig.close()
    rig = Rig(0)
    rig.decoder.clock_offset = -3600.0  # the clock was set back; the listed starts are the same
    rig.tell(
        entry("e0", 1, started=50_000.0),
        entry("e1", 2, started=52_000.0),
        entry("e2", 3, started=50_000.0),
        whole=True,
    )
    rig.balancer.registry.active[rig.balancer.registry.by_id["e2"]] = None  # as if this process had used it
    second = Start(tmp_path, FixedClocks(10_002.0 - HOUR, "b1", 502.0), rig=rig)
    assert [
        endpoint_id for endpoint_id, endpoint in rig.balancer.registry.by_id.items() if endpoint.breaker
    ] == ["e0"]
    second.close()


def test_endpoints_that_are_listed_later_get_their_stored_state_once(tmp_path: Path) -> None:
    first = Start(tmp_path)
    eject(first, "e1")
    eject(first, "e2")
    write(first)
    first.rig.close()
    rig = Rig(0)
    second = Start(tmp_path, FixedClocks(10_001.0, "b1", 501.0), rig=rig)
    rig.tell(entry("e1", 2), whole=True)
    breaker = rig.balancer.registry.by_id["e1"].breaker
    assert breaker
    rig.balancer.outliers.readmit(rig.balancer.registry.by_id["e1"], rig.loop.now(), 0.01)
    rig.tell(entry("e2", 2))
    assert rig.balancer.registry.by_id["e2"].breaker and not rig.balancer.registry.by_id["e1"].breaker
    rig.wait(keep.LASTS + 1)
    rig.tell(entry("e3", 2))
    assert not second.run.pending_state
    second.close()


@pytest.mark.parametrize(
    ("clocks", "member", "age"),
    [
        (FixedClocks(10_000.0 + WEEK, "b1", 500.0 + WEEK), "a", WEEK),
        (FixedClocks(10_000.0 - HOUR, "b9", 1.0), "a", None),
        (FixedClocks(10_001.0, "b1", 501.0), "b", None),
    ],
)
def test_a_folder_of_last_week_a_clock_set_back_and_another_members_folder(
    tmp_path: Path, clocks: FixedClocks, member: str, age: float | None
) -> None:
    first = Start(tmp_path)
    eject(first, "e1")
    write(first)
    first.rig.close()
    second = Start(tmp_path, clocks, member)
    assert not second.balancer.registry.active and not second.balancer.failover.entries
    assert second.body()["start"]["age"] == age
    if member == "a":
        assert second.run.lasting.life == 9, "a new incarnation is above it, whatever the clock shows"
    else:
        assert "belongs to member 'a'" in second.body()["start"]["refused"] and second.run.lasting.life == 0
    second.close()


def test_own_registers_are_restored_with_their_incarnation_and_a_later_one_wins(tmp_path: Path) -> None:
    first = Start(tmp_path)
    first.cells.write(0.0, "canary/c/state", b"aborted")
    for name in ("canary/c", "wallet/w", "evidence", "list/1", "keep"):
        first.cells.write(0.0, name, b"its component publishes it again")
    write(first)
    first.rig.close()
    lasting = Lasting(tmp_path, "a", "f", FixedClocks(10_000.0 + WEEK, "", 0.0), "t")
    cells, changes = RegisterStore("a", 12), list[Any]()
    cells.on_change("canary/", lambda now, register: changes.append(register))
    lasting.give_cells(cells, 50.0)
    assert [
        (register.owner, register.name, register.incarnation, register.value) for register in changes
    ] == [("a", "canary/c/state", 9, b"aborted")]
    later = RegisterStore("a", 12)
    later.merge(0.0, Register("a", "canary/c/state", 10, 1, b"later"))
    lasting.give_cells(later, 50.0)
    seen = later.read("a", "canary/c/state")
    assert seen is not None and seen.register.value == b"later"


def test_a_stalled_disk_blocks_nothing_and_is_reported_once(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    start = Start(tmp_path, table=KeepPart(every=1.0))
    files = Faulty(tmp_path)
    files.stalled = threading.Event()
    writer = start.run.lasting.writer = Writer(on_disk(tmp_path, files=files), lambda: start.rig.loop.time)
    monkeypatch.setattr("time.monotonic", lambda: start.rig.loop.time)
    for _ in range(6):  # ticks return although the write does not
        start.rig.core.taken += 1
        start.run.tick(start.rig.loop.now())
        wait_until(lambda: writer.begun is not None, 20.0, "the write has begun")
        start.rig.loop.time += 1.0
    assert start.body()["trouble"] == "disk write stalled" and not list(tmp_path.glob("keep.[0-9]*"))
    assert [r.message for r in caplog.records if r.levelname == "ERROR"] == [
        "learned state cannot be written"
    ]
    files.stalled.set()
    assert writer.flush(20.0) and writer.outcome.generation == 2, (
        "the first write, and after it only the latest"
    )
    start.run.tick(start.rig.loop.now())
    assert start.body()["trouble"] is None
    start.close()


def test_a_record_that_is_not_read_in_time_at_the_start_is_not_used_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    first = Start(tmp_path)
    write(first)
    first.rig.close()
    resume, ended, original_read = threading.Event(), threading.Event(), DiskFiles.read

    def stalling_read(files: DiskFiles, name: str, most: int) -> bytes:
        resume.wait(60)
        try:
            return original_read(files, name, most)
        finally:
            ended.set()

    monkeypatch.setattr(keep, "READ_TIMEOUT", 0.01)
    monkeypatch.setattr(DiskFiles, "read", stalling_read)
    second = Start(tmp_path)
    resume.set()
    assert ended.wait(20) and second.body()["start"]["refused"] == "folder was not read within 0.01 s"
    monkeypatch.setattr(DiskFiles, "read", original_read)
    write(second)
    assert second.body()["generation"] == 2 and second.run.lasting.record is None
    second.close()


# Reports of other members.


def test_a_start_waits_for_reports_within_a_bound_and_not_if_none_can_arrive() -> None:
    def waits(report: bytes = b"", **options: Any) -> float:
        start = Start(None, **options)
        now = started = start.rig.loop.now()
        while start.run.ready_from(now) > now:
            now += 0.02
            start.rig.loop.time = now
            if report and now > started + 0.1:
                start.receive_report("m0", report)
                start.receive_report("m1", report)
        start.close()
        return now - started

    report = forms.encode(9, [], [])
    assert waits(seeds=False) == 0.0 == waits(table=KeepPart(wait=0.0), others=3)
    assert waits(report, others=2) < 0.2
    assert 0.2 < waits(others=3) < 0.3, "members are known that have nothing to report"
    assert 0.2 < waits(report, others=9) < 0.3, "two have reported, and a third may not"
    assert 0.4 < waits() < 0.6, "no member is known"


def test_reports_after_the_listeners_opened_count_for_a_while_and_for_at_most_a_third_of_the_endpoints() -> (
    None
):
    start = Start(None, rig=Rig(9), others=9)
    now = start.rig.loop.now()
    start.run.ready_from(now)
    start.rig.loop.time += 0.3
    assert start.run.ready_from(now + 0.3) == now + 0.3 and start.body()["start"]["words"] == 0
    eject(start, "e0")
    own = start.balancer.registry.by_id["e0"].breaker
    start.receive_report(
        "m0", forms.encode(9, [start.digest(endpoint_id) for endpoint_id in ("e0", "e1", "e2")], [])
    )
    assert start.body()["start"]["members"] == ["e1", "e2"], (
        "what this process has observed is not overridden"
    )
    assert start.balancer.registry.by_id["e0"].breaker is own
    start.receive_report(
        "m1", forms.encode(9, [start.digest(endpoint_id) for endpoint_id in ("e3", "e4", "e5")], [])
    )
    assert start.body()["start"]["words"] == 2 and len(start.body()["start"]["members"]) == 3
    start.rig.loop.time += keep.LASTS
    start.receive_report("m2", forms.encode(9, [start.digest("e8")], []))
    assert start.body()["start"]["words"] == 2, "too late"
    start.close()


def test_reported_ejections_cause_a_trial_and_old_or_unreadable_reports_do_nothing() -> None:
    start = Start(None, rig=Rig(9), others=2)
    report = forms.encode(9, [start.digest("e4"), b"nobody"], [(start.digest("e5"), 0.5)])
    start.receive_report("m0", report)
    start.receive_report("m1", report)
    start.receive_report("m2", b"unreadable")
    start.receive_report("m3", b"")
    now = start.rig.loop.now()
    assert start.run.ready_from(now) == now
    breaker = start.balancer.registry.by_id["e4"].breaker
    assert breaker is not None and breaker.trial_due, "one request of its own decides"
    assert start.balancer.registry.by_id["e5"].latency.total == beginning.PRIOR
    assert start.body()["start"]["members"] == ["e4", "e5"] and start.run.unreadable_reports == 1
    start.close()
    old = Start(None, rig=Rig(9), others=2)
    old.receive_report("m0", report)
    old.rig.loop.time += keep.MAX_REPORT_AGE + 1
    assert old.run.fresh_reports(old.rig.loop.now()) == []
    old.close()


def test_reports_distinguish_the_starts_of_an_endpoint() -> None:
    assert len({forms.mark("e1", 5), forms.mark("e1", 6), forms.mark("e2", 5)}) == 3


def judged(*reports: tuple[int, str]) -> beginning.Judged:
    """Judges reports on ten endpoints a to j; each gives the ready count and the ejected endpoints."""
    ready = {letter.encode(): letter for letter in "abcdefghij"}
    return beginning.judge(
        [
            forms.Told(count, tuple(character.encode() for character in ejected), {})
            for count, ejected in reports
        ],
        ready,
    )


def test_how_far_reports_count() -> None:
    assert judged((10, "a")).out == ("a",), "a single report suffices if there is only one"
    assert judged((10, "abcdefghij")).out == (), "a member with a network fault finds all failing"
    assert judged((10, "abcdefghij"), (10, "a")).out == ("a",)
    assert judged((10, "bcd"), (10, "a"), (10, "a")).out == ("a",), "one report is false"
    assert judged((10, "abc"), (10, "abd"), (10, "ae")).out == ("a", "b")
    assert len(judged((30, "abcdefghij"), (30, "abcdefghij")).out) == 3, "all reports are wrong"


def test_a_thousand_members_that_start_with_the_report_of_one_member() -> None:
    """Each sends one trial to the failed endpoint; without a report each sends three requests or more."""

    def sent(with_report: bool) -> int:
        total = 0
        for seed in range(40):  # all behave alike: forty members stand for a thousand
            fleet = Fleet([kind()], [line(n) for n in range(6)], peers=1000, seed=seed)
            if with_report:
                judgement = beginning.judge(
                    [forms.Told(6, (b"0",), {})], {b"%d" % n: f"e{n}" for n in range(6)}
                )
                assert beginning.apply(fleet.balancer, fleet.now, judgement) == ["e0"]
            for n in range(60):
                request = fleet.arrive(n, key=f"k{n}")
                for attempt, sent_attempt in enumerate(request.sent):
                    if sent_attempt.outcome is None:
                        total += sent_attempt.endpoint == "e0"
                        fleet.end(
                            n,
                            attempt,
                            AttemptOutcome.ERROR if sent_attempt.endpoint == "e0" else AttemptOutcome.SERVED,
                        )
                fleet.wait(0.05)
        return total

    assert sent(True) <= 40 < 3 * 40 <= sent(False)
    herd = Herd(60, seed=1)  # in virtual time, with the classes of the program
    assert herd.doors[-1] <= 1.0 + keep.READY_POLL_INTERVAL and herd.told == len(herd.starters), (
        "in time, and each has a report"
    )
    assert max(herd.sent) < 60 * 6, "the reporting member sends each a few datagrams"
    names = [f"m{n}" for n in range(1000)]
    assert sum(beginning.tells(name, names) for name in names) == beginning.TELLERS


def test_a_member_reports_what_it_observed_and_sends_it_to_new_members_at_once() -> None:
    start = Start(None, rig=Rig(9), others=1)
    now = start.rig.loop.now()
    start.run.ready_from(now)
    eject(start, "e3")
    start.run.tick(now)
    assert start.cells.read("a", forms.CELL) is None, "it has not been in service long enough"
    start.rig.loop.time = now = now + keep.KNOWS_AFTER + 1
    start.run.tick(now)
    seen = start.cells.read("a", forms.CELL)
    assert seen is not None and forms.decode(seen.register.value).out == (start.digest("e3"),)
    start.rig.loop.time = now = now + 1.5
    start.run.member_changed(now, None, Member("m7", ("127.0.0.1", 7), 5, 0, MemberStatus.ALIVE, now, now))
    assert start.cells.unsent["a", forms.CELL] == ("m7",)
    size = len(forms.encode(200, [b"x" * 6] * 500, [(b"y" * 6, 1.0)] * 500))
    assert size <= 900
    start.close()


def test_settings_out_of_range_are_refused_with_their_path() -> None:
    config: Any = None
    assert not list(unfit(KeepPart(), config, None))
    assert [f.partition(":")[0] for f in unfit(KeepPart(every=0.0, wait=9.0), config, None)] == [
        "keep.every",
        "keep.wait",
    ]
    assert FailoverTable.RESET_WINDOW < learnt.LOAD_LASTS < learnt.KEYS_LAST
