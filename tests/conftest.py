"""What all tests go by."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from hypothesis import HealthCheck, settings

from . import known_red
from .fleet import OPEN, Rig

# Guards against a verdict that hangs on how busy the machine is: neither an example nor drawing it has a time
# limit of its own (a whole test has, in pyproject.toml), and the examples are the same each time.
settings.register_profile(
    "house", derandomize=True, deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile("house")


def pytest_configure(config: pytest.Config) -> None:
    config.pluginmanager.register(known_red, "known-red")


@pytest.fixture(autouse=True)
def all_is_closed() -> Iterator[None]:
    """Also where a test fails: no process that it has left behind takes the next one's time."""
    yield
    while OPEN:
        OPEN[-1].close()


@pytest.fixture
def rig() -> Rig:
    return Rig()
