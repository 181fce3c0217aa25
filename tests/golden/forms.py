"""Every message, cell and stored form with a value, and the files that hold their bytes as released.

    python -m tests.golden.forms add 0.3        writes what is new or other since the last release
    PYTHONPATH=BUILD python FILE add 0.2        the same of another build's package: so 0.2 was made

A folder a release: `index.json` has each form's value and the checksum of its `.hex`. What a release wrote is
never written again once it is out (`version` in pyproject.toml); a later one that writes other bytes has a
file of its own, and reads the older ones too.
Run by path with an older build's package in front, `write` and `read` tell what that build makes of them.
"""

from __future__ import annotations

import base64
import contextlib
import functools
import hashlib
import importlib
import json
import os
import shutil
import sqlite3
import sys
import tempfile
import textwrap
import tomllib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

FOLDER = Path(__file__).parent
FLEET = "lab"
Reader = Callable[[bytes], Any]


@dataclass(frozen=True, slots=True)
class Form:
    name: str
    value: Any
    write: Callable[[Any], bytes]
    read: Reader
    refuses: tuple[type[Exception], ...]  # all that `read` may raise, of whatever bytes
    type: Any = None  # of a value that is no plain JSON
    shape: Any = None  # the struct that the bytes are, where `read` gives something else
    cell: str = ""  # of a cell's value: its name, `*` for a part that is drawn
    kind: int = 0  # of a stored file: by which it tells itself
    module: str = ""  # which has the codec
    grows: bool = True  # whether a reader passes over what it does not know
    header: int = 0  # bytes before the payload of a stored file, the last four of them its checksum

    def to_json(self, value: Any) -> Any:
        try:
            return msgspec.json.decode(msgspec.json.encode(value, order="sorted"))
        except TypeError:  # keys of maps that are no text
            return msgspec.json.decode(msgspec.json.encode(value))

    def of_json(self, plain: Any) -> Any:
        return plain if self.type is None else msgspec.json.decode(msgspec.json.encode(plain), type=self.type)


# What members tell one another.


def members() -> Iterator[Form]:
    from rainspindle.protocol import members as wire

    def pack(n: int) -> bytes:
        return wire.pack_address((f"10.0.0.{n}", 7946))
    news = [wire.News("a", pack(1), 7 << 12, 0, wire.ALIVE),
            wire.News("b", pack(2), 8 << 12, 3, wire.SUSPECT, "c"),
            wire.News("d", pack(4), 9 << 12, 1, wire.DEAD, "", 12),
            wire.News("e", pack(5), 5, 0, wire.LEFT, "", 9)]
    cells = [wire.CellNews("a", "wallet/north", 7 << 12, 4, b"\x91\x01", 250),
             wire.CellNews("b", "a/later", 8 << 12, 1, b"")]
    sums, wants = [wire.Sum("a", 7 << 12, bytes(range(8)), 40)], [wire.Want("b", bytes(range(256)))]
    marks, six = bytes(range(8)) * 32, wire.pack_address(("fd00::5", 7946))
    whole: dict[str, dict[str, Any]] = {
        "PING": {"target": "b", "members": news[:2], "cells": cells, "sums": sums},
        "ACK": {"echo": 41, "members": news[1:2], "sums": sums},
        "NACK": {"echo": 41, "target": "b"},
        "ASK": {"target": "b", "at": six, "members": news[:1]},
        "STATE": {"members": news[:3], "marks": marks},
        "STATES": {"members": news, "marks": marks},
        "NEWS": {"members": news[2:], "cells": cells, "wants": wants},
        "WORD": {"word": "=1,20;0:0.0200:3.0"},
        "TWIN": {"echo": 7 << 12},
    }

    def write(message: wire.Message) -> bytes:
        lists = {name: [wire.raw(piece) for piece in getattr(message, name)]
                 for name in ("members", "cells", "sums", "wants")}
        plain = {name: getattr(message, name) for name in message.__struct_fields__}
        return wire.encode(wire.Draft(**{**plain, **lists}))
    for n, (name, more) in enumerate(whole.items()):
        message = wire.Message(wire.VERSION, wire.LOWEST, FLEET, "c", (6 << 12) + n, n % 2, pack(3), 1000 + n,
                               getattr(wire, name), **more)
        yield Form(f"members-{name.lower()}", message, write, lambda data: wire.decode(data, FLEET),
                   (wire.Unreadable,), wire.Message, module=wire.__name__)


