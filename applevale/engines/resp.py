"""The protocol of the engines: commands and replies as RESP arrays of bulk strings.

Only this module knows the bytes on the wire. Nothing here does I/O.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from math import isfinite

import hiredis

CMD_EXECUTE = b"want"
CMD_CANCEL = b"never_mind"
CMD_SET_PRIORITY = b"hurry"
CMD_FETCH_PAGE = b"turn"
CMD_RELEASE_RESULT = b"shut"
CMD_PING = b"there"
CMD_REPORT_LOAD = b"busy"

REPLY_RESULT = b"HIT"  # executed: the first page, and the number of all pages
REPLY_PAGE = b"PART"
REPLY_REJECTED = b"SHED"  # the engine is full; it never executed
REPLY_EXPIRED = b"LATE"  # the request's time was over; it never executed
REPLY_ERROR = b"FAULT"
REPLY_PONG = b"PONG"
REPLY_UNHEALTHY = b"SICK"
REPLY_STATUSES = frozenset(
    (REPLY_RESULT, REPLY_REJECTED, REPLY_ERROR, REPLY_EXPIRED, REPLY_PAGE, REPLY_PONG, REPLY_UNHEALTHY)
)

FIELD_PAGE_COUNT = "sheets"
FIELD_PAGE_NUMBER = "sheet"
FIELD_WORK_MS = "toil"
FIELD_MEMORY_MB = "room"
FIELD_LOAD_REPORT = "rep"

# The settings' names of the columns of a load report, and what engines may call them besides.
REPORT_COLUMN_ALIASES = {
    "active": "inflight",
    "cpu": "util",
    "waiting": "queue",
    "avg_ms": "latency_ms",
    "rps": "qps",
    "err_rps": "eps",
    "memory_used": "x0",
    "disk_busy": "x1",
}
UNREPORTED = -1.0  # stands for a column that a load report leaves out

DEFAULT_PRIORITY = 1  # of an execute command that names none
MAX_REPLY_BYTES = 16_384  # of one reply with its framing; a page has 6,000 at most
MAX_RESULT_PAGES = 64

REPLY_PARTS = 4
_REPLY_HEADER = b"*4\r\n"
_LINE_END = b"\r\n"
_BULK_HEADER = re.compile(rb"\$(\d{1,10})\r\n")
_PARTIAL_BULK_HEADER = re.compile(rb"(?:\$(?:\d{1,10}\r?)?)?")

LoadReport = tuple[float, ...]


class CorruptReplyError(ValueError):
    """An engine sent what is no valid reply; nothing that follows on its connection can be trusted."""


@dataclass(slots=True)
class Reply:
    """One reply of an engine.

    Attributes:
        tag: The id of the request, or the tag of the probe, that it answers.
        status: One of `REPLY_STATUSES`.
        fields: Named values; which ones there are depends on the status.
        body: The rows of one page, or nothing.
    """

    tag: bytes
    status: bytes
    fields: dict[str, str]
    body: bytes

    def page_count(self) -> int:
        """Return the number of pages of the result; raises CorruptReplyError without a valid one."""
        return parse_count(self.fields.get(FIELD_PAGE_COUNT), MAX_RESULT_PAGES)

    def page_number(self, last_page: int) -> int:
        """Return which further page this is, from 1; raises CorruptReplyError beyond `last_page`."""
        return parse_count(self.fields.get(FIELD_PAGE_NUMBER), last_page)

    def has_further_pages(self) -> bool:
        """Return whether the engine keeps more pages; a malformed number counts as none."""
        return parse_figure(self.fields.get(FIELD_PAGE_COUNT)) > 1

    def work_seconds(self) -> float:
        """Return the time on one core that the request took; 0 if the engine does not tell it."""
        return parse_figure(self.fields.get(FIELD_WORK_MS)) / 1000

    def memory_mb(self) -> float:
        """Return the memory that the request needed; 0 if the engine does not tell it."""
        return parse_figure(self.fields.get(FIELD_MEMORY_MB))


class ReplyParser:
    """Splits the bytes of one connection into replies."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.unparsed = bytearray()  # received, and not yet a whole reply
        self._reader = hiredis.Reader()

    def feed(self, data: memoryview) -> None:
        """Add received bytes."""
        self.unparsed += data

    def next_reply(self) -> Reply | None:
        """Return the next reply, or None until it is whole.

        Raises:
            CorruptReplyError: The bytes are no valid reply.
            hiredis.HiredisError: The bytes are no valid RESP.
        """
        end = find_reply_end(self.unparsed)
        if not end:
            return None
        self._reader.feed(self.unparsed, 0, end)
        del self.unparsed[:end]
        return decode_reply(self._reader.gets())


