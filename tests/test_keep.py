"""What outlasts a process: generations on a disk, how they age, what others tell at a start."""

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

# Crash states.


def test_each_state_a_stop_can_leave_gives_a_whole_generation_no_older_than_the_last_acknowledged() -> None:
    check = Check(writes=5).run()
    assert not check.found and check.states > 300 and check.spoilt > 300


@pytest.mark.parametrize("fault", FAULTS)
def test_each_planted_fault_of_the_writer_is_found(fault: str) -> None:
    assert Check(FAULTS[fault], writes=2).run().found


def test_an_order_that_is_a_fault_with_one_file_alone_is_none_here() -> None:
    assert not any(Check(make).run().found for make in HARMLESS.values())


# On a disk.


def on_disk(folder: Path, version: int = 1, least: int = 1, files: Any = None) -> Generations:
    return Generations(files or DiskFiles(folder), "keep", 7, version, least, 10_000, "t")


def test_the_newest_sound_generation_is_read_and_the_one_before_it_is_kept(tmp_path: Path) -> None:
    disk = on_disk(tmp_path)
    with pytest.raises(Missing):
        disk.read()
    assert [disk.write(b"%d" % n) for n in range(1, 5)] == [1, 2, 3, 4]
    assert sorted(p.name for p in tmp_path.iterdir()) == ["keep.3", "keep.4"]
    whole = (tmp_path / "keep.4").read_bytes()
    (tmp_path / "keep.4").write_bytes(whole[:-1])  # half-written
    kept = on_disk(tmp_path).read()
    assert (kept.generation, kept.payload) == (3, b"3") and "keep.4" in kept.refused[0]
    again = on_disk(tmp_path)
    again.read()
    assert again.write(b"5") == 5  # over the unsound one, and the sound one stays beside it
    assert sorted(p.name for p in tmp_path.iterdir()) == ["keep.3", "keep.5"]
    for path in tmp_path.iterdir():  # both unsound
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
    word = msgspec.msgpack.encode([2, 5, b"x" * 6, b"", "later"])
    assert forms.decode(word).out == (b"x" * 6,) and forms.decode(msgspec.msgpack.encode([1, 5])).ready == 5
    for bad in (b"", b"\xc1", msgspec.msgpack.encode([1, 5, b"cut"]), msgspec.msgpack.encode([1, -5])):
        with pytest.raises(forms.UnreadableKept):
            forms.decode(bad)


def test_half_made_files_of_killed_writers_go_and_that_of_a_live_one_stays_at_first(tmp_path: Path) -> None:
    (tmp_path / "keep.new-other").write_bytes(b"half")
    disk = on_disk(tmp_path)
    for _ in range(5):
        disk.write(b"x")
    assert (tmp_path / "keep.new-other").exists()
    for _ in range(10):
        disk.write(b"x")
    assert not (tmp_path / "keep.new-other").exists()


class Faulty(DiskFiles):
    """A disk that is told what goes wrong."""

    fault = 0
    stalled: threading.Event | None = None

    def sync(self, name: str) -> None:
        if self.stalled is not None:
            self.stalled.wait(60)
        if self.fault:
            raise OSError(self.fault, "told to fail")
        super().sync(name)


@pytest.mark.parametrize("fault", [errno.ENOSPC, errno.EROFS, errno.EIO])
def test_a_disk_that_is_full_or_read_only_costs_no_generation(tmp_path: Path, fault: int) -> None:
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


# What was learnt, aged.


def learnt_fleet(started: float | None = None) -> Fleet:
    """e0 fails; the rest serve."""
    fleet = Fleet([kind()], [line(n, started=started) for n in range(6)], peers=1)
    for n in range(300):
        held = fleet.arrive(n, key=f"k{n % 20}")
        for m, sent in enumerate(held.sent):
            fleet.end(n, m, AttemptOutcome.ERROR if sent.endpoint == "e0" else AttemptOutcome.SERVED)
        fleet.wait(0.05)
    return fleet


known = functools.cache(learnt_fleet)  # of which a test only reads


def plain(fleet: Fleet) -> dict[str, Any]:
    """As read from a file."""
    raw = msgspec.msgpack.encode(learnt.give(fleet.balancer, fleet.now))
    found: dict[str, Any] = msgspec.msgpack.decode(raw)
    return found


