"""One member's share of one wallet: a bounded counter in which each member writes only its own row.

Source: Balegas et al., "Extending Eventually Consistent Cloud Databases for Enforcing Numeric Invariants"
(SRDS 2015).

Within an account all counts only grow, so a row that arrives late, twice or never is harmless:

    rights = topped + sum(got) - sum(given) - spent + back

Rights are the units that the member may still spend or transfer. Outgoing units (spent, given) take effect
only once the row that records them is on disk. Spending is therefore written *ahead*: a piece is recorded as
spent, and requests are then debited from that piece in memory, without a write each. Incoming units count at
once in the row that is written next, and whatever is done with them goes to disk in that same row.

An account belongs to one member and begins in one of its incarnations; a member never uses an account number
twice. An incarnation that can't prove that its folder is the newest opens a new, empty account; nobody can
spend the rights that are left in the old one.
"""

from __future__ import annotations

from enum import Enum

ACCOUNT_SHIFT = 10  # an account's number holds the incarnation in which it began above these low bits
MAX_OLD_ACCOUNTS = 8  # closed accounts, the latest ones, whose transfers are still reported
AccountId = tuple[str, int]  # a member and the number of one of its accounts


class Row:
    """What a member stores on disk for one account.

    Attributes:
        account: The account's number.
        number: Counts the rows written for this account.
        spent: Units ever recorded as spent, including those written ahead.
        back: Units written ahead that were put back unused.
        topped: Units of all top-ups; only the home member takes top-ups.
        given: Units ever transferred to each account of other members.
        got: Units ever received from each account of other members.
        off: For each member, the last of its accounts that is written off. Only the home sets it.
        barred: The books for which the home takes no top-ups, as it may have lost ids of earlier ones.
        rests: Whether the account's use has ended: it is empty, and the other members know its state.
    """

    __slots__ = ("account", "back", "barred", "given", "got", "number", "off", "rests", "spent", "topped")

    def __init__(
        self,
        account: int,
        number: int = 0,
        spent: int = 0,
        back: int = 0,
        topped: int = 0,
        given: dict[AccountId, int] | None = None,
        got: dict[AccountId, int] | None = None,
        off: dict[str, int] | None = None,
        barred: str = "",
        rests: bool = False,
    ) -> None:
        self.account, self.number = account, number
        self.spent, self.back, self.topped = spent, back, topped
        self.given = given if given is not None else {}
        self.got = got if got is not None else {}
        self.off = off if off is not None else {}
        self.barred = barred
        self.rests = rests

    def copy(self) -> Row:
        """Copies the row, including its tables, so that later changes to one don't affect the other."""
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
        """Returns the units that the account may still spend or transfer; see the module's formula."""
        return self.topped + sum(self.got.values()) - sum(self.given.values()) - self.spent + self.back


class Account:
    """An account in memory: its row as it will be written next, the row on disk, and units ready to spend.

    The host writes the row that `stage` returns and then calls `written` or `failed`. Only one write is in
    progress at a time.
    """

    __slots__ = ("dirty", "free", "fresh", "ids", "ids_writing", "kept", "rights", "row", "writing")

    def __init__(self, row: Row, ids: dict[str, int] | None = None) -> None:
        """Starts from the row found on disk and the ids of the top-ups in it, with their amounts."""
        self.row, self.kept = row, row.copy()
        self.writing: Row | None = None
        self.ids = ids if ids is not None else {}
        self.fresh: list[str] = []  # ids of top-ups that no write has included yet
        self.ids_writing: list[str] = []  # ids that are part of the write in progress
        self.rights = row.rights()
        self.free = 0  # units recorded on disk as spent that no request has used yet
        self.dirty = False

    @property
    def pending(self) -> int:
        """Units written ahead whose row is not on disk yet."""
        return self.row.spent - self.kept.spent

    @property
    def held(self) -> int:
        """Units in this account: rights, units ready to spend, and units being written ahead."""
        return self.rights + self.free + self.pending

    # Requests: neither disk writes nor messages.

    def debit(self, price: int) -> bool:
        """Takes the price of a request; returns False, and takes nothing, if too few units are ready."""
        if self.free < price:
            return False
        self.free -= price
        return True

    def credit(self, price: int) -> None:
        """Gives back the price of a request that was debited but never executed."""
        self.free += price

    # Changes to the row.

    def write_ahead(self, amount: int) -> int:
        """Records up to `amount` units as spent, to be used once that is on disk; returns how many."""
        amount = min(amount, self.rights)
        if amount > 0:
            self.row.spent += amount
            self.rights -= amount
            self.dirty = True
        return max(amount, 0)

    def put_back(self, amount: int) -> int:
        """Turns up to `amount` unused units that were written ahead into rights again; returns how many."""
        amount = min(amount, self.free)
        if amount > 0:
            self.free -= amount
            self.row.back += amount
            self.rights += amount
            self.dirty = True
        return max(amount, 0)

    def transfer(self, to: AccountId, amount: int) -> int:
        """Transfers up to `amount` units to another account and returns how many.

        The recipient may be notified once the row is on disk.
        """
        amount = min(amount, self.rights)
        if amount > 0:
            self.row.given[to] = self.row.given.get(to, 0) + amount
            self.rights -= amount
            self.dirty = True
        return max(amount, 0)

    def receive(self, giver: AccountId, total: int) -> int:
        """Takes the total that another account ever transferred to this one; returns how much is new."""
        new = total - self.row.got.get(giver, 0)
        if new > 0:
            self.row.got[giver] = total
            self.row.rests = False
            self.rights += new
            self.dirty = True
        return max(new, 0)

    def top_up(self, top_up_id: str, amount: int) -> bool:
        """Adds a top-up, at the home only; returns False if this id has been entered before."""
        if top_up_id in self.ids:
            return False
        self.ids[top_up_id] = amount
        self.fresh.append(top_up_id)
        self.row.topped += amount
        self.row.rests = False
        self.rights += amount
        self.dirty = True
        return True

    def write_off(self, member: str, account: int) -> bool:
        """Writes off a member's accounts up to this one, at the home only: they no longer count.

        Returns False if they already are written off.
        """
        if self.row.off.get(member, 0) >= account:
            return False
        self.row.off[member] = account
        self.dirty = True
        return True

    # Writing to disk.

    def stage(self) -> Row | None:
        """Returns the row to write now, or None if nothing has changed or a write is in progress."""
        if not self.dirty or self.writing is not None:
            return None
        self.row.number += 1
        self.writing, self.dirty = self.row.copy(), False
        self.ids_writing, self.fresh = self.fresh, []
        return self.writing

    def written(self) -> None:
        """Puts the staged row into effect; it is on disk for certain."""
        if self.writing is None:
            return
        self.free += self.writing.spent - self.kept.spent
        self.kept, self.writing, self.ids_writing = self.writing, None, []

    def failed(self) -> None:
        """Gives up the staged row, which may or may not be on disk: none of it takes effect."""
        if self.writing is not None:
            self.writing, self.dirty = None, True
            self.fresh, self.ids_writing = self.ids_writing + self.fresh, []


