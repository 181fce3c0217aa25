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

from ....decisions.shared.registers import SWEEP_PREFIX, Register, RegisterStore
from ....decisions.wallet.account import Row, Trust
from ....decisions.wallet.tombstones import ABOUT, TombstoneRegistry
from ....decisions.wallet.wallet import Rules, Wallet
from ....program.fleet.wallet import PACE, decode_row, encode_row
from ....protocol import wallet as words
from .ledger import Account, Broken, Ledger
from .world import CATCH_UP, Member, World

WRITE = 0.004  # seconds that a batch takes on disk
SLOW, SLOW_WRITE = 0.03, (0.05, 2.0)  # the part of them that takes so long
TOLD = 10.0  # seconds after which a row has been told to others, where nothing is cut
ROOM = 10**6  # batches of one life at most
MOST = 20_000  # cells of wallets that a member keeps
BYSTANDERS = 3  # members that hear an unsure one, beside those that use the wallet
Make = Callable[..., Wallet]


class Disk:
    """What outlasts a member's process."""

    __slots__ = ("ids", "number", "old", "rows")

    def __init__(self) -> None:
        self.number = 0  # of the last batch
        self.rows: dict[str, dict[int, bytes]] = {}  # by wallet and account
        self.ids: dict[str, dict[str, int]] = {}
        self.old: set[tuple[str, int]] = set()  # accounts that were noticed as older copies

    def copy(self) -> Disk:
        made = Disk()
        made.rows = {name: dict(rows) for name, rows in self.rows.items()}
        made.ids = {name: dict(ids) for name, ids in self.ids.items()}
        made.old, made.number = set(self.old), self.number
        return made


class Told(TombstoneRegistry):
    """Knows what its member has heard of, or would have by now."""

    def __init__(self, purse: Purse, found: int) -> None:
        super().__init__(purse.cells, purse.fleet.world.now, found, ROOM)
        self.purse = purse

    def plan(self) -> None:
        super().plan()
        self.purse.plan_sweep()

    def mark_of(self, member: str) -> int:
        swept = self.purse.fleet.known_sweep(self.purse.member, member)
        return max(super().mark_of(member), self.number_of(swept.value.partition(b" ")[2]) if swept else 0)

    def claimant(self, members: Iterable[str], wallet: str, books: str) -> str:
        return ""  # there is one file for all


