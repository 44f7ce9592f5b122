"""The file through which processes share manual ejections.

The file connects the two processes of an upgrade, and outlives a restart. It is replaced atomically. An
invalid file is logged and changes nothing. In whatever order processes write, the file and the registries of
all processes converge to the same entries.
"""

from __future__ import annotations

import os
from dataclasses import dataclass

from ..observability.events import log_event
from .ejection_codec import EjectionFileError, decode, encode
from .ejections import EjectionEntry, EjectionRegistry


@dataclass(frozen=True)
class FileVersion:
    """Identifies one state of the file: every write results in another version."""

    inode: int
    modified_ns: int
    size: int

    @classmethod
    def of(cls, status: os.stat_result) -> FileVersion:
        """Return the version of the file that has this status."""
        return cls(status.st_ino, status.st_mtime_ns, status.st_size)


class EjectionStore:
    """Synchronizes an ejection registry with its file."""

    def __init__(self, path: str, registry: EjectionRegistry) -> None:
        """Create a store for the file at `path`; nothing is read or written yet."""
        self.path = path
        self.registry = registry
        self._known_version: FileVersion | None = None  # the version that was read or written last

    def refresh(self) -> list[int]:
        """Merge the entries that another process has written since the last call.

        Returns:
            The engines whose state has changed.
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
        if entries != self.registry.entries:  # another process has overwritten entries without reading them
            self.save()
        return changed

    def set_ejected(self, engine: int, ejected: bool, now: float) -> list[int]:
        """Eject an engine or end its ejection, after merging the present content of the file.

        Args:
            engine: The engine.
            ejected: Whether it is ejected from now on.
            now: Unix time in seconds.

        Returns:
            The engines whose state has changed, including changes by other processes.
        """
        changed = self.refresh()
        if self.registry.set_ejected(engine, ejected, now):
            changed = [other for other in changed if other != engine]
            changed.append(engine)
        self.save()
        return changed

    def save(self) -> None:
        """Replace the file by the entries of the registry; log a failure."""
        temporary_path = f"{self.path}.{os.getpid()}"  # unique, because two processes may write at once
        try:
            with open(temporary_path, "wb") as file:
                file.write(encode(self.registry.entries))
                file.flush()
                # Not `os.stat` of the path: another process may replace the file there at any time.
                version = FileVersion.of(os.fstat(file.fileno()))
            os.replace(temporary_path, self.path)
        except OSError as error:
            log_event("ejection", f"cannot write the ejections to {self.path}: {error}")
            return
        self._known_version = version

    def _read(self) -> dict[int, EjectionEntry] | None:
        try:
            with open(self.path, "rb") as file:
                return decode(file.read())
        except (OSError, EjectionFileError) as error:
            count = len(self.registry.ejected)
            log_event(
                "ejection", f"cannot read {self.path}: {error}; this process keeps its {count} ejections"
            )
            return None
