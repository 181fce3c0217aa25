"""A fast path for plain HTTP messages, parsed and encoded without a state machine.

Nearly all messages are plain: received at once and complete, of one stated length, and without headers that
change how the connection continues. All others are left to h11, and only h11 ever declares a message invalid.
"""

from __future__ import annotations

import re
from collections.abc import Iterable

Headers = tuple[tuple[bytes, bytes], ...]

FIELDS = rb"((?:[!#$%&'*+\-.^_`|~0-9A-Za-z]++:[^\x00-\x08\x0a-\x1f\x7f]*+\r\n)*+)\r\n"
REQUEST = re.compile(rb"(GET|POST) ([\x21-\x7e]+) HTTP/1\.1\r\n" + FIELDS)
ANSWER = re.compile(rb"HTTP/1\.1 ([2-5][0-9][0-9])(?: [^\x00-\x1f\x7f]*)?\r\n" + FIELDS)
NOT_PLAIN = (b"transfer-encoding", b"expect", b"upgrade")
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}


def request(data: bytes, most_head: int, most_body: int) -> tuple[bytes, bytes, Headers, bytes] | None:
    """Returns method, target, headers and body of a plain request, None if it is not plain."""
    head = REQUEST.match(data)
    if head is None or head.end() > most_head:
        return None
    headers = fields(head[3])
    names = [name for name, _ in headers]
    body = data[head.end() :]
    if names.count(b"host") != 1 or not whole(headers, names, len(body), most_body, bodiless=True):
        return None
    return head[1], head[2], headers, body


def answer(data: bytes, most_head: int, most_body: int) -> tuple[int, Headers, bytes] | None:
    """Returns status, headers and body of a plain answer, None if it is not plain."""
    head = ANSWER.match(data)
    if head is None or head.end() > most_head or head[1] in (b"204", b"304"):
        return None
    headers = fields(head[2])
    names = [name for name, _ in headers]
    body = data[head.end() :]
    if not whole(headers, names, len(body), most_body, bodiless=False):
        return None
    return int(head[1]), headers, body


def fields(block: bytes) -> Headers:
    """Parses header lines, with the names in lower case."""
    found = []
    for line in block.split(b"\r\n")[:-1]:
        name, _, value = line.partition(b":")
        found.append((name.lower(), value.strip(b" \t")))
    return tuple(found)


def whole(headers: Headers, names: list[bytes], length: int, most: int, bodiless: bool) -> bool:
    """Whether the received body is exactly the one that the headers announce."""
    if any(name in names for name in NOT_PLAIN) or (
        b"connection" in names and (b"connection", b"keep-alive") not in headers
    ):
        return False
    if b"content-length" not in names:
        return bodiless and length == 0
    stated = headers[names.index(b"content-length")][1]
    return names.count(b"content-length") == 1 and length <= most and stated == b"%d" % length


def encode(first: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes) -> bytes:
    """Encodes a message; the headers were parsed before, so none contains a line break."""
    return b"".join((first, b"\r\n", *(b"%b: %b\r\n" % header for header in headers), b"\r\n", body))


def status_line(status: int) -> bytes:
    """Encodes the first line of an answer."""
    return b"HTTP/1.1 %d %b" % (status, REASONS.get(status, b""))
