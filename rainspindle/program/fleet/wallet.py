"""Wallets in the program: the tables of the operator's file, the store, the registers and the console."""

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
from ...decisions.wallet.account import ACCOUNT_SHIFT, Row, Trust
from ...decisions.wallet.tombstones import SWEEP, TombstoneRegistry
from ...decisions.wallet.wallet import CATCH_UP_TIME, Rules, Wallet
from ...errors import Trouble
from ...protocol import wallet as words
from ...protocol.wallet import Kept as KeptRow
from ...protocol.wallet import UnreadableWord
from ...routing.core import Taker
from ...routing.wallet import PaymentSource, WalletGate
from ...store.kept import MOST_WAIT, Done, Found, Kept, StoreHeld
from ...transport.loop import Coroutine
from ..config import Config
from ..tables import shape
from .ground import Answer, Ground

log = logging.getLogger("rainspindle.wallet")

NAME_PATTERN = re.compile(rf"[A-Za-z0-9][A-Za-z0-9_.-]{{0,{words.MAX_NAME_LENGTH - 1}}}")
ID_PATTERN = re.compile(r"[!-~]{1,100}")
# With more wallets than the second number, a member without traffic holds no piece unless `eager` is set.
MAX_WALLETS, MAX_EAGER_WALLETS = 100_000, 200
MAX_UNITS = 10**15  # in a price, a reserve and a piece
MAX_BATCH_ROWS = 2_000  # rows in one transaction, at most
STALL_TIMEOUT = 2.0  # seconds that a write may take before an error is logged
RETRY_INTERVAL = 1.0  # seconds after which a failed write is tried again
PACE = 0.01  # seconds between two ticks of one wallet, at least
MAX_LISTED = 1_000  # wallets in one answer of the console, at most


class WalletPart(msgspec.Struct, forbid_unknown_fields=True):
    """A `[[wallet]]` table of the operator's file."""

    name: str
    home: str  # the member that takes the top-ups
    tenant: int | None = None  # the tenant's number in the settings
    match: list[str] = []  # traffic types; empty for all of them
    price: int = 1  # units for a request
    prices: dict[str, int] = {}  # units for a request, by traffic type, where they differ from `price`
    reserve: int = 0  # units that only binding requests may use
    piece: int = 20  # units written ahead at once, at least
    alone: float = 60.0  # seconds of its traffic for which a member keeps rights
    come_back: float = 5.0  # seconds after which rejected clients are to retry while the wallet is paused
    repeat: float = 60.0  # seconds for which a request's X-Request-ID is remembered
    books: str = "1"  # ids of top-ups are unique within one value of it
    rejoin: str = "heard"  # or "new": a row that may be outdated counts as outdated, without asking others
    rest: float = 300.0  # seconds without a request after which a member's use of the wallet ends
    eager: bool | None = None  # whether members without traffic hold a piece; None: if there are few wallets


class WalletTrouble(Trouble):
    """A console call that can't be carried out."""

    remedy = "see GET /-/wallets"


class NotHome(WalletTrouble):
    """A top-up or write-off was sent to a member that is not the wallet's home."""

    def __init__(self, wallet: str, home: str) -> None:
        """Names the wallet's home, where the call has to be made."""
        super().__init__(
            f"top-ups and write-offs of {wallet} are taken at {home} alone",
            f"make the same call, with the same id, at the console of {home}",
        )


class NotReady(WalletTrouble):
    """The wallet's row is not loaded yet, or may not be the newest."""

    remedy = "repeat the call; if it keeps failing, see the log for what the folder or other members lack"


