"""The listener of the operators' console: one call per connection, served before client requests."""

from __future__ import annotations

from collections.abc import Callable

from ...protocol.console import ConsoleSide, FleetCall, No, Order
from ...transport.address import Address
from ...transport.connection import Broken, Connection, Late, Listener, Unwanted
from ...transport.loop import Coroutine, Loop

CALL_TIMEOUT = 1.0  # seconds from connecting until the call is complete; callers wait no longer for an answer
LINGER_TIME = 0.5  # seconds for which the rest of the call is read after the answer
MAX_CALLERS = 16  # connections at once


class ConsoleFront:
    """Accepts console connections and answers their calls."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        call: Callable[[Order], tuple[int, str]],
        fleet: Callable[[FleetCall], tuple[int, str]],
    ) -> None:
        """`call` executes an order and returns the status and a line of text, `fleet` the status and JSON.

        Raises:
            OSError: The address cannot be listened on.
        """
        self.loop, self.call, self.fleet = loop, call, fleet
        self.callers: dict[Connection, bool] = {}  # oldest first; whether the call is complete
        self.listener = Listener(loop, address, self.accepted, lambda: loop.make_room(), urgent=True)

    def accepted(self, connection: Connection) -> None:
        """Serves a new connection.

        Callers that connect and never complete a call must not block others: the oldest of them is closed.
        """
        while len(self.callers) >= MAX_CALLERS and self.give_way():
            pass
        self.callers[connection] = False
        self.loop.spawn(self.serve(connection), lambda: self.gone(connection), urgent=True)

    def give_way(self) -> bool:
        """Closes the oldest connection with an incomplete call; returns whether there was one."""
        oldest = next((caller for caller, complete in self.callers.items() if not complete), None)
        if oldest is None:
            return False
        oldest.wake()
        self.gone(oldest)
        return True

    def gone(self, connection: Connection) -> None:
        """Closes and forgets a connection."""
        self.callers.pop(connection, None)
        connection.close()

    def serve(self, caller: Connection) -> Coroutine[None]:
        """Reads one call and answers it."""
        side, until = ConsoleSide(), self.loop.now() + CALL_TIMEOUT
        received: Order | FleetCall | No | None = None
        try:
            while received is None:
                received = side.receive((yield from caller.await_bytes(until, lambda: caller.closed)))
            if isinstance(received, Order):
                status, text = self.call(received)
                answer = side.answer(status, text)
            elif isinstance(received, FleetCall):
                answer = side.answer(*self.fleet(received), kind=b"application/json")
            else:
                answer = side.refuse(received)
            self.callers[caller] = True
            until = self.loop.now() + LINGER_TIME
            yield from caller.send(answer, until)
            # Closing over unread bytes would reset the connection and lose the answer, so what the caller
            # still sends is read for a moment.
            caller.end_sending()
            while (yield from caller.await_bytes(until, lambda: caller.closed)):
                pass
        except (Broken, Late, Unwanted):
            return

    def close(self) -> None:
        """Closes the listener; calls in progress go on."""
        self.listener.close()
