"""What the statements of a text change in their session, by how far the server has run them."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

# Side effects that pin a session to its server connection. "set", "use" and "insert_id" don't: they can be
# reproduced on another connection.
PINNING_EFFECTS = frozenset(("variable", "temporary", "lock", "unknown", "prepare", "autocommit"))
UNKNOWN_EFFECT = frozenset(("unknown",))
# A statement of these kinds may have opened a transaction although it failed.
TRANSACTION_KINDS = frozenset(("begin", "commit", "rollback"))


@dataclass(frozen=True, slots=True)
class StatementEffect:
    """What one statement changes in its session if it succeeds."""

    kind: str
    side_effects: frozenset[str] = frozenset()
    variables: dict[str, str] = field(default_factory=dict)  # session variables and their new values
    use: str = ""  # the new default database


@dataclass(frozen=True, slots=True)
class SessionChange:
    """What a text has changed in its session.

    Attributes:
        variables: Session variables and their new values.
        database: The new default database, "" if it has not changed.
        pinning_effects: State on the server connection that cannot be reproduced on another one.
        may_be_in_transaction: Whether a transaction may be open of which the server's status flags say
            nothing.
    """

    variables: dict[str, str]
    database: str
    pinning_effects: frozenset[str]
    may_be_in_transaction: bool


def change_after(effects: Sequence[StatementEffect], results: int, failed: bool) -> SessionChange:
    """Return what a text has changed of which the server has sent so many complete results.

    The statements run in order, each with one result, and the first that fails ends the text: those before
    it have had their effects, it may have had some of them, and those behind it have not run.
    """
    completed = effects[:results]
    # With other numbers of results the server has read the text otherwise than it was parsed here.
    unexpected = results > len(effects) or (results < len(effects) and not failed)
    failing = effects[results : results + 1] if failed else ()
    variables, database = dict[str, str](), ""
    for effect in completed:
        variables.update(effect.variables)
        database = effect.use or database
    side_effects = frozenset[str]().union(*(effect.side_effects for effect in (*completed, *failing)))
    return SessionChange(
        variables,
        database,
        side_effects & PINNING_EFFECTS | (UNKNOWN_EFFECT if unexpected else frozenset()),
        any(effect.kind in TRANSACTION_KINDS for effect in failing),
    )
