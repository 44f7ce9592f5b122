"""The `settings` object of the configuration, in the path=value lines that the simulator's wire carries."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import replace
from typing import TypeVar

from .. import api
from ..simulator_wire import settings as wire_settings
from .model import ConfigError

# Between an answer and the next request of its key, seconds: attempts leave on other sockets, in no set
# order, so the client must have its last row.
ORDER_GAP_SECONDS = 0.1
# Fields of Settings whose items have names, and the keys under which the file has them.
NAMED_ITEMS = {"classes": "classes", "kinds": "kinds", "tenants": "orgs"}

Spec = TypeVar("Spec", api.ClassSpec, api.KindSpec, api.TenantSpec)


def read_settings(raw: Mapping) -> api.Settings:
    """Return the settings of a deployment.

    Raises:
        ConfigError: A setting is missing or makes no sense.
    """
    try:
        settings = wire_settings.read_settings("\n".join(flatten(raw)))
    except api.SettingsError as error:
        raise ConfigError(f"settings.{error}") from None
    settings = replace(settings, order_gap=ORDER_GAP_SECONDS)
    for field, key in NAMED_ITEMS.items():
        if isinstance(raw.get(key), list):
            named = _with_names(getattr(settings, field), raw[key], key)
            settings = replace(settings, **{field: named})
    return settings


def flatten(value: object, path: str = "") -> list[str]:
    """Return nested settings as path=value lines; a null makes none."""
    if isinstance(value, dict):
        prefix = f"{path}." if path else ""
        return [line for key, item in value.items() for line in flatten(item, prefix + key)]
    if isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        lines = [f"{path}.count={len(value)}"]
        return lines + [line for at, item in enumerate(value) for line in flatten(item, f"{path}.{at}")]
    if isinstance(value, list):
        return [f"{path}={','.join(map(_plain, value))}"]
    return [] if value is None else [f"{path}={_plain(value)}"]


def _plain(value: object) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    return re.sub(r"[\s,]", "_", str(value))


def _with_names(specs: tuple[Spec, ...], raw_items: list, key: str) -> tuple[Spec, ...]:
    """Return the specs under the names of the file: the lines of the wire carry no spaces or commas."""
    names = []
    for spec, item in zip(specs, raw_items):
        names.append(item.get("name", spec.name) if isinstance(item, dict) else item)
    for name in names:
        if names.count(name) > 1:  # one's requests would be handled by another's rules
            raise ConfigError(f"settings.{key}: two are named {name!r}")
    return tuple(replace(spec, name=str(name)) for spec, name in zip(specs, names))
