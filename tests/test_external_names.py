"""Each name of external_names.txt stands in the program: other processes, files and people rely on it."""

from __future__ import annotations

import ast
import tomllib
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
NAMES = (ROOT / "tests/external_names.txt").read_text().split()
LOG_CALLS = {"debug", "info", "warning", "error", "exception", "critical", "log"}
# `Frame` (link) and `Table` (experiments) are the project's own bases of encoded classes.
ENCODED_BASES = {"msgspec.Struct", "Frame", "Table"}
ENCODED_DATACLASSES = {"MembershipStats"}  # written out by asdict()


def is_encoded(node: ast.ClassDef) -> bool:
    bases = {ast.unparse(base) for base in node.bases}
    return bool(bases & ENCODED_BASES) or node.name in ENCODED_DATACLASSES


def encoded_fields(node: ast.ClassDef) -> Iterator[str]:
    """Yields the fields of an encoded class, and its name where that is the message's tag."""
    if any(ast.unparse(base) == "Frame" for base in node.bases):
        yield node.name
    for field in node.body:
        if isinstance(field, ast.AnnAssign) and isinstance(field.target, ast.Name):
            yield field.target.id


def external_names(node: ast.AST) -> Iterator[str]:
    """Yields strings outside doc comments and messages, encoded fields, and fields of simulator actions."""
    if isinstance(node, ast.Raise) or (isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)):
        return
    if isinstance(node, ast.Assign) and "__slots__" in {ast.unparse(target) for target in node.targets}:
        return
    if isinstance(node, ast.Constant) and isinstance(node.value, str | bytes):
        text = node.value.decode("latin-1") if isinstance(node.value, bytes) else node.value
        yield from (text, *text.split())
    if isinstance(node, ast.ClassDef) and is_encoded(node):
        yield from encoded_fields(node)
    skipped = None
    if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
        if node.func.attr in LOG_CALLS and node.args:
            skipped = node.args[0]
        if node.func.attr == "act":
            yield from (keyword.arg for keyword in node.keywords if keyword.arg)
    for child in ast.iter_child_nodes(node):
        if child is not skipped:
            yield from external_names(child)


def names_of_the_program() -> set[str]:
    found = set(tomllib.loads((ROOT / "deploy/balancer.toml").read_text()))
    for path in (ROOT / "rainspindle").rglob("*.py"):
        found.update(external_names(ast.parse(path.read_text())))
    return found


def test_each_external_name_stands_in_the_program() -> None:
    missing = sorted(set(NAMES) - names_of_the_program())
    assert not missing, "renamed or removed, though others rely on them"


def test_the_list_is_sorted_and_names_each_once() -> None:
    assert sorted(set(NAMES)) == NAMES


def test_names_in_messages_and_doc_comments_do_not_count() -> None:
    planted = '''
class Hello(Frame):
    """Has a documented name."""
    sent_field: int
log.info("logged", extra={"fields": {"log_field": 1}})
raise ValueError("raised")
'''
    found = set(external_names(ast.parse(planted)))
    assert {"Hello", "sent_field", "log_field"} <= found
    assert not {"documented", "logged", "raised"} & found
