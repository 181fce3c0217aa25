"""A statement's text without its literals, so that one parse serves all that differ in these alone."""

from __future__ import annotations

import re
from dataclasses import dataclass

MOST_TEXT = 256 * 1024  # bytes; longer ones are not looked into

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
HINT = re.compile(r"\bkey\s*=\s*([^\s*,;]{1,200})")
ESCAPES = {"0": "\0", "n": "\n", "t": "\t", "r": "\r", "b": "\b", "Z": "\x1a"}


@dataclass(frozen=True, slots=True)
class Digest:
    """`text` has :l0, :l1 ... for literals and :p0, :p1 ... for parameters."""

    text: str
    literals: tuple[str, ...]
    parameters: int
    hint: str | None  # a key told in a comment: /* key=... */


def digest(sql: str) -> Digest | None:
    """None where the text is too long, has no end to a string or comment, or code hidden in a comment."""
    if len(sql) > MOST_TEXT:
        return None
    out: list[str] = []
    literals: list[str] = []
    parameters, hint, at = 0, None, 0
    while at < len(sql):
        token = TOKEN.match(sql, at)
        if token is None:
            return None
        at = token.end()
        kind = token.lastgroup
        if kind == "hidden":
            return None
        if kind == "comment":
            told = HINT.search(token[0])
            hint = told[1] if told else hint
            out.append(" ")
        elif kind in ("string", "number"):
            out.append(f" :l{len(literals)} ")
            literals.append(unquoted(token[0]) if kind == "string" else token[0])
        elif kind == "mark":
            out.append(f" :p{parameters} ")
            parameters += 1
        else:
            out.append(" " if kind == "space" else token[0])
    return Digest(" ".join("".join(out).split()), tuple(literals), parameters, hint)


def unquoted(token: str) -> str:
    quote, inner = token[0], token[1:-1]
    if "\\" not in inner and quote not in inner:
        return inner
    inner = inner.replace(quote * 2, quote)
    return re.sub(r"\\(.)", lambda m: ESCAPES.get(m[1], m[1]), inner, flags=re.DOTALL)
