"""Serves the application's connections: reads requests, submits them to the core and writes the answers."""

from __future__ import annotations

import logging
import math
from collections import Counter
from collections.abc import Mapping
from itertools import islice

from ...decisions.operation.crowd import Crowd
from ...protocol.application import (
    MOST_BODY,
    MOST_STREAM,
    REJECTED,
    TERMINATED,
    ApplicationSide,
    Ask,
    Bad,
    Ended,
    Message,
)
from ...routing.core import Broke, Core, Final, Finished, Given, Left, Rejected, Taker
from ...routing.request_ids import RequestIds
from ...transport.connection import Broken, Connection, Late, Unwanted
from ...transport.loop import Coroutine, Loop
from ...transport.memory import MemoryBudget, MemoryLease
from ...transport.pool import Pool
from .back import Streamed
from .reader import MemoryShort, RequestReader
from .room import Room
from .stream import IDLE_TIMEOUT, MIN_BODY_RATE, StreamableRequest, Streams

log = logging.getLogger("rainspindle.front")

# Seconds within which a request must be complete, counted from connecting, or from the first byte of a later
# request; its body extends it by MIN_BODY_RATE. A client may take 2 s to send the head.
REQUEST_TIMEOUT = 2.4
MAX_UPLOAD_TIME = 1200.0  # seconds that a long body may take: 32 MB at half of that rate
# Seconds for which the id of a request that may have been executed is not taken again: failed, and served.
ID_RETENTION, SERVED_ID_RETENTION = 60.0, 10.0
MEMORY_RETRY_AFTER = 1.0  # seconds for which a client should wait where there was no memory for its request
LOW_LOAD, HIGH_LOAD = 0.4, 0.55  # shares of the client limit above which idle connections are closed
LONG_IDLE_TIMEOUT, SHORT_IDLE_TIMEOUT = 2.0, 0.25  # seconds of idleness allowed up to HIGH_LOAD and above
# Seconds and bytes for which input is discarded after a last answer.
LINGER_TIME, MAX_LINGER_BYTES = 1.0, 256 * 1024
CLOSE_TIMEOUT = 0.5  # seconds for which a half-closed connection waits for its client to close