def pool() -> Iterator[Form]:
    from rainspindle.host import Facts
    from rainspindle.protocol import peers

    def write(value: dict[str, Any]) -> bytes:
        if "rates" in value:
            return peers.encode_facts(Facts(tuple(value["rates"]), {
                int(kind): (time, free) for kind, (time, free) in value["kinds"].items()})).encode()
        return peers.encode_held(value["began"], value["ended"], value["whole"]).encode()

    def read(data: bytes) -> dict[str, Any]:
        told = peers.decode(data.decode())
        if isinstance(told, Facts):
            return {"rates": list(told.rates), "kinds": {str(k): list(v) for k, v in told.kinds.items()}}
        return {"began": told.began, "ended": told.ended, "whole": told.whole}
    values: dict[str, dict[str, Any]] = {
        "whole": {"began": [1, 0xABCDEF, 70000], "ended": [], "whole": True},
        "changes": {"began": [5], "ended": [0xABCDEF, 1], "whole": False},
        "facts": {"rates": [120.0, 0.0, 3.0], "kinds": {"0": [0.02, 3.5], "2": [0.0125, 12.0]}}}
    for name, value in values.items():
        yield Form(f"pool-{name}", value, write, read, (ValueError,), module=peers.__name__, grows=False)


# Cells.


def struct(name: str, value: Any, read: Reader, *refuses: type[Exception], **more: Any) -> Form:
    return Form(name, value, msgspec.msgpack.encode, read, refuses, type(value),
                module=type(value).__module__, **more)


def as_known(kind: Any, *values: Any) -> Any:
    """Of them, those that the build in front has fields for."""
    return kind(*values[:len(kind.__struct_fields__)])


def wallet() -> Iterator[Form]:
    from rainspindle.protocol import wallet as words
    yield struct("wallet-word", as_known(
        words.Word, words.VERSION, 7 << 22, 12, 340, 17.5, 500, 3, 60, "b", 1.25, True, 7 << 12, "a", "2026",
        7 << 20, True, [("c", 9 << 22, 40)]),
        words.decode_word, words.UnreadableWord, cell="wallet/*")
    yield struct("wallet-pair", as_known(
        words.Pair, words.VERSION, [(7 << 22, 8 << 22, 250), (7 << 22, 0, 90)], 4, 6 << 22,
        (8 << 12, 8 << 22, 9), 8 << 20, [(8 << 22, 7 << 22, 40)]),
        words.decode_pair, words.UnreadableWord, cell="wallet/*/t/*")
    yield struct("wallet-row", as_known(
        words.Kept, words.VERSION, 7 << 22, 13, 160, 4, 500, [("b", 8 << 22, 250)], [("c", 9 << 22, 40)],
        [("d", 5 << 22)], "2025", 1 << 61, "a", "2026", True), words.decode_kept, words.UnreadableWord)
    if hasattr(words, "Mark"):  # its cell begins with a number and a blank, by `Cells.sweep`
        yield struct("wallet-mark", words.Mark(words.VERSION, 7 << 20, [words.claim("north", "2026")]),
                     words.decode_mark, words.UnreadableWord, cell="swept/wallet")


def canary() -> Iterator[Form]:
    from rainspindle.decisions.canary import counts, state
    from rainspindle.decisions.canary.canary import Kept
    yield struct("canary-counts", counts.Told(
        counts.VERSION, b"termsown", 1_700_000_000_123, b"termsrun", 2, 1, True, True, True, 2, 0.125, 3.5,
        [1, 0] * 8 + [3, 1], [40, 2] * 8, [9, 8, 7], 3), counts.decode, ValueError, cell="canary/*")
    states = {"running": state.State(1_700_000_000_123, b"termsrun", 1, 2),
              "paused": state.State(1_700_000_000_123, b"termsrun", 3, 1, False,
                                    frozenset({(1, b"mark"), (0, b"late")}), frozenset({b"gone", b"old1"})),
              "aborted": state.State(1_700_000_000_123, b"termsrun", 2, 1, True)}
    for name, value in states.items():
        yield Form(f"canary-state-{name}", [value, "binding: 9%"], lambda pair: pair[0].encode(pair[1]),
                   lambda raw: list(state.decode(raw)), (ValueError,), tuple[state.State, str], state.Told,
                   "canary/*/state", module=state.__name__)
    yield struct("canary-kept", Kept(states["aborted"].encode(), True),
                 lambda raw: msgspec.msgpack.decode(raw, type=Kept), msgspec.MsgspecError, UnicodeDecodeError)


