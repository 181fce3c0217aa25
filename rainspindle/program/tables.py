"""TOML files of the operator's own: read, and held against what they may hold, with every fault named."""

from __future__ import annotations

import difflib
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from .config import ConfigFault, Unopened


def read_toml(path: str) -> dict[str, Any]:
    """Raises ConfigFault."""
    try:
        return tomllib.loads(Path(path).read_text())
    except OSError as fault:
        raise Unopened(f"{path}: {fault.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as fault:
        raise ConfigFault(f"{path}: not TOML: {fault}") from None


def read_secret(path: Path, least: int) -> bytes:
    """A key's or password's file: its bytes, less blanks at the ends. Others must not be able to read it."""
    try:
        mode, key = path.stat().st_mode, path.read_bytes().strip()
    except OSError as fault:
        raise Unopened(f"{path}: {fault.strerror}") from None
    if mode & 0o077:
        raise ConfigFault(f"{path}: others than its owner may read it (mode {mode & 0o777:o}); 600 is needed")
    if len(key) < least:
        raise ConfigFault(f"{path}: {len(key)} bytes; {least} are needed at least")
    return key


def shape(value: Any, model: Any, at: str) -> Iterator[str]:
    """Faults of one table: unknown keys, what is missing, and values of the wrong type."""
    if not isinstance(value, dict):
        yield f"{at or 'the file'}: expected a table"
        return
    fields, before = {f.encode_name: f for f in msgspec.structs.fields(model)}, f"{at}." if at else ""
    for key in value:
        if key not in fields:
            near = difflib.get_close_matches(key, list(fields), 1)
            yield f"{before}{key}: unknown key" + (f"; the nearest known is {near[0]!r}" if near else "")
    for name, field in fields.items():
        place = f"{before}{name}"
        if name not in value:
            if field.required:
                yield f"{place}: missing"
            continue
        inner = getattr(field.type, "__args__", (None,))[0]
        if isinstance(field.type, type) and issubclass(field.type, msgspec.Struct):
            yield from shape(value[name], field.type, place)
        elif isinstance(inner, type) and issubclass(inner, msgspec.Struct) and isinstance(value[name], list):
            for n, one in enumerate(value[name]):
                yield from shape(one, inner, f"{place}[{n}]")
        elif isinstance(inner, type) and issubclass(inner, msgspec.Struct) and isinstance(value[name], dict):
            yield from shape(value[name], inner, place)
        else:
            try:
                msgspec.convert(value[name], field.type)
            except msgspec.ValidationError as fault:
                yield f"{place}: is {value[name]!r:.60}; {fault}"
