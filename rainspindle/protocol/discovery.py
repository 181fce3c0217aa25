"""Discovery's messages: the requested watch and the changes it returns."""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from typing import Any

import orjson

from ..balancer.host import EndpointStatus, ListedEndpoint
from ..lazy_dataclasses import dataclass
from ..transport.address import Address, parse_address
from .client import Call, Reply, Unreadable

MAX_LIST_BYTES = 4 * 1024 * 1024
STATUS_BY_LIFECYCLE = {
    "SERVING": EndpointStatus.READY,
    "DRAINING": EndpointStatus.DRAINING,
    "DELETED": EndpointStatus.GONE,
}


@dataclass(frozen=True, slots=True)
class ListChange:
    """An answer of discovery: the changed lines, or the whole list."""

    version: int
    whole: bool
    lines: tuple[ListedEndpoint, ...]
    addresses: dict[str, Address]


class ListDecoder:
    """Decodes discovery's answers."""

    def __init__(self, zones: Sequence[str], clock_offset: float, kinds: Sequence[str] = ()) -> None:
        """`clock_offset` is what is added to Unix time to give the sidecar's clock.

        It never changes, as every start time would look like a new start otherwise.
        """
        self.kinds = {name: n for n, name in enumerate(kinds)}
        self.zones, self.clock_offset = {name: n for n, name in enumerate(zones)}, clock_offset

    def decode(self, message: Any) -> ListChange:
        """Decodes an answer. Raises Unreadable."""
        try:
            entries = message["instances"]
            return ListChange(
                int(message["generation"]),
                bool(message["reset"]),
                tuple(self.line(entry) for entry in entries),
                {
                    entry["instanceId"]: parse_address(entry["hostPort"])
                    for entry in entries
                    if entry.get("hostPort")
                },
            )
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as fault:
            raise Unreadable(f"answer is no endpoint list: {type(fault).__name__} {fault}") from None

    def zone(self, name: str) -> int:
        """Returns the zone's number in the settings.

        A zone that the settings do not name gets a number below 0, the same at all sidecars. Guards against
        two such zones that count as one: a repeated request would then go to a zone in which it is not
        deduplicated.
        """
        return self.zones.get(name, -1 - zlib.crc32(name.encode()))

    def line(self, entry: dict[str, Any]) -> ListedEndpoint:
        """Decodes one endpoint."""
        weight, started = entry.get("weight"), entry.get("startedAtMs")
        return ListedEndpoint(
            str(entry["instanceId"]),
            int(entry.get("cell") or 0),
            self.zone(entry.get("zone") or ""),
            1.0 if weight is None else float(weight),
            STATUS_BY_LIFECYCLE[entry["lifecycle"]],
            started / 1000 + self.clock_offset if started else None,
            self.kinds.get(entry.get("machineType") or "", len(self.kinds)),
        )


class DiscoverySide:
    """One call to discovery."""

    def __init__(self, decoder: ListDecoder) -> None:
        self.decoder, self.call = decoder, Call(MAX_LIST_BYTES)

    def whole(self, host: bytes) -> bytes:
        """Returns the request for the whole list."""
        return self.call.request(b"GET", b"/v1/endpoints", [(b"Host", host)], b"")

    def watch(self, host: bytes, version: int, wait: float) -> bytes:
        """Returns the request for changes after a version; the service may wait `wait` seconds for one."""
        target = f"/v1/endpoints?index={version}&wait={int(wait * 1000)}".encode()
        return self.call.request(b"GET", target, [(b"Host", host)], b"")

    def receive(self, data: bytes) -> tuple[ListChange, bool] | None:
        """Returns the change once it has arrived completely, and whether the connection can be used again.

        Raises Unreadable.
        """
        return self.decode(self.call.receive(data))

    def resume(self) -> tuple[ListChange, bool] | None:
        """Decodes what `receive` left, as `receive` does."""
        return self.decode(self.call.resume())

    @property
    def undecoded(self) -> bool:
        """Whether `resume` must be called before more bytes are passed on."""
        return self.call.undecoded

    def decode(self, reply: Reply | None) -> tuple[ListChange, bool] | None:
        """Decodes a complete answer. Raises Unreadable."""
        if reply is None:
            return None
        if reply.status != 200:
            raise Unreadable(f"discovery answered with status {reply.status}; expected 200")
        try:
            message = orjson.loads(reply.body)
        except orjson.JSONDecodeError as fault:
            raise Unreadable(f"discovery's answer is no JSON: {fault}") from None
        return self.decoder.decode(message), reply.reusable
