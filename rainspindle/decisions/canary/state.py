"""How far a canary is: a join-semilattice, so that news may come in any order, late and twice.

Pause marks are an observed-remove set (Shapiro, Preguica, Baquero, Zawirski 2011, "A comprehensive study of
convergent and commutative replicated data types"): a resume names the marks that it has seen, so that one
that it has not heard of still holds.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

import msgspec

VERSION = 1
MARK = 4  # bytes of a mark's name
MOST_OPEN, MOST_PARDONED = 60, 100  # 700 of the 900 bytes that a cell holds
MOST_NOTE = 80  # characters


class Told(msgspec.Struct, array_like=True):
    """A state in bytes."""

    version: int
    run: int
    digest: bytes
    epoch: int
    stage: int
    aborted: bool
    open: bytes  # the mark's name and one byte for its stage, each
    pardoned: bytes
    note: str = ""


@dataclass(frozen=True, slots=True)
class State:
    run: int = 0  # 0: none was ever begun
    digest: bytes = b""  # of the terms by which it is run
    epoch: int = 0  # grows with each resume, and orders stages before their number does
    stage: int = 0  # as many as there are steps: done
    aborted: bool = False
    open: frozenset[tuple[int, bytes]] = frozenset()  # pause marks: stage where it was made, name
    pardoned: frozenset[bytes] = frozenset()  # names of marks that a resume has seen

    def join(self, other: State) -> State:
        """The newest that both know. A later run ends all before it."""
        if (self.run, self.digest) != (other.run, other.digest):
            return max(self, other, key=lambda state: (state.run, state.digest))
        pardoned = self.pardoned | other.pardoned
        # Which of too many marks are kept is the same at all: the lowest. The rest would hold after a resume.
        marks = frozenset(sorted(m for m in self.open | other.open if m[1] not in pardoned)[:MOST_OPEN])
        epoch, stage = max((self.epoch, self.stage), (other.epoch, other.stage))
        return State(self.run, self.digest, epoch, stage, self.aborted or other.aborted, marks, pardoned)

    @property
    def paused(self) -> bool:
        return bool(self.open)

    @property
    def in_force(self) -> int:
        """The stage that holds: paused, the lowest at which anybody paused it, alike at all."""
        return min((self.stage, *(stage for stage, _ in self.open)))

    @property
    def stamp(self) -> tuple[int, bytes, int, int]:
        return self.run, self.digest, self.epoch, self.stage

    def marked(self, name: bytes) -> State:
        """Paused."""
        return self.join(replace(self, open=self.open | {(self.in_force, name)}))

    def resumed(self) -> State:
        return replace(
            self,
            epoch=self.epoch + 1,
            stage=self.in_force,
            open=frozenset(),
            pardoned=self.pardoned | {name for _, name in self.open},
        )

    def encode(self, note: str = "") -> bytes:
        marks = b"".join(name + bytes((stage,)) for stage, name in sorted(self.open))
        return msgspec.msgpack.encode(
            Told(
                VERSION,
                self.run,
                self.digest,
                self.epoch,
                self.stage,
                self.aborted,
                marks,
                b"".join(sorted(self.pardoned)),
                note[:MOST_NOTE].encode("ascii", "replace").decode(),
            )
        )


def decode(raw: bytes) -> tuple[State, str]:
    """The state and its writer's note. Raises ValueError."""
    try:
        told = msgspec.msgpack.decode(raw, type=Told)
    except msgspec.MsgspecError as fault:
        raise ValueError(f"not a state: {fault}") from None
    marks, pardoned, size = told.open, told.pardoned, MARK + 1
    if (
        told.version != VERSION
        or len(marks) % size
        or len(pardoned) % MARK
        or told.run < 0
        or told.epoch < 0
        or not 0 <= told.stage < 256
    ):
        raise ValueError(f"not a state of version {VERSION}")
    return State(
        told.run,
        told.digest,
        told.epoch,
        told.stage,
        told.aborted,
        frozenset((marks[n + MARK], marks[n : n + MARK]) for n in range(0, len(marks), size)),
        frozenset(pardoned[n : n + MARK] for n in range(0, len(pardoned), MARK)),
    ), told.note