def test_what_was_learnt_ages_until_nothing_is_left() -> None:
    old = learnt_fleet()
    given = plain(old)
    fresh = learnt.aged(given, 1.0, COLD, 5.0)
    assert fresh["keys"] and fresh["endpoints"]["e0"]["out"] is not None
    assert sum(fresh["times"]) == pytest.approx(sum(given["times"]))
    minute = learnt.aged(given, 60.0, COLD, 5.0)
    assert not minute["keys"], "their reset window is over"
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
    assert breaker.trial_due, "due for a trial, not out for good"


@settings(max_examples=25, deadline=None)
@given(seconds=st.floats(0.0, 700.0), age=st.floats(0.5, 60.0), told=st.integers(0, 6))
def test_nothing_kept_or_told_gives_a_cold_endpoint_more_than_the_module_alone(
    seconds: float, age: float, told: int
) -> None:
    """Rule 4: the rate of warm ones begins at nothing, and of a cold one no times are taken, as at any
    start."""
    old = known()
    began = old.now - age
    given = plain(old)
    for kept in given["endpoints"].values():
        kept["age"] = age
    new = Fleet([kind()], [line(n, started=began - seconds) for n in range(6)], peers=1)
    new.now = old.now
    learnt.take(new.balancer, new.now, learnt.aged(given, seconds, COLD, 5.0))
    beginning.apply(new.balancer, new.now, beginning.Judged((), {f"e{n}": 0.001 for n in range(told)}))
    alone = Fleet([kind()], [line(n, started=began - seconds) for n in range(6)], peers=1)
    alone.now = old.now
    assert new.balancer.slow_start.warm_rate == alone.balancer.slow_start.warm_rate == 0.0
    for e in new.balancer.registry.by_id.values():
        if new.balancer.slow_start.age(e, new.now) is not None:
            like = alone.balancer.registry.by_id[e.id]
            assert (
                not e.latency.total
                and e.slow_start_remaining == like.slow_start_remaining
                and e.slow_start_until == like.slow_start_until
            )
    for n in range(40):  # the rig's own count is rule 4's
        held = new.arrive(n, key=f"x{n}")
        for m, sent in enumerate(held.sent):
            if sent.outcome is None:
                new.end(n, m, AttemptOutcome.SERVED)
        new.wait(0.02)


# The record, and what clocks say.


class At(Clocks):
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
        (At(10_003.0, "b1", 103.0), 3.0),
        (At(10_003.0 - HOUR, "b1", 103.0), 3.0),  # set back by an hour, and the machine's own count goes on
        (At(10_003.0 - HOUR, "b2", 50.0), float("inf")),  # set back, and no other count: never fresh
        (At(10_003.0, "b2", 50.0), 60.0),  # a machine that was started anew took its time
        (At(10_000.0 + WEEK, "b1", 100.0 + WEEK), WEEK),
        (At(10_000.0 + WEEK, "", 0.0), WEEK),
        (At(10_000.0 + WEEK, "b1", 103.0), WEEK),  # a machine put back to an earlier state
        (At(10_003.0, "b1", 50.0), float("inf")),
    ],
)
def test_how_old_a_record_is_when_clocks_differ(clock: At, age: float) -> None:
    assert clock.record_age(record()) == age


class Start:
    """One start of a sidecar in a stepped loop, with its folder."""

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
        self.clocks = clocks or At(10_000.0)
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

    def told(self, owner: str, word: bytes) -> None:
        self.cells.merge(self.rig.loop.now(), keep_cell(owner, word))

    def mark(self, id: str) -> bytes:
        return self.run.start_digest(self.balancer.registry.by_id[id])

    def close(self) -> None:
        self.run.close()
        self.rig.close()


def keep_cell(owner: str, word: bytes) -> Register:
    return Register(owner, forms.CELL, 5, 1, word)


def trip(start: Start, id: str) -> None:
    """The endpoint is found failing here."""
    e, now = start.balancer.registry.by_id[id], start.rig.loop.now()
    start.balancer.registry.active[e] = None
    for _ in range(4):
        start.balancer.outliers.record_outcome(e, True, now, "error")
    assert e.breaker


def write(start: Start) -> None:
    start.rig.core.taken += 1
    start.run.write_due_at = start.rig.loop.now()
    start.run.tick(start.rig.loop.now())
    writer = start.run.lasting.writer
    assert writer is not None and writer.flush(20.0)


def test_a_restart_goes_on_from_the_folder_and_of_what_has_restarted_takes_nothing(tmp_path: Path) -> None:
    first = Start(tmp_path)
    trip(first, "e1")
    trip(first, "e2")
    write(first)
    first.rig.close()
    rig = Rig(3)  # tells of a later start of e2; e0 and e1 are as they were
    rig.tell(entry("e0", 1), entry("e1", 2), entry("e2", 3, started=77_000.0), whole=True)
    second = Start(tmp_path, At(10_002.0, "b1", 502.0), rig=rig)
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
    assert second.run.ready_from(rig.loop.now()) <= rig.loop.now(), "it needs nobody's word"
    second.close()


