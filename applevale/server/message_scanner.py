"""Finds the ends of MessagePack messages in a stream without building their values.

A decoder that builds values while a message arrives holds many times the bytes that it has received: an
empty map is one byte on the wire and 72 bytes in memory, and the header of a list reserves a slot for each
item that it announces. The scanner keeps three integers for each stream instead, and checks the limits on a
message as soon as its headers announce more. The module does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_MESSAGE_BYTES = 256 * 1024
MAX_CONTAINER_ITEMS = 64  # elements of one array, or pairs of one map
MAX_MESSAGE_ITEMS = 256  # values of one message at all levels of nesting; a request has at most 135


class MessageLimitError(ValueError):
    """A message is not MessagePack, or exceeds a limit."""


@dataclass(frozen=True, slots=True)
class ItemFormat:
    """The encoding of one value, as its first byte tells it.

    Attributes:
        size: Bytes of the value without the part whose length its length field gives.
        length_bytes: Bytes of the length field, right after the first byte; 0 if there is none.
        values_per_entry: For a container, the values that follow for each of its entries; otherwise 0.
        entries: Number of entries of a container without a length field.
    """

    size: int
    length_bytes: int = 0
    values_per_entry: int = 0
    entries: int = 0


_ARRAY = 1  # values for each entry
_MAP = 2


def _item_formats() -> tuple[ItemFormat | None, ...]:
    """Return the format for each first byte, None for the one that is not used."""
    formats: list[ItemFormat | None] = [ItemFormat(1)] * 256
    for length in range(16):
        formats[0x80 + length] = ItemFormat(1, 0, _MAP, length)
        formats[0x90 + length] = ItemFormat(1, 0, _ARRAY, length)
    for length in range(32):  # strings
        formats[0xA0 + length] = ItemFormat(1 + length)
    formats[0xC1] = None
    for exponent, length_bytes in enumerate((1, 2, 4)):
        formats[0xC4 + exponent] = ItemFormat(1 + length_bytes, length_bytes)  # binary data
        formats[0xC7 + exponent] = ItemFormat(2 + length_bytes, length_bytes)  # extension
        formats[0xD9 + exponent] = ItemFormat(1 + length_bytes, length_bytes)  # string
    for first_byte, number_bytes in ((0xCA, 4), (0xCB, 8)):  # floating point numbers
        formats[first_byte] = ItemFormat(1 + number_bytes)
    for exponent in range(4):  # unsigned and signed integers
        formats[0xCC + exponent] = ItemFormat(1 + 2**exponent)
        formats[0xD0 + exponent] = ItemFormat(1 + 2**exponent)
    for exponent in range(5):  # extensions of a fixed length
        formats[0xD4 + exponent] = ItemFormat(2 + 2**exponent)
    for exponent, length_bytes in enumerate((2, 4)):
        formats[0xDC + exponent] = ItemFormat(1 + length_bytes, length_bytes, _ARRAY)
        formats[0xDE + exponent] = ItemFormat(1 + length_bytes, length_bytes, _MAP)
    return tuple(formats)


_FORMATS = _item_formats()
# Bytes of a value by its first byte; 0 for a container, or where a length field tells.
_FIXED_SIZES = tuple(
    0 if item is None or item.length_bytes or item.values_per_entry else item.size for item in _FORMATS
)


class MessageScanner:
    """Finds the end of one message, which may arrive in any pieces."""

    def __init__(self) -> None:
        """Create a scanner for a message of which nothing has been scanned."""
        self._position = 0  # offset of the next value, or past the received bytes
        self._values_left = 1  # values that must follow to complete the message
        self._values = 1

    def find_end(self, data: bytearray) -> int:
        """Return the length of the message at the start of `data`; 0 if it is not complete.

        Args:
            data: All bytes received of the message; a further call must pass the same bytes and more.

        Raises:
            MessageLimitError: The message is not MessagePack, or exceeds a limit.
        """
        size = len(data)
        while self._values_left and self._position < size:
            first_byte = data[self._position]
            if fixed_size := _FIXED_SIZES[first_byte]:
                self._position += fixed_size
                self._values_left -= 1
            elif not self._scan_value(first_byte, data):
                return 0
        if self._position > MAX_MESSAGE_BYTES:
            raise MessageLimitError(f"message: over the limit of {MAX_MESSAGE_BYTES} bytes")
        is_complete = not self._values_left and self._position <= size
        return self._position if is_complete else 0

    def _scan_value(self, first_byte: int, data: bytearray) -> bool:
        """Move past one value, into a container; return False if its length has not arrived yet."""
        item = _FORMATS[first_byte]
        if item is None:
            raise MessageLimitError("message: MessagePack expected, not a value that begins with 0xc1")
        length = item.entries
        if item.length_bytes:
            start = self._position + 1
            end = start + item.length_bytes
            if end > len(data):
                return False
            length = int.from_bytes(data[start:end], "big")
        self._values_left -= 1
        self._position += item.size
        if item.values_per_entry:
            self._enter_container(length, item.values_per_entry)
        else:
            self._position += length
        return True

    def _enter_container(self, entries: int, values_per_entry: int) -> None:
        if entries > MAX_CONTAINER_ITEMS:
            raise MessageLimitError(
                f"message: over the limit of {MAX_CONTAINER_ITEMS} items of a list or map"
            )
        self._values += entries * values_per_entry
        self._values_left += entries * values_per_entry
        if self._values > MAX_MESSAGE_ITEMS:
            raise MessageLimitError(f"message: over the limit of {MAX_MESSAGE_ITEMS} values in all")