class HttpFront:
    """Serves HTTP/1.1 clients."""

    def __init__(
        self,
        loop: Loop,
        core: Core,
        taker: Taker,
        pool: Pool,
        most_clients: int,
        room: int = 32 * 1024 * 1024,
        buffers: int = 32 * 1024 * 1024,
        request_ids: RequestIds | None = None,
    ) -> None:
        """Submits requests to `taker`; the core determines their expiry.

        `room`: bytes for long bodies and answers, which are streamed; 0 where the back does not use HTTP/1.1.
        `buffers`: bytes for all other requests and answers. `request_ids`: those that another process of the
        sidecar shares, if one may.
        """
        self.streams, self.room = room > 0, Room(loop, room)
        self.memory = MemoryBudget(loop, buffers)
        self.memory.reclaim = self.reclaim_memory
        self.readers: dict[Connection, RequestReader] = {}
        self.loop, self.core, self.taker, self.pool = loop, core, taker, pool
        self.most_clients = most_clients
        self.open_ids: set[bytes] = set()
        self.request_ids = RequestIds(clock=loop.now) if request_ids is None else request_ids
        self.clients: dict[Connection, None] = {}
        self.crowd: Crowd[Connection] = Crowd()
        self.leaving = self.closing = False  # SIGTERM was received; connections close with their next answer
        self.ready_from = -math.inf
        self.refusals: Counter[int] = Counter()  # by status
        self.evicted = self.trimmed = self.left = 0  # clients closed for others or for idleness, or gone

    def figures(self) -> Mapping[str, object]:
        """Returns the counters for status lines."""
        return {
            "clients": len(self.clients),
            "idle": len(self.crowd.waiting),
            "silent": len(self.crowd.silent),
            "partial": len(self.crowd.begun),
            "buffered": self.memory.used,
            "buffered_peak": self.memory.peak,
            "buffers_waiting": len(self.memory.waiting),
            "streams": self.room.taken,
            "streams_waiting": len(self.room.waiting),
            "evicted": self.evicted,
            "trimmed": self.trimmed,
            "left": self.left,
            "refused": dict(sorted(self.refusals.items())),
        }

    def accepted(self, connection: Connection) -> bool:
        """Accepts a connection; returns False if the limit is reached and no client can be closed.

        During shutdown all are accepted: the listening socket closes next, and connections that are still in
        its queue would be lost.
        """
        if not self.has_capacity() and not self.leaving:
            return False
        self.clients[connection] = None
        self.update_lent_places()
        self.crowd.came(connection, self.loop.now())
        self.loop.spawn(self.serve(connection), lambda: self.gone(connection))
        return True

    def has_capacity(self) -> bool:
        """Whether one more client fits: within the limit, instead of an idle client, or on a pool's place.

        Clients that all have a request in progress must not use up the descriptors that are reserved for
        discovery, the console and files.
        """
        return len(self.clients) < self.most_clients or self.close_idle_client() or self.pool.can_lend()

    def update_lent_places(self) -> None:
        """Tells the pool how many of its places are in use by clients."""
        self.pool.lent = max(0, len(self.clients) - self.most_clients)

    def gone(self, connection: Connection) -> None:
        """Closes and forgets a connection."""
        self.clients.pop(connection, None)
        self.update_lent_places()
        self.crowd.gone(connection)
        reader = self.readers.pop(connection, None)
        if reader is not None:
            reader.release()
        connection.close()

    def reclaim_memory(self, size: int) -> None:
        """Refuses requests that have made no progress, to free about `size` bytes for others."""
        now = self.loop.now()
        for connection, since in self.crowd.begun.items():
            if size <= 0 or now - since < self.crowd.STALLED:
                break
            if connection not in self.readers or connection.pending():
                continue
            lease = self.readers[connection].lease
            if lease.waits or lease.revoked or not lease.held:
                continue
            lease.revoked = True
            size -= lease.held
            connection.wake()

    def close_idle_client(self) -> bool:
        """Closes a connection without a complete request, to make room; returns whether there was one."""
        ended = any(self.end(connection) for connection in self.crowd.give_way(self.loop.now()))
        self.evicted += ended
        return ended

    def end(self, connection: Connection) -> bool:
        """Closes a connection, unless unread bytes show that it is in use; returns whether it did."""
        if not connection.sound():
            return False
        connection.wake()
        self.gone(connection)
        return True

    def trim_clients(self) -> None:
        """Closes connections that have been idle for long while many are open.

        The application opens a limited number of connections. Clients that send one request and then keep
        theirs would leave none to the others, even while this process has descriptors to spare.
        """
        now, max_clients = self.loop.now(), self.most_clients
        # Those that have not completed a request have a time limit of their own.
        idle_or_busy = self.crowd.asked(len(self.clients))
        excess = max(0, idle_or_busy - int(LOW_LOAD * max_clients))
        for connection, since in list(islice(self.crowd.waiting.items(), excess)):
            if now - since < (
                LONG_IDLE_TIMEOUT if idle_or_busy <= HIGH_LOAD * max_clients else SHORT_IDLE_TIMEOUT
            ):
                break
            idle_or_busy -= 1
            self.trimmed += self.end(connection)

    def finish_clients(self, idle: float = 0.0) -> bool:
        """Half-closes connections idle for `idle` seconds; returns whether no client is left.

        A request that has begun is not cut off; it has its own time limit. A request that crosses the
        half-close is not answered by a reset: its client sees the connection end without an answer, and
        sends it again.
        """
        for connection in self.crowd.resting(self.loop.now(), idle):
            if connection.sound():
                self.crowd.gone(connection)
                connection.half_close()
        return not self.clients

    def set_memory(self, streams: int, buffers: int) -> None:
        """Sets the bytes for long bodies and answers together, and for all other requests and answers."""
        self.room.resize(streams)
        self.memory.resize(buffers)

    def make_room(self) -> bool:
        """Closes an idle connection, to an endpoint or of a client; returns whether there was one."""
        return self.pool.make_room() or self.close_idle_client()

    def serve(self, client: Connection) -> Coroutine[None]:
        """Serves the requests of one connection."""
        side = ApplicationSide(self.core.settings.type_names, MOST_STREAM if self.streams else MOST_BODY)
        reader = RequestReader(client, side, self.memory, self.streams, self.core.expiry)
        self.readers[client], lease = reader, reader.lease
        while (message := (yield from self.next_message(client, side, reader))) is not None:
            self.crowd.gone(client)
            if isinstance(message, Ended):
                return
            if isinstance(message, Bad):
                yield from self.refuse(client, side, message)
                return
            try:
                if isinstance(message, Ask):
                    # A second copy of a request is refused, so that it is not executed twice.
                    if not self.claim(message):
                        yield from self.refuse(client, side, Bad(409, "this X-Request-ID is in use"))
                        return
                    reader.record_request(message)
                    exchange = self.exchange(client, side, message, reader.received_at, lease)
                    del message  # or its body would stay in memory while the client reads the answer
                    if not (yield from exchange):
                        yield from self.close_gracefully(client)
                        return
                else:
                    # During shutdown this process is not ready; its successor is, on the same address.
                    ready = self.core.listed and not self.leaving and self.loop.now() >= self.ready_from
                    close = self.closes(client, side)
                    yield from client.send(
                        side.answer(200 if ready else 503, b"", close), self.loop.now() + IDLE_TIMEOUT
                    )
                    if close:
                        yield from self.close_gracefully(client)
                        return
            except (Broken, Late):
                return
            lease.release()
            if not side.next_cycle():
                yield from self.close_gracefully(client)
                return
            if side.pending:
                # One client that sends many requests at once must not hold up all others.
                yield from self.loop.yield_turn()
            now = reader.waiting_since = reader.read_at = self.loop.now()
            if side.begun:  # the next request arrived with this one
                self.crowd.went_on(client, now)
            else:
                self.crowd.rests(client, now)

    def next_message(
        self, client: Connection, side: ApplicationSide, reader: RequestReader
    ) -> Coroutine[Message | None]:
        """Reads the next message; returns None where the connection is to be closed instead."""
        while (message := reader.next()) is None:
            rests = client in self.crowd.waiting
            try:
                yield from reader.read(math.inf if rests else self.request_deadline(side, reader))
            except MemoryShort:
                yield from self.reject(client, side)
                return None
            except (Broken, Unwanted):
                if reader.lease.revoked:
                    yield from self.refuse(client, side, Bad(408, "the request did not go on"))
                else:
                    yield from self.close_gracefully(client)
                return None
            except Late:
                if side.begun:
                    yield from self.refuse(client, side, Bad(408, "the request did not become whole"))
                return None
            if rests:
                reader.waiting_since = self.loop.now()
            self.crowd.went_on(client, self.loop.now())
        return message

    def request_deadline(self, side: ApplicationSide, reader: RequestReader) -> float:
        """Returns when more of a request must have come: by the pace of its body, and by its last bytes."""
        return min(reader.waiting_since + side.got / MIN_BODY_RATE, reader.read_at) + REQUEST_TIMEOUT

    def closes(self, client: Connection, side: ApplicationSide) -> bool:
        """Whether the connection closes with the answer that is being written.

        Requests that have already arrived behind it are answered first.
        """
        return self.closing and not side.follows() and not client.pending()

    def close_gracefully(self, client: Connection) -> Coroutine[None]:
        """Half-closes, and gives the client a moment to read to the end and close first.

        Bytes that are unread or on their way would turn a close into a reset, and the client would lose the
        last answer. Nothing is read meanwhile. Holds a descriptor for a client that does not close, but such
        a connection gives way to others like one that has not sent its first request.
        """
        if client.ended or client.closed:
            return
        client.half_close()
        self.crowd.came(client, self.loop.now())
        yield from client.await_end(self.loop.now() + CLOSE_TIMEOUT)

    def refuse(self, client: Connection, side: ApplicationSide, bad: Bad) -> Coroutine[None]:
        """Answers with an error and closes the connection, without the reset that would lose the answer."""
        log.debug("request refused", extra={"fields": {"status": bad.status, "why": bad.reason}})
        out = side.answer(bad.status, bad.reason.encode() + b"\n", close=True)
        yield from self.turn_away(client, side, bad.status, out)

    def reject(self, client: Connection, side: ApplicationSide) -> Coroutine[None]:
        """Rejects a request for which there was no memory in time, and closes the connection."""
        hold_off = min(MEMORY_RETRY_AFTER, self.core.settings.max_retry_after)
        yield from self.turn_away(client, side, REJECTED, side.rejected(hold_off, close=True))

    def turn_away(
        self, client: Connection, side: ApplicationSide, status: int, out: bytes
    ) -> Coroutine[None]:
        """Sends the last answer of a connection, and frees what has been received of its request."""
        self.refusals[status] += 1
        side.discard()
        self.readers[client].release()
        yield from self.last(client, out)

    def last(self, client: Connection, out: bytes) -> Coroutine[None]:
        """Sends the last answer of a connection, whose client may still be sending, and closes it."""
        until = self.loop.now() + LINGER_TIME
        try:
            yield from client.send(out, until)
        except (Broken, Late):
            client.close()
            return
        yield from self.discard_input(client, until)

    def discard_input(self, client: Connection, until: float) -> Coroutine[None]:
        """Half-closes behind an answer, discards what the client is still sending, and closes."""
        remaining = MAX_LINGER_BYTES
        # May be closed in favour of others, now that its answer is written.
        self.crowd.came(client, self.loop.now())
        client.end_sending()
        try:
            while remaining > 0:
                # Its length alone is kept, or each waiting connection would hold what it has read last.
                discarded = len((yield from client.await_bytes(until, lambda: client.closed)))
                if not discarded:
                    break
                remaining -= discarded
        except (Broken, Late, Unwanted):
            pass
        client.close()

    def exchange(
        self, client: Connection, side: ApplicationSide, ask: Ask, read_at: float, lease: MemoryLease
    ) -> Coroutine[bool]:
        """Submits a request and writes the final answer; returns whether the connection can be used further.

        `read_at` is when the bytes of this request were received. It can differ from when the connection
        last received any: more may have arrived while an earlier request of the same bytes was served.
        """
        type_index, wait, more = ask.type_index, ask.wait, ask.more

        def expiry() -> float:
            complete_at = streams.latest_end() if more else read_at
            return self.core.expiry(type_index, max(read_at, complete_at), wait)

        streams = Streams(client, side, lambda: self.closes(client, side), self.room, lease)
        streams.stated_length = ask.length
        streams.wait = self.core.expiry(type_index, self.loop.now(), wait) - self.loop.now()
        given = Given(
            ask.type_index,
            ask.key,
            ask.hint,
            ask.repeat,
            self.loop.now() + MAX_UPLOAD_TIME if ask.more else expiry(),
            StreamableRequest(ask, streams) if self.streams else ask,
            expiry if ask.more else None,
            tenant=ask.tenant,
            request_id=ask.request_id.decode("latin-1"),
        )
        request_id = ask.request_id
        self.open_ids.add(request_id)
        final: Final | None = None
        try:
            if more and self.streams and not (yield from self.admit(client, side, streams)):
                return False
            final = yield from self.taker.run(given, client.left)
        finally:
            streams.leave()
            self.open_ids.discard(request_id)
            self.settle_id(type_index, request_id, given.attempted, final)
        if isinstance(final, Left):
            self.left += 1
            log.debug("client left", extra={"fields": {"id": given.request_id}})
            streams.break_off()  # an answer without a length must not appear complete
            return False
        if isinstance(final, Finished) and isinstance(final.payload, Streamed):
            if ask.more and not streams.whole:
                yield from self.discard_input(client, self.loop.now() + LINGER_TIME)
                return False
            return streams.truncation_detectable and not streams.closed
        if isinstance(final, Broke):
            if streams.body_error is not None and not streams.begun:
                yield from self.refuse(client, side, Bad(streams.body_error.status, str(streams.body_error)))
            streams.break_off()
            return False
        close, incomplete = self.closes(client, side), ask.more and not streams.whole
        out = self.final(side, final, close)
        del final, given, ask  # or the request and a copy of the answer stay in memory while its client reads
        lease.resize(len(out))
        if incomplete:
            yield from self.last(client, out)
            return False
        yield from client.send(out, self.loop.now() + IDLE_TIMEOUT)
        return not close

    def claim(self, ask: Ask) -> bool:
        """Claims the id of a request; returns False if it is in use, or was used by one that may have run."""
        if ask.request_id in self.open_ids:
            return False
        settings = self.core.settings
        if settings.idempotent[ask.type_index]:
            return True
        most = MAX_UPLOAD_TIME if ask.more else 0.0
        until = self.loop.now() + most + settings.expiries[ask.type_index] + ID_RETENTION
        return self.request_ids.claim(ask.request_id, until)

    def settle_id(self, type_index: int, request_id: bytes, attempted: bool, final: Final | None) -> None:
        """Keeps the id of an ended request that may have been executed, and allows all others again."""
        if self.core.settings.idempotent[type_index]:
            return
        if attempted and not (isinstance(final, Rejected) and not final.ran):
            retention = SERVED_ID_RETENTION if isinstance(final, Finished) else ID_RETENTION
            self.request_ids.keep(request_id, self.loop.now() + retention)
        else:
            self.request_ids.release(request_id)

    def admit(self, client: Connection, side: ApplicationSide, streams: Streams) -> Coroutine[bool]:
        """Waits for the memory of a long body; returns False where it was rejected or its client left.

        No attempt is begun before: its time would pass, and its endpoint would be taken for the cause.
        """

        def unwanted() -> bool:
            now = self.loop.now()
            overdue = now >= client.came + streams.wait and streams.may_be_whole()
            return overdue or now >= self.core.last_answer or client.left()

        try:
            yield from streams.enter(self.loop.now() + IDLE_TIMEOUT, unwanted)
        except (Late, Unwanted):
            if client.left():
                self.left += 1
            else:
                yield from self.reject(client, side)
            return False
        return True

    def final(self, side: ApplicationSide, final: Final, close: bool) -> bytes:
        """Encodes a final answer."""
        if isinstance(final, Finished):
            payload = final.payload
            return side.finished(payload.body, payload.headers, close, payload.length)
        if isinstance(final, Rejected):
            return side.rejected(final.hold_off, close)
        return side.answer(TERMINATED, b"", close)
