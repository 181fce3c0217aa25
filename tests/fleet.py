"""A recording host that checks the four rules at every act, and stand-ins for the sockets' other ends."""

from __future__ import annotations

import contextlib
import json
import socket
import struct
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

import h11

from rainspindle.balancer.balancer import Balancer
from rainspindle.balancer.config import BalancerConfig, RetryLimits
from rainspindle.balancer.host import (
    NEVER_EXECUTED,
    AttemptEnd,
    AttemptOutcome,
    DeduplicationScope,
    EndpointListUpdate,
    EndpointStatus,
    Idempotency,
    IncomingRequest,
    LearnedState,
    ListedEndpoint,
    Timer,
    TrafficClass,
)
from rainspindle.balancer.slow_start import SlowStartBudget
from rainspindle.fronts.http1.back import HttpBack
from rainspindle.fronts.http1.front import HttpFront
from rainspindle.protocol.discovery import ListDecoder
from rainspindle.protocol.settings import make_balancer, socket_settings
from rainspindle.routing.core import Core, Directory
from rainspindle.routing.facade import Facade
from rainspindle.transport.connection import Listener
from rainspindle.transport.loop import Loop
from rainspindle.transport.pool import Pool

MULTIPLE, WINDOW, COLD_FROM, COLD, GRACE = 2.5, 3.0, 0.15, 24.0, 0.5


def kind(
    effect: Idempotency = Idempotency.IDEMPOTENT,
    group: DeduplicationScope = DeduplicationScope.ALL,
    value: float = 1.0,
) -> TrafficClass:
    return TrafficClass(effect, group, 0.6, 2.0, 0.15, value)


