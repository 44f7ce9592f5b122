"""The `registry` section of the configuration."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0, le=3600)]


class SettingsError(ValueError):
    """Something is missing or makes no sense; the text names its key."""


class Tls(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Paths of PEM files."""

    ca: str
    cert: str = ""
    key: str = ""


class RegistrySettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    kind: Literal["etcd", "consul"]
    addresses: Annotated[list[str], msgspec.Meta(min_length=1, max_length=16)]  # HOST:PORT, tried in turn
    prefix: Annotated[str, msgspec.Meta(min_length=1, max_length=200)] = "applevale/engines/"
    on_stale: Literal["hold", "serve"] = "hold"
    hold: Positive = 2.0  # s for which new work is held while the list is not confirmed; then it is refused
    fresh: Annotated[float, msgspec.Meta(ge=0.1, le=60)] = 0.35  # s: the promise
    user: str = ""
    password: str = ""
    token: str = ""
    tls: Tls | None = None
    snapshot: str = ""  # folder of the embedded store; empty: none

    def places(self) -> list[tuple[str, int]]:
        """The addresses. Raises SettingsError."""
        found = []
        for at, text in enumerate(self.addresses):
            host, _, port = text.rpartition(":")
            if not host or not port.isdecimal() or not 0 < int(port) < 65536:
                raise SettingsError(f"registry.addresses[{at}]: HOST:PORT is needed, not {text[:60]!r}")
            found.append((host.strip("[]"), int(port)))
        return found


def read_settings(raw: object) -> RegistrySettings:
    """Raises SettingsError with the key that is wrong."""
    try:
        settings = msgspec.convert(raw, RegistrySettings)
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at `$")
        raise SettingsError(f"registry{place.rstrip('`')}: {text}") from None
    settings.places()
    if bool(settings.user) != bool(settings.password):
        raise SettingsError("registry.password: user and password go together")
    if settings.tls and bool(settings.tls.cert) != bool(settings.tls.key):
        raise SettingsError("registry.tls.key: cert and key go together")
    return settings
