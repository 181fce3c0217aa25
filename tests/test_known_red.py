"""The list of tests that are known to fail, on a folder of its own: pytest runs there as a process."""

from __future__ import annotations

import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PASSED, FAILED, USAGE = 0, 1, 4  # pytest's own statuses
PATIENCE = 120.0  # seconds, far beyond anything needed
TESTS = """
import pytest

def test_good(): pass

def test_bad(): assert False, "a fault"

@pytest.mark.parametrize("n", [1, 2])
def test_half(n): assert n == 1

class TestMany:
    def test_bad(self): assert False

def helper(): pass
"""
CONFTEST = """
from tests import known_red

def pytest_configure(config):
    config.pluginmanager.register(known_red, "known-red")
"""
OTHER = "def test_other(): pass\n"
COMMAND = "bash tests/run, seed 1"
BAD = f"checks/test_a.py::test_bad | {COMMAND} | it is slow | issue 7"
HALF = f"checks/test_a.py::test_half[2] | {COMMAND} | two is too many | issue 8"
MANY = f"checks/test_a.py::TestMany::test_bad | {COMMAND} | none | issue 9"


class Folder:
    """A project whose tests fail, but for what its list passes over."""

    def __init__(self, root: Path) -> None:
        self.root = root
        (root / "checks").mkdir()
        (root / "pytest.ini").write_text("[pytest]\ntestpaths = checks\n")
        (root / "checks" / "conftest.py").write_text(CONFTEST)
        (root / "checks" / "test_a.py").write_text(TESTS)
        (root / "checks" / "test_b.py").write_text(OTHER)

    def known(self, *lines: str) -> None:
        (self.root / "KNOWN-RED.txt").write_text("".join(f"{line}\n" for line in lines))

    def run(self, *arguments: str) -> tuple[int, str]:
        """Status and output of pytest there."""
        environment = {**os.environ, "PYTHONPATH": str(ROOT)}
        environment.pop("PYTEST_ADDOPTS", None)
        done = subprocess.run(
            [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", "-q", *arguments],
            cwd=self.root,
            env=environment,
            text=True,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            timeout=PATIENCE,
        )
        return done.returncode, done.stdout

    def counts(self, *arguments: str) -> tuple[int, dict[str, int]]:
        """Status, and how many tests ended in which way."""
        status, output = self.run(*arguments)
        found = re.findall(
            r"(\d+) (passed|failed|xfailed|xpassed|deselected|errors?)\b", output.splitlines()[-1]
        )
        return status, {kind: int(count) for count, kind in found}


@pytest.fixture
def folder(tmp_path: Path) -> Folder:
    return Folder(tmp_path)


def test_without_the_file_nothing_is_passed_over(folder: Folder) -> None:
    status, output = folder.run()
    assert status == FAILED and "3 failed, 3 passed" in output and "known to fail" not in output


@pytest.mark.parametrize("workers", [(), ("-n", "2")], ids=["alone", "xdist"])
def test_listed_tests_that_fail_are_passed_over_and_printed(folder: Folder, workers: tuple[str, ...]) -> None:
    folder.known(BAD, HALF, MANY)
    status, output = folder.run(*workers)
    assert status == PASSED, output
    assert "3 passed, 3 xfailed" in output
    for line in (BAD, HALF, MANY):
        assert f"\n{line}: 1 failed as listed\n" in output


@pytest.mark.parametrize("workers", [(), ("-n", "2")], ids=["alone", "xdist"])
def test_a_listed_test_that_passes_is_an_error(folder: Folder, workers: tuple[str, ...]) -> None:
    line = f"checks/test_a.py::test_good | {COMMAND} | it was slow | issue 7"
    folder.known(line)
    status, output = folder.run("checks/test_a.py", "-k", "good", *workers)
    assert status == FAILED, output
    assert "XPASS(strict)" in output and f"{line}: 1 did not fail as listed" in output


def test_all_cases_of_a_listed_test_have_to_fail(folder: Folder) -> None:
    folder.known(f"checks/test_a.py::test_half | {COMMAND} | both | issue 8")
    assert folder.counts("-k", "half") == (FAILED, {"failed": 1, "xfailed": 1, "deselected": 4})


def test_only_what_is_listed_is_passed_over(folder: Folder) -> None:
    folder.known(BAD)
    assert folder.counts() == (FAILED, {"failed": 2, "passed": 3, "xfailed": 1})


@pytest.mark.parametrize(
    "chosen",
    [
        ("checks/test_b.py",),
        ("-k", "other"),
        ("checks/test_a.py::test_good",),
        ("--ignore", "checks/test_a.py"),
        ("-n", "2", "checks/test_b.py"),
    ],
)
def test_a_listed_test_that_was_not_chosen_is_no_error(folder: Folder, chosen: tuple[str, ...]) -> None:
    folder.known(BAD, HALF)
    status, output = folder.run(*chosen)
    assert status == PASSED, output
    assert f"{BAD}: not run" in output and f"{HALF}: not run" in output


def test_a_listed_test_that_was_chosen_by_name_is_passed_over(folder: Folder) -> None:
    folder.known(BAD)
    assert folder.counts("checks/test_a.py::test_bad") == (PASSED, {"xfailed": 1})


@pytest.mark.parametrize("workers", [(), ("-n", "2")], ids=["alone", "xdist"])
@pytest.mark.parametrize(
    "name",
    [
        "checks/test_a.py::test_nowhere",
        "checks/test_a.py::TestMany::test_good",
        "checks/test_a.py::TestFew::test_bad",
        "checks/test_a.py::helper",
        "checks/test_a.py::test_half[3]",
    ],
)
def test_a_test_that_does_not_exist_is_an_error(folder: Folder, name: str, workers: tuple[str, ...]) -> None:
    folder.known(f"{name} | {COMMAND} | none | issue 7")
    status, output = folder.run(*workers)
    assert status in (FAILED, USAGE) and f"no such test: {name}" in output, output


def test_a_file_that_does_not_exist_is_an_error(folder: Folder) -> None:
    folder.known(f"checks/test_c.py::test_bad | {COMMAND} | none | issue 7")
    status, output = folder.run()
    assert status == USAGE and "checks/test_c.py::test_bad: " in output and "No such file" in output, output


@pytest.mark.parametrize(
    "line",
    [
        "checks/test_a.py::test_bad",
        "checks/test_a.py::test_bad | it is slow",
        "checks/test_a.py::test_bad | it is slow | issue 7",
        "# none",
        f"checks/test_a.py::test_bad | {COMMAND} | | issue 7",
        "checks/test_a.py::test_bad | | it is slow | issue 7",
        "checks/test_a.py::test_bad | bash tests/run | it is slow | issue 7",
        "checks/test_a.py::test_bad | bash tests/run, seed | it is slow | issue 7",
        "checks/test_a.py::test_bad | , seed 1 | it is slow | issue 7",
        f"checks/test_a.py::test_bad | {COMMAND} | it is slow | 7",
        "",
        f"checks/test_a.py | {COMMAND} | it is slow | issue 7",
        f"test_bad | {COMMAND} | it is slow | issue 7",
        f"checks/test_a.py::test_bad | {COMMAND} | it is slow | issue 7 or so",
        f"checks/test_a.py::test_bad | {COMMAND} | it is slow | and more | issue 7",
    ],
)
def test_a_malformed_line_is_an_error(folder: Folder, line: str) -> None:
    folder.known(line)
    status, output = folder.run()
    assert status == USAGE and "KNOWN-RED.txt: line 1 is not" in output, output


def test_one_malformed_line_among_many_is_an_error(folder: Folder) -> None:
    folder.known(BAD, HALF, MANY, "checks/test_a.py::test_good | none | issue 9")
    status, output = folder.run()
    assert status == USAGE and "KNOWN-RED.txt: line 4 is not" in output, output


def test_more_than_three_tests_may_be_listed_and_each_has_to_fail(folder: Folder) -> None:
    good = f"checks/test_a.py::test_good | {COMMAND} | it was slow | issue 9"
    folder.known(BAD, HALF, MANY, good)
    status, output = folder.run()
    assert status == FAILED and f"{good}: 1 did not fail as listed" in output, output


def test_a_test_that_is_listed_twice_is_an_error(folder: Folder) -> None:
    folder.known(BAD, BAD)
    status, output = folder.run()
    assert status == USAGE and "listed twice" in output, output


def test_the_projects_own_runs_go_by_it(pytestconfig: pytest.Config) -> None:
    assert pytestconfig.pluginmanager.has_plugin("known-red")
