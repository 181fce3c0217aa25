"""Parses statements with sqlglot and extracts what routing needs; anything unsupported becomes UNKNOWN."""

from __future__ import annotations

import logging
import re
from collections.abc import Iterator
from dataclasses import replace

import sqlglot
from sqlglot import exp

from .statements import UNKNOWN, ParsedStatement, ParsedText

logging.getLogger("sqlglot").setLevel(logging.ERROR)

KINDS: dict[type[exp.Expr], str] = {
    exp.Select: "select",
    exp.Union: "select",
    exp.Insert: "insert",
    exp.Update: "update",
    exp.Delete: "delete",
}
TRANSACTION_KINDS: dict[type[exp.Expr], str] = {
    exp.Transaction: "begin",
    exp.Commit: "commit",
    exp.Rollback: "rollback",
}
LOCK_FUNCTIONS = ("GET_LOCK", "RELEASE_LOCK", "RELEASE_ALL_LOCKS")
SET_VARIABLE = re.compile(
    r"SET (?:SESSION |LOCAL |@@SESSION\.|@@)?([A-Za-z_]\w*) ?:?= ?(:l\d+|[A-Za-z]\w*)$", re.I
)
SET_NAMES = re.compile(r"SET NAMES (:l\d+|\w+)(?: COLLATE (:l\d+|\w+))?$", re.I)
USE = re.compile(r"USE (?:`((?:[^`]|``)+)`|([\w$]+))$", re.I)
REPLACE = re.compile(r"^REPLACE (?:LOW_PRIORITY |DELAYED )?(?:INTO )?(?=[`\w])", re.I)
FIRST_WORD = re.compile(r"\w+")
TRANSACTION_CONTROL = re.compile(
    r"(?:SAVEPOINT|RELEASE SAVEPOINT|ROLLBACK TO|START TRANSACTION|BEGIN)\b", re.I
)


def parse(text: str) -> ParsedText:
    """Parse a digested text. Returns UNKNOWN instead of raising if any statement in it cannot be parsed."""
    parsed_statements = []
    for statement in split_statements(text):
        parsed_statement = parse_by_pattern(statement)
        if parsed_statement is None:
            rewritten = REPLACE.sub("INSERT INTO ", statement)  # sqlglot does not parse REPLACE
            try:
                tree = sqlglot.parse_one(rewritten, read="mysql")
            except (sqlglot.errors.SqlglotError, RecursionError, ValueError):
                return UNKNOWN
            parsed_statement = classify_tree(tree)
            if rewritten != statement and parsed_statement.kind == "insert":
                parsed_statement = replace(parsed_statement, kind="replace")
        parsed_statements.append(parsed_statement)
    return ParsedText(tuple(parsed_statements)) if parsed_statements else UNKNOWN


def split_statements(text: str) -> Iterator[str]:
    """Split a digested text at semicolons; literals are already replaced, so only backticks need care."""
    quoted, start = False, 0
    for index, character in enumerate(text):
        if character == "`":
            quoted = not quoted
        elif character == ";" and not quoted:
            if text[start:index].strip():
                yield text[start:index].strip()
            start = index + 1
    if text[start:].strip():
        yield text[start:].strip()


def parse_by_pattern(text: str) -> ParsedStatement | None:
    """Classify a statement that sqlglot would leave unparsed or that needs no parser; None for the rest."""
    if match := SET_NAMES.match(text):
        return ParsedStatement(
            "set", side_effects=frozenset(("set",)), variables=(("names", text[len("SET NAMES ") :]),)
        )
    if match := SET_VARIABLE.match(text):
        name = match[1].lower()
        if name in ("global", "persist", "password"):
            return ParsedStatement("unknown", side_effects=frozenset(("unknown",)))
        return ParsedStatement("set", side_effects=frozenset(("set",)), variables=((name, match[2]),))
    if match := USE.match(text):
        return ParsedStatement(
            "use", side_effects=frozenset(("use",)), use=(match[1] or match[2]).replace("``", "`")
        )
    first_match = FIRST_WORD.match(text)
    word = first_match[0].upper() if first_match else ""
    if TRANSACTION_CONTROL.match(text):
        return ParsedStatement("begin")
    if word in ("SHOW", "DESCRIBE", "DESC", "EXPLAIN"):
        return ParsedStatement("show")
    if word in ("LOCK", "UNLOCK", "FLUSH"):
        return ParsedStatement("lock", side_effects=frozenset(("lock",)))
    if word in ("PREPARE", "EXECUTE", "DEALLOCATE"):
        return ParsedStatement("prepare", side_effects=frozenset(("prepare",)))
    if word == "CALL":
        return ParsedStatement("call", side_effects=frozenset(("unknown",)))
    return None


def classify_tree(tree: exp.Expr | None) -> ParsedStatement:
    """Classify a parsed statement; `tree` is None for empty text."""
    if tree is None or tree.find(exp.Command):
        return UNKNOWN.statements[0]
    kind = next(
        (name for node_type, name in {**KINDS, **TRANSACTION_KINDS}.items() if isinstance(tree, node_type)),
        "",
    )
    side_effects: set[str] = set()
    if isinstance(tree, exp.Create) and any(tree.find_all(exp.TemporaryProperty)):
        side_effects.add("temporary")
    if isinstance(tree, exp.Create | exp.Drop | exp.Alter):
        kind = "definition"
    if not kind:
        return UNKNOWN.statements[0]
    for node in tree.walk():
        if isinstance(node, exp.Parameter | exp.PropertyEQ):
            side_effects.add("variable")
        elif isinstance(node, exp.SessionParameter) and node.name.lower() in ("last_insert_id", "identity"):
            side_effects.add("insert_id")
        elif isinstance(node, exp.Anonymous):
            name = str(node.this).upper()
            if name in LOCK_FUNCTIONS:
                side_effects.add("lock")
            elif name == "LAST_INSERT_ID":
                side_effects.add("insert_id")
            elif name in ("FOUND_ROWS", "ROW_COUNT"):
                side_effects.add("variable")
        elif isinstance(node, exp.Lock):
            kind = "update"  # SELECT ... FOR UPDATE
        elif isinstance(node, exp.Into):
            side_effects.add("unknown")
    tables = frozenset(str(table.name).lower() for table in tree.find_all(exp.Table) if table.name)
    return ParsedStatement(kind, tables, frozenset(side_effects), comparisons=tuple(equalities(tree)))


def equalities(tree: exp.Expr) -> Iterator[tuple[str, str]]:
    """Yield (column, placeholder) for equality tests in the WHERE clause and for single-row INSERT values.

    A WHERE clause that contains OR yields nothing, as its comparisons don't determine the key.
    """
    where = tree.args.get("where")
    if where is not None and not where.find(exp.Or):
        for node in where.find_all(exp.EQ):
            for operand, other_operand in ((node.left, node.right), (node.right, node.left)):
                if (
                    isinstance(operand, exp.Column)
                    and isinstance(other_operand, exp.Placeholder)
                    and other_operand.this
                ):
                    yield operand.name.lower(), str(other_operand.this)
    values = tree.args.get("expression") if isinstance(tree, exp.Insert) else None
    if isinstance(values, exp.Values) and len(values.expressions) == 1 and isinstance(tree.this, exp.Schema):
        for column, value in zip(tree.this.expressions, values.expressions[0].expressions, strict=False):
            if isinstance(value, exp.Placeholder) and value.this:
                yield column.name.lower(), str(value.this)
