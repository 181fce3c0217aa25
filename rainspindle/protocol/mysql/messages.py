"""Encodes and decodes the messages of the MySQL client/server protocol."""

from __future__ import annotations

import struct
from dataclasses import dataclass, replace
from enum import IntEnum, IntFlag

from .auth import CACHING, NATIVE
from .wire import Cursor, Malformed, lenenc, lenenc_bytes


class Capability(IntFlag):
    """Capability flags (CLIENT_* in MySQL's documentation)."""

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
    """Server status flags (SERVER_STATUS_* in MySQL's documentation)."""

    IN_TRANSACTION = 1
    AUTOCOMMIT = 2
    MORE_RESULTS = 8
    CURSOR_EXISTS = 0x40
    LAST_ROW_SENT = 0x80
    SESSION_STATE_CHANGED = 0x4000


class Command(IntEnum):
    """Command bytes (COM_* in MySQL's documentation)."""

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


SUPPORTED_CAPABILITIES = (
    Capability.LONG_PASSWORD
    | Capability.FOUND_ROWS
    | Capability.LONG_FLAG
    | Capability.CONNECT_WITH_DB
    | Capability.PROTOCOL_41
    | Capability.TRANSACTIONS
    | Capability.SECURE_CONNECTION
    | Capability.MULTI_STATEMENTS
    | Capability.MULTI_RESULTS
    | Capability.PS_MULTI_RESULTS
    | Capability.PLUGIN_AUTH
    | Capability.CONNECT_ATTRS
    | Capability.PLUGIN_AUTH_LENENC
    | Capability.SESSION_TRACK
    | Capability.DEPRECATE_EOF
)
REQUIRED_CAPABILITIES = Capability.PROTOCOL_41 | Capability.SECURE_CONNECTION


# Handshake.


