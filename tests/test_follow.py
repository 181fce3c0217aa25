"""Events during a call to discovery: another address, old answers, members' reports, no descriptors."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

import pytest

from rainspindle.balancer.host import EndpointStatus
from rainspindle.protocol.client import Unreadable
from rainspindle.protocol.discovery import ListDecoder
from rainspindle.routing.follow import Follower

from .discovery import START, Asked, Away, Callers, Discovery, Form, ListKeeper, Socket, line
from .fleet import Rig, Stand, ask, entry, only

HERE, THERE = ("10.0.0.1", 8500), ("10.0.0.2", 8500)


class Followed:
    """A follower of one service, and a second service at another address whose versions begin at 12."""

    def __init__(self, patch: pytest.MonkeyPatch, form: Form = Form.CHANGES) -> None:
        self.callers = Callers(patch)
        self.loop = self.callers.loop
        self.old, self.new = Discovery(self.loop, form), Discovery(self.loop, form)
        self.callers.services.update({HERE: self.old, THERE: self.new})
        self.new.generation = 12
        self.follower: Follower
        self.keeper: ListKeeper
        self.follower, self.keeper = self.callers.follower(HERE, 10.0)
        self.follower.want()

    def at(self, seconds: float, *acts: Callable[[], None]) -> None:
        """Runs all acts in one turn of the loop."""

        def act() -> None:
            for do in acts:
                do()

        self.loop.at(START + seconds, act)

    def move(self) -> None:
        self.follower.move(THERE)

    def run(self, seconds: float) -> None:
        self.loop.run_until(START + seconds)

    def targets(self, service: Discovery) -> list[str]:
        return [call.target.decode().split()[1] for call in service.calls]


@pytest.fixture
def followed(monkeypatch: pytest.MonkeyPatch) -> Iterator[Followed]:
    made = Followed(monkeypatch)
    yield made
    made.loop.end()


# SIGHUP changes discovery's address.


@pytest.mark.parametrize("first", ["answer", "move"])
def test_an_answer_in_the_turn_of_a_move_is_not_taken_for_the_new_service(
    followed: Followed, first: str
) -> None:
    """Guards against a watch at the new service from a version of the old one: it may wait for long."""
    acts = [followed.old.change, followed.move]
    followed.new.draining = True
    followed.at(3.0, *(acts if first == "answer" else acts[::-1]))
    followed.run(3.2)
    assert followed.targets(followed.new)[0] == "/v1/endpoints"
    assert followed.follower.version == 12 and followed.keeper.told_at < math.inf


@pytest.mark.parametrize("away", [Away.RESET, Away.ENDED])
def test_a_move_in_the_turn_in_which_the_old_service_goes_is_followed_at_once(
    followed: Followed, away: Away
) -> None:
    """Guards against a pause after the failure of a call that is no longer wanted."""
    failed: list[float] = []
    followed.follower.failed = lambda: failed.append(followed.loop.time)
    followed.at(3.0, lambda: followed.old.go(away), followed.move)
    followed.run(3.2)
    assert followed.targets(followed.new)[0] == "/v1/endpoints" and not failed
    assert not followed.keeper.backoff.failures


def test_a_move_in_the_middle_of_a_list_gives_up_the_rest_of_it(monkeypatch: pytest.MonkeyPatch) -> None:
    for n in range(8):
        followed = Followed(monkeypatch, Form.PIECES)
        followed.at(3.0, followed.old.change)
        followed.at(3.0 + 0.01 * n, followed.move)
        followed.run(3.3)
        assert followed.targets(followed.new)[0] == "/v1/endpoints", n
        assert followed.follower.version == 12 and len(followed.old.sockets) == 0
        followed.loop.end()


def test_a_move_to_the_same_address_costs_no_call(followed: Followed) -> None:
    followed.at(3.0, lambda: followed.follower.move(HERE))
    followed.run(6.0)
    assert len(followed.old.calls) == 1
    followed.at(6.5, followed.old.change)
    followed.run(6.6)
    assert followed.keeper.told_at < START + 6.6


@pytest.mark.parametrize("moved_at", [3.0, 8.53, 8.56, 8.6])
def test_a_move_ends_what_spares_a_call(followed: Followed, moved_at: float) -> None:
    """Also in the pause after an answer with nothing new: the watch of 8.5 s is answered at 8.53 s."""
    followed.follower.deferred_until = lambda: START + (100.0 if followed.loop.time > START + 1.0 else 0.0)
    followed.new.draining = True
    followed.at(moved_at, followed.move)
    followed.run(moved_at + 0.06)
    assert followed.keeper.told_at < math.inf


def test_a_silence_at_the_old_address_is_none_at_the_new_one(followed: Followed) -> None:
    """The first silent call at the new address is repeated without a pause."""
    followed.old.go(Away.SILENT)
    followed.new.go(Away.SILENT)
    followed.at(9.5, followed.move)  # the second call at the old address is silent by now
    followed.run(9.5 + Follower.ANSWER_TIMEOUT + 0.1)
    assert len(followed.old.calls) == 2 and len(followed.new.calls) == 2


# Versions.


def test_a_lower_version_in_an_answer_to_a_retry_costs_one_short_pause(followed: Followed) -> None:
    """The service restarts its version count after an outage: it is back, and its change is due."""
    followed.at(2.0, lambda: followed.old.go(Away.REFUSED))
    followed.at(2.1, followed.old.change, lambda: followed.old.come_back(anew=True))
    followed.run(8.0)
    first, lower, whole = followed.old.calls[:3]
    assert lower.wait == Follower.RETRY_WAIT and whole.wait is None
    assert whole.at - lower.at < Follower.RETRY_WAIT + Follower.MIN_PAUSE + 0.1
    assert followed.follower.version == 3 and followed.keeper.told_at < math.inf and first.answered is False


def test_replicas_of_which_one_is_behind_are_not_called_in_a_loop(followed: Followed) -> None:
    """Each second call is answered by the replica that is behind."""

    def by_turns(s: Socket, call: Asked, index: int | None) -> None:
        followed.old.generation = 50 - 10 * (len(followed.old.calls) % 2)
        followed.old.answer(s, call, whole=True)

    followed.old.serve = by_turns  # type: ignore[method-assign]
    followed.run(30.0)
    assert 20 < len(followed.old.calls) < 30 * 4


@pytest.mark.parametrize("form", [Form.CHANGES, Form.WHOLE])
@pytest.mark.parametrize("lines", [True, False])
def test_a_service_that_answers_each_watch_at_once_with_nothing_new_is_not_flooded(
    followed: Followed, form: Form, lines: bool
) -> None:
    """The answers have no lines, or the same ones each time."""
    followed.old.form = form
    followed.old.serve = (  # type: ignore[method-assign]
        lambda s, call, index: followed.old.answer(s, call, whole=index is None, empty=not lines)
    )
    followed.run(10.0)
    assert len(followed.old.calls) <= 10 / Follower.EMPTY_ANSWER_PAUSE


# Descriptors.


def test_a_call_that_finds_no_descriptor_is_made_anew_in_time_when_there_is_one(followed: Followed) -> None:
    """Discovery counts as reachable from then on."""
    followed.at(1.0, lambda: followed.old.go(Away.RESET))
    followed.at(1.0, followed.old.come_back)
    followed.at(1.0, lambda: setattr(followed.callers, "descriptors", False))
    followed.at(1.2, followed.old.change)
    free_at = 1.2
    while free_at < 12.0:
        followed.run(free_at)
        assert followed.keeper.told_at == math.inf
        free_at += 0.5
    followed.callers.descriptors = True
    back_at = followed.loop.time
    followed.run(free_at + 6.0)
    assert followed.keeper.told_at - back_at < Follower.MAX_PAUSE + 0.1


# Lists.


def test_what_a_whole_list_in_answer_to_a_watch_does_not_name_is_gone(rig: Rig) -> None:
    """With the program's own core: no new request is sent there, although the endpoint still answers."""
    discovery = Stand()
    rig.stands.append(discovery)
    follower = Follower(
        rig.loop,
        ("127.0.0.1", discovery.port),
        rig.decoder,
        10.0,
        rig.decoder.decode({"generation": 41, "reset": True, "instances": [entry("e0", rig.stands[0].port)]}),
    )
    follower.core = rig.core
    follower.want()
    only(rig.got()).tell(42, True, entry("e1", rig.stands[1].port))
    assert "index=42" in only(rig.got()).target
    states = {e.id: e.listed.status for e in rig.balancer.registry.by_id.values()}
    assert (
        states.get("e0", EndpointStatus.GONE) is EndpointStatus.GONE
        and states.get("e2", EndpointStatus.GONE) is EndpointStatus.GONE
    )
    for n in range(12):
        rig.asked(ask(f"x{n}"))
        rig.serve_all()
    assert not rig.stands[0].accepted and not rig.stands[2].accepted and rig.stands[1].accepted


@pytest.mark.parametrize(
    "bad",
    [
        {"generation": 1e400},
        {"instances": [{**line("e0"), "cell": 1e400}]},
        {"instances": [{**line("e0"), "startedAtMs": 10**400}]},
    ],
)
def test_a_figure_that_is_none_makes_a_list_unreadable(bad: dict[str, object]) -> None:
    """Guards against an internal fault instead of a failed call, which is counted and followed by a pause."""
    with pytest.raises(Unreadable):
        ListDecoder(["a"], 0.0).decode({"generation": 1, "reset": True, "instances": [line("e0")], **bad})
