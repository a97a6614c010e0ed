"""TLS contexts from the settings, and the names in certificates."""

import ssl
from ipaddress import ip_address
from pathlib import Path
from typing import Any

from teaselledge.log import get_log
from teaselledge.process.settings import Listener, Tls

__all__ = [
    "client_context",
    "certificate_dns_names",
    "server_context",
    "warn_if_plaintext",
]

_log = get_log("tls")


def server_context(tls: Tls | None) -> ssl.SSLContext | None:
    """Return the context of a listener, None without TLS.

    With an authority, clients must have a certificate of it.

    Raises
    ------
    OSError
        If a file can't be read or holds no such thing; `ssl.SSLError` is one.
    """
    if tls is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    _load(context, tls)
    if tls.authority is not None:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(tls: Tls | None) -> ssl.SSLContext | None:
    """Return the context for connecting to other routers, None without TLS.

    The routers are reached by IP number, so the name in the certificate is
    compared with the VM's by `certificate_dns_names` instead.

    Raises
    ------
    OSError
        If a file can't be read or holds no such thing.
    """
    if tls is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    _load(context, tls)
    return context


def certificate_dns_names(certificate: dict[str, Any] | None) -> frozenset[str]:
    """Return the DNS names that a verified certificate is for."""
    if not certificate:
        return frozenset()
    pairs = certificate.get("subjectAltName", ())
    return frozenset(value for kind, value in pairs if kind == "DNS")


def warn_if_plaintext(part: str, listener: Listener) -> bool:
    """Warn where a listener is open to others without TLS; tell whether it is."""
    if listener.tls is not None or ip_address(listener.host).is_loopback:
        return False
    _log.warning(
        f"The {part} listener on {listener.host} has no TLS: whoever reaches it "
        "can read and forge what passes."
    )
    return True


def _load(context: ssl.SSLContext, tls: Tls) -> None:
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(Path(tls.certificate), Path(tls.key))
    if tls.authority is not None:
        context.load_verify_locations(Path(tls.authority))