def there(name: str) -> Any:
    """A module that not every build has. Raises ImportError."""
    return importlib.import_module(f"rainspindle.{name}")


def evidence() -> Iterator[Form]:
    words = there("protocol.evidence")
    yield struct("evidence", words.Told(
        words.VERSION, 1_700_000_000.5, 1, 2,
        [words.Out(1 << 63, 1_700_000_000_123, 2.5, True, 0.5, True), words.Out(7, 0, 4.0)], 400,
        [(1 << 62, 40), (9, 8)], [(7, 3)]), words.decode_told, words.UnreadableEvidence, cell="evidence")


def listing() -> Iterator[Form]:
    from rainspindle.host import Listed, State
    words = there("protocol.listing")
    states = (State.READY, State.DRAINING)
    lines = {f"e{n}": words.encode_line(Listed(f"e{n}", n + 1, n % 2, 0.5, states[n % 2], 1024.0 + n, 1),
                                        ("10.0.0.1", 8000 + n), 24.0) for n in range(3)}
    mark, (chunk,) = words.mark("10.0.0.9:80", "north"), words.split(lines)
    head = words.Head(words.VERSION, mark, 7, 3, 41, words.digest(lines), 250, True, [(40, words.mark(40))],
                      40, [("e1", lines["e1"]), ("e9", b"")])
    whole = words.Set(words.VERSION, mark, 41, words.digest(lines), 1)
    for name, value, cell in (("head", head, words.HEAD), ("set", whole, words.SET),
                              ("chunk", words.decode(chunk, words.Chunk), "list/*"),
                              ("line", words.decode(lines["e1"], words.Line), "")):
        yield struct(f"list-{name}", value, functools.partial(words.decode, kind=type(value)),
                     words.UnreadableList, cell=cell)


def keep() -> Iterator[Form]:
    words, run, store = (there(name) for name in ("protocol.keep", "program.fleet.keep", "store.generations"))
    mark = words.mark("e0", 1_700_000_000_123)

    def told(raw: bytes) -> tuple[int, list[bytes], list[tuple[bytes, float]]]:
        found = words.decode(raw)
        return found.ready, list(found.out), list(found.slow.items())
    yield Form("keep-word", (5, [mark], [(mark, 0.25)]), lambda word: words.encode(*word), told,
               (words.UnreadableKept,), tuple[int, list[bytes], list[tuple[bytes, float]]], words.Word,
               words.CELL, module=words.__name__)
    record = words.Record("a", "lab", 7 << 12, 1_700_000_000.5, "boot", 64.5, [
        words.OwnCell("wallet/north", 7 << 12, 3, b"word")],
        {"": json.loads(json.dumps(LEARNT, sort_keys=True))}, {"e0": 1_700_000_000_123})

    def at(folder: str) -> Any:
        return store.Generations(store.DiskFiles(Path(folder)), run.NAME, run.KIND, run.VERSION, run.LEAST,
                                 run.MOST, "tag")

    def write(record: Any) -> bytes:
        with tempfile.TemporaryDirectory() as folder:
            return Path(folder, f"{run.NAME}.{at(folder).write(words.encode_record(record))}").read_bytes()

    def read(data: bytes) -> Any:
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, f"{run.NAME}.1").write_bytes(data)
            Path(folder, f"{run.NAME}.1").chmod(0o600)
            return words.decode_record(at(folder).read().payload)
    yield Form("stored-keep", record, write, read, (store.Unfit, words.UnreadableKept), words.Record,
               kind=run.KIND, module=store.__name__, header=store.HEADER.size + store.CHECK)


# What members reckon alike, each for itself: of other releases too.


