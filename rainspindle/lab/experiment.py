"""Experiment files: TOML, decoded into typed values in one go, with every fault of a file named at once.

Times are seconds, rates are per second, work is seconds on a standard core, parts lie between 0 and 1.
"""

from __future__ import annotations

import difflib
import math
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal, get_args

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError

from ..errors import Trouble

Part = Annotated[float, Field(ge=0, le=1)]
Seconds = Annotated[float, Field(ge=0, allow_inf_nan=False)]
Positive = Annotated[float, Field(gt=0, allow_inf_nan=False)]
Count = Annotated[int, Field(ge=1)]
# TOML has no tuples; all else is typed strictly.
Span = Annotated[tuple[float, float], BeforeValidator(lambda v: tuple(v) if isinstance(v, list) else v)]

Policy = Literal["module", "random", "round_robin", "least_outstanding", "plain_hash"]
FaultKind = Literal[
    "crash",
    "silent",
    "hang",
    "slow",
    "pauses",
    "errors",
    "drain",
    "link_silent",
    "link_slow",
    "list_outage",
    "sidecar_crash",
    "sidecar_freeze",
]
AT_SIDECARS = ("sidecar_crash", "sidecar_freeze")
AT_ENDPOINTS = ("crash", "silent", "hang", "slow", "pauses", "errors", "drain")


class ExperimentFault(Trouble):
    """A file that cannot be played; `faults` names each place."""

    remedy = "mend each of these places; docs/operators/lab.md tells what may stand there"

    def __init__(self, path: str, faults: list[str]) -> None:
        super().__init__("\n".join(f"{path}: {fault}" for fault in faults))
        self.faults = faults


