"""The link's protocol: frames in odd cuts, greetings, credit, heartbeats, claims, and the claims' model
checked."""

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
from rainspindle.protocol.link.session import Came, Event, Session, Told, Up

KEY, OTHER = b"0123456789abcdef", b"fedcba9876543210"


class Pair:
    """Two sessions and the bytes between them; time is moved by hand, and the two clocks differ."""

    def __init__(
        self,
        keys: Sequence[bytes] = (KEY,),
        other_keys: Sequence[bytes] = (KEY,),
        cut: Callable[[bytes], list[bytes]] = lambda data: [data],
    ) -> None:
        self.now, self.apart, self.cut = 100.0, 5000.0, cut
        self.a = Session(self.now, "casa", 11, keys, dialer=True, expected="rabat")
        self.b = Session(self.now + self.apart, "rabat", 22, other_keys, dialer=False)
        self.events: dict[Session, list[Event]] = {self.a: [], self.b: []}

    def clock(self, of: Session) -> float:
        return self.now + (self.apart if of is self.b else 0.0)

    def other(self, of: Session) -> Session:
        return self.b if of is self.a else self.a

    def carry(self, of: Session, delay: float = 0.0) -> None:
        data = of.take()
        self.now += delay
        to = self.other(of)
        for part in self.cut(data):
            self.events[to] += to.receive(self.clock(to), part)

    def settle(self, delay: float = 0.0) -> None:
        while self.a.out or self.b.out:
            self.carry(self.a, delay)
            self.carry(self.b, delay)

    def opened(self, id: int, body: bytes = b"", left: float = 1.5, of: Session | None = None) -> None:
        of = of or self.a
        of.open(
            f.Open(
                id,
                self.clock(of),
                left,
                "submit",
                "k",
                None,
                False,
                b"x%d" % id,
                b"POST",
                b"/",
                ((b"a", b"b"),),
                len(body),
            ),
            body,
        )

    def came(self, of: Session | None = None) -> list[tuple[int, bytes]]:
        return [(e.open.id, e.body) for e in self.events[of or self.b] if isinstance(e, Came)]


def fault(of: Session, now: float, *frames: f.Frame) -> str:
    with pytest.raises(f.LinkFault) as raised:
        of.receive(now, b"".join(f.encode(frame) for frame in frames))
    return raised.value.name


def up() -> Pair:
    pair = Pair()
    pair.settle()
    assert pair.events[pair.a] == [Up("rabat", 22)] and pair.events[pair.b] == [Up("casa", 11)]
    return pair


@settings(max_examples=60, deadline=None, derandomize=True, database=None)
@given(st.integers(0, 2**32), st.lists(st.tuples(st.booleans(), st.integers(0, f.MOST_BODY)), max_size=40))
def test_bodies_cross_whole_and_in_credit_however_they_are_cut(
    seed: int, bodies: list[tuple[bool, int]]
) -> None:
    rng = random.Random(seed)

    def cut(data: bytes) -> list[bytes]:
        at = sorted(rng.randrange(len(data) + 1) for _ in range(rng.randrange(6)))
        return [data[i:j] for i, j in zip([0, *at], [*at, len(data)], strict=True) if i < j]

    pair = Pair(cut=cut)
    pair.settle()
    sent: dict[Session, list[tuple[int, bytes]]] = {pair.a: [], pair.b: []}
    for n, (ours, size) in enumerate(bodies):
        of = pair.a if ours else pair.b
        sent[of].append((n + 1, rng.randbytes(size)))
        pair.opened(*sent[of][-1], of=of)
        if rng.random() < 0.3:
            pair.carry(of)
    pair.settle()
    for of in (pair.a, pair.b):
        to = pair.other(of)
        assert sorted(pair.came(to)) == sent[of]
        for id, body in sent[of]:
            to.answer(f.Answer(id, "finished", 0.0, (), len(body), True), body)
    pair.settle()
    for of in (pair.a, pair.b):
        told = [(e.answer.id, e.body) for e in pair.events[of] if isinstance(e, Told)]
        assert sorted(told) == sent[of] and not of.ours and not of.theirs
        assert not of.incoming and not of.outgoing and of.waiting == 0
        assert of.credit + pair.other(of).owed == s.LINK_CREDIT


def test_what_is_no_frame_ends_the_connection_by_name() -> None:
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
def test_garbage_is_a_named_fault_and_nothing_else(data: bytes, greeted: bool) -> None:
    pair = up() if greeted else Pair()
    try:
        pair.b.receive(pair.clock(pair.b), len(data).to_bytes(4, "big") + data)
    except f.LinkFault as fault_:
        assert fault_.name


