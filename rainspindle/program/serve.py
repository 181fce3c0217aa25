"""One sidecar in service: its parts put together, new configurations on SIGHUP, its way out on SIGTERM."""

from __future__ import annotations

import contextlib
import gc
import logging
import signal
import socket
import time
import traceback
from collections.abc import Callable, Iterator, Sized
from typing import Protocol

from .. import must
from ..fronts.http1.back import HttpBack
from ..fronts.http1.front import HttpFront
from ..routing.core import Back, Core, Directory, Taker
from ..routing.follow import Follower
from ..transport.address import address_text
from ..transport.connection import Connection, Listener
from ..transport.loop import Coroutine, Loop
from ..transport.pool import Pool
from .config import Config, ConfigFault

log = logging.getLogger("rainspindle.program")

SPARE_SOCKETS = 48  # standard streams, epoll, signals, discovery, files, and room to accept in
CLIENTS_PART = 0.5
MOST_OWED = 2.0
# After SIGTERM a sidecar is let run for the longest expiry, up to MOST_LEAVING, and 0.7 s more.
MOST_LEAVING, SERVE_ON, ALL_ANSWERED = 3.0, 0.2, 0.4


def caps(config: Config) -> tuple[int, int]:
    """How many connections with clients, and how many to endpoints, are held at most."""
    room = max(config.sockets - SPARE_SOCKETS, 16)
    clients = int(room * CLIENTS_PART)
    return clients, room - clients


class Signals:
    """SIGTERM, SIGINT and SIGHUP, told through a socket so that they end the loop's wait."""

    def __init__(self, loop: Loop) -> None:
        self.closed = False
        self.told, self.teller = socket.socketpair()
        self.told.setblocking(False)
        self.teller.setblocking(False)
        signal.set_wakeup_fd(self.teller.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda *_: None)
        signal.signal(signal.SIGPIPE, signal.SIG_IGN)
        self.came: Callable[[int], None] = lambda number: None
        loop.watch(self.told.fileno(), self)

    def on_events(self, events: int) -> None:
        # Guards against leaving at once: the first event only says that the socket can be written.
        with contextlib.suppress(BlockingIOError):
            while numbers := self.told.recv(64):
                for number in numbers:
                    self.came(number)


class Front(Protocol):
    """What a sidecar needs of its front."""

    leaving: bool
    closing: bool
    ready_from: float
    most_clients: int

    @property
    def clients(self) -> Sized: ...

    def accepted(self, connection: Connection) -> None: ...

    def make_room(self) -> bool: ...

    def trim_clients(self) -> None: ...

    def finish_clients(self) -> bool:
        """On the way out: ends the connections with no request under way; whether none is left."""


class Sidecar:
    def __init__(self, config: Config, load: Callable[[], Config]) -> None:
        """`load` reads the configuration again."""
        self.config, self.load = config, load
        self.loop = Loop(self.fault)
        self.faults = 0
        clients, connections = caps(config)
        self.pool = Pool(self.loop, connections, config.settings.idle_time)
        self.follower = Follower(self.loop, config.discovery, config.decoder,
                                 config.settings.ask_within, config.known)
        directory = Directory()
        self.core = Core(self.loop, config.facade(self.loop.now()), config.settings, directory,
                         self.make_back(directory), self.follower.want, self.each_tick)
        self.front: Front = self.make_front(clients)
        known = config.known
        if known.lines:
            self.core.list_changed(known.lines, known.addresses, whole=True, stale=True)
        self.follower.core = self.core
        self.listener = Listener(self.loop, config.listen, self.front.accepted, self.front.make_room)
        self.signals = Signals(self.loop)
        self.out = self.loop.spawn(self.way_out())
        self.signals.came = self.signalled
        self.asked = False

    def make_back(self, directory: Directory) -> Back:
        return HttpBack(self.loop, self.pool, self.config.settings, directory)

    def make_front(self, most_clients: int) -> Front:
        return HttpFront(self.loop, self.core, self.taker(), self.pool, most_clients)

    def taker(self) -> Taker:
        """What the front hands its exchanges to."""
        return self.core

    def begin_leaving(self) -> None:
        """SIGTERM has come."""

    def close_listeners(self) -> None:
        self.listener.close()

    def each_tick(self) -> None:
        self.pool.sweep()
        self.front.trim_clients()

    def fault(self, fault: BaseException) -> None:
        self.faults += 1
        where = traceback.extract_tb(fault.__traceback__)[-1]
        log.error("fault", extra={"fields": {
            "kind": type(fault).__name__, "text": fault, "at": f"{where.name}:{where.lineno}"}})

    def signalled(self, number: int) -> None:
        if number == signal.SIGHUP:
            self.reload()
        else:
            self.asked = True
            self.out.wake()

    def reload(self) -> None:
        """Takes over what of a new configuration can change under load; all else needs a restart."""
        try:
            new = self.load()
        except ConfigFault as fault:
            log.error("configuration refused, the old one stays", extra={"fields": {"why": fault}})
            return
        old, self.config = self.config, new
        self.front.most_clients, self.pool.most = caps(new)
        self.follower.move(new.discovery)
        later = [name for name in ("name", "listen", "raw_settings")
                 if getattr(old, name) != getattr(new, name)]
        log.info("configuration read again", extra={"fields": {
            "discovery": address_text(new.discovery), "sockets": new.sockets,
            "needs_restart": ",".join(later).replace("raw_", "") or "nothing"}})

    def way_out(self) -> Coroutine[None]:
        """Waits for SIGTERM; then serves on for most of the time it is let, finishes all, and leaves.

        Guards against turning clients away for longer than need be: until its successor is up there is no
        other for them, and they go on using the connections that they have."""
        while not self.asked:
            yield float("inf")
        asked_at = self.loop.now()
        log.info("leaving", extra={"fields": {"held": len(self.core.held),
                                              "clients": len(self.front.clients)}})
        self.begin_leaving()
        let = asked_at + min(max(self.core.settings.expiries), MOST_LEAVING)
        self.front.leaving, self.core.last_answer = True, let + ALL_ANSWERED
        while self.loop.now() < let + SERVE_ON:
            yield let + SERVE_ON
        self.front.closing = True
        self.close_listeners()
        # In the end every exchange has its answer; what is left is a request that never became whole.
        while not self.front.finish_clients() and self.loop.now() < self.core.last_answer + 0.1:
            yield self.loop.now() + 0.02
        self.loop.stopped = True

    def run(self) -> None:
        # Guards against clients that begin while the start's own CPU is charged: with part of a core the
        # process is then stopped for about as long as that CPU takes at the limit.
        owed = time.process_time() / self.config.cores if self.config.cores < 1 else 0.0
        self.front.ready_from = self.loop.now() + min(owed, MOST_OWED)
        gc.collect()
        gc.freeze()
        gc.set_threshold(20_000, 20, 20)  # nearly all is freed by its count; looking for cycles costs CPU
        log.info("serving", extra={"fields": {"listen": address_text(self.listener.address)}})
        self.loop.run()
        log.info("left", extra={"fields": {**dict(self.figures())}})

    def figures(self) -> Iterator[tuple[str, object]]:
        yield "taken", self.core.taken
        yield "connections_made", self.pool.made
        yield "connections_reused", self.pool.reused
        yield "faults", self.faults
        yield "broken", dict(must.broken)
