"""Each message, register and stored format with a value, and the files of the bytes that releases wrote.

    python -m tests.golden.forms add 0.3        writes the formats added or changed since the last release
    PYTHONPATH=BUILD python FILE add 0.2        does so with the package of another build, as was done for 0.2

`values.json` holds the values. Each release has a folder whose `index.json` holds the values as well and the
checksums of the `.hex` files. The files of a release never change once it is published (`version` in
pyproject.toml); a later release that writes other bytes has files of its own, and reads the older ones too.
Run by path with the package of an older build first in the import path, `write` and `read` print what that
build writes and reads.
"""

from __future__ import annotations

import base64
import contextlib
import functools
import hashlib
import importlib
import importlib.util
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
VALUES: dict[str, Any] = msgspec.json.decode((FOLDER / "values.json").read_bytes())


@dataclass(frozen=True, slots=True)
class Form:
    """A format with its codec."""

    name: str
    write: Callable[[Any], bytes]
    read: Reader
    refuses: tuple[type[Exception], ...]  # all errors that `read` may raise, whatever the bytes
    type: Any = None  # type of the value, None if it is plain JSON
    shape: Any = None  # the struct that is encoded, if `read` returns another type
    cell: str = ""  # name of the register that holds it, with `*` for a variable part; "" if none
    kind: int = 0  # kind in the header of a stored file, 0 for other formats
    module: str = ""  # module of the codec
    grows: bool = True  # whether a reader ignores unknown fields
    header: int = 0  # bytes before the payload of a stored file; the last four are the checksum

    @property
    def value(self) -> Any:
        return self.of_json(VALUES[self.name])

    def to_json(self, value: Any) -> Any:
        try:
            return msgspec.json.decode(msgspec.json.encode(value, order="sorted"))
        except TypeError:  # maps with keys other than strings cannot be sorted
            return msgspec.json.decode(msgspec.json.encode(value))

    def of_json(self, plain: Any) -> Any:
        return plain if self.type is None else msgspec.json.decode(msgspec.json.encode(plain), type=self.type)


def named(prefix: str) -> list[str]:
    return [name for name in VALUES if name.startswith(prefix)]


# Messages between members.


def members() -> Iterator[Form]:
    wire = there("protocol.members")
    lists = ("member_updates", "register_updates", "register_digests", "register_requests")
    draft, unreadable = getattr(wire, "OutgoingMessage", None), getattr(wire, "UnreadableMessageError", None)
    if draft is None or unreadable is None:  # an older build
        lists, draft, unreadable = ("members", "cells", "sums", "wants"), wire.Draft, wire.Unreadable

    def write(message: Any) -> bytes:
        plain = {name: getattr(message, name) for name in message.__struct_fields__}
        encoded = {name: [wire.raw(item) for item in plain[name]] for name in lists}
        return bytes(wire.encode(draft(**{**plain, **encoded})))

    for name in named("members-"):
        yield Form(
            name,
            write,
            lambda data: wire.decode(data, FLEET),
            (unreadable,),
            wire.Message,
            module=wire.__name__,
        )


def pool() -> Iterator[Form]:
    module = there("protocol.peers")
    for name in named("pool-"):
        yield Form(
            name,
            write_pool_message if is_this_build() else write_older_pool_message,
            read_pool_message if is_this_build() else read_older_pool_message,
            (ValueError,),
            module=module.__name__,
            grows=False,
        )


def write_pool_message(value: dict[str, Any]) -> bytes:
    from rainspindle.balancer.host import KindEstimate, LearnedState
    from rainspindle.protocol import peers

    if "rates" in value:
        kinds = {int(kind): KindEstimate(*estimate) for kind, estimate in value["kinds"].items()}
        return peers.encode_learned_state(LearnedState(tuple(value["rates"]), kinds)).encode()
    return peers.encode_load(value["began"], value["ended"], value["whole"]).encode()


