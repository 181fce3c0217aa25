"""TCP connections, read and written by coroutines, and listening sockets."""

from __future__ import annotations

import array
import contextlib
import errno
import fcntl
import math
import select
import socket
import struct
import termios
from collections.abc import Callable

from .address import Address, address_text
from .loop import Coroutine, Loop

Unless = Callable[[], bool] | None

READ_SIZE = 65536
END_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
POLL_END_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
OUT_OF_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# Errors of `connect` that say something of this machine, and not of the peer.
LOCAL_FAILURES = (errno.EADDRNOTAVAIL, errno.EAGAIN, errno.ENOBUFS, errno.ENOMEM)
NO_ROUTE = (errno.ENETUNREACH, errno.ENETDOWN)  # of this machine for a moment, or of the peer if it lasts


class Broken(Exception):
    """The connection was refused or reset, or ended before all expected bytes had arrived."""


class Unwanted(Exception):
    """The result of the wait is no longer wanted: its `unless` holds."""


class Late(Exception):
    """The wait reached its time limit."""


class OutOfSockets(Exception):
    """No file descriptor is left for another connection."""


class LocalFailure(OutOfSockets):
    """This machine cannot connect now; it may be able to in a moment.

    Attributes:
        is_no_route: Whether it knows no route to the peer.
    """

    def __init__(self, code: int) -> None:
        super().__init__(errno.errorcode.get(code, str(code)))
        self.is_no_route = code in NO_ROUTE


def family(address: Address) -> socket.AddressFamily:
    """Returns the family of a numeric address."""
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


