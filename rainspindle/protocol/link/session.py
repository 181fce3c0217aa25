"""One connection of the link as a state machine: bytes in, events out, bytes to write. It keeps no time.

Both sides say Hello, prove that they have a key, measure each other's clock, and then open exchanges on each
other. Bodies go by credit, of each exchange and of the whole connection. Whatever a peer does that it must
not is a LinkFault with a name: this connection ends, nothing else.
"""

from __future__ import annotations

import hmac
import math
import secrets
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import assert_never

from . import frames as f
from .frames import LinkFault, Reader

EXCHANGE_CREDIT, LINK_CREDIT = 32 * 1024, 1024 * 1024  # bytes of bodies that may come before more is given
MOST_OPEN = 4096  # exchanges that a peer may have open on one connection
GREETING = 2048  # bytes that a peer may send before it has proved a key
HEARTBEAT = 0.25  # seconds between pings
STALL = 1.0  # seconds after which a ping without its answer says that the link stalls
GREET_TIME = 2.0  # seconds for the whole greeting
CLOCK_AGE = 60.0  # seconds that a measurement of the peer's clock is used
MOST_KEYS = 2
MOST_WAITING = 8 * 1024 * 1024  # bytes of bodies that wait for credit


# What a session tells.


@dataclass(frozen=True, slots=True)
class Up:
    """The peer is who it says, and its clock is known: exchanges may go."""

    site: str
    epoch: int


@dataclass(frozen=True, slots=True)
class Came:
    """An exchange is here whole."""

    open: f.Open
    body: bytes
    expires_at: float  # on our clock, never later than the sender has it
    stale: bool  # so long on its way that its sender may have given it up, and have it run elsewhere


@dataclass(frozen=True, slots=True)
class Told:
    """The answer to an exchange of ours is here whole."""

    answer: f.Answer
    body: bytes


@dataclass(frozen=True, slots=True)
class Asked:
    """A revoke."""

    id: int
    epoch: int


@dataclass(frozen=True, slots=True)
class Said:
    """The answer to a revoke of ours."""

    id: int
    state: f.State


@dataclass(frozen=True, slots=True)
class Left:
    """The far client has left."""

    id: int


@dataclass(frozen=True, slots=True)
class Leaving:
    """The peer takes nothing new."""


Event = Up | Came | Told | Asked | Said | Left | Leaving


@dataclass(slots=True)
class Incoming:
    """A body under way to us."""

    head: f.Open | f.Answer
    body: bytearray = field(default_factory=bytearray)
    credit: int = EXCHANGE_CREDIT


@dataclass(slots=True)
class Outgoing:
    """A body under way from us."""

    id: int
    answer: bool
    left: memoryview
    credit: int = EXCHANGE_CREDIT
    begun: bool = False  # its whole size was taken from the link's credit


