"""The replicated state of a canary run.

States form a join-semilattice, so that updates may arrive in any order, late and more than once.

Pause marks are an observed-remove set (Shapiro, Preguica, Baquero, Zawirski 2011, "A comprehensive study of
convergent and commutative replicated data types"): a resume removes the marks that it has seen by name, so
that a concurrent pause stays in force.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

import msgspec

VERSION = 1
MARK_BYTES = 4  # the length of a mark's name
MAX_OPEN, MAX_PARDONED = 60, 100  # 700 of the 900 bytes that a register holds
MAX_NOTE = 80  # characters


class Told(msgspec.Struct, array_like=True):
    """The stored and transmitted form of a state."""

    version: int
    run: int
    digest: bytes
    epoch: int
    stage: int
    aborted: bool
    open: bytes  # for each mark its name and one byte for its stage
    pardoned: bytes  # the names one after the other
    note: str = ""


@dataclass(frozen=True, slots=True)
class State:
    """The state of the newest run that is known."""

    run: int = 0  # 0: no run was ever started
    digest: bytes = b""  # of the terms of the run
    epoch: int = 0  # grows with each resume; a higher epoch supersedes any stage of a lower one
    stage: int = 0  # index of the stage; the number of stages when the run is done
    aborted: bool = False
    open: frozenset[tuple[int, bytes]] = frozenset()  # pause marks: stage at which it was made, name
    pardoned: frozenset[bytes] = frozenset()  # names of the marks that a resume has removed

    def join(self, other: State) -> State:
        """The least state that includes both. A later run supersedes all earlier ones."""
        if (self.run, self.digest) != (other.run, other.digest):
            return max(self, other, key=lambda state: (state.run, state.digest))
        pardoned = self.pardoned | other.pardoned
        # Above the limit the lowest marks are kept, so that all members keep the same ones. If they kept
        # different ones, those that a resume has not seen would still hold after it.
        marks = frozenset(sorted(m for m in self.open | other.open if m[1] not in pardoned)[:MAX_OPEN])
        epoch, stage = max((self.epoch, self.stage), (other.epoch, other.stage))
        return State(self.run, self.digest, epoch, stage, self.aborted or other.aborted, marks, pardoned)

    @property
    def paused(self) -> bool:
        """Whether a pause mark is open."""
        return bool(self.open)

    @property
    def effective_stage(self) -> int:
        """The effective stage: while paused, the lowest one at which any member paused the run.

        It is thus the same at all members.
        """
        return min((self.stage, *(stage for stage, _ in self.open)))

    @property
    def stage_id(self) -> tuple[int, bytes, int, int]:
        """Identifies the stage; compared with the `stage_id` of other sidecars' reports."""
        return self.run, self.digest, self.epoch, self.stage

    def marked(self, name: bytes) -> State:
        """The state with a pause mark of this name added at the effective stage."""
        return self.join(replace(self, open=self.open | {(self.effective_stage, name)}))

    def resumed(self) -> State:
        """The state at the effective stage in the next epoch, with all open marks removed."""
        return replace(
            self,
            epoch=self.epoch + 1,
            stage=self.effective_stage,
            open=frozenset(),
            pardoned=self.pardoned | {name for _, name in self.open},
        )

    def encode(self, note: str = "") -> bytes:
        """Encodes the state with a note; the note becomes ASCII and is cut to `MAX_NOTE` characters."""
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
                note[:MAX_NOTE].encode("ascii", "replace").decode(),
            )
        )


def decode(raw: bytes) -> tuple[State, str]:
    """Decodes a state and its writer's note.

    Raises ValueError if `raw` is no state of this version or has a value out of range.
    """
    try:
        stored = msgspec.msgpack.decode(raw, type=Told)
    except msgspec.MsgspecError as error:
        raise ValueError(f"cannot decode canary state: {error}") from None
    marks, pardoned, mark_size = stored.open, stored.pardoned, MARK_BYTES + 1
    if (
        stored.version != VERSION
        or len(marks) % mark_size
        or len(pardoned) % MARK_BYTES
        or stored.run < 0
        or stored.epoch < 0
        or not 0 <= stored.stage < 256
    ):
        raise ValueError(f"canary state is not of version {VERSION}, or has a value out of range")
    return State(
        stored.run,
        stored.digest,
        stored.epoch,
        stored.stage,
        stored.aborted,
        frozenset(
            (marks[start + MARK_BYTES], marks[start : start + MARK_BYTES])
            for start in range(0, len(marks), mark_size)
        ),
        frozenset(pardoned[start : start + MARK_BYTES] for start in range(0, len(pardoned), MARK_BYTES)),
    ), stored.note
