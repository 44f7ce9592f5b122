"""The operators' door: HTTP/1.1 by h11 on the program's own loop, one call a connection.

Guards the loop against callers: each connection is one task under one timer, whatever it sends or does
not send; a head or body over its bound, or what is no HTTP, is answered once and closed. Nothing from a
socket goes beyond its connection's task.
"""

from __future__ import annotations

import asyncio
import json
import socket
from http import HTTPStatus

import h11

from ..node.counters import Counters
from ..node.log import say
from .calls import Answer, Operated, answer

CALL = 2.0  # s for a whole call, from the connection on: a silent or slow caller has this and no more
HEAD_MOST = 8 * 1024  # bytes of the request's head
BODY_MOST = 4 * 1024  # bytes of its body
RECEIVE = 4096


def encode(reply: Answer) -> bytes:
    body = json.dumps(reply.body, separators=(",", ":")).encode()
    head = (f"HTTP/1.1 {reply.status} {HTTPStatus(reply.status).phrase}\r\ncontent-type: application/json\r\n"
            f"content-length: {len(body)}\r\nconnection: close\r\n")
    if "allow" in reply.body:
        head += f"allow: {reply.body['allow']}\r\n"
    return head.encode() + b"\r\n" + body


class Door:
    def __init__(self, operated: Operated, counters: Counters) -> None:
        self.operated, self.counters = operated, counters
        self.calls: set[asyncio.Task] = set()

    async def serve(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = await loop.sock_accept(listener)
            except OSError as error:  # a caller that has gone, or no descriptor free
                say("door", str(error))
                await asyncio.sleep(0.01)
                continue
            task = asyncio.create_task(self._call(sock))
            self.calls.add(task)
            task.add_done_callback(self.calls.discard)

    async def _call(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        self.counters["door_calls"] += 1
        try:
            sock.setblocking(False)
            async with asyncio.timeout(CALL):
                reply = await self._read(sock)
                if reply is not None:
                    await loop.sock_sendall(sock, encode(reply))
                    sock.shutdown(socket.SHUT_WR)
        except TimeoutError:
            self.counters["door_timeouts"] += 1
        except OSError:
            self.counters["door_resets"] += 1
        finally:
            sock.close()

    async def _read(self, sock: socket.socket) -> Answer | None:
        """The call's answer; None for a caller that left before its call was whole."""
        loop, buffer = asyncio.get_running_loop(), bytearray(RECEIVE)
        codec = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_MOST)
        request, body = None, bytearray()
        try:
            while True:
                event = codec.next_event()
                if event is h11.NEED_DATA:
                    size = await loop.sock_recv_into(sock, buffer)
                    codec.receive_data(bytes(buffer[:size]))
                elif isinstance(event, h11.Request | h11.Data):
                    if isinstance(event, h11.Request):
                        request = event
                        told = dict(event.headers).get(b"content-length", b"0")
                        size = int(told) if told.isdigit() else 0
                    else:
                        body += event.data
                        size = len(body)
                    if size > BODY_MOST:
                        return self._bad(413, f"body: over {BODY_MOST} bytes", "body")
                elif isinstance(event, h11.EndOfMessage):
                    break
                elif isinstance(event, h11.ConnectionClosed):
                    return None
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint if error.error_status_hint >= 400 else 400
            return self._bad(status, f"request: {error}"[:120], "head" if status == 431 else "request")
        reply = answer(self.operated, request.method.decode("latin-1"), request.target.decode("latin-1"),
                       bytes(body))
        if reply.status >= 400 and reply.status != 503:  # not ready is no fault of the caller
            self.counters["door_refused"] += 1
            say("door", f"{reply.status} {request.method.decode('latin-1')} {request.target[:80]!r}")
        return reply

    def _bad(self, status: int, text: str, field: str) -> Answer:
        self.counters["door_bad"] += 1
        say("door", f"{status}: {text}")
        return Answer(status, {"error": text, "field": field})
