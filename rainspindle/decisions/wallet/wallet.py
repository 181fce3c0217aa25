"""One wallet at one member: when to write ahead, whom to ask, what to grant, when to pause. No I/O, no clock.

The account alone (`account.py`) decides what may be spent and that it is spent only once; nothing in this
module can break that. This module is the policy that moves rights to where the traffic is:

- A member keeps what its clients request in `alone` seconds, or its fair share of the balance if that is less
  (shares are proportional to the rates of spending). It asks for more once half of that is used up, so before
  it runs out.
- An ask names one member, and only that member answers: first the home, then the member that is known to hold
  most. It grants what it holds above its own fair share, so rights only move from members above their share
  to members below it: two members don't pass the same rights back and forth, and twenty members don't all
  answer one ask.
- A member whose remainder can't pay for a single request hands it to a member that holds more (if both hold
  the same, to the one whose name sorts higher).
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from ...protocol.wallet import (
    VERSION,
    Pair,
    ReceivedTotal,
    Word,
    encode,
    pair_cell,
    word_cell,
)
from .account import AccountId, MemberAccounts, Row, Trust
from .tombstones import TombstoneRegistry

# Seconds over which the rate of spending is smoothed, for deciding when to ask and how much to keep.
RATE_TIME_CONSTANT, SLOW_RATE_TIME_CONSTANT = 0.5, 10.0
TICK_INTERVAL = 0.1  # seconds between two ticks of a wallet that is in use
# Seconds of spending that are written ahead at once, and that are left when more is written ahead.
WRITE_AHEAD, WRITE_AHEAD_LOW = 0.5, 0.25
IDLE_AFTER = 3.0  # seconds without a debit after which units written ahead are put back
ASK_TIMEOUT = 0.4  # seconds to wait for the answer to an ask before another member is asked
# Seconds from a round of asks without success to the next, and the same while some member reports units.
RETRY_INTERVAL, RETRY_INTERVAL_SOON = 1.0, 0.3
CATCH_UP_TIME = 10.0  # seconds after its start in which a member may not know all that the others know
MAX_RETRY_INTERVAL = 300.0  # seconds; the retry interval doubles up to this while clients send no requests
LOW_BALANCE = 3.0  # seconds of spending left, below which reports are sent often
ASK_ANYONE_BELOW = 1.0  # seconds of spending left, below which other members than the home are asked too
SETTLE_TIME = 5.0  # seconds between asks while enough is held, and for which a surplus must last
SURPLUS_FACTOR = 2.0  # a member has a surplus if it holds more than this many times what it keeps
REPORT_INTERVAL, REPORT_INTERVAL_LOW = 2.0, 0.3  # seconds between reports, and between those of a low balance
# Fractions by which the units held must have changed for a report, and for one of a low balance.
REPORT_CHANGE, REPORT_CHANGE_LOW = 0.5, 0.2
ROW_REPORT_INTERVAL = 5.0  # seconds after the last report in which the number of a new row is reported
MAX_EXTRAPOLATION = 3.0  # seconds for which a member is assumed to have gone on spending since its report
IN_FLIGHT_TIME = 0.2  # seconds of spending that happen while a report is in transit
MIN_RATE = 1e-3  # units a second; a lower rate counts as none
MAX_RECEIVED_BYTES = 500  # bytes in a report for what a member whose use has ended has received
EAGER_DIVISOR = 16  # a member without traffic gets at most this fraction, 1/16, of the grantor's rights


@dataclass(frozen=True, slots=True)
class Rules:
    """A wallet's settings in the operator's file."""

    home: str  # the member that takes the top-ups
    piece: int = 20  # units written ahead at once, at least
    reserve: int = 0  # units that only binding requests may use
    alone: float = 60.0  # seconds of its traffic for which a member keeps rights
    come_back: float = 5.0  # seconds until a rejected client is to retry if no member is known to hold units
    least: int = 1  # the lowest price of a request
    top: int = 1  # the highest price of a request
    eager: bool = True  # whether a member without traffic holds a piece too
    books: str = "1"  # ids of top-ups are unique within one value of it
    rejoin: str = "heard"  # or "new": an unsure row is treated as outdated
    rest: float = 300.0  # seconds without a request after which this member's use of the wallet ends


class WalletHost(Protocol):
    """What a wallet needs from the process that runs it."""

    def save(self, wallet: Wallet) -> None:
        """Calls `account.stage()` as soon as no other write is in progress, and writes the row."""

    def tell(self, now: float, cell: str, value: bytes, toward: tuple[str, ...]) -> None:
        """Writes a register of this member and sends it to the members `toward` first."""

    def urge(self, wallet: Wallet) -> None:
        """Calls the wallet's `tick` soon."""

    def alive(self) -> Iterable[str]:
        """Returns the other members that are alive, as far as is known."""

    def log(self, event: str, **fields: object) -> None:
        """Logs an event at level INFO."""


