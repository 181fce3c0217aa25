"""Sidecars that share their load: the messages between them, their use, and the migration of settings."""

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


def first_endpoint(fleet: Fleet, key: str = "k") -> str:
    return fleet.balancer.ranking.order(key)[0].id


def mark(fleet: Fleet, endpoint_id: str) -> int:
    return fleet.balancer.registry.by_id[endpoint_id].mark


def serve_requests(fleet: Fleet, count: int, took: float = 0.05, first: int = 0, **arrival: Any) -> None:
    for request_id in range(first, first + count):
        request = fleet.arrive(request_id, key=f"key{request_id}", **arrival)
        fleet.wait(took)
        if request.sent:
            fleet.end(request_id, 0, AttemptOutcome.SERVED)


def test_an_endpoint_is_skipped_by_what_peers_have_in_flight_until_their_report_expires() -> None:
    # One sidecar alone sees only a part of the load.
    fleet = Fleet([kind()], [line(n, zone=0) for n in range(4)], **POOL)
    first = first_endpoint(fleet)
    fleet.balancer.peer_load.on_load_report(fleet.now, "2", [mark(fleet, first)] * 9, (), True)
    assert fleet.arrive(1).sent[0].endpoint != first
    fleet.balancer.peer_load.on_load_report(fleet.now, "2", [], (), True)
    assert fleet.arrive(2).sent[0].endpoint == first
    fleet.balancer.peer_load.on_load_report(fleet.now, "2", [mark(fleet, first)] * 9, (), True)
    fleet.wait(2.0)
    assert fleet.balancer.peer_load.total == 0 and fleet.arrive(3).sent[0].endpoint == first


def test_load_reports_have_the_changes_and_regularly_all_attempts() -> None:
    fleet = Fleet([kind(Idempotency.NON_IDEMPOTENT)], [line(n, zone=0) for n in range(4)], **POOL)
    other = Fleet([kind()], [line(n, zone=0) for n in range(4)], **POOL)
    for request_id in range(30):
        fleet.arrive(request_id, key=f"key{request_id}", wait=2.0)
        fleet.wait(0.04)
        if request_id % 3 == 0:
            fleet.end(request_id, 0, AttemptOutcome.SERVED)
        fleet.wait(0.04)
        for message in fleet.told_peers:
            if not isinstance(message, LearnedState):
                peers.receive(other.balancer.peer_load, other.now, "2", peers.encode_load(*message))
        fleet.told_peers.clear()
        in_flight = Counter(
            endpoint.mark for endpoint in fleet.balancer.registry.by_id.values() for _ in endpoint.in_flight
        )
        assert (
            +other.balancer.peer_load.in_flight == in_flight
            and other.balancer.peer_load.total == in_flight.total()
        )
    fleet.wait(0.3)
    messages = [message for message in fleet.told_peers if not isinstance(message, LearnedState)]
    assert 1 <= len(messages) <= 4 and any(complete for *_, complete in messages), (
        "few reports are due without changes, one of them complete"
    )


def test_changes_count_only_with_a_recent_complete_report() -> None:
    # Changes without a complete report, for example when that was lost, must not make counts grow.
    peer_load = PeerLoad()
    peer_load.on_load_report(0.0, "2", [7], [], False)
    assert (peer_load.total, dict(peer_load.in_flight)) == (0, {})
    peer_load.on_load_report(1.0, "2", [7, 7, 8], [], True)
    peer_load.on_load_report(1.1, "2", [9], [7], False)
    assert (peer_load.total, +peer_load.in_flight) == (3, Counter({7: 1, 8: 1, 9: 1}))
    for n in range(100):
        peer_load.on_load_report(1.2 + n / 100, "2", [100 + n], [], False)
    peer_load.sweep(2.2)
    assert peer_load.total == 0 and not peer_load.in_flight and not peer_load.reports


def test_load_reports_stay_within_their_cost() -> None:
    def messages_per_request(price: float) -> float:
        fleet = Fleet([kind()], [line(n, zone=0) for n in range(8)], peers=20, message_price=price, **POOL)
        serve_requests(fleet, 400, took=0.02)
        messages = [message for message in fleet.told_peers if not isinstance(message, LearnedState)]
        return 19 * sum(len(peers.encode_load(*load_message)) for load_message in messages) / 256 / 400

    free, costly = messages_per_request(0.0), messages_per_request(0.1)
    assert costly < 0.7 * free
    fleet = Fleet([kind()], [line(n, zone=0) for n in range(8)], peers=20, message_price=99.0, **POOL)
    # The cost once delayed reports for seconds before a request rate was known.
    serve_requests(fleet, 10, took=0.1)
    assert sum(not isinstance(message, LearnedState) for message in fleet.told_peers) >= 4


