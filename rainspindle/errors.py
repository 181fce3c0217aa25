"""What can go wrong that a person meets: each kind has a type, and says what its reader can do."""

from __future__ import annotations


class Trouble(Exception):
    """`str()` says what is wrong, `remedy` in one sentence what an operator can do about it.

    A subclass gives the remedy for all of its kind; one raise may give a closer one.

    >>> Trouble("the disk is full", "make room").line()
    'the disk is full; make room'
    """

    remedy = "look up the message in docs/on-call.md"

    def __init__(self, what: str, remedy: str | None = None) -> None:
        super().__init__(what)
        if remedy is not None:
            self.remedy = remedy

    def line(self) -> str:
        """Both, as the command line shows it: where several things are wrong, each has a line, and the remedy
        ends the last."""
        return f"{self}; {self.remedy}"

    def fields(self) -> dict[str, object]:
        """Both, as a log line shows it."""
        return {"why": self, "remedy": self.remedy}
