"""The base class of errors that are shown to an operator, each with a remedy."""

from __future__ import annotations


class Trouble(Exception):
    """An error for an operator: `str()` says what is wrong, `remedy` in one sentence what to do about it.

    A subclass defines the remedy for all of its errors; a single raise may pass a more specific one.

    >>> Trouble("the disk is full", "make room").line()
    'the disk is full; make room'
    """

    remedy = "look up the message in docs/on-call.md"

    def __init__(self, what: str, remedy: str | None = None) -> None:
        super().__init__(what)
        if remedy is not None:
            self.remedy = remedy

    def line(self) -> str:
        """Returns message and remedy as the command line prints them.

        A message about several faults has one line for each; the remedy ends the last line.
        """
        return f"{self}; {self.remedy}"

    def fields(self) -> dict[str, object]:
        """Returns message and remedy as the fields of a log line."""
        return {"why": self, "remedy": self.remedy}
