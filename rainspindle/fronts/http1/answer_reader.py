"""Reads the answer to one attempt, in smaller parts where there is no memory to buffer it."""

from __future__ import annotations

import contextlib

from ...protocol.application import MOST_BODY
from ...protocol.endpoint import Answered, EndpointSide
from ...transport.connection import READ_SIZE, Connection, Late, Unless
from ...transport.decoding import decode_some
from ...transport.loop import Coroutine
from ...transport.memory import MemoryLease
from .stream import Streams

SMALL_READ = 4 * 1024  # bytes that may be read whatever memory is in use
PLACE_TIMEOUT = 0.5  # seconds that a long answer waits for a place among the streams
COPIES = 2  # of an answer while it is decoded and encoded


class AnswerReader:
    """Leases the memory of an answer beside that of its request."""

    def __init__(self, connection: Connection, attempt: EndpointSide, lease: MemoryLease | None) -> None:
        """`lease` is that of the request, None where memory is not accounted for."""
        self.connection, self.attempt, self.lease = connection, attempt, lease
        self.request_size = 0 if lease is None else lease.held

    def read(self, until: float, unless: Unless) -> Coroutine[Answered | None]:
        """Decodes the next part; returns the answer once it is complete, as `decode_some`."""
        if self.attempt.undecoded:
            return (yield from decode_some(self.connection, self.attempt, until, unless))
        data = None
        while data is None:
            yield from self.connection.await_readable(until, unless)
            self.connection.read_size = READ_SIZE if self.fits() else SMALL_READ
            data = self.connection.receive()
            if data is None:
                self.record(len(self.attempt.call.body))  # nothing came that would need what was leased
        answer = self.attempt.receive(data)
        self.record(len(self.attempt.call.body) if answer is None else len(answer.body))
        return answer

    def record(self, size: int) -> None:
        """Leases what an answer takes of which so many bytes are held, unless they are few."""
        if self.lease is not None:
            self.lease.resize(self.request_size + (COPIES * size if size > SMALL_READ else 0))

    def fits(self) -> bool:
        """Whether there is memory to buffer the answer, or another part of one without a stated length."""
        if self.lease is None:
            return True
        call = self.attempt.call
        if call.response is None:  # most answers are small and come whole
            return self.lease.budget.has_room(COPIES * READ_SIZE)
        stated = call.length()
        size = len(call.body) + READ_SIZE if stated is None else min(stated, MOST_BODY)
        return self.lease.try_grow(self.request_size + COPIES * size)

    def must_pass_on(self) -> bool:
        """Whether an answer must be passed on as it arrives from now on, for lack of memory."""
        call = self.attempt.call
        return call.can_be_streamed() and call.got >= SMALL_READ and not self.fits()

    def prepare_passing_on(self, streams: Streams, until: float, unless: Unless) -> Coroutine[None]:
        """Waits for a place among the streams for a long answer; without one it is read in small parts.

        Raises:
            Unwanted: `unless` holds.
        """
        self.connection.read_size = SMALL_READ
        if self.attempt.call.is_streamed():
            with contextlib.suppress(Late):
                yield from streams.enter(min(until, streams.loop.now() + PLACE_TIMEOUT), unless)
                self.connection.read_size = READ_SIZE
        elif self.lease is not None:
            self.lease.resize(self.request_size)
