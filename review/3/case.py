"""The second process of an upgrade ends at its start where instances exchange load reports."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import rig

RUN_TIMES = {"lookup": 0.15, "report": 2.0, "load": 1.5}  # seconds
FLEET_SIZE = 2
PROBE_PRICE = 0.02  # graz-main has 0.011; FLEET: "probes ... cost more on these days, as the settings tell"
UPGRADE_AT = 3.0
READY_SECONDS = 6.0  # DAYS: "The new process gets 6 s to say yes"
KILL_AFTER_SECONDS = 5.7  # DAYS: SIGKILL after "the longest deadline (5 s at most) and 0.7 s"
AFTER_SECONDS = 3.0  # how long clients go on after the old process has ended
LOOKUP_INTERVAL_SECONDS = 0.2
HTTP_OK = 200


async def traffic(case: rig.Case, address: tuple[str, int], stop: asyncio.Event) -> list[rig.Answer]:
    """Send one lookup after the other, each on a new connection; return all answers."""
    answers = []
    while not stop.is_set():
        client = rig.ClientStandIn("client", case.record)
        try:
            await client.connect(address)
            answer = client.send("lookup", allow_ms=5000, effort_ms=150)
            answers.append(answer)
            await answer.done.wait()
        except OSError as error:
            case.record.write("client", f"no connection: {type(error).__name__}")
        await client.close()
        await asyncio.sleep(LOOKUP_INTERVAL_SECONDS)
    return answers


async def upgrade(case: rig.Case, old: rig.Manager, config: dict) -> list[str]:
    """Start `run` a second time, wait for its yes, and end the old process; return the breaks."""
    control = f"{rig.LOOPBACK}:{rig.free_port()}"
    new = rig.Manager("n0-new", config, case, control)
    started_at = time.time()
    is_ready = False
    while time.time() < started_at + READY_SECONDS and not is_ready and not new.has_ended:
        is_ready = await rig.http_call("GET", control, "/ready") == HTTP_OK
        await asyncio.sleep(rig.POLL_SECONDS)
    case.record.write("platform", f"{new.name} says yes: {is_ready}, has ended: {new.has_ended}")
    breaks = []
    if new.has_ended:
        last_line = (new.log_lines() or ["no log"])[-1]
        breaks.append(f"crash: {new.name} ended with code {new.process.returncode}: {last_line}")
    elif not is_ready:
        breaks.append(f"crash: {new.name} is not ready after {READY_SECONDS} s")
    await asyncio.sleep(max(0.0, started_at + READY_SECONDS - time.time()))
    case.record.write("platform", f"SIGTERM to {old.name}")
    old.process.send_signal(signal.SIGTERM)
    deadline = time.time() + KILL_AFTER_SECONDS
    while time.time() < deadline and not old.has_ended:
        await asyncio.sleep(rig.POLL_SECONDS)
    old.kill()
    await asyncio.sleep(AFTER_SECONDS)
    if new.has_ended and not breaks:
        breaks.append(f"crash: {new.name} ended with code {new.process.returncode}")
    return breaks


async def play(case: rig.Case) -> list[str]:
    """Play the case; return the breaks of the rule."""
    engines = [rig.EngineStandIn(number, case.record, RUN_TIMES) for number in (1, 2, 3)]
    for engine in engines:
        await engine.start()
    feed = rig.FeedStandIn(engines, case.record)
    await feed.start()
    peers = [f"{rig.LOOPBACK}:{rig.free_port(socket.SOCK_DGRAM)}" for _ in range(FLEET_SIZE)]
    # The platform's address of all peers; datagrams to it come "late or never", here never.
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as to_all:
        to_all.bind((rig.LOOPBACK, 0))
        configs = []
        for number, peer in enumerate(peers):
            settings = rig.settings(FLEET_SIZE, number)
            settings["prices"]["probe"] = PROBE_PRICE
            changes = {
                "settings": settings,
                "peer_listen": peer,
                "peers": peers,
                "peers_all": f"{rig.LOOPBACK}:{to_all.getsockname()[1]}",
                "control": f"{rig.LOOPBACK}:{rig.free_port()}",
            }
            configs.append(rig.configuration(f"n{number}", feed, **changes))
        managers = [rig.Manager(config["name"], config, case) for config in configs]
        for manager in managers:
            await manager.wait_until_ready()
        stop = asyncio.Event()
        tasks = [asyncio.create_task(traffic(case, manager.address, stop)) for manager in managers]
        await asyncio.sleep(UPGRADE_AT)
        breaks = []
        if case.trouble:
            breaks = await upgrade(case, managers[0], configs[0])
        else:
            await asyncio.sleep(READY_SECONDS + AFTER_SECONDS)
        stop.set()
        answers = [answer for task in tasks for answer in await task]
        words = {word: sum(a.word == word for a in answers) for word in sorted({a.word for a in answers})}
        case.record.write("clients", f"answers: {words}")
        expected_to_run = managers[1:] if case.trouble else managers
        breaks += [f"crash: {manager.name} has ended" for manager in expected_to_run if manager.has_ended]
    return breaks


if __name__ == "__main__":
    rig.run_case(__file__, play)