def test_a_slow_machine_kind_gets_fewer_keys_once_its_times_are_known() -> None:
    fleet = Fleet([kind()], [line(n, zone=0, machine=n % 2) for n in range(8)], **POOL)
    for request_id in range(400):
        request = fleet.arrive(request_id, key=f"key{request_id}")
        fleet.wait(0.09 if int(request.sent[0].endpoint[1:]) % 2 else 0.03)
        fleet.end(request_id, 0, AttemptOutcome.SERVED)
    slow = sum(int(first_endpoint(fleet, f"new{n}")[1:]) % 2 for n in range(400))
    assert 4 < slow < 40, "a third of the speed, and the weight is the cube of the speed"


def test_concurrency_is_learned_from_listed_weights_that_fall_with_load() -> None:
    fleet = Fleet([kind()], [line(n, zone=0) for n in range(4)], live_weights=True, **POOL)
    serve_requests(fleet, 40)
    for _ in range(20):
        marks = [mark(fleet, f"e{n}") for n in range(4) for _ in range(6)]
        fleet.balancer.peer_load.on_load_report(fleet.now, "2", marks, (), True)
        fleet.tell([line(n, zone=0, share=0.5) for n in range(4)])  # one request in flight per core
        serve_requests(fleet, 2, first=int(fleet.now * 100))
    assert fleet.balancer.service_times.models[0].concurrency == pytest.approx(6, rel=0.2)


def test_a_restarted_sidecar_uses_what_its_peers_learned() -> None:
    fleet = Fleet([kind()], [line(n, zone=0) for n in range(4)], **POOL)
    for peer, concurrency in ("2", 3.0), ("3", 5.0), ("4", 40.0):
        fleet.balancer.peer_load.on_learned_state(
            fleet.now, peer, LearnedState((), {0: KindEstimate(0.04, concurrency)})
        )
    fleet.arrive(1)
    fleet.wait(1.2)
    assert (
        fleet.balancer.service_times.models[0].concurrency,
        fleet.balancer.service_times.models[0].unloaded_time,
    ) == (5.0, 0.04)


def test_the_lowest_priority_weight_is_shed_first_and_requests_over_quota_weigh_less() -> None:
    classes = [kind(value=1.0), kind(value=8.0)]
    fleet = Fleet(classes, [line(0, zone=0)], tenant_allowances=(5.0, 100.0), excess_weight=0.2, **POOL)
    for request_id in range(400):
        fleet.arrive(request_id, request_id % 2, key=None, tenant=0 if request_id % 4 else 1)
        fleet.wait(0.02)
        fleet.end(request_id, 0, AttemptOutcome.SERVED) if fleet.held[request_id].sent else None
    fleet.balancer.peer_load.on_learned_state(fleet.now, "2", LearnedState((30.0, 10.0), {}))
    fleet.wait(1.2)
    assert fleet.balancer.quotas.excess[0] > 0.8 and fleet.balancer.quotas.excess[1] == 0.0
    fleet.arrive(1000, 0, tenant=0)
    assert 0.2 in fleet.balancer.weights.counts
    fleet.balancer.weights.counts = {0.2: 100.0, 1.0: 100.0, 8.0: 100.0}
    positions = [fleet.balancer.weights.position(weight) for weight in (0.2, 1.0, 8.0)]
    assert positions[0] < 0.34 < positions[1] < 0.68 < positions[2]


def test_load_of_peers_sheds_the_lowest_weight_and_no_attempt_times_out_early() -> None:
    fleet = Fleet([kind(value=1.0), kind(value=8.0)], [line(n, zone=0) for n in range(4)], **POOL)
    for request_id in range(100):  # both classes by turns, so that the sidecar learns their weights
        fleet.arrive(request_id, request_id % 2, f"key{request_id}")
        fleet.wait(0.02)
        fleet.end(request_id, 0, AttemptOutcome.SERVED)
    sent = [0, 0]
    for request_id in range(1000, 1200):
        for peer in "23":
            fleet.balancer.peer_load.on_learned_state(
                fleet.now, peer, LearnedState((), {0: KindEstimate(0.1, 1.3)})
            )
        fleet.balancer.peer_load.on_load_report(
            fleet.now, "2", [endpoint.mark for endpoint in fleet.balancer.registry.ready], [], True
        )
        request = fleet.arrive(request_id, request_id % 2, f"key{request_id}")
        # The attempts have the timeout of 2 s, though the latency objective is 0.6 s.
        assert all(attempt.patience == pytest.approx(2.0) for attempt in request.sent)
        sent[request_id % 2] += bool(request.sent)
        fleet.wait(0.02)
        fleet.end(request_id, 0, AttemptOutcome.SERVED) if request.sent else None
    assert sent[0] < 0.3 * sent[1] and sent[1] > 70
    for request_id in range(2000, 2200):
        fleet.balancer.peer_load.on_load_report(
            fleet.now, "2", [endpoint.mark for endpoint in fleet.balancer.registry.ready] * 4, [], True
        )
        assert not fleet.arrive(request_id, 1, f"key{request_id}").sent, (
            "the attempts in flight are three times the concurrency"
        )


