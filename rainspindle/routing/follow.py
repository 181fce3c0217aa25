"""The coroutine that follows discovery's list by watches, one after another."""

from __future__ import annotations

import math
from collections.abc import Callable

from ..protocol.client import Unreadable
from ..protocol.discovery import DiscoverySide, ListChange, ListDecoder
from ..transport.address import Address, address_text
from ..transport.connection import Broken, Connection, Late, OutOfSockets, Unwanted, open_connection
from ..transport.loop import Coroutine, Loop
from .core import Core


class Follower:
    MOST_WATCH = 20.0
    CONNECT = 1.0
    AGAIN = 0.2  # seconds after a failed call at least; where lists are pushed, always
    PAUSE = 2.8  # and at most: what a service has counts as told in 6 s, of which an answer may take 3
    REST = 0.1  # a watch goes on only if the next call comes within 0.2 s
    # An answer later than this has fallen silent. What a silent watch misses counts as told 2 s after its
    # wait, what another call misses 6 s after it: the next has to be asked and answered before that.
    LATE, LATE_WHOLE = 0.8, 4.0
    WATCH_PART, LATE_PART = 0.7, 0.08  # of the asking period: after a silence too the next is asked in it

    def __init__(self, loop: Loop, address: Address, decoder: ListDecoder, ask_within: float,
                 known: ListChange, pushed: bool = False) -> None:
        """Watches go on from the `known` list, where there is one: what it lacks is told first.

        Where the list is `pushed`, what the agent holds counts as told whether it is watched or not: then no
        pause is drawn between calls, from the start on."""
        self.loop, self.address, self.decoder, self.pushed = loop, address, decoder, pushed
        self.wait = min(self.WATCH_PART * ask_within or self.MOST_WATCH, self.MOST_WATCH)
        self.late = min(self.LATE_PART * ask_within or self.LATE, self.LATE)
        self.version = known.version if known.lines else None
        self.wanted, self.moved = pushed, False
        self.connection: Connection | None = None
        self.asked = False  # whether the last call was written whole
        self.lower = False  # whether it was answered with a version before the known one
        self.task = loop.spawn(loop.lasting(self.idle))
        self.core: Core | None = None
        self.heard: Callable[[ListChange], None] = lambda change: None  # what else is told of each change
        self.failed: Callable[[], None] = lambda: None  # and of each call that failed
        # Until when another's word spares the next call. It is looked at again whenever the task is woken.
        self.spared: Callable[[], float] = lambda: -math.inf
        self.hearsay = False  # the list rests on another's word: the next call asks for the whole

    def want(self) -> None:
        self.wanted = True
        self.task.wake()

    def move(self, address: Address) -> None:
        """From now on the list is asked for at another address, whole: its versions may be others."""
        if address != self.address:
            self.address, self.version = address, None
            self.wanted = self.moved = True
            self.task.wake()

    def anew(self) -> None:
        """Gives up the call under way, and asks anew."""
        self.wanted = self.moved = True
        self.task.wake()

    def take(self, change: ListChange) -> None:
        """Goes by another's word. Guards against a wrong one: the next call asks for the whole list."""
        assert self.core is not None
        self.core.list_changed(change.lines, change.addresses, change.whole, stale=False)
        self.version, self.hearsay = change.version, True

    def has_moved(self) -> bool:
        return self.moved

    def idle(self) -> Coroutine[None]:
        latest = math.inf
        while True:
            while (not self.wanted and self.loop.now() < latest) or self.core is None:
                yield latest
            yield from self.follow(self.core)
            # Guards against calling a dead service in a loop and, where lists are pushed, against news
            # that waits for a pause: that spares a service of many callers, and an agent has one. Elsewhere
            # the module draws it, as a part of the asking period, which may be long.
            again, latest = self.loop.now() + self.AGAIN, self.loop.now() + self.PAUSE
            while self.loop.now() < again and not self.moved:
                yield again
            self.wanted = self.wanted or self.pushed

    def follow(self, core: Core) -> Coroutine[None]:
        """Watches until a call fails."""
        silent = False
        while True:
            while self.loop.now() < (until := self.spared()) and not self.moved:
                self.hearsay = True
                self.close()
                yield until
            asked_at = self.loop.now()
            try:
                change = yield from self.ask()
            except Unwanted:
                continue
            except (Broken, Late, OutOfSockets, Unreadable) as fault:
                self.close()
                # Guards against a pause on top of a silence: what it missed is asked for at once. May hurt
                # where the service is only slow: so the second silence in a row is a failure as any other.
                # So is where another's word was higher than the service's: it may have been wrong.
                if not silent and ((isinstance(fault, Late) and self.asked) or (self.lower and self.hearsay)):
                    silent = True
                    continue
                self.wanted = False
                self.failed()
                core.list_failed()
                return
            silent = self.hearsay = False
            self.heard(change)
            core.list_changed(change.lines, change.addresses, change.whole, stale=False)
            self.version = change.version
            # Guards against flooding a service that answers every watch at once with nothing.
            rest = self.loop.now() + self.REST
            while not change.lines and self.loop.now() < min(rest, asked_at + self.wait):
                yield rest

    def ask(self) -> Coroutine[ListChange]:
        if self.moved:
            self.close()
            self.moved = False
        whole, unless = self.version is None or self.hearsay, self.has_moved
        self.asked = self.lower = False
        until = self.loop.now() + (self.LATE_WHOLE if whole else self.wait + self.late)
        if self.connection is None or not self.connection.sound():
            self.close()
            self.connection = open_connection(self.loop, self.address)
            yield from self.connection.establish(min(until, self.loop.now() + self.CONNECT), unless)
        call, host = DiscoverySide(self.decoder), address_text(self.address).encode()
        out = call.whole(host) if whole or self.version is None else call.watch(host, self.version, self.wait)
        yield from self.connection.send(out, until, unless)
        self.asked = True
        told = None
        while told is None:
            data = yield from self.connection.await_bytes(until, unless)
            told = call.receive(data)
        change, reusable = told
        if not reusable:
            self.close()
        if self.version is not None and change.version < self.version:
            # Guards against an old copy of the list that brings back what has drained or gone. A service that
            # counts anew says so again when it is asked for the whole.
            known, self.version = self.version, None
            self.lower = True
            raise Unreadable(f"generation {change.version} came after {known}")
        return change

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None
