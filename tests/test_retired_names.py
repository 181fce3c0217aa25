"""Names that a finished package has given up do not come back, by the tables of docs/design/naming.md."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs/design/naming.md").read_text()
SECTION = re.compile(r"^## .*?finished: (?P<paths>.+?)\n(?P<text>.*?)(?=^## |\Z)", re.S | re.M)
CODE = re.compile(r"`([^`]+)`")


def finished() -> list[tuple[str, set[str]]]:
    """Each finished path with the names that it has given up: the left columns of its section's table."""
    out = []
    for section in SECTION.finditer(PAGE):
        rows = [line.split("|")[1] for line in section["text"].splitlines() if line.startswith("| `")]
        retired = {name for row in rows for name in CODE.findall(row) if name.isidentifier()}
        out += [(path, retired) for path in CODE.findall(section["paths"])]
    return out


def identifiers(tree: ast.AST) -> Iterator[str]:
    for node in ast.walk(tree):
        for name in ("id", "attr", "arg", "name", "asname"):
            found = getattr(node, name, None)
            if isinstance(found, str):
                yield found


def files(path: str) -> list[Path]:
    at = ROOT / path
    return [at] if at.is_file() else sorted(at.glob("**/*.py"))


@pytest.mark.parametrize(("path", "retired"), [pytest.param(*one, id=one[0]) for one in finished()])
def test_a_retired_name_does_not_come_back(path: str, retired: set[str]) -> None:
    assert retired and files(path), "the page names nothing"
    for file in files(path):
        back = sorted(retired.intersection(identifiers(ast.parse(file.read_text()))))
        assert not back, f"{file.relative_to(ROOT)}: {back}; docs/design/naming.md says what replaces them"


def test_a_name_that_came_back_would_be_found() -> None:
    planted = ast.parse("class Breaker:\n    def woken(self, token): return self.further\n")
    assert {"Breaker", "woken", "token", "further"} <= set(identifiers(planted))
