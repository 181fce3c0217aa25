"""The list service: what it says when, as a function of time alone."""

from __future__ import annotations

import bisect
import math
from dataclasses import dataclass

from ...balancer.host import EndpointStatus, ListedEndpoint


@dataclass(frozen=True, slots=True)
class Change:
    """A line as it reads from `at` on."""

    at: float
    line: ListedEndpoint


class Gate:
    """Calls that the service takes of all sidecars together: `rate` a second. What was not used adds up to
    SPAN's part, or one call."""

    SPAN = 0.1

    def __init__(self, rate: float) -> None:
        self.rate, self.most = rate, max(1.0, rate * self.SPAN)
        self.left, self.at = self.most, -math.inf

    def takes(self, now: float) -> bool:
        if not self.rate:
            return True
        self.left, self.at = min(self.most, self.left + self.rate * (now - self.at)), now
        taken = self.left >= 1.0
        self.left -= taken
        return taken


class Registry:
    """Versions count the changes that have become visible; `outages` are spans in which calls fail."""

    def __init__(
        self, lines: list[ListedEndpoint], changes: list[Change], outages: list[tuple[float, float]]
    ) -> None:
        self.first = {line.id: line for line in lines}
        self.changes = sorted(changes, key=lambda c: c.at)
        self.times = [c.at for c in self.changes]
        self.outages = outages

    def version(self, now: float) -> int:
        return 1 + bisect.bisect_right(self.times, now)

    def next_at(self, version: int) -> float | None:
        """When there is something newer than this version."""
        return self.times[version - 1] if 1 <= version <= len(self.times) else None

    def down(self, now: float) -> bool:
        return any(at <= now < until for at, until in self.outages)

    def next_outage(self, now: float) -> float | None:
        return min((at for at, _ in self.outages if at > now), default=None)

    def whole(self, version: int) -> list[ListedEndpoint]:
        lines = dict(self.first)
        for change in self.changes[: version - 1]:
            lines[change.line.id] = change.line
        return [line for line in lines.values() if line.status is not EndpointStatus.GONE]

    def since(self, version: int, now: float) -> list[ListedEndpoint]:
        """The lines that changed after this version, each as it reads now."""
        return list({c.line.id: c.line for c in self.changes[version - 1 : self.version(now) - 1]}.values())
