"""Tests of the MySQL codec, statement classification and configuration file, with a short fuzzing run."""

from __future__ import annotations

import contextlib
import json
import random
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainspindle.decisions.statements.digest import digest
from rainspindle.decisions.statements.parse import parse
from rainspindle.decisions.statements.statements import Rule, Statements
from rainspindle.program.config import ConfigFault
from rainspindle.program.mysql_config import load_mysql
from rainspindle.protocol.mysql.messages import (
    SUPPORTED_CAPABILITIES,
    Capability,
    Column,
    Command,
    Err,
    Greeting,
    Login,
    Ok,
    Prepared,
    ResponseReader,
    Status,
    eof,
)
from rainspindle.protocol.mysql.wire import Cursor, Malformed, PacketReader, lenenc, lenenc_bytes, packets

from .test_program import config

LARGE = 0xFFFFFF


@settings(max_examples=60, deadline=None, derandomize=True, database=None)
@given(st.lists(st.binary(max_size=300), max_size=8), st.integers(0, 2**32))
def test_payloads_are_reassembled_from_any_chunks(payloads: list[bytes], seed: int) -> None:
    rng, data = random.Random(seed), b""
    for sequence, payload in enumerate(payloads):
        data += packets(payload, sequence)
    reader, decoded = PacketReader(1 << 20), []
    while data:
        chunk_size = rng.randrange(1, 20)
        reader.receive(data[:chunk_size])
        data = data[chunk_size:]
        while (reassembled := reader.payload()) is not None:
            decoded.append(reassembled)
    assert decoded == payloads and not reader.has_partial_payload


@pytest.mark.parametrize("size", [LARGE - 1, LARGE, LARGE + 1, 2 * LARGE])
def test_payloads_of_16_mib_and_more(size: int) -> None:
    payload = b"x" * size
    reader = PacketReader(64 << 20)
    reader.receive(packets(payload, 3))
    reader.restart(3)
    assert reader.payload() == payload and reader.sequence == 3 + size // LARGE + 1
    limited_reader = PacketReader(1 << 20)
    limited_reader.receive(packets(payload, 0)[:100])
    with pytest.raises(Malformed, match=r"packet of 16777\d+ bytes; the limit is 1048576"):
        limited_reader.payload()


def test_wrong_sequence_numbers_and_truncated_values_are_malformed() -> None:
    reader = PacketReader(1000)
    reader.receive(packets(b"x", 1))
    with pytest.raises(Malformed, match="expected packet 0, got 1"):
        reader.payload()
    for value in (0, 250, 251, 65535, 65536, 1 << 24, 1 << 40):
        assert Cursor(lenenc(value)).lenenc() == value
    for data in (b"", b"\xfc\x01", b"\xff", b"\xfb", b"\x05ab"):
        with pytest.raises(Malformed):
            Cursor(data).lenenc_bytes()


def test_handshake_packets_round_trip() -> None:
    greeting = Greeting("8.0.1", 77, bytes(range(1, 21)), SUPPORTED_CAPABILITIES, "caching_sha2_password")
    assert Greeting.decode(greeting.encode()) == greeting
    for database in ("", "reg"):
        login = Login(SUPPORTED_CAPABILITIES, "anna", b"p" * 32, database)
        decoded = Login.decode(login.encode())
        assert (decoded.user, decoded.auth_response, decoded.database, decoded.plugin) == (
            "anna",
            b"p" * 32,
            database,
            login.plugin,
        )
    with pytest.raises(Malformed, match=r"does not support protocol 4\.1"):
        Login.decode(b"\0" * 40)
    assert Err.decode(Err(1213, "40001", "again").encode()) == Err(1213, "40001", "again")


SAMPLES = [
    Greeting("8.0.1", 77, bytes(range(1, 21)), SUPPORTED_CAPABILITIES, "x").encode(),
    Login(SUPPORTED_CAPABILITIES, "a", b"p", "d").encode(),
    Ok(3, 7).encode(SUPPORTED_CAPABILITIES),
    Err(1, "HY000", "x").encode(),
    Prepared(1, 2, 3).encode(),
    lenenc(2),
    Column("n").encode(),
    eof(Status.AUTOCOMMIT),
    lenenc_bytes(b"row"),
    b"\xfe\0\0\2\0\0\0",
]


