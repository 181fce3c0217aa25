"""Every state that a small system can come to, breadth first: what is wrong comes with a shortest way."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, field
from typing import TypeVar

W = TypeVar("W", bound=Hashable)


@dataclass(slots=True)
class Found:
    states: int = 0
    steps: int = 0
    ends: int = 0  # states in which all that was to be done is done
    violation: str = ""
    trace: list[str] = field(default_factory=list)
    whole: bool = False  # there was no state more


def explore(
    first: W,
    steps: Callable[[W], Iterator[tuple[str, W]]],
    violation: Callable[[W], str],
    ended: Callable[[W], bool],
    most: int = 10_000_000,
) -> Found:
    """From `first` by all `steps`, each with its name; stops at a state that `violation` names something of,
    or when `most` states are known."""
    found = Found()
    before: dict[W, tuple[W, str] | None] = {first: None}
    queue = deque([first])
    while queue and len(before) < most:
        w = queue.popleft()
        found.ends += ended(w)
        for name, after in steps(w):
            found.steps += 1
            if after in before:
                continue
            before[after] = (w, name)
            if wrong := violation(after):
                found.violation, found.states = wrong, len(before)
                at: W | None = after
                while at is not None and (way := before[at]) is not None:
                    at, step = way
                    found.trace.insert(0, step)
                return found
            queue.append(after)
    found.states, found.whole = len(before), not queue
    return found
