"""Random histories of MySQL sessions, played on connections of their own and through the front.

Both have to give the same results, errors and tables: sessions that share the front's connections must see
nothing of each other. Commands run one at a time, so both plays are deterministic.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import strategies as st

from rainspindle.lab.mysql.engine import Store
from rainspindle.protocol.mysql.messages import SUPPORTED_CAPABILITIES, Capability, Command

from .mysql_client import MysqlClient, Reply, Row
from .mysql_fixture import MysqlFixture

DATABASES = ("north", "south")
TABLE, NUMBERED = "exams", "numbered"
MAX_STATEMENTS, MAX_COMMANDS = 4, 24  # in a text, and in a history
SETTLING_ROUNDS = 12  # of the event loop, until a server knows that a client has gone

FAILS, DEADLOCKS, BREAKS = "fails", "deadlocks", "breaks"  # markers of statements that get an error
OPENS, OPENS_AND_FAILS = "leave_open", "leave_open_and_fail"  # stored procedures

STATEMENTS = (
    f"INSERT INTO {TABLE} (k) VALUES ('TAG')",
    f"INSERT INTO {TABLE} (k) VALUES ('TAG')",
    f"INSERT INTO {TABLE} (k) VALUES ('TAG {FAILS}')",
    f"INSERT INTO {TABLE} (k) VALUES ('TAG {DEADLOCKS}')",
    f"SELECT k FROM {TABLE} WHERE k = '{BREAKS}'",
    f"SELECT COUNT(*) FROM {TABLE}",
    f"UPDATE {NUMBERED} SET k = 'TAG' WHERE id = 1",
    f"INSERT INTO {NUMBERED} (k) VALUES ('TAG')",
    "SELECT LAST_INSERT_ID()",
    "BEGIN",
    "START TRANSACTION",
    "COMMIT",
    "ROLLBACK",
    "USE north",
    "USE south",
    "SET lock_wait_timeout = 7",
    "SET SESSION sql_mode = 'ANSI_QUOTES'",
    "SET sql_mode = ''",
    "SET autocommit = 0",
    "SET autocommit = 1",
    "SELECT DATABASE()",
    "SELECT @@lock_wait_timeout",
    'SELECT "x"',
    "CREATE TEMPORARY TABLE mine (k TEXT)",
    "SELECT COUNT(*) FROM mine",
    "CREATE TABLE other (k TEXT)",
    f"CALL {OPENS}()",
    f"CALL {OPENS_AND_FAILS}()",
)
PREPARED = (
    f"INSERT INTO {TABLE} (k) VALUES (?)",
    f"SELECT COUNT(*) FROM {TABLE}",
    f"SELECT k FROM {TABLE} WHERE k = ?",
    'SELECT "x"',
    "SELECT DATABASE()",
    "START TRANSACTION",
    "SET autocommit = 0",
)


@dataclass(frozen=True, slots=True)
class Step:
    """One command of one session, or the end of its connection."""

    session: int
    kind: str  # query, prepare, execute, use, reset or leave
    text: str = ""
    number: int = 0  # which of the session's prepared statements is executed

    def __str__(self) -> str:
        return f"session {self.session}: {self.kind} {self.text or self.number}"


def steps(sessions: int) -> st.SearchStrategy[Step]:
    """Draw one step."""
    session = st.integers(0, sessions - 1)
    text = st.lists(st.sampled_from(STATEMENTS), min_size=1, max_size=MAX_STATEMENTS).map("; ".join)
    return st.one_of(
        st.builds(Step, session, st.just("query"), text),
        st.builds(Step, session, st.just("query"), st.sampled_from(STATEMENTS)),
        st.builds(Step, session, st.just("prepare"), st.sampled_from(PREPARED)),
        st.builds(Step, session, st.just("execute"), number=st.integers(0, 3)),
        st.builds(Step, session, st.just("use"), st.sampled_from(DATABASES)),
        st.builds(Step, session, st.sampled_from(("reset", "leave"))),
    )


def histories(sessions: int) -> st.SearchStrategy[list[Step]]:
    """Draw a history."""
    return st.lists(steps(sessions), min_size=2, max_size=MAX_COMMANDS)


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
        for index, step in enumerate(history):
            reply = self.run(step, f"{index} of {step.session}")
            outcome.replies.append((reply.error, reply.rows))
        for client in self.clients:
            client.close()
        self.settle()
        outcome.tables = {name: list(rows) for name, (_, rows) in self.fixture.store.tables.items()}
        return outcome

    def run(self, step: Step, tag: str) -> Reply:
        client, statements = self.clients[step.session], self.statements[step.session]
        if step.kind == "query":
            return client.query(step.text.replace("TAG", tag))
        if step.kind == "prepare":
            reply = client.prepare(step.text)
            statements.append(reply.statement)
            return reply
        if step.kind == "execute":
            if step.number >= len(statements):
                return Reply()
            statement = statements[step.number]
            return client.execute(statement, *[tag] * client.parameters.get(statement, 0))
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
    """Play a history on fresh tables."""
    fixture.run_in_loop(lambda: fill(fixture.store))
    return Player(fixture, port, sessions).play(history)


def difference(history: list[Step], own: Outcome, shared: Outcome) -> str:
    """Describe the first difference, "" if there is none; the history is printed step by step."""
    lines = list[str]()
    for step, (own_reply, shared_reply) in zip(
        history, zip(own.replies, shared.replies, strict=True), strict=True
    ):
        lines.append(str(step))
        if own_reply != shared_reply:
            return "\n".join([*lines, f"    on its own: {own_reply}", f"    shared:     {shared_reply}"])
    if own.tables != shared.tables:
        return "\n".join([*lines, f"    on its own: {own.tables}", f"    shared:     {shared.tables}"])
    return ""
