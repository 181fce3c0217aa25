"""Figures of wallets for docs/results/wallet.md: `python -m rainspindle.lab.walletfigures`.

In virtual time (`walletday.py`) but for debits and the disk, which are timed here. Beside the wallet as it is
stand two plain ways on the same days: a single keeper that each exchange asks, and an equal share for each.
"""

from __future__ import annotations

import random
import statistics
import sys
import tempfile
import time
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path

from ..decisions.wallet.account import Account, Row, Trust
from ..decisions.wallet.wallet import Rules, Wallet
from ..store.kept import Kept
from .walletday import HOP, WRITE, WalletDay

SEEDS = range(1, 9)
Load = Callable[[int], list[float]]  # exchanges a second at each of so many members


def even(count: int) -> list[float]:
    return [20.0] * count


def skewed(count: int) -> list[float]:
    """The first of them gets most, the n-th a n-th of that."""
    total = 20.0 * count
    shares = [1 / (n + 1) for n in range(count)]
    return [total * share / sum(shares) for share in shares]


class Plain:
    """A keeper or equal shares: rights that do not move."""

    def __init__(self, count: int, seed: int, held: dict[str, int], at: Callable[[str], str]) -> None:
        """`at` tells from whose rights an exchange at a member is paid, "" where that can't be reached."""
        self.names = [f"m{n:02}" for n in range(count)]
        self.rng, self.held, self.at, self.executed, self.now = random.Random(seed), held, at, 0, 0.0
        self.paused_at: dict[str, float] = {}

    def play(self, rates: Sequence[float], seconds: float) -> None:
        total, end = sum(rates), self.now + seconds
        while (now := self.now + self.rng.expovariate(total)) < end:
            self.now = now
            name = self.rng.choices(self.names, rates)[0]
            payer = self.at(name)
            if payer and self.held[payer] > 0:
                self.held[payer] -= 1
                self.executed += 1
            else:
                self.paused_at.setdefault(name, now)


def played(
    count: int, seed: int, rates: Sequence[float], balance: int, rules: Rules | None = None
) -> WalletDay:
    day = WalletDay(count, seed, rules)
    day.run(1.0)
    for name, rate in zip(day.names, rates, strict=True):
        if rate:
            day.traffic(name, rate, 10_000.0)
    day.top_up("first", balance)
    return day


def paused(day: WalletDay) -> list[str]:
    return [name for name, m in day.members.items() if m.wallet.paused_since is not None]


def until(day: WalletDay, found: Callable[[], bool], step: float = 0.01, most: float = 600.0) -> float:
    """Seconds that it took, at most so many."""
    began = day.now
    while not found() and day.now - began < most:
        day.run(step)
    return day.now - began


def spread(values: Iterable[float], form: str = ".3f") -> str:
    values = sorted(values)
    middle, low, high = statistics.median(values), values[0], values[-1]
    return f"{middle:{form}} ({low:{form}} to {high:{form}})"


def connected(count: int, load: Load, balance: int) -> tuple[list[float], list[float]]:
    """Parts of the balance spent when the first member pauses for half a second, and in the end."""
    first, end = list[float](), list[float]()
    for seed in SEEDS:
        day = played(count, seed, load(count), balance)
        day.run(3.0)
        until(
            day,
            lambda day=day: any(  # type: ignore[misc]
                (since := m.wallet.paused_since) is not None and day.now - since > 0.5
                for m in day.members.values()
            ),
        )
        first.append(day.executed / balance)
        day.run(10.0)
        end.append(day.executed / balance)
    return first, end


