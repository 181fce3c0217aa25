"""Connections kept for further use, by whom they lead to, within a limit on all that are open."""

from __future__ import annotations

from functools import partial

from .address import Address
from .connection import Connection, OutOfSockets, Unless, open_connection
from .loop import Coroutine, Loop

Peer = tuple[str, Address]  # an address alone may pass from one peer to the next


class Pool:
    REST, NEW_REST = 0.025, 0.001  # within which an end shows after an answer, and of a new one
    MOST_ENDS, ENDS_STEP = 0.02, 0.01  # the share of early ends that makes wary, and how fast it is learnt
    IDLE_PART = 0.6  # of the stated idle time: what is written at its very end may be lost

    def __init__(self, loop: Loop, most: int, idle_time: float) -> None:
        self.loop, self.most = loop, most
        self.keep = self.IDLE_PART * idle_time if idle_time > 0 else 30.0
        self.idle: dict[Peer, list[Connection]] = {}  # the last used at the end
        self.open = 0
        self.lent = 0  # of its places, those that clients hold
        self.made = self.reused = 0
        self.ends = 0.0  # the share of kept connections that lately ended before they had rested

    def wary(self) -> bool:
        """Whether peers often end connections, so that one that must not break is better let rest."""
        return self.ends > self.MOST_ENDS

    def take(self, peer: Peer, careful: bool = False) -> Connection | None:
        """An idle connection that is still sound: of those that have rested, the last used.

        Guards against writing to one that is just being closed, and against taking what comes late behind an
        answer for the next one's: either shows within a moment. None that has not rested is taken while a new
        one may be opened, or for a `careful` exchange where early ends are frequent. May hurt by connections:
        as many more as answers come within that moment."""
        now, idle = self.loop.now(), self.idle.get(peer, [])
        while idle:
            connection = next((c for c in reversed(idle) if now - c.idle_since >= self.REST), idle[0])
            rested = now - connection.idle_since >= self.REST
            if not rested and (self.open + self.lent < self.most or (careful and self.wary())):
                return None
            if connection.sound() and now - connection.idle_since < self.keep:
                idle.remove(connection)
                self.reused += 1
                return connection
            self.drop(peer, connection)
        return None

    def connect(
        self, peer: Peer, until: float, careful: bool = False, unless: Unless = None
    ) -> Coroutine[Connection]:
        while self.open + self.lent >= self.most:
            if not self.make_room():
                raise OutOfSockets("every connection is in use")
        connection = open_connection(self.loop, peer[1])
        self.open += 1
        try:
            yield from connection.establish(until, unless)
            if careful and self.wary():
                yield from connection.rest(self.NEW_REST)
        except BaseException:
            self.close(connection)
            raise
        self.made += 1
        return connection

    def keep_idle(self, peer: Peer, connection: Connection) -> None:
        connection.idle_since = self.loop.now()
        self.ends -= self.ENDS_STEP * self.ends
        connection.wake = partial(self.looked_at, peer, connection)
        self.idle.setdefault(peer, []).append(connection)
        if connection.ended:
            self.looked_at(peer, connection)

    def looked_at(self, peer: Peer, connection: Connection) -> None:
        """An event on an idle connection: its end, something that nobody asked for, or old news."""
        if not connection.sound():
            if self.loop.now() - connection.idle_since < self.REST:
                self.ends += self.ENDS_STEP
            self.drop(peer, connection)

    def drop(self, peer: Peer, connection: Connection) -> None:
        idle = self.idle.get(peer, [])
        if connection in idle:
            idle.remove(connection)
            self.close(connection)

    def drop_all(self, peer: Peer) -> None:
        for connection in list(self.idle.get(peer, ())):
            self.drop(peer, connection)

    def close(self, connection: Connection) -> None:
        if not connection.closed:
            self.open -= 1
            connection.close()

    def make_room(self) -> bool:
        """Closes the connection that was idle the longest, if there is one."""
        oldest = min(((c[0].idle_since, a) for a, c in self.idle.items() if c), default=None)
        if oldest is None:
            return False
        self.drop(oldest[1], self.idle[oldest[1]][0])
        return True

    def can_lend(self) -> bool:
        """Whether one more place, of half at most, may go to a client; an idle connection gives its own."""
        return self.lent < self.most // 2 and (self.open + self.lent < self.most or self.make_room())

    def sweep(self) -> None:
        for peer, idle in list(self.idle.items()):
            for connection in list(idle):
                if self.loop.now() - connection.idle_since >= self.keep:
                    self.drop(peer, connection)
            if not idle:  # guards against growth by peers that are long gone
                del self.idle[peer]
