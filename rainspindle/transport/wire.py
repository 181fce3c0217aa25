"""Datagrams between members over UDP, read and sent before all other work of the loop."""

from __future__ import annotations

import math
import socket
from collections.abc import Callable

from .address import Address
from .loop import Coroutine, Loop

ROUND = 64  # datagrams read before others have their turn
BUFFER = 512 * 1024  # bytes that wait in the kernel while the process is busy or stopped


class Wire:
    def __init__(
        self,
        loop: Loop,
        listen: Address,
        most: int,
        came: Callable[[Address, bytes], None],
        after: Callable[[], None],
        shared: bool = False,
    ) -> None:
        """`came` is told each datagram of `most` bytes or fewer, and longer ones cut after one byte more;
        `after` is called when some have come. `shared`: a successor may listen beside. Raises OSError."""
        self.loop, self.most, self.came, self.after, self.closed = loop, most, came, after, False
        self.unsent = 0
        family = socket.AF_INET6 if ":" in listen[0] else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
        try:
            if shared:
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            self.socket.bind(listen)
        except OSError:
            self.socket.close()
            raise
        self.address: Address = self.socket.getsockname()[:2]
        self.reader = loop.spawn(loop.lasting(self.read), urgent=True)
        loop.watch(self.socket.fileno(), self, urgent=True)

    def send(self, to: Address, datagram: bytes) -> None:
        if self.closed:
            return
        try:
            self.socket.sendto(datagram, to)
        except OSError:  # full buffers, no way there: a datagram may be lost
            self.unsent += 1

    def close(self) -> None:
        if not self.closed:
            self.loop.unwatch(self.socket.fileno(), urgent=True)
            self.closed = True
            self.socket.close()
            self.reader.wake()

    def on_events(self, events: int) -> None:
        self.reader.wake()

    def read(self) -> Coroutine[None]:
        while not self.closed:
            yield self.loop.now() if self.read_some() else math.inf
        while True:  # lasting: it is never begun anew
            yield math.inf

    def read_some(self) -> bool:
        """Whether there may be more: a flood must not keep the exchanges waiting."""
        some = False
        try:
            for _ in range(ROUND):
                if self.closed:
                    return False
                try:
                    data, sender = self.socket.recvfrom(self.most + 1)
                except BlockingIOError:
                    return False
                except OSError:  # an earlier datagram found nobody there
                    continue
                some = True
                self.came(sender[:2], data)
            return True
        finally:
            if some:
                self.after()
