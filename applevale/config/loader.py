"""The environment's variables and the JSON file they name, read into one typed configuration."""

from __future__ import annotations

import ipaddress
import json
import os
import re
from collections.abc import Mapping
from dataclasses import dataclass, replace
from importlib.util import find_spec
from math import isfinite

from .. import api, wire
from ..discovery import control_feed as feed
from ..discovery.endpoints import Change, Names
from ..engines.limits import ConnectionLimits
from ..net.addresses import Address, PeerAddresses

ORDER_GAP = 0.1  # s in which a client has its last row: attempts leave on other sockets, in no set order


class ConfigError(ValueError):
    """Something is missing or makes no sense; the text names its key."""


@dataclass(frozen=True)
class Config:
    name: str
    listen: Address
    feed: Address | None
    seed: int
    sockets: int  # file descriptors that the process may hold
    memory: int  # bytes
    settings: api.Settings
    links: ConnectionLimits
    names: Names
    known: tuple[Change, ...]
    peers: PeerAddresses | None = None  # None: there are none to speak with
    registry: object = None  # settings of a key-value registry; None: the list comes from the feed
    zones: object = None  # the zones file; None: zones make no difference
    control: Address | None = None  # the operators' door; None: there is none
    json_log: bool = False  # events as JSON lines in place of plain ones
    engine_connects: float | None = None  # connections a second to one engine, over the fleet; None: no limit
    membership: float | None = None  # s between two probes of members; None: there is no membership
    local: str = ""  # the local address that outgoing connections bind; empty: the system's choice


def address(text: object, key: str) -> Address:
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdecimal() or not 0 <= int(port) <= 65535:
        raise ConfigError(f"{key}: HOST:PORT is needed, not {text!r}")
    return host, int(port)


def parse_peers(raw: Mapping) -> PeerAddresses | None:
    if raw.get("peer_listen") is None:
        return None
    each = raw.get("peers", [])
    if not isinstance(each, list):
        raise ConfigError(f"peers: a list of HOST:PORT is needed, not {each!r}")
    return PeerAddresses(
        address(raw["peer_listen"], "peer_listen"),
        tuple(address(one, f"peers[{at}]") for at, one in enumerate(each)),
        None if raw.get("peers_all") is None else address(raw["peers_all"], "peers_all"),
    )


def flatten(value: object, path: str = "") -> list[str]:
    """Nested settings as the path=value lines that the simulator's wire carries."""
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


def _named(specs: tuple, told: list, key: str) -> tuple:
    """With the names as the settings have them: the lines of the wire carry no spaces or commas."""
    names = [one.get("name", spec.name) if isinstance(one, dict) else one for spec, one in zip(specs, told)]
    for name in names:
        if names.count(name) > 1:  # guards one's requests against another's rules
            raise ConfigError(f"settings.{key}: two are named {name!r}")
    return tuple(replace(spec, name=str(name)) for spec, name in zip(specs, names))


def _limit(limits: Mapping, key: str, default: float, least: float) -> float:
    value = limits.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value) or value < least:
        raise ConfigError(f"{key}: a number of {least:g} or more is needed, not {value!r}")
    return value


def _section(raw: Mapping, key: str) -> Mapping:
    value = raw.get(key, {})
    if not isinstance(value, dict):
        raise ConfigError(f"{key}: an object is needed, not {value!r}")
    return value


def _registry(raw: Mapping) -> object:
    """The `registry` section; its libraries are loaded only where there is one."""
    if raw.get("registry") is None:
        return None
    if raw.get("feed"):
        raise ConfigError("feed: not together with registry")
    try:
        from ..discovery.registry import settings, source

        found = settings.read_settings(raw["registry"])
        source.session_kind(found.kind)  # all that it needs must be there
        return found
    except ImportError as error:
        raise ConfigError(f"registry: {error.name} is missing: install the extra 'registry'") from None
    except settings.SettingsError as error:
        raise ConfigError(str(error)) from None


def _zones(raw: Mapping, names: Names, settings: api.Settings) -> object:
    """The file that `zones_file` names, checked against the settings; its library is loaded only then."""
    path = raw.get("zones_file")
    if path is None:
        return None
    try:
        from ..zones.settings import ZonesError, read_zones
    except ImportError as error:
        raise ConfigError(f"zones_file: {error.name} is missing: install the extra 'zones'") from None
    try:
        with open(path, "rb") as file:
            return read_zones(file.read(), names.zones, tuple(spec.name for spec in settings.classes))
    except (OSError, TypeError) as error:
        raise ConfigError(f"zones_file: {error}") from None
    except ZonesError as error:
        raise ConfigError(f"zones_file: {error}") from None


