"""Connections kept for further use, by address, within a limit on all that are open."""

from __future__ import annotations

from functools import partial

from .address import Address
from .connection import Connection, OutOfSockets, Unless, open_connection
from .loop import Coroutine, Loop


class Pool:
    IDLE_PART = 0.6  # of the stated idle time: what is written at its very end may be lost

    def __init__(self, loop: Loop, most: int, idle_time: float) -> None:
        self.loop, self.most = loop, most
        self.keep = self.IDLE_PART * idle_time if idle_time > 0 else 30.0
        self.idle: dict[Address, list[Connection]] = {}  # the last used at the end
        self.open = 0
        self.made = self.reused = 0

    def take(self, address: Address) -> Connection | None:
        """An idle connection that is still sound."""
        idle = self.idle.get(address, [])
        while idle:
            connection = idle[-1]
            if connection.sound() and self.loop.now() - connection.idle_since < self.keep:
                idle.pop()
                self.reused += 1
                return connection
            self.drop(address, connection)
        return None

    def connect(self, address: Address, until: float, unless: Unless = None) -> Coroutine[Connection]:
        while self.open >= self.most:
            if not self.make_room():
                raise OutOfSockets("every connection is in use")
        try:
            connection = open_connection(self.loop, address)
        except OutOfSockets:  # guards against EMFILE while idle connections hold descriptors
            if not self.make_room():
                raise
            connection = open_connection(self.loop, address)
        self.open += 1
        try:
            yield from connection.establish(until, unless)
        except BaseException:
            self.close(connection)
            raise
        self.made += 1
        return connection

    def keep_idle(self, address: Address, connection: Connection) -> None:
        connection.idle_since = self.loop.now()
        connection.wake = partial(self.looked_at, address, connection)
        self.idle.setdefault(address, []).append(connection)
        if connection.ended:
            self.drop(address, connection)

    def looked_at(self, address: Address, connection: Connection) -> None:
        """An event on an idle connection: its end, something that nobody asked for, or old news."""
        if not connection.sound():
            self.drop(address, connection)

    def drop(self, address: Address, connection: Connection) -> None:
        idle = self.idle.get(address, [])
        if connection in idle:
            idle.remove(connection)
            if not idle:
                self.idle.pop(address, None)
            self.close(connection)

    def drop_all(self, address: Address) -> None:
        for connection in list(self.idle.get(address, ())):
            self.drop(address, connection)

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

    def sweep(self) -> None:
        for address, idle in list(self.idle.items()):
            for connection in list(idle):
                if self.loop.now() - connection.idle_since >= self.keep:
                    self.drop(address, connection)