class Connection:
    """An edge-triggered connection; flags keep what epoll reported until the socket would block."""

    def __init__(self, loop: Loop, sock: socket.socket, connected: bool, urgent: bool = False) -> None:
        self.loop, self.sock, self.urgent = loop, sock, urgent
        self.closed = False
        self.read_size = READ_SIZE  # bytes that one read returns at most
        self.readable = self.writable = connected
        self.ended = False  # the peer has closed, half-closed or reset it
        self.half_closed = False  # this side has ended its sending and reads no more
        self.came = loop.came  # the earliest time at which the last bytes can have arrived
        self.seen = loop.looked  # the latest time at which they can have arrived
        self.idle_since = 0.0
        self.read_at = -math.inf  # when `await_bytes` last returned
        self.wake: Callable[[], None] = lambda: None
        loop.watch(sock.fileno(), self, urgent)

    def on_events(self, events: int) -> None:
        """Records events of epoll and wakes the waiting coroutine."""
        if events & (select.EPOLLIN | END_EVENTS):
            self.readable, self.came, self.seen = True, self.loop.came, self.loop.looked
        if events & (select.EPOLLOUT | select.EPOLLERR | select.EPOLLHUP):
            self.writable = True
        if events & END_EVENTS:
            self.ended = True
        self.wake()

    def mine(self) -> None:
        """Makes the running coroutine the one that events wake."""
        task = self.loop.current
        assert task is not None
        self.wake = task.wake

    def await_it(self, until: float, unless: Unless) -> Coroutine[None]:
        """Waits once. Raises Late and Unwanted."""
        self.check_limits(until, unless)
        yield until

    def check_limits(self, until: float, unless: Unless) -> None:
        """Checks the limits of a wait.

        Raises:
            Late: The time `until` has come.
            Unwanted: `unless` holds.
        """
        if unless is not None and unless():
            raise Unwanted
        if self.loop.now() >= until:
            raise Late

    def share_turn(self, until: float, unless: Unless = None) -> Coroutine[None]:
        """Lets other tasks run if this one has used its time slice. Raises Late and Unwanted after that."""
        if self.loop.slice_used():
            yield from self.loop.yield_turn()
            self.check_limits(until, unless)

    def establish(self, until: float, unless: Unless = None) -> Coroutine[None]:
        """Waits until the connection is established. Raises Broken, Late and Unwanted."""
        self.mine()
        while not self.writable:
            yield from self.await_it(until, unless)
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise Broken(errno.errorcode.get(error, str(error)))

    def receive(self) -> bytes | None:
        """Returns received bytes, up to `read_size`, None if there are none yet, b"" at the end.

        A short read does not mean that the socket is empty: only a read that would block does.

        Raises:
            Broken: The connection failed.
            Unwanted: This side has half-closed it.
        """
        if self.half_closed:
            raise Unwanted
        if not self.readable:
            return None
        try:
            return self.sock.recv(self.read_size)
        except BlockingIOError:
            self.readable = False
            return None
        except OSError as fault:
            self.ended = True
            raise Broken(str(fault)) from None

    def await_readable(self, until: float, unless: Unless = None) -> Coroutine[None]:
        """Waits until there may be bytes or an end to read. Raises Late and Unwanted.

        A peer that sends as fast as it is read must not hold up the event loop: a task that has used its time
        slice lets others run first. Bytes that are there when `until` comes are read, but only once.
        A half-closed connection is unwanted.
        """
        self.mine()
        if self.read_at >= until:
            raise Late
        if self.loop.slice_used():
            yield from self.loop.yield_turn()
            if unless is not None and unless():
                raise Unwanted
        while not self.readable:
            if self.half_closed:
                raise Unwanted
            yield from self.await_it(until, unless)
        self.read_at = self.loop.now()

    def await_bytes(self, until: float, unless: Unless = None) -> Coroutine[bytes]:
        """Waits for the next bytes, b"" at the end. Raises Broken, Late and Unwanted.

        Waits as `await_readable` does.
        """
        data = None
        while data is None:
            yield from self.await_readable(until, unless)
            data = self.receive()
        return data

    def send(self, data: bytes, until: float, unless: Unless = None) -> Coroutine[None]:
        """Returns once the last byte is written.

        `unless` is evaluated only before and after a wait; a write that never waits does not check it.

        Raises:
            Broken: The connection failed.
            Late: The time `until` has come.
            Unwanted: `unless` holds.
        """
        self.mine()
        view = memoryview(data)
        while view:
            if self.writable:
                view = view[self.send_some(view) :]
                continue
            yield from self.await_it(until, unless)
            # The socket may become writable together with what makes the rest unwanted.
            if unless is not None and unless():
                raise Unwanted

    def send_some(self, view: memoryview) -> int:
        """Returns the number of bytes that the kernel accepted, 0 if it accepts none now."""
        try:
            return self.sock.send(view)
        except BlockingIOError:
            self.writable = False
            return 0
        except OSError as fault:
            self.ended = True
            raise Broken(str(fault)) from None

    def rest(self, seconds: float) -> Coroutine[None]:
        """Waits for a moment; raises Broken if the peer ends the connection meanwhile."""
        self.mine()
        until = self.loop.now() + seconds
        while not self.ended and self.loop.now() < until:
            yield until
        if self.ended:
            raise Broken("the peer ended the connection right after it was established")

    def remain_idle(self, until: float, unless: Unless = None) -> Coroutine[None]:
        """Waits until a time, or until the connection ends or is closed here.

        Raises:
            Unwanted: `unless` holds.
        """
        self.mine()
        while self.loop.now() < until and not self.closed and not self.ended:
            if unless is not None and unless():
                raise Unwanted
            yield until

    def sound(self) -> bool:
        """Whether an idle connection can still be used: it has not ended, and no byte has arrived."""
        if self.closed or self.ended:
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            self.readable = False
            return True
        except OSError:
            pass
        return False

    def left(self) -> bool:
        """Whether the peer has ended the connection, as the kernel knows it now.

        The loop reports events one round later, which is late where the processor is busy. An end is detected
        behind unread bytes too, such as pipelined requests or the rest of a body. A FIN that the peer cannot
        send yet because the receive buffer is full is not detected, but a reset is.

        A half-close (`shutdown(SHUT_WR)`) counts as an end: on the wire it is the same FIN as that of
        `close()`, and only a write that is answered by a reset would distinguish them.
        """
        if self.closed:
            return True
        if not self.ended:
            try:
                unread = self.sock.recv(1, socket.MSG_PEEK)
                self.ended = not unread or self.end_behind_unread()
            except BlockingIOError:
                self.readable = False
            except OSError:
                self.ended = True
        return self.ended

    def end_behind_unread(self) -> bool:
        """Whether a FIN or a reset has arrived, even behind unread bytes."""
        poll = select.poll()
        poll.register(self.sock, POLL_END_EVENTS)
        return bool(poll.poll(0))

    def pending(self) -> bool:
        """Whether there are unread bytes."""
        try:
            return not self.closed and self.sock.recv(1, socket.MSG_PEEK) != b""
        except OSError:
            return False

    def unread(self) -> int:
        """Returns the number of bytes that wait in the kernel to be read."""
        count = array.array("i", [0])
        with contextlib.suppress(OSError):
            fcntl.ioctl(self.sock, termios.FIONREAD, count)
        return count[0]

    def end_sending(self) -> None:
        """Sends a FIN."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def half_close(self) -> None:
        """Ends the sending side and reads nothing more.

        A close over unread bytes would be a reset. This way the peer receives all that was written and then
        the end. A request that crosses the FIN is left unread, so that its client may send it again.
        """
        if not self.closed:
            self.half_closed = True
            self.end_sending()
            self.wake()

    def await_end(self, until: float) -> Coroutine[None]:
        """Waits, without reading, until the peer ends the connection too or it is closed here."""
        self.mine()
        while not self.ended and not self.closed and self.loop.now() < until:
            yield until

    def close(self) -> None:
        """Closes the connection; coroutines that wait for it are not woken."""
        if not self.closed:
            self.closed = True
            self.wake = lambda: None
            self.loop.unwatch(self.sock.fileno(), self.urgent)
            self.sock.close()


def open_socket(loop: Loop, address: Address) -> socket.socket:
    """Opens a socket; where no descriptor is left, the loop closes another connection to make room.

    Raises:
        LocalFailure: The system has none now.
        OutOfSockets: None could be closed, or that was not enough.
    """
    try:
        return socket.socket(family(address), socket.SOCK_STREAM)
    except OSError as fault:
        if fault.errno not in OUT_OF_RESOURCES or not loop.make_room():
            raise shortage(fault) from None
    try:
        return socket.socket(family(address), socket.SOCK_STREAM)
    except OSError as fault:
        raise shortage(fault) from None


def shortage(fault: OSError) -> OutOfSockets:
    """Returns what a failure to open a socket means: a shortage of the system passes soon."""
    if fault.errno in OUT_OF_RESOURCES and fault.errno != errno.EMFILE:
        return LocalFailure(fault.errno)
    return OutOfSockets(str(fault))


def open_connection(loop: Loop, address: Address) -> Connection:
    """Starts to connect; the caller waits with `establish`. Raises Broken, LocalFailure and OutOfSockets."""
    sock = open_socket(loop, address)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        error = sock.connect_ex(address)
    except OSError as fault:
        sock.close()
        raise Broken(str(fault)) from None
    if error in LOCAL_FAILURES or error in NO_ROUTE:
        sock.close()
        raise LocalFailure(error)
    if error not in (0, errno.EINPROGRESS):
        sock.close()
        raise Broken(errno.errorcode.get(error, str(error)))
    return Connection(loop, sock, connected=False)


class Listener:
    """A listening socket that passes on every connection as it arrives."""

    BACKLOG = 1024  # connections that wait in the kernel
    MAX_BATCH = 32  # connections accepted per round: existing ones must not wait for a flood to end
    RETRY_DELAY = 0.02  # seconds until accepting is retried where nothing could be accepted
    SO_ATTACH_REUSEPORT_CBPF = 51  # not defined by the socket module
    SELECT_SECOND = struct.pack("=HBBI", 0x06, 0, 0, 1)  # a BPF program of one instruction: return 1

    def __init__(
        self,
        loop: Loop,
        address: Address,
        accepted: Callable[[Connection], bool | None],
        make_room: Callable[[], bool],
        urgent: bool = False,
        shared: bool = False,
    ) -> None:
        """Binds the socket, and listens unless `shared`.

        `accepted` receives each connection. If it returns False, the connection is offered again until it is
        taken, and no other is accepted. `make_room` closes another connection when no descriptor is left.

        `shared`: another process of the same user may listen on the address too; `listen` must be called.

        Raises:
            OSError: The address cannot be listened on; the message names it.
        """
        self.loop, self.accepted, self.make_room, self.urgent = loop, accepted, make_room, urgent
        self.closed, self.open = False, False
        self.offered: Connection | None = None  # accepted from the kernel, not yet taken
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
        """Starts to listen."""
        self.sock.listen(self.BACKLOG)
        self.open = True
        self.loop.watch(self.sock.fileno(), self, self.urgent)

    def lead_here(self) -> bool:
        """Steers all new connections to the second of two processes that listen on the address.

        The queue of the first is then empty when it closes, and no connection is lost with it. With one
        process left the program's result names no socket, and the kernel chooses by itself again. Returns
        False where the kernel does not support this.
        """
        program = array.array("B", self.SELECT_SECOND)
        filter_option = struct.pack("@HP", 1, program.buffer_info()[0])
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, self.SO_ATTACH_REUSEPORT_CBPF, filter_option)
        except OSError:
            return False
        return True

    @property
    def address(self) -> Address:
        """The bound address, with the port that the kernel assigned for 0."""
        host, port = self.sock.getsockname()[:2]
        return host, port

    def on_events(self, events: int) -> None:
        """Accepts connections, unless that is already scheduled."""
        if not self.retry_pending:
            self.accept_some()

    def accept_some(self) -> None:
        """Accepts one batch and schedules the next where needed."""
        delay: float | None = self.RETRY_DELAY
        try:
            delay = self.accept_batch()
        finally:  # also after an error, as epoll does not report the other connections again
            if delay is not None:
                self.retry_in(delay)

    def accept_batch(self) -> float | None:
        """Accepts up to MAX_BATCH connections.

        Returns the seconds until the next batch, None where epoll reports the next connection.
        """
        taken = 0
        for _ in range(self.MAX_BATCH):
            if self.closed or not self.open:
                return None
            if self.offered is None:
                try:
                    sock, _ = self.sock.accept()
                except BlockingIOError:
                    return None
                except OSError as fault:
                    if fault.errno in OUT_OF_RESOURCES and not self.make_room():
                        break
                    continue
                self.offered = self.connection(sock)
            if self.offered is not None:
                if not self.offer(self.offered):
                    break
                taken += 1
        return 0.0 if taken else self.RETRY_DELAY

    def offer(self, connection: Connection) -> bool:
        """Offers a connection; returns whether it was taken, otherwise it stays in `offered`."""
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
        """Wraps an accepted socket; None where the kernel cannot set it up or watch it, and it was closed."""
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            return Connection(self.loop, sock, connected=True, urgent=self.urgent)
        except OSError:
            sock.close()
            return None

    def retry_in(self, delay: float) -> None:
        """Schedules a retry unless one is pending, so that new connections do not each start a series."""
        if not self.retry_pending:
            self.retry_pending = True
            self.loop.spawn(self.retry(delay), urgent=self.urgent)

    def retry(self, delay: float) -> Coroutine[None]:
        """Accepts another batch after a delay in seconds."""
        retry_at = self.loop.now() + delay
        while self.loop.now() < retry_at:
            yield retry_at
        self.retry_pending = False
        self.accept_some()

    def close(self) -> None:
        """Accepts what waits in the kernel's queue, then closes."""
        for _ in range(self.BACKLOG // self.MAX_BATCH):
            self.accept_some()
        if not self.closed:
            self.closed = True
            if self.offered is not None:
                self.offered.close()
            if self.open:
                self.loop.unwatch(self.sock.fileno(), self.urgent)
            self.sock.close()
