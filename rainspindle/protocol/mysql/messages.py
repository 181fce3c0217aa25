"""What both sides say, decoded once into small typed values, and encoded once."""

from __future__ import annotations

import struct
from dataclasses import dataclass, replace
from enum import IntEnum, IntFlag

from .auth import CACHING, NATIVE
from .wire import Cursor, Malformed, lenenc, lenenc_bytes


class Can(IntFlag):
    """Capabilities."""

    LONG_PASSWORD = 1 << 0
    FOUND_ROWS = 1 << 1
    LONG_FLAG = 1 << 2
    CONNECT_WITH_DB = 1 << 3
    COMPRESS = 1 << 5
    LOCAL_FILES = 1 << 7
    PROTOCOL_41 = 1 << 9
    SSL = 1 << 11
    TRANSACTIONS = 1 << 13
    SECURE_CONNECTION = 1 << 15
    MULTI_STATEMENTS = 1 << 16
    MULTI_RESULTS = 1 << 17
    PS_MULTI_RESULTS = 1 << 18
    PLUGIN_AUTH = 1 << 19
    CONNECT_ATTRS = 1 << 20
    PLUGIN_AUTH_LENENC = 1 << 21
    SESSION_TRACK = 1 << 23
    DEPRECATE_EOF = 1 << 24
    ZSTD = 1 << 26


class Status(IntFlag):
    IN_TRANSACTION = 1
    AUTOCOMMIT = 2
    MORE_RESULTS = 8
    CURSOR_EXISTS = 0x40
    LAST_ROW_SENT = 0x80
    SESSION_STATE_CHANGED = 0x4000


class Command(IntEnum):
    QUIT = 0x01
    INIT_DB = 0x02
    QUERY = 0x03
    FIELD_LIST = 0x04
    STATISTICS = 0x09
    PING = 0x0E
    CHANGE_USER = 0x11
    BINLOG_DUMP = 0x12
    REGISTER_SLAVE = 0x15
    PREPARE = 0x16
    EXECUTE = 0x17
    LONG_DATA = 0x18
    CLOSE = 0x19
    RESET = 0x1A
    SET_OPTION = 0x1B
    FETCH = 0x1C
    BINLOG_DUMP_GTID = 0x1E
    RESET_CONNECTION = 0x1F


OURS = (
    Can.LONG_PASSWORD
    | Can.FOUND_ROWS
    | Can.LONG_FLAG
    | Can.CONNECT_WITH_DB
    | Can.PROTOCOL_41
    | Can.TRANSACTIONS
    | Can.SECURE_CONNECTION
    | Can.MULTI_STATEMENTS
    | Can.MULTI_RESULTS
    | Can.PS_MULTI_RESULTS
    | Can.PLUGIN_AUTH
    | Can.CONNECT_ATTRS
    | Can.PLUGIN_AUTH_LENENC
    | Can.SESSION_TRACK
    | Can.DEPRECATE_EOF
)
NEEDED = Can.PROTOCOL_41 | Can.SECURE_CONNECTION


# The greeting.


@dataclass(frozen=True, slots=True)
class Greeting:
    """A server's first packet."""

    version: str
    connection: int
    nonce: bytes  # 20 bytes
    can: Can
    plugin: str
    status: Status = Status.AUTOCOMMIT
    charset: int = 45

    def encode(self) -> bytes:
        can = int(self.can)
        return b"".join(
            (
                b"\x0a",
                self.version.encode(),
                b"\0",
                struct.pack("<I", self.connection),
                self.nonce[:8],
                b"\0",
                struct.pack("<HBHH", can & 0xFFFF, self.charset, int(self.status), can >> 16),
                bytes((21,)),
                bytes(10),
                self.nonce[8:20],
                b"\0",
                self.plugin.encode(),
                b"\0",
            )
        )

    @classmethod
    def decode(cls, payload: bytes) -> Greeting:
        c = Cursor(payload)
        if c.number(1) != 10:
            raise Malformed("a greeting of another version than 10")
        version, connection, nonce = c.until_nul().decode("latin-1"), c.number(4), c.take(8)
        c.take(1)
        can, charset, status = c.number(2), c.number(1), c.number(2)
        can |= c.number(2) << 16
        size = c.number(1)
        c.take(10)
        if not Can(can) & Can.SECURE_CONNECTION:
            raise Malformed("a server without secure connections")
        nonce += c.take(max(13, size - 8))[:12]
        plugin = c.until_nul().decode("latin-1") if Can(can) & Can.PLUGIN_AUTH and c.left() else NATIVE
        return cls(version, connection, nonce, Can(can), plugin, Status(status), charset)