class Use:
    """One wallet at one member, in one life of it: its host."""

    __slots__ = ("boot", "name", "planned", "purse", "urged", "wallet")

    def __init__(self, purse: Purse, name: str) -> None:
        self.purse, self.name, self.urged, self.planned, self.boot = purse, name, False, 0, 0
        fleet = purse.fleet
        self.wallet = fleet.make(
            name,
            purse.member.name,
            purse.member.life,
            fleet.rules[name],
            self,
            fleet.world.now,
            fleet.chance.randrange(512),
            purse.register,
        )

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
        known = self.wallet.reports
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
        self.cells = RegisterStore(member.name, member.life)
        self.cells.on_change("wallet/", self.heard)
        self.register = Told(self, disk.number)
        self.sweep_at = math.inf
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
            trust = (
                Trust.OLD
                if (name, last) in disk.old or self.register.old > self.register.found
                else Trust.SURE
                if kept.boot == member.boot
                else Trust.UNSURE
            )
            use.wallet.load(now, row, ids, [found[a][0] for a in sorted(found) if a != last], trust)
        use.wallet.begun_at = member.started  # the program loads all at its start
        caught_up = member.started + member.catch_up
        if now >= caught_up:
            fleet.replay(self, name)
        else:
            fleet.world.later(member, caught_up - now, partial(fleet.replay, self, name))
        return use

    def begin(self) -> None:
        """Loads what is not at rest: its word is told again. A home that is sure has none to tell."""
        fleet, disk = self.fleet, self.disk
        for name, rows in list(disk.rows.items()):
            _, kept = decode_row(rows[max(rows)])
            sure = kept.boot == self.member.boot and (name, max(rows)) not in disk.old
            silent = (
                sure
                and fleet.rules[name].home == self.member.name
                and not any(owner != self.member.name for owner, _ in fleet.board[name])
            )
            if not (kept.rests or silent):
                self.use(name)
        fleet.world.later(self.member, self.member.catch_up, self.hear_old)

    def hear_old(self) -> None:
        """What the others have of its earlier lives."""
        fleet, own = self.fleet, self.member.name
        swept = fleet.swept.get(own)
        if swept is not None and self.register.on_own_register(swept):
            homes = fleet.names[self.member.index :: len(fleet.world.list)]
            for name in dict.fromkeys([*self.disk.rows, *homes]):
                self.use(name).wallet.on_outdated_folder(fleet.world.now)
        if swept is not None or fleet.owned.get(own):
            self.register.plan()
        told = {*fleet.addressed.get(own, {}).values(), *fleet.owned.get(own, {}).values()}
        for name in sorted(told - self.uses.keys()):
            self.use(name)

    @property
    def sure(self) -> bool:
        return not any(use.wallet.unsure for use in self.uses.values())

    def plan_sweep(self) -> None:
        if self.register.due < self.sweep_at:
            self.sweep_at = self.register.due
            world = self.fleet.world
            world.later(self.member, self.sweep_at - world.now, self.sweep)

    def sweep(self) -> None:
        self.sweep_at, now = math.inf, self.fleet.world.now
        if self.member.leaving:
            return
        if now < self.register.due:
            pass
        elif not self.sure or self.batch:
            self.register.due = now + 2.0
        else:
            if not self.register.ready:
                self.batch_done()
            self.register.sweep(now)
            self.fleet.swept_by(self)
        if self.register.due < math.inf:
            self.plan_sweep()

    def batch_done(self) -> None:
        self.disk.number = max(self.disk.number, self.register.over if self.sure else 0) + 1
        self.register.written(self.disk.number)

    def take(self, cell: Register) -> None:
        """A cell that has come; it is about a wallet that this one has to do with, or about all of one's."""
        if not cell.name.startswith(SWEEP_PREFIX):
            self.use(cell.name.split("/", 2)[1])
        self.cells.merge(self.fleet.world.now, cell)
        self.cells.unsent.clear()  # the model carries it on

    def heard(self, now: float, cell: Register) -> None:
        name, _, to = cell.name.removeprefix("wallet/").partition("/t/")
        use = self.uses.get(name)
        if use is None or (to and to != words.short(self.member.name)):
            return
        if not cell.value:
            if cell.owner != self.member.name:
                (use.wallet.on_pair_deleted if to else use.wallet.on_report_deleted)(now, cell.owner)
        elif to:
            if cell.owner != self.member.name:
                use.wallet.on_pair(now, cell.owner, words.decode_pair(cell.value))
        elif cell.owner != self.member.name:
            use.wallet.on_word(now, cell.owner, words.decode_word(cell.value))
        elif cell.incarnation < self.member.life:
            use.wallet.on_own(now, words.decode_word(cell.value))

    # The disk: one batch at a time, whole or not at all.

    def stage(self) -> None:
        for use in self.unsaved.values():
            account = use.wallet.account
            row = account.stage()
            if row is not None:
                if not use.wallet.unsure:
                    use.boot = self.member.boot
                self.batch.append(
                    (
                        use,
                        row,
                        encode_row(row, use.boot, use.wallet.rules),
                        {id: account.ids[id] for id in account.ids_writing},
                    )
                )
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
        if batch:
            self.batch_done()
        for use, row, value, ids in batch:
            self.disk.rows.setdefault(use.name, {})[row.account] = value
            self.fleet.holders[use.name].add(self.member.name)
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

    def __init__(
        self,
        world: World,
        ledger: Ledger,
        wallets: int,
        seed: int,
        make: Make = Wallet,
        slow: float = SLOW,
        most: int = MOST,
    ) -> None:
        """Half of the wallets have `rejoin = "new"`."""
        self.world, self.ledger, self.make, self.slow = world, ledger, make, slow
        self.chance = random.Random(f"{seed} wallets")
        self.names = [f"w{n:05}" for n in range(wallets)]
        self.rules = {
            name: Rules(
                world.list[n % len(world.list)].name,
                reserve=50 if n % 5 == 0 else 0,
                eager=wallets <= 200,
                rejoin="new" if n % 2 else "heard",
            )
            for n, name in enumerate(self.names)
        }
        self.users: dict[str, dict[str, Purse]] = {name: {} for name in self.names}
        self.board: dict[str, dict[tuple[str, str], Register]] = {name: {} for name in self.names}
        self.owned: dict[str, dict[str, str]] = {}  # by owner: its cells on the board, and of which wallet
        self.addressed: dict[str, dict[tuple[str, str], str]] = {}  # by who is to hear: key, and its wallet
        self.swept: dict[str, Register] = {}
        self.swept_at: dict[str, float] = {}
        self.holders: dict[str, set[str]] = {name: set() for name in self.names}  # have a row of it
        self.most, self.refused, self.cells_most = most, 0, 0  # the last since it was last looked at
        self.held_up: dict[
            tuple[str, str], tuple[Purse, str, Register, tuple[str, ...]]
        ] = {}  # no room for it
        self.earlier: dict[
            tuple[str, str], tuple[float, Register]
        ] = {}  # a word that a new life has replaced
        self.told_at: dict[tuple[str, str], float] = {}
        self.others: dict[str, set[str]] = {name: set() for name in self.names}  # were asked as bystanders
        self.missed: set[str] = set()  # wallets of which something was told in a cut
        self.missed_sweeps: set[str] = set()  # by owner
        self.events: dict[str, int] = {}
        self.cells = self.bytes = self.told = 0  # on the board; words ever
        self.told_bytes = 0
        self.copies: dict[str, list[Disk]] = {}
        self.purses = {m.name: Purse(self, m, Disk()) for m in world.list}
        world.parts.append(self)

    # How words travel.

    def tell(self, purse: Purse, name: str, cell_name: str, value: bytes, toward: tuple[str, ...]) -> None:
        cell = purse.cells.write(self.world.now, cell_name, value, toward)
        purse.cells.unsent.clear()
        self.carry(purse, name, cell, toward)

    def carry(self, purse: Purse, name: str, cell: Register, toward: tuple[str, ...]) -> None:
        world, owner, cell_name, value = self.world, purse.member, cell.name, cell.value
        board, key = self.board[name], (owner.name, cell_name)
        before = board.get(key)
        size = self.size(cell)
        self.told += 1
        self.told_bytes += size
        if before is None and self.cells >= self.most:  # as `Cells.heard` of all others
            self.refused += 1
            self.held_up[key] = purse, name, cell, toward
            if self.refused == 1:
                self.ledger.broken.append(
                    Broken(world.now, "refused", name, f"a cell, as {self.cells} are there already")
                )
            return
        if before is None:
            self.cells += 1
            self.cells_most = max(self.cells_most, self.cells)
            self.bytes += size
            self.owned.setdefault(owner.name, {})[cell_name] = name
            if to := cell_name.partition("/t/")[2]:
                self.addressed.setdefault(to, {})[key] = name
        else:
            self.bytes += len(value) - len(before.value)
            if before.incarnation != cell.incarnation and "/t/" not in cell_name:
                self.earlier[key] = world.now, before
        board[key] = cell
        to = cell_name.partition("/t/")[2]
        if to:
            for number, to_number, total in words.decode_pair(value).entries if value else ():
                self.ledger.gift(name, owner.name, number, to, to_number, total)
            hearers = [self.purses[to]] if to in self.purses else []
        else:
            self.told_at[owner.name, name] = world.now
            there = [
                *self.users[name],
                *sorted({self.rules[name].home, *toward, *self.holders[name]} - self.users[name].keys()),
            ]
            hearers = [self.purses[m] for m in there if m != owner.name]
            if words.decode_word(value).unsure:
                hearers += self.bystanders(purse, name)
        for hearer in hearers:
            if not world.send(
                owner,
                hearer.member,
                partial(self.take, hearer, cell),
                to == hearer.member.name or hearer.member.name in toward,
            ):
                self.missed.add(name)

    def size(self, cell: Register) -> int:
        return len(cell.value) + len(cell.name) + len(cell.owner) + 32  # as `Spread.size`

    def swept_by(self, purse: Purse) -> None:
        """What is left of its cells, by the real class: those told once more, then what is gone."""
        world, owner, cells = self.world, purse.member, purse.cells
        again = [cells.by_name[name][own].register for own, name in cells.unsent if own == owner.name]
        cells.unsent.clear()
        hearers: dict[str, Purse] = {}
        for cell in again:
            if not cell.name.startswith(SWEEP_PREFIX):
                self.carry(purse, cell.name.split("/", 2)[1], cell, ())
                continue
            self.swept[owner.name], self.swept_at[owner.name] = cell, world.now
            self.told += 1
            self.told_bytes += self.size(cell)
            floor = cells.swept_up_to[owner.name, ABOUT]
            for cell_name, name in list(self.owned.get(owner.name, {}).items()):
                gone = self.board[name][owner.name, cell_name]
                if gone.order <= floor:
                    del self.board[name][owner.name, cell_name], self.owned[owner.name][cell_name]
                    self.earlier.pop((owner.name, cell_name), None)
                    self.addressed.get(cell_name.partition("/t/")[2], {}).pop((owner.name, cell_name), None)
                    self.cells -= 1
                    self.bytes -= self.size(gone)
                    hearers.update((m, p) for m, p in self.users[name].items() if p is not purse)
            for hearer in hearers.values():
                if not world.send(owner, hearer.member, partial(self.take, hearer, cell)):
                    self.missed_sweeps.add(owner.name)
        for key in list(self.held_up):
            if self.cells < self.most:
                waiting, name, cell, toward = self.held_up.pop(key)
                if self.purses[waiting.member.name] is waiting:
                    self.carry(waiting, name, cell, toward)

    def known_sweep(self, by: Member, of: str) -> Register | None:
        swept = self.swept.get(of)
        there = self.world.members[of].side == by.side or not self.world.splits
        heard = max(self.swept_at.get(of, 0.0), by.started) + CATCH_UP[1]
        return swept if there and heard <= self.world.now else None

    def take(self, purse: Purse, cell: Register) -> None:
        if self.purses[purse.member.name] is purse:
            purse.take(cell)

    def bystanders(self, purse: Purse, name: str) -> list[Purse]:
        home = self.rules[name].home
        some = [
            self.purses[home],
            *(
                self.purses[m.name]
                for m in self.chance.sample(self.world.list, min(BYSTANDERS, len(self.world.list)))
            ),
        ]
        self.others[name].update(p.member.name for p in some)
        return [
            p
            for n, p in enumerate(some)
            if p is not purse and p not in some[:n] and p.member.name not in self.users[name]
        ]

    def replay(self, purse: Purse, name: str) -> None:
        """What it has heard of a wallet, or would have, by now."""
        member, world = purse.member, self.world
        for (owner, cell_name), cell in list(self.board[name].items()):
            to = cell_name.partition("/t/")[2]
            if (to and to != member.name) or not (
                owner == member.name or world.members[owner].side == member.side
            ):
                continue
            earlier = self.earlier.get((owner, cell_name))
            if earlier is not None and earlier[0] > member.started + member.catch_up:
                purse.cells.merge(world.now, earlier[1])
            purse.cells.merge(world.now, cell)
        purse.cells.unsent.clear()

    def healed(self) -> None:
        missed, self.missed = self.missed, set()
        sweeps, self.missed_sweeps = self.missed_sweeps, set()
        for owner_name in sorted(sweeps):
            owner, cell = self.world.members[owner_name], self.swept[owner_name]
            for purse in self.purses.values():
                member = purse.member
                if owner_name not in purse.cells.by_owner or member is owner or not member.alive:
                    continue
                if member.side != owner.side:
                    self.missed_sweeps.add(owner_name)
                else:
                    self.world.later(member, self.chance.uniform(*CATCH_UP), partial(self.take, purse, cell))
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
                        self.world.later(
                            member, self.chance.uniform(*CATCH_UP), partial(self.take, purse, cell)
                        )

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
        self.purses[member.name].begin()
        self.missed |= {name for name in disk.rows if name in self.missed}

    def set_back(self, member: Member, disk: Disk, copy: Disk) -> None:
        """Unnoticed by files. Where an unsure member goes by what others have heard, only to rows after which
        a later one was told in time: more cannot be proved, as the design says."""
        swept = self.swept.get(member.name)
        calm = (
            not self.world.splits
            and not self.world.deaf
            and self.world.now - self.swept_at.get(member.name, math.inf) > TOLD
        )
        if (
            swept is not None
            and calm
            and self.purses[member.name].register.number_of(swept.value.partition(b" ")[2]) > copy.number
        ):
            disk.rows, disk.ids, disk.number = copy.rows, copy.ids, copy.number  # the whole of it
            return
        for name, rows in copy.rows.items():
            told = self.board[name].get((member.name, words.word_cell(name)))
            heard = (
                told is not None
                and not self.world.splits
                and not self.world.deaf
                and self.world.now - self.told_at[member.name, name] > TOLD
            )
            last = max(rows)
            if self.rules[name].rejoin == "new" or (
                heard
                and told is not None
                and (words.decode_word(told.value).account, words.decode_word(told.value).row)
                > (last, decode_row(rows[last])[0].number)
            ):
                disk.rows[name] = rows
                disk.ids[name] = copy.ids.get(name, {})

    def new_books(self, home: Member) -> None:
        """What staff do where a home's folder is lost, or top-ups are refused."""
        for name in self.names[home.index :: len(self.world.list)]:
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
