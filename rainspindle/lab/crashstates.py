"""Every state in which a machine that stops can leave a folder, and whether what was kept is found in each.

The writer's operations are recorded. For each prefix of them: what was synced is there; of what was not, any
part may be. Names: every subset of the entries made and taken away since the folder was last synced, a rename
being one of each. Bytes of a file written since its last sync: none, some of them, zeros in place of some or
all, or all. The same is done again with a writing that goes on from each such state, as after a restart, and
with each operation failing.

Beside these, states that no order of syncs prevents: one byte wrong, or a file cut, anywhere.

Source: Pillai and others, "All file systems are not created equal: on the complexity of crafting
crash-consistent applications" (OSDI 2014), whose abstract persistence model this is, at its weakest.

    python -m rainspindle.lab.crashstates
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import product

from ..store.file import Missing, Unfit
from ..store.generations import Files, Generations

NAME, KIND, VERSION = "keep", 7, 1
State = dict[str, bytes]  # what is on the disk after the stop


@dataclass
class Inode:
    data: bytes = b""
    durable: bytes = b""  # as last synced
    synced: bool = True


@dataclass
class Entry:
    """A name that was made, or taken away with None, and is not known to be on the disk."""

    name: str
    inode: Inode | None


@dataclass
class Recorded:
    """A folder in memory that gives, after each operation, all states a stop could leave."""

    names_now: dict[str, Inode] = field(default_factory=dict)
    names_durable: dict[str, Inode] = field(default_factory=dict)
    pending: list[Entry] = field(default_factory=list)
    stopped_at: Callable[[], None] = lambda: None  # called after each operation, and in its midst
    fails_at: int = -1  # the number of the operation that fails
    operations: int = 0

    @staticmethod
    def of(state: State) -> Recorded:
        made = {name: Inode(data, data) for name, data in state.items()}
        return Recorded(dict(made), dict(made))

    def begin(self) -> None:
        self.operations += 1
        if self.operations - 1 == self.fails_at:
            raise OSError(5, "told to fail")

    def names(self) -> list[str]:
        return sorted(self.names_now)

    def read(self, name: str, most: int) -> bytes:
        if name not in self.names_now:
            raise FileNotFoundError(2, "no such file")
        return self.names_now[name].data[: most + 1]

    def write(self, name: str, data: bytes) -> None:
        self.begin()
        inode = Inode(data, b"", False)
        self.names_now[name] = inode
        self.pending.append(Entry(name, inode))
        self.stopped_at()

    def overwrite(self, name: str, data: bytes) -> None:
        """What no sound writer does: into a file that is there."""
        self.begin()
        inode = self.names_now[name]
        inode.data, inode.synced = data, False
        self.stopped_at()

    def sync(self, name: str) -> None:
        self.begin()
        inode = self.names_now[name]
        inode.durable, inode.synced = inode.data, True
        self.stopped_at()

    def rename(self, name: str, to: str) -> None:
        self.begin()
        inode = self.names_now.pop(name)
        self.names_now[to] = inode
        self.pending += [Entry(to, inode), Entry(name, None)]
        self.stopped_at()

    def remove(self, name: str) -> None:
        self.begin()
        if self.names_now.pop(name, None) is not None:
            self.pending.append(Entry(name, None))
        self.stopped_at()

    def sync_folder(self) -> None:
        self.begin()
        self.names_durable, self.pending = dict(self.names_now), []
        self.stopped_at()

    def states(self) -> Iterator[State]:
        """All that a stop now could leave."""
        for chosen in product((False, True), repeat=len(self.pending)):
            names = dict(self.names_durable)
            for there, entry in zip(chosen, self.pending, strict=True):
                if there and entry.inode is None:
                    names.pop(entry.name, None)
                elif there and entry.inode is not None:
                    names[entry.name] = entry.inode
            for found in product(*(list(contents(inode)) for inode in names.values())):
                yield dict(zip(names, found, strict=True))


def contents(inode: Inode) -> Iterator[bytes]:
    """What may be read of a file after a stop."""
    if inode.synced:
        yield inode.durable
        return
    old, new = inode.durable, inode.data
    half = len(new) // 2
    yield from dict.fromkeys(
        (
            old,
            b"",
            new[:half],
            bytes(len(new)),
            new[:half] + bytes(len(new) - half),
            bytes(half) + new[half:],
            new[:half] + old[half:],
            old[:half] + new[half:],
            new,
        )
    )


# Writers with a fault.


class NoFileSync(Generations):
    def put(self, generation: int, data: bytes) -> None:
        self.files.write(self.made, data)
        self.files.rename(self.made, self.named(generation))
        self.files.sync_folder()


class NoFolderSync(Generations):
    def put(self, generation: int, data: bytes) -> None:
        self.files.write(self.made, data)
        self.files.sync(self.made)
        self.files.rename(self.made, self.named(generation))


class NamedEarly(Generations):
    """Its name before its bytes are on the disk."""

    def put(self, generation: int, data: bytes) -> None:
        self.files.write(self.made, data)
        self.files.rename(self.made, self.named(generation))
        self.files.sync_folder()
        self.files.sync(self.named(generation))


class RenamedFirst(Generations):
    def put(self, generation: int, data: bytes) -> None:
        self.files.write(self.made, data)
        self.files.rename(self.made, self.named(generation))
        self.prune(generation, generation)
        self.files.sync_folder()
        self.files.sync(self.named(generation))


class InPlace(Generations):
    """The one before is overwritten."""

    def put(self, generation: int, data: bytes) -> None:
        names = self.there()
        if not names or not isinstance(self.files, Recorded):
            return super().put(generation, data)
        before = self.named(max(names))
        self.files.overwrite(before, data)
        self.files.sync(before)
        self.files.rename(before, self.named(generation))
        self.files.sync_folder()


class NoChecksum(Generations):
    def check(self, head: bytes, payload: bytes) -> bytes:
        return bytes(4)


class PrunedFirst(Generations):
    """Those before are removed while the new one is not yet on the disk."""

    def put(self, generation: int, data: bytes) -> None:
        self.files.write(self.made, data)
        self.files.sync(self.made)
        self.files.rename(self.made, self.named(generation))
        for other in self.there():
            if other != generation:
                self.files.remove(self.named(other))
        self.files.sync_folder()


class Early(Generations):
    """Acknowledged when it is written, before anything is synced."""

    early: Callable[[int], None] = staticmethod(lambda generation: None)

    def put(self, generation: int, data: bytes) -> None:
        self.files.write(self.made, data)
        self.early(generation)
        self.files.sync(self.made)
        self.files.rename(self.made, self.named(generation))
        self.files.sync_folder()


class NoPrevious(Generations):
    """The one before is removed as soon as the new one is on the disk."""

    def prune(self, generation: int, before: int) -> None:
        super().prune(generation, generation)


FAULTS: dict[str, type[Generations]] = {
    "no sync of the file": NoFileSync,
    "no sync of the folder": NoFolderSync,
    "renamed, and those before removed, before its bytes are synced": RenamedFirst,
    "the generation before overwritten in place": InPlace,
    "no checksum": NoChecksum,
    "those before removed too early": PrunedFirst,
    "acknowledged too early": Early,
    "the generation before not kept": NoPrevious,
}
# An order that would be a fault with one file; here the generation before stands in until the sync.
HARMLESS: dict[str, type[Generations]] = {"renamed before its bytes are synced": NamedEarly}


# The check.


@dataclass
class Check:
    """Goes through the states of one kind of writer."""

    make: type[Generations] = Generations
    writes: int = 3
    again: bool = True  # whether a further writing goes on from each state
    states: int = 0
    spoilt: int = 0  # states with a byte wrong or a file cut
    found: list[str] = field(default_factory=list)
    seen: set[tuple[tuple[str, bytes], ...]] = field(default_factory=set)
    judged: set[tuple[object, ...]] = field(default_factory=set)

    def run(self) -> Check:
        self.go(Recorded(), {}, 0, self.writes, self.again)
        for n in range(12 * self.writes):
            self.go(Recorded(fails_at=n), {}, 0, self.writes, False)
        self.rot()
        return self

    def made(self, files: Files) -> Generations:
        return self.make(files, NAME, KIND, VERSION, 1, 1000, "t")

    def go(self, files: Recorded, sent: dict[bytes, int], acked: int, writes: int, again: bool) -> None:
        """So many writings from here on, a stop after each operation. `sent`: what was ever written, and the
        order in which; `acked`: the highest of these that was acknowledged, 0 for none."""
        generations = self.made(files)
        latest = [acked]

        def stopped() -> None:
            for state in files.states():
                self.judge(state, dict(sent), latest[0], again)

        files.stopped_at = stopped
        first = len(sent) + 1
        for n in range(first, first + writes):
            payload = b"payload %d of a writer, long enough to be cut in the midst" % n
            sent[payload] = n
            if isinstance(generations, Early):
                generations.early = lambda generation, n=n: latest.__setitem__(0, n)  # type: ignore[misc]
            try:
                generations.write(payload)
            except OSError:
                stopped()
                continue
            latest[0] = n
            stopped()

    def judge(self, state: State, sent: dict[bytes, int], acked: int, again: bool) -> None:
        key = (tuple(sorted(state.items())), acked, len(sent), again)
        if key in self.judged:
            return
        self.judged.add(key)
        self.states += 1
        self.look(Recorded.of(state), sent, acked, "after a stop")
        if again:
            self.go(Recorded.of(state), dict(sent), acked, 1, False)

    def look(self, files: Recorded, sent: dict[bytes, int], acked: int, where: str) -> None:
        try:
            kept = self.made(files).read()
        except (Missing, Unfit) as fault:
            if acked:
                self.found.append(f"{where}: writing {acked} was acknowledged, and nothing is found: {fault}")
            return
        if kept.payload not in sent:
            self.found.append(f"{where}: what is read was never written: {kept.payload!r:.60}")
        elif sent[kept.payload] < acked:
            self.found.append(f"{where}: writing {acked} was acknowledged, {sent[kept.payload]} is found")

    def rot(self) -> None:
        """One byte wrong or a file cut: what is read is whole, and with the newest alone bad, the one
        before."""
        files, sent = Recorded(), dict[bytes, int]()
        generations = self.made(files)
        for n in range(1, self.writes + 1):
            payload = b"payload %d" % n
            sent[payload] = n
            generations.write(payload)
        whole = {name: inode.data for name, inode in files.names_now.items()}
        for name, data in whole.items():
            cut = [data[:n] for n in range(len(data))] + [data + b"x"]
            wrong = [
                data[:n] + bytes([data[n] ^ bits]) + data[n + 1 :]
                for n in range(len(data))
                for bits in (1, 0x80, 0xFF)
            ]
            for one in cut + wrong:
                self.spoilt += 1
                self.look(Recorded.of({**whole, name: one}), sent, self.writes - 1, f"{name} spoilt")


def main() -> int:
    writers: dict[str, type[Generations]] = {"as it is": Generations, **HARMLESS, **FAULTS}
    rows = {name: Check(make).run() for name, make in writers.items()}
    for name, check in rows.items():
        print(
            json.dumps(
                {
                    "writer": name,
                    "states": check.states,
                    "spoilt": check.spoilt,
                    "found": len(check.found),
                    "first": check.found[0] if check.found else None,
                }
            )
        )
    return 0 if all(bool(check.found) == (name in FAULTS) for name, check in rows.items()) else 3


if __name__ == "__main__":
    sys.exit(main())
