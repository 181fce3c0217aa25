"""Reading of operators' TOML files, and validation against a model that reports every fault."""

from __future__ import annotations

import difflib
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from .config import ConfigFault, InaccessibleFileError


def read_toml(path: str) -> dict[str, Any]:
    """Returns the contents of a TOML file. Raises ConfigFault if it is unreadable or no TOML."""
    try:
        return tomllib.loads(Path(path).read_text())
    except OSError as error:
        raise InaccessibleFileError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigFault(f"{path}: not TOML: {error}") from None


def read_secret(path: Path, least: int) -> bytes:
    """Returns the bytes of a key or password file without surrounding whitespace.

    Raises ConfigFault if other users can read the file, or if it has fewer than `least` bytes.
    """
    try:
        mode, key = path.stat().st_mode, path.read_bytes().strip()
    except OSError as error:
        raise InaccessibleFileError(f"{path}: {error.strerror}") from None
    if mode & 0o077:
        raise ConfigFault(f"{path}: other users can access it (mode {mode & 0o777:o}); mode 600 is required")
    if len(key) < least:
        raise ConfigFault(f"{path}: {len(key)} bytes; at least {least} are required")
    return key


def shape(value: Any, model: Any, path: str) -> Iterator[str]:
    """Yields the faults of one table: unknown keys, missing keys and values of the wrong type.

    `path` is the path of the table in the file, empty for the whole file.
    """
    if not isinstance(value, dict):
        yield f"{path or 'the file'}: expected a table"
        return
    fields, prefix = (
        {struct_field.encode_name: struct_field for struct_field in msgspec.structs.fields(model)},
        f"{path}." if path else "",
    )
    for key in value:
        if key not in fields:
            close_matches = difflib.get_close_matches(key, list(fields), 1)
            yield f"{prefix}{key}: unknown key" + (
                f"; the nearest known is {close_matches[0]!r}" if close_matches else ""
            )
    for name, field in fields.items():
        key_path = f"{prefix}{name}"
        if name not in value:
            if field.required:
                yield f"{key_path}: missing"
            continue
        inner = getattr(field.type, "__args__", (None,))[0]
        if isinstance(field.type, type) and issubclass(field.type, msgspec.Struct):
            yield from shape(value[name], field.type, key_path)
        elif isinstance(inner, type) and issubclass(inner, msgspec.Struct) and isinstance(value[name], list):
            for index, element in enumerate(value[name]):
                yield from shape(element, inner, f"{key_path}[{index}]")
        elif isinstance(inner, type) and issubclass(inner, msgspec.Struct) and isinstance(value[name], dict):
            yield from shape(value[name], inner, key_path)
        else:
            try:
                msgspec.convert(value[name], field.type)
            except msgspec.ValidationError as error:
                yield f"{key_path}: is {value[name]!r:.60}; {error}"
