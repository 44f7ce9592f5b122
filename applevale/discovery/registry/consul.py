"""A session by blocking reads over HTTP, as Consul's key-value store answers them."""

from __future__ import annotations

import base64
import json
import ssl
from collections.abc import Callable

import aiohttp

from .session import MOST_ANSWER, Declined, Hear, Known, Refused, Session
from .settings import RegistrySettings

WAIT = 30  # s that a blocking read may stay unanswered


def read_list(body: bytes) -> Known:
    """Keys with their indexes and values. Raises ValueError on what is no such list."""
    found: Known = {}
    for one in json.loads(body):
        if not isinstance(one, dict):
            raise ValueError("not a list of keys")
        value = base64.b64decode(one["Value"] or "", validate=True)
        found[str(one["Key"])] = int(one["ModifyIndex"]), value
    return found


def changes(former: Known, later: Known, index: int) -> list[tuple[str, int, bytes | None]]:
    """What leads from one list to the next, by index; what was deleted is told as of the list's."""
    events: list[tuple[str, int, bytes | None]] = [
        (key, at, value) for key, (at, value) in later.items() if former.get(key, (0,))[0] != at
    ]
    events.sort(key=lambda event: event[1])
    return events + [(key, index, None) for key in former if key not in later]


def retry_after(text: str) -> float:
    """s that a `Retry-After` in s asks for, 60 at most; its other form, a date, counts as none told."""
    return min(60.0, float(text)) if text.isdecimal() else 0.0


class ConsulSession(Session):
    """A blocking read tells the whole list, so the changes are found here, against the list that was known
    before, from this session's full read or from the one before it."""

    def __init__(
        self,
        number: int,
        address: tuple[str, int],
        settings: RegistrySettings,
        tls: ssl.SSLContext | None,
        hear: Hear,
        clock: Callable[[], float],
        local: str = "",
    ):
        super().__init__(number, address, hear, clock)
        self.local = local
        scheme = "https" if tls else "http"
        host = f"[{address[0]}]" if ":" in address[0] else address[0]
        self.url = f"{scheme}://{host}:{address[1]}/v1/kv/{settings.prefix}"
        self.tls, self.token = tls, settings.token
        self.http: aiohttp.ClientSession | None = None
        self.known: Known = {}  # as of the last list read in this session

    async def _get(self, **query: str) -> tuple[int, bytes]:
        """The index and the body. Raises Refused, ValueError and aiohttp's errors."""
        headers = {"X-Consul-Token": self.token} if self.token else {}
        async with self.http.get(self.url, params=query, headers=headers, ssl=self.tls or True) as answer:
            if answer.status in (401, 403):
                raise Refused(f"credentials refused: HTTP {answer.status}")
            after = answer.headers.get("Retry-After", "")
            if answer.status == 429 or (answer.status == 503 and after):
                raise Declined(retry_after(after), watch="index" in query)
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
        if self.http is not None:  # the first word was declined, and is asked for again
            await self.http.close()
        connector = aiohttp.TCPConnector(local_addr=(self.local, 0)) if self.local else None
        self.http = aiohttp.ClientSession(
            connector=connector, timeout=aiohttp.ClientTimeout(total=None), auto_decompress=False
        )
        asked = self.clock()
        index, _ = await self._get(keys="", separator="/", consistent="")
        self.hear.connected(self.number, asked, index)

    def read_all(self) -> None:
        self.spawn(self._read_all())

    async def _read_all(self) -> None:
        asked = self.clock()
        index, body = await self._get(recurse="", consistent="")
        self.known = read_list(body)
        self.hear.whole(self.number, asked, index, [(key, *told) for key, told in self.known.items()])

    def watch(self, start: int, known: Callable[[], Known]) -> None:
        self.known = self.known or known()
        self.spawn(self._watch(start - 1))

    def progress(self) -> None:
        """The blocking read tells at once what is new: there is nothing to ask for."""

    async def _watch(self, index: int) -> None:
        while True:
            last, (index, body) = (
                index,
                await self._get(recurse="", consistent="", index=str(max(1, index)), wait=f"{WAIT}s"),
            )
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
