"""A session by blocking reads over HTTP, as Consul's key-value store answers them."""

from __future__ import annotations

import base64
import json
import ssl
from collections.abc import Callable

import aiohttp

from .session import MOST_ANSWER, Hear, Refused, Session
from .settings import RegistrySettings

WAIT = 30  # s that a blocking read may stay unanswered
Records = dict[str, tuple[int, bytes]]


def read_list(body: bytes) -> Records:
    """Keys with their indexes and values. Raises ValueError on what is no such list."""
    found: Records = {}
    for one in json.loads(body):
        if not isinstance(one, dict):
            raise ValueError("not a list of keys")
        value = base64.b64decode(one["Value"] or "", validate=True)
        found[str(one["Key"])] = int(one["ModifyIndex"]), value
    return found


def changes(former: Records, later: Records, index: int) -> list[tuple[str, int, bytes | None]]:
    """What leads from one list to the next, by index; what was deleted is told as of the list's."""
    events: list[tuple[str, int, bytes | None]] = [
        (key, at, value) for key, (at, value) in later.items() if former.get(key, (0,))[0] != at]
    events.sort(key=lambda event: event[1])
    return events + [(key, index, None) for key in former if key not in later]


class ConsulSession(Session):
    """A blocking read tells the whole list, so the changes are found here, against the list that was read in
    full before: a follower of such sessions never resumes."""

    def __init__(self, number: int, address: tuple[str, int], settings: RegistrySettings,
                 tls: ssl.SSLContext | None, hear: Hear, clock: Callable[[], float]):
        super().__init__(number, hear, clock)
        scheme = "https" if tls else "http"
        host = f"[{address[0]}]" if ":" in address[0] else address[0]
        self.url = f"{scheme}://{host}:{address[1]}/v1/kv/{settings.prefix}"
        self.tls, self.token = tls, settings.token
        self.http: aiohttp.ClientSession | None = None
        self.known: Records = {}  # as of the last list read in this session

    async def _get(self, **query: str) -> tuple[int, bytes]:
        """The index and the body. Raises Refused, ValueError and aiohttp's errors."""
        headers = {"X-Consul-Token": self.token} if self.token else {}
        async with self.http.get(self.url, params=query, headers=headers, ssl=self.tls or True) as answer:
            if answer.status in (401, 403):
                raise Refused(f"credentials refused: HTTP {answer.status}")
            if answer.status not in (200, 404):  # 404: no key under the prefix
                raise ConnectionError(f"HTTP {answer.status}")
            index = int(answer.headers["X-Consul-Index"])
            body = bytearray()
            async for piece in answer.content.iter_any():
                body += piece
                if len(body) > MOST_ANSWER:
                    raise ValueError(f"an answer of over {MOST_ANSWER} bytes")
            return index, bytes(body) if answer.status == 200 else b"[]"

    def open(self) -> None:
        self.spawn(self._open())

    async def _open(self) -> None:
        self.http = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=None), auto_decompress=False)
        await self._get(keys="", separator="/", consistent="")
        self.hear.connected(self.number)

    def read_all(self) -> None:
        self.spawn(self._read_all())

    async def _read_all(self) -> None:
        asked = self.clock()
        index, body = await self._get(recurse="", consistent="")
        self.known = read_list(body)
        self.hear.whole(self.number, asked, index, [(key, *told) for key, told in self.known.items()])

    def watch(self, start: int) -> None:
        self.spawn(self._watch(start - 1))

    async def _watch(self, index: int) -> None:
        while True:
            last, (index, body) = index, await self._get(
                recurse="", consistent="", index=str(max(1, index)), wait=f"{WAIT}s")
            if index < last:  # the index went back: a new store, or one restored
                raise ConnectionError(f"the index went back from {last} to {index}")
            former, self.known = self.known, read_list(body)
            self.hear.events(self.number, index, changes(former, self.known, index))

    def ask(self, asked: float) -> None:
        self.spawn(self._ask(asked))

    async def _ask(self, asked: float) -> None:
        index, _ = await self._get(keys="", separator="/", consistent="")
        self.hear.answered(self.number, asked, index)

    async def hang_up(self) -> None:
        if self.http is not None:
            await self.http.close()
