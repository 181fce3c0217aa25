"""What sidecars tell one another of endpoints and keys: `[evidence]` of the fleet file."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

import msgspec

from ...decisions.members.members import Member
from ...routing.core import Core, Taker
from ...routing.follow import Follower
from ..config import Config
from .ground import Answer, Ground


class EvidencePart(msgspec.Struct, forbid_unknown_fields=True):
    """`[evidence]` of the fleet file."""


def unfit(table: EvidencePart, config: Config) -> Iterator[str]:
    """Each fault between values that are well formed, with its path."""
    yield from ()


class EvidenceRun:
    def __init__(self, ground: Ground, table: EvidencePart) -> None:
        self.ground, self.table = ground, table

    def attach(self, core: Core, follower: Follower) -> None: ...

    def ready_from(self, now: float) -> float:
        return now

    def taker(self, inner: Taker) -> Taker:
        return inner

    def tick(self, now: float) -> float:
        return now + 1.0

    def member_changed(self, now: float, before: Member | None, after: Member) -> None: ...

    def call(self, now: float, method: str, path: tuple[str, ...], query: Mapping[str, str]) -> Answer | None:
        return None

    def reload(self, now: float, tables: EvidencePart) -> list[str]:
        return []

    def leave(self, now: float) -> None: ...

    def close(self) -> None: ...

    def figures(self) -> Mapping[str, object]:
        return {}