class Trust(Enum):
    """Whether a row found on disk is known to be the newest of its account."""

    SURE = "sure"  # certainly the newest
    UNSURE = "unsure"  # possibly outdated: other members are asked before anything is spent
    OLD = "old"  # outdated: nothing of its account is spent any more


class MemberAccounts:
    """A member's accounts in one wallet: the one that it spends from, and its closed ones."""

    def __init__(self, incarnation: int, nonce: int = 0) -> None:
        """Starts with a new account of this incarnation of the member.

        `nonce` is a random number below 512. It keeps account numbers apart if two incarnations get the same
        number, which happens when a folder is restored from a copy and the clock is behind.
        """
        self.incarnation, self.nonce = incarnation, nonce
        self.account = Account(Row(self.number()))
        self.old: list[Row] = []  # closed accounts as stored on disk, for the transfers they made
        self.unsure = False  # spends and transfers nothing until another member has answered
        self.sealing = False  # spends nothing more; the account's last row is being written
        self.lost = 0  # units left in closed accounts

    def restore(self, row: Row | None, ids: dict[str, int], old: list[Row], trust: Trust) -> None:
        """Loads what was found on disk.

        The account is closed if its row is outdated. It is also closed if the row rests and may be outdated,
        as a resting account holds nothing that could be lost.
        """
        self.old = old[-MAX_OLD_ACCOUNTS:]
        self.account = Account(row if row is not None else Row(self.number()), ids)
        self.unsure = row is not None and trust is Trust.UNSURE
        if row is not None and (trust is Trust.OLD or (row.rests and self.unsure)):
            self.open_new_account()

    def number(self, after: int = 0) -> int:
        """Returns a number for a new account, higher than `after`."""
        return max(self.incarnation << ACCOUNT_SHIFT | self.nonce, after + 1)

    def open_new_account(self) -> None:
        """Closes the account and opens a new, empty one."""
        row = self.account.kept
        self.lost += max(self.account.held, 0)
        self.old = [*self.old, row][-MAX_OLD_ACCOUNTS:]
        self.account = Account(
            Row(self.number(row.account), off=dict(self.account.row.off), barred=self.account.row.barred),
            self.account.ids,
        )
        self.account.dirty = True
        self.unsure = self.sealing = False

    def may_rest(self) -> bool:
        """Returns whether the account is empty and everything done with it is on disk."""
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
        """Ends the account's use until it receives units or clients send requests again."""
        self.account.row.rests = self.account.dirty = True

    def wake(self) -> None:
        """Resumes the use of a resting account."""
        if self.account.row.rests:
            self.account.row.rests, self.account.dirty = False, True

    def settle_unsure(self, number: int) -> bool:
        """Settles an unsure account by the highest row of it that other members have received.

        Returns True if the row on disk is the newest; otherwise closes the account and returns False.
        """
        if self.unsure and number > self.account.kept.number:
            self.open_new_account()
            return False
        self.account.dirty = self.account.dirty or self.unsure  # so that the next incarnation is sure as well
        self.unsure = False
        return True

    def seal(self, home: AccountId | None) -> bool:
        """Transfers everything that is left to the home member's account, if that is known.

        Returns True once the transfer is on disk; a new account is open then.
        """
        account = self.account
        self.sealing, self.unsure = True, False
        account.put_back(account.free)
        if home is None:
            return False
        account.transfer(home, account.rights)
        if account.dirty or account.writing is not None:
            return False
        self.open_new_account()
        return True

    def transfers_to(self, member: str) -> list[tuple[int, int, int]]:
        """Returns the transfers to a member that are on disk: own account, its account, total units."""
        return [
            (row.account, account, total)
            for row in (*self.old, self.account.kept)
            for (peer, account), total in row.given.items()
            if peer == member
        ][-MAX_OLD_ACCOUNTS:]

    def receive_transfers(self, member: str, entries: list[tuple[int, int, int]]) -> int:
        """Takes what another member reports to have transferred to this one; returns how much is new.

        An unsure account takes nothing: a row written now would hide that a later row existed before.
        """
        if self.unsure:
            return 0
        return sum(
            self.account.receive((member, account), total)
            for account, to, total in entries
            if to == self.account.row.account
        )
