"""Decode a batch, call the instance's method for each message, encode what it did. No decisions here."""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Sequence
from typing import Any, BinaryIO

import orjson

from ..balancer.balancer import Balancer
from ..balancer.host import (
    AttemptEnd,
    AttemptOutcome,
    EndpointListUpdate,
    EndpointStatus,
    IncomingRequest,
    LearnedState,
    ListedEndpoint,
    Timer,
)
from ..errors import Trouble
from ..protocol.peers import encode_learned_state, encode_load, receive
from ..protocol.settings import make_balancer

Message = dict[str, Any]

STATES = {0: EndpointStatus.GONE, 1: EndpointStatus.DRAINING, 2: EndpointStatus.READY}
CACHED, FAILED, FULL = 0, 1, 2
OUTCOMES = {
    "S": AttemptOutcome.SERVED,
    "E": AttemptOutcome.ERROR,
    "F": AttemptOutcome.OVERLOADED,
    "T": AttemptOutcome.TIMED_OUT,
    "C": AttemptOutcome.NOT_CONNECTED,
    "R": AttemptOutcome.RESET,
    "X": AttemptOutcome.CANCELLED,
    "N": AttemptOutcome.NOT_SENT,
}


class Fault(Trouble):
    """Input that the wire does not allow, named in one line."""

    remedy = "send one batch a line, as the simulator does"


class SimulatorHost:
    """The host of one instance: each act becomes an action in the reply under way."""

    def __init__(self, instance: str, outbox: list[Message]) -> None:
        self.instance = instance
        self.outbox = outbox

    def act(self, name: str, **fields: object) -> None:
        self.outbox.append({"event_type": name, "sidecar-id": self.instance, **fields})

    def send_attempt(self, request_id: int, endpoint_id: str, timeout: float) -> None:
        self.act("Try", corr=request_id, endpoint=endpoint_id, patience=max(timeout, 0.001) * 1000)

    def reject(self, request_id: int, retry_after: float) -> None:
        self.act("Bounce", corr=request_id, **{"hold-off": retry_after * 1000})

    def fail(self, request_id: int) -> None:
        self.act("FinishError", corr=request_id)

    def cancel_attempt(self, request_id: int, number: int) -> None:
        self.act("Retract", corr=request_id, **{"try": number})

    def schedule_timer(self, delay: float, timer: Timer) -> None:
        self.act("NotifyMe", wait=delay * 1000, ctx=timer.value)

    def watch_endpoint_list(self) -> None:
        self.act("Tail", on=True)

    def publish_load(self, started: Sequence[int], ended: Sequence[int], complete: bool) -> None:
        self.act("Share", target="all", payload=encode_load(started, ended, complete))

    def publish_learned_state(self, state: LearnedState) -> None:
        self.act("Share", target="all", payload=encode_learned_state(state))

    def log(self, line: str) -> None:
        self.act("Log", **{"reason-text": line})


class Adapter:
    def __init__(self) -> None:
        self.instances: dict[str, Balancer] = {}
        self.pages: dict[int, list[ListedEndpoint]] = {}
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
            self.instances[id] = make_balancer(SimulatorHost(id, self.outbox), m["salt"], now, m["settings"])
            return
        instance = self.instances.get(id)
        if instance is None:
            raise Fault(f"{name} for {id}, which was never started")
        match name:
            case "Incoming":
                instance.on_request_arrived(now, incoming_request(m))
            case "Verdict":
                end = AttemptEnd(m["corr"], m["try"], OUTCOMES[m["how"]], bool(m.get("over")))
                instance.on_attempt_ended(now, end)
            case "DeadlineHit":
                instance.on_timer(now, Timer(m["ctx"]))
            case "ClientLeft":
                instance.on_client_disconnected(m["corr"])
            case "RosterChange" if m["mode"] == FAILED:
                instance.on_list_failed()
            case "RosterChange":
                lines, mode = self.pages[m["page"]], m["mode"]
                update = EndpointListUpdate(lines, mode in (CACHED, FULL), cached=mode == CACHED)
                instance.on_list_changed(now, update)
            case "Flowing":
                instance.on_response_started(now, m["corr"], m["try"])
            case "CrashNow":
                del self.instances[id]
            case "Memo":
                with contextlib.suppress(ValueError):  # not from a sidecar of this release
                    receive(instance.peer_load, now, str(m["who"]), m["payload"])
            case "ProbeResult":
                pass  # none are sent: the trials are real requests
            case _:
                raise Fault(f"an unknown message name {name!r}")


def incoming_request(m: Message) -> IncomingRequest:
    return IncomingRequest(
        m["corr"],
        m["lane"],
        m.get("route-key"),
        m["not-after"] / 1000,
        is_client_retry=bool(m.get("repeat")),
        tenant=m.get("billing"),
    )


def listed(entry: Message) -> ListedEndpoint:
    started = entry.get("start-time")
    share = entry.get("share")
    return ListedEndpoint(
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
