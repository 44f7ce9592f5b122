"""Reads the `settings` object of the configuration.

The object is flattened to the path=value lines of the simulator's wire protocol, so that both sources of
settings share one parser.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import replace
from typing import TypeVar

from .. import api
from ..simulator_wire import settings as wire_settings
from .model import ConfigError

# The minimum time between a response and the next request with the same order key. Attempts are sent on
# several sockets in no particular order, so the client must have received the last row by then.
ORDER_GAP_SECONDS = 0.1
# Fields of `Settings` whose items have names, and their keys in the file.
NAMED_ITEM_KEYS = {"classes": "classes", "kinds": "kinds", "tenants": "orgs"}

Spec = TypeVar("Spec", api.ClassSpec, api.KindSpec, api.TenantSpec)


def read_settings(raw: Mapping) -> api.Settings:
    """Return the settings of a deployment.

    Raises:
        ConfigError: A setting is missing or invalid.
    """
    try:
        settings = wire_settings.read_settings("\n".join(flatten(raw)))
    except api.SettingsError as error:
        raise ConfigError(f"settings.{error}") from None
    settings = replace(settings, order_gap=ORDER_GAP_SECONDS)
    for field, key in NAMED_ITEM_KEYS.items():
        if isinstance(raw.get(key), list):
            specs = _restore_names(getattr(settings, field), raw[key], key)
            settings = replace(settings, **{field: specs})
    return settings


def flatten(value: object, path: str = "") -> list[str]:
    """Return nested settings as path=value lines; a null value has no line."""
    if isinstance(value, dict):
        prefix = f"{path}." if path else ""
        return [line for key, item in value.items() for line in flatten(item, prefix + key)]
    if isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        lines = [f"{path}.count={len(value)}"]
        return lines + [line for index, item in enumerate(value) for line in flatten(item, f"{path}.{index}")]
    if isinstance(value, list):
        return [f"{path}={','.join(map(_format_value, value))}"]
    return [] if value is None else [f"{path}={_format_value(value)}"]


def _format_value(value: object) -> str:
    """Return a value as text; whitespace and commas, which lines cannot contain, become underscores."""
    if isinstance(value, bool):
        return str(value).lower()
    return re.sub(r"[\s,]", "_", str(value))


def _restore_names(specs: tuple[Spec, ...], raw_items: list, key: str) -> tuple[Spec, ...]:
    """Return the specs with their names from the file; path=value lines cannot contain spaces or commas.

    Raises:
        ConfigError: Two items have the same name; a request could get the rules of the wrong one.
    """
    names = []
    for spec, item in zip(specs, raw_items):
        names.append(item.get("name", spec.name) if isinstance(item, dict) else item)
    for name in names:
        if names.count(name) > 1:
            raise ConfigError(f"settings.{key}: the name {name!r} occurs twice; names must be unique")
    return tuple(replace(spec, name=str(name)) for spec, name in zip(specs, names))
