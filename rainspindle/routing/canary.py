"""Between a front and the cores: what is in a canary goes to the new side, and back to the old one.

A canary of endpoints has a core of its own, with its own module, on its own part of the list, beside the one
on the rest. A canary of a setting has none: its exchanges are of another traffic type to the one module.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from hashlib import blake2b

from ..balancer.balancer import Balancer
from ..balancer.host import (
    BalancerHost,
    EndpointStatus,
    Idempotency,
    LearnedState,
    ListedEndpoint,
    TrafficClass,
)
from ..decisions.canary.canary import Canary
from ..lazy_dataclasses import replace
from ..protocol import peers
from ..protocol.settings import SocketSettings
from ..transport.address import Address
from ..transport.loop import Coroutine, Loop
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


class SideFacade(Facade):
    """The host of one side's module."""

    def __init__(self, now: float, make: Callable[[BalancerHost], Decisions]) -> None:
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
        if entering.crossed and isinstance(balancer, Balancer) and balancer.retry_budget:
            balancer.retry_budget.skip_next_request()  # the sides share one budget, which has counted it
        did = super().pick(
            now, exchange, type_index + entering.types_on, key, expires_at, repeat, coming, tenant
        )
        if entering.forwards:
            # Guards against more forwards in all than the settings allow one exchange: it has this one.
            balancer.on_body_consumed(exchange)
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
    takes: Callable[[ListedEndpoint], bool]
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
        old = facade.balancer
        budget = old.retry_budget if isinstance(old, Balancer) else None
        for name, core in self.further.items():
            beside = side_balancer(core)
            if beside is not None:
                beside.retry_budget = budget
                core.tell = self.teller(name)
        facade.hear_other = self.hear_other

    def answer_by(self, deadline: float) -> None:
        super().answer_by(deadline)
        for core in self.further.values():
            core.answer_by(deadline)

    # The list.

    def list_changed(
        self, lines: tuple[ListedEndpoint, ...], addresses: dict[str, Address], whole: bool, stale: bool
    ) -> None:
        parts: dict[str, list[ListedEndpoint]] = {name: [] for name in self.cores}
        for line in lines:
            before = self.at.get(line.id)
            # What is going may be told without its kind: it goes where it is.
            if before is not None and line.status is not EndpointStatus.READY:
                side = before
            else:
                side = next((name for name, s in self.sides.items() if s.takes(line)), "")
            parts[side].append(line)
            if before is not None and before != side and not whole:
                parts[before].append(replace(line, status=EndpointStatus.GONE))
            if line.status is EndpointStatus.GONE:
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
        if message.startswith(peers.LEARNED_STATE):
            old = side_balancer(self)
            if old is not None:
                peers.receive(old.peer_load, now, who, message)
                self.share_rates(now, who, "")
                return True
        return False

    def share_rates(self, now: float, who: str, name: str) -> None:
        """Guards against a tenant that asks less of each side than it may ask of all."""
        source = side_balancer(self.cores[name])
        told = source.peer_load.learned.get(who) if source is not None else None
        for other, core in self.cores.items():
            beside = side_balancer(core)
            if other != name and beside is not None and told is not None:
                beside.peer_load.on_learned_state(
                    now, f"{who}~{name}", LearnedState(told.state.request_rates, {})
                )

    def share_own_rates(self, now: float) -> None:
        for name, core in self.cores.items():
            source = side_balancer(core)
            for other, beside in ((o, side_balancer(c)) for o, c in self.cores.items()):
                if other != name and source is not None and beside is not None and source.config.share_load:
                    rates = tuple(source.quotas.rates)
                    beside.peer_load.on_learned_state(now, f"{OWN_RATES}~{name}", LearnedState(rates, {}))

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

    def may_cross(self, kind: TrafficClass, final: Final, tried: Tried) -> bool:
        """Whether what one side turned away may go to another, by the rules and the budget that bind one
        module: a binding exchange only if it never ran, and no more forwards in all."""
        if (
            not isinstance(final, Rejected)
            or tried.spent
            or (final.ran and kind.idempotency is not Idempotency.IDEMPOTENT)
        ):
            return False
        balancer = side_balancer(self)
        if not tried.forwards or balancer is None:
            return True
        return balancer.allows_retry(kind, tried.forwards, self.loop.now())

    def cross(
        self, name: str, given: Given, gone: Callable[[], bool], tried: Tried, types_on: int = 0
    ) -> Coroutine[tuple[Final, Tried]]:
        balancer = side_balancer(self)
        if tried.forwards and balancer is not None and balancer.retry_budget is not None:
            balancer.retry_budget.record_retry(self.loop.now())
        return (yield from self.run_at(name, given, gone, Entering(True, tried.forwards, types_on)))


def prefix(name: str) -> str:
    return f"~{blake2b(name.encode(), digest_size=4).hexdigest()}:"


def side_balancer(core: Core) -> Balancer | None:
    balancer = core.facade.balancer
    return balancer if isinstance(balancer, Balancer) else None


def add_types(core: SplitCore, changed: Callable[[int, TrafficClass], TrafficClass]) -> int:
    """Further traffic types for the module of the old side; how many further on each stands."""
    balancer = side_balancer(core)
    assert balancer is not None
    first = list(balancer.traffic_classes[: len(core.settings.type_names)])
    return balancer.add_traffic_classes([changed(n, kind) for n, kind in enumerate(first)])


@dataclass(frozen=True, slots=True)
class Ready:
    """A canary and how its exchanges go: to a side of its own, or as a further traffic type."""

    canary: Canary
    side: str = ""
    types_on: int = 0


class CanaryRouter:
    """Takes what fronts bring."""

    def __init__(
        self, loop: Loop, core: SplitCore, types: Sequence[TrafficClass], ready: Iterable[Ready]
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
        kind: TrafficClass,
        begun: float,
        final: Final,
        tried: Tried,
    ) -> None:
        """What an exchange tells of its side, by the time that it took itself."""
        now = self.loop.now()
        # The times of a body that came meanwhile are not known here: it can fail, but is never late.
        late = given.expiry is None and now - begun > kind.latency_objective
        if isinstance(final, Rejected) and not tried.forwards and self.apart[canary.terms.name]:
            canary.record_rejection(now, new)  # the side had no room: no word on what runs there
        elif isinstance(final, Finished):
            canary.ended(now, new, kind.idempotency, late)
        elif not isinstance(final, Left) or late:
            canary.ended(now, new, kind.idempotency, True)
