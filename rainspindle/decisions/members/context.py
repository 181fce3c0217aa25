"""State shared by the components of membership. Each object is changed only through its own methods."""

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
    """Returns False: the default for a program that never hands over to a successor process."""
    return False


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """Configuration of one member.

    Attributes:
        fleet: Name of the fleet; messages of other fleets are dropped.
        seeds: Addresses of some members, contacted in order to join.
        seed: Seed of the pseudo-random generator.
        tuning: Protocol parameters.
        has_successor: Returns whether a process that takes over from this one runs alongside it.
    """

    fleet: str
    seeds: Sequence[Address] = ()
    seed: float = 0
    tuning: MembershipTuning = field(default_factory=MembershipTuning)
    has_successor: Callable[[], bool] = no_successor


@dataclass(frozen=True, slots=True)
class MembershipContext:
    """Objects that the components of membership share.

    Attributes:
        own: State of this process's own member.
        table: Records of all members.
        suspects: Members under suspicion.
        health: Local health of this member.
        limits: Rate limits for datagrams and log lines.
        stats: Counters since the start.
        sampler: Draws random members.
        random: Pseudo-random generator of this member.
        tuning: Protocol parameters.
        host: Sends datagrams, logs and reports changes.
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
