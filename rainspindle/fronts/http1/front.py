"""The application's connections: requests read, handed on as exchanges, answered."""

from __future__ import annotations

import math
from itertools import islice

from ...decisions.operation.crowd import Crowd
from ...protocol.application import MOST_BODY, MOST_STREAM, TERMINATED, ApplicationSide, Ask, Bad, Ended
from ...routing.core import Broke, Core, Final, Finished, Given, Left, Rejected, Taker
from ...transport.connection import Broken, Connection, Late, Unwanted
from ...transport.loop import Coroutine, Loop
from ...transport.pool import Pool
from .back import Passed
from .room import Room
from .stream import SILENCE, Carried, Streams

# A request must be whole so many seconds after connecting, or after the first byte of a later one: a client
# may take 2 s for its head; for its body it has the time that it would take at a rate near 64 kB a second.
REQUEST_TIME, SLOWEST = 2.4, 56_000.0
MOST_UPLOAD = 1200.0  # seconds that a long body may take at the most: 32 MB at half of that rate
FEW, MANY = 0.4, 0.55  # parts of the cap on clients, over which connections end that wait for a request
LONG_WAIT, SHORT_WAIT = 2.0, 0.25  # for so long, over the one and over the other
LINGER, MOST_LINGER = 1.0, 256 * 1024  # seconds and bytes read on after a refusal
CLOSE_WAIT = 0.5  # seconds for which a half-closed connection waits for its client to close too


