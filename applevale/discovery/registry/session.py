"""Interface of a session with one member of a registry, independent of the protocol."""

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

MAX_MESSAGE_BYTES = 8 << 20  # Larger messages of a member are not read into memory.
MAX_REASON_LENGTH = 80


class AuthenticationError(Exception):
    """The member rejected the credentials."""


class ThrottledError(Exception):
    """The member rejected a request because of its load; the session remains usable.

    Attributes:
        retry_after: Delay that the member asked for, in s.
        is_watch: Whether the request was the watch.
    """

    def __init__(self, retry_after: float = 0.0, is_watch: bool = False):
        """Create the error for one request."""
        super().__init__("the member throttled the request")
        self.retry_after = retry_after
        self.is_watch = is_watch


class SessionListener(Protocol):
    """Receives the responses and the end of sessions.

    `session_id` identifies the session. `requested_at` is the time at which the request of a response was
    sent, in s on the clock that the session was created with.
    """

    def on_connected(self, session_id: int, requested_at: float, revision: int, cluster_id: int = 0) -> None:
        """Handle the first response of a session; `cluster_id` is 0 if unknown."""

    def on_throttled(self, session_id: int, retry_after: float, is_watch: bool) -> None:
        """Handle a request that was rejected because of the member's load."""

    def on_disconnected(self, session_id: int, reason: str, credentials_rejected: bool = False) -> None:
        """Handle the failure of a session, which ends it."""

    def on_snapshot(
        self, session_id: int, requested_at: float, revision: int, records: Iterable[KeyValuePair]
    ) -> None:
        """Handle a full read, which returned all keys as of `revision`."""

    def on_events(self, session_id: int, revision: int, events: Iterable[KeyValueEvent]) -> None:
        """Handle events of the watch, which has delivered all changes up to `revision`."""

    def on_revision(self, session_id: int, requested_at: float, revision: int) -> None:
        """Handle the response to a poll, which returned the registry's revision."""

    def on_compacted(self, session_id: int) -> None:
        """Handle a watch that ended because its next events were compacted."""


@dataclass(frozen=True)
class SessionTarget:
    """The member that a session connects to, with the parameters of the connection.

    Attributes:
        address: Host and port of the member.
        settings: Settings with the key prefix and the credentials.
        ssl_context: Context for TLS; None for plain TCP.
        local_address: Local address that connections bind to; empty to let the system choose.
    """

    address: Address
    settings: RegistrySettings
    ssl_context: ssl.SSLContext | None
    local_address: str = ""


class Session(ABC):
    """A session with one member, which runs its requests as asyncio tasks.

    Request methods return immediately, and the listener receives the responses. A request that fails for
    a reason other than throttling is reported to the listener as the end of the session.
    """

    def __init__(
        self,
        session_id: int,
        target: SessionTarget,
        listener: SessionListener,
        clock: Callable[[], float],
    ):
        """Create a session; `handshake` opens its connection.

        Args:
            session_id: Identifies the session to the listener.
            target: The member to connect to.
            listener: Receives all responses and the end of the session.
            clock: Monotonic clock, in s.
        """
        self.session_id = session_id
        self.target = target
        self.listener = listener
        self.clock = clock
        self.tasks: set[asyncio.Task] = set()
        self.is_closed = False

    def spawn(self, request: Coroutine[object, object, None]) -> None:
        """Run a request as a task of this session."""
        task = asyncio.create_task(self._run(request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run(self, request: Coroutine[object, object, None]) -> None:
        """Run a request, and report any error to the listener, since libraries may raise any on bad input."""
        try:
            await request
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
        """Cancel all tasks and close the connection; the listener is not called for this session again."""
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
        """Connect, log in and read the registry's revision; may be called again after throttling."""

    @abstractmethod
    def read_all(self) -> None:
        """Read all keys with their values."""

    @abstractmethod
    def watch(self, start_revision: int, read_known_pairs: Callable[[], PairsByKey]) -> None:
        """Watch all changes from `start_revision` on.

        Args:
            start_revision: First revision whose changes are delivered.
            read_known_pairs: Returns the list to which the changes apply.
        """

    @abstractmethod
    def poll_revision(self, requested_at: float) -> None:
        """Read the registry's current revision."""

    @abstractmethod
    def request_progress(self) -> None:
        """Request a notification of the revision up to which the watch has delivered all events."""
