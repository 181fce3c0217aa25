"""The endpoints that this sidecar knows, from the endpoint list and from operators' commands."""

from __future__ import annotations

from ..lazy_dataclasses import replace
from .endpoint import EndpointState
from .host import BalancerHost, EndpointListUpdate, EndpointStatus, ListedEndpoint


class EndpointRegistry:
    """Owns the endpoints, their latest list entries, and which of them operators have disabled.

    Attributes:
        by_id: All known endpoints by name; replaced by a new dictionary at each change.
        ready: The endpoints that may get requests, sorted by name.
        disabled: The last list entry of each disabled endpoint, by name; None if the list lacks it.
        active: The endpoints whose history sweeps have to age, in the order of their first attempts.
    """

    def __init__(self, host: BalancerHost, queue_share: float) -> None:
        """Starts empty; `queue_share` is the queued requests that this sidecar may cause at an endpoint."""
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
        """Reverses `disable`, discarding what was learned; returns the endpoint, or None if it is not listed.

        The caller must refresh what depends on the ready endpoints.
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
        """Includes the endpoint in the sweeps from now on."""
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
        """Drops endpoints that are gone and collects the ready ones again; returns whether those changed.

        Without this the registry would grow without bound, as new endpoints have new names. An endpoint with
        attempts in flight stays until they end.
        """
        self.by_id = {
            endpoint.id: endpoint
            for endpoint in self.by_id.values()
            if endpoint.in_flight or endpoint.listed.status is not EndpointStatus.GONE
        }
        self.active = dict.fromkeys(active for active in self.active if active.id in self.by_id)
        ready = [
            endpoint
            for _, endpoint in sorted(self.by_id.items())
            if endpoint.listed.status is EndpointStatus.READY
        ]
        changed = ready != self.ready
        self.ready = ready
        return changed
