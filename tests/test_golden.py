"""Each message, register and stored format as released, read and written by this build and by older ones."""

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
from tests.golden import forms as golden_forms
from tests.golden.forms import FOLDER, Form, Golden, forms, golden, newest, releases

FORMS, NEWEST = forms(), newest()
ALL = [file for release in releases() for file in golden(release)]


def label(file: Golden) -> str:
    return f"{file.release} {file.name}"


# Reading and writing.


@pytest.mark.parametrize("file", ALL, ids=label)
def test_released_bytes_are_read_to_the_same_value(file: Golden) -> None:
    form = FORMS[file.name]
    assert form.to_json(form.read(file.data())) == form.to_json(form.of_json(file.value))


@pytest.mark.parametrize("file", NEWEST.values(), ids=label)
def test_the_bytes_of_the_last_release_are_written(file: Golden) -> None:
    form = FORMS[file.name]
    assert form.write(form.of_json(file.value)).hex() == file.data().hex(), (
        "the written bytes differ; for a new release run `forms.py add`"
    )


def test_released_files_never_change(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    for release in releases():
        files = {file.path.name: file.sha256 for file in golden(release)}
        assert files == {
            path.name: hashlib.sha256(path.read_bytes()).hexdigest()
            for path in (FOLDER / release).glob("*.hex")
        }
    with pytest.raises(FileExistsError):
        golden_forms.add(releases()[0])
    folder = tmp_path / "tests" / "golden"
    (folder / "0.9").mkdir(parents=True)
    (folder / "0.9" / "index.json").write_text("[]")
    (tmp_path / "pyproject.toml").write_text('[project]\nversion = "0.10.0"\n')
    monkeypatch.setattr(golden_forms, "FOLDER", folder)
    assert set(golden_forms.add("0.10")) == set(FORMS) and golden_forms.releases() == ["0.9", "0.10"]
    assert golden_forms.add("0.11") == [], "unchanged formats get no new file"
    assert golden_forms.add("0.11") == [], "an unpublished release may be written again"
    with pytest.raises(FileExistsError):
        golden_forms.add("0.10")


def run_build(folder: Path, command: str, stdin: str = "") -> dict[str, Any]:
    """Runs `forms.py` with the package in the folder and returns its output."""
    completed = subprocess.run(
        [sys.executable, str(FOLDER / "forms.py"), command],
        cwd=folder,
        input=stdin,
        text=True,
        capture_output=True,
        timeout=300,
        env={"PYTHONPATH": str(folder)},
    )
    assert completed.returncode == 0, completed.stderr
    return dict(json.loads(completed.stdout))


OLDER_BUILDS = {**builds.BY_NAME, "unrenamed": builds.UNRENAMED}


@pytest.fixture(scope="module", params=[*OLDER_BUILDS.values()], ids=[*OLDER_BUILDS])
def old(tmp_path_factory: pytest.TempPathFactory, request: pytest.FixtureRequest) -> Path:
    try:
        return older(tmp_path_factory.mktemp("old"), request.param).root
    except NoBuild as fault:
        pytest.skip(fault.line())


def test_an_older_build_writes_the_golden_files_of_its_release(old: Path) -> None:
    written = run_build(old, "write")
    released = NEWEST.values() if is_unrenamed(old) else golden(releases()[0])
    expected = {file.name: file.data().hex() for file in released}
    assert {name: written.get(name) for name in expected} == expected


def is_unrenamed(old: Path) -> bool:
    return builds.UNRENAMED.startswith(old.name)


def extends(base: Any, extended: Any) -> bool:
    """Whether `extended` is `base` with nothing but items appended to lists and keys added to maps."""
    if isinstance(base, dict) and isinstance(extended, dict):
        return all(key in extended and extends(value, extended[key]) for key, value in base.items())
    if isinstance(base, list) and isinstance(extended, list):
        return len(base) <= len(extended) and all(map(extends, base, extended))
    return bool(base == extended)


def test_what_an_older_build_writes_is_read(old: Path) -> None:
    """Unreleased formats have no golden file, but their bytes have been sent and stored."""
    written = run_build(old, "write")
    for name, value in run_build(old, "read", json.dumps(written)).items():
        form = FORMS[name]
        assert extends(value, form.to_json(form.read(bytes.fromhex(written[name])))), name


def test_an_older_build_reads_what_this_one_writes(old: Path) -> None:
    read = run_build(old, "read", json.dumps({file.name: file.data().hex() for file in NEWEST.values()}))
    assert read.keys() >= {file.name for file in golden(releases()[0])}
    assert [name for name, value in read.items() if not extends(value, NEWEST[name].value)] == []


def test_a_history_without_the_older_build_is_reported(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    missing_commit = "1234567890123456789012345678901234567890"
    with pytest.raises(NoBuild, match="no build of 123456789012"):
        older(tmp_path, missing_commit)
    monkeypatch.setitem(builds.BY_NAME, "0.2", missing_commit)
    with pytest.raises(SystemExit) as ended:
        mixed.main(["--hours", "0.1"])
    assert ended.value.code == 2 and "git fetch --unshallow" in capsys.readouterr().err


def test_a_shallow_clone_has_no_older_build(tmp_path: Path) -> None:
    cloned = subprocess.run(
        ["git", "clone", "-q", "--bare", "--depth", "1", f"file://{ROOT}", "shallow"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=60,
    )
    if cloned.returncode:
        pytest.skip(f"no history to clone: {cloned.stderr.strip()}")
    for commit in builds.BY_NAME.values():
        with pytest.raises(NoBuild, match=f"no build of {commit[:12]}"):
            older(tmp_path / "old", commit, tmp_path / "shallow")
        assert not any((tmp_path / "old").glob("*"))


# Completeness of the golden files.


def modules() -> list[ModuleType]:
    names = [info.name for info in pkgutil.walk_packages(rainspindle.__path__, "rainspindle.")]
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


def decoded_structs(file: Golden) -> Iterator[msgspec.Struct]:
    """Yields the structs encoded in a file, which may differ from the value that is read."""
    form = FORMS[file.name]
    yield from structs_in(
        msgspec.msgpack.decode(file.data(), type=form.shape) if form.shape else form.read(file.data())
    )


def tables(root: type[msgspec.Struct]) -> set[type[msgspec.Struct]]:
    """Returns the types of a configuration file, which is not exchanged between releases."""
    found = {root}
    for field in msgspec.structs.fields(root):
        for kind in (field.type, *typing.get_args(field.type)):
            if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
                found |= tables(kind)
            for inner in typing.get_args(kind):
                if isinstance(inner, type) and issubclass(inner, msgspec.Struct):
                    found |= tables(inner)
    return found


def exchanged_types() -> set[type[msgspec.Struct]]:
    """Returns every type that this program sends or stores."""
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
    for file in NEWEST.values():
        for struct in decoded_structs(file):
            with_value = seen.setdefault(type(struct), set())
            for field in msgspec.structs.fields(type(struct)):
                if getattr(struct, field.name) not in (field.default, b"", "", 0, [], ()):
                    with_value.add(field.name)
    views = {
        kind
        for kind in exchanged_types()
        if any(  # partial or outgoing forms of a type that has a file: Draft, Head
            kind is not whole
            and kind.__module__ == whole.__module__
            and not kind.__struct_config__.array_like
            and set(kind.__struct_encode_fields__) <= set(whole.__struct_encode_fields__)
            for whole in seen
        )
    }
    lacking = exchanged_types() - views - seen.keys()
    assert {f"{kind.__module__}.{kind.__qualname__}" for kind in lacking} == set()
    assert {
        f"{kind.__qualname__}.{name}"
        for kind, with_value in seen.items()
        for name in set(kind.__struct_fields__) - with_value
    } == set()


def test_each_kind_of_message_and_each_status_has_a_file() -> None:
    messages = [FORMS[name].read(file.data()) for name, file in NEWEST.items() if name.startswith("members-")]
    assert {message.kind for message in messages} == set(wire.MessageKind)
    assert {update.status for message in messages for update in message.member_updates} == set(wire.Status)


def test_each_literal_of_a_frame_has_a_file() -> None:
    seen: dict[tuple[str, str], set[Any]] = {}
    for file in NEWEST.values():
        for struct in decoded_structs(file):
            for field in msgspec.structs.fields(type(struct)):
                seen.setdefault((type(struct).__name__, field.name), set()).add(
                    repr(getattr(struct, field.name))
                )
    for kind in exchanged_types():
        for field in msgspec.structs.fields(kind):
            if typing.get_origin(field.type) is typing.Literal:
                assert seen[kind.__name__, field.name] >= {
                    repr(literal) for literal in typing.get_args(field.type)
                }


def sources() -> Iterator[tuple[ModuleType, ast.AST]]:
    for module in modules():
        assert module.__file__ is not None
        for node in ast.walk(ast.parse(Path(module.__file__).read_text())):
            yield module, node


def calls(name: str) -> Iterator[tuple[ModuleType, ast.Call]]:
    for module, node in sources():
        if isinstance(node, ast.Call) and name == getattr(node.func, "id", getattr(node.func, "attr", "")):
            yield module, node


def test_each_stored_file_has_a_golden_file() -> None:
    stores = [module for module in modules() if module.__name__.startswith("rainspindle.store.")]
    assert {module.__name__ for module in stores} <= {form.module for form in FORMS.values()}
    used: set[Any] = set()
    for store_class in {
        value
        for module in stores
        for value in vars(module).values()
        if inspect.isclass(value) and value.__module__ == module.__name__
    }:
        names = list(getattr(store_class, "__match_args__", ()) or inspect.signature(store_class).parameters)
        for module, call in calls(store_class.__name__) if "kind" in names else ():
            kind = ast.unparse(call.args[names.index("kind")])
            used.add(getattr(module, kind, f"{module.__name__}: {kind}"))
    assert len(used) >= 4 and used <= {form.kind for form in FORMS.values()}


def pattern(module: ModuleType, node: ast.expr | None) -> str | None:
    """Returns a string in the source, with `*` for each computed part; None if it is not there."""
    if isinstance(node, ast.Constant):
        return str(node.value)
    if isinstance(node, ast.JoinedStr):
        return "".join(str(piece.value) if isinstance(piece, ast.Constant) else "*" for piece in node.values)
    if isinstance(node, ast.Name | ast.Attribute) and isinstance(value := named_in(module, node), str):
        return value
    if isinstance(node, ast.Call) and inspect.isfunction(function := named_in(module, node.func)):
        defining_module = importlib.import_module(function.__module__)
        returns = [
            child
            for child in ast.walk(ast.parse(inspect.getsource(function)))
            if isinstance(child, ast.Return)
        ]
        return pattern(defining_module, returns[-1].value) if returns else None
    return None


def named_in(module: ModuleType, node: ast.expr) -> Any:
    """Returns the object that a name or an attribute of a module refers to, None if there is none."""
    if isinstance(node, ast.Attribute):
        return getattr(named_in(module, node.value), node.attr, None)
    return getattr(module, node.id, None) if isinstance(node, ast.Name) else None


def test_each_register_has_a_file() -> None:
    """Finds the names of written registers in the source, and names passed as arguments in `*_cell`."""
    names = {
        pattern(module, call.args[1])
        for module, call in calls("write")
        if len(call.args) > 2 and "cells" in ast.unparse(call.func)
    }
    for module, node in sources():
        if isinstance(node, ast.FunctionDef) and node.name.endswith("_cell"):
            names |= {
                pattern(module, child.value) for child in ast.walk(node) if isinstance(child, ast.Return)
            }
    prefixes = {pattern(module, call.args[0]) for module, call in calls("on_change")}
    known = {form.cell for form in FORMS.values() if form.cell}
    assert len(names - {None}) >= 4 and names - {None} <= known
    assert None not in prefixes
    assert [prefix for prefix in prefixes if not any(name.startswith(str(prefix)) for name in known)] == []


# Data of later releases, and damaged data.


def with_payload(form: Form, data: bytes, payload: bytes) -> bytes:
    """Returns a stored file with another payload; its header ends with length and checksum."""
    head = data[: form.header - 12] + len(payload).to_bytes(8, "big")
    return head + zlib.crc32(payload, zlib.crc32(head)).to_bytes(4, "big") + payload


def with_added_item(value: Any) -> Any:
    return {**value, "zz": [1]} if isinstance(value, dict) else [*value, {"since": 1}]


def with_unknown_field(form: Form, data: bytes) -> bytes | None:
    """Returns the data with a key or an item unknown to this release, None if it is neither map nor list."""
    payload = data[form.header :]
    try:
        value = json.loads(payload) if payload[:1] == b"{" else msgspec.msgpack.decode(payload)
    except ValueError:
        return None
    if not isinstance(value, list | dict):
        return None
    encode = msgspec.json.encode if payload[:1] == b"{" else msgspec.msgpack.encode
    extended = encode(with_added_item(value))
    return with_payload(form, data, extended) if form.kind else extended


def test_fields_added_by_a_later_release_are_ignored() -> None:
    tried = 0
    for name, file in NEWEST.items():
        form, data = FORMS[name], with_unknown_field(FORMS[name], file.data()) if FORMS[name].grows else None
        if data is not None:
            assert form.to_json(form.read(data)) == form.to_json(form.of_json(file.value)), name
            tried += 1
    assert tried >= 18


def test_the_link_refuses_unknown_fields_and_gives_its_versions() -> None:
    form, file = FORMS["link-ping"], NEWEST["link-ping"]
    frame = msgspec.msgpack.encode([*msgspec.msgpack.decode(file.data()[4:]), 1])
    with pytest.raises(Trouble, match="frame_unreadable"):
        form.read(len(frame).to_bytes(4, "big") + frame)
    assert FORMS["link-hello"].read(NEWEST["link-hello"].data()).versions == (1,)


BYTES = [
    (file.name, file.data())
    for file in ALL  # SQLite reads stored-wallets, and computed values are not sent
    if file.name != "stored-wallets" and not file.name.startswith("reckoned-")
]


@st.composite
def damaged(draw: st.DrawFn, prefixes: tuple[str, ...] = ("",)) -> tuple[str, bytes]:
    """Draws golden bytes with some changed, removed or inserted, of formats whose name has a prefix."""
    name, whole = draw(st.sampled_from([pair for pair in BYTES if pair[0].startswith(prefixes)]))
    form = FORMS[name]
    data = bytearray(whole[form.header :])
    if form.shape or form.cell:  # an implausible item, in part of the right type
        items = msgspec.msgpack.decode(data)
        index = draw(st.integers(0, len(items) - 1))
        implausible: dict[type, list[Any]] = {
            float: [math.nan, math.inf, -math.inf, -1.0],
            int: [-1, 1 << 62, (1 << 64) - 1, -(1 << 63)],
        }
        items[index] = draw(
            st.sampled_from(implausible.get(type(items[index]), [b"", "", True, None, [-1] * 16]))
        )
        if draw(st.booleans()):
            return name, msgspec.msgpack.encode(items)
    for _ in range(draw(st.integers(1, 4))):
        offset = draw(st.integers(0, len(data)))
        action = draw(st.sampled_from(("set", "set", "cut", "put", "end")))
        if action == "set" and offset < len(data):
            data[offset] = draw(st.integers(0, 255))
        elif action == "cut":
            del data[offset : offset + draw(st.integers(1, 8))]
        elif action == "put":
            data[offset:offset] = draw(st.binary(max_size=9))
        elif action == "end":
            del data[offset:]
    return name, with_payload(form, whole, bytes(data)) if form.kind else bytes(data)


@settings(max_examples=600, deadline=None)
@given(damaged())
def test_damaged_data_is_read_or_refused(sample: tuple[str, bytes]) -> None:
    name, data = sample
    form = FORMS[name]
    with contextlib.suppress(*form.refuses):
        form.read(data)


# The decision logic with later and damaged data.


def message(kind: int, number: int, incarnation: int, **header: int) -> bytes:
    plain: dict[str, Any] = {
        "v": wire.VERSION,
        "r": wire.LOWEST_READER,
        "f": "virtual",
        "n": "m1",
        "l": incarnation,
        "i": 0,
        "a": wire.pack_address(("10.0.0.2", 7946)),
        "q": number,
        "k": kind,
        **header,
    }
    return msgspec.msgpack.encode(plain)


def test_members_count_unreadable_messages_and_ignore_unknown_kinds() -> None:
    world = World(3)
    world.fleet(3)
    assert world.run_until(world.agreed, 20.0)
    process, other = world.processes["m0"], world.processes["m1"]
    members = process.engine
    assert isinstance(members, Membership)
    before, first_number = members.stats.drops(), other.members.messenger.number + 1000
    unknown = max(wire.MessageKind) + 1
    members.on_datagram(world.now, message(unknown, first_number + 1, other.life, zz=1))
    members.on_datagram(
        world.now, message(wire.MessageKind.PING, first_number + 2, other.life, v=wire.VERSION + 1)
    )
    assert members.stats.drops() == before, "both messages are read"
    members.on_datagram(
        world.now, message(wire.MessageKind.PING, first_number + 3, other.life, r=wire.VERSION + 1)
    )
    members.on_datagram(world.now, b"\xc1" + message(wire.MessageKind.PING, first_number + 4, other.life))
    after = members.stats.drops()
    assert after == {
        **before,
        "other_release": before["other_release"] + 1,
        "unreadable": before["unreadable"] + 1,
    }


@settings(max_examples=200, deadline=None)
@given(st.lists(damaged(("members",)), max_size=12))
def test_members_tolerate_damaged_messages(samples: list[tuple[str, bytes]]) -> None:
    members = MEMBERS.processes["m0"].members
    for _, data in samples:
        members.on_datagram(MEMBERS.now, data.replace(b"\xa3lab", b"\xa7virtual"))
    MEMBERS.run(MEMBERS.now + 0.5)


MEMBERS = World(4)
MEMBERS.fleet(3)


@settings(max_examples=300, deadline=None)
@given(st.lists(damaged(("wallet", "canary")), max_size=8))
def test_a_wallet_and_a_canary_tolerate_damaged_registers(samples: list[tuple[str, bytes]]) -> None:
    day = WalletDay(3, 5)
    day.top_up("one", 300)
    day.traffic("m01", 20.0, 3.0)
    net = Net(1, 3, Terms("c", "x", (Step(0.5, 4.0, 1),), each_effect=0))
    net.nodes["s0"].canary.start(net.now, 1_700_000_000.0)
    for number, (name, data) in enumerate(samples):
        register_name, owner = FORMS[name].cell, random.Random(number).choice(("m00", "m02"))
        if register_name.startswith("wallet/"):
            with contextlib.suppress(words.UnreadableWord):  # the program also catches this, and counts it
                if register_name.endswith("/t/*"):
                    day.members["m01"].wallet.on_pair(day.now, owner, words.decode_pair(data))
                else:
                    day.members["m01"].wallet.on_word(day.now, owner, words.decode_word(data))
            day.run(0.3)
        elif register_name.startswith("canary/") and len(data) <= 900:
            net.nodes["s0"].cells.merge(
                net.now,
                Register(
                    "s1",
                    "canary/c/state" if register_name.endswith("/state") else "canary/c",
                    1,
                    10_000 + number,
                    data,
                ),
            )
            net.nodes["s0"].canary.tick(net.now + 0.3 * number)
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
def test_implausible_numbers_are_refused(name: str, field: str, value: float) -> None:
    """A rate of NaN made the evaluation of other members fail in a wallet, a negative stage in a canary."""
    form = FORMS[name]
    with pytest.raises(form.refuses):
        form.read(form.write(msgspec.structs.replace(form.value, **{field: value})))
