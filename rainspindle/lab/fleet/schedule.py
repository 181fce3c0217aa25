"""What befalls a fleet, as values: drawn from a seed, kept as JSON, shrunk to the shortest that still fails.

Times are seconds from the start of the run. A fault with no `length` lasts until it is ended by call.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator, Sequence
from typing import Any, Literal

import msgspec

STALL = (1.0, 20.0)  # seconds


class Weather(msgspec.Struct, frozen=True, tag_field="fault", tag="weather"):
    """What the network does to datagrams from any of `sources` to any of `targets`; no name means all."""

    at: float = 0.0
    length: float | None = None
    sources: tuple[str, ...] = ()
    targets: tuple[str, ...] = ()
    loss: float = 0.0  # part that never comes
    delay: float = 0.0  # seconds
    jitter: float = 0.0  # seconds more at most, drawn for each datagram: later ones overtake earlier ones
    doubled: float = 0.0  # part that comes twice


class Cut(msgspec.Struct, frozen=True, tag_field="fault", tag="cut"):
    """One-sided: nothing from any of `sources` comes to any of `targets`, the way back is whole."""

    at: float
    sources: tuple[str, ...]
    targets: tuple[str, ...]
    length: float | None = None


class Split(msgspec.Struct, frozen=True, tag_field="fault", tag="split"):
    """Only within a group do members hear each other; those named in none are one group more."""

    at: float
    groups: tuple[tuple[str, ...], ...]
    length: float | None = None


class Stall(msgspec.Struct, frozen=True, tag_field="fault", tag="stall"):
    """Processes that stand still (SIGSTOP) and go on (SIGCONT)."""

    at: float
    names: tuple[str, ...]
    length: float


class Kill(msgspec.Struct, frozen=True, tag_field="fault", tag="kill"):
    """Processes that end with no word (SIGKILL), and are started anew `back` seconds later, or never."""

    at: float
    names: tuple[str, ...]
    back: float | None = None
    clock: float = 0.0  # seconds by which the new process's clock is ahead


class Restart(msgspec.Struct, frozen=True, tag_field="fault", tag="restart"):
    """Processes that are told to leave (SIGTERM) and are started anew as soon as they have."""

    at: float
    names: tuple[str, ...]


class Leave(msgspec.Struct, frozen=True, tag_field="fault", tag="leave"):
    """Processes that are told to leave (SIGTERM), and stay away."""

    at: float
    names: tuple[str, ...]


class Rolling(msgspec.Struct, frozen=True, tag_field="fault", tag="rolling"):
    """Processes that are restarted one after the other, one each `every` seconds."""

    at: float
    names: tuple[str, ...]
    every: float
    killed: bool = False  # with no word, else told to leave


class Folder(msgspec.Struct, frozen=True, tag_field="fault", tag="folder"):
    """Processes that end with no word and are started anew `back` seconds later, on a folder that is

    | how | |
    | --- | --- |
    | lost | empty |
    | copied | put back from a copy made `age` seconds before the end, file by file |
    | booted | as it was, on a machine that was restarted |
    | set-back | on a machine that was restarted, its volume set back whole by `age` seconds |
    """

    at: float
    names: tuple[str, ...]
    how: Literal["lost", "copied", "booted", "set-back"]
    back: float = 5.0
    age: float = 0.0


NetworkFault = Weather | Cut | Split
ProcessFault = Stall | Kill | Restart | Leave | Rolling | Folder
Fault = NetworkFault | ProcessFault
Schedule = tuple[Fault, ...]


def to_values(schedule: Schedule) -> list[dict[str, Any]]:
    """Plain JSON values."""
    return list(msgspec.to_builtins(schedule))


def from_values(values: Any) -> Schedule:
    """Raises msgspec.ValidationError, which names the place."""
    return msgspec.convert(values, Schedule)


def end(fault: Fault) -> float:
    """When the last of it is over, as far as it says so itself."""
    if isinstance(fault, Kill):
        return fault.at + (fault.back or 0.0)
    if isinstance(fault, Folder):
        return fault.at + fault.back
    if isinstance(fault, Rolling):
        return fault.at + fault.every * len(fault.names)
    return fault.at + (getattr(fault, "length", None) or 0.0)


def draw(
    seed: int, names: Sequence[str], length: float, count: int, stall: tuple[float, float] = STALL
) -> Schedule:
    """`count` faults of every kind over `length` seconds, all over by then."""
    chance = random.Random(f"{seed} schedule")
    return tuple(
        sorted((one(chance, list(names), length, stall) for _ in range(count)), key=lambda fault: fault.at)
    )


def one(chance: random.Random, names: list[str], length: float, stall: tuple[float, float]) -> Fault:
    at = chance.uniform(0.0, 0.7 * length)
    lasts = chance.uniform(0.05 * length, length - at)
    some = tuple(sorted(chance.sample(names, max(1, len(names) // chance.randint(3, 8)))))
    others = tuple(n for n in names if n not in some)
    kind = chance.choice(("weather", "cut", "split", "stall", "kill", "restart"))
    if kind == "weather":
        return Weather(
            at,
            lasts,
            loss=chance.uniform(0.0, 0.5),
            delay=chance.uniform(0.0, 0.2),
            jitter=chance.uniform(0.0, 0.3),
            doubled=chance.uniform(0.0, 0.3),
        )
    if kind == "cut":
        return Cut(at, some, others, lasts) if chance.random() < 0.5 else Cut(at, others, some, lasts)
    if kind == "split":
        return Split(at, (some, others), lasts)
    if kind == "stall":
        return Stall(at, some, min(chance.uniform(*stall), length - at))
    if kind == "kill":
        return Kill(at, some, lasts, chance.choice((0.0, -3600.0)))
    return Restart(at, some)


# Shrinking.


def shrink(schedule: Schedule, fails: Callable[[Schedule], bool]) -> Schedule:
    """A schedule that still fails and from which no fault and no name can be taken.

    Source: Zeller, Hildebrandt, "Simplifying and Isolating Failure-Inducing Input" (2002), ddmin."""
    parts = 2
    while len(schedule) > 1:
        size = -(-len(schedule) // parts)
        for begin in range(0, len(schedule), size):
            fewer = schedule[:begin] + schedule[begin + size :]
            if fewer and fails(fewer):
                schedule, parts = fewer, max(parts - 1, 2)
                break
        else:
            if size == 1:
                break
            parts = min(2 * parts, len(schedule))
    n = 0
    while n < len(schedule):
        for smaller in with_less(schedule[n]):
            if fails(tried := (*schedule[:n], smaller, *schedule[n + 1 :])):
                schedule = tried
                break
        else:
            n += 1
    return schedule


def with_less(fault: Fault) -> Iterator[Fault]:
    """The fault with one name, or one kind of weather, less."""
    if isinstance(fault, Weather):
        for kind in ("loss", "delay", "jitter", "doubled"):
            if (
                getattr(fault, kind)
                and sum(bool(getattr(fault, k)) for k in ("loss", "delay", "jitter", "doubled")) > 1
            ):
                yield msgspec.structs.replace(fault, **{kind: 0.0})
    for field in ("sources", "targets", "names"):
        names = getattr(fault, field, ())
        for name in names if len(names) > 1 else ():
            yield msgspec.structs.replace(fault, **{field: tuple(n for n in names if n != name)})
    if isinstance(fault, Kill) and fault.clock:
        yield msgspec.structs.replace(fault, clock=0.0)
