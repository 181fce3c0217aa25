"""The two ends of a benchmark, as cheap as they can be: an endpoint that does no work, and a driver.

fast.py echo                        prints its port; answers every exchange at once
fast.py drive PORT CONNECTIONS SECONDS RATE
                                    RATE 0: each connection asks again as soon as it has its answer
fast.py hold PORT CONNECTIONS       opens them, asks once on each, keeps them until standard input ends
"""

from __future__ import annotations

import gc
import json
import select
import socket
import sys
import time
from collections import deque

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
END = b"\r\n\r\nok"


def ask(n: int) -> bytes:
    return (
        b"GET /bench HTTP/1.1\r\nHost: bench\r\nX-Request-ID: %d\r\nX-Priority-Class: look\r\n"
        b"Cookie: user=k%d\r\nX-Timeout-Ms: 2000\r\n\r\n" % (n, n % 500)
    )


def echo() -> None:
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    listener.setblocking(False)
    print(listener.getsockname()[1], flush=True)
    epoll = select.epoll()
    epoll.register(listener.fileno(), select.EPOLLIN)
    epoll.register(0, select.EPOLLIN)
    socks: dict[int, socket.socket] = {}
    while True:
        for fd, _ in epoll.poll():
            if fd == 0:
                return
            if fd == listener.fileno():
                sock, _ = listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                socks[sock.fileno()] = sock
                epoll.register(sock.fileno(), select.EPOLLIN)
                continue
            try:
                data = socks[fd].recv(65536)
            except OSError:
                data = b""
            if not data:
                epoll.unregister(fd)
                socks.pop(fd).close()
            elif not data.startswith(b"GET /v1/"):  # a watch of the list is held: there is nothing new
                socks[fd].send(ANSWER * data.count(b"\r\n\r\n"))


def connected(port: int, count: int) -> list[socket.socket]:
    socks = []
    for _ in range(count):
        sock = socket.create_connection(("127.0.0.1", port), 5.0)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        socks.append(sock)
    return socks


def drive(port: int, count: int, seconds: float, rate: float) -> None:
    free = deque(connected(port, count))  # the longest idle first: a sidecar ends those that ask nothing
    epoll = select.epoll()
    by_fd = {sock.fileno(): sock for sock in free}
    for fd in by_fd:
        epoll.register(fd, select.EPOLLIN)
    due: dict[int, float] = {}
    got: dict[int, bytes] = {}
    times: list[float] = []
    late: list[float] = []
    failed = sent = 0
    gc.disable()
    start = time.perf_counter()
    while (now := time.perf_counter()) < start + seconds or due:
        while free and now < start + seconds:
            at = start + sent / rate if rate else now
            if at > now:
                break
            sock = free.popleft()
            due[sock.fileno()], got[sock.fileno()] = at, b""
            late.append(now - at)
            sent += 1
            sock.send(ask(sent))
        wait = max(0.0, start + sent / rate - time.perf_counter()) if rate and free else 0.05
        for fd, _ in epoll.poll(wait):
            came = by_fd[fd].recv(65536)
            if not came:
                sys.exit("the other side ended a connection")
            data = got[fd] + came
            if not data.endswith(b"\r\n\r\n") and not data.endswith(END):
                got[fd] = data
                continue
            failed += not data.endswith(END)
            times.append(time.perf_counter() - due.pop(fd))
            free.append(by_fd[fd])
    spent = time.perf_counter() - start
    times.sort()
    late.sort()
    n = len(times)
    print(
        json.dumps(
            {
                "per_s": n / spent,
                "failed": failed,
                "count": n,
                "p50_us": 1e6 * times[n // 2],
                "p99_us": 1e6 * times[int(n * 0.99)],
                "late_p99_us": 1e6 * late[int(n * 0.99)],
            }
        ),
        flush=True,
    )


def hold(port: int, count: int) -> None:
    socks = connected(port, count)
    for sock in socks:
        sock.send(b"GET /ready HTTP/1.1\r\nHost: bench\r\n\r\n")
        sock.recv(4096)
    print("held", flush=True)
    sys.stdin.read()


if __name__ == "__main__":
    role, figures = sys.argv[1], [float(a) for a in sys.argv[2:]]
    if role == "echo":
        echo()
    elif role == "drive":
        drive(int(figures[0]), int(figures[1]), figures[2], figures[3])
    else:
        hold(int(figures[0]), int(figures[1]))
