"""The coroutine that follows discovery's list by watches, one after another."""

from __future__ import annotations

import math

from ..protocol.client import Unreadable
from ..protocol.discovery import DiscoverySide, ListChange, ListDecoder
from ..transport.connection import Address, Broken, Connection, Late, OutOfSockets, open_connection
from ..transport.loop import Coroutine, Loop
from .relay import Relay


class Follower:
    WATCH, MOST_WATCH = 0.5, 20.0  # a watch waits for this part of the asking period, and no longer
    ANSWER_TIME = 2.0  # an answer later than this after the wait is a failure

    def __init__(self, loop: Loop, address: Address, decoder: ListDecoder, ask_within: float) -> None:
        self.loop, self.address, self.decoder = loop, address, decoder
        self.host = f"{address[0]}:{address[1]}".encode()
        self.watch = min(self.WATCH * ask_within, self.MOST_WATCH) if ask_within else self.MOST_WATCH
        self.version = 0
        self.fresh = False  # whether discovery has told the whole list since the start
        self.wanted = False
        self.connection: Connection | None = None
        self.task = loop.spawn(self.idle())
        self.relay: Relay | None = None

    def want(self) -> None:
        self.wanted = True
        self.task.wake()

    def idle(self) -> Coroutine[None]:
        while True:
            while not self.wanted or self.relay is None:
                yield math.inf
            self.wanted = False
            yield from self.follow(self.relay)

    def follow(self, relay: Relay) -> Coroutine[None]:
        """Watches until a call fails."""
        while True:
            try:
                change = yield from self.ask()
            except (Broken, Late, OutOfSockets, Unreadable):
                self.close()
                relay.list_failed()
                return
            self.version, self.fresh = change.version, self.fresh or change.whole
            relay.list_changed(change.lines, change.addresses, change.whole, stale=False)

    def ask(self) -> Coroutine[ListChange]:
        wait = self.watch if self.fresh else 0.0
        until = self.loop.now() + wait + self.ANSWER_TIME
        if self.connection is None or not self.connection.sound():
            self.close()
            self.connection = open_connection(self.loop, self.address)
            yield from self.connection.establish(until)
        call = DiscoverySide(self.decoder)
        out = call.watch(self.host, self.version, self.watch) if self.fresh else call.whole(self.host)
        yield from self.connection.send(out, until)
        told = None
        while told is None:
            data = yield from self.connection.await_bytes(until)
            told = call.receive(data or b"")
        change, reusable = told
        if not reusable:
            self.close()
        return change

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None
