"""A pool of connections to endpoints, with a limit on all that are open."""

from __future__ import annotations

from functools import partial

from .address import Address
from .connection import Broken, Connection, LocalFailure, OutOfSockets, Unless, Unwanted, open_connection
from .loop import Coroutine, Loop

Peer = tuple[str, Address]  # endpoint id and address: an address alone may be reused by another endpoint


class Pool:
    """Keeps idle connections for reuse."""

    # Seconds within which a close by the peer shows, after an answer and on a new connection.
    REST, NEW_SETTLE_TIME = 0.025, 0.001
    # The share of early closes above which they count as frequent, and the weight of one in their average.
    FREQUENT_EARLY_CLOSES, EARLY_CLOSE_WEIGHT = 0.02, 0.01
    # Seconds for which a connect that fails on this machine is tried again, and between two tries.
    LOCAL_RETRY_TIME, LOCAL_RETRY_INTERVAL = 0.1, 0.005
    IDLE_PART = 0.6  # used share of the stated idle time: a request written at its very end may be lost

    def __init__(self, loop: Loop, most: int, idle_time: float) -> None:
        self.loop, self.most = loop, most
        self.keep = self.IDLE_PART * idle_time if idle_time > 0 else 30.0
        self.idle: dict[Peer, list[Connection]] = {}  # most recently used last
        self.open = 0
        self.lent = 0  # places of the limit that are in use by clients
        self.resting: dict[Peer, list[Connection]] = {}  # taken by requests that wait for REST to pass
        self.made = self.reused = 0
        self.local_failures = 0  # connects that this machine could not begin, and that were tried again
        self.rests = 0  # requests that waited for a connection to rest
        self.unsound = 0  # idle connections closed because of their end, or of bytes nobody asked for
        self.ends = 0.0  # moving average: share of idle connections that closed within REST

    def early_closes_frequent(self) -> bool:
        """Whether endpoints often close connections early, so that critical requests should wait for REST."""
        return self.ends > self.FREQUENT_EARLY_CLOSES

    def take(self, peer: Peer) -> Connection | None:
        """Returns a healthy idle connection, the most recently used of those idle for at least REST, or None.

        A connection that the endpoint is just closing must not be written to, and late bytes behind an
        answer must not be taken for the next answer; both show within REST. So no connection is used again
        earlier, even where no other may be opened. As many more are open as answers arrive within REST.
        """
        now, idle = self.loop.now(), self.idle.get(peer, [])
        while True:
            connection = next((c for c in reversed(idle) if now - c.idle_since >= self.REST), None)
            if connection is None:
                return None
            if connection.sound() and now - connection.idle_since < self.keep:
                idle.remove(connection)
                self.reused += 1
                return connection
            self.drop(peer, connection)

    def acquire(
        self, peer: Peer, until: float, careful: bool = False, unless: Unless = None
    ) -> Coroutine[Connection]:
        """Returns an idle connection that has rested, or else a new one.

        Where no other may be opened, waits for one of the peer's to have rested: a new connection instead
        would cost another one, and the endpoint a handshake, at a time when both are short.

        Raises Broken, Late, Unwanted and OutOfSockets, as `connect`.
        """
        connection = self.take(peer)
        if connection is None and self.open + self.lent >= self.most:
            connection = yield from self.await_rested(peer, until, unless)
        if connection is None:
            connection = yield from self.connect(peer, until, careful, unless)
        return connection

    def await_rested(self, peer: Peer, until: float, unless: Unless) -> Coroutine[Connection | None]:
        """Waits until the connection that has been idle longest has rested; None if there is none in time.

        Raises:
            Unwanted: `unless` holds.
        """
        idle = self.idle.get(peer)
        if not idle or idle[0].idle_since + self.REST > until:
            return None
        connection = idle.pop(0)
        self.resting.setdefault(peer, []).append(connection)
        self.rests += 1
        try:
            yield from connection.remain_idle(connection.idle_since + self.REST, unless)
        except BaseException:  # it is as good as before for whoever comes next
            self.put_back(peer, connection)
            raise
        finally:
            self.resting[peer].remove(connection)
            if not self.resting[peer]:
                del self.resting[peer]
        if connection.sound():
            self.reused += 1
            return connection
        if not connection.closed:
            self.count_unsound(connection)
            self.close(connection)
        return None

    def connect(
        self, peer: Peer, until: float, careful: bool = False, unless: Unless = None
    ) -> Coroutine[Connection]:
        """Opens a connection; a `careful` one is watched for an early close where these are frequent.

        Raises Broken, Late, Unwanted, and OutOfSockets where the limit is reached and none is idle.
        """
        while self.open + self.lent >= self.most:
            if not self.make_room():
                raise OutOfSockets("the connection limit is reached and no connection is idle")
        self.open += 1
        try:
            connection = yield from self.begin_connect(peer, until, unless)
        except BaseException:
            self.open -= 1
            raise
        try:
            yield from connection.establish(until, unless)
            if careful and self.early_closes_frequent():
                yield from connection.rest(self.NEW_SETTLE_TIME)
        except BaseException:
            self.close(connection)
            raise
        self.made += 1
        return connection

    def begin_connect(self, peer: Peer, until: float, unless: Unless) -> Coroutine[Connection]:
        """Starts to connect, again for a short time where this machine cannot now. Raises as `connect`."""
        give_up_at = min(until, self.loop.now() + self.LOCAL_RETRY_TIME)
        while True:
            try:
                return open_connection(self.loop, peer[1])
            except LocalFailure as fault:
                retry_at = self.loop.now() + self.LOCAL_RETRY_INTERVAL
                if retry_at > give_up_at:
                    raise Broken(str(fault)) if fault.is_no_route else fault from None
                self.local_failures += 1
            while self.loop.now() < retry_at:
                if unless is not None and unless():
                    raise Unwanted
                yield retry_at

    def keep_idle(self, peer: Peer, connection: Connection) -> None:
        """Takes a connection back for reuse."""
        connection.idle_since = self.loop.now()
        self.ends -= self.EARLY_CLOSE_WEIGHT * self.ends
        self.idle.setdefault(peer, []).append(connection)
        self.watch_idle(peer, connection)

    def put_back(self, peer: Peer, connection: Connection) -> None:
        """Takes back a connection that has not been used since it was taken before it had rested."""
        if not connection.closed:
            self.idle.setdefault(peer, []).insert(0, connection)
            self.watch_idle(peer, connection)

    def watch_idle(self, peer: Peer, connection: Connection) -> None:
        """Handles the events of an idle connection from now on."""
        connection.wake = partial(self.looked_at, peer, connection)
        if connection.ended:
            self.looked_at(peer, connection)

    def looked_at(self, peer: Peer, connection: Connection) -> None:
        """Handles an event of an idle connection: its end, unsolicited bytes, or an outdated event."""
        if not connection.sound():
            self.count_unsound(connection)
            self.drop(peer, connection)

    def count_unsound(self, connection: Connection) -> None:
        """Counts an idle connection that has ended or has unsolicited bytes."""
        self.unsound += 1
        if self.loop.now() - connection.idle_since < self.REST:
            self.ends += self.EARLY_CLOSE_WEIGHT

    def drop(self, peer: Peer, connection: Connection) -> None:
        """Closes a connection if it is idle."""
        idle = self.idle.get(peer, [])
        if connection in idle:
            idle.remove(connection)
            self.close(connection)

    def drop_all(self, peer: Peer) -> None:
        """Closes all idle connections to a peer, also those that a request waits for."""
        for connection in list(self.idle.get(peer, ())):
            self.drop(peer, connection)
        for connection in self.resting.get(peer, ()):
            wake = connection.wake
            self.close(connection)
            wake()

    def close(self, connection: Connection) -> None:
        """Closes a connection of the pool that is not idle."""
        if not connection.closed:
            self.open -= 1
            connection.close()

    def make_room(self) -> bool:
        """Closes the connection that has been idle longest; returns whether there was one."""
        oldest = min(
            ((connections[0].idle_since, peer) for peer, connections in self.idle.items() if connections),
            default=None,
        )
        if oldest is None:
            return False
        self.drop(oldest[1], self.idle[oldest[1]][0])
        return True

    def can_lend(self) -> bool:
        """Whether a client may use one more place; at most half of them, and idle connections give way."""
        return self.lent < self.most // 2 and (self.open + self.lent < self.most or self.make_room())

    def sweep(self) -> None:
        """Closes connections that have been idle for too long."""
        for peer, idle in list(self.idle.items()):
            for connection in list(idle):
                if self.loop.now() - connection.idle_since >= self.keep:
                    self.drop(peer, connection)
            if not idle:  # or entries of removed endpoints would accumulate
                del self.idle[peer]
