"""Certificates for tests."""

import datetime
from collections.abc import Sequence
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from teaselledge.process.settings import Tls

__all__ = ["Authority"]

DAY = datetime.timedelta(days=1)


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


class Authority:
    """Signs certificates and writes them into a folder.

    Parameters
    ----------
    folder : Path
        Folder for the files.
    name : str
        Name that distinguishes authorities.
    """

    def __init__(self, folder: Path, name: str = "authority") -> None:
        self._folder = folder
        self._name = name
        self._key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._build(_name(name), self._key, [], authority=True)
        self.path = folder / f"{name}.pem"
        self.path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))

    def issue(self, names: Sequence[str], authority: Path | None = None) -> Tls:
        """Return TLS settings with a certificate for the given names.

        ``authority`` is the certificate of the authority to trust, by default this one.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._build(_name(names[0]), key, names, authority=False)
        base = self._folder / f"{self._name}-{names[0]}"
        certificate_path, key_path = base.with_suffix(".crt"), base.with_suffix(".key")
        certificate_path.write_bytes(
            certificate.public_bytes(serialization.Encoding.PEM)
        )
        key_path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return Tls(str(certificate_path), str(key_path), str(authority or self.path))

    def _build(
        self,
        subject: x509.Name,
        key: ec.EllipticCurvePrivateKey,
        names: Sequence[str],
        authority: bool,
    ) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(_name(self._name))
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - DAY)
            .not_valid_after(now + DAY)
            .add_extension(x509.BasicConstraints(authority, None), critical=True)
            .add_extension(
                x509.SubjectKeyIdentifier.from_public_key(key.public_key()), False
            )
            .add_extension(
                x509.AuthorityKeyIdentifier.from_issuer_public_key(
                    self._key.public_key()
                ),
                False,
            )
        )
        if names:
            alternative = x509.SubjectAlternativeName([x509.DNSName(n) for n in names])
            builder = builder.add_extension(alternative, critical=False)
        return builder.sign(self._key, hashes.SHA256())
