"""Between a front and the cores: what is in a canary goes to the new side, and back to the old one.

A canary of endpoints has a core of its own, with its own module, on its own part of the list, beside the one
on the rest. A canary of a setting has none: its exchanges are of another traffic type to the one module.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from hashlib import blake2b

from ..decisions.canary.canary import Canary
from ..host import Effect, Facts, Host, Listed, State, TrafficType
from ..logic import Balancer
from ..must import must
from ..protocol import peers
from ..protocol.settings import SocketSettings
from ..transport.address import Address
from ..transport.loop import Coroutine, Loop
from ..values import replace
from .core import Back, Core, Directory, Final, Finished, Given, Left, Rejected, nothing
from .facade import Decisions, Did, Facade

OWN_RATES = "~own"  # under which a side's module hears what tenants ask of the sidecar's other sides


@dataclass(frozen=True, slots=True)
class Tried:
    """What a side's module had done for an exchange by its final answer."""

    forwards: int
    spent: bool  # a part of its body has gone and is kept nowhere


@dataclass(frozen=True, slots=True)
class Entering:
    """How an exchange comes to a side."""

    crossed: bool = False
    forwards: int = 0  # that it had at another side
    types_on: int = 0  # its traffic type is the one so many further on


class Taken(deque[float]):
    """When exchanges were taken, for the budget of forwards: one that crosses is not taken twice."""

    crossing = False

    def append(self, at: float) -> None:
        if self.crossing:
            self.crossing = False
        else:
            super().append(at)


class SideFacade(Facade):
    """The host of one side's module."""

    def __init__(self, now: float, make: Callable[[Host], Decisions]) -> None:
        self.entering = Entering()  # of the exchange that is picked for next
        self.tried: dict[int, Tried] = {}
        self.spent_ones: set[int] = set()
        self.hear_other: Callable[[float, str, str], bool] = lambda now, who, message: False
        super().__init__(now, make)

    def pick(
        self,
        now: float,
        exchange: int,
        type_index: int,
        key: str | None,
        expires_at: float,
        repeat: bool,
        coming: bool = False,
        tenant: int | None = None,
    ) -> Did:
        entering, self.entering = self.entering, Entering()
        balancer = self.balancer
        if entering.crossed and isinstance(balancer, Balancer) and balancer.further:
            must(isinstance(balancer.further.taken, Taken), "the sides share one budget of forwards")
            balancer.further.taken.crossing = True  # type: ignore[attr-defined]
        did = super().pick(
            now, exchange, type_index + entering.types_on, key, expires_at, repeat, coming, tenant
        )
        if entering.forwards:
            # Guards against more forwards in all than the settings allow one exchange: it has this one.
            balancer.body_spent(now, exchange)
        return did

    def spent(self, now: float, exchange: int) -> None:
        self.spent_ones.add(exchange)
        super().spent(now, exchange)

    def final(self, exchange: int, step: object) -> None:
        self.tried[exchange] = Tried(self.sent.get(exchange, 0), exchange in self.spent_ones)
        super().final(exchange, step)  # type: ignore[arg-type]

    def forget(self, exchange: int) -> Tried:
        self.spent_ones.discard(exchange)
        return self.tried.pop(exchange, Tried(0, False))

    def heard(self, now: float, who: str, message: str) -> Did:
        return self.taken() if self.hear_other(now, who, message) else super().heard(now, who, message)


@dataclass(frozen=True, slots=True)
class Side:
    """What a further core is made of. `takes` tells of each listed line whether it is this side's."""

    name: str
    takes: Callable[[Listed], bool]
    facade: SideFacade
    directory: Directory
    back: Back


