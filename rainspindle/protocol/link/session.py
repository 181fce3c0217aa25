"""One connection of the link as a state machine: bytes in, events out, bytes to write.

A session does no I/O and reads no clock. Both sides send Hello, prove that they have a key, measure each
other's clock, and then open requests on each other. Bodies are limited by credit, for each request and for
the whole connection. Any violation by the peer raises a LinkFault with a name, which ends this connection
and nothing else.
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

# Body bytes that may be sent before more credit is granted.
REQUEST_CREDIT, LINK_CREDIT = 32 * 1024, 1024 * 1024
MAX_OPEN_REQUESTS = 4096  # requests that a peer may have open on one connection
MAX_HANDSHAKE_BYTES = 2048  # bytes that a peer may send before it has proved a key
PING_INTERVAL = 0.25  # seconds between pings
STALL_TIMEOUT = 1.0  # seconds without an answer to a ping after which the link counts as stalled
HANDSHAKE_TIMEOUT = 2.0  # seconds for the whole handshake
CLOCK_OFFSET_TTL = 60.0  # seconds for which a measurement of the peer's clock is used
MAX_KEYS = 2  # keys that may be valid at once, so that they can be changed
MAX_WAITING_BYTES = 8 * 1024 * 1024  # body bytes that may wait for credit


# Events of a session.


@dataclass(frozen=True, slots=True)
class SessionUp:
    """The peer's identity is proved and its clock is known: requests may be sent."""

    site: str
    epoch: int


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A request has arrived completely."""

    open: f.Open
    body: bytes
    expires_at: float  # on the own clock, never later than on the sender's
    stale: bool  # it took so long that its sender may have abandoned it and run it elsewhere


@dataclass(frozen=True, slots=True)
class AnswerReceived:
    """The answer to an own request has arrived completely."""

    answer: f.Answer
    body: bytes


@dataclass(frozen=True, slots=True)
class RevokeReceived:
    """The peer asks to revoke a request that it opened."""

    id: int
    epoch: int


@dataclass(frozen=True, slots=True)
class RevokeAnswered:
    """The peer's reply to a revoke."""

    id: int
    state: f.State


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The client of a request from the peer has left."""

    id: int


@dataclass(frozen=True, slots=True)
class PeerLeaving:
    """The peer accepts no new requests."""


Event = (
    SessionUp
    | RequestReceived
    | AnswerReceived
    | RevokeReceived
    | RevokeAnswered
    | RequestCancelled
    | PeerLeaving
)


@dataclass(slots=True)
class Incoming:
    """A body that is being received."""

    head: f.Open | f.Answer
    received: bytearray = field(default_factory=bytearray)
    credit: int = REQUEST_CREDIT


@dataclass(slots=True)
class Outgoing:
    """A body that is being sent."""

    id: int
    answer: bool
    remaining: memoryview
    credit: int = REQUEST_CREDIT
    reserved: bool = False  # its whole size was reserved from the link's credit


class Session:
    """The state of one connection, from the handshake to its end."""

    def __init__(
        self,
        now: float,
        site: str,
        epoch: int,
        keys: Sequence[bytes],
        dialer: bool,
        expected: str = "",
        stall: float = STALL_TIMEOUT,
    ) -> None:
        """Starts the handshake.

        Args:
            now: The time, on the caller's clock, as in all methods.
            site: The name of the own site.
            epoch: The number of this start of the process.
            keys: The valid keys, the current one first.
            dialer: Whether this side opened the connection.
            expected: The site that a dialer expects to reach.
            stall: Seconds without an answer to a ping after which the link counts as stalled.

        Raises ValueError if there are not 1 to MAX_KEYS keys.
        """
        if not 1 <= len(keys) <= MAX_KEYS:
            raise ValueError(f"got {len(keys)} link keys; expected 1 to {MAX_KEYS}")
        self.site, self.epoch, self.keys, self.dialer, self.expected = site, epoch, keys, dialer, expected
        self.stall = stall
        self.reader, self.output = Reader(), bytearray()
        self.queued_bytes = 0  # bytes ever put into `output`
        self.started_at = self.last_received_at = self.ping_sent = now
        self.peer: f.Hello | None = None
        self.authenticated = self.up = False
        self.leaving = self.peer_leaving = False
        self.handshake_bytes = 0
        self.awaiting_pong = False  # the last ping has no answer yet
        # (time of the measurement, lower bound of the own clock less the peer's)
        self.offsets: deque[tuple[float, float]] = deque()
        self.incoming: dict[tuple[int, bool], Incoming] = {}
        self.outgoing: dict[tuple[int, bool], Outgoing] = {}
        self.waiting_bytes = 0  # bytes in `outgoing` not sent yet
        self.end_positions: dict[int, int] = {}  # by own request: queued bytes up to its last
        self.own_requests: set[int] = set()  # own requests without an answer
        self.peer_requests: set[int] = set()
        self.last_peer_request = 0
        # Body bytes that this side, and that the peer, may still send.
        self.credit, self.granted_credit = LINK_CREDIT, LINK_CREDIT
        self.unreturned_credit = 0  # link credit of finished or cut off bodies, not yet returned to the peer
        self.hello = f.Hello(f.VERSIONS, site, epoch, secrets.token_bytes(16), stall)
        self.enqueue(self.hello)

    # Writing.

    def enqueue(self, frame: f.Frame) -> None:
        """Queues a frame for writing."""
        data = f.encode(frame)
        self.output += data
        self.queued_bytes += len(data)

    def take_output(self) -> bytes:
        """Returns the bytes to be written next, and removes them."""
        data, self.output = bytes(self.output), bytearray()
        return data

    def ready(self, now: float) -> bool:
        """Returns whether a request may be opened.

        None may be once a ping has waited for half of the stall time. An opened request is thus not abandoned
        for a stall before as long again has passed, and one that was on its way for longer is not started by
        the peer.
        """
        return (
            self.up
            and not self.peer_leaving
            and not self.leaving
            and len(self.own_requests) < MAX_OPEN_REQUESTS
            and self.waiting_bytes < MAX_WAITING_BYTES
            and not (self.awaiting_pong and now - self.ping_sent > self.stall / 2)
        )

    def open(self, frame: f.Open, body: bytes) -> None:
        """Sends a request. The session must be ready and `frame.size` the size of `body`."""
        assert self.ready(frame.sent) and frame.size == len(body)
        self.own_requests.add(frame.id)
        self.enqueue(frame)
        self.send_body(frame.id, False, body)

    def answer(self, frame: f.Answer, body: bytes) -> None:
        """Sends an answer, also to a request that came over another connection."""
        self.peer_requests.discard(frame.id)
        self.enqueue(frame)
        self.send_body(frame.id, True, body)

    def send_body(self, request_id: int, answer: bool, body: bytes) -> None:
        """Queues a body; its parts are sent as credit allows."""
        if body:
            self.outgoing[request_id, answer] = Outgoing(request_id, answer, memoryview(body))
            self.waiting_bytes += len(body)
            self.send_bodies()
        elif not answer:
            self.end_positions[request_id] = self.queued_bytes

    def send_bodies(self) -> None:
        """Sends what credit allows, the oldest body first.

        Each body reserves its whole size from the link's credit before it starts. Otherwise many bodies could
        start of which none has the credit to finish.
        """
        for body_id, body in list(self.outgoing.items()):
            if not body.reserved:
                if len(body.remaining) > self.credit:
                    return
                body.reserved = True
                self.credit -= len(body.remaining)
            while size := min(f.BODY_CHUNK, body.credit, len(body.remaining)):
                self.enqueue(f.Data(body.id, body.answer, bytes(body.remaining[:size])))
                body.remaining = body.remaining[size:]
                body.credit, self.waiting_bytes = body.credit - size, self.waiting_bytes - size
            if not body.remaining:
                del self.outgoing[body_id]
                if not body.answer:
                    self.end_positions[body.id] = self.queued_bytes

    def take_written(self, written: int) -> list[int]:
        """Removes and returns the own requests whose last byte is among the first `written` queued bytes."""
        completed = [request_id for request_id, end in self.end_positions.items() if end <= written]
        for request_id in completed:
            del self.end_positions[request_id]
        return completed

    def forget(self, request_id: int) -> None:
        """Stops waiting for the answer to an own request; a partly sent body is cut off."""
        if request_id not in self.own_requests:
            return
        self.own_requests.discard(request_id)
        self.end_positions.pop(request_id, None)
        body = self.outgoing.pop((request_id, False), None)
        if body is not None:
            self.waiting_bytes -= len(body.remaining)
            self.credit += len(body.remaining) if body.reserved else 0
        self.enqueue(f.Cancel(request_id))
        self.send_bodies()

    def revoke(self, request_id: int, epoch: int) -> None:
        """Sends a revoke of an own request, with the peer's epoch when it was opened."""
        self.enqueue(f.Revoke(request_id, epoch))

    def revoked(self, request_id: int, state: f.State) -> None:
        """Sends the reply to a revoke."""
        self.enqueue(f.Revoked(request_id, state))

    def goodbye(self) -> None:
        """Announces, once, that this side opens and accepts no new requests."""
        if not self.leaving:
            self.leaving = True
            self.enqueue(f.Goodbye())

    # Time.

    def next_tick_at(self) -> float:
        """Returns when `tick` is due."""
        if not self.authenticated:
            return self.started_at + HANDSHAKE_TIMEOUT
        return self.ping_sent + (self.stall if self.awaiting_pong else PING_INTERVAL)

    def tick(self, now: float) -> None:
        """Sends a ping if one is due. Raises LinkFault if the handshake is late or the link is stalled."""
        if not self.authenticated:
            if now >= self.started_at + HANDSHAKE_TIMEOUT:
                raise LinkFault("greeting_late")
        elif self.awaiting_pong:
            if now >= self.ping_sent + self.stall:
                raise LinkFault(
                    "stalled",
                    f"no pong within {self.stall} s; last data {now - self.last_received_at:.2f} s ago",
                )
        elif now >= self.ping_sent + PING_INTERVAL:
            self.ping(now)

    def ping(self, now: float) -> None:
        """Sends a ping, which the peer has to answer before the next."""
        self.awaiting_pong, self.ping_sent = True, now
        self.enqueue(f.Ping(now))

    def offset(self, now: float) -> float | None:
        """Returns a lower bound of the own clock less the peer's, in seconds; None while it is not known."""
        while self.offsets and self.offsets[0][0] < now - CLOCK_OFFSET_TTL:
            self.offsets.popleft()
        return max((lower_bound for _, lower_bound in self.offsets), default=None)

    def handle_pong(self, now: float, pong: f.Pong) -> None:
        """Measures the peer's clock. Raises LinkFault if the Pong does not answer the last ping."""
        if not self.awaiting_pong or pong.sent != self.ping_sent or not math.isfinite(pong.here):
            raise LinkFault("clock", f"unexpected pong, sent {pong.sent}, here {pong.here}")
        self.awaiting_pong = False
        # The peer's clock read `here` after the ping was sent, so the own clock is ahead by at least this.
        lower_bound = pong.sent - pong.here
        while self.offsets and self.offsets[-1][1] <= lower_bound:
            self.offsets.pop()
        self.offsets.append((now, lower_bound))

    # Reading.

    def receive(self, now: float, data: bytes) -> list[Event]:
        """Returns the events that `data` completes. Raises LinkFault."""
        if not self.authenticated:
            self.handshake_bytes += len(data)
            if self.handshake_bytes > MAX_HANDSHAKE_BYTES:
                raise LinkFault("greeting_long")
        self.last_received_at = now
        events: list[Event] = []
        for frame in self.reader.receive(data):
            self.handle_frame(now, frame, events)
        if self.unreturned_credit >= LINK_CREDIT // 4:
            self.enqueue(f.Credit(0, False, self.unreturned_credit))
            self.granted_credit += self.unreturned_credit
            self.unreturned_credit = 0
        return events

    def handle_frame(self, now: float, frame: f.Any, events: list[Event]) -> None:
        """Handles one frame. Raises LinkFault."""
        if isinstance(frame, f.Fault):
            raise LinkFault("peer_fault", frame.name[:100])
        if not self.authenticated:
            self.handle_handshake(now, frame)
            return
        if isinstance(frame, f.Pong):
            self.handle_pong(now, frame)
            if not self.up:
                assert self.peer is not None
                self.up = True
                events.append(SessionUp(self.peer.site, self.peer.epoch))
        elif isinstance(frame, f.Ping):
            self.enqueue(f.Pong(frame.sent, now))
        elif isinstance(frame, f.Goodbye):
            self.peer_leaving = True
            events.append(PeerLeaving())
        elif isinstance(frame, f.Hello | f.Proof):
            raise LinkFault("greeting_again")
        elif not self.up:
            raise LinkFault("too_soon", f"{type(frame).__name__} before the first pong")
        elif isinstance(frame, f.Open):
            self.handle_open(now, frame, events)
        elif isinstance(frame, f.Answer):
            self.expect_size(frame)
            # The request may be settled or was opened over another connection, so its id is not checked.
            if (frame.id, True) in self.incoming or len(self.incoming) >= 2 * MAX_OPEN_REQUESTS:
                raise LinkFault(
                    "id_order", f"answer {frame.id} is already being received, or too many bodies are"
                )
            self.incoming[frame.id, True] = Incoming(frame)
            self.finish_body(now, frame.id, True, events)
        elif isinstance(frame, f.Data):
            self.handle_data(now, frame, events)
        elif isinstance(frame, f.Credit):
            self.handle_credit(frame)
        elif isinstance(frame, f.Revoke):
            events.append(RevokeReceived(frame.id, frame.epoch))
        elif isinstance(frame, f.Revoked):
            events.append(RevokeAnswered(frame.id, frame.state))
        elif isinstance(frame, f.Cancel):
            if frame.id > self.last_peer_request:
                raise LinkFault(
                    "id_unknown", f"cancel of request {frame.id}, last opened {self.last_peer_request}"
                )
            self.peer_requests.discard(frame.id)
            body = self.incoming.pop((frame.id, False), None)
            if body is not None:
                self.unreturned_credit += len(body.received)
            events.append(RequestCancelled(frame.id))
        else:
            assert_never(frame)

    def handle_handshake(self, now: float, frame: f.Any) -> None:
        """Handles a frame of the handshake. Raises LinkFault."""
        if self.peer is None:
            if not isinstance(frame, f.Hello):
                raise LinkFault("greeting_expected", f"got {type(frame).__name__}, expected Hello")
            if not set(frame.versions) & set(f.VERSIONS):
                raise LinkFault("version", f"got {frame.versions[:8]}, expected one of {f.VERSIONS}")
            if len(frame.nonce) != 16 or not frame.site or frame.epoch <= 0 or not 0.1 <= frame.stall <= 100:
                raise LinkFault("greeting_unfit")
            if frame.site == self.site or (self.expected and frame.site != self.expected):
                raise LinkFault("site", frame.site[:100])
            self.peer = frame
            self.enqueue(f.Proof(tuple(self.digest(key, self.dialer) for key in self.keys)))
            return
        if not isinstance(frame, f.Proof):
            raise LinkFault("proof_expected", f"got {type(frame).__name__}, expected Proof")
        valid = [self.digest(key, not self.dialer) for key in self.keys]
        if not any(
            hmac.compare_digest(received_digest, expected_digest)
            for received_digest in frame.digests[:MAX_KEYS]
            for expected_digest in valid
        ):
            raise LinkFault("proof")
        self.authenticated = True
        self.ping(now)

    def digest(self, key: bytes, dialer: bool) -> bytes:
        """Returns the proof of the dialing or the accepting side, bound to both nonces, names and epochs."""
        assert self.peer is not None
        own_hello, peer_hello = f.encode(self.hello), f.encode(self.peer)
        dialer_hello, acceptor_hello = (own_hello, peer_hello) if self.dialer else (peer_hello, own_hello)
        return hmac.digest(
            key, (b"dialer" if dialer else b"acceptor") + dialer_hello + acceptor_hello, "sha256"
        )

    def expect_size(self, frame: f.Open | f.Answer) -> None:
        """Raises LinkFault if the announced size of the body is out of range."""
        if not 0 <= frame.size <= f.MAX_BODY:
            raise LinkFault("body_size", f"got {frame.size} bytes, expected 0 to {f.MAX_BODY}")

    def handle_open(self, now: float, frame: f.Open, events: list[Event]) -> None:
        """Handles the opening of a request by the peer. Raises LinkFault."""
        self.expect_size(frame)
        if frame.id <= self.last_peer_request:
            raise LinkFault("id_order", f"request {frame.id} opened after {self.last_peer_request}")
        if len(self.peer_requests) >= MAX_OPEN_REQUESTS:
            raise LinkFault("too_many_open")
        if not (math.isfinite(frame.sent) and math.isfinite(frame.left)):
            raise LinkFault("clock", f"request {frame.id} with sent {frame.sent}, left {frame.left}")
        self.last_peer_request = frame.id
        self.peer_requests.add(frame.id)
        self.incoming[frame.id, False] = Incoming(frame)
        self.finish_body(now, frame.id, False, events)

    def handle_data(self, now: float, frame: f.Data, events: list[Event]) -> None:
        """Handles a part of a body and returns credit for it. Raises LinkFault."""
        size = len(frame.part)
        if size == 0 or size > self.granted_credit:
            raise LinkFault("no_credit", f"link, got {size} bytes with a credit of {self.granted_credit}")
        self.granted_credit -= size
        body = self.incoming.get((frame.id, frame.answer))
        if body is None:
            raise LinkFault("id_unknown", f"data for {frame.id}, which has no open body")
        if size > body.credit or len(body.received) + size > body.head.size:
            raise LinkFault("no_credit", f"body {frame.id}, got {size} bytes with a credit of {body.credit}")
        body.credit -= size
        body.received += frame.part
        if not self.finish_body(now, frame.id, frame.answer, events) and body.credit < REQUEST_CREDIT // 2:
            self.enqueue(f.Credit(frame.id, frame.answer, REQUEST_CREDIT - body.credit))
            body.credit = REQUEST_CREDIT

    def finish_body(self, now: float, request_id: int, answer: bool, events: list[Event]) -> bool:
        """Emits the request or answer if its body is complete, and returns whether it is."""
        body = self.incoming[request_id, answer]
        if len(body.received) < body.head.size:
            return False
        del self.incoming[request_id, answer]
        self.unreturned_credit += len(body.received)
        if isinstance(body.head, f.Answer):
            self.own_requests.discard(request_id)
            events.append(AnswerReceived(body.head, bytes(body.received)))
        else:
            offset = self.offset(now)
            # Without a recent measurement of the peer's clock its requests count as late and do not start.
            assert self.peer is not None
            sent = -math.inf if offset is None else body.head.sent + offset
            events.append(
                RequestReceived(
                    body.head, bytes(body.received), sent + body.head.left, now - sent > self.peer.stall / 2
                )
            )
        return True

    def handle_credit(self, frame: f.Credit) -> None:
        """Adds credit that the peer granted. Raises LinkFault."""
        if frame.size <= 0:
            raise LinkFault("credit", f"got {frame.size} bytes, expected at least 1")
        if frame.id == 0:
            self.credit += frame.size
            if self.credit > LINK_CREDIT:
                raise LinkFault("credit", f"link, {self.credit} bytes, at most {LINK_CREDIT}")
        else:
            body = self.outgoing.get((frame.id, frame.answer))
            if body is not None:  # otherwise it is complete or was cut off
                body.credit += frame.size
                if body.credit > REQUEST_CREDIT:
                    raise LinkFault(
                        "credit", f"body {frame.id}, {body.credit} bytes, at most {REQUEST_CREDIT}"
                    )
        self.send_bodies()