def test_rankings_are_kept_while_the_list_changes_nothing_that_they_depend_on() -> None:
    fleet = Fleet([kind()], [line(n, zone=0) for n in range(4)], live_weights=True, **POOL)
    ranking = fleet.balancer.ranking.order("k")
    fleet.tell([line(n, zone=0, share=0.7) for n in range(4)], whole=True)
    # The endpoints were once sorted again for each key, twice a second.
    assert fleet.balancer.ranking.order("k") is ranking
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
def test_messages_are_decoded_as_encoded_and_fit(marks, rates, kinds):  # type: ignore[no-untyped-def]
    for complete in (True, False):
        encoded = peers.encode_load(marks, marks[:9], complete)
        decoded = peers.decode(encoded)
        assert len(encoded) <= 256 and isinstance(decoded, peers.LoadMessage)
        assert (decoded.started, decoded.complete) == (marks[:63], complete)
        assert decoded.ended == ([] if complete else marks[: min(9, 63 - len(decoded.started))])
    encoded_state = peers.encode_learned_state(
        LearnedState(
            tuple(map(float, rates)),
            {machine_kind: KindEstimate(*values) for machine_kind, values in kinds.items()},
        )
    )
    decoded_state = peers.decode(encoded_state)
    assert (
        len(encoded_state) <= 256
        and isinstance(decoded_state, LearnedState)
        and decoded_state.request_rates == tuple(map(float, rates))
    )
    assert all(
        (decoded_state.kinds[machine_kind].unloaded_time, decoded_state.kinds[machine_kind].concurrency)
        == pytest.approx(values, abs=0.06)
        for machine_kind, values in kinds.items()
    )


@settings(max_examples=300, deadline=None, derandomize=True)
@given(text=st.one_of(st.text(max_size=300), st.text("=,;:.-_0123456789naief", max_size=60).map("=".__add__)))
def test_any_text_is_a_message_or_is_rejected(text: str) -> None:
    fleet = Fleet([kind()], [line(0)], **POOL)
    try:
        peers.receive(fleet.balancer.peer_load, fleet.now, "2", text)
    except ValueError:
        return
    fleet.wait(1.5)
    assert fleet.arrive(1).sent


def test_the_machine_kind_is_decoded_by_its_name() -> None:
    decoder = ListDecoder(("north",), 0.0, ("fast", "small"))
    entries = [{**entry(f"e{n}", 1), "machineType": name} for n, name in enumerate(("small", "odd", "fast"))]
    change = decoder.decode({"generation": 1, "reset": True, "instances": entries})
    assert [listed.machine_kind for listed in change.lines] == [1, 2, 0]


def shared_load_settings(**changes: Any) -> dict[str, Any]:
    limits = {**SETTINGS["policy-limits"], "peers": True}
    return {**CALM, "discovery": "pushed", "weight-kind": "off", "policy-limits": limits, **changes}


@pytest.mark.parametrize(
    ("changes", "expected_error"),
    [
        ({"settings": shared_load_settings(), "peers": {"listen": "127.0.0.1:1"}}, "peers has no 'listen'"),
        (
            {
                "settings": shared_load_settings(),
                "peers": {"listen": "127.0.0.1:1", "others": ["127.0.0.1:1"]},
            },
            "its own addr",
        ),
        (
            {"settings": shared_load_settings(), "peers": {"listen": "127.0.0.1:1", "others": ["[::1]:1"]}},
            "IPv4 and IPv6",
        ),
        ({"settings": {**SETTINGS, "kinds": "fast"}}, "kinds is no list"),
        ({"peers": {"listen": "127.0.0.1:1", "others": []}}, "policy-limits.peers is not true"),
        (
            {"settings": shared_load_settings(), "peers": {"listen": "127.0.0.1:1", "others": ["there:1"]}},
            "not a numeric",
        ),
        (
            {
                "settings": shared_load_settings(),
                "peers": {"listen": "127.0.0.1:1", "others": [], "otters": 1},
            },
            "'otters'",
        ),
        ({"settings": {**SETTINGS, "weight-kind": "heavy"}}, "weight-kind is none of"),
        ({"settings": {**SETTINGS, "discovery": "guessed"}}, "discovery is none of"),
        ({"settings": {**SETTINGS, "tenants": [{"allowance-per-s": -1}]}}, "allowance-per-s"),
        ({"settings": {**SETTINGS, "excess-value": "much"}}, "excess-value"),
        ({"settings": {**SETTINGS, "prices": {"peer": -1}}}, "peer is no number"),
    ],
)
def test_an_invalid_setting_is_reported_in_one_line(
    tmp_path: Path, changes: dict[str, Any], expected_error: str
) -> None:
    (tmp_path / "config.json").write_text(json.dumps(config(**changes)))
    done = run("check", "--config", str(tmp_path / "config.json"))
    assert done.returncode == 2 and expected_error in done.stderr and done.stderr.count("\n") == 1