def read_pool_message(data: bytes) -> dict[str, Any]:
    from rainspindle.balancer.host import LearnedState
    from rainspindle.protocol import peers

    message = peers.decode(data.decode())
    if isinstance(message, LearnedState):
        kinds = {
            str(kind): [estimate.unloaded_time, estimate.concurrency]
            for kind, estimate in message.kinds.items()
        }
        return {"rates": list(message.request_rates), "kinds": kinds}
    return {"began": message.started, "ended": message.ended, "whole": message.complete}


# Values of registers.


def struct(name: str, kind: Any, read: Reader, *refuses: type[Exception], **more: Any) -> Form:
    return Form(name, msgspec.msgpack.encode, read, refuses, kind, module=kind.__module__, **more)


def wallet() -> Iterator[Form]:
    from rainspindle.protocol import wallet as words

    yield struct("wallet-word", words.Word, words.decode_word, words.UnreadableWord, cell="wallet/*")
    yield struct("wallet-pair", words.Pair, words.decode_pair, words.UnreadableWord, cell="wallet/*/t/*")
    yield struct("wallet-row", words.Kept, words.decode_kept, words.UnreadableWord)
    if hasattr(words, "Mark"):  # `Cells.sweep` puts a number and a space before it
        yield struct("wallet-mark", words.Mark, words.decode_mark, words.UnreadableWord, cell="swept/wallet")


def canary() -> Iterator[Form]:
    from rainspindle.decisions.canary import counts, state
    from rainspindle.decisions.canary.canary import Kept

    yield struct("canary-counts", counts.Told, counts.decode, ValueError, cell="canary/*")
    for name in named("canary-state-"):
        yield Form(
            name,
            lambda pair: pair[0].encode(pair[1]),
            lambda raw: list(state.decode(raw)),
            (ValueError,),
            tuple[state.State, str],
            state.Told,
            "canary/*/state",
            module=state.__name__,
        )
    yield struct(
        "canary-kept",
        Kept,
        lambda raw: msgspec.msgpack.decode(raw, type=Kept),
        msgspec.MsgspecError,
        UnicodeDecodeError,
    )


def there(name: str) -> Any:
    """Imports a module that not every build has. Raises ImportError."""
    return importlib.import_module(f"rainspindle.{name}")


def evidence() -> Iterator[Form]:
    words = there("protocol.evidence")
    yield struct("evidence", words.Told, words.decode_told, words.UnreadableEvidence, cell="evidence")


def listing() -> Iterator[Form]:
    words = there("protocol.listing")
    for name, kind, cell in (
        ("head", words.Head, words.HEAD),
        ("set", words.Set, words.SET),
        ("chunk", words.Chunk, "list/*"),
        ("line", words.Line, ""),
    ):
        yield struct(
            f"list-{name}", kind, functools.partial(words.decode, kind=kind), words.UnreadableList, cell=cell
        )


def keep() -> Iterator[Form]:
    words, run, store = (there(name) for name in ("protocol.keep", "program.fleet.keep", "store.generations"))

    def read_report(raw: bytes) -> tuple[int, list[bytes], list[tuple[bytes, float]]]:
        report = words.decode(raw)
        return report.ready, list(report.out), list(report.slow.items())

    yield Form(
        "keep-word",
        lambda report: words.encode(*report),
        read_report,
        (words.UnreadableKept,),
        tuple[int, list[bytes], list[tuple[bytes, float]]],
        words.Word,
        words.CELL,
        module=words.__name__,
    )

    def generations_in(folder: str) -> Any:
        return store.Generations(
            store.DiskFiles(Path(folder)), run.NAME, run.KIND, run.VERSION, run.LEAST, run.MOST, "tag"
        )

    def write(record: Any) -> bytes:
        with tempfile.TemporaryDirectory() as folder:
            return Path(
                folder, f"{run.NAME}.{generations_in(folder).write(words.encode_record(record))}"
            ).read_bytes()

    def read(data: bytes) -> Any:
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, f"{run.NAME}.1").write_bytes(data)
            Path(folder, f"{run.NAME}.1").chmod(0o600)
            return words.decode_record(generations_in(folder).read().payload)

    yield Form(
        "stored-keep",
        write,
        read,
        (store.Unfit, words.UnreadableKept),
        words.Record,
        kind=run.KIND,
        module=store.__name__,
        header=store.HEADER.size + store.CHECK,
    )


