"""A slow control feed is never followed again, so a drained engine keeps getting work."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import rig

RUN_TIMES = {"lookup": 0.15, "report": 1.5, "load": 2.0}  # seconds
SLOW_AT = 2.0
FEED_DELAY_SECONDS = 2.5  # PROTOCOL: all is told "7 s later at the latest"; this feed needs 2.5 s
DRAIN_AT = 5.0
END_AFTER_DRAIN_SECONDS = 14.0  # the drained engine's process ends
PLAY_AFTER_DRAIN_SECONDS = 16.0
TOLD_SECONDS = 7.0  # PROTOCOL: "counts as told 7 s later at the latest, whether it arrived or not"
DRAIN_GRACE_SECONDS = 0.5 + 0.05  # guarantees.drain_grace, and 50 ms on sockets
STEP_SECONDS = 0.1
REPORT_STEPS = 7
LOAD_STEPS = 5


async def traffic(client: rig.ClientStandIn) -> None:
    """Send lookups, reports and loads steadily; no two loads have the same key."""
    step = 0
    while True:
        step += 1
        client.send("lookup", allow_ms=5000, effort_ms=150)
        if step % REPORT_STEPS == 0:
            client.send("report", allow_ms=15000, effort_ms=1500)
        if step % LOAD_STEPS == 0:
            client.send("load", allow_ms=25000, effort_ms=2000, key=f"{step:016x}")
        await asyncio.sleep(STEP_SECONDS)


async def play(case: rig.Case) -> list[str]:
    """Play the case; return the breaks of the rule."""
    engines = [rig.EngineStandIn(number, case.record, RUN_TIMES) for number in (1, 2, 3, 4)]
    for engine in engines:
        await engine.start()
    feed = rig.FeedStandIn(engines, case.record)
    await feed.start()
    manager = rig.Manager("n0", rig.configuration("n0", feed), case)
    await manager.wait_until_ready()
    client = rig.ClientStandIn("client", case.record)
    await client.connect(manager.address)
    sender = asyncio.create_task(traffic(client))
    await asyncio.sleep(SLOW_AT)
    if case.trouble:
        feed.delay = FEED_DELAY_SECONDS
        case.record.write("feed", f"is slow from now on: all comes {FEED_DELAY_SECONDS} s late")
    await asyncio.sleep(DRAIN_AT - SLOW_AT)
    event = feed.change(engines[0], rig.STATE_DRAINING)
    await asyncio.sleep(END_AFTER_DRAIN_SECONDS)
    feed.change(engines[0], rig.STATE_GONE)
    engines[0].end()
    await asyncio.sleep(PLAY_AFTER_DRAIN_SECONDS - END_AFTER_DRAIN_SECONDS)
    sender.cancel()
    await client.close()
    last_allowed = feed.told_at[event] + TOLD_SECONDS + DRAIN_GRACE_SECONDS
    breaks = []
    for arrival in engines[0].arrivals:
        if arrival.at > last_allowed:
            answer = next(a for a in client.answers.values() if a.request_id == arrival.request_id)
            late = arrival.at - feed.told_at[event]
            breaks.append(
                f"drain: {arrival.lane} {arrival.request_id} reached {arrival.engine} {late:.2f} s after"
                f" the event of its drain; its client saw: {answer.word}"
            )
    if manager.has_ended:
        breaks.append("crash: n0 has ended")
    return breaks


if __name__ == "__main__":
    rig.run_case(__file__, play)
