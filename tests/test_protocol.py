"""Messages decode to the same value however they are split, and incomplete ones are not accepted."""

from __future__ import annotations

import json
from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainspindle.balancer.host import AttemptOutcome, EndpointStatus
from rainspindle.protocol import plain
from rainspindle.protocol.application import ApplicationSide, Ask, Bad
from rainspindle.protocol.client import Call, Reply, Unreadable
from rainspindle.protocol.discovery import DiscoverySide, ListDecoder
from rainspindle.protocol.endpoint import Answered, EndpointSide
from rainspindle.protocol.settings import make_balancer, retry_limits
from rainspindle.transport.address import address_text, parse_address

from .fleet import SETTINGS, Fleet, ask, entry, kind

NAMES = ("look", "book", "note")


def in_pieces(data: bytes, cuts: list[int]) -> list[bytes]:
    ends = sorted({c % (len(data) + 1) for c in cuts} | {0, len(data)})
    return [data[a:b] for a, b in pairwise(ends)]


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    cuts=st.lists(st.integers(0, 2000), max_size=12),
    body=st.binary(max_size=600),
    name=st.sampled_from(NAMES),
    wait=st.integers(0, 10**6),
    repeat=st.booleans(),
)
def test_a_request_split_in_any_way_is_one_ask(cuts, body, name, wait, repeat):  # type: ignore[no-untyped-def]
    side = ApplicationSide(NAMES)
    extra = "X-Retried: 1\r\nX-Cost: 12500\r\n" if repeat else "X-Attrs: predicted=12.5,other=x\r\n"
    asks = []
    for piece in in_pieces(ask("id7", name, body, wait, extra), cuts):
        side.receive(piece)
        message = side.next()
        asks += [message] if message is not None else []
    assert len(asks) == 1 and isinstance(asks[0], Ask)
    got = asks[0]
    assert (got.request_id, got.body, got.key, got.repeat) == (b"id7", body, "uid7", repeat)
    assert (NAMES[got.type_index], got.wait) == (name, wait / 1000)
    assert got.hint == pytest.approx(0.0125)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    data=st.one_of(
        st.binary(max_size=300),
        st.builds(
            lambda at, junk: ask("x")[:at] + junk + ask("x")[at:], st.integers(0, 140), st.binary(max_size=12)
        ),
    ),
    ends=st.booleans(),
)
def test_any_bytes_give_a_message_a_4xx_or_nothing(data, ends):  # type: ignore[no-untyped-def]
    side = ApplicationSide(NAMES)
    side.receive(data)
    if ends:
        side.receive(b"")
    message = side.next()
    if isinstance(message, Bad):
        assert 400 <= message.status < 500 and "\n" not in message.reason
        assert side.answer(message.status, b"", close=True).startswith(b"HTTP/1.1 4")


@settings(max_examples=400, deadline=None, derandomize=True)
@given(
    at=st.integers(0, 170),
    cut=st.integers(0, 12),
    junk=st.one_of(
        st.binary(max_size=6),
        st.sampled_from(
            [
                b"Host: b\r\n",
                b"Content-Length: 3\r\n",
                b"Transfer-Encoding: chunked\r\n",
                b"Connection: close\r\n",
                b" ",
                b"\t",
                b"\r",
                b"\n",
                b":",
                b"x",
                b"0",
            ]
        ),
    ),
    body=st.sampled_from([b"", b"abc"]),
)
def test_fast_path_agrees_with_the_parser(at, cut, junk, body):  # type: ignore[no-untyped-def]
    """The fast path and h11 must agree on each message; one received in two parts is always left to h11."""
    whole, pieces, good = ApplicationSide(NAMES), ApplicationSide(NAMES), ask("x", "book", body)
    data = good[:at] + junk + good[at + cut :]
    whole.receive(data)
    pieces.receive(data[:1])
    pieces.receive(data[1:])
    if whole.connection is None:
        assert whole.next() == pieces.next() and pieces.goes_on()
    answer = http_answer(body)[:at] + junk + http_answer(body)[at + cut :]
    found = plain.answer(answer, 9999, 9999)
    if found is not None:
        call = Call(9999)
        reply = call.receive(answer[:1]) or call.receive(answer[1:])
        assert reply == Reply(*found, reusable=True)


def answered(data: bytes, then_end: bool = True) -> Answered | None:
    side = EndpointSide()
    request = ApplicationSide(NAMES)
    request.receive(ask("x"))
    message = request.next()
    assert isinstance(message, Ask)
    assert b"X-Timeout-Ms: 250\r\n" in side.forward(message, b"host:1", 0.25)
    found = side.receive(data)
    return found if found is not None or not then_end else side.receive(b"")


