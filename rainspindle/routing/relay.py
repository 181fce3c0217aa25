"""The coroutines that relay exchanges: taken from the application, forwarded as the facade answers."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from itertools import islice

from ..host import Listed, Outcome, State
from ..must import must
from ..protocol.application import TERMINATED, ApplicationSide, Ask, Bad, Ended
from ..protocol.client import Unreadable
from ..protocol.endpoint import Answered, EndpointSide
from ..protocol.settings import SocketSettings
from ..transport.address import Address, address_text
from ..transport.connection import Broken, Connection, Late, OutOfSockets, Unwanted
from ..transport.loop import Coroutine, Loop, Task
from ..transport.pool import Peer, Pool
from .facade import Did, Facade, Reject, SendThere, Step, Terminate

ANSWER_TIME, ANSWER_PART = 0.015, 0.05  # kept back before the expiry to write the answer, the smaller one
REQUEST_TIME = 2.0  # from connecting, or from the first byte of a later request, until the request is whole
UNASKED_TIME = 0.5  # after which a client that still owes its request gives way to others
FEW, MANY = 0.4, 0.55  # parts of the cap on clients, over which connections end that wait for a request
LONG_WAIT, SHORT_WAIT = 2.0, 0.25  # for so long, over the one and over the other
LOOKS = 4  # at clients that might be ended for another, of each sort
LINGER, MOST_LINGER = 1.0, 256 * 1024  # seconds and bytes read on after a refusal


class Held:
    """An exchange under way: what the module has decided for it and its coroutine has not yet done."""

    def __init__(self, task: Task) -> None:
        self.task = task
        self.steps: deque[Step] = deque()
        self.out: int | None = None  # the number of the forward that is out
        self.called_off = self.left = False
        self.lag = 0.0  # how long the last answer lay unread


class Relay:
    def __init__(self, loop: Loop, facade: Facade, pool: Pool, settings: SocketSettings, most_clients: int,
                 on_watch: Callable[[], None]) -> None:
        self.loop, self.facade, self.pool, self.settings = loop, facade, pool, settings
        self.most_clients, self.on_watch = most_clients, on_watch
        self.addresses: dict[str, Address] = {}
        self.started: dict[str, float | None] = {}
        self.heard: dict[str, float] = {}  # when an answer last came whole, by endpoint
        self.held: dict[int, Held] = {}
        self.open_ids: set[bytes] = set()
        self.taken = 0
        self.clients: dict[Connection, None] = {}
        self.waiting: dict[Connection, float] = {}  # since when, those between requests
        self.asking: dict[Connection, float] = {}  # since when, those that owe a whole request
        self.leaving = self.closing = False  # SIGTERM has come; connections end with their next answer
        self.last_answer = math.inf  # when the last exchange must be answered, on the way out
        self.ready, self.ready_from = False, -math.inf
        self.looks_at = -math.inf
        self.ticker = loop.spawn(loop.lasting(self.tick))
        self.apply(facade.taken())

    # What the module did.

    def apply(self, did: Did) -> None:
        for exchange, step in did.steps:
            held = self.held[exchange]
            held.steps.append(step)
            if held.task is not self.loop.current:
                held.task.wake()
        for exchange, number in did.called_off:
            waiting = self.held.get(exchange)
            if waiting is not None and waiting.out == number:
                waiting.called_off = True
                waiting.task.wake()
        for endpoint in did.close_idle:
            if endpoint in self.addresses:
                self.pool.drop_all((endpoint, self.addresses[endpoint]))
        if did.watch:
            self.on_watch()
        if did.wake_at < self.looks_at:
            self.ticker.wake()

    def tick(self) -> Coroutine[None]:
        while True:
            self.looks_at = -math.inf  # awake
            did = self.facade.tick(self.loop.now())
            self.apply(did)
            out = sum((h.out is not None) + sum(isinstance(s, SendThere) for s in h.steps)
                      for h in self.held.values())
            must(out == self.facade.in_flight(), "the module believes in flight what is in flight")
            self.pool.sweep()
            self.trim_clients()
            self.looks_at = min(did.wake_at, self.loop.now() + 1.0)
            yield self.looks_at

    # The list.

    def list_changed(self, lines: tuple[Listed, ...], addresses: dict[str, Address], whole: bool,
                     stale: bool) -> None:
        before = self.addresses
        gone = {line.id for line in lines if line.state is State.GONE}
        named = addresses if whole else {**before, **addresses}
        # Guards against growth: the ids of endpoints are ever new.
        self.addresses = {id: address for id, address in named.items() if id not in gone}
        for line in lines:
            # Guards against connections to a machine that has vanished: they stay open and silent.
            if line.id in before and line.started is not None and line.started != self.started.get(line.id):
                self.pool.drop_all((line.id, before[line.id]))
            self.started[line.id] = line.started
        for id, address in before.items():
            if self.addresses.get(id) != address:
                self.pool.drop_all((id, address))
        self.started = {id: at for id, at in self.started.items() if id in self.addresses}
        self.heard = {id: at for id, at in self.heard.items() if id in self.addresses}
        self.apply(self.facade.list_changed(self.loop.now(), lines, whole, stale))
        self.ready = self.ready or bool(lines) or not stale

    def list_failed(self) -> None:
        self.apply(self.facade.list_failed(self.loop.now()))

    # Clients.

    def accepted(self, connection: Connection) -> None:
        if len(self.clients) >= self.most_clients:
            self.close_idle_client()
        self.clients[connection], self.asking[connection] = None, self.loop.now()
        self.loop.spawn(self.serve(connection), lambda: self.gone(connection))

    def gone(self, connection: Connection) -> None:
        self.clients.pop(connection, None)
        self.waiting.pop(connection, None)
        self.asking.pop(connection, None)
        connection.close()

    def close_idle_client(self, hasty: bool = True) -> bool:
        """Ends the connection that is missed the least; its coroutine sees the end.

        Guards against a flood of clients that say nothing: they go before those that have asked. If `hasty`,
        one may have only just come, or of many that come at once none could be ended for the next."""
        now = self.loop.now()
        order = (self.asking, UNASKED_TIME), (self.waiting, 0.0), (self.asking, 0.0)
        for group, least in order[:2 + hasty]:
            # Guards against looking at all for each that comes: under overload nearly all have sent more.
            for connection, since in islice(group.items(), LOOKS):
                if now - since < least:
                    break
                if connection.sound():
                    connection.wake()
                    self.gone(connection)
                    return True
        return False

    def trim_clients(self) -> None:
        """Ends connections that wait long while many are open.

        Guards against clients that ask once and keep theirs for good: the application opens only so many, and
        then the others have none left, though none of ours is short."""
        now, most = self.loop.now(), self.most_clients
        asked = len(self.clients) - len(self.asking)  # those that owe their request are ended otherwise
        for connection, since in list(islice(self.waiting.items(), max(0, asked - int(FEW * most)))):
            if now - since < (LONG_WAIT if asked <= MANY * most else SHORT_WAIT):
                break
            asked -= 1
            if connection.sound():
                connection.wake()
                self.gone(connection)

    def finish_clients(self) -> bool:
        """On the way out: ends the connections with no request under way; whether none is left."""
        while self.close_idle_client(hasty=False):
            pass
        return not self.clients

    def make_room(self) -> bool:
        return self.pool.make_room() or self.close_idle_client()

    def serve(self, client: Connection) -> Coroutine[None]:
        side = ApplicationSide(self.settings.type_names)
        until = self.loop.now() + REQUEST_TIME
        while True:
            message = side.next()
            if message is None:
                try:
                    if side.wants_continue:
                        yield from client.send(side.go_on(), until)
                    data = yield from client.await_bytes(until, lambda: client.closed)
                except (Broken, Unwanted):
                    return
                except Late:
                    if side.begun:
                        yield from self.refuse(client, side, Bad(408, "the request did not become whole"))
                    return
                if self.waiting.pop(client, None) is not None:
                    self.asking[client] = self.loop.now()
                    until = self.loop.now() + REQUEST_TIME
                side.receive(data)
                continue
            self.asking.pop(client, None)
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
                    out = yield from self.relay(client, side, message)
                else:
                    # One that leaves is not ready: its successor is, under the same address.
                    ready = self.ready and not self.leaving and self.loop.now() >= self.ready_from
                    out = side.answer(200 if ready else 503, b"", self.closing)
                if out is None:
                    return
                surplus = client.receive()  # sent while the request was open: not a request of its own
                yield from client.send(out, self.loop.now() + 5.0)
            except (Broken, Late):
                return
            if surplus or not side.next_cycle():
                return
            self.waiting[client], until = self.loop.now(), math.inf

    def refuse(self, client: Connection, side: ApplicationSide, bad: Bad) -> Coroutine[None]:
        """Answers, then reads on for a moment: else the answer would be lost in a reset."""
        until, left = self.loop.now() + LINGER, MOST_LINGER
        self.asking.pop(client, None)
        self.asking[client] = self.loop.now()  # may be ended for others
        try:
            yield from client.send(side.answer(bad.status, bad.reason.encode() + b"\n", close=True), until)
            client.end_sending()
            while left > 0 and (data := (yield from client.await_bytes(until, lambda: client.closed))):
                left -= len(data)
        except (Broken, Late, Unwanted):
            pass

    # One exchange.

    def relay(self, client: Connection, side: ApplicationSide, ask: Ask) -> Coroutine[bytes | None]:
        """The bytes of the final answer; None when the client has left."""
        task = self.loop.current
        assert task is not None
        expiry = self.settings.expiries[ask.type_index]
        wait = expiry if ask.wait is None else min(ask.wait, expiry)
        expires_at = min(client.came + wait - min(ANSWER_TIME, ANSWER_PART * wait), self.last_answer)
        self.taken += 1
        exchange = self.taken  # the request's own id may come twice, when a client sends it once more
        held = self.held[exchange] = Held(task)
        self.open_ids.add(ask.request_id)
        try:
            self.apply(self.facade.pick(self.loop.now(), exchange, ask.type_index, ask.key, ask.hint,
                                        expires_at, ask.repeat))
            return (yield from self.follow(client, side, ask, exchange, held, expires_at))
        except Exception as fault:  # a defect: the client still gets its one answer, the module forgets it
            self.loop.on_fault(fault)
            self.apply(self.facade.left(self.loop.now(), exchange))
            if held.out is not None:
                self.facade.report(self.loop.now(), exchange, held.out, Outcome.CALLED_OFF, over=True)
            return side.answer(TERMINATED, b"", self.closing)
        finally:
            del self.held[exchange]
            self.open_ids.discard(ask.request_id)

    def follow(self, client: Connection, side: ApplicationSide, ask: Ask, exchange: int, held: Held,
               expires_at: float) -> Coroutine[bytes | None]:
        """Does the steps that the module decides, until there is a final answer."""
        def left() -> bool:
            if client.ended and not held.left:
                held.left = True
                self.apply(self.facade.left(self.loop.now(), exchange))
            return held.left

        while held.steps:
            step = held.steps.popleft()
            must(not held.steps, "one step at a time for an exchange")
            if isinstance(step, Reject):
                return side.rejected(step.hold_off, self.closing)
            if isinstance(step, Terminate):
                return side.answer(TERMINATED, b"", self.closing)
            held.out = step.number
            until = min(self.loop.now() + step.patience, expires_at)
            outcome, answer = yield from self.forward(
                ask, step, until, held, before=lambda: left() or held.called_off,
                after=lambda: (left() or True) and held.called_off)
            held.out, held.called_off = None, False
            self.apply(self.facade.report(
                self.loop.now(), exchange, step.number, outcome, held.left, held.lag))
            if held.left:
                return None
            if answer is not None and outcome is Outcome.SERVED:
                return side.finished(answer.body, answer.headers, self.closing)
        must(False, "an exchange is held with nothing sent")
        return side.answer(TERMINATED, b"", self.closing)

    def forward(self, ask: Ask, step: SendThere, until: float, held: Held, before: Callable[[], bool],
                after: Callable[[], bool]) -> Coroutine[tuple[Outcome, Answered | None]]:
        """One forward: what came of it, and the endpoint's answer if there is one.

        Given up when `before` holds until the last byte is written, and then when `after` does."""
        address = self.addresses.get(step.endpoint)
        if address is None:
            return Outcome.UNSENT, None
        peer: Peer = (step.endpoint, address)
        binding = self.settings.binding[ask.type_index]
        connection = self.pool.take(peer, binding)
        if connection is None:
            try:
                # Guards against a drain told while it connects: the first byte is sent within the grace.
                connect_time = min(self.settings.connect_times[ask.type_index], self.settings.drain_grace)
                connect_until = min(until, self.loop.now() + connect_time)
                connection = yield from self.pool.connect(peer, connect_until, binding, before)
            except OutOfSockets:
                return Outcome.UNSENT, None
            except (Broken, Late):
                return Outcome.UNCONNECTED, None
            except Unwanted:
                return Outcome.CALLED_OFF, None
        kept = False
        try:
            if before():  # nothing is sent for a client that has left
                return Outcome.CALLED_OFF, None
            call, sent_at = EndpointSide(), self.loop.now()
            out = call.forward(ask, address_text(address).encode(), until - self.loop.now())
            try:
                yield from connection.send(out, until, before)
            except (Broken, Late):
                # An endpoint begins when the last byte has come, and it was not written.
                return Outcome.UNCONNECTED, None
            try:
                answer = None
                while answer is None:
                    answer = call.receive((yield from connection.await_bytes(until, after)))
            except Late:
                # Guards against further writes to a machine that has vanished: its idle connections stay open
                # and silent, where a new one fails as unconnected, so that even a binding exchange goes on.
                if self.heard.get(step.endpoint, -math.inf) < sent_at:
                    self.pool.drop_all(peer)
                return Outcome.TIMED_OUT, None
            except (Broken, Unreadable):
                return Outcome.RESET, None
            self.heard[step.endpoint] = self.loop.now()
            held.lag = self.loop.now() - (connection.came + connection.seen) / 2
            kept = answer.reusable
            return answer.outcome, answer
        except Unwanted:
            return Outcome.CALLED_OFF, None
        finally:
            if kept and self.addresses.get(step.endpoint) == address:
                self.pool.keep_idle(peer, connection)
            else:
                self.pool.close(connection)
