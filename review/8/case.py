"""A submission that was answered with OK is undone: it ran in a transaction that another client had left."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

from review.common2.front import Group
from review.common2.platform import TROUBLE, Record, main

SERVERS, CENTRES = 8, 6
FAILING, SHARE = (3.0, 15.0), 0.6  # for twelve seconds, one of eight servers fails so many of its writes
END, REST = 18.0, 0.15  # seconds


async def case(record: Record, folder: Path) -> list[str]:
    """Two kinds of clients write submissions: with a transaction in one text, and with one statement."""
    group = Group(record, folder, SERVERS)
    loop = asyncio.get_running_loop()
    acknowledged: list[str] = []
    draw = random.Random(1)
    try:
        await group.start()
        began = loop.time()

        def fails(statement: str) -> bool:
            late = FAILING[0] <= loop.time() - began < FAILING[1]
            return late and statement.startswith("INSERT") and draw.random() < SHARE

        if TROUBLE:
            group.servers[0].fails = fails

        async def centre(name: str, text: str) -> None:
            number = 0
            while loop.time() - began < END:
                number += 1
                candidate = f"{name}-{number}"
                client = await group.client("register")
                reply = await client.query(text.format(candidate=candidate))
                if not reply.code:
                    acknowledged.append(candidate)
                client.close()  # a server undoes what a connection leaves uncommitted
                await asyncio.sleep(REST)

        insert = "INSERT INTO answers (candidate, answer) VALUES ('{candidate}', 'b')"
        texts = [f"BEGIN; {insert}; COMMIT", insert]
        await asyncio.gather(
            *(centre(f"{'tw'[kind]}{n}", texts[kind]) for kind in range(2) for n in range(CENTRES))
        )
        await asyncio.sleep(1.0)
        group.running()
    finally:
        await group.end()
    kept = [row["candidate"] for row in group.tables.committed("register", "answers")]
    lost = [name for name in acknowledged if name not in kept]
    record.add("case", f"{len(acknowledged)} submissions answered with OK, {len(kept)} rows in the register")
    twice = sorted({name for name in kept if kept.count(name) > 1})
    breaks = [f"{name} was answered with OK and is not in the register" for name in lost]
    return breaks + [f"{name} is in the register twice" for name in twice]


if __name__ == "__main__":
    sys.exit(main(__file__, case))
