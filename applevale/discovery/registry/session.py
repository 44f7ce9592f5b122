"""What a session with one member of a registry is to the source, whatever protocol it speaks."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable, Coroutine, Iterable
from typing import Protocol

from .settings import SettingsError, Tls

MOST_ANSWER = 8 << 20  # bytes of one message of a registry: more is not taken into memory


class Hear(Protocol):
    """Who is told what comes. `number` is the session's; times are the source's clock."""

    def connected(self, number: int, asked: float, revision: int, cluster: int = 0) -> None: ...
    def declined(self, number: int, after: float, watch: bool) -> None: ...
    def lost(self, number: int, why: str, refused: bool = False) -> None: ...
    def whole(
        self, number: int, asked: float, revision: int, records: Iterable[tuple[str, int, bytes]]
    ) -> None: ...
    def events(self, number: int, revision: int, events: Iterable[tuple[str, int, bytes | None]]) -> None: ...
    def answered(self, number: int, asked: float, revision: int) -> None: ...
    def compacted(self, number: int) -> None: ...


class Refused(Exception):
    """The member does not take these credentials."""


class Declined(Exception):
    """The member refuses a call for its load; the session goes on. `after`: s that it asks for; `watch`: the
    call was the watch."""

    def __init__(self, after: float = 0.0, watch: bool = False):
        self.after, self.watch = after, watch


Known = dict[str, tuple[int, bytes]]  # keys with the revision and the value of each


class Session:
    """The tasks of one session; the first that fails ends it, and is told once."""

    def __init__(self, number: int, address: tuple[str, int], hear: Hear, clock: Callable[[], float]):
        self.number, self.address, self.hear, self.clock = number, address, hear, clock
        self.tasks: set[asyncio.Task] = set()
        self.closed = False

    def spawn(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(self._guard(work))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _guard(self, work: Coroutine[object, object, None]) -> None:
        """What goes wrong with a session stops here: whatever a library raises on what a member sent."""
        try:
            await work
        except Declined as error:
            if not self.closed:
                self.hear.declined(self.number, error.after, error.watch)
        except Refused as error:
            self._lost(str(error), refused=True)
        except Exception as error:
            self._lost(f"{type(error).__name__}: {str(error)[:80]}")

    def _lost(self, why: str, refused: bool = False) -> None:
        if not self.closed:
            self.hear.lost(self.number, why, refused)

    async def close(self) -> None:
        self.closed = True
        tasks = [task for task in self.tasks if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.hang_up()

    async def hang_up(self) -> None:
        raise NotImplementedError

    def open(self) -> None:
        raise NotImplementedError

    def read_all(self) -> None:
        raise NotImplementedError

    def watch(self, start: int, known: Callable[[], Known]) -> None:
        """All changes from `start` on; `known`: the list that they change."""
        raise NotImplementedError

    def ask(self, asked: float) -> None:
        raise NotImplementedError

    def progress(self) -> None:
        raise NotImplementedError


def context(tls: Tls | None, protocol: str) -> ssl.SSLContext | None:
    """Raises SettingsError if the files cannot be used."""
    if tls is None:
        return None
    try:
        made = ssl.create_default_context(cafile=tls.ca)
        made.set_alpn_protocols([protocol])
        if tls.cert:
            made.load_cert_chain(tls.cert, tls.key)
    except (OSError, ssl.SSLError) as error:
        raise SettingsError(f"registry.tls: {error}") from None
    return made
