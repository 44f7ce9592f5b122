"""A client's connection that carries MessagePack-RPC calls."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace

from ..admin.metrics import ResponseOutcome
from ..observability.events import log_event
from ..rate_limits import TokenBucket
from ..requests.model import Completed, Failed, Rejected, Request, Response
from .connection import ClientConnection, OpenCall
from .context import ServerContext
from .request_parser import InvalidRequestError, parse_request
from .rpc import (
    CancelNotification,
    MalformedMessageError,
    ProbeCall,
    RequestCall,
    check_message_id,
    encode_error_response,
    encode_probe_response,
    encode_response,
    parse_call,
)

MAX_OPEN_CALLS = 32  # limit for one connection
# Requests that a client may cancel as it sends them: as many as it may have open, and these in each second.
# Each has cost a turn and was never meant to run.
MAX_IMMEDIATE_CANCELLATIONS = MAX_OPEN_CALLS
IMMEDIATE_CANCELLATIONS_PER_SECOND = 10.0

RESPONSE_COUNTERS = {
    Completed: "answered_served",
    Rejected: "answered_refused",
    Failed: "answered_failed",
}
METRIC_OUTCOMES = {
    Completed: ResponseOutcome.SUCCESS,
    Rejected: ResponseOutcome.OVERLOAD,
    Failed: ResponseOutcome.ERROR,
}


class RpcConnection(ClientConnection):
    """A connection whose messages are MessagePack-RPC calls; one task handles each call."""

    def __init__(self, context: ServerContext, sock: socket.socket, earliest_arrival: float):
        """Create a connection for an accepted socket; see `ClientConnection`."""
        super().__init__(context, sock, earliest_arrival)
        self._last_message_id = -1
        self._immediate_cancellations = TokenBucket(MAX_IMMEDIATE_CANCELLATIONS, context.driver.now())
        self._is_being_refused = False
        # Requests with an order key whose responses are queued but not written yet.
        self._undelivered: set[Request] = set()

    @property
    def is_misused(self) -> bool:
        """Whether the client has sent invalid requests, or cancelled too many as it sent them."""
        return super().is_misused or self._is_being_refused

    def handle_message(self, message: object, received_at: float) -> None:
        """Start a call, cancel one, or respond to a probe.

        Raises:
            MalformedMessageError: The message violates the protocol.
        """
        call = parse_call(message)
        match call:
            case ProbeCall():
                self._counters["probed"] += 1
                self._accept_message_id(call.message_id)
                self._send(encode_probe_response(call.message_id, self._context.is_ready))
            case RequestCall():
                self._accept_message_id(call.message_id)
                if self._is_being_refused:
                    self._send(encode_response(call.message_id, self._context.handler.reject()))
                    self._check_owed_calls()
                else:
                    self._start_call(call, received_at)
            case CancelNotification():
                self._cancel_call(call.message_id, received_at)

    def _accept_message_id(self, message_id: int) -> None:
        check_message_id(message_id, self._last_message_id)
        self._last_message_id = message_id

    def _cancel_call(self, message_id: int, received_at: float) -> None:
        self._counters["given_up"] += 1
        call = self.calls.get(message_id)
        if call is None:  # the response is already queued
            return
        waited = received_at - call.request.received_at
        if waited <= 0:  # read in the same turn
            self._count_immediate_cancellation(received_at)
        timeout = call.request.timeout
        log_event(
            "client",
            f"call {message_id} cancelled by the client {waited:.3f} s into its timeout of {timeout:.3f} s",
        )
        call.task.cancel()
        self._release_call(message_id)
        if self._is_being_refused:
            self._check_owed_calls()

    def _count_immediate_cancellation(self, now: float) -> None:
        """Count a request that was cancelled as it came; refuse further ones of a client with too many."""
        bucket = self._immediate_cancellations
        bucket.refill(now, IMMEDIATE_CANCELLATIONS_PER_SECOND, MAX_IMMEDIATE_CANCELLATIONS)
        if not bucket.take() and not self._is_being_refused:
            self._is_being_refused = True
            self._counters["excessive_cancellations"] += 1

    def _check_owed_calls(self) -> None:
        """End the connection of a client that is being refused once it is owed no response any more.

        Raises:
            MalformedMessageError: No call is open.
        """
        if not self.calls:
            raise MalformedMessageError(
                f"cancellations: at most {MAX_IMMEDIATE_CANCELLATIONS} at once and "
                f"{IMMEDIATE_CANCELLATIONS_PER_SECOND:g} a second with their requests"
            )

    def _start_call(self, call: RequestCall, received_at: float) -> None:
        """Start a task that handles a request, or respond with an error to an invalid one.

        Raises:
            MalformedMessageError: More than MAX_OPEN_CALLS calls would be open.
        """
        context = self._context
        if len(self.calls) >= MAX_OPEN_CALLS:
            self._counters["over_bounds"] += 1
            raise MalformedMessageError(f"open requests: at most {MAX_OPEN_CALLS} on one connection")
        try:
            request = self._parse_request(call, received_at)
        except InvalidRequestError as error:
            self._reject_invalid_request(call.message_id, error)
            return
        message_id = call.message_id
        self._counters["taken_" + call.method] += 1
        if not self._table.has_room_for_statement(len(request.statement)):
            self._counters["statements_refused"] += 1
            self._send_response(message_id, context.handler.reject(), request)
            return
        context.open_request_ids.add(request.request_id)
        task = asyncio.create_task(self._handle_request(message_id, request))
        # A `finally` in the task would not run if the task is cancelled before its first step.
        task.add_done_callback(lambda task: self._on_call_end(message_id, task, request))
        self.calls[message_id] = OpenCall(task, request)
        self._table.add_bytes(len(request.statement))

    def _parse_request(self, call: RequestCall, received_at: float) -> Request:
        context = self._context
        request = parse_request(context.schema, call, received_at, self.is_client_gone)
        if request.request_id in context.open_request_ids:
            # Engines would take the second request for a repetition of the first.
            raise InvalidRequestError("ref: the id of a request that is still open, a new one expected")
        if request.order_key and not self._driver.stall_monitor.arrival_order.is_in_order(
            request.order_key, self.arrival_source, self._earliest_arrival, self._driver.now()
        ):
            self._counters["unsure_order"] += 1
            request = replace(request, is_order_unknown=True)
        return request

    def _reject_invalid_request(self, message_id: int, error: InvalidRequestError) -> None:
        self._counters["bad_requests"] += 1
        self.invalid_requests += 1
        log_event("request", str(error))
        self._send(encode_error_response(message_id))

    async def _handle_request(self, message_id: int, request: Request) -> None:
        handler = self._context.handler
        try:
            if self._table.rejects_requests(asyncio.get_running_loop().time()):
                self._counters["drain_refused"] += 1
                response = handler.reject()
            else:
                response = await handler.handle(request)
        except Exception as error:  # a bug must not leave the client without a response
            self._counters["broker_errors"] += 1
            log_event("request", f"{type(error).__name__}: {error}")
            response = Failed()
        self._release_call(message_id)
        self._send_response(message_id, response, request)

    def _on_call_end(self, message_id: int, task: asyncio.Task, request: Request) -> None:
        self._counters["clients_gone"] += task.cancelled()
        if request not in self._undelivered:  # no response is queued
            self._context.handler.on_response_delivered(request)
        self._release_call(message_id)

    def _release_call(self, message_id: int) -> None:
        """Remove a call that has its response or was cancelled by the client."""
        call = self.calls.pop(message_id, None)
        if call is not None:
            self._context.open_request_ids.discard(call.request.request_id)
            self._table.release_bytes(len(call.request.statement))
            self._table.update_idle(self)

    def _send_response(self, message_id: int, response: Response, request: Request) -> None:
        self._counters[RESPONSE_COUNTERS[type(response)]] += 1
        if self._context.metrics is not None:
            self._context.metrics.record_response(request.class_index, METRIC_OUTCOMES[type(response)])
        self._send(encode_response(message_id, response), request)

    def _send(self, data: bytes, request: Request | None = None) -> None:
        """Queue an encoded response; `request` is the request that it belongs to, if any."""
        if self.write_queue.closed:
            return
        if request is not None and request.order_key:
            self._undelivered.add(request)
        self.write_queue.put(data, lambda: self._on_written(len(data), request))
        self._table.update_idle(self)
        self._table.add_bytes(len(data))

    def _on_written(self, size: int, request: Request | None) -> None:
        if request in self._undelivered:
            self._on_delivered(request)
        self._table.release_bytes(size)
        self._table.update_idle(self)

    def _on_delivered(self, request: Request) -> None:
        self._undelivered.discard(request)
        self._context.handler.on_response_delivered(request)

    def abandon_responses(self) -> None:
        """Count unwritten responses as delivered, so that the next requests of their order keys can start."""
        for request in list(self._undelivered):
            self._on_delivered(request)
