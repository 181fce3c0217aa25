"""A binding exchange crosses the link, and the link is cut at every single byte, in every manner."""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import partial
from typing import Any

import pytest

from rainspindle.balancer.host import AttemptOutcome
from rainspindle.decisions.sites.intake import Intake
from rainspindle.fronts.link.link import Link
from rainspindle.lab.experiment import Link as Spec
from rainspindle.lab.models.link import LinkModel
from rainspindle.lab.virtual import Clock
from rainspindle.lab.virtual_sites import Pipe, VirtualLoop
from rainspindle.protocol.application import Ask
from rainspindle.protocol.endpoint import Answered
from rainspindle.routing.core import Final, Finished, Given, Left, Rejected, Terminated
from rainspindle.routing.sites import Crossed, Free
from rainspindle.transport.connection import Broken
from rainspindle.transport.loop import Coroutine

KEYS = (b"0123456789abcdef",)
WORK, EXPIRY = 0.2, 1.4
BODY = b"answer sheet " * 4


class Core:
    """Runs what comes, and counts."""

    last_answer = math.inf

    def __init__(self, pair: Pair) -> None:
        self.pair, self.alive, self.runs = pair, True, True
        self.final: Callable[[], Final] = lambda: Finished(Answered(AttemptOutcome.SERVED, (), b"done", True))

    def run(self, given: Given, gone: Callable[[], bool]) -> Coroutine[Final]:
        loop = self.pair.loop
        assert given.body.body == BODY and given.expires_at <= self.pair.expires
        until = loop.now() + (WORK if self.runs else 0.0)
        self.pair.runs += [loop.now()] * self.runs
        while loop.now() < until and self.alive:
            if gone():
                return Left()
            yield until
        return self.final()


class Cut(Pipe):
    """Passes so many bytes on; what follows is cut off in the stated manner."""

    def __init__(self, pair: Pair, passes: float, manner: str) -> None:
        super().__init__(pair.loop, LinkModel(Spec(delay=0.002, jitter=0.0), [], lambda: 0.5))
        self.pair, self.passes, self.manner, self.is_cut = pair, passes, manner, False
        self.sent = 0

    def deliver(self, data: bytes) -> None:
        self.sent += len(data)
        if not self.is_cut and len(data) <= self.passes:
            self.passes -= len(data)
            super().deliver(data)
            return
        if not self.is_cut:
            super().deliver(data[: int(self.passes)]) if self.passes >= 1 else None
            self.is_cut, data = True, data[int(self.passes) :]
            self.pair.cut()
            if self.manner == "restart":
                self.pair.restart()
        if self.manner in ("reset", "restart"):
            for end in (self, self.other):
                assert end is not None
                self.loop.clock.at(self.loop.now() + 0.003, partial(end_now, end))
        elif self.manner == "late":
            self.last = max(self.last, self.loop.now() + self.pair.late)
            super().deliver(data)


def end_now(pipe: Pipe) -> None:
    pipe.ended = True
    pipe.wake()


class Joined(Link):
    pair: Pair
    near = True

    def connect(self, site: str, until: float) -> Coroutine[Any]:
        yield self.loop.now() + 0.001
        if not self.pair.way:
            raise Broken("no way")
        return self.pair.join()