class SplitCore(Core):
    """The core of the old side, and those beside it: the list and orders reach the right one.

    Whoever knows only a core sees one. `run` is the old side's; a `CanaryRouter` chooses."""

    def __init__(
        self,
        loop: Loop,
        facade: SideFacade,
        settings: SocketSettings,
        directory: Directory,
        back: Back,
        on_watch: Callable[[], None],
        on_tick: Callable[[], None],
        sides: Sequence[Side],
    ) -> None:
        self.side_facade = facade
        super().__init__(loop, facade, settings, directory, back, on_watch, on_tick)
        self.sides = {side.name: side for side in sides}
        self.facades: dict[str, SideFacade] = {"": facade, **{side.name: side.facade for side in sides}}
        # Only the old side asks for the list, and is told that a watch failed: there is one list.
        self.further = {
            side.name: Core(loop, side.facade, settings, side.directory, side.back, nothing) for side in sides
        }
        self.cores: dict[str, Core] = {"": self, **self.further}
        self.at: dict[str, str] = {}  # the side of each endpoint that is listed
        self.out: set[str] = set()  # left out by order of the staff
        self.budget = None
        old = facade.balancer
        if isinstance(old, Balancer) and old.further is not None:
            old.further.taken = Taken(old.further.taken)
            self.budget = old.further
        for name, core in self.further.items():
            beside = side_balancer(core)
            if beside is not None:
                beside.further = self.budget
                core.tell = self.teller(name)
        facade.hear_other = self.hear_other

    def answer_by(self, deadline: float) -> None:
        super().answer_by(deadline)
        for core in self.further.values():
            core.answer_by(deadline)

    # The list.

    def list_changed(
        self, lines: tuple[Listed, ...], addresses: dict[str, Address], whole: bool, stale: bool
    ) -> None:
        parts: dict[str, list[Listed]] = {name: [] for name in self.cores}
        for line in lines:
            before = self.at.get(line.id)
            # What is going may be told without its kind: it goes where it is.
            if before is not None and line.state is not State.READY:
                side = before
            else:
                side = next((name for name, s in self.sides.items() if s.takes(line)), "")
            parts[side].append(line)
            if before is not None and before != side and not whole:
                parts[before].append(replace(line, state=State.GONE))
            if line.state is State.GONE:
                self.at.pop(line.id, None)
            else:
                self.at[line.id] = side
        if whole:
            named = {line.id for line in lines}
            self.at = {id: side for id, side in self.at.items() if id in named}
        for name, core in self.cores.items():
            part, ids = tuple(parts[name]), {line.id for line in parts[name]}
            if not part and not whole and name:
                continue  # the old side is told in any case: it knows whether the list is followed
            for id in ids & self.out - core.directory.left_out:
                Core.leave_out(core, id, True)
            Core.list_changed(
                core,
                part,
                {id: at for id, at in addresses.items() if id in ids and self.at.get(id) == name},
                whole,
                stale,
            )
        self.listed = self.listed or bool(lines) or not stale

    def leave_out(self, endpoint: str, out: bool) -> None:
        (self.out.add if out else self.out.discard)(endpoint)
        # An endpoint that no list names yet is left out by the time that one does.
        for name, core in self.cores.items():
            if endpoint in core.directory.left_out if not out else self.at.get(endpoint) == name:
                Core.leave_out(core, endpoint, out)

    def peer_gone(self, who: str) -> None:
        for name, core in self.cores.items():
            for known in (who, *(f"{who}~{other}" for other in self.cores if other != name)):
                core.facade.peer_gone(self.loop.now(), known)

    # Word of the other sidecars: each side's module hears its like alone, and what tenants ask of all.

    def teller(self, name: str) -> Callable[[str], None]:
        return lambda message: self.tell(prefix(name) + message)

    def hear_other(self, now: float, who: str, message: str) -> bool:
        """Whether it was another side's. Raises ValueError where it is no message at all."""
        for name, core in self.further.items():
            if message.startswith(prefix(name)):
                core.apply(core.facade.heard(now, who, message[len(prefix(name)) :]))
                self.share_rates(now, who, name)
                return True
        if message.startswith(peers.FACTS):
            old = side_balancer(self)
            if old is not None:
                peers.hear(old.pool, now, who, message)
                self.share_rates(now, who, "")
                return True
        return False

    def share_rates(self, now: float, who: str, name: str) -> None:
        """Guards against a tenant that asks less of each side than it may ask of all."""
        source = side_balancer(self.cores[name])
        told = source.pool.facts.get(who) if source is not None else None
        for other, core in self.cores.items():
            beside = side_balancer(core)
            if other != name and beside is not None and told is not None:
                beside.pool.learnt(now, f"{who}~{name}", Facts(told[1].rates, {}))

    def share_own_rates(self, now: float) -> None:
        for name, core in self.cores.items():
            source = side_balancer(core)
            for other, beside in ((o, side_balancer(c)) for o, c in self.cores.items()):
                if other != name and source is not None and beside is not None and source.tells:
                    beside.pool.learnt(now, f"{OWN_RATES}~{name}", Facts(tuple(source.rates), {}))

    # One exchange.

    def run_at(
        self, name: str, given: Given, gone: Callable[[], bool], entering: Entering
    ) -> Coroutine[tuple[Final, Tried]]:
        core, facade = self.cores[name], self.facades[name]
        exchange, facade.entering = core.taken + 1, entering  # nothing else runs until the module was asked
        try:
            final = yield from Core.run(core, given, gone)
        finally:
            tried = facade.forget(exchange)
        return final, tried

    def may_cross(self, kind: TrafficType, final: Final, tried: Tried) -> bool:
        """Whether what one side turned away may go to another, by the rules and the budget that bind one
        module: a binding exchange only if it never ran, and no more forwards in all."""
        if (
            not isinstance(final, Rejected)
            or tried.spent
            or (final.ran and kind.effect is not Effect.RETRIABLE)
        ):
            return False
        balancer = side_balancer(self)
        if not tried.forwards or balancer is None:
            return True
        return tried.forwards < balancer.max_forwards and (
            self.budget is None
            or self.budget.allows(
                self.loop.now(), kind.value / balancer.most_value if balancer.most_value else 0.0
            )
        )

    def cross(
        self, name: str, given: Given, gone: Callable[[], bool], tried: Tried, types_on: int = 0
    ) -> Coroutine[tuple[Final, Tried]]:
        if tried.forwards and self.budget is not None:
            self.budget.sent.append(self.loop.now())
        return (yield from self.run_at(name, given, gone, Entering(True, tried.forwards, types_on)))


