"""The wallet registers that members share, and wallet rows as stored on disk. No I/O.

All are MessagePack arrays, encoded by msgspec. The version comes first; fields are only ever added at the
end, and unknown fields are ignored.
"""

from __future__ import annotations

import hashlib

import msgspec

from ..errors import Trouble

VERSION = 1
MAX_NAME_LENGTH = 40  # characters of a wallet's name, and of a member's name within a register's name
MAX_RATE = 1e12  # units a second; also the limit on the seconds of a pause
MAX_ENTRIES = 8  # transfers between two members in one register, the latest


class UnreadableWord(Trouble):
    """A wallet register or row can't be decoded by this release."""

    remedy = "run this release, or the one before or after it, on all members"


ReceivedTotal = tuple[str, int, int]  # the sender, its account, all units ever received from it


class Word(msgspec.Struct, array_like=True, frozen=True):
    """A member's report of its own account in a wallet, in the register `wallet/NAME`."""

    version: int
    account: int  # the number of its account
    row: int  # the number of its last row on disk
    held: int  # units that it may still spend, including those written ahead
    rate: float  # units a second that its clients request
    topped: int = 0  # at the home: units of all top-ups
    ask: int = 0  # the number of its last ask, 0 if it has never asked
    want: int = 0  # units that it asks for, 0 if none
    of: str = ""  # the member that is to answer the ask
    paused: float = 0.0  # seconds since it paused, 0 if it is not paused
    unsure: bool = False  # whether it asks if another member knows a later row of its account
    life: int = 0  # its incarnation
    home: str = ""  # the home that its file names
    books: str = ""  # the books that its file names
    mark: int = -1  # if unsure: the last batch in its folder; -1 from releases without batch numbers
    resting: bool = False  # whether its use has ended; it deletes its registers once the others have answered
    took: list[ReceivedTotal] = []  # while resting: what its account has received, as on disk


class Pair(msgspec.Struct, array_like=True, frozen=True):
    """What a member addresses to one other, in the register `wallet/NAME/t/MEMBER`."""

    version: int
    entries: list[tuple[int, int, int]]  # sender's account, recipient's account, units ever transferred
    ask: int = 0  # the number of the recipient's last ask that was answered
    off: int = 0  # from the home: the recipient's accounts up to this one are written off
    # The recipient's unsure incarnation, its account, and the highest row of it that the sender knows.
    seen: tuple[int, int, int] = (0, 0, 0)
    # The last batch in the recipient's folder that the sender knows; -1 from releases without such numbers.
    mark: int = -1
    # Recipient's account, sender's account, units received from it, as on the sender's disk.
    took: list[tuple[int, int, int]] = []


class Mark(msgspec.Struct, array_like=True, frozen=True):
    """What a member publishes in `swept/wallet` in place of the registers that it has deleted."""

    version: int
    number: int  # of the last batch in its folder; a folder with a lower one was restored from an older copy
    homes: list[int] = []  # `home_claim` of the wallets that have their home there and no register


class Kept(msgspec.Struct, array_like=True):
    """A wallet's row as stored on disk; `decisions/wallet/account.py` describes the counts."""

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
    boot: int = 0  # identifies the machine's boot and the volume in which the row was known to be the newest
    home: str = ""  # the home that the file named when the row was written
    books: str = ""  # the books that the file named then
    rests: bool = False  # whether the account is empty and others know its state


WORD_DECODER, PAIR_DECODER = msgspec.msgpack.Decoder(Word), msgspec.msgpack.Decoder(Pair)
KEPT_DECODER, MARK_DECODER = msgspec.msgpack.Decoder(Kept), msgspec.msgpack.Decoder(Mark)
encode = msgspec.msgpack.Encoder().encode


def decode_word(value: bytes) -> Word:
    """Decodes a member's report.

    Raises:
        UnreadableWord: The report can't be decoded, or its rate or pause is negative, too large or not a
            number; shares could not be calculated with it.
    """
    try:
        report = WORD_DECODER.decode(value)
    except msgspec.MsgspecError as fault:
        raise UnreadableWord(f"wallet report of a member: {fault}") from None
    if not (0.0 <= report.rate < MAX_RATE and 0.0 <= report.paused < MAX_RATE):
        raise UnreadableWord(
            f"wallet report of a member: expected a rate and a pause from 0 to {MAX_RATE:g}, "
            f"got {report.rate} units a second, paused for {report.paused} s"
        )
    return report


def decode_pair(value: bytes) -> Pair:
    """Decodes what a member addresses to another one.

    Raises:
        UnreadableWord: The value can't be decoded.
    """
    try:
        return PAIR_DECODER.decode(value)
    except msgspec.MsgspecError as fault:
        raise UnreadableWord(f"wallet register addressed to one member: {fault}") from None


def decode_mark(note: bytes) -> Mark:
    """Decodes the note that a member publishes with its sweep.

    Raises:
        UnreadableWord: The note can't be decoded.
    """
    try:
        return MARK_DECODER.decode(note)
    except msgspec.MsgspecError as fault:
        raise UnreadableWord(f"note of a member's sweep of wallet registers: {fault}") from None


def decode_kept(value: bytes) -> Kept:
    """Decodes a row as stored on disk.

    Raises:
        UnreadableWord: The row can't be decoded.
    """
    try:
        return KEPT_DECODER.decode(value)
    except msgspec.MsgspecError as fault:
        raise UnreadableWord(
            f"stored row of a wallet: {fault}", "run the release that wrote it, or a later one"
        ) from None


def short(member: str) -> str:
    """Returns a member's name for use in a register's name; a long name is cut and gets a hash."""
    if len(member) <= MAX_NAME_LENGTH:
        return member
    return member[:20] + "~" + hashlib.blake2b(member.encode(), digest_size=8).hexdigest()


def home_claim(wallet: str, books: str) -> int:
    """Returns a hash of a wallet's name and books, 32 bits, by which a home claims both."""
    return int.from_bytes(hashlib.blake2b(f"{wallet}\0{books}".encode(), digest_size=4).digest(), "big")


def word_cell(wallet: str) -> str:
    """Returns the name of the register that holds a member's report."""
    return f"wallet/{wallet}"


def pair_cell(wallet: str, member: str) -> str:
    """Returns the name of the register that holds what is addressed to this member."""
    return f"wallet/{wallet}/t/{short(member)}"