@pytest.mark.parametrize(
    ("head", "outcome"),
    [
        (b"200 OK", AttemptOutcome.SERVED),
        (b"500 X", AttemptOutcome.ERROR),
        (b"503 X", AttemptOutcome.ERROR),
        (b"503 X\r\nX-Not-Processed: 1", AttemptOutcome.OVERLOADED),
        (b"504 X\r\nX-Not-Processed: 1", AttemptOutcome.OVERLOADED),
        (b"500 X\r\nX-Not-Processed: 1", AttemptOutcome.ERROR),
        (b"503 X\r\nX-Not-Processed: 0", AttemptOutcome.ERROR),
        (b"201 X", AttemptOutcome.ERROR),
        (b"302 X", AttemptOutcome.ERROR),
        (b"400 X", AttemptOutcome.ERROR),
    ],
)
def test_only_an_explicit_answer_proves_that_an_attempt_was_not_executed(
    head: bytes, outcome: AttemptOutcome
) -> None:
    found = answered(b"HTTP/1.1 " + head + b"\r\nContent-Length: 2\r\n\r\nab")
    assert found is not None and found.outcome is outcome and found.reusable


def test_connection_is_reusable_only_where_both_sides_allow_it() -> None:
    for data in (
        b"HTTP/1.1 200 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
        b"HTTP/1.0 200 X\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 X\r\n\r\nto the end",
        b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\nunasked for",
    ):
        found = answered(data)
        assert found is not None and found.outcome is AttemptOutcome.SERVED and not found.reusable
    early = answered(b"HTTP/1.1 102 X\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\nz")
    assert early is not None and early.body == b"z" and early.reusable


def http_answer(message: object, status: int = 200) -> bytes:
    body = message if isinstance(message, bytes) else json.dumps(message).encode()
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def test_a_list_change_is_decoded_on_the_sidecars_clock() -> None:
    side = DiscoverySide(ListDecoder(("north", "south"), clock_offset=-1000.0))
    assert b"index=41&wait=10000" in side.watch(b"d:1", 41, 10.0)
    found = side.receive(
        http_answer(
            {
                "generation": 43,
                "reset": True,
                "instances": [
                    entry("a", 81, "DRAINING", 1_250_500.0, "south"),
                    entry("b", 82),
                    entry("c", 83, "DELETED", zone="?"),
                ],
            }
        )
    )
    assert found is not None
    change, reusable = found
    a, b, c = change.lines
    assert (change.version, change.whole, reusable) == (43, True, True)
    assert (a.status, a.zone, a.started_at) == (EndpointStatus.DRAINING, 1, 250.5)
    assert (b.status, b.zone, b.started_at) == (EndpointStatus.READY, 0, None)
    assert c.status is EndpointStatus.GONE and change.addresses["a"] == ("127.0.0.1", 81)


GOOD = {"generation": 2, "reset": False, "instances": [entry("a", 81)]}


@pytest.mark.parametrize(
    "data",
    [
        http_answer(b"{"),
        http_answer([1]),
        http_answer({"generation": 1}),
        http_answer({**GOOD, "generation": None}),
        http_answer(GOOD, 503),
        http_answer({**GOOD, "instances": [1]}),
        http_answer({**GOOD, "instances": [{**entry("a", 81), "lifecycle": "NEW"}]}),
        http_answer({**GOOD, "instances": [{**entry("a", 81), "startedAtMs": "soon"}]}),
        http_answer({**GOOD, "instances": [{**entry("a", 81), "hostPort": "nowhere"}]}),
        http_answer(GOOD)[:-5],
    ],
)
def test_an_unreadable_list_changes_nothing(data: bytes) -> None:
    side = DiscoverySide(ListDecoder(("north",), 0.0))
    side.whole(b"d:1")
    with pytest.raises(Unreadable):
        if side.receive(data) is None:
            side.receive(b"")


@pytest.mark.parametrize("text", ["nowhere", "a.example:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000"])
def test_an_address_is_numeric_and_complete(text: str) -> None:
    assert address_text(parse_address("[::1]:80")) == "[::1]:80" and parse_address("127.0.0.1:0")[1] == 0
    with pytest.raises(ValueError):
        parse_address(text)


@pytest.mark.parametrize(
    "key,value",
    [
        ("budget-free", "many"),
        ("budget-free", -1),
        ("repeat-ratio", True),
        ("counted-over", 0),
        ("counted-over", None),
        ("soft-removal", 1),
        ("counted-over", float("inf")),
    ],
)
def test_invalid_settings_of_optional_rules_are_named(key: str, value: object) -> None:
    contract = {**SETTINGS["contract"], "budget-free": 1, "repeat-ratio": 0.15, "counted-over": 2000}
    with pytest.raises(ValueError, match=key):
        make_balancer(Fleet([kind()], []), 1, 0.0, {**SETTINGS, "contract": {**contract, key: value}})


def test_a_retry_budget_is_read_from_the_settings() -> None:
    contract = {**SETTINGS["contract"], "budget-free": 1, "repeat-ratio": 0.15, "counted-over": 2000}
    assert retry_limits(SETTINGS["contract"]) is None
    made = retry_limits(contract)
    assert made and (made.free, made.share, made.window) == (1.0, 0.15, 2.0)