def prefix(name: str) -> str:
    return f"~{blake2b(name.encode(), digest_size=4).hexdigest()}:"


def side_balancer(core: Core) -> Balancer | None:
    balancer = core.facade.balancer
    return balancer if isinstance(balancer, Balancer) else None


def add_types(core: SplitCore, changed: Callable[[int, TrafficType], TrafficType]) -> int:
    """Further traffic types for the module of the old side; how many further on each stands."""
    balancer = side_balancer(core)
    assert balancer is not None
    first = list(balancer.types[: len(core.settings.type_names)])
    on = len(balancer.types)
    balancer.types = [*balancer.types, *(changed(n, kind) for n, kind in enumerate(first))]
    return on


@dataclass(frozen=True, slots=True)
class Ready:
    """A canary and how its exchanges go: to a side of its own, or as a further traffic type."""

    canary: Canary
    side: str = ""
    types_on: int = 0


class CanaryRouter:
    """Takes what fronts bring."""

    def __init__(
        self, loop: Loop, core: SplitCore, types: Sequence[TrafficType], ready: Iterable[Ready]
    ) -> None:
        self.loop, self.core, self.types, self.ready = loop, core, types, list(ready)
        self.crossed = 0
        # Where both sides have the same endpoints, turning away is what a setting does.
        self.apart = {r.canary.terms.name: bool(r.side) for r in self.ready}
        self.sent: dict[str, int] = {r.canary.terms.name: 0 for r in self.ready}

    def run(self, given: Given, gone: Callable[[], bool]) -> Coroutine[Final]:
        begun, kind = self.loop.now(), self.types[given.type_index]
        request_id = str(getattr(given, "request_id", ""))
        chosen = next((r for r in self.ready if r.canary.takes(begun, given.key, request_id)), None)
        if chosen is None:
            final, tried = yield from self.core.run_at("", given, gone, Entering())
            for r in self.ready:
                self.count(r.canary, False, given, kind, begun, final, tried)
            return final
        self.sent[chosen.canary.terms.name] += 1
        entering = Entering(types_on=chosen.types_on)
        final, tried = yield from self.core.run_at(chosen.side, given, gone, entering)
        self.count(chosen.canary, True, given, kind, begun, final, tried)
        if (
            chosen.side
            and self.core.may_cross(kind, final, tried)
            and self.loop.now() < given.expires_at
            and not gone()
        ):
            self.crossed += 1
            final, _ = yield from self.core.cross("", given, gone, tried)
        return final

    def count(
        self,
        canary: Canary,
        new: bool,
        given: Given,
        kind: TrafficType,
        begun: float,
        final: Final,
        tried: Tried,
    ) -> None:
        """What an exchange tells of its side, by the time that it took itself."""
        now = self.loop.now()
        # The times of a body that came meanwhile are not known here: it can fail, but is never late.
        late = given.expiry is None and now - begun > kind.promised_time
        if isinstance(final, Rejected) and not tried.forwards and self.apart[canary.terms.name]:
            canary.turned(now, new)  # the side had no room: no word on what runs there
        elif isinstance(final, Finished):
            canary.ended(now, new, kind.effect, late)
        elif not isinstance(final, Left) or late:
            canary.ended(now, new, kind.effect, True)
