"""Decode a batch, call the instance's method for each message, encode what it did. No decisions here."""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Sequence
from typing import Any, BinaryIO

import orjson

from ..errors import Trouble
from ..host import Facts, Listed, Outcome, State
from ..logic import Balancer
from ..protocol.peers import encode_facts, encode_held, hear
from ..protocol.settings import make_balancer

Message = dict[str, Any]

STATES = {0: State.GONE, 1: State.DRAINING, 2: State.READY}
CACHED, FAILED, FULL = 0, 1, 2
OUTCOMES = {
    "S": Outcome.SERVED,
    "E": Outcome.ERROR,
    "F": Outcome.FULL,
    "T": Outcome.TIMED_OUT,
    "C": Outcome.UNCONNECTED,
    "R": Outcome.RESET,
    "X": Outcome.CALLED_OFF,
    "N": Outcome.UNSENT,
}


class Fault(Trouble):
    """Input that the wire does not allow, named in one line."""

    remedy = "send one batch a line, as the simulator does"


class SimHost:
    """The Host of one instance: each act becomes an action in the reply under way."""

    def __init__(self, instance: str, outbox: list[Message]) -> None:
        self.instance, self.outbox = instance, outbox

    def act(self, name: str, **fields: object) -> None:
        self.outbox.append({"event_type": name, "sidecar-id": self.instance, **fields})

    def forward(self, exchange: int, endpoint: str, patience: float) -> None:
        self.act("Try", corr=exchange, endpoint=endpoint, patience=max(patience, 0.001) * 1000)

    def reject(self, exchange: int, hold_off: float) -> None:
        self.act("Bounce", corr=exchange, **{"hold-off": hold_off * 1000})

    def terminate(self, exchange: int) -> None:
        self.act("FinishError", corr=exchange)

    def call_off(self, exchange: int, number: int) -> None:
        self.act("Retract", corr=exchange, **{"try": number})

    def wake(self, delay: float, token: str) -> None:
        self.act("NotifyMe", wait=delay * 1000, ctx=token)

    def probe(self, endpoint: str) -> None:
        self.act("HealthCheck", endpoint=endpoint)

    def watch_list(self) -> None:
        self.act("Tail", on=True)

    def ask_list(self) -> None:
        self.act("Refresh")

    def close_idle(self, endpoint: str) -> None:
        self.act("ShutIdle", endpoint=endpoint)

    def tell_held(self, began: Sequence[int], ended: Sequence[int], whole: bool) -> None:
        self.act("Share", target="all", payload=encode_held(began, ended, whole))

    def tell_facts(self, facts: Facts) -> None:
        self.act("Share", target="all", payload=encode_facts(facts))

    def log(self, line: str) -> None:
        self.act("Log", **{"reason-text": line})


class Adapter:
    def __init__(self) -> None:
        self.instances: dict[str, Balancer] = {}
        self.pages: dict[int, list[Listed]] = {}
        self.outbox: list[Message] = []

    def batch(self, line: bytes) -> bytes:
        try:
            batch = orjson.loads(line)
        except orjson.JSONDecodeError as e:
            raise Fault(f"a batch that is not JSON ({e}): {line[:80]!r}") from None
        if (
            not isinstance(batch, dict)
            or not isinstance(batch.get("now"), int | float)
            or not isinstance(batch.get("msgs"), list)
        ):
            raise Fault(f"a batch without 'now' and 'msgs': {line[:80]!r}")
        now = batch["now"] / 1000
        self.outbox.clear()
        for message in batch["msgs"]:
            try:
                self.message(now, message)
            except (KeyError, TypeError, AttributeError, IndexError, ValueError) as e:
                raise Fault(f"{type(e).__name__} {e} in message {str(message)[:200]}") from e
        return orjson.dumps({"outbox": self.outbox})

    def message(self, now: float, m: Message) -> None:
        name = m["event_type"]
        if name == "Roster":
            self.pages[m["page"]] = [listed(entry) for entry in m["lines"]]
            return
        id = m["sidecar-id"]
        if name == "Hello":
            self.instances[id] = make_balancer(SimHost(id, self.outbox), m["salt"], now, m["settings"])
            return
        instance = self.instances.get(id)
        if instance is None:
            raise Fault(f"{name} for {id}, which was never started")
        match name:
            case "Incoming":
                instance.exchange_arrived(
                    now,
                    m["corr"],
                    m["lane"],
                    m.get("route-key"),
                    m["not-after"] / 1000,
                    bool(m.get("repeat")),
                    tenant=m.get("billing"),
                )
            case "Verdict":
                instance.forward_ended(now, m["corr"], m["try"], bool(m.get("over")), OUTCOMES[m["how"]])
            case "DeadlineHit":
                instance.woken(now, m["ctx"])
            case "ClientLeft":
                instance.client_left(now, m["corr"])
            case "RosterChange" if m["mode"] == FAILED:
                instance.list_failed(now)
            case "RosterChange":
                instance.list_changed(
                    now, self.pages[m["page"]], whole=m["mode"] in (CACHED, FULL), stale=m["mode"] == CACHED
                )
            case "Flowing":
                instance.answer_started(now, m["corr"], m["try"], m["duration"] / 1000)
            case "CrashNow":
                del self.instances[id]
            case "Memo":
                with contextlib.suppress(ValueError):  # not from a sidecar of this release
                    hear(instance.pool, now, str(m["who"]), m["payload"])
            case "ProbeResult":
                pass  # none are sent: the trials are real exchanges
            case _:
                raise Fault(f"an unknown message name {name!r}")


def listed(entry: Message) -> Listed:
    started = entry.get("start-time")
    share = entry.get("share")
    return Listed(
        entry["endpoint"],
        entry.get("block") or 0,
        entry.get("locality") or 0,
        1.0 if share is None else share,
        STATES[entry["mode"]],
        started / 1000 if started else None,
        entry.get("model") or 0,
    )


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    adapter = Adapter()
    for line in source:
        try:
            reply = adapter.batch(line)
        except Fault as fault:
            print(f"rainspindle: {fault.line()}", file=sys.stderr)
            return 2
        sink.write(reply + b"\n")
        sink.flush()
    return 0
