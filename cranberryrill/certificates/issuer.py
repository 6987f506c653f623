"""Make the authority and the certificates of the system's processes."""

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
KEY_MODE = 0o600
LOOPBACK = '127.0.0.1'
ADMINISTRATION = 'administration'


class UnusableAuthority(Exception):
    """The folder's authority is of a kind that this program doesn't make."""

    def __init__(self, path: pathlib.Path) -> None:
        super().__init__(f'{path} holds no elliptic-curve key')


@dataclasses.dataclass(frozen=True)
class CertificateAuthority:
    """Vouch for certificates."""

    certificate: x509.Certificate
    key: ec.EllipticCurvePrivateKey

    def issue(
        self,
        common: str,
        names: abc.Collection[x509.GeneralName],
        key: ec.EllipticCurvePrivateKey,
        now: datetime.datetime,
    ) -> x509.Certificate:
        """Return a certificate for `key` that carries `names`."""
        return (
            _builder(_name(common), self.certificate.subject, now)
            .public_key(key.public_key())
            .add_extension(
                x509.SubjectAlternativeName(names),
                critical=False,
            )
            .sign(self.key, hashes.SHA256())
        )


def write_certificates(
    folder: pathlib.Path,
    now: datetime.datetime,
    addresses: abc.Collection[str],
) -> None:
    """Write a certificate for each role and one for the administration.

    An authority that the folder holds is kept; without one it is made.
    `addresses` are the IP numbers at which operators reach the members.
    Raises `OSError` when a file can't be written or read, and `ValueError`
    when the authority or an address can't be understood.
    """
    folder.mkdir(parents=True, exist_ok=True)
    authority = _read_authority(folder) or _make_authority(folder, now)
    for role in roles.Role:
        names = [x509.DNSName(roles.dns_name(role))]
        _make(folder, role.value, names, authority, now)
    reached = [
        x509.IPAddress(ipaddress.ip_address(address))
        for address in (LOOPBACK, *addresses)
    ]
    _make(folder, ADMINISTRATION, reached, authority, now)


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


def _make_authority(
    folder: pathlib.Path,
    now: datetime.datetime,
) -> CertificateAuthority:
    key = ec.generate_private_key(ec.SECP256R1())
    name = _name('cranberryrill authority')
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


def _make(
    folder: pathlib.Path,
    common: str,
    names: abc.Collection[x509.GeneralName],
    authority: CertificateAuthority,
    now: datetime.datetime,
) -> None:
    key = ec.generate_private_key(ec.SECP256R1())
    certificate = authority.issue(common, names, key, now)
    _write(folder / f'{common}.key', _key_pem(key))
    _write(folder / f'{common}.pem', _certificate_pem(certificate))


def _name(common: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, common)])


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
    """Replace a file as a whole; running processes read it again."""
    fresh = path.with_suffix(f'{path.suffix}.new')
    fresh.touch(mode=KEY_MODE)
    fresh.write_bytes(content)
    fresh.replace(path)
