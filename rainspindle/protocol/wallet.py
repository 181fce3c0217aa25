"""What members tell each other of wallets, in shared cells, and rows as they are kept. No I/O.

MessagePack arrays by msgspec: a version first, fields are only ever added at the end, unknown ones ignored.
"""

from __future__ import annotations

import hashlib

import msgspec

from ..errors import Trouble

VERSION = 1
MOST_NAME = 40  # characters of a wallet's name, and of a member's in the name of a cell
MOST_RATE = 1e12  # units a second, and seconds of a pause
MOST_ENTRIES = 8  # accounts of one pair of members that a cell tells of, the latest


class UnreadableWord(Trouble):
    """What another member tells is none that this release reads."""

    remedy = "see that all members run a release that is beside this one"


Took = tuple[str, int, int]  # the giver, its account, all that was got of it


class Word(msgspec.Struct, array_like=True, frozen=True):
    """`wallet/NAME`: what a member says of itself."""

    version: int
    account: int  # the number of its account
    row: int  # the number of its last row that is on disk
    held: int  # what it may still spend, written ahead or not
    rate: float  # units a second that its clients ask for
    topped: int = 0  # at the home: all that ever came in
    ask: int = 0  # the number of its last ask; 0 for none
    want: int = 0  # units
    of: str = ""  # the member that is to answer
    paused: float = 0.0  # seconds, 0 where it is not
    unsure: bool = False  # it asks whether anybody knows a later row of its account
    life: int = 0
    home: str = ""  # by its file
    books: str = ""
    mark: int = -1  # of the unsure: the last batch that its folder has; -1 by a release that knows of none
    resting: bool = False  # its use has ended: it waits for those it dealt with, and its cells go then
    took: list[Took] = []  # while it rests: what its account got, as it is on disk


class Pair(msgspec.Struct, array_like=True, frozen=True):
    """`wallet/NAME/t/MEMBER`: what a member says to one other."""

    version: int
    entries: list[tuple[int, int, int]]  # own account, its account, all ever given from one to the other
    ask: int = 0  # the number of its last ask that was answered
    off: int = 0  # the home's word: accounts of it up to this one are written off
    seen: tuple[int, int, int] = (0, 0, 0)  # its life that asked, its account, the highest row heard of it
    mark: int = -1  # the last batch of its folder that was heard of; -1 by a release that knows of none
    took: list[tuple[int, int, int]] = []  # its account, own account, all got from it, as it is on disk


class Mark(msgspec.Struct, array_like=True, frozen=True):
    """With `swept/wallet`: what stays of the words that a member has taken away."""

    version: int
    number: int  # of the last batch of its folder: one that has not come so far was set back
    homes: list[int] = []  # claims of the wallets whose home it is by its file, and of which it tells no word


class Kept(msgspec.Struct, array_like=True):
    """A row as it is kept."""

    version: int
    account: int
    row: int
    spent: int
    back: int
    topped: int
    given: list[tuple[str, int, int]]
    got: list[tuple[str, int, int]]
    off: list[tuple[str, int]] = []
    barred: str = ""
    boot: int = 0  # tells the start of the machine, and the volume, in which it was known to be the last
    home: str = ""  # by the file of then
    books: str = ""
    rests: bool = False  # nothing is left in it, and others were told all


word_of, pair_of = msgspec.msgpack.Decoder(Word), msgspec.msgpack.Decoder(Pair)
kept_of, mark_of = msgspec.msgpack.Decoder(Kept), msgspec.msgpack.Decoder(Mark)
encode = msgspec.msgpack.Encoder().encode


def decode_word(value: bytes) -> Word:
    """Raises UnreadableWord. Guards against figures that none are, by which nothing can be reckoned."""
    try:
        word = word_of.decode(value)
    except msgspec.MsgspecError as fault:
        raise UnreadableWord(f"a member's word of a wallet: {fault}") from None
    if not (0.0 <= word.rate < MOST_RATE and 0.0 <= word.paused < MOST_RATE):
        raise UnreadableWord(f"a member's word of a wallet: {word.rate} units a second, paused {word.paused}")
    return word


def decode_pair(value: bytes) -> Pair:
    """Raises UnreadableWord."""
    try:
        return pair_of.decode(value)
    except msgspec.MsgspecError as fault:
        raise UnreadableWord(f"a member's word to another of a wallet: {fault}") from None


def decode_mark(note: bytes) -> Mark:
    """Raises UnreadableWord."""
    try:
        return mark_of.decode(note)
    except msgspec.MsgspecError as fault:
        raise UnreadableWord(f"what a member has swept of its wallets: {fault}") from None


def decode_kept(value: bytes) -> Kept:
    """Raises UnreadableWord."""
    try:
        return kept_of.decode(value)
    except msgspec.MsgspecError as fault:
        raise UnreadableWord(
            f"a row of a wallet: {fault}", "run the release that wrote it, or a later one"
        ) from None


def short(member: str) -> str:
    """A member's name within the name of a cell."""
    if len(member) <= MOST_NAME:
        return member
    return member[:20] + "~" + hashlib.blake2b(member.encode(), digest_size=8).hexdigest()


def claim(wallet: str, books: str) -> int:
    """32 bits that stand for a wallet and its books."""
    return int.from_bytes(hashlib.blake2b(f"{wallet}\0{books}".encode(), digest_size=4).digest(), "big")


def word_cell(wallet: str) -> str:
    return f"wallet/{wallet}"


def pair_cell(wallet: str, member: str) -> str:
    return f"wallet/{wallet}/t/{short(member)}"
