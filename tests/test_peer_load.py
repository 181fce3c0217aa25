"""Sidecars of a pool: what they tell one another, and what each makes of it."""

from __future__ import annotations

import json
import socket
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainspindle.balancer.host import AttemptOutcome, EndpointStatus, Idempotency, KindEstimate, LearnedState
from rainspindle.balancer.peer_load import PeerLoad
from rainspindle.lab.sockets.run import reserve_port
from rainspindle.program import migrate
from rainspindle.protocol import peers
from rainspindle.protocol.discovery import ListDecoder

from .fleet import SETTINGS, Fleet, entry, kind, line
from .test_program import CALM, Service, ask, config, run

POOL: dict[str, Any] = {"share_load": True, "shares": False, "cross_price": 0.0}


def home(fleet: Fleet, key: str = "k") -> str:
    return fleet.balancer.ranking.order(key)[0].id


def mark(fleet: Fleet, id: str) -> int:
    return fleet.balancer.registry.by_id[id].mark


def served(fleet: Fleet, count: int, took: float = 0.05, first: int = 0, **arrival: Any) -> None:
    for id in range(first, first + count):
        held = fleet.arrive(id, key=f"key{id}", **arrival)
        fleet.wait(took)
        if held.sent:
            fleet.end(id, 0, AttemptOutcome.SERVED)


def test_what_peers_have_in_flight_passes_an_endpoint_over_until_their_report_is_old() -> None:
    fleet = Fleet([kind()], [line(n, zone=0) for n in range(4)], **POOL)  # a sidecar sees a part of the load
    first = home(fleet)
    fleet.balancer.peer_load.on_load_report(fleet.now, "2", [mark(fleet, first)] * 9, (), True)
    assert fleet.arrive(1).sent[0].endpoint != first
    fleet.balancer.peer_load.on_load_report(fleet.now, "2", [], (), True)
    assert fleet.arrive(2).sent[0].endpoint == first
    fleet.balancer.peer_load.on_load_report(fleet.now, "2", [mark(fleet, first)] * 9, (), True)
    fleet.wait(2.0)
    assert fleet.balancer.peer_load.total == 0 and fleet.arrive(3).sent[0].endpoint == first


def test_a_load_report_has_what_changed_and_now_and_then_everything() -> None:
    fleet = Fleet([kind(Idempotency.NON_IDEMPOTENT)], [line(n, zone=0) for n in range(4)], **POOL)
    other = Fleet([kind()], [line(n, zone=0) for n in range(4)], **POOL)
    for id in range(30):
        fleet.arrive(id, key=f"key{id}", wait=2.0)
        fleet.wait(0.04)
        if id % 3 == 0:
            fleet.end(id, 0, AttemptOutcome.SERVED)
        fleet.wait(0.04)
        for told in fleet.told_peers:
            if not isinstance(told, LearnedState):
                peers.receive(other.balancer.peer_load, other.now, "2", peers.encode_load(*told))
        fleet.told_peers.clear()
        out = Counter(e.mark for e in fleet.balancer.registry.by_id.values() for _ in e.in_flight)
        assert +other.balancer.peer_load.in_flight == out and other.balancer.peer_load.total == out.total()
    fleet.wait(0.3)
    words = [told for told in fleet.told_peers if not isinstance(told, LearnedState)]
    assert 1 <= len(words) <= 4 and any(complete for *_, complete in words), "little has changed since"


def test_changes_count_only_on_top_of_a_whole_that_is_not_old() -> None:
    pool = (
        PeerLoad()
    )  # a sidecar that tells changes alone, or whose whole was lost, must not make counts grow
    pool.on_load_report(0.0, "2", [7], [], False)
    assert (pool.total, dict(pool.in_flight)) == (0, {})
    pool.on_load_report(1.0, "2", [7, 7, 8], [], True)
    pool.on_load_report(1.1, "2", [9], [7], False)
    assert (pool.total, +pool.in_flight) == (3, Counter({7: 1, 8: 1, 9: 1}))
    for n in range(100):
        pool.on_load_report(1.2 + n / 100, "2", [100 + n], [], False)
    pool.sweep(2.2)
    assert pool.total == 0 and not pool.in_flight and not pool.reports


