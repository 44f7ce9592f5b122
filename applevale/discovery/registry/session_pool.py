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
    """Opens and closes sessions, whose numbers the caller chooses.

    Attributes:
        settings: Settings of the registry, which new sessions use.
        addresses: Addresses of the members.
        ssl_context: Context for TLS; None for plain TCP.
    """

    def __init__(
        self,
        settings: RegistrySettings,
        session_class: type[Session],
        listener: SessionListener,
        clock: Callable[[], float],
        local_address: str,
    ):
        """Create an empty pool.

        Args:
            settings: Settings of the registry.
            session_class: Class for the kind of registry.
            listener: Receives all responses and the end of each session.
            clock: Monotonic clock, in s.
            local_address: Local address that connections bind to; empty to let the system choose.

        Raises:
            RegistrySettingsError: The addresses or the TLS files are invalid.
        """
        self.session_class = session_class
        self.listener = listener
        self.clock = clock
        self.local_address = local_address
        self._sessions: dict[int, Session] = {}
        self._closing_tasks: set[asyncio.Task] = set()
        self.configure(settings)

    def configure(self, settings: RegistrySettings) -> None:
        """Replace the settings, for new sessions only.

        Raises:
            RegistrySettingsError: The addresses or the TLS files are invalid; nothing has changed.
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
        """Open a session with the member at an index, and begin its handshake."""
        address = self.addresses[member_index]
        target = SessionTarget(address, self.settings, self.ssl_context, self.local_address)
        session = self.session_class(session_id, target, self.listener, self.clock)
        self._sessions[session_id] = session
        session.handshake()

    def close_except(self, open_ids: set[int]) -> None:
        """Begin to close all sessions except those in `open_ids`."""
        for session_id in self._sessions.keys() - open_ids:
            task = asyncio.create_task(self._sessions.pop(session_id).close())
            self._closing_tasks.add(task)
            task.add_done_callback(self._closing_tasks.discard)

    async def close(self) -> None:
        """Close all sessions, and wait until they are closed."""
        self.close_except(set())
        await asyncio.gather(*self._closing_tasks, return_exceptions=True)

    def member_name(self, session_id: int) -> str:
        """Return the address of an open session's member as HOST:PORT."""
        return format_address(self._sessions[session_id].target.address)
