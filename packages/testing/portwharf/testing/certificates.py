# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Short-lived TLS certificates for tests."""

import datetime

from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography import x509

from portwharf.peers import tls

_LIFETIME = datetime.timedelta(hours=1)


class Authority:
    """A certificate authority that writes its certificates as PEM files."""

    def __init__(self, folder):
        """Create the key and the self-signed certificate.

        :param folder: ``pathlib.Path`` that the PEM files are written to
        """
        self._folder = folder
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = _make_name('authority')
        self._certificate = self._sign('authority', self._key, True)
        self._certificate_path = folder / 'authority.pem'
        self._certificate_path.write_bytes(_encode_pem(self._certificate))

    def issue(self, name):
        """Issue a certificate and its key; returns their ``tls.TlsFiles``."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate_path = self._folder / f'{name}.pem'
        certificate_path.write_bytes(_encode_pem(self._sign(name, key, False)))
        key_path = self._folder / f'{name}.key'
        key_path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return tls.TlsFiles(
            str(certificate_path), str(key_path), str(self._certificate_path)
        )

    def _sign(self, name, key, is_authority):
        now = datetime.datetime.now(datetime.timezone.utc)
        builder = (
            x509.CertificateBuilder()
            .subject_name(_make_name(name))
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - _LIFETIME)
            .not_valid_after(now + _LIFETIME)
            .add_extension(x509.BasicConstraints(is_authority, None), True)
        )
        return builder.sign(self._key, hashes.SHA256())


def _make_name(name):
    return x509.Name(
        [x509.NameAttribute(x509.NameOID.COMMON_NAME, f'portwharf {name}')]
    )


def _encode_pem(certificate):
    return certificate.public_bytes(serialization.Encoding.PEM)