def unfit(tables: Any, config: Config, folder: Path | None) -> Iterator[str]:
    """Yields every fault of the `[[wallet]]` tables, each with its path in the file."""
    if not isinstance(tables, list):
        yield "wallet: expected a list of tables, [[wallet]]"
        return
    if tables and folder is None:
        yield (
            "members.folder: missing; wallets need a folder that only this member uses and that survives "
            "restarts of the process and the machine: name one, or remove the wallets from this member's file"
        )
    if len(tables) > MAX_WALLETS:
        yield f"wallet: {len(tables)} tables; expected at most {MAX_WALLETS}"
        return
    types = config.settings.type_names
    tenants = len(config.raw_settings.get("tenants") or [])
    paid: dict[tuple[int | None, str], str] = {}
    names: set[str] = set()
    for index, table in enumerate(tables):
        path = f"wallet[{index}]"
        faults = list(shape(table, WalletPart, path))
        yield from faults
        if faults:
            continue
        part = msgspec.convert(table, WalletPart)
        if not NAME_PATTERN.fullmatch(part.name):
            yield (
                f"{path}.name: is {part.name!r:.60}; "
                f"expected 1 to {words.MAX_NAME_LENGTH} of A-Z a-z 0-9 _ . -"
            )
        elif part.name in names:
            yield f"{path}.name: {part.name!r} is the name of two wallets"
        names.add(part.name)
        if not part.home or len(part.home) > 100:
            yield f"{path}.home: is {part.home!r:.40}; expected a member's name"
        if (
            not part.books
            or len(part.books) > 40
            or not ID_PATTERN.fullmatch(part.books)
            or "/" in part.books
        ):
            yield f"{path}.books: is {part.books!r:.60}; expected 1 to 40 visible characters without '/'"
        if part.tenant is not None and not 0 <= part.tenant < max(tenants, 1):
            yield f"{path}.tenant: is {part.tenant}; the settings have {tenants} tenants, counted from 0"
        if part.rejoin not in ("heard", "new"):
            yield f"{path}.rejoin: is {part.rejoin!r:.40}; expected 'heard' or 'new'"
        for key, type_names in (("match", part.match), ("prices", list(part.prices))):
            for name in type_names:
                if name not in types:
                    yield f"{path}.{key}: {name!r:.40} is no traffic type; expected one of {', '.join(types)}"
        for key, value, low, high in (
            ("price", part.price, 0, MAX_UNITS),
            ("reserve", part.reserve, 0, MAX_UNITS),
            ("piece", part.piece, 1, MAX_UNITS),
            ("alone", part.alone, 1.0, 86_400.0),
            ("come_back", part.come_back, 0.1, 3_600.0),
            ("repeat", part.repeat, 0.0, 3_600.0),
            ("rest", part.rest, 1.0, 86_400.0),
            *((f"prices.{name}", price, 0, MAX_UNITS) for name, price in part.prices.items()),
        ):
            if not low <= value <= high:
                yield f"{path}.{key}: is {value}; expected {low} to {high}"
        for name in part.match or types:
            other = paid.setdefault((part.tenant, name), part.name)
            if other != part.name:
                yield f"{path}.match: {name!r} of this tenant is already paid from {other!r}"