class Table(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class Kind(Table):
    """One kind of endpoint."""

    name: str = "std"
    count: Count
    cores: Count = 1
    speed: Span = (1.0, 1.0)
    queue: Annotated[int, Field(ge=0)] = 300  # exchanges that wait at most; beyond, turned away unseen
    cold_from: Annotated[float, Field(gt=0, le=1)] = 0.2  # part of its capacity that it starts with
    cold: Seconds = 15.0
    warm_gain: Part = 0.0  # part of the work that a key met lately saves
    warm_span: Seconds = 20.0
    warm_keys: Count = 60
    sick_at: Annotated[float, Field(ge=0)] = 0.0  # held for each core, over which it turns slow; 0: never
    sick_after: Positive = 2.0
    sick_times: Annotated[float, Field(ge=1)] = 2.5
    rest: Positive = 3.0  # mostly idle for so long, it recovers
    sick_most: Positive = 25.0
    error_rate: Part = 0.0
    cancels: Literal["none", "queued", "all"] = "queued"  # what a closed connection stops
    connections: Count = 600
    connection_work: Seconds = 0.001  # work of a new connection


class Fleet(Table):
    zones: Annotated[list[str], Field(min_length=1)] = ["a"]
    kinds: Annotated[list[Kind], Field(min_length=1)]


class Sidecars(Table):
    count: Count = 4
    skew: Annotated[float, Field(ge=0, le=3)] = 0.5  # Zipf exponent of their parts of the traffic


class Burst(Table):
    at: Seconds
    length: Positive
    times: Positive


class Clients(Table):
    rate: Positive  # first tries, all sidecars together
    bursts: list[Burst] = []
    keys: Annotated[int, Field(ge=0)] = 1000  # 0: exchanges carry none
    key_skew: Annotated[float, Field(ge=0, le=3)] = 1.0
    retries: Annotated[int, Field(ge=0, le=20)] = 1
    backoff: Literal["none", "fixed", "exponential"] = "fixed"
    wait: Seconds = 0.1  # of the first back-off
    honour: Part = 1.0  # of the clients keep to the time to come back
    give_up: Span = (0.8, 1.0)  # parts of the expiry after which a try is given up


class Traffic(Table):
    name: Annotated[str, Field(pattern=r"^[!-~]+$")]
    share: Positive = 1.0
    work: Positive
    spread: Annotated[float, Field(ge=0, le=10)] = 1.0  # standard deviation over mean
    tail: Literal["lognormal", "pareto"] = "lognormal"
    promised: Positive
    expiry: Positive
    effect: Literal["retriable", "fingerprinted", "binding"] = "retriable"
    group: Literal["all", "zone", "cell"] = "all"
    memory_span: Seconds = 0.0
    value: Positive = 1.0
    late_value: Part = 0.0
    tenant: Annotated[int, Field(ge=0)] | None = None  # whose all of this type is: its number in the settings


class Link(Table):
    delay: Seconds = 0.0002  # one way
    jitter: Part = 0.2  # part of the delay by which it varies
    bandwidth: Positive = 1e9  # bytes a second
    loss: Annotated[float, Field(ge=0, lt=1)] = 0.0  # of messages: felt as a stall, as TCP sends again
    stall: Seconds = 0.2  # of the first loss; doubled by each further one


class Links(Table):
    same: Link = Link()
    cross: Link = Link(delay=0.002)


class ListService(Table):
    lag: Span = (1.0, 3.0)  # until a death or a drain is listed
    silent_lag: Span = (4.0, 10.0)  # until silence is
    add_lag: Span = (0.5, 2.0)  # until a start is
    stale_part: Part = 0.0  # of the changes are listed later still
    stale_more: Seconds = 5.0
    answer: Seconds = 0.01  # of a call
    calls: Annotated[float, Field(ge=0)] = 0.0  # a second, of all sidecars; beyond, turned away; 0: no end


class Rules(Table):
    drain_grace: Positive = 0.5
    cold_multiple: Positive = 2.5
    cold_window: Positive = 3.0
    tolerance: Seconds = 0.05  # by which the auditor lets a real clock be late; 0 in virtual time


class Limits(Table):
    max_forwards: Count = 4
    parallel: bool = False
    cancel: bool = True
    retry_after: Seconds = 2.0
    connect_time: Positive = 0.25
    idle_time: Positive = 30.0
    ask_within: Positive = 8.0


class SitesTable(Table):
    """Each zone is a site of its own: its endpoints, its list, and one gateway in place of the sidecars."""

    part: Annotated[float, Field(ge=0, le=0.95)] = 0.6  # of all under way that may be foreign
    floor: Annotated[int, Field(ge=0)] = 16
    stall: Annotated[float, Field(ge=0.3)] = 1.0
    lean: bool = True  # whether the gateways know of each other


class Fault(Table):
    kind: FaultKind
    at: Seconds
    length: Positive
    part: Part = 0.0  # of the endpoints, or sidecars, drawn by the seed
    names: list[str] = []  # or these
    zone: str = ""  # or all of a zone; for a link: the zone that is cut off
    size: Annotated[float, Field(ge=0)] = 0.0  # times slower; seconds of a pause; part that errs; added delay
    spread: Seconds = 0.0  # each of them is struck so much later at most
    every: Positive = 1.0  # seconds from one pause to the next
    direction: Literal["both", "in", "out"] = "both"  # of a link, as seen from `zone`


class Variant(Table):
    name: Annotated[str, Field(pattern=r"^[A-Za-z0-9_.-]+$")]
    policy: Policy = "module"
    limits: dict[str, Any] = {}  # other values for [limits]
    clients: dict[str, Any] = {}  # other values for [clients]
    sites: dict[str, Any] = {}  # other values for [sites]
    knobs: dict[str, float] = {}  # constants of the module, as Class.NAME; virtual time only
    peers: Annotated[int, Field(ge=0)] = 0  # how many sidecars the module is told of; 0: the truth
    word: bool = False  # whether the sidecars tell one another of endpoints and keys; virtual time only
    relay: bool = False  # whether a few of them ask for the list, and tell the others; virtual time only
    word_loss: Part = 0.0  # of the news that come later by 2 to 5 s
    liar: Literal["", "out", "back", "keys"] = ""  # what the first sidecar tells that is not so
    cut_part: Part = 0.0  # of the endpoints that the first sidecar cannot reach, from the first fault on


class Bound(Table):
    least: float = -math.inf
    most: float = math.inf


class Experiment(Table):
    name: Annotated[str, Field(pattern=r"^[A-Za-z0-9_.-]+$")]
    says: str = ""
    length: Positive
    settle: Seconds = 5.0  # run on after the last first try
    warmup: Seconds = 0.0  # not counted in the figures; the rules always are
    seeds: Annotated[list[int], Field(min_length=1)] = [1]
    mode: Literal["virtual", "sockets"] = "virtual"
    lateness: Positive = 0.025  # of the load generator at its 99% quantile, over which a run is refused
    fleet: Fleet
    sidecars: Sidecars = Sidecars()
    clients: Clients
    traffic: Annotated[list[Traffic], Field(min_length=1)]
    links: Links = Links()
    registry: ListService = ListService()
    rules: Rules = Rules()
    limits: Limits = Limits()
    sites: SitesTable | None = None
    faults: list[Fault] = []
    variants: Annotated[list[Variant], Field(min_length=1)] = [Variant(name="module")]
    expect: dict[str, dict[str, Bound]] = {}

    def variant(self, name: str) -> Variant:
        return next(v for v in self.variants if v.name == name)

    def endpoints(self) -> int:
        return sum(k.count for k in self.fleet.kinds)

    def as_played(self, variant: Variant) -> Experiment:
        """With the variant's other settings in place."""
        changed = {
            "limits": {**self.limits.model_dump(), **variant.limits},
            "clients": {**self.clients.model_dump(), **variant.clients},
        }
        if self.sites is not None:
            changed["sites"] = {**self.sites.model_dump(), **variant.sites}
        return Experiment.model_validate({**self.model_dump(), **changed})


FIGURES = (
    "goodput",
    "offered",
    "finished",
    "late",
    "rejected",
    "terminated",
    "left",
    "p50_ms",
    "p90_ms",
    "p99_ms",
    "tries",
    "forwards",
    "busiest",
    "rules_broken",
    "executions_twice",
    "falls",
    "recovery_s",
    "worst_second",
    "failures_met",
    "wasted",
    "site_best",
    "site_worst",
    "site_back_s",
    "calls",
    "calls_most",
    "calls_refused",
    "handshakes",
    "handshakes_most",
    "handshakes_refused",
    "trials",
    "trials_vain",
    "trials_most",
    "cold_most",
    "cells",
)  # these from "calls" on in virtual time alone


def load(path: str | Path, **changes: Any) -> Experiment:
    """The experiment of a file, `changes` set at its top level. Raises ExperimentFault."""
    try:
        raw = tomllib.loads(Path(path).read_text())
    except OSError as fault:
        raise ExperimentFault(str(path), [str(fault.strerror)]) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as fault:
        raise ExperimentFault(str(path), [f"not TOML: {fault}"]) from None
    return decode({**raw, **changes}, str(path))


def decode(raw: dict[str, Any], path: str) -> Experiment:
    try:
        experiment = Experiment.model_validate(raw)
        faults = list(unfit(experiment))
    except ValidationError as fault:
        raise ExperimentFault(path, [worded(e, raw) for e in fault.errors()]) from None
    if faults:
        raise ExperimentFault(path, faults)
    return experiment


def worded(error: Any, raw: Any) -> str:
    place, keys = "", []
    for part in error["loc"]:
        place += f"[{part}]" if isinstance(part, int) else f".{part}" if place else str(part)
        keys.append(part)
    if error["type"] == "extra_forbidden":
        near = difflib.get_close_matches(str(keys[-1]), known_keys(keys[:-1]), 1)
        return f"{place}: unknown key" + (f"; the nearest known is {near[0]!r}" if near else "")
    if error["type"] == "missing":
        return f"{place}: missing"
    return f"{place}: is {error['input']!r:.60}; {error['msg'][0].lower()}{error['msg'][1:]}"


def known_keys(path: list[Any]) -> list[str]:
    """The keys that the table at this path may have."""
    model: Any = Experiment
    for part in path:
        if isinstance(part, int):
            continue
        annotation = model.model_fields[part].annotation
        while get_args(annotation):
            annotation = get_args(annotation)[-1]
        if not (isinstance(annotation, type) and issubclass(annotation, BaseModel)):
            return []
        model = annotation
    return list(model.model_fields)


def unfit(x: Experiment) -> Iterator[str]:
    """What is wrong between values that are each well formed."""
    zones = x.fleet.zones
    for what, names in (
        ("fleet.zones", zones),
        ("traffic", [t.name for t in x.traffic]),
        ("variants", [v.name for v in x.variants]),
        ("fleet.kinds", [k.name for k in x.fleet.kinds]),
    ):
        for twice in sorted({n for n in names if names.count(n) > 1}):
            yield f"{what}: {twice!r} is there twice"
    for n, kind in enumerate(x.fleet.kinds):
        yield from span(f"fleet.kinds[{n}].speed", kind.speed, 0.001)
    for n, t in enumerate(x.traffic):
        if t.promised > t.expiry:
            yield f"traffic[{n}].promised: is {t.promised}; expected at most the expiry, {t.expiry}"
        if t.effect == "fingerprinted" and not t.memory_span:
            yield f"traffic[{n}].memory_span: is 0; expected more for a fingerprinted type"
        if t.tail == "pareto" and t.spread <= 0:
            yield f"traffic[{n}].spread: is 0; expected more for a Pareto tail"
    longest = max(t.expiry for t in x.traffic)
    if x.settle < longest:
        yield f"settle: is {x.settle}; expected the longest expiry at least, {longest}"
    if x.warmup >= x.length:
        yield f"warmup: is {x.warmup}; expected less than the length, {x.length}"
    yield from span("clients.give_up", x.clients.give_up, 0.001)
    for name in ("lag", "silent_lag", "add_lag"):
        yield from span(f"registry.{name}", getattr(x.registry, name), 0.0)
    sidecars = [f"s{n}" for n in range(x.sidecars.count)]
    if x.sites is not None and (len(zones) < 2 or x.sidecars.count != len(zones)):
        yield f"sidecars.count: is {x.sidecars.count}; expected one for each of two sites or more"
    for n, f in enumerate(x.faults):
        at = f"faults[{n}]"
        if f.at >= x.length + x.settle:
            yield f"{at}.at: is {f.at}; expected before the end, {x.length + x.settle}"
        if f.zone and f.zone not in zones:
            yield f"{at}.zone: is {f.zone!r}; expected one of {', '.join(zones)}"
        if f.kind in (*AT_ENDPOINTS, *AT_SIDECARS) and not (f.part or f.names or f.zone):
            yield f"{at}: says whom by none of part, names and zone"
        if f.kind.startswith("link") and (not f.zone or len(zones) < 2):
            yield f"{at}.zone: a link's fault needs a zone, and two zones at least"
        if f.spread and f.kind not in (*AT_ENDPOINTS, *AT_SIDECARS):
            yield f"{at}.spread: is {f.spread}; expected 0, as {f.kind} strikes all at once"
        if f.kind == "slow" and f.size < 1:
            yield f"{at}.size: is {f.size}; expected how many times slower, 1 at least"
        if f.kind == "errors" and not 0 < f.size <= 1:
            yield f"{at}.size: is {f.size}; expected the part that errs, over 0 and at most 1"
        if f.kind in ("pauses", "link_slow") and not f.size:
            yield f"{at}.size: is 0; expected seconds"
        known = sidecars if f.kind in AT_SIDECARS else [f"e{m}" for m in range(x.endpoints())]
        for name in f.names:
            if name not in known:
                yield f"{at}.names: {name!r} is none of {known[0]} to {known[-1]}"
    for n, v in enumerate(x.variants):
        for name in ("word", "relay"):
            if getattr(v, name) and (v.policy != "module" or x.sites is not None or x.mode != "virtual"):
                yield f"variants[{n}].{name}: only the module has any, in virtual time, without sites"
        if v.sites and x.sites is None:
            yield f"variants[{n}].sites: there is no [sites] to change"
        for table, fields in (
            ("limits", Limits.model_fields),
            ("clients", Clients.model_fields),
            ("sites", SitesTable.model_fields),
        ):
            for key in getattr(v, table):
                if key not in fields:
                    near = difflib.get_close_matches(key, list(fields), 1)
                    yield f"variants[{n}].{table}.{key}: unknown key" + (
                        f"; the nearest known is {near[0]!r}" if near else ""
                    )
        yield from overlay(x, n, v)
    for name, bounds in x.expect.items():
        if name not in [v.name for v in x.variants]:
            yield f"expect.{name}: no such variant"
        for figure in bounds:
            if figure not in FIGURES:
                near = difflib.get_close_matches(figure, FIGURES, 1)
                yield f"expect.{name}.{figure}: no such figure" + (
                    f"; the nearest known is {near[0]!r}" if near else ""
                )


def overlay(x: Experiment, n: int, v: Variant) -> Iterator[str]:
    for table, model in (("limits", Limits), ("clients", Clients), ("sites", SitesTable)):
        told = {k: val for k, val in getattr(v, table).items() if k in model.model_fields}
        base = getattr(x, table)
        try:
            model.model_validate({**(base.model_dump() if base else {}), **told})
        except ValidationError as fault:
            for e in fault.errors():
                yield f"variants[{n}].{table}." + worded(e, told)


def span(at: str, value: tuple[float, float], least: float) -> Iterator[str]:
    if not least <= value[0] <= value[1]:
        yield f"{at}: is {list(value)}; expected [least, most], both {least} or more"
