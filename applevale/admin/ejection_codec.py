"""The file format of manual ejections: JSON with a checksum.

A file is either decoded completely or rejected. The module does no I/O.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from math import isfinite

from ..discovery.endpoints import format_instance_id, parse_instance_id
from .ejections import EjectionEntry

FORMAT_VERSION = 2
MAX_QUOTED_CHARACTERS = 40  # longer values are truncated in error messages


class EjectionFileError(ValueError):
    """The data is truncated or altered, or has an unsupported format version."""


def encode(entries: Mapping[int, EjectionEntry]) -> bytes:
    """Return the content of a file with these entries."""
    stored_entries = {
        format_instance_id(engine): [entry.updated_at, entry.ejected]
        for engine, entry in sorted(entries.items())
    }
    body = json.dumps({"form": FORMAT_VERSION, "words": stored_entries}, separators=(",", ":"))
    return json.dumps({"body": body, "sha256": _checksum(body)}).encode() + b"\n"


def decode(data: bytes) -> dict[int, EjectionEntry]:
    """Return the entries in the content of a file.

    Raises:
        EjectionFileError: The content is invalid; the message names the cause.
    """
    try:
        return _decode_document(json.loads(data))
    except EjectionFileError:
        raise
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise EjectionFileError(f"not an ejection file: {type(error).__name__}: {error}") from None


def _checksum(body: str) -> str:
    return hashlib.sha256(body.encode()).hexdigest()


def _decode_document(document: dict) -> dict[int, EjectionEntry]:
    body = document["body"]
    if _checksum(body) != document["sha256"]:
        raise EjectionFileError("sha256: does not match; the file is truncated or was altered")
    content = json.loads(body)
    if content["form"] != FORMAT_VERSION:
        raise EjectionFileError(f"form: version {FORMAT_VERSION} is needed, not {content['form']!r}")
    entries = {}
    for name, fields in content["words"].items():
        engine = parse_instance_id(name)
        entries[engine] = _decode_entry(*fields)
    return entries


def _decode_entry(updated_at: object, ejected: object) -> EjectionEntry:
    is_time = isinstance(updated_at, float | int) and isfinite(updated_at)
    if not is_time or not isinstance(ejected, bool):
        quoted = str([updated_at, ejected])[:MAX_QUOTED_CHARACTERS]
        raise ValueError(f"words: a pair of time and flag is needed, not {quoted}")
    return EjectionEntry(float(updated_at), ejected)
