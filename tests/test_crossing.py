"""Requests over the link in virtual time, with the connection cut at every byte in each manner."""

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
from rainspindle.routing.sites import NotAnswered, PeerResult
from rainspindle.transport.connection import Broken
from rainspindle.transport.loop import Coroutine

KEYS = (b"0123456789abcdef",)
RUN_TIME, TIME_TO_EXPIRY = 0.2, 1.4
BODY = b"answer sheet " * 4


class Core:
    """A stand-in for the core that records when each request ran."""

    last_answer = math.inf

    def __init__(self, pair: Pair) -> None:
        self.pair, self.alive, self.runs = pair, True, True
        self.final: Callable[[], Final] = lambda: Finished(Answered(AttemptOutcome.SERVED, (), b"done", True))

    def run(self, given: Given, gone: Callable[[], bool]) -> Coroutine[Final]:
        loop = self.pair.loop
        assert given.body.body == BODY and given.expires_at <= self.pair.expires
        until = loop.now() + (RUN_TIME if self.runs else 0.0)
        self.pair.runs += [loop.now()] * self.runs
        while loop.now() < until and self.alive:
            if gone():
                return Left()
            yield until
        return self.final()


class CutPipe(Pipe):
    """Delivers `passes` bytes, then fails in the given manner: reset, restart, late or lost."""

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


class JoinedLink(Link):
    pair: Pair
    near = True

    def connect(self, site: str, until: float) -> Coroutine[Any]:
        yield self.loop.now() + 0.001
        if not self.pair.link_usable:
            raise Broken("the link is cut")
        return self.pair.join()


