"""Keeps the cyclic garbage collector away from objects that stay as long as the process."""

from __future__ import annotations

import contextlib
import gc
from collections.abc import Iterator


@contextlib.contextmanager
def permanent_objects() -> Iterator[None]:
    """Runs a block whose objects stay: with one collection at its end, and no later one looks at them."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        gc.collect()
        gc.freeze()
        if was_enabled:
            gc.enable()
