"""Wallets in the program: the table of the operator's file, the store, the shared cells, the console."""

from __future__ import annotations

import contextlib
import heapq
import logging
import math
import re
import secrets
import socket
import time
from collections.abc import Iterable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec

from ...decisions.members.member import Member, MemberStatus
from ...decisions.shared.registers import MAX_NAME, Register
from ...decisions.wallet.account import SHIFT, Row, Trust
from ...decisions.wallet.register import SWEEP, TombstoneRegistry
from ...decisions.wallet.wallet import KNOWS, Rules, Wallet
from ...errors import Trouble
from ...protocol import wallet as words
from ...protocol.wallet import Kept as KeptRow
from ...protocol.wallet import UnreadableWord
from ...routing.core import Taker
from ...routing.wallet import Purse, WalletGate
from ...store.kept import MOST_WAIT, Done, Found, Kept, StoreHeld
from ...transport.loop import Coroutine
from ..config import Config
from ..tables import shape
from .ground import Answer, Ground

log = logging.getLogger("rainspindle.wallet")

NAME = re.compile(rf"[A-Za-z0-9][A-Za-z0-9_.-]{{0,{words.MOST_NAME - 1}}}")
ID = re.compile(r"[!-~]{1,100}")
MOST_WALLETS, MOST_EAGER = 100_000, 200  # up to the latter each member holds a piece of each from the start
MOST_UNITS = 10**15
BATCH = 2_000  # rows in one transaction at most
STALLED = 2.0  # seconds that a write may take before it is told
AGAIN = 1.0  # seconds after which a write that failed is tried again
PACE = 0.01  # seconds between two looks at one wallet
SHOWN = 1_000  # wallets in one answer of the console


class WalletPart(msgspec.Struct, forbid_unknown_fields=True):
    name: str
    home: str  # the member where top-ups enter
    tenant: int | None = None  # its number in the settings
    match: list[str] = []  # traffic types; all of them where empty
    price: int = 1  # units for an exchange
    prices: dict[str, int] = {}  # by traffic type, where another
    reserve: int = 0  # units that binding exchanges alone may use
    piece: int = 20  # units written ahead at once, at least
    alone: float = 60.0  # seconds of its traffic for which a member keeps rights
    come_back: float = 5.0  # seconds, told to clients while it is paused
    repeat: float = 60.0  # seconds for which an exchange's X-Request-ID is remembered
    books: str = "1"  # ids of top-ups are told apart within it
    rejoin: str = "heard"  # or "new"
    rest: float = 300.0  # seconds without an exchange after which its use at a member ends
    eager: bool | None = None  # whether members without traffic hold a piece: while there are few wallets


class WalletTrouble(Trouble):
    """A call that can't be done as it is."""

    remedy = "see GET /-/wallets"


class NotHome(WalletTrouble):
    """Top-ups and write-offs go to the one home."""

    def __init__(self, wallet: str, home: str) -> None:
        super().__init__(
            f"top-ups and write-offs of {wallet} are taken at {home} alone",
            f"make the same call, with the same id, at the console of {home}",
        )


class NotReady(WalletTrouble):
    """The wallet's row is not known yet, or may not be the last."""

    remedy = "repeat the call; if this lasts, the log names what the folder or the other members lack"