def test_load_reports_keep_to_their_price() -> None:
    def bytes_told(price: float) -> float:
        fleet = Fleet([kind()], [line(n, zone=0) for n in range(8)], peers=20, message_price=price, **POOL)
        served(fleet, 400, took=0.02)
        words = [told for told in fleet.told_peers if not isinstance(told, LearnedState)]
        return 19 * sum(len(peers.encode_load(*word)) for word in words) / 256 / 400

    free, dear = bytes_told(0.0), bytes_told(0.1)
    assert dear < 0.7 * free
    fleet = Fleet([kind()], [line(n, zone=0) for n in range(8)], peers=20, message_price=99.0, **POOL)
    served(fleet, 10, took=0.1)  # before a rate was known the price kept word back for seconds
    assert sum(not isinstance(told, LearnedState) for told in fleet.told_peers) >= 4


def test_a_slow_kind_gets_fewer_keys_once_its_times_are_known() -> None:
    fleet = Fleet([kind()], [line(n, zone=0, machine=n % 2) for n in range(8)], **POOL)
    for id in range(400):
        held = fleet.arrive(id, key=f"key{id}")
        fleet.wait(0.09 if int(held.sent[0].endpoint[1:]) % 2 else 0.03)
        fleet.end(id, 0, AttemptOutcome.SERVED)
    slow = sum(int(home(fleet, f"new{n}")[1:]) % 2 for n in range(400))
    assert 4 < slow < 40, "a third of the speed, and speeds weigh by their cubes"


def test_free_places_come_from_a_list_whose_weights_move_with_load() -> None:
    fleet = Fleet([kind()], [line(n, zone=0) for n in range(4)], live_weights=True, **POOL)
    served(fleet, 40)
    for _ in range(20):
        held = [mark(fleet, f"e{n}") for n in range(4) for _ in range(6)]
        fleet.balancer.peer_load.on_load_report(fleet.now, "2", held, (), True)
        fleet.tell([line(n, zone=0, share=0.5) for n in range(4)])  # one held by each core
        served(fleet, 2, first=int(fleet.now * 100))
    assert fleet.balancer.service_times.models[0].concurrency == pytest.approx(6, rel=0.2)


def test_a_restarted_sidecar_goes_by_what_the_others_learnt() -> None:
    fleet = Fleet([kind()], [line(n, zone=0) for n in range(4)], **POOL)
    for who, free in ("2", 3.0), ("3", 5.0), ("4", 40.0):
        fleet.balancer.peer_load.on_learned_state(
            fleet.now, who, LearnedState((), {0: KindEstimate(0.04, free)})
        )
    fleet.arrive(1)
    fleet.wait(1.2)
    assert (
        fleet.balancer.service_times.models[0].concurrency,
        fleet.balancer.service_times.models[0].unloaded_time,
    ) == (5.0, 0.04)


def test_the_least_priority_weight_is_shed_first_and_what_exceeds_a_quota_weighs_less() -> None:
    types = [kind(value=1.0), kind(value=8.0)]
    fleet = Fleet(types, [line(0, zone=0)], tenant_allowances=(5.0, 100.0), excess_weight=0.2, **POOL)
    for id in range(400):
        fleet.arrive(id, id % 2, key=None, tenant=0 if id % 4 else 1)
        fleet.wait(0.02)
        fleet.end(id, 0, AttemptOutcome.SERVED) if fleet.held[id].sent else None
    fleet.balancer.peer_load.on_learned_state(fleet.now, "2", LearnedState((30.0, 10.0), {}))
    fleet.wait(1.2)
    assert fleet.balancer.quotas.excess[0] > 0.8 and fleet.balancer.quotas.excess[1] == 0.0
    fleet.arrive(1000, 0, tenant=0)
    assert 0.2 in fleet.balancer.weights.counts
    fleet.balancer.weights.counts = {0.2: 100.0, 1.0: 100.0, 8.0: 100.0}
    places = [fleet.balancer.weights.position(worth) for worth in (0.2, 1.0, 8.0)]
    assert places[0] < 0.34 < places[1] < 0.68 < places[2]


