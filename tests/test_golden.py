"""Each message, cell and stored form, as released: read and written by this build, and by an older one."""

from __future__ import annotations

import ast
import contextlib
import hashlib
import importlib
import inspect
import json
import math
import pkgutil
import random
import subprocess
import sys
import typing
import zlib
from collections.abc import Iterator
from pathlib import Path
from types import ModuleType
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import rainspindle
from rainspindle.decisions.canary.terms import Step, Terms
from rainspindle.decisions.members.membership import Membership
from rainspindle.decisions.shared.registers import Register
from rainspindle.errors import Trouble
from rainspindle.lab.canary_net import Net
from rainspindle.lab.fleet import builds, mixed
from rainspindle.lab.fleet.builds import NoBuild, older
from rainspindle.lab.fleet.virtual import World
from rainspindle.lab.sockets.run import ROOT
from rainspindle.lab.walletday import WalletDay
from rainspindle.program.fleet.config import FleetFile
from rainspindle.protocol import members as wire
from rainspindle.protocol import wallet as words
from tests.golden import forms as kept
from tests.golden.forms import FOLDER, Form, Golden, forms, golden, newest, releases

FORMS, NEWEST = forms(), newest()
ALL = [one for release in releases() for one in golden(release)]


def named(one: Golden) -> str:
    return f"{one.release} {one.name}"


# Both ways.


@pytest.mark.parametrize("one", ALL, ids=named)
def test_what_was_released_is_read_to_the_same_value(one: Golden) -> None:
    form = FORMS[one.name]
    assert form.to_json(form.read(one.data())) == form.to_json(form.of_json(one.value))


@pytest.mark.parametrize("one", NEWEST.values(), ids=named)
def test_the_bytes_of_the_last_release_are_written(one: Golden) -> None:
    form = FORMS[one.name]
    assert form.write(form.of_json(one.value)).hex() == one.data().hex(), "a new one: `forms.py add`"