def test_peers_prove_a_key_that_is_valid_on_both_sides() -> None:
    changing = Pair((OTHER, KEY), (KEY,))
    changing.settle()
    assert changing.a.up and changing.b.up
    with pytest.raises(f.LinkFault, match="proof"):
        Pair((OTHER,), (KEY,)).settle()
    # What one side said is no proof of the other: not its own, nor that of another connection.
    pair, old = Pair(), Pair()
    old.carry(old.a)
    old.carry(old.b)
    proof = f.Proof((old.a.digest(KEY, True),))
    pair.carry(pair.a)
    assert fault(pair.b, pair.clock(pair.b), proof) == "proof"
    mirror = Pair()
    mirror.a.receive(mirror.now, f.encode(mirror.b.hello))
    assert fault(mirror.a, mirror.now, f.Proof((mirror.a.digest(KEY, True),))) == "proof"


def test_strangers_cost_little_and_say_nothing() -> None:
    def stranger() -> tuple[Session, float]:
        return Session(0.0, "rabat", 22, (KEY,), dialer=False), 0.0

    hello = f.Hello((1,), "casa", 11, b"n" * 16)
    assert fault(*stranger(), f.Ping(1.0)) == "greeting_expected"
    assert fault(*stranger(), f.Hello((9,), "casa", 11, b"n" * 16)) == "version"
    assert fault(*stranger(), f.Hello((1,), "rabat", 11, b"n" * 16)) == "site"
    assert fault(*stranger(), f.Hello((1,), "casa", 0, b"n" * 16)) == "greeting_unfit"
    assert fault(*stranger(), hello, f.Ping(0.0)) == "proof_expected"
    assert fault(*stranger(), f.Hello((1,), "c" * 4000, 1, b"n" * 16)) == "greeting_long"
    session, _ = stranger()
    session.tick(session.next_at() - 0.01)
    with pytest.raises(f.LinkFault, match="greeting_late"):
        session.tick(session.next_at())
    called = Session(0.0, "casa", 11, (KEY,), dialer=True, expected="rabat")
    assert fault(called, 0.0, f.Hello((1,), "fes", 3, b"n" * 16)) == "site"


def test_whoever_breaks_the_protocol_is_named() -> None:
    def opened(id: int, size: int = 0, sent: float = 0.0) -> f.Open:
        return f.Open(id, sent, 1.0, "submit", None, None, False, b"", b"POST", b"/", (), size)

    for frames, name in (
        ([f.Hello((1,), "casa", 11, b"n" * 16)], "greeting_again"),
        ([f.Pong(0.0, 1.0)], "clock"),
        ([opened(2), opened(2)], "id_order"),
        ([opened(2), opened(1)], "id_order"),
        ([opened(1, f.MOST_BODY + 1)], "body_size"),
        ([opened(1, -1)], "body_size"),
        ([opened(1, sent=float("nan"))], "clock"),
        ([f.Data(5, False, b"x")], "id_unknown"),
        ([opened(1, 10), f.Data(1, False, b"x" * 11)], "no_credit"),
        ([opened(1, 10), f.Data(1, False, b"")], "no_credit"),
        ([opened(1, f.MOST_BODY), *[f.Data(1, False, b"x" * 8192)] * 5], "no_credit"),
        ([f.Credit(0, False, 1)], "credit"),
        ([f.Credit(0, False, -1)], "credit"),
        ([f.Cancel(9)], "id_unknown"),
        ([f.Fault("no_credit")], "peer_fault"),
        ([f.Answer(1, "finished", 0.0, (), 5, True)] * 2, "id_order"),
    ):
        pair = up()
        if name == "no_credit" and len(frames) > 3:
            pair.b.granted = 32 * 1024  # of the link, as after many bodies
        assert fault(pair.b, pair.clock(pair.b), *frames) == name, frames
    many = up()
    many.b.theirs = set(range(s.MOST_OPEN))
    assert fault(many.b, many.clock(many.b), opened(9999)) == "too_many_open"


def test_a_stall_in_one_direction_is_told_from_idleness() -> None:
    pair = up()
    for _ in range(40):  # idle for ten seconds: pings alone, no fault
        pair.now += 0.25
        pair.a.tick(pair.clock(pair.a))
        pair.b.tick(pair.clock(pair.b))
        pair.settle()
    pair.now += s.HEARTBEAT
    for of in (pair.a, pair.b):
        of.tick(pair.clock(of))
    pair.a.take()  # a's bytes are lost on the way: both sides notice, whichever way stalls
    assert pair.a.ready(pair.now) and not pair.a.ready(pair.now + 0.6 * s.STALL)
    pair.carry(pair.b)
    pair.a.take()
    pair.now += s.STALL
    for of in (pair.a, pair.b):
        assert of.next_at() <= pair.clock(of)
        with pytest.raises(f.LinkFault, match="stalled"):
            of.tick(pair.clock(of))