def equal(count: int, load: Load, balance: int) -> tuple[list[float], list[float]]:
    first, end = list[float](), list[float]()
    for seed in SEEDS:
        names = [f"m{n:02}" for n in range(count)]
        plain = Plain(count, seed, dict.fromkeys(names, balance // count), lambda name: name)
        while not plain.paused_at:
            plain.play(load(count), 0.2)
        first.append(plain.executed / balance)
        plain.play(load(count), 10.0 + 2 * balance / sum(load(count)))
        end.append(plain.executed / balance)
    return first, end


def in_a_cut(count: int, balance: int, alone: float) -> tuple[list[float], list[float]]:
    """Part of the balance that two halves spend in a cut after ten seconds that stays, over the time
    that all of it would have lasted without; and seconds until the half without the home pauses."""
    parts, lasted = list[float](), list[float]()
    for seed in SEEDS:
        day = played(count, seed, even(count), balance, Rules("m00", alone=alone))
        day.run(10.0)
        half = day.names[: count // 2]
        other = [name for name in day.names if name not in half]
        day.cut(half, other)
        left = (balance - day.executed) / sum(even(count))
        lasted.append(
            until(
                day,
                lambda day=day, other=other: all(  # type: ignore[misc]
                    name in paused(day) for name in other
                ),
                0.1,
                left,
            )
        )
        day.run(left - lasted[-1])
        parts.append(day.executed / balance)
    return parts, lasted


def cut_plain(count: int, balance: int, keeper: bool) -> list[float]:
    parts = list[float]()
    for seed in SEEDS:
        names = [f"m{n:02}" for n in range(count)]
        cut = list[float]()
        held = {names[0]: balance} if keeper else dict.fromkeys(names, balance // count)

        def at(name: str, names: list[str] = names, cut: list[float] = cut) -> str:
            if not keeper:
                return name
            return names[0] if not cut or name in names[: count // 2] else ""

        plain = Plain(count, seed, held, at)
        plain.play(even(count), 10.0)
        cut.append(plain.now)
        before = plain.executed
        plain.play(even(count), (balance - before) / sum(even(count)))
        parts.append(plain.executed / balance)
    return parts


def times(count: int, balance: int) -> tuple[list[float], list[float]]:
    """From the last unit spent to all paused, and from the top-up to all at work again."""
    stop, go = list[float](), list[float]()
    for seed in SEEDS:
        day = played(count, seed, even(count), balance)
        until(day, lambda day=day: day.executed == balance)  # type: ignore[misc]
        stop.append(until(day, lambda day=day, count=count: len(paused(day)) == count))  # type: ignore[misc]
        day.run(20.0)
        before = dict(day.executed_at)
        day.top_up("second", balance)
        go.append(
            until(
                day,
                lambda day=day, before=before: all(  # type: ignore[misc]
                    day.executed_at.get(name, 0) > before.get(name, 0) for name in day.names
                ),
            )
        )
    return stop, go


def lost_by_crash(piece: int) -> list[float]:
    """Seconds of its own traffic that one member loses by a kill, its folder kept."""
    lost = list[float]()
    for seed in SEEDS:
        day = played(5, seed, even(5), 4000, Rules("m00", piece=piece))
        day.run(10.0 + seed / 10)
        day.restart("m02")
        day.run(5.0)
        lost.append((day.topped - day.executed - day.held()) / 20.0)
    return lost


def lost_by_folder(alone: float) -> list[float]:
    """The same where the folder is lost too."""
    lost = list[float]()
    for seed in SEEDS:
        day = played(5, seed, even(5), 40_000, Rules("m00", alone=alone))
        day.run(20.0 + seed / 10)
        day.restart("m02", Trust.OLD)
        day.run(5.0)
        lost.append((day.topped - day.executed - day.held()) / 20.0)
    return lost


def debits(count: int) -> float:
    """Seconds for one debit through the table, in the median of a hundred times a thousand."""
    day = WalletDay(1, 1)
    table = dict[tuple[int | None, int], tuple[Wallet, int]]()
    for n in range(count):
        wallet = Wallet(f"w{n}", "m00", 1, day.rules, day.members["m00"], 0.0)
        wallet.account = Account(Row(1))
        wallet.account.free = 10**9
        table[n, 0] = wallet, 1
    rng, took = random.Random(1), list[float]()
    tenants = [rng.randrange(count) for _ in range(1000)]
    for _ in range(100):
        began = time.perf_counter()
        for tenant in tenants:
            wallet, price = table[tenant, 0]
            wallet.debit(0.0, price, False)
        took.append((time.perf_counter() - began) / len(tenants))
    return statistics.median(took)


def disk(folder: Path, rows: int) -> tuple[float, float]:
    """Seconds for one batch on this machine's disk, median and longest of a hundred."""
    kept = Kept(folder, "wallets", "a", lambda: None)
    kept.start()
    took = list[float]()
    for batch in range(101):
        began = time.perf_counter()
        if batch:
            kept.write({f"w{n}/1": bytes(100) for n in range(rows)}, batch)
        while not kept.results:
            time.sleep(0.0001)
        kept.results.clear()
        if batch:
            took.append(time.perf_counter() - began)
    kept.close()
    return statistics.median(took), max(took)


def main() -> None:
    out = sys.stdout.write
    out(
        "| part of the balance spent | rainspindle, first pause | in the end | equal share, first pause |"
        " in the end | keeper |\n| --- | --- | --- | --- | --- | --- |\n"
    )
    for count, balance in ((5, 5_000), (20, 20_000)):
        for title, load in (("even", even), ("skewed", skewed)):
            ours, plain = connected(count, load, balance), equal(count, load, balance)
            out(
                f"| {count} members, {title} traffic | {spread(ours[0])} | {spread(ours[1])} |"
                f" {spread(plain[0])} | {spread(plain[1])} | 1.000 |\n"
            )
    out(
        "\n| 20 members, cut in halves | part spent in the time that all would have lasted |"
        " seconds until the half without the home pauses |\n| --- | --- | --- |\n"
    )
    for alone in (60.0, 10.0):
        parts, lasted = in_a_cut(20, 20_000, alone)
        out(f"| rainspindle, `alone` = {alone:.0f} s | {spread(parts)} | {spread(lasted, '.1f')} |\n")
    out(f"| single keeper | {spread(cut_plain(20, 20_000, True))} | 0 |\n")
    out(f"| equal share for each | {spread(cut_plain(20, 20_000, False))} | at the end |\n")
    out(
        "\n| seconds | from the last unit to all paused | from the top-up to all at work |\n"
        "| --- | --- | --- |\n"
    )
    for count, balance in ((5, 2_000), (20, 8_000)):
        stop, go = times(count, balance)
        out(f"| {count} members | {spread(stop, '.2f')} | {spread(go, '.2f')} |\n")
    out(
        f"| single keeper | one way to it and back, {2e3 * HOP:.0f} ms | the same |\n"
        "| equal share | never all at once | the same |\n"
    )
    out("\n| lost by one of five members, in seconds of its traffic | |\n| --- | --- |\n")
    for piece in (1, 20):
        out(f"| killed, folder kept, `piece` = {piece} | {spread(lost_by_crash(piece), '.2f')} |\n")
    for alone in (60.0, 10.0):
        out(f"| folder lost too, `alone` = {alone:.0f} s | {spread(lost_by_folder(alone), '.1f')} |\n")
    out(
        "| single keeper, folder kept | 0; all stand still meanwhile |\n"
        "| equal share, folder lost | all of its share |\n"
    )
    out("\n| one debit, on this machine | microseconds |\n| --- | --- |\n")
    for count in (10, 1_000, 10_000):
        out(f"| {count} wallets | {1e6 * debits(count):.2f} |\n")
    out(f"| single keeper | a way to it and back, {2e6 * HOP:.0f} in the model |\n")
    out("\n| one batch on disk, on this machine | ms, median | longest of 100 |\n| --- | --- | --- |\n")
    with tempfile.TemporaryDirectory(dir=sys.argv[1] if len(sys.argv) > 1 else None) as folder:
        for rows in (1, 100):
            middle, longest = disk(Path(folder) / str(rows), rows)
            out(f"| {rows} rows | {1e3 * middle:.2f} | {1e3 * longest:.2f} |\n")
    out(f"\nIn the model a batch takes {1e3 * WRITE:.0f} ms.\n")


if __name__ == "__main__":
    main()
