"""The second address: one call to a connection, answered before clients' work."""

from __future__ import annotations

from collections.abc import Callable

from ...protocol.console import ConsoleSide, FleetCall, No, Order
from ...transport.address import Address
from ...transport.connection import Broken, Connection, Late, Listener, Unwanted
from ...transport.loop import Coroutine, Loop

HEAD_TIME = 1.0  # seconds from connecting until the call is whole; a caller waits no longer for its answer
LINGER = 0.5
MOST = 16


class ConsoleFront:
    def __init__(
        self,
        loop: Loop,
        address: Address,
        call: Callable[[Order], tuple[int, str]],
        fleet: Callable[[FleetCall], tuple[int, str]],
    ) -> None:
        """`call` does what is asked and gives the status and a line of text, `fleet` gives JSON.

        Raises OSError."""
        self.loop, self.call, self.fleet = loop, call, fleet
        self.callers: dict[Connection, bool] = {}  # the oldest first; whether its call is whole
        self.listener = Listener(loop, address, self.accepted, lambda: loop.make_room(), urgent=True)

    def accepted(self, connection: Connection) -> None:
        # Guards against callers that connect and finish no call: the oldest of them gives way.
        while len(self.callers) >= MOST and self.give_way():
            pass
        self.callers[connection] = False
        self.loop.spawn(self.serve(connection), lambda: self.gone(connection), urgent=True)

    def give_way(self) -> bool:
        oldest = next((c for c, whole in self.callers.items() if not whole), None)
        if oldest is None:
            return False
        oldest.wake()
        self.gone(oldest)
        return True

    def gone(self, connection: Connection) -> None:
        self.callers.pop(connection, None)
        connection.close()

    def serve(self, caller: Connection) -> Coroutine[None]:
        side, until = ConsoleSide(), self.loop.now() + HEAD_TIME
        called: Order | FleetCall | No | None = None
        try:
            while called is None:
                called = side.receive((yield from caller.await_bytes(until, lambda: caller.closed)))
            if isinstance(called, Order):
                status, text = self.call(called)
                out = side.answer(status, text)
            elif isinstance(called, FleetCall):
                out = side.answer(*self.fleet(called), kind=b"application/json")
            else:
                out = side.refuse(called)
            self.callers[caller] = True
            until = self.loop.now() + LINGER
            yield from caller.send(out, until)
            # Guards against an answer lost in a reset: what else the caller sends is read for a moment.
            caller.end_sending()
            while (yield from caller.await_bytes(until, lambda: caller.closed)):
                pass
        except (Broken, Late, Unwanted):
            return

    def close(self) -> None:
        self.listener.close()
