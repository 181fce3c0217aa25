"""What the parts of membership share: each has one owner, and is changed by its own methods alone."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ...transport.address import Address
from .local_health import LocalHealth
from .member import MembershipHost
from .member_table import MemberTable
from .own_member import OwnMember
from .peer_sampler import PeerSampler
from .rate_limits import RateLimits
from .stats import MembershipStats
from .suspects import Suspects
from .tuning import MembershipTuning


def no_successor() -> bool:
    """Returns that no process takes over from this one."""
    return False


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """What one member is configured with.

    Attributes:
        fleet: Members of another fleet are strangers.
        seeds: Addresses of some members.
        seed: Of all chance.
        tuning: The figures.
        has_successor: Tells whether a process that takes over from this one runs beside it.
    """

    fleet: str
    seeds: Sequence[Address] = ()
    seed: float = 0
    tuning: MembershipTuning = field(default_factory=MembershipTuning)
    has_successor: Callable[[], bool] = no_successor


@dataclass(frozen=True, slots=True)
class MembershipContext:
    """What the parts of membership go by.

    Attributes:
        own: This process's own place.
        table: The records of all members.
        suspects: Who is suspected.
        health: How far this member doubts itself.
        limits: What may be sent.
        stats: Counters since the start.
        sampler: Draws members.
        random: The source of all chance.
        tuning: The figures.
        host: What is acted through.
    """

    own: OwnMember
    table: MemberTable
    suspects: Suspects
    health: LocalHealth
    limits: RateLimits
    stats: MembershipStats
    sampler: PeerSampler
    random: random.Random
    tuning: MembershipTuning
    host: MembershipHost
