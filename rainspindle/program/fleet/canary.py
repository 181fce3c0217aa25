"""Canaries in the program: configuration tables, cores for the sides, and console calls."""

from __future__ import annotations

import logging
import re
import time
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence
from functools import partial
from typing import Any

import msgspec

from ...balancer.host import ListedEndpoint, TrafficClass
from ...decisions.canary.canary import Canary
from ...decisions.canary.terms import Step, Terms
from ...decisions.members.member import Member, MemberStatus
from ...decisions.shared.registers import Register
from ...errors import Trouble
from ...lazy_dataclasses import replace
from ...protocol.settings import make_balancer, traffic_type
from ...routing.canary import CanaryRoute, CanaryRouter, Side, SideFacade, SplitCore, add_variant_classes
from ...routing.core import Back, Directory, Taker
from ...store.file import Missing, StoredFile, Unfit
from ...transport.loop import Loop
from ..config import Config
from .ground import Answer, Ground

log = logging.getLogger("rainspindle.canary")

NAME = re.compile(r"[A-Za-z0-9_.-]{1,60}")
KIND, VERSION, MOST_KEPT = 5, 1, 4096  # of the state file: its kind, its version, its size limit in bytes
MAX_STAGES, MAX_SHARE = 100, 0.95
# Members that receive a decision directly from the one that makes it; gossip carries it to the others.
DIRECT_RECIPIENTS = 50
ACTIONS = ("start", "pause", "resume", "abort")


class StagePart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One entry of `stages`: share of keys, minimum seconds, minimum requests on the new side."""

    part: float
    time: float
    exchanges: int


class SettingPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A setting of one traffic class that is to change; one balancer can apply old and new value."""

    traffic_type: str
    promised_time: float | None = None  # milliseconds, as in the settings
    value: float | None = None


class CanaryPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A `[[canary]]` table of the fleet file.

    One of `endpoints`, `kind` and `setting` names what is new. Times are in seconds. `terms` gives the other
    fields to `Terms`, which describes them.
    """

    name: str
    stages: tuple[StagePart, ...]
    endpoints: tuple[str, ...] | None = None
    kind: str | None = None
    setting: SettingPart | None = None
    budget: float = 0.01
    long: float = 300.0
    short: float = 30.0
    pause_at: float = 2.0
    abort_at: float = 10.0
    fresh: float = 0.9
    hold: float = 0.5
    alone_after: float = 5.0
    each_effect: int = 20

    @property
    def matter(self) -> str:
        """Identifies what is new, alike at every sidecar; a change of it needs a restart."""
        if self.setting is not None:
            return f"setting {self.setting.traffic_type} {self.setting.promised_time} {self.setting.value}"
        if self.kind is not None:
            return f"kind {self.kind}"
        return f"endpoints {' '.join(sorted(self.endpoints or ()))}"

    def terms(self) -> Terms:
        """The terms as all sidecars must agree on them."""
        steps = tuple(Step(s.part, s.time, s.exchanges) for s in self.stages)
        return Terms(
            self.name,
            self.matter,
            steps,
            self.budget,
            self.long,
            self.short,
            self.pause_at,
            self.abort_at,
            self.fresh,
            self.hold,
            self.alone_after,
            self.each_effect,
        )


def unfit(tables: Sequence[CanaryPart], config: Config) -> Iterator[str]:
    """Yields the errors of the tables, each with the path of its key."""
    names = Counter(table.name for table in tables)
    taken: dict[str, int] = {}
    for n, table in enumerate(tables):
        path = f"canary[{n}]"
        if not NAME.fullmatch(table.name):
            yield f"{path}.name: {table.name!r:.80} is not 1 to 60 characters of A-Z a-z 0-9 _ . -"
        elif names[table.name] > 1:
            yield f"{path}.name: {table.name!r} names {names[table.name]} canaries"
        named = [key for key in ("endpoints", "kind", "setting") if getattr(table, key) is not None]
        if len(named) != 1:
            yield (
                f"{path}: names {' and '.join(named) or 'nothing'} as new; give exactly one of 'endpoints', "
                "'kind' and 'setting'"
            )
        for endpoint in table.endpoints or ():
            if taken.setdefault(endpoint, n) != n:
                yield f"{path}.endpoints: {endpoint!r} is also in canary[{taken[endpoint]}]"
        if table.endpoints is not None and not table.endpoints:
            yield f"{path}.endpoints: is empty"
        if table.kind is not None and table.kind not in config.settings.kinds:
            yield (
                f"{path}.kind: {table.kind!r} is not a kind of the settings: "
                f"{', '.join(config.settings.kinds) or 'they have none'}"
            )
        elif table.kind is not None and taken.setdefault(f"kind {table.kind}", n) != n:
            yield f"{path}.kind: {table.kind!r} is also taken by canary[{taken[f'kind {table.kind}']}]"
        if table.setting is not None:
            yield from validate_setting(f"{path}.setting", table.setting, config)
        yield from validate_numbers(path, table)


def validate_setting(path: str, setting: SettingPart, config: Config) -> Iterator[str]:
    """Yields the errors of the `setting` table whose path is `path`."""
    types = {t["name"]: t for t in config.raw_settings["traffic-types"]}
    if setting.traffic_type not in types:
        yield f"{path}.traffic_type: {setting.traffic_type!r} is not one of the settings: {', '.join(types)}"
        return
    if (setting.promised_time is None) == (setting.value is None):
        yield f"{path}: give exactly one of 'promised_time' and 'value': a canary judges one change at a time"
    expiry = float(types[setting.traffic_type]["expiry"])
    if setting.promised_time is not None and not 0 < setting.promised_time <= expiry:
        yield (
            f"{path}.promised_time: {setting.promised_time} ms is not above 0 and at most the traffic type's "
            f"expiry, {expiry} ms"
        )
    highest = max(traffic_type(t).priority_weight for t in types.values())
    if setting.value is not None and not 0 <= setting.value <= highest:
        yield (
            f"{path}.value: {setting.value} is not from 0 to {highest}, the highest value in the settings, "
            "on which the retry budget depends"
        )


def validate_numbers(path: str, table: CanaryPart) -> Iterator[str]:
    """Yields the errors of the stages and limits in the `[[canary]]` table whose path is `path`."""
    if not 1 <= len(table.stages) <= MAX_STAGES:
        yield f"{path}.stages: has {len(table.stages)} entries; give 1 to {MAX_STAGES}"
    before = 0.0
    for n, stage in enumerate(table.stages):
        if not before < stage.part <= MAX_SHARE:
            yield (
                f"{path}.stages[{n}].part: {stage.part} is not above {before} and at most {MAX_SHARE}: each "
                "stage takes more keys than the one before, the old side keeps some as the baseline, and "
                "after the last stage all keys go to the new side"
            )
        before = max(before, stage.part)
        if not 0 <= stage.time < 1e7 or stage.exchanges < 1:
            yield (
                f"{path}.stages[{n}]: requires 0 s <= time < 10000000 s and exchanges >= 1, "
                f"not {stage.time} and {stage.exchanges}"
            )
    if not 0 < table.budget < 1:
        yield f"{path}.budget: {table.budget} is not between 0 and 1"
    if not 1.0 <= table.short < table.long <= 86_400:
        yield f"{path}: requires 1 s <= short < long <= 86400 s, not {table.short} and {table.long}"
    if not 1 <= table.pause_at <= table.abort_at:
        yield f"{path}: requires 1 <= pause_at <= abort_at, not {table.pause_at} and {table.abort_at}"
    if not 0.5 < table.fresh <= 1:
        yield f"{path}.fresh: {table.fresh} is not above 0.5 and at most 1"
    if not 0 <= table.hold < table.fresh:
        yield f"{path}.hold: {table.hold} is not at least 0 and below fresh, {table.fresh}"
    if not 1 <= table.alone_after <= 3600:
        yield f"{path}.alone_after: {table.alone_after} is not from 1 to 3600 s"
    if table.each_effect < 0:
        yield f"{path}.each_effect: {table.each_effect} is below 0"


def make_split_core(
    loop: Loop,
    config: Config,
    tables: Sequence[CanaryPart],
    make_back: Callable[[Directory], Back],
    on_watch: Callable[[], None],
    on_tick: Callable[[], None],
) -> SplitCore:
    """Creates the core of a sidecar whose file has canaries, with a side for each one of endpoints."""
    settings = config.raw_settings
    limits = settings["policy-limits"]
    # Guards against a request that uses up its attempts on a new side whose endpoints have failed: a new side
    # gets one attempt fewer, which is left for the old side.
    new_side_settings = {
        **settings,
        "policy-limits": {**limits, "max-forwards": max(1, limits["max-forwards"] - 1)},
    }

    def facade(seed: int, side_settings: dict[str, Any]) -> SideFacade:
        now = loop.now()
        return SideFacade(now, lambda host: make_balancer(host, seed, now, side_settings))

    sides = []
    for n, table in enumerate(tables):
        if table.setting is None:
            directory = Directory()
            sides.append(
                Side(
                    table.name,
                    endpoint_filter(table, config),
                    facade(config.seed + 1 + n, new_side_settings),
                    directory,
                    make_back(directory),
                )
            )
    directory = Directory()
    return SplitCore(
        loop,
        facade(config.seed, settings),
        config.settings,
        directory,
        make_back(directory),
        on_watch,
        on_tick,
        sides,
    )


def endpoint_filter(table: CanaryPart, config: Config) -> Callable[[ListedEndpoint], bool]:
    """Returns a function that tells whether a listed endpoint belongs to the new side."""
    if table.kind is not None:
        number = config.settings.kinds.index(table.kind)
        return lambda line: line.machine_kind == number
    ids = frozenset(table.endpoints or ())
    return lambda line: line.id in ids


def apply_setting(setting: SettingPart, names: tuple[str, ...], n: int, kind: TrafficClass) -> TrafficClass:
    """The variant of the class at index `n` of `names`: with the setting's value if the setting is for it."""
    if names[n] != setting.traffic_type:
        return kind
    if setting.promised_time is not None:
        return replace(kind, latency_objective=setting.promised_time / 1000)
    return replace(kind, value=setting.value if setting.value is not None else kind.priority_weight)