def unfit(tables: Any, config: Config, folder: Path | None) -> Iterator[str]:
    """Every fault of the `[[wallet]]` tables, each with its path."""
    if not isinstance(tables, list):
        yield "wallet: expected a list of tables, [[wallet]]"
        return
    if tables and folder is None:
        yield (
            "members.folder: missing; wallets need a folder of this member alone that outlasts it and the "
            "machine's restarts: name one, or take the wallets out of this member's file"
        )
    if len(tables) > MOST_WALLETS:
        yield f"wallet: {len(tables)} tables; {MOST_WALLETS} at most"
        return
    types = config.settings.type_names
    tenants = len(config.raw_settings.get("tenants") or [])
    paid: dict[tuple[int | None, str], str] = {}
    names: set[str] = set()
    for n, table in enumerate(tables):
        at = f"wallet[{n}]"
        faults = list(shape(table, WalletPart, at))
        yield from faults
        if faults:
            continue
        part = msgspec.convert(table, WalletPart)
        if not NAME.fullmatch(part.name):
            yield f"{at}.name: is {part.name!r:.60}; expected 1 to {words.MOST_NAME} of A-Z a-z 0-9 _ . -"
        elif part.name in names:
            yield f"{at}.name: {part.name!r} is there twice"
        names.add(part.name)
        if not part.home or len(part.home) > 100:
            yield f"{at}.home: is {part.home!r:.40}; expected a member's name"
        if not part.books or len(part.books) > 40 or not ID.fullmatch(part.books) or "/" in part.books:
            yield f"{at}.books: is {part.books!r:.60}; expected 1 to 40 characters without blanks and '/'"
        if part.tenant is not None and not 0 <= part.tenant < max(tenants, 1):
            yield f"{at}.tenant: is {part.tenant}; the settings have {tenants} tenants, counted from 0"
        if part.rejoin not in ("heard", "new"):
            yield f"{at}.rejoin: is {part.rejoin!r:.40}; expected 'heard' or 'new'"
        for key, of in (("match", part.match), ("prices", list(part.prices))):
            for name in of:
                if name not in types:
                    yield f"{at}.{key}: {name!r:.40} is no traffic type; there are {', '.join(types)}"
        for key, value, low, high in (
            ("price", part.price, 0, MOST_UNITS),
            ("reserve", part.reserve, 0, MOST_UNITS),
            ("piece", part.piece, 1, MOST_UNITS),
            ("alone", part.alone, 1.0, 86_400.0),
            ("come_back", part.come_back, 0.1, 3_600.0),
            ("repeat", part.repeat, 0.0, 3_600.0),
            ("rest", part.rest, 1.0, 86_400.0),
            *((f"prices.{name}", price, 0, MOST_UNITS) for name, price in part.prices.items()),
        ):
            if not low <= value <= high:
                yield f"{at}.{key}: is {value}; expected {low} to {high}"
        for name in part.match or types:
            other = paid.setdefault((part.tenant, name), part.name)
            if other != part.name:
                yield f"{at}.match: {name!r} of this tenant is already paid from {other!r}"


def rules_of(part: WalletPart, types: Sequence[str], eager: bool) -> Rules:
    prices = [part.prices.get(name, part.price) for name in part.match or types]
    return Rules(
        part.home,
        part.piece,
        part.reserve,
        part.alone,
        part.come_back,
        max(min(prices), 1),
        max(*prices, 1),
        eager if part.eager is None else part.eager,
        part.books,
        part.rejoin,
        part.rest,
    )


def encode_row(row: Row, boot: int, rules: Rules) -> bytes:
    return words.encode(
        KeptRow(
            words.VERSION,
            row.account,
            row.number,
            row.spent,
            row.back,
            row.topped,
            [(*who, total) for who, total in row.given.items()],
            [(*who, total) for who, total in row.got.items()],
            list(row.off.items()),
            row.barred,
            boot,
            rules.home,
            rules.books,
            row.rests,
        )
    )


def decode_row(value: bytes) -> tuple[Row, KeptRow]:
    """And all that was kept with it. Raises UnreadableWord."""
    kept = words.decode_kept(value)
    return Row(
        kept.account,
        kept.row,
        kept.spent,
        kept.back,
        kept.topped,
        {(name, account): total for name, account, total in kept.given},
        {(name, account): total for name, account, total in kept.got},
        dict(kept.off),
        kept.barred,
        kept.rests,
    ), kept