class Session:
    def __init__(
        self,
        now: float,
        site: str,
        epoch: int,
        keys: Sequence[bytes],
        dialer: bool,
        expected: str = "",
        stall: float = STALL,
    ) -> None:
        """`keys` are the valid ones, the first of them the current; `expected` is whom a dialer calls; after
        `stall` seconds a ping without an answer says that the link stalls."""
        if not 1 <= len(keys) <= MOST_KEYS:
            raise ValueError(f"{len(keys)} keys; 1 or {MOST_KEYS} are needed")
        self.site, self.epoch, self.keys, self.dialer, self.expected = site, epoch, keys, dialer, expected
        self.stall = stall
        self.reader, self.out = Reader(), bytearray()
        self.queued = 0  # bytes ever put into `out`
        self.begun = self.heard = self.ping_sent = now
        self.peer: f.Hello | None = None
        self.proved = self.up = False
        self.leaving = self.peer_leaving = False
        self.greeted = 0
        self.pinged = False  # a ping has no answer yet
        # when measured; our clock less the peer's, at least
        self.offsets: deque[tuple[float, float]] = deque()
        self.incoming: dict[tuple[int, bool], Incoming] = {}
        self.outgoing: dict[tuple[int, bool], Outgoing] = {}
        self.waiting = 0  # bytes in `outgoing`
        self.ends: dict[int, int] = {}  # of our exchanges: where their last byte stands in all that is queued
        self.ours: set[int] = set()  # our exchanges that have no answer yet
        self.theirs: set[int] = set()
        self.last_theirs = 0
        self.credit, self.granted = LINK_CREDIT, LINK_CREDIT  # that we may still send; that the peer may
        self.owed = 0  # link credit of bodies that are whole or broken off, not yet given back
        self.hello = f.Hello(f.VERSIONS, site, epoch, secrets.token_bytes(16), stall)
        self.put(self.hello)

    # Writing.

    def put(self, frame: f.Frame) -> None:
        data = f.encode(frame)
        self.out += data
        self.queued += len(data)

    def take(self) -> bytes:
        """What is to be written next."""
        data, self.out = bytes(self.out), bytearray()
        return data

    def ready(self, now: float) -> bool:
        """Whether an exchange may be opened. Not while a ping has waited for half of what a stall is: so
        whatever
        is opened is not given up for a stall before as long again has passed, and what has been on its way
        for longer is not started there."""
        return (
            self.up
            and not self.peer_leaving
            and not self.leaving
            and len(self.ours) < MOST_OPEN
            and self.waiting < MOST_WAITING
            and not (self.pinged and now - self.ping_sent > self.stall / 2)
        )

    def open(self, frame: f.Open, body: bytes) -> None:
        assert self.ready(frame.sent) and frame.size == len(body)
        self.ours.add(frame.id)
        self.put(frame)
        self.send_body(frame.id, False, body)

    def answer(self, frame: f.Answer, body: bytes) -> None:
        """Also over another connection than the exchange came by."""
        self.theirs.discard(frame.id)
        self.put(frame)
        self.send_body(frame.id, True, body)

    def send_body(self, id: int, answer: bool, body: bytes) -> None:
        if body:
            self.outgoing[id, answer] = Outgoing(id, answer, memoryview(body))
            self.waiting += len(body)
            self.pump()
        elif not answer:
            self.ends[id] = self.queued

    def pump(self) -> None:
        """Puts out what credit allows, the oldest body first.

        Guards against a standstill of many bodies begun, none of which has credit to end: each takes its
        whole size from the link's credit before it begins."""
        for key, body in list(self.outgoing.items()):
            if not body.begun:
                if len(body.left) > self.credit:
                    return
                body.begun = True
                self.credit -= len(body.left)
            while size := min(f.CHUNK, body.credit, len(body.left)):
                self.put(f.Data(body.id, body.answer, bytes(body.left[:size])))
                body.left = body.left[size:]
                body.credit, self.waiting = body.credit - size, self.waiting - size
            if not body.left:
                del self.outgoing[key]
                if not body.answer:
                    self.ends[body.id] = self.queued

    def whole(self, written: int) -> list[int]:
        """Our exchanges whose last byte is among the first `written` bytes of all that was queued."""
        done = [id for id, end in self.ends.items() if end <= written]
        for id in done:
            del self.ends[id]
        return done

    def forget(self, id: int) -> None:
        """An exchange of ours is settled: its answer is not waited for. A body half sent is broken off."""
        if id not in self.ours:
            return
        self.ours.discard(id)
        self.ends.pop(id, None)
        body = self.outgoing.pop((id, False), None)
        if body is not None:
            self.waiting -= len(body.left)
            self.credit += len(body.left) if body.begun else 0
        self.put(f.Cancel(id))
        self.pump()

    def revoke(self, id: int, epoch: int) -> None:
        self.put(f.Revoke(id, epoch))

    def revoked(self, id: int, state: f.State) -> None:
        self.put(f.Revoked(id, state))

    def goodbye(self) -> None:
        if not self.leaving:
            self.leaving = True
            self.put(f.Goodbye())

    # Time.

    def next_at(self) -> float:
        """When `tick` is due."""
        if not self.proved:
            return self.begun + GREET_TIME
        return self.ping_sent + (self.stall if self.pinged else HEARTBEAT)

    def tick(self, now: float) -> None:
        """Sends what heartbeats are due. Raises LinkFault when the peer is silent for too long."""
        if not self.proved:
            if now >= self.begun + GREET_TIME:
                raise LinkFault("greeting_late")
        elif self.pinged:
            if now >= self.ping_sent + self.stall:
                raise LinkFault("stalled", f"last heard {now - self.heard:.2f} s ago")
        elif now >= self.ping_sent + HEARTBEAT:
            self.ping(now)

    def ping(self, now: float) -> None:
        self.pinged, self.ping_sent = True, now
        self.put(f.Ping(now))

    def offset(self, now: float) -> float | None:
        """Our clock less the peer's, at least; None while it is not known."""
        while self.offsets and self.offsets[0][0] < now - CLOCK_AGE:
            self.offsets.popleft()
        return max((low for _, low in self.offsets), default=None)

    def measured(self, now: float, pong: f.Pong) -> None:
        if not self.pinged or pong.sent != self.ping_sent or not math.isfinite(pong.here):
            raise LinkFault("clock", f"{pong.sent} {pong.here}")
        self.pinged = False
        # The peer's clock read `here` after our ping had gone: so ours less theirs is this at the least.
        low = pong.sent - pong.here
        while self.offsets and self.offsets[-1][1] <= low:
            self.offsets.pop()
        self.offsets.append((now, low))

    # Reading.

    def receive(self, now: float, data: bytes) -> list[Event]:
        """What has come. Raises LinkFault."""
        if not self.proved:
            self.greeted += len(data)
            if self.greeted > GREETING:
                raise LinkFault("greeting_long")
        self.heard = now
        events: list[Event] = []
        for frame in self.reader.receive(data):
            self.one(now, frame, events)
        if self.owed >= LINK_CREDIT // 4:
            self.put(f.Credit(0, False, self.owed))
            self.granted += self.owed
            self.owed = 0
        return events

    def one(self, now: float, frame: f.Any, events: list[Event]) -> None:
        if isinstance(frame, f.Fault):
            raise LinkFault("peer_fault", frame.name[:100])
        if not self.proved:
            self.greet(now, frame)
            return
        if isinstance(frame, f.Pong):
            self.measured(now, frame)
            if not self.up:
                assert self.peer is not None
                self.up = True
                events.append(Up(self.peer.site, self.peer.epoch))
        elif isinstance(frame, f.Ping):
            self.put(f.Pong(frame.sent, now))
        elif isinstance(frame, f.Goodbye):
            self.peer_leaving = True
            events.append(Leaving())
        elif isinstance(frame, f.Hello | f.Proof):
            raise LinkFault("greeting_again")
        elif not self.up:
            raise LinkFault("too_soon", type(frame).__name__)
        elif isinstance(frame, f.Open):
            self.opened(now, frame, events)
        elif isinstance(frame, f.Answer):
            self.expect_size(frame)
            # It may be settled, or have been opened by another connection: who waits is not known here.
            if (frame.id, True) in self.incoming or len(self.incoming) >= 2 * MOST_OPEN:
                raise LinkFault("id_order", f"answer {frame.id}")
            self.incoming[frame.id, True] = Incoming(frame)
            self.whole_in(now, frame.id, True, events)
        elif isinstance(frame, f.Data):
            self.data(now, frame, events)
        elif isinstance(frame, f.Credit):
            self.credited(frame)
        elif isinstance(frame, f.Revoke):
            events.append(Asked(frame.id, frame.epoch))
        elif isinstance(frame, f.Revoked):
            events.append(Said(frame.id, frame.state))
        elif isinstance(frame, f.Cancel):
            if frame.id > self.last_theirs:
                raise LinkFault("id_unknown", f"cancel {frame.id}")
            self.theirs.discard(frame.id)
            body = self.incoming.pop((frame.id, False), None)
            if body is not None:
                self.owed += len(body.body)
            events.append(Left(frame.id))
        else:
            assert_never(frame)

    def greet(self, now: float, frame: f.Any) -> None:
        if self.peer is None:
            if not isinstance(frame, f.Hello):
                raise LinkFault("greeting_expected", type(frame).__name__)
            if not set(frame.versions) & set(f.VERSIONS):
                raise LinkFault("version", ",".join(map(str, frame.versions[:8])))
            if len(frame.nonce) != 16 or not frame.site or frame.epoch <= 0 or not 0.1 <= frame.stall <= 100:
                raise LinkFault("greeting_unfit")
            if frame.site == self.site or (self.expected and frame.site != self.expected):
                raise LinkFault("site", frame.site[:100])
            self.peer = frame
            self.put(f.Proof(tuple(self.digest(key, self.dialer) for key in self.keys)))
            return
        if not isinstance(frame, f.Proof):
            raise LinkFault("proof_expected", type(frame).__name__)
        valid = [self.digest(key, not self.dialer) for key in self.keys]
        if not any(hmac.compare_digest(told, good) for told in frame.digests[:MOST_KEYS] for good in valid):
            raise LinkFault("proof")
        self.proved = True
        self.ping(now)

    def digest(self, key: bytes, dialer: bool) -> bytes:
        """The proof of the side that dialed, or of the other: bound to both nonces, names and epochs."""
        assert self.peer is not None
        ours, theirs = f.encode(self.hello), f.encode(self.peer)
        first, second = (ours, theirs) if self.dialer else (theirs, ours)
        return hmac.digest(key, (b"dialer" if dialer else b"acceptor") + first + second, "sha256")

    def expect_size(self, frame: f.Open | f.Answer) -> None:
        if not 0 <= frame.size <= f.MOST_BODY:
            raise LinkFault("body_size", str(frame.size))

    def opened(self, now: float, frame: f.Open, events: list[Event]) -> None:
        self.expect_size(frame)
        if frame.id <= self.last_theirs:
            raise LinkFault("id_order", f"{frame.id} after {self.last_theirs}")
        if len(self.theirs) >= MOST_OPEN:
            raise LinkFault("too_many_open")
        if not (math.isfinite(frame.sent) and math.isfinite(frame.left)):
            raise LinkFault("clock", f"{frame.sent} {frame.left}")
        self.last_theirs = frame.id
        self.theirs.add(frame.id)
        self.incoming[frame.id, False] = Incoming(frame)
        self.whole_in(now, frame.id, False, events)

    def data(self, now: float, frame: f.Data, events: list[Event]) -> None:
        size = len(frame.part)
        if size == 0 or size > self.granted:
            raise LinkFault("no_credit", f"link, {size} over {self.granted}")
        self.granted -= size
        body = self.incoming.get((frame.id, frame.answer))
        if body is None:
            raise LinkFault("id_unknown", f"data {frame.id}")
        if size > body.credit or len(body.body) + size > body.head.size:
            raise LinkFault("no_credit", f"exchange {frame.id}, {size} over {body.credit}")
        body.credit -= size
        body.body += frame.part
        if not self.whole_in(now, frame.id, frame.answer, events) and body.credit < EXCHANGE_CREDIT // 2:
            self.put(f.Credit(frame.id, frame.answer, EXCHANGE_CREDIT - body.credit))
            body.credit = EXCHANGE_CREDIT

    def whole_in(self, now: float, id: int, answer: bool, events: list[Event]) -> bool:
        body = self.incoming[id, answer]
        if len(body.body) < body.head.size:
            return False
        del self.incoming[id, answer]
        self.owed += len(body.body)
        if isinstance(body.head, f.Answer):
            self.ours.discard(id)
            events.append(Told(body.head, bytes(body.body)))
        else:
            offset = self.offset(now)
            # A peer whose clock was not measured lately is taken to be late: nothing of it starts.
            assert self.peer is not None
            sent = -math.inf if offset is None else body.head.sent + offset
            events.append(
                Came(body.head, bytes(body.body), sent + body.head.left, now - sent > self.peer.stall / 2)
            )
        return True

    def credited(self, frame: f.Credit) -> None:
        if frame.size <= 0:
            raise LinkFault("credit", str(frame.size))
        if frame.id == 0:
            self.credit += frame.size
            if self.credit > LINK_CREDIT:
                raise LinkFault("credit", f"{self.credit} of the link")
        else:
            body = self.outgoing.get((frame.id, frame.answer))
            if body is not None:  # else it is whole, or was broken off
                body.credit += frame.size
                if body.credit > EXCHANGE_CREDIT:
                    raise LinkFault("credit", f"{body.credit} of exchange {frame.id}")
        self.pump()