class MemberCanaryHost:
    """The host of one canary at this member."""

    def __init__(self, ground: Ground, name: str, shuffled: Callable[[list[str]], list[str]]) -> None:
        """`shuffled` returns the names in random order."""
        self.ground, self.name, self.shuffled = ground, name, shuffled
        self.file = (
            None
            if ground.folder is None
            else StoredFile(str(ground.folder / f"canary-{name}.state"), KIND, VERSION, MOST_KEPT)
        )
        self.write_failed = False

    def tell_counts(self, now: float, value: bytes) -> None:
        """Writes the register of counts."""
        self.ground.cells.write(now, f"canary/{self.name}", value)

    def tell_state(self, now: float, value: bytes) -> None:
        """Writes the register of state and sends it at once to some members, chosen at random."""
        alive = [
            m.name
            for m in self.members()
            if m.status is MemberStatus.ALIVE and m.name != self.ground.members.own_name
        ]
        self.ground.cells.write(
            now, f"canary/{self.name}/state", value, self.shuffled(alive)[:DIRECT_RECIPIENTS]
        )

    def kept(self) -> bytes | None:
        """What the state file holds; None if there is none, or if it is corrupt, which is logged."""
        if self.file is None:
            return None
        try:
            return self.file.read()
        except Missing:
            return None
        except Unfit as error:
            self.log("canary state unreadable", canary=self.name, why=error)
            return None

    def keep(self, value: bytes) -> None:
        """Writes the state file. Only the first of consecutive failures is logged."""
        if self.file is None:
            return
        try:
            self.file.write(value, str(self.ground.members.own_incarnation))
        except OSError as error:
            if not self.write_failed:
                self.log("canary state cannot be written", canary=self.name, file=self.file.path, why=error)
            self.write_failed = True
        else:
            self.write_failed = False

    def members(self) -> Sequence[Member]:
        """All known members, this one included."""
        return self.ground.members.members()

    def log(self, event: str, **fields: object) -> None:
        """Logs an event; as a warning if an operator should know of it."""
        warning_endings = ("aborted", "paused", "differ", "refused", "unreadable", "written", "of touch")
        (log.warning if event.endswith(warning_endings) else log.info)(event, extra={"fields": fields})