def reckoned() -> Iterator[Form]:
    from rainspindle.decisions.canary import terms
    from rainspindle.decisions.members import table
    from rainspindle.decisions.shared import cells
    from rainspindle.host import Listed, State
    from rainspindle.logic import Endpoint
    from rainspindle.protocol import members as wire
    from rainspindle.protocol import wallet as words

    def digest(name: str, part: float) -> str:
        steps = (terms.Step(part, 60.0, 200), terms.Step(0.5, 600.0, 1000))
        return terms.Terms(name, "kind new", steps, budget=0.02).digest.hex()

    def marks(*names: str) -> str:
        made = table.Table("a", 100)
        for n, name in enumerate(names):
            made.add(table.Record(name, bytes(6), 7 + n, n, wire.ALIVE + n % 4, 0.0, 0.0))
        return made.marks().hex()
    rules: dict[str, tuple[Callable[..., Any], list[list[Any]]]] = {
        "canary-digest": (digest, [["next", 0.05], ["next", 0.1], ["other", 0.05]]),
        "canary-point": (terms.point, [["next", "k1"], ["next", "k2"], ["other", "k1"]]),
        "cell-mark": (lambda owner, name, life, number: cells.Cell(owner, name, life, number, b"").mark,
                      [["a", "wallet/north", 7, 3], ["a", "x", 7, 4]]),
        "cell-part": (cells.part, [["wallet/north"], ["wallet/north/t/b"], [""]]),
        "member-marks": (marks, [["b", "c", "d", "e"], ["b"]]),
        "wallet-cells": (words.pair_cell, [["north", "b"], ["north", "b" * 60]]),
        "endpoint-mark": (lambda id: Endpoint(Listed(id, 0, 0, 1.0, State.READY, None), 0.1).mark,
                          [["e0"], ["e1"]])}
    for name, (rule, given) in rules.items():
        def write(given: list[list[Any]], rule: Callable[..., Any] = rule) -> bytes:
            return json.dumps([[one, rule(*one)] for one in given]).encode()

        def read(data: bytes, rule: Callable[..., Any] = rule) -> list[list[Any]]:
            if wrong := [one for one, told in json.loads(data) if rule(*one) != told]:
                raise ValueError(f"reckoned otherwise: {wrong}")
            return [one for one, _ in json.loads(data)]
        yield Form(f"reckoned-{name}", given, write, read, (ValueError, TypeError), grows=False)


# The link between sites.


def link() -> Iterator[Form]:
    from rainspindle.protocol.link import frames as f
    head = ((b"host", b"casablanca"), (b"x-attrs", b"billing=0"))
    frames: dict[str, f.Any] = {
        "hello": f.Hello(f.VERSIONS, "rabat", 1_700_000_000_123, bytes(range(16)), 1.5),
        "proof": f.Proof((bytes(32), b"\xff" * 32)),
        "open": f.Open(7, 12.5, 1.25, "look", "k1", 0.25, True, b"id-1", b"POST", b"/x", head, 5),
        "open-bare": f.Open(8, 12.5, 1.25, "look", None, None, False, b"", b"GET", b"/", (), 0),
        "data": f.Data(7, True, b"whole"), "revoke": f.Revoke(7, 1_700_000_000_123), "cancel": f.Cancel(7),
        "credit": f.Credit(7, True, 65536), "ping": f.Ping(12.5), "pong": f.Pong(12.5, 99.25),
        "goodbye": f.Goodbye(), "fault": f.Fault("frame_length")}
    for kind in ("finished", "rejected", "terminated"):
        frames[f"answer-{kind}"] = f.Answer(7, kind, 0.5, head, 2, kind != "rejected")
    for told in ("never", "started", "done", "unknown"):
        frames[f"revoked-{told}"] = f.Revoked(7, told)

    def read(data: bytes) -> f.Any:
        found = f.Reader().receive(data)
        if len(found) != 1:
            raise f.LinkFault("not_one", f"{len(found)} frames")
        return found[0]
    for name, frame in frames.items():
        yield Form(f"link-{name}", frame, f.encode, read, (f.LinkFault,), type(frame), module=f.__name__,
                   grows=False)


# What is stored.


def stored(name: str, value: Any, dump: Callable[[Any], bytes], load: Reader, kind: int, version: int,
           most: int, *refuses: type[Exception], **more: Any) -> Form:
    """A file as `store.file` writes it."""
    from rainspindle.store import file as store

    def at(folder: str) -> store.StoredFile:
        return store.StoredFile(os.path.join(folder, "file"), kind, version, most)

    def write(value: Any) -> bytes:
        with tempfile.TemporaryDirectory() as folder:
            at(folder).write(dump(value), "tag")
            return Path(folder, "file").read_bytes()

    def read(data: bytes) -> Any:
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "file").write_bytes(data)
            Path(folder, "file").chmod(0o600)
            return load(at(folder).read())
    return Form(name, value, write, read, (store.Unfit, ValueError, *refuses), kind=kind,
                module=store.__name__, header=store.HEADER.size, **more)


