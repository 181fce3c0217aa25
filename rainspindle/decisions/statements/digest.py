"""Normalises SQL text by replacing literals with placeholders, so that one parse serves every variant."""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_TEXT_LENGTH = 256 * 1024  # longer texts are not analysed

TOKEN = re.compile(
    r"""
    (?P<space>\s++)
  | (?P<hidden>/\*[!+](?:[^*]|\*(?!/))*+\*/)
  | (?P<comment>/\*(?:[^*]|\*(?!/))*+\*/ | --(?=[\s]|$)[^\n]*+ | \#[^\n]*+)
  | (?P<string>'(?:[^'\\]|\\.|'')*+' | "(?:[^"\\]|\\.|"")*+")
  | (?P<name>`(?:[^`]|``)*+` | @@?[\w.$]++ | [A-Za-z_$\x80-\uffff][\w$\x80-\uffff]*+)
  | (?P<number>0[xX][0-9a-fA-F]++ | (?:\d++(?:\.\d*+)? | \.\d++)(?:[eE][+-]?\d++)?+)
  | (?P<mark>\?)
  | (?P<end>;)
  | (?P<other>[-+*/%=<>!|&^~(),.:{}\[\]])
""",
    re.VERBOSE | re.DOTALL,
)
KEY_HINT = re.compile(r"\bkey\s*=\s*([^\s*,;]{1,200})")
ESCAPES = {"0": "\0", "n": "\n", "t": "\t", "r": "\r", "b": "\b", "Z": "\x1a"}


@dataclass(frozen=True, slots=True)
class Digest:
    """Normalised text, with :l0, :l1 ... in place of literals and :p0, :p1 ... in place of parameters."""

    text: str
    literals: tuple[str, ...]
    parameters: int
    hint: str | None  # routing key from a comment of the form /* key=... */


def digest(sql: str) -> Digest | None:
    """Normalise a text; None if it is too long, cannot be tokenized or has comments that carry code.

    Unterminated strings and comments cannot be tokenized. Comments that start with /*! or /*+ carry code or
    optimizer hints that the parser would not see.
    """
    if len(sql) > MAX_TEXT_LENGTH:
        return None
    fragments: list[str] = []
    literals: list[str] = []
    parameters, hint, position = 0, None, 0
    while position < len(sql):
        token = TOKEN.match(sql, position)
        if token is None:
            return None
        position = token.end()
        kind = token.lastgroup
        if kind == "hidden":
            return None
        if kind == "comment":
            hint_match = KEY_HINT.search(token[0])
            hint = hint_match[1] if hint_match else hint
            fragments.append(" ")
        elif kind in ("string", "number"):
            fragments.append(f" :l{len(literals)} ")
            literals.append(unquote(token[0]) if kind == "string" else token[0])
        elif kind == "mark":
            fragments.append(f" :p{parameters} ")
            parameters += 1
        else:
            fragments.append(" " if kind == "space" else token[0])
    return Digest(" ".join("".join(fragments).split()), tuple(literals), parameters, hint)


def unquote(token: str) -> str:
    """Return the value of a quoted string literal, with doubled quotes and backslash escapes resolved."""
    quote, inner = token[0], token[1:-1]
    if "\\" not in inner and quote not in inner:
        return inner
    inner = inner.replace(quote * 2, quote)
    return re.sub(r"\\(.)", lambda match: ESCAPES.get(match[1], match[1]), inner, flags=re.DOTALL)