class Pair:
    """Two links in virtual time. The first connection is cut after so many bytes in one direction."""

    def __init__(
        self,
        there: float = math.inf,
        back: float = math.inf,
        manner: str = "reset",
        again: float = 0.05,
        late: float = 2.0,
        rerun: bool = False,
    ) -> None:
        self.clock, self.rerun = Clock(), rerun
        self.faults: list[BaseException] = []
        self.loop = VirtualLoop(self.clock, self.faults.append)
        self.limits, self.manner, self.again, self.late = (there, back), manner, again, late
        self.runs: list[float] = []
        self.expires = math.inf
        self.way, self.joined, self.bytes = True, 0, [0, 0]
        self.epoch = 10
        self.casa = self.link("casa", 5)
        self.far_core = Core(self)
        self.rabat = self.link("rabat", self.epoch)
        self.casa.set_peers({"rabat": ("0.0.0.0", 1)})
        self.rabat.set_peers({"casa": None})

    def link(self, site: str, epoch: int) -> Joined:
        core: Any = self.far_core if site == "rabat" else Core(self)
        made = Joined(
            self.loop,
            site,
            epoch,
            lambda: KEYS,
            core,
            Intake(0.0, 0.9, 100, lambda line: None),
            ("submit",),
            (self.rerun,),
            0.5,
            1,
            lambda peer, up: None,
        )
        made.pair = self
        return made

    def join(self) -> Pipe:
        self.joined += 1
        first = self.joined == 1
        near, far = (Cut(self, limit if first else math.inf, self.manner) for limit in self.limits)
        near.other, far.other = far, near
        self.ends = near, far
        accept: Any = self.rabat.accepted
        accept(far)
        return near

    def cut(self) -> None:
        self.way = False

        def mended() -> None:
            self.way = True

        self.clock.at(self.clock.now + self.again, mended)

    def restart(self) -> None:
        """The far gateway is killed with all it held, and comes back with an empty ledger."""
        self.far_core.alive = False
        self.far_core.final = Terminated
        self.rabat.peers.clear()
        self.epoch += 1
        self.far_core = Core(self)
        self.rabat = self.link("rabat", self.epoch)
        self.rabat.set_peers({"casa": None})

    def submit(self, may_rerun: bool = False, settle: float = 6.0) -> Crossed:
        """One exchange from casa to rabat; time goes on long after its answer."""
        self.clock.env.run(until=self.clock.now + 0.5)
        self.expires = self.clock.now + EXPIRY
        self.runs.clear()
        finals: list[tuple[float, Crossed]] = []

        def one() -> Coroutine[None]:
            given = Given(
                0,
                "k",
                None,
                False,
                self.expires,
                Ask(b"x1", b"POST", b"/", BODY, (), 0, "k", None, None, False),
            )
            final = yield from self.casa.peers["rabat"].cross(given, lambda: False, may_rerun)
            finals.append((self.clock.now, final))

        self.loop.spawn(one())
        self.clock.env.run(until=self.expires + settle)
        assert not self.faults, self.faults
        assert len(finals) == 1, "one final answer"
        at, final = finals[0]
        assert at <= self.expires + 1e-9
        if not may_rerun:
            assert len(self.runs) <= 1, "it ran twice"
        assert all(ran <= self.expires for ran in self.runs), "it began after its expiry"
        assert all(ran <= at + 1e-9 for ran in self.runs), "it began after its final answer"
        if isinstance(final, Rejected) or (isinstance(final, Free) and final.never):
            assert not self.runs, "said never to have run, and ran"
        if isinstance(final, Finished):
            assert len(self.runs) >= 1
        assert not self.casa.peers["rabat"].under
        return final


def crossed() -> tuple[int, int]:
    """Bytes that go either way in a day without a cut: what there is to be cut at."""
    pair = Pair()
    assert isinstance(pair.submit(settle=0.0), Finished) and len(pair.runs) == 1
    return pair.ends[0].sent, pair.ends[1].sent


def test_it_crosses_and_the_answer_comes_back() -> None:
    pair = Pair()
    final = pair.submit()
    assert isinstance(final, Finished) and final.payload.body == b"done" and len(pair.runs) == 1
    assert pair.rabat.taken_in == 1 and not pair.rabat.foreign


@pytest.mark.parametrize("manner", ["reset", "lost", "late", "restart"])
@pytest.mark.parametrize("way", ["there", "back"])
def test_cut_at_every_byte_it_runs_at_most_once_and_has_one_answer_in_time(manner: str, way: str) -> None:
    there, back = crossed()
    total, kinds = there if way == "there" else back, set()
    for at in range(total + 1):
        # After the cut the link is mended soon, or not before the expiry.
        cut_there, cut_back = (at, math.inf) if way == "there" else (math.inf, at)
        pair = Pair(cut_there, cut_back, manner, again=0.05 if at % 3 else 3.0)
        final = pair.submit()
        kinds.add("free" if isinstance(final, Free) else type(final).__name__.lower())
    assert "finished" in kinds and kinds <= {"finished", "free", "rejected", "terminated"}
    if manner == "restart" and way == "there":
        assert "terminated" in kinds  # what a restarted gateway has forgotten proves nothing


