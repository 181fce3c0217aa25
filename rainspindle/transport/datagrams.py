"""Short messages between sidecars over UDP: sent to all, lost without a word."""

from __future__ import annotations

import contextlib
import math
import socket
from collections.abc import Callable, Sequence

from .address import Address, address_text
from .loop import Coroutine, Loop

MOST = 512  # bytes of a message; longer ones are cut and so are none of a sidecar's
ROUND = 256  # messages read before others have their turn


class Datagrams:
    def __init__(
        self,
        loop: Loop,
        listen: Address,
        others: Sequence[Address],
        came: Callable[[str, str], None],
        shared: bool = False,
    ) -> None:
        """`came` is told the sender and the text of each message from one of the others; `shared` lets a
        successor listen beside this process. Raises OSError."""
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
        message = text.encode()
        for other in self.others:
            with contextlib.suppress(OSError):  # full buffers, or nobody there: a message may be lost
                self.socket.sendto(message, other)

    def on_events(self, events: int) -> None:
        self.reader.wake()

    def read(self) -> Coroutine[None]:
        while True:
            yield self.loop.now() if self.read_some() else math.inf

    def read_some(self) -> bool:
        """Whether there may be more: a flood must not keep the exchanges waiting."""
        for _ in range(ROUND):
            try:
                data, sender = self.socket.recvfrom(MOST)
            except BlockingIOError:
                return False
            except OSError:  # an earlier message found nobody there
                continue
            if sender[:2] in self.others:
                self.came(address_text(sender[:2]), data.decode("latin-1"))
            else:
                self.strangers += 1
        return True
