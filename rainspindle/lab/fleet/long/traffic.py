"""Clients and staff of the wallets in a long run: bursts at a few members, which change over time."""

from __future__ import annotations

import random
from dataclasses import dataclass
from functools import partial

from ....decisions.wallet.wallet import Wallet
from .ledger import IN, OUT, Ledger
from .purses import Purse, Purses
from .world import Member

STEP = 0.25  # seconds whose exchanges are played at once
REJECTED = 0.02  # of the exchanges are rejected before any forward may have run
ANSWER = 0.5  # seconds after which that is known, at most
REPEAT, TRIES = 30.0, 30  # staff's calls of one payment until it is entered
DAY, RUSH = 86_400.0, (43_200.0, 1_200.0)  # seconds; when most of it happens, and its length
NEW_HOME = 60.0  # seconds after a home's start in which no payment is told again


@dataclass(frozen=True, slots=True)
class Load:
    """Of one wallet, on average."""

    bursts: float = 0.4  # a day
    places: int = 4  # members that its clients are at
    moves: float = 0.25  # of the bursts, before which clients are at another member in place of one
    rate: float = 120.0  # exchanges a second at a member in a burst
    length: float = 4.0  # seconds
    rush: float = 0.7  # of the bursts are in the RUSH of their day


class Traffic:
    def __init__(self, purses: Purses, ledger: Ledger, load: Load, until: float, seed: int) -> None:
        self.purses, self.ledger, self.load, self.until = purses, ledger, load, until
        self.world = purses.world
        self.numbers: dict[str, int] = {}
        for name in purses.names:
            chance = random.Random(f"{seed} {name}")  # its own, so that faults don't change the others'
            places = chance.sample(self.world.list, min(load.places, len(self.world.list)))
            ledger.members[name] = {purses.rules[name].home}
            self.day(name, chance, places)

    def day(self, name: str, chance: random.Random, places: list[Member]) -> None:
        load, world = self.load, self.world
        if world.now + DAY <= self.until + 1.0:
            for _ in range(int(load.bursts + chance.random())):
                begin, length = RUSH if chance.random() < load.rush else (0.0, DAY)
                world.at(
                    begin + length * chance.random(),
                    partial(self.burst, name, random.Random(chance.random()), places),
                )
            world.at(DAY, partial(self.day, name, chance, places))

    def burst(self, name: str, chance: random.Random, places: list[Member]) -> None:
        load = self.load
        if chance.random() < load.moves:
            places[chance.randrange(len(places))] = chance.choice(self.world.list)
        at = list(dict.fromkeys(chance.sample(places, min(len(places), chance.choice((1, 2, 2, 3))))))
        price = 3 if chance.random() < 0.1 else 1
        steps = max(1, round(chance.uniform(0.5, 1.5) * load.length / STEP))
        rates = [load.rate * chance.uniform(0.3, 1.7) for _ in at]
        need = sum(rates) * STEP * steps * price
        # Staff pay before it runs out, or a little late.
        if self.ledger.balance(name) < need:
            amount = round(need * chance.choice((0.7, 1.5, 4.0))) + 1
            self.call(name, amount, chance.uniform(-2.0, 3.0))
        if chance.random() < 0.05:
            self.again(name, chance)
        self.step(name, chance, at, rates, price, steps)

    def step(
        self, name: str, chance: random.Random, at: list[Member], rates: list[float], price: int, left: int
    ) -> None:
        for member, rate in zip(at, rates, strict=True):
            if not member.runs or (member.leaving and chance.random() < 0.5):
                continue
            self.ledger.members[name].add(member.name)
            count = int(rate * STEP + chance.random())
            self.exchanges(self.purses.purses[member.name], name, count, price, chance)
        if left > 1:
            self.world.at(STEP, partial(self.step, name, chance, at, rates, price, left - 1))

    def exchanges(self, purse: Purse, name: str, count: int, price: int, chance: random.Random) -> None:
        wallet, now = purse.use(name).wallet, self.world.now
        debit, number = wallet.debit, wallet.account.row.account
        binding, done = chance.random() < 0.2, 0
        for _ in range(count):
            done += debit(now, price, binding)
        self.ledger.asked += count
        self.ledger.debits += done
        back = sum(chance.random() < REJECTED for _ in range(done))
        if back:
            self.world.later(
                purse.member, chance.uniform(0.01, ANSWER), partial(self.credit, wallet, number, back * price)
            )
        self.ledger.execute(now, name, purse.member.name, number, (done - back) * price)

    def credit(self, wallet: Wallet, number: int, units: int) -> None:
        wallet.credit(units)
        if wallet.account.row.account != number:  # it has begun a new one meanwhile
            self.ledger.moved((wallet.name, wallet.own_name, number), OUT, units)
            self.ledger.moved((wallet.name, wallet.own_name, wallet.account.row.account), IN, units)

    # Staff.

    def call(self, name: str, amount: int, after: float) -> None:
        number = self.numbers[name] = self.numbers.get(name, 0) + 1
        self.world.at(after, partial(self.pay, name, str(number), amount, 1))

    def pay(self, name: str, id: str, amount: int, tries: int) -> None:
        """Repeated until it is entered."""
        if not self.top_up(name, id, amount) and tries < TRIES:
            self.world.at(1.0 if tries < 3 else REPEAT, partial(self.pay, name, id, amount, tries + 1))

    def again(self, name: str, chance: random.Random) -> None:
        """A payment that has come in is told once more."""
        books = self.purses.rules[name].books
        known = [id for id in self.ledger.paid_ids.get(name, ()) if id.startswith(f"{books}/")]
        home = self.world.members[self.purses.rules[name].home]
        if known and self.world.now - home.started > NEW_HOME:
            key = chance.choice(known)
            self.top_up(name, key.partition("/")[2], self.ledger.paid_ids[name][key])

    def top_up(self, name: str, id: str, amount: int) -> bool:
        """The console's call at the home; whether it is entered."""
        rules = self.purses.rules[name]
        home = self.world.members[rules.home]
        if not home.runs or home.leaving:
            return False
        wallet = self.purses.purses[home.name].use(name).wallet
        if wallet.unsure:
            return False
        if wallet.account.row.barred == rules.books:
            self.purses.other_books(name)
            return False
        if wallet.conflicting_home() is not None:
            return False
        key = f"{rules.books}/{id}"
        known = wallet.account.ids.get(key)
        if known is not None and known != amount:
            return True
        if wallet.top_up(self.world.now, key, amount):
            self.ledger.pay(name, key, amount, home.name, wallet.account.row.account)
        return wallet.entered(key)
