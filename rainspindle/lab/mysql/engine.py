"""Statements of the simulated database server: in-memory tables, sessions and simple transactions.

It recognises a few statement forms. What a session changes in a transaction is seen by others at once, but
taken back if the transaction is rolled back.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from ...protocol.mysql.messages import Capability, Err, Ok, Status

Value = str | None
Row = tuple[Value, ...]
Rows = list[Row]
Table = tuple[list[str], Rows]  # columns and rows

LITERAL = re.compile(r"'((?:[^'\\]|\\.|'')*)'|(-?\d+(?:\.\d+)?)|(NULL)", re.I)
SELECT = re.compile(r"SELECT (.+?) FROM (\w+)(?: WHERE (\w+) ?= ?(.+?))?(?: FOR UPDATE)?$", re.I | re.S)
INSERT = re.compile(r"INSERT INTO (\w+) ?\(([\w, ]+)\) ?VALUES ?\((.*)\)$", re.I | re.S)
UPDATE = re.compile(r"UPDATE (\w+) SET (\w+) ?= ?(.+?) WHERE (\w+) ?= ?(.+)$", re.I | re.S)
DELETE = re.compile(r"DELETE FROM (\w+) WHERE (\w+) ?= ?(.+)$", re.I | re.S)
CREATE = re.compile(r"CREATE (TEMPORARY )?TABLE (\w+) ?\((.+)\)$", re.I | re.S)
SET = re.compile(r"SET (?:SESSION |@@SESSION\.|@@)?(@?\w+) ?:?= ?(.+)$", re.I | re.S)
COMMENT = re.compile(r"/\*.*?\*/", re.S)


@dataclass(slots=True)
class Store:
    """Tables shared by all servers of a group, as in a replicated database; each is in one database."""

    tables: dict[tuple[str, str], Table] = field(default_factory=dict)  # by database and name
    ids: Counter[tuple[str, str]] = field(default_factory=Counter)
    databases: frozenset[str] = frozenset()  # those that exist; if empty, every database does
    procedures: dict[str, tuple[str, ...]] = field(default_factory=dict)  # their statements


@dataclass(frozen=True, slots=True)
class Binding:
    """What a server fixes for a statement when it prepares it, or starts to run it."""

    database: str
    sql_mode: str


@dataclass(frozen=True, slots=True)
class PreparedText:
    """A prepared statement, which keeps its binding whatever its session does later."""

    sql: str
    binding: Binding


@dataclass(slots=True)
class Session:
    """State of one client connection."""

    user: str
    capabilities: Capability
    database: str = ""
    variables: dict[str, str] = field(default_factory=dict)
    temporary: dict[str, Table] = field(default_factory=dict)
    insert_id: int = 0
    autocommit: bool = True
    in_transaction: bool = False
    undo: list[Callable[[], None]] = field(default_factory=list)  # takes back the open transaction's changes
    prepared: dict[int, PreparedText] = field(default_factory=dict)
    types: dict[int, bytes] = field(default_factory=dict)
    long_data: dict[tuple[int, int], bytearray] = field(default_factory=dict)
    last_statement: int = 0

    def status(self) -> Status:
        """Return the status flags for responses."""
        return (Status.IN_TRANSACTION if self.in_transaction else Status(0)) | (
            Status.AUTOCOMMIT if self.autocommit else Status(0)
        )

    def reset(self) -> None:
        """Roll back and forget everything but the user and the default database."""
        self.rollback()
        fresh = Session(self.user, self.capabilities, self.database)
        for name in Session.__slots__:
            setattr(self, name, getattr(fresh, name))

    def drop_long_data(self, statement_id: int) -> None:
        """Forget the parameter data that was sent ahead for a prepared statement."""
        self.long_data = {key: data for key, data in self.long_data.items() if key[0] != statement_id}

    def binding(self) -> Binding:
        """Return what a statement is bound to that is prepared or run now."""
        return Binding(self.database, self.variables.get("sql_mode", ""))

    def begin(self) -> None:
        """Start a transaction; an open one is committed."""
        self.commit()
        self.in_transaction = True

    def commit(self) -> None:
        """End the open transaction, if any, and keep its changes."""
        self.in_transaction = False
        self.undo.clear()

    def rollback(self) -> None:
        """End the open transaction, if any, and take back its changes."""
        for take_back in reversed(self.undo):
            take_back()
        self.commit()


@dataclass(slots=True)
class Result:
    """Result set of a statement."""

    columns: list[str]
    rows: Any  # an iterable of rows


class StatementError(Exception):
    """Statement error, sent to the client as an ERR packet."""

    def __init__(self, code: int, state: str, text: str) -> None:
        super().__init__(text)
        self.err = Err(code, state, text)


class Engine:
    """Runs the statements of one server."""

    def __init__(self, store: Store, server_id: str) -> None:
        """`server_id` is the value of CONNECTION_ID()."""
        self.store, self.server_id = store, server_id

    def run(self, session: Session, binding: Binding, sql: str) -> Ok | Result:
        """Run a statement; raises StatementError."""
        return self.evaluate(session, binding, COMMENT.sub("", sql).strip())

    def use(self, session: Session, database: str) -> None:
        """Change the default database; raises StatementError if it doesn't exist."""
        if self.store.databases and database not in self.store.databases:
            raise StatementError(1049, "42000", f"Unknown database '{database}'")
        session.database = database

    def check(self, session: Session, binding: Binding, sql: str) -> None:
        """Raise StatementError if a statement that is prepared names a table that doesn't exist."""
        for pattern, group in ((SELECT, 2), (INSERT, 1), (UPDATE, 1), (DELETE, 1)):
            match = pattern.match(sql.strip())
            if match and not match[group].startswith("seq_"):
                self.find_table(session, binding.database, match[group])

    def find_table(self, session: Session, database: str, name: str) -> Table:
        """Return a table's columns and rows; raises StatementError if it doesn't exist."""
        if name in session.temporary:
            return session.temporary[name]
        if not database:
            raise StatementError(1046, "3D000", "No database selected")
        table = self.store.tables.get((database, name))
        if table is None:
            raise StatementError(1146, "42S02", f"Table '{database}.{name}' doesn't exist")
        return table

    def evaluate(self, session: Session, binding: Binding, sql: str) -> Ok | Result:
        """Run a statement."""
        keyword = sql.split(None, 1)[0].upper() if sql else ""
        if keyword in ("BEGIN", "START"):
            session.begin()
        elif keyword == "COMMIT":
            session.commit()
        elif keyword == "ROLLBACK":
            session.rollback()
        elif keyword == "USE":
            self.use(session, sql.split(None, 1)[1].strip("`"))
        elif keyword == "CALL":
            for statement in self.store.procedures[sql.split(None, 1)[1].partition("(")[0]]:
                self.evaluate(session, binding, statement)
        elif match := SELECT.match(sql):
            if not session.autocommit:
                session.in_transaction = True
            return self.select(session, binding.database, match)
        elif keyword == "SELECT":
            items = [item.strip() for item in sql[6:].split(",")]
            return Result(items, [tuple(self.select_item(session, binding, item) for item in items)])
        else:
            return self.run_change(session, binding.database, sql)
        return Ok()

    def select(self, session: Session, database: str, match: re.Match[str]) -> Result:
        """Run a SELECT from a table; `seq_NxM` is a generated table of N rows with M bytes of padding."""
        items, name, column, value = match.groups()
        if name.startswith("seq_"):
            count, size = (int(number) for number in name[4:].split("x"))
            return Result(["n", "pad"], ((str(number), "x" * size) for number in range(count)))
        columns, rows = self.find_table(session, database, name)
        if column is not None and value is not None:
            column_index, expected = columns.index(column), parse_literal(value)
            rows = [row for row in rows if row[column_index] == expected]
        if items.strip().upper() == "COUNT(*)":
            return Result(["COUNT(*)"], [(str(len(rows)),)])
        names = columns if items.strip() == "*" else [item.strip() for item in items.split(",")]
        return Result(names, [tuple(row[columns.index(item)] for item in names) for row in rows])

    def run_change(self, session: Session, database: str, sql: str) -> Ok:
        """Run a statement that changes data, tables or variables."""
        if match := SET.match(sql):
            return set_variable(session, match[1].lower(), parse_literal(match[2]) or "")
        if sql.upper().startswith("SET NAMES"):
            return set_variable(session, "names", parse_literal(sql[9:].strip()) or "")
        if match := CREATE.match(sql):
            return self.create(session, database, match)
        if not session.autocommit:
            session.in_transaction = True
        if match := INSERT.match(sql):
            return self.insert(session, database, match)
        if match := UPDATE.match(sql):
            return self.update(session, database, match)
        if match := DELETE.match(sql):
            return self.delete(session, database, match)
        raise StatementError(1064, "42000", f"You have an error in your SQL syntax near '{sql[:40]}'")

    def create(self, session: Session, database: str, match: re.Match[str]) -> Ok:
        """Create a table; unless it is temporary, this commits the open transaction."""
        columns = [definition.split()[0] for definition in match[3].split(",")]
        if match[1]:
            session.temporary[match[2]] = (columns, [])
            return Ok()
        if not database:
            raise StatementError(1046, "3D000", "No database selected")
        session.commit()
        self.store.tables[database, match[2]] = (columns, [])
        return Ok()

    def insert(self, session: Session, database: str, match: re.Match[str]) -> Ok:
        """Add one row; a column `id` is numbered if it is given no value."""
        columns, rows = self.find_table(session, database, match[1])
        names = [column.strip() for column in match[2].split(",")]
        values = dict(zip(names, parse_literals(match[3]), strict=True))
        insert_id = 0
        if "id" in columns and "id" not in values:
            self.store.ids[database, match[1]] += 1
            session.insert_id = insert_id = self.store.ids[database, match[1]]
            values["id"] = str(insert_id)
        row = tuple(values.get(column) for column in columns)
        rows.append(row)
        if session.in_transaction:
            session.undo.append(partial(replace_row, rows, row, []))
        return Ok(1, insert_id)

    def update(self, session: Session, database: str, match: re.Match[str]) -> Ok:
        """Change one column of the rows with a value."""
        columns, rows = self.find_table(session, database, match[1])
        column_index, where_index = columns.index(match[2]), columns.index(match[4])
        new_value, expected = parse_literal(match[3]), parse_literal(match[5])
        changed = [row for row in rows if row[where_index] == expected]
        for row in changed:
            new_row = (*row[:column_index], new_value, *row[column_index + 1 :])
            replace_row(rows, row, [new_row])
            if session.in_transaction:
                session.undo.append(partial(replace_row, rows, new_row, [row]))
        return Ok(len(changed))

    def delete(self, session: Session, database: str, match: re.Match[str]) -> Ok:
        """Delete the rows with a value."""
        columns, rows = self.find_table(session, database, match[1])
        where_index, expected = columns.index(match[2]), parse_literal(match[3])
        deleted = [row for row in rows if row[where_index] == expected]
        rows[:] = [row for row in rows if row[where_index] != expected]
        if session.in_transaction:
            session.undo.append(partial(rows.extend, deleted))
        return Ok(len(deleted))

    def select_item(self, session: Session, binding: Binding, item: str) -> Value:
        """Evaluate an item of a SELECT without a table."""
        name = item.upper()
        if item.startswith('"'):
            if "ANSI_QUOTES" in binding.sql_mode.upper():
                raise StatementError(1054, "42S22", f"Unknown column '{item[1:-1]}' in 'field list'")
            return item[1:-1]
        builtins_by_name = {
            "LAST_INSERT_ID()": str(session.insert_id),
            "DATABASE()": binding.database or None,
            "USER()": session.user,
            "CONNECTION_ID()": self.server_id,
            "@@AUTOCOMMIT": str(int(session.autocommit)),
            "@@VERSION_COMMENT": "stand-in",
        }
        if name in builtins_by_name:
            return builtins_by_name[name]
        if item.startswith("@"):
            return session.variables.get(item.lower().removeprefix("@@"))
        return parse_literal(item)


def set_variable(session: Session, name: str, value: str) -> Ok:
    """Set a session variable; DEFAULT removes it."""
    if name == "autocommit":
        session.autocommit = value.upper() in ("1", "ON")
        if session.autocommit:
            session.commit()
    elif name == "last_insert_id":
        session.insert_id = int(value)
    elif value.upper() == "DEFAULT":
        session.variables.pop(name, None)
    else:
        session.variables[name] = value
    return Ok()


def replace_row(rows: Rows, row: Row, others: Sequence[Row]) -> None:
    """Put other rows in the place of this one; a row with the same values is not touched."""
    rows[:] = [kept for other in rows for kept in (others if other is row else (other,))]


def parse_literals(text: str) -> list[Value]:
    """Return the values of all literals in a text."""
    return [
        None
        if match[3]
        else match[2]
        if match[2] is not None
        else match[1].replace("''", "'").replace("\\\\", "\\")
        for match in LITERAL.finditer(text)
    ]


def parse_literal(text: str) -> Value:
    """Return the value of the first literal, or the stripped text if there is none."""
    values = parse_literals(text)
    return values[0] if values else text.strip()
