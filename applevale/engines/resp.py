"""The engine protocol: commands and replies as RESP arrays of bulk strings.

This module alone defines the bytes on the wire. It does no I/O.
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

REPLY_RESULT = b"HIT"  # the request was executed; carries the first page and the number of pages
REPLY_PAGE = b"PART"
REPLY_REJECTED = b"SHED"  # the engine is at capacity; the request was not executed
REPLY_EXPIRED = b"LATE"  # the time to live has expired; the request was not executed
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

# Columns of a load report by their names in the settings, with the other name that engines may use.
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
UNREPORTED = -1.0  # value of a column that is missing from a load report

DEFAULT_PRIORITY = 1  # the priority if an execute command has no priority field
MAX_REPLY_BYTES = 16_384  # one reply including its framing; a page has at most 6,000 bytes
MAX_RESULT_PAGES = 64
MAX_INTEGER_DIGITS = 9  # further digits are ignored, since the number is out of range anyway

REPLY_PART_COUNT = 4  # tag, status, fields, body
_REPLY_HEADER = b"*4\r\n"
_LINE_END = b"\r\n"
_BULK_HEADER = re.compile(rb"\$(\d{1,10})\r\n")
_PARTIAL_BULK_HEADER = re.compile(rb"(?:\$(?:\d{1,10}\r?)?)?")

LoadReport = tuple[float, ...]


class CorruptReplyError(ValueError):
    """An engine sent an invalid reply; further bytes on the connection cannot be trusted."""


@dataclass(slots=True)
class Reply:
    """A reply of an engine.

    Attributes:
        tag: Request id of the attempt, or tag of the probe, that it belongs to.
        status: One of `REPLY_STATUSES`.
        fields: Values by field name; the status determines which fields there are.
        body: The rows of one page, or empty.
    """

    tag: bytes
    status: bytes
    fields: dict[str, str]
    body: bytes

    def page_count(self) -> int:
        """Return the number of pages of the result; raises CorruptReplyError if it is invalid."""
        return parse_bounded_integer(self.fields.get(FIELD_PAGE_COUNT), MAX_RESULT_PAGES)

    def page_number(self, last_page: int) -> int:
        """Return the index of this page, from 1; raises CorruptReplyError if it is above `last_page`."""
        return parse_bounded_integer(self.fields.get(FIELD_PAGE_NUMBER), last_page)

    def has_further_pages(self) -> bool:
        """Return whether the engine holds further pages; an invalid page count means that it does not."""
        return parse_number(self.fields.get(FIELD_PAGE_COUNT)) > 1

    def work_seconds(self) -> float:
        """Return the work of the execution in core-seconds; 0 if it is not reported."""
        return parse_number(self.fields.get(FIELD_WORK_MS)) / 1000

    def memory_mb(self) -> float:
        """Return the memory used by the execution, in MB; 0 if it is not reported."""
        return parse_number(self.fields.get(FIELD_MEMORY_MB))


class ReplyParser:
    """Splits the bytes received on one connection into replies.

    Attributes:
        unparsed: Received bytes that do not form a complete reply yet.
    """

    def __init__(self) -> None:
        """Create a parser with an empty buffer."""
        self.unparsed = bytearray()
        self._reader = hiredis.Reader()

    def feed(self, data: memoryview) -> None:
        """Add received bytes."""
        self.unparsed += data

    def next_reply(self) -> Reply | None:
        """Return the next reply, or None if it is incomplete.

        Raises:
            CorruptReplyError: The bytes are not a valid reply.
            hiredis.HiredisError: The bytes are not valid RESP.
        """
        end = find_reply_end(self.unparsed)
        if not end:
            return None
        self._reader.feed(self.unparsed, 0, end)
        del self.unparsed[:end]
        return decode_reply(self._reader.gets())


def encode_array(*parts: bytes) -> bytes:
    """Return a RESP array of bulk strings, the encoding of every command and reply."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


