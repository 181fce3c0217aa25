"""Random histories of MySQL sessions, played on connections of their own and through the front.

Both have to give the same results, errors and tables: sessions that share the front's connections must see
nothing of each other. Commands run one at a time, so both plays are deterministic.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from rainspindle.lab.mysql.engine import Store
from rainspindle.protocol.mysql.messages import SUPPORTED_CAPABILITIES, Capability, Command

from .mysql_client import MysqlClient, Reply, Row
from .mysql_fixture import MysqlFixture

DATABASES = ("north", "south")
TABLE, NUMBERED = "exams", "numbered"
MAX_STATEMENTS, MAX_COMMANDS = 4, 30  # in a text, and in a history
SETTLING_ROUNDS = 12  # of the event loop, until a server knows that a client has gone

FAILS, DEADLOCKS, BREAKS = "fails", "deadlocks", "breaks"  # markers of statements that get an error
OPENS, OPENS_AND_FAILS = "leave_open", "leave_open_and_fail"  # stored procedures

INSERT = f"INSERT INTO {TABLE} (k) VALUES ('TAG')"
COUNT = f"SELECT COUNT(*) FROM {TABLE}"
INSERT_PREPARED = f"INSERT INTO {TABLE} (k) VALUES (?)"


@dataclass(frozen=True, slots=True)
class Theme:
    """Statements that act on the same part of a session's state, as texts and prepared."""

    texts: tuple[str, ...]
    prepared: tuple[str, ...]


THEMES = (
    Theme(("BEGIN", "START TRANSACTION", "COMMIT", "ROLLBACK", COUNT), ("START TRANSACTION", COUNT)),
    Theme(("USE north", "USE south", "SELECT DATABASE()"), ("SELECT DATABASE()", INSERT_PREPARED)),
    Theme(("SET lock_wait_timeout = 7", "SET lock_wait_timeout = 8", "SELECT @@lock_wait_timeout"), ()),
    Theme(("SET SESSION sql_mode = 'ANSI_QUOTES'", "SET sql_mode = ''", 'SELECT "x"'), ('SELECT "x"',)),
    Theme(("SET autocommit = 0", "SET autocommit = 1", "COMMIT"), ("SET autocommit = 0",)),
    Theme(("CREATE TEMPORARY TABLE mine (k TEXT)", "SELECT COUNT(*) FROM mine"), ()),
    Theme(("BEGIN", "CREATE TABLE other (k TEXT)", "ROLLBACK"), ()),
    Theme((f"CALL {OPENS}()", f"CALL {OPENS_AND_FAILS}()", "ROLLBACK"), ()),
    Theme((f"INSERT INTO {NUMBERED} (k) VALUES ('TAG')", "SELECT LAST_INSERT_ID()"), ()),
    Theme(("BEGIN", f"UPDATE {NUMBERED} SET k = 'TAG' WHERE id = 1", "ROLLBACK"), ()),
)
ERRORS = (
    f"INSERT INTO {TABLE} (k) VALUES ('TAG {FAILS}')",
    f"INSERT INTO {TABLE} (k) VALUES ('TAG {DEADLOCKS}')",
    f"SELECT k FROM {TABLE} WHERE k = '{BREAKS}'",
)
MAX_THEMES = 2
KINDS = (*["query"] * 5, *["prepare"] * 3, *["execute"] * 4, *["use"] * 2, "reset", "leave")
MIN_KINDS = 4


@dataclass(frozen=True, slots=True)
class Step:
    """One command of one session, or the end of its connection."""

    session: int
    tag: str  # what it writes, so that a row tells who wrote it
    kind: str  # query, prepare, execute, use, reset or leave
    text: str = ""
    number: int = 0  # which of the session's prepared statements is executed

    def __str__(self) -> str:
        return f"{self.tag}: {self.kind} {self.text or self.number}"


def draw_history(seed: int, sessions: int) -> list[Step]:
    """Draw a history of few themes, so that their statements meet often."""
    rng = random.Random(seed)
    themes = rng.sample(THEMES, rng.randint(1, MAX_THEMES))
    statements = [INSERT, rng.choice(ERRORS), *(text for theme in themes for text in theme.texts)]
    prepared = [INSERT_PREPARED, *(text for theme in themes for text in theme.prepared)]
    kinds = rng.sample(KINDS, rng.randint(MIN_KINDS, len(KINDS)))
    history = list[Step]()
    for index in range(rng.randint(4, MAX_COMMANDS)):
        kind, session = rng.choice(kinds), rng.randrange(sessions)
        tag = f"{index} of {session}"
        if kind == "query":
            text = "; ".join(rng.choices(statements, k=rng.randint(1, MAX_STATEMENTS)))
            history.append(Step(session, tag, kind, text))
        elif kind == "prepare":
            history.append(Step(session, tag, kind, rng.choice(prepared)))
        elif kind == "execute":
            history.append(Step(session, tag, kind, number=rng.randrange(len(prepared))))
        else:
            history.append(Step(session, tag, kind, rng.choice(DATABASES) if kind == "use" else ""))
    return history


