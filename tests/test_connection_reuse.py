"""Bytes that an endpoint sends late must not reach another client over a reused connection."""

from __future__ import annotations

import pytest

from rainspindle.transport.pool import Pool

from .fleet import Got, Rig, ask, only

REST = Pool.REST


def served_once(rig: Rig, request_id: str) -> Got:
    """Serves one request and returns its stand-in's side, with the connection idle again."""
    rig.asked(ask(request_id))
    got = only(rig.got())
    got.answer(200, b"of " + request_id.encode())
    rig.settle()
    return got


# Guards against foreign answers under load: a full pool gave out connections that had not rested, so that a
# second answer some milliseconds late became the answer to the next client's request.
def test_a_late_second_answer_is_discarded_where_the_pool_is_full() -> None:
    rig = Rig(1, connections=1)
    first = served_once(rig, "a")
    rig.wait(0.005)
    client = rig.asked(ask("b"))
    first.answer(200, b"of a")
    rig.wait(REST)
    only(rig.got()).answer(200, b"of b")
    rig.settle()
    answer = client.answer()
    assert answer and answer[1] == b"of b"
    assert rig.pool.unsound == 1 and rig.pool.open == 1
    rig.close()


# Guards against a handshake for each request of a full pool: the wait for a connection to rest is shorter.
def test_a_full_pool_reuses_a_connection_once_it_has_rested() -> None:
    rig = Rig(1, connections=1)
    first = served_once(rig, "a")
    client = rig.asked(ask("b"))
    assert rig.got() == [], "written before the connection had rested"
    rig.wait(REST + 0.001)
    second = only(rig.got())
    assert second.sock is first.sock and rig.pool.made == 1 and rig.pool.rests == 1
    second.answer(200, b"of b")
    rig.settle()
    assert client.status() == 200
    rig.close()


# Guards against a request that waits for a connection which others, or a close, have taken meanwhile.
@pytest.mark.parametrize("loss", ["peer closes", "endpoint restarts"])
def test_a_request_gets_a_new_connection_where_the_awaited_one_is_lost(loss: str) -> None:
    rig = Rig(1, connections=1)
    first = served_once(rig, "a")
    client = rig.asked(ask("b"))
    if loss == "peer closes":
        first.close()
    else:
        rig.pool.drop_all(("e0", ("127.0.0.1", rig.stands[0].port)))
    rig.settle()
    only(rig.got()).answer(200, b"of b")
    rig.settle()
    assert client.status() == 200 and rig.pool.made == 2 and rig.pool.open == 1
    rig.close()


# Guards against places of the pool that are lost with clients which leave while they wait for a connection.
def test_a_connection_is_free_again_when_the_client_that_waits_for_it_leaves() -> None:
    rig = Rig(1, connections=1)
    served_once(rig, "a")
    client = rig.asked(ask("b"))
    client.close()
    rig.settle()
    assert not rig.pool.resting and len(rig.pool.idle[("e0", ("127.0.0.1", rig.stands[0].port))]) == 1
    rig.wait(REST)
    last = rig.asked(ask("c"))
    only(rig.got()).answer(200, b"of c")
    rig.settle()
    assert last.status() == 200 and rig.pool.made == 1
    rig.close()