def files() -> Iterator[Form]:
    import orjson

    from rainspindle.decisions.operation.orders import Orders
    from rainspindle.program import operation
    from rainspindle.program.fleet import canary, members
    yield stored("stored-life", 1_700_000_000_123 << 12, lambda life: b"%d" % life, int, members.LIFE_KIND,
                 members.LIFE_VERSION, members.MOST_LIFE)
    yield stored("stored-orders", {"last": 9, "listed": ["e0", "e1", "e2"], "given": {
        "": [9, True], "e1": [7, True], "e2": [8, False]}},
        lambda plain: orjson.dumps(Orders.of(plain).plain()),
        lambda data: Orders.of(orjson.loads(data)).plain(), operation.ORDERS_KIND, operation.ORDERS_VERSION,
        operation.MOST_ORDERS)
    yield stored("stored-learnt", {"at": 1_700_000_000.25, "learnt": LEARNT}, taken, lambda data: json.loads(
        taken(orjson.loads(data))), operation.LEARNT_KIND, operation.LEARNT_VERSION, operation.MOST_LEARNT,
        KeyError, TypeError, AttributeError)
    kept = next(form for form in globals()["canary"]() if form.name == "canary-kept")
    yield stored("stored-canary", kept.value, kept.write, kept.read, canary.KIND, canary.VERSION,
                 canary.MOST_KEPT, *kept.refuses, type=kept.type)


LEARNT: dict[str, Any] = {
    "warm_rate": 12.5, "usual": 0.25, "slow": 0.5, "calm": 0.125, "counts": {"k1": 4.5, "k2": 2.0},
    "counted": 8.0,
    "times": [0.0, 2.0, 1.5] + [0.0] * 21, "put_back": {"e1": 3.5},
    "endpoints": {"e0": {
        "credit": 1.5, "window": 8.0, "calm": 0.0625, "busy": 0.5, "row": 2.0, "failures": [1.0, 0.5],
        "outcomes": [12, 40], "cold_left": 3, "age": 64.0, "times": [0.0] * 12 + [4.0] + [0.0] * 11,
        "cold_since": 32.0, "out": 0.5, "back": 16.0}},
    "keys": {"k1": ["e0", "e0", ["e0"], 1, 0, 2.0, 8.0]}}


class Still:
    """A host that does nothing of what it is asked."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *_: None


def taken(given: dict[str, Any]) -> bytes:
    """What a module that has taken this over would hand on itself."""
    import orjson

    from rainspindle.decisions.operation import learnt
    from rainspindle.host import Effect, Group, Listed, State, TrafficType
    from rainspindle.logic import Balancer, ColdBudget
    now, host, kind = 1024.0, Still(), TrafficType(Effect.RETRIABLE, Group.ALL, 0.6, 2.0, 0.15)
    balancer = Balancer(host, 1, now, peers=1, zone=0, types=[kind], max_forwards=4, parallel=False,
                        may_call_off=True, max_hold_off=1.0, asks_list=True, ask_within=10.0, use_shares=True,
                        cross_price=0.02, budget=ColdBudget(2.5, 3.0, 0.15, 24.0), further=None)
    balancer.list_changed(now, [Listed("e0", 0, 0, 1.0, State.READY, now - 64.0)], True, stale=False)
    learnt.take(balancer, now, given["learnt"])
    return orjson.dumps({"at": given["at"], "learnt": learnt.give(balancer, now)})


def rows() -> Iterator[Form]:
    """The wallets' folder: the database with its rows, and the two files by which it is known again."""
    from rainspindle.errors import Trouble
    from rainspindle.store import kept as store
    value = {"owner": "a", "rows": {
        "north/29360128": base64.b64encode(next(f for f in wallet() if f.name == "wallet-row").write(
            next(f for f in wallet() if f.name == "wallet-row").value)).decode(),
        "#north/2026/first": base64.b64encode(b"500").decode()}}

    def opened(folder: str, owner: str) -> tuple[store.Kept, store.Found]:
        kept = store.Kept(Path(folder), "wallets", owner, lambda: None)
        return kept, kept.open()

    def write(value: dict[str, Any]) -> bytes:
        with tempfile.TemporaryDirectory() as folder:
            kept, _ = opened(folder, value["owner"])
            kept.put({key: base64.b64decode(row) for key, row in value["rows"].items()})
            kept.shut()
            with contextlib.closing(sqlite3.connect(f"{folder}/wallets.db")) as database:
                # What tells this very folder from a copy is another each time.
                database.execute("UPDATE about SET value = '' WHERE name IN ('mark', 'last', 'times')")
                lines = list(database.iterdump())
            beside = {end: Path(folder, f"wallets.{end}").read_text() for end in ("mark", "last")}
            return json.dumps({"sql": lines, **beside}, indent=1).encode()

    def read(data: bytes) -> dict[str, Any]:
        told = json.loads(data)
        with tempfile.TemporaryDirectory() as folder:
            for end in ("mark", "last"):
                Path(folder, f"wallets.{end}").write_text(told[end])
            marked, last = (os.stat(f"{folder}/wallets.{end}") for end in ("mark", "last"))
            with contextlib.closing(sqlite3.connect(f"{folder}/wallets.db")) as database:
                database.executescript("\n".join(told["sql"]))
                database.executemany("UPDATE about SET value = ? WHERE name = ?", [
                    (f"{marked.st_ino} {marked.st_ctime_ns}", "mark"), (str(last.st_ino), "last"),
                    ("apart", "times")])
                database.commit()
            kept, found = opened(folder, "a")
            kept.shut()
            if not found.newest:
                raise store.StoreTrouble(found.why)
            return {"owner": "a", "rows": {
                key: base64.b64encode(row).decode() for key, row in found.rows.items()}}
    yield Form("stored-wallets", value, write, read, (Trouble, ValueError, KeyError, TypeError, OSError,
                                                      sqlite3.Error, sqlite3.Warning, AttributeError),
               module=store.__name__, grows=False)


