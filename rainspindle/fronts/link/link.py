"""The tasks of the link: dialed and accepted connections, and the requests that peers send over them."""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

from ...decisions.sites.intake import Intake
from ...protocol.application import Ask
from ...protocol.link import frames as f
from ...protocol.link.claims import Ledger
from ...protocol.link.session import (
    AnswerReceived,
    Event,
    PeerLeaving,
    RequestCancelled,
    RequestReceived,
    RevokeAnswered,
    RevokeReceived,
    Session,
    SessionUp,
)
from ...routing.core import Broke, Core, Final, Finished, Given, Left, Rejected
from ...transport.address import Address, address_text
from ...transport.connection import Broken, Connection, Late, OutOfSockets, open_connection
from ...transport.loop import Coroutine, Loop, Task
from .crossing import Channel, IdCounter, Peer

log = logging.getLogger("rainspindle.link")

CONNECT_TIMEOUT = 1.0  # seconds
INITIAL_RETRY_DELAY, MAX_RETRY_DELAY = 0.1, 2.0  # seconds between connection attempts, doubled per failure
MAX_UNAUTHENTICATED = 32  # connections without a proven key
MAX_LEDGER_NAMES, MAX_LEDGER_EPOCHS = 65536, 8  # kept per peer: request names per epoch, and epochs
MAX_UNDELIVERED, UNDELIVERED_TTL = 1024, 10.0  # answers without a connection; seconds for which they are kept
MAX_UNREAD_BYTES = 4 * 1024 * 1024  # bytes of output that a peer may leave unread
FULL_HOLD_OFF = 0.5  # seconds; hold-off advised when no further foreign request is admitted


@dataclass(slots=True)
class ForeignRequest:
    """A request that runs here for a peer."""

    channel: Channel
    task: Task
    may_rerun: bool  # the sender abandons it when the connection is lost
    cancelled: bool = False

    def cancel(self) -> None:
        """Cancels the request and wakes its task."""
        self.cancelled = True
        self.task.wake()