# Values that all members must compute alike, whatever their release.


def endpoint_mark(endpoint_id: str) -> int:
    return int(there("balancer.endpoint").endpoint_mark(endpoint_id))


def member_marks(*names: str) -> str:
    from rainspindle.decisions.members.member_table import MemberRecord, MemberTable
    from rainspindle.protocol.members import Status

    table = MemberTable("a", 100)
    for n, name in enumerate(names):
        status = Status(Status.ALIVE + n % 4)
        table.add(MemberRecord(name, bytes(6), 7 + n, n, status, 0.0, 0.0))
    return table.digests().hex()


def register_digest(owner: str, name: str, incarnation: int, number: int) -> int:
    from rainspindle.decisions.shared.registers import Register

    return Register(owner, name, incarnation, number, b"").digest


def register_partition(name: str) -> int:
    from rainspindle.decisions.shared.registers import partition_of

    return partition_of(name)


def reckoned() -> Iterator[Form]:
    from rainspindle.decisions.canary import terms
    from rainspindle.protocol import wallet as words

    def digest(name: str, part: float) -> str:
        steps = (terms.Step(part, 60.0, 200), terms.Step(0.5, 600.0, 1000))
        return terms.Terms(name, "kind new", steps, budget=0.02).digest.hex()

    rules: dict[str, Callable[..., Any]] = {
        "canary-digest": digest,
        "canary-point": terms.point,
        "member-marks": member_marks if is_this_build() else older_member_marks,
        "cell-mark": register_digest if is_this_build() else older_cell_mark,
        "cell-part": register_partition if is_this_build() else older_cell_part,
        "wallet-cells": words.pair_cell,
        "endpoint-mark": endpoint_mark if is_this_build() else older_endpoint_mark,
    }
    for name, rule in rules.items():

        def write(given: list[list[Any]], rule: Callable[..., Any] = rule) -> bytes:
            return json.dumps([[arguments, rule(*arguments)] for arguments in given]).encode()

        def read(data: bytes, rule: Callable[..., Any] = rule) -> list[list[Any]]:
            if wrong := [arguments for arguments, result in json.loads(data) if rule(*arguments) != result]:
                raise ValueError(f"computed results differ from the recorded ones for arguments {wrong}")
            return [arguments for arguments, _ in json.loads(data)]

        yield Form(f"reckoned-{name}", write, read, (ValueError, TypeError), grows=False)


# The link between sites.


def link() -> Iterator[Form]:
    from rainspindle.protocol.link import frames as f

    def read(data: bytes) -> f.Any:
        frames = f.Reader().receive(data)
        if len(frames) != 1:
            raise f.LinkFault("not_one", f"expected 1 frame, got {len(frames)}")
        return frames[0]

    for name in named("link-"):
        yield Form(
            name,
            f.encode,
            read,
            (f.LinkFault,),
            getattr(f, name.split("-")[1].title()),
            module=f.__name__,
            grows=False,
        )


# Stored files.


def stored(
    name: str,
    dump: Callable[[Any], bytes],
    load: Reader,
    kind: int,
    version: int,
    most: int,
    *refuses: type[Exception],
    **more: Any,
) -> Form:
    """Returns the format of a file that `store.file` writes."""
    from rainspindle.store import file as store

    def file_in(folder: str) -> store.StoredFile:
        return store.StoredFile(os.path.join(folder, "file"), kind, version, most)

    def write(value: Any) -> bytes:
        with tempfile.TemporaryDirectory() as folder:
            file_in(folder).write(dump(value), "tag")
            return Path(folder, "file").read_bytes()

    def read(data: bytes) -> Any:
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "file").write_bytes(data)
            Path(folder, "file").chmod(0o600)
            return load(file_in(folder).read())

    return Form(
        name,
        write,
        read,
        (store.Unfit, ValueError, *refuses),
        kind=kind,
        module=store.__name__,
        header=store.HEADER.size,
        **more,
    )


