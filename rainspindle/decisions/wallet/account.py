"""One member's part of one wallet: a bounded counter of which each member writes its own row alone.

Source: Balegas et al., "Extending Eventually Consistent Cloud Databases for Enforcing Numeric Invariants"
(SRDS 2015).

All counts only ever grow within an account, so a row that is heard late, twice or never does no harm:

    rights = topped + all got - all given - spent + back

What goes out of the rights (spent, given) counts once the row that says so is on disk, and not before: what
is spent is written *ahead*, in pieces, and used up from `free` without the disk. What comes in counts at once
in the row that is to be written; what is done with it goes to disk with it, in one row.

An account belongs to a member and begins in one of its lives; no two of a member have one number. A life that
can't prove that its folder is the newest begins a new one with nothing in it: the old one's rights stay where
nobody can spend them.
"""

from __future__ import annotations

from enum import Enum

SHIFT = 10  # bits of an account's number below the life in which it began
MOST_OLD = 8  # accounts that are over and of which gifts are still told, the latest
Who = tuple[str, int]  # a member, and the number of its account


class Row:
    """As it goes to disk."""

    __slots__ = ("account", "back", "barred", "given", "got", "number", "off", "rests", "spent", "topped")

    def __init__(
        self,
        account: int,
        number: int = 0,
        spent: int = 0,
        back: int = 0,
        topped: int = 0,
        given: dict[Who, int] | None = None,
        got: dict[Who, int] | None = None,
        off: dict[str, int] | None = None,
        barred: str = "",
        rests: bool = False,
    ) -> None:
        self.account, self.number = account, number
        self.spent, self.back, self.topped = spent, back, topped
        self.given = given if given is not None else {}
        self.got = got if got is not None else {}
        self.off = off if off is not None else {}  # the home's: accounts up to this one are written off
        self.barred = barred  # the home's: books of which it may have forgotten ids of top-ups
        self.rests = rests  # its use has ended: nothing is left in it, and others have heard all

    def copy(self) -> Row:
        return Row(
            self.account,
            self.number,
            self.spent,
            self.back,
            self.topped,
            dict(self.given),
            dict(self.got),
            dict(self.off),
            self.barred,
            self.rests,
        )

    def rights(self) -> int:
        return self.topped + sum(self.got.values()) - sum(self.given.values()) - self.spent + self.back


class Account:
    """The row as it is to be, as it is on disk, and what may be spent with neither.

    The host writes what `stage` gives and calls `written` or `failed`; one write is out at a time."""

    __slots__ = ("dirty", "free", "fresh", "ids", "ids_writing", "kept", "rights", "row", "writing")

    def __init__(self, row: Row, ids: dict[str, int] | None = None) -> None:
        """`row` as it was found on disk, `ids` of the top-ups that are in it, with their amounts."""
        self.row, self.kept = row, row.copy()
        self.writing: Row | None = None
        self.ids = ids if ids is not None else {}
        self.fresh: list[str] = []  # ids that are on no disk yet
        self.ids_writing: list[str] = []  # go with the row that is being written
        self.rights = row.rights()
        self.free = 0  # written as spent, and not used yet
        self.dirty = False

    @property
    def coming(self) -> int:
        """Written ahead, and not on disk yet."""
        return self.row.spent - self.kept.spent

    @property
    def held(self) -> int:
        return self.rights + self.free + self.coming

    # Exchanges: no disk, no words.

    def debit(self, price: int) -> bool:
        if self.free < price:
            return False
        self.free -= price
        return True

    def credit(self, price: int) -> None:
        """What was debited was never done."""
        self.free += price

    # The row.

    def ahead(self, amount: int) -> int:
        """To be spent once it is written; how much of that there is."""
        amount = min(amount, self.rights)
        if amount > 0:
            self.row.spent += amount
            self.rights -= amount
            self.dirty = True
        return max(amount, 0)

    def put_back(self, amount: int) -> int:
        """What was written ahead and is not needed here."""
        amount = min(amount, self.free)
        if amount > 0:
            self.free -= amount
            self.row.back += amount
            self.rights += amount
            self.dirty = True
        return max(amount, 0)

    def give(self, to: Who, amount: int) -> int:
        """It may be told once it is written."""
        amount = min(amount, self.rights)
        if amount > 0:
            self.row.given[to] = self.row.given.get(to, 0) + amount
            self.rights -= amount
            self.dirty = True
        return max(amount, 0)

    def hear(self, giver: Who, total: int) -> int:
        """A giver's word of all that it ever gave to this account; how much of it is new."""
        new = total - self.row.got.get(giver, 0)
        if new > 0:
            self.row.got[giver] = total
            self.row.rests = False
            self.rights += new
            self.dirty = True
        return max(new, 0)

    def top_up(self, id: str, amount: int) -> bool:
        """At the home alone. False where this id has come in before."""
        if id in self.ids:
            return False
        self.ids[id] = amount
        self.fresh.append(id)
        self.row.topped += amount
        self.row.rests = False
        self.rights += amount
        self.dirty = True
        return True

    def write_off(self, member: str, account: int) -> bool:
        """At the home alone: what this account holds is not counted any more."""
        if self.row.off.get(member, 0) >= account:
            return False
        self.row.off[member] = account
        self.dirty = True
        return True

    # The disk.

    def stage(self) -> Row | None:
        """What is to be written now, if anything."""
        if not self.dirty or self.writing is not None:
            return None
        self.row.number += 1
        self.writing, self.dirty = self.row.copy(), False
        self.ids_writing, self.fresh = self.fresh, []
        return self.writing

    def written(self) -> None:
        """What was staged is on disk for certain: what it says is in force."""
        if self.writing is None:
            return
        self.free += self.writing.spent - self.kept.spent
        self.kept, self.writing, self.ids_writing = self.writing, None, []

    def failed(self) -> None:
        """It may be on disk or not: nothing that it says is in force."""
        if self.writing is not None:
            self.writing, self.dirty = None, True
            self.fresh, self.ids_writing = self.ids_writing + self.fresh, []