def fuzz(seed: int, count: int) -> None:
    """Decode mutated packets: each decodes or raises Malformed, and nothing else."""
    rng = random.Random(seed)
    for _ in range(count):
        data = bytearray(rng.choice(SAMPLES))
        for _ in range(rng.randrange(4)):
            if data and rng.random() < 0.7:
                data[rng.randrange(len(data))] = rng.choice(
                    (0, 1, 0xFB, 0xFC, 0xFD, 0xFE, 0xFF, rng.randrange(256))
                )
            elif rng.random() < 0.5:
                del data[rng.randrange(len(data) + 1) :]
            else:
                data += rng.randbytes(rng.randrange(9))
        for decode in (Greeting.decode, Login.decode, Ok.decode, Err.decode, Prepared.decode):
            with contextlib.suppress(Malformed):
                decode(bytes(data))
        response = ResponseReader(
            rng.choice((SUPPORTED_CAPABILITIES, SUPPORTED_CAPABILITIES & ~Capability.DEPRECATE_EOF)),
            rng.choice(list(Command)),
        )
        with contextlib.suppress(Malformed):
            for _ in range(6):
                if response.packet(rng.choice((bytes(data), rng.choice(SAMPLES)))):
                    break


def test_mutated_packets_decode_or_are_malformed() -> None:
    fuzz(11, 4000)


def test_end_of_each_kind_of_response_is_found() -> None:
    def completions(capabilities: Capability, command: Command, *payloads: bytes) -> list[bool]:
        response = ResponseReader(capabilities, command)
        return [response.packet(payload) for payload in payloads]

    without_deprecate_eof, row, column = (
        SUPPORTED_CAPABILITIES & ~Capability.DEPRECATE_EOF,
        lenenc_bytes(b"x"),
        Column("n").encode(),
    )
    end = Ok().encode(SUPPORTED_CAPABILITIES, 0xFE)
    more = Ok(status=Status.MORE_RESULTS).encode(SUPPORTED_CAPABILITIES, 0xFE)
    assert completions(SUPPORTED_CAPABILITIES, Command.QUERY, Ok().encode(SUPPORTED_CAPABILITIES)) == [True]
    assert completions(SUPPORTED_CAPABILITIES, Command.QUERY, lenenc(1), column, row, end) == [
        False,
        False,
        False,
        True,
    ]
    assert completions(
        without_deprecate_eof, Command.QUERY, lenenc(1), column, eof(Status(0)), row, eof(Status(0))
    ) == [False] * 4 + [True]
    assert completions(
        SUPPORTED_CAPABILITIES, Command.QUERY, lenenc(1), column, more, Ok().encode(SUPPORTED_CAPABILITIES)
    ) == [False] * 3 + [True]
    assert completions(
        SUPPORTED_CAPABILITIES, Command.QUERY, lenenc(1), column, row, Err(1, "HY000", "x").encode()
    )[-1]
    assert completions(
        SUPPORTED_CAPABILITIES, Command.PREPARE, Prepared(1, 1, 2).encode(), column, column, column
    )[-2:] == [
        False,
        True,
    ]
    assert completions(
        without_deprecate_eof, Command.PREPARE, Prepared(1, 0, 1).encode(), column, eof(Status(0))
    ) == [
        False,
        False,
        True,
    ]
    with pytest.raises(Malformed, match="local file"):
        completions(SUPPORTED_CAPABILITIES, Command.QUERY, b"\xfbname")


# Statements.


RULES = (
    Rule(0, frozenset(("select", "show")), frozenset(("candidates",)), "column:id"),
    Rule(0, frozenset(("show",)), key="none"),
    Rule(1, frozenset(("insert", "update")), key="parameter:0"),
    Rule(0, frozenset(("select",)), key="hint"),
)


