"""One TCP connection, read and written by coroutines, and the listening socket."""

from __future__ import annotations

import array
import contextlib
import errno
import select
import socket
import struct
from collections.abc import Callable

from .address import Address, address_text
from .loop import Coroutine, Loop

Unless = Callable[[], bool] | None

CHUNK = 65536
ENDED = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
POLL_ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR
SHORT = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Broken(Exception):
    """The connection was refused, reset, or ended where more was due."""


class Unwanted(Exception):
    """What the coroutine waited for is not wanted any more: its `unless` holds."""


class Late(Exception):
    """The time until which the coroutine would wait has come."""


class OutOfSockets(Exception):
    """No descriptor is left for one more connection."""


def family(address: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


class Connection:
    """Edge-triggered: what epoll told is kept in flags until the socket says that it would block."""

    def __init__(self, loop: Loop, sock: socket.socket, connected: bool, urgent: bool = False) -> None:
        self.loop, self.sock, self.urgent = loop, sock, urgent
        self.closed = False
        self.readable = self.writable = connected
        self.ended = False  # the other side has closed or broken it, or its sending half
        self.half_closed = False  # this side has ended its sending, and reads no more
        self.came = loop.came  # the earliest that the last bytes read can have come
        self.seen = loop.looked  # when they were there at the latest
        self.idle_since = 0.0
        self.wake: Callable[[], None] = lambda: None
        loop.watch(sock.fileno(), self, urgent)

    def on_events(self, events: int) -> None:
        if events & (select.EPOLLIN | ENDED):
            self.readable, self.came, self.seen = True, self.loop.came, self.loop.looked
        if events & (select.EPOLLOUT | select.EPOLLERR | select.EPOLLHUP):
            self.writable = True
        if events & ENDED:
            self.ended = True
        self.wake()

    def mine(self) -> None:
        """From now on the running coroutine is the one to wake."""
        task = self.loop.current
        assert task is not None
        self.wake = task.wake

    def await_it(self, until: float, unless: Unless) -> Coroutine[None]:
        """One wait, if there is still time and it is still wanted."""
        if unless is not None and unless():
            raise Unwanted
        if self.loop.now() >= until:
            raise Late
        yield until

    def establish(self, until: float, unless: Unless = None) -> Coroutine[None]:
        self.mine()
        while not self.writable:
            yield from self.await_it(until, unless)
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise Broken(errno.errorcode.get(error, str(error)))

    def receive(self) -> bytes | None:
        """What has come: None while there is nothing, b"" at the end. Raises Unwanted once half closed."""
        if self.half_closed:
            raise Unwanted
        if not self.readable:
            return None
        try:
            data = self.sock.recv(CHUNK)
            # What is short has emptied the socket: the next edge tells of more. An end has been told already.
            self.readable = self.ended or len(data) == CHUNK
            return data
        except BlockingIOError:
            self.readable = False
            return None
        except OSError as fault:
            self.ended = True
            raise Broken(str(fault)) from None

    def await_bytes(self, until: float, unless: Unless = None) -> Coroutine[bytes]:
        """The next bytes, b"" at the end."""
        self.mine()
        while (data := self.receive()) is None:
            yield from self.await_it(until, unless)
        return data

    def send(self, data: bytes, until: float, unless: Unless = None) -> Coroutine[None]:
        """Returns when the last byte is written, and only then. Raises Unwanted where `unless` holds at a
        wait or after it; without a wait it is not asked."""
        self.mine()
        view = memoryview(data)
        while view:
            if self.writable:
                view = view[self.send_some(view) :]
                continue
            yield from self.await_it(until, unless)
            # Room to write may come together with what makes the rest unwanted.
            if unless is not None and unless():
                raise Unwanted

    def send_some(self, view: memoryview) -> int:
        """How many bytes the kernel took, 0 if it takes none now."""
        try:
            return self.sock.send(view)
        except BlockingIOError:
            self.writable = False
            return 0
        except OSError as fault:
            self.ended = True
            raise Broken(str(fault)) from None

    def rest(self, seconds: float) -> Coroutine[None]:
        """Lets a moment pass in which the connection may show its end."""
        self.mine()
        until = self.loop.now() + seconds
        while not self.ended and self.loop.now() < until:
            yield until
        if self.ended:
            raise Broken("ended as soon as it was up")

    def sound(self) -> bool:
        """Whether an idle connection can still be used: nothing has come and nothing has ended."""
        if self.closed or self.ended:
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def left(self) -> bool:
        """Whether the other side has ended the connection, as the kernel knows it now.

        The loop's own events come one round later, which is late where the processor is short. An end is seen
        behind unread bytes too: pipelined requests, or the rest of a body. Not seen is a FIN that the peer
        can't send yet because the receive buffer is full; a reset is.

        A half-close (`shutdown(SHUT_WR)`) counts as an end: on the wire it is the same FIN as that of
        `close()`, and only a write that is answered by a reset would tell them apart."""
        if self.closed:
            return True
        if not self.ended:
            try:
                unread = self.sock.recv(1, socket.MSG_PEEK)
                self.ended = not unread or self.end_behind_unread()
            except BlockingIOError:
                pass
            except OSError:
                self.ended = True
        return self.ended

    def end_behind_unread(self) -> bool:
        """Whether a FIN or a reset has come, whatever lies unread before it."""
        poll = select.poll()
        poll.register(self.sock, POLL_ENDED)
        return bool(poll.poll(0))

    def pending(self) -> bool:
        """Whether bytes have come that nobody has read."""
        try:
            return not self.closed and self.sock.recv(1, socket.MSG_PEEK) != b""
        except OSError:
            return False

    def end_sending(self) -> None:
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def half_close(self) -> None:
        """Ends the sending side, and reads nothing more: what still comes stays unread.

        Guards against a reset, which a close over unread bytes is: the other side gets all that was written,
        then the end. A request that crosses it is left unread, so that its client may send it again."""
        if not self.closed:
            self.half_closed = True
            self.end_sending()
            self.wake()

    def await_end(self, until: float) -> Coroutine[None]:
        """Waits, reading nothing, until the other side ends the connection too, or it is closed here."""
        self.mine()
        while not self.ended and not self.closed and self.loop.now() < until:
            yield until

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.wake = lambda: None
            self.loop.unwatch(self.sock.fileno(), self.urgent)
            self.sock.close()


def open_socket(loop: Loop, address: Address) -> socket.socket:
    """One more descriptor; where the process has none left, another connection is asked to close for it."""
    try:
        return socket.socket(family(address), socket.SOCK_STREAM)
    except OSError as fault:
        if fault.errno not in SHORT or not loop.make_room():
            raise OutOfSockets(str(fault)) from None
    try:
        return socket.socket(family(address), socket.SOCK_STREAM)
    except OSError as fault:
        raise OutOfSockets(str(fault)) from None


def open_connection(loop: Loop, address: Address) -> Connection:
    """A connection under way; the caller waits for it with `establish`."""
    sock = open_socket(loop, address)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        error = sock.connect_ex(address)
    except OSError as fault:
        sock.close()
        raise Broken(str(fault)) from None
    if error not in (0, errno.EINPROGRESS):
        sock.close()
        raise Broken(errno.errorcode.get(error, str(error)))
    return Connection(loop, sock, connected=False)


class Listener:
    """The listening socket: hands over every connection as it comes."""

    BACKLOG = 1024
    AT_ONCE = 32  # accepted in one go: those already there must not wait for a flood to end
    RETRY = 0.02  # seconds until the next try where nothing could be accepted
    STEER = 51  # SO_ATTACH_REUSEPORT_CBPF, which the socket module does not name
    TO_THE_SECOND = struct.pack("=HBBI", 0x06, 0, 0, 1)  # a program of one step: return 1

    def __init__(
        self,
        loop: Loop,
        address: Address,
        accepted: Callable[[Connection], bool | None],
        make_room: Callable[[], bool],
        urgent: bool = False,
        shared: bool = False,
    ) -> None:
        """`accepted` takes a connection, or answers False: then it is offered again until it is taken, and
        no other is accepted. `make_room` closes another connection when no descriptor is left.

        `shared`: a process of the same user may listen there beside this one. Then `listen` opens it,
        else it is open at once. Raises OSError."""
        self.loop, self.accepted, self.make_room, self.urgent = loop, accepted, make_room, urgent
        self.closed, self.open = False, False
        self.offered: Connection | None = None  # accepted from the system, not yet taken
        self.retry_pending = False
        self.sock = socket.socket(family(address), socket.SOCK_STREAM)
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if shared:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            self.sock.setblocking(False)
            self.sock.bind(address)
            if not shared:
                self.listen()
        except OSError as fault:
            self.sock.close()
            raise OSError(fault.errno, f"{address_text(address)}: {fault.strerror}") from None

    def listen(self) -> None:
        self.sock.listen(self.BACKLOG)
        self.open = True
        self.loop.watch(self.sock.fileno(), self, self.urgent)

    def lead_here(self) -> bool:
        """Of two processes that listen, the one that came second gets all that comes from now on.

        Guards against connections in the queue of the first at the moment when it closes. With one process
        left there is no second, and the kernel goes back to its own choice. False where it cannot be had."""
        program = array.array("B", self.TO_THE_SECOND)
        told = struct.pack("@HP", 1, program.buffer_info()[0])
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, self.STEER, told)
        except OSError:
            return False
        return True

    @property
    def address(self) -> Address:
        host, port = self.sock.getsockname()[:2]
        return host, port

    def on_events(self, events: int) -> None:
        if not self.retry_pending:
            self.accept_some()

    def accept_some(self) -> None:
        """Accepts what has come, in parts."""
        delay: float | None = self.RETRY
        try:
            delay = self.accept_batch()
        finally:  # also after a fault: the edge that told of the others is gone
            if delay is not None:
                self.retry_in(delay)

    def accept_batch(self) -> float | None:
        """Accepts up to AT_ONCE. Seconds until the next try; None where the system tells of the next one."""
        taken = 0
        for _ in range(self.AT_ONCE):
            if self.closed or not self.open:
                return None
            if self.offered is None:
                try:
                    sock, _ = self.sock.accept()
                except BlockingIOError:
                    return None
                except OSError as fault:
                    if fault.errno in SHORT and not self.make_room():
                        break
                    continue
                self.offered = self.connection(sock)
            if self.offered is not None:
                if not self.offer(self.offered):
                    break
                taken += 1
        return 0.0 if taken else self.RETRY

    def offer(self, connection: Connection) -> bool:
        """Whether it has been taken; else it stays `offered`."""
        try:
            if self.accepted(connection) is False:
                return False
        except BaseException:
            connection.close()
            self.offered = None
            raise
        self.offered = None
        return True

    def connection(self, sock: socket.socket) -> Connection | None:
        """None where the system has no room for it beyond its descriptor."""
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            return Connection(self.loop, sock, connected=True, urgent=self.urgent)
        except OSError:
            sock.close()
            return None

    def retry_in(self, delay: float) -> None:
        """Guards against a further series of tries for each connection that comes while none is accepted."""
        if not self.retry_pending:
            self.retry_pending = True
            self.loop.spawn(self.retry(delay), urgent=self.urgent)

    def retry(self, delay: float) -> Coroutine[None]:
        at = self.loop.now() + delay
        while self.loop.now() < at:
            yield at
        self.retry_pending = False
        self.accept_some()

    def close(self) -> None:
        """Takes what the machine has accepted already, then closes."""
        for _ in range(self.BACKLOG // self.AT_ONCE):
            self.accept_some()
        if not self.closed:
            self.closed = True
            if self.offered is not None:
                self.offered.close()
            if self.open:
                self.loop.unwatch(self.sock.fileno(), self.urgent)
            self.sock.close()
