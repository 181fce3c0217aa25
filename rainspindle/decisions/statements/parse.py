"""Statements parsed by sqlglot, and what of them matters here. Anything that is not understood says so."""

from __future__ import annotations

import logging
import re
from collections.abc import Iterator
from dataclasses import replace

import sqlglot
from sqlglot import exp

from .statements import UNKNOWN, Parsed, Part

logging.getLogger("sqlglot").setLevel(logging.ERROR)

KINDS: dict[type[exp.Expr], str] = {
    exp.Select: "select",
    exp.Union: "select",
    exp.Insert: "insert",
    exp.Update: "update",
    exp.Delete: "delete",
}
ENDS: dict[type[exp.Expr], str] = {exp.Transaction: "begin", exp.Commit: "commit", exp.Rollback: "rollback"}
LOCKING = ("GET_LOCK", "RELEASE_LOCK", "RELEASE_ALL_LOCKS")
PLAIN = re.compile(r"SET (?:SESSION |LOCAL |@@SESSION\.|@@)?([A-Za-z_]\w*) ?:?= ?(:l\d+|[A-Za-z]\w*)$", re.I)
NAMES = re.compile(r"SET NAMES (:l\d+|\w+)(?: COLLATE (:l\d+|\w+))?$", re.I)
USE = re.compile(r"USE (?:`((?:[^`]|``)+)`|([\w$]+))$", re.I)
REPLACE = re.compile(r"^REPLACE (?:LOW_PRIORITY |DELAYED )?(?:INTO )?(?=[`\w])", re.I)
FIRST = re.compile(r"\w+")
SAVE = re.compile(r"(?:SAVEPOINT|RELEASE SAVEPOINT|ROLLBACK TO|START TRANSACTION|BEGIN)\b", re.I)


def parse(text: str) -> Parsed:
    """Of a digested text. Never raises."""
    parts = []
    for one in split(text):
        part = plain(one)
        if part is None:
            replaced = REPLACE.sub("INSERT INTO ", one)  # which the parser does not know
            try:
                tree = sqlglot.parse_one(replaced, read="mysql")
            except (sqlglot.errors.SqlglotError, RecursionError, ValueError):
                return UNKNOWN
            part = looked_into(tree)
            if replaced != one and part.kind == "insert":
                part = replace(part, kind="replace")
        parts.append(part)
    return Parsed(tuple(parts)) if parts else UNKNOWN


def split(text: str) -> Iterator[str]:
    """The statements of a digested text: no literal is left that could hide a semicolon."""
    quoted, start = False, 0
    for at, character in enumerate(text):
        if character == "`":
            quoted = not quoted
        elif character == ";" and not quoted:
            if text[start:at].strip():
                yield text[start:at].strip()
            start = at + 1
    if text[start:].strip():
        yield text[start:].strip()


def plain(text: str) -> Part | None:
    """What needs no parser, or what the parser keeps as text."""
    if found := NAMES.match(text):
        return Part("set", leaves=frozenset(("set",)), sets=(("names", text[len("SET NAMES ") :]),))
    if found := PLAIN.match(text):
        name = found[1].lower()
        if name in ("global", "persist", "password"):
            return Part("unknown", leaves=frozenset(("unknown",)))
        return Part("set", leaves=frozenset(("set",)), sets=((name, found[2]),))
    if found := USE.match(text):
        return Part("use", leaves=frozenset(("use",)), use=(found[1] or found[2]).replace("``", "`"))
    first = FIRST.match(text)
    word = first[0].upper() if first else ""
    if SAVE.match(text):
        return Part("begin")
    if word in ("SHOW", "DESCRIBE", "DESC", "EXPLAIN"):
        return Part("show")
    if word in ("LOCK", "UNLOCK", "FLUSH"):
        return Part("lock", leaves=frozenset(("lock",)))
    if word in ("PREPARE", "EXECUTE", "DEALLOCATE"):
        return Part("prepare", leaves=frozenset(("prepare",)))
    if word == "CALL":
        return Part("call", leaves=frozenset(("unknown",)))
    return None


def looked_into(tree: exp.Expr | None) -> Part:
    if tree is None or tree.find(exp.Command):
        return UNKNOWN.parts[0]
    kind = next((name for cls, name in {**KINDS, **ENDS}.items() if isinstance(tree, cls)), "")
    leaves: set[str] = set()
    if isinstance(tree, exp.Create) and any(tree.find_all(exp.TemporaryProperty)):
        leaves.add("temporary")
    if isinstance(tree, exp.Create | exp.Drop | exp.Alter):
        kind = "definition"
    if not kind:
        return UNKNOWN.parts[0]
    for node in tree.walk():
        if isinstance(node, exp.Parameter | exp.PropertyEQ):
            leaves.add("variable")
        elif isinstance(node, exp.SessionParameter) and node.name.lower() in ("last_insert_id", "identity"):
            leaves.add("insert_id")
        elif isinstance(node, exp.Anonymous):
            name = str(node.this).upper()
            if name in LOCKING:
                leaves.add("lock")
            elif name == "LAST_INSERT_ID":
                leaves.add("insert_id")
            elif name in ("FOUND_ROWS", "ROW_COUNT"):
                leaves.add("variable")
        elif isinstance(node, exp.Lock):
            kind = "update"  # SELECT ... FOR UPDATE
        elif isinstance(node, exp.Into):
            leaves.add("unknown")
    tables = frozenset(str(t.name).lower() for t in tree.find_all(exp.Table) if t.name)
    return Part(kind, tables, frozenset(leaves), equal=tuple(equalities(tree)))


def equalities(tree: exp.Expr) -> Iterator[tuple[str, str]]:
    """Columns compared with a literal or a parameter in the WHERE, or given one in an INSERT of one row."""
    where = tree.args.get("where")
    if where is not None and not where.find(exp.Or):
        for node in where.find_all(exp.EQ):
            for one, other in ((node.left, node.right), (node.right, node.left)):
                if isinstance(one, exp.Column) and isinstance(other, exp.Placeholder) and other.this:
                    yield one.name.lower(), str(other.this)
    values = tree.args.get("expression") if isinstance(tree, exp.Insert) else None
    if isinstance(values, exp.Values) and len(values.expressions) == 1 and isinstance(tree.this, exp.Schema):
        for column, value in zip(tree.this.expressions, values.expressions[0].expressions, strict=False):
            if isinstance(value, exp.Placeholder) and value.this:
                yield column.name.lower(), str(value.this)
