"""The program from its listening sockets to its exit."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import time
from dataclasses import dataclass

from ..config.model import Config
from ..observability.counters import Counters
from ..observability.events import log_unlimited
from .application import COUNTERS_INTERVAL_SECONDS, Application
from .gc_tuning import tune_garbage_collector
from .listeners import listen


@dataclass(frozen=True)
class StartRecord:
    """What came before the event loop: signals, and the CPU seconds used up to two moments."""

    early_signals: set[int]
    imported_at: float
    configured_at: float


async def run(config: Config, start: StartRecord) -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully.

    Raises:
        OSError: An address to listen on cannot be used.
    """
    started_at = time.time()
    listener = listen(config.listen, shared=True)
    admin_listener = None if config.admin_address is None else listen(config.admin_address, shared=False)
    host, port = listener.getsockname()
    application = Application(config, (host, port))
    _install_signal_handlers(application)
    application.start()
    loop = asyncio.get_running_loop()
    loop.call_later(COUNTERS_INTERVAL_SECONDS, application.dump_counters_regularly)
    application.server.start(listener, started_at)
    admin_task = None if admin_listener is None else _serve_operators(application, admin_listener)
    _finish_start(application, start)
    line = f"{config.name} listens on {host}:{port}"
    log_unlimited("listening", line, host=host, port=port, pid=os.getpid())
    try:
        await application.shutdown_requested.wait()
        application.leave()
        await application.shutdown.run(loop.time())
    finally:
        application.server.stop_accepting()
        if admin_task is not None:
            admin_task.cancel()
            admin_listener.close()
        await application.stop()


def _install_signal_handlers(application: Application) -> None:
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, application.dump_counters)
    loop.add_signal_handler(signal.SIGHUP, application.reloader.reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, application.shutdown_requested.set)


def _serve_operators(application: Application, listener: socket.socket) -> asyncio.Task:
    """Serve the operators' calls in a task of their own, and watch for ejections by another process."""
    from ..admin.server import AdminServer  # its library costs memory and time at every start

    server = AdminServer(application.operator_target, application.counters, application.descriptors.admin)
    task = asyncio.create_task(server.serve(listener))
    application.ejection_control.watch()
    return task


def _finish_start(application: Application, start: StartRecord) -> None:
    """Tune the collector for the running process, and handle a reload that was asked for meanwhile."""
    tune_garbage_collector()
    _record_start(application.counters, start)
    if signal.SIGHUP in start.early_signals:
        application.reloader.reload()


def _record_start(counters: Counters, start: StartRecord) -> None:
    """Count the CPU of the start by part; on a share of a core the wall clock could be any multiple of it."""
    now = time.process_time()
    counters["start_imports_ms"] = round(start.imported_at * 1000)
    counters["start_configuration_ms"] = round((start.configured_at - start.imported_at) * 1000)
    counters["start_list_ms"] = round((now - start.configured_at) * 1000)
