"""One running sidecar: assembly of its components, configuration reload on SIGHUP, shutdown on SIGTERM."""

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
from ..routing.request_ids import RequestIds
from ..store.file import Unwritten
from ..transport.address import address_text
from ..transport.connection import Connection, Listener
from ..transport.datagrams import Datagrams
from ..transport.loop import Coroutine, Loop
from ..transport.pool import Pool
from .config import PEERS_MISSING, RESERVED_SOCKETS, Config, ConfigFault, usable_sockets
from .operation import Operation, log_fields, shared_path
from .status import StatusLog

log = logging.getLogger("rainspindle.program")

CLIENTS_SHARE = 0.5  # share of the connections that clients may take
OWN_MEMORY = 26e6  # bytes used by the program itself and its connections
STREAMS_SHARE, BUFFERS_SHARE = 0.4, 0.3  # of the remaining memory; the allocator wastes some of the rest
MIN_BUFFERS = 512 * 1024  # bytes for buffered requests and answers, however little memory there is
OVERLAP = 5.0  # seconds for which a successor and its predecessor use half of the limits each
MOST_OWED = 2.0  # seconds that readiness is delayed at most for the CPU time of the start
MOST_LEAVING = 3.0  # seconds; after SIGTERM a sidecar runs for the longest expiry, up to this, and 0.7 s more
LIST_TIME = 0.5  # seconds that a successor waits for a new endpoint list before it uses the known one
# Seconds between checks of the stage and of other processes' orders: while serving, and in other stages.
POLL_INTERVAL, ENDING_INTERVAL = 0.1, 0.02


def caps(config: Config) -> tuple[int, int]:
    """Returns the maximum number of client connections, and of endpoint connections."""
    connections = usable_sockets(config.sockets) - RESERVED_SOCKETS
    clients = int(connections * CLIENTS_SHARE)
    return clients, connections - clients


def room(config: Config) -> int:
    """Returns the bytes of memory for request and response bodies that are streamed."""
    return int(max(config.memory_mb * 1e6 - OWN_MEMORY, 0) * STREAMS_SHARE)


def buffers(config: Config) -> int:
    """Returns the bytes of memory for all other requests and responses."""
    return max(int((config.memory_mb * 1e6 - OWN_MEMORY) * BUFFERS_SHARE), MIN_BUFFERS)


class Signals:
    """Delivers SIGTERM, SIGINT and SIGHUP through a socket, so that they wake the event loop."""

    def __init__(self, loop: Loop) -> None:
        self.closed, self.on_fault = False, loop.on_fault
        self.receiver, self.sender = socket.socketpair()
        self.receiver.setblocking(False)
        self.sender.setblocking(False)
        signal.set_wakeup_fd(self.sender.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda *_: None)
        signal.signal(signal.SIGPIPE, signal.SIG_IGN)
        self.came: Callable[[int], None] = lambda number: None
        loop.watch(self.receiver.fileno(), self)

    def on_events(self, events: int) -> None:
        """Calls the handler for each signal that has arrived."""
        # The first event only reports that the socket is writable: no signal has arrived then.
        with contextlib.suppress(BlockingIOError):
            while numbers := self.receiver.recv(64):
                for number in numbers:
                    try:
                        self.came(number)
                    except Exception as error:  # a failed reload must not hide a SIGTERM that came with it
                        self.on_fault(error)


class Front(Protocol):
    """The interface of the client side of a sidecar."""

    leaving: bool
    closing: bool
    ready_from: float
    most_clients: int

    @property
    def clients(self) -> Sized:
        """The client connections that are open."""

    def accepted(self, connection: Connection) -> bool | None:
        """Takes a new connection; returns False if there is no capacity for it now."""

    def make_room(self) -> bool:
        """Closes an idle or stalled connection; returns whether there was one."""

    def figures(self) -> Mapping[str, object]:
        """Returns the counters for status lines."""

    def trim_clients(self) -> None:
        """Closes connections that have been idle for too long."""

    def set_memory(self, streams: int, buffers: int) -> None:
        """Sets the bytes of memory for bodies that are streamed, and for all other requests and responses."""

    def finish_clients(self, idle: float = 0.0) -> bool:
        """Closes connections without a request for `idle` seconds; returns whether no client is left."""


class Answered(Protocol):
    """The response to a fleet call."""

    status: int
    body: Mapping[str, Any]