def test_a_trip_and_a_failed_trial_are_kept_within_a_second_whatever_every_is(tmp_path: Path) -> None:
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
    assert writer.flush(20.0) and writes_in(3.0) == 0, "nothing is new"
    trip(start, "e1")
    assert writes_in(3.0) == 1
    start.balancer.registry.by_id["e1"].breaker.reopen(start.rig.loop.now())
    assert writes_in(3.0) == 1
    start.close()


def test_a_start_is_known_again_whatever_clocks_did_and_what_is_known_by_now_is_not_overruled(
    tmp_path: Path,
) -> None:
    first = Start(tmp_path)
    first.rig.tell(*(entry(f"e{n}", n + 1, started=50_000.0) for n in range(3)), whole=True)
    for n in range(3):
        trip(first, f"e{n}")
    write(first)
    first.rig.close()
    rig = Rig(0)
    rig.decoder.clock_offset = -3600.0  # the clock was set; the starts that the list tells are the same
    rig.tell(
        entry("e0", 1, started=50_000.0),
        entry("e1", 2, started=52_000.0),
        entry("e2", 3, started=50_000.0),
        whole=True,
    )
    rig.balancer.registry.active[rig.balancer.registry.by_id["e2"]] = (
        None  # as a predecessor's word leaves it
    )
    second = Start(tmp_path, At(10_002.0 - HOUR, "b1", 502.0), rig=rig)
    assert [id for id, e in rig.balancer.registry.by_id.items() if e.breaker] == ["e0"]
    second.close()


def test_endpoints_that_are_listed_later_get_what_was_kept_of_them_and_never_twice(tmp_path: Path) -> None:
    first = Start(tmp_path)
    trip(first, "e1")
    trip(first, "e2")
    write(first)
    first.rig.close()
    rig = Rig(0)
    second = Start(tmp_path, At(10_001.0, "b1", 501.0), rig=rig)
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
        (At(10_000.0 + WEEK, "b1", 500.0 + WEEK), "a", WEEK),
        (At(10_000.0 - HOUR, "b9", 1.0), "a", None),
        (At(10_001.0, "b1", 501.0), "b", None),
    ],
)
def test_a_folder_of_last_week_a_clock_set_back_and_another_members_folder(
    tmp_path: Path, clocks: At, member: str, age: float | None
) -> None:
    first = Start(tmp_path)
    trip(first, "e1")
    write(first)
    first.rig.close()
    second = Start(tmp_path, clocks, member)
    assert not second.balancer.registry.active and not second.balancer.failover.entries
    assert second.body()["start"]["age"] == age
    if member == "a":
        assert second.run.lasting.life == 9, "a life is above it, whatever the clock says"
    else:
        assert "belongs to member 'a'" in second.body()["start"]["refused"] and second.run.lasting.life == 0
    second.close()


def test_own_cells_come_back_as_of_their_life_and_a_later_one_wins(tmp_path: Path) -> None:
    first = Start(tmp_path)
    first.cells.write(0.0, "canary/c/state", b"aborted")
    for name in ("canary/c", "wallet/w", "evidence", "list/1", "keep"):
        first.cells.write(0.0, name, b"its part writes it anew")
    write(first)
    first.rig.close()
    lasting = Lasting(tmp_path, "a", "f", At(10_000.0 + WEEK, "", 0.0), "t")
    cells, heard = RegisterStore("a", 12), list[Any]()
    cells.on_change("canary/", lambda now, cell: heard.append(cell))
    lasting.give_cells(cells, 50.0)
    assert [(c.owner, c.name, c.incarnation, c.value) for c in heard] == [
        ("a", "canary/c/state", 9, b"aborted")
    ]
    later = RegisterStore("a", 12)
    later.merge(0.0, Register("a", "canary/c/state", 10, 1, b"later"))
    lasting.give_cells(later, 50.0)
    seen = later.read("a", "canary/c/state")
    assert seen is not None and seen.register.value == b"later"


