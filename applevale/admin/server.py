"""The HTTP server of the admin API, on the application's event loop.

Each connection carries one request, and is handled in a task of its own under one timeout, whatever the
client sends. At the maximum number of connections a new one closes the oldest. A request that is malformed or
exceeds a limit gets an error response. A failure of one connection does not affect others.
"""

from __future__ import annotations

import asyncio
import socket
from http import HTTPStatus

from ..observability.counters import Counters
from ..observability.events import log_event
from .http_codec import ClientDisconnectedError, HttpExchange, HttpRequest, MalformedRequestError
from .limits import (
    ACCEPT_RETRY_SECONDS,
    MAX_CONCURRENT_REQUESTS,
    RECEIVE_BUFFER_BYTES,
    REQUEST_TIMEOUT_SECONDS,
)
from .routes import AdminResponse, AdminTarget, dispatch, error_response

MAX_QUOTED_CHARACTERS = 80  # longer request targets are truncated in log lines


class AdminServer:
    """Serves the admin API on a listener."""

    def __init__(
        self, target: AdminTarget, counters: Counters, max_requests: int = MAX_CONCURRENT_REQUESTS
    ) -> None:
        """Create a server.

        Args:
            target: The operations that requests may call.
            counters: Counts requests and failures.
            max_requests: The most connections that are open at a time.
        """
        self._target = target
        self._counters = counters
        self._max_requests = max_requests
        self._connections: dict[asyncio.Task, socket.socket] = {}  # the oldest connection is first

    async def serve(self, listener: socket.socket) -> None:
        """Accept and serve connections until the task is cancelled; the listener is non-blocking."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = await loop.sock_accept(listener)
            except OSError as error:  # for example, the client disconnected or no file descriptor is free
                log_event("admin", str(error))
                await asyncio.sleep(ACCEPT_RETRY_SECONDS)
                continue
            await self._evict_oldest_if_full()
            task = asyncio.create_task(self._handle_connection(sock))
            self._connections[task] = sock
            task.add_done_callback(self._close_socket)

    async def _evict_oldest_if_full(self) -> None:
        """Close the oldest connection if the maximum number is open, and wait until it is closed."""
        if len(self._connections) >= self._max_requests:
            self._counters["door_evicted"] += 1
            oldest = next(iter(self._connections))
            oldest.cancel()
        while len(self._connections) >= self._max_requests:
            await asyncio.sleep(0)

    def _close_socket(self, task: asyncio.Task) -> None:
        # A done callback, because a task that is cancelled before its first step runs no `finally` block.
        self._connections.pop(task).close()

    async def _handle_connection(self, sock: socket.socket) -> None:
        self._counters["door_calls"] += 1
        try:
            sock.setblocking(False)
            async with asyncio.timeout(REQUEST_TIMEOUT_SECONDS):
                await self._exchange(sock)
        except TimeoutError:
            self._counters["door_timeouts"] += 1
        except OSError:
            self._counters["door_resets"] += 1

    async def _exchange(self, sock: socket.socket) -> None:
        """Receive one request and send its response."""
        exchange = HttpExchange()
        try:
            request = await _receive_request(sock, exchange)
            method = request.method
            response = self._dispatch(request)
        except ClientDisconnectedError:
            return
        except MalformedRequestError as error:
            method = error.method
            response = self._reject(error)
        data = exchange.serialize(response, method)
        await asyncio.get_running_loop().sock_sendall(sock, data)
        sock.shutdown(socket.SHUT_WR)

    def _dispatch(self, request: HttpRequest) -> AdminResponse:
        response = dispatch(self._target, request.method, request.target, request.body)
        is_client_error = (
            response.status >= HTTPStatus.BAD_REQUEST and response.status != HTTPStatus.SERVICE_UNAVAILABLE
        )
        if is_client_error:
            self._counters["door_refused"] += 1
            target = request.target[:MAX_QUOTED_CHARACTERS]
            log_event("admin", f"{response.status:d} {request.method} {target!r}")
        return response

    def _reject(self, error: MalformedRequestError) -> AdminResponse:
        self._counters["door_bad"] += 1
        log_event("admin", f"{error.status:d}: {error}")
        return error_response(error.status, str(error), error.field)


async def _receive_request(sock: socket.socket, exchange: HttpExchange) -> HttpRequest:
    """Receive the request of a client.

    Raises:
        ClientDisconnectedError: The client closed the connection before its request was complete.
        MalformedRequestError: The data is not HTTP or exceeds a limit.
        OSError: The connection failed.
    """
    loop = asyncio.get_running_loop()
    buffer = bytearray(RECEIVE_BUFFER_BYTES)
    while (request := exchange.next_request()) is None:
        size = await loop.sock_recv_into(sock, buffer)
        exchange.receive(bytes(buffer[:size]))
    return request
