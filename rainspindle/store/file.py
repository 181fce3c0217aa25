"""One small file, written whole or not at all, and read with limits on everything."""

from __future__ import annotations

import contextlib
import os
import stat
import struct
import zlib

from ..errors import Trouble
from ..lazy_dataclasses import dataclass

MAGIC = b"rainspin"
HEADER = struct.Struct(">8sHIQI")  # magic, version, kind, length, checksum of all before it and the payload
Stamp = tuple[int, int, int]  # inode, time of change in ns, size


class Unfit(Trouble):
    """The file cannot be used; the text says why."""

    remedy = "nothing need be done, it is written anew; if it comes again, see who else writes in its folder"


class Missing(Unfit):
    """There is no such file."""

    remedy = "nothing need be done, it is made when there is something to keep"


class Unwritten(Trouble):
    """A file that is kept for a successor could not be written."""

    remedy = "see that the folder named by TMPDIR may be written and has room; it is tried again"


@dataclass(frozen=True, slots=True)
class StoredFile:
    path: str
    kind: int  # tells files of one program apart, whatever their names
    version: int  # of what is inside
    most: int  # bytes of payload

    def write(self, payload: bytes, tag: str) -> None:
        """Raises OSError. `tag` tells writers apart that write at once. Nobody else may read it.

        Guards against a half-written file: it is made under another name and then takes its own."""
        if len(payload) > self.most:
            raise OSError(f"{len(payload)} bytes for {self.path}, which may hold {self.most}")
        made = f"{self.path}.{tag}"
        with contextlib.suppress(FileNotFoundError):
            os.unlink(made)
        fd = os.open(made, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW | os.O_CLOEXEC, 0o600)
        try:
            with os.fdopen(fd, "wb") as file:
                file.write(self.header(self.version, payload) + payload)
            os.replace(made, self.path)
        except BaseException:
            with contextlib.suppress(OSError):
                os.unlink(made)
            raise

    def read(self) -> bytes:
        """Raises Unfit."""
        try:
            fd = os.open(self.path, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
        except FileNotFoundError:
            raise Missing("there is none") from None
        except OSError as fault:
            raise Unfit(fault.strerror or str(fault)) from None
        with os.fdopen(fd, "rb") as file:
            about = os.fstat(fd)
            # Guards against a file that somebody else laid there, where the folder is not private.
            if not stat.S_ISREG(about.st_mode) or about.st_uid != os.geteuid() or about.st_mode & 0o022:
                raise Unfit("not a file of this user alone")
            if about.st_size > HEADER.size + self.most:
                raise Unfit(f"{about.st_size} bytes, over {self.most}")
            try:
                data = file.read(HEADER.size + self.most + 1)
            except OSError as fault:
                raise Unfit(fault.strerror or str(fault)) from None
        if len(data) < HEADER.size:
            raise Unfit("shorter than its header")
        magic, version, kind, length, _ = HEADER.unpack_from(data)
        payload = data[HEADER.size :]
        if magic != MAGIC or kind != self.kind:
            raise Unfit("another kind of file")
        if length != len(payload) or data[: HEADER.size] != self.header(version, payload):
            raise Unfit("its checksum or its length does not fit")
        if version != self.version:
            raise Unfit(f"version {version}, this program has {self.version}")
        return payload

    def stamp(self) -> Stamp | None:
        """Changes when the file is written anew."""
        try:
            about = os.stat(self.path, follow_symlinks=False)
        except OSError:
            return None
        return about.st_ino, about.st_mtime_ns, about.st_size

    def header(self, version: int, payload: bytes) -> bytes:
        first = struct.pack(">8sHIQ", MAGIC, version, self.kind, len(payload))
        return first + zlib.crc32(payload, zlib.crc32(first)).to_bytes(4, "big")
