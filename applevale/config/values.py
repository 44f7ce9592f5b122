"""Checked values of the configuration file."""

from __future__ import annotations

from collections.abc import Mapping
from math import isfinite

from ..net.addresses import Address
from .model import ConfigError

MAX_PORT = 65535


def read_address(text: object, key: str) -> Address:
    """Return the address that HOST:PORT names.

    Raises:
        ConfigError: The text is none; it names `key`.
    """
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdecimal() or not 0 <= int(port) <= MAX_PORT:
        raise ConfigError(f"{key}: HOST:PORT is needed, not {text!r}")
    return host, int(port)


def read_number(section: Mapping, key: str, default: float, minimum: float) -> float:
    """Return the finite number under `key`, at least `minimum`.

    Raises:
        ConfigError: There is something else.
    """
    value = section.get(key, default)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not isfinite(value) or value < minimum:
        raise ConfigError(f"{key}: a number of {minimum:g} or more is needed, not {value!r}")
    return value


def read_section(raw: Mapping, key: str) -> Mapping:
    """Return the object under `key`, empty if there is none.

    Raises:
        ConfigError: There is something else.
    """
    value = raw.get(key, {})
    if not isinstance(value, dict):
        raise ConfigError(f"{key}: an object is needed, not {value!r}")
    return value


def reject_unknown_keys(section: Mapping, name: str, known_key: str) -> None:
    """Check that a section has no key but one.

    Raises:
        ConfigError: It has another.
    """
    for key in section:
        if key != known_key:
            raise ConfigError(f"{name}.{key}: unknown")
