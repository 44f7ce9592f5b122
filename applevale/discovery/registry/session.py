"""A session with one member of a registry, as the source sees it whatever protocol it uses."""

from __future__ import annotations

import asyncio
import ssl
from abc import ABC, abstractmethod
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from typing import Protocol

from ...net.addresses import Address
from .key_values import KeyValueEvent, KeyValuePair, PairsByKey
from .settings import RegistrySettings

MAX_MESSAGE_BYTES = 8 << 20  # of one message of a member: a larger one is not read into memory
MAX_REASON_LENGTH = 80


class AuthenticationError(Exception):
    """The member rejects the credentials."""


class ThrottledError(Exception):
    """The member rejects a request because of its load; the session remains usable.

    Attributes:
        retry_after: The delay that the member asks for, in s.
        is_watch: Whether the request was the watch.
    """

    def __init__(self, retry_after: float = 0.0, is_watch: bool = False):
        """Build the error of one request."""
        super().__init__("the member is throttling")
        self.retry_after = retry_after
        self.is_watch = is_watch


class SessionListener(Protocol):
    """Receives what happens in sessions.

    `session_id` identifies the session; `requested_at` is when the request left that is answered, in s by the
    clock that the session was constructed with.
    """

    def on_connected(self, session_id: int, requested_at: float, revision: int, cluster_id: int = 0) -> None:
        """Handle the first response of a session; `cluster_id` is 0 if it is not known."""

    def on_throttled(self, session_id: int, retry_after: float, is_watch: bool) -> None:
        """Handle a request that was rejected because of the member's load."""

    def on_disconnected(self, session_id: int, reason: str, credentials_rejected: bool = False) -> None:
        """Handle the end of a session, which is reported once."""

    def on_snapshot(
        self, session_id: int, requested_at: float, revision: int, records: Iterable[KeyValuePair]
    ) -> None:
        """Handle all keys as of one revision."""

    def on_events(self, session_id: int, revision: int, events: Iterable[KeyValueEvent]) -> None:
        """Handle what the watch delivers; it has delivered all up to `revision`."""

    def on_revision(self, session_id: int, requested_at: float, revision: int) -> None:
        """Handle the response to a poll of the registry's revision."""

    def on_compacted(self, session_id: int) -> None:
        """Handle a watch whose next events are no longer stored."""


@dataclass(frozen=True)
class SessionTarget:
    """The member that a session connects to, and how.

    Attributes:
        address: Host and port of the member.
        settings: The registry's prefix and credentials.
        ssl_context: The context for TLS; None for plain TCP.
        local_address: The address that connections bind; empty for the system's choice.
    """

    address: Address
    settings: RegistrySettings
    ssl_context: ssl.SSLContext | None
    local_address: str = ""


class Session(ABC):
    """The tasks of one session; the first that fails ends it, and is reported once.

    Requests return at once; their responses go to the listener.
    """

    def __init__(
        self,
        session_id: int,
        target: SessionTarget,
        listener: SessionListener,
        clock: Callable[[], float],
    ):
        """Build a session that `handshake` connects.

        Args:
            session_id: Identifies the session to the listener.
            target: The member to connect to.
            listener: Receives all responses, and the end of the session.
            clock: A monotonic clock, in s.
        """
        self.session_id = session_id
        self.target = target
        self.listener = listener
        self.clock = clock
        self.tasks: set[asyncio.Task] = set()
        self.is_closed = False

    def spawn(self, work: Coroutine[object, object, None]) -> None:
        """Run `work` as a task of this session."""
        task = asyncio.create_task(self._guard(work))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _guard(self, work: Coroutine[object, object, None]) -> None:
        """Stop all errors here, whatever a library raises on what a member sent."""
        try:
            await work
        except ThrottledError as error:
            if not self.is_closed:
                self.listener.on_throttled(self.session_id, error.retry_after, error.is_watch)
        except AuthenticationError as error:
            self._disconnect(str(error), credentials_rejected=True)
        except Exception as error:
            self._disconnect(f"{type(error).__name__}: {str(error)[:MAX_REASON_LENGTH]}")

    def _disconnect(self, reason: str, credentials_rejected: bool = False) -> None:
        if not self.is_closed:
            self.listener.on_disconnected(self.session_id, reason, credentials_rejected)

    async def close(self) -> None:
        """End all tasks and the connection; the listener is not called again for this session."""
        self.is_closed = True
        tasks = [task for task in self.tasks if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.close_connection()

    @abstractmethod
    async def close_connection(self) -> None:
        """Close the connection to the member."""

    @abstractmethod
    def handshake(self) -> None:
        """Connect, log in and read the registry's revision; may be repeated once it was throttled."""

    @abstractmethod
    def read_all(self) -> None:
        """Read all keys with their values."""

    @abstractmethod
    def watch(self, start_revision: int, read_known: Callable[[], PairsByKey]) -> None:
        """Watch all changes from `start_revision` on; `read_known` returns the list that they change."""

    @abstractmethod
    def poll_revision(self, requested_at: float) -> None:
        """Read the registry's present revision."""

    @abstractmethod
    def request_progress(self) -> None:
        """Ask up to which revision the watch has delivered all events."""
