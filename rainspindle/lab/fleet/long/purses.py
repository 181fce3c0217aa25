"""All wallets of a fleet in a long run: `Wallet` and `Cells` as they run, disk and network modelled.

A member has a wallet in memory from when its clients come or somebody speaks to it until its life ends; what
it would have heard meanwhile is told to it then, from `Board`, where the last word of each is. So a thousand
members that never had to do with a wallet cost nothing.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import partial

from ....decisions.shared.cells import Cell, Cells
from ....decisions.wallet.account import Row, Trust
from ....decisions.wallet.wallet import Rules, Wallet
from ....program.fleet.wallet import PACE, decode_row, encode_row
from ....protocol import wallet as words
from .ledger import Account, Ledger
from .world import CATCH_UP, Member, World

WRITE = 0.004  # seconds that a batch takes on disk
SLOW, SLOW_WRITE = 0.03, (0.05, 2.0)  # the part of them that takes so long
TOLD = 10.0  # seconds after which a row has been told to others, where nothing is cut
BYSTANDERS = 3  # members that hear an unsure one, beside those that use the wallet
Make = Callable[..., Wallet]


class Disk:
    """What outlasts a member's process."""

    __slots__ = ("ids", "old", "rows")

    def __init__(self) -> None:
        self.rows: dict[str, dict[int, bytes]] = {}  # by wallet and account
        self.ids: dict[str, dict[str, int]] = {}
        self.old: set[tuple[str, int]] = set()  # accounts that were noticed as older copies

    def copy(self) -> Disk:
        made = Disk()
        made.rows = {name: dict(rows) for name, rows in self.rows.items()}
        made.ids = {name: dict(ids) for name, ids in self.ids.items()}
        made.old = set(self.old)
        return made


class Use:
    """One wallet at one member, in one life of it: its host."""

    __slots__ = ("boot", "name", "planned", "purse", "urged", "wallet")

    def __init__(self, purse: Purse, name: str) -> None:
        self.purse, self.name, self.urged, self.planned, self.boot = purse, name, False, 0, 0
        fleet = purse.fleet
        self.wallet = fleet.make(name, purse.member.name, purse.member.life, fleet.rules[name], self,
                                 fleet.world.now, fleet.chance.randrange(512))

    def save(self, wallet: Wallet) -> None:
        self.purse.unsaved[self.name] = self
        self.purse.begin_batch()

    def tell(self, now: float, cell: str, value: bytes, toward: tuple[str, ...]) -> None:
        self.purse.fleet.tell(self.purse, self.name, cell, value, toward)

    def urge(self, wallet: Wallet) -> None:
        if not self.urged:
            self.urged = True
            world = self.purse.fleet.world
            world.later(self.purse.member, wallet.looked_at + PACE - world.now, self.look)

    def alive(self) -> Iterable[str]:
        """Of those that had ever to do with the wallet; no other is asked for."""
        world, own = self.purse.fleet.world, self.purse.member
        known = self.wallet.words
        home = self.wallet.rules.home
        names = known if home in known else (*known, home)
        return [name for name in names if name != own.name and world.believes(own, world.members[name])]

    def log(self, event: str, **fields: object) -> None:
        self.purse.fleet.events[event] = self.purse.fleet.events.get(event, 0) + 1

    def look(self) -> None:
        self.urged = False
        world, wallet = self.purse.fleet.world, self.wallet
        wallet.looked_at = world.now
        at = wallet.tick(world.now)
        self.planned += 1
        if at != math.inf:
            world.later(self.purse.member, at - world.now, partial(self.due, self.planned))

    def due(self, number: int) -> None:
        if self.planned == number:
            self.look()