def test_load_at_peers_sheds_the_least_weight_and_no_attempt_times_out_early() -> None:
    fleet = Fleet([kind(value=1.0), kind(value=8.0)], [line(n, zone=0) for n in range(4)], **POOL)
    for id in range(100):  # in turn, so that the sidecar knows what is asked
        fleet.arrive(id, id % 2, f"key{id}")
        fleet.wait(0.02)
        fleet.end(id, 0, AttemptOutcome.SERVED)
    sent = [0, 0]
    for id in range(1000, 1200):
        for who in "23":
            fleet.balancer.peer_load.on_learned_state(
                fleet.now, who, LearnedState((), {0: KindEstimate(0.1, 1.3)})
            )
        fleet.balancer.peer_load.on_load_report(
            fleet.now, "2", [e.mark for e in fleet.balancer.registry.ready], [], True
        )
        held = fleet.arrive(id, id % 2, f"key{id}")
        assert all(s.patience == pytest.approx(2.0) for s in held.sent)  # promised is 0.6 s
        sent[id % 2] += bool(held.sent)
        fleet.wait(0.02)
        fleet.end(id, 0, AttemptOutcome.SERVED) if held.sent else None
    assert sent[0] < 0.3 * sent[1] and sent[1] > 70
    for id in range(2000, 2200):
        fleet.balancer.peer_load.on_load_report(
            fleet.now, "2", [e.mark for e in fleet.balancer.registry.ready] * 4, [], True
        )
        assert not fleet.arrive(id, 1, f"key{id}").sent, "three times what is free is held"


def test_ranks_stay_while_a_list_changes_nothing_that_they_go_by() -> None:
    fleet = Fleet([kind()], [line(n, zone=0) for n in range(4)], live_weights=True, **POOL)
    ranked = fleet.balancer.ranking.order("k")
    fleet.tell([line(n, zone=0, share=0.7) for n in range(4)], whole=True)
    assert fleet.balancer.ranking.order("k") is ranked  # sorted anew for each key, twice a second
    fleet.tell([line(0, EndpointStatus.GONE)])
    assert len(fleet.balancer.ranking.order("k")) == 3


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    marks=st.lists(st.integers(0, 2**24 - 1), max_size=100),
    rates=st.lists(st.integers(0, 9999), max_size=8),
    kinds=st.dictionaries(
        st.integers(0, 9), st.tuples(st.floats(0.001, 9.0), st.floats(1.0, 40.0)), max_size=4
    ),
)
def test_messages_come_back_as_they_went_and_fit(marks, rates, kinds):  # type: ignore[no-untyped-def]
    for whole in (True, False):
        word = peers.encode_load(marks, marks[:9], whole)
        told = peers.decode(word)
        assert len(word) <= 256 and isinstance(told, peers.LoadMessage)
        assert (told.started, told.complete) == (marks[:63], whole)
        assert told.ended == ([] if whole else marks[: min(9, 63 - len(told.started))])
    text = peers.encode_learned_state(
        LearnedState(tuple(map(float, rates)), {k: KindEstimate(*v) for k, v in kinds.items()})
    )
    facts = peers.decode(text)
    assert (
        len(text) <= 256
        and isinstance(facts, LearnedState)
        and facts.request_rates == tuple(map(float, rates))
    )
    assert all(
        (facts.kinds[k].unloaded_time, facts.kinds[k].concurrency) == pytest.approx(v, abs=0.06)
        for k, v in kinds.items()
    )


@settings(max_examples=300, deadline=None, derandomize=True)
@given(text=st.one_of(st.text(max_size=300), st.text("=,;:.-_0123456789naief", max_size=60).map("=".__add__)))
def test_any_text_is_a_message_or_is_refused(text: str) -> None:
    fleet = Fleet([kind()], [line(0)], **POOL)
    try:
        peers.receive(fleet.balancer.peer_load, fleet.now, "2", text)
    except ValueError:
        return
    fleet.wait(1.5)
    assert fleet.arrive(1).sent


