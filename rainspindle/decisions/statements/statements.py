"""Classifies statements by the operator's rules, with one parse per digested text.

A statement that cannot be parsed, is too long or matches no rule is treated as non-idempotent and keyed by
its session. One that cannot be parsed or is too long also pins the session.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from .digest import Digest, digest
from .effects import StatementEffect

AUTOCOMMIT_OFF = ("0", "off", "false")


@dataclass(frozen=True, slots=True)
class Rule:
    """Classification rule; the first match applies. An empty field matches every statement."""

    traffic_type: int
    kinds: frozenset[str] = frozenset()  # select, insert, replace, update, delete, call, show
    # Lower case. The rule matches if every table of the statement is in this set.
    tables: frozenset[str] = frozenset()
    key: str = "session"  # column:NAME, parameter:N, literal:N, hint, user, session, none


@dataclass(frozen=True, slots=True)
class ParsedStatement:
    """One statement of a text that may hold several, separated by semicolons."""

    kind: str
    tables: frozenset[str] = frozenset()
    side_effects: frozenset[str] = frozenset()
    variables: tuple[tuple[str, str], ...] = ()  # session variables and their values in digested form
    use: str = ""
    # Columns and the placeholders (l0, p1 ...) that they are compared with.
    comparisons: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class ParsedText:
    """The parsed statements of a text; never empty."""

    statements: tuple[ParsedStatement, ...]


@dataclass(frozen=True, slots=True)
class Classification:
    """Classification of a text with its literal values; `key` is None if it may go to any server."""

    traffic_type: int
    key: str | None
    effects: tuple[StatementEffect, ...] = ()  # of each statement, in order

    @property
    def side_effects(self) -> frozenset[str]:
        """The union of the side effects of all statements."""
        return frozenset().union(*(effect.side_effects for effect in self.effects))


UNKNOWN = ParsedText((ParsedStatement("unknown", side_effects=frozenset(("unknown",))),))
Parse = Callable[[str], ParsedText]


class Statements:
    """Classifies statements; keeps the `max_parses` latest used parses in an LRU cache."""

    def __init__(
        self, rules: Sequence[Rule], default: int, ranks: Sequence[int], parse: Parse, max_parses: int = 2000
    ) -> None:
        """Take `default` as the traffic class of statements that match no rule; it must be non-idempotent.

        `ranks` is indexed by traffic class: the class with the highest rank applies to a text with several
        statements.
        """
        self.rules, self.default, self.ranks, self.parse, self.max_parses = (
            rules,
            default,
            ranks,
            parse,
            max_parses,
        )
        self.cache: OrderedDict[str, ParsedText] = OrderedDict()
        self.hits = self.misses = 0

    def parsed(self, digested: Digest | None) -> ParsedText:
        """Return the cached parse of a digest, or parse it now; UNKNOWN if there is no digest."""
        if digested is None:
            return UNKNOWN
        cached = self.cache.get(digested.text)
        if cached is not None:
            self.hits += 1
            self.cache.move_to_end(digested.text)
            return cached
        self.misses += 1
        cached = self.cache[digested.text] = self.parse(digested.text)
        if len(self.cache) > self.max_parses:
            self.cache.popitem(last=False)
        return cached

    def meaning(
        self, sql: str, user: str, session: str, parameters: Sequence[str | None] = ()
    ) -> Classification:
        """Classify `sql`; `parameters` are the values of a prepared statement, None if no key."""
        digested = digest(sql)
        parsed = self.parsed(digested)
        traffic_type, rule, deciding_statement = self.default, None, parsed.statements[0]
        for index, statement in enumerate(parsed.statements):
            rule_match = next(
                (candidate for candidate in self.rules if self.matches(candidate, statement)), None
            )
            statement_type = rule_match.traffic_type if rule_match is not None else self.default
            if index == 0 or self.ranks[statement_type] > self.ranks[traffic_type]:
                traffic_type, rule, deciding_statement = statement_type, rule_match, statement
        literals = digested.literals if digested is not None else ()
        effects = tuple(statement_effect(statement, literals) for statement in parsed.statements)
        key = self.key(rule, deciding_statement, digested, user, session, parameters)
        return Classification(traffic_type, key, effects)

    def matches(self, rule: Rule, statement: ParsedStatement) -> bool:
        """Return whether a rule matches; a statement with unknown side effects matches none."""
        return (
            (not rule.kinds or statement.kind in rule.kinds)
            and "unknown" not in statement.side_effects
            and (not rule.tables or (bool(statement.tables) and statement.tables <= rule.tables))
        )

    def key(
        self,
        rule: Rule | None,
        statement: ParsedStatement,
        digested: Digest | None,
        user: str,
        session: str,
        parameters: Sequence[str | None],
    ) -> str | None:
        """Return the routing key that the rule names, or the session's name if the statement lacks it."""
        if rule is None or digested is None:
            return session
        source, _, argument = rule.key.partition(":")
        if source == "none":
            return None
        if source == "user":
            return user
        if source == "hint":
            return digested.hint or session
        placeholder = argument if source == "parameter" else ""
        if source == "column":
            placeholder = next(
                (value for column, value in statement.comparisons if column == argument.lower()), ""
            )
        elif source in ("parameter", "literal"):
            placeholder = f"{source[0]}{argument}"
        index = int(placeholder[1:]) if placeholder[1:].isdecimal() else -1
        if placeholder.startswith("l") and 0 <= index < len(digested.literals):
            return digested.literals[index]
        if placeholder.startswith("p") and 0 <= index < len(parameters):
            return parameters[index] or session
        return session


def statement_effect(statement: ParsedStatement, literals: Sequence[str]) -> StatementEffect:
    """Return what a statement changes in its session, with its literal values."""
    variables = {name: restore_literal(value, literals) for name, value in statement.variables}
    side_effects = statement.side_effects
    if variables.pop("autocommit", "1").lower() in AUTOCOMMIT_OFF:
        side_effects |= {"autocommit"}
    return StatementEffect(statement.kind, side_effects, variables, statement.use)


def restore_literal(value: str, literals: Sequence[str]) -> str:
    """Substitute literals in a digested value: `:l3` is the fourth one, requoted unless it is a number."""
    if value.startswith(":l") and value[2:].isdecimal() and int(value[2:]) < len(literals):
        text = literals[int(value[2:])]
        return (
            text
            if text.replace(".", "", 1).isdecimal()
            else "'" + text.replace("\\", "\\\\").replace("'", "''") + "'"
        )
    return value
