"""Requests on new connections get no answer after bad clients that sent much at once and went."""

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
BAD_CLIENTS = 400  # one after the other; fewer than the listener's backlog of 512 even if none is accepted
SENDING_SECONDS = 8.0
INTERVAL_SECONDS = 0.25
ALLOW_SECONDS = 4.0  # 80% of the class's deadline of 5 s
LOST_AFTER_SECONDS = ALLOW_SECONDS + 0.5 + 0.05
SETTLE_SECONDS = 6.0


async def ask(record: rig.Record, port: int, calls: list[rig.Call], clients: list[rig.Client]) -> None:
    """Connect, and send one request; the client keeps its connection."""
    clients.append(await rig.Client(record).connect(port))
    calls.append(clients[-1].send("lookup", ALLOW_SECONDS, effort="200", space="10"))


def judge(record: rig.Record, kind: str, calls: list[rig.Call]) -> int:
    """Record the requests; return how many of them were lost."""
    lost = 0
    for call in calls:
        waited = (call.answered_at or time.time()) - call.sent_at
        is_lost = waited > LOST_AFTER_SECONDS or call.answer in ("", "lost")
        lost += is_lost
        verdict = ", which is LOST" if is_lost else ""
        record.add(f"{kind} {call.request_id}: {call.answer or 'no answer'} after {waited:.2f} s{verdict}")
    return lost


async def play(record: rig.Record, manager: rig.Manager) -> int:
    """Let usual clients come beside the bad ones; return the exit code."""
    kept = await rig.Client(record).connect(manager.port)
    first = kept.send("lookup", ALLOW_SECONDS, effort="200", space="10")
    await asyncio.wait_for(first.done.wait(), ALLOW_SECONDS)
    bad = None
    if rig.has_trouble():
        bad = await rig.BadClients.start("passing_clients.py", manager.port, BAD_CLIENTS)
    clients: list[rig.Client] = []
    try:
        record.add(f"{BAD_CLIENTS if bad else 0} bad clients begin to come and go")
        on_new: list[rig.Call] = []
        on_kept: list[rig.Call] = []
        asking = set()
        end = time.time() + SENDING_SECONDS
        while time.time() < end:
            asking.add(asyncio.create_task(ask(record, manager.port, on_new, clients)))
            on_kept.append(kept.send("lookup", ALLOW_SECONDS, effort="200", space="10"))
            await asyncio.sleep(INTERVAL_SECONDS)
        await asyncio.sleep(SETTLE_SECONDS)
    finally:
        if bad is not None:
            await bad.stop()
        for client in clients:
            client.close()
    lost_on_kept = judge(record, "kept connection", on_kept)
    lost = judge(record, "new connection", on_new)
    limit = f"with {ALLOW_SECONDS:g} s: no answer in {LOST_AFTER_SECONDS:g} s"
    record.add(f"{lost_on_kept} of {len(on_kept)} requests on a kept connection {limit}")
    record.add(f"{lost} of {len(on_new)} requests on new connections {limit}")
    return rig.BROKEN if lost else rig.HELD


async def case(record: rig.Record) -> int:
    """Start engines, feed and program, and play the case."""
    engines = [rig.Engine(number + 1, record, lambda _: RUN_SECONDS) for number in range(ENGINES)]
    for engine in engines:
        await engine.start()
    feed = rig.Feed(engines, record)
    address, _ = await feed.listen()
    manager = rig.Manager(record, "n1", {"feed": address, "known": feed.known, "settings": rig.settings()})
    try:
        await manager.start()
        return await play(record, manager)
    finally:
        await manager.stop()


if __name__ == "__main__":
    rig.main(FOLDER, case)
