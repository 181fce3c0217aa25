"""Canaries in the program: their tables in the operator's file, their cores, the staff's calls."""

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
from ...routing.canary import CanaryRouter, Ready, Side, SideFacade, SplitCore, add_types
from ...routing.core import Back, Directory, Taker
from ...store.file import Missing, StoredFile, Unfit
from ...transport.loop import Loop
from ..config import Config
from .ground import Answer, Ground

log = logging.getLogger("rainspindle.canary")

NAME = re.compile(r"[A-Za-z0-9_.-]{1,60}")
KIND, VERSION, MOST_KEPT = 5, 1, 4096  # of the file
MOST_STAGES, MOST_PART = 100, 0.95
TOWARD = 50  # members that are told of a decision by the one that makes it; the rest hear it from these
ACTS = ("start", "pause", "resume", "abort")


class StagePart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One entry of `stages`."""

    part: float
    time: float
    exchanges: int


class SettingPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A setting that may differ between exchanges of one module: of one traffic type."""

    traffic_type: str
    promised_time: float | None = None  # milliseconds, as in the settings
    value: float | None = None


class CanaryPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[[canary]]`. One of `endpoints`, `kind` and `setting` names what is new. Times are seconds."""

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
        """What is new, alike at every sidecar; what an edit of the file cannot change without a restart."""
        if self.setting is not None:
            return f"setting {self.setting.traffic_type} {self.setting.promised_time} {self.setting.value}"
        if self.kind is not None:
            return f"kind {self.kind}"
        return f"endpoints {' '.join(sorted(self.endpoints or ()))}"

    def terms(self) -> Terms:
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
    """Each fault with its path."""
    names = Counter(table.name for table in tables)
    taken: dict[str, int] = {}
    for n, table in enumerate(tables):
        at = f"canary[{n}]"
        if not NAME.fullmatch(table.name):
            yield f"{at}.name: {table.name!r:.80} is not 1 to 60 of A-Z a-z 0-9 _ . -"
        elif names[table.name] > 1:
            yield f"{at}.name: {table.name!r} names {names[table.name]} canaries"
        named = [key for key in ("endpoints", "kind", "setting") if getattr(table, key) is not None]
        if len(named) != 1:
            yield (
                f"{at}: names {' and '.join(named) or 'nothing'} as new; give one of 'endpoints', 'kind', "
                "'setting'"
            )
        for id in table.endpoints or ():
            if taken.setdefault(id, n) != n:
                yield f"{at}.endpoints: {id!r} is also in canary[{taken[id]}]"
        if table.endpoints is not None and not table.endpoints:
            yield f"{at}.endpoints: is empty"
        if table.kind is not None and table.kind not in config.settings.kinds:
            yield (
                f"{at}.kind: {table.kind!r} is none of the settings' kinds: "
                f"{', '.join(config.settings.kinds) or 'there are none'}"
            )
        elif table.kind is not None and taken.setdefault(f"kind {table.kind}", n) != n:
            yield f"{at}.kind: {table.kind!r} is also canary[{taken[f'kind {table.kind}']}]'s"
        if table.setting is not None:
            yield from unfit_setting(f"{at}.setting", table.setting, config)
        yield from unfit_figures(at, table)


def unfit_setting(at: str, setting: SettingPart, config: Config) -> Iterator[str]:
    types = {t["name"]: t for t in config.raw_settings["traffic-types"]}
    if setting.traffic_type not in types:
        yield f"{at}.traffic_type: {setting.traffic_type!r} is none of {', '.join(types)}"
        return
    if (setting.promised_time is None) == (setting.value is None):
        yield f"{at}: give one of 'promised_time' and 'value': one thing is judged at a time"
    expiry = float(types[setting.traffic_type]["expiry"])
    if setting.promised_time is not None and not 0 < setting.promised_time <= expiry:
        yield f"{at}.promised_time: {setting.promised_time} ms is not from 0 to the expiry, {expiry}"
    highest = max(traffic_type(t).priority_weight for t in types.values())
    if setting.value is not None and not 0 <= setting.value <= highest:
        yield (
            f"{at}.value: {setting.value} is not from 0 to {highest}, the highest of the settings: "
            "the budget of forwards goes by that"
        )


def unfit_figures(at: str, table: CanaryPart) -> Iterator[str]:
    if not 1 <= len(table.stages) <= MOST_STAGES:
        yield f"{at}.stages: {len(table.stages)} of them; give 1 to {MOST_STAGES}"
    before = 0.0
    for n, stage in enumerate(table.stages):
        if not before < stage.part <= MOST_PART:
            yield (
                f"{at}.stages[{n}].part: {stage.part} is not over {before} and up to {MOST_PART}: the old "
                "side is what the new one is judged by, and after the last stage all keys are in"
            )
        before = max(before, stage.part)
        if not 0 <= stage.time < 1e7 or stage.exchanges < 1:
            yield f"{at}.stages[{n}]: wants a time of 0 s or more and an exchange or more"
    if not 0 < table.budget < 1:
        yield f"{at}.budget: {table.budget} is not between 0 and 1"
    if not 1.0 <= table.short < table.long <= 86_400:
        yield f"{at}: wants 1 s <= short < long <= 86400 s, not {table.short} and {table.long}"
    if not 1 <= table.pause_at <= table.abort_at:
        yield f"{at}: wants 1 <= pause_at <= abort_at, not {table.pause_at} and {table.abort_at}"
    if not 0.5 < table.fresh <= 1:
        yield f"{at}.fresh: {table.fresh} is not over 0.5 and up to 1"
    if not 0 <= table.hold < table.fresh:
        yield f"{at}.hold: {table.hold} is not from 0 to below fresh, {table.fresh}"
    if not 1 <= table.alone_after <= 3600:
        yield f"{at}.alone_after: {table.alone_after} is not from 1 to 3600 s"
    if table.each_effect < 0:
        yield f"{at}.each_effect: {table.each_effect} is below 0"


def split_core(
    loop: Loop,
    config: Config,
    tables: Sequence[CanaryPart],
    make_back: Callable[[Directory], Back],
    on_watch: Callable[[], None],
    on_tick: Callable[[], None],
) -> SplitCore:
    """What a sidecar has in place of its `Core` where the file names canaries."""
    settings = config.raw_settings
    limits = settings["policy-limits"]
    # Guards against an exchange that has used up its forwards on a new side that is dead: one is kept back.
    fewer = {**settings, "policy-limits": {**limits, "max-forwards": max(1, limits["max-forwards"] - 1)}}

    def facade(seed: int, of: dict[str, Any]) -> SideFacade:
        now = loop.now()
        return SideFacade(now, lambda host: make_balancer(host, seed, now, of))

    sides = []
    for n, table in enumerate(tables):
        if table.setting is None:
            directory = Directory()
            sides.append(
                Side(
                    table.name,
                    taker_of_lines(table, config),
                    facade(config.seed + 1 + n, fewer),
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


def taker_of_lines(table: CanaryPart, config: Config) -> Callable[[ListedEndpoint], bool]:
    if table.kind is not None:
        number = config.settings.kinds.index(table.kind)
        return lambda line: line.machine_kind == number
    ids = frozenset(table.endpoints or ())
    return lambda line: line.id in ids


def with_setting(setting: SettingPart, names: tuple[str, ...], n: int, kind: TrafficClass) -> TrafficClass:
    if names[n] != setting.traffic_type:
        return kind
    if setting.promised_time is not None:
        return replace(kind, latency_objective=setting.promised_time / 1000)
    return replace(kind, value=setting.value if setting.value is not None else kind.priority_weight)


class CanaryHostOf:
    """What one canary acts through."""

    def __init__(self, ground: Ground, name: str, chance: Callable[[list[str]], list[str]]) -> None:
        self.ground, self.name, self.shuffled = ground, name, chance
        self.file = (
            None
            if ground.folder is None
            else StoredFile(str(ground.folder / f"canary-{name}.state"), KIND, VERSION, MOST_KEPT)
        )
        self.unwritten = False

    def tell_counts(self, now: float, value: bytes) -> None:
        self.ground.cells.write(now, f"canary/{self.name}", value)

    def tell_state(self, now: float, value: bytes) -> None:
        alive = [
            m.name
            for m in self.members()
            if m.status is MemberStatus.ALIVE and m.name != self.ground.members.own_name
        ]
        self.ground.cells.write(now, f"canary/{self.name}/state", value, self.shuffled(alive)[:TOWARD])

    def kept(self) -> bytes | None:
        if self.file is None:
            return None
        try:
            return self.file.read()
        except Missing:
            return None
        except Unfit as fault:
            self.log("canary state unreadable", canary=self.name, why=fault)
            return None

    def keep(self, value: bytes) -> None:
        if self.file is None:
            return
        try:
            self.file.write(value, str(self.ground.members.own_incarnation))
        except OSError as fault:
            if not self.unwritten:
                self.log("canary state cannot be written", canary=self.name, file=self.file.path, why=fault)
            self.unwritten = True
        else:
            self.unwritten = False

    def members(self) -> Sequence[Member]:
        return self.ground.members.members()

    def log(self, event: str, **fields: object) -> None:
        trouble = ("aborted", "paused", "differ", "refused", "unreadable", "written", "of touch")
        (log.warning if event.endswith(trouble) else log.info)(event, extra={"fields": fields})


class CanaryRun:
    """The canaries of one sidecar."""

    def __init__(
        self,
        ground: Ground,
        tables: Sequence[CanaryPart],
        shuffled: Callable[[list[str]], list[str]] = lambda names: names,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """`shuffled` gives the names in an order of chance."""
        self.ground, self.tables, self.wall = ground, {table.name: table for table in tables}, wall
        now = ground.loop.now()
        self.canaries: dict[str, Canary] = {}
        for table in tables:
            host = CanaryHostOf(ground, table.name, shuffled)
            self.canaries[table.name] = Canary(
                now, table.terms(), ground.members.own_name, ground.members.own_incarnation, host, host.kept()
            )
        self.core: SplitCore | None = None
        self.router: CanaryRouter | None = None
        ground.cells.on_change("canary/", self.heard)
        for seen in list(ground.cells.all()):
            if seen.register.name.startswith("canary/"):
                self.heard(now, seen.register)

    def taker(self, inner: Taker) -> Taker:
        """`inner` is the core that `split_core` made. Raises Trouble for another."""
        if not self.canaries:
            return inner
        if not isinstance(inner, SplitCore):
            raise Trouble("canaries stand before a core that has one side alone", "report it: a defect")
        config, ready = self.ground.config, []
        names = config.settings.type_names
        for name, canary in self.canaries.items():
            setting = self.tables[name].setting
            if setting is None:
                ready.append(Ready(canary, side=name))
            else:
                ready.append(Ready(canary, types_on=add_types(inner, partial(with_setting, setting, names))))
        types = [traffic_type(t) for t in config.raw_settings["traffic-types"]]
        self.core, self.router = inner, CanaryRouter(self.ground.loop, inner, types, ready)
        return self.router

    def heard(self, now: float, cell: Register) -> None:
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
        if self.core is not None:
            self.core.share_own_rates(now)
        return min((canary.tick(now) for canary in self.canaries.values()), default=now + 1.0)

    def member_changed(self, now: float, before: Member | None, after: Member) -> None:
        """Each look asks who is there."""

    def call(self, now: float, method: str, path: tuple[str, ...], query: Mapping[str, str]) -> Answer | None:
        if path[:1] != ("canaries",):
            return None
        if len(path) == 1:
            if method not in ("GET", "HEAD"):
                return no(405, f"/-/canaries wants GET, not {method}", "ask with GET")
            return Answer(200, {"canaries": [canary.report(now) for canary in self.canaries.values()]})
        canary = self.canaries.get(path[1])
        if len(path) != 3 or path[2] not in ACTS:
            return no(404, "no such call", "POST /-/canaries/NAME/ and one of " + ", ".join(ACTS))
        if canary is None:
            return no(
                404,
                f"no canary {path[1]!r:.80} in the file of this sidecar",
                "it has " + (", ".join(self.canaries) or "none"),
            )
        if method != "POST":
            return no(405, f"/-/canaries/{path[1]}/{path[2]} wants POST, not {method}", "call with POST")
        if path[2] == "start":
            canary.start(now, self.wall())
        else:
            {"pause": canary.pause, "resume": canary.resume, "abort": canary.abort}[path[2]](now)
        return Answer(200, canary.report(now))

    def reload(self, now: float, tables: Sequence[CanaryPart]) -> list[str]:
        """What is new needs a restart; all else is taken over, but not while a run is under way."""
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
        """Its counts stay with the others."""

    def close(self) -> None:
        """Nothing is open."""

    def figures(self) -> Mapping[str, object]:
        if self.router is None:
            return {}
        return {"canary_sent": dict(self.router.sent), "canary_crossed": self.router.crossed}


def no(status: int, error: str, remedy: str) -> Answer:
    return Answer(status, {"error": error, "remedy": remedy})
