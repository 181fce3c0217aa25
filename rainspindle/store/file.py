"""A small file that is replaced atomically and read with a bound on its size."""

from __future__ import annotations

import contextlib
import os
import stat
import struct
import zlib

from ..errors import Trouble
from ..lazy_dataclasses import dataclass

MAGIC = b"rainspin"
HEADER = struct.Struct(
    ">8sHIQI"
)  # magic, version, kind, payload length, CRC-32 of the preceding fields and the payload
Stamp = tuple[int, int, int]  # inode, modification time in ns, size in bytes


class Unfit(Trouble):
    """A stored file cannot be used. The message gives the reason."""

    remedy = "no action needed, the file is rewritten; if this recurs, check what else writes to its folder"


class Missing(Unfit):
    """The file does not exist."""

    remedy = "no action needed, the file is created when there is state to store"


class Unwritten(Trouble):
    """A file intended for the successor process could not be written."""

    remedy = "check that the folder named by TMPDIR is writable and has free space; the write is retried"


@dataclass(frozen=True, slots=True)
class StoredFile:
    """The path of a stored file and the format that it must have."""

    path: str
    kind: int  # distinguishes the files of one program independently of their names
    version: int  # of the payload format
    most: int  # maximum payload size in bytes

    def write(self, payload: bytes, tag: str) -> None:
        """Replaces the file atomically, readable by this user alone.

        The data is written to a temporary file that is then renamed, so that readers never see a partly
        written file. `tag` makes the temporary name distinct among concurrent writers. Raises OSError.
        """
        if len(payload) > self.most:
            raise OSError(
                f"{self.path}: payload of {len(payload)} bytes exceeds the limit of {self.most} bytes"
            )
        temporary_path = f"{self.path}.{tag}"
        with contextlib.suppress(FileNotFoundError):
            os.unlink(temporary_path)
        fd = os.open(
            temporary_path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW | os.O_CLOEXEC, 0o600
        )
        try:
            with os.fdopen(fd, "wb") as file:
                file.write(self.header(self.version, payload) + payload)
            os.replace(temporary_path, self.path)
        except BaseException:
            with contextlib.suppress(OSError):
                os.unlink(temporary_path)
            raise

    def read(self) -> bytes:
        """Returns the payload. Raises Missing if there is no file, Unfit if it fails a check."""
        try:
            fd = os.open(self.path, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
        except FileNotFoundError:
            raise Missing("there is none: the file does not exist") from None
        except OSError as error:
            raise Unfit(error.strerror or str(error)) from None
        with os.fdopen(fd, "rb") as file:
            status = os.fstat(fd)
            # In a folder that is not private, another user can place a file under this name.
            if not stat.S_ISREG(status.st_mode) or status.st_uid != os.geteuid() or status.st_mode & 0o022:
                raise Unfit("not a regular file owned and writable by this user alone")
            if status.st_size > HEADER.size + self.most:
                raise Unfit(
                    f"file of {status.st_size} bytes exceeds the limit of {self.most} bytes and the header"
                )
            try:
                data = file.read(HEADER.size + self.most + 1)
            except OSError as error:
                raise Unfit(error.strerror or str(error)) from None
        if len(data) < HEADER.size:
            raise Unfit(f"file of {len(data)} bytes is shorter than its header of {HEADER.size} bytes")
        magic, version, kind, length, _ = HEADER.unpack_from(data)
        payload = data[HEADER.size :]
        if magic != MAGIC or kind != self.kind:
            raise Unfit("another kind of file: magic or kind does not match")
        if length != len(payload) or data[: HEADER.size] != self.header(version, payload):
            raise Unfit("checksum or payload length does not match the header")
        if version != self.version:
            raise Unfit(f"format version {version}, this program reads version {self.version}")
        return payload

    def stamp(self) -> Stamp | None:
        """Returns a value that changes when the file is rewritten; None if the file cannot be examined."""
        try:
            status = os.stat(self.path, follow_symlinks=False)
        except OSError:
            return None
        return status.st_ino, status.st_mtime_ns, status.st_size

    def header(self, version: int, payload: bytes) -> bytes:
        """Returns the header, whose checksum covers its other fields and the payload."""
        fields = struct.pack(">8sHIQ", MAGIC, version, self.kind, len(payload))
        return fields + zlib.crc32(payload, zlib.crc32(fields)).to_bytes(4, "big")
