"""Value classes against the standard library's, and what they are for: a start that costs little."""

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
FIELDS: dict[str, Any] = {"a": None, "b": None, "c": 3, "d": list, "e": "x"}  # a default, or how it is made


def made_by(module: Any, count: int, **how: bool) -> Any:
    """A class of the first `count` fields."""
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
    return module.dataclass(**how)(type("One", (), body))


def outcome(act: Any) -> Any:
    try:
        return act()
    except TypeError:
        return TypeError


calls = st.tuples(
    st.lists(st.integers(0, 2), max_size=5),
    st.dictionaries(st.sampled_from("abcdef"), st.integers(0, 2), max_size=3),
)


hows = st.fixed_dictionaries({"frozen": st.booleans(), "eq": st.booleans(), "order": st.booleans()})


@settings(derandomize=True, deadline=None)
@given(st.integers(0, 5), calls, calls, hows)
def test_they_do_what_the_standard_librarys_do(count: int, one: Any, two: Any, how: dict[str, bool]) -> None:
    how = {**how, "slots": True, "order": how["order"] and how["eq"]}
    told: list[list[Any]] = []
    for module in (dataclasses, lazy_dataclasses):
        cls = made_by(module, count, **how)
        x, y = (outcome(lambda cls=cls, call=call: cls(*call[0], **call[1])) for call in (one, two))
        if TypeError in (x, y):
            told.append([x is TypeError, y is TypeError])
            continue
        told.append(
            [
                repr(x).rpartition(".")[2],
                x == y,
                x != y,
                x == 3,
                cls.__match_args__,
                cls.__slots__,
                *(outcome(lambda x=x, y=y, how=how: how(x, y)) for how in (op.lt, op.le, op.gt, op.ge)),
                outcome(lambda x=x: hash(x) == hash(x)),
                outcome(lambda x=x, y=y: hash(x) == hash(y)),
                outcome(lambda module=module, x=x: repr(module.replace(x, a=7)).rpartition(".")[2]),
                hasattr(x, "__dict__"),
                count > 1 and x.both() == (x.a, x.b),
            ]
        )
    assert told[0] == told[1]


def test_lists_are_not_shared_and_a_subclass_adds_its_fields() -> None:
    cls: Any = made_by(lazy_dataclasses, 5)
    x, y = cls(1, 2), cls(1, 2)
    x.d.append(1)
    assert y.d == [] and x != y

    more: Any = lazy_dataclasses.dataclass(frozen=True)(
        type("More", (cls,), {"__annotations__": {"f": "int"}, "f": 5})
    )
    assert (
        lazy_dataclasses.fields(more) == ("a", "b", "c", "d", "e", "f")
        and more(1, 2).f == 5
        and more(1, 2) != y
    )
    with pytest.raises(AttributeError):
        more(1, 2).g = 1


def cpu(code: str, environment: dict[str, str]) -> float:
    """Seconds of a start, the system's too."""
    process = subprocess.Popen([sys.executable, "-O", "-c", code], cwd=ROOT, env=environment)
    _, status, used = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    assert process.returncode == 0
    return used.ru_utime + used.ru_stime


def test_a_start_costs_little_beside_its_libraries(tmp_path: Path) -> None:
    """Guards against a restart that holds clients up while modules are read and classes made.

    As `deploy/balancer.toml` builds it, with the bytecode there; both by turns, so that what else the machine
    does is in both."""
    environment = {**os.environ, "PYTHONPYCACHEPREFIX": str(tmp_path)}
    environment.pop("PYTHONDONTWRITEBYTECODE", None)
    for code in (LIBRARIES, PROGRAM):
        cpu(code, environment)
    pairs = [(cpu(LIBRARIES, environment), cpu(PROGRAM, environment)) for _ in range(21)]
    # The least disturbed: what else the machine does can only add.
    libraries, program = (statistics.mean(sorted(times)[:5]) for times in zip(*pairs, strict=True))
    assert program < 1.6 * libraries, f"{1000 * program:.0f} ms beside {1000 * libraries:.0f} ms"
