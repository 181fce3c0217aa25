"""One wallet at one member: when to write ahead, whom to ask, what to grant, when to pause. No I/O, no clock.

What may be spent, and that it is spent once, is the account's alone (`account.py`); nothing in here can break
it. Here is the policy by which rights follow the traffic:

- A member keeps what its clients ask for in `alone` seconds, or its fair part of the balance where that is
  less (a part by its rate of spending). It asks for more when half of that is used up, before it runs out.
- An ask names one member, and only that one answers: the home first, then whoever is known to hold most. The
  asked gives what it has over its own fair part, so rights only go from those above theirs to those below:
  two halves don't ask in circles, and twenty don't answer one ask.
- Who can't pay for one exchange with what is left hands it to the member that holds more (where equal, by
  name).
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from ...protocol.wallet import (
    VERSION,
    Pair,
    Took,
    Word,
    encode,
    pair_cell,
    word_cell,
)
from .account import Holding, Row, Trust, Who
from .register import TombstoneRegistry

RATE_TIME, SLOW_TIME = 0.5, 10.0  # seconds over which the rate of spending is smoothed: to ask, and to keep
LOOK = 0.1  # seconds between looks at a wallet that is in use
AHEAD, AHEAD_LOW = 0.5, 0.25  # seconds of spending that are written ahead, and at which more is
IDLE = 3.0  # seconds without an exchange after which what is written ahead is put back
PATIENCE = 0.4  # seconds that an ask has for its answer, before another member is asked
AGAIN, AGAIN_SOON = 1.0, 0.3  # seconds after a round of asks in vain; where somebody is known to have some
KNOWS = 10.0  # seconds after its start in which a member may not have heard all that the others know
MOST_AGAIN = 300.0  # seconds to which they grow, each time twice as long, while no client asks here
CLOSE = 3.0  # seconds of spending left at which words come often
SOON = 1.0  # seconds of spending left at which others than the home are asked too
CALM = 5.0  # seconds between asks of one that has enough for now, and for which one must have too much
MUCH = 2.0  # times what it keeps, which is too much
WORD, WORD_CLOSE = 2.0, 0.3  # seconds between words of what is held, and where it is little
CHANGED, CHANGED_CLOSE = 0.5, 0.2  # parts by which it must have changed
ROW = 5.0  # seconds until others are told of a row at the latest
OLD_WORD = 3.0  # seconds for which another is taken to have gone on spending since its word
MARGIN = 0.2  # seconds of spending that are under way while words are
TINY = 1e-3  # units a second that are none
MOST_TOOK = 500  # bytes of a word that tell what one that rests has got
EAGER_PART = 16  # a member without traffic gets at most so small a part of the giver's rights


@dataclass(frozen=True, slots=True)
class Rules:
    """Of the operator's file."""

    home: str
    piece: int = 20  # units written ahead at once at least
    reserve: int = 0  # units that binding exchanges alone may use
    alone: float = 60.0  # seconds of its traffic for which a member keeps rights
    come_back: float = 5.0  # seconds, told to those that are rejected while nobody is known to have anything
    least: int = 1  # the lowest price
    top: int = 1  # the highest
    eager: bool = True  # a member without traffic holds a piece too
    books: str = "1"  # ids of top-ups are told apart within it
    rejoin: str = "heard"  # or "new": an unsure row is taken for an old one
    rest: float = 300.0  # seconds without an exchange after which the use of a wallet ends here


class WalletHost(Protocol):
    def save(self, wallet: Wallet) -> None:
        """There is something to write: `account.stage()` is to be called when the disk is free."""

    def tell(self, now: float, cell: str, value: bytes, toward: tuple[str, ...]) -> None: ...

    def urge(self, wallet: Wallet) -> None:
        """`tick` is to be called soon."""

    def alive(self) -> Iterable[str]:
        """The other members that live, as far as is known."""

    def log(self, event: str, **fields: object) -> None: ...