@dataclass(frozen=True, slots=True)
class Login:
    """A client's answer to the greeting."""

    can: Can
    user: str
    proof: bytes
    database: str = ""
    plugin: str = CACHING
    charset: int = 45
    most_packet: int = 1 << 24

    def encode(self) -> bytes:
        can = self.can | (Can.CONNECT_WITH_DB if self.database else Can(0))
        if not self.database:
            can &= ~Can.CONNECT_WITH_DB
        can &= ~Can.CONNECT_ATTRS
        head = struct.pack("<IIB", int(can), self.most_packet, self.charset)
        return b"".join(
            (
                head,
                bytes(23),
                self.user.encode(),
                b"\0",
                lenenc_bytes(self.proof)
                if can & Can.PLUGIN_AUTH_LENENC
                else bytes((len(self.proof),)) + self.proof,
                self.database.encode() + b"\0" if self.database else b"",
                self.plugin.encode() + b"\0" if can & Can.PLUGIN_AUTH else b"",
            )
        )

    @classmethod
    def decode(cls, payload: bytes) -> Login:
        c = Cursor(payload)
        can = Can(c.number(4))
        if not can & Can.PROTOCOL_41:
            raise Malformed("a client of before 4.1")
        if can & Can.SSL and len(payload) == 32:
            raise Malformed("a client that wants TLS, which was not offered")
        most, charset = c.number(4), c.number(1)
        c.take(23)
        user = text(c.until_nul())
        if can & Can.PLUGIN_AUTH_LENENC:
            proof = c.lenenc_bytes()
        elif can & Can.SECURE_CONNECTION:
            proof = c.take(c.number(1))
        else:
            proof = c.until_nul()
        database = text(c.until_nul()) if can & Can.CONNECT_WITH_DB and c.left() else ""
        plugin = text(c.until_nul()) if can & Can.PLUGIN_AUTH and c.left() else NATIVE
        return cls(can, user, proof, database, plugin, charset, most)


def text(data: bytes) -> str:
    try:
        return data.decode()
    except UnicodeDecodeError:
        raise Malformed("a name that is not UTF-8") from None


def switch(plugin: str, nonce: bytes) -> bytes:
    """The server asks for a proof by another plugin."""
    return b"\xfe" + plugin.encode() + b"\0" + nonce + b"\0"


def decode_switch(payload: bytes) -> tuple[str, bytes]:
    c = Cursor(payload, 1)
    return text(c.until_nul()), c.rest()[:20]


# Answers.


@dataclass(frozen=True, slots=True)
class Ok:
    affected: int = 0
    insert_id: int = 0
    status: Status = Status.AUTOCOMMIT
    warnings: int = 0
    info: bytes = b""

    def encode(self, can: Can, head: int = 0) -> bytes:
        """As the end of a result set where `head` is 0xFE."""
        return b"".join(
            (
                bytes((head,)),
                lenenc(self.affected),
                lenenc(self.insert_id),
                struct.pack("<HH", int(self.status & ~Status.SESSION_STATE_CHANGED), self.warnings),
                lenenc_bytes(self.info) if can & Can.SESSION_TRACK and self.info else self.info,
            )
        )

    @classmethod
    def decode(cls, payload: bytes) -> Ok:
        c = Cursor(payload, 1)
        affected, insert_id, status, warnings = c.lenenc(), c.lenenc(), Status(c.number(2)), c.number(2)
        return cls(affected, insert_id, status, warnings)


@dataclass(frozen=True, slots=True)
class Err:
    code: int
    state: str  # five characters
    message: str

    def encode(self) -> bytes:
        return b"\xff" + struct.pack("<H", self.code) + b"#" + self.state.encode() + self.message.encode()

    @classmethod
    def decode(cls, payload: bytes) -> Err:
        c = Cursor(payload, 1)
        code, state = c.number(2), "HY000"
        if c.left() and payload[c.at : c.at + 1] == b"#":
            c.take(1)
            state = c.take(5).decode("latin-1")
        return cls(code, state, c.rest().decode("utf-8", "replace"))


def eof(status: Status, warnings: int = 0) -> bytes:
    return b"\xfe" + struct.pack("<HH", warnings, int(status))


def is_eof(payload: bytes) -> bool:
    """Of the old kind, which has five bytes."""
    return payload[:1] == b"\xfe" and len(payload) == 5


