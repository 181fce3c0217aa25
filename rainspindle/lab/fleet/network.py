"""The network between processes: UDP datagrams pass through it, late, doubled, out of order or not at all.

Each member has one address by which the others know it (`advertise`), a socket of this stand-in. What comes
there is told apart by its sender's own address, and is sent on to the member from the *sender's* socket here:
so the receiver sees the address that the sender advertises, and its answer takes the same way back.
"""

from __future__ import annotations

import contextlib
import heapq
import math
import socket
import threading
import traceback
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future
from typing import TypeVar

from ...transport.address import Address
from ...transport.loop import Coroutine, Loop, Task
from .links import Count, Links
from .schedule import NetworkFault

T = TypeVar("T")
MOST = 65_535  # bytes of a datagram
MOST_HELD = 100_000  # datagrams under way; beyond, they are lost
MOST_TAPPED = 2_000  # of those that came last are remembered
ROUND = 256  # datagrams read before others have their turn
BUFFER = 1 << 21  # bytes that wait in a socket: the stand-in itself must lose none
PATIENCE = 10.0


class Gate:
    """The address of one member as the others see it."""

    closed = False

    def __init__(self, network: Network, name: str, listen: Address) -> None:
        self.network, self.name, self.listen = network, name, listen
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        for way in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self.socket.setsockopt(socket.SOL_SOCKET, way, BUFFER)
        self.socket.bind(("127.0.0.1", 0))
        self.address: Address = self.socket.getsockname()
        self.reader = network.loop.spawn(network.loop.lasting(self.read))
        network.loop.watch(self.socket.fileno(), self)

    def on_events(self, events: int) -> None:
        self.reader.wake()

    def read(self) -> Coroutine[None]:
        while True:
            yield self.network.loop.now() if self.read_some() else math.inf

    def read_some(self, most: int = ROUND) -> bool:
        """Whether there may be more."""
        for _ in range(most):
            try:
                data, sender = self.socket.recvfrom(MOST)
            except BlockingIOError:
                return False
            except OSError:  # an earlier datagram found nobody there
                continue
            self.network.came(sender[:2], self, data)
        return True

    def close(self) -> None:
        self.closed = True
        self.network.loop.unwatch(self.socket.fileno())
        self.socket.close()


class Calls:
    """What other threads ask of the network's own."""

    closed = False

    def __init__(self, loop: Loop) -> None:
        self.waiting: deque[Callable[[], None]] = deque()
        self.told, self.teller = socket.socketpair()
        self.told.setblocking(False)
        loop.watch(self.told.fileno(), self)

    def on_events(self, events: int) -> None:
        with contextlib.suppress(BlockingIOError):
            while self.told.recv(64):
                pass
        while self.waiting:
            self.waiting.popleft()()

    def close(self) -> None:
        self.told.close()
        self.teller.close()


