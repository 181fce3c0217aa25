"""Short text messages between sidecars over UDP, sent to all; losses are not detected."""

from __future__ import annotations

import contextlib
import math
import socket
from collections.abc import Callable, Sequence

from .address import Address, address_text
from .loop import Coroutine, Loop

MAX_MESSAGE = 512  # bytes read of a message; longer ones are truncated, and sidecars send none
MAX_BATCH = 256  # messages read before other tasks run


class Datagrams:
    """Exchanges messages with the other sidecars."""

    def __init__(
        self,
        loop: Loop,
        listen: Address,
        others: Sequence[Address],
        came: Callable[[str, str], None],
        shared: bool = False,
    ) -> None:
        """Calls `came` with the sender and the text of each message from one of the others.

        `shared`: a successor may listen on the address beside this process.

        Raises:
            OSError: The address cannot be bound.
        """
        self.others, self.came, self.closed, self.strangers = dict.fromkeys(others), came, False, 0
        self.loop = loop
        family = socket.AF_INET6 if ":" in listen[0] else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        try:
            if shared:
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            self.socket.bind(listen)
        except OSError:
            self.socket.close()
            raise
        self.reader = loop.spawn(loop.lasting(self.read))
        loop.watch(self.socket.fileno(), self)

    def tell(self, text: str) -> None:
        """Sends a message to all others."""
        message = text.encode()
        for other in self.others:
            with contextlib.suppress(OSError):  # a full buffer or no receiver: messages may be lost
                self.socket.sendto(message, other)

    def on_events(self, events: int) -> None:
        """Wakes the reader."""
        self.reader.wake()

    def read(self) -> Coroutine[None]:
        """Reads messages for ever."""
        while True:
            yield self.loop.now() if self.read_some() else math.inf

    def read_some(self) -> bool:
        """Reads up to MAX_BATCH messages, lest a flood delay requests; returns whether to go on."""
        for _ in range(MAX_BATCH):
            try:
                data, sender = self.socket.recvfrom(MAX_MESSAGE)
            except BlockingIOError:
                return False
            except OSError:  # the error of an earlier message that had no receiver
                continue
            if sender[:2] in self.others:
                self.came(address_text(sender[:2]), data.decode("latin-1"))
            else:
                self.strangers += 1
        return True
