"""The dataclasses behave as the standard library's, and make the start of the program cheap."""

from __future__ import annotations

import dataclasses
import operator as op
import os
import statistics
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainspindle import lazy_dataclasses

ROOT = Path(__file__).parent.parent
LIBRARIES = "import h11, orjson, argparse, logging, dataclasses"
PROGRAM = "import rainspindle.program.main"
# The fields' default values, None where there is none; for "d", the default factory.
FIELDS: dict[str, Any] = {"a": None, "b": None, "c": 3, "d": list, "e": "x"}


def make_class(module: Any, count: int, **options: bool) -> Any:
    """Makes a dataclass of the first `count` fields."""
    names = list(FIELDS)[:count]
    body: dict[str, Any] = {
        "__annotations__": dict.fromkeys(names, "object"),
        "both": lambda self: (self.a, self.b),
    }
    for name in names:
        if name == "d":
            body[name] = module.field(default_factory=FIELDS[name])
        elif FIELDS[name] is not None:
            body[name] = FIELDS[name]
    return module.dataclass(**options)(type("One", (), body))


def outcome(action: Any) -> Any:
    try:
        return action()
    except TypeError:
        return TypeError


calls = st.tuples(
    st.lists(st.integers(0, 2), max_size=5),
    st.dictionaries(st.sampled_from("abcdef"), st.integers(0, 2), max_size=3),
)


options_strategy = st.fixed_dictionaries(
    {"frozen": st.booleans(), "eq": st.booleans(), "order": st.booleans()}
)


@settings(derandomize=True, deadline=None)
@given(st.integers(0, 5), calls, calls, options_strategy)
def test_they_behave_as_the_standard_librarys(
    count: int, first_call: Any, second_call: Any, how: dict[str, bool]
) -> None:
    how = {**how, "slots": True, "order": how["order"] and how["eq"]}
    results: list[list[Any]] = []
    for module in (dataclasses, lazy_dataclasses):
        cls = make_class(module, count, **how)
        first, second = (
            outcome(lambda cls=cls, call=call: cls(*call[0], **call[1])) for call in (first_call, second_call)
        )
        if TypeError in (first, second):
            results.append([first is TypeError, second is TypeError])
            continue
        results.append(
            [
                repr(first).rpartition(".")[2],
                first == second,
                first != second,
                first == 3,
                cls.__match_args__,
                cls.__slots__,
                *(
                    outcome(lambda first=first, second=second, how=how: how(first, second))
                    for how in (op.lt, op.le, op.gt, op.ge)
                ),
                outcome(lambda first=first: hash(first) == hash(first)),
                outcome(lambda first=first, second=second: hash(first) == hash(second)),
                outcome(
                    lambda module=module, first=first: repr(module.replace(first, a=7)).rpartition(".")[2]
                ),
                hasattr(first, "__dict__"),
                count > 1 and first.both() == (first.a, first.b),
            ]
        )
    assert results[0] == results[1]


def test_lists_are_not_shared_and_a_subclass_adds_its_fields() -> None:
    cls: Any = make_class(lazy_dataclasses, 5)
    first, second = cls(1, 2), cls(1, 2)
    first.d.append(1)
    assert second.d == [] and first != second

    subclass: Any = lazy_dataclasses.dataclass(frozen=True)(
        type("More", (cls,), {"__annotations__": {"f": "int"}, "f": 5})
    )
    assert (
        lazy_dataclasses.fields(subclass) == ("a", "b", "c", "d", "e", "f")
        and subclass(1, 2).f == 5
        and subclass(1, 2) != second
    )
    with pytest.raises(AttributeError):
        subclass(1, 2).g = 1


def cpu_seconds(code: str, environment: dict[str, str]) -> float:
    """Returns the CPU seconds of a start, user and system."""
    process = subprocess.Popen([sys.executable, "-O", "-c", code], cwd=ROOT, env=environment)
    _, status, used = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    assert process.returncode == 0
    return used.ru_utime + used.ru_stime


def test_importing_the_program_is_cheap_beside_its_libraries(tmp_path: Path) -> None:
    """A slow start delays clients while modules are imported and classes are built.

    It is measured with compiled bytecode, as `deploy/balancer.toml` builds it. The two starts alternate, so
    that other load on the machine affects both.
    """
    environment = {**os.environ, "PYTHONPYCACHEPREFIX": str(tmp_path)}
    environment.pop("PYTHONDONTWRITEBYTECODE", None)
    for code in (LIBRARIES, PROGRAM):
        cpu_seconds(code, environment)
    pairs = [(cpu_seconds(LIBRARIES, environment), cpu_seconds(PROGRAM, environment)) for _ in range(21)]
    # The fastest runs are the least disturbed: other load can only add time.
    libraries, program = (statistics.mean(sorted(times)[:5]) for times in zip(*pairs, strict=True))
    assert program < 1.6 * libraries, f"{1000 * program:.0f} ms, libraries alone {1000 * libraries:.0f} ms"
