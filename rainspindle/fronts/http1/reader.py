"""Reads the requests of one client connection, no faster than there is memory for them."""

from __future__ import annotations

import contextlib
from collections.abc import Callable

from ...protocol.application import MOST_BODY, MOST_HEAD, ApplicationSide, Ask, Message
from ...transport.connection import READ_SIZE, Connection, Late
from ...transport.loop import Coroutine
from ...transport.memory import MemoryBudget, MemoryLease

SMALL_REQUEST = 2048  # bytes that a connection may buffer whatever the others do
CHUNK_FRAMING = 16 * 1024  # bytes of framing that may be read with the last part of a chunked body


class MemoryShort(Exception):  # noqa: N818 - named like the other ends of a wait
    """There was no memory for a request in time."""


class RequestReader:
    """Passes the bytes of a client on to the parser, and leases the memory that they take."""

    def __init__(
        self,
        client: Connection,
        side: ApplicationSide,
        budget: MemoryBudget,
        streams: bool,
        expiry: Callable[[int, float, float | None], float],
    ) -> None:
        """Reads from a client.

        `streams`: whether long bodies may be streamed. `expiry` returns when a request must be answered, from
        its class, the time at which it arrived, and the seconds that its client waits.
        """
        self.client, self.side, self.streams, self.expiry = client, side, streams, expiry
        self.lease = MemoryLease(budget)
        self.following = MemoryLease(budget)  # for what arrived behind the request that is being served
        now = client.loop.now()
        self.waiting_since = now  # when the client could begin to send the current request
        self.read_at = now  # when it last sent some of it
        self.received_at = now  # when the bytes that were last read had arrived

    def unwanted(self) -> bool:
        """Whether no more is to be read."""
        return self.client.closed or self.lease.revoked or (self.lease.waits and self.client.left())

    def read(self, until: float) -> Coroutine[None]:
        """Reads more of a request, unless some is still undecoded.

        Raises:
            Broken: The connection failed.
            Late: The time `until` has come.
            MemoryShort: It has come while there was no memory for the request.
            Unwanted: The connection is closed, or its lease revoked.
        """
        self.record_partial()
        side, client = self.side, self.client
        if side.undecoded:
            yield from client.share_turn(until, self.unwanted)
            return
        if side.wants_continue:
            yield from client.send(side.go_on(), until)
        data = None
        while data is None:
            yield from client.await_readable(until, self.unwanted)
            size = self.read_size()
            if size == 0:
                yield from self.await_memory(until)
                continue
            client.read_size = size
            data = client.receive()
            client.read_size = READ_SIZE
            if data is None:
                self.record_partial()  # nothing has arrived that would need what was leased for it
        side.receive(data)
        self.read_at, self.received_at = client.loop.now(), client.came

    def needed(self) -> int:
        """Returns the bytes that the current request needs until it can be submitted or streamed."""
        missing = self.side.missing
        if missing is None:
            return MOST_HEAD + SMALL_REQUEST
        return min(self.side.buffered + missing, MOST_BODY) + CHUNK_FRAMING

    def read_size(self) -> int:
        """Returns how many bytes may be read now, 0 if memory must be waited for.

        What a request needs is leased at once: requests that each hold a part and wait for the rest would
        wait for one another.
        """
        buffered = self.side.buffered
        # Most requests are small and come whole: what they take is leased once it is known, in the same turn.
        if not buffered and self.lease.budget.has_room(READ_SIZE):
            return READ_SIZE
        missing = self.side.missing
        most = READ_SIZE if missing is None else min(missing, READ_SIZE)
        if buffered + most <= SMALL_REQUEST or self.lease.try_grow(self.needed()):
            return max(1, min(most, max(self.lease.held, SMALL_REQUEST) - buffered))
        return min(most, max(0, SMALL_REQUEST - buffered))

    def await_memory(self, until: float) -> Coroutine[None]:
        """Waits for the memory that the request needs; raises MemoryShort and Unwanted."""
        # Its last byte may have arrived already, and lie unread in the kernel.
        with contextlib.suppress(ValueError):
            type_index, wait = self.side.stated_time()
            until = min(until, self.expiry(type_index, self.client.came, wait))
        try:
            yield from self.lease.grow(self.needed(), until, self.unwanted)
        except Late:
            raise MemoryShort from None

    def next(self) -> Message | None:
        """Returns the next message, or None; a long request as soon as its head where memory is short."""
        message = self.side.next()
        if message is None and self.streams and self.side.is_long and not self.lease.try_grow(self.needed()):
            return self.side.begin_long()
        if message is not None:
            following = self.side.following
            self.following.resize(following if following > SMALL_REQUEST else 0)
        return message

    def release(self) -> None:
        """Records that nothing is held for the client any more."""
        self.lease.release()
        self.following.release()

    def record_partial(self) -> None:
        """Leases what a partial request takes, or more where it was leased in advance."""
        self.following.release()  # it is a part of the request that is being read
        buffered = self.side.buffered
        if buffered > SMALL_REQUEST and self.side.missing is not None:
            self.lease.resize(max(buffered, min(self.lease.held, self.needed())))
        elif buffered > SMALL_REQUEST:
            self.lease.resize(max(buffered, min(self.lease.held, MOST_HEAD + SMALL_REQUEST)))
        else:
            self.lease.release()

    def record_request(self, ask: Ask) -> None:
        """Leases what a request takes from now on."""
        size = ask.size()
        self.lease.resize(size if size > SMALL_REQUEST else 0)