def test_what_may_rerun_is_free_as_soon_as_its_connection_is_gone() -> None:
    there, _ = crossed()
    for at in range(0, there + 1, 5):
        final = Pair(there=at, manner="reset", again=3.0).submit(may_rerun=True)
        assert isinstance(final, Free | Finished)


def test_a_site_with_no_room_or_no_such_type_proves_that_nothing_ran() -> None:
    full = Pair()
    full.rabat.intake.part, full.rabat.intake.floor = 0.0, 0
    final = full.submit()
    assert final == Free(True, 0.5) and not full.runs and full.rabat.refused == 1
    strange = Pair()
    strange.rabat.types.clear()
    assert strange.submit() == Free(True, 0.0)


def test_what_its_sender_has_given_up_with_the_connection_is_cancelled_there() -> None:
    for rerun in (True, False):
        pair = Pair(rerun=rerun)
        pair.clock.env.run(until=0.0)

        def cut(pair: Pair = pair) -> None:
            assert pair.rabat.foreign  # it runs there
            pair.cut()
            for end in pair.ends:
                end_now(end)

        pair.again = 9.0
        pair.clock.at(0.55, cut)
        pair.clock.at(0.60, lambda pair=pair, rerun=rerun: check(pair, rerun))  # type: ignore[misc]
        pair.submit(may_rerun=rerun)


def check(pair: Pair, cancelled: bool) -> None:
    assert bool(pair.rabat.foreign) != cancelled


def test_far_rejections_and_terminations_come_back_as_such() -> None:
    for made, told in (
        (Terminated(), Terminated()),
        (Rejected(0.7, False), Free(True, 0.7)),
        (Rejected(0.7, True), Rejected(0.7, True)),
    ):
        pair = Pair()
        pair.far_core.final, pair.far_core.runs = lambda made=made: made, False  # type: ignore[misc]
        assert pair.submit() == told


def test_with_no_connection_it_never_ran_and_that_is_said_at_once() -> None:
    pair = Pair()
    pair.way = False
    assert pair.submit() == Free(True)


def test_a_client_that_leaves_ends_it_there_too() -> None:
    pair = Pair()
    pair.clock.env.run(until=0.0)
    pair.expires = 10.0
    finals: list[Crossed] = []
    gone = [False]

    def one() -> Coroutine[None]:
        ask = Ask(b"x1", b"POST", b"/", BODY, (), 0, "k", None, None, False)
        given = Given(0, "k", None, False, 2.0, ask)
        finals.append((yield from pair.casa.peers["rabat"].cross(given, lambda: gone[0], False)))

    task = pair.loop.spawn(one())
    pair.clock.env.run(until=0.05)
    assert pair.rabat.foreign
    gone[0] = True
    task.wake()
    pair.clock.env.run(until=1.0)
    assert finals == [Left()] and not pair.rabat.foreign and pair.rabat.intake.foreign == 0


def test_goodbye_takes_nothing_new_and_finishes_what_is_open() -> None:
    pair = Pair()
    pair.clock.env.run(until=0.0)
    pair.clock.at(pair.clock.now + 0.55, pair.rabat.leave)  # while it runs
    assert isinstance(pair.submit(), Finished)
    assert pair.submit() == Free(True) and not pair.runs


def test_peers_that_are_not_configured_or_were_removed_get_no_line() -> None:
    pair = Pair()
    pair.rabat.set_peers({})
    assert pair.submit() == Free(True) and not pair.rabat.lines
    pair = Pair()
    pair.clock.env.run(until=0.0)
    assert pair.casa.peers["rabat"].lines
    pair.casa.set_peers({})
    pair.clock.env.run(until=1.0)
    assert not pair.casa.lines and not pair.rabat.peers["casa"].lines