def test_rules_determine_traffic_class_and_key() -> None:
    statements = Statements(RULES, 2, [0, 1, 2], parse, max_parses=3)

    def classify(sql: str, *values: str) -> tuple[int, str | None]:
        classification = statements.meaning(sql, "anna", "session 1", values)
        return classification.traffic_type, classification.key

    assert classify("SELECT * FROM candidates WHERE id = 'O''Neil' AND x > 3") == (0, "O'Neil")
    assert classify("select * from Candidates where 7=`id`") == (0, "7")
    assert classify("SELECT * FROM candidates WHERE id = 7 OR 1 = 1") == (0, "session 1")
    assert classify("SELECT * FROM candidates JOIN secrets USING (id) WHERE id = 7 /* key=k9 */") == (0, "k9")
    assert classify("SHOW TABLES") == (0, None)
    assert classify("INSERT INTO exams (a) VALUES (?)", "v1") == (1, "v1")
    # The statement with the highest rank decides.
    assert classify("SELECT 1; DELETE FROM exams WHERE a = 1") == (2, "session 1")
    for unclassifiable in (
        "DELETE FROM exams",
        "selct 1",
        "SELECT 'open",
        "SELECT 1 /*! + 1 */",
        "x" * 300_000,
        "",
        "SELECT * FROM candidates WHERE id = 7 FOR UPDATE",
    ):
        assert classify(unclassifiable)[0] == 2 or "FOR UPDATE" in unclassifiable
    assert len(statements.cache) <= 3 and statements.misses > 8
    earlier_misses = statements.misses
    assert classify("SELECT 5") == classify("SELECT   6 ") and statements.misses <= earlier_misses + 1


@pytest.mark.parametrize(
    ("sql", "side_effects"),
    [
        ("SET @x = 1", {"unknown"}),
        ("SELECT @x := 1", {"variable"}),
        ("SELECT @x", {"variable"}),
        ("CREATE TEMPORARY TABLE t (a INT)", {"temporary"}),
        ("LOCK TABLES a WRITE", {"lock"}),
        ("SELECT GET_LOCK('a', 1)", {"lock"}),
        ("PREPARE s FROM 'x'", {"prepare"}),
        ("CALL p()", {"unknown"}),
        ("SET NAMES utf8mb4", {"set"}),
        ("SET autocommit = 0", {"set", "autocommit"}),
        ("SET autocommit=1", {"set"}),
        ("SET GLOBAL x = 1", {"unknown"}),
        ("USE reg", {"use"}),
        ("SELECT LAST_INSERT_ID()", {"insert_id"}),
        ("SELECT 1", set()),
        ("BEGIN", set()),
        ("SELECT 1 INTO OUTFILE 'x'", {"unknown"}),
    ],
)
def test_side_effects_of_statements(sql: str, side_effects: set[str]) -> None:
    assert Statements((), 0, [0], parse).meaning(sql, "u", "s").side_effects == side_effects


@settings(max_examples=300, deadline=None, derandomize=True, database=None)
@given(st.text(alphabet="'\"`\\/*-#;? aSELECT1.0x@\n", max_size=60))
def test_any_text_is_classified_in_bounded_time(text: str) -> None:
    digested = digest(text)
    if digested is not None:
        assert "`" in digested.text or ("'" not in digested.text and '"' not in digested.text)
    assert Statements((), 0, [0], parse).meaning(text, "u", "s").traffic_type == 0


# Configuration file.


def test_configuration_errors_are_reported_together(tmp_path: Path) -> None:
    (tmp_path / "platform.json").write_text(json.dumps(config()))
    password_file = tmp_path / "anna.password"
    password_file.write_text("x")
    password_file.chmod(0o600)
    valid = """
        [mysql]
        listen = "127.0.0.1:0"
        platform = "platform.json"
        default = "book"
        [[users]]
        name = "anna"
        password = "anna.password"
        [[rules]]
        traffic_type = "look"
        kinds = ["select"]
        key = "column:id"
        """
    path = tmp_path / "mysql.toml"
    path.write_text(valid)
    assert load_mysql(str(path), {}).rules == (Rule(0, frozenset(("select",)), frozenset(), "column:id"),)
    path.write_text(
        valid.replace('"book"', '"look"')
        .replace('"select"', '"selct"')
        .replace("column:id", "column")
        .replace("127.0.0.1:0", "here")
        .replace('traffic_type = "look"', 'traffic_type = "lok"')
    )
    with pytest.raises(ConfigFault) as raised:
        load_mysql(str(path), {})
    assert [line.removeprefix(f"{path}: ").split(": ")[0] for line in str(raised.value).splitlines()] == [
        "mysql.listen",
        "rules[0].kinds",
        "rules[0].key",
        "rules[0].traffic_type",
        "mysql.default",
    ]
    path.write_text(valid.replace("most", "x").replace("[[users]]", "[[user]]"))
    with pytest.raises(ConfigFault, match="user: unknown key; the nearest known is 'users'"):
        load_mysql(str(path), {})
