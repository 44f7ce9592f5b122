"""TLS for connections to a registry."""

from __future__ import annotations

import ssl

from .settings import RegistrySettingsError, TlsSettings


def create_ssl_context(tls: TlsSettings | None, alpn_protocol: str) -> ssl.SSLContext | None:
    """Return the SSL context for client connections; None for plain TCP.

    Args:
        tls: Paths of the certificates; None for plain TCP.
        alpn_protocol: Application protocol to negotiate, as ALPN names it.

    Raises:
        RegistrySettingsError: A file cannot be read or is invalid.
    """
    if tls is None:
        return None
    try:
        context = ssl.create_default_context(cafile=tls.ca)
        context.set_alpn_protocols([alpn_protocol])
        if tls.cert:
            context.load_cert_chain(tls.cert, tls.key)
    except (OSError, ssl.SSLError) as error:
        raise RegistrySettingsError("registry.tls", str(error)) from None
    return context
