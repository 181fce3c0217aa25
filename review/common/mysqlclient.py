"""A client of the MySQL wire protocol, with text queries and prepared statements of string parameters."""

from __future__ import annotations

import asyncio
import struct
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from rainspindle.protocol.mysql import auth
from rainspindle.protocol.mysql.messages import (
    SUPPORTED_CAPABILITIES,
    Capability,
    Command,
    Err,
    Greeting,
    Login,
    ResponseReader,
)
from rainspindle.protocol.mysql.wire import Cursor, PacketReader, lenenc_bytes, packets

from .database import PASSWORD

USER = "centre"


class MysqlClient:
    """One session."""

    def __init__(self) -> None:
        self.packets = PacketReader(1 << 24)
        # An EOF packet ends rows: the older form, which all servers know.
        self.capabilities = SUPPORTED_CAPABILITIES & ~(
            Capability.DEPRECATE_EOF | Capability.CONNECT_ATTRS | Capability.SESSION_TRACK
        )

    async def connect(self, address: str) -> None:
        """Connects and logs in."""
        host, _, port = address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        greeting = Greeting.decode(await self.payload())
        answer = auth.RESPONSE_FUNCTIONS[greeting.plugin](PASSWORD, greeting.nonce)
        login = Login(self.capabilities, USER, answer, "", greeting.plugin)
        self.writer.write(packets(login.encode(), 1))
        while (payload := await self.payload())[0] != 0:
            if payload[0] == 0xFF:
                raise OSError(Err.decode(payload).message)

    async def payload(self) -> bytes:
        """Reads a payload."""
        while (payload := self.packets.payload()) is None:
            data = await self.reader.read(65536)
            if not data:
                raise OSError("the connection ended")
            self.packets.receive(data)
            if len(data) >= 4 and not self.packets.parts and self.packets.sequence != data[3]:
                self.packets.restart(data[3])
        return payload

    async def run(self, command: Command, body: bytes) -> tuple[ResponseReader, list[bytes]]:
        """Runs a command; returns what its response was and the payloads."""
        self.packets.restart(1)
        self.writer.write(packets(bytes((command,)) + body, 0))
        response, payloads = ResponseReader(self.capabilities, command), []
        while True:
            payload = await self.payload()
            payloads.append(payload)
            if response.packet(payload):
                return response, payloads

    async def query(self, sql: str) -> tuple[Err | None, list[str]]:
        """Runs a text; returns the error and the values of the only column of the last result."""
        response, payloads = await self.run(Command.QUERY, sql.encode())
        if response.error or not response.rows:
            return response.error, []
        return None, [Cursor(row).lenenc_bytes().decode() for row in payloads[-1 - response.rows : -1]]

    async def use(self, database: str) -> None:
        """Changes the default database."""
        response, _ = await self.run(Command.INIT_DB, database.encode())
        if response.error:
            raise OSError(response.error.message)

    async def prepare(self, sql: str) -> int:
        """Prepares a statement and returns its id."""
        response, _ = await self.run(Command.PREPARE, sql.encode())
        if response.prepared is None:
            raise OSError(response.error.message if response.error else "not prepared")
        return response.prepared.id

    async def execute(self, statement: int, *values: str) -> tuple[Err | None, list[str]]:
        """Runs a prepared statement; returns the error and the values of the only column."""
        body = struct.pack("<IBI", statement, 0, 1) + bytes((len(values) + 7) // 8) + b"\1"
        body += b"\xfd\0" * len(values) + b"".join(lenenc_bytes(value.encode()) for value in values)
        response, payloads = await self.run(Command.EXECUTE, body)
        if response.error or not response.rows:
            return response.error, []
        rows = payloads[-1 - response.rows : -1]
        return None, [Cursor(row, 2).lenenc_bytes().decode() for row in rows]

    def close(self) -> None:
        """Ends the session."""
        self.writer.close()
