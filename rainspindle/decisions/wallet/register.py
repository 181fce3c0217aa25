"""Which of a member's own cells of wallets nobody needs any more. No I/O, no clock.

A word serves two ends: rights find their way by it, and it shows a volume that was set back. When the use of
a wallet has ended the first is over. For the second one number does for all wallets of a member: that of its
folder's last batch, as a volume is set back whole. It is told in the very cell by which the others forget the
words (`Cells.sweep`), so there is no moment in which somebody has forgotten them and does not know it.

A batch that is written when all wallets are sure is numbered over the life, and one at least is before the
first sweep of a life. So what was on disk in any life before is under all that this one tells, also where the
folder was set back twice.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from ...errors import Trouble
from ...protocol.wallet import VERSION, Mark, claim, decode_mark, encode
from ..shared.registers import Register, RegisterStore, subject_of

ABOUT = "wallet"
SWEEP = 60.0  # seconds between two sweeps of one member, and to the first after its start, at most
MOST_CLAIMS = 150  # that fit in one cell; a home of more goes on telling a word of each


class TombstoneRegistry:
    """Of one member, in one life."""

    def __init__(self, cells: RegisterStore, now: float, found: int = 0, room: int = 1) -> None:
        """`found`: the number of the last batch that was in the folder when it was opened. `room`: batches
        between two lives that follow each other, where lives are no milliseconds."""
        self.cells, self.found, self.number, self.room = cells, found, found, room
        self.pace = SWEEP
        self.gone: set[str] = set()
        self.homes: dict[str, int] = {}  # wallets of which it tells no word, as their home; their claims
        self.due = math.inf
        self.swept_at = now
        self.old = 0  # the highest number that it told in an earlier life, as others know it

    def opened(self, found: int) -> None:
        self.found = self.number = max(found, self.number)

    def written(self, number: int) -> None:
        """This batch is on disk for certain."""
        self.number = max(self.number, number)

    # What is needed no more.

    def ended(self, names: Iterable[str]) -> None:
        own = self.cells.by_owner.get(self.cells.own_name, {})
        self.gone.update(name for name in names if name in own)
        self.plan()

    def told(self, name: str) -> None:
        """It is needed again."""
        self.gone.discard(name)

    def silence(self, wallet: str, books: str) -> bool:
        """The home of a wallet has no word to tell of it; whether there is room for its claim."""
        if len(self.homes) >= MOST_CLAIMS:
            return False
        self.homes[wallet] = claim(wallet, books)
        self.plan()
        return True

    def speaks(self, wallet: str) -> None:
        self.homes.pop(wallet, None)  # what was claimed is no less true now

    def plan(self) -> None:
        self.due = min(self.due, self.swept_at + self.pace)

    @property
    def over(self) -> int:
        """What a batch is numbered over while all wallets are sure."""
        return self.cells.incarnation * self.room

    @property
    def ready(self) -> bool:
        """Whether such a batch is on disk."""
        return self.number > self.over

    def sweep(self, now: float) -> None:
        """When `ready`, and no wallet is unsure: the number that the others know is what tells whether it was
        set back."""
        self.due, self.swept_at = math.inf, now
        note = encode(Mark(VERSION, self.number, sorted(self.homes.values())))
        self.cells.sweep(now, ABOUT, self.gone, note)
        self.gone.clear()

    # What others tell.

    def heard_own(self, cell: Register) -> bool:
        """A cell of an earlier life of this member. Whether it shows that the folder is older than that."""
        self.plan()
        if subject_of(cell.name) != ABOUT:
            self.old = max(self.old, self.number_of(cell.value.partition(b" ")[2]))
        return self.old > self.found

    def mark_of(self, member: str) -> int:
        """The last batch of its folder that it told of; 0 where it told of none."""
        return self.number_of(self.cells.sweep_note(member, ABOUT))

    def number_of(self, note: bytes) -> int:
        mark = self.mark(note)
        return mark.number if mark is not None else 0

    def mark(self, note: bytes) -> Mark | None:
        try:
            return decode_mark(note) if note else None
        except Trouble:
            return None

    def claimant(self, members: Iterable[str], wallet: str, books: str) -> str:
        """One of these that is the home of these books too, by its file."""
        wanted = claim(wallet, books)
        for member in members:
            mark = self.mark(self.cells.sweep_note(member, ABOUT))
            if mark is not None and wanted in mark.homes:
                return member
        return ""