class Pair:
    """Two links in virtual time whose first connection is cut after a number of bytes in either direction."""

    def __init__(
        self,
        there: float = math.inf,
        back: float = math.inf,
        manner: str = "reset",
        restore_after: float = 0.05,
        late: float = 2.0,
        rerun: bool = False,
    ) -> None:
        self.clock, self.rerun = Clock(), rerun
        self.faults: list[BaseException] = []
        self.loop = VirtualLoop(self.clock, self.faults.append)
        self.limits, self.manner, self.restore_after, self.late = (there, back), manner, restore_after, late
        self.runs: list[float] = []
        self.expires = math.inf
        self.link_usable, self.joined, self.bytes = True, 0, [0, 0]
        self.epoch = 10
        self.casa = self.link("casa", 5)
        self.far_core = Core(self)
        self.rabat = self.link("rabat", self.epoch)
        self.casa.set_peers({"rabat": ("0.0.0.0", 1)})
        self.rabat.set_peers({"casa": None})

    def link(self, site: str, epoch: int) -> JoinedLink:
        core: Any = self.far_core if site == "rabat" else Core(self)
        link = JoinedLink(
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
        link.pair = self
        return link

    def join(self) -> Pipe:
        self.joined += 1
        first = self.joined == 1
        near, far = (CutPipe(self, limit if first else math.inf, self.manner) for limit in self.limits)
        near.other, far.other = far, near
        self.ends = near, far
        accept: Any = self.rabat.accepted
        accept(far)
        return near

    def cut(self) -> None:
        self.link_usable = False

        def restore_link() -> None:
            self.link_usable = True

        self.clock.at(self.clock.now + self.restore_after, restore_link)

    def restart(self) -> None:
        """Kills the far gateway with its requests and starts it again with an empty ledger."""
        self.far_core.alive = False
        self.far_core.final = Terminated
        self.rabat.peers.clear()
        self.epoch += 1
        self.far_core = Core(self)
        self.rabat = self.link("rabat", self.epoch)
        self.rabat.set_peers({"casa": None})

    def submit(self, may_rerun: bool = False, settle: float = 6.0) -> PeerResult:
        """Runs one request from casa to rabat until `settle` seconds after its expiry and checks it."""
        self.clock.env.run(until=self.clock.now + 0.5)
        self.expires = self.clock.now + TIME_TO_EXPIRY
        self.runs.clear()
        finals: list[tuple[float, PeerResult]] = []

        def run_request() -> Coroutine[None]:
            given = Given(
                0,
                "k",
                None,
                False,
                self.expires,
                Ask(b"x1", b"POST", b"/", BODY, (), 0, "k", None, None, False),
            )
            final = yield from self.casa.peers["rabat"].cross(given, lambda: False, lambda: may_rerun)
            finals.append((self.clock.now, final))

        self.loop.spawn(run_request())
        self.clock.env.run(until=self.expires + settle)
        assert not self.faults, self.faults
        assert len(finals) == 1, f"{len(finals)} final answers, expected 1"
        answered_at, final = finals[0]
        assert answered_at <= self.expires + 1e-9
        if not may_rerun:
            assert len(self.runs) <= 1, f"ran {len(self.runs)} times, expected at most once"
        assert all(ran <= self.expires for ran in self.runs), "ran after its expiry"
        assert all(ran <= answered_at + 1e-9 for ran in self.runs), "ran after its final answer"
        if isinstance(final, Rejected) or (isinstance(final, NotAnswered) and final.never_ran):
            assert not self.runs, "reported as never run, but ran"
        if isinstance(final, Finished):
            assert len(self.runs) >= 1
        assert not self.casa.peers["rabat"].requests
        return final


def bytes_without_cut() -> tuple[int, int]:
    """Returns the bytes sent in each direction without a cut."""
    pair = Pair()
    assert isinstance(pair.submit(settle=0.0), Finished) and len(pair.runs) == 1
    return pair.ends[0].sent, pair.ends[1].sent


def test_request_runs_at_the_peer_and_its_answer_returns() -> None:
    pair = Pair()
    final = pair.submit()
    assert isinstance(final, Finished) and final.payload.body == b"done" and len(pair.runs) == 1
    assert pair.rabat.taken_in == 1 and not pair.rabat.foreign_requests


@pytest.mark.parametrize("manner", ["reset", "lost", "late", "restart"])
@pytest.mark.parametrize("way", ["there", "back"])
def test_request_cut_at_any_byte_runs_at_most_once_and_has_one_answer_in_time(manner: str, way: str) -> None:
    there, back = bytes_without_cut()
    total, kinds = there if way == "there" else back, set()
    for cut_at in range(total + 1):
        # After the cut the link is restored soon, or only after the expiry.
        cut_there, cut_back = (cut_at, math.inf) if way == "there" else (math.inf, cut_at)
        pair = Pair(cut_there, cut_back, manner, restore_after=0.05 if cut_at % 3 else 3.0)
        final = pair.submit()
        kinds.add("free" if isinstance(final, NotAnswered) else type(final).__name__.lower())
    assert "finished" in kinds and kinds <= {"finished", "free", "rejected", "terminated"}
    if manner == "restart" and way == "there":
        assert "terminated" in kinds  # a restarted gateway cannot prove that a request never ran


def test_rerunnable_request_is_released_when_its_connection_is_lost() -> None:
    there, _ = bytes_without_cut()
    for at in range(0, there + 1, 5):
        final = Pair(there=at, manner="reset", restore_after=3.0).submit(may_rerun=True)
        assert isinstance(final, NotAnswered | Finished)


def test_full_site_or_unknown_type_proves_that_nothing_ran() -> None:
    full_site = Pair()
    full_site.rabat.intake.part, full_site.rabat.intake.floor = 0.0, 0
    final = full_site.submit()
    assert final == NotAnswered(True, 0.5) and not full_site.runs and full_site.rabat.refused == 1
    unknown_type = Pair()
    unknown_type.rabat.type_indexes.clear()
    assert unknown_type.submit() == NotAnswered(True, 0.0)


def test_request_abandoned_with_its_connection_is_cancelled_at_the_peer() -> None:
    for rerun in (True, False):
        pair = Pair(rerun=rerun)
        pair.clock.env.run(until=0.0)

        def cut(pair: Pair = pair) -> None:
            assert pair.rabat.foreign_requests  # the request runs at the peer
            pair.cut()
            for end in pair.ends:
                end_now(end)

        pair.restore_after = 9.0
        pair.clock.at(0.55, cut)
        pair.clock.at(0.60, lambda pair=pair, rerun=rerun: check_cancelled(pair, rerun))  # type: ignore[misc]
        pair.submit(may_rerun=rerun)


def check_cancelled(pair: Pair, cancelled: bool) -> None:
    assert bool(pair.rabat.foreign_requests) != cancelled


def test_rejections_and_terminations_of_the_peer_are_returned() -> None:
    for far_result, expected in (
        (Terminated(), Terminated()),
        (Rejected(0.7, False), NotAnswered(True, 0.7)),
        (Rejected(0.7, True), Rejected(0.7, True)),
    ):
        pair = Pair()
        pair.far_core.final, pair.far_core.runs = lambda far_result=far_result: far_result, False  # type: ignore[misc]
        assert pair.submit() == expected


def test_without_a_connection_the_request_is_reported_as_never_run() -> None:
    pair = Pair()
    pair.link_usable = False
    assert pair.submit() == NotAnswered(True)


def test_client_that_leaves_cancels_the_request_at_the_peer() -> None:
    pair = Pair()
    pair.clock.env.run(until=0.0)
    pair.expires = 10.0
    finals: list[PeerResult] = []
    gone = [False]

    def run_request() -> Coroutine[None]:
        ask = Ask(b"x1", b"POST", b"/", BODY, (), 0, "k", None, None, False)
        given = Given(0, "k", None, False, 2.0, ask)
        finals.append((yield from pair.casa.peers["rabat"].cross(given, lambda: gone[0], lambda: False)))

    task = pair.loop.spawn(run_request())
    pair.clock.env.run(until=0.05)
    assert pair.rabat.foreign_requests
    gone[0] = True
    task.wake()
    pair.clock.env.run(until=1.0)
    assert finals == [Left()] and not pair.rabat.foreign_requests and pair.rabat.intake.foreign_active == 0


def test_goodbye_rejects_new_requests_and_finishes_open_ones() -> None:
    pair = Pair()
    pair.clock.env.run(until=0.0)
    pair.clock.at(pair.clock.now + 0.55, pair.rabat.leave)  # while the request runs
    assert isinstance(pair.submit(), Finished)
    assert pair.submit() == NotAnswered(True) and not pair.runs


def test_unknown_and_removed_peers_get_no_connection() -> None:
    pair = Pair()
    pair.rabat.set_peers({})
    assert pair.submit() == NotAnswered(True) and not pair.rabat.channels
    pair = Pair()
    pair.clock.env.run(until=0.0)
    assert pair.casa.peers["rabat"].channels
    pair.casa.set_peers({})
    pair.clock.env.run(until=1.0)
    assert not pair.casa.channels and not pair.rabat.peers["casa"].channels
