"""Routes requests between the old side and the new sides of canaries; stands between a front and the cores.

A canary of endpoints has a core and a balancer of its own for its part of the endpoint list; the old side's
core has the rest. A canary of a setting has none: its requests are of another traffic class in the old side's
balancer.
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
from .facade import BalancerInterface, Effects, Facade

# The peer name under which a side's balancer receives the request rates of the sidecar's other sides.
OWN_RATES = "~own"


@dataclass(frozen=True, slots=True)
class SideAttempts:
    """What a side had done for a request by its final response."""

    count: int
    body_consumed: bool  # a part of the body was sent and is not kept, so that it cannot be sent again


@dataclass(frozen=True, slots=True)
class SideEntry:
    """How a request comes to a side."""

    is_fallback: bool = False  # another side rejected it before
    prior_attempts: int = 0  # at another side
    class_offset: int = 0  # added to the index of its traffic class


class SideFacade(Facade):
    """The host of one side's balancer."""

    def __init__(self, now: float, make: Callable[[BalancerHost], BalancerInterface]) -> None:
        """`make` creates the balancer for this host."""
        self.next_entry = SideEntry()  # of the request that `pick` is called for next
        self.side_attempts: dict[int, SideAttempts] = {}  # by request, until `take_attempts`
        self.consumed_bodies: set[int] = set()  # requests
        # Passes on a peer's message that is for other sides; returns whether it was.
        self.receive_for_others: Callable[[float, str, str], bool] = lambda now, who, message: False
        super().__init__(now, make)

    def start_request(
        self,
        now: float,
        request: int,
        type_index: int,
        key: str | None,
        expires_at: float,
        repeat: bool,
        coming: bool = False,
        tenant: int | None = None,
    ) -> Effects:
        """Picks for a request by way of `next_entry`; see `Facade.pick`."""
        entry, self.next_entry = self.next_entry, SideEntry()
        balancer = self.balancer
        if entry.is_fallback and isinstance(balancer, Balancer) and balancer.retry_budget:
            balancer.retry_budget.skip_next_request()  # the sides share one budget, which has counted it
        did = super().start_request(
            now, request, type_index + entry.class_offset, key, expires_at, repeat, coming, tenant
        )
        if entry.prior_attempts:
            # Guards against more attempts over all sides than the settings allow: the request gets one here.
            balancer.on_body_consumed(request)
        return did

    def body_consumed(self, now: float, request: int) -> None:
        """Records that a part of the request's body was sent and is not kept."""
        self.consumed_bodies.add(request)
        super().body_consumed(now, request)

    def finish(self, request: int, step: object) -> None:
        """Records the request's attempts together with its final response."""
        self.side_attempts[request] = SideAttempts(
            self.attempt_counts.get(request, 0), request in self.consumed_bodies
        )
        super().finish(request, step)  # type: ignore[arg-type]

    def take_attempts(self, request: int) -> SideAttempts:
        """Returns what this side had done for the request, and forgets it."""
        self.consumed_bodies.discard(request)
        return self.side_attempts.pop(request, SideAttempts(0, False))

    def receive_message(self, now: float, who: str, message: str) -> Effects:
        """Takes in a peer's message, unless it is for another side. Raises ValueError if it is malformed."""
        return (
            self.taken()
            if self.receive_for_others(now, who, message)
            else super().receive_message(now, who, message)
        )


@dataclass(frozen=True, slots=True)
class Side:
    """What the core of a new side is made of."""

    name: str
    includes: Callable[[ListedEndpoint], bool]  # whether a listed endpoint belongs to this side
    facade: SideFacade
    directory: Directory
    back: Back


