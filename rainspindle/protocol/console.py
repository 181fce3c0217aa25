"""The calls of the second address: what staff ask, and the answers. No I/O."""

from __future__ import annotations

import contextlib
import re
from collections.abc import Mapping
from enum import Enum

import h11
import orjson

from ..lazy_dataclasses import dataclass, field
from . import plain

MOST_HEAD, MOST_BODY = 4096, 4096
ENDPOINT = re.compile(r"/-/endpoints/([^/]+)/(disable|enable)")
LONGEST_ID = 256
FLEET = ("members", "wallets", "canaries", "evidence", "list", "keep")
MOST_FIELDS = 8  # of a query
FLEET_PAGES = "docs/operators/ tells what the calls take"


class Act(Enum):
    READY = "ready"
    DISABLE = "disable"
    ENABLE = "enable"
    DRAIN = "drain"
    RESUME = "resume"


@dataclass(frozen=True, slots=True)
class Order:
    """One call that is understood."""

    act: Act
    endpoint: str = ""


@dataclass(frozen=True, slots=True)
class FleetCall:
    """A call about what the sidecars share, by the parts of its path after `/-/`. The answer is JSON."""

    method: str
    path: tuple[str, ...]
    query: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class No:
    """One that is not, or that is refused."""

    status: int
    reason: str
    allow: str = ""
    remedy: str = "docs/on-call.md lists the calls"


PATHS = {"/-/ready": (Act.READY, "GET"), "/-/drain": (Act.DRAIN, "POST"), "/-/resume": (Act.RESUME, "POST")}


class ConsoleSide:
    """One connection, which carries one call."""

    def __init__(self) -> None:
        self.connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        self.request: h11.Request | None = None
        self.got = 0

    def receive(self, data: bytes) -> Order | FleetCall | No | None:
        """Takes what has come, b"" for the end; None while more must come."""
        with contextlib.suppress(RuntimeError):  # bytes after the end: the next event says what is wrong
            self.connection.receive_data(data)
        try:
            while True:
                event = self.connection.next_event()
                if event is h11.NEED_DATA:
                    if self.connection.they_are_waiting_for_100_continue:
                        return No(417, "the body must come at once", remedy="send no Expect header")
                    return None
                if isinstance(event, h11.Request):
                    self.request = event
                elif isinstance(event, h11.Data):
                    self.got += len(event.data)
                    if self.got > MOST_BODY:
                        return No(413, f"a body over {MOST_BODY} bytes", remedy="send none")
                elif isinstance(event, h11.EndOfMessage):
                    assert self.request is not None
                    return decode(self.request)
                else:
                    return No(400, "the call ended early", remedy="repeat it")
        except h11.RemoteProtocolError as fault:
            return No(fault.error_status_hint, str(fault))

    def answer(
        self, status: int, text: str, allow: str = "", kind: bytes = b"text/plain; charset=utf-8"
    ) -> bytes:
        body = text.encode() + b"\n"
        headers = [(b"Content-Type", kind), (b"Content-Length", b"%d" % len(body)), (b"Connection", b"close")]
        if allow:
            headers.append((b"Allow", allow.encode()))
        asked_head = self.request is not None and self.request.method == b"HEAD"
        return plain.encode(plain.status_line(status), headers, b"" if asked_head else body)

    def refuse(self, no: No) -> bytes:
        """What is wrong with the call, and what to do."""
        if self.request is not None and is_fleet(self.request.target.decode("latin-1")):
            text = orjson.dumps({"error": no.reason, "remedy": no.remedy}).decode()
            return self.answer(no.status, text, no.allow, b"application/json")
        return self.answer(no.status, f"{no.reason}; {no.remedy}", no.allow)


def is_fleet(path: str) -> bool:
    """Whether it is about what the sidecars share, so that the answer is JSON."""
    return path.startswith("/-/") and path.partition("?")[0].split("/")[2] in FLEET


def decode(request: h11.Request) -> Order | FleetCall | No:
    path, _, query = request.target.decode("latin-1").partition("?")
    method = request.method.decode("latin-1")
    if is_fleet(path):
        return decode_fleet(method, path, query)
    found = PATHS.get(path)
    endpoint = ENDPOINT.fullmatch(path)
    if endpoint is not None:
        from urllib.parse import unquote  # here, as a start need not pay for it

        try:
            id = unquote(endpoint[1], errors="strict")
        except UnicodeDecodeError:
            return No(404, "no such endpoint", remedy="look for a typing error in its id")
        if len(id) > LONGEST_ID:
            return No(404, "no such endpoint", remedy="look for a typing error in its id")
        found = Act(endpoint[2]), "POST"
    if found is None:
        return No(404, "no such call")
    act, wanted = found
    allowed = ("GET", "HEAD") if wanted == "GET" else (wanted,)
    if method not in allowed:
        return No(405, f"{path} wants {wanted}", ", ".join(allowed), f"call with {wanted}")
    return Order(act, id if endpoint is not None else "")


def decode_fleet(method: str, path: str, query: str) -> FleetCall | No:
    from urllib.parse import parse_qsl, unquote  # here, as a start need not pay for it

    try:
        parts = tuple(unquote(part, errors="strict") for part in path.split("/")[2:])
        fields = parse_qsl(query, keep_blank_values=True, errors="strict", max_num_fields=MOST_FIELDS)
    except ValueError:
        return No(
            400, f"a path or query that is not text, or of over {MOST_FIELDS} fields", remedy=FLEET_PAGES
        )
    if any(len(text) > LONGEST_ID for text in (*parts, *(t for pair in fields for t in pair))):
        return No(400, f"a name or value of over {LONGEST_ID} characters", remedy=FLEET_PAGES)
    if len(dict(fields)) != len(fields):
        return No(400, "a field of the query is there twice", remedy="leave one of them out")
    return FleetCall(method, parts, dict(fields))