@dataclass(frozen=True, slots=True)
class Column:
    name: str
    kind: int = 0xFD  # VAR_STRING
    charset: int = 45
    length: int = 1024
    flags: int = 0
    decimals: int = 0
    table: str = ""
    database: str = ""

    def encode(self) -> bytes:
        return b"".join(
            (
                lenenc_bytes(b"def"),
                *(
                    lenenc_bytes(s.encode())
                    for s in (self.database, self.table, self.table, self.name, self.name)
                ),
                b"\x0c",
                struct.pack("<HIBHB", self.charset, self.length, self.kind, self.flags, self.decimals),
                b"\0\0",
            )
        )


@dataclass(frozen=True, slots=True)
class Prepared:
    """The head of the answer to PREPARE; definitions of parameters and columns follow."""

    id: int
    columns: int
    parameters: int
    warnings: int = 0

    def encode(self) -> bytes:
        return b"\0" + struct.pack("<IHHBH", self.id, self.columns, self.parameters, 0, self.warnings)

    @classmethod
    def decode(cls, payload: bytes) -> Prepared:
        c = Cursor(payload)
        if c.number(1) != 0:
            raise Malformed("not the answer to a PREPARE")
        found = cls(c.number(4), c.number(2), c.number(2))
        if c.left() >= 3:
            c.take(1)
            found = replace(found, warnings=c.number(2))
        return found


# The end of an answer.


class AnswerReader:
    """Follows the packets of one answer of a server, so that its end and its meaning are known."""

    def __init__(self, can: Can, command: Command) -> None:
        self.can, self.command = can, command
        self.state = "first"
        self.definitions = 0
        self.groups: list[int] = []  # of definitions still to come, for PREPARE
        self.status = Status(0)
        self.error: Err | None = None
        self.ok: Ok | None = None
        self.prepared: Prepared | None = None
        self.rows = 0
        self.column_bytes = bytearray()

    def packet(self, payload: bytes, continued: bool = False) -> bool:
        """Takes the next payload, or the first 64 KiB of a large one; whether the answer is whole."""
        if continued or (not payload and self.state == "row"):
            return False
        if not payload:
            raise Malformed("an empty packet in an answer")
        return bool(getattr(self, f"at_{self.state}")(payload))

    def ended(self, status: Status) -> bool:
        self.status = status
        self.state = "first"
        return not status & Status.MORE_RESULTS

    def at_first(self, payload: bytes) -> bool:
        head = payload[0]
        if head == 0xFF:
            self.error = Err.decode(payload)
            return True
        if self.command is Command.PREPARE:
            self.prepared = Prepared.decode(payload)
            eofs = 0 if self.can & Can.DEPRECATE_EOF else 1
            left = [n + eofs for n in (self.prepared.parameters, self.prepared.columns) if n]
            self.definitions, self.state = sum(left), "prepared"
            return self.definitions == 0
        if head == 0 or (head == 0xFE and len(payload) < 9 and self.command is not Command.QUERY):
            self.ok = Ok.decode(payload) if head == 0 else None
            return self.ended(self.ok.status if self.ok else Status(0))
        if head == 0xFB:
            raise Malformed("a server that asks for a local file")
        self.definitions = Cursor(payload).lenenc()
        if not 0 < self.definitions <= 4096:
            raise Malformed(f"{self.definitions} columns")
        self.state = "column"
        return False

    def at_prepared(self, payload: bytes) -> bool:
        self.definitions -= 1
        return self.definitions == 0

    def at_column(self, payload: bytes) -> bool:
        self.definitions -= 1
        if self.definitions == 0:
            self.state = "row" if self.can & Can.DEPRECATE_EOF else "eof"
        return False

    def at_eof(self, payload: bytes) -> bool:
        if not is_eof(payload):
            raise Malformed("no end of the column definitions")
        self.state = "row"
        status = Status(struct.unpack_from("<H", payload, 3)[0])
        return self.ended(status) if status & Status.CURSOR_EXISTS else False

    def at_row(self, payload: bytes) -> bool:
        if payload[0] == 0xFF:
            self.error = Err.decode(payload)
            return True
        if payload[0] == 0xFE and self.can & Can.DEPRECATE_EOF and len(payload) < 0xFFFFFF:
            self.ok = Ok.decode(payload)
            return self.ended(self.ok.status)
        if is_eof(payload):
            return self.ended(Status(struct.unpack_from("<H", payload, 3)[0]))
        self.rows += 1
        return False