def shrink(history: list[Step], differs: Callable[[list[Step]], bool]) -> list[Step]:
    """Return a history from which no step can be left out without losing the difference."""
    index = 0
    while index < len(history):
        shorter = history[:index] + history[index + 1 :]
        if differs(shorter):
            history, index = shorter, 0
        else:
            index += 1
    return history


def fault(sql: str, phase: str) -> str:
    """Return the fault of a statement that carries a marker."""
    if phase == "before" and FAILS in sql:
        return "error"
    if phase == "before" and DEADLOCKS in sql:
        return "deadlock"
    return "error" if phase == "final" and BREAKS in sql else ""


def fill(store: Store) -> None:
    """Lay out the tables anew."""
    store.tables.clear()
    store.ids.clear()
    store.procedures = {
        OPENS: ("BEGIN", f"INSERT INTO {TABLE} (k) VALUES ('procedure')"),
        OPENS_AND_FAILS: ("BEGIN", f"INSERT INTO {TABLE} (k) VALUES ('procedure')", "nonsense"),
    }
    for database in DATABASES:
        store.tables[database, TABLE] = (["k"], [])
        store.tables[database, NUMBERED] = (["id", "k"], [])


def start_anew(fixture: MysqlFixture) -> None:
    """Lay out the tables, close the front's idle connections and number its sessions from 1 again."""
    fill(fixture.store)
    for target in list(fixture.servers.idle):
        fixture.servers.drop(target)
    fixture.front.sessions = 0


@dataclass(slots=True)
class Outcome:
    """What the sessions saw, and the tables at the end."""

    replies: list[tuple[int, list[Row]]] = field(default_factory=list)  # error code and rows of each step
    tables: dict[tuple[str, str], list[Row]] = field(default_factory=dict)


class Player:
    """Plays one history at one address."""

    def __init__(
        self,
        fixture: MysqlFixture,
        port: int,
        sessions: int,
        capabilities: Capability = SUPPORTED_CAPABILITIES,
    ) -> None:
        self.fixture, self.port, self.capabilities = fixture, port, capabilities
        self.clients = [self.connect(number) for number in range(sessions)]
        self.statements: list[list[int]] = [[] for _ in range(sessions)]

    def connect(self, number: int) -> MysqlClient:
        return MysqlClient(self.port, DATABASES[number % len(DATABASES)], capabilities=self.capabilities)

    def play(self, history: list[Step]) -> Outcome:
        outcome = Outcome()
        for step in history:
            reply = self.run(step)
            outcome.replies.append((reply.error, reply.rows))
        for client in self.clients:
            client.close()
        self.settle()
        outcome.tables = {name: list(rows) for name, (_, rows) in self.fixture.store.tables.items()}
        return outcome

    def run(self, step: Step) -> Reply:
        client, statements = self.clients[step.session], self.statements[step.session]
        if step.kind == "query":
            return client.query(step.text.replace("TAG", step.tag))
        if step.kind == "prepare":
            reply = client.prepare(step.text)
            statements.append(reply.statement)
            return reply
        if step.kind == "execute":
            if step.number >= len(statements):
                return Reply()
            statement = statements[step.number]
            return client.execute(statement, *[step.tag] * client.parameters.get(statement, 0))
        if step.kind == "use":
            return client.run(Command.INIT_DB, step.text.encode())
        statements.clear()
        if step.kind == "reset":
            return client.run(Command.RESET_CONNECTION)
        client.close()
        self.settle()
        self.clients[step.session] = self.connect(step.session)
        return Reply()

    def settle(self) -> None:
        """Wait until the servers have rolled back what clients that left had open."""
        for _ in range(SETTLING_ROUNDS):
            self.fixture.run_in_loop(lambda: None)


def play(fixture: MysqlFixture, port: int, sessions: int, history: list[Step]) -> Outcome:
    """Play a history on fresh tables and connections, so that it goes the same way each time."""
    fixture.run_in_loop(lambda: start_anew(fixture))
    return Player(fixture, port, sessions).play(history)


def compare(fixture: MysqlFixture, sessions: int, history: list[Step]) -> str:
    """Play a history both ways; returns it up to the first difference, "" if there is none."""
    own = play(fixture, fixture.databases[0].port, sessions, history)
    shared = play(fixture, fixture.port, sessions, history)
    for index, replies in enumerate(zip(own.replies, shared.replies, strict=True)):
        if replies[0] != replies[1]:
            return describe(history[: index + 1], *replies)
    return describe(history, own.tables, shared.tables) if own.tables != shared.tables else ""


def describe(history: list[Step], own: object, shared: object) -> str:
    """Describe a difference for a reader."""
    return "\n".join([*map(str, history), f"    on its own: {own}", f"    shared:     {shared}"])
