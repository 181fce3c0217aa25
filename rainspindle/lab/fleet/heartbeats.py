"""A baseline: each member tells each other each second that it is there, and is dead after silence."""

from __future__ import annotations

import math

from ...decisions.members.member import Member, MemberStatus
from .virtual import Process

PERIOD = 1.0  # seconds between heartbeats to each other member
SILENCE = 3.5  # seconds after which one is dead


class Heartbeats:
    """All members are known beforehand: what is compared is how deaths are found out, and at what price."""

    def __init__(self, process: Process, names: list[str]) -> None:
        self.process, self.names = process, names
        self.heard = {name: process.world.now for name in names}
        self.dead: set[str] = set()
        self.gossip_due_at = math.inf  # nothing is gossiped
        self.next = process.world.now + process.world.chance.random() * PERIOD

    def on_datagram(self, now: float, data: bytes) -> None:
        name = data[:24].rstrip(b"\0").decode()
        self.heard[name] = now
        if name in self.dead:
            self.dead.discard(name)
            self.tell(name, MemberStatus.DEAD, MemberStatus.ALIVE)

    def on_timer(self, now: float) -> float:
        if now >= self.next:
            self.next += PERIOD
            data = self.process.name.encode().ljust(24, b"\0") + bytes(16)  # life and number
            for name in self.names:
                if name != self.process.name:
                    self.process.send(self.process.world.processes[name].address, data)
        for name, heard in self.heard.items():
            if now - heard > SILENCE and name not in self.dead and name != self.process.name:
                self.dead.add(name)
                self.tell(name, MemberStatus.ALIVE, MemberStatus.DEAD)
        return min(self.next, now + 0.5)

    def leave(self, now: float) -> None: ...

    def tell(self, name: str, before: MemberStatus, after: MemberStatus) -> None:
        self.process.on_member_changed(self.member(name, before), self.member(name, after))

    def member(self, name: str, standing: MemberStatus) -> Member:
        return Member(name, self.process.address, 0, 0, standing, self.heard[name], self.heard[name])

    def members(self) -> list[Member]:
        return [
            self.member(name, MemberStatus.DEAD if name in self.dead else MemberStatus.ALIVE)
            for name in self.names
        ]
