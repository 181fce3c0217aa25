"""The MySQL front with simulated databases, on an event loop in a thread of its own."""

from __future__ import annotations

import contextlib
import os
import threading
from collections.abc import Callable
from typing import Any

import pymysql
import pymysql.cursors

from rainspindle.decisions.statements.parse import parse
from rainspindle.decisions.statements.statements import Rule, Statements
from rainspindle.fronts.mysql.back import MysqlBack
from rainspindle.fronts.mysql.front import MysqlFront
from rainspindle.fronts.mysql.servers import ServerPool
from rainspindle.lab.mysql.database import Database
from rainspindle.lab.mysql.engine import Store
from rainspindle.protocol.discovery import ListDecoder
from rainspindle.protocol.mysql import auth
from rainspindle.protocol.settings import make_balancer, socket_settings
from rainspindle.routing.core import Core, Directory
from rainspindle.routing.facade import Facade
from rainspindle.transport.connection import Listener
from rainspindle.transport.loop import Coroutine, Loop

from .fleet import SETTINGS, entry

USERS = {"anna": b"secret", "omar": b"other", "bare": b""}
RULES = (
    Rule(0, frozenset(("select", "show")), key="column:k"),
    Rule(1, frozenset(("insert",)), key="column:k"),
)
TIMEOUT = 120.0  # seconds; far longer than needed, so that no result depends on the machine's speed


def make_settings(latency_objective: float) -> dict[str, Any]:
    """Return settings; the time limits, in milliseconds, only expire when a server falls silent."""
    return {
        **SETTINGS,
        "traffic-types": [
            {"name": "look", "effect": "read_like", "promised-time": latency_objective, "expiry": 60000.0},
            {
                "name": "book",
                "effect": "non_idempotent",
                "promised-time": latency_objective,
                "expiry": 4000.0,
            },
        ],
    }


class Waker:
    """Wakes the event loop from another thread."""

    closed = False

    def __init__(self, loop: Loop) -> None:
        self.fd = os.eventfd(0, os.EFD_NONBLOCK)
        loop.watch(self.fd, self)

    def wake(self) -> None:
        os.eventfd_write(self.fd, 1)

    def on_events(self, events: int) -> None:
        with contextlib.suppress(BlockingIOError):  # it is reported as writable too
            os.eventfd_read(self.fd)


class MysqlFixture:
    """The front and simulated databases on an event loop in a thread of its own."""

    def __init__(
        self,
        servers: int = 3,
        plugin: str = auth.CACHING,
        most_each: int = 8,
        max_prepared: int = 1000,
        latency_objective: float = 1000.0,
    ) -> None:
        self.faults: list[BaseException] = []
        self.loop = Loop(self.faults.append)
        self.waker = Waker(self.loop)
        self.store = Store()
        self.databases = [
            Database(self.loop, self.store, USERS, plugin, max_prepared) for _ in range(servers)
        ]
        raw_settings = make_settings(latency_objective)
        settings = socket_settings(raw_settings)
        now = self.loop.now()
        self.facade = Facade(now, lambda host: make_balancer(host, 7, now, raw_settings))
        directory = Directory()
        self.servers = ServerPool(self.loop, most_each)
        self.back = MysqlBack(self.loop, self.servers, settings, directory)
        self.core = Core(
            self.loop, self.facade, settings, directory, self.back, lambda: None, self.servers.close_expired
        )
        self.front = MysqlFront(
            self.loop, self.core, self.core, self.back, Statements(RULES, 1, [0, 2], parse), USERS, 200
        )
        self.listener = Listener(self.loop, ("127.0.0.1", 0), self.front.accepted, self.front.make_room)
        self.port = self.listener.address[1]
        self.decoder = ListDecoder(settings.zones, 0.0)
        self.thread = threading.Thread(target=self.loop.run, daemon=True)
        self.thread.start()
        self.update_endpoints(*({} for _ in self.databases))

    def update_endpoints(self, *changes: dict[str, Any]) -> None:
        """Send the endpoint list; `changes` holds each database's differences from a serving endpoint."""
        entries = [
            {**entry(f"e{index}", database.port), **update}
            for index, (database, update) in enumerate(zip(self.databases, changes, strict=True))
        ]
        update = self.decoder.decode({"generation": 1, "reset": False, "instances": entries})
        self.run_in_loop(
            lambda: self.core.list_changed(update.lines, update.addresses, whole=False, stale=False)
        )

    def run_in_loop(self, function: Callable[[], None]) -> None:
        """Run a function within the event loop and wait until it has returned."""
        done = threading.Event()

        def run() -> Coroutine[None]:
            function()
            done.set()
            yield from ()

        self.loop.spawn(run())
        self.waker.wake()
        assert done.wait(TIMEOUT)

    def end(self) -> None:
        self.loop.stopped = True
        self.waker.wake()
        self.thread.join(TIMEOUT)
        assert not self.thread.is_alive() and not self.faults, self.faults

    def connect(
        self, user: str = "anna", client_flag: int = 0, cursorclass: type[Any] = pymysql.cursors.Cursor
    ) -> pymysql.Connection[Any]:
        return pymysql.connect(
            host="127.0.0.1",
            port=self.port,
            user=user,
            password=USERS[user].decode(),
            database="reg",
            autocommit=True,
            client_flag=client_flag,
            cursorclass=cursorclass,
            read_timeout=TIMEOUT,
        )

    def count_executed(self, fragment: str) -> int:
        return sum(fragment in sql for database in self.databases for sql in database.executed)

    def set_fault_hook(self, fault_hook: Callable[[str, str], str]) -> None:
        for database in self.databases:
            database.fault_hook = fault_hook
