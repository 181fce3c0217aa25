"""Sessions that share the MySQL front's connections behave as if each had one of its own."""

from __future__ import annotations

import pytest

from .mysql_fixture import MysqlFixture
from .mysql_histories import compare, draw_history, fault, shrink

SESSIONS = 3
SEEDS_PER_TEST = 50


# Guards against rows, databases, variables and transactions of one session that another one meets.
@pytest.mark.parametrize("servers", [1, 2])
@pytest.mark.parametrize("first_seed", [1, 51])
def test_sessions_end_as_on_connections_of_their_own(first_seed: int, servers: int) -> None:
    fixture = MysqlFixture(servers=servers, most_each=SESSIONS)
    fixture.set_fault_hook(fault)
    try:
        for seed in range(first_seed, first_seed + SEEDS_PER_TEST):
            history = draw_history(seed, SESSIONS)
            if compare(fixture, SESSIONS, history):
                shrunk = shrink(history, lambda shorter: bool(compare(fixture, SESSIONS, shorter)))
                pytest.fail(f"seed {seed}:\n{compare(fixture, SESSIONS, shrunk)}", pytrace=False)
    finally:
        fixture.end()
