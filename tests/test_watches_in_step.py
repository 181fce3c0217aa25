"""Watches of several sidecars that fall silent together are replaced in time to receive a change."""

from __future__ import annotations

import math
import random

import pytest

from rainspindle.routing.follow import Follower

from .discovery import START, Asked, Callers, Socket
from .test_told_within import HERE, BusyService

ASK_WITHIN = 10.0  # seconds
# seconds; the figures that operators were given: the later of the two counts
TOLD_AFTER_SILENCE, TOLD_AFTER_WAIT = 6.0, 2.0
DRAIN_GRACE = 0.5  # seconds


class TurnsForNews(BusyService):
    """Only answers with a change take the service's time; a watch whose wait has ended takes none."""

    def __init__(self, callers: Callers, rate: int) -> None:
        super().__init__(callers, rate, silently=False)
        self.last_call: dict[Socket, Asked] = {}

    def written(self, s: Socket, data: bytes) -> None:
        super().written(s, data)
        self.last_call[s] = self.calls[-1]

    def take(self, s: Socket, call: Asked, index: int | None) -> None:
        if index is not None and index >= self.generation:
            self.serve(s, call, index)
        else:
            super().take(s, call, index)

    def fall_silent(self) -> dict[int, float]:
        """Makes all connections silent; returns by socket number when each open watch's wait ends."""
        over = {}
        for s in list(self.sockets.values()):
            call = self.last_call.get(s)
            if call is not None and call.wait is not None and not call.answered:
                over[s.number] = call.at + call.wait
            s.dead = True
        self.waiting.clear()
        return over


def lateness(seed: int, callers_count: int, calls_a_second: int) -> list[float]:
    """Returns how late each sidecar whose watch was open when all fell silent has the change, in seconds."""
    draw = random.Random(seed)
    silent_at = START + draw.uniform(10.0, 16.0)
    with pytest.MonkeyPatch.context() as patch:
        callers = Callers(patch)
        loop = callers.loop
        service = TurnsForNews(callers, calls_a_second)
        callers.services[HERE] = service
        pairs = [
            callers.follower(HERE, ASK_WITHIN, chance=random.Random(draw.random()).random)
            for _ in range(callers_count)
        ]
        for follower, _ in pairs:
            loop.at(START + draw.uniform(0.0, 0.01), follower.want)
        loop.run_until(silent_at)
        open_sockets = [follower.connection and follower.connection.sock.fileno() for follower, _ in pairs]
        over = service.fall_silent()
        service.change()
        loop.run_until(silent_at + 40.0)
        loop.end()
    told_at = [
        max(silent_at + TOLD_AFTER_SILENCE, over.get(number or 0, math.inf) + TOLD_AFTER_WAIT)
        for number in open_sockets
    ]
    return [
        keeper.told_at - told for (_, keeper), told in zip(pairs, told_at, strict=True) if told < math.inf
    ]


@pytest.mark.parametrize(("callers_count", "calls_a_second"), [(6, 3), (9, 3), (9, 4)])
def test_each_has_the_change_in_time(callers_count: int, calls_a_second: int) -> None:
    """Guards against watches that all end at one moment: the last call in the queue came too late."""
    late = [seconds for seed in range(40) for seconds in lateness(seed, callers_count, calls_a_second)]
    assert len(late) > 30 * callers_count
    assert max(late) <= DRAIN_GRACE


def test_the_wait_of_a_watch_is_drawn_anew_each_time() -> None:
    with pytest.MonkeyPatch.context() as patch:
        callers = Callers(patch)
        service = TurnsForNews(callers, rate=4)
        callers.services[HERE] = service
        follower, _ = callers.follower(HERE, ASK_WITHIN, chance=random.Random(7).random)
        follower.want()
        callers.loop.run_until(START + 60.0)
        callers.loop.end()
    waits = {call.wait for call in service.calls}
    longest = Follower.WATCH_FRACTION * ASK_WITHIN
    assert len(waits) == len(service.calls) > 60.0 / longest
    assert all(
        wait is not None and (1 - Follower.WATCH_JITTER) * longest - 0.001 <= wait <= longest
        for wait in waits
    )