def _control(raw: Mapping, environ: Mapping[str, str]) -> Address | None:
    if environ.get("BALANCER_CONTROL"):
        return address(environ["BALANCER_CONTROL"], "BALANCER_CONTROL")
    return address(raw["control"], "control") if raw.get("control") else None


def _engine_connects(raw: Mapping) -> float | None:
    section = _section(raw, "startup")
    for key in section:
        if key != "engine_connects":
            raise ConfigError(f"startup.{key}: unknown")
    return _limit(section, "engine_connects", 0.0, 0.1) if section else None


def _membership(raw: Mapping, peers: PeerAddresses | None, me: int) -> float | None:
    if raw.get("membership") is None:
        return None
    section = _section(raw, "membership")
    for key in section:
        if key != "probe":
            raise ConfigError(f"membership.{key}: unknown")
    if peers is None or not 2 <= len(peers.each) <= 65535:
        raise ConfigError("membership: peer_listen and the addresses of 2 to 65535 peers are needed")
    if me >= len(peers.each):
        raise ConfigError(f"settings.me: {me} is none of the {len(peers.each)} peers")
    return _limit(section, "probe", 0.1, 0.02)


def _local(raw: Mapping) -> str:
    value = raw.get("local_address", "")
    try:
        return str(ipaddress.IPv4Address(value)) if value != "" else ""
    except ValueError:
        raise ConfigError(f"local_address: an IPv4 address is needed, not {value!r}") from None


def _json_log(raw: Mapping, environ: Mapping[str, str]) -> bool:
    form = environ.get("BALANCER_LOG") or raw.get("log", "console")
    if form not in ("console", "json"):
        raise ConfigError(f"log: console or json is needed, not {form!r}")
    if form == "json" and find_spec("structlog") is None:
        raise ConfigError("log: structlog is missing: install the extra 'events'")
    return form == "json"


def parse(raw: object, environ: Mapping[str, str]) -> Config:
    if not isinstance(raw, dict):
        raise ConfigError("BALANCER_CONFIG: an object is needed at the top")
    told = _section(raw, "settings")
    try:
        settings = replace(wire.settings("\n".join(flatten(told))), order_gap=ORDER_GAP)
    except api.SettingsError as error:
        raise ConfigError(f"settings.{error}") from None
    for part, key in (("classes", "classes"), ("kinds", "kinds"), ("tenants", "orgs")):
        if isinstance(told.get(key), list):
            settings = replace(settings, **{part: _named(getattr(settings, part), told[key], key)})
    limits = _section(told, "limits")
    zones = told.get("zones", [])
    names = Names(
        tuple(zones) if isinstance(zones, list) else (str(zones),), tuple(k.name for k in settings.kinds)
    )
    try:
        known = feed.parse_known(raw.get("known", {"n": 0, "events": []}), names)
    except feed.FeedError as error:
        raise ConfigError(f"known: {error}") from None
    peers = parse_peers(raw)
    registry = _registry(raw)
    found_zones = _zones(raw, names, settings)
    try:
        seed = int(str(raw.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError(f"seed: hex digits are needed, not {raw['seed']!r}") from None
    return Config(
        name=environ.get("BALANCER_NAME") or str(raw.get("name", "")),
        listen=address(environ.get("BALANCER_LISTEN") or raw.get("listen"), "listen"),
        feed=address(raw["feed"], "feed") if raw.get("feed") else None,
        seed=seed,
        sockets=int(_limit(_section(raw, "limits"), "sockets", 1024, 64)),
        memory=int(_limit(_section(raw, "limits"), "memory_mb", 192, 16) * 2**20),
        settings=settings,
        links=ConnectionLimits(
            max_attempts=int(_limit(limits, "streams_per_conn", 32, 1)),
            idle_timeout=_limit(limits, "conn_idle", 15 * wire.NS, 1) / wire.NS,
            connect_timeout=_limit(limits, "dial_timeout", 0.25 * wire.NS, 1) / wire.NS,
            handshake_price=_limit(_section(told, "prices"), "handshake", 0.0, 0.0),
            probe_price=settings.probe_price,
            drain_grace=settings.drain_grace,
        ),
        names=names,
        known=known,
        peers=peers,
        registry=registry,
        zones=found_zones,
        control=_control(raw, environ),
        json_log=_json_log(raw, environ),
        engine_connects=_engine_connects(raw),
        membership=_membership(raw, peers, settings.me),
        local=_local(raw),
    )


def load(environ: Mapping[str, str] = os.environ) -> Config:
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG: missing")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"BALANCER_CONFIG: {error}".replace("\n", " ")) from None
    return parse(raw, environ)