def test_a_sidecar_reports_its_load_to_another_on_sockets(tmp_path: Path) -> None:
    """A socket stands in for a peer: it receives load reports, and its own reports cause rejections."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
        other.bind(("127.0.0.1", 0))
        other.settimeout(0.02)
        address = "127.0.0.1", reserve_port()
        service = Service(
            tmp_path,
            settings=shared_load_settings(),
            peers={"listen": f"127.0.0.1:{address[1]}", "others": [f"127.0.0.1:{other.getsockname()[1]}"]},
        )
        assert "index=41" in service.watch().target  # set to pushed, yet on sockets the list is watched
        client = service.asked(ask("x"))
        got = service.got()
        received: set[bytes] = set()

        def load_received() -> bool:
            try:
                received.add(other.recv(512))
            except TimeoutError:
                return False
            return any(payload.startswith(b".") and len(payload) > 1 for payload in received)

        service.until(load_received)
        got.answer(200)
        assert service.answer(client)[0] == 200
        endpoint_mark = next(
            payload for payload in received if payload.startswith(b".") and len(payload) > 1
        )[1:5]

        def rejected() -> bool:
            other.sendto(b"." + endpoint_mark * 60, address)
            other.sendto(b"\xff nonsense", address)
            again = service.asked(ask("y"))
            service.endpoint.look()
            while service.endpoint.unread:
                service.endpoint.unread.pop().answer(200)
            return service.answer(again)[0] == 503

        service.until(rejected)


OLD: dict[str, Any] = {
    "settings": {**SETTINGS, "weight-kind": "nominal"},
    "colour": "red",
    "known": {"generation": 41, "reset": True, "instances": [{**entry("e0", 9), "weight": 2.5}]},
}
PEERS = ("--peer-listen", "127.0.0.1:7400", "--peer", "127.0.0.1:7401", "--kinds", "fast, small")


def migrated(folder: Path, *arguments: str, old: object = None) -> tuple[int, str, Path]:
    source, target = folder / "old.json", folder / "new.json"
    if not source.exists():
        source.write_text(json.dumps(config(**OLD) if old is None else old))
        source.chmod(0o640)
    done = run("migrate", str(source), "--output", str(target), *arguments)
    return done.returncode, done.stdout + done.stderr, target


def test_a_migrated_file_serves_as_the_old_one_does_and_all_changes_are_listed(tmp_path: Path) -> None:
    status, output, target = migrated(tmp_path, *PEERS)
    new = json.loads(target.read_text())
    assert status == 0 and new["peers"] == {"listen": "127.0.0.1:7400", "others": ["127.0.0.1:7401"]}
    assert target.stat().st_mode & 0o777 == 0o640 and len(list(tmp_path.iterdir())) == 2
    for expected in (
        "not carried over: colour",
        "not carried over: settings.weight-kind nominal",
        "not carried over: settings.traffic-types[2].overdue-value 0.4",
        "to fill in: settings.tenants",
        "not carried over: known.instances[].weight",
        "carried: settings.contract\n",
        'changed: settings.discovery: "on_request" -> "pushed"',
    ):
        assert expected in output
    for file in ("new.json", "old.json"):
        directory = tmp_path / f"run-{file}"
        directory.mkdir()
        raw_config = json.loads((tmp_path / file).read_text())
        service = Service(
            directory, **{key: raw_config[key] for key in ("settings", "peers") if key in raw_config}
        )
        client = service.asked(ask("x"))
        service.got().answer(200)
        assert service.answer(client)[0] == 200


def test_an_existing_file_is_kept_and_a_dry_run_changes_nothing(tmp_path: Path) -> None:
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
    status, output, _ = migrated(tmp_path, "--json")
    assert status == 0 and "already" in json.loads(output)["result"]


@pytest.mark.parametrize("old", [{}, [], {**config(), "settings": 3}, {**config(), "listen": "there"}])
def test_a_failed_migration_reports_one_line_and_writes_no_file(tmp_path: Path, old: object) -> None:
    status, output, target = migrated(tmp_path, old=old)
    assert status == 2 and output.count("\n") == 1 and "old.json" in output and not target.exists()


def test_a_full_disk_leaves_no_partial_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def fchmod(fd: int, mode: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr("os.fchmod", fchmod)
    with pytest.raises(OSError, match="No space"):
        migrate.write(tmp_path / "new.json", b"{}", 0o600, force=False)
    assert not list(tmp_path.iterdir())