def test_an_exchange_never_expires_later_there_than_here() -> None:
    """The clocks are far apart and the link is slow; what was on the way for long has less time left."""
    for delay in (0.0, 0.04, 0.9):
        pair = Pair()
        pair.settle(0.02)
        expires_here = pair.now + 1.5
        pair.opened(1)
        pair.carry(pair.a, delay)
        (event,) = [e for e in pair.events[pair.b] if isinstance(e, Came)]
        assert event.expires_at - pair.apart <= expires_here
        assert event.expires_at - pair.apart >= expires_here - 0.1
        assert event.stale == (delay > s.STALL / 2)  # it may have been given up, and run elsewhere
    pair.now += s.CLOCK_AGE + 1  # not measured for long: nothing starts
    pair.opened(2)
    pair.carry(pair.a)
    assert [e.expires_at for e in pair.events[pair.b] if isinstance(e, Came)][-1] == float("-inf")


def test_what_is_written_whole_is_known_to_the_byte() -> None:
    pair = up()
    assert pair.a.ready(pair.now)
    before = pair.a.queued
    pair.opened(1, b"x" * 100)
    pair.opened(2, b"y" * f.MOST_BODY)  # its second half waits for credit
    end = pair.a.ends[1]
    assert pair.a.whole(end - 1) == [] and pair.a.whole(end) == [1] and before < end < pair.a.queued
    assert 2 not in pair.a.ends
    pair.a.forget(2)
    pair.settle()
    assert pair.came() == [(1, b"x" * 100)] and not pair.b.incoming
    assert pair.a.credit + pair.b.owed == s.LINK_CREDIT


# Claims.


def test_a_ledger_never_lets_a_name_start_twice_or_after_a_revoke() -> None:
    ledger = Ledger(3, 2)
    assert not ledger.start(5, 1)  # nobody of that epoch was welcomed
    assert ledger.welcome(5) and ledger.start(5, 1) and not ledger.start(5, 1)
    assert ledger.revoke(5, 1) == "started" and ledger.revoke(5, 2) == "never" and not ledger.start(5, 2)
    ledger.done(5, 1)
    assert ledger.revoke(5, 1) == "done" and ledger.revoke(5, 2) == "never"
    for id in (3, 4, 5):
        assert ledger.start(5, id)
    assert ledger.revoke(5, 1) == ledger.revoke(5, 2) == "unknown"  # forgotten
    assert not ledger.start(5, 1) and not ledger.start(5, 2)
    assert ledger.welcome(6) and ledger.welcome(7) and not ledger.welcome(5) and not ledger.start(5, 99)
    assert ledger.revoke(5, 99) == "unknown"


def test_the_claims_hold_in_every_state() -> None:
    found = Checker(Size(1, 2, 1, 1)).run()
    assert (found.violation, found.states) == ("", 13807) and found.ends > 1000
    two = Checker(Size(2, 2, 1, 1, names=1)).run(60_000)
    assert two.violation == "" and two.states >= 60_000


class Forgetful(Ledger):
    """Forgets names without a floor."""

    def write(self, known: Epoch, id: int, standing: Standing) -> None:
        super().write(known, id, standing)
        known.floor = 0


class Unbinding(Ledger):
    """Says that it never started, and lets it start after."""

    def revoke(self, epoch: int, id: int) -> f.State:
        known = self.epochs.get(epoch)
        return "never" if known is not None and id not in known.names else super().revoke(epoch, id)


class Hopeful(Claim):
    """Takes an exchange that was written for one that was not."""

    def connection_lost(self) -> Step:
        self.written = False
        return super().connection_lost()


def test_the_checker_finds_planted_faults() -> None:
    for checker, what in (
        (Checker(Size(2, 2, 0, 0, names=1), make_ledger=Forgetful), "ran"),
        (Checker(Size(1, 2, 0, 0), make_ledger=Unbinding), "ran"),
        (Checker(Size(1, 2, 0, 0), make_claim=Hopeful), "ran"),
        (Checker(Size(1, 2, 1, 0), epochs_matter=False), "ran"),
    ):
        found = checker.run(400_000)
        assert what in found.violation and found.trace
