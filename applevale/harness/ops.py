"""A rig of daily operation: the real program through a ban by hand, a drain and an upgrade in place.

The script, from a seed: clients with kept connections that open them anew; an engine taken out by hand; a
drain and its end; a second process on the same address with the ban crossing through $TMPDIR; another engine
taken out at its door while both run; the first told to go; the engines let back in. The promises checked:
nothing new to a banned engine after 0.5 s, from either process, and work again within 5 s of the enable;
`/ready` no in the drain and yes within 2 s of its end; the second ready within 6 s; the figures true to the
page's tolerance against the clients' own count; no request held without an answer, none answered twice, no
load run twice; no key out of order among what one process took (across the two none is promised while both
run); at most two requests cut by a closed connection in the upgrade, none of them after it reached an engine;
every request that a process took answered by it.
"""

from __future__ import annotations

import asyncio
import json
import socket
import tempfile
from random import Random

from ..fakes.clients import Clients
from ..fakes.engine import StandinEngine
from .managed_process import ManagedProcess
from .request_rules import count_violations

ENGINES = 3
RATE = 60.0  # requests a second
GRACE = 0.5  # s after a ban's yes from which nothing new may reach the engine
READY_IN = 6.0  # s for a new process to say yes
UNDRAINED_IN = 2.0  # s after /undrain
BACK_IN = 5.0  # s after an enable within which an engine that was in use gets work again
CUT_MOST = 2  # requests that may meet a closed connection in an upgrade


def free_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


async def call(address: str, method: str, path: str, body: dict | None = None) -> tuple[int, dict]:
    """One call of the door; (0, {}) where it could not be made."""
    host, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    try:
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = f"{method} {path} HTTP/1.1\r\nhost: rig\r\ncontent-length: {len(data)}\r\n\r\n"
            writer.write(head.encode() + data)
            answer = await reader.read()
            writer.close()
    except (OSError, TimeoutError):
        return 0, {}
    head, _, rest = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(rest or b"{}")


def known(engines: list[StandinEngine]) -> dict:
    instances = [
        {
            "instanceId": f"s-{at + 1:08x}",
            "hostPort": "{}:{}".format(*engine.address),
            "zone": "east",
            "machineType": "std",
            "cell": 0,
            "lifecycle": "in_service",
            "weight": 1,
            "startedAtMs": 0,
        }
        for at, engine in enumerate(engines)
    ]
    return {"n": 1, "events": [{"n": 1, "members": {"generation": 1, "reset": True, "instances": instances}}]}


async def until_ready(door: str, within: float) -> bool:
    loop = asyncio.get_running_loop()
    end = loop.time() + within
    while loop.time() < end:
        if (await call(door, "GET", "/ready"))[0] == 200:
            return True
        await asyncio.sleep(0.05)
    return False


def unanswered_none(counters: dict) -> bool:
    """Whether the program answered every request that it took, by its own counts: a request that crossed the
    close of an idle connection was never taken, and its client sends it again elsewhere."""
    taken = sum(count for name, count in counters.items() if name.startswith("taken_"))
    answered = sum(count for name, count in counters.items() if name.startswith("answered_"))
    return taken == answered and not counters.get("clients_gone")


