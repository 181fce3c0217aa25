"""Discovery's messages: the requested watch and the changes it returns."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Sequence
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

    CLOCK_STEP = 0.5  # seconds by which the wall clock must differ from what it was to count as stepped

    def __init__(
        self,
        zones: Sequence[str],
        clock_offset: float,
        kinds: Sequence[str] = (),
        read_offset: Callable[[], float] | None = None,
    ) -> None:
        """`clock_offset` is what is added to Unix time to give the sidecar's clock.

        It changes only where the wall clock was stepped, as `read_offset` tells. The start of a known
        endpoint stays as it was decoded, as it would look like a new start otherwise.
        """
        self.kinds = {name: n for n, name in enumerate(kinds)}
        self.zones, self.clock_offset = {name: n for n, name in enumerate(zones)}, clock_offset
        self.read_offset = read_offset
        self.starts: dict[str, tuple[float, float]] = {}  # by endpoint: as listed, and on the sidecar's clock

    def decode(self, message: Any) -> ListChange:
        """Decodes an answer. Raises Unreadable."""
        try:
            entries = message["instances"]
            change = ListChange(
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
        self.forget_starts(change)
        return change

    def start(self, endpoint_id: str, listed: float) -> float:
        """Returns on the sidecar's clock when an endpoint started, `listed` in milliseconds of Unix time."""
        known = self.starts.get(endpoint_id)
        if known is None or known[0] != listed:
            known = self.starts[endpoint_id] = (listed, listed / 1000 + self.offset())
        return known[1]

    def offset(self) -> float:
        """Returns what is to be added to Unix time now."""
        offset = self.clock_offset if self.read_offset is None else self.read_offset()
        if abs(offset - self.clock_offset) > self.CLOCK_STEP:
            self.clock_offset = offset
        return self.clock_offset

    def forget_starts(self, change: ListChange) -> None:
        """Forgets the starts of endpoints that are gone."""
        if change.whole:
            listed = {line.id for line in change.lines}
            self.starts = {name: start for name, start in self.starts.items() if name in listed}
        for line in change.lines:
            if line.status is EndpointStatus.GONE:
                self.starts.pop(line.id, None)

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
            self.start(str(entry["instanceId"]), started) if started else None,
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