class Purse:
    """All wallets that one life of a member has in memory."""

    def __init__(self, fleet: Purses, member: Member, disk: Disk) -> None:
        self.fleet, self.member, self.disk = fleet, member, disk
        self.cells = Cells(member.name, member.life)
        self.cells.on_change("wallet/", self.heard)
        self.uses: dict[str, Use] = {}
        self.unsaved: dict[str, Use] = {}
        self.batch: list[tuple[Use, Row, bytes, dict[str, int]]] = []

    def use(self, name: str) -> Use:
        found = self.uses.get(name)
        return found if found is not None else self.load(name)

    def load(self, name: str) -> Use:
        """As the program does: rows as they are on disk, then what the others have told."""
        use = self.uses[name] = Use(self, name)
        fleet, disk, member = self.fleet, self.disk, self.member
        fleet.users[name][member.name] = self
        found = {account: decode_row(value) for account, value in disk.rows.get(name, {}).items()}
        ids, now = dict(disk.ids.get(name, {})), fleet.world.now
        if not found:
            use.boot = member.boot
            use.wallet.load(now, None, ids, [], Trust.SURE)
        else:
            last = max(found)
            row, kept = found[last]
            use.boot = kept.boot
            trust = (Trust.OLD if (name, last) in disk.old else
                     Trust.SURE if kept.boot == member.boot else Trust.UNSURE)
            use.wallet.load(now, row, ids, [found[a][0] for a in sorted(found) if a != last], trust)
        use.wallet.begun_at = member.started  # the program loads all at its start
        caught_up = member.started + member.catch_up
        if now >= caught_up:
            fleet.replay(self, name)
        else:
            fleet.world.later(member, caught_up - now, partial(fleet.replay, self, name))
        return use

    def take(self, cell: Cell) -> None:
        """A cell that has come; it is about a wallet that this one has to do with."""
        self.use(cell.name.split("/", 2)[1])
        self.cells.heard(self.fleet.world.now, cell)
        self.cells.fresh.clear()  # the model carries it on

    def heard(self, now: float, cell: Cell) -> None:
        name, _, to = cell.name.removeprefix("wallet/").partition("/t/")
        use = self.uses.get(name)
        if use is None or not cell.value or (to and to != words.short(self.member.name)):
            return
        if to:
            if cell.owner != self.member.name:
                use.wallet.on_pair(now, cell.owner, words.decode_pair(cell.value))
        elif cell.owner != self.member.name:
            use.wallet.on_word(now, cell.owner, words.decode_word(cell.value))
        elif cell.life < self.member.life:
            use.wallet.on_own(now, words.decode_word(cell.value))

    # The disk: one batch at a time, whole or not at all.

    def stage(self) -> None:
        for use in self.unsaved.values():
            account = use.wallet.account
            row = account.stage()
            if row is not None:
                if not use.wallet.unsure:
                    use.boot = self.member.boot
                self.batch.append((use, row, encode_row(row, use.boot, use.wallet.rules),
                                   {id: account.ids[id] for id in account.ids_writing}))
        self.unsaved = {}

    def begin_batch(self) -> None:
        if self.batch or not self.unsaved:
            return
        self.stage()
        if self.batch:
            chance = self.fleet.chance
            takes = WRITE if chance.random() >= self.fleet.slow else chance.uniform(*SLOW_WRITE)
            self.fleet.world.at(takes, partial(self.done, self.member.life))

    def to_disk(self) -> list[Use]:
        batch, self.batch = self.batch, []
        for use, row, value, ids in batch:
            self.disk.rows.setdefault(use.name, {})[row.account] = value
            if ids:
                self.disk.ids.setdefault(use.name, {}).update(ids)
        return [use for use, *_ in batch]

    def done(self, life: int) -> None:
        if self.member.alive and self.member.life == life and self.batch:
            written = self.to_disk()
            self.fleet.world.when_awake(self.member, partial(self.written, written))

    def written(self, uses: list[Use]) -> None:
        for use in uses:
            use.wallet.written(self.fleet.world.now)
        self.begin_batch()

    def close(self) -> None:
        """The end of a process that was told to leave."""
        now = self.fleet.world.now
        for use in self.uses.values():
            wallet = use.wallet
            if wallet.loaded and wallet.leaving:
                wallet.hand_back(now, last=True)
            if wallet.account.put_back(wallet.account.free) or wallet.account.dirty:
                self.unsaved[use.name] = use
        for _ in range(100):
            for use in self.to_disk():
                use.wallet.written(now)
            if not self.batch:
                self.stage()
            if not self.batch:
                break


