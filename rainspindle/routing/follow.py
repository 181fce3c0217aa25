"""Coroutine that keeps the endpoint list up to date by successive watches at discovery."""

from __future__ import annotations

import math
import os
from collections.abc import Callable

from ..protocol.client import Unreadable
from ..protocol.discovery import DiscoverySide, ListChange, ListDecoder
from ..transport.address import Address, address_text
from ..transport.connection import Broken, Connection, Late, OutOfSockets, Unwanted, open_connection
from ..transport.decoding import decode_some
from ..transport.loop import Coroutine, Loop
from .core import Core


def random_fraction() -> float:
    """Returns a random number from 0 to 1 by the system: importing `random` for it would slow each start."""
    return int.from_bytes(os.urandom(4), "big") / 2**32


class Follower:
    """Calls discovery, passes each change on to the core and decides when the next call is made."""

    MAX_WATCH = 24.0  # maximum seconds that a watch waits
    CONNECT_TIMEOUT = 1.0  # seconds within which a connection must be established
    MIN_PAUSE = 0.2  # minimum seconds after a failed call; where lists are pushed, the fixed pause
    MAX_PAUSE = 2.8  # maximum seconds after a failed call
    # Seconds between two calls that bring nothing new; a watch continues only if the next comes within 0.2 s
    EMPTY_ANSWER_PAUSE = 0.1
    # A watch that is not answered within this time after its wait counts as silent. A change that it misses
    # counts as notified 2 s after its wait: the next call has to be made and answered before that.
    MAX_LATENESS = 0.5
    # Seconds within which a call that need not wait must be answered, the connection included. The service
    # handles calls one after another and may take 3 s for one: a shorter limit would end calls that it is
    # about to answer, and make a busy service busier.
    ANSWER_TIMEOUT = 3.2
    RETRY_WAIT = 0.1  # seconds that the first call after a failed one lets the service wait for news
    # Fractions of the asking period: after a silent watch, too, the next call is made within it
    WATCH_FRACTION, LATENESS_FRACTION = 0.85, 0.08
    # Each watch requests a wait that is shorter by a random fraction, up to this one. Sidecars that all
    # received the same change open their next watches at the same moment. If these fall silent, all would be
    # found silent and replaced at one moment too, and a service that handles calls one after another would
    # answer the last too late.
    WATCH_JITTER = 0.35

    # Maximum seconds from such a call to the next one if it fails late, as the wait then lies behind it.
    RETRY_PERIOD = ANSWER_TIMEOUT + 1.0

    # Whatever happened before, a change counts as notified TOLD_WITHIN seconds after the service had it and
    # could be reached. UNREACHED bounds the seconds from that moment until the call is written that is
    # answered with the change. First, an earlier call has to fail and a pause follows: RETRY_PERIOD, or a
    # connection that is not established and MAX_PAUSE. If the service restarts its version count, its first
    # answer is refused and the whole list is requested after the minimum pause, on the same connection, which
    # may take CONNECT_TIMEOUT to establish. The rest, ANSWER_TIME, is left for the answers. None of it
    # depends on the asking period: after a failed call, no watch is opened before a call that the service
    # answers at once.
    TOLD_WITHIN = 6.0
    UNREACHED = max(RETRY_PERIOD, CONNECT_TIMEOUT + MAX_PAUSE) + MIN_PAUSE + CONNECT_TIMEOUT
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
        """Starts the coroutine, which makes no call before the balancer wants one, unless the list is pushed.

        Watches continue from the `known` list if there is one: what it lacks is reported first. If the list
        is `pushed`, what the agent holds counts as notified whether it is watched or not: then there is no
        random pause between calls, from the start on.
        """
        self.loop, self.address, self.decoder, self.pushed = loop, address, decoder, pushed
        self.wait = min(self.WATCH_FRACTION * ask_within or self.MAX_WATCH, self.MAX_WATCH)
        self.late = min(self.LATENESS_FRACTION * ask_within or self.MAX_LATENESS, self.MAX_LATENESS)
        self.version = known.version if known.lines else None
        self.call_wanted, self.abandoned = pushed, False
        self.connection: Connection | None = None
        self.connected = False  # whether the connection of the last call was established
        self.may_wait = False  # whether the service may let it wait for news
        self.lower_version = False  # whether it was answered with a version below the known one
        self.retrying = False  # whether the last call failed or was abandoned
        self.max_pause = self.MAX_PAUSE  # maximum seconds to the next call after the last failed one
        self.jitter: Callable[[], float] = random_fraction
        self.draws_wait = True  # False if others decide when this sidecar calls
        self.task = loop.spawn(loop.lasting(self.idle))
        self.core: Core | None = None
        self.heard: Callable[[ListChange], None] = lambda change: None  # called with each change
        self.failed: Callable[[], None] = lambda: None  # called after each failed call
        # Returns until when other members' reports make the next call unnecessary. Called again whenever the
        # task is woken.
        self.deferred_until: Callable[[], float] = lambda: -math.inf
        # The list rests on other members' reports: the next call requests the whole list
        self.from_members = False

    def want(self) -> None:
        """Requests a call."""
        self.call_wanted = True
        self.task.wake()

    def move(self, address: Address) -> None:
        """Switches to another address, where the whole list is requested: its versions may differ."""
        if address != self.address:
            self.address, self.version = address, None
            self.call_wanted = self.abandoned = True
            self.task.wake()

    def restart_call(self) -> None:
        """Abandons the call under way and makes a new one."""
        self.call_wanted = self.abandoned = True
        self.task.wake()

    def apply_report(self, change: ListChange) -> None:
        """Applies a list that other members reported.

        Guards against a wrong list: the next call requests the whole list.
        """
        assert self.core is not None
        self.core.list_changed(change.lines, change.addresses, change.whole, stale=False)
        self.version, self.from_members = change.version, True

    def is_abandoned(self) -> bool:
        """Returns whether the call under way is to be abandoned."""
        return self.abandoned

    def idle(self) -> Coroutine[None]:
        """Waits until a call is wanted, and then follows the list until a call fails, repeatedly."""
        latest = math.inf
        while True:
            while (not self.call_wanted and self.loop.now() < latest) or self.core is None:
                yield latest
            yield from self.watch_list(self.core)
            # Guards against calling a dead service in a loop. Where lists are pushed, also guards against
            # news that waits for a pause: a pause spares a service with many callers, but an agent has one.
            # Elsewhere the balancer draws the pause as a part of the asking period, which may be long.
            earliest, latest = self.loop.now() + self.MIN_PAUSE, self.loop.now() + self.max_pause
            while self.loop.now() < earliest and not self.abandoned:
                yield earliest
            self.call_wanted = self.call_wanted or self.pushed

    def watch_list(self, core: Core) -> Coroutine[None]:
        """Watches until a call fails."""
        while True:
            while self.loop.now() < (until := self.deferred_until()) and not self.abandoned:
                self.from_members = True
                self.close()
                yield until
            asked_at, known = self.loop.now(), self.version
            try:
                change = yield from self.request_list()
            except Unwanted:
                self.retrying = self.version is not None  # after a change of address, nothing has failed yet
                continue
            except (Broken, Late, OutOfSockets, Unreadable) as fault:
                if not self.lower_version:
                    self.close()
                was_retry, self.retrying = self.retrying, True
                # Guards against a pause after the failure of a call that is no longer wanted.
                if self.abandoned:
                    self.retrying = self.version is not None
                    continue
                # Guards against a pause after a silent watch: what it missed is requested at once. A service
                # that is only slow is called again too early by this, so a silent retry counts as any other
                # failure. A report by other members with a higher version than the service's is treated like
                # a silent watch: it may have been wrong.
                unanswered = isinstance(fault, Late) and self.connected
                if not was_retry and (unanswered or (self.lower_version and self.from_members)):
                    continue
                self.call_wanted = False
                self.max_pause = self.pause_after(asked_at, self.lower_version and was_retry)
                self.failed()
                core.list_failed()
                return
            self.retrying = self.from_members = False
            self.heard(change)
            core.list_changed(change.lines, change.addresses, change.whole, stale=False)
            self.version = change.version
            # Guards against flooding a service that answers every watch at once with nothing new.
            rest_until = min(self.loop.now() + self.EMPTY_ANSWER_PAUSE, asked_at + self.wait)
            while (
                (not change.lines or change.version == known)
                and self.loop.now() < rest_until
                and not self.abandoned
            ):
                yield rest_until

    def pause_after(self, began: float, lower_again: bool) -> float:
        """Returns the maximum seconds to the next call, after one that began at `began` and failed.

        `lower_again`: a retry was answered with a version below the known one, so the service is back.
        """
        if lower_again:
            return self.MIN_PAUSE
        left = self.RETRY_PERIOD - (self.loop.now() - began)
        if self.may_wait or left >= self.MAX_PAUSE:
            return self.MAX_PAUSE
        # Drawn here, as the balancer's pause is longer: callers that failed together do not call again
        # together.
        return max(left * (1 + self.jitter()) / 2, self.MIN_PAUSE)

    def next_wait(self) -> float:
        """Returns the seconds for which the next watch lets the service wait for news."""
        if self.retrying:
            return min(self.wait, self.RETRY_WAIT)
        return self.drawn_wait(self.wait, self.jitter()) if self.draws_wait else self.wait

    @classmethod
    def drawn_wait(cls, longest: float, fraction: float) -> float:
        """Returns the seconds that a watch waits; `fraction` is a random number from 0 to 1."""
        return longest * (1.0 - cls.WATCH_JITTER * (1.0 - fraction))

    def request_list(self) -> Coroutine[ListChange]:
        """Makes one call and returns its answer. Raises Unwanted if it was abandoned for another."""
        if self.abandoned:
            self.close()
            self.abandoned = False
        address, unless = self.address, self.is_abandoned
        whole = self.version is None or self.from_members
        wait = self.next_wait()
        self.connected = self.lower_version = False
        # Guards against a silent watch after a failed call: its silence shows only after its wait.
        self.may_wait = not whole and not self.retrying
        until = self.loop.now() + (wait + self.late if self.may_wait else self.ANSWER_TIMEOUT)
        if self.connection is None or not self.connection.sound():
            self.close()
            self.connection = open_connection(self.loop, address)
            yield from self.connection.establish(min(until, self.loop.now() + self.CONNECT_TIMEOUT), unless)
        call, host = DiscoverySide(self.decoder), address_text(address).encode()
        request = call.whole(host) if whole or self.version is None else call.watch(host, self.version, wait)
        self.connected = True
        yield from self.connection.send(request, until, unless)
        answer = None
        while answer is None:
            answer = yield from decode_some(self.connection, call, until, unless)
        # Guards against an answer read in the loop's turn in which the address changed: its version would be
        # taken for the new service's.
        if self.address != address:
            raise Unwanted
        change, reusable = answer
        if not reusable:
            self.close()
        if self.version is not None and change.version < self.version:
            # Guards against an old copy of the list that brings back endpoints that have drained or are gone.
            # A service that restarted its version count gives the same version again when asked for the whole
            # list.
            known, self.version = self.version, None
            self.lower_version = True
            raise Unreadable(
                f"discovery answered with generation {change.version}; expected {known} or later"
            )
        return change

    def close(self) -> None:
        """Closes the connection."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None
