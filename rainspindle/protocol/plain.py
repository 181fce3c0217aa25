"""Messages in their plain form, read and written without a state machine.

Nearly all are plain: whole in one piece, of one length, with nothing that changes how a connection goes on.
What is not is left to h11, by which alone a message is ever found bad.
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
    """Method, target, headers and body of a plain request."""
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
    """Status, headers and body of a plain answer."""
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
    found = []
    for line in block.split(b"\r\n")[:-1]:
        name, _, value = line.partition(b":")
        found.append((name.lower(), value.strip(b" \t")))
    return tuple(found)


def whole(headers: Headers, names: list[bytes], length: int, most: int, bodiless: bool) -> bool:
    """Whether just the body that the headers tell of is there."""
    if any(name in names for name in NOT_PLAIN) or (
        b"connection" in names and (b"connection", b"keep-alive") not in headers
    ):
        return False
    if b"content-length" not in names:
        return bodiless and length == 0
    said = headers[names.index(b"content-length")][1]
    return names.count(b"content-length") == 1 and length <= most and said == b"%d" % length


def encode(first: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes) -> bytes:
    """The headers have been read before, so none holds a line's end."""
    return b"".join((first, b"\r\n", *(b"%b: %b\r\n" % header for header in headers), b"\r\n", body))


def status_line(status: int) -> bytes:
    return b"HTTP/1.1 %d %b" % (status, REASONS.get(status, b""))