class Purses:
    """The wallets of all members, and the last word of each."""

    def __init__(self, world: World, ledger: Ledger, wallets: int, seed: int, make: Make = Wallet,
                 slow: float = SLOW) -> None:
        """Half of the wallets have `rejoin = "new"`."""
        self.world, self.ledger, self.make, self.slow = world, ledger, make, slow
        self.chance = random.Random(f"{seed} wallets")
        self.names = [f"w{n:05}" for n in range(wallets)]
        self.rules = {name: Rules(world.list[n % len(world.list)].name, reserve=50 if n % 5 == 0 else 0,
                                  eager=wallets <= 200, rejoin="new" if n % 2 else "heard")
                      for n, name in enumerate(self.names)}
        self.users: dict[str, dict[str, Purse]] = {name: {} for name in self.names}
        self.board: dict[str, dict[tuple[str, str], Cell]] = {name: {} for name in self.names}
        self.earlier: dict[tuple[str, str], tuple[float, Cell]] = {}  # a word that a new life has replaced
        self.told_at: dict[tuple[str, str], float] = {}
        self.others: dict[str, set[str]] = {name: set() for name in self.names}  # were asked as bystanders
        self.missed: set[str] = set()  # wallets of which something was told in a cut
        self.events: dict[str, int] = {}
        self.cells = self.bytes = self.told = 0  # on the board; words ever
        self.told_bytes = 0
        self.copies: dict[str, list[Disk]] = {}
        self.purses = {m.name: Purse(self, m, Disk()) for m in world.list}
        world.parts.append(self)

    # How words travel.

    def tell(self, purse: Purse, name: str, cell_name: str, value: bytes, toward: tuple[str, ...]) -> None:
        world, owner = self.world, purse.member
        cell = purse.cells.write(world.now, cell_name, value, toward)
        purse.cells.fresh.clear()
        board, key = self.board[name], (owner.name, cell_name)
        before = board.get(key)
        size = len(value) + len(cell_name) + len(owner.name) + 32  # as `Spread.size`
        self.told += 1
        self.told_bytes += size
        if before is None:
            self.cells += 1
            self.bytes += size
        else:
            self.bytes += len(value) - len(before.value)
            if before.life != cell.life and "/t/" not in cell_name:
                self.earlier[key] = world.now, before
        board[key] = cell
        to = cell_name.partition("/t/")[2]
        if to:
            for number, to_number, total in words.decode_pair(value).entries if value else ():
                self.ledger.gift(name, owner.name, number, to, to_number, total)
            hearers = [self.purses[to]] if to in self.purses else []
        else:
            self.told_at[owner.name, name] = world.now
            hearers = [p for p in self.users[name].values() if p is not purse]
            hearers += [self.purses[m] for m in toward if m not in self.users[name]]
            if words.decode_word(value).unsure:
                hearers += self.bystanders(purse, name)
        for hearer in hearers:
            if not world.send(owner, hearer.member, partial(self.take, hearer, cell),
                              to == hearer.member.name or hearer.member.name in toward):
                self.missed.add(name)

    def take(self, purse: Purse, cell: Cell) -> None:
        if self.purses[purse.member.name] is purse:
            purse.take(cell)

    def bystanders(self, purse: Purse, name: str) -> list[Purse]:
        home = self.rules[name].home
        some = [self.purses[home], *(self.purses[m.name] for m in self.chance.sample(
            self.world.list, min(BYSTANDERS, len(self.world.list))))]
        self.others[name].update(p.member.name for p in some)
        return [p for n, p in enumerate(some) if p is not purse and p not in some[:n]
                and p.member.name not in self.users[name]]

    def replay(self, purse: Purse, name: str) -> None:
        """What it has heard of a wallet, or would have, by now."""
        member, world = purse.member, self.world
        for (owner, cell_name), cell in list(self.board[name].items()):
            to = cell_name.partition("/t/")[2]
            if (to and to != member.name) or not (
                    owner == member.name or world.members[owner].side == member.side):
                continue
            earlier = self.earlier.get((owner, cell_name))
            if earlier is not None and earlier[0] > member.started + member.catch_up:
                purse.cells.heard(world.now, earlier[1])
            purse.cells.heard(world.now, cell)
        purse.cells.fresh.clear()

    def healed(self) -> None:
        missed, self.missed = self.missed, set()
        for name in sorted(missed):
            for cell in list(self.board[name].values()):
                to = cell.name.partition("/t/")[2]
                owner = self.world.members[cell.owner]
                for purse in [self.purses[to]] if to else list(self.users[name].values()):
                    member = purse.member
                    if member is owner:
                        continue
                    if member.side != owner.side or not member.alive:
                        self.missed.add(name)
                    else:
                        self.world.later(member, self.chance.uniform(*CATCH_UP),
                                         partial(self.take, purse, cell))

    # The members.

    def started(self, member: Member, how: str) -> None:
        before = self.purses[member.name].disk
        disk = before
        if how == "lost":
            disk = Disk()
            self.new_books(member)
        elif how in ("copied", "set-back"):
            copy = self.copies.pop(member.name, [Disk()])[-1]
            if how == "copied":
                disk = copy
                disk.old |= {(name, account) for name, rows in disk.rows.items() for account in rows}
            else:
                self.set_back(member, disk, copy)
        self.purses[member.name] = Purse(self, member, disk)
        self.missed |= {name for name in disk.rows if name in self.missed}

    def set_back(self, member: Member, disk: Disk, copy: Disk) -> None:
        """Unnoticed by files. Where an unsure member goes by what others have heard, only to rows after which
        a later one was told in time: more cannot be proved, as the design says."""
        for name, rows in copy.rows.items():
            told = self.board[name].get((member.name, words.word_cell(name)))
            heard = told is not None and not self.world.splits and not self.world.deaf and \
                self.world.now - self.told_at[member.name, name] > TOLD
            last = max(rows)
            if self.rules[name].rejoin == "new" or (heard and told is not None and (
                    words.decode_word(told.value).account, words.decode_word(told.value).row) > (
                        last, decode_row(rows[last])[0].number)):
                disk.rows[name] = rows
                disk.ids[name] = copy.ids.get(name, {})

    def new_books(self, home: Member) -> None:
        """What staff do where a home's folder is lost, or top-ups are refused."""
        for name in self.names[home.index::len(self.world.list)]:
            self.other_books(name)

    def other_books(self, name: str) -> None:
        rules = self.rules[name]
        rules = self.rules[name] = replace(rules, books=str(int(rules.books) + 1))
        for purse in self.users[name].values():
            purse.uses[name].wallet.rules = rules

    def leaves(self, member: Member) -> None:
        for use in list(self.purses[member.name].uses.values()):
            if use.wallet.loaded and use.wallet.account.row.number:
                use.wallet.leave(self.world.now)

    def ended(self, member: Member, told: bool) -> None:
        purse = self.purses[member.name]
        if told:
            purse.close()
        elif purse.batch and self.chance.random() < 0.5:
            purse.to_disk()
        for name in purse.uses:
            self.users[name].pop(member.name, None)

    def copied(self, member: Member) -> None:
        self.copies.setdefault(member.name, []).insert(0, self.purses[member.name].disk.copy())

    def woke(self, member: Member) -> None:
        """What came meanwhile has lain in its socket."""

    # What may still be spent, from outside.

    def held(self) -> dict[Account, int]:
        """By those that may spend it; of the unsure ones nothing."""
        held: dict[Account, int] = {}
        for purse in self.purses.values():
            in_use = purse.uses if purse.member.alive else {}
            for name, use in in_use.items():
                if not use.wallet.unsure:
                    account = use.wallet.account
                    held[name, purse.member.name, account.row.account] = account.held
            for name, rows in purse.disk.rows.items():
                if name not in in_use and (name, max(rows)) not in purse.disk.old:
                    row, kept = decode_row(rows[max(rows)])
                    if kept.boot == purse.member.boot:
                        held[name, purse.member.name, row.account] = row.rights()
        return held
