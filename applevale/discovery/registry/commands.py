"""Commands that a registry watcher returns and its driver executes.

A session is a connection to one member of the registry. Sessions are identified by a number that is unique
within one watcher. Times are in seconds on the driver's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from .endpoint_table import TableEntry


@dataclass(frozen=True)
class Connect:
    """Open a session with one member.

    No command closes a session: the driver closes each one that is missing from
    `RegistryWatcher.open_sessions`.

    Attributes:
        session_id: Number of the new session.
        member_index: Index of the member in the list of addresses.
    """

    session_id: int
    member_index: int


@dataclass(frozen=True)
class Handshake:
    """Repeat the first read of a session, which the member throttled.

    Attributes:
        session_id: Number of the session.
    """

    session_id: int


@dataclass(frozen=True)
class ReadAll:
    """Read all keys with their values.

    Attributes:
        session_id: Number of the session.
    """

    session_id: int


@dataclass(frozen=True)
class Watch:
    """Watch all changes from a revision on.

    Attributes:
        session_id: Number of the session.
        start_revision: First revision whose changes are delivered.
    """

    session_id: int
    start_revision: int


@dataclass(frozen=True)
class PollRevision:
    """Read the registry's current revision.

    Attributes:
        session_id: Number of the session.
        sent_at: Time of the request, which is passed back with the response.
    """

    session_id: int
    sent_at: float


@dataclass(frozen=True)
class RequestProgress:
    """Request a progress notification, since the watch is behind a revision that a poll has observed.

    Attributes:
        session_id: Number of the session.
    """

    session_id: int


@dataclass(frozen=True)
class Publish:
    """Publish a change of the endpoint list.

    Attributes:
        entries: The changed entries, or all of them.
        is_snapshot: Whether `entries` replaces the whole list.
    """

    entries: tuple[TableEntry, ...]
    is_snapshot: bool


Command = Connect | Handshake | ReadAll | Watch | PollRevision | RequestProgress | Publish
