# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Mutual TLS between portwharf's processes.

Every process has a certificate from the deployment's own authority, and both
ends refuse a peer without one. Plain text needs an explicit
``plaintext = true`` in the settings.
"""

import dataclasses
import ssl


@dataclasses.dataclass(slots=True)
class TlsFiles:
    """Paths of PEM files: certificate, its key, and the authority."""

    certificate: str = ''
    key: str = ''
    authority: str = ''


def make_server_context(files):
    """Return the context of a listener, or None for plain text.

    :raises OSError: a file cannot be read
    """
    return _make_context(files, ssl.PROTOCOL_TLS_SERVER)


def make_client_context(files):
    """Return the context of a dialler, or None for plain text.

    The peer's name is not checked: addresses change whenever a VM is
    replaced, and the authority signs certificates for processes of the
    deployment only.

    :raises OSError: a file cannot be read
    """
    return _make_context(files, ssl.PROTOCOL_TLS_CLIENT)


def read_tls_files(values):
    """Return the TlsFiles of a checked ``tls`` table, or None."""
    if values['plaintext']:
        return None
    return TlsFiles(values['certificate'], values['key'], values['authority'])


def _make_context(files, protocol):
    if files is None:
        return None
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    if protocol == ssl.PROTOCOL_TLS_CLIENT:
        context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(files.certificate, files.key)
    context.load_verify_locations(files.authority)
    return context
