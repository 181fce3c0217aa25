"""Exchanges of ours that cross to a peer, over whichever of its connections is up."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from ...balancer.host import AttemptOutcome
from ...protocol.application import Ask
from ...protocol.endpoint import Answered
from ...protocol.link import frames as f
from ...protocol.link.claims import Claim, Step
from ...protocol.link.session import Session
from ...routing.core import Final, Finished, Given, Left, Rejected, Terminated
from ...routing.sites import NOT_THERE, Crossed, Free
from ...transport.loop import Coroutine, Loop, Task

log = logging.getLogger("rainspindle.link")


class Line:
    """One connection of the link, as those see it who use it."""

    def __init__(self, session: Session, task: Task) -> None:
        self.session, self.task = session, task
        self.up = False

    def wake(self) -> None:
        """Something is to be written."""
        self.task.wake()


@dataclass(slots=True)
class Under:
    """An exchange of ours that is crossing."""

    id: int
    task: Task
    claim: Claim
    line: Line
    epoch: int  # the peer's start to which it was opened
    step: Step = Step.WAIT
    answer: tuple[f.Answer, bytes] | None = None


class Counter:
    """Ids of exchanges: one count for a process, as the epoch is."""

    def __init__(self) -> None:
        self.last = 0

    def next(self) -> int:
        self.last += 1
        return self.last


class Peer:
    """Another site, as exchanges cross to it."""

    def __init__(
        self,
        loop: Loop,
        site: str,
        type_names: tuple[str, ...],
        counter: Counter,
        on_link: Callable[[bool], None],
    ) -> None:
        """`on_link` is told when the first of its connections comes up and when the last is gone."""
        self.loop, self.site, self.type_names, self.counter = loop, site, type_names, counter
        self.on_link = on_link
        self.lines: list[Line] = []
        self.under: dict[int, Under] = {}
        # Settled without proof: a revoke that keeps it from starting later is still owed, up to a time.
        self.owed: deque[tuple[float, int, int]] = deque()

    # Connections.

    def line_up(self, line: Line) -> None:
        line.up = True
        self.lines.append(line)
        if len(self.lines) == 1:
            self.on_link(True)
        for under in self.under.values():
            if under.claim.revoking:
                line.session.revoke(under.id, under.epoch)
        now = self.loop.now()
        for until, id, epoch in self.owed:
            if until > now:
                line.session.revoke(id, epoch)
        self.owed.clear()
        line.wake()

    def line_gone(self, line: Line) -> None:
        """Its connection has ended; what was crossing over it is asked for over another."""
        if line.up:
            line.up = False
            self.lines.remove(line)
            if not self.lines:
                self.on_link(False)
        for under in list(self.under.values()):
            if under.line is line:
                self.act(under, under.claim.connection_lost())

    def pick(self) -> Line | None:
        ready = [line for line in self.lines if line.session.ready(self.loop.now())]
        return min(ready, key=lambda line: len(line.session.ours) + line.session.waiting / 4096, default=None)

    def act(self, under: Under, step: Step) -> None:
        if step is Step.REVOKE:
            for line in self.lines[:1]:
                line.session.revoke(under.id, under.epoch)
                line.wake()
        if step is not Step.WAIT:
            under.step = step
            under.task.wake()

    # What the peer tells.

    def told(self, answer: f.Answer, body: bytes) -> None:
        under = self.under.get(answer.id)
        if under is not None and under.claim.answered():
            under.answer = answer, body
            under.task.wake()

    def said(self, id: int, state: f.State) -> None:
        under = self.under.get(id)
        if under is not None:
            self.act(under, under.claim.told(state))

    def written(self, ids: list[int]) -> None:
        for id in ids:
            under = self.under.get(id)
            if under is not None:
                under.claim.was_written()

    # One exchange.

    def cross(self, given: Given, gone: Callable[[], bool], may_rerun: bool) -> Coroutine[Crossed]:
        """What came of it there: a final answer, or that it provably never ran.

        `may_rerun` exchanges are given up as soon as their connection is gone."""
        line = self.pick()
        task = self.loop.current
        assert task is not None
        if line is None:
            return NOT_THERE
        ask: Ask = given.body
        now, peer = self.loop.now(), line.session.peer
        assert peer is not None
        under = Under(self.counter.next(), task, Claim(), line, peer.epoch)
        self.under[under.id] = under
        try:
            line.session.open(
                f.Open(
                    under.id,
                    now,
                    given.expires_at - now,
                    self.type_names[given.type_index],
                    given.key,
                    given.hint,
                    given.repeat,
                    ask.request_id,
                    ask.method,
                    ask.target,
                    ask.headers,
                    len(ask.body),
                ),
                ask.body,
            )
            line.wake()
            return (yield from self.follow(given, under, gone, may_rerun))
        finally:
            del self.under[under.id]
            under.line.session.forget(under.id)
            under.line.wake()

    def follow(
        self, given: Given, under: Under, gone: Callable[[], bool], may_rerun: bool
    ) -> Coroutine[Crossed]:
        while True:
            if under.answer is not None:
                return self.final(*under.answer)
            if under.step is Step.FREE:
                return Free(never=True)
            if under.step is Step.UNKNOWN:
                return Free(never=False) if may_rerun else Terminated()
            if under.step is Step.REVOKE and may_rerun:
                self.settle(given, under)
                return Free(never=False)
            left = gone()
            if left or self.loop.now() >= given.expires_at:
                never = not under.claim.written
                self.settle(given, under)
                if left:
                    return Left()
                # Not written whole: it never starts, as the rest will not be sent.
                return Rejected(0.0, False) if never else Terminated()
            yield given.expires_at

    def settle(self, given: Given, under: Under) -> None:
        """It has its final answer without proof: it must not start any more, where that can still be had."""
        if not under.claim.over and under.claim.written:
            under.claim.over = True
            if self.lines:
                self.lines[0].session.revoke(under.id, under.epoch)
                self.lines[0].wake()
            else:
                self.owed.append((given.expires_at + 60.0, under.id, under.epoch))
                while len(self.owed) > 4096:
                    self.owed.popleft()
        under.claim.over = True

    def final(self, answer: f.Answer, body: bytes) -> Final | Free:
        if answer.kind == "finished":
            return Finished(Answered(AttemptOutcome.SERVED, answer.headers, body, True))
        if answer.kind == "rejected":
            return Rejected(answer.hold_off, True) if answer.ran else Free(True, answer.hold_off)
        return Terminated()
