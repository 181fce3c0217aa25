"""The coroutines of the link: connections dialed and taken, and the exchanges that come over them."""

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
from ...protocol.link.session import Asked, Came, Event, Leaving, Said, Session, Told, Up
from ...protocol.link.session import Left as FarLeft
from ...routing.core import Broke, Core, Final, Finished, Given, Left, Rejected
from ...transport.address import Address, address_text
from ...transport.connection import Broken, Connection, Late, OutOfSockets, open_connection
from ...transport.loop import Coroutine, Loop, Task
from .crossing import Counter, Line, Peer

log = logging.getLogger("rainspindle.link")

CONNECT_TIME = 1.0
RETRY_FIRST, RETRY_MOST = 0.1, 2.0  # seconds between attempts to connect, doubled by each that fails
MOST_STRANGERS = 32  # connections that have not proved a key
LEDGER, EPOCHS = 65536, 8
KEPT_ANSWERS, KEPT_TIME = 1024, 10.0  # answers that found no connection
MOST_OUT = 4 * 1024 * 1024  # bytes that a peer may leave unread
FULL_HOLD_OFF = 0.5  # seconds that a site with no room for foreign work asks to be left alone


@dataclass(slots=True)
class Foreign:
    """An exchange that runs here for a peer."""

    line: Line
    task: Task
    rerun: bool  # its sender gives it up with the connection
    cancelled: bool = False

    def cancel(self) -> None:
        self.cancelled = True
        self.task.wake()