def files() -> Iterator[Form]:
    import orjson

    from rainspindle.decisions.operation.orders import Orders
    from rainspindle.program import operation
    from rainspindle.program.fleet import canary, members

    yield stored(
        "stored-life",
        lambda incarnation: b"%d" % incarnation,
        int,
        members.LIFE_KIND,
        members.LIFE_VERSION,
        members.MOST_LIFE,
    )
    yield stored(
        "stored-orders",
        lambda plain: orjson.dumps(Orders.of(plain).plain()),
        lambda data: Orders.of(orjson.loads(data)).plain(),
        operation.ORDERS_KIND,
        operation.ORDERS_VERSION,
        operation.MOST_ORDERS,
    )
    yield stored(
        "stored-learnt",
        taken,
        lambda data: json.loads(taken(orjson.loads(data))),
        operation.LEARNT_KIND,
        operation.LEARNT_VERSION,
        operation.MOST_LEARNT,
        KeyError,
        TypeError,
        AttributeError,
    )
    kept = next(form for form in globals()["canary"]() if form.name == "canary-kept")
    yield stored(
        "stored-canary",
        kept.write,
        kept.read,
        canary.KIND,
        canary.VERSION,
        canary.MOST_KEPT,
        *kept.refuses,
        type=kept.type,
    )


