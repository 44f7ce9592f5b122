"""Case 3: a client that writes its next request slowly loses the requests that it has open."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import rig

RUN_TIMES = {"lookup": 0.15, "report": 4.0, "load": 4.0}  # seconds
SLOW_CLIENTS = 5
BATCH_ROWS = 400  # of the slowly written load: 4 KB
PIECES = 25
SLOW_WRITE_SECONDS = 3.0  # for one request, whose client waits 25 s for the answer
PAUSE_SECONDS = 0.5  # between the requests
ANSWER_GRACE_SECONDS = 0.57  # "Up to half a second after its time", 20 ms of slack and 50 ms on sockets


async def write_slowly(client: rig.ClientStandIn, data: bytes) -> None:
    """Write a request in pieces."""
    size = -(-len(data) // PIECES)
    for start in range(0, len(data), size):
        if client.writer.is_closing():
            return
        client.writer.write(data[start : start + size])
        await asyncio.sleep(SLOW_WRITE_SECONDS / PIECES)


async def one_client(case: rig.Case, manager: rig.Manager, number: int) -> list[rig.Answer]:
    """Send a load and a report whole, then write a second load; return the requests that were sent whole."""
    client = rig.ClientStandIn(f"client {number}", case.record)
    await client.connect(manager.address)
    sent = [
        client.send("load", allow_ms=25000, effort_ms=4000, key=f"{2 * number + 1:016x}"),
        client.send("report", allow_ms=15000, effort_ms=4000),
    ]
    await asyncio.sleep(PAUSE_SECONDS)
    last, data = client.message(
        "load", allow_ms=25000, effort_ms=4000, key=f"{2 * number + 2:016x}", batch=BATCH_ROWS
    )
    case.record.write(client.name, f"begins to write load {last.request_id}, {len(data)} bytes")
    if case.trouble:
        await write_slowly(client, data)
    else:
        client.writer.write(data)
    if last.word == "none" or client.writer.is_closing():
        case.record.write(client.name, f"load {last.request_id} was not written whole: it does not count")
    else:
        last.sent_at = time.time()
        sent.append(last)
    for answer in sent:
        timeout = answer.sent_at + answer.allow_ms / 1000 + ANSWER_GRACE_SECONDS - time.time()
        try:
            await asyncio.wait_for(answer.done.wait(), timeout)
        except TimeoutError:
            case.record.write(client.name, f"{answer.lane} {answer.request_id}: no answer in time")
    await client.close()
    return sent


async def play(case: rig.Case) -> list[str]:
    """Play the case; return the breaks of the rule."""
    engines = [rig.EngineStandIn(number, case.record, RUN_TIMES) for number in (1, 2, 3)]
    for engine in engines:
        await engine.start()
    feed = rig.FeedStandIn(engines, case.record)
    await feed.start()
    manager = rig.Manager("n0", rig.configuration("n0", feed), case)
    await manager.wait_until_ready()
    clients = [one_client(case, manager, number) for number in range(SLOW_CLIENTS)]
    answers = [answer for answers in await asyncio.gather(*clients) for answer in answers]
    reached = {arrival.request_id for engine in engines for arrival in engine.arrivals}
    breaks = []
    for answer in answers:
        if answer.word in ("none", "open", "second"):
            where = "an engine had it" if answer.request_id in reached else "no engine had it"
            breaks.append(f"lost: {answer.lane} {answer.request_id} got no answer ({where})")
    if manager.has_ended:
        breaks.append("crash: n0 has ended")
    return breaks


if __name__ == "__main__":
    rig.run_case(__file__, play)
