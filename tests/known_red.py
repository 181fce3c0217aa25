"""Tests that are known to fail for a fault that is not fixed yet, as KNOWN-RED.txt at the root lists them.

One line each: `tests/test_x.py::test_name | command, seed N | what was seen | issue N`. A listed test has to
fail: one that passes fails the run, and so does a line that is malformed or names no test. Without that file
nothing is passed over. The end of each run prints what is listed.
"""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
FORM = "tests/test_x.py::test_name | command, seed N | what was seen | issue N"
LINE = re.compile(
    r"(?P<test>\S+\.py(?:::\w+)+(?:\[[^|]*\])?) \| (?P<command>[^|\s][^|]*, seed \S[^|]*?)"
    r" \| (?P<seen>[^|\s][^|]*?) \| (?P<issue>issue \d+)"
)


class BadList(Exception):
    """KNOWN-RED.txt cannot be gone by."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One line of the file."""

    test: str  # its node id; without parameters all of its cases are meant
    command: str  # by which it fails, with the seed
    seen: str
    issue: str

    @property
    def path(self) -> str:
        return self.test.partition("::")[0]

    @property
    def names(self) -> list[str]:
        """The classes that hold the function, from the outermost on, and the function."""
        return self.test.partition("[")[0].split("::")[1:]

    def covers(self, node_id: str) -> bool:
        return self.test in (node_id, node_id.partition("[")[0])

    def __str__(self) -> str:
        return f"{self.test} | {self.command} | {self.seen} | {self.issue}"


def parse(text: str) -> list[KnownRed]:
    """Raises BadList."""
    listed = list[KnownRed]()
    for number, line in enumerate(text.splitlines(), 1):
        found = LINE.fullmatch(line)
        if found is None:
            raise BadList(f"line {number} is not `{FORM}`: {line!r}")
        listed.append(KnownRed(found["test"], found["command"], found["seen"], found["issue"]))
    if len({known.test for known in listed}) < len(listed):
        raise BadList("a test is listed twice")
    return listed


def defined(body: Sequence[ast.stmt], names: Sequence[str]) -> bool:
    """Whether a function is defined there, within the classes that are named before it."""
    for statement in body:
        if isinstance(statement, ast.FunctionDef | ast.AsyncFunctionDef) and [statement.name] == list(names):
            return True
        if isinstance(statement, ast.ClassDef) and len(names) > 1 and statement.name == names[0]:
            return defined(statement.body, names[1:])
    return False


def read(root: Path) -> list[KnownRed]:
    """What is listed there, nothing where the file is absent. Raises BadList."""
    try:
        listed = parse((root / FILE).read_text())
    except FileNotFoundError:
        return []
    for known in listed:
        try:
            body = ast.parse((root / known.path).read_bytes()).body
        except (OSError, SyntaxError) as fault:
            raise BadList(f"{known.test}: {fault}") from None
        if not defined(body, known.names):
            raise BadList(f"no such test: {known.test}")
    return listed


LISTED = pytest.StashKey[list[KnownRed]]()


def pytest_configure(config: pytest.Config) -> None:
    try:
        config.stash[LISTED] = read(config.rootpath)
    except BadList as fault:
        raise pytest.UsageError(f"{FILE}: {fault}") from None


class Missing(pytest.Item):
    """Fails in place of a listed test that was not found.

    An error raised while tests are collected would be lost where several processes collect them."""

    def runtest(self) -> None:
        pytest.fail(f"no such test: {self.name}", pytrace=False)

    def reportinfo(self) -> tuple[Path, None, str]:
        return self.config.rootpath / FILE, None, self.name


@pytest.hookimpl(tryfirst=True)  # before -k takes any out
def pytest_collection_modifyitems(
    session: pytest.Session, config: pytest.Config, items: list[pytest.Item]
) -> None:
    for known in config.stash[LISTED]:
        covered = [item for item in items if known.covers(item.nodeid)]
        for item in covered:
            item.add_marker(
                pytest.mark.xfail(reason=f"{FILE}: {known}; if it passes, take the line out", strict=True)
            )
        if not covered and collected_whole(config, items, known.path):
            items.append(Missing.from_parent(session, name=known.test))


def collected_whole(config: pytest.Config, items: Sequence[pytest.Item], path: str) -> bool:
    """Whether that file was collected, and not only some tests of it by their names."""
    return any(item.nodeid.startswith(f"{path}::") for item in items) and not any(
        "::" in argument for argument in config.args
    )


def ends(reporter: pytest.TerminalReporter, known: KnownRed) -> Iterator[str]:
    """How the cases of a listed test ended in this run."""
    for kind, told in (
        ("xfailed", "failed as listed"),
        ("failed", "did not fail as listed"),
        ("passed", "passed"),
        ("skipped", "skipped"),
        ("error", "error"),
    ):
        reports = [
            report
            for report in reporter.stats.get(kind, ())
            if isinstance(report, pytest.TestReport) and known.covers(report.nodeid)
        ]
        if reports:
            yield f"{len(reports)} {told}"


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    if listed := config.stash[LISTED]:
        terminalreporter.section(f"known to fail ({FILE})")
    for known in listed:
        terminalreporter.write_line(f"{known}: {', '.join(ends(terminalreporter, known)) or 'not run'}")
