"""Decodes batches of messages, calls a balancer for each message, and encodes its actions.

The adapter makes no decisions.
"""

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

ENDPOINT_STATUSES = {0: EndpointStatus.GONE, 1: EndpointStatus.DRAINING, 2: EndpointStatus.READY}
CACHED, FAILED, FULL = 0, 1, 2  # modes of the message RosterChange
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


class InputError(Trouble):
    """Raised for input that violates the simulator's protocol."""

    remedy = "send one batch per line, as the simulator does"


class SimulatorHost:
    """The host of one sidecar's balancer: adds each action to the current reply."""

    def __init__(self, instance: str, outbox: list[Message]) -> None:
        self.instance = instance
        self.outbox = outbox

    def act(self, name: str, **fields: object) -> None:
        """Adds an action of this sidecar to the reply."""
        self.outbox.append({"event_type": name, "sidecar-id": self.instance, **fields})

    def send_attempt(self, request_id: int, endpoint_id: str, timeout: float) -> None:
        """Replies `Try`; the timeout is sent as at least 1 ms."""
        self.act("Try", corr=request_id, endpoint=endpoint_id, patience=max(timeout, 0.001) * 1000)

    def reject(self, request_id: int, retry_after: float) -> None:
        """Replies `Bounce`."""
        self.act("Bounce", corr=request_id, **{"hold-off": retry_after * 1000})

    def fail(self, request_id: int) -> None:
        """Replies `FinishError`."""
        self.act("FinishError", corr=request_id)

    def cancel_attempt(self, request_id: int, number: int) -> None:
        """Replies `Retract`."""
        self.act("Retract", corr=request_id, **{"try": number})

    def schedule_timer(self, delay: float, timer: Timer) -> None:
        """Replies `NotifyMe`, with the timer as its opaque context."""
        self.act("NotifyMe", wait=delay * 1000, ctx=timer.value)

    def watch_endpoint_list(self) -> None:
        """Replies `Tail`."""
        self.act("Tail", on=True)

    def publish_load(self, started: Sequence[int], ended: Sequence[int], complete: bool) -> None:
        """Replies `Share` with a load message for all sidecars."""
        self.act("Share", target="all", payload=encode_load(started, ended, complete))

    def publish_learned_state(self, state: LearnedState) -> None:
        """Replies `Share` with the learned state for all sidecars."""
        self.act("Share", target="all", payload=encode_learned_state(state))

    def log(self, line: str) -> None:
        """Replies `Log`."""
        self.act("Log", **{"reason-text": line})


class Adapter:
    """Runs the balancers of all sidecars that the simulator starts.

    Attributes:
        instances: The balancer of each running sidecar, by the sidecar's id.
        pages: The endpoint lists that the simulator has sent, by page number; pages are reused.
        outbox: The actions of the current reply.
    """

    def __init__(self) -> None:
        self.instances: dict[str, Balancer] = {}
        self.pages: dict[int, list[ListedEndpoint]] = {}
        self.outbox: list[Message] = []

    def batch(self, line: bytes) -> bytes:
        """Processes one line of input, a batch of messages, and returns the reply as one line of JSON.

        Raises:
            InputError: The batch or one of its messages is invalid.
        """
        try:
            batch = orjson.loads(line)
        except orjson.JSONDecodeError as error:
            raise InputError(f"batch is not JSON ({error}): {line[:80]!r}") from None
        if (
            not isinstance(batch, dict)
            or not isinstance(batch.get("now"), int | float)
            or not isinstance(batch.get("msgs"), list)
        ):
            raise InputError(f"batch without 'now' and 'msgs': {line[:80]!r}")
        now = batch["now"] / 1000
        self.outbox.clear()
        for message in batch["msgs"]:
            try:
                self._process(now, message)
            except (KeyError, TypeError, AttributeError, IndexError, ValueError) as error:
                raise InputError(f"{type(error).__name__} {error} in message {str(message)[:200]}") from error
        return orjson.dumps({"outbox": self.outbox})

    def _process(self, now: float, message: Message) -> None:
        name = message["event_type"]
        if name == "Roster":
            self.pages[message["page"]] = [decode_endpoint(entry) for entry in message["lines"]]
            return
        sidecar_id = message["sidecar-id"]
        if name == "Hello":
            self.instances[sidecar_id] = make_balancer(
                SimulatorHost(sidecar_id, self.outbox), message["salt"], now, message["settings"]
            )
            return
        instance = self.instances.get(sidecar_id)
        if instance is None:
            raise InputError(f"{name} for {sidecar_id}, which was never started")
        match name:
            case "Incoming":
                instance.on_request_arrived(now, incoming_request(message))
            case "Verdict":
                end = AttemptEnd(
                    message["corr"], message["try"], OUTCOMES[message["how"]], bool(message.get("over"))
                )
                instance.on_attempt_ended(now, end)
            case "DeadlineHit":
                instance.on_timer(now, Timer(message["ctx"]))
            case "ClientLeft":
                instance.on_client_disconnected(message["corr"])
            case "RosterChange" if message["mode"] == FAILED:
                instance.on_list_failed()
            case "RosterChange":
                lines, mode = self.pages[message["page"]], message["mode"]
                update = EndpointListUpdate(lines, mode in (CACHED, FULL), cached=mode == CACHED)
                instance.on_list_changed(now, update)
            case "Flowing":
                instance.on_response_started(now, message["corr"], message["try"])
            case "CrashNow":
                del self.instances[sidecar_id]
            case "Memo":
                with contextlib.suppress(ValueError):  # sent by a sidecar of another release, or lost in part
                    receive(instance.peer_load, now, str(message["who"]), message["payload"])
            case "ProbeResult":
                pass  # the balancer sends no probes; its trials are real requests
            case _:
                raise InputError(f"unknown message name {name!r}")


def incoming_request(message: Message) -> IncomingRequest:
    """Decodes the message `Incoming`."""
    return IncomingRequest(
        message["corr"],
        message["lane"],
        message.get("route-key"),
        message["not-after"] / 1000,
        is_client_retry=bool(message.get("repeat")),
        tenant=message.get("billing"),
    )


def decode_endpoint(entry: Message) -> ListedEndpoint:
    """Decodes one entry of an endpoint list; times are in milliseconds."""
    started_at = entry.get("start-time")
    weight = entry.get("share")
    return ListedEndpoint(
        entry["endpoint"],
        entry.get("block") or 0,
        entry.get("locality") or 0,
        1.0 if weight is None else weight,
        ENDPOINT_STATUSES[entry["mode"]],
        started_at / 1000 if started_at else None,
        entry.get("model") or 0,
    )


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answers each line of `source` with a line on `sink`; returns the exit status, 2 after invalid input."""
    adapter = Adapter()
    for line in source:
        try:
            reply = adapter.batch(line)
        except InputError as error:
            print(f"rainspindle: {error.line()}", file=sys.stderr)
            return 2
        sink.write(reply + b"\n")
        sink.flush()
    return 0