def test_a_disk_that_stalls_holds_up_nothing_and_is_told_once(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    start = Start(tmp_path, table=KeepPart(every=1.0))
    files = Faulty(tmp_path)
    files.stalled = threading.Event()
    writer = start.run.lasting.writer = Writer(on_disk(tmp_path, files=files), lambda: start.rig.loop.time)
    monkeypatch.setattr("time.monotonic", lambda: start.rig.loop.time)
    for _ in range(6):  # ticks end while the disk does not
        start.rig.core.taken += 1
        start.run.tick(start.rig.loop.now())
        wait_until(lambda: writer.begun is not None, 20.0, "the writing has begun")
        start.rig.loop.time += 1.0
    assert start.body()["trouble"] == "disk write stalled" and not list(tmp_path.glob("keep.[0-9]*"))
    assert [r.message for r in caplog.records if r.levelname == "ERROR"] == [
        "learned state cannot be written"
    ]
    files.stalled.set()
    assert writer.flush(20.0) and writer.outcome.generation == 2, "the first, and the latest after it"
    start.run.tick(start.rig.loop.now())
    assert start.body()["trouble"] is None
    start.close()


def test_a_disk_that_stalls_at_the_start_is_done_without_and_is_not_believed_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    first = Start(tmp_path)
    write(first)
    first.rig.close()
    go_on, ended, before = threading.Event(), threading.Event(), DiskFiles.read

    def stalls(files: DiskFiles, name: str, most: int) -> bytes:
        go_on.wait(60)
        try:
            return before(files, name, most)
        finally:
            ended.set()

    monkeypatch.setattr(keep, "READ_TIMEOUT", 0.01)
    monkeypatch.setattr(DiskFiles, "read", stalls)
    second = Start(tmp_path)
    go_on.set()
    assert ended.wait(20) and second.body()["start"]["refused"] == "folder was not read within 0.01 s"
    monkeypatch.setattr(DiskFiles, "read", before)
    write(second)
    assert second.body()["generation"] == 2 and second.run.lasting.record is None
    second.close()


# What others tell.


def test_a_starter_waits_for_word_within_a_bound_and_not_where_there_is_none_to_wait_for() -> None:
    def waits(word: bytes = b"", **how: Any) -> float:
        start = Start(None, **how)
        now = begun = start.rig.loop.now()
        while start.run.ready_from(now) > now:
            now += 0.02
            start.rig.loop.time = now
            if word and now > begun + 0.1:
                start.told("m0", word)
                start.told("m1", word)
        start.close()
        return now - begun

    word = forms.encode(9, [], [])
    assert waits(seeds=False) == 0.0 == waits(table=KeepPart(wait=0.0), others=3)
    assert waits(word, others=2) < 0.2
    assert 0.2 < waits(others=3) < 0.3, "they are there and have nothing to tell"
    assert 0.2 < waits(word, others=9) < 0.3, "two have told, and nobody knows whether a third will"
    assert 0.4 < waits() < 0.6, "nobody answers"


def test_word_that_comes_after_the_door_is_open_counts_for_a_while_and_for_a_third_at_most() -> None:
    start = Start(None, rig=Rig(9), others=9)
    now = start.rig.loop.now()
    start.run.ready_from(now)
    start.rig.loop.time += 0.3
    assert start.run.ready_from(now + 0.3) == now + 0.3 and start.body()["start"]["words"] == 0
    trip(start, "e0")
    own = start.balancer.registry.by_id["e0"].breaker
    start.told("m0", forms.encode(9, [start.mark(e) for e in ("e0", "e1", "e2")], []))
    assert start.body()["start"]["members"] == ["e1", "e2"], "what was met here is not overruled"
    assert start.balancer.registry.by_id["e0"].breaker is own
    start.told("m1", forms.encode(9, [start.mark(e) for e in ("e3", "e4", "e5")], []))
    assert start.body()["start"]["words"] == 2 and len(start.body()["start"]["members"]) == 3
    start.rig.loop.time += keep.LASTS
    start.told("m2", forms.encode(9, [start.mark("e8")], []))
    assert start.body()["start"]["words"] == 2, "too late"
    start.close()


def test_word_puts_what_is_out_elsewhere_on_trial_and_old_or_unreadable_word_does_nothing() -> None:
    start = Start(None, rig=Rig(9), others=2)
    word = forms.encode(9, [start.mark("e4"), b"nobody"], [(start.mark("e5"), 0.5)])
    start.told("m0", word)
    start.told("m1", word)
    start.told("m2", b"unreadable")
    start.told("m3", b"")
    now = start.rig.loop.now()
    assert start.run.ready_from(now) == now
    breaker = start.balancer.registry.by_id["e4"].breaker
    assert breaker is not None and breaker.trial_due, "one exchange of its own tells"
    assert start.balancer.registry.by_id["e5"].latency.total == beginning.PRIOR
    assert start.body()["start"]["members"] == ["e4", "e5"] and start.run.unreadable_reports == 1
    start.close()
    old = Start(None, rig=Rig(9), others=2)
    old.told("m0", word)
    old.rig.loop.time += keep.MAX_REPORT_AGE + 1
    assert old.run.fresh_reports(old.rig.loop.now()) == []
    old.close()


def test_word_of_an_endpoint_that_restarted_since_is_of_another() -> None:
    assert len({forms.mark("e1", 5), forms.mark("e1", 6), forms.mark("e2", 5)}) == 3


def judged(*words: tuple[int, str]) -> beginning.Judged:
    """Of ten endpoints a to j; each word tells of these that they are out."""
    ready = {letter.encode(): letter for letter in "abcdefghij"}
    return beginning.judge([forms.Told(n, tuple(c.encode() for c in out), {}) for n, out in words], ready)


def test_how_much_of_it_counts() -> None:
    assert judged((10, "a")).out == ("a",), "one teller is enough where there is one"
    assert judged((10, "abcdefghij")).out == (), "one whose own way is bad finds all dead"
    assert judged((10, "abcdefghij"), (10, "a")).out == ("a",)
    assert judged((10, "bcd"), (10, "a"), (10, "a")).out == ("a",), "one lies"
    assert judged((10, "abc"), (10, "abd"), (10, "ae")).out == ("a", "b")
    assert len(judged((30, "abcdefghij"), (30, "abcdefghij")).out) == 3, "all are wrong at once"


def test_a_thousand_that_start_with_no_word_and_one_teller() -> None:
    """What goes to the dead one: one trial of each, where each alone sends three or more."""

    def sent(word: bool) -> int:
        total = 0
        for seed in range(40):  # each is like each other: the thousand are forty, times twenty-five
            fleet = Fleet([kind()], [line(n) for n in range(6)], peers=1000, seed=seed)
            if word:
                found = beginning.judge([forms.Told(6, (b"0",), {})], {b"%d" % n: f"e{n}" for n in range(6)})
                assert beginning.apply(fleet.balancer, fleet.now, found) == ["e0"]
            for n in range(60):
                held = fleet.arrive(n, key=f"k{n}")
                for m, one in enumerate(held.sent):
                    if one.outcome is None:
                        total += one.endpoint == "e0"
                        fleet.end(
                            n, m, AttemptOutcome.ERROR if one.endpoint == "e0" else AttemptOutcome.SERVED
                        )
                fleet.wait(0.05)
        return total

    assert sent(True) <= 40 < 3 * 40 <= sent(False)
    herd = Herd(60, seed=1)  # in virtual time with the classes that run
    assert herd.doors[-1] <= 1.0 + keep.READY_POLL_INTERVAL and herd.told == len(herd.starters), (
        "in time, and each is told"
    )
    assert max(herd.sent) < 60 * 6, "the teller sends each a few datagrams"
    names = [f"m{n}" for n in range(1000)]
    assert sum(beginning.tells(name, names) for name in names) == beginning.TELLERS


def test_what_a_member_tells_is_what_it_found_and_newcomers_are_told_at_once() -> None:
    start = Start(None, rig=Rig(9), others=1)
    now = start.rig.loop.now()
    start.run.ready_from(now)
    trip(start, "e3")
    start.run.tick(now)
    assert start.cells.read("a", forms.CELL) is None, "it has hardly begun"
    start.rig.loop.time = now = now + keep.KNOWS_AFTER + 1
    start.run.tick(now)
    seen = start.cells.read("a", forms.CELL)
    assert seen is not None and forms.decode(seen.register.value).out == (start.mark("e3"),)
    start.rig.loop.time = now = now + 1.5
    start.run.member_changed(now, None, Member("m7", ("127.0.0.1", 7), 5, 0, MemberStatus.ALIVE, now, now))
    assert start.cells.unsent["a", forms.CELL] == ("m7",)
    size = len(forms.encode(200, [b"x" * 6] * 500, [(b"y" * 6, 1.0)] * 500))
    assert size <= 900
    start.close()


def test_the_table_is_refused_with_its_path() -> None:
    config: Any = None
    assert not list(unfit(KeepPart(), config, None))
    assert [f.partition(":")[0] for f in unfit(KeepPart(every=0.0, wait=9.0), config, None)] == [
        "keep.every",
        "keep.wait",
    ]
    assert FailoverTable.RESET_WINDOW < learnt.LOAD_LASTS < learnt.KEYS_LAST