async def run(seed: int, seconds: float) -> dict:
    random = Random(seed)
    loop = asyncio.get_running_loop()
    step = max(seconds / 6, 1.0)
    engines = [StandinEngine(Random(random.random())) for _ in range(ENGINES)]
    for engine in engines:
        await engine.start()
    shared = tempfile.TemporaryDirectory(prefix="applevale-ops-")
    env = {"TMPDIR": shared.name}
    listen, doors = free_address(), (free_address(), free_address())
    first = ManagedProcess({"known": known(engines), "listen": listen, "control": doors[0]}, "ops-1")
    second = ManagedProcess({"known": known(engines), "listen": listen, "control": doors[1]}, "ops-2")
    found: dict = {}
    banned, late = engines[1], engines[2]
    try:
        await first.start(env=env)
        found["first_ready"] = await until_ready(doors[0], READY_IN)
        clients = Clients(first.address, Random(random.random()), RATE, again=True)
        await clients.start()
        load = asyncio.create_task(clients.run(loop.time() + 3600))  # until it is cancelled
        await asyncio.sleep(step)
        status, _ = await call(doors[0], "POST", "/engines/disable", {"host": "s-00000002"})
        found["ban_yes"], banned_at = status == 200, banned.clock() + GRACE
        unknown = await call(doors[0], "POST", "/engines/disable", {"host": "s-0000ffff"})
        found["unknown_refused"] = unknown[0]
        await asyncio.sleep(step)
        await call(doors[0], "POST", "/drain")
        found["ready_in_drain"] = (await call(doors[0], "GET", "/ready"))[0]
        await asyncio.sleep(step)
        await call(doors[0], "POST", "/undrain")
        found["undrained"] = await until_ready(doors[0], UNDRAINED_IN)
        await asyncio.sleep(step / 2)
        figures = (await call(doors[0], "GET", "/metrics"))[1]
        served = sum(1 for sent in clients.sent if sent.answers == ["served"] and sent.method == "lookup")
        told = figures.get("replies", {}).get("lookup", {}).get("success", -1)
        found["figures_served"], found["clients_served"] = told, served
        both_from = loop.time()
        await second.start(env=env)
        found["second_ready"] = await until_ready(doors[1], READY_IN)
        # An engine taken out at the new door while both run: the old one must let it be, too.
        status, _ = await call(doors[1], "POST", "/engines/disable", {"host": "s-00000003"})
        found["late_ban_yes"], late_from = status == 200, late.clock() + GRACE
        cut_before = sum(sent.cut for sent in clients.sent)
        first_counters = await first.stop()
        both_until = loop.time()
        found["first_exit"] = first.process.returncode
        await asyncio.sleep(step)
        found["cut_in_upgrade"] = sum(sent.cut for sent in clients.sent) - cut_before
        found["ban_crossed"] = (await call(doors[1], "POST", "/engines/enable", {"host": "s-00000002"}))[0]
        await call(doors[1], "POST", "/engines/enable", {"host": "s-00000003"})
        enabled_at = banned.clock()
        await asyncio.sleep(BACK_IN)
        load.cancel()
        await clients.settle()
        found["to_banned"] = sum(banned_at < one.at < enabled_at for one in banned.arrivals)
        found["to_late_banned"] = sum(late_from < one.at < enabled_at for one in late.arrivals)
        found["after_enable"] = sum(one.at > enabled_at for one in banned.arrivals)
        ran = {one.ref.decode() for engine in engines for one in engine.arrivals}
        found["cut_after_run"] = sum(sent.cut and sent.ref in ran for sent in clients.sent)
        rules = count_violations(clients, engines, (both_from, both_until))
        answers = clients.figures()
        await clients.stop()
        second_counters = await second.stop()
    finally:
        for program in (first, second):  # a fault of the rig's own must leave no process behind
            await program.end()
        for engine in engines:
            await engine.stop()
        shared.cleanup()
    served_told = found["figures_served"]
    figures_true = abs(served_told - found["clients_served"]) <= max(3, 0.01 * found["clients_served"])
    held = answers["lost"] - answers["cut"]
    promises = {
        "first_ready": found["first_ready"],
        "ban_yes": found["ban_yes"],
        "unknown_refused": found["unknown_refused"] == 404,
        "ready_no_in_drain": found["ready_in_drain"] == 503,
        "undrained_in_2s": found["undrained"],
        "second_ready_in_6s": found["second_ready"],
        "first_exit_0": found["first_exit"] == 0,
        "nothing_to_banned": found["to_banned"] == 0,
        "nothing_to_banned_in_both": found["late_ban_yes"] and found["to_late_banned"] == 0,
        "figures_true": figures_true,
        "no_request_held": held == 0,
        "cut_at_most_2": found["cut_in_upgrade"] <= CUT_MOST,
        "every_taken_answered": all(map(unanswered_none, (first_counters, second_counters))),
        "none_cut_after_it_ran": found["cut_after_run"] == 0,
        "answered_once": rules["answered_twice"] == 0,
        "back_after_enable": found["after_enable"] > 0,
        "loads_once": rules["loads_twice"] == 0,
        "keys_in_order": rules["order_breaks"] == 0,
    }
    return {
        "rig": "ops",
        "ok": all(promises.values()),
        "seed": seed,
        "seconds": seconds,
        "broken": sorted(name for name, kept in promises.items() if not kept),
        "requests": answers["requests"],
        "served": answers["served"],
        "cut": answers["cut"],
        "held": held,
        **{
            name: found[name]
            for name in (
                "figures_served",
                "clients_served",
                "to_banned",
                "to_late_banned",
                "after_enable",
                "cut_in_upgrade",
                "cut_after_run",
            )
        },
        "first_door_calls": first_counters.get("door_calls", 0),
        "second_served": second_counters.get("answered_served", 0),
    }
