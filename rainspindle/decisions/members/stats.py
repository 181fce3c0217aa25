"""Counters of membership since the start."""

from __future__ import annotations

from dataclasses import asdict, dataclass


@dataclass(slots=True)
class MembershipStats:
    """Counters since the start; the field names appear in the console and in the final log line.

    Attributes:
        sent: Datagrams sent.
        sent_bytes: Bytes sent.
        received: Datagrams received.
        received_bytes: Bytes received.
        unreadable: Datagrams that could not be decoded.
        other_release: Messages of a release that this one cannot read.
        other_fleet: Messages of another fleet.
        older_life: Messages and updates of an earlier incarnation.
        replayed: Messages received more than once, or too late to tell.
        strangers: Messages of unknown members for which no handshake was started because of a limit.
        full: Members rejected because the table was full.
        suspected: Suspicions recorded.
        refuted: Suspicions of this member that it refuted.
        buried: Members that this one declared dead after its own suspicion time-out.
        stops: Number of times the process was found to have been suspended.
        too_long: Datagrams composed that exceeded the maximum size.
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    unreadable: int = 0
    other_release: int = 0
    other_fleet: int = 0
    older_life: int = 0
    replayed: int = 0
    strangers: int = 0
    full: int = 0
    suspected: int = 0
    refuted: int = 0
    buried: int = 0
    stops: int = 0
    too_long: int = 0

    def drops(self) -> dict[str, int]:
        """Returns the numbers of dropped messages, updates and members by reason."""
        return {
            "unreadable": self.unreadable,
            "other_release": self.other_release,
            "other_fleet": self.other_fleet,
            "older_life": self.older_life,
            "replayed": self.replayed,
            "strangers": self.strangers,
            "full": self.full,
        }

    def nonzero(self) -> dict[str, int]:
        """Returns the counters that are not 0, by field name."""
        return {name: value for name, value in asdict(self).items() if value}