def line(
    n: int,
    state: EndpointStatus = EndpointStatus.READY,
    started: float | None = None,
    zone: int | None = None,
    share: float = 1.0,
    machine: int = 0,
) -> ListedEndpoint:
    return ListedEndpoint(f"e{n}", n // 2, n % 2 if zone is None else zone, share, state, started, machine)


@dataclass
class Sent:
    endpoint: str
    at: float
    patience: float
    outcome: AttemptOutcome | None = None

    def may_have_run(self) -> bool:
        return self.outcome not in NEVER_EXECUTED


@dataclass
class Held:
    type: TrafficClass
    expires: float
    tenant: int | None = None
    sent: list[Sent] = field(default_factory=list)
    answer: str | None = None


class Fleet:
    """One Balancer with time, the list as it was told, and every exchange it was given."""

    def __init__(
        self,
        types: list[TrafficClass],
        lines: Iterable[ListedEndpoint],
        *,
        parallel: bool = False,
        max_forwards: int = 4,
        call_off: bool = True,
        cross_price: float = 0.02,
        shares: bool = True,
        seed: int = 7,
        peers: int = 4,
        further: tuple[float, float, float] | None = None,
        audits_cold: bool = True,
        **pool: Any,
    ) -> None:
        """`pool`: settings of the module for sidecars that tell one another."""
        self.audits_cold = audits_cold  # by what warm ones answer; where a test has its own count, not
        self.now, self.parallel, self.may_call_off = 1000.0, parallel, call_off
        self.max_forwards = max_forwards
        self.further, self.arrived, self.went_again = further, list[float](), list[float]()
        self.types, self.held = types, dict[int, Held]()
        self.told: dict[str, ListedEndpoint] = {}
        self.told_unready: dict[str, float] = {}
        self.cold_sent: dict[str, list[float]] = {}
        self.left_out: set[str] = set()
        self.put_back_at: dict[str, float] = {}
        self.timers: list[tuple[float, str]] = []
        self.told_peers: list[tuple[Sequence[int], Sequence[int], bool] | LearnedState] = []
        self.logs: list[str] = []
        self.watches, self.held_off = 0, -1.0
        self.called_off: list[tuple[int, int]] = []
        config = BalancerConfig(
            tuple(types),
            SlowStartBudget(MULTIPLE, WINDOW, COLD_FROM, COLD),
            sidecar_count=peers,
            max_attempts=max_forwards,
            parallel_attempts=parallel,
            can_cancel=call_off,
            max_retry_after=1.0,
            use_listed_weights=shares,
            cross_zone_price=cross_price,
            retry_limits=RetryLimits(*further) if further else None,
            **pool,
        )
        self.balancer = Balancer(self, config, seed, self.now)
        self.tell(lines, whole=True)

    # What can happen.

    def tell(self, lines: Iterable[ListedEndpoint], whole: bool = False) -> None:
        lines = list(lines)
        named = {x.id: x for x in lines}
        if whole:
            for id, known in self.told.items():
                named.setdefault(
                    id, ListedEndpoint(id, known.cell, known.zone, 1.0, EndpointStatus.GONE, known.started_at)
                )
        for id, x in named.items():
            if x.status is EndpointStatus.READY:
                self.told_unready.pop(id, None)
            else:
                self.told_unready.setdefault(id, self.now)
            if x.started_at and (id not in self.told or self.told[id].started_at != x.started_at):
                self.cold_sent[id] = []
            self.told[id] = x
        self.balancer.on_list_changed(self.now, EndpointListUpdate(lines, whole))
        self.check()

    def leave_out(self, id: str) -> None:
        self.left_out.add(id)
        self.balancer.disable_endpoint(id)
        self.check()

    def put_back(self, id: str) -> None:
        if id in self.left_out:
            self.left_out.remove(id)
            self.put_back_at[id], self.cold_sent[id] = self.now, []
        self.balancer.enable_endpoint(self.now, id)
        self.check()

    def arrive(
        self,
        id: int,
        type_index: int = 0,
        key: str | None = "k",
        wait: float = 2.0,
        repeat: bool = False,
        tenant: int | None = None,
    ) -> Held:
        held = self.held[id] = Held(self.types[type_index], self.now + wait, tenant)
        self.arrived.append(self.now)
        incoming = IncomingRequest(id, type_index, key, held.expires, repeat, tenant=tenant)
        self.balancer.on_request_arrived(self.now, incoming)
        self.check()
        return held

    def end(self, id: int, number: int, outcome: AttemptOutcome) -> None:
        held = self.held[id]
        assert held.sent[number].outcome is None
        held.sent[number].outcome = outcome
        if outcome is AttemptOutcome.SERVED and held.answer is None:
            held.answer = "finished"
        end = AttemptEnd(id, number, outcome, held.answer is not None)
        self.balancer.on_attempt_ended(self.now, end)
        self.check()

    def leave(self, id: int) -> None:
        self.held[id].answer = self.held[id].answer or "left"
        self.balancer.on_client_disconnected(id)
        self.check()

    def wait(self, seconds: float) -> None:
        """Let time pass; forwards whose patience or expiry is over time out, timers fall due."""
        until = self.now + seconds
        while True:
            due = [(t, 0, token, -1) for t, token in self.timers]
            due += [
                (min(s.at + s.patience, h.expires), 1, str(id), n)
                for id, h in self.held.items()
                for n, s in enumerate(h.sent)
                if s.outcome is None
            ]
            due = [d for d in due if d[0] <= until]
            if not due:
                break
            at, timed_out, name, number = min(due)
            self.now = max(self.now, at)
            if timed_out:
                self.end(int(name), number, AttemptOutcome.TIMED_OUT)
            else:
                self.timers.remove((at, name))
                self.balancer.on_timer(self.now, Timer(name))
                self.check()
        self.now = until

    def publish_load(self, started: Sequence[int], ended: Sequence[int], complete: bool) -> None:
        self.told_peers.append((started, ended, complete))

    def publish_learned_state(self, state: LearnedState) -> None:
        self.told_peers.append(state)

    def open(self) -> list[tuple[int, int]]:
        return [(id, n) for id, h in self.held.items() for n, s in enumerate(h.sent) if s.outcome is None]

    # The rules.

    def check(self) -> None:
        for id, held in self.held.items():
            assert held.answer or any(s.outcome is None for s in held.sent), f"{id} is held with nothing sent"

    def final(self, id: int, answer: str) -> None:
        held = self.held[id]
        assert held.answer is None, "rule 1: a second final answer"
        ran = [s for s in held.sent if s.may_have_run()]
        if answer == "rejected" and ran:
            assert held.type.idempotency is Idempotency.IDEMPOTENT or (
                held.type.idempotency is Idempotency.DEDUPLICATED
                and held.type.deduplication_scope is DeduplicationScope.ALL
            ), "rule 2: rejected"
        held.answer = answer

    def send_attempt(self, exchange: int, endpoint: str, patience: float) -> None:
        held = self.held[exchange]
        assert held.answer is None and self.now < held.expires, "rule 1: sent after the end"
        assert len(held.sent) < self.max_forwards
        ran = [s for s in held.sent if s.may_have_run()]
        assert self.parallel or all(s.outcome for s in held.sent), "rule 2: two at once"
        if ran:
            first, to = self.told[ran[0].endpoint], self.told[endpoint]
            assert held.type.idempotency is not Idempotency.NON_IDEMPOTENT, (
                "rule 2: a binding exchange went again"
            )
            if held.type.idempotency is Idempotency.DEDUPLICATED:
                assert self.now - ran[0].at < held.type.deduplication_window, "rule 2: past the memory span"
                assert held.type.deduplication_scope is DeduplicationScope.ALL or (
                    first.zone == to.zone
                    if held.type.deduplication_scope is DeduplicationScope.ZONE
                    else first.cell == to.cell
                ), "rule 2: outside the group"
        assert endpoint not in self.told_unready, "rule 3: sent to an endpoint that is not ready"
        assert endpoint not in self.left_out, "rule 3: sent to an endpoint that the staff left out"
        started = max(self.told[endpoint].started_at or -1e9, self.put_back_at.get(endpoint, -1e9))
        if self.now - started < COLD and self.audits_cold:
            sent = self.cold_sent[endpoint]
            sent.append(self.now)
            recent = sum(self.now - t <= WINDOW for t in sent)
            assert recent <= max(1.0, self.fair_share(self.now - started)), "rule 4: over the cold budget"
        if held.sent and self.further:
            self.went_again.append(self.now)
            free, share, window = self.further
            again = sum(self.now - at <= window for at in self.went_again)
            taken = sum(self.now - at < window for at in self.arrived)
            assert again <= free + share * taken, "the budget of forwards is broken"
        held.sent.append(Sent(endpoint, self.now, patience))

    def fair_share(self, age: float) -> float:
        """What one sidecar may send a cold endpoint: that multiple of what it has seen warm ones answer."""
        served = sum(s.outcome is AttemptOutcome.SERVED for h in self.held.values() for s in h.sent)
        warm = sum(
            e.status is EndpointStatus.READY and not (e.started_at and self.now - e.started_at < COLD)
            for e in self.told.values()
        )
        ready = len(self.told) - len(self.told_unready)
        most = served / max(1, warm or ready) / max(1.0, min(5.0, self.now - 1000.0))
        return MULTIPLE * (COLD_FROM + (1 - COLD_FROM) * age / COLD) * WINDOW * most

    # The other acts.

    def reject(self, exchange: int, hold_off: float) -> None:
        assert 0 <= hold_off <= 1.0
        self.held_off = hold_off
        self.final(exchange, "rejected")

    def fail(self, exchange: int) -> None:
        self.final(exchange, "terminated")

    def cancel_attempt(self, exchange: int, number: int) -> None:
        assert self.may_call_off and self.held[exchange].sent[number].outcome is None
        self.called_off.append((exchange, number))

    def schedule_timer(self, delay: float, timer: Timer) -> None:
        self.timers.append((self.now + delay, timer.value))

    def watch_endpoint_list(self) -> None:
        self.watches += 1

    def log(self, line: str) -> None:
        assert "\n" not in line and len(line) < 120
        self.logs.append(line)


# On sockets: a loop whose clock the test moves, and a stand-in for endpoints and discovery.


class SteppedLoop(Loop):
    """Never waits: the clock is moved by hand, and a round ends when nothing more is to be done."""

    def __init__(self) -> None:
        self.time = 5000.0
        self.faults: list[BaseException] = []
        super().__init__(self.faults.append, lambda: self.time)

    def look(self, wait: float | None) -> list[tuple[int, int]]:
        self.seen = super().look(0.0)
        return self.seen

    def settle(self) -> None:
        self.step()
        while self.seen or self.ready or self.yielded:
            self.step()
        assert not self.faults, self.faults

    def wait(self, seconds: float, settle: Callable[[], None] | None = None) -> None:
        """Lets time pass, stopping at each timer on the way."""
        until, settle = self.time + seconds, settle or self.settle
        settle()
        while self.timers and self.timers[0][0] <= until:
            self.time = max(self.time, self.timers[0][0])
            settle()
        self.time = until
        settle()


class Got:
    """A request that a stand-in has read whole."""

    def __init__(self, stand: Stand, sock: socket.socket, request: h11.Request, body: bytes) -> None:
        self.stand, self.sock, self.target, self.method, self.body = (
            stand,
            sock,
            request.target.decode(),
            request.method,
            body,
        )
        self.headers = {k.decode(): v.decode() for k, v in request.headers}
        self.id = self.headers.get("x-request-id", "")

    def answer(self, status: int = 200, body: bytes = b"", headers: str = "") -> None:
        self.raw(f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{headers}\r\n".encode() + body)

    def tell(self, version: int, whole: bool, *entries: dict[str, object]) -> None:
        told = {"generation": version, "reset": whole, "instances": entries}
        self.answer(200, json.dumps(told, indent=1).encode())

    def raw(self, data: bytes) -> None:
        self.sock.sendall(data)

    def gone(self) -> bool:
        """Whether the other side has ended the connection."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()

    def close(self) -> None:
        self.stand.readers.pop(self.sock, None)
        self.sock.close()


class Stand:
    """A server that reads requests and answers what the test says."""

    def __init__(self, port: int = 0, backlog: int = 64, receive_buffer: int = 0) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if receive_buffer:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(backlog)
        self.listener.setblocking(False)
        self.port: int = self.listener.getsockname()[1]
        self.readers: dict[socket.socket, tuple[h11.Connection, list[h11.Request], bytearray]] = {}
        self.accepted = 0
        self.unread: list[Got] = []

    def look(self, read: bool = True) -> None:
        with contextlib.suppress(BlockingIOError):
            while self.listener.fileno() >= 0:
                sock, _ = self.listener.accept()
                sock.setblocking(False)
                self.accepted += 1
                self.readers[sock] = h11.Connection(h11.SERVER), [], bytearray()
        for sock in list(self.readers) if read else ():
            self.read(sock)

    def read(self, sock: socket.socket) -> None:
        try:
            data = sock.recv(1 << 20)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            del self.readers[sock]
            sock.close()
            return
        parser, request, body = self.readers[sock]
        parser.receive_data(data)
        while (event := parser.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.Request):
                request.append(event)
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self.unread.append(Got(self, sock, request[0], bytes(body)))
                self.readers[sock] = h11.Connection(h11.SERVER), [], bytearray()
                return

    def close(self) -> None:
        for sock in [self.listener, *self.readers]:
            sock.close()
        self.readers.clear()


def only(got: list[Got]) -> Got:
    assert len(got) == 1
    return got[0]


SETTINGS: dict[str, Any] = {
    "contract": {
        "answer-slack": 20.0,
        "ask-within": 10000.0,
        "cold": 24000.0,
        "cold-from": 0.15,
        "fall-multiple": 2.5,
        "stop-sending-within": 500.0,
        "tip-after": 3000.0,
    },
    "discovery": "on_request",
    "failure-domains": ["north", "south"],
    "peers-total": 1,
    "zone": 0,
    "policy-limits": {
        "cancel": True,
        "conn-idle": 30000.0,
        "connect-timeout": 250.0,
        "max-forwards": 4,
        "max-retry-after": 2000.0,
        "parallel-tries": False,
        "retry-after": True,
    },
    "traffic-types": [
        {"name": "look", "effect": "read_like", "promised-time": 600.0, "expiry": 2500.0},
        {"name": "book", "effect": "non_idempotent", "promised-time": 600.0, "expiry": 1500.0},
        {
            "name": "note",
            "effect": "idempotency_key",
            "dedup-scope": "zone",
            "memory-span": 5000.0,
            "promised-time": 600.0,
            "expiry": 2000.0,
            "overdue-value": 0.4,
        },
    ],
}


def entry(
    name: str, port: int, state: str = "SERVING", started: float = 0.0, zone: str = "north"
) -> dict[str, object]:
    return {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{port}",
        "zone": zone,
        "cell": 0,
        "lifecycle": state,
        "weight": 1.0,
        "startedAtMs": started,
    }


def ask(id: str, type: str = "look", body: bytes = b"", wait: int = 2000, headers: str = "") -> bytes:
    method = "POST" if body or type == "book" else "GET"
    length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
    return (
        f"{method} /api?q=1 HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\n"
        f"X-Priority-Class: {type}\r\nCookie: a=b; user=u{id}\r\nX-Timeout-Ms: {wait}\r\n"
        f"{headers}{length}\r\n"
    ).encode() + body


class Client:
    """One connection of the application."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.setblocking(False)
        self.parser = h11.Connection(h11.CLIENT)
        self.response: h11.Response | None = None
        self.body = b""

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)
        with contextlib.suppress(h11.LocalProtocolError):  # the parser must know that a request is out
            self.parser.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
            self.parser.send(h11.EndOfMessage())

    def status(self) -> int:
        answer = self.answer()
        assert answer is not None, "no answer yet"
        return answer[0]

    def answer(self) -> tuple[int, bytes, dict[str, str]] | None:
        """The answer if it has come whole."""
        with contextlib.suppress(BlockingIOError):
            self.parser.receive_data(self.sock.recv(1 << 20))
        while (event := self.parser.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.Response):
                self.response, self.body = event, b""
            elif isinstance(event, h11.Data):
                self.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                assert self.response is not None
                headers = {k.decode(): v.decode() for k, v in self.response.headers}
                if self.parser.their_state is h11.DONE:
                    self.parser.start_next_cycle()
                return self.response.status_code, self.body, headers
            else:
                raise AssertionError(f"the connection ended with no answer: {event}")
        return None

    def close(self) -> None:
        self.sock.close()


class Open:
    """What is closed after the test that made it, by `conftest`."""

    def __init__(self) -> None:
        OPEN.append(self)

    def close(self) -> None:
        if self in OPEN:
            OPEN.remove(self)
            self.end()

    def end(self) -> None:
        raise NotImplementedError


OPEN: list[Open] = []


class Rig(Open):
    """A sidecar without its program: its parts over sockets, with stand-ins for endpoints."""

    def __init__(
        self,
        endpoints: int = 3,
        *,
        clients: int = 50,
        connections: int = 50,
        settings: Any = SETTINGS,
        receive_buffer: int = 0,
        backlog: int = 64,
    ) -> None:
        super().__init__()
        self.loop = SteppedLoop()
        self.stands = [Stand(receive_buffer=receive_buffer, backlog=backlog) for _ in range(endpoints)]
        sockets = socket_settings(settings)
        self.pool = Pool(self.loop, connections, sockets.idle_time)
        now = self.loop.now()
        self.facade = Facade(now, lambda host: make_balancer(host, 7, now, settings))
        self.watches = 0
        self.clients: list[Client] = []  # kept, or they would leave
        directory = Directory()
        self.back = HttpBack(self.loop, self.pool, sockets, directory)
        self.core = Core(self.loop, self.facade, sockets, directory, self.back, self.watch, self.each_tick)
        self.front = HttpFront(self.loop, self.core, self.core, self.pool, clients)
        self.listener = Listener(self.loop, ("127.0.0.1", 0), self.front.accepted, self.front.make_room)
        self.decoder = ListDecoder(sockets.zones, 0.0)
        self.tell(*(entry(f"e{n}", stand.port) for n, stand in enumerate(self.stands)), whole=True)

    def each_tick(self) -> None:
        self.pool.sweep()
        self.front.trim_clients()

    @property
    def balancer(self) -> Balancer:
        assert isinstance(self.facade.balancer, Balancer)
        return self.facade.balancer

    def watch(self) -> None:
        self.watches += 1

    def tell(self, *entries: dict[str, object], whole: bool = False) -> None:
        change = self.decoder.decode({"generation": 1, "reset": whole, "instances": list(entries)})
        self.core.list_changed(change.lines, change.addresses, whole, stale=False)

    def client(self) -> Client:
        self.clients.append(Client(self.listener.address[1]))
        return self.clients[-1]

    def asked(self, data: bytes) -> Client:
        client = self.client()
        client.send(data)
        self.settle()
        return client

    def settle(self, read: bool = True) -> None:
        for _ in range(4):
            self.loop.settle()
            for stand in self.stands:
                stand.look(read)

    def wait(self, seconds: float) -> None:
        self.loop.wait(seconds, self.settle)

    def got(self) -> list[Got]:
        """What the endpoints have read since the last look."""
        self.settle()
        got = [g for stand in self.stands for g in stand.unread]
        for stand in self.stands:
            stand.unread.clear()
        return got

    def serve(self, status: int = 200, body: bytes = b"", headers: str = "") -> Got:
        """Answers the one exchange that has come."""
        got = only(self.got())
        got.answer(status, body, headers)
        self.settle()
        return got

    def serve_all(self) -> None:
        while got := self.got():
            for g in got:
                with contextlib.suppress(OSError):  # it may have been called off meanwhile
                    g.answer(200, b"served " + g.id.encode())
            self.settle()

    def end(self) -> None:
        for stand in self.stands:
            stand.close()
        for client in self.clients:
            client.close()
        self.listener.close()
        for connection in [*self.front.clients, *(c for idle in self.pool.idle.values() for c in idle)]:
            connection.close()
        for task in list(self.loop.tasks):
            task.coroutine.close()
        self.loop.epoll.close()
