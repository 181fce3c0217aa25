"""The state last published by the other sidecars: their attempts in flight and what they have learned."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection

from ..lazy_dataclasses import dataclass
from .host import KindEstimate, LearnedState


@dataclass(slots=True)
class LoadReport:
    """The attempts that one sidecar has in flight, by endpoint mark.

    Attributes:
        completed_at: The time at which its last complete report was received.
        in_flight: Its attempts, including the changes reported since.
    """

    completed_at: float
    in_flight: Counter[int]


@dataclass(frozen=True, slots=True)
class ReceivedState:
    """The learned state of one sidecar, and when it was received."""

    received_at: float
    state: LearnedState


class PeerLoad:
    """Sums the load published by the other sidecars.

    It shows load that no sidecar can see from its own requests. Misleading where reports are old.

    Attributes:
        in_flight: The attempts of all peers, by endpoint mark.
        total: The number of these attempts.
        reports: The last report of each peer.
        learned: The learned state of each peer.
    """

    REPORT_LIFETIME = 0.5  # seconds
    STATE_LIFETIME = 3.0  # seconds

    def __init__(self) -> None:
        self.in_flight = Counter[int]()
        self.total = 0
        self.reports = dict[str, LoadReport]()
        self.learned = dict[str, ReceivedState]()

    def on_load_report(
        self, now: float, peer: str, started: Collection[int], ended: Collection[int], complete: bool
    ) -> None:
        """Applies a report of changes at a peer, or of all attempts that it has in flight.

        Changes are ignored without a recent complete report, so that neither memory nor counts can grow
        without bound.
        """
        report = self.reports.get(peer)
        if complete:
            report = self._replace_report(now, peer, report)
        elif report is None or now - report.completed_at > self.REPORT_LIFETIME:
            return
        for counts in (self.in_flight, report.in_flight):
            counts.update(started)
            counts.subtract(ended)
        self.total += len(started) - len(ended)

    def on_learned_state(self, now: float, peer: str, state: LearnedState) -> None:
        """Replaces the learned state of a peer."""
        self.learned[peer] = ReceivedState(now, state)

    def on_peer_gone(self, now: float, peer: str) -> None:
        """Removes a peer that is known to be dead."""
        if peer in self.reports:
            self._drop_report(now, peer)
        self.learned.pop(peer, None)

    def sweep(self, now: float) -> None:
        """Removes reports and learned state that have expired."""
        for peer, report in list(self.reports.items()):
            if now - report.completed_at > self.REPORT_LIFETIME:
                self._drop_report(now, peer)
        self.learned = {
            peer: received
            for peer, received in self.learned.items()
            if now - received.received_at < self.STATE_LIFETIME
        }
        for counts in (self.in_flight, *(report.in_flight for report in self.reports.values())):
            for mark in [mark for mark, count in counts.items() if not count]:
                del counts[mark]

    def request_rates(self) -> list[tuple[float, ...]]:
        """Returns each peer's request rates by tenant."""
        return [received.state.request_rates for received in self.learned.values()]

    def kind_estimates(self) -> list[dict[int, KindEstimate]]:
        """Returns each peer's estimates by machine kind."""
        return [received.state.kinds for received in self.learned.values()]

    def _replace_report(self, now: float, peer: str, old: LoadReport | None) -> LoadReport:
        if old is not None:
            self.in_flight.subtract(old.in_flight)
            self.total -= old.in_flight.total()
        new = self.reports[peer] = LoadReport(now, Counter[int]())
        return new

    def _drop_report(self, now: float, peer: str) -> None:
        self.on_load_report(now, peer, (), (), complete=True)
        del self.reports[peer]