def build_rules(part: WalletPart, types: Sequence[str], eager: bool) -> Rules:
    """Converts a table of the file; `eager` applies if the table doesn't say."""
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
    """Encodes a row for the store.

    `boot` identifies the machine's boot and the volume in which the row was known to be the newest.
    """
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
    """Decodes a stored row; returns it with everything that was stored beside it.

    Raises:
        UnreadableWord: The row can't be decoded.
    """
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
    """All wallets of this member, with their store, their registers and the console calls."""

    def __init__(self, ground: Ground, tables: Any) -> None:
        """Starts with valid tables of the file; nothing is spent before the store is open."""
        self.ground, self.loop, self.cells = ground, ground.loop, ground.cells
        self.own_name = ground.members.own_name
        self.wallets: dict[str, Wallet] = {}
        self.inactive_wallets: dict[str, Wallet] = {}  # removed from the file
        self.configs: dict[str, WalletPart] = {}
        self.payment_sources: dict[tuple[int | None, int], PaymentSource] = {}
        self.gates: list[WalletGate] = []
        self.scheduled_ticks: list[tuple[float, int, Wallet]] = []
        self.urged: set[Wallet] = set()
        self.tick_count = 0
        self.unsaved: set[Wallet] = set()
        self.unsure: set[Wallet] = set()
        self.batch: list[Wallet] = []
        self.batch_number, self.batch_at = 0, math.inf
        self.retry_at = -math.inf
        self.store_failing = self.stalled = self.handed_over = self.leaving = self.closed = False
        self.handing_over = False
        self.found: Found | None = None
        self.unclaimed_rows: dict[str, dict[str, bytes]] = {}  # stored rows not loaded yet, by wallet
        self.boots_by_wallet: dict[Wallet, int] = {}
        self.unreadable_registers = 0
        self.alive_members: tuple[str, ...] = ()
        self.others_since = math.inf  # the time since which other members have been alive
        self.wake_reader, self.wake_writer = socket.socketpair()
        self.wake_reader.setblocking(False)
        self.wake_writer.setblocking(False)
        self.loop.watch(self.wake_reader.fileno(), self)
        if ground.folder is None:
            raise WalletTrouble(
                "wallets need a folder that survives restarts", "name one in [members] folder"
            )
        self.store = Kept(ground.folder, "wallets", self.own_name, self.wake_loop)
        self.tombstones = TombstoneRegistry(self.cells, self.loop.now())
        self.update_members()
        self.apply_tables(self.loop.now(), tables)
        self.cells.on_change("wallet/", self.on_register)
        self.cells.on_change("swept/wallet", self.on_own_register)
        self.store.start()
        self.worker = self.loop.spawn(self.loop.lasting(self.work))

    def taker(self, inner: Taker) -> Taker:
        """Returns a Taker that debits requests before it passes them to `inner`."""
        gate = WalletGate(self.loop, inner)
        gate.payment_sources = self.payment_sources
        self.gates.append(gate)
        return gate

    # The file.

    def apply_tables(self, now: float, tables: Any) -> list[str]:
        """Applies the tables of the file; returns messages about changes that were not applied."""
        parts = (t if isinstance(t, WalletPart) else msgspec.convert(t, WalletPart) for t in tables)
        new = {part.name: part for part in parts}
        later = list[str]()
        types, binding = self.ground.config.settings.type_names, self.ground.config.settings.binding
        eager = len(new) <= MAX_EAGER_WALLETS
        for name in self.wallets.keys() - new.keys():
            wallet = self.inactive_wallets[name] = self.wallets.pop(name)
            wallet.deactivate(now)
            log.info(
                "wallet: removed from the file",
                extra={"fields": {"wallet": name, "held": wallet.account.held}},
            )
        self.tombstones.pace = min([SWEEP, *(part.rest / 5 for part in new.values())])
        self.payment_sources.clear()
        for name, part in new.items():
            before = self.configs.get(name)
            if before is not None and before.home != part.home and before.books == part.books:
                later.append(
                    f"wallet {name}: a new home needs other books too, as it does not know "
                    "the ids of earlier top-ups"
                )
                part = msgspec.structs.replace(part, home=before.home)
            self.configs[name] = part
            rules = build_rules(part, types, eager)
            wallet = (
                self.wallets.get(name)
                or self.inactive_wallets.pop(name, None)
                or Wallet(
                    name,
                    self.own_name,
                    self.ground.members.own_incarnation,
                    rules,
                    self,
                    now,
                    secrets.randbits(9),
                    self.tombstones,
                )
            )
            fresh = name not in self.wallets
            if wallet.rules != rules:
                wallet.end_silence()
            wallet.rules, self.wallets[name] = rules, wallet
            if fresh and wallet.loaded:
                wallet.inactive = False
                self.replay(now, wallet)
                self.urge(wallet)
            elif fresh and self.found is not None:
                self.load(now, wallet)
            for type_name in part.match or types:
                index = types.index(type_name)
                self.payment_sources[part.tenant, index] = PaymentSource(
                    wallet, part.prices.get(type_name, part.price), binding[index], part.repeat
                )
        return later

    def reload(self, now: float, tables: Any) -> list[str]:
        """Applies the tables of a changed file; returns messages about changes that were not applied."""
        return self.apply_tables(now, tables)

    # The members and their registers.

    def update_members(self) -> None:
        """Notes which other members are alive."""
        if not self.alive_members:
            self.others_since = self.loop.now()
        self.alive_members = tuple(
            member.name
            for member in self.ground.members.members()
            if member.name != self.own_name and member.status is MemberStatus.ALIVE
        )

    def member_changed(self, now: float, before: Member | None, after: Member) -> None:
        """Handles a change of one member."""
        self.update_members()

    def alive(self) -> Iterable[str]:
        """Returns the other members that are alive."""
        return self.alive_members

    def on_register(self, now: float, cell: Register) -> None:
        """Passes a changed wallet register on to its wallet."""
        name, _, recipient = cell.name.removeprefix("wallet/").partition("/t/")
        wallet = self.wallets.get(name)
        if cell.owner == self.own_name:
            self.on_own_register(now, cell)
        if wallet is None or (recipient and recipient != words.short(self.own_name)):
            return
        try:
            if not cell.value:
                if cell.owner != self.own_name:
                    (wallet.on_pair_deleted if recipient else wallet.on_report_deleted)(now, cell.owner)
            elif recipient:
                if cell.owner != self.own_name:
                    wallet.on_pair(now, cell.owner, words.decode_pair(cell.value))
            elif cell.owner == self.own_name:
                if cell.incarnation < self.ground.members.own_incarnation:
                    wallet.on_own(now, words.decode_word(cell.value))
            else:
                wallet.on_word(now, cell.owner, words.decode_word(cell.value))
        except UnreadableWord as fault:
            self.unreadable_registers += 1
            if self.unreadable_registers == 1:
                log.warning(
                    "wallet: unreadable register",
                    extra={"fields": {"from": cell.owner, "why": fault, "remedy": fault.remedy}},
                )

    def on_own_register(self, now: float, cell: Register) -> None:
        """Learns from a register of an earlier incarnation whether this folder is outdated."""
        if (
            cell.owner == self.own_name
            and cell.incarnation < self.ground.members.own_incarnation
            and cell.value
        ):
            known_before = self.tombstones.old
            if (
                self.tombstones.on_own_register(cell)
                and self.tombstones.old > known_before
                and self.found is not None
            ):
                self.on_outdated_folder(now)
            self.worker.wake()

    def on_outdated_folder(self, now: float) -> None:
        """Handles that other members know a later state of this folder than was found in it."""
        log.error(
            "wallets: other members know a later state of this folder; its units are not spent",
            extra={
                "fields": {
                    "folder": self.ground.folder,
                    "remedy": "stop the process and restore the newest folder, or write off the "
                    "earlier incarnation at the home",
                }
            },
        )
        for wallet in self.wallets.values():
            wallet.on_outdated_folder(now)

    def replay(self, now: float, wallet: Wallet) -> None:
        """Passes on the registers that have arrived while the wallet was not in use."""
        for name in (words.word_cell(wallet.name), words.pair_cell(wallet.name, self.own_name)):
            for seen in list(self.cells.named(name).values()):
                if (
                    seen.register.owner != self.own_name
                    or seen.register.incarnation < self.ground.members.own_incarnation
                ):
                    self.on_register(now, seen.register)

    def tell(self, now: float, cell: str, value: bytes, toward: tuple[str, ...]) -> None:
        """Writes a register of this member and sends it to the members `toward` first."""
        if len(cell) <= MAX_NAME:
            self.cells.write(now, cell, value, toward)

    def log(self, event: str, **fields: object) -> None:
        """Logs an event of a wallet at level INFO."""
        log.info(event, extra={"fields": fields})

    # The store.

    def wake_loop(self) -> None:
        """Wakes the event loop for a result of the store; called in the store's thread."""
        with contextlib.suppress(OSError):
            self.wake_writer.send(b"x")

    def on_events(self, events: int) -> None:
        """Handles the results of the store; called by the event loop."""
        with contextlib.suppress(OSError):
            while self.wake_reader.recv(4096):
                pass
        now = self.loop.now()
        while self.store.results:
            self.on_store_result(now, self.store.results.popleft())
        self.begin_batch(now)
        if self.handing_over and not self.batch and not self.unsaved and not self.handed_over:
            self.handed_over = True
            self.store.end()

    def on_store_result(self, now: float, done: Done) -> None:
        """Handles one result of the store: opened, wanted by another process, failed, or written."""
        if done.found is not None:
            self.on_store_opened(now, done.found)
        elif done.wanted:
            self.hand_over(now)
        elif done.trouble is not None:
            if isinstance(done.trouble, StoreHeld):
                log.info(
                    "wallets: waiting for the previous process to release the folder",
                    extra={"fields": {"why": done.trouble, "remedy": done.trouble.remedy}},
                )
            elif not self.store_failing:
                self.store_failing = True
                log.error(
                    "wallets can't be written; spending continues with the units written ahead",
                    extra={"fields": {"why": done.trouble, "remedy": done.trouble.remedy}},
                )
            if done.batch:
                for wallet in self.batch:
                    wallet.account.failed()
                    self.unsaved.add(wallet)
                self.batch, self.batch_at, self.retry_at = [], math.inf, now + RETRY_INTERVAL
                self.worker.wake()
        elif done.batch == self.batch_number:
            if self.store_failing or self.stalled:
                self.store_failing = self.stalled = False
                log.info("wallets are written again")
            batch, self.batch, self.batch_at = self.batch, [], math.inf
            self.tombstones.written(done.number)
            for wallet in batch:
                wallet.written(now)

    def on_store_opened(self, now: float, found: Found) -> None:
        """Loads all wallets from what the store found on disk."""
        self.found = found
        self.tombstones.on_store_opened(found.number)
        if self.store_failing:
            self.store_failing = False
            log.info("wallets: folder opened", extra={"fields": {"folder": self.ground.folder}})
        if not found.newest and not found.fresh:
            log.error(
                "wallets: the folder is not the one that was written last; its units are not spent",
                extra={
                    "fields": {
                        "why": found.why,
                        "remedy": "stop the process and restore the newest folder, or write off the "
                        "earlier incarnation at the home",
                    }
                },
            )
        for key, value in found.rows.items():
            self.unclaimed_rows.setdefault(key.lstrip("-#").partition("/")[0], {})[key] = value
        for wallet in self.wallets.values():
            self.load(now, wallet)
        if self.tombstones.old > found.number:
            self.on_outdated_folder(now)

    def load(self, now: float, wallet: Wallet) -> None:
        """Loads a wallet from the rows found on disk; it stays paused if one of them is unreadable."""
        assert self.found is not None
        rows, old, ids = dict[int, tuple[Row, KeptRow, bool]](), list[Row](), dict[str, int]()
        for key, value in self.unclaimed_rows.pop(wallet.name, {}).items():
            try:
                if key.startswith("#"):
                    ids[key.partition("/")[2]] = int(value)
                else:
                    row, kept = decode_row(value)
                    rows[row.account] = row, kept, key.startswith("-")
            except (UnreadableWord, ValueError) as fault:
                log.error(
                    "wallet: a stored row is unreadable; the wallet stays paused at this member",
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
            self.boots_by_wallet[wallet] = self.found.boot
            wallet.load(now, None, ids, [], Trust.SURE)
            if not (self.found.newest or self.found.fresh):
                wallet.on_became_home()  # the newest folder may have had a row of it
        else:
            last = max(rows)
            row, kept, aged = rows[last]
            self.boots_by_wallet[wallet] = kept.boot
            old = [rows[account][0] for account in sorted(rows) if account != last]
            trust = (
                Trust.OLD
                if aged or self.tombstones.old > self.found.number
                else (Trust.SURE if self.boots_by_wallet[wallet] == self.found.boot else Trust.UNSURE)
            )
            wallet.load(now, row, ids, old, trust)
            if wallet.unsure:
                self.unsure.add(wallet)
            if kept.home not in ("", self.own_name) and kept.books == wallet.rules.books:
                wallet.on_became_home()
        self.replay(now, wallet)

    def save(self, wallet: Wallet) -> None:
        """Writes the wallet's row with the next batch."""
        self.unsaved.add(wallet)
        if not self.batch:
            self.worker.wake()

    def begin_batch(self, now: float) -> None:
        """Writes the rows that have changed, unless a write is in progress or not possible now."""
        if self.batch or not self.unsaved or self.found is None or self.handed_over or now < self.retry_at:
            return
        rows = dict[str, bytes]()
        for wallet in list(self.unsaved)[:MAX_BATCH_ROWS]:
            self.unsaved.discard(wallet)
            row = wallet.account.stage()
            if row is None:
                continue
            if not wallet.unsure:
                self.boots_by_wallet[wallet] = self.found.boot
            rows[f"{wallet.name}/{row.account}"] = encode_row(row, self.boots_by_wallet[wallet], wallet.rules)
            for top_up_id in wallet.account.ids_writing:
                rows[f"#{wallet.name}/{top_up_id}"] = b"%d" % wallet.account.ids[top_up_id]
            self.batch.append(wallet)
        if rows:
            self.write(now, rows)

    def write(self, now: float, rows: dict[str, bytes]) -> None:
        """Hands a batch to the store, numbered above the base of the incarnation if all wallets are sure."""
        self.batch_number, self.batch_at = self.batch_number + 1, now
        self.store.write(rows, self.batch_number, self.tombstones.over if self.all_sure() else 0)

    def all_sure(self) -> bool:
        """Returns whether the rows of all wallets are known to be the newest."""
        self.unsure = {wallet for wallet in self.unsure if wallet.unsure}
        return not self.unsure

    def sweep(self, now: float) -> float:
        """Deletes registers that are no longer needed; returns the time of the next call."""
        if self.batch_at < math.inf or self.found is None or self.handing_over:
            return math.inf  # nothing is swept before the store has answered
        due_at = max(self.tombstones.due, self.retry_at)
        if now < due_at:
            return due_at
        # Guards against deleting own registers that report a later row before they have been received here.
        if (
            not self.all_sure()
            or not self.alive_members
            or now - self.others_since < min(CATCH_UP_TIME, self.tombstones.pace)
        ):
            return now + min(STALL_TIMEOUT, self.tombstones.pace)
        if self.tombstones.ready:
            self.tombstones.sweep(now)
            return math.inf
        self.write(now, {})
        return math.inf

    def hand_over(self, now: float) -> None:
        """Stops spending, as a succeeding process waits for the folder."""
        log.info("wallets: handing the folder over to the succeeding process")
        self.handing_over = True
        for wallet in self.wallets.values():
            wallet.deactivate(now)
        self.begin_batch(now)

    # Ticks.

    def urge(self, wallet: Wallet) -> None:
        """Calls the wallet's `tick` as soon as PACE allows."""
        if wallet not in self.urged:
            self.urged.add(wallet)
            self.worker.wake()

    def work(self) -> Coroutine[None]:
        """Ticks until the end, at most once a millisecond."""
        while not self.closed:
            yield max(self.tick(self.loop.now()), self.loop.now() + 0.001)

    def tick(self, now: float) -> float:
        """Ticks the wallets that are due, writes and sweeps; returns the time of the next call."""
        urged, self.urged = self.urged, set()
        for wallet in urged:
            earliest = wallet.looked_at + PACE
            if earliest > now:
                self.schedule_tick(earliest, wallet)
            else:
                self.tick_wallet(now, wallet)
        while self.scheduled_ticks and self.scheduled_ticks[0][0] <= now:
            _, number, wallet = heapq.heappop(self.scheduled_ticks)
            if wallet.planned == number:
                self.tick_wallet(now, wallet)
        self.begin_batch(now)
        sweep_at = self.sweep(now)
        if self.batch and now - self.batch_at > STALL_TIMEOUT and not self.stalled and not self.store_failing:
            self.stalled = True
            log.error(
                "wallets: the disk has stalled; spending continues with the units written ahead",
                extra={
                    "fields": {
                        "folder": self.ground.folder,
                        "remedy": "find out what delays the disk; writing resumes by itself",
                    }
                },
            )
        until = min(self.scheduled_ticks[0][0] if self.scheduled_ticks else math.inf, sweep_at)
        if self.batch and not self.stalled:
            until = min(until, self.batch_at + STALL_TIMEOUT + PACE)
        if self.unsaved and not self.batch:
            until = min(until, max(self.retry_at, now + PACE))
        return until

    def tick_wallet(self, now: float, wallet: Wallet) -> None:
        """Ticks one wallet and schedules its next tick."""
        wallet.looked_at, wallet.planned = now, 0
        next_tick = wallet.tick(now)
        if next_tick != math.inf:
            self.schedule_tick(next_tick, wallet)

    def schedule_tick(self, at: float, wallet: Wallet) -> None:
        """Schedules a tick of a wallet unless an earlier one is scheduled."""
        if wallet.planned and wallet.planned_at <= at:
            return
        self.tick_count += 1
        wallet.planned, wallet.planned_at = self.tick_count, at
        heapq.heappush(self.scheduled_ticks, (at, self.tick_count, wallet))

    # The console.

    def call(self, now: float, method: str, path: tuple[str, ...], query: Mapping[str, str]) -> Answer | None:
        """Answers a console call; returns None if it is not about wallets.

        Raises:
            WalletTrouble: The call can't be carried out.
        """
        if not path or path[0] != "wallets":
            return None
        if len(path) == 1:
            return (
                self.list_wallets(now, query)
                if method == "GET"
                else error_answer(405, "expected GET", "use GET")
            )
        if len(path) != 3 or path[2] not in ("top-up", "write-off"):
            return error_answer(
                404,
                "no such call",
                "GET /-/wallets, POST /-/wallets/NAME/top-up?id=ID&amount=N or "
                "POST /-/wallets/NAME/write-off?member=M&life=L",
            )
        if method != "POST":
            return error_answer(405, "expected POST", "use POST")
        wallet = self.wallets.get(path[1])
        if wallet is None:
            return error_answer(404, f"no wallet {path[1]!r:.60} in the file", "see GET /-/wallets")
        if wallet.rules.home != self.own_name:
            raise NotHome(wallet.name, wallet.rules.home)
        if not wallet.loaded or wallet.unsure or self.handed_over or self.leaving:
            raise NotReady(f"the wallet {wallet.name} is not ready at this member")
        return self.top_up(now, wallet, query) if path[2] == "top-up" else self.write_off(now, wallet, query)

    def top_up(self, now: float, wallet: Wallet, query: Mapping[str, str]) -> Answer:
        """Enters a top-up; the answer's status is 200 once it is on disk, 202 before.

        Raises:
            WalletTrouble: The top-up might be entered twice, or its id has been used for another amount.
        """
        top_up_id, amount = query.get("id", ""), query.get("amount", "")
        if not ID_PATTERN.fullmatch(top_up_id):
            return error_answer(
                400,
                f"id is {top_up_id!r:.60}; expected 1 to 100 visible characters",
                "use the payment's own id, the same whenever the call is repeated",
            )
        if not re.fullmatch(r"[0-9]{1,15}", amount) or int(amount) < 1:
            return error_answer(
                400,
                f"amount is {amount!r:.60}; expected a whole number of units, at least 1",
                "give amount=N",
            )
        books = wallet.rules.books
        if wallet.account.row.barred == books:
            raise WalletTrouble(
                f"ids of earlier top-ups of {wallet.name} in the books {books!r} may be lost here",
                "find out which payments have been entered, then name new books for this wallet in the file",
            )
        key = f"{books}/{top_up_id}"
        if (other := wallet.conflicting_home()) is not None:
            raise WalletTrouble(
                f"the file of {other[0]} names {other[1]} as the home of {wallet.name}",
                "name the same home and books in all members' files: otherwise an id could be entered twice",
            )
        known = wallet.account.ids.get(key)
        if known is not None and known != int(amount):
            raise WalletTrouble(
                f"the id {top_up_id!r} has already been entered, with {known} units",
                "use a different id for each payment",
            )
        new = wallet.top_up(now, key, int(amount))
        if new:
            log.info(
                "wallet: topped up",
                extra={"fields": {"wallet": wallet.name, "id": top_up_id, "amount": amount}},
            )
        entered = wallet.entered(key)
        return Answer(
            200 if entered else 202,
            {
                "wallet": wallet.name,
                "id": top_up_id,
                "amount": int(amount),
                "entered": entered,
                "new": new,
                "known": wallet.balance(),
                **(
                    {}
                    if entered
                    else {"remedy": "it counts once it is on disk: repeat the call with this id"}
                ),
            },
        )

    def write_off(self, now: float, wallet: Wallet, query: Mapping[str, str]) -> Answer:
        """Writes off what a member held up to an incarnation; status 200 once it is on disk, 202 before.

        Raises:
            WalletTrouble: The member is the home or still spends from an account that would be written off.
        """
        member, life = query.get("member", ""), query.get("life", "")
        if not member or not re.fullmatch(r"[0-9]{1,18}", life):
            return error_answer(
                400, "expected member=NAME&life=NUMBER", "take both from GET /-/wallets, under 'others'"
            )
        if member == self.own_name:
            raise WalletTrouble(
                "the home's own rights can't be written off", "name another home and other books"
            )
        known_member, report, last = self.ground.members.member(member), wallet.reports.get(member), int(life)
        if known_member is None and report is None:
            return error_answer(404, f"nothing is known of a member {member!r:.60}", "see GET /-/wallets")
        is_living = known_member is not None and known_member.status in (
            MemberStatus.ALIVE,
            MemberStatus.SUSPECT,
        )
        # The accounts that began in incarnations up to `last` have numbers below this.
        account = last + 1 << ACCOUNT_SHIFT
        if (
            is_living
            and known_member is not None
            and (known_member.incarnation <= last or (report is not None and report.account < account))
        ):
            raise WalletTrouble(
                f"{member} lives and may still spend from this account",
                "stop it for good first, and repeat the call when GET /-/members reports it dead",
            )
        known = report.held if report is not None and report.account < account else 0
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
                **({} if entered else {"remedy": "it counts once it is on disk: repeat the call"}),
            },
        )

    def list_wallets(self, now: float, query: Mapping[str, str]) -> Answer:
        """Lists the wallets, from the one behind `after` on, or only the one called `name`."""
        names = sorted(self.wallets)
        after = query.get("after", "")
        wanted = (
            [query["name"]]
            if "name" in query
            else [listed for listed in names if listed > after][:MAX_LISTED]
        )
        shown = [self.describe(now, self.wallets[name]) for name in wanted if name in self.wallets]
        more = "name" not in query and bool(shown) and shown[-1]["name"] != names[-1]
        return Answer(
            200,
            {
                "self": self.own_name,
                "wallets": shown,
                **({"more": f"/-/wallets?after={shown[-1]['name']}"} if more else {}),
            },
        )

    def describe(self, now: float, wallet: Wallet) -> dict[str, Any]:
        """Returns what the console shows of a wallet."""
        account = wallet.account
        off = account.row.off
        return {
            "name": wallet.name,
            "home": wallet.rules.home,
            "known": wallet.balance(),
            "own": max(account.held, 0),
            "written_ahead": account.free,
            "life": account.row.account >> ACCOUNT_SHIFT,
            "rate": round(wallet.usable_rate(), 2),
            "asked": wallet.asked_units,
            "asked_of": wallet.asked_member,
            "paused_since": None if wallet.paused_since is None else round(now - wallet.paused_since, 2),
            "state": "closed"
            if not wallet.loaded or self.handed_over
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
            "written_off": {member: account >> ACCOUNT_SHIFT for member, account in off.items()},
            "others": [
                {
                    "name": member,
                    "life": report.account >> ACCOUNT_SHIFT,
                    "held": report.held,
                    "alive": member in self.alive_members,
                    "written_off": off.get(member, 0) >= report.account,
                    "heard": round(now - self.report_time(wallet, member), 2),
                }
                for member, report in sorted(wallet.reports.items())
            ],
        }

    def report_time(self, wallet: Wallet, member: str) -> float:
        """Returns when a member's last report of a wallet was received."""
        seen = self.cells.read(member, words.word_cell(wallet.name))
        return seen.heard_at if seen is not None else wallet.reported_at.get(member, 0.0)

    # Stopping.

    def leave(self, now: float) -> None:
        """Starts to transfer all rights to other members, as this process is about to stop."""
        self.leaving = True
        for wallet in self.wallets.values():
            if wallet.loaded and wallet.account.row.number:
                wallet.leave(now)

    def close(self) -> None:
        """Writes the last rows, for half a second at most.

        Their registers are then ready to be sent to the other members.
        """
        if self.closed:
            return
        self.closed = True
        now = self.loop.now()
        until, self.retry_at = now + MOST_WAIT, -math.inf
        for wallet in self.wallets.values():
            if wallet.loaded and wallet.leaving:
                wallet.hand_back(now, last=True)
            if wallet.account.put_back(wallet.account.free) or wallet.account.dirty:
                self.unsaved.add(wallet)
        while (
            now < until and self.found is not None and not self.handed_over and (self.batch or self.unsaved)
        ):
            self.begin_batch(now)
            while not self.store.results and self.loop.now() < until:
                time.sleep(0.001)
            now = self.loop.now()
            while self.store.results:
                self.on_store_result(now, self.store.results.popleft())
        self.store.close()
        self.loop.unwatch(self.wake_reader.fileno())
        self.wake_reader.close()
        self.wake_writer.close()

    def figures(self) -> Mapping[str, object]:
        """Returns the metrics of all wallets."""
        return {
            "wallets": len(self.wallets),
            "debited": sum(gate.debited for gate in self.gates),
            "wallet_refused": sum(gate.refused for gate in self.gates),
            "given_back": sum(gate.refunded for gate in self.gates),
            "repeated": sum(gate.free_repeats for gate in self.gates),
            "wallet_paused": sum(wallet.paused_since is not None for wallet in self.wallets.values()),
        }


def error_answer(status: int, what: str, remedy: str) -> Answer:
    """Returns an answer that says what is wrong and what to do about it."""
    return Answer(status, {"error": what, "remedy": remedy})
