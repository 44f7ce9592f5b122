"""Reads the configuration from a JSON file and from environment variables, which take precedence."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping

from .. import api
from ..discovery import feed_codec
from ..discovery.endpoints import AttributeNames, EndpointUpdate
from . import sections
from .model import Config, ConfigError
from .settings_lines import read_settings
from .values import read_address, read_number, read_section

DEFAULT_SOCKETS = 1024
MIN_SOCKETS = 64
DEFAULT_MEMORY_MB = 192
MIN_MEMORY_MB = 16
BYTES_PER_MB = 2**20


def load_config(environ: Mapping[str, str] = os.environ) -> Config:
    """Read the JSON file at the path in `BALANCER_CONFIG`, and return the configuration.

    Raises:
        ConfigError: The configuration is invalid; the message is one line that names the key.
    """
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG: missing; the path of the JSON configuration is needed")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"BALANCER_CONFIG: {error}".replace("\n", " ")) from None
    return parse_config(raw, environ)


def parse_config(raw: object, environ: Mapping[str, str]) -> Config:
    """Return the configuration that a decoded JSON file and the environment describe.

    Raises:
        ConfigError: The configuration is invalid; the message is one line that names the key.
    """
    if not isinstance(raw, dict):
        raise ConfigError("BALANCER_CONFIG: a JSON object is needed at the top level")
    raw_settings = read_section(raw, "settings")
    settings = read_settings(raw_settings)
    names = _read_names(raw_settings, settings)
    known = _read_known_endpoints(raw, names)
    peers = sections.read_peers(raw)
    registry = sections.read_registry(raw)
    zones = sections.read_zones_file(raw, names, settings)
    limits = read_section(raw, "limits")
    return Config(
        seed=sections.read_seed(raw),
        name=environ.get("BALANCER_NAME") or str(raw.get("name", "")),
        listen_address=read_address(environ.get("BALANCER_LISTEN") or raw.get("listen"), "listen"),
        feed_address=read_address(raw["feed"], "feed") if raw.get("feed") else None,
        max_descriptors=int(read_number(limits, "sockets", DEFAULT_SOCKETS, MIN_SOCKETS)),
        memory_bytes=int(read_number(limits, "memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB) * BYTES_PER_MB),
        settings=settings,
        connection_limits=sections.read_connection_limits(raw_settings, settings),
        attribute_names=names,
        known_updates=known,
        peers=peers,
        registry=registry,
        zones=zones,
        admin_address=sections.read_admin_address(raw, environ),
        json_log=sections.read_json_log(raw, environ),
        engine_connects_per_second=sections.read_engine_connects(raw),
        membership_probe_interval=sections.read_membership_interval(raw, peers, settings.me),
        local_address=sections.read_local_address(raw),
    )


def _read_names(raw_settings: Mapping, settings: api.Settings) -> AttributeNames:
    zones = raw_settings.get("zones", [])
    zone_names = tuple(zones) if isinstance(zones, list) else (str(zones),)
    return AttributeNames(zone_names, tuple(kind.name for kind in settings.kinds))


def _read_known_endpoints(raw: Mapping, names: AttributeNames) -> tuple[EndpointUpdate, ...]:
    try:
        return feed_codec.parse_known_updates(raw.get("known", {"n": 0, "events": []}), names)
    except feed_codec.FeedError as error:
        raise ConfigError(f"known: {error}") from None
