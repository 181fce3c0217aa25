"""The coroutine that follows discovery's list by watches, one after another."""

from __future__ import annotations

import math
import os
from collections.abc import Callable

from ..protocol.client import Unreadable
from ..protocol.discovery import DiscoverySide, ListChange, ListDecoder
from ..transport.address import Address, address_text
from ..transport.connection import Broken, Connection, Late, OutOfSockets, Unwanted, open_connection
from ..transport.loop import Coroutine, Loop
from .core import Core


def random_fraction() -> float:
    """From 0 to 1, by the system: to load `random` for this alone would slow each start."""
    return int.from_bytes(os.urandom(4), "big") / 2**32


class Follower:
    MOST_WATCH = 24.0  # seconds
    CONNECT = 1.0  # seconds in which a connection has to come up
    AGAIN = 0.2  # seconds after a failed call at least; where lists are pushed, always
    PAUSE = 2.8  # seconds after a failed call at most
    REST = 0.1  # a watch goes on only if the next call comes within 0.2 s
    # A watch answered later than this after its wait has fallen silent. What it misses counts as told 2 s
    # after its wait: the next has to be asked and answered before that.
    LATE = 0.5
    # Seconds in which a call that need not wait has to be answered, its connection included. The service
    # works through calls in turn and may take 3 s for one: a shorter limit would end calls that it is about
    # to answer, and make a busy service busier.
    ANSWER_TIMEOUT = 3.2
    RETRY_WAIT = 0.1  # seconds that the first call after a failed one asks the service to wait for news
    WATCH_PART, LATE_PART = 0.85, 0.08  # of the asking period: after a silence too the next is asked in it
    # Each watch asks for a wait shorter by a random part, up to this. Sidecars that all heard the same change
    # open their next watches in the same moment; if these fall silent, they would all be found silent, and
    # begun anew, in one moment too, and a service that takes calls in turn would answer the last too late.
    WATCH_JITTER = 0.35

    # Seconds from such a call to the next at most, if it fails late: then it has waited before.
    RETRY_PERIOD = ANSWER_TIMEOUT + 1.0

    # Whatever went before, a change counts as told TOLD_WITHIN seconds after the service had it and could be
    # reached. UNREACHED bounds the seconds from that moment until the call is written that is answered with
    # the change. First a call from before has to fail and a pause follows: RETRY_PERIOD, or a connection that
    # does not come up and PAUSE. If the service counts its versions anew, its first answer is refused and the
    # whole list is asked for AGAIN seconds later, on the same connection, which may take CONNECT to come up.
    # The rest, ANSWER_TIME, is left to the answers. None of it depends on the asking period: after a failed
    # call, no watch is opened before a call that the service answers at once.
    TOLD_WITHIN = 6.0
    UNREACHED = max(RETRY_PERIOD, CONNECT + PAUSE) + AGAIN + CONNECT
    ANSWER_TIME = TOLD_WITHIN - UNREACHED

    def __init__(
        self,
        loop: Loop,
        address: Address,
        decoder: ListDecoder,
        ask_within: float,
        known: ListChange,
        pushed: bool = False,
    ) -> None:
        """Watches go on from the `known` list, where there is one: what it lacks is told first.

        Where the list is `pushed`, what the agent holds counts as told whether it is watched or not: then no
        pause is drawn between calls, from the start on."""
        self.loop, self.address, self.decoder, self.pushed = loop, address, decoder, pushed
        self.wait = min(self.WATCH_PART * ask_within or self.MOST_WATCH, self.MOST_WATCH)
        self.late = min(self.LATE_PART * ask_within or self.LATE, self.LATE)
        self.version = known.version if known.lines else None
        self.wanted, self.moved = pushed, False
        self.connection: Connection | None = None
        self.asked = False  # whether the connection of the last call came up
        self.may_wait = False  # whether the service may let it wait for news
        self.lower = False  # whether it was answered with a version before the known one
        self.retrying = False  # whether the last call failed or was given up
        self.longest_pause = self.PAUSE  # seconds to the next call at most, after the one that failed last
        self.jitter: Callable[[], float] = random_fraction
        self.draws_wait = True  # False where others decide when this sidecar asks
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
            again, latest = self.loop.now() + self.AGAIN, self.loop.now() + self.longest_pause
            while self.loop.now() < again and not self.moved:
                yield again
            self.wanted = self.wanted or self.pushed

    def follow(self, core: Core) -> Coroutine[None]:
        """Watches until a call fails."""
        while True:
            while self.loop.now() < (until := self.spared()) and not self.moved:
                self.hearsay = True
                self.close()
                yield until
            asked_at, known = self.loop.now(), self.version
            try:
                change = yield from self.ask()
            except Unwanted:
                self.retrying = self.version is not None  # after a move, nothing has failed yet
                continue
            except (Broken, Late, OutOfSockets, Unreadable) as fault:
                if not self.lower:
                    self.close()
                was_retry, self.retrying = self.retrying, True
                # Guards against a pause for the failure of a call that is not wanted any more.
                if self.moved:
                    self.retrying = self.version is not None
                    continue
                # Guards against a pause on top of a silence: what it missed is asked for at once. May hurt
                # where the service is only slow: so the silence of a retry is a failure as any other.
                # So is where another's word was higher than the service's: it may have been wrong.
                unanswered = isinstance(fault, Late) and self.asked
                if not was_retry and (unanswered or (self.lower and self.hearsay)):
                    continue
                self.wanted = False
                self.longest_pause = self.pause_after(asked_at, self.lower and was_retry)
                self.failed()
                core.list_failed()
                return
            self.retrying = self.hearsay = False
            self.heard(change)
            core.list_changed(change.lines, change.addresses, change.whole, stale=False)
            self.version = change.version
            # Guards against flooding a service that answers every watch at once with nothing new.
            rest = min(self.loop.now() + self.REST, asked_at + self.wait)
            while (not change.lines or change.version == known) and self.loop.now() < rest and not self.moved:
                yield rest

    def pause_after(self, began: float, lower_again: bool) -> float:
        """Seconds to the next call at most, after one that began then and failed.

        `lower_again`: a retry was answered with a version before the known one, so the service is back."""
        if lower_again:
            return self.AGAIN
        left = self.RETRY_PERIOD - (self.loop.now() - began)
        if self.may_wait or left >= self.PAUSE:
            return self.PAUSE
        # Drawn here, as the module's draw is longer: callers that failed together come back apart.
        return max(left * (1 + self.jitter()) / 2, self.AGAIN)

    def next_wait(self) -> float:
        """Seconds for which the next watch asks the service to wait for news."""
        if self.retrying:
            return min(self.wait, self.RETRY_WAIT)
        return self.drawn_wait(self.wait, self.jitter()) if self.draws_wait else self.wait

    @classmethod
    def drawn_wait(cls, longest: float, fraction: float) -> float:
        """The seconds that a watch waits; `fraction` is a random number from 0 to 1."""
        return longest * (1.0 - cls.WATCH_JITTER * (1.0 - fraction))

    def ask(self) -> Coroutine[ListChange]:
        """One call and its answer. Raises Unwanted where it was given up for another."""
        if self.moved:
            self.close()
            self.moved = False
        address, unless = self.address, self.has_moved
        whole = self.version is None or self.hearsay
        wait = self.next_wait()
        self.asked = self.lower = False
        # Guards against a silent watch after a failed call: that it is silent shows after its wait alone.
        self.may_wait = not whole and not self.retrying
        until = self.loop.now() + (wait + self.late if self.may_wait else self.ANSWER_TIMEOUT)
        if self.connection is None or not self.connection.sound():
            self.close()
            self.connection = open_connection(self.loop, address)
            yield from self.connection.establish(min(until, self.loop.now() + self.CONNECT), unless)
        call, host = DiscoverySide(self.decoder), address_text(address).encode()
        out = call.whole(host) if whole or self.version is None else call.watch(host, self.version, wait)
        self.asked = True
        yield from self.connection.send(out, until, unless)
        told = None
        while told is None:
            data = yield from self.connection.await_bytes(until, unless)
            told = call.receive(data)
        # Guards against an answer read in the turn of the move: its version would be taken for the new one's.
        if self.address != address:
            raise Unwanted
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
