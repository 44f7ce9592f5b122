"""A session by blocking reads over HTTP, as Consul's key-value store answers them."""

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

BLOCKING_READ_SECONDS = 30  # that a blocking read may stay unanswered
MAX_RETRY_AFTER_SECONDS = 60.0
HTTP_OK = 200
HTTP_NOT_FOUND = 404  # no key has the prefix
HTTP_TOO_MANY_REQUESTS = 429
HTTP_UNAVAILABLE = 503
HTTP_AUTHENTICATION_FAILURES = (401, 403)


class Response(NamedTuple):
    """The store's index, and the body of a response."""

    index: int
    body: bytes


def read_pairs(body: bytes) -> PairsByKey:
    """Return the keys of a response with their indexes and values.

    Raises:
        ValueError: The body is not a list of keys.
    """
    pairs: PairsByKey = {}
    for item in json.loads(body):
        if not isinstance(item, dict):
            raise ValueError("not a list of keys")
        value = base64.b64decode(item["Value"] or "", validate=True)
        index = int(item["ModifyIndex"])
        key = str(item["Key"])
        pairs[key] = KeyValuePair(key, index, value)
    return pairs


def diff_pairs(former: PairsByKey, current: PairsByKey, index: int) -> list[KeyValueEvent]:
    """Return what leads from one list to the next, by index; deletions come last, as of `index`."""
    events = [
        KeyValueEvent(*pair) for pair in current.values() if _index_of(former, pair.key) != pair.revision
    ]
    events.sort(key=lambda event: event.revision)
    return events + [KeyValueEvent(key, index, None) for key in former if key not in current]


def _index_of(pairs: PairsByKey, key: str) -> int:
    pair = pairs.get(key)
    return 0 if pair is None else pair.revision


def parse_retry_after(text: str) -> float:
    """Return the delay of a `Retry-After` header in s, up to a limit; 0 for one that is a date."""
    return min(MAX_RETRY_AFTER_SECONDS, float(text)) if text.isdecimal() else 0.0


class ConsulSession(Session):
    """A session with a Consul agent.

    A blocking read returns the whole list, so changes are found here: against the list of the last read in
    this session, or the list that was known before it.
    """

    def __init__(
        self,
        session_id: int,
        target: SessionTarget,
        listener: SessionListener,
        clock: Callable[[], float],
    ):
        """Build a session with an agent; see `Session`."""
        super().__init__(session_id, target, listener, clock)
        host, port = target.address
        scheme = "https" if target.ssl_context else "http"
        url_host = f"[{host}]" if ":" in host else host
        self.url = f"{scheme}://{url_host}:{port}/v1/kv/{target.settings.prefix}"
        self.http: aiohttp.ClientSession | None = None
        self.pairs: PairsByKey = {}  # as of the last list read in this session

    def handshake(self) -> None:
        """Connect and read the store's index."""
        self.spawn(self._handshake())

    def read_all(self) -> None:
        """Read all keys with their values."""
        self.spawn(self._read_all())

    def watch(self, start_revision: int, read_known_pairs: Callable[[], PairsByKey]) -> None:
        """Watch by blocking reads that begin behind `start_revision`."""
        self.pairs = self.pairs or read_known_pairs()
        self.spawn(self._watch(start_revision - 1))

    def poll_revision(self, requested_at: float) -> None:
        """Read the store's index."""
        self.spawn(self._poll_revision(requested_at))

    def request_progress(self) -> None:
        """Do nothing: a blocking read returns at once what is new."""

    async def close_connection(self) -> None:
        """Close the HTTP connections."""
        if self.http is not None:
            await self.http.close()

    async def _handshake(self) -> None:
        if self.http is not None:  # the first handshake was throttled
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
                recurse="", consistent="", index=str(max(1, index)), wait=f"{BLOCKING_READ_SECONDS}s"
            )
            if response.index < index:  # a new store, or one that was restored
                raise ConnectionError(f"the index went back from {index} to {response.index}")
            index = response.index
            former = self.pairs
            self.pairs = read_pairs(response.body)
            events = diff_pairs(former, self.pairs, index)
            self.listener.on_events(self.session_id, index, events)

    async def _poll_revision(self, requested_at: float) -> None:
        response = await self._get(keys="", separator="/", consistent="")
        self.listener.on_revision(self.session_id, requested_at, response.index)

    async def _get(self, **query: str) -> Response:
        """Read keys under the prefix.

        Raises:
            AuthenticationError: The agent rejects the token.
            ThrottledError: The agent is overloaded.
            ValueError: The response is too long or malformed.
            OSError: The request failed; aiohttp has other errors besides.
        """
        headers = {"X-Consul-Token": self.target.settings.token} if self.target.settings.token else {}
        ssl_context = self.target.ssl_context or True
        async with self.http.get(self.url, params=query, headers=headers, ssl=ssl_context) as response:
            _check_status(response, is_watch="index" in query)
            index = int(response.headers["X-Consul-Index"])
            body = await _read_body(response)
            return Response(index, body if response.status == HTTP_OK else b"[]")


def _check_status(response: aiohttp.ClientResponse, is_watch: bool) -> None:
    """Raise an error unless the response has a list of keys."""
    status = response.status
    if status in HTTP_AUTHENTICATION_FAILURES:
        raise AuthenticationError(f"credentials refused: HTTP {status}")
    retry_after = response.headers.get("Retry-After", "")
    if status == HTTP_TOO_MANY_REQUESTS or (status == HTTP_UNAVAILABLE and retry_after):
        raise ThrottledError(parse_retry_after(retry_after), is_watch)
    if status not in (HTTP_OK, HTTP_NOT_FOUND):
        raise ConnectionError(f"HTTP {status}")


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_MESSAGE_BYTES:
            raise ValueError(f"an answer of over {MAX_MESSAGE_BYTES} bytes")
    return bytes(body)
