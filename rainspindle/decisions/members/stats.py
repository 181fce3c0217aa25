"""Counters of membership since the start."""

from __future__ import annotations

from dataclasses import asdict, dataclass


@dataclass(slots=True)
class MembershipStats:
    """What happened since the start; the names are those of the console and of the log's last line.

    Attributes:
        sent: Datagrams sent.
        sent_bytes: Their bytes.
        received: Datagrams received.
        received_bytes: Their bytes.
        unreadable: Datagrams that were no message.
        other_release: Messages of a release that cannot be read.
        other_fleet: Messages of another fleet.
        older_life: Messages of an earlier incarnation.
        replayed: Messages that came twice.
        strangers: Messages of members not known yet that were not greeted.
        full: Members that there was no room for.
        suspected: Suspicions.
        refuted: Suspicions of this member that it refuted.
        buried: Members that this one declared dead by its own judgement.
        stops: Times that the process was stopped.
        too_long: Datagrams that were longer than allowed.
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
        """Returns what was not taken in, by reason."""
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
        """Returns the counters that are not 0."""
        return {name: value for name, value in asdict(self).items() if value}
