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

    If an authority is set, clients must have a certificate signed by it.

    Raises
    ------
    OSError
        If a file can't be read or is invalid; `ssl.SSLError` is a subclass.
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

    Connections use IP addresses, so host names are not checked. The caller compares
    the names from `certificate_dns_names` with the VM's instead.

    Raises
    ------
    OSError
        If a file can't be read or is invalid.
    """
    if tls is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    _load(context, tls)
    return context


def certificate_dns_names(certificate: dict[str, Any] | None) -> frozenset[str]:
    """Return the DNS names in a verified certificate."""
    if not certificate:
        return frozenset()
    pairs = certificate.get("subjectAltName", ())
    return frozenset(value for kind, value in pairs if kind == "DNS")


def warn_if_plaintext(part: str, listener: Listener) -> bool:
    """Warn if a listener without TLS is not on loopback; return whether it warned."""
    if listener.tls is not None or ip_address(listener.host).is_loopback:
        return False
    _log.warning(
        f"The {part} listener on {listener.host} has no TLS: anyone who can reach it "
        "can read and forge its traffic."
    )
    return True


def _load(context: ssl.SSLContext, tls: Tls) -> None:
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(Path(tls.certificate), Path(tls.key))
    if tls.authority is not None:
        context.load_verify_locations(Path(tls.authority))