class SplitCore(Core):
    """The core of the old side, which also owns the cores of the new sides.

    It passes on the endpoint list, operators' orders and peers' messages to the core they are for, so that
    callers can use it as a single core. `run` is the old side's; a `CanaryRouter` chooses between the sides.
    """

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
        """`sides`: the new sides; the other parameters are those of `Core`, for the old side."""
        self.side_facade = facade
        super().__init__(loop, facade, settings, directory, back, on_watch, on_tick)
        self.sides = {side.name: side for side in sides}
        self.facades: dict[str, SideFacade] = {"": facade, **{side.name: side.facade for side in sides}}
        # Only the old side watches the list and is notified of a failed watch, as there is one list.
        self.other_cores = {
            side.name: Core(loop, side.facade, settings, side.directory, side.back, nothing) for side in sides
        }
        self.cores: dict[str, Core] = {"": self, **self.other_cores}
        self.side_by_endpoint: dict[str, str] = {}  # of all listed endpoints
        self.excluded_ids: set[str] = set()  # endpoints that an operator excluded
        old = facade.balancer
        budget = old.retry_budget if isinstance(old, Balancer) else None
        for name, core in self.other_cores.items():
            target = side_balancer(core)
            if target is not None:
                target.retry_budget = budget
                core.tell = self.sender(name)
        facade.receive_for_others = self.receive_for_others

    def answer_by(self, deadline: float) -> None:
        """Answers the requests of all sides by the deadline; see `Core.answer_by`."""
        super().answer_by(deadline)
        for core in self.other_cores.values():
            core.answer_by(deadline)

    # Endpoint list.

    def list_changed(
        self, lines: tuple[ListedEndpoint, ...], addresses: dict[str, Address], whole: bool, stale: bool
    ) -> None:
        """Passes each listed endpoint on to its side; one that changes sides is gone from the former one."""
        parts: dict[str, list[ListedEndpoint]] = {name: [] for name in self.cores}
        for line in lines:
            before = self.side_by_endpoint.get(line.id)
            # An endpoint that is draining or gone may be listed without its kind: its side does not change.
            if before is not None and line.status is not EndpointStatus.READY:
                side = before
            else:
                side = next((name for name, s in self.sides.items() if s.includes(line)), "")
            parts[side].append(line)
            if before is not None and before != side and not whole:
                parts[before].append(replace(line, status=EndpointStatus.GONE))
            if line.status is EndpointStatus.GONE:
                self.side_by_endpoint.pop(line.id, None)
            else:
                self.side_by_endpoint[line.id] = side
        if whole:
            listed_ids = {line.id for line in lines}
            self.side_by_endpoint = {
                endpoint: side for endpoint, side in self.side_by_endpoint.items() if endpoint in listed_ids
            }
        for name, core in self.cores.items():
            part, part_ids = tuple(parts[name]), {line.id for line in parts[name]}
            if not part and not whole and name:
                continue  # the old side is notified in any case: it tracks whether the list is followed
            for endpoint in part_ids & self.excluded_ids - core.directory.left_out:
                Core.leave_out(core, endpoint, True)
            Core.list_changed(
                core,
                part,
                {
                    endpoint: address
                    for endpoint, address in addresses.items()
                    if endpoint in part_ids and self.side_by_endpoint.get(endpoint) == name
                },
                whole,
                stale,
            )
        self.listed = self.listed or bool(lines) or not stale

    def leave_out(self, endpoint: str, out: bool) -> None:
        """Excludes an endpoint by an operator's order, or includes it again; see `Core.leave_out`."""
        (self.excluded_ids.add if out else self.excluded_ids.discard)(endpoint)
        # An endpoint that is not listed yet is excluded by `list_changed` when it is.
        for name, core in self.cores.items():
            if (
                endpoint in core.directory.left_out
                if not out
                else self.side_by_endpoint.get(endpoint) == name
            ):
                Core.leave_out(core, endpoint, out)

    def peer_gone(self, who: str) -> None:
        """Discards at all sides what a peer reported; see `Core.peer_gone`."""
        for name, core in self.cores.items():
            for known in (who, *(f"{who}~{other}" for other in self.cores if other != name)):
                core.facade.peer_gone(self.loop.now(), known)

    # Reports of peers. A side's balancer receives those of the same side at other sidecars, and the tenants'
    # request rates at all sides.

    def sender(self, name: str) -> Callable[[str], None]:
        """Returns a function that sends a message to the side of this name at all peers."""
        return lambda message: self.tell(side_prefix(name) + message)

    def receive_for_others(self, now: float, who: str, message: str) -> bool:
        """Takes in a peer's message for a new side, or with learned state, which concerns all sides.

        Returns whether it was one of these; if not, it is for the old side. Raises ValueError if malformed.
        """
        for name, core in self.other_cores.items():
            if message.startswith(side_prefix(name)):
                core.apply(core.facade.receive_message(now, who, message[len(side_prefix(name)) :]))
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
        """Passes the request rates that a peer reported to one side on to this sidecar's other sides.

        Guards against a tenant that stays within its quota at each side and exceeds it in total.
        """
        source = side_balancer(self.cores[name])
        learned = source.peer_load.learned.get(who) if source is not None else None
        for other, core in self.cores.items():
            target = side_balancer(core)
            if other != name and target is not None and learned is not None:
                target.peer_load.on_learned_state(
                    now, f"{who}~{name}", LearnedState(learned.state.request_rates, {})
                )

    def share_own_rates(self, now: float) -> None:
        """Passes the tenants' request rates at each side of this sidecar on to its other sides."""
        for name, core in self.cores.items():
            source = side_balancer(core)
            for other, target in ((o, side_balancer(c)) for o, c in self.cores.items()):
                if other != name and source is not None and target is not None and source.config.share_load:
                    rates = tuple(source.quotas.rates)
                    target.peer_load.on_learned_state(now, f"{OWN_RATES}~{name}", LearnedState(rates, {}))

    # Requests.

    def run_on_side(
        self, name: str, given: Given, gone: Callable[[], bool], entry: SideEntry
    ) -> Coroutine[tuple[Final, SideAttempts]]:
        """Runs a request at the side of this name; returns its final response and what the side had done."""
        core, facade = self.cores[name], self.facades[name]
        request, facade.next_entry = core.taken + 1, entry  # no other request runs before `pick` is called
        try:
            final = yield from Core.run(core, given, gone)
        finally:
            attempts = facade.take_attempts(request)
        return final, attempts

    def may_fall_back(self, kind: TrafficClass, final: Final, attempts: SideAttempts) -> bool:
        """Whether a request that one side rejected may be sent to another.

        It must satisfy the rules and the retry budget that bind a single balancer: a request that is not
        idempotent only if it was never executed, and no more attempts in total.
        """
        if (
            not isinstance(final, Rejected)
            or attempts.body_consumed
            or (final.ran and kind.idempotency is not Idempotency.IDEMPOTENT)
        ):
            return False
        balancer = side_balancer(self)
        if not attempts.count or balancer is None:
            return True
        return balancer.allows_retry(kind, attempts.count, self.loop.now())

    def fall_back(
        self, name: str, given: Given, gone: Callable[[], bool], attempts: SideAttempts, class_offset: int = 0
    ) -> Coroutine[tuple[Final, SideAttempts]]:
        """Runs a request that another side rejected at the side of this name."""
        balancer = side_balancer(self)
        if attempts.count and balancer is not None and balancer.retry_budget is not None:
            balancer.retry_budget.record_retry(self.loop.now())
        return (yield from self.run_on_side(name, given, gone, SideEntry(True, attempts.count, class_offset)))


