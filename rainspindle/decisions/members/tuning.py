"""The figures of membership."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipTuning:
    """The figures of one member: seconds, counts, and datagrams a second.

    Attributes:
        probe_period: Between own probes.
        direct_timeout: That a probed member has to answer before others are asked.
        indirect_timeout: That those others have.
        helpers: Members asked at once.
        min_suspicion: Until a suspect is declared dead, where `opinions` members suspect it independently.
        max_suspicion: The same, where nobody else does.
        opinions: Independent suspicions that shorten it to the least.
        max_self_doubt: The most by which a member's own limits grow.
        lifeguard: Whether Lifeguard's amendments hold; False is SWIM as first published, to compare with.
        plain_suspicion: Until a suspect is declared dead, without Lifeguard.
        stopped_after: Between two looks at the clock, over which the process was stopped.
        own_rate: Datagrams of the member's own accord, `own_burst` at once.
        own_burst: At once.
        answer_rate: Datagrams in answer to members.
        greeting_rate: The same to those not known yet.
        urgent_rate: Datagrams that go out for updates of members alone, `urgent_burst` at once.
        urgent_burst: At once.
        extra_rate: For each: second opinions, probes further along the ring, updates of a mass failure.
        extra_burst: At once.
        load_report_rate: Datagrams with the balancer's load reports.
        max_members: That are kept.
        keep_dead: Seconds that the dead and those who left are kept.
        state_period: Between exchanges of the whole state while they bring nothing new.
        digest_period: Between digests of registers.
    """

    probe_period: float = 0.5
    direct_timeout: float = 0.2
    indirect_timeout: float = 0.35
    helpers: int = 3
    min_suspicion: float = 1.8
    max_suspicion: float = 5.0
    opinions: int = 3
    max_self_doubt: int = 8
    lifeguard: bool = True
    plain_suspicion: float = 2.4
    stopped_after: float = 0.75
    own_rate: float = 10.0
    own_burst: float = 30.0
    answer_rate: float = 60.0
    greeting_rate: float = 100.0
    urgent_rate: float = 2.0
    urgent_burst: float = 12.0
    extra_rate: float = 8.0
    extra_burst: float = 24.0
    load_report_rate: float = 500.0
    max_members: int = 4096
    keep_dead: float = 3600.0
    state_period: float = 5.0
    digest_period: float = 1.0
