# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Certificates for tests: an authority that lasts an hour."""

import datetime

from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography import x509

from portwharf.peers import tls

_LIFETIME = datetime.timedelta(hours=1)


class Authority:
    """Signs certificates and writes them as PEM files."""

    def __init__(self, folder):
        """Take a folder for the files."""
        self._folder = folder
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = _make_name('authority')
        self._certificate = self._sign('authority', self._key, True)
        self._path = folder / 'authority.pem'
        self._path.write_bytes(_write(self._certificate))

    def issue(self, name):
        """Return the ``tls.TlsFiles`` of a new certificate."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._folder / f'{name}.pem'
        certificate.write_bytes(_write(self._sign(name, key, False)))
        secret = self._folder / f'{name}.key'
        secret.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return tls.TlsFiles(str(certificate), str(secret), str(self._path))

    def _sign(self, name, key, authority):
        now = datetime.datetime.now(datetime.timezone.utc)
        builder = (
            x509.CertificateBuilder()
            .subject_name(_make_name(name))
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - _LIFETIME)
            .not_valid_after(now + _LIFETIME)
            .add_extension(x509.BasicConstraints(authority, None), True)
        )
        return builder.sign(self._key, hashes.SHA256())


def _make_name(name):
    return x509.Name(
        [x509.NameAttribute(x509.NameOID.COMMON_NAME, f'portwharf {name}')]
    )


def _write(certificate):
    return certificate.public_bytes(serialization.Encoding.PEM)