class Trust(Enum):
    """What is known of a row that was found on disk."""

    SURE = "sure"  # it is the newest of its account for certain
    UNSURE = "unsure"  # it may be older than what was done: others are asked first
    OLD = "old"  # it is not: nothing of its account is spent any more


class Holding:
    """A member's accounts in one wallet: the one that is spent from, and those that are over."""

    def __init__(self, life: int, chance: int = 0) -> None:
        """`life` of the member; `chance`, under 512, guards against two lives of one number: a folder put
        back and a clock that is behind may make them."""
        self.life, self.chance = life, chance
        self.account = Account(Row(self.number()))
        self.old: list[Row] = []  # as they are on disk, for what they gave
        self.unsure = False  # nothing is spent or given before somebody was heard
        self.sealing = False  # nothing is spent any more, the last row is on its way to disk
        self.lost = 0  # rights left in accounts that are over

    def take(self, row: Row | None, ids: dict[str, int], old: list[Row], trust: Trust) -> None:
        """What was found on disk. A row that is not the last of its account ends the account; so does one
        that rests and may not be the last, as there is nothing to lose in it."""
        self.old = old[-MOST_OLD:]
        self.account = Account(row if row is not None else Row(self.number()), ids)
        self.unsure = row is not None and trust is Trust.UNSURE
        if row is not None and (trust is Trust.OLD or (row.rests and self.unsure)):
            self.begin_anew()

    def number(self, after: int = 0) -> int:
        return max(self.life << SHIFT | self.chance, after + 1)

    def begin_anew(self) -> None:
        row = self.account.kept
        self.lost += max(self.account.held, 0)
        self.old = [*self.old, row][-MOST_OLD:]
        self.account = Account(
            Row(self.number(row.account), off=dict(self.account.row.off), barred=self.account.row.barred),
            self.account.ids,
        )
        self.account.dirty = True
        self.unsure = self.sealing = False

    def may_rest(self) -> bool:
        """Nothing is left, and all that was done is on disk."""
        account = self.account
        return not (
            self.unsure
            or self.sealing
            or account.dirty
            or account.writing is not None
            or account.held
            or account.row.rests
        )

    def rest(self) -> None:
        """Its use has ended, until it gets something or its clients come."""
        self.account.row.rests = self.account.dirty = True

    def wake(self) -> None:
        if self.account.row.rests:
            self.account.row.rests, self.account.dirty = False, True

    def others_know(self, number: int) -> bool:
        """The highest row of this account that others have heard of; whether that makes it sure."""
        if self.unsure and number > self.account.kept.number:
            self.begin_anew()
            return False
        self.account.dirty = self.account.dirty or self.unsure  # so that the next life knows it too
        self.unsure = False
        return True

    def seal(self, home: Who | None) -> bool:
        """All that is left goes to the home, where it is known; whether that is on disk, and a new account
        has begun."""
        account = self.account
        self.sealing, self.unsure = True, False
        account.put_back(account.free)
        if home is None:
            return False
        account.give(home, account.rights)
        if account.dirty or account.writing is not None:
            return False
        self.begin_anew()
        return True

    def gifts(self, member: str) -> list[tuple[int, int, int]]:
        """Own account, its account, total: what may be told, as it is on disk."""
        return [
            (row.account, account, total)
            for row in (*self.old, self.account.kept)
            for (peer, account), total in row.given.items()
            if peer == member
        ][-MOST_OLD:]

    def take_gifts(self, member: str, entries: list[tuple[int, int, int]]) -> int:
        """A member's word of what it gave to this one; how much of that is new.

        Nothing is while it is unsure: a row that is written would hide that a later one was there before."""
        if self.unsure:
            return 0
        return sum(
            self.account.hear((member, account), total)
            for account, to, total in entries
            if to == self.account.row.account
        )
