"""What was paid, executed and sent, as counted by the model from outside, and what must hold of it.

Nothing in here is asked of the program: a payment counts from the moment its call is taken, an execution when
the exchange runs, and a key's side where the exchange goes.
"""

from __future__ import annotations

from dataclasses import dataclass, field

Account = tuple[str, str, int]  # wallet, member, its number
IN, OUT, DONE = 0, 1, 2


@dataclass(frozen=True, slots=True)
class Broken:
    at: float
    what: str  # "overspent", "created", "past its abort", "before its start", "cells"
    where: str
    why: str

    def __str__(self) -> str:
        return f"{self.what} at {self.at:.3f} s, {self.where}: {self.why}"


@dataclass(slots=True)
class Ledger:
    broken: list[Broken] = field(default_factory=list)
    paid_ids: dict[str, dict[str, int]] = field(default_factory=dict)
    paid: dict[str, int] = field(default_factory=dict)
    done: dict[str, int] = field(default_factory=dict)
    debits: int = 0  # that were taken
    asked: int = 0  # exchanges that clients brought
    members: dict[str, set[str]] = field(default_factory=dict)  # that had to do with a wallet
    accounts: dict[Account, list[int]] = field(default_factory=dict)  # units in, out, executed
    gifts: dict[tuple[str, str, int, str, int], int] = field(default_factory=dict)
    to_new: int = 0  # exchanges of canaries
    to_old: int = 0
    late: float = 0.0  # the last one to the new side after an abort that it could be told of, seconds
    late_cut: float = 0.0  # the same where it could not, from when it was cut off

    def moved(self, account: Account, kind: int, units: int) -> None:
        sums = self.accounts.get(account)
        if sums is None:
            sums = self.accounts[account] = [0, 0, 0]
        sums[kind] += units

    def gift(self, wallet: str, giver: str, number: int, to: str, to_number: int, total: int) -> None:
        """One member has told another what it ever gave."""
        key = wallet, giver, number, to, to_number
        more = total - self.gifts.get(key, 0)
        if more > 0:
            self.gifts[key] = total
            self.moved((wallet, giver, number), OUT, more)
            self.moved((wallet, to, to_number), IN, more)

    def pay(self, wallet: str, id: str, amount: int, home: str, number: int) -> None:
        """Called as often as staff please; it is paid once."""
        ids = self.paid_ids.setdefault(wallet, {})
        if id not in ids:
            ids[id] = amount
            self.paid[wallet] = self.paid.get(wallet, 0) + amount
            self.moved((wallet, home, number), IN, amount)

    def execute(self, now: float, wallet: str, where: str, number: int, units: int) -> None:
        self.moved((wallet, where, number), DONE, units)
        done = self.done[wallet] = self.done.get(wallet, 0) + units
        if done > self.paid.get(wallet, 0):
            self.broken.append(
                Broken(
                    now,
                    "overspent",
                    f"{wallet} at {where}",
                    f"{done} executed, {self.paid.get(wallet, 0)} paid",
                )
            )

    def balance(self, wallet: str) -> int:
        return self.paid.get(wallet, 0) - self.done.get(wallet, 0)

    def conserved(self, now: float, held: dict[Account, int]) -> int:
        """No account holds more than has come in and has not gone out, all of a wallet no more than was paid
        and not executed. Gives the units that are paid, not executed and held by nobody."""
        by_wallet = dict.fromkeys(self.paid, 0)
        for account, units in held.items():
            by_wallet[account[0]] = by_wallet.get(account[0], 0) + units
            came, went, done = self.accounts.get(account, (0, 0, 0))
            if units > came - went - done:
                self.broken.append(
                    Broken(
                        now,
                        "created",
                        f"{account[0]} at {account[1]}",
                        f"account {account[2]} holds {units}: {came} came, {went} given, {done} executed",
                    )
                )
        for wallet, units in by_wallet.items():
            if units > self.balance(wallet):
                self.broken.append(
                    Broken(
                        now, "created", wallet, f"{units} held, {self.balance(wallet)} paid and not executed"
                    )
                )
        return sum(self.balance(wallet) - units for wallet, units in by_wallet.items())

    def cells(self, now: float, wallet: str, count: int, others: int = 0) -> None:
        """Each of those who had to do with a wallet has one word, and one to each other at most. `others`:
        that were asked beside those whose clients came."""
        most = max(len(self.members.get(wallet, ())) + others, 1) ** 2
        if count > most:
            self.broken.append(Broken(now, "cells", wallet, f"{count} cells, {most} can be needed"))