def test_what_is_released_stays_as_it_is(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    for release in releases():
        files = {one.path.name: one.sha256 for one in golden(release)}
        assert files == {
            path.name: hashlib.sha256(path.read_bytes()).hexdigest()
            for path in (FOLDER / release).glob("*.hex")
        }
    with pytest.raises(FileExistsError):
        kept.add(releases()[0])
    place = tmp_path / "tests" / "golden"
    (place / "0.9").mkdir(parents=True)
    (place / "0.9" / "index.json").write_text("[]")
    (tmp_path / "pyproject.toml").write_text('[project]\nversion = "0.10.0"\n')
    monkeypatch.setattr(kept, "FOLDER", place)
    assert set(kept.add("0.10")) == set(FORMS) and kept.releases() == ["0.9", "0.10"]
    assert kept.add("0.11") == [], "what has not changed has no new file"
    assert kept.add("0.11") == [], "it is not out yet"
    with pytest.raises(FileExistsError):
        kept.add("0.10")


def build(folder: Path, act: str, stdin: str = "") -> dict[str, Any]:
    done = subprocess.run(
        [sys.executable, str(FOLDER / "forms.py"), act],
        cwd=folder,
        input=stdin,
        text=True,
        capture_output=True,
        timeout=300,
        env={"PYTHONPATH": str(folder)},
    )
    assert done.returncode == 0, done.stderr
    return dict(json.loads(done.stdout))


OLDER_BUILDS = {**builds.BY_NAME, "unrenamed": builds.UNRENAMED}


@pytest.fixture(scope="module", params=[*OLDER_BUILDS.values()], ids=[*OLDER_BUILDS])
def old(tmp_path_factory: pytest.TempPathFactory, request: pytest.FixtureRequest) -> Path:
    try:
        return older(tmp_path_factory.mktemp("old"), request.param).root
    except NoBuild as fault:
        pytest.skip(fault.line())


def test_an_older_build_writes_what_is_kept_as_its_own(old: Path) -> None:
    written = build(old, "write")
    released = NEWEST.values() if is_unrenamed(old) else golden(releases()[0])
    expected = {one.name: one.data().hex() for one in released}
    assert {name: written.get(name) for name in expected} == expected


def is_unrenamed(old: Path) -> bool:
    return builds.UNRENAMED.startswith(old.name)


def within(less: Any, more: Any) -> bool:
    """Whether the second is the first, with more at the ends of lists and under further keys."""
    if isinstance(less, dict) and isinstance(more, dict):
        return all(key in more and within(value, more[key]) for key, value in less.items())
    if isinstance(less, list) and isinstance(more, list):
        return len(less) <= len(more) and all(map(within, less, more))
    return bool(less == more)


def test_what_an_older_build_writes_is_read(old: Path) -> None:
    """What is no release yet has no file, but its bytes have been sent and kept."""
    written = build(old, "write")
    for name, value in build(old, "read", json.dumps(written)).items():
        form = FORMS[name]
        assert within(value, form.to_json(form.read(bytes.fromhex(written[name])))), name


def test_an_older_build_reads_what_this_one_writes(old: Path) -> None:
    read = build(old, "read", json.dumps({one.name: one.data().hex() for one in NEWEST.values()}))
    assert read.keys() >= {one.name for one in golden(releases()[0])}
    assert [name for name, value in read.items() if not within(value, NEWEST[name].value)] == []


def test_a_history_without_the_older_build_is_told(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    gone = "1234567890123456789012345678901234567890"
    with pytest.raises(NoBuild, match="no build of 123456789012"):
        older(tmp_path, gone)
    monkeypatch.setitem(builds.BY_NAME, "0.2", gone)
    with pytest.raises(SystemExit) as ended:
        mixed.main(["--hours", "0.1"])
    assert ended.value.code == 2 and "git fetch --unshallow" in capsys.readouterr().err


def test_a_shallow_clone_has_no_older_build(tmp_path: Path) -> None:
    made = subprocess.run(
        ["git", "clone", "-q", "--bare", "--depth", "1", f"file://{ROOT}", "shallow"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=60,
    )
    if made.returncode:
        pytest.skip(f"no history to clone: {made.stderr.strip()}")
    for commit in builds.BY_NAME.values():
        with pytest.raises(NoBuild, match=f"no build of {commit[:12]}"):
            older(tmp_path / "old", commit, tmp_path / "shallow")
        assert not any((tmp_path / "old").glob("*"))


# Nothing is left out.


def modules() -> list[ModuleType]:
    names = [found.name for found in pkgutil.walk_packages(rainspindle.__path__, "rainspindle.")]
    return [
        importlib.import_module(name)
        for name in names
        if not name.endswith("__main__") and not name.startswith("rainspindle.lab")
    ]


def structs_in(value: Any) -> Iterator[msgspec.Struct]:
    if isinstance(value, msgspec.Struct):
        yield value
        for name in value.__struct_fields__:
            yield from structs_in(getattr(value, name))
    elif isinstance(value, list | tuple):
        for item in value:
            yield from structs_in(item)


def parts(one: Golden) -> Iterator[msgspec.Struct]:
    """Of the bytes of a form, whatever reading them gives."""
    form = FORMS[one.name]
    yield from structs_in(
        msgspec.msgpack.decode(one.data(), type=form.shape) if form.shape else form.read(one.data())
    )


def tables(of: type[msgspec.Struct]) -> set[type[msgspec.Struct]]:
    """Of the operator's file, which no release is sent: each says itself what it refuses."""
    found = {of}
    for field in msgspec.structs.fields(of):
        for kind in (field.type, *typing.get_args(field.type)):
            if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
                found |= tables(kind)
            for inner in typing.get_args(kind):
                if isinstance(inner, type) and issubclass(inner, msgspec.Struct):
                    found |= tables(inner)
    return found


def of_the_program() -> set[type[msgspec.Struct]]:
    """Every type that this program sends or stores."""
    found = {
        kind
        for module in modules()
        for kind in vars(module).values()
        if inspect.isclass(kind) and issubclass(kind, msgspec.Struct) and kind.__module__ == module.__name__
    }
    tables_of_files = tables(FleetFile) | {
        kind
        for kind in found
        if kind.__module__
        in (
            "rainspindle.program.fleet.config",
            "rainspindle.program.gateway_config",
            "rainspindle.program.mysql_config",
        )
    }
    return {kind for kind in found - tables_of_files if kind.__struct_fields__ or not kind.__subclasses__()}


def test_each_type_that_is_sent_or_stored_has_a_file_and_each_of_its_fields_a_value() -> None:
    seen: dict[type[msgspec.Struct], set[str]] = {}
    for one in NEWEST.values():
        for part in parts(one):
            told = seen.setdefault(type(part), set())
            for field in msgspec.structs.fields(type(part)):
                if getattr(part, field.name) not in (field.default, b"", "", 0, [], ()):
                    told.add(field.name)
    views = {
        kind
        for kind in of_the_program()
        if any(  # other shapes of one that has a file: Draft, Head
            kind is not whole
            and kind.__module__ == whole.__module__
            and not kind.__struct_config__.array_like
            and set(kind.__struct_encode_fields__) <= set(whole.__struct_encode_fields__)
            for whole in seen
        )
    }
    lacking = of_the_program() - views - seen.keys()
    assert {f"{kind.__module__}.{kind.__qualname__}" for kind in lacking} == set()
    assert {
        f"{kind.__qualname__}.{name}"
        for kind, told in seen.items()
        for name in set(kind.__struct_fields__) - told
    } == set()


def test_each_kind_of_message_and_each_status_has_a_file() -> None:
    messages = [FORMS[name].read(one.data()) for name, one in NEWEST.items() if name.startswith("members-")]
    assert {message.kind for message in messages} == set(wire.MessageKind)
    assert {update.status for message in messages for update in message.member_updates} == set(wire.Status)


def test_each_literal_of_a_frame_has_a_file() -> None:
    seen: dict[tuple[str, str], set[Any]] = {}
    for one in NEWEST.values():
        for part in parts(one):
            for field in msgspec.structs.fields(type(part)):
                seen.setdefault((type(part).__name__, field.name), set()).add(repr(getattr(part, field.name)))
    for kind in of_the_program():
        for field in msgspec.structs.fields(kind):
            if typing.get_origin(field.type) is typing.Literal:
                assert seen[kind.__name__, field.name] >= {repr(one) for one in typing.get_args(field.type)}


def sources() -> Iterator[tuple[ModuleType, ast.AST]]:
    for module in modules():
        assert module.__file__ is not None
        for node in ast.walk(ast.parse(Path(module.__file__).read_text())):
            yield module, node


def calls(name: str) -> Iterator[tuple[ModuleType, ast.Call]]:
    for module, node in sources():
        if isinstance(node, ast.Call) and name == getattr(node.func, "id", getattr(node.func, "attr", "")):
            yield module, node


def test_each_stored_file_has_one_here() -> None:
    stores = [module for module in modules() if module.__name__.startswith("rainspindle.store.")]
    assert {module.__name__ for module in stores} <= {form.module for form in FORMS.values()}
    used: set[Any] = set()
    for kept_by in {
        one
        for module in stores
        for one in vars(module).values()
        if inspect.isclass(one) and one.__module__ == module.__name__
    }:
        names = list(getattr(kept_by, "__match_args__", ()) or inspect.signature(kept_by).parameters)
        for module, call in calls(kept_by.__name__) if "kind" in names else ():
            kind = ast.unparse(call.args[names.index("kind")])
            used.add(getattr(module, kind, f"{module.__name__}: {kind}"))
    assert len(used) >= 4 and used <= {form.kind for form in FORMS.values()}


def pattern(module: ModuleType, node: ast.expr | None) -> str | None:
    """A text as the source has it, `*` for each part that is not in it; None for one from elsewhere."""
    if isinstance(node, ast.Constant):
        return str(node.value)
    if isinstance(node, ast.JoinedStr):
        return "".join(str(part.value) if isinstance(part, ast.Constant) else "*" for part in node.values)
    if isinstance(node, ast.Name | ast.Attribute) and isinstance(found := named_in(module, node), str):
        return found
    if isinstance(node, ast.Call) and inspect.isfunction(made := named_in(module, node.func)):
        there = importlib.import_module(made.__module__)
        backs = [n for n in ast.walk(ast.parse(inspect.getsource(made))) if isinstance(n, ast.Return)]
        return pattern(there, backs[-1].value) if backs else None
    return None


def named_in(module: ModuleType, node: ast.expr) -> Any:
    """What a name, or a name of a module's, is there."""
    if isinstance(node, ast.Attribute):
        return getattr(named_in(module, node.value), node.attr, None)
    return getattr(module, node.id, None) if isinstance(node, ast.Name) else None


def test_each_cell_has_a_file() -> None:
    """All that is written as a cell, by the names in the source; of those handed in, what `*_cell` makes."""
    names = {
        pattern(module, call.args[1])
        for module, call in calls("write")
        if len(call.args) > 2 and "cells" in ast.unparse(call.func)
    }
    for module, node in sources():
        if isinstance(node, ast.FunctionDef) and node.name.endswith("_cell"):
            names |= {pattern(module, back.value) for back in ast.walk(node) if isinstance(back, ast.Return)}
    prefixes = {pattern(module, call.args[0]) for module, call in calls("on_change")}
    known = {form.cell for form in FORMS.values() if form.cell}
    assert len(names - {None}) >= 4 and names - {None} <= known
    assert None not in prefixes
    assert [p for p in prefixes if not any(cell.startswith(str(p)) for cell in known)] == []


# What a later release may send.


def resealed(form: Form, data: bytes, payload: bytes) -> bytes:
    """A stored file with another payload, and a header that fits it: length and checksum end it."""
    head = data[: form.header - 12] + len(payload).to_bytes(8, "big")
    return head + zlib.crc32(payload, zlib.crc32(head)).to_bytes(4, "big") + payload


def grown(value: Any) -> Any:
    return {**value, "zz": [1]} if isinstance(value, dict) else [*value, {"since": 1}]


def with_more(form: Form, data: bytes) -> bytes | None:
    """With a key or an item that this release does not know; None for a bare number."""
    payload = data[form.header :]
    try:
        value = json.loads(payload) if payload[:1] == b"{" else msgspec.msgpack.decode(payload)
    except ValueError:
        return None
    if not isinstance(value, list | dict):
        return None
    encode = msgspec.json.encode if payload[:1] == b"{" else msgspec.msgpack.encode
    more = encode(grown(value))
    return resealed(form, data, more) if form.kind else more


def test_what_a_later_release_adds_is_passed_over() -> None:
    tried = 0
    for name, one in NEWEST.items():
        form, data = FORMS[name], with_more(FORMS[name], one.data()) if FORMS[name].grows else None
        if data is not None:
            assert form.to_json(form.read(data)) == form.to_json(form.of_json(one.value)), name
            tried += 1
    assert tried >= 18


def test_the_link_names_what_it_does_not_know_and_says_which_versions_it_speaks() -> None:
    form, one = FORMS["link-ping"], NEWEST["link-ping"]
    frame = msgspec.msgpack.encode([*msgspec.msgpack.decode(one.data()[4:]), 1])
    with pytest.raises(Trouble, match="frame_unreadable"):
        form.read(len(frame).to_bytes(4, "big") + frame)
    assert FORMS["link-hello"].read(NEWEST["link-hello"].data()).versions == (1,)


BYTES = [
    (one.name, one.data())
    for one in ALL  # SQLite reads the one, nobody is sent the others
    if one.name != "stored-wallets" and not one.name.startswith("reckoned-")
]


@st.composite
def damaged(draw: st.DrawFn, of: tuple[str, ...] = ("",)) -> tuple[str, bytes]:
    """Golden bytes with some of them changed, cut, doubled or put into others; of forms that begin so."""
    name, whole = draw(st.sampled_from([one for one in BYTES if one[0].startswith(of)]))
    form = FORMS[name]
    data = bytearray(whole[form.header :])
    if form.shape or form.cell:  # an item that is none, though its type is
        items = msgspec.msgpack.decode(data)
        at = draw(st.integers(0, len(items) - 1))
        odd: dict[type, list[Any]] = {
            float: [math.nan, math.inf, -math.inf, -1.0],
            int: [-1, 1 << 62, (1 << 64) - 1, -(1 << 63)],
        }
        items[at] = draw(st.sampled_from(odd.get(type(items[at]), [b"", "", True, None, [-1] * 16])))
        if draw(st.booleans()):
            return name, msgspec.msgpack.encode(items)
    for _ in range(draw(st.integers(1, 4))):
        at = draw(st.integers(0, len(data)))
        act = draw(st.sampled_from(("set", "set", "cut", "put", "end")))
        if act == "set" and at < len(data):
            data[at] = draw(st.integers(0, 255))
        elif act == "cut":
            del data[at : at + draw(st.integers(1, 8))]
        elif act == "put":
            data[at:at] = draw(st.binary(max_size=9))
        elif act == "end":
            del data[at:]
    return name, resealed(form, whole, bytes(data)) if form.kind else bytes(data)


@settings(max_examples=600, deadline=None)
@given(damaged())
def test_what_is_damaged_is_read_or_refused(found: tuple[str, bytes]) -> None:
    name, data = found
    form = FORMS[name]
    with contextlib.suppress(*form.refuses):
        form.read(data)


# The deciders, with what they read of such bytes.


def message(kind: int, number: int, life: int, **head: int) -> bytes:
    plain: dict[str, Any] = {
        "v": wire.VERSION,
        "r": wire.LOWEST_READER,
        "f": "virtual",
        "n": "m1",
        "l": life,
        "i": 0,
        "a": wire.pack_address(("10.0.0.2", 7946)),
        "q": number,
        "k": kind,
        **head,
    }
    return msgspec.msgpack.encode(plain)


def test_members_count_what_they_cannot_read_and_pass_over_kinds_that_they_do_not_know() -> None:
    world = World(3)
    world.fleet(3)
    assert world.run_until(world.agreed, 20.0)
    process, other = world.processes["m0"], world.processes["m1"]
    members = process.engine
    assert isinstance(members, Membership)
    before, top = members.stats.drops(), other.members.messenger.number + 1000
    unknown = max(wire.MessageKind) + 1
    members.on_datagram(world.now, message(unknown, top + 1, other.life, zz=1))
    members.on_datagram(world.now, message(wire.MessageKind.PING, top + 2, other.life, v=wire.VERSION + 1))
    assert members.stats.drops() == before, "both are read"
    members.on_datagram(world.now, message(wire.MessageKind.PING, top + 3, other.life, r=wire.VERSION + 1))
    members.on_datagram(world.now, b"\xc1" + message(wire.MessageKind.PING, top + 4, other.life))
    after = members.stats.drops()
    assert after == {
        **before,
        "other_release": before["other_release"] + 1,
        "unreadable": before["unreadable"] + 1,
    }


@settings(max_examples=200, deadline=None)
@given(st.lists(damaged(("members",)), max_size=12))
def test_members_stand_whatever_comes(found: list[tuple[str, bytes]]) -> None:
    members = MEMBERS.processes["m0"].members
    for _, data in found:
        members.on_datagram(MEMBERS.now, data.replace(b"\xa3lab", b"\xa7virtual"))
    MEMBERS.run(MEMBERS.now + 0.5)


MEMBERS = World(4)
MEMBERS.fleet(3)


@settings(max_examples=300, deadline=None)
@given(st.lists(damaged(("wallet", "canary")), max_size=8))
def test_a_wallet_and_a_canary_stand_whatever_is_in_a_cell(found: list[tuple[str, bytes]]) -> None:
    day = WalletDay(3, 5)
    day.top_up("one", 300)
    day.traffic("m01", 20.0, 3.0)
    net = Net(1, 3, Terms("c", "x", (Step(0.5, 4.0, 1),), each_effect=0))
    net.nodes["s0"].canary.start(net.now, 1_700_000_000.0)
    for n, (name, data) in enumerate(found):
        cell, owner = FORMS[name].cell, random.Random(n).choice(("m00", "m02"))
        if cell.startswith("wallet/"):
            with contextlib.suppress(words.UnreadableWord):  # as the program does, which counts it
                if cell.endswith("/t/*"):
                    day.members["m01"].wallet.on_pair(day.now, owner, words.decode_pair(data))
                else:
                    day.members["m01"].wallet.on_word(day.now, owner, words.decode_word(data))
            day.run(0.3)
        elif cell.startswith("canary/") and len(data) <= 900:
            net.nodes["s0"].cells.merge(
                net.now,
                Register(
                    "s1", "canary/c/state" if cell.endswith("/state") else "canary/c", 1, 10_000 + n, data
                ),
            )
            net.nodes["s0"].canary.tick(net.now + 0.3 * n)
    day.run(1.0)
    net.nodes["s0"].canary.report(net.now + 5.0)


@pytest.mark.parametrize(
    ("name", "field", "value"),
    [
        ("wallet-word", "rate", math.nan),
        ("wallet-word", "rate", math.inf),
        ("wallet-word", "rate", -1.0),
        ("wallet-word", "paused", math.nan),
        ("canary-counts", "stage", -1),
        ("canary-counts", "stage", 256),
        ("canary-counts", "epoch", -1),
        ("canary-counts", "run", -1),
        ("canary-counts", "fine_age", math.nan),
    ],
)
def test_figures_that_are_none_are_refused(name: str, field: str, value: float) -> None:
    """By the first of these a wallet's look at others ended in a fault, by a stage below 0 a canary's."""
    form = FORMS[name]
    with pytest.raises(form.refuses):
        form.read(form.write(msgspec.structs.replace(form.value, **{field: value})))