GROUPS: tuple[Callable[[], Iterator[Form]], ...] = (
    members, pool, wallet, canary, evidence, listing, keep, reckoned, link, files, rows)


def forms() -> dict[str, Form]:
    """By name. A build has none of the groups whose modules are not there yet."""
    found: dict[str, Form] = {}
    for group in GROUPS:
        with contextlib.suppress(ImportError):
            found.update((form.name, form) for form in group())
    return found


# The files.


@dataclass(frozen=True, slots=True)
class Golden:
    """One form as one release wrote it."""

    release: str
    name: str
    value: Any  # plain JSON
    sha256: str

    @property
    def path(self) -> Path:
        return FOLDER / self.release / f"{self.name}.hex"

    def data(self) -> bytes:
        return bytes.fromhex(self.path.read_text())


def releases() -> list[str]:
    """The oldest first."""
    found = [path.parent.name for path in FOLDER.glob("*/index.json")]
    return sorted(found, key=numbers)


def golden(release: str) -> list[Golden]:
    index = json.loads((FOLDER / release / "index.json").read_text())
    return [Golden(release, one["form"], one["value"], one["sha256"]) for one in index]


def newest() -> dict[str, Golden]:
    return {one.name: one for release in releases() for one in golden(release)}


def is_out(release: str) -> bool:
    project = tomllib.loads((FOLDER.parent.parent / "pyproject.toml").read_text())["project"]
    return numbers(release) <= numbers(project["version"])


def numbers(release: str) -> list[int]:
    return [int(part) for part in release.split(".")]


def add(release: str) -> list[str]:
    """Writes what is new or other since the last release; the names. That of a release that is not out yet is
    written anew. Raises FileExistsError."""
    if not is_out(release):
        shutil.rmtree(FOLDER / release, ignore_errors=True)
    known, made = newest(), list[dict[str, Any]]()
    here = forms()
    written = {name: form.write(form.value) for name, form in here.items()}
    changed = [name for name in written if name not in known or known[name].data() != written[name]]
    folder = FOLDER / release
    folder.mkdir()
    for name in changed:
        text = "\n".join(textwrap.wrap(written[name].hex(), 100)) + "\n"
        (folder / f"{name}.hex").write_text(text)
        made.append({"form": name, "value": here[name].to_json(here[name].value),
                     "sha256": hashlib.sha256(text.encode()).hexdigest()})
    lines = ",\n".join(json.dumps(one, sort_keys=True) for one in made)
    (folder / "index.json").write_text(f"[\n{lines}\n]\n")
    return changed


def main(arguments: list[str]) -> None:
    if arguments[:1] == ["add"] and len(arguments) == 2:
        print("\n".join(add(arguments[1])))
    elif arguments == ["write"]:  # what the build in front writes, by form
        print(json.dumps({name: form.write(form.value).hex() for name, form in forms().items()}))
    elif arguments == ["read"]:  # what it makes of the bytes on its standard input, by form
        known = forms()
        print(json.dumps({name: known[name].to_json(known[name].read(bytes.fromhex(data)))
                          for name, data in json.load(sys.stdin).items() if name in known}))
    else:
        raise SystemExit("python -m tests.golden.forms add RELEASE")


if __name__ == "__main__":
    main(sys.argv[1:])
