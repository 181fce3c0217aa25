"""The load generator: keeps the schedule whoever is slow, and measures from the moment a try was due."""

from __future__ import annotations

from typing import Any

from ...protocol.client import Call, Reply, Unreadable
from ...transport.address import Address, parse_address
from ...transport.connection import Broken, Late, OutOfSockets
from ...transport.loop import Coroutine
from ...transport.pool import Pool
from ..ledger import Asked
from ..models.clients import Operation, next_try
from .child import Child

MOST_OPEN, KEEP = 8000, 60.0
MOST_ANSWER = 1 << 16


class Load(Child):
    def __init__(self) -> None:
        super().__init__()
        self.pool = Pool(self.loop, MOST_OPEN, KEEP)
        self.sidecars: list[Address] = []
        self.chance = self.world.chance("back-off")
        self.say(ready=True)

    def begin(self, order: dict[str, Any]) -> None:
        self.sidecars = [parse_address(a) for a in order["sidecars"]]
        self.loop.spawn(self.schedule())

    def schedule(self) -> Coroutine[None]:
        for op in self.world.schedule:
            yield from self.until(op.due)
            self.loop.spawn(self.operate(op))

    def operate(self, op: Operation) -> Coroutine[None]:
        kind, due, tries = self.world.x.traffic[op.type], op.due, 1
        while True:
            now = self.now()
            self.ledger.lateness.append(round(now - due, 6))
            # A try that starts late by the generator's own fault is still counted from when it was due.
            asked = Asked(f"{op.id}.{tries}", op.id, op.type, op.sidecar, op.due, now, op.wait, kind.expiry)
            self.ledger.asked.append(asked)
            answer, hold_off = yield from self.ask(op, asked, tries)
            if answer == "finished":
                return
            delay = next_try(self.world.x.clients, kind, op, tries, answer, hold_off, self.chance())
            if delay is None:
                return
            due, tries = self.now() + delay, tries + 1
            yield from self.until(due)

    def ask(self, op: Operation, asked: Asked, tries: int) -> Coroutine[tuple[str, float]]:
        try:
            reply = yield from self.exchange(op, asked, tries)
        except Late:
            asked.left_at = self.now()
            return "left", 0.0
        except OutOfSockets:
            self.ledger.notes.append("load: out of sockets")
            return "left", 0.0
        except (Broken, Unreadable) as fault:
            # A sidecar that was killed owes nothing; whether it was is for the one who reads the ledger.
            asked.broken = True
            return ("rejected" if str(fault) == "refused" else "broken"), 0.0
        kind = {200: "finished", 429: "rejected", 503: "rejected"}.get(reply.status, "terminated")
        asked.answers.append((kind, self.now(), reply.body.decode("latin-1")))
        told = dict(reply.headers).get(b"retry-after", b"0")
        return kind, float(told)

    def exchange(self, op: Operation, asked: Asked, tries: int) -> Coroutine[Reply]:
        left = asked.sent + op.wait - self.now()
        # Guards against a verdict by the machine's speed: a sidecar answers some 15 ms before the expiry at
        # the latest. An answer that is late by less than the tolerance is the auditor's to judge.
        until = self.loop.now() + left + self.world.x.rules.tolerance
        address = self.sidecars[op.sidecar]
        peer = (str(op.sidecar), address)
        binding = self.world.x.traffic[op.type].effect != "retriable"
        headers = [
            (b"Host", b"lab"),
            (b"X-Request-ID", asked.id.encode()),
            (b"X-Priority-Class", self.world.x.traffic[op.type].name.encode()),
            (b"X-Timeout-Ms", b"%d" % max(1, 1000 * left)),
            (b"X-Lab", f"{op.id};{op.type};{op.sidecar};{op.work:.9f}".encode()),
            (b"Idempotency-Key", op.id.encode()),
        ]
        if op.key:
            headers.append((b"Cookie", f"user={op.key}".encode()))
        tenant = self.world.x.traffic[op.type].tenant
        if tenant is not None:
            headers.append((b"X-Attrs", b"billing=%d" % tenant))
        if tries > 1:
            headers.append((b"X-Retried", b"1"))
        body = b"answer" if binding else b""
        if binding:
            headers.append((b"Content-Length", b"%d" % len(body)))
        while True:
            connection = self.pool.take(peer)
            fresh = connection is None
            if connection is None:
                try:
                    connection = yield from self.pool.connect(peer, until)
                except Broken:
                    raise Broken("refused") from None
            call, got = Call(MOST_ANSWER), False
            reply = None
            try:
                out = call.request(b"POST" if binding else b"GET", b"/lab", headers, body)
                yield from connection.send(out, until)
                while reply is None:
                    data = yield from connection.await_bytes(until)
                    got = got or bool(data)
                    reply = call.receive(data)
                    while reply is None and call.undecoded:
                        reply = call.resume()
                return reply
            except (Broken, Unreadable):
                # A sidecar may close between requests; what that crosses is sent once more on a new one.
                if fresh or got:
                    raise
            finally:
                if reply is not None and reply.reusable:
                    self.pool.keep_idle(peer, connection)
                else:
                    self.pool.close(connection)
