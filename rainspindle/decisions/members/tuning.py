"""Periods, time-outs, rates and limits of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipTuning:
    """Protocol parameters of one member: times in seconds, rates in datagrams per second.

    Attributes:
        probe_period: Seconds between two probes that this member starts in turn.
        direct_timeout: Seconds a probed member has to answer before others are asked to ping it.
        indirect_timeout: Seconds allowed for the pings that others send on this member's behalf.
        ping_helpers: Number of members asked to ping on this member's behalf at a time.
        min_suspicion: Seconds until a suspect is declared dead when `confirmations` other members suspect it
            independently.
        max_suspicion: Seconds until a suspect is declared dead when no other member suspects it.
        confirmations: Number of independent suspicions that reduce the time-out to `min_suspicion`.
        max_health_score: Upper limit of the local health score, which lengthens this member's time-outs.
        lifeguard: Whether the Lifeguard extensions are active; False gives SWIM as first published, for
            comparison.
        plain_suspicion: Seconds until a suspect is declared dead without Lifeguard.
        suspension_threshold: Seconds between two readings of the clock above which the process counts as
            having been suspended.
        own_rate: Rate of datagrams that this member sends on its own initiative.
        own_burst: Burst size for `own_rate`.
        answer_rate: Rate of answers to known members; also their burst size.
        greeting_rate: Rate of answers to senders that are not known yet; also their burst size.
        urgent_rate: Rate of datagrams sent only to carry member updates.
        urgent_burst: Burst size for `urgent_rate`.
        extra_rate: Rate of each of these: probes that verify another member's suspicion, probes further along
            the ring, and updates during a mass failure.
        extra_burst: Burst size for `extra_rate`.
        load_report_rate: Rate of datagrams that carry the balancer's load reports; also their burst size.
        max_members: Maximum number of members in the table.
        dead_retention: Seconds for which dead members and members that left stay in the table.
        state_period: Seconds between full-state exchanges while they bring few changes.
        digest_period: Seconds between two transmissions of register digests.
    """

    probe_period: float = 0.5
    direct_timeout: float = 0.2
    indirect_timeout: float = 0.35
    ping_helpers: int = 3
    min_suspicion: float = 1.8
    max_suspicion: float = 5.0
    confirmations: int = 3
    max_health_score: int = 8
    lifeguard: bool = True
    plain_suspicion: float = 2.4
    suspension_threshold: float = 0.75
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
    dead_retention: float = 3600.0
    state_period: float = 5.0
    digest_period: float = 1.0
