"""What a statement is, by the operator's rules: parsed once for all that differ in literals alone.

What cannot be parsed, is too long or fits no rule is binding, is keyed by its session, and pins it.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from .digest import Digest, digest

# What a statement leaves behind in its session; any of them pins it but "set", "use" and "insert_id".
PINNING = frozenset(("variable", "temporary", "lock", "unknown", "prepare", "autocommit"))


@dataclass(frozen=True, slots=True)
class Rule:
    """The first rule that fits says what a statement is. Empty fields fit all."""

    traffic_type: int
    kinds: frozenset[str] = frozenset()  # select, insert, replace, update, delete, call, show
    # lower case; it fits when all tables of the statement are among them
    tables: frozenset[str] = frozenset()
    key: str = "session"  # column:NAME, parameter:N, literal:N, hint, user, session, none


@dataclass(frozen=True, slots=True)
class Part:
    """One statement of a text."""

    kind: str
    tables: frozenset[str] = frozenset()
    leaves: frozenset[str] = frozenset()
    sets: tuple[tuple[str, str], ...] = ()  # session variables and their literal texts, as digested
    use: str = ""
    equal: tuple[tuple[str, str], ...] = ()  # columns compared with l0, p1 ...


@dataclass(frozen=True, slots=True)
class Parsed:
    parts: tuple[Part, ...]

    def leaves(self) -> frozenset[str]:
        return frozenset().union(*(part.leaves for part in self.parts))


@dataclass(frozen=True, slots=True)
class Meant:
    """What one statement with its literals is."""

    traffic_type: int
    key: str | None
    leaves: frozenset[str]
    sets: dict[str, str] = field(default_factory=dict)
    use: str = ""

    @property
    def pins(self) -> bool:
        return bool(self.leaves & PINNING)


UNKNOWN = Parsed((Part("unknown", leaves=frozenset(("unknown",))),))
Parse = Callable[[str], Parsed]


class Statements:
    """Gives the meaning of statements; holds `most` parses, the latest used."""

    def __init__(
        self, rules: Sequence[Rule], default: int, ranks: Sequence[int], parse: Parse, most: int = 2000
    ) -> None:
        """`default` is the traffic type of what fits no rule, a binding one. `ranks` by traffic type: of
        several
        statements in one text the highest counts."""
        self.rules, self.default, self.ranks, self.parse, self.most = rules, default, ranks, parse, most
        self.cache: OrderedDict[str, Parsed] = OrderedDict()
        self.hits = self.misses = 0

    def parsed(self, found: Digest | None) -> Parsed:
        if found is None:
            return UNKNOWN
        known = self.cache.get(found.text)
        if known is not None:
            self.hits += 1
            self.cache.move_to_end(found.text)
            return known
        self.misses += 1
        known = self.cache[found.text] = self.parse(found.text)
        if len(self.cache) > self.most:
            self.cache.popitem(last=False)
        return known

    def meaning(self, sql: str, user: str, session: str, parameters: Sequence[str | None] = ()) -> Meant:
        found = digest(sql)
        parsed = self.parsed(found)
        kind, rule, part = self.default, None, parsed.parts[0]
        for n, one in enumerate(parsed.parts):
            fits = next((r for r in self.rules if self.fits(r, one)), None)
            its = fits.traffic_type if fits is not None else self.default
            if n == 0 or self.ranks[its] > self.ranks[kind]:
                kind, rule, part = its, fits, one
        literals = found.literals if found is not None else ()
        sets = {name: literal(value, literals) for one in parsed.parts for name, value in one.sets}
        leaves = parsed.leaves()
        if sets.pop("autocommit", "1").lower() in ("0", "off", "false"):
            leaves |= {"autocommit"}
        use = next((one.use for one in reversed(parsed.parts) if one.use), "")
        key = self.key(rule, part, found, user, session, parameters)
        return Meant(kind, key, leaves, sets, use)

    def fits(self, rule: Rule, part: Part) -> bool:
        return (
            (not rule.kinds or part.kind in rule.kinds)
            and "unknown" not in part.leaves
            and (not rule.tables or (bool(part.tables) and part.tables <= rule.tables))
        )

    def key(
        self,
        rule: Rule | None,
        part: Part,
        found: Digest | None,
        user: str,
        session: str,
        parameters: Sequence[str | None],
    ) -> str | None:
        if rule is None or found is None:
            return session
        how, _, what = rule.key.partition(":")
        if how == "none":
            return None
        if how == "user":
            return user
        if how == "hint":
            return found.hint or session
        place = what if how == "parameter" else ""
        if how == "column":
            place = next((value for column, value in part.equal if column == what.lower()), "")
        elif how in ("parameter", "literal"):
            place = f"{how[0]}{what}"
        number = int(place[1:]) if place[1:].isdecimal() else -1
        if place.startswith("l") and 0 <= number < len(found.literals):
            return found.literals[number]
        if place.startswith("p") and 0 <= number < len(parameters):
            return parameters[number] or session
        return session


def literal(value: str, literals: Sequence[str]) -> str:
    """A digested value as it was: `:l3` is the fourth literal, quoted anew unless it is a number."""
    if value.startswith(":l") and value[2:].isdecimal() and int(value[2:]) < len(literals):
        told = literals[int(value[2:])]
        return (
            told
            if told.replace(".", "", 1).isdecimal()
            else "'" + told.replace("\\", "\\\\").replace("'", "''") + "'"
        )
    return value