class Wallet(MemberAccounts):
    """One wallet at one member."""

    def __init__(
        self,
        name: str,
        own_name: str,
        incarnation: int,
        rules: Rules,
        host: WalletHost,
        now: float,
        nonce: int = 0,
        register: TombstoneRegistry | None = None,
    ) -> None:
        """Starts without units; nothing is spent before `load`.

        Args:
            name: The wallet's name.
            own_name: This member's name.
            incarnation: This member's incarnation.
            rules: The wallet's settings.
            host: The process that runs the wallet.
            now: The current time in seconds.
            nonce: A random number below 512; see `Holding`.
            register: Deletes registers that are no longer needed. If None, the use of the wallet never ends.
        """
        self.register = register
        self.name, self.own_name, self.rules, self.host = name, own_name, rules, host
        super().__init__(incarnation, nonce)
        self.loaded = self.leaving = self.inactive = self.only_reserve_left = False
        self.reports: dict[str, Word] = {}
        self.reported_at: dict[str, float] = {}
        self.highest_rows: dict[AccountId, int] = {}  # the highest row reported of each account
        self.sent_pairs: dict[str, tuple[object, ...]] = {}
        self.received_pairs: dict[str, list[tuple[int, int, int]]] = {}  # the transfers that others report
        # Units that other members have on disk, by own account, member and its account.
        self.acknowledged: dict[tuple[int, str, int], int] = {}
        self.answered_asks: dict[str, tuple[int, int]] = {}  # incarnation and number of the last ask answered
        self.deferred_pairs: dict[str, Pair] = {}  # received while the account was unsure
        self.pairs_due: set[str] = set()
        self.rate = self.binding_rate = self.slow_rate = 0.0
        self.surplus_since = math.inf
        self.demand = self.binding_demand = 0
        self.rates_updated_at = self.last_debit_at = now
        self.reserve_floor = 0  # only binding requests are served when less than this is held
        self.refill_below = 0  # more is written ahead when fewer units than this are ready to spend
        self.refused = 0  # requests refused so far
        self.refused_at_last_tick = 0
        self.paused_since: float | None = None
        self.ask_number, self.asked_member, self.asked_units = 0, "", 0
        self.asked_at = self.settled_until = self.failed_round_at = -math.inf
        self.tried_members: set[str] = set()
        self.failed_rounds = 0  # rounds of asks without success since the last request of a client
        self.begun_at, self.last_report_at, self.last_report_held, self.last_report_slow_rate = (
            now,
            -math.inf,
            0,
            0.0,
        )
        self.report_due, self.last_report_row = False, 0
        self.last_use_at = now  # when the last request or top-up arrived
        self.account_at_start: int | None = None  # the account that the disk held at the start
        self.resting = False  # its use has ended, but not all members involved have received that
        self.last_report_received: list[ReceivedTotal] = []
        self.silent = False  # this is the home, and no member needs its reports
        self.others_may_hold = register is not None and own_name != rules.home
        self.planned, self.planned_at, self.looked_at = 0, math.inf, -math.inf  # used by the host alone

    # Start.

    def load(self, now: float, row: Row | None, ids: dict[str, int], old: list[Row], trust: Trust) -> None:
        """Takes what was found on disk; `row` is None if there was nothing of this wallet."""
        if trust is Trust.UNSURE and row is not None:
            if self.rules.rejoin == "new":
                trust = Trust.OLD
            elif self.own_name == self.rules.home and not row.given and not row.got:
                trust = Trust.SURE  # no other member can know anything of it
        if row is not None and self.own_name == self.rules.home:
            row.rests = False  # it was not the home when it wrote that: a lost row may hold ids of top-ups
        rested = row is not None and row.rests
        self.restore(row, ids, old, trust)
        self.loaded, self.begun_at, self.last_use_at = True, now, now
        self.account_at_start = row.account if row is not None else None
        self.silent = row is not None and trust is Trust.SURE and self.can_be_silent()
        self.report_due = not (row is None or rested or self.silent)
        if row is not None and rested:
            for (member, its_account), total in row.given.items():
                self.acknowledged[row.account, member, its_account] = total
            self.account.dirty = False  # a new account is written when it is first used
        elif row is not None and trust is Trust.OLD:
            self.on_new_account("its row on disk may not be the last", row.account)
        self.host.urge(self)

    def start_over(self, why: str) -> None:
        """Closes the account and opens a new one; transfers of the closed one are still reported."""
        closed = self.account.row.account
        self.open_new_account()
        self.on_new_account(why, closed)

    def on_new_account(self, why: str, closed: int) -> None:
        """Logs, reports and saves that an empty account has replaced the account `closed`."""
        self.host.log(
            "wallet: starts with an empty account", wallet=self.name, why=why, left=self.lost, account=closed
        )
        self.report_due, self.resting = True, False
        self.end_silence()
        if self.own_name == self.rules.home:
            self.bar_top_ups()
        self.host.save(self)
        self.host.urge(self)

    # Requests. The time these methods take doesn't depend on the number of wallets or members.

    def debit(self, now: float, price: int, binding: bool) -> bool:
        """Takes the price of a request; returns False if the wallet can't pay for it now."""
        account = self.account
        self.demand += price
        self.last_use_at = now
        if binding:
            self.binding_demand += price
        if account.free < price or not (
            binding or account.rights + account.free - price >= self.reserve_floor
        ):
            self.refused += 1
            self.host.urge(self)
            return False
        account.free -= price
        self.last_debit_at = now
        if account.free < self.refill_below:
            self.host.urge(self)
        return True

    def credit(self, price: int) -> None:
        """Gives back the price of a request that was debited but never executed."""
        self.account.credit(price)
        if self.account.row.rests:
            self.host.urge(self)

    def retry_after(self) -> float:
        """Returns the seconds after which a refused client is to retry."""
        units_expected = (
            self.others_may_hold or not self.loaded or self.unsure or self.account.held >= self.rules.top
        )
        return min(WRITE_AHEAD, self.rules.come_back) if units_expected else self.rules.come_back

    # Reports of other members.

    def on_word(self, now: float, member: str, report: Word) -> None:
        """Takes a member's report of its own account."""
        before = self.reports.get(member)
        self.reports[member], self.reported_at[member] = report, now
        if before is not None and before.life != report.life and member in self.sent_pairs:
            self.sent_pairs[member] = ()  # to be sent once more
        account_id = member, report.account
        self.highest_rows[account_id] = max(self.highest_rows.get(account_id, 0), report.row)
        self.record_acknowledged(
            member,
            [
                (account, report.account, total)
                for giver, account, total in report.took
                if giver == self.own_name
            ],
        )
        if not self.loaded or self.inactive:
            return
        self.end_silence()
        home = self.rules.home
        if (
            report.unsure
            and (self.own_name == home or member == home or self.highest_rows[account_id] > report.row)
        ) or (
            not self.sent_pairs.get(member)
            and (self.account.kept.off.get(member, 0) >= report.account or self.has_unacknowledged(member))
        ):
            self.send_pair(now, member)
        if report.resting:
            self.answer_resting(now, member)
            if self.own_name == home and self.last_report_at == -math.inf:
                self.report_due = True
                self.host.urge(self)
        if self.sealing and member == home:
            self.on_written_off(now)
        if report.of == self.own_name and (report.life, report.ask) != self.answered_asks.get(
            member, (report.life, 0)
        ):
            self.grant(now, member, report)
        elif (self.asked_units or self.paused_since is not None or self.rules.reserve) and (
            before is None or before.held != report.held
        ):
            self.host.urge(self)

    def on_pair(self, now: float, member: str, pair: Pair) -> None:
        """Takes what a member addresses to this one: its transfers, answers and write-offs."""
        if not self.loaded or self.inactive:
            return
        if self.unsure:
            self.deferred_pairs[member] = pair
            self.on_pair_while_unsure(now, member, pair)
            return
        if pair.off >= self.account.row.account and member == self.rules.home:
            self.on_written_off(now)
        self.received_pairs[member] = pair.entries
        self.record_acknowledged(member, pair.took)
        without_reports = self.sends_no_reports
        gained = self.receive_transfers(member, pair.entries)
        if without_reports and gained:
            self.report_due = True
        elif without_reports and pair.entries:
            self.send_pair(now, member)  # it has no acknowledgment of these transfers
        elif member not in self.reports:
            self.delete_pair(member)
        if self.resting:
            self.host.urge(self)
        if gained:
            self.reset_reserve_floor()
            if not (self.sealing or self.leaving):
                self.write_ahead(self.usable_rate())  # in the row that records what was received
            self.host.save(self)
            self.host.urge(self)
        if self.asked_member == member and pair.ask == self.ask_number:
            self.asked_member = ""
            if gained:
                self.tried_members.clear()
                self.settled_until = now + SETTLE_TIME
            else:
                self.tried_members.add(member)
            self.host.urge(self)

    def on_pair_while_unsure(self, now: float, member: str, pair: Pair) -> None:
        """Learns from another member whether it has received a later row than the one on disk."""
        own_account = self.account.row.account
        if pair.seen[:2] != (self.incarnation, own_account):
            return
        if pair.seen[2] > self.account.kept.number:
            self.settle_unsure(pair.seen[2])
            self.on_new_account(f"{member} has received a later row", own_account)
        elif self.register is not None and pair.mark < 0 and now - self.begun_at < CATCH_UP_TIME:
            return  # an older release doesn't know of deleted registers: wait for the batch number
        elif self.rules.home in (member, self.own_name):
            self.settle_unsure(pair.seen[2])
            self.report_due = True
            self.host.save(self)
            self.host.urge(self)
            self.host.log("wallet: no member knows a later row", wallet=self.name, by=member)
        else:
            return
        deferred, self.deferred_pairs = self.deferred_pairs, {}
        for sender, deferred_pair in deferred.items():
            self.on_pair(now, sender, deferred_pair)

    def on_written_off(self, now: float) -> None:
        """Transfers the rest to the home, which has written this account off, then opens a new account."""
        if not self.sealing:
            self.host.log(
                "wallet: written off while away; returning what is left to the home",
                wallet=self.name,
                account=self.account.row.account,
                left=self.account.held,
            )
        home = self.reports.get(self.rules.home)
        self.report_due = self.seal((self.rules.home, home.account) if home is not None else None)
        self.pairs_due.add(self.rules.home)
        self.host.save(self)
        self.host.urge(self)

    def on_own(self, now: float, report: Word) -> None:
        """Takes a report of an earlier incarnation of this member, which other members have kept."""
        if not self.loaded or self.inactive:
            return
        row, last = self.account.row, self.account.kept.number
        if report.account > row.account or (report.account == row.account and report.row > last):
            self.start_over("other members have received a later row")
        elif (
            report.topped > row.topped
            and self.own_name == self.rules.home
            and report.account < row.account
            and not self.old
            and row.barred != self.rules.books
        ):
            self.bar_top_ups()

    def on_outdated_folder(self, now: float) -> None:
        """Handles that others know a later state of this member's folder than was found at the start."""
        if not self.loaded:
            return
        if self.account_at_start is not None and self.account.row.account == self.account_at_start:
            if self.account.row.rests:
                self.open_new_account()
                self.account.dirty = False
            else:
                self.start_over("other members know a later state of the folder")
        else:
            self.on_became_home()

    def on_became_home(self) -> None:
        """Refuses top-ups if this member has become the home of books that had another home before.

        Ids of top-ups may have been entered there that are not known here.
        """
        if self.own_name == self.rules.home and self.account.row.barred != self.rules.books:
            self.bar_top_ups()

    def bar_top_ups(self) -> None:
        """Refuses top-ups until the operator names new books."""
        row = self.account.row
        row.barred, self.account.dirty = self.rules.books, True
        self.host.log(
            "wallet: refusing top-ups, ids of earlier ones may be lost; name new books in the file",
            wallet=self.name,
            books=self.rules.books,
        )
        self.host.save(self)

    # Transfers to other members.

    def usable_rate(self) -> float:
        """Returns the units a second that clients request here and may get."""
        return self.binding_rate if self.only_reserve_left else self.rate

    def known_reports(self) -> list[Word]:
        """Returns the last reports of the members that count; see `counted_members`."""
        return [self.reports[member] for member in self.counted_members()]

    def counted_members(self) -> list[str]:
        """Returns the other members that are alive, have reported, and are not written off."""
        reports, off = self.reports, self.account.row.off
        return [
            member
            for member in self.host.alive()
            if member in reports and off.get(member, 0) < reports[member].account
        ]

    def balance(self) -> int:
        """Returns the units that all living members hold, as far as is known here."""
        return max(self.account.held, 0) + sum(report.held for report in self.known_reports())

    def fair_share(self) -> tuple[float, float]:
        """Returns the seconds of its spending that each member may hold, and this member's rate."""
        rate = self.usable_rate()
        reports = self.known_reports()
        total = rate + sum(report.rate for report in reports)
        held = max(self.account.held, 0) + sum(report.held for report in reports)
        return (min(self.rules.alone, held / total) if total > MIN_RATE else self.rules.alone), rate

    def grant(self, now: float, member: str, report: Word) -> int:
        """Answers an ask and returns the units transferred, 0 if there are none to spare."""
        account, amount = self.account, 0
        can_transfer = not (self.unsure or self.leaving or self.sealing)
        if can_transfer and account.row.off.get(member, 0) < report.account:
            seconds, rate = self.fair_share()
            if rate < MIN_RATE and account.rights < report.want:
                account.put_back(account.free)
            spare = account.held - math.ceil(rate * seconds)
            fair_units = math.ceil(report.rate * seconds)
            if report.rate < MIN_RATE:
                fair_units, spare = report.want + report.held, min(spare, account.rights // EAGER_DIVISOR)
            amount = min(report.want, fair_units - report.held, spare, account.rights)
            if (
                amount <= 0
                and account.held < self.rules.least
                and (report.held, member) > (account.held, self.own_name)
            ):
                account.put_back(account.free)
                amount = account.rights
        if amount > 0:
            account.transfer((member, report.account), amount)
            self.pairs_due.add(member)
            self.host.save(self)
        self.answered_asks[member] = report.life, report.ask
        if amount <= 0:
            self.send_pair(now, member)
        return max(amount, 0)

    def grant_to_waiting(self, now: float) -> None:
        """Gives waiting members their share of units that have come in, without a further ask."""
        alive = set(self.host.alive())
        for member, report in list(self.reports.items()):
            if member in alive and report.want > 0 and report.held < max(report.rate, self.rules.top):
                self.grant(now, member, report)

    def send_pair(self, now: float, member: str) -> None:
        """Sends a member what is addressed to it alone: transfers, answers, write-offs, acknowledgments."""
        report = self.reports.get(member)
        entries = self.transfers_to(member) if self.has_unacknowledged(member) else []
        account_id = (member, report.account) if report is not None else (member, 0)
        seen = (
            (report.life, account_id[1], self.highest_rows.get(account_id, 0))
            if report is not None
            else (0, 0, 0)
        )
        mark = self.register.mark_of(member) if self.register is not None else -1
        if report is not None and report.unsure and report.mark < mark:
            # Its folder is older than the state that it has reported: there was a later row.
            seen = report.life, account_id[1], max(seen[2], min(report.row + 1, 1 << 62))
        # Guards against the answer "no later row" from a member that has just started and has not yet
        # received the later one that others know. Too slow after a power failure: unsure members wait that
        # long.
        if (
            report is not None
            and report.unsure
            and seen[2] <= report.row
            and now - self.begun_at < CATCH_UP_TIME
        ):
            seen = 0, 0, 0
        ask = self.answered_asks.get(member, (0, 0))[1]
        received = (
            self.received_from(member)
            if self.sends_no_reports or (report is not None and report.resting and self.register is not None)
            else []
        )
        off = self.account.kept.off.get(member, 0)
        self.sent_pairs[member] = entries, received, off
        self.tell(
            now,
            pair_cell(self.name, member),
            encode(Pair(VERSION, entries, ask, off, seen, mark, received)),
            (member,),
        )

    def tell(self, now: float, name: str, value: bytes, toward: tuple[str, ...]) -> None:
        """Writes a register of this member and sends it to the members `toward` first."""
        if self.register is not None:
            self.register.keep_register(name)
        self.host.tell(now, name, value, toward)

    # Writing to disk.

    def written(self, now: float) -> None:
        """Handles that the staged row is on disk: what it records may be sent to others."""
        self.account.written()
        if self.inactive:
            self.account.put_back(self.account.free)  # units that were being written ahead
        due, self.pairs_due = self.pairs_due, set()
        for member in sorted(due):  # sorted, so that every run does the same
            if self.has_unwritten_for(member):
                self.pairs_due.add(member)
            else:
                self.send_pair(now, member)
        if self.sealing:
            self.on_written_off(now)
        for member in [member for member, report in self.reports.items() if report.resting]:
            self.answer_resting(now, member)
        if self.account.kept.rests and self.account.row.rests:
            self.on_use_ended()
        if self.account.dirty:
            self.host.save(self)
        self.host.urge(self)

    def has_unwritten_for(self, member: str) -> bool:
        """Returns whether the next row records more for this member than the row on disk."""
        row, kept = self.account.row, self.account.kept
        return row.off.get(member, 0) != kept.off.get(member, 0) or any(
            total != kept.given.get(account_id, 0)
            for account_id, total in row.given.items()
            if account_id[0] == member
        )

    # Ticks.

    def reset_reserve_floor(self) -> None:
        """Sets this member's share of the reserve.

        This happens only when rights come in, so that the share also holds while members can't reach each
        other.
        """
        reserve = self.rules.reserve
        if reserve:
            balance = self.balance()
            share = 1.0 if balance <= reserve else reserve / balance
            self.reserve_floor = math.ceil(self.account.held * share)

    def update_reserve(self, now: float) -> None:
        """Estimates whether only the reserve is left, with what others have spent since their reports."""
        aged_reports = [
            (self.reports[member], now - self.reported_at[member]) for member in self.counted_members()
        ]
        spent = sum(
            min(report.held, report.rate * min(age, MAX_EXTRAPOLATION)) for report, age in aged_reports
        )
        in_flight = IN_FLIGHT_TIME * (self.rate + sum(report.rate for report, _ in aged_reports))
        left = self.balance() - spent - self.rules.reserve
        if left <= in_flight + (self.rules.piece + self.rate if self.only_reserve_left else 0.0):
            self.reserve_floor, self.only_reserve_left = max(self.account.held, 1), True
        elif self.only_reserve_left:
            self.only_reserve_left = False
            self.reset_reserve_floor()

    def tick(self, now: float) -> float:
        """Does what is due; returns the time of the next call at the latest, inf if none is needed."""
        next_tick = self.end_of_use(now)
        if next_tick is None:
            next_tick = self.apply_policy(now)
            if (
                self.register is not None
                and self.loaded
                and not (self.inactive or self.leaving or self.silent)
            ):
                idle = self.last_use_at + self.rules.rest
                next_tick = min(next_tick, idle if idle > now else next_tick)
        return next_tick

    def apply_policy(self, now: float) -> float:
        """Writes ahead, pauses, asks, returns surplus and reports; returns the time of the next call."""
        self.update_rates(now)
        if not self.loaded:
            return math.inf
        if self.inactive:
            return math.inf
        if self.unsure:
            return self.verify_row(now)
        if self.sealing:
            return now + RETRY_INTERVAL
        account, rules = self.account, self.rules
        if self.leaving:
            self.hand_back(now)
        elif now - self.last_debit_at > IDLE_AFTER and account.free > rules.piece and self.rate < MIN_RATE:
            account.put_back(account.free - rules.piece)
        rate = self.usable_rate()
        wanted = self.refused != self.refused_at_last_tick
        if not self.leaving:
            self.write_ahead(rate)
            if rules.reserve:
                self.update_reserve(now)
            self.update_pause(now, wanted)
            self.ask_for_more(now, rate)
            self.return_surplus(now)
        self.refused_at_last_tick = self.refused
        self.others_may_hold = any(report.held > 0 for report in self.known_reports()) or not (
            self.own_name == rules.home or rules.home in self.reports
        )
        if account.dirty:
            self.host.save(self)
        self.report(now)
        if self.rate > MIN_RATE or self.asked_member or self.pairs_due or wanted or self.leaving:
            return now + TICK_INTERVAL
        if account.free > rules.piece or self.slow_rate or account.kept.number != self.last_report_row:
            return now + IDLE_AFTER
        if self.asked_units:
            return max(now + IDLE_AFTER, self.failed_round_at + self.retry_interval(True, 0.0))
        return math.inf

    def write_ahead(self, rate: float) -> None:
        """Writes a piece ahead if too few units are ready for this rate of spending."""
        account, rules = self.account, self.rules
        low = rate * WRITE_AHEAD_LOW + rules.top
        piece = max(rules.piece, math.ceil(rate * WRITE_AHEAD), rules.top)
        # Small pieces near the end leave more of the balance to be transferred to other members.
        seconds = account.held / rate if rate > MIN_RATE else math.inf
        if seconds < 2 * WRITE_AHEAD:
            piece = max(rules.top, math.ceil(account.held / 2))
        if account.free + account.pending < low and account.rights > 0:
            account.write_ahead(piece)
        self.refill_below = math.ceil(low)

    def update_rates(self, now: float) -> None:
        """Smooths the rates of demand, in units a second, with what clients requested since the last call."""
        elapsed = now - self.rates_updated_at
        if elapsed < TICK_INTERVAL / 2:
            return
        weight = 1 - math.exp(-elapsed / RATE_TIME_CONSTANT)
        self.rate += (self.demand / elapsed - self.rate) * weight
        self.binding_rate += (self.binding_demand / elapsed - self.binding_rate) * weight
        self.slow_rate += (self.demand / elapsed - self.slow_rate) * (
            1 - math.exp(-elapsed / SLOW_RATE_TIME_CONSTANT)
        )
        if self.slow_rate < MIN_RATE:
            self.slow_rate = 0.0
        if self.rate < MIN_RATE:
            self.rate = self.binding_rate = 0.0
        if self.demand:
            self.failed_rounds = 0
        self.demand = self.binding_demand = 0
        self.rates_updated_at = now

    def verify_row(self, now: float) -> float:
        """Asks other members for a later row while unsure; returns the time of the next call.

        A home that has never transferred anything and finds no other member is sure after 3 s.
        """
        if (
            not list(self.host.alive())
            and not self.reports
            and now - self.begun_at > 3.0
            and self.own_name == self.rules.home
            and not self.account.row.given
            and not self.account.row.got
        ):
            self.unsure = False
        elif now - self.last_report_at > RETRY_INTERVAL:
            self.report_due = True
            self.report(now)
        return now + TICK_INTERVAL if not self.unsure else now + RETRY_INTERVAL / 2

    def update_pause(self, now: float, wanted: bool) -> None:
        """Starts or ends the pause of the wallet.

        A pause starts when a request was refused (`wanted`) and this member holds too little for any request.
        It ends when there are units ready to spend again.
        """
        account = self.account
        can_spend = account.held >= self.rules.least and (
            account.held > self.reserve_floor or self.binding_rate > MIN_RATE
        )
        if self.paused_since is None:
            if wanted and not can_spend:
                self.paused_since = now
                self.report_due = True
                self.host.log("wallet: paused", wallet=self.name, held=account.held, known=self.balance())
        elif can_spend and account.free >= self.rules.least:
            self.host.log(
                "wallet: goes on", wallet=self.name, held=account.held, after=f"{now - self.paused_since:.2f}"
            )
            self.paused_since, self.report_due = None, True

    def ask_for_more(self, now: float, rate: float) -> None:
        """Asks another member for units if it is time to."""
        rules, held = self.rules, self.account.held
        enough = rate * rules.alone
        least = rules.piece if rules.eager else 0
        if rate <= MIN_RATE and held >= min(least, rules.top) and self.paused_since is None:
            self.cancel_ask(now)
            return
        soon = held < max(rate * ASK_ANYONE_BELOW, rules.top)
        if held >= enough / 2 and not soon:
            self.cancel_ask(now)
            return
        if self.asked_member:
            if now - self.asked_at < ASK_TIMEOUT:
                return
            self.tried_members.add(self.asked_member)
            self.asked_member = ""
        if not soon and now < self.settled_until:
            return
        if now - self.failed_round_at < self.retry_interval(soon, rate):
            return
        alive = [member for member in self.host.alive() if member not in self.tried_members]
        home = rules.home
        target = ""
        if home in alive and (home not in self.reports or self.reports[home].held > 0):
            target = home
        elif soon:
            holders = [
                (self.reports[member].held, member)
                for member in alive
                if member in self.reports and self.reports[member].held > 0
            ]
            target = max(holders)[1] if holders else ""
        units = max(math.ceil(enough - held), least - held, rules.top - held, 1)
        if not target:
            self.tried_members.clear()
            self.failed_round_at, self.failed_rounds = now, self.failed_rounds + 1
            if self.asked_units != units and (self.asked_units == 0 or units > 2 * self.asked_units):
                self.asked_units, self.report_due = units, True  # the home grants it when units come in
            return
        self.ask_number, self.asked_member, self.asked_units, self.asked_at = (
            self.ask_number + 1,
            target,
            units,
            now,
        )
        if not soon:
            self.settled_until = now + SETTLE_TIME
        self.report(now, target)

    def retry_interval(self, soon: bool, rate: float) -> float:
        """Returns the seconds from a round of asks without success to the next."""
        if rate < MIN_RATE:
            # Guards against endless asks, after clients came and went, for a remainder that no member gives.
            # Too slow for an empty member without clients: it asks late for what others have to spare.
            first = SETTLE_TIME if self.paused_since is None else RETRY_INTERVAL
            return min(math.ldexp(first, min(self.failed_rounds, 10)), MAX_RETRY_INTERVAL)
        if not soon:
            return SETTLE_TIME
        return (
            RETRY_INTERVAL_SOON if any(report.held > 0 for report in self.known_reports()) else RETRY_INTERVAL
        )

    def cancel_ask(self, now: float) -> None:
        """Withdraws an ask, if there is one, with the next report."""
        if self.asked_units:
            self.asked_units, self.asked_member, self.report_due = 0, "", True
            self.tried_members.clear()

    def return_surplus(self, now: float) -> None:
        """Transfers a surplus to the home, as it would be lost with this member's folder."""
        rules, account = self.rules, self.account
        rate = max(self.slow_rate, self.rate)
        if rate <= 2 * MIN_RATE:
            rate = 0.0  # otherwise the minimum set below would raise what is kept, and ticks would never end
        keep = math.ceil(rate * rules.alone) + rules.piece
        if self.own_name == rules.home or account.rights + account.free <= SURPLUS_FACTOR * keep:
            self.surplus_since = math.inf
            return
        self.slow_rate = max(self.slow_rate, 2 * MIN_RATE)  # schedules another tick
        self.surplus_since = min(self.surplus_since, now)
        home = self.reports.get(rules.home)
        if now - self.surplus_since < SETTLE_TIME or home is None or rules.home not in self.host.alive():
            return
        if account.transfer((rules.home, home.account), account.rights + account.free - keep):
            self.pairs_due.add(rules.home)

    def hand_back(self, now: float, last: bool = False) -> None:
        """Transfers what is not needed for further requests to the home, or to the member that holds most.

        With `last`, no requests are expected any more, and nothing is kept.
        """
        account = self.account
        no_requests = last or now - self.last_debit_at > TICK_INTERVAL
        keep = 0 if no_requests else math.ceil(self.rate * WRITE_AHEAD)
        account.put_back(account.free - keep)
        if account.rights <= 0:
            return
        alive = [member for member in self.host.alive() if member in self.reports]
        recipient = (
            self.rules.home
            if self.rules.home in alive
            else max(alive, key=lambda member: (self.reports[member].held, member), default="")
        )
        if recipient:
            account.transfer((recipient, self.reports[recipient].account), account.rights)
            self.pairs_due.add(recipient)

    def report(self, now: float, toward: str = "") -> None:
        """Reports this member's state if a report is due or addressed to a member `toward`."""
        held = self.account.held
        low = held < self.rate * LOW_BALANCE or self.paused_since is not None or held < self.rules.top
        threshold = REPORT_CHANGE_LOW if low else REPORT_CHANGE
        changed = abs(held - self.last_report_held) > threshold * max(self.last_report_held, 1) or (
            abs(self.slow_rate - self.last_report_slow_rate)
            > REPORT_CHANGE * max(self.last_report_slow_rate, 1.0)
        )
        due = now - self.last_report_at >= (REPORT_INTERVAL_LOW if low else REPORT_INTERVAL) and changed
        kept = self.account.kept
        # Others must know the row numbers, so that a folder restored from an older copy is recognized.
        due = due or (
            now - self.last_report_at >= ROW_REPORT_INTERVAL and kept.number != self.last_report_row
        )
        if not (toward or self.report_due or due):
            return
        paused = now - self.paused_since if self.paused_since is not None else 0.0
        self.last_report_received = self.received_totals() if self.resting else []
        report = Word(
            VERSION,
            self.account.row.account,
            kept.number,
            max(held, 0),
            round(self.usable_rate(), 3),
            kept.topped,
            self.ask_number,
            self.asked_units,
            self.asked_member,
            paused,
            self.unsure,
            self.incarnation,
            self.rules.home,
            self.rules.books,
            self.register.found if self.unsure and self.register is not None else -1,
            self.resting,
            self.last_report_received,
        )
        self.report_due, self.last_report_at, self.last_report_held, self.last_report_slow_rate = (
            False,
            now,
            held,
            self.slow_rate,
        )
        self.last_report_row = kept.number
        self.tell(now, word_cell(self.name), encode(report), (toward,) if toward else ())

    # The end of its use here and at other members. Nothing here can break what the account guarantees: a
    # deleted register is written again from the row when it is needed.

    def end_of_use(self, now: float) -> float | None:
        """Ends the use of the wallet here when due; returns the next tick, None while it is in use."""
        register, row = self.register, self.account.row
        if (
            register is None
            or not self.loaded
            or self.inactive
            or self.leaving
            or self.unsure
            or self.sealing
        ):
            return None
        if now - self.last_use_at < self.rules.rest:
            if row.rests or self.resting:
                self.wake()
                self.resting, self.others_may_hold, self.report_due = False, True, True
            self.end_silence()
            return None
        if self.own_name == self.rules.home:
            return self.go_silent(now)
        if self.rules.eager:
            self.wake()
            return None
        if (row.rests and not self.account.held) or not (
            row.number or self.last_report_at > -math.inf or self.report_due
        ):
            return math.inf
        return self.end_use(now)

    def end_use(self, now: float) -> float:
        """Transfers everything to the home and ends the use; returns the time of the next tick.

        The registers are deleted once that transfer is on disk, all members that got transfers have
        acknowledged them, and the living members know what this one has received from them.
        """
        account, home = self.account, self.rules.home
        self.update_rates(now)
        self.cancel_ask(now)
        self.wake()
        self.paused_since, alive = None, set(self.host.alive())
        if home in self.reports and home in alive:
            account.put_back(account.free)
            if account.transfer((home, self.reports[home].account), account.rights):
                self.pairs_due.add(home)
        if account.dirty:
            self.host.save(self)
        if not self.resting or self.received_totals() != self.last_report_received:
            self.resting = self.report_due = True
        peers = {member for row in (*self.old, account.row) for member, _ in row.given}
        peers |= self.sent_pairs.keys() | self.received_pairs.keys()
        pending = [
            peer
            for peer in sorted(peers)
            if self.has_unacknowledged(peer) or (peer in alive and self.received_pairs.get(peer))
        ]
        if not (account.dirty or account.writing is not None):
            for member in pending:
                if self.has_unacknowledged(member) and member not in self.sent_pairs:
                    self.send_pair(now, member)
        self.report(now)
        if pending or home not in self.reports or home not in alive or not self.may_rest():
            return now + self.rules.rest / 5
        self.rest()
        self.host.save(self)
        return math.inf

    def on_use_ended(self) -> None:
        """Deletes the registers of the wallet, as the end of its use is on disk."""
        assert self.register is not None
        self.register.delete_registers(
            [word_cell(self.name), *(pair_cell(self.name, member) for member in self.sent_pairs)]
        )
        self.resting, self.others_may_hold, self.last_report_at = False, True, -math.inf
        self.sent_pairs.clear()
        self.last_report_received = []

    def can_be_silent(self) -> bool:
        """Returns whether this is the home and a claim has replaced its register."""
        return (
            self.register is not None
            and self.own_name == self.rules.home
            and self.register.claim_silently(self.name, self.rules.books)
        )

    def go_silent(self, now: float) -> float | None:
        """Deletes the home's register while no member uses the wallet; the home keeps what it holds.

        Returns the time of the next tick, or None if the home has to go on reporting.
        """
        account = self.account
        if self.silent:
            return math.inf
        if (
            self.reports
            or self.sent_pairs
            or any(self.received_pairs.values())
            or self.last_report_at == -math.inf
            or account.dirty
            or account.writing is not None
            or not self.can_be_silent()
        ):
            return None
        assert self.register is not None
        self.silent = True
        self.register.delete_registers([word_cell(self.name)])
        return math.inf

    def end_silence(self) -> None:
        """Makes the home report again."""
        if self.silent and self.register is not None:
            self.silent, self.report_due = False, True
            self.register.withdraw_claim(self.name)
            self.host.urge(self)

    @property
    def sends_no_reports(self) -> bool:
        """Whether this member has no register of its own.

        Other members then can't answer it, so that no such answer announces the end of their use.
        """
        row = self.account.row
        return self.register is not None and (
            row.rests or not (row.number or self.last_report_at > -math.inf)
        )

    def has_unacknowledged(self, member: str) -> bool:
        """Returns whether a member may not have received all transfers to its account."""
        report = self.reports.get(member)
        return any(
            self.acknowledged.get((own_account, member, its_account), 0) < total
            for own_account, its_account, total in self.transfers_to(member)
            if report is None or its_account >= report.account
        )

    def record_acknowledged(self, member: str, acknowledged: list[tuple[int, int, int]]) -> None:
        """Records what a member has on disk: own account, its account, total units received."""
        for own_account, its_account, total in acknowledged:
            known = self.acknowledged.get((own_account, member, its_account), 0)
            if total > known:
                self.acknowledged[own_account, member, its_account] = total

    def received_from(self, member: str) -> list[tuple[int, int, int]]:
        """Returns the transfers that a member no longer needs to report: its account, own account, total.

        They include transfers to closed accounts, which nobody will take.
        """
        if self.unsure:
            return []
        kept = self.account.kept
        return [
            (its_account, kept.account, total)
            for (giver, its_account), total in kept.got.items()
            if giver == member
        ][-4:] + [entry for entry in self.received_pairs.get(member, ()) if entry[1] < kept.account]

    def received_totals(self) -> list[ReceivedTotal]:
        """Returns what the account has received, as far as a report has room.

        Transfers that other members still report come first.
        """
        ordered = sorted(
            self.account.kept.got.items(), key=lambda item: not self.received_pairs.get(item[0][0])
        )
        totals, room = list[ReceivedTotal](), MAX_RECEIVED_BYTES
        for (giver, account), total in ordered:
            room -= len(giver) + 24
            if room < 0:
                break
            totals.append((giver, account, total))
        return totals

    def answer_resting(self, now: float, member: str) -> None:
        """Sends a member whose use is ending what it has not acknowledged, and what it may stop reporting."""
        if self.register is None:
            return
        entries = self.transfers_to(member) if self.has_unacknowledged(member) else []
        received = self.received_from(member)
        contents = entries, received, self.account.kept.off.get(member, 0)
        if (entries or received or member in self.sent_pairs) and self.sent_pairs.get(member) != contents:
            self.send_pair(now, member)

    def on_report_deleted(self, now: float, member: str) -> None:
        """Handles that a member's report was deleted.

        Its use has ended, or the report was one of an earlier incarnation.
        """
        report = self.reports.pop(member, None)
        self.reported_at.pop(member, None)
        for account_id in [account_id for account_id in self.highest_rows if account_id[0] == member]:
            del self.highest_rows[account_id]
        if report is None or not self.loaded or self.register is None:
            return
        if report.resting:
            self.answered_asks.pop(member, None)
        for own_account, its_account, total in self.transfers_to(member):
            if its_account < report.account:  # closed, so that the transfer can't be taken any more
                self.acknowledged[own_account, member, its_account] = total
        self.delete_pair(member, report.account)
        self.host.urge(self)

    def on_pair_deleted(self, now: float, member: str) -> None:
        """Handles that a member deleted what it had addressed to this one."""
        entries = self.received_pairs.pop(member, None)
        if self.loaded and self.sends_no_reports:
            self.delete_pair(member)
        if entries and self.loaded:
            self.host.urge(self)

    def delete_pair(self, member: str, account: int = 1) -> None:
        """Deletes what is addressed to a member if it has acknowledged all of it.

        `account` is the account that the member is known to have.
        """
        if (
            member in self.sent_pairs
            and not (self.unsure or self.has_unacknowledged(member) or member in self.pairs_due)
            and self.register is not None
            and self.account.row.off.get(member, 0) < account
        ):
            del self.sent_pairs[member]
            self.register.delete_registers([pair_cell(self.name, member)])
            self.host.urge(self)

    # The home.

    def top_up(self, now: float, top_up_id: str, amount: int) -> bool:
        """Adds a top-up, at the home only; returns whether its id is new.

        It is certain to count once it is on disk; see `entered`.
        """
        new = self.account.top_up(top_up_id, amount)
        if new:
            self.report_due, self.last_use_at = True, now
            self.end_silence()
            self.reset_reserve_floor()
            self.grant_to_waiting(now)
            self.host.save(self)
            self.host.urge(self)
        return new

    def conflicting_home(self) -> tuple[str, str] | None:
        """Returns a living member whose file names another home for the same books, and that home.

        Returns None if there is none.
        """
        reports, rules = self.reports, self.rules
        conflict = next(
            (
                (member, reports[member].home)
                for member in self.host.alive()
                if member in reports
                and reports[member].home not in ("", rules.home)
                and reports[member].books == rules.books
            ),
            None,
        )
        if conflict is None and self.register is not None:
            other = self.register.claimant(self.host.alive(), self.name, rules.books)
            return (other, other) if other else None
        return conflict

    def entered(self, top_up_id: str) -> bool:
        """Returns whether a top-up is on disk."""
        account = self.account
        return (
            top_up_id in account.ids
            and top_up_id not in account.fresh
            and top_up_id not in account.ids_writing
        )

    def write_off(self, now: float, member: str, account: int) -> None:
        """Writes off a member's accounts up to this one, at the home only."""
        if self.account.write_off(member, account):
            self.pairs_due.add(member)
            self.host.save(self)

    def deactivate(self, now: float) -> None:
        """Stops using the wallet here until `inactive` is False again; its rights are kept."""
        if not self.inactive:
            self.inactive = True
            if self.silent and self.register is not None:
                self.register.withdraw_claim(self.name)
            self.asked_units, self.asked_member = 0, ""
            if not (self.account.row.rests or self.silent):
                self.report(now, self.rules.home if self.loaded and self.account.row.number else "")
            self.account.put_back(self.account.free)
            if self.account.dirty:
                self.host.save(self)

    def leave(self, now: float) -> None:
        """Starts to transfer everything to other members, as this process is about to stop."""
        if self.account.row.rests or self.silent:
            return
        self.leaving = True
        self.asked_units, self.asked_member, self.report_due = 0, "", True
        self.host.urge(self)