class WalletRun:
    """All wallets of this member."""

    def __init__(self, ground: Ground, tables: Any) -> None:
        """`tables`: those of the file, found fit. Nothing is spent before the store is open."""
        self.ground, self.loop, self.cells = ground, ground.loop, ground.cells
        self.own = ground.members.own_name
        self.wallets: dict[str, Wallet] = {}
        self.shelf: dict[str, Wallet] = {}  # taken out of the file
        self.parts: dict[str, WalletPart] = {}
        self.purses: dict[tuple[int | None, int], Purse] = {}
        self.gates: list[WalletGate] = []
        self.due: list[tuple[float, int, Wallet]] = []
        self.urged: set[Wallet] = set()
        self.numbers = 0
        self.unsaved: set[Wallet] = set()
        self.unsure: set[Wallet] = set()
        self.batch: list[Wallet] = []
        self.batch_number, self.batch_at = 0, math.inf
        self.again_at = -math.inf
        self.troubled = self.stalled = self.handed_on = self.leaving = self.closed = False
        self.handing = False
        self.found: Found | None = None
        self.unclaimed: dict[str, dict[str, bytes]] = {}  # rows of wallets, by name
        self.boots: dict[Wallet, int] = {}
        self.unread = 0
        self.others: tuple[str, ...] = ()
        self.met_at = math.inf  # since when there are others
        self.told, self.teller = socket.socketpair()
        self.told.setblocking(False)
        self.teller.setblocking(False)
        self.loop.watch(self.told.fileno(), self)
        if ground.folder is None:
            raise WalletTrouble("wallets need a folder that lasts", "name one in [members] folder")
        self.store = Kept(ground.folder, "wallets", self.own, self.store_told)
        self.register = TombstoneRegistry(self.cells, self.loop.now())
        self.take_members()
        self.take_tables(self.loop.now(), tables)
        self.cells.on_change("wallet/", self.heard)
        self.cells.on_change("swept/wallet", self.heard_own)
        self.store.start()
        self.worker = self.loop.spawn(self.loop.lasting(self.work))

    def taker(self, inner: Taker) -> Taker:
        gate = WalletGate(self.loop, inner)
        gate.purses = self.purses
        self.gates.append(gate)
        return gate

    # The file.

    def take_tables(self, now: float, tables: Any) -> list[str]:
        parts = (t if isinstance(t, WalletPart) else msgspec.convert(t, WalletPart) for t in tables)
        new = {part.name: part for part in parts}
        later = list[str]()
        types, binding = self.ground.config.settings.type_names, self.ground.config.settings.binding
        eager = len(new) <= MOST_EAGER
        for name in self.wallets.keys() - new.keys():
            wallet = self.shelf[name] = self.wallets.pop(name)
            wallet.put_away(now)
            log.info(
                "wallet: not in the file any more",
                extra={"fields": {"wallet": name, "held": wallet.account.held}},
            )
        self.register.pace = min([SWEEP, *(part.rest / 5 for part in new.values())])
        self.purses.clear()
        for name, part in new.items():
            before = self.parts.get(name)
            if before is not None and before.home != part.home and before.books == part.books:
                later.append(
                    f"wallet {name}: another home needs other books too, as it does not know "
                    "the ids of earlier top-ups"
                )
                part = msgspec.structs.replace(part, home=before.home)
            self.parts[name] = part
            rules = rules_of(part, types, eager)
            wallet = (
                self.wallets.get(name)
                or self.shelf.pop(name, None)
                or Wallet(
                    name,
                    self.own,
                    self.ground.members.own_incarnation,
                    rules,
                    self,
                    now,
                    secrets.randbits(9),
                    self.register,
                )
            )
            fresh = name not in self.wallets
            if wallet.rules != rules:
                wallet.speak()
            wallet.rules, self.wallets[name] = rules, wallet
            if fresh and wallet.loaded:
                wallet.out = False
                self.replay(now, wallet)
                self.urge(wallet)
            elif fresh and self.found is not None:
                self.load(now, wallet)
            for type_name in part.match or types:
                index = types.index(type_name)
                self.purses[part.tenant, index] = Purse(
                    wallet, part.prices.get(type_name, part.price), binding[index], part.repeat
                )
        return later

    def reload(self, now: float, tables: Any) -> list[str]:
        return self.take_tables(now, tables)

    # The members and their cells.

    def take_members(self) -> None:
        if not self.others:
            self.met_at = self.loop.now()
        self.others = tuple(
            m.name
            for m in self.ground.members.members()
            if m.name != self.own and m.status is MemberStatus.ALIVE
        )

    def member_changed(self, now: float, before: Member | None, after: Member) -> None:
        self.take_members()

    def alive(self) -> Iterable[str]:
        return self.others

    def heard(self, now: float, cell: Register) -> None:
        name, _, to = cell.name.removeprefix("wallet/").partition("/t/")
        wallet = self.wallets.get(name)
        if cell.owner == self.own:
            self.heard_own(now, cell)
        if wallet is None or (to and to != words.short(self.own)):
            return
        try:
            if not cell.value:
                if cell.owner != self.own:
                    (wallet.on_pair_gone if to else wallet.on_gone)(now, cell.owner)
            elif to:
                if cell.owner != self.own:
                    wallet.on_pair(now, cell.owner, words.decode_pair(cell.value))
            elif cell.owner == self.own:
                if cell.incarnation < self.ground.members.own_incarnation:
                    wallet.on_own(now, words.decode_word(cell.value))
            else:
                wallet.on_word(now, cell.owner, words.decode_word(cell.value))
        except UnreadableWord as fault:
            self.unread += 1
            if self.unread == 1:
                log.warning(
                    "unreadable word",
                    extra={"fields": {"from": cell.owner, "why": fault, "remedy": fault.remedy}},
                )

    def heard_own(self, now: float, cell: Register) -> None:
        if cell.owner == self.own and cell.incarnation < self.ground.members.own_incarnation and cell.value:
            older = self.register.old
            if self.register.heard_own(cell) and self.register.old > older and self.found is not None:
                self.older_folder(now)
            self.worker.wake()

    def older_folder(self, now: float) -> None:
        log.error(
            "wallets: others know a later state of this folder, what it holds is not spent",
            extra={
                "fields": {
                    "folder": self.ground.folder,
                    "remedy": "stop the process and move the "
                    "newest folder back, or write the old life off at the home",
                }
            },
        )
        for wallet in self.wallets.values():
            wallet.older_folder(now)

    def replay(self, now: float, wallet: Wallet) -> None:
        """What was told while this wallet was not looked at."""
        for name in (words.word_cell(wallet.name), words.pair_cell(wallet.name, self.own)):
            for seen in list(self.cells.named(name).values()):
                if (
                    seen.register.owner != self.own
                    or seen.register.incarnation < self.ground.members.own_incarnation
                ):
                    self.heard(now, seen.register)

    def tell(self, now: float, cell: str, value: bytes, toward: tuple[str, ...]) -> None:
        if len(cell) <= MAX_NAME:
            self.cells.write(now, cell, value, toward)

    def log(self, event: str, **fields: object) -> None:
        log.info(event, extra={"fields": fields})

    # The store.

    def store_told(self) -> None:
        """In the store's thread."""
        with contextlib.suppress(OSError):
            self.teller.send(b"x")

    def on_events(self, events: int) -> None:
        with contextlib.suppress(OSError):
            while self.told.recv(4096):
                pass
        now = self.loop.now()
        while self.store.results:
            self.take(now, self.store.results.popleft())
        self.begin_batch(now)
        if self.handing and not self.batch and not self.unsaved and not self.handed_on:
            self.handed_on = True
            self.store.end()

    def take(self, now: float, done: Done) -> None:
        if done.found is not None:
            self.opened(now, done.found)
        elif done.wanted:
            self.hand_on(now)
        elif done.trouble is not None:
            if isinstance(done.trouble, StoreHeld):
                log.info(
                    "wallets: wait for the process before this one",
                    extra={"fields": {"why": done.trouble, "remedy": done.trouble.remedy}},
                )
            elif not self.troubled:
                self.troubled = True
                log.error(
                    "wallets can't be written: spending goes on by what is written",
                    extra={"fields": {"why": done.trouble, "remedy": done.trouble.remedy}},
                )
            if done.batch:
                for wallet in self.batch:
                    wallet.account.failed()
                    self.unsaved.add(wallet)
                self.batch, self.batch_at, self.again_at = [], math.inf, now + AGAIN
                self.worker.wake()
        elif done.batch == self.batch_number:
            if self.troubled or self.stalled:
                self.troubled = self.stalled = False
                log.info("wallets are written again")
            batch, self.batch, self.batch_at = self.batch, [], math.inf
            self.register.written(done.number)
            for wallet in batch:
                wallet.written(now)

    def opened(self, now: float, found: Found) -> None:
        self.found = found
        self.register.opened(found.number)
        if self.troubled:
            self.troubled = False
            log.info("wallets are open", extra={"fields": {"folder": self.ground.folder}})
        if not found.newest and not found.fresh:
            log.error(
                "wallets: the folder is not the one that was written last, what it holds is not spent",
                extra={
                    "fields": {
                        "why": found.why,
                        "remedy": "stop the process and move the newest "
                        "folder back, or write the old life off at the home",
                    }
                },
            )
        for key, value in found.rows.items():
            self.unclaimed.setdefault(key.lstrip("-#").partition("/")[0], {})[key] = value
        for wallet in self.wallets.values():
            self.load(now, wallet)
        if self.register.old > found.number:
            self.older_folder(now)

    def load(self, now: float, wallet: Wallet) -> None:
        assert self.found is not None
        rows, old, ids = dict[int, tuple[Row, KeptRow, bool]](), list[Row](), dict[str, int]()
        for key, value in self.unclaimed.pop(wallet.name, {}).items():
            try:
                if key.startswith("#"):
                    ids[key.partition("/")[2]] = int(value)
                else:
                    row, kept = decode_row(value)
                    rows[row.account] = row, kept, key.startswith("-")
            except (UnreadableWord, ValueError) as fault:
                log.error(
                    "wallet: a row is unreadable, the wallet stays paused here",
                    extra={
                        "fields": {
                            "wallet": wallet.name,
                            "why": fault,
                            "remedy": getattr(fault, "remedy", Trouble.remedy),
                        }
                    },
                )
                return
        if not rows:
            self.boots[wallet] = self.found.boot
            wallet.load(now, None, ids, [], Trust.SURE)
            if not (self.found.newest or self.found.fresh):
                wallet.came_home()  # a row may have been there
        else:
            last = max(rows)
            row, kept, aged = rows[last]
            self.boots[wallet] = kept.boot
            old = [rows[account][0] for account in sorted(rows) if account != last]
            trust = (
                Trust.OLD
                if aged or self.register.old > self.found.number
                else (Trust.SURE if self.boots[wallet] == self.found.boot else Trust.UNSURE)
            )
            wallet.load(now, row, ids, old, trust)
            if wallet.unsure:
                self.unsure.add(wallet)
            if kept.home not in ("", self.own) and kept.books == wallet.rules.books:
                wallet.came_home()
        self.replay(now, wallet)

    def save(self, wallet: Wallet) -> None:
        self.unsaved.add(wallet)
        if not self.batch:
            self.worker.wake()

    def begin_batch(self, now: float) -> None:
        if self.batch or not self.unsaved or self.found is None or self.handed_on or now < self.again_at:
            return
        rows = dict[str, bytes]()
        for wallet in list(self.unsaved)[:BATCH]:
            self.unsaved.discard(wallet)
            row = wallet.account.stage()
            if row is None:
                continue
            if not wallet.unsure:
                self.boots[wallet] = self.found.boot
            rows[f"{wallet.name}/{row.account}"] = encode_row(row, self.boots[wallet], wallet.rules)
            for id in wallet.account.ids_writing:
                rows[f"#{wallet.name}/{id}"] = b"%d" % wallet.account.ids[id]
            self.batch.append(wallet)
        if rows:
            self.write(now, rows)

    def write(self, now: float, rows: dict[str, bytes]) -> None:
        self.batch_number, self.batch_at = self.batch_number + 1, now
        self.store.write(rows, self.batch_number, self.register.over if self.all_sure() else 0)

    def all_sure(self) -> bool:
        self.unsure = {wallet for wallet in self.unsure if wallet.unsure}
        return not self.unsure

    def sweep(self, now: float) -> float:
        """Takes away the cells that are needed no more; when to look again."""
        if self.batch_at < math.inf or self.found is None or self.handing:
            return math.inf  # until that has been told
        at = max(self.register.due, self.again_at)
        if now < at:
            return at
        # Guards against own words that tell of a later row, swept away before they were heard of here.
        if not self.all_sure() or not self.others or now - self.met_at < min(KNOWS, self.register.pace):
            return now + min(STALLED, self.register.pace)
        if self.register.ready:
            self.register.sweep(now)
            return math.inf
        self.write(now, {})
        return math.inf

    def hand_on(self, now: float) -> None:
        """A process that came later waits for the folder: this one spends no more."""
        log.info("wallets: handed on to the process that came later")
        self.handing = True
        for wallet in self.wallets.values():
            wallet.put_away(now)
        self.begin_batch(now)

    # Time.

    def urge(self, wallet: Wallet) -> None:
        if wallet not in self.urged:
            self.urged.add(wallet)
            self.worker.wake()

    def work(self) -> Coroutine[None]:
        while not self.closed:
            yield max(self.tick(self.loop.now()), self.loop.now() + 0.001)

    def tick(self, now: float) -> float:
        urged, self.urged = self.urged, set()
        for wallet in urged:
            at = wallet.looked_at + PACE
            if at > now:
                self.plan(at, wallet)
            else:
                self.look(now, wallet)
        while self.due and self.due[0][0] <= now:
            _, number, wallet = heapq.heappop(self.due)
            if wallet.planned == number:
                self.look(now, wallet)
        self.begin_batch(now)
        sweep_at = self.sweep(now)
        if self.batch and now - self.batch_at > STALLED and not self.stalled and not self.troubled:
            self.stalled = True
            log.error(
                "wallets: the disk has stalled, spending goes on by what is written",
                extra={
                    "fields": {
                        "folder": self.ground.folder,
                        "remedy": "see what holds up the disk; it goes on by itself",
                    }
                },
            )
        until = min(self.due[0][0] if self.due else math.inf, sweep_at)
        if self.batch and not self.stalled:
            until = min(until, self.batch_at + STALLED + PACE)
        if self.unsaved and not self.batch:
            until = min(until, max(self.again_at, now + PACE))
        return until

    def look(self, now: float, wallet: Wallet) -> None:
        wallet.looked_at, wallet.planned = now, 0
        at = wallet.tick(now)
        if at != math.inf:
            self.plan(at, wallet)

    def plan(self, at: float, wallet: Wallet) -> None:
        if wallet.planned and wallet.planned_at <= at:
            return
        self.numbers += 1
        wallet.planned, wallet.planned_at = self.numbers, at
        heapq.heappush(self.due, (at, self.numbers, wallet))

    # The console.

    def call(self, now: float, method: str, path: tuple[str, ...], query: Mapping[str, str]) -> Answer | None:
        if not path or path[0] != "wallets":
            return None
        if len(path) == 1:
            return self.shown(now, query) if method == "GET" else bad(405, "GET alone", "use GET")
        if len(path) != 3 or path[2] not in ("top-up", "write-off"):
            return bad(
                404,
                "no such call",
                "GET /-/wallets, POST /-/wallets/NAME/top-up?id=ID&amount=N or "
                "POST /-/wallets/NAME/write-off?member=M&life=L",
            )
        if method != "POST":
            return bad(405, "POST alone", "use POST")
        wallet = self.wallets.get(path[1])
        if wallet is None:
            return bad(404, f"no wallet {path[1]!r:.60} in the file", "see GET /-/wallets")
        if wallet.rules.home != self.own:
            raise NotHome(wallet.name, wallet.rules.home)
        if not wallet.loaded or wallet.unsure or self.handed_on or self.leaving:
            raise NotReady(f"the wallet {wallet.name} is not in order here yet, or any more")
        return self.top_up(now, wallet, query) if path[2] == "top-up" else self.write_off(now, wallet, query)

    def top_up(self, now: float, wallet: Wallet, query: Mapping[str, str]) -> Answer:
        id, amount = query.get("id", ""), query.get("amount", "")
        if not ID.fullmatch(id):
            return bad(
                400,
                f"id is {id!r:.60}; expected 1 to 100 visible characters",
                "give the payment's own id, the same at every repeat",
            )
        if not re.fullmatch(r"[0-9]{1,15}", amount) or int(amount) < 1:
            return bad(400, f"amount is {amount!r:.60}; expected whole units from 1 on", "give amount=N")
        books = wallet.rules.books
        if wallet.account.row.barred == books:
            raise WalletTrouble(
                f"ids of earlier top-ups of {wallet.name} in the books {books!r} may be forgotten here",
                "find out which payments have come in, then name new books for this wallet in the file",
            )
        key = f"{books}/{id}"
        if (other := wallet.other_home()) is not None:
            raise WalletTrouble(
                f"the file of {other[0]} names {other[1]} as the home of {wallet.name}",
                "give all members the same home and books: an id could come in twice",
            )
        known = wallet.account.ids.get(key)
        if known is not None and known != int(amount):
            raise WalletTrouble(
                f"the id {id!r} has come in already, with {known} units",
                "give another payment an id of its own",
            )
        new = wallet.top_up(now, key, int(amount))
        if new:
            log.info(
                "wallet: topped up", extra={"fields": {"wallet": wallet.name, "id": id, "amount": amount}}
            )
        entered = wallet.entered(key)
        return Answer(
            200 if entered else 202,
            {
                "wallet": wallet.name,
                "id": id,
                "amount": int(amount),
                "entered": entered,
                "new": new,
                "known": wallet.balance(),
                **(
                    {}
                    if entered
                    else {"remedy": "it counts when it is on disk: repeat the call with this id"}
                ),
            },
        )

    def write_off(self, now: float, wallet: Wallet, query: Mapping[str, str]) -> Answer:
        member, life = query.get("member", ""), query.get("life", "")
        if not member or not re.fullmatch(r"[0-9]{1,18}", life):
            return bad(400, "expected member=NAME&life=NUMBER", "both are in GET /-/wallets, under others")
        if member == self.own:
            raise WalletTrouble("the home's own rights can't be written off", "name another home, and books")
        about, word, last = self.ground.members.member(member), wallet.words.get(member), int(life)
        if about is None and word is None:
            return bad(404, f"nothing is known of a member {member!r:.60}", "see GET /-/wallets")
        lives = about is not None and about.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)
        account = last + 1 << SHIFT  # under this are all that began in lives up to that one
        if (
            lives
            and about is not None
            and (about.incarnation <= last or (word is not None and word.account < account))
        ):
            raise WalletTrouble(
                f"{member} lives, and spends by this account",
                "stop it for good first, and call again when GET /-/members says dead",
            )
        known = word.held if word is not None and word.account < account else 0
        wallet.write_off(now, member, account - 1)
        entered = wallet.account.kept.off.get(member, 0) >= account - 1
        return Answer(
            200 if entered else 202,
            {
                "wallet": wallet.name,
                "member": member,
                "life": last,
                "entered": entered,
                "held_when_last_heard": known,
                **({} if entered else {"remedy": "it counts when it is on disk: repeat the call"}),
            },
        )

    def shown(self, now: float, query: Mapping[str, str]) -> Answer:
        names = sorted(self.wallets)
        after = query.get("after", "")
        wanted = [query["name"]] if "name" in query else [n for n in names if n > after][:SHOWN]
        shown = [self.one(now, self.wallets[name]) for name in wanted if name in self.wallets]
        more = "name" not in query and bool(shown) and shown[-1]["name"] != names[-1]
        return Answer(
            200,
            {
                "self": self.own,
                "wallets": shown,
                **({"more": f"/-/wallets?after={shown[-1]['name']}"} if more else {}),
            },
        )

    def one(self, now: float, wallet: Wallet) -> dict[str, Any]:
        account = wallet.account
        off = account.row.off
        return {
            "name": wallet.name,
            "home": wallet.rules.home,
            "known": wallet.balance(),
            "own": max(account.held, 0),
            "written_ahead": account.free,
            "life": account.row.account >> SHIFT,
            "rate": round(wallet.usable_rate(), 2),
            "asked": wallet.want,
            "asked_of": wallet.of,
            "paused_since": None if wallet.paused_since is None else round(now - wallet.paused_since, 2),
            "state": "closed"
            if not wallet.loaded or self.handed_on
            else "unsure"
            if wallet.unsure
            else "leaving"
            if wallet.leaving
            else "at rest"
            if account.row.rests or wallet.silent
            else "paused"
            if wallet.paused_since is not None
            else "open",
            "refused": wallet.refused,
            "not_spent": wallet.lost,
            "topped_up": account.kept.topped,
            "written_off": {member: account >> SHIFT for member, account in off.items()},
            "others": [
                {
                    "name": member,
                    "life": word.account >> SHIFT,
                    "held": word.held,
                    "alive": member in self.others,
                    "written_off": off.get(member, 0) >= word.account,
                    "heard": round(now - self.heard_ago(wallet, member), 2),
                }
                for member, word in sorted(wallet.words.items())
            ],
        }

    def heard_ago(self, wallet: Wallet, member: str) -> float:
        seen = self.cells.read(member, words.word_cell(wallet.name))
        return seen.heard_at if seen is not None else wallet.heard_at.get(member, 0.0)

    # The end.

    def leave(self, now: float) -> None:
        self.leaving = True
        for wallet in self.wallets.values():
            if wallet.loaded and wallet.account.row.number:
                wallet.leave(now)

    def close(self) -> None:
        """Writes the last rows, for half a second at most; their words are in the cells then, to be told."""
        if self.closed:
            return
        self.closed = True
        now = self.loop.now()
        until, self.again_at = now + MOST_WAIT, -math.inf
        for wallet in self.wallets.values():
            if wallet.loaded and wallet.leaving:
                wallet.hand_back(now, last=True)
            if wallet.account.put_back(wallet.account.free) or wallet.account.dirty:
                self.unsaved.add(wallet)
        while now < until and self.found is not None and not self.handed_on and (self.batch or self.unsaved):
            self.begin_batch(now)
            while not self.store.results and self.loop.now() < until:
                time.sleep(0.001)
            now = self.loop.now()
            while self.store.results:
                self.take(now, self.store.results.popleft())
        self.store.close()
        self.loop.unwatch(self.told.fileno())
        self.told.close()
        self.teller.close()

    def figures(self) -> Mapping[str, object]:
        return {
            "wallets": len(self.wallets),
            "debited": sum(g.debited for g in self.gates),
            "wallet_refused": sum(g.refused for g in self.gates),
            "given_back": sum(g.given_back for g in self.gates),
            "repeated": sum(g.repeated for g in self.gates),
            "wallet_paused": sum(w.paused_since is not None for w in self.wallets.values()),
        }


def bad(status: int, what: str, remedy: str) -> Answer:
    return Answer(status, {"error": what, "remedy": remedy})
