"""The lifecycle of the program, from the opening of its listening sockets to its exit."""

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
from .application import COUNTERS_LOG_INTERVAL_SECONDS, Application
from .gc_tuning import tune_garbage_collector
from .listeners import listen


@dataclass(frozen=True)
class StartupRecord:
    """What happened in the process before the event loop ran.

    Attributes:
        early_signals: The signals that arrived.
        imported_at: The CPU time of the process in seconds after all imports.
        configured_at: The CPU time of the process in seconds after the configuration was read.
    """

    early_signals: set[int]
    imported_at: float
    configured_at: float


async def run(config: Config, start: StartupRecord) -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully.

    Raises:
        BindError: A socket cannot be bound to its address.
    """
    started_at = time.time()
    listener = listen(config.listen_address, shared=True, key="listen")
    admin_listener = None
    if config.admin_address is not None:
        admin_listener = listen(config.admin_address, shared=False, key="control")
    host, port = listener.getsockname()
    application = Application(config, (host, port))
    _install_signal_handlers(application)
    application.start()
    loop = asyncio.get_running_loop()
    loop.call_later(COUNTERS_LOG_INTERVAL_SECONDS, application.log_counters_periodically)
    application.server.start(listener, started_at)
    admin_task = None if admin_listener is None else _start_admin_server(application, admin_listener)
    _finish_startup(application, start)
    console_line = f"{config.name} listens on {host}:{port}"
    log_unlimited("listening", console_line, host=host, port=port, pid=os.getpid())
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
    loop.add_signal_handler(signal.SIGUSR1, application.log_counters)
    loop.add_signal_handler(signal.SIGHUP, application.reloader.reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, application.shutdown_requested.set)


def _start_admin_server(application: Application, listener: socket.socket) -> asyncio.Task:
    """Serve the admin API in a new task, and watch for ejections by another process."""
    from ..admin.server import AdminServer  # imported only if used: its library costs memory and startup time

    server = AdminServer(application.admin_target, application.counters, application.descriptor_budget.admin)
    task = asyncio.create_task(server.serve(listener))
    application.ejection_control.poll_periodically()
    return task


def _finish_startup(application: Application, start: StartupRecord) -> None:
    """Tune the garbage collector, count CPU time, and carry out a reload that was requested meanwhile."""
    tune_garbage_collector()
    _count_startup_cpu_time(application.counters, start)
    if signal.SIGHUP in start.early_signals:
        application.reloader.reload()


def _count_startup_cpu_time(counters: Counters, start: StartupRecord) -> None:
    """Count the CPU time of each phase of the startup.

    Wall time would not be comparable: a process with a share of a core may take any multiple of its CPU time.
    """
    now = time.process_time()
    counters["start_imports_ms"] = round(start.imported_at * 1000)
    counters["start_configuration_ms"] = round((start.configured_at - start.imported_at) * 1000)
    counters["start_list_ms"] = round((now - start.configured_at) * 1000)
