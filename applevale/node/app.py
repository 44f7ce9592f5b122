"""Puts the parts together, and sees the program through its start and its end."""

from __future__ import annotations

import asyncio
import gc
import signal
import socket
import sys
import time

from .. import interface as api
from ..policy import Gateway
from .broker import Broker
from .config import Config
from .counters import Counters
from .driver import Driver
from .engine import Fleet
from .feed import Change, Feed
from .front import Front
from .log import say

BACKLOG = 512
PAUSE = 0.01  # s of garbage collection from which it is logged
LINGER = 0.8  # s after SIGTERM for which clients may still come


class Pauses:
    """Tells of collections that held the loop up."""

    def __init__(self) -> None:
        self.start = 0.0

    def __call__(self, phase: str, info: dict) -> None:
        now = time.perf_counter()
        if phase == "start":
            self.start = now
        elif now - self.start > PAUSE:
            say("loop", f"collecting generation {info['generation']} took {(now - self.start) * 1000:.0f} ms")


def listen(config: Config) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(config.listen)
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


async def run(config: Config) -> None:
    counters = Counters()
    listener = listen(config)
    # Half of the descriptors for clients, who hold at most a third; the rest for engines and the files.
    most_links = config.sockets // 2 - 32
    fleet = Fleet(config.links, config.settings.report_columns, most_links, counters)
    driver = Driver(Gateway(config.settings, config.seed), fleet, counters)
    broker = Broker(driver, fleet, config.settings, counters)
    front = Front(broker, driver, config.settings, config.sockets // 2, counters)
    leaving = asyncio.Event()

    def tell(change: Change) -> None:
        fleet.update(change)
        driver.post(api.EngineList(tuple(member.entry for member in change.members), change.whole))
        front.ready = not leaving.is_set()

    for change in config.known:
        tell(change)
    tasks = [asyncio.create_task(front.accept(listener))]
    if config.feed is not None:
        last = config.known[-1].number if config.known else 0
        tasks.append(asyncio.create_task(Feed(config.feed, last, config.names, counters, tell).follow()))
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, counters.show)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, leaving.set)
    # A full collection stops the loop, and a stopped loop looks like silent engines: what is here stays.
    gc.collect()
    gc.freeze()
    gc.set_threshold(1_000, 8, 1_000)  # short and often: over 20,000 objects it took 40 to 60 ms
    gc.callbacks.append(Pauses())
    host, port = listener.getsockname()
    print(f"{config.name} listens on {host}:{port}", file=sys.stderr, flush=True)
    try:
        await leaving.wait()
        front.ready = False
        await asyncio.sleep(LINGER)
        while front.open or any(connection.outbox.size for connection in front.connections):
            await asyncio.sleep(0.02)
    finally:
        for task in tasks:
            task.cancel()
        counters.show()