class CanaryRun:
    """The canaries of one sidecar as a part of the program; see `Part` for its methods."""

    def __init__(
        self,
        ground: Ground,
        tables: Sequence[CanaryPart],
        shuffled: Callable[[list[str]], list[str]] = lambda names: names,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """`shuffled` returns the names in random order; `wall` returns the Unix time."""
        self.ground, self.tables, self.wall = ground, {table.name: table for table in tables}, wall
        now = ground.loop.now()
        self.canaries: dict[str, Canary] = {}
        for table in tables:
            host = MemberCanaryHost(ground, table.name, shuffled)
            self.canaries[table.name] = Canary(
                now, table.terms(), ground.members.own_name, ground.members.own_incarnation, host, host.kept()
            )
        self.core: SplitCore | None = None
        self.router: CanaryRouter | None = None
        ground.cells.on_change("canary/", self.on_register)
        for seen in list(ground.cells.all()):
            if seen.register.name.startswith("canary/"):
                self.on_register(now, seen.register)

    def taker(self, inner: Taker) -> Taker:
        """Returns a router in front of `inner`, which must be a `SplitCore`; raises Trouble if it is not."""
        if not self.canaries:
            return inner
        if not isinstance(inner, SplitCore):
            raise Trouble(
                f"canaries require a core of several sides, SplitCore, not {type(inner).__name__}",
                "report it as a defect of rainspindle",
            )
        config, routes = self.ground.config, []
        names = config.settings.type_names
        for name, canary in self.canaries.items():
            setting = self.tables[name].setting
            if setting is None:
                routes.append(CanaryRoute(canary, side=name))
            else:
                routes.append(
                    CanaryRoute(
                        canary,
                        class_offset=add_variant_classes(inner, partial(apply_setting, setting, names)),
                    )
                )
        types = [traffic_type(t) for t in config.raw_settings["traffic-types"]]
        self.core, self.router = inner, CanaryRouter(self.ground.loop, inner, types, routes)
        return self.router

    def on_register(self, now: float, cell: Register) -> None:
        """Passes a register that was written or received on to its canary."""
        _, _, rest = cell.name.partition("/")
        name, _, what = rest.partition("/")
        canary = self.canaries.get(name)
        if canary is None:
            return
        if what == "state":
            canary.heard_state(now, cell.owner, cell.value)
        elif not what and cell.owner != self.ground.members.own_name:
            seen = self.ground.cells.read(cell.owner, cell.name)
            canary.heard_counts(
                now,
                cell.owner,
                cell.incarnation,
                cell.sequence,
                cell.value,
                now if seen is None else seen.heard_at,
            )

    def tick(self, now: float) -> float:
        """Does what is due; returns the latest time of the next call."""
        if self.core is not None:
            self.core.share_own_rates(now)
        return min((canary.tick(now) for canary in self.canaries.values()), default=now + 1.0)

    def member_changed(self, now: float, before: Member | None, after: Member) -> None:
        """Does nothing: each canary asks for the members when it evaluates its run."""

    def call(self, now: float, method: str, path: tuple[str, ...], query: Mapping[str, str]) -> Answer | None:
        """Answers `/-/canaries` and `/-/canaries/NAME/ACTION`; None for other paths. Raises CanaryError."""
        if path[:1] != ("canaries",):
            return None
        if len(path) == 1:
            if method not in ("GET", "HEAD"):
                return error_answer(405, f"/-/canaries requires GET, not {method}", "call it with GET")
            return Answer(200, {"canaries": [canary.report(now) for canary in self.canaries.values()]})
        canary = self.canaries.get(path[1])
        if len(path) != 3 or path[2] not in ACTIONS:
            return error_answer(
                404, "no such console call", "POST to /-/canaries/NAME/ and one of " + ", ".join(ACTIONS)
            )
        if canary is None:
            return error_answer(
                404,
                f"no canary {path[1]!r:.80} in the file of this sidecar",
                "use the name of one that it has: " + (", ".join(self.canaries) or "none"),
            )
        if method != "POST":
            return error_answer(
                405, f"/-/canaries/{path[1]}/{path[2]} requires POST, not {method}", "call it with POST"
            )
        if path[2] == "start":
            canary.start(now, self.wall())
        else:
            {"pause": canary.pause, "resume": canary.resume, "abort": canary.abort}[path[2]](now)
        return Answer(200, canary.report(now))

    def reload(self, now: float, tables: Sequence[CanaryPart]) -> list[str]:
        """Adopts the tables, except that a change of what is new requires a restart.

        A canary whose run is in progress keeps its terms. Returns the canaries that were not updated.
        """
        new = {table.name: table for table in tables}
        later = [f"canary {name}" for name in sorted(self.tables.keys() ^ new.keys())]
        for name in self.tables.keys() & new.keys():
            if new[name].matter != self.tables[name].matter or not self.canaries[name].update_terms(
                now, new[name].terms()
            ):
                later.append(f"canary {name}")
            else:
                self.tables[name] = new[name]
        return later

    def leave(self, now: float) -> None:
        """Does nothing: the other members keep this one's counts."""

    def close(self) -> None:
        """Does nothing: no file is open."""

    def figures(self) -> Mapping[str, object]:
        """The numbers for the last log line; empty before `taker` made the router."""
        if self.router is None:
            return {}
        return {"canary_sent": dict(self.router.sent), "canary_crossed": self.router.fallbacks}


def error_answer(status: int, error: str, remedy: str) -> Answer:
    """A console answer that reports an error."""
    return Answer(status, {"error": error, "remedy": remedy})