class HttpFront:
    def __init__(
        self,
        loop: Loop,
        core: Core,
        taker: Taker,
        pool: Pool,
        most_clients: int,
        room: int = 32 * 1024 * 1024,
    ) -> None:
        """Exchanges go to `taker`; the core says when they expire. `room`: bytes for long bodies and answers,
        which are passed on piece by piece; 0 where the back is not of this protocol."""
        self.streams, self.room = room > 0, Room(loop, room)
        self.loop, self.core, self.taker, self.pool = loop, core, taker, pool
        self.most_clients = most_clients
        self.open_ids: set[bytes] = set()
        self.clients: dict[Connection, None] = {}
        self.crowd: Crowd[Connection] = Crowd()
        self.leaving = self.closing = False  # SIGTERM has come; connections end with their next answer
        self.ready_from = -math.inf

    def accepted(self, connection: Connection) -> bool:
        """Takes a connection; False where every place is in use and no client gives way.

        On the way out all are taken: the listening socket closes next, and what it holds is lost with it."""
        if not self.has_place() and not self.leaving:
            return False
        self.clients[connection] = None
        self.count_lent()
        self.crowd.came(connection, self.loop.now())
        self.loop.spawn(self.serve(connection), lambda: self.gone(connection))
        return True

    def has_place(self) -> bool:
        """Whether one more client may come: in a free place, an idle client's, or one that endpoints lend.

        Guards against clients, all with a request under way, that take the descriptors kept for discovery,
        the console and files."""
        return len(self.clients) < self.most_clients or self.close_idle_client() or self.pool.can_lend()

    def count_lent(self) -> None:
        self.pool.lent = max(0, len(self.clients) - self.most_clients)

    def gone(self, connection: Connection) -> None:
        self.clients.pop(connection, None)
        self.count_lent()
        self.crowd.gone(connection)
        connection.close()

    def close_idle_client(self) -> bool:
        """Ends the connection that is missed the least; its coroutine sees the end."""
        return any(self.end(one) for one in self.crowd.give_way(self.loop.now()))

    def end(self, connection: Connection) -> bool:
        """Ends a connection, but where bytes lie unread: then it is about to go on."""
        if not connection.sound():
            return False
        connection.wake()
        self.gone(connection)
        return True

    def trim_clients(self) -> None:
        """Ends connections that wait long while many are open.

        Guards against clients that ask once and keep theirs for good: the application opens only so many, and
        then the others have none left, though none of ours is short."""
        now, most = self.loop.now(), self.most_clients
        asked = self.crowd.asked(len(self.clients))  # those that owe their request are ended otherwise
        over = max(0, asked - int(FEW * most))
        for connection, since in list(islice(self.crowd.waiting.items(), over)):
            if now - since < (LONG_WAIT if asked <= MANY * most else SHORT_WAIT):
                break
            asked -= 1
            self.end(connection)

    def finish_clients(self, idle: float = 0.0) -> bool:
        """Half-closes the connections with no request for so many seconds; whether no client is left.

        Guards against cutting off a request that has begun: it has its own time to become whole; and against
        a reset over a request that crosses: its client sees an end with no answer, and sends it again."""
        for connection in self.crowd.resting(self.loop.now(), idle):
            if connection.sound():
                self.crowd.gone(connection)
                connection.half_close()
        return not self.clients

    def set_stream_memory(self, size: int) -> None:
        self.room.resize(size)

    def make_room(self) -> bool:
        return self.pool.make_room() or self.close_idle_client()

    def serve(self, client: Connection) -> Coroutine[None]:
        side = ApplicationSide(self.core.settings.type_names, MOST_STREAM if self.streams else MOST_BODY)
        since = came = self.loop.now()
        while True:
            message = side.next()
            if message is None:
                owes = since + REQUEST_TIME + side.got / SLOWEST
                until = math.inf if client in self.crowd.waiting else owes
                try:
                    if side.wants_continue:
                        yield from client.send(side.go_on(), until)
                    data = yield from client.await_bytes(until, lambda: client.closed)
                except (Broken, Unwanted):
                    yield from self.close_gracefully(client)
                    return
                except Late:
                    if side.begun:
                        yield from self.refuse(client, side, Bad(408, "the request did not become whole"))
                    return
                if client in self.crowd.waiting:
                    since = self.loop.now()
                came = client.came
                side.receive(data)
                self.crowd.went_on(client, self.loop.now())
                continue
            self.crowd.gone(client)
            if isinstance(message, Ended):
                return
            if isinstance(message, Bad):
                yield from self.refuse(client, side, message)
                return
            try:
                if isinstance(message, Ask):
                    # Guards against a second copy, sent for another's open request.
                    if message.request_id in self.open_ids:
                        yield from self.refuse(client, side, Bad(409, "this X-Request-ID is under way"))
                        return
                    if not (yield from self.exchange(client, side, message, came)):
                        yield from self.close_gracefully(client)
                        return
                else:
                    # One that leaves is not ready: its successor is, under the same address.
                    ready = self.core.listed and not self.leaving and self.loop.now() >= self.ready_from
                    close = self.closes(client, side)
                    yield from client.send(
                        side.answer(200 if ready else 503, b"", close), self.loop.now() + SILENCE
                    )
                    if close:
                        yield from self.close_gracefully(client)
                        return
            except (Broken, Late):
                return
            if not side.next_cycle():
                yield from self.close_gracefully(client)
                return
            if side.pending:
                # Guards against one client's many requests, sent at once, that hold up all others.
                yield from self.loop.yield_turn()
            since = self.loop.now()
            if side.begun:  # the next one came with it
                self.crowd.went_on(client, since)
            else:
                self.crowd.rests(client, since)

    def closes(self, client: Connection, side: ApplicationSide) -> bool:
        """Whether a connection ends with the answer that is written now.

        Guards against a close on requests that came together: the last of them is answered before it."""
        return self.closing and not side.follows() and not client.pending()

    def close_gracefully(self, client: Connection) -> Coroutine[None]:
        """Half-closes, and gives the client a moment to read to the end and close before it is closed here.

        Guards against a reset, by bytes that are unread or on their way, that takes the last answer along.
        Nothing is read meanwhile. May hurt by a descriptor held for a client that does not close: it gives
        way to others as one that owes its first request does."""
        if client.ended or client.closed:
            return
        client.half_close()
        self.crowd.came(client, self.loop.now())
        yield from client.await_end(self.loop.now() + CLOSE_WAIT)

    def refuse(self, client: Connection, side: ApplicationSide, bad: Bad) -> Coroutine[None]:
        """Answers, then reads on for a moment: else the answer would be lost in a reset."""
        yield from self.last(client, side.answer(bad.status, bad.reason.encode() + b"\n", close=True))

    def last(self, client: Connection, out: bytes) -> Coroutine[None]:
        """Sends an answer while the client may still be sending."""
        until = self.loop.now() + LINGER
        try:
            yield from client.send(out, until)
        except (Broken, Late):
            client.close()
            return
        yield from self.read_on(client, until)

    def read_on(self, client: Connection, until: float) -> Coroutine[None]:
        """Ends the sending side behind an answer, drops what its client is still sending, and closes."""
        left = MOST_LINGER
        self.crowd.came(client, self.loop.now())  # may be ended for others, now that its answer is written
        client.end_sending()
        try:
            while left > 0 and (data := (yield from client.await_bytes(until, lambda: client.closed))):
                left -= len(data)
        except (Broken, Late, Unwanted):
            pass
        client.close()

    def exchange(
        self, client: Connection, side: ApplicationSide, ask: Ask, read_at: float
    ) -> Coroutine[bool]:
        """Hands an exchange over and gives its client the final answer; whether the connection goes on.

        `read_at` is when the bytes came of which this request is a part: while an earlier request of the same
        bytes was served, others may have come, and their time is not this one's."""

        def expiry() -> float:  # of a body that is still coming: as if it were whole by now
            came = self.loop.now() if ask.more and not streams.whole else max(read_at, streams.whole_at)
            return self.core.expiry(ask.type_index, came, ask.wait)

        streams = Streams(self.loop, client, side, lambda: self.closes(client, side), self.room)
        given = Given(
            ask.type_index,
            ask.key,
            ask.hint,
            ask.repeat,
            self.loop.now() + MOST_UPLOAD if ask.more else expiry(),
            Carried(ask, streams) if self.streams else ask,
            expiry if ask.more else None,
            tenant=ask.tenant,
            request_id=ask.request_id.decode("latin-1"),
        )
        # The request's own id may come again, when a client sends it once more, but not while it is open.
        self.open_ids.add(ask.request_id)
        try:
            final = yield from self.taker.run(given, client.left)
        finally:
            streams.leave()
            self.open_ids.discard(ask.request_id)
        if isinstance(final, Left):
            streams.break_off()  # an answer without a length must not seem whole
            return False
        if isinstance(final, Finished) and isinstance(final.payload, Passed):
            if ask.more and not streams.whole:
                yield from self.read_on(client, self.loop.now() + LINGER)
                return False
            return streams.framed and not streams.closed
        if isinstance(final, Broke):
            if streams.cut is not None and not streams.begun:
                yield from self.refuse(client, side, Bad(streams.cut.status, str(streams.cut)))
            streams.break_off()
            return False
        close = self.closes(client, side)
        out = self.final(side, final, close)
        if ask.more and not streams.whole:
            yield from self.last(client, out)
            return False
        yield from client.send(out, self.loop.now() + SILENCE)
        return not close

    def final(self, side: ApplicationSide, final: Final, close: bool) -> bytes:
        if isinstance(final, Finished):
            payload = final.payload
            return side.finished(payload.body, payload.headers, close, payload.length)
        if isinstance(final, Rejected):
            return side.rejected(final.hold_off, close)
        return side.answer(TERMINATED, b"", close)