def encode_execute_fields(
    class_name: str, time_remaining: float, priority: int, idempotency_key: str
) -> bytes:
    """Return the fields of an execute command.

    Args:
        class_name: Name of the request class.
        time_remaining: Time to live of the attempt in seconds.
        priority: Priority from 0 to 3.
        idempotency_key: Idempotency key; empty for none.
    """
    fields = f"lane={class_name},ttl={max(1, int(time_remaining * 1000))}"
    if priority != DEFAULT_PRIORITY:
        fields += f",urgency={priority}"
    if idempotency_key:
        fields += f",dedupe={idempotency_key}"
    return fields.encode()


def decode_reply(parts: list[bytes]) -> Reply:
    """Return the reply that consists of four strings; raises CorruptReplyError if the status is unknown."""
    tag, status, raw_fields, body = parts
    if status not in REPLY_STATUSES:
        raise CorruptReplyError(f"status: unknown value {status[:20]!r}")
    return Reply(tag, status, parse_fields(raw_fields), body)


def find_reply_end(data: bytearray) -> int:
    """Return the position of the end of the first reply in `data`, or 0 if it is incomplete.

    The framing is checked here because the RESP parser trusts it. The parser allocates memory for as many
    elements as an array announces, and returns a truncated string if the announced length is too small.

    Raises:
        CorruptReplyError: The bytes are not an array of four strings, or exceed MAX_REPLY_BYTES.
    """
    if data[:4] != _REPLY_HEADER[: len(data)]:
        raise CorruptReplyError(f"reply: an array of {REPLY_PART_COUNT} strings expected")
    position = len(_REPLY_HEADER)
    for _ in range(REPLY_PART_COUNT):
        header = _BULK_HEADER.match(data, position)
        if header is None:
            if _PARTIAL_BULK_HEADER.fullmatch(data, position):
                return 0
            raise CorruptReplyError("reply: the length of a string expected")
        end = header.end() + int(header[1])
        if end > MAX_REPLY_BYTES:
            raise CorruptReplyError(f"reply: over the limit of {MAX_REPLY_BYTES} bytes")
        if data[end : end + 2] != _LINE_END[: max(0, len(data) - end)]:
            raise CorruptReplyError("reply: no line end after a string of the announced length")
        if len(data) < end + 2:
            return 0
        position = end + 2
    return position


def parse_fields(raw: bytes) -> dict[str, str]:
    """Return the values of `name=value,name=value` by name; items without `=`, such as `-`, are ignored."""
    pairs = (item.partition("=") for item in raw.decode("latin-1").split(","))
    return {name: value for name, equals, value in pairs if equals}


def parse_number(text: str | None) -> float:
    """Return a finite number of 0 or more; 0 for any other text."""
    try:
        value = float(text or 0)
    except ValueError:
        return 0.0
    return value if isfinite(value) and value >= 0 else 0.0


def parse_load_report(fields: dict[str, str], columns: tuple[str, ...]) -> LoadReport:
    """Return the load report in the fields, or an empty one if there is none.

    The values are in the order of `columns`; that of a missing column is `UNREPORTED`.
    """
    pairs = (item.partition(":") for item in fields.get(FIELD_LOAD_REPORT, "").split(";"))
    reported = {name: value for name, colon, value in pairs if colon}
    if not reported:
        return ()
    values = (reported.get(name, reported.get(REPORT_COLUMN_ALIASES.get(name, ""))) for name in columns)
    return tuple(UNREPORTED if value is None else parse_number(value) for value in values)


def parse_bounded_integer(text: str | None, limit: int) -> int:
    """Return an integer from 1 to `limit`.

    Raises:
        CorruptReplyError: The text is anything else. A default in its place could truncate a result.
    """
    is_decimal = text is not None and text.isdecimal()
    value = int(text[:MAX_INTEGER_DIGITS]) if is_decimal else 0
    if not 1 <= value <= limit:
        raise CorruptReplyError(f"page number or page count: 1 to {limit} expected, not {str(text)[:20]!r}")
    return value


def validate_rows(page: bytes) -> None:
    """Raise CorruptReplyError unless the page consists of complete rows of three columns."""
    row_count = page.count(b"\n")
    if page.count(b"\t") != 2 * row_count or (page and not page.endswith(b"\n")):
        raise CorruptReplyError("page: complete rows of three columns expected")
