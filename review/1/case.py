"""A few bad clients drive a workload manager over its memory limit."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import rig

RUN_TIMES = {"lookup": 0.15, "report": 4.0, "load": 3.0}  # seconds
PLAY_SECONDS = 12.0
BAD_CLIENTS_AT = 4.0
BAD_CLIENT_COUNT = 30  # LATER: "others connect by hundreds"
MESSAGE_BYTES = 255 * 1024  # LATER names bodies of 60 MB
LOOKUP_INTERVAL_SECONDS = 0.1
LONG_EVERY_LOOKUPS = 10  # each tenth step also sends a report and a load
ANSWER_GRACE_SECONDS = 0.57  # "Up to half a second after its time", 20 ms of slack and 50 ms on sockets


def message_without_end() -> bytes:
    """Return the beginning of a message that never ends: lists of lists of lists of empty maps."""
    head = b"\xdc\x00\x40"  # a list of 64 items
    inner = head + b"\x80" * 64
    outer = head + (head + inner * 64) * 64
    return outer[:MESSAGE_BYTES]


async def bad_client(number: int, manager: rig.Manager) -> None:
    """Connect, send the message without end at full speed, and read what comes."""
    try:
        reader, writer = await asyncio.open_connection(*manager.address)
        writer.write(message_without_end())
        await writer.drain()
        manager.record.write(f"bad {number}", f"has sent {MESSAGE_BYTES} bytes of a message without end")
        await reader.read()
        manager.record.write(f"bad {number}", "is closed")
        writer.transport.abort()
    except OSError as error:
        manager.record.write(f"bad {number}", type(error).__name__)


async def watch_memory(manager: rig.Manager) -> float:
    """Kill the workload manager once it is over its memory limit, as the platform does; return its peak."""
    peak = 0.0
    while not manager.has_ended:
        held = manager.memory_held_mb()
        if held > peak + 1:
            manager.record.write("platform", f"{manager.name} holds {held:.0f} MB")
        peak = max(peak, held)
        if held > manager.memory_mb:
            manager.record.write("platform", f"over {manager.memory_mb} MB: {manager.name} is killed")
            manager.kill()
        await asyncio.sleep(rig.RSS_POLL_SECONDS)
    return peak


async def usual_traffic(client: rig.ClientStandIn, until: float) -> None:
    """Send lookups steadily, and now and then a report and a load."""
    step = 0
    while time.time() < until and not client.writer.is_closing():
        client.send("lookup", allow_ms=5000, effort_ms=150)
        if step % LONG_EVERY_LOOKUPS == 0:
            client.send("report", allow_ms=15000, effort_ms=4000)
            client.send("load", allow_ms=25000, effort_ms=3000, key=f"{step + 1:016x}")
        step += 1
        await asyncio.sleep(LOOKUP_INTERVAL_SECONDS)


async def play(case: rig.Case) -> list[str]:
    """Play the case; return the breaks of the rule."""
    engines = [rig.EngineStandIn(number, case.record, RUN_TIMES) for number in (1, 2, 3)]
    for engine in engines:
        await engine.start()
    feed = rig.FeedStandIn(engines, case.record)
    await feed.start()
    manager = rig.Manager("n0", rig.configuration("n0", feed), case)
    await manager.wait_until_ready()
    memory = asyncio.create_task(watch_memory(manager))
    client = rig.ClientStandIn("client", case.record)
    await client.connect(manager.address)
    started_at = time.time()
    traffic = asyncio.create_task(usual_traffic(client, started_at + PLAY_SECONDS))
    await asyncio.sleep(BAD_CLIENTS_AT)
    bad_clients = []
    if case.trouble:
        bad_clients = [asyncio.create_task(bad_client(n, manager)) for n in range(BAD_CLIENT_COUNT)]
    await traffic
    deadline = max(answer.sent_at + answer.allow_ms / 1000 for answer in client.answers.values())
    while time.time() < deadline + ANSWER_GRACE_SECONDS:
        if all(answer.done.is_set() for answer in client.answers.values()):
            break
        await asyncio.sleep(rig.POLL_SECONDS)
    crashed = manager.has_ended
    manager.kill()
    peak = await memory
    for task in bad_clients:
        task.cancel()
    case.record.write("platform", f"peak of {manager.name}: {peak:.1f} MB of {manager.memory_mb} MB")
    breaks = []
    if crashed:
        breaks.append(f"crash: {manager.name} held {peak:.1f} MB, its limit is {manager.memory_mb} MB")
    lost = [answer for answer in client.answers.values() if answer.word in ("none", "open", "second")]
    if lost:
        lanes = ", ".join(f"{lane} {sum(a.lane == lane for a in lost)}" for lane in RUN_TIMES)
        breaks.append(f"lost: {len(lost)} requests of the usual client got no answer ({lanes})")
    return breaks


if __name__ == "__main__":
    rig.run_case(__file__, play)
