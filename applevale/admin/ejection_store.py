"""The file through which processes share manual ejections.

An upgrade runs two processes side by side, and a restart leaves the file to the next one. The file is
replaced atomically. A file that cannot be trusted is logged and changes nothing. Whichever process wrote
last, the registries of all processes and the file converge to the same entries.
"""

from __future__ import annotations

import os
from dataclasses import dataclass

from ..observability.events import log_event
from .ejection_codec import EjectionFileError, decode, encode
from .ejections import EjectionEntry, EjectionRegistry


@dataclass(frozen=True)
class FileVersion:
    """What tells one written file from the next at the same path."""

    inode: int
    modified_ns: int
    size: int

    @classmethod
    def of(cls, status: os.stat_result) -> FileVersion:
        """Return the version that a file status shows."""
        return cls(status.st_ino, status.st_mtime_ns, status.st_size)


class EjectionStore:
    """Keeps an ejection registry and its file in step."""

    def __init__(self, path: str, registry: EjectionRegistry) -> None:
        """Create a store for the file at `path`; nothing is read or written yet."""
        self.path = path
        self.registry = registry
        self._known_version: FileVersion | None = None  # of the file that was read or written last

    def refresh(self) -> list[int]:
        """Merge what another process wrote since the last call.

        Returns:
            The engines whose state changes.
        """
        try:
            version = FileVersion.of(os.stat(self.path))
        except OSError:
            return []
        if version == self._known_version:
            return []
        self._known_version = version
        entries = self._read()
        if entries is None:
            return []
        changed = self.registry.merge(entries)
        if entries != self.registry.entries:  # another process replaced entries that it had not read
            self.save()
        return changed

    def set_ejected(self, engine: int, ejected: bool, now: float) -> list[int]:
        """Eject an engine or let it back in, on top of what the file holds by now.

        Args:
            engine: The engine.
            ejected: Whether it is ejected from now on.
            now: Unix time in seconds.

        Returns:
            The engines whose state changes, also by entries of other processes.
        """
        changed = self.refresh()
        if self.registry.set_ejected(engine, ejected, now):
            changed = [other for other in changed if other != engine]
            changed.append(engine)
        self.save()
        return changed

    def save(self) -> None:
        """Replace the file by the entries of the registry; a failure is logged."""
        temporary_path = f"{self.path}.{os.getpid()}"  # one for each process: two may write at once
        try:
            with open(temporary_path, "wb") as file:
                file.write(encode(self.registry.entries))
                file.flush()
                # Of this very file: the path may be another process's in a moment.
                version = FileVersion.of(os.fstat(file.fileno()))
            os.replace(temporary_path, self.path)
        except OSError as error:
            log_event("bans", f"{self.path}: {error}")
            return
        self._known_version = version

    def _read(self) -> dict[int, EjectionEntry] | None:
        try:
            with open(self.path, "rb") as file:
                return decode(file.read())
        except (OSError, EjectionFileError) as error:
            count = len(self.registry.ejected)
            log_event("bans", f"{self.path}: {error}; the ejections of this process stay: {count}")
            return None
