"""Datagrams between members over UDP, read and sent before all other work of the loop."""

from __future__ import annotations

import math
import socket
from collections.abc import Callable

from .address import Address
from .loop import Coroutine, Loop

MAX_BATCH = 64  # datagrams read before other tasks run
RECEIVE_BUFFER = 512 * 1024  # bytes that the kernel buffers while the process is busy or stopped


class Wire:
    """The socket by which a member sends and receives datagrams."""

    def __init__(
        self,
        loop: Loop,
        listen: Address,
        most: int,
        came: Callable[[Address, bytes], None],
        after: Callable[[], None],
        shared: bool = False,
    ) -> None:
        """Calls `came` with each sender and datagram, and `after` once after each batch of them.

        Datagrams longer than `most` bytes are truncated to one byte more, by which `came` can tell them.
        `shared`: a successor may listen on the address beside this process.

        Raises:
            OSError: The address cannot be bound.
        """
        self.loop, self.most, self.came, self.after, self.closed = loop, most, came, after, False
        self.unsent = 0
        family = socket.AF_INET6 if ":" in listen[0] else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
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
        """Sends a datagram, which may be lost; does nothing once closed."""
        if self.closed:
            return
        try:
            self.socket.sendto(datagram, to)
        except OSError:  # a full buffer or no route: datagrams may be lost
            self.unsent += 1

    def close(self) -> None:
        """Closes the socket."""
        if not self.closed:
            self.loop.unwatch(self.socket.fileno(), urgent=True)
            self.closed = True
            self.socket.close()
            self.reader.wake()

    def on_events(self, events: int) -> None:
        """Wakes the reader."""
        self.reader.wake()

    def read(self) -> Coroutine[None]:
        """Reads datagrams until the socket is closed."""
        while not self.closed:
            yield self.loop.now() if self.read_some() else math.inf
        while True:  # never returns, as `Loop.lasting` would start it again
            yield math.inf

    def read_some(self) -> bool:
        """Reads up to MAX_BATCH datagrams, lest a flood delay requests; returns whether to go on."""
        received = False
        try:
            for _ in range(MAX_BATCH):
                if self.closed:
                    return False
                try:
                    data, sender = self.socket.recvfrom(self.most + 1)
                except BlockingIOError:
                    return False
                except OSError:  # the error of an earlier datagram that had no receiver
                    continue
                received = True
                self.came(sender[:2], data)
            return True
        finally:
            if received:
                self.after()
