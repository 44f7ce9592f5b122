"""Loads with a key get no answer while bad clients keep the event loop busy."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import rig  # noqa: E402

ENGINES = 4
RUN_SECONDS = 0.2
BAD_CLIENTS = 60
BAD_ROUNDS = 18  # of 300 requests each
BAD_SECONDS = 20.0
SENDING_SECONDS = 8.0
INTERVAL_SECONDS = 0.4
LOAD = 2  # its position in the list of classes
DEADLINE_SECONDS = 4
ALLOW_SECONDS = 3.2  # 80% of the deadline
LOST_AFTER_SECONDS = ALLOW_SECONDS + 0.5 + 0.05
SETTLE_SECONDS = 20.0


def judge(record: rig.Record, calls: list[rig.Call]) -> int:
    """Record all calls; return how many were lost."""
    lost = 0
    for call in calls:
        waited = (call.answered_at or time.time()) - call.sent_at
        is_lost = waited > LOST_AFTER_SECONDS or call.answer in ("", "lost")
        lost += is_lost
        verdict = ", which is LOST" if is_lost else ""
        record.add(
            f"{call.class_name} {call.request_id}: {call.answer or 'no answer'} after {waited:.2f} s{verdict}"
        )
    return lost


async def play(record: rig.Record, manager: rig.Manager) -> int:
    """Send loads and lookups of a usual client beside the bad ones; return the exit code."""
    client = await rig.Client(record).connect(manager.port)
    first = client.send("load", ALLOW_SECONDS, key="a0", effort="200", space="10")
    await asyncio.wait_for(first.done.wait(), ALLOW_SECONDS)
    record.add(f"before the bad clients: {first.answer}")
    bad = None
    if rig.has_trouble():
        bad = await rig.BadClients.start("bad_clients.py", manager.port, BAD_CLIENTS, BAD_ROUNDS, BAD_SECONDS)
    try:
        record.add(f"{BAD_CLIENTS if bad else 0} bad clients begin to send")
        loads = []
        lookups = []
        end = time.time() + SENDING_SECONDS
        while time.time() < end:
            key = f"{0xB0 + len(loads):x}"  # each load has a key of its own
            loads.append(client.send("load", ALLOW_SECONDS, key=key, effort="200", space="10"))
            lookups.append(client.send("lookup", ALLOW_SECONDS, effort="200", space="10"))
            await asyncio.sleep(INTERVAL_SECONDS)
        waits = [asyncio.create_task(call.done.wait()) for call in loads + lookups]
        await asyncio.wait(waits, timeout=SETTLE_SECONDS)
    finally:
        if bad is not None:
            await bad.stop()
    lost_lookups = judge(record, lookups)
    lost_loads = judge(record, loads)
    limit = f"with {ALLOW_SECONDS:g} s: no answer in {LOST_AFTER_SECONDS:g} s"
    record.add(f"beside them, {lost_lookups} of {len(lookups)} lookups {limit}")
    record.add(f"{lost_loads} of {len(loads)} loads {limit}")
    return rig.BROKEN if lost_loads else rig.HELD


async def case(record: rig.Record) -> int:
    """Start engines, feed and program, and play the case."""
    engines = [rig.Engine(number + 1, record, lambda _: RUN_SECONDS) for number in range(ENGINES)]
    for engine in engines:
        await engine.start()
    feed = rig.Feed(engines, record)
    address, _ = await feed.listen()
    settings = rig.settings()
    settings["classes"][LOAD] |= {"deadline": DEADLINE_SECONDS * rig.SECOND, "aim": rig.SECOND}
    manager = rig.Manager(record, "n1", {"feed": address, "known": feed.known, "settings": settings})
    try:
        await manager.start()
        return await play(record, manager)
    finally:
        await manager.stop()


if __name__ == "__main__":
    rig.main(FOLDER, case)