class InertHost:
    """A balancer host whose methods do nothing."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *_: None


def taken(given: dict[str, Any]) -> bytes:
    """Returns the state that a balancer gives after it has taken over this state."""
    import orjson

    from rainspindle.decisions.operation import learnt

    now = 1024.0
    balancer = make_balancer(now) if is_this_build() else make_older_balancer(now)
    learnt.take(balancer, now, given["learnt"])
    return orjson.dumps({"at": given["at"], "learnt": learnt.give(balancer, now)})


def make_balancer(now: float) -> Any:
    from rainspindle.balancer.balancer import Balancer
    from rainspindle.balancer.config import BalancerConfig
    from rainspindle.balancer.host import (
        DeduplicationScope,
        EndpointListUpdate,
        EndpointStatus,
        Idempotency,
        ListedEndpoint,
        TrafficClass,
    )
    from rainspindle.balancer.slow_start import SlowStartBudget

    traffic_class = TrafficClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0.6, 2.0, 0.15)
    config = BalancerConfig(
        (traffic_class,),
        SlowStartBudget(2.5, 3.0, 0.15, 24.0),
        max_attempts=4,
        can_cancel=True,
        max_retry_after=1.0,
        use_listed_weights=True,
        cross_zone_price=0.02,
    )
    host: Any = InertHost()
    balancer = Balancer(host, config, 1, now)
    listed = ListedEndpoint("e0", 0, 0, 1.0, EndpointStatus.READY, now - 64.0)
    balancer.on_list_changed(now, EndpointListUpdate([listed], complete=True))
    return balancer


# The same for builds before the package `balancer`, with the names of those builds.


def is_this_build() -> bool:
    return importlib.util.find_spec("rainspindle.balancer") is not None


def write_older_pool_message(value: dict[str, Any]) -> bytes:
    peers, host = there("protocol.peers"), there("host")
    if "rates" in value:
        kinds = {int(kind): tuple(estimate) for kind, estimate in value["kinds"].items()}
        return bytes(peers.encode_facts(host.Facts(tuple(value["rates"]), kinds)).encode())
    return bytes(peers.encode_held(value["began"], value["ended"], value["whole"]).encode())


def read_older_pool_message(data: bytes) -> dict[str, Any]:
    peers, host = there("protocol.peers"), there("host")
    message = peers.decode(data.decode())
    if isinstance(message, host.Facts):
        return {
            "rates": list(message.rates),
            "kinds": {str(kind): list(estimate) for kind, estimate in message.kinds.items()},
        }
    return {"began": message.began, "ended": message.ended, "whole": message.whole}


def older_endpoint_mark(endpoint_id: str) -> int:
    host, logic = there("host"), there("logic")
    return int(logic.Endpoint(host.Listed(endpoint_id, 0, 0, 1.0, host.State.READY, None), 0.1).mark)


def older_member_marks(*names: str) -> str:
    table, wire = there("decisions.members.table"), there("protocol.members")
    older_table = table.Table("a", 100)
    for n, name in enumerate(names):
        older_table.add(table.Record(name, bytes(6), 7 + n, n, wire.ALIVE + n % 4, 0.0, 0.0))
    return str(older_table.marks().hex())


def older_cell_mark(owner: str, name: str, life: int, number: int) -> int:
    return int(there("decisions.shared.cells").Cell(owner, name, life, number, b"").mark)


def older_cell_part(name: str) -> int:
    return int(there("decisions.shared.cells").part(name))


def make_older_balancer(now: float) -> Any:
    host, logic = there("host"), there("logic")
    kind = host.TrafficType(host.Effect.RETRIABLE, host.Group.ALL, 0.6, 2.0, 0.15)
    balancer = logic.Balancer(
        InertHost(),
        1,
        now,
        peers=1,
        zone=0,
        types=[kind],
        max_forwards=4,
        parallel=False,
        may_call_off=True,
        max_hold_off=1.0,
        asks_list=True,
        ask_within=10.0,
        use_shares=True,
        cross_price=0.02,
        budget=logic.ColdBudget(2.5, 3.0, 0.15, 24.0),
        further=None,
    )
    listed = host.Listed("e0", 0, 0, 1.0, host.State.READY, now - 64.0)
    balancer.list_changed(now, [listed], True, stale=False)
    return balancer


def rows() -> Iterator[Form]:
    """Yields the format of the wallet store: the database and the two files that detect copies."""
    from rainspindle.errors import Trouble
    from rainspindle.store import kept as store

    row = next(form for form in wallet() if form.name == "wallet-row")
    VALUES["stored-wallets"] = {
        "owner": "a",
        "rows": {  # rows as the imported build writes them
            "north/29360128": base64.b64encode(row.write(row.value)).decode(),
            "#north/2026/first": base64.b64encode(b"500").decode(),
        },
    }

    def open_store(folder: str, owner: str) -> tuple[store.Kept, store.Found]:
        wallets = store.Kept(Path(folder), "wallets", owner, lambda: None)
        return wallets, wallets.open()

    def write(value: dict[str, Any]) -> bytes:
        with tempfile.TemporaryDirectory() as folder:
            wallets, _ = open_store(folder, value["owner"])
            wallets.put({key: base64.b64decode(encoded) for key, encoded in value["rows"].items()})
            wallets.shut()
            with contextlib.closing(sqlite3.connect(f"{folder}/wallets.db")) as database:
                # These values distinguish the folder from a copy and differ each time.
                database.execute("UPDATE about SET value = '' WHERE name IN ('mark', 'last', 'times')")
                lines = list(database.iterdump())
            other_files = {
                suffix: Path(folder, f"wallets.{suffix}").read_text() for suffix in ("mark", "last")
            }
            return json.dumps({"sql": lines, **other_files}, indent=1).encode()

    def read(data: bytes) -> dict[str, Any]:
        contents = json.loads(data)
        with tempfile.TemporaryDirectory() as folder:
            for suffix in ("mark", "last"):
                Path(folder, f"wallets.{suffix}").write_text(contents[suffix])
            mark_status, last_status = (os.stat(f"{folder}/wallets.{suffix}") for suffix in ("mark", "last"))
            with contextlib.closing(sqlite3.connect(f"{folder}/wallets.db")) as database:
                database.executescript("\n".join(contents["sql"]))
                database.executemany(
                    "UPDATE about SET value = ? WHERE name = ?",
                    [
                        (f"{mark_status.st_ino} {mark_status.st_ctime_ns}", "mark"),
                        (str(last_status.st_ino), "last"),
                        ("apart", "times"),
                    ],
                )
                database.commit()
            wallets, found = open_store(folder, "a")
            wallets.shut()
            if not found.newest:
                raise store.StoreTrouble(found.why)
            return {
                "owner": "a",
                "rows": {
                    key: base64.b64encode(stored_row).decode() for key, stored_row in found.rows.items()
                },
            }

    yield Form(
        "stored-wallets",
        write,
        read,
        (Trouble, ValueError, KeyError, TypeError, OSError, sqlite3.Error, sqlite3.Warning, AttributeError),
        module=store.__name__,
        grows=False,
    )


GROUPS: tuple[Callable[[], Iterator[Form]], ...] = (
    members,
    pool,
    wallet,
    canary,
    evidence,
    listing,
    keep,
    reckoned,
    link,
    files,
    rows,
)


def forms() -> dict[str, Form]:
    """Returns the formats by name, without the groups whose modules the imported build does not have."""
    by_name: dict[str, Form] = {}
    for group in GROUPS:
        with contextlib.suppress(ImportError):
            by_name.update((form.name, form) for form in group())
    return by_name


# Golden files.


@dataclass(frozen=True, slots=True)
class Golden:
    """A format as a release wrote it."""

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
    """Returns the releases that have golden files, the oldest first."""
    names = [path.parent.name for path in FOLDER.glob("*/index.json")]
    return sorted(names, key=numbers)


def golden(release: str) -> list[Golden]:
    index = json.loads((FOLDER / release / "index.json").read_text())
    return [Golden(release, entry["form"], entry["value"], entry["sha256"]) for entry in index]


def newest() -> dict[str, Golden]:
    """Returns the latest golden file of each format."""
    return {file.name: file for release in releases() for file in golden(release)}


def is_published(release: str) -> bool:
    project = tomllib.loads((FOLDER.parent.parent / "pyproject.toml").read_text())["project"]
    return numbers(release) <= numbers(project["version"])


def numbers(release: str) -> list[int]:
    return [int(number) for number in release.split(".")]


def add(release: str) -> list[str]:
    """Writes the formats added or changed since the last release and returns their names.

    The folder of an unpublished release is replaced. Raises FileExistsError for a published one.
    """
    if not is_published(release):
        shutil.rmtree(FOLDER / release, ignore_errors=True)
    released, entries = newest(), list[dict[str, Any]]()
    current = forms()
    written = {name: form.write(form.value) for name, form in current.items()}
    changed = [name for name in written if name not in released or released[name].data() != written[name]]
    folder = FOLDER / release
    folder.mkdir()
    for name in changed:
        text = "\n".join(textwrap.wrap(written[name].hex(), 100)) + "\n"
        (folder / f"{name}.hex").write_text(text)
        entries.append(
            {
                "form": name,
                "value": current[name].to_json(current[name].value),
                "sha256": hashlib.sha256(text.encode()).hexdigest(),
            }
        )
    lines = ",\n".join(json.dumps(entry, sort_keys=True) for entry in entries)
    (folder / "index.json").write_text(f"[\n{lines}\n]\n")
    return changed


def main(arguments: list[str]) -> None:
    if arguments[:1] == ["add"] and len(arguments) == 2:
        print("\n".join(add(arguments[1])))
    elif arguments == ["write"]:  # what the imported build writes, by format
        print(json.dumps({name: form.write(form.value).hex() for name, form in forms().items()}))
    elif arguments == ["read"]:  # what it reads from the bytes on standard input, by format
        known_forms = forms()
        print(
            json.dumps(
                {
                    name: known_forms[name].to_json(known_forms[name].read(bytes.fromhex(data)))
                    for name, data in json.load(sys.stdin).items()
                    if name in known_forms
                }
            )
        )
    else:
        raise SystemExit("python -m tests.golden.forms add RELEASE")


if __name__ == "__main__":
    main(sys.argv[1:])