def test_the_kind_of_a_machine_is_read_by_its_name() -> None:
    decoder = ListDecoder(("north",), 0.0, ("fast", "small"))
    entries = [{**entry(f"e{n}", 1), "machineType": name} for n, name in enumerate(("small", "odd", "fast"))]
    change = decoder.decode({"generation": 1, "reset": True, "instances": entries})
    assert [told.machine_kind for told in change.lines] == [1, 2, 0]


def pooled(**changes: Any) -> dict[str, Any]:
    limits = {**SETTINGS["policy-limits"], "peers": True}
    return {**CALM, "discovery": "pushed", "weight-kind": "off", "policy-limits": limits, **changes}


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"settings": pooled(), "peers": {"listen": "127.0.0.1:1"}}, "peers has no 'listen'"),
        (
            {"settings": pooled(), "peers": {"listen": "127.0.0.1:1", "others": ["127.0.0.1:1"]}},
            "its own addr",
        ),
        ({"settings": pooled(), "peers": {"listen": "127.0.0.1:1", "others": ["[::1]:1"]}}, "IPv4 and IPv6"),
        ({"settings": {**SETTINGS, "kinds": "fast"}}, "kinds is no list"),
        ({"peers": {"listen": "127.0.0.1:1", "others": []}}, "policy-limits.peers is not true"),
        ({"settings": pooled(), "peers": {"listen": "127.0.0.1:1", "others": ["there:1"]}}, "not a numeric"),
        ({"settings": pooled(), "peers": {"listen": "127.0.0.1:1", "others": [], "otters": 1}}, "'otters'"),
        ({"settings": {**SETTINGS, "weight-kind": "heavy"}}, "weight-kind is none of"),
        ({"settings": {**SETTINGS, "discovery": "guessed"}}, "discovery is none of"),
        ({"settings": {**SETTINGS, "tenants": [{"allowance-per-s": -1}]}}, "allowance-per-s"),
        ({"settings": {**SETTINGS, "excess-value": "much"}}, "excess-value"),
        ({"settings": {**SETTINGS, "prices": {"peer": -1}}}, "peer is no number"),
    ],
)
def test_a_bad_setting_is_named_in_one_line(tmp_path: Path, changes: dict[str, Any], named: str) -> None:
    (tmp_path / "config.json").write_text(json.dumps(config(**changes)))
    done = run("check", "--config", str(tmp_path / "config.json"))
    assert done.returncode == 2 and named in done.stderr and done.stderr.count("\n") == 1