@dataclass(frozen=True, slots=True)
class Greeting:
    """The server's initial handshake packet."""

    version: str
    connection: int
    nonce: bytes  # 20 bytes
    capabilities: Capability
    plugin: str
    status: Status = Status.AUTOCOMMIT
    charset: int = 45

    def encode(self) -> bytes:
        """Return the packet's payload."""
        capabilities = int(self.capabilities)
        return b"".join(
            (
                b"\x0a",
                self.version.encode(),
                b"\0",
                struct.pack("<I", self.connection),
                self.nonce[:8],
                b"\0",
                struct.pack(
                    "<HBHH", capabilities & 0xFFFF, self.charset, int(self.status), capabilities >> 16
                ),
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
        """Decode a payload; raises Malformed unless it is protocol version 10 with secure connections."""
        cursor = Cursor(payload)
        if cursor.number(1) != 10:
            raise Malformed("expected protocol version 10 in the greeting")
        version, connection, nonce = cursor.until_nul().decode("latin-1"), cursor.number(4), cursor.take(8)
        cursor.take(1)
        capabilities, charset, status = cursor.number(2), cursor.number(1), cursor.number(2)
        capabilities |= cursor.number(2) << 16
        size = cursor.number(1)
        cursor.take(10)
        if not Capability(capabilities) & Capability.SECURE_CONNECTION:
            raise Malformed("the server does not support CLIENT_SECURE_CONNECTION")
        nonce += cursor.take(max(13, size - 8))[:12]
        plugin = (
            cursor.until_nul().decode("latin-1")
            if Capability(capabilities) & Capability.PLUGIN_AUTH and cursor.remaining()
            else NATIVE
        )
        return cls(version, connection, nonce, Capability(capabilities), plugin, Status(status), charset)


@dataclass(frozen=True, slots=True)
class Login:
    """The client's handshake response."""

    capabilities: Capability
    user: str
    auth_response: bytes
    database: str = ""
    plugin: str = CACHING
    charset: int = 45
    max_packet: int = 1 << 24

    def encode(self) -> bytes:
        """Return the packet's payload, without connection attributes."""
        capabilities = self.capabilities | (Capability.CONNECT_WITH_DB if self.database else Capability(0))
        if not self.database:
            capabilities &= ~Capability.CONNECT_WITH_DB
        capabilities &= ~Capability.CONNECT_ATTRS
        header = struct.pack("<IIB", int(capabilities), self.max_packet, self.charset)
        return b"".join(
            (
                header,
                bytes(23),
                self.user.encode(),
                b"\0",
                lenenc_bytes(self.auth_response)
                if capabilities & Capability.PLUGIN_AUTH_LENENC
                else bytes((len(self.auth_response),)) + self.auth_response,
                self.database.encode() + b"\0" if self.database else b"",
                self.plugin.encode() + b"\0" if capabilities & Capability.PLUGIN_AUTH else b"",
            )
        )

    @classmethod
    def decode(cls, payload: bytes) -> Login:
        """Decode a payload; raises Malformed for clients before 4.1 and for TLS requests."""
        cursor = Cursor(payload)
        capabilities = Capability(cursor.number(4))
        if not capabilities & Capability.PROTOCOL_41:
            raise Malformed("the client does not support protocol 4.1")
        if capabilities & Capability.SSL and len(payload) == 32:
            raise Malformed("the client requests TLS, which was not offered")
        max_packet, charset = cursor.number(4), cursor.number(1)
        cursor.take(23)
        user = decode_name(cursor.until_nul())
        if capabilities & Capability.PLUGIN_AUTH_LENENC:
            auth_response = cursor.lenenc_bytes()
        elif capabilities & Capability.SECURE_CONNECTION:
            auth_response = cursor.take(cursor.number(1))
        else:
            auth_response = cursor.until_nul()
        database = (
            decode_name(cursor.until_nul())
            if capabilities & Capability.CONNECT_WITH_DB and cursor.remaining()
            else ""
        )
        plugin = (
            decode_name(cursor.until_nul())
            if capabilities & Capability.PLUGIN_AUTH and cursor.remaining()
            else NATIVE
        )
        return cls(capabilities, user, auth_response, database, plugin, charset, max_packet)


def decode_name(data: bytes) -> str:
    """Decode a UTF-8 name; raises Malformed."""
    try:
        return data.decode()
    except UnicodeDecodeError:
        raise Malformed("expected a name in UTF-8") from None


def encode_auth_switch(plugin: str, nonce: bytes) -> bytes:
    """Encode the server's request to authenticate by another plugin."""
    return b"\xfe" + plugin.encode() + b"\0" + nonce + b"\0"


def decode_auth_switch(payload: bytes) -> tuple[str, bytes]:
    """Return the plugin and the 20-byte nonce of an authentication switch request."""
    cursor = Cursor(payload, 1)
    return decode_name(cursor.until_nul()), cursor.rest()[:20]


# Responses.


@dataclass(frozen=True, slots=True)
class Ok:
    """OK packet, which also ends a result set if CLIENT_DEPRECATE_EOF was negotiated."""

    affected: int = 0
    insert_id: int = 0
    status: Status = Status.AUTOCOMMIT
    warnings: int = 0
    info: bytes = b""

    def encode(self, capabilities: Capability, head: int = 0) -> bytes:
        """Return the packet's payload; `head` is 0xFE at the end of a result set."""
        return b"".join(
            (
                bytes((head,)),
                lenenc(self.affected),
                lenenc(self.insert_id),
                struct.pack("<HH", int(self.status & ~Status.SESSION_STATE_CHANGED), self.warnings),
                lenenc_bytes(self.info)
                if capabilities & Capability.SESSION_TRACK and self.info
                else self.info,
            )
        )

    @classmethod
    def decode(cls, payload: bytes) -> Ok:
        """Decode a payload, ignoring the info text."""
        cursor = Cursor(payload, 1)
        affected, insert_id, status, warnings = (
            cursor.lenenc(),
            cursor.lenenc(),
            Status(cursor.number(2)),
            cursor.number(2),
        )
        return cls(affected, insert_id, status, warnings)


@dataclass(frozen=True, slots=True)
class Err:
    """ERR packet."""

    code: int
    state: str  # five characters
    message: str

    def encode(self) -> bytes:
        """Return the packet's payload."""
        return b"\xff" + struct.pack("<H", self.code) + b"#" + self.state.encode() + self.message.encode()

    @classmethod
    def decode(cls, payload: bytes) -> Err:
        """Decode a payload; the SQL state is HY000 if it has none."""
        cursor = Cursor(payload, 1)
        code, state = cursor.number(2), "HY000"
        if cursor.remaining() and payload[cursor.position : cursor.position + 1] == b"#":
            cursor.take(1)
            state = cursor.take(5).decode("latin-1")
        return cls(code, state, cursor.rest().decode("utf-8", "replace"))


def eof(status: Status, warnings: int = 0) -> bytes:
    """Encode an EOF packet, used without CLIENT_DEPRECATE_EOF."""
    return b"\xfe" + struct.pack("<HH", warnings, int(status))


def is_eof(payload: bytes) -> bool:
    """Return whether this is an EOF packet, which has five bytes."""
    return payload[:1] == b"\xfe" and len(payload) == 5


def decode_eof(payload: bytes) -> Status:
    """Return the status of an EOF packet; raises Malformed if it is none."""
    if not is_eof(payload):
        raise Malformed("expected an EOF packet")
    return Status(struct.unpack_from("<H", payload, 3)[0])


@dataclass(frozen=True, slots=True)
class Column:
    """Column definition of a result set."""

    name: str
    kind: int = 0xFD  # VAR_STRING
    charset: int = 45
    length: int = 1024
    flags: int = 0
    decimals: int = 0
    table: str = ""
    database: str = ""

    def encode(self) -> bytes:
        """Return the packet's payload."""
        return b"".join(
            (
                lenenc_bytes(b"def"),
                *(
                    lenenc_bytes(name.encode())
                    for name in (self.database, self.table, self.table, self.name, self.name)
                ),
                b"\x0c",
                struct.pack("<HIBHB", self.charset, self.length, self.kind, self.flags, self.decimals),
                b"\0\0",
            )
        )


@dataclass(frozen=True, slots=True)
class Prepared:
    """First packet of the response to COM_STMT_PREPARE; parameter and column definitions follow."""

    id: int
    columns: int
    parameters: int
    warnings: int = 0

    def encode(self) -> bytes:
        """Return the packet's payload."""
        return b"\0" + struct.pack("<IHHBH", self.id, self.columns, self.parameters, 0, self.warnings)

    @classmethod
    def decode(cls, payload: bytes) -> Prepared:
        """Decode a payload; the warning count may be absent."""
        cursor = Cursor(payload)
        if cursor.number(1) != 0:
            raise Malformed("expected the response to COM_STMT_PREPARE")
        prepared = cls(cursor.number(4), cursor.number(2), cursor.number(2))
        if cursor.remaining() >= 3:
            cursor.take(1)
            prepared = replace(prepared, warnings=cursor.number(2))
        return prepared


# Response tracking.


class ResponseReader:
    """Tracks the packets of a server's response to find its end and its result."""

    def __init__(self, capabilities: Capability, command: Command) -> None:
        self.capabilities, self.command = capabilities, command
        self.state = "first"
        self.definitions = 0
        self.groups: list[int] = []  # numbers of definitions still expected, for PREPARE
        self.status: Status | None = None  # of the last complete result, None if the server has sent none
        self.error: Err | None = None
        self.ok: Ok | None = None  # of the last result that ended with one
        self.insert_id = 0  # the last one that a result of the response had
        self.prepared: Prepared | None = None
        self.rows = 0
        self.results = 0  # complete ones, without the error that ends the response
        self.column_bytes = bytearray()

    def packet(self, payload: bytes, continued: bool = False) -> bool:
        """Take the next payload and return whether the response is complete.

        Of a payload split over several packets, the later ones are passed with `continued` set and ignored.
        """
        if continued or (not payload and self.state == "row"):
            return False
        if not payload:
            raise Malformed("empty packet in a response")
        return bool(getattr(self, f"at_{self.state}")(payload))

    def end_result(self, status: Status) -> bool:
        """End one result; returns False if the server announces more."""
        self.status = status
        self.results += 1
        self.state = "first"
        return not status & Status.MORE_RESULTS

    def at_first(self, payload: bytes) -> bool:
        """Handle the first packet of a result."""
        first_byte = payload[0]
        if first_byte == 0xFF:
            self.error = Err.decode(payload)
            return True
        if self.command is Command.PREPARE:
            self.prepared = Prepared.decode(payload)
            eofs = 0 if self.capabilities & Capability.DEPRECATE_EOF else 1
            counts = [count + eofs for count in (self.prepared.parameters, self.prepared.columns) if count]
            self.definitions, self.state = sum(counts), "prepared"
            return self.definitions == 0
        if first_byte == 0 or (first_byte == 0xFE and len(payload) < 9 and self.command is not Command.QUERY):
            self.ok = Ok.decode(payload) if first_byte == 0 else None
            self.insert_id = (self.ok.insert_id if self.ok else 0) or self.insert_id
            return self.end_result(self.ok.status if self.ok else decode_eof(payload))
        if first_byte == 0xFB:
            raise Malformed("the server requests a local file, which is not supported")
        self.definitions = Cursor(payload).lenenc()
        if not 0 < self.definitions <= 4096:
            raise Malformed(f"expected 1 to 4096 columns, got {self.definitions}")
        self.state = "column"
        return False

    def at_prepared(self, payload: bytes) -> bool:
        """Count a definition after the response to COM_STMT_PREPARE."""
        self.definitions -= 1
        return self.definitions == 0

    def at_column(self, payload: bytes) -> bool:
        """Count a column definition."""
        self.definitions -= 1
        if self.definitions == 0:
            self.state = "row" if self.capabilities & Capability.DEPRECATE_EOF else "eof"
        return False

    def at_eof(self, payload: bytes) -> bool:
        """Handle the EOF packet after the column definitions; an open cursor means that no rows follow."""
        self.state = "row"
        status = decode_eof(payload)
        return self.end_result(status) if status & Status.CURSOR_EXISTS else False

    def at_row(self, payload: bytes) -> bool:
        """Handle a row or the end of the rows."""
        if payload[0] == 0xFF:
            self.error = Err.decode(payload)
            return True
        if payload[0] == 0xFE and self.capabilities & Capability.DEPRECATE_EOF and len(payload) < 0xFFFFFF:
            self.ok = Ok.decode(payload)
            return self.end_result(self.ok.status)
        if is_eof(payload):
            return self.end_result(decode_eof(payload))
        self.rows += 1
        return False