class Link:
    """All links of this gateway with other sites."""

    def __init__(
        self,
        loop: Loop,
        site: str,
        epoch: int,
        keys: Callable[[], Sequence[bytes]],
        core: Core,
        intake: Intake,
        type_names: tuple[str, ...],
        reruns: Sequence[bool],
        stall: float,
        dials: int,
        on_link: Callable[[str, bool], None],
    ) -> None:
        """`keys` are those valid now; `reruns` says by traffic type whether an exchange may run again here
        and
        there; `dials` connections are held to each peer that has an address."""
        self.loop, self.site, self.epoch, self.keys = loop, site, epoch, keys
        self.core, self.intake, self.type_names, self.reruns = core, intake, type_names, reruns
        self.stall, self.dials, self.on_link = stall, dials, on_link
        self.types = {name: n for n, name in enumerate(type_names)}
        self.counter = Counter()
        self.peers: dict[str, Peer] = {}
        self.addresses: dict[str, Address | None] = {}
        self.strangers: OrderedDict[Connection, None] = OrderedDict()
        self.lines: dict[Line, Connection] = {}
        self.ledgers: dict[str, Ledger] = {}
        self.foreign: dict[tuple[str, int, int], Foreign] = {}  # running for a peer
        self.kept: OrderedDict[tuple[str, int, int], tuple[float, f.Answer, bytes]] = OrderedDict()
        self.leaving = False
        self.taken_in = self.refused = self.faults = 0

    def set_peers(self, peers: dict[str, Address | None]) -> None:
        """Other peers from now on; those without an address are waited for."""
        for site in list(self.peers):
            if site not in peers:
                del self.peers[site]
                self.addresses.pop(site)
        for line, connection in list(self.lines.items()):
            known = line.session.peer
            if known is not None and line.session.proved and known.site not in peers:
                connection.close()
                line.wake()
        for site, address in peers.items():
            known_address = self.addresses.get(site)
            self.addresses[site] = address
            if site not in self.peers:
                self.peers[site] = self.make_peer(site)
                known_address = None
            if address is not None and known_address is None:
                for _ in range(self.dials):
                    self.loop.spawn(self.loop.lasting(partial(self.dial, site)))

    def make_peer(self, site: str) -> Peer:
        return Peer(self.loop, site, self.type_names, self.counter, lambda up: self.on_link(site, up))

    # Connections.

    def dial(self, site: str) -> Coroutine[None]:
        """Holds one connection to a peer for as long as it is one."""
        pause, peer = RETRY_FIRST, self.peers.get(site)
        while not self.leaving and self.peers.get(site) is peer and self.addresses.get(site):
            connection = None
            began = self.loop.now()
            try:
                connection = yield from self.connect(site, began + CONNECT_TIME)
                session = Session(self.loop.now(), self.site, self.epoch, self.keys(), True, site, self.stall)
                yield from self.drive(connection, session)
            except (Broken, Late, OutOfSockets):
                pass
            finally:
                if connection is not None:
                    connection.close()
            pause = RETRY_FIRST if self.loop.now() - began > 5.0 else min(2 * pause, RETRY_MOST)
            again = self.loop.now() + pause
            while self.loop.now() < again:
                yield again
        while True:
            yield float("inf")

    def connect(self, site: str, until: float) -> Coroutine[Connection]:
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
        """A connection has come. One that does not prove a key costs bounded memory and time."""
        if len(self.strangers) >= MOST_STRANGERS:
            oldest, _ = self.strangers.popitem(last=False)
            wake = oldest.wake
            oldest.close()
            wake()
        self.strangers[connection] = None
        session = Session(self.loop.now(), self.site, self.epoch, self.keys(), False, stall=self.stall)

        def gone() -> None:
            self.strangers.pop(connection, None)
            connection.close()

        self.loop.spawn(self.drive(connection, session), gone)

    def drive(self, connection: Connection, session: Session) -> Coroutine[None]:
        """Reads and writes one connection until it ends."""
        task = self.loop.current
        assert task is not None
        connection.mine()
        line = Line(session, task)
        self.lines[line] = connection
        peer: Peer | None = None
        pending, written = memoryview(b""), 0
        try:
            while not connection.closed:
                data = connection.receive()
                now = self.loop.now()
                if data == b"":
                    return
                for event in session.receive(now, data) if data else ():
                    peer = self.happened(line, event, peer, connection)
                if now >= session.next_at():
                    session.tick(now)
                if not pending:
                    pending = memoryview(session.take())
                while pending and connection.writable:
                    sent = connection.send_some(pending)
                    pending, written = pending[sent:], written + sent
                    if not pending:
                        pending = memoryview(session.take())
                if peer is not None:
                    peer.written(session.whole(written))
                if len(session.out) > MOST_OUT:
                    raise f.LinkFault("unread", f"{len(session.out)} bytes")
                if data is None:
                    yield session.next_at()
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
            self.say_why(connection, fault)
        finally:
            del self.lines[line]
            # Guards against further forwards for what its sender has given up, and had run at home.
            for foreign in self.foreign.values():
                if foreign.line is line and foreign.rerun:
                    foreign.cancel()
            if peer is not None:
                # What the kernel has taken may run, also where the next write broke.
                peer.written(session.whole(written))
                peer.line_gone(line)

    def say_why(self, connection: Connection, fault: f.LinkFault) -> None:
        """The name of the fault, if it can be written at once."""
        if not connection.closed and connection.writable and fault.name != "peer_fault":
            try:
                connection.send_some(memoryview(f.encode(f.Fault(fault.name))))
            except Broken:
                return

    def happened(self, line: Line, event: Event, peer: Peer | None, connection: Connection) -> Peer | None:
        if isinstance(event, Up):
            peer = self.peers.get(event.site)
            if peer is None:
                raise f.LinkFault("site", event.site[:100])
            ledger = self.ledgers.setdefault(event.site, Ledger(LEDGER, EPOCHS))
            if not ledger.welcome(event.epoch):
                raise f.LinkFault("epoch_old", str(event.epoch))
            self.strangers.pop(connection, None)
            log.info("link up", extra={"fields": {"peer": event.site, "epoch": event.epoch}})
            peer.line_up(line)
            self.deliver_kept(line, event.site, event.epoch)
            return peer
        assert peer is not None and line.session.peer is not None
        epoch = line.session.peer.epoch
        if isinstance(event, Came):
            self.came(line, peer, epoch, event)
        elif isinstance(event, Told):
            peer.told(event.answer, event.body)
        elif isinstance(event, Asked):
            self.asked(line, peer.site, epoch, event)
        elif isinstance(event, Said):
            peer.said(event.id, event.state)
        elif isinstance(event, FarLeft):
            foreign = self.foreign.get((peer.site, epoch, event.id))
            if foreign is not None:
                foreign.cancel()
        elif isinstance(event, Leaving):
            log.info("peer leaves", extra={"fields": {"peer": peer.site}})
        return peer

    # Exchanges that come from a peer.

    def came(self, line: Line, peer: Peer, epoch: int, event: Came) -> None:
        now, head, ledger = self.loop.now(), event.open, self.ledgers[peer.site]
        kind = self.types.get(head.type_name)
        why = (
            "late"
            if event.stale or event.expires_at <= now
            else "unknown_type"
            if kind is None
            else "leaving"
            if self.leaving
            else ""
        )
        if why or not self.intake.admit(now):
            # Written down as never to start, so that what is answered here is proof.
            if ledger.revoke(epoch, head.id) == "never":
                self.refused += 1
                hold_off = 0.0 if why else FULL_HOLD_OFF
                line.session.answer(f.Answer(head.id, "rejected", hold_off, (), 0, False), b"")
            return
        if not ledger.start(epoch, head.id):
            self.intake.foreign_ended(now, True)
            line.session.theirs.discard(head.id)
            return
        self.taken_in += 1
        assert kind is not None
        ask = Ask(
            head.request_id,
            head.method,
            head.target,
            event.body,
            head.headers,
            kind,
            head.key,
            None,
            head.hint,
            head.repeat,
        )
        expires_at = min(event.expires_at, self.core.last_answer)
        given = Given(kind, head.key, head.hint, head.repeat, expires_at, ask)
        self.loop.spawn(self.serve(line, peer, epoch, head.id, given))

    def serve(self, line: Line, peer: Peer, epoch: int, id: int, given: Given) -> Coroutine[None]:
        name = peer.site, epoch, id
        task = self.loop.current
        assert task is not None
        foreign = self.foreign[name] = Foreign(line, task, self.reruns[given.type_index])
        good = False
        try:
            final: Final = yield from self.core.run(given, lambda: foreign.cancelled)
            good = isinstance(final, Finished | Left)
        finally:
            del self.foreign[name]
            self.intake.foreign_ended(self.loop.now(), good)
            self.ledgers[peer.site].done(epoch, id)
        if isinstance(final, Left | Broke):
            line.session.theirs.discard(id)
            return
        body = final.payload.body if isinstance(final, Finished) else b""
        answer = f.Answer(
            id,
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
        line.session.theirs.discard(id)
        way = (
            line
            if line.up
            else next(
                (n for n in peer.lines if n.session.peer is not None and n.session.peer.epoch == epoch), None
            )
        )
        if way is not None:
            way.session.answer(answer, body)
            way.wake()
        else:
            self.kept[name] = self.loop.now() + KEPT_TIME, answer, body
            while len(self.kept) > KEPT_ANSWERS:
                self.kept.popitem(last=False)

    def deliver_kept(self, line: Line, site: str, epoch: int) -> None:
        for name, (until, answer, body) in list(self.kept.items()):
            if until <= self.loop.now():
                del self.kept[name]
            elif name[:2] == (site, epoch):
                del self.kept[name]
                line.session.answer(answer, body)
        line.wake()

    def asked(self, line: Line, site: str, epoch: int, event: Asked) -> None:
        """A revoke. What was opened to an earlier start of ours is not known here."""
        state = self.ledgers[site].revoke(epoch, event.id) if event.epoch == self.epoch else "unknown"
        line.session.revoked(event.id, state)

    # The way out.

    def leave(self) -> None:
        """Nothing new either way; what is open is finished."""
        self.leaving = True
        for line in list(self.lines):
            if line.up:
                line.session.goodbye()
                line.wake()

    def describe(self) -> str:
        return (
            ", ".join(
                f"{site} at {address_text(a) if a else 'any address'}" for site, a in self.addresses.items()
            )
            or "nobody"
        )
