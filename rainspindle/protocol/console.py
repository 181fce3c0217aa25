"""The operators' calls at the second address, and the responses to them. No I/O."""

from __future__ import annotations

import contextlib
import re
from collections.abc import Mapping
from enum import Enum

import h11
import orjson

from ..lazy_dataclasses import dataclass, field
from . import plain

MAX_HEAD, MOST_BODY = 4096, 4096
ENDPOINT = re.compile(r"/-/endpoints/([^/]+)/(disable|enable)")
LONGEST_ID = 256
FLEET = ("members", "wallets", "canaries", "evidence", "list", "keep")
MAX_QUERY_FIELDS = 8  # fields in the query of a call
FLEET_DOCS = "docs/operators/ describes the parameters of the calls"


class Act(Enum):
    """What a call asks for; the value is the last segment of its path."""

    READY = "ready"
    DISABLE = "disable"
    ENABLE = "enable"
    DRAIN = "drain"
    RESUME = "resume"


@dataclass(frozen=True, slots=True)
class Order:
    """A valid call about this sidecar; `endpoint` is empty if it concerns the sidecar itself."""

    act: Act
    endpoint: str = ""


@dataclass(frozen=True, slots=True)
class FleetCall:
    """A valid call about the fleet, with the segments of its path after `/-/`. The response is JSON."""

    method: str
    path: tuple[str, ...]
    query: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class No:
    """The refusal of a call."""

    status: int
    reason: str
    allow: str = ""
    remedy: str = "docs/on-call.md lists the calls"


PATHS = {"/-/ready": (Act.READY, "GET"), "/-/drain": (Act.DRAIN, "POST"), "/-/resume": (Act.RESUME, "POST")}


class ConsoleSide:
    """The server side of one connection, which carries one call."""

    def __init__(self) -> None:
        self.connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD)
        self.request: h11.Request | None = None
        self.body_size = 0

    def receive(self, data: bytes) -> Order | FleetCall | No | None:
        """Takes received bytes, b"" for the end of the stream; returns None until the call is complete."""
        with contextlib.suppress(RuntimeError):  # bytes after the end: the next event reports the fault
            self.connection.receive_data(data)
        try:
            while True:
                event = self.connection.next_event()
                if event is h11.NEED_DATA:
                    if self.connection.they_are_waiting_for_100_continue:
                        return No(
                            417,
                            "Expect: 100-continue is not supported",
                            remedy="send the body at once, without an Expect header",
                        )
                    return None
                if isinstance(event, h11.Request):
                    self.request = event
                elif isinstance(event, h11.Data):
                    self.body_size += len(event.data)
                    if self.body_size > MOST_BODY:
                        return No(413, f"the body is longer than {MOST_BODY} bytes", remedy="send no body")
                elif isinstance(event, h11.EndOfMessage):
                    assert self.request is not None
                    return decode(self.request)
                else:
                    return No(
                        400, "the connection ended before the call was complete", remedy="repeat the call"
                    )
        except h11.RemoteProtocolError as error:
            return No(error.error_status_hint, str(error))

    def answer(
        self, status: int, text: str, allow: str = "", kind: bytes = b"text/plain; charset=utf-8"
    ) -> bytes:
        """Returns the bytes of a response, after which the connection is closed."""
        body = text.encode() + b"\n"
        headers = [(b"Content-Type", kind), (b"Content-Length", b"%d" % len(body)), (b"Connection", b"close")]
        if allow:
            headers.append((b"Allow", allow.encode()))
        is_head = self.request is not None and self.request.method == b"HEAD"
        return plain.encode(plain.status_line(status), headers, b"" if is_head else body)

    def refuse(self, refusal: No) -> bytes:
        """Returns the bytes of the response that refuses a call, as JSON if the call is about the fleet."""
        if self.request is not None and is_fleet(self.request.target.decode("latin-1")):
            text = orjson.dumps({"error": refusal.reason, "remedy": refusal.remedy}).decode()
            return self.answer(refusal.status, text, refusal.allow, b"application/json")
        return self.answer(refusal.status, f"{refusal.reason}; {refusal.remedy}", refusal.allow)


def is_fleet(path: str) -> bool:
    """Returns whether the path is of a call about the fleet, which is answered in JSON."""
    return path.startswith("/-/") and path.partition("?")[0].split("/")[2] in FLEET


def decode(request: h11.Request) -> Order | FleetCall | No:
    """Decodes a call, or returns why it is refused."""
    path, _, query = request.target.decode("latin-1").partition("?")
    method = request.method.decode("latin-1")
    if is_fleet(path):
        return decode_fleet(method, path, query)
    call = PATHS.get(path)
    endpoint = ENDPOINT.fullmatch(path)
    if endpoint is not None:
        from urllib.parse import unquote  # imported here to keep the start fast

        try:
            endpoint_id = unquote(endpoint[1], errors="strict")
        except UnicodeDecodeError:
            return No(404, "no such endpoint", remedy="check its id for a typing error")
        if len(endpoint_id) > LONGEST_ID:
            return No(404, "no such endpoint", remedy="check its id for a typing error")
        call = Act(endpoint[2]), "POST"
    if call is None:
        return No(404, "no such call")
    act, required = call
    allowed = ("GET", "HEAD") if required == "GET" else (required,)
    if method not in allowed:
        return No(405, f"{path} wants {required}", ", ".join(allowed), f"call with {required}")
    return Order(act, endpoint_id if endpoint is not None else "")


def decode_fleet(method: str, path: str, query: str) -> FleetCall | No:
    """Decodes a call about the fleet, or returns why it is refused."""
    from urllib.parse import parse_qsl, unquote  # imported here to keep the start fast

    try:
        parts = tuple(unquote(part, errors="strict") for part in path.split("/")[2:])
        fields = parse_qsl(query, keep_blank_values=True, errors="strict", max_num_fields=MAX_QUERY_FIELDS)
    except ValueError:
        return No(
            400,
            f"path or query is not UTF-8, or the query has more than {MAX_QUERY_FIELDS} fields",
            remedy=FLEET_DOCS,
        )
    if any(len(text) > LONGEST_ID for text in (*parts, *(item for pair in fields for item in pair))):
        return No(400, f"a name or value is longer than {LONGEST_ID} characters", remedy=FLEET_DOCS)
    if len(dict(fields)) != len(fields):
        return No(400, "a field of the query is there twice", remedy="leave one of them out")
    return FleetCall(method, parts, dict(fields))
