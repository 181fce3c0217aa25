"""The claim protocol explored exhaustively at small size, with the very classes that run in service.

Two gateways, a few exchanges, all of them binding. Frames wait in connections; a connection may be given up
by either side at any moment, and what is under way on one that the sender has given up may still arrive.
Either gateway may be restarted, an exchange may expire at any moment, connections are replaced. In no state
may an exchange have run twice, have run though it was rejected, or have two final answers.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import Any

from ..protocol.link.claims import Claim, Epoch, Ledger, Standing, Step
from ..protocol.link.frames import State
from .explore import Found, explore


@dataclass(frozen=True, slots=True)
class Size:
    exchanges: int = 2
    connections: int = 2  # ever made
    receiver_restarts: int = 1
    sender_restarts: int = 1
    names: int = 8  # that the ledger keeps


@dataclass(frozen=True, slots=True)
class Line:
    """A connection: what each side thinks of it, and the frames under way."""

    sender: bool
    receiver: bool
    sender_epoch: int
    receiver_epoch: int
    there: tuple[Any, ...] = ()
    back: tuple[Any, ...] = ()


@dataclass(frozen=True, slots=True)
class Exchange:
    claim: tuple[bool, bool, bool, bool] | None = None  # written, revoking, started, over
    line: int = -1
    epoch: int = 0  # the receiver's, when it was opened
    free: bool = False  # proved not to have run there
    final: str = ""
    ran: int = 0


@dataclass(frozen=True, slots=True)
class World:
    exchanges: tuple[Exchange, ...]
    lines: tuple[Line, ...] = ()
    sender_epoch: int = 1
    receiver_epoch: int = 1
    ledger: tuple[Any, ...] = ((), 0)
    running: frozenset[tuple[int, int]] = frozenset()
    kept: frozenset[tuple[int, int]] = frozenset()


Next = tuple[str, World]


def freeze(ledger: Ledger) -> tuple[Any, ...]:
    return (
        tuple(
            sorted(
                (epoch, tuple((id, s.value) for id, s in e.names.items()), e.floor)
                for epoch, e in ledger.epochs.items()
            )
        ),
        ledger.epoch_floor,
    )


class Checker:
    def __init__(
        self,
        size: Size,
        make_ledger: Callable[[int, int], Ledger] = Ledger,
        make_claim: Callable[[], Claim] = Claim,
        epochs_matter: bool = True,
    ) -> None:
        """Other ledgers and claims, and `epochs_matter`, are for planting faults."""
        self.size, self.make_ledger, self.make_claim = size, make_ledger, make_claim
        self.epochs_matter = epochs_matter

    def ledger(self, world: World) -> Ledger:
        made = self.make_ledger(self.size.names, 2)
        epochs, made.epoch_floor = world.ledger
        for epoch, names, floor in epochs:
            made.epochs[epoch] = Epoch(made_names(names), floor)
        return made

    def claim(self, x: Exchange) -> Claim:
        made = self.make_claim()
        assert x.claim is not None
        made.written, made.revoking, made.started, made.over = x.claim
        return made

    # The steps.

    def steps(self, w: World) -> Iterator[Next]:
        yield from self.connections(w)
        yield from self.sender(w)
        yield from self.receiver(w)
        for n, line in enumerate(w.lines):
            if line.there and line.receiver:
                frame, popped = line.there[0], replace(line, there=line.there[1:])
                yield f"{n} delivers {frame}", self.at_receiver(put(w, n, popped), n, frame)
            if line.back and line.sender:
                frame, popped = line.back[0], replace(line, back=line.back[1:])
                yield f"{n} brings back {frame}", self.at_sender(put(w, n, popped), frame)

    def connections(self, w: World) -> Iterator[Next]:
        if len(w.lines) < self.size.connections:
            ledger = self.ledger(w)
            ledger.welcome(w.sender_epoch)
            back = tuple(("answer", i) for epoch, i in sorted(w.kept) if epoch == w.sender_epoch)
            there = tuple(
                ("revoke", i, x.epoch)
                for i, x in enumerate(w.exchanges)
                if x.claim is not None and x.claim[1]
            )
            line = Line(True, True, w.sender_epoch, w.receiver_epoch, there, back)
            kept = frozenset(k for k in w.kept if k[0] != w.sender_epoch)
            yield "connected", replace(w, lines=(*w.lines, line), ledger=freeze(ledger), kept=kept)
        for n, line in enumerate(w.lines):
            if line.sender:
                yield f"sender gives up {n}", self.sender_loses(w, n)
            if line.receiver:
                yield f"receiver gives up {n}", put(w, n, replace(line, receiver=False, there=()))

    def sender_loses(self, w: World, n: int) -> World:
        w = put(w, n, replace(w.lines[n], sender=False, back=()))
        for i, x in enumerate(w.exchanges):
            if x.claim is not None and x.line == n and not x.final:
                claim = self.claim(x)
                w = self.act(w, i, claim, claim.connection_lost())
        return w

    def act(self, w: World, i: int, claim: Claim, step: Step) -> World:
        x = replace(w.exchanges[i], claim=(claim.written, claim.revoking, claim.started, claim.over))
        if step is Step.FREE:
            x = replace(x, free=True)
        elif step is Step.UNKNOWN:
            x = answered(x, "terminated")
        w = put_exchange(w, i, x)
        return self.revoke(w, i) if step is Step.REVOKE else w

    def revoke(self, w: World, i: int) -> World:
        for n, line in enumerate(w.lines):
            if line.sender:
                return put(w, n, replace(line, there=(*line.there, ("revoke", i, w.exchanges[i].epoch))))
        return w

    def sender(self, w: World) -> Iterator[Next]:
        for i, x in enumerate(w.exchanges):
            if x.final:
                continue
            if x.claim is None:
                for n, line in enumerate(w.lines):
                    if line.sender:
                        begun = replace(x, claim=(False,) * 4, line=n, epoch=line.receiver_epoch)
                        yield f"{i} begins on {n}", put_exchange(w, i, begun)
                yield f"{i} expires unsent", put_exchange(w, i, answered(x, "rejected"))
            elif x.free:
                yield f"{i} runs here", put_exchange(w, i, answered(replace(x, ran=x.ran + 1), "finished"))
                yield f"{i} is rejected", put_exchange(w, i, answered(x, "rejected"))
            else:
                claim, line = self.claim(x), w.lines[x.line]
                if not claim.written and line.sender:
                    claim.was_written()
                    there = (*line.there, ("open", i, w.sender_epoch))
                    yield (
                        f"{i} is written",
                        put(self.act(w, i, claim, Step.WAIT), x.line, replace(line, there=there)),
                    )
                if claim.written:
                    ended = replace(answered(x, "terminated"), claim=(True, False, claim.started, True))
                    yield f"{i} expires", self.revoke(put_exchange(w, i, ended), i)
                else:
                    yield (
                        f"{i} expires half written",
                        put_exchange(
                            w, i, replace(answered(x, "rejected"), claim=(False, False, False, True))
                        ),
                    )
        if w.sender_epoch <= self.size.sender_restarts:
            lines = tuple(replace(line, sender=False, back=()) for line in w.lines)
            exchanges = tuple(x if x.final or x.claim is None else answered(x, "killed") for x in w.exchanges)
            yield (
                "sender restarts",
                replace(w, lines=lines, exchanges=exchanges, sender_epoch=w.sender_epoch + 1),
            )

    def receiver(self, w: World) -> Iterator[Next]:
        for epoch, i in w.running:
            ledger = self.ledger(w)
            ledger.done(epoch, i + 1)
            after = replace(w, running=w.running - {(epoch, i)}, ledger=freeze(ledger))
            for n, line in enumerate(w.lines):
                if line.receiver and line.sender_epoch == epoch:
                    told = replace(line, back=(*line.back, ("answer", i)))
                    yield f"{i} answered by {n}", put(after, n, told)
                    break
            else:
                yield f"{i} answered, kept", replace(after, kept=w.kept | {(epoch, i)})
        if w.receiver_epoch <= self.size.receiver_restarts:
            lines = tuple(replace(line, receiver=False, there=()) for line in w.lines)
            yield (
                "receiver restarts",
                replace(
                    w,
                    lines=lines,
                    ledger=((), 0),
                    running=frozenset(),
                    kept=frozenset(),
                    receiver_epoch=w.receiver_epoch + 1,
                ),
            )

    def at_receiver(self, w: World, n: int, frame: Any) -> World:
        line, ledger = w.lines[n], self.ledger(w)
        if frame[0] == "open":
            _, i, epoch = frame
            if ledger.start(epoch, i + 1):
                x = w.exchanges[i]
                w = put_exchange(w, i, replace(x, ran=x.ran + 1))
                w = replace(w, running=w.running | {(epoch, i)})
            return replace(w, ledger=freeze(ledger))
        _, i, epoch = frame
        state: State = "unknown"
        if epoch == w.receiver_epoch or not self.epochs_matter:
            state = ledger.revoke(line.sender_epoch, i + 1)
        said = replace(line, back=(*line.back, ("said", i, state)))
        return replace(put(w, n, said), ledger=freeze(ledger))

    def at_sender(self, w: World, frame: Any) -> World:
        i = frame[1]
        x = w.exchanges[i]
        if x.final or x.claim is None:
            return w
        claim = self.claim(x)
        if frame[0] == "answer":
            return put_exchange(w, i, answered(x, "finished")) if claim.answered() else w
        return self.act(w, i, claim, claim.told(frame[2]))

    # The search.

    def run(self, most: int = 10_000_000) -> Found:
        return explore(
            World(tuple(Exchange() for _ in range(self.size.exchanges))),
            self.steps,
            violation,
            lambda w: all(x.final for x in w.exchanges),
            most,
        )


def made_names(names: tuple[tuple[int, str], ...]) -> Any:
    return OrderedDict((id, Standing(value)) for id, value in names)


def answered(x: Exchange, how: str) -> Exchange:
    return replace(x, final=f"{x.final}, {how}" if x.final else how)


def put(w: World, n: int, line: Line) -> World:
    return replace(w, lines=(*w.lines[:n], line, *w.lines[n + 1 :]))


def put_exchange(w: World, i: int, x: Exchange) -> World:
    return replace(w, exchanges=(*w.exchanges[:i], x, *w.exchanges[i + 1 :]))


def violation(w: World) -> str:
    for i, x in enumerate(w.exchanges):
        if x.ran > 1:
            return f"exchange {i} ran {x.ran} times"
        if x.final == "rejected" and x.ran:
            return f"exchange {i} was rejected, and ran"
        if "," in x.final:
            return f"exchange {i} has two final answers: {x.final}"
        if x.final == "finished" and not x.ran:
            return f"exchange {i} finished, and never ran"
    return ""
