"""A MySQL client that sends single commands and returns every result, row and flag."""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass, field

from rainspindle.protocol.mysql import auth
from rainspindle.protocol.mysql.messages import (
    SUPPORTED_CAPABILITIES,
    Capability,
    Command,
    Greeting,
    Login,
    ResponseReader,
)
from rainspindle.protocol.mysql.wire import Cursor, PacketReader, lenenc_bytes, packets

MAX_PAYLOAD = 1 << 24
STRING_TYPE = b"\xfd\0"
TIMEOUT = 10.0  # seconds; far longer than needed

Row = tuple[str | None, ...]


@dataclass(slots=True)
class Reply:
    """The response to one command."""

    rows: list[Row] = field(default_factory=list)  # of all results
    error: int = 0  # code, 0 if there was none
    message: str = ""
    statement: int = 0  # id of the statement that was prepared


class MysqlClient:
    """One connection."""

    def __init__(
        self,
        port: int,
        database: str = "",
        user: str = "anna",
        password: bytes = b"secret",
        capabilities: Capability = SUPPORTED_CAPABILITIES,
    ) -> None:
        self.capabilities = capabilities
        self.sock = socket.create_connection(("127.0.0.1", port), TIMEOUT)
        self.reader = PacketReader(MAX_PAYLOAD)
        self.parameters: dict[int, int] = {}  # number of parameters by prepared statement
        greeting = Greeting.decode(self.payload())
        response = auth.RESPONSE_FUNCTIONS[greeting.plugin](password, greeting.nonce)
        login = Login(capabilities, user, response, database, greeting.plugin)
        self.sock.sendall(packets(login.encode(), 1))
        self.reader.restart(2)
        while (payload := self.payload())[0] != 0:
            assert payload[0] == 1, payload

    def payload(self) -> bytes:
        """Return the next payload; raises ConnectionError if the connection ends."""
        while (payload := self.reader.payload()) is None:
            data = self.sock.recv(1 << 16)
            if not data:
                raise ConnectionError("the server closed the connection")
            self.reader.receive(data)
        return payload

    def send(self, command: Command, body: bytes = b"") -> None:
        self.reader.restart(1)
        self.sock.sendall(packets(bytes((command,)) + body, 0))

    def run(self, command: Command, body: bytes = b"") -> Reply:
        """Run a command that has a response."""
        self.send(command, body)
        reply, response = Reply(), ResponseReader(self.capabilities, command)
        complete, columns = False, 0
        while not complete:
            state, rows_before = response.state, response.rows
            payload = self.payload()
            complete = response.packet(payload)
            if state == "first":
                columns = response.definitions
            if response.rows > rows_before:
                binary = command is Command.EXECUTE
                reply.rows.append(decode_binary_row(payload, columns) if binary else decode_row(payload))
        if response.error is not None:
            reply.error, reply.message = response.error.code, response.error.message
        if response.prepared is not None:
            reply.statement = response.prepared.id
            self.parameters[reply.statement] = response.prepared.parameters
        return reply

    def query(self, text: str) -> Reply:
        return self.run(Command.QUERY, text.encode())

    def prepare(self, sql: str) -> Reply:
        return self.run(Command.PREPARE, sql.encode())

    def execute(self, statement: int, *values: str) -> Reply:
        """Run a prepared statement with strings as its parameters."""
        count = self.parameters.get(statement, 0)
        body = struct.pack("<IBI", statement, 0, 1)
        if count:
            body += bytes((count + 7) // 8) + b"\1" + STRING_TYPE * count
            body += b"".join(lenenc_bytes(value.encode()) for value in values)
        return self.run(Command.EXECUTE, body)

    def close(self) -> None:
        self.sock.close()


def decode_row(payload: bytes) -> Row:
    """Decode a row in the text format."""
    cursor, values = Cursor(payload), list[str | None]()
    while cursor.remaining():
        if payload[cursor.position] == 0xFB:
            cursor.take(1)
            values.append(None)
        else:
            values.append(cursor.lenenc_bytes().decode())
    return tuple(values)


def decode_binary_row(payload: bytes, columns: int) -> Row:
    """Decode a row of strings in the binary format."""
    cursor = Cursor(payload, 1)
    null_bitmap = cursor.take((columns + 9) // 8)
    return tuple(
        None if null_bitmap[(index + 2) // 8] >> (index + 2) % 8 & 1 else cursor.lenenc_bytes().decode()
        for index in range(columns)
    )