class Link:
    """All connections of this gateway to the gateways of other sites."""

    def __init__(
        self,
        loop: Loop,
        site: str,
        epoch: int,
        keys: Callable[[], Sequence[bytes]],
        core: Core,
        intake: Intake,
        type_names: tuple[str, ...],
        rerun_allowed: Sequence[bool],
        stall: float,
        connections_per_peer: int,
        on_link: Callable[[str, bool], None],
    ) -> None:
        """Creates the link without peers.

        Args:
            loop: The event loop.
            site: The name of the own site.
            epoch: The number of this start of the process; later starts have larger ones.
            keys: Returns the keys that are valid now, the current one first.
            core: Runs the requests of peers.
            intake: Decides whether a request of a peer is admitted.
            type_names: The names of the traffic types, by index.
            rerun_allowed: By type index, whether a request may run both here and at its sender.
            stall: Seconds without an answer to a ping after which a connection is closed.
            connections_per_peer: How many connections are held to each peer that has an address.
            on_link: Called with a site and whether its link is now up.
        """
        self.loop, self.site, self.epoch, self.keys = loop, site, epoch, keys
        self.core, self.intake, self.type_names, self.rerun_allowed = core, intake, type_names, rerun_allowed
        self.stall, self.connections_per_peer, self.on_link = stall, connections_per_peer, on_link
        self.type_indexes = {name: index for index, name in enumerate(type_names)}
        self.id_counter = IdCounter()
        self.peers: dict[str, Peer] = {}
        self.addresses: dict[str, Address | None] = {}
        self.unauthenticated: OrderedDict[Connection, None] = OrderedDict()
        self.channels: dict[Channel, Connection] = {}
        self.ledgers: dict[str, Ledger] = {}
        self.foreign_requests: dict[tuple[str, int, int], ForeignRequest] = {}  # running for a peer
        self.undelivered: OrderedDict[tuple[str, int, int], tuple[float, f.Answer, bytes]] = OrderedDict()
        self.leaving = False
        self.taken_in = self.refused = self.faults = 0

    def set_peers(self, peers: dict[str, Address | None]) -> None:
        """Replaces the peers; those without an address are expected to connect."""
        for site in list(self.peers):
            if site not in peers:
                del self.peers[site]
                self.addresses.pop(site)
        for channel, connection in list(self.channels.items()):
            hello = channel.session.peer
            if hello is not None and channel.session.authenticated and hello.site not in peers:
                connection.close()
                channel.wake()
        for site, address in peers.items():
            known_address = self.addresses.get(site)
            self.addresses[site] = address
            if site not in self.peers:
                self.peers[site] = self.make_peer(site)
                known_address = None
            if address is not None and known_address is None:
                for _ in range(self.connections_per_peer):
                    self.loop.spawn(self.loop.lasting(partial(self.keep_connected, site)))

    def make_peer(self, site: str) -> Peer:
        """Creates the state of one peer."""
        return Peer(self.loop, site, self.type_names, self.id_counter, lambda up: self.on_link(site, up))

    # Connections.

    def keep_connected(self, site: str) -> Coroutine[None]:
        """Keeps one connection to a peer open for as long as the peer is configured."""
        retry_delay, peer = INITIAL_RETRY_DELAY, self.peers.get(site)
        while not self.leaving and self.peers.get(site) is peer and self.addresses.get(site):
            connection = None
            attempt_began = self.loop.now()
            try:
                connection = yield from self.connect(site, attempt_began + CONNECT_TIMEOUT)
                session = Session(self.loop.now(), self.site, self.epoch, self.keys(), True, site, self.stall)
                yield from self.run_channel(connection, session)
            except (Broken, Late, OutOfSockets):
                pass
            finally:
                if connection is not None:
                    connection.close()
            retry_delay = (
                INITIAL_RETRY_DELAY
                if self.loop.now() - attempt_began > 5.0
                else min(2 * retry_delay, MAX_RETRY_DELAY)
            )
            retry_at = self.loop.now() + retry_delay
            while self.loop.now() < retry_at:
                yield retry_at
        while True:
            yield float("inf")

    def connect(self, site: str, until: float) -> Coroutine[Connection]:
        """Opens a connection to a peer. Raises Broken, Late or OutOfSockets."""
        address = self.addresses[site]
        assert address is not None
        connection = open_connection(self.loop, address)
        try:
            yield from connection.establish(until)
        except BaseException:
            connection.close()
            raise
        return connection

    def accepted(self, connection: Connection) -> None:
        """Starts a session on an accepted connection.

        The number and the time of connections that have not proved a key are bounded.
        """
        if len(self.unauthenticated) >= MAX_UNAUTHENTICATED:
            oldest, _ = self.unauthenticated.popitem(last=False)
            wake = oldest.wake
            oldest.close()
            wake()
        self.unauthenticated[connection] = None
        session = Session(self.loop.now(), self.site, self.epoch, self.keys(), False, stall=self.stall)

        def gone() -> None:
            self.unauthenticated.pop(connection, None)
            connection.close()

        self.loop.spawn(self.run_channel(connection, session), gone)

    def run_channel(self, connection: Connection, session: Session) -> Coroutine[None]:
        """Reads and writes one connection until it ends."""
        task = self.loop.current
        assert task is not None
        connection.mine()
        channel = Channel(session, task)
        self.channels[channel] = connection
        peer: Peer | None = None
        pending, written = memoryview(b""), 0
        try:
            while not connection.closed:
                data = connection.receive()
                now = self.loop.now()
                if data == b"":
                    return
                for event in session.receive(now, data) if data else ():
                    peer = self.handle_event(channel, event, peer, connection)
                if now >= session.next_tick_at():
                    session.tick(now)
                if not pending:
                    pending = memoryview(session.take_output())
                while pending and connection.writable:
                    sent = connection.send_some(pending)
                    pending, written = pending[sent:], written + sent
                    if not pending:
                        pending = memoryview(session.take_output())
                if peer is not None:
                    peer.mark_written(session.take_written(written))
                if len(session.output) > MAX_UNREAD_BYTES:
                    raise f.LinkFault(
                        "unread",
                        f"{len(session.output)} bytes of output unread, at most {MAX_UNREAD_BYTES} allowed",
                    )
                if data is None:
                    yield session.next_tick_at()
                elif self.loop.slice_used():
                    yield from self.loop.yield_turn()
        except Broken:
            pass
        except f.LinkFault as fault:
            self.faults += 1
            log.warning(
                "link closed",
                extra={
                    "fields": {"peer": session.peer.site if session.peer else "unknown", **fault.fields()}
                },
            )
            self.send_fault(connection, fault)
        finally:
            del self.channels[channel]
            # Avoids further attempts for requests that their sender abandoned and may run itself.
            for foreign in self.foreign_requests.values():
                if foreign.channel is channel and foreign.may_rerun:
                    foreign.cancel()
            if peer is not None:
                # Bytes that the kernel accepted may reach the peer even if the next write failed.
                peer.mark_written(session.take_written(written))
                peer.channel_closed(channel)

    def send_fault(self, connection: Connection, fault: f.LinkFault) -> None:
        """Sends the peer the name of the fault, if the connection can be written at once."""
        if not connection.closed and connection.writable and fault.name != "peer_fault":
            try:
                connection.send_some(memoryview(f.encode(f.Fault(fault.name))))
            except Broken:
                return

    def handle_event(
        self, channel: Channel, event: Event, peer: Peer | None, connection: Connection
    ) -> Peer | None:
        """Handles one session event and returns the connection's peer. Raises LinkFault."""
        if isinstance(event, SessionUp):
            peer = self.peers.get(event.site)
            if peer is None:
                raise f.LinkFault("site", f"{event.site[:100]} is not a configured peer")
            ledger = self.ledgers.setdefault(event.site, Ledger(MAX_LEDGER_NAMES, MAX_LEDGER_EPOCHS))
            if not ledger.welcome(event.epoch):
                raise f.LinkFault("epoch_old", f"{event.epoch} is older than the epochs that are kept")
            self.unauthenticated.pop(connection, None)
            log.info("link up", extra={"fields": {"peer": event.site, "epoch": event.epoch}})
            peer.channel_up(channel)
            self.deliver_undelivered(channel, event.site, event.epoch)
            return peer
        assert peer is not None and channel.session.peer is not None
        epoch = channel.session.peer.epoch
        if isinstance(event, RequestReceived):
            self.handle_open(channel, peer, epoch, event)
        elif isinstance(event, AnswerReceived):
            peer.handle_answer(event.answer, event.body)
        elif isinstance(event, RevokeReceived):
            self.handle_revoke(channel, peer.site, epoch, event)
        elif isinstance(event, RevokeAnswered):
            peer.handle_revoked(event.id, event.state)
        elif isinstance(event, RequestCancelled):
            foreign = self.foreign_requests.get((peer.site, epoch, event.id))
            if foreign is not None:
                foreign.cancel()
        elif isinstance(event, PeerLeaving):
            log.info("peer is shutting down", extra={"fields": {"peer": peer.site}})
        return peer

    # Requests from a peer.

    def handle_open(self, channel: Channel, peer: Peer, epoch: int, event: RequestReceived) -> None:
        """Admits and starts a request from a peer, or rejects it."""
        now, opening, ledger = self.loop.now(), event.open, self.ledgers[peer.site]
        type_index = self.type_indexes.get(opening.type_name)
        rejection_reason = (
            "late"
            if event.stale or event.expires_at <= now
            else "unknown_type"
            if type_index is None
            else "leaving"
            if self.leaving
            else ""
        )
        if rejection_reason or not self.intake.admit(now):
            # Recorded as revoked before the answer, so that the rejection proves that it never ran.
            if ledger.revoke(epoch, opening.id) == "never":
                self.refused += 1
                hold_off = 0.0 if rejection_reason else FULL_HOLD_OFF
                channel.session.answer(f.Answer(opening.id, "rejected", hold_off, (), 0, False), b"")
            return
        if not ledger.start(epoch, opening.id):
            self.intake.foreign_ended(now, True)
            channel.session.peer_requests.discard(opening.id)
            return
        self.taken_in += 1
        assert type_index is not None
        ask = Ask(
            opening.request_id,
            opening.method,
            opening.target,
            event.body,
            opening.headers,
            type_index,
            opening.key,
            None,
            opening.hint,
            opening.repeat,
        )
        expires_at = min(event.expires_at, self.core.last_answer)
        given = Given(type_index, opening.key, opening.hint, opening.repeat, expires_at, ask)
        self.loop.spawn(self.serve(channel, peer, epoch, opening.id, given))

    def serve(
        self, channel: Channel, peer: Peer, epoch: int, request_id: int, given: Given
    ) -> Coroutine[None]:
        """Runs a request of a peer and sends its answer over a connection that is up."""
        request_key = peer.site, epoch, request_id
        task = self.loop.current
        assert task is not None
        foreign = self.foreign_requests[request_key] = ForeignRequest(
            channel, task, self.rerun_allowed[given.type_index]
        )
        succeeded = False
        try:
            final: Final = yield from self.core.run(given, lambda: foreign.cancelled)
            succeeded = isinstance(final, Finished | Left)
        finally:
            del self.foreign_requests[request_key]
            self.intake.foreign_ended(self.loop.now(), succeeded)
            self.ledgers[peer.site].done(epoch, request_id)
        if isinstance(final, Left | Broke):
            channel.session.peer_requests.discard(request_id)
            return
        body = final.payload.body if isinstance(final, Finished) else b""
        answer = f.Answer(
            request_id,
            "finished"
            if isinstance(final, Finished)
            else "rejected"
            if isinstance(final, Rejected)
            else "terminated",
            final.hold_off if isinstance(final, Rejected) else 0.0,
            final.payload.headers if isinstance(final, Finished) else (),
            len(body),
            not isinstance(final, Rejected) or final.ran,
        )
        channel.session.peer_requests.discard(request_id)
        answer_channel = (
            channel
            if channel.up
            else next(
                (
                    candidate
                    for candidate in peer.channels
                    if candidate.session.peer is not None and candidate.session.peer.epoch == epoch
                ),
                None,
            )
        )
        if answer_channel is not None:
            answer_channel.session.answer(answer, body)
            answer_channel.wake()
        else:
            self.undelivered[request_key] = self.loop.now() + UNDELIVERED_TTL, answer, body
            while len(self.undelivered) > MAX_UNDELIVERED:
                self.undelivered.popitem(last=False)

    def deliver_undelivered(self, channel: Channel, site: str, epoch: int) -> None:
        """Sends the answers that waited for a connection to this start of the peer."""
        for request_key, (expires_at, answer, body) in list(self.undelivered.items()):
            if expires_at <= self.loop.now():
                del self.undelivered[request_key]
            elif request_key[:2] == (site, epoch):
                del self.undelivered[request_key]
                channel.session.answer(answer, body)
        channel.wake()

    def handle_revoke(self, channel: Channel, site: str, epoch: int, event: RevokeReceived) -> None:
        """Handles a revoke; one for an earlier start of this process is answered with "unknown"."""
        state = self.ledgers[site].revoke(epoch, event.id) if event.epoch == self.epoch else "unknown"
        channel.session.revoked(event.id, state)

    # Shutdown.

    def leave(self) -> None:
        """Stops opening and accepting requests; open ones are finished."""
        self.leaving = True
        for channel in list(self.channels):
            if channel.up:
                channel.session.goodbye()
                channel.wake()

    def describe(self) -> str:
        """Returns the peers and their addresses for the log."""
        return (
            ", ".join(
                f"{site} at {address_text(address) if address else 'any address'}"
                for site, address in self.addresses.items()
            )
            or "nobody"
        )