class Network:
    """Runs in a thread of its own from `start` to `close`. Its calls may come from any thread."""

    def __init__(self, seed: int = 0) -> None:
        self.links = Links(seed)
        self.loop = Loop(self.fault)
        self.calls = Calls(self.loop)
        self.gates: dict[str, Gate] = {}
        self.senders: dict[Address, Gate] = {}  # by the member's own address
        self.under_way: list[tuple[float, int, Gate, Gate, bytes]] = []
        self.tapped: deque[tuple[str, str, bytes]] = deque(maxlen=MOST_TAPPED)  # sender, receiver, datagram
        self.number = 0
        self.strangers = self.crowded = 0  # datagrams of nobody known; lost by the stand-in's own limits
        self.faults: list[str] = []  # of the stand-in itself: a run with any says nothing
        self.deliverer: Task = self.loop.spawn(self.loop.lasting(self.deliver))
        self.thread = threading.Thread(target=self.loop.run, name="network", daemon=True)

    def start(self) -> Network:
        self.thread.start()
        return self

    def close(self) -> None:
        def stop() -> None:
            for gate in self.gates.values():
                gate.close()
            self.loop.stopped = True

        if self.thread.is_alive():
            self.ask(stop)
            self.thread.join(PATIENCE)
        self.calls.close()

    def __enter__(self) -> Network:
        return self.start()

    def __exit__(self, *_: object) -> None:
        self.close()

    def ask(self, do: Callable[[], T]) -> T:
        """Does it in the network's thread, or here while there is none."""
        if not self.thread.is_alive():
            return do()
        done: Future[T] = Future()

        def call() -> None:
            try:
                done.set_result(do())
            except Exception as fault:
                done.set_exception(fault)

        self.calls.waiting.append(call)
        self.calls.teller.send(b"\0")
        return done.result(PATIENCE)

    def add(self, name: str, listen: Address) -> Address:
        """The address by which others are to know the member that listens at `listen`."""

        def add() -> Address:
            gate = self.gates[name] = Gate(self, name, listen)
            self.senders[listen] = gate
            return gate.address

        if name in self.gates or listen in self.senders:
            raise ValueError(f"{name} or {listen} is there already")
        return self.ask(add)

    def begin(self, fault: NetworkFault) -> NetworkFault:
        """Puts it in force from now on; the same value ends it."""
        self.change(lambda: self.links.begin(fault))
        return fault

    def end(self, fault: NetworkFault) -> None:
        self.change(lambda: self.links.end(fault))

    def clear(self) -> None:
        """All as if there were no network in between."""
        self.change(self.links.clear)

    def change(self, do: Callable[[], None]) -> None:
        """What was sent before the change goes by what held then."""

        def change() -> None:
            for gate in self.gates.values():
                gate.read_some(MOST_HELD)
            do()

        self.ask(change)

    def counts(self) -> dict[tuple[str, str], Count]:
        """By sender and receiver, from the start on."""
        return self.ask(
            lambda: {link: Count(c.sent, c.bytes, c.lost, c.doubled) for link, c in self.links.counts.items()}
        )

    def recent(self) -> list[tuple[str, str, bytes]]:
        """Sender, receiver and datagram of those that came last, the oldest first."""
        return self.ask(lambda: list(self.tapped))

    def replay(self, source: str, target: str) -> int:
        """Sends the receiver once more what it was last sent by this member; how many datagrams."""

        def replay() -> int:
            found = [data for s, t, data in self.tapped if (s, t) == (source, target)]
            for data in found:
                self.send(self.gates[source], self.gates[target], data)
            return len(found)

        return self.ask(replay)

    # In its own thread.

    def fault(self, fault: BaseException) -> None:
        where = traceback.extract_tb(fault.__traceback__)[-1]
        self.faults.append(f"network: {type(fault).__name__} {fault} at {where.name}:{where.lineno}")

    def came(self, sender: Address, at: Gate, data: bytes) -> None:
        source = self.senders.get(sender)
        if source is None:
            self.strangers += 1
            return
        self.tapped.append((source.name, at.name, data))
        for late in self.links.pass_on(source.name, at.name, len(data)):
            if late <= 0.0:
                self.send(source, at, data)
            elif len(self.under_way) >= MOST_HELD:
                self.crowded += 1
            else:
                self.number += 1
                heapq.heappush(self.under_way, (self.loop.now() + late, self.number, source, at, data))
                self.deliverer.wake()

    def send(self, source: Gate, to: Gate, data: bytes) -> None:
        try:
            source.socket.sendto(data, to.listen)
        except BlockingIOError:
            self.crowded += 1
        except OSError:  # an earlier datagram found nobody there: a killed member's
            with contextlib.suppress(OSError):
                source.socket.sendto(data, to.listen)

    def deliver(self) -> Coroutine[None]:
        while True:
            now = self.loop.now()
            while self.under_way and self.under_way[0][0] <= now:
                _, _, source, to, data = heapq.heappop(self.under_way)
                self.send(source, to, data)
            yield self.under_way[0][0] if self.under_way else math.inf
