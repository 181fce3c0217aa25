"""Sends own requests to a peer, over whichever of its connections is up."""

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
from ...routing.sites import UNREACHABLE, NotAnswered, PeerResult
from ...transport.loop import Coroutine, Loop, Task

log = logging.getLogger("rainspindle.link")


class Channel:
    """One connection of the link, with its session and the task that drives it."""

    def __init__(self, session: Session, task: Task) -> None:
        self.session, self.task = session, task
        self.up = False

    def wake(self) -> None:
        """Wakes the connection's task because the session has output."""
        self.task.wake()


@dataclass(slots=True)
class SentRequest:
    """An own request that was sent to the peer and has no final result yet."""

    id: int
    task: Task
    claim: Claim
    channel: Channel
    epoch: int  # the peer's epoch when the request was opened
    step: Step = Step.WAIT
    answer: tuple[f.Answer, bytes] | None = None


class IdCounter:
    """Generates request ids, unique within an epoch; all peers of a process share one counter."""

    def __init__(self) -> None:
        self.last = 0

    def next(self) -> int:
        """Returns the next id, starting at 1."""
        self.last += 1
        return self.last


class Peer:
    """Another site, as the receiver of own requests."""

    def __init__(
        self,
        loop: Loop,
        site: str,
        type_names: tuple[str, ...],
        id_counter: IdCounter,
        on_link: Callable[[bool], None],
    ) -> None:
        """Takes `on_link`, called with True for the first connection and with False after the last."""
        self.loop, self.site, self.type_names, self.id_counter = loop, site, type_names, id_counter
        self.on_link = on_link
        self.channels: list[Channel] = []
        self.requests: dict[int, SentRequest] = {}
        # Revokes of abandoned requests, to be sent over the next connection: (send until, id, epoch).
        self.pending_revokes: deque[tuple[float, int, int]] = deque()

    # Connections.

    def channel_up(self, channel: Channel) -> None:
        """Adds a connection that came up, and sends the revokes that are due over it."""
        channel.up = True
        self.channels.append(channel)
        if len(self.channels) == 1:
            self.on_link(True)
        for request in self.requests.values():
            if request.claim.revoking:
                channel.session.revoke(request.id, request.epoch)
        now = self.loop.now()
        for send_until, request_id, epoch in self.pending_revokes:
            if send_until > now:
                channel.session.revoke(request_id, epoch)
        self.pending_revokes.clear()
        channel.wake()

    def channel_closed(self, channel: Channel) -> None:
        """Removes a connection that ended; requests sent over it are revoked over another one."""
        if channel.up:
            channel.up = False
            self.channels.remove(channel)
            if not self.channels:
                self.on_link(False)
        for request in list(self.requests.values()):
            if request.channel is channel:
                self.apply_step(request, request.claim.connection_lost())

    def pick_channel(self) -> Channel | None:
        """Returns the least loaded connection that accepts requests, None without one."""
        ready = [channel for channel in self.channels if channel.session.ready(self.loop.now())]
        return min(
            ready,
            key=lambda channel: len(channel.session.own_requests) + channel.session.waiting_bytes / 4096,
            default=None,
        )

    def apply_step(self, request: SentRequest, step: Step) -> None:
        """Carries out a step that the request's claim asks for."""
        if step is Step.REVOKE:
            for channel in self.channels[:1]:
                channel.session.revoke(request.id, request.epoch)
                channel.wake()
        if step is not Step.WAIT:
            request.step = step
            request.task.wake()

    # Messages from the peer.

    def handle_answer(self, answer: f.Answer, body: bytes) -> None:
        """Handles an answer from the peer; an answer to a settled request is ignored."""
        request = self.requests.get(answer.id)
        if request is not None and request.claim.answered():
            request.answer = answer, body
            request.task.wake()

    def handle_revoked(self, request_id: int, state: f.State) -> None:
        """Handles the peer's reply to a revoke."""
        request = self.requests.get(request_id)
        if request is not None:
            self.apply_step(request, request.claim.told(state))

    def mark_written(self, ids: list[int]) -> None:
        """Records that the requests with these ids were written completely."""
        for request_id in ids:
            request = self.requests.get(request_id)
            if request is not None:
                request.claim.was_written()

    # One request.

    def cross(
        self, given: Given, gone: Callable[[], bool], may_rerun: Callable[[], bool]
    ) -> Coroutine[PeerResult]:
        """Runs a request at the peer and returns its final answer, or that it had none.

        A request for which `may_rerun` holds when its connection is lost is abandoned at once. One that may
        have been executed elsewhere expires at the peer when its endpoints forget that.
        """
        channel = self.pick_channel()
        task = self.loop.current
        assert task is not None
        if channel is None:
            return UNREACHABLE
        ask: Ask = given.body
        now, peer = self.loop.now(), channel.session.peer
        assert peer is not None
        request = SentRequest(self.id_counter.next(), task, Claim(), channel, peer.epoch)
        self.requests[request.id] = request
        try:
            channel.session.open(
                f.Open(
                    request.id,
                    now,
                    min(given.expires_at, given.rerun_until) - now,
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
            channel.wake()
            return (yield from self.await_result(given, request, gone, may_rerun))
        finally:
            del self.requests[request.id]
            request.channel.session.forget(request.id)
            request.channel.wake()

    def await_result(
        self, given: Given, request: SentRequest, gone: Callable[[], bool], may_rerun: Callable[[], bool]
    ) -> Coroutine[PeerResult]:
        """Waits until the request is answered, settled, expired or cancelled."""
        while True:
            if request.answer is not None:
                return self.to_result(*request.answer)
            if request.step is Step.FREE:
                return NotAnswered(never_ran=True)
            if request.step is Step.UNKNOWN:
                return NotAnswered(never_ran=False) if may_rerun() else Terminated()
            if request.step is Step.REVOKE and may_rerun():
                self.abandon(given, request)
                return NotAnswered(never_ran=False)
            client_left = gone()
            if client_left or self.loop.now() >= given.expires_at:
                never_started = not request.claim.written
                self.abandon(given, request)
                if client_left:
                    return Left()
                # A request that was not written completely never starts, as the rest is not sent.
                return Rejected(0.0, False) if never_started else Terminated()
            yield given.expires_at

    def abandon(self, given: Given, request: SentRequest) -> None:
        """Ends the request without proof of what the peer did.

        A revoke keeps the request from starting later, if it reaches the peer in time.
        """
        if not request.claim.over and request.claim.written:
            request.claim.over = True
            if self.channels:
                self.channels[0].session.revoke(request.id, request.epoch)
                self.channels[0].wake()
            else:
                self.pending_revokes.append((given.expires_at + 60.0, request.id, request.epoch))
                while len(self.pending_revokes) > 4096:
                    self.pending_revokes.popleft()
        request.claim.over = True

    def to_result(self, answer: f.Answer, body: bytes) -> Final | NotAnswered:
        """Returns the result that an answer of the peer stands for."""
        if answer.kind == "finished":
            return Finished(Answered(AttemptOutcome.SERVED, answer.headers, body, True))
        if answer.kind == "rejected":
            return Rejected(answer.hold_off, True) if answer.ran else NotAnswered(True, answer.hold_off)
        return Terminated()
