"""Functions, each of which reads and checks one section of the configuration.

They raise ConfigError if a value is missing or invalid.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping
from importlib.util import find_spec

from .. import api
from ..discovery.endpoints import AttributeNames
from ..engines.limits import ConnectionLimits
from ..net.addresses import Address, PeerAddresses
from ..simulator_wire.units import NANOSECONDS_PER_SECOND
from .model import ConfigError
from .values import read_address, read_number, read_section, reject_unknown_keys

DEFAULT_MAX_ATTEMPTS_PER_CONNECTION = 32
DEFAULT_IDLE_TIMEOUT_NS = 15 * NANOSECONDS_PER_SECOND
DEFAULT_CONNECT_TIMEOUT_NS = 0.25 * NANOSECONDS_PER_SECOND
MIN_ENGINE_CONNECTS_PER_SECOND = 0.1
MIN_MEMBERS = 2
MAX_MEMBERS = 65535
DEFAULT_PROBE_INTERVAL_SECONDS = 0.1
MIN_PROBE_INTERVAL_SECONDS = 0.02
LOG_FORMATS = ("console", "json")


def read_peers(raw: Mapping) -> PeerAddresses | None:
    """Return the addresses for datagrams between instances, or None without `peer_listen`."""
    if raw.get("peer_listen") is None:
        return None
    peers = raw.get("peers", [])
    if not isinstance(peers, list):
        raise ConfigError(f"peers: a list of HOST:PORT is needed, not {peers!r}")
    broadcast = raw.get("peers_all")
    return PeerAddresses(
        read_address(raw["peer_listen"], "peer_listen"),
        tuple(read_address(peer, f"peers[{index}]") for index, peer in enumerate(peers)),
        None if broadcast is None else read_address(broadcast, "peers_all"),
    )


def read_connection_limits(raw_settings: Mapping, settings: api.Settings) -> ConnectionLimits:
    """Return the limits of connections to engines."""
    limits = read_section(raw_settings, "limits")
    prices = read_section(raw_settings, "prices")
    return ConnectionLimits(
        max_attempts=int(read_number(limits, "streams_per_conn", DEFAULT_MAX_ATTEMPTS_PER_CONNECTION, 1)),
        idle_timeout=read_number(limits, "conn_idle", DEFAULT_IDLE_TIMEOUT_NS, 1) / NANOSECONDS_PER_SECOND,
        connect_timeout=read_number(limits, "dial_timeout", DEFAULT_CONNECT_TIMEOUT_NS, 1)
        / NANOSECONDS_PER_SECOND,
        handshake_cost=read_number(prices, "handshake", 0.0, 0.0),
        probe_price=settings.probe_price,
        drain_grace=settings.drain_grace,
    )


def read_registry(raw: Mapping) -> object:
    """Return the settings of the registry, or None if there is none.

    The registry's libraries are imported only if there is one.
    """
    if raw.get("registry") is None:
        return None
    if raw.get("feed"):
        raise ConfigError("feed: cannot be used together with registry; remove one of the two")
    try:
        from ..discovery.registry import settings, source

        registry = settings.read_settings(raw["registry"])
        source.load_session_class(registry.kind)  # Raises ImportError if a library is missing.
        return registry
    except ImportError as error:
        raise ConfigError(f"registry: {error.name} is missing: install the extra 'registry'") from None
    except settings.RegistrySettingsError as error:
        raise ConfigError(str(error)) from None


def read_zones_file(raw: Mapping, names: AttributeNames, settings: api.Settings) -> object:
    """Return the content of the zones file, or None if none is named.

    The file's library is imported only if one is named.
    """
    path = raw.get("zones_file")
    if path is None:
        return None
    try:
        from ..zones.settings import ZonesError, read_zones
    except ImportError as error:
        raise ConfigError(f"zones_file: {error.name} is missing: install the extra 'zones'") from None
    classes = tuple(spec.name for spec in settings.classes)
    try:
        with open(path, "rb") as file:
            return read_zones(file.read(), names.zones, classes)
    except (OSError, TypeError, ZonesError) as error:
        raise ConfigError(f"zones_file: {error}") from None


def read_admin_address(raw: Mapping, environ: Mapping[str, str]) -> Address | None:
    """Return the address of the admin API, or None if there is none."""
    if environ.get("BALANCER_CONTROL"):
        return read_address(environ["BALANCER_CONTROL"], "BALANCER_CONTROL")
    return read_address(raw["control"], "control") if raw.get("control") else None


def read_engine_connects(raw: Mapping) -> float | None:
    """Return the maximum rate of connects to one engine by the whole fleet, per second; None for no limit."""
    section = read_section(raw, "startup")
    reject_unknown_keys(section, "startup", "engine_connects")
    return read_number(section, "engine_connects", 0.0, MIN_ENGINE_CONNECTS_PER_SECOND) if section else None


def read_membership_interval(raw: Mapping, peers: PeerAddresses | None, me: int) -> float | None:
    """Return the seconds between two membership probes, or None if membership is disabled."""
    if raw.get("membership") is None:
        return None
    section = read_section(raw, "membership")
    reject_unknown_keys(section, "membership", "probe")
    if peers is None or not MIN_MEMBERS <= len(peers.instances) <= MAX_MEMBERS:
        raise ConfigError(
            f"membership: peer_listen and the addresses of {MIN_MEMBERS} to {MAX_MEMBERS} peers are needed"
        )
    if me >= len(peers.instances):
        raise ConfigError(
            f"settings.me: {me} is not the index of a peer; it must be below {len(peers.instances)}"
        )
    return read_number(section, "probe", DEFAULT_PROBE_INTERVAL_SECONDS, MIN_PROBE_INTERVAL_SECONDS)


def read_local_address(raw: Mapping) -> str:
    """Return the source address of outgoing connections, or an empty string for the system's choice."""
    value = raw.get("local_address", "")
    try:
        return str(ipaddress.IPv4Address(value)) if value != "" else ""
    except ValueError:
        raise ConfigError(f"local_address: an IPv4 address is needed, not {value!r}") from None


def read_json_log(raw: Mapping, environ: Mapping[str, str]) -> bool:
    """Return whether the log has JSON lines."""
    log_format = environ.get("BALANCER_LOG") or raw.get("log", "console")
    if log_format not in LOG_FORMATS:
        raise ConfigError(f"log: console or json is needed, not {log_format!r}")
    if log_format == "json" and find_spec("structlog") is None:
        raise ConfigError("log: structlog is missing: install the extra 'events'")
    return log_format == "json"


def read_seed(raw: Mapping) -> int:
    """Return the seed, which is stated in hex digits."""
    try:
        return int(str(raw.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError(f"seed: hex digits are needed, not {raw['seed']!r}") from None
