"""The protocol of the link: frames, handshake, credit, pings, claims, and the model checker of the claims."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainspindle.lab.claimcheck import Checker, Size
from rainspindle.protocol.link import frames as f
from rainspindle.protocol.link import session as s
from rainspindle.protocol.link.claims import Claim, Epoch, Ledger, Standing, Step
from rainspindle.protocol.link.session import AnswerReceived, Event, RequestReceived, Session, SessionUp

KEY, OTHER_KEY = b"0123456789abcdef", b"fedcba9876543210"


class Pair:
    """Two sessions and the bytes between them; time is moved by hand, and their clocks differ."""

    def __init__(
        self,
        keys: Sequence[bytes] = (KEY,),
        other_keys: Sequence[bytes] = (KEY,),
        cut: Callable[[bytes], list[bytes]] = lambda data: [data],
    ) -> None:
        self.now, self.clock_difference, self.cut = 100.0, 5000.0, cut
        self.a = Session(self.now, "casa", 11, keys, dialer=True, expected="rabat")
        self.b = Session(self.now + self.clock_difference, "rabat", 22, other_keys, dialer=False)
        self.events: dict[Session, list[Event]] = {self.a: [], self.b: []}

    def clock(self, session: Session) -> float:
        return self.now + (self.clock_difference if session is self.b else 0.0)

    def peer_of(self, session: Session) -> Session:
        return self.b if session is self.a else self.a

    def transfer(self, session: Session, delay: float = 0.0) -> None:
        data = session.take_output()
        self.now += delay
        receiver = self.peer_of(session)
        for part in self.cut(data):
            self.events[receiver] += receiver.receive(self.clock(receiver), part)

    def settle(self, delay: float = 0.0) -> None:
        while self.a.output or self.b.output:
            self.transfer(self.a, delay)
            self.transfer(self.b, delay)

    def open_request(
        self, request_id: int, body: bytes = b"", left: float = 1.5, session: Session | None = None
    ) -> None:
        session = session or self.a
        session.open(
            f.Open(
                request_id,
                self.clock(session),
                left,
                "submit",
                "k",
                None,
                False,
                b"x%d" % request_id,
                b"POST",
                b"/",
                ((b"a", b"b"),),
                len(body),
            ),
            body,
        )

    def received_requests(self, session: Session | None = None) -> list[tuple[int, bytes]]:
        return [
            (event.open.id, event.body)
            for event in self.events[session or self.b]
            if isinstance(event, RequestReceived)
        ]


def fault_name(session: Session, now: float, *frames: f.Frame) -> str:
    with pytest.raises(f.LinkFault) as raised:
        session.receive(now, b"".join(f.encode(frame) for frame in frames))
    return raised.value.name


def established_pair() -> Pair:
    pair = Pair()
    pair.settle()
    assert pair.events[pair.a] == [SessionUp("rabat", 22)] and pair.events[pair.b] == [SessionUp("casa", 11)]
    return pair


@settings(max_examples=60, deadline=None, derandomize=True, database=None)
@given(st.integers(0, 2**32), st.lists(st.tuples(st.booleans(), st.integers(0, f.MAX_BODY)), max_size=40))
def test_bodies_arrive_complete_within_credit_for_any_fragmentation(
    seed: int, bodies: list[tuple[bool, int]]
) -> None:
    rng = random.Random(seed)

    def cut(data: bytes) -> list[bytes]:
        at = sorted(rng.randrange(len(data) + 1) for _ in range(rng.randrange(6)))
        return [data[i:j] for i, j in zip([0, *at], [*at, len(data)], strict=True) if i < j]

    pair = Pair(cut=cut)
    pair.settle()
    sent: dict[Session, list[tuple[int, bytes]]] = {pair.a: [], pair.b: []}
    for n, (from_a, size) in enumerate(bodies):
        session = pair.a if from_a else pair.b
        sent[session].append((n + 1, rng.randbytes(size)))
        pair.open_request(*sent[session][-1], session=session)
        if rng.random() < 0.3:
            pair.transfer(session)
    pair.settle()
    for session in (pair.a, pair.b):
        receiver = pair.peer_of(session)
        assert sorted(pair.received_requests(receiver)) == sent[session]
        for request_id, body in sent[session]:
            receiver.answer(f.Answer(request_id, "finished", 0.0, (), len(body), True), body)
    pair.settle()
    for session in (pair.a, pair.b):
        received_answers = [
            (answer.answer.id, answer.body)
            for answer in pair.events[session]
            if isinstance(answer, AnswerReceived)
        ]
        assert (
            sorted(received_answers) == sent[session]
            and not session.own_requests
            and not session.peer_requests
        )
        assert not session.incoming and not session.outgoing and session.waiting_bytes == 0
        assert session.credit + pair.peer_of(session).unreturned_credit == s.LINK_CREDIT


def test_invalid_frames_raise_a_named_fault() -> None:
    for data, name in (
        (b"\x00\x00\x00\x00", "frame_length"),
        (b"\xff\xff\xff\xff", "frame_length"),
        (b"\x00\x00\x00\x01\xc1", "frame_unreadable"),
        (b"\x00\x00\x00\x02\x91\xa1", "frame_unreadable"),
        (b"\x00\x00\x00\x07\x92\xa5Pingg", "frame_unreadable"),
    ):
        with pytest.raises(f.LinkFault) as raised:
            f.Reader().receive(data)
        assert raised.value.name == name
    reader = f.Reader()
    assert reader.receive(f.encode(f.Ping(1.0))[:-1]) == [] and len(reader.buffer) < 32


@settings(max_examples=300, deadline=None, derandomize=True, database=None)
@given(st.binary(max_size=200), st.booleans())
def test_random_bytes_raise_nothing_but_named_faults(data: bytes, handshake_done: bool) -> None:
    pair = established_pair() if handshake_done else Pair()
    try:
        pair.b.receive(pair.clock(pair.b), len(data).to_bytes(4, "big") + data)
    except f.LinkFault as fault:
        assert fault.name


def test_peers_prove_a_key_valid_on_both_sides() -> None:
    changing = Pair((OTHER_KEY, KEY), (KEY,))
    changing.settle()
    assert changing.a.up and changing.b.up
    with pytest.raises(f.LinkFault, match="proof"):
        Pair((OTHER_KEY,), (KEY,)).settle()
    # A side does not accept its own proof, nor the proof of another connection.
    pair, old = Pair(), Pair()
    old.transfer(old.a)
    old.transfer(old.b)
    proof = f.Proof((old.a.digest(KEY, True),))
    pair.transfer(pair.a)
    assert fault_name(pair.b, pair.clock(pair.b), proof) == "proof"
    mirror = Pair()
    mirror.a.receive(mirror.now, f.encode(mirror.b.hello))
    assert fault_name(mirror.a, mirror.now, f.Proof((mirror.a.digest(KEY, True),))) == "proof"


def test_invalid_handshakes_raise_named_faults() -> None:
    def new_session() -> tuple[Session, float]:
        return Session(0.0, "rabat", 22, (KEY,), dialer=False), 0.0

    hello = f.Hello((1,), "casa", 11, b"n" * 16)
    assert fault_name(*new_session(), f.Ping(1.0)) == "greeting_expected"
    assert fault_name(*new_session(), f.Hello((9,), "casa", 11, b"n" * 16)) == "version"
    assert fault_name(*new_session(), f.Hello((1,), "rabat", 11, b"n" * 16)) == "site"
    assert fault_name(*new_session(), f.Hello((1,), "casa", 0, b"n" * 16)) == "greeting_unfit"
    assert fault_name(*new_session(), hello, f.Ping(0.0)) == "proof_expected"
    assert fault_name(*new_session(), f.Hello((1,), "c" * 4000, 1, b"n" * 16)) == "greeting_long"
    session, _ = new_session()
    session.tick(session.next_tick_at() - 0.01)
    with pytest.raises(f.LinkFault, match="greeting_late"):
        session.tick(session.next_tick_at())
    dialer = Session(0.0, "casa", 11, (KEY,), dialer=True, expected="rabat")
    assert fault_name(dialer, 0.0, f.Hello((1,), "fes", 3, b"n" * 16)) == "site"


def test_protocol_violations_raise_named_faults() -> None:
    def open_frame(request_id: int, size: int = 0, sent: float = 0.0) -> f.Open:
        return f.Open(request_id, sent, 1.0, "submit", None, None, False, b"", b"POST", b"/", (), size)

    for frames, name in (
        ([f.Hello((1,), "casa", 11, b"n" * 16)], "greeting_again"),
        ([f.Pong(0.0, 1.0)], "clock"),
        ([open_frame(2), open_frame(2)], "id_order"),
        ([open_frame(2), open_frame(1)], "id_order"),
        ([open_frame(1, f.MAX_BODY + 1)], "body_size"),
        ([open_frame(1, -1)], "body_size"),
        ([open_frame(1, sent=float("nan"))], "clock"),
        ([f.Data(5, False, b"x")], "id_unknown"),
        ([open_frame(1, 10), f.Data(1, False, b"x" * 11)], "no_credit"),
        ([open_frame(1, 10), f.Data(1, False, b"")], "no_credit"),
        ([open_frame(1, f.MAX_BODY), *[f.Data(1, False, b"x" * 8192)] * 5], "no_credit"),
        ([f.Credit(0, False, 1)], "credit"),
        ([f.Credit(0, False, -1)], "credit"),
        ([f.Cancel(9)], "id_unknown"),
        ([f.Fault("no_credit")], "peer_fault"),
        ([f.Answer(1, "finished", 0.0, (), 5, True)] * 2, "id_order"),
    ):
        pair = established_pair()
        if name == "no_credit" and len(frames) > 3:
            pair.b.granted_credit = 32 * 1024  # link credit, as after many bodies
        assert fault_name(pair.b, pair.clock(pair.b), *frames) == name, frames
    many = established_pair()
    many.b.peer_requests = set(range(s.MAX_OPEN_REQUESTS))
    assert fault_name(many.b, many.clock(many.b), open_frame(9999)) == "too_many_open"


def test_one_way_stall_is_distinguished_from_idleness() -> None:
    pair = established_pair()
    for _ in range(40):  # ten idle seconds with pings alone raise no fault
        pair.now += 0.25
        pair.a.tick(pair.clock(pair.a))
        pair.b.tick(pair.clock(pair.b))
        pair.settle()
    pair.now += s.PING_INTERVAL
    for session in (pair.a, pair.b):
        session.tick(pair.clock(session))
    pair.a.take_output()  # a's bytes are lost: both sides notice, whichever direction stalls
    assert pair.a.ready(pair.now) and not pair.a.ready(pair.now + 0.6 * s.STALL_TIMEOUT)
    pair.transfer(pair.b)
    pair.a.take_output()
    pair.now += s.STALL_TIMEOUT
    for session in (pair.a, pair.b):
        assert session.next_tick_at() <= pair.clock(session)
        with pytest.raises(f.LinkFault, match="stalled"):
            session.tick(pair.clock(session))


def test_request_never_expires_later_at_the_peer() -> None:
    """The clocks are far apart and the link is slow; time on the way reduces the time until the expiry."""
    for delay in (0.0, 0.04, 0.9):
        pair = Pair()
        pair.settle(0.02)
        expires_here = pair.now + 1.5
        pair.open_request(1)
        pair.transfer(pair.a, delay)
        (event,) = [request for request in pair.events[pair.b] if isinstance(request, RequestReceived)]
        assert event.expires_at - pair.clock_difference <= expires_here
        assert event.expires_at - pair.clock_difference >= expires_here - 0.1
        # A stale request may have been abandoned by its sender and run elsewhere.
        assert event.stale == (delay > s.STALL_TIMEOUT / 2)
    pair.now += s.CLOCK_OFFSET_TTL + 1  # without a recent measurement of the clock nothing starts
    pair.open_request(2)
    pair.transfer(pair.a)
    assert [request.expires_at for request in pair.events[pair.b] if isinstance(request, RequestReceived)][
        -1
    ] == float("-inf")


def test_completely_written_requests_are_known_to_the_byte() -> None:
    pair = established_pair()
    assert pair.a.ready(pair.now)
    before = pair.a.queued_bytes
    pair.open_request(1, b"x" * 100)
    pair.open_request(2, b"y" * f.MAX_BODY)  # the second half waits for credit
    end = pair.a.end_positions[1]
    assert (
        pair.a.take_written(end - 1) == []
        and pair.a.take_written(end) == [1]
        and before < end < pair.a.queued_bytes
    )
    assert 2 not in pair.a.end_positions
    pair.a.forget(2)
    pair.settle()
    assert pair.received_requests() == [(1, b"x" * 100)] and not pair.b.incoming
    assert pair.a.credit + pair.b.unreturned_credit == s.LINK_CREDIT


# Claims.


def test_ledger_starts_no_name_twice_or_after_a_revoke() -> None:
    ledger = Ledger(3, 2)
    assert not ledger.start(5, 1)  # no connection with that epoch was up
    assert ledger.welcome(5) and ledger.start(5, 1) and not ledger.start(5, 1)
    assert ledger.revoke(5, 1) == "started" and ledger.revoke(5, 2) == "never" and not ledger.start(5, 2)
    ledger.done(5, 1)
    assert ledger.revoke(5, 1) == "done" and ledger.revoke(5, 2) == "never"
    for request_id in (3, 4, 5):
        assert ledger.start(5, request_id)
    assert ledger.revoke(5, 1) == ledger.revoke(5, 2) == "unknown"  # forgotten
    assert not ledger.start(5, 1) and not ledger.start(5, 2)
    assert ledger.welcome(6) and ledger.welcome(7) and not ledger.welcome(5) and not ledger.start(5, 99)
    assert ledger.revoke(5, 99) == "unknown"


def test_claims_hold_in_every_state() -> None:
    result = Checker(Size(1, 2, 1, 1)).run()
    assert (result.violation, result.states) == ("", 13807) and result.ends > 1000
    two = Checker(Size(2, 2, 1, 1, names=1)).run(60_000)
    assert two.violation == "" and two.states >= 60_000


class LedgerWithoutFloor(Ledger):
    """A faulty ledger that forgets names without raising the floor."""

    def record(self, known: Epoch, request_id: int, standing: Standing) -> None:
        super().record(known, request_id, standing)
        known.floor = 0


class LedgerWithoutRevokes(Ledger):
    """A faulty ledger that answers "never" but does not record the revoke, so the request can start."""

    def revoke(self, epoch: int, request_id: int) -> f.State:
        known = self.epochs.get(epoch)
        return (
            "never"
            if known is not None and request_id not in known.names
            else super().revoke(epoch, request_id)
        )


class ClaimForgettingWrite(Claim):
    """A faulty claim that treats a written request as not written when its connection is lost."""

    def connection_lost(self) -> Step:
        self.written = False
        return super().connection_lost()


def test_the_checker_finds_planted_faults() -> None:
    for checker, expected_violation in (
        (Checker(Size(2, 2, 0, 0, names=1), make_ledger=LedgerWithoutFloor), "ran"),
        (Checker(Size(1, 2, 0, 0), make_ledger=LedgerWithoutRevokes), "ran"),
        (Checker(Size(1, 2, 0, 0), make_claim=ClaimForgettingWrite), "ran"),
        (Checker(Size(1, 2, 1, 0), epochs_matter=False), "ran"),
    ):
        result = checker.run(400_000)
        assert expected_violation in result.violation and result.trace