def encode_array(*parts: bytes) -> bytes:
    """Return a RESP array of bulk strings: the form of every command and every reply."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


def encode_execute_fields(
    class_name: str, time_remaining: float, priority: int, idempotency_key: str
) -> bytes:
    """Return the fields of an execute command; `time_remaining` is in seconds, an empty key is left out."""
    fields = f"lane={class_name},ttl={max(1, int(time_remaining * 1000))}"
    if priority != DEFAULT_PRIORITY:
        fields += f",urgency={priority}"
    if idempotency_key:
        fields += f",dedupe={idempotency_key}"
    return fields.encode()


def decode_reply(parts: list[bytes]) -> Reply:
    """Return the reply made of the four strings; raises CorruptReplyError on an unknown status."""
    tag, status, raw_fields, body = parts
    if status not in REPLY_STATUSES:
        raise CorruptReplyError("an unknown status")
    return Reply(tag, status, parse_fields(raw_fields), body)


def find_reply_end(data: bytearray) -> int:
    """Return where the first reply in `data` ends, or 0 until it is whole.

    Guards the RESP parser, which reserves room for as many elements as an array announces and skips what
    follows a string whose length does not fit, so that it would return a truncated string.

    Raises:
        CorruptReplyError: The bytes are not an array of four strings of fitting lengths, or too many.
    """
    if data[:4] != _REPLY_HEADER[: len(data)]:
        raise CorruptReplyError("not a reply")
    position = len(_REPLY_HEADER)
    for _ in range(REPLY_PARTS):
        header = _BULK_HEADER.match(data, position)
        if header is None:
            if _PARTIAL_BULK_HEADER.fullmatch(data, position):
                return 0
            raise CorruptReplyError("not a reply")
        end = header.end() + int(header[1])
        if end > MAX_REPLY_BYTES:
            raise CorruptReplyError(f"a reply of over {MAX_REPLY_BYTES} bytes")
        if data[end : end + 2] != _LINE_END[: max(0, len(data) - end)]:
            raise CorruptReplyError("a length that does not fit")
        if len(data) < end + 2:
            return 0
        position = end + 2
    return position


def parse_fields(raw: bytes) -> dict[str, str]:
    """Return the values of `name=value,name=value`; `-` stands for none, and other forms are left out."""
    pairs = (item.partition("=") for item in raw.decode("latin-1").split(","))
    return {name: value for name, equals, value in pairs if equals}


def parse_figure(text: str | None) -> float:
    """Return a finite number of 0 or more; 0 for anything else."""
    try:
        value = float(text or 0)
    except ValueError:
        return 0.0
    return value if isfinite(value) and value >= 0 else 0.0


def parse_load_report(fields: dict[str, str], columns: tuple[str, ...]) -> LoadReport:
    """Return the load report among the fields in the order of `columns`; empty if there is none.

    A column that the engine does not report is `UNREPORTED`.
    """
    pairs = (item.partition(":") for item in fields.get(FIELD_LOAD_REPORT, "").split(";"))
    reported = {name: value for name, colon, value in pairs if colon}
    if not reported:
        return ()
    values = (reported.get(name, reported.get(REPORT_COLUMN_ALIASES.get(name, ""))) for name in columns)
    return tuple(UNREPORTED if value is None else parse_figure(value) for value in values)


def parse_count(text: str | None, limit: int) -> int:
    """Return a number from 1 to `limit`; raises CorruptReplyError, for a guess could truncate a result."""
    if text is None or not text.isdecimal() or not 1 <= (value := int(text[:9])) <= limit:
        raise CorruptReplyError(f"not a number from 1 to {limit}: {str(text)[:20]!r}")
    return value


def validate_rows(page: bytes) -> None:
    """Raise CorruptReplyError unless the page consists of whole rows of three columns."""
    row_count = page.count(b"\n")
    if page.count(b"\t") != 2 * row_count or (page and not page.endswith(b"\n")):
        raise CorruptReplyError("a page that is not made of whole rows")
