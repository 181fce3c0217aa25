"""The endpoints that this sidecar knows: as the list names them, and as operators disabled them."""

from __future__ import annotations

from ..lazy_dataclasses import replace
from .endpoint import EndpointState
from .host import BalancerHost, EndpointListUpdate, EndpointStatus, ListedEndpoint


class EndpointRegistry:
    """Owns the endpoints, the list's latest word on them, and the operators' orders.

    Attributes:
        by_id: All known endpoints; replaced by another dictionary at each change.
        ready: Those that may get requests, by name.
        disabled: By the name of each disabled endpoint, its line as the list last told it, if any.
        active: Endpoints with a history that sweeps have to age, in the order of their first attempts.
    """

    def __init__(self, host: BalancerHost, queue_share: float) -> None:
        """`queue_share`: waiting requests that this sidecar alone may cause at an endpoint."""
        self.by_id = dict[str, EndpointState]()
        self.ready = list[EndpointState]()
        self.disabled = dict[str, ListedEndpoint | None]()
        self.active = dict[EndpointState, None]()
        self._host = host
        self._queue_share = queue_share

    def apply(self, now: float, update: EndpointListUpdate) -> bool:
        """Applies an update of the list; returns whether the ready endpoints changed."""
        for line in update.lines:
            self._apply_line(now, line)
        if update.complete:
            named = {line.id for line in update.lines}
            for endpoint in self.by_id.values():
                if endpoint.id not in named:
                    self._mark_gone(endpoint)
        return self._refresh()

    def disable(self, endpoint_id: str) -> bool:
        """Sends the endpoint nothing until `enable`; returns whether the ready endpoints changed."""
        endpoint = self.by_id.get(endpoint_id)
        if endpoint_id not in self.disabled:
            self.disabled[endpoint_id] = endpoint.listed if endpoint else None
            self._host.log(f"{endpoint_id} disabled by order")
        if endpoint is None:
            return False
        endpoint.listed = replace(endpoint.listed, status=EndpointStatus.DISABLED)
        return self._refresh()

    def enable(self, endpoint_id: str) -> EndpointState | None:
        """Ends `disable` with nothing learned kept; returns the endpoint if the list names it.

        The caller refreshes what depends on the ready endpoints.
        """
        line = self.disabled.pop(endpoint_id)
        endpoint = self.by_id.get(endpoint_id)
        if line is None or endpoint is None:
            endpoint = None
        else:
            endpoint.reset(line)
        self._refresh()
        return endpoint

    def mark_active(self, endpoint: EndpointState) -> None:
        """Has the endpoint swept from now on."""
        self.active[endpoint] = None

    def _apply_line(self, now: float, line: ListedEndpoint) -> None:
        if line.id in self.disabled:
            self.disabled[line.id] = line
            line = replace(line, status=EndpointStatus.DISABLED)
        known = self.by_id.get(line.id)
        if known is None:
            self.by_id[line.id] = EndpointState(line, self._queue_share)
        elif line.started_at and line.started_at != known.listed.started_at:
            known.reset(line)
            self._host.log(f"{line.id} restarted {now - line.started_at:.1f} s ago: warming up")
        else:
            known.listed = line

    def _mark_gone(self, endpoint: EndpointState) -> None:
        endpoint.listed = replace(endpoint.listed, status=EndpointStatus.GONE)
        if endpoint.id in self.disabled:
            self.disabled[endpoint.id] = None

    def _refresh(self) -> bool:
        """Drops what is gone and collects the ready endpoints anew.

        Guards against growth, as endpoint names are ever new. An endpoint with attempts in flight stays until
        they end.
        """
        self.by_id = {
            endpoint.id: endpoint
            for endpoint in self.by_id.values()
            if endpoint.in_flight or endpoint.listed.status is not EndpointStatus.GONE
        }
        self.active = dict.fromkeys(e for e in self.active if e.id in self.by_id)
        ready = [
            endpoint
            for _, endpoint in sorted(self.by_id.items())
            if endpoint.listed.status is EndpointStatus.READY
        ]
        changed = ready != self.ready
        self.ready = ready
        return changed