class Wallet(Holding):
    def __init__(
        self,
        name: str,
        own: str,
        life: int,
        rules: Rules,
        host: WalletHost,
        now: float,
        chance: int = 0,
        register: TombstoneRegistry | None = None,
    ) -> None:
        """Spends nothing before `load`. With no `register` its use never ends here."""
        self.register = register
        self.name, self.own, self.rules, self.host = name, own, rules, host
        super().__init__(life, chance)
        self.loaded = self.leaving = self.out = self.all_reserved = False
        self.words: dict[str, Word] = {}
        self.heard_at: dict[str, float] = {}
        self.highest: dict[Who, int] = {}  # rows heard of
        self.told_pairs: dict[str, tuple[object, ...]] = {}
        self.from_pairs: dict[str, list[tuple[int, int, int]]] = {}  # what others say they gave
        self.acked: dict[tuple[int, str, int], int] = {}  # own account, member, its account: has it on disk
        self.answered: dict[str, tuple[int, int]] = {}  # asks of others, by life and number
        self.waiting: dict[str, Pair] = {}  # what others said while it was unsure
        self.pairs_due: set[str] = set()
        self.rate = self.binding_rate = self.slow = 0.0
        self.rich_since = math.inf
        self.demand = self.binding_demand = 0
        self.ticked = self.spent_at = now
        self.floor = 0  # of `held`, under which only binding exchanges are taken
        self.low = 0  # of `free`, under which more is to be written ahead
        self.refused = 0  # exchanges, ever
        self.refused_before = 0
        self.paused_since: float | None = None
        self.ask, self.of, self.want = 0, "", 0
        self.asked_at = self.calm_until = self.vain_at = -math.inf
        self.tried: set[str] = set()
        self.vain = 0  # rounds of asks in vain since a client asked
        self.begun_at, self.told_at, self.told_held, self.told_slow = now, -math.inf, 0, 0.0
        self.word_due, self.told_row = False, 0
        self.used_at = now  # when an exchange last came
        self.found: int | None = None  # the account that was on disk at the start
        self.resting = False  # its use has ended, and those it dealt with are still to hear of it
        self.told_took: list[Took] = []
        self.silent = False  # the home, which nobody needs to hear of
        self.hope = register is not None and own != rules.home  # others may have some
        self.planned, self.planned_at, self.looked_at = 0, math.inf, -math.inf  # the host's

    # The start.

    def load(self, now: float, row: Row | None, ids: dict[str, int], old: list[Row], trust: Trust) -> None:
        """What was found on disk; `row` None where there was nothing of this wallet."""
        if trust is Trust.UNSURE and row is not None:
            if self.rules.rejoin == "new":
                trust = Trust.OLD
            elif self.own == self.rules.home and not row.given and not row.got:
                trust = Trust.SURE  # there is nobody to ask
        if row is not None and self.own == self.rules.home:
            row.rests = False  # it was not the home then: ids of top-ups may be lost with a row
        rested = row is not None and row.rests
        self.take(row, ids, old, trust)
        self.loaded, self.begun_at, self.used_at = True, now, now
        self.found = row.account if row is not None else None
        self.silent = row is not None and trust is Trust.SURE and self.may_be_silent()
        self.word_due = not (row is None or rested or self.silent)
        if row is not None and rested:
            for (member, theirs), total in row.given.items():
                self.acked[row.account, member, theirs] = total
            self.account.dirty = False  # what has begun anew begins with its use
        elif row is not None and trust is Trust.OLD:
            self.has_begun_anew("its row on disk may not be the last", row.account)
        self.host.urge(self)

    def anew(self, why: str) -> None:
        """Nothing of the account is spent any more; what it gave is still told."""
        over = self.account.row.account
        self.begin_anew()
        self.has_begun_anew(why, over)

    def has_begun_anew(self, why: str, over: int) -> None:
        self.host.log("wallet: begins with nothing", wallet=self.name, why=why, left=self.lost, account=over)
        self.word_due, self.resting = True, False
        self.speak()
        if self.own == self.rules.home:
            self.bar()
        self.host.save(self)
        self.host.urge(self)

    # Exchanges. Nothing here takes longer where there are more wallets or members.

    def debit(self, now: float, price: int, binding: bool) -> bool:
        account = self.account
        self.demand += price
        self.used_at = now
        if binding:
            self.binding_demand += price
        if account.free < price or not (binding or account.rights + account.free - price >= self.floor):
            self.refused += 1
            self.host.urge(self)
            return False
        account.free -= price
        self.spent_at = now
        if account.free < self.low:
            self.host.urge(self)
        return True

    def credit(self, price: int) -> None:
        self.account.credit(price)
        if self.account.row.rests:
            self.host.urge(self)

    def hold_off(self) -> float:
        """Seconds, for one that is refused."""
        hope = self.hope or not self.loaded or self.unsure or self.account.held >= self.rules.top
        return min(AHEAD, self.rules.come_back) if hope else self.rules.come_back

    # What others say.

    def on_word(self, now: float, member: str, word: Word) -> None:
        before = self.words.get(member)
        self.words[member], self.heard_at[member] = word, now
        if before is not None and before.life != word.life and member in self.told_pairs:
            self.told_pairs[member] = ()  # to be told once more
        who = member, word.account
        self.highest[who] = max(self.highest.get(who, 0), word.row)
        self.hear_took(
            member,
            [(account, word.account, total) for giver, account, total in word.took if giver == self.own],
        )
        if not self.loaded or self.out:
            return
        self.speak()
        home = self.rules.home
        if (word.unsure and (self.own == home or member == home or self.highest[who] > word.row)) or (
            not self.told_pairs.get(member)
            and (self.account.kept.off.get(member, 0) >= word.account or self.owed(member))
        ):
            self.tell_pair(now, member)
        if word.resting:
            self.answer_rest(now, member)
            if self.own == home and self.told_at == -math.inf:
                self.word_due = True
                self.host.urge(self)
        if self.sealing and member == home:
            self.written_off(now)
        if word.of == self.own and (word.life, word.ask) != self.answered.get(member, (word.life, 0)):
            self.grant(now, member, word)
        elif (self.want or self.paused_since is not None or self.rules.reserve) and (
            before is None or before.held != word.held
        ):
            self.host.urge(self)

    def on_pair(self, now: float, member: str, pair: Pair) -> None:
        """What `member` says to this one."""
        if not self.loaded or self.out:
            return
        if self.unsure:
            self.waiting[member] = pair
            self.heard_unsure(now, member, pair)
            return
        if pair.off >= self.account.row.account and member == self.rules.home:
            self.written_off(now)
        self.from_pairs[member] = pair.entries
        self.hear_took(member, pair.took)
        quiet = self.quiet
        gained = self.take_gifts(member, pair.entries)
        if quiet and gained:
            self.word_due = True
        elif quiet and pair.entries:
            self.tell_pair(now, member)  # it does not know that it was heard
        elif member not in self.words:
            self.drop_pair(member)
        if self.resting:
            self.host.urge(self)
        if gained:
            self.floor_from_here()
            if not (self.sealing or self.leaving):
                self.write_ahead(self.usable_rate())  # in the same row
            self.host.save(self)
            self.host.urge(self)
        if self.of == member and pair.ask == self.ask:
            self.of = ""
            if gained:
                self.tried.clear()
                self.calm_until = now + CALM
            else:
                self.tried.add(member)
            self.host.urge(self)

    def heard_unsure(self, now: float, member: str, pair: Pair) -> None:
        over = self.account.row.account
        if pair.seen[:2] != (self.life, over):
            return
        if pair.seen[2] > self.account.kept.number:
            self.others_know(pair.seen[2])
            self.has_begun_anew(f"{member} has heard of a later row", over)
        elif self.register is not None and pair.mark < 0 and now - self.begun_at < KNOWS:
            return  # an older release knows nothing of words that were taken away: the mark has to come
        elif self.rules.home in (member, self.own):
            self.others_know(pair.seen[2])
            self.word_due = True
            self.host.save(self)
            self.host.urge(self)
            self.host.log("wallet: its row is the last that is known", wallet=self.name, by=member)
        else:
            return
        waiting, self.waiting = self.waiting, {}
        for giver, held_up in waiting.items():
            self.on_pair(now, giver, held_up)

    def written_off(self, now: float) -> None:
        """The home has written this account off: all that is left goes there, and then a new one begins."""
        if not self.sealing:
            self.host.log(
                "wallet: written off while away; what was left goes to the home",
                wallet=self.name,
                account=self.account.row.account,
                left=self.account.held,
            )
        home = self.words.get(self.rules.home)
        self.word_due = self.seal((self.rules.home, home.account) if home is not None else None)
        self.pairs_due.add(self.rules.home)
        self.host.save(self)
        self.host.urge(self)

    def on_own(self, now: float, word: Word) -> None:
        """A word of an earlier life of this member, as others have kept it."""
        if not self.loaded or self.out:
            return
        row, last = self.account.row, self.account.kept.number
        if word.account > row.account or (word.account == row.account and word.row > last):
            self.anew("others have a later row of it")
        elif (
            word.topped > row.topped
            and self.own == self.rules.home
            and word.account < row.account
            and not self.old
            and row.barred != self.rules.books
        ):
            self.bar()

    def older_folder(self, now: float) -> None:
        """Others know a later state of this member's folder than was found at the start."""
        if not self.loaded:
            return
        if self.found is not None and self.account.row.account == self.found:
            if self.account.row.rests:
                self.begin_anew()
                self.account.dirty = False
            else:
                self.anew("others know a later state of its folder")
        else:
            self.came_home()

    def came_home(self) -> None:
        """By the file it was not the home of these books before: ids may have come in elsewhere."""
        if self.own == self.rules.home and self.account.row.barred != self.rules.books:
            self.bar()

    def bar(self) -> None:
        row = self.account.row
        row.barred, self.account.dirty = self.rules.books, True
        self.host.log(
            "wallet: top-ups are refused, ids of earlier ones may be forgotten",
            wallet=self.name,
            books=self.rules.books,
        )
        self.host.save(self)

    # Rights go to others.

    def usable_rate(self) -> float:
        """Units a second that clients here ask for and may get."""
        return self.binding_rate if self.all_reserved else self.rate

    def known(self) -> list[Word]:
        """Of the others that live and whose account stands."""
        return [self.words[member] for member in self.standing()]

    def standing(self) -> list[str]:
        words, off = self.words, self.account.row.off
        return [m for m in self.host.alive() if m in words and off.get(m, 0) < words[m].account]

    def balance(self) -> int:
        """As far as is known here, of those that live."""
        return max(self.account.held, 0) + sum(word.held for word in self.known())

    def fair(self) -> tuple[float, float]:
        """Seconds of spending that each may hold, and the own rate."""
        rate = self.usable_rate()
        words = self.known()
        total = rate + sum(word.rate for word in words)
        held = max(self.account.held, 0) + sum(word.held for word in words)
        return (min(self.rules.alone, held / total) if total > TINY else self.rules.alone), rate

    def grant(self, now: float, member: str, word: Word) -> int:
        """Answers an ask, with nothing where there is nothing to spare."""
        account, amount = self.account, 0
        may = not (self.unsure or self.leaving or self.sealing)
        if may and account.row.off.get(member, 0) < word.account:
            seconds, rate = self.fair()
            if rate < TINY and account.rights < word.want:
                account.put_back(account.free)
            spare = account.held - math.ceil(rate * seconds)
            fair_part = math.ceil(word.rate * seconds)
            if word.rate < TINY:
                fair_part, spare = word.want + word.held, min(spare, account.rights // EAGER_PART)
            amount = min(word.want, fair_part - word.held, spare, account.rights)
            if (
                amount <= 0
                and account.held < self.rules.least
                and (word.held, member) > (account.held, self.own)
            ):
                account.put_back(account.free)
                amount = account.rights
        if amount > 0:
            account.give((member, word.account), amount)
            self.pairs_due.add(member)
            self.host.save(self)
        self.answered[member] = word.life, word.ask
        if amount <= 0:
            self.tell_pair(now, member)
        return max(amount, 0)

    def grant_waiting(self, now: float) -> None:
        """Something has come in: those that wait get their part unasked."""
        alive = set(self.host.alive())
        for member, word in list(self.words.items()):
            if member in alive and word.want > 0 and word.held < max(word.rate, self.rules.top):
                self.grant(now, member, word)

    def tell_pair(self, now: float, member: str) -> None:
        word = self.words.get(member)
        entries = self.gifts(member) if self.owed(member) else []
        who = (member, word.account) if word is not None else (member, 0)
        seen = (word.life, who[1], self.highest.get(who, 0)) if word is not None else (0, 0, 0)
        mark = self.register.mark_of(member) if self.register is not None else -1
        if word is not None and word.unsure and word.mark < mark:
            # Its folder is older than it has told: there was a later row.
            seen = word.life, who[1], max(seen[2], min(word.row + 1, 1 << 62))
        # Guards against "no later row" from one that has only just begun, and was not told yet of the later
        # one that others know. May hurt after a failure of power: who is unsure waits so long.
        if word is not None and word.unsure and seen[2] <= word.row and now - self.begun_at < KNOWS:
            seen = 0, 0, 0
        ask = self.answered.get(member, (0, 0))[1]
        took = (
            self.took_from(member)
            if self.quiet or (word is not None and word.resting and self.register is not None)
            else []
        )
        off = self.account.kept.off.get(member, 0)
        self.told_pairs[member] = entries, took, off
        self.tell(
            now,
            pair_cell(self.name, member),
            encode(Pair(VERSION, entries, ask, off, seen, mark, took)),
            (member,),
        )

    def tell(self, now: float, name: str, value: bytes, toward: tuple[str, ...]) -> None:
        if self.register is not None:
            self.register.told(name)
        self.host.tell(now, name, value, toward)

    # The disk.

    def written(self, now: float) -> None:
        """What was staged is on disk: its words may go out."""
        self.account.written()
        if self.out:
            self.account.put_back(self.account.free)  # what was on its way to be spent
        due, self.pairs_due = self.pairs_due, set()
        for member in sorted(due):  # in whatever order it was put, the same is done each time
            if self.more_for(member):
                self.pairs_due.add(member)
            else:
                self.tell_pair(now, member)
        if self.sealing:
            self.written_off(now)
        for member in [member for member, word in self.words.items() if word.resting]:
            self.answer_rest(now, member)
        if self.account.kept.rests and self.account.row.rests:
            self.has_ended()
        if self.account.dirty:
            self.host.save(self)
        self.host.urge(self)

    def more_for(self, member: str) -> bool:
        """Whether the row that is to be written says more for this member than the one on disk."""
        row, kept = self.account.row, self.account.kept
        return row.off.get(member, 0) != kept.off.get(member, 0) or any(
            total != kept.given.get(who, 0) for who, total in row.given.items() if who[0] == member
        )

    # Time.

    def floor_from_here(self) -> None:
        """The own part of the reserve, fixed where rights come in, so that it holds in a cut too."""
        reserve = self.rules.reserve
        if reserve:
            balance = self.balance()
            part = 1.0 if balance <= reserve else reserve / balance
            self.floor = math.ceil(self.account.held * part)

    def look_at_reserve(self, now: float) -> None:
        """Whether only the reserve is left, as far as can be told: others have spent since their words."""
        known = [(self.words[member], now - self.heard_at[member]) for member in self.standing()]
        spent = sum(min(word.held, word.rate * min(age, OLD_WORD)) for word, age in known)
        under_way = MARGIN * (self.rate + sum(word.rate for word, _ in known))
        left = self.balance() - spent - self.rules.reserve
        if left <= under_way + (self.rules.piece + self.rate if self.all_reserved else 0.0):
            self.floor, self.all_reserved = max(self.account.held, 1), True
        elif self.all_reserved:
            self.all_reserved = False
            self.floor_from_here()

    def tick(self, now: float) -> float:
        """Does what is due; when to be called next at the latest."""
        at = self.end_of_use(now)
        if at is None:
            at = self.act(now)
            if self.register is not None and self.loaded and not (self.out or self.leaving or self.silent):
                idle = self.used_at + self.rules.rest
                at = min(at, idle if idle > now else at)
        return at

    def act(self, now: float) -> float:
        self.rates(now)
        if not self.loaded:
            return math.inf
        if self.out:
            return math.inf
        if self.unsure:
            return self.look_for_sure(now)
        if self.sealing:
            return now + AGAIN
        account, rules = self.account, self.rules
        if self.leaving:
            self.hand_back(now)
        elif now - self.spent_at > IDLE and account.free > rules.piece and self.rate < TINY:
            account.put_back(account.free - rules.piece)
        rate = self.usable_rate()
        wanted = self.refused != self.refused_before
        if not self.leaving:
            self.write_ahead(rate)
            if rules.reserve:
                self.look_at_reserve(now)
            self.pauses(now, wanted)
            self.seek(now, rate)
            self.give_up(now)
        self.refused_before = self.refused
        self.hope = any(word.held > 0 for word in self.known()) or not (
            self.own == rules.home or rules.home in self.words
        )
        if account.dirty:
            self.host.save(self)
        self.say(now)
        if self.rate > TINY or self.of or self.pairs_due or wanted or self.leaving:
            return now + LOOK
        if account.free > rules.piece or self.slow or account.kept.number != self.told_row:
            return now + IDLE
        if self.want:
            return max(now + IDLE, self.vain_at + self.wait_again(True, 0.0))
        return math.inf

    def write_ahead(self, rate: float) -> None:
        account, rules = self.account, self.rules
        low = rate * AHEAD_LOW + rules.top
        piece = max(rules.piece, math.ceil(rate * AHEAD), rules.top)
        # Near the end pieces are small, so that what is left is not bound up here and there.
        seconds = account.held / rate if rate > TINY else math.inf
        if seconds < 2 * AHEAD:
            piece = max(rules.top, math.ceil(account.held / 2))
        if account.free + account.coming < low and account.rights > 0:
            account.ahead(piece)
        self.low = math.ceil(low)

    def rates(self, now: float) -> None:
        dt = now - self.ticked
        if dt < LOOK / 2:
            return
        part = 1 - math.exp(-dt / RATE_TIME)
        self.rate += (self.demand / dt - self.rate) * part
        self.binding_rate += (self.binding_demand / dt - self.binding_rate) * part
        self.slow += (self.demand / dt - self.slow) * (1 - math.exp(-dt / SLOW_TIME))
        if self.slow < TINY:
            self.slow = 0.0
        if self.rate < TINY:
            self.rate = self.binding_rate = 0.0
        if self.demand:
            self.vain = 0
        self.demand = self.binding_demand = 0
        self.ticked = now

    def look_for_sure(self, now: float) -> float:
        if (
            not list(self.host.alive())
            and not self.words
            and now - self.begun_at > 3.0
            and self.own == self.rules.home
            and not self.account.row.given
            and not self.account.row.got
        ):
            self.unsure = False
        elif now - self.told_at > AGAIN:
            self.word_due = True
            self.say(now)
        return now + LOOK if not self.unsure else now + AGAIN / 2

    def pauses(self, now: float, wanted: bool) -> None:
        """Told where it lasts; a look in which nothing was refused, though asked for, ends it."""
        account = self.account
        can = account.held >= self.rules.least and (account.held > self.floor or self.binding_rate > TINY)
        if self.paused_since is None:
            if wanted and not can:
                self.paused_since = now
                self.word_due = True
                self.host.log("wallet: paused", wallet=self.name, held=account.held, known=self.balance())
        elif can and account.free >= self.rules.least:
            self.host.log(
                "wallet: goes on", wallet=self.name, held=account.held, after=f"{now - self.paused_since:.2f}"
            )
            self.paused_since, self.word_due = None, True

    def seek(self, now: float, rate: float) -> None:
        """Asks for more where it is time to."""
        rules, held = self.rules, self.account.held
        enough = rate * rules.alone
        least = rules.piece if rules.eager else 0
        if rate <= TINY and held >= min(least, rules.top) and self.paused_since is None:
            self.drop_ask(now)
            return
        soon = held < max(rate * SOON, rules.top)
        if held >= enough / 2 and not soon:
            self.drop_ask(now)
            return
        if self.of:
            if now - self.asked_at < PATIENCE:
                return
            self.tried.add(self.of)
            self.of = ""
        if not soon and now < self.calm_until:
            return
        if now - self.vain_at < self.wait_again(soon, rate):
            return
        alive = [m for m in self.host.alive() if m not in self.tried]
        home = rules.home
        to = ""
        if home in alive and (home not in self.words or self.words[home].held > 0):
            to = home
        elif soon:
            rich = [(self.words[m].held, m) for m in alive if m in self.words and self.words[m].held > 0]
            to = max(rich)[1] if rich else ""
        want = max(math.ceil(enough - held), least - held, rules.top - held, 1)
        if not to:
            self.tried.clear()
            self.vain_at, self.vain = now, self.vain + 1
            if self.want != want and (self.want == 0 or want > 2 * self.want):
                self.want, self.word_due = want, True  # the home sees it when something comes in
            return
        self.ask, self.of, self.want, self.asked_at = self.ask + 1, to, want, now
        if not soon:
            self.calm_until = now + CALM
        self.say(now, to)

    def wait_again(self, soon: bool, rate: float) -> float:
        if rate < TINY:
            # Guards against asks without end for a rest that nobody gives, where clients came and went. May
            # hurt who is empty and has no clients: what others have over is asked for late.
            first = CALM if self.paused_since is None else AGAIN
            return min(math.ldexp(first, min(self.vain, 10)), MOST_AGAIN)
        if not soon:
            return CALM
        return AGAIN_SOON if any(word.held > 0 for word in self.known()) else AGAIN

    def drop_ask(self, now: float) -> None:
        if self.want:
            self.want, self.of, self.word_due = 0, "", True
            self.tried.clear()

    def give_up(self, now: float) -> None:
        """What is far more than is kept goes to the home: it would be lost with this member's folder."""
        rules, account = self.rules, self.account
        rate = max(self.slow, self.rate)
        if rate <= 2 * TINY:
            rate = 0.0  # else what is set below, to look again, would make it keep more, and look without end
        keep = math.ceil(rate * rules.alone) + rules.piece
        if self.own == rules.home or account.rights + account.free <= MUCH * keep:
            self.rich_since = math.inf
            return
        self.slow = max(self.slow, 2 * TINY)  # it is looked at again
        self.rich_since = min(self.rich_since, now)
        home = self.words.get(rules.home)
        if now - self.rich_since < CALM or home is None or rules.home not in self.host.alive():
            return
        if account.give((rules.home, home.account), account.rights + account.free - keep):
            self.pairs_due.add(rules.home)

    def hand_back(self, now: float, last: bool = False) -> None:
        """What is not needed for what still comes in goes to the home, or to the one that holds most."""
        account = self.account
        quiet = last or now - self.spent_at > LOOK
        keep = 0 if quiet else math.ceil(self.rate * AHEAD)
        account.put_back(account.free - keep)
        if account.rights <= 0:
            return
        alive = [m for m in self.host.alive() if m in self.words]
        to = (
            self.rules.home
            if self.rules.home in alive
            else max(alive, key=lambda m: (self.words[m].held, m), default="")
        )
        if to:
            account.give((to, self.words[to].account), account.rights)
            self.pairs_due.add(to)

    def say(self, now: float, toward: str = "") -> None:
        """The own word, where there is one to say."""
        held = self.account.held
        close = held < self.rate * CLOSE or self.paused_since is not None or held < self.rules.top
        part = CHANGED_CLOSE if close else CHANGED
        changed = abs(held - self.told_held) > part * max(self.told_held, 1) or (
            abs(self.slow - self.told_slow) > CHANGED * max(self.told_slow, 1.0)
        )
        due = now - self.told_at >= (WORD_CLOSE if close else WORD) and changed
        kept = self.account.kept
        # Others must have heard of rows, so that a folder that was set back is known as such.
        due = due or (now - self.told_at >= ROW and kept.number != self.told_row)
        if not (toward or self.word_due or due):
            return
        paused = now - self.paused_since if self.paused_since is not None else 0.0
        self.told_took = self.took() if self.resting else []
        word = Word(
            VERSION,
            self.account.row.account,
            kept.number,
            max(held, 0),
            round(self.usable_rate(), 3),
            kept.topped,
            self.ask,
            self.want,
            self.of,
            paused,
            self.unsure,
            self.life,
            self.rules.home,
            self.rules.books,
            self.register.found if self.unsure and self.register is not None else -1,
            self.resting,
            self.told_took,
        )
        self.word_due, self.told_at, self.told_held, self.told_slow = False, now, held, self.slow
        self.told_row = kept.number
        self.tell(now, word_cell(self.name), encode(word), (toward,) if toward else ())

    # The end of its use here, and of others'. Nothing here can break what the account keeps: a cell that is
    # gone is told again from the row when it is needed.

    def end_of_use(self, now: float) -> float | None:
        """When to look again; None while it is in use."""
        register, row = self.register, self.account.row
        if register is None or not self.loaded or self.out or self.leaving or self.unsure or self.sealing:
            return None
        if now - self.used_at < self.rules.rest:
            if row.rests or self.resting:
                self.wake()
                self.resting, self.hope, self.word_due = False, True, True
            self.speak()
            return None
        if self.own == self.rules.home:
            return self.fall_silent(now)
        if self.rules.eager:
            self.wake()
            return None
        if (row.rests and not self.account.held) or not (
            row.number or self.told_at > -math.inf or self.word_due
        ):
            return math.inf
        return self.end(now)

    def end(self, now: float) -> float:
        """All goes to the home. When that is on disk, all to whom it gave have heard of it, and the living
        know what it took, its cells may go."""
        account, home = self.account, self.rules.home
        self.rates(now)
        self.drop_ask(now)
        self.wake()
        self.paused_since, alive = None, set(self.host.alive())
        if home in self.words and home in alive:
            account.put_back(account.free)
            if account.give((home, self.words[home].account), account.rights):
                self.pairs_due.add(home)
        if account.dirty:
            self.host.save(self)
        if not self.resting or self.took() != self.told_took:
            self.resting = self.word_due = True
        peers = {member for row in (*self.old, account.row) for member, _ in row.given}
        peers |= self.told_pairs.keys() | self.from_pairs.keys()
        waits = [m for m in sorted(peers) if self.owed(m) or (m in alive and self.from_pairs.get(m))]
        if not (account.dirty or account.writing is not None):
            for member in waits:
                if self.owed(member) and member not in self.told_pairs:
                    self.tell_pair(now, member)
        self.say(now)
        if waits or home not in self.words or home not in alive or not self.may_rest():
            return now + self.rules.rest / 5
        self.rest()
        self.host.save(self)
        return math.inf

    def has_ended(self) -> None:
        """On disk."""
        assert self.register is not None
        self.register.ended([word_cell(self.name), *(pair_cell(self.name, m) for m in self.told_pairs)])
        self.resting, self.hope, self.told_at = False, True, -math.inf
        self.told_pairs.clear()
        self.told_took = []

    def may_be_silent(self) -> bool:
        return (
            self.register is not None
            and self.own == self.rules.home
            and self.register.silence(self.name, self.rules.books)
        )

    def fall_silent(self, now: float) -> float | None:
        """The home keeps what it holds. It tells nothing while nobody is there to hear it."""
        account = self.account
        if self.silent:
            return math.inf
        if (
            self.words
            or self.told_pairs
            or any(self.from_pairs.values())
            or self.told_at == -math.inf
            or account.dirty
            or account.writing is not None
            or not self.may_be_silent()
        ):
            return None
        assert self.register is not None
        self.silent = True
        self.register.ended([word_cell(self.name)])
        return math.inf

    def speak(self) -> None:
        """It is heard again."""
        if self.silent and self.register is not None:
            self.silent, self.word_due = False, True
            self.register.speaks(self.name)
            self.host.urge(self)

    @property
    def quiet(self) -> bool:
        """Whether it tells no word, and so hears of no end of another's use by an answer to one."""
        row = self.account.row
        return self.register is not None and (row.rests or not (row.number or self.told_at > -math.inf))

    def owed(self, member: str) -> bool:
        """Whether it may not have heard of all gifts to its account."""
        word = self.words.get(member)
        return any(
            self.acked.get((mine, member, theirs), 0) < total
            for mine, theirs, total in self.gifts(member)
            if word is None or theirs >= word.account
        )

    def hear_took(self, member: str, took: list[tuple[int, int, int]]) -> None:
        for mine, theirs, total in took:
            known = self.acked.get((mine, member, theirs), 0)
            if total > known:
                self.acked[mine, member, theirs] = total

    def took_from(self, member: str) -> list[tuple[int, int, int]]:
        """What it need not tell any more; gifts to accounts that are over are taken by nobody."""
        if self.unsure:
            return []
        kept = self.account.kept
        return [
            (theirs, kept.account, total) for (giver, theirs), total in kept.got.items() if giver == member
        ][-4:] + [one for one in self.from_pairs.get(member, ()) if one[1] < kept.account]

    def took(self) -> list[Took]:
        """As much of it as a word has room for, first what others still tell."""
        told = sorted(self.account.kept.got.items(), key=lambda one: not self.from_pairs.get(one[0][0]))
        found, room = list[Took](), MOST_TOOK
        for (giver, account), total in told:
            room -= len(giver) + 24
            if room < 0:
                break
            found.append((giver, account, total))
        return found

    def answer_rest(self, now: float, member: str) -> None:
        if self.register is None:
            return
        entries = self.gifts(member) if self.owed(member) else []
        took = self.took_from(member)
        told = entries, took, self.account.kept.off.get(member, 0)
        if (entries or took or member in self.told_pairs) and self.told_pairs.get(member) != told:
            self.tell_pair(now, member)

    def on_gone(self, now: float, member: str) -> None:
        """Its word was taken away: its use has ended, or what an earlier life of it told is over."""
        word = self.words.pop(member, None)
        self.heard_at.pop(member, None)
        for who in [who for who in self.highest if who[0] == member]:
            del self.highest[who]
        if word is None or not self.loaded or self.register is None:
            return
        if word.resting:
            self.answered.pop(member, None)
        for mine, theirs, total in self.gifts(member):
            if theirs < word.account:  # nobody takes it any more
                self.acked[mine, member, theirs] = total
        self.drop_pair(member, word.account)
        self.host.urge(self)

    def on_pair_gone(self, now: float, member: str) -> None:
        told = self.from_pairs.pop(member, None)
        if self.loaded and self.quiet:
            self.drop_pair(member)
        if told and self.loaded:
            self.host.urge(self)

    def drop_pair(self, member: str, account: int = 1) -> None:
        """What was told to it, where it has heard of all. `account`: the one that it is known to have."""
        if (
            member in self.told_pairs
            and not (self.unsure or self.owed(member) or member in self.pairs_due)
            and self.register is not None
            and self.account.row.off.get(member, 0) < account
        ):
            del self.told_pairs[member]
            self.register.ended([pair_cell(self.name, member)])
            self.host.urge(self)

    # The home.

    def top_up(self, now: float, id: str, amount: int) -> bool:
        """Whether it is new. It counts when it is on disk: `entered` tells."""
        new = self.account.top_up(id, amount)
        if new:
            self.word_due, self.used_at = True, now
            self.speak()
            self.floor_from_here()
            self.grant_waiting(now)
            self.host.save(self)
            self.host.urge(self)
        return new

    def other_home(self) -> tuple[str, str] | None:
        """A member that lives and whose file names another home for the same books, and that home."""
        words, rules = self.words, self.rules
        told = next(
            (
                (m, words[m].home)
                for m in self.host.alive()
                if m in words and words[m].home not in ("", rules.home) and words[m].books == rules.books
            ),
            None,
        )
        if told is None and self.register is not None:
            other = self.register.claimant(self.host.alive(), self.name, rules.books)
            return (other, other) if other else None
        return told

    def entered(self, id: str) -> bool:
        account = self.account
        return id in account.ids and id not in account.fresh and id not in account.ids_writing

    def write_off(self, now: float, member: str, account: int) -> None:
        if self.account.write_off(member, account):
            self.pairs_due.add(member)
            self.host.save(self)

    def put_away(self, now: float) -> None:
        """It is not used here any more, until `out` is false again; its rights stay."""
        if not self.out:
            self.out = True
            if self.silent and self.register is not None:
                self.register.speaks(self.name)
            self.want, self.of = 0, ""
            if not (self.account.row.rests or self.silent):
                self.say(now, self.rules.home if self.loaded and self.account.row.number else "")
            self.account.put_back(self.account.free)
            if self.account.dirty:
                self.host.save(self)

    def leave(self, now: float) -> None:
        if self.account.row.rests or self.silent:
            return
        self.leaving = True
        self.want, self.of, self.word_due = 0, "", True
        self.host.urge(self)
