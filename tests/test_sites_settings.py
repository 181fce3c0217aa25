"""Classes, tenants, zones and limits come from the settings, and some changes need a restart."""

from __future__ import annotations

import json
import logging
import re
import signal
import tomllib
from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from rainspindle.fronts.http1.room import STREAM
from rainspindle.program import serve
from rainspindle.program.config import Config, ConfigFault, check
from rainspindle.program.mysql import MysqlSidecar
from rainspindle.program.mysql_config import load_mysql
from rainspindle.protocol.discovery import ListDecoder
from rainspindle.protocol.settings import make_balancer, socket_settings

from .fleet import SETTINGS, Fleet, Rig, ask, entry, kind
from .test_program import ROOT, Service, config

SITES = sorted((ROOT / "deploy" / "sites").glob("*.toml"))
EFFECTS = {"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}
GROUPS = ("all", "zone", "cell")


def site(path: Path) -> dict[str, Any]:
    return tomllib.loads(path.read_text())


def settings_of(site: dict[str, Any]) -> dict[str, Any]:
    """Returns the settings of a sidecar of that site."""
    rules, allow, tier = site["rules"], site["allow"], site["tier"][0]
    contract = {
        "answer-slack": 20.0,
        "ask-within": 10000.0,
        "fall-multiple": rules["fall_multiple"],
        "tip-after": rules["fall_ms"],
        "stop-sending-within": rules["drain_grace_ms"],
        "cold-from": min(machine_kind["cold_from"][0] for machine_kind in tier["kind"]),
        "cold": max(machine_kind["cold_s"][1] for machine_kind in tier["kind"]) * 1000,
    }
    if "budget_ms" in rules:
        contract |= {
            "budget-free": rules["budget_free"],
            "repeat-ratio": rules["budget_share"],
            "counted-over": rules["budget_ms"],
            "soft-removal": rules.get("only_draining_binds"),
        }
    return {
        "contract": contract,
        "zone": 0,
        "failure-domains": site["net"]["zones"],
        "peers-total": 4,
        "discovery": "pushed" if site["discovery"]["mode"] == "push" else "on_request",
        "policy-limits": {
            "cancel": allow["cancel"],
            "conn-idle": tier["conn"]["idle_s"] * 1000,
            "peers": allow["peers"],
            "connect-timeout": tier["conn"]["connect_timeout_ms"],
            "max-forwards": allow["max_attempts"],
            "max-retry-after": site["clients"]["max_retry_after_ms"],
            "retry-after": allow["retry_after"],
            "parallel-tries": allow["second_copies"],
        },
        "prices": {"cross-zone": site["prices"]["cross_zone"], "peer": site["prices"]["peer"]},
        "weight-kind": tier["weights"],
        "kinds": [machine_kind["name"] for machine_kind in tier["kind"]],
        "tenants": [
            {"name": tenant["name"], "share": tenant["share"], "allowance-per-s": 100 * tenant["share"]}
            for tenant in site.get("tenant", [])
        ],
        "excess-value": site["load"].get("over_share_worth", 1.0),
        "traffic-types": [
            {
                "name": traffic_class["name"],
                "effect": EFFECTS[traffic_class["effect"]],
                "dedup-scope": traffic_class.get("group", "all"),
                "memory-span": traffic_class.get("window_ms", 5000),
                "promised-time": traffic_class["aim_ms"],
                "expiry": traffic_class["deadline_ms"],
                "value": traffic_class["worth"],
                "overdue-value": traffic_class["late_worth"],
            }
            for traffic_class in site["class"]
        ],
    }


def types(*names: str, effect: str = "read_like", **changes: Any) -> dict[str, Any]:
    return {
        **SETTINGS,
        "traffic-types": [
            {"name": name, "effect": effect, "promised-time": 600.0, "expiry": 2500.0, **changes}
            for name in names
        ],
    }


# The site files in deploy/sites.


def test_the_sites_cover_the_options_of_a_deployment() -> None:
    sites = [site(path) for path in SITES]
    classes = [traffic_class for loaded_site in sites for traffic_class in loaded_site["class"]]
    assert len(sites) >= 2 and len({traffic_class["name"] for traffic_class in classes}) == len(classes)
    assert {traffic_class["effect"] for traffic_class in classes} == set(EFFECTS)
    assert {traffic_class["group"] for traffic_class in classes if traffic_class["effect"] == "keyed"} == set(
        GROUPS
    )
    assert len({len(loaded_site["class"]) for loaded_site in sites}) == len(sites)
    for values in (
        [len(loaded_site["net"]["zones"]) > 1 for loaded_site in sites],
        ["tenant" in loaded_site for loaded_site in sites],
        [loaded_site["allow"]["retry_after"] for loaded_site in sites],
        [loaded_site["allow"]["second_copies"] for loaded_site in sites],
        [loaded_site["discovery"]["mode"] == "push" for loaded_site in sites],
        [loaded_site["load"]["keys"] != 0 for loaded_site in sites],
    ):
        assert set(values) == {True, False}
    # The benchmark on real nodes does not accept a retry budget; tests/test_protocol.py covers one.
    assert not any("budget_ms" in loaded_site["rules"] for loaded_site in sites)


def test_the_program_contains_no_name_of_a_site() -> None:
    files = [*(ROOT / "rainspindle").rglob("*.py"), *(ROOT / "deploy").glob("*.toml")]
    text = "\n".join(file.read_text() for file in files)
    for loaded_site in map(site, SITES):
        parts = [*loaded_site["class"], *loaded_site.get("tenant", []), *loaded_site["tier"][0]["kind"]]
        for name in [loaded_site["name"], *loaded_site["net"]["zones"], *(part["name"] for part in parts)]:
            assert not re.search(rf"['\"]{re.escape(name)}['\"]", text), name


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_a_sidecar_serves_each_class_of_a_site(path: Path) -> None:
    settings = settings_of(site(path))
    loaded = check("config.json", config(settings=settings), {})
    assert loaded.settings.type_names == tuple(traffic_class["name"] for traffic_class in site(path)["class"])
    rig = Rig(settings=settings)
    for n, name in enumerate(loaded.settings.type_names):
        client = rig.asked(ask(f"x{n}", name, headers="X-Attrs: billing=0\r\n" if n % 2 else ""))
        assert rig.serve(200, b"out").id == f"x{n}"
        assert client.status() == 200


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_a_class_is_retried_as_its_effect_permits(path: Path) -> None:
    """After an attempt that may have been executed, a retry follows only within the deduplication scope."""
    settings = settings_of(site(path))
    zones = settings["failure-domains"]
    for traffic_class in settings["traffic-types"]:
        rig = Rig(settings=settings)
        entries = [
            {**entry(f"e{n}", stand.port, zone=zones[n % len(zones)]), "cell": n}
            for n, stand in enumerate(rig.stands)
        ]
        rig.tell(*entries, whole=True)
        client = rig.asked(ask("x", traffic_class["name"]))
        rig.serve(500)
        retries = rig.got()
        is_final = traffic_class["effect"] == "non_idempotent" or (
            traffic_class["effect"] == "idempotency_key"
            and traffic_class["dedup-scope"] != "all"
            and len(zones) > 1
        )
        assert len(retries) == (0 if is_final else 1), traffic_class["name"]
        assert not is_final or client.status() == 502


# Forms of the settings.


@pytest.mark.parametrize("count", [1, 2, 7])
@pytest.mark.parametrize("effect", EFFECTS.values())
def test_any_number_of_classes_is_served(count: int, effect: str) -> None:
    names = tuple(f"class {n}" for n in range(count))
    rig = Rig(settings=types(*names, effect=effect))
    for n, name in enumerate(names):
        client = rig.asked(ask(f"x{n}", name))
        assert rig.serve(200).id == f"x{n}" and client.status() == 200
    assert rig.asked(ask("y", "class 7")).status() == 400


def test_optional_settings_may_be_absent_or_null() -> None:
    minimal = {
        "zone": 0,
        "policy-limits": {"max-forwards": 1},
        "contract": {key: SETTINGS["contract"][key] for key in SETTINGS["contract"] if key != "answer-slack"},
        "traffic-types": [{"name": "look", "effect": "read_like", "promised-time": 600, "expiry": 2500}],
    }
    nulls = dict.fromkeys(
        (
            "failure-domains",
            "peers-total",
            "discovery",
            "kinds",
            "tenants",
            "prices",
            "weight-kind",
            "excess-value",
        )
    )
    for settings in (minimal, {**minimal, **nulls}):
        assert check("config.json", config(settings=settings), {}).settings.zones == ()
        rig = Rig(settings=settings)
        client = rig.asked(ask("x"))
        assert rig.serve(200).id == "x" and client.status() == 200


LOOK, LIMITS, CONTRACT = SETTINGS["traffic-types"][0], SETTINGS["policy-limits"], SETTINGS["contract"]


@pytest.mark.parametrize(
    ("changes", "words"),
    [
        ({"traffic-types": []}, "traffic-types is no list of traffic types, one at least"),
        ({"traffic-types": {"look": LOOK}}, "traffic-types is no list of traffic types, one at least"),
        ({"traffic-types": ["look"]}, "traffic-types is no list of traffic types, one at least"),
        ({"traffic-types": [LOOK, {**LOOK, "name": 7}]}, "traffic-types[1]: name is no text: 7"),
        ({"traffic-types": [LOOK, {**LOOK, "name": ""}]}, "traffic-types[1]: name is no text: ''"),
        ({"traffic-types": [LOOK, LOOK]}, "traffic-types[1]: 'look' is there twice"),
        ({"traffic-types": [LOOK, {**LOOK, "effect": "odd"}]}, "traffic-types[1]: unknown effect 'odd'"),
        (
            {"traffic-types": [{**LOOK, "effect": ["read_like"]}]},
            "traffic-types[0]: unknown effect ['read_like",
        ),
        ({"traffic-types": [{**LOOK, "effect": None}]}, "traffic-types[0]: unknown effect None"),
        ({"traffic-types": [{**LOOK, "dedup-scope": "rack"}]}, "traffic-types[0]: unknown group 'rack'"),
        ({"traffic-types": [{k: v for k, v in LOOK.items() if k != "effect"}]}, "lack 'effect'"),
        ({"traffic-types": [{**LOOK, "expiry": "2500"}]}, "traffic-types[0]: expiry is no number"),
        ({"traffic-types": [{**LOOK, "expiry": 0}]}, "traffic-types[0]: expiry is no number over 0"),
        ({"traffic-types": [{**LOOK, "promised-time": None}]}, "promised-time is no number over 0"),
        ({"traffic-types": [{**LOOK, "value": "high"}]}, "traffic-types[0]: value is no number"),
        ({"failure-domains": "north"}, "failure-domains is no list of names"),
        ({"tenants": {"a": 1}}, "tenants is no list of tenants"),
        ({"policy-limits": []}, "policy-limits is no object"),
        ({"contract": None}, "contract is no object"),
        ({"policy-limits": {**LIMITS, "max-forwards": None}}, "max-forwards is no whole number"),
        ({"policy-limits": {**LIMITS, "max-forwards": "4"}}, "max-forwards is no whole number"),
        ({"policy-limits": {**LIMITS, "cancel": "no"}}, "cancel is neither true nor false"),
        ({"contract": {**CONTRACT, "cold-from": None}}, "cold-from is no number"),
        ({"contract": {**CONTRACT, "tip-after": "3 s"}}, "tip-after is no number"),
        ({"contract": {k: v for k, v in CONTRACT.items() if k != "cold"}}, "lack 'cold'"),
    ],
)
def test_invalid_settings_are_reported_in_one_line(changes: dict[str, Any], words: str) -> None:
    with pytest.raises(ConfigFault) as refused:
        check("config.json", config(settings={**SETTINGS, **changes}), {})
    assert words in str(refused.value) and "\n" not in str(refused.value)


@pytest.mark.parametrize("whole", [[], "settings", 3])
def test_settings_that_are_no_object_are_rejected(whole: object) -> None:
    with pytest.raises(ConfigFault, match="settings is no object"):
        check("config.json", config(settings=whole), {})


def test_both_hosts_reject_the_same_settings() -> None:
    for make in (
        socket_settings,
        lambda raw_settings: make_balancer(Fleet([kind()], []), 1, 0.0, raw_settings),
    ):
        with pytest.raises(ValueError, match="traffic-types"):
            make({**SETTINGS, "traffic-types": []})


# Zones that the settings do not name.


def test_zones_that_the_settings_do_not_name_are_distinct() -> None:
    """Otherwise a retry could go to a zone that does not recognize the key of the first attempt."""
    decoder, other_decoder = (ListDecoder(["north"], 0.0) for _ in range(2))
    east, west = entry("e0", 1, zone="east"), entry("e1", 1, zone="west")
    assert decoder.line(east).zone != decoder.line(west).zone
    assert (
        min(decoder.line(east).zone, decoder.line(west).zone)
        < -1
        == decoder.line(entry("e2", 1, zone="")).zone
    )
    assert other_decoder.line(west).zone == decoder.line(west).zone, (
        "the number of a zone differs between sidecars"
    )
    assert decoder.line(entry("e3", 1, zone="north")).zone == 0


@pytest.mark.parametrize(("zones", "again"), [(("east", "west"), 0), (("east", "east"), 1)])
def test_a_deduplicated_request_stays_in_its_zone_even_if_the_settings_do_not_name_it(
    zones: tuple[str, str], again: int
) -> None:
    rig = Rig(2)
    rig.tell(
        *(
            entry(f"e{n}", stand.port, zone=zone)
            for n, (stand, zone) in enumerate(zip(rig.stands, zones, strict=True))
        ),
        whole=True,
    )
    client = rig.asked(ask("x", "note"))
    rig.serve(500)
    assert len(rig.got()) == again
    assert again or client.status() == 502


# Reloading the configuration under traffic.


def reload(service: Service, **changes: Any) -> str:
    """Reloads by SIGHUP with these changes to the initial configuration; returns the log line."""
    before = service.logged().count("configuration read again")
    service.file.write_text(json.dumps({**service.config, **changes}))
    service.process.send_signal(signal.SIGHUP)
    service.until(lambda: service.logged().count("configuration read again") > before)
    lines = [line for line in service.logged().splitlines() if "configuration read again" in line]
    return lines[-1]


def test_changed_classes_and_tenants_need_a_restart_and_requests_use_the_old_ones(tmp_path: Path) -> None:
    service = Service(tmp_path)
    changed_settings = {
        **types("fetch", "store", effect="non_idempotent"),
        "tenants": [{"name": "t", "share": 1.0}],
        "failure-domains": ["east"],
    }
    for _ in range(2):  # the second time too: the process still uses the first file
        assert reload(service, settings=changed_settings).endswith("needs_restart=settings")
    assert service.answer(service.asked(ask("new", "fetch")))[0] == 400
    for name in ("look", "book", "note"):
        client = service.asked(ask(f"old-{name}", name))
        service.got().answer(200)
        assert service.answer(client)[0] == 200
    assert reload(service).endswith("needs_restart=nothing")


class NoSignals:
    """Replaces the signal handling of the process."""

    def __init__(self, loop: Any) -> None:
        self.came: Any = None


@pytest.fixture
def no_signals(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    monkeypatch.setattr(serve, "Signals", NoSignals)
    yield


class Reloaded:
    """A sidecar in this process, and the content of its next configuration file."""

    def __init__(self, **changes: Any) -> None:
        self.raw = config(**changes)
        self.sidecar = serve.Sidecar(self.read(), self.read)

    def read(self) -> Config:
        return check("config.json", self.raw, {})

    def reload(self, **changes: Any) -> None:
        self.raw = {**self.raw, **changes}
        self.sidecar.reload()


@pytest.fixture
def reloaded(no_signals: None) -> Iterator[Reloaded]:
    instance = Reloaded()
    yield instance
    instance.sidecar.listener.close()


def limits(sidecar: serve.Sidecar) -> tuple[int, int]:
    return sidecar.front.most_clients, sidecar.pool.most


def test_new_limits_are_applied(reloaded: Reloaded) -> None:
    sidecar = reloaded.sidecar
    for sockets, memory in ((400, 512), (900, 64)):
        reloaded.reload(limits={"sockets": sockets, "memory_mb": memory})
        assert limits(sidecar) == serve.caps(reloaded.read())
        assert sidecar.front.room.places == serve.room(reloaded.read()) // STREAM  # type: ignore[attr-defined]


def test_new_limits_are_shared_with_an_overlapping_process(reloaded: Reloaded) -> None:
    """Otherwise two processes would each use the whole limits after a SIGHUP during a restart."""
    sidecar = reloaded.sidecar
    sidecar.alone_at = sidecar.loop.now() + serve.OVERLAP  # it has just taken over from another process
    reloaded.reload(limits={"sockets": 400})
    clients, connections = serve.caps(reloaded.read())
    assert limits(sidecar) == (clients // 2, connections // 2)
    # Guards against a kill during an upgrade: both processes gave the whole memory to their streams.
    assert sidecar.front.room.places == serve.room(reloaded.read()) // 2 // STREAM  # type: ignore[attr-defined]


def test_settings_that_need_a_restart_are_not_applied(reloaded: Reloaded) -> None:
    """Otherwise some components would use the settings of the new file and others the old ones."""
    sidecar, before = reloaded.sidecar, reloaded.read()
    received_configs = list[Config]()
    sidecar.fleet = SimpleNamespace(reload=received_configs.append)
    reloaded.reload(name="n2", settings=types("fetch"), discovery="127.0.0.1:10", limits={"cores": 0.5})
    running = sidecar.config
    assert received_configs == [running], "a fleet file is checked against the active settings"
    assert (running.name, running.settings, running.raw_settings) == (
        before.name,
        before.settings,
        before.raw_settings,
    )
    assert (running.discovery[1], running.cores) == (10, 0.5)


MYSQL = """
[mysql]
listen = "127.0.0.1:0"
platform = "platform.json"
default = "book"
[[users]]
name = "anna"
password = "anna.password"
[[rules]]
traffic_type = "look"
kinds = ["select"]
"""


def test_statements_keep_their_classes_when_new_settings_need_a_restart(
    tmp_path: Path, no_signals: None, caplog: pytest.LogCaptureFixture
) -> None:
    """The index of a class in the new settings may be another class in the active settings."""
    (tmp_path / "anna.password").write_text("secret")
    (tmp_path / "anna.password").chmod(0o600)
    (tmp_path / "mysql.toml").write_text(MYSQL)
    platform = tmp_path / "platform.json"
    platform.write_text(json.dumps(config()))

    def read() -> Any:
        return load_mysql(str(tmp_path / "mysql.toml"), {})

    sidecar = MysqlSidecar(read(), read)
    select, insert = "select a from t", "insert into t values (1)"

    def classes() -> list[str]:
        statements, names = sidecar.mysql_front.statements, sidecar.core.settings.type_names
        return [names[statements.meaning(sql, "anna", "s").traffic_type] for sql in (select, insert)]

    try:
        assert classes() == ["look", "book"]
        caplog.set_level(logging.INFO, "rainspindle.mysql")
        look, book, _ = SETTINGS["traffic-types"]
        swapped = {**SETTINGS, "traffic-types": [book, look]}
        platform.write_text(json.dumps(config(settings=swapped)))
        sidecar.reload()
        assert classes() == ["look", "book"]
        assert caplog.records[-1].fields["needs_restart"] == "rules"  # type: ignore[attr-defined]
        platform.write_text(json.dumps(config()))
        (tmp_path / "mysql.toml").write_text(MYSQL.replace('"look"', '"note"'))
        sidecar.reload()
        assert classes() == ["note", "book"]
        assert caplog.records[-1].fields["needs_restart"] == "nothing"  # type: ignore[attr-defined]
    finally:
        sidecar.listener.close()
