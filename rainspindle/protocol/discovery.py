"""Discovery's messages: the watch asked for, and the changes it tells."""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from typing import Any

import orjson

from ..balancer.host import EndpointStatus, ListedEndpoint
from ..lazy_dataclasses import dataclass
from ..transport.address import Address, parse_address
from .client import Call, Unreadable

MOST_LIST = 4 * 1024 * 1024
STATES = {
    "SERVING": EndpointStatus.READY,
    "DRAINING": EndpointStatus.DRAINING,
    "DELETED": EndpointStatus.GONE,
}


@dataclass(frozen=True, slots=True)
class ListChange:
    """What discovery told: changed lines, or the whole list."""

    version: int
    whole: bool
    lines: tuple[ListedEndpoint, ...]
    addresses: dict[str, Address]


class ListDecoder:
    def __init__(self, zones: Sequence[str], clock_offset: float, kinds: Sequence[str] = ()) -> None:
        """`clock_offset` is what is added to Unix time to give the sidecar's own; it never changes, or
        every start time would look like a new start."""
        self.kinds = {name: n for n, name in enumerate(kinds)}
        self.zones, self.clock_offset = {name: n for n, name in enumerate(zones)}, clock_offset

    def decode(self, message: Any) -> ListChange:
        try:
            entries = message["instances"]
            return ListChange(
                int(message["generation"]),
                bool(message["reset"]),
                tuple(self.line(e) for e in entries),
                {e["instanceId"]: parse_address(e["hostPort"]) for e in entries if e.get("hostPort")},
            )
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as fault:
            raise Unreadable(f"not a list: {type(fault).__name__} {fault}") from None

    def zone(self, name: str) -> int:
        """Its number in the settings. One that they do not name has a number below 0, alike at all sidecars.

        Guards against two such zones that count as one: a repeat would go to where it is not dropped."""
        return self.zones.get(name, -1 - zlib.crc32(name.encode()))

    def line(self, e: dict[str, Any]) -> ListedEndpoint:
        weight, started = e.get("weight"), e.get("startedAtMs")
        return ListedEndpoint(
            str(e["instanceId"]),
            int(e.get("cell") or 0),
            self.zone(e.get("zone") or ""),
            1.0 if weight is None else float(weight),
            STATES[e["lifecycle"]],
            started / 1000 + self.clock_offset if started else None,
            self.kinds.get(e.get("machineType") or "", len(self.kinds)),
        )


class DiscoverySide:
    """One call to discovery."""

    def __init__(self, decoder: ListDecoder) -> None:
        self.decoder, self.call = decoder, Call(MOST_LIST)

    def whole(self, host: bytes) -> bytes:
        return self.call.request(b"GET", b"/v1/endpoints", [(b"Host", host)], b"")

    def watch(self, host: bytes, version: int, wait: float) -> bytes:
        target = f"/v1/endpoints?index={version}&wait={int(wait * 1000)}".encode()
        return self.call.request(b"GET", target, [(b"Host", host)], b"")

    def receive(self, data: bytes) -> tuple[ListChange, bool] | None:
        """The change once it is whole, and whether the connection can be used again. Raises Unreadable."""
        reply = self.call.receive(data)
        if reply is None:
            return None
        if reply.status != 200:
            raise Unreadable(f"status {reply.status}")
        try:
            message = orjson.loads(reply.body)
        except orjson.JSONDecodeError as fault:
            raise Unreadable(f"not JSON: {fault}") from None
        return self.decoder.decode(message), reply.reusable
