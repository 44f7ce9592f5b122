"""Functions that read and check single values of the configuration."""

from __future__ import annotations

from collections.abc import Mapping
from math import isfinite

from ..net.addresses import Address
from .model import ConfigError

MAX_PORT = 65535


def read_address(text: object, key: str) -> Address:
    """Parse an address in the form HOST:PORT.

    Raises:
        ConfigError: The text is not an address; the message begins with `key`.
    """
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdecimal() or not 0 <= int(port) <= MAX_PORT:
        raise ConfigError(f"{key}: HOST:PORT is needed, not {text!r}")
    return host, int(port)


def read_number(section: Mapping, key: str, default: float, minimum: float) -> float:
    """Return the finite number under `key`.

    Raises:
        ConfigError: The value is not a finite number of at least `minimum`.
    """
    value = section.get(key, default)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not isfinite(value) or value < minimum:
        raise ConfigError(f"{key}: a number of {minimum:g} or more is needed, not {value!r}")
    return value


def read_section(raw: Mapping, key: str) -> Mapping:
    """Return the object under `key`, or an empty one if the key is absent.

    Raises:
        ConfigError: The value is not an object.
    """
    value = raw.get(key, {})
    if not isinstance(value, dict):
        raise ConfigError(f"{key}: an object is needed, not {value!r}")
    return value


def reject_unknown_keys(section: Mapping, name: str, known_key: str) -> None:
    """Check that a section has no key other than `known_key`.

    Raises:
        ConfigError: The section has another key.
    """
    for key in section:
        if key != known_key:
            raise ConfigError(f"{name}.{key}: unknown; the only key here is {known_key}")