def test_a_sidecar_reports_its_load_to_another_on_sockets(tmp_path: Path) -> None:
    """A stand-in for another sidecar: it hears the word, and its own turns a key away from its endpoint."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
        other.bind(("127.0.0.1", 0))
        other.settimeout(0.02)
        here = "127.0.0.1", reserve_port()
        service = Service(
            tmp_path,
            settings=pooled(),
            peers={"listen": f"127.0.0.1:{here[1]}", "others": [f"127.0.0.1:{other.getsockname()[1]}"]},
        )
        assert "index=41" in service.watch().target  # pushed, yet on sockets it comes by a watch
        client = service.asked(ask("x"))
        got = service.got()
        words: set[bytes] = set()

        def heard() -> bool:
            try:
                words.add(other.recv(512))
            except TimeoutError:
                return False
            return any(word.startswith(b".") and len(word) > 1 for word in words)

        service.until(heard)
        got.answer(200)
        assert service.answer(client)[0] == 200
        told = next(word for word in words if word.startswith(b".") and len(word) > 1)[1:5]

        def refused() -> bool:
            other.sendto(b"." + told * 60, here)
            other.sendto(b"\xff nonsense", here)
            again = service.asked(ask("y"))
            service.endpoint.look()
            while service.endpoint.unread:
                service.endpoint.unread.pop().answer(200)
            return service.answer(again)[0] == 503

        service.until(refused)


OLD: dict[str, Any] = {
    "settings": {**SETTINGS, "weight-kind": "nominal"},
    "colour": "red",
    "known": {"generation": 41, "reset": True, "instances": [{**entry("e0", 9), "weight": 2.5}]},
}
PEERS = ("--peer-listen", "127.0.0.1:7400", "--peer", "127.0.0.1:7401", "--kinds", "fast, small")


def migrated(folder: Path, *further: str, old: object = None) -> tuple[int, str, Path]:
    source, target = folder / "old.json", folder / "new.json"
    if not source.exists():
        source.write_text(json.dumps(config(**OLD) if old is None else old))
        source.chmod(0o640)
    done = run("migrate", str(source), "--output", str(target), *further)
    return done.returncode, done.stdout + done.stderr, target


def test_a_migrated_file_serves_beside_the_old_one_and_all_that_changed_is_listed(tmp_path: Path) -> None:
    status, said, target = migrated(tmp_path, *PEERS)
    new = json.loads(target.read_text())
    assert status == 0 and new["peers"] == {"listen": "127.0.0.1:7400", "others": ["127.0.0.1:7401"]}
    assert target.stat().st_mode & 0o777 == 0o640 and len(list(tmp_path.iterdir())) == 2
    for told in (
        "not carried over: colour",
        "not carried over: settings.weight-kind nominal",
        "not carried over: settings.traffic-types[2].overdue-value 0.4",
        "to fill in: settings.tenants",
        "not carried over: known.instances[].weight",
        "carried: settings.contract\n",
        'changed: settings.discovery: "on_request" -> "pushed"',
    ):
        assert told in said
    for file in ("new.json", "old.json"):
        place = tmp_path / f"run-{file}"
        place.mkdir()
        whole = json.loads((tmp_path / file).read_text())
        service = Service(place, **{key: whole[key] for key in ("settings", "peers") if key in whole})
        client = service.asked(ask("x"))
        service.got().answer(200)
        assert service.answer(client)[0] == 200


def test_a_file_that_is_there_stays_and_a_dry_run_changes_nothing(tmp_path: Path) -> None:
    assert migrated(tmp_path, *PEERS, "--dry-run")[:1] == (0,) and not (tmp_path / "new.json").exists()
    listed = [migrated(tmp_path, *PEERS, *flags)[1].partition("\n")[2] for flags in (("--dry-run",), ())]
    before = (tmp_path / "new.json").read_bytes()
    assert listed[0] == listed[1] and migrated(tmp_path)[0] == 2
    assert (tmp_path / "new.json").read_bytes() == before and migrated(tmp_path, "--force")[0] == 0
    assert "peers" not in json.loads((tmp_path / "new.json").read_text())
    done = run("migrate", str(tmp_path / "old.json"), "--output", str(tmp_path / "old.json"), "--force")
    assert done.returncode == 2 and json.loads((tmp_path / "old.json").read_text())["colour"] == "red"
    done = run("check", "--config", str(tmp_path / "new.json"))
    assert done.returncode == 0 and "goes by its own exchanges alone" in done.stdout
    with (tmp_path / "new.json").open() as file:
        again = json.load(file)
    (tmp_path / "old.json").write_text(json.dumps(again))
    status, said, _ = migrated(tmp_path, "--json")
    assert status == 0 and "already" in json.loads(said)["result"]


@pytest.mark.parametrize("old", [{}, [], {**config(), "settings": 3}, {**config(), "listen": "there"}])
def test_what_cannot_be_migrated_is_one_line_and_no_file(tmp_path: Path, old: object) -> None:
    status, said, target = migrated(tmp_path, old=old)
    assert status == 2 and said.count("\n") == 1 and "old.json" in said and not target.exists()


def test_a_full_disk_leaves_no_part_of_a_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def full(fd: int, mode: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr("os.fchmod", full)
    with pytest.raises(OSError, match="No space"):
        migrate.write(tmp_path / "new.json", b"{}", 0o600, force=False)
    assert not list(tmp_path.iterdir())
