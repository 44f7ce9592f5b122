"""The open sessions of a registry source."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ...net.addresses import format_address
from .session import Session, SessionListener, SessionTarget
from .settings import RegistrySettings
from .tls import create_ssl_context

ALPN_PROTOCOLS = {"etcd": "h2", "consul": "http/1.1"}


class SessionPool:
    """Opens and closes sessions; their numbers are chosen by the caller.

    Attributes:
        settings: The registry's settings, which new sessions use.
        addresses: The members' addresses.
    """

    def __init__(
        self,
        settings: RegistrySettings,
        session_class: type[Session],
        listener: SessionListener,
        clock: Callable[[], float],
        local_address: str,
    ):
        """Build an empty pool; raises as `configure` does."""
        self.session_class = session_class
        self.listener = listener
        self.clock = clock
        self.local_address = local_address
        self._sessions: dict[int, Session] = {}
        self._closing_tasks: set[asyncio.Task] = set()
        self.configure(settings)

    def configure(self, settings: RegistrySettings) -> None:
        """Use other settings for new sessions.

        Raises:
            RegistrySettingsError: The addresses or the TLS files can't be used; nothing has changed.
        """
        addresses = settings.member_addresses()
        ssl_context = create_ssl_context(settings.tls, ALPN_PROTOCOLS[settings.kind])
        self.settings = settings
        self.addresses = addresses
        self.ssl_context = ssl_context

    def __contains__(self, session_id: int) -> bool:
        """Return whether a session is open."""
        return session_id in self._sessions

    def __getitem__(self, session_id: int) -> Session:
        """Return an open session."""
        return self._sessions[session_id]

    def open(self, session_id: int, member_index: int) -> None:
        """Open a session with one of the members and begin its handshake."""
        address = self.addresses[member_index]
        target = SessionTarget(address, self.settings, self.ssl_context, self.local_address)
        session = self.session_class(session_id, target, self.listener, self.clock)
        self._sessions[session_id] = session
        session.handshake()

    def close_except(self, open_ids: set[int]) -> None:
        """Begin to close all sessions but those."""
        for session_id in self._sessions.keys() - open_ids:
            task = asyncio.create_task(self._sessions.pop(session_id).close())
            self._closing_tasks.add(task)
            task.add_done_callback(self._closing_tasks.discard)

    async def close(self) -> None:
        """Close all sessions, and wait for those that are being closed."""
        self.close_except(set())
        await asyncio.gather(*self._closing_tasks, return_exceptions=True)

    def member_name(self, session_id: int) -> str:
        """Return HOST:PORT of an open session's member."""
        return format_address(self._sessions[session_id].target.address)
