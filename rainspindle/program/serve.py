"""One sidecar in service: its parts put together, new configurations on SIGHUP, its way out on SIGTERM."""

from __future__ import annotations

import contextlib
import gc
import logging
import math
import os
import signal
import socket
import time
import traceback
from collections.abc import Callable, Iterator, Mapping, Sized
from typing import Any, Protocol

import orjson

from .. import invariants
from ..decisions.operation.stage import Stage, Stages
from ..fronts.console.front import ConsoleFront
from ..fronts.http1.back import HttpBack
from ..fronts.http1.front import HttpFront
from ..lazy_dataclasses import replace
from ..protocol.console import FleetCall
from ..protocol.discovery import ListChange
from ..routing.core import Back, Core, Directory, Taker
from ..routing.follow import Follower
from ..transport.address import address_text
from ..transport.connection import Connection, Listener
from ..transport.datagrams import Datagrams
from ..transport.loop import Coroutine, Loop
from ..transport.pool import Pool
from .config import DEAF, RESERVED_SOCKETS, Config, ConfigFault, usable_sockets
from .operation import Operation

log = logging.getLogger("rainspindle.program")

CLIENTS_PART = 0.5
OWN_MEMORY, ROOM_PART = 26e6, 0.6  # bytes of the program itself, and the part of the rest
HALF_READ = 96 * 1024  # bytes
FEWEST_CLIENTS = 16  # for whose bodies there is memory in any case
OVERLAP = 5.0  # seconds for which a successor leaves half of the limits to the process before it
MOST_OWED = 2.0
MOST_LEAVING = 3.0  # after SIGTERM a sidecar is let run for the longest expiry, up to this, and 0.7 s more
LIST_TIME = 0.5  # seconds that a successor waits for the list to be told, before it goes by the known one
LOOK, ENDING_LOOK = 0.1, 0.02  # seconds between looks at the stage and at orders given elsewhere