class FleetSide(Protocol):
    """The interface of the fleet to a sidecar; present if the operator configured a fleet file."""

    def make_core(
        self,
        make_back: Callable[[Directory], Back],
        on_watch: Callable[[], None],
        on_tick: Callable[[], None],
    ) -> Core:
        """Returns the core that requests go through."""

    def taker(self, core: Core) -> Taker:
        """Returns what the front passes requests to."""

    def attach(self, core: Core, follower: Follower) -> None:
        """Connects the fleet to core and discovery, before the first request."""

    def ready_from(self, now: float) -> float:
        """Returns the time from which the fleet allows the listener to be opened."""

    def connect_load_reports(self, core: Core, on_report: Callable[[str, str], None]) -> None:
        """Exchanges load reports over the members; `on_report` gets sender and text of each received one."""

    def call(self, call: FleetCall) -> Any:
        """Executes an operator's call and returns its `Answered`."""

    def reload(self, config: Config) -> None:
        """Reads the fleet file again."""

    def leave(self) -> None:
        """Starts the shutdown after SIGTERM."""

    def close(self) -> None:
        """Ends the fleet's side just before the process exits."""

    def figures(self) -> Mapping[str, object]:
        """Returns the counters for the last log line."""


class Sidecar:
    """One sidecar process: event loop, core, front, discovery, operators' calls and optionally a fleet."""

    streams = True  # whether long bodies are streamed
    fleet: FleetSide | None = None

    def __init__(
        self,
        config: Config,
        load: Callable[[], Config],
        make_fleet: Callable[[Loop, Config, Callable[[], bool]], FleetSide] | None = None,
    ) -> None:
        """Assembles the sidecar.

        `load` reads the configuration again. The last argument of `make_fleet` tells whether a successor
        runs.
        """
        self.config, self.load = config, load
        self.loop = Loop(self.fault)
        self.began, self.list_received = self.loop.now(), False
        self.fleet_ready = False  # whether the fleet has allowed the listener to be opened
        self.alone_at = math.inf  # when the predecessor is certain to have ended
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
        self.request_ids = self.make_request_ids()
        self.front: Front = self.make_front(clients)
        known = config.known
        if known.lines:
            self.core.list_changed(known.lines, known.addresses, whole=True, stale=True)
        self.follower.core = self.core
        self.peers: Datagrams | None = None
        if config.peers_missing:
            log.warning(PEERS_MISSING)
        if usable_sockets(config.sockets) < config.sockets:
            log.warning(
                "system limit on open files is below limits.sockets",
                extra={"fields": {"limit": usable_sockets(config.sockets), "configured": config.sockets}},
            )
        if config.peers is not None:
            self.peers = Datagrams(
                self.loop,
                config.peers.listen,
                config.peers.others,
                self.apply_load_report,
                shared=config.console is not None,
            )
            self.core.tell = self.peers.tell
        elif self.fleet is not None:
            self.fleet.connect_load_reports(self.core, self.apply_load_report)
        self.stages = Stages(min(max(config.settings.expiries), MOST_LEAVING))
        self.listener = Listener(
            self.loop, config.listen, self.front.accepted, self.make_room, shared=config.console is not None
        )
        self.console: ConsoleFront | None = None
        # Without operators' calls there is nothing to share with another process.
        self.operation = Operation(
            config.name,
            os.environ.get("TMPDIR") if config.console else None,
            self.core.leave_out,
            self.apply_drain_order,
            self.serves,
            lambda: self.core.facade.give(self.loop.now()),
        )
        if config.console is not None:
            self.console = ConsoleFront(self.loop, config.console, self.operation.call, self.fleet_call)
        self.loop.make_room = self.make_room
        self.supervisor = self.loop.spawn(self.supervise())
        self.operation.synchronize()
        self.operation.record_listed(list(known.addresses))
        self.follower.heard = self.record_list
        if self.fleet is not None:
            self.fleet.attach(self.core, self.follower)
        self.status = StatusLog(self.loop, self.status_figures)
        self.loop.spawn(self.loop.lasting(self.status.run))
        self.signals = Signals(self.loop)
        self.signals.came = self.handle_signal

    def make_back(self, directory: Directory) -> Back:
        """Returns the side that sends attempts to endpoints."""
        return HttpBack(self.loop, self.pool, self.config.settings, directory)

    def make_front(self, most_clients: int) -> Front:
        """Returns the side that serves at most `most_clients` client connections."""
        return HttpFront(
            self.loop,
            self.core,
            self.taker(),
            self.pool,
            most_clients,
            room(self.config) if self.streams else 0,
            buffers(self.config),
            self.request_ids,
        )

    def make_request_ids(self) -> RequestIds:
        """Returns the ids of requests, shared with the other process of an upgrade where there may be one."""
        folder = os.environ.get("TMPDIR")
        if self.config.console is None or not folder:
            return RequestIds()
        try:
            path = shared_path(folder, self.config.name, "ids")
            return RequestIds(path, lambda: self.operation.predecessor or self.operation.successor())
        except OSError as error:
            log.warning("ids of requests cannot be shared", extra={"fields": log_fields(error, Unwritten)})
            return RequestIds()

    def make_room(self) -> bool:
        """Frees a descriptor for a connection that finds none; returns whether one was freed.

        Closes an idle connection to an endpoint, else a client connection without a request, else a console
        connection.
        """
        return self.front.make_room() or (self.console is not None and self.console.give_way())

    def taker(self) -> Taker:
        """Returns what the front passes requests to."""
        return self.core if self.fleet is None else self.fleet.taker(self.core)

    def begin_leaving(self) -> None:
        """Reacts to SIGTERM before the stage changes."""
        if self.fleet is not None:
            self.fleet.leave()

    def close_listeners(self) -> None:
        """Stops accepting client connections."""
        if not self.listener.closed:
            self.listener.close()

    def fleet_call(self, call: FleetCall) -> tuple[int, str]:
        """Executes an operator's call about the fleet; returns status and JSON of the response."""
        if self.fleet is None:
            return 404, orjson.dumps(
                {"error": "this sidecar has no fleet file", "remedy": "start it with serve --fleet FILE"}
            ).decode()
        answer: Answered = self.fleet.call(call)
        return answer.status, orjson.dumps(answer.body).decode()

    def apply_load_report(self, who: str, message: str) -> None:
        """Applies a load report of another sidecar."""
        try:
            self.core.apply(self.core.facade.receive_message(self.loop.now(), who, message))
        except ValueError as error:  # from another release, or truncated: the next report replaces it soon
            self.unread += 1
            log.debug("unreadable load report", extra={"fields": {"from": who, "why": error}})

    def record_list(self, change: ListChange) -> None:
        """Records a change of the endpoint list from discovery."""
        self.list_received = True
        self.operation.record_listed(list(change.addresses))

    def serves(self) -> bool:
        """Returns whether the process accepts requests, for /-/ready."""
        return (
            self.core.listed
            and self.listener.open
            and not self.stages.ending
            and self.loop.now() >= self.front.ready_from
        )

    def apply_drain_order(self, out: bool) -> None:
        """Applies an operator's order to drain or to resume."""
        now = self.loop.now()
        if self.stages.drain(now) if out else self.stages.resume(now):
            self.apply_new_stage(now)

    def apply_new_stage(self, now: float) -> None:
        """Logs and applies a changed stage."""
        log.info(
            self.stages.stage.value,
            extra={"fields": {"held": len(self.core.held), "clients": len(self.front.clients)}},
        )
        self.core.answer_by(self.stages.last_answer)
        self.follow_stage(now)
        self.supervisor.wake()

    def follow_stage(self, now: float) -> None:
        """Closes listener, idle connections and at last the loop, as the stage requires by now."""
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
        """Does the periodic cleanup of connections."""
        self.pool.sweep()
        self.front.trim_clients()

    def fault(self, error: BaseException) -> None:
        """Counts and logs an unexpected exception."""
        self.faults += 1
        frame = traceback.extract_tb(error.__traceback__)[-1]
        log.error(
            "fault",
            extra={
                "fields": {"kind": type(error).__name__, "text": error, "at": f"{frame.name}:{frame.lineno}"}
            },
        )

    def handle_signal(self, number: int) -> None:
        """Handles a signal: reloads on SIGHUP, shuts down on SIGTERM and SIGINT."""
        if number == signal.SIGHUP:
            self.reload()
        else:
            now = self.loop.now()
            if self.stages.leave(now, self.operation.successor()):
                self.begin_leaving()
                self.apply_new_stage(now)

    def reload(self) -> None:
        """Applies the keys of a new configuration that can change at run time; all others need a restart."""
        try:
            new = self.load()
        except ConfigFault as error:
            log.error("configuration refused, the old one stays", extra={"fields": error.fields()})
            return
        running = self.config
        needs_restart = [
            name
            for name in ("name", "listen", "raw_settings", "console", "peers")
            if getattr(running, name) != getattr(new, name)
        ]
        # Keys that need a restart keep the values of the start, so that two configurations never mix.
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
                    "needs_restart": ",".join(needs_restart).replace("raw_", "") or "nothing",
                }
            },
        )
        if self.fleet is not None:
            self.fleet.reload(self.config)

    def apply_limits(self) -> None:
        """Applies the configured limits, halved while another process of the sidecar runs."""
        clients, connections = caps(self.config)
        processes = 1 if self.alone_at == math.inf else 2
        self.front.most_clients, self.pool.most = clients // processes, connections // processes
        self.front.set_memory(room(self.config) // processes, buffers(self.config) // processes)

    def supervise(self) -> Coroutine[None]:
        """Opens the listener once the process can serve, applies the stage, and merges others' orders."""
        while True:
            now = self.loop.now()
            waits = self.is_fleet_pending(now)
            if (
                not self.listener.open
                and not self.listener.closed
                and not waits
                and (not self.operation.predecessor or self.can_serve(now))
            ):
                self.open_listener()
            self.operation.synchronize()
            self.follow_stage(now)
            if now >= self.alone_at:
                self.alone_at = math.inf
                self.apply_limits()
            if self.stages.stage is not Stage.SERVING:
                yield now + ENDING_INTERVAL
            else:
                polls = self.operation.file is not None or not self.listener.open
                yield now + (ENDING_INTERVAL if waits else POLL_INTERVAL) if polls or waits else math.inf

    def is_fleet_pending(self, now: float) -> bool:
        """Returns whether the listener must stay closed until the fleet is ready."""
        if self.fleet is None or self.fleet_ready:
            return False
        opens_at = self.fleet.ready_from(now)
        self.fleet_ready = now >= opens_at
        self.front.ready_from = max(self.front.ready_from, opens_at)
        return not self.fleet_ready

    def can_serve(self, now: float) -> bool:
        """Returns whether a successor can serve: it has a new endpoint list, or waited LIST_TIME for one."""
        return self.core.listed and now >= max(
            self.front.ready_from, -math.inf if self.list_received else self.began + LIST_TIME
        )

    def open_listener(self) -> None:
        """Takes over the predecessor's state and opens the listener.

        Called only when the process can serve, so that clients do not reach it while another one could serve
        them.
        """
        self.operation.import_state(
            lambda learnt: self.core.apply(self.core.facade.take(self.loop.now(), learnt))
        )
        self.listener.listen()
        all_here = self.operation.predecessor and self.listener.lead_here()
        self.operation.register()
        if self.operation.predecessor:  # both processes together stay within the limits
            self.alone_at = self.loop.now() + OVERLAP
            self.apply_limits()
        log.info(
            "serving",
            extra={
                "fields": {
                    "listen": address_text(self.listener.address),
                    "beside": self.operation.predecessor,
                    "all_new": all_here,
                }
            },
        )

    def run(self) -> None:
        """Serves until the shutdown is complete."""
        # With a share of a core, the CPU limit stops the process after the start for about as long as the CPU
        # time used takes at that limit. Clients must not arrive within that time.
        cpu_debt = time.process_time() / self.config.cores if self.config.cores < 1 else 0.0
        self.front.ready_from = self.loop.now() + min(cpu_debt, MOST_OWED)
        gc.collect()
        gc.freeze()
        # Reference counts free nearly everything; searching for cycles costs CPU time.
        gc.set_threshold(20_000, 20, 20)
        if self.listener.open:
            self.operation.register()
            log.info("serving", extra={"fields": {"listen": address_text(self.listener.address)}})
        self.loop.run()
        self.operation.withdraw()
        log.info("left", extra={"fields": {**dict(self.figures())}})

    def status_figures(self) -> Mapping[str, object]:
        """Returns what status lines say beside the memory."""
        return {
            "held": len(self.core.held),
            "taken": self.core.taken,
            "endpoint_connections": self.pool.open,
            **self.front.figures(),
            "faults": self.faults,
        }

    def figures(self) -> Iterator[tuple[str, object]]:
        """Yields names and values of the counters for the last log line."""
        yield "taken", self.core.taken
        yield "connections_made", self.pool.made
        yield "connections_reused", self.pool.reused
        yield "connections_awaited", self.pool.rests
        yield "connections_unsound", self.pool.unsound
        yield "connects_failed_here", self.pool.local_failures
        if self.peers is not None:
            yield "peers_unread", self.unread + self.peers.strangers
        if self.fleet is not None:
            yield from self.fleet.figures().items()
        yield "peak_mb", f"{self.status.peak_mb:.1f}"
        yield "faults", self.faults
        yield "broken", dict(invariants.violations)
