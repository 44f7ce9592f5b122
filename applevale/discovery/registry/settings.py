"""The `registry` section of the configuration."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from ...errors import AppleValeError

MAX_PORT = 65535

HoldSeconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
FreshnessSeconds = Annotated[float, msgspec.Meta(ge=0.1, le=60)]
AddressList = Annotated[list[str], msgspec.Meta(min_length=1, max_length=16)]
KeyPrefix = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class RegistrySettingsError(AppleValeError, ValueError):
    """A setting that is missing or makes no sense.

    Attributes:
        key: The setting's key, with those of the sections around it.
        reason: What is wrong with it.
    """

    def __init__(self, key: str, reason: str):
        """Build the error of one setting."""
        super().__init__(key, reason)
        self.key = key
        self.reason = reason

    def __str__(self) -> str:
        """Return both in one line."""
        return f"{self.key}: {self.reason}"


class TlsSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Paths of PEM files.

    Attributes:
        ca: Certificates of the authorities that are trusted.
        cert: The client's certificate; empty for none.
        key: The key of that certificate.
    """

    ca: str
    cert: str = ""
    key: str = ""


class RegistrySettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Where the registry is, how to log in, and how fresh its list has to be. Field names are the keys.

    Attributes:
        kind: The protocol.
        addresses: HOST:PORT of each member, tried in turn.
        prefix: The prefix of the keys that hold engines.
        on_stale: Whether new work is held, or served, while the list is not confirmed.
        hold: Time for which new work is held before it is rejected, in s.
        fresh: Staleness up to which the list counts as confirmed, in s.
        user: User of etcd; empty for none.
        password: The user's password.
        token: Token of Consul or etcd; empty for none.
        tls: Files for TLS; None for plain TCP.
        snapshot: Directory of the snapshot store; empty for none.
    """

    kind: Literal["etcd", "consul"]
    addresses: AddressList
    prefix: KeyPrefix = "applevale/engines/"
    on_stale: Literal["hold", "serve"] = "hold"
    hold: HoldSeconds = 2.0
    fresh: FreshnessSeconds = 0.35
    user: str = ""
    password: str = ""
    token: str = ""
    tls: TlsSettings | None = None
    snapshot: str = ""

    def member_addresses(self) -> list[tuple[str, int]]:
        """Return host and port of each member.

        Raises:
            RegistrySettingsError: An address is not HOST:PORT.
        """
        return [_parse_address(index, text) for index, text in enumerate(self.addresses)]


def _parse_address(index: int, text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise RegistrySettingsError(f"registry.addresses[{index}]", f"HOST:PORT is needed, not {text[:60]!r}")
    return host.strip("[]"), int(port)


def read_settings(raw: object) -> RegistrySettings:
    """Return the settings of a `registry` section.

    Raises:
        RegistrySettingsError: A setting can't be used.
    """
    try:
        settings = msgspec.convert(raw, RegistrySettings)
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at `$")
        raise RegistrySettingsError(f"registry{place.rstrip('`')}", text) from None
    settings.member_addresses()
    if bool(settings.user) != bool(settings.password):
        raise RegistrySettingsError("registry.password", "user and password go together")
    if settings.tls and bool(settings.tls.cert) != bool(settings.tls.key):
        raise RegistrySettingsError("registry.tls.key", "cert and key go together")
    return settings