def caps(config: Config) -> tuple[int, int]:
    """How many connections with clients, and how many to endpoints, are held at most."""
    places = usable_sockets(config.sockets) - RESERVED_SOCKETS
    clients = int(places * CLIENTS_PART)
    # Guards against memory filled by bodies that are half read: each client may hold one.
    return min(clients, max(room(config) // HALF_READ, FEWEST_CLIENTS)), places - clients


def room(config: Config) -> int:
    """Bytes of memory for bodies and answers that are passed on piece by piece."""
    return int(max(config.memory_mb * 1e6 - OWN_MEMORY, 0) * ROOM_PART)


class Signals:
    """SIGTERM, SIGINT and SIGHUP, told through a socket so that they end the loop's wait."""

    def __init__(self, loop: Loop) -> None:
        self.closed, self.on_fault = False, loop.on_fault
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
                    try:
                        self.came(number)
                    except Exception as fault:  # of a SIGHUP: a SIGTERM that came with it is still heard
                        self.on_fault(fault)


class Front(Protocol):
    """What a sidecar needs of its front."""

    leaving: bool
    closing: bool
    ready_from: float
    most_clients: int

    @property
    def clients(self) -> Sized: ...

    def accepted(self, connection: Connection) -> bool | None:
        """Takes a new connection; False where it has no place for it now."""

    def make_room(self) -> bool:
        """Closes a connection that can be spared; whether there was one."""

    def trim_clients(self) -> None: ...

    def set_stream_memory(self, size: int) -> None:
        """Bytes of memory for bodies and answers that are passed on piece by piece, from now on."""

    def finish_clients(self, idle: float = 0.0) -> bool:
        """Ends the connections with no request for so many seconds; whether no client is left."""


class Answered(Protocol):
    status: int
    body: Mapping[str, Any]


class FleetSide(Protocol):
    """What a sidecar needs of its fleet, where the operator's own file names one."""

    def make_core(
        self,
        make_back: Callable[[Directory], Back],
        on_watch: Callable[[], None],
        on_tick: Callable[[], None],
    ) -> Core: ...

    def taker(self, core: Core) -> Taker: ...

    def attach(self, core: Core, follower: Follower) -> None: ...

    def ready_from(self, now: float) -> float:
        """When the door may open, as far as the fleet knows."""

    def carry_words(self, core: Core, heard: Callable[[str, str], None]) -> None: ...

    def call(self, call: FleetCall) -> Any: ...

    def reload(self, config: Config) -> None: ...

    def leave(self) -> None: ...

    def close(self) -> None: ...

    def figures(self) -> Mapping[str, object]: ...


class Sidecar:
    streams = True  # whether long bodies go on piece by piece
    fleet: FleetSide | None = None

    def __init__(
        self,
        config: Config,
        load: Callable[[], Config],
        make_fleet: Callable[[Loop, Config, Callable[[], bool]], FleetSide] | None = None,
    ) -> None:
        """`load` reads the configuration again; `make_fleet` is told how to know whether a successor runs."""
        self.config, self.load = config, load
        self.loop = Loop(self.fault)
        self.began, self.told = self.loop.now(), False
        self.joined = False  # the fleet has told what it had to before the door opens
        self.alone_at = math.inf  # when a process beside this one is gone for certain
        self.faults = self.unread = 0
        clients, connections = caps(config)
        self.pool = Pool(self.loop, connections, config.settings.idle_time)
        self.follower = Follower(
            self.loop,
            config.discovery,
            config.decoder,
            config.settings.ask_within,
            config.known,
            pushed=not config.asks_list,
        )
        if make_fleet is not None:
            self.fleet = make_fleet(self.loop, config, lambda: self.operation.successor())
            self.core = self.fleet.make_core(self.make_back, self.follower.want, self.each_tick)
        else:
            directory = Directory()
            self.core = Core(
                self.loop,
                config.facade(self.loop.now()),
                config.settings,
                directory,
                self.make_back(directory),
                self.follower.want,
                self.each_tick,
            )
        self.front: Front = self.make_front(clients)
        known = config.known
        if known.lines:
            self.core.list_changed(known.lines, known.addresses, whole=True, stale=True)
        self.follower.core = self.core
        self.peers: Datagrams | None = None
        if config.deaf:
            log.warning(DEAF)
        if usable_sockets(config.sockets) < config.sockets:
            log.warning(
                "fewer descriptors than limits.sockets",
                extra={"fields": {"limit": usable_sockets(config.sockets), "configured": config.sockets}},
            )
        if config.peers is not None:
            self.peers = Datagrams(
                self.loop,
                config.peers.listen,
                config.peers.others,
                self.heard_peer,
                shared=config.console is not None,
            )
            self.core.tell = self.peers.tell
        elif self.fleet is not None:
            self.fleet.carry_words(self.core, self.heard_peer)
        self.stages = Stages(min(max(config.settings.expiries), MOST_LEAVING))
        self.listener = Listener(
            self.loop, config.listen, self.front.accepted, self.make_room, shared=config.console is not None
        )
        self.console: ConsoleFront | None = None
        # Only where staff can call is there anything to share with a process beside this one.
        self.operation = Operation(
            config.name,
            os.environ.get("TMPDIR") if config.console else None,
            self.core.leave_out,
            self.drained,
            self.serves,
            lambda: self.core.facade.give(self.loop.now()),
        )
        if config.console is not None:
            self.console = ConsoleFront(self.loop, config.console, self.operation.call, self.fleet_call)
        self.loop.make_room = self.make_room
        self.overseer = self.loop.spawn(self.oversee())
        self.operation.look()
        self.operation.listed(list(known.addresses))
        self.follower.heard = self.heard
        if self.fleet is not None:
            self.fleet.attach(self.core, self.follower)
        self.signals = Signals(self.loop)
        self.signals.came = self.signalled

    def make_back(self, directory: Directory) -> Back:
        return HttpBack(self.loop, self.pool, self.config.settings, directory)

    def make_front(self, most_clients: int) -> Front:
        return HttpFront(
            self.loop,
            self.core,
            self.taker(),
            self.pool,
            most_clients,
            room(self.config) if self.streams else 0,
        )

    def make_room(self) -> bool:
        """Closes the connection that can best be spared, for whoever is left without a descriptor.

        First one that rests to an endpoint, then a client's with no request, then one to the console."""
        return self.front.make_room() or (self.console is not None and self.console.give_way())

    def taker(self) -> Taker:
        """What the front hands its exchanges to."""
        return self.core if self.fleet is None else self.fleet.taker(self.core)

    def begin_leaving(self) -> None:
        """SIGTERM has come."""
        if self.fleet is not None:
            self.fleet.leave()

    def close_listeners(self) -> None:
        if not self.listener.closed:
            self.listener.close()

    def fleet_call(self, call: FleetCall) -> tuple[int, str]:
        """Status and JSON of what staff ask about the fleet."""
        if self.fleet is None:
            return 404, orjson.dumps(
                {"error": "this sidecar has no fleet file", "remedy": "start it with serve --fleet FILE"}
            ).decode()
        answer: Answered = self.fleet.call(call)
        return answer.status, orjson.dumps(answer.body).decode()

    def heard_peer(self, who: str, message: str) -> None:
        try:
            self.core.apply(self.core.facade.receive_message(self.loop.now(), who, message))
        except ValueError as fault:  # of another release, or cut: what it tells is old soon anyhow
            self.unread += 1
            log.debug("unreadable message", extra={"fields": {"from": who, "why": fault}})

    def heard(self, change: ListChange) -> None:
        self.told = True
        self.operation.listed(list(change.addresses))

    def serves(self) -> bool:
        return (
            self.core.listed
            and self.listener.open
            and not self.stages.ending
            and self.loop.now() >= self.front.ready_from
        )

    def drained(self, out: bool) -> None:
        """An order of the staff."""
        now = self.loop.now()
        if self.stages.drain(now) if out else self.stages.resume(now):
            self.staged(now)

    def staged(self, now: float) -> None:
        """The stage has changed."""
        log.info(
            self.stages.stage.value,
            extra={"fields": {"held": len(self.core.held), "clients": len(self.front.clients)}},
        )
        self.core.answer_by(self.stages.last_answer)
        self.follow_stage(now)
        self.overseer.wake()

    def follow_stage(self, now: float) -> None:
        stages, front = self.stages, self.front
        front.leaving, front.closing = not stages.ready, stages.closes(now)
        if not stages.listens(now):
            self.close_listeners()
        idle = stages.idle_limit(now)
        empty = front.finish_clients(idle) if idle != math.inf else False
        if stages.over(now, empty):
            self.loop.stopped = True
            if self.fleet is not None:
                self.fleet.close()

    def each_tick(self) -> None:
        self.pool.sweep()
        self.front.trim_clients()

    def fault(self, fault: BaseException) -> None:
        self.faults += 1
        where = traceback.extract_tb(fault.__traceback__)[-1]
        log.error(
            "fault",
            extra={
                "fields": {"kind": type(fault).__name__, "text": fault, "at": f"{where.name}:{where.lineno}"}
            },
        )

    def signalled(self, number: int) -> None:
        if number == signal.SIGHUP:
            self.reload()
        else:
            now = self.loop.now()
            if self.stages.leave(now, self.operation.successor()):
                self.begin_leaving()
                self.staged(now)

    def reload(self) -> None:
        """Takes over what of a new configuration can change under load; all else needs a restart."""
        try:
            new = self.load()
        except ConfigFault as fault:
            log.error("configuration refused, the old one stays", extra={"fields": fault.fields()})
            return
        running = self.config
        later = [
            name
            for name in ("name", "listen", "raw_settings", "console", "peers")
            if getattr(running, name) != getattr(new, name)
        ]
        # Guards against two configurations mixed: what needs a restart stays as this process was started by.
        self.config = replace(
            running, discovery=new.discovery, cores=new.cores, sockets=new.sockets, memory_mb=new.memory_mb
        )
        self.apply_limits()
        self.follower.move(new.discovery)
        log.info(
            "configuration read again",
            extra={
                "fields": {
                    "discovery": address_text(new.discovery),
                    "sockets": new.sockets,
                    "needs_restart": ",".join(later).replace("raw_", "") or "nothing",
                }
            },
        )
        if self.fleet is not None:
            self.fleet.reload(self.config)

    def apply_limits(self) -> None:
        """Goes by the limits of the configuration, and by half of them beside another process."""
        clients, connections = caps(self.config)
        parts = 1 if self.alone_at == math.inf else 2
        self.front.most_clients, self.pool.most = clients // parts, connections // parts
        self.front.set_stream_memory(room(self.config))

    def oversee(self) -> Coroutine[None]:
        """Opens the door once this process can serve, follows its stage, looks for orders given elsewhere."""
        while True:
            now = self.loop.now()
            waits = self.fleet_waits(now)
            if (
                not self.listener.open
                and not self.listener.closed
                and not waits
                and (not self.operation.predecessor or self.can_serve(now))
            ):
                self.open_door()
            self.operation.look()
            self.follow_stage(now)
            if now >= self.alone_at:
                self.alone_at = math.inf
                self.apply_limits()
            if self.stages.stage is not Stage.SERVING:
                yield now + ENDING_LOOK
            else:
                looks = self.operation.file is not None or not self.listener.open
                yield now + (ENDING_LOOK if waits else LOOK) if looks or waits else math.inf

    def fleet_waits(self, now: float) -> bool:
        """Whether the door is still to be kept shut for what the fleet has to tell first."""
        if self.fleet is None or self.joined:
            return False
        from_then = self.fleet.ready_from(now)
        self.joined = now >= from_then
        self.front.ready_from = max(self.front.ready_from, from_then)
        return not self.joined

    def can_serve(self, now: float) -> bool:
        """For a successor: the list is told anew, unless nobody tells it."""
        return self.core.listed and now >= max(
            self.front.ready_from, -math.inf if self.told else self.began + LIST_TIME
        )

    def open_door(self) -> None:
        """Guards against clients that come to a process which cannot serve while another one can."""
        self.operation.inherit(lambda learnt: self.core.apply(self.core.facade.take(self.loop.now(), learnt)))
        self.listener.listen()
        led = self.operation.predecessor and self.listener.lead_here()
        self.operation.come()
        if self.operation.predecessor:  # both together are within the limits
            self.alone_at = self.loop.now() + OVERLAP
            self.apply_limits()
        log.info(
            "serving",
            extra={
                "fields": {
                    "listen": address_text(self.listener.address),
                    "beside": self.operation.predecessor,
                    "all_new": led,
                }
            },
        )

    def run(self) -> None:
        # Guards against clients that begin while the start's own CPU is charged: with part of a core the
        # process is then stopped for about as long as that CPU takes at the limit.
        owed = time.process_time() / self.config.cores if self.config.cores < 1 else 0.0
        self.front.ready_from = self.loop.now() + min(owed, MOST_OWED)
        gc.collect()
        gc.freeze()
        gc.set_threshold(20_000, 20, 20)  # nearly all is freed by its count; looking for cycles costs CPU
        if self.listener.open:
            self.operation.come()
            log.info("serving", extra={"fields": {"listen": address_text(self.listener.address)}})
        self.loop.run()
        self.operation.go()
        log.info("left", extra={"fields": {**dict(self.figures())}})

    def figures(self) -> Iterator[tuple[str, object]]:
        yield "taken", self.core.taken
        yield "connections_made", self.pool.made
        yield "connections_reused", self.pool.reused
        if self.peers is not None:
            yield "peers_unread", self.unread + self.peers.strangers
        if self.fleet is not None:
            yield from self.fleet.figures().items()
        yield "faults", self.faults
        yield "broken", dict(invariants.violations)
