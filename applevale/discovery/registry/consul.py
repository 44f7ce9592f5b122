"""A session with a Consul agent, whose key-value store is watched by blocking queries over HTTP."""

from __future__ import annotations

import base64
import json
from collections.abc import Callable
from typing import NamedTuple

import aiohttp

from .key_values import KeyValueEvent, KeyValuePair, PairsByKey
from .session import (
    MAX_MESSAGE_BYTES,
    AuthenticationError,
    Session,
    SessionListener,
    SessionTarget,
    ThrottledError,
)

BLOCKING_QUERY_SECONDS = 30  # Time after which the agent responds even without a change.
MAX_RETRY_AFTER_SECONDS = 60.0
HTTP_OK = 200
HTTP_NOT_FOUND = 404  # No key has the prefix.
HTTP_TOO_MANY_REQUESTS = 429
HTTP_UNAVAILABLE = 503
HTTP_AUTHENTICATION_FAILURES = (401, 403)


class Response(NamedTuple):
    """The index of the key-value store, and the body of an HTTP response."""

    index: int
    body: bytes


def read_pairs(body: bytes) -> PairsByKey:
    """Parse the body of a response into keys with their values and modification indexes.

    Raises:
        ValueError: The body is not a list of keys.
    """
    pairs: PairsByKey = {}
    for item in json.loads(body):
        if not isinstance(item, dict):
            raise ValueError("the response is not a list of keys")
        value = base64.b64decode(item["Value"] or "", validate=True)
        index = int(item["ModifyIndex"])
        key = str(item["Key"])
        pairs[key] = KeyValuePair(key, index, value)
    return pairs


def diff_pairs(previous: PairsByKey, current: PairsByKey, index: int) -> list[KeyValueEvent]:
    """Return the events that lead from the previous list to the current one.

    Changes are ordered by their indexes. Deletions come last, as of `index`.
    """
    events = [
        KeyValueEvent(*pair) for pair in current.values() if _index_of(previous, pair.key) != pair.revision
    ]
    events.sort(key=lambda event: event.revision)
    return events + [KeyValueEvent(key, index, None) for key in previous if key not in current]


def _index_of(pairs: PairsByKey, key: str) -> int:
    pair = pairs.get(key)
    return 0 if pair is None else pair.revision


def parse_retry_after(text: str) -> float:
    """Return the delay of a `Retry-After` header in s, up to a limit; 0 if the header is a date."""
    return min(MAX_RETRY_AFTER_SECONDS, float(text)) if text.isdecimal() else 0.0


class ConsulSession(Session):
    """A session with a Consul agent.

    A blocking query returns the whole list. Changes are found by comparison with the last list that was read
    in this session, or with the list that was known before the session.
    """

    def __init__(
        self,
        session_id: int,
        target: SessionTarget,
        listener: SessionListener,
        clock: Callable[[], float],
    ):
        """Create a session with an agent; see `Session`."""
        super().__init__(session_id, target, listener, clock)
        host, port = target.address
        scheme = "https" if target.ssl_context else "http"
        url_host = f"[{host}]" if ":" in host else host
        self.url = f"{scheme}://{url_host}:{port}/v1/kv/{target.settings.prefix}"
        self.http: aiohttp.ClientSession | None = None
        self.pairs: PairsByKey = {}  # The last list that was read in this session.

    def handshake(self) -> None:
        """Connect and read the index of the key-value store."""
        self.spawn(self._handshake())

    def read_all(self) -> None:
        """Read all keys with their values."""
        self.spawn(self._read_all())

    def watch(self, start_revision: int, read_known_pairs: Callable[[], PairsByKey]) -> None:
        """Watch all changes from `start_revision` on by blocking queries."""
        self.pairs = self.pairs or read_known_pairs()
        self.spawn(self._watch(start_revision - 1))

    def poll_revision(self, requested_at: float) -> None:
        """Read the index of the key-value store."""
        self.spawn(self._poll_revision(requested_at))

    def request_progress(self) -> None:
        """Do nothing, since a blocking query returns as soon as there is a change."""

    async def close_connection(self) -> None:
        """Close the HTTP connections."""
        if self.http is not None:
            await self.http.close()

    async def _handshake(self) -> None:
        if self.http is not None:  # An earlier handshake was throttled.
            await self.http.close()
        local_address = self.target.local_address
        connector = aiohttp.TCPConnector(local_addr=(local_address, 0)) if local_address else None
        self.http = aiohttp.ClientSession(
            connector=connector, timeout=aiohttp.ClientTimeout(total=None), auto_decompress=False
        )
        requested_at = self.clock()
        response = await self._get(keys="", separator="/", consistent="")
        self.listener.on_connected(self.session_id, requested_at, response.index)

    async def _read_all(self) -> None:
        requested_at = self.clock()
        response = await self._get(recurse="", consistent="")
        self.pairs = read_pairs(response.body)
        records = list(self.pairs.values())
        self.listener.on_snapshot(self.session_id, requested_at, response.index, records)

    async def _watch(self, index: int) -> None:
        while True:
            response = await self._get(
                recurse="", consistent="", index=str(max(1, index)), wait=f"{BLOCKING_QUERY_SECONDS}s"
            )
            if response.index < index:  # The store is new, or was restored.
                raise ConnectionError(f"the index decreased from {index} to {response.index}")
            index = response.index
            previous = self.pairs
            self.pairs = read_pairs(response.body)
            events = diff_pairs(previous, self.pairs, index)
            self.listener.on_events(self.session_id, index, events)

    async def _poll_revision(self, requested_at: float) -> None:
        response = await self._get(keys="", separator="/", consistent="")
        self.listener.on_revision(self.session_id, requested_at, response.index)

    async def _get(self, **query: str) -> Response:
        """Read keys under the prefix.

        Raises:
            AuthenticationError: The agent rejected the token.
            ThrottledError: The agent is overloaded.
            ValueError: The response is too long or malformed.
            OSError: The request failed. aiohttp may raise other errors as well.
        """
        headers = {"X-Consul-Token": self.target.settings.token} if self.target.settings.token else {}
        ssl_context = self.target.ssl_context or True
        async with self.http.get(self.url, params=query, headers=headers, ssl=ssl_context) as response:
            _check_status(response, is_watch="index" in query)
            index = int(response.headers["X-Consul-Index"])
            body = await _read_body(response)
            return Response(index, body if response.status == HTTP_OK else b"[]")


def _check_status(response: aiohttp.ClientResponse, is_watch: bool) -> None:
    """Raise an error unless the status is that of a list of keys."""
    status = response.status
    if status in HTTP_AUTHENTICATION_FAILURES:
        raise AuthenticationError(f"credentials rejected: HTTP {status}")
    retry_after = response.headers.get("Retry-After", "")
    if status == HTTP_TOO_MANY_REQUESTS or (status == HTTP_UNAVAILABLE and retry_after):
        raise ThrottledError(parse_retry_after(retry_after), is_watch)
    if status not in (HTTP_OK, HTTP_NOT_FOUND):
        raise ConnectionError(f"unexpected HTTP status {status}")


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_MESSAGE_BYTES:
            raise ValueError(f"the response has over {MAX_MESSAGE_BYTES} bytes")
    return bytes(body)
