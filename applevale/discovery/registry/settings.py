"""The `registry` section of the configuration."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from ...errors import AppleValeError

MAX_PORT = 65535
MAX_QUOTED_ADDRESS_LENGTH = 60

HoldSeconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
FreshnessSeconds = Annotated[float, msgspec.Meta(ge=0.1, le=60)]
AddressList = Annotated[list[str], msgspec.Meta(min_length=1, max_length=16)]
KeyPrefix = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class RegistrySettingsError(AppleValeError, ValueError):
    """A setting of the registry is missing or invalid.

    Attributes:
        key: Full key of the setting, including its sections.
        reason: Why the setting is invalid.
    """

    def __init__(self, key: str, reason: str):
        """Create the error for one setting."""
        super().__init__(key, reason)
        self.key = key
        self.reason = reason

    def __str__(self) -> str:
        """Return key and reason in one line."""
        return f"{self.key}: {self.reason}"


class TlsSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Paths of PEM files for TLS.

    Attributes:
        ca: Certificates of the trusted authorities.
        cert: Client certificate; empty for none.
        key: Private key of the client certificate.
    """

    ca: str
    cert: str = ""
    key: str = ""


class RegistrySettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Addresses and credentials of the registry, and how fresh its list has to be.

    Each field has the name of its key in the configuration.

    Attributes:
        kind: Protocol of the registry.
        addresses: HOST:PORT of each member. The members are tried in turn.
        prefix: Prefix of the keys that hold engine records.
        on_stale: Whether new requests are held or served while the list is not confirmed.
        hold: Time for which a new request is held before it is rejected, in s.
        fresh: Staleness up to which the list counts as confirmed, in s.
        user: User name for etcd; empty for none.
        password: Password of that user.
        token: Access token for Consul or etcd; empty for none.
        tls: Paths of the certificates; None for plain TCP.
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
        """Return the host and port of each member.

        Raises:
            RegistrySettingsError: An address is not HOST:PORT.
        """
        return [_parse_address(index, text) for index, text in enumerate(self.addresses)]


def _parse_address(index: int, text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise RegistrySettingsError(
            f"registry.addresses[{index}]", f"HOST:PORT is needed, not {text[:MAX_QUOTED_ADDRESS_LENGTH]!r}"
        )
    return host.strip("[]"), int(port)


def read_settings(raw: object) -> RegistrySettings:
    """Parse and check a `registry` section.

    Raises:
        RegistrySettingsError: A setting is missing or invalid.
    """
    try:
        settings = msgspec.convert(raw, RegistrySettings)
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at `$")
        raise RegistrySettingsError(f"registry{place.rstrip('`')}", text) from None
    settings.member_addresses()
    if bool(settings.user) != bool(settings.password):
        raise RegistrySettingsError("registry.password", "user and password must be set together")
    if settings.tls and bool(settings.tls.cert) != bool(settings.tls.key):
        raise RegistrySettingsError("registry.tls.key", "cert and key must be set together")
    return settings
