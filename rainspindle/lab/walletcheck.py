"""The rights of a wallet explored exhaustively at small size, with the very classes that run in service.

Three members, the first is the home. Each may write ahead, put back, debit, give; its disk writes, or fails
with the row on it or not; it may crash at every step, with a write half done that turns out either way, and
start again by its folder, by an older copy of it that is noticed, or by none. What was ever told may come at
any time later, again and again, in any order, or never: words are a set that only grows. The home may write
others off, whether they live or not. A member's use may end when nothing is left in its account: its words
of rows are forgotten by all then, and only the number of its folder's last batch is known; it begins again
with a gift at any time. In no state may more have been done than was paid for.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import Any

from ..decisions.wallet.account import ACCOUNT_SHIFT, Account, MemberAccounts, Row, Trust
from .explore import Found, explore

Frozen = tuple[Any, ...]  # a row: account, number, spent, back, topped, given, got, off, rests, barred


@dataclass(frozen=True, slots=True)
class Size:
    """How often each may happen in all."""

    top_ups: tuple[int, ...] = (2,)  # units of each payment; each may be repeated without end
    gives: int = 2
    aheads: int = 2
    backs: int = 0
    crashes: int = 1
    fails: int = 0
    copies: int = 0
    offs: int = 0
    boots: int = 0  # restarts of the machine, by the volume as it is or set back, which is not noticed
    ends: int = 0  # of a member's use
    members: int = 3


@dataclass(frozen=True, slots=True)
class Disk:
    rows: tuple[tuple[Frozen, bool], ...] = ()  # and whether it was noticed as an older copy
    ids: frozenset[str] = frozenset()
    number: int = 0  # of its last batch, where uses end


@dataclass(frozen=True, slots=True)
class Life:
    """What a member has in memory."""

    row: Frozen
    kept: Frozen
    writing: Frozen | None = None
    free: int = 0
    dirty: bool = False
    ids: frozenset[str] = frozenset()
    fresh: tuple[str, ...] = ()
    ids_writing: tuple[str, ...] = ()
    old: tuple[Frozen, ...] = ()
    sealing: bool = False
    unsure: bool = False
    found: int = 0  # the last batch that was on disk at its start


@dataclass(frozen=True, slots=True)
class Member:
    disk: Disk = Disk()
    life: int = 1
    live: Life | None = None
    copy: Disk | None = None


@dataclass(frozen=True, slots=True)
class World:
    members: tuple[Member, ...]
    left: tuple[int, ...]  # of gives, aheads, backs, crashes, fails, copies, offs, boots, ends
    words: frozenset[tuple[Any, ...]] = frozenset()
    paid: frozenset[int] = frozenset()  # top-ups that were ever asked for
    done: int = 0


Next = tuple[str, World]
GIVES, AHEADS, BACKS, CRASHES, FAILS, COPIES, OFFS, BOOTS, ENDS = range(9)
LIFE = 1000  # batches of one life at most


def frozen(row: Row) -> Frozen:
    return (
        row.account,
        row.number,
        row.spent,
        row.back,
        row.topped,
        tuple(sorted(row.given.items())),
        tuple(sorted(row.got.items())),
        tuple(sorted(row.off.items())),
        row.rests,
        row.barred,
    )


def thawed(row: Frozen) -> Row:
    account, number, spent, back, topped, given, got, off, rests, barred = row
    return Row(account, number, spent, back, topped, dict(given), dict(got), dict(off), barred, rests)


def name(member: int) -> str:
    return "ABCDE"[member]


class Checker:
    def __init__(
        self,
        size: Size,
        make_account: Callable[[Row, dict[str, int]], Account] = Account,
        make_holding: Callable[[int], MemberAccounts] = MemberAccounts,
        notices: bool = True,
        keeps_ids: bool = True,
        returns: bool = False,
        bars: bool = True,
        hears_last: bool = True,
        marks: bool = True,
        hasty: bool = False,
    ) -> None:
        """The rest is for planting faults: older copies are not noticed, ids of top-ups are not written down,
        a write-off gives the home what the other was last heard to hold, a home that was put back goes on
        taking top-ups. Not `hears_last`: who answers the unsure may have missed its last rows. Not `marks`:
        the number of the last batch is not told with the end of a use; `hasty`: a use ends before what was
        handed back is on disk."""
        self.size, self.make_account, self.make_holding = size, make_account, make_holding
        self.notices, self.keeps_ids, self.returns, self.bars = notices, keeps_ids, returns, bars
        self.hears_last, self.marks, self.hasty = hears_last, marks, hasty

    # Between the classes and their states.

    def holding(self, member: Member) -> MemberAccounts:
        live = member.live
        assert live is not None
        made = self.make_holding(member.life)
        account = made.account = self.make_account(thawed(live.row), dict.fromkeys(live.ids, 0))
        account.kept = thawed(live.kept)
        account.writing = thawed(live.writing) if live.writing is not None else None
        account.free, account.dirty = live.free, live.dirty
        account.fresh, account.ids_writing = list(live.fresh), list(live.ids_writing)
        made.old, made.sealing = [thawed(row) for row in live.old], live.sealing
        made.unsure = live.unsure
        return made

    def life(self, holding: MemberAccounts) -> Life:
        a = holding.account
        writing = frozen(a.writing) if a.writing is not None else None
        return Life(
            frozen(a.row),
            frozen(a.kept),
            writing,
            a.free,
            a.dirty,
            frozenset(a.ids),
            tuple(a.fresh),
            tuple(a.ids_writing),
            tuple(frozen(row) for row in holding.old),
            holding.sealing,
            holding.unsure,
        )

    def with_live(self, w: World, m: int, holding: MemberAccounts) -> World:
        """What it has now, and what it tells of that."""
        who = name(m)
        others = [name(n) for n in range(self.size.members) if n != m]
        told: set[tuple[Any, ...]] = {
            ("gift", who, to, *gift) for to in others for gift in holding.transfers_to(to)
        }
        kept = holding.account.kept
        if self.size.boots and not (holding.unsure or kept.rests):
            told.add(("row", who, kept.account, kept.number))
        if m == 0:
            told.update(("off", *off) for off in holding.account.kept.off.items())
        before = w.members[m].live
        live = replace(self.life(holding), found=before.found if before else w.members[m].disk.number)
        members = (*w.members[:m], replace(w.members[m], live=live), *w.members[m + 1 :])
        return replace(w, members=members, words=w.words | told)

    def spend(self, w: World, what: int) -> World:
        return replace(w, left=(*w.left[:what], w.left[what] - 1, *w.left[what + 1 :]))

    def put(self, w: World, m: int, member: Member) -> World:
        return replace(w, members=(*w.members[:m], member, *w.members[m + 1 :]))

    # The steps.

    def steps(self, w: World) -> Iterator[Next]:
        for m, member in enumerate(w.members):
            if member.live is None:
                yield from self.starts(w, m, member)
                continue
            yield from self.disk(w, m, member)
            yield from self.acts(w, m, member)
            yield from self.hears(w, m, member)
        for m, member in enumerate(w.members):
            if (w.left[COPIES] or w.left[BOOTS]) and member.copy is None and member.disk.rows:
                yield f"{name(m)}'s folder is copied", self.put(w, m, replace(member, copy=member.disk))

    def starts(self, w: World, m: int, member: Member) -> Iterator[Next]:
        yield f"{name(m)} starts", self.started(w, m, replace(member, life=member.life + 1), Trust.SURE)
        if w.left[COPIES]:
            for what, disk in (("its copy", member.copy), ("an empty folder", Disk())):
                if disk is not None and disk != member.disk and (m or disk.rows):
                    older = replace(member, life=member.life + 1, disk=disk, copy=None)
                    yield (
                        f"{name(m)} starts by {what}",
                        self.started(
                            self.spend(w, COPIES), m, older, Trust.OLD if self.notices else Trust.SURE
                        ),
                    )

        for what, disk in (("its volume", member.disk), ("its volume set back", member.copy)):
            if w.left[BOOTS] and disk is not None and disk.rows:
                yield (
                    f"{name(m)}'s machine restarts with {what}",
                    self.started(
                        self.spend(w, BOOTS),
                        m,
                        replace(member, life=member.life + 1, disk=disk),
                        Trust.UNSURE,
                    ),
                )

    def started(self, w: World, m: int, member: Member, trust: Trust) -> World:
        if trust is Trust.OLD:
            member = replace(
                member, disk=replace(member.disk, rows=tuple((row, True) for row, _ in member.disk.rows))
            )
        rows = sorted(member.disk.rows)
        made = self.make_holding(member.life)
        ids = dict.fromkeys(member.disk.ids, 0)
        if rows:
            last, aged = rows[-1]
            made.restore(
                thawed(last), ids, [thawed(row) for row, _ in rows[:-1]], Trust.OLD if aged else trust
            )
            if aged and m == 0 and self.bars:
                made.account.row.barred = "1"
        else:
            made.restore(None, ids, [], Trust.SURE)
        return self.with_live(self.put(w, m, member), m, made)

    def on_disk(self, member: Member, row: Frozen, ids: tuple[str, ...]) -> Disk:
        rows = tuple(sorted([(r, aged) for r, aged in member.disk.rows if r[0] != row[0]] + [(row, False)]))
        number, live = member.disk.number, member.live
        if self.size.ends:
            number = max(number, 0 if live is None or live.unsure else member.life * LIFE) + 1
        return Disk(rows, member.disk.ids | frozenset(ids) if self.keeps_ids else frozenset(), number)

    def disk(self, w: World, m: int, member: Member) -> Iterator[Next]:
        live, who = member.live, name(m)
        assert live is not None
        if live.writing is not None:
            there = replace(member, disk=self.on_disk(member, live.writing, live.ids_writing))
            made = self.holding(member)
            made.account.written()
            yield f"{who} has written", self.with_live(self.put(w, m, there), m, made)
            if w.left[FAILS]:
                for side in (member, there):
                    made = self.holding(member)
                    made.account.failed()
                    yield (
                        f"{who}'s write fails",
                        self.with_live(self.put(self.spend(w, FAILS), m, side), m, made),
                    )
        elif live.dirty:
            made = self.holding(member)
            made.account.stage()
            if not self.size.boots and made.account.writing is not None:  # numbers tell apart equal states
                made.account.row.number = made.account.writing.number = 0
            yield f"{who} writes", self.with_live(w, m, made)
        if w.left[CRASHES]:
            after = self.spend(w, CRASHES)
            yield f"{who} crashes", self.put(after, m, replace(member, live=None))
            if live.writing is not None:
                yield (
                    f"{who} crashes, its write is done",
                    self.put(
                        after,
                        m,
                        replace(member, live=None, disk=self.on_disk(member, live.writing, live.ids_writing)),
                    ),
                )

    def acts(self, w: World, m: int, member: Member) -> Iterator[Next]:
        live, who = member.live, name(m)
        assert live is not None
        if live.free:
            made = self.holding(member)
            made.account.debit(1)
            yield f"{who} does one", replace(self.with_live(w, m, made), done=w.done + 1)
        if live.sealing or live.unsure:
            return
        if m == 0 and not live.row[-1]:
            for n, amount in enumerate(self.size.top_ups):
                made = self.holding(member)
                if made.account.top_up(str(n), amount):
                    yield f"payment {n} is told", replace(self.with_live(w, m, made), paid=w.paid | {n})
            if w.left[OFFS]:
                for n in range(1, self.size.members):
                    other = w.members[n]
                    for account in self.accounts(other):
                        made = self.holding(member)
                        if made.account.write_off(name(n), account):
                            if self.returns:
                                known = [row for row, _ in other.disk.rows if row[0] == account]
                                amount = thawed(known[-1]).rights() if known else 0
                                made.account.row.topped += amount
                                made.account.rights += amount
                            yield f"{name(n)} is written off", self.with_live(self.spend(w, OFFS), m, made)
        if m and w.left[ENDS]:
            made = self.holding(member)
            if made.may_rest() or (self.hasty and not (made.account.held or live.row[-2])):
                made.rest()
                yield f"{who}'s use ends", self.with_live(self.spend(w, ENDS), m, made)
        if live.row[-2] and (live.kept[-2] or self.hasty) and m:
            words = {word for word in w.words if word[:2] not in (("row", who), ("mark", who))}
            if self.marks:
                words.add(("mark", who, member.disk.number))
            if words != w.words:
                yield f"{who}'s words are forgotten", replace(w, words=frozenset(words))
        if live.row is not None and self.holding(member).account.rights > 0:
            if w.left[AHEADS]:
                made = self.holding(member)
                made.account.write_ahead(1)
                yield f"{who} means to spend", self.with_live(self.spend(w, AHEADS), m, made)
            if w.left[GIVES]:
                for n in range(self.size.members):
                    for account in self.accounts(w.members[n]) if n != m else ():
                        made = self.holding(member)
                        made.account.transfer((name(n), account), 1)
                        after = self.with_live(self.spend(w, GIVES), m, made)
                        yield f"{who} gives {name(n)}/{account}", after
        if live.free and w.left[BACKS]:
            made = self.holding(member)
            made.account.put_back(1)
            yield f"{who} puts back", self.with_live(self.spend(w, BACKS), m, made)

    def accounts(self, member: Member) -> set[int]:
        """That may have been heard of."""
        known = {row[0] for row, _ in member.disk.rows}
        return known | (
            {member.live.row[0]} if member.live is not None else known or {member.life << ACCOUNT_SHIFT}
        )

    def hears(self, w: World, m: int, member: Member) -> Iterator[Next]:
        live = member.live
        if live is not None and live.unsure:
            told = [word[3] for word in w.words if word[:3] == ("row", name(m), live.row[0])]
            if any(word[:2] == ("mark", name(m)) and word[2] > live.found for word in w.words):
                told.append(live.kept[1] + 1)  # its folder is older than it has told
            for number in [max(told, default=0)] if self.hears_last else [0, *told]:
                made = self.holding(member)
                made.settle_unsure(number)
                if m == 0 and made.account.row.account != live.row[0] and self.bars:
                    made.account.row.barred = "1"
                yield f"{name(m)} hears that its row {number} is known", self.with_live(w, m, made)
        for word in sorted(w.words, key=str):
            if word[0] == "gift" and word[2] == name(m):
                made = self.holding(member)
                if made.receive_transfers(word[1], [word[3:]]):
                    yield f"{name(m)} hears {word[1]} gave {word[3:]}", self.with_live(w, m, made)
            elif word[0] == "off" and word[1] == name(m):
                made = self.holding(member)
                if made.account.row.account <= word[2] and not made.unsure:
                    for account in self.accounts(w.members[0]):
                        made = self.holding(member)
                        made.seal(("A", account))
                        after = self.with_live(w, m, made)
                        if after != w:
                            yield f"{name(m)} hears it is written off", after

    def violation(self, w: World) -> str:
        paid = sum(self.size.top_ups[n] for n in w.paid)
        if w.done > paid:
            return f"{w.done} done, {paid} paid"
        if self.size.ends:  # a shorter way to the same: what the living may spend is paid for, and not done
            held = sum(self.held(member.live) for member in w.members if member.live is not None)
            if w.done + held > paid:
                return f"{w.done} done, {held} held, {paid} paid"
        return ""

    def held(self, live: Life) -> int:
        return 0 if live.unsure else thawed(live.row).rights() + live.free + live.row[2] - live.kept[2]

    def run(self, most: int = 10_000_000) -> Found:
        s = self.size
        first = World(
            tuple(Member() for _ in range(s.members)),
            (s.gives, s.aheads, s.backs, s.crashes, s.fails, s.copies, s.offs, s.boots, s.ends),
        )
        for m in range(s.members):
            first = self.started(first, m, first.members[m], Trust.SURE)
        return explore(first, self.steps, self.violation, lambda w: w.done == sum(s.top_ups), most)


# Faults that the search must find.


class Early(Account):
    """Spends what is meant to be spent before it is on disk."""

    def write_ahead(self, amount: int) -> int:
        amount = super().write_ahead(amount)
        self.free += amount
        return amount

    def written(self) -> None:
        free = self.free
        super().written()
        self.free = free


class Adding(Account):
    """Takes each word for a further gift."""

    def receive(self, giver: tuple[str, int], total: int) -> int:
        self.row.got[giver] = self.row.got.get(giver, 0) + total
        self.rights += total
        self.dirty = True
        return total


class Hopeful(Account):
    """Takes a write that failed for done."""

    def failed(self) -> None:
        self.written()


class Talking(MemberAccounts):
    """Tells of gifts before they are on disk."""

    def transfers_to(self, member: str) -> list[tuple[int, int, int]]:
        return [
            (row.account, account, total)
            for row in (*self.old, self.account.row)
            for (peer, account), total in row.given.items()
            if peer == member
        ]


class Lifeless(MemberAccounts):
    """Goes on with the account, whatever its folder."""

    def restore(self, row: Row | None, ids: dict[str, int], old: list[Row], trust: Trust) -> None:
        super().restore(row, ids, old, Trust.SURE)


class Blind(MemberAccounts):
    """Takes what was given to another of its accounts."""

    def receive_transfers(self, member: str, entries: list[tuple[int, int, int]]) -> int:
        return sum(self.account.receive((member, account), total) for account, _, total in entries)


class Eager(MemberAccounts):
    """Takes gifts, and writes them down, while it is unsure."""

    def receive_transfers(self, member: str, entries: list[tuple[int, int, int]]) -> int:
        unsure, self.unsure = self.unsure, False
        gained = super().receive_transfers(member, entries)
        self.unsure = unsure
        return gained


class Waking(MemberAccounts):
    """Goes on with an account that rests, though a later row of it may be known."""

    def restore(self, row: Row | None, ids: dict[str, int], old: list[Row], trust: Trust) -> None:
        super().restore(row, ids, old, Trust.SURE if row is not None and row.rests else trust)


class Trusting(MemberAccounts):
    """Goes on after a restart of the machine, with nobody heard."""

    def restore(self, row: Row | None, ids: dict[str, int], old: list[Row], trust: Trust) -> None:
        super().restore(row, ids, old, Trust.SURE if trust is Trust.UNSURE else trust)
