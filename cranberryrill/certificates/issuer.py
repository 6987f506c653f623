"""Create the certificate authority and the processes' certificates."""

import dataclasses
import datetime
import ipaddress
import pathlib
from collections import abc

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from cranberryrill.certificates import roles

LIFETIME_DAYS = 825
KEY_FILE_MODE = 0o600
LOOPBACK = '127.0.0.1'
ADMINISTRATION = 'administration'


class UnusableAuthority(Exception):
    """The key of the folder's authority is not an elliptic-curve key."""

    def __init__(self, path: pathlib.Path) -> None:
        super().__init__(f'{path} holds no elliptic-curve key')


@dataclasses.dataclass(frozen=True)
class CertificateAuthority:
    """Certificate and private key that sign the other certificates."""

    certificate: x509.Certificate
    key: ec.EllipticCurvePrivateKey

    def issue(
        self,
        common_name: str,
        alternative_names: abc.Collection[x509.GeneralName],
        key: ec.EllipticCurvePrivateKey,
        now: datetime.datetime,
    ) -> x509.Certificate:
        """Return a signed certificate for `key` with the alternative names."""
        return (
            _builder(_x509_name(common_name), self.certificate.subject, now)
            .public_key(key.public_key())
            .add_extension(
                x509.SubjectAlternativeName(alternative_names),
                critical=False,
            )
            .sign(self.key, hashes.SHA256())
        )


def write_certificates(
    folder: pathlib.Path,
    now: datetime.datetime,
    addresses: abc.Collection[str],
) -> None:
    """Write a certificate and key per role and one for the administration API.

    The certificate authority in the folder signs them; it is created if the
    folder has none. `addresses` are the IP addresses at which operators reach
    the members. Raises `OSError` when a file can't be written or read,
    `ValueError` when the authority or an address can't be parsed, and
    `UnusableAuthority`.
    """
    folder.mkdir(parents=True, exist_ok=True)
    authority = _read_authority(folder) or _create_authority(folder, now)
    for role in roles.Role:
        role_names = [x509.DNSName(roles.dns_name(role))]
        _write_pair(folder, role.value, role_names, authority, now)
    address_names = [
        x509.IPAddress(ipaddress.ip_address(address))
        for address in (LOOPBACK, *addresses)
    ]
    _write_pair(folder, ADMINISTRATION, address_names, authority, now)


def _read_authority(folder: pathlib.Path) -> CertificateAuthority | None:
    path = folder / 'authority.key'
    if not path.exists():
        return None
    key = serialization.load_pem_private_key(path.read_bytes(), None)
    certificate = x509.load_pem_x509_certificate(
        (folder / 'authority.pem').read_bytes(),
    )
    if not isinstance(key, ec.EllipticCurvePrivateKey):
        raise UnusableAuthority(path)
    return CertificateAuthority(certificate, key)


def _create_authority(
    folder: pathlib.Path,
    now: datetime.datetime,
) -> CertificateAuthority:
    key = ec.generate_private_key(ec.SECP256R1())
    name = _x509_name('cranberryrill authority')
    certificate = (
        _builder(name, name, now)
        .public_key(key.public_key())
        .add_extension(
            x509.BasicConstraints(ca=True, path_length=0), critical=True
        )
        .sign(key, hashes.SHA256())
    )
    _write(folder / 'authority.key', _key_pem(key))
    _write(folder / 'authority.pem', _certificate_pem(certificate))
    return CertificateAuthority(certificate, key)


def _write_pair(
    folder: pathlib.Path,
    common_name: str,
    alternative_names: abc.Collection[x509.GeneralName],
    authority: CertificateAuthority,
    now: datetime.datetime,
) -> None:
    key = ec.generate_private_key(ec.SECP256R1())
    certificate = authority.issue(common_name, alternative_names, key, now)
    _write(folder / f'{common_name}.key', _key_pem(key))
    _write(folder / f'{common_name}.pem', _certificate_pem(certificate))


def _x509_name(common_name: str) -> x509.Name:
    return x509.Name(
        [x509.NameAttribute(x509.NameOID.COMMON_NAME, common_name)],
    )


def _builder(
    subject: x509.Name,
    issuer: x509.Name,
    now: datetime.datetime,
) -> x509.CertificateBuilder:
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=LIFETIME_DAYS))
    )


def _key_pem(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )


def _certificate_pem(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)


def _write(path: pathlib.Path, content: bytes) -> None:
    """Replace a file atomically, because running processes reload it."""
    temporary = path.with_suffix(f'{path.suffix}.new')
    temporary.touch(mode=KEY_FILE_MODE)
    temporary.write_bytes(content)
    temporary.replace(path)