def side_prefix(name: str) -> str:
    """The prefix of messages for the new side of this name."""
    return f"~{blake2b(name.encode(), digest_size=4).hexdigest()}:"


def side_balancer(core: Core) -> Balancer | None:
    """The balancer of a core; None for a baseline of the lab."""
    balancer = core.facade.balancer
    return balancer if isinstance(balancer, Balancer) else None


def add_variant_classes(core: SplitCore, variant: Callable[[int, TrafficClass], TrafficClass]) -> int:
    """Adds a variant of each configured traffic class to the old side's balancer.

    `variant` takes a class's index and the class. Returns the offset from its index to that of its variant.
    """
    balancer = side_balancer(core)
    assert balancer is not None
    configured = list(balancer.traffic_classes[: len(core.settings.type_names)])
    return balancer.add_traffic_classes([variant(n, kind) for n, kind in enumerate(configured)])


@dataclass(frozen=True, slots=True)
class CanaryRoute:
    """A canary and where its requests go: to a side of its own, or to other traffic classes."""

    canary: Canary
    side: str = ""  # the old side
    class_offset: int = 0


class CanaryRouter:
    """Assigns each request that a front brings to a side, and counts the results for the canaries."""

    def __init__(
        self, loop: Loop, core: SplitCore, types: Sequence[TrafficClass], routes: Iterable[CanaryRoute]
    ) -> None:
        """`types`: the configured traffic classes. A request takes the first route whose canary takes it."""
        self.loop, self.core, self.types, self.routes = loop, core, types, list(routes)
        self.fallbacks = 0
        # Where both sides share their endpoints, a rejection is due to the setting and counts as failed.
        self.has_own_side = {route.canary.terms.name: bool(route.side) for route in self.routes}
        self.sent: dict[str, int] = {route.canary.terms.name: 0 for route in self.routes}

    def run(self, given: Given, gone: Callable[[], bool]) -> Coroutine[Final]:
        """Runs a request at its side, and at the old side if the new one rejects it; see `Taker.run`."""
        begun, kind = self.loop.now(), self.types[given.type_index]
        request_id = str(getattr(given, "request_id", ""))
        chosen = next(
            (route for route in self.routes if route.canary.takes(begun, given.key, request_id)), None
        )
        if chosen is None:
            final, attempts = yield from self.core.run_on_side("", given, gone, SideEntry())
            for route in self.routes:
                self.record_result(route.canary, False, given, kind, begun, final, attempts)
            return final
        self.sent[chosen.canary.terms.name] += 1
        entry = SideEntry(class_offset=chosen.class_offset)
        final, attempts = yield from self.core.run_on_side(chosen.side, given, gone, entry)
        self.record_result(chosen.canary, True, given, kind, begun, final, attempts)
        if (
            chosen.side
            and self.core.may_fall_back(kind, final, attempts)
            and self.loop.now() < given.expires_at
            and not gone()
        ):
            self.fallbacks += 1
            final, _ = yield from self.core.fall_back("", given, gone, attempts)
        return final

    def record_result(
        self,
        canary: Canary,
        new: bool,
        given: Given,
        kind: TrafficClass,
        begun: float,
        final: Final,
        attempts: SideAttempts,
    ) -> None:
        """Counts a request for its side; its latency is the time that it spent at this side."""
        now = self.loop.now()
        # When the body arrived while the request ran is not known here: such a request can fail but is never
        # late.
        late = given.expiry is None and now - begun > kind.latency_objective
        if isinstance(final, Rejected) and not attempts.count and self.has_own_side[canary.terms.name]:
            canary.record_rejection(now, new)  # the side had no capacity: says nothing about the release
        elif isinstance(final, Finished):
            canary.ended(now, new, kind.idempotency, late)
        elif not isinstance(final, Left) or late:
            canary.ended(now, new, kind.idempotency, True)
